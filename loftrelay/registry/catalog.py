"""The whole list by cell, ready to be sent, and what changed in it after which revision.

Each host has one slot: its row as JSON bytes, its cell and the revision of its last change; a host that is
listed no longer keeps its slot for a while, as a tombstone ("Gone"), so that who missed the change can still
be told of it. What a change costs goes by the change, not by the list. Pure: entries in, rows out.
"""

from __future__ import annotations

import json
from array import array
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Generic, NamedTuple, TypeVar

from loftrelay.registry.listing import Entry, gone

RECENT = 10_000  # hosts whose changes can be told to who takes the whole list, and in cells of many hosts
MANY = 64  # hosts of a cell beyond which its changes are looked up among the recent ones


K = TypeVar("K")
V = TypeVar("V")


class Parts(Generic[K, V]):
    """A dict in parts: one that grows is copied whole, and with 870,000 keys that takes 30 ms."""

    COUNT = 64

    def __init__(self) -> None:
        self.parts: list[dict[K, V]] = [{} for _ in range(self.COUNT)]

    def of(self, key: K) -> dict[K, V]:
        """The part in which that key stands, if it does."""
        return self.parts[hash(key) % self.COUNT]

    def get(self, key: K) -> V | None:
        return self.parts[hash(key) % self.COUNT].get(key)

    def values(self) -> Iterator[V]:
        return chain.from_iterable(part.values() for part in self.parts)

    def __len__(self) -> int:
        return sum(map(len, self.parts))


class Rows(NamedTuple):
    """A host that moved stands in two cells: who tells both tells first that it is gone from one."""

    gone: list[bytes]
    listed: list[bytes]


