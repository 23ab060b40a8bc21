"""Parses an HTTP/1.1 response incrementally."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import h11

from loftrelay.net.head_size import count_head_lines
from loftrelay.net.unsolicited import OK_STATUS_LINE, STATUS_LINE_PREFIX

MAX_HEAD_LINES = 256

Headers = Iterable[tuple[bytes, bytes]]  # in the order received, names in lower case


class ConnectionBrokenError(Exception):
    """No complete response was received.

    `Connection.is_request_written` tells whether the request was written.
    """


class ConnectionUnusableError(ConnectionBrokenError):
    """The connection was closed or held unsolicited data before a byte of the request was written."""


class MalformedResponseError(ConnectionBrokenError):
    """An invalid response was received on an open connection."""


class ResponseTooLongError(MalformedResponseError):
    """The body of a response exceeds the limit.

    Attributes:
        size: Content-Length in bytes; None if the header is missing.
        limit: The limit in bytes.
    """

    def __init__(self, size: int | None, limit: int) -> None:
        super().__init__(size, limit)
        self.size, self.limit = size, limit


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: The status code.
        headers: The headers, names in lower case.
        body: The body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseListener(Protocol):
    """Receives the parts of a response as they are parsed."""

    def head_received(self, headers: Headers, body_bytes: int) -> None:
        """Receives the headers of the final response; may raise.

        `body_bytes` is the Content-Length, or 0 if the header is missing.
        """

    def informational_received(self) -> None:
        """Notes an informational response with no data after it."""


class ResponseParser:
    """Parses the response to one request.

    Attributes:
        http: The HTTP state machine of the connection.
        max_body_bytes: Limit on the size of a body.
        max_retained_bytes: Limit on the body of a 200; 0: its body is dropped. Bodies of other statuses are
            dropped then. None: all bodies are retained.
        is_suspended: Whether `feed` or `resume` has stopped at its limit of events.
    """

    def __init__(
        self, http: h11.Connection, max_body_bytes: int, max_retained_bytes: int | None = None
    ) -> None:
        self.http, self.max_body_bytes, self.max_retained_bytes = http, max_body_bytes, max_retained_bytes
        self.is_suspended = False
        self._body_bytes = 0
        self._head = bytearray()
        self._response: h11.Response | None = None
        self._body = bytearray()

    @property
    def is_status_ok(self) -> bool:
        """Whether a complete status line with status 200 was received, even if the rest is invalid."""
        if self._response is not None:
            return self._response.status_code == 200
        return b"\n" in self._head and OK_STATUS_LINE.match(self._head) is not None

    def feed(
        self, data: bytes, listener: ResponseListener, max_events: int | None = None
    ) -> HttpResponse | None:
        """Parses more data; empty `data` means the end of the connection.

        Args:
            data: The data.
            listener: Receives the parts of the response.
            max_events: Limit on the parsed parts, from which on `resume` continues; None: no limit.

        Returns:
            The response if it is complete, else None.

        Raises:
            h11.RemoteProtocolError: The response is invalid, or incomplete at the end of the connection.
            ResponseTooLongError: The body exceeds the limit.
        """
        if self._response is None:
            self._head += data
        if self._head[: len(STATUS_LINE_PREFIX)] != STATUS_LINE_PREFIX[: len(self._head)]:
            raise h11.RemoteProtocolError("response does not start with HTTP/1.")
        if self._response is None and count_head_lines(self._head) > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError(f"response head has over {MAX_HEAD_LINES} lines")
        self.http.receive_data(data)
        return self.resume(listener, max_events)

    def resume(self, listener: ResponseListener, max_events: int | None = None) -> HttpResponse | None:
        """Parses what was received, as `feed`."""
        self.is_suspended = False
        events = 0
        while True:
            if events == max_events:
                self.is_suspended = True
                return None
            events += 1
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._finish()
            self._handle(event, listener)

    def _handle(self, event: object, listener: ResponseListener) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._head = bytearray(self.http.trailing_data[0])
            if not self._head:
                listener.informational_received()
        elif isinstance(event, h11.Response):
            self._response = event
            size = int(dict(event.headers).get(b"content-length", b"0"))
            listener.head_received(event.headers, size)
        elif isinstance(event, h11.Data):
            self._add_to_body(event.data)
        else:
            raise h11.RemoteProtocolError("connection ended before the response was complete")

    def _add_to_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        limit = self.max_body_bytes
        is_retained = self.max_retained_bytes is None
        if self.max_retained_bytes and self.is_status_ok:
            is_retained, limit = True, self.max_retained_bytes
        if self._body_bytes > limit:
            raise ResponseTooLongError(None, limit)
        if is_retained:
            self._body += data

    def _finish(self) -> HttpResponse:
        assert self._response is not None
        return HttpResponse(self._response.status_code, dict(self._response.headers), bytes(self._body))
