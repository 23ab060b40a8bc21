"""Decisions at any fleet size: shares by a relay's own traffic add up."""

from __future__ import annotations

import random

from loftrelay.decisions.actions import CloseIdleConnections
from loftrelay.decisions.events import AttemptStatus, Event, MessageCancelled, MessageSubmitted
from loftrelay.decisions.settings import Tenant
from tests.decisions.world import MS, Driver, S, entry, sends


def sick_fleet(relays: int, seconds: int, result: AttemptStatus) -> int:
    """Many relays share ten messages a second to one destination that fails them all; counts late calls."""
    fleet = [
        Driver(entry("a"), seed=i + 1, relay_count=relays, max_concurrent_calls=3) for i in range(relays)
    ]
    calls, pending = 0, 0
    flying: list[tuple[int, Driver, str]] = []
    for d in fleet:
        d.warm(1)
    clocks = {id(d): d.now for d in fleet}
    for tick in range(seconds * 10):
        now = tick * 100 * MS
        for number, d in enumerate(fleet):
            at = clocks[id(d)] + now
            events: list[Event] = []
            for due, owner, name in [f for f in flying if f[1] is d]:
                if due <= now:
                    flying.remove((due, owner, name))
                    events.append(d.outcome_event(name, result, after=at - d.now))
            if tick % relays == number:  # one message each tick, to one relay after the other
                events.append(MessageSubmitted(f"m{tick}", 1, "safe", None, 24 * S, None))
                pending += 1
            if events or (d.wake is not None and d.wake <= at):
                for name in sends(d.feed(*events, after=at - d.now)):
                    flying.append((now + 100 * MS, d, name))
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
        d = Driver(entry("a"), seed=seed, relay_count=200)
        d.warm(1)
        d.submit("m", after=60 * S, time_remaining=60 * S)
        d.outcome("m", AttemptStatus.REJECTED, wait=S)
        told = d.now
        for _ in range(20):
            if "m" in sends(d.run(20 * S)):
                break
        assert d.now >= told + S
        backs.append(d.now - told)
    assert len({back // (500 * MS) for back in backs}) > 8


def test_a_small_allowance_counts_inside_its_share() -> None:
    """Trouble: an allowance below one message for each relay counted all as over-share."""
    d = Driver(entry("a"), relay_count=200, tenants={"t": Tenant("t", 20.0, 0.1)})
    for i in range(4):  # a tenth of a message a second is its part
        d.submit(f"t{i}", after=10 * S, tenant="t")
        assert d.brain.state.messages[f"t{i}"].priority_weight == 1.0
        d.outcome(f"t{i}", AttemptStatus.OK)


def test_rarely_used_connections_are_closed_and_busy_ones_kept() -> None:
    """Trouble: idle connections of hundreds of relays filled a partner's table, and nobody could connect."""
    d = Driver(entry("a"))
    d.submit("first")
    assert CloseIdleConnections("a") not in d.outcome(
        "first", AttemptStatus.OK
    )  # nobody was refused a connection
    d.submit("refused")
    d.outcome("refused", AttemptStatus.CONNECT_FAILED)
    while not sends(d.run(5 * S)):
        pass
    assert CloseIdleConnections("a") in d.outcome("refused", AttemptStatus.OK)
    for i in range(30):
        d.submit(f"m{i}", after=100 * MS)
        last = d.outcome(f"m{i}", AttemptStatus.OK)
    assert CloseIdleConnections("a") not in last


def test_no_connection_goes_to_a_sibling_at_once() -> None:
    """Trouble: endpoints that go at short notice are still in the list."""
    d = Driver(entry("a"), entry("b"))
    d.submit("m", "unsafe")
    first = d.sent[-1][1].endpoint
    assert sends(d.outcome("m", AttemptStatus.CONNECT_FAILED)) == ["m"]
    assert d.sent[-1][1].endpoint != first


def test_choice_of_an_endpoint_is_spread_over_relays() -> None:
    """Trouble: relays that all took the first listed endpoint flooded it while its siblings were idle."""
    chosen = []
    for seed in range(40):
        d = Driver(entry("a", kind="apart"), entry("b", kind="apart"), seed=seed)
        d.submit("m")
        chosen.append(d.sent[-1][1].endpoint)
    assert 8 <= chosen.count("a") <= 32


def test_random_arrivals_within_a_small_tenants_share_are_not_held_to_be_over_it() -> None:
    """Trouble: a part of 0.7 messages a second with room for one or two put a third of it over its share."""
    chance = random.Random(3)
    d = Driver(entry("a"), relay_count=40, tenants={"t": Tenant("t", 28.0, 0.09)}, max_open_messages=10_000)
    over = 0
    for i in range(200):
        d.feed(
            MessageSubmitted(f"m{i}", 1, "safe", "t", 20 * S, None), after=int(chance.expovariate(0.6) * S)
        )
        message = d.brain.state.messages.get(f"m{i}")
        over += message is not None and message.priority_weight < 1
        if message is not None:
            d.feed(MessageCancelled(f"m{i}"))
    assert over < 20
