"""A host that operators take out: nothing lifts it but their call back, and then it is cold."""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from loftrelay.decisions.actions import FailMessage, RejectMessage
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageSubmitted,
)
from tests.decisions.world import MILLISECOND_US, SECOND_US, SchedulerDriver, make_entry

HOST, OTHER = make_entry("h", kind="apart"), make_entry("other", kind="apart")
STEPS: dict[str, Event] = {
    "out": EndpointDisabled("h"),
    "back": EndpointEnabled("h"),
    "listed": EndpointListReceived(EndpointListKind.DELTA, (HOST,)),
    "whole list": EndpointListReceived(EndpointListKind.FULL, (HOST, OTHER)),
    "drains": EndpointListReceived(EndpointListKind.DELTA, (replace(HOST, state=EndpointState.DRAINING),)),
    "gone": EndpointListReceived(EndpointListKind.DELTA, (replace(HOST, state=EndpointState.REMOVED),)),
    "whole list without it": EndpointListReceived(EndpointListKind.FULL, (OTHER,)),
    "elsewhere": EndpointListReceived(EndpointListKind.DELTA, (replace(HOST, zone="there"),)),
}


@pytest.mark.parametrize("steps", list(product(STEPS, repeat=3)), ids="-".join)
def test_no_step_but_the_call_back_lifts_it(steps: tuple[str, ...]) -> None:
    driver = SchedulerDriver(HOST)  # alone, so that messages would go nowhere else
    out, listed = False, True
    for number, step in enumerate(("out", *steps)):
        driver.run_batch(STEPS[step], after=100 * MILLISECOND_US)
        out = step == "out" or (out and step != "back")
        listed = {"drains": False, "gone": False, "whole list without it": False}.get(
            step, True if step in ("listed", "whole list", "elsewhere") else listed
        )
        before = len(driver.sent)
        submit = MessageSubmitted(f"m{number}", 1, "safe", None, 20 * SECOND_US, None)
        driver.run_batch(submit, after=3 * SECOND_US)
        sent = [send for _, send in driver.sent[before:] if send.endpoint == "h"]
        if out or not listed:
            assert sent == [], (steps, step)
        for send in sent:
            driver.run_batch(
                AttemptEnded(
                    send.message_id, 0, "h", AttemptStatus.OK, 10 * MILLISECOND_US, True, 0, None, None, 0
                ),
                after=10 * MILLISECOND_US,
            )
    if not out and listed:
        driver.advance_clock(10 * SECOND_US)
        assert any(send.endpoint == "h" for _, send in driver.sent)


def test_what_is_out_in_a_call_ends_and_goes_on_elsewhere() -> None:
    driver = SchedulerDriver(HOST, OTHER)
    driver.run_batch(EndpointDisabled("other"), MessageSubmitted("m", 1, "safe", None, 20 * SECOND_US, None))
    ((_, send),) = driver.sent
    assert send.endpoint == "h"
    driver.run_batch(EndpointDisabled("h"), EndpointEnabled("other"), after=10 * MILLISECOND_US)
    driver.run_batch(
        AttemptEnded("m", 0, "h", AttemptStatus.CONNECT_FAILED, 10 * MILLISECOND_US, False, 0, None, None, 0),
        after=10 * MILLISECOND_US,
    )
    driver.advance_clock(10 * SECOND_US)
    assert [s.endpoint for _, s in driver.sent] == ["h", "other"]


def test_when_all_are_out_messages_wait_and_fail_at_their_time() -> None:
    driver = SchedulerDriver(HOST)
    driver.run_batch(EndpointDisabled("h"), MessageSubmitted("m", 1, "safe", None, 3 * SECOND_US, None))
    while not any(isinstance(action, FailMessage | RejectMessage) for action in driver.actions):
        assert driver.timer_at is not None
        driver.run_batch(after=max(0, driver.timer_at - driver.now))
    assert driver.sent == []


def test_a_second_call_out_needs_one_call_back() -> None:
    driver = SchedulerDriver(HOST)
    driver.run_batch(EndpointDisabled("h"), EndpointDisabled("h"), EndpointEnabled("h"))
    driver.run_batch(MessageSubmitted("m", 1, "safe", None, 20 * SECOND_US, None), after=SECOND_US)
    driver.advance_clock(5 * SECOND_US)
    assert len(driver.sent) == 1


def test_back_it_is_warmed_up_like_a_destination_after_an_outage() -> None:
    """A restarted host bears a part of its usual load, so what goes there at first is bounded."""

    def sent_in(driver: SchedulerDriver, span: int) -> int:
        before, until = len(driver.sent), driver.now + span
        while driver.now < until:
            answers = [
                AttemptEnded(
                    s.message_id, 0, "h", AttemptStatus.OK, 5 * MILLISECOND_US, True, 0, None, None, 0
                )
                for _, s in driver.sent[seen[0] :]
            ]
            seen[0] = len(driver.sent)
            names.append(f"m{len(names)}")
            driver.run_batch(
                *answers,
                MessageSubmitted(names[-1], 1, "safe", None, 20 * SECOND_US, None),
                after=50 * MILLISECOND_US,
            )
        return len(driver.sent) - before

    names: list[str] = []
    seen = [0]
    driver = SchedulerDriver(
        HOST, slow_start_duration=10 * SECOND_US, slow_start_initial_fraction=0.2, overload_multiple=1.0
    )
    warm = sent_in(driver, 20 * SECOND_US) / 10  # in two seconds
    driver.run_batch(EndpointDisabled("h"))
    sent_in(driver, SECOND_US)
    driver.run_batch(EndpointEnabled("h"))
    first = sent_in(driver, 2 * SECOND_US)
    assert 0 < first < 0.6 * warm
    sent_in(driver, 12 * SECOND_US)
    assert sent_in(driver, 4 * SECOND_US) >= 1.8 * warm


def test_it_is_counted_as_avoided_while_it_is_listed() -> None:
    driver = SchedulerDriver(HOST, OTHER)
    assert driver.scheduler.avoided_endpoint_count() == 0
    driver.run_batch(EndpointDisabled("h"))
    assert driver.scheduler.avoided_endpoint_count() == 1
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (OTHER,)))
    assert driver.scheduler.avoided_endpoint_count() == 0
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (HOST, OTHER)))
    assert driver.scheduler.avoided_endpoint_count() == 1
    driver.run_batch(EndpointEnabled("h"))
    assert driver.scheduler.avoided_endpoint_count() == 0


def test_one_of_several_that_comes_back_does_not_slow_the_others_down() -> None:
    """The rest bore the load without it; a cold budget for all of them would be less than that."""
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))  # one gate for both
    driver.run_batch(EndpointDisabled("a"))
    driver.run_batch(EndpointEnabled("a"), after=5 * SECOND_US)
    assert driver.scheduler.state.endpoints["b"].gate.slow_start.started_at is None
    driver.run_batch(EndpointDisabled("a"), EndpointDisabled("b"))
    driver.run_batch(EndpointEnabled("a"), after=5 * SECOND_US)
    assert driver.scheduler.state.endpoints["b"].gate.slow_start.started_at == driver.now
    driver.run_batch(EndpointEnabled("b"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].gate.slow_start.started_at == driver.now - SECOND_US
