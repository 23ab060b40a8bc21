"""Day-to-day service: upgrades under load, figures against the truth, the operators' door, its price.

python -m benchmarks.service [--quick]; the last line is JSON:
  upgrades, messages       processes replaced while 16 clients hand in on connections they keep; taken on
  lost, twice, order_breaks, refused_or_reset
                           taken on and neither run nor told as failed; effects beyond one; orders of a
                           key that ran out of turn; requests that met a connection refused, reset or closed
  figures_off              figures of a process that differ from what clients, host and platform saw
  ready_ms                 from the start of the second process to its yes, the median
  control_p99_ms, ratio    of calls at the door while 16 clients hand in; that over the same while all is idle
  memory_ratio, descriptors_ratio
                           of both processes at the height of an upgrade over one alone (memory: proportional
                           set size, so that what they share counts once)
  throughput_ratio         messages a second with the door read each second over without, in turns of one run
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


class Client:
    """Hands in one order after another, each of its own key in turn, and keeps its connection."""

    def __init__(self, world: RelayHarness, number: int) -> None:
        self.world, self.number = world, number
        self.count = 0
        self.taken: list[tuple[str, str]] = []  # key and id, in the order in which they were handed in
        self.statuses: Counter[int] = Counter()
        self.broken = 0
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def hand_in(self) -> int:
        """0 where the connection was of no use."""
        self.count += 1
        name, key = f"c{self.number}-{self.count}", f"k{self.number}-{self.count % KEYS}"
        try:
            if self.stream is None:
                self.stream = await asyncio.open_connection(*self.world.address)
            reader, writer = self.stream
            writer.write(format_submission(name, "order", path=f"/order/{key}", Request_Timeout_Ms="20000"))
            start, _, _ = await read_response(reader)
        except (OSError, asyncio.IncompleteReadError):
            self.broken += 1
            self.close()
            return 0
        status = int(start.split()[1])
        self.statuses[status] += 1
        if status == 202:
            self.taken.append((key, name))
        return status

    def close(self) -> None:
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def load(clients: list[Client], done: asyncio.Event, pause: float) -> None:
    async def keep_on(client: Client) -> None:
        while not done.is_set():
            status = await client.hand_in()
            await asyncio.sleep(pause if status == 202 else 0.02)

    await asyncio.gather(*(keep_on(client) for client in clients))


def world(folder: Path) -> RelayHarness:
    folder.mkdir()
    w = RelayHarness(folder, policy_limits=LIMITS, extra=EXTRA)
    w.limits |= {"sockets": 512, "disk_mb": 20}
    w.share_listener()
    w.admin_address = f"127.0.0.1:{free_port()}"
    return w


async def host(w: RelayHarness) -> StubServer:
    async def deliver(_: Request) -> bytes:
        await asyncio.sleep(0.005)
        return format_response(200)

    return await w.start_host(deliver)


def memory(pid: int) -> int:
    """Proportional set size in KB; resident size where the system does not tell it."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1])
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4


