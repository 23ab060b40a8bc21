"""Many relays at one limited destination, in virtual time: what is delivered and refused, and how soon.

Each figure stands beside that of the module before the larger fleet was asked for, on the same cases.
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
RATE = 1.4  # calls a second of the limit for each relay
BACK = 17.0  # seconds; the limit is a half for nine seconds until then

Make = Callable[[int, RelaySettings], Decider]


def recovered(told: FleetResult, case: FleetCase) -> float:
    """Seconds from the limit's return until a second's deliveries come up to eight tenths of it."""
    second = int(BACK)
    while second + 1 < case.seconds:
        if told.count_calls(AttemptStatus.OK, second, second + 1) >= 0.8 * case.limit:
            return second + 1 - BACK
        second += 1
    return case.seconds - BACK


def figures(make: Make, relays: int, seeds: int) -> dict[str, float]:
    """The mean over seeds."""
    rows = []
    for seed in range(1, seeds + 1):
        limit = RATE * relays
        full = FleetCase(relays=relays, limit=limit, load=1.3, seed=seed)
        told = FleetModel(full, make).run()
        lowered = FleetCase(relays=relays, limit=limit, load=0.95, seed=seed, reduced_limit=(8.0, BACK, 0.5))
        again = FleetModel(lowered, make).run()
        killed = FleetCase(relays=relays, limit=limit, load=0.85, seed=seed, crash=(10.0, 0.7))
        back = FleetModel(killed, make).run()
        rows.append(
            {
                "goodput": told.count_calls(AttemptStatus.OK) / (limit * full.seconds),
                "refused_per_delivered": told.count_calls(AttemptStatus.REJECTED)
                / max(1, told.count_calls(AttemptStatus.OK)),
                "peak_over_mean": back.peak_over_mean(12.0, 16.0, 0.5),
                "recover_s": recovered(again, lowered),
            }
        )
    return {name: round(sum(row[name] for row in rows) / len(rows), 3) for name in rows[0]}


async def measure(quick: bool) -> dict[str, Any]:
    seeds = 3 if quick else 12
    result: dict[str, Any] = {"before_commit": BEFORE}
    with tempfile.TemporaryDirectory() as folder:
        before = load_earlier_decisions(Path(folder), BEFORE)
        for relays in FLEET_SIZES:
            now = figures(Scheduler, relays, seeds)
            was = figures(before, relays, seeds) if before is not None else {}
            print(f"{relays:3d} relays: {now}, before {was}")
            result[f"relays_{relays}"] = {"now": now, "before": was}
    return result


if __name__ == "__main__":
    run("manyrelays", __doc__, measure)
