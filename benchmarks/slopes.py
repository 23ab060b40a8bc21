"""Measure how costs of the program grow with size, fit each, and predict its value at the target size.

python -m benchmarks.slopes [--quick] [--only NAME...]; prints a table and, as the last line, JSON with these
fields of each slope:
  unit, of          what was measured, and what a size counts; times are CPU time where nothing else is said
  sizes             each with `median`, `least` and `most` of its runs, each run in a process of its own
  fit               `kind` (the law, chosen on all but the largest size), `constant` and `slope` over all
                    sizes; `exponent` of a power law through the same points
  predicted_largest, prediction_error
                    the prediction for the largest size by a fit on the others, and its relative error
  target            the size expected in two years, the value predicted there, and how many times that size is
                    the largest one measured

`miss_rate` is computed by the closed form of benchmarks/interest.py and not measured: for each skew and
affinity, the destinations that a relay has in use and its misses a second, by the idle time in seconds.

NAME is the name of a slope, or of a case that measures several slopes at once.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import Any

from benchmarks.fits import Law, Point, choose_law, fit, hold_out
from benchmarks.interest import Demand, cache_load, message_rates
from benchmarks.process import ROOT

RUN_TIMEOUT_S = 900


@dataclass(frozen=True, slots=True)
class Case:
    """A function of benchmarks.slope_cases and the sizes at which it is run."""

    name: str
    size_unit: str  # what a size counts
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]
    target: int
    runs: int = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """One figure of a case. `law` is set where the mechanism implies it; None: chosen by the fit."""

    name: str
    case: str
    figure: str
    unit: str
    law: Law | None = None


WATCH_ENTRIES = (0, 1, 10, 100, 363, 1_000, 2_000, 5_000)
DESTINATIONS = 870_000
HELD_MESSAGES = 2_600_000  # at one relay in the worst case
RELAYS = 2_400
SLICE_SIZE = math.ceil(DESTINATIONS / RELAYS)  # destinations of a relay, if they are divided evenly
FLEET_SIZES = (50, 200, 800, 2_400)
NEWCOMER_FLEET_SIZES = (50, 100, 200, 400, 800)  # larger fleets take many minutes a run
JOINING_FLEET_SIZES = NEWCOMER_FLEET_SIZES[:-1]
# In larger fleets on a busy machine the process of the other relays falls behind, and some are declared dead.
SOCKET_FLEET_SIZES = (25, 50, 100, 200)
LIST_SIZES = (1_000, 2_000, 5_000, 10_000, 20_000, 50_000)
CASES = {
    case.name: case
    for case in (
        Case("listing_change", "entries", LIST_SIZES, (200, 500, 1_000), DESTINATIONS, 7),
        Case("listed", "entries", LIST_SIZES, (200, 500, 1_000), DESTINATIONS),
        Case("held", "messages held", (2_000, 5_000, 10_000, 20_000), (600, 800, 1_000), HELD_MESSAGES),
        Case(
            "drain",
            "messages held for it",
            (1_000, 2_000, 5_000, 10_000, 20_000),
            (100, 200, 400),
            HELD_MESSAGES,
        ),
        Case("watch", "entries in the answer", WATCH_ENTRIES, (0, 10, 100), SLICE_SIZE),
        Case("membership_200ms", "relays", FLEET_SIZES, (10, 20, 40), RELAYS),
        Case("membership_1000ms", "relays", FLEET_SIZES, (10, 20, 40), RELAYS),
        Case("newcomer_200ms", "relays", NEWCOMER_FLEET_SIZES, (10, 20, 40), RELAYS),
        Case("joining_200ms", "relays", JOINING_FLEET_SIZES, (10, 20, 40), RELAYS),
        Case("joining_1000ms", "relays", JOINING_FLEET_SIZES, (10, 20, 40), RELAYS),
        Case("sockets", "relays", SOCKET_FLEET_SIZES, (5, 10, 20), RELAYS),
        Case("member_memory", "relays", FLEET_SIZES, (50, 100, 200), RELAYS),
    )
}
LINEAR, LOG_N = Law.LINEAR, Law.LOG_N
SLOPES = (
    # Each entry is iterated, read or stored once, so the code implies linear laws. Work that creates
    # thousands of objects also pays for garbage collections, which visit all objects; its law is chosen.
    Slope("listing_change", "listing_change", "change_us", "us", LINEAR),
    Slope("module_memory", "listing_change", "module_bytes", "bytes", LINEAR),
    Slope("list_memory", "listed", "list_bytes", "bytes", LINEAR),
    Slope("list_peak", "listed", "list_peak_bytes", "bytes", LINEAR),
    Slope("list_cpu", "listed", "list_cpu_s", "s"),
    Slope("list_cpu_again", "listed", "again_cpu_s", "s"),
    Slope("list_standstill", "listed", "standstill_s", "s"),
    Slope("list_body", "listed", "body_bytes", "bytes", LINEAR),
    Slope("held_memory", "held", "held_bytes", "bytes", LINEAR),
    Slope("held_journal", "held", "journal_bytes", "bytes", LINEAR),
    # Accepting a message does not iterate over messages for closed destinations.
    Slope("take_cpu", "held", "take_us", "us", Law.CONSTANT),
    Slope("beside_cpu", "held", "beside_us", "us", LINEAR),
    Slope("start_s", "held", "start_s", "s on the wall", LINEAR),
    Slope("start_cpu", "held", "start_cpu_s", "s", LINEAR),
    # Messages that wait for an open destination are iterated.
    Slope("drain_cpu", "drain", "drain_us", "us", LINEAR),
    Slope("request_cpu", "watch", "watch_us", "us", LINEAR),
    Slope("request_cpu_server", "watch", "server_us", "us", LINEAR),
    Slope("request_bytes_in", "watch", "to_relay", "bytes to the relay", LINEAR),
    Slope("request_bytes_out", "watch", "from_relay", "bytes from the relay", LINEAR),
    *(
        # The time to spread an update, and the number of its transmissions, grow with log(fleet size).
        Slope(f"{name}_{heartbeat}", f"{case}_{heartbeat}", figure, unit, law)
        for heartbeat in ("200ms", "1000ms")
        for name, case, figure, unit, law in (
            ("fleet_sent", "membership", "sent_per_s", "bytes a second", LOG_N),
            ("fleet_received", "membership", "received_per_s", "bytes a second", LOG_N),
            ("fleet_datagrams", "membership", "datagrams_per_s", "sent a second", Law.CONSTANT),
            ("fleet_cpu", "membership", "cpu_ms_per_s", "ms a second", LINEAR),
            ("fleet_death", "membership", "death_s", "s of virtual time", LOG_N),
            ("fleet_start", "membership", "start_known_s", "s of virtual time", LOG_N),
            ("fleet_restart", "membership", "restart_bytes", "bytes a relay sends for one restart", LOG_N),
            ("fleet_joining", "joining", "all_know_all_s", "s of virtual time", None),
            # There are n times as many datagrams, each with updates chosen from n: a power above one.
            ("fleet_joining_cpu", "joining", "joining_cpu_s", "s", Law.POWER),
            ("fleet_joining_bytes", "joining", "joining_bytes", "bytes a relay sends", None),
        )
    ),
    Slope("fleet_cpu_sockets", "sockets", "relay_ms_per_s", "ms a second", LINEAR),
    # Datagrams carry members drawn at random: all n have arrived after n log n (coupon collector problem).
    *(
        Slope(f"fleet_newcomer{suffix}", "newcomer_200ms", figure, unit, Law.N_LOG_N)
        for suffix, figure, unit in (
            ("", "knows_all_s", "s of virtual time"),
            ("_sent", "newcomer_sent", "bytes that it sends until then"),
            ("_heard", "newcomer_received", "bytes that it receives until then"),
        )
    ),
    Slope("fleet_memory", "member_memory", "view_bytes", "bytes", LINEAR),
)


MESSAGES_PER_S = 460_000  # accepted by all relays
SKEWS, AFFINITIES, IDLE_TIMES_S = (0.0, 0.66, 0.8, 0.88, 1.0), (0.0, 0.5, 0.9, 0.99, 1.0), (10, 60, 300, 900)


def compute_miss_rates() -> list[dict[str, Any]]:
    rows = []
    for skew in SKEWS:
        for affinity in AFFINITIES:
            demand = Demand(MESSAGES_PER_S / RELAYS, SLICE_SIZE, DESTINATIONS, skew, affinity)
            rates = message_rates(demand)
            loads = {str(idle_s): cache_load(rates, idle_s) for idle_s in IDLE_TIMES_S}
            rows.append(
                {
                    "skew": skew,
                    "affinity": affinity,
                    "in_use": {idle_s: round_digits(load.in_use) for idle_s, load in loads.items()},
                    "misses_per_s": {
                        idle_s: round_digits(round(load.misses, 6)) for idle_s, load in loads.items()
                    },
                }
            )
    return rows


def format_miss_rates(rows: list[dict[str, Any]]) -> str:
    heading = f"miss_rate (destinations in use / misses a second, by idle seconds {IDLE_TIMES_S})"
    return "\n".join(
        [
            heading,
            *(
                f"    skew {row['skew']:<5}affinity {row['affinity']:<5}"
                + "".join(f"{row['in_use'][i]:>12g} / {row['misses_per_s'][i]:<9g}" for i in row["in_use"])
                for row in rows
            ),
        ]
    )


def run_once(case: str, size: int, seed: int = 1, quick: bool = False) -> dict[str, float]:
    """Runs a case at one size in a process of its own; returns its figures by name."""
    command = [sys.executable, "-m", "benchmarks.slope_cases", case, str(size), str(seed)]
    command += ["quick"] * quick
    completed = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True, timeout=RUN_TIMEOUT_S
    )
    figures: dict[str, float] = json.loads(completed.stdout.splitlines()[-1])
    return figures


def run_case(case: Case, quick: bool) -> dict[int, list[dict[str, float]]]:
    """Runs a case at its sizes, one process at a time, as two at once would disturb each other.

    Returns the figures of each run by size.
    """
    sizes, runs = (case.quick_sizes, 1) if quick else (case.sizes, case.runs)
    return {size: [run_once(case.name, size, 1 + n, quick) for n in range(runs)] for size in sizes}


def evaluate_slope(
    slope: Slope, case: Case, runs_by_size: dict[int, list[dict[str, float]]]
) -> dict[str, Any]:
    """Returns the printed fields of one slope."""
    rows = {size: sorted(run[slope.figure] for run in runs) for size, runs in runs_by_size.items()}
    points: list[Point] = [(size, statistics.median(values)) for size, values in rows.items()]
    held_out = hold_out(points, slope.law)
    law = slope.law or choose_law(sorted(points)[:-1])
    fitted = fit(points, law)
    return {
        "unit": slope.unit,
        "of": case.size_unit,
        "sizes": {
            str(size): {
                "median": round_digits(statistics.median(values)),
                "least": round_digits(values[0]),
                "most": round_digits(values[-1]),
            }
            for size, values in rows.items()
        },
        "runs": min(len(values) for values in rows.values()),
        "fit": {
            "kind": str(law),
            "constant": round_digits(fitted.constant),
            "slope": round_digits(fitted.slope),
            "exponent": None if fitted.exponent is None else round(fitted.exponent, 2),
        },
        "predicted_largest": round_digits(held_out.predicted),
        "prediction_error": round(held_out.error, 3),
        "target": {
            "size": case.target,
            "predicted": round_digits(fitted.predict(case.target)),
            "times_beyond": round(case.target / max(runs_by_size), 1),
        },
    }


def round_digits(value: float) -> float:
    """Rounds to four significant digits, more than the spread allows; whole numbers to 9,999 stay whole."""
    return float(f"{value:.4g}")


def format_slope(name: str, result: dict[str, Any]) -> str:
    """Formats one slope as lines of text."""
    sizes = "; ".join(
        f"{size}: {v['median']:g} ({v['least']:g} to {v['most']:g})" for size, v in result["sizes"].items()
    )
    fitted, target = result["fit"], result["target"]
    formula = {
        "constant": "{constant:g}",
        "log n": "{constant:g} + {slope:g} x log2 n",
        "linear": "{constant:g} + {slope:g} x n",
        "n log n": "{constant:g} + {slope:g} x n log2 n",
        "power": "{constant:g} x n^{slope:g}",
    }[fitted["kind"]].format(**fitted)
    return (
        f"{name} ({result['unit']}, by {result['of']}, {result['runs']} runs)\n"
        f"    {sizes}\n"
        f"    {formula}; exponent {fitted['exponent']}; largest predicted {result['predicted_largest']:g}, "
        f"error {result['prediction_error']}\n"
        f"    at {target['size']}: {target['predicted']:g} ({target['times_beyond']} times the largest)"
    )


def measure(quick: bool, only: list[str]) -> dict[str, Any]:
    """Runs the cases and returns the result; `only` selects slopes and cases by name, empty: all.

    Raises:
        ValueError: A name is unknown.
    """
    known = {*CASES, *(slope.name for slope in SLOPES), "miss_rate"}
    if unknown := sorted(set(only) - known):
        raise ValueError(f"unknown slopes: {', '.join(unknown)}; known are {', '.join(sorted(known))}")
    wanted = [slope for slope in SLOPES if not only or {slope.name, slope.case} & set(only)]
    slopes: dict[str, Any] = {}
    result: dict[str, Any] = {"slopes": slopes}
    if not only or "miss_rate" in only:
        result["miss_rate"] = compute_miss_rates()
        print(format_miss_rates(result["miss_rate"]), flush=True)
    for case in CASES.values():
        case_slopes = [slope for slope in wanted if slope.case == case.name]
        if not case_slopes:
            continue
        runs_by_size = run_case(case, quick)
        for slope in case_slopes:
            slopes[slope.name] = evaluate_slope(slope, case, runs_by_size)
            print(format_slope(slope.name, slopes[slope.name]), flush=True)
    return result


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.slopes", description=(__doc__ or "").split("\n")[0]
    )
    parser.add_argument("--quick", action="store_true", help="run small sizes once each, in under 55 seconds")
    parser.add_argument("--only", nargs="+", default=[], metavar="NAME")
    arguments = parser.parse_args()
    started = time.monotonic()
    try:
        result = measure(arguments.quick, arguments.only)
    except ValueError as error:
        parser.error(str(error))
    print(json.dumps({**result, "seconds": round(time.monotonic() - started, 1)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
