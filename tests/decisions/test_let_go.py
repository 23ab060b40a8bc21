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
from tests.decisions.world import MS, SETTINGS, START, Driver, S, entry, sends
from tests.standins.work import Walked, steps


def let_go(d: Driver, after: int = 0, number: int = 1) -> None:
    d.feed(after=after)
    assert d.brain.is_idle(d.now, number)
    d.feed(DestinationsReleased((number,)))
    assert number not in d.brain.state.destinations
    assert number not in d.brain.state.backlog
    assert not any(e.destination.number == number for e in d.brain.state.endpoints.values())


def listed(d: Driver, *entries: EndpointEntry, after: int = 0) -> None:
    d.feed(EndpointListReceived(EndpointListKind.DELTA, entries), after=after)


def first_send(d: Driver, name: str, within: int = 60 * S) -> int:
    """When it is sent, by timers alone."""
    end = d.now + within
    while name not in [send.message_id for _, send in d.sent]:
        assert d.now < end, "never sent"
        d.run(end - d.now)
    return next(at for at, send in d.sent if send.message_id == name)


# What may be let go


def waiting(d: Driver) -> Any:
    d.brain.apply_retry_after(d.now, "a", S)
    d.submit("m")
    return lambda: (d.run(S), d.outcome("m", AttemptStatus.OK))


def out(d: Driver) -> Any:
    d.submit("m")
    return lambda: d.outcome("m", AttemptStatus.OK)


def withdrawn_while_out(d: Driver) -> Any:
    d.submit("m")
    d.feed(MessageCancelled("m"))
    return lambda: d.outcome("m", AttemptStatus.OK)


def tried_and_doubtful(d: Driver) -> Any:
    """It may have run, and where: its key there binds what may be done with it."""
    d.submit("m", "zoned")
    d.outcome("m", AttemptStatus.ERROR)
    return lambda: d.feed(MessageCancelled("m"))


def unnoticed(d: Driver) -> Any:
    d.submit("m", "strict", ordering_key="k")
    d.outcome("m", AttemptStatus.ERROR)
    assert d.log[-1] == FailMessage("m") or FailMessage("m") in d.log
    return lambda: d.feed(FinalStatusReported("m"))


def resting_key(d: Driver) -> Any:
    d.submit("m", "ordered", ordering_key="k")
    d.outcome("m", AttemptStatus.TIMEOUT)
    d.feed(MessageCancelled("m"))
    return lambda: d.feed(after=300 * MS)


def part_of_a_bundle(d: Driver) -> Any:
    d.feed(*[MessageSubmitted(name, 1, "safe", None, 20 * S, None) for name in "mn"])
    d.outcome("m", AttemptStatus.OK)
    return lambda: d.outcome("n", AttemptStatus.OK)


def recovered(d: Driver) -> Any:
    submit = MessageSubmitted("m", 1, "strict", None, 9 * S, "k")
    d.feed(MessageRecovered(submit, S, 1, S, "a", is_ended=True))
    return lambda: d.feed(FinalStatusReported("m"))


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
    d = Driver(entry("a", kind=kind), entry("x", 2), awaits_final_status=True)
    over = busy(d)
    assert not d.brain.is_idle(d.now, 1)
    assert d.brain.is_idle(d.now, 2)
    d.feed(TimerFired(0))
    before = snapshot.write(d.brain)
    assert not d.feed(DestinationsReleased((1,)))
    assert snapshot.write(d.brain) == before
    over()
    assert d.brain.is_idle(d.now, 1)
    let_go(d)


def test_one_message_more_in_the_same_batch_keeps_it() -> None:
    d = Driver(entry("a"))
    d.feed(MessageSubmitted("m", 1, "safe", None, 20 * S, None), DestinationsReleased((1,)))
    assert d.sent
    assert "a" in d.brain.state.endpoints


def test_what_is_not_known_is_idle_and_nothing_is_let_go() -> None:
    d = Driver(entry("a"))
    assert d.brain.is_idle(d.now, 77)
    d.feed(DestinationsReleased((77, -1)))
    assert not d.brain.state.hibernated
    assert set(d.brain.state.endpoints) == {"a"}


def test_a_message_for_one_that_was_let_go_waits_for_its_listing() -> None:
    d = Driver(entry("a"))
    d.warm()
    let_go(d)
    assert not sends(d.submit("m"))
    listed(d, entry("b"), after=S)
    assert d.sent[-1][1] == replace(d.sent[-1][1], message_id="m", endpoint="b")


