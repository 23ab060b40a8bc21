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

MS, S = 1_000, 1_000_000
START = 5_000 * S


def message_class(name: str, effect: DeliverySemantics, **changes: Any) -> MessageClass:
    base = MessageClass(
        name=name,
        semantics=effect,
        dedup_scope="all",
        dedup_window=5 * S,
        latency_objective=2 * S,
        deadline=20 * S,
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
    poll_interval=10 * S,
    can_cancel=True,
    can_probe=False,
    sends_retry_after=True,
    max_retry_after=2 * S,
    listed_rate_kind=None,
    over_quota_weight=0.1,
    ordering_cooldown=300 * MS,
    slow_start_duration=10 * S,
    slow_start_initial_fraction=0.2,
    overload_multiple=2.0,
    overload_window=2 * S,
    batch_interval=5 * MS,
    connection_idle_timeout=10 * S,
)


def entry(
    name: str, destination: int = 1, zone: str = "here", kind: str = "plain", **changes: Any
) -> EndpointEntry:
    return replace(EndpointEntry(name, destination, EndpointState.ACTIVE, zone, kind, None), **changes)


class Driver:
    """Feeds a Brain and keeps book of what it did."""

    def __init__(self, *entries: EndpointEntry, seed: int = 7, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.brain = Scheduler(seed, self.settings)
        self.now = START
        self.sent: list[tuple[int, SendAttempt]] = []
        self.tries: dict[str, int] = {}
        self.wake: int | None = None
        self.log: list[Action] = []
        self.feed(EndpointListReceived(EndpointListKind.FULL, entries))

    def feed(self, *events: Event, after: int = 0) -> list[Action]:
        """One batch, so many microseconds after the one before."""
        self.now += after
        if self.wake is not None and self.wake <= self.now:
            self.wake, events = None, (*events, TimerFired(0))
        actions = self.brain.handle_batch(self.now, events)
        for action in actions:
            if isinstance(action, SendAttempt):
                self.sent.append((self.now, action))
            if isinstance(action, SetTimer):
                due = self.now + action.delay
                self.wake = due if self.wake is None else min(self.wake, due)
        self.log += actions
        return actions

    def run(self, duration: int) -> list[Action]:
        """Lets time pass; timers are the only events. Stops at the first batch that does something."""
        end = self.now + duration
        while self.wake is not None and self.wake <= end:
            actions: list[Action] = [
                a for a in self.feed(after=max(0, self.wake - self.now)) if not isinstance(a, SetTimer)
            ]
            if actions:
                return actions
        self.now = end
        return []

    def submit(self, name: str, of: str = "safe", after: int = 0, **changes: Any) -> list[Action]:
        event = MessageSubmitted(name, 1, of, None, 20 * S, None)
        return self.feed(replace(event, **changes), after=after)

    def outcome(
        self, name: str, result: AttemptStatus, after: int = 50 * MS, wait: int = 0, over: bool | None = None
    ) -> list[Action]:
        return self.feed(self.outcome_event(name, result, wait=wait, over=over, after=after), after=after)

    def outcome_event(
        self, name: str, result: AttemptStatus, wait: int = 0, over: bool | None = None, after: int = 0
    ) -> AttemptEnded:
        at, send = [x for x in self.sent if x[1].message_id == name][-1]
        ended = result is AttemptStatus.OK if over is None else over
        number = sum(s.message_id == name for _, s in self.sent) - 1
        return AttemptEnded(
            name, number, send.endpoint, result, self.now + after - at, ended, wait, None, None
        )

    def warm(self, calls: int = 6, of: str = "safe") -> None:
        """Some successes, so that the window is open."""
        for i in range(calls):
            self.submit(f"warm{i}", of)
            self.outcome(f"warm{i}", AttemptStatus.OK)


def sends(actions: list[Action]) -> list[str]:
    return [a.message_id for a in actions if isinstance(a, SendAttempt)]


def ends(actions: list[Action]) -> list[tuple[type, str]]:
    return [(type(a), a.message_id) for a in actions if isinstance(a, FailMessage | RejectMessage)]
