"""Subscriptions: the order of calls, lost and repeated ones, and the watches that a change ends."""

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
from tests.standins.discovery import row


class World:
    """A registry's two pure parts, and a clock."""

    def __init__(self, cells: int = 20, keep_gone: int = 100) -> None:
        self.catalog = Catalog(keep_gone)
        self.catalog.load(1, [decode_entry(row(f"h{i}", i)) for i in range(cells)])
        self.of = Subscriptions("f", self.catalog, 30.0)
        self.now = 0.0

    def change(
        self, seq: int, name: str = "a.1", reset: bool = False, index: int = 0, **cells: Any
    ) -> SubscriptionUpdate:
        return self.of.change(SubscriptionChange("f", name, seq, index, is_reset=reset, **cells), self.now)

    def watch(self, index: int, name: str = "a.1", token: Any = None) -> SubscriptionUpdate | WaitingWatch:
        """The answer at once, or what waits."""
        told, _ = self.of.watch(SubscriptionWatch("f", name, index, 2000), token, self.now)
        waits = self.of.by_subscriber[name].watch
        assert (told is None) != (waits is None)
        return told or waits  # type: ignore[return-value]

    def list_changes(self, *rows: dict[str, Any]) -> list[WaitingWatch]:
        """Gives the watches that it wakes."""
        revision = self.catalog.revision + 1
        for cell in self.catalog.apply(revision, [decode_entry(told) for told in rows]):
            self.of.destination_changed(cell, revision)
        return self.of.pop_affected_watches()


def ids(told: SubscriptionUpdate | WaitingWatch) -> list[tuple[str, str]]:
    assert isinstance(told, SubscriptionUpdate)
    return [(r["id"], r["phase"]) for r in map(json.loads, told.rows)]


def refused(w: World, call: SubscriptionChange | SubscriptionWatch) -> int:
    with pytest.raises(RequestRejectedError) as caught:
        if isinstance(call, SubscriptionChange):
            w.of.change(call, w.now)
        else:
            w.of.watch(call, None, w.now)
    assert "\n" not in str(caught.value)
    return caught.value.status


def test_added_destinations_are_full_and_others_are_not() -> None:
    w = World()
    told = w.change(1, reset=True, added=(3, 5, 99))
    assert told.full_destinations == (3, 5, 99)
    assert ids(told) == [("h3", "Ready"), ("h5", "Ready")]
    assert (told.sequence, told.size, told.checksum) == (1, 3, checksum((3, 5, 99)))
    told = w.change(2, added=(7,), dropped=(3, 4))
    assert told.full_destinations == (7,)
    assert ids(told) == [("h7", "Ready")]
    assert (told.sequence, told.size, told.checksum) == (2, 3, checksum((5, 99, 7)))


def test_confirmed_destinations_are_sent_only_where_they_changed() -> None:
    w = World()
    w.list_changes(row("h3", 3, "Terminating"))
    told = w.change(1, reset=True, index=1, confirmed=(3, 5, 99))
    assert told.full_destinations == (3,)
    assert ids(told) == [("h3", "Terminating")]
    assert told.size == 3
    told = w.change(2, index=0, confirmed=(5,))  # older than all that is known
    assert told.full_destinations == (5,)
    told = w.change(3, index=7, confirmed=(5,))  # newer than this registry: it can't tell
    assert told.full_destinations == (5,)


def test_overtaken_change_is_rejected_and_a_repeated_one_is_harmless() -> None:
    w = World()
    w.change(5, reset=True, added=(1,))
    told = w.change(7, added=(2,))
    assert told == w.change(7, added=(2,))  # its answer was lost
    assert refused(w, SubscriptionChange("f", "a.1", 6, added=(3,))) == GONE
    assert refused(w, SubscriptionChange("f", "a.1", 6, added=(3,), is_reset=True)) == GONE
    assert w.change(8).size == 2


def test_unknown_subscriber_and_other_fleet_are_rejected() -> None:
    w = World()
    assert refused(w, SubscriptionChange("f", "a.1", 1, added=(3,))) == GONE
    assert refused(w, SubscriptionWatch("f", "a.1", 1, 0)) == GONE
    assert refused(w, SubscriptionChange("g", "a.1", 1, added=(3,), is_reset=True)) == FORBIDDEN
    assert refused(w, SubscriptionWatch("g", "a.1", 1, 0)) == FORBIDDEN
    assert not w.of.by_subscriber


def test_reset_empties_the_set() -> None:
    w = World()
    w.change(1, reset=True, added=(1, 2, 3))
    told = w.change(2, reset=True, added=(4,))
    assert (told.size, told.checksum, w.of.destination_count) == (1, 4, 1)
    assert isinstance(w.watch(1), WaitingWatch)
    assert w.list_changes(row("h1", 1, "Terminating")) == []


