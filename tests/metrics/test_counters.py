"""Tests of the counters and the metric lines."""

from __future__ import annotations

from loftrelay.metrics.counters import FinalStatus, Gauges, Metrics

GAUGES = Gauges(outstanding=14, discovered=5, ejected=1)


def metric_values(metrics: Metrics) -> dict[str, int]:
    """Returns the values of the metric lines by metric name."""
    rows = (line.partition("=") for line in metrics.lines(GAUGES))
    return {name: int(value) for name, _, value in rows}


def test_metrics_show_every_class_from_start_and_after_removal() -> None:
    metrics = Metrics(["a", "b"])
    assert metric_values(metrics)["app.aborted.b"] == 0
    metrics.count_final_status("a", FinalStatus.SUCCEEDED)
    metrics.add_classes(["b", "c"])
    metrics.count_final_status("c", FinalStatus.REJECTED)
    metrics.count_final_status("removed-before-the-start", FinalStatus.ABORTED)
    metrics.count_forwarded(3)
    values = metric_values(metrics)
    assert values["app.succeeded.a"] == 1
    assert values["app.declined.c"] == 1
    assert values["app.aborted.removed-before-the-start"] == 1
    assert values["app.forwards"] == 3
    assert values["app.outstanding"] == 14
    assert values["app.discovered"] == 5
    assert values["app.ejected"] == 1


def test_metrics_lines_have_names_and_order_of_platform() -> None:
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


def test_metrics_of_new_process_start_at_zero() -> None:
    first = Metrics(["a"])
    first.count_final_status("a", FinalStatus.SUCCEEDED)
    assert metric_values(Metrics(["a"]))["app.succeeded.a"] == 0
