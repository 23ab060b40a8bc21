"""Scale run: slopes on the smaller sizes, prediction, measurement at the largest size, and faults there.

CPU time is what the kernel counted for a process, so other work on the machine affects it little; times until
a change is applied are elapsed times and include it. Few processes stand in for the target's registries:
figures of one registry at the target are the totals divided by the number of registries there.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.fits import Law
from benchmarks.process import ROOT
from benchmarks.scale import accounts
from benchmarks.scale.accounts import (
    DESTINATIONS,
    REGISTRIES,
    RELAYS,
    SLICE_SIZE,
    ChangeLatency,
    disagreement_ratio,
    merge_latencies,
)
from benchmarks.scale.faults import FaultDurations, FaultScenarios
from benchmarks.scale.fleet import ScaleFleet, cpu_time
from benchmarks.scale.real import RealRelay
from benchmarks.scale.slopes import Slopes, plot, round_digits
from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.simulator import read_settings
from tests.standins.harness import SETTINGS

SHARED_DESTINATIONS = 8  # served by all hollow relays
SEED = 41
RESOLUTION_S = 0.1  # real relays are observed by messages 50 ms apart, beside other work
STARTS_AT_ONCE = 4  # hollow relays of a worker that start together
CLIENTS = 8  # that submit the first messages for new destinations to a real relay
CHANGES_PER_ROUND = 500  # of the decision module
CHANGE_TIMEOUT_S = 60.0  # a relay that has not applied a change by then counts as missing


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes and durations (seconds) of a run; the last of the sizes is the largest."""

    destinations: tuple[int, ...]
    slices: tuple[int, ...]
    relays: tuple[int, ...]  # hollow relays
    members: tuple[int, ...]  # of the gossip fleet
    registries: int
    real_relays: int
    relays_per_worker: int
    changes: int  # at each number of relays
    steady_s: float  # for which CPU time and bytes are counted; watches take 2 s
    settle_s: float  # after a step, before the measurement
    fault_durations: FaultDurations | None  # None: without faults
    concurrent: bool  # slices and members are measured during the faults


QUICK = Plan(
    destinations=(10_000, 20_000, 30_000, 50_000),
    slices=(50, 100, 200, 500),
    relays=(60, 120, 240),
    members=(25, 50, 100),
    registries=2,
    real_relays=2,
    relays_per_worker=60,
    changes=8,
    steady_s=2.0,
    settle_s=0.2,
    fault_durations=FaultDurations(registry_stop=4.5, partition=9.0, registries_loss=0.5, zone_loss=0.3),
    concurrent=True,
)
FULL = Plan(
    destinations=(10_000, 50_000, 100_000, 200_000, DESTINATIONS),
    slices=(50, 100, 200, 400, 1_600),
    relays=(100, 300, 600, 1_200, RELAYS),
    members=(50, 100, 200, 400),
    registries=3,
    real_relays=8,
    relays_per_worker=300,
    changes=10,
    steady_s=10.0,
    settle_s=2.0,
    fault_durations=FaultDurations(registry_stop=10.0, partition=20.0, registries_loss=5.0, zone_loss=5.0),
    concurrent=False,
)


STARTED_AT = time.monotonic()


def log_progress(text: str) -> None:
    print(f"{time.monotonic() - STARTED_AT:6.1f} {text}", flush=True)


async def measure_destinations(plan: Plan, folder: Path, slopes: Slopes) -> None:
    """Measures the start of a registry without relays, by the number of destinations."""
    for n, count in enumerate(plan.destinations):
        if n == len(plan.destinations) - 1:
            log_progress(f"predicted at {count} destinations: {slopes.predict('destinations', count)}")
        async with ScaleFleet(folder / f"list{n}", 1) as fleet:
            await fleet.begin(count)
            started = time.monotonic()
            await fleet.add_registries(1)
            elapsed = time.monotonic() - started
            registry = fleet.registries[0]
            use = registry.use
            figures = {
                "registry_mb": registry.memory_mb,
                "registry_start_cpu_s": use.cpu,
                "registry_start_bytes": use.bytes,
            }
        for name, value in figures.items():
            slopes.add(name, "destinations", DESTINATIONS, count, value)
        log_progress(f"{count} destinations: {round_figures(figures)}, list received after {elapsed:.2f} s")


