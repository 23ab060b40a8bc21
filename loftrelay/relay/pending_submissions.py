"""First messages that wait until their destination is known: unanswered, and in no journal.

It does no input or output.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loftrelay.relay.message import Message

Answer = Callable[[int, int], None]  # a status, and when to come back (ms)


@dataclass(frozen=True, slots=True)
class PendingSubmission:
    held: Message
    answer: Answer
    ends: float  # its time, in the loop's seconds


class PendingSubmissions:
    def __init__(self) -> None:
        self.by_destination: dict[
            int, dict[str, PendingSubmission]
        ] = {}  # destination -> by message, in their order
        self.destinations: dict[str, int] = {}  # message -> its destination

    def __len__(self) -> int:
        return len(self.destinations)

    def __contains__(self, message: str) -> bool:
        return message in self.destinations

    def add(self, parked: PendingSubmission) -> bool:
        """Whether it is the first of its destination."""
        held = parked.held
        first = held.destination not in self.by_destination
        self.by_destination.setdefault(held.destination, {})[held.id] = parked
        self.destinations[held.id] = held.destination
        return first

    def cancel(self, message: str) -> None:
        """Its client went."""
        if (destination := self.destinations.pop(message, None)) is not None:
            del self.by_destination[destination][message]
            if not self.by_destination[destination]:
                del self.by_destination[destination]

    def take(self, destination: int) -> list[PendingSubmission]:
        """All of one destination; none is parked any more."""
        parked = list(self.by_destination.pop(destination, {}).values())
        for one in parked:
            del self.destinations[one.held.id]
        return parked

    def take_all(self) -> list[PendingSubmission]:
        return [one for destination in list(self.by_destination) for one in self.take(destination)]
