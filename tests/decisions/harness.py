"""Settings, factories and a driver for tests of the scheduler. The tests supply all outcomes themselves."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from loftrelay.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt, SetTimer
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageSubmitted,
    TimerFired,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import DeliverySemantics, EndpointKind, MessageClass, RelaySettings

MILLISECOND_US, SECOND_US = 1_000, 1_000_000
START = 5_000 * SECOND_US


def make_message_class(name: str, semantics: DeliverySemantics, **changes: Any) -> MessageClass:
    """Returns a message class with default values for the fields that are not given."""
    base = MessageClass(
        name=name,
        semantics=semantics,
        dedup_scope="all",
        dedup_window=5 * SECOND_US,
        latency_objective=2 * SECOND_US,
        deadline=20 * SECOND_US,
        priority_weight=1.0,
        late_priority_weight=0.4,
        is_ordered=False,
    )
    return replace(base, **changes)


CLASSES = {
    "idempotent": make_message_class("idempotent", DeliverySemantics.IDEMPOTENT),
    "deduplicated": make_message_class("deduplicated", DeliverySemantics.DEDUPLICATED),
    "zone_deduplicated": make_message_class(
        "zone_deduplicated", DeliverySemantics.DEDUPLICATED, dedup_scope="zone"
    ),
    "at_most_once": make_message_class("at_most_once", DeliverySemantics.AT_MOST_ONCE),
    "unknown_semantics": make_message_class("unknown_semantics", DeliverySemantics.UNKNOWN),
    "ordered_idempotent": make_message_class(
        "ordered_idempotent", DeliverySemantics.IDEMPOTENT, is_ordered=True
    ),
    "ordered_at_most_once": make_message_class(
        "ordered_at_most_once", DeliverySemantics.AT_MOST_ONCE, is_ordered=True
    ),
}
# Order in which randomized tests index the classes; fixed, so that each seed keeps its scenario.
CLASS_NAMES = (
    "deduplicated",
    "unknown_semantics",
    "ordered_idempotent",
    "idempotent",
    "ordered_at_most_once",
    "at_most_once",
    "zone_deduplicated",
)

SETTINGS = RelaySettings(
    classes=CLASSES,
    tenants={},
    endpoint_kinds={
        "shared_limits": EndpointKind("shared_limits", 1, False),
        "own_limits": EndpointKind("own_limits", 1, True),
        "batching": EndpointKind("batching", 5, True),
    },
    zone="here",
    zone_costs={},
    relay_count=2,
    max_concurrent_calls=8,
    max_attempts=6,
    max_open_messages=100,
    polls_endpoint_list=False,
    poll_interval=10 * SECOND_US,
    can_cancel=True,
    can_probe=False,
    sends_retry_after=True,
    max_retry_after=2 * SECOND_US,
    listed_rate_kind=None,
    over_quota_weight=0.1,
    ordering_cooldown=300 * MILLISECOND_US,
    slow_start_duration=10 * SECOND_US,
    slow_start_initial_fraction=0.2,
    overload_multiple=2.0,
    overload_window=2 * SECOND_US,
    batch_interval=5 * MILLISECOND_US,
    connection_idle_timeout=10 * SECOND_US,
)


def make_entry(
    name: str, destination: int = 1, zone: str = "here", kind: str = "shared_limits", **changes: Any
) -> EndpointEntry:
    """Returns the list entry of an active endpoint, with the given fields changed."""
    return replace(EndpointEntry(name, destination, EndpointState.ACTIVE, zone, kind, None), **changes)


def make_message(name: str, class_name: str = "idempotent", **changes: Any) -> MessageSubmitted:
    """Returns a message for destination 1 with 20 s until its deadline, with the given fields changed."""
    return replace(MessageSubmitted(name, 1, class_name, None, 20 * SECOND_US, None), **changes)


class SchedulerDriver:
    """Runs batches of a scheduler and records its actions.

    Attributes:
        settings: The settings of the scheduler.
        scheduler: The scheduler under test.
        now: The time of the last batch, in microseconds.
        sent: All attempts, with the time at which each was sent.
        timer_at: When the timer of the scheduler fires; None: no timer is set.
        actions: All actions so far.
    """

    def __init__(self, *entries: EndpointEntry, seed: int = 7, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.scheduler = Scheduler(seed, self.settings)
        self.now = START
        self.sent: list[tuple[int, SendAttempt]] = []
        self.timer_at: int | None = None
        self.actions: list[Action] = []
        self.run_batch(EndpointListReceived(EndpointListKind.FULL, entries))

    def run_batch(self, *events: Event, after: int = 0) -> list[Action]:
        """Runs one batch `after` microseconds later and returns its actions; adds a timer that is due."""
        self.now += after
        if self.timer_at is not None and self.timer_at <= self.now:
            self.timer_at, events = None, (*events, TimerFired(0))
        actions = self.scheduler.handle_batch(self.now, events)
        for action in actions:
            if isinstance(action, SendAttempt):
                self.sent.append((self.now, action))
            if isinstance(action, SetTimer):
                due = self.now + action.delay
                self.timer_at = due if self.timer_at is None else min(self.timer_at, due)
        self.actions += actions
        return actions

    def advance_clock(self, duration: int) -> list[Action]:
        """Advances the clock, with timers as the only events.

        Stops at the first batch with an action other than SetTimer and returns these actions; returns an
        empty list after `duration` microseconds without one.
        """
        end = self.now + duration
        while self.timer_at is not None and self.timer_at <= end:
            actions: list[Action] = [
                action
                for action in self.run_batch(after=max(0, self.timer_at - self.now))
                if not isinstance(action, SetTimer)
            ]
            if actions:
                return actions
        self.now = end
        return []

    def submit(
        self, name: str, class_name: str = "idempotent", after: int = 0, **changes: Any
    ) -> list[Action]:
        """Submits a message to destination 1 in a batch of its own, with the given event fields changed."""
        return self.run_batch(make_message(name, class_name, **changes), after=after)

    def end_attempt(
        self,
        name: str,
        status: AttemptStatus,
        after: int = 50 * MILLISECOND_US,
        retry_after: int = 0,
        is_final: bool | None = None,
    ) -> list[Action]:
        """Ends the last attempt of a message in a batch of its own; see `make_attempt_ended`."""
        return self.run_batch(
            self.make_attempt_ended(name, status, retry_after=retry_after, is_final=is_final, after=after),
            after=after,
        )

    def make_attempt_ended(
        self,
        name: str,
        status: AttemptStatus,
        retry_after: int = 0,
        is_final: bool | None = None,
        after: int = 0,
    ) -> AttemptEnded:
        """Returns the outcome, `after` microseconds from now, of the last attempt of a message.

        Args:
            name: The message.
            status: The outcome.
            retry_after: Retry-After of the response in microseconds; 0: none.
            is_final: Whether the message was delivered; None: if the status is OK.
            after: Microseconds from now until the outcome.
        """
        sent_at, attempt = [sent for sent in self.sent if sent[1].message_id == name][-1]
        is_final = status is AttemptStatus.OK if is_final is None else is_final
        number = sum(sent.message_id == name for _, sent in self.sent) - 1
        elapsed = self.now + after - sent_at
        return AttemptEnded(
            name, number, attempt.endpoint, status, elapsed, is_final, retry_after, None, None
        )

    def messages_in_flight(self) -> list[str]:
        """Returns the ids of the messages that are in a call."""
        return [name for name, message in self.scheduler.state.messages.items() if message.call is not None]

    def run_successful_calls(self, calls: int = 6, class_name: str = "idempotent") -> None:
        """Delivers some messages, which opens the concurrency window."""
        for i in range(calls):
            self.submit(f"warm{i}", class_name)
            self.end_attempt(f"warm{i}", AttemptStatus.OK)


def sent_messages(actions: list[Action]) -> list[str]:
    """Returns the ids of the messages that are sent by a list of actions."""
    return [action.message_id for action in actions if isinstance(action, SendAttempt)]


def ended_messages(actions: list[Action]) -> list[tuple[type, str]]:
    """Returns the type and message id of each FailMessage and RejectMessage in a list of actions."""
    return [
        (type(action), action.message_id)
        for action in actions
        if isinstance(action, FailMessage | RejectMessage)
    ]
