"""Fit a cost against a size, and compute the error of a prediction beyond the fitted sizes.

The module does no input or output. All fits are ordinary least squares with two parameters. Sizes are counts
(entries, relays, messages); values have the unit of the caller, and predictions have the same.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

Point = tuple[float, float]  # size, value


class Law(StrEnum):
    """How the value depends on the size."""

    CONSTANT = "constant"
    LOG_N = "log n"  # constant + slope x log2(size)
    LINEAR = "linear"  # constant + slope x size
    N_LOG_N = "n log n"  # constant + slope x size x log2(size)
    POWER = "power"  # constant x size ** slope


GROWING_LAWS = (Law.LINEAR, Law.N_LOG_N, Law.POWER)  # candidates of `choose_law`


@dataclass(frozen=True, slots=True)
class Fit:
    """Parameters of a fitted law.

    `exponent` is that of the power law through the same points; None where a size or value is not positive.
    """

    law: Law
    constant: float
    slope: float
    exponent: float | None

    def predict(self, size: float) -> float:
        if self.law is Law.POWER:
            return float(self.constant * size**self.slope)
        return self.constant + self.slope * _term(self.law, size)


@dataclass(frozen=True, slots=True)
class HoldOut:
    """A fit on all but the largest size, with its prediction and the measured value of the largest."""

    fit: Fit
    size: float
    predicted: float
    measured: float

    @property
    def error(self) -> float:
        """Relative error; raises ValueError where the measured value is 0 and the predicted one is not."""
        return prediction_error(self.predicted, self.measured)


def fit(points: Sequence[Point], law: Law = Law.LINEAR) -> Fit:
    """Fits a law by least squares; a power law is fitted to the logarithms.

    Raises:
        ValueError: There are fewer than two different sizes, or a size (for a power law also a value) whose
            logarithm is needed is not positive.
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError(f"a fit needs two different sizes, got {sorted({size for size, _ in points})}")
    exponent = None
    if all(size > 0 and value > 0 for size, value in points):
        logarithms = [(math.log(size), math.log(value)) for size, value in points]
        log_constant, exponent = _line(logarithms)
        if law is Law.POWER:
            return Fit(law, math.exp(log_constant), exponent, exponent)
    elif law is Law.POWER:
        raise ValueError("a power law needs positive sizes and values")
    if law is Law.CONSTANT:
        return Fit(law, math.fsum(value for _, value in points) / len(points), 0.0, exponent)
    if law in (Law.LOG_N, Law.N_LOG_N) and any(size <= 0 for size, _ in points):
        raise ValueError(f"the law {law} needs positive sizes")
    constant, slope = _line([(_term(law, size), value) for size, value in points])
    return Fit(law, constant, slope, exponent)


def choose_law(points: Sequence[Point]) -> Law:
    """Returns the growing law that best predicts the largest of these sizes from the others.

    Returns the linear law where the points don't tell: with fewer than three sizes, or where all predict
    equally well.
    """
    if len({size for size, _ in points}) < 3:
        return Law.LINEAR
    laws = GROWING_LAWS if all(size > 0 and value > 0 for size, value in points) else (Law.LINEAR,)
    return min(laws, key=lambda law: hold_out(points, law).error)


def hold_out(points: Sequence[Point], law: Law | None = None) -> HoldOut:
    """Fits all but the largest size and predicts the value there.

    Without a law, it is chosen on the smaller sizes alone.

    Raises:
        ValueError: As of `fit`.
    """
    *smaller, (size, measured) = sorted(points)
    smaller_fit = fit(smaller, choose_law(smaller) if law is None else law)
    return HoldOut(smaller_fit, size, smaller_fit.predict(size), measured)


def prediction_error(predicted: float, measured: float) -> float:
    """Returns |predicted - measured| / |measured|, and 0 where both are 0.

    Raises:
        ValueError: Only the measured value is 0.
    """
    if measured == 0:
        if predicted == 0:
            return 0.0
        raise ValueError(f"no relative error of {predicted:g}: the measured value is 0")
    return abs(predicted - measured) / abs(measured)


def _term(law: Law, size: float) -> float:
    """Returns what the slope of this law is multiplied by."""
    if law is Law.LOG_N:
        return math.log2(size)
    return size * math.log2(size) if law is Law.N_LOG_N else size


def _line(points: Sequence[Point]) -> tuple[float, float]:
    """Returns the constant and slope of the least-squares line."""
    count = len(points)
    mean_x = math.fsum(x for x, _ in points) / count
    mean_y = math.fsum(y for _, y in points) / count
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope
