"""The record's rules: what may follow what, what must be stored first, what a crash leaves to be decided."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from loftrelay.relay.ports import RecoveryAction
from loftrelay.store.state_machine import (
    Change,
    ChangeKind,
    CommitStatus,
    DurabilityMode,
    JournalStanding,
    KnownId,
    MessageMetadata,
    MessageRecord,
    RecordRuleError,
    RecordState,
    Step,
    StoredFinalStatus,
    apply,
    reconcile,
    required_before,
    resolve_commit,
    status_of_id,
)

ABOUT = MessageMetadata("n1", "order", "acme", 1, "k", 9_000, "00" * 32)
S = 1_000_000


def change(kind: ChangeKind, number: int, run: int = 1, at: int = 0, **told: object) -> Change:
    given = {"metadata": ABOUT} if kind is ChangeKind.ADMIT else {}
    if kind is ChangeKind.DECIDE:
        given = {"final_status": StoredFinalStatus.FAILED}  # type: ignore[dict-item]
    return replace(Change("m", run, number, kind, at or 100 * number, **given), **told)  # type: ignore[arg-type]


def record(*kinds: ChangeKind, final_status: StoredFinalStatus = StoredFinalStatus.FAILED) -> MessageRecord:
    entry: MessageRecord | None = None
    for number, kind in enumerate(kinds, 1):
        told: dict[str, object] = {"final_status": final_status} if kind is ChangeKind.DECIDE else {}
        entry = apply(entry, change(kind, number, **told))  # type: ignore[arg-type]
    assert entry is not None
    return entry


TAKE, INTEND, OUTCOME, END, TOLD = (
    ChangeKind.ADMIT,
    ChangeKind.BEGIN_ATTEMPT,
    ChangeKind.END_ATTEMPT,
    ChangeKind.DECIDE,
    ChangeKind.REPORT,
)
LIVES = {
    RecordState.ADMITTED: (TAKE,),
    RecordState.IN_FLIGHT: (TAKE, INTEND),
    RecordState.WAITING: (TAKE, INTEND, OUTCOME),
    RecordState.DECIDED: (TAKE, INTEND, END),
    RecordState.REPORTED: (TAKE, INTEND, END, TOLD),
}
MAY_FOLLOW = {
    RecordState.ADMITTED: {INTEND, END},
    RecordState.IN_FLIGHT: {OUTCOME, END},
    RecordState.WAITING: {INTEND, END},
    RecordState.DECIDED: {TOLD},
    RecordState.REPORTED: set[ChangeKind](),
}


@pytest.mark.parametrize(("state", "kind"), list(itertools.product(RecordState, ChangeKind)))
def test_what_may_follow_what(state: RecordState, kind: ChangeKind) -> None:
    entry = record(*LIVES[state])
    assert entry.state is state
    following = change(kind, 1 if kind is TAKE else entry.change_number + 1)
    if kind in MAY_FOLLOW[state]:
        assert apply(entry, following).change_number == entry.change_number + 1
    else:
        with pytest.raises(RecordRuleError):
            apply(entry, following)


def test_a_life_is_told_in_full() -> None:
    entry = record(TAKE, INTEND, OUTCOME, INTEND, END, TOLD, final_status=StoredFinalStatus.DELIVERED)
    assert entry == MessageRecord(
        "m",
        1,
        ABOUT,
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


@pytest.mark.parametrize("kinds", [(TAKE,), (TAKE, INTEND, OUTCOME)])
def test_nothing_is_delivered_without_an_attempt_out(kinds: tuple[ChangeKind, ...]) -> None:
    entry = record(*kinds)
    with pytest.raises(RecordRuleError, match="without an attempt"):
        apply(entry, change(END, entry.change_number + 1, final_status=StoredFinalStatus.DELIVERED))


def test_numbers_leave_no_gap_and_an_end_has_an_answer() -> None:
    entry = record(TAKE)
    for number in (1, 3):
        with pytest.raises(RecordRuleError):
            apply(entry, change(INTEND, number))
    with pytest.raises(RecordRuleError):
        apply(entry, change(END, 2, final_status=None))
    with pytest.raises(RecordRuleError):
        apply(None, change(INTEND, 2))
    with pytest.raises(RecordRuleError):
        apply(None, change(TAKE, 1, run=2))


def test_an_id_has_a_new_record_only_after_its_last_one_is_told() -> None:
    again = change(TAKE, 1, run=2)
    assert (
        apply(record(TAKE, END, TOLD, final_status=StoredFinalStatus.REJECTED), again).admission_number == 2
    )
    for life in (LIVES[state] for state in RecordState if state is not RecordState.REPORTED):
        with pytest.raises(RecordRuleError):
            apply(record(*life), again)
    with pytest.raises(RecordRuleError):
        apply(record(*LIVES[RecordState.REPORTED]), change(TAKE, 1, run=3))


def test_what_must_be_stored_before_which_step() -> None:
    assert [required_before(step, DurabilityMode.WRITE_AHEAD) for step in Step] == [TAKE, INTEND, END]
    assert [required_before(step, DurabilityMode.WRITE_BEHIND) for step in Step] == [None, None, None]


@pytest.mark.parametrize("life", LIVES.values())
def test_a_commit_whose_outcome_is_not_known_is_resolved_by_reading_back(
    life: tuple[ChangeKind, ...],
) -> None:
    """Before it was applied and after, for each change of a life: once more only where it is missing."""
    entry: MessageRecord | None = None
    for number, kind in enumerate(life, 1):
        step = change(kind, number)
        assert resolve_commit(step, entry) is CommitStatus.MISSING
        entry = apply(entry, step)
        assert resolve_commit(step, entry) is CommitStatus.APPLIED
    assert entry is not None
    for number, kind in enumerate(life, 1):  # and long after
        assert resolve_commit(change(kind, number), entry) is CommitStatus.APPLIED


def test_an_ambiguous_take_whose_id_another_got_first() -> None:
    theirs = replace(record(TAKE), metadata=replace(ABOUT, instance="n2"))
    assert resolve_commit(change(TAKE, 1), theirs) is CommitStatus.ID_IN_USE
    later = replace(record(TAKE), admitted_at=777)  # of the same instance, handed in at another time
    assert resolve_commit(change(TAKE, 1), later) is CommitStatus.ID_IN_USE


def test_a_change_that_can_not_have_been_next_is_a_conflict() -> None:
    assert resolve_commit(change(OUTCOME, 3), None) is CommitStatus.CONFLICT
    assert resolve_commit(change(OUTCOME, 3), record(TAKE)) is CommitStatus.CONFLICT
    assert resolve_commit(change(OUTCOME, 3, run=2), record(TAKE, INTEND)) is CommitStatus.CONFLICT


@pytest.mark.parametrize(
    ("entry", "at", "answer"),
    [
        (None, 0, KnownId.NEW),
        (record(TAKE), 10**12, KnownId.IN_PROGRESS),
        (record(TAKE, INTEND), 10**12, KnownId.IN_PROGRESS),
        (record(TAKE, INTEND, END, final_status=StoredFinalStatus.DELIVERED), 5_000, KnownId.DELIVERED),
        (record(TAKE, INTEND, END, TOLD, final_status=StoredFinalStatus.DELIVERED), 9_000, KnownId.DELIVERED),
        (record(TAKE, INTEND, END, TOLD), 9_000, KnownId.FAILED),
        (record(TAKE, INTEND, END, TOLD), 300 + 10 * S, KnownId.FAILED),
        (record(TAKE, INTEND, END, TOLD), 301 + 10 * S, KnownId.NEW),
        (record(TAKE, END, final_status=StoredFinalStatus.REJECTED), 5_000, KnownId.REJECTED),  # not free yet
        (record(TAKE, END, TOLD, final_status=StoredFinalStatus.REJECTED), 5_000, KnownId.NEW),
    ],
)
def test_an_id_seen_before(entry: MessageRecord | None, at: int, answer: KnownId) -> None:
    assert status_of_id(entry, at, 10 * S) is answer


def test_an_id_is_known_until_its_time_is_up_however_short_the_memory() -> None:
    entry = record(TAKE, INTEND, END, TOLD, final_status=StoredFinalStatus.DELIVERED)
    assert status_of_id(entry, 9_000, 0) is KnownId.DELIVERED
    assert status_of_id(entry, 9_001, 0) is KnownId.NEW


SEEN = [
    None,
    *(record(*life) for life in LIVES.values()),
    record(TAKE, INTEND, END, final_status=StoredFinalStatus.DELIVERED),
]


@pytest.mark.parametrize(
    ("held", "seen", "mode"), list(itertools.product(JournalStanding, SEEN, DurabilityMode))
)
def test_an_unsafe_message_that_may_have_run_never_goes_on(
    held: JournalStanding, seen: MessageRecord | None, mode: DurabilityMode
) -> None:
    may_have_run = held in (JournalStanding.IN_FLIGHT, JournalStanding.MAY_HAVE_RUN) or (
        seen is not None and seen.state is RecordState.IN_FLIGHT and held is not JournalStanding.NOTHING
    )
    mend = reconcile(held, seen, True, mode)
    if may_have_run:
        assert mend is not RecoveryAction.RESUME
    if held is JournalStanding.NOTHING:
        assert mend is not RecoveryAction.RESUME  # nobody knows where it stands
    if mend is RecoveryAction.COMPLETE and seen is not None:
        assert seen.state is RecordState.REPORTED  # nothing is owed


@pytest.mark.parametrize(
    ("held", "seen", "unsafe"), list(itertools.product(JournalStanding, SEEN, (False, True)))
)
def test_a_message_whose_commit_never_came_is_forgotten_only_if_its_client_was_never_told(
    held: JournalStanding, seen: MessageRecord | None, unsafe: bool
) -> None:
    for mode in DurabilityMode:
        mend = reconcile(held, seen, unsafe, mode)
        assert (mend is RecoveryAction.DISCARD) == (
            held is JournalStanding.ADMITTED and seen is None and mode is DurabilityMode.WRITE_AHEAD
        )


def test_a_repeatable_message_goes_on_whatever_may_have_run() -> None:
    for held in (JournalStanding.IN_FLIGHT, JournalStanding.MAY_HAVE_RUN, JournalStanding.TRIED):
        assert reconcile(held, None, False, DurabilityMode.WRITE_BEHIND) is RecoveryAction.RESUME
        assert (
            reconcile(held, record(TAKE, INTEND), False, DurabilityMode.WRITE_BEHIND) is RecoveryAction.RESUME
        )


def test_an_end_that_the_store_has_and_nobody_was_told_is_told() -> None:
    for held in (
        JournalStanding.NOTHING,
        JournalStanding.ENDED,
        JournalStanding.ADMITTED,
        JournalStanding.IN_FLIGHT,
    ):
        assert (
            reconcile(held, record(TAKE, INTEND, END), True, DurabilityMode.WRITE_AHEAD)
            is RecoveryAction.REPORT_AGAIN
        )
