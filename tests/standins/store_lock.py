"""Another program that writes to the SQLite store of record, which locks out the relay."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path


@contextmanager
def locked_store(path: Path) -> Iterator[None]:
    """Holds the write lock of a store; it can still be read."""
    database = sqlite3.connect(path, isolation_level=None)
    database.execute("BEGIN IMMEDIATE")
    try:
        yield
    finally:
        database.execute("ROLLBACK")
        database.close()
