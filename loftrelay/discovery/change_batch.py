"""Batches changes of the subscription, and tracks which set of destinations the registry should hold."""

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

BATCH_WINDOW_S = 0.003  # first messages within it share one call
DROP_DELAY_S = 1.0  # removals wait for a call that is made anyway
MAX_ROWS_PER_RESPONSE = 1_000  # destinations with many endpoints are requested fewer at a time
MAX_REMEMBERED_CHANGES = 8  # a watch may answer as of one of the last changes


@dataclass(slots=True)
class ChangeBatch:
    """Changes that the registry in use has not been sent, and the set that it holds after those sent.

    Attributes:
        to_resolve: Destinations to request in full.
        to_confirm: Resolved destinations that this registry has to be sent yet.
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
        """Begins anew with an empty set at a registry. `first`: destinations to request before all others."""
        self.is_reset_due = True
        self.subscribed.clear()
        self.expected.clear()
        self.to_drop.clear()
        self.to_confirm.clear()
        self.checksum = 0
        self.to_resolve = dict.fromkeys(first)

    def request(self, now: float, number: int) -> None:
        """Adds a destination to the batch, which the first one opens."""
        if not self.to_resolve:
            self.batch_due_at = now + BATCH_WINDOW_S
        self.to_resolve[number] = None
        self.to_drop.pop(number, None)

    def request_again(self, numbers: Iterable[int]) -> None:
        """Adds destinations whose response could not be used."""
        self.to_resolve |= dict.fromkeys(numbers)

    def remove(self, now: float, number: int) -> None:
        """Withdraws a destination: at the registry too, where it is in the set there."""
        self.to_resolve.pop(number, None)
        self.to_confirm.pop(number, None)
        if number in self.subscribed:
            if not self.to_drop:
                self.drop_due_at = now + DROP_DELAY_S
            self.to_drop[number] = None

    def is_due(self, now: float) -> bool:
        """Whether a change is to be sent."""
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
        """Takes the next change out of the batch; the set counts as changed from then on."""
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

    def matches(self, answer: SubscriptionResponse, change: SubscriptionChange | None) -> bool:
        """Whether the registry answered for the expected set; for `change`, as of it."""
        if self.expected.get(answer.sequence) != (answer.size, answer.checksum):
            return False
        return change is None or change.sequence == answer.sequence

    def shrink(self, requested: int) -> None:
        """Halves the size of a call after one that failed: its response may have been too long."""
        self.max_destinations = max(1, min(self.max_destinations, requested) // 2)

    def adapt(self, requested: int, rows: int) -> None:
        """Adapts the size of a call to the rows that a response held."""
        if rows > MAX_ROWS_PER_RESPONSE:
            fitting = requested * MAX_ROWS_PER_RESPONSE // rows
            self.max_destinations = max(1, min(self.max_destinations, fitting))
        elif rows <= MAX_ROWS_PER_RESPONSE // 2:
            self.max_destinations = min(MAX_DESTINATIONS_PER_CALL, 2 * self.max_destinations)


def _pop_first(numbers: dict[int, None], limit: int) -> tuple[tuple[int, ...], int]:
    """Removes and returns the first numbers, `limit` at the most, and the remaining limit."""
    popped = tuple(number for number, _ in zip(numbers, range(limit), strict=False))
    for number in popped:
        del numbers[number]
    return popped, limit - len(popped)
