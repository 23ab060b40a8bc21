"""Measure deliveries, rejections and recovery of many relays at one limited destination, in virtual time.

Each figure is printed beside that of an earlier decision module, from before larger fleets were supported, on
the same cases.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.earlier_decisions import load_earlier_decisions
from benchmarks.fleetmodel import Decider, FleetCase, FleetModel, FleetResult
from benchmarks.process import run
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings

BEFORE = "86abfef"
FLEET_SIZES = (1, 10, 40)
LIMIT_PER_RELAY = 1.4  # calls a second
LIMIT_RESTORED_S = 17.0  # the limit is halved for the nine seconds before

SchedulerFactory = Callable[[int, RelaySettings], Decider]


def recovery_seconds(result: FleetResult, case: FleetCase) -> float:
    """Returns the seconds from the limit's restoration until one second's deliveries reach 0.8 of it."""
    second = int(LIMIT_RESTORED_S)
    while second + 1 < case.seconds:
        if result.count_calls(AttemptStatus.OK, second, second + 1) >= 0.8 * case.limit:
            return second + 1 - LIMIT_RESTORED_S
        second += 1
    return case.seconds - LIMIT_RESTORED_S


def measure_fleet(make_scheduler: SchedulerFactory, relays: int, seeds: int) -> dict[str, float]:
    """Returns each figure as the mean over seeds."""
    rows = []
    for seed in range(1, seeds + 1):
        limit = LIMIT_PER_RELAY * relays
        overload = FleetCase(relays=relays, limit=limit, load=1.3, seed=seed)
        overload_result = FleetModel(overload, make_scheduler).run()
        reduced = FleetCase(
            relays=relays, limit=limit, load=0.95, seed=seed, reduced_limit=(8.0, LIMIT_RESTORED_S, 0.5)
        )
        reduced_result = FleetModel(reduced, make_scheduler).run()
        crash = FleetCase(relays=relays, limit=limit, load=0.85, seed=seed, crash=(10.0, 0.7))
        crash_result = FleetModel(crash, make_scheduler).run()
        rows.append(
            {
                "goodput": overload_result.count_calls(AttemptStatus.OK) / (limit * overload.seconds),
                "refused_per_delivered": overload_result.count_calls(AttemptStatus.REJECTED)
                / max(1, overload_result.count_calls(AttemptStatus.OK)),
                "peak_over_mean": crash_result.peak_over_mean(12.0, 16.0, 0.5),
                "recover_s": recovery_seconds(reduced_result, reduced),
            }
        )
    return {name: round(sum(row[name] for row in rows) / len(rows), 3) for name in rows[0]}


async def measure(quick: bool) -> dict[str, Any]:
    seeds = 3 if quick else 12
    result: dict[str, Any] = {"before_commit": BEFORE}
    with tempfile.TemporaryDirectory() as folder:
        before = load_earlier_decisions(Path(folder), BEFORE)
        for relays in FLEET_SIZES:
            now = measure_fleet(Scheduler, relays, seeds)
            was = measure_fleet(before, relays, seeds) if before is not None else {}
            print(f"{relays:3d} relays: {now}, before {was}")
            result[f"relays_{relays}"] = {"now": now, "before": was}
    return result


if __name__ == "__main__":
    run("manyrelays", __doc__, measure)
