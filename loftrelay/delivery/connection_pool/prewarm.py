"""Number of connections to open before they are needed: call rate times connect time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from math import ceil

from loftrelay.delivery.connection_pool.settings import MS, SECOND, PoolSettings

INITIAL_CONNECT_TIME_US = 50 * MS
RATE_WINDOW_US = 10 * SECOND


@dataclass(slots=True)
class ConnectDemand:
    """Smoothed connect time (microseconds) and call rate of a host."""

    connect_time: float = INITIAL_CONNECT_TIME_US
    calls_per_s: float = 0.0
    counted_at: int = 0

    def add_connect(self, duration: int) -> None:
        """Counts the duration of a successful connect (microseconds)."""
        self.connect_time += (duration - self.connect_time) / 4

    def add_call(self, now: int) -> None:
        """Counts a call."""
        self.calls_per_s = self.calls_per_s * self._remaining(now) + SECOND / RATE_WINDOW_US
        self.counted_at = now

    def connections_needed(self, now: int) -> int:
        """Returns the number of calls expected during one connect."""
        return ceil(self.calls_per_s * self._remaining(now) * self.connect_time / SECOND)

    def _remaining(self, now: int) -> float:
        return max(0.0, 1 - (now - self.counted_at) / RATE_WINDOW_US)


@dataclass(slots=True, eq=False)
class DestinationHealth:
    """Tells whether connections to the hosts of a destination may be prewarmed."""

    key: Hashable
    healthy_since: int | None = None  # None: no call has succeeded since the last failure
    retry_after_until: int = 0
    hosts: int = 0

    def record_outcome(self, is_success: bool, retry_after: int, now: int) -> None:
        """Records the outcome of a call; `retry_after` is in microseconds."""
        self.retry_after_until = max(self.retry_after_until, now + retry_after)
        if not is_success:
            self.healthy_since = None
        elif self.healthy_since is None:
            self.healthy_since = now

    def allows_prewarming(self, settings: PoolSettings, now: int) -> bool:
        """Whether the destination has been healthy for long enough and no Retry-After applies."""
        if self.healthy_since is None or now - self.healthy_since < settings.warm_up_after:
            return False
        return now >= self.retry_after_until
