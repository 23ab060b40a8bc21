"""Hibernation: a destination that is released and listed again keeps the limits that it would have had."""

from __future__ import annotations

import gc
import random
import tracemalloc
from collections.abc import Sequence
from dataclasses import asdict, replace
from functools import partial
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.decisions import lifecycle, snapshot
from loftrelay.decisions.actions import FailMessage, SendAttempt, SetTimer
from loftrelay.decisions.availability import next_call_at
from loftrelay.decisions.call_limiter import LEARNED_STATE_TTL_US, CallLimiterSnapshot
from loftrelay.decisions.demand import demand_rate
from loftrelay.decisions.dispatch import send_call
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    Event,
    FinalStatusReported,
    MessageCancelled,
    MessageRecovered,
    TimerFired,
)
from loftrelay.decisions.ordering import is_next
from loftrelay.decisions.routing import may_attempt
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    START,
    SchedulerDriver,
    make_entry,
    make_message,
    sent_messages,
)
from tests.decisions.test_rules import run_outage
from tests.standins.work_counters import IterationCountingDict, count_instructions


def release_destination(driver: SchedulerDriver, after: int = 0, number: int = 1) -> None:
    """Releases an idle destination and checks that its full state is gone."""
    driver.run_batch(after=after)
    assert driver.scheduler.is_idle(driver.now, number)
    driver.run_batch(DestinationsReleased((number,)))
    assert number not in driver.scheduler.state.destinations
    assert number not in driver.scheduler.state.backlog
    assert not any(
        endpoint.destination.number == number for endpoint in driver.scheduler.state.endpoints.values()
    )


def apply_delta(driver: SchedulerDriver, *entries: EndpointEntry, after: int = 0) -> None:
    """Runs a batch with a delta of the endpoint list."""
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, entries), after=after)


def first_sent_at(driver: SchedulerDriver, name: str, within: int = 60 * SECOND_US) -> int:
    """Advances the clock until a message was sent; returns the time of its first attempt."""
    end = driver.now + within
    while name not in [send.message_id for _, send in driver.sent]:
        assert driver.now < end, f"message {name} was not sent within {within} microseconds"
        driver.advance_clock(end - driver.now)
    return next(at for at, send in driver.sent if send.message_id == name)


# Which destinations can be released. Each make_* function makes destination 1 busy and returns a function
# that makes it idle again.


def make_waiting_message(driver: SchedulerDriver) -> Any:
    driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    driver.submit("m")
    return lambda: (driver.advance_clock(SECOND_US), driver.end_attempt("m", AttemptStatus.OK))


def make_message_in_flight(driver: SchedulerDriver) -> Any:
    driver.submit("m")
    return lambda: driver.end_attempt("m", AttemptStatus.OK)


def make_cancelled_message_in_flight(driver: SchedulerDriver) -> Any:
    driver.submit("m")
    driver.run_batch(MessageCancelled("m"))
    return lambda: driver.end_attempt("m", AttemptStatus.OK)


def make_uncertain_message(driver: SchedulerDriver) -> Any:
    """The message may have run at this destination, whose dedup scope restricts its next attempts."""
    driver.submit("m", "zone_deduplicated")
    driver.end_attempt("m", AttemptStatus.ERROR)
    return lambda: driver.run_batch(MessageCancelled("m"))


def make_unreported_message(driver: SchedulerDriver) -> Any:
    driver.submit("m", "ordered_at_most_once", ordering_key="k")
    driver.end_attempt("m", AttemptStatus.ERROR)
    assert driver.actions[-1] == FailMessage("m") or FailMessage("m") in driver.actions
    return lambda: driver.run_batch(FinalStatusReported("m"))


def make_ordering_key_cooldown(driver: SchedulerDriver) -> Any:
    driver.submit("m", "ordered_idempotent", ordering_key="k")
    driver.end_attempt("m", AttemptStatus.TIMEOUT)
    driver.run_batch(MessageCancelled("m"))
    return lambda: driver.run_batch(after=300 * MILLISECOND_US)


def make_partly_ended_batch(driver: SchedulerDriver) -> Any:
    driver.run_batch(*[make_message(name) for name in "mn"])
    driver.end_attempt("m", AttemptStatus.OK)
    return lambda: driver.end_attempt("n", AttemptStatus.OK)


