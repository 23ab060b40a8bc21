"""What the connection pool asks its owner to do, in order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class ConnectFailure(Enum):
    """Why a connect failed."""

    REFUSED = auto()  # refused, reset or unreachable
    SILENT = auto()  # timed out
    DESCRIPTORS = auto()  # EMFILE or ENFILE on this machine: says nothing of the host


class PoolErrorKind(Enum):
    """Why a call gets no connection. In no case has it run."""

    NO_CONNECTION = auto()  # the host cannot be reached
    NO_ROOM = auto()  # no descriptor left to open a connection with
    GONE = auto()  # the host is unknown or was removed


@dataclass(frozen=True, slots=True)
class UseConnection:
    """The call is sent on this connection, `delay` microseconds from now.

    `idle` is the connection's idle time by then, in microseconds; 0: it has carried nothing.
    """

    call: int
    connection: int
    delay: int
    idle: int


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Connect to the host."""

    host: str
    connection: int


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, or cancel its connect."""

    connection: int


@dataclass(frozen=True, slots=True)
class FailCall:
    """The call gets no connection."""

    call: int
    kind: PoolErrorKind


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the operator."""

    text: str


Action = UseConnection | OpenConnection | CloseConnection | FailCall | LogLine
