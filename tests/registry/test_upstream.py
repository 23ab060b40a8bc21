"""The watch on discovery, in this process: interrupted responses are ignored, a long list blocks nobody."""

from __future__ import annotations

import asyncio
import gc
import json
from collections.abc import Awaitable, Callable

import pytest

from loftrelay.net.address import Address, parse_address
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.upstream import READ_BYTES, Upstream
from tests.standins.discovery import Discovery, row
from tests.standins.platform import HANG

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"


class World:
    def __init__(self, address: Address, most: int = 1 << 30) -> None:
        self.catalog = Catalog(100)
        self.touched: list[tuple[int, int]] = []
        self.settled: list[tuple[bool, bool]] = []
        self.news = asyncio.Event()
        self.upstream = Upstream(
            address, self.catalog, lambda cell, at: self.touched.append((cell, at)), self._settled, most
        )

    def _settled(self, changed: bool, anew: bool) -> None:
        self.settled.append((changed, anew))
        self.news.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(HANG):
            while not condition():
                self.news.clear()
                await self.news.wait()


def whole(revision: int, *hosts: str) -> bytes:
    rows = [row(host, i) for i, host in enumerate(hosts)]
    return json.dumps({"revision": revision, "complete": True, "members": rows}).encode()


def scripted(*answers: bytes | None) -> Callable[[], Awaitable[tuple[World, list[bytes]]]]:
    """A discovery that gives each call the next of these bytes and ends its connection then; to further ones
    it says nothing."""

    async def start() -> tuple[World, list[bytes]]:
        left, asked = list(answers), list[bytes]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            if left and (answer := left.pop(0)) is not None:
                writer.write(answer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return World(server.sockets[0].getsockname()[:2]), asked

    return start


GOOD = whole(7, "a", "b")
EMPTY = b'{"revision":7,"complete":false,"members":[]}'  # changes, where the whole list was asked for


@pytest.mark.parametrize(
    "bad",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        HEAD % (len(GOOD), GOOD[:-30]),
        HEAD % (len(GOOD) - 30, GOOD[:-30]),
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"rev\r\n',
        b"nonsense",
        HEAD % (len(EMPTY), EMPTY),
    ],
)
def test_incomplete_response_is_ignored_and_repeated(bad: bytes) -> None:
    async def scenario() -> None:
        w, asked = await scripted(bad, bad, HEAD % (len(GOOD), GOOD))()
        w.upstream.start()
        try:
            await w.until(lambda: w.catalog.is_loaded)
            assert (w.catalog.revision, w.catalog.endpoint_count) == (7, 2)
            assert w.settled == [(True, False)]
            assert asked[:3] == [b"/registry/instances"] * 3
            assert w.upstream.last_response_at is not None
        finally:
            w.upstream.close()

    asyncio.run(scenario())


def test_garbage_collection_is_off_only_during_the_first_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is frozen is never collected: it must not grow while a registry waits for discovery for days."""
    frozen: list[int] = []

    async def scenario() -> None:
        w, asked = await scripted(b"", b"nonsense", HEAD % (len(GOOD), GOOD))()
        monkeypatch.setattr(gc, "freeze", lambda: frozen.append(len(asked)))
        w.upstream.start()
        try:
            await w.until(lambda: w.catalog.is_loaded)
            assert frozen == [3]
            assert gc.isenabled()
        finally:
            w.upstream.close()

    asyncio.run(scenario())


def test_interrupted_watch_changes_nothing() -> None:
    async def scenario() -> None:
        changes = json.dumps(
            {"revision": 8, "complete": False, "members": [row("a", 0, "Gone"), row("c", 2)]}
        ).encode()
        cut = HEAD % (len(changes), changes[:-20])
        w, asked = await scripted(HEAD % (len(GOOD), GOOD), cut, HEAD % (len(changes), changes))()
        w.upstream.start()
        try:
            await w.until(lambda: w.catalog.revision == 8)
            assert w.settled == [(True, False), (True, False)]
            assert w.touched == [(0, 8), (2, 8)]
            assert asked[2] == b"/registry/instances?index=7&wait=0"
        finally:
            w.upstream.close()

    asyncio.run(scenario())


def test_watch_without_changes_refreshes_the_age() -> None:
    async def scenario() -> None:
        answers = [HEAD % (len(body), body) for body in (GOOD, EMPTY)]
        w, asked = await scripted(*answers)()
        w.upstream.start()
        try:
            await w.until(lambda: len(w.settled) == 1)
            first = w.upstream.last_response_at
            await w.until(lambda: len(w.settled) == 2)
            assert w.settled[1] == (False, False)
            assert w.touched == []
            assert first is not None
            assert w.upstream.last_response_at is not None
            assert w.upstream.last_response_at > first
            assert w.upstream.age < HANG
            assert asked[1].startswith(b"/registry/instances?index=7&wait=")
        finally:
            w.upstream.close()

    asyncio.run(scenario())


def test_delta_of_restarted_revisions_triggers_a_full_request() -> None:
    async def scenario() -> None:
        changes = b'{"revision":2,"complete":false,"members":[]}'
        anew = whole(2, "b")
        w, asked = await scripted(*(HEAD % (len(body), body) for body in (GOOD, changes, anew)))()
        w.upstream.start()
        try:
            await w.until(lambda: w.catalog.revision == 2)
            assert asked[2] == b"/registry/instances"
            assert w.settled[-1] == (True, True)
            assert (w.catalog.endpoint_count, w.catalog.oldest_revision) == (1, 2)
        finally:
            w.upstream.close()

    asyncio.run(scenario())


def test_event_loop_is_free_while_a_long_list_is_received() -> None:
    """Counted in turns of the loop; how long one lasts: benchmarks/registry.py."""

    async def scenario() -> None:
        turns = 0

        async def others() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async with Discovery([row(f"h{i}", i) for i in range(20_000)]) as discovery:
            w = World(parse_address(discovery.address))
            w.upstream.start()
            others_task = asyncio.create_task(others())
            try:
                await w.until(lambda: w.catalog.is_loaded)
                assert w.catalog.endpoint_count == 20_000
                assert turns >= w.upstream.bytes_in / READ_BYTES > 50
            finally:
                others_task.cancel()
                w.upstream.close()

    asyncio.run(scenario())


def test_interrupted_commit_is_completed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("loftrelay.registry.upstream.MAX_TURN_S", 0.0)  # a turn for each host

    async def scenario() -> None:
        async with Discovery([row(f"h{i}", i) for i in range(50)], 5) as discovery:
            w = World(parse_address(discovery.address))
            w.upstream.start()
            await w.until(lambda: w.catalog.is_loaded)
            moved = asyncio.Event()

            def touch(cell: int, revision: int) -> None:
                w.touched.append((cell, revision))
                if len(w.touched) == 10:
                    w.upstream.close()
                    moved.set()

            w.upstream.on_destination_changed = touch
            discovery.change(*(row(f"h{i}", i, "Terminating") for i in range(50)))
            async with asyncio.timeout(HANG):
                await moved.wait()
            await w.until(lambda: len(w.settled) > 1 and w.settled[-1][0])
            assert len(w.touched) == 50
            assert w.catalog.revision == 6

    asyncio.run(scenario())
