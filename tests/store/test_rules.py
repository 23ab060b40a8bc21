"""The record's rules: what may follow what, what must be stored first, what a crash leaves to be decided."""

from __future__ import annotations

import itertools
from dataclasses import replace

import pytest

from loftrelay.store.state_machine import (
    About,
    Answer,
    Change,
    Entry,
    Found,
    Held,
    Kind,
    Known,
    Mend,
    Mode,
    RuleBroken,
    State,
    Step,
    apply,
    known,
    needed,
    reconcile,
    resolve,
)

ABOUT = About("n1", "order", "acme", 1, "k", 9_000, "00" * 32)
S = 1_000_000


def change(kind: Kind, number: int, run: int = 1, at: int = 0, **told: object) -> Change:
    given = {"about": ABOUT} if kind is Kind.TAKE else {}
    if kind is Kind.END:
        given = {"answer": Answer.FAILED}  # type: ignore[dict-item]
    return replace(Change("m", run, number, kind, at or 100 * number, **given), **told)  # type: ignore[arg-type]


def record(*kinds: Kind, answer: Answer = Answer.FAILED) -> Entry:
    entry: Entry | None = None
    for number, kind in enumerate(kinds, 1):
        told: dict[str, object] = {"answer": answer} if kind is Kind.END else {}
        entry = apply(entry, change(kind, number, **told))  # type: ignore[arg-type]
    assert entry is not None
    return entry


TAKE, INTEND, OUTCOME, END, TOLD = Kind.TAKE, Kind.INTEND, Kind.OUTCOME, Kind.END, Kind.TOLD
LIVES = {
    State.TAKEN: (TAKE,),
    State.OUT: (TAKE, INTEND),
    State.WAITING: (TAKE, INTEND, OUTCOME),
    State.ENDED: (TAKE, INTEND, END),
    State.TOLD: (TAKE, INTEND, END, TOLD),
}
MAY_FOLLOW = {
    State.TAKEN: {INTEND, END},
    State.OUT: {OUTCOME, END},
    State.WAITING: {INTEND, END},
    State.ENDED: {TOLD},
    State.TOLD: set[Kind](),
}


@pytest.mark.parametrize(("state", "kind"), list(itertools.product(State, Kind)))
def test_what_may_follow_what(state: State, kind: Kind) -> None:
    entry = record(*LIVES[state])
    assert entry.state is state
    following = change(kind, 1 if kind is TAKE else entry.number + 1)
    if kind in MAY_FOLLOW[state]:
        assert apply(entry, following).number == entry.number + 1
    else:
        with pytest.raises(RuleBroken):
            apply(entry, following)


def test_a_life_is_told_in_full() -> None:
    entry = record(TAKE, INTEND, OUTCOME, INTEND, END, TOLD, answer=Answer.DELIVERED)
    assert entry == Entry(
        "m",
        1,
        ABOUT,
        6,
        State.TOLD,
        100,
        attempts=2,
        host=None,
        intended_at=400,
        result=None,
        result_at=500,
        answer=Answer.DELIVERED,
        answered_at=500,
        told_at=600,
    )


@pytest.mark.parametrize("kinds", [(TAKE,), (TAKE, INTEND, OUTCOME)])
def test_nothing_is_delivered_without_an_attempt_out(kinds: tuple[Kind, ...]) -> None:
    entry = record(*kinds)
    with pytest.raises(RuleBroken, match="without an attempt"):
        apply(entry, change(END, entry.number + 1, answer=Answer.DELIVERED))


def test_numbers_leave_no_gap_and_an_end_has_an_answer() -> None:
    entry = record(TAKE)
    for number in (1, 3):
        with pytest.raises(RuleBroken):
            apply(entry, change(INTEND, number))
    with pytest.raises(RuleBroken):
        apply(entry, change(END, 2, answer=None))
    with pytest.raises(RuleBroken):
        apply(None, change(INTEND, 2))
    with pytest.raises(RuleBroken):
        apply(None, change(TAKE, 1, run=2))


def test_an_id_has_a_new_record_only_after_its_last_one_is_told() -> None:
    again = change(TAKE, 1, run=2)
    assert apply(record(TAKE, END, TOLD, answer=Answer.REFUSED), again).run == 2
    for life in (LIVES[state] for state in State if state is not State.TOLD):
        with pytest.raises(RuleBroken):
            apply(record(*life), again)
    with pytest.raises(RuleBroken):
        apply(record(*LIVES[State.TOLD]), change(TAKE, 1, run=3))


def test_what_must_be_stored_before_which_step() -> None:
    assert [needed(step, Mode.REQUIRED) for step in Step] == [TAKE, INTEND, END]
    assert [needed(step, Mode.FOLLOWS) for step in Step] == [None, None, None]


