"""Limits, slices and latencies of changes of the scale benchmark.

The module does no input or output. Times are in seconds, bytes are of both directions together, and memory is
in MB of 10^6 bytes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

# Target sizes and limits (issue 41, "The target, two years out").
RELAYS, DESTINATIONS, MESSAGES_PER_S, REGISTRIES = 2_400, 870_000, 460_000, 8
SLICE_SIZE = -(-DESTINATIONS // RELAYS)  # destinations of a relay, if they are divided evenly
CHANGE_INTERVAL_S = 86_400 / 12_000
ZONES, REGIONS = 11, 5

MICROSECONDS, MAX_LATENCY_S = 1_000_000, 3_600


@dataclass(frozen=True, slots=True)
class Limit:
    """Upper limit of a figure. `path` leads to the figure in the result."""

    name: str
    maximum: float
    path: tuple[str, ...]


LIMITS = (
    Limit("prediction_error", 0.25, ("prediction_error",)),
    Limit("in_force_s", 18.0, ("in_force_s", "worst")),
    Limit("control_cpu", 0.01, ("control_cpu", "predicted")),
    Limit("control_mb", 256.0, ("control_mb", "predicted")),
    Limit("control_bytes_per_s", 4_096.0, ("control_bytes_per_s", "predicted")),
    Limit("change_cost_ratio", 1.5, ("change_cost_ratio",)),
    Limit("agree", 1.25, ("agree", "worst")),
)


def get_figure(result: Mapping[str, Any], path: tuple[str, ...]) -> float | None:
    """Returns the figure at this path, or None where it was not measured."""
    value: Any = result
    for name in path:
        value = value.get(name) if isinstance(value, Mapping) else None
    return None if value is None else float(value)


def find_exceeded_limits(result: Mapping[str, Any], limits: Iterable[Limit] = LIMITS) -> list[str]:
    """Returns names of figures over their limits, largest excess first, then `NAME?` if not measured."""
    exceeded, missing = [], []
    for limit in limits:
        value = get_figure(result, limit.path)
        if value is None:
            missing.append(f"{limit.name}?")
        elif value > limit.maximum:
            exceeded.append((value / limit.maximum, limit.name))
    return [name for _, name in sorted(exceeded, reverse=True)] + missing


def disagreement_ratio(hollow: float, real: float, resolution: float) -> float:
    """Returns the larger value over the smaller; values below the resolution count as the resolution."""
    one, other = max(hollow, resolution), max(real, resolution)
    return max(one / other, other / one)


def traffic_switched_at(changed_at: float, old: Iterable[float], new: Iterable[float]) -> float | None:
    """Returns when traffic had moved from an old to a new host, from the start times of calls at both.

    That is the first call to the new host after the change, or the last one to the old host where that came
    later. Returns None before the first call to the new host.
    """
    first = min((at for at in new if at >= changed_at), default=None)
    return None if first is None else max([first, *(at for at in old if at >= changed_at)])


def make_slice(
    number: int, relays: int, destinations: int, size: int, shared: int, few_interval: int, seed: int
) -> list[int]:
    """Returns the destinations that a relay serves.

    These are the first `shared`, which all relays serve; the next one, if the number is a multiple of
    `few_interval`, so that only a few relays serve it (0: none); and others up to `size`: an exclusive share
    of the rest divided among all relays, and beyond that share destinations drawn at random.
    """
    size = min(size, destinations)
    own = list(range(min(shared, size)))
    if few_interval and number % few_interval == 0 and len(own) < size:
        own.append(shared)
    first, rest = shared + 1, destinations - shared - 1
    size = min(size, len(own) + max(0, rest))
    share = max(0, rest) // relays
    start = first + number * share
    own += range(start, start + min(size - len(own), share))
    if len(own) < size:
        rng, served = random.Random(seed * 1_000_003 + number), set(own)
        while len(served) < size:
            served.add(first + rng.randrange(rest))
        own = sorted(served)
    return own


@dataclass
class ChangeLatency:
    """Times from a change until relays applied it, one for each change and running relay."""

    times: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_S * MICROSECONDS, 3)
    )  # microseconds
    missing: int = 0  # relays that did not apply a change before the timeout

    def add(self, changed_at: float, applied_at: Iterable[float], missing: int = 0) -> None:
        """Adds when relays applied a change that discovery had at `changed_at`, on the machine's clock.

        Raises:
            ValueError: A relay applied it before `changed_at`, so it was mistaken for another change.
        """
        for at in applied_at:
            if at < changed_at:
                raise ValueError(f"change was applied {changed_at - at:.3f} s before discovery had it")
            self.times.record_value(max(1, round((at - changed_at) * MICROSECONDS)))
        self.missing += missing

    @property
    def count(self) -> int:
        return int(self.times.get_total_count())

    def figures(self) -> dict[str, Any]:
        """Returns median and maximum in seconds (None without any), the count, and `missing` if not 0."""
        figures: dict[str, Any] = {"median": None, "worst": None}
        if self.count:
            figures = {
                "median": round(self.times.get_value_at_percentile(50) / MICROSECONDS, 4),
                "worst": round(self.times.get_max_value() / MICROSECONDS, 4),
            }
        return figures | {"counted": self.count} | ({"missing": self.missing} if self.missing else {})


def merge_latencies(latencies: Iterable[ChangeLatency]) -> ChangeLatency:
    merged = ChangeLatency()
    for latency in latencies:
        merged.times.add(latency.times)
        merged.missing += latency.missing
    return merged
