"""A fake host on loopback that fails in the ways real hosts do, and counts what it really executed.

It implements the host side of the platform's protocol (single and batch calls). A Behaviour decides what it
does with each connection and request; all random choices come from one seed.
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
    """One received request; `received_at` is the event loop's time in seconds."""

    message_ids: list[str]
    is_batch: bool
    connection_number: int
    request_index: int  # on its connection, from 0
    received_at: float


@dataclass
class ResponsePlan:
    """What the host does with one call; a status of 0 means no response."""

    status: int = 200
    retry_after_ms: int = 0  # sent with a rejection
    delay_s: float = 0.0
    duplicates_in_write: int = 0  # copies of the response in the same write
    duplicate_delays_s: tuple[float, ...] = ()  # after the response; one copy each
    repeats_previous: bool = False  # before the response, a copy of the connection's last one
    duplicate_segments: int = 1  # number of parts in which each copy is written
    executes: bool | None = None  # None: depends on the status
    resets: bool = False  # resets the connection instead of responding
    half_closes: bool = False  # closes its sending side after the response


@dataclass
class Behaviour:
    """How a host treats its connections. Idle limits are (minimum, maximum), drawn for each connection."""

    plan: Callable[[Call], ResponsePlan] = field(default=lambda call: ResponsePlan())
    max_connections: int = 0  # further ones are reset; 0: no limit
    silent_after_s: tuple[float, float] | None = None  # after this idle time it ignores all data
    reset_after_s: tuple[float, float] | None = None  # after this idle time it resets on data
    first_byte_reset_probability: float = 0.0  # resets at the first byte of a request


def format_response(status: int, body: bytes = b"", retry_after_ms: int = 0) -> bytes:
    """Returns a response with an optional Retry-After of the platform's protocol."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    if retry_after_ms:
        head += f"X-Come-Back-Ms: {retry_after_ms}\r\n"
    return head.encode() + b"\r\n" + body


class FakeHost:
    """A host on a loopback port, used as an async context manager.

    Attributes:
        executions: How often each message was executed.
        first_executed_at: When each message was first executed (event loop time in seconds).
        executed_at: When each message was executed, for each execution.
        calls: All received requests.
        responses: How often each message was answered.
        duplicate_count: Duplicate responses, including those to connections already closed.
        connections: Open connections by number.
    """

    def __init__(self, behaviour: Behaviour | None = None, seed: int = 0) -> None:
        self.behaviour = behaviour or Behaviour()
        self.random = random.Random(seed)
        self.executions: Counter[str] = Counter()
        self.first_executed_at: dict[str, float] = {}
        self.executed_at: dict[str, list[float]] = {}
        self.calls: list[Call] = []
        self.responses: Counter[str] = Counter()
        self.duplicate_count = 0
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
        """Where it listens."""
        assert self.server is not None
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def message_ids(self) -> list[str]:
        """Ids of all received messages, in order."""
        return [name for call in self.calls for name in call.message_ids]

    def notify_changed(self) -> None:
        """Wakes all waiters to check their conditions."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = 60) -> None:
        """Waits until a condition holds; it is checked after every change."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await self.changed.wait()

    def execute(self, message_ids: list[str]) -> None:
        """Counts one execution of each message."""
        for message_id in message_ids:
            self.executions[message_id] += 1
            self.first_executed_at.setdefault(message_id, asyncio.get_running_loop().time())
            self.executed_at.setdefault(message_id, []).append(asyncio.get_running_loop().time())


class FakeHostConnection(asyncio.Protocol):
    """One connection of a fake host, with its own idle limits."""

    transport: asyncio.Transport

    def __init__(self, host: FakeHost) -> None:
        self.host = host
        self.data = b""
        self.handles: list[asyncio.TimerHandle] = []
        self.request_count = 0
        self.last_response = b""
        self.idle_since = asyncio.get_running_loop().time()
        self.number = -1
        behaviour = host.behaviour
        draw = host.random.uniform
        self.silent_after_s = draw(*behaviour.silent_after_s) if behaviour.silent_after_s else None
        self.reset_after_s = draw(*behaviour.reset_after_s) if behaviour.reset_after_s else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.number = self.host.accepted_count
        self.host.accepted_count += 1
        limit = self.host.behaviour.max_connections
        if limit and len(self.host.connections) >= limit:
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
        """Closes the connection with a TCP reset."""
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        behaviour, loop = self.host.behaviour, asyncio.get_running_loop()
        idle_s = loop.time() - self.idle_since
        if self.silent_after_s is not None and idle_s > self.silent_after_s:
            return  # as behind a middlebox that dropped the connection state: no data passes, without a reset
        self.silent_after_s = None if self.data else self.silent_after_s
        if self.reset_after_s is not None and idle_s > self.reset_after_s:
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
        is_batch = start.split()[1].endswith(":batch")
        message_ids = (
            [row["id"] for row in json.loads(rest[:length])] if is_batch else [headers["request-id"]]
        )
        call = Call(message_ids, is_batch, self.number, self.request_count, loop.time())
        self.request_count += 1
        self.host.calls.append(call)
        plan = behaviour.plan(call)
        executes = plan.executes if plan.executes is not None else plan.status in (0, 200, 500)
        if plan.repeats_previous:
            self.transport.write(self.last_response)
            self.host.duplicate_count += 1
        self.handles = [handle for handle in self.handles if handle.when() > loop.time()]
        self._call_later(plan.delay_s, self._respond, call, plan, executes)
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
            response = format_response(plan.status, body, plan.retry_after_ms)
            self.last_response = response
            self.transport.write(response * (1 + plan.duplicates_in_write))
            self.host.duplicate_count += plan.duplicates_in_write
            self.host.responses.update(call.message_ids)
            for duplicate_delay_s in plan.duplicate_delays_s:
                segment_size = -(-len(response) // plan.duplicate_segments)
                for i in range(plan.duplicate_segments):
                    segment = response[i * segment_size : (i + 1) * segment_size]
                    self._call_later(
                        duplicate_delay_s + 0.002 * i,
                        self._write_duplicate,
                        segment,
                        i == plan.duplicate_segments - 1,
                    )
            if plan.half_closes:
                self.transport.write_eof()
        self.host.notify_changed()

    def _write_duplicate(self, segment: bytes, is_last: bool) -> None:
        if not self.transport.is_closing():
            self.transport.write(segment)
        self.host.duplicate_count += is_last
        self.host.notify_changed()
