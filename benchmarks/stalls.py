"""Measure missing final statuses, late final statuses and late calls of stalled or overloaded relays.

python -m benchmarks.stalls [--quick]; the last line is JSON. Each field holds `now` and `before`, the program
of an earlier commit on the same schedule (left out without the git history):
  taken          messages accepted by four relays, each stopped (SIGSTOP) repeatedly for 0.2 to 3 s
  no_end         of these neither run nor reported 1 s after their deadline and the last stall
  late_end       reported over 0.3 s after their deadline, and over 0.1 s after the end of the last stall
  late_effects   calls started over 0.05 s after the deadline of their message
  unsafe_twice   effects beyond the first of messages that must not run twice
  unjudged       late calls and reports while the benchmark itself was late; counted in no field above
  longest_turn_ms
                 the longest iteration of a relay's event loop while clients submit 130% of its capacity
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.process import ROOT, extract_program, run
from tests.standins.fake_host import Behaviour, Call, FakeHost, ResponsePlan
from tests.standins.harness import SETTINGS, RelayHarness, format_submission, read_response

BEFORE = "b0decec"
RELAYS, CLIENTS = 4, 6
# How late reports (after the deadline, after a stall) and calls may be.
REPORT_GRACE_S, STALL_GRACE_S, CALL_GRACE_S = 0.3, 0.1, 0.05
MAX_OWN_DELAY_S = 0.02  # of this process; beyond it, its times are not used
CLIENT_TIMEOUT_S = 0.4  # a client then closes a connection that has not answered
LIMITS = {"conn_idle": 15_000_000, "connect_timeout": 1_000_000, "most_held": 300, "most_tries": 12}
# Runs a relay that prints the duration of each event loop iteration that is the longest so far to stderr.
# SIGUSR1 starts the measurement again.
TIMED_RELAY = """
import selectors, signal, sys, time
original_select, wait_ended_at, longest = selectors.EpollSelector.select, [0.0], [0.0]
def select(self, timeout=None):
    now = time.monotonic()
    if wait_ended_at[0] and now - wait_ended_at[0] > longest[0]:
        longest[0] = now - wait_ended_at[0]
        print(f"longest pass {longest[0] * 1000:.1f}", file=sys.stderr, flush=True)
    ready = original_select(self, timeout)
    wait_ended_at[0] = time.monotonic()
    return ready
selectors.EpollSelector.select = select
def reset(*_):
    longest[0], wait_ended_at[0] = 0.0, 0.0
    print("longest pass 0", file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, reset)
from loftrelay.__main__ import main
sys.exit(main(sys.argv[1:]))
"""


@dataclass
class RelayRecord:
    """Observations of one relay's clients and host, by message id. Times are Unix time."""

    deadlines: dict[str, float] = field(default_factory=dict)  # of accepted messages
    last_call_at: dict[str, float] = field(default_factory=dict)
    stalls: list[tuple[float, float]] = field(default_factory=list)


class DelayMonitor:
    """Records the times at which this process itself was late, and so read events later than they came."""

    def __init__(self) -> None:
        self.delays: list[tuple[float, float]] = []

    async def run(self) -> None:
        while True:
            due = time.time() + 0.005
            await asyncio.sleep(0.005)
            if time.time() - due > MAX_OWN_DELAY_S:
                self.delays.append((due, time.time()))

    def was_late_at(self, when: float) -> bool:
        return any(start <= when <= end + MAX_OWN_DELAY_S for start, end in self.delays)


