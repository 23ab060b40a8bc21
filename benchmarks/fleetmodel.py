"""Model of many relays at one rate-limited destination, in virtual time.

Runs the decision module of each relay against a model of the destination and of the clients of each relay. It
is small enough to be read whole and to simulate thousands of messages a second. It has no sockets and none of
the program around the decision module. Times are microseconds unless a name or comment says otherwise.
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
START_US = 1_000 * SECOND
LINK_DELAY_US = 30_000  # one way between a relay and the destination
MEAN_SERVICE_US = 100_000  # mean time of a call at the destination
CLIENT_BACKOFF_US = SECOND // 2  # of a client whose message was rejected, doubled with each try
CLIENT_MAX_TRIES = 3
DEADLINE_US = 12 * SECOND
RESTART_DELAY_US = 2 * SECOND  # from the crash of a relay until it is back
WARM_UP_US = 12 * SECOND  # a cold destination takes this long to reach its full limit
COLD_FRACTION = 0.25  # part of its limit that a destination takes right after its return
OVERLOAD_MULTIPLE = 2.0  # calls over the present capacity, at which a cold destination fails
OVERLOAD_WINDOW_US = 2 * SECOND


class Decider(Protocol):
    """Interface of the decision module that the model uses, of any version."""

    def handle_batch(self, now: int, events: Iterable[Event]) -> list[Action]: ...


@dataclass(frozen=True, slots=True)
class FleetCase:
    """Parameters of one simulation. Times are seconds from the start unless the name has another unit."""

    relays: int = 40
    limit: float = 55.0  # calls a second that the destination accepts from all relays together
    load: float = 0.85  # offered messages a second over `limit`
    seconds: float = 30.0
    burst_seconds: float = 0.5  # size of the destination's token bucket, in seconds of its limit
    rejected_calls_use_limit: bool = True
    retry_after_us: int = 0  # sent with a rejection; 0: none
    reduced_limit: tuple[float, float, float] | None = None  # from, until, part of the limit that is left
    outage: tuple[float, float] | None = None  # from, until: no connection is established
    hangs: bool = False  # during the outage calls are accepted and not answered
    cold: bool = False  # after the outage the limit rises as the destination warms up
    listed_rates: str | None = None  # rates in the destination's endpoint list: "nominal", "rough" or none
    crash: tuple[float, float] | None = None  # when, and the part of the relays; they are back 2 s later
    endpoints: int = 2
    slots: int = 4
    max_batch_size: int = 1
    max_held: int = 62
    is_relay_count_known: bool = True
    burst_fraction: float = 0.1  # part of the messages that arrive five at a time
    skew: float = 0.7  # standard deviation of the logarithm of each relay's part of the traffic
    seed: int = 1


@dataclass(slots=True)
class FleetResult:
    """Record of what happened at the destination and to the messages, by message id where it is a dict."""

    calls: list[tuple[int, int, AttemptStatus]] = field(default_factory=list)  # when, relay, status
    sends: list[tuple[int, int, int]] = field(default_factory=list)  # when, relay, messages in the call
    offered: int = 0  # first tries of clients
    delivered_at: dict[str, int] = field(default_factory=dict)
    failed_at: dict[str, int] = field(
        default_factory=dict
    )  # failed or rejected by the relay, or lost in a crash
    accepted_at: dict[str, int] = field(default_factory=dict)
    relay_by_message: dict[str, int] = field(default_factory=dict)

    def count_calls(self, result: AttemptStatus, since: float = 0, until: float = 1e9) -> int:
        """Counts calls with this status that reached the destination in a span (seconds from the start)."""
        low, high = START_US + since * SECOND, START_US + until * SECOND
        return sum(1 for at, _, status in self.calls if status is result and low <= at < high)

    def delivery_delays_us(self) -> list[int]:
        """Returns the time from acceptance to delivery of each delivered message."""
        return [at - self.accepted_at[name] for name, at in self.delivered_at.items()]

    def peak_over_mean(self, since: float, until: float, step: float = 0.1) -> float:
        """Divides a span into steps (seconds) and returns the sends of the fullest step over the mean."""
        steps = max(1, round((until - since) / step))
        sends_by_step = [0] * steps
        for at, _, _ in self.sends:
            index = int(((at - START_US) / SECOND - since) / step)
            if (at - START_US) / SECOND >= since and index < steps:
                sends_by_step[index] += 1
        return max(sends_by_step) * steps / max(1, sum(sends_by_step))


class FleetModel:
    """Simulates one case. `make_scheduler` returns the scheduler of one relay, from its seed and settings."""

    def __init__(
        self, case: FleetCase, make_scheduler: Callable[[int, RelaySettings], Decider] = Scheduler
    ) -> None:
        self.case = case
        self.make_scheduler = make_scheduler
        self.random = random.Random(case.seed)
        self.client_random = [random.Random(case.seed * 1000 + number) for number in range(case.relays)]
        self.result = FleetResult()
        self.scheduled: list[
            tuple[int, int, Callable[[], None]]
        ] = []  # heap: when, sequence number, callback
        self.sequence_number = 0
        self.now = START_US
        self.inbox: dict[int, list[Event]] = {}
        self.relays: list[Decider] = []
        self.tokens, self.refilled_at = max(2.0, case.limit * case.burst_seconds), START_US
        self.tries: dict[str, int] = {}
        self.message_count = 0
        self.crash_count = 0
        self.rough_rate_factor = random.Random(-case.seed).uniform(0.5, 1.5)
        self.down_until: dict[int, int] = {}  # of crashed relays
        self.incarnations: dict[int, int] = {}
        weights = [self.random.lognormvariate(0, case.skew) for _ in range(case.relays)]
        self.traffic_shares = [weight / sum(weights) for weight in weights]

    def run(self) -> FleetResult:
        for number in range(self.case.relays):
            self.relays.append(self._make_relay(number))
            self._schedule_arrival(number)
        if self.case.crash is not None:
            self._schedule(START_US + int(self.case.crash[0] * SECOND), self._crash_relays)
        end = START_US + int(self.case.seconds * SECOND)
        while self.scheduled and self.scheduled[0][0] < end:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        return self.result

    def _make_relay(self, relay: int) -> Decider:
        hosts = [f"host-{n}" for n in range(self.case.endpoints)]
        factor = {"nominal": 1.0, "rough": self.rough_rate_factor}.get(self.case.listed_rates or "")
        listed_rate = factor and factor * self.case.limit
        entries = tuple(
            EndpointEntry(name, 1, EndpointState.ACTIVE, "here", "kind", listed_rate) for name in hosts
        )
        self._post(relay, EndpointListReceived(EndpointListKind.FULL, entries))
        return self.make_scheduler(
            self.case.seed * 1000 + relay + self.crash_count * 100, self._relay_settings()
        )

    def _crash_relays(self) -> None:
        """Crashes some relays with their messages, which clients submit again within 1 s of the restart."""
        assert self.case.crash is not None
        self.crash_count += 1
        for relay in range(round(self.case.relays * self.case.crash[1])):
            self.down_until[relay] = self.now + RESTART_DELAY_US
            self.incarnations[relay] = self.incarnations.get(relay, 0) + 1
            self.inbox.pop(relay, None)
            lost = [
                name
                for name, owner in self.result.relay_by_message.items()
                if owner == relay and self._is_open(name)
            ]
            for name in lost:
                self.result.failed_at[name] = self.now
                retry_at = self.down_until[relay] + int(self.client_random[relay].random() * SECOND)
                remaining = DEADLINE_US - (retry_at - self.result.accepted_at[name])
                if remaining > 0:
                    self._schedule(
                        retry_at,
                        lambda r=relay, n=f"{name}*", t=remaining: self._submit(r, n, 1, t),  # type: ignore[misc]
                    )
            self._schedule(self.down_until[relay], lambda r=relay: self._restart_relay(r))  # type: ignore[misc]

    def _is_open(self, name: str) -> bool:
        return name not in self.result.delivered_at and name not in self.result.failed_at

    def _restart_relay(self, relay: int) -> None:
        self.relays[relay] = self._make_relay(relay)

    def _relay_settings(self) -> RelaySettings:
        return read_settings(
            {
                "flavors": ["kind"],
                "classes": [
                    {
                        "name": "update",
                        "effect": "idempotent",
                        "on_time": 3 * SECOND,
                        "deadline": DEADLINE_US,
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
                    "cold": WARM_UP_US,
                    "cold_from": COLD_FRACTION,
                    "fall_multiple": OVERLOAD_MULTIPLE,
                    "tip_after": OVERLOAD_WINDOW_US,
                    "settle_after_doubt": 300_000,
                },
                "peers_total": self.case.relays if self.case.is_relay_count_known else None,
                "weight_kind": self.case.listed_rates or "silent",
                "tick": 1000,
            }
        )

    # Event loop

    def _schedule(self, time: int, callback: Callable[[], None]) -> None:
        self.sequence_number += 1
        heapq.heappush(self.scheduled, (time, self.sequence_number, callback))

    def _post(self, relay: int, event: Event) -> None:
        if self.now < self.down_until.get(relay, 0):
            return
        if relay not in self.inbox:
            self.inbox[relay] = []
            self._schedule(self.now, lambda: self._run_batch(relay))
        self.inbox[relay].append(event)

    def _run_batch(self, relay: int) -> None:
        events = self.inbox.pop(relay, [])
        if not events:
            return
        messages_by_endpoint: dict[str, list[str]] = {}
        timeouts: dict[str, int] = {}
        for action in self.relays[relay].handle_batch(self.now, events):
            match action:
                case SendAttempt(message, endpoint, timeout):
                    messages_by_endpoint.setdefault(endpoint, []).append(message)
                    timeouts[endpoint] = max(timeout, timeouts.get(endpoint, 0))
                case SetTimer(delay, token):
                    self._schedule(self.now + delay, lambda t=token: self._post(relay, TimerFired(t)))  # type: ignore[misc]
                case RejectMessage(message, _):
                    self.result.failed_at[message] = self.now
                    self._retry_submission(relay, message)
                case FailMessage(message):
                    self.result.failed_at[message] = self.now
        size = self.case.max_batch_size
        for endpoint, names in messages_by_endpoint.items():
            for first in range(0, len(names), size):
                self._call(relay, endpoint, names[first : first + size], timeouts[endpoint])

    # Clients

    def _schedule_arrival(self, relay: int) -> None:
        offered_rate = self.case.limit * self.case.load * self.traffic_shares[relay]
        rate = offered_rate / (1 + 4 * self.case.burst_fraction / 5)
        gap = int(self.client_random[relay].expovariate(rate) * SECOND)
        self._schedule(self.now + gap, lambda: self._arrive(relay))

    def _arrive(self, relay: int) -> None:
        for _ in range(5 if self.client_random[relay].random() < self.case.burst_fraction / 5 else 1):
            self.result.offered += 1
            self.message_count += 1
            self._submit(relay, f"m{self.message_count}", 1)
        self._schedule_arrival(relay)

    def _submit(self, relay: int, name: str, tries: int, time_remaining: int = DEADLINE_US) -> None:
        if self.now < self.down_until.get(relay, 0):
            self._schedule(self.down_until[relay], lambda: self._submit(relay, name, tries, time_remaining))
            return
        self.tries[name] = tries
        self.result.accepted_at[name], self.result.relay_by_message[name] = self.now, relay
        self._post(relay, MessageSubmitted(name, 1, "update", None, time_remaining, None))

    def _retry_submission(self, relay: int, name: str) -> None:
        if (tries := self.tries[name]) < CLIENT_MAX_TRIES:
            backoff = int(CLIENT_BACKOFF_US * 2**tries * self.random.uniform(0.7, 1.3))
            self._schedule(self.now + backoff, lambda: self._submit(relay, f"{name}+", tries + 1))

    # Destination

    def _limit_at(self, now: int) -> float:
        """Returns the calls a second that the destination accepts at this time."""
        case, since_start = self.case, (now - START_US) / SECOND
        if case.reduced_limit is not None and case.reduced_limit[0] <= since_start < case.reduced_limit[1]:
            return case.limit * case.reduced_limit[2]
        if case.cold and case.outage is not None and since_start >= case.outage[1]:
            return case.limit * warm_fraction(since_start - case.outage[1])
        return case.limit

    def is_down(self, now: int) -> bool:
        outage, since_start = self.case.outage, (now - START_US) / SECOND
        return outage is not None and outage[0] <= since_start < outage[1]

    def _call(self, relay: int, endpoint: str, names: list[str], timeout: int) -> None:
        sent_at, incarnation = self.now, self.incarnations.get(relay, 0)
        self.result.sends.append((sent_at, relay, len(names)))

        def arrive() -> None:
            if self.is_down(self.now) and self.case.hangs:
                status, duration = AttemptStatus.TIMEOUT, max(0, timeout - LINK_DELAY_US)
            elif self.is_down(self.now):
                status, duration = AttemptStatus.CONNECT_FAILED, 2 * LINK_DELAY_US
            elif self._take_token():
                service = int(self.random.expovariate(1 / MEAN_SERVICE_US))
                status, duration = AttemptStatus.OK, LINK_DELAY_US + service
            else:
                status, duration = AttemptStatus.REJECTED, LINK_DELAY_US
            self.result.calls.append((self.now, relay, status))
            self._schedule(self.now + duration, lambda: finish(status))

        def finish(status: AttemptStatus) -> None:
            retry_after = self.case.retry_after_us if status is AttemptStatus.REJECTED else 0
            for name in names:
                if self.incarnations.get(relay, 0) != incarnation:
                    return  # the relay crashed since it sent this call
                is_final = status is AttemptStatus.OK or name in self.result.failed_at
                if status is AttemptStatus.OK and name not in self.result.failed_at:
                    self.result.delivered_at[name] = self.now
                elapsed = self.now - sent_at
                self._post(
                    relay,
                    AttemptEnded(name, 0, endpoint, status, elapsed, is_final, retry_after, None, None, 0),
                )

        self._schedule(sent_at + LINK_DELAY_US, arrive)

    def _take_token(self) -> bool:
        """Tries to take a token from the destination's bucket. Returns False where the call is rejected."""
        limit = self._limit_at(self.now)
        capacity = max(2.0, limit * self.case.burst_seconds)
        self.tokens = min(capacity, self.tokens + limit * (self.now - self.refilled_at) / SECOND)
        self.refilled_at = self.now
        if self.tokens >= 1:
            self.tokens -= 1
            return True
        if self.case.rejected_calls_use_limit:
            self.tokens = max(-capacity, self.tokens - 1)
        return False


