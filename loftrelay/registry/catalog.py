"""The full endpoint list by destination, ready to be sent, and what changed in it after which revision.

Each endpoint has one slot: its row as JSON, its destination and the revision of its last change. An endpoint
that is no longer listed keeps its slot for a while as a tombstone ("Gone"), so that those who missed the
change can still be sent it. The cost of a change depends on the change, not on the list. No input or output:
entries in, rows out.
"""

from __future__ import annotations

import json
from array import array
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Generic, NamedTuple, TypeVar

from loftrelay.registry.listing import ListEntry, removed_row

MAX_RECENT_CHANGES = 10_000  # endpoints whose changes are indexed by revision
LARGE_DESTINATION_ENDPOINTS = 64  # beyond which changes are looked up among the recent ones

K = TypeVar("K")
V = TypeVar("V")


class RevisionError(ValueError):
    """A delta does not follow the list that is held."""

    def __init__(self, revision: int, current_revision: int) -> None:
        super().__init__(f"changes up to {revision} don't follow a list of {current_revision}")
        self.revision, self.current_revision = revision, current_revision


class PartitionedDict(Generic[K, V]):
    """A dict in partitions: a single one of 870,000 keys takes 30 ms to be copied when it grows."""

    COUNT = 64

    def __init__(self) -> None:
        self.partitions: list[dict[K, V]] = [{} for _ in range(self.COUNT)]

    def partition(self, key: K) -> dict[K, V]:
        """Returns the partition that holds the key, if any does."""
        return self.partitions[hash(key) % self.COUNT]

    def get(self, key: K) -> V | None:
        """Returns the value of a key, or None."""
        return self.partitions[hash(key) % self.COUNT].get(key)

    def values(self) -> Iterator[V]:
        """Iterates over all values."""
        return chain.from_iterable(partition.values() for partition in self.partitions)

    def __len__(self) -> int:
        return sum(map(len, self.partitions))


class ChangedRows(NamedTuple):
    """Rows to send, removed ones before listed ones: an endpoint that moved stands in two destinations."""

    removed: list[bytes]
    listed: list[bytes]


