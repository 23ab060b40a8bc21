"""Messages of the journal: those that are not over, and what is remembered of those that are."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class CompletedMessage:
    """How a message ended: its id gets this answer when it is submitted again."""

    status: int
    expires_at: int  # wall-clock microseconds


@dataclass(slots=True)
class Message:
    """One message that is not over. Times are wall-clock microseconds.

    The names of the fields in stored records are mapped in the journal.
    """

    id: str
    sequence: int  # its place in the order of admission
    class_name: str
    tenant: str | None
    destination: int
    ordering_key: str | None
    admitted_at: int
    deadline: int
    body: bytes = b""
    attempts: int = 0
    attempt_started_at: int | None = None  # an attempt without a known outcome
    attempt_host: str | None = None
    first_attempt_at: int | None = None  # the first attempt that may have run
    first_attempt_host: str | None = None
    final_status: dict[str, Any] | None = None  # until the platform has acknowledged it
    packed_terms: Sequence[Any] | None = None  # see message_terms; None: an older program admitted it
    idempotency_key: str | None = None  # by which its host drops repeats; forwarded unchanged
