"""Measure upgrades under load, the accuracy of metrics, and the cost of admin commands.

python -m benchmarks.service [--quick]; the last line is JSON:
  upgrades, messages       processes replaced while 16 clients submit on persistent connections; accepted
                           messages
  lost, twice, order_breaks, refused_or_reset
                           accepted and neither run nor reported as failed; effects beyond one; messages of an
                           ordering key that ran out of order; requests whose connection was refused, reset or
                           closed
  figures_off              metrics of a process that differ from what clients, host and platform observed
  ready_ms                 from the start of the successor until it is ready, the median
  control_p99_ms, ratio    of admin commands while 16 clients submit; that over the same on an idle relay
  memory_ratio, descriptors_ratio
                           peak of both processes during an upgrade over one process (memory: proportional set
                           size, so that shared pages count once)
  throughput_ratio         messages a second with one admin command a second over none, alternating in one run
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import statistics
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.process import run
from tests.standins.harness import (
    SETTINGS,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    format_submission,
    free_port,
    read_response,
)

CLIENTS, KEYS = 16, 24
LIMITS = {"conn_idle": 15_000_000, "connect_timeout": 1_000_000, "most_held": 400, "most_tries": 12}
EXTRA = {**SETTINGS["extra"], "call_slots": 32}


class OrderClient:
    """Submits orders one after another on a persistent connection, with its ordering keys in rotation."""

    def __init__(self, harness: RelayHarness, number: int) -> None:
        self.harness, self.number = harness, number
        self.count = 0
        self.accepted: list[tuple[str, str]] = []  # ordering key and message id, in order of submission
        self.statuses: Counter[int] = Counter()
        self.connection_errors = 0
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def submit(self) -> int:
        """Submits one order; returns the HTTP status, or 0 after a connection error."""
        self.count += 1
        name, key = f"c{self.number}-{self.count}", f"k{self.number}-{self.count % KEYS}"
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection(*self.harness.address)
            reader, writer = self.stream
            writer.write(format_submission(name, "order", path=f"/order/{key}", Request_Timeout_Ms="20000"))
            status_line, _, _ = await read_response(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.connection_errors += 1
            self.close()
            return 0
        status = int(status_line.split()[1])
        self.statuses[status] += 1
        if status == 202:
            self.accepted.append((key, name))
        return status

    def close(self) -> None:
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def run_load(clients: list[OrderClient], done: asyncio.Event, pause: float) -> None:
    """Runs the clients until `done` is set, with a pause in seconds after each accepted order."""

    async def run_client(client: OrderClient) -> None:
        while not done.is_set():
            status = await client.submit()
            await asyncio.sleep(pause if status == 202 else 0.02)

    await asyncio.gather(*(run_client(client) for client in clients))


def make_harness(folder: Path) -> RelayHarness:
    folder.mkdir()
    harness = RelayHarness(folder, policy_limits=LIMITS, extra=EXTRA)
    harness.limits |= {"sockets": 512, "disk_mb": 20}
    harness.share_listener()
    harness.admin_address = f"127.0.0.1:{free_port()}"
    return harness


async def start_slow_host(harness: RelayHarness) -> StubServer:
    async def deliver(_: Request) -> bytes:
        await asyncio.sleep(0.005)
        return format_response(200)

    return await harness.start_host(deliver)


def memory_kb(pid: int) -> int:
    """Returns the proportional set size, or the resident set size where the system doesn't report it."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1])
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4


def count_descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def upgrade(harness: RelayHarness) -> tuple[float, float, float]:
    """Replaces the process of a relay by a successor.

    Returns the seconds until the successor is ready, and the peak memory and descriptors of both processes
    over those of the predecessor alone.
    """
    assert harness.process is not None
    old = harness.process.pid
    baseline = memory_kb(old), count_descriptors(old)
    started = time.monotonic()
    await harness.start_successor()
    peak = (0, 0)
    ready = asyncio.create_task(harness.wait_until_ready())
    while not ready.done():
        with contextlib.suppress(OSError):
            both = (
                memory_kb(old) + memory_kb(harness.process.pid),
                count_descriptors(old) + count_descriptors(harness.process.pid),
            )
            peak = max(peak[0], both[0]), max(peak[1], both[1])
        await asyncio.sleep(0.005)
    ready_s = time.monotonic() - started
    assert harness.predecessor is not None
    harness.predecessor.terminate()
    await harness.predecessor.wait()
    return ready_s, peak[0] / baseline[0], peak[1] / baseline[1]


