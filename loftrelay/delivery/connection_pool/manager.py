"""Connection pool of a relay, which selects the connection for each call.

Sans I/O: each event is a method call with the time `now` (integer microseconds) and returns the actions to
execute, in order. The host and the time of a call are decided before it reaches the pool; see
docs/connections.md for the rules.

Each event takes constant time, apart from the timers (logarithmic in the number of open connections),
regardless of the number of hosts and connections: idle connections are kept in order of time, so that the
newest, the oldest of a host and the oldest of all are found without a search.
"""

from __future__ import annotations

from collections.abc import Hashable

from loftrelay.delivery.connection_pool.actions import (
    Action,
    ConnectFailure,
    FailCall,
    LogLine,
    PoolErrorKind,
)
from loftrelay.delivery.connection_pool.allocator import ConnectionAllocator
from loftrelay.delivery.connection_pool.connect_limits import TotalLimit
from loftrelay.delivery.connection_pool.connection import ConnectionEvent, ConnectionState, PooledConnection
from loftrelay.delivery.connection_pool.host import HostPool, WaitingCall
from loftrelay.delivery.connection_pool.idle_reset import MIN_LIMIT_US
from loftrelay.delivery.connection_pool.prewarm import DestinationHealth
from loftrelay.delivery.connection_pool.settings import MS, PoolSettings
from loftrelay.delivery.connection_pool.table import ConnectionTable
from loftrelay.delivery.connection_pool.trust import ResponseTrust

SIMULTANEOUS_CLOSE_US = 100 * MS  # closes of idle connections of a host within this time have one cause


