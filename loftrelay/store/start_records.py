"""Records that a store holds at the start of a relay, and what the journal holds beside them."""

from __future__ import annotations

from collections.abc import Sequence

from loftrelay.relay.message import Message
from loftrelay.store.backend import RecordQuery, StoreBackend
from loftrelay.store.state_machine import JournalState, MessageRecord, StoredFinalStatus


def read_start_records(
    store: StoreBackend, instance: str, message_ids: Sequence[str]
) -> dict[str, MessageRecord]:
    """Returns the records of these message ids, and all unfinished records of an instance.

    Raises:
        StoreError: The store can't be read.
    """
    unfinished = store.select(RecordQuery(unfinished=True))
    own = {record.message_id: record for record in unfinished if record.metadata.instance == instance}
    return own | store.read(message_ids)


def journal_state(message: Message | None) -> JournalState:
    """Returns the state of a message in the journal at a start; None: the journal does not have it."""
    if message is None:
        return JournalState.ABSENT
    if message.final_status is not None:
        is_delivered = message.final_status["status"] == "delivered"
        return JournalState.DELIVERED if is_delivered else JournalState.DECIDED
    if message.attempt_started_at is not None:
        return JournalState.IN_FLIGHT
    if message.first_uncertain_attempt_at is not None:
        return JournalState.MAY_HAVE_RUN
    if message.attempts:
        return JournalState.NOT_EXECUTED
    return JournalState.AWAITING_STORE if message.awaits_store else JournalState.ADMITTED


def is_admission_of(record: MessageRecord | None, message: Message, instance: str) -> bool:
    """Returns whether a record is that of the very admission that an instance has in its journal."""
    if record is None:
        return False
    return record.metadata.instance == instance and record.admitted_at == message.admitted_at


def is_delivered_elsewhere(record: MessageRecord, instance: str) -> bool:
    """Returns whether another instance has delivered the message, under the id of one that failed here."""
    is_delivered = record.final_status is StoredFinalStatus.DELIVERED
    return is_delivered and record.metadata.instance != instance
