"""Reads the responses on a connection that no request awaits any more."""

from __future__ import annotations

from collections.abc import Callable

import h11

from loftrelay.net.response_parser import Headers, HttpResponse, ResponseParser, ResponseTooLongError
from loftrelay.tasks.deferred_work import MAX_EVENTS_PER_SLICE

MAX_SURPLUS_BODY_BYTES = 64 << 10  # of one response
MAX_SURPLUS_RESPONSES = 64  # on one connection


class SurplusResponses:
    """Parses surplus responses; buffers the data until `read` is called.

    Attributes:
        on_status: Called with the status of each complete response.
        on_end: Called once when nothing more can be read: the connection has ended, or the data is invalid.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.on_status: Callable[[int], None] | None = None
        self.on_end: Callable[[], None] | None = None
        self._unread = bytearray(data)
        self._is_at_end = False
        self._count = 0
        self._parser = _new_parser()

    def read(self, on_status: Callable[[int], None], on_end: Callable[[], None]) -> None:
        """Starts to pass on statuses, first of the data that has arrived."""
        self.on_status, self.on_end = on_status, on_end
        data, self._unread = bytes(self._unread), bytearray()
        self._parse(data)
        if self._is_at_end:
            self.end()

    def feed(self, data: bytes) -> None:
        """Handles more data; empty `data` means the end of the connection."""
        if not data:
            self.end()
        elif self.on_status is None:
            self._unread += data[: MAX_SURPLUS_BODY_BYTES - len(self._unread)]
        else:
            self._parse(data)

    def end(self) -> None:
        """Notes that nothing more comes."""
        self._is_at_end = True
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end()

    def _parse(self, data: bytes) -> None:
        try:
            while data and (response := self._feed(data)) is not None:
                data = bytes(self._parser.http.trailing_data[0])
                self._parser = _new_parser()
                if self.on_status is not None:
                    self.on_status(response.status)
        except (h11.RemoteProtocolError, ResponseTooLongError):
            self.end()

    def _feed(self, data: bytes) -> HttpResponse | None:
        """Parses the next response; ends if there are too many, or one in too many parts."""
        response = self._parser.feed(data, _Ignored(), MAX_EVENTS_PER_SLICE)
        self._count += response is not None
        if self._parser.is_suspended or self._count > MAX_SURPLUS_RESPONSES:
            self.end()
            return None
        return response


class _Ignored:
    """Takes no notice of the parts of a response."""

    def head_received(self, headers: Headers, body_bytes: int) -> None: ...

    def informational_received(self) -> None: ...


def _new_parser() -> ResponseParser:
    """Returns a parser for the response to a request that is thought to be sent."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="POST", target="/", headers=[("Host", "host"), ("Content-Length", "0")]))
    http.send(h11.EndOfMessage())
    return ResponseParser(http, MAX_SURPLUS_BODY_BYTES, 0)
