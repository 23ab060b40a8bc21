"""Child processes of one scale run (discovery, registries, hollow and real relays) and their resource limit.

Registries reach discovery through forwarders, which count bytes and can be cut. All children are ended at the
end of the context, also after an exception.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from benchmarks.scale.accounts import ChangeLatency
from benchmarks.scale.children import ProgramProcess, Worker
from benchmarks.scale.links import Forwarder
from benchmarks.scale.real import RealRelay
from loftrelay.net.address import Address
from tests.standins.harness import free_port

FLEET_NAME = "scale"
MAX_PROCESSES = 300
LIST_RECEIVED = "the list of discovery"  # part of what a registry logs once it has a list
# Changes are numbered from here and identified by the port of the changed host, which no other entry has.
FIRST_CHANGE = 1_000
UNUSED_ADDRESS: Address = ("127.0.0.1", 9)  # stands for the registries where there are none
LIST_TIMEOUT_S = 300.0  # for a registry to get the list


def cpu_time(pid: int) -> float:
    """Returns the CPU seconds of a process so far, to the nanosecond, without threads that have ended."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """CPU seconds and bytes (both directions) that processes have used at a time."""

    at: float
    cpu: float
    bytes: int

    def rate(self, before: ResourceUse) -> tuple[float, float]:
        """Returns the cores and bytes a second since `before`."""
        seconds = self.at - before.at
        return (self.cpu - before.cpu) / seconds, (self.bytes - before.bytes) / seconds


class RegistryProcess:
    """A registry that reaches discovery through a forwarder."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder = number, folder
        self.address: Address = ("127.0.0.1", free_port())
        self.upstream: Forwarder | None = None
        self.program: ProgramProcess | None = None

    async def start(self, discovery: Address) -> None:
        """Starts the process without waiting for its list."""
        if self.upstream is None:
            self.upstream = Forwarder(discovery)
            host, port = await self.upstream.start()
            self.folder.mkdir(parents=True, exist_ok=True)
            (self.folder / "registry.toml").write_text(
                f'[registry]\nfleet = "{FLEET_NAME}"\nlisten = "{self.address[0]}:{self.address[1]}"\n'
                f'discovery = "{host}:{port}"\n'
            )
        arguments = ["registry", "--settings", str(self.folder / "registry.toml")]
        self.program = await ProgramProcess.start(f"registry {self.number}", arguments, {})

    async def wait_until_listed(self) -> None:
        assert self.program is not None
        await self.program.wait_for_line(LIST_RECEIVED, LIST_TIMEOUT_S)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> None:
        program, self.program = self.program, None
        if program is not None:
            await program.end(number)

    async def close(self) -> None:
        await self.end()
        if self.upstream is not None:
            self.upstream.close()

    @property
    def pid(self) -> int:
        assert self.program is not None
        return self.program.pid

    @property
    def memory_mb(self) -> float:
        return float(psutil.Process(self.pid).memory_full_info().uss / 1e6)

    @property
    def use(self) -> ResourceUse:
        """CPU time of the process, and bytes exchanged with discovery."""
        assert self.upstream is not None
        return ResourceUse(time.monotonic(), cpu_time(self.pid), self.upstream.total)


