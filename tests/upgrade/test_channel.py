"""Channel between two processes: messages, descriptors and malformed frames; lock of the state folder."""

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
from tests.standins.harness import TEST_TIMEOUT_S


class ChannelEnd:
    """One end of a channel that records its messages and counts its losses."""

    def __init__(self, sock: socket.socket) -> None:
        self.messages: list[tuple[dict[str, Any], list[int]]] = []
        self.loss_count = 0
        self.changed = asyncio.Event()
        self.channel = Channel(sock, self._on_message, self._on_lost)

    def _on_message(self, message: dict[str, Any], descriptors: list[int]) -> None:
        self.messages.append((message, descriptors))
        self.changed.set()

    def _on_lost(self) -> None:
        self.loss_count += 1
        self.changed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def run_with_channel(scenario: Callable[[ChannelEnd, ChannelEnd], Awaitable[None]]) -> None:
    """Runs a scenario with both ends of a channel."""

    async def main() -> None:
        left, right = (ChannelEnd(sock) for sock in socket.socketpair())
        try:
            await scenario(left, right)
        finally:
            left.channel.close()
            right.channel.close()

    asyncio.run(main())


def test_channel_delivers_messages_in_order_with_their_descriptors() -> None:
    async def scenario(left: ChannelEnd, right: ChannelEnd) -> None:
        pipes = [os.pipe() for _ in range(3)]
        left.channel.send({"n": 1})
        left.channel.send({"n": 2}, [pipes[0][1], pipes[1][1]])
        left.channel.send({"n": 3, "padding": "x" * 3_000_000})  # more than the socket accepts at once
        left.channel.send({"n": 4}, [pipes[2][1]])
        for _, write in pipes:
            os.close(write)  # the channel has duplicated it
        await right.wait_until(lambda: len(right.messages) == 4)
        assert [message["n"] for message, _ in right.messages] == [1, 2, 3, 4]
        assert [len(descriptors) for _, descriptors in right.messages] == [0, 2, 0, 1]
        received = [descriptor for _, descriptors in right.messages for descriptor in descriptors]
        for (read, _), descriptor in zip(pipes, received, strict=True):
            os.write(descriptor, b"data")
            assert os.read(read, 10) == b"data"
            os.close(read)
            os.close(descriptor)

    run_with_channel(scenario)


def test_channel_delivers_more_descriptors_than_the_socket_accepts_at_once() -> None:
    """Guards the handover of a relay's maximum number of clients, one message each, to a slow reader."""

    async def scenario(left: ChannelEnd, right: ChannelEnd) -> None:
        read, write = os.pipe()
        count = 600
        for n in range(count):
            left.channel.send({"n": n}, [write] if n < 200 else [])
        assert left.channel.has_unsent
        await right.wait_until(lambda: len(right.messages) == count)
        assert [message["n"] for message, _ in right.messages] == list(range(count))
        assert not left.channel.has_unsent
        for _, descriptors in right.messages:
            for descriptor in descriptors:
                os.close(descriptor)
        os.close(read)
        os.close(write)

    run_with_channel(scenario)


@pytest.mark.parametrize(
    "data",
    [
        HEADER.pack(4, 0) + b"null",
        HEADER.pack(2, 0) + b"[]",
        HEADER.pack(3, 0) + b"{]}",
        HEADER.pack(2, 1) + b"{}",  # without its descriptor
        HEADER.pack(1 << 31, 0),
        HEADER.pack(2, MAX_DESCRIPTORS + 1) + b"{}",
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_channel_malformed_frame_reports_one_loss(data: bytes) -> None:
    async def main() -> None:
        sock, other = socket.socketpair()
        end = ChannelEnd(sock)
        other.sendall(data)
        await end.wait_until(lambda: end.loss_count == 1)
        assert end.messages == []
        assert end.channel.is_closed
        end.channel.send({"n": 1})  # has no effect
        other.close()
        await asyncio.sleep(0)
        assert end.loss_count == 1

    asyncio.run(main())


def test_channel_closed_within_a_frame_reports_loss() -> None:
    async def main() -> None:
        sock, other = socket.socketpair()
        end = ChannelEnd(sock)
        other.sendall(HEADER.pack(100, 0) + b"{")
        other.close()
        await end.wait_until(lambda: end.loss_count == 1)
        assert end.messages == []

    asyncio.run(main())


def test_listener_replaces_socket_of_an_earlier_process(tmp_path: Path) -> None:
    async def main() -> None:
        deep = tmp_path / ("d" * 100) / ("e" * 100)  # exceeds the maximum length of a socket's path
        deep.mkdir(parents=True)
        assert connect(deep) is None
        accepted: list[socket.socket] = []
        first = Listener(deep, accepted.append)
        first.close()
        assert connect(deep) is None  # the socket file is left, and nothing listens
        second = Listener(deep, accepted.append)
        connected = connect(deep)
        assert connected is not None
        while not accepted:
            await asyncio.sleep(0)
        for sock in (connected, *accepted):
            sock.close()
        second.close()

    asyncio.run(main())


def test_lock_has_one_holder_and_is_released_when_it_is_killed(tmp_path: Path) -> None:
    code = (
        "import sys; from pathlib import Path; from loftrelay.upgrade.lock import Lock\n"
        "lock = Lock.acquire(Path(sys.argv[1])); print(lock is not None, flush=True); sys.stdin.read()"
    )
    holder = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path / "new")],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert holder.stdout is not None
    assert holder.stdout.readline() == "True\n"
    assert Lock.acquire(tmp_path / "new") is None
    holder.kill()
    holder.communicate()
    lock = Lock.acquire(tmp_path / "new")
    assert lock is not None
    lock.release()


def test_lock_stays_held_while_its_descriptor_is_in_flight(tmp_path: Path) -> None:
    async def scenario(left: ChannelEnd, right: ChannelEnd) -> None:
        lock = Lock.acquire(tmp_path)
        assert lock is not None
        left.channel.send({"is": "yours"}, [lock.descriptor])
        lock.release()
        assert Lock.acquire(tmp_path) is None
        await right.wait_until(lambda: bool(right.messages))
        assert Lock.acquire(tmp_path) is None
        os.close(right.messages[0][1][0])
        reacquired = Lock.acquire(tmp_path)
        assert reacquired is not None
        reacquired.release()

    run_with_channel(scenario)
