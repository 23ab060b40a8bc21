"""Measure how often a fleet overloads a destination that returns cold from an outage, in virtual time.

A cold destination takes N calls in the overload window of the settings; 2 x sqrt(N) + 2 more are attributed
to chance.
Cases: few and many relays, sparse and uneven traffic, demand under and over the limit, listed rates that are
absent, right and wrong by half, outages that refuse connections and that leave calls unanswered, relays that
have just started.
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
from benchmarks.manyrelays import SchedulerFactory
from benchmarks.process import run
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.scheduler import Scheduler

BEFORE = "1dd4122"

FLEET_SIZES = (2, 5, 20, 30, 230)
LOADS = (0.6, 0.9, 1.3)
LISTED_RATES = (None, "nominal", "rough")
make_scheduler: SchedulerFactory = Scheduler  # set in each process of the pool


def draw_cold_return(relays: int, load: float, listed_rates: str | None, seed: int) -> FleetCase:
    """Returns a case with one outage; all that the parameters leave open is drawn from the seed."""
    draw = random.Random(f"{relays} {load} {listed_rates} {seed}")
    outage_s = draw.uniform(4, 14)
    outage_start = draw.uniform(6, 12)
    return FleetCase(
        relays=relays,
        limit=draw.choice((draw.uniform(6, 40), relays * draw.uniform(0.2, 1.0) + 4)),
        load=load,
        seconds=outage_start + outage_s + 14,
        listed_rates=listed_rates,
        outage=(outage_start, outage_start + outage_s),
        hangs=draw.random() < 0.5,
        cold=True,
        skew=draw.choice((0.0, 0.7, 1.4)),
        crash=(outage_start + outage_s - draw.uniform(0, 2), 0.3) if draw.random() < 0.3 else None,
        burst_fraction=draw.choice((0.0, 0.2)),
        rejected_calls_use_limit=draw.random() < 0.5,
        retry_after_us=draw.choice((0, 500_000)),
        seed=seed,
    )


def simulate_return(parameters: tuple[int, float, str | None, int]) -> tuple[float, float]:
    """Returns the worst budget excess, and the calls delivered after the outage over the limit."""
    case = draw_cold_return(*parameters)
    result = FleetModel(case, make_scheduler).run()
    assert case.outage is not None
    outage_end = case.outage[1]
    delivered = result.count_calls(AttemptStatus.OK, outage_end, case.seconds)
    return worst_budget_excess(result, case), delivered / (case.limit * (case.seconds - outage_end))


def load_scheduler(commit: str | None) -> None:
    """Initializes a process of the pool; None: the present decision module."""
    global make_scheduler
    if commit is not None:
        with tempfile.TemporaryDirectory() as folder:
            earlier = load_earlier_decisions(Path(folder), commit)
        assert earlier is not None
        make_scheduler = earlier


def measure_fleets(fleet_sizes: Sequence[int], seeds: int, commit: str | None = None) -> dict[str, Any]:
    """Returns the figures of each fleet size.

    These are the part of the returns that overload the destination, the ninth decile of the budget excess and
    the mean part of the limit that is delivered.
    """
    grid = list(itertools.product(fleet_sizes, LOADS, LISTED_RATES, range(1, seeds + 1)))
    with multiprocessing.Pool(initializer=load_scheduler, initargs=(commit,)) as pool:
        rows = pool.map(simulate_return, grid, chunksize=1)
    result: dict[str, Any] = {}
    for relays in fleet_sizes:
        size_rows = [row for parameters, row in zip(grid, rows, strict=True) if parameters[0] == relays]
        excesses = sorted(excess for excess, _ in size_rows)
        result[str(relays)] = {
            "returns": len(size_rows),
            "tipped": round(sum(excess > 1 for excess in excesses) / len(size_rows), 3),
            "over_9th_decile": round(excesses[len(excesses) * 9 // 10], 2),
            "served": round(statistics.mean(served for _, served in size_rows), 3),
        }
    return result


async def measure(quick: bool) -> dict[str, Any]:
    seeds = 2 if quick else 20
    result: dict[str, Any] = {"before_commit": BEFORE, "now": measure_fleets(FLEET_SIZES, seeds)}
    with tempfile.TemporaryDirectory() as folder:
        if load_earlier_decisions(Path(folder), BEFORE) is not None:
            result["before"] = measure_fleets(FLEET_SIZES, seeds, BEFORE)
    return result


if __name__ == "__main__":
    run("coldreturn", __doc__, measure)
