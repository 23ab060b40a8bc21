"""HTTP connection of a relay to a registry: reads requests, writes responses, enforces deadlines."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from http import HTTPStatus
from typing import Protocol

import h11

from loftrelay.net.shared_buffer import SharedBufferProtocol, resume_reading
from loftrelay.registry.protocol import FullListRequest, encode_error
from loftrelay.registry.subscriptions import WaitingWatch
from loftrelay.tasks.deferred_work import MAX_EVENTS_PER_SLICE, SlicedParsing

MAX_HEAD_BYTES = 24 << 10  # of a request
MAX_DISCARDED_BYTES = 64 << 10  # of a request body, and of data after a rejected request
MAX_COALESCED_BODY_BYTES = 64 << 10  # bodies up to this size are written together with the head
REQUEST_TIMEOUT_S = 2.0  # from the connection or the first byte of a request to its last byte
WRITE_TIMEOUT_S = 10.0  # for the client to read a response
LINGER_S = 0.5  # for which data is still read and discarded before a close


class ConnectionOwner(Protocol):
    """Interface of the server that a connection uses."""

    clients: dict[ClientConnection, None]
    counts: Counter[str]
    idle_timeout: float
    is_stopping: bool

    def handle(self, client: ClientConnection, request: h11.Request) -> None:
        """Responds to a request, at once or later."""

    def client_disconnected(self, client: ClientConnection) -> None:
        """Ends the watch of a client that reads no response to it any more."""


class ClientConnection(SharedBufferProtocol):
    """Connection of one client.

    Attributes:
        server: The registry's server.
        http: HTTP state of the connection.
        transport: Transport of the connection; None before it is established.
        request: The request that is being read or handled.
        body_bytes: Size of its body, or of the data discarded.
        is_reading: Whether a request has begun and is incomplete.
        is_discarding: Whether the connection is closing and further data is discarded.
        is_write_blocked: Whether a response is not written completely, as the client does not read it.
        watch: The watch that is waiting on this connection.
        watch_timer: Timer that ends this watch.
        deadline: Event loop time at which `time_out` is to be called.
    """

    def __init__(self, server: ConnectionOwner) -> None:
        self.server = server
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.transport: asyncio.Transport | None = None
        self.request: h11.Request | None = None
        self.body_bytes = 0
        self.is_reading = False
        self.is_discarding = False
        self.is_write_blocked = False
        self._parsing = SlicedParsing(
            self._read_events,
            lambda: not self.is_discarding,
            lambda: resume_reading(self.transport),
        )
        self.watch: WaitingWatch | FullListRequest | None = None
        self.watch_timer: asyncio.TimerHandle | None = None
        self.deadline = math.inf

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the timeout of the first request."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)  # pause_writing is then called for any unsent byte
        self.transport = transport
        self._set_deadline(REQUEST_TIMEOUT_S)
        self.server.clients[self] = None

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - handled alike for any reason
        """Ends the watch that is waiting on the connection."""
        self.server.clients.pop(self, None)
        self.server.client_disconnected(self)

    def eof_received(self) -> bool:
        """Closes the connection: a client that closes its sending side cancels its call."""
        return False

    def pause_writing(self) -> None:
        """Starts the timeout for the client to read the response."""
        self.is_write_blocked = True
        if not self.is_discarding:
            self._set_deadline(WRITE_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Starts the idle timeout, unless a request is being read."""
        self.is_write_blocked = False
        if not self.is_discarding and not self.is_reading:
            self._set_deadline(self.server.idle_timeout)

    def data_received(self, data: bytes) -> None:
        """Reads a request, or discards data after a rejected one."""
        self.server.counts["bytes_in"] += len(data)
        if self.is_discarding:
            self.body_bytes += len(data)
            if self.body_bytes > MAX_DISCARDED_BYTES:
                self.abort()
            return
        if self.watch is not None or self.is_write_blocked:
            self.server.client_disconnected(self)
            self.reject(HTTPStatus.BAD_REQUEST, "one call at a time on a connection")
            return
        if not self.is_reading:
            self.is_reading = True
            self._set_deadline(REQUEST_TIMEOUT_S)
        try:
            self.http.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.reject(error.error_status_hint, str(error))
        else:
            self._read_events()

    def _read_events(self) -> None:
        """Parses a slice of a request; one of many parts is continued while other clients are served."""
        try:
            has_more = self._read_slice()
        except h11.RemoteProtocolError as error:
            self.reject(error.error_status_hint, str(error))
        else:
            if has_more and self.transport is not None:
                self.transport.pause_reading()
                self._parsing.suspend()

    def _read_slice(self) -> bool:
        for _ in range(MAX_EVENTS_PER_SLICE):
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            if isinstance(event, h11.Request):
                self.request, self.body_bytes = event, 0
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                if self.body_bytes > MAX_DISCARDED_BYTES:
                    self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "a call has no body")
                    return False
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
                return False
            else:
                self.close()
                return False
        return True

    def _handle_request(self) -> None:
        if self.http.trailing_data[0]:
            self.reject(HTTPStatus.BAD_REQUEST, "one call at a time on a connection")
            return
        self.is_reading, self.deadline = False, math.inf
        assert self.request is not None
        self.server.handle(self, self.request)

    # Responses

    def reject(self, status: int, reason: str) -> None:
        """Sends an error response, if a response can still be sent, and closes the connection."""
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.respond(status, encode_error(reason), is_last=True)
        else:
            self.abort()

    def respond(
        self, status: int, body: bytes, content_type: str = "application/json", is_last: bool = False
    ) -> None:
        """Sends a response. `is_last`: the connection is closed afterwards."""
        transport = self.transport
        if transport is None or transport.is_closing() or self.is_discarding:
            return
        is_last = is_last or self.server.is_stopping
        self._set_deadline(self.server.idle_timeout)  # unless pause_writing sets another
        parts = self._encode(status, body, content_type, is_last)
        self.server.counts["bytes_out"] += sum(map(len, parts))
        if len(body) <= MAX_COALESCED_BODY_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            transport.write(part)
        if not is_last and self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.close()

    def _encode(self, status: int, body: bytes, content_type: str, is_last: bool) -> list[bytes]:
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        if is_last:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=status, reason=HTTPStatus(status).phrase, headers=headers)
        parts = [self.http.send(head) or b""]
        if self.request is None or self.request.method != b"HEAD":
            parts.append(body)
            self.http.send_with_data_passthrough(h11.Data(body))
        self.http.send(h11.EndOfMessage())
        return parts

    # Close

    def time_out(self) -> None:
        """Closes the connection after a timeout: of a request, a response or an idle connection."""
        if self.is_discarding or self.is_write_blocked:
            self.abort()
        elif self.is_reading or self.request is None:
            self.reject(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection after a short time in which further data is discarded.

        A close with unread data would reset the connection, and the client might lose its response.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self.is_discarding, self.body_bytes = True, 0
        self.http = h11.Connection(h11.SERVER)  # the old one may hold unparsed bytes
        transport.resume_reading()
        self._set_deadline(WRITE_TIMEOUT_S if self.is_write_blocked else LINGER_S)
        try:
            transport.write_eof()
        except OSError:  # the client has disconnected, which the event loop has not read yet
            transport.abort()

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self.transport is not None:
            self.transport.abort()

    def _set_deadline(self, seconds: float) -> None:
        self.deadline = asyncio.get_running_loop().time() + seconds