async def measure_slices(plan: Plan, folder: Path, slopes: Slopes, relays: int = 20) -> None:
    """Measures the memory of a hollow relay by the size of its slice."""
    async with ScaleFleet(folder / "slices", relays) as fleet:
        await fleet.begin(max(plan.slices) * 2)
        await fleet.add_registries(1)
        for n, size in enumerate(plan.slices):
            if n == len(plan.slices) - 1:
                log_progress(f"predicted at slices of {size}: {slopes.predict('slice', size)}")
            # It has hollow relays of its own and shares the registry.
            group = ScaleFleet(folder / f"slice{n}", relays)
            group.registries, group.destinations = fleet.registries, fleet.destinations
            group.discovery_address = fleet.discovery_address
            group.folder.mkdir()
            try:
                await group.grow(relays, relays, size, SHARED_DESTINATIONS, 0, SEED)
                before = await group.hollow.counts(True)
                started = await group.hollow.start(None, CHANGE_TIMEOUT_S)
                await asyncio.sleep(plan.settle_s)
                after = await group.hollow.counts(True)
            finally:
                await group.hollow.close()
            mb = (after.sum("mb") - before.sum("mb")) / relays
            slopes.add("relay_mb", "slice", SLICE_SIZE, size, mb)
            log_progress(f"slices of {size}: {mb:.3f} MB a relay, slices resolved {started}")


async def measure_single_relays(plan: Plan, folder: Path, slopes: Slopes) -> None:
    """Measures what doesn't need the large fleet: memory by slice size, and gossip datagrams."""
    await measure_slices(plan, folder, slopes)
    await measure_members(plan, folder, slopes)


async def measure_steady_state(fleet: ScaleFleet, seconds: float) -> dict[str, float]:
    """Returns the use of all relays and registries a second, without changes."""
    before, uses = await fleet.hollow.counts(), [r.use for r in fleet.registries]
    await asyncio.sleep(seconds)
    after = await fleet.hollow.counts()
    cpu, bytes_ = after.use.rate(before.use)
    io_operations = (after.sum("pieces") - before.sum("pieces")) / seconds
    return {
        "hollow_cpu": cpu,
        "hollow_bytes_per_s": bytes_,
        "hollow_pieces_per_s": io_operations,
        "registries_cpu": sum(r.use.rate(use)[0] for r, use in zip(fleet.registries, uses, strict=True)),
    }


async def measure_changes(
    fleet: ScaleFleet, count: int, few: bool = False
) -> tuple[ChangeLatency, ChangeLatency, float]:
    """Makes changes and measures their latency.

    With `few` they are of a destination that as many hollow relays serve as there are real relays, instead of
    one that all serve.

    Returns:
        The latency at hollow relays, that at real relays, and the smallest of the changes' medians at hollow
        relays, as other work on the machine only adds to it.
    """
    hollow, real, medians = ChangeLatency(), ChangeLatency(), [CHANGE_TIMEOUT_S]
    for n in range(count):
        number, changed_at = await fleet.change(fleet.few_destination if few else n % SHARED_DESTINATIONS)
        seconds_by_real, (applied_at, missing) = await asyncio.gather(
            fleet.wait_for_real_relays(changed_at, CHANGE_TIMEOUT_S),
            fleet.hollow.wait_for_change(number, fleet.few_relays if few else None, CHANGE_TIMEOUT_S),
        )
        hollow.add(changed_at, applied_at, missing)
        if applied_at:
            medians.append(median(applied_at) - changed_at)
        real_applied_at = [changed_at + seconds for seconds in seconds_by_real if seconds is not None]
        real.add(changed_at, real_applied_at, len(seconds_by_real) - len(real_applied_at))
    return hollow, real, min(medians)


