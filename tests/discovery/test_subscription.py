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
from tests.discovery.registries import FLEET, FakeEndpointList, FakeRegistry, SimulatedRelay

ADDRESSES = [("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)]


def make_subscribed_relay(
    registry_count: int = 2, destinations: int = 3, **timing: float
) -> tuple[FakeEndpointList, list[FakeRegistry], SimulatedRelay]:
    """Returns a list with one endpoint per destination, synced registries, and a relay that watches one."""
    endpoint_list = FakeEndpointList()
    for destination in range(1, destinations + 1):
        endpoint_list.set_endpoint(f"h{destination}", destination, EndpointState.ACTIVE)
    registries = [FakeRegistry(address) for address in ADDRESSES[:registry_count]]
    for registry in registries:
        registry.sync(0.0, endpoint_list)
    relay = SimulatedRelay(registries, Timing(**timing))  # type: ignore[arg-type]
    relay.subscription.start(0.0)
    relay.advance(0.1)
    assert relay.subscription.mode is Mode.WATCHING
    return endpoint_list, registries, relay


def sync_all(relay: SimulatedRelay, endpoint_list: FakeEndpointList) -> None:
    for registry in relay.registries.values():
        registry.sync(relay.now, endpoint_list)


def sent_changes(relay: SimulatedRelay, since: float = 0.0) -> list[SubscriptionChange]:
    calls = [
        decode_request(call.target)
        for sent_at, call in relay.calls
        if sent_at >= since and call.channel is Channel.CHANGES
    ]
    return [call for call in calls if isinstance(call, SubscriptionChange)]


# Lookups


def test_subscription_batches_simultaneous_lookups_into_one_call() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    before = relay.now
    relay.look_up(1, 2)
    relay.advance(0.001)
    relay.look_up(3, 1)
    relay.advance(0.01)
    assert [change.added for change in sent_changes(relay, before)] == [(1, 2, 3)]
    assert sorted(lookup[:2] for lookup in relay.resolved) == [
        (1, ResolutionStatus.RESOLVED),
        (2, ResolutionStatus.RESOLVED),
        (3, ResolutionStatus.RESOLVED),
    ]
    assert relay.matches(endpoint_list)
    assert len(relay.endpoints) == 3


def test_subscription_of_unlisted_destination_reports_not_found_until_it_has_an_endpoint() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(9)
    relay.advance(0.05)
    change_count = len(sent_changes(relay))
    relay.look_up(9)
    relay.advance(0.05)
    assert [lookup[:2] for lookup in relay.resolved] == [(9, ResolutionStatus.NOT_FOUND)] * 2
    assert len(sent_changes(relay)) == change_count
    endpoint_list.set_endpoint("h9", 9, EndpointState.ACTIVE)
    sync_all(relay, endpoint_list)
    relay.advance(0.05)
    assert list(relay.endpoints[9]) == ["h9"]
    relay.look_up(9)
    relay.advance(0.01)
    assert relay.resolved[-1][:2] == (9, ResolutionStatus.RESOLVED)


@pytest.mark.parametrize("is_down", [True, False])
def test_lookup_without_registries_fails_at_its_deadline_and_is_published_after_recovery(
    is_down: bool,
) -> None:
    endpoint_list, registries, relay = make_subscribed_relay(lookup_timeout=0.2)
    for registry in registries:
        registry.is_down, registry.is_running = is_down, is_down  # down, or stopped
    relay.advance(5.0)  # long enough for the watch to fail
    began = relay.now
    relay.look_up(1)
    relay.advance(1.0)
    ((destination, status, ended_at),) = relay.resolved
    assert (destination, status) == (1, ResolutionStatus.UNAVAILABLE)
    assert ended_at - began == pytest.approx(0.2, abs=0.001)
    for registry in registries:
        registry.is_down = False
        registry.resume(relay.now)
    relay.advance(5.0)
    assert relay.matches(endpoint_list)
    assert list(relay.endpoints[1]) == ["h1"]
    assert len(relay.resolved) == 1  # one result for each lookup


def test_lookup_repeated_while_pending_keeps_its_deadline() -> None:
    _, registries, relay = make_subscribed_relay(registry_count=1, lookup_timeout=0.2)
    registries[0].is_running = False
    for _ in range(3):
        relay.look_up(1)
        relay.advance(0.06)
    relay.advance(0.03)
    assert [lookup[:2] for lookup in relay.resolved] == [(1, ResolutionStatus.UNAVAILABLE)]


# Changes


def test_subscription_publishes_drained_removed_and_new_endpoints() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1, 2)
    relay.advance(0.1)
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    endpoint_list.set_endpoint("h2", 2, EndpointState.REMOVED)
    endpoint_list.set_endpoint("h4", 2, EndpointState.ACTIVE)
    endpoint_list.set_endpoint("h3", 3, EndpointState.DRAINING)  # not subscribed
    sync_all(relay, endpoint_list)
    relay.advance(0.06)
    assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING
    assert list(relay.endpoints[2]) == ["h4"]
    assert relay.matches(endpoint_list)
    assert set(relay.endpoints) == {1, 2}
    endpoint_list.set_endpoint("h1", 1, EndpointState.REMOVED)
    sync_all(relay, endpoint_list)
    relay.advance(0.06)
    assert relay.endpoints[1] == {}  # the destination has no endpoints, and the relay keeps watching it
    endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
    sync_all(relay, endpoint_list)
    relay.advance(0.06)
    assert list(relay.endpoints[1]) == ["h1"]


def test_subscription_publishes_removal_first_when_an_endpoint_moves() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1, 2)
    relay.advance(0.1)
    endpoint_list.set_endpoint("h1", 2, EndpointState.ACTIVE)
    sync_all(relay, endpoint_list)
    relay.advance(0.06)
    assert relay.endpoints[1] == {}
    assert sorted(relay.endpoints[2]) == ["h1", "h2"]
    assert relay.matches(endpoint_list)


