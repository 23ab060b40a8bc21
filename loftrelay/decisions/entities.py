"""Entities of the scheduler state: destinations, endpoints, calls, ordering keys and open messages."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from loftrelay.decisions.call_limiter import CallLimiter, CallLimiterSnapshot
from loftrelay.decisions.estimators import DEMAND_SPAN_US, CallTimes, DecayingRate
from loftrelay.decisions.events import EndpointState
from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.decisions.units import NEVER

INITIAL_SUCCESS_RATE = 0.5


@dataclass(slots=True)
class EndpointKindStats:
    """Statistics shared by all endpoints of one kind."""

    connection_limit_until: int = -NEVER  # until then they are assumed to accept only a few connections
    call_times: CallTimes = field(default_factory=CallTimes)
    # Success rate of the next call after [0] a failure other than a rejection, [1] a rejection.
    success_rate_after_failure: list[float] = field(
        default_factory=lambda: [INITIAL_SUCCESS_RATE, INITIAL_SUCCESS_RATE]
    )


@dataclass(slots=True)
class Destination:
    """A destination with its endpoints and the messages that wait for it."""

    number: int
    call_limiter: CallLimiter = field(default_factory=CallLimiter)
    endpoints: list[Endpoint] = field(default_factory=list)
    waiting: dict[str, OpenMessage] = field(default_factory=dict)
    in_flight: int = 0
    demand: DecayingRate = field(default_factory=lambda: DecayingRate(DEMAND_SPAN_US))
    unfinished: int = 0  # messages that have not ended, or are still queued under their ordering key
    cooldown_until: int = 0  # end of the latest cooldown of its ordering keys


@dataclass(slots=True)
class Endpoint:
    """One address of a destination, limited by the call limiter of the destination or by its own."""

    name: str
    destination: Destination
    call_limiter: CallLimiter
    state: EndpointState
    zone: str | None
    kind_stats: EndpointKindStats
    max_batch_size: int
    zone_cost: float
    call_rate: DecayingRate = field(default_factory=DecayingRate)
    in_flight: int = 0
    consecutive_failures: int = 0
    avoid_until: int = 0
    usual_call_time: float = 0.0  # smoothed, in microseconds; 0: no call has succeeded
    listed_rate: float = 0.0  # calls per second from all relays; 0: not listed
    last_used_at: int = NEVER  # when a connection to it last carried a call; NEVER: no open connection
    is_disabled: bool = False  # by the operator

    @property
    def is_available(self) -> bool:
        """Whether new calls may be sent to it, regardless of its call limiter."""
        return self.state is EndpointState.ACTIVE and not self.is_disabled

    @property
    def call_times(self) -> CallTimes:
        """Call times of its call limiter, or of its kind until a call under that limiter has succeeded."""
        return (
            self.call_limiter.call_times
            if self.call_limiter.call_times.smoothed
            else self.kind_stats.call_times
        )

    @property
    def available_peers(self) -> list[Endpoint]:
        """The available endpoints of its destination, including this one."""
        return [endpoint for endpoint in self.destination.endpoints if endpoint.is_available]


@dataclass(slots=True)
class Call:
    """One or more messages sent together: one call slot, one outcome."""

    endpoint: Endpoint
    sent_at: int
    connection_idle: int = 0  # idle time of its connection before; an estimate until the outcome reports it
    is_cut_short: bool = False  # too little time for a failure to count against its endpoint
    pending_messages: int = 0  # messages without an outcome
    is_evaluated: bool = False
    # Ordering keys of messages that timed out while the call was still running.
    uncertain_keys: list[OrderingKey] = field(default_factory=list)


@dataclass(slots=True)
class OrderingKey:
    """The queue of messages that are delivered one after the other under one key."""

    name: str
    pending: deque[OpenMessage] = field(default_factory=deque)
    cooldown_until: int = 0  # NEVER: until the call in flight has ended


@dataclass(slots=True)
class OpenMessage:
    """A message that has not ended, or is still in a call. Times are in microseconds."""

    name: str
    message_class: MessageClass
    destination: Destination
    priority_weight: float
    admitted_at: int
    deadline: int
    ordering_key: OrderingKey | None
    max_attempts: int
    attempts: int = 0
    not_before: int = 0  # earliest time of the next attempt
    call: Call | None = None
    is_ended: bool = False
    first_uncertain_attempt_at: int | None = None  # when the first attempt that may have run was sent
    first_uncertain_attempt_endpoint: Endpoint | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether it can be attempted again after an attempt that may have taken effect."""
        return self.message_class.semantics.is_repeatable

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have taken effect."""
        return self.first_uncertain_attempt_at is not None

    @property
    def is_deduplicated(self) -> bool:
        """Whether its destination drops duplicates."""
        return self.message_class.semantics is DeliverySemantics.DEDUPLICATED


@dataclass(slots=True)
class HibernatedEndpoint:
    """An endpoint of a hibernated destination."""

    call_limiter: CallLimiterSnapshot | None  # None: it shared the call limiter of its destination
    consecutive_failures: int
    avoid_until: int


@dataclass(slots=True)
class HibernatedDestination:
    """What is kept of a released destination until it is listed again or no longer affects any decision."""

    number: int
    # None: the destination was restored, but not all of its endpoints.
    call_limiter: CallLimiterSnapshot | None
    demand: float
    demand_updated_at: int
    endpoints: dict[str, HibernatedEndpoint]
