"""The record in PostgreSQL, over its own protocol by psycopg 3 (the extra `loftrelay[postgres]`).

Many instances write to one database: each row is written only where it stands as it was read. A transaction
that lost such a race, or was ended by the server, is rolled back as a whole and comes again.
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
LOCK = 0x6C6F6674  # one relay migrates at a time
NAMES = [name.strip() for name in COLUMNS.split(",")]
INSERT = f"INSERT INTO messages ({COLUMNS}) VALUES ({', '.join(['%s'] * 20)}) ON CONFLICT (id) DO NOTHING"
UPDATE = (
    f"UPDATE messages SET {', '.join(f'{name} = %s' for name in NAMES[1:])} "
    "WHERE id = %s AND run = %s AND number = %s"
)
ATTEMPT = (
    "INSERT INTO attempts (id, run, attempt, host, intended_at, result, result_at) "
    "VALUES (%s, %s, %s, %s, %s, %s, %s) ON CONFLICT (id, run, attempt) "
    "DO UPDATE SET result = excluded.result, result_at = excluded.result_at"
)
# SQLSTATE classes and codes (PostgreSQL, appendix A) after which the same may succeed later:
TRANSIENT = (
    "08",
    "40",
    "53",
    "55",
    "57",
    "58",  # connection, rollback, resources, state, operator, system
    "25006",  # read-only: a failover left this connection at a standby
)


class ConcurrentWriteError(Exception):
    """Another writer has changed a row since it was read here."""


class PostgresStore:
    """One connection. `seconds`: for one call of the store; then its connection is cut from this side."""

    def __init__(self, dsn: str, seconds: float = 5.0) -> None:
        self.seconds = seconds
        try:
            self.database = psycopg.connect(
                dsn, autocommit=True, connect_timeout=max(2, int(seconds)), application_name="loftrelay"
            )
            self.database.prepare_threshold = None  # a pooler between may not know prepared statements
        except psycopg.Error as error:
            raise self._told(error, committing=False) from error
        try:
            with self._call():
                self._prepare()
        except BaseException:
            self.close()
            raise

    def _prepare(self) -> None:
        self.database.execute("BEGIN")
        self.database.execute("SELECT pg_advisory_xact_lock(%s)", (LOCK,))
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
        """A server that says nothing any more must not hold the thread: the socket is shut after a time."""
        done = threading.Event()

        def cut(number: int) -> None:
            try:
                if not done.wait(self.seconds):
                    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(number)) as line:
                        line.shutdown(socket.SHUT_RDWR)
            finally:
                os.close(number)

        try:
            watched = os.dup(self.database.fileno())
        except (psycopg.Error, OSError) as error:
            raise StoreUnavailableError(f"the connection is gone: {error}") from error
        watch = threading.Thread(target=cut, args=(watched,), daemon=True)
        watch.start()
        try:
            yield
        except psycopg.Error as error:
            raise self._told(error, committing=False) from error
        finally:
            done.set()
            watch.join()

    def _told(self, error: psycopg.Error, committing: bool) -> StoreError:
        """What an error means. Without an SQLSTATE the connection broke: nobody knows what a COMMIT did."""
        text, state = " ".join(str(error).split()), error.sqlstate
        if state is None:
            broken = isinstance(error, psycopg.OperationalError | psycopg.InterfaceError)
            if committing and broken:
                return CommitUncertainError(text)
            return StoreUnavailableError(text) if broken else StoreUnusableError(text)
        if state.startswith(TRANSIENT):
            # 40003 says itself that it does not know; 57 and 08 in a COMMIT: the server went in its midst.
            unknown = state == "40003" or state.startswith(("57", "08"))
            return CommitUncertainError(text) if committing and unknown else StoreUnavailableError(text)
        return StoreUnusableError(text)

    def close(self) -> None:
        """Closes the database."""
        with contextlib.suppress(psycopg.Error):
            self.database.close()

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Raises Unavailable (nothing is stored), Ambiguous, Unusable, or RuleBroken (nothing is stored)."""
        committing = False
        try:
            with self._call():
                self.database.execute("BEGIN")
                group = build_group(changes, self._read(list({change.message_id for change in changes})))
                self._put(group)
                try:
                    committing = True
                    self.database.execute("COMMIT")
                except psycopg.Error as error:
                    raise self._told(error, committing=True) from error
        except ConcurrentWriteError as error:
            self._roll_back()
            raise StoreUnavailableError(f"{error}: another instance wrote them meanwhile") from error
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

    def _put(self, group: CommitGroup) -> None:
        """Each kind of row in one pipeline: as many round trips for a group as for one change."""
        new: list[Sequence[Any]] = []
        grown: list[Sequence[Any]] = []
        for message, after in group.after.items():
            before, row = group.before[message], row_of(after)
            if before is None:
                new.append(row)
            else:
                grown.append((*row[1:], message, before.admission_number, before.change_number))
        with self.database.cursor() as cursor:
            for text, rows in ((INSERT, new), (UPDATE, grown)):
                if rows:
                    cursor.executemany(text.encode(), rows)
                    if cursor.rowcount != len(rows):
                        raise ConcurrentWriteError(f"{len(rows) - cursor.rowcount} of {len(rows)} rows")
            if group.attempts:
                cursor.executemany(ATTEMPT.encode(), [attempt.row for attempt in group.attempts.values()])

    def _read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        if not messages:
            return {}
        marks = ", ".join(["%s"] * len(messages))
        text = f"SELECT {COLUMNS} FROM messages WHERE id IN ({marks})"
        rows = self.database.execute(text.encode(), list(messages)).fetchall()
        return {entry.message_id: entry for entry in map(record_of, rows)}

    def read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the records of these messages, where there are any."""
        with self._call():
            return self._read(messages)

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that a query asks for."""
        terms, given = conditions(query, "%s")
        text = f"SELECT {COLUMNS} FROM messages WHERE {terms} ORDER BY taken_at, id"
        if query.limit is not None:
            text += " LIMIT %s"
            given.append(query.limit)
        with self._call():
            rows = self.database.execute(text.encode(), given).fetchall()
        yield from map(record_of, rows)

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes so many records at most that were reported before a time; returns how many."""
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
        """Returns what is inconsistent in the database, a line each."""
        said = [line for entry in self.select(RecordQuery()) for line in inconsistencies(entry)]
        with self._call():
            rows = self.database.execute(ATTEMPT_COUNT_MISMATCHES).fetchall()
        return said + [attempt_count_mismatch(*row) for row in rows]
