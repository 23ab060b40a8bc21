"""Measure what the first message for a destination costs a relay that subscribes to a slice.

python -m benchmarks.misses [--quick]; a registry with 20,000 destinations (2,000 with --quick) runs in its
own process, the program's Subscriber and a decision module in this one. The last line is JSON, by the number
of destinations that are requested at once:
  cpu_us      CPU time of this process for each destination
  bytes_in, bytes_out   of the HTTP calls, for each destination, without IP and TCP
  wait_ms, most_wait_ms   from the request until the decision module has the hosts: median and maximum
  budget_per_s_bytes, budget_per_s_cpu   destinations a second within 4 KB/s, less the bytes of a watch
              without changes, and within 1% of a core (each alone)
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
from benchmarks.registry import run_python
from loftrelay.decisions.events import EndpointListReceived
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.simulator import read_settings
from loftrelay.discovery.settings import load_subscription
from loftrelay.discovery.subscriber import Subscriber
from loftrelay.net.address import Address
from loftrelay.relay.ports import ResolutionStatus

BATCH_SIZES = (1, 2, 10, 100, 363)
MAX_CALLS = 40  # of each size; fewer where there are too few destinations
# A second; the bytes of the watch are those that benchmarks.scale measures.
BUDGET_BYTES, BUDGET_CORES, WATCH_BYTES = 4096.0, 0.01, 165.0
TIMEOUT_S = 60.0


class SlicedRelay:
    """A decision module that holds a slice, and the futures of pending resolutions."""

    def __init__(self, settings_file: Path) -> None:
        self.scheduler = Scheduler(1, read_settings({"classes": []}))
        self.pending: dict[int, asyncio.Future[ResolutionStatus]] = {}
        settings = load_subscription(settings_file)
        self.subscriber = Subscriber(
            settings, "n1", ("127.0.0.1", 9), self.on_listing, self.on_resolved, self.on_release
        )

    def on_listing(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        self.scheduler.handle_batch(int(asyncio.get_running_loop().time() * 1e6), [listing])

    def on_resolved(self, destination: int, status: ResolutionStatus) -> None:
        self.pending.pop(destination).set_result(status)

    def on_release(self, destinations: Sequence[int]) -> list[int]:
        return []

    async def resolve(self, destinations: Sequence[int]) -> None:
        """Requests destinations and waits until the decision module knows them."""
        for number in destinations:
            self.pending[number] = asyncio.get_running_loop().create_future()
        futures = [self.pending[number] for number in destinations]
        for number in destinations:
            self.subscriber.resolve(number)
        statuses = await asyncio.gather(*futures)
        assert set(statuses) == {ResolutionStatus.RESOLVED}, statuses
        assert all(number in self.scheduler.state.destinations for number in destinations)


async def measure(quick: bool) -> dict[str, Any]:
    destination_count, pipe = 2_000 if quick else 20_000, asyncio.subprocess.PIPE
    batch_sizes = BATCH_SIZES[:-1] if quick else BATCH_SIZES
    result: dict[str, Any] = {"destinations": destination_count}
    with tempfile.TemporaryDirectory() as folder:
        discovery_process = run_python(
            "-m", "benchmarks.registry", "--serve", str(destination_count), stdin=pipe, stdout=pipe
        )
        async with asyncio.timeout(TIMEOUT_S), discovery_process as discovery:
            assert discovery.stdout is not None
            port = int(await discovery.stdout.readline())
            (Path(folder) / "registry.toml").write_text(
                f'[registry]\nlisten = "127.0.0.1:0"\ndiscovery = "127.0.0.1:{port}"\n'
            )
            registry_command = ("-m", "loftrelay", "registry", "--settings", f"{folder}/registry.toml")
            async with run_python(*registry_command, stderr=pipe) as registry:
                assert registry.stderr is not None
                log_line = (await registry.stderr.readline()).decode()
                address = log_line.rpartition(" ")[2].strip()
                settings_file = Path(folder) / "subscription.toml"
                settings_file.write_text(
                    f'[subscription]\nfleet = "fleet"\nregistries = ["{address}"]\nwait_ms = 5000\n'
                )
                relay = SlicedRelay(settings_file)
                relay.subscriber.watch()
                await relay.subscriber.first_response.wait()
                numbers = count()
                max_destinations = destination_count // len(batch_sizes)
                for batch_size in batch_sizes:
                    result[str(batch_size)] = await measure_misses(
                        relay, numbers, batch_size, max_destinations
                    )
                relay.subscriber.close()
    return result


async def measure_misses(
    relay: SlicedRelay, numbers: count[int], batch_size: int, max_destinations: int
) -> dict[str, float]:
    """Resolves new destinations, `batch_size` at once; returns the costs of one destination."""
    calls = min(MAX_CALLS, max_destinations // batch_size)
    before, waits = dict(relay.subscriber.counts), []
    started = time.process_time()
    for _ in range(calls):
        requested_at = time.perf_counter()
        await relay.resolve([next(numbers) for _ in range(batch_size)])
        waits.append(time.perf_counter() - requested_at)
    cpu = (time.process_time() - started) / (calls * batch_size)
    bytes_per_destination = {
        name: (relay.subscriber.counts[name] - before[name]) / (calls * batch_size)
        for name in ("bytes_in", "bytes_out")
    }
    return {
        "calls": calls,
        "cpu_us": round(cpu * 1e6, 1),
        **{name: round(value, 1) for name, value in bytes_per_destination.items()},
        "wait_ms": round(statistics.median(waits) * 1e3, 1),
        "most_wait_ms": round(max(waits) * 1e3, 1),
        "budget_per_s_bytes": round((BUDGET_BYTES - WATCH_BYTES) / sum(bytes_per_destination.values()), 1),
        "budget_per_s_cpu": round(BUDGET_CORES / cpu, 1),
    }


if __name__ == "__main__":
    run("misses", __doc__, measure)
