"""The state machine of a record in the store of record: its transitions, and what has to be stored first.

A record grows by numbered changes. A store applies change n only to a record at n - 1, so storing a change
once more is harmless, and a commit with an unknown outcome is resolved by reading back (`resolve_commit`). No
input or output.

Times are wall-clock microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from loftrelay.relay.ports import RecoveryAction


class RecordRuleError(Exception):
    """A change that may not follow what is recorded: a fault of the program. Nothing of it is stored."""


class RecordState(Enum):
    """Where a record stands. Values are the words in the store."""

    ADMITTED = "taken"  # no attempt was made yet
    IN_FLIGHT = "out"  # an attempt was begun, and may have run
    WAITING = "waiting"  # no attempt is in flight; more may follow
    DECIDED = "ended"  # its end is decided
    REPORTED = "told"  # whoever waits for the end has it


class StoredFinalStatus(Enum):
    """How a message ended. Values are the words in the store."""

    DELIVERED = "delivered"
    REJECTED = "refused"  # promises that submitting it again does no harm
    FAILED = "failed"  # promises nothing


class ChangeKind(Enum):
    """What a change records. Values are the names of the fault points."""

    ADMIT = "take"
    BEGIN_ATTEMPT = "intend"
    END_ATTEMPT = "outcome"
    DECIDE = "end"
    REPORT = "told"


class DurabilityMode(Enum):
    """How a message class is recorded. Values are the words in the settings."""

    WRITE_AHEAD = "required"  # nothing happens before the store has it
    WRITE_BEHIND = "follows"  # the journal is relied on; the store follows


STATES_BEFORE: Mapping[ChangeKind, tuple[RecordState, ...]] = {
    ChangeKind.BEGIN_ATTEMPT: (RecordState.ADMITTED, RecordState.WAITING),
    ChangeKind.END_ATTEMPT: (RecordState.IN_FLIGHT,),
    ChangeKind.DECIDE: (RecordState.ADMITTED, RecordState.IN_FLIGHT, RecordState.WAITING),
    ChangeKind.REPORT: (RecordState.DECIDED,),
}
STATE_AFTER: Mapping[ChangeKind, RecordState] = {
    ChangeKind.ADMIT: RecordState.ADMITTED,
    ChangeKind.BEGIN_ATTEMPT: RecordState.IN_FLIGHT,
    ChangeKind.END_ATTEMPT: RecordState.WAITING,
    ChangeKind.DECIDE: RecordState.DECIDED,
    ChangeKind.REPORT: RecordState.REPORTED,
}


@dataclass(frozen=True, slots=True)
class MessageMetadata:
    """What a message is, as it was admitted."""

    instance: str
    class_name: str
    tenant: str | None
    destination: int
    key: str | None
    deadline: int
    sha256: str  # of the body, in hex


@dataclass(frozen=True, slots=True)
class Change:
    """One change of one record. `run` counts the admissions of its id, reusable after a rejection."""

    message_id: str
    admission_number: int
    change_number: int  # of this change, from 1
    kind: ChangeKind
    at: int
    metadata: MessageMetadata | None = None  # of ADMIT
    host: str | None = None  # of BEGIN_ATTEMPT
    result: str | None = None  # of END_ATTEMPT, and of DECIDE while an attempt is in flight
    final_status: StoredFinalStatus | None = None  # of DECIDE


@dataclass(frozen=True, slots=True)
class MessageRecord:
    """The record of one message."""

    message_id: str
    admission_number: int
    metadata: MessageMetadata
    change_number: int  # of the last change that is stored
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
    """Returns the record after a change.

    Raises:
        RecordRuleError: the change may not follow what is recorded.
    """
    if change.kind is ChangeKind.ADMIT:
        return _admit(record, change)
    if record is None:
        raise RecordRuleError(f"{change.message_id}: {change.kind.value} of a message that was not admitted")
    _check_order(record, change)
    return _advance(record, change)


def _admit(record: MessageRecord | None, change: Change) -> MessageRecord:
    if change.metadata is None or change.change_number != 1:
        raise RecordRuleError(f"{change.message_id}: the first change describes the message")
    if record is not None and not (
        record.state is RecordState.REPORTED and change.admission_number == record.admission_number + 1
    ):
        raise RecordRuleError(f"{change.message_id}: admitted while its record is {record.state.value}")
    if record is None and change.admission_number != 1:
        raise RecordRuleError(
            f"{change.message_id}: admission {change.admission_number} of an id that has no record"
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
        raise RecordRuleError(f"{change.message_id}: {change.kind.value} after {record.state.value}")
    if change.kind is ChangeKind.DECIDE and change.final_status is None:
        raise RecordRuleError(f"{change.message_id}: an end without an answer")
    if change.final_status is StoredFinalStatus.DELIVERED and record.state is not RecordState.IN_FLIGHT:
        raise RecordRuleError(f"{change.message_id}: delivered without an attempt in flight")


def _advance(record: MessageRecord, change: Change) -> MessageRecord:
    attempts, host, started_at = record.attempts, record.host, record.attempt_started_at
    result, result_at = record.result, record.result_at
    answer, decided_at, reported_at = record.final_status, record.decided_at, record.reported_at
    if change.kind is ChangeKind.BEGIN_ATTEMPT:
        attempts, host, started_at = attempts + 1, change.host, change.at
        result, result_at = None, None
    elif record.state is RecordState.IN_FLIGHT:
        result, result_at = change.result, change.at
    if change.kind is ChangeKind.DECIDE:
        answer, decided_at = change.final_status, change.at
    elif change.kind is ChangeKind.REPORT:
        reported_at = change.at
    # Field by field: dataclasses.replace would take much of the time of a commit.
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
        answer,
        decided_at,
        reported_at,
    )


def is_id_reusable(entry: MessageRecord) -> bool:
    """Returns whether an id can be used again: only a reported rejection has promised that."""
    return entry.state is RecordState.REPORTED and entry.final_status is StoredFinalStatus.REJECTED


# What has to be stored before a step


class Step(Enum):
    """What a relay is about to do."""

    ACCEPT = "answer the client that it is admitted"
    SEND = "send the first byte of an attempt"
    REPORT = "report the end"


def required_before(step: Step, mode: DurabilityMode) -> ChangeKind | None:
    """Returns the change that has to be committed before a step; None where the journal is relied on."""
    if mode is DurabilityMode.WRITE_BEHIND:
        return None
    return {
        Step.ACCEPT: ChangeKind.ADMIT,
        Step.SEND: ChangeKind.BEGIN_ATTEMPT,
        Step.REPORT: ChangeKind.DECIDE,
    }[step]


# Commits with an unknown outcome


class CommitStatus(Enum):
    """What reading back shows of a change whose commit has an unknown outcome."""

    APPLIED = "applied"  # it is stored
    MISSING = "missing"  # it has to be stored again
    ID_IN_USE = "taken elsewhere"  # another instance has the id
    CONFLICT = "conflict"  # this change can't have been the next one


def resolve_commit(change: Change, seen: MessageRecord | None) -> CommitStatus:
    """Returns what became of a change, by what the store holds now."""
    if seen is None:
        return (
            CommitStatus.MISSING
            if change.kind is ChangeKind.ADMIT and change.admission_number == 1
            else CommitStatus.CONFLICT
        )
    if change.kind is ChangeKind.ADMIT:
        if seen.admission_number == change.admission_number:
            mine = (
                change.metadata is not None
                and seen.metadata == change.metadata
                and seen.admitted_at == change.at
            )
            return CommitStatus.APPLIED if mine else CommitStatus.ID_IN_USE
        after = seen.admission_number == change.admission_number - 1 and seen.state is RecordState.REPORTED
        return CommitStatus.MISSING if after else CommitStatus.ID_IN_USE
    if seen.admission_number != change.admission_number:
        return CommitStatus.CONFLICT
    if seen.change_number >= change.change_number:
        return CommitStatus.APPLIED
    return CommitStatus.MISSING if seen.change_number == change.change_number - 1 else CommitStatus.CONFLICT


# Ids that are submitted again


class KnownId(Enum):
    """What is answered to a submitted id, by what the store has of it."""

    NEW = "new"
    IN_PROGRESS = "in progress"  # admitted, here or at another instance: not begun again
    DELIVERED = "delivered"
    FAILED = "failed"
    REJECTED = "refused"  # not reported yet: the id can be used again once it is


def status_of_id(entry: MessageRecord | None, now: int, memory: int) -> KnownId:
    """Returns what is answered to an id.

    Args: entry: its record, if there is one. now: wall clock, in microseconds. memory: microseconds after its
    end for which an id is answered as before; never less than to its deadline.
    """
    if entry is None or is_id_reusable(entry):
        return KnownId.NEW
    if entry.final_status is None:
        return KnownId.IN_PROGRESS
    if entry.final_status is StoredFinalStatus.REJECTED:
        return KnownId.REJECTED
    if entry.decided_at is not None and now > max(entry.decided_at + memory, entry.metadata.deadline):
        return KnownId.NEW
    return KnownId.DELIVERED if entry.final_status is StoredFinalStatus.DELIVERED else KnownId.FAILED


# Recovery: the journal against the store


class JournalStanding(Enum):
    """What the journal has of a message at a start."""

    NOTHING = "nothing"
    ADMITTED = "admitted, never attempted"
    IN_FLIGHT = "an attempt was in flight at the end of the process"
    TRIED = "attempted, and has not run"
    MAY_HAVE_RUN = "attempted, and may have run"
    DELIVERED = "delivered"
    ENDED = "its end is decided and not reported"


def reconcile(
    standing: JournalStanding, seen: MessageRecord | None, is_at_most_once: bool, mode: DurabilityMode
) -> RecoveryAction:
    """Returns what a start does about a message.

    It never claims what the store never saw, and never sends a message again that must not run twice because
    the store has lost it.

    Args:
        standing: what the journal has of it.
        seen: what the store has of it.
        is_at_most_once: whether it must not run twice.
        mode: how its class is recorded.
    """
    if standing is JournalStanding.NOTHING:
        if seen is None or seen.state in (RecordState.REPORTED,):
            return RecoveryAction.COMPLETE
        if seen.state is RecordState.DECIDED:
            return (
                RecoveryAction.REPORT_AGAIN
                if seen.final_status is not StoredFinalStatus.DELIVERED
                else RecoveryAction.UPDATE_STORE
            )
        return RecoveryAction.FAIL  # the journal is lost: nobody knows whether it ran
    if seen is None:
        if mode is DurabilityMode.WRITE_AHEAD and standing is JournalStanding.ADMITTED:
            return RecoveryAction.DISCARD  # never committed, so its client was never told
        if is_at_most_once and standing in (JournalStanding.IN_FLIGHT, JournalStanding.MAY_HAVE_RUN):
            return RecoveryAction.FAIL
        return (
            RecoveryAction.UPDATE_STORE
            if standing in (JournalStanding.DELIVERED, JournalStanding.ENDED)
            else RecoveryAction.RESUME
        )
    if seen.state is RecordState.REPORTED:
        return RecoveryAction.COMPLETE  # reported, and the journal did not have that yet
    if seen.state is RecordState.DECIDED:
        return (
            RecoveryAction.UPDATE_STORE
            if seen.final_status is StoredFinalStatus.DELIVERED
            else RecoveryAction.REPORT_AGAIN
        )
    if standing in (JournalStanding.DELIVERED, JournalStanding.ENDED):
        return RecoveryAction.UPDATE_STORE
    may_have_run = (
        standing in (JournalStanding.IN_FLIGHT, JournalStanding.MAY_HAVE_RUN)
        or seen.state is RecordState.IN_FLIGHT
    )
    return RecoveryAction.FAIL if is_at_most_once and may_have_run else RecoveryAction.RESUME