def test_change_ends_only_the_watches_it_concerns() -> None:
    w = World()
    for number in range(10):
        w.change(1, name=f"r{number}.1", reset=True, added=(number, number + 1))
        w.watch(1, name=f"r{number}.1", token=number)
    woken = w.list_changes(row("h4", 4, "Terminating"))
    assert sorted(parked.token for parked in woken) == [3, 4]
    assert w.of.ended_by_change == 2
    for parked in woken:
        assert ids(w.of.end(parked, w.now)) == [("h4", "Terminating")]
    assert w.of.waiting_watches == 8
    assert w.list_changes(row("x", 19)) == []
    assert w.of.ended_by_change == 2


@pytest.mark.parametrize("count", [1, 2, 3, 8, 9, 10, 40])
def test_destination_has_any_number_of_subscribers(count: int) -> None:
    w = World()
    for number in range(count):
        w.change(1, name=f"r{number}.1", reset=True, added=(3, 4))
    for left in range(count, -1, -1):  # one after the other lets go of it
        for number in range(count):
            w.watch(w.catalog.revision, name=f"r{number}.1", token=number)
        woken = w.list_changes(row("h3", 3, locality=f"at {left}"))
        assert sorted(parked.token for parked in woken) == list(range(count - left, count))
        if left:
            w.change(2, name=f"r{count - left}.1", dropped=(3,))
    assert w.of.destination_count == count


def test_watch_is_answered_at_once_with_newer_changes() -> None:
    w = World()
    w.change(1, reset=True, added=(3, 4))
    w.list_changes(row("h3", 3, "Terminating"))
    w.list_changes(row("h9", 9, "Gone"))
    assert ids(w.watch(1)) == [("h3", "Terminating")]
    assert isinstance(w.watch(2), WaitingWatch)


def test_endpoint_that_moved_is_sent_as_removed_first() -> None:
    w = World()
    w.change(1, reset=True, added=(3, 8))
    w.list_changes(row("h8", 3))
    assert ids(w.watch(1)) == [("h8", "Gone"), ("h8", "Ready")]


def test_discarded_tombstones_make_their_destination_full() -> None:
    w = World(keep_gone=0)
    w.change(1, reset=True, added=(3, 4, 5))
    w.list_changes(row("h3", 3, "Gone"), row("h4", 4, "Terminating"))
    told = w.watch(1)
    assert isinstance(told, SubscriptionUpdate)
    assert told.full_destinations == (3, 4)
    assert ids(told) == [("h4", "Terminating")]


def test_newer_watch_ends_the_older_without_changes() -> None:
    w = World()
    w.change(1, reset=True, added=(3,))
    first = w.watch(1, token="first")
    assert isinstance(first, WaitingWatch)
    told, older = w.of.watch(SubscriptionWatch("f", "a.1", 1, 0), "second", w.now)
    assert told is None
    assert older is first
    assert not first.is_waiting
    assert w.of.waiting_watches == 1
    woken = w.list_changes(row("h3", 3, "Terminating"))
    assert [parked.token for parked in woken] == ["second"]


def test_watch_during_a_commit_misses_no_change() -> None:
    """Its cell was touched already, but the revision that tells so does not hold yet."""
    w = World()
    w.change(1, reset=True, added=(3,))
    staged = StagedList(w.catalog)
    staged.add([decode_entry(row("h3", 3, "Terminating")), decode_entry(row("h4", 4, "Gone"))])
    steps = w.catalog.commit(staged, 2, False)
    w.of.destination_changed(next(steps), 2)
    parked = w.watch(1)
    assert isinstance(parked, WaitingWatch)  # no busy loop at the revision that is held
    for cell in steps:
        w.of.destination_changed(cell, 2)
    assert w.of.pop_affected_watches() == [parked]
    assert ids(w.of.end(parked, 0.0)) == [("h3", "Terminating")]


def test_restarted_revisions_end_all_watches() -> None:
    w = World()
    w.catalog.apply(900, [])
    w.change(1, reset=True, added=(3,))
    parked = w.watch(900)
    assert isinstance(parked, WaitingWatch)
    w.catalog.load(2, [decode_entry(row("h3", 3))])
    assert w.of.pop_affected_watches(is_restarted=True) == [parked]
    told = w.of.end(parked, w.now)
    assert not told.rows
    assert not told.full_destinations
    assert w.catalog.revision == 2
    assert w.change(2, index=900, confirmed=(3,)).full_destinations == (3,)
    assert refused(w, SubscriptionWatch("f", "a.1", 2, 0)) == GONE
    assert w.change(3, reset=True, index=2, confirmed=(3,)).full_destinations == (3,)
    assert isinstance(w.watch(2), WaitingWatch)
    assert w.change(4, index=2, confirmed=(3,)).full_destinations == ()


