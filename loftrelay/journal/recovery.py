"""Reads the records of a journal's segments into its index, continuing where an earlier read ended."""

from __future__ import annotations

import logging
import os

from loftrelay.journal.index import JournalIndex
from loftrelay.journal.records import read_records
from loftrelay.journal.segments import Segment, SegmentFiles

log = logging.getLogger(__name__)


def read_segments(files: SegmentFiles, index: JournalIndex, is_read_only: bool) -> None:
    """Applies all records that have not been read before, segment by segment.

    Args:
        files: the segments; the size of each is the offset up to which it was read, and is updated.
        index: the index to which the records are applied.
        is_read_only: whether another process owns the journal. Otherwise a truncated record at the end of a
            segment, left by a process that exited during a write, is cut off.

    Raises:
        OSError: a segment can't be read. FileNotFoundError: its owner has deleted it meanwhile.
    """
    files.folder.mkdir(parents=True, exist_ok=True)
    for number, path in files.paths_on_disk().items():
        segment = files.segments.setdefault(number, Segment(path))
        files.current_number = number
        start = segment.size
        with path.open("rb") as file:
            unread = os.fstat(file.fileno()).st_size - start
            file.seek(start)
            for record, end in read_records(file, unread):
                if record is not None:
                    index.apply(record, number, start + end - segment.size)
                segment.size = start + end
        files.record_bytes += segment.size - start
        if segment.size < start + unread and not is_read_only:
            log.warning(
                "journal segment %s ends with an incomplete or damaged record; truncating at byte %d of %d",
                path.name,
                segment.size,
                start + unread,
            )
            os.truncate(path, segment.size)
