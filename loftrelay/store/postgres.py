"""Store of record in PostgreSQL, accessed with psycopg 3 (the extra `loftrelay[postgres]`).

Several instances may write to one database: a row is updated only if it is unchanged since it was read. A
transaction that lost such a race, or was ended by the server, is rolled back as a whole and tried again.
"""

from __future__ import annotations

import contextlib
import os
import socket
import threading
from collections.abc import Iterator, Sequence
from typing import Any

import psycopg

from loftrelay.store.backend import (
    CommitUncertainError,
    RecordQuery,
    StoreError,
    StoreUnavailableError,
    StoreUnusableError,
)
from loftrelay.store.group_commit import CommitGroup, build_group
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

MIGRATIONS: tuple[tuple[str, ...], ...] = (
    (
        """CREATE TABLE messages (
        id text PRIMARY KEY, run integer NOT NULL, number integer NOT NULL, state text NOT NULL,
        instance text NOT NULL, class text NOT NULL, tenant text, destination bigint NOT NULL, key text,
        sha256 text NOT NULL, deadline bigint NOT NULL, taken_at bigint NOT NULL,
        attempts integer NOT NULL, host text, intended_at bigint, result text, result_at bigint,
        answer text, answered_at bigint, told_at bigint)""",
        """CREATE TABLE attempts (
        id text NOT NULL, run integer NOT NULL, attempt integer NOT NULL, host text,
        intended_at bigint NOT NULL, result text, result_at bigint, PRIMARY KEY (id, run, attempt))""",
        "CREATE INDEX messages_by_time ON messages (taken_at)",
        "CREATE INDEX messages_by_tenant ON messages (tenant, taken_at)",
        "CREATE INDEX messages_by_class ON messages (class, taken_at)",
        "CREATE INDEX messages_by_answer ON messages (answer, taken_at)",
        "CREATE INDEX messages_by_told ON messages (told_at)",
    ),
)
VERSION = len(MIGRATIONS)
MIGRATION_LOCK_ID = 0x6C6F6674  # advisory lock: one relay migrates at a time
COLUMN_NAMES = [name.strip() for name in COLUMNS.split(",")]
INSERT = f"INSERT INTO messages ({COLUMNS}) VALUES ({', '.join(['%s'] * 20)}) ON CONFLICT (id) DO NOTHING"
UPDATE = (
    f"UPDATE messages SET {', '.join(f'{name} = %s' for name in COLUMN_NAMES[1:])} "
    "WHERE id = %s AND run = %s AND number = %s"
)
UPSERT_ATTEMPT = (
    "INSERT INTO attempts (id, run, attempt, host, intended_at, result, result_at) "
    "VALUES (%s, %s, %s, %s, %s, %s, %s) ON CONFLICT (id, run, attempt) "
    "DO UPDATE SET result = excluded.result, result_at = excluded.result_at"
)
# SQLSTATE classes and codes (PostgreSQL, appendix A) after which the same call may succeed later.
TRANSIENT_STATES = (
    "08",
    "40",
    "53",
    "55",
    "57",
    "58",  # connection, rollback, insufficient resources, object state, operator, system
    "25006",  # read-only transaction: after a failover this connection is to a standby
)


class ConcurrentWriteError(Exception):
    """Another instance has changed a row since it was read."""