def test_full_response_overtaken_by_a_watch_response_is_requested_again() -> None:
    """A watch response holds a change of a destination whose first full response is still under way."""
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1)
    subscription = relay.subscription
    relay.subscription.resolve(relay.now, 1)
    subscription.tick(relay.now + 0.003)
    actions = subscription.drain_actions()
    (call,) = [action for action in actions if getattr(action, "channel", None) is Channel.CHANGES]
    late_responses: list[object] = []
    registries[0].handle_request(relay.now, call.target, late_responses.append)  # type: ignore[union-attr]
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)  # ends the watch
    relay.advance(0.01)
    assert subscription.revision == endpoint_list.revision
    assert relay.endpoints == {}
    subscription.response_received(relay.now, call.call_id, late_responses[0], tuple(late_responses[0].rows))  # type: ignore[union-attr, arg-type, attr-defined]
    relay.advance(0.1)
    assert subscription.counts["overtaken"] == 1
    assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING
    assert relay.resolved[0][:2] == (
        1,
        ResolutionStatus.RESOLVED,
    )


@pytest.mark.parametrize("is_full", [True, False])
def test_late_watch_response_keeps_a_newer_destination(is_full: bool) -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1)
    relay.look_up(1, 2)
    relay.advance(0.1)
    ((watch, _),) = registries[0].waiting_watches
    call_id = relay.subscription.session.calls.watch
    assert call_id is not None
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    endpoint_list.set_endpoint("h2", 2, EndpointState.DRAINING)
    late_responses: list[SubscriptionResponse | int] = []
    registries[0].waiting_watches.clear()  # the response has been sent and has not arrived yet
    registries[0].sync(relay.now, endpoint_list)
    registries[0].handle_request(relay.now, encode_request(watch), late_responses.append)
    endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
    registries[0].sync(relay.now, endpoint_list)
    relay.endpoints.pop(1)  # released, then looked up again
    relay.subscription.release(relay.now, [1], [1])
    relay.look_up(1)
    relay.advance(0.05)
    (response,) = late_responses
    assert isinstance(response, SubscriptionResponse)
    assert list(relay.endpoints[1]) == ["h1"]
    if is_full:
        response = replace(response, full_destinations=(1, 2))
    relay.subscription.response_received(relay.now, call_id, response, tuple(response.rows))
    relay.process_actions()
    assert relay.endpoints[1]["h1"][0].state is EndpointState.ACTIVE
    assert relay.subscription.counts["overtaken"] == 1
    assert relay.endpoints[2]["h2"][0].state is EndpointState.DRAINING
    relay.advance(0.2)
    assert relay.matches(endpoint_list)


