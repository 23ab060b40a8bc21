"""Lists of any size: applied in segments without blocking the event loop, or rejected in one log line."""

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
from loftrelay.discovery import endpoint_list as endpoint_list_module
from loftrelay.discovery.client import MAX_SINGLE_PASS_BYTES, DiscoveryClient
from loftrelay.discovery.endpoint_list import MAX_LIST_BYTES, SEGMENT_ROWS
from loftrelay.net import http
from loftrelay.net.address import Address
from loftrelay.net.http import MAX_BODY_BYTES, Connection
from loftrelay.net.response_parser import ResponseTooLongError
from tests.standins.harness import (
    RelayHarness,
    Request,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
)

LONG_LIST_ROWS = 5 * SEGMENT_ROWS + 7
PHASES = {EndpointState.ACTIVE: "Ready", EndpointState.DRAINING: "Terminating", EndpointState.REMOVED: "Gone"}


@pytest.fixture(params=["msgspec", "json"])
def parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[str]:
    """Runs a test with the extra `lists` and without it."""
    if request.param == "json":
        monkeypatch.setattr(endpoint_list_module, "msgspec", None)
    yield request.param
    gc.unfreeze()


with_both_parsers = pytest.mark.usefixtures("parser")


def make_row(number: int, state: EndpointState = EndpointState.ACTIVE, **changes: Any) -> dict[str, Any]:
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


def make_list(revision: int, rows: list[Any], is_complete: bool = True) -> bytes:
    return json.dumps({"revision": revision, "complete": is_complete, "members": rows}).encode()


