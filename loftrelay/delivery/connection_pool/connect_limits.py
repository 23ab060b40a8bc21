"""Dynamic limits on new connections: connect backoff, learned host capacity, descriptor shortage."""

from __future__ import annotations

import random
from dataclasses import dataclass

from loftrelay.delivery.connection_pool.settings import SECOND, PoolSettings

UNLIMITED = 1 << 30
MAX_DOUBLINGS = 16
MAX_NEW_RESETS = 3  # resets of new connections in a row, beside established ones, that show the capacity
REGROW_INTERVAL_US = 5 * SECOND  # after a descriptor shortage, one more connection per interval
REGROW_HEADROOM = 64  # without a configured limit: lifted this far above the open connections


@dataclass(slots=True)
class ConnectBackoff:
    """Failed connects in a row, and the time before which no connect is started."""

    failures: int = 0
    next_connect_at: int = 0

    def increment(self, settings: PoolSettings, rng: random.Random, now: int) -> None:
        """Counts a failure and sets the next delay: doubled with each failure, less a random part."""
        self.failures += 1
        if settings.connect_backoff:
            doublings = min(self.failures - 1, MAX_DOUBLINGS)
            delay = min(settings.connect_backoff << doublings, settings.max_connect_backoff)
            self.next_connect_at = now + int(delay * (1 - rng.random() * settings.limit_jitter))

    def reset(self) -> None:
        """Clears the failures after a successful connect or a change of address."""
        self.failures = self.next_connect_at = 0


@dataclass(slots=True)
class HostCapacity:
    """The number of connections that a host accepts, learned from those that it refuses.

    `limit` is 0 if it is not known.
    """

    limit: int = 0
    expires_at: int = 0
    new_resets: int = 0

    def learn(self, limit: int, settings: PoolSettings, now: int) -> bool:
        """Sets the limit, if learning is on. Returns whether it differs from the previous one."""
        if not settings.is_capacity_learned:
            return False
        is_changed = self.limit != limit
        self.limit, self.expires_at = limit, now + settings.capacity_memory
        return is_changed

    def current(self, now: int) -> int:
        """Returns the limit, and drops it once expired; 0: not known."""
        if self.limit and now >= self.expires_at:
            self.limit = 0
        return self.limit


class TotalLimit:
    """Limit on the connections to all hosts: as configured, or reduced after a descriptor shortage."""

    def __init__(self, configured: int) -> None:
        self.configured = configured
        self.limit = configured or UNLIMITED
        self.is_reduced = False

    def reduce(self, open_connections: int) -> None:
        """Reduces the limit to the connections open now, at least one."""
        self.is_reduced = True
        self.limit = max(1, open_connections)

    def grow(self, open_connections: int) -> None:
        """Raises the limit by one connection.

        Ends the reduction at the configured limit, or REGROW_HEADROOM above the open connections if
        none is configured.
        """
        self.limit += 1
        if self.limit >= (self.configured or open_connections + REGROW_HEADROOM):
            self.limit, self.is_reduced = self.configured or UNLIMITED, False
