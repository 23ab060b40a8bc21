"""Replaces a small file as a whole."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

# Of the state folder's budget, what all small files and the lock may take together while the largest of them
# is replaced. The journal has the rest.
RESERVED_BYTES = 100_000
RESERVED_WITH_OVERRIDES_BYTES = 360_000  # where operators can disable hosts, here or at another relay


def write_atomically(path: Path, data: bytes, max_bytes: int) -> None:
    """Replaces the content of a file; its folder is made if it is not there.

    Args:
        path: The file.
        data: Its new content.
        max_bytes: The most that it may hold.

    Raises:
        OSError: The content is too long or can't be written; the file is as it was.
    """
    if len(data) > max_bytes:
        raise OSError(f"{path.name} would hold {len(data)} bytes, {max_bytes} at most")
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