class HollowWorkers:
    """Workers that run hollow relays, at most `each` in a worker."""

    def __init__(self, each: int) -> None:
        self.each = each
        self.workers: list[Worker] = []
        self.worker_by_relay: dict[int, Worker] = {}

    @property
    def relays(self) -> int:
        """The number of hollow relays."""
        return len(self.worker_by_relay)

    async def grow(self, relays: int, **arguments: Any) -> None:
        """Creates relays up to this number without starting them; arguments as of the command `begin`."""
        pending = []
        while self.relays < relays:
            worker = await Worker.start(f"hollow {len(self.workers)}", "benchmarks.scale.hollow")
            self.workers.append(worker)
            numbers = list(range(self.relays, min(self.relays + self.each, relays)))
            pending.append(worker.call("begin", numbers=numbers, **arguments))
            self.worker_by_relay |= dict.fromkeys(numbers, worker)
        await asyncio.gather(*pending)

    def _split(self, numbers: Iterable[int] | None) -> list[tuple[Worker, list[int] | None]]:
        if numbers is None:
            return [(worker, None) for worker in self.workers]
        parts: dict[Worker, list[int]] = {}
        for n in numbers:
            parts.setdefault(self.worker_by_relay[n], []).append(n)
        return [(worker, part) for worker, part in parts.items()]

    async def call(self, command: str, numbers: Iterable[int] | None = None, **arguments: Any) -> list[Any]:
        """Sends a command to the workers of these relays at once; returns a result of each worker."""
        return await asyncio.gather(
            *(worker.call(command, numbers=part, **arguments) for worker, part in self._split(numbers))
        )

    async def call_all(self, command: str, **arguments: Any) -> list[Any]:
        """Sends a command that has no relay numbers to all workers at once."""
        return await asyncio.gather(*(worker.call(command, **arguments) for worker in self.workers))

    async def start(
        self, numbers: Iterable[int] | None, within: float, pace: float = 0.0, at_once: int = 0
    ) -> dict[str, Any]:
        """Starts relays; returns median and maximum of the seconds until they had their full slices.

        The parameters are those of the command `start`.
        """
        results = await self.call("start", numbers, within=within, pace=pace, at_once=at_once)
        latency = ChangeLatency()
        for part in results:
            latency.add(0.0, part["took"], part["missing"])
        return latency.figures()

    async def wait_for_change(
        self, change: int, numbers: Iterable[int] | None, within: float
    ) -> tuple[list[float], int]:
        """Waits up to `within` seconds; returns when relays applied a change, and the number that did not."""
        results = await self.call("seen", numbers, change=change, within=within)
        return [at for part in results for at in part["seen"]], sum(part["missing"] for part in results)

    async def counts(self, whole: bool = False) -> HollowCounts:
        return HollowCounts(await self.call_all("counts", whole=whole))

    async def close(self) -> None:
        await asyncio.gather(*(worker.end() for worker in self.workers))


class HollowCounts:
    """Counts of all hollow relays at one time; one dict from each worker."""

    def __init__(self, counts: Sequence[dict[str, Any]]) -> None:
        self.counts = counts
        self.bytes = [s + h for part in counts for s, h in zip(part["sent"], part["heard"], strict=True)]
        self.use = ResourceUse(time.monotonic(), self.sum("cpu"), sum(self.bytes))

    def sum(self, name: str) -> float:
        return float(sum(part[name] for part in self.counts))

    @property
    def log_lines(self) -> dict[str, int]:
        """The most frequent log lines and how often each was logged."""
        counts: dict[str, int] = {}
        for part in self.counts:
            for line, count in part["lines"].items():
                counts[line] = counts.get(line, 0) + count
        return dict(sorted(counts.items(), key=lambda pair: -pair[1])[:8])


