"""Interface of a back end of the store of record, and its errors. Its calls block."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from loftrelay.store.state_machine import Change, MessageRecord, StoredFinalStatus


class StoreError(Exception):
    """A failure of the store; the message is one line for the operator."""


class StoreUnavailableError(StoreError):
    """The call failed and stored nothing; it may succeed later."""


class CommitUncertainError(StoreError):
    """Whether the commit took place is unknown; reading the records back shows it."""


class StoreUnusableError(StoreError):
    """The store can't be used until the operator acts: newer schema, no database, no permission."""


@dataclass(frozen=True, slots=True)
class RecordQuery:
    """Filter of records; None: any value.

    Attributes:
        class_name: Message class.
        tenant: Tenant.
        final_status: Final status.
        since: Earliest admission, in microseconds since 1970 UTC.
        until: End of the time of admission, exclusive, in microseconds since 1970 UTC.
        unfinished: Only records whose final status is not reported.
        limit: Maximum number of records.
    """

    class_name: str | None = None
    tenant: str | None = None
    final_status: StoredFinalStatus | None = None
    since: int | None = None
    until: int | None = None
    unfinished: bool = False
    limit: int | None = None


class StoreBackend(Protocol):
    """One database. All calls raise StoreError."""

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        """Stores changes in one transaction.

        Returns:
            For each admission that was not applied because its id is in use: its index in `changes`, and the
            record that has the id. All other changes are stored.

        Raises:
            RecordRuleError: A change is not valid; nothing is stored.
            StoreUnavailableError: Nothing is stored.
            CommitUncertainError: The changes may be stored.
            StoreUnusableError: Nothing is stored.
        """

    def read(self, message_ids: Sequence[str]) -> dict[str, MessageRecord]:
        """Returns the existing records of these messages, by message id."""

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        """Yields the records that match a query, the oldest admission first."""

    def prune(self, before: int, max_rows: int) -> int:
        """Deletes at most `max_rows` records reported before a time; returns the number deleted."""

    def verify(self) -> list[str]:
        """Returns the inconsistencies in the database, one line each."""

    def close(self) -> None:
        """Closes the database."""
