"""A list of any size is applied in segments, with the loop free in between, or rejected in one line."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections.abc import Awaitable, Callable, Iterator, Mapping
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from loftrelay.discovery import endpoint_list as module
from loftrelay.discovery.client import MAX_SINGLE_PASS_BYTES, DiscoveryClient
from loftrelay.discovery.endpoint_list import MAX_LIST_BYTES, SEGMENT_ROWS
from loftrelay.net import http
from loftrelay.net.address import Address
from loftrelay.net.http import MAX_BODY_BYTES, Connection
from loftrelay.net.response_parser import ResponseTooLongError
from tests.standins.platform import Request, World, deliver, never, reply, run

LONG = 5 * SEGMENT_ROWS + 7
PHASES = {EndpointState.ACTIVE: "Ready", EndpointState.DRAINING: "Terminating", EndpointState.REMOVED: "Gone"}


@pytest.fixture(params=["msgspec", "json"])
def parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """With the extra `lists` and without."""
    if request.param == "json":
        monkeypatch.setattr(module, "msgspec", None)
    yield request.param
    gc.unfreeze()


both = pytest.mark.usefixtures("parser")


def row(number: int, state: EndpointState = EndpointState.ACTIVE, **changes: Any) -> dict[str, Any]:
    return {
        "id": f"h{number}",
        "host_port": f"127.0.0.1:{1 + number % 9}",
        "cell": number,
        "phase": PHASES[state],
        "locality": "a",
        "flavor": "plain",
        "size": 1.0,
        "up_since_ms": 0,
        **changes,
    }


def whole(revision: int, rows: list[Any], complete: bool = True) -> bytes:
    return json.dumps({"revision": revision, "complete": complete, "members": rows}).encode()


class Told:
    """Stands for the engine. Goes by what it is told, and keeps book."""

    def __init__(self, w: World) -> None:
        host, _, port = w.discovery.address.rpartition(":")
        self.w = w
        self.entries: dict[str, tuple[EndpointEntry, Address]] = {}
        self.pieces: list[EndpointListReceived] = []
        self.revisions: list[int | None] = []  # of the watch, at each piece
        self.passes: list[int] = []  # of the loop, at each piece
        self.refused = 0
        self.passed = 0
        self.told = DiscoveryClient(
            (host, int(port)), 10_000_000, self.listed, lambda: self.entries, self.refuse
        )
        w.tasks.append(asyncio.create_task(self._count()))

    async def _count(self) -> None:
        while True:
            self.passed += 1
            await asyncio.sleep(0)

    def listed(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if listing.kind is EndpointListKind.FULL:
            self.entries.clear()
        for entry in listing.entries:
            if entry.state is EndpointState.REMOVED:
                self.entries.pop(entry.endpoint, None)
            else:
                self.entries[entry.endpoint] = entry, addresses[entry.endpoint]
        self.pieces.append(listing)
        self.revisions.append(self.told.revision)
        self.passes.append(self.passed)
        self.w.bump()

    def refuse(self) -> None:
        self.refused += 1

    async def until(self, revision: int) -> None:
        """Its next watch tells that it has all of it."""
        await self.w.until(
            lambda: any(f"index={revision}&" in request.target for request in self.w.discovery.requests)
        )

    def forms(self) -> list[EndpointListKind]:
        return [listing.kind for listing in self.pieces]


def answers(*given: bytes | Callable[[Request], Awaitable[bytes]]) -> Any:
    left = list(given)

    async def script(request: Request) -> bytes:
        if not left:
            return await never(request)
        answer = left.pop(0)
        return reply(200, answer) if isinstance(answer, bytes) else await answer(request)

    return script


@both
def test_long_list_is_published_in_segments_without_blocking_the_loop(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        rows = [row(i, EndpointState.DRAINING if i % 50 == 0 else EndpointState.ACTIVE) for i in range(LONG)]
        body = whole(7, rows)
        assert len(body) > MAX_SINGLE_PASS_BYTES
        w.list_answer = answers(body)
        told = Told(w)
        told.told.watch()
        await told.until(7)
        assert set(told.forms()) == {EndpointListKind.DELTA}
        assert len(told.pieces) == 6
        assert all(len(listing.entries) <= SEGMENT_ROWS for listing in told.pieces)
        assert all(a < b for a, b in pairwise(told.passes))
        assert set(told.revisions) == {None}
        assert told.told.revision == 7
        assert [e.endpoint for e, _ in told.entries.values()] == [r["id"] for r in rows]
        drains = [e.state is EndpointState.DRAINING for e, _ in told.entries.values()]
        assert drains == [i % 50 == 0 for i in range(LONG)]
        assert told.entries["h3"][1] == ("127.0.0.1", 4)
        told.told.close()

    run(scenario, tmp_path)


@both
def test_at_most_one_segment_is_decoded_or_compared_at_a_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where nothing has changed: then no entry is told, but that the call went well."""
    at: list[tuple[int, int]] = []

    async def scenario(w: World) -> None:
        told = Told(w)
        was = module.decode_rows

        def decode_rows(rows: Any, parse: Any = None) -> Any:
            if rows:
                at.append((told.passed, len(rows)))
            return was(rows, parse)

        monkeypatch.setattr(module, "decode_rows", decode_rows)
        rows = [row(i) for i in range(LONG)]
        w.list_answer = answers(whole(7, rows), whole(8, rows))
        told.told.watch()
        await told.until(8)
        assert len(told.pieces) == 7
        assert len(at) == 12
        assert told.pieces[6] == EndpointListReceived(EndpointListKind.DELTA, ())
        assert told.revisions[6] == 8
        assert all(many <= SEGMENT_ROWS for _, many in at)
        assert all(a < b for (a, _), (b, _) in pairwise(at))
        told.told.close()

    run(scenario, tmp_path)


