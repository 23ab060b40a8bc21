"""HTTP statuses of responses to clients, and the names of final statuses in records."""

from __future__ import annotations

from typing import Any

ACCEPTED = 202
REJECTED = 503
FAILED = 500
DELIVERED = 200  # response to an id that is submitted again after its delivery

STATUS_DELIVERED = "delivered"
STATUS_REJECTED = "deferred"
STATUS_FAILED = "undeliverable"
STORED_DELIVERED = "delivered"
STORED_REJECTED = "refused"
STORED_FAILED = "failed"

FinalStatusRecord = dict[str, Any]  # as in the journal and in reports to the platform
# Only in the journal: the client or the platform has the final status, and the store may not have it.
REPORTED_FIELD = "told"


def final_status_record(status: int, retry_after_ms: int) -> FinalStatusRecord:
    """Returns the record of a failed or rejected message.

    Args:
        status: FAILED or REJECTED.
        retry_after_ms: delay before the client may submit it again, in milliseconds; 0 for none.
    """
    record: FinalStatusRecord = {"status": STATUS_FAILED if status == FAILED else STATUS_REJECTED}
    if retry_after_ms:
        record["again_ms"] = retry_after_ms
    return record


def as_reported(final_status: FinalStatusRecord) -> FinalStatusRecord:
    """Returns the record of a final status that the client or the platform has received."""
    return {**final_status, REPORTED_FIELD: True}


def is_reported(final_status: FinalStatusRecord) -> bool:
    """Returns whether the client or the platform has received a final status, according to its record."""
    return REPORTED_FIELD in final_status


def final_status_from_stored(stored_status: str | None) -> FinalStatusRecord:
    """Returns the final status to report for a stored status; failed if the store has none."""
    return {"status": STATUS_REJECTED if stored_status == STORED_REJECTED else STATUS_FAILED}


def stored_status_of(final_status: FinalStatusRecord) -> str:
    """Returns the name under which the store keeps a final status that is reported to the platform."""
    return STORED_FAILED if final_status["status"] == STATUS_FAILED else STORED_REJECTED
