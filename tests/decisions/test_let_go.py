"""A destination that is let go and comes back is bound by all that it would be bound by, had it stayed."""

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
    MessageSubmitted,
    TimerFired,
)
from loftrelay.decisions.gate import LEARNED_STATE_TTL_US, GateSnapshot
from loftrelay.decisions.ordering import is_next
from loftrelay.decisions.routing import may_attempt
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings
from tests.decisions.test_rules import outage
from tests.decisions.world import (
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    START,
    SchedulerDriver,
    make_entry,
    sent_messages,
)
from tests.standins.work import Walked, steps


def let_go(driver: SchedulerDriver, after: int = 0, number: int = 1) -> None:
    driver.run_batch(after=after)
    assert driver.scheduler.is_idle(driver.now, number)
    driver.run_batch(DestinationsReleased((number,)))
    assert number not in driver.scheduler.state.destinations
    assert number not in driver.scheduler.state.backlog
    assert not any(e.destination.number == number for e in driver.scheduler.state.endpoints.values())


def listed(driver: SchedulerDriver, *entries: EndpointEntry, after: int = 0) -> None:
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, entries), after=after)


def first_send(driver: SchedulerDriver, name: str, within: int = 60 * SECOND_US) -> int:
    """When it is sent, by timers alone."""
    end = driver.now + within
    while name not in [send.message_id for _, send in driver.sent]:
        assert driver.now < end, "never sent"
        driver.advance_clock(end - driver.now)
    return next(at for at, send in driver.sent if send.message_id == name)


# What may be let go


def waiting(driver: SchedulerDriver) -> Any:
    driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    driver.submit("m")
    return lambda: (driver.advance_clock(SECOND_US), driver.end_attempt("m", AttemptStatus.OK))


def out(driver: SchedulerDriver) -> Any:
    driver.submit("m")
    return lambda: driver.end_attempt("m", AttemptStatus.OK)


def withdrawn_while_out(driver: SchedulerDriver) -> Any:
    driver.submit("m")
    driver.run_batch(MessageCancelled("m"))
    return lambda: driver.end_attempt("m", AttemptStatus.OK)


def tried_and_doubtful(driver: SchedulerDriver) -> Any:
    """It may have run, and where: its key there binds what may be done with it."""
    driver.submit("m", "zoned")
    driver.end_attempt("m", AttemptStatus.ERROR)
    return lambda: driver.run_batch(MessageCancelled("m"))


def unnoticed(driver: SchedulerDriver) -> Any:
    driver.submit("m", "strict", ordering_key="k")
    driver.end_attempt("m", AttemptStatus.ERROR)
    assert driver.actions[-1] == FailMessage("m") or FailMessage("m") in driver.actions
    return lambda: driver.run_batch(FinalStatusReported("m"))


def resting_key(driver: SchedulerDriver) -> Any:
    driver.submit("m", "ordered", ordering_key="k")
    driver.end_attempt("m", AttemptStatus.TIMEOUT)
    driver.run_batch(MessageCancelled("m"))
    return lambda: driver.run_batch(after=300 * MILLISECOND_US)


def part_of_a_bundle(driver: SchedulerDriver) -> Any:
    driver.run_batch(*[MessageSubmitted(name, 1, "safe", None, 20 * SECOND_US, None) for name in "mn"])
    driver.end_attempt("m", AttemptStatus.OK)
    return lambda: driver.end_attempt("n", AttemptStatus.OK)


def recovered(driver: SchedulerDriver) -> Any:
    submit = MessageSubmitted("m", 1, "strict", None, 9 * SECOND_US, "k")
    driver.run_batch(MessageRecovered(submit, SECOND_US, 1, SECOND_US, "a", is_ended=True))
    return lambda: driver.run_batch(FinalStatusReported("m"))


BUSY = [
    waiting,
    out,
    withdrawn_while_out,
    tried_and_doubtful,
    unnoticed,
    resting_key,
    part_of_a_bundle,
    recovered,
]


@pytest.mark.parametrize("kind", ["plain", "bundled"])
@pytest.mark.parametrize("busy", BUSY)
def test_what_is_not_idle_stays_as_it_is(busy: Any, kind: str) -> None:
    driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("x", 2), awaits_final_status=True)
    over = busy(driver)
    assert not driver.scheduler.is_idle(driver.now, 1)
    assert driver.scheduler.is_idle(driver.now, 2)
    driver.run_batch(TimerFired(0))
    before = snapshot.write(driver.scheduler)
    assert not driver.run_batch(DestinationsReleased((1,)))
    assert snapshot.write(driver.scheduler) == before
    over()
    assert driver.scheduler.is_idle(driver.now, 1)
    let_go(driver)


