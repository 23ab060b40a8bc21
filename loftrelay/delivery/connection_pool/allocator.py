"""Assigns connections to waiting calls and opens missing ones, within the limits."""

from __future__ import annotations

from collections import OrderedDict

from loftrelay.delivery.connection_pool.actions import ConnectFailure, FailCall, LogLine, PoolErrorKind
from loftrelay.delivery.connection_pool.connect_limits import (
    MAX_NEW_RESETS,
    REGROW_INTERVAL_US,
    UNLIMITED,
    TotalLimit,
)
from loftrelay.delivery.connection_pool.host import HostPool, WaitingCall
from loftrelay.delivery.connection_pool.selection import MAX_CANDIDATES, ConnectionSelector
from loftrelay.delivery.connection_pool.settings import SECOND
from loftrelay.delivery.connection_pool.table import ConnectionTable
from loftrelay.delivery.connection_pool.trust import ResponseTrust


class ConnectionAllocator:
    """Serves the calls of a host oldest first; hosts take turns when the total limit is reached."""

    def __init__(self, table: ConnectionTable, trust: ResponseTrust) -> None:
        self.table = table
        self.settings = table.settings
        self.trust = trust
        self.total_limit = TotalLimit(table.settings.max_total)
        self.selector = ConnectionSelector(table, trust, self.can_open)
        self.calls: dict[int, WaitingCall] = {}
        self.hosts_at_total_limit: OrderedDict[str, HostPool] = OrderedDict()  # with waiting calls

    # Waiting calls

    def add(self, call: WaitingCall) -> None:
        """Adds a call to the waiting calls."""
        self.calls[call.number] = call.host.waiting[call.number] = call

    def remove(self, call: WaitingCall) -> None:
        """Removes a call from the waiting calls."""
        del self.calls[call.number]
        del call.host.waiting[call.number]

    def fail(self, call: WaitingCall, kind: PoolErrorKind) -> None:
        """Fails a waiting call."""
        self.remove(call)
        self.table.actions.append(FailCall(call.number, kind))

    def fail_all(self, host: HostPool, kind: PoolErrorKind) -> None:
        """Fails all waiting calls of the host."""
        for call in list(host.waiting.values()):
            self.fail(call, kind)

    def serve(self, host: HostPool) -> None:
        """Assigns idle connections to the waiting calls of the host and opens the missing ones."""
        if host.waiting:
            self._assign(host)
            self._open_missing(host)

    def serve_hosts_at_total_limit(self) -> None:
        """Serves the hosts that wait for the total limit, each in turn."""
        for _ in range(len(self.hosts_at_total_limit)):
            if self._is_total_reached() and not self.table.idle:
                return
            _, host = self.hosts_at_total_limit.popitem(last=False)
            self.serve(host)
            if host.waiting and host.name in self.hosts_at_total_limit:
                return

    def _assign(self, host: HostPool) -> None:
        # As many calls as there are idle connections, and a few more: the first ones may reject them.
        candidates = len(host.idle) + len(host.unused) + MAX_CANDIDATES
        for call in [c for c, _ in zip(host.waiting.values(), range(candidates), strict=False)]:
            if connection := self.selector.select(call):
                self.remove(call)
                self.table.lease(call, connection, self.trust.reuse_delay(host))
            elif host.oldest_idle is None:
                break

    # Opening

    def can_open(self, host: HostPool) -> bool:
        """Whether a connection to the host may be opened, closing an idle one of any host if necessary."""
        if not self._can_connect(host):
            return False
        return self._remaining_capacity(host) > 0 and (not self._is_total_reached() or bool(self.table.idle))

    def prewarm(self, host: HostPool) -> None:
        """Opens as many connections as calls arrive during one connect, if the destination is healthy."""
        if not self.settings.max_prewarmed or not host.is_active or host.waiting:
            return
        if not host.destination.allows_prewarming(self.settings, self.table.now) or host.backoff.failures:
            return
        spare = len(host.unused) + len(host.opening)
        if not self.trust.requires_unused(host, self.table.now):
            spare += len(host.idle)
        needed = min(self.settings.max_prewarmed, host.demand.connections_needed(self.table.now))
        while spare < needed and self.can_open(host) and not self._is_total_reached():
            self.table.open(host)
            spare += 1

    def _is_total_reached(self) -> bool:
        return len(self.table.connections) >= self.total_limit.limit

    def _can_connect(self, host: HostPool) -> bool:
        limit = self.settings.max_connecting
        is_backoff_over = self.table.now >= host.backoff.next_connect_at
        return host.is_known and is_backoff_over and (not limit or len(host.opening) < limit)

    def _remaining_capacity(self, host: HostPool) -> int:
        """Returns how many more connections the configured limit and the learned capacity allow."""
        remaining = UNLIMITED
        if self.settings.max_per_host:
            remaining = min(remaining, self.settings.max_per_host - host.total)
        if capacity := host.capacity.current(self.table.now):
            remaining = min(remaining, capacity - host.total)
        return remaining

    def _open_missing(self, host: HostPool) -> None:
        """Starts connects until each waiting call has one in progress or a limit is reached."""
        missing = len(host.waiting) - len(host.opening)
        while missing > 0 and self._can_connect(host) and self._make_room(host):
            self.table.open(host)
            missing -= 1
        if missing <= 0:
            self.hosts_at_total_limit.pop(host.name, None)
            return
        if self._is_total_reached():
            self.hosts_at_total_limit.setdefault(host.name, host)
        self._schedule_retry(host)

    def _make_room(self, host: HostPool) -> bool:
        """Closes an idle connection if a limit is reached. Returns whether one may be opened now."""
        if self._remaining_capacity(host) <= 0:
            # Replaces an idle connection that no waiting call accepted.
            connection = host.oldest_idle
        elif self._is_total_reached():
            connection = next(iter(self.table.idle.values()), None)
        else:
            return True
        if connection is None:
            return False
        self.table.close(connection)
        return True

    def _schedule_retry(self, host: HostPool) -> None:
        if self.table.now < host.backoff.next_connect_at:
            if host.total:
                self.table.set_host_timer(host, host.backoff.next_connect_at)
            else:  # no connection that could be released
                self.fail_all(host, PoolErrorKind.NO_CONNECTION)
        elif host.capacity.limit:
            self.table.set_host_timer(host, host.capacity.expires_at)

    # Failures

    def handle_connect_failure(self, host: HostPool, failure: ConnectFailure) -> None:
        """Backs off and fails one waiting call, which the owner may send to another host."""
        self.back_off(host)
        if failure is ConnectFailure.REFUSED and host.established:
            self._learn_capacity(host, host.established)
        self._assign(host)
        if host.waiting and not (host.capacity.limit and host.established):
            self.fail(next(iter(host.waiting.values())), PoolErrorKind.NO_CONNECTION)

    def back_off(self, host: HostPool) -> None:
        """Delays further connects to the host and stops prewarming for its destination."""
        host.destination.healthy_since = None
        host.backoff.increment(self.settings, self.table.rng, self.table.now)

    def handle_new_connection_reset(self, host: HostPool) -> None:
        """Counts the reset of a new connection; learns the capacity of the host after several in a row.

        Resets of new connections while others stay established mean that the host accepts no more.
        """
        host.capacity.new_resets += 1
        if host.capacity.new_resets >= MAX_NEW_RESETS and host.established > 1:
            self._learn_capacity(host, host.established - 1)

    def handle_descriptors_exhausted(self, host: HostPool) -> None:
        """Limits the total to the connections open now; fails calls only if none is open at all."""
        open_connections = len(self.table.connections)
        if not self.total_limit.is_reduced:
            self.table.set_timer(self.table.now + REGROW_INTERVAL_US, self.total_limit)
            self.table.actions.append(
                LogLine(
                    f"connection pool: out of descriptors, limit reduced to {open_connections} connections"
                )
            )
        self.total_limit.reduce(open_connections)
        if not self.table.connections:
            self.fail_all(host, PoolErrorKind.NO_DESCRIPTORS)

    def regrow_total(self) -> None:
        """Raises the reduced total limit by one connection, up to the configured limit."""
        self.total_limit.grow(len(self.table.connections))
        if self.total_limit.is_reduced:
            self.table.set_timer(self.table.now + REGROW_INTERVAL_US, self.total_limit)
        else:
            self.table.actions.append(
                LogLine("connection pool: configured limit restored after descriptor shortage")
            )

    def _learn_capacity(self, host: HostPool, limit: int) -> None:
        if host.capacity.learn(limit, self.settings, self.table.now):
            self.table.actions.append(
                LogLine(
                    f"{host.name}: accepts {limit} connections, refused or reset another; "
                    f"no more are opened for {self.settings.capacity_memory / SECOND:g} s"
                )
            )
