"""Costs against sizes: fitted on the smaller ones, predicted, and only then measured at the largest."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from benchmarks.fits import Fit, Law, fit, prediction_error


@dataclass
class Slope:
    """`target`: the size two years out, for which the fit over all sizes is asked at last."""

    name: str
    per: str
    target: float
    law: Law = Law.LINEAR
    points: list[tuple[float, float]] = field(default_factory=list)
    predicted: float | None = None

    def predict(self, size: float) -> float:
        """From the points so far; kept beside what is measured then."""
        self.predicted = fit(self.points, self.law).predict(size)
        return self.predicted

    @property
    def error(self) -> float | None:
        """Of the prediction of the last point; None where none was made."""
        return None if self.predicted is None else prediction_error(self.predicted, self.points[-1][1])

    @property
    def line(self) -> Fit:
        return fit(self.points, self.law)

    def at_target(self) -> float:
        return self.line.predict(self.target)

    def figures(self) -> dict[str, Any]:
        told = {
            "per": self.per,
            "kind": self.law,
            "sizes": [int(size) for size, _ in self.points],
            "measured": [short(value) for _, value in self.points],
            "predicted": None if self.predicted is None else short(self.predicted),
            "error": None if self.error is None else round(self.error, 3),
        }
        if len(self.points) > 1:
            line = self.line
            told |= {
                "constant": short(line.constant),
                "slope": short(line.slope),
                "at_target": short(self.at_target()),
                "extrapolated": round(max(1.0, self.target / self.points[-1][0]), 2),
            }
        return told


def short(value: float) -> float:
    """Four digits that count."""
    return float(f"{value:.4g}")


@dataclass
class Slopes:
    all: dict[str, Slope] = field(default_factory=dict)

    def add(
        self, name: str, per: str, target: float, size: float, value: float, law: Law = Law.LINEAR
    ) -> None:
        slope = self.all.setdefault(name, Slope(name, per, target, law))
        slope.points.append((size, value))

    def predict(self, per: str, size: float) -> dict[str, float]:
        return {
            s.name: short(s.predict(size)) for s in self.all.values() if s.per == per and len(s.points) > 1
        }

    @property
    def worst(self) -> float | None:
        errors = [slope.error for slope in self.all.values() if slope.error is not None]
        return max(errors, default=None)

    def failed(self, most: float) -> list[str]:
        """Slopes of which the prediction was off by more: there the model fails."""
        return [s.name for s in self.all.values() if s.error is not None and s.error > most]


def plot(slopes: Slopes, folder: Any) -> None:
    """Each slope with its fit as a picture; needs the extra `plots`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    for slope in slopes.all.values():
        if len(slope.points) < 2:
            continue
        figure, axes = pyplot.subplots()
        sizes = [size for size, _ in slope.points]
        last = max(*sizes, slope.target)
        ends = [sizes[0] + (last - sizes[0]) * n / 100 for n in range(101)]
        axes.plot(sizes, [value for _, value in slope.points], "o", label="measured")
        axes.plot(ends, [slope.line.predict(size) for size in ends], "-", label="fit over all sizes")
        if slope.predicted is not None:
            axes.plot([sizes[-1]], [slope.predicted], "x", label="predicted from the smaller ones")
        axes.set(title=slope.name, xlabel=slope.per, ylabel=slope.name)
        axes.legend()
        figure.savefig(folder / f"{slope.name}.png")
        pyplot.close(figure)
