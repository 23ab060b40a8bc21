"""Retry-After: what it blocks, from when until when, and which messages it ends."""

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
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)


@pytest.mark.parametrize("kind", ["shared_limits", "own_limits"])
def test_retry_after_between_batches_applies_immediately(kind: str) -> None:
    """It blocks the whole destination, or a single endpoint with its own limits."""
    driver = SchedulerDriver(
        make_entry("a", kind=kind), make_entry("b", kind=kind), make_entry("c", destination=2)
    )
    driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
    blocked = {name: driver.scheduler.is_blocked(driver.now + 3 * SECOND_US - 1, name) for name in "abc"}
    assert blocked == {"a": True, "b": kind == "shared_limits", "c": False}
    assert not any(
        driver.scheduler.is_blocked(driver.now + 3 * SECOND_US, name) for name in ("a", "b", "unknown")
    )
    actions = driver.submit("m")
    assert [
        (action.message_id, action.endpoint) for action in actions if isinstance(action, SendAttempt)
    ] == ([] if kind == "shared_limits" else [("m", "b")])


def test_latest_retry_after_end_applies() -> None:
    driver = SchedulerDriver(make_entry("a"))
    for retry_after, until in (
        (2 * SECOND_US, 2 * SECOND_US),
        (SECOND_US, 2 * SECOND_US),
        (0, 2 * SECOND_US),
        (3 * SECOND_US, 3 * SECOND_US),
    ):
        driver.scheduler.apply_retry_after(driver.now, "a", retry_after)
        assert driver.scheduler.is_blocked(driver.now + until - 1, "a")
        assert not driver.scheduler.is_blocked(driver.now + until, "a")


@pytest.mark.parametrize("message", ["unknown", "ended"])
def test_retry_after_applies_if_its_message_is_unknown_or_ended(message: str) -> None:
    """The client disconnected, the message ended otherwise, or it belongs to an earlier process."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("ended")
    driver.end_attempt("ended", AttemptStatus.OK)
    driver.run_batch(
        AttemptEnded(message, 0, "a", AttemptStatus.REJECTED, 0, False, 2 * SECOND_US, None, None)
    )
    assert not sent_messages(driver.submit("m"))
    blocked_at = driver.now
    while "m" not in sent_messages(driver.advance_clock(10 * SECOND_US)):
        pass
    assert driver.now >= blocked_at + 2 * SECOND_US


def test_retry_after_survives_changes_of_list_and_settings() -> None:
    """The endpoint is removed and listed again under its name, and the settings change.

    A Retry-After applies to whatever is listed under the name of the endpoint that sent it.
    """
    for kind in ("shared_limits", "own_limits"):
        driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("b", 2))
        driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
        driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("b", 2),)))
        driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", kind=kind),)))
        driver.run_batch(SettingsChanged(replace(driver.settings, max_concurrent_calls=3)))
        assert driver.scheduler.is_blocked(driver.now, "a")
        assert not sent_messages(driver.submit("m"))


def test_postponed_attempt_changes_neither_attempt_count_nor_feedback() -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=1)
    driver.run_successful_calls()
    limiter = driver.scheduler.state.endpoints["a"].call_limiter
    limiter.breaker.connection_failures, limiter.breaker.consecutive_failures, limiter.breaker.failed_at = (
        2,
        1,
        driver.now - 1,
    )
    driver.submit("m", "ordered_at_most_once", ordering_key="k")
    driver.submit("n", "ordered_at_most_once", ordering_key="k")
    success_rates = list(driver.scheduler.state.endpoints["a"].kind_stats.success_rate_after_failure)
    driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    event = replace(driver.make_attempt_ended("m", AttemptStatus.NOT_SENT, is_final=False), postponed_for=1)
    assert not ended_messages(driver.run_batch(event))
    assert limiter.window.in_flight == 0
    assert driver.scheduler.state.calls_in_flight == 0
    assert (
        limiter.breaker.connection_failures,
        limiter.breaker.consecutive_failures,
        driver.scheduler.state.endpoints["a"].kind_stats.success_rate_after_failure,
    ) == (2, 1, success_rates)
    blocked_at = driver.now
    while not (sent := sent_messages(driver.advance_clock(20 * SECOND_US))):
        pass
    assert sent == ["m"]
    assert driver.now >= blocked_at + SECOND_US


@pytest.mark.parametrize(
    ("class_name", "may_have_run", "end_type"),
    [("idempotent", False, RejectMessage), ("deduplicated", True, FailMessage)],
)
def test_message_ends_immediately_if_all_endpoints_are_blocked_beyond_its_deadline(
    class_name: str, may_have_run: bool, end_type: type[Action]
) -> None:
    """Applies to messages that arrive meanwhile, too. Rejections carry a Retry-After if settings allow."""
    driver = SchedulerDriver(
        make_entry("a", kind="own_limits"), make_entry("b", kind="own_limits"), max_concurrent_calls=2
    )
    for name in ("x", "y"):
        driver.submit(name, time_remaining=100 * SECOND_US)
    driver.submit("m", class_name, time_remaining=3 * SECOND_US)
    assert "m" in driver.scheduler.state.messages
    if may_have_run:
        message = driver.scheduler.state.messages["m"]
        message.first_uncertain_attempt_at = driver.now
        # Only its zone would drop a duplicate.
        message.message_class = replace(message.message_class, dedup_scope="zone")
    driver.scheduler.apply_retry_after(driver.now, "a", 60 * SECOND_US)
    driver.submit("n", time_remaining=100 * SECOND_US)
    assert "m" in driver.scheduler.state.messages  # another endpoint may still accept it
    driver.scheduler.apply_retry_after(driver.now, "b", 61 * SECOND_US)
    actions = driver.submit("o", time_remaining=2 * SECOND_US)
    assert ended_messages(actions) == [(end_type, "m"), (RejectMessage, "o")]
    assert "n" in driver.scheduler.state.messages
    assert all(action.retry_after == 2 * SECOND_US for action in actions if isinstance(action, RejectMessage))
    assert ended_messages(driver.submit("p", time_remaining=40 * SECOND_US, after=MILLISECOND_US)) == [
        (RejectMessage, "p")
    ]
