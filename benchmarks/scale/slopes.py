"""Slopes of costs by size: fitted on the smaller sizes, predicted, and then measured at the largest."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from benchmarks.fits import Fit, Law, fit, prediction_error


@dataclass
class Slope:
    """Measured values of one cost by size. `target` is the size expected in two years."""

    name: str
    size_unit: str  # what a size counts
    target: float
    law: Law = Law.LINEAR
    points: list[tuple[float, float]] = field(default_factory=list)
    predicted: float | None = None

    def predict(self, size: float) -> float:
        """Predicts the value at a size from the points so far, and keeps it for comparison."""
        self.predicted = fit(self.points, self.law).predict(size)
        return self.predicted

    @property
    def error(self) -> float | None:
        """Relative error of the prediction of the last point; None without a prediction."""
        return None if self.predicted is None else prediction_error(self.predicted, self.points[-1][1])

    @property
    def fitted(self) -> Fit:
        """Fit over all sizes."""
        return fit(self.points, self.law)

    def at_target(self) -> float:
        return self.fitted.predict(self.target)

    def figures(self) -> dict[str, Any]:
        figures = {
            "per": self.size_unit,
            "kind": self.law,
            "sizes": [int(size) for size, _ in self.points],
            "measured": [round_digits(value) for _, value in self.points],
            "predicted": None if self.predicted is None else round_digits(self.predicted),
            "error": None if self.error is None else round(self.error, 3),
        }
        if len(self.points) > 1:
            fitted = self.fitted
            figures |= {
                "constant": round_digits(fitted.constant),
                "slope": round_digits(fitted.slope),
                "at_target": round_digits(self.at_target()),
                "extrapolated": round(max(1.0, self.target / self.points[-1][0]), 2),
            }
        return figures


def round_digits(value: float) -> float:
    """Rounds to four significant digits."""
    return float(f"{value:.4g}")


@dataclass
class Slopes:
    """All slopes of a run by name."""

    all: dict[str, Slope] = field(default_factory=dict)

    def add(
        self, name: str, size_unit: str, target: float, size: float, value: float, law: Law = Law.LINEAR
    ) -> None:
        slope = self.all.setdefault(name, Slope(name, size_unit, target, law))
        slope.points.append((size, value))

    def predict(self, size_unit: str, size: float) -> dict[str, float]:
        """Predicts all slopes with this unit of sizes and at least two points."""
        return {
            slope.name: round_digits(slope.predict(size))
            for slope in self.all.values()
            if slope.size_unit == size_unit and len(slope.points) > 1
        }

    @property
    def worst_error(self) -> float | None:
        errors = [slope.error for slope in self.all.values() if slope.error is not None]
        return max(errors, default=None)

    def failed(self, max_error: float) -> list[str]:
        """Returns the names of slopes with a larger prediction error, where the model is wrong."""
        return [
            slope.name for slope in self.all.values() if slope.error is not None and slope.error > max_error
        ]


def plot(slopes: Slopes, folder: Any) -> None:
    """Writes a PNG of each slope with its fit; needs the extra `plots`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for slope in slopes.all.values():
        if len(slope.points) < 2:
            continue
        figure, axes = pyplot.subplots()
        sizes = [size for size, _ in slope.points]
        largest = max(*sizes, slope.target)
        line_sizes = [sizes[0] + (largest - sizes[0]) * n / 100 for n in range(101)]
        axes.plot(sizes, [value for _, value in slope.points], "o", label="measured")
        axes.plot(
            line_sizes, [slope.fitted.predict(size) for size in line_sizes], "-", label="fit over all sizes"
        )
        if slope.predicted is not None:
            axes.plot([sizes[-1]], [slope.predicted], "x", label="predicted from the smaller sizes")
        axes.set(title=slope.name, xlabel=slope.size_unit, ylabel=slope.name)
        axes.legend()
        figure.savefig(folder / f"{slope.name}.png")
        pyplot.close(figure)
