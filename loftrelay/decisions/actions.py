"""Actions that the decisions return, in the order in which they are to be carried out.

All times and durations are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Attempt a message at an endpoint. Attempts of one batch to one endpoint may travel in one call."""

    message_id: str
    endpoint: str
    timeout: int
    max_connection_idle: int | None = None  # no connection that was idle for so long may carry it; None: any
    send_within: int | None = None  # its last byte goes out within this time, or none does; None: no limit


@dataclass(slots=True, frozen=True)
class RejectMessage:
    """End a message undelivered, with the promise that sending it again does no harm."""

    message_id: str
    retry_after: int  # 0: none is told


@dataclass(slots=True, frozen=True)
class FailMessage:
    """End a message as failed, without a promise."""

    message_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    message_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SendProbe:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this relay's idle connections to an endpoint, so that the next call opens a new one."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Run a batch with TimerFired after a delay; a later SetTimer replaces it."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Ask discovery for the changes of the endpoint list from now on."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | RejectMessage
    | FailMessage
    | CancelAttempt
    | SendProbe
    | CloseIdleConnections
    | SetTimer
    | WatchEndpointList
    | WriteLog
)
