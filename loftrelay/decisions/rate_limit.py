"""Rate limit: how many calls per second a destination accepts, learned from rejections and successes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from loftrelay.decisions.limits import LARGE_FLEET_RELAYS, Limits
from loftrelay.decisions.units import NEVER, SECOND_US

DECREASE_FACTOR = 0.8
INCREASE_FACTOR = 1.06
LOW_RATE_INCREASE_FACTOR = 1.12  # below one call a second, where successes are few
LOW_RATE_PER_S = 1
BACKLOG_INCREASE_PER_S = 0.15
BACKLOG_MESSAGES = 10  # from this many waiting messages on, the rate also grows by BACKLOG_INCREASE_PER_S
MIN_RATE_OF_DEMAND = 0.5  # the rate is never lowered below this share of this relay's own demand
# Factor on the part of a rate limit interval beyond one second, and on the whole interval between probes.
JITTER_RANGE = (0.3, 1.7)


@dataclass(slots=True)
class RateLimiter:
    """The learned rate limit and the interval between calls."""

    calls_per_second: float = math.inf
    failure_rate_after_failure: float = 0.5  # estimated probability that the call after a failure fails too
    jitter: float = 1.0  # drawn for each call
    last_call_at: int = -NEVER  # -NEVER: there was no call

    def record_call(self, now: int, random: Random) -> None:
        """Records the time of a call and draws the jitter of the interval after it."""
        self.last_call_at = now
        self.jitter = random.uniform(*JITTER_RANGE)

    def increase(self, limits: Limits, waiting: int) -> None:
        """Raises the limit after a success.

        Args:
            limits: The limits in force. In a large fleet each relay raises its limit more slowly, so that all
                relays together do not exceed what one relay would.
            waiting: Number of messages that wait for the destination.
        """
        scale = LARGE_FLEET_RELAYS / (LARGE_FLEET_RELAYS + limits.relay_count - 1)
        factor = LOW_RATE_INCREASE_FACTOR if self.calls_per_second < LOW_RATE_PER_S else INCREASE_FACTOR
        self.calls_per_second *= 1 + (factor - 1) * scale
        self.calls_per_second += BACKLOG_INCREASE_PER_S * scale if waiting >= BACKLOG_MESSAGES else 0

    def decrease(self, observed: float, demand: float) -> None:
        """Lowers the limit after a rejection; both arguments are in calls per second."""
        limit = min(self.calls_per_second, max(observed, demand))
        self.calls_per_second = max(limit * DECREASE_FACTOR, demand * MIN_RATE_OF_DEMAND)

    def interval(self, rate: float, limits: Limits) -> int:
        """Returns the microseconds between calls at a rate in calls per second.

        The part beyond one second is jittered, and shorter if calls after a failure usually succeed.
        """
        seconds = 1 / max(rate, SECOND_US / limits.slow_start_duration)
        if seconds >= 1:
            seconds = 1 + (seconds - 1) * self.failure_rate_after_failure * self.jitter
        return int(SECOND_US * seconds)
