"""Actions that the decisions return, in the order in which they are to be carried out.

All times and durations are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SendAttempt:
    message_id: str
    endpoint: str
    timeout: int
    max_connection_idle: int | None = (
        None  # no connection that has stood idle for so long carries it; None: any may
    )
    send_within: int | None = None  # its last byte goes out within so long, or none does; None: no bound


@dataclass(slots=True, frozen=True)
class RejectMessage:
    """End undelivered; promises the client that coming again does no harm."""

    message_id: str
    retry_after: int


@dataclass(slots=True, frozen=True)
class FailMessage:
    """End as failed; promises nothing."""

    message_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    message_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SendProbe:
    endpoint: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close this instance's idle connections to an endpoint, so that the next call opens a new one."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Ask for the changes of the list from now on."""


@dataclass(slots=True, frozen=True)
class WriteLog:
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
