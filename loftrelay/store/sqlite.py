"""The record in an SQLite file (https://www.sqlite.org/wal.html): a write-ahead log, synced at each commit.

Times are integers, microseconds since 1970 UTC. `PRAGMA user_version` tells the version of the schema: older
files are migrated at opening, newer ones refused.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator, Sequence
from pathlib import Path

from loftrelay.store.backend import (
    CommitUncertainError,
    RecordQuery,
    StoreUnavailableError,
    StoreUnusableError,
)
from loftrelay.store.group_commit import build_group
from loftrelay.store.rows import (
    ATTEMPT_COUNT_MISMATCHES,
    COLUMNS,
    attempt_count_mismatch,
    conditions,
    inconsistencies,
    record_of,
    row_of,
)
from loftrelay.store.state_machine import Change, MessageRecord

MIGRATIONS = (
    """
    CREATE TABLE messages (
        id TEXT PRIMARY KEY, run INTEGER NOT NULL, number INTEGER NOT NULL, state TEXT NOT NULL,
        instance TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT, destination INTEGER NOT NULL, key TEXT,
        sha256 TEXT NOT NULL, deadline INTEGER NOT NULL, taken_at INTEGER NOT NULL,
        attempts INTEGER NOT NULL, host TEXT, intended_at INTEGER, result TEXT, result_at INTEGER,
        answer TEXT, answered_at INTEGER, told_at INTEGER
    ) WITHOUT ROWID;
    CREATE TABLE attempts (
        id TEXT NOT NULL, run INTEGER NOT NULL, attempt INTEGER NOT NULL, host TEXT,
        intended_at INTEGER NOT NULL, result TEXT, result_at INTEGER,
        PRIMARY KEY (id, run, attempt)
    ) WITHOUT ROWID;
    CREATE INDEX messages_by_time ON messages (taken_at);
    CREATE INDEX messages_by_tenant ON messages (tenant, taken_at);
    CREATE INDEX messages_by_class ON messages (class, taken_at);
    CREATE INDEX messages_by_answer ON messages (answer, taken_at);
    CREATE INDEX messages_by_told ON messages (told_at);
    """,
)
VERSION = len(MIGRATIONS)
AT_ONCE = 500  # ids in one SELECT: SQLite takes 999 values at the least
PUT = f"INSERT OR REPLACE INTO messages ({COLUMNS}) VALUES ({', '.join('?' * 20)})"
# What a change of a record writes. The rest stays, and so do the indexes on it: a row that was put anew each
# time cost all of them.
GROWN = (
    "number",
    "state",
    "attempts",
    "host",
    "intended_at",
    "result",
    "result_at",
    "answer",
    "answered_at",
    "told_at",
)
GROW = f"UPDATE messages SET {', '.join(f'{name} = ?' for name in GROWN)} WHERE id = ?"
PLACES = [COLUMNS.split(", ").index(name) for name in GROWN]
TRANSIENT = (
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_READONLY,
)


class SQLiteStore:
    """One file. Opened and used by one thread; other processes may read and write it, too."""

    def __init__(self, path: Path, busy_ms: int = 2_000, synchronous: str = "FULL") -> None:
        self.path = path
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.database = sqlite3.connect(
                path, timeout=busy_ms / 1000, isolation_level=None, check_same_thread=False
            )
        except (OSError, sqlite3.Error) as error:
            raise StoreUnusableError(f"{path}: can't be opened: {error}") from error
        try:
            self._prepare(synchronous)
        except BaseException:
            self.database.close()
            raise

    def _prepare(self, synchronous: str) -> None:
        try:
            (version,) = self.database.execute("PRAGMA user_version").fetchone()
            if version > VERSION:
                raise StoreUnusableError(
                    f"{self.path}: its schema has version {version}, this program knows up to {VERSION}"
                )
            (mode,) = self.database.execute("PRAGMA journal_mode=WAL").fetchone()
            if mode != "wal":
                raise StoreUnusableError(f"{self.path}: no write-ahead log is possible there, but {mode}")
            self.database.execute(f"PRAGMA synchronous={synchronous}")
            for number in range(version, VERSION):
                self.database.executescript(
                    f"BEGIN IMMEDIATE;\n{MIGRATIONS[number]}\nPRAGMA user_version={number + 1};\nCOMMIT;"
                )
        except sqlite3.Error as error:
            if self._code(error) in TRANSIENT:
                raise StoreUnavailableError(f"{self.path}: {error}") from error
            raise StoreUnusableError(f"{self.path}: {error}") from error

    @staticmethod
    def _code(error: sqlite3.Error) -> int:
        """The primary result code (https://www.sqlite.org/rescode.html)."""
        code: int = getattr(error, "sqlite_errorcode", 0)
        return code & 0xFF

    def close(self) -> None:
        """Closes the database."""
        self.database.close()

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Raises Unavailable (nothing is stored), Ambiguous, Unusable, or RuleBroken (nothing is stored)."""
        committing = False
        try:
            self.database.execute("BEGIN IMMEDIATE")
            group = build_group(changes, self._read(list({change.message_id for change in changes})))
            new, grown = list[Sequence[object]](), list[Sequence[object]]()
            for message, after in group.after.items():
                before = group.before[message]
                if before is None or before.admission_number != after.admission_number:
                    new.append(row_of(after))
                else:
                    grown.append((*map(row_of(after).__getitem__, PLACES), message))
            self.database.executemany(PUT, new)
            self.database.executemany(GROW, grown)
            self.database.executemany(
                "INSERT OR REPLACE INTO attempts VALUES (?, ?, ?, ?, ?, ?, ?)",
                (attempt.row for attempt in group.attempts.values()),
            )
            committing = True
            self.database.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            text = f"{self.path}: {error}"
            if committing and self._code(error) == sqlite3.SQLITE_IOERR:
                raise CommitUncertainError(text) from error  # the log may hold the commit, synced or not
            if self._code(error) in TRANSIENT:
                raise StoreUnavailableError(text) from error
            raise StoreUnusableError(text) from error
        except BaseException:
            self._roll_back()
            raise
        return group.ids_in_use

    def _roll_back(self) -> None:
        if self.database.in_transaction:
            with contextlib.suppress(sqlite3.Error):  # the error itself may have rolled it back
                self.database.execute("ROLLBACK")

    def _read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        found: dict[str, MessageRecord] = {}
        for first in range(0, len(messages), AT_ONCE):
            names = messages[first : first + AT_ONCE]
            marks = ", ".join("?" * len(names))
            rows = self.database.execute(f"SELECT {COLUMNS} FROM messages WHERE id IN ({marks})", names)
            found |= {entry.message_id: entry for entry in map(record_of, rows)}
        return found

    def read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the records of these messages, where there are any."""
        try:
            return self._read(messages)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that a query asks for."""
        terms, given = conditions(query, "?")
        text = f"SELECT {COLUMNS} FROM messages WHERE {terms} ORDER BY taken_at, id LIMIT ?"
        try:
            for row in self.database.execute(text, (*given, -1 if query.limit is None else query.limit)):
                yield record_of(row)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes so many records at most that were reported before a time; returns how many."""
        try:
            self.database.execute("BEGIN IMMEDIATE")
            rows = self.database.execute(
                "SELECT id FROM messages WHERE told_at < ? ORDER BY told_at LIMIT ?", (before, max_rows)
            ).fetchall()
            self.database.executemany("DELETE FROM attempts WHERE id = ?", rows)
            self.database.executemany("DELETE FROM messages WHERE id = ?", rows)
            self.database.execute("COMMIT")
        except sqlite3.Error as error:
            self._roll_back()
            raise StoreUnavailableError(f"{self.path}: {error}") from error
        return len(rows)

    def verify(self) -> list[str]:
        """Returns what is inconsistent in the database, a line each."""
        try:
            said = [row[0] for row in self.database.execute("PRAGMA integrity_check") if row[0] != "ok"]
            for entry in self.select(RecordQuery()):
                said += inconsistencies(entry)
            said += [attempt_count_mismatch(*row) for row in self.database.execute(ATTEMPT_COUNT_MISMATCHES)]
        except (sqlite3.Error, ValueError) as error:
            return [str(error)]
        return said
