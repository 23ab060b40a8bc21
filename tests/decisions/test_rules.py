"""The six rules, each by scripted events; every test fails when its guard is taken out of the module."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loftrelay.decisions.actions import CloseIdleConnections, FailMessage, RejectMessage
from loftrelay.decisions.demand import demand_rate
from loftrelay.decisions.events import (
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    FinalStatusReported,
    MessageCancelled,
    MessageSubmitted,
    OutcomeDisputed,
    TimerFired,
)
from tests.decisions.world import CLASSES, MS, Driver, S, ends, entry, sends

PROVEN = {AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT}
FAILURES = [r for r in AttemptStatus if r is not AttemptStatus.OK]


@pytest.mark.parametrize("result", FAILURES)
@pytest.mark.parametrize("of", ["safe", "keyed", "zoned", "unsafe", "odd"])
def test_retry_by_outcome_and_effect(result: AttemptStatus, of: str) -> None:
    d = Driver(entry("a"))
    d.warm()
    d.submit("m", of)
    actions = d.outcome("m", result)
    if of in ("unsafe", "odd") and result not in PROVEN:
        assert ends(actions) == [(FailMessage, "m")]
        d.run(30 * S)
        assert [s.message_id for _, s in d.sent].count("m") == 1
    else:
        assert not ends(actions)
        seen = sends(actions)
        while "m" not in seen and d.wake is not None:
            seen = sends(d.run(30 * S))
        assert "m" in seen


@pytest.mark.parametrize("result", FAILURES)
@pytest.mark.parametrize("of", ["safe", "keyed", "zoned", "unsafe", "odd"])
def test_refusal_at_the_cap_by_outcome_and_effect(result: AttemptStatus, of: str) -> None:
    d = Driver(entry("a"), max_attempts=1)
    d.submit("m", of)
    harmless = of in ("safe", "keyed") or result in PROVEN
    assert ends(d.outcome("m", result)) == [(RejectMessage if harmless else FailMessage, "m")]


def test_keyed_is_never_resent_after_its_window() -> None:
    d = Driver(entry("a"))
    d.warm()
    d.submit("m", "keyed")
    first = d.now
    while not ends(actions := d.outcome("m", AttemptStatus.TIMEOUT, after=S)):
        while not sends(actions := d.run(30 * S)) and not ends(actions):
            pass
        if ends(actions):
            break
        assert d.now < first + 5 * S
    assert ends(actions) == [(FailMessage, "m")]
    assert len([s for _, s in d.sent if s.message_id == "m"]) > 1


def test_zone_keyed_stays_in_its_zone() -> None:
    d = Driver(entry("a", zone="here"), entry("b", zone="there"))
    d.warm()
    d.submit("m", "zoned")
    zone = {"a": "here", "b": "there"}
    home = d.sent[-1][1].endpoint
    d.outcome("m", AttemptStatus.TIMEOUT, after=S)
    d.run(20 * S)
    d.feed(
        EndpointListReceived(
            EndpointListKind.DELTA, (entry(home, zone=zone[home], state=EndpointState.REMOVED),)
        )
    )
    while d.run(20 * S):
        pass
    assert {s.endpoint for _, s in d.sent if s.message_id == "m"} == {home}


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_goes_to_a_draining_endpoint(state: EndpointState) -> None:
    d = Driver(entry("a"), entry("b"))
    d.warm()
    d.feed(EndpointListReceived(EndpointListKind.DELTA, (entry("a", state=state),)))
    before = len(d.sent)
    for i in range(6):
        d.submit(f"m{i}")
        d.outcome(f"m{i}", AttemptStatus.OK)
    assert {s.endpoint for _, s in d.sent[before:]} == {"b"}


def test_a_full_list_drops_what_it_does_not_name() -> None:
    d = Driver(entry("a"))
    d.feed(EndpointListReceived(EndpointListKind.FULL, (entry("b"),)))
    d.submit("m")
    assert d.sent[-1][1].endpoint == "b"


def test_told_wait_halts_every_message_of_the_destination() -> None:
    d = Driver(entry("a"), entry("b"))
    d.warm()
    d.submit("m")
    told = d.now + 50 * MS
    # The wait and fresh messages in one batch: the wait is heeded first.
    event = d.outcome_event("m", AttemptStatus.REJECTED, wait=3 * S, after=50 * MS)
    actions = d.feed(MessageSubmitted("n", 1, "safe", None, 20 * S, None), event, after=50 * MS)
    assert not sends(actions)
    d.submit("o", after=S)
    while len(d.sent) < 8 and d.wake is not None:
        d.run(10 * S)
    assert d.sent[7][0] >= told + 3 * S


def test_told_wait_of_a_route_binds_that_route_alone() -> None:
    d = Driver(entry("a", kind="apart"), entry("b", kind="apart"))
    d.submit("m")
    first = d.sent[-1][1].endpoint
    d.outcome("m", AttemptStatus.REJECTED, wait=3 * S)
    d.submit("n")
    assert d.sent[-1][1].message_id == "n"
    assert d.sent[-1][1].endpoint != first


def test_wait_runs_from_the_last_member_of_a_bundle() -> None:
    """Found by the first check: each message of a bundle tells the wait anew, some a tick later."""
    d = Driver(entry("a", kind="bundled"))
    d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * S, None) for i in range(2)])
    d.outcome("x0", AttemptStatus.REJECTED, wait=2 * S)
    d.outcome("x1", AttemptStatus.REJECTED, wait=2 * S, after=5 * MS)
    told = d.now
    while len(d.sent) == 2 and d.wake is not None:
        d.run(10 * S)
    assert d.sent[2][0] >= told + 2 * S


def order_key(name: str, of: str = "ordered") -> MessageSubmitted:
    return MessageSubmitted(name, 1, of, None, 20 * S, "k")


def test_a_key_goes_one_at_a_time_in_order_of_arrival() -> None:
    d = Driver(entry("a"))
    d.warm()
    assert sends(d.feed(order_key("m0"), order_key("m1"), order_key("m2"))) == ["m0"]
    assert not sends(d.outcome("m0", AttemptStatus.ERROR))
    while "m0" not in sends(actions := d.run(10 * S)):
        assert not sends(actions)
    assert sends(d.outcome("m0", AttemptStatus.OK)) == ["m1"]
    assert sends(d.outcome("m1", AttemptStatus.OK)) == ["m2"]


@pytest.mark.parametrize(
    "result", [AttemptStatus.TIMEOUT, AttemptStatus.CONNECTION_LOST, AttemptStatus.CANCELLED]
)
def test_a_key_rests_after_doubt(result: AttemptStatus) -> None:
    d = Driver(entry("a"), classes={"strict": CLASSES["strict"], "safe": CLASSES["safe"]})
    d.warm()
    d.feed(order_key("m0", "strict"), order_key("m1", "strict"))
    assert not sends(d.outcome("m0", result))
    doubt = d.now
    while not sends(d.run(10 * S)):
        pass
    assert d.sent[-1][1].message_id == "m1"
    assert d.now >= doubt + 300 * MS


def test_a_key_waits_for_the_whole_call_of_a_message_out_of_time() -> None:
    d = Driver(entry("a", kind="bundled"))
    d.submit("busy")
    d.feed(
        MessageSubmitted("short", 1, "strict", None, 2 * S, "k"),
        MessageSubmitted("long", 1, "strict", None, 20 * S, "l"),
        MessageSubmitted("next", 1, "strict", None, 20 * S, "k"),
    )
    assert sends(d.outcome("busy", AttemptStatus.OK)) == ["short", "long"]
    assert ends(d.outcome("short", AttemptStatus.TIMEOUT, after=2 * S)) == [(FailMessage, "short")]
    d.run(S)
    assert [s.message_id for _, s in d.sent[-2:]] == ["short", "long"]
    assert sends(d.outcome("long", AttemptStatus.OK)) == []
    assert sends(d.run(S)) == ["next"]
    assert d.now >= d.sent[-3][0] + 3 * S


def test_a_withdrawn_message_still_blocks_its_key_until_its_outcome() -> None:
    d = Driver(entry("a"))
    d.warm()
    d.feed(order_key("m0"), order_key("m1"))
    assert not sends(d.feed(MessageCancelled("m0")))
    assert sends(d.outcome("m0", AttemptStatus.OK, over=True)) == ["m1"]


def test_held_waiting_and_flying_messages_all_end_in_time() -> None:
    d = Driver(entry("a"))
    d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 4 * S, None) for i in range(3)])
    flying = d.sent[0][1]
    assert flying.timeout <= 4 * S
    d.submit("lost", destination=9, time_remaining=2 * S)  # no list has named its destination
    answered: dict[str, int] = {}
    due = d.now + 4 * S
    while d.wake is not None and d.now < due:
        if d.wake >= due - MS:
            break
        for _, name in ends(d.run(4 * S)):
            answered[name] = d.now
    d.feed(
        replace(d.outcome_event(flying.message_id, AttemptStatus.TIMEOUT), is_final=False),
        after=max(0, due - d.now),
    )
    finished = [n for _, n in ends(d.log)]
    assert sorted(finished) == ["lost", "x0", "x1", "x2"]
    assert answered["lost"] <= due - 2 * S
    assert d.now <= due


def test_nothing_follows_an_end() -> None:
    d = Driver(entry("a"))
    d.submit("m")
    d.feed(MessageCancelled("m"))
    actions = d.outcome("m", AttemptStatus.ERROR)
    assert not sends(actions)
    assert not ends(actions)
    assert not d.run(60 * S)
    assert "m" not in d.brain.state.messages
    assert not d.feed(MessageCancelled("m"), TimerFired(3))


def outage(d: Driver, result: AttemptStatus = AttemptStatus.CONNECT_FAILED, seconds: int = 6) -> None:
    start, n = d.now, 0
    while d.now < start + seconds * S:
        if not d.brain.state.calls_in_flight:
            d.submit(f"out{n}")
            n += 1
        for name in [m for m in d.brain.state.messages if d.brain.state.messages[m].call]:
            d.outcome(name, result, after=100 * MS)
        d.run(500 * MS)


@pytest.mark.parametrize(
    "result",
    [AttemptStatus.CONNECT_FAILED, AttemptStatus.REJECTED, AttemptStatus.ERROR, AttemptStatus.TIMEOUT],
)
def test_a_returning_destination_gets_a_growing_budget(result: AttemptStatus) -> None:
    d = Driver(entry("a"))
    for i in range(40):  # ten a second, served
        d.submit(f"w{i}", after=50 * MS)
        d.outcome(f"w{i}", AttemptStatus.OK)
    destination = d.brain.state.destinations[1]
    outage(d, result, seconds=12)
    assert destination.gate.breaker.is_open
    d.feed(*[MessageSubmitted(f"b{i}", 1, "safe", None, 20 * S, None) for i in range(60)])
    back: int | None = None
    rate = demand_rate(d.brain.state, destination.gate, destination)
    times = []
    for _ in range(3000):
        rate = max(rate, demand_rate(d.brain.state, destination.gate, destination))
        for name in [m for m in d.brain.state.messages if d.brain.state.messages[m].call]:
            d.outcome(name, AttemptStatus.OK, after=5 * MS)
            back = back or d.now
        d.feed(after=5 * MS)
        if back:
            times = [t for t, s in d.sent if t >= back]
            if d.now > back + 10 * S:
                break
    assert back is not None
    cold = [t for t in times if t <= back + 9 * S]
    assert len(cold) > 3
    for t in cold:
        burst = sum(t - 2 * S < u <= t for u in times)
        share = 0.2 + 0.8 * (t - back) / (10 * S)
        assert burst <= max(1.0, rate * 2 * 2 * share) + 1, (burst, t - back)


def test_during_an_outage_trials_are_spaced() -> None:
    d = Driver(entry("a"))
    d.warm()
    before = len(d.sent)
    outage(d, seconds=10)
    assert len(d.sent) - before <= 8


def test_a_trial_goes_with_the_message_that_has_most_time() -> None:
    d = Driver(entry("a"))
    outage(d, AttemptStatus.CONNECT_FAILED, seconds=8)
    assert d.brain.state.destinations[1].gate.breaker.is_open
    d.feed(*[MessageCancelled(name) for name in d.brain.state.messages])
    d.submit("short", time_remaining=9 * S)
    d.submit("long", time_remaining=18 * S)
    while d.sent[-1][1].message_id not in ("short", "long"):
        d.run(5 * S)
    assert d.sent[-1][1].message_id == "long"


def test_a_trial_risks_one_message_not_a_bundle() -> None:
    """Found on a hang: trial bundles spent the tries and key windows of all their messages."""
    d = Driver(entry("a", kind="bundled"))
    gate = next(iter(d.brain.state.endpoints.values())).gate
    gate.breaker.is_open, gate.window.size = True, 0.5
    assert (
        len(sends(d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * S, None) for i in range(4)]))) == 1
    )


def test_told_waits_stretch_when_refusals_repeat() -> None:
    """Found in incident i716ca5: relays that all return when told keep a counted limit empty for ever."""
    d = Driver(entry("a"))
    d.warm()
    gate, pauses = d.brain.state.destinations[1].gate, []
    for i in range(6):
        d.now = max(gate.next_attempt_at, gate.retry_after_until, d.now + 3 * S)
        if not sends(d.submit(f"m{i}")):
            assert sends(d.run(20 * S)) == [f"m{i}"]
        d.outcome(f"m{i}", AttemptStatus.REJECTED, wait=2 * S)
        pauses.append(max(gate.next_attempt_at, gate.retry_after_until) - d.now)
        d.feed(MessageCancelled(f"m{i}"))
    assert pauses[0] < 4 * S
    assert pauses[5] > 5 * S


def test_connections_that_die_while_idle_are_closed_before_use() -> None:
    """Found in incident i716ca5: calls on connections idle over half a second were reset."""
    d = Driver(entry("a"), connection_idle_timeout=60 * S)
    d.warm()
    for i in range(3):
        d.submit(f"m{i}", after=4 * S)
        d.outcome(f"m{i}", AttemptStatus.CONNECTION_LOST)
        d.run(S)
        d.outcome(f"m{i}", AttemptStatus.OK)
    d.submit("safe", after=4 * S)  # it can be repeated, so it may find out whether they still do
    assert not any(isinstance(a, CloseIdleConnections) for a in d.log)
    d.outcome("safe", AttemptStatus.OK)
    d.submit("unsafe", "unsafe", after=4 * S)
    assert CloseIdleConnections("a") in d.log
    assert d.sent[-1][1].max_connection_idle is not None
    d.outcome("unsafe", AttemptStatus.OK)
    d.log.clear()
    d.submit("quick", "unsafe", after=50 * MS)
    assert CloseIdleConnections("a") not in d.log


def test_strewn_failures_are_no_outage() -> None:
    """Found in incident i65fbf5: two lost calls in a row passed for an outage, with a cold budget after."""
    d = Driver(entry("a"))
    d.warm()
    gate = d.brain.state.destinations[1].gate
    for i in range(8):
        result = AttemptStatus.OK if i % 3 else AttemptStatus.TIMEOUT
        d.submit(f"m{i}", after=2 * S)
        d.outcome(f"m{i}", result, after=300 * MS)
        d.feed(MessageCancelled(f"m{i}"))
        assert not gate.breaker.is_open
        assert gate.slow_start.started_at is None


def test_keyed_messages_time_out_as_soon_as_safe_ones() -> None:
    """Found in incident i65fbf5: long waits for lost keyed calls held every slot."""
    timeouts = {}
    for of in ("safe", "keyed", "unsafe"):
        d = Driver(entry("a"))
        d.warm()
        d.submit("m", of)
        timeouts[of] = d.sent[-1][1].timeout
    assert timeouts["safe"] == timeouts["keyed"] < timeouts["unsafe"]


def test_a_backlog_lifts_a_low_pace() -> None:
    """Found in incident i3e0358: a pace cut to half a call a second took most of a minute to recover."""
    paces = {}
    for backlog in (0, 15):
        d = Driver(entry("a"))
        d.warm()
        gate = d.brain.state.destinations[1].gate
        d.feed(*[MessageSubmitted(f"b{i}", 1, "safe", None, 20 * S, None) for i in range(backlog)])
        gate.rate_limiter.calls_per_second = 0.5
        for i in range(5):
            d.submit(f"m{i}", after=3 * S)
            for name in [m for m in d.brain.state.messages if d.brain.state.messages[m].call]:
                d.outcome(name, AttemptStatus.OK)
        paces[backlog] = gate.rate_limiter.calls_per_second
    assert 0.5 < paces[0] < paces[15]


def test_refusals_slow_full_bundles_down() -> None:
    """The pace in calls was held against messages a second, so that each refusal of a bundle raised it."""
    d = Driver(entry("a", kind="bundled"))
    gate = d.brain.state.endpoints["a"].gate
    for i in range(6):
        d.feed(*[MessageSubmitted(f"m{i}-{k}", 1, "safe", None, 20 * S, None) for k in range(50)], after=S)
        while not d.brain.state.calls_in_flight:
            d.run(S)
        out = [m.name for m in d.brain.state.messages.values() if m.call is not None]
        d.feed(*[d.outcome_event(name, AttemptStatus.REJECTED) for name in out])
    assert gate.rate_limiter.calls_per_second < 50 / 5  # what full bundles need for so many messages


def test_time_outs_are_longer_while_slots_lie_idle() -> None:
    """Found on a quiet day: sound calls were cut at one second while most slots were free."""
    d = Driver(entry("a"))
    d.warm(8)
    d.feed(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * S, None) for i in range(6)])
    timeouts = [s.timeout for _, s in d.sent[-6:]]
    assert timeouts[0] == 2 * timeouts[5]


def test_a_wait_told_by_an_earlier_call_is_kept() -> None:
    """The told wait binds even when the refusal is too old to narrow the window again."""
    d = Driver(entry("a"))
    d.warm()
    d.submit("m0")
    d.submit("m1", after=MS)
    d.outcome("m1", AttemptStatus.REJECTED)
    d.outcome("m0", AttemptStatus.REJECTED, wait=6 * S)
    told, before = d.now, len(d.sent)
    while len(d.sent) == before and d.wake is not None:
        d.run(10 * S)
    assert d.sent[before][0] >= told + 6 * S


def test_a_doubted_refusal_ends_an_unsafe_message_at_once() -> None:
    """Its refusal was another call's answer: it may have run, so it must not go again after its wait."""
    d = Driver(entry("a"))
    d.warm()
    d.submit("m", "unsafe")
    assert not ends(d.outcome("m", AttemptStatus.REJECTED))
    assert ends(d.feed(OutcomeDisputed("m", "a", 60 * MS))) == [(FailMessage, "m")]
    d.run(30 * S)
    assert [s.message_id for _, s in d.sent].count("m") == 1


