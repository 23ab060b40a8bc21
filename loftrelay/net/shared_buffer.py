"""Base class of protocols that read into one buffer, which all connections of the process share."""

from __future__ import annotations

import asyncio

READ_BUFFER_BYTES = 64 << 10

_read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Protocol that reads at most READ_BUFFER_BYTES at once, without a buffer for each connection.

    `asyncio.Protocol` allocates 256 KiB for each read. Sharing the buffer is safe because the event loop
    passes on the bytes of one read before it starts the next one.

    Attributes:
        max_read_bytes: Limit on the bytes of one read.
    """

    max_read_bytes = READ_BUFFER_BYTES

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - the protocol decides the size
        """Returns the part of the shared buffer that the next read may fill."""
        return _read_buffer[: self.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on the bytes of one read."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles received bytes, READ_BUFFER_BYTES at most."""
        raise NotImplementedError


def resume_reading(transport: asyncio.ReadTransport | None) -> None:
    """Reads again after a pause, if there is a connection."""
    if transport is not None:
        transport.resume_reading()