def warm_fraction(seconds: float) -> float:
    """Returns the part of its limit that a destination accepts this many seconds after its return."""
    return COLD_FRACTION + (1 - COLD_FRACTION) * min(1.0, seconds * SECOND / WARM_UP_US)


def worst_budget_excess(result: FleetResult, case: FleetCase) -> float:
    """Returns how far the fullest overload window after the return exceeds its budget of N calls.

    The excess is in units of 2 x sqrt(N) + 2 calls, which are attributed to chance. A cold destination fails
    where it is over 1.
    """
    assert case.outage is not None
    returned_at = START_US + int(case.outage[1] * SECOND)
    window: deque[int] = deque()
    worst = -math.inf
    for at in sorted(at for at, _, _ in result.calls if returned_at <= at < returned_at + WARM_UP_US):
        window.append(at)
        while window[0] <= at - OVERLOAD_WINDOW_US:
            window.popleft()
        warm = warm_fraction((at - returned_at) / SECOND)
        budget = OVERLOAD_MULTIPLE * case.limit * warm * OVERLOAD_WINDOW_US / SECOND
        worst = max(worst, (len(window) - budget) / (2 * math.sqrt(budget) + 2))
    return worst


def worst_capacity_ratio(result: FleetResult, case: FleetCase) -> float:
    """Returns the calls of the fullest overload window after the return, over the capacity at that time."""
    assert case.outage is not None
    returned_at = START_US + case.outage[1] * SECOND
    window: deque[int] = deque()
    worst = 0.0
    for at in sorted(at for at, _, _ in result.calls if at >= returned_at):
        window.append(at)
        while window[0] <= at - OVERLOAD_WINDOW_US:
            window.popleft()
        warm = min(1.0, (at - returned_at) / WARM_UP_US)
        capacity = case.limit * (COLD_FRACTION + (1 - COLD_FRACTION) * warm) * OVERLOAD_WINDOW_US / SECOND
        worst = max(worst, len(window) / capacity)
    return worst