@pytest.mark.parametrize("of", ["safe", "keyed"])
def test_a_doubted_refusal_leaves_what_may_be_repeated(of: str) -> None:
    d = Driver(entry("a"))
    d.warm()
    d.submit("m", of)
    d.outcome("m", AttemptStatus.REJECTED)
    assert not ends(d.feed(OutcomeDisputed("m", "a", 60 * MS)))
    ran_at = d.brain.state.messages["m"].first_attempt_at
    assert ran_at == d.now - 60 * MS  # from where a key's window runs
    again = d.run(30 * S)
    assert sends(again) == ["m"]


def test_a_refusal_doubted_while_the_message_is_out_again_binds_what_comes_next() -> None:
    d = Driver(entry("a"))
    d.warm()
    d.submit("m", "unsafe")
    d.outcome("m", AttemptStatus.REJECTED)
    while "m" not in sends(d.run(30 * S)):
        pass
    assert not ends(d.feed(OutcomeDisputed("m", "a", S)))
    assert ends(d.outcome("m", AttemptStatus.REJECTED)) == [
        (FailMessage, "m")
    ]  # no third time, and no promise


def test_a_doubt_of_what_is_over_or_unknown_says_nothing() -> None:
    d = Driver(entry("a"))
    d.submit("m", "unsafe")
    d.outcome("m", AttemptStatus.OK)
    assert not ends(d.feed(OutcomeDisputed("m", "a", S), OutcomeDisputed("never", "a", S)))


