"""The store of record: messages a second with and without it, whether store and partner agree after kills.

python -m benchmarks.record [--quick]; the last line is JSON:
  messages, kills, cuts, disagreements, duplicates
                       work orders, half of them while the relay is killed (SQLite), half while its connection
                       is cut at random bytes (a stand-in for PostgreSQL; cuts is null without psycopg)
  none, follows, required                      messages a second through the whole relay, in turns of one run:
                       48 clients, 8 partners, each client goes on when its message has run
  cpu_us                                       of the relay for each message, in the three ways
  follows_ratio, required_ratio                the medians of the turns, to `none` in the same turn
  commits_per_message                          with `required`, all changes of a message: group commit at work
  commit_ms                                    one commit of one change on this disk, the median
  take_p99_ms                                  taking a message on with `required`
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


def use_store(w: RelayHarness, mode: str) -> Path:
    path = w.folder / "record.sqlite"
    (w.folder / "record.toml").write_text(f'file = "{path}"\nunsafe = "{mode}"\n')
    w.arguments = ["--record", str(w.folder / "record.toml")]
    return path


async def agree(folder: Path, count: int) -> dict[str, int]:
    """So many work orders while the relay is killed and started again; then each is looked up on both."""
    chance = random.Random(5)
    async with RelayHarness(folder, policy_limits=POLICY_LIMITS, extra=EXTRA) as w, FakeHost() as partner:
        w.limits["disk_mb"] = 50
        path = use_store(w, "required")
        w.add_endpoint(1, "plain", "Ready", "{}:{}".format(*partner.address))
        await w.start()
        account, kills, number = SubmissionLog(), 0, 0
        while len(account.admitted) < count:
            stop = asyncio.Event()

            async def client(n: int, stop: asyncio.Event) -> None:
                nonlocal number
                own = Client(w, account)
                while not stop.is_set() and len(account.admitted) < count:
                    number += 1
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        await own.submit(Submission(f"o{number}", "order", 1, f"k{n}-{number}", 20.0))
                own.close()

            clients = [asyncio.create_task(client(n, stop)) for n in range(16)]
            wanted = len(account.admitted) + chance.randrange(count // 8, count // 4)
            while len(account.admitted) < min(wanted, count) and not all(c.done() for c in clients):
                await asyncio.sleep(0.005)
            if len(account.admitted) < count:
                await w.kill()
                kills += 1
            stop.set()
            await asyncio.gather(*clients)
            if w.process is not None and w.process.returncode is not None:
                await w.start()
        async with asyncio.timeout(60):
            while True:
                store = SQLiteStore(path)
                found = {entry.message_id: entry for entry in store.select(RecordQuery())}
                wrong = store.verify()
                store.close()
                if all(name in found and found[name].reported_at is not None for name in account.admitted):
                    break
                await asyncio.sleep(0.1)
        return {"kills": kills, **compare(found, wrong, partner, account)}


def compare(
    found: dict[str, MessageRecord], wrong: list[str], partner: FakeHost, account: SubmissionLog
) -> dict[str, int]:
    """Store against partner, message by message."""
    disagreements = len(wrong) + len(set(partner.executions) - set(found))
    for name, entry in found.items():
        ran = partner.executions[name] > 0
        if (entry.final_status is StoredFinalStatus.DELIVERED and not ran) or (
            entry.final_status is StoredFinalStatus.REJECTED and ran
        ):
            disagreements += 1
    duplicates = sum(ran - 1 for ran in partner.executions.values())
    return {"messages": len(account.admitted), "disagreements": disagreements, "duplicates": duplicates}


async def agree_cut(folder: Path, count: int) -> dict[str, int | None]:
    """So many work orders while the connection to a stand-in for PostgreSQL is cut at random bytes."""
    try:
        from loftrelay.store.postgres import PostgresStore
    except ImportError:
        return {"messages": 0, "cuts": None, "disagreements": 0, "duplicates": 0}
    from tests.standins.fake_postgres import FakePostgresServer, Faults, cut_connection

    chance, guard = random.Random(5), threading.Lock()

    def draw() -> Faults:
        with guard:
            return cut_connection(chance.choice(("received", "sent")), chance.randrange(10_000, 250 * count))

    with FakePostgresServer(folder / "server.sqlite") as server:
        server.draw_faults = draw
        async with RelayHarness(folder, policy_limits=POLICY_LIMITS, extra=EXTRA) as w, FakeHost() as partner:
            w.limits["disk_mb"] = 50
            (w.folder / "record.toml").write_text(f'dsn = "{server.dsn}"\n')
            w.arguments = ["--record", str(w.folder / "record.toml")]
            w.add_endpoint(1, "plain", "Ready", "{}:{}".format(*partner.address))
            await w.start()
            account = SubmissionLog()

            async def client(n: int) -> None:
                own = Client(w, account)
                for i in range(n, count, 16):
                    while await own.submit(Submission(f"o{i}", "order", 1, f"k{i}", 20.0)) == 503:
                        await asyncio.sleep(0.02)
                own.close()

            await asyncio.gather(*(client(n) for n in range(16)))
            server.draw_faults = None
            server.close_connections()
            async with asyncio.timeout(60):
                while True:
                    store = await asyncio.to_thread(PostgresStore, server.dsn)
                    entries = await asyncio.to_thread(list, store.select(RecordQuery()))
                    found = {entry.message_id: entry for entry in entries}
                    wrong = await asyncio.to_thread(store.verify)
                    store.close()
                    if all(
                        name in found and found[name].reported_at is not None for name in account.admitted
                    ):
                        break
                    await asyncio.sleep(0.1)
            return {"cuts": server.cut_count, **compare(found, wrong, partner, account)}


async def rates(base: Path, turns: int, size: int) -> dict[str, Any]:
    """The three ways take turns, so that what else the machine does falls on all alike. Each client waits
    until its message has run: a backlog would measure how the decision module ranks it, alike in all."""
    async with AsyncExitStack() as stack:
        worlds: dict[str, tuple[RelayHarness, list[FakeHost], SubmissionLog]] = {}
        store = Path()
        for mode in ("none", "follows", "required"):
            (base / mode).mkdir()
            w = await stack.enter_async_context(
                RelayHarness(base / mode, policy_limits=POLICY_LIMITS, extra=EXTRA)
            )
            w.limits["disk_mb"] = 50
            partners = [await stack.enter_async_context(FakeHost()) for _ in range(DESTINATIONS)]
            for n, partner in enumerate(partners):
                w.add_endpoint(n + 1, "plain", "Ready", "{}:{}".format(*partner.address))
            if mode != "none":
                store = use_store(w, mode)
            await w.start()
            worlds[mode] = w, partners, SubmissionLog()
        times: list[float] = []
        cpu: dict[str, list[float]] = {mode: [] for mode in worlds}

        async def turn(mode: str, first: int) -> float:
            w, partners, account = worlds[mode]
            assert w.process is not None

            async def client(n: int) -> None:
                own, partner = Client(w, account), partners[n % DESTINATIONS]
                for i in range(n, size, CLIENTS):
                    began, name = time.perf_counter(), f"m{first + i}"
                    order = Submission(name, "order", n % DESTINATIONS + 1, f"k{first + i}", 20.0)
                    while await own.submit(order) != 202:
                        await asyncio.sleep(0.001)
                    if mode == "required":
                        times.append(time.perf_counter() - began)
                    await partner.wait_until(lambda: partner.responses[name] > 0)  # noqa: B023
                own.close()

            began, used = time.perf_counter(), cpu_seconds(w.process.pid)
            await asyncio.gather(*(client(n) for n in range(CLIENTS)))
            cpu[mode].append((cpu_seconds(w.process.pid) - used) / size * 1e6)
            return size / (time.perf_counter() - began)

        figures: dict[str, list[float]] = {mode: [] for mode in worlds}
        for n in range(turns + 1):
            for mode in worlds:
                figures[mode].append(await turn(mode, n * size))
        for of in figures.values():
            del of[0]  # connections and windows grow in the first
        result: dict[str, Any] = {mode: round(statistics.median(of)) for mode, of in figures.items()}
        result["cpu_us"] = {mode: round(statistics.median(of[1:])) for mode, of in cpu.items()}
        for mode in ("follows", "required"):
            ratios = [a / b for a, b in zip(figures[mode], figures["none"], strict=True)]
            result[f"{mode}_ratio"] = round(statistics.median(ratios), 3)
        result["take_p99_ms"] = round(sorted(times)[int(len(times) * 0.99)] * 1000, 1)
        for mode, (w, _, account) in worlds.items():
            await w.stop(signal.SIGTERM)
            if mode == "required":
                told = re.search(r"(\d+) changes were stored in (\d+) commits", "\n".join(w.log))
                assert told is not None
                result["commits_per_message"] = round(int(told[2]) / len(account.admitted), 3)
        opened = SQLiteStore(store)
        result["recorded"] = sum(1 for _ in opened.select(RecordQuery()))
        opened.close()
        return result


def commit_ms(folder: Path, count: int = 50) -> float:
    store = SQLiteStore(folder / "probe.sqlite")
    times = []
    for i in range(count):
        about = MessageMetadata("n", "order", None, 1, None, 0, "00" * 32)
        began = time.perf_counter()
        store.commit([Change(f"m{i}", 1, 1, ChangeKind.ADMIT, i, metadata=about)])
        times.append(time.perf_counter() - began)
    store.close()
    return statistics.median(times) * 1000


async def measure(quick: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(dir=".") as name:  # the disk of the project, not one in memory
        base = Path(name).resolve()
        (base / "agree").mkdir()
        (base / "rates").mkdir()
        (base / "cut").mkdir()
        half = 250 if quick else 5_000
        killed, cut = await agree(base / "agree", half), await agree_cut(base / "cut", half)
        result: dict[str, Any] = {
            name: killed[name] + (cut[name] or 0) for name in ("messages", "disagreements", "duplicates")
        }
        result |= {"kills": killed["kills"], "cuts": cut["cuts"]}
        result |= await rates(base / "rates", 3 if quick else 9, 480 if quick else 3000)
        result["commit_ms"] = round(commit_ms(base), 2)
    return result


if __name__ == "__main__":
    run("record", __doc__, measure)
