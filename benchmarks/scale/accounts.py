"""What a scale run reckons with: budgets, since when a change is in force, how far two figures are apart.

It does no input or output. Times are seconds, bytes both ways together, memory MB of 10^6 bytes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

# The target and what it may cost (issue 41, "The target, two years out").
RELAYS, DESTINATIONS, EVENTS, REGISTRIES = 2_400, 870_000, 460_000, 8
SLICE = -(-DESTINATIONS // RELAYS)  # destinations of a relay, if they are divided
CHANGE_EVERY = 86_400 / 12_000  # seconds
ZONES, REGIONS = 11, 5

MICROSECONDS, MOST_SECONDS = 1_000_000, 3_600


@dataclass(frozen=True, slots=True)
class Limit:
    """`at`: where the figure stands in the result's line; the worst of what stands there counts."""

    name: str
    most: float
    at: tuple[str, ...]


LIMITS = (
    Limit("prediction_error", 0.25, ("prediction_error",)),
    Limit("in_force_s", 18.0, ("in_force_s", "worst")),
    Limit("control_cpu", 0.01, ("control_cpu", "predicted")),
    Limit("control_mb", 256.0, ("control_mb", "predicted")),
    Limit("control_bytes_per_s", 4_096.0, ("control_bytes_per_s", "predicted")),
    Limit("change_cost_ratio", 1.5, ("change_cost_ratio",)),
    Limit("agree", 1.25, ("agree", "worst")),
)


def figure(line: Mapping[str, Any], at: tuple[str, ...]) -> float | None:
    """None where it was not measured."""
    here: Any = line
    for name in at:
        here = here.get(name) if isinstance(here, Mapping) else None
    return None if here is None else float(here)


def over_budget(line: Mapping[str, Any], limits: Iterable[Limit] = LIMITS) -> list[str]:
    """Names of the figures over their limits, the furthest first; then those not measured, as `NAME?`."""
    over, missing = [], []
    for limit in limits:
        value = figure(line, limit.at)
        if value is None:
            missing.append(f"{limit.name}?")
        elif value > limit.most:
            over.append((value / limit.most, limit.name))
    return [name for _, name in sorted(over, reverse=True)] + missing


def apart(hollow: float, real: float, resolution: float) -> float:
    """How many times the one is the other, from 1 on; what is below the measure's resolution counts as it."""
    one, other = max(hollow, resolution), max(real, resolution)
    return max(one / other, other / one)


def moved(begun: float, old: Iterable[float], new: Iterable[float]) -> float | None:
    """When calls had gone over from one host to another, told when calls began at both: at the first to the
    new one after `begun`, or the last to the old one where that came later. None: none has yet."""
    first = min((at for at in new if at >= begun), default=None)
    return None if first is None else max([first, *(at for at in old if at >= begun)])


def slice_of(
    number: int, relays: int, destinations: int, size: int, shared: int, few: int, seed: int
) -> list[int]:
    """The destinations that a relay serves: the first `shared`, which all serve; the one after them, if the
    number is a multiple of `few`; and others up to `size`: its share where they are dealt out without a
    remainder, and beyond its share drawn anew."""
    size = min(size, destinations)
    own = list(range(min(shared, size)))
    if few and number % few == 0 and len(own) < size:
        own.append(shared)
    first, rest = shared + 1, destinations - shared - 1
    size = min(size, len(own) + max(0, rest))
    share = max(0, rest) // relays
    start = first + number * share
    own += range(start, start + min(size - len(own), share))
    if len(own) < size:
        drawn, held = random.Random(seed * 1_000_003 + number), set(own)
        while len(held) < size:
            held.add(first + drawn.randrange(rest))
        own = sorted(held)
    return own


@dataclass
class InForce:
    """How long changes took until relays went by them, each counted at each relay that lives."""

    times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MOST_SECONDS * MICROSECONDS, 3)
    )  # microseconds
    missing: int = 0  # relays that did not within the time set

    def add(self, begun: float, seen: Iterable[float], missing: int = 0) -> None:
        """`begun`: when discovery had the change, on the clock of the machine; so `seen`. Raises ValueError
        where a relay has it before: then another change was taken for it."""
        for at in seen:
            if at < begun:
                raise ValueError(f"in force {begun - at:.3f} s before it was there")
            self.times.record_value(max(1, round((at - begun) * MICROSECONDS)))
        self.missing += missing

    @property
    def count(self) -> int:
        return int(self.times.get_total_count())

    def figures(self) -> dict[str, Any]:
        """Median and worst in seconds, None where nobody saw any; `missing` where there are any."""
        told: dict[str, Any] = {"median": None, "worst": None}
        if self.count:
            told = {
                "median": round(self.times.get_value_at_percentile(50) / MICROSECONDS, 4),
                "worst": round(self.times.get_max_value() / MICROSECONDS, 4),
            }
        return told | {"counted": self.count} | ({"missing": self.missing} if self.missing else {})


def merge(all_: Iterable[InForce]) -> InForce:
    whole = InForce()
    for one in all_:
        whole.times.add(one.times)
        whole.missing += one.missing
    return whole
