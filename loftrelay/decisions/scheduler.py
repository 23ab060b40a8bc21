"""Scheduler: handles batches of events and returns the resulting actions.

Each group of rules has its own module:

    admission       lifecycle (admit), quota (priority weight)
    ends            lifecycle (finish), load_shedding
    choosing        dispatch, priority, routing, batching, deadlines, ordering, idempotency
    limits on calls availability, concurrency, rate_limit, circuit_breaker, slow_start, demand
    after a call    outcomes, feedback, retry, idle_connections
    endpoints       endpoint_table, hibernation

The rules are functions on `DecisionState`. They do no I/O and read no clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from loftrelay.decisions import (
    endpoint_table,
    hibernation,
    lifecycle,
    load_shedding,
    ordering,
    outcomes,
)
from loftrelay.decisions.actions import Action, SetTimer, WatchEndpointList
from loftrelay.decisions.dispatch import fill_slots
from loftrelay.decisions.entities import HibernatedDestination, OpenMessage, OrderingKey
from loftrelay.decisions.events import (
    AttemptEnded,
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListReceived,
    Event,
    FinalStatusReported,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
    OrderingKeyCooldown,
    OutcomeDisputed,
    SettingsChanged,
)
from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER


class Scheduler:
    """Scheduler of one relay.

    Args:
        seed: Seed of the random generator.
        settings: Settings until the first SettingsChanged.
    """

    def __init__(self, seed: int, settings: RelaySettings) -> None:
        self.state = DecisionState.create(seed, settings)

    def handle_batch(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Applies all events of a batch, then makes the decisions once.

        Args:
            now: The time in microseconds; never less than in the previous batch.
            events: The events since the previous batch, in order.

        Returns:
            The actions, to be executed in order.
        """
        state = self.state
        state.now, state.actions, state.next_batch_at = now, [], NEVER
        state.started_at = min(state.started_at, now)
        for event in events:
            self._apply_event(event)
        self._watch_if_due()
        self._run_due_timers()
        load_shedding.end_blocked_messages(state)
        load_shedding.shed_excess(state)
        self._dispatch()
        self._set_timer()
        return state.actions

    def apply_retry_after(self, now: int, endpoint: str, retry_after: int) -> None:
        """Applies a Retry-After, in microseconds, as soon as it is received, even between batches."""
        self.state.now = max(self.state.now, now)
        outcomes.apply_retry_after(self.state, endpoint, retry_after)

    def is_blocked(self, now: int, endpoint: str) -> bool:
        """Returns whether a Retry-After forbids a call. Check this before the first byte of each call."""
        limiter = hibernation.find_call_limiter(self.state, endpoint)
        return limiter is not None and limiter.retry_after_until > now

    def is_idle(self, now: int, destination: int) -> bool:
        """Returns whether a destination can be released, given all events so far."""
        return hibernation.is_idle(self.state, now, destination)

    def avoided_endpoint_count(self) -> int:
        """Returns how many listed endpoints are disabled or failing now."""
        return endpoint_table.avoided_count(self.state)

    def _apply_event(self, event: Event) -> None:
        match event:
            case MessageSubmitted():
                lifecycle.admit(self.state, event)
            case AttemptEnded():
                outcomes.attempt_ended(self.state, event)
            case EndpointListReceived():
                endpoint_table.update_list(self.state, event)
            case MessageCancelled(message_id):
                lifecycle.cancel(self.state, message_id)
            case MessageRecovered():
                lifecycle.recover(self.state, event)
            case FinalStatusReported(message_id):
                lifecycle.final_status_reported(self.state, message_id)
            case OutcomeDisputed():
                lifecycle.dispute_outcome(self.state, event)
            case OrderingKeyCooldown(name, remaining):
                ordering.extend_cooldown(self.state, name, remaining)
            case _:
                self._apply_operator_event(event)

    def _apply_operator_event(self, event: Event) -> None:
        match event:
            case EndpointDisabled(endpoint):
                endpoint_table.disable(self.state, endpoint)
            case EndpointEnabled(endpoint):
                endpoint_table.enable(self.state, endpoint)
            case DestinationsReleased(destinations):
                for number in destinations:
                    hibernation.hibernate(self.state, number)
            case SettingsChanged(settings):
                self.state.apply_settings(settings)

    def _watch_if_due(self) -> None:
        if self.state.now >= self.state.watch_at:
            self.state.watch_at = NEVER
            self.state.actions.append(WatchEndpointList())

    def _run_due_timers(self) -> None:
        timers = self.state.timers
        while timers and timers[0][0] <= self.state.now:
            _, _, subject = heapq.heappop(timers)
            match subject:
                case OpenMessage():
                    lifecycle.check_deadline(self.state, subject)
                case OrderingKey():
                    ordering.drop_unused_key(self.state, subject)
                case HibernatedDestination():
                    hibernation.drop_if_irrelevant(self.state, subject)

    def _dispatch(self) -> None:
        fill_slots(self.state)

    def _set_timer(self) -> None:
        """Requests a batch for the next due time, unless an earlier timer is already set."""
        state = self.state
        next_timer = state.timers[0][0] if state.timers else NEVER
        due = min(state.next_batch_at, state.watch_at, next_timer)
        if state.now >= state.timer_set_for:
            state.timer_set_for = NEVER
        if due < state.timer_set_for:
            state.timer_set_for = max(due, state.now + 1)
            state.actions.append(SetTimer(state.timer_set_for - state.now, 0))
