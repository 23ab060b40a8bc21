"""The record's states and rules, with no input or output: what may follow what, what must be stored first.

A message's record grows by numbered changes. Each is worth the same whether it is stored once or, after a
commit whose outcome is not known, once more: a store applies change n only to a record that stands at n - 1.
So an ambiguous commit is resolved by reading back, never by guessing (`resolve`).

Times are wall-clock microseconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class RuleBroken(Exception):
    """A change that may not follow what is recorded. A fault of the program: nothing of it is stored."""


class State(Enum):
    """Where a record stands. The words are those in the store."""

    TAKEN = "taken"  # the relay owes its end; nothing has gone out
    OUT = "out"  # an attempt's intent is recorded, its outcome is not: it may have run
    WAITING = "waiting"  # no attempt is out; more may follow
    ENDED = "ended"  # its final answer is decided
    TOLD = "told"  # and whoever is owed it has heard


class Answer(Enum):
    DELIVERED = "delivered"
    REFUSED = "refused"  # promises that handing it in again does no harm
    FAILED = "failed"  # promises nothing


class Kind(Enum):
    """What a change records."""

    TAKE = "take"
    INTEND = "intend"
    OUTCOME = "outcome"
    END = "end"
    TOLD = "told"


class Mode(Enum):
    """How a class is recorded."""

    REQUIRED = "required"  # nothing happens before the store has it
    FOLLOWS = "follows"  # the journal answers for it, the store catches up


FOLLOWS_FROM: Mapping[Kind, tuple[State, ...]] = {
    Kind.INTEND: (State.TAKEN, State.WAITING),
    Kind.OUTCOME: (State.OUT,),
    Kind.END: (State.TAKEN, State.OUT, State.WAITING),
    Kind.TOLD: (State.ENDED,),
}
LEADS_TO: Mapping[Kind, State] = {
    Kind.TAKE: State.TAKEN,
    Kind.INTEND: State.OUT,
    Kind.OUTCOME: State.WAITING,
    Kind.END: State.ENDED,
    Kind.TOLD: State.TOLD,
}


@dataclass(frozen=True, slots=True)
class About:
    """What a message is, as it was taken on."""

    instance: str
    class_name: str
    tenant: str | None
    destination: int
    key: str | None
    deadline: int
    sha256: str  # of the body, in hex


@dataclass(frozen=True, slots=True)
class Change:
    """One step of one message. `run`: how often its id was taken on, for it is free again once refused."""

    message: str
    run: int
    number: int  # of this change, from 1
    kind: Kind
    at: int
    about: About | None = None  # TAKE
    host: str | None = None  # INTEND
    result: str | None = None  # OUTCOME, and END where an attempt was out
    answer: Answer | None = None  # END


@dataclass(frozen=True, slots=True)
class Entry:
    """The record of one message."""

    message: str
    run: int
    about: About
    number: int  # of the last change that is stored
    state: State
    taken_at: int
    attempts: int = 0
    host: str | None = None  # of the last attempt
    intended_at: int | None = None
    result: str | None = None  # of the last attempt
    result_at: int | None = None
    answer: Answer | None = None
    answered_at: int | None = None
    told_at: int | None = None


def apply(entry: Entry | None, change: Change) -> Entry:
    """The record after a change. Raises RuleBroken."""
    if change.kind is Kind.TAKE:
        if change.about is None or change.number != 1:
            raise RuleBroken(f"{change.message}: the first change tells what the message is")
        if entry is not None and not (entry.state is State.TOLD and change.run == entry.run + 1):
            raise RuleBroken(f"{change.message}: taken on while its record stands at {entry.state.value}")
        if entry is None and change.run != 1:
            raise RuleBroken(f"{change.message}: run {change.run} of an id that has no record")
        return Entry(change.message, change.run, change.about, 1, State.TAKEN, change.at)
    if entry is None:
        raise RuleBroken(f"{change.message}: {change.kind.value} of a message that was not taken on")
    if (change.run, change.number) != (entry.run, entry.number + 1):
        raise RuleBroken(
            f"{change.message}: change {change.run}.{change.number} after {entry.run}.{entry.number}"
        )
    if entry.state not in FOLLOWS_FROM[change.kind]:
        raise RuleBroken(f"{change.message}: {change.kind.value} after {entry.state.value}")
    host, intended_at, result, result_at = entry.host, entry.intended_at, entry.result, entry.result_at
    attempts, answer, answered_at, told_at = entry.attempts, entry.answer, entry.answered_at, entry.told_at
    if change.kind is Kind.INTEND:
        attempts += 1
        host, intended_at, result, result_at = change.host, change.at, None, None
    elif change.kind is Kind.OUTCOME:
        result, result_at = change.result, change.at
    elif change.kind is Kind.END:
        if change.answer is None:
            raise RuleBroken(f"{change.message}: an end without an answer")
        if change.answer is Answer.DELIVERED and entry.state is not State.OUT:
            raise RuleBroken(f"{change.message}: delivered without an attempt out")
        if entry.state is State.OUT:
            result, result_at = change.result, change.at
        answer, answered_at = change.answer, change.at
    else:
        told_at = change.at
    # Made anew field by field: `dataclasses.replace` was a third of what a commit costs in this process.
    return Entry(
        entry.message,
        entry.run,
        entry.about,
        change.number,
        LEADS_TO[change.kind],
        entry.taken_at,
        attempts,
        host,
        intended_at,
        result,
        result_at,
        answer,
        answered_at,
        told_at,
    )


def free_again(entry: Entry) -> bool:
    """Whether the id is new at once: only a refusal that was told has promised that."""
    return entry.state is State.TOLD and entry.answer is Answer.REFUSED


# What must be in the store before which step


class Step(Enum):
    """What a relay is about to do."""

    ANSWER_TAKEN = "tell the client that it is taken on"
    SEND = "send an attempt's first byte"
    TELL_END = "tell the final answer"


def needed(step: Step, mode: Mode) -> Kind | None:
    """The change that must be committed before the step; None where the journal answers for it."""
    if mode is Mode.FOLLOWS:
        return None
    return {Step.ANSWER_TAKEN: Kind.TAKE, Step.SEND: Kind.INTEND, Step.TELL_END: Kind.END}[step]


# Commits whose outcome is not known


class Found(Enum):
    """What reading back shows of a change that may have been committed."""

    APPLIED = "applied"  # nothing is to be done
    MISSING = "missing"  # it is to be stored again, as it was
    TAKEN_ELSEWHERE = "taken elsewhere"  # another instance has the id
    CONFLICT = "conflict"  # the record stands where this change can't have been next


def resolve(change: Change, seen: Entry | None) -> Found:
    """By what the store holds now."""
    if seen is None:
        return Found.MISSING if change.kind is Kind.TAKE and change.run == 1 else Found.CONFLICT
    if change.kind is Kind.TAKE:
        if seen.run == change.run:
            mine = change.about is not None and seen.about == change.about and seen.taken_at == change.at
            return Found.APPLIED if mine else Found.TAKEN_ELSEWHERE
        after = seen.run == change.run - 1 and seen.state is State.TOLD
        return Found.MISSING if after else Found.TAKEN_ELSEWHERE
    if seen.run != change.run:
        return Found.CONFLICT
    if seen.number >= change.number:
        return Found.APPLIED
    return Found.MISSING if seen.number == change.number - 1 else Found.CONFLICT


# An id that was seen before


class Known(Enum):
    """What is answered to an id that the store knows."""

    NEW = "new"
    IN_PROGRESS = "in progress"  # taken on, here or elsewhere: not begun a second time
    DELIVERED = "delivered"
    FAILED = "failed"
    REFUSED = "refused"  # that is being told: the id is free once it is, and nothing would follow a 202 now


def known(entry: Entry | None, now: int, memory: int) -> Known:
    """`memory`: how long after its end an id is answered as before, and in no case before its deadline."""
    if entry is None or free_again(entry):
        return Known.NEW
    if entry.answer is None:
        return Known.IN_PROGRESS
    if entry.answer is Answer.REFUSED:
        return Known.REFUSED
    if entry.answered_at is not None and now > max(entry.answered_at + memory, entry.about.deadline):
        return Known.NEW
    return Known.DELIVERED if entry.answer is Answer.DELIVERED else Known.FAILED


# Recovery: what the journal holds against what the store holds


class Held(Enum):
    """What the journal tells of a message at a start."""

    NOTHING = "nothing"
    TAKEN = "taken on, never tried"
    OUT = "an attempt was out when the process ended"
    TRIED = "tried, and may go again"
    DOUBTFUL = "tried, and may have run"
    DELIVERED = "delivered"
    ENDED = "its end is decided and not heard"


class Mend(Enum):
    """What is done about it."""

    AGREE = "nothing"
    STORE = "the store is told what the journal knows"
    TAKE_UP = "the message goes on, the store is told where it stands"
    FAIL = "it may have run: it is failed, and not sent"
    FORGET = "it was never told as taken on: dropped from the journal"
    TELL_AGAIN = "its end is told once more"


def reconcile(held: Held, seen: Entry | None, unsafe: bool, mode: Mode) -> Mend:
    """Never claims what the store never saw, never resends an unsafe message because the store forgot it."""
    if held is Held.NOTHING:
        if seen is None or seen.state in (State.TOLD,):
            return Mend.AGREE
        if seen.state is State.ENDED:
            return Mend.TELL_AGAIN if seen.answer is not Answer.DELIVERED else Mend.STORE
        return Mend.FAIL  # the store saw it taken on, and the journal is lost: nobody knows whether it ran
    if seen is None:
        if mode is Mode.REQUIRED and held is Held.TAKEN:
            return Mend.FORGET  # the commit never came, so its client was never told
        if unsafe and held in (Held.OUT, Held.DOUBTFUL):
            return Mend.FAIL
        return Mend.STORE if held in (Held.DELIVERED, Held.ENDED) else Mend.TAKE_UP
    if seen.state is State.TOLD:
        return Mend.AGREE  # the journal had not heard that it was told
    if seen.state is State.ENDED:
        return Mend.STORE if seen.answer is Answer.DELIVERED else Mend.TELL_AGAIN
    if held in (Held.DELIVERED, Held.ENDED):
        return Mend.STORE
    may_have_run = held in (Held.OUT, Held.DOUBTFUL) or seen.state is State.OUT
    return Mend.FAIL if unsafe and may_have_run else Mend.TAKE_UP