def make_recovered_message(driver: SchedulerDriver) -> Any:
    submit = make_message("m", "ordered_at_most_once", time_remaining=9 * SECOND_US, ordering_key="k")
    driver.run_batch(MessageRecovered(submit, SECOND_US, 1, SECOND_US, "a", is_ended=True))
    return lambda: driver.run_batch(FinalStatusReported("m"))


BUSY_CASES = [
    make_waiting_message,
    make_message_in_flight,
    make_cancelled_message_in_flight,
    make_uncertain_message,
    make_unreported_message,
    make_ordering_key_cooldown,
    make_partly_ended_batch,
    make_recovered_message,
]


@pytest.mark.parametrize("kind", ["shared_limits", "batching"])
@pytest.mark.parametrize("make_busy", BUSY_CASES)
def test_release_of_busy_destination_changes_nothing(make_busy: Any, kind: str) -> None:
    driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("x", 2), awaits_final_status=True)
    end_busy = make_busy(driver)
    assert not driver.scheduler.is_idle(driver.now, 1)
    assert driver.scheduler.is_idle(driver.now, 2)
    driver.run_batch(TimerFired(0))
    before = snapshot.write(driver.scheduler)
    assert not driver.run_batch(DestinationsReleased((1,)))
    assert snapshot.write(driver.scheduler) == before
    end_busy()
    assert driver.scheduler.is_idle(driver.now, 1)
    release_destination(driver)


def test_destination_with_message_in_same_batch_is_not_released() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(make_message("m"), DestinationsReleased((1,)))
    assert driver.sent
    assert "a" in driver.scheduler.state.endpoints


def test_release_of_unknown_destination_changes_nothing() -> None:
    driver = SchedulerDriver(make_entry("a"))
    assert driver.scheduler.is_idle(driver.now, 77)
    driver.run_batch(DestinationsReleased((77, -1)))
    assert not driver.scheduler.state.hibernated
    assert set(driver.scheduler.state.endpoints) == {"a"}


def test_message_for_released_destination_waits_for_list_entry() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    release_destination(driver)
    assert not sent_messages(driver.submit("m"))
    apply_delta(driver, make_entry("b"), after=SECOND_US)
    assert driver.sent[-1][1] == replace(driver.sent[-1][1], message_id="m", endpoint="b")


# Which state is restored


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("kind", ["shared_limits", "own_limits"])
def test_retry_after_before_or_after_release_is_kept(kind: str, before: bool) -> None:
    """A Retry-After received before or after the release blocks the same endpoints for the same time."""
    driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("b", kind=kind))
    if before:
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
    release_destination(driver)
    if not before:
        driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
        driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    until = driver.now + 5 * SECOND_US
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert driver.scheduler.is_blocked(driver.now, "b") is (kind == "shared_limits")
    driver.run_batch(after=2 * SECOND_US)
    apply_delta(driver, make_entry("a", kind=kind))
    driver.submit("m")
    assert first_sent_at(driver, "m") == until
    driver.end_attempt("m", AttemptStatus.OK, after=MILLISECOND_US)


def test_retry_after_of_released_destination_blocks_new_sibling() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
    until = driver.now + 5 * SECOND_US
    release_destination(driver)
    apply_delta(driver, make_entry("other"))
    assert driver.scheduler.is_blocked(until - 1, "other")
    driver.submit("m")
    assert first_sent_at(driver, "m") == until


def test_retry_after_of_abandoned_call_blocks_released_destination() -> None:
    driver = SchedulerDriver(make_entry("a"))
    release_destination(driver)
    driver.run_batch(AttemptEnded("m", 0, "a", AttemptStatus.REJECTED, 0, False, 4 * SECOND_US, None, None))
    assert driver.scheduler.is_blocked(driver.now + 4 * SECOND_US - 1, "a")
    assert not driver.scheduler.is_blocked(driver.now + 4 * SECOND_US, "a")


def test_retry_after_is_kept_when_endpoint_kind_changes_its_call_limiter() -> None:
    for was, now in (("own_limits", "shared_limits"), ("shared_limits", "own_limits")):
        driver = SchedulerDriver(make_entry("a", kind=was))
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
        release_destination(driver)
        apply_delta(driver, make_entry("a", kind=now))
        assert driver.scheduler.is_blocked(driver.now + 5 * SECOND_US - 1, "a")


