"""Watch on discovery: interrupted responses are ignored, and a long list does not block the event loop."""

from __future__ import annotations

import asyncio
import gc
import json
from collections.abc import Awaitable, Callable

import pytest

from loftrelay.net.address import Address, parse_address
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.upstream import READ_BYTES, Upstream
from tests.standins.fake_discovery import FakeDiscovery, make_endpoint
from tests.standins.harness import TEST_TIMEOUT_S

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"


class UpstreamHarness:
    """An Upstream with its catalog, which records changes and commits."""

    def __init__(self, address: Address, max_list_bytes: int = 1 << 30) -> None:
        self.catalog = Catalog(100)
        self.changes: list[tuple[int, int]] = []
        self.commits: list[tuple[bool, bool]] = []
        self.committed = asyncio.Event()
        self.upstream = Upstream(
            address, self.catalog, self._record_change, self._record_commit, max_list_bytes
        )

    def _record_change(self, destination: int, revision: int) -> None:
        self.changes.append((destination, revision))

    def _record_commit(self, is_changed: bool, is_restarted: bool) -> None:
        self.commits.append((is_changed, is_restarted))
        self.committed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self.committed.clear()
                await self.committed.wait()


def make_list(revision: int, *endpoints: str) -> bytes:
    rows = [make_endpoint(endpoint, i) for i, endpoint in enumerate(endpoints)]
    return json.dumps({"revision": revision, "complete": True, "members": rows}).encode()


def scripted_discovery(
    *responses: bytes | None,
) -> Callable[[], Awaitable[tuple[UpstreamHarness, list[bytes]]]]:
    """Returns a function that starts a fake discovery, and with it a harness and the targets requested.

    Discovery sends the next response to each call and closes the connection. It does not respond to None or
    to further calls.
    """

    async def start() -> tuple[UpstreamHarness, list[bytes]]:
        remaining, targets = list(responses), list[bytes]()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1])
            if remaining and (response := remaining.pop(0)) is not None:
                writer.write(response)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return UpstreamHarness(server.sockets[0].getsockname()[:2]), targets

    return start


FULL_LIST = make_list(7, "a", "b")
EMPTY_DELTA = b'{"revision":7,"complete":false,"members":[]}'  # invalid in place of the full list


