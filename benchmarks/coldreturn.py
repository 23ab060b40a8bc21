"""Fleets at one destination that comes back cold, in virtual time: how often the sum of their calls tips it.

A cold destination takes N calls in the span that the settings name; 2 x root of N + 2 more are put down to
chance.
Cases: few and many relays, thin and uneven traffic, demand under and over the limit, listed rates that are
absent, right and wrong by half, outages that refuse and that hang, relays that have just started.
"""

from __future__ import annotations

import itertools
import multiprocessing
import random
import statistics
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks.earlier_decisions import load_earlier_decisions
from benchmarks.fleetmodel import FleetCase, FleetModel, worst_budget_excess
from benchmarks.manyrelays import Make
from benchmarks.process import run
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.scheduler import Scheduler

BEFORE = "1dd4122"

FLEET_SIZES = (2, 5, 20, 30, 230)
LOADS = (0.6, 0.9, 1.3)
LISTED_RATES = (None, "nominal", "rough")
made: Make = Scheduler


def draw_cold_return(relays: int, load: float, hints: str | None, seed: int) -> FleetCase:
    """One return, all else drawn from the seed."""
    draw = random.Random(f"{relays} {load} {hints} {seed}")
    down = draw.uniform(4, 14)
    began = draw.uniform(6, 12)
    return FleetCase(
        relays=relays,
        limit=draw.choice((draw.uniform(6, 40), relays * draw.uniform(0.2, 1.0) + 4)),
        load=load,
        seconds=began + down + 14,
        listed_rates=hints,
        outage=(began, began + down),
        hangs=draw.random() < 0.5,
        cold=True,
        skew=draw.choice((0.0, 0.7, 1.4)),
        crash=(began + down - draw.uniform(0, 2), 0.3) if draw.random() < 0.3 else None,
        burst_fraction=draw.choice((0.0, 0.2)),
        rejected_calls_use_limit=draw.random() < 0.5,
        retry_after_us=draw.choice((0, 500_000)),
        seed=seed,
    )


def play(told: tuple[int, float, str | None, int]) -> tuple[float, float]:
    """How far the fullest span was over its budget, and what was delivered after the return over the limit
    then."""
    this = draw_cold_return(*told)
    seen = FleetModel(this, made).run()
    assert this.outage is not None
    back = this.outage[1]
    served = seen.count_calls(AttemptStatus.OK, back, this.seconds) / (this.limit * (this.seconds - back))
    return worst_budget_excess(seen, this), served


def prepare(commit: str | None) -> None:
    """In each process of the pool."""
    global made
    if commit is not None:
        with tempfile.TemporaryDirectory() as folder:
            earlier = load_earlier_decisions(Path(folder), commit)
        assert earlier is not None
        made = earlier


def figures(fleets: Sequence[int], seeds: int, commit: str | None = None) -> dict[str, Any]:
    """For each size of fleet: the share of returns that tip, how far over the ninth in ten is, what is
    served."""
    grid = list(itertools.product(fleets, LOADS, LISTED_RATES, range(1, seeds + 1)))
    with multiprocessing.Pool(initializer=prepare, initargs=(commit,)) as pool:
        rows = pool.map(play, grid, chunksize=1)
    result: dict[str, Any] = {}
    for relays in fleets:
        mine = [row for told, row in zip(grid, rows, strict=True) if told[0] == relays]
        overs = sorted(over for over, _ in mine)
        result[str(relays)] = {
            "returns": len(mine),
            "tipped": round(sum(over > 1 for over in overs) / len(mine), 3),
            "over_9th_decile": round(overs[len(overs) * 9 // 10], 2),
            "served": round(statistics.mean(served for _, served in mine), 3),
        }
    return result


async def measure(quick: bool) -> dict[str, Any]:
    seeds = 2 if quick else 20
    result: dict[str, Any] = {"before_commit": BEFORE, "now": figures(FLEET_SIZES, seeds)}
    with tempfile.TemporaryDirectory() as folder:
        if load_earlier_decisions(Path(folder), BEFORE) is not None:
            result["before"] = figures(FLEET_SIZES, seeds, BEFORE)
    return result


if __name__ == "__main__":
    run("coldreturn", __doc__, measure)
