"""The counters and how they are shown."""

from __future__ import annotations

from loftrelay.metrics.registry import End, Figures, Gauges

GAUGES = Gauges(outstanding=14, discovered=5, ejected=1)


def shown(figures: Figures) -> dict[str, int]:
    rows = (line.partition("=") for line in figures.lines(GAUGES))
    return {name: int(value) for name, _, value in rows}


def test_every_class_is_shown_from_the_start_and_after_it_was_dropped() -> None:
    figures = Figures(["a", "b"])
    assert shown(figures)["app.aborted.b"] == 0
    figures.ended("a", End.SUCCEEDED)
    figures.know(["b", "c"])
    figures.ended("c", End.DECLINED)
    figures.ended("gone-before-the-start", End.ABORTED)
    figures.forwarded(3)
    told = shown(figures)
    assert told["app.succeeded.a"] == 1 and told["app.declined.c"] == 1
    assert told["app.aborted.gone-before-the-start"] == 1 and told["app.forwards"] == 3
    assert told["app.outstanding"] == 14 and told["app.discovered"] == 5 and told["app.ejected"] == 1


def test_each_process_counts_from_nothing() -> None:
    first = Figures(["a"])
    first.ended("a", End.SUCCEEDED)
    assert shown(Figures(["a"]))["app.succeeded.a"] == 0
