"""Lingering close of a client connection.

A close with unread bytes in the socket resets the connection, and the client may never see its response
(RFC 9112, section 9.6). So the sending side is closed first, and what still arrives is read and discarded
until the client closes its side, or a timeout or a limit of bytes is reached.
"""

from __future__ import annotations

import asyncio

from loftrelay.net.unsolicited import peek_unread

LINGER_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 1 << 20


class LingeringClose:
    """Discards what a client sends after the relay has ended the connection."""

    def __init__(self) -> None:
        self._remaining_bytes = MAX_DISCARDED_BYTES

    def begin(self, transport: asyncio.Transport) -> None:
        """Closes the sending side once what was written is sent."""
        if not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()

    def discard(self, data: bytes) -> bool:
        """Discards received bytes; returns whether the client has exceeded the limit."""
        self._remaining_bytes -= len(data)
        return self._remaining_bytes < 0

    def end(self, transport: asyncio.Transport) -> None:
        """Closes the connection, without a reset unless bytes are unread or unsent."""
        if not peek_unread(transport) and not transport.get_write_buffer_size():
            transport.close()
        else:
            transport.abort()
