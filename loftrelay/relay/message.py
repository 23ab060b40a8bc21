"""Messages of the journal: open ones, and the remembered results of completed ones."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class CompletedMessage:
    """The result of a completed message: the response when its id is submitted again."""

    status: int  # HTTP status
    expires_at: int  # wall-clock microseconds


@dataclass(slots=True)
class Message:
    """An open message. Times are in wall-clock microseconds.

    The journal maps the fields to their names in stored records.
    """

    id: str
    sequence: int  # position in the order of admission
    class_name: str
    tenant: str | None
    destination: int
    ordering_key: str | None
    admitted_at: int
    deadline: int
    body: bytes = b""
    attempts: int = 0
    attempt_started_at: int | None = None  # start of the attempt whose result is not known yet
    attempt_host: str | None = None
    first_uncertain_attempt_at: int | None = None  # start of the first attempt that may have run
    first_uncertain_attempt_host: str | None = None
    final_status: dict[str, Any] | None = None  # set until the platform has acknowledged it
    packed_terms: Sequence[Any] | None = None  # see message_terms; None: admitted by an older version
    idempotency_key: str | None = None  # the host uses it to drop duplicates; forwarded unchanged
    # Its client gets no response before the store of record has the message. False once the store has it, and
    # for a message that its process admitted on the journal alone.
    awaits_store: bool = False
