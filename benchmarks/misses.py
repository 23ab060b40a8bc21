"""What the first message for a destination costs a relay with a slice, by how many are asked for at once.

python -m benchmarks.misses [--quick]; a registry in a process of its own with 20,000 destinations (2,000 with
--quick), the program's Subscriber and a module in this one. The last line is JSON, by destinations in a call:
  cpu_us      processor time of this process for each destination
  bytes_in, bytes_out   of the HTTP calls, for each destination; IP and TCP come on top
  wait_ms     from the question until the module has its hosts: median and most
  budget_per_s   destinations a second that 4 KB/s and 1% of a core carry beside a quiet watch (each alone)
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections.abc import Mapping, Sequence
from itertools import count
from pathlib import Path
from typing import Any

from benchmarks.process import run
from benchmarks.registry import process
from loftrelay.decisions.events import EndpointListReceived
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.simulator import read_settings
from loftrelay.discovery.settings import load_subscription
from loftrelay.discovery.subscriber import Subscriber
from loftrelay.net.address import Address
from loftrelay.relay.ports import ResolutionStatus

AT_ONCE = (1, 2, 10, 100, 363)
EACH = 40  # calls of each size, or as many as the destinations allow
BYTES, CORE, WATCH_BYTES = 4096.0, 0.01, 165.0  # a second; the watch as benchmarks.scale measures it
PATIENCE = 60.0


class Relay:
    """A module that holds a slice, and who waits for what."""

    def __init__(self, file: Path) -> None:
        self.scheduler = Scheduler(1, read_settings({"classes": []}))
        self.waiting: dict[int, asyncio.Future[ResolutionStatus]] = {}
        told = load_subscription(file)
        self.subscriber = Subscriber(told, "n1", ("127.0.0.1", 9), self.listed, self.sliced, self.let_go)

    def listed(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        self.scheduler.handle_batch(int(asyncio.get_running_loop().time() * 1e6), [listing])

    def sliced(self, destination: int, state: ResolutionStatus) -> None:
        self.waiting.pop(destination).set_result(state)

    def let_go(self, destinations: Sequence[int]) -> list[int]:
        return []

    async def want(self, destinations: Sequence[int]) -> None:
        for number in destinations:
            self.waiting[number] = asyncio.get_running_loop().create_future()
        waiting = [self.waiting[number] for number in destinations]
        for number in destinations:
            self.subscriber.resolve(number)
        states = await asyncio.gather(*waiting)
        assert set(states) == {ResolutionStatus.RESOLVED}, states
        assert all(number in self.scheduler.state.destinations for number in destinations)


async def measure(quick: bool) -> dict[str, Any]:
    size, pipe = 2_000 if quick else 20_000, asyncio.subprocess.PIPE
    sizes = AT_ONCE[:-1] if quick else AT_ONCE
    found: dict[str, Any] = {"destinations": size}
    with tempfile.TemporaryDirectory() as folder:
        serving = process("-m", "benchmarks.registry", "--serve", str(size), stdin=pipe, stdout=pipe)
        async with asyncio.timeout(PATIENCE), serving as discovery:
            assert discovery.stdout is not None
            port = int(await discovery.stdout.readline())
            (Path(folder) / "registry.toml").write_text(
                f'[registry]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:{port}"\n'
            )
            registry = ("-m", "loftrelay", "registry", "--settings", f"{folder}/registry.toml")
            async with process(*registry, stderr=pipe) as serves:
                assert serves.stderr is not None
                said = (await serves.stderr.readline()).decode()
                file, place = Path(folder) / "subscription.toml", said.rpartition(" ")[2].strip()
                file.write_text(
                    f'[subscription]\nfleet = "fleet"\nregistries = ["{place}"]\nwait_ms = 5000\n'
                )
                relay = Relay(file)
                relay.subscriber.watch()
                await relay.subscriber.first_response.wait()
                numbers = count()
                for at_once in sizes:
                    found[str(at_once)] = await cost(relay, numbers, at_once, size // len(sizes))
                relay.subscriber.close()
    return found


async def cost(relay: Relay, numbers: count[int], at_once: int, most: int) -> dict[str, float]:
    calls = min(EACH, most // at_once)
    before, took = dict(relay.subscriber.counts), []
    began = time.process_time()
    for _ in range(calls):
        asked = time.perf_counter()
        await relay.want([next(numbers) for _ in range(at_once)])
        took.append(time.perf_counter() - asked)
    cpu = (time.process_time() - began) / (calls * at_once)
    told = {
        name: (relay.subscriber.counts[name] - before[name]) / (calls * at_once)
        for name in ("bytes_in", "bytes_out")
    }
    return {
        "calls": calls,
        "cpu_us": round(cpu * 1e6, 1),
        **{name: round(value, 1) for name, value in told.items()},
        "wait_ms": round(statistics.median(took) * 1e3, 1),
        "most_wait_ms": round(max(took) * 1e3, 1),
        "budget_per_s_bytes": round((BYTES - WATCH_BYTES) / sum(told.values()), 1),
        "budget_per_s_cpu": round(CORE / cpu, 1),
    }


if __name__ == "__main__":
    run("misses", __doc__, measure)
