"""In-memory state that results from the records of a journal: open and completed messages, uncertain keys.

Each entry refers to the segment with its last complete record, so that a segment can be deleted once its
entries are written again. Does no input or output, apart from reading the clock that is passed in.
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
    StoreAwaited,
    StoreConfirmed,
)
from loftrelay.relay.message import CompletedMessage, Message

STATE_BYTES = 512  # most bytes that the later records of a message add to its copy
MAX_UNCERTAIN_KEYS = 1_000  # a cooldown takes less than a second, so far fewer keys have one at the same time

_COMPLETION_RECORDS = (MessageCompleted, CompletionCopied)


class Location(NamedTuple):
    """The segment that holds an entry, and the most bytes that a copy of the entry takes."""

    segment: int
    size: int


class CompletedEntry(NamedTuple):
    """A completed message, and where its record is stored."""

    message: CompletedMessage
    location: Location


class CompletedIndex:
    """Completed messages that must not run again, by message id, until they expire."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Creates an empty index; `clock` returns the time in wall-clock microseconds."""
        self.entries: dict[str, CompletedEntry] = {}
        self.by_segment: dict[int, set[str]] = {}
        self.record_bytes = 0
        self._clock = clock
        self._expirations: list[tuple[int, str]] = []  # a heap of expires_at and message id

    def add(self, message_id: str, completed: CompletedMessage, location: Location) -> None:
        """Adds a completed message in place of an earlier entry; an expired one only removes that entry."""
        # Also for an expired message, because the segment of the earlier entry may be deleted next.
        self._remove(message_id)
        if completed.expires_at <= self._clock():
            return
        self.entries[message_id] = CompletedEntry(completed, location)
        self.by_segment.setdefault(location.segment, set()).add(message_id)
        self.record_bytes += location.size
        heapq.heappush(self._expirations, (completed.expires_at, message_id))

    def get(self, message_id: str) -> CompletedMessage | None:
        """Returns a completed message; None if it is unknown or has expired."""
        self.remove_expired()
        entry = self.entries.get(message_id)
        return entry.message if entry is not None else None

    def remove_expired(self) -> None:
        """Removes the entries that have expired."""
        now = self._clock()
        while self._expirations and self._expirations[0][0] <= now:
            _, message_id = heapq.heappop(self._expirations)
            entry = self.entries.get(message_id)
            if entry is not None and entry.message.expires_at <= now:
                self._remove(message_id)

    def _remove(self, message_id: str) -> None:
        entry = self.entries.pop(message_id, None)
        if entry is not None:
            self.record_bytes -= entry.location.size
            self.by_segment[entry.location.segment].discard(message_id)


class MessageIndex:
    """Open messages, and ordering keys whose last attempt may still be running."""

    def __init__(self) -> None:
        self.messages: dict[str, Message] = {}
        # Ordering key -> when an attempt was given up that may still be running (wall-clock microseconds),
        # oldest first.
        self.uncertain_keys: dict[str, int] = {}
        self.locations: dict[str, Location] = {}
        # Segment number -> ids of its messages, in the order of their records.
        self.by_segment: dict[int, dict[str, None]] = {}
        self.record_bytes = 0
        self.last_sequence = 0

    def add(self, message: Message, location: Location) -> None:
        """Adds a message, or replaces it if its record was written again."""
        self._remove_location(message.id)
        self.messages[message.id] = message
        self.locations[message.id] = location
        self.by_segment.setdefault(location.segment, {})[message.id] = None
        self.record_bytes += location.size
        self.last_sequence = max(self.last_sequence, message.sequence)

    def remove(self, message_id: str) -> None:
        """Removes a completed message."""
        del self.messages[message_id]
        self._remove_location(message_id)

    def attempt_ended(self, message: Message, record: AttemptEnded) -> None:
        """Applies the result of an attempt, which may make the ordering key of its message uncertain."""
        message.attempts = record.attempts
        if record.status in UNCERTAIN_STATUSES:
            if message.first_uncertain_attempt_at is None:
                message.first_uncertain_attempt_at = message.attempt_started_at
                message.first_uncertain_attempt_host = message.attempt_host
            if record.status is not AttemptStatus.ERROR and message.ordering_key is not None:
                self._mark_uncertain(message.ordering_key, record.ended_at)
        message.attempt_started_at = message.attempt_host = None

    def _mark_uncertain(self, ordering_key: str, ended_at: int) -> None:
        self.uncertain_keys.pop(ordering_key, None)  # moves it to the end, as the oldest key is removed first
        self.uncertain_keys[ordering_key] = ended_at
        if len(self.uncertain_keys) > MAX_UNCERTAIN_KEYS:
            del self.uncertain_keys[next(iter(self.uncertain_keys))]

    def _remove_location(self, message_id: str) -> None:
        location = self.locations.pop(message_id, None)
        if location is not None:
            self.record_bytes -= location.size
            self.by_segment[location.segment].pop(message_id, None)


class JournalIndex:
    """The state that results from a journal's records; each record, written or read, is applied only here."""

    def __init__(self, clock: Callable[[], int]) -> None:
        """Creates an empty index; `clock` returns the time in wall-clock microseconds."""
        self.open_messages = MessageIndex()
        self.completed = CompletedIndex(clock)

    @property
    def live_bytes(self) -> int:
        """Bytes that copies of all entries would take: the part of the journal that compaction can't free."""
        return self.open_messages.record_bytes + self.completed.record_bytes

    def apply(self, record: Record, segment: int, size: int) -> None:
        """Applies a record.

        Args:
            record: the record that was written or read.
            segment: number of the segment that holds it.
            size: its size there in bytes; 0 if it could not be written because the disk is full.
        """
        if isinstance(record, MessageAdmitted):
            self.open_messages.add(record.message, Location(segment, size + STATE_BYTES))
            return
        if isinstance(record, _COMPLETION_RECORDS) and record.completed is not None:
            self.completed.add(record.message_id, record.completed, Location(segment, size))
        message = self.open_messages.messages.get(record.message_id)
        if message is None:
            return  # it is complete, and the segment with its admission has been deleted
        self._apply_to_message(message, record)

    def _apply_to_message(self, message: Message, record: Record) -> None:
        match record:
            case StoreAwaited():
                message.awaits_store = True
            case StoreConfirmed():
                message.awaits_store = False
            case AttemptStarted():
                message.attempts = record.attempts
                message.attempt_started_at, message.attempt_host = record.started_at, record.host
            case AttemptEnded():
                self.open_messages.attempt_ended(message, record)
            case OutcomeDisputed():
                if message.first_uncertain_attempt_at is None:
                    message.first_uncertain_attempt_at, message.first_uncertain_attempt_host = (
                        record.started_at,
                        record.host,
                    )
            case FinalStatusDecided():
                message.final_status, message.body = record.final_status, b""
            case MessageCompleted():
                self.open_messages.remove(message.id)
