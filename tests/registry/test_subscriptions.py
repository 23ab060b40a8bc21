"""Which relay is told of which cells: the order of its calls, what is lost, and whom a change wakes."""

from __future__ import annotations

import json
import tracemalloc
from typing import Any

import pytest

from loftrelay.registry.catalog import Catalog, Staged
from loftrelay.registry.listing import read_entry
from loftrelay.registry.protocol import FORBIDDEN, GONE, MOST_CELLS, Change, Watch, checksum
from loftrelay.registry.subscriptions import Parked, Refused, Subscriptions, Told
from tests.standins.discovery import row


class World:
    """A registry's two pure parts, and a clock."""

    def __init__(self, cells: int = 20, keep_gone: int = 100) -> None:
        self.catalog = Catalog(keep_gone)
        self.catalog.load(1, [read_entry(row(f"h{i}", i)) for i in range(cells)])
        self.of = Subscriptions("f", self.catalog, 30.0)
        self.now = 0.0

    def change(self, seq: int, name: str = "a.1", reset: bool = False, index: int = 0, **cells: Any) -> Told:
        return self.of.change(Change("f", name, seq, index, reset=reset, **cells), self.now)

    def watch(self, index: int, name: str = "a.1", token: Any = None) -> Told | Parked:
        """The answer at once, or what waits."""
        told, _ = self.of.watch(Watch("f", name, index, 2000), token, self.now)
        waits = self.of.of[name].watch
        assert (told is None) != (waits is None)
        return told or waits  # type: ignore[return-value]

    def list_changes(self, *rows: dict[str, Any]) -> list[Parked]:
        """Gives the watches that it wakes."""
        revision = self.catalog.revision + 1
        for cell in self.catalog.apply(revision, [read_entry(told) for told in rows]):
            self.of.touch(cell, revision)
        return self.of.wake()


def ids(told: Told | Parked) -> list[tuple[str, str]]:
    assert isinstance(told, Told)
    return [(r["id"], r["phase"]) for r in map(json.loads, told.rows)]


def refused(w: World, call: Change | Watch) -> int:
    with pytest.raises(Refused) as caught:
        if isinstance(call, Change):
            w.of.change(call, w.now)
        else:
            w.of.watch(call, None, w.now)
    assert "\n" not in str(caught.value)
    return caught.value.status


def test_added_cells_are_told_whole_and_others_are_not() -> None:
    w = World()
    told = w.change(1, reset=True, add=(3, 5, 99))
    assert told.cells == (3, 5, 99)
    assert ids(told) == [("h3", "Ready"), ("h5", "Ready")]
    assert (told.seq, told.count, told.sum) == (1, 3, checksum((3, 5, 99)))
    told = w.change(2, add=(7,), drop=(3, 4))
    assert told.cells == (7,)
    assert ids(told) == [("h7", "Ready")]
    assert (told.seq, told.count, told.sum) == (2, 3, checksum((5, 99, 7)))


def test_what_the_relay_has_is_told_only_where_it_changed() -> None:
    w = World()
    w.list_changes(row("h3", 3, "Terminating"))
    told = w.change(1, reset=True, index=1, have=(3, 5, 99))
    assert told.cells == (3,)
    assert ids(told) == [("h3", "Terminating")]
    assert told.count == 3
    told = w.change(2, index=0, have=(5,))  # older than all that is known
    assert told.cells == (5,)
    told = w.change(3, index=7, have=(5,))  # newer than this registry: it can't tell
    assert told.cells == (5,)


def test_an_overtaken_change_is_refused_and_a_repeated_one_does_no_harm() -> None:
    w = World()
    w.change(5, reset=True, add=(1,))
    told = w.change(7, add=(2,))
    assert told == w.change(7, add=(2,))  # its answer was lost
    assert refused(w, Change("f", "a.1", 6, add=(3,))) == GONE
    assert refused(w, Change("f", "a.1", 6, add=(3,), reset=True)) == GONE
    assert w.change(8).count == 2


def test_who_is_not_known_and_who_is_of_another_fleet_is_told_so() -> None:
    w = World()
    assert refused(w, Change("f", "a.1", 1, add=(3,))) == GONE
    assert refused(w, Watch("f", "a.1", 1, 0)) == GONE
    assert refused(w, Change("g", "a.1", 1, add=(3,), reset=True)) == FORBIDDEN
    assert refused(w, Watch("g", "a.1", 1, 0)) == FORBIDDEN
    assert not w.of.of


