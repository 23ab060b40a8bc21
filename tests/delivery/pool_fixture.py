"""Harness that drives a connection pool without sockets, on its own clock."""

from __future__ import annotations

from typing import Any

from loftrelay.delivery.connection_pool.actions import (
    Action,
    CloseConnection,
    ConnectFailure,
    FailCall,
    LogLine,
    OpenConnection,
    PoolErrorKind,
    UseConnection,
)
from loftrelay.delivery.connection_pool.manager import PoolManager
from loftrelay.delivery.connection_pool.settings import MS, SECOND, PoolSettings

DEFAULT_HOST = "h"


class PoolHarness:
    """Feeds events to a pool, executes its actions and asserts that each is valid at that time.

    Attributes:
        manager: The pool under test.
        now: The clock, in microseconds.
        opening: Connects in progress: connection number -> host.
        established: Open connections: connection number -> host.
        leases: Calls in progress: call number -> connection number.
        delays: Call number -> microseconds that the call had to wait for the reuse delay.
        idle_times: Call number -> idle time of its connection in microseconds.
        waiting: Calls without a connection.
        errors: Call number -> the reason why it got no connection.
        log_lines: Log lines of the pool.
        open_count: Number of connects started.
        call_count: Number of calls; also the number of the last one.
    """

    def __init__(self, seed: int = 1, **settings: Any) -> None:
        self.manager = PoolManager(PoolSettings(**settings), seed)
        self.now = 1_000 * SECOND
        self.opening: dict[int, str] = {}
        self.established: dict[int, str] = {}
        self.leases: dict[int, int] = {}
        self.delays: dict[int, int] = {}
        self.idle_times: dict[int, int] = {}
        self.waiting: set[int] = set()
        self.errors: dict[int, PoolErrorKind] = {}
        self.log_lines: list[str] = []
        self.open_count = 0
        self.call_count = 0

    def execute(self, actions: list[Action]) -> None:
        """Executes actions in order; fails on one that is not valid now."""
        for action in actions:
            match action:
                case UseConnection(call, connection, delay, idle):
                    assert call in self.waiting
                    assert connection in self.established
                    assert connection not in self.leases.values(), "connection is leased twice"
                    self.waiting.remove(call)
                    self.leases[call], self.delays[call], self.idle_times[call] = connection, delay, idle
                case OpenConnection(host, connection):
                    assert connection not in self.opening
                    assert connection not in self.established
                    self.opening[connection] = host
                    self.open_count += 1
                case CloseConnection(connection):
                    assert (connection in self.established) != (connection in self.opening)
                    assert connection not in self.leases.values(), "connection is closed during its call"
                    self.established.pop(connection, None)
                    self.opening.pop(connection, None)
                case FailCall(call, kind):
                    self.waiting.remove(call)
                    self.errors[call] = kind
                case LogLine(text):
                    self.log_lines.append(text)

    def set_host(self, host: str = DEFAULT_HOST, address: object = 1, destination: object = 0) -> None:
        """Adds a host or changes its address."""
        self.execute(self.manager.set_host(host, address, destination, self.now))

    def acquire(
        self, host: str = DEFAULT_HOST, is_at_most_once: bool = False, max_idle: int | None = None
    ) -> int:
        """Requests a connection for a new call and returns the number of the call."""
        self.call_count += 1
        self.waiting.add(self.call_count)
        self.execute(self.manager.acquire(self.call_count, host, is_at_most_once, max_idle, self.now))
        return self.call_count

    def complete_connects(self, duration: int = 20 * MS) -> None:
        """Completes all connects in progress after `duration` microseconds."""
        self.advance_clock(duration)
        for connection in list(self.opening):
            if connection in self.opening:
                self.established[connection] = self.opening.pop(connection)
                self.execute(self.manager.connected(connection, self.now))

    def fail_connects(self, failure: ConnectFailure = ConnectFailure.REFUSED) -> None:
        """Fails all connects in progress."""
        for connection in list(self.opening):
            if connection in self.opening:
                del self.opening[connection]
                self.execute(self.manager.connect_failed(connection, failure, self.now))

    def respond(self, call: int, is_reusable: bool = True, response_time: int | None = None) -> int:
        """Ends a call with a response and returns its connection."""
        connection = self.leases.pop(call)
        self.execute(self.manager.response_received(connection, is_reusable, self.now, response_time))
        return connection

    def lose_connection(self, call: int, is_reset: bool = True) -> None:
        """Ends a call with the loss of its connection."""
        connection = self.leases.pop(call)
        del self.established[connection]
        self.execute(self.manager.connection_lost(connection, is_reset, self.now))

    def close_by_peer(self, connection: int) -> None:
        """Closes an idle connection from the side of the host."""
        del self.established[connection]
        self.execute(self.manager.closed_by_peer(connection, self.now))

    def advance_clock(self, duration: int) -> None:
        """Advances the clock by `duration` microseconds and runs each timer when it is due."""
        end = self.now + duration
        while (due := self.manager.next_timer_at) is not None and due <= end:
            self.now = max(self.now, due)
            self.execute(self.manager.run_timers(self.now))
        self.now = end

    def run_call(
        self, host: str = DEFAULT_HOST, is_at_most_once: bool = False, response_time: int = 100 * MS
    ) -> int:
        """Runs one call from request to response and returns its connection."""
        call = self.acquire(host, is_at_most_once)
        if call in self.waiting:
            self.complete_connects()
        connection = self.leases[call]
        self.advance_clock(self.delays[call] + response_time)
        self.respond(call, response_time=response_time)
        return connection
