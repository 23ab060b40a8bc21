"""One HTTP/1.1 connection to a host or to discovery. It carries one request at a time and resends nothing."""

from __future__ import annotations

import asyncio
import os
import re
import select
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto
from functools import partial

import h11

from loftrelay.net.address import Address

LOOKS = 3  # passes of the loop in which what has come unread is read: a stall may have held it up
MOST_BODY = 1 << 20  # bytes of an answer, where nothing else is said: one without end does not fit
SLOWEST = 4 << 20  # bytes a second: a longer answer that is coming in has so much more time for the rest
START = b"HTTP/1."
Headers = Iterable[tuple[bytes, bytes]]  # as they came, names in lower case
DELIVERED = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")


class ConnectionBroken(Exception):
    """No whole answer came. Whether the request was written: Connection.written."""


class Unusable(ConnectionBroken):
    """Not a byte of the request was written: something, or the end, had come before."""


class Unasked(Enum):
    """What came on a connection that waits for no answer."""

    ANSWER = auto()  # bytes that may be the start of one: it could have been taken for another request's
    NOISE = auto()
    END = auto()  # the peer closed or reset it


class AnswerSpoilt(ConnectionBroken):
    """Something came that is no sound answer, while the connection stood."""


class AnswerTooLong(AnswerSpoilt):
    """`size`: what its head says, in bytes; None: it says nothing, and there was more than `limit`."""

    def __init__(self, size: int | None, limit: int) -> None:
        super().__init__(size, limit)
        self.size, self.limit = size, limit


@dataclass(frozen=True, slots=True)
class Answer:
    status: int
    headers: dict[bytes, bytes]
    body: bytes


def what_is(data: bytes) -> Unasked:
    """The nature of bytes that nothing asked for."""
    if not data:
        return Unasked.END
    return Unasked.ANSWER if data[: len(START)] == START[: len(data)] else Unasked.NOISE


