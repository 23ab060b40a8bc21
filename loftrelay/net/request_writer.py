"""Encodes an HTTP request piece by piece, so that only what is being written takes memory."""

from __future__ import annotations

from collections.abc import Iterable

import h11

PIECE_BYTES = 32 << 10  # written at once: a small request is one piece


class RequestWriter:
    """The part of one request that is not written yet.

    Args:
        http: The HTTP state machine of the connection.
        head: Head of the request, with the length of its body.
        body: Parts of the body.
    """

    def __init__(self, http: h11.Connection, head: h11.Request, body: Iterable[bytes]) -> None:
        self._http = http
        self._pieces = [http.send(head) or b""]
        self._body = iter(body)
        self._is_at_end = False

    def next_bytes(self) -> bytes:
        """Returns the next bytes to write; none after the end of the request."""
        pieces, self._pieces = self._pieces, []
        size = sum(map(len, pieces))
        while size < PIECE_BYTES and not self._is_at_end:
            part = next(self._body, None)
            if part is None:
                pieces.append(self._http.send(h11.EndOfMessage()) or b"")
                self._is_at_end = True
            else:
                pieces.append(self._http.send(h11.Data(part)) or b"")
                size += len(part)
        return b"".join(pieces)
