"""The processes of one scale run: discovery, registries, hollow relays by the hundred, real ones, a guard.

Registries reach discovery through forwarders, which count and can be cut. All children end with `close`,
also where the run ends by an exception.
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

from benchmarks.scale.accounts import InForce
from benchmarks.scale.children import Child, Program
from benchmarks.scale.links import Forwarder
from benchmarks.scale.real import RealRelay
from loftrelay.net.address import Address
from tests.standins.harness import free_port

FLEET = "scale"
MOST_PROCESSES = 300
LISTED = "the list of discovery"  # what a registry logs once it has one
FIRST_CHANGE = 1_000  # changes count on from here, in the place of a port: no other row has such a one
NOBODY: Address = ("127.0.0.1", 9)  # where there are no registries
START = 300.0  # seconds for a registry to have the list


def cpu_time(pid: int) -> float:
    """Seconds of processor time so far, to the nanosecond; threads that have ended are left out."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


@dataclass(frozen=True, slots=True)
class Use:
    """What processes have used so far, at a time. `bytes` both ways."""

    at: float
    cpu: float
    bytes: int

    def rate(self, before: Use) -> tuple[float, float]:
        """Cores and bytes a second since then."""
        seconds = self.at - before.at
        return (self.cpu - before.cpu) / seconds, (self.bytes - before.bytes) / seconds


class Registry:
    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder = number, folder
        self.address: Address = ("127.0.0.1", free_port())
        self.upstream: Forwarder | None = None
        self.program: Program | None = None

    async def start(self, discovery: Address) -> None:
        """Does not wait for its list."""
        if self.upstream is None:
            self.upstream = Forwarder(discovery)
            host, port = await self.upstream.start()
            self.folder.mkdir(parents=True, exist_ok=True)
            (self.folder / "registry.toml").write_text(
                f'[registry]\nfleet = "{FLEET}"\nlisten = "{self.address[0]}:{self.address[1]}"\n'
                f'discovery = "{host}:{port}"\n'
            )
        arguments = ["registry", "--settings", str(self.folder / "registry.toml")]
        self.program = await Program.start(f"registry {self.number}", arguments, {})

    async def until_listed(self) -> None:
        assert self.program is not None
        await self.program.line(LISTED, START)

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
    def mb(self) -> float:
        return float(psutil.Process(self.pid).memory_full_info().uss / 1e6)

    @property
    def use(self) -> Use:
        """Bytes: with discovery."""
        assert self.upstream is not None
        return Use(time.monotonic(), cpu_time(self.pid), self.upstream.total)


class Hollows:
    """Workers with hollow relays, `each` of them at the most."""

    def __init__(self, each: int) -> None:
        self.each = each
        self.workers: list[Child] = []
        self.where: dict[int, Child] = {}

    @property
    def relays(self) -> int:
        return len(self.where)

    async def grow(self, relays: int, **told: Any) -> None:
        """Makes them up to that number; `told` as of `Relays.begin` of hollow.py. None is started."""
        begun = []
        while self.relays < relays:
            worker = await Child.start(f"hollow {len(self.workers)}", "benchmarks.scale.hollow")
            self.workers.append(worker)
            numbers = list(range(self.relays, min(self.relays + self.each, relays)))
            begun.append(worker.ask("begin", numbers=numbers, **told))
            self.where |= dict.fromkeys(numbers, worker)
        await asyncio.gather(*begun)

    def _split(self, numbers: Iterable[int] | None) -> list[tuple[Child, list[int] | None]]:
        if numbers is None:
            return [(worker, None) for worker in self.workers]
        parts: dict[Child, list[int]] = {}
        for n in numbers:
            parts.setdefault(self.where[n], []).append(n)
        return [(worker, part) for worker, part in parts.items()]

    async def ask(self, do: str, numbers: Iterable[int] | None = None, **told: Any) -> list[Any]:
        """All at once; those of `numbers` alone."""
        return await asyncio.gather(
            *(worker.ask(do, numbers=part, **told) for worker, part in self._split(numbers))
        )

    async def all(self, do: str, **told: Any) -> list[Any]:
        return await asyncio.gather(*(worker.ask(do, **told) for worker in self.workers))

    async def start(
        self, numbers: Iterable[int] | None, within: float, pace: float = 0.0, at_once: int = 0
    ) -> dict[str, Any]:
        """Seconds until each had its whole slice: median and worst, and how many had not; the rest as of
        `Relays.start`."""
        told = await self.ask("start", numbers, within=within, pace=pace, at_once=at_once)
        times = InForce()
        for part in told:
            times.add(0.0, part["took"], part["missing"])
        return times.figures()

    async def seen(
        self, change: int, numbers: Iterable[int] | None, within: float
    ) -> tuple[list[float], int]:
        told = await self.ask("seen", numbers, change=change, within=within)
        return [at for part in told for at in part["seen"]], sum(part["missing"] for part in told)

    async def counts(self, whole: bool = False) -> Counts:
        return Counts(await self.all("counts", whole=whole))

    async def close(self) -> None:
        await asyncio.gather(*(worker.end() for worker in self.workers))


