"""Destinations that a relay subscribes to, with their endpoints at the revisions received."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace

from loftrelay.decisions.events import EndpointState
from loftrelay.discovery.subscription_actions import Row
from loftrelay.registry.protocol import MAX_DESTINATIONS_PER_CALL

SWEEP_INTERVAL_S = 1.0


@dataclass(slots=True)
class Destination:
    """One subscribed destination.

    Attributes:
        rows: Its endpoints by id; None before the first full response.
        revision: Revision of the last full response. A higher revision of the whole subscription also
            covers this destination.
        needs_full: The rows may be wrong: the next full response replaces them, and all of it is published.
    """

    rows: dict[str, Row] | None = None
    revision: int = 0
    needs_full: bool = False

    @property
    def is_resolved(self) -> bool:
        """Whether its endpoints have been received."""
        return self.rows is not None

    @property
    def is_known_empty(self) -> bool:
        """Whether it is known to have no endpoints."""
        return self.rows is not None and not self.rows and not self.needs_full

    def invalidate(self) -> None:
        """Requires a full response before the rows are used again."""
        self.needs_full = self.is_resolved


@dataclass(slots=True)
class ListUpdate:
    """Effect of one response on the table.

    Attributes:
        removed: Removed endpoints. They are published first, as an endpoint may have moved to another
            destination.
        changed: New and changed endpoints.
        refreshed: Destinations received in full, in order, each with whether it has endpoints.
    """

    removed: list[Row] = field(default_factory=list)
    changed: list[Row] = field(default_factory=list)
    refreshed: dict[int, bool] = field(default_factory=dict)


@dataclass(slots=True)
class DestinationTable:
    """Holds the subscribed destinations and applies responses to them.

    Attributes:
        idle_after: Seconds without a message after which a destination may be released.
        capacity: Number of destinations above which the least recently used ones may be released, too.
        counts: The subscription's counters.
        destinations: All that are resolved or being looked up.
        last_used: Time of each destination's last message, least recently used first.
        destination_of: Destination of each endpoint, by endpoint id.
        swept_at: Time of the last sweep for idle destinations.
    """

    idle_after: float
    capacity: int
    counts: Counter[str]
    destinations: dict[int, Destination] = field(default_factory=dict)
    last_used: OrderedDict[int, float] = field(default_factory=OrderedDict)
    destination_of: dict[str, int] = field(default_factory=dict)
    swept_at: float = -math.inf

    def __contains__(self, destination_id: int) -> bool:
        return destination_id in self.destinations

    def get(self, destination_id: int) -> Destination | None:
        """Returns the destination, or None if it is not held."""
        return self.destinations.get(destination_id)

    def add(self, destination_id: int) -> Destination:
        """Adds an unresolved destination and returns it."""
        destination = self.destinations[destination_id] = Destination()
        return destination

    def adopt(self, now: float, destination_ids: Iterable[int], rows: Iterable[Row]) -> None:
        """Adds the destinations and endpoints of another process, all as resolved."""
        for destination_id in destination_ids:
            self.destinations[destination_id] = Destination({})
            self.last_used[destination_id] = now
        for row in rows:
            endpoint, destination_id = row[0].endpoint, row[0].destination
            destination = self.destinations.setdefault(destination_id, Destination({}))
            assert destination.rows is not None
            destination.rows[endpoint] = row
            self.destination_of[endpoint] = destination_id
            self.last_used.setdefault(destination_id, now)

    def mark_used(self, now: float, destination_id: int) -> None:
        """Records a message for a destination."""
        self.last_used[destination_id] = now
        self.last_used.move_to_end(destination_id)

    def touch(self, now: float, destination_id: int) -> None:
        """Records a message for a destination; does nothing if it is not held."""
        if destination_id in self.last_used:
            self.mark_used(now, destination_id)

    def release(self, destination_id: int) -> bool:
        """Removes a destination. Returns whether it was held."""
        destination = self.destinations.pop(destination_id, None)
        if destination is None:
            return False
        for endpoint in destination.rows or ():
            if self.destination_of.get(endpoint) == destination_id:
                del self.destination_of[endpoint]
        self.last_used.pop(destination_id, None)
        return True

    def discard_unresolved(self, destination_id: int) -> None:
        """Removes a destination whose endpoints were never received."""
        destination = self.destinations.get(destination_id)
        if destination is not None and not destination.is_resolved:
            del self.destinations[destination_id], self.last_used[destination_id]

    def invalidate_all(self) -> None:
        """Requires a full response for every destination."""
        for destination in self.destinations.values():
            destination.invalidate()

    def forget_revisions(self) -> None:
        """Requires full responses of any revision, after discovery restarted its revisions."""
        for destination in self.destinations.values():
            destination.revision = 0
        self.invalidate_all()

    @property
    def sweep_due_at(self) -> float:
        """Earliest time at which a sweep can find a destination to release."""
        if not self.last_used:
            return math.inf
        if len(self.destinations) > self.capacity:
            return self.swept_at + SWEEP_INTERVAL_S
        oldest_use = next(iter(self.last_used.values()))
        return max(self.swept_at + SWEEP_INTERVAL_S, oldest_use + self.idle_after)

    def sweep(self, now: float) -> tuple[int, ...]:
        """Returns idle destinations and those over capacity, at most as many as fit into one call."""
        self.swept_at = now
        surplus = len(self.destinations) - self.capacity
        candidates: list[int] = []
        for destination_id, used in self.last_used.items():
            is_idle = used + self.idle_after <= now
            if len(candidates) == MAX_DESTINATIONS_PER_CALL or (not is_idle and len(candidates) >= surplus):
                break
            candidates.append(destination_id)
        return tuple(candidates)

    def apply_changes(self, revision: int, full: Iterable[int], rows: Sequence[Row]) -> ListUpdate:
        """Applies changed rows, except those of the destinations in `full`."""
        update = ListUpdate()
        skipped = set(full)
        for row in rows:
            destination_id = row[0].destination
            destination = self.destinations.get(destination_id)
            if (
                destination_id in skipped
                or destination is None
                or destination.rows is None
                or destination.needs_full
            ):
                continue
            if destination.revision > revision:
                self.counts["overtaken"] += 1
                continue
            self._apply_row(destination_id, destination.rows, row, update)
        return update

    def apply_full(self, revision: int, full: Iterable[int], rows: Sequence[Row]) -> ListUpdate:
        """Replaces the endpoints of the destinations in `full` by those among `rows`."""
        rows_by_destination: dict[int, list[Row]] = {destination_id: [] for destination_id in full}
        for row in rows:
            if row[0].destination in rows_by_destination and row[0].state is not EndpointState.REMOVED:
                rows_by_destination[row[0].destination].append(row)
        update = ListUpdate()
        for destination_id, received in rows_by_destination.items():
            destination = self.destinations.get(destination_id)
            if destination is not None:
                self._replace(destination_id, destination, revision, received, update)
        return update

    def _replace(
        self,
        destination_id: int,
        destination: Destination,
        revision: int,
        received: list[Row],
        update: ListUpdate,
    ) -> None:
        is_usable = destination.rows is not None and not destination.needs_full
        if is_usable and destination.revision > revision:
            self.counts["overtaken"] += 1
            return
        self.counts["cells"] += 1
        if destination.rows is None:
            destination.rows = {}
        present = {row[0].endpoint for row in received}
        for endpoint in [endpoint for endpoint in destination.rows if endpoint not in present]:
            self._remove(destination_id, destination.rows, endpoint, update)
        for row in received:
            self._apply_row(destination_id, destination.rows, row, update)
        destination.revision, destination.needs_full = revision, False
        update.refreshed[destination_id] = bool(destination.rows)

    def _apply_row(self, destination_id: int, rows: dict[str, Row], row: Row, update: ListUpdate) -> None:
        endpoint = row[0].endpoint
        if row[0].state is EndpointState.REMOVED:
            self._remove(destination_id, rows, endpoint, update)
            return
        if rows.get(endpoint) == row and not self.destinations[destination_id].needs_full:
            return
        previous = self.destinations.get(self.destination_of.get(endpoint, destination_id))
        if previous is not None and previous.rows is not None and previous.rows is not rows:
            self._remove(self.destination_of[endpoint], previous.rows, endpoint, update)
        rows[endpoint] = row
        self.destination_of[endpoint] = destination_id
        update.changed.append(row)

    def _remove(self, destination_id: int, rows: dict[str, Row], endpoint: str, update: ListUpdate) -> None:
        row = rows.pop(endpoint, None)
        if row is not None and self.destination_of.get(endpoint) == destination_id:
            del self.destination_of[endpoint]
            entry, address = row
            update.removed.append((replace(entry, state=EndpointState.REMOVED), address))