async def measure_relays(plan: Plan, fleet: ScaleFleet, slopes: Slopes) -> dict[str, Any]:
    """Measures hollow relays by their number; returns the figures of the largest number."""
    figures: dict[str, Any] = {}
    for n, count in enumerate(plan.relays):
        is_last = n == len(plan.relays) - 1
        if is_last:
            log_progress(f"predicted at {count} relays: {slopes.predict('relays', count)}")
        running = fleet.hollow.relays
        await fleet.grow(
            count, plan.relays[-1], SLICE_SIZE, SHARED_DESTINATIONS, plan.relays[-1] // plan.real_relays, SEED
        )
        started = await fleet.hollow.start(range(running, count), CHANGE_TIMEOUT_S, at_once=STARTS_AT_ONCE)
        await asyncio.sleep(plan.settle_s)
        latency, _, least_median = await measure_changes(fleet, plan.changes)
        await asyncio.sleep(plan.settle_s)
        use = await measure_steady_state(fleet, plan.steady_s)
        counts = await fleet.hollow.counts(True)
        figures = {
            "started_s": started,
            "in_force": latency,
            "use": use,
            "counts": counts,
            "registries_mb": [registry.memory_mb for registry in fleet.registries],
        }
        for name in ("hollow_cpu", "hollow_bytes_per_s", "registries_cpu"):
            slopes.add(name, "relays", RELAYS, count, use[name])
        slopes.add("in_force_least_median_s", "relays", RELAYS, count, least_median)
        log_progress(
            f"{count} relays: slices resolved {started}, changes applied {latency.figures()}, "
            f"{round_figures(use)}, unresolved {counts.sum('refused'):.0f}, log {counts.log_lines}"
        )
    return figures


async def measure_members(plan: Plan, folder: Path, slopes: Slopes) -> None:
    """Measures gossip by fleet size: bytes in both directions of hollow relays on sockets.

    Memory of the member table and CPU time, which hollow relays share, are measured at a single relay
    (benchmarks/slope_cases.py).
    """
    *smaller, largest = plan.members or (0,)
    for sizes in (smaller, [largest] if smaller else []):
        if sizes == [largest]:
            log_progress(f"predicted at {largest} members: {slopes.predict('members', largest)}")
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(measure_single_member(size)) for size in sizes]
            results = [await measure_datagrams(plan, folder, size) for size in sizes]
        for size, (bytes_, known), task in zip(sizes, results, tasks, strict=True):
            cpu, mb = task.result()
            slopes.add("member_bytes_per_s", "members", RELAYS, size, bytes_, Law.LOG_N)
            slopes.add("member_cpu", "members", RELAYS, size, cpu)
            slopes.add("member_mb", "members", RELAYS, size, mb)
            figures = round_figures({"bytes_per_s": bytes_, "cpu": cpu, "mb": mb})
            log_progress(f"{size} members: {figures}, at least {known} live peers known")


