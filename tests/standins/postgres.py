"""A stand-in for a PostgreSQL server: the frontend/backend protocol 3.0 as its manual tells it (chapter
"Frontend/Backend Protocol"), its SQL run on an embedded SQLite file. It can fail at any byte.

It knows start-up, SSLRequest (declined), SCRAM-SHA-256 (RFC 5802, RFC 7677), the simple and the extended
query, errors with SQLSTATE, Terminate and CancelRequest. It is no PostgreSQL: locking, isolation and types
are SQLite's.
"""

from __future__ import annotations

import base64
import contextlib
import hashlib
import hmac
import os
import re
import socket
import sqlite3
import struct
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

SSL, CANCEL, PROTOCOL = 80877103, 80877102, 196608
INT8, TEXT = 20, 25
INTEGERS = {21: ">h", 23: ">i", 20: ">q"}


@dataclass
class Faults:
    """What goes wrong. Bytes are counted in each connection."""

    cut_heard: int | None = None  # after so many bytes from the client, the connection ends
    cut_said: int | None = None  # after so many bytes to the client
    hush_said: int | None = None  # from so many bytes on nothing more is said, and the connection stays
    errors: list[str] = field(default_factory=list)  # SQLSTATEs, each answers one COMMIT in place of doing it
    refuse: str | None = None  # SQLSTATE in place of a start-up


def cut(side: str, after: int) -> Faults:
    """The end of a connection once so many bytes were heard, or said."""
    return Faults(cut_heard=after) if side == "heard" else Faults(cut_said=after)


class Cut(Exception):
    pass


class Line:
    """One connection's sockets, with their faults."""

    def __init__(self, sock: socket.socket, faults: Faults) -> None:
        self.sock, self.faults = sock, faults
        self.heard = self.said = 0
        self.unread, self.unsaid = bytearray(), bytearray()
        self.is_cut = False  # by its faults

    def read(self, size: int) -> bytes:
        allowed = size if self.faults.cut_heard is None else min(size, self.faults.cut_heard - self.heard)
        while len(self.unread) < allowed:
            self.flush()  # as the server does before it waits
            part = self.sock.recv(1 << 16)
            if not part:
                raise Cut
            self.unread += part
        if allowed < size:
            self.is_cut = True
            raise Cut
        data = bytes(self.unread[:size])
        del self.unread[:size]
        self.heard += size
        return data

    def write(self, data: bytes) -> None:
        self.unsaid += data

    def flush(self) -> None:
        data, self.unsaid = bytes(self.unsaid), bytearray()
        allowed = len(data)
        for limit in (self.faults.cut_said, self.faults.hush_said):
            if limit is not None:
                allowed = min(allowed, max(0, limit - self.said))
        if allowed:
            self.said += allowed  # before its client can act on it, and read this from another thread
            self.sock.sendall(data[:allowed])
        if allowed < len(data) and self.faults.cut_said is not None:
            self.is_cut = True
            raise Cut


