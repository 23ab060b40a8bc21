"""Drives the pure pools by hand, on a clock of its own, and keeps the account that their actions make."""

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


class Driver:
    """Each action must be one that the account allows: AssertionError else."""

    def __init__(self, seed: int = 1, **limits: Any) -> None:
        self.pools = PoolManager(PoolSettings(**limits), seed)
        self.now = 1_000 * SECOND
        self.opening: dict[int, str] = {}
        self.up: dict[int, str] = {}  # connections that stand, and their servers
        self.calls: dict[int, int] = {}  # call -> its connection
        self.after: dict[int, int] = {}
        self.idle: dict[int, int] = {}  # call -> how long its connection had stood idle
        self.waiting: set[int] = set()
        self.denied: dict[int, PoolErrorKind] = {}
        self.said: list[str] = []
        self.opened = 0
        self.number = 0

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case UseConnection(call, connection, after, idle):
                    assert call in self.waiting
                    assert connection in self.up
                    assert connection not in self.calls.values(), "used twice at once"
                    self.waiting.remove(call)
                    self.calls[call], self.after[call], self.idle[call] = connection, after, idle
                case OpenConnection(server, connection):
                    assert connection not in self.opening
                    assert connection not in self.up
                    self.opening[connection] = server
                    self.opened += 1
                case CloseConnection(connection):
                    assert (connection in self.up) != (connection in self.opening)
                    assert connection not in self.calls.values(), "closed under its call"
                    self.up.pop(connection, None)
                    self.opening.pop(connection, None)
                case FailCall(call, why):
                    self.waiting.remove(call)
                    self.denied[call] = why
                case LogLine(text):
                    self.said.append(text)

    def place(self, server: str = "h", where: object = 1, group: object = 0) -> None:
        self.do(self.pools.set_host(server, where, group, self.now))

    def want(self, server: str = "h", unsafe: bool = False, most_idle: int | None = None) -> int:
        self.number += 1
        self.waiting.add(self.number)
        self.do(self.pools.acquire(self.number, server, unsafe, most_idle, self.now))
        return self.number

    def come_up(self, took: int = 20 * MS) -> None:
        """All that are opening come up."""
        self.pass_time(took)
        for connection in list(self.opening):
            if connection in self.opening:
                self.up[connection] = self.opening.pop(connection)
                self.do(self.pools.connected(connection, self.now))

    def fail_opening(self, why: ConnectFailure = ConnectFailure.REFUSED) -> None:
        for connection in list(self.opening):
            if connection in self.opening:
                del self.opening[connection]
                self.do(self.pools.connect_failed(connection, why, self.now))

    def answer(self, call: int, reusable: bool = True, took: int | None = None) -> int:
        connection = self.calls.pop(call)
        self.do(self.pools.response_received(connection, reusable, self.now, took))
        return connection

    def break_off(self, call: int, dead: bool = True) -> None:
        connection = self.calls.pop(call)
        del self.up[connection]
        self.do(self.pools.connection_lost(connection, dead, self.now))

    def peer_closes(self, connection: int) -> None:
        del self.up[connection]
        self.do(self.pools.closed_by_peer(connection, self.now))

    def pass_time(self, time: int) -> None:
        """Rings whatever is due on the way."""
        ends = self.now + time
        while (due := self.pools.next_timer_at) is not None and due <= ends:
            self.now = max(self.now, due)
            self.do(self.pools.run_timers(self.now))
        self.now = ends

    def serve(self, server: str = "h", unsafe: bool = False, time: int = 100 * MS) -> int:
        """One whole call; gives the connection that it travelled on."""
        call = self.want(server, unsafe)
        if call in self.waiting:
            self.come_up()
        connection = self.calls[call]
        self.pass_time(self.after[call] + time)
        self.answer(call, took=time)
        return connection