@pytest.mark.parametrize(
    "incomplete",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        HEAD % (len(FULL_LIST), FULL_LIST[:-30]),
        HEAD % (len(FULL_LIST) - 30, FULL_LIST[:-30]),
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{"rev\r\n',
        b"nonsense",
        HEAD % (len(EMPTY_DELTA), EMPTY_DELTA),
    ],
)
def test_upstream_ignores_an_incomplete_response_and_repeats_the_call(incomplete: bytes) -> None:
    async def scenario() -> None:
        harness, targets = await scripted_discovery(
            incomplete, incomplete, HEAD % (len(FULL_LIST), FULL_LIST)
        )()
        harness.upstream.start()
        try:
            await harness.until(lambda: harness.catalog.is_loaded)
            assert (harness.catalog.revision, harness.catalog.endpoint_count) == (7, 2)
            assert harness.commits == [(True, False)]
            assert targets[:3] == [b"/registry/instances"] * 3
            assert harness.upstream.last_response_at is not None
        finally:
            harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_freezes_objects_and_enables_garbage_collection_after_the_first_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Frozen objects are never collected, and must not accumulate while a registry retries for days."""
    calls_at_freeze: list[int] = []

    async def scenario() -> None:
        harness, targets = await scripted_discovery(b"", b"nonsense", HEAD % (len(FULL_LIST), FULL_LIST))()
        monkeypatch.setattr(gc, "freeze", lambda: calls_at_freeze.append(len(targets)))
        harness.upstream.start()
        try:
            await harness.until(lambda: harness.catalog.is_loaded)
            assert calls_at_freeze == [3]
            assert gc.isenabled()
        finally:
            harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_with_an_interrupted_watch_applies_its_changes_only_once_complete() -> None:
    async def scenario() -> None:
        delta = json.dumps(
            {
                "revision": 8,
                "complete": False,
                "members": [make_endpoint("a", 0, "Gone"), make_endpoint("c", 2)],
            }
        ).encode()
        truncated = HEAD % (len(delta), delta[:-20])
        harness, targets = await scripted_discovery(
            HEAD % (len(FULL_LIST), FULL_LIST), truncated, HEAD % (len(delta), delta)
        )()
        harness.upstream.start()
        try:
            await harness.until(lambda: harness.catalog.revision == 8)
            assert harness.commits == [(True, False), (True, False)]
            assert harness.changes == [(0, 8), (2, 8)]
            assert targets[2] == b"/registry/instances?index=7&wait=0"
        finally:
            harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_watch_without_changes_updates_the_age() -> None:
    async def scenario() -> None:
        responses = [HEAD % (len(body), body) for body in (FULL_LIST, EMPTY_DELTA)]
        harness, targets = await scripted_discovery(*responses)()
        harness.upstream.start()
        try:
            await harness.until(lambda: len(harness.commits) == 1)
            first_response_at = harness.upstream.last_response_at
            await harness.until(lambda: len(harness.commits) == 2)
            assert harness.commits[1] == (False, False)
            assert harness.changes == []
            assert first_response_at is not None
            assert harness.upstream.last_response_at is not None
            assert harness.upstream.last_response_at > first_response_at
            assert harness.upstream.age < TEST_TIMEOUT_S
            assert targets[1].startswith(b"/registry/instances?index=7&wait=")
        finally:
            harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_with_a_delta_of_restarted_revisions_requests_the_full_list() -> None:
    async def scenario() -> None:
        delta = b'{"revision":2,"complete":false,"members":[]}'
        restarted_list = make_list(2, "b")
        harness, targets = await scripted_discovery(
            *(HEAD % (len(body), body) for body in (FULL_LIST, delta, restarted_list))
        )()
        harness.upstream.start()
        try:
            await harness.until(lambda: harness.catalog.revision == 2)
            assert targets[2] == b"/registry/instances"
            assert harness.commits[-1] == (True, True)
            assert (harness.catalog.endpoint_count, harness.catalog.oldest_revision) == (1, 2)
        finally:
            harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_does_not_block_the_event_loop_while_it_receives_a_long_list() -> None:
    """Counts turns of the event loop; benchmarks/registry.py measures their duration."""

    async def scenario() -> None:
        turns = 0

        async def count_turns() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async with FakeDiscovery([make_endpoint(f"h{i}", i) for i in range(20_000)]) as discovery:
            harness = UpstreamHarness(parse_address(discovery.address))
            harness.upstream.start()
            counter = asyncio.create_task(count_turns())
            try:
                await harness.until(lambda: harness.catalog.is_loaded)
                assert harness.catalog.endpoint_count == 20_000
                assert turns >= harness.upstream.bytes_in / READ_BYTES > 50
            finally:
                counter.cancel()
                harness.upstream.close()

    asyncio.run(scenario())


def test_upstream_completes_a_commit_when_it_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("loftrelay.registry.upstream.MAX_TURN_S", 0.0)  # one change in each turn

    async def scenario() -> None:
        async with FakeDiscovery([make_endpoint(f"h{i}", i) for i in range(50)], 5) as discovery:
            harness = UpstreamHarness(parse_address(discovery.address))
            harness.upstream.start()
            await harness.until(lambda: harness.catalog.is_loaded)
            interrupted = asyncio.Event()

            def interrupt_at_tenth_change(destination: int, revision: int) -> None:
                harness.changes.append((destination, revision))
                if len(harness.changes) == 10:
                    harness.upstream.close()
                    interrupted.set()

            harness.upstream.on_destination_changed = interrupt_at_tenth_change
            discovery.change(*(make_endpoint(f"h{i}", i, "Terminating") for i in range(50)))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await interrupted.wait()
            await harness.until(lambda: len(harness.commits) > 1 and harness.commits[-1][0])
            assert len(harness.changes) == 50
            assert harness.catalog.revision == 6

    asyncio.run(scenario())
