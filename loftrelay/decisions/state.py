"""Complete scheduler state of one relay. The rules are functions on it."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from loftrelay.decisions.actions import Action
from loftrelay.decisions.entities import (
    Destination,
    Endpoint,
    EndpointKindStats,
    HibernatedDestination,
    OpenMessage,
    OrderingKey,
)
from loftrelay.decisions.estimators import DecayingRate
from loftrelay.decisions.limits import Limits
from loftrelay.decisions.settings import RelaySettings
from loftrelay.decisions.units import NEVER

TimerSubject = OpenMessage | OrderingKey | HibernatedDestination


@dataclass(slots=True)
class TokenBucket:
    """Messages that a tenant may still send within its quota."""

    tokens: float
    updated_at: int


@dataclass(slots=True)
class IdleResetCounts:
    """Rates of calls and resets on connections of similar idle time, in events per second."""

    calls: DecayingRate
    resets: DecayingRate


@dataclass(slots=True)
class DecisionState:
    """State on which all decisions are based. Times are microseconds on the clock of the batches."""

    settings: RelaySettings
    limits: Limits
    random: random.Random
    now: int = 0
    started_at: int = NEVER  # time of the first batch
    actions: list[Action] = field(default_factory=list)  # of the current batch

    destinations: dict[int, Destination] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    # No longer listed, but still in use.
    removed_endpoints: dict[str, Endpoint] = field(default_factory=dict)
    disabled_endpoints: set[str] = field(default_factory=set)  # by the operator
    hibernated: dict[int, HibernatedDestination] = field(default_factory=dict)
    hibernated_endpoints: dict[str, int] = field(default_factory=dict)  # name -> number of its destination
    kind_stats: dict[str | None, EndpointKindStats] = field(default_factory=dict)

    messages: dict[str, OpenMessage] = field(default_factory=dict)
    ordering_keys: dict[str, OrderingKey] = field(default_factory=dict)
    # Ended, final status not yet reported: still at the head of their ordering keys.
    unreported: dict[str, OpenMessage] = field(default_factory=dict)
    backlog: dict[int, Destination] = field(default_factory=dict)  # destinations with waiting messages
    # With a new message or Retry-After since the last check for blocked messages.
    destinations_to_check: dict[int, Destination] = field(default_factory=dict)

    arrivals: DecayingRate = field(default_factory=DecayingRate)
    quota_buckets: dict[str, TokenBucket] = field(default_factory=dict)  # by tenant
    idle_resets: dict[int, IdleResetCounts] = field(default_factory=dict)  # by octave of the idle time
    calls_in_flight: int = 0

    timers: list[tuple[int, int, TimerSubject]] = field(default_factory=list)  # a heap
    timer_sequence: int = 0
    timer_set_for: int = NEVER
    next_batch_at: int = NEVER  # earliest time of the next possible call, as found in the current batch
    watch_at: int = NEVER  # when to request the endpoint list next
    poll_failures: int = 0

    @classmethod
    def create(cls, seed: int, settings: RelaySettings) -> DecisionState:
        """Returns the initial state of a relay."""
        watch_at = 0 if settings.polls_endpoint_list else NEVER
        return cls(settings, Limits.from_settings(settings), random.Random(seed), watch_at=watch_at)

    def apply_settings(self, settings: RelaySettings) -> None:
        """Applies new settings. Open messages keep their terms, listed endpoints their kind settings."""
        self.settings = settings
        self.limits = Limits.from_settings(settings)

    def set_timer(self, at: int, subject: TimerSubject) -> None:
        """Schedules a check of a message, ordering key or hibernated destination at a time."""
        self.timer_sequence += 1
        heapq.heappush(self.timers, (at, self.timer_sequence, subject))

    def run_batch_no_later_than(self, at: int) -> None:
        """Makes the next batch run at a time or earlier."""
        self.next_batch_at = min(self.next_batch_at, at)

    def rejection_retry_after(self, wait: int) -> int:
        """Returns the Retry-After of a rejection in microseconds, limited by the settings; 0 for none."""
        return min(wait, self.settings.max_retry_after or 0) if self.settings.sends_retry_after else 0
