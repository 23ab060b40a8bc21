"""Decisions of single relays at different fleet sizes: their shares add up to the total."""

from __future__ import annotations

import random

from loftrelay.decisions.actions import CloseIdleConnections
from loftrelay.decisions.events import AttemptStatus, Event, MessageCancelled, MessageSubmitted
from loftrelay.decisions.settings import Tenant
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    make_entry,
    make_message,
    sent_messages,
)


def count_calls_to_failing_destination(relays: int, seconds: int, status: AttemptStatus) -> int:
    """Counts the calls of a fleet to a destination that fails all of them.

    The relays share ten messages per second. Only calls in the second half of the run are counted.
    """
    fleet = [
        SchedulerDriver(make_entry("a"), seed=i + 1, relay_count=relays, max_concurrent_calls=3)
        for i in range(relays)
    ]
    calls, submitted = 0, 0
    in_flight: list[tuple[int, SchedulerDriver, str]] = []
    for driver in fleet:
        driver.run_successful_calls(1)
    clocks = {id(driver): driver.now for driver in fleet}
    for step in range(seconds * 10):
        now = step * 100 * MILLISECOND_US
        for number, driver in enumerate(fleet):
            at = clocks[id(driver)] + now
            events: list[Event] = []
            for due, owner, name in [call for call in in_flight if call[1] is driver]:
                if due <= now:
                    in_flight.remove((due, owner, name))
                    events.append(driver.make_attempt_ended(name, status, after=at - driver.now))
            if step % relays == number:  # one message per step, to each relay in turn
                events.append(make_message(f"m{step}", time_remaining=24 * SECOND_US))
                submitted += 1
            if events or (driver.timer_at is not None and driver.timer_at <= at):
                for name in sent_messages(driver.run_batch(*events, after=at - driver.now)):
                    in_flight.append((now + 100 * MILLISECOND_US, driver, name))
                    calls += step >= seconds * 5  # the second half, when all relays have noticed the outage
    assert submitted == seconds * 10
    return calls


def test_calls_to_failing_destination_do_not_grow_with_fleet_size() -> None:
    """Guards against a minimum rate per relay that, with 200 relays, overloads a recovering destination."""
    few = count_calls_to_failing_destination(4, 30, AttemptStatus.CONNECT_FAILED)
    many = count_calls_to_failing_destination(60, 30, AttemptStatus.CONNECT_FAILED)
    offered = 150  # in the second half
    assert few <= offered
    assert many <= 2.5 * offered


def test_relays_with_same_retry_after_return_spread_out_and_never_early() -> None:
    """Guards against a Retry-After that ends for all relays at once and exhausts the rate limit again."""
    return_delays = []
    for seed in range(30):
        driver = SchedulerDriver(make_entry("a"), seed=seed, relay_count=200)
        driver.run_successful_calls(1)
        driver.submit("m", after=60 * SECOND_US, time_remaining=60 * SECOND_US)
        driver.end_attempt("m", AttemptStatus.REJECTED, retry_after=SECOND_US)
        reported_at = driver.now
        for _ in range(20):
            if "m" in sent_messages(driver.advance_clock(20 * SECOND_US)):
                break
        assert driver.now >= reported_at + SECOND_US
        return_delays.append(driver.now - reported_at)
    assert len({delay // (500 * MILLISECOND_US) for delay in return_delays}) > 8


def test_small_quota_per_relay_counts_within_traffic_share() -> None:
    """Guards against a quota below one message per relay that put all messages over quota."""
    driver = SchedulerDriver(make_entry("a"), relay_count=200, tenants={"t": Tenant("t", 20.0, 0.1)})
    for i in range(4):  # this relay's part is a tenth of a message per second
        driver.submit(f"t{i}", after=10 * SECOND_US, tenant="t")
        assert driver.scheduler.state.messages[f"t{i}"].priority_weight == 1.0
        driver.end_attempt(f"t{i}", AttemptStatus.OK)


def test_rarely_used_connections_are_closed_after_refused_connection() -> None:
    """Guards against idle connections of hundreds of relays that leave an endpoint no room for new ones."""
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("first")
    # No connection was refused yet.
    assert CloseIdleConnections("a") not in driver.end_attempt("first", AttemptStatus.OK)
    driver.submit("refused")
    driver.end_attempt("refused", AttemptStatus.CONNECT_FAILED)
    while not sent_messages(driver.advance_clock(5 * SECOND_US)):
        pass
    assert CloseIdleConnections("a") in driver.end_attempt("refused", AttemptStatus.OK)
    for i in range(30):
        driver.submit(f"m{i}", after=100 * MILLISECOND_US)
        last = driver.end_attempt(f"m{i}", AttemptStatus.OK)
    assert CloseIdleConnections("a") not in last


def test_message_without_connection_is_retried_at_sibling_immediately() -> None:
    """Endpoints that shut down at short notice are still in the list."""
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.submit("m", "at_most_once")
    first = driver.sent[-1][1].endpoint
    assert sent_messages(driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)) == ["m"]
    assert driver.sent[-1][1].endpoint != first


def test_endpoint_choice_is_spread_over_relays() -> None:
    """Guards against relays that all overload the first listed endpoint while its siblings are idle."""
    chosen = []
    for seed in range(40):
        driver = SchedulerDriver(
            make_entry("a", kind="own_limits"), make_entry("b", kind="own_limits"), seed=seed
        )
        driver.submit("m")
        chosen.append(driver.sent[-1][1].endpoint)
    assert 8 <= chosen.count("a") <= 32


def test_random_arrivals_within_small_traffic_share_stay_within_quota() -> None:
    """Guards against room for only one or two messages: at 0.7 per second a third counted as over quota."""
    rng = random.Random(3)
    driver = SchedulerDriver(
        make_entry("a"), relay_count=40, tenants={"t": Tenant("t", 28.0, 0.09)}, max_open_messages=10_000
    )
    over_quota = 0
    for i in range(200):
        driver.run_batch(
            MessageSubmitted(f"m{i}", 1, "idempotent", "t", 20 * SECOND_US, None),
            after=int(rng.expovariate(0.6) * SECOND_US),
        )
        message = driver.scheduler.state.messages.get(f"m{i}")
        over_quota += message is not None and message.priority_weight < 1
        if message is not None:
            driver.run_batch(MessageCancelled(f"m{i}"))
    assert over_quota < 20