@pytest.mark.parametrize("kind", ["shared_limits", "own_limits"])
def test_open_circuit_is_kept_until_a_call_succeeds(kind: str) -> None:
    """An outage is followed by spaced single probes, however long ago it was, and then by slow start."""
    driver = SchedulerDriver(make_entry("a", kind=kind))
    driver.run_successful_calls()
    run_outage(driver)
    for name in list(driver.scheduler.state.messages):
        driver.run_batch(MessageCancelled(name))
    assert driver.scheduler.state.endpoints["a"].call_limiter.breaker.is_open
    pause = driver.scheduler.state.endpoints["a"].call_limiter.next_attempt_at
    release_destination(driver)
    apply_delta(driver, make_entry("a", kind=kind))
    driver.run_batch(*[make_message(f"m{i}") for i in range(9)])
    first_sent_at(driver, next(iter(driver.scheduler.state.messages)))
    assert driver.now >= pause
    assert driver.scheduler.state.calls_in_flight == 1
    for name in list(driver.scheduler.state.messages):
        if driver.scheduler.state.messages[name].call:
            driver.end_attempt(name, AttemptStatus.CONNECT_FAILED)
        driver.run_batch(MessageCancelled(name))
    release_destination(driver, after=SECOND_US)
    driver.run_batch(after=30 * 24 * 3600 * SECOND_US)
    assert driver.scheduler.state.hibernated  # an open circuit is kept until a call succeeds
    apply_delta(driver, make_entry("a", kind=kind))
    assert driver.scheduler.state.endpoints["a"].call_limiter.breaker.is_open
    driver.submit("n")
    driver.end_attempt("n", AttemptStatus.OK)
    assert driver.scheduler.state.endpoints["a"].call_limiter.slow_start.started_at == driver.now


