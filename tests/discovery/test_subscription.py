"""A relay's subscription at its registries, in virtual time."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.decisions.events import EndpointState
from loftrelay.discovery.registry_selection import FAILBACK_DELAY_S, preference_order
from loftrelay.discovery.registry_session import Mode
from loftrelay.discovery.subscription import Timing
from loftrelay.discovery.subscription_actions import Channel
from loftrelay.registry.protocol import (
    MAX_DESTINATIONS_PER_CALL,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
    decode_request,
    encode_request,
)
from loftrelay.relay.ports import ResolutionStatus
from tests.discovery.registries import FLEET, List, Registry, Relay

PLACES = [("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)]


def make(number: int = 2, cells: int = 3, **timing: float) -> tuple[List, list[Registry], Relay]:
    """A list with one host in each cell, registries that know it, and a relay that has found one of them."""
    told = List()
    for cell in range(1, cells + 1):
        told.set(f"h{cell}", cell, EndpointState.ACTIVE)
    registries = [Registry(place) for place in PLACES[:number]]
    for registry in registries:
        registry.hear(0.0, told)
    relay = Relay(registries, Timing(**timing))  # type: ignore[arg-type]
    relay.subscription.start(0.0)
    relay.run(0.1)
    assert relay.subscription.mode is Mode.WATCHING
    return told, registries, relay


def tell(relay: Relay, told: List) -> None:
    for registry in relay.registries.values():
        registry.hear(relay.now, told)


def changes(relay: Relay, since: float = 0.0) -> list[SubscriptionChange]:
    calls = [
        decode_request(c.target) for at, c in relay.calls if at >= since and c.channel is Channel.CHANGES
    ]
    return [call for call in calls if isinstance(call, SubscriptionChange)]


# First messages


def test_first_messages_are_batched_into_one_call() -> None:
    told, _, relay = make()
    before = relay.now
    relay.want(1, 2)
    relay.run(0.001)
    relay.want(3, 1)
    relay.run(0.01)
    assert [c.added for c in changes(relay, before)] == [(1, 2, 3)]
    assert sorted(s[:2] for s in relay.sliced) == [
        (1, ResolutionStatus.RESOLVED),
        (2, ResolutionStatus.RESOLVED),
        (3, ResolutionStatus.RESOLVED),
    ]
    assert relay.holds(told)
    assert len(relay.hosts) == 3


def test_unlisted_destination_is_empty_until_it_has_an_endpoint() -> None:
    told, _, relay = make()
    relay.want(9)
    relay.run(0.05)
    asked = len(changes(relay))
    relay.want(9)
    relay.run(0.05)
    assert [s[:2] for s in relay.sliced] == [(9, ResolutionStatus.NOT_FOUND)] * 2
    assert len(changes(relay)) == asked
    told.set("h9", 9, EndpointState.ACTIVE)
    tell(relay, told)
    relay.run(0.05)
    assert list(relay.hosts[9]) == ["h9"]
    relay.want(9)
    relay.run(0.01)
    assert relay.sliced[-1][:2] == (9, ResolutionStatus.RESOLVED)


@pytest.mark.parametrize("dead", [True, False])
def test_lookups_fail_in_time_without_registries_and_resolve_after_recovery(
    dead: bool,
) -> None:
    told, registries, relay = make(lookup_timeout=0.2)
    for registry in registries:
        registry.dead, registry.up = dead, dead  # dead, or standing still
    relay.run(5.0)  # the watch has found out
    began = relay.now
    relay.want(1)
    relay.run(1.0)
    ((cell, state, at),) = relay.sliced
    assert (cell, state) == (1, ResolutionStatus.UNAVAILABLE)
    assert at - began == pytest.approx(0.2, abs=0.001)
    for registry in registries:
        registry.dead = False
        registry.resume(relay.now)
    relay.run(5.0)
    assert relay.holds(told)
    assert list(relay.hosts[1]) == ["h1"]
    assert len(relay.sliced) == 1  # once for each that wanted it


def test_repeated_lookup_keeps_its_deadline() -> None:
    _, registries, relay = make(number=1, lookup_timeout=0.2)
    registries[0].up = False
    for _ in range(3):
        relay.want(1)
        relay.run(0.06)
    relay.run(0.03)
    assert [s[:2] for s in relay.sliced] == [(1, ResolutionStatus.UNAVAILABLE)]


# Changes


def test_drained_removed_and_new_endpoints_are_published() -> None:
    told, _, relay = make()
    relay.want(1, 2)
    relay.run(0.1)
    told.set("h1", 1, EndpointState.DRAINING)
    told.set("h2", 2, EndpointState.REMOVED)
    told.set("h4", 2, EndpointState.ACTIVE)
    told.set("h3", 3, EndpointState.DRAINING)  # of no interest
    tell(relay, told)
    relay.run(0.06)
    assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING
    assert list(relay.hosts[2]) == ["h4"]
    assert relay.holds(told)
    assert set(relay.hosts) == {1, 2}
    told.set("h1", 1, EndpointState.REMOVED)
    tell(relay, told)
    relay.run(0.06)
    assert relay.hosts[1] == {}  # nobody serves it, and the relay goes on knowing that
    told.set("h1", 1, EndpointState.ACTIVE)
    tell(relay, told)
    relay.run(0.06)
    assert list(relay.hosts[1]) == ["h1"]


def test_endpoint_that_moves_is_removed_from_its_old_destination_first() -> None:
    told, _, relay = make()
    relay.want(1, 2)
    relay.run(0.1)
    told.set("h1", 2, EndpointState.ACTIVE)
    tell(relay, told)
    relay.run(0.06)
    assert relay.hosts[1] == {}
    assert sorted(relay.hosts[2]) == ["h1", "h2"]
    assert relay.holds(told)


def test_full_response_overtaken_by_a_watch_is_requested_again() -> None:
    """The watch's answer told the change of a cell that was not held yet: the older whole cell is not
    taken."""
    told, registries, relay = make(number=1)
    subscription = relay.subscription
    relay.subscription.resolve(relay.now, 1)
    subscription.tick(relay.now + 0.003)
    (call,) = [a for a in subscription.drain_actions() if getattr(a, "channel", None) is Channel.CHANGES]
    late: list[object] = []
    registries[0].ask(relay.now, call.target, late.append)  # type: ignore[union-attr]
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)  # answers the watch
    relay.run(0.01)
    assert subscription.revision == told.revision
    assert relay.hosts == {}
    subscription.call_answered(relay.now, call.number, late[0], tuple(late[0].rows))  # type: ignore[union-attr, arg-type, attr-defined]
    relay.run(0.1)
    assert subscription.counts["overtaken"] == 1
    assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING
    assert relay.sliced[0][:2] == (
        1,
        ResolutionStatus.RESOLVED,
    )


@pytest.mark.parametrize("whole", [True, False])
def test_late_watch_response_does_not_overwrite_a_newer_destination(whole: bool) -> None:
    told, registries, relay = make(number=1)
    relay.want(1, 2)
    relay.run(0.1)
    ((watch, _),) = registries[0].waiting
    number = relay.subscription.session.calls.watch
    assert number is not None
    told.set("h1", 1, EndpointState.DRAINING)
    told.set("h2", 2, EndpointState.DRAINING)
    late: list[SubscriptionResponse | int] = []
    registries[0].waiting.clear()  # answered, and the answer is under way
    registries[0].hear(relay.now, told)
    registries[0].ask(relay.now, encode_request(watch), late.append)
    told.set("h1", 1, EndpointState.ACTIVE)
    registries[0].hear(relay.now, told)
    relay.hosts.pop(1)  # let go, and wanted once more
    relay.subscription.release(relay.now, [1], [1])
    relay.want(1)
    relay.run(0.05)
    (answer,) = late
    assert isinstance(answer, SubscriptionResponse)
    assert list(relay.hosts[1]) == ["h1"]
    if whole:
        answer = replace(answer, full_destinations=(1, 2))
    relay.subscription.call_answered(relay.now, number, answer, tuple(answer.rows))
    relay.do()
    assert relay.hosts[1]["h1"][0].state is EndpointState.ACTIVE
    assert relay.subscription.counts["overtaken"] == 1
    assert relay.hosts[2]["h2"][0].state is EndpointState.DRAINING
    relay.run(0.2)
    assert relay.holds(told)


def test_pending_lookups_are_requested_before_other_destinations() -> None:
    _, registries, relay = make(number=1, lookup_timeout=2.5)
    registries[0].dead = True
    registries[0].start_anew()
    relay.want(*range(1, 2501))
    relay.run(3.0)
    assert {state for _, state, _ in relay.sliced} == {ResolutionStatus.UNAVAILABLE}
    relay.want(9999)
    registries[0].dead = False
    before = relay.now
    relay.run(3.0)
    pieces = changes(relay, before)
    assert pieces[0].added[0] == 9999
    assert sum(len(piece.added) for piece in pieces) >= 2501


@pytest.mark.parametrize("too_long", [True, False])
def test_destinations_with_many_endpoints_are_requested_fewer_at_a_time(too_long: bool) -> None:
    told, registries, relay = make(number=1, cells=0, lookup_timeout=60.0)
    for host in range(2_000):
        told.set(f"h{host}", 1 + host % 100, EndpointState.ACTIVE)
    registries[0].hear(relay.now, told)
    registries[0].most_rows = 1_200 if too_long else 1 << 30  # a longer answer breaks off
    relay.want(*range(1, 81))
    relay.run(5.0)
    relay.want(*range(81, 101))
    relay.want(*range(101, 401))  # with no host
    relay.run(5.0)
    assert relay.holds(told)
    assert len(relay.hosts) == 100
    sizes = [len(call.added) for call in changes(relay) if call.added]
    assert sizes[0] == 80
    assert sizes[1] == (40 if too_long else 50)
    asked = [call for call in changes(relay) if len(call.added) > 50]
    assert sum(sizes) >= 400
    assert len(sizes) <= 12
    assert len(asked) <= 4


def test_oversize_destination_does_not_block_the_others() -> None:
    told, registries, relay = make(number=2, cells=10, lookup_timeout=1.0)
    for host in range(100, 140):
        told.set(f"h{host}", 99, EndpointState.ACTIVE)
    for registry in registries:
        registry.most_rows = 20
    tell(relay, told)
    relay.want(*range(1, 11))
    relay.run(0.1)
    relay.want(99)
    relay.run(5.0)
    assert relay.sliced[-1][:2] == (99, ResolutionStatus.UNAVAILABLE)
    assert 99 not in relay.hosts
    assert len(relay.hosts) == 10
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)
    relay.run(0.1)
    assert relay.holds(told)
    assert relay.subscription.mode is Mode.WATCHING
    moved, calls = relay.subscription.counts["moved"], len(changes(relay))
    relay.want(99)
    relay.run(0.1)
    assert relay.sliced[-1][:2] == (99, ResolutionStatus.UNAVAILABLE)
    assert (relay.subscription.counts["moved"], len(changes(relay))) == (moved, calls)
    assert [line for line in relay.lines if "do not fit" in line] == [
        "the endpoints of destination 99 do not fit into a response"
    ]
    # One that is held and grows: what is known of it stands, and the others are told on.
    for host in range(200, 240):
        told.set(f"h{host}", 1, EndpointState.ACTIVE)
    for registry in registries:
        registry.start_anew()  # so that no watch tells of them
    tell(relay, told)
    relay.run(5.0)
    told.set("h2", 2, EndpointState.DRAINING)
    tell(relay, told)
    relay.run(0.2)
    assert relay.hosts[2]["h2"][0].state is EndpointState.DRAINING
    assert list(relay.hosts[1]) == ["h1"]


def test_destination_lost_by_the_engine_is_published_again() -> None:
    told, _, relay = make()
    relay.want(1)
    relay.run(0.1)
    relay.hosts.clear()  # lost, by a fault
    relay.want(1)
    relay.run(0.1)
    assert relay.holds(told)
    assert list(relay.hosts[1]) == ["h1"]
    assert relay.sliced[-1][:2] == (1, ResolutionStatus.RESOLVED)
    assert len(relay.sliced) == 2


# Which registry


def test_relays_spread_over_registries_and_move_only_from_a_removed_one() -> None:
    names = [f"relay-{number}" for number in range(2400)]
    first = {name: preference_order(name, PLACES)[0] for name in names}
    shares = Counter(first.values())
    assert all(700 < shares[place] < 900 for place in PLACES)
    after = {name: preference_order(name, PLACES[:2])[0] for name in names}
    assert all(after[name] == first[name] for name in names if first[name] != PLACES[2])


def test_registry_that_dies_during_a_watch_loses_no_change() -> None:
    told, _, relay = make()
    relay.want(1)
    relay.run(0.1)
    first = relay.first
    first.dead = True
    first.start_anew()
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)
    relay.run(0.1)
    assert relay.first is not first
    assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING


def test_paused_registry_is_left_in_time_and_its_late_responses_are_ignored() -> None:
    told, _, relay = make()
    relay.want(1)
    relay.run(0.1)
    first, began = relay.first, relay.now
    first.up = False
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)
    relay.run(2.0 + 2.2 + 0.1)
    assert relay.first is not first
    assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING
    first.resume(relay.now)  # with the list as it was: it answers all that it had not read
    looks = 0
    while relay.now < began + FAILBACK_DELAY_S * 3:
        relay.first.hear(relay.now, told)
        relay.run(1.0)
        assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING
        assert relay.first is not first
        looks = sum(call.channel is Channel.FAILBACK_CHECK for _, call in relay.calls)
    assert looks  # it was seen to be there, and behind
    while relay.first is not first:
        tell(relay, told)
        relay.run(1.0)
        assert relay.now < began + FAILBACK_DELAY_S * 20
    assert relay.holds(told)


def test_later_revision_wins_between_two_registries() -> None:
    told, registries, relay = make()
    relay.want(1)
    relay.run(0.1)
    told.set("h1", 1, EndpointState.REMOVED)
    told.set("h5", 1, EndpointState.ACTIVE)
    first = relay.first
    first.hear(relay.now, told)
    relay.run(0.1)
    assert list(relay.hosts[1]) == ["h5"]
    other = next(registry for registry in registries if registry is not first)
    first.dead = True
    first.start_anew()
    relay.run(3.0)
    assert list(relay.hosts[1]) == ["h5"]
    assert relay.subscription.counts["older"] >= 1
    other.hear(relay.now, told)
    relay.run(2.0)
    assert relay.first is other
    assert relay.subscription.mode is Mode.WATCHING


def test_destinations_are_resolved_anew_after_all_registries_have_older_revisions() -> None:
    """Discovery counts anew. Until that is sure, the relay goes on by what it has."""
    told, _, relay = make(stale_after=6.0)
    for _ in range(20):
        told.set("h1", 1, EndpointState.ACTIVE)
    tell(relay, told)
    relay.want(1, 2)
    relay.run(0.1)
    anew = List()
    anew.set("h7", 1, EndpointState.ACTIVE)  # and nobody for 2
    tell(relay, anew)
    for registry in relay.registries.values():
        registry.start_anew()
    began = relay.now
    relay.run(6.0)
    assert list(relay.hosts[1]) == ["h1"]
    assert list(relay.hosts[2]) == ["h2"]
    relay.run(5.0)
    assert list(relay.hosts[1]) == ["h7"]
    assert relay.hosts[2] == {}
    assert relay.holds(anew)
    assert sum("resolving all destinations anew" in line for line in relay.lines) == 1
    assert relay.now - began < 12


def test_stale_data_triggers_checks_and_the_freshest_registry_is_kept() -> None:
    told, _, relay = make(number=3, stale_after=6.0)
    relay.want(1)
    relay.run(0.1)
    first, moved = relay.first, relay.subscription.counts["moved"]
    for _ in range(30):  # the one in use hears nothing of discovery any more, the others do
        for registry in relay.registries.values():
            if registry is not first:
                registry.hear(relay.now, told)
        relay.run(1.0)
    assert relay.first is not first
    assert relay.subscription.counts["moved"] - moved <= 2
    began = relay.now  # discovery is away from all
    relay.run(120.0)
    ages = [registry.heard for registry in relay.registries.values()]
    assert relay.first.heard == max(ages)
    assert relay.subscription.counts["moved"] - moved <= (relay.now - began) / 6.0
    assert list(relay.hosts[1]) == ["h1"]


def test_recently_left_registry_is_checked_when_the_one_in_use_is_cut_off() -> None:
    """It stood still for 10 s and was left; then the other lost discovery: that showed 48 s later."""
    for shift in range(8):
        told, registries, relay = make(number=2, stale_after=6.0)
        relay.want(1)
        relay.run(0.1 + 0.3 * shift)
        first = relay.first
        other = next(registry for registry in registries if registry is not first)

        def hear(seconds: int, *those: Registry, relay: Relay = relay, told: List = told) -> None:
            for _ in range(seconds):
                for registry in those:
                    registry.hear(relay.now, told)
                relay.run(1.0)

        first.dead = True
        hear(10, other)
        first.dead = False
        hear(1, first, other)
        assert relay.first is other
        relay.subscription.session.selection.failback_at = (
            relay.now + 600.0
        )  # it is not gone back to for other reasons
        began, moved = relay.now, relay.subscription.counts["moved"]
        hear(3, first)
        told.set("h1", 1, EndpointState.REMOVED)
        told.set("h6", 1, EndpointState.ACTIVE)
        while list(relay.hosts[1]) != ["h6"]:
            hear(1, first)
            assert relay.now - began < 12.0, shift
        hear(30, first)
        assert relay.subscription.counts["moved"] - moved == 1
        assert relay.first is first


def test_checks_grow_rarer_while_no_registry_reaches_discovery() -> None:
    _, registries, relay = make(number=3, stale_after=6.0, idle_after=3600.0)
    relay.want(1)
    relay.run(600.1)
    looks = sum(call.channel is Channel.FAILBACK_CHECK for _, call in relay.calls)
    assert 8 <= looks <= 60
    assert len(registries) == 3
    assert list(relay.hosts[1]) == ["h1"]


def test_failback_to_a_recovered_registry_is_spread_over_time() -> None:
    backs = []
    for number in range(40):
        told = List()
        told.set("h1", 1, EndpointState.ACTIVE)
        registries = [Registry(place) for place in PLACES]
        relay = Relay(registries, seed=number)
        tell(relay, told)
        relay.subscription.start(0.0)
        relay.run(0.1)
        first = relay.first
        first.dead = True
        first.start_anew()
        relay.run(3.0)
        assert relay.first is not first
        first.dead = False
        while relay.first is not first:
            relay.run(0.5)
            for registry in registries:
                registry.hear(relay.now, told)
            assert relay.now < 60
        backs.append(relay.now)
    assert max(backs) - min(backs) > FAILBACK_DELAY_S * 0.6
    assert max(Counter(int(back) for back in backs).values()) <= 8


def test_simultaneous_start_with_one_dead_registry_spreads_over_the_others() -> None:
    told = List()
    for cell in range(1, 11):
        told.set(f"h{cell}", cell, EndpointState.ACTIVE)
    registries = [Registry(place) for place in PLACES]
    for registry in registries:
        registry.hear(0.0, told)
    registries[0].dead = True
    relays = [Relay(registries, seed=number, name=f"relay-{number}") for number in range(480)]
    for relay in relays:
        relay.subscription.start(0.0)
        relay.want(*range(1, 11))
    for relay in relays:
        relay.run(0.2)
    assert all(relay.subscription.mode is Mode.WATCHING and relay.holds(told) for relay in relays)
    assert all({s[1] for s in relay.sliced} == {ResolutionStatus.RESOLVED} for relay in relays)
    assert max(len(relay.calls) for relay in relays) <= 4  # one failed, a change or two, the watch
    shares = [len(registry.sets) for registry in registries]
    assert shares[0] == 0
    assert min(shares[1:]) > 180
    assert sum(shares) == 480


def test_backoff_grows_to_a_bound_without_registries() -> None:
    _, registries, relay = make(number=2)
    for registry in registries:
        registry.dead = True
        registry.start_anew()
    relay.run(10.0)
    began, calls = relay.now, len(relay.calls)
    relay.run(60.0)
    # Two calls each round; with full jitter a rest of up to 2 s is 1 s long in the middle.
    assert 60 <= len(relay.calls) - calls <= 200
    assert relay.now > began


def test_registry_of_another_fleet_is_rejected_with_one_log_line() -> None:
    told = List()
    told.set("h1", 1, EndpointState.ACTIVE)
    registry = Registry(PLACES[0], fleet="other")
    registry.hear(0.0, told)
    relay = Relay([registry])
    relay.subscription.start(0.0)
    relay.want(1)
    relay.run(20.0)
    assert relay.hosts == {}
    assert [s[1] for s in relay.sliced] == [ResolutionStatus.UNAVAILABLE]
    assert relay.lines == [f"registry 10.0.0.1:7500 serves the fleet 'other', not {FLEET}"]


# Sets


def test_registry_that_lost_the_set_is_synchronized_in_pieces_and_sends_only_changes() -> None:
    told, registries, relay = make(number=1, cells=2500)
    relay.want(*range(1, 2501))
    relay.run(0.1)
    assert relay.holds(told)
    assert len(relay.hosts) == 2500
    told.set("h7", 7, EndpointState.DRAINING)
    registries[0].start_anew()
    registries[0].hear(relay.now, told)
    before, cells = relay.now, relay.subscription.counts["cells"]
    relay.run(2.5)
    pieces = changes(relay, before)
    assert [len(p.confirmed) for p in pieces] == [MAX_DESTINATIONS_PER_CALL, MAX_DESTINATIONS_PER_CALL, 500]
    assert not any(p.added for p in pieces)
    assert [p.is_reset for p in pieces] == [True, False, False]
    assert relay.subscription.counts["cells"] - cells == 1
    assert relay.holds(told)
    assert relay.hosts[7]["h7"][0].state is EndpointState.DRAINING


def test_set_that_differs_is_replaced() -> None:
    told, registries, relay = make(number=1)
    relay.want(1, 2)
    relay.run(0.1)
    cells, seq = registries[0].sets[relay.subscription.subscriber]
    cells.discard(2)  # as many as a set with another in its place: the sum tells
    cells.add(3)
    told.set("h2", 2, EndpointState.DRAINING)
    registries[0].hear(relay.now, told)
    relay.run(2.2)
    assert relay.holds(told)
    assert registries[0].sets[relay.subscription.subscriber][0] == {1, 2}
    assert seq < registries[0].sets[relay.subscription.subscriber][1]


def test_idle_destinations_are_released_in_one_call_and_used_ones_stay() -> None:
    told, registries, relay = make(number=1, cells=50, idle_after=10.0)
    relay.want(*range(1, 51))
    relay.run(5.0)
    relay.subscription.mark_used(relay.now, 1)
    relay.busy = {2, 3}
    before = relay.now
    relay.run(7.5)
    assert sorted(relay.hosts) == [1, 2, 3]
    assert sorted(relay.offered) == list(range(2, 51))
    dropped = [call.dropped for call in changes(relay, before) if call.dropped]
    assert [sorted(drop) for drop in dropped] == [list(range(4, 51))]
    assert registries[0].sets[relay.subscription.subscriber][0] == {1, 2, 3}
    relay.busy = set()
    relay.run(12.0)
    assert relay.hosts == {}
    assert registries[0].sets[relay.subscription.subscriber][0] == set()
    relay.want(1)
    relay.run(0.1)
    assert relay.holds(told)
    assert list(relay.hosts) == [1]


def test_least_recently_used_destinations_are_released_over_capacity() -> None:
    _, _, relay = make(number=1, cells=40, capacity=20)
    for cell in range(1, 41):
        relay.want(cell)
        relay.run(0.1)
    relay.run(1.5)
    assert sorted(relay.hosts) == list(range(21, 41))


def test_destination_released_and_looked_up_before_the_drop_is_sent_is_resolved_again() -> None:
    told, registries, relay = make(number=1, idle_after=10.0)
    relay.want(1)
    relay.run(10.2)
    assert relay.hosts == {}
    relay.want(1)
    relay.run(0.1)
    assert relay.holds(told)
    assert list(relay.hosts) == [1]
    relay.run(3.0)
    assert registries[0].sets[relay.subscription.subscriber][0] == {1}
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)
    relay.run(0.1)
    assert relay.hosts[1]["h1"][0].state is EndpointState.DRAINING


def test_successor_adopts_the_destinations() -> None:
    told, registries, relay = make(number=1)
    relay.want(1, 2)
    relay.run(0.1)
    relay.subscription.pause()
    relay.do()
    told.set("h2", 2, EndpointState.DRAINING)
    tell(relay, told)
    after = Relay(registries, seed=2)
    after.now = relay.now
    rows = [row for hosts in relay.hosts.values() for row in hosts.values()]
    after.subscription.adopt(after.now, relay.subscription.revision, list(relay.hosts), rows)
    after.hosts = relay.hosts
    after.subscription.start(after.now)
    after.run(0.1)
    assert after.holds(told)
    assert after.hosts[2]["h2"][0].state is EndpointState.DRAINING
    (piece,) = changes(after)
    assert piece.confirmed == (1, 2)
    assert not piece.added
    assert after.subscription.counts["cells"] == 1


def test_pause_makes_no_calls_and_misses_no_change() -> None:
    told, _, relay = make()
    relay.want(1)
    relay.run(0.1)
    relay.subscription.pause()
    relay.do()
    calls = len(relay.calls)
    relay.want(2)
    relay.run(1.0)
    assert len(relay.calls) == calls
    assert relay.sliced[-1][:2] == (2, ResolutionStatus.UNAVAILABLE)
    told.set("h1", 1, EndpointState.DRAINING)
    tell(relay, told)
    relay.subscription.start(relay.now)
    relay.run(0.1)
    assert relay.holds(told)
    assert set(relay.hosts) == {1, 2}


def test_watch_answered_at_once_is_no_busy_loop() -> None:
    told, registries, relay = make(number=1)
    relay.want(1)
    relay.run(0.1)
    before = relay.subscription.counts["watches"]
    for _ in range(1000):
        told.set("h1", 1, EndpointState.ACTIVE)
        registries[0].hear(relay.now, told)
        relay.run(0.001)
    assert relay.subscription.counts["watches"] - before <= 1.0 / 0.05 + 2
    assert all(
        isinstance(decode_request(c.target), SubscriptionWatch | SubscriptionChange) for _, c in relay.calls
    )


# All of it at once


def settle(relay: Relay) -> None:
    """It may be going back to its first registry just now."""
    if relay.subscription.mode is not Mode.WATCHING or relay.subscription.session.calls.change is not None:
        relay.run(0.1)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 1 << 30),
    number=st.integers(1, 3),
    steps=st.lists(
        st.tuples(
            st.sampled_from(
                ["want", "want", "set", "set", "hear", "stop", "go", "die", "live", "lose", "pause", "lag"]
            ),
            st.integers(0, 1000),
            st.floats(0.0, 3.0),
        ),
        max_size=40,
    ),
)
def test_destinations_equal_the_list_after_any_schedule_of_faults(
    seed: int, number: int, steps: list[tuple[str, int, float]]
) -> None:
    """Answers are lost, doubled, late and out of order; registries stand still, die, forget and lag."""
    chance = random.Random(seed)
    told = List()
    registries = [Registry(place) for place in PLACES[:number]]
    relay = Relay(registries, Timing(idle_after=20.0, capacity=6), seed)
    relay.delay, relay.loss, relay.doubled = 0.5, 0.1, 0.2
    for registry in registries:
        registry.hear(0.0, told)
    relay.subscription.start(0.0)
    for what, which, wait in steps:
        registry = registries[which % number]
        if what == "want":
            relay.want(1 + which % 8)
        elif what == "set":
            states = [
                EndpointState.ACTIVE,
                EndpointState.ACTIVE,
                EndpointState.DRAINING,
                EndpointState.REMOVED,
            ]
            told.set(f"h{which % 12}", 1 + chance.randrange(8), chance.choice(states))
            for one in registries:
                if chance.random() < 0.7:
                    one.hear(relay.now, told)
        elif what == "hear":
            registry.hear(relay.now, told)
        elif what == "stop":
            registry.up = False
        elif what == "go":
            registry.resume(relay.now)
        elif what in ("die", "live"):
            registry.dead = what == "die"
            registry.start_anew()
        elif what == "lose":
            registry.start_anew()
        elif what == "pause":
            relay.subscription.pause()
            relay.do()
            relay.run(wait)
            relay.subscription.start(relay.now)
        relay.run(wait)
    relay.loss = relay.doubled = 0.0
    relay.delay = 0.01
    for registry in registries:
        registry.dead = False
        registry.resume(relay.now)
        registry.hear(relay.now, told)
    wanted = len(relay.sliced)
    for _ in range(12):
        for registry in registries:
            registry.hear(relay.now, told)
        relay.run(1.0)
    settle(relay)
    assert relay.subscription.mode is Mode.WATCHING
    assert relay.subscription.revision == told.revision
    relay.want(1, 2, 3)
    relay.run(0.15)
    for registry in registries:
        registry.hear(relay.now, told)
    relay.run(0.1)
    settle(relay)
    assert relay.holds(told)
    assert {1, 2, 3} <= set(relay.subscription.table.destinations)
    assert {s[0] for s in relay.sliced[wanted:]} >= {1, 2, 3}
    assert relay.first.sets[relay.subscription.subscriber][0] == relay.subscription.session.batch.subscribed
    where = {host: cell for cell, hosts in relay.hosts.items() for host in hosts}
    assert where == relay.subscription.table.destination_of
