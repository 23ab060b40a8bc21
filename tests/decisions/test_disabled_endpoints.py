"""Disabled endpoints: only the operator enables them again, and then slow start applies."""

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
)
from tests.decisions.harness import MILLISECOND_US, SECOND_US, SchedulerDriver, make_entry, make_message

ENDPOINT, OTHER_ENDPOINT = make_entry("h", kind="own_limits"), make_entry("other", kind="own_limits")
STEPS: dict[str, Event] = {
    "disable": EndpointDisabled("h"),
    "enable": EndpointEnabled("h"),
    "list": EndpointListReceived(EndpointListKind.DELTA, (ENDPOINT,)),
    "full list": EndpointListReceived(EndpointListKind.FULL, (ENDPOINT, OTHER_ENDPOINT)),
    "drain": EndpointListReceived(EndpointListKind.DELTA, (replace(ENDPOINT, state=EndpointState.DRAINING),)),
    "remove": EndpointListReceived(EndpointListKind.DELTA, (replace(ENDPOINT, state=EndpointState.REMOVED),)),
    "full list without it": EndpointListReceived(EndpointListKind.FULL, (OTHER_ENDPOINT,)),
    "move to another zone": EndpointListReceived(EndpointListKind.DELTA, (replace(ENDPOINT, zone="there"),)),
}


@pytest.mark.parametrize("steps", list(product(STEPS, repeat=3)), ids="-".join)
def test_disabled_endpoint_receives_no_call_until_enabled(steps: tuple[str, ...]) -> None:
    driver = SchedulerDriver(ENDPOINT)  # the only endpoint, so that messages cannot be sent elsewhere
    is_disabled, is_listed = False, True
    for number, step in enumerate(("disable", *steps)):
        driver.run_batch(STEPS[step], after=100 * MILLISECOND_US)
        is_disabled = step == "disable" or (is_disabled and step != "enable")
        is_listed = {"drain": False, "remove": False, "full list without it": False}.get(
            step, True if step in ("list", "full list", "move to another zone") else is_listed
        )
        before = len(driver.sent)
        driver.run_batch(make_message(f"m{number}"), after=3 * SECOND_US)
        sent = [attempt for _, attempt in driver.sent[before:] if attempt.endpoint == "h"]
        if is_disabled or not is_listed:
            assert sent == [], (steps, step)
        for attempt in sent:
            driver.run_batch(
                AttemptEnded(
                    attempt.message_id, 0, "h", AttemptStatus.OK, 10 * MILLISECOND_US, True, 0, None, None, 0
                ),
                after=10 * MILLISECOND_US,
            )
    if not is_disabled and is_listed:
        driver.advance_clock(10 * SECOND_US)
        assert any(attempt.endpoint == "h" for _, attempt in driver.sent)


def test_message_in_flight_at_disabled_endpoint_is_retried_elsewhere() -> None:
    driver = SchedulerDriver(ENDPOINT, OTHER_ENDPOINT)
    driver.run_batch(EndpointDisabled("other"), make_message("m"))
    ((_, attempt),) = driver.sent
    assert attempt.endpoint == "h"
    driver.run_batch(EndpointDisabled("h"), EndpointEnabled("other"), after=10 * MILLISECOND_US)
    driver.run_batch(
        AttemptEnded("m", 0, "h", AttemptStatus.CONNECT_FAILED, 10 * MILLISECOND_US, False, 0, None, None, 0),
        after=10 * MILLISECOND_US,
    )
    driver.advance_clock(10 * SECOND_US)
    assert [attempt.endpoint for _, attempt in driver.sent] == ["h", "other"]


def test_message_fails_at_deadline_if_all_endpoints_are_disabled() -> None:
    driver = SchedulerDriver(ENDPOINT)
    driver.run_batch(EndpointDisabled("h"), make_message("m", time_remaining=3 * SECOND_US))
    while not any(isinstance(action, FailMessage | RejectMessage) for action in driver.actions):
        assert driver.timer_at is not None
        driver.run_batch(after=max(0, driver.timer_at - driver.now))
    assert driver.sent == []


def test_endpoint_disabled_twice_is_enabled_once() -> None:
    driver = SchedulerDriver(ENDPOINT)
    driver.run_batch(EndpointDisabled("h"), EndpointDisabled("h"), EndpointEnabled("h"))
    driver.run_batch(make_message("m"), after=SECOND_US)
    driver.advance_clock(5 * SECOND_US)
    assert len(driver.sent) == 1


def test_enabled_endpoint_gets_slow_start() -> None:
    """A restarted endpoint can handle only a part of its usual load, so the first calls are limited."""

    def count_calls(driver: SchedulerDriver, span: int) -> int:
        before, until = len(driver.sent), driver.now + span
        while driver.now < until:
            outcomes = [
                AttemptEnded(
                    attempt.message_id, 0, "h", AttemptStatus.OK, 5 * MILLISECOND_US, True, 0, None, None, 0
                )
                for _, attempt in driver.sent[ended_count[0] :]
            ]
            ended_count[0] = len(driver.sent)
            names.append(f"m{len(names)}")
            driver.run_batch(
                *outcomes,
                make_message(names[-1]),
                after=50 * MILLISECOND_US,
            )
        return len(driver.sent) - before

    names: list[str] = []
    ended_count = [0]
    driver = SchedulerDriver(
        ENDPOINT, slow_start_duration=10 * SECOND_US, slow_start_initial_fraction=0.2, overload_multiple=1.0
    )
    usual_calls = count_calls(driver, 20 * SECOND_US) / 10  # in two seconds
    driver.run_batch(EndpointDisabled("h"))
    count_calls(driver, SECOND_US)
    driver.run_batch(EndpointEnabled("h"))
    first_calls = count_calls(driver, 2 * SECOND_US)
    assert 0 < first_calls < 0.6 * usual_calls
    count_calls(driver, 12 * SECOND_US)
    assert count_calls(driver, 4 * SECOND_US) >= 1.8 * usual_calls


def test_disabled_endpoint_counts_as_avoided_while_listed() -> None:
    driver = SchedulerDriver(ENDPOINT, OTHER_ENDPOINT)
    assert driver.scheduler.avoided_endpoint_count() == 0
    driver.run_batch(EndpointDisabled("h"))
    assert driver.scheduler.avoided_endpoint_count() == 1
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (OTHER_ENDPOINT,)))
    assert driver.scheduler.avoided_endpoint_count() == 0
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (ENDPOINT, OTHER_ENDPOINT)))
    assert driver.scheduler.avoided_endpoint_count() == 1
    driver.run_batch(EndpointEnabled("h"))
    assert driver.scheduler.avoided_endpoint_count() == 0


def test_enabled_endpoint_with_available_siblings_gets_no_slow_start() -> None:
    """Its siblings carried the load without it; a slow start budget for all of them would be below that."""
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))  # one call limiter for both
    driver.run_batch(EndpointDisabled("a"))
    driver.run_batch(EndpointEnabled("a"), after=5 * SECOND_US)
    assert driver.scheduler.state.endpoints["b"].call_limiter.slow_start.started_at is None
    driver.run_batch(EndpointDisabled("a"), EndpointDisabled("b"))
    driver.run_batch(EndpointEnabled("a"), after=5 * SECOND_US)
    assert driver.scheduler.state.endpoints["b"].call_limiter.slow_start.started_at == driver.now
    driver.run_batch(EndpointEnabled("b"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].call_limiter.slow_start.started_at == driver.now - SECOND_US
