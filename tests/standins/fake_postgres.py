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

SSL_REQUEST, CANCEL_REQUEST, PROTOCOL_VERSION = 80877103, 80877102, 196608
INT8_OID, TEXT_OID = 20, 25
INTEGER_FORMATS = {21: ">h", 23: ">i", 20: ">q"}


@dataclass
class Faults:
    """What goes wrong. Bytes are counted in each connection."""

    cut_after_received: int | None = None  # after so many bytes from the client, the connection ends
    cut_after_sent: int | None = None  # after so many bytes to the client
    silent_after_sent: int | None = (
        None  # from so many bytes on nothing more is said, and the connection stays
    )
    commit_errors: list[str] = field(
        default_factory=list
    )  # SQLSTATEs, each answers one COMMIT in place of doing it
    startup_error: str | None = None  # SQLSTATE in place of a start-up


def cut_connection(side: str, byte_count: int) -> Faults:
    """The end of a connection once so many bytes were heard, or said."""
    return Faults(cut_after_received=byte_count) if side == "received" else Faults(cut_after_sent=byte_count)


class ConnectionCutError(Exception):
    pass


class FaultyConnection:
    """One connection's sockets, with their faults."""

    def __init__(self, sock: socket.socket, faults: Faults) -> None:
        self.sock, self.faults = sock, faults
        self.received = self.sent = 0
        self.read_buffer, self.write_buffer = bytearray(), bytearray()
        self.is_cut = False  # by its faults

    def read(self, size: int) -> bytes:
        allowed = (
            size
            if self.faults.cut_after_received is None
            else min(size, self.faults.cut_after_received - self.received)
        )
        while len(self.read_buffer) < allowed:
            self.flush()  # as the server does before it waits
            part = self.sock.recv(1 << 16)
            if not part:
                raise ConnectionCutError
            self.read_buffer += part
        if allowed < size:
            self.is_cut = True
            raise ConnectionCutError
        data = bytes(self.read_buffer[:size])
        del self.read_buffer[:size]
        self.received += size
        return data

    def write(self, data: bytes) -> None:
        self.write_buffer += data

    def flush(self) -> None:
        data, self.write_buffer = bytes(self.write_buffer), bytearray()
        allowed = len(data)
        for limit in (self.faults.cut_after_sent, self.faults.silent_after_sent):
            if limit is not None:
                allowed = min(allowed, max(0, limit - self.sent))
        if allowed:
            self.sent += allowed  # before its client can act on it, and read this from another thread
            self.sock.sendall(data[:allowed])
        if allowed < len(data) and self.faults.cut_after_sent is not None:
            self.is_cut = True
            raise ConnectionCutError


