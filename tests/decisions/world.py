"""Settings and a small hand-driven harness for tests of the module. It models no servers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from loftrelay.decisions import interface as api
from loftrelay.decisions.scheduler import Brain

MS, S = 1_000, 1_000_000
START = 5_000 * S


def message_class(name: str, effect: api.Effect, **changes: Any) -> api.MessageClass:
    base = api.MessageClass(
        name=name, effect=effect, scope="all", window=5 * S, aim=2 * S, deadline=20 * S, worth=1.0,
        late_worth=0.4, in_order=False,
    )  # fmt: skip
    return replace(base, **changes)


CLASSES = {
    "safe": message_class("safe", api.Effect.SAFE),
    "keyed": message_class("keyed", api.Effect.KEYED),
    "zoned": message_class("zoned", api.Effect.KEYED, scope="zone"),
    "unsafe": message_class("unsafe", api.Effect.UNSAFE),
    "odd": message_class("odd", api.Effect.UNKNOWN),
    "ordered": message_class("ordered", api.Effect.SAFE, in_order=True),
    "strict": message_class("strict", api.Effect.UNSAFE, in_order=True),
}

SETTINGS = api.Settings(
    classes=CLASSES, tenants={}, kinds={
        "plain": api.Kind("plain", 1, False),
        "apart": api.Kind("apart", 1, True),
        "bundled": api.Kind("bundled", 5, True),
    }, zone="here", zone_fees={}, instances=2, slots=8, max_attempts=6, max_held=100,
    list_on_request=False, ask_every=10 * S, can_cancel=True, can_probe=False, can_advise=True,
    max_advice=2 * S, told_rates=None, over_share_worth=0.1, rest_after_doubt=300 * MS, cold=10 * S,
    cold_from=0.2, fall_multiple=2.0, tip_after=2 * S, tick=5 * MS, idle_limit=10 * S,
)  # fmt: skip


def entry(
    name: str, destination: int = 1, zone: str = "here", kind: str = "plain", **changes: Any
) -> api.Entry:
    return replace(api.Entry(name, destination, api.State.LISTED, zone, kind, None), **changes)


class Driver:
    """Feeds a Brain and keeps book of what it did."""

    def __init__(self, *entries: api.Entry, seed: int = 7, **changes: Any) -> None:
        self.settings = replace(SETTINGS, **changes)
        self.brain = Brain(seed, self.settings)
        self.now = START
        self.sent: list[tuple[int, api.Send]] = []
        self.tries: dict[str, int] = {}
        self.wake: int | None = None
        self.log: list[api.Action] = []
        self.feed(api.Listing(api.Form.FULL, entries))

    def feed(self, *events: api.Event, after: int = 0) -> list[api.Action]:
        """One batch, so many microseconds after the one before."""
        self.now += after
        if self.wake is not None and self.wake <= self.now:
            self.wake, events = None, (*events, api.Timer(0))
        actions = self.brain.handle(self.now, events)
        for action in actions:
            if isinstance(action, api.Send):
                self.sent.append((self.now, action))
            if isinstance(action, api.SetTimer):
                due = self.now + action.delay
                self.wake = due if self.wake is None else min(self.wake, due)
        self.log += actions
        return actions

    def run(self, duration: int) -> list[api.Action]:
        """Lets time pass; timers are the only events. Stops at the first batch that does something."""
        end = self.now + duration
        while self.wake is not None and self.wake <= end:
            actions: list[api.Action] = [
                a for a in self.feed(after=max(0, self.wake - self.now)) if not isinstance(a, api.SetTimer)
            ]
            if actions:
                return actions
        self.now = end
        return []

    def submit(self, name: str, of: str = "safe", after: int = 0, **changes: Any) -> list[api.Action]:
        event = api.Submit(name, 1, of, None, 20 * S, None)
        return self.feed(replace(event, **changes), after=after)

    def outcome(
        self, name: str, result: api.Result, after: int = 50 * MS, wait: int = 0, over: bool | None = None
    ) -> list[api.Action]:
        return self.feed(self.outcome_event(name, result, wait=wait, over=over, after=after), after=after)

    def outcome_event(
        self, name: str, result: api.Result, wait: int = 0, over: bool | None = None, after: int = 0
    ) -> api.Outcome:
        at, send = [x for x in self.sent if x[1].message == name][-1]
        ended = result is api.Result.OK if over is None else over
        number = sum(s.message == name for _, s in self.sent) - 1
        return api.Outcome(
            name, number, send.endpoint, result, self.now + after - at, ended, wait, None, None
        )

    def warm(self, calls: int = 6, of: str = "safe") -> None:
        """Some successes, so that the window is open."""
        for i in range(calls):
            self.submit(f"warm{i}", of)
            self.outcome(f"warm{i}", api.Result.OK)


def sends(actions: list[api.Action]) -> list[str]:
    return [a.message for a in actions if isinstance(a, api.Send)]


def ends(actions: list[api.Action]) -> list[tuple[type, str]]:
    return [(type(a), a.message) for a in actions if isinstance(a, api.Fail | api.Refuse)]
