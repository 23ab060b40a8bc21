"""All connections of the pool: their transitions, their timers and the actions that follow."""

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
    """Moves connections between their states; `now` and `actions` are those of the present event."""

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

    def begin(self, now: int) -> None:
        """Starts an event: the clock never goes back, and the list of actions is a new one."""
        self.now = max(self.now, now)
        self.actions = []

    def open(self, host: HostPool) -> None:
        """Starts a connect."""
        connection = PooledConnection(next(self._numbers), host, host.address_version, self.now)
        self.connections[connection.number] = host.opening[connection.number] = connection
        self.actions.append(OpenConnection(host.name, connection.number))

    def draw_limit_factor(self) -> float:
        """The part of its limits at which a connection is closed."""
        return 1 - self.rng.random() * self.settings.limit_jitter

    def make_idle(self, connection: PooledConnection, event: ConnectionEvent) -> None:
        """The connection is idle from now on, or is closed where it is not to be kept."""
        host = connection.host
        self._move(connection, event)
        excess = host.total - self.settings.max_per_host if self.settings.max_per_host else 0
        is_unwanted = not host.is_active and not host.waiting
        if is_unwanted or excess > 0 or self.is_expired(connection):
            self.close(connection)
        else:
            self.set_expiry_timer(connection)

    def lease(self, call: WaitingCall, connection: PooledConnection, reuse_delay: int) -> None:
        """Gives the connection to the call, which uses it once it has been idle for `reuse_delay`."""
        self._move(connection, ConnectionEvent.LEASED)
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
        """The connection has ended by itself."""
        self._move(connection, ConnectionEvent.CLOSED)

    def close_idle(self, host: HostPool) -> None:
        """Closes all idle connections of the host."""
        while (connection := host.oldest_idle) is not None:
            self.close(connection)

    def close_expired(self, host: HostPool) -> None:
        """Closes expired idle connections of the host, the longest idle first, up to one that is kept."""
        for kept in (host.idle, host.unused):
            while kept and self.is_expired(oldest := next(iter(kept.values()))):
                self.close(oldest)

    def is_expired(self, connection: PooledConnection) -> bool:
        """Whether a limit of idle time or age is reached."""
        return self.eviction.expires_at(connection, self.now) <= self.now

    def set_expiry_timer(self, connection: PooledConnection) -> None:
        """One timer a connection; it is set again where it runs before the connection expires."""
        if connection.has_expiry_timer:
            return
        expiry = self.eviction.expires_at(connection, self.now)
        if expiry < NEVER:
            connection.has_expiry_timer = True
            self.set_timer(expiry, connection)

    def set_host_timer(self, host: HostPool, at: int) -> None:
        """The host's waiting calls are to be served again at that time."""
        if not host.timer_at or at < host.timer_at:
            host.timer_at = at
            self.set_timer(at, host)

    def set_timer(self, at: int, target: TimerTarget) -> None:
        """Runs after the present event in any case."""
        heapq.heappush(self.timers, (max(at, self.now + 1), next(self._numbers), target))

    def pop_due_timer(self, now: int) -> TimerTarget | None:
        """The target of the earliest timer that is due."""
        if not self.timers or self.timers[0][0] > now:
            return None
        return heapq.heappop(self.timers)[2]

    def _move(self, connection: PooledConnection, event: ConnectionEvent) -> None:
        """Takes the connection from the collection of its state to that of the next."""
        state = connection.next_state(event)
        self._leave(connection)
        connection.state = state
        self._enter(connection)

    def _leave(self, connection: PooledConnection) -> None:
        host, number = connection.host, connection.number
        if connection.state is ConnectionState.OPENING:
            del host.opening[number]
        elif connection.state is ConnectionState.BUSY:
            host.busy -= 1
        elif connection.state is ConnectionState.IDLE:
            host.idle.pop(number, None)
            host.unused.pop(number, None)
            del self.idle[number]

    def _enter(self, connection: PooledConnection) -> None:
        host, number = connection.host, connection.number
        if connection.state is ConnectionState.IDLE:
            (host.idle if connection.calls_carried else host.unused)[number] = connection
            self.idle[number] = connection
        elif connection.state is ConnectionState.BUSY:
            host.busy += 1
        elif connection.state is ConnectionState.CLOSED:
            del self.connections[number]
