"""Connections that are counted and can be cut: `Forwarder` between processes, `Links` within one.

A cut is silence, as where a switch is gone: nothing is refused or reset, what is written goes on after the
heal. Counted are the bytes of the streams; headers of TCP and IP come to them.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any, cast

from loftrelay.net.address import Address


class Forwarder:
    """Listens for one address and hands all on to it."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.up = self.down = 0  # bytes to the target, and from it
        self.whole = asyncio.Event()  # not cut
        self.whole.set()
        self.server: asyncio.Server | None = None
        self.running: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self._join, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def total(self) -> int:
        return self.up + self.down

    def cut(self) -> None:
        self.whole.clear()

    def heal(self) -> None:
        self.whole.set()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.running:
            task.cancel()

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        other: asyncio.StreamWriter | None = None
        try:
            await self.whole.wait()
            back, other = await asyncio.open_connection(*self.target)
            ways = [
                asyncio.ensure_future(self._carry(reader, other, True)),
                asyncio.ensure_future(self._carry(back, writer, False)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
        except OSError:
            pass  # nobody listens there: its client sees the end
        except asyncio.CancelledError:
            pass
        finally:
            self.running.discard(task)
            for end in (writer, other):
                if end is not None:
                    end.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 18):
                await self.whole.wait()
                if up:
                    self.up += len(data)
                else:
                    self.down += len(data)
                writer.write(data)
                await writer.drain()


@dataclass(slots=True)
class Link:
    """One connection of one relay."""

    transport: asyncio.Transport
    held: list[bytes] | None = None  # written while it is cut

    def cut(self) -> None:
        if self.held is None and not self.transport.is_closing():
            self.held = []
            self.transport.pause_reading()

    def heal(self) -> None:
        held, self.held = self.held, None
        if held is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            for data in held:
                self.transport.write(data)


@dataclass
class Links:
    """What one relay sends and hears in this process, and whom it can't reach."""

    sent: int = 0
    heard: int = 0
    pieces: int = 0  # writes and reads
    opened: int = 0
    moves: int = 0  # connections to another place than the last
    last: Address | None = None
    blocked: set[Address] = field(default_factory=set)
    open: dict[asyncio.Transport, tuple[Address, Link]] = field(default_factory=dict)

    def cut(self, places: Iterable[Address]) -> None:
        self.blocked = set(places)
        for place, link in self.open.values():
            if place in self.blocked:
                link.cut()

    def heal(self) -> None:
        self.blocked = set()
        for _, link in self.open.values():
            link.heal()

    def attach(self, place: Address, transport: asyncio.Transport, protocol: asyncio.Protocol) -> None:
        self.opened += 1
        self.moves += self.last not in (None, place)
        self.last = place
        link = Link(transport)
        self.open[transport] = place, link
        write, received, lost = transport.write, protocol.data_received, protocol.connection_lost

        def counted_write(data: Any) -> None:
            if link.held is not None:
                link.held.append(bytes(data))
                return
            self.sent += len(data)
            self.pieces += 1
            write(data)

        def counted_received(data: bytes) -> None:
            self.heard += len(data)
            self.pieces += 1
            received(data)

        def ended(error: Exception | None) -> None:
            self.open.pop(transport, None)
            lost(error)

        # By the instance: the classes stay as the program has them, for who is not counted.
        for owner, name, new in (
            (transport, "write", counted_write),
            (protocol, "data_received", counted_received),
            (protocol, "connection_lost", ended),
        ):
            setattr(owner, name, new)


whose: ContextVar[Links | None] = ContextVar("whose", default=None)  # set before a relay's tasks are made


class CountingLoop(asyncio.SelectorEventLoop):
    """Knows whose connection it opens by the context of the task that asks."""

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        links = whose.get()
        if links is not None and (host, port) in links.blocked:
            await asyncio.get_running_loop().create_future()  # until who asks has had enough
        opened = await super().create_connection(protocol_factory, host, port, **more)
        transport, protocol = cast(tuple[asyncio.Transport, asyncio.Protocol], opened)
        if links is not None:
            links.attach((host, port), transport, protocol)
        return transport, protocol
