"""Listens to clients: reads their requests, answers them, and turns away what can't be read."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import logging
import math
import os
import re
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

import h11

from loftrelay.net.address import Address
from loftrelay.net.http import unread
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.intake import OVERLOAD_RETRY_AFTER_MS
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import AcceptedClasses

log = logging.getLogger(__name__)

MOST_BODY = 64 << 10
MOST_DRAINED = 1 << 20  # bytes that a client may still send once it is turned away
LINGER = 0.5  # seconds for which it may, and for which a lingering close reads and throws away
LINGERING = 8  # connections in their lingering close beyond all places: beyond, the oldest goes at once
REQUEST_TIME = 2.0  # seconds from a request's first byte to its last; the first one's from the connection on
IDLE_TIME = 3.0  # seconds for which a connection without a request is kept
TIME_TO_SPEAK = 0.1  # seconds in which a client that has just come, or been answered, may ask something
SWEEP = 0.2  # seconds between looks at who is overdue
AT_A_TIME, QUEUED = 8, 1024  # connections taken in one wake of the loop, and waiting to be
ACCEPT_PAUSE = 0.1  # seconds before more are taken after the descriptors have run out
MOST_KEY = 256
ONCE = {
    b"content-length",
    b"host",
    b"idempotency-key",
    b"request-class",
    b"request-id",
    b"request-timeout-ms",
    b"tenant",
    b"transfer-encoding",
    b"x-consignee",
}
IDEMPOTENCY_KEY = re.compile(r"[ -~]{1,256}")
IDENTIFIER = re.compile(r"[!-~]{1,128}")
NUMBER = re.compile(r"[0-9]{1,9}")
DESTINATION = re.compile(r"(?:^|[,;\s])dest=([0-9]{1,9})(?:$|[,;\s])")
READY = "/health/ready"


class BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def check_head(request: h11.Request) -> None:
    """What a request's head alone shows to be wrong. Raises BadRequest."""
    names = [name for name, _ in request.headers if name in ONCE]
    if len(names) != len(set(names)):
        raise BadRequest(400, "a header that may stand once is repeated")
    lengths = [int(value) for name, value in request.headers if name == b"content-length"]
    if lengths and b"transfer-encoding" in names:
        raise BadRequest(
            400, "Content-Length beside Transfer-Encoding"
        )  # one may hide a request from the other
    if lengths and lengths[0] > MOST_BODY:
        raise BadRequest(413, "a body holds at most 64 KiB")


def read_message(accepted: AcceptedClasses, request: h11.Request, arrived: int, body: bytes) -> Message:
    """The message that a request hands in. Raises BadRequest."""
    headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
    path = [unquote(part) for part in request.target.decode("latin-1").partition("?")[0].split("/")[1:]]
    about = accepted.message_class(path[0], arrived)
    if about is None or len(path) > 2:
        raise BadRequest(404, "no such path")
    if request.method != b"POST":
        raise BadRequest(405, "messages are handed in with POST")
    if headers.get("request-class") != about.name:
        raise BadRequest(400, "Request-Class does not name the class of the path")
    identity, tenant = headers.get("request-id", ""), headers.get("tenant")
    if not IDENTIFIER.fullmatch(identity):
        raise BadRequest(400, "Request-Id is missing or malformed")
    tenants = accepted.in_force.tenants
    if tenants and tenant not in tenants:
        raise BadRequest(400, "Tenant is missing or unknown")
    timeout = headers.get("request-timeout-ms", "")
    if not NUMBER.fullmatch(timeout):
        raise BadRequest(400, "Request-Timeout-Ms is missing or malformed")
    if about.deadline is not None and int(timeout) * 1000 > 2 * about.deadline:
        raise BadRequest(400, "Request-Timeout-Ms is longer than a message of this class can live")
    destination = DESTINATION.search(headers.get("x-consignee", ""))
    if destination is None:
        raise BadRequest(400, "X-Consignee names no dest")
    if len(path) == 2 and len(path[1]) > MOST_KEY:
        raise BadRequest(400, "the key is too long")
    key = path[1] if about.is_ordered and len(path) == 2 and path[1] else None
    idempotency_key = headers.get("idempotency-key")
    if idempotency_key is not None and not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
        raise BadRequest(400, "Idempotency-Key is malformed")
    deadline = arrived + int(timeout) * 1000
    return Message(
        identity,
        0,
        about.name,
        tenant,
        int(destination[1]),
        key,
        arrived,
        deadline,
        body,
        idempotency_key=idempotency_key,
    )