class FakePostgresServer:
    """Use as a context; `dsn` is where it listens. All its threads end with it."""

    def __init__(self, path: Path, password: str | None = None) -> None:
        self.path, self.password = path, password
        self.faults = Faults()  # of every connection, also of those that stand already
        self.draw_faults: Callable[[], Faults] | None = (
            None  # in its place, faults of each new connection's own
        )
        self.cut_count = 0
        self.may_commit = threading.Event()  # while it is not set, each COMMIT waits before it is done
        self.may_commit.set()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.threads: list[threading.Thread] = []
        self.sockets: set[socket.socket] = set()
        self.connections: list[FaultyConnection] = []
        self.commit_count = 0
        self.cancel_count = 0
        self.is_closing = False

    @property
    def dsn(self) -> str:
        secret = f" password={self.password}" if self.password else ""
        port = self.listener.getsockname()[1]
        about = "user=relay dbname=record sslmode=prefer gssencmode=disable"
        return f"host=127.0.0.1 port={port} {about}{secret}"

    def __enter__(self) -> FakePostgresServer:
        self._start_thread(self._accept)
        return self

    def __exit__(self, *_: object) -> None:
        self.is_closing = True
        self.may_commit.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.close_connections()
        for thread in self.threads:
            thread.join()

    def close_connections(self) -> None:
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _start_thread(self, target: object, *given: object) -> None:
        thread = threading.Thread(target=target, args=given, daemon=True)  # type: ignore[arg-type]
        self.threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self.is_closing:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # else 40 ms an answer
            self.sockets.add(sock)
            self._start_thread(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        line = FaultyConnection(sock, self.draw_faults() if self.draw_faults is not None else self.faults)
        self.connections.append(line)
        try:
            Session(self, line).run()
        except (ConnectionCutError, OSError) as error:
            self.cut_count += isinstance(error, ConnectionCutError) and line.is_cut
        finally:
            with contextlib.suppress(ConnectionCutError, OSError):
                line.flush()  # an error that ends the session
            self.sockets.discard(sock)
            sock.close()


class Session:
    def __init__(self, server: FakePostgresServer, line: FaultyConnection) -> None:
        self.server, self.connection = server, line
        self.database: sqlite3.Connection | None = None
        self.statement = ""
        self.parameters: list[object] = []
        self.rows: list[tuple[object, ...]] = []
        self.columns: list[str] = []
        self.command_tag = ""
        self.is_failed = False  # the transaction, until ROLLBACK
        self.is_skipping = False  # until Sync

    def send(self, kind: bytes, body: bytes = b"") -> None:
        self.connection.write(kind + struct.pack(">i", len(body) + 4) + body)

    def run(self) -> None:
        if not self._start_up():
            return
        self.database = sqlite3.connect(self.server.path, isolation_level=None, timeout=5)
        self.database.execute("PRAGMA journal_mode=WAL")
        self.database.execute("PRAGMA synchronous=OFF")
        self.database.create_function("pg_advisory_xact_lock", 1, lambda key: None)
        try:
            while True:
                kind = self.connection.read(1)
                (size,) = struct.unpack(">i", self.connection.read(4))
                body = self.connection.read(size - 4)
                if kind == b"X":
                    return
                self._handle_message(kind, body)
        finally:
            self.database.close()  # what was not committed is rolled back

    # Start-up

    def _start_up(self) -> bool:
        while True:
            (size,) = struct.unpack(">i", self.connection.read(4))
            body = self.connection.read(size - 4)
            (code,) = struct.unpack_from(">i", body)
            if code == SSL_REQUEST:
                self.connection.write(b"N")
            elif code == CANCEL_REQUEST:
                self.server.cancel_count += 1
                return False
            else:
                break
        if code != PROTOCOL_VERSION:
            self._send_error("08P01", f"protocol {code}")
            return False
        if self.server.faults.startup_error is not None:
            self._send_error(self.server.faults.startup_error, "no start-up now")
            return False
        if self.server.password is not None and not self._scram(self.server.password):
            return False
        self.send(b"R", struct.pack(">i", 0))
        for name, value in (
            ("server_version", "15.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
            ("integer_datetimes", "on"),
        ):
            self.send(b"S", f"{name}\0{value}\0".encode())
        self.send(b"K", struct.pack(">ii", 1, 2))
        self._send_ready()
        return True

    def _scram(self, password: str) -> bool:
        self.send(b"R", struct.pack(">i", 10) + b"SCRAM-SHA-256\0\0")
        first = self._read_password().partition(b"\0")[2][4:].decode()
        bare = first.partition(",")[2].partition(",")[2]
        nonce = re.search(r"r=([^,]+)", bare)
        assert nonce is not None
        salt, rounds = os.urandom(16), 4096
        answer = f"r={nonce[1]}{os.urandom(9).hex()},s={base64.b64encode(salt).decode()},i={rounds}"
        self.send(b"R", struct.pack(">i", 11) + answer.encode())
        final = self._read_password().decode()
        unproved, _, proof = final.rpartition(",p=")
        salted = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, rounds)
        key = hmac.digest(salted, b"Client Key", "sha256")
        signed = f"{bare},{answer},{unproved}".encode()
        signature = hmac.digest(hashlib.sha256(key).digest(), signed, "sha256")
        if bytes(a ^ b for a, b in zip(key, signature, strict=True)) != base64.b64decode(proof):
            self._send_error("28P01", "password authentication failed")
            return False
        server = hmac.digest(hmac.digest(salted, b"Server Key", "sha256"), signed, "sha256")
        self.send(b"R", struct.pack(">i", 12) + b"v=" + base64.b64encode(server))
        return True

    def _read_password(self) -> bytes:
        kind = self.connection.read(1)
        (size,) = struct.unpack(">i", self.connection.read(4))
        assert kind == b"p"
        return self.connection.read(size - 4)

    # Queries

    def _handle_message(self, kind: bytes, body: bytes) -> None:
        if kind == b"S":
            self.is_skipping = False
            self._send_ready()
        elif self.is_skipping:
            pass
        elif kind == b"Q":
            self.statement, self.parameters = body.rstrip(b"\0").decode(), []
            if self._execute():
                self._send_description()
                self._send_results()
            self.is_skipping = False
            self._send_ready()
        elif kind == b"P":
            _, text, _ = body.split(b"\0", 2)
            self.types = self._parse_types(body)
            self.statement = text.decode()
            self.send(b"1")
        elif kind == b"B":
            self.parameters = self._parse_parameters(body)
            self.send(b"2")
            self.is_skipping = not self._execute()
        elif kind == b"D":
            self._send_description()
        elif kind == b"E":
            self._send_results()
        elif kind in (b"H", b"C"):
            if kind == b"C":
                self.send(b"3")
        else:
            self._send_error("08P01", f"message {kind!r}")

    def _parse_types(self, body: bytes) -> list[int]:
        at = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">h", body, at)
        return list(struct.unpack_from(f">{count}i", body, at + 2))

    def _parse_parameters(self, body: bytes) -> list[object]:
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
                given.append(struct.unpack(INTEGER_FORMATS[kind], data)[0])
            else:
                given.append(int(data) if kind in INTEGER_FORMATS else data.decode())
        return given

    def _execute(self) -> bool:
        """Runs the statement; its error is said, and ends the transaction as PostgreSQL does."""
        assert self.database is not None
        word = (self.statement.split() or [""])[0].upper()
        if word == "COMMIT":
            self.server.may_commit.wait()
        if self.is_failed and word not in ("ROLLBACK", "COMMIT"):
            self._send_error("25P02", "current transaction is aborted")
            return False
        if word == "COMMIT" and self.server.faults.commit_errors:
            state = self.server.faults.commit_errors.pop(0)
            self.database.execute("ROLLBACK")
            self._send_error(state, "by the script")
            self.is_failed = False
            return False
        if word == "COMMIT" and self.is_failed:
            self.statement = "ROLLBACK"
        try:
            text = "BEGIN IMMEDIATE" if word == "BEGIN" else re.sub(r"\$(\d+)", r"?\1", self.statement)
            cursor = self.database.execute(text, self.parameters)
            self.columns = [column[0] for column in cursor.description or ()]
            self.rows = cursor.fetchall()
        except sqlite3.Error as error:
            busy = getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_BUSY
            self.is_failed = self.database.in_transaction
            self._send_error("55P03" if busy else "42601", str(error))
            return False
        self.is_failed = self.is_failed and word not in ("ROLLBACK", "COMMIT")
        self.server.commit_count += word == "COMMIT"
        count = len(self.rows) if self.columns else max(0, cursor.rowcount)
        self.command_tag = {"SELECT": f"SELECT {count}", "INSERT": f"INSERT 0 {count}"}.get(word, word)
        if word in ("UPDATE", "DELETE"):
            self.command_tag = f"{word} {count}"
        return True

    def _send_description(self) -> None:
        if not self.columns:
            self.send(b"n")
            return
        body = struct.pack(">h", len(self.columns))
        for i, name in enumerate(self.columns):
            number = any(isinstance(row[i], int) for row in self.rows)
            kind, size = (INT8_OID, 8) if number else (TEXT_OID, -1)
            body += name.encode() + b"\0" + struct.pack(">ihihih", 0, 0, kind, size, -1, 0)
        self.send(b"T", body)

    def _send_results(self) -> None:
        for row in self.rows:
            body = struct.pack(">h", len(row))
            for value in row:
                if value is None:
                    body += struct.pack(">i", -1)
                else:
                    data = str(value).encode()
                    body += struct.pack(">i", len(data)) + data
            self.send(b"D", body)
        self.send(b"C", self.command_tag.encode() + b"\0")

    def _send_ready(self) -> None:
        inside = self.database is not None and self.database.in_transaction
        self.send(b"Z", b"E" if self.is_failed else b"T" if inside else b"I")

    def _send_error(self, state: str, text: str) -> None:
        self.is_skipping = True
        self.send(b"E", f"SERROR\0VERROR\0C{state}\0M{text}\0\0".encode())
