"""Received bytes of a request, in the parts in which they came."""

from __future__ import annotations

MAX_PARTS = 32  # more are joined, as each takes 40 bytes beside its content


class ReceivedBytes:
    """Bytes that grow by parts; unlike a bytearray they are not copied to larger blocks meanwhile."""

    __slots__ = ("_parts", "_size")

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Adds a part."""
        self._parts.append(data)
        self._size += len(data)
        if len(self._parts) > MAX_PARTS:
            bytes(self)

    def __bytes__(self) -> bytes:
        """Returns all bytes, and keeps them as one part."""
        if len(self._parts) != 1:
            self._parts = [b"".join(self._parts)]
        return self._parts[0]
