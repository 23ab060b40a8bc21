"""Delivery without special cases: immediate attempts, exponential backoff, concurrency, batches, failures."""

from dataclasses import replace
from itertools import pairwise

import pytest

from loftrelay.decisions.actions import Action, CloseIdleConnections, FailMessage, RejectMessage
from loftrelay.decisions.events import (
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
)
from loftrelay.decisions.settings import Tenant
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    make_message,
    sent_messages,
)


def test_first_attempt_is_immediate() -> None:
    assert sent_messages(SchedulerDriver(make_entry("a")).submit("m")) == ["m"]


def test_retry_delay_doubles_from_half_a_second() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(40)
    driver.submit("m")
    delays = []
    for _ in range(4):
        driver.end_attempt("m", AttemptStatus.ERROR)
        failed_at = driver.now
        while not (actions := driver.advance_clock(30 * SECOND_US)) or sent_messages(actions) != ["m"]:
            assert driver.now < failed_at + 30 * SECOND_US
        delays.append((driver.now - failed_at) / SECOND_US)
    assert [0.5 * 2**i <= delay <= 0.5 * 2**i * 1.2 for i, delay in enumerate(delays)] == [True] * 4, delays


def test_message_is_rejected_after_max_attempts() -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=3)
    driver.run_successful_calls(12)
    driver.submit("m")
    for remaining in (2, 1, 0):
        actions = driver.end_attempt("m", AttemptStatus.ERROR)
        if remaining:
            assert not ended_messages(actions)
            for _ in range(20):
                if sent_messages(actions := driver.advance_clock(10 * SECOND_US)) == ["m"]:
                    break
            assert sent_messages(actions) == ["m"]
    assert ended_messages(actions) == [(RejectMessage, "m")]  # safe to send again
    assert sum(attempt.message_id == "m" for _, attempt in driver.sent) == 3


def test_message_fails_immediately_if_backoff_exceeds_deadline() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m", time_remaining=600 * MILLISECOND_US)
    assert ended_messages(driver.end_attempt("m", AttemptStatus.ERROR, after=200 * MILLISECOND_US)) == [
        (FailMessage, "m")
    ]


def test_concurrency_window_grows_from_one_to_slot_share() -> None:
    driver = SchedulerDriver(make_entry("a"))
    assert len(sent_messages(driver.run_batch(*[make_message(f"x{i}") for i in range(9)]))) == 1
    for _ in range(30):
        for name in driver.messages_in_flight():
            driver.end_attempt(name, AttemptStatus.OK)
        driver.submit(f"y{driver.now}")
        driver.submit(f"z{driver.now}")
        assert driver.scheduler.state.calls_in_flight <= 6  # three quarters of 8
    assert driver.scheduler.state.destinations[1].call_limiter.window.size >= 6


def test_degraded_destination_uses_at_most_half_of_slots() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(12)
    driver.scheduler.state.destinations[1].call_limiter.slow_start.started_at = driver.now
    driver.scheduler.state.destinations[1].demand.value = 1000.0
    driver.run_batch(*[make_message(f"x{i}") for i in range(9)])
    assert driver.scheduler.state.calls_in_flight == 4


def test_consecutive_rejections_lengthen_pause_of_destination() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    limiter, pauses = driver.scheduler.state.destinations[1].call_limiter, []
    for i in range(4):
        assert sent_messages(driver.submit(f"m{i}")) == [f"m{i}"]
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED)
        pauses.append(limiter.next_attempt_at - driver.now)
        assert not sent_messages(driver.submit(f"n{i}"))  # a new message has to wait, too
        driver.run_batch(MessageCancelled(f"m{i}"), MessageCancelled(f"n{i}"))
        driver.now = max(limiter.next_attempt_at, driver.now + 5 * SECOND_US)
    assert pauses[0] >= SECOND_US // 2
    assert all(later > 1.5 * earlier for earlier, later in pairwise(pauses))