def test_synchronization_requests_pending_lookups_first() -> None:
    _, registries, relay = make_subscribed_relay(registry_count=1, lookup_timeout=2.5)
    registries[0].is_down = True
    registries[0].lose_subscriptions()
    relay.look_up(*range(1, 2501))
    relay.advance(3.0)
    assert {state for _, state, _ in relay.resolved} == {ResolutionStatus.UNAVAILABLE}
    relay.look_up(9999)
    registries[0].is_down = False
    before = relay.now
    relay.advance(3.0)
    parts = sent_changes(relay, before)
    assert parts[0].added[0] == 9999
    assert sum(len(part.added) for part in parts) >= 2501


@pytest.mark.parametrize("too_long", [True, False])
def test_subscription_requests_fewer_destinations_per_call_when_responses_are_long(too_long: bool) -> None:
    endpoint_list, registries, relay = make_subscribed_relay(
        registry_count=1, destinations=0, lookup_timeout=60.0
    )
    for number in range(2_000):
        endpoint_list.set_endpoint(f"h{number}", 1 + number % 100, EndpointState.ACTIVE)
    registries[0].sync(relay.now, endpoint_list)
    registries[0].max_response_rows = 1_200 if too_long else 1 << 30  # the relay rejects longer responses
    relay.look_up(*range(1, 81))
    relay.advance(5.0)
    relay.look_up(*range(81, 101))
    relay.look_up(*range(101, 401))  # without endpoints
    relay.advance(5.0)
    assert relay.matches(endpoint_list)
    assert len(relay.endpoints) == 100
    sizes = [len(call.added) for call in sent_changes(relay) if call.added]
    assert sizes[0] == 80
    assert sizes[1] == (40 if too_long else 50)
    large_calls = [call for call in sent_changes(relay) if len(call.added) > 50]
    assert sum(sizes) >= 400
    assert len(sizes) <= 12
    assert len(large_calls) <= 4


def test_oversize_destination_fails_alone_and_the_others_are_updated() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(
        registry_count=2, destinations=10, lookup_timeout=1.0
    )
    for number in range(100, 140):
        endpoint_list.set_endpoint(f"h{number}", 99, EndpointState.ACTIVE)
    for registry in registries:
        registry.max_response_rows = 20
    sync_all(relay, endpoint_list)
    relay.look_up(*range(1, 11))
    relay.advance(0.1)
    relay.look_up(99)
    relay.advance(5.0)
    assert relay.resolved[-1][:2] == (99, ResolutionStatus.UNAVAILABLE)
    assert 99 not in relay.endpoints
    assert len(relay.endpoints) == 10
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert relay.subscription.mode is Mode.WATCHING
    moved, calls = relay.subscription.counts["moved"], len(sent_changes(relay))
    relay.look_up(99)
    relay.advance(0.1)
    assert relay.resolved[-1][:2] == (99, ResolutionStatus.UNAVAILABLE)
    assert (relay.subscription.counts["moved"], len(sent_changes(relay))) == (moved, calls)
    assert [line for line in relay.log_lines if "exceed the response limit" in line] == [
        "endpoints of destination 99 exceed the response limit: its lookups fail for a while"
    ]
    # A held destination becomes oversize: its known endpoints stay, and the others are still updated.
    for number in range(200, 240):
        endpoint_list.set_endpoint(f"h{number}", 1, EndpointState.ACTIVE)
    for registry in registries:
        registry.lose_subscriptions()  # otherwise the watch would send the new endpoints
    sync_all(relay, endpoint_list)
    relay.advance(5.0)
    endpoint_list.set_endpoint("h2", 2, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.advance(0.2)
    assert relay.endpoints[2]["h2"][0].state is EndpointState.DRAINING
    assert list(relay.endpoints[1]) == ["h1"]


def test_lookup_of_a_destination_lost_by_the_engine_publishes_it_again() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1)
    relay.advance(0.1)
    relay.endpoints.clear()  # lost by a bug
    relay.look_up(1)
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert list(relay.endpoints[1]) == ["h1"]
    assert relay.resolved[-1][:2] == (1, ResolutionStatus.RESOLVED)
    assert len(relay.resolved) == 2


# Choice of the registry


