"""Listens to operators: bounded in callers, bytes and time, so that the door answers whoever holds it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from loftrelay.net.address import Address
from loftrelay.server.admin import protocol

MOST_CALLERS = 24  # beyond it the one that has been silent longest goes
LINE_TIME = 10.0  # seconds for a whole line
QUEUED, AT_A_TIME = 128, 8  # connections waiting to be taken, and taken in one wake of the loop


Done = Callable[[str | None], None]  # told once; a text is the reason why not


class Operated(Protocol):
    """What operators may ask of a relay."""

    @property
    def ready(self) -> bool: ...
    def figures(self) -> list[str]: ...
    def take_out(self, host: str, done: Done) -> None: ...
    def bring_back(self, host: str, done: Done) -> None: ...


class Caller(asyncio.Protocol):
    def __init__(self, door: Door) -> None:
        self.door = door
        self.reader = protocol.LineReader()
        self.transport: asyncio.Transport | None = None
        self.clock: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.clock = asyncio.get_running_loop().call_later(LINE_TIME, self._overdue)
        self.door.arrived(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.clock is not None:
            self.clock.cancel()
        self.door.gone(self)

    def data_received(self, data: bytes) -> None:
        try:
            call = self.reader.feed(data)
        except protocol.BadCall as error:
            self._answer(protocol.no(str(error)))
            return
        if call is not None:
            self.door.answer(call, self._answer)

    def eof_received(self) -> bool:
        try:
            self.reader.end()
        except protocol.BadCall as error:
            self._answer(protocol.no(str(error)))
        return True  # the answer may still be read

    def _overdue(self) -> None:
        if self.reader.done:
            self.abort()  # it does not read its answer
        else:
            self.reader.done = True
            self._answer(protocol.no("the line did not come in time"))

    def _answer(self, answer: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Door:
    def __init__(self, operated: Operated) -> None:
        self.operated = operated
        self.callers: dict[Caller, None] = {}  # in the order of arrival
        self.listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Gives the address in use: port 0 stands for a free one. Raises OSError."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening = socket.create_server(address, family=family)
        self.listener = await loop.create_server(lambda: Caller(self), sock=listening, backlog=AT_A_TIME)
        listening.listen(QUEUED)
        host, port = listening.getsockname()[:2]
        return host, port

    def arrived(self, caller: Caller) -> None:
        self.callers[caller] = None
        if len(self.callers) > MOST_CALLERS:
            oldest = next(iter(self.callers))
            self.gone(oldest)
            oldest.abort()

    def gone(self, caller: Caller) -> None:
        self.callers.pop(caller, None)

    def answer(self, call: protocol.Call, say: Callable[[bytes], None]) -> None:
        def done(why: str | None) -> None:
            say(protocol.yes() if why is None else protocol.no(why))

        match call.name:
            case "ready":
                done(None if self.operated.ready else "not ready")
            case "show-stat":
                say(protocol.stat(self.operated.figures()))
            case "disable-server":
                self.operated.take_out(call.host, done)
            case "enable-server":
                self.operated.bring_back(call.host, done)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
        for caller in list(self.callers):
            caller.abort()
