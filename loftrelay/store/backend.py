"""What a back end of the store of record does, and how it fails. Its calls block."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from loftrelay.store.state_machine import Change, MessageRecord, StoredFinalStatus


class StoreError(Exception):
    """A failure of the store, in one line for the operator."""


class StoreUnavailableError(StoreError):
    """Nothing of the call was stored; it may succeed later."""


class CommitUncertainError(StoreError):
    """Whether the commit took place is not known; reading back tells."""


class StoreUnusableError(StoreError):
    """The store can't be used until the operator acts: a newer schema, no database, no permission."""


@dataclass(frozen=True, slots=True)
class RecordQuery:
    """Which records; None leaves a field open. Times are those of admission, `until` is exclusive."""

    class_name: str | None = None
    tenant: str | None = None
    final_status: StoredFinalStatus | None = None
    since: int | None = None
    until: int | None = None
    unfinished: bool = False  # only those that are not reported
    limit: int | None = None


class StoreBackend(Protocol):
    """One database. All calls raise StoreError."""

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Stores changes in one transaction.

        Returns:
            By position, the record that has the id of an admission not applied; the rest is
            stored all the same.
        """

    def read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the records of these messages, where there are any."""

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that a query asks for."""

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes so many records at most that were reported before a time; returns how many."""

    def verify(self) -> list[str]:
        """Returns what is inconsistent in the database, a line each."""

    def close(self) -> None:
        """Closes the database."""
