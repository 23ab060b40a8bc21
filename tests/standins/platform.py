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
HANG = 60  # seconds after which a test that waits has failed
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


Script = Callable[[Request], Awaitable[bytes | None]]


def reply(status: int, body: bytes = b"", **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


class Peer:
    """Answers each request with what its script gives: raw bytes, or None to close with no answer."""

    def __init__(self, world: World, script: Script) -> None:
        self.world, self.script = world, script
        self.requests: list[Request] = []
        self.connections: list[PeerConnection] = []
        self.answered = 0
        self.ended: list[int] = []  # connections, by number
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: PeerConnection(self), "127.0.0.1", port)

    @property
    def address(self) -> str:
        assert self.server is not None
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    @property
    def ids(self) -> list[str]:
        return [request.id for request in self.requests]

    def close_connections(self) -> None:
        for connection in self.connections:
            connection.transport.close()


class PeerConnection(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
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
        self.peer.requests.append(request)
        self.task = asyncio.create_task(self._answer(self.peer.script(request)))
        self.peer.world.bump()

    def connection_lost(self, exc: Exception | None) -> None:
        self.peer.ended.append(self.number)
        if self.task is not None:
            self.task.cancel()
        self.peer.world.bump()

    async def _answer(self, scripted: Awaitable[bytes | None]) -> None:
        answer = await scripted
        if answer is not None:
            self.transport.write(answer)
            self.peer.answered += 1
            self.peer.world.bump()
        if answer is None or b"Connection: close" in answer:
            self.transport.close()


class World:
    """Discovery and hosts in this process, the relay in one of its own. Use as an async context."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder = folder
        self.settings = {**SETTINGS, **settings}
        self.limits: dict[str, Any] = {"sockets": 256, "disk_mb": 3}
        self.tasks: list[asyncio.Task[None]] = []
        self.peers: list[Peer] = []
        self.members: list[dict[str, Any]] = []
        self.revision = 1
        self.notices: list[dict[str, Any]] = []
        self.hear: Script | None = None  # in place of the 204 to a notice
        self.list_answer: Script | None = None
        self.log: list[str] = []
        self.root = ROOT  # where the program is that is started, and what it is told on its command line
        self.program = ["-m", "loftrelay"]
        self.arguments: list[str] = []
        self.name_ = "n1"
        self.keep_file = False  # the file of the platform stands as it is
        self.faults: list[str] = []  # of the program itself, as its log tells
        self.control = ""  # where operators call; empty: nowhere
        self.noticed_at: dict[str, float] = {}  # message -> when its notice came (Unix time)
        self.process: asyncio.subprocess.Process | None = None  # the one that was started last
        self.before: asyncio.subprocess.Process | None = None  # the one beside which it was started
        self.accept: socket.socket | None = None  # the clients' socket, where all processes share it
        self.address = ("", 0)
        self._changed = asyncio.Event()

    async def __aenter__(self) -> World:
        self.discovery = await self.peer(self.discover)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in (self.before, self.process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if self.accept is not None:
            self.accept.close()
        for peer in self.peers:
            assert peer.server is not None
            peer.server.close()
            peer.close_connections()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        assert not self.faults

    async def peer(self, script: Script) -> Peer:
        peer = Peer(self, script)
        await peer.start()
        self.peers.append(peer)
        return peer

    async def host(self, script: Script, dest: int = 1, kind: str = "plain") -> Peer:
        """A host that the next known list and discovery's answers name."""
        peer = await self.peer(script)
        self.list_host(dest, kind, "Ready", peer.address)
        return peer

    def list_host(self, dest: int, kind: str, phase: str, address: str) -> None:
        self.members.append(
            {
                "id": f"h{len(self.members)}",
                "host_port": address,
                "locality": "a",
                "flavor": kind,
                "cell": dest,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
            }
        )
        self.revision += 1
        self.bump()

    def name(self, dest: int = 1, kind: str = "plain") -> None:
        """Makes a destination known by a host that takes nothing, so that its messages wait."""
        self.list_host(dest, kind, "Terminating", "127.0.0.1:9")

    def whole_list(self) -> dict[str, Any]:
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def discover(self, request: Request) -> bytes | None:
        if request.target == "/reports":
            if self.hear is not None and (answer := await self.hear(request)) != b"":
                return answer
            heard = [json.loads(line) for line in request.body.splitlines()]
            self.notices += heard
            for notice in heard:
                self.noticed_at.setdefault(notice["id"], time.time())
            self.bump()
            return reply(204)
        if self.list_answer is not None and (answer := await self.list_answer(request)) != b"":
            return answer
        if "index=" in request.target:
            index = int(request.target.partition("index=")[2].partition("&")[0])
            wait = int(request.target.partition("wait=")[2]) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.until(lambda: self.revision > index), wait)
        return reply(200, json.dumps(self.whole_list()).encode())

    # Waiting

    def bump(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG):
            while not condition():
                await self._changed.wait()

    # The relay

    def configure(self, discovery: str) -> Path:
        config = {
            "name": self.name_,
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "8c1f30d2",
            "limits": self.limits,
            "known": self.whole_list(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        if not self.keep_file:
            path.write_text(json.dumps(config))
        return path

    def reload(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def spawn(self, program: list[str] | None = None) -> asyncio.subprocess.Process:
        """A process of the relay; does not wait for anything of it."""
        path = self.configure(self.discovery.address)
        more = {"RELAY_CONTROL": self.control} if self.control else {}
        files: tuple[int, ...] = ()
        if self.accept is not None:
            more["RELAY_ACCEPT_FD"], files = str(self.accept.fileno()), (self.accept.fileno(),)
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
        self.accept = socket.create_server(("127.0.0.1", 0))
        self.accept.listen(128)
        self.address = self.accept.getsockname()

    async def start_beside(self, program: list[str] | None = None) -> None:
        """Starts the process that is to take over, at a door of its own; does not wait for it."""
        self.before, self.control = self.process, f"127.0.0.1:{free_port()}"
        self.process = await self.spawn(program)

    async def until_ready(self) -> None:
        """Until the process that was started last says so at its door."""
        async with asyncio.timeout(HANG):
            while True:
                with contextlib.suppress(OSError):
                    if await self.call("ready") == "YES\n":
                        return
                await asyncio.sleep(0.01)

    async def upgrade(self) -> None:
        """Replaces the process, as the platform does."""
        await self.start_beside()
        await self.until_ready()
        assert self.before is not None
        self.before.send_signal(signal.SIGTERM)
        async with asyncio.timeout(HANG):
            assert await self.before.wait() == 0

    async def start(self) -> None:
        self.log.clear()
        process = self.process = await self.spawn()
        await self.until(
            lambda: any("listens on" in line for line in self.log) or process.returncode is not None
        )
        assert process.returncode is None, self.log
        line = next(line for line in self.log if "listens on" in line)
        self.address = ("127.0.0.1", int(line.rpartition(":")[2]))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.append(line.decode().strip())
            self.faults += [self.log[-1]] * ("a fault of the program" in self.log[-1])
            self.bump()
        await process.wait()
        self.bump()

    async def end(self, number: signal.Signals) -> int:
        assert self.process is not None
        self.process.send_signal(number)
        async with asyncio.timeout(HANG):
            return await self.process.wait()

    async def kill(self) -> None:
        await self.end(signal.SIGKILL)

    async def restart(self) -> None:
        await self.kill()
        await self.start()

    async def warm(self, host: Peer) -> None:
        """Gives the module a demand to go by: where it sees next to none, it is wary for minutes."""
        script, host.script = host.script, deliver
        for i in range(20):
            assert await self.hand_in(f"warm{i}") == 202
        await self.until(lambda: host.answered == 20)
        host.requests.clear()
        host.script = script

    async def ask(self, raw: bytes) -> tuple[int, dict[str, str], bytes]:
        """One request as it stands, on a connection of its own."""
        async with asyncio.timeout(HANG):
            reader, writer = await asyncio.open_connection(*self.address)
            try:
                writer.write(raw)
                start, headers, body = await read_message(reader)
            finally:
                writer.close()
        return int(start.split()[1]), headers, body

    async def call(self, line: str) -> str:
        """One call at the operators' door."""
        async with asyncio.timeout(HANG):
            host, _, port = self.control.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode()
            finally:
                writer.close()

    async def hand_in(
        self, name: str, of: str = "status", dest: int = 1, body: bytes = b"hello", **changes: str
    ) -> int:
        return (await self.ask(message(name, of, dest, body, **changes)))[0]

    async def hand_in_once_listed(self, name: str, dest: int) -> None:
        """A destination is turned away until the relay's list names it."""
        async with asyncio.timeout(HANG):
            while (status := await self.hand_in(name, dest=dest)) == 503:
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


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    start, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
    headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return start, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def message(name: str, of: str = "status", dest: int = 1, body: bytes = b"hello", **changes: str) -> bytes:
    """A request that hands a message in; `path` and headers (with _ for -) may be changed, '' drops one."""
    path = changes.pop("path", f"/{of}/turbine-7" if of == "order" else f"/{of}")
    method = changes.pop("method", "POST")
    headers = {
        "Host": "app.svc",
        "Request-Id": name,
        "Request-Class": of,
        "Tenant": "acme",
        "Request-Timeout-Ms": "20000",
        "X-Consignee": f"dest={dest}",
        "Content-Length": str(len(body)),
        **{k.replace("_", "-"): v for k, v in changes.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items() if v)]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def deliver(request: Request) -> bytes:
    return reply(200)


async def never(request: Request) -> bytes:
    await asyncio.Event().wait()
    return b""


def run(scenario: Callable[[World], Awaitable[None]], folder: Path, **settings: object) -> None:
    async def main() -> None:
        async with World(folder, **settings) as world:
            await scenario(world)

    asyncio.run(main())


def failed(name: str) -> dict[str, str]:
    return {"id": name, "status": "undeliverable"}