def test_one_message_more_in_the_same_batch_keeps_it() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(MessageSubmitted("m", 1, "safe", None, 20 * SECOND_US, None), DestinationsReleased((1,)))
    assert driver.sent
    assert "a" in driver.scheduler.state.endpoints


def test_what_is_not_known_is_idle_and_nothing_is_let_go() -> None:
    driver = SchedulerDriver(make_entry("a"))
    assert driver.scheduler.is_idle(driver.now, 77)
    driver.run_batch(DestinationsReleased((77, -1)))
    assert not driver.scheduler.state.hibernated
    assert set(driver.scheduler.state.endpoints) == {"a"}


def test_a_message_for_one_that_was_let_go_waits_for_its_listing() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    let_go(driver)
    assert not sent_messages(driver.submit("m"))
    listed(driver, make_entry("b"), after=SECOND_US)
    assert driver.sent[-1][1] == replace(driver.sent[-1][1], message_id="m", endpoint="b")


# What binds


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_told_wait(kind: str, before: bool) -> None:
    """Told before it was let go, or heard after: it binds the hosts that it always bound, and as long."""
    driver = SchedulerDriver(make_entry("a", kind=kind), make_entry("b", kind=kind))
    if before:
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
    let_go(driver)
    if not before:
        driver.scheduler.apply_retry_after(driver.now, "a", 3 * SECOND_US)
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
        driver.scheduler.apply_retry_after(driver.now, "a", SECOND_US)
    until = driver.now + 5 * SECOND_US
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert driver.scheduler.is_blocked(driver.now, "b") is (kind == "plain")
    driver.run_batch(after=2 * SECOND_US)
    listed(driver, make_entry("a", kind=kind))
    driver.submit("m")
    assert first_send(driver, "m") == until
    driver.end_attempt("m", AttemptStatus.OK, after=MILLISECOND_US)


def test_a_told_wait_binds_a_sibling_that_is_new() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
    until = driver.now + 5 * SECOND_US
    let_go(driver)
    listed(driver, make_entry("other"))
    assert driver.scheduler.is_blocked(until - 1, "other")
    driver.submit("m")
    assert first_send(driver, "m") == until


def test_a_wait_told_by_the_outcome_of_a_call_given_up_long_since() -> None:
    driver = SchedulerDriver(make_entry("a"))
    let_go(driver)
    driver.run_batch(AttemptEnded("m", 0, "a", AttemptStatus.REJECTED, 0, False, 4 * SECOND_US, None, None))
    assert driver.scheduler.is_blocked(driver.now + 4 * SECOND_US - 1, "a")
    assert not driver.scheduler.is_blocked(driver.now + 4 * SECOND_US, "a")


def test_a_wait_of_a_route_binds_a_kind_that_shares_it_now_and_the_other_way_round() -> None:
    for was, now in (("apart", "plain"), ("plain", "apart")):
        driver = SchedulerDriver(make_entry("a", kind=was))
        driver.scheduler.apply_retry_after(driver.now, "a", 5 * SECOND_US)
        let_go(driver)
        listed(driver, make_entry("a", kind=now))
        assert driver.scheduler.is_blocked(driver.now + 5 * SECOND_US - 1, "a")


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_an_outage(kind: str) -> None:
    """However long ago: one trial, spaced, and a budget once it is back."""
    driver = SchedulerDriver(make_entry("a", kind=kind))
    driver.run_successful_calls()
    outage(driver)
    for name in list(driver.scheduler.state.messages):
        driver.run_batch(MessageCancelled(name))
    assert driver.scheduler.state.endpoints["a"].gate.breaker.is_open
    pause = driver.scheduler.state.endpoints["a"].gate.next_attempt_at
    let_go(driver)
    listed(driver, make_entry("a", kind=kind))
    driver.run_batch(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(9)])
    first_send(driver, next(iter(driver.scheduler.state.messages)))
    assert driver.now >= pause
    assert driver.scheduler.state.calls_in_flight == 1
    for name in list(driver.scheduler.state.messages):
        if driver.scheduler.state.messages[name].call:
            driver.end_attempt(name, AttemptStatus.CONNECT_FAILED)
        driver.run_batch(MessageCancelled(name))
    let_go(driver, after=SECOND_US)
    driver.run_batch(after=30 * 24 * 3600 * SECOND_US)
    assert driver.scheduler.state.hibernated  # an outage binds until a call succeeds
    listed(driver, make_entry("a", kind=kind))
    assert driver.scheduler.state.endpoints["a"].gate.breaker.is_open
    driver.submit("n")
    driver.end_attempt("n", AttemptStatus.OK)
    assert driver.scheduler.state.endpoints["a"].gate.slow_start.started_at == driver.now


