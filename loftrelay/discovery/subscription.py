"""State machine of a relay's subscription to its destinations at one of several registries.

It does no I/O: callers report events with the time (seconds of a monotonic clock), carry out the actions that
`drain_actions` returns, and call `tick` at `due_at` or later. docs/slices.md has the rules. On the wire a
destination is a *cell*. registry_session.py has the modes and their transitions.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from loftrelay.discovery.destination_table import DestinationTable, ListUpdate
from loftrelay.discovery.freshness import Freshness
from loftrelay.discovery.pending_lookups import PendingLookups
from loftrelay.discovery.registry_selection import Registry, RegistrySelection, preference_order
from loftrelay.discovery.registry_session import Mode, RegistrySession
from loftrelay.discovery.subscription_actions import (
    Action,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    Row,
)
from loftrelay.discovery.subscription_calls import OutstandingCalls
from loftrelay.net.address import Address
from loftrelay.registry.protocol import (
    FORBIDDEN,
    GONE,
    MAX_NAME_LENGTH,
    SubscriptionChange,
    SubscriptionResponse,
)
from loftrelay.relay.ports import ResolutionStatus


@dataclass(frozen=True, slots=True)
class Timing:
    """Operator limits of a subscription.

    Attributes:
        lookup_timeout: Seconds after which a lookup of a destination fails.
        idle_after: Seconds without a message after which a destination is released.
        capacity: Number of destinations held, which is exceeded only by those in use.
        stale_after: Age of a registry's data, in seconds, above which other registries are checked.
    """

    lookup_timeout: float = 0.2
    idle_after: float = 300.0
    capacity: int = 16_384
    stale_after: float = 6.0


@dataclass(slots=True)
class SubscriptionState:
    """State of a relay's subscription.

    Attributes:
        registries: Addresses of the registries.
        fleet: Name of the fleet that the registries must serve.
        name: Name of the relay.
        incarnation_id: Id of this process, unique among all processes.
        timing: The operator's limits.
        seed: Seed of the jitter.
        counts: Counters by metric name.
        has_response: Whether a registry has sent a usable response since the start.
        subscriber: Name of the subscription at the registries.
        table: Destinations that are resolved or being looked up.
        lookups: Lookups that are waiting for a response.
        session: The session with the registry in use.
    """

    registries: Sequence[Address]
    fleet: str
    name: str
    incarnation_id: str
    timing: Timing
    seed: int
    counts: Counter[str] = field(default_factory=Counter)
    has_response: bool = False

    subscriber: str = field(init=False)
    table: DestinationTable = field(init=False)
    lookups: PendingLookups = field(init=False)
    session: RegistrySession = field(init=False)
    actions: list[Action] = field(init=False, default_factory=list)

    def __post_init__(self) -> None:
        rng = random.Random(self.seed)
        order = [Registry(address) for address in preference_order(self.name, self.registries)]
        self.subscriber = f"{self.name[:MAX_NAME_LENGTH]}.{self.incarnation_id}"
        self.table = DestinationTable(self.timing.idle_after, self.timing.capacity, self.counts)
        self.lookups = PendingLookups(self.timing.lookup_timeout)
        self.session = RegistrySession(
            self.table,
            self.lookups,
            RegistrySelection(order, rng, self.counts),
            Freshness(self.timing.stale_after, rng),
            OutstandingCalls(self.fleet, self.subscriber, self.actions),
            self.counts,
            self.actions,
        )

    @property
    def mode(self) -> Mode:
        """State of the session with the registry in use."""
        return self.session.mode

    @property
    def revision(self) -> int:
        """Revision up to which all destinations are known."""
        return self.session.revision

    def drain_actions(self) -> list[Action]:
        """Removes and returns the actions to carry out, in order."""
        actions = list(self.actions)
        self.actions.clear()
        return actions

    # Requests of the relay

    def start(self, now: float) -> None:
        """Starts, or continues after a pause."""
        self.session.start(now)

    def pause(self) -> None:
        """Stops all calls until `start`. Pending lookups still fail at their deadlines."""
        self.session.pause()

    def adopt(
        self, now: float, revision: int | None, destinations: Iterable[int], rows: Iterable[Row]
    ) -> None:
        """Adds the destinations and endpoints of a predecessor."""
        self.session.revision = revision or 0
        self.table.adopt(now, destinations, rows)

    def resolve(self, now: float, destination_id: int) -> None:
        """Looks up a destination that the relay does not hold."""
        destination = self.table.get(destination_id)
        if destination is not None and destination.is_known_empty:
            self.table.touch(now, destination_id)
            self._end_lookup(destination_id, ResolutionStatus.NOT_FOUND)
            return
        if self.lookups.is_oversize(now, destination_id):
            self._end_lookup(destination_id, ResolutionStatus.UNAVAILABLE)
            return
        self.lookups.start(now, destination_id)
        if destination is None or destination.rows:
            if destination is None:
                destination = self.table.add(destination_id)
            # The relay has lost rows that are held here: they are published again.
            destination.needs_full = bool(destination.rows)
            self.session.batch.request(now, destination_id)
        self.table.mark_used(now, destination_id)

    def mark_used(self, now: float, destination_id: int) -> None:
        """Records a message for a destination."""
        self.table.touch(now, destination_id)

    def release(self, now: float, candidates: Iterable[int], released: Iterable[int]) -> None:
        """Removes the released candidates; the others count as used now."""
        for destination_id in released:
            if self.table.release(destination_id):
                self.lookups.finish(destination_id)
                self.session.batch.remove(now, destination_id)
                self.counts["let_go"] += 1
        for destination_id in candidates:
            self.table.touch(now, destination_id)

    # Time

    @property
    def due_at(self) -> float:
        """When `tick` has to be called next."""
        return min(self.lookups.next_deadline, self.table.sweep_due_at, self.session.due_at)

    def tick(self, now: float) -> None:
        """Ends expired lookups, sends the calls that are due and looks for idle destinations."""
        for destination_id in self.lookups.expire(now):
            self._end_lookup(destination_id, ResolutionStatus.UNAVAILABLE)
        self.session.tick(now)
        if now >= self.table.sweep_due_at:
            candidates = self.table.sweep(now)
            if candidates:
                self.actions.append(ReleaseDestinations(candidates))

    # Outcomes of calls

    def call_failed(self, now: float, call_id: int, reason: str, is_too_long: bool = False) -> None:
        """Handles a call without a readable response. `is_too_long`: the response exceeded the limit."""
        if call_id == self.session.calls.check:
            self.session.check_failed(now)
        elif self.session.calls.is_subscription_call(call_id):
            if self.session.calls.change is not None and self.session.calls.is_change(call_id):
                self._reduce_request_size(now, self.session.calls.change.request, is_too_long)
            self.session.leave_registry(now, reason)

    def call_rejected(self, now: float, call_id: int, status: int, text: str) -> None:
        """Handles a response with a status other than 200. `text`: the registry's reason."""
        if not self.session.calls.is_subscription_call(call_id):
            self.call_failed(now, call_id, text)
        elif status == GONE:
            self.session.replace_remote_set(now, "does not know the subscription")
        elif status == FORBIDDEN:
            self.session.leave_registry(now, f"serves a fleet other than {self.fleet}: {text}")
        else:
            self.session.leave_registry(now, f"responded with status {status}: {text}")

    def processing_failed(self, now: float) -> None:
        """Resolves all destinations again after an internal error.

        The last response may have been applied in part.
        """
        if self.mode is not Mode.OFF:
            self.table.invalidate_all()
            self.session.leave_registry(now, "sent a response that could not be processed")

    def response_received(
        self, now: float, call_id: int, response: SubscriptionResponse, rows: Sequence[Row]
    ) -> None:
        """Handles a response with status 200. `rows`: its decoded rows."""
        if call_id == self.session.calls.check:
            self.session.check_response_received(now, response)
        elif self.session.calls.change is not None and self.session.calls.is_change(call_id):
            change, self.session.calls.change = self.session.calls.change.request, None
            if self._accept(now, response, change.since_revision, change):
                self._handle_change_response(now, change, response, rows)
        elif call_id == self.session.calls.watch:
            self.session.calls.watch = None
            if self._accept(now, response, self.session.calls.watch_revision, None):
                self._handle_watch_response(now, response, rows)

    def _accept(
        self, now: float, response: SubscriptionResponse, min_revision: int, change: SubscriptionChange | None
    ) -> bool:
        """Accepts or rejects a response.

        A rejected one is followed by a move to another registry or a full synchronization.

        Returns:
            Whether the response was accepted.
        """
        if response.fleet != self.fleet:
            self.session.leave_registry(
                now, f"serves the fleet {response.fleet[:MAX_NAME_LENGTH]!r}, not {self.fleet}"
            )
            return False
        synced_at = now - response.age_ms / 1000
        if response.revision < min_revision:
            self.session.registry_outdated(now, synced_at)
            return False
        if not self.session.batch.matches(response, change):
            self.session.replace_remote_set(now, "has a different set of destinations than this relay")
            return False
        self.session.selection.current.synced_at = synced_at
        self.has_response = True
        self.session.freshness.revision_accepted(synced_at)
        return True

    def _handle_change_response(
        self, now: float, change: SubscriptionChange, response: SubscriptionResponse, rows: Sequence[Row]
    ) -> None:
        requested = [destination_id for destination_id in change.added if destination_id in self.table]
        if not set(requested) <= set(response.full_destinations):
            self.session.batch.request_again(requested)
            self.session.leave_registry(now, "sent a response without requested destinations")
            return
        if response.revision < self.revision:
            # A newer watch response overtook this one, and its changes of these destinations were ignored.
            self.counts["overtaken"] += 1
            self.session.batch.request_again(requested)
        else:
            self.session.batch.adapt(len(change.added) + len(change.confirmed), len(rows))
            self._confirm(change.confirmed, response.revision)
            self._apply_full(response, rows)
            self.session.sync_response_received(response.revision)
        self.session.send_due_calls(now)
        self.session.check_staleness(now, response)

    def _confirm(self, destinations: Iterable[int], revision: int) -> None:
        for destination_id in destinations:
            destination = self.table.get(destination_id)
            if destination is not None:
                destination.revision = max(destination.revision, revision)

    def _handle_watch_response(self, now: float, response: SubscriptionResponse, rows: Sequence[Row]) -> None:
        self._publish(self.table.apply_changes(response.revision, response.full_destinations, rows))
        self._apply_full(response, rows)
        self.session.revision = max(self.revision, response.revision)
        self.session.watch_succeeded(now)
        self.session.check_staleness(now, response)

    def _apply_full(self, response: SubscriptionResponse, rows: Sequence[Row]) -> None:
        update = self.table.apply_full(response.revision, response.full_destinations, rows)
        self._publish(update)
        for destination_id, has_endpoints in update.refreshed.items():
            self.session.batch.to_resolve.pop(destination_id, None)
            if self.lookups.finish(destination_id):
                status = ResolutionStatus.RESOLVED if has_endpoints else ResolutionStatus.NOT_FOUND
                self._end_lookup(destination_id, status)

    def _publish(self, update: ListUpdate) -> None:
        changes = (update.removed, update.changed)  # removals first
        self.actions.extend(EntriesChanged(tuple(rows)) for rows in changes if rows)

    def _end_lookup(self, destination_id: int, status: ResolutionStatus) -> None:
        self.actions.append(DestinationResolved(destination_id, status))

    def _reduce_request_size(self, now: float, change: SubscriptionChange, is_too_long: bool) -> None:
        """Requests fewer destinations at a time; excludes one whose endpoints alone exceed the limit."""
        requested = (*change.added, *change.confirmed)
        if is_too_long and len(requested) == 1:
            self._exclude(now, requested[0])
        if requested:
            self.session.batch.shrink(len(requested))

    def _exclude(self, now: float, destination_id: int) -> None:
        reason = f"endpoints of destination {destination_id} exceed the response limit"
        self.actions.append(LogLine(f"{reason}: its lookups fail for a while"))
        self.lookups.mark_oversize(now, destination_id)
        self.table.discard_unresolved(destination_id)
        if self.lookups.finish(destination_id):
            self._end_lookup(destination_id, ResolutionStatus.UNAVAILABLE)
