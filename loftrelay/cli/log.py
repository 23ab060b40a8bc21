"""Log of a long-running command on standard error, with a rate limit."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_PERIOD = 200
PERIOD_S = 10.0


class LogRateLimit(logging.Filter):
    """Drops and counts lines over MAX_LINES_PER_PERIOD, so that a recurring fault does not fill the disk."""

    def __init__(self) -> None:
        super().__init__()
        self.period_start = 0.0
        self.line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether to write the record."""
        now = time.monotonic()
        if now - self.period_start > PERIOD_S:
            if self.line_count > MAX_LINES_PER_PERIOD:
                dropped = self.line_count - MAX_LINES_PER_PERIOD
                print(
                    f"log: {dropped} lines dropped, more than {MAX_LINES_PER_PERIOD} in {PERIOD_S:g} s",
                    file=sys.stderr,
                )
            self.period_start, self.line_count = now, 0
        self.line_count += 1
        return bool(super().filter(record)) and self.line_count <= MAX_LINES_PER_PERIOD


def configure_logging() -> None:
    """Configures logging to standard error, from level INFO."""
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s: %(message)s", handlers=[handler])
