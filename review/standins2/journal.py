"""The file record.txt of a case: one line for each thing that was sent, answered, run or started."""

from __future__ import annotations

import time
from pathlib import Path


class RecordFile:
    """Writes lines with the seconds since the start of the case.

    Attributes:
        broken: One line for each observation that breaks the rule.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.time()
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.time() - self._started_at:8.3f} {text}\n")
        self._file.flush()

    def breaks(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.broken.append(text)
        self.write(f"BROKEN {text}")

    def close(self) -> int:
        """Writes the verdict; returns the exit status of the case."""
        self.write(f"verdict: {f'broken, {len(self.broken)} times' if self.broken else 'held'}")
        self._file.close()
        return 1 if self.broken else 0
