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
from tests.decisions.world import (
    CLASSES,
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)

PROVEN = {AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT}
FAILURES = [r for r in AttemptStatus if r is not AttemptStatus.OK]


@pytest.mark.parametrize("result", FAILURES)
@pytest.mark.parametrize("of", ["safe", "keyed", "zoned", "unsafe", "odd"])
def test_retry_by_outcome_and_effect(result: AttemptStatus, of: str) -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", of)
    actions = driver.end_attempt("m", result)
    if of in ("unsafe", "odd") and result not in PROVEN:
        assert ended_messages(actions) == [(FailMessage, "m")]
        driver.advance_clock(30 * SECOND_US)
        assert [s.message_id for _, s in driver.sent].count("m") == 1
    else:
        assert not ended_messages(actions)
        seen = sent_messages(actions)
        while "m" not in seen and driver.timer_at is not None:
            seen = sent_messages(driver.advance_clock(30 * SECOND_US))
        assert "m" in seen


@pytest.mark.parametrize("result", FAILURES)
@pytest.mark.parametrize("of", ["safe", "keyed", "zoned", "unsafe", "odd"])
def test_refusal_at_the_cap_by_outcome_and_effect(result: AttemptStatus, of: str) -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=1)
    driver.submit("m", of)
    harmless = of in ("safe", "keyed") or result in PROVEN
    assert ended_messages(driver.end_attempt("m", result)) == [
        (RejectMessage if harmless else FailMessage, "m")
    ]


def test_keyed_is_never_resent_after_its_window() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "keyed")
    first = driver.now
    while not ended_messages(actions := driver.end_attempt("m", AttemptStatus.TIMEOUT, after=SECOND_US)):
        while not sent_messages(actions := driver.advance_clock(30 * SECOND_US)) and not ended_messages(
            actions
        ):
            pass
        if ended_messages(actions):
            break
        assert driver.now < first + 5 * SECOND_US
    assert ended_messages(actions) == [(FailMessage, "m")]
    assert len([s for _, s in driver.sent if s.message_id == "m"]) > 1


def test_zone_keyed_stays_in_its_zone() -> None:
    driver = SchedulerDriver(make_entry("a", zone="here"), make_entry("b", zone="there"))
    driver.run_successful_calls()
    driver.submit("m", "zoned")
    zone = {"a": "here", "b": "there"}
    home = driver.sent[-1][1].endpoint
    driver.end_attempt("m", AttemptStatus.TIMEOUT, after=SECOND_US)
    driver.advance_clock(20 * SECOND_US)
    driver.run_batch(
        EndpointListReceived(
            EndpointListKind.DELTA, (make_entry(home, zone=zone[home], state=EndpointState.REMOVED),)
        )
    )
    while driver.advance_clock(20 * SECOND_US):
        pass
    assert {s.endpoint for _, s in driver.sent if s.message_id == "m"} == {home}


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_goes_to_a_draining_endpoint(state: EndpointState) -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", state=state),)))
    before = len(driver.sent)
    for i in range(6):
        driver.submit(f"m{i}")
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    assert {s.endpoint for _, s in driver.sent[before:]} == {"b"}


def test_a_full_list_drops_what_it_does_not_name() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("b"),)))
    driver.submit("m")
    assert driver.sent[-1][1].endpoint == "b"


def test_told_wait_halts_every_message_of_the_destination() -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.submit("m")
    told = driver.now + 50 * MILLISECOND_US
    # The wait and fresh messages in one batch: the wait is heeded first.
    event = driver.make_attempt_ended(
        "m", AttemptStatus.REJECTED, retry_after=3 * SECOND_US, after=50 * MILLISECOND_US
    )
    actions = driver.run_batch(
        MessageSubmitted("n", 1, "safe", None, 20 * SECOND_US, None), event, after=50 * MILLISECOND_US
    )
    assert not sent_messages(actions)
    driver.submit("o", after=SECOND_US)
    while len(driver.sent) < 8 and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[7][0] >= told + 3 * SECOND_US


def test_told_wait_of_a_route_binds_that_route_alone() -> None:
    driver = SchedulerDriver(make_entry("a", kind="apart"), make_entry("b", kind="apart"))
    driver.submit("m")
    first = driver.sent[-1][1].endpoint
    driver.end_attempt("m", AttemptStatus.REJECTED, retry_after=3 * SECOND_US)
    driver.submit("n")
    assert driver.sent[-1][1].message_id == "n"
    assert driver.sent[-1][1].endpoint != first