class ScaleFleet:
    """All processes of a fleet, as an async context manager."""

    def __init__(self, folder: Path, each: int) -> None:
        self.folder = folder
        self.hollow = HollowWorkers(each)
        self.registries: list[RegistryProcess] = []
        self.real: list[RealRelay] = []
        self.last_change = FIRST_CHANGE
        self.destinations = 0

    async def __aenter__(self) -> ScaleFleet:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.discovery = await Worker.start("discovery", "benchmarks.scale.discovery")
        return self

    async def __aexit__(self, *_: object) -> None:
        ends = [
            *(relay.close() for relay in self.real),
            self.hollow.close(),
            *(registry.close() for registry in self.registries),
            self.discovery.end(),
        ]
        for result in await asyncio.gather(*ends, return_exceptions=True):
            if isinstance(result, Exception):
                print(f"error while a child process was ended: {result!r}")

    async def begin(self, destinations: int) -> None:
        """Starts discovery with this many destinations."""
        self.destinations = destinations
        self.discovery_address: Address = (
            "127.0.0.1",
            await self.discovery.call("begin", destinations=destinations),
        )

    async def add_registries(self, count: int) -> None:
        """Starts registries up to this number at once, and waits until each has the list."""
        new = [RegistryProcess(n, self.folder / f"registry{n}") for n in range(len(self.registries), count)]
        self.registries += new
        for registry in new:
            await registry.start(self.discovery_address)
        await asyncio.gather(*(registry.wait_until_listed() for registry in new))

    async def remove_registries(self) -> None:
        for registry in self.registries:
            await registry.close()
        self.registries = []

    async def grow(self, relays: int, among: int, size: int, shared: int, few: int, seed: int) -> None:
        """Creates hollow relays up to this number, with slices of `make_slice` for `among` relays."""
        self.few_relays = range(0, among, few) if few else range(0)  # serve `few_destination`
        self.few_destination = shared
        settings_file = self.folder / "subscription.toml"
        addresses = [registry.address for registry in self.registries] or [UNUSED_ADDRESS]
        quoted = ", ".join(f'"{host}:{port}"' for host, port in addresses)
        settings_file.write_text(
            f'[subscription]\nfleet = "{FLEET_NAME}"\nregistries = [{quoted}]\nidle_s = 86400\n'
        )
        await self.hollow.grow(
            relays,
            among=among,
            destinations=self.destinations,
            size=size,
            shared=shared,
            few=few,
            seed=seed,
            file=str(settings_file),
            notices=self.discovery_address,
        )

    async def add_real(self, count: int) -> None:
        new = [
            RealRelay(n, self.destinations + n, self.folder / f"real{n}")
            for n in range(len(self.real), count)
        ]
        self.real += new
        await asyncio.gather(*(self._start_real(relay) for relay in new))

    async def _start_real(self, relay: RealRelay) -> None:
        await relay.open_hosts()
        await self.discovery.call("change", rows=relay.rows(change=False))
        await relay.start([registry.address for registry in self.registries], FLEET_NAME)
        await relay.harness.submit_once_listed(f"first{relay.number}", relay.destination)
        relay.start_traffic()

    async def change(self, destination: int = 0) -> tuple[int, float]:
        """Changes a destination's host address and the listed host of each real relay, as one revision.

        Returns the number of the change, and when discovery had it.
        """
        self.last_change += 1
        rows: list[dict[str, Any]] = [
            {"destination": destination, "address": f"127.0.0.1:{self.last_change}"}
        ]
        for relay in self.real:
            rows += relay.rows()
        result = await self.discovery.call("change", rows=rows)
        return self.last_change, result["at"]

    async def wait_for_real_relays(
        self, changed_at: float, within: float, settle: float = 0.2
    ) -> list[float | None]:
        """Waits up to `within` seconds until the real relays have applied the last change.

        Returns the seconds that each took, None where it has not. They are read after another `settle`
        seconds, because more calls to the old host may come.
        """
        if not self.real:
            return []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                while any(relay.applied_at(changed_at) is None for relay in self.real):
                    await asyncio.sleep(0.02)
        await asyncio.sleep(settle)
        times = [relay.applied_at(changed_at) for relay in self.real]
        return [None if at is None else at - changed_at for at in times]


class ResourceLimitError(Exception):
    """The run uses more memory or processes than allowed."""


@dataclass
class PeakUse:
    """Peak resources of all processes of a run, sampled each second; shared memory counts in each process."""

    mb: float = 0.0
    processes: int = 0


async def watch_resources(peak: PeakUse, max_memory_share: float = 0.5) -> None:
    """Checks the resources of all processes of the run each second. Raises ResourceLimitError."""
    max_bytes = psutil.virtual_memory().total * max_memory_share
    own = psutil.Process()
    while True:
        used, count = own.memory_info().rss, 1
        for child in own.children(recursive=True):
            with contextlib.suppress(psutil.Error):
                used += child.memory_info().rss
                count += 1
        peak.mb, peak.processes = max(peak.mb, used / 1e6), max(peak.processes, count)
        if used > max_bytes or count > MAX_PROCESSES:
            raise ResourceLimitError(
                f"the run uses {used / 1e6:.0f} MB in {count} processes; "
                f"allowed are {max_bytes / 1e6:.0f} MB in {MAX_PROCESSES}"
            )
        await asyncio.sleep(1.0)


async def run_with_resource_limit(work: Any, peak: PeakUse) -> Any:
    """Returns the result of `work`; cancels it and raises ResourceLimitError at the limit."""
    working, watching = asyncio.ensure_future(work), asyncio.ensure_future(watch_resources(peak))
    try:
        await asyncio.wait((working, watching), return_when=asyncio.FIRST_COMPLETED)
        if not working.done():
            working.cancel()
            await asyncio.gather(working, return_exceptions=True)
            watching.result()
        return working.result()
    finally:
        for task in (working, watching):
            task.cancel()
        await asyncio.gather(working, watching, return_exceptions=True)
