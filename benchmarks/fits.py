"""Fits of a cost against a size, and how far a prediction beyond the fitted sizes was off.

It does no input or output. All are ordinary least squares with two parameters. Sizes are counts (entries,
relays, messages); values are in whatever unit the caller measures, and come back in it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

Point = tuple[float, float]  # size, value


class Kind(StrEnum):
    """How the value goes with the size."""

    CONSTANT = "constant"
    LOG_N = "log n"  # constant + slope x log2(size)
    LINEAR = "linear"  # constant + slope x size
    N_LOG_N = "n log n"  # constant + slope x size x log2(size)
    POWER = "power"  # constant x size ** slope


GROWING = (Kind.LINEAR, Kind.N_LOG_N, Kind.POWER)  # of which one is chosen


@dataclass(frozen=True, slots=True)
class Fit:
    """`exponent`: of the power law through the same points; None where a size or value is not positive."""

    kind: Kind
    constant: float
    slope: float
    exponent: float | None

    def predict(self, size: float) -> float:
        if self.kind is Kind.POWER:
            return float(self.constant * size**self.slope)
        return self.constant + self.slope * _term(self.kind, size)


@dataclass(frozen=True, slots=True)
class Held:
    """A fit on all but the largest size, tried on that one."""

    fit: Fit
    size: float
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        return prediction_error(self.predicted, self.measured)


def fit(points: Sequence[Point], kind: Kind = Kind.LINEAR) -> Fit:
    """Least squares; a power law in the logarithms. Raises ValueError with fewer than two different sizes,
    and where a logarithm is asked for and a size (for a power: or a value) is not positive."""
    if len({size for size, _ in points}) < 2:
        raise ValueError("a fit needs two different sizes")
    exponent = None
    if all(size > 0 and value > 0 for size, value in points):
        logarithms = [(math.log(size), math.log(value)) for size, value in points]
        height, exponent = _line(logarithms)
        if kind is Kind.POWER:
            return Fit(kind, math.exp(height), exponent, exponent)
    elif kind is Kind.POWER:
        raise ValueError("a power law needs positive sizes and values")
    if kind is Kind.CONSTANT:
        return Fit(kind, math.fsum(value for _, value in points) / len(points), 0.0, exponent)
    if kind in (Kind.LOG_N, Kind.N_LOG_N) and any(size <= 0 for size, _ in points):
        raise ValueError(f"{kind} needs positive sizes")
    constant, slope = _line([(_term(kind, size), value) for size, value in points])
    return Fit(kind, constant, slope, exponent)


def choose(points: Sequence[Point]) -> Kind:
    """The growing kind that predicts the largest of these sizes best from the others; linear where they can't
    tell: with fewer than three sizes, or where all are equally good."""
    if len({size for size, _ in points}) < 3:
        return Kind.LINEAR
    kinds = GROWING if all(size > 0 and value > 0 for size, value in points) else (Kind.LINEAR,)
    return min(kinds, key=lambda kind: hold_out(points, kind).error)


def hold_out(points: Sequence[Point], kind: Kind | None = None) -> Held:
    """Fits on all but the largest size and predicts that. Without a kind it is chosen on the smaller sizes
    alone. Raises ValueError as `fit` does, and where the value at the largest is 0."""
    *smaller, (size, measured) = sorted(points)
    found = fit(smaller, choose(smaller) if kind is None else kind)
    return Held(found, size, found.predict(size), measured)


def prediction_error(predicted: float, measured: float) -> float:
    """|predicted - measured| / |measured|. Both 0: none. Raises ValueError where only the measured one is."""
    if measured == 0:
        if predicted == 0:
            return 0.0
        raise ValueError("an error relative to nothing")
    return abs(predicted - measured) / abs(measured)


def _term(kind: Kind, size: float) -> float:
    if kind is Kind.LOG_N:
        return math.log2(size)
    return size * math.log2(size) if kind is Kind.N_LOG_N else size


def _line(points: Sequence[Point]) -> tuple[float, float]:
    """Constant and slope of the least-squares line."""
    count = len(points)
    mean_x = math.fsum(x for x, _ in points) / count
    mean_y = math.fsum(y for _, y in points) / count
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
