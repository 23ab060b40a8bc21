"""HTTP/1.1 framing of one client connection, based on h11. Does no input or output."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

import h11

from loftrelay.server.http.request import READINESS_PATH, RequestError, check_body_size, validate_head


class ReadResult(Enum):
    """Result of parsing received bytes."""

    INCOMPLETE = auto()
    REQUEST_COMPLETE = auto()
    CONNECTION_CLOSED = auto()


class Exchange:
    """Parses requests from received bytes and encodes responses.

    Attributes:
        request: Head of the latest request; None before the first one.
        body: Received part of the body of that request.
    """

    def __init__(self) -> None:
        self.request: h11.Request | None = None
        self.body = bytearray()
        self._connection = h11.Connection(h11.SERVER)

    def receive(self, data: bytes) -> ReadResult:
        """Adds received bytes.

        Raises:
            RequestError: The request is rejected.
            h11.RemoteProtocolError: The bytes are not valid HTTP/1.1.
        """
        self._connection.receive_data(data)
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                return ReadResult.INCOMPLETE
            if isinstance(event, h11.Request):
                self.request, self.body = event, bytearray()
                validate_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                check_body_size(len(self.body))
            elif isinstance(event, h11.EndOfMessage):
                self._check_no_pipelining()
                return ReadResult.REQUEST_COMPLETE
            else:
                return ReadResult.CONNECTION_CLOSED

    def continue_response(self) -> bytes | None:
        """Returns a 100 (Continue) response if the client waits for it before it sends the body; or None."""
        if not self._connection.they_are_waiting_for_100_continue:
            return None
        return self._connection.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def can_respond(self) -> bool:
        """Whether no response to the current request has begun."""
        return self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)

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
        return True

    @property
    def is_readiness_check(self) -> bool:
        """Whether the request checks the relay's readiness."""
        return self.request is not None and self.request.target == READINESS_PATH

    @property
    def allowed_methods(self) -> str:
        """Value of the Allow header for the path of the request."""
        return "GET, HEAD" if self.is_readiness_check else "POST"

    def _check_no_pipelining(self) -> None:
        """Rejects bytes after a request, which may be a wrong length or request smuggling."""
        if self._connection.trailing_data[0]:
            raise RequestError(400, "more than one request at a time")
