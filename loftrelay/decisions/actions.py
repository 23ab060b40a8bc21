"""Actions that the scheduler returns, in the order in which the caller executes them.

All times and durations are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send a message to an endpoint. Attempts of one batch to one endpoint may share one call."""

    message_id: str
    endpoint: str
    timeout: int
    max_connection_idle: int | None = None  # use only connections idle for less than this; None: any
    send_within: int | None = None  # send its last byte within this time, or nothing; None: no limit


@dataclass(slots=True, frozen=True)
class RejectMessage:
    """End a message undelivered; guarantees that the client can safely send it again."""

    message_id: str
    retry_after: int  # 0: the response carries no Retry-After


@dataclass(slots=True, frozen=True)
class FailMessage:
    """End a message as failed; it may or may not have taken effect."""

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
    """Run a batch with TimerFired after a delay. A later SetTimer replaces this one."""

    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Subscribe to changes of the endpoint list in discovery."""


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
