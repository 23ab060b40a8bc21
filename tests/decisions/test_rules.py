"""Scheduler rules by scripted events: retry, routing, Retry-After, ordering, recovery, disputed outcomes.

A test here has to fail if the code of its rule is removed.
"""

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
from tests.decisions.harness import (
    CLASSES,
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    make_message,
    sent_messages,
)

NOT_RUN_STATUSES = {AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT}
FAILURES = [status for status in AttemptStatus if status is not AttemptStatus.OK]


@pytest.mark.parametrize("status", FAILURES)
@pytest.mark.parametrize(
    "class_name", ["idempotent", "deduplicated", "zone_deduplicated", "at_most_once", "unknown_semantics"]
)
def test_failed_attempt_is_retried_unless_at_most_once_message_may_have_run(
    status: AttemptStatus, class_name: str
) -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", class_name)
    actions = driver.end_attempt("m", status)
    if class_name in ("at_most_once", "unknown_semantics") and status not in NOT_RUN_STATUSES:
        assert ended_messages(actions) == [(FailMessage, "m")]
        driver.advance_clock(30 * SECOND_US)
        assert [attempt.message_id for _, attempt in driver.sent].count("m") == 1
    else:
        assert not ended_messages(actions)
        sent = sent_messages(actions)
        while "m" not in sent and driver.timer_at is not None:
            sent = sent_messages(driver.advance_clock(30 * SECOND_US))
        assert "m" in sent


@pytest.mark.parametrize("status", FAILURES)
@pytest.mark.parametrize(
    "class_name", ["idempotent", "deduplicated", "zone_deduplicated", "at_most_once", "unknown_semantics"]
)
def test_message_at_max_attempts_is_rejected_only_if_safe_to_resend(
    status: AttemptStatus, class_name: str
) -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=1)
    driver.submit("m", class_name)
    is_safe_to_resend = class_name in ("idempotent", "deduplicated") or status in NOT_RUN_STATUSES
    assert ended_messages(driver.end_attempt("m", status)) == [
        (RejectMessage if is_safe_to_resend else FailMessage, "m")
    ]


def test_deduplicated_message_is_not_retried_after_dedup_window() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "deduplicated")
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
    assert len([attempt for _, attempt in driver.sent if attempt.message_id == "m"]) > 1


def test_zone_deduplicated_message_is_retried_only_in_its_zone() -> None:
    driver = SchedulerDriver(make_entry("a", zone="here"), make_entry("b", zone="there"))
    driver.run_successful_calls()
    driver.submit("m", "zone_deduplicated")
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
    assert {attempt.endpoint for _, attempt in driver.sent if attempt.message_id == "m"} == {home}


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_or_removed_endpoint_receives_no_new_call(state: EndpointState) -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", state=state),)))
    before = len(driver.sent)
    for i in range(6):
        driver.submit(f"m{i}")
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    assert {attempt.endpoint for _, attempt in driver.sent[before:]} == {"b"}


def test_full_list_removes_endpoints_not_in_it() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("b"),)))
    driver.submit("m")
    assert driver.sent[-1][1].endpoint == "b"


def test_retry_after_blocks_all_messages_of_the_destination() -> None:
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.run_successful_calls()
    driver.submit("m")
    reported_at = driver.now + 50 * MILLISECOND_US
    # The Retry-After and a new message arrive in one batch: the Retry-After takes effect first.
    event = driver.make_attempt_ended(
        "m", AttemptStatus.REJECTED, retry_after=3 * SECOND_US, after=50 * MILLISECOND_US
    )
    actions = driver.run_batch(make_message("n"), event, after=50 * MILLISECOND_US)
    assert not sent_messages(actions)
    driver.submit("o", after=SECOND_US)
    while len(driver.sent) < 8 and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[7][0] >= reported_at + 3 * SECOND_US


def test_retry_after_of_endpoint_with_own_limits_blocks_only_that_endpoint() -> None:
    driver = SchedulerDriver(make_entry("a", kind="own_limits"), make_entry("b", kind="own_limits"))
    driver.submit("m")
    first = driver.sent[-1][1].endpoint
    driver.end_attempt("m", AttemptStatus.REJECTED, retry_after=3 * SECOND_US)
    driver.submit("n")
    assert driver.sent[-1][1].message_id == "n"
    assert driver.sent[-1][1].endpoint != first


