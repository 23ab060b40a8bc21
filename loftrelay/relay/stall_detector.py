"""Detects stalls of the process and lag of its event loop: what was read or decided before is old then.

No input or output: the caller tells the time, in seconds of a clock that never steps.
"""

from __future__ import annotations

import math

# Ordinary delays of a busy machine are far shorter; clients give up after 0.4 s, and a final status is due
# 0.3 s after the deadline.
STALL_THRESHOLD_S = 0.2
LAG_THRESHOLD_S = 0.05  # from here on lag matters to the deadline of a message
# After a lag: input read for so long may have come meanwhile, since sockets are read after timers have run.
WAKING_S = 0.1
MAX_CLIENT_WAIT_S = 0.4  # a client that is still there has not waited longer


class StallDetector:
    """Watches when what was due has run."""

    def __init__(self) -> None:
        self.next_run_due = math.inf  # when the event loop has to run something
        self.last_check_at = -math.inf
        self.last_stall_at = -math.inf  # when it was noticed
        self.last_stall_s = 0.0  # at the least
        self.lag_noticed_at = -math.inf
        self.lag_s = 0.0
        self.stall_count = 0
        self.longest_stall_s = 0.0

    def expect_run_at(self, at: float) -> None:
        """The event loop is to run something at a time, whatever else it does."""
        self.next_run_due = at

    def check(self, now: float) -> None:
        """Notes that the process runs now; detects a stall by what is overdue."""
        overdue = now - self.next_run_due
        if overdue >= LAG_THRESHOLD_S and now - self.lag_noticed_at >= WAKING_S:
            self.lag_noticed_at = now
            self.lag_s = now - self.last_check_at
        self.last_check_at = max(self.last_check_at, now)
        if overdue >= STALL_THRESHOLD_S:
            self._record_stall(now, overdue)
            self.next_run_due = math.inf

    def check_run(self, due: float, now: float) -> None:
        """Notes that something runs now that was due at a time."""
        self.check(now)
        if now - due >= STALL_THRESHOLD_S and due > self.last_stall_at:
            self._record_stall(now, now - due)

    def input_age(self, now: float) -> float:
        """Returns how old input may be that is read now, in seconds; 0 while the loop is on time."""
        self.check(now)
        return min(self.lag_s, MAX_CLIENT_WAIT_S) if now - self.lag_noticed_at < WAKING_S else 0.0

    def has_stalled_since(self, at: float) -> bool:
        """Returns whether a stall was noticed after a time: what was read or decided before it is old."""
        return self.last_stall_at >= at

    def _record_stall(self, now: float, seconds: float) -> None:
        self.last_stall_at = now
        self.last_stall_s = seconds
        self.longest_stall_s = max(self.longest_stall_s, seconds)
        self.stall_count += 1
