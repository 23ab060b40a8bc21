"""Submissions that wait for their destination to be resolved.

Their clients have no response yet, and the journal does not hold them. Does no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.relay.message import Message
from loftrelay.relay.message_state import ResponseCallback


@dataclass(frozen=True, slots=True)
class PendingSubmission:
    """A message whose destination is not resolved yet."""

    message: Message
    respond: ResponseCallback
    loop_deadline: float  # deadline of the message, in seconds of the event loop's clock


class PendingSubmissions:
    """All pending submissions of one relay, in order of arrival."""

    def __init__(self) -> None:
        self.by_destination: dict[int, dict[str, PendingSubmission]] = {}
        self.destinations: dict[str, int] = {}  # by message id

    def __len__(self) -> int:
        return len(self.destinations)

    def __contains__(self, message_id: str) -> bool:
        return message_id in self.destinations

    def add(self, submission: PendingSubmission) -> bool:
        """Adds a submission; returns whether it is the first for its destination."""
        message = submission.message
        is_first = message.destination not in self.by_destination
        self.by_destination.setdefault(message.destination, {})[message.id] = submission
        self.destinations[message.id] = message.destination
        return is_first

    def cancel(self, message_id: str) -> None:
        """Removes a submission whose client has disconnected; an unknown id is ignored."""
        destination = self.destinations.pop(message_id, None)
        if destination is None:
            return
        del self.by_destination[destination][message_id]
        if not self.by_destination[destination]:
            del self.by_destination[destination]

    def take(self, destination: int) -> list[PendingSubmission]:
        """Removes and returns all submissions for a destination, in order of arrival."""
        submissions = list(self.by_destination.pop(destination, {}).values())
        for submission in submissions:
            del self.destinations[submission.message.id]
        return submissions

    def take_all(self) -> list[PendingSubmission]:
        """Removes and returns all submissions, grouped by destination."""
        return [
            submission for destination in list(self.by_destination) for submission in self.take(destination)
        ]