def descriptors(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


async def replace(w: RelayHarness) -> tuple[float, float, float]:
    """One upgrade: seconds until the new process's yes, and the pair's memory and descriptors over one's."""
    assert w.process is not None
    old = w.process.pid
    alone = memory(old), descriptors(old)
    began = time.monotonic()
    await w.start_successor()
    height = (0, 0)
    ready = asyncio.create_task(w.wait_until_ready())
    while not ready.done():
        with contextlib.suppress(OSError):
            both = memory(old) + memory(w.process.pid), descriptors(old) + descriptors(w.process.pid)
            height = max(height[0], both[0]), max(height[1], both[1])
        await asyncio.sleep(0.005)
    took = time.monotonic() - began
    assert w.predecessor is not None
    w.predecessor.terminate()
    await w.predecessor.wait()
    return took, height[0] / alone[0], height[1] / alone[1]


async def upgrades(folder: Path, count: int) -> dict[str, Any]:
    async with world(folder) as w:
        peer = await host(w)
        await w.start()
        clients, done = [Client(w, n) for n in range(CLIENTS)], asyncio.Event()
        under_load = asyncio.create_task(load(clients, done, 0.005))
        await w.wait_until(lambda: peer.response_count > 200)
        seen = []
        for _ in range(count):
            seen.append(await replace(w))
            reached = peer.response_count + 100
            await w.wait_until(lambda wanted=reached: peer.response_count > wanted)  # type: ignore[misc]
        done.set()
        await under_load
        taken = [pair for client in clients for pair in client.taken]
        ended = asyncio.timeout(25)
        with contextlib.suppress(TimeoutError):
            async with ended:
                await w.wait_until(
                    lambda: (
                        {name for _, name in taken}
                        <= {*peer.request_ids, *(n["id"] for n in w.status_reports)}
                    )
                )
        runs = Counter(peer.request_ids)
        place = {name: n for n, name in enumerate(peer.request_ids)}
        told = {notice["id"] for notice in w.status_reports}
        breaks = 0
        last: dict[str, int] = {}
        for key, name in taken:
            if name in place:
                breaks += place[name] < last.get(key, -1)
                last[key] = place[name]
        for client in clients:
            client.close()
        return {
            "upgrades": count,
            "messages": len(taken),
            "lost": sum(name not in runs and name not in told for _, name in taken),
            "twice": sum(n - 1 for n in runs.values()),
            "order_breaks": breaks,
            "refused_or_reset": sum(client.broken for client in clients),
            "ready_ms": round(statistics.median(took for took, _, _ in seen) * 1000),
            "memory_ratio": round(max(m for _, m, _ in seen), 2),
            "descriptors_ratio": round(max(d for _, _, d in seen), 2),
        }


async def ask(w: RelayHarness, line: str) -> tuple[float, str]:
    began = time.perf_counter()
    told = await w.call_admin(line)
    return time.perf_counter() - began, told


def p99(times: list[float]) -> float:
    return sorted(times)[min(len(times) - 1, int(len(times) * 0.99))] * 1000


async def service(folder: Path, calls: int, seconds: float, turns: int) -> dict[str, Any]:
    """The door idle and under load, the figures at the end, and throughput with it read and not."""
    async with world(folder) as w:
        peer = await host(w)
        await w.start()
        await w.wait_until_ready()
        idle = [(await ask(w, "show-stat"))[0] for _ in range(calls)]
        clients, done = [Client(w, n) for n in range(CLIENTS)], asyncio.Event()
        under_load = asyncio.create_task(load(clients, done, 0))
        await w.wait_until(lambda: peer.response_count > 500)
        busy = [(await ask(w, "show-stat"))[0] for _ in range(calls)]
        rates: dict[bool, list[float]] = {False: [], True: []}
        for turn in range(2 * turns):
            read = turn % 2 == 1
            began, before = time.perf_counter(), peer.response_count
            if read:
                await w.call_admin("show-stat")
            await asyncio.sleep(seconds)
            rates[read].append((peer.response_count - before) / (time.perf_counter() - began))
        done.set()
        await under_load
        taken = sum(len(client.taken) for client in clients)
        refused = sum(client.statuses[503] for client in clients)
        await w.wait_until(lambda: len(set(peer.request_ids)) + len(w.status_reports) >= taken)
        truth = {
            "app.succeeded.order": len(set(peer.request_ids)),
            "app.aborted.order": len(w.status_reports),
            "app.declined.order": refused,
            "app.forwards": len(peer.request_ids),
            "app.outstanding": 0,
            "app.discovered": 1,
            "app.sighup_applied": 0,
            "app.sighup_rejected": 0,
        }
        off = len(truth)
        for _ in range(50):  # the last answer may be on its way yet
            shown = dict(line.split("=") for line in (await w.call_admin("show-stat")).splitlines()[:-1])
            off = sum(int(shown[name]) != value for name, value in truth.items())
            if not off:
                break
            await asyncio.sleep(0.02)
        for client in clients:
            client.close()
        pairs = [a / b for a, b in zip(rates[True], rates[False], strict=True)]
        return {
            "figures_off": off,
            "control_p99_ms": round(p99(busy), 1),
            "ratio": round(p99(busy) / p99(idle), 1),
            "throughput": round(statistics.median(rates[False])),
            "throughput_ratio": round(statistics.median(pairs), 3),
        }


async def measure(quick: bool) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as name:
        result = await upgrades(Path(name) / "upgrades", 4 if quick else 30)
        return result | await service(Path(name) / "service", 200 if quick else 2000, 1.0, 4 if quick else 20)


if __name__ == "__main__":
    run("service", __doc__, measure)