class StagedList:
    """The differences between a list that is being received and the catalog.

    None of it is in force before `Catalog.commit`.

    Attributes:
        is_first: The catalog is empty: entries go into it directly.
        changed: Entries that differ, by endpoint.
        seen_slots: By slot, whether its endpoint was received; None where none was.
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.is_first = not catalog.is_loaded
        self.changed: dict[str, ListEntry] = {}
        self.seen_slots: bytearray | None = None
        if self.is_first:
            catalog.clear()

    def add(self, entries: Iterable[ListEntry]) -> None:
        """Stages entries as they are received."""
        if self.is_first:
            for entry in entries:
                for _ in self.catalog.put(entry, 0):
                    pass
            return
        for entry in entries:
            if not self._is_unchanged(entry):
                self.changed[entry.endpoint] = entry

    def _is_unchanged(self, entry: ListEntry) -> bool:
        slot = self.catalog.slots.get(entry.endpoint)
        if slot is None:
            return False
        if self.seen_slots is None:
            self.seen_slots = bytearray(len(self.catalog.rows))
        self.seen_slots[slot] = 1
        if self.catalog.rows[slot] != entry.row:
            return False
        self.changed.pop(entry.endpoint, None)  # of an endpoint that is listed twice the last row counts
        return True


class Catalog:
    """The list that is in force.

    Attributes:
        max_tombstones: Removed endpoints that are remembered.
        is_loaded: A list was received.
        revision: Discovery's revision of it.
        changes: Changed endpoints since the start.
        oldest_revision: Below it, it is unknown whether an endpoint changed.
        oldest_recent_revision: Below it, changes can only be found by looking at all endpoints.
        size_bytes: Size of all listed rows.
        slots: Slot of each listed endpoint.
        rows: Row of each slot.
        destination_of: Destination of each slot.
        changed_at: Revision of the last change of each slot.
        by_destination: Slots of each destination, tombstones among them; the slot itself where it has one.
    """

    def __init__(self, max_tombstones: int) -> None:
        self.max_tombstones = max_tombstones
        self.is_loaded = False
        self.revision = 0
        self.changes = 0
        self.clear()

    def clear(self) -> None:
        """Forgets all endpoints."""
        self.oldest_revision = self.oldest_recent_revision = 0
        self.size_bytes = 0
        self.slots: PartitionedDict[str, int] = PartitionedDict()
        self.rows: list[bytes | None] = []
        self.destination_of = array("q")
        self.changed_at = array("q")
        self.by_destination: PartitionedDict[int, int | dict[int, None]] = PartitionedDict()
        self._last_change: dict[int, int] = {}  # of destinations with several slots
        self._tombstones: OrderedDict[int, str] = OrderedDict()  # slot -> endpoint, oldest first
        self._tombstone_slots: dict[tuple[str, int], int] = {}  # by endpoint and destination
        self._recent: OrderedDict[int, None] = OrderedDict()  # slots by their last change, oldest first
        self._free: list[int] = []

    @property
    def endpoint_count(self) -> int:
        """Number of listed endpoints."""
        return len(self.slots)

    @property
    def tombstone_count(self) -> int:
        """Number of removed endpoints that are remembered."""
        return len(self._tombstones)

    # Queries

    def last_change(self, destination: int) -> int:
        """Returns the revision of a destination's last change; `oldest_revision` where none is known."""
        slots = self.by_destination.get(destination)
        if isinstance(slots, int):
            return self.changed_at[slots]
        return self._last_change.get(destination, self.oldest_revision)

    def full_rows(self, destination: int) -> list[bytes]:
        """Returns the rows of all listed endpoints of a destination."""
        slots = self._slots_of(destination)
        return [row for slot in slots if slot not in self._tombstones and (row := self.rows[slot])]

    def changes_since(self, destination: int, revision: int) -> ChangedRows | None:
        """Returns what changed in a destination after a revision; None where that is unknown."""
        if self.last_change(destination) <= revision <= self.revision:
            return ChangedRows([], [])
        if not self.oldest_revision <= revision <= self.revision:
            return None
        slots: Iterable[int] = self._slots_of(destination)
        is_large = isinstance(slots, dict) and len(slots) > LARGE_DESTINATION_ENDPOINTS
        if is_large and revision >= self.oldest_recent_revision:
            recent = self._recent_after(revision)
            slots = (slot for slot in recent if self.destination_of[slot] == destination)
        return self._split_rows(slot for slot in slots if self.changed_at[slot] > revision)

    def all_changes_since(self, revision: int) -> ChangedRows | None:
        """Returns what changed in all destinations after a revision; None where that is unknown."""
        if not max(self.oldest_revision, self.oldest_recent_revision) <= revision <= self.revision:
            return None
        return self._split_rows(self._recent_after(revision))

    def all_rows(self) -> Iterator[bytes]:
        """Iterates over the rows of all listed endpoints."""
        return (row for slot in self.slots.values() if (row := self.rows[slot]))

    def _slots_of(self, destination: int) -> Iterable[int]:
        slots = self.by_destination.get(destination)
        return (slots,) if isinstance(slots, int) else slots or ()

    def _recent_after(self, revision: int) -> Iterator[int]:
        for slot in reversed(self._recent):
            if self.changed_at[slot] <= revision:
                return
            yield slot

    def _split_rows(self, slots: Iterable[int]) -> ChangedRows:
        rows = ChangedRows([], [])
        for slot in slots:
            row = self.rows[slot]
            assert row is not None
            (rows.removed if slot in self._tombstones else rows.listed).append(row)
        return rows

    # Updates

    def load(self, revision: int, entries: Sequence[ListEntry]) -> set[int]:
        """Applies a full list. Returns the destinations that changed."""
        staged = StagedList(self)
        staged.add(entries)
        return set(self.commit(staged, revision, True))

    def apply(self, revision: int, entries: Sequence[ListEntry]) -> set[int]:
        """Applies a delta. Returns the destinations that changed.

        Raises:
            RevisionError: `revision` is below that of the list held.
        """
        staged = StagedList(self)
        staged.add(entries)
        return set(self.commit(staged, revision, False))

    def commit(self, staged: StagedList, revision: int, is_complete: bool) -> Iterator[int]:
        """Puts a staged list in force, endpoint by endpoint, and yields the destination of each change.

        The iteration may pause, but has to be run to its end; until then the former revision stands, and the
        rows are of it or newer. A full list with a lower revision means that discovery restarted its
        revisions: nothing older can be answered from then on.

        Raises:
            RevisionError: A delta does not follow the list held.
        """
        if not is_complete and (staged.is_first or revision < self.revision):
            raise RevisionError(revision, self.revision)
        if staged.is_first:
            self.is_loaded = True
            self._restart_revisions(revision)
            return
        is_restarted = revision < self.revision
        change_revision = self.revision + 1 if is_restarted else revision
        for entry in staged.changed.values():
            yield from self.put(entry, change_revision)
        if is_complete:
            yield from self._remove_unlisted(staged, change_revision)
        if is_restarted:
            while self._tombstones:
                self._discard_tombstone(next(reversed(self._tombstones)))
            self._restart_revisions(revision)
        self.revision = revision

    def _remove_unlisted(self, staged: StagedList, revision: int) -> Iterator[int]:
        seen = staged.seen_slots or bytearray(len(self.rows))
        slot = seen.find(0)
        while slot >= 0:
            row = self.rows[slot]
            if row is not None and slot not in self._tombstones:
                endpoint = json.loads(row)["id"]
                if endpoint not in staged.changed:
                    yield self._add_tombstone(endpoint, slot, revision)
            slot = seen.find(0, slot + 1)

    def _restart_revisions(self, revision: int) -> None:
        self.changed_at = array("q", (revision,)) * len(self.rows)
        self._recent.clear()
        self._last_change.clear()
        self.revision = self.oldest_revision = self.oldest_recent_revision = revision

    def put(self, entry: ListEntry, revision: int) -> Iterator[int]:
        """Applies one entry and yields the destinations that it changed."""
        slot = self.slots.get(entry.endpoint)
        if entry.is_removed:
            if slot is not None:
                yield self._add_tombstone(entry.endpoint, slot, revision)
            return
        if slot is not None:
            if self.rows[slot] == entry.row:
                return
            if self.destination_of[slot] == entry.destination:
                self._replace_row(slot, entry.row, revision)
                yield entry.destination
                return
            yield self._add_tombstone(entry.endpoint, slot, revision)  # it moved
        self._insert(entry, revision)
        yield entry.destination

    def _replace_row(self, slot: int, row: bytes, revision: int) -> None:
        previous = self.rows[slot]
        assert previous is not None
        self.size_bytes += len(row) - len(previous)
        self.rows[slot] = row
        self._record_change(slot, revision)

    def _insert(self, entry: ListEntry, revision: int) -> None:
        tombstone = self._tombstone_slots.get((entry.endpoint, entry.destination))
        if tombstone is not None:
            self._discard_tombstone(tombstone)
        slot = self._allocate(entry)
        self.slots.partition(entry.endpoint)[entry.endpoint] = slot
        self.size_bytes += len(entry.row)
        self._record_change(slot, revision)

    def _allocate(self, entry: ListEntry) -> int:
        if self._free:
            slot = self._free.pop()
            self.rows[slot], self.destination_of[slot] = entry.row, entry.destination
        else:
            slot = len(self.rows)
            self.rows.append(entry.row)
            self.destination_of.append(entry.destination)
            self.changed_at.append(0)
        self._add_to_destination(entry.destination, slot)
        return slot

    def _add_to_destination(self, destination: int, slot: int) -> None:
        partition = self.by_destination.partition(destination)
        present = partition.get(destination)
        if present is None:
            partition[destination] = slot
        elif isinstance(present, int):
            partition[destination] = {present: None, slot: None}
            if self.is_loaded:
                self._last_change[destination] = self.changed_at[present]
        else:
            present[slot] = None

    def _record_change(self, slot: int, revision: int) -> None:
        self.changed_at[slot] = revision
        if not self.is_loaded:
            return
        self.changes += 1
        destination = self.destination_of[slot]
        if not isinstance(self.by_destination.get(destination), int):
            self._last_change[destination] = revision
        self._recent[slot] = None
        self._recent.move_to_end(slot)
        if len(self._recent) > MAX_RECENT_CHANGES:
            oldest, _ = self._recent.popitem(last=False)
            self.oldest_recent_revision = max(self.oldest_recent_revision, self.changed_at[oldest])

    def _add_tombstone(self, endpoint: str, slot: int, revision: int) -> int:
        """Makes a listed endpoint a tombstone. Returns its destination."""
        row, destination = self.rows[slot], self.destination_of[slot]
        assert row is not None
        del self.slots.partition(endpoint)[endpoint]
        self.size_bytes -= len(row)
        self.rows[slot] = removed_row(row)
        self._tombstones[slot] = endpoint
        self._tombstone_slots[endpoint, destination] = slot
        self._record_change(slot, revision)
        while len(self._tombstones) > self.max_tombstones:
            oldest = next(iter(self._tombstones))
            self.oldest_revision = max(self.oldest_revision, self.changed_at[oldest])
            self._discard_tombstone(oldest)
        return destination

    def _discard_tombstone(self, slot: int) -> None:
        destination = self.destination_of[slot]
        del self._tombstone_slots[self._tombstones.pop(slot), destination]
        self._recent.pop(slot, None)
        self.rows[slot] = None
        partition = self.by_destination.partition(destination)
        present = partition[destination]
        if isinstance(present, int):
            del partition[destination]
        else:
            del present[slot]
            if not present:
                del partition[destination]
                self._last_change.pop(destination, None)
        self._free.append(slot)
