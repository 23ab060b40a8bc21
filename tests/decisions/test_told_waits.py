"""Who is bound by a told wait, from when and until when, and what becomes of messages that it outlasts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loftrelay.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    SettingsChanged,
)
from tests.decisions.world import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_wait_heard_between_batches_binds_at_once(kind: str) -> None:
    """The whole destination, or the one endpoint where routes are apart."""
    driver = SchedulerDriver(
        make_entry("a", kind=kind), make_entry("b", kind=kind), make_entry("c", destination=2)
    )
    driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
    bound = {name: driver.scheduler.is_blocked(driver.now + 3 * SECOND_US - 1, name) for name in "abc"}
    assert bound == {"a": True, "b": kind == "plain", "c": False}
    assert not any(
        driver.scheduler.is_blocked(driver.now + 3 * SECOND_US, name) for name in ("a", "b", "unknown")
    )
    actions = driver.submit("m")
    assert [(a.message_id, a.endpoint) for a in actions if isinstance(a, SendAttempt)] == (
        [] if kind == "plain" else [("m", "b")]
    )


def test_of_several_waits_the_one_that_ends_last_binds() -> None:
    driver = SchedulerDriver(make_entry("a"))
    for wait, until in (
        (2 * SECOND_US, 2 * SECOND_US),
        (SECOND_US, 2 * SECOND_US),
        (0, 2 * SECOND_US),
        (3 * SECOND_US, 3 * SECOND_US),
    ):
        driver.scheduler.apply_retry_after(driver.now, "a", wait)
        assert driver.scheduler.is_blocked(driver.now + until - 1, "a")
        assert not driver.scheduler.is_blocked(driver.now + until, "a")


@pytest.mark.parametrize("message", ["gone", "ended"])
def test_a_wait_binds_whatever_became_of_its_message(message: str) -> None:
    """Its client left, it ended otherwise, or a process before this one had it."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("ended")
    driver.end_attempt("ended", AttemptStatus.OK)
    driver.run_batch(
        AttemptEnded(message, 0, "a", AttemptStatus.REJECTED, 0, False, 2 * SECOND_US, None, None)
    )
    assert not sent_messages(driver.submit("m"))
    at = driver.now
    while "m" not in sent_messages(driver.advance_clock(10 * SECOND_US)):
        pass
    assert driver.now >= at + 2 * SECOND_US


def test_a_wait_outlives_the_listing_of_its_host() -> None:
    """Gone, listed again, draining and moved: whoever stands there under that id has told it."""
    for kind in ("plain", "apart"):
        driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("b", 2))
        driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
        driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("b", 2),)))
        driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", kind=kind),)))
        driver.run_batch(SettingsChanged(replace(driver.settings, max_concurrent_calls=3)))
        assert driver.scheduler.is_blocked(driver.now, "a")
        assert not sent_messages(driver.submit("m"))


def test_a_call_that_was_taken_back_costs_no_try_and_teaches_nothing() -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=1)
    driver.run_successful_calls()
    gate = driver.scheduler.state.endpoints["a"].gate
    gate.breaker.connection_failures, gate.breaker.consecutive_failures, gate.breaker.failed_at = (
        2,
        1,
        driver.now - 1,
    )
    driver.submit("m", "strict", ordering_key="k")
    driver.submit("n", "strict", ordering_key="k")
    luck = list(driver.scheduler.state.endpoints["a"].kind_stats.success_rate_after_failure)
    driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    event = replace(driver.make_attempt_ended("m", AttemptStatus.NOT_SENT, is_final=False), postponed_for=1)
    assert not ended_messages(driver.run_batch(event))
    assert gate.window.in_flight == 0
    assert driver.scheduler.state.calls_in_flight == 0
    assert (
        gate.breaker.connection_failures,
        gate.breaker.consecutive_failures,
        driver.scheduler.state.endpoints["a"].kind_stats.success_rate_after_failure,
    ) == (2, 1, luck)
    at = driver.now
    while not (sent := sent_messages(driver.advance_clock(20 * SECOND_US))):
        pass
    assert sent == ["m"]
    assert driver.now >= at + SECOND_US


@pytest.mark.parametrize(("of", "ran", "end"), [("safe", False, RejectMessage), ("keyed", True, FailMessage)])
def test_a_message_that_all_told_waits_outlast_is_answered_at_once(
    of: str, ran: bool, end: type[Action]
) -> None:
    """Also one that comes while they last; clients are told when to come again, where that is allowed."""
    driver = SchedulerDriver(
        make_entry("a", kind="apart"), make_entry("b", kind="apart"), max_concurrent_calls=2
    )
    for name in ("x", "y"):
        driver.submit(name, time_remaining=100 * SECOND_US)
    driver.submit("m", of, time_remaining=3 * SECOND_US)
    assert "m" in driver.scheduler.state.messages
    if ran:
        driver.scheduler.state.messages[
            "m"
        ].first_attempt_at = driver.now  # and its key is known to one zone alone
        driver.scheduler.state.messages["m"].message_class = replace(
            driver.scheduler.state.messages["m"].message_class, dedup_scope="zone"
        )
    driver.scheduler.apply_retry_after(driver.now, "a", 60 * SECOND_US)
    driver.submit("n", time_remaining=100 * SECOND_US)
    assert "m" in driver.scheduler.state.messages  # another route may take it yet
    driver.scheduler.apply_retry_after(driver.now, "b", 61 * SECOND_US)
    actions = driver.submit("o", time_remaining=2 * SECOND_US)
    assert ended_messages(actions) == [(end, "m"), (RejectMessage, "o")]
    assert "n" in driver.scheduler.state.messages
    assert all(a.retry_after == 2 * SECOND_US for a in actions if isinstance(a, RejectMessage))
    assert ended_messages(driver.submit("p", time_remaining=40 * SECOND_US, after=MILLISECOND_US)) == [
        (RejectMessage, "p")
    ]
