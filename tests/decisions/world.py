"""Settings and a small hand-driven harness for tests of the module. It models no servers."""

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


def message_class(name: str, semantics: DeliverySemantics, **changes: Any) -> MessageClass:
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
    "safe": message_class("safe", DeliverySemantics.IDEMPOTENT),
    "keyed": message_class("keyed", DeliverySemantics.DEDUPLICATED),
    "zoned": message_class("zoned", DeliverySemantics.DEDUPLICATED, dedup_scope="zone"),
    "unsafe": message_class("unsafe", DeliverySemantics.AT_MOST_ONCE),
    "odd": message_class("odd", DeliverySemantics.UNKNOWN),
    "ordered": message_class("ordered", DeliverySemantics.IDEMPOTENT, is_ordered=True),
    "strict": message_class("strict", DeliverySemantics.AT_MOST_ONCE, is_ordered=True),
}

SETTINGS = RelaySettings(
    classes=CLASSES,
    tenants={},
    endpoint_kinds={
        "plain": EndpointKind("plain", 1, False),
        "apart": EndpointKind("apart", 1, True),
        "bundled": EndpointKind("bundled", 5, True),
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
    name: str, destination: int = 1, zone: str = "here", kind: str = "plain", **changes: Any
) -> EndpointEntry:
    return replace(EndpointEntry(name, destination, EndpointState.ACTIVE, zone, kind, None), **changes)


class SchedulerDriver:
    """Feeds a Brain and keeps book of what it did."""

    def __init__(self, *entries: EndpointEntry, seed: int = 7, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.scheduler = Scheduler(seed, self.settings)
        self.now = START
        self.sent: list[tuple[int, SendAttempt]] = []
        self.timer_at: int | None = None
        self.actions: list[Action] = []
        self.run_batch(EndpointListReceived(EndpointListKind.FULL, entries))

    def run_batch(self, *events: Event, after: int = 0) -> list[Action]:
        """One batch, so many microseconds after the one before."""
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
        """Lets time pass; timers are the only events. Stops at the first batch that does something."""
        end = self.now + duration
        while self.timer_at is not None and self.timer_at <= end:
            actions: list[Action] = [
                a
                for a in self.run_batch(after=max(0, self.timer_at - self.now))
                if not isinstance(a, SetTimer)
            ]
            if actions:
                return actions
        self.now = end
        return []

    def submit(self, name: str, class_name: str = "safe", after: int = 0, **changes: Any) -> list[Action]:
        event = MessageSubmitted(name, 1, class_name, None, 20 * SECOND_US, None)
        return self.run_batch(replace(event, **changes), after=after)

    def end_attempt(
        self,
        name: str,
        status: AttemptStatus,
        after: int = 50 * MILLISECOND_US,
        retry_after: int = 0,
        is_final: bool | None = None,
    ) -> list[Action]:
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
        at, send = [x for x in self.sent if x[1].message_id == name][-1]
        ended = status is AttemptStatus.OK if is_final is None else is_final
        number = sum(s.message_id == name for _, s in self.sent) - 1
        return AttemptEnded(
            name, number, send.endpoint, status, self.now + after - at, ended, retry_after, None, None
        )

    def run_successful_calls(self, calls: int = 6, class_name: str = "safe") -> None:
        """Some successes, so that the window is open."""
        for i in range(calls):
            self.submit(f"warm{i}", class_name)
            self.end_attempt(f"warm{i}", AttemptStatus.OK)


def sent_messages(actions: list[Action]) -> list[str]:
    return [a.message_id for a in actions if isinstance(a, SendAttempt)]


def ended_messages(actions: list[Action]) -> list[tuple[type, str]]:
    return [(type(a), a.message_id) for a in actions if isinstance(a, FailMessage | RejectMessage)]
