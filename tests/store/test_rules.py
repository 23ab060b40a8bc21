"""Rules of a record: valid transitions, required commits, uncertain commits and recovery after a crash."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from loftrelay.relay.ports import RecoveryAction
from loftrelay.store.state_machine import (
    DISPUTED_RESULT,
    Change,
    ChangeKind,
    CommitStatus,
    DurabilityMode,
    JournalState,
    MessageIdStatus,
    MessageMetadata,
    MessageRecord,
    RecordRuleError,
    RecordState,
    RelayStep,
    StoredFinalStatus,
    apply,
    message_id_status,
    reconcile,
    required_change,
    resolve_commit,
)

METADATA = MessageMetadata("n1", "order", "acme", 1, "k", 9_000, "00" * 32)
SECOND_US = 1_000_000


def make_change(
    kind: ChangeKind, number: int, admission_number: int = 1, at: int = 0, **fields: object
) -> Change:
    defaults = {"metadata": METADATA} if kind is ChangeKind.ADMIT else {}
    if kind is ChangeKind.DECIDE:
        defaults = {"final_status": StoredFinalStatus.FAILED}  # type: ignore[dict-item]
    return replace(Change("m", admission_number, number, kind, at or 100 * number, **defaults), **fields)  # type: ignore[arg-type]


def make_record(
    *kinds: ChangeKind, final_status: StoredFinalStatus = StoredFinalStatus.FAILED
) -> MessageRecord:
    record: MessageRecord | None = None
    for number, kind in enumerate(kinds, 1):
        fields: dict[str, object] = {"final_status": final_status} if kind is ChangeKind.DECIDE else {}
        record = apply(record, make_change(kind, number, **fields))  # type: ignore[arg-type]
    assert record is not None
    return record


ADMIT, BEGIN, END_ATTEMPT, DECIDE, REPORT = (
    ChangeKind.ADMIT,
    ChangeKind.BEGIN_ATTEMPT,
    ChangeKind.END_ATTEMPT,
    ChangeKind.DECIDE,
    ChangeKind.REPORT,
)
CHANGES_TO_STATE = {
    RecordState.ADMITTED: (ADMIT,),
    RecordState.IN_FLIGHT: (ADMIT, BEGIN),
    RecordState.WAITING: (ADMIT, BEGIN, END_ATTEMPT),
    RecordState.DECIDED: (ADMIT, BEGIN, DECIDE),
    RecordState.REPORTED: (ADMIT, BEGIN, DECIDE, REPORT),
}
VALID_CHANGES = {
    RecordState.ADMITTED: {BEGIN, DECIDE},
    RecordState.IN_FLIGHT: {END_ATTEMPT, DECIDE},
    RecordState.WAITING: {BEGIN, DECIDE},
    RecordState.DECIDED: {REPORT},
    RecordState.REPORTED: set[ChangeKind](),
}


@pytest.mark.parametrize(("state", "kind"), list(itertools.product(RecordState, ChangeKind)))
def test_apply_accepts_only_valid_changes_in_each_state(state: RecordState, kind: ChangeKind) -> None:
    record = make_record(*CHANGES_TO_STATE[state])
    assert record.state is state
    next_change = make_change(kind, 1 if kind is ADMIT else record.change_number + 1)
    if kind in VALID_CHANGES[state]:
        assert apply(record, next_change).change_number == record.change_number + 1
    else:
        with pytest.raises(RecordRuleError):
            apply(record, next_change)


def test_apply_of_all_changes_returns_complete_record() -> None:
    record = make_record(
        ADMIT, BEGIN, END_ATTEMPT, BEGIN, DECIDE, REPORT, final_status=StoredFinalStatus.DELIVERED
    )
    assert record == MessageRecord(
        "m",
        1,
        METADATA,
        6,
        RecordState.REPORTED,
        100,
        attempts=2,
        host=None,
        attempt_started_at=400,
        result=None,
        result_at=500,
        final_status=StoredFinalStatus.DELIVERED,
        decided_at=500,
        reported_at=600,
    )


@pytest.mark.parametrize("kinds", [(ADMIT,), (ADMIT, BEGIN, END_ATTEMPT)])
def test_apply_delivery_without_attempt_in_flight_raises(kinds: tuple[ChangeKind, ...]) -> None:
    record = make_record(*kinds)
    with pytest.raises(RecordRuleError, match="without an attempt"):
        apply(record, make_change(DECIDE, record.change_number + 1, final_status=StoredFinalStatus.DELIVERED))


def test_apply_wrong_number_or_missing_final_status_raises() -> None:
    record = make_record(ADMIT)
    for number in (1, 3):
        with pytest.raises(RecordRuleError):
            apply(record, make_change(BEGIN, number))
    with pytest.raises(RecordRuleError):
        apply(record, make_change(DECIDE, 2, final_status=None))
    with pytest.raises(RecordRuleError):
        apply(None, make_change(BEGIN, 2))
    with pytest.raises(RecordRuleError):
        apply(None, make_change(ADMIT, 1, admission_number=2))


def test_apply_second_admission_before_report_raises() -> None:
    second_admission = make_change(ADMIT, 1, admission_number=2)
    rejected = make_record(ADMIT, DECIDE, REPORT, final_status=StoredFinalStatus.REJECTED)
    assert apply(rejected, second_admission).admission_number == 2
    for kinds in (CHANGES_TO_STATE[state] for state in RecordState if state is not RecordState.REPORTED):
        with pytest.raises(RecordRuleError):
            apply(make_record(*kinds), second_admission)
    with pytest.raises(RecordRuleError):
        apply(make_record(*CHANGES_TO_STATE[RecordState.REPORTED]), make_change(ADMIT, 1, admission_number=3))


def test_required_change_for_each_step_and_mode() -> None:
    assert [required_change(step, DurabilityMode.WRITE_AHEAD) for step in RelayStep] == [ADMIT, BEGIN, DECIDE]
    assert [required_change(step, DurabilityMode.WRITE_BEHIND) for step in RelayStep] == [None, None, None]


@pytest.mark.parametrize("kinds", CHANGES_TO_STATE.values())
def test_resolve_commit_tells_stored_from_missing_change(kinds: tuple[ChangeKind, ...]) -> None:
    """Each change is missing before it is applied, and applied afterwards, also after later changes."""
    record: MessageRecord | None = None
    for number, kind in enumerate(kinds, 1):
        change = make_change(kind, number)
        assert resolve_commit(change, record) is CommitStatus.MISSING
        record = apply(record, change)
        assert resolve_commit(change, record) is CommitStatus.APPLIED
    assert record is not None
    for number, kind in enumerate(kinds, 1):  # after later changes, too
        assert resolve_commit(make_change(kind, number), record) is CommitStatus.APPLIED


def test_resolve_commit_of_admission_with_other_record_reports_id_in_use() -> None:
    other_instance = replace(make_record(ADMIT), metadata=replace(METADATA, instance="n2"))
    assert resolve_commit(make_change(ADMIT, 1), other_instance) is CommitStatus.ID_IN_USE
    later_admission = replace(make_record(ADMIT), admitted_at=777)  # same instance, submitted at another time
    assert resolve_commit(make_change(ADMIT, 1), later_admission) is CommitStatus.ID_IN_USE


def test_resolve_commit_of_change_that_cannot_follow_reports_conflict() -> None:
    assert resolve_commit(make_change(END_ATTEMPT, 3), None) is CommitStatus.CONFLICT
    assert resolve_commit(make_change(END_ATTEMPT, 3), make_record(ADMIT)) is CommitStatus.CONFLICT
    assert (
        resolve_commit(make_change(END_ATTEMPT, 3, admission_number=2), make_record(ADMIT, BEGIN))
        is CommitStatus.CONFLICT
    )


@pytest.mark.parametrize(
    ("record", "now", "expected"),
    [
        (None, 0, MessageIdStatus.NEW),
        (make_record(ADMIT), 10**12, MessageIdStatus.IN_PROGRESS),
        (make_record(ADMIT, BEGIN), 10**12, MessageIdStatus.IN_PROGRESS),
        (
            make_record(ADMIT, BEGIN, DECIDE, final_status=StoredFinalStatus.DELIVERED),
            5_000,
            MessageIdStatus.DELIVERED,
        ),
        (
            make_record(ADMIT, BEGIN, DECIDE, REPORT, final_status=StoredFinalStatus.DELIVERED),
            9_000,
            MessageIdStatus.DELIVERED,
        ),
        (make_record(ADMIT, BEGIN, DECIDE, REPORT), 9_000, MessageIdStatus.FAILED),
        (make_record(ADMIT, BEGIN, DECIDE, REPORT), 300 + 10 * SECOND_US, MessageIdStatus.FAILED),
        (make_record(ADMIT, BEGIN, DECIDE, REPORT), 301 + 10 * SECOND_US, MessageIdStatus.NEW),
        (
            make_record(ADMIT, DECIDE, final_status=StoredFinalStatus.REJECTED),
            5_000,
            MessageIdStatus.REJECTED,
        ),  # not reusable yet
        (
            make_record(ADMIT, DECIDE, REPORT, final_status=StoredFinalStatus.REJECTED),
            5_000,
            MessageIdStatus.NEW,
        ),
    ],
)
def test_message_id_status_for_each_record(
    record: MessageRecord | None, now: int, expected: MessageIdStatus
) -> None:
    assert message_id_status(record, now, 10 * SECOND_US) is expected


def test_message_id_status_with_zero_retention_lasts_until_deadline() -> None:
    record = make_record(ADMIT, BEGIN, DECIDE, REPORT, final_status=StoredFinalStatus.DELIVERED)
    assert message_id_status(record, 9_000, 0) is MessageIdStatus.DELIVERED
    assert message_id_status(record, 9_001, 0) is MessageIdStatus.NEW


STORED_RECORDS = [
    None,
    *(make_record(*kinds) for kinds in CHANGES_TO_STATE.values()),
    make_record(ADMIT, BEGIN, DECIDE, final_status=StoredFinalStatus.DELIVERED),
]


@pytest.mark.parametrize(("journal_state", "record"), list(itertools.product(JournalState, STORED_RECORDS)))
def test_reconcile_at_most_once_message_that_may_have_run_does_not_resume(
    journal_state: JournalState, record: MessageRecord | None
) -> None:
    may_have_run = journal_state in (JournalState.IN_FLIGHT, JournalState.MAY_HAVE_RUN) or (
        record is not None
        and record.state is RecordState.IN_FLIGHT
        and journal_state is not JournalState.ABSENT
    )
    action = reconcile(journal_state, record, True)
    if may_have_run:
        assert action is not RecoveryAction.RESUME
    if journal_state is JournalState.ABSENT:
        assert action is not RecoveryAction.RESUME  # without the journal it is unknown whether it ran
    if action is RecoveryAction.COMPLETE and record is not None:
        assert record.state is RecordState.REPORTED  # nothing is left to report


@pytest.mark.parametrize(
    ("journal_state", "record", "is_at_most_once"),
    list(itertools.product(JournalState, STORED_RECORDS, (False, True))),
)
def test_reconcile_discards_only_message_whose_client_was_not_told(
    journal_state: JournalState, record: MessageRecord | None, is_at_most_once: bool
) -> None:
    action = reconcile(journal_state, record, is_at_most_once)
    assert (action is RecoveryAction.DISCARD) == (
        journal_state is JournalState.AWAITING_STORE and record is None
    )


def test_reconcile_repeatable_message_that_may_have_run_resumes() -> None:
    for journal_state in (JournalState.IN_FLIGHT, JournalState.MAY_HAVE_RUN, JournalState.NOT_EXECUTED):
        assert reconcile(journal_state, None, False) is RecoveryAction.RESUME
        assert reconcile(journal_state, make_record(ADMIT, BEGIN), False) is RecoveryAction.RESUME


def test_reconcile_decided_and_unreported_record_reports_again() -> None:
    for journal_state in (
        JournalState.ABSENT,
        JournalState.DECIDED,
        JournalState.ADMITTED,
        JournalState.IN_FLIGHT,
    ):
        assert (
            reconcile(journal_state, make_record(ADMIT, BEGIN, DECIDE), True) is RecoveryAction.REPORT_AGAIN
        )


def test_dispute_changes_only_a_recorded_delivery_to_failed() -> None:
    for kinds in ((ADMIT, BEGIN, DECIDE), (ADMIT, BEGIN, DECIDE, REPORT)):
        delivered = make_record(*kinds, final_status=StoredFinalStatus.DELIVERED)
        dispute = make_change(ChangeKind.DISPUTE, len(kinds) + 1)
        disputed = apply(delivered, dispute)
        assert (disputed.state, disputed.final_status) == (RecordState.DECIDED, StoredFinalStatus.FAILED)
        assert (disputed.result, disputed.reported_at) == (DISPUTED_RESULT, None)
        assert resolve_commit(dispute, disputed) is CommitStatus.APPLIED
        assert apply(disputed, make_change(REPORT, len(kinds) + 2)).state is RecordState.REPORTED
        for final_status in (StoredFinalStatus.FAILED, StoredFinalStatus.REJECTED):
            with pytest.raises(RecordRuleError):
                apply(make_record(*kinds, final_status=final_status), dispute)


def test_reconcile_of_a_disputed_delivery_updates_the_store() -> None:
    """The journal has it as failed; an earlier version took the delivery for complete."""
    for kinds in ((ADMIT, BEGIN, DECIDE), (ADMIT, BEGIN, DECIDE, REPORT)):
        delivered = make_record(*kinds, final_status=StoredFinalStatus.DELIVERED)
        assert reconcile(JournalState.DECIDED, delivered, True) is RecoveryAction.UPDATE_STORE
