"""The connection pool of a relay: which connection carries a call.

Sans I/O: each event comes in as a method call with the time `now` (integer microseconds) and returns the
actions to carry out, in order. That a call goes to a host, and when, has been decided before; see
docs/connections.md for the rules.

Each event costs constant work apart from the timers (logarithmic in the number of open connections),
whatever the number of hosts and connections: idle connections stand in order of time, so that the newest,
the oldest of a host and the oldest of all are found without a search.
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

SIMULTANEOUS_CLOSE_US = 100 * MS  # idle connections of a host that end so close together have one cause


class PoolManager:
    """The connections of one relay to all its hosts."""

    def __init__(self, settings: PoolSettings, seed: int = 0) -> None:
        self.settings = settings
        self.hosts: dict[str, HostPool] = {}
        self.destinations: dict[Hashable, DestinationHealth] = {}
        self.table = ConnectionTable(settings, seed)
        self.trust = ResponseTrust(settings)
        self.allocator = ConnectionAllocator(self.table, self.trust)

    # Hosts

    def set_host(self, name: str, address: Hashable, destination: Hashable, now: int) -> list[Action]:
        """The host is active at this address. Connections to another address are not used again."""
        self.table.begin(now)
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
        """Nothing is kept or prewarmed. Calls that wait already still get a connection."""
        self.table.begin(now)
        if (host := self.hosts.get(name)) is None:
            return self.table.actions
        host.is_active = False
        self.table.close_idle(host)
        return self._serve(host)

    def remove_host(self, name: str, now: int) -> list[Action]:
        """Calls that wait fail; those under way end by themselves."""
        self.table.begin(now)
        if host := self.hosts.pop(name, None):
            host.is_active = host.is_known = False
            host.destination.hosts -= 1
            if not host.destination.hosts:
                del self.destinations[host.destination.key]
            self.table.close_idle(host)
            self.allocator.fail_all(host, PoolErrorKind.GONE)
            self._close_unleased(host)
            self.allocator.blocked.pop(name, None)
            self.allocator.serve_blocked()
        return self.table.actions

    def close_idle(self, name: str, now: int) -> list[Action]:
        """Closes the connections that are idle now; those opened later are kept."""
        self.table.begin(now)
        if host := self.hosts.get(name):
            self.table.close_idle(host)
            self.allocator.serve_blocked()
        return self.table.actions

    def record_outcome(self, name: str, is_success: bool, retry_after: int, now: int) -> None:
        """Counts the outcome of a call to the host: only healthy destinations are prewarmed."""
        if host := self.hosts.get(name):
            host.destination.record_outcome(is_success, retry_after, now)

    # Calls

    def acquire(
        self, call: int, name: str, is_at_most_once: bool, max_idle: int | None, now: int
    ) -> list[Action]:
        """Requests a connection: UseConnection or FailCall follows, at once or later, unless cancelled.

        Args:
            call: The caller's number of the call.
            name: The host.
            is_at_most_once: The message must not be sent twice.
            max_idle: Only a connection idle for less than that (microseconds); None: any.
            now: The time.
        """
        self.table.begin(now)
        if (host := self.hosts.get(name)) is None:
            self.table.actions.append(FailCall(call, PoolErrorKind.GONE))
            return self.table.actions
        host.demand.add_call(self.table.now)
        self.allocator.add(WaitingCall(call, host, is_at_most_once, max_idle))
        self.allocator.serve(host)
        self.allocator.prewarm(host)
        return self.table.actions

    def cancel(self, call: int, now: int) -> list[Action]:
        """The call waits no more. A connection that opens for it is kept."""
        self.table.begin(now)
        if waiting := self.allocator.calls.get(call):
            self.allocator.remove(waiting)
            if not waiting.host.waiting:
                self.allocator.blocked.pop(waiting.host.name, None)
            self.allocator.serve_blocked()
        return self.table.actions

    def is_waiting_for_release(self, call: int) -> bool:
        """Whether the call waits behind calls that use the host's connections: no fault of the host."""
        waiting = self.allocator.calls.get(call)
        return waiting is not None and waiting.host.established > 0

    # Connections

    def connected(self, number: int, now: int) -> list[Action]:
        """A connect succeeded."""
        self.table.begin(now)
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
        """A connect failed."""
        self.table.begin(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        self.table.discard(connection)
        if failure is ConnectFailure.DESCRIPTORS:
            self.allocator.handle_descriptors_exhausted(connection.host)
        else:
            self.allocator.handle_connect_failure(connection.host, failure)
        return self._serve(connection.host)

    def response_received(
        self, number: int, is_reusable: bool, now: int, response_time: int | None = None
    ) -> list[Action]:
        """The response is complete.

        Args:
            number: The connection.
            is_reusable: Another request may be sent on it.
            now: The time.
            response_time: From the request's last byte to the response's first (microseconds), of a
                successful delivery; None: not counted.
        """
        self.table.begin(now)
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
        """The call was given up before a byte was written: the connection is as it was."""
        self.table.begin(now)
        connection = self.table.connections.get(number)
        if connection is None or connection.state is not ConnectionState.BUSY:
            return self.table.actions
        connection.calls_carried -= 1
        self.table.make_idle(connection, ConnectionEvent.RELEASED)
        return self._serve(connection.host)

    def connection_lost(self, number: int, is_reset: bool, now: int) -> list[Action]:
        """The connection ended during its call, or cannot be used again.

        Args:
            number: The connection.
            is_reset: It was reset, closed or silent, so that it may have been dead before the call; not
                a malformed response or a call that was cut off.
            now: The time.
        """
        self.table.begin(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        if is_reset:
            self.table.eviction.record(connection, True, self.table.now)
            if connection.calls_carried == 1:
                self.allocator.handle_new_connection_reset(connection.host)
        self.table.discard(connection)
        return self._serve(connection.host)

    def closed_by_peer(self, number: int, now: int) -> list[Action]:
        """The peer closed a connection that was idle, or leased with no byte of its call written.

        In the second case the call is to be acquired again.
        """
        self.table.begin(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        if connection.state is ConnectionState.BUSY:
            connection.calls_carried -= 1
        is_new = not connection.calls_carried and self.table.now - connection.connected_at < MIN_LIMIT_US
        if is_new:  # accepted and closed at once: as good as refused
            self.allocator.handle_new_connection_reset(host)
            self.allocator.back_off(host)
        elif self.table.now - host.idle_close_counted_at >= SIMULTANEOUS_CLOSE_US:
            # A host that restarts closes all at once, whatever their age: that counts as one.
            host.idle_close_counted_at = self.table.now
            self.table.eviction.record(connection, True, self.table.now)
        self.table.discard(connection)
        return self._serve(host)

    def unsolicited_data(
        self, number: int, is_response: bool, now: int, is_behind: bool = False
    ) -> list[Action]:
        """Bytes came that no request asked for: the connection is closed.

        Args:
            number: The connection.
            is_response: They look like the start of a response, and could be taken for another request's.
            now: The time.
            is_behind: They came together with the end of a response.
        """
        self.table.begin(now)
        if (connection := self.table.connections.get(number)) is None:
            return self.table.actions
        host = connection.host
        if is_response and self.trust.record_unsolicited(connection, is_behind, now, self.table.now):
            self.table.actions.append(
                LogLine(f"{host.name}: unsolicited response, at-most-once messages get new connections")
            )
        self.table.close(connection)
        return self._serve(host)

    # Timers

    @property
    def next_timer_at(self) -> int | None:
        """When `run_timers` is to be called, at the latest."""
        return self.table.timers[0][0] if self.table.timers else None

    def run_timers(self, now: int) -> list[Action]:
        """Runs all timers that are due."""
        self.table.begin(now)
        while (target := self.table.pop_due_timer(now)) is not None:
            if isinstance(target, TotalLimit):
                self.allocator.regrow_total()
            elif isinstance(target, HostPool):
                target.timer_at = 0
                if target.is_known:
                    self.allocator.serve(target)
            else:
                self._run_expiry_timer(target)
        self.allocator.serve_blocked()
        return self.table.actions

    # Questions

    def requires_unused(self, name: str) -> bool:
        """Whether at-most-once messages to the host need a connection that has carried nothing."""
        if (host := self.hosts.get(name)) is None:
            return self.settings.is_strict
        return self.trust.requires_unused(host, self.table.now)

    def min_response_time(self, number: int) -> int:
        """A response sooner than that (microseconds) may be a duplicate; 0: none is suspected."""
        connection = self.table.connections.get(number)
        return 0 if connection is None else self.trust.min_response_time(connection)

    def is_first_use(self, number: int) -> bool:
        """Whether its present call is the connection's first: no duplicate can answer it."""
        connection = self.table.connections.get(number)
        return connection is not None and connection.calls_carried <= 1

    def _is_current(self, connection: PooledConnection) -> bool:
        """Whether it leads to the present address of a known host."""
        host = connection.host
        return host.is_known and connection.address_version == host.address_version

    def _close_unleased(self, host: HostPool) -> None:
        """Closes all connections of the host that carry no call."""
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
        """What an event has freed goes to the host's calls first, then to hosts that wait."""
        self.allocator.serve(host)
        self.allocator.serve_blocked()
        return self.table.actions