# What binds


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_told_wait(kind: str, before: bool) -> None:
    """Told before it was let go, or heard after: it binds the hosts that it always bound, and as long."""
    d = Driver(entry("a", kind=kind), entry("b", kind=kind))
    if before:
        d.brain.apply_retry_after(d.now, "a", 5 * S)
    let_go(d)
    if not before:
        d.brain.apply_retry_after(d.now, "a", 3 * S)
        d.brain.apply_retry_after(d.now, "a", 5 * S)
        d.brain.apply_retry_after(d.now, "a", S)
    until = d.now + 5 * S
    assert d.brain.is_blocked(until - 1, "a")
    assert not d.brain.is_blocked(until, "a")
    assert d.brain.is_blocked(d.now, "b") is (kind == "plain")
    d.feed(after=2 * S)
    listed(d, entry("a", kind=kind))
    d.submit("m")
    assert first_send(d, "m") == until
    d.outcome("m", AttemptStatus.OK, after=MS)


def test_a_told_wait_binds_a_sibling_that_is_new() -> None:
    d = Driver(entry("a"))
    d.brain.apply_retry_after(d.now, "a", 5 * S)
    until = d.now + 5 * S
    let_go(d)
    listed(d, entry("other"))
    assert d.brain.is_blocked(until - 1, "other")
    d.submit("m")
    assert first_send(d, "m") == until


def test_a_wait_told_by_the_outcome_of_a_call_given_up_long_since() -> None:
    d = Driver(entry("a"))
    let_go(d)
    d.feed(AttemptEnded("m", 0, "a", AttemptStatus.REJECTED, 0, False, 4 * S, None, None))
    assert d.brain.is_blocked(d.now + 4 * S - 1, "a")
    assert not d.brain.is_blocked(d.now + 4 * S, "a")


def test_a_wait_of_a_route_binds_a_kind_that_shares_it_now_and_the_other_way_round() -> None:
    for was, now in (("apart", "plain"), ("plain", "apart")):
        d = Driver(entry("a", kind=was))
        d.brain.apply_retry_after(d.now, "a", 5 * S)
        let_go(d)
        listed(d, entry("a", kind=now))
        assert d.brain.is_blocked(d.now + 5 * S - 1, "a")


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_an_outage(kind: str) -> None:
    """However long ago: one trial, spaced, and a budget once it is back."""
    d = Driver(entry("a", kind=kind))
    d.warm()
    outage(d)
    for name in list(d.brain.state.messages):
        d.feed(MessageCancelled(name))
    assert d.brain.state.endpoints["a"].gate.breaker.is_open
    pause = d.brain.state.endpoints["a"].gate.next_attempt_at
    let_go(d)
    listed(d, entry("a", kind=kind))
    d.feed(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * S, None) for i in range(9)])
    first_send(d, next(iter(d.brain.state.messages)))
    assert d.now >= pause
    assert d.brain.state.calls_in_flight == 1
    for name in list(d.brain.state.messages):
        if d.brain.state.messages[name].call:
            d.outcome(name, AttemptStatus.CONNECT_FAILED)
        d.feed(MessageCancelled(name))
    let_go(d, after=S)
    d.feed(after=30 * 24 * 3600 * S)
    assert d.brain.state.hibernated  # an outage binds until a call succeeds
    listed(d, entry("a", kind=kind))
    assert d.brain.state.endpoints["a"].gate.breaker.is_open
    d.submit("n")
    d.outcome("n", AttemptStatus.OK)
    assert d.brain.state.endpoints["a"].gate.slow_start.started_at == d.now


