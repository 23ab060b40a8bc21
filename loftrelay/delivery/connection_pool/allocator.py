"""Gives connections to waiting calls, and opens those that are missing, within the limits."""

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
from loftrelay.delivery.connection_pool.table import ConnectionTable
from loftrelay.delivery.connection_pool.trust import ResponseTrust


class ConnectionAllocator:
    """Serves the calls that wait, the oldest of a host first; hosts take turns where the total is limited."""

    def __init__(self, table: ConnectionTable, trust: ResponseTrust) -> None:
        self.table = table
        self.settings = table.settings
        self.trust = trust
        self.total_limit = TotalLimit(table.settings.max_total)
        self.selector = ConnectionSelector(table, trust, self.can_open)
        self.calls: dict[int, WaitingCall] = {}
        self.blocked: OrderedDict[str, HostPool] = OrderedDict()  # hosts that wait for the total limit

    # Waiting calls

    def add(self, call: WaitingCall) -> None:
        """The call waits from now on."""
        self.calls[call.number] = call.host.waiting[call.number] = call

    def remove(self, call: WaitingCall) -> None:
        """The call waits no more."""
        del self.calls[call.number]
        del call.host.waiting[call.number]

    def fail(self, call: WaitingCall, kind: PoolErrorKind) -> None:
        """The call gets no connection."""
        self.remove(call)
        self.table.actions.append(FailCall(call.number, kind))

    def fail_all(self, host: HostPool, kind: PoolErrorKind) -> None:
        """No waiting call of the host gets a connection."""
        for call in list(host.waiting.values()):
            self.fail(call, kind)

    def serve(self, host: HostPool) -> None:
        """Assigns idle connections to waiting calls and opens what is missing."""
        if host.waiting:
            self._assign(host)
            self._open_missing(host)

    def serve_blocked(self) -> None:
        """Room within the total limit goes to the hosts that wait for it, each in turn."""
        for _ in range(len(self.blocked)):
            if self._is_total_reached() and not self.table.idle:
                return
            _, host = self.blocked.popitem(last=False)
            self.serve(host)
            if host.waiting and host.name in self.blocked:
                return

    def _assign(self, host: HostPool) -> None:
        # As many calls as there are idle connections, and some more that may be less choosy.
        candidates = len(host.idle) + len(host.unused) + MAX_CANDIDATES
        for call in [c for c, _ in zip(host.waiting.values(), range(candidates), strict=False)]:
            if connection := self.selector.select(call):
                self.remove(call)
                self.table.lease(call, connection, self.trust.reuse_delay(host))
            elif host.oldest_idle is None:
                break

    # Opening

    def can_open(self, host: HostPool) -> bool:
        """Whether a connection to the host may be opened, in place of an idle one of any host if need be."""
        if not self._can_connect(host):
            return False
        return self._room(host) > 0 and (not self._is_total_reached() or bool(self.table.idle))

    def prewarm(self, host: HostPool) -> None:
        """Opens as many connections as calls arrive while one opens, where the destination is healthy."""
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

    def _room(self, host: HostPool) -> int:
        """How many more connections the host may have, by the configured limit and the learned capacity."""
        room = UNLIMITED
        if self.settings.max_per_host:
            room = min(room, self.settings.max_per_host - host.total)
        if capacity := host.capacity.current(self.table.now):
            room = min(room, capacity - host.total)
        return room

    def _open_missing(self, host: HostPool) -> None:
        """One connect in progress for each waiting call, as far as the limits allow."""
        missing = len(host.waiting) - len(host.opening)
        while missing > 0 and self._can_connect(host) and self._make_room(host):
            self.table.open(host)
            missing -= 1
        if missing <= 0:
            self.blocked.pop(host.name, None)
            return
        if self._is_total_reached():
            self.blocked.setdefault(host.name, host)
        self._schedule_retry(host)

    def _make_room(self, host: HostPool) -> bool:
        """Closes an idle connection where a limit is reached; whether another may be opened then."""
        if self._room(host) <= 0:
            # An idle connection that waiting calls did not take is replaced by a new one.
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
            else:  # no connection that could become free
                self.fail_all(host, PoolErrorKind.NO_CONNECTION)
        elif host.capacity.limit:
            self.table.set_host_timer(host, host.capacity.expires_at)

    # Failures

    def handle_connect_failure(self, host: HostPool, failure: ConnectFailure) -> None:
        """Backs off, and fails one waiting call: the owner may send it to another host."""
        self.back_off(host)
        if failure is ConnectFailure.REFUSED and host.established:
            self._learn_capacity(host, host.established)
        self._assign(host)
        if host.waiting and not (host.capacity.limit and host.established):
            self.fail(next(iter(host.waiting.values())), PoolErrorKind.NO_CONNECTION)

    def back_off(self, host: HostPool) -> None:
        """No connect to the host for a time, and none ahead of need to its destination."""
        host.destination.healthy_since = None
        host.backoff.increment(self.settings, self.table.rng, self.table.now)

    def handle_new_connection_reset(self, host: HostPool) -> None:
        """Several in a row beside established connections mean that the host accepts no more."""
        host.capacity.new_resets += 1
        if host.capacity.new_resets >= MAX_NEW_RESETS and host.established > 1:
            self._learn_capacity(host, host.established - 1)

    def handle_descriptors_exhausted(self, host: HostPool) -> None:
        """Limits the total to what is open now; calls fail only where nothing is open at all."""
        open_connections = len(self.table.connections)
        if not self.total_limit.is_reduced:
            self.table.set_timer(self.table.now + REGROW_INTERVAL_US, self.total_limit)
            self.table.actions.append(
                LogLine(f"connection pool: out of descriptors, limited to {open_connections} connections")
            )
        self.total_limit.reduce(open_connections)
        if not self.table.connections:
            self.fail_all(host, PoolErrorKind.NO_ROOM)

    def regrow_total(self) -> None:
        """One connection more, until the limit is as configured."""
        self.total_limit.grow(len(self.table.connections))
        if self.total_limit.is_reduced:
            self.table.set_timer(self.table.now + REGROW_INTERVAL_US, self.total_limit)
        else:
            self.table.actions.append(LogLine("connection pool: limit after descriptor shortage lifted"))

    def _learn_capacity(self, host: HostPool, limit: int) -> None:
        if host.capacity.learn(limit, self.settings, self.table.now):
            self.table.actions.append(
                LogLine(f"{host.name}: accepts {limit} connections, no more are opened for now")
            )
