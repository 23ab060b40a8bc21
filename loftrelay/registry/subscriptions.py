"""Subscriptions of relays: their destinations, their waiting watches, and those affected by a change.

A subscription expires when its relay makes no calls. It may be lost at any time; the relay then sends its set
again. The module does no I/O: it takes calls with the time (seconds of any one clock) and returns updates.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from loftrelay.registry.catalog import Catalog, PartitionedDict
from loftrelay.registry.protocol import (
    FORBIDDEN,
    GONE,
    MAX_DESTINATIONS_PER_CALL,
    SubscriptionChange,
    SubscriptionWatch,
)

CHECKSUM_MASK = 0xFFFFFFFF


class RequestRejectedError(Exception):
    """A call is rejected, with an error status and one line for the client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class UnknownSubscriberError(RequestRejectedError):
    """The registry does not have the subscription, or has lost it."""

    def __init__(self, subscriber: str) -> None:
        super().__init__(GONE, f"subscriber = {subscriber!r}: not known here, tell the whole set")


@dataclass(frozen=True, slots=True)
class SubscriptionUpdate:
    """Part of a response that is specific to a subscription (see SubscriptionResponse)."""

    sequence: int
    size: int
    checksum: int
    full_destinations: tuple[int, ...]
    rows: Sequence[bytes]


class RevisionEpoch(Enum):
    """Whether a relay's revisions belong to discovery's current numbering.

    Numbers alone do not show it: after a restart, discovery's revisions can reach those that the relay has.
    """

    CURRENT = auto()
    RESTARTED = auto()  # discovery has restarted its revisions: the relay has to send its set again
    RESYNCING = auto()  # the relay is sending its set: until its next watch, destinations are sent in full