class PostgresStore:
    """Store of record with one connection to a PostgreSQL server.

    Args:
        dsn: Connection string, as of libpq.
        call_timeout_s: Time-out of one call; then the connection is shut down from this side.

    Raises:
        StoreUnavailableError: The server can't be reached now.
        StoreUnusableError: The database can't be used.
    """

    def __init__(self, dsn: str, call_timeout_s: float = 5.0) -> None:
        self.call_timeout_s = call_timeout_s
        try:
            self.database = psycopg.connect(
                dsn,
                autocommit=True,
                connect_timeout=max(2, int(call_timeout_s)),
                application_name="loftrelay",
            )
            # A connection pooler in between may not support prepared statements.
            self.database.prepare_threshold = None
        except psycopg.Error as error:
            raise self._store_error(error, committing=False) from error
        try:
            with self._call():
                self._prepare()
        except BaseException:
            self.close()
            raise

    def _prepare(self) -> None:
        self.database.execute("BEGIN")
        self.database.execute("SELECT pg_advisory_xact_lock(%s)", (MIGRATION_LOCK_ID,))
        self.database.execute("CREATE TABLE IF NOT EXISTS record_version (version integer NOT NULL)")
        row = self.database.execute("SELECT version FROM record_version").fetchone()
        version = row[0] if row is not None else 0
        if version > VERSION:
            raise StoreUnusableError(f"its schema has version {version}, this program knows up to {VERSION}")
        for texts in MIGRATIONS[version:]:
            for text in texts:
                self.database.execute(text.encode())
        if version < VERSION:
            self.database.execute("DELETE FROM record_version")
            self.database.execute("INSERT INTO record_version VALUES (%s)", (VERSION,))
        self.database.execute("COMMIT")

    @contextlib.contextmanager
    def _call(self) -> Iterator[None]:
        """Shuts the socket down after the time-out: an unresponsive server must not block the thread."""
        done = threading.Event()

        def shut_down_after_timeout(descriptor: int) -> None:
            try:
                if not done.wait(self.call_timeout_s):
                    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(descriptor)) as connection:
                        connection.shutdown(socket.SHUT_RDWR)
            finally:
                os.close(descriptor)

        try:
            watched_descriptor = os.dup(self.database.fileno())
        except (psycopg.Error, OSError) as error:
            raise StoreUnavailableError(f"the connection is closed: {error}") from error
        watchdog = threading.Thread(target=shut_down_after_timeout, args=(watched_descriptor,), daemon=True)
        watchdog.start()
        try:
            yield
        except psycopg.Error as error:
            raise self._store_error(error, committing=False) from error
        finally:
            done.set()
            watchdog.join()

    def _store_error(self, error: psycopg.Error, committing: bool) -> StoreError:
        """Returns the error of the store for an error of psycopg.

        Without an SQLSTATE the connection broke, so the outcome of a COMMIT is unknown.
        """
        text, state = " ".join(str(error).split()), error.sqlstate
        if state is None:
            is_broken = isinstance(error, psycopg.OperationalError | psycopg.InterfaceError)
            if committing and is_broken:
                return CommitUncertainError(text)
            return StoreUnavailableError(text) if is_broken else StoreUnusableError(text)
        if state.startswith(TRANSIENT_STATES):
            # 40003 means an unknown outcome; with 57 and 08 the server may have ended during the COMMIT.
            is_uncertain = state == "40003" or state.startswith(("57", "08"))
            return CommitUncertainError(text) if committing and is_uncertain else StoreUnavailableError(text)
        return StoreUnusableError(text)

    def close(self) -> None:
        """Closes the database."""
        with contextlib.suppress(psycopg.Error):
            self.database.close()

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Stores changes in one transaction, as StoreBackend.commit."""
        committing = False
        try:
            with self._call():
                self.database.execute("BEGIN")
                group = build_group(changes, self._read(list({change.message_id for change in changes})))
                self._write_group(group)
                try:
                    committing = True
                    self.database.execute("COMMIT")
                except psycopg.Error as error:
                    raise self._store_error(error, committing=True) from error
        except ConcurrentWriteError as error:
            self._roll_back()
            raise StoreUnavailableError(
                f"{error} were changed by another instance since they were read"
            ) from error
        except BaseException:
            if not committing:
                self._roll_back()
            raise
        return group.ids_in_use

    def _roll_back(self) -> None:
        if self.database.closed or self.database.broken:
            return
        with contextlib.suppress(psycopg.Error, StoreError), self._call():
            self.database.execute("ROLLBACK")

    def _write_group(self, group: CommitGroup) -> None:
        """Writes each kind of row in one pipeline: a group takes as many round trips as one change."""
        new_rows: list[Sequence[Any]] = []
        updated_rows: list[Sequence[Any]] = []
        for message_id, after in group.after.items():
            before, row = group.before[message_id], row_of(after)
            if before is None:
                new_rows.append(row)
            else:
                updated_rows.append((*row[1:], message_id, before.admission_number, before.change_number))
        with self.database.cursor() as cursor:
            for text, rows in ((INSERT, new_rows), (UPDATE, updated_rows)):
                if rows:
                    cursor.executemany(text.encode(), rows)
                    if cursor.rowcount != len(rows):
                        raise ConcurrentWriteError(f"{len(rows) - cursor.rowcount} of {len(rows)} rows")
            if group.attempts:
                cursor.executemany(
                    UPSERT_ATTEMPT.encode(), [attempt.row for attempt in group.attempts.values()]
                )

    def _read(self, message_ids: Sequence[str]) -> dict[str, MessageRecord]:
        if not message_ids:
            return {}
        placeholders = ", ".join(["%s"] * len(message_ids))
        text = f"SELECT {COLUMNS} FROM messages WHERE id IN ({placeholders})"
        rows = self.database.execute(text.encode(), list(message_ids)).fetchall()
        return {record.message_id: record for record in map(record_of, rows)}

    def read(self, message_ids: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the existing records of these messages, by message id."""
        with self._call():
            return self._read(message_ids)

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that match a query, the oldest admission first."""
        where, values = conditions(query, "%s")
        text = f"SELECT {COLUMNS} FROM messages WHERE {where} ORDER BY taken_at, id"
        if query.limit is not None:
            text += " LIMIT %s"
            values.append(query.limit)
        with self._call():
            rows = self.database.execute(text.encode(), values).fetchall()
        yield from map(record_of, rows)

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes at most `max_rows` records reported before a time; returns the number deleted."""
        with self._call():
            self.database.execute("BEGIN")
            rows = self.database.execute(
                "SELECT id FROM messages WHERE told_at < %s ORDER BY told_at LIMIT %s", (before, max_rows)
            ).fetchall()
            for row in rows:
                self.database.execute("DELETE FROM attempts WHERE id = %s", row)
                self.database.execute("DELETE FROM messages WHERE id = %s", row)
            self.database.execute("COMMIT")
        return len(rows)

    def verify(self) -> list[str]:
        """Returns the inconsistencies in the database, one line each."""
        lines = [line for record in self.select(RecordQuery()) for line in inconsistencies(record)]
        with self._call():
            rows = self.database.execute(ATTEMPT_COUNT_MISMATCHES).fetchall()
        return lines + [attempt_count_mismatch(*row) for row in rows]
