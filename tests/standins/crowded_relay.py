"""One relay between a crowd of slow clients (`tests.standins.crowd`) and regular ones, with its memory."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins.harness import ROOT, TEST_TIMEOUT_S, RelayHarness, format_submission, read_response

REGULAR_CLIENTS = 4
PAUSE_S = 0.1  # between the messages of a regular client
RESPONSE_WAIT_S = 0.4  # of a client
LATE_CLIENT_S = 0.1  # a client whose own loop was so late says nothing about the relay
MESSAGE_TIME_MS = 4_000
REPORT_MARGIN_S = 0.5
RESTART_MARGIN_S = 1.5  # after a restart is ready no report is overdue
HELD_DESTINATION = 2
HELD_BODY = b"x" * 64_000
HELD_TIME_MS = 20_000
SAMPLE_INTERVAL_S = 0.02

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def write_figures(line: str) -> None:
    """Appends a line of figures to the file that CROWD_FIGURES names, if it is set."""
    print(line)
    if path := os.environ.get("CROWD_FIGURES"):
        with Path(path).open("a") as file:
            file.write(line + "\n")


def memory_kib(process_id: int, name: str) -> int:
    """Returns a field of /proc/PID/status; 0 once the process has ended."""
    with contextlib.suppress(OSError, StopIteration):
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
        return int(next(line.split()[1] for line in lines if line.startswith(name)))
    return 0


async def exchange(request: bytes, streams: Streams) -> tuple[str, Streams | None]:
    """Sends a request; returns the status and the connection, closed and None unless it stays open."""
    reader, writer = streams
    is_kept = False
    try:
        writer.write(request)
        start, headers, _ = await read_response(reader)
        is_kept = headers.get("connection") != "close"
    finally:
        if not is_kept:
            writer.close()
    return start.split()[1], streams if is_kept else None


@dataclass
class MemoryWatch:
    """Resident memory of the relay's processes, sampled.

    Attributes:
        peak_kib: The most that one process has had.
        pair_kib: The most that two processes had together, during an upgrade.
    """

    harness: RelayHarness
    peak_kib: int = 0
    pair_kib: int = 0

    async def run(self) -> None:
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        both = [each for each in (self.harness.process, self.harness.predecessor) if each is not None]
        running = {process.pid for process in both if process.returncode is None}
        self.peak_kib = max([self.peak_kib, *(memory_kib(pid, "VmHWM") for pid in running)])
        if len(running) > 1:
            self.pair_kib = max(self.pair_kib, sum(memory_kib(pid, "VmRSS") for pid in running))


@dataclass
class RegularClients:
    """Clients that submit a message every PAUSE_S, each on a connection that it keeps.

    Attributes:
        due_at: Deadline (Unix time) of each accepted message.
        answered: Number of requests that got an answer.
        unanswered: Ids of requests without an answer in time.
        is_relay_up: Whether a relay is ready; requests that began or ended in an outage are not counted.
    """

    harness: RelayHarness
    body: bytes = b"hello"
    due_at: dict[str, float] = field(default_factory=dict)
    answered: int = 0
    unanswered: list[str] = field(default_factory=list)
    is_relay_up: bool = True

    async def run(self, seconds: float) -> None:
        ends_at = time.monotonic() + seconds
        await asyncio.gather(*(self._run_client(number, ends_at) for number in range(REGULAR_CLIENTS)))

    async def _run_client(self, number: int, ends_at: float) -> None:
        streams: Streams | None = None
        for count in itertools.count():
            if time.monotonic() >= ends_at:
                break
            streams = await self._submit(f"regular{number}-{count}", streams)
            await asyncio.sleep(PAUSE_S)
        if streams is not None:
            streams[1].close()

    async def _submit(self, name: str, streams: Streams | None) -> Streams | None:
        began_at, due_at = time.monotonic(), time.time() + MESSAGE_TIME_MS / 1000
        was_up = self.is_relay_up
        request = format_submission(name, body=self.body, Request_Timeout_Ms=str(MESSAGE_TIME_MS))
        status, kept = None, None
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError, IndexError):
            async with asyncio.timeout(RESPONSE_WAIT_S):
                status, kept = await self._exchange(request, streams)
        if status == "202":
            self.due_at[name] = due_at
        if status is not None:
            self.answered += 1
        elif was_up and self.is_relay_up and time.monotonic() - began_at < RESPONSE_WAIT_S + LATE_CLIENT_S:
            self.unanswered.append(name)
        return kept

    async def _exchange(self, request: bytes, streams: Streams | None) -> tuple[str, Streams | None]:
        """Sends a request; once more on a new connection if the relay has closed the one that was kept."""
        if streams is not None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, IndexError):
                return await exchange(request, streams)
        return await exchange(request, await asyncio.open_connection(*self.harness.address))

    def lost(self, ready_again_at: float) -> list[str]:
        """Returns the accepted messages that were neither delivered nor reported in time."""
        reported_at = self.harness.reported_at
        delivered = {name for server in self.harness.servers for name in server.request_ids}
        lost = []
        for name, due_at in self.due_at.items():
            allowed_until = max(due_at + REPORT_MARGIN_S, ready_again_at + RESTART_MARGIN_S)
            if name not in delivered and reported_at.get(name, float("inf")) > allowed_until:
                lost.append(name)
        return lost


class CrowdedRelay:
    """A relay, the crowd before it, and its regular clients.

    Attributes:
        regular: The regular clients.
        memory: Memory of the relay's processes.
    """

    def __init__(self, harness: RelayHarness, body: bytes = b"hello") -> None:
        self.harness = harness
        self.regular = RegularClients(harness, body)
        self.memory = MemoryWatch(harness)
        self.ready_again_at = 0.0
        self.held: list[str] = []
        self._crowd: asyncio.subprocess.Process | None = None

    async def start_crowd(self, kinds: str, clients: int, seed: int) -> None:
        host, port = self.harness.address
        arguments = (f"{host}:{port}", kinds, str(clients), str(seed))
        self._crowd = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.standins.crowd", *arguments, cwd=ROOT
        )

    async def stop_crowd(self) -> None:
        if self._crowd is not None and self._crowd.returncode is None:
            self._crowd.kill()
            await self._crowd.wait()

    async def hold_messages(self, count: int) -> None:
        """Submits messages that wait, since the only host of their destination is terminating."""
        for number in range(count):
            name = f"held-{number}-{time.monotonic():.3f}"
            status = await self.harness.submit(
                name, destination=HELD_DESTINATION, body=HELD_BODY, Request_Timeout_Ms=str(HELD_TIME_MS)
            )
            if status == 202:
                self.held.append(name)
                self.regular.due_at[name] = time.time() + HELD_TIME_MS / 1000

    async def kill_and_restart(self) -> None:
        self.regular.is_relay_up = False
        self.memory.sample()
        await self.harness.kill()
        self.harness.process = await self.harness.spawn()
        await self.harness.wait_until_ready()
        self.ready_again_at = time.time()
        self.regular.is_relay_up = True

    async def end_and_check_messages(self) -> list[str]:
        """Waits until all messages are over; returns those that were lost."""
        last = max(self.regular.due_at.values(), default=0.0)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await asyncio.sleep(max(0.0, last + REPORT_MARGIN_S + RESTART_MARGIN_S - time.time()))
        return self.regular.lost(self.ready_again_at)