def test_retry_after_of_batch_runs_from_its_last_outcome() -> None:
    """Each message of a batch reports the Retry-After again, some of them one batch interval later."""
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    driver.run_batch(*[make_message(f"x{i}") for i in range(2)])
    driver.end_attempt("x0", AttemptStatus.REJECTED, retry_after=2 * SECOND_US)
    driver.end_attempt("x1", AttemptStatus.REJECTED, retry_after=2 * SECOND_US, after=5 * MILLISECOND_US)
    reported_at = driver.now
    while len(driver.sent) == 2 and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[2][0] >= reported_at + 2 * SECOND_US


def make_ordered_message(name: str, class_name: str = "ordered_idempotent") -> MessageSubmitted:
    return MessageSubmitted(name, 1, class_name, None, 20 * SECOND_US, "k")


def test_ordering_key_delivers_one_message_at_a_time_in_arrival_order() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    assert sent_messages(
        driver.run_batch(make_ordered_message("m0"), make_ordered_message("m1"), make_ordered_message("m2"))
    ) == ["m0"]
    assert not sent_messages(driver.end_attempt("m0", AttemptStatus.ERROR))
    while "m0" not in sent_messages(actions := driver.advance_clock(10 * SECOND_US)):
        assert not sent_messages(actions)
    assert sent_messages(driver.end_attempt("m0", AttemptStatus.OK)) == ["m1"]
    assert sent_messages(driver.end_attempt("m1", AttemptStatus.OK)) == ["m2"]


@pytest.mark.parametrize(
    "status", [AttemptStatus.TIMEOUT, AttemptStatus.CONNECTION_LOST, AttemptStatus.CANCELLED]
)
def test_ordering_key_waits_for_cooldown_after_uncertain_outcome(status: AttemptStatus) -> None:
    driver = SchedulerDriver(
        make_entry("a"),
        classes={
            "ordered_at_most_once": CLASSES["ordered_at_most_once"],
            "idempotent": CLASSES["idempotent"],
        },
    )
    driver.run_successful_calls()
    driver.run_batch(
        make_ordered_message("m0", "ordered_at_most_once"), make_ordered_message("m1", "ordered_at_most_once")
    )
    assert not sent_messages(driver.end_attempt("m0", status))
    uncertain_at = driver.now
    while not sent_messages(driver.advance_clock(10 * SECOND_US)):
        pass
    assert driver.sent[-1][1].message_id == "m1"
    assert driver.now >= uncertain_at + 300 * MILLISECOND_US


def test_ordering_key_waits_until_batch_call_of_timed_out_message_ends() -> None:
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    driver.submit("busy")
    driver.run_batch(
        make_message("short", "ordered_at_most_once", time_remaining=2 * SECOND_US, ordering_key="k"),
        make_message("long", "ordered_at_most_once", ordering_key="l"),
        make_message("next", "ordered_at_most_once", ordering_key="k"),
    )
    assert sent_messages(driver.end_attempt("busy", AttemptStatus.OK)) == ["short", "long"]
    assert ended_messages(driver.end_attempt("short", AttemptStatus.TIMEOUT, after=2 * SECOND_US)) == [
        (FailMessage, "short")
    ]
    driver.advance_clock(SECOND_US)
    assert [attempt.message_id for _, attempt in driver.sent[-2:]] == ["short", "long"]
    assert sent_messages(driver.end_attempt("long", AttemptStatus.OK)) == []
    assert sent_messages(driver.advance_clock(SECOND_US)) == ["next"]
    assert driver.now >= driver.sent[-3][0] + 3 * SECOND_US


def test_cancelled_message_in_flight_blocks_ordering_key_until_its_outcome() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.run_batch(make_ordered_message("m0"), make_ordered_message("m1"))
    assert not sent_messages(driver.run_batch(MessageCancelled("m0")))
    assert sent_messages(driver.end_attempt("m0", AttemptStatus.OK, is_final=True)) == ["m1"]


def test_undelivered_messages_end_by_their_deadline() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_batch(*[make_message(f"x{i}", time_remaining=4 * SECOND_US) for i in range(3)])
    in_flight = driver.sent[0][1]
    assert in_flight.timeout <= 4 * SECOND_US
    driver.submit("lost", destination=9, time_remaining=2 * SECOND_US)  # its destination is in no list
    ended_at: dict[str, int] = {}
    due = driver.now + 4 * SECOND_US
    while driver.timer_at is not None and driver.now < due:
        if driver.timer_at >= due - MILLISECOND_US:
            break
        for _, name in ended_messages(driver.advance_clock(4 * SECOND_US)):
            ended_at[name] = driver.now
    driver.run_batch(
        replace(driver.make_attempt_ended(in_flight.message_id, AttemptStatus.TIMEOUT), is_final=False),
        after=max(0, due - driver.now),
    )
    ended = [n for _, n in ended_messages(driver.actions)]
    assert sorted(ended) == ["lost", "x0", "x1", "x2"]
    assert ended_at["lost"] <= due - 2 * SECOND_US
    assert driver.now <= due


