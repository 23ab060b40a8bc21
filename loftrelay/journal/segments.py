"""The segment files of a journal: append-only, numbered in order, within a budget of disk space."""

from __future__ import annotations

import contextlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path

from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

BLOCK_BYTES = 512  # disk usage counts whole blocks
SEGMENTS_IN_BUDGET = 16  # a new segment begins once the current one holds the budget divided by this


@dataclass(slots=True)
class Segment:
    """One segment file."""

    path: Path
    size: int = 0  # bytes of complete records that have been written or read so far


class SegmentFiles:
    """All segments in a folder. Records are appended to the segment with the highest number.

    Writes are not synced to the disk: records survive the end of the process, but not a power failure.
    """

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        """Creates the object without reading the folder.

        Args:
            folder: the folder with the segments.
            disk_bytes: the most bytes that all segments may take together.
        """
        self.folder = folder
        self.disk_bytes = disk_bytes
        self.segments: dict[int, Segment] = {}
        self.record_bytes = 0  # bytes of records in all segments
        self.current_number = 0  # number of the segment that records are appended to; 0: none
        self._descriptor = -1

    def disk_usage(self) -> int:
        """Returns an upper bound of the bytes on the disk: the last block of each file counts as full."""
        return self.record_bytes + BLOCK_BYTES * len(self.segments)

    def append(self, data: bytes) -> int:
        """Appends one encoded record completely, or not at all.

        Returns:
            The number of the segment that holds the record.

        Raises:
            JournalFullError: the budget is used up, or the write failed.
        """
        number = self.current_number
        segment = self.segments[number]
        if self.disk_usage() + len(data) + BLOCK_BYTES > self.disk_bytes:
            raise JournalFullError
        try:
            written = os.write(self._descriptor, data)
        except OSError as error:
            log.warning(
                "journal segment %s: write of %d bytes failed, record not stored: %s",
                segment.path.name,
                len(data),
                error,
            )
            written = 0
        if written < len(data):
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, segment.size)
            raise JournalFullError
        segment.size += len(data)
        self.record_bytes += len(data)
        return number

    def rotate_if_full(self) -> None:
        """Begins a new segment if the current one holds its share of the budget."""
        if self.segments[self.current_number].size > self.disk_bytes // SEGMENTS_IN_BUDGET:
            with contextlib.suppress(OSError):  # no space for another file: the current segment grows
                self.begin_segment()

    def begin_segment(self) -> None:
        """Creates a new segment and makes it the current one.

        Raises:
            OSError: the file can't be created.
        """
        number = max(self.segments, default=0) + 1
        path = self.folder / f"{number:010d}.log"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        self.close()
        self._descriptor = descriptor
        self.segments[number] = Segment(path)
        self.current_number = number

    def remove(self, number: int) -> None:
        """Deletes a segment.

        Raises:
            OSError: the file can't be deleted; the segment stays.
        """
        self.segments[number].path.unlink()
        self.record_bytes -= self.segments.pop(number).size

    def paths_on_disk(self) -> dict[int, Path]:
        """Returns the path of each segment in the folder, by number, in ascending order."""
        return {int(path.stem): path for path in sorted(self.folder.glob("[0-9]" * 10 + ".log"))}

    def close(self) -> None:
        """Closes the current segment; nothing can be appended afterwards."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
