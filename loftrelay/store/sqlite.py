"""Store of record in an SQLite file. Its write-ahead log is synced at each commit.

See https://www.sqlite.org/wal.html.

Times are integers, microseconds since 1970 UTC. `PRAGMA user_version` has the version of the schema: an older
schema is migrated when the file is opened, a newer one is an error.
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
MAX_IDS_PER_SELECT = 500  # every SQLite accepts 999 values in a statement
INSERT_OR_REPLACE = f"INSERT OR REPLACE INTO messages ({COLUMNS}) VALUES ({', '.join('?' * 20)})"
# Columns that a change of a record updates. The other columns and their indexes stay untouched: replacing the
# row at each change would rewrite all indexes.
CHANGING_COLUMNS = (
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
UPDATE = f"UPDATE messages SET {', '.join(f'{name} = ?' for name in CHANGING_COLUMNS)} WHERE id = ?"
CHANGING_POSITIONS = [COLUMNS.split(", ").index(name) for name in CHANGING_COLUMNS]
TRANSIENT_CODES = (
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_READONLY,
)


class SQLiteStore:
    """Store of record in one file.

    It is opened and used by one thread; other processes may also read and write the file.

    Args:
        path: The file; it and its directory are created.
        busy_timeout_ms: How long to wait for the lock of another process.
        synchronous: Value of `PRAGMA synchronous`.

    Raises:
        StoreUnavailableError: The file can't be opened now.
        StoreUnusableError: The file can't be used.
    """

    def __init__(self, path: Path, busy_timeout_ms: int = 2_000, synchronous: str = "FULL") -> None:
        self.path = path
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.database = sqlite3.connect(
                path, timeout=busy_timeout_ms / 1000, isolation_level=None, check_same_thread=False
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
                raise StoreUnusableError(
                    f"{self.path}: journal_mode is {mode!r}, must be 'wal' (write-ahead log)"
                )
            self.database.execute(f"PRAGMA synchronous={synchronous}")
            if version < VERSION:
                self._migrate()
        except sqlite3.Error as error:
            if self._code(error) in TRANSIENT_CODES:
                raise StoreUnavailableError(f"{self.path}: {error}") from error
            raise StoreUnusableError(f"{self.path}: {error}") from error

    def _migrate(self) -> None:
        """Brings the schema up to date in one transaction; another process may have done so meanwhile."""
        self.database.execute("BEGIN IMMEDIATE")
        try:
            (version,) = self.database.execute("PRAGMA user_version").fetchone()
            for number in range(version, VERSION):
                for statement in MIGRATIONS[number].split(";"):
                    self.database.execute(statement)
                self.database.execute(f"PRAGMA user_version={number + 1}")
            self.database.execute("COMMIT")
        except BaseException:
            self.database.rollback()
            raise

    @staticmethod
    def _code(error: sqlite3.Error) -> int:
        """Returns the primary result code (https://www.sqlite.org/rescode.html); 0 if there is none."""
        code: int = getattr(error, "sqlite_errorcode", 0)
        return code & 0xFF

    def close(self) -> None:
        """Closes the database."""
        self.database.close()

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Stores changes in one transaction, as StoreBackend.commit."""
        committing = False
        try:
            self.database.execute("BEGIN IMMEDIATE")
            group = build_group(changes, self._read(list({change.message_id for change in changes})))
            new_rows, updated_rows = list[Sequence[object]](), list[Sequence[object]]()
            for message_id, after in group.after.items():
                before = group.before[message_id]
                if before is None or before.admission_number != after.admission_number:
                    new_rows.append(row_of(after))
                else:
                    updated_rows.append((*map(row_of(after).__getitem__, CHANGING_POSITIONS), message_id))
            self.database.executemany(INSERT_OR_REPLACE, new_rows)
            self.database.executemany(UPDATE, updated_rows)
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
                raise CommitUncertainError(text) from error  # the write-ahead log may have the commit
            if self._code(error) in TRANSIENT_CODES:
                raise StoreUnavailableError(text) from error
            raise StoreUnusableError(text) from error
        except BaseException:
            self._roll_back()
            raise
        return group.ids_in_use

    def _roll_back(self) -> None:
        if self.database.in_transaction:
            with contextlib.suppress(sqlite3.Error):  # SQLite rolls back by itself after some errors
                self.database.execute("ROLLBACK")

    def _read(self, message_ids: Sequence[str]) -> dict[str, MessageRecord]:
        records: dict[str, MessageRecord] = {}
        for first in range(0, len(message_ids), MAX_IDS_PER_SELECT):
            ids = message_ids[first : first + MAX_IDS_PER_SELECT]
            placeholders = ", ".join("?" * len(ids))
            rows = self.database.execute(f"SELECT {COLUMNS} FROM messages WHERE id IN ({placeholders})", ids)
            records |= {record.message_id: record for record in map(record_of, rows)}
        return records

    def read(self, message_ids: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the existing records of these messages, by message id."""
        try:
            return self._read(message_ids)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that match a query, the oldest admission first."""
        where, values = conditions(query, "?")
        text = f"SELECT {COLUMNS} FROM messages WHERE {where} ORDER BY taken_at, id LIMIT ?"
        try:
            for row in self.database.execute(text, (*values, -1 if query.limit is None else query.limit)):
                yield record_of(row)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{self.path}: {error}") from error

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes at most `max_rows` records reported before a time; returns the number deleted."""
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
        """Returns the inconsistencies in the database, one line each."""
        try:
            lines = [row[0] for row in self.database.execute("PRAGMA integrity_check") if row[0] != "ok"]
            for record in self.select(RecordQuery()):
                lines += inconsistencies(record)
            lines += [attempt_count_mismatch(*row) for row in self.database.execute(ATTEMPT_COUNT_MISMATCHES)]
        except (sqlite3.Error, ValueError) as error:
            return [str(error)]
        return lines
