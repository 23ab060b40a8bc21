"""Random events by fixed seeds through the connection pool, and a digest of the actions that they give.

The names of events are this test's own, so that the pool's may change; `api` maps them.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Mapping
from dataclasses import astuple
from typing import Any

MS, SECOND = 1_000, 1_000_000
STEPS = 1_500
HOSTS = ("a", "b", "c", "d")
PAUSES = (0, 0, 0, MS, 5 * MS, 30 * MS, 120 * MS, 600 * MS, 2 * SECOND, 7 * SECOND, 40 * SECOND)
COMMON = ("connected", "connected", "answered", "answered", "answered", "request", "request", "request")
RARE = (
    "failed",
    "lost",
    "closed",
    "unsolicited",
    "unused",
    "cancel",
    "address",
    "drain",
    "remove",
    "close_idle",
)


def settings_of(seed: int) -> dict[str, Any]:
    pick = random.Random(seed).choice
    return {
        "is_strict": pick([False, False, True]),
        "distrust_scope": pick(["server", "all"]),
        "trust_restored_after": pick([0, 20 * SECOND]),
        "reuse_delay": pick([0, 10 * MS]),
        "early_response_fraction": pick([0.0, 0.25]),
        "reuse_order": pick(["newest", "rotate"]),
        "max_per_host": pick([0, 0, 3]),
        "max_total": pick([0, 0, 7]),
        "max_connecting": pick([0, 2]),
        "connect_backoff": pick([0, 100 * MS]),
        "is_capacity_learned": pick([False, True]),
        "max_prewarmed": pick([0, 4]),
        "warm_up_after": pick([100 * MS, SECOND]),
        "max_idle": pick([0, 15 * SECOND]),
        "max_age": pick([0, 30 * SECOND]),
        "is_age_limit_learned": pick([False, True, True]),
        "min_resets": pick([1, 3]),
        "reset_memory": pick([20 * SECOND, 300 * SECOND]),
        "capacity_memory": pick([SECOND, 30 * SECOND]),
        "limit_jitter": pick([0.0, 0.2]),
    }


class Trace:
    """Plays events on one pool; `pool` has a method for each event, by the names of `api`."""

    def __init__(self, seed: int, pool: Any, api: Mapping[str, Any], kinds: Mapping[type, str]) -> None:
        self.random = random.Random(seed)
        self.pool, self.api, self.kinds = pool, api, kinds
        self.now = 1_000 * SECOND
        self.numbers: dict[int, int] = {}  # the pool's number of a connection -> in order of opening
        self.opening: list[int] = []
        self.idle: list[int] = []
        self.busy: list[int] = []
        self.waiting: list[int] = []
        self.last_call = 0
        self.digest = hashlib.sha256()
        self.actions: dict[str, int] = {}

    def event(self, name: str) -> Callable[..., Any]:
        method: Callable[..., Any] = getattr(self.pool, self.api[name])
        return method

    def note(self, *what: Any) -> None:
        self.digest.update(repr(what).encode())

    def act(self, actions: list[Any]) -> None:
        for action in actions:
            kind, values = self.kinds[type(action)], list(astuple(action))
            self.actions[kind] = self.actions.get(kind, 0) + 1
            if kind == "log":
                values = []
            elif kind == "open":
                number = values[1]
                self.numbers[number] = values[1] = len(self.numbers)
                self.opening.append(number)
            elif kind == "close":
                for group in (self.opening, self.idle):
                    if values[0] in group:
                        group.remove(values[0])
                values[0] = self.numbers[values[0]]
            elif kind == "use":
                self.waiting.remove(values[0])
                self.idle.remove(values[1])
                self.busy.append(values[1])
                values[1] = self.numbers[values[1]]
            else:
                self.waiting.remove(values[0])
                values[1] = self.api["error_names"][values[1]]
            self.note(kind, *values)

    def take(self, group: list[int]) -> int | None:
        return group.pop(self.random.randrange(len(group))) if group else None

    def step(self) -> None:
        self.now += self.random.choice(PAUSES) * self.random.randint(0, 2)
        if (due := getattr(self.pool, self.api["due"])) is not None and due <= self.now:
            self.note("due", due)
            self.act(self.event("tick")(self.now))
        self.play(self.random.choice(COMMON if self.random.random() < 0.75 else RARE))
        if self.random.random() < 0.3:
            self.event("outcome")(
                self.random.choice(HOSTS),
                self.random.random() < 0.95,
                self.random.choice([0] * 20 + [SECOND]),
                self.now,
            )
        self.note([self.event("needs_new")(host) for host in HOSTS])
        self.note([(self.event("earliest")(n), self.event("first_use")(n)) for n in self.busy])
        self.note([self.event("waits_for_room")(call) for call in self.waiting])

    def play(self, name: str) -> None:
        host = self.random.choice(HOSTS)
        if name == "request":
            self.last_call += 1
            self.waiting.append(self.last_call)
            max_idle = self.random.choice([None, None, 50 * MS, SECOND])
            unsafe = self.random.random() < 0.3
            self.act(self.event(name)(self.last_call, host, unsafe, max_idle, self.now))
        elif name == "cancel":
            if (call := self.take(self.waiting)) is not None:
                self.act(self.event(name)(call, self.now))
        elif name == "address":
            self.act(self.event(name)(host, self.random.randint(0, 1), host in "ab", self.now))
        elif name in ("drain", "remove", "close_idle"):
            self.act(self.event(name)(host, self.now))
        else:
            self.play_on_connection(name)

    def play_on_connection(self, name: str) -> None:
        if name in ("connected", "failed"):
            if (number := self.take(self.opening)) is None:
                return
            if name == "connected":
                self.idle.append(number)
                self.act(self.event(name)(number, self.now))
            else:
                kind = self.random.choice(["refused", "refused", "timed_out", "no_descriptors"])
                self.act(self.event(name)(number, self.api[kind], self.now))
            return
        if name in ("closed", "unsolicited") and self.random.random() < 0.8:
            number = self.take(self.idle)
        else:
            number = self.take(self.busy)
        if number is None:
            return
        if name == "answered":
            self.idle.append(number)
            took = self.random.choice([None, 20 * MS, 50 * MS])
            self.act(self.event(name)(number, self.random.random() < 0.9, self.now, took))
        elif name == "unused":
            self.idle.append(number)
            self.act(self.event(name)(number, self.now))
        elif name == "lost":
            self.act(self.event(name)(number, self.random.random() < 0.8, self.now))
        elif name == "closed":
            self.act(self.event(name)(number, self.now))
        else:
            self.act(
                self.event(name)(number, self.random.random() < 0.5, self.now, self.random.random() < 0.3)
            )

    def run(self) -> str:
        for host in HOSTS[:3]:
            self.act(self.event("address")(host, 0, host in "ab", self.now))
        for _ in range(STEPS):
            self.step()
        return self.digest.hexdigest()[:16]
