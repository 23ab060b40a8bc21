"""asyncio protocol of one client connection."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from loftrelay.net.shared_buffer import READ_BUFFER_BYTES, SharedBufferProtocol
from loftrelay.net.unsolicited import peek_unread
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.intake import OVERLOAD_RETRY_AFTER_MS
from loftrelay.server.http.connection_state import ClientKind, ConnectionState
from loftrelay.server.http.exchange import Exchange, ReadResult
from loftrelay.server.http.lingering_close import LINGER_TIMEOUT_S, LingeringClose
from loftrelay.server.http.memory_grants import MEMORY_SHORTAGE
from loftrelay.server.http.request import RequestError, RequestHead, is_whole_request, parse_message
from loftrelay.tasks.deferred_work import MAX_EVENTS_PER_SLICE, SlicedParsing
from loftrelay.tasks.supervision import run_isolated

if TYPE_CHECKING:
    from loftrelay.server.http.server import HTTPServer

REQUEST_TIMEOUT_S = 2.0  # from a request's first byte to its last; for the first request, since connecting
IDLE_TIMEOUT_S = 3.0  # between two requests
NO_PLACES = "all places are taken"
FIRST_READ_BYTES = 4 << 10  # of a request, before memory is reserved for the rest of it
HEAD_READ_BYTES = 16 << 10  # in one read, of what may take many steps to parse
MAX_UNSENT_BYTES = 4 << 10  # responses that the client does not read; from here on nothing is read from it


class ClientConnection(SharedBufferProtocol):
    """A client connection, which serves one request at a time.

    It is idle, receives a request, waits for the engine's response, or is in its lingering close. A client
    that closes its sending side gives up its request: asyncio closes the connection then.

    Args:
        server: Server of the connection.
        inherited: State of the connection in the process that served it before; None if it is new.

    Attributes:
        transport: None until connected.
        is_receiving: Whether a request has begun and is incomplete.
        receiving_since: Time at which it has begun, by the event loop's clock.
        is_closing: Whether it is in its lingering close or handed over; received bytes are discarded then.
        awaits_memory: Whether the rest of its request is read only once memory is reserved for it.
        parsing: Parsing of received bytes in slices.
        deadline: Time at which `on_timeout` is to be called, by the event loop's clock.
        idle_since: Time of its addition or of its last response, by the event loop's clock.
    """

    def __init__(self, server: HTTPServer, inherited: ConnectionState | None = None) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.is_receiving = False
        self.receiving_since = 0.0
        self.is_closing = False
        self.awaits_memory = False
        self.deadline = math.inf
        self.idle_since = 0.0
        self._inherited = inherited
        self._exchange = Exchange()
        self._pending_message_id: str | None = None  # message whose response the client waits for
        self._is_write_blocked = False
        self.parsing = SlicedParsing(
            lambda: self._read_request(self._exchange.resume),
            lambda: not (self.is_closing or self.awaits_memory or self.server.is_paused),
            self.resume_reading,
        )
        self.max_read_bytes = FIRST_READ_BYTES
        self._lingering_close = LingeringClose()

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving the connection, or resumes where another process stopped."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.transport = transport
        self._set_timeout(REQUEST_TIMEOUT_S)
        self.server.on_connected(self)
        kind = ClientKind.NEW if self._inherited is None else self._inherited.kind
        if kind is not ClientKind.NEW:
            self.server.add(self, kind)
            self._set_timeout(IDLE_TIMEOUT_S)
        if self._inherited is not None and self._inherited.partial_request:
            self.data_received(self._inherited.partial_request)
        if self.server.is_paused:
            transport.pause_reading()
            self.server.on_connected_while_paused(self, kind)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Cancels the message whose response the client was waiting for, and releases the request.

        asyncio's transport is garbage until the next collection; it must not keep the request until then.
        """
        self.server.on_disconnected(self)
        self._cancel_pending()
        self.is_closing = True
        self._exchange.discard()
        self.parsing.end()
        self.transport = None

    def pause_writing(self) -> None:
        """Stops reading requests from a client that does not read its responses."""
        self._is_write_blocked = True
        if self.transport is not None and not self.is_closing:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads further requests once the client has read its responses."""
        self._is_write_blocked = False
        self.resume_reading()

    def resume_reading(self) -> None:
        """Reads again, unless the server is paused, or the client waits for memory or reads no responses."""
        is_paused = self.is_closing or self.server.is_paused or self._is_write_blocked
        if self.transport is None or is_paused or self.awaits_memory:
            return
        if self.parsing.is_suspended:
            self.parsing.resume()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Reads a request and handles it once it is complete; rejects an invalid one."""
        if self.is_closing:
            if self._lingering_close.discard(data):
                self.abort()
            return
        if self._pending_message_id is not None:
            self._respond_and_close(400, "one request at a time")
            return
        if not self.is_receiving:
            self.is_receiving = True
            self.receiving_since = asyncio.get_running_loop().time()
            # The timeout of a new client runs since it connected.
            if not self.server.connections.is_new(self):
                self._set_timeout(REQUEST_TIMEOUT_S)
            elif self.server.memory_grants.is_crowded and not is_whole_request(data):
                self.reject(NO_PLACES)  # parsing it takes time that whole requests need
                return
        self._read_request(partial(self._exchange.receive, data))

    def _read_request(self, read: Callable[[int], ReadResult]) -> None:
        """Reads a slice of a request; one of many parts is continued while other clients are served."""
        try:
            self._handle_read(read(MAX_EVENTS_PER_SLICE))
        except h11.RemoteProtocolError as error:
            self._respond_and_close(error.error_status_hint, str(error))
        except RequestError as error:
            self._respond_and_close(error.status, error.reason)

    def on_timeout(self) -> None:
        """Handles the deadline, depending on the state of the connection."""
        if self.is_closing:
            self.end_lingering()
        elif self._is_write_blocked:
            self.abort()
        elif self.is_idle and not self.is_evictable:
            pass  # a request has arrived and is read next
        elif self.is_idle and not self.server.connections.is_new(self):
            if not self.server.keeps_idle_connections:
                self.close()
        elif self.awaits_memory:
            self.reject(MEMORY_SHORTAGE)
        else:
            self._respond_and_close(HTTPStatus.REQUEST_TIMEOUT, "the request did not come in time")

    # State

    @property
    def is_idle(self) -> bool:
        """Whether the connection is between two requests."""
        return self._pending_message_id is None and not self.is_receiving and not self.is_closing

    @property
    def is_evictable(self) -> bool:
        """Whether it is idle and has no unread bytes; a request that has arrived would be lost by a close."""
        return self.is_idle and self.transport is not None and not peek_unread(self.transport)

    def handover_state(self, kind: ClientKind) -> ConnectionState | None:
        """Returns the state from which another process can continue the connection.

        None: it can't be continued, since a message is pending, a response is unsent, or the bytes of an
        incomplete request were dropped.
        """
        transport = self.transport
        if self.is_closing or self._pending_message_id is not None or not self._exchange.is_resumable:
            return None
        if transport is None or transport.is_closing() or transport.get_write_buffer_size():
            return None
        fd = transport.get_extra_info("socket").fileno()
        return ConnectionState(kind, bytes(self._exchange.received), fd)

    # Closing

    def close(self) -> None:
        """Begins the lingering close; further requests are discarded."""
        self.is_closing = True
        self._exchange.discard()
        self.max_read_bytes = READ_BUFFER_BYTES
        self.server.memory_grants.release(self)
        self._set_timeout(LINGER_TIMEOUT_S)
        self.server.on_lingering(self)
        if self.transport is not None:
            self._lingering_close.begin(self.transport)

    def end_lingering(self) -> None:
        """Ends the lingering close, whether or not the client has closed its side."""
        if self.transport is not None:
            self._lingering_close.end(self.transport)

    def reject(self, reason: str) -> None:
        """Responds with 503, so that the client retries later or elsewhere; its request is not admitted."""
        if not self.is_closing:
            self._respond_and_close(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def abort(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    # Requests

    def _handle_read(self, result: ReadResult) -> None:
        if result in (ReadResult.INCOMPLETE, ReadResult.WORK_LEFT):
            self._reserve_memory()
        if self.is_closing:  # there is no memory for what another process has received
            return
        match result:
            case ReadResult.INCOMPLETE:
                if (continue_response := self._exchange.continue_response()) and self.transport is not None:
                    self.transport.write(continue_response)
            case ReadResult.WORK_LEFT:
                if self.transport is not None:
                    self.transport.pause_reading()
                self.parsing.suspend()
            case ReadResult.REQUEST_COMPLETE:
                self.is_receiving = False
                self.max_read_bytes = FIRST_READ_BYTES
                self._handle_request()
                self.server.memory_grants.release(self)
            case ReadResult.CONNECTION_CLOSED:
                self.close()

    def _reserve_memory(self) -> None:
        """Reserves memory for the rest of the request; nothing more is read until there is enough."""
        is_reading_length = self._exchange.is_reading_length
        self.max_read_bytes = READ_BUFFER_BYTES if is_reading_length else HEAD_READ_BYTES
        if self.server.request_memory.reserve(self, self._exchange.expected_bytes):
            return
        if self._exchange.held_bytes > FIRST_READ_BYTES:  # received by another process
            self.reject(MEMORY_SHORTAGE)
        elif self.transport is not None:
            self.transport.pause_reading()
            self.server.memory_grants.on_shortage()

    def _handle_request(self) -> None:
        request = self._exchange.request
        assert request is not None
        if not self._exchange.is_readiness_check:
            self._submit(request)
            return
        if request.method not in (b"GET", b"HEAD"):
            raise RequestError(405, "only GET and HEAD")
        self._respond(503 if self.server.engine.endpoints.lacks_usable_list else 200)

    def _submit(self, request: RequestHead) -> None:
        engine = self.server.engine
        # The timeout starts when the client sent the request, which is earlier than now if the loop is late.
        age_s = engine.context.stall_detector.input_age(asyncio.get_running_loop().time())
        received_at_us = wall_clock() - int(age_s * 1e6)
        body = self._exchange.take_body()
        message = parse_message(engine.context.accepted_classes, request, received_at_us, body)
        if engine.intake.is_client_waiting(message.id):
            raise RequestError(409, "a request with this id is open")
        if (known := engine.intake.known_response(message.id)) is not None:
            self._respond(*known)
        else:
            self._pending_message_id = message.id
            self.deadline = math.inf
            engine.intake.submit(message, partial(self._respond_to_message, message.id))

    def _cancel_pending(self) -> None:
        if self._pending_message_id is not None:
            self.server.engine.intake.cancel(self._pending_message_id)
            self._pending_message_id = None

    # Responses

    def _respond_to_message(self, message_id: str, status: int, retry_after_ms: int) -> None:
        """Responds to the client of a message, unless it no longer waits; raises nothing to the engine."""
        if self._pending_message_id != message_id:
            return  # the connection was closed, or answered otherwise, before the status was recorded
        self._pending_message_id = None
        run_isolated(partial(self._respond, status, retry_after_ms), f"message {message_id}: response")

    def _respond(self, status: int, retry_after_ms: int = 0) -> None:
        """Responds to a complete request."""
        headers = _retry_after(retry_after_ms) if retry_after_ms else []
        if self.server.is_shutting_down:
            headers.append(("Connection", "close"))
        response = self._exchange.response(status, headers, "")
        if self.transport is not None:
            self.transport.write(response)
        if self._exchange.start_next():
            self._set_timeout(IDLE_TIMEOUT_S)
            self.server.on_response(self)
        else:
            self.close()

    def _respond_and_close(self, status: int, reason: str) -> None:
        """Responds to a request that is not admitted, if a response can still be sent, and closes."""
        self._cancel_pending()
        if not self._exchange.can_respond:
            self.abort()
            return
        headers = [("Connection", "close")]
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers += _retry_after(OVERLOAD_RETRY_AFTER_MS)
        if status == HTTPStatus.METHOD_NOT_ALLOWED and self._exchange.request is not None:
            headers.append(("Allow", self._exchange.allowed_methods))
        response = self._exchange.response(status, headers, reason)
        if self.transport is not None:
            self.transport.write(response)
        self.close()

    def _set_timeout(self, seconds: float) -> None:
        self.deadline = asyncio.get_running_loop().time() + seconds


def _retry_after(delay_ms: int) -> list[tuple[str, str]]:
    return [("Retry-After", f"{delay_ms / 1000:g}")]
