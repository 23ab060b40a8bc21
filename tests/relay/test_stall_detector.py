"""Tests of the stall detector, which sees only when work was due and when it ran."""

from __future__ import annotations

import pytest

from loftrelay.relay.stall_detector import LAG_AFTERMATH_S, LAG_THRESHOLD_S, STALL_THRESHOLD_S, StallDetector


@pytest.mark.parametrize(
    ("delay", "is_stall"),
    [(STALL_THRESHOLD_S - 0.01, False), (STALL_THRESHOLD_S + 0.01, True), (6.0, True)],
)
def test_stall_detector_with_late_run_reports_stall_above_threshold(delay: float, is_stall: bool) -> None:
    """An expected run of the event loop and a due batch are both checked."""
    expected_run, due_batch = StallDetector(), StallDetector()
    expected_run.check(10.0)
    expected_run.expect_run_at(10.2)
    expected_run.check(10.2 + delay)
    due_batch.check_run(10.2, 10.2 + delay)
    for detector in (expected_run, due_batch):
        assert detector.stall_count == is_stall
        assert detector.has_stalled_since(10.1) == is_stall
        assert not detector.has_stalled_since(10.2 + delay + 0.001)
        assert detector.last_stall_s == pytest.approx(delay if is_stall else 0.0)


def test_stall_detector_counts_one_stall_once() -> None:
    detector = StallDetector()
    detector.expect_run_at(10.0)
    detector.check(13.0)
    detector.check(13.001)
    detector.check_run(9.9, 13.002)  # a batch that was due before the stall
    assert detector.stall_count == 1
    assert detector.last_stall_at == 13.0
    detector.expect_run_at(13.2)
    detector.check(13.2)
    assert detector.stall_count == 1


def test_stall_detector_without_expected_run_ignores_long_gap() -> None:
    detector = StallDetector()
    detector.check(1.0)
    detector.check(500.0)
    assert detector.stall_count == 0
    assert detector.input_age(500.0) == 0


def test_input_age_after_lag_reaches_back_to_last_check() -> None:
    detector = StallDetector()
    detector.check(10.0)
    detector.expect_run_at(10.2)
    assert detector.input_age(10.1) == 0
    assert detector.input_age(10.2 + LAG_THRESHOLD_S - 0.001) == 0
    lag_end = 10.2 + LAG_THRESHOLD_S + 0.1
    assert detector.input_age(lag_end) == pytest.approx(lag_end - (10.2 + LAG_THRESHOLD_S - 0.001))
    detector.expect_run_at(lag_end + 0.2)  # timers run before sockets are read
    assert detector.input_age(lag_end + LAG_AFTERMATH_S / 2) > 0
    assert detector.input_age(lag_end + LAG_AFTERMATH_S + 0.001) == 0
