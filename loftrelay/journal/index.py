"""What the records of a journal amount to, in memory: messages, completed messages and uncertain keys.

Each entry knows the segment that holds its last whole record, so that a segment can be dropped once its
entries are written again. Performs no input or output but for the clock that is passed in.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.idempotency import UNCERTAIN_STATUSES
from loftrelay.journal.records import (
    AttemptEnded,
    AttemptStarted,
    CompletionCopied,
    FinalStatusDecided,
    MessageAdmitted,
    MessageCompleted,
    OutcomeDisputed,
    Record,
)
from loftrelay.relay.message import CompletedMessage, Message

STATE_BYTES = 512  # what the later records of one message may add to its copy
MAX_UNCERTAIN_KEYS = 1_000  # the cooldown of a key takes parts of a second: far fewer are in one at once


class Location(NamedTuple):
    """The segment that holds an entry, and the bytes that a copy of it may take."""

    segment: int
    size: int


class CompletedEntry(NamedTuple):
    """The answer for a completed message, and where it is stored."""

    answer: CompletedMessage
    location: Location


class CompletedIndex:
    """Answers for completed messages that must not run again, until they expire."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Args: `clock` gives the time in wall-clock microseconds."""
        self.entries: dict[str, CompletedEntry] = {}
        self.by_segment: dict[int, set[str]] = {}
        self.record_bytes = 0
        self._clock = clock
        self._expirations: list[tuple[int, str]] = []  # a heap of expires_at and message id

    def add(self, message_id: str, answer: CompletedMessage, location: Location) -> None:
        """Adds an answer, or replaces the one that is there, unless it has expired."""
        self._remove(message_id)  # an expired one, too: the segment that holds it may be dropped next
        if answer.expires_at <= self._clock():
            return
        self.entries[message_id] = CompletedEntry(answer, location)
        self.by_segment.setdefault(location.segment, set()).add(message_id)
        self.record_bytes += location.size
        heapq.heappush(self._expirations, (answer.expires_at, message_id))

    def answer(self, message_id: str) -> CompletedMessage | None:
        """The answer for a completed message; None for one that is unknown or has expired."""
        self.remove_expired()
        entry = self.entries.get(message_id)
        return entry.answer if entry is not None else None

    def remove_expired(self) -> None:
        """Removes the answers that have expired."""
        now = self._clock()
        while self._expirations and self._expirations[0][0] <= now:
            _, message_id = heapq.heappop(self._expirations)
            entry = self.entries.get(message_id)
            if entry is not None and entry.answer.expires_at <= now:
                self._remove(message_id)

    def _remove(self, message_id: str) -> None:
        entry = self.entries.pop(message_id, None)
        if entry is not None:
            self.record_bytes -= entry.location.size
            self.by_segment[entry.location.segment].discard(message_id)


class MessageIndex:
    """Messages that are not completed, and keys whose last attempt may still run."""

    def __init__(self) -> None:
        self.messages: dict[str, Message] = {}
        self.uncertain_keys: dict[
            str, int
        ] = {}  # key -> when an attempt ended that may still run, in that order
        self.locations: dict[str, Location] = {}
        self.by_segment: dict[int, dict[str, None]] = {}  # in the order of their records
        self.record_bytes = 0
        self.last_sequence = 0

    def add(self, message: Message, location: Location) -> None:
        """Adds a message, or replaces it where its record was written again."""
        self._forget_location(message.id)
        self.messages[message.id] = message
        self.locations[message.id] = location
        self.by_segment.setdefault(location.segment, {})[message.id] = None
        self.record_bytes += location.size
        self.last_sequence = max(self.last_sequence, message.sequence)

    def remove(self, message_id: str) -> None:
        """Removes a message that is completed."""
        del self.messages[message_id]
        self._forget_location(message_id)

    def attempt_ended(self, message: Message, record: AttemptEnded) -> None:
        """Applies the outcome of an attempt, which may make the ordering key of its message uncertain."""
        message.attempts = record.attempts
        if record.status in UNCERTAIN_STATUSES:
            if message.first_attempt_at is None:
                message.first_attempt_at = message.attempt_started_at
                message.first_attempt_host = message.attempt_host
            if record.status is not AttemptStatus.ERROR and message.ordering_key is not None:
                self._mark_uncertain(message.ordering_key, record.ended_at)
        message.attempt_started_at = message.attempt_host = None

    def _mark_uncertain(self, ordering_key: str, ended_at: int) -> None:
        self.uncertain_keys.pop(
            ordering_key, None
        )  # in the order of time, so that the oldest is dropped first
        self.uncertain_keys[ordering_key] = ended_at
        if len(self.uncertain_keys) > MAX_UNCERTAIN_KEYS:
            del self.uncertain_keys[next(iter(self.uncertain_keys))]

    def _forget_location(self, message_id: str) -> None:
        location = self.locations.pop(message_id, None)
        if location is not None:
            self.record_bytes -= location.size
            self.by_segment[location.segment].pop(message_id, None)


class JournalIndex:
    """The state that a journal's records lead to. Records take effect here alone, written or read."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Args: `clock` gives the time in wall-clock microseconds."""
        self.open = MessageIndex()
        self.completed = CompletedIndex(clock)

    @property
    def live_bytes(self) -> int:
        """What copies of all entries would take: the part of the journal that can't be dropped."""
        return self.open.record_bytes + self.completed.record_bytes

    def apply(self, record: Record, segment: int, size: int) -> None:
        """Applies a record.

        Args:
            record: What was written or read.
            segment: The number of the segment that holds it.
            size: Its bytes there; 0 where a full disk took nothing of it.
        """
        if isinstance(record, MessageAdmitted):
            self.open.add(record.message, Location(segment, size + STATE_BYTES))
            return
        if isinstance(record, MessageCompleted | CompletionCopied) and record.answer is not None:
            self.completed.add(record.message_id, record.answer, Location(segment, size))
        message = self.open.messages.get(record.message_id)
        if message is None:
            return  # completed in the same segment, which was dropped
        match record:
            case AttemptStarted():
                message.attempts = record.attempts
                message.attempt_started_at, message.attempt_host = record.started_at, record.host
            case AttemptEnded():
                self.open.attempt_ended(message, record)
            case OutcomeDisputed():
                if message.first_attempt_at is None:
                    message.first_attempt_at, message.first_attempt_host = record.started_at, record.host
            case FinalStatusDecided():
                message.final_status, message.body = record.final_status, b""
            case MessageCompleted():
                self.open.remove(message.id)