def test_preference_order_spreads_relays_and_moves_only_those_of_a_removed_registry() -> None:
    names = [f"relay-{number}" for number in range(2400)]
    first = {name: preference_order(name, ADDRESSES)[0] for name in names}
    shares = Counter(first.values())
    assert all(700 < shares[address] < 900 for address in ADDRESSES)
    after = {name: preference_order(name, ADDRESSES[:2])[0] for name in names}
    assert all(after[name] == first[name] for name in names if first[name] != ADDRESSES[2])


def test_subscription_misses_no_change_when_a_registry_dies_during_a_watch() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1)
    relay.advance(0.1)
    first = relay.current_registry
    first.is_down = True
    first.lose_subscriptions()
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.advance(0.1)
    assert relay.current_registry is not first
    assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING


def test_subscription_leaves_a_stopped_registry_in_time_and_ignores_its_late_responses() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1)
    relay.advance(0.1)
    first, began = relay.current_registry, relay.now
    first.is_running = False
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.advance(2.0 + 2.2 + 0.1)
    assert relay.current_registry is not first
    assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING
    first.resume(relay.now)  # with its old list: it responds to all unread requests
    check_count = 0
    while relay.now < began + FAILBACK_DELAY_S * 3:
        relay.current_registry.sync(relay.now, endpoint_list)
        relay.advance(1.0)
        assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING
        assert relay.current_registry is not first
        check_count = sum(call.channel is Channel.FAILBACK_CHECK for _, call in relay.calls)
    assert check_count  # it responded with outdated data
    while relay.current_registry is not first:
        sync_all(relay, endpoint_list)
        relay.advance(1.0)
        assert relay.now < began + FAILBACK_DELAY_S * 20
    assert relay.matches(endpoint_list)


def test_subscription_keeps_the_later_revision_after_failover_to_an_older_registry() -> None:
    endpoint_list, registries, relay = make_subscribed_relay()
    relay.look_up(1)
    relay.advance(0.1)
    endpoint_list.set_endpoint("h1", 1, EndpointState.REMOVED)
    endpoint_list.set_endpoint("h5", 1, EndpointState.ACTIVE)
    first = relay.current_registry
    first.sync(relay.now, endpoint_list)
    relay.advance(0.1)
    assert list(relay.endpoints[1]) == ["h5"]
    other = next(registry for registry in registries if registry is not first)
    first.is_down = True
    first.lose_subscriptions()
    relay.advance(3.0)
    assert list(relay.endpoints[1]) == ["h5"]
    assert relay.subscription.counts["older"] >= 1
    other.sync(relay.now, endpoint_list)
    relay.advance(2.0)
    assert relay.current_registry is other
    assert relay.subscription.mode is Mode.WATCHING


def test_subscription_does_not_go_back_to_a_registry_that_has_heard_nothing_since() -> None:
    """It took the older list of the only registry left for a restart of discovery's revisions."""
    endpoint_list, registries, relay = make_subscribed_relay(stale_after=6.0)
    relay.look_up(1)
    relay.advance(0.1)
    endpoint_list.set_endpoint("h1", 1, EndpointState.REMOVED)
    endpoint_list.set_endpoint("h5", 1, EndpointState.ACTIVE)
    first = relay.current_registry
    first.sync(relay.now, endpoint_list)
    relay.advance(0.1)
    first.is_down = True
    first.lose_subscriptions()
    relay.advance(30.0)  # discovery can't be reached
    assert list(relay.endpoints[1]) == ["h5"]
    other = next(registry for registry in registries if registry is not first)
    other.sync(relay.now, endpoint_list)
    relay.advance(12.0)
    assert relay.matches(endpoint_list)


def test_subscription_resolves_all_destinations_again_when_all_registries_have_older_revisions() -> None:
    """Discovery restarts its revisions. The relay keeps its endpoints until it can conclude that."""
    endpoint_list, _, relay = make_subscribed_relay(stale_after=6.0)
    for _ in range(20):
        endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
    sync_all(relay, endpoint_list)
    relay.look_up(1, 2)
    relay.advance(0.1)
    restarted_list = FakeEndpointList()
    restarted_list.set_endpoint("h7", 1, EndpointState.ACTIVE)  # destination 2 has no endpoints
    sync_all(relay, restarted_list)
    for registry in relay.registries.values():
        registry.lose_subscriptions()
    began = relay.now
    relay.advance(6.0)
    assert list(relay.endpoints[1]) == ["h1"]
    assert list(relay.endpoints[2]) == ["h2"]
    relay.advance(5.0)
    assert list(relay.endpoints[1]) == ["h7"]
    assert relay.endpoints[2] == {}
    assert relay.matches(restarted_list)
    assert sum("resolving all destinations again" in line for line in relay.log_lines) == 1
    assert relay.now - began < 12


