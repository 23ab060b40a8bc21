"""When a process stood still, told by nothing but what was due and when it ran."""

from __future__ import annotations

import pytest

from loftrelay.relay.stall_detector import LATE, STALL_THRESHOLD_S, WAKING, StallDetector


@pytest.mark.parametrize(
    ("late", "stalled"), [(STALL_THRESHOLD_S - 0.01, False), (STALL_THRESHOLD_S + 0.01, True), (6.0, True)]
)
def test_a_beat_or_a_turn_that_comes_late_tells_of_a_stall(late: float, stalled: bool) -> None:
    by_beat, by_turn = StallDetector(), StallDetector()
    by_beat.look(10.0)
    by_beat.expect(10.2)
    by_beat.look(10.2 + late)
    by_turn.ran(10.2, 10.2 + late)
    for pulse in (by_beat, by_turn):
        assert pulse.stalls == stalled
        assert pulse.since(10.1) == stalled
        assert not pulse.since(10.2 + late + 0.001)
        assert pulse.stood == pytest.approx(late if stalled else 0.0)


def test_one_stall_is_noticed_once() -> None:
    pulse = StallDetector()
    pulse.expect(10.0)
    pulse.look(13.0)
    pulse.look(13.001)
    pulse.ran(9.9, 13.002)  # a turn that was due before it
    assert pulse.stalls == 1
    assert pulse.woke == 13.0
    pulse.expect(13.2)
    pulse.look(13.2)
    assert pulse.stalls == 1


def test_without_a_beat_that_is_due_a_long_gap_is_none() -> None:
    pulse = StallDetector()
    pulse.look(1.0)
    pulse.look(500.0)
    assert pulse.stalls == 0
    assert pulse.age(500.0) == 0


def test_what_is_read_on_waking_may_be_as_old_as_the_last_sign_of_life() -> None:
    pulse = StallDetector()
    pulse.look(10.0)
    pulse.expect(10.2)
    assert pulse.age(10.1) == 0
    assert pulse.age(10.2 + LATE - 0.001) == 0
    woke = 10.2 + LATE + 0.1
    assert pulse.age(woke) == pytest.approx(woke - (10.2 + LATE - 0.001))
    pulse.expect(woke + 0.2)  # the sweep runs before sockets are read
    assert pulse.age(woke + WAKING / 2) > 0
    assert pulse.age(woke + WAKING + 0.001) == 0
