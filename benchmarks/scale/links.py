"""Connections whose bytes are counted and that can be cut: `Forwarder` between processes, `Links` within one.

A cut is silent, as when a switch fails: no connection is refused or reset, and what is written meanwhile is
sent after the heal. Counted are the bytes of the streams, without TCP and IP headers.
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
    """Listens on a port and forwards all connections to one address."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.bytes_to_target = self.bytes_from_target = 0
        self.intact = asyncio.Event()  # not cut
        self.intact.set()
        self.server: asyncio.Server | None = None
        self.running: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def total(self) -> int:
        return self.bytes_to_target + self.bytes_from_target

    def cut(self) -> None:
        self.intact.clear()

    def heal(self) -> None:
        self.intact.set()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.running:
            task.cancel()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.running.add(task)
        target_writer: asyncio.StreamWriter | None = None
        try:
            await self.intact.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            directions = [
                asyncio.ensure_future(self._copy(reader, target_writer, True)),
                asyncio.ensure_future(self._copy(target_reader, writer, False)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for direction in directions:
                    direction.cancel()
        except OSError:
            pass  # the target does not listen: the client's connection is closed
        except asyncio.CancelledError:
            pass
        finally:
            self.running.discard(task)
            for stream in (writer, target_writer):
                if stream is not None:
                    stream.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_target: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 18):
                await self.intact.wait()
                if to_target:
                    self.bytes_to_target += len(data)
                else:
                    self.bytes_from_target += len(data)
                writer.write(data)
                await writer.drain()


@dataclass(slots=True)
class Link:
    """One connection of one relay."""

    transport: asyncio.Transport
    pending_writes: list[bytes] | None = None  # written while the connection is cut; None: not cut

    def cut(self) -> None:
        if self.pending_writes is None and not self.transport.is_closing():
            self.pending_writes = []
            self.transport.pause_reading()

    def heal(self) -> None:
        pending, self.pending_writes = self.pending_writes, None
        if pending is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            for data in pending:
                self.transport.write(data)


@dataclass
class Links:
    """Connections of one relay in this process, and addresses that it can't reach."""

    sent_bytes: int = 0
    received_bytes: int = 0
    io_operations: int = 0  # writes and reads
    opened: int = 0
    moves: int = 0  # connections to another address than the previous one
    last_address: Address | None = None
    blocked: set[Address] = field(default_factory=set)
    open: dict[asyncio.Transport, tuple[Address, Link]] = field(default_factory=dict)

    def cut(self, addresses: Iterable[Address]) -> None:
        self.blocked = set(addresses)
        for address, link in self.open.values():
            if address in self.blocked:
                link.cut()

    def heal(self) -> None:
        self.blocked = set()
        for _, link in self.open.values():
            link.heal()

    def attach(self, address: Address, transport: asyncio.Transport, protocol: asyncio.Protocol) -> None:
        self.opened += 1
        self.moves += self.last_address not in (None, address)
        self.last_address = address
        link = Link(transport)
        self.open[transport] = address, link
        write, received, lost = transport.write, protocol.data_received, protocol.connection_lost

        def counted_write(data: Any) -> None:
            if link.pending_writes is not None:
                link.pending_writes.append(bytes(data))
                return
            self.sent_bytes += len(data)
            self.io_operations += 1
            write(data)

        def counted_received(data: bytes) -> None:
            self.received_bytes += len(data)
            self.io_operations += 1
            received(data)

        def counted_connection_lost(error: Exception | None) -> None:
            self.open.pop(transport, None)
            lost(error)

        # Set on the instances, so that the classes of the program stay as they are for other connections.
        for owner, name, function in (
            (transport, "write", counted_write),
            (protocol, "data_received", counted_received),
            (protocol, "connection_lost", counted_connection_lost),
        ):
            setattr(owner, name, function)


# Links of the relay whose task is running; set before the tasks of a relay are created.
current_links: ContextVar[Links | None] = ContextVar("current_links", default=None)


class CountingLoop(asyncio.SelectorEventLoop):
    """Event loop that attaches each new connection to the links of the task that opens it."""

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **kwargs: Any
    ) -> tuple[asyncio.Transport, asyncio.Protocol]:
        links = current_links.get()
        if links is not None and (host, port) in links.blocked:
            await asyncio.get_running_loop().create_future()  # until the caller's timeout
        opened = await super().create_connection(protocol_factory, host, port, **kwargs)
        transport, protocol = cast(tuple[asyncio.Transport, asyncio.Protocol], opened)
        if links is not None:
            links.attach((host, port), transport, protocol)
        return transport, protocol