def test_subscription_with_stale_data_checks_others_and_uses_the_freshest() -> None:
    endpoint_list, _, relay = make_subscribed_relay(registry_count=3, stale_after=6.0)
    relay.look_up(1)
    relay.advance(0.1)
    first, moved = relay.current_registry, relay.subscription.counts["moved"]
    for _ in range(30):  # the registry in use has lost discovery, the others have not
        for registry in relay.registries.values():
            if registry is not first:
                registry.sync(relay.now, endpoint_list)
        relay.advance(1.0)
    assert relay.current_registry is not first
    assert relay.subscription.counts["moved"] - moved <= 2
    began = relay.now  # all registries lose discovery
    relay.advance(120.0)
    sync_times = [registry.synced_at for registry in relay.registries.values()]
    assert relay.current_registry.synced_at == max(sync_times)
    assert relay.subscription.counts["moved"] - moved <= (relay.now - began) / 6.0
    assert list(relay.endpoints[1]) == ["h1"]


def test_subscription_returns_to_a_recently_left_registry_when_the_one_in_use_loses_discovery() -> None:
    """A registry is down for 10 s and left; then the other one loses its connection to discovery.

    Before, the relay noticed this only 48 s later.
    """
    for shift in range(8):
        endpoint_list, registries, relay = make_subscribed_relay(registry_count=2, stale_after=6.0)
        relay.look_up(1)
        relay.advance(0.1 + 0.3 * shift)
        first = relay.current_registry
        other = next(registry for registry in registries if registry is not first)

        def sync_each_second(
            seconds: int,
            *synced: FakeRegistry,
            relay: SimulatedRelay = relay,
            endpoint_list: FakeEndpointList = endpoint_list,
        ) -> None:
            for _ in range(seconds):
                for registry in synced:
                    registry.sync(relay.now, endpoint_list)
                relay.advance(1.0)

        first.is_down = True
        sync_each_second(10, other)
        first.is_down = False
        sync_each_second(1, first, other)
        assert relay.current_registry is other
        relay.subscription.session.selection.failback_at = relay.now + 600.0  # no failback for another reason
        began, moved = relay.now, relay.subscription.counts["moved"]
        sync_each_second(3, first)
        endpoint_list.set_endpoint("h1", 1, EndpointState.REMOVED)
        endpoint_list.set_endpoint("h6", 1, EndpointState.ACTIVE)
        while list(relay.endpoints[1]) != ["h6"]:
            sync_each_second(1, first)
            assert relay.now - began < 12.0, shift
        sync_each_second(30, first)
        assert relay.subscription.counts["moved"] - moved == 1
        assert relay.current_registry is first


def test_freshness_checks_become_rarer_while_no_registry_reaches_discovery() -> None:
    _, registries, relay = make_subscribed_relay(registry_count=3, stale_after=6.0, idle_after=3600.0)
    relay.look_up(1)
    relay.advance(600.1)
    check_count = sum(call.channel is Channel.FAILBACK_CHECK for _, call in relay.calls)
    assert 8 <= check_count <= 60
    assert len(registries) == 3
    assert list(relay.endpoints[1]) == ["h1"]


def test_failback_of_many_relays_to_a_recovered_registry_is_spread_over_time() -> None:
    failback_times = []
    for number in range(40):
        endpoint_list = FakeEndpointList()
        endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
        registries = [FakeRegistry(address) for address in ADDRESSES]
        relay = SimulatedRelay(registries, seed=number)
        sync_all(relay, endpoint_list)
        relay.subscription.start(0.0)
        relay.advance(0.1)
        first = relay.current_registry
        first.is_down = True
        first.lose_subscriptions()
        relay.advance(3.0)
        assert relay.current_registry is not first
        first.is_down = False
        while relay.current_registry is not first:
            relay.advance(0.5)
            for registry in registries:
                registry.sync(relay.now, endpoint_list)
            assert relay.now < 60
        failback_times.append(relay.now)
    assert max(failback_times) - min(failback_times) > FAILBACK_DELAY_S * 0.6
    assert max(Counter(int(time) for time in failback_times).values()) <= 8