def test_message_over_quota_gets_lower_priority() -> None:
    driver = SchedulerDriver(
        make_entry("a"), tenants={"t": Tenant("t", 2.0, 0.5), "u": Tenant("u", 2.0, 0.5)}, relay_count=1
    )
    driver.run_batch(
        *[MessageSubmitted(f"t{i}", 1, "idempotent", "t", 20 * SECOND_US, None) for i in range(12)]
    )
    driver.submit("u0", tenant="u")
    first = driver.sent[0][1].message_id
    assert sent_messages(driver.end_attempt(first, AttemptStatus.OK))[0] != "t11"
    assert (
        driver.scheduler.state.messages["t11"].priority_weight
        < driver.scheduler.state.messages["u0"].priority_weight
        == 1.0
    )


def test_batch_uses_one_call_and_one_slot() -> None:
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    sent = sent_messages(driver.run_batch(*[make_message(f"x{i}") for i in range(9)]))
    assert len(sent) == 5
    assert driver.scheduler.state.calls_in_flight == 1
    driver.run_batch(*[driver.make_attempt_ended(name, AttemptStatus.OK) for name in sent])
    assert driver.scheduler.state.calls_in_flight == 1  # the next call, with the other four
    assert len(driver.sent) == 9


def test_at_most_once_message_avoids_endpoint_that_failed_last() -> None:
    """Guards against returning to a failed endpoint after each pause although its sibling is healthy."""
    for seed in range(10):
        driver = SchedulerDriver(make_entry("a"), make_entry("b"), seed=seed)
        driver.run_successful_calls()
        driver.submit("m", "at_most_once")
        failed_endpoint = driver.sent[-1][1].endpoint
        driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)
        driver.end_attempt("m", AttemptStatus.OK)
        driver.advance_clock(20 * SECOND_US)
        driver.submit("n", "at_most_once")
        assert [attempt.endpoint for _, attempt in driver.sent if attempt.message_id in ("m", "n")].count(
            failed_endpoint
        ) == 1


def test_malformed_responses_count_against_destination_only_after_three_in_a_row() -> None:
    """An at-most-once message fails, since it may have run; the endpoint is up, so the next one is sent."""
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("first")
    assert ended_messages(driver.submit("m", "at_most_once")) == []
    driver.end_attempt("first", AttemptStatus.OK)
    assert ended_messages(driver.end_attempt("m", AttemptStatus.MALFORMED_RESPONSE)) == [(FailMessage, "m")]
    assert sent_messages(driver.submit("next")) == ["next"]
    driver.end_attempt("next", AttemptStatus.MALFORMED_RESPONSE)
    for name in ("third", "fourth"):  # only malformed responses: from here on they narrow the window
        assert sent_messages(driver.submit(name)) == [name]
        driver.end_attempt(name, AttemptStatus.MALFORMED_RESPONSE)
    assert sent_messages(driver.submit("last")) == []


def test_resets_of_reused_connection_count_against_destination_only_after_three_in_a_row() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    limiter = driver.scheduler.state.destinations[1].call_limiter
    window = limiter.window.size
    for i in range(3):
        driver.submit(f"m{i}", "at_most_once")
        driver.run_batch(
            replace(
                driver.make_attempt_ended(f"m{i}", AttemptStatus.CONNECTION_LOST),
                connection_idle=20 * MILLISECOND_US,
            )
        )
        assert (limiter.window.size == window) == (i < 2)  # three in a row count against the destination
    driver.advance_clock(20 * SECOND_US)
    driver.run_successful_calls()
    window = limiter.window.size
    driver.submit("new", "at_most_once")
    driver.run_batch(
        replace(driver.make_attempt_ended("new", AttemptStatus.CONNECTION_LOST), connection_idle=0)
    )
    assert limiter.window.size < window


