"""Messages and descriptors between two processes of one relay, over a Unix socket in the state folder."""

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

NAME = "upgrade.sock"
HEAD = struct.Struct(">II")  # bytes of the JSON object, and descriptors that come with it
MOST_BYTES = 64 << 20
MOST_FILES = 200  # in one message; the system takes 253
READ = 1 << 18
AGAIN = 0.005  # seconds until the system may take more descriptors


class ChannelError(OSError):
    """What came is no message."""


def _place(folder: Path) -> tuple[int, str]:
    """A name of any length would not fit: the folder is reached by a descriptor."""
    holder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    return holder, f"/proc/self/fd/{holder}/{NAME}"


class Channel:
    """Calls back with each message and its descriptors, which are the callee's own from then on."""

    def __init__(
        self,
        sock: socket.socket,
        heard: Callable[[dict[str, Any], list[int]], None],
        lost: Callable[[], None],
    ) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.heard = heard
        self.lost = lost
        self.data = bytearray()
        self.files: deque[int] = deque()
        self.queue: deque[tuple[memoryview, list[int]]] = deque()
        self.closed = False
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(sock.fileno(), self._readable)

    def send(self, message: dict[str, Any], files: Sequence[int] = ()) -> None:
        """The descriptors are duplicated at once, so that the caller may close its own."""
        if self.closed:
            return
        body = json.dumps(message, separators=(",", ":")).encode()
        copies = [os.dup(file) for file in files]
        self.queue.append((memoryview(HEAD.pack(len(body), len(copies)) + body), copies))
        self._write()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock.fileno())
        self.loop.remove_writer(self.sock.fileno())
        self.sock.close()
        for file in (*self.files, *(copy for _, copies in self.queue for copy in copies)):
            os.close(file)
        self.files.clear()
        self.queue.clear()

    @property
    def unsent(self) -> bool:
        return bool(self.queue)

    def _write(self) -> None:
        while self.queue and not self.closed:
            data, copies = self.queue[0]
            ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", copies))] if copies else []
            try:
                written = self.sock.sendmsg([data], ancillary)
            except BlockingIOError:
                self.loop.add_writer(self.sock.fileno(), self._write)
                return
            except OSError as error:
                if error.errno == errno.ETOOMANYREFS:  # descriptors on their way that nobody has read yet
                    self.loop.call_later(AGAIN, self._write)
                else:
                    self._end()
                return
            for copy in copies:
                os.close(copy)
            copies.clear()  # they went with the first byte
            if written < len(data):
                self.queue[0] = data[written:], copies
            else:
                self.queue.popleft()
        if not self.closed:
            self.loop.remove_writer(self.sock.fileno())

    def _readable(self) -> None:
        try:
            data, files, flags, _ = socket.recv_fds(self.sock, READ, MOST_FILES)
        except BlockingIOError:
            return
        except OSError:
            self._end()
            return
        self.files.extend(files)
        self.data += data
        if not data or flags & socket.MSG_CTRUNC:
            self._end()
            return
        try:
            self._messages()
        except (ValueError, ChannelError, RecursionError):
            self._end()

    def _messages(self) -> None:
        while not self.closed and len(self.data) >= HEAD.size:
            size, count = HEAD.unpack_from(self.data)
            if size > MOST_BYTES or count > MOST_FILES:
                raise ChannelError("too long a message")
            if len(self.data) < HEAD.size + size:
                return
            if len(self.files) < count:
                raise ChannelError("descriptors are missing")
            message = json.loads(self.data[HEAD.size : HEAD.size + size])
            del self.data[: HEAD.size + size]
            if not isinstance(message, dict):
                raise ChannelError("not an object")
            self.heard(message, [self.files.popleft() for _ in range(count)])

    def _end(self) -> None:
        if not self.closed:
            self.close()
            self.lost()


class Listener:
    """Where a process that serves can be reached by the one that is to follow it."""

    def __init__(self, folder: Path, came: Callable[[socket.socket], None]) -> None:
        """Takes the place of what an earlier process left there. Raises OSError."""
        self.came = came
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        holder, place = _place(folder)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(place)
            self.sock.bind(place)
            os.chmod(place, 0o600)
        except BaseException:
            self.sock.close()
            raise
        finally:
            os.close(holder)
        self.sock.listen(4)
        self.sock.setblocking(False)
        self.loop.add_reader(self.sock.fileno(), self._readable)

    def _readable(self) -> None:
        with contextlib.suppress(OSError):
            self.came(self.sock.accept()[0])

    def close(self) -> None:
        """The name stays: by then it may be the next process's own."""
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()


def reach(folder: Path) -> socket.socket | None:
    """A connection to the process that serves from this folder; None where none listens."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        holder, place = _place(folder)
        try:
            sock.connect(place)
        finally:
            os.close(holder)
    except OSError:
        sock.close()
        return None
    return sock
