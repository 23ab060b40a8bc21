"""Connections of the pool, their state transitions and timers, and the resulting actions."""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from itertools import count

from loftrelay.delivery.connection_pool.actions import Action, CloseConnection, OpenConnection, UseConnection
from loftrelay.delivery.connection_pool.connect_limits import TotalLimit
from loftrelay.delivery.connection_pool.connection import ConnectionEvent, ConnectionState, PooledConnection
from loftrelay.delivery.connection_pool.eviction import NEVER, EvictionPolicy
from loftrelay.delivery.connection_pool.host import HostPool, WaitingCall
from loftrelay.delivery.connection_pool.settings import PoolSettings

TimerTarget = PooledConnection | HostPool | TotalLimit


class ConnectionTable:
    """Moves connections between states; `now` and `actions` belong to the current event."""

    def __init__(self, settings: PoolSettings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.eviction = EvictionPolicy(settings)
        self.connections: dict[int, PooledConnection] = {}
        self.idle: OrderedDict[int, PooledConnection] = OrderedDict()  # of all hosts, the longest idle first
        self.timers: list[tuple[int, int, TimerTarget]] = []
        self.now = 0
        self.actions: list[Action] = []
        self._numbers = count(1)

    def begin_event(self, now: int) -> None:
        """Starts an event with a new list of actions; the clock never goes back."""
        self.now = max(self.now, now)
        self.actions = []

    def open(self, host: HostPool) -> None:
        """Starts a connect to the host."""
        connection = PooledConnection(next(self._numbers), host, host.address_version, self.now)
        self.connections[connection.number] = host.opening[connection.number] = connection
        self.actions.append(OpenConnection(host.name, connection.number))

    def draw_limit_factor(self) -> float:
        """Draws the fraction of its limits at which a connection is closed."""
        return 1 - self.rng.random() * self.settings.limit_jitter

    def make_idle(self, connection: PooledConnection, event: ConnectionEvent) -> None:
        """Makes the connection idle, or closes it if it is not to be kept."""
        host = connection.host
        self._transition(connection, event)
        excess = host.total - self.settings.max_per_host if self.settings.max_per_host else 0
        is_unwanted = not host.is_active and not host.waiting
        if is_unwanted or excess > 0 or self.is_expired(connection):
            self.close(connection)
        else:
            self.set_expiry_timer(connection)

    def lease(self, call: WaitingCall, connection: PooledConnection, reuse_delay: int) -> None:
        """Leases the connection to the call, which uses it once it has been idle for `reuse_delay`."""
        self._transition(connection, ConnectionEvent.LEASED)
        delay = 0
        if connection.calls_carried:
            delay = max(0, connection.idle_since + reuse_delay - self.now)
        connection.idle_before_call = self.now + delay - connection.idle_since
        connection.calls_carried += 1
        self.actions.append(UseConnection(call.number, connection.number, delay, connection.idle_before_call))

    def close(self, connection: PooledConnection) -> None:
        """Closes the connection, or cancels its connect."""
        self.actions.append(CloseConnection(connection.number))
        self.discard(connection)

    def discard(self, connection: PooledConnection) -> None:
        """Removes a connection that is already closed."""
        self._transition(connection, ConnectionEvent.CLOSED)

    def close_idle(self, host: HostPool) -> None:
        """Closes all idle connections of the host."""
        while (connection := host.oldest_idle) is not None:
            self.close(connection)

    def close_expired(self, host: HostPool) -> None:
        """Closes expired idle connections of the host, the longest idle first, until one is not expired."""
        for connections in (host.idle, host.unused):
            while connections and self.is_expired(oldest := next(iter(connections.values()))):
                self.close(oldest)

    def is_expired(self, connection: PooledConnection) -> bool:
        """Whether the connection has reached its limit on idle time or age."""
        return self.eviction.expires_at(connection, self.now) <= self.now

    def set_expiry_timer(self, connection: PooledConnection) -> None:
        """Sets the expiry timer, one per connection; it is set again if it runs before the expiry."""
        if connection.has_expiry_timer:
            return
        expiry = self.eviction.expires_at(connection, self.now)
        if expiry < NEVER:
            connection.has_expiry_timer = True
            self.set_timer(expiry, connection)

    def set_host_timer(self, host: HostPool, at: int) -> None:
        """Schedules serving the waiting calls of the host again, no later than `at`."""
        if not host.timer_at or at < host.timer_at:
            host.timer_at = at
            self.set_timer(at, host)

    def set_timer(self, at: int, target: TimerTarget) -> None:
        """Sets a timer that is due at `at`, but always after the current event."""
        heapq.heappush(self.timers, (max(at, self.now + 1), next(self._numbers), target))

    def pop_due_timer(self, now: int) -> TimerTarget | None:
        """Removes the earliest timer if it is due and returns its target, else None."""
        if not self.timers or self.timers[0][0] > now:
            return None
        return heapq.heappop(self.timers)[2]

    def _transition(self, connection: PooledConnection, event: ConnectionEvent) -> None:
        """Moves the connection from the collection of its state to that of its next state."""
        state = connection.next_state(event)
        self._leave_state(connection)
        connection.state = state
        self._enter_state(connection)

    def _leave_state(self, connection: PooledConnection) -> None:
        host, number = connection.host, connection.number
        if connection.state is ConnectionState.OPENING:
            del host.opening[number]
        elif connection.state is ConnectionState.BUSY:
            host.busy -= 1
        elif connection.state is ConnectionState.IDLE:
            host.idle.pop(number, None)
            host.unused.pop(number, None)
            del self.idle[number]

    def _enter_state(self, connection: PooledConnection) -> None:
        host, number = connection.host, connection.number
        if connection.state is ConnectionState.IDLE:
            (host.idle if connection.calls_carried else host.unused)[number] = connection
            self.idle[number] = connection
        elif connection.state is ConnectionState.BUSY:
            host.busy += 1
        elif connection.state is ConnectionState.CLOSED:
            del self.connections[number]