def back(d: Driver) -> None:
    """Ten a second, an outage, and back."""
    for i in range(40):
        d.submit(f"w{i}", after=50 * MS)
        d.outcome(f"w{i}", AttemptStatus.OK)
    outage(d, AttemptStatus.ERROR, seconds=12)
    d.submit("back")
    while d.brain.state.endpoints["a"].gate.breaker.is_open:
        for name in [m for m in d.brain.state.messages if d.brain.state.messages[m].call]:
            d.outcome(name, AttemptStatus.OK, after=5 * MS)
        d.run(S)
    for name in list(d.brain.state.messages):
        if d.brain.state.messages[name].call:
            d.outcome(name, AttemptStatus.OK, after=5 * MS)
        d.feed(MessageCancelled(name))


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_cold_window_counts_what_it_has_had(kind: str) -> None:
    """No more calls in a window of two seconds than the budget allows, over all the times it is let go."""
    d = Driver(entry("a", kind=kind))
    back(d)
    since = d.brain.state.endpoints["a"].gate.slow_start.started_at
    assert since is not None
    destination = d.brain.state.destinations[1]
    rate = demand_rate(d.brain.state, destination.endpoints[0].gate, destination)
    for i in range(400):
        if d.brain.is_idle(d.now, 1):
            let_go(d)
            listed(d, entry("a", kind=kind))
        d.submit(f"n{i}", after=20 * MS)
        destination = d.brain.state.destinations[1]
        rate = max(rate, demand_rate(d.brain.state, destination.endpoints[0].gate, destination))
        for name in [m for m in d.brain.state.messages if d.brain.state.messages[m].call]:
            d.outcome(name, AttemptStatus.OK, after=MS)
        for name in list(d.brain.state.messages):
            d.feed(MessageCancelled(name))
    times = [at for at, _ in d.sent if at > since]
    assert len(times) > 20
    for at in times:
        if at < since + 9 * S:
            share = 0.2 + 0.8 * (at - since) / (10 * S)
            assert sum(at - 2 * S < t <= at for t in times) <= max(1.0, rate * 2 * 2 * share) + 1


def test_a_cold_return_ends_when_it_would_have_ended() -> None:
    d = Driver(entry("a"))
    back(d)
    since = d.brain.state.endpoints["a"].gate.slow_start.started_at
    assert since is not None
    let_go(d)
    listed(d, entry("a"), after=since + 9 * S - d.now)
    assert d.brain.state.endpoints["a"].gate.slow_start.started_at == since
    let_go(d)
    d.feed(after=LEARNED_STATE_TTL_US)
    assert not d.brain.state.hibernated
    assert not d.brain.state.hibernated_endpoints


def test_routes_apart_each_have_their_own() -> None:
    """Also those that are listed later than their siblings, or not before it is let go once more."""
    d = Driver(entry("a", kind="apart"), entry("b", kind="apart"), entry("c", kind="apart"))
    d.brain.apply_retry_after(d.now, "a", 50 * S)
    d.brain.state.endpoints["b"].gate.breaker.is_open = True
    until = d.now + 50 * S
    let_go(d)
    listed(d, entry("c", kind="apart"), after=S)
    assert d.brain.is_blocked(d.now, "a")
    assert not d.brain.is_blocked(d.now, "c")
    listed(d, entry("b", kind="apart"), after=S)
    assert d.brain.state.endpoints["b"].gate.breaker.is_open
    assert not d.brain.state.endpoints["c"].gate.breaker.is_open
    let_go(d)
    listed(d, *(entry(name, kind="apart") for name in "abc"), after=S)
    assert d.brain.state.endpoints["b"].gate.breaker.is_open
    assert not d.brain.state.endpoints["c"].gate.breaker.is_open
    assert d.brain.is_blocked(until - 1, "a")
    assert not d.brain.is_blocked(until, "a")
    assert not d.brain.state.hibernated
    assert not d.brain.state.hibernated_endpoints