def test_a_reset_begins_with_nothing() -> None:
    w = World()
    w.change(1, reset=True, add=(1, 2, 3))
    told = w.change(2, reset=True, add=(4,))
    assert (told.count, told.sum, w.of.cells) == (1, 4, 1)
    assert isinstance(w.watch(1), Parked)
    assert w.list_changes(row("h1", 1, "Terminating")) == []


def test_a_change_wakes_those_whom_it_concerns_and_nobody_else() -> None:
    w = World()
    for number in range(10):
        w.change(1, name=f"r{number}.1", reset=True, add=(number, number + 1))
        w.watch(1, name=f"r{number}.1", token=number)
    woken = w.list_changes(row("h4", 4, "Terminating"))
    assert sorted(parked.token for parked in woken) == [3, 4]
    assert w.of.woken == 2
    for parked in woken:
        assert ids(w.of.end(parked, w.now)) == [("h4", "Terminating")]
    assert w.of.watches == 8
    assert w.list_changes(row("x", 19)) == []
    assert w.of.woken == 2


@pytest.mark.parametrize("count", [1, 2, 3, 8, 9, 10, 40])
def test_a_cell_has_any_number_of_subscribers(count: int) -> None:
    w = World()
    for number in range(count):
        w.change(1, name=f"r{number}.1", reset=True, add=(3, 4))
    for left in range(count, -1, -1):  # one after the other lets go of it
        for number in range(count):
            w.watch(w.catalog.revision, name=f"r{number}.1", token=number)
        woken = w.list_changes(row("h3", 3, locality=f"at {left}"))
        assert sorted(parked.token for parked in woken) == list(range(count - left, count))
        if left:
            w.change(2, name=f"r{count - left}.1", drop=(3,))
    assert w.of.cells == count


def test_a_watch_is_answered_at_once_where_something_is_newer() -> None:
    w = World()
    w.change(1, reset=True, add=(3, 4))
    w.list_changes(row("h3", 3, "Terminating"))
    w.list_changes(row("h9", 9, "Gone"))
    assert ids(w.watch(1)) == [("h3", "Terminating")]
    assert isinstance(w.watch(2), Parked)


def test_a_host_that_moved_between_two_told_cells_is_told_gone_first() -> None:
    w = World()
    w.change(1, reset=True, add=(3, 8))
    w.list_changes(row("h8", 3))
    assert ids(w.watch(1)) == [("h8", "Gone"), ("h8", "Ready")]


def test_what_is_forgotten_is_told_by_its_cell_and_only_where_it_changed() -> None:
    w = World(keep_gone=0)
    w.change(1, reset=True, add=(3, 4, 5))
    w.list_changes(row("h3", 3, "Gone"), row("h4", 4, "Terminating"))
    told = w.watch(1)
    assert isinstance(told, Told)
    assert told.cells == (3, 4)
    assert ids(told) == [("h4", "Terminating")]


def test_a_newer_watch_ends_the_older_with_nothing_new() -> None:
    w = World()
    w.change(1, reset=True, add=(3,))
    first = w.watch(1, token="first")
    assert isinstance(first, Parked)
    told, older = w.of.watch(Watch("f", "a.1", 1, 0), "second", w.now)
    assert told is None
    assert older is first
    assert not first.open
    assert w.of.watches == 1
    woken = w.list_changes(row("h3", 3, "Terminating"))
    assert [parked.token for parked in woken] == ["second"]


def test_a_watch_that_comes_while_a_change_is_put_in_force_is_not_missed() -> None:
    """Its cell was touched already, but the revision that tells so does not hold yet."""
    w = World()
    w.change(1, reset=True, add=(3,))
    staged = Staged(w.catalog)
    staged.take([read_entry(row("h3", 3, "Terminating")), read_entry(row("h4", 4, "Gone"))])
    steps = w.catalog.settle(staged, 2, False)
    w.of.touch(next(steps), 2)
    parked = w.watch(1)
    assert isinstance(parked, Parked)  # no busy loop at the revision that is held
    for cell in steps:
        w.of.touch(cell, 2)
    assert w.of.wake() == [parked]
    assert ids(w.of.end(parked, 0.0)) == [("h3", "Terminating")]


