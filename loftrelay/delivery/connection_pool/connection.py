"""A connection and its states.

OPENING --CONNECTED--> IDLE --LEASED--> BUSY --RELEASED--> IDLE
any of these --CLOSED--> CLOSED
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loftrelay.delivery.connection_pool.host import HostPool


class ConnectionState(IntEnum):  # hashed at each transition, in C
    """Where a connection is in its life cycle."""

    OPENING = auto()
    IDLE = auto()
    BUSY = auto()  # leased to a call
    CLOSED = auto()


class ConnectionEvent(IntEnum):
    """What moves a connection from one state to another."""

    CONNECTED = auto()
    LEASED = auto()
    RELEASED = auto()
    CLOSED = auto()


TRANSITIONS = {
    (ConnectionState.OPENING, ConnectionEvent.CONNECTED): ConnectionState.IDLE,
    (ConnectionState.IDLE, ConnectionEvent.LEASED): ConnectionState.BUSY,
    (ConnectionState.BUSY, ConnectionEvent.RELEASED): ConnectionState.IDLE,
    (ConnectionState.OPENING, ConnectionEvent.CLOSED): ConnectionState.CLOSED,
    (ConnectionState.IDLE, ConnectionEvent.CLOSED): ConnectionState.CLOSED,
    (ConnectionState.BUSY, ConnectionEvent.CLOSED): ConnectionState.CLOSED,
}


class ConnectionStateError(Exception):
    """An event that a connection's state does not allow: a fault of the program."""

    def __init__(self, number: int, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"connection {number} is {state.name}: {event.name} is not allowed")
        self.number, self.state, self.event = number, state, event


@dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection to a host. Times are microseconds on the pool's clock."""

    number: int
    host: HostPool
    address_version: int
    connect_started_at: int
    state: ConnectionState = ConnectionState.OPENING
    connected_at: int = 0
    idle_since: int = 0
    idle_before_call: int = 0  # idle time when its present call took it
    calls_carried: int = 0
    limit_factor: float = 1.0  # part of the limits at which it is closed
    has_expiry_timer: bool = False

    def next_state(self, event: ConnectionEvent) -> ConnectionState:
        """The state after `event`.

        Raises:
            ConnectionStateError: The present state does not allow the event.
        """
        try:
            return TRANSITIONS[self.state, event]
        except KeyError:
            raise ConnectionStateError(self.number, self.state, event) from None

    def idle_time(self, now: int) -> int:
        """How long it has been idle, or had been when its present call took it."""
        if self.state is ConnectionState.BUSY:
            return self.idle_before_call
        return now - self.idle_since
