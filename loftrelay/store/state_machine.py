"""State machine of a record in the store of record: valid transitions, commits required before each step.

A record changes by numbered changes. A store applies change n only to a record whose last change is n - 1, so
applying a change again is harmless, and an uncertain commit is resolved by reading the record back
(`resolve_commit`). This module does no I/O.

Times are wall-clock microseconds since 1970 UTC.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from loftrelay.relay.ports import RecoveryAction


class RecordRuleError(Exception):
    """A change is not valid in the current state of its record, which is a bug. It is not stored."""


class RecordState(Enum):
    """State of a record. The values are those of the column `state`."""

    ADMITTED = "taken"  # no attempt has been started
    IN_FLIGHT = "out"  # an attempt has been started, and the message may have run
    WAITING = "waiting"  # the last attempt has ended; another may follow
    DECIDED = "ended"  # the final status is decided and not yet reported
    REPORTED = "told"  # the final status has been reported


class StoredFinalStatus(Enum):
    """Final status of a message. The values are those of the column `answer`."""

    DELIVERED = "delivered"
    REJECTED = "refused"  # submitting the message again is safe
    FAILED = "failed"  # whether the message ran, and whether submitting it again is safe, is unknown


class ChangeKind(Enum):
    """Kind of a change. The values are part of the names of the fault points."""

    ADMIT = "take"
    BEGIN_ATTEMPT = "intend"
    END_ATTEMPT = "outcome"
    DECIDE = "end"
    REPORT = "told"
    DISPUTE = "dispute"  # a recorded delivery is doubtful: the message has failed, which is to be reported


class DurabilityMode(Enum):
    """When changes of a message class are committed. The values are those of the settings file."""

    WRITE_AHEAD = "required"  # before the step that the change records
    WRITE_BEHIND = "follows"  # after the step; until then the journal protects the message


STATES_BEFORE: Mapping[ChangeKind, tuple[RecordState, ...]] = {
    ChangeKind.BEGIN_ATTEMPT: (RecordState.ADMITTED, RecordState.WAITING),
    ChangeKind.END_ATTEMPT: (RecordState.IN_FLIGHT,),
    ChangeKind.DECIDE: (RecordState.ADMITTED, RecordState.IN_FLIGHT, RecordState.WAITING),
    ChangeKind.REPORT: (RecordState.DECIDED,),
    ChangeKind.DISPUTE: (RecordState.DECIDED, RecordState.REPORTED),
}
STATE_AFTER: Mapping[ChangeKind, RecordState] = {
    ChangeKind.ADMIT: RecordState.ADMITTED,
    ChangeKind.BEGIN_ATTEMPT: RecordState.IN_FLIGHT,
    ChangeKind.END_ATTEMPT: RecordState.WAITING,
    ChangeKind.DECIDE: RecordState.DECIDED,
    ChangeKind.REPORT: RecordState.REPORTED,
    ChangeKind.DISPUTE: RecordState.DECIDED,
}
DISPUTED_RESULT = "DISPUTED"  # result of the last attempt of a message whose delivery is doubtful


@dataclass(frozen=True, slots=True)
class MessageMetadata:
    """Properties of a message, fixed at its admission. `record export` prints the field names."""

    instance: str
    class_name: str
    tenant: str | None
    destination: int
    key: str | None
    deadline: int
    sha256: str  # of the body, hexadecimal


@dataclass(frozen=True, slots=True)
class Change:
    """One change of one record.

    Attributes:
        message_id: Id of the message.
        admission_number: Counts the admissions of this id, from 1: a rejected id can be admitted again. It is
            the column `run`.
        change_number: Number of this change within the admission, from 1.
        kind: What the change records.
        at: Time of the change.
        metadata: Only for ADMIT.
        host: Only for BEGIN_ATTEMPT.
        result: For END_ATTEMPT, and for DECIDE while an attempt is in flight.
        final_status: Only for DECIDE.
    """

    message_id: str
    admission_number: int
    change_number: int
    kind: ChangeKind
    at: int
    metadata: MessageMetadata | None = None
    host: str | None = None
    result: str | None = None
    final_status: StoredFinalStatus | None = None


@dataclass(frozen=True, slots=True)
class MessageRecord:
    """Record of one message."""

    message_id: str
    admission_number: int
    metadata: MessageMetadata
    change_number: int  # of the last change applied
    state: RecordState
    admitted_at: int
    attempts: int = 0
    host: str | None = None  # of the last attempt
    attempt_started_at: int | None = None
    result: str | None = None  # of the last attempt
    result_at: int | None = None
    final_status: StoredFinalStatus | None = None
    decided_at: int | None = None
    reported_at: int | None = None


def apply(record: MessageRecord | None, change: Change) -> MessageRecord:
    """Returns the record after a change; `record` is None if the store has none.

    Raises:
        RecordRuleError: The change is not valid in the current state of the record.
    """
    if change.kind is ChangeKind.ADMIT:
        return _admit(record, change)
    if record is None:
        raise RecordRuleError(
            f"{change.message_id}: change {change.kind.value!r} of a message without a record"
        )
    _check_order(record, change)
    return _advance(record, change)


def _admit(record: MessageRecord | None, change: Change) -> MessageRecord:
    if change.metadata is None or change.change_number != 1:
        raise RecordRuleError(
            f"{change.message_id}: change {change.change_number} admits the message: it must be change 1 "
            "and have its metadata"
        )
    if record is not None and not (
        record.state is RecordState.REPORTED and change.admission_number == record.admission_number + 1
    ):
        raise RecordRuleError(
            f"{change.message_id}: admission {change.admission_number} while admission "
            f"{record.admission_number} is in state {record.state.value!r}"
        )
    if record is None and change.admission_number != 1:
        raise RecordRuleError(
            f"{change.message_id}: admission {change.admission_number} of an id without a record, must be 1"
        )
    return MessageRecord(
        change.message_id, change.admission_number, change.metadata, 1, RecordState.ADMITTED, change.at
    )


def _check_order(record: MessageRecord, change: Change) -> None:
    found = (change.admission_number, change.change_number)
    expected = (record.admission_number, record.change_number + 1)
    if found != expected:
        raise RecordRuleError(
            f"{change.message_id}: change {change.change_number} of admission {change.admission_number} "
            f"after change {record.change_number} of admission {record.admission_number}"
        )
    if record.state not in STATES_BEFORE[change.kind]:
        raise RecordRuleError(
            f"{change.message_id}: change {change.kind.value!r} in state {record.state.value!r}"
        )
    if change.kind is ChangeKind.DECIDE and change.final_status is None:
        raise RecordRuleError(f"{change.message_id}: change {change.kind.value!r} without a final status")
    if change.kind is ChangeKind.DISPUTE and record.final_status is not StoredFinalStatus.DELIVERED:
        raise RecordRuleError(f"{change.message_id}: a dispute of a message that is not delivered")
    if change.final_status is StoredFinalStatus.DELIVERED and record.state is not RecordState.IN_FLIGHT:
        raise RecordRuleError(f"{change.message_id}: delivered without an attempt in flight")


def _advance(record: MessageRecord, change: Change) -> MessageRecord:
    attempts, host, started_at = record.attempts, record.host, record.attempt_started_at
    result, result_at = record.result, record.result_at
    final_status, decided_at, reported_at = record.final_status, record.decided_at, record.reported_at
    if change.kind is ChangeKind.BEGIN_ATTEMPT:
        attempts, host, started_at = attempts + 1, change.host, change.at
        result, result_at = None, None
    elif record.state is RecordState.IN_FLIGHT:
        result, result_at = change.result, change.at
    if change.kind is ChangeKind.DECIDE:
        final_status, decided_at = change.final_status, change.at
    elif change.kind is ChangeKind.REPORT:
        reported_at = change.at
    elif change.kind is ChangeKind.DISPUTE:
        result, result_at = DISPUTED_RESULT, change.at
        final_status, decided_at, reported_at = StoredFinalStatus.FAILED, change.at, None
    # Constructed field by field: dataclasses.replace would take a large part of the time of a commit.
    return MessageRecord(
        record.message_id,
        record.admission_number,
        record.metadata,
        change.change_number,
        STATE_AFTER[change.kind],
        record.admitted_at,
        attempts,
        host,
        started_at,
        result,
        result_at,
        final_status,
        decided_at,
        reported_at,
    )


def is_id_reusable(record: MessageRecord) -> bool:
    """Returns whether an id can be admitted again, which only a reported rejection allows."""
    return record.state is RecordState.REPORTED and record.final_status is StoredFinalStatus.REJECTED


# Commits required before a step


class RelayStep(Enum):
    """Step of a relay that may require a commit."""

    ACCEPT = "answer the client that the message is admitted"
    SEND = "send the first byte of an attempt"
    REPORT = "report the final status"


def required_change(step: RelayStep, mode: DurabilityMode) -> ChangeKind | None:
    """Returns the kind of change to commit before a step; None if the journal is enough."""
    if mode is DurabilityMode.WRITE_BEHIND:
        return None
    return {
        RelayStep.ACCEPT: ChangeKind.ADMIT,
        RelayStep.SEND: ChangeKind.BEGIN_ATTEMPT,
        RelayStep.REPORT: ChangeKind.DECIDE,
    }[step]


# Uncertain commits


class CommitStatus(Enum):
    """Result of reading back a change whose commit is uncertain."""

    APPLIED = "applied"  # the change is stored
    MISSING = "missing"  # the change must be stored again
    ID_IN_USE = "id in use"  # the id belongs to another admission, of this or another instance
    CONFLICT = "conflict"  # the change can't follow the stored record


def resolve_commit(change: Change, record: MessageRecord | None) -> CommitStatus:
    """Returns whether a change was stored, given the record read back (None: there is none)."""
    if record is None:
        return (
            CommitStatus.MISSING
            if change.kind is ChangeKind.ADMIT and change.admission_number == 1
            else CommitStatus.CONFLICT
        )
    if change.kind is ChangeKind.ADMIT:
        if record.admission_number == change.admission_number:
            mine = (
                change.metadata is not None
                and record.metadata == change.metadata
                and record.admitted_at == change.at
            )
            return CommitStatus.APPLIED if mine else CommitStatus.ID_IN_USE
        after = (
            record.admission_number == change.admission_number - 1 and record.state is RecordState.REPORTED
        )
        return CommitStatus.MISSING if after else CommitStatus.ID_IN_USE
    if record.admission_number != change.admission_number:
        return CommitStatus.CONFLICT
    if record.change_number >= change.change_number:
        return CommitStatus.APPLIED
    return CommitStatus.MISSING if record.change_number == change.change_number - 1 else CommitStatus.CONFLICT


# Ids that are submitted again


class MessageIdStatus(Enum):
    """Status of a submitted message id, according to its record."""

    NEW = "new"  # it can be admitted
    IN_PROGRESS = "in progress"  # admitted by this or another instance: not admitted again
    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "refused"  # rejected, not yet reported: the id can be admitted again after the report


def message_id_status(record: MessageRecord | None, now: int, retention_us: int) -> MessageIdStatus:
    """Returns the status of a submitted message id.

    Args:
        record: The record of the id, or None.
        now: Wall clock, in microseconds.
        retention_us: How long after the decision an id keeps its final status; it keeps it until the deadline
            of the message at least.
    """
    if record is None or is_id_reusable(record):
        return MessageIdStatus.NEW
    if record.final_status is None:
        return MessageIdStatus.IN_PROGRESS
    if record.final_status is StoredFinalStatus.REJECTED:
        return MessageIdStatus.REJECTED
    if record.decided_at is not None and now > max(
        record.decided_at + retention_us, record.metadata.deadline
    ):
        return MessageIdStatus.NEW
    return (
        MessageIdStatus.DELIVERED
        if record.final_status is StoredFinalStatus.DELIVERED
        else MessageIdStatus.FAILED
    )


# Recovery after a restart: the journal compared with the store


class JournalState(Enum):
    """State of a message in the journal at a start. The values are descriptions."""

    ABSENT = "not in the journal"
    AWAITING_STORE = "not attempted, its client was promised nothing: the store had not confirmed it"
    ADMITTED = "admitted, never attempted"
    IN_FLIGHT = "an attempt was in flight when the process ended"
    NOT_EXECUTED = "attempted, and has not run"
    MAY_HAVE_RUN = "attempted, and may have run"
    DELIVERED = "delivered"
    DECIDED = "final status decided, not yet reported"


def reconcile(
    journal_state: JournalState, record: MessageRecord | None, is_at_most_once: bool
) -> RecoveryAction:
    """Returns what a start does with a message.

    What its client was promised is known from the journal alone: the process that admitted it may have had
    another store, none, or other settings. An at-most-once message that may have run is not sent again
    because the store has lost its record.

    Args:
        journal_state: State of the message in the journal.
        record: Its record in the store, or None.
        is_at_most_once: Whether the message must not run twice.
    """
    if journal_state is JournalState.ABSENT:
        return _reconcile_record(record)
    if record is None:
        return _reconcile_journal(journal_state, is_at_most_once)
    if record.final_status is StoredFinalStatus.DELIVERED and journal_state is JournalState.DECIDED:
        return RecoveryAction.UPDATE_STORE  # its delivery was disputed
    if record.state is RecordState.REPORTED:
        return RecoveryAction.COMPLETE  # reported; the journal entry was not completed yet
    if record.state is RecordState.DECIDED:
        return (
            RecoveryAction.UPDATE_STORE
            if record.final_status is StoredFinalStatus.DELIVERED
            else RecoveryAction.REPORT_AGAIN
        )
    if journal_state in (JournalState.DELIVERED, JournalState.DECIDED):
        return RecoveryAction.UPDATE_STORE
    may_have_run = (
        journal_state in (JournalState.IN_FLIGHT, JournalState.MAY_HAVE_RUN)
        or record.state is RecordState.IN_FLIGHT
    )
    return RecoveryAction.FAIL if is_at_most_once and may_have_run else RecoveryAction.RESUME


def _reconcile_record(record: MessageRecord | None) -> RecoveryAction:
    """Returns what a start does with a message that the journal does not have."""
    if record is None or record.state is RecordState.REPORTED:
        return RecoveryAction.COMPLETE
    if record.state is not RecordState.DECIDED:
        return RecoveryAction.FAIL  # the journal is lost, so it is unknown whether the message ran
    return (
        RecoveryAction.UPDATE_STORE
        if record.final_status is StoredFinalStatus.DELIVERED
        else RecoveryAction.REPORT_AGAIN
    )


def _reconcile_journal(journal_state: JournalState, is_at_most_once: bool) -> RecoveryAction:
    """Returns what a start does with a message that the store does not have."""
    if journal_state is JournalState.AWAITING_STORE:
        return RecoveryAction.DISCARD
    if is_at_most_once and journal_state in (JournalState.IN_FLIGHT, JournalState.MAY_HAVE_RUN):
        return RecoveryAction.FAIL
    return (
        RecoveryAction.UPDATE_STORE
        if journal_state in (JournalState.DELIVERED, JournalState.DECIDED)
        else RecoveryAction.RESUME
    )
