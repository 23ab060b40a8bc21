"""What a group of changes makes of the records in a store, for every back end. No input or output."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from loftrelay.store import state_machine
from loftrelay.store.state_machine import Change, ChangeKind, MessageRecord


@dataclass(frozen=True, slots=True)
class AttemptRow:
    """One row of the table of attempts."""

    message_id: str
    admission_number: int
    attempt: int  # from 1
    host: str | None
    started_at: int | None
    result: str | None
    result_at: int | None

    @property
    def row(self) -> tuple[object, ...]:
        """The values of its columns, in their order."""
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
    """Rows to write in one transaction; `before` has the records as read, to detect other writers."""

    before: dict[str, MessageRecord | None] = field(default_factory=dict)
    after: dict[str, MessageRecord] = field(default_factory=dict)
    attempts: dict[tuple[str, int, int], AttemptRow] = field(default_factory=dict)
    ids_in_use: dict[int, MessageRecord] = field(
        default_factory=dict
    )  # by position: admissions not applied, and the record that has the id


def build_group(changes: Sequence[Change], seen: Mapping[str, MessageRecord]) -> CommitGroup:
    """Applies changes to the records read; those that are stored already are skipped.

    Raises:
        RecordRuleError: a change may not follow what is recorded.
    """
    group = CommitGroup()
    for place, change in enumerate(changes):
        first = seen.get(change.message_id)
        entry = group.after.get(change.message_id, first)
        if entry is not None:
            found = state_machine.resolve_commit(change, entry)
            if found is state_machine.CommitStatus.APPLIED:
                continue  # stored before, by a commit whose outcome was not known
            if found is state_machine.CommitStatus.ID_IN_USE:
                group.ids_in_use[place] = entry
                continue
        after = state_machine.apply(entry, change)
        group.before.setdefault(change.message_id, first)
        group.after[change.message_id] = after
        tried = (
            change.kind in (ChangeKind.BEGIN_ATTEMPT, ChangeKind.END_ATTEMPT, ChangeKind.DECIDE)
            and after.attempts
        )
        if tried:
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