async def measure_datagrams(plan: Plan, folder: Path, count: int) -> tuple[float, int]:
    """Returns the bytes a second of one of `count` hollow relays, and the fewest live peers that one knows.

    Bytes are of both directions; on one machine all that is sent is received.
    """
    async with ScaleFleet(folder / f"members{count}", -(-count // 4)) as fleet:
        await fleet.begin(1)
        await fleet.grow(count, count, 0, 0, 0, SEED)
        joined = await fleet.hollow.call("join")
        members = [description for part in joined for description in part]
        await fleet.hollow.call_all("acquaint", members=members)
        await asyncio.sleep(1.0)  # answers to the first probes are in transit by then
        before = await fleet.hollow.counts()
        await asyncio.sleep(min(2 * plan.steady_s, 10.0))
        after = await fleet.hollow.counts()
        known = min(await fleet.hollow.call_all("known"))
    sent = after.sum("datagram_bytes") - before.sum("datagram_bytes")
    return 2 * sent / count / (after.use.at - before.use.at), known


async def measure_single_member(count: int) -> tuple[float, float]:
    """Returns the cores and MB of one relay in its own process, in a fleet of `count`."""
    cpu = (await run_slope_case("sockets", count))["relay_ms_per_s"] / 1e3
    return cpu, (await run_slope_case("member_memory", count))["view_bytes"] / 1e6


async def run_slope_case(name: str, size: int) -> dict[str, float]:
    """Runs a case of benchmarks.slope_cases in a process of its own; returns its figures."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.slope_cases",
        name,
        str(size),
        "1",
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.terminate()
            await process.wait()
    figures: dict[str, float] = json.loads(output)
    return figures


async def measure_real_control(fleet: ScaleFleet, plan: Plan, folder: Path) -> dict[str, float]:
    """Measures control bytes and cores of real relays with traffic, and cores of one without a registry."""
    alone = RealRelay(99, 1, folder / "alone")
    await alone.open_hosts()
    try:
        await alone.start(None, "")
        await alone.harness.submit_once_listed("first", alone.destination)
        alone.start_traffic()
        await asyncio.sleep(plan.settle_s)
        seconds = plan.steady_s
        relays = [*fleet.real, alone]
        cpu = [-cpu_time(relay.pid) for relay in relays]
        bytes_ = sum(relay.control_bytes for relay in fleet.real)
        started = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = [(start + cpu_time(relay.pid)) / elapsed for start, relay in zip(cpu, relays, strict=True)]
        bytes_ = sum(relay.control_bytes for relay in fleet.real) - bytes_
    finally:
        await alone.close()
    return {
        "bytes_per_s": bytes_ / elapsed / len(fleet.real),
        "cpu_with_registry": median(cpu[:-1]),
        "cpu_without": cpu[-1],
    }


async def measure_real_memory(fleet: ScaleFleet, additional: int, settle: float) -> float:
    """Returns the MB of a real relay for each additional destination, with its connections."""
    relay = fleet.real[0]
    host = relay.hosts["a"].address
    first = fleet.destinations + 1_000
    rows = [
        {"destination": n, "name": f"y{n}", "phase": "Ready", "address": host}
        for n in range(first, first + additional)
    ]
    await fleet.discovery.call("change", rows=rows)
    before = relay.memory_mb

    async def submit(start: int) -> None:
        for n in range(start, first + additional, CLIENTS):
            await relay.harness.submit_once_listed(f"more{n}", n)

    await asyncio.gather(*(submit(first + n) for n in range(CLIENTS)))
    await asyncio.sleep(settle)
    return (relay.memory_mb - before) / additional


def measure_change_costs(entry_counts: Sequence[int], rounds: int = 15) -> list[float]:
    """Measures the CPU seconds of a decision module for one changed entry, by the number of listed entries.

    Returns the smallest value of the rounds, as other work only adds to it. Rounds of the sizes alternate.
    """

    def entry(n: int, state: EndpointState = EndpointState.ACTIVE) -> EndpointEntry:
        return EndpointEntry(f"h{n}", n, state, "a", "plain", 1.0)

    schedulers = [Scheduler(1, read_settings(dict(SETTINGS))) for _ in entry_counts]
    events = []
    for scheduler, count in zip(schedulers, entry_counts, strict=True):
        scheduler.handle_batch(
            0, [EndpointListReceived(EndpointListKind.FULL, tuple(entry(n) for n in range(count)))]
        )
        states = [EndpointState.ACTIVE, EndpointState.DRAINING]
        rows = (entry(n * 7 % count, states[n % 2]) for n in range(CHANGES_PER_ROUND))
        events.append([EndpointListReceived(EndpointListKind.DELTA, (row,)) for row in rows])
    least = [math.inf for _ in entry_counts]
    for n in range(rounds):
        for index, scheduler in enumerate(schedulers):
            started = time.process_time()
            for event in events[index]:
                scheduler.handle_batch(1_000 * (n + 1), [event])
            least[index] = min(least[index], (time.process_time() - started) / CHANGES_PER_ROUND)
    return least


def round_figures(figures: dict[str, float]) -> dict[str, float]:
    return {name: round_digits(value) for name, value in figures.items()}


async def measure(plan: Plan, plots: Path | None) -> dict[str, Any]:
    """Runs a plan; returns the fields of the result, and writes plots if a folder is given."""
    slopes = Slopes()
    costs = measure_change_costs((1_000, 50_000))
    log_progress(
        f"CPU time of one changed entry: {costs[0]:.2e} s with 1,000 listed, {costs[1]:.2e} s with 50,000"
    )
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        await measure_destinations(plan, folder, slopes)
        async with asyncio.TaskGroup() as group:

            def start_single_relays() -> None:
                group.create_task(measure_single_relays(plan, folder, slopes))

            measured = await measure_fleet(
                plan, folder, slopes, start_single_relays if plan.concurrent else None
            )
        if not plan.concurrent:
            await measure_single_relays(plan, folder, slopes)
    result: dict[str, Any] = {"relays": plan.relays[-1], "destinations": plan.destinations[-1]}
    result |= make_result(plan, slopes, measured, costs[1] / costs[0])
    result["over_budget"] = accounts.find_exceeded_limits(result)
    if plots is not None:
        try:
            plot(slopes, plots)
        except (ImportError, OSError, ValueError) as error:
            result["plots"] = f"failed: {error!r}"  # the figures are returned without plots
    return result


@dataclass(frozen=True, slots=True)
class FleetMeasurement:
    """Measurements of the whole fleet at its largest size."""

    hollow_figures: dict[str, Any]  # of `measure_relays`
    hollow: ChangeLatency  # of changes for all hollow relays, without faults
    few: ChangeLatency  # of changes for as many hollow relays as there are real ones
    real: ChangeLatency
    control: dict[str, float]
    destination_mb: float  # at a real relay
    faults: FaultScenarios
    traffic: dict[str, Any]
    log: dict[str, int]


async def measure_fleet(
    plan: Plan, folder: Path, slopes: Slopes, on_slopes_measured: Callable[[], object] | None
) -> FleetMeasurement:
    """Measures the whole fleet; calls `on_slopes_measured` once the slopes are measured."""
    async with ScaleFleet(folder / "fleet", plan.relays_per_worker) as fleet:
        await fleet.begin(plan.destinations[-1])
        await fleet.add_registries(plan.registries)
        hollow_figures = await measure_relays(plan, fleet, slopes)
        if on_slopes_measured is not None:
            on_slopes_measured()
        await fleet.add_real(plan.real_relays)
        hollow, _, _ = await measure_changes(fleet, plan.changes)
        few, real, _ = await measure_changes(fleet, plan.changes, few=True)
        log_progress(
            f"with {plan.real_relays} real relays: changes applied at hollow relays {hollow.figures()}, "
            f"at {plan.real_relays} of them {few.figures()}, at real relays {real.figures()}"
        )
        control = await measure_real_control(fleet, plan, folder)
        destination_mb = await measure_real_memory(fleet, SLICE_SIZE, plan.settle_s)
        log_progress(f"real relays: {round_figures(control)}, {destination_mb:.5f} MB a destination")
        faults = FaultScenarios(
            fleet, plan.fault_durations or FaultDurations(0, 0, 0, 0), CHANGE_TIMEOUT_S, log_progress
        )
        if plan.fault_durations is not None:
            await faults.run_all()
        traffic = {
            "answers": [relay.statuses for relay in fleet.real],
            "no_answer": sum(relay.failed for relay in fleet.real),
            "faults_logged": sum(len(relay.harness.internal_errors) for relay in fleet.real),
        }
        log = (await fleet.hollow.counts()).log_lines
    return FleetMeasurement(hollow_figures, hollow, few, real, control, destination_mb, faults, traffic, log)


def make_result(plan: Plan, slopes: Slopes, measured: FleetMeasurement, cost_ratio: float) -> dict[str, Any]:
    """Returns each figure of a relay as predicted at the target size, with its parts."""
    at_target = {name: slope.at_target() for name, slope in slopes.all.items()}
    figures, hollow, real, control = (
        measured.hollow_figures,
        measured.hollow,
        measured.real,
        measured.control,
    )
    use, relay_count = figures["use"], plan.relays[-1]
    member = {name: at_target.get(f"member_{name}") for name in ("cpu", "mb", "bytes_per_s")}
    parts = {
        "control_cpu": (at_target["hollow_cpu"] / RELAYS, member["cpu"]),
        "control_mb": (at_target["relay_mb"], member["mb"]),
        "control_bytes_per_s": (at_target["hollow_bytes_per_s"] / RELAYS, member["bytes_per_s"]),
    }
    result: dict[str, Any] = {
        "prediction_error": None if slopes.worst_error is None else round(slopes.worst_error, 3),
        "model_failed": slopes.failed(accounts.LIMITS[0].maximum),
        "in_force_s": merge_latencies([figures["in_force"], hollow, *measured.faults.latencies]).figures()
        | {"steady": hollow.figures(), "few": measured.few.figures(), "real": real.figures()},
    }
    sizes = [int(size) for size, _ in slopes.all["member_cpu"].points] if "member_cpu" in slopes.all else []
    membership_from = f"sockets, members {sizes}"
    for name, (slices, membership) in parts.items():
        result[name] = {
            "predicted": round_digits(slices + (membership or 0.0)),
            "slices": round_digits(slices),
            "membership": None if membership is None else round_digits(membership),
            "membership_from": membership_from if membership is not None else "not measured in this run",
        }
    result["change_cost_ratio"] = round(cost_ratio, 3)
    pairs: dict[str, tuple[float, float, float]] = {
        "bytes_per_s": (use["hollow_bytes_per_s"] / relay_count, control["bytes_per_s"], 0.0),
    }
    for name in ("median", "worst"):
        hollow_value, real_value = measured.few.figures()[name], real.figures()[name]
        if hollow_value is not None and real_value is not None:
            pairs[f"in_force_{name}_s"] = (hollow_value, real_value, RESOLUTION_S)
    compared = {
        name: {
            "hollow": round_digits(hollow_value),
            "real": round_digits(real_value),
            "ratio": round(disagreement_ratio(hollow_value, real_value, resolution), 3),
        }
        for name, (hollow_value, real_value, resolution) in pairs.items()
    }
    result["agree"] = {
        "worst": max(pair["ratio"] for pair in compared.values()),
        **compared,
        "resolution_s": RESOLUTION_S,
    }
    result["agree"]["beside_mb_per_destination"] = {
        "hollow": round_digits(slopes.all["relay_mb"].fitted.slope),
        "real": round_digits(measured.destination_mb),
        "why": "not in worst: a real one holds connections and the engine's rows for it besides",
    }
    result["registry"] = {
        "processes": plan.registries,
        "stand_for": REGISTRIES,
        "mb_at_target": round_digits(at_target["registry_mb"]),
        "mb_with_relays": [round_digits(value) for value in figures["registries_mb"]],
        "cpu_at_target_each": round_digits(at_target["registries_cpu"] / REGISTRIES),
        "bytes_per_s_at_target_each": round_digits(at_target["hollow_bytes_per_s"] / REGISTRIES),
        "start_cpu_s_at_target": round_digits(at_target["registry_start_cpu_s"]),
        "start_bytes_at_target": round_digits(at_target["registry_start_bytes"]),
    }
    result["start_all_slices_s"] = figures["started_s"]
    result["pieces_per_s"] = round_digits(use["hollow_pieces_per_s"] / relay_count)
    result["faults"] = measured.faults.results
    result["slopes"] = {name: slope.figures() for name, slope in slopes.all.items()}
    result["real"] = {
        **round_figures(control),
        "mb_per_destination": round_digits(measured.destination_mb),
        **measured.traffic,
    }
    result["log"] = measured.log
    return result