class RelayGroup:
    """Relays of one program version, each with a host and a stub platform."""

    def __init__(self, folder: Path, root: Path, relay_count: int) -> None:
        self.folder, self.root, self.relay_count = folder, root, relay_count
        self.harnesses: list[RelayHarness] = []
        self.hosts: list[FakeHost] = []
        self.records: list[RelayRecord] = []

    async def start(self, behaviour: Behaviour, program: list[str] | None = None, **extra: Any) -> None:
        for n in range(self.relay_count):
            (self.folder / str(n)).mkdir(parents=True)
            harness = RelayHarness(
                self.folder / str(n), policy_limits=LIMITS, extra={**SETTINGS["extra"], **extra}
            )
            await harness.__aenter__()
            self.harnesses.append(harness)
            host = FakeHost(behaviour, seed=n)
            await host.__aenter__()
            self.hosts.append(host)
            harness.root, harness.program = self.root, program or harness.program
            harness.limits |= {"disk_mb": 20}
            harness.add_endpoint(1, "plain", "Ready", "{}:{}".format(*host.address))
            await harness.start()
            self.records.append(RelayRecord())

    async def close(self) -> None:
        for harness in self.harnesses:
            await harness.__aexit__()
        for host in self.hosts:
            await host.__aexit__()

    async def run_client(self, n: int, class_name: str, until: float, pause: float, seed: int) -> None:
        """Runs a client that submits messages one after another, and reconnects after a timeout or error."""
        harness, record, rng = self.harnesses[n], self.records[n], random.Random(seed)
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        count = 0
        while time.time() < until:
            count += 1
            name, timeout_s = f"{class_name[0]}{seed}-{count}", rng.uniform(0.5, 2.5)
            path = {"path": f"/order/k{seed}-{count % 3}"} if class_name == "order" else {}
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    stream = stream or await asyncio.open_connection(*harness.address)
                    sent_at = time.time()
                    timeout_ms = str(int(timeout_s * 1000))
                    stream[1].write(
                        format_submission(name, class_name, Request_Timeout_Ms=timeout_ms, **path)  # type: ignore[arg-type]
                    )
                    status_line, headers, _ = await read_response(stream[0])
                if status_line.split()[1] == "202":
                    record.deadlines[name] = sent_at + timeout_s
                if headers.get("connection") == "close":
                    raise ConnectionError
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                if stream is not None:
                    stream[1].close()
                stream = None
            await asyncio.sleep(pause * rng.uniform(0.5, 1.5))
        if stream is not None:
            stream[1].close()

    async def stall_repeatedly(self, n: int, until: float, seed: int) -> None:
        """Stops and continues the process of a relay at random times."""
        rng, process = random.Random(seed), self.harnesses[n].process
        assert process is not None
        while time.time() < until:
            await asyncio.sleep(rng.uniform(0.1, 1.2))
            started_at = time.time()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.choice((0.2, 0.4, 0.8, 1.5, 3.0)))
            process.send_signal(signal.SIGCONT)
            self.records[n].stalls.append((started_at, time.time()))

    async def run(self, seconds: float) -> None:
        """Runs clients and stalls, then waits until 1 s after the last deadline."""
        until = time.time() + seconds
        tasks = []
        for n in range(self.relay_count):
            tasks.append(self.stall_repeatedly(n, until - 1.0, n))
            for c in range(CLIENTS):
                tasks.append(self.run_client(n, ("order", "status")[c % 2], until, 0.04, 10 * n + c))
        await asyncio.gather(*tasks)
        last_deadline = max(
            (deadline for record in self.records for deadline in record.deadlines.values()), default=0.0
        )
        await asyncio.sleep(max(0.0, last_deadline + 1.0 - time.time()))

    def evaluate(self, monitor: DelayMonitor) -> dict[str, int]:
        figures = dict.fromkeys(
            ("taken", "no_end", "late_end", "late_effects", "unsafe_twice", "unjudged"), 0
        )
        offset = time.time() - asyncio.get_running_loop().time()
        for harness, host, record in zip(self.harnesses, self.hosts, self.records, strict=True):
            figures["taken"] += len(record.deadlines)
            for call in host.calls:
                for name in call.message_ids:
                    record.last_call_at[name] = max(
                        record.last_call_at.get(name, 0.0), call.received_at + offset
                    )
            for name, deadline in record.deadlines.items():
                reported_at = harness.reported_at.get(name)
                figures["no_end"] += reported_at is None and not host.responses[name]
                stall_ends = [
                    end for start, end in record.stalls if reported_at is not None and start <= reported_at
                ]
                is_late = reported_at is not None and reported_at > deadline + REPORT_GRACE_S
                if is_late and (not stall_ends or (reported_at or 0.0) > max(stall_ends) + STALL_GRACE_S):
                    figures["unjudged" if monitor.was_late_at(reported_at or 0.0) else "late_end"] += 1
                if (called_at := record.last_call_at.get(name, 0.0)) > deadline + CALL_GRACE_S:
                    figures["unjudged" if monitor.was_late_at(called_at) else "late_effects"] += 1
                figures["unsafe_twice"] += name.startswith("o") and host.executions[name] > 1
        return figures


