"""Listens to clients: reads their requests, answers them, and turns away what can't be read."""

from __future__ import annotations

import asyncio
import logging
import re
from http import HTTPStatus
from urllib.parse import unquote

import h11

from loftrelay.config import Address
from loftrelay.engine import Engine
from loftrelay.journal import Held, wall_clock

log = logging.getLogger(__name__)

MOST_BODY = 64 << 10
MOST_AHEAD = 128 << 10  # bytes a client may send ahead of its answers
LINGER = 1.0  # seconds for which a client that is turned away may still send
SLOW_REQUEST = 5.0  # seconds from a request's first byte to its last
IDENTIFIER = re.compile(r"[!-~]{1,128}")
NUMBER = re.compile(r"[0-9]{1,9}")
DESTINATION = re.compile(r"(?:^|[,;\s])dest=([0-9]{1,9})(?:$|[,;\s])")
READY = "/health/ready"


class BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def read_message(engine: Engine, request: h11.Request, arrived: int, body: bytes) -> Held:
    """The message that a request hands in. Raises BadRequest."""
    told = engine.settings
    headers = {name.decode(): value.decode("latin-1") for name, value in request.headers}
    path = [unquote(part) for part in request.target.decode("latin-1").partition("?")[0].split("/")[1:]]
    about = told.classes.get(path[0])
    if about is None or len(path) > 2:
        raise BadRequest(404, "no such path")
    if request.method != b"POST":
        raise BadRequest(405, "messages are handed in with POST")
    if headers.get("request-class") != about.name:
        raise BadRequest(400, "Request-Class does not name the class of the path")
    identity, tenant = headers.get("request-id", ""), headers.get("tenant")
    if not IDENTIFIER.fullmatch(identity):
        raise BadRequest(400, "Request-Id is missing or malformed")
    if told.tenants and tenant not in told.tenants:
        raise BadRequest(400, "Tenant is missing or unknown")
    timeout = headers.get("request-timeout-ms", "")
    if not NUMBER.fullmatch(timeout):
        raise BadRequest(400, "Request-Timeout-Ms is missing or malformed")
    destination = DESTINATION.search(headers.get("x-consignee", ""))
    if destination is None:
        raise BadRequest(400, "X-Consignee names no dest")
    key = path[1] if about.in_order and len(path) == 2 and path[1] else None
    deadline = arrived + int(timeout) * 1000
    return Held(identity, 0, about.name, tenant, int(destination[1]), key, arrived, deadline, body)


class Client(asyncio.Protocol):
    """One client connection."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.wire = h11.Connection(h11.SERVER)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body = bytearray()
        self.pending: str | None = None  # the message whose answer is due
        self.slow: asyncio.TimerHandle | None = None
        self.refused = False  # what still comes is read and thrown away

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if len(self.server.clients) >= self.server.most_clients:
            log.warning("too many connections of clients: one is closed")
            next((client for client in self.server.clients if client.idle), self).close()
        self.server.clients[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.clients.pop(self, None)
        self._stop_clock()
        if self.pending is not None:
            self.server.engine.withdraw(self.pending)
            self.pending = None

    def eof_received(self) -> bool:
        """A client that ends its sending gives its request up."""
        return False

    def data_received(self, data: bytes) -> None:
        if self.refused:
            return
        try:
            self.wire.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))
        else:
            self._read_on()

    def _read_on(self) -> None:
        if self.slow is None and self.pending is None:
            self.slow = asyncio.get_running_loop().call_later(SLOW_REQUEST, self._too_slow)
        try:
            self._read()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))

    @property
    def idle(self) -> bool:
        return self.pending is None and self.slow is None

    def close(self) -> None:
        self._stop_clock()
        if self.transport is not None:
            self.transport.close()

    def _stop_clock(self) -> None:
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None

    def _too_slow(self) -> None:
        self._refuse(408, "the request did not come in time")

    def _read(self) -> None:
        while self.transport is not None and not self.transport.is_closing() and not self.refused:
            event = self.wire.next_event()
            if event is h11.NEED_DATA:
                if self.wire.they_are_waiting_for_100_continue:
                    self._write(self.wire.send(h11.InformationalResponse(status_code=100, headers=[])))
                return
            if event is h11.PAUSED:
                if len(self.wire.trailing_data[0]) > MOST_AHEAD:
                    self.close()
                return
            if isinstance(event, h11.Request):
                self.request, self.body = event, bytearray()
                length = dict(event.headers).get(b"content-length", b"0")
                if int(length) > MOST_BODY:
                    self._refuse(413, "a body holds at most 64 KiB")
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > MOST_BODY:
                    self._refuse(413, "a body holds at most 64 KiB")
            elif isinstance(event, h11.EndOfMessage):
                self._stop_clock()
                self._handle()
            else:
                self.close()

    def _handle(self) -> None:
        assert self.request is not None
        if self.request.target == READY.encode():
            known = self.request.method in (b"GET", b"HEAD")
            self._answer(200 if known else 405, 0, "GET, HEAD")
            return
        engine = self.server.engine
        try:
            held = read_message(engine, self.request, wall_clock(), bytes(self.body))
        except BadRequest as error:
            self._answer(error.status, 0, "POST", str(error))
            return
        if held.id in engine.unanswered:
            self._answer(409, 0, "", "a request with this id is open")
        elif held.id in engine.journal.held:
            self._answer(202)  # taken on before
        else:
            self.pending = held.id
            engine.submit(held, self._answer)

    def _refuse(self, status: int, reason: str) -> None:
        """Answers what can't be read, if an answer can still be given, and closes a little later: a close
        with bytes unread resets the connection, and the client may never see its answer."""
        self._stop_clock()
        self.refused = True
        if self.pending is not None or self.wire.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.close()
            return
        self._respond(status, [("Connection", "close")], reason)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
        self.slow = asyncio.get_running_loop().call_later(LINGER, self.close)

    def _answer(self, status: int, again_ms: int = 0, allow: str = "", reason: str = "") -> None:
        self.pending = None
        headers = []
        if again_ms:
            headers.append(("Retry-After", f"{again_ms / 1000:g}"))
        if status == 405:
            headers.append(("Allow", allow))
        if self.server.stopping:
            headers.append(("Connection", "close"))
        self._respond(status, headers, reason)
        if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
            self.wire.start_next_cycle()
            if self.wire.trailing_data[0]:
                asyncio.get_running_loop().call_soon(self._read_on)
        else:
            self.close()

    def _respond(self, status: int, headers: list[tuple[str, str]], reason: str) -> None:
        body = f"{reason}\n".encode() if reason else b""
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(
            status_code=status, reason=HTTPStatus(status).phrase,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )  # fmt: skip
        for event in (head, h11.Data(body), h11.EndOfMessage()):
            self._write(self.wire.send(event))

    def _write(self, data: bytes | None) -> None:
        if data and self.transport is not None:
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > MOST_AHEAD:
                self.transport.abort()  # it asks and asks, and reads no answer


class Server:
    def __init__(self, engine: Engine, most_clients: int) -> None:
        self.engine = engine
        self.most_clients = most_clients
        self.clients: dict[Client, None] = {}  # in the order in which they came
        self.stopping = False
        self.listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Gives the address in use: port 0 stands for a free one."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Client(self), *address, backlog=512)
        host, port = self.listener.sockets[0].getsockname()[:2]
        return host, port

    def close(self) -> None:
        """No further connections, and none kept on which no request is open."""
        self.stopping = True
        if self.listener is not None:
            self.listener.close()
        for client in list(self.clients):
            if client.idle:
                client.close()