def back(driver: SchedulerDriver) -> None:
    """Ten a second, an outage, and back."""
    for i in range(40):
        driver.submit(f"w{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"w{i}", AttemptStatus.OK)
    outage(driver, AttemptStatus.ERROR, seconds=12)
    driver.submit("back")
    while driver.scheduler.state.endpoints["a"].gate.breaker.is_open:
        for name in [m for m in driver.scheduler.state.messages if driver.scheduler.state.messages[m].call]:
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
        driver.advance_clock(SECOND_US)
    for name in list(driver.scheduler.state.messages):
        if driver.scheduler.state.messages[name].call:
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
        driver.run_batch(MessageCancelled(name))


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_cold_window_counts_what_it_has_had(kind: str) -> None:
    """No more calls in a window of two seconds than the budget allows, over all the times it is let go."""
    driver = SchedulerDriver(make_entry("a", kind=kind))
    back(driver)
    since = driver.scheduler.state.endpoints["a"].gate.slow_start.started_at
    assert since is not None
    destination = driver.scheduler.state.destinations[1]
    rate = demand_rate(driver.scheduler.state, destination.endpoints[0].gate, destination)
    for i in range(400):
        if driver.scheduler.is_idle(driver.now, 1):
            let_go(driver)
            listed(driver, make_entry("a", kind=kind))
        driver.submit(f"n{i}", after=20 * MILLISECOND_US)
        destination = driver.scheduler.state.destinations[1]
        rate = max(rate, demand_rate(driver.scheduler.state, destination.endpoints[0].gate, destination))
        for name in [m for m in driver.scheduler.state.messages if driver.scheduler.state.messages[m].call]:
            driver.end_attempt(name, AttemptStatus.OK, after=MILLISECOND_US)
        for name in list(driver.scheduler.state.messages):
            driver.run_batch(MessageCancelled(name))
    times = [at for at, _ in driver.sent if at > since]
    assert len(times) > 20
    for at in times:
        if at < since + 9 * SECOND_US:
            share = 0.2 + 0.8 * (at - since) / (10 * SECOND_US)
            assert sum(at - 2 * SECOND_US < t <= at for t in times) <= max(1.0, rate * 2 * 2 * share) + 1


def test_a_cold_return_ends_when_it_would_have_ended() -> None:
    driver = SchedulerDriver(make_entry("a"))
    back(driver)
    since = driver.scheduler.state.endpoints["a"].gate.slow_start.started_at
    assert since is not None
    let_go(driver)
    listed(driver, make_entry("a"), after=since + 9 * SECOND_US - driver.now)
    assert driver.scheduler.state.endpoints["a"].gate.slow_start.started_at == since
    let_go(driver)
    driver.run_batch(after=LEARNED_STATE_TTL_US)
    assert not driver.scheduler.state.hibernated
    assert not driver.scheduler.state.hibernated_endpoints


def test_routes_apart_each_have_their_own() -> None:
    """Also those that are listed later than their siblings, or not before it is let go once more."""
    driver = SchedulerDriver(
        make_entry("a", kind="apart"), make_entry("b", kind="apart"), make_entry("c", kind="apart")
    )
    driver.scheduler.apply_retry_after(driver.now, "a", 50 * SECOND_US)
    driver.scheduler.state.endpoints["b"].gate.breaker.is_open = True
    until = driver.now + 50 * SECOND_US
    let_go(driver)
    listed(driver, make_entry("c", kind="apart"), after=SECOND_US)
    assert driver.scheduler.is_blocked(driver.now, "a")
    assert not driver.scheduler.is_blocked(driver.now, "c")
    listed(driver, make_entry("b", kind="apart"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].gate.breaker.is_open
    assert not driver.scheduler.state.endpoints["c"].gate.breaker.is_open
    let_go(driver)
    listed(driver, *(make_entry(name, kind="apart") for name in "abc"), after=SECOND_US)
    assert driver.scheduler.state.endpoints["b"].gate.breaker.is_open
    assert not driver.scheduler.state.endpoints["c"].gate.breaker.is_open
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert not driver.scheduler.state.hibernated
    assert not driver.scheduler.state.hibernated_endpoints


def test_a_learned_pace() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    for i in range(6):
        driver.submit(f"m{i}", after=10 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED)
        driver.run_batch(MessageCancelled(f"m{i}"))
    gate = driver.scheduler.state.endpoints["a"].gate
    pace, opens = gate.rate_limiter.calls_per_second, gate.next_attempt_at
    assert pace < 10
    let_go(driver)
    listed(driver, make_entry("a"))
    assert driver.scheduler.state.endpoints["a"].gate is not gate
    assert driver.scheduler.state.endpoints["a"].gate.rate_limiter.calls_per_second == pace
    driver.submit("n")
    assert first_send(driver, "n") >= opens
    sent = driver.now
    driver.end_attempt("n", AttemptStatus.OK)
    let_go(driver)
    listed(driver, make_entry("a"))
    grown = driver.scheduler.state.endpoints["a"].gate
    opens = sent + grown.rate_limiter.interval(
        grown.rate_limiter.calls_per_second, driver.scheduler.state.limits
    )
    assert pace <= grown.rate_limiter.calls_per_second <= 1.12 * pace
    assert opens > sent + SECOND_US
    driver.submit("o")
    assert first_send(driver, "o") == opens


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_all_that_is_learned_of_a_gate_is_there_again(kind: str) -> None:
    driver = SchedulerDriver(make_entry("a", kind=kind))
    gate = driver.scheduler.state.endpoints["a"].gate
    learned = GateSnapshot(
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
    fresh = asdict(GateSnapshot.capture(gate, driver.now, limits))
    different = {name for name, value in asdict(learned).items() if fresh[name] != value}
    assert different == set(fresh) - {"recent_calls"}
    learned.restore(gate)
    assert gate.breaker.is_open
    assert gate.rate_limiter.calls_per_second == 7.5
    assert gate.window.size == 0.25
    assert gate.slow_start.started_at == driver.now
    gate.slow_start.calls = [
        (driver.now - 3 * SECOND_US, 1.0),
        (driver.now - SECOND_US, 1.25),
        (driver.now - 1, 1.0),
    ]
    let_go(driver)
    listed(driver, make_entry("a", kind=kind))
    other = driver.scheduler.state.endpoints["a"].gate
    assert other is not gate
    calls = ((driver.now - SECOND_US, 1.25), (driver.now - 1, 1.0))
    assert GateSnapshot.capture(other, driver.now, limits) == replace(learned, recent_calls=calls)
    assert list(other.slow_start.recent_calls) == list(calls)


def test_an_endpoint_that_failed_last_gets_no_unsafe_message_past_a_sound_sibling() -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.submit("m")
    bad = driver.sent[-1][1].endpoint
    driver.end_attempt("m", AttemptStatus.ERROR)
    driver.run_batch(MessageCancelled("m"))
    let_go(driver, after=SECOND_US)
    listed(driver, make_entry("a"), make_entry("b"))
    assert driver.scheduler.state.endpoints[bad].consecutive_failures == 1
    for i in range(9):
        driver.submit(f"u{i}", "unsafe", after=5 * SECOND_US)
        assert driver.sent[-1][1].message_id == f"u{i}"
        assert driver.sent[-1][1].endpoint != bad
        driver.end_attempt(f"u{i}", AttemptStatus.OK)


def test_what_an_operator_took_out_and_brought_back_meanwhile_is_cold() -> None:
    for while_let_go in ([EndpointDisabled("a"), EndpointEnabled("a")], [EndpointEnabled("a")]):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        if len(while_let_go) == 1:
            driver.run_batch(EndpointDisabled("a"))
            let_go(driver)
            driver.run_batch(after=30 * 24 * 3600 * SECOND_US)  # out for a month
        else:
            let_go(driver)
        driver.run_batch(*while_let_go)
        at = driver.now
        listed(driver, make_entry("a"), after=SECOND_US)
        assert driver.scheduler.state.endpoints["a"].gate.slow_start.started_at == at
        assert driver.scheduler.state.endpoints["a"].is_available


def test_taken_out_it_stays_out() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(EndpointDisabled("a"))
    let_go(driver)
    listed(driver, make_entry("a"), after=99 * SECOND_US)
    assert not sent_messages(driver.submit("m"))


def test_a_handover_carries_it() -> None:
    driver = SchedulerDriver(make_entry("a", kind="apart"), make_entry("b", 2))
    driver.scheduler.apply_retry_after(driver.now, "a", 50 * SECOND_US)
    driver.scheduler.state.endpoints["b"].gate.breaker.is_open = True
    until = driver.now + 50 * SECOND_US
    let_go(driver)
    let_go(driver, number=2)
    driver.scheduler, events = snapshot.read(
        snapshot.write(driver.scheduler, [DestinationsReleased((3,))]), seed=1
    )
    assert events == [DestinationsReleased((3,))]
    assert driver.scheduler.is_blocked(until - 1, "a")
    driver.run_batch(after=20 * SECOND_US)
    listed(driver, make_entry("a", kind="apart"), make_entry("b", 2))
    assert driver.scheduler.is_blocked(until - 1, "a")
    assert not driver.scheduler.is_blocked(until, "a")
    assert driver.scheduler.state.endpoints["b"].gate.breaker.is_open


# What it costs


def test_what_binds_no_longer_is_dropped() -> None:
    driver = SchedulerDriver(
        make_entry("sound", 1), make_entry("told", 2), make_entry("refused", 3), make_entry("down", 4)
    )
    driver.run_successful_calls()
    driver.scheduler.apply_retry_after(driver.now, "told", 60 * SECOND_US)
    driver.submit("m", destination=3)
    driver.end_attempt("m", AttemptStatus.REJECTED)
    driver.run_batch(MessageCancelled("m"))
    driver.scheduler.state.endpoints["down"].gate.breaker.is_open = True
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


def test_a_turn_costs_the_same_however_many_are_dormant() -> None:
    costs = []
    for size in (100, 20_000):
        module = Scheduler(1, SETTINGS)
        entries = tuple(make_entry(f"h{i}", i) for i in range(size))
        module.handle_batch(
            START,
            [
                EndpointListReceived(
                    EndpointListKind.FULL, (*entries, make_entry("x", -1), make_entry("y", -2))
                )
            ],
        )
        for endpoint in module.state.endpoints.values():
            endpoint.gate.breaker.is_open = True
        module.handle_batch(START, [DestinationsReleased(tuple(range(size)))])
        module.handle_batch(START + 60 * SECOND_US, [TimerFired(0)])
        assert len(module.state.hibernated) == size
        module.state.hibernated, module.state.hibernated_endpoints = (
            Walked(module.state.hibernated),
            Walked(module.state.hibernated_endpoints),
        )
        batches: list[list[Event]] = [
            [DestinationsReleased((-1,))],
            [EndpointListReceived(EndpointListKind.DELTA, (make_entry("h7", 7),))],
            [TimerFired(0)],
            [MessageSubmitted("m", -2, "safe", None, SECOND_US, None)],
        ]
        costs.append(
            [steps(partial(module.handle_batch, START + 61 * SECOND_US, batch)) for batch in batches]
        )
        assert module.state.hibernated.walked == 0
        assert module.state.hibernated_endpoints.walked == 0
    assert all(0 < many <= 1.5 * few for few, many in zip(*costs, strict=True))


def test_what_a_dormant_one_takes_of_memory() -> None:
    """At the most, in an outage with a told wait and an address of its own."""
    size = 2_000
    module = Scheduler(1, SETTINGS)
    module.handle_batch(
        START,
        [EndpointListReceived(EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size)))],
    )
    for number, endpoint in enumerate(module.state.endpoints.values()):
        gate = endpoint.gate
        gate.retry_after_until = START + 99 * SECOND_US + number
        gate.next_attempt_at = START + number
        gate.window.size = number / 7e6
        gate.breaker.is_open = True
        gate.breaker.consecutive_failures = 3
        gate.breaker.error_rate = number / 7e6 + 0.7
        gate.breaker.failed_at = START + 9 + number
        gate.breaker.failing_since = START - number
        gate.rate_limiter.last_call_at = START - 2 * number
        gate.rate_limiter.calls_per_second = number / 9e3 + 1.1
        gate.rate_limiter.failure_rate_after_failure = number / 9e4
        gate.rate_limiter.jitter = number / 8e4 + 1.1
    gc.collect()
    tracemalloc.start()
    try:
        module.handle_batch(START, [DestinationsReleased(tuple(range(size)))])
        module.handle_batch(START + 60 * SECOND_US, [TimerFired(0)])
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] / size
    finally:
        tracemalloc.stop()
    assert len(module.state.hibernated) == size
    print(f"{held:.0f} bytes for each")
    assert 100 < held < 1_000


