"""Pooled connection and its state machine.

OPENING --CONNECTED--> IDLE --LEASED--> BUSY --RELEASED--> IDLE
any of these --CLOSED--> CLOSED
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loftrelay.delivery.connection_pool.host import HostPool


class ConnectionState(IntEnum):  # hashed at each transition: the hash of an IntEnum is in C
    """States in the life cycle of a connection."""

    OPENING = auto()
    IDLE = auto()
    BUSY = auto()  # leased to a call
    CLOSED = auto()


class ConnectionEvent(IntEnum):
    """Events that move a connection from one state to another."""

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
    """An event is not allowed in the state of the connection, which is a bug."""

    def __init__(self, number: int, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"event {event.name} is not allowed for connection {number} in state {state.name}")
        self.number, self.state, self.event = number, state, event


@dataclass(slots=True, eq=False)
class PooledConnection:
    """One connection to a host. Times are microseconds on the clock of the pool."""

    number: int
    host: HostPool
    address_version: int
    connect_started_at: int
    state: ConnectionState = ConnectionState.OPENING
    connected_at: int = 0
    idle_since: int = 0
    idle_before_call: int = 0  # idle time when the current call was given it
    calls_carried: int = 0
    limit_factor: float = 1.0  # fraction of the idle and age limits at which it is closed
    has_expiry_timer: bool = False

    def next_state(self, event: ConnectionEvent) -> ConnectionState:
        """Returns the state after `event`.

        Raises:
            ConnectionStateError: The current state does not allow the event.
        """
        try:
            return TRANSITIONS[self.state, event]
        except KeyError:
            raise ConnectionStateError(self.number, self.state, event) from None

    def idle_time(self, now: int) -> int:
        """Returns the idle time in microseconds: until now, or until the current call was given it."""
        if self.state is ConnectionState.BUSY:
            return self.idle_before_call
        return now - self.idle_since