def unread(transport: asyncio.Transport) -> Unasked | None:
    """What has come that the loop has not read yet, the end or bytes. It stays there to be read."""
    if transport.is_closing():
        return None
    number = transport.get_extra_info("socket").fileno()
    poll = select.poll()
    poll.register(number, select.POLLIN)
    if not poll.poll(0):
        return None
    try:
        with socket.socket(fileno=os.dup(number)) as same:
            return what_is(same.recv(len(START), socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:  # also where no descriptor is left for the look
        return Unasked.END


class Connection(asyncio.Protocol):
    def __init__(self, most_body: int = MOST_BODY) -> None:
        """`most_body`: bytes; an answer with a longer body is given up as soon as that is known."""
        self.address: Address | None = None
        self.most_body = most_body
        self.wire = h11.Connection(h11.CLIENT)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[Answer] | None = None
        self.written = False  # the last byte of the request was handed to the system
        self.written_at = 0.0  # when it was, and when the answer's first byte came (the loop's seconds)
        self.heard_at = 0.0
        self.surplus: Unasked | None = None  # what came right behind the last answer
        self.unasked: Callable[[Unasked], None] | None = (
            None  # told once of what comes while nothing is asked
        )
        self.whole: Callable[[], None] | None = None  # told once the request that is out is written whole
        self.heard: Callable[[Headers], None] | None = None  # told once the head of its answer has come
        self._head = bytearray()
        self._response: h11.Response | None = None
        self._body = bytearray()
        self._stall: float | None = None
        self._clock: asyncio.TimerHandle | None = None
        self._limit: asyncio.TimerHandle | None = None

    @classmethod
    async def open(cls, address: Address, timeout: float, most_body: int = MOST_BODY) -> Connection:
        """Raises OSError (TimeoutError among them) if it does not come up in time."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout):
            _, connection = await loop.create_connection(partial(cls, most_body), *address)
        connection.address = address
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # so that pause_writing tells of every byte left
        self.transport = transport

    def pause_writing(self) -> None:
        self.written = False

    def resume_writing(self) -> None:
        self.written = True
        self.written_at = asyncio.get_running_loop().time()
        self._tell_whole()

    def _tell_whole(self) -> None:
        told, self.whole = self.whole, None
        if told is not None:
            told()

    @property
    def says_delivered(self) -> bool:
        """The answer's first line is there and says 200, whatever came after it."""
        if self._response is not None:
            return self._response.status_code == 200
        return b"\n" in self._head and DELIVERED.match(self._head) is not None

    def usable(self) -> bool:
        """Whether the kept connection still stands: the end may have come without being read yet."""
        if self.transport is None or self.transport.is_closing() or self.wire.our_state is not h11.IDLE:
            return False
        return unread(self.transport) is None

    def look_behind(self) -> None:
        """Takes note of bytes that came behind the answer and were not read with it, as on a loop that is
        late.
        """
        if self.surplus is None and self.transport is not None:
            came = unread(self.transport)
            self.surplus = came if came is not Unasked.END else None

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        stall: float | None = None,
        whole: Callable[[], None] | None = None,
        until: float | None = None,
        heard: Callable[[Headers], None] | None = None,
    ) -> Answer:
        """Raises Unusable if it is found to be of no use before a byte is written; ConnectionBroken if no
        whole answer comes, also when one that has begun is not whole after `stall` seconds, or is longer
        than `most_body` (AnswerTooLong); TimeoutError if none has come by `until` (the loop's seconds), read
        or not; one that is longer than MOST_BODY has more time. Calls `whole` once the system has the
        request's last byte, and `heard` with the headers of its answer once they are there, whatever comes of
        its rest.
        If this is cancelled, the connection must be closed.
        """
        assert self.transport is not None
        if not self.usable():
            raise Unusable
        self.answer = asyncio.get_running_loop().create_future()
        self._head, self._body, self._response, self._stall = bytearray(), bytearray(), None, stall
        head = h11.Request(method=method, target=target, headers=list(headers.items()))
        data = b"".join(self.wire.send(event) or b"" for event in (head, h11.Data(body), h11.EndOfMessage()))
        self.written, self.heard_at = True, 0.0  # unless pause_writing says otherwise at once
        self.written_at = asyncio.get_running_loop().time()
        self.whole, self.heard = whole, heard
        self.transport.write(data)
        if self.written and not self.transport.is_closing():
            self._tell_whole()
        if until is not None:
            self._limit = asyncio.get_running_loop().call_at(until, self._expire, LOOKS)
        try:
            return await self.answer
        finally:
            if self._limit is not None:
                self._limit.cancel()

    def _expire(self, looks: int) -> None:
        """A loop that is late may find the time up before it reads the answer that has come long since."""
        if self.answer is None or self.answer.done():
            return
        if looks and self.transport is not None and unread(self.transport) is not None:
            self._limit = asyncio.get_running_loop().call_later(0, self._expire, looks - 1)
        else:
            self.answer.set_exception(TimeoutError())

    def data_received(self, data: bytes) -> None:
        self._feed(data)

    def eof_received(self) -> bool:
        self._feed(b"")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        asked = self.answer is not None and not self.answer.done()
        self.close()
        self._break(ConnectionBroken())
        if not asked:
            self._tell(Unasked.END)

    def _tell(self, what: Unasked) -> None:
        told, self.unasked = self.unasked, None
        if told is not None:
            told(what)

    def take_back(self, why: Exception) -> bool:
        """Ends the request that is out with `why`, unless its last byte is written already: the peer can't
        have begun it, and never has it whole.
        """
        if self.written or self.answer is None or self.answer.done():
            return False
        self.close()
        self.answer.set_exception(why)
        return True

    def close(self) -> None:
        self._stop_clock()
        if self.transport is not None:
            self.transport.abort()

    def _stop_clock(self) -> None:
        if self._clock is not None:
            self._clock.cancel()
            self._clock = None

    def _stalled(self, looks: int) -> None:
        if looks and self.transport is not None and unread(self.transport) is not None:
            self._clock = asyncio.get_running_loop().call_later(0, self._stalled, looks - 1)
        else:
            self._spoilt()

    def _spoilt(self, why: AnswerSpoilt | None = None) -> None:
        self.close()
        self._break(why or AnswerSpoilt())

    def _break(self, why: ConnectionBroken) -> None:
        if self.answer is not None and not self.answer.done():
            self.unasked = None  # who asked hears it by the answer
            self.answer.set_exception(why)

    def _feed(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self.close()  # the end, or an answer to nothing: of no further use
            self._tell(what_is(data))
            return
        if not self.heard_at:
            self.heard_at = asyncio.get_running_loop().time()
        if data and not self.written:
            # Nobody can have answered what was not asked whole: this is for another request.
            self.surplus = what_is(data)
            self.close()
            self._break(ConnectionBroken())
            return
        if self._stall is not None and self._clock is None:
            self._clock = asyncio.get_running_loop().call_later(self._stall, self._stalled, LOOKS)
        if self._response is None:
            self._head += data
        try:
            if self._head[: len(START)] != START[: len(self._head)]:
                raise h11.RemoteProtocolError("not an answer in HTTP/1")
            self.wire.receive_data(data)
            self._read_events()
        except h11.RemoteProtocolError:
            if data:
                self._spoilt()
            else:
                self.connection_lost(None)  # it ended in the midst of an answer

    def _read_events(self) -> None:
        assert self.answer is not None
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._head = bytearray(self.wire.trailing_data[0])
                if not self._head:
                    self._stop_clock()  # the answer itself may take its time
            elif isinstance(event, h11.Response):
                self._response = event
                if self.heard is not None:
                    self.heard(event.headers)
                size = int(dict(event.headers).get(b"content-length", b"0"))
                if size > self.most_body:
                    self._spoilt(AnswerTooLong(size, self.most_body))
                    return
                self._give_time(size - MOST_BODY)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self.most_body:
                    self._spoilt(AnswerTooLong(None, self.most_body))
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
                return
            else:
                raise h11.RemoteProtocolError("the connection ended")

    def _give_time(self, size: int) -> None:
        """For the rest of a long answer."""
        if size > 0 and self._limit is not None:
            until = self._limit.when() + size / SLOWEST
            self._limit.cancel()
            self._limit = asyncio.get_running_loop().call_at(until, self._expire, LOOKS)

    def _finish(self) -> None:
        assert self.answer is not None and self._response is not None
        self._stop_clock()
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE and self.written:
            self.wire.start_next_cycle()
        if self.wire.trailing_data[0]:
            self.surplus = what_is(self.wire.trailing_data[0])
        if self.wire.our_state is not h11.IDLE or self.surplus is not None:
            self.close()
        headers = dict(self._response.headers)
        self.answer.set_result(Answer(self._response.status_code, headers, bytes(self._body)))
