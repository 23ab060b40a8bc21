"""Applies a group of changes to records read from a store, for every back end. This module does no I/O."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from loftrelay.store import state_machine
from loftrelay.store.state_machine import Change, ChangeKind, MessageRecord


@dataclass(frozen=True, slots=True)
class AttemptRow:
    """One row of the table `attempts`."""

    message_id: str
    admission_number: int
    attempt: int  # from 1
    host: str | None
    started_at: int | None
    result: str | None
    result_at: int | None

    @property
    def row(self) -> tuple[object, ...]:
        """Values of the columns, in their order."""
        return (
            self.message_id,
            self.admission_number,
            self.attempt,
            self.host,
            self.started_at,
            self.result,
            self.result_at,
        )


@dataclass(slots=True)
class CommitGroup:
    """Rows to write in one transaction.

    Attributes:
        before: Records as read, by message id; None: no record. They detect writes of other instances.
        after: The same records after the changes.
        attempts: Rows of the table `attempts`, by message id, admission number and attempt number.
        ids_in_use: Admissions that were not applied: index of the change -> the record that has the id.
    """

    before: dict[str, MessageRecord | None] = field(default_factory=dict)
    after: dict[str, MessageRecord] = field(default_factory=dict)
    attempts: dict[tuple[str, int, int], AttemptRow] = field(default_factory=dict)
    ids_in_use: dict[int, MessageRecord] = field(default_factory=dict)


def build_group(changes: Sequence[Change], records: Mapping[str, MessageRecord]) -> CommitGroup:
    """Applies changes to the records read from the store; skips changes that are stored already.

    Args:
        changes: The changes, in order.
        records: The existing records of their messages, by message id.

    Raises:
        RecordRuleError: A change is not valid in the state of its record.
    """
    group = CommitGroup()
    for index, change in enumerate(changes):
        stored = records.get(change.message_id)
        record = group.after.get(change.message_id, stored)
        if record is not None:
            status = state_machine.resolve_commit(change, record)
            if status is state_machine.CommitStatus.APPLIED:
                continue  # stored by an earlier, uncertain commit
            if status is state_machine.CommitStatus.ID_IN_USE:
                group.ids_in_use[index] = record
                continue
        after = state_machine.apply(record, change)
        group.before.setdefault(change.message_id, stored)
        group.after[change.message_id] = after
        has_attempt = change.kind not in (ChangeKind.ADMIT, ChangeKind.REPORT) and after.attempts
        if has_attempt:
            group.attempts[change.message_id, after.admission_number, after.attempts] = AttemptRow(
                change.message_id,
                after.admission_number,
                after.attempts,
                after.host,
                after.attempt_started_at,
                after.result,
                after.result_at,
            )
    return group
