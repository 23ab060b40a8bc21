"""Writes a small file whole, or not at all."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

# What all of them, and the lock, may take together, in bytes, while the largest is replaced: the journal does
# without as much. The larger one where operators can take hosts out, at this relay's door or at others'.
ROOM, ROOM_FOR_CALLS = 100_000, 360_000


def write_whole(path: Path, data: bytes, most: int) -> None:
    """The new content, or what stood there before. Raises OSError, also where it is too long."""
    if len(data) > most:
        raise OSError(f"{path.name} would hold {len(data)} bytes, {most} at most")
    beside = path.with_suffix(f".{os.getpid()}")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        beside.write_bytes(data)
        beside.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            beside.unlink()
        raise
