"""The journal of a relay: append-only records in segments, in the folder RELAY_STATE.

A message is stored whole on its admission, and later records tell what happens to it. Ids of completed
messages that must not run again are stored, too, with their answers, until these expire. `segments` holds the
files, `records` their format, `index` the state in memory, `compaction` and `recovery` what their names say.
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
    encode_record,
)
from loftrelay.journal.recovery import read_segments
from loftrelay.journal.segments import SegmentFiles
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import CompletedMessage, Message
from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)


class Journal:
    """The messages that are not completed, in memory and on disk alike."""

    def __init__(
        self,
        folder: Path,
        disk_bytes: int,
        is_read_only: bool = False,
        clock: Callable[[], int] = wall_clock,
    ) -> None:
        """Reads the journal and, as its owner, writes the live part of it anew.

        Args:
            folder: Where the segments are.
            disk_bytes: The most that they may take together.
            is_read_only: Whether another process owns it: it is read, and not touched before
                `take_ownership`.
            clock: The time in wall-clock microseconds.

        Raises:
            OSError: The folder can't be used.
        """
        self.folder = folder
        self.disk_bytes = disk_bytes
        self._clock = clock
        self._read(is_read_only)
        if not is_read_only:
            old_segments = len(self.files.segments)
            self.files.begin_segment()
            self._compactor.drop_oldest(old_segments)

    def completed(self, message: str) -> CompletedMessage | None:
        """The answer for a completed message, until it expires."""
        return self.index.completed.answer(message)

    def disk_usage(self) -> int:
        """Upper bound of the bytes that the segments take on the disk."""
        return self.files.disk_usage()

    def catch_up(self) -> None:
        """Reads what the owner has written since. The owner must not write meanwhile.

        Raises:
            OSError: The folder can't be read.
        """
        if set(self.files.segments) <= set(self.files.paths_on_disk()):
            read_segments(self.files, self.index, is_read_only=True)
        else:  # a dropped segment may have held the completion of a message that was read before
            self._read(is_read_only=True)

    def take_ownership(self) -> None:
        """Makes this process the owner of a journal that it has read. Raises OSError."""
        self.files.begin_segment()

    def close(self) -> None:
        """Closes the current segment: nothing more can be written."""
        self.files.close()

    def admit(self, held: Message) -> None:
        """Stores a new message and gives it its sequence number.

        Raises:
            JournalFullError: Nothing is stored.
        """
        self.index.open.last_sequence += 1
        held.sequence = self.index.open.last_sequence
        self.index.completed.remove_expired()
        # Half of the budget is for live entries; the other half for later records, and for copies.
        if self.index.live_bytes + len(held.body) + 2 * STATE_BYTES > self.disk_bytes // 2:
            raise JournalFullError
        before = self.files.record_bytes
        self._write(MessageAdmitted.copy_of(held))
        self._compactor.reclaim_space(self.files.record_bytes - before)

    def record_attempt(self, held: Message, host: str) -> None:
        """Stores that an attempt starts; to be called before its first byte is sent.

        Raises:
            JournalFullError: Nothing is stored, and the attempt must not be made.
        """
        self._write(AttemptStarted(held.id, held.attempts, self._clock(), host))

    def record_attempt_result(self, held: Message, result: AttemptStatus) -> None:
        """Stores the outcome of an attempt that was no delivery."""
        self._write_or_apply(AttemptEnded(held.id, held.attempts, self._clock(), result))

    def record_dispute(self, held: Message, host: str, ran_at: int) -> None:
        """Stores that a message may have run, though the outcome of its attempt had ruled that out.

        Args:
            held: The message.
            host: Where it may have run.
            ran_at: When that attempt started, in wall-clock microseconds.
        """
        self._write_or_apply(OutcomeDisputed(held.id, ran_at, host))

    def record_final_status(self, message: str, notice: dict[str, Any]) -> None:
        """Stores the final status of a message, which is completed once the platform has received it."""
        self._write_or_apply(FinalStatusDecided(message, notice))

    def complete(self, message: str, status: int = 0) -> None:
        """Stores that nothing more is owed for a message.

        Args:
            message: Its id. An unknown one is ignored.
            status: The HTTP status by which its id is answered until its deadline; 0: the id is forgotten.
        """
        if (held := self.messages.get(message)) is None:
            return
        answer = CompletedMessage(status, held.deadline) if status else None
        self._write_or_apply(MessageCompleted(message, answer))

    def _read(self, is_read_only: bool) -> None:
        self.files = SegmentFiles(self.folder, self.disk_bytes)
        self.index = JournalIndex(self._clock)
        self.messages = self.index.open.messages  # id -> message, in the order of their records
        self.uncertain_keys = self.index.open.uncertain_keys  # ordering key -> wall-clock microseconds
        self._compactor = Compactor(self.files, self.index, self._write)
        read_segments(self.files, self.index, is_read_only)

    def _write(self, record: Record) -> None:
        data = encode_record(record)
        segment = self.files.append(data)
        self.index.apply(record, segment, len(data))
        self.files.rotate_if_full()

    def _write_or_apply(self, record: Record) -> None:
        """Stores a record that can't be refused: on a full disk, it takes effect in memory alone."""
        before = self.files.record_bytes
        try:
            self._write(record)
        except JournalFullError:
            log.warning("journal is full: a record of kind %r is not stored", record.KIND)
            self.index.apply(record, self.files.current_number, 0)
        self._compactor.reclaim_space(self.files.record_bytes - before)
