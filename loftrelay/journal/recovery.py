"""Reads the records of a journal's segments back into its index, from the beginning or from where it was."""

from __future__ import annotations

import logging
import os
from pathlib import Path

from loftrelay.journal.index import JournalIndex
from loftrelay.journal.records import decode_records
from loftrelay.journal.segments import Segment, SegmentFiles

log = logging.getLogger(__name__)


def read_segments(files: SegmentFiles, index: JournalIndex, is_read_only: bool) -> None:
    """Applies all records that were not read before, segment by segment.

    Args:
        files: The segments; their sizes say up to where each was read, and are brought up to date.
        index: Where the records are applied.
        is_read_only: Whether the journal belongs to another process. If not, a torn tail, which a process
            leaves that ends in the midst of a write, is cut off.

    Raises:
        OSError: A segment can't be read. FileNotFoundError: its owner has dropped it meanwhile.
    """
    files.folder.mkdir(parents=True, exist_ok=True)
    for number, path in files.paths_on_disk().items():
        segment = files.segments.setdefault(number, Segment(path))
        files.current_number = number
        data = _read_from(path, segment.size)
        start = segment.size
        for record, end in decode_records(data):
            if record is not None:
                index.apply(record, number, start + end - segment.size)
            segment.size = start + end
        files.record_bytes += segment.size - start
        if segment.size < start + len(data) and not is_read_only:
            log.warning(
                "journal segment %s: torn record, cut at byte %d of %d",
                path.name,
                segment.size,
                start + len(data),
            )
            os.truncate(path, segment.size)


def _read_from(path: Path, offset: int) -> bytes:
    with path.open("rb") as file:
        file.seek(offset)
        return file.read()