# Random plays


class Even(random.Random):
    """Draws the same whatever was drawn before."""

    def __init__(self) -> None:
        self.at = 0.5

    def random(self) -> float:
        return self.at

    def uniform(self, a: float, b: float) -> float:
        return a + (b - a) * self.at

    def expovariate(self, lambd: float = 1.0) -> float:
        return 1.0


class Judge(Scheduler):
    """Kept all destinations. It sends what the other one sends, and allows it, or fails."""

    def __init__(self, seed: int, settings: RelaySettings) -> None:
        super().__init__(seed, settings)
        self.theirs: Sequence[SendAttempt] = ()

    def _dispatch(self) -> None:
        for send in self.theirs:
            message, endpoint = self.state.messages[send.message_id], self.state.endpoints[send.endpoint]
            assert may_attempt(self.state, message, endpoint) and is_next(self.state, message), send
            opens = next_call_at(self.state, endpoint.gate, endpoint.destination)
            assert opens <= self.state.now, (send, opens - self.state.now, endpoint.gate)
            send_call(self.state, message, endpoint)


HOSTS = [
    make_entry("a"),
    make_entry("b", zone="there"),
    make_entry("c", 2, kind="apart"),
    make_entry("d", 2, "there", kind="apart"),
]
BAD = [
    AttemptStatus.REJECTED,
    AttemptStatus.ERROR,
    AttemptStatus.CONNECT_FAILED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.MALFORMED_RESPONSE,
]
STEP = st.tuples(
    st.sampled_from(["submit"] * 4 + ["answer"] * 4 + ["let go"] * 2 + ["list", "list some", "told", "pass"]),
    st.integers(0, 99),
    st.sampled_from(
        [0, 5 * MILLISECOND_US, 100 * MILLISECOND_US, 700 * MILLISECOND_US, 3 * SECOND_US, 11 * SECOND_US]
    ),
    st.sampled_from([AttemptStatus.OK] * 5 + BAD * 2),
)