def test_a_new_count_wakes_all_and_tells_its_lower_revision() -> None:
    w = World()
    w.catalog.apply(900, [])
    w.change(1, reset=True, add=(3,))
    parked = w.watch(900)
    assert isinstance(parked, Parked)
    w.catalog.load(2, [read_entry(row("h3", 3))])
    assert w.of.wake(everyone=True) == [parked]
    told = w.of.end(parked, w.now)
    assert not told.rows
    assert not told.cells
    assert w.catalog.revision == 2
    assert w.change(2, index=900, have=(3,)).cells == (3,)
    assert refused(w, Watch("f", "a.1", 2, 0)) == GONE
    assert w.change(3, reset=True, index=2, have=(3,)).cells == (3,)
    assert isinstance(w.watch(2), Parked)
    assert w.change(4, index=2, have=(3,)).cells == ()


def test_a_new_count_that_has_come_up_to_the_old_number_is_told_all_the_same() -> None:
    """The relay did not call meanwhile: from the numbers it can't see that these are others."""
    w = World()
    w.change(1, reset=True, add=(3, 4))
    w.list_changes()
    w.catalog.load(1, [read_entry(row("h3", 3, "Terminating")), read_entry(row("h4", 4))])
    w.of.wake(everyone=True)
    w.list_changes(row("h9", 9))
    assert w.catalog.revision == 2
    assert refused(w, Watch("f", "a.1", 2, 0)) == GONE
    told = w.change(2, reset=True, index=2, have=(3,))
    assert told.cells == (3,)
    assert ids(told) == [("h3", "Terminating")]
    assert w.change(3, index=2, have=(4,)).cells == (4,)  # the set came in two calls
    assert isinstance(w.watch(2), Parked)


def test_a_subscription_goes_after_a_while_without_a_call_but_not_while_it_waits() -> None:
    w = World()
    w.change(1, reset=True, add=(3, 4))
    w.change(1, name="b.1", reset=True, add=(3,))
    parked = w.watch(1, name="b.1")
    assert isinstance(parked, Parked)
    w.now = 29.0
    assert w.of.expire(w.now) == 0
    w.now = 31.0
    assert w.of.expire(w.now) == 1
    assert set(w.of.of) == {"b.1"}
    assert w.of.cells == 1
    assert refused(w, Watch("f", "a.1", 1, 0)) == GONE
    w.now = 100.0
    assert w.of.expire(w.now) == 0
    w.of.end(parked, w.now)
    w.now = 129.0
    assert w.of.expire(w.now) == 0
    w.now = 131.0
    assert w.of.expire(w.now) == 1
    assert not w.of.cells
    w.change(1, reset=True, add=(3,))
    left = w.watch(1)
    assert isinstance(left, Parked)
    w.of.left(left, 200.0)  # its connection ended
    assert not left.open
    assert w.of.watches == 0
    assert w.list_changes(row("h3", 3, "Gone")) == []
    assert w.of.expire(229.0) == 0
    assert w.of.expire(231.0) == 1


def test_a_watch_that_would_tell_too_much_at_once_has_the_set_told_anew_in_parts() -> None:
    w = World(cells=2 * MOST_CELLS)
    cells = tuple(range(MOST_CELLS + 1))
    w.change(1, reset=True, add=cells[:MOST_CELLS])
    w.change(2, add=cells[MOST_CELLS:])
    assert refused(w, Watch("f", "a.1", 0, 0)) == GONE
    w.change(3, drop=(0,))
    told = w.watch(0)
    assert isinstance(told, Told)
    assert len(told.cells) == MOST_CELLS


def test_a_change_costs_what_it_concerns_however_large_the_list_is() -> None:
    """Counted in looks at cells: no walk through what did not change."""
    looks: list[int] = []

    class Counting(Catalog):
        def changed(self, cell: int) -> int:
            looks.append(cell)
            return super().changed(cell)

    w = World(cells=2000)
    w.catalog.__class__ = Counting
    for number in range(100):
        w.change(1, name=f"r{number}.1", reset=True, add=tuple(range(20 * number, 20 * number + 20)))
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
        parked = w.of.of[f"r{number}.1"].watch
        if parked is not None:
            w.of.end(parked, w.now)  # its time is up: nothing is newer, and no cell is looked at
    assert looks == []


def test_a_subscription_is_small() -> None:
    """Of 363 destinations that nobody else is subscribed to. The whole process: benchmarks/registry.py."""
    w = World(cells=100 * 363)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for number in range(100):
            w.change(1, name=f"r{number}.1", reset=True, add=tuple(range(363 * number, 363 * (number + 1))))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert (after - before) / 100 < 64 << 10
