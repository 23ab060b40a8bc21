"""Expiry of idle connections, by configured limits and by limits learned from resets of the host."""

from __future__ import annotations

from loftrelay.delivery.connection_pool.connection import PooledConnection
from loftrelay.delivery.connection_pool.idle_reset import IdleResetEstimator
from loftrelay.delivery.connection_pool.settings import PoolSettings

NEVER = 1 << 62


class EvictionPolicy:
    """Applies the limits on idle time and age of connections."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings

    def record(self, connection: PooledConnection, is_reset: bool, now: int) -> None:
        """Counts a connection that was used or reset, with its idle time and age."""
        if not self.settings.is_age_limit_learned:
            return
        host = connection.host
        if host.idle_resets is None or host.age_resets is None:
            if not is_reset:
                return
            host.idle_resets = IdleResetEstimator(self.settings.reset_memory)
            host.age_resets = IdleResetEstimator(self.settings.reset_memory)
        host.idle_resets.add(now, connection.idle_time(now), is_reset)
        host.age_resets.add(now, now - connection.connected_at, is_reset)

    def expires_at(self, connection: PooledConnection, now: int) -> int:
        """Returns the time at which an idle connection expires; NEVER if no limit applies."""
        host, settings = connection.host, self.settings
        expiry = NEVER
        for since, configured, resets in (
            (connection.idle_since, settings.max_idle, host.idle_resets),
            (connection.connected_at, settings.max_age, host.age_resets),
        ):
            learned = resets.limit(now, settings.min_resets) if resets is not None else None
            limit = min(configured or NEVER, learned or NEVER)
            if limit < NEVER:
                expiry = min(expiry, since + int(limit * connection.limit_factor))
        return expiry