async def measure_upgrades(folder: Path, count: int) -> dict[str, Any]:
    """Upgrades a relay under load this many times; returns the figures."""
    async with make_harness(folder) as harness:
        host = await start_slow_host(harness)
        await harness.start()
        clients, done = [OrderClient(harness, n) for n in range(CLIENTS)], asyncio.Event()
        load_task = asyncio.create_task(run_load(clients, done, 0.005))
        await harness.wait_until(lambda: host.response_count > 200)
        measurements = []
        for _ in range(count):
            measurements.append(await upgrade(harness))
            reached = host.response_count + 100
            await harness.wait_until(lambda wanted=reached: host.response_count > wanted)  # type: ignore[misc]
        done.set()
        await load_task
        accepted = [pair for client in clients for pair in client.accepted]
        final_timeout = asyncio.timeout(25)
        with contextlib.suppress(TimeoutError):
            async with final_timeout:
                await harness.wait_until(
                    lambda: (
                        {name for _, name in accepted}
                        <= {*host.request_ids, *(n["id"] for n in harness.status_reports)}
                    )
                )
        runs = Counter(host.request_ids)
        run_index = {name: n for n, name in enumerate(host.request_ids)}
        reported = {report["id"] for report in harness.status_reports}
        breaks = 0
        last_index: dict[str, int] = {}
        for key, name in accepted:
            if name in run_index:
                breaks += run_index[name] < last_index.get(key, -1)
                last_index[key] = run_index[name]
        for client in clients:
            client.close()
        return {
            "upgrades": count,
            "messages": len(accepted),
            "lost": sum(name not in runs and name not in reported for _, name in accepted),
            "twice": sum(n - 1 for n in runs.values()),
            "order_breaks": breaks,
            "refused_or_reset": sum(client.connection_errors for client in clients),
            "ready_ms": round(statistics.median(ready_s for ready_s, _, _ in measurements) * 1000),
            "memory_ratio": round(max(m for _, m, _ in measurements), 2),
            "descriptors_ratio": round(max(d for _, _, d in measurements), 2),
        }


async def time_admin_command(harness: RelayHarness, line: str) -> tuple[float, str]:
    """Returns the seconds that an admin command takes, and the reply."""
    started = time.perf_counter()
    reply = await harness.call_admin(line)
    return time.perf_counter() - started, reply


def p99_ms(times: list[float]) -> float:
    """Returns the 99th percentile of times in seconds, in milliseconds."""
    return sorted(times)[min(len(times) - 1, int(len(times) * 0.99))] * 1000


async def measure_admin(folder: Path, calls: int, seconds: float, rounds: int) -> dict[str, Any]:
    """Measures admin commands on an idle relay and under load, metrics, and throughput with and without them.

    Throughput is measured in `rounds` pairs of spans of `seconds`, the second of each pair with a command.
    """
    async with make_harness(folder) as harness:
        host = await start_slow_host(harness)
        await harness.start()
        await harness.wait_until_ready()
        idle = [(await time_admin_command(harness, "show-stat"))[0] for _ in range(calls)]
        clients, done = [OrderClient(harness, n) for n in range(CLIENTS)], asyncio.Event()
        load_task = asyncio.create_task(run_load(clients, done, 0))
        await harness.wait_until(lambda: host.response_count > 500)
        busy = [(await time_admin_command(harness, "show-stat"))[0] for _ in range(calls)]
        rates: dict[bool, list[float]] = {False: [], True: []}
        for span in range(2 * rounds):
            has_command = span % 2 == 1
            started, before = time.perf_counter(), host.response_count
            if has_command:
                await harness.call_admin("show-stat")
            await asyncio.sleep(seconds)
            rates[has_command].append((host.response_count - before) / (time.perf_counter() - started))
        done.set()
        await load_task
        accepted = sum(len(client.accepted) for client in clients)
        rejected = sum(client.statuses[503] for client in clients)
        await harness.wait_until(lambda: len(set(host.request_ids)) + len(harness.status_reports) >= accepted)
        expected = {
            "app.succeeded.order": len(set(host.request_ids)),
            "app.aborted.order": len(harness.status_reports),
            "app.declined.order": rejected,
            "app.forwards": len(host.request_ids),
            "app.outstanding": 0,
            "app.discovered": 1,
            "app.sighup_applied": 0,
            "app.sighup_rejected": 0,
        }
        differing = len(expected)
        for _ in range(50):  # the last response may still be in transit
            metrics = dict(
                line.split("=") for line in (await harness.call_admin("show-stat")).splitlines()[:-1]
            )
            differing = sum(int(metrics[name]) != value for name, value in expected.items())
            if not differing:
                break
            await asyncio.sleep(0.02)
        for client in clients:
            client.close()
        ratios = [a / b for a, b in zip(rates[True], rates[False], strict=True)]
        return {
            "figures_off": differing,
            "control_p99_ms": round(p99_ms(busy), 1),
            "ratio": round(p99_ms(busy) / p99_ms(idle), 1),
            "throughput": round(statistics.median(rates[False])),
            "throughput_ratio": round(statistics.median(ratios), 3),
        }


async def measure(quick: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        result = await measure_upgrades(Path(name) / "upgrades", 4 if quick else 30)
        return result | await measure_admin(
            Path(name) / "service", 200 if quick else 2000, 1.0, 4 if quick else 20
        )


if __name__ == "__main__":
    run("service", __doc__, measure)
