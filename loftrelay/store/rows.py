"""The columns of the table of messages, mapped to the fields of a record, and the queries on it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from loftrelay.store.backend import RecordQuery
from loftrelay.store.state_machine import MessageMetadata, MessageRecord, RecordState, StoredFinalStatus

COLUMNS = (
    "id, run, number, state, instance, class, tenant, destination, key, sha256, deadline, taken_at, "
    "attempts, host, intended_at, result, result_at, answer, answered_at, told_at"
)
# Records whose attempts are not all in the table of attempts, with both numbers.
ATTEMPT_COUNT_MISMATCHES = (
    "SELECT m.id, m.attempts, count(a.attempt) FROM messages m LEFT JOIN attempts a "
    "ON a.id = m.id AND a.run = m.run GROUP BY m.id, m.attempts HAVING count(a.attempt) <> m.attempts"
)


def row_of(entry: MessageRecord) -> tuple[object, ...]:
    """Returns the values of a record, in the order of COLUMNS."""
    about = entry.metadata
    return (
        entry.message_id,
        entry.admission_number,
        entry.change_number,
        entry.state.value,
        about.instance,
        about.class_name,
        about.tenant,
        about.destination,
        about.key,
        about.sha256,
        about.deadline,
        entry.admitted_at,
        entry.attempts,
        entry.host,
        entry.attempt_started_at,
        entry.result,
        entry.result_at,
        entry.final_status.value if entry.final_status else None,
        entry.decided_at,
        entry.reported_at,
    )


def record_of(row: Sequence[Any]) -> MessageRecord:
    """Returns the record of a row, in the order of COLUMNS."""
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
    about = MessageMetadata(instance, class_name, tenant, destination, key, deadline, sha256)
    return MessageRecord(
        message,
        run,
        about,
        number,
        RecordState(state),
        taken_at,
        attempts,
        host,
        intended_at,
        result,
        result_at,
        StoredFinalStatus(answer) if answer else None,
        answered_at,
        told_at,
    )


def conditions(query: RecordQuery, mark: str) -> tuple[str, list[object]]:
    """Returns the conditions of a query, with `mark` for each value, and the values; the limit aside."""
    terms, given = ["1 = 1"], list[object]()
    for term, value in (
        ("class =", query.class_name),
        ("tenant =", query.tenant),
        ("answer =", query.final_status.value if query.final_status else None),
        ("taken_at >=", query.since),
        ("taken_at <", query.until),
    ):
        if value is not None:
            terms.append(f"{term} {mark}")
            given.append(value)
    if query.unfinished:
        terms.append("told_at IS NULL")
    return " AND ".join(terms), given


def inconsistencies(entry: MessageRecord) -> list[str]:
    """Returns the contradictions in a record, a line each."""
    said = []
    answer = entry.final_status and entry.final_status.value
    ended = entry.state in (RecordState.DECIDED, RecordState.REPORTED)
    if ended != (entry.final_status is not None) or ended != (entry.decided_at is not None):
        said.append(f"{entry.message_id}: {entry.state.value}, with answer {answer}")
    if (entry.state is RecordState.REPORTED) != (entry.reported_at is not None):
        said.append(f"{entry.message_id}: {entry.state.value}, with told_at {entry.reported_at}")
    if entry.final_status is StoredFinalStatus.DELIVERED and not entry.attempts:
        said.append(f"{entry.message_id}: delivered without an attempt")
    return said


def attempt_count_mismatch(message: str, told: int, kept: int) -> str:
    """Returns the line for a record whose attempts are not all in the table of attempts."""
    return f"{message}: {told} attempts told, {kept} kept"