class Play:
    """A module whose idle destinations are let go and listed again, before the judge."""

    def __init__(self, instances: int) -> None:
        told = replace(SETTINGS, relay_count=instances, max_open_messages=10_000, max_attempts=3)
        self.module, self.judge = Scheduler(1, told), Judge(1, told)
        self.draw = Even()
        self.module.state.random = self.judge.state.random = self.draw
        self.now, self.wake, self.number, self.returns, self.calls = START, START, 0, 0, 0
        self.out: dict[str, SendAttempt] = {}
        self.away: dict[str, EndpointEntry] = {}  # hosts of destinations that were let go
        everything = EndpointListReceived(EndpointListKind.FULL, tuple(HOSTS))
        self.feed([everything], [everything])

    def feed(self, events: list[Event], kept: list[Event] | None = None) -> None:
        actions = self.module.handle_batch(self.now, events)
        self.judge.theirs = [a for a in actions if isinstance(a, SendAttempt)]
        for action in actions:
            if isinstance(action, SetTimer):
                self.wake = self.now + action.delay
        self.judge.handle_batch(self.now, events if kept is None else kept)
        self.out |= {send.message_id: send for send in self.judge.theirs}
        self.calls += len(self.judge.theirs)
        # What ends in one ends in the other: it is the gates that are compared.
        ended = self.judge.state.messages.keys() ^ self.module.state.messages.keys()
        for name in ended:
            for module in (self.judge, self.module):
                if (message := module.state.messages.get(name)) is not None and message.call is None:
                    lifecycle.finish(module.state, message, None)

    def known(self, host: str) -> bool:
        """Listed, or let go not long ago."""
        return host in self.module.state.endpoints or host in self.module.state.hibernated_endpoints

    def pass_time(self, delay: int) -> None:
        end = self.now + delay
        while self.now < self.wake <= end:
            self.now = self.wake
            self.feed([TimerFired(0)])
        self.now = end

    def step(self, what: str, pick: int, delay: int, result: AttemptStatus) -> None:
        self.pass_time(delay)
        self.draw.at = pick / 100
        number = 1 + pick % 2
        match what:
            case "submit":
                names = [f"m{self.number + i}" for i in range(1 + pick % 4)]
                self.number += len(names)
                self.feed([MessageSubmitted(n, number, "safe", None, 7 * SECOND_US, None) for n in names])
            case "answer" if self.out:
                name = sorted(self.out)[pick % len(self.out)]
                send = self.out.pop(name)
                wait = 1500 * MILLISECOND_US if result is AttemptStatus.REJECTED and pick % 3 else 0
                over = result is AttemptStatus.OK
                heard = AttemptEnded(
                    name, 0, send.endpoint, result, 5 * MILLISECOND_US, over, wait, None, None, 0
                )
                self.feed([heard, *([] if over or pick % 4 else [MessageCancelled(name)])])
            case "let go":
                idle = self.module.is_idle(self.now, number)
                assert idle == self.judge.is_idle(self.now, number)
                self.feed([DestinationsReleased((number,))], [])
                if idle:
                    self.away |= {e.endpoint: e for e in HOSTS if e.destination == number}
                    assert number not in self.module.state.destinations
            case "list" | "list some" if self.away:
                # Routes apart come together: a route's part of the demand goes by those that are listed.
                some = sorted(self.away)[: None if what == "list" else 1 + pick % 2]
                if {"c", "d"} & set(some):
                    some = sorted({*some, "c", "d"})
                back = tuple(self.away.pop(name) for name in some)
                self.returns += len(back)
                self.feed([EndpointListReceived(EndpointListKind.DELTA, back)], [])
            case "told":
                host = HOSTS[pick % len(HOSTS)].endpoint
                if not self.known(host):
                    return  # nothing was out for so long that it can tell none
                for module in (self.module, self.judge):
                    module.apply_retry_after(self.now, host, 2 * SECOND_US)
                self.feed([])
        for name in filter(self.known, (host.endpoint for host in HOSTS)):
            assert self.module.is_blocked(self.now, name) == self.judge.is_blocked(self.now, name), name


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(st.lists(STEP, max_size=50), st.sampled_from([2, 60]))
def test_no_call_goes_out_that_one_kept_would_forbid(
    plan: list[tuple[str, int, int, AttemptStatus]], relays: int
) -> None:
    """Told waits, pauses, paces, outages, cold returns: all gates. Calls take the same time, so that no
    window narrows for slow ones: what was usual is not kept."""
    play = Play(relays)
    for step in plan:
        play.step(*step)


