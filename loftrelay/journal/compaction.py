"""Compaction of a journal: drops the oldest segments once what they hold of the live state is copied.

Live entries fill at most half of the budget (see `Journal.admit`), so that a pass over all segments always
makes room. A pass is cut into slices beside the records that are written, so that no caller waits for a whole
segment, as long as the room allows.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from loftrelay.journal.index import JournalIndex
from loftrelay.journal.records import CompletionCopied, MessageAdmitted, Record
from loftrelay.journal.segments import SegmentFiles
from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

MIN_SLICE_BYTES = 32 << 10  # copied beside one record, at the least: about a millisecond
SLICE_BYTES_PER_WRITTEN_BYTE = 8
SLICED_ABOVE_FRACTION = 5 / 8  # of the budget in use: segments are dropped in slices
AT_ONCE_ABOVE_FRACTION = 3 / 4  # of the budget in use: all old segments are dropped at once


class Compactor:
    """Drops old segments of a journal."""

    def __init__(self, files: SegmentFiles, index: JournalIndex, write: Callable[[Record], None]) -> None:
        """Args: `write` appends a record and applies it; raises JournalFullError."""
        self._files = files
        self._index = index
        self._write = write

    def reclaim_space(self, written_bytes: int) -> None:
        """Drops what the use of the budget demands, after so many bytes were written."""
        used, budget = self._files.disk_usage(), self._files.disk_bytes
        if used > int(budget * AT_ONCE_ABOVE_FRACTION):
            self.drop_oldest(len(self._files.segments) - 1)
        elif used > int(budget * SLICED_ABOVE_FRACTION) and len(self._files.segments) > 1:
            self.drop_oldest(1, max(MIN_SLICE_BYTES, SLICE_BYTES_PER_WRITTEN_BYTE * written_bytes))

    def drop_oldest(self, count: int, max_copied_bytes: int | None = None) -> None:
        """Drops the oldest segments after their live entries are copied.

        Stops within a segment once the limit is reached: some of its entries are stored twice then, and the
        later record holds. Stops, too, where the disk takes no copy.

        Args:
            count: How many segments.
            max_copied_bytes: Limit of what is copied, checked before each entry; None: no limit.
        """
        limit = None if max_copied_bytes is None else self._files.record_bytes + max_copied_bytes
        for number in sorted(self._files.segments)[:count]:
            try:
                if not self._copy_entries(number, limit):
                    return
                self._files.remove(number)
            except (OSError, JournalFullError) as error:
                log.warning("journal segment %d: can't be dropped: %r", number, error)
                return
            self._index.open.by_segment.pop(number, None)
            self._index.completed.by_segment.pop(number, None)

    def _copy_entries(self, number: int, limit: int | None) -> bool:
        """Writes the live entries of a segment again. Returns False when the limit was reached first."""
        messages = self._index.open.by_segment.get(number, {})
        while messages:  # each write moves its entry to the current segment
            if self._exceeds(limit):
                return False
            message = self._index.open.messages[next(iter(messages))]
            self._write(MessageAdmitted.copy_of(message))
        self._index.completed.remove_expired()
        completed = self._index.completed.by_segment.get(number, set())
        while completed:
            if self._exceeds(limit):
                return False
            message_id = next(iter(completed))
            self._write(CompletionCopied(message_id, self._index.completed.entries[message_id].answer))
        return True

    def _exceeds(self, limit: int | None) -> bool:
        return limit is not None and self._files.record_bytes >= limit