def test_a_message_whose_destination_holds_its_time_up_is_failed_and_owed_until_noticed() -> None:
    """Trouble: it was taken to be over, its end was told to nobody, and the next of its key went at once."""
    d = Driver(entry("a"), awaits_final_status=True)
    d.warm()
    d.submit("m1", "strict", ordering_key="k")
    d.submit("m2", "strict", ordering_key="k")
    event = replace(d.outcome_event("m1", AttemptStatus.NOT_SENT, after=MS), is_expired=True)
    assert ends(d.feed(event, after=MS)) == [(FailMessage, "m1")]
    assert not sends(d.run(100 * MS))
    assert sends(d.feed(FinalStatusReported("m1"))) == ["m2"]


def test_an_attempt_that_the_relay_itself_put_off_costs_no_try_and_waits() -> None:
    """A store of record that is away for a moment would use up all tries in as many turns."""
    d = Driver(entry("a"), max_attempts=2)
    d.warm()
    d.submit("m", "unsafe")
    for _ in range(5):
        outcome = replace(d.outcome_event("m", AttemptStatus.NOT_SENT), postponed_for=S // 10)
        assert not sends(d.feed(outcome))
        assert not ends(d.log)
        d.run(S // 20)
        assert d.brain.state.messages["m"].call is None
        d.run(S // 10)
        assert d.brain.state.messages["m"].call is not None
    assert d.brain.state.messages["m"].attempts == 1