def run_outage_and_recovery(driver: SchedulerDriver) -> None:
    """Delivers ten messages per second, then runs an outage and the first successful calls after it."""
    for i in range(40):
        driver.submit(f"w{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"w{i}", AttemptStatus.OK)
    run_outage(driver, AttemptStatus.ERROR, seconds=12)
    driver.submit("back")
    while driver.scheduler.state.endpoints["a"].call_limiter.breaker.is_open:
        for name in driver.messages_in_flight():
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
        driver.advance_clock(SECOND_US)
    for name in list(driver.scheduler.state.messages):
        if driver.scheduler.state.messages[name].call:
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
        driver.run_batch(MessageCancelled(name))


@pytest.mark.parametrize("kind", ["shared_limits", "own_limits"])
def test_slow_start_budget_counts_calls_before_release(kind: str) -> None:
    """No overload window of two seconds gets more calls than the budget, however often it is released."""
    driver = SchedulerDriver(make_entry("a", kind=kind))
    run_outage_and_recovery(driver)
    slow_start_at = driver.scheduler.state.endpoints["a"].call_limiter.slow_start.started_at
    assert slow_start_at is not None
    destination = driver.scheduler.state.destinations[1]
    rate = demand_rate(driver.scheduler.state, destination.endpoints[0].call_limiter, destination)
    for i in range(400):
        if driver.scheduler.is_idle(driver.now, 1):
            release_destination(driver)
            apply_delta(driver, make_entry("a", kind=kind))
        driver.submit(f"n{i}", after=20 * MILLISECOND_US)
        destination = driver.scheduler.state.destinations[1]
        rate = max(
            rate, demand_rate(driver.scheduler.state, destination.endpoints[0].call_limiter, destination)
        )
        for name in driver.messages_in_flight():
            driver.end_attempt(name, AttemptStatus.OK, after=MILLISECOND_US)
        for name in list(driver.scheduler.state.messages):
            driver.run_batch(MessageCancelled(name))
    times = [at for at, _ in driver.sent if at > slow_start_at]
    assert len(times) > 20
    for at in times:
        if at < slow_start_at + 9 * SECOND_US:
            share = 0.2 + 0.8 * (at - slow_start_at) / (10 * SECOND_US)
            assert sum(at - 2 * SECOND_US < t <= at for t in times) <= max(1.0, rate * 2 * 2 * share) + 1


def test_slow_start_ends_on_time_across_release() -> None:
    driver = SchedulerDriver(make_entry("a"))
    run_outage_and_recovery(driver)
    slow_start_at = driver.scheduler.state.endpoints["a"].call_limiter.slow_start.started_at
    assert slow_start_at is not None
    release_destination(driver)
    apply_delta(driver, make_entry("a"), after=slow_start_at + 9 * SECOND_US - driver.now)
    assert driver.scheduler.state.endpoints["a"].call_limiter.slow_start.started_at == slow_start_at
    release_destination(driver)
    driver.run_batch(after=LEARNED_STATE_TTL_US)
    assert not driver.scheduler.state.hibernated
    assert not driver.scheduler.state.hibernated_endpoints


def test_endpoints_with_own_limits_are_restored_separately() -> None:
    """This holds if one is listed later than its siblings, or only after a second release."""
    driver = SchedulerDriver(
        make_entry("a", kind="own_limits"),
        make_entry("b", kind="own_limits"),
        make_entry("c", kind="own_limits"),
    )
    driver.scheduler.apply_retry_after(driver.now, "a", 50 * SECOND_US)
    driver.scheduler.state.endpoints["b"].call_limiter.breaker.is_open = True
    until = driver.now + 50 * SECOND_US
    release_destination(driver)
    apply_delta(driver, make_entry("c", kind="own_limits"), after=SECOND_US)
    assert driver.scheduler.is_blocked(driver.now, "a")
    assert not driver.scheduler.is_blocked(driver.now, "c")
    apply_delta(driver, make_entry("b", kind="own_limits"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].call_limiter.breaker.is_open
    assert not driver.scheduler.state.endpoints["c"].call_limiter.breaker.is_open
    release_destination(driver)
    apply_delta(driver, *(make_entry(name, kind="own_limits") for name in "abc"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].call_limiter.breaker.is_open
    assert not driver.scheduler.state.endpoints["c"].call_limiter.breaker.is_open
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert not driver.scheduler.state.hibernated
    assert not driver.scheduler.state.hibernated_endpoints


def test_learned_rate_limit_is_restored() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    for i in range(6):
        driver.submit(f"m{i}", after=10 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED)
        driver.run_batch(MessageCancelled(f"m{i}"))
    limiter = driver.scheduler.state.endpoints["a"].call_limiter
    rate, next_call_time = limiter.rate_limiter.calls_per_second, limiter.next_attempt_at
    assert rate < 10
    release_destination(driver)
    apply_delta(driver, make_entry("a"))
    assert driver.scheduler.state.endpoints["a"].call_limiter is not limiter
    assert driver.scheduler.state.endpoints["a"].call_limiter.rate_limiter.calls_per_second == rate
    driver.submit("n")
    assert first_sent_at(driver, "n") >= next_call_time
    sent = driver.now
    driver.end_attempt("n", AttemptStatus.OK)
    release_destination(driver)
    apply_delta(driver, make_entry("a"))
    restored = driver.scheduler.state.endpoints["a"].call_limiter
    next_call_time = sent + restored.rate_limiter.interval(
        restored.rate_limiter.calls_per_second, driver.scheduler.state.limits
    )
    assert rate <= restored.rate_limiter.calls_per_second <= 1.12 * rate
    assert next_call_time > sent + SECOND_US
    driver.submit("o")
    assert first_sent_at(driver, "o") == next_call_time


@pytest.mark.parametrize("kind", ["shared_limits", "own_limits"])
def test_all_learned_state_of_call_limiter_is_restored(kind: str) -> None:
    driver = SchedulerDriver(make_entry("a", kind=kind))
    limiter = driver.scheduler.state.endpoints["a"].call_limiter
    learned = CallLimiterSnapshot(
        window_size=0.25,
        retry_after_until=driver.now + 9 * SECOND_US,
        next_attempt_at=driver.now + SECOND_US,
        consecutive_failures=3,
        failing_since=5,
        has_only_rejections=True,
        error_rate=0.4,
        failed_at=driver.now,
        last_was_rejection=True,
        is_open=True,
        slow_start_at=driver.now,
        connection_failures=2,
        calls_per_second=7.5,
        failure_rate_after_failure=0.125,
        jitter=1.5,
        last_call_at=driver.now - 1,
        recent_calls=(),
    )
    limits = driver.scheduler.state.limits
    fresh = asdict(CallLimiterSnapshot.capture(limiter, driver.now, limits))
    different = {name for name, value in asdict(learned).items() if fresh[name] != value}
    assert different == set(fresh) - {"recent_calls"}
    learned.restore(limiter)
    assert limiter.breaker.is_open
    assert limiter.rate_limiter.calls_per_second == 7.5
    assert limiter.window.size == 0.25
    assert limiter.slow_start.started_at == driver.now
    limiter.slow_start.calls = [
        (driver.now - 3 * SECOND_US, 1.0),
        (driver.now - SECOND_US, 1.25),
        (driver.now - 1, 1.0),
    ]
    release_destination(driver)
    apply_delta(driver, make_entry("a", kind=kind))
    other = driver.scheduler.state.endpoints["a"].call_limiter
    assert other is not limiter
    calls = ((driver.now - SECOND_US, 1.25), (driver.now - 1, 1.0))
    assert CallLimiterSnapshot.capture(other, driver.now, limits) == replace(learned, recent_calls=calls)
    assert list(other.slow_start.recent_calls) == list(calls)


def test_at_most_once_message_avoids_failed_endpoint_after_release() -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.submit("m")
    failed_endpoint = driver.sent[-1][1].endpoint
    driver.end_attempt("m", AttemptStatus.ERROR)
    driver.run_batch(MessageCancelled("m"))
    release_destination(driver, after=SECOND_US)
    apply_delta(driver, make_entry("a"), make_entry("b"))
    assert driver.scheduler.state.endpoints[failed_endpoint].consecutive_failures == 1
    for i in range(9):
        driver.submit(f"u{i}", "at_most_once", after=5 * SECOND_US)
        assert driver.sent[-1][1].message_id == f"u{i}"
        assert driver.sent[-1][1].endpoint != failed_endpoint
        driver.end_attempt(f"u{i}", AttemptStatus.OK)


def test_endpoint_enabled_while_released_gets_slow_start() -> None:
    for operator_events in ([EndpointDisabled("a"), EndpointEnabled("a")], [EndpointEnabled("a")]):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        if len(operator_events) == 1:
            driver.run_batch(EndpointDisabled("a"))
            release_destination(driver)
            driver.run_batch(after=30 * 24 * 3600 * SECOND_US)  # disabled for a month
        else:
            release_destination(driver)
        driver.run_batch(*operator_events)
        enabled_at = driver.now
        apply_delta(driver, make_entry("a"), after=SECOND_US)
        assert driver.scheduler.state.endpoints["a"].call_limiter.slow_start.started_at == enabled_at
        assert driver.scheduler.state.endpoints["a"].is_available


def test_disabled_endpoint_stays_disabled_after_release() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(EndpointDisabled("a"))
    release_destination(driver)
    apply_delta(driver, make_entry("a"), after=99 * SECOND_US)
    assert not sent_messages(driver.submit("m"))


def test_hibernated_destinations_survive_handover() -> None:
    driver = SchedulerDriver(make_entry("a", kind="own_limits"), make_entry("b", 2))
    driver.scheduler.apply_retry_after(driver.now, "a", 50 * SECOND_US)
    driver.scheduler.state.endpoints["b"].call_limiter.breaker.is_open = True
    until = driver.now + 50 * SECOND_US
    release_destination(driver)
    release_destination(driver, number=2)
    driver.scheduler, events = snapshot.read(
        snapshot.write(driver.scheduler, [DestinationsReleased((3,))]), seed=1
    )
    assert events == [DestinationsReleased((3,))]
    assert driver.scheduler.is_blocked(until - 1, "a")
    driver.run_batch(after=20 * SECOND_US)
    apply_delta(driver, make_entry("a", kind="own_limits"), make_entry("b", 2))
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert driver.scheduler.state.endpoints["b"].call_limiter.breaker.is_open


# Cost of hibernated destinations


def test_hibernated_state_is_dropped_when_irrelevant() -> None:
    driver = SchedulerDriver(
        make_entry("healthy", 1), make_entry("blocked", 2), make_entry("rejected", 3), make_entry("down", 4)
    )
    driver.run_successful_calls()
    driver.scheduler.apply_retry_after(driver.now, "blocked", 60 * SECOND_US)
    driver.submit("m", destination=3)
    driver.end_attempt("m", AttemptStatus.REJECTED)
    driver.run_batch(MessageCancelled("m"))
    driver.scheduler.state.endpoints["down"].call_limiter.breaker.is_open = True
    driver.run_batch(DestinationsReleased((1, 2, 3, 4)))
    driver.run_batch(after=10 * SECOND_US)
    assert set(driver.scheduler.state.hibernated) == {2, 3, 4}
    driver.run_batch(after=51 * SECOND_US)
    assert set(driver.scheduler.state.hibernated) == {3, 4}
    driver.run_batch(after=LEARNED_STATE_TTL_US)
    assert set(driver.scheduler.state.hibernated) == {4}
    assert driver.scheduler.state.hibernated_endpoints == {"down": 4}
    driver.run_batch(after=LEARNED_STATE_TTL_US)
    assert set(driver.scheduler.state.hibernated) == {4}
    assert not driver.scheduler.state.timers


def test_batch_cost_is_independent_of_hibernated_destinations() -> None:
    costs = []
    for size in (100, 20_000):
        scheduler = Scheduler(1, SETTINGS)
        entries = tuple(make_entry(f"h{i}", i) for i in range(size))
        scheduler.handle_batch(
            START,
            [
                EndpointListReceived(
                    EndpointListKind.FULL, (*entries, make_entry("x", -1), make_entry("y", -2))
                )
            ],
        )
        for endpoint in scheduler.state.endpoints.values():
            endpoint.call_limiter.breaker.is_open = True
        scheduler.handle_batch(START, [DestinationsReleased(tuple(range(size)))])
        scheduler.handle_batch(START + 60 * SECOND_US, [TimerFired(0)])
        assert len(scheduler.state.hibernated) == size
        scheduler.state.hibernated, scheduler.state.hibernated_endpoints = (
            IterationCountingDict(scheduler.state.hibernated),
            IterationCountingDict(scheduler.state.hibernated_endpoints),
        )
        batches: list[list[Event]] = [
            [DestinationsReleased((-1,))],
            [EndpointListReceived(EndpointListKind.DELTA, (make_entry("h7", 7),))],
            [TimerFired(0)],
            [make_message("m", destination=-2, time_remaining=SECOND_US)],
        ]
        costs.append(
            [
                count_instructions(partial(scheduler.handle_batch, START + 61 * SECOND_US, batch))
                for batch in batches
            ]
        )
        assert scheduler.state.hibernated.iterated_entries == 0
        assert scheduler.state.hibernated_endpoints.iterated_entries == 0
    assert all(0 < many <= 1.5 * few for few, many in zip(*costs, strict=True))


def test_hibernated_destination_uses_bounded_memory() -> None:
    """The most expensive case: each destination has an open circuit, a Retry-After and its own endpoint."""
    size = 2_000
    scheduler = Scheduler(1, SETTINGS)
    scheduler.handle_batch(
        START,
        [EndpointListReceived(EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size)))],
    )
    for number, endpoint in enumerate(scheduler.state.endpoints.values()):
        limiter = endpoint.call_limiter
        limiter.retry_after_until = START + 99 * SECOND_US + number
        limiter.next_attempt_at = START + number
        limiter.window.size = number / 7e6
        limiter.breaker.is_open = True
        limiter.breaker.consecutive_failures = 3
        limiter.breaker.error_rate = number / 7e6 + 0.7
        limiter.breaker.failed_at = START + 9 + number
        limiter.breaker.failing_since = START - number
        limiter.rate_limiter.last_call_at = START - 2 * number
        limiter.rate_limiter.calls_per_second = number / 9e3 + 1.1
        limiter.rate_limiter.failure_rate_after_failure = number / 9e4
        limiter.rate_limiter.jitter = number / 8e4 + 1.1
    gc.collect()
    tracemalloc.start()
    try:
        scheduler.handle_batch(START, [DestinationsReleased(tuple(range(size)))])
        scheduler.handle_batch(START + 60 * SECOND_US, [TimerFired(0)])
        gc.collect()
        bytes_per_destination = tracemalloc.get_traced_memory()[0] / size
    finally:
        tracemalloc.stop()
    assert len(scheduler.state.hibernated) == size
    print(f"{bytes_per_destination:.0f} bytes per hibernated destination")
    assert 100 < bytes_per_destination < 1_000


# Comparison with a scheduler that keeps all destinations


class FixedRandom(random.Random):
    """Returns `at` from every draw, independently of earlier draws."""

    def __init__(self) -> None:
        self.at = 0.5

    def random(self) -> float:
        return self.at

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.at

    def expovariate(self, lambd: float = 1.0) -> float:
        return 1.0


class ReferenceScheduler(Scheduler):
    """Scheduler that keeps all destinations. It sends given attempts and asserts that each is allowed."""

    def __init__(self, seed: int, settings: RelaySettings) -> None:
        super().__init__(seed, settings)
        self.attempts: Sequence[SendAttempt] = ()

    def _dispatch(self) -> None:
        for attempt in self.attempts:
            message, endpoint = (
                self.state.messages[attempt.message_id],
                self.state.endpoints[attempt.endpoint],
            )
            assert may_attempt(self.state, message, endpoint) and is_next(self.state, message), attempt
            allowed_at = next_call_at(self.state, endpoint.call_limiter, endpoint.destination)
            assert allowed_at <= self.state.now, (attempt, allowed_at - self.state.now, endpoint.call_limiter)
            send_call(self.state, message, endpoint)


ENDPOINTS = [
    make_entry("a"),
    make_entry("b", zone="there"),
    make_entry("c", 2, kind="own_limits"),
    make_entry("d", 2, "there", kind="own_limits"),
]
FAILURES = [
    AttemptStatus.REJECTED,
    AttemptStatus.ERROR,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.MALFORMED_RESPONSE,
]
STEP = st.tuples(
    st.sampled_from(
        ["submit"] * 4 + ["outcome"] * 4 + ["release"] * 2 + ["list", "list_some", "retry_after", "wait"]
    ),
    st.integers(0, 99),
    st.sampled_from(
        [0, 5 * MILLISECOND_US, 100 * MILLISECOND_US, 700 * MILLISECOND_US, 3 * SECOND_US, 11 * SECOND_US]
    ),
    st.sampled_from([AttemptStatus.OK] * 5 + FAILURES * 2),
)


class ComparisonRun:
    """Runs a scheduler whose idle destinations are released and listed again against a reference."""

    def __init__(self, relay_count: int) -> None:
        relay_settings = replace(SETTINGS, relay_count=relay_count, max_open_messages=10_000, max_attempts=3)
        self.scheduler, self.reference = Scheduler(1, relay_settings), ReferenceScheduler(1, relay_settings)
        self.random_source = FixedRandom()
        self.scheduler.state.random = self.reference.state.random = self.random_source
        self.now = self.timer_at = START
        self.message_count = self.restored_count = self.call_count = 0
        self.in_flight: dict[str, SendAttempt] = {}
        # Entries of the endpoints of released destinations.
        self.released_entries: dict[str, EndpointEntry] = {}
        full_list = EndpointListReceived(EndpointListKind.FULL, tuple(ENDPOINTS))
        self.run_batch([full_list], [full_list])

    def run_batch(self, events: list[Event], reference_events: list[Event] | None = None) -> None:
        actions = self.scheduler.handle_batch(self.now, events)
        self.reference.attempts = [action for action in actions if isinstance(action, SendAttempt)]
        for action in actions:
            if isinstance(action, SetTimer):
                self.timer_at = self.now + action.delay
        self.reference.handle_batch(self.now, events if reference_events is None else reference_events)
        self.in_flight |= {attempt.message_id: attempt for attempt in self.reference.attempts}
        self.call_count += len(self.reference.attempts)
        # Ends in both what has ended in one: only the call limiters are compared.
        ended = self.reference.state.messages.keys() ^ self.scheduler.state.messages.keys()
        for name in ended:
            for scheduler in (self.reference, self.scheduler):
                if (message := scheduler.state.messages.get(name)) is not None and message.call is None:
                    lifecycle.finish(scheduler.state, message, None)

    def is_known(self, name: str) -> bool:
        """Returns whether an endpoint is listed or hibernated."""
        return name in self.scheduler.state.endpoints or name in self.scheduler.state.hibernated_endpoints

    def pass_time(self, delay: int) -> None:
        end = self.now + delay
        while self.now < self.timer_at <= end:
            self.now = self.timer_at
            self.run_batch([TimerFired(0)])
        self.now = end

    def run_step(self, kind: str, pick: int, delay: int, status: AttemptStatus) -> None:
        self.pass_time(delay)
        self.random_source.at = pick / 100
        number = 1 + pick % 2
        match kind:
            case "submit":
                names = [f"m{self.message_count + i}" for i in range(1 + pick % 4)]
                self.message_count += len(names)
                self.run_batch(
                    [make_message(name, destination=number, time_remaining=7 * SECOND_US) for name in names]
                )
            case "outcome" if self.in_flight:
                name = sorted(self.in_flight)[pick % len(self.in_flight)]
                send = self.in_flight.pop(name)
                retry_after = 1500 * MILLISECOND_US if status is AttemptStatus.REJECTED and pick % 3 else 0
                is_final = status is AttemptStatus.OK
                outcome = AttemptEnded(
                    name, 0, send.endpoint, status, 5 * MILLISECOND_US, is_final, retry_after, None, None, 0
                )
                self.run_batch([outcome, *([] if is_final or pick % 4 else [MessageCancelled(name)])])
            case "release":
                is_idle = self.scheduler.is_idle(self.now, number)
                assert is_idle == self.reference.is_idle(self.now, number)
                self.run_batch([DestinationsReleased((number,))], [])
                if is_idle:
                    self.released_entries |= {
                        entry.endpoint: entry for entry in ENDPOINTS if entry.destination == number
                    }
                    assert number not in self.scheduler.state.destinations
            case "list" | "list_some" if self.released_entries:
                # Lists endpoints with own limits together: the demand is split among the listed ones.
                names = sorted(self.released_entries)[: None if kind == "list" else 1 + pick % 2]
                if {"c", "d"} & set(names):
                    names = sorted({*names, "c", "d"})
                restored = tuple(self.released_entries.pop(name) for name in names)
                self.restored_count += len(restored)
                self.run_batch([EndpointListReceived(EndpointListKind.DELTA, restored)], [])
            case "retry_after":
                name = ENDPOINTS[pick % len(ENDPOINTS)].endpoint
                if not self.is_known(name):
                    return  # no call can still be in flight to report a Retry-After
                for scheduler in (self.scheduler, self.reference):
                    scheduler.apply_retry_after(self.now, name, 2 * SECOND_US)
                self.run_batch([])
        for name in filter(self.is_known, (entry.endpoint for entry in ENDPOINTS)):
            assert self.scheduler.is_blocked(self.now, name) == self.reference.is_blocked(self.now, name), (
                name
            )


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.lists(STEP, max_size=50), st.sampled_from([2, 60]))
def test_released_destinations_send_no_call_that_reference_forbids(
    steps_to_run: list[tuple[str, int, int, AttemptStatus]], relays: int
) -> None:
    """Covers Retry-After, pauses, rate limits, open circuits and slow start on all call limiters.

    All calls take the same time, so that no window is narrowed for slow calls: call times are not kept.
    """
    comparison = ComparisonRun(relays)
    for step in steps_to_run:
        comparison.run_step(*step)