def test_simultaneous_start_with_one_registry_down_spreads_relays_over_the_others() -> None:
    endpoint_list = FakeEndpointList()
    for destination in range(1, 11):
        endpoint_list.set_endpoint(f"h{destination}", destination, EndpointState.ACTIVE)
    registries = [FakeRegistry(address) for address in ADDRESSES]
    for registry in registries:
        registry.sync(0.0, endpoint_list)
    registries[0].is_down = True
    relays = [SimulatedRelay(registries, seed=number, name=f"relay-{number}") for number in range(480)]
    for relay in relays:
        relay.subscription.start(0.0)
        relay.look_up(*range(1, 11))
    for relay in relays:
        relay.advance(0.2)
    assert all(relay.subscription.mode is Mode.WATCHING and relay.matches(endpoint_list) for relay in relays)
    assert all({lookup[1] for lookup in relay.resolved} == {ResolutionStatus.RESOLVED} for relay in relays)
    assert max(len(relay.calls) for relay in relays) <= 4  # one failed call, one or two changes, the watch
    shares = [len(registry.subscriptions) for registry in registries]
    assert shares[0] == 0
    assert min(shares[1:]) > 180
    assert sum(shares) == 480


def test_backoff_without_registries_grows_to_its_maximum() -> None:
    _, registries, relay = make_subscribed_relay(registry_count=2)
    for registry in registries:
        registry.is_down = True
        registry.lose_subscriptions()
    relay.advance(10.0)
    began, calls = relay.now, len(relay.calls)
    relay.advance(60.0)
    # Two calls in each round; with full jitter a wait of up to 2 s takes 1 s on average.
    assert 60 <= len(relay.calls) - calls <= 200
    assert relay.now > began


def test_subscription_rejects_a_registry_of_another_fleet_with_one_log_line() -> None:
    endpoint_list = FakeEndpointList()
    endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
    registry = FakeRegistry(ADDRESSES[0], fleet="other")
    registry.sync(0.0, endpoint_list)
    relay = SimulatedRelay([registry])
    relay.subscription.start(0.0)
    relay.look_up(1)
    relay.advance(20.0)
    assert relay.endpoints == {}
    assert [lookup[1] for lookup in relay.resolved] == [ResolutionStatus.UNAVAILABLE]
    assert relay.log_lines == [f"registry 10.0.0.1:7500 serves the fleet 'other', not {FLEET}"]


# Set of destinations at the registry


def test_synchronization_after_a_lost_set_confirms_it_in_parts_and_receives_only_changes() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1, destinations=2500)
    relay.look_up(*range(1, 2501))
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert len(relay.endpoints) == 2500
    endpoint_list.set_endpoint("h7", 7, EndpointState.DRAINING)
    registries[0].lose_subscriptions()
    registries[0].sync(relay.now, endpoint_list)
    before, full_count = relay.now, relay.subscription.counts["cells"]
    relay.advance(2.5)
    parts = sent_changes(relay, before)
    assert [len(part.confirmed) for part in parts] == [
        MAX_DESTINATIONS_PER_CALL,
        MAX_DESTINATIONS_PER_CALL,
        500,
    ]
    assert not any(part.added for part in parts)
    assert [part.is_reset for part in parts] == [True, False, False]
    assert relay.subscription.counts["cells"] - full_count == 1
    assert relay.matches(endpoint_list)
    assert relay.endpoints[7]["h7"][0].state is EndpointState.DRAINING


def test_subscription_replaces_a_remote_set_with_a_different_checksum() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1)
    relay.look_up(1, 2)
    relay.advance(0.1)
    destinations, sequence = registries[0].subscriptions[relay.subscription.subscriber]
    destinations.discard(2)  # replaced by another destination: only the checksum differs
    destinations.add(3)
    endpoint_list.set_endpoint("h2", 2, EndpointState.DRAINING)
    registries[0].sync(relay.now, endpoint_list)
    relay.advance(2.2)
    assert relay.matches(endpoint_list)
    assert registries[0].subscriptions[relay.subscription.subscriber][0] == {1, 2}
    assert sequence < registries[0].subscriptions[relay.subscription.subscriber][1]