class Counts:
    """Of all hollow relays at one time."""

    def __init__(self, told: Sequence[dict[str, Any]]) -> None:
        self.told = told
        self.bytes = [s + h for part in told for s, h in zip(part["sent"], part["heard"], strict=True)]
        self.use = Use(time.monotonic(), self.sum("cpu"), sum(self.bytes))

    def sum(self, name: str) -> float:
        return float(sum(part[name] for part in self.told))

    @property
    def lines(self) -> dict[str, int]:
        """The commonest lines of their logs."""
        counts: dict[str, int] = {}
        for part in self.told:
            for line, count in part["lines"].items():
                counts[line] = counts.get(line, 0) + count
        return dict(sorted(counts.items(), key=lambda pair: -pair[1])[:8])


class Fleet:
    """Use as an async context."""

    def __init__(self, folder: Path, each: int) -> None:
        self.folder = folder
        self.hollow = Hollows(each)
        self.registries: list[Registry] = []
        self.real: list[RealRelay] = []
        self.changes = FIRST_CHANGE
        self.destinations = 0

    async def __aenter__(self) -> Fleet:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.discovery = await Child.start("discovery", "benchmarks.scale.discovery")
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
                print(f"at the end: {result!r}")

    async def begin(self, destinations: int) -> None:
        self.destinations = destinations
        self.place: Address = ("127.0.0.1", await self.discovery.ask("begin", destinations=destinations))

    async def add_registries(self, count: int) -> None:
        """All at once; until each has the list."""
        new = [Registry(n, self.folder / f"registry{n}") for n in range(len(self.registries), count)]
        self.registries += new
        for registry in new:
            await registry.start(self.place)
        await asyncio.gather(*(registry.until_listed() for registry in new))

    async def drop_registries(self) -> None:
        for registry in self.registries:
            await registry.close()
        self.registries = []

    async def grow(self, relays: int, among: int, size: int, shared: int, few: int, seed: int) -> None:
        """The slices are as of `slice_of` with `among` so many."""
        self.few = range(0, among, few) if few else range(0)
        self.few_at = shared
        file = self.folder / "subscription.toml"
        places = [registry.address for registry in self.registries] or [NOBODY]
        told = ", ".join(f'"{host}:{port}"' for host, port in places)
        file.write_text(f'[subscription]\nfleet = "{FLEET}"\nregistries = [{told}]\nidle_s = 86400\n')
        await self.hollow.grow(
            relays,
            among=among,
            destinations=self.destinations,
            size=size,
            shared=shared,
            few=few,
            seed=seed,
            file=str(file),
            notices=self.place,
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
        await self.discovery.ask("change", rows=relay.rows(change=False))
        await relay.start([registry.address for registry in self.registries], FLEET)
        await relay.world.submit_once_listed(f"first{relay.number}", relay.destination)
        relay.begin_traffic()

    async def change(self, destination: int = 0) -> tuple[int, float]:
        """A new address of a host that all hollow ones serve, and a drain at each real one, in one revision.
        Gives its number, and when discovery had it."""
        self.changes += 1
        rows: list[dict[str, Any]] = [{"destination": destination, "address": f"127.0.0.1:{self.changes}"}]
        for relay in self.real:
            rows += relay.rows()
        told = await self.discovery.ask("change", rows=rows)
        return self.changes, told["at"]

    async def real_in_force(self, begun: float, within: float, settle: float = 0.2) -> list[float | None]:
        """Seconds until each real relay went by the last change; looked at again `settle` later, for calls to
        the old host that come yet."""
        if not self.real:
            return []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                while any(relay.in_force(begun) is None for relay in self.real):
                    await asyncio.sleep(0.02)
        await asyncio.sleep(settle)
        times = [relay.in_force(begun) for relay in self.real]
        return [None if at is None else at - begun for at in times]


class TooMuch(Exception):
    """More memory or processes than the run may use."""


@dataclass
class Peak:
    """The most that all processes of a run had at once, as the guard saw it; what they share counts twice."""

    mb: float = 0.0
    processes: int = 0


async def guard(peak: Peak, most_share: float = 0.5) -> None:
    """Looks each second at all processes of the run. Raises TooMuch."""
    most = psutil.virtual_memory().total * most_share
    own = psutil.Process()
    while True:
        used, count = own.memory_info().rss, 1
        for child in own.children(recursive=True):
            with contextlib.suppress(psutil.Error):
                used += child.memory_info().rss
                count += 1
        peak.mb, peak.processes = max(peak.mb, used / 1e6), max(peak.processes, count)
        if used > most or count > MOST_PROCESSES:
            raise TooMuch(f"{used / 1e6:.0f} MB in {count} processes; at most {most / 1e6:.0f} MB")
        await asyncio.sleep(1.0)


async def guarded(work: Any, peak: Peak) -> Any:
    """The work's result, unless the guard stops it. Raises TooMuch, or what the work raises."""
    working, watching = asyncio.ensure_future(work), asyncio.ensure_future(guard(peak))
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
