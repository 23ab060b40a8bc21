"""Maps the columns of the table `messages` to the fields of a record, and builds queries on it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from loftrelay.store.backend import RecordQuery
from loftrelay.store.state_machine import MessageMetadata, MessageRecord, RecordState, StoredFinalStatus

COLUMNS = (
    "id, run, number, state, instance, class, tenant, destination, key, sha256, deadline, taken_at, "
    "attempts, host, intended_at, result, result_at, answer, answered_at, told_at"
)
# Records with another number of attempts than the table `attempts` has: id, number in the record, rows.
ATTEMPT_COUNT_MISMATCHES = (
    "SELECT m.id, m.attempts, count(a.attempt) FROM messages m LEFT JOIN attempts a "
    "ON a.id = m.id AND a.run = m.run GROUP BY m.id, m.attempts HAVING count(a.attempt) <> m.attempts"
)


def row_of(record: MessageRecord) -> tuple[object, ...]:
    """Returns the column values of a record, in the order of COLUMNS."""
    metadata = record.metadata
    return (
        record.message_id,
        record.admission_number,
        record.change_number,
        record.state.value,
        metadata.instance,
        metadata.class_name,
        metadata.tenant,
        metadata.destination,
        metadata.key,
        metadata.sha256,
        metadata.deadline,
        record.admitted_at,
        record.attempts,
        record.host,
        record.attempt_started_at,
        record.result,
        record.result_at,
        record.final_status.value if record.final_status else None,
        record.decided_at,
        record.reported_at,
    )


def record_of(row: Sequence[Any]) -> MessageRecord:
    """Returns the record of a row, whose values are in the order of COLUMNS."""
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
    metadata = MessageMetadata(instance, class_name, tenant, destination, key, deadline, sha256)
    return MessageRecord(
        message,
        run,
        metadata,
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


def conditions(query: RecordQuery, placeholder: str) -> tuple[str, list[object]]:
    """Returns the WHERE condition of a query, without its limit, and the values of its placeholders."""
    conditions_sql, values = ["1 = 1"], list[object]()
    for condition, value in (
        ("class =", query.class_name),
        ("tenant =", query.tenant),
        ("answer =", query.final_status.value if query.final_status else None),
        ("taken_at >=", query.since),
        ("taken_at <", query.until),
    ):
        if value is not None:
            conditions_sql.append(f"{condition} {placeholder}")
            values.append(value)
    if query.unfinished:
        conditions_sql.append("told_at IS NULL")
    return " AND ".join(conditions_sql), values


def inconsistencies(record: MessageRecord) -> list[str]:
    """Returns the inconsistencies within a record, one line each."""
    lines = []
    answer = record.final_status and record.final_status.value
    is_decided = record.state in (RecordState.DECIDED, RecordState.REPORTED)
    if is_decided != (record.final_status is not None) or is_decided != (record.decided_at is not None):
        lines.append(f"{record.message_id}: state {record.state.value}, with answer {answer}")
    if (record.state is RecordState.REPORTED) != (record.reported_at is not None):
        lines.append(f"{record.message_id}: state {record.state.value}, with told_at {record.reported_at}")
    if record.final_status is StoredFinalStatus.DELIVERED and not record.attempts:
        lines.append(f"{record.message_id}: delivered without an attempt")
    return lines


def attempt_count_mismatch(message_id: str, in_record: int, rows: int) -> str:
    """Returns the line about a record with another number of attempts than the table `attempts` has."""
    return f"{message_id}: {in_record} attempts in its record, {rows} in the table of attempts"