def test_idle_destinations_are_dropped_in_one_call_and_used_ones_stay() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(
        registry_count=1, destinations=50, idle_after=10.0
    )
    relay.look_up(*range(1, 51))
    relay.advance(5.0)
    relay.subscription.mark_used(relay.now, 1)
    relay.unreleasable = {2, 3}
    before = relay.now
    relay.advance(7.5)
    assert sorted(relay.endpoints) == [1, 2, 3]
    assert sorted(relay.release_candidates) == list(range(2, 51))
    dropped = [call.dropped for call in sent_changes(relay, before) if call.dropped]
    assert [sorted(destinations) for destinations in dropped] == [list(range(4, 51))]
    assert registries[0].subscriptions[relay.subscription.subscriber][0] == {1, 2, 3}
    relay.unreleasable = set()
    relay.advance(12.0)
    assert relay.endpoints == {}
    assert registries[0].subscriptions[relay.subscription.subscriber][0] == set()
    relay.look_up(1)
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert list(relay.endpoints) == [1]


def test_subscription_over_capacity_releases_the_least_recently_used_destinations() -> None:
    _, _, relay = make_subscribed_relay(registry_count=1, destinations=40, capacity=20)
    for destination in range(1, 41):
        relay.look_up(destination)
        relay.advance(0.1)
    relay.advance(1.5)
    assert sorted(relay.endpoints) == list(range(21, 41))


def test_destination_looked_up_again_before_its_drop_is_sent_is_resolved() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1, idle_after=10.0)
    relay.look_up(1)
    relay.advance(10.2)
    assert relay.endpoints == {}
    relay.look_up(1)
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert list(relay.endpoints) == [1]
    relay.advance(3.0)
    assert registries[0].subscriptions[relay.subscription.subscriber][0] == {1}
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.advance(0.1)
    assert relay.endpoints[1]["h1"][0].state is EndpointState.DRAINING


