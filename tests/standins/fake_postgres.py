"""A fake PostgreSQL server: the frontend/backend protocol 3.0 (manual, chapter "Frontend/Backend Protocol"),
with SQL executed on a SQLite file. Connections can fail at any byte.

It supports start-up, SSLRequest (declined), SCRAM-SHA-256 (RFC 5802, RFC 7677), the simple and the extended
query, errors with SQLSTATE, Terminate and CancelRequest. Locking, isolation and types are those of SQLite.
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
    """Injected faults. Bytes are counted for each connection."""

    cut_after_received: int | None = None  # closes after so many bytes from the client
    cut_after_sent: int | None = None  # closes after so many bytes to the client
    silent_after_sent: int | None = None  # sends nothing after so many bytes; the connection stays open
    # SQLSTATEs, each the response to one COMMIT, which is rolled back.
    commit_errors: list[str] = field(default_factory=list)
    startup_error: str | None = None  # SQLSTATE instead of a start-up


def cut_connection(side: str, byte_count: int) -> Faults:
    """Returns faults that close a connection once so many bytes were received, or sent (`side`)."""
    return Faults(cut_after_received=byte_count) if side == "received" else Faults(cut_after_sent=byte_count)


class ConnectionCutError(Exception):
    """The connection was closed, by an injected fault or by the client."""


class FaultyConnection:
    """One connection's socket, with its faults."""

    def __init__(self, sock: socket.socket, faults: Faults) -> None:
        self.sock, self.faults = sock, faults
        self.received = self.sent = 0
        self.read_buffer, self.write_buffer = bytearray(), bytearray()
        self.is_cut = False  # by an injected fault

    def read(self, size: int) -> bytes:
        """Reads exactly `size` bytes. Raises ConnectionCutError at a fault or at the end of the stream."""
        allowed = (
            size
            if self.faults.cut_after_received is None
            else min(size, self.faults.cut_after_received - self.received)
        )
        while len(self.read_buffer) < allowed:
            self.flush()  # as the server does before it waits for data
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
        """Buffers data until the next flush."""
        self.write_buffer += data

    def flush(self) -> None:
        """Sends the buffered data as far as the faults allow."""
        data, self.write_buffer = bytes(self.write_buffer), bytearray()
        allowed = len(data)
        for limit in (self.faults.cut_after_sent, self.faults.silent_after_sent):
            if limit is not None:
                allowed = min(allowed, max(0, limit - self.sent))
        if allowed:
            self.sent += allowed  # counted first: the client may read it from another thread
            self.sock.sendall(data[:allowed])
        if allowed < len(data) and self.faults.cut_after_sent is not None:
            self.is_cut = True
            raise ConnectionCutError


class FakePostgresServer:
    """A server on a loopback port, used as a context manager; leaving it ends all its threads."""

    def __init__(self, path: Path, password: str | None = None) -> None:
        self.path, self.password = path, password
        self.faults = Faults()  # of all connections, also of open ones
        # Returns the faults of each new connection, instead of `faults`.
        self.draw_faults: Callable[[], Faults] | None = None
        self.cut_count = 0
        self.may_commit = threading.Event()  # each COMMIT waits until it is set
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
        """Connection string for this server."""
        password = f" password={self.password}" if self.password else ""
        port = self.listener.getsockname()[1]
        options = "user=relay dbname=record sslmode=prefer gssencmode=disable"
        return f"host=127.0.0.1 port={port} {options}{password}"

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
        """Closes all open connections."""
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def _start_thread(self, target: object, *arguments: object) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)  # type: ignore[arg-type]
        self.threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self.is_closing:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            # Otherwise each response is delayed by 40 ms.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            self._start_thread(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        connection = FaultyConnection(
            sock, self.draw_faults() if self.draw_faults is not None else self.faults
        )
        self.connections.append(connection)
        try:
            Session(self, connection).run()
        except (ConnectionCutError, OSError) as error:
            self.cut_count += isinstance(error, ConnectionCutError) and connection.is_cut
        finally:
            with contextlib.suppress(ConnectionCutError, OSError):
                connection.flush()  # an error that ends the session
            self.sockets.discard(sock)
            sock.close()


