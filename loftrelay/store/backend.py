"""What a back end of the record does, and how it fails. Its calls block: a thread of their own makes them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from loftrelay.store.state_machine import Answer, Change, Entry


class StoreError(Exception):
    """One plain line for the operator."""


class Unavailable(StoreError):
    """Nothing of the call was stored; it may succeed later."""


class Ambiguous(StoreError):
    """Whether the commit took place is not known: read back."""


class Unusable(StoreError):
    """It will not get better by itself: a newer schema, no database, no permission."""


@dataclass(frozen=True, slots=True)
class Query:
    """Which records; None leaves a field open. Times are those of taking on, `until` is exclusive."""

    class_name: str | None = None
    tenant: str | None = None
    answer: Answer | None = None
    since: int | None = None
    until: int | None = None
    unfinished: bool = False  # only those whose end is not told
    limit: int | None = None


class Store(Protocol):
    """One database. Raises StoreError, in all calls."""

    def commit(self, changes: Sequence[Change]) -> dict[int, Entry]:
        """Stores all in one transaction. Gives, by place, the records that kept a change from being applied:
        for a TAKE the one that has its id; the rest is stored all the same.
        """
        ...

    def read(self, messages: Sequence[str]) -> dict[str, Entry]: ...
    def select(self, query: Query) -> Iterator[Entry]: ...

    def prune(self, before: int, most: int) -> int:
        """Deletes records that were told before, the oldest first, so many at the most. Gives how many."""
        ...

    def verify(self) -> list[str]:
        """What is wrong in the database, in plain lines."""
        ...

    def close(self) -> None: ...