def test_ended_message_causes_no_further_action() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m")
    driver.run_batch(MessageCancelled("m"))
    actions = driver.end_attempt("m", AttemptStatus.ERROR)
    assert not sent_messages(actions)
    assert not ended_messages(actions)
    assert not driver.advance_clock(60 * SECOND_US)
    assert "m" not in driver.scheduler.state.messages
    assert not driver.run_batch(MessageCancelled("m"), TimerFired(3))


def run_outage(
    driver: SchedulerDriver, status: AttemptStatus = AttemptStatus.CONNECT_FAILED, seconds: int = 6
) -> None:
    start, n = driver.now, 0
    while driver.now < start + seconds * SECOND_US:
        if not driver.scheduler.state.calls_in_flight:
            driver.submit(f"out{n}")
            n += 1
        for name in driver.messages_in_flight():
            driver.end_attempt(name, status, after=100 * MILLISECOND_US)
        driver.advance_clock(500 * MILLISECOND_US)


@pytest.mark.parametrize(
    "status",
    [AttemptStatus.CONNECT_FAILED, AttemptStatus.REJECTED, AttemptStatus.ERROR, AttemptStatus.TIMEOUT],
)
def test_recovering_destination_receives_calls_within_growing_budget(status: AttemptStatus) -> None:
    driver = SchedulerDriver(make_entry("a"))
    for i in range(40):  # ten per second, delivered
        driver.submit(f"w{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"w{i}", AttemptStatus.OK)
    destination = driver.scheduler.state.destinations[1]
    run_outage(driver, status, seconds=12)
    assert destination.call_limiter.breaker.is_open
    driver.run_batch(*[make_message(f"b{i}") for i in range(60)])
    recovered_at: int | None = None
    rate = demand_rate(driver.scheduler.state, destination.call_limiter, destination)
    times = []
    for _ in range(3000):
        rate = max(rate, demand_rate(driver.scheduler.state, destination.call_limiter, destination))
        for name in driver.messages_in_flight():
            driver.end_attempt(name, AttemptStatus.OK, after=5 * MILLISECOND_US)
            recovered_at = recovered_at or driver.now
        driver.run_batch(after=5 * MILLISECOND_US)
        if recovered_at:
            times = [t for t, s in driver.sent if t >= recovered_at]
            if driver.now > recovered_at + 10 * SECOND_US:
                break
    assert recovered_at is not None
    slow_start_times = [t for t in times if t <= recovered_at + 9 * SECOND_US]
    assert len(slow_start_times) > 3
    for t in slow_start_times:
        burst = sum(t - 2 * SECOND_US < u <= t for u in times)
        share = 0.2 + 0.8 * (t - recovered_at) / (10 * SECOND_US)
        assert burst <= max(1.0, rate * 2 * 2 * share) + 1, (burst, t - recovered_at)


def test_open_circuit_spaces_probes() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    before = len(driver.sent)
    run_outage(driver, seconds=10)
    assert len(driver.sent) - before <= 8


def test_probe_uses_message_with_latest_deadline() -> None:
    driver = SchedulerDriver(make_entry("a"))
    run_outage(driver, AttemptStatus.CONNECT_FAILED, seconds=8)
    assert driver.scheduler.state.destinations[1].call_limiter.breaker.is_open
    driver.run_batch(*[MessageCancelled(name) for name in driver.scheduler.state.messages])
    driver.submit("short", time_remaining=9 * SECOND_US)
    driver.submit("long", time_remaining=18 * SECOND_US)
    while driver.sent[-1][1].message_id not in ("short", "long"):
        driver.advance_clock(5 * SECOND_US)
    assert driver.sent[-1][1].message_id == "long"


def test_probe_of_batching_endpoint_carries_one_message() -> None:
    """Guards against probe batches that cost many messages an attempt and dedup window during a hang."""
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    limiter = next(iter(driver.scheduler.state.endpoints.values())).call_limiter
    limiter.breaker.is_open, limiter.window.size = True, 0.5
    assert len(sent_messages(driver.run_batch(*[make_message(f"x{i}") for i in range(4)]))) == 1


def test_retry_after_is_lengthened_after_repeated_rejections() -> None:
    """Incident i716ca5: relays that all return when a Retry-After ends keep a rate limit exhausted."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    limiter, pauses = driver.scheduler.state.destinations[1].call_limiter, []
    for i in range(6):
        driver.now = max(limiter.next_attempt_at, limiter.retry_after_until, driver.now + 3 * SECOND_US)
        if not sent_messages(driver.submit(f"m{i}")):
            assert sent_messages(driver.advance_clock(20 * SECOND_US)) == [f"m{i}"]
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED, retry_after=2 * SECOND_US)
        pauses.append(max(limiter.next_attempt_at, limiter.retry_after_until) - driver.now)
        driver.run_batch(MessageCancelled(f"m{i}"))
    assert pauses[0] < 4 * SECOND_US
    assert pauses[5] > 5 * SECOND_US


def test_idle_connections_that_are_often_reset_are_closed_before_at_most_once_call() -> None:
    """Incident i716ca5: calls on connections that had been idle for over half a second were reset."""
    driver = SchedulerDriver(make_entry("a"), connection_idle_timeout=60 * SECOND_US)
    driver.run_successful_calls()
    for i in range(3):
        driver.submit(f"m{i}", after=4 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.CONNECTION_LOST)
        driver.advance_clock(SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    # Repeatable, so it may test whether idle connections are still reset.
    driver.submit("idempotent", after=4 * SECOND_US)
    assert not any(isinstance(action, CloseIdleConnections) for action in driver.actions)
    driver.end_attempt("idempotent", AttemptStatus.OK)
    driver.submit("at_most_once", "at_most_once", after=4 * SECOND_US)
    assert CloseIdleConnections("a") in driver.actions
    assert driver.sent[-1][1].max_connection_idle is not None
    driver.end_attempt("at_most_once", AttemptStatus.OK)
    driver.actions.clear()
    driver.submit("quick", "at_most_once", after=50 * MILLISECOND_US)
    assert CloseIdleConnections("a") not in driver.actions


def test_scattered_failures_do_not_open_circuit() -> None:
    """Incident i65fbf5: two consecutive lost calls were taken for an outage, followed by slow start."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    limiter = driver.scheduler.state.destinations[1].call_limiter
    for i in range(8):
        status = AttemptStatus.OK if i % 3 else AttemptStatus.TIMEOUT
        driver.submit(f"m{i}", after=2 * SECOND_US)
        driver.end_attempt(f"m{i}", status, after=300 * MILLISECOND_US)
        driver.run_batch(MessageCancelled(f"m{i}"))
        assert not limiter.breaker.is_open
        assert limiter.slow_start.started_at is None


def test_deduplicated_message_has_same_timeout_as_idempotent_one() -> None:
    """Incident i65fbf5: long timeouts of lost calls with deduplicated messages occupied every slot."""
    timeouts = {}
    for class_name in ("idempotent", "deduplicated", "at_most_once"):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        driver.submit("m", class_name)
        timeouts[class_name] = driver.sent[-1][1].timeout
    assert timeouts["idempotent"] == timeouts["deduplicated"] < timeouts["at_most_once"]


def test_low_rate_limit_rises_faster_with_backlog() -> None:
    """Incident i3e0358: a rate limit lowered to 0.5 calls per second took most of a minute to recover."""
    rates = {}
    for backlog in (0, 15):
        driver = SchedulerDriver(make_entry("a"))
        driver.run_successful_calls()
        limiter = driver.scheduler.state.destinations[1].call_limiter
        driver.run_batch(*[make_message(f"b{i}") for i in range(backlog)])
        limiter.rate_limiter.calls_per_second = 0.5
        for i in range(5):
            driver.submit(f"m{i}", after=3 * SECOND_US)
            for name in driver.messages_in_flight():
                driver.end_attempt(name, AttemptStatus.OK)
        rates[backlog] = limiter.rate_limiter.calls_per_second
    assert 0.5 < rates[0] < rates[15]


def test_rejections_lower_rate_limit_of_full_batches() -> None:
    """The limit in calls per second was compared with messages per second, so a rejected batch raised it."""
    driver = SchedulerDriver(make_entry("a", kind="batching"))
    limiter = driver.scheduler.state.endpoints["a"].call_limiter
    for i in range(6):
        driver.run_batch(
            *[make_message(f"m{i}-{k}") for k in range(50)],
            after=SECOND_US,
        )
        while not driver.scheduler.state.calls_in_flight:
            driver.advance_clock(SECOND_US)
        in_flight = driver.messages_in_flight()
        driver.run_batch(*[driver.make_attempt_ended(name, AttemptStatus.REJECTED) for name in in_flight])
    # Full batches need this many calls per second for the demand.
    assert limiter.rate_limiter.calls_per_second < 50 / 5


def test_timeout_is_doubled_while_half_of_slots_are_free() -> None:
    """Guards against cutting off calls to a healthy endpoint after one second while most slots are free."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(8)
    driver.run_batch(*[make_message(f"m{i}") for i in range(6)])
    timeouts = [attempt.timeout for _, attempt in driver.sent[-6:]]
    assert timeouts[0] == 2 * timeouts[5]


def test_retry_after_of_rejection_sent_before_window_narrowed_is_applied() -> None:
    """The Retry-After applies even if the rejected call was sent before the window was last narrowed."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m0")
    driver.submit("m1", after=MILLISECOND_US)
    driver.end_attempt("m1", AttemptStatus.REJECTED)
    driver.end_attempt("m0", AttemptStatus.REJECTED, retry_after=6 * SECOND_US)
    reported_at, before = driver.now, len(driver.sent)
    while len(driver.sent) == before and driver.timer_at is not None:
        driver.advance_clock(10 * SECOND_US)
    assert driver.sent[before][0] >= reported_at + 6 * SECOND_US


