"""Many schedulers at one destination, in virtual time: what each does alone, and what that makes together.

A model of a limited destination and of the clients of each relay, small enough to be read whole and to run
thousands of messages a second. It knows no sockets and no program round the module. Times are microseconds.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

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
from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.simulator import read_settings

SECOND = 1_000_000
START = 1_000 * SECOND
WAY = 30_000  # one way between a relay and the destination
SERVICE = 100_000  # mean time of a call there
CLIENT_BASE = SECOND // 2  # of a client that was refused, doubled with each try
CLIENT_TRIES = 3
COLD, COLD_FROM, MULTIPLE, TIP = 12 * SECOND, 0.25, 2.0, 2 * SECOND


class Decider(Protocol):
    """What a fleet asks of the decision module, of any age."""

    def handle_batch(self, now: int, events: Iterable[Event]) -> list[Action]: ...


@dataclass(frozen=True, slots=True)
class FleetCase:
    """One course of events. Spans are seconds from the start."""

    relays: int = 40
    limit: float = 55.0  # calls a second that the destination takes from all
    load: float = 0.85  # messages offered over that
    seconds: float = 30.0
    burst_seconds: float = 0.5  # seconds of the limit that may come at once
    rejected_calls_use_limit: bool = True  # refused calls use the limit up, too
    retry_after_us: int = 0  # told with a refusal; 0: none
    # From, to, and the part of the limit that is left.
    reduced_limit: tuple[float, float, float] | None = None
    outage: tuple[float, float] | None = None  # from, to: no connection comes up; cold after
    hangs: bool = False  # during the outage calls are taken and not answered
    cold: bool = False  # after it the limit is what a cold destination takes
    listed_rates: str | None = None  # listed rates of the destination: "nominal", "rough" or none
    crash: tuple[float, float] | None = None  # when, and the part of the relays; they are back 2 s later
    endpoints: int = 2
    slots: int = 4
    max_batch_size: int = 1
    max_held: int = 62
    is_relay_count_known: bool = True
    burst_fraction: float = 0.1  # part of the messages that come five at a time
    skew: float = 0.7  # deviation of the logarithm of what relays are given
    seed: int = 1


@dataclass(slots=True)
class FleetResult:
    """What happened at the destination and to the messages."""

    calls: list[tuple[int, int, AttemptStatus]] = field(default_factory=list)  # when, relay, how it ended
    sends: list[tuple[int, int, int]] = field(default_factory=list)  # when, relay, messages in the call
    offered: int = 0  # first tries of clients
    delivered_at: dict[str, int] = field(default_factory=dict)  # when
    failed_at: dict[str, int] = field(default_factory=dict)  # when failed or refused
    accepted_at: dict[str, int] = field(default_factory=dict)  # when
    relay_by_message: dict[str, int] = field(default_factory=dict)

    def count_calls(self, result: AttemptStatus, since: float = 0, until: float = 1e9) -> int:
        """Calls that ended so, by when they came to the destination (seconds from the start)."""
        low, high = START + since * SECOND, START + until * SECOND
        return sum(1 for at, _, how in self.calls if how is result and low <= at < high)

    def delivery_delays_us(self) -> list[int]:
        """From taken on to delivered, of all that were."""
        return [at - self.accepted_at[name] for name, at in self.delivered_at.items()]

    def peak_over_mean(self, since: float, until: float, step: float = 0.1) -> float:
        """Of the sends in a span, by steps of so many seconds: the fullest over the mean."""
        steps = max(1, round((until - since) / step))
        full = [0] * steps
        for at, _, _ in self.sends:
            index = int(((at - START) / SECOND - since) / step)
            if (at - START) / SECOND >= since and index < steps:
                full[index] += 1
        return max(full) * steps / max(1, sum(full))


class FleetModel:
    """Runs one case. `make` gives the scheduler of one relay, from its seed and settings."""

    def __init__(self, case: FleetCase, make: Callable[[int, RelaySettings], Decider] = Scheduler) -> None:
        self.case = case
        self.make = make
        self.random = random.Random(case.seed)
        self.clients = [random.Random(case.seed * 1000 + number) for number in range(case.relays)]
        self.told = FleetResult()
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.now = START
        self.inbox: dict[int, list[Event]] = {}
        self.relays: list[Decider] = []
        self.tokens, self.filled = max(2.0, case.limit * case.burst_seconds), START
        self.tries: dict[str, int] = {}
        self.number = 0
        self.starts = 0
        self.rough = random.Random(-case.seed).uniform(0.5, 1.5)
        self.gone: dict[int, int] = {}  # until when a relay is away
        self.lives: dict[int, int] = {}
        given = [self.random.lognormvariate(0, case.skew) for _ in range(case.relays)]
        self.parts = [part / sum(given) for part in given]

    def run(self) -> FleetResult:
        for number in range(self.case.relays):
            self.relays.append(self._make(number))
            self._arrive(number)
        if self.case.crash is not None:
            self._at(START + int(self.case.crash[0] * SECOND), self._kill)
        end = START + int(self.case.seconds * SECOND)
        while self.due and self.due[0][0] < end:
            self.now, _, act = heapq.heappop(self.due)
            act()
        return self.told

    def _make(self, relay: int) -> Decider:
        hosts = [f"host-{n}" for n in range(self.case.endpoints)]
        rate = {"nominal": 1.0, "rough": self.rough}.get(self.case.listed_rates or "")
        told = rate and rate * self.case.limit
        entries = tuple(EndpointEntry(name, 1, EndpointState.ACTIVE, "here", "kind", told) for name in hosts)
        self._post(relay, EndpointListReceived(EndpointListKind.FULL, entries))
        return self.make(self.case.seed * 1000 + relay + self.starts * 100, self._settings())

    def _kill(self) -> None:
        """Machines are lost with what they held; it is handed in again, within a second of their return."""
        assert self.case.crash is not None
        self.starts += 1
        for relay in range(round(self.case.relays * self.case.crash[1])):
            self.gone[relay] = self.now + 2 * SECOND
            self.lives[relay] = self.lives.get(relay, 0) + 1
            self.inbox.pop(relay, None)
            held = [
                name for name, of in self.told.relay_by_message.items() if of == relay and self._open(name)
            ]
            for name in held:
                self.told.failed_at[name] = self.now
                again = self.gone[relay] + int(self.clients[relay].random() * SECOND)
                left = 12 * SECOND - (again - self.told.accepted_at[name])
                if left > 0:
                    self._at(again, lambda r=relay, n=f"{name}*", t=left: self._submit(r, n, 1, t))  # type: ignore[misc]
            self._at(self.gone[relay], lambda r=relay: self._return(r))  # type: ignore[misc]

    def _open(self, name: str) -> bool:
        return name not in self.told.delivered_at and name not in self.told.failed_at

    def _return(self, relay: int) -> None:
        self.relays[relay] = self._make(relay)

    def _settings(self) -> RelaySettings:
        return read_settings(
            {
                "flavors": ["kind"],
                "classes": [
                    {
                        "name": "update",
                        "effect": "idempotent",
                        "on_time": 3 * SECOND,
                        "deadline": 12 * SECOND,
                        "worth": 1.0,
                        "late_worth": 0.4,
                    },
                ],
                "extra": {"call_slots": self.case.slots, "bundle_max": [self.case.max_batch_size]},
                "policy_limits": {
                    "most_tries": 12,
                    "most_held": self.case.max_held,
                    "conn_idle": 15 * SECOND,
                },
                "safety": {
                    "cold": COLD,
                    "cold_from": COLD_FROM,
                    "fall_multiple": MULTIPLE,
                    "tip_after": TIP,
                    "settle_after_doubt": 300_000,
                },
                "peers_total": self.case.relays if self.case.is_relay_count_known else None,
                "weight_kind": self.case.listed_rates or "silent",
                "tick": 1000,
            }
        )

    # Time

    def _at(self, time: int, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.due, (time, self.order, act))

    def _post(self, relay: int, event: Event) -> None:
        if self.now < self.gone.get(relay, 0):
            return
        if relay not in self.inbox:
            self.inbox[relay] = []
            self._at(self.now, lambda: self._turn(relay))
        self.inbox[relay].append(event)

    def _turn(self, relay: int) -> None:
        events = self.inbox.pop(relay, [])
        if not events:
            return
        calls: dict[str, list[str]] = {}
        timeouts: dict[str, int] = {}
        for action in self.relays[relay].handle_batch(self.now, events):
            match action:
                case SendAttempt(message, endpoint, timeout):
                    calls.setdefault(endpoint, []).append(message)
                    timeouts[endpoint] = max(timeout, timeouts.get(endpoint, 0))
                case SetTimer(delay, token):
                    self._at(self.now + delay, lambda t=token: self._post(relay, TimerFired(t)))  # type: ignore[misc]
                case RejectMessage(message, _):
                    self.told.failed_at[message] = self.now
                    self._again(relay, message)
                case FailMessage(message):
                    self.told.failed_at[message] = self.now
        for endpoint, names in calls.items():
            for first in range(0, len(names), self.case.max_batch_size):
                self._call(
                    relay, endpoint, names[first : first + self.case.max_batch_size], timeouts[endpoint]
                )

    # Clients

    def _arrive(self, relay: int) -> None:
        rate = self.case.limit * self.case.load * self.parts[relay] / (1 + 4 * self.case.burst_fraction / 5)
        gap = int(self.clients[relay].expovariate(rate) * SECOND)
        self._at(self.now + gap, lambda: self._come(relay))

    def _come(self, relay: int) -> None:
        for _ in range(5 if self.clients[relay].random() < self.case.burst_fraction / 5 else 1):
            self.told.offered += 1
            self.number += 1
            self._submit(relay, f"m{self.number}", 1)
        self._arrive(relay)

    def _submit(self, relay: int, name: str, tries: int, left: int = 12 * SECOND) -> None:
        if self.now < self.gone.get(relay, 0):
            self._at(self.gone[relay], lambda: self._submit(relay, name, tries, left))
            return
        self.tries[name] = tries
        self.told.accepted_at[name], self.told.relay_by_message[name] = self.now, relay
        self._post(relay, MessageSubmitted(name, 1, "update", None, left, None))

    def _again(self, relay: int, name: str) -> None:
        if (tries := self.tries[name]) < CLIENT_TRIES:
            wait = int(CLIENT_BASE * 2**tries * self.random.uniform(0.7, 1.3))
            self._at(self.now + wait, lambda: self._submit(relay, f"{name}+", tries + 1))

    # The destination

    def _limit(self, now: int) -> float:
        since = (now - START) / SECOND
        if (
            self.case.reduced_limit is not None
            and self.case.reduced_limit[0] <= since < self.case.reduced_limit[1]
        ):
            return self.case.limit * self.case.reduced_limit[2]
        if self.case.cold and self.case.outage is not None and since >= self.case.outage[1]:
            return self.case.limit * warmth(since - self.case.outage[1])
        return self.case.limit

    def down(self, now: int) -> bool:
        out, since = self.case.outage, (now - START) / SECOND
        return out is not None and out[0] <= since < out[1]

    def _call(self, relay: int, endpoint: str, names: list[str], timeout: int) -> None:
        sent, life = self.now, self.lives.get(relay, 0)
        self.told.sends.append((sent, relay, len(names)))

        def arrive() -> None:
            if self.down(self.now) and self.case.hangs:
                result, took = AttemptStatus.TIMEOUT, max(0, timeout - WAY)
            elif self.down(self.now):
                result, took = AttemptStatus.CONNECT_FAILED, 2 * WAY
            elif self._takes():
                result, took = AttemptStatus.OK, WAY + int(self.random.expovariate(1 / SERVICE))
            else:
                result, took = AttemptStatus.REJECTED, WAY
            self.told.calls.append((self.now, relay, result))
            self._at(self.now + took, lambda: finish(result))

        def finish(result: AttemptStatus) -> None:
            wait = self.case.retry_after_us if result is AttemptStatus.REJECTED else 0
            for name in names:
                if self.lives.get(relay, 0) != life:
                    return  # nobody is left to hear it
                over = result is AttemptStatus.OK or name in self.told.failed_at
                if result is AttemptStatus.OK and name not in self.told.failed_at:
                    self.told.delivered_at[name] = self.now
                self._post(
                    relay, AttemptEnded(name, 0, endpoint, result, self.now - sent, over, wait, None, None, 0)
                )

        self._at(sent + WAY, arrive)

    def _takes(self) -> bool:
        limit = self._limit(self.now)
        most = max(2.0, limit * self.case.burst_seconds)
        self.tokens = min(most, self.tokens + limit * (self.now - self.filled) / SECOND)
        self.filled = self.now
        if self.tokens >= 1:
            self.tokens -= 1
            return True
        if self.case.rejected_calls_use_limit:
            self.tokens = max(-most, self.tokens - 1)
        return False


def warmth(since: float) -> float:
    """The part of its limit that a destination takes so many seconds after its return."""
    return COLD_FROM + (1 - COLD_FROM) * min(1.0, since * SECOND / COLD)


def worst_budget_excess(told: FleetResult, case: FleetCase) -> float:
    """The fullest span of TIP after the return: its calls beyond the budget N, in units of 2 x root of N + 2,
    which are put down to chance. Over 1 a cold destination falls."""
    assert case.outage is not None
    back = START + int(case.outage[1] * SECOND)
    recent: deque[int] = deque()
    worst = -math.inf
    for at in sorted(at for at, _, _ in told.calls if back <= at < back + COLD):
        recent.append(at)
        while recent[0] <= at - TIP:
            recent.popleft()
        budget = MULTIPLE * case.limit * warmth((at - back) / SECOND) * TIP / SECOND
        worst = max(worst, (len(recent) - budget) / (2 * math.sqrt(budget) + 2))
    return worst


def worst_capacity_ratio(told: FleetResult, case: FleetCase) -> float:
    """Of a destination that is back: the most calls in any span of TIP, over what it then takes."""
    assert case.outage is not None
    back = START + case.outage[1] * SECOND
    recent: deque[int] = deque()
    worst = 0.0
    for at in sorted(at for at, _, _ in told.calls if at >= back):
        recent.append(at)
        while recent[0] <= at - TIP:
            recent.popleft()
        warm = min(1.0, (at - back) / COLD)
        capacity = case.limit * (COLD_FROM + (1 - COLD_FROM) * warm) * TIP / SECOND
        worst = max(worst, len(recent) / capacity)
    return worst
