"""Batches changes of a subscription and tracks the set of destinations that the registry should hold."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from loftrelay.registry.protocol import (
    MAX_DESTINATIONS_PER_CALL,
    SubscriptionChange,
    SubscriptionResponse,
    checksum,
)

BATCH_WINDOW_S = 0.003  # lookups within this window share one call
DROP_DELAY_S = 1.0  # removals wait this long for a call that is sent for another reason
MAX_ROWS_PER_RESPONSE = 1_000  # fewer destinations are requested at a time where they have many endpoints
MAX_REMEMBERED_CHANGES = 8  # a watch response may reflect any of the last changes


@dataclass(slots=True)
class ChangeBatch:
    """Changes not yet sent to the registry in use, and the set that it holds after the sent ones.

    Attributes:
        to_resolve: Destinations to request in full.
        to_confirm: Resolved destinations that this registry has not been sent yet.
        to_drop: Destinations to remove from the subscription.
        subscribed: The set after the last change sent.
        checksum: Checksum of `subscribed`.
        expected: Size and checksum of the set after each of the last changes, by sequence number.
        sequence: Number of the last change.
        is_reset_due: The next change replaces the registry's whole set.
        batch_due_at: When `to_resolve` is sent.
        drop_due_at: When `to_drop` is sent at the latest.
        max_destinations: Destinations in one call, adapted to the size of the responses.
    """

    to_resolve: dict[int, None] = field(default_factory=dict)
    to_confirm: dict[int, None] = field(default_factory=dict)
    to_drop: dict[int, None] = field(default_factory=dict)
    subscribed: set[int] = field(default_factory=set)
    checksum: int = 0
    expected: OrderedDict[int, tuple[int, int]] = field(default_factory=OrderedDict)
    sequence: int = 0
    is_reset_due: bool = False
    batch_due_at: float = 0.0
    drop_due_at: float = 0.0
    max_destinations: int = MAX_DESTINATIONS_PER_CALL

    def restart(self, first: Iterable[int]) -> None:
        """Starts over with an empty set at a registry. `first`: destinations to request before all others."""
        self.is_reset_due = True
        self.subscribed.clear()
        self.expected.clear()
        self.to_drop.clear()
        self.to_confirm.clear()
        self.checksum = 0
        self.to_resolve = dict.fromkeys(first)

    def request(self, now: float, destination_id: int) -> None:
        """Adds a destination to the batch. The first one starts the batch window."""
        if not self.to_resolve:
            self.batch_due_at = now + BATCH_WINDOW_S
        self.to_resolve[destination_id] = None
        self.to_drop.pop(destination_id, None)

    def request_again(self, destinations: Iterable[int]) -> None:
        """Adds destinations whose response was not usable."""
        self.to_resolve |= dict.fromkeys(destinations)

    def remove(self, now: float, destination_id: int) -> None:
        """Removes a destination, also from the registry's set if it is in it."""
        self.to_resolve.pop(destination_id, None)
        self.to_confirm.pop(destination_id, None)
        if destination_id in self.subscribed:
            if not self.to_drop:
                self.drop_due_at = now + DROP_DELAY_S
            self.to_drop[destination_id] = None

    def is_due(self, now: float) -> bool:
        """Returns whether a change is to be sent."""
        if self.is_reset_due or self.to_confirm or (self.to_resolve and now >= self.batch_due_at):
            return True
        return bool(self.to_drop) and now >= self.drop_due_at

    @property
    def due_at(self) -> float:
        """When the next change is to be sent."""
        return min(
            self.batch_due_at if self.to_resolve else math.inf,
            self.drop_due_at if self.to_drop else math.inf,
        )

    def next_change(self, fleet: str, subscriber: str, revision: int) -> SubscriptionChange:
        """Removes the next change from the batch, returns it and applies it to the tracked set."""
        limit = self.max_destinations
        added, limit = _pop_first(self.to_resolve, limit)
        confirmed, limit = _pop_first(self.to_confirm, limit)
        dropped, limit = _pop_first(self.to_drop, limit)
        self.sequence += 1
        change = SubscriptionChange(
            fleet, subscriber, self.sequence, revision, added, confirmed, dropped, is_reset=self.is_reset_due
        )
        self.is_reset_due = False
        self._track(change)
        return change

    def _track(self, change: SubscriptionChange) -> None:
        removed = self.subscribed.intersection(change.dropped)
        self.subscribed -= removed
        added = set(change.added).union(change.confirmed) - self.subscribed
        self.subscribed |= added
        self.checksum = (self.checksum + checksum(added) - checksum(removed)) & 0xFFFFFFFF
        self.expected[change.sequence] = len(self.subscribed), self.checksum
        if len(self.expected) > MAX_REMEMBERED_CHANGES:
            self.expected.popitem(last=False)

    def matches(self, response: SubscriptionResponse, change: SubscriptionChange | None) -> bool:
        """Returns whether a response is for an expected set; with `change`, for the set after that change."""
        if self.expected.get(response.sequence) != (response.size, response.checksum):
            return False
        return change is None or change.sequence == response.sequence

    def shrink(self, requested: int) -> None:
        """Halves the size of a call after a failed one, whose response may have been too long."""
        self.max_destinations = max(1, min(self.max_destinations, requested) // 2)

    def adapt(self, requested: int, rows: int) -> None:
        """Adapts the size of a call to the number of rows in a response."""
        if rows > MAX_ROWS_PER_RESPONSE:
            fitting_count = requested * MAX_ROWS_PER_RESPONSE // rows
            self.max_destinations = max(1, min(self.max_destinations, fitting_count))
        elif rows <= MAX_ROWS_PER_RESPONSE // 2:
            self.max_destinations = min(MAX_DESTINATIONS_PER_CALL, 2 * self.max_destinations)


def _pop_first(destinations: dict[int, None], limit: int) -> tuple[tuple[int, ...], int]:
    """Removes and returns up to `limit` destinations from the front, and the remaining limit."""
    popped = tuple(destination_id for destination_id, _ in zip(destinations, range(limit), strict=False))
    for destination_id in popped:
        del destinations[destination_id]
    return popped, limit - len(popped)
