"""A program of the back office that writes to the store of record for a while, and so holds its lock.

Arguments: the SQLite file, and for how many seconds the lock is held.
"""

from __future__ import annotations

import sqlite3
import sys
import time

WAIT_S = 10.0  # for the lock


def main() -> None:
    """Takes the write lock, holds it, and writes nothing."""
    database = sqlite3.connect(sys.argv[1], isolation_level=None, timeout=WAIT_S)
    database.execute("BEGIN IMMEDIATE")
    time.sleep(float(sys.argv[2]))
    database.execute("ROLLBACK")
    database.close()


if __name__ == "__main__":
    main()
