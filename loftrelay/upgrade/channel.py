"""Channel for messages and file descriptors between two processes of one relay: a Unix socket.

A frame starts with the size of its JSON object in bytes and its number of descriptors, 4 bytes each,
big-endian, followed by the object. The descriptors are sent with the first byte (SCM_RIGHTS, unix(7)). The
socket is in the state folder.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import errno
import json
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

SOCKET_NAME = "upgrade.sock"
HEADER = struct.Struct(">II")  # size of the JSON object in bytes, number of descriptors
CREDENTIALS = struct.Struct("iII")  # process id, user id, group id
MAX_MESSAGE_BYTES = 64 << 20
MAX_DESCRIPTORS = 200  # in one message; the kernel accepts 253
READ_BYTES = 1 << 18
LISTEN_BACKLOG = 4  # connections waiting to be accepted
DESCRIPTOR_RETRY_DELAY_S = 0.005  # while the kernel has too many descriptors in flight (ETOOMANYREFS)


class ChannelError(OSError):
    """The received data is not a valid frame."""


class Channel:
    """One end of a connection. `on_message` becomes the owner of the descriptors that it is given."""

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[dict[str, Any], list[int]], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Starts reading.

        Args:
            sock: A connected socket, which the channel owns from now on.
            on_message: Called with each received object and its descriptors. If it raises a ValueError, the
                channel is closed.
            on_lost: Called once if the channel is closed for any reason other than `close`.
        """
        sock.setblocking(False)
        self.sock = sock
        self.on_message = on_message
        self.on_lost = on_lost
        self.is_closed = False
        self._received = bytearray()
        self._descriptors: deque[int] = deque()
        self._unsent: deque[tuple[memoryview, list[int]]] = deque()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read)

    @property
    def peer_pid(self) -> int:
        """Process id of the other end (unix(7), SO_PEERCRED)."""
        credentials = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
        pid: int = CREDENTIALS.unpack(credentials)[0]
        return pid

    @property
    def has_unsent(self) -> bool:
        """Whether a queued message is not completely sent."""
        return bool(self._unsent)

    def send(self, message: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Queues a message. Its descriptors are duplicated at once, so the caller may close them."""
        if self.is_closed:
            return
        body = json.dumps(message, separators=(",", ":")).encode()
        duplicates = [os.dup(descriptor) for descriptor in descriptors]
        self._unsent.append((memoryview(HEADER.pack(len(body), len(duplicates)) + body), duplicates))
        self._flush()

    def close(self) -> None:
        """Closes the channel and drops what is not sent or not delivered."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self.sock.fileno())
        self._loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for descriptor in (
            *self._descriptors,
            *(duplicate for _, duplicates in self._unsent for duplicate in duplicates),
        ):
            os.close(descriptor)
        self._descriptors.clear()
        self._unsent.clear()

    def _flush(self) -> None:
        while self._unsent and not self.is_closed:
            if not self._send_first():
                return
        if not self.is_closed:
            self._loop.remove_writer(self.sock.fileno())

    def _send_first(self) -> bool:
        """Writes part of the first queued message; returns False if the socket accepts nothing now."""
        data, duplicates = self._unsent[0]
        ancillary = (
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", duplicates))] if duplicates else []
        )
        try:
            written = self.sock.sendmsg([data], ancillary)
        except BlockingIOError:
            self._loop.add_writer(self.sock.fileno(), self._flush)
            return False
        except OSError as error:
            if error.errno == errno.ETOOMANYREFS:
                self._loop.call_later(DESCRIPTOR_RETRY_DELAY_S, self._flush)
            else:
                self._close_as_lost()
            return False
        for duplicate in duplicates:
            os.close(duplicate)
        duplicates.clear()  # sent with the first byte
        if written < len(data):
            self._unsent[0] = data[written:], duplicates
        else:
            self._unsent.popleft()
        return True

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.sock, READ_BYTES, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            self._close_as_lost()
            return
        self._descriptors.extend(descriptors)
        self._received += data
        if not data or flags & socket.MSG_CTRUNC:
            self._close_as_lost()
            return
        try:
            self._deliver()
        except (ValueError, ChannelError, RecursionError):
            self._close_as_lost()

    def _deliver(self) -> None:
        while not self.is_closed and len(self._received) >= HEADER.size:
            size, count = HEADER.unpack_from(self._received)
            if size > MAX_MESSAGE_BYTES or count > MAX_DESCRIPTORS:
                raise ChannelError(
                    f"frame has {size} bytes and {count} descriptors; at most {MAX_MESSAGE_BYTES} bytes and"
                    f" {MAX_DESCRIPTORS} descriptors are allowed"
                )
            if len(self._received) < HEADER.size + size:
                return
            if len(self._descriptors) < count:
                raise ChannelError(
                    f"frame needs {count} descriptors; only {len(self._descriptors)} were received"
                )
            message = json.loads(self._received[HEADER.size : HEADER.size + size])
            del self._received[: HEADER.size + size]
            if not isinstance(message, dict):
                raise ChannelError(f"frame is a JSON {type(message).__name__}; an object is required")
            self.on_message(message, [self._descriptors.popleft() for _ in range(count)])

    def _close_as_lost(self) -> None:
        if not self.is_closed:
            self.close()
            self.on_lost()


class Listener:
    """Accepts connections of processes that are to take over from this one."""

    def __init__(self, folder: Path, on_connection: Callable[[socket.socket], None]) -> None:
        """Starts listening; replaces a socket that an earlier process left in the folder.

        Args:
            folder: The state folder.
            on_connection: Called with each accepted connection.

        Raises:
            OSError: The folder can't be used.
        """
        self._on_connection = on_connection
        self._loop = asyncio.get_running_loop()
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        folder_descriptor, path = _open_socket_path(folder)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(path)
            self._sock.bind(path)
            os.chmod(path, 0o600)
        except BaseException:
            self._sock.close()
            raise
        finally:
            os.close(folder_descriptor)
        self._sock.listen(LISTEN_BACKLOG)
        self._sock.setblocking(False)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def close(self) -> None:
        """Stops listening. The socket file stays, since it may already be the successor's."""
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            self._on_connection(self._sock.accept()[0])


def connect(folder: Path) -> socket.socket | None:
    """Connects to the process that serves from this state folder; returns None if none listens."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        folder_descriptor, path = _open_socket_path(folder)
        try:
            sock.connect(path)
        finally:
            os.close(folder_descriptor)
    except OSError:
        sock.close()
        return None
    return sock


def _open_socket_path(folder: Path) -> tuple[int, str]:
    """Returns an open descriptor of the folder, and the socket's path relative to that descriptor.

    The absolute path of a deep folder may exceed the maximum length of a Unix socket's path.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    return descriptor, f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
