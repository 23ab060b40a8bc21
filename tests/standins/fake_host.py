"""A partner's server on loopback that fails in the ways partners do, and keeps the true account of effects.

It speaks the hosts' side of the platform's protocol (single and batch calls). What it does with each
connection and each request is told by a Behaviour, all chance drawn from one seed. `effects` counts how often
each message has run.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST


@dataclass
class Call:
    """One request as it came: the messages in it, where, and when (the loop's seconds)."""

    message_ids: list[str]
    is_batch: bool
    connection_number: int
    request_index: int  # of its connection, from 0
    received_at: float


@dataclass
class ResponsePlan:
    """What is done with one call. Delays in seconds; a status of 0 answers nothing."""

    status: int = 200
    retry_after_ms: int = 0  # told with a refusal
    delay_s: float = 0.0
    duplicates_in_write: int = 0  # whole second copies, in one write with the answer
    duplicate_delays_s: tuple[float, ...] = ()  # after the answer, whole second copies of it
    repeats_previous: bool = False  # before this answer, a late copy of the connection's last one
    duplicate_segments: int = 1  # into which each copy is cut
    executes: bool | None = None  # None: as the status says
    resets: bool = False  # in place of an answer
    half_closes: bool = False  # behind the answer


@dataclass
class Behaviour:
    """How a server fares with its connections. Ages in seconds, each drawn anew for each connection."""

    plan: Callable[[Call], ResponsePlan] = field(default=lambda call: ResponsePlan())
    max_connections: int = 0  # connections it takes; the rest is reset; 0: any number
    silent_after_s: tuple[float, float] | None = None  # idle for so long: nothing passes any more
    reset_after_s: tuple[float, float] | None = None  # idle for so long: it resets what comes
    first_byte_reset_probability: float = 0.0  # chance that it resets at the first byte of a request


def format_response(status: int, body: bytes = b"", retry_after_ms: int = 0) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    if retry_after_ms:
        head += f"X-Come-Back-Ms: {retry_after_ms}\r\n"
    return head.encode() + b"\r\n" + body


class FakeHost:
    """Use as an async context; `address` is where it listens."""

    def __init__(self, behaviour: Behaviour | None = None, seed: int = 0) -> None:
        self.behaviour = behaviour or Behaviour()
        self.random = random.Random(seed)
        self.executions: Counter[str] = Counter()
        self.first_executed_at: dict[str, float] = {}  # when it first ran, and each time
        self.executed_at: dict[str, list[float]] = {}
        self.calls: list[Call] = []
        self.responses: Counter[str] = Counter()
        self.duplicate_count = 0  # second copies written, to connections that stood or not
        self.accepted_count = 0
        self.connections: dict[int, FakeHostConnection] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def __aenter__(self, port: int = 0) -> FakeHost:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: FakeHostConnection(self), "127.0.0.1", port)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for connection in list(self.connections.values()):
            connection.abort()

    @property
    def address(self) -> tuple[str, int]:
        assert self.server is not None
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def message_ids(self) -> list[str]:
        return [name for call in self.calls for name in call.message_ids]

    def notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 60) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await self.changed.wait()

    def execute(self, message_ids: list[str]) -> None:
        for message_id in message_ids:
            self.executions[message_id] += 1
            self.first_executed_at.setdefault(message_id, asyncio.get_running_loop().time())
            self.executed_at.setdefault(message_id, []).append(asyncio.get_running_loop().time())


class FakeHostConnection(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, host: FakeHost) -> None:
        self.host = host
        self.data = b""
        self.handles: list[asyncio.TimerHandle] = []
        self.request_count = 0
        self.last_response = b""
        self.idle_since = asyncio.get_running_loop().time()
        self.number = -1
        told = host.behaviour
        draw = host.random.uniform
        self.silent_after_s = draw(*told.silent_after_s) if told.silent_after_s else None
        self.reset_after_s = draw(*told.reset_after_s) if told.reset_after_s else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.number = self.host.accepted_count
        self.host.accepted_count += 1
        most = self.host.behaviour.max_connections
        if most and len(self.host.connections) >= most:
            self.reset()
            return
        self.host.connections[self.number] = self
        self.host.notify_changed()

    def connection_lost(self, exc: Exception | None) -> None:
        self.host.connections.pop(self.number, None)
        self.host.notify_changed()

    def eof_received(self) -> bool:
        return False

    def abort(self) -> None:
        self.transport.abort()

    def reset(self) -> None:
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        behaviour, loop = self.host.behaviour, asyncio.get_running_loop()
        idle = loop.time() - self.idle_since
        if self.silent_after_s is not None and idle > self.silent_after_s:
            return  # what stands between has forgotten the connection: nothing passes, and nothing is told
        self.silent_after_s = None if self.data else self.silent_after_s
        if self.reset_after_s is not None and idle > self.reset_after_s:
            self.reset()
            return
        if not self.data and self.host.random.random() < behaviour.first_byte_reset_probability:
            self.reset()
            return
        self.data += data
        head, found, rest = self.data.partition(b"\r\n\r\n")
        if not found:
            return
        start, *lines = head.decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", 0))
        if len(rest) < length:
            return
        self.data = rest[length:]
        batch = start.split()[1].endswith(":batch")
        ids = [row["id"] for row in json.loads(rest[:length])] if batch else [headers["request-id"]]
        call = Call(ids, batch, self.number, self.request_count, loop.time())
        self.request_count += 1
        self.host.calls.append(call)
        doing = behaviour.plan(call)
        runs = doing.executes if doing.executes is not None else doing.status in (0, 200, 500)
        if doing.repeats_previous:
            self.transport.write(self.last_response)
            self.host.duplicate_count += 1
        self.handles = [handle for handle in self.handles if handle.when() > loop.time()]
        self._call_later(doing.delay_s, self._respond, call, doing, runs)
        self.host.notify_changed()

    def _call_later(self, delay_s: float, callback: Callable[..., None], *arguments: object) -> None:
        if delay_s <= 0:
            callback(*arguments)
        else:
            self.handles.append(asyncio.get_running_loop().call_later(delay_s, callback, *arguments))

    def _respond(self, call: Call, plan: ResponsePlan, executes: bool) -> None:
        if executes:
            self.host.execute(call.message_ids)
        if plan.resets:
            self.reset()
            return
        self.idle_since = asyncio.get_running_loop().time()
        if plan.status:
            body = b""
            if call.is_batch and plan.status == 200:
                body = json.dumps([{"id": name, "state": "delivered"} for name in call.message_ids]).encode()
            answer = format_response(plan.status, body, plan.retry_after_ms)
            self.last_response = answer
            self.transport.write(answer * (1 + plan.duplicates_in_write))
            self.host.duplicate_count += plan.duplicates_in_write
            self.host.responses.update(call.message_ids)
            for delay in plan.duplicate_delays_s:
                size = -(-len(answer) // plan.duplicate_segments)
                for i in range(plan.duplicate_segments):
                    piece = answer[i * size : (i + 1) * size]
                    self._call_later(
                        delay + 0.002 * i, self._write_duplicate, piece, i == plan.duplicate_segments - 1
                    )
            if plan.half_closes:
                self.transport.write_eof()
        self.host.notify_changed()

    def _write_duplicate(self, piece: bytes, last: bool) -> None:
        if not self.transport.is_closing():
            self.transport.write(piece)
        self.host.duplicate_count += last
        self.host.notify_changed()