class Staged:
    """An answer of discovery on its way: what differs from the list that is held. Nothing of it holds before
    `Catalog.settle`, and nothing is kept of what is the same.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.first = not catalog.known  # there is nothing to compare with and nobody was told of anything
        self.changed: dict[str, Entry] = {}
        self.seen: bytearray | None = None  # by slot, those that are told and listed already
        if self.first:
            catalog.clear()

    def take(self, entries: Iterable[Entry]) -> None:
        catalog = self.catalog
        if self.first:
            for entry in entries:
                for _ in catalog.put(entry, 0):
                    pass
            return
        for entry in entries:
            slot = catalog.slots.get(entry.host)
            if slot is not None:
                if self.seen is None:
                    self.seen = bytearray(len(catalog.rows))
                self.seen[slot] = 1
                if catalog.rows[slot] == entry.row:
                    self.changed.pop(entry.host, None)  # of a host that stands twice the last row holds
                    continue
            self.changed[entry.host] = entry


class Catalog:
    """`keep_gone`: tombstones at most."""

    def __init__(self, keep_gone: int) -> None:
        self.keep_gone = keep_gone
        self.known = False  # there has been a list
        self.revision = 0
        self.changes = 0  # of hosts, since the start
        self.clear()

    def clear(self) -> None:
        # Below `floor` it is not known of any one host whether it changed; below `recent_floor` it can't be
        # told without a walk through all.
        self.floor = self.recent_floor = 0
        self.size = 0  # bytes of all rows that are listed
        self.slots: Parts[str, int] = Parts()  # by host, those listed
        self.rows: list[bytes | None] = []  # by slot, as are the next two
        self.cell_of = array("q")
        self.changed_at = array("q")
        self.by_cell: Parts[int, int | dict[int, None]] = Parts()  # one slot, or several; tombstones too
        self._last: dict[int, int] = {}  # revision of the last change of a cell with several slots
        self._gone: OrderedDict[int, str] = OrderedDict()  # tombstones -> host, the oldest first
        self._graves: dict[tuple[str, int], int] = {}  # the same by host and cell
        self._recent: OrderedDict[int, None] = OrderedDict()  # slots by their last change, the oldest first
        self._free: list[int] = []

    # What is told

    def _of(self, cell: int) -> Iterable[int]:
        slots = self.by_cell.get(cell)
        return (slots,) if isinstance(slots, int) else slots or ()

    def changed(self, cell: int) -> int:
        """The revision of its last change; where nothing is known of any, `floor`."""
        slots = self.by_cell.get(cell)
        return self.changed_at[slots] if isinstance(slots, int) else self._last.get(cell, self.floor)

    def whole(self, cell: int) -> list[bytes]:
        return [row for slot in self._of(cell) if slot not in self._gone and (row := self.rows[slot])]

    def since(self, cell: int, index: int) -> Rows | None:
        """What changed after `index`. None: that is not known, and the cell is to be told whole."""
        if self.changed(cell) <= index <= self.revision:
            return Rows([], [])
        if not self.floor <= index <= self.revision:
            return None
        slots: Iterable[int] = self._of(cell)
        if isinstance(slots, dict) and len(slots) > MANY and index >= self.recent_floor:
            slots = (slot for slot in self._after(index) if self.cell_of[slot] == cell)
        return self._rows(slot for slot in slots if self.changed_at[slot] > index)

    def all_since(self, index: int) -> Rows | None:
        """As `since`, of all cells."""
        if not max(self.floor, self.recent_floor) <= index <= self.revision:
            return None
        return self._rows(self._after(index))

    def all_rows(self) -> Iterator[bytes]:
        return (row for slot in self.slots.values() if (row := self.rows[slot]))

    def _after(self, index: int) -> Iterator[int]:
        for slot in reversed(self._recent):
            if self.changed_at[slot] <= index:
                return
            yield slot

    def _rows(self, slots: Iterable[int]) -> Rows:
        rows = Rows([], [])
        for slot in slots:
            row = self.rows[slot]
            assert row is not None
            (rows.gone if slot in self._gone else rows.listed).append(row)
        return rows

    # What is taken

    def load(self, revision: int, entries: Sequence[Entry]) -> set[int]:
        """A whole list. Gives the cells in which something changed."""
        staged = Staged(self)
        staged.take(entries)
        return set(self.settle(staged, revision, True))

    def apply(self, revision: int, entries: Sequence[Entry]) -> set[int]:
        """Changes since the revision that is held; ValueError if `revision` is below it."""
        staged = Staged(self)
        staged.take(entries)
        return set(self.settle(staged, revision, False))

    def settle(self, staged: Staged, revision: int, complete: bool) -> Iterator[int]:
        """Puts in force what was staged, host by host, and gives the cell of each that changed. It may be
        gone through in pieces, but must be to its end: until then the revision that was held stands, and what
        is told is of then or newer. A whole list with a revision below it is a new count: nothing older than
        it can be told from then on. Raises ValueError where changes don't follow the list that is held.
        """
        if not complete and (staged.first or revision < self.revision):
            raise ValueError(f"changes up to {revision} don't follow a list of {self.revision}")
        if staged.first:
            self.known = True
            self._renumber(revision)
            return
        anew = revision < self.revision
        number = self.revision + 1 if anew else revision
        for entry in staged.changed.values():
            yield from self.put(entry, number)
        if complete:
            seen = staged.seen or bytearray(len(self.rows))
            slot = seen.find(0)
            while slot >= 0:
                row = self.rows[slot]
                if row is not None and slot not in self._gone:
                    host = json.loads(row)["id"]
                    if host not in staged.changed:
                        yield self._bury(host, slot, number)
                slot = seen.find(0, slot + 1)
        if anew:
            while self._gone:
                self._discard(next(reversed(self._gone)))
            self._renumber(revision)
        self.revision = revision

    def _renumber(self, revision: int) -> None:
        self.changed_at = array("q", (revision,)) * len(self.rows)
        self._recent.clear()
        self._last.clear()
        self.revision = self.floor = self.recent_floor = revision

    def put(self, entry: Entry, number: int) -> Iterator[int]:
        """Gives the cells in which that changed something."""
        slot = self.slots.get(entry.host)
        if entry.gone:
            if slot is not None:
                yield self._bury(entry.host, slot, number)
            return
        if slot is not None:
            old = self.rows[slot]
            assert old is not None
            if old == entry.row:
                return
            if self.cell_of[slot] == entry.cell:
                self.size += len(entry.row) - len(old)
                self.rows[slot] = entry.row
                self._touch(slot, number)
                yield entry.cell
                return
            yield self._bury(entry.host, slot, number)  # it moved
        grave = self._graves.get((entry.host, entry.cell))
        if grave is not None:
            self._discard(grave)  # it is back
        slot = self._place(entry)
        self.slots.of(entry.host)[entry.host] = slot
        self.size += len(entry.row)
        self._touch(slot, number)
        yield entry.cell

    def _place(self, entry: Entry) -> int:
        if self._free:
            slot = self._free.pop()
            self.rows[slot], self.cell_of[slot] = entry.row, entry.cell
        else:
            slot = len(self.rows)
            self.rows.append(entry.row)
            self.cell_of.append(entry.cell)
            self.changed_at.append(0)
        there = self.by_cell.get(entry.cell)
        if there is None:
            self.by_cell.of(entry.cell)[entry.cell] = slot
        elif isinstance(there, int):
            self.by_cell.of(entry.cell)[entry.cell] = {there: None, slot: None}
            if self.known:
                self._last[entry.cell] = self.changed_at[there]
        else:
            there[slot] = None
        return slot

    def _touch(self, slot: int, number: int) -> None:
        self.changed_at[slot] = number
        if not self.known:
            return
        self.changes += 1
        cell = self.cell_of[slot]
        if not isinstance(self.by_cell.get(cell), int):
            self._last[cell] = number
        self._recent[slot] = None
        self._recent.move_to_end(slot)
        if len(self._recent) > RECENT:
            oldest, _ = self._recent.popitem(last=False)
            self.recent_floor = max(self.recent_floor, self.changed_at[oldest])

    def _bury(self, host: str, slot: int, number: int) -> int:
        row, cell = self.rows[slot], self.cell_of[slot]
        assert row is not None
        del self.slots.of(host)[host]
        self.size -= len(row)
        self.rows[slot] = gone(row)
        self._gone[slot] = host
        self._graves[host, cell] = slot
        self._touch(slot, number)
        while len(self._gone) > self.keep_gone:
            oldest = next(iter(self._gone))
            self.floor = max(self.floor, self.changed_at[oldest])
            self._discard(oldest)
        return cell

    def _discard(self, slot: int) -> None:
        """Of a tombstone."""
        cell = self.cell_of[slot]
        del self._graves[self._gone.pop(slot), cell]
        self._recent.pop(slot, None)
        self.rows[slot] = None
        part = self.by_cell.of(cell)
        there = part[cell]
        if isinstance(there, int):
            del part[cell]
        else:
            del there[slot]
            if not there:
                del part[cell]
                self._last.pop(cell, None)
        self._free.append(slot)

    @property
    def hosts(self) -> int:
        return len(self.slots)

    @property
    def tombstones(self) -> int:
        return len(self._gone)