class PostgresStandIn:
    """Use as a context; `dsn` is where it listens. All its threads end with it."""

    def __init__(self, path: Path, password: str | None = None) -> None:
        self.path, self.password = path, password
        self.faults = Faults()  # of every connection, also of those that stand already
        self.drawn: Callable[[], Faults] | None = None  # in its place, faults of each new connection's own
        self.cuts = 0
        self.gate = threading.Event()  # while it is not set, each COMMIT waits before it is done
        self.gate.set()
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.threads: list[threading.Thread] = []
        self.open: set[socket.socket] = set()
        self.lines: list[Line] = []
        self.commits = 0
        self.cancelled = 0
        self.closing = False

    @property
    def dsn(self) -> str:
        secret = f" password={self.password}" if self.password else ""
        port = self.listening.getsockname()[1]
        about = "user=relay dbname=record sslmode=prefer gssencmode=disable"
        return f"host=127.0.0.1 port={port} {about}{secret}"

    def __enter__(self) -> PostgresStandIn:
        self._begin(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.closing = True
        self.gate.set()
        with contextlib.suppress(OSError):
            self.listening.shutdown(socket.SHUT_RDWR)
        self.listening.close()
        self.cut_all()
        for thread in self.threads:
            thread.join()

    def cut_all(self) -> None:
        for sock in list(self.open):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _begin(self, target: object, *given: object) -> None:
        thread = threading.Thread(target=target, args=given, daemon=True)  # type: ignore[arg-type]
        self.threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self.closing:
            try:
                sock, _ = self.listening.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else 40 ms an answer
            self.open.add(sock)
            self._begin(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        line = Line(sock, self.drawn() if self.drawn is not None else self.faults)
        self.lines.append(line)
        try:
            Session(self, line).run()
        except (Cut, OSError) as error:
            self.cuts += isinstance(error, Cut) and line.is_cut
        finally:
            with contextlib.suppress(Cut, OSError):
                line.flush()  # an error that ends the session
            self.open.discard(sock)
            sock.close()


class Session:
    def __init__(self, server: PostgresStandIn, line: Line) -> None:
        self.server, self.line = server, line
        self.database: sqlite3.Connection | None = None
        self.text = ""
        self.given: list[object] = []
        self.rows: list[tuple[object, ...]] = []
        self.columns: list[str] = []
        self.tag = ""
        self.failed = False  # the transaction, until ROLLBACK
        self.skipping = False  # until Sync

    def say(self, kind: bytes, body: bytes = b"") -> None:
        self.line.write(kind + struct.pack(">i", len(body) + 4) + body)

    def run(self) -> None:
        if not self._start():
            return
        self.database = sqlite3.connect(self.server.path, isolation_level=None, timeout=5)
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=OFF")
        self.database.create_function("pg_advisory_xact_lock", 1, lambda key: None)
        try:
            while True:
                kind = self.line.read(1)
                (size,) = struct.unpack(">i", self.line.read(4))
                body = self.line.read(size - 4)
                if kind == b"X":
                    return
                self._message(kind, body)
        finally:
            self.database.close()  # what was not committed is rolled back

    # Start-up

    def _start(self) -> bool:
        while True:
            (size,) = struct.unpack(">i", self.line.read(4))
            body = self.line.read(size - 4)
            (code,) = struct.unpack_from(">i", body)
            if code == SSL:
                self.line.write(b"N")
            elif code == CANCEL:
                self.server.cancelled += 1
                return False
            else:
                break
        if code != PROTOCOL:
            self._error("08P01", f"protocol {code}")
            return False
        if self.server.faults.refuse is not None:
            self._error(self.server.faults.refuse, "no start-up now")
            return False
        if self.server.password is not None and not self._scram(self.server.password):
            return False
        self.say(b"R", struct.pack(">i", 0))
        for name, value in (
            ("server_version", "15.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
        ):
            self.say(b"S", f"{name}\0{value}\0".encode())
        self.say(b"K", struct.pack(">ii", 1, 2))
        self._ready()
        return True

    def _scram(self, password: str) -> bool:
        self.say(b"R", struct.pack(">i", 10) + b"SCRAM-SHA-256\0\0")
        first = self._secret().partition(b"\0")[2][4:].decode()
        bare = first.partition(",")[2].partition(",")[2]
        nonce = re.search(r"r=([^,]+)", bare)
        assert nonce is not None
        salt, rounds = os.urandom(16), 4096
        answer = f"r={nonce[1]}{os.urandom(9).hex()},s={base64.b64encode(salt).decode()},i={rounds}"
        self.say(b"R", struct.pack(">i", 11) + answer.encode())
        final = self._secret().decode()
        unproved, _, proof = final.rpartition(",p=")
        salted = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, rounds)
        key = hmac.digest(salted, b"Client Key", "sha256")
        signed = f"{bare},{answer},{unproved}".encode()
        signature = hmac.digest(hashlib.sha256(key).digest(), signed, "sha256")
        if bytes(a ^ b for a, b in zip(key, signature, strict=True)) != base64.b64decode(proof):
            self._error("28P01", "password authentication failed")
            return False
        server = hmac.digest(hmac.digest(salted, b"Server Key", "sha256"), signed, "sha256")
        self.say(b"R", struct.pack(">i", 12) + b"v=" + base64.b64encode(server))
        return True

    def _secret(self) -> bytes:
        kind = self.line.read(1)
        (size,) = struct.unpack(">i", self.line.read(4))
        assert kind == b"p"
        return self.line.read(size - 4)

    # Queries

    def _message(self, kind: bytes, body: bytes) -> None:
        if kind == b"S":
            self.skipping = False
            self._ready()
        elif self.skipping:
            pass
        elif kind == b"Q":
            self.text, self.given = body.rstrip(b"\0").decode(), []
            if self._execute():
                self._describe()
                self._results()
            self.skipping = False
            self._ready()
        elif kind == b"P":
            _, text, _ = body.split(b"\0", 2)
            self.types = self._types(body)
            self.text = text.decode()
            self.say(b"1")
        elif kind == b"B":
            self.given = self._parameters(body)
            self.say(b"2")
            self.skipping = not self._execute()
        elif kind == b"D":
            self._describe()
        elif kind == b"E":
            self._results()
        elif kind in (b"H", b"C"):
            if kind == b"C":
                self.say(b"3")
        else:
            self._error("08P01", f"message {kind!r}")

    def _types(self, body: bytes) -> list[int]:
        at = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">h", body, at)
        return list(struct.unpack_from(f">{count}i", body, at + 2))

    def _parameters(self, body: bytes) -> list[object]:
        at = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">h", body, at)
        formats = struct.unpack_from(f">{count}h", body, at + 2)
        at += 2 + 2 * count
        (count,) = struct.unpack_from(">h", body, at)
        at += 2
        given: list[object] = []
        for i in range(count):
            (size,) = struct.unpack_from(">i", body, at)
            at += 4
            if size < 0:
                given.append(None)
                continue
            data, at = body[at : at + size], at + size
            form = formats[i] if len(formats) > 1 else formats[0] if formats else 0
            kind = self.types[i] if i < len(self.types) else 0
            if form:
                given.append(struct.unpack(INTEGERS[kind], data)[0])
            else:
                given.append(int(data) if kind in INTEGERS else data.decode())
        return given

    def _execute(self) -> bool:
        """Runs the statement; its error is said, and ends the transaction as PostgreSQL does."""
        assert self.database is not None
        word = (self.text.split() or [""])[0].upper()
        if word == "COMMIT":
            self.server.gate.wait()
        if self.failed and word not in ("ROLLBACK", "COMMIT"):
            self._error("25P02", "current transaction is aborted")
            return False
        if word == "COMMIT" and self.server.faults.errors:
            state = self.server.faults.errors.pop(0)
            self.database.execute("ROLLBACK")
            self._error(state, "by the script")
            self.failed = False
            return False
        if word == "COMMIT" and self.failed:
            self.text = "ROLLBACK"
        try:
            text = "BEGIN IMMEDIATE" if word == "BEGIN" else re.sub(r"\$(\d+)", r"?\1", self.text)
            cursor = self.database.execute(text, self.given)
            self.columns = [column[0] for column in cursor.description or ()]
            self.rows = cursor.fetchall()
        except sqlite3.Error as error:
            busy = getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_BUSY
            self.failed = self.database.in_transaction
            self._error("55P03" if busy else "42601", str(error))
            return False
        self.failed = self.failed and word not in ("ROLLBACK", "COMMIT")
        self.server.commits += word == "COMMIT"
        count = len(self.rows) if self.columns else max(0, cursor.rowcount)
        self.tag = {"SELECT": f"SELECT {count}", "INSERT": f"INSERT 0 {count}"}.get(word, word)
        if word in ("UPDATE", "DELETE"):
            self.tag = f"{word} {count}"
        return True

    def _describe(self) -> None:
        if not self.columns:
            self.say(b"n")
            return
        body = struct.pack(">h", len(self.columns))
        for i, name in enumerate(self.columns):
            number = any(isinstance(row[i], int) for row in self.rows)
            kind, size = (INT8, 8) if number else (TEXT, -1)
            body += name.encode() + b"\0" + struct.pack(">ihihih", 0, 0, kind, size, -1, 0)
        self.say(b"T", body)

    def _results(self) -> None:
        for row in self.rows:
            body = struct.pack(">h", len(row))
            for value in row:
                if value is None:
                    body += struct.pack(">i", -1)
                else:
                    data = str(value).encode()
                    body += struct.pack(">i", len(data)) + data
            self.say(b"D", body)
        self.say(b"C", self.tag.encode() + b"\0")

    def _ready(self) -> None:
        inside = self.database is not None and self.database.in_transaction
        self.say(b"Z", b"E" if self.failed else b"T" if inside else b"I")

    def _error(self, state: str, text: str) -> None:
        self.skipping = True
        self.say(b"E", f"SERROR\0VERROR\0C{state}\0M{text}\0\0".encode())
