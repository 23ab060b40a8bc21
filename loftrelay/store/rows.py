"""What the back ends have in common: the columns of the table of messages, and what is asked of it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from loftrelay.store.backend import Query
from loftrelay.store.state_machine import About, Answer, Entry, State

COLUMNS = (
    "id, run, number, state, instance, class, tenant, destination, key, sha256, deadline, taken_at, "
    "attempts, host, intended_at, result, result_at, answer, answered_at, told_at"
)
# Records whose attempts are not all in the table of attempts, with both numbers.
MISCOUNTED = (
    "SELECT m.id, m.attempts, count(a.attempt) FROM messages m LEFT JOIN attempts a "
    "ON a.id = m.id AND a.run = m.run GROUP BY m.id, m.attempts HAVING count(a.attempt) <> m.attempts"
)


def row_of(entry: Entry) -> tuple[object, ...]:
    about = entry.about
    return (
        entry.message,
        entry.run,
        entry.number,
        entry.state.value,
        about.instance,
        about.class_name,
        about.tenant,
        about.destination,
        about.key,
        about.sha256,
        about.deadline,
        entry.taken_at,
        entry.attempts,
        entry.host,
        entry.intended_at,
        entry.result,
        entry.result_at,
        entry.answer.value if entry.answer else None,
        entry.answered_at,
        entry.told_at,
    )


def entry_of(row: Sequence[Any]) -> Entry:
    (
        message,
        run,
        number,
        state,
        instance,
        class_name,
        tenant,
        destination,
        key,
        sha256,
        deadline,
        taken_at,
        attempts,
        host,
        intended_at,
        result,
        result_at,
        answer,
        answered_at,
        told_at,
    ) = row
    about = About(instance, class_name, tenant, destination, key, deadline, sha256)
    return Entry(
        message,
        run,
        about,
        number,
        State(state),
        taken_at,
        attempts,
        host,
        intended_at,
        result,
        result_at,
        Answer(answer) if answer else None,
        answered_at,
        told_at,
    )


def conditions(query: Query, mark: str) -> tuple[str, list[object]]:
    """The terms after WHERE, with `mark` for each value, and the values. The limit is not among them."""
    terms, given = ["1 = 1"], list[object]()
    for term, value in (
        ("class =", query.class_name),
        ("tenant =", query.tenant),
        ("answer =", query.answer.value if query.answer else None),
        ("taken_at >=", query.since),
        ("taken_at <", query.until),
    ):
        if value is not None:
            terms.append(f"{term} {mark}")
            given.append(value)
    if query.unfinished:
        terms.append("told_at IS NULL")
    return " AND ".join(terms), given


def wrong_in(entry: Entry) -> list[str]:
    """What contradicts itself in a record."""
    said = []
    ended = entry.state in (State.ENDED, State.TOLD)
    if ended != (entry.answer is not None) or ended != (entry.answered_at is not None):
        said.append(
            f"{entry.message}: {entry.state.value}, with answer {entry.answer and entry.answer.value}"
        )
    if (entry.state is State.TOLD) != (entry.told_at is not None):
        said.append(f"{entry.message}: {entry.state.value}, with told_at {entry.told_at}")
    if entry.answer is Answer.DELIVERED and not entry.attempts:
        said.append(f"{entry.message}: delivered without an attempt")
    return said


def miscounted(message: str, told: int, kept: int) -> str:
    return f"{message}: {told} attempts told, {kept} kept"
