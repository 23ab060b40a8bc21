"""Full endpoint list by destination, encoded for responses, with the revision of each change.

Each endpoint has one slot: its row as JSON, its destination and the revision of its last change. An endpoint
that is no longer listed keeps its slot for a while as a tombstone ("Gone"), so that the removal can still be
sent to relays that missed it. The cost of a change depends on the size of the change, not of the list. The
module does no I/O: it takes entries and returns rows.
"""

from __future__ import annotations

import json
from array import array
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from itertools import chain
from typing import Generic, NamedTuple, TypeVar

from loftrelay.registry.listing import ListEntry, removed_row

MAX_RECENT_CHANGES = 10_000  # endpoints in the index of changes by revision
LARGE_DESTINATION_ENDPOINTS = 64  # above it, changes are looked up in that index, without a scan

K = TypeVar("K")
V = TypeVar("V")


class RevisionError(ValueError):
    """A delta does not follow the current list."""

    def __init__(self, revision: int, current_revision: int) -> None:
        super().__init__(
            f"delta of revision {revision} does not follow the list of revision {current_revision}"
        )
        self.revision, self.current_revision = revision, current_revision


class PartitionedDict(Generic[K, V]):
    """Dict in partitions: a single dict of 870,000 keys blocks for 30 ms when it is resized."""

    COUNT = 64

    def __init__(self) -> None:
        self.partitions: list[dict[K, V]] = [{} for _ in range(self.COUNT)]

    def partition(self, key: K) -> dict[K, V]:
        """Returns the partition for a key, whether or not it holds the key."""
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
    """Rows to send. Removed ones go first, as a moved endpoint has a row in both destinations."""

    removed: list[bytes]
    listed: list[bytes]


class StagedList:
    """Differences between a list that is being received and the catalog.

    The received list becomes current only with `Catalog.commit`.

    Attributes:
        is_first: Whether no list was received before: entries are then added to the catalog directly, which
            is not loaded until the commit.
        changed: Entries that differ from the catalog, by endpoint.
        seen_slots: For each slot, whether its endpoint was received; None before the first one.
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
        self.changed.pop(entry.endpoint, None)  # the last row of a duplicate endpoint counts
        return True


class Catalog:
    """Current endpoint list.

    Attributes:
        max_tombstones: Largest number of tombstones kept.
        is_loaded: Whether a list was received.
        revision: Discovery's revision of the list.
        changes: Number of endpoint changes since the start.
        oldest_revision: Changes after any older revision are not known completely.
        oldest_recent_revision: Changes after any older revision are only found by a scan of all endpoints.
        size_bytes: Total size of all listed rows.
        slots: Slot of each listed endpoint.
        rows: Row of each slot.
        destination_of: Destination of each slot.
        changed_at: Revision of the last change of each slot.
        by_destination: Slots of each destination, with tombstones; a plain int for a single slot.
    """

    def __init__(self, max_tombstones: int) -> None:
        self.max_tombstones = max_tombstones
        self.is_loaded = False
        self.revision = 0
        self.changes = 0
        self.clear()

    def clear(self) -> None:
        """Removes all endpoints."""
        self.oldest_revision = self.oldest_recent_revision = 0
        self.size_bytes = 0
        self.slots: PartitionedDict[str, int] = PartitionedDict()
        self.rows: list[bytes | None] = []
        self.destination_of = array("q")
        self.changed_at = array("q")
        self.by_destination: PartitionedDict[int, int | dict[int, None]] = PartitionedDict()
        self._last_change: dict[int, int] = {}  # only of destinations with several slots
        self._tombstones: OrderedDict[int, str] = OrderedDict()  # slot -> endpoint, oldest first
        self._tombstone_slots: dict[tuple[str, int], int] = {}  # slot by endpoint and destination
        self._recently_changed: OrderedDict[int, None] = OrderedDict()  # slots, oldest change first
        self._free_slots: list[int] = []

    @property
    def endpoint_count(self) -> int:
        """Number of listed endpoints."""
        return len(self.slots)

    @property
    def tombstone_count(self) -> int:
        """Number of tombstones."""
        return len(self._tombstones)

    # Queries

    def last_change(self, destination: int) -> int:
        """Returns the revision of a destination's last change, or `oldest_revision` if none is known."""
        slots = self.by_destination.get(destination)
        if isinstance(slots, int):
            return self.changed_at[slots]
        return self._last_change.get(destination, self.oldest_revision)

    def full_rows(self, destination: int) -> list[bytes]:
        """Returns the rows of all listed endpoints of a destination."""
        slots = self._slots_of(destination)
        return [row for slot in slots if slot not in self._tombstones and (row := self.rows[slot])]

    def changes_since(self, destination: int, revision: int) -> ChangedRows | None:
        """Returns the changes in a destination after a revision, or None if they are not known."""
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
        """Returns the changes in all destinations after a revision, or None if they are not known."""
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
        for slot in reversed(self._recently_changed):
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
            RevisionError: `revision` is below that of the current list, or there is none.
        """
        staged = StagedList(self)
        staged.add(entries)
        return set(self.commit(staged, revision, False))

    def commit(self, staged: StagedList, revision: int, is_complete: bool) -> Iterator[int]:
        """Applies a staged list endpoint by endpoint and yields the destination of each change.

        The iteration may be interrupted by other work but has to be completed. Until then, `revision` is
        still the previous one, and rows are of it or newer. A full list with a lower revision means that
        discovery restarted its revisions; changes after older revisions are unknown from then on.

        Raises:
            RevisionError: A delta does not follow the current list.
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
        self._recently_changed.clear()
        self._last_change.clear()
        self.revision = self.oldest_revision = self.oldest_recent_revision = revision

    def put(self, entry: ListEntry, revision: int) -> Iterator[int]:
        """Applies one entry and yields the destinations that it changes."""
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
            # The endpoint moved to another destination.
            yield self._add_tombstone(entry.endpoint, slot, revision)
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
        if self._free_slots:
            slot = self._free_slots.pop()
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
        slots = partition.get(destination)
        if slots is None:
            partition[destination] = slot
        elif isinstance(slots, int):
            partition[destination] = {slots: None, slot: None}
            if self.is_loaded:
                self._last_change[destination] = self.changed_at[slots]
        else:
            slots[slot] = None

    def _record_change(self, slot: int, revision: int) -> None:
        self.changed_at[slot] = revision
        if not self.is_loaded:
            return
        self.changes += 1
        destination = self.destination_of[slot]
        if not isinstance(self.by_destination.get(destination), int):
            self._last_change[destination] = revision
        self._recently_changed[slot] = None
        self._recently_changed.move_to_end(slot)
        if len(self._recently_changed) > MAX_RECENT_CHANGES:
            oldest, _ = self._recently_changed.popitem(last=False)
            self.oldest_recent_revision = max(self.oldest_recent_revision, self.changed_at[oldest])

    def _add_tombstone(self, endpoint: str, slot: int, revision: int) -> int:
        """Turns a listed endpoint into a tombstone. Returns its destination."""
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
        self._recently_changed.pop(slot, None)
        self.rows[slot] = None
        partition = self.by_destination.partition(destination)
        slots = partition[destination]
        if isinstance(slots, int):
            del partition[destination]
        else:
            del slots[slot]
            if not slots:
                del partition[destination]
                self._last_change.pop(destination, None)
        self._free_slots.append(slot)
