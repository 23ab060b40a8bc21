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
from tests.decisions.world import MS, Driver, S, entry

HOST, OTHER = entry("h", kind="apart"), entry("other", kind="apart")
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
    driver = Driver(HOST)  # alone, so that messages would go nowhere else
    out, listed = False, True
    for number, step in enumerate(("out", *steps)):
        driver.feed(STEPS[step], after=100 * MS)
        out = step == "out" or (out and step != "back")
        listed = {"drains": False, "gone": False, "whole list without it": False}.get(
            step, True if step in ("listed", "whole list", "elsewhere") else listed
        )
        before = len(driver.sent)
        submit = MessageSubmitted(f"m{number}", 1, "safe", None, 20 * S, None)
        driver.feed(submit, after=3 * S)
        sent = [send for _, send in driver.sent[before:] if send.endpoint == "h"]
        if out or not listed:
            assert sent == [], (steps, step)
        for send in sent:
            driver.feed(
                AttemptEnded(send.message_id, 0, "h", AttemptStatus.OK, 10 * MS, True, 0, None, None, 0),
                after=10 * MS,
            )
    if not out and listed:
        driver.run(10 * S)
        assert any(send.endpoint == "h" for _, send in driver.sent)


def test_what_is_out_in_a_call_ends_and_goes_on_elsewhere() -> None:
    driver = Driver(HOST, OTHER)
    driver.feed(EndpointDisabled("other"), MessageSubmitted("m", 1, "safe", None, 20 * S, None))
    ((_, send),) = driver.sent
    assert send.endpoint == "h"
    driver.feed(EndpointDisabled("h"), EndpointEnabled("other"), after=10 * MS)
    driver.feed(
        AttemptEnded("m", 0, "h", AttemptStatus.CONNECT_FAILED, 10 * MS, False, 0, None, None, 0),
        after=10 * MS,
    )
    driver.run(10 * S)
    assert [s.endpoint for _, s in driver.sent] == ["h", "other"]


def test_when_all_are_out_messages_wait_and_fail_at_their_time() -> None:
    driver = Driver(HOST)
    driver.feed(EndpointDisabled("h"), MessageSubmitted("m", 1, "safe", None, 3 * S, None))
    while not any(isinstance(action, FailMessage | RejectMessage) for action in driver.log):
        assert driver.wake is not None
        driver.feed(after=max(0, driver.wake - driver.now))
    assert driver.sent == []


def test_a_second_call_out_needs_one_call_back() -> None:
    driver = Driver(HOST)
    driver.feed(EndpointDisabled("h"), EndpointDisabled("h"), EndpointEnabled("h"))
    driver.feed(MessageSubmitted("m", 1, "safe", None, 20 * S, None), after=S)
    driver.run(5 * S)
    assert len(driver.sent) == 1


def test_back_it_is_warmed_up_like_a_destination_after_an_outage() -> None:
    """A restarted host bears a part of its usual load, so what goes there at first is bounded."""

    def sent_in(driver: Driver, span: int) -> int:
        before, until = len(driver.sent), driver.now + span
        while driver.now < until:
            answers = [
                AttemptEnded(s.message_id, 0, "h", AttemptStatus.OK, 5 * MS, True, 0, None, None, 0)
                for _, s in driver.sent[seen[0] :]
            ]
            seen[0] = len(driver.sent)
            names.append(f"m{len(names)}")
            driver.feed(*answers, MessageSubmitted(names[-1], 1, "safe", None, 20 * S, None), after=50 * MS)
        return len(driver.sent) - before

    names: list[str] = []
    seen = [0]
    driver = Driver(HOST, slow_start_duration=10 * S, slow_start_initial_fraction=0.2, overload_multiple=1.0)
    warm = sent_in(driver, 20 * S) / 10  # in two seconds
    driver.feed(EndpointDisabled("h"))
    sent_in(driver, S)
    driver.feed(EndpointEnabled("h"))
    first = sent_in(driver, 2 * S)
    assert 0 < first < 0.6 * warm
    sent_in(driver, 12 * S)
    assert sent_in(driver, 4 * S) >= 1.8 * warm


def test_it_is_counted_as_avoided_while_it_is_listed() -> None:
    driver = Driver(HOST, OTHER)
    assert driver.brain.avoided_endpoint_count() == 0
    driver.feed(EndpointDisabled("h"))
    assert driver.brain.avoided_endpoint_count() == 1
    driver.feed(EndpointListReceived(EndpointListKind.FULL, (OTHER,)))
    assert driver.brain.avoided_endpoint_count() == 0
    driver.feed(EndpointListReceived(EndpointListKind.FULL, (HOST, OTHER)))
    assert driver.brain.avoided_endpoint_count() == 1
    driver.feed(EndpointEnabled("h"))
    assert driver.brain.avoided_endpoint_count() == 0


def test_one_of_several_that_comes_back_does_not_slow_the_others_down() -> None:
    """The rest bore the load without it; a cold budget for all of them would be less than that."""
    driver = Driver(entry("a"), entry("b"))  # one gate for both
    driver.feed(EndpointDisabled("a"))
    driver.feed(EndpointEnabled("a"), after=5 * S)
    assert driver.brain.state.endpoints["b"].gate.slow_start.started_at is None
    driver.feed(EndpointDisabled("a"), EndpointDisabled("b"))
    driver.feed(EndpointEnabled("a"), after=5 * S)
    assert driver.brain.state.endpoints["b"].gate.slow_start.started_at == driver.now
    driver.feed(EndpointEnabled("b"), after=S)
    assert driver.brain.state.endpoints["b"].gate.slow_start.started_at == driver.now - S