class Subscription:
    """Subscription of one relay process.

    Attributes:
        name: Name of the subscriber.
        destinations: The set, sorted, with eight bytes for each destination.
        destination_sum: Sum of the destinations, for the checksum.
        sequence: Number of the last change.
        epoch: Whether the relay's revisions belong to the current numbering.
        newest_change: Upper bound of the revisions at which its destinations changed.
        last_call_at: When its last call began or ended.
        watch: Its waiting watch.
    """

    __slots__ = (
        "destination_sum",
        "destinations",
        "epoch",
        "last_call_at",
        "name",
        "newest_change",
        "sequence",
        "watch",
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.destinations = array("q")
        self.destination_sum = 0
        self.sequence = 0
        self.epoch = RevisionEpoch.CURRENT
        self.newest_change = 0
        self.last_call_at = 0.0
        self.watch: WaitingWatch | None = None

    def contains(self, destination: int) -> bool:
        """Returns whether the set contains a destination."""
        position = bisect_left(self.destinations, destination)
        return position < len(self.destinations) and self.destinations[position] == destination


# Subscribers of one destination. Most have one or a few, for which a set would use too much memory.
Subscribers = Subscription | tuple[Subscription, ...] | set[Subscription]
MAX_TUPLE_SUBSCRIBERS = 8


@dataclass(slots=True, eq=False)
class WaitingWatch:
    """Watch that is waiting for a change.

    Attributes:
        subscription: Its subscription.
        since_revision: Revision that the relay has.
        token: Identifies the connection to the caller.
    """

    subscription: Subscription
    since_revision: int
    token: Any

    @property
    def is_waiting(self) -> bool:
        """Whether it has not been ended by `end_watch`, `abandon_watch` or a newer watch."""
        return self.subscription.watch is self


class Subscriptions:
    """Subscriptions of all relays at a registry.

    Attributes:
        fleet: Name of the registry's fleet.
        catalog: The endpoint list.
        expire_after: Seconds without a call after which a subscription is dropped.
        by_subscriber: Subscriptions by name of the subscriber.
        ended_by_change: Number of watches ended by a change since the start.
        waiting_watches: Number of waiting watches.
        destination_count: Number of destinations in all subscriptions.
    """

    def __init__(self, fleet: str, catalog: Catalog, expire_after: float) -> None:
        self.fleet, self.catalog, self.expire_after = fleet, catalog, expire_after
        self.by_subscriber: dict[str, Subscription] = {}
        self.ended_by_change = 0
        self.waiting_watches = 0
        self.destination_count = 0
        self._by_destination: PartitionedDict[int, Subscribers] = PartitionedDict()
        self._changed: dict[Subscription, None] = {}

    # Calls

    def change(self, call: SubscriptionChange, now: float) -> SubscriptionUpdate:
        """Changes a subscription and returns the update for the response.

        Raises:
            RequestRejectedError: The call is for another fleet, an unknown subscriber, or was overtaken.
        """
        subscription = self._subscription_for(call)
        subscription.sequence, subscription.last_call_at = call.sequence, now
        if call.is_reset:
            self._clear(subscription)
            if subscription.epoch is RevisionEpoch.RESTARTED:
                subscription.epoch = RevisionEpoch.RESYNCING
        is_current = subscription.epoch is RevisionEpoch.CURRENT
        is_comparable = is_current and call.since_revision <= self.catalog.revision
        for destination in call.dropped:
            self._drop(subscription, destination)
        full: dict[int, None] = {}
        for destination in call.added:
            full[destination] = None
            self._add(subscription, destination)
        for destination in call.confirmed:
            self._add(subscription, destination)
            if not is_comparable or self.catalog.last_change(destination) > call.since_revision:
                full[destination] = None
        rows = [row for destination in full for row in self.catalog.full_rows(destination)]
        return self._update(subscription, tuple(full), rows)

    def _subscription_for(self, call: SubscriptionChange) -> Subscription:
        self._check_fleet(call.fleet)
        subscription = self.by_subscriber.get(call.subscriber)
        if subscription is None:
            if not call.is_reset:
                raise UnknownSubscriberError(call.subscriber)
            subscription = self.by_subscriber[call.subscriber] = Subscription(call.subscriber)
        elif call.sequence < subscription.sequence:
            reason = f"seq = {call.sequence}: overtaken by {subscription.sequence}, tell the whole set"
            raise RequestRejectedError(GONE, reason)
        return subscription

    def watch(
        self, call: SubscriptionWatch, token: Any, now: float
    ) -> tuple[SubscriptionUpdate | None, WaitingWatch | None]:
        """Starts a watch.

        Returns:
            The update to send immediately, or None if the watch is waiting; and an older watch of this
            subscriber that has to be responded to without changes.

        Raises:
            RequestRejectedError: The call is for another fleet or an unknown subscriber, discovery has
                restarted its revisions, or too many destinations changed.
        """
        self._check_fleet(call.fleet)
        subscription = self.by_subscriber.get(call.subscriber)
        if subscription is None:
            raise UnknownSubscriberError(call.subscriber)
        subscription.last_call_at = now
        if subscription.epoch is RevisionEpoch.RESTARTED:
            reason = f"index = {call.since_revision}: discovery counts anew since, tell the whole set"
            raise RequestRejectedError(GONE, reason)
        subscription.epoch = RevisionEpoch.CURRENT
        update = self._changes(subscription, call.since_revision)
        older = subscription.watch
        if older is not None:
            self._stop_waiting(older)
        if update is None:
            subscription.watch = WaitingWatch(subscription, call.since_revision, token)
            self.waiting_watches += 1
        return update, older

    def end_watch(self, watch: WaitingWatch, now: float) -> SubscriptionUpdate:
        """Ends a waiting watch after a change or its wait, and returns the update for the response.

        Raises:
            RequestRejectedError: Too many destinations would have to be sent in full.
        """
        subscription = watch.subscription
        subscription.last_call_at = now
        self._stop_waiting(watch)
        return self._changes(subscription, watch.since_revision) or self.empty_update(subscription)

    def abandon_watch(self, watch: WaitingWatch, now: float) -> None:
        """Ends a watch whose client disconnected or is rejected."""
        watch.subscription.last_call_at = now
        self._stop_waiting(watch)

    def empty_update(self, subscription: Subscription) -> SubscriptionUpdate:
        """Returns an update without changes."""
        return self._update(subscription, (), ())

    def _check_fleet(self, fleet: str) -> None:
        if fleet != self.fleet:
            reason = f"fleet = {fleet!r}: this is the registry of {self.fleet!r}"
            raise RequestRejectedError(FORBIDDEN, reason)

    def _update(
        self, subscription: Subscription, full: tuple[int, ...], rows: Sequence[bytes]
    ) -> SubscriptionUpdate:
        return SubscriptionUpdate(
            subscription.sequence,
            len(subscription.destinations),
            subscription.destination_sum & CHECKSUM_MASK,
            full,
            rows,
        )

    def _changes(self, subscription: Subscription, since: int) -> SubscriptionUpdate | None:
        """Returns the changes after a revision, or None if there are none."""
        catalog = self.catalog
        if since >= subscription.newest_change or since >= catalog.revision:
            return None
        full: list[int] = []
        removed: list[bytes] = []
        listed: list[bytes] = []
        for destination in subscription.destinations:
            if catalog.last_change(destination) <= since:
                continue
            changes = catalog.changes_since(destination, since)
            if changes is None:
                full.append(destination)
                listed += catalog.full_rows(destination)
            else:
                removed += changes.removed
                listed += changes.listed
        if len(full) > MAX_DESTINATIONS_PER_CALL:
            reason = f"index = {since}: {len(full)} cells changed since, tell the whole set"
            raise RequestRejectedError(GONE, reason)
        if not (full or removed or listed):
            return None
        return self._update(subscription, tuple(full), removed + listed)

    # Sets

    def _add(self, subscription: Subscription, destination: int) -> None:
        newest = self.catalog.last_change(destination)
        subscription.newest_change = max(subscription.newest_change, newest)
        position = bisect_left(subscription.destinations, destination)
        is_last = position == len(subscription.destinations)
        if not is_last and subscription.destinations[position] == destination:
            return
        subscription.destinations.insert(position, destination)
        subscription.destination_sum += destination
        self._add_subscriber(subscription, destination)

    def _add_subscriber(self, subscription: Subscription, destination: int) -> None:
        self.destination_count += 1
        partition = self._by_destination.partition(destination)
        subscribers = partition.get(destination)
        if subscribers is None:
            partition[destination] = subscription
        elif isinstance(subscribers, set):
            subscribers.add(subscription)
        elif isinstance(subscribers, tuple):
            is_small = len(subscribers) < MAX_TUPLE_SUBSCRIBERS
            partition[destination] = (
                (*subscribers, subscription) if is_small else {*subscribers, subscription}
            )
        else:
            partition[destination] = (subscribers, subscription)

    def _drop(self, subscription: Subscription, destination: int) -> None:
        position = bisect_left(subscription.destinations, destination)
        is_last = position == len(subscription.destinations)
        if is_last or subscription.destinations[position] != destination:
            return
        subscription.destinations.pop(position)
        subscription.destination_sum -= destination
        self._remove_subscriber(subscription, destination)

    def _remove_subscriber(self, subscription: Subscription, destination: int) -> None:
        self.destination_count -= 1
        partition = self._by_destination.partition(destination)
        subscribers = partition[destination]
        if isinstance(subscribers, Subscription):
            del partition[destination]
        elif isinstance(subscribers, set) and len(subscribers) > MAX_TUPLE_SUBSCRIBERS:
            subscribers.remove(subscription)
        else:
            others = tuple(other for other in subscribers if other is not subscription)
            partition[destination] = others if len(others) > 1 else others[0]

    def _clear(self, subscription: Subscription) -> None:
        for destination in subscription.destinations:
            self._remove_subscriber(subscription, destination)
        subscription.destinations, subscription.destination_sum = array("q"), 0
        subscription.newest_change = 0

    # Changes of the list

    def destination_changed(self, destination: int, revision: int) -> None:
        """Records a change. Once the list is committed, `pop_affected_watches` is to be called."""
        subscribers = self._by_destination.get(destination)
        if subscribers is None:
            return
        for subscription in (subscribers,) if isinstance(subscribers, Subscription) else subscribers:
            subscription.newest_change = max(subscription.newest_change, revision)
            self._changed[subscription] = None

    def pop_affected_watches(self, is_restarted: bool = False) -> list[WaitingWatch]:
        """Returns the watches affected by changes since the last call; each has to be ended by `end_watch`.

        `is_restarted`: discovery restarted its revisions, which affects all.
        """
        changed, self._changed = self._changed, {}
        if is_restarted:
            changed = dict.fromkeys(self.by_subscriber.values())
            for subscription in changed:
                subscription.newest_change = self.catalog.revision
                subscription.epoch = RevisionEpoch.RESTARTED
        affected = [
            subscription.watch
            for subscription in changed
            if subscription.watch is not None
            and (is_restarted or subscription.watch.since_revision < subscription.newest_change)
        ]
        self.ended_by_change += len(affected)
        return affected

    def _stop_waiting(self, watch: WaitingWatch) -> None:
        if watch.is_waiting:
            watch.subscription.watch = None
            self.waiting_watches -= 1

    # Time

    def expire(self, now: float) -> int:
        """Drops subscriptions without a recent call and returns their number."""
        expired = [
            subscription
            for subscription in self.by_subscriber.values()
            if subscription.watch is None and now - subscription.last_call_at > self.expire_after
        ]
        for subscription in expired:
            self._clear(subscription)
            del self.by_subscriber[subscription.name]
        return len(expired)