def test_a_learned_pace() -> None:
    d = Driver(entry("a"))
    d.warm()
    for i in range(6):
        d.submit(f"m{i}", after=10 * S)
        d.outcome(f"m{i}", AttemptStatus.REJECTED)
        d.feed(MessageCancelled(f"m{i}"))
    gate = d.brain.state.endpoints["a"].gate
    pace, opens = gate.rate_limiter.calls_per_second, gate.next_attempt_at
    assert pace < 10
    let_go(d)
    listed(d, entry("a"))
    assert d.brain.state.endpoints["a"].gate is not gate
    assert d.brain.state.endpoints["a"].gate.rate_limiter.calls_per_second == pace
    d.submit("n")
    assert first_send(d, "n") >= opens
    sent = d.now
    d.outcome("n", AttemptStatus.OK)
    let_go(d)
    listed(d, entry("a"))
    grown = d.brain.state.endpoints["a"].gate
    opens = sent + grown.rate_limiter.interval(grown.rate_limiter.calls_per_second, d.brain.state.limits)
    assert pace <= grown.rate_limiter.calls_per_second <= 1.12 * pace
    assert opens > sent + S
    d.submit("o")
    assert first_send(d, "o") == opens


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_all_that_is_learned_of_a_gate_is_there_again(kind: str) -> None:
    d = Driver(entry("a", kind=kind))
    gate = d.brain.state.endpoints["a"].gate
    learned = GateSnapshot(
        window_size=0.25,
        retry_after_until=d.now + 9 * S,
        next_attempt_at=d.now + S,
        consecutive_failures=3,
        failing_since=5,
        has_only_rejections=True,
        error_rate=0.4,
        failed_at=d.now,
        last_was_rejection=True,
        is_open=True,
        slow_start_at=d.now,
        connection_failures=2,
        calls_per_second=7.5,
        failure_rate_after_failure=0.125,
        jitter=1.5,
        last_call_at=d.now - 1,
        recent_calls=(),
    )
    limits = d.brain.state.limits
    fresh = asdict(GateSnapshot.capture(gate, d.now, limits))
    different = {name for name, value in asdict(learned).items() if fresh[name] != value}
    assert different == set(fresh) - {"recent_calls"}
    learned.restore(gate)
    assert gate.breaker.is_open
    assert gate.rate_limiter.calls_per_second == 7.5
    assert gate.window.size == 0.25
    assert gate.slow_start.started_at == d.now
    gate.slow_start.calls = [(d.now - 3 * S, 1.0), (d.now - S, 1.25), (d.now - 1, 1.0)]
    let_go(d)
    listed(d, entry("a", kind=kind))
    other = d.brain.state.endpoints["a"].gate
    assert other is not gate
    calls = ((d.now - S, 1.25), (d.now - 1, 1.0))
    assert GateSnapshot.capture(other, d.now, limits) == replace(learned, recent_calls=calls)
    assert list(other.slow_start.recent_calls) == list(calls)


def test_an_endpoint_that_failed_last_gets_no_unsafe_message_past_a_sound_sibling() -> None:
    d = Driver(entry("a"), entry("b"))
    d.warm()
    d.submit("m")
    bad = d.sent[-1][1].endpoint
    d.outcome("m", AttemptStatus.ERROR)
    d.feed(MessageCancelled("m"))
    let_go(d, after=S)
    listed(d, entry("a"), entry("b"))
    assert d.brain.state.endpoints[bad].consecutive_failures == 1
    for i in range(9):
        d.submit(f"u{i}", "unsafe", after=5 * S)
        assert d.sent[-1][1].message_id == f"u{i}"
        assert d.sent[-1][1].endpoint != bad
        d.outcome(f"u{i}", AttemptStatus.OK)


def test_what_an_operator_took_out_and_brought_back_meanwhile_is_cold() -> None:
    for while_let_go in ([EndpointDisabled("a"), EndpointEnabled("a")], [EndpointEnabled("a")]):
        d = Driver(entry("a"))
        d.warm()
        if len(while_let_go) == 1:
            d.feed(EndpointDisabled("a"))
            let_go(d)
            d.feed(after=30 * 24 * 3600 * S)  # out for a month
        else:
            let_go(d)
        d.feed(*while_let_go)
        at = d.now
        listed(d, entry("a"), after=S)
        assert d.brain.state.endpoints["a"].gate.slow_start.started_at == at
        assert d.brain.state.endpoints["a"].is_available


def test_taken_out_it_stays_out() -> None:
    d = Driver(entry("a"))
    d.feed(EndpointDisabled("a"))
    let_go(d)
    listed(d, entry("a"), after=99 * S)
    assert not sends(d.submit("m"))


def test_a_handover_carries_it() -> None:
    d = Driver(entry("a", kind="apart"), entry("b", 2))
    d.brain.apply_retry_after(d.now, "a", 50 * S)
    d.brain.state.endpoints["b"].gate.breaker.is_open = True
    until = d.now + 50 * S
    let_go(d)
    let_go(d, number=2)
    d.brain, events = snapshot.read(snapshot.write(d.brain, [DestinationsReleased((3,))]), seed=1)
    assert events == [DestinationsReleased((3,))]
    assert d.brain.is_blocked(until - 1, "a")
    d.feed(after=20 * S)
    listed(d, entry("a", kind="apart"), entry("b", 2))
    assert d.brain.is_blocked(until - 1, "a")
    assert not d.brain.is_blocked(until, "a")
    assert d.brain.state.endpoints["b"].gate.breaker.is_open


# What it costs


