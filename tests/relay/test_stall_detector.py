"""When a process stood still, told by nothing but what was due and when it ran."""

from __future__ import annotations

import pytest

from loftrelay.relay.stall_detector import LAG_AFTERMATH_S, LAG_THRESHOLD_S, STALL_THRESHOLD_S, StallDetector


@pytest.mark.parametrize(
    ("late", "stalled"), [(STALL_THRESHOLD_S - 0.01, False), (STALL_THRESHOLD_S + 0.01, True), (6.0, True)]
)
def test_a_beat_or_a_turn_that_comes_late_tells_of_a_stall(late: float, stalled: bool) -> None:
    by_beat, by_turn = StallDetector(), StallDetector()
    by_beat.check(10.0)
    by_beat.expect_run_at(10.2)
    by_beat.check(10.2 + late)
    by_turn.check_run(10.2, 10.2 + late)
    for pulse in (by_beat, by_turn):
        assert pulse.stall_count == stalled
        assert pulse.has_stalled_since(10.1) == stalled
        assert not pulse.has_stalled_since(10.2 + late + 0.001)
        assert pulse.last_stall_s == pytest.approx(late if stalled else 0.0)


def test_one_stall_is_noticed_once() -> None:
    pulse = StallDetector()
    pulse.expect_run_at(10.0)
    pulse.check(13.0)
    pulse.check(13.001)
    pulse.check_run(9.9, 13.002)  # a turn that was due before it
    assert pulse.stall_count == 1
    assert pulse.last_stall_at == 13.0
    pulse.expect_run_at(13.2)
    pulse.check(13.2)
    assert pulse.stall_count == 1


def test_without_a_beat_that_is_due_a_long_gap_is_none() -> None:
    pulse = StallDetector()
    pulse.check(1.0)
    pulse.check(500.0)
    assert pulse.stall_count == 0
    assert pulse.input_age(500.0) == 0


def test_what_is_read_on_waking_may_be_as_old_as_the_last_sign_of_life() -> None:
    pulse = StallDetector()
    pulse.check(10.0)
    pulse.expect_run_at(10.2)
    assert pulse.input_age(10.1) == 0
    assert pulse.input_age(10.2 + LAG_THRESHOLD_S - 0.001) == 0
    woke = 10.2 + LAG_THRESHOLD_S + 0.1
    assert pulse.input_age(woke) == pytest.approx(woke - (10.2 + LAG_THRESHOLD_S - 0.001))
    pulse.expect_run_at(woke + 0.2)  # the sweep runs before sockets are read
    assert pulse.input_age(woke + LAG_AFTERMATH_S / 2) > 0
    assert pulse.input_age(woke + LAG_AFTERMATH_S + 0.001) == 0
