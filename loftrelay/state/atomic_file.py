"""Atomic replacement of a small file."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

# Part of the state folder's budget for all small files and the lock together, while the largest of them is
# being replaced. The rest is for the journal.
RESERVED_BYTES = 100_000
RESERVED_WITH_OVERRIDES_BYTES = 360_000  # if operators can disable hosts, at this relay or at another one


def write_atomically(path: Path, data: bytes, max_bytes: int) -> None:
    """Replaces the content of a file atomically; creates its folder if that does not exist.

    Args:
        path: the file.
        data: the new content.
        max_bytes: largest allowed content.

    Raises:
        OSError: the content is too long or can't be written; the file is unchanged.
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