OFTEN = [*["submit"] * 3, *["answer"] * 12, *["let go"] * 6, *["list"] * 4, "list some", "told"]


@pytest.mark.parametrize("relays", [2, 60])
def test_long_plays(relays: int) -> None:
    """Weather by the minute: all is well, refusals, or nothing answers."""
    returns = calls = outages = 0
    for seed in range(12):
        draw, play = random.Random(seed), Play(relays)
        for i in range(600):
            weather = [
                AttemptStatus.OK,
                AttemptStatus.REJECTED,
                AttemptStatus.CONNECT_FAILED,
                AttemptStatus.OK,
                AttemptStatus.ERROR,
            ][i // 40 % 5]
            result = weather if draw.random() < 0.9 else draw.choice([AttemptStatus.OK, *BAD])
            delay = draw.choice(
                [
                    0,
                    5 * MILLISECOND_US,
                    20 * MILLISECOND_US,
                    100 * MILLISECOND_US,
                    700 * MILLISECOND_US,
                    2 * SECOND_US,
                ]
            )
            play.step(draw.choice(OFTEN), draw.randrange(100), delay, result)
            dormant = [kept.gate for kept in play.module.state.hibernated.values()]
            outages += any(gate is not None and gate.is_open for gate in dormant)
        returns, calls = returns + play.returns, calls + play.calls
    assert returns > 500 and calls > 1_000 and outages > 100, (returns, calls, outages)