class RecordingEngine:
    """Applies published lists as the engine does and records each with the state of client and event loop."""

    def __init__(self, w: RelayHarness) -> None:
        host, _, port = w.discovery.address.rpartition(":")
        self.world = w
        self.entries: dict[str, tuple[EndpointEntry, Address]] = {}
        self.updates: list[EndpointListReceived] = []
        self.revisions: list[int | None] = []  # of the client, at each update
        self.turns_at_update: list[int] = []  # turns of the event loop, at each update
        self.oversize_count = 0
        self.turns = 0
        self.client = DiscoveryClient(
            (host, int(port)), 10_000_000, self.apply_update, lambda: self.entries, self.count_oversize
        )
        w.tasks.append(asyncio.create_task(self._count_turns()))

    async def _count_turns(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)

    def apply_update(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if listing.kind is EndpointListKind.FULL:
            self.entries.clear()
        for entry in listing.entries:
            if entry.state is EndpointState.REMOVED:
                self.entries.pop(entry.endpoint, None)
            else:
                self.entries[entry.endpoint] = entry, addresses[entry.endpoint]
        self.updates.append(listing)
        self.revisions.append(self.client.revision)
        self.turns_at_update.append(self.turns)
        self.world.notify_changed()

    def count_oversize(self) -> None:
        self.oversize_count += 1

    async def wait_for_revision(self, revision: int) -> None:
        """Waits for the watch that follows a completely applied list."""
        await self.world.wait_until(
            lambda: any(f"index={revision}&" in request.target for request in self.world.discovery.requests)
        )

    def kinds(self) -> list[EndpointListKind]:
        return [listing.kind for listing in self.updates]


def responses(*scripted: bytes | Callable[[Request], Awaitable[bytes]]) -> Any:
    remaining = list(scripted)

    async def script(request: Request) -> bytes:
        if not remaining:
            return await never_respond(request)
        response = remaining.pop(0)
        return format_response(200, response) if isinstance(response, bytes) else await response(request)

    return script


@with_both_parsers
def test_client_publishes_a_long_list_in_segments_without_blocking_the_loop(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        rows = [
            make_row(i, EndpointState.DRAINING if i % 50 == 0 else EndpointState.ACTIVE)
            for i in range(LONG_LIST_ROWS)
        ]
        body = make_list(7, rows)
        assert len(body) > MAX_SINGLE_PASS_BYTES
        w.list_handler = responses(body)
        engine = RecordingEngine(w)
        engine.client.watch()
        await engine.wait_for_revision(7)
        assert set(engine.kinds()) == {EndpointListKind.DELTA}
        assert len(engine.updates) == 6
        assert all(len(listing.entries) <= SEGMENT_ROWS for listing in engine.updates)
        assert all(earlier < later for earlier, later in pairwise(engine.turns_at_update))
        assert set(engine.revisions) == {None}
        assert engine.client.revision == 7
        assert [e.endpoint for e, _ in engine.entries.values()] == [r["id"] for r in rows]
        drains = [e.state is EndpointState.DRAINING for e, _ in engine.entries.values()]
        assert drains == [i % 50 == 0 for i in range(LONG_LIST_ROWS)]
        assert engine.entries["h3"][1] == ("127.0.0.1", 4)
        engine.client.close()

    run_scenario(scenario, tmp_path)


@with_both_parsers
def test_client_decodes_and_compares_one_segment_of_a_long_list_per_turn(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An unchanged list is published as an empty delta, which reports the successful call."""
    decoded: list[tuple[int, int]] = []  # turn of the event loop, number of rows

    async def scenario(w: RelayHarness) -> None:
        engine = RecordingEngine(w)
        original_decode_rows = endpoint_list_module.decode_rows

        def decode_rows(rows: Any, parse: Any = None) -> Any:
            if rows:
                decoded.append((engine.turns, len(rows)))
            return original_decode_rows(rows, parse)

        monkeypatch.setattr(endpoint_list_module, "decode_rows", decode_rows)
        rows = [make_row(i) for i in range(LONG_LIST_ROWS)]
        w.list_handler = responses(make_list(7, rows), make_list(8, rows))
        engine.client.watch()
        await engine.wait_for_revision(8)
        assert len(engine.updates) == 7
        assert len(decoded) == 12
        assert engine.updates[6] == EndpointListReceived(EndpointListKind.DELTA, ())
        assert engine.revisions[6] == 8
        assert all(row_count <= SEGMENT_ROWS for _, row_count in decoded)
        assert all(earlier < later for (earlier, _), (later, _) in pairwise(decoded))
        engine.client.close()

    run_scenario(scenario, tmp_path)


@with_both_parsers
def test_client_publishes_only_differences_of_a_long_list_and_removals_last(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        before = [make_row(i) for i in range(LONG_LIST_ROWS)]
        after = [
            make_row(LONG_LIST_ROWS),
            make_row(5, EndpointState.DRAINING),
            make_row(6, host_port="127.0.0.1:99"),
            make_row(7, size=2.0),
            *before[8 : LONG_LIST_ROWS - 3],
            make_row(LONG_LIST_ROWS - 1, EndpointState.REMOVED),
            make_row(8, cell="no number"),
            5,
            "a word",
            {},
            [[]],
            make_row(9, EndpointState.REMOVED),
        ]
        w.list_handler = responses(make_list(7, before), make_list(8, after))
        engine = RecordingEngine(w)
        engine.client.watch()
        await engine.wait_for_revision(8)
        changes = [entry for listing in engine.updates[6:] for entry in listing.entries]
        assert set(engine.kinds()) == {EndpointListKind.DELTA}
        names = [entry.endpoint for entry in changes]
        assert names[:6] == [f"h{LONG_LIST_ROWS}", "h5", "h6", "h7", f"h{LONG_LIST_ROWS - 1}", "h9"]
        assert sorted(names[6:]) == sorted(
            [f"h{i}" for i in (0, 1, 2, 3, 4, LONG_LIST_ROWS - 3, LONG_LIST_ROWS - 2)]
        )
        assert all(entry.state is EndpointState.REMOVED for entry in changes[4:])
        assert engine.entries["h5"][0].state is EndpointState.DRAINING
        assert engine.entries["h7"][0].listed_rate == 2.0
        assert engine.entries["h6"][1] == ("127.0.0.1", 99)
        assert len(engine.entries) == LONG_LIST_ROWS - 8
        engine.client.close()

    run_scenario(scenario, tmp_path)


@with_both_parsers
def test_client_with_a_long_delta_keeps_endpoints_that_it_does_not_contain(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        rows = [make_row(i) for i in range(LONG_LIST_ROWS)]
        changes = [
            *(make_row(i, EndpointState.DRAINING) for i in range(3, LONG_LIST_ROWS)),
            make_row(3),
            make_row(4, EndpointState.REMOVED),
        ]
        w.list_handler = responses(make_list(7, rows), make_list(8, changes, is_complete=False))
        engine = RecordingEngine(w)
        engine.client.watch()
        await engine.wait_for_revision(8)
        assert set(engine.entries) == {f"h{i}" for i in range(LONG_LIST_ROWS) if i != 4}
        listed = [name for name, (entry, _) in engine.entries.items() if entry.state is EndpointState.ACTIVE]
        assert listed == ["h0", "h1", "h2", "h3"]  # the last row of a duplicate endpoint counts
        engine.client.close()

    run_scenario(scenario, tmp_path)


@with_both_parsers
@pytest.mark.parametrize("interruption", ["pause", "move", "exception"])
def test_client_interrupted_in_a_segmented_list_requests_the_whole_list(
    tmp_path: Path, interruption: str
) -> None:
    """After the interruption the entries are of two lists, and some may have been removed since."""

    async def scenario(w: RelayHarness) -> None:
        rows = [make_row(i) for i in range(LONG_LIST_ROWS)]
        started = asyncio.Event()
        delta = make_list(9, [*rows, make_row(LONG_LIST_ROWS)], is_complete=False)
        w.list_handler = responses(make_list(7, rows[:-1]), delta, make_list(10, rows))
        engine = RecordingEngine(w)
        apply_update = engine.apply_update

        def interrupt_last_segment(listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
            apply_update(listing, addresses)
            if f"h{LONG_LIST_ROWS - 1}" in addresses and not started.is_set():
                started.set()
                if interruption == "exception":
                    raise KeyError("bug in the engine")

        engine.client.on_update = interrupt_last_segment
        engine.client.watch()
        await started.wait()
        assert engine.client.revision is None
        request_count = len(w.discovery.requests)
        if interruption == "pause":
            engine.client.pause()
        if interruption == "exception":
            await w.wait_until(lambda: EndpointListKind.FAILED in engine.kinds())
        if interruption == "move":
            engine.client.move_to(engine.client.address)
        else:
            engine.client.watch()
        await engine.wait_for_revision(10)
        assert w.discovery.requests[request_count].target == "/registry/instances"
        assert set(engine.entries) == {r["id"] for r in rows}
        assert engine.client.revision == 10
        engine.client.close()

    run_scenario(scenario, tmp_path)


def test_client_skips_a_row_that_cannot_be_parsed(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """msgspec only splits the list into rows, so that the error shows when the row's segment is decoded."""

    async def scenario(w: RelayHarness) -> None:
        rows = [make_row(i) for i in range(LONG_LIST_ROWS)]
        body = make_list(7, rows).replace(b'"id": "h700"', b'"id": "h\xff\xfe"')
        w.list_handler = responses(body)
        engine = RecordingEngine(w)
        engine.client.watch()
        await engine.wait_for_revision(7)
        assert set(engine.entries) == {f"h{i}" for i in range(LONG_LIST_ROWS) if i != 700}
        engine.client.close()

    run_scenario(scenario, tmp_path)
    lines = [r.getMessage() for r in caplog.records if "skipped" in r.getMessage()]
    assert len(lines) == 1
    assert "127.0.0.1:" in lines[0]


@with_both_parsers
def test_client_without_current_entries_publishes_a_long_list_in_one_pass(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.list_handler = responses(make_list(7, [make_row(i) for i in range(LONG_LIST_ROWS)]))
        engine = RecordingEngine(w)
        engine.client.current_entries = None
        engine.client.watch()
        await engine.wait_for_revision(7)
        assert engine.kinds() == [EndpointListKind.FULL]
        assert len(engine.entries) == LONG_LIST_ROWS
        engine.client.close()

    run_scenario(scenario, tmp_path)


@with_both_parsers
@pytest.mark.parametrize(
    "malformed",
    [b"[1]", b"[" * 40_000, b'{"revision":1,"complete":true,"members":3}', b'{"members":[]}', b"{"],
)
def test_client_reports_a_malformed_long_list_as_a_failed_call(tmp_path: Path, malformed: bytes) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.list_handler = responses(malformed + b" " * MAX_SINGLE_PASS_BYTES)
        engine = RecordingEngine(w)
        engine.client.watch()
        await w.wait_until(lambda: engine.kinds() == [EndpointListKind.FAILED])
        assert engine.client.revision is None
        assert not engine.oversize_count

    run_scenario(scenario, tmp_path)


@with_both_parsers
def test_client_excludes_applied_rows_from_garbage_collection(tmp_path: Path) -> None:
    """With 50,000 endpoints a garbage collection once blocked the event loop for 230 ms."""

    async def scenario(w: RelayHarness) -> None:
        gc.freeze()  # objects of other tests
        frozen_before = gc.get_freeze_count()
        w.list_handler = responses(make_list(7, [make_row(i) for i in range(20 * SEGMENT_ROWS)]))
        engine = RecordingEngine(w)
        engine.client.watch()
        await engine.wait_for_revision(7)
        assert gc.get_freeze_count() - frozen_before > 15 * SEGMENT_ROWS
        tracked = sum(isinstance(item, EndpointEntry) for item in gc.get_objects())
        assert tracked <= 5 * SEGMENT_ROWS
        engine.client.close()

    run_scenario(scenario, tmp_path)


# Lists over the limit


def response_head(size: int) -> bytes:
    return f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()


def test_relay_with_an_oversize_first_list_logs_one_line_and_is_not_ready(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        size: int | None = MAX_LIST_BYTES + 1
        requests: list[str] = []

        async def list_response(request: Request) -> bytes:
            requests.append(request.target)
            return b"" if size is None else response_head(size) + b'{"rev'

        def oversize_lines() -> list[str]:
            return [line for line in w.log if "bytes rejected, the limit is" in line]

        async def readiness() -> int:
            return (await w.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0]

        w.list_handler = list_response
        await w.start()
        await w.wait_until(lambda: len(requests) >= 3)
        assert await readiness() == 503
        assert await w.submit("early") == 503
        size = MAX_LIST_BYTES + 2
        await w.wait_until(lambda: len(oversize_lines()) == 2)
        for number, line in enumerate(oversize_lines(), 1):
            assert (
                f"list of {MAX_LIST_BYTES + number} bytes rejected, the limit is {MAX_LIST_BYTES} bytes ("
                in line
            )
        assert not any("watch failed" in line for line in w.log)
        host = await w.start_host(respond_ok)
        size = None
        await w.submit_once_listed("m", 1)
        await w.wait_until(lambda: host.request_ids == ["m"])
        assert await readiness() == 200
        # With a current list the relay stays ready, keeps using it and logs the rejection again.
        size = MAX_LIST_BYTES + 2
        w.revision += 1
        w.notify_changed()
        w.discovery.close_connections()
        await w.wait_until(lambda: len(oversize_lines()) == 3)
        assert await readiness() == 200
        assert await w.submit("n") == 202
        await w.wait_until(lambda: host.request_ids == ["m", "n"])

    run_scenario(scenario, tmp_path, safety={"ask_every": 1_000_000})


def test_relay_with_a_cached_list_is_ready_despite_an_oversize_list(tmp_path: Path) -> None:
    async def scenario(w: RelayHarness) -> None:
        host = await w.start_host(respond_ok)

        async def list_response(request: Request) -> bytes:
            return response_head(MAX_LIST_BYTES + 1)

        w.list_handler = list_response
        await w.start()
        await w.wait_until(lambda: any("bytes rejected, the limit is" in line for line in w.log))
        assert (await w.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
        assert await w.submit("m") == 202
        await w.wait_until(lambda: host.request_ids == ["m"])

    run_scenario(scenario, tmp_path)


def test_client_rejects_a_list_without_content_length_at_the_limit(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario(w: RelayHarness) -> None:
        async def chunked_response(request: Request) -> bytes:
            chunks = b"400\r\n%b\r\n" % (b" " * 1024) * 20
            return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks

        w.list_handler = chunked_response
        engine = RecordingEngine(w)
        engine.client.max_list_bytes = 9 << 10
        engine.client.pause()
        for attempts in (1, 2):
            engine.client.watch()
            await w.wait_until(
                lambda attempts=attempts: engine.kinds() == [EndpointListKind.FAILED] * attempts  # type: ignore[misc]
            )
            # As after any failed call, the decisions schedule the next one.
            assert engine.client.task is not None
            await engine.client.task
            assert len(w.discovery.requests) == engine.oversize_count == attempts
        assert [r.getMessage().partition(" (")[0] for r in caplog.records if r.levelno >= logging.ERROR] == [
            "discovery: list of more than 9216 bytes rejected, the limit is 9216 bytes"
        ]

    run_scenario(scenario, tmp_path)


# Response limits of connections


async def open_connection(w: RelayHarness, max_body_bytes: int | None = None) -> Connection:
    host, _, port = w.discovery.address.rpartition(":")
    address = (host, int(port))
    return await (
        Connection.open(address, 9) if max_body_bytes is None else Connection.open(address, 9, max_body_bytes)
    )


@pytest.mark.parametrize("excess_bytes", [0, 1])
def test_connection_limits_response_bodies_to_max_body_bytes(tmp_path: Path, excess_bytes: int) -> None:
    async def scenario(w: RelayHarness) -> None:
        w.list_handler = responses(
            b"x" * (MAX_BODY_BYTES + excess_bytes), b"x" * (MAX_BODY_BYTES + excess_bytes)
        )
        for max_body_bytes in (None, MAX_BODY_BYTES):
            connection = await open_connection(w, max_body_bytes)
            if excess_bytes:
                with pytest.raises(ResponseTooLongError) as raised:
                    await connection.request("GET", "/", {"Host": "x"})
                assert (raised.value.size, raised.value.limit) == (MAX_BODY_BYTES + 1, MAX_BODY_BYTES)
            else:
                assert len((await connection.request("GET", "/", {"Host": "x"})).body) == MAX_BODY_BYTES
            connection.close()

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("extra_bytes", [0, 9])
def test_connection_extends_the_deadline_only_for_a_long_response(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, extra_bytes: int
) -> None:
    # 9 extra bytes extend the deadline by 90 s.
    monkeypatch.setattr(http, "MIN_TRANSFER_RATE_BYTES_PER_S", 0.1)

    async def scenario(w: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 0.5
        size = MAX_BODY_BYTES + extra_bytes

        async def respond_late(request: Request) -> bytes:
            w.discovery.connections[0].transport.write(response_head(size))
            while loop.time() < deadline + 0.2:
                await asyncio.sleep(deadline + 0.2 - loop.time())
            return b"x" * size

        w.list_handler = responses(respond_late)
        connection = await open_connection(w, 2 * MAX_BODY_BYTES)
        if extra_bytes:
            response = await connection.request("GET", "/", {"Host": "x"}, deadline=deadline)
            assert len(response.body) == size
            assert loop.time() > deadline
        else:
            with pytest.raises(TimeoutError):
                await connection.request("GET", "/", {"Host": "x"}, deadline=deadline)
        connection.close()

    run_scenario(scenario, tmp_path)
