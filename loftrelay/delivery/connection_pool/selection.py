"""Selection of the idle connection for a call."""

from __future__ import annotations

from collections.abc import Callable

from loftrelay.delivery.connection_pool.connection import PooledConnection
from loftrelay.delivery.connection_pool.host import HostPool, WaitingCall
from loftrelay.delivery.connection_pool.settings import ReuseOrder
from loftrelay.delivery.connection_pool.table import ConnectionTable
from loftrelay.delivery.connection_pool.trust import ResponseTrust

MAX_CANDIDATES = 4  # idle connections examined per call, which keeps the work constant


class ConnectionSelector:
    """Selects among the idle connections of a host; `can_open` tells whether another may be opened."""

    def __init__(
        self, table: ConnectionTable, trust: ResponseTrust, can_open: Callable[[HostPool], bool]
    ) -> None:
        self.table = table
        self.settings = table.settings
        self.trust = trust
        self.can_open = can_open

    def select(self, call: WaitingCall) -> PooledConnection | None:
        """Returns the connection for a call, or None if the call is to wait for another.

        A connection whose reuse delay is not over is taken if the delay ends before another connection
        could be open, or if no other may be opened.
        """
        host = call.host
        self.table.close_expired(host)
        if call.is_at_most_once:
            if connection := self._newest_unused(call):
                return connection
            if self.trust.requires_unused(host, self.table.now):
                return None
        delay = self.trust.reuse_delay(host)
        reusable, delayed = self._scan_candidates(call, delay)
        if reusable is not None:
            return reusable if self._is_acceptable(call, reusable) else None
        if connection := self._newest_unused(call):
            return connection
        if self._prefers_new(call, delay) or delayed is None:
            return None
        remaining = delay - (self.table.now - delayed.idle_since)
        is_soon = remaining <= max(self.settings.reuse_delay, host.demand.connect_time)
        return delayed if is_soon or not self.can_open(host) else None

    def _scan_candidates(
        self, call: WaitingCall, delay: int
    ) -> tuple[PooledConnection | None, PooledConnection | None]:
        """Returns the best connection whose reuse delay is over, and one whose delay is not.

        The second one is the last examined: with NEWEST_FIRST, the one whose delay ends first.
        """
        reusable: PooledConnection | None = None
        delayed: PooledConnection | None = None
        for connection in self._candidates(call.host):
            idle = self.table.now - connection.idle_since
            if call.max_idle is not None and max(idle, delay) >= call.max_idle:
                continue
            if self.table.is_expired(connection):
                self.table.close(connection)
            elif idle < delay:
                delayed = connection
            elif reusable is None or (call.is_at_most_once and self._is_recently_used(reusable)):
                reusable = connection
                if not call.is_at_most_once:
                    break
        return reusable, delayed

    def _is_recently_used(self, connection: PooledConnection) -> bool:
        """Whether an at-most-once message prefers another connection."""
        return self.table.now - connection.idle_since < self.settings.at_most_once_reuse_delay

    def _is_acceptable(self, call: WaitingCall, connection: PooledConnection) -> bool:
        """Whether the call uses this connection instead of waiting for a new one."""
        if not call.is_at_most_once or not self._is_recently_used(connection):
            return True
        return bool(call.host.backoff.failures) or not self.can_open(call.host)

    def _prefers_new(self, call: WaitingCall, delay: int) -> bool:
        """Whether the call waits for a new connection instead of using one after the reuse delay alone.

        At-most-once messages prefer a longer delay if `at_most_once_reuse_delay` exceeds the reuse delay.
        """
        if not call.is_at_most_once or self.settings.at_most_once_reuse_delay <= delay:
            return False
        return not call.host.backoff.failures and self.can_open(call.host)

    def _candidates(self, host: HostPool) -> list[PooledConnection]:
        """Returns a few idle connections in order of preference, and the longest idle one."""
        if not host.idle:
            return []
        if self.settings.reuse_order is ReuseOrder.ROTATE:
            return [c for c, _ in zip(host.idle.values(), range(MAX_CANDIDATES), strict=False)]
        newest = [c for c, _ in zip(reversed(host.idle.values()), range(MAX_CANDIDATES), strict=False)]
        oldest = next(iter(host.idle.values()))
        return newest if oldest is newest[-1] else [*newest, oldest]

    def _newest_unused(self, call: WaitingCall) -> PooledConnection | None:
        """Returns the newest connection that has carried no call, if its idle time suits the call."""
        connection = next(reversed(call.host.unused.values()), None)
        if connection is None or call.max_idle is None:
            return connection
        return connection if self.table.now - connection.idle_since < call.max_idle else None
