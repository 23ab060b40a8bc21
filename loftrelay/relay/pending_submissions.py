"""First messages that wait until their destination is known: unanswered, and in no journal.

It does no input or output.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loftrelay.relay.message import Held

Answer = Callable[[int, int], None]  # a status, and when to come back (ms)


@dataclass(frozen=True, slots=True)
class Parked:
    held: Held
    answer: Answer
    ends: float  # its time, in the loop's seconds


class Parking:
    def __init__(self) -> None:
        self.at: dict[int, dict[str, Parked]] = {}  # destination -> by message, in their order
        self.where: dict[str, int] = {}  # message -> its destination

    def __len__(self) -> int:
        return len(self.where)

    def __contains__(self, message: str) -> bool:
        return message in self.where

    def add(self, parked: Parked) -> bool:
        """Whether it is the first of its destination."""
        held = parked.held
        first = held.destination not in self.at
        self.at.setdefault(held.destination, {})[held.id] = parked
        self.where[held.id] = held.destination
        return first

    def drop(self, message: str) -> None:
        """Its client went."""
        if (destination := self.where.pop(message, None)) is not None:
            del self.at[destination][message]
            if not self.at[destination]:
                del self.at[destination]

    def take(self, destination: int) -> list[Parked]:
        """All of one destination; none is parked any more."""
        parked = list(self.at.pop(destination, {}).values())
        for one in parked:
            del self.where[one.held.id]
        return parked

    def take_all(self) -> list[Parked]:
        return [one for destination in list(self.at) for one in self.take(destination)]