def test_wait_runs_from_the_last_member_of_a_bundle() -> None:
    """Found by the first check: each message of a bundle tells the wait anew, some a tick later."""
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    driver.run_batch(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(2)])
    driver.end_attempt("x0", AttemptStatus.REJECTED, retry_after=2 * SECOND_US)
    driver.end_attempt("x1", AttemptStatus.REJECTED, retry_after=2 * SECOND_US, after=5 * MILLISECOND_US)
    told = driver.now
    while len(driver.sent) == 2 and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[2][0] >= told + 2 * SECOND_US


def order_key(name: str, of: str = "ordered") -> MessageSubmitted:
    return MessageSubmitted(name, 1, of, None, 20 * SECOND_US, "k")


def test_a_key_goes_one_at_a_time_in_order_of_arrival() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    assert sent_messages(driver.run_batch(order_key("m0"), order_key("m1"), order_key("m2"))) == ["m0"]
    assert not sent_messages(driver.end_attempt("m0", AttemptStatus.ERROR))
    while "m0" not in sent_messages(actions := driver.advance_clock(10 * SECOND_US)):
        assert not sent_messages(actions)
    assert sent_messages(driver.end_attempt("m0", AttemptStatus.OK)) == ["m1"]
    assert sent_messages(driver.end_attempt("m1", AttemptStatus.OK)) == ["m2"]


@pytest.mark.parametrize(
    "result", [AttemptStatus.TIMEOUT, AttemptStatus.CONNECTION_LOST, AttemptStatus.CANCELLED]
)
def test_a_key_rests_after_doubt(result: AttemptStatus) -> None:
    driver = SchedulerDriver(make_entry("a"), classes={"strict": CLASSES["strict"], "safe": CLASSES["safe"]})
    driver.run_successful_calls()
    driver.run_batch(order_key("m0", "strict"), order_key("m1", "strict"))
    assert not sent_messages(driver.end_attempt("m0", result))
    doubt = driver.now
    while not sent_messages(driver.advance_clock(10 * SECOND_US)):
        pass
    assert driver.sent[-1][1].message_id == "m1"
    assert driver.now >= doubt + 300 * MILLISECOND_US


def test_a_key_waits_for_the_whole_call_of_a_message_out_of_time() -> None:
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    driver.submit("busy")
    driver.run_batch(
        MessageSubmitted("short", 1, "strict", None, 2 * SECOND_US, "k"),
        MessageSubmitted("long", 1, "strict", None, 20 * SECOND_US, "l"),
        MessageSubmitted("next", 1, "strict", None, 20 * SECOND_US, "k"),
    )
    assert sent_messages(driver.end_attempt("busy", AttemptStatus.OK)) == ["short", "long"]
    assert ended_messages(driver.end_attempt("short", AttemptStatus.TIMEOUT, after=2 * SECOND_US)) == [
        (FailMessage, "short")
    ]
    driver.advance_clock(SECOND_US)
    assert [s.message_id for _, s in driver.sent[-2:]] == ["short", "long"]
    assert sent_messages(driver.end_attempt("long", AttemptStatus.OK)) == []
    assert sent_messages(driver.advance_clock(SECOND_US)) == ["next"]
    assert driver.now >= driver.sent[-3][0] + 3 * SECOND_US


def test_a_withdrawn_message_still_blocks_its_key_until_its_outcome() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.run_batch(order_key("m0"), order_key("m1"))
    assert not sent_messages(driver.run_batch(MessageCancelled("m0")))
    assert sent_messages(driver.end_attempt("m0", AttemptStatus.OK, is_final=True)) == ["m1"]


def test_held_waiting_and_flying_messages_all_end_in_time() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(*[MessageSubmitted(f"x{i}", 1, "safe", None, 4 * SECOND_US, None) for i in range(3)])
    flying = driver.sent[0][1]
    assert flying.timeout <= 4 * SECOND_US
    driver.submit("lost", destination=9, time_remaining=2 * SECOND_US)  # no list has named its destination
    answered: dict[str, int] = {}
    due = driver.now + 4 * SECOND_US
    while driver.timer_at is not None and driver.now < due:
        if driver.timer_at >= due - MILLISECOND_US:
            break
        for _, name in ended_messages(driver.advance_clock(4 * SECOND_US)):
            answered[name] = driver.now
    driver.run_batch(
        replace(driver.make_attempt_ended(flying.message_id, AttemptStatus.TIMEOUT), is_final=False),
        after=max(0, due - driver.now),
    )
    finished = [n for _, n in ended_messages(driver.actions)]
    assert sorted(finished) == ["lost", "x0", "x1", "x2"]
    assert answered["lost"] <= due - 2 * SECOND_US
    assert driver.now <= due


