"""Measure throughput with and without the store of record, and whether store and host agree after faults.

python -m benchmarks.record [--quick]; the last line is JSON:
  messages, kills, cuts, disagreements, duplicates
                       orders, half of them while the relay is killed (SQLite), half while its connection is
                       cut at random bytes (a stub of PostgreSQL; cuts is null without psycopg)
  none, follows, required                      messages a second through the whole relay, in rounds of one
                       run: 48 clients, 8 hosts; each client continues when its message has run
  cpu_us                                       CPU time of the relay for each message, in the three modes
  follows_ratio, required_ratio                medians over the rounds of the ratio to `none` in the same
                       round
  commits_per_message                          with `required`, for all changes of a message: the effect of
                       group commit
  commit_ms                                    one commit of one change on this disk, the median
  take_p99_ms                                  acceptance of a message with `required`
  recorded                                     records in the store at the end
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import signal
import statistics
import tempfile
import threading
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from benchmarks.process import cpu_seconds, run
from loftrelay.store.backend import RecordQuery
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import (
    Change,
    ChangeKind,
    MessageMetadata,
    MessageRecord,
    StoredFinalStatus,
)
from tests.program.test_connections import POLICY_LIMITS
from tests.standins.fake_host import FakeHost
from tests.standins.harness import SETTINGS, RelayHarness
from tests.standins.submissions import Client, Submission, SubmissionLog

DESTINATIONS, CLIENTS = 8, 48
EXTRA = {**SETTINGS["extra"], "call_slots": 64}


def use_store(harness: RelayHarness, mode: str) -> Path:
    """Configures a SQLite store with this mode for unsafe messages; returns its path."""
    path = harness.folder / "record.sqlite"
    (harness.folder / "record.toml").write_text(f'file = "{path}"\nunsafe = "{mode}"\n')
    harness.arguments = ["--record", str(harness.folder / "record.toml")]
    return path


async def measure_kills(folder: Path, count: int) -> dict[str, int]:
    """Submits `count` orders while the relay is killed and restarted, then compares store and host."""
    rng = random.Random(5)
    async with RelayHarness(folder, policy_limits=POLICY_LIMITS, extra=EXTRA) as harness, FakeHost() as host:
        harness.limits["disk_mb"] = 50
        path = use_store(harness, "required")
        harness.add_endpoint(1, "plain", "Ready", "{}:{}".format(*host.address))
        await harness.start()
        log, kills, number = SubmissionLog(), 0, 0
        while len(log.admitted) < count:
            stop = asyncio.Event()

            async def run_client(n: int, stop: asyncio.Event) -> None:
                nonlocal number
                client = Client(harness, log)
                while not stop.is_set() and len(log.admitted) < count:
                    number += 1
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await client.submit(Submission(f"o{number}", "order", 1, f"k{n}-{number}", 20.0))
                client.close()

            clients = [asyncio.create_task(run_client(n, stop)) for n in range(16)]
            kill_count = len(log.admitted) + rng.randrange(count // 8, count // 4)
            while len(log.admitted) < min(kill_count, count) and not all(c.done() for c in clients):
                await asyncio.sleep(0.005)
            if len(log.admitted) < count:
                await harness.kill()
                kills += 1
            stop.set()
            await asyncio.gather(*clients)
            if harness.process is not None and harness.process.returncode is not None:
                await harness.start()
        async with asyncio.timeout(60):
            while True:
                store = SQLiteStore(path)
                records = {entry.message_id: entry for entry in store.select(RecordQuery())}
                errors = store.verify()
                store.close()
                if all(name in records and records[name].reported_at is not None for name in log.admitted):
                    break
                await asyncio.sleep(0.1)
        return {"kills": kills, **compare_records(records, errors, host, log)}


def compare_records(
    records: dict[str, MessageRecord], errors: list[str], host: FakeHost, log: SubmissionLog
) -> dict[str, int]:
    """Counts disagreements between the store and the host, and duplicate executions.

    `errors` are those that the store found when it verified itself.
    """
    disagreements = len(errors) + len(set(host.executions) - set(records))
    for name, entry in records.items():
        is_executed = host.executions[name] > 0
        if (entry.final_status is StoredFinalStatus.DELIVERED and not is_executed) or (
            entry.final_status is StoredFinalStatus.REJECTED and is_executed
        ):
            disagreements += 1
    duplicates = sum(executions - 1 for executions in host.executions.values())
    return {"messages": len(log.admitted), "disagreements": disagreements, "duplicates": duplicates}


async def measure_connection_cuts(folder: Path, count: int) -> dict[str, int | None]:
    """Submits `count` orders while the connection to a stub of PostgreSQL is cut at random bytes."""
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError:
        return {"messages": 0, "cuts": None, "disagreements": 0, "duplicates": 0}
    from tests.standins.fake_postgres import FakePostgresServer, Faults, cut_connection

    rng, lock = random.Random(5), threading.Lock()

    def draw_fault() -> Faults:
        with lock:
            return cut_connection(rng.choice(("received", "sent")), rng.randrange(10_000, 250 * count))

    with FakePostgresServer(folder / "server.sqlite") as server:
        server.draw_faults = draw_fault
        async with (
            RelayHarness(folder, policy_limits=POLICY_LIMITS, extra=EXTRA) as harness,
            FakeHost() as host,
        ):
            harness.limits["disk_mb"] = 50
            (harness.folder / "record.toml").write_text(f'dsn = "{server.dsn}"\n')
            harness.arguments = ["--record", str(harness.folder / "record.toml")]
            harness.add_endpoint(1, "plain", "Ready", "{}:{}".format(*host.address))
            await harness.start()
            log = SubmissionLog()

            async def run_client(n: int) -> None:
                client = Client(harness, log)
                for i in range(n, count, 16):
                    while await client.submit(Submission(f"o{i}", "order", 1, f"k{i}", 20.0)) == 503:
                        await asyncio.sleep(0.02)
                client.close()

            await asyncio.gather(*(run_client(n) for n in range(16)))
            server.draw_faults = None
            server.close_connections()
            async with asyncio.timeout(60):
                while True:
                    store = await asyncio.to_thread(PostgresStore, server.dsn)
                    entries = await asyncio.to_thread(list, store.select(RecordQuery()))
                    records = {entry.message_id: entry for entry in entries}
                    errors = await asyncio.to_thread(store.verify)
                    store.close()
                    if all(
                        name in records and records[name].reported_at is not None for name in log.admitted
                    ):
                        break
                    await asyncio.sleep(0.1)
            return {"cuts": server.cut_count, **compare_records(records, errors, host, log)}


async def measure_rates(base: Path, rounds: int, size: int) -> dict[str, Any]:
    """Measures the throughput of the three modes, with `size` messages of each in a round.

    The modes alternate, so that other load on the machine affects all alike. Each client waits until its
    message has run: with a backlog the figures would show how the decision module ranks it, which is the same
    in all modes.
    """
    async with AsyncExitStack() as stack:
        relays: dict[str, tuple[RelayHarness, list[FakeHost], SubmissionLog]] = {}
        store_path = Path()
        for mode in ("none", "follows", "required"):
            (base / mode).mkdir()
            harness = await stack.enter_async_context(
                RelayHarness(base / mode, policy_limits=POLICY_LIMITS, extra=EXTRA)
            )
            harness.limits["disk_mb"] = 50
            hosts = [await stack.enter_async_context(FakeHost()) for _ in range(DESTINATIONS)]
            for n, host in enumerate(hosts):
                harness.add_endpoint(n + 1, "plain", "Ready", "{}:{}".format(*host.address))
            if mode != "none":
                store_path = use_store(harness, mode)
            await harness.start()
            relays[mode] = harness, hosts, SubmissionLog()
        accept_times: list[float] = []
        cpu: dict[str, list[float]] = {mode: [] for mode in relays}

        async def run_round(mode: str, first: int) -> float:
            """Submits the messages of one round; returns messages a second."""
            harness, hosts, log = relays[mode]
            assert harness.process is not None

            async def run_client(n: int) -> None:
                client, host = Client(harness, log), hosts[n % DESTINATIONS]
                for i in range(n, size, CLIENTS):
                    submitted_at, name = time.perf_counter(), f"m{first + i}"
                    submission = Submission(name, "order", n % DESTINATIONS + 1, f"k{first + i}", 20.0)
                    while await client.submit(submission) != 202:
                        await asyncio.sleep(0.001)
                    if mode == "required":
                        accept_times.append(time.perf_counter() - submitted_at)
                    await host.wait_until(lambda: host.responses[name] > 0)  # noqa: B023
                client.close()

            started, cpu_before = time.perf_counter(), cpu_seconds(harness.process.pid)
            await asyncio.gather(*(run_client(n) for n in range(CLIENTS)))
            cpu[mode].append((cpu_seconds(harness.process.pid) - cpu_before) / size * 1e6)
            return size / (time.perf_counter() - started)

        rates: dict[str, list[float]] = {mode: [] for mode in relays}
        for n in range(rounds + 1):
            for mode in relays:
                rates[mode].append(await run_round(mode, n * size))
        for mode_rates in rates.values():
            del mode_rates[0]  # connections are opened and windows grow in the first round
        result: dict[str, Any] = {
            mode: round(statistics.median(mode_rates)) for mode, mode_rates in rates.items()
        }
        result["cpu_us"] = {mode: round(statistics.median(mode_cpu[1:])) for mode, mode_cpu in cpu.items()}
        for mode in ("follows", "required"):
            ratios = [a / b for a, b in zip(rates[mode], rates["none"], strict=True)]
            result[f"{mode}_ratio"] = round(statistics.median(ratios), 3)
        result["take_p99_ms"] = round(sorted(accept_times)[int(len(accept_times) * 0.99)] * 1000, 1)
        for mode, (harness, _, log) in relays.items():
            await harness.stop(signal.SIGTERM)
            if mode == "required":
                match = re.search(r"(\d+) changes stored in (\d+) commits", "\n".join(harness.log))
                assert match is not None
                result["commits_per_message"] = round(int(match[2]) / len(log.admitted), 3)
        final_store = SQLiteStore(store_path)
        result["recorded"] = sum(1 for _ in final_store.select(RecordQuery()))
        final_store.close()
        return result


def measure_commit_ms(folder: Path, count: int = 50) -> float:
    """Returns the median time of a commit of one change."""
    store = SQLiteStore(folder / "probe.sqlite")
    times = []
    for i in range(count):
        metadata = MessageMetadata("n", "order", None, 1, None, 0, "00" * 32)
        started = time.perf_counter()
        store.commit([Change(f"m{i}", 1, 1, ChangeKind.ADMIT, i, metadata=metadata)])
        times.append(time.perf_counter() - started)
    store.close()
    return statistics.median(times) * 1000


async def measure(quick: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(dir=".") as name:  # on the disk of the project, not in memory
        base = Path(name).resolve()
        (base / "agree").mkdir()
        (base / "rates").mkdir()
        (base / "cut").mkdir()
        half_count = 250 if quick else 5_000
        kill_figures, cut_figures = (
            await measure_kills(base / "agree", half_count),
            await measure_connection_cuts(base / "cut", half_count),
        )
        result: dict[str, Any] = {
            name: kill_figures[name] + (cut_figures[name] or 0)
            for name in ("messages", "disagreements", "duplicates")
        }
        result |= {"kills": kill_figures["kills"], "cuts": cut_figures["cuts"]}
        result |= await measure_rates(base / "rates", 3 if quick else 9, 480 if quick else 3000)
        result["commit_ms"] = round(measure_commit_ms(base), 2)
    return result


if __name__ == "__main__":
    run("record", __doc__, measure)
