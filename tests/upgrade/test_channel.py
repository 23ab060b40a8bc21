"""Messages and descriptors between two processes, and what is no message."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from loftrelay.upgrade.channel import HEADER, MAX_DESCRIPTORS, Channel, Listener, connect
from loftrelay.upgrade.lock import Lock
from tests.standins.platform import HANG


class End:
    def __init__(self, sock: socket.socket) -> None:
        self.heard: list[tuple[dict[str, Any], list[int]]] = []
        self.losses = 0
        self.changed = asyncio.Event()
        self.channel = Channel(sock, self._hear, self._lose)

    def _hear(self, message: dict[str, Any], files: list[int]) -> None:
        self.heard.append((message, files))
        self.changed.set()

    def _lose(self) -> None:
        self.losses += 1
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def play(scenario: Callable[[End, End], Awaitable[None]]) -> None:
    async def main() -> None:
        left, right = (End(sock) for sock in socket.socketpair())
        try:
            await scenario(left, right)
        finally:
            left.channel.close()
            right.channel.close()

    asyncio.run(main())


def test_messages_and_descriptors_come_together_and_in_order() -> None:
    async def scenario(left: End, right: End) -> None:
        pipes = [os.pipe() for _ in range(3)]
        left.channel.send({"n": 1})
        left.channel.send({"n": 2}, [pipes[0][1], pipes[1][1]])
        left.channel.send({"n": 3, "much": "x" * 3_000_000})  # more than the socket takes at once
        left.channel.send({"n": 4}, [pipes[2][1]])
        for _, write in pipes:
            os.close(write)  # the channel has its own
        await right.until(lambda: len(right.heard) == 4)
        assert [message["n"] for message, _ in right.heard] == [1, 2, 3, 4]
        assert [len(files) for _, files in right.heard] == [0, 2, 0, 1]
        for (read, _), file in zip(pipes, [f for _, files in right.heard for f in files], strict=True):
            os.write(file, b"here")
            assert os.read(read, 10) == b"here"
            os.close(read)
            os.close(file)

    play(scenario)


def test_more_descriptors_than_the_socket_takes_at_once_all_arrive() -> None:
    """As many clients as a relay may have, each in a message of its own, before the other side reads one."""

    async def scenario(left: End, right: End) -> None:
        read, write = os.pipe()
        count = 600
        for n in range(count):
            left.channel.send({"n": n}, [write] if n < 200 else [])
        assert left.channel.has_unsent
        await right.until(lambda: len(right.heard) == count)
        assert [message["n"] for message, _ in right.heard] == list(range(count))
        assert not left.channel.has_unsent
        for _, files in right.heard:
            for file in files:
                os.close(file)
        os.close(read)
        os.close(write)

    play(scenario)


@pytest.mark.parametrize(
    "data",
    [
        HEADER.pack(4, 0) + b"null",
        HEADER.pack(2, 0) + b"[]",
        HEADER.pack(3, 0) + b"{]}",
        HEADER.pack(2, 1) + b"{}",  # its descriptor did not come
        HEADER.pack(1 << 31, 0),
        HEADER.pack(2, MAX_DESCRIPTORS + 1) + b"{}",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_what_is_no_message_ends_the_channel_once(data: bytes) -> None:
    async def main() -> None:
        sock, other = socket.socketpair()
        end = End(sock)
        other.sendall(data)
        await end.until(lambda: end.losses == 1)
        assert end.heard == []
        assert end.channel.is_closed
        end.channel.send({"n": 1})  # nothing is left of it
        other.close()
        await asyncio.sleep(0)
        assert end.losses == 1

    asyncio.run(main())


def test_an_end_in_the_midst_of_a_message_is_a_loss() -> None:
    async def main() -> None:
        sock, other = socket.socketpair()
        end = End(sock)
        other.sendall(HEADER.pack(100, 0) + b"{")
        other.close()
        await end.until(lambda: end.losses == 1)
        assert end.heard == []

    asyncio.run(main())


def test_a_name_left_over_is_replaced(tmp_path: Path) -> None:
    async def main() -> None:
        deep = tmp_path / ("d" * 100) / ("e" * 100)  # longer than the name of a socket may be
        deep.mkdir(parents=True)
        assert connect(deep) is None
        came: list[socket.socket] = []
        first = Listener(deep, came.append)
        first.close()
        assert connect(deep) is None  # the name is there, and nobody listens
        second = Listener(deep, came.append)
        asked = connect(deep)
        assert asked is not None
        while not came:
            await asyncio.sleep(0)
        for sock in (asked, *came):
            sock.close()
        second.close()

    asyncio.run(main())


def test_the_lock_has_one_holder_and_goes_with_a_killed_one(tmp_path: Path) -> None:
    code = (
        "import sys; from pathlib import Path; from loftrelay.upgrade.lock import Lock\n"
        "held = Lock.acquire(Path(sys.argv[1])); print(held is not None, flush=True); sys.stdin.read()"
    )
    other = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path / "new")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert other.stdout is not None
    assert other.stdout.readline() == "True\n"
    assert Lock.acquire(tmp_path / "new") is None
    other.kill()
    other.communicate()
    lock = Lock.acquire(tmp_path / "new")
    assert lock is not None
    lock.release()


def test_the_lock_stays_held_on_its_way(tmp_path: Path) -> None:
    async def scenario(left: End, right: End) -> None:
        lock = Lock.acquire(tmp_path)
        assert lock is not None
        left.channel.send({"is": "yours"}, [lock.descriptor])
        lock.release()
        assert Lock.acquire(tmp_path) is None
        await right.until(lambda: bool(right.heard))
        assert Lock.acquire(tmp_path) is None
        os.close(right.heard[0][1][0])
        again = Lock.acquire(tmp_path)
        assert again is not None
        again.release()

    play(scenario)
