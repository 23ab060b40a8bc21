"""Time units of the scheduler. All times and durations are integer microseconds."""

from __future__ import annotations

SECOND_US = 1_000_000
NEVER = 1 << 62  # a time that is never reached
