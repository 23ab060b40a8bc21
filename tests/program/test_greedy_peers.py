"""A peer sends what is cheap to write and expensive to read: others are served in their time all the same."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_submission,
    read_response,
    respond_ok,
    run_scenario,
)

RESPONSE_WAIT_S = 0.4  # of a client
MIN_SHARE_IN_TIME = 0.9  # the rest allows for a busy machine
PAUSE_S = 0.1  # between the requests of a regular client
REGULAR_CLIENTS = 4
DURATION_S = 3.0
MESSAGE_TIME_MS = 2_000
REPORT_MARGIN_S = 0.5
LIMITS = {"sockets": 512, "memory_mb": 64, "disk_mb": 3}
POLICY_LIMITS = {**SETTINGS["policy_limits"], "most_held": 1000}
SINGLE_BYTES = b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
SHORT_FIELDS = b"".join(b"a%d:\r\n" % number for number in range(2_000))


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass
class RegularClients:
    """Clients that submit a message every PAUSE_S, each on a connection that it keeps."""

    harness: RelayHarness
    accepted: dict[str, float] = field(default_factory=dict)  # message id -> its deadline, Unix time
    answered: int = 0
    unanswered: int = 0

    async def run(self) -> None:
        await asyncio.gather(*(self._run_client(number) for number in range(REGULAR_CLIENTS)))

    async def _run_client(self, number: int) -> None:
        ends_at = time.time() + DURATION_S
        streams: Streams | None = None
        for count in itertools.count():
            if time.time() >= ends_at:
                break
            name = f"regular{number}-{count}"
            deadline = time.time() + MESSAGE_TIME_MS / 1000
            try:
                async with asyncio.timeout(RESPONSE_WAIT_S):
                    status, streams = await self._submit(name, streams)
            except (TimeoutError, OSError, asyncio.IncompleteReadError, IndexError):
                self.unanswered += 1
                streams = None
            else:
                self.answered += 1
                if status == "202":
                    self.accepted[name] = deadline
            await asyncio.sleep(PAUSE_S)

    async def _submit(self, name: str, streams: Streams | None) -> tuple[str, Streams | None]:
        """Submits a message; once more on a new connection if the relay has closed the one that was kept."""
        request = format_submission(name, "status", Request_Timeout_Ms=str(MESSAGE_TIME_MS))
        if streams is not None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError):
                return await self._exchange(request, streams)
        return await self._exchange(request, await asyncio.open_connection(*self.harness.address))

    async def _exchange(self, request: bytes, streams: Streams) -> tuple[str, Streams | None]:
        reader, writer = streams
        writer.write(request)
        start, headers, _ = await read_response(reader)
        return start.split()[1], None if headers.get("connection") == "close" else streams


async def repeat(harness: RelayHarness, next_request: Callable[[], bytes]) -> None:
    """Sends requests at full speed, each once the one before has its answer; connects again when closed."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError):
            reader, writer = await asyncio.open_connection(*harness.address)
            with contextlib.closing(writer):
                while True:
                    writer.write(next_request())
                    await writer.drain()
                    _, headers, _ = await read_response(reader)
                    if headers.get("connection") == "close":
                        break


def numbered(make: Callable[[int], bytes]) -> Callable[[], bytes]:
    numbers: Iterator[int] = itertools.count()
    return lambda: make(next(numbers))


def chunked_request(number: int) -> bytes:
    """A valid message whose body comes in chunks of one byte."""
    head, _, _ = format_submission(f"chunks-{number}", "status", 2).partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]) + SINGLE_BYTES


GREEDY = {
    "single-byte-chunks": numbered(chunked_request),
    "many-fields": numbered(lambda number: b"POST /s%d HTTP/1.1\r\n" % number + SHORT_FIELDS + b"\r\n"),
    "unsound": numbered(
        lambda number: b"POST /none%d HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % number
    ),
    "readiness": lambda: b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n",
}


async def check_regular_clients(harness: RelayHarness, greedy: Sequence[Awaitable[None]]) -> None:
    """Runs regular clients beside others, and checks that they are served in their time."""
    tasks = [asyncio.ensure_future(each) for each in greedy]
    regular = RegularClients(harness)
    try:
        await regular.run()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=TEST_TIMEOUT_S)
    assert len(regular.accepted) >= MIN_SHARE_IN_TIME * (regular.answered + regular.unanswered)
    host = harness.servers[1]
    await asyncio.sleep(max(regular.accepted.values(), default=0.0) + REPORT_MARGIN_S - time.time())
    ended = set(host.request_ids) | set(harness.reported_at)
    assert set(regular.accepted) <= ended
    late = [
        name
        for name, at in harness.reported_at.items()
        if at > regular.accepted.get(name, at) + REPORT_MARGIN_S
    ]
    assert not late