@pytest.mark.parametrize("life", LIVES.values())
def test_a_commit_whose_outcome_is_not_known_is_resolved_by_reading_back(life: tuple[Kind, ...]) -> None:
    """Before it was applied and after, for each change of a life: once more only where it is missing."""
    entry: Entry | None = None
    for number, kind in enumerate(life, 1):
        step = change(kind, number)
        assert resolve(step, entry) is Found.MISSING
        entry = apply(entry, step)
        assert resolve(step, entry) is Found.APPLIED
    assert entry is not None
    for number, kind in enumerate(life, 1):  # and long after
        assert resolve(change(kind, number), entry) is Found.APPLIED


def test_an_ambiguous_take_whose_id_another_got_first() -> None:
    theirs = replace(record(TAKE), about=replace(ABOUT, instance="n2"))
    assert resolve(change(TAKE, 1), theirs) is Found.TAKEN_ELSEWHERE
    later = replace(record(TAKE), taken_at=777)  # of the same instance, handed in at another time
    assert resolve(change(TAKE, 1), later) is Found.TAKEN_ELSEWHERE


def test_a_change_that_can_not_have_been_next_is_a_conflict() -> None:
    assert resolve(change(OUTCOME, 3), None) is Found.CONFLICT
    assert resolve(change(OUTCOME, 3), record(TAKE)) is Found.CONFLICT
    assert resolve(change(OUTCOME, 3, run=2), record(TAKE, INTEND)) is Found.CONFLICT


@pytest.mark.parametrize(
    ("entry", "at", "answer"),
    [
        (None, 0, Known.NEW),
        (record(TAKE), 10**12, Known.IN_PROGRESS),
        (record(TAKE, INTEND), 10**12, Known.IN_PROGRESS),
        (record(TAKE, INTEND, END, answer=Answer.DELIVERED), 5_000, Known.DELIVERED),
        (record(TAKE, INTEND, END, TOLD, answer=Answer.DELIVERED), 9_000, Known.DELIVERED),
        (record(TAKE, INTEND, END, TOLD), 9_000, Known.FAILED),
        (record(TAKE, INTEND, END, TOLD), 300 + 10 * S, Known.FAILED),
        (record(TAKE, INTEND, END, TOLD), 301 + 10 * S, Known.NEW),
        (record(TAKE, END, answer=Answer.REFUSED), 5_000, Known.REFUSED),  # not free yet
        (record(TAKE, END, TOLD, answer=Answer.REFUSED), 5_000, Known.NEW),
    ],
)
def test_an_id_seen_before(entry: Entry | None, at: int, answer: Known) -> None:
    assert known(entry, at, 10 * S) is answer


def test_an_id_is_known_until_its_time_is_up_however_short_the_memory() -> None:
    entry = record(TAKE, INTEND, END, TOLD, answer=Answer.DELIVERED)
    assert known(entry, 9_000, 0) is Known.DELIVERED
    assert known(entry, 9_001, 0) is Known.NEW


SEEN = [None, *(record(*life) for life in LIVES.values()), record(TAKE, INTEND, END, answer=Answer.DELIVERED)]


@pytest.mark.parametrize(("held", "seen", "mode"), list(itertools.product(Held, SEEN, Mode)))
def test_an_unsafe_message_that_may_have_run_never_goes_on(
    held: Held, seen: Entry | None, mode: Mode
) -> None:
    may_have_run = held in (Held.OUT, Held.DOUBTFUL) or (
        seen is not None and seen.state is State.OUT and held is not Held.NOTHING
    )
    mend = reconcile(held, seen, True, mode)
    if may_have_run:
        assert mend is not Mend.TAKE_UP
    if held is Held.NOTHING:
        assert mend is not Mend.TAKE_UP  # nobody knows where it stands
    if mend is Mend.AGREE and seen is not None:
        assert seen.state is State.TOLD  # nothing is owed


@pytest.mark.parametrize(("held", "seen", "unsafe"), list(itertools.product(Held, SEEN, (False, True))))
def test_a_message_whose_commit_never_came_is_forgotten_only_if_its_client_was_never_told(
    held: Held, seen: Entry | None, unsafe: bool
) -> None:
    for mode in Mode:
        mend = reconcile(held, seen, unsafe, mode)
        assert (mend is Mend.FORGET) == (held is Held.TAKEN and seen is None and mode is Mode.REQUIRED)


def test_a_repeatable_message_goes_on_whatever_may_have_run() -> None:
    for held in (Held.OUT, Held.DOUBTFUL, Held.TRIED):
        assert reconcile(held, None, False, Mode.FOLLOWS) is Mend.TAKE_UP
        assert reconcile(held, record(TAKE, INTEND), False, Mode.FOLLOWS) is Mend.TAKE_UP


def test_an_end_that_the_store_has_and_nobody_was_told_is_told() -> None:
    for held in (Held.NOTHING, Held.ENDED, Held.TAKEN, Held.OUT):
        assert reconcile(held, record(TAKE, INTEND, END), True, Mode.REQUIRED) is Mend.TELL_AGAIN
