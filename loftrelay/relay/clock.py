"""The wall clock, for times that must hold across restarts."""

from __future__ import annotations

import time


def wall_clock() -> int:
    """Returns the Unix time in microseconds; deadlines and the journal use it."""
    return time.time_ns() // 1000
