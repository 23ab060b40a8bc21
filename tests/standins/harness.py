"""Scripted peers on loopback sockets for tests of the program: hosts, discovery, and a relay as a process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
TEST_TIMEOUT_S = 60  # seconds after which a test that waits has failed
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "status", "effect": "idempotent", "deadline": 24_000_000, "on_time": 3_000_000, "worth": 1},
        {
            "name": "order",
            "effect": "at_most_once",
            "in_order": True,
            "deadline": 24_000_000,
            "on_time": 3_000_000,
            "worth": 3,
        },
    ],
    "extra": {"bundle_max": [1, 20], "call_slots": 6, "own_limits": [False, False]},
    "flavors": ["plain", "bulk"],
    "policy_limits": {
        "conn_idle": 15_000_000,
        "connect_timeout": 1_000_000,
        "most_held": 100,
        "most_tries": 12,
    },
    "safety": {"ask_every": 10_000_000, "settle_after_doubt": 300_000},
    "tenants": [{"name": "acme", "allowance_per_s": 1000.0, "fraction": 1.0}],
    "tick": 5000,
}


@dataclass
class Request:
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


RequestHandler = Callable[[Request], Awaitable[bytes | None]]


def format_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class StubServer:
    """Answers each request with what its script gives: raw bytes, or None to close with no answer."""

    def __init__(self, harness: RelayHarness, handler: RequestHandler) -> None:
        self.harness, self.handler = harness, handler
        self.requests: list[Request] = []
        self.connections: list[StubServerConnection] = []
        self.response_count = 0
        self.closed_connections: list[int] = []  # connections, by number
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: StubServerConnection(self), "127.0.0.1", port)

    @property
    def address(self) -> str:
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    @property
    def request_ids(self) -> list[str]:
        return [request.id for request in self.requests]

    def close_connections(self) -> None:
        for connection in self.connections:
            connection.transport.close()


class StubServerConnection(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, peer: StubServer) -> None:
        self.server = peer
        self.data = b""
        self.task: asyncio.Task[None] | None = None
        peer.connections.append(self)
        self.number = len(peer.connections)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        start, *lines = head.decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", 0))
        if not found or len(rest) < length:
            return
        self.data = rest[length:]
        method, target, _ = start.split()
        request = Request(method, target, headers, rest[:length], self.number)
        self.server.requests.append(request)
        self.task = asyncio.create_task(self._answer(self.server.handler(request)))
        self.server.harness.notify_changed()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.closed_connections.append(self.number)
        if self.task is not None:
            self.task.cancel()
        self.server.harness.notify_changed()

    async def _answer(self, scripted: Awaitable[bytes | None]) -> None:
        answer = await scripted
        if answer is not None:
            self.transport.write(answer)
            self.server.response_count += 1
            self.server.harness.notify_changed()
        if answer is None or b"Connection: close" in answer:
            self.transport.close()


class RelayHarness:
    """Discovery and hosts in this process, the relay in one of its own. Use as an async context."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder = folder
        self.settings = {**SETTINGS, **settings}
        self.limits: dict[str, Any] = {"sockets": 256, "disk_mb": 3}
        self.tasks: list[asyncio.Task[None]] = []
        self.servers: list[StubServer] = []
        self.endpoints: list[dict[str, Any]] = []
        self.revision = 1
        self.status_reports: list[dict[str, Any]] = []
        self.report_handler: RequestHandler | None = None  # in place of the 204 to a notice
        self.list_handler: RequestHandler | None = None
        self.log: list[str] = []
        self.root = ROOT  # where the program is that is started, and what it is told on its command line
        self.program = ["-m", "loftrelay"]
        self.arguments: list[str] = []
        self.relay_name = "n1"
        self.keeps_config_file = False  # the file of the platform stands as it is
        self.internal_errors: list[str] = []  # of the program itself, as its log tells
        self.admin_address = ""  # where operators call; empty: nowhere
        self.reported_at: dict[str, float] = {}  # message -> when its notice came (Unix time)
        self.process: asyncio.subprocess.Process | None = None  # the one that was started last
        self.predecessor: asyncio.subprocess.Process | None = None  # the one beside which it was started
        self.listener: socket.socket | None = None  # the clients' socket, where all processes share it
        self.address = ("", 0)
        self._changed = asyncio.Event()

    async def __aenter__(self) -> RelayHarness:
        self.discovery = await self.start_server(self.handle_discovery_request)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in (self.predecessor, self.process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if self.listener is not None:
            self.listener.close()
        for peer in self.servers:
            assert peer.server is not None
            peer.server.close()
            peer.close_connections()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        assert not self.internal_errors

    async def start_server(self, handler: RequestHandler) -> StubServer:
        peer = StubServer(self, handler)
        await peer.start()
        self.servers.append(peer)
        return peer

    async def start_host(
        self, handler: RequestHandler, destination: int = 1, flavor: str = "plain"
    ) -> StubServer:
        """A host that the next known list and discovery's answers name."""
        peer = await self.start_server(handler)
        self.add_endpoint(destination, flavor, "Ready", peer.address)
        return peer

    def add_endpoint(self, destination: int, flavor: str, phase: str, address: str) -> None:
        self.endpoints.append(
            {
                "id": f"h{len(self.endpoints)}",
                "host_port": address,
                "locality": "a",
                "flavor": flavor,
                "cell": destination,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
        )
        self.revision += 1
        self.notify_changed()

    def add_unavailable_destination(self, destination: int = 1, flavor: str = "plain") -> None:
        """Makes a destination known by a host that takes nothing, so that its messages wait."""
        self.add_endpoint(destination, flavor, "Terminating", "127.0.0.1:9")

    def full_list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.endpoints}

    async def handle_discovery_request(self, request: Request) -> bytes | None:
        if request.target == "/reports":
            if self.report_handler is not None and (answer := await self.report_handler(request)) != b"":
                return answer
            heard = [json.loads(line) for line in request.body.splitlines()]
            self.status_reports += heard
            for notice in heard:
                self.reported_at.setdefault(notice["id"], time.time())
            self.notify_changed()
            return format_response(204)
        if self.list_handler is not None and (answer := await self.list_handler(request)) != b"":
            return answer
        if "index=" in request.target:
            index = int(request.target.partition("index=")[2].partition("&")[0])
            wait = int(request.target.partition("wait=")[2]) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wait_until(lambda: self.revision > index), wait)
        return format_response(200, json.dumps(self.full_list()).encode())

    # Waiting

    def notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                await self._changed.wait()

    # The relay

    def write_config(self, discovery: str) -> Path:
        config = {
            "name": self.relay_name,
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "8c1f30d2",
            "limits": self.limits,
            "known": self.full_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        if not self.keeps_config_file:
            path.write_text(json.dumps(config))
        return path

    def reload(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def spawn(self, program: list[str] | None = None) -> asyncio.subprocess.Process:
        """A process of the relay; does not wait for anything of it."""
        path = self.write_config(self.discovery.address)
        more = {"RELAY_CONTROL": self.admin_address} if self.admin_address else {}
        files: tuple[int, ...] = ()
        if self.listener is not None:
            more["RELAY_ACCEPT_FD"], files = str(self.listener.fileno()), (self.listener.fileno(),)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *(program or self.program),
            *self.arguments,
            cwd=self.root,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=files,
            env={**os.environ, "RELAY_CONFIG": str(path), "RELAY_STATE": str(self.folder / "state"), **more},
        )
        self.tasks.append(asyncio.create_task(self._read_log(process)))
        return process

    def share_listener(self) -> None:
        """From now on the platform holds the clients' socket, and every process inherits it."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.listen(128)
        self.address = self.listener.getsockname()

    async def start_successor(self, program: list[str] | None = None) -> None:
        """Starts the process that is to take over, at a door of its own; does not wait for it."""
        self.predecessor, self.admin_address = self.process, f"127.0.0.1:{free_port()}"
        self.process = await self.spawn(program)

    async def wait_until_ready(self) -> None:
        """Until the process that was started last says so at its door."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    if await self.call_admin("ready") == "YES\n":
                        return
                await asyncio.sleep(0.01)

    async def upgrade(self) -> None:
        """Replaces the process, as the platform does."""
        await self.start_successor()
        await self.wait_until_ready()
        assert self.predecessor is not None
        self.predecessor.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert await self.predecessor.wait() == 0

    async def start(self) -> None:
        self.log.clear()
        process = self.process = await self.spawn()
        await self.wait_until(
            lambda: any("listens on" in line for line in self.log) or process.returncode is not None
        )
        assert process.returncode is None, self.log
        line = next(line for line in self.log if "listens on" in line)
        self.address = ("127.0.0.1", int(line.rpartition(":")[2]))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.append(line.decode().strip())
            self.internal_errors += [self.log[-1]] * ("a fault of the program" in self.log[-1])
            self.notify_changed()
        await process.wait()
        self.notify_changed()

    async def stop(self, signal_number: signal.Signals) -> int:
        assert self.process is not None
        self.process.send_signal(signal_number)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        await self.stop(signal.SIGKILL)

    async def restart(self) -> None:
        await self.kill()
        await self.start()

    async def warm_up(self, host: StubServer) -> None:
        """Gives the module a demand to go by: where it sees next to none, it is wary for minutes."""
        script, host.handler = host.handler, respond_ok
        for i in range(20):
            assert await self.submit(f"warm{i}") == 202
        await self.wait_until(lambda: host.response_count == 20)
        host.requests.clear()
        host.handler = script

    async def send(self, request: bytes) -> tuple[int, dict[str, str], bytes]:
        """One request as it stands, on a connection of its own."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(request)
                start, headers, body = await read_response(reader)
            finally:
                writer.close()
        return int(start.split()[1]), headers, body

    async def call_admin(self, line: str) -> str:
        """One call at the operators' door."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            host, _, port = self.admin_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode()
            finally:
                writer.close()

    async def submit(
        self,
        message_id: str,
        class_name: str = "status",
        destination: int = 1,
        body: bytes = b"hello",
        **headers: str,
    ) -> int:
        return (await self.send(format_submission(message_id, class_name, destination, body, **headers)))[0]

    async def submit_once_listed(self, message_id: str, destination: int) -> None:
        """A destination is turned away until the relay's list names it."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while (status := await self.submit(message_id, destination=destination)) == 503:
                pass
        assert status == 202


def free_port() -> int:
    """Below those that the system gives to connections: one of another test would take it meanwhile."""
    while True:
        place = ("127.0.0.1", 10_000 + secrets.randbelow(22_000))
        datagrams = socket.socket(type=socket.SOCK_DGRAM)
        with socket.socket() as tcp, datagrams as udp, contextlib.suppress(OSError):
            tcp.bind(place)
            udp.bind(place)
            return place[1]


async def read_response(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    start, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def format_submission(
    message_id: str, class_name: str = "status", destination: int = 1, body: bytes = b"hello", **changes: str
) -> bytes:
    """A request that hands a message in; `path` and headers (with _ for -) may be changed, '' drops one."""
    path = changes.pop("path", f"/{class_name}/turbine-7" if class_name == "order" else f"/{class_name}")
    method = changes.pop("method", "POST")
    headers = {
        "Host": "app.svc",
        "Request-Id": message_id,
        "Request-Class": class_name,
        "Tenant": "acme",
        "Request-Timeout-Ms": "20000",
        "X-Consignee": f"dest={destination}",
        "Content-Length": str(len(body)),
        **{k.replace("_", "-"): v for k, v in changes.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items() if v)]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def respond_ok(request: Request) -> bytes:
    return format_response(200)


async def never_respond(request: Request) -> bytes:
    await asyncio.Event().wait()
    return b""


def run_scenario(
    scenario: Callable[[RelayHarness], Awaitable[None]], folder: Path, **settings: object
) -> None:
    async def main() -> None:
        async with RelayHarness(folder, **settings) as world:
            await scenario(world)

    asyncio.run(main())


def undeliverable_report(message_id: str) -> dict[str, str]:
    return {"id": message_id, "status": "undeliverable"}
