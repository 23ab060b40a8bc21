"""Messages and descriptors between two processes of one relay, over a Unix socket in the state folder.

A frame is the size of its JSON object and the number of its descriptors (4 bytes each, big-endian), then the
object. The descriptors travel with its first byte (SCM_RIGHTS, unix(7)).
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
HEADER = struct.Struct(">II")  # bytes of the JSON object, descriptors that come with it
MAX_MESSAGE_BYTES = 64 << 20
MAX_DESCRIPTORS = 200  # in one message; the system takes 253
READ_BYTES = 1 << 18
BACKLOG = 4  # connections that wait to be accepted
DESCRIPTOR_RETRY_DELAY_S = 0.005  # while the system has too many descriptors in flight


class ChannelError(OSError):
    """What was received is no frame."""


class Channel:
    """One end of a connection. Received descriptors belong to the callee of `on_message`."""

    def __init__(
        self,
        sock: socket.socket,
        on_message: Callable[[dict[str, Any], list[int]], None],
        on_lost: Callable[[], None],
    ) -> None:
        """Begins to read.

        Args:
            sock: A connected socket; it belongs to the channel from now on.
            on_message: Called with each object and its descriptors. A ValueError that it raises ends the
                channel.
            on_lost: Called once when the channel ends otherwise than by `close`.
        """
        sock.setblocking(False)
        self.sock = sock
        self.on_message = on_message
        self.on_lost = on_lost
        self.is_closed = False
        self._data = bytearray()
        self._descriptors: deque[int] = deque()
        self._unsent: deque[tuple[memoryview, list[int]]] = deque()
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock.fileno(), self._read)

    @property
    def has_unsent(self) -> bool:
        """Whether a message waits to be sent."""
        return bool(self._unsent)

    def send(self, message: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Queues a message. Its descriptors are duplicated at once: the caller may close its own."""
        if self.is_closed:
            return
        body = json.dumps(message, separators=(",", ":")).encode()
        copies = [os.dup(descriptor) for descriptor in descriptors]
        self._unsent.append((memoryview(HEADER.pack(len(body), len(copies)) + body), copies))
        self._write()

    def close(self) -> None:
        """Ends the channel. What was not sent or not delivered is dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        self._loop.remove_reader(self.sock.fileno())
        self._loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for descriptor in (*self._descriptors, *(copy for _, copies in self._unsent for copy in copies)):
            os.close(descriptor)
        self._descriptors.clear()
        self._unsent.clear()

    def _write(self) -> None:
        while self._unsent and not self.is_closed:
            if not self._write_first():
                return
        if not self.is_closed:
            self._loop.remove_writer(self.sock.fileno())

    def _write_first(self) -> bool:
        """Writes from the first message in the queue. Returns False when the socket takes nothing now."""
        data, copies = self._unsent[0]
        ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", copies))] if copies else []
        try:
            written = self.sock.sendmsg([data], ancillary)
        except BlockingIOError:
            self._loop.add_writer(self.sock.fileno(), self._write)
            return False
        except OSError as error:
            if error.errno == errno.ETOOMANYREFS:
                self._loop.call_later(DESCRIPTOR_RETRY_DELAY_S, self._write)
            else:
                self._end()
            return False
        for copy in copies:
            os.close(copy)
        copies.clear()  # they went with the first byte
        if written < len(data):
            self._unsent[0] = data[written:], copies
        else:
            self._unsent.popleft()
        return True

    def _read(self) -> None:
        try:
            data, descriptors, flags, _ = socket.recv_fds(self.sock, READ_BYTES, MAX_DESCRIPTORS)
        except BlockingIOError:
            return
        except OSError:
            self._end()
            return
        self._descriptors.extend(descriptors)
        self._data += data
        if not data or flags & socket.MSG_CTRUNC:
            self._end()
            return
        try:
            self._deliver()
        except (ValueError, ChannelError, RecursionError):
            self._end()

    def _deliver(self) -> None:
        while not self.is_closed and len(self._data) >= HEADER.size:
            size, count = HEADER.unpack_from(self._data)
            if size > MAX_MESSAGE_BYTES or count > MAX_DESCRIPTORS:
                raise ChannelError("a frame exceeds the limits of a message")
            if len(self._data) < HEADER.size + size:
                return
            if len(self._descriptors) < count:
                raise ChannelError("a frame came without its descriptors")
            message = json.loads(self._data[HEADER.size : HEADER.size + size])
            del self._data[: HEADER.size + size]
            if not isinstance(message, dict):
                raise ChannelError("a frame holds no JSON object")
            self.on_message(message, [self._descriptors.popleft() for _ in range(count)])

    def _end(self) -> None:
        if not self.is_closed:
            self.close()
            self.on_lost()


class Listener:
    """Accepts the process that is to follow this one."""

    def __init__(self, folder: Path, on_connection: Callable[[socket.socket], None]) -> None:
        """Listens, in place of an earlier process whose socket is left in the folder.

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
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def close(self) -> None:
        """Stops listening. The socket's name stays: it may be the next process's own by now."""
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            self._on_connection(self._sock.accept()[0])


def connect(folder: Path) -> socket.socket | None:
    """A connection to the process that serves from this state folder; None where none listens."""
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
    """An open descriptor of the folder and a path by it: that of a deep folder exceeds a socket's name."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    return descriptor, f"/proc/self/fd/{descriptor}/{SOCKET_NAME}"
