"""One message that the relay has taken on and that is not over."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class CompletedMessage:
    """How a message ended that is over: its id gets this answer when it is handed in once more."""

    status: int
    expires_at: int  # wall-clock microseconds


@dataclass(slots=True)
class Message:
    """One message that is not over. Times are wall-clock microseconds."""

    id: str
    sequence: int  # its place in the order in which messages were taken on
    class_name: str
    tenant: str | None
    destination: int
    ordering_key: str | None
    admitted_at: int
    deadline: int
    body: bytes = b""
    attempts: int = 0
    attempt_started_at: int | None = None  # an attempt whose outcome is not known, and where
    attempt_host: str | None = None
    first_attempt_at: int | None = None  # the first attempt that may have run, and where
    first_attempt_host: str | None = None
    final_status: dict[str, Any] | None = None  # its end, until the platform has heard it
    packed_terms: Sequence[Any] | None = (
        None  # taken on under (core/terms.py); None: an older program took it on
    )
    idempotency_key: str | None = None  # by which its host drops repeats; goes on unchanged
