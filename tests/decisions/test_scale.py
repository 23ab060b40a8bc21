"""Decisions at any fleet size: shares by a relay's own traffic add up."""

from __future__ import annotations

import random

from loftrelay.decisions.actions import CloseIdleConnections
from loftrelay.decisions.events import AttemptStatus, Event, MessageCancelled, MessageSubmitted
from loftrelay.decisions.settings import Tenant
from tests.decisions.world import MILLISECOND_US, SECOND_US, SchedulerDriver, make_entry, sent_messages


def sick_fleet(relays: int, seconds: int, result: AttemptStatus) -> int:
    """Many relays share ten messages a second to one destination that fails them all; counts late calls."""
    fleet = [
        SchedulerDriver(make_entry("a"), seed=i + 1, relay_count=relays, max_concurrent_calls=3)
        for i in range(relays)
    ]
    calls, pending = 0, 0
    flying: list[tuple[int, SchedulerDriver, str]] = []
    for driver in fleet:
        driver.run_successful_calls(1)
    clocks = {id(driver): driver.now for driver in fleet}
    for tick in range(seconds * 10):
        now = tick * 100 * MILLISECOND_US
        for number, driver in enumerate(fleet):
            at = clocks[id(driver)] + now
            events: list[Event] = []
            for due, owner, name in [f for f in flying if f[1] is driver]:
                if due <= now:
                    flying.remove((due, owner, name))
                    events.append(driver.make_attempt_ended(name, result, after=at - driver.now))
            if tick % relays == number:  # one message each tick, to one relay after the other
                events.append(MessageSubmitted(f"m{tick}", 1, "safe", None, 24 * SECOND_US, None))
                pending += 1
            if events or (driver.timer_at is not None and driver.timer_at <= at):
                for name in sent_messages(driver.run_batch(*events, after=at - driver.now)):
                    flying.append((now + 100 * MILLISECOND_US, driver, name))
                    calls += tick >= seconds * 5  # the second half, when all know of the outage
    assert pending == seconds * 10
    return calls


def test_calls_to_a_sick_destination_do_not_grow_with_the_fleet() -> None:
    """Trouble: a floor for each relay times two hundred relays tips what comes back."""
    few = sick_fleet(4, 30, AttemptStatus.CONNECT_FAILED)
    many = sick_fleet(60, 30, AttemptStatus.CONNECT_FAILED)
    offered = 150  # in the second half
    assert few <= offered
    assert many <= 2.5 * offered


def test_relays_told_the_same_wait_come_back_spread_and_never_early() -> None:
    """Trouble: a told wait ends for all relays at one instant, and the limit is empty again at once."""
    backs = []
    for seed in range(30):
        driver = SchedulerDriver(make_entry("a"), seed=seed, relay_count=200)
        driver.run_successful_calls(1)
        driver.submit("m", after=60 * SECOND_US, time_remaining=60 * SECOND_US)
        driver.end_attempt("m", AttemptStatus.REJECTED, retry_after=SECOND_US)
        told = driver.now
        for _ in range(20):
            if "m" in sent_messages(driver.advance_clock(20 * SECOND_US)):
                break
        assert driver.now >= told + SECOND_US
        backs.append(driver.now - told)
    assert len({back // (500 * MILLISECOND_US) for back in backs}) > 8


def test_a_small_allowance_counts_inside_its_share() -> None:
    """Trouble: an allowance below one message for each relay counted all as over-share."""
    driver = SchedulerDriver(make_entry("a"), relay_count=200, tenants={"t": Tenant("t", 20.0, 0.1)})
    for i in range(4):  # a tenth of a message a second is its part
        driver.submit(f"t{i}", after=10 * SECOND_US, tenant="t")
        assert driver.scheduler.state.messages[f"t{i}"].priority_weight == 1.0
        driver.end_attempt(f"t{i}", AttemptStatus.OK)


def test_rarely_used_connections_are_closed_and_busy_ones_kept() -> None:
    """Trouble: idle connections of hundreds of relays filled a partner's table, and nobody could connect."""
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("first")
    assert CloseIdleConnections("a") not in driver.end_attempt(
        "first", AttemptStatus.OK
    )  # nobody was refused a connection
    driver.submit("refused")
    driver.end_attempt("refused", AttemptStatus.CONNECT_FAILED)
    while not sent_messages(driver.advance_clock(5 * SECOND_US)):
        pass
    assert CloseIdleConnections("a") in driver.end_attempt("refused", AttemptStatus.OK)
    for i in range(30):
        driver.submit(f"m{i}", after=100 * MILLISECOND_US)
        last = driver.end_attempt(f"m{i}", AttemptStatus.OK)
    assert CloseIdleConnections("a") not in last


def test_no_connection_goes_to_a_sibling_at_once() -> None:
    """Trouble: endpoints that go at short notice are still in the list."""
    driver = SchedulerDriver(make_entry("a"), make_entry("b"))
    driver.submit("m", "unsafe")
    first = driver.sent[-1][1].endpoint
    assert sent_messages(driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)) == ["m"]
    assert driver.sent[-1][1].endpoint != first


def test_choice_of_an_endpoint_is_spread_over_relays() -> None:
    """Trouble: relays that all took the first listed endpoint flooded it while its siblings were idle."""
    chosen = []
    for seed in range(40):
        driver = SchedulerDriver(make_entry("a", kind="apart"), make_entry("b", kind="apart"), seed=seed)
        driver.submit("m")
        chosen.append(driver.sent[-1][1].endpoint)
    assert 8 <= chosen.count("a") <= 32


def test_random_arrivals_within_a_small_tenants_share_are_not_held_to_be_over_it() -> None:
    """Trouble: a part of 0.7 messages a second with room for one or two put a third of it over its share."""
    chance = random.Random(3)
    driver = SchedulerDriver(
        make_entry("a"), relay_count=40, tenants={"t": Tenant("t", 28.0, 0.09)}, max_open_messages=10_000
    )
    over = 0
    for i in range(200):
        driver.run_batch(
            MessageSubmitted(f"m{i}", 1, "safe", "t", 20 * SECOND_US, None),
            after=int(chance.expovariate(0.6) * SECOND_US),
        )
        message = driver.scheduler.state.messages.get(f"m{i}")
        over += message is not None and message.priority_weight < 1
        if message is not None:
            driver.run_batch(MessageCancelled(f"m{i}"))
    assert over < 20
