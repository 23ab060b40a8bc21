"""Session with the registry in use: synchronization, calls, failover and checks of other registries.

One registry is in use in every mode except OFF and BACKOFF. It is first sent the whole set of destinations
in parts (SYNCING), then changes of the set, while a watch waits for changes of endpoints (WATCHING).
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto

from loftrelay.discovery.change_batch import ChangeBatch
from loftrelay.discovery.destination_table import DestinationTable
from loftrelay.discovery.freshness import Freshness
from loftrelay.discovery.pending_lookups import PendingLookups
from loftrelay.discovery.registry_selection import RegistrySelection
from loftrelay.discovery.subscription_actions import Action, LogLine
from loftrelay.discovery.subscription_calls import OutstandingCalls
from loftrelay.registry.protocol import SubscriptionResponse

MIN_WATCH_INTERVAL_S = 0.05  # avoids a busy loop when watches are answered at once


class Mode(Enum):
    """State of the subscription."""

    OFF = auto()
    BACKOFF = auto()  # all registries failed; the next round begins at `retry_at`
    SYNCING = auto()  # the registry is being sent the whole set; there is no watch yet
    WATCHING = auto()


class Event(Enum):
    """Event that changes the mode."""

    PAUSE = auto()
    SYNC = auto()  # start, end of a backoff, move to another registry, or replacement of its set
    SYNCED = auto()  # the registry has the whole set
    ALL_FAILED = auto()  # every registry failed in this round


# Events not listed for a mode cannot happen in it.
TRANSITIONS: dict[Mode, dict[Event, Mode]] = {
    Mode.OFF: {Event.PAUSE: Mode.OFF, Event.SYNC: Mode.SYNCING},
    Mode.BACKOFF: {Event.PAUSE: Mode.OFF, Event.SYNC: Mode.SYNCING, Event.ALL_FAILED: Mode.BACKOFF},
    Mode.SYNCING: {
        Event.PAUSE: Mode.OFF,
        Event.SYNC: Mode.SYNCING,
        Event.SYNCED: Mode.WATCHING,
        Event.ALL_FAILED: Mode.BACKOFF,
    },
    Mode.WATCHING: {Event.PAUSE: Mode.OFF, Event.SYNC: Mode.SYNCING, Event.ALL_FAILED: Mode.BACKOFF},
}


@dataclass(slots=True)
class RegistrySession:
    """Synchronizes the registry in use with the relay's destinations, and fails over to another if necessary.

    Attributes:
        table: The relay's destinations.
        lookups: Lookups that are waiting for a response.
        selection: The registries.
        freshness: Staleness of their data.
        calls: Outstanding calls.
        counts: The subscription's counters.
        actions: List to which actions are appended.
        batch: Changes of the set not yet sent to the registry.
        mode: State of the session.
        revision: Revision up to which all destinations are known to the relay.
        watch_due_at: Earliest time of the next watch.
        retry_at: Start of the next round of registries, in BACKOFF.
        sync_started_at: When synchronization with the registry in use began.
        sync_revision: Lowest revision among the responses of the synchronization.
    """

    table: DestinationTable
    lookups: PendingLookups
    selection: RegistrySelection
    freshness: Freshness
    calls: OutstandingCalls
    counts: Counter[str]
    actions: list[Action]
    batch: ChangeBatch = field(default_factory=ChangeBatch)
    mode: Mode = Mode.OFF
    revision: int = 0
    watch_due_at: float = 0.0
    retry_at: float = 0.0
    sync_started_at: float = 0.0
    sync_revision: int | None = None

    def start(self, now: float) -> None:
        """Starts, or continues after a pause."""
        if self.mode is Mode.OFF:
            self.selection.failures = 0
            self.synchronize(now)

    def pause(self) -> None:
        """Cancels all calls and makes no others until `start`."""
        self._cancel_calls()
        self._transition(Event.PAUSE)

    @property
    def due_at(self) -> float:
        """When the next call is due."""
        if self.mode is Mode.OFF:
            return math.inf
        if self.mode is Mode.BACKOFF:
            return self.retry_at
        due_at = self.batch.due_at if self.calls.change is None else math.inf
        if self.mode is Mode.WATCHING and self.calls.watch is None:
            due_at = min(due_at, self.watch_due_at)
        if self.mode is Mode.WATCHING and self.calls.check is None:
            due_at = min(due_at, self.selection.failback_at)
        return due_at

    def tick(self, now: float) -> None:
        """Sends the calls that are due."""
        if self.mode is Mode.BACKOFF and now >= self.retry_at:
            self.synchronize(now)
        self.send_due_calls(now)
        self._check_preferred_registry(now)

    def _check_preferred_registry(self, now: float) -> None:
        is_due = self.calls.check is None and now >= self.selection.failback_at
        if self.mode is Mode.WATCHING and is_due:
            self.selection.failback_at = math.inf
            self._send_check(0)

    def synchronize(self, now: float) -> None:
        """Starts over at the registry in use, with the whole set."""
        self._cancel_calls()
        self._transition(Event.SYNC)
        self.sync_started_at, self.sync_revision = now, None
        self.batch.restart(self.lookups.deadlines)
        for destination_id, destination in self.table.destinations.items():
            if self.lookups.is_oversize(now, destination_id):
                continue
            is_known = destination.is_resolved and not destination.needs_full
            if is_known and max(destination.revision, self.revision) > 0:
                self.batch.to_confirm[destination_id] = None
            else:
                destination.invalidate()
                self.batch.to_resolve[destination_id] = None
        self.selection.ensure_failback(now)
        self.send_due_calls(now)

    def send_due_calls(self, now: float) -> None:
        """Sends a change of the set and a watch, each if it is due and none is outstanding."""
        if self.mode not in (Mode.SYNCING, Mode.WATCHING):
            return
        registry = self.selection.current.address
        if self.calls.change is None:
            if self.batch.is_due(now):
                self.counts["changes"] += 1
                change = self.batch.next_change(self.calls.fleet, self.calls.subscriber, self.revision)
                self.calls.send_change(registry, change)
            elif self.mode is Mode.SYNCING and self.sync_revision is not None:
                self._transition(Event.SYNCED)
                self.watch_due_at = now
                self.revision = max(self.revision, self.sync_revision)
        if self.mode is Mode.WATCHING and self.calls.watch is None and now >= self.watch_due_at:
            self.watch_due_at = now + MIN_WATCH_INTERVAL_S
            self.counts["watches"] += 1
            self.calls.send_watch(registry, self.revision)

    def sync_response_received(self, revision: int) -> None:
        """Records a response to a part of the synchronization.

        The whole set is known at the lowest of these revisions.
        """
        if self.mode is Mode.SYNCING:
            lowest = revision if self.sync_revision is None else self.sync_revision
            self.sync_revision = min(lowest, revision)

    def watch_succeeded(self, now: float) -> None:
        """Resets the failure counts after a successful watch and sends the calls that are due."""
        self.log_registry("serves", "serves this relay's destinations")
        self.selection.watch_succeeded(now - self.sync_started_at)
        self.send_due_calls(now)

    def _cancel_calls(self) -> None:
        if self.mode in (Mode.SYNCING, Mode.WATCHING):
            self.calls.cancel_all()
        self.freshness.pending_checks.clear()

    def _transition(self, event: Event) -> None:
        self.mode = TRANSITIONS[self.mode][event]

    def leave_registry(self, now: float, reason: str) -> None:
        """Logs a failure of the registry in use and moves to the next one."""
        self.counts["failures"] += 1
        self.log_registry(reason, reason)
        self.freshness.registry_failed(self.selection.position)
        self._fail_over(now)

    def _fail_over(self, now: float) -> None:
        if self.selection.fail_over():
            self._cancel_calls()
            self._transition(Event.ALL_FAILED)
            self.retry_at = now + self.selection.backoff()
        else:
            self.synchronize(now)

    def replace_remote_set(self, now: float, reason: str) -> None:
        """Sends the whole set again, or moves to the next registry after too many attempts."""
        if self.selection.count_reset():
            self.leave_registry(now, reason)
        else:
            self.synchronize(now)

    def registry_outdated(self, now: float, synced_at: float) -> None:
        """Moves to the next registry after a response with an older revision than the relay has.

        Such a registry was paused or has no connection to discovery. If all registries have heard older
        revisions since the relay's own, discovery has restarted them: all destinations are resolved again.

        Args:
            now: The time in seconds.
            synced_at: When the registry last received a response from discovery.
        """
        self.counts["older"] += 1
        registry_count = len(self.selection.registries)
        if not self.freshness.registry_outdated(now, self.selection.position, registry_count, synced_at):
            reason = "has an older revision than this relay"
            self.log_registry(reason, reason)
            self._fail_over(now)
            return
        reason = "all registries have older revisions than this relay"
        self.actions.append(LogLine(f"{reason}: resolving all destinations again"))
        self.freshness.outdated_since, self.revision = None, 0
        self.table.forget_revisions()
        self.synchronize(now)

    def check_staleness(self, now: float, response: SubscriptionResponse) -> None:
        """Checks all other registries if the data of the one in use is stale."""
        if not self.freshness.is_stale(response.age_ms / 1000):
            self.freshness.end_rounds()
        elif self.mode is Mode.WATCHING and self.freshness.is_round_due(now):
            reason = "has received nothing from discovery for too long, checking other registries"
            self.log_registry(reason, reason)
            self.freshness.begin_round(now, self.selection.others())
            self._send_next_check()

    def _send_next_check(self) -> None:
        if self.calls.check is None and self.freshness.pending_checks and self.mode is Mode.WATCHING:
            self._send_check(self.freshness.pending_checks.pop(0))

    def _send_check(self, position: int) -> None:
        self.calls.send_check(self.selection.registries[position].address, position)

    def check_response_received(self, now: float, response: SubscriptionResponse) -> None:
        """Moves to the checked registry if its data is fresher, or if it is preferred and not stale."""
        position, age = self.calls.check_position, response.age_ms / 1000
        should_move = self.freshness.should_move_to(
            age, now - age, self.selection.current.synced_at, position == 0
        )
        if response.fleet == self.calls.fleet and response.revision >= self.revision and should_move:
            self.selection.move_to(position)
            self.synchronize(now)
        else:
            self.check_failed(now)

    def check_failed(self, now: float) -> None:
        """Sends the next check. A check of the preferred registry is repeated later."""
        self.calls.check = None
        if self.calls.check_position == 0:
            self.selection.failback_check_failed(now)
        self._send_next_check()

    def log_registry(self, state: str, text: str) -> None:
        """Logs a line about the registry in use, once for each change of its state."""
        registry = self.selection.current
        if registry.logged_state != state:
            registry.logged_state = state
            self.actions.append(LogLine(f"registry {registry} {text}"))