class Client(asyncio.Protocol):
    """One client connection. At every moment it has a time at which it ends if nothing happens: `due`."""

    def __init__(self, server: Server, given: Given | None = None) -> None:
        self.server = server
        self.given = given  # it comes from another process, and was read so far
        self.raw = bytearray()  # of the request that is not whole yet
        self.wire = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.pending: str | None = None  # the message whose answer is due
        self.reading = False  # a request has begun and is not whole
        self.refused = False  # what still comes is thrown away
        self.spare = MOST_DRAINED
        self.due = math.inf
        self.since = 0.0  # when it came, or had its last answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._wait(REQUEST_TIME)
        self.server.arrived(self)
        if self.given is not None:
            if self.given.kind is not Kind.NEW:
                self.server.place(self, self.given.kind)
                self._wait(IDLE_TIME)
            if self.given.raw:
                self.data_received(self.given.raw)
        if self.server.frozen:  # it was accepted, or came from elsewhere, just before all stood still
            transport.pause_reading()
            if self.server.giving is not None:
                kind = self.given.kind if self.given is not None else Kind.NEW
                self.server.hand_one(self, kind, self.server.giving)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.gone(self)
        self._withdraw()

    def eof_received(self) -> bool:
        """A client that ends its sending gives its request up."""
        return False

    def data_received(self, data: bytes) -> None:
        if self.refused:
            self.spare -= len(data)
            if self.spare < 0:
                self.abort()
            return
        if self.pending is not None:
            self._refuse(400, "one request at a time")
            return
        self.raw += data
        if not self.reading:
            self.reading = True
            if self not in self.server.newcomers:  # a newcomer's time runs from when it connected
                self._wait(REQUEST_TIME)
        try:
            self.wire.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
        except BadRequest as error:
            self._refuse(error.status, str(error))

    @property
    def idle(self) -> bool:
        return self.pending is None and not self.reading and not self.refused

    @property
    def may_go(self) -> bool:
        """Idle, and no request has come that is not read yet: closing that unread would lose it."""
        return self.idle and self.transport is not None and not unread(self.transport)

    @property
    def may_be_given(self) -> bool:
        """Nothing of it is under way here, so that another process can go on with the connection."""
        transport = self.transport
        return (
            not self.refused
            and self.pending is None
            and transport is not None
            and not transport.is_closing()
            and not transport.get_write_buffer_size()
        )

    def overdue(self) -> None:
        if self.refused:
            self.drop()
        elif self.idle and not self.may_go:
            pass  # it is read next
        elif self.idle and self not in self.server.newcomers:
            if not self.server.stopping:
                self.close()
        else:
            self._refuse(408, "the request did not come in time")

    def close(self) -> None:
        """Lingering close: no more is sent, and what still comes is read and thrown away until the client has
        ended, too, or its time is up. A close over unread bytes would reset the connection, and what was
        answered might never be read; what is read from here on is not taken on.
        """
        self.refused = True
        self._wait(LINGER)
        self.server.lingers(self)
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()

    def drop(self) -> None:
        """Ends a lingering close, without a reset where nothing has come that is unread. A client that does
        not read is not waited for.
        """
        transport = self.transport
        if transport is not None and not unread(transport) and not transport.get_write_buffer_size():
            transport.close()
        else:
            self.abort()

    def turn_away(self, reason: str) -> None:
        """It is told to come again elsewhere, or later: nothing of it was taken on."""
        if not self.refused:
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _wait(self, seconds: float) -> None:
        self.due = asyncio.get_running_loop().time() + seconds

    def _withdraw(self) -> None:
        if self.pending is not None:
            self.server.engine.intake.cancel(self.pending)
            self.pending = None

    def _read(self) -> None:
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA:
                if self.wire.they_are_waiting_for_100_continue:
                    self._write(self.wire.send(h11.InformationalResponse(status_code=100, headers=[])))
                return
            if isinstance(event, h11.Request):
                self.request, self.body = event, bytearray()
                check_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MOST_BODY:
                    raise BadRequest(413, "a body holds at most 64 KiB")
            elif isinstance(event, h11.EndOfMessage):
                if self.wire.trailing_data[0]:
                    # Such a client counts wrongly or hides a request behind another: neither is taken on.
                    raise BadRequest(400, "more than one request at a time")
                self.reading = False
                self.raw.clear()
                self._handle()
                return
            else:
                self.close()
                return

    def _handle(self) -> None:
        assert self.request is not None
        if self.request.target == READY.encode():
            if self.request.method not in (b"GET", b"HEAD"):
                raise BadRequest(405, "only GET and HEAD")
            self._answer(503 if self.server.engine.endpoints.has_no_list else 200)
            return
        engine = self.server.engine
        # A message's time counts from when its client wrote it: on a loop that is late that was a while ago.
        age = engine.context.stall_detector.age(asyncio.get_running_loop().time())
        arrived = wall_clock() - int(age * 1e6)
        held = read_message(engine.context.accepted_classes, self.request, arrived, bytes(self.body))
        if engine.intake.is_client_waiting(held.id):
            raise BadRequest(409, "a request with this id is open")
        if (known := engine.intake.known_answer(held.id)) is not None:
            self._answer(*known)
        else:
            self.pending, self.due = held.id, math.inf
            engine.intake.submit(held, self._answer)

    def _refuse(self, status: int, reason: str) -> None:
        """Answers what can't be read, if an answer can still be given, and closes a little later: a close
        with bytes unread resets the connection, and the client may never see its answer.
        """
        self._withdraw()
        if self.wire.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        headers = [("Connection", "close")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append(("Retry-After", f"{OVERLOAD_RETRY_AFTER_MS / 1000:g}"))
        if status == HTTPStatus.METHOD_NOT_ALLOWED and self.request is not None:
            headers.append(("Allow", "GET, HEAD" if self.request.target == READY.encode() else "POST"))
        self._respond(status, headers, reason)
        self.close()

    def _answer(self, status: int, again_ms: int = 0) -> None:
        if self.pending is None and self.transport is not None and self.transport.is_closing():
            return  # it went while its final answer was recorded
        self.pending = None
        headers = []
        if again_ms:
            headers.append(("Retry-After", f"{again_ms / 1000:g}"))
        if self.server.closed:
            headers.append(("Connection", "close"))
        self._respond(status, headers, "")
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            self._wait(IDLE_TIME)
            self.server.served(self)
        else:
            self.close()

    def _respond(self, status: int, headers: list[tuple[str, str]], reason: str) -> None:
        body = f"{reason}\n".encode() if reason else b""
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(
            status_code=status,
            reason=HTTPStatus(status).phrase,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )
        self._write(
            b"".join(self.wire.send(event) or b"" for event in (head, h11.Data(body), h11.EndOfMessage()))
        )

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None:
            self.transport.write(data)


class Kind(Enum):
    """What a client is known by."""

    NEW = auto()  # no whole request has come yet
    ONCE = auto()
    REGULAR = auto()


@dataclass(frozen=True, slots=True)
class Given:
    """A client's connection that goes from one process to another."""

    kind: Kind
    raw: bytes  # of a request that is not whole
    file: int

    def row(self) -> dict[str, Any]:
        """All but the descriptor, as JSON."""
        return {"kind": self.kind.name, "raw": base64.b64encode(self.raw).decode()}

    @classmethod
    def read(cls, row: Mapping[str, Any], file: int) -> Given:
        """Raises KeyError or ValueError."""
        return cls(Kind[row["kind"]], base64.b64decode(row["raw"]), file)


class Server:
    def __init__(self, engine: Engine, most_clients: int) -> None:
        self.engine = engine
        self.most_clients = most_clients
        self.newcomers: dict[Client, None] = {}  # no whole request has come yet; in the order of arrival
        self.once: dict[
            Client, None
        ] = {}  # those that have asked once, and more often; in the order of their
        self.regulars: dict[Client, None] = {}  # last answers
        self.lingering: dict[Client, None] = {}  # in their lingering close, the oldest first
        self.stopping = False  # idle connections are kept: no new ones will come
        self.closed = False
        self.listening: socket.socket | None = None
        self.attaching: set[asyncio.Task[None]] = set()  # connections that were accepted just now
        self.accepting_again: asyncio.TimerHandle | None = None
        self.inherited: int | None = None
        self.frozen = False
        self.giving: Callable[[dict[str, Any], int], None] | None = None  # who comes late, goes there too
        self.sweeping: asyncio.TimerHandle | None = None

    async def listen(self, address: Address, inherited: int | None = None) -> Address:
        """Gives the address in use: port 0 stands for a free one. `inherited`: the descriptor of a socket
        that listens already, and is shared with other processes. Raises OSError.
        """
        self.inherited = inherited
        if inherited is not None:
            listening = socket.socket(fileno=os.dup(inherited))
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            listening = socket.create_server(address, family=family)
        self._listen(listening)
        self._sweep()
        host, port = listening.getsockname()[:2]
        return host, port

    def _listen(self, listening: socket.socket) -> None:
        """By its own reader: asyncio's server drops what it accepted in the pass before its close."""
        listening.setblocking(False)
        listening.listen(QUEUED)
        self.listening = listening
        self._accept_again()

    def _accept_again(self) -> None:
        if self.listening is not None:
            asyncio.get_running_loop().add_reader(self.listening.fileno(), self._accept, AT_A_TIME)

    def _accept(self, most: int) -> None:
        """One wake takes few, so that places can be freed in between. The system queues many more."""
        assert self.listening is not None
        loop = asyncio.get_running_loop()
        for _ in range(most):
            try:
                accepted, _ = self.listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # descriptors have run out: those that come wait until some are free
                log.warning("a connection can't be accepted: %s", error)
                loop.remove_reader(self.listening.fileno())
                self.accepting_again = loop.call_later(ACCEPT_PAUSE, self._accept_again)
                return
            accepted.setblocking(False)
            task = loop.create_task(self._attach(accepted))
            self.attaching.add(task)
            task.add_done_callback(self.attaching.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):  # it went on the way
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Client(self), accepted)

    def _stop_listening(self) -> None:
        if self.accepting_again is not None:
            self.accepting_again.cancel()
        if self.listening is not None:
            asyncio.get_running_loop().remove_reader(self.listening.fileno())
            self.listening.close()
            self.listening = None

    # Between two processes

    def freeze(self) -> None:
        """Takes nobody and reads nothing. What clients write waits in their sockets."""
        self.frozen = True
        self._stop_listening()
        for client in self.clients():
            if client.transport is not None and not client.refused:
                client.transport.pause_reading()

    async def thaw(self) -> None:
        self.frozen = False
        for client in self.clients():
            if client.transport is not None and not client.refused:
                client.transport.resume_reading()
        if self.inherited is not None:
            self._listen(socket.socket(fileno=os.dup(self.inherited)))

    def hand(self, give: Callable[[dict[str, Any], int], None]) -> None:
        """Gives each client that another process can go on with: its row and its descriptor, which is to be
        duplicated. The rest end here, once what was written to them is sent.
        """
        self.giving = give
        kinds = ((Kind.NEW, self.newcomers), (Kind.ONCE, self.once), (Kind.REGULAR, self.regulars))
        for kind, clients in kinds:
            for client in list(clients):
                self.hand_one(client, kind, give)

    def hand_one(self, client: Client, kind: Kind, give: Callable[[dict[str, Any], int], None]) -> None:
        transport = client.transport
        if transport is not None and client.may_be_given:
            file = transport.get_extra_info("socket").fileno()
            give(Given(kind, bytes(client.raw), file).row(), file)
            self.gone(client)
            client.refused = True  # here; the connection itself lives on
            transport.abort()
        elif not client.refused:
            client.close()

    async def adopt(self, row: Mapping[str, Any], file: int) -> None:
        """Goes on with a client of another process; the descriptor is this one's own from now on. Raises
        KeyError or ValueError where the row can't be read: then it is not.
        """
        given = Given.read(row, file)
        sock = socket.socket(fileno=given.file)
        try:
            sock.setblocking(False)
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Client(self, given), sock)
        except OSError:
            sock.close()  # it went on the way

    def arrived(self, client: Client) -> None:
        self.newcomers[client] = None
        client.since = asyncio.get_running_loop().time()
        if self.places_taken > self.most_clients:
            leaves = self._least_missed(client)
            if leaves is client:
                leaves.turn_away("all places are taken")
            else:
                leaves.close()

    def lingers(self, client: Client) -> None:
        self.gone(client)
        self.lingering[client] = None
        if self.places_taken + len(self.lingering) > self.most_clients + LINGERING:
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]  # now: the loop tells of its end only in a later pass
            oldest.drop()

    def _least_missed(self, client: Client) -> Client:
        """Who goes so that a new client may stay: one that has had time to speak and said nothing, then the
        longest idle, those that asked only once before the others. One that came just now may be about to
        ask, as the new one may.
        """
        now = asyncio.get_running_loop().time()
        silent = next((c for c in self.newcomers if c.may_go and c is not client), None)
        idle = next((c for c in (*self.once, *self.regulars) if c.may_go), None)
        if silent is not None and (idle is None or now - silent.since > TIME_TO_SPEAK):
            return silent
        if idle is not None and (silent is None or now - idle.since > TIME_TO_SPEAK):
            return idle
        return silent or idle or client

    @property
    def places_taken(self) -> int:
        return len(self.newcomers) + len(self.once) + len(self.regulars)

    def clients(self) -> list[Client]:
        """All that are not in their lingering close."""
        return [*self.newcomers, *self.once, *self.regulars]

    def served(self, client: Client) -> None:
        self.place(client, Kind.ONCE if client in self.newcomers else Kind.REGULAR)

    def place(self, client: Client, kind: Kind) -> None:
        self.gone(client)
        (self.once if kind is Kind.ONCE else self.regulars)[client] = None
        client.since = asyncio.get_running_loop().time()

    def gone(self, client: Client) -> None:
        self.newcomers.pop(client, None)
        self.once.pop(client, None)
        self.regulars.pop(client, None)
        self.lingering.pop(client, None)

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self.sweeping = loop.call_later(SWEEP, self._sweep)
        self.engine.context.stall_detector.look(loop.time())
        self.engine.context.stall_detector.expect(self.sweeping.when())
        for client in (*self.clients(), *self.lingering):
            if client.due <= loop.time() and (client.refused or not self.frozen):
                client.overdue()

    @property
    def unfinished(self) -> bool:
        """Whether a client is still there, be it in its lingering close."""
        return bool(self.newcomers or self.once or self.regulars or self.lingering)

    async def close(self) -> None:
        """No further connections but those that the system has taken already, and none kept on which no
        request is open.
        """
        self.closed = True
        if self.listening is not None and self.inherited is None:
            self._accept(QUEUED)  # the system would reset those
        self._stop_listening()
        if self.attaching:
            await asyncio.wait(self.attaching)
        for client in self.clients():
            if client.may_go and client not in self.newcomers:  # those may be about to ask, and get an answer
                client.close()

    def end(self) -> None:
        """The last thing before the process ends: whoever has no answer yet gets one."""
        for client in self.clients():
            client.turn_away("the relay ends")
