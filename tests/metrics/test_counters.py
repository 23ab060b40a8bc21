"""The counters and how they are shown."""

from __future__ import annotations

from loftrelay.metrics.counters import FinalStatus, Gauges, Metrics

GAUGES = Gauges(outstanding=14, discovered=5, ejected=1)


def shown(figures: Metrics) -> dict[str, int]:
    rows = (line.partition("=") for line in figures.lines(GAUGES))
    return {name: int(value) for name, _, value in rows}


def test_every_class_is_shown_from_the_start_and_after_it_was_dropped() -> None:
    figures = Metrics(["a", "b"])
    assert shown(figures)["app.aborted.b"] == 0
    figures.count_final_status("a", FinalStatus.SUCCEEDED)
    figures.add_classes(["b", "c"])
    figures.count_final_status("c", FinalStatus.REJECTED)
    figures.count_final_status("gone-before-the-start", FinalStatus.ABORTED)
    figures.count_forwarded(3)
    told = shown(figures)
    assert told["app.succeeded.a"] == 1
    assert told["app.declined.c"] == 1
    assert told["app.aborted.gone-before-the-start"] == 1
    assert told["app.forwards"] == 3
    assert told["app.outstanding"] == 14
    assert told["app.discovered"] == 5
    assert told["app.ejected"] == 1


def test_each_process_counts_from_nothing() -> None:
    first = Metrics(["a"])
    first.count_final_status("a", FinalStatus.SUCCEEDED)
    assert shown(Metrics(["a"]))["app.succeeded.a"] == 0
