"""Decision of the store about the admission of a message."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.store.state_machine import MessageIdStatus

# HTTP status of the response to a submission, by the status of its message id; 0: the message is new.
HTTP_STATUSES = {
    MessageIdStatus.NEW: 0,
    MessageIdStatus.IN_PROGRESS: 202,
    MessageIdStatus.DELIVERED: 200,
    MessageIdStatus.FAILED: 500,
    MessageIdStatus.REJECTED: 503,
}


@dataclass(slots=True)
class AdmissionDecision:
    """Result of an admission to the store.

    Attributes:
        id_status: NEW if the message is stored, or if `retry_after_ms` is set.
        retry_after_ms: Rejected: when the client may submit the message again; 0: not rejected by the store.
    """

    id_status: MessageIdStatus = MessageIdStatus.NEW
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        """HTTP status of the response if the id is known; 0 if it is new."""
        return HTTP_STATUSES[self.id_status]