def test_successor_with_adopted_destinations_confirms_them_and_receives_only_changes() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1)
    relay.look_up(1, 2)
    relay.advance(0.1)
    relay.subscription.pause()
    relay.process_actions()
    endpoint_list.set_endpoint("h2", 2, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    successor = SimulatedRelay(registries, seed=2)
    successor.now = relay.now
    rows = [row for endpoints in relay.endpoints.values() for row in endpoints.values()]
    successor.subscription.adopt(successor.now, relay.subscription.revision, list(relay.endpoints), rows)
    successor.endpoints = relay.endpoints
    successor.subscription.start(successor.now)
    successor.advance(0.1)
    assert successor.matches(endpoint_list)
    assert successor.endpoints[2]["h2"][0].state is EndpointState.DRAINING
    (part,) = sent_changes(successor)
    assert part.confirmed == (1, 2)
    assert not part.added
    assert successor.subscription.counts["cells"] == 1


def test_paused_subscription_makes_no_calls_and_misses_no_change() -> None:
    endpoint_list, _, relay = make_subscribed_relay()
    relay.look_up(1)
    relay.advance(0.1)
    relay.subscription.pause()
    relay.process_actions()
    calls = len(relay.calls)
    relay.look_up(2)
    relay.advance(1.0)
    assert len(relay.calls) == calls
    assert relay.resolved[-1][:2] == (2, ResolutionStatus.UNAVAILABLE)
    endpoint_list.set_endpoint("h1", 1, EndpointState.DRAINING)
    sync_all(relay, endpoint_list)
    relay.subscription.start(relay.now)
    relay.advance(0.1)
    assert relay.matches(endpoint_list)
    assert set(relay.endpoints) == {1, 2}


def test_watches_answered_at_once_are_sent_at_the_minimum_interval() -> None:
    endpoint_list, registries, relay = make_subscribed_relay(registry_count=1)
    relay.look_up(1)
    relay.advance(0.1)
    before = relay.subscription.counts["watches"]
    for _ in range(1000):
        endpoint_list.set_endpoint("h1", 1, EndpointState.ACTIVE)
        registries[0].sync(relay.now, endpoint_list)
        relay.advance(0.001)
    assert relay.subscription.counts["watches"] - before <= 1.0 / 0.05 + 2
    assert all(
        isinstance(decode_request(call.target), SubscriptionWatch | SubscriptionChange)
        for _, call in relay.calls
    )


# Random schedules


def wait_for_synchronization(relay: SimulatedRelay) -> None:
    """Waits for a synchronization in progress, for instance of a failback."""
    if relay.subscription.mode is not Mode.WATCHING or relay.subscription.session.calls.change is not None:
        relay.advance(0.1)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 1 << 30),
    registry_count=st.integers(1, 3),
    steps=st.lists(
        st.tuples(
            st.sampled_from(
                [
                    "look up",
                    "look up",
                    "change list",
                    "change list",
                    "sync",
                    "stop",
                    "resume",
                    "take down",
                    "bring up",
                    "lose subscriptions",
                    "pause",
                    "wait",
                ]
            ),
            st.integers(0, 1000),
            st.floats(0.0, 3.0),
        ),
        max_size=40,
    ),
)
def test_published_destinations_equal_the_list_after_any_schedule_of_faults(
    seed: int, registry_count: int, steps: list[tuple[str, int, float]]
) -> None:
    """Responses are lost, duplicated, late and reordered; registries stop, fail, lose sets and lag behind."""
    rng = random.Random(seed)
    endpoint_list = FakeEndpointList()
    registries = [FakeRegistry(address) for address in ADDRESSES[:registry_count]]
    relay = SimulatedRelay(registries, Timing(idle_after=20.0, capacity=6), seed)
    relay.max_delay, relay.loss_rate, relay.duplicate_rate = 0.5, 0.1, 0.2
    for registry in registries:
        registry.sync(0.0, endpoint_list)
    relay.subscription.start(0.0)
    for step, number, wait in steps:
        registry = registries[number % registry_count]
        if step == "look up":
            relay.look_up(1 + number % 8)
        elif step == "change list":
            states = [
                EndpointState.ACTIVE,
                EndpointState.ACTIVE,
                EndpointState.DRAINING,
                EndpointState.REMOVED,
            ]
            endpoint_list.set_endpoint(f"h{number % 12}", 1 + rng.randrange(8), rng.choice(states))
            for other in registries:
                if rng.random() < 0.7:
                    other.sync(relay.now, endpoint_list)
        elif step == "sync":
            registry.sync(relay.now, endpoint_list)
        elif step == "stop":
            registry.is_running = False
        elif step == "resume":
            registry.resume(relay.now)
        elif step in ("take down", "bring up"):
            registry.is_down = step == "take down"
            registry.lose_subscriptions()
        elif step == "lose subscriptions":
            registry.lose_subscriptions()
        elif step == "pause":
            relay.subscription.pause()
            relay.process_actions()
            relay.advance(wait)
            relay.subscription.start(relay.now)
        relay.advance(wait)
    relay.loss_rate = relay.duplicate_rate = 0.0
    relay.max_delay = 0.01
    for registry in registries:
        registry.is_down = False
        registry.resume(relay.now)
        registry.sync(relay.now, endpoint_list)
    lookup_count = len(relay.resolved)
    for _ in range(12):
        for registry in registries:
            registry.sync(relay.now, endpoint_list)
        relay.advance(1.0)
    wait_for_synchronization(relay)
    assert relay.subscription.mode is Mode.WATCHING
    assert relay.subscription.revision == endpoint_list.revision
    relay.look_up(1, 2, 3)
    relay.advance(0.15)
    for registry in registries:
        registry.sync(relay.now, endpoint_list)
    relay.advance(0.1)
    wait_for_synchronization(relay)
    assert relay.matches(endpoint_list)
    assert {1, 2, 3} <= set(relay.subscription.table.destinations)
    assert {lookup[0] for lookup in relay.resolved[lookup_count:]} >= {1, 2, 3}
    assert (
        relay.current_registry.subscriptions[relay.subscription.subscriber][0]
        == relay.subscription.session.batch.subscribed
    )
    destination_of = {
        endpoint: destination for destination, endpoints in relay.endpoints.items() for endpoint in endpoints
    }
    assert destination_of == relay.subscription.table.destination_of
