"""Limits on new connections that are learned: backoff after failures, a host's capacity, descriptors."""

from __future__ import annotations

import random
from dataclasses import dataclass

from loftrelay.delivery.connection_pool.settings import SECOND, PoolSettings

UNLIMITED = 1 << 30
MAX_DOUBLINGS = 16
MAX_NEW_RESETS = 3  # in a row, of new connections beside established ones: the host's capacity is reached
REGROW_INTERVAL_US = 5 * SECOND  # after descriptors ran out, one more connection each interval
REGROW_HEADROOM = 64  # connections beyond those open at which the limit is lifted


@dataclass(slots=True)
class ConnectBackoff:
    """Failed connects in a row, and the time before which none is started."""

    failures: int = 0
    next_connect_at: int = 0

    def increment(self, settings: PoolSettings, rng: random.Random, now: int) -> None:
        """Counts a failure; the delay doubles with each, less a random part."""
        self.failures += 1
        if settings.connect_backoff:
            doublings = min(self.failures - 1, MAX_DOUBLINGS)
            delay = min(settings.connect_backoff << doublings, settings.max_connect_backoff)
            self.next_connect_at = now + int(delay * (1 - rng.random() * settings.limit_jitter))

    def reset(self) -> None:
        """A connect succeeded, or the address changed."""
        self.failures = self.next_connect_at = 0


@dataclass(slots=True)
class HostCapacity:
    """How many connections a host accepts, learned from those that it refuses; 0: not known."""

    limit: int = 0
    expires_at: int = 0
    new_resets: int = 0

    def learn(self, limit: int, settings: PoolSettings, now: int) -> bool:
        """Sets the limit; whether it differs from the one known before."""
        if not settings.is_capacity_learned:
            return False
        is_changed = self.limit != limit
        self.limit, self.expires_at = limit, now + settings.capacity_memory
        return is_changed

    def current(self, now: int) -> int:
        """The limit, dropped when it has expired; 0: not known."""
        if self.limit and now >= self.expires_at:
            self.limit = 0
        return self.limit


class TotalLimit:
    """Connections to all hosts: the configured limit, less after descriptors ran out."""

    def __init__(self, configured: int) -> None:
        self.configured = configured
        self.limit = configured or UNLIMITED
        self.is_reduced = False

    def reduce(self, open_connections: int) -> None:
        """Descriptors ran out: no more than are open now."""
        self.is_reduced = True
        self.limit = max(1, open_connections)

    def grow(self, open_connections: int) -> None:
        """Allows one connection more; lifts the reduction once the configured limit is reached."""
        self.limit += 1
        if self.limit >= (self.configured or open_connections + REGROW_HEADROOM):
            self.limit, self.is_reduced = self.configured or UNLIMITED, False