def test_resets_shortly_after_response_set_no_idle_limit() -> None:
    """Guards against opening a connection per call, forever, if endpoints close right after a response."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(20)
    for i in range(5):
        driver.submit(f"m{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.CONNECTION_LOST)
        driver.advance_clock(5 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    driver.actions.clear()
    driver.submit("next", after=500 * MILLISECOND_US)
    assert sent_messages(driver.actions) == ["next"]
    assert not any(isinstance(action, CloseIdleConnections) for action in driver.actions)


def test_call_cut_off_by_deadline_does_not_count_against_endpoint() -> None:
    """Guards against probes with the message nearest its deadline: their timeouts kept the circuit open."""
    driver = SchedulerDriver(make_entry("a"))
    for i in range(4):
        driver.submit(f"m{i}", time_remaining=SECOND_US // 10)
        driver.end_attempt(f"m{i}", AttemptStatus.TIMEOUT, after=SECOND_US // 10)
    assert sent_messages(driver.submit("next")) == ["next"]


def make_batching_driver() -> SchedulerDriver:
    """Returns a driver of a batching endpoint whose calls take 0.4 s."""
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    for i in range(8):
        driver.submit(f"warm{i}")
        driver.end_attempt(f"warm{i}", AttemptStatus.OK, after=400 * MILLISECOND_US)
    return driver


def set_endpoint_state(driver: SchedulerDriver, state: EndpointState) -> list[Action]:
    return driver.run_batch(
        EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", kind="batching", state=state),))
    )


@pytest.mark.parametrize("is_short_first", [True, False])
def test_message_near_deadline_is_not_batched_with_at_most_once_messages(is_short_first: bool) -> None:
    """A batch is abandoned at its first deadline, which fails any at-most-once message in it."""
    driver = make_batching_driver()
    set_endpoint_state(driver, EndpointState.DRAINING)
    driver.submit("short", time_remaining=SECOND_US // 2, after=0)
    driver.submit("order1", "at_most_once")
    driver.submit("order2", "at_most_once")
    driver.submit("update", time_remaining=20 * SECOND_US)
    driver.scheduler.state.messages["short" if is_short_first else "order1"].priority_weight = 9.0
    sent = sent_messages(set_endpoint_state(driver, EndpointState.ACTIVE))
    calls = {m: driver.scheduler.state.messages[m].call for m in sent}
    assert "short" in sent
    assert calls["short"] is not calls.get("order1")
    assert calls["short"] is not calls.get("order2")
    if is_short_first:
        assert calls["update"] is calls["short"]  # it can be repeated
    else:
        assert calls["order1"] is calls["order2"] is calls["update"]


@pytest.mark.parametrize("status", [AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED])
def test_batch_cut_off_by_one_deadline_does_not_count_against_endpoint(status: AttemptStatus) -> None:
    """The call is cut off at the earliest deadline: 140 such calls in 5 s were counted against endpoints."""
    driver = make_batching_driver()
    limiter = driver.scheduler.state.endpoints["a"].call_limiter
    window, action_count = limiter.window.size, len(driver.actions)
    set_endpoint_state(driver, EndpointState.DRAINING)
    driver.submit("short", time_remaining=SECOND_US // 2)
    driver.scheduler.state.messages["short"].priority_weight = 9.0
    driver.submit("update")
    assert set(sent_messages(set_endpoint_state(driver, EndpointState.ACTIVE))) == {"short", "update"}
    driver.run_batch(
        *(driver.make_attempt_ended(m, status, after=100 * MILLISECOND_US) for m in ("short", "update")),
        after=100 * MILLISECOND_US,
    )
    assert limiter.window.size == window
    assert limiter.breaker.consecutive_failures == 0
    assert not any(isinstance(action, CloseIdleConnections) for action in driver.actions[action_count:])


def test_rarely_used_destination_is_retried_within_15_seconds() -> None:
    """Guards against pauses that grow as the known demand falls: minutes, and forever after a restart."""
    for seed in range(5):
        driver = SchedulerDriver(make_entry("a"), seed=seed)
        driver.submit("m", after=600 * SECOND_US)
        driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)
        assert sent_messages(driver.advance_clock(15 * SECOND_US)) == ["m"]


def test_recovered_message_near_deadline_is_not_batched_with_at_most_once_message() -> None:
    """Guards against a batch with a message that had 30 ms left, abandoned at half of the other's time."""
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    near, order = (
        MessageRecovered(
            MessageSubmitted(name, 1, class_name, None, remaining, None),
            SECOND_US,
            0,
            None,
            None,
            is_ended=False,
        )
        for name, class_name, remaining in (
            ("near", "deduplicated", 30 * MILLISECOND_US),
            ("order", "at_most_once", SECOND_US),
        )
    )
    driver.run_batch(near, order)
    calls = {name: driver.scheduler.state.messages[name].call for name in ("near", "order")}
    assert calls["near"] is not calls["order"]
    assert any(calls.values())
