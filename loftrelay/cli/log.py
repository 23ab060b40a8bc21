"""The log of a long-running command: standard error, with a limit on lines."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES = 200  # in each period
PERIOD_S = 10.0


class LogRateLimit(logging.Filter):
    """Drops and counts lines beyond `MAX_LINES` in a period: a fault that recurs must not fill a disk."""

    def __init__(self) -> None:
        super().__init__()
        self.period_start = 0.0
        self.lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record is to be written."""
        now = time.monotonic()
        if now - self.period_start > PERIOD_S:
            if self.lines > MAX_LINES:
                print(f"{self.lines - MAX_LINES} lines left out", file=sys.stderr)
            self.period_start, self.lines = now, 0
        self.lines += 1
        return bool(super().filter(record)) and self.lines <= MAX_LINES


def configure_logging() -> None:
    """Writes records of level INFO and above to standard error."""
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", handlers=[handler])
