"""Actions that the connection pool returns for its owner to execute in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class ConnectFailure(Enum):
    """Reasons for a failed connect."""

    REFUSED = auto()  # refused, reset or unreachable
    TIMED_OUT = auto()
    NO_DESCRIPTORS = auto()  # a local shortage such as EMFILE or ENFILE: no evidence about the host


class PoolErrorKind(Enum):
    """Reasons why a call gets no connection. The call has not run in any of these cases."""

    NO_CONNECTION = auto()  # the host cannot be reached
    NO_DESCRIPTORS = auto()  # no file descriptor is left to open a connection
    HOST_REMOVED = auto()  # the host is unknown or was removed


@dataclass(frozen=True, slots=True)
class UseConnection:
    """Send the call on this connection, `delay` microseconds from now.

    `idle` is the idle time of the connection by then, in microseconds; 0: it has carried no call.
    """

    call: int
    connection: int
    delay: int
    idle: int


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a connection to the host, under this number."""

    host: str
    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or cancel its connect."""

    connection: int


@dataclass(frozen=True, slots=True)
class FailCall:
    """Fail the call, because it gets no connection."""

    call: int
    kind: PoolErrorKind


@dataclass(frozen=True, slots=True)
class LogLine:
    """Log a line for the operator."""

    text: str


Action = UseConnection | OpenConnection | CloseConnection | FailCall | LogLine
