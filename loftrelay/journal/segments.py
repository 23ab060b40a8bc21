"""The files of a journal: append-only segments, numbered in their order, within a budget of disk space."""

from __future__ import annotations

import contextlib
import logging
import os
from dataclasses import dataclass
from pathlib import Path

from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

BLOCK_BYTES = 512  # a file counts in whole blocks
SEGMENTS_IN_BUDGET = 16  # a segment is closed once it holds this fraction of the budget


@dataclass(slots=True)
class Segment:
    """One file. `size`: bytes of it that hold whole records, as far as they were written or read."""

    path: Path
    size: int = 0


class SegmentFiles:
    """All segments in a folder. The one with the highest number is appended to.

    Nothing is synced to the disk: what is written outlasts the process, not a loss of power.
    """

    def __init__(self, folder: Path, disk_bytes: int) -> None:
        """Args: `folder` holds the segments; `disk_bytes` is the most that they may take together."""
        self.folder = folder
        self.disk_bytes = disk_bytes
        self.segments: dict[int, Segment] = {}
        self.record_bytes = 0  # in all segments
        self.current_number = 0  # of the latest segment, which is appended to; 0: there is none
        self._descriptor = -1

    def disk_usage(self) -> int:
        """Upper bound of the bytes on the disk: the last block of each file counts as full."""
        return self.record_bytes + BLOCK_BYTES * len(self.segments)

    def append(self, data: bytes) -> int:
        """Appends one encoded record whole, or nothing of it.

        Returns:
            The number of the segment that holds the record.

        Raises:
            JournalFullError: The budget is used up, or the disk takes no more.
        """
        number = self.current_number
        segment = self.segments[number]
        if self.disk_usage() + len(data) + BLOCK_BYTES > self.disk_bytes:
            raise JournalFullError
        try:
            written = os.write(self._descriptor, data)
        except OSError as error:
            log.warning("journal segment %s: write failed: %s", segment.path.name, error)
            written = 0
        if written < len(data):
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, segment.size)
            raise JournalFullError
        segment.size += len(data)
        self.record_bytes += len(data)
        return number

    def rotate_if_full(self) -> None:
        """Begins a new segment when the current one has its share of the budget."""
        if self.segments[self.current_number].size > self.disk_bytes // SEGMENTS_IN_BUDGET:
            with contextlib.suppress(OSError):  # no room for another file: the segment grows on
                self.begin_segment()

    def begin_segment(self) -> None:
        """Begins a new segment. Raises OSError."""
        number = max(self.segments, default=0) + 1
        path = self.folder / f"{number:010d}.log"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        self.close()
        self._descriptor = descriptor
        self.segments[number] = Segment(path)
        self.current_number = number

    def remove(self, number: int) -> None:
        """Deletes a segment. Raises OSError, and the segment stays."""
        self.segments[number].path.unlink()
        self.record_bytes -= self.segments.pop(number).size

    def paths_on_disk(self) -> dict[int, Path]:
        """Path of each segment that is in the folder now, by number, in ascending order."""
        return {int(path.stem): path for path in sorted(self.folder.glob("[0-9]" * 10 + ".log"))}

    def close(self) -> None:
        """Closes the current segment: nothing can be appended."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