@pytest.mark.parametrize(("kind", "count"), [("single-byte-chunks", 1), *((kind, 20) for kind in GREEDY)])
def test_regular_clients_get_their_answers_beside_greedy_ones(tmp_path: Path, kind: str, count: int) -> None:
    """One client with bodies in chunks of one byte kept the relay from all others: 72 of 88 unanswered."""

    async def scenario(harness: RelayHarness) -> None:
        harness.limits = LIMITS
        await harness.start_host(respond_ok)
        await harness.start_host(respond_ok, destination=2)
        await harness.start()
        await check_regular_clients(harness, [repeat(harness, GREEDY[kind]) for _ in range(count)])

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)


SLOW_LIMITS = {**LIMITS, "sockets": 256}  # 140 places for clients
SLOW_CLIENTS = 700
NEW_CLIENTS = 30
SLOW_PAUSE_S = 1.0  # after its connection was closed, a slow client connects again
DRIP_PAUSE_S = 0.2
LONG_HEAD = format_submission("slow", "status", 1, b"x" * 60_000).partition(b"\r\n\r\n")[0]
HALF_REQUESTS = {
    "half-body": LONG_HEAD + b"\r\n\r\n" + b"x" * 30_000,
    "half-head": LONG_HEAD,
    "many-fields": LONG_HEAD
    + b"\r\n"
    + SHORT_FIELDS[:600].rpartition(b"\r\n")[0]
    + b"\r\n\r\n"
    + b"x" * 30_000,
}


async def write_slowly(harness: RelayHarness, beginning: bytes) -> None:
    """Begins a request again and again, and adds a byte now and then; never completes one."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*harness.address)
            with contextlib.closing(writer):
                writer.write(beginning)
                while not await is_ended(reader):
                    writer.write(b"x")
        await asyncio.sleep(SLOW_PAUSE_S)


async def is_ended(reader: asyncio.StreamReader) -> bool:
    """Reads for DRIP_PAUSE_S; returns whether the relay has closed the connection."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRIP_PAUSE_S):
            while await reader.read(4096):
                pass
            return True
    return False


@pytest.mark.parametrize("kind", HALF_REQUESTS)
def test_new_clients_get_their_answers_beside_hundreds_that_write_slowly(tmp_path: Path, kind: str) -> None:
    """Those took every place for 2 s, and a client that connected meanwhile got 503."""

    async def scenario(harness: RelayHarness) -> None:
        harness.limits = SLOW_LIMITS
        await harness.start_host(respond_ok)
        await harness.start()
        slow = [asyncio.create_task(write_slowly(harness, HALF_REQUESTS[kind])) for _ in range(SLOW_CLIENTS)]
        statuses = [await submit_in_time(harness, f"regular-{number}") for number in range(NEW_CLIENTS)]
        for task in slow:
            task.cancel()
        await asyncio.wait(slow, timeout=TEST_TIMEOUT_S)
        assert statuses.count(202) >= MIN_SHARE_IN_TIME * len(statuses), statuses

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)


async def submit_in_time(harness: RelayHarness, name: str) -> int | None:
    """Submits a message on a new connection; returns the status, or None if it has none in time."""
    await asyncio.sleep(PAUSE_S)
    with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
        async with asyncio.timeout(RESPONSE_WAIT_S):
            return await harness.submit(name)
    return None


def test_regular_clients_get_their_answers_beside_a_host_that_answers_in_single_bytes(tmp_path: Path) -> None:
    """Its answers are read in slices, too, and still count."""

    async def respond_in_single_bytes(request: Request) -> bytes:
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + SINGLE_BYTES

    async def scenario(harness: RelayHarness) -> None:
        harness.limits = LIMITS
        await harness.start_host(respond_ok)
        slow = await harness.start_host(respond_in_single_bytes, destination=2)
        await harness.start()

        def make(number: int) -> bytes:
            return format_submission(f"slow-{number}", "status", 2)

        await check_regular_clients(harness, [repeat(harness, numbered(make)) for _ in range(2)])
        assert slow.request_ids

    run_scenario(scenario, tmp_path, policy_limits=POLICY_LIMITS)
