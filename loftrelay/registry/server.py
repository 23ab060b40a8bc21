"""Listens to relays: reads their calls, answers them, and lets their watches wait."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus

import h11

from loftrelay.net.address import Address
from loftrelay.registry import protocol
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.protocol import Answer, Change, Plain, ProtocolError, Watch
from loftrelay.registry.subscriptions import Parked, Refused, Subscriptions, Told

log = logging.getLogger(__name__)

READY, FIGURES = "/health/ready", "/figures"
MOST_TARGET, MOST_HEAD = 16 << 10, 24 << 10  # bytes of a request's target, and of its whole head
MOST_BODY = 64 << 10  # that of a GET is thrown away
MOST_PLAIN = 1 << 20  # bytes of a whole list: what a relay without slices takes
REQUEST_TIME = 2.0  # seconds from a request's first byte to its last; the first one's from the connection on
READ_TIME = 10.0  # seconds in which an answer has to be read
LINGER = 0.5  # seconds for which a caller that is turned away may still send
SWEEP = 0.2  # seconds between looks at who is overdue
LATE = 0.2  # seconds for which a watch waits for a revision that this registry has not heard of yet
STOP = 2.0  # seconds in which the last answers have to be read
AT_A_TIME, QUEUED = 64, 1024  # connections taken in one wake of the loop, and waiting to be
SLICE = 0.005  # seconds of answers to watches in one turn of the loop
JOINED = 64 << 10  # bytes of a body up to which it is written together with its head


class Client(asyncio.Protocol):
    """One connection of a relay. `due`: when it ends if nothing happens."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.wire = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = 0
        self.reading = False  # a request has begun and is not whole
        self.refused = False  # what still comes is thrown away
        self.full = False  # an answer is not read yet
        self.parked: Parked | Plain | None = None  # the watch that waits
        self.clock: asyncio.TimerHandle | None = None  # its end
        self.due = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # so that pause_writing tells of every byte left
        self.transport = transport
        self._wait(REQUEST_TIME)
        self.server.clients[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.clients.pop(self, None)
        self.server.left(self)

    def eof_received(self) -> bool:
        return False  # a caller that ends its sending gives its call up

    def pause_writing(self) -> None:
        self.full = True
        if not self.refused:
            self._wait(READ_TIME)

    def resume_writing(self) -> None:
        self.full = False
        if not self.refused and not self.reading:
            self._wait(self.server.idle)

    def data_received(self, data: bytes) -> None:
        self.server.counts["bytes_in"] += len(data)
        if self.refused:
            self.body += len(data)
            if self.body > MOST_BODY:
                self.abort()
            return
        if self.parked is not None or self.full:
            self.server.left(self)
            self.refuse(HTTPStatus.BAD_REQUEST, "one call at a time on a connection")
            return
        if not self.reading:
            self.reading = True
            self._wait(REQUEST_TIME)
        try:
            self.wire.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as error:
            self.refuse(error.error_status_hint, str(error))

    def _read(self) -> None:
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self.request, self.body = event, 0
            elif isinstance(event, h11.Data):
                self.body += len(event.data)
                if self.body > MOST_BODY:
                    self.refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "a call has no body")
                    return
            elif isinstance(event, h11.EndOfMessage):
                if self.wire.trailing_data[0]:
                    self.refuse(HTTPStatus.BAD_REQUEST, "one call at a time on a connection")
                    return
                self.reading, self.due = False, math.inf
                assert self.request is not None
                self.server.handle(self, self.request)
                return
            else:
                self.end()
                return

    def overdue(self) -> None:
        if self.refused or self.full:
            self.abort()
        elif self.reading or self.request is None:
            self.refuse(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        else:
            self.end()

    def refuse(self, status: int, why: str) -> None:
        """Answers what can't be read, if an answer can still be given. It is closed a little later: a close
        over unread bytes resets the connection, and the answer may never be read.
        """
        if self.wire.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, protocol.write_error(why), last=True)
        else:
            self.abort()

    def answer(self, status: int, body: bytes, kind: str = "application/json", last: bool = False) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        last = last or self.server.stopping
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        headers += [("Connection", "close")] * last
        self._wait(self.server.idle)  # unless pause_writing says otherwise
        head = h11.Response(status_code=status, reason=HTTPStatus(status).phrase, headers=headers)
        parts = [self.wire.send(head) or b""]
        if self.request is None or self.request.method != b"HEAD":
            parts.append(body)
            self.wire.send_with_data_passthrough(h11.Data(body))
        self.wire.send(h11.EndOfMessage())
        self.server.counts["bytes_out"] += sum(map(len, parts))
        if len(body) <= JOINED:
            parts = [b"".join(parts)]
        for part in parts:
            transport.write(part)
        if not last and self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
        else:
            self.end()

    def end(self) -> None:
        """Lingering close: what still comes is read and thrown away for a moment."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.refused, self.body = True, 0
        self._wait(READ_TIME if self.full else LINGER)
        transport.write_eof()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _wait(self, seconds: float) -> None:
        self.due = asyncio.get_running_loop().time() + seconds


class Server:
    """`age`: seconds since discovery was last heard; `figures`: more lines for its page; `idle`: seconds for
    which a connection without a call is kept.
    """

    def __init__(
        self,
        catalog: Catalog,
        subscriptions: Subscriptions,
        age: Callable[[], float],
        figures: Callable[[], list[str]],
        idle: float,
    ) -> None:
        self.catalog, self.subscriptions = catalog, subscriptions
        self.age, self.figures, self.idle = age, figures, idle
        self.clients: dict[Client, None] = {}
        self.counts: Counter[str] = Counter()  # bytes in and out, calls and answers by kind
        self.stopping = False
        self.listener: asyncio.Server | None = None
        self._plain: dict[Client, None] = {}  # whole lists' watches that wait
        self._due: deque[Parked | Client] = (
            deque()
        )  # watches that a change ended and that are not answered yet
        self._pumping = False
        self._sweeper: asyncio.Task[None] | None = None

    async def listen(self, address: Address) -> Address:
        """Gives the address in use: port 0 stands for a free one. Raises OSError."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening = socket.create_server(address, family=family)
        self.listener = await loop.create_server(lambda: Client(self), sock=listening, backlog=AT_A_TIME)
        listening.listen(QUEUED)
        self._sweeper = asyncio.create_task(self._sweep())
        host, port = listening.getsockname()[:2]
        return host, port

    async def stop(self) -> None:
        """Every watch is answered, and every connection ended."""
        self.stopping = True
        if self.listener is not None:
            self.listener.close()
        for client in list(self.clients):
            if isinstance(client.parked, Parked):
                self._end(client.parked)
            elif client.parked is not None:
                self._end_plain(client)
            elif not client.reading and not client.refused:
                client.end()
        until = asyncio.get_running_loop().time() + STOP
        while self.clients and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(0.01)
        for client in list(self.clients):
            client.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            now = asyncio.get_running_loop().time()
            for client in [client for client in self.clients if client.due <= now]:
                client.overdue()
            self.subscriptions.expire(now)

    # Calls

    def handle(self, client: Client, request: h11.Request) -> None:
        target = request.target.decode("latin-1")
        path = target.partition("?")[0]
        if len(target) > MOST_TARGET:
            client.refuse(HTTPStatus.REQUEST_URI_TOO_LONG, f"target: is over {MOST_TARGET} bytes")
        elif request.method not in (b"GET", b"HEAD"):
            client.refuse(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and HEAD")
        elif path == READY:
            if self.catalog.known:
                client.answer(HTTPStatus.OK, b"", "text/plain")
            else:
                self._say(client, protocol.UNAVAILABLE, "no list of discovery yet")
        elif path == FIGURES:
            self.counts["pages"] += 1
            lines = [*self.lines(), *self.figures(), ""]
            client.answer(HTTPStatus.OK, "\n".join(lines).encode(), "text/plain")
        elif path == protocol.PATH:
            self._call(client, target)
        else:
            self._say(client, HTTPStatus.NOT_FOUND, f"target = {path[:80]!r}: no such page")

    def _call(self, client: Client, target: str) -> None:
        now = asyncio.get_running_loop().time()
        try:
            call = protocol.read_target(target)
        except ProtocolError as error:
            self._say(client, protocol.BAD, str(error))
            return
        if not self.catalog.known:
            self._say(client, protocol.UNAVAILABLE, "no list of discovery yet")
            return
        try:
            if isinstance(call, Change):
                self._tell(client, self.subscriptions.change(call, now))
            elif isinstance(call, Plain):
                self._plain_call(client, call)
            else:
                self._watch(client, call, now)
        except Refused as error:
            self._say(client, error.status, str(error))

    def _watch(self, client: Client, call: Watch, now: float) -> None:
        told, older = self.subscriptions.watch(call, client, now)
        if older is not None:
            self._answered(older.token)
            self._tell(older.token, self.subscriptions.nothing(older.subscription))
        if told is not None:
            self._tell(client, told)
            return
        parked = client.parked = self.subscriptions.of[call.subscriber].watch
        assert parked is not None
        wait = min(call.wait / 1000, LATE if call.index > self.catalog.revision else math.inf)
        client.clock = asyncio.get_running_loop().call_later(wait, self._end, parked)

    def _tell(self, client: Client, told: Told) -> None:
        answer = Answer(
            self.subscriptions.fleet,
            self.catalog.revision,
            int(self.age() * 1000),
            told.seq,
            told.count,
            told.sum,
            told.cells,
            (),
        )
        self.counts["told"] += 1
        client.answer(HTTPStatus.OK, protocol.write_answer(answer, told.rows))

    def _say(self, client: Client, status: int, why: str) -> None:
        self.counts[f"answers_{int(status)}"] += 1
        client.answer(status, protocol.write_error(why))

    def _end(self, parked: Parked) -> None:
        """The watch's time is up, or there is news for it."""
        if not parked.open:
            return
        client: Client = parked.token
        self._answered(client)
        try:
            self._tell(client, self.subscriptions.end(parked, asyncio.get_running_loop().time()))
        except Refused as error:
            self._say(client, error.status, str(error))

    def _answered(self, client: Client) -> None:
        client.parked = None
        if client.clock is not None:
            client.clock.cancel()
            client.clock = None

    def left(self, client: Client) -> None:
        """Nobody waits for that watch any more."""
        if isinstance(client.parked, Parked):
            self.subscriptions.left(client.parked, asyncio.get_running_loop().time())
        self._plain.pop(client, None)
        self._answered(client)

    # Discovery's own form, for who is subscribed to nothing

    def _plain_call(self, client: Client, call: Plain) -> None:
        if call.index is None:
            self._tell_whole(client)
            return
        if self._plain_news(client, call.index):
            return
        client.parked = call
        self._plain[client] = None
        client.clock = asyncio.get_running_loop().call_later(call.wait / 1000, self._end_plain, client)

    def _plain_news(self, client: Client, index: int) -> bool:
        """Whether something is newer; it is told then."""
        if index == self.catalog.revision:
            return False
        rows = self.catalog.all_since(index)
        if rows is None:
            self._tell_whole(client)
        elif rows.gone or rows.listed:
            self._tell_plain(client, False, rows.gone + rows.listed)
        else:
            return False
        return True

    def _tell_whole(self, client: Client) -> None:
        size = self.catalog.size + self.catalog.hosts
        if size > MOST_PLAIN:
            why = f"the whole list has {size} bytes, at most {MOST_PLAIN} are told: subscribe to a slice"
            self._say(client, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, why)
        else:
            self._tell_plain(client, True, list(self.catalog.all_rows()))

    def _tell_plain(self, client: Client, complete: bool, rows: list[bytes]) -> None:
        client.answer(HTTPStatus.OK, protocol.write_plain(self.catalog.revision, complete, rows))

    def _end_plain(self, client: Client) -> None:
        if not isinstance(client.parked, Plain) or client.parked.index is None:
            return
        index = client.parked.index
        self._plain.pop(client, None)
        self._answered(client)
        if not self._plain_news(client, index):
            self._tell_plain(client, False, [])

    # News

    def news(self, anew: bool) -> None:
        """The list in force is a newer one: answers the watches that it concerns, some in each turn."""
        self._due += self.subscriptions.wake(anew)
        self._due += self._plain
        self._pump_later()

    def _pump_later(self) -> None:
        if self._due and not self._pumping:
            self._pumping = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + SLICE
        self._pumping = False
        while self._due and loop.time() < until:
            due = self._due.popleft()
            if isinstance(due, Parked):
                self._end(due)
            else:
                self._end_plain(due)
        self._pump_later()

    def lines(self) -> list[str]:
        counts, of = self.counts, self.subscriptions
        figures = {
            "subscribers": len(of.of),
            "subscribed": of.cells,
            "watches": of.watches + len(self._plain),
            "connections": len(self.clients),
            "cells": len(self.catalog.by_cell),
            "hosts": self.catalog.hosts,
            "gone": self.catalog.tombstones,
            "revision": self.catalog.revision,
            "floor": self.catalog.floor,
            "age_ms": int(self.age() * 1000) if self.catalog.known else -1,
            "changes": self.catalog.changes,
            "woken": of.woken,
            "answers_200": counts["told"],
            "answers_400": counts["answers_400"],
            "answers_403": counts["answers_403"],
            "answers_410": counts["answers_410"],
            "answers_503": counts["answers_503"],
            "bytes_in": counts["bytes_in"],
            "bytes_out": counts["bytes_out"],
            "pages": counts["pages"],
        }
        return [f"{name} {value}" for name, value in figures.items()]
