"""The journal of a relay: append-only records in segment files, in the folder RELAY_STATE.

All fields of a message are stored on its admission; later records describe its attempts and its end. Ids of
completed messages that must not run again are also stored, with the response status, until they expire.

segments      the files
records       the record format
index         the state in memory
compaction    frees disk space
recovery      reads the records back
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from pathlib import Path
from typing import Any

from loftrelay.decisions.events import AttemptStatus
from loftrelay.journal.compaction import Compactor
from loftrelay.journal.index import STATE_BYTES, JournalIndex
from loftrelay.journal.records import (
    AttemptEnded,
    AttemptStarted,
    FinalStatusDecided,
    MessageAdmitted,
    MessageCompleted,
    OutcomeDisputed,
    Record,
    StoreConfirmed,
    encode_record,
)
from loftrelay.journal.recovery import read_segments
from loftrelay.journal.segments import SegmentFiles
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import CompletedMessage, Message
from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

# Memory of an open message beside its record, in all parts of the relay, and of a remembered id.
MESSAGE_BYTES = 3 << 10
COMPLETED_BYTES = 512


class Journal:
    """The open messages of a relay, in memory and on disk."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        is_read_only: bool = False,
        clock: Callable[[], int] = wall_clock,
    ) -> None:
        """Reads the journal and, as its owner, copies all live entries to a new segment.

        Args:
            folder: the folder with the segments.
            disk_bytes: the most bytes that all segments may take together.
            is_read_only: whether another process owns the journal; if so, nothing is written before
                `take_ownership`.
            clock: returns the time in wall-clock microseconds.

        Raises:
            OSError: the folder can't be used.
        """
        self.folder = folder
        self.disk_bytes = disk_bytes
        self._clock = clock
        self._read(is_read_only)
        if not is_read_only:
            old_segments = len(self.files.segments)
            self.files.begin_segment()
            self._compactor.drop_oldest(old_segments)

    def completed(self, message_id: str) -> CompletedMessage | None:
        """Returns the result of a completed message; None if its id is unknown or has expired."""
        return self.index.completed.get(message_id)

    @property
    def memory_bytes(self) -> int:
        """Memory of the open messages, and of the ids that are remembered."""
        messages, completed = self.index.open_messages, self.index.completed
        return (
            messages.record_bytes
            + len(messages.messages) * MESSAGE_BYTES
            + len(completed.entries) * COMPLETED_BYTES
        )

    def disk_usage(self) -> int:
        """Returns an upper bound of the bytes that the segments take on the disk."""
        return self.files.disk_usage()

    def catch_up(self) -> None:
        """Reads the records written since the last read. The owner must not write meanwhile.

        Raises:
            OSError: the folder can't be read.
        """
        if set(self.files.segments) <= set(self.files.paths_on_disk()):
            read_segments(self.files, self.index, is_read_only=True)
        else:  # a deleted segment may have contained the completion of a message that was read before
            self._read(is_read_only=True)

    def take_ownership(self) -> None:
        """Makes this process the owner of a journal that it has read.

        Raises:
            OSError: a new segment can't be created.
        """
        self.files.begin_segment()

    def close(self) -> None:
        """Closes the current segment: nothing more can be written."""
        self.files.close()

    def admit(self, message: Message) -> None:
        """Stores a new message and assigns its sequence number.

        Raises:
            JournalFullError: there is no space, and nothing is stored.
        """
        self.index.open_messages.last_sequence += 1
        message.sequence = self.index.open_messages.last_sequence
        self.index.completed.remove_expired()
        # Half of the budget is for live entries, the other half for later records and for copies.
        if self.index.live_bytes + len(message.body) + 2 * STATE_BYTES > self.disk_bytes // 2:
            raise JournalFullError
        bytes_before = self.files.record_bytes
        self._write(MessageAdmitted.copy_of(message))
        self._compactor.reclaim_space(self.files.record_bytes - bytes_before)

    def record_store_confirmed(self, message_id: str) -> None:
        """Stores that the store of record has a message; must be called before its client gets 202.

        Raises:
            JournalFullError: nothing is stored, and the client must not get 202.
        """
        self._write(StoreConfirmed(message_id))

    def reopen(self, message: Message) -> None:
        """Stores a message again that was complete; its fields tell what became of it so far."""
        self._write_or_apply(MessageAdmitted.copy_of(message))

    def record_attempt(self, message: Message, host: str) -> None:
        """Stores the start of an attempt; must be called before its first byte is sent.

        Raises:
            JournalFullError: nothing is stored, and the attempt must not be made.
        """
        self._write(AttemptStarted(message.id, message.attempts, self._clock(), host))

    def record_attempt_result(self, message: Message, status: AttemptStatus) -> None:
        """Stores the result of an attempt that was not a delivery."""
        self._write_or_apply(AttemptEnded(message.id, message.attempts, self._clock(), status))

    def record_dispute(self, message: Message, host: str, sent_at: int) -> None:
        """Stores that a message may have run, although the result of its attempt had ruled that out.

        Args:
            message: the message.
            host: the host on which it may have run.
            sent_at: when that attempt started, in wall-clock microseconds.
        """
        self._write_or_apply(OutcomeDisputed(message.id, sent_at, host))

    def record_final_status(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Stores the final status of a message, which is complete once the platform has received it."""
        self._write_or_apply(FinalStatusDecided(message_id, final_status))

    def complete(self, message_id: str, status: int = 0) -> None:
        """Stores that a message is complete.

        Args:
            message_id: id of the message; an unknown one is ignored.
            status: HTTP status of the response to the same id until its deadline; 0: don't remember the id.
        """
        if (message := self.messages.get(message_id)) is None:
            return
        completed = CompletedMessage(status, message.deadline) if status else None
        self._write_or_apply(MessageCompleted(message_id, completed))

    def _read(self, is_read_only: bool) -> None:
        self.files = SegmentFiles(self.folder, self.disk_bytes)
        self.index = JournalIndex(self._clock)
        # Message id -> message, in the order of their records.
        self.messages = self.index.open_messages.messages
        self.uncertain_keys = self.index.open_messages.uncertain_keys  # see MessageIndex
        self._compactor = Compactor(self.files, self.index, self._write)
        read_segments(self.files, self.index, is_read_only)

    def _write(self, record: Record) -> None:
        data = encode_record(record)
        segment = self.files.append(data)
        self.index.apply(record, segment, len(data))
        self.files.rotate_if_full()

    def _write_or_apply(self, record: Record) -> None:
        """Stores a record that must take effect; if the journal or the disk is full, only in memory."""
        bytes_before = self.files.record_bytes
        try:
            self._write(record)
        except JournalFullError:
            log.warning(
                "journal is full: record of kind %r for message %s applied in memory only",
                record.KIND,
                record.message_id,
            )
            self.index.apply(record, self.files.current_number, 0)
        self._compactor.reclaim_space(self.files.record_bytes - bytes_before)
