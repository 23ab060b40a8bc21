"""Compaction of a journal: copies the live entries of the oldest segments, then deletes these segments.

Live entries take at most half of the disk budget (see `Journal.admit`), so a pass over all segments always
frees space. A pass is divided into steps of bounded size, taken after records are written, so that no caller
waits for a whole segment to be copied unless space is short.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterator
from itertools import islice

from loftrelay.journal.index import JournalIndex
from loftrelay.journal.records import CompletionCopied, MessageAdmitted, Record
from loftrelay.journal.segments import SegmentFiles
from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

MIN_STEP_BYTES = 32 << 10  # smallest limit of the bytes copied in one step: about a millisecond
STEP_BYTES_PER_WRITTEN_BYTE = 8
STEPWISE_ABOVE_FRACTION = 5 / 8  # of the budget in use: the oldest segment is dropped in steps
CHUNK_ENTRIES = 256  # entries of a segment that are looked up at once
AT_ONCE_ABOVE_FRACTION = 3 / 4  # of the budget in use: all old segments are dropped at once


def _in_chunks(entries: Collection[str]) -> Iterator[str]:
    """Yields each entry; the caller removes it from `entries` before the next.

    The first entry of a set or dict is found by a search past all those that were removed before it, so
    CHUNK_ENTRIES are taken at once.
    """
    while chunk := tuple(islice(entries, CHUNK_ENTRIES)):
        yield from chunk


class Compactor:
    """Drops old segments of a journal."""

    def __init__(self, files: SegmentFiles, index: JournalIndex, write: Callable[[Record], None]) -> None:
        """Creates the compactor of a journal.

        Args:
            files: the segments.
            index: the state in memory.
            write: appends a record and applies it to the index; raises JournalFullError.
        """
        self._files = files
        self._index = index
        self._write = write

    def reclaim_space(self, written_bytes: int) -> None:
        """Drops old segments if disk usage is high.

        Args:
            written_bytes: size of the records that were just written; it determines the size of a step.
        """
        used, budget = self._files.disk_usage(), self._files.disk_bytes
        if used > int(budget * AT_ONCE_ABOVE_FRACTION):
            self.drop_oldest(len(self._files.segments) - 1)
        elif used > int(budget * STEPWISE_ABOVE_FRACTION) and len(self._files.segments) > 1:
            self.drop_oldest(1, max(MIN_STEP_BYTES, STEP_BYTES_PER_WRITTEN_BYTE * written_bytes))

    def drop_oldest(self, count: int, max_copied_bytes: int | None = None) -> None:
        """Copies the live entries of the oldest segments and deletes these segments.

        Stops within a segment once the limit is reached. Some of its entries are then stored twice, and the
        later record is valid. Also stops, with a log line, if a copy can't be written or a file not deleted.

        Args:
            count: number of segments.
            max_copied_bytes: limit of the copied bytes, checked before each entry; None for no limit.
        """
        limit = None if max_copied_bytes is None else self._files.record_bytes + max_copied_bytes
        for number in sorted(self._files.segments)[:count]:
            try:
                if not self._copy_entries(number, limit):
                    return
                self._files.remove(number)
            except (OSError, JournalFullError) as error:
                log.warning(
                    "journal segment %d can't be compacted and deleted, keeping it: %r", number, error
                )
                return
            self._index.open_messages.by_segment.pop(number, None)
            self._index.completed.by_segment.pop(number, None)

    def _copy_entries(self, number: int, limit: int | None) -> bool:
        """Writes the live entries of a segment again; returns False if the limit was reached first."""
        for message_id in _in_chunks(self._index.open_messages.by_segment.get(number, {})):
            if self._exceeds(limit):
                return False
            message = self._index.open_messages.messages[message_id]
            self._write(MessageAdmitted.copy_of(message))
        self._index.completed.remove_expired()
        for message_id in _in_chunks(self._index.completed.by_segment.get(number, set())):
            if self._exceeds(limit):
                return False
            self._write(CompletionCopied(message_id, self._index.completed.entries[message_id].message))
        return True

    def _exceeds(self, limit: int | None) -> bool:
        return limit is not None and self._files.record_bytes >= limit