STEP_CHOICES = [
    *["submit"] * 3,
    *["outcome"] * 12,
    *["release"] * 6,
    *["list"] * 4,
    "list_some",
    "retry_after",
]


@pytest.mark.parametrize("relays", [2, 60])
def test_long_runs_send_no_call_that_reference_forbids(relays: int) -> None:
    """Phases of 40 steps each: successes, rejections, failed connections, successes, errors."""
    restored_count = call_count = outages = 0
    for seed in range(12):
        rng, comparison = random.Random(seed), ComparisonRun(relays)
        for i in range(600):
            phase_status = [
                AttemptStatus.OK,
                AttemptStatus.REJECTED,
                AttemptStatus.CONNECT_FAILED,
                AttemptStatus.OK,
                AttemptStatus.ERROR,
            ][i // 40 % 5]
            is_phase_status = rng.random() < 0.9
            status = phase_status if is_phase_status else rng.choice([AttemptStatus.OK, *FAILURES])
            delay = rng.choice(
                [
                    0,
                    5 * MILLISECOND_US,
                    20 * MILLISECOND_US,
                    100 * MILLISECOND_US,
                    700 * MILLISECOND_US,
                    2 * SECOND_US,
                ]
            )
            comparison.run_step(rng.choice(STEP_CHOICES), rng.randrange(100), delay, status)
            hibernated_limiters = [
                record.call_limiter for record in comparison.scheduler.state.hibernated.values()
            ]
            outages += any(limiter is not None and limiter.is_open for limiter in hibernated_limiters)
        restored_count += comparison.restored_count
        call_count += comparison.call_count
    assert restored_count > 500 and call_count > 1_000 and outages > 100, (
        restored_count,
        call_count,
        outages,
    )
