"""What a group of changes makes of the records that a store holds, without I/O: for every back end."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from loftrelay.store import state_machine
from loftrelay.store.state_machine import Change, Entry, Kind


@dataclass(frozen=True, slots=True)
class Attempt:
    """One row of the table of attempts."""

    message: str
    run: int
    attempt: int  # from 1
    host: str | None
    intended_at: int | None
    result: str | None
    result_at: int | None

    @property
    def row(self) -> tuple[object, ...]:
        return (
            self.message,
            self.run,
            self.attempt,
            self.host,
            self.intended_at,
            self.result,
            self.result_at,
        )


@dataclass(slots=True)
class Group:
    """Rows to write in one transaction. `before`: each record as it was read, for a guard against others."""

    before: dict[str, Entry | None] = field(default_factory=dict)
    after: dict[str, Entry] = field(default_factory=dict)
    attempts: dict[tuple[str, int, int], Attempt] = field(default_factory=dict)
    kept: dict[int, Entry] = field(
        default_factory=dict
    )  # TAKEs not applied, and the record that has their id


def fold(changes: Sequence[Change], seen: Mapping[str, Entry]) -> Group:
    """Applies a group to the records read. What was stored before is passed over. Raises RuleBroken."""
    group = Group()
    for place, change in enumerate(changes):
        first = seen.get(change.message)
        entry = group.after.get(change.message, first)
        if entry is not None:
            found = state_machine.resolve(change, entry)
            if found is state_machine.Found.APPLIED:
                continue  # stored before, by a commit whose outcome was not known
            if found is state_machine.Found.TAKEN_ELSEWHERE:
                group.kept[place] = entry
                continue
        after = state_machine.apply(entry, change)
        group.before.setdefault(change.message, first)
        group.after[change.message] = after
        tried = change.kind in (Kind.INTEND, Kind.OUTCOME, Kind.END) and after.attempts
        if tried:
            group.attempts[change.message, after.run, after.attempts] = Attempt(
                change.message,
                after.run,
                after.attempts,
                after.host,
                after.intended_at,
                after.result,
                after.result_at,
            )
    return group
