"""Lingering close of a client connection.

Closing a socket with unread bytes resets the connection, and the client may never receive its response
(RFC 9112, section 9.6). Therefore the sending side is closed first, and received bytes are discarded until
the client closes its side, or until a timeout or a limit of bytes is reached.
"""

from __future__ import annotations

import asyncio

from loftrelay.net.unsolicited import peek_unread

LINGER_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 1 << 20


class LingeringClose:
    """Discards bytes from a client after the relay has closed its sending side."""

    def __init__(self) -> None:
        self._remaining_bytes = MAX_DISCARDED_BYTES

    def begin(self, transport: asyncio.Transport) -> None:
        """Closes the sending side once all written bytes are sent."""
        if transport.is_closing():
            return
        transport.resume_reading()
        try:
            transport.write_eof()
        except OSError:  # the client has disconnected, which the event loop has not read yet
            transport.abort()

    def discard(self, data: bytes) -> bool:
        """Discards received bytes; returns whether the client has exceeded the limit."""
        self._remaining_bytes -= len(data)
        return self._remaining_bytes < 0

    def end(self, transport: asyncio.Transport) -> None:
        """Closes the connection; with a reset only if bytes are unread or unsent."""
        if not peek_unread(transport) and not transport.get_write_buffer_size():
            transport.close()
        else:
            transport.abort()
