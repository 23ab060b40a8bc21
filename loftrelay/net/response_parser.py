"""Parses one HTTP/1.1 response as its bytes come."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import h11

from loftrelay.net.unsolicited import STATUS_LINE_PREFIX

OK_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")
Headers = Iterable[tuple[bytes, bytes]]  # in the order received, names in lower case


class ConnectionBrokenError(Exception):
    """No whole response came. `Connection.is_request_written` tells whether the request was written."""


class ConnectionUnusableError(ConnectionBrokenError):
    """The connection was closed, or had unsolicited data, before a byte of the request was written."""


class MalformedResponseError(ConnectionBrokenError):
    """What came is no valid response, while the connection stood."""


class ResponseTooLongError(MalformedResponseError):
    """The body of a response exceeds the limit.

    Attributes:
        size: Content-Length in bytes; None where there is none.
        limit: The limit in bytes.
    """

    def __init__(self, size: int | None, limit: int) -> None:
        super().__init__(size, limit)
        self.size, self.limit = size, limit


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole response.

    Attributes:
        status: Its status code.
        headers: Its headers, names in lower case.
        body: Its body.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class ResponseListener(Protocol):
    """Learns of the parts of a response as they are parsed."""

    def head_received(self, headers: Headers, body_bytes: int) -> None:
        """The head of the final response is whole. `body_bytes`: its Content-Length, else 0; may raise."""

    def informational_received(self) -> None:
        """An informational response came, and nothing behind it."""


class ResponseParser:
    """Parses the response to one request.

    Attributes:
        wire: State of HTTP on the connection.
        max_body_bytes: Largest body.
    """

    def __init__(self, wire: h11.Connection, max_body_bytes: int) -> None:
        self.wire, self.max_body_bytes = wire, max_body_bytes
        self._head = bytearray()
        self._response: h11.Response | None = None
        self._body = bytearray()

    @property
    def is_status_ok(self) -> bool:
        """Whether the status line is there and says 200, whatever came after it."""
        if self._response is not None:
            return self._response.status_code == 200
        return b"\n" in self._head and OK_STATUS_LINE.match(self._head) is not None

    def feed(self, data: bytes, listener: ResponseListener) -> HttpResponse | None:
        """Parses further bytes; none stand for the end of the connection.

        Returns:
            The response once it is whole.

        Raises:
            h11.RemoteProtocolError: It is no valid response, or not whole at the end.
            ResponseTooLongError: Its body is too long.
        """
        if self._response is None:
            self._head += data
        if self._head[: len(STATUS_LINE_PREFIX)] != STATUS_LINE_PREFIX[: len(self._head)]:
            raise h11.RemoteProtocolError("not a response in HTTP/1")
        self.wire.receive_data(data)
        while True:
            event = self.wire.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.EndOfMessage):
                return self._finish()
            self._handle(event, listener)

    def _handle(self, event: object, listener: ResponseListener) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._head = bytearray(self.wire.trailing_data[0])
            if not self._head:
                listener.informational_received()
        elif isinstance(event, h11.Response):
            self._response = event
            size = int(dict(event.headers).get(b"content-length", b"0"))
            listener.head_received(event.headers, size)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self.max_body_bytes:
                raise ResponseTooLongError(None, self.max_body_bytes)
        else:
            raise h11.RemoteProtocolError("the connection ended")

    def _finish(self) -> HttpResponse:
        assert self._response is not None
        return HttpResponse(self._response.status_code, dict(self._response.headers), bytes(self._body))
