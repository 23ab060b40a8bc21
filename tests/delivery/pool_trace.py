"""Random pool events from fixed seeds, and a digest of the resulting actions.

The names of events, actions and errors are those of the test, so that the pool may rename its own:
`method_names` and `action_names` map them.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Mapping
from dataclasses import astuple
from typing import Any

MS, SECOND = 1_000, 1_000_000
STEP_COUNT = 1_500
HOSTS = ("a", "b", "c", "d")
PAUSES_US = (0, 0, 0, MS, 5 * MS, 30 * MS, 120 * MS, 600 * MS, 2 * SECOND, 7 * SECOND, 40 * SECOND)
FREQUENT_EVENTS = (
    "connected",
    "connected",
    "response",
    "response",
    "response",
    "acquire",
    "acquire",
    "acquire",
)
RARE_EVENTS = (
    "connect_failed",
    "connection_lost",
    "closed_by_peer",
    "unsolicited",
    "release_unused",
    "cancel",
    "set_host",
    "drain",
    "remove",
    "close_idle",
)


def draw_settings(seed: int) -> dict[str, Any]:
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


class PoolTrace:
    """Sends random events to a pool and digests its actions.

    Attributes:
        pool: The pool, with a method for each event.
        method_names: Maps event names to the methods and enum members of the pool.
        action_names: Maps action types to their names in the digest.
    """

    def __init__(
        self, seed: int, pool: Any, method_names: Mapping[str, Any], action_names: Mapping[type, str]
    ) -> None:
        self.random = random.Random(seed)
        self.pool, self.method_names, self.action_names = pool, method_names, action_names
        self.now = 1_000 * SECOND
        self.open_order: dict[int, int] = {}  # connection number in the pool -> position in order of opening
        self.opening: list[int] = []
        self.idle: list[int] = []
        self.busy: list[int] = []
        self.waiting: list[int] = []
        self.last_call = 0
        self.digest = hashlib.sha256()
        self.action_counts: dict[str, int] = {}

    def method(self, name: str) -> Callable[..., Any]:
        method: Callable[..., Any] = getattr(self.pool, self.method_names[name])
        return method

    def record(self, *values: Any) -> None:
        self.digest.update(repr(values).encode())

    def execute(self, actions: list[Any]) -> None:
        for action in actions:
            kind, values = self.action_names[type(action)], list(astuple(action))
            self.action_counts[kind] = self.action_counts.get(kind, 0) + 1
            if kind == "log":
                values = []
            elif kind == "open":
                number = values[1]
                self.open_order[number] = values[1] = len(self.open_order)
                self.opening.append(number)
            elif kind == "close":
                for connections in (self.opening, self.idle):
                    if values[0] in connections:
                        connections.remove(values[0])
                values[0] = self.open_order[values[0]]
            elif kind == "use":
                self.waiting.remove(values[0])
                self.idle.remove(values[1])
                self.busy.append(values[1])
                values[1] = self.open_order[values[1]]
            else:
                self.waiting.remove(values[0])
                values[1] = self.method_names["error_names"][values[1]]
            self.record(kind, *values)

    def pop_random(self, connections: list[int]) -> int | None:
        return connections.pop(self.random.randrange(len(connections))) if connections else None

    def step(self) -> None:
        self.now += self.random.choice(PAUSES_US) * self.random.randint(0, 2)
        if (due := getattr(self.pool, self.method_names["next_timer_at"])) is not None and due <= self.now:
            self.record("due", due)
            self.execute(self.method("run_timers")(self.now))
        self.run_event(self.random.choice(FREQUENT_EVENTS if self.random.random() < 0.75 else RARE_EVENTS))
        if self.random.random() < 0.3:
            self.method("record_outcome")(
                self.random.choice(HOSTS),
                self.random.random() < 0.95,
                self.random.choice([0] * 20 + [SECOND]),
                self.now,
            )
        self.record([self.method("requires_unused")(host) for host in HOSTS])
        self.record(
            [(self.method("min_response_time")(n), self.method("is_first_use")(n)) for n in self.busy]
        )
        self.record([self.method("is_waiting_for_release")(call) for call in self.waiting])

    def run_event(self, name: str) -> None:
        host = self.random.choice(HOSTS)
        if name == "acquire":
            self.last_call += 1
            self.waiting.append(self.last_call)
            max_idle = self.random.choice([None, None, 50 * MS, SECOND])
            is_at_most_once = self.random.random() < 0.3
            self.execute(self.method(name)(self.last_call, host, is_at_most_once, max_idle, self.now))
        elif name == "cancel":
            if (call := self.pop_random(self.waiting)) is not None:
                self.execute(self.method(name)(call, self.now))
        elif name == "set_host":
            self.execute(self.method(name)(host, self.random.randint(0, 1), host in "ab", self.now))
        elif name in ("drain", "remove", "close_idle"):
            self.execute(self.method(name)(host, self.now))
        else:
            self.run_connection_event(name)

    def run_connection_event(self, name: str) -> None:
        if name in ("connected", "connect_failed"):
            if (number := self.pop_random(self.opening)) is None:
                return
            if name == "connected":
                self.idle.append(number)
                self.execute(self.method(name)(number, self.now))
            else:
                kind = self.random.choice(["refused", "refused", "timed_out", "no_descriptors"])
                self.execute(self.method(name)(number, self.method_names[kind], self.now))
            return
        if name in ("closed_by_peer", "unsolicited") and self.random.random() < 0.8:
            number = self.pop_random(self.idle)
        else:
            number = self.pop_random(self.busy)
        if number is None:
            return
        if name == "response":
            self.idle.append(number)
            response_time = self.random.choice([None, 20 * MS, 50 * MS])
            self.execute(self.method(name)(number, self.random.random() < 0.9, self.now, response_time))
        elif name == "release_unused":
            self.idle.append(number)
            self.execute(self.method(name)(number, self.now))
        elif name == "connection_lost":
            self.execute(self.method(name)(number, self.random.random() < 0.8, self.now))
        elif name == "closed_by_peer":
            self.execute(self.method(name)(number, self.now))
        else:
            self.execute(
                self.method(name)(number, self.random.random() < 0.5, self.now, self.random.random() < 0.3)
            )

    def run(self) -> str:
        for host in HOSTS[:3]:
            self.execute(self.method("set_host")(host, 0, host in "ab", self.now))
        for _ in range(STEP_COUNT):
            self.step()
        return self.digest.hexdigest()[:16]