def test_nothing_follows_an_end() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m")
    driver.run_batch(MessageCancelled("m"))
    actions = driver.end_attempt("m", AttemptStatus.ERROR)
    assert not sent_messages(actions)
    assert not ended_messages(actions)
    assert not driver.advance_clock(60 * SECOND_US)
    assert "m" not in driver.scheduler.state.messages
    assert not driver.run_batch(MessageCancelled("m"), TimerFired(3))


def outage(
    driver: SchedulerDriver, result: AttemptStatus = AttemptStatus.CONNECT_FAILED, seconds: int = 6
) -> None:
    start, n = driver.now, 0
    while driver.now < start + seconds * SECOND_US:
        if not driver.scheduler.state.calls_in_flight:
            driver.submit(f"out{n}")
            n += 1
        for name in [m for m in driver.scheduler.state.messages if driver.scheduler.state.messages[m].call]:
            driver.end_attempt(name, result, after=100 * MILLISECOND_US)
        driver.advance_clock(500 * MILLISECOND_US)


@pytest.mark.parametrize(
    "result",
    [AttemptStatus.CONNECT_FAILED, AttemptStatus.REJECTED, AttemptStatus.ERROR, AttemptStatus.TIMEOUT],
)
def test_a_returning_destination_gets_a_growing_budget(result: AttemptStatus) -> None:
    driver = SchedulerDriver(make_entry("a"))
    for i in range(40):  # ten a second, served
        driver.submit(f"w{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"w{i}", AttemptStatus.OK)
    destination = driver.scheduler.state.destinations[1]
    outage(driver, result, seconds=12)
    assert destination.gate.breaker.is_open
    driver.run_batch(*[MessageSubmitted(f"b{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(60)])
    back: int | None = None
    rate = demand_rate(driver.scheduler.state, destination.gate, destination)
    times = []
    for _ in range(3000):
        rate = max(rate, demand_rate(driver.scheduler.state, destination.gate, destination))
        for name in [m for m in driver.scheduler.state.messages if driver.scheduler.state.messages[m].call]:
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
            back = back or driver.now
        driver.run_batch(after=5 * MILLISECOND_US)
        if back:
            times = [t for t, s in driver.sent if t >= back]
            if driver.now > back + 10 * SECOND_US:
                break
    assert back is not None
    cold = [t for t in times if t <= back + 9 * SECOND_US]
    assert len(cold) > 3
    for t in cold:
        burst = sum(t - 2 * SECOND_US < u <= t for u in times)
        share = 0.2 + 0.8 * (t - back) / (10 * SECOND_US)
        assert burst <= max(1.0, rate * 2 * 2 * share) + 1, (burst, t - back)


def test_during_an_outage_trials_are_spaced() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    before = len(driver.sent)
    outage(driver, seconds=10)
    assert len(driver.sent) - before <= 8


def test_a_trial_goes_with_the_message_that_has_most_time() -> None:
    driver = SchedulerDriver(make_entry("a"))
    outage(driver, AttemptStatus.CONNECT_FAILED, seconds=8)
    assert driver.scheduler.state.destinations[1].gate.breaker.is_open
    driver.run_batch(*[MessageCancelled(name) for name in driver.scheduler.state.messages])
    driver.submit("short", time_remaining=9 * SECOND_US)
    driver.submit("long", time_remaining=18 * SECOND_US)
    while driver.sent[-1][1].message_id not in ("short", "long"):
        driver.advance_clock(5 * SECOND_US)
    assert driver.sent[-1][1].message_id == "long"


def test_a_trial_risks_one_message_not_a_bundle() -> None:
    """Found on a hang: trial bundles spent the tries and key windows of all their messages."""
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    gate = next(iter(driver.scheduler.state.endpoints.values())).gate
    gate.breaker.is_open, gate.window.size = True, 0.5
    assert (
        len(
            sent_messages(
                driver.run_batch(
                    *[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(4)]
                )
            )
        )
        == 1
    )


def test_told_waits_stretch_when_refusals_repeat() -> None:
    """Found in incident i716ca5: relays that all return when told keep a counted limit empty for ever."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    gate, pauses = driver.scheduler.state.destinations[1].gate, []
    for i in range(6):
        driver.now = max(gate.next_attempt_at, gate.retry_after_until, driver.now + 3 * SECOND_US)
        if not sent_messages(driver.submit(f"m{i}")):
            assert sent_messages(driver.advance_clock(20 * SECOND_US)) == [f"m{i}"]
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED, retry_after=2 * SECOND_US)
        pauses.append(max(gate.next_attempt_at, gate.retry_after_until) - driver.now)
        driver.run_batch(MessageCancelled(f"m{i}"))
    assert pauses[0] < 4 * SECOND_US
    assert pauses[5] > 5 * SECOND_US


def test_connections_that_die_while_idle_are_closed_before_use() -> None:
    """Found in incident i716ca5: calls on connections idle over half a second were reset."""
    driver = SchedulerDriver(make_entry("a"), connection_idle_timeout=60 * SECOND_US)
    driver.run_successful_calls()
    for i in range(3):
        driver.submit(f"m{i}", after=4 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.CONNECTION_LOST)
        driver.advance_clock(SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    driver.submit("safe", after=4 * SECOND_US)  # it can be repeated, so it may find out whether they still do
    assert not any(isinstance(a, CloseIdleConnections) for a in driver.actions)
    driver.end_attempt("safe", AttemptStatus.OK)
    driver.submit("unsafe", "unsafe", after=4 * SECOND_US)
    assert CloseIdleConnections("a") in driver.actions
    assert driver.sent[-1][1].max_connection_idle is not None
    driver.end_attempt("unsafe", AttemptStatus.OK)
    driver.actions.clear()
    driver.submit("quick", "unsafe", after=50 * MILLISECOND_US)
    assert CloseIdleConnections("a") not in driver.actions


def test_strewn_failures_are_no_outage() -> None:
    """Found in incident i65fbf5: two lost calls in a row passed for an outage, with a cold budget after."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    gate = driver.scheduler.state.destinations[1].gate
    for i in range(8):
        result = AttemptStatus.OK if i % 3 else AttemptStatus.TIMEOUT
        driver.submit(f"m{i}", after=2 * SECOND_US)
        driver.end_attempt(f"m{i}", result, after=300 * MILLISECOND_US)
        driver.run_batch(MessageCancelled(f"m{i}"))
        assert not gate.breaker.is_open
        assert gate.slow_start.started_at is None


def test_keyed_messages_time_out_as_soon_as_safe_ones() -> None:
    """Found in incident i65fbf5: long waits for lost keyed calls held every slot."""
    timeouts = {}
    for of in ("safe", "keyed", "unsafe"):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        driver.submit("m", of)
        timeouts[of] = driver.sent[-1][1].timeout
    assert timeouts["safe"] == timeouts["keyed"] < timeouts["unsafe"]


def test_a_backlog_lifts_a_low_pace() -> None:
    """Found in incident i3e0358: a pace cut to half a call a second took most of a minute to recover."""
    paces = {}
    for backlog in (0, 15):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        gate = driver.scheduler.state.destinations[1].gate
        driver.run_batch(
            *[MessageSubmitted(f"b{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(backlog)]
        )
        gate.rate_limiter.calls_per_second = 0.5
        for i in range(5):
            driver.submit(f"m{i}", after=3 * SECOND_US)
            for name in [
                m for m in driver.scheduler.state.messages if driver.scheduler.state.messages[m].call
            ]:
                driver.end_attempt(name, AttemptStatus.OK)
        paces[backlog] = gate.rate_limiter.calls_per_second
    assert 0.5 < paces[0] < paces[15]


def test_refusals_slow_full_bundles_down() -> None:
    """The pace in calls was held against messages a second, so that each refusal of a bundle raised it."""
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    gate = driver.scheduler.state.endpoints["a"].gate
    for i in range(6):
        driver.run_batch(
            *[MessageSubmitted(f"m{i}-{k}", 1, "safe", None, 20 * SECOND_US, None) for k in range(50)],
            after=SECOND_US,
        )
        while not driver.scheduler.state.calls_in_flight:
            driver.advance_clock(SECOND_US)
        out = [m.name for m in driver.scheduler.state.messages.values() if m.call is not None]
        driver.run_batch(*[driver.make_attempt_ended(name, AttemptStatus.REJECTED) for name in out])
    assert gate.rate_limiter.calls_per_second < 50 / 5  # what full bundles need for so many messages


def test_time_outs_are_longer_while_slots_lie_idle() -> None:
    """Found on a quiet day: sound calls were cut at one second while most slots were free."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(8)
    driver.run_batch(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(6)])
    timeouts = [s.timeout for _, s in driver.sent[-6:]]
    assert timeouts[0] == 2 * timeouts[5]


def test_a_wait_told_by_an_earlier_call_is_kept() -> None:
    """The told wait binds even when the refusal is too old to narrow the window again."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m0")
    driver.submit("m1", after=MILLISECOND_US)
    driver.end_attempt("m1", AttemptStatus.REJECTED)
    driver.end_attempt("m0", AttemptStatus.REJECTED, retry_after=6 * SECOND_US)
    told, before = driver.now, len(driver.sent)
    while len(driver.sent) == before and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[before][0] >= told + 6 * SECOND_US


def test_a_doubted_refusal_ends_an_unsafe_message_at_once() -> None:
    """Its refusal was another call's answer: it may have run, so it must not go again after its wait."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "unsafe")
    assert not ended_messages(driver.end_attempt("m", AttemptStatus.REJECTED))
    assert ended_messages(driver.run_batch(OutcomeDisputed("m", "a", 60 * MILLISECOND_US))) == [
        (FailMessage, "m")
    ]
    driver.advance_clock(30 * SECOND_US)
    assert [s.message_id for _, s in driver.sent].count("m") == 1


@pytest.mark.parametrize("of", ["safe", "keyed"])
def test_a_doubted_refusal_leaves_what_may_be_repeated(of: str) -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", of)
    driver.end_attempt("m", AttemptStatus.REJECTED)
    assert not ended_messages(driver.run_batch(OutcomeDisputed("m", "a", 60 * MILLISECOND_US)))
    ran_at = driver.scheduler.state.messages["m"].first_attempt_at
    assert ran_at == driver.now - 60 * MILLISECOND_US  # from where a key's window runs
    again = driver.advance_clock(30 * SECOND_US)
    assert sent_messages(again) == ["m"]


def test_a_refusal_doubted_while_the_message_is_out_again_binds_what_comes_next() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "unsafe")
    driver.end_attempt("m", AttemptStatus.REJECTED)
    while "m" not in sent_messages(driver.advance_clock(30 * SECOND_US)):
        pass
    assert not ended_messages(driver.run_batch(OutcomeDisputed("m", "a", SECOND_US)))
    assert ended_messages(driver.end_attempt("m", AttemptStatus.REJECTED)) == [
        (FailMessage, "m")
    ]  # no third time, and no promise


def test_a_doubt_of_what_is_over_or_unknown_says_nothing() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m", "unsafe")
    driver.end_attempt("m", AttemptStatus.OK)
    assert not ended_messages(
        driver.run_batch(OutcomeDisputed("m", "a", SECOND_US), OutcomeDisputed("never", "a", SECOND_US))
    )


def test_a_message_whose_destination_holds_its_time_up_is_failed_and_owed_until_noticed() -> None:
    """Trouble: it was taken to be over, its end was told to nobody, and the next of its key went at once."""
    driver = SchedulerDriver(make_entry("a"), awaits_final_status=True)
    driver.run_successful_calls()
    driver.submit("m1", "strict", ordering_key="k")
    driver.submit("m2", "strict", ordering_key="k")
    event = replace(
        driver.make_attempt_ended("m1", AttemptStatus.NOT_SENT, after=MILLISECOND_US), is_expired=True
    )
    assert ended_messages(driver.run_batch(event, after=MILLISECOND_US)) == [(FailMessage, "m1")]
    assert not sent_messages(driver.advance_clock(100 * MILLISECOND_US))
    assert sent_messages(driver.run_batch(FinalStatusReported("m1"))) == ["m2"]


def test_an_attempt_that_the_relay_itself_put_off_costs_no_try_and_waits() -> None:
    """A store of record that is away for a moment would use up all tries in as many turns."""
    driver = SchedulerDriver(make_entry("a"), max_attempts=2)
    driver.run_successful_calls()
    driver.submit("m", "unsafe")
    for _ in range(5):
        outcome = replace(
            driver.make_attempt_ended("m", AttemptStatus.NOT_SENT), postponed_for=SECOND_US // 10
        )
        assert not sent_messages(driver.run_batch(outcome))
        assert not ended_messages(driver.actions)
        driver.advance_clock(SECOND_US // 20)
        assert driver.scheduler.state.messages["m"].call is None
        driver.advance_clock(SECOND_US // 10)
        assert driver.scheduler.state.messages["m"].call is not None
    assert driver.scheduler.state.messages["m"].attempts == 1