@both
def test_only_differences_are_published_and_removals_last(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        before = [row(i) for i in range(LONG)]
        after = [
            row(LONG),
            row(5, EndpointState.DRAINING),
            row(6, host_port="127.0.0.1:99"),
            row(7, size=2.0),
            *before[8 : LONG - 3],
            row(LONG - 1, EndpointState.REMOVED),
            row(8, cell="no number"),
            5,
            "a word",
            {},
            [[]],
            row(9, EndpointState.REMOVED),
        ]
        w.list_answer = answers(whole(7, before), whole(8, after))
        told = Told(w)
        told.told.watch()
        await told.until(8)
        changes = [entry for listing in told.pieces[6:] for entry in listing.entries]
        assert set(told.forms()) == {EndpointListKind.DELTA}
        names = [entry.endpoint for entry in changes]
        assert names[:6] == [f"h{LONG}", "h5", "h6", "h7", f"h{LONG - 1}", "h9"]
        assert sorted(names[6:]) == sorted([f"h{i}" for i in (0, 1, 2, 3, 4, LONG - 3, LONG - 2)])
        assert all(entry.state is EndpointState.REMOVED for entry in changes[4:])
        assert told.entries["h5"][0].state is EndpointState.DRAINING
        assert told.entries["h7"][0].listed_rate == 2.0
        assert told.entries["h6"][1] == ("127.0.0.1", 99)
        assert len(told.entries) == LONG - 8
        told.told.close()

    run(scenario, tmp_path)


@both
def test_long_delta_leaves_unnamed_endpoints_unchanged(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        rows = [row(i) for i in range(LONG)]
        changes = [
            *(row(i, EndpointState.DRAINING) for i in range(3, LONG)),
            row(3),
            row(4, EndpointState.REMOVED),
        ]
        w.list_answer = answers(whole(7, rows), whole(8, changes, complete=False))
        told = Told(w)
        told.told.watch()
        await told.until(8)
        assert set(told.entries) == {f"h{i}" for i in range(LONG) if i != 4}
        listed = [name for name, (entry, _) in told.entries.items() if entry.state is EndpointState.ACTIVE]
        assert listed == ["h0", "h1", "h2", "h3"]  # of one that is named twice, the last holds
        told.told.close()

    run(scenario, tmp_path)


@both
@pytest.mark.parametrize("way", ["paused", "moved", "cut off"])
def test_interrupted_segmented_list_is_requested_whole(tmp_path: Path, way: str) -> None:
    """The whole list: what was told of this one is a mixture, and some of it may be gone by then."""

    async def scenario(w: World) -> None:
        rows = [row(i) for i in range(LONG)]
        started = asyncio.Event()
        more = whole(9, [*rows, row(LONG)], complete=False)
        w.list_answer = answers(whole(7, rows[:-1]), more, whole(10, rows))
        told = Told(w)
        was = told.listed

        def listed(listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
            was(listing, addresses)
            if f"h{LONG - 1}" in addresses and not started.is_set():
                started.set()
                if way == "cut off":
                    raise KeyError("a fault")

        told.told.on_update = listed
        told.told.watch()
        await started.wait()
        assert told.told.revision is None
        asked = len(w.discovery.requests)
        if way == "paused":
            told.told.pause()
        if way == "cut off":
            await w.until(lambda: EndpointListKind.FAILED in told.forms())
        if way == "moved":
            told.told.move_to(told.told.address)
        else:
            told.told.watch()
        await told.until(10)
        assert w.discovery.requests[asked].target == "/registry/instances"
        assert set(told.entries) == {r["id"] for r in rows}
        assert told.told.revision == 10
        told.told.close()

    run(scenario, tmp_path)


def test_row_that_cannot_be_parsed_is_skipped(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Found only when its piece is read, where rows are cut first: the rest of the list is taken."""

    async def scenario(w: World) -> None:
        rows = [row(i) for i in range(LONG)]
        body = whole(7, rows).replace(b'"id": "h700"', b'"id": "h\xff\xfe"')
        w.list_answer = answers(body)
        told = Told(w)
        told.told.watch()
        await told.until(7)
        assert set(told.entries) == {f"h{i}" for i in range(LONG) if i != 700}
        told.told.close()

    run(scenario, tmp_path)
    lines = [r.getMessage() for r in caplog.records if "skipped" in r.getMessage()]
    assert len(lines) == 1
    assert "127.0.0.1:" in lines[0]


@both
def test_without_current_entries_a_list_is_published_in_one_pass(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        w.list_answer = answers(whole(7, [row(i) for i in range(LONG)]))
        told = Told(w)
        told.told.current_entries = None
        told.told.watch()
        await told.until(7)
        assert told.forms() == [EndpointListKind.FULL]
        assert len(told.entries) == LONG
        told.told.close()

    run(scenario, tmp_path)


@both
@pytest.mark.parametrize(
    "bad", [b"[1]", b"[" * 40_000, b'{"revision":1,"complete":true,"members":3}', b'{"members":[]}', b"{"]
)
def test_malformed_long_list_is_a_failed_call(tmp_path: Path, bad: bytes) -> None:
    async def scenario(w: World) -> None:
        w.list_answer = answers(bad + b" " * MAX_SINGLE_PASS_BYTES)
        told = Told(w)
        told.told.watch()
        await w.until(lambda: told.forms() == [EndpointListKind.FAILED])
        assert told.told.revision is None
        assert not told.refused

    run(scenario, tmp_path)


@both
def test_listed_rows_are_frozen_for_the_garbage_collector(tmp_path: Path) -> None:
    """Trouble: with 50,000 hosts a collection of garbage held the loop up for 230 ms."""

    async def scenario(w: World) -> None:
        gc.freeze()  # what other tests have left
        frozen = gc.get_freeze_count()
        w.list_answer = answers(whole(7, [row(i) for i in range(20 * SEGMENT_ROWS)]))
        told = Told(w)
        told.told.watch()
        await told.until(7)
        assert gc.get_freeze_count() - frozen > 15 * SEGMENT_ROWS
        seen = sum(isinstance(each, EndpointEntry) for each in gc.get_objects())
        assert seen <= 5 * SEGMENT_ROWS
        told.told.close()

    run(scenario, tmp_path)


# Longer than the limit


def head(size: int) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()


def test_oversize_list_is_rejected_in_one_log_line_and_the_relay_is_not_ready(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        size: int | None = MAX_LIST_BYTES + 1
        asked: list[str] = []

        async def listed(request: Request) -> bytes:
            asked.append(request.target)
            return b"" if size is None else head(size) + b'{"rev'

        def lines() -> list[str]:
            return [line for line in w.log if "over the limit" in line]

        async def ready() -> int:
            return (await w.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0]

        w.list_answer = listed
        await w.start()
        await w.until(lambda: len(asked) >= 3)
        assert await ready() == 503
        assert await w.hand_in("early") == 503
        size = MAX_LIST_BYTES + 2
        await w.until(lambda: len(lines()) == 2)
        for number, line in enumerate(lines(), 1):
            assert (
                f"the list of {MAX_LIST_BYTES + number} bytes is over the limit of {MAX_LIST_BYTES} bytes ("
                in line
            )
        assert not any("watch failed" in line for line in w.log)
        host = await w.host(deliver)
        size = None
        await w.hand_in_once_listed("m", 1)
        await w.until(lambda: host.ids == ["m"])
        assert await ready() == 200
        # With a list in force it stays ready, goes on by that, and says it anew.
        size = MAX_LIST_BYTES + 2
        w.revision += 1
        w.bump()
        w.discovery.close_connections()
        await w.until(lambda: len(lines()) == 3)
        assert await ready() == 200
        assert await w.hand_in("n") == 202
        await w.until(lambda: host.ids == ["m", "n"])

    run(scenario, tmp_path, safety={"ask_every": 1_000_000})


def test_relay_with_a_known_list_is_ready_despite_an_oversize_list(tmp_path: Path) -> None:
    async def scenario(w: World) -> None:
        host = await w.host(deliver)

        async def listed(request: Request) -> bytes:
            return head(MAX_LIST_BYTES + 1)

        w.list_answer = listed
        await w.start()
        await w.until(lambda: any("over the limit" in line for line in w.log))
        assert (await w.ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        assert await w.hand_in("m") == 202
        await w.until(lambda: host.ids == ["m"])

    run(scenario, tmp_path)


def test_list_without_content_length_is_rejected_at_the_limit(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(w: World) -> None:
        async def endless(request: Request) -> bytes:
            chunks = b"400\r\n%b\r\n" % (b" " * 1024) * 20
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks

        w.list_answer = endless
        told = Told(w)
        told.told.max_list_bytes = 9 << 10
        told.told.pause()
        for times in (1, 2):
            told.told.watch()
            await w.until(lambda times=times: told.forms() == [EndpointListKind.FAILED] * times)  # type: ignore[misc]
            # As after any failed call it is the module that says when to ask again.
            assert told.told.task is not None
            await told.told.task
            assert len(w.discovery.requests) == told.refused == times
        assert [r.getMessage().partition(" (")[0] for r in caplog.records if r.levelno >= logging.ERROR] == [
            "the list of more than 9216 bytes is over the limit of 9216 bytes"
        ]

    run(scenario, tmp_path)


# One limit for each use of a connection


async def opened(w: World, most: int | None = None) -> Connection:
    host, _, port = w.discovery.address.rpartition(":")
    address = (host, int(port))
    return await (Connection.open(address, 9) if most is None else Connection.open(address, 9, most))


@pytest.mark.parametrize("over", [0, 1])
def test_responses_to_messages_keep_their_limit(tmp_path: Path, over: int) -> None:
    async def scenario(w: World) -> None:
        w.list_answer = answers(b"x" * (MAX_BODY_BYTES + over), b"x" * (MAX_BODY_BYTES + over))
        for most in (None, MAX_BODY_BYTES):
            connection = await opened(w, most)
            if over:
                with pytest.raises(ResponseTooLongError) as raised:
                    await connection.request("GET", "/", {"Host": "x"})
                assert (raised.value.size, raised.value.limit) == (MAX_BODY_BYTES + 1, MAX_BODY_BYTES)
            else:
                assert len((await connection.request("GET", "/", {"Host": "x"})).body) == MAX_BODY_BYTES
            connection.close()

    run(scenario, tmp_path)


@pytest.mark.parametrize("more", [0, 9])
def test_long_response_in_progress_has_more_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, more: int
) -> None:
    monkeypatch.setattr(
        http, "MIN_TRANSFER_RATE_BYTES_PER_S", 0.1
    )  # bytes a second: 9 bytes more have 90 seconds

    async def scenario(w: World) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + 0.5
        size = MAX_BODY_BYTES + more

        async def slow(request: Request) -> bytes:
            w.discovery.connections[0].transport.write(head(size))
            while loop.time() < until + 0.2:
                await asyncio.sleep(until + 0.2 - loop.time())
            return b"x" * size

        w.list_answer = answers(slow)
        connection = await opened(w, 2 * MAX_BODY_BYTES)
        if more:
            answer = await connection.request("GET", "/", {"Host": "x"}, deadline=until)
            assert len(answer.body) == size
            assert loop.time() > until
        else:
            with pytest.raises(TimeoutError):
                await connection.request("GET", "/", {"Host": "x"}, deadline=until)
        connection.close()

    run(scenario, tmp_path)