class PoolManager:
    """Manages the connections of one relay to all its hosts."""

    def __init__(self, settings: PoolSettings, seed: int = 0) -> None:
        self.settings = settings
        self.hosts: dict[str, HostPool] = {}
        self.destinations: dict[Hashable, DestinationHealth] = {}
        self.table = ConnectionTable(settings, seed)
        self.trust = ResponseTrust(settings)
        self.allocator = ConnectionAllocator(self.table, self.trust)

    # Hosts

    def set_host(self, name: str, address: Hashable, destination: Hashable, now: int) -> list[Action]:
        """Adds a host, activates it or changes its address; connections to an old address are not reused."""
        self.table.begin_event(now)
        if (host := self.hosts.get(name)) is None:
            health = self.destinations.setdefault(destination, DestinationHealth(destination))
            health.hosts += 1
            host = self.hosts[name] = HostPool(name, health, address)
        if host.address != address:
            host.set_address(address)
            self._close_unleased(host)
        host.is_active = True
        return self._serve(host)

    def drain_host(self, name: str, now: int) -> list[Action]:
        """Stops keeping and prewarming connections to the host; waiting calls still get one."""
        self.table.begin_event(now)
        if (host := self.hosts.get(name)) is None:
            return self.table.actions
        host.is_active = False
        self.table.close_idle(host)
        return self._serve(host)

    def remove_host(self, name: str, now: int) -> list[Action]:
        """Removes the host and fails its waiting calls; calls in progress continue."""
        self.table.begin_event(now)
        if host := self.hosts.pop(name, None):
            host.is_active = host.is_known = False
            host.destination.hosts -= 1
            if not host.destination.hosts:
                del self.destinations[host.destination.key]
            self.table.close_idle(host)
            self.allocator.fail_all(host, PoolErrorKind.HOST_REMOVED)
            self._close_unleased(host)
            self.allocator.hosts_at_total_limit.pop(name, None)
            self.allocator.serve_hosts_at_total_limit()
        return self.table.actions

    def close_idle(self, name: str, now: int) -> list[Action]:
        """Closes the idle connections of the host; connections opened later are kept."""
        self.table.begin_event(now)
        if host := self.hosts.get(name):
            self.table.close_idle(host)
            self.allocator.serve_hosts_at_total_limit()
        return self.table.actions

    def record_outcome(self, name: str, is_success: bool, retry_after: int, now: int) -> None:
        """Records the outcome of a call to the host, since only healthy destinations are prewarmed."""
        if host := self.hosts.get(name):
            host.destination.record_outcome(is_success, retry_after, now)

    # Calls

    def acquire(
        self, call: int, name: str, is_at_most_once: bool, max_idle: int | None, now: int
    ) -> list[Action]:
        """Requests a connection; UseConnection or FailCall follows, now or later, unless it is cancelled.

        Args:
            call: The number that the caller gave the call.
            name: The host.
            is_at_most_once: Whether the call must not run twice.
            max_idle: Idle time that the connection must not have reached (microseconds); None: any.
            now: The time.
        """
        self.table.begin_event(now)
        if (host := self.hosts.get(name)) is None:
            self.table.actions.append(FailCall(call, PoolErrorKind.HOST_REMOVED))
            return self.table.actions
        host.demand.add_call(self.table.now)
        self.allocator.add(WaitingCall(call, host, is_at_most_once, max_idle))
        self.allocator.serve(host)
        self.allocator.prewarm(host)
        return self.table.actions

    def cancel(self, call: int, now: int) -> list[Action]:
        """Cancels a waiting call. A connection that is being opened for it is kept."""
        self.table.begin_event(now)
        if waiting := self.allocator.calls.get(call):
            self.allocator.remove(waiting)
            if not waiting.host.waiting:
                self.allocator.hosts_at_total_limit.pop(waiting.host.name, None)
            self.allocator.serve_hosts_at_total_limit()
        return self.table.actions

    def is_waiting_for_release(self, call: int) -> bool:
        """Whether the call waits for other calls to release connections, which is no fault of the host."""
        waiting = self.allocator.calls.get(call)
        return waiting is not None and waiting.host.established > 0

    # Connections

    def connected(self, number: int, now: int) -> list[Action]:
        """Handles a successful connect."""
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        host.backoff.reset()
        host.demand.add_connect(now - connection.connect_started_at)
        connection.connected_at = connection.idle_since = now
        connection.limit_factor = self.table.draw_limit_factor()
        if self._is_current(connection):
            self.table.make_idle(connection, ConnectionEvent.CONNECTED)
        else:
            self.table.close(connection)
        return self._serve(host)

    def connect_failed(self, number: int, failure: ConnectFailure, now: int) -> list[Action]:
        """Handles a failed connect."""
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        self.table.discard(connection)
        if failure is ConnectFailure.NO_DESCRIPTORS:
            self.allocator.handle_descriptors_exhausted(connection.host)
        else:
            self.allocator.handle_connect_failure(connection.host, failure)
        return self._serve(connection.host)

    def response_received(
        self, number: int, is_reusable: bool, now: int, response_time: int | None = None
    ) -> list[Action]:
        """Handles a complete response.

        Args:
            number: The connection.
            is_reusable: Whether another request may be sent on it.
            now: The time.
            response_time: Microseconds from the last byte of the request to the first of the response, of
                a successful delivery; None: not counted.
        """
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        host.capacity.new_resets = 0
        self.table.eviction.record(connection, False, self.table.now)
        if response_time is not None:
            host.responses.add(response_time)
        if is_reusable and self._is_current(connection):
            connection.idle_since = now
            self.table.make_idle(connection, ConnectionEvent.RELEASED)
        else:
            self.table.close(connection)
        self._serve(host)
        self.allocator.prewarm(host)
        return self.table.actions

    def release_unused(self, number: int, now: int) -> list[Action]:
        """Releases a connection whose call was abandoned before a byte was written.

        The call does not count as carried, so the connection is as it was before.
        """
        self.table.begin_event(now)
        connection = self.table.connections.get(number)
        if connection is None or connection.state is not ConnectionState.BUSY:
            return self.table.actions
        connection.calls_carried -= 1
        self.table.make_idle(connection, ConnectionEvent.RELEASED)
        return self._serve(connection.host)

    def connection_lost(self, number: int, is_reset: bool, now: int) -> list[Action]:
        """Handles a connection that ended during its call or cannot be reused.

        Args:
            number: The connection.
            is_reset: Whether it was reset, closed or silent, so that it may have been dead before the
                call; false for a malformed response and for a call that was cut off.
            now: The time.
        """
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        if is_reset:
            self.table.eviction.record(connection, True, self.table.now)
            if connection.calls_carried == 1:
                self.allocator.handle_new_connection_reset(connection.host)
        self.table.discard(connection)
        return self._serve(connection.host)

    def closed_by_peer(self, number: int, now: int) -> list[Action]:
        """Handles a close by the peer of a connection that is idle, or leased with no byte written.

        The owner must acquire another connection for the call in the second case.
        """
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        if connection.state is ConnectionState.BUSY:
            connection.calls_carried -= 1
        is_new = not connection.calls_carried and self.table.now - connection.connected_at < MIN_LIMIT_US
        if is_new:  # accepted and closed at once: counts as refused
            self.allocator.handle_new_connection_reset(host)
            self.allocator.back_off(host)
        elif self.table.now - host.idle_close_counted_at >= SIMULTANEOUS_CLOSE_US:
            # A restarting host closes all connections at once, whatever their age: counts as one reset.
            host.idle_close_counted_at = self.table.now
            self.table.eviction.record(connection, True, self.table.now)
        self.table.discard(connection)
        return self._serve(host)

    def unsolicited_data_received(
        self, number: int, is_response: bool, now: int, is_trailing: bool = False
    ) -> list[Action]:
        """Handles data that no request asked for, and closes the connection.

        Args:
            number: The connection.
            is_response: Whether the data may start a response, which could be taken for that of another
                request.
            now: The time.
            is_trailing: Whether the data arrived together with the end of a response.
        """
        self.table.begin_event(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        if is_response and self.trust.record_unsolicited(connection, is_trailing, now, self.table.now):
            self.table.actions.append(
                LogLine(
                    f"{host.name}: unsolicited response received, at-most-once messages get new connections"
                )
            )
        self.table.close(connection)
        return self._serve(host)

    # Timers

    @property
    def next_timer_at(self) -> int | None:
        """The time by which `run_timers` must be called; None: no timer is set."""
        return self.table.timers[0][0] if self.table.timers else None

    def run_timers(self, now: int) -> list[Action]:
        """Runs all timers that are due."""
        self.table.begin_event(now)
        while (target := self.table.pop_due_timer(now)) is not None:
            if isinstance(target, TotalLimit):
                self.allocator.regrow_total()
            elif isinstance(target, HostPool):
                target.timer_at = 0
                if target.is_known:
                    self.allocator.serve(target)
            else:
                self._run_expiry_timer(target)
        self.allocator.serve_hosts_at_total_limit()
        return self.table.actions

    # Queries

    def requires_unused(self, name: str) -> bool:
        """Whether at-most-once messages to the host need a connection that has carried no call."""
        if (host := self.hosts.get(name)) is None:
            return self.settings.is_strict
        return self.trust.requires_unused(host, self.table.now)

    def min_response_time(self, number: int) -> int:
        """Returns the response time in microseconds below which a duplicate is suspected; 0: none is."""
        connection = self.table.connections.get(number)
        return 0 if connection is None else self.trust.min_response_time(connection)

    def is_first_use(self, number: int) -> bool:
        """Whether the connection carries its first call, which no duplicate can answer."""
        connection = self.table.connections.get(number)
        return connection is not None and connection.calls_carried <= 1

    def _is_current(self, connection: PooledConnection) -> bool:
        """Whether the connection leads to the current address of a known host."""
        host = connection.host
        return host.is_known and connection.address_version == host.address_version

    def _close_unleased(self, host: HostPool) -> None:
        """Closes all connections of the host that are not leased, opening ones included."""
        self.table.close_idle(host)
        for connection in list(host.opening.values()):
            self.table.close(connection)

    def _run_expiry_timer(self, connection: PooledConnection) -> None:
        connection.has_expiry_timer = False
        if connection.state is not ConnectionState.IDLE:
            return
        if self.table.is_expired(connection):
            self.table.close(connection)
        else:
            self.table.set_expiry_timer(connection)

    def _serve(self, host: HostPool) -> list[Action]:
        """Serves the calls of the host, then the hosts that wait for the total limit."""
        self.allocator.serve(host)
        self.allocator.serve_hosts_at_total_limit()
        return self.table.actions