def plan_response(call: Call) -> ResponsePlan:
    """Plans a short delay for most calls, no response for some, and a rejection for others.

    Thus calls and status reports are in flight at any time.
    """
    variant = sum(map(ord, call.message_ids[0])) % 12
    if variant == 0:
        return ResponsePlan(0)
    if variant in (1, 2):
        return ResponsePlan(503)
    return ResponsePlan(200, delay_s=0.03 * variant)


async def measure_stalls(folder: Path, roots: dict[str, Path], seconds: float) -> dict[str, dict[str, int]]:
    """Returns the figures of each program version, by the name of its root."""
    groups = {name: RelayGroup(folder / name, root, RELAYS) for name, root in roots.items()}
    monitor = DelayMonitor()
    monitoring = asyncio.create_task(monitor.run())
    try:
        for relays in groups.values():
            await relays.start(Behaviour(plan_response), call_slots=12)
        await asyncio.gather(*(relays.run(seconds) for relays in groups.values()))
        return {name: relays.evaluate(monitor) for name, relays in groups.items()}
    finally:
        monitoring.cancel()
        for relays in groups.values():
            await relays.close()


async def measure_longest_iteration(folder: Path, root: Path, seconds: float) -> float:
    """Returns the longest event loop iteration of a relay in milliseconds, from 1 s after its start.

    Clients submit 130% of what its call slots can carry.
    """
    relays = RelayGroup(folder, root, 1)
    try:
        rate = 8 / 0.02
        await relays.start(
            Behaviour(lambda call: ResponsePlan(200, delay_s=0.02)), ["-c", TIMED_RELAY], call_slots=8
        )  # the concurrency window uses three quarters of the slots
        until, clients = time.time() + seconds, 80
        pause = clients / (1.3 * rate)
        warmed_up_at = time.time() + 1.0
        tasks = [
            asyncio.create_task(relays.run_client(0, ("order", "status")[c % 2], until, pause, c))
            for c in range(clients)
        ]
        await asyncio.sleep(warmed_up_at - time.time())
        assert relays.harnesses[0].process is not None
        relays.harnesses[0].process.send_signal(signal.SIGUSR1)  # leaves out the start
        await asyncio.gather(*tasks)
        lines = [line for line in relays.harnesses[0].log if line.startswith("longest pass")]
        return float(lines[-1].split()[-1]) if lines else 0.0
    finally:
        await relays.close()


async def measure(quick: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        roots = {"now": ROOT}
        if (before := extract_program(BEFORE, folder / "before")) is not None:
            roots["before"] = before
        figures = await measure_stalls(folder / "stalls", roots, 16.0 if quick else 120.0)
        for version, root in roots.items():
            with contextlib.suppress(OSError):
                longest_ms = await measure_longest_iteration(
                    folder / "turn" / version, root, 6.0 if quick else 30.0
                )
                figures[version]["longest_turn_ms"] = round(longest_ms)
    fields = figures["now"]
    return {
        "before_commit": BEFORE,
        **{name: {version: figures[version][name] for version in figures} for name in fields},
    }


if __name__ == "__main__":
    run("stalls", __doc__, measure)
