"""HTTP/1.1 framing of one client connection on h11. No input or output."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

import h11

from loftrelay.server.http.request import READINESS_PATH, RequestError, check_body_size, validate_head


class ReadResult(Enum):
    """What received bytes amount to."""

    INCOMPLETE = auto()
    REQUEST_COMPLETE = auto()
    CONNECTION_CLOSED = auto()


class Exchange:
    """Reads requests from received bytes and encodes responses.

    Attributes:
        request: Head of the latest request; None before the first one.
        body: Body of that request, as far as it has arrived.
    """

    def __init__(self) -> None:
        self.request: h11.Request | None = None
        self.body = bytearray()
        self._wire = h11.Connection(h11.SERVER)

    def receive(self, data: bytes) -> ReadResult:
        """Adds received bytes.

        Raises:
            RequestError: The request is refused.
            h11.RemoteProtocolError: The bytes are no HTTP/1.1.
        """
        self._wire.receive_data(data)
        while True:
            event = self._wire.next_event()
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
        """The interim response, if the client waits for it before it sends the body."""
        if not self._wire.they_are_waiting_for_100_continue:
            return None
        return self._wire.send(h11.InformationalResponse(status_code=100, headers=[]))

    @property
    def can_respond(self) -> bool:
        """Whether no response to the present request has begun."""
        return self._wire.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def response(self, status: int, headers: list[tuple[str, str]], reason: str) -> bytes:
        """Encodes a response; a reason becomes its body."""
        body = f"{reason}\n".encode() if reason else b""
        if self.request is not None and self.request.method == b"HEAD":
            body = b""
        head = h11.Response(
            status_code=status,
            reason=HTTPStatus(status).phrase,
            headers=[*headers, ("Content-Length", str(len(body)))],
        )
        return b"".join(self._wire.send(event) or b"" for event in (head, h11.Data(body), h11.EndOfMessage()))

    def start_next(self) -> bool:
        """Prepares for the next request; returns whether the connection can be used for one."""
        if self._wire.our_state is not h11.DONE or self._wire.their_state is not h11.DONE:
            return False
        self._wire.start_next_cycle()
        return True

    @property
    def is_readiness_check(self) -> bool:
        """Whether the request is for the relay's readiness."""
        return self.request is not None and self.request.target == READINESS_PATH

    @property
    def allowed_methods(self) -> str:
        """Value of the header Allow for the request's path."""
        return "GET, HEAD" if self.is_readiness_check else "POST"

    def _check_no_pipelining(self) -> None:
        """Refuses bytes after a request: a wrong length, or an attempt to smuggle a second request."""
        if self._wire.trailing_data[0]:
            raise RequestError(400, "more than one request at a time")