def test_restarted_revisions_that_reach_the_old_number_are_detected() -> None:
    """The relay did not call meanwhile: from the numbers it can't see that these are others."""
    w = World()
    w.change(1, reset=True, added=(3, 4))
    w.list_changes()
    w.catalog.load(1, [decode_entry(row("h3", 3, "Terminating")), decode_entry(row("h4", 4))])
    w.of.pop_affected_watches(is_restarted=True)
    w.list_changes(row("h9", 9))
    assert w.catalog.revision == 2
    assert refused(w, SubscriptionWatch("f", "a.1", 2, 0)) == GONE
    told = w.change(2, reset=True, index=2, confirmed=(3,))
    assert told.full_destinations == (3,)
    assert ids(told) == [("h3", "Terminating")]
    assert w.change(3, index=2, confirmed=(4,)).full_destinations == (4,)  # the set came in two calls
    assert isinstance(w.watch(2), WaitingWatch)


def test_subscription_expires_without_calls_but_not_while_a_watch_waits() -> None:
    w = World()
    w.change(1, reset=True, added=(3, 4))
    w.change(1, name="b.1", reset=True, added=(3,))
    parked = w.watch(1, name="b.1")
    assert isinstance(parked, WaitingWatch)
    w.now = 29.0
    assert w.of.expire(w.now) == 0
    w.now = 31.0
    assert w.of.expire(w.now) == 1
    assert set(w.of.by_subscriber) == {"b.1"}
    assert w.of.destination_count == 1
    assert refused(w, SubscriptionWatch("f", "a.1", 1, 0)) == GONE
    w.now = 100.0
    assert w.of.expire(w.now) == 0
    w.of.end(parked, w.now)
    w.now = 129.0
    assert w.of.expire(w.now) == 0
    w.now = 131.0
    assert w.of.expire(w.now) == 1
    assert not w.of.destination_count
    w.change(1, reset=True, added=(3,))
    left = w.watch(1)
    assert isinstance(left, WaitingWatch)
    w.of.abandon(left, 200.0)  # its connection ended
    assert not left.is_waiting
    assert w.of.waiting_watches == 0
    assert w.list_changes(row("h3", 3, "Gone")) == []
    assert w.of.expire(229.0) == 0
    assert w.of.expire(231.0) == 1


def test_watch_with_too_many_full_destinations_is_rejected() -> None:
    w = World(cells=2 * MAX_DESTINATIONS_PER_CALL)
    cells = tuple(range(MAX_DESTINATIONS_PER_CALL + 1))
    w.change(1, reset=True, added=cells[:MAX_DESTINATIONS_PER_CALL])
    w.change(2, added=cells[MAX_DESTINATIONS_PER_CALL:])
    assert refused(w, SubscriptionWatch("f", "a.1", 0, 0)) == GONE
    w.change(3, dropped=(0,))
    told = w.watch(0)
    assert isinstance(told, SubscriptionUpdate)
    assert len(told.full_destinations) == MAX_DESTINATIONS_PER_CALL


def test_cost_of_a_change_does_not_depend_on_the_list() -> None:
    """Counted in looks at cells: no walk through what did not change."""
    looks: list[int] = []

    class Counting(Catalog):
        def last_change(self, cell: int) -> int:
            looks.append(cell)
            return super().last_change(cell)

    w = World(cells=2000)
    w.catalog.__class__ = Counting
    for number in range(100):
        w.change(1, name=f"r{number}.1", reset=True, added=tuple(range(20 * number, 20 * number + 20)))
        w.watch(1, name=f"r{number}.1")
    looks.clear()
    woken = w.list_changes(row("h45", 45, "Terminating"))
    assert len(woken) == 1
    assert looks == []
    w.of.end(woken[0], w.now)
    assert set(looks) == set(range(40, 60))
    assert len(looks) <= 2 * 20
    looks.clear()
    for number in range(100):
        parked = w.of.by_subscriber[f"r{number}.1"].watch
        if parked is not None:
            w.of.end(parked, w.now)  # its time is up: nothing is newer, and no cell is looked at
    assert looks == []


def test_subscription_is_small() -> None:
    """Of 363 destinations that nobody else is subscribed to. The whole process: benchmarks/registry.py."""
    w = World(cells=100 * 363)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(100):
            w.change(1, name=f"r{number}.1", reset=True, added=tuple(range(363 * number, 363 * (number + 1))))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (after - before) / 100 < 64 << 10