class Session:
    """One session: start-up, authentication and queries of one connection."""

    def __init__(self, server: FakePostgresServer, connection: FaultyConnection) -> None:
        self.server, self.connection = server, connection
        self.database: sqlite3.Connection | None = None
        self.statement = ""
        self.parameters: list[object] = []
        self.rows: list[tuple[object, ...]] = []
        self.columns: list[str] = []
        self.command_tag = ""
        self.is_failed = False  # the transaction is aborted, until ROLLBACK
        self.is_skipping = False  # ignores messages until Sync, after an error

    def send(self, kind: bytes, body: bytes = b"") -> None:
        """Sends one protocol message."""
        self.connection.write(kind + struct.pack(">i", len(body) + 4) + body)

    def run(self) -> None:
        """Serves the connection until the client terminates it."""
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
            self.database.close()  # rolls back what was not committed

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
        client_first = self._read_password().partition(b"\0")[2][4:].decode()
        client_first_bare = client_first.partition(",")[2].partition(",")[2]
        nonce = re.search(r"r=([^,]+)", client_first_bare)
        assert nonce is not None
        salt, iterations = os.urandom(16), 4096
        server_first = f"r={nonce[1]}{os.urandom(9).hex()},s={base64.b64encode(salt).decode()},i={iterations}"
        self.send(b"R", struct.pack(">i", 11) + server_first.encode())
        client_final = self._read_password().decode()
        without_proof, _, proof = client_final.rpartition(",p=")
        salted = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, iterations)
        key = hmac.digest(salted, b"Client Key", "sha256")
        signed = f"{client_first_bare},{server_first},{without_proof}".encode()
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
        offset = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">h", body, offset)
        return list(struct.unpack_from(f">{count}i", body, offset + 2))

    def _parse_parameters(self, body: bytes) -> list[object]:
        offset = body.index(b"\0", body.index(b"\0") + 1) + 1
        (count,) = struct.unpack_from(">h", body, offset)
        formats = struct.unpack_from(f">{count}h", body, offset + 2)
        offset += 2 + 2 * count
        (count,) = struct.unpack_from(">h", body, offset)
        offset += 2
        parameters: list[object] = []
        for i in range(count):
            (size,) = struct.unpack_from(">i", body, offset)
            offset += 4
            if size < 0:
                parameters.append(None)
                continue
            data, offset = body[offset : offset + size], offset + size
            format_code = formats[i] if len(formats) > 1 else formats[0] if formats else 0
            kind = self.types[i] if i < len(self.types) else 0
            if format_code:
                parameters.append(struct.unpack(INTEGER_FORMATS[kind], data)[0])
            else:
                parameters.append(int(data) if kind in INTEGER_FORMATS else data.decode())
        return parameters

    def _execute(self) -> bool:
        """Executes the statement; an error is sent, and aborts the transaction as in PostgreSQL."""
        assert self.database is not None
        command = (self.statement.split() or [""])[0].upper()
        if command == "COMMIT":
            self.server.may_commit.wait()
        if self.is_failed and command not in ("ROLLBACK", "COMMIT"):
            self._send_error("25P02", "current transaction is aborted")
            return False
        if command == "COMMIT" and self.server.faults.commit_errors:
            sqlstate = self.server.faults.commit_errors.pop(0)
            self.database.execute("ROLLBACK")
            self._send_error(sqlstate, "by the script")
            self.is_failed = False
            return False
        if command == "COMMIT" and self.is_failed:
            self.statement = "ROLLBACK"
        try:
            text = "BEGIN IMMEDIATE" if command == "BEGIN" else re.sub(r"\$(\d+)", r"?\1", self.statement)
            cursor = self.database.execute(text, self.parameters)
            self.columns = [column[0] for column in cursor.description or ()]
            self.rows = cursor.fetchall()
        except sqlite3.Error as error:
            busy = getattr(error, "sqlite_errorcode", 0) & 0xFF == sqlite3.SQLITE_BUSY
            self.is_failed = self.database.in_transaction
            self._send_error("55P03" if busy else "42601", str(error))
            return False
        self.is_failed = self.is_failed and command not in ("ROLLBACK", "COMMIT")
        self.server.commit_count += command == "COMMIT"
        count = len(self.rows) if self.columns else max(0, cursor.rowcount)
        self.command_tag = {"SELECT": f"SELECT {count}", "INSERT": f"INSERT 0 {count}"}.get(command, command)
        if command in ("UPDATE", "DELETE"):
            self.command_tag = f"{command} {count}"
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

    def _send_error(self, sqlstate: str, text: str) -> None:
        self.is_skipping = True
        self.send(b"E", f"SERROR\0VERROR\0C{sqlstate}\0M{text}\0\0".encode())
