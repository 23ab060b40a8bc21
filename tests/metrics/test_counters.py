"""The counters and the lines that show them."""

from __future__ import annotations

from loftrelay.metrics.counters import FinalStatus, Gauges, Metrics

GAUGES = Gauges(outstanding=14, discovered=5, ejected=1)


def shown(metrics: Metrics) -> dict[str, int]:
    rows = (line.partition("=") for line in metrics.lines(GAUGES))
    return {name: int(value) for name, _, value in rows}


def test_every_class_is_shown_from_the_start_and_after_it_was_dropped() -> None:
    metrics = Metrics(["a", "b"])
    assert shown(metrics)["app.aborted.b"] == 0
    metrics.count_final_status("a", FinalStatus.SUCCEEDED)
    metrics.add_classes(["b", "c"])
    metrics.count_final_status("c", FinalStatus.REJECTED)
    metrics.count_final_status("dropped-before-the-start", FinalStatus.ABORTED)
    metrics.count_forwarded(3)
    values = shown(metrics)
    assert values["app.succeeded.a"] == 1
    assert values["app.declined.c"] == 1
    assert values["app.aborted.dropped-before-the-start"] == 1
    assert values["app.forwards"] == 3
    assert values["app.outstanding"] == 14
    assert values["app.discovered"] == 5
    assert values["app.ejected"] == 1


def test_the_lines_are_those_of_the_platform_in_their_order() -> None:
    metrics = Metrics(["a"])
    metrics.lists_rejected = 2
    assert metrics.lines(GAUGES) == [
        "app.succeeded.a=0",
        "app.declined.a=0",
        "app.aborted.a=0",
        "app.forwards=0",
        "app.outstanding=14",
        "app.discovered=5",
        "app.ejected=1",
        "app.sighup_applied=0",
        "app.sighup_rejected=0",
        "app.lists_refused=2",
    ]


def test_each_process_counts_from_zero() -> None:
    first = Metrics(["a"])
    first.count_final_status("a", FinalStatus.SUCCEEDED)
    assert shown(Metrics(["a"]))["app.succeeded.a"] == 0