def test_disputed_rejection_fails_at_most_once_message_immediately() -> None:
    """The rejection belonged to another call: the message may have run and must not be retried."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "at_most_once")
    assert not ended_messages(driver.end_attempt("m", AttemptStatus.REJECTED))
    assert ended_messages(driver.run_batch(OutcomeDisputed("m", "a", 60 * MILLISECOND_US))) == [
        (FailMessage, "m")
    ]
    driver.advance_clock(30 * SECOND_US)
    assert [attempt.message_id for _, attempt in driver.sent].count("m") == 1


@pytest.mark.parametrize("class_name", ["idempotent", "deduplicated"])
def test_disputed_rejection_keeps_repeatable_message(class_name: str) -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", class_name)
    driver.end_attempt("m", AttemptStatus.REJECTED)
    assert not ended_messages(driver.run_batch(OutcomeDisputed("m", "a", 60 * MILLISECOND_US)))
    ran_at = driver.scheduler.state.messages["m"].first_uncertain_attempt_at
    assert ran_at == driver.now - 60 * MILLISECOND_US  # start of the dedup window
    again = driver.advance_clock(30 * SECOND_US)
    assert sent_messages(again) == ["m"]


def test_rejection_disputed_during_second_attempt_prevents_third_attempt() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    driver.submit("m", "at_most_once")
    driver.end_attempt("m", AttemptStatus.REJECTED)
    while "m" not in sent_messages(driver.advance_clock(30 * SECOND_US)):
        pass
    assert not ended_messages(driver.run_batch(OutcomeDisputed("m", "a", SECOND_US)))
    # No third attempt, and no rejection.
    assert ended_messages(driver.end_attempt("m", AttemptStatus.REJECTED)) == [(FailMessage, "m")]


def test_disputed_outcome_of_ended_or_unknown_message_is_ignored() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m", "at_most_once")
    driver.end_attempt("m", AttemptStatus.OK)
    assert not ended_messages(
        driver.run_batch(OutcomeDisputed("m", "a", SECOND_US), OutcomeDisputed("never", "a", SECOND_US))
    )


def test_message_expired_at_destination_fails_and_blocks_key_until_status_reported() -> None:
    """Guards against treating it as ended without reporting: the next message of its key was sent at once."""
    driver = SchedulerDriver(make_entry("a"), awaits_final_status=True)
    driver.run_successful_calls()
    driver.submit("m1", "ordered_at_most_once", ordering_key="k")
    driver.submit("m2", "ordered_at_most_once", ordering_key="k")
    event = replace(
        driver.make_attempt_ended("m1", AttemptStatus.NOT_SENT, after=MILLISECOND_US), is_expired=True
    )
    assert ended_messages(driver.run_batch(event, after=MILLISECOND_US)) == [(FailMessage, "m1")]
    assert not sent_messages(driver.advance_clock(100 * MILLISECOND_US))
    assert sent_messages(driver.run_batch(FinalStatusReported("m1"))) == ["m2"]


def test_postponed_attempt_is_not_counted_and_is_delayed() -> None:
    """A short outage of the store of record would otherwise use up all attempts in as many batches."""
    driver = SchedulerDriver(make_entry("a"), max_attempts=2)
    driver.run_successful_calls()
    driver.submit("m", "at_most_once")
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
