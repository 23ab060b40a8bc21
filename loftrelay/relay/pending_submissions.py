"""Submissions that wait until their destination is resolved: unanswered, and in no journal.

No input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Answer


@dataclass(frozen=True, slots=True)
class PendingSubmission:
    """One message whose destination is not known yet."""

    message: Message
    answer: Answer
    loop_deadline: float  # seconds of the event loop's clock


class PendingSubmissions:
    """All of one relay, in their order."""

    def __init__(self) -> None:
        self.by_destination: dict[int, dict[str, PendingSubmission]] = {}
        self.destinations: dict[str, int] = {}  # by message

    def __len__(self) -> int:
        return len(self.destinations)

    def __contains__(self, message_id: str) -> bool:
        return message_id in self.destinations

    def add(self, submission: PendingSubmission) -> bool:
        """Adds a submission; returns whether it is the first of its destination."""
        message = submission.message
        is_first = message.destination not in self.by_destination
        self.by_destination.setdefault(message.destination, {})[message.id] = submission
        self.destinations[message.id] = message.destination
        return is_first

    def cancel(self, message_id: str) -> None:
        """Drops a submission whose client has left."""
        destination = self.destinations.pop(message_id, None)
        if destination is None:
            return
        del self.by_destination[destination][message_id]
        if not self.by_destination[destination]:
            del self.by_destination[destination]

    def take(self, destination: int) -> list[PendingSubmission]:
        """Removes and returns all submissions of a destination."""
        submissions = list(self.by_destination.pop(destination, {}).values())
        for submission in submissions:
            del self.destinations[submission.message.id]
        return submissions

    def take_all(self) -> list[PendingSubmission]:
        """Removes and returns all submissions."""
        return [each for destination in list(self.by_destination) for each in self.take(destination)]
