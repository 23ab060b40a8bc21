"""Subscriptions: the order of calls, lost and repeated calls, and the watches that a change ends."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import pytest

from loftrelay.registry.catalog import Catalog, StagedList
from loftrelay.registry.listing import decode_entry
from loftrelay.registry.protocol import (
    FORBIDDEN,
    GONE,
    MAX_DESTINATIONS_PER_CALL,
    SubscriptionChange,
    SubscriptionWatch,
    checksum,
)
from loftrelay.registry.subscriptions import (
    RequestRejectedError,
    Subscriptions,
    SubscriptionUpdate,
    WaitingWatch,
)
from tests.standins.fake_discovery import make_endpoint


class FakeRegistry:
    """Catalog and subscriptions of a registry, with a fake clock."""

    def __init__(self, destinations: int = 20, max_tombstones: int = 100) -> None:
        self.catalog = Catalog(max_tombstones)
        self.catalog.load(1, [decode_entry(make_endpoint(f"h{i}", i)) for i in range(destinations)])
        self.subscriptions = Subscriptions("f", self.catalog, 30.0)
        self.now = 0.0

    def change(
        self,
        sequence: int,
        name: str = "a.1",
        is_reset: bool = False,
        since: int = 0,
        **destinations: Any,
    ) -> SubscriptionUpdate:
        return self.subscriptions.change(
            SubscriptionChange("f", name, sequence, since, is_reset=is_reset, **destinations), self.now
        )

    def watch(self, since: int, name: str = "a.1", token: Any = None) -> SubscriptionUpdate | WaitingWatch:
        """Returns the immediate update or the waiting watch."""
        update, _ = self.subscriptions.watch(SubscriptionWatch("f", name, since, 2000), token, self.now)
        watch = self.subscriptions.by_subscriber[name].watch
        assert (update is None) != (watch is None)
        return update or watch  # type: ignore[return-value]

    def apply_delta(self, *rows: dict[str, Any]) -> list[WaitingWatch]:
        """Applies changed rows as the next revision and returns the affected watches."""
        revision = self.catalog.revision + 1
        for destination in self.catalog.apply(revision, [decode_entry(changed) for changed in rows]):
            self.subscriptions.destination_changed(destination, revision)
        return self.subscriptions.pop_affected_watches()


def endpoints_of(update: SubscriptionUpdate | WaitingWatch) -> list[tuple[str, str]]:
    assert isinstance(update, SubscriptionUpdate)
    return [(fields["id"], fields["phase"]) for fields in map(json.loads, update.rows)]


def rejection_status(registry: FakeRegistry, call: SubscriptionChange | SubscriptionWatch) -> int:
    with pytest.raises(RequestRejectedError) as caught:
        if isinstance(call, SubscriptionChange):
            registry.subscriptions.change(call, registry.now)
        else:
            registry.subscriptions.watch(call, None, registry.now)
    assert "\n" not in str(caught.value)
    return caught.value.status


def test_change_response_contains_added_destinations_in_full_and_no_others() -> None:
    registry = FakeRegistry()
    update = registry.change(1, is_reset=True, added=(3, 5, 99))
    assert update.full_destinations == (3, 5, 99)
    assert endpoints_of(update) == [("h3", "Ready"), ("h5", "Ready")]
    assert (update.sequence, update.size, update.checksum) == (1, 3, checksum((3, 5, 99)))
    update = registry.change(2, added=(7,), dropped=(3, 4))
    assert update.full_destinations == (7,)
    assert endpoints_of(update) == [("h7", "Ready")]
    assert (update.sequence, update.size, update.checksum) == (2, 3, checksum((5, 99, 7)))


def test_change_response_contains_only_changed_confirmed_destinations() -> None:
    registry = FakeRegistry()
    registry.apply_delta(make_endpoint("h3", 3, "Terminating"))
    update = registry.change(1, is_reset=True, since=1, confirmed=(3, 5, 99))
    assert update.full_destinations == (3,)
    assert endpoints_of(update) == [("h3", "Terminating")]
    assert update.size == 3
    update = registry.change(2, since=0, confirmed=(5,))  # changes after revision 0 are not known
    assert update.full_destinations == (5,)
    update = registry.change(3, since=7, confirmed=(5,))  # a revision that this registry does not have yet
    assert update.full_destinations == (5,)


def test_overtaken_change_is_rejected_and_a_repeated_one_has_no_effect() -> None:
    registry = FakeRegistry()
    registry.change(5, is_reset=True, added=(1,))
    update = registry.change(7, added=(2,))
    assert update == registry.change(7, added=(2,))  # repeated, as its response was lost
    assert rejection_status(registry, SubscriptionChange("f", "a.1", 6, added=(3,))) == GONE
    assert rejection_status(registry, SubscriptionChange("f", "a.1", 6, added=(3,), is_reset=True)) == GONE
    assert registry.change(8).size == 2


def test_call_of_unknown_subscriber_or_other_fleet_is_rejected() -> None:
    registry = FakeRegistry()
    assert rejection_status(registry, SubscriptionChange("f", "a.1", 1, added=(3,))) == GONE
    assert rejection_status(registry, SubscriptionWatch("f", "a.1", 1, 0)) == GONE
    assert (
        rejection_status(registry, SubscriptionChange("g", "a.1", 1, added=(3,), is_reset=True)) == FORBIDDEN
    )
    assert rejection_status(registry, SubscriptionWatch("g", "a.1", 1, 0)) == FORBIDDEN
    assert not registry.subscriptions.by_subscriber


def test_change_with_reset_empties_the_set_first() -> None:
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(1, 2, 3))
    update = registry.change(2, is_reset=True, added=(4,))
    assert (update.size, update.checksum, registry.subscriptions.destination_count) == (1, 4, 1)
    assert isinstance(registry.watch(1), WaitingWatch)
    assert registry.apply_delta(make_endpoint("h1", 1, "Terminating")) == []


def test_list_change_affects_only_the_watches_of_its_subscribers() -> None:
    registry = FakeRegistry()
    for number in range(10):
        registry.change(1, name=f"r{number}.1", is_reset=True, added=(number, number + 1))
        registry.watch(1, name=f"r{number}.1", token=number)
    affected = registry.apply_delta(make_endpoint("h4", 4, "Terminating"))
    assert sorted(watch.token for watch in affected) == [3, 4]
    assert registry.subscriptions.ended_by_change == 2
    for watch in affected:
        assert endpoints_of(registry.subscriptions.end_watch(watch, registry.now)) == [("h4", "Terminating")]
    assert registry.subscriptions.waiting_watches == 8
    assert registry.apply_delta(make_endpoint("x", 19)) == []
    assert registry.subscriptions.ended_by_change == 2


@pytest.mark.parametrize("count", [1, 2, 3, 8, 9, 10, 40])
def test_destination_with_any_number_of_subscribers_affects_those_that_remain(count: int) -> None:
    registry = FakeRegistry()
    for number in range(count):
        registry.change(1, name=f"r{number}.1", is_reset=True, added=(3, 4))
    for remaining in range(count, -1, -1):  # the subscribers drop it one by one
        for number in range(count):
            registry.watch(registry.catalog.revision, name=f"r{number}.1", token=number)
        affected = registry.apply_delta(make_endpoint("h3", 3, locality=f"at {remaining}"))
        assert sorted(watch.token for watch in affected) == list(range(count - remaining, count))
        if remaining:
            registry.change(2, name=f"r{count - remaining}.1", dropped=(3,))
    assert registry.subscriptions.destination_count == count


def test_watch_since_an_older_revision_returns_changes_immediately() -> None:
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3, 4))
    registry.apply_delta(make_endpoint("h3", 3, "Terminating"))
    registry.apply_delta(make_endpoint("h9", 9, "Gone"))
    assert endpoints_of(registry.watch(1)) == [("h3", "Terminating")]
    assert isinstance(registry.watch(2), WaitingWatch)


def test_watch_response_to_a_moved_endpoint_contains_its_removal_first() -> None:
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3, 8))
    registry.apply_delta(make_endpoint("h8", 3))
    assert endpoints_of(registry.watch(1)) == [("h8", "Gone"), ("h8", "Ready")]


def test_watch_response_without_tombstones_contains_full_destinations() -> None:
    registry = FakeRegistry(max_tombstones=0)
    registry.change(1, is_reset=True, added=(3, 4, 5))
    registry.apply_delta(make_endpoint("h3", 3, "Gone"), make_endpoint("h4", 4, "Terminating"))
    update = registry.watch(1)
    assert isinstance(update, SubscriptionUpdate)
    assert update.full_destinations == (3, 4)
    assert endpoints_of(update) == [("h4", "Terminating")]


def test_newer_watch_of_a_subscriber_replaces_the_older_one() -> None:
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3,))
    first = registry.watch(1, token="first")
    assert isinstance(first, WaitingWatch)
    update, older = registry.subscriptions.watch(SubscriptionWatch("f", "a.1", 1, 0), "second", registry.now)
    assert update is None
    assert older is first
    assert not first.is_waiting
    assert registry.subscriptions.waiting_watches == 1
    affected = registry.apply_delta(make_endpoint("h3", 3, "Terminating"))
    assert [watch.token for watch in affected] == ["second"]


def test_watch_started_during_a_commit_misses_no_change() -> None:
    """The watch starts after a change of its destination is applied and before the revision is committed."""
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3,))
    staged = StagedList(registry.catalog)
    staged.add(
        [decode_entry(make_endpoint("h3", 3, "Terminating")), decode_entry(make_endpoint("h4", 4, "Gone"))]
    )
    commit = registry.catalog.commit(staged, 2, False)
    registry.subscriptions.destination_changed(next(commit), 2)
    watch = registry.watch(1)
    # It waits: an immediate response with the old revision would cause a busy loop.
    assert isinstance(watch, WaitingWatch)
    for destination in commit:
        registry.subscriptions.destination_changed(destination, 2)
    assert registry.subscriptions.pop_affected_watches() == [watch]
    assert endpoints_of(registry.subscriptions.end_watch(watch, 0.0)) == [("h3", "Terminating")]


def test_restarted_revisions_affect_all_watches_and_require_a_reset() -> None:
    registry = FakeRegistry()
    registry.catalog.apply(900, [])
    registry.change(1, is_reset=True, added=(3,))
    watch = registry.watch(900)
    assert isinstance(watch, WaitingWatch)
    registry.catalog.load(2, [decode_entry(make_endpoint("h3", 3))])
    assert registry.subscriptions.pop_affected_watches(is_restarted=True) == [watch]
    update = registry.subscriptions.end_watch(watch, registry.now)
    assert not update.rows
    assert not update.full_destinations
    assert registry.catalog.revision == 2
    assert registry.change(2, since=900, confirmed=(3,)).full_destinations == (3,)
    assert rejection_status(registry, SubscriptionWatch("f", "a.1", 2, 0)) == GONE
    assert registry.change(3, is_reset=True, since=2, confirmed=(3,)).full_destinations == (3,)
    assert isinstance(registry.watch(2), WaitingWatch)
    assert registry.change(4, since=2, confirmed=(3,)).full_destinations == ()


def test_restarted_revisions_that_reach_the_old_revision_require_a_reset() -> None:
    """The relay made no call in between and cannot detect the restart from the numbers."""
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3, 4))
    registry.apply_delta()
    registry.catalog.load(
        1, [decode_entry(make_endpoint("h3", 3, "Terminating")), decode_entry(make_endpoint("h4", 4))]
    )
    registry.subscriptions.pop_affected_watches(is_restarted=True)
    registry.apply_delta(make_endpoint("h9", 9))
    assert registry.catalog.revision == 2
    assert rejection_status(registry, SubscriptionWatch("f", "a.1", 2, 0)) == GONE
    update = registry.change(2, is_reset=True, since=2, confirmed=(3,))
    assert update.full_destinations == (3,)
    assert endpoints_of(update) == [("h3", "Terminating")]
    assert registry.change(3, since=2, confirmed=(4,)).full_destinations == (4,)  # second part of the set
    assert isinstance(registry.watch(2), WaitingWatch)


def test_subscription_expires_without_calls_and_stays_while_a_watch_waits() -> None:
    registry = FakeRegistry()
    registry.change(1, is_reset=True, added=(3, 4))
    registry.change(1, name="b.1", is_reset=True, added=(3,))
    watch = registry.watch(1, name="b.1")
    assert isinstance(watch, WaitingWatch)
    registry.now = 29.0
    assert registry.subscriptions.expire(registry.now) == 0
    registry.now = 31.0
    assert registry.subscriptions.expire(registry.now) == 1
    assert set(registry.subscriptions.by_subscriber) == {"b.1"}
    assert registry.subscriptions.destination_count == 1
    assert rejection_status(registry, SubscriptionWatch("f", "a.1", 1, 0)) == GONE
    registry.now = 100.0
    assert registry.subscriptions.expire(registry.now) == 0
    registry.subscriptions.end_watch(watch, registry.now)
    registry.now = 129.0
    assert registry.subscriptions.expire(registry.now) == 0
    registry.now = 131.0
    assert registry.subscriptions.expire(registry.now) == 1
    assert not registry.subscriptions.destination_count
    registry.change(1, is_reset=True, added=(3,))
    disconnected = registry.watch(1)
    assert isinstance(disconnected, WaitingWatch)
    registry.subscriptions.abandon_watch(disconnected, 200.0)  # its connection was closed
    assert not disconnected.is_waiting
    assert registry.subscriptions.waiting_watches == 0
    assert registry.apply_delta(make_endpoint("h3", 3, "Gone")) == []
    assert registry.subscriptions.expire(229.0) == 0
    assert registry.subscriptions.expire(231.0) == 1


def test_watch_with_too_many_full_destinations_is_rejected() -> None:
    registry = FakeRegistry(destinations=2 * MAX_DESTINATIONS_PER_CALL)
    destinations = tuple(range(MAX_DESTINATIONS_PER_CALL + 1))
    registry.change(1, is_reset=True, added=destinations[:MAX_DESTINATIONS_PER_CALL])
    registry.change(2, added=destinations[MAX_DESTINATIONS_PER_CALL:])
    assert rejection_status(registry, SubscriptionWatch("f", "a.1", 0, 0)) == GONE
    registry.change(3, dropped=(0,))
    update = registry.watch(0)
    assert isinstance(update, SubscriptionUpdate)
    assert len(update.full_destinations) == MAX_DESTINATIONS_PER_CALL


def test_list_change_looks_up_only_destinations_of_affected_watches() -> None:
    """Counts the lookups of destinations in the catalog: unchanged ones are not visited."""
    lookups: list[int] = []

    class CountingCatalog(Catalog):
        def last_change(self, destination: int) -> int:
            lookups.append(destination)
            return super().last_change(destination)

    registry = FakeRegistry(destinations=2000)
    registry.catalog.__class__ = CountingCatalog
    for number in range(100):
        registry.change(
            1, name=f"r{number}.1", is_reset=True, added=tuple(range(20 * number, 20 * number + 20))
        )
        registry.watch(1, name=f"r{number}.1")
    lookups.clear()
    affected = registry.apply_delta(make_endpoint("h45", 45, "Terminating"))
    assert len(affected) == 1
    assert lookups == []
    registry.subscriptions.end_watch(affected[0], registry.now)
    assert set(lookups) == set(range(40, 60))
    assert len(lookups) <= 2 * 20
    lookups.clear()
    for number in range(100):
        watch = registry.subscriptions.by_subscriber[f"r{number}.1"].watch
        if watch is not None:
            # Expired without changes: no destination is looked up.
            registry.subscriptions.end_watch(watch, registry.now)
    assert lookups == []


def test_subscription_to_363_destinations_uses_under_64_kib() -> None:
    """Measures subscriptions to 363 destinations each, without other subscribers.

    benchmarks/registry.py measures the whole process.
    """
    registry = FakeRegistry(destinations=100 * 363)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(100):
            registry.change(
                1, name=f"r{number}.1", is_reset=True, added=tuple(range(363 * number, 363 * (number + 1)))
            )
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (after - before) / 100 < 64 << 10
