"""The record of a run: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start of the run, and keeps them in memory."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.lines: list[str] = []

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Writes one line."""
        line = f"{self.now():8.3f} {text}"
        self.lines.append(line)
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
