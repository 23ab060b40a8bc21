"""Faults at the largest size, with a change of a host during each, and its latency at all running relays.

The latency starts when discovery has the change, also for relays that start after it. For relays that were
cut off it starts at the heal (`since_heal_s`), and after a loss of all registries at their restart.
"""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from benchmarks.scale.accounts import MESSAGES_PER_S, REGIONS, RELAYS, ZONES, ChangeLatency
from benchmarks.scale.children import ChildError
from benchmarks.scale.fleet import RegistryProcess, ResourceUse, ScaleFleet

START_PACE = MESSAGES_PER_S / RELAYS  # first messages a second that a relay gets after its start
OUTDATED_CHECK_S = 1.0  # after a stalled registry continues; its outdated list must not be applied meanwhile


@dataclass(frozen=True, slots=True)
class FaultDurations:
    """Seconds for which each fault lasts."""

    registry_stop: float  # by SIGSTOP
    partition: float  # of regions; the state of a cut registry is stale after 6 s
    registries_loss: float  # of all registries
    zone_loss: float


class FaultScenarios:
    """Runs the faults on a fleet and keeps their results.

    `latencies` are of changes at relays that could reach discovery.
    """

    def __init__(
        self, fleet: ScaleFleet, durations: FaultDurations, within: float, log: Callable[[str], None]
    ) -> None:
        self.fleet, self.durations, self.within, self.log = fleet, durations, within, log
        self.results: dict[str, Any] = {}
        self.latencies: list[ChangeLatency] = []
        count = fleet.hollow.relays
        self.all_relays = range(count)
        self.zone_relays = [n for n in self.all_relays if n % ZONES == 0]
        self.region_relays = [n for n in self.all_relays if n % REGIONS == 1]  # spread over the workers
        self.restarted_relays = [n for n in self.all_relays if n % 20 == 7]

    async def run_all(self) -> None:
        for name, fault in (
            ("twentieth_restarted", self.restart_relays),
            ("zone_gone_and_back", self.lose_zone),
            ("region_starts_at_once", self.restart_region),
            ("registry_killed", self.kill_registry),
            ("registry_stopped", self.stop_registry),
            ("regions_parted", self.partition_regions),
            ("all_registries_gone", self.lose_all_registries),
        ):
            await self.run_fault(name, fault)

    async def run_fault(self, name: str, fault: Callable[[], Awaitable[dict[str, Any]]]) -> None:
        """Runs one fault; adds the resources used meanwhile to its result, or keeps the error of a child."""
        before, uses = await self.fleet.hollow.counts(), {r.number: r.use for r in self.fleet.registries}
        programs = {r.number: r.program for r in self.fleet.registries}
        try:
            result = await fault()
        except ChildError as error:
            self.results[name] = {"failed": str(error)}
            self.log(f"{name} failed: {error}")
            return
        after = await self.fleet.hollow.counts()
        cpu, bytes_ = after.use.rate(before.use)
        relays = len(self.all_relays)
        result["moves"] = int(after.sum("moves") - before.sum("moves"))
        result["refused"] = int(after.sum("refused") - before.sum("refused"))
        result["cpu_per_relay"] = float(f"{cpu / relays:.3g}")
        result["bytes_per_s_per_relay"] = round(bytes_ / relays)
        no_use = ResourceUse(before.use.at, 0.0, 0)  # of a process that was restarted
        result["registry_cpu"] = [
            round(r.use.rate(uses[r.number] if r.program is programs[r.number] else no_use)[0], 3)
            for r in self.fleet.registries
        ]
        result["seconds"] = round(after.use.at - before.use.at, 1)
        self.results[name] = result
        self.log(f"{name}: {result}")

    async def measure_change(self, numbers: Iterable[int] | None = None) -> dict[str, Any]:
        """Makes a change; returns its latency at running hollow relays (None: all) and at real relays."""
        number, changed_at = await self.fleet.change()
        return await self.measure_latency(number, changed_at, numbers)

    async def measure_latency(
        self, number: int, changed_at: float, numbers: Iterable[int] | None
    ) -> dict[str, Any]:
        """Waits until relays have applied a change; returns its latency at hollow and real relays."""
        hollow, real = ChangeLatency(), ChangeLatency()
        (applied_at, missing), seconds_by_real = await asyncio.gather(
            self.fleet.hollow.wait_for_change(number, numbers, self.within),
            self.fleet.wait_for_real_relays(changed_at, self.within),
        )
        hollow.add(changed_at, applied_at, missing)
        real_applied_at = [changed_at + seconds for seconds in seconds_by_real if seconds is not None]
        real.add(changed_at, real_applied_at, len(seconds_by_real) - len(real_applied_at))
        self.latencies.append(hollow)
        return {"in_force_s": hollow.figures(), "real_in_force_s": real.figures()}

    async def restart_relays(self) -> dict[str, Any]:
        """Restarts one relay in twenty, spread over the fleet."""
        hollow = self.fleet.hollow
        await hollow.call("stop", self.restarted_relays)
        start_task = asyncio.create_task(hollow.start(self.restarted_relays, self.within, START_PACE))
        change = await self.measure_change()
        return {**change, "relays": len(self.restarted_relays), "whole_s": await start_task}

    async def lose_zone(self) -> dict[str, Any]:
        """Stops all relays of a zone, and starts them again after a while."""
        hollow = self.fleet.hollow
        await hollow.call("stop", self.zone_relays)
        without_zone = await self.measure_change()
        await asyncio.sleep(self.durations.zone_loss)
        start_task = asyncio.create_task(hollow.start(self.zone_relays, self.within, START_PACE))
        with_zone = await self.measure_change()
        return {
            "relays": len(self.zone_relays),
            "gone": without_zone,
            "back": with_zone,
            "whole_s": await start_task,
        }

    async def restart_region(self) -> dict[str, Any]:
        """Stops all relays of a region and starts them again at once."""
        hollow = self.fleet.hollow
        await hollow.call("stop", self.region_relays)
        start_task = asyncio.create_task(hollow.start(self.region_relays, self.within, START_PACE))
        change = await self.measure_change()
        return {**change, "relays": len(self.region_relays), "whole_s": await start_task}

    def _registry_of_real_relay(self) -> RegistryProcess:
        """Returns the registry of the first real relay, so that the fault always affects a real relay."""
        return self.fleet.registries[self.fleet.real[0].registry_number if self.fleet.real else 0]

    async def kill_registry(self) -> dict[str, Any]:
        """Kills a registry and starts it again after a change."""
        registry = self._registry_of_real_relay()
        await registry.end(signal.SIGKILL)
        change = await self.measure_change()
        started = time.monotonic()
        await registry.start(self.fleet.discovery_address)
        await registry.wait_until_listed()
        return {**change, "registry": registry.number, "listed_again_s": round(time.monotonic() - started, 2)}

    async def stop_registry(self) -> dict[str, Any]:
        """Stops a registry, and continues it right after a second change that it doesn't know."""
        registry = self._registry_of_real_relay()
        assert registry.program is not None
        registry.program.send_signal(signal.SIGSTOP)
        end = time.monotonic() + self.durations.registry_stop
        change = await self.measure_change()
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        number, changed_at = await self.fleet.change()
        registry.program.send_signal(signal.SIGCONT)
        after_continue = await self.measure_latency(number, changed_at, None)
        await asyncio.sleep(OUTDATED_CHECK_S)
        outdated = sum(await self.fleet.hollow.call("astray", change=number, destination=0))
        return {**change, "registry": registry.number, "woken": after_continue, "went_back": outdated}

    async def partition_regions(self) -> dict[str, Any]:
        """Lets one region reach a single registry only, which is cut off from discovery as well."""
        hollow, registry = self.fleet.hollow, self._registry_of_real_relay()
        others = [r.address for r in self.fleet.registries if r is not registry]
        other_relays = sorted(set(self.all_relays) - set(self.region_relays))
        assert registry.upstream is not None
        await hollow.call("cut", self.region_relays, places=others)
        registry.upstream.cut()
        measuring = asyncio.create_task(self.measure_change(other_relays))
        await asyncio.sleep(self.durations.partition)
        number = self.fleet.last_change
        applied_despite_cut, _ = await hollow.wait_for_change(number, self.region_relays, 0.0)
        await hollow.call("heal", self.region_relays)
        registry.upstream.heal()
        healed_at = time.monotonic()
        applied_at, missing = await hollow.wait_for_change(number, self.region_relays, self.within)
        latency = ChangeLatency()
        latency.add(healed_at, (at for at in applied_at if at >= healed_at), missing)
        return {
            **await measuring,
            "cut_s": self.durations.partition,
            "relays": len(self.region_relays),
            "registry": registry.number,
            "in_force_despite_cut": len(applied_despite_cut),
            "since_heal_s": latency.figures(),
        }

    async def lose_all_registries(self) -> dict[str, Any]:
        """Kills all registries, makes a change meanwhile, and starts them again."""
        fleet = self.fleet
        await asyncio.gather(*(r.end(signal.SIGKILL) for r in fleet.registries))
        number, changed_at = await fleet.change()
        await asyncio.sleep(self.durations.registries_loss)
        for registry in fleet.registries:
            await registry.start(fleet.discovery_address)
        restarted_at = time.monotonic()
        await asyncio.gather(*(r.wait_until_listed() for r in fleet.registries))
        listed_at = time.monotonic()
        applied_at, missing = await fleet.hollow.wait_for_change(number, None, self.within)
        real = await fleet.wait_for_real_relays(changed_at, self.within)
        latency = ChangeLatency()
        latency.add(restarted_at, applied_at, missing)
        return {
            "away_s": self.durations.registries_loss,
            "listed_s": round(listed_at - restarted_at, 2),
            "since_back_s": latency.figures(),
            "real_since_back_s": [
                None if t is None else round(changed_at + t - restarted_at, 3) for t in real
            ],
        }