def test_what_binds_no_longer_is_dropped() -> None:
    d = Driver(entry("sound", 1), entry("told", 2), entry("refused", 3), entry("down", 4))
    d.warm()
    d.brain.apply_retry_after(d.now, "told", 60 * S)
    d.submit("m", destination=3)
    d.outcome("m", AttemptStatus.REJECTED)
    d.feed(MessageCancelled("m"))
    d.brain.state.endpoints["down"].gate.breaker.is_open = True
    d.feed(DestinationsReleased((1, 2, 3, 4)))
    d.feed(after=10 * S)
    assert set(d.brain.state.hibernated) == {2, 3, 4}
    d.feed(after=51 * S)
    assert set(d.brain.state.hibernated) == {3, 4}
    d.feed(after=LEARNED_STATE_TTL_US)
    assert set(d.brain.state.hibernated) == {4}
    assert d.brain.state.hibernated_endpoints == {"down": 4}
    d.feed(after=LEARNED_STATE_TTL_US)
    assert set(d.brain.state.hibernated) == {4}
    assert not d.brain.state.timers


def test_a_turn_costs_the_same_however_many_are_dormant() -> None:
    costs = []
    for size in (100, 20_000):
        module = Scheduler(1, SETTINGS)
        entries = tuple(entry(f"h{i}", i) for i in range(size))
        module.handle_batch(
            START, [EndpointListReceived(EndpointListKind.FULL, (*entries, entry("x", -1), entry("y", -2)))]
        )
        for endpoint in module.state.endpoints.values():
            endpoint.gate.breaker.is_open = True
        module.handle_batch(START, [DestinationsReleased(tuple(range(size)))])
        module.handle_batch(START + 60 * S, [TimerFired(0)])
        assert len(module.state.hibernated) == size
        module.state.hibernated, module.state.hibernated_endpoints = (
            Walked(module.state.hibernated),
            Walked(module.state.hibernated_endpoints),
        )
        batches: list[list[Event]] = [
            [DestinationsReleased((-1,))],
            [EndpointListReceived(EndpointListKind.DELTA, (entry("h7", 7),))],
            [TimerFired(0)],
            [MessageSubmitted("m", -2, "safe", None, S, None)],
        ]
        costs.append([steps(partial(module.handle_batch, START + 61 * S, batch)) for batch in batches])
        assert module.state.hibernated.walked == 0
        assert module.state.hibernated_endpoints.walked == 0
    assert all(0 < many <= 1.5 * few for few, many in zip(*costs, strict=True))


def test_what_a_dormant_one_takes_of_memory() -> None:
    """At the most, in an outage with a told wait and an address of its own."""
    size = 2_000
    module = Scheduler(1, SETTINGS)
    module.handle_batch(
        START, [EndpointListReceived(EndpointListKind.FULL, tuple(entry(f"h{i}", i) for i in range(size)))]
    )
    for number, endpoint in enumerate(module.state.endpoints.values()):
        gate = endpoint.gate
        gate.retry_after_until = START + 99 * S + number
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
        module.handle_batch(START + 60 * S, [TimerFired(0)])
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
    entry("a"),
    entry("b", zone="there"),
    entry("c", 2, kind="apart"),
    entry("d", 2, "there", kind="apart"),
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
    st.sampled_from([0, 5 * MS, 100 * MS, 700 * MS, 3 * S, 11 * S]),
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
                self.feed([MessageSubmitted(n, number, "safe", None, 7 * S, None) for n in names])
            case "answer" if self.out:
                name = sorted(self.out)[pick % len(self.out)]
                send = self.out.pop(name)
                wait = 1500 * MS if result is AttemptStatus.REJECTED and pick % 3 else 0
                over = result is AttemptStatus.OK
                heard = AttemptEnded(name, 0, send.endpoint, result, 5 * MS, over, wait, None, None, 0)
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
                    module.apply_retry_after(self.now, host, 2 * S)
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
            delay = draw.choice([0, 5 * MS, 20 * MS, 100 * MS, 700 * MS, 2 * S])
            play.step(draw.choice(OFTEN), draw.randrange(100), delay, result)
            dormant = [kept.gate for kept in play.module.state.hibernated.values()]
            outages += any(gate is not None and gate.is_open for gate in dormant)
        returns, calls = returns + play.returns, calls + play.calls
    assert returns > 500 and calls > 1_000 and outages > 100, (returns, calls, outages)
