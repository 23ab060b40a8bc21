"""The state machine of a relay's subscription to its destinations, at one of several registries.

It does no input or output: what happens is reported to it with the time (seconds of a monotonic clock), what
is to be done is returned by `drain_actions`, and `tick` is to be called at `due_at` or later. docs/slices.md
has the rules. On the wire a destination is a *cell*. registry_session.py has the modes and their transitions.
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
    """Limits that the operator sets.

    Attributes:
        lookup_timeout: Seconds for which a first message waits for its destination.
        idle_after: Seconds without a message after which a destination is released.
        capacity: Destinations held, as far as those in use allow it.
        stale_after: Age in seconds of a registry's data from which on others are checked.
    """

    lookup_timeout: float = 0.2
    idle_after: float = 300.0
    capacity: int = 16_384
    stale_after: float = 6.0


@dataclass(slots=True)
class SubscriptionState:
    """A relay's subscription.

    Attributes:
        registries: Addresses of the registries.
        fleet: Name of the fleet that they must serve.
        name: Name of the relay.
        incarnation_id: Of this process; no two processes share one.
        timing: The operator's limits.
        seed: Of the jitter.
        counts: Counters, by the names that operators see.
        has_answered: Some registry has answered since the start.
        subscriber: Name of the subscription at the registries.
        table: Destinations that are resolved or being looked up.
        lookups: Lookups that wait for a response.
        session: The session with the registry in use.
    """

    registries: Sequence[Address]
    fleet: str
    name: str
    incarnation_id: str
    timing: Timing
    seed: int
    counts: Counter[str] = field(default_factory=Counter)
    has_answered: bool = False

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
        """Returns the actions to carry out, in order, each once."""
        actions = list(self.actions)
        self.actions.clear()
        return actions

    # Requests of the relay

    def start(self, now: float) -> None:
        """Begins, or goes on after a pause."""
        self.session.start(now)

    def pause(self) -> None:
        """Stops all calls until `start`. Lookups end at their deadlines meanwhile."""
        self.session.pause()

    def adopt(
        self, now: float, revision: int | None, destinations: Iterable[int], rows: Iterable[Row]
    ) -> None:
        """Takes over the destinations and endpoints of a predecessor."""
        self.session.revision = revision or 0
        self.table.adopt(now, destinations, rows)

    def resolve(self, now: float, number: int) -> None:
        """Looks up a destination that the relay does not hold, for a first message."""
        destination = self.table.get(number)
        if destination is not None and destination.is_known_empty:
            self.table.touch(now, number)
            self._end_lookup(number, ResolutionStatus.NOT_FOUND)
            return
        if self.lookups.is_oversize(now, number):
            self._end_lookup(number, ResolutionStatus.UNAVAILABLE)
            return
        self.lookups.start(now, number)
        if destination is None or destination.rows:
            if destination is None:
                destination = self.table.add(number)
            # Rows that the relay does not have were lost: they are passed on once more.
            destination.needs_full = bool(destination.rows)
            self.session.batch.request(now, number)
        self.table.mark_used(now, number)

    def mark_used(self, now: float, number: int) -> None:
        """Records a message for a destination."""
        self.table.touch(now, number)

    def release(self, now: float, candidates: Iterable[int], released: Iterable[int]) -> None:
        """Forgets the released ones of the candidates; the others count as in use."""
        for number in released:
            if self.table.release(number):
                self.lookups.finish(number)
                self.session.batch.remove(now, number)
                self.counts["let_go"] += 1
        for number in candidates:
            self.table.touch(now, number)

    # Time

    @property
    def due_at(self) -> float:
        """When `tick` has something to do."""
        return min(self.lookups.next_deadline, self.table.sweep_due_at, self.session.due_at)

    def tick(self, now: float) -> None:
        """Does what is due."""
        for number in self.lookups.expire(now):
            self._end_lookup(number, ResolutionStatus.UNAVAILABLE)
        self.session.tick(now)
        if now >= self.table.sweep_due_at:
            candidates = self.table.sweep(now)
            if candidates:
                self.actions.append(ReleaseDestinations(candidates))

    # Outcomes of calls

    def call_failed(self, now: float, number: int, reason: str, is_too_long: bool = False) -> None:
        """A call had no readable response. `is_too_long`: its response exceeded the limit."""
        if number == self.session.calls.check:
            self.session.check_failed(now)
        elif self.session.calls.is_subscription_call(number):
            if self.session.calls.change is not None and self.session.calls.is_change(number):
                self._reduce_requests(now, self.session.calls.change.request, is_too_long)
            self.session.leave_registry(now, reason)

    def call_rejected(self, now: float, number: int, status: int, text: str) -> None:
        """A call was answered with another status than 200. `text` is the registry's reason."""
        if not self.session.calls.is_subscription_call(number):
            self.call_failed(now, number, text)
        elif status == GONE:
            self.session.replace_remote_set(now, "knows no such subscription")
        elif status == FORBIDDEN:
            self.session.leave_registry(now, f"serves another fleet than {self.fleet}: {text}")
        else:
            self.session.leave_registry(now, f"answers {status}: {text}")

    def processing_failed(self, now: float) -> None:
        """A fault of the program: the last response may have been applied in part."""
        if self.mode is not Mode.OFF:
            self.table.invalidate_all()
            self.session.leave_registry(now, "sent a response that could not be processed")

    def call_answered(
        self, now: float, number: int, answer: SubscriptionResponse, rows: Sequence[Row]
    ) -> None:
        """A call was answered. `rows`: the response's rows, decoded."""
        if number == self.session.calls.check:
            self.session.check_answered(now, answer)
        elif self.session.calls.change is not None and self.session.calls.is_change(number):
            change, self.session.calls.change = self.session.calls.change.request, None
            if self._accept(now, answer, change.since_revision, change):
                self._change_answered(now, change, answer, rows)
        elif number == self.session.calls.watch:
            self.session.calls.watch = None
            if self._accept(now, answer, self.session.calls.watch_revision, None):
                self._watch_answered(now, answer, rows)

    def _accept(
        self, now: float, answer: SubscriptionResponse, min_revision: int, change: SubscriptionChange | None
    ) -> bool:
        """Whether a response can be used; otherwise another registry or a full synchronization follows."""
        if answer.fleet != self.fleet:
            self.session.leave_registry(
                now, f"serves the fleet {answer.fleet[:MAX_NAME_LENGTH]!r}, not {self.fleet}"
            )
            return False
        if answer.revision < min_revision:
            self.session.registry_outdated(now)
            return False
        if not self.session.batch.matches(answer, change):
            self.session.replace_remote_set(now, "has another set of destinations than this relay")
            return False
        self.session.selection.current.synced_at = now - answer.age_ms / 1000
        self.has_answered = True
        self.session.freshness.revision_accepted()
        return True

    def _change_answered(
        self, now: float, change: SubscriptionChange, answer: SubscriptionResponse, rows: Sequence[Row]
    ) -> None:
        requested = [number for number in change.added if number in self.table]
        if not set(requested) <= set(answer.full_destinations):
            self.session.batch.request_again(requested)
            self.session.leave_registry(now, "leaves out requested destinations")
            return
        if answer.revision < self.revision:
            # A watch overtook it, whose changes of these destinations were ignored.
            self.counts["overtaken"] += 1
            self.session.batch.request_again(requested)
        else:
            self.session.batch.adapt(len(change.added) + len(change.confirmed), len(rows))
            self._confirm(change.confirmed, answer.revision)
            self._apply_full(answer, rows)
            self.session.piece_answered(answer.revision)
        self.session.send_due_calls(now)
        self.session.check_staleness(now, answer)

    def _confirm(self, numbers: Iterable[int], revision: int) -> None:
        for number in numbers:
            destination = self.table.get(number)
            if destination is not None:
                destination.revision = max(destination.revision, revision)

    def _watch_answered(self, now: float, answer: SubscriptionResponse, rows: Sequence[Row]) -> None:
        self._pass_on(self.table.apply_changes(answer.revision, answer.full_destinations, rows))
        self._apply_full(answer, rows)
        self.session.revision = max(self.revision, answer.revision)
        self.session.watch_answered(now)
        self.session.check_staleness(now, answer)

    def _apply_full(self, answer: SubscriptionResponse, rows: Sequence[Row]) -> None:
        update = self.table.apply_full(answer.revision, answer.full_destinations, rows)
        self._pass_on(update)
        for number, has_endpoints in update.refreshed.items():
            self.session.batch.to_resolve.pop(number, None)
            if self.lookups.finish(number):
                is_found = ResolutionStatus.RESOLVED if has_endpoints else ResolutionStatus.NOT_FOUND
                self._end_lookup(number, is_found)

    def _pass_on(self, update: ListUpdate) -> None:
        changes = (update.removed, update.changed)
        self.actions.extend(EntriesChanged(tuple(rows)) for rows in changes if rows)

    def _end_lookup(self, number: int, status: ResolutionStatus) -> None:
        self.actions.append(DestinationResolved(number, status))

    def _reduce_requests(self, now: float, change: SubscriptionChange, is_too_long: bool) -> None:
        """Asks for fewer destinations at a time; one whose endpoints alone are too many is left out."""
        requested = (*change.added, *change.confirmed)
        if is_too_long and len(requested) == 1:
            self._leave_out(now, requested[0])
        if requested:
            self.session.batch.shrink(len(requested))

    def _leave_out(self, now: float, number: int) -> None:
        self.actions.append(LogLine(f"the endpoints of destination {number} do not fit into a response"))
        self.lookups.mark_oversize(now, number)
        self.table.discard_unresolved(number)
        if self.lookups.finish(number):
            self._end_lookup(number, ResolutionStatus.UNAVAILABLE)
