"""HTTP/1.1 framing of one client connection, based on h11. Does no input or output."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

import h11

from loftrelay.server.http.received_bytes import ReceivedBytes
from loftrelay.server.http.request import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    READINESS_PATH,
    RequestError,
    RequestHead,
    check_body_size,
    check_head_lines,
    check_head_size,
    validate_headers,
)

# Limit on the bytes that an exchange stores of an incomplete request, for each kind of framing.
MAX_HELD_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES


_DISCARDED_CONNECTION = h11.Connection(h11.SERVER)  # of all exchanges that are discarded; nothing uses it


class ReadResult(Enum):
    """Result of parsing received bytes."""

    INCOMPLETE = auto()
    WORK_LEFT = auto()  # more of the received bytes can be parsed
    REQUEST_COMPLETE = auto()
    CONNECTION_CLOSED = auto()


class Exchange:
    """Parses requests from received bytes and encodes responses.

    It stores each byte of an incomplete request once: a body with a Content-Length is extracted from the
    received bytes when it is complete. A chunked body is stored separately, without its framing.

    Attributes:
        request: Head of the latest request; None before the first one, and once its response is complete.
        received: Bytes of the incomplete request, from which another process can continue it.
        is_resumable: Whether `received` is complete. It is dropped where chunk framing takes too much memory.
    """

    def __init__(self) -> None:
        self.request: RequestHead | None = None
        self.received = ReceivedBytes()
        self.is_resumable = True
        self._body_bytes = 0
        self._body: bytearray | bytes = b""  # of a chunked request, or of a complete one
        self._is_discarded = False
        self._connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)

    @property
    def is_reading_length(self) -> bool:
        """Whether the rest of a body with a Content-Length is awaited, which costs little to read."""
        return self.request is not None and self.request.content_length is not None

    @property
    def held_bytes(self) -> int:
        """Number of bytes stored of the current request."""
        return len(self.received) + len(self._body)

    @property
    def expected_bytes(self) -> int:
        """Memory that an incomplete request may take until it is complete, what is stored of it included."""
        if self.request is None:
            return 2 * MAX_HEAD_BYTES  # as received, and in the parser's buffer
        if self.request.content_length is None:
            return MAX_HELD_BYTES + MAX_HEAD_BYTES
        head_bytes = len(self.received) - self._body_bytes + self.request.held_bytes
        return head_bytes + self.request.content_length

    def receive(self, data: bytes, max_events: int | None = None) -> ReadResult:
        """Adds received bytes.

        Args:
            data: The bytes.
            max_events: Limit on the parsed parts, from which on `resume` continues; None: no limit.

        Raises:
            RequestError: The request is rejected.
            h11.RemoteProtocolError: The bytes are not valid HTTP/1.1.
        """
        if self.is_resumable:
            self.received.append(data)
        if self.request is None:
            check_head_lines(bytes(self.received))
        self._connection.receive_data(data)
        return self.resume(max_events)

    def resume(self, max_events: int | None = None) -> ReadResult:
        """Parses what was received, as `receive`."""
        events = 0
        while True:
            if events == max_events:
                self._limit_held_bytes()
                return ReadResult.WORK_LEFT
            events += 1
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                self._limit_held_bytes()
                return ReadResult.INCOMPLETE
            if isinstance(event, h11.Request):
                self._begin_request(event)
            elif isinstance(event, h11.Data):
                self._add_to_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._check_no_pipelining()
                self._complete_request()
                return ReadResult.REQUEST_COMPLETE
            else:
                return ReadResult.CONNECTION_CLOSED

    def take_body(self) -> bytes:
        """Returns the body of a complete request, and releases it."""
        body = bytes(self._body)
        self._body = b""
        return body

    def discard(self) -> None:
        """Drops all received bytes; no further request is read and no further response is possible."""
        self._is_discarded = True
        self.request = None
        self.received = ReceivedBytes()
        self._body = b""
        self._connection = _DISCARDED_CONNECTION  # its own may hold unparsed bytes

    def continue_response(self) -> bytes | None:
        """Returns a 100 (Continue) response if the client waits for it before it sends the body; or None."""
        if not self._connection.they_are_waiting_for_100_continue:
            return None
        return self._connection.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def can_respond(self) -> bool:
        """Whether no response to the current request has begun."""
        return not self._is_discarded and self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def response(self, status: int, headers: list[tuple[str, str]], reason: str) -> bytes:
        """Encodes a response; a non-empty reason becomes its body."""
        body = f"{reason}\n".encode() if reason else b""
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(
            status_code=status,
            reason=HTTPStatus(status).phrase,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )
        return b"".join(
            self._connection.send(event) or b"" for event in (head, h11.Data(body), h11.EndOfMessage())
        )

    def start_next(self) -> bool:
        """Prepares for the next request; returns False if the connection can't be reused."""
        if self._connection.our_state is not h11.DONE or self._connection.their_state is not h11.DONE:
            return False
        self._connection.start_next_cycle()
        self.request = None
        return True

    @property
    def is_readiness_check(self) -> bool:
        """Whether the request checks the relay's readiness."""
        return self.request is not None and self.request.target == READINESS_PATH

    @property
    def allowed_methods(self) -> str:
        """Value of the Allow header for the path of the request."""
        return "GET, HEAD" if self.is_readiness_check else "POST"

    def _begin_request(self, request: h11.Request) -> None:
        headers = list(request.headers)
        self.request = RequestHead.from_request(request, headers)
        self._body_bytes, self._body = 0, b""
        if len(self.received) > MAX_HEAD_BYTES:
            check_head_size(len(self.received) - len(self._connection.trailing_data[0]))
        validate_headers(headers)

    def _add_to_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        check_body_size(self._body_bytes)
        if self.is_reading_length:
            return
        if not isinstance(self._body, bytearray):
            self._body = bytearray()
        self._body += data

    def _complete_request(self) -> None:
        if self.is_reading_length and self._body_bytes:
            self._body = bytes(self.received)[-self._body_bytes :]
        self.received = ReceivedBytes()
        self.is_resumable = True

    def _limit_held_bytes(self) -> None:
        if self.held_bytes > MAX_HELD_BYTES:
            self.received, self.is_resumable = ReceivedBytes(), False

    def _check_no_pipelining(self) -> None:
        """Rejects bytes after a request, which may be a wrong length or request smuggling."""
        if self._connection.trailing_data[0]:
            raise RequestError(400, "more than one request at a time")
