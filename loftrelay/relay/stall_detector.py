"""Detects stalls of the process and lag of its event loop, which make earlier input and decisions outdated.

Does no input or output: the caller passes the time, in seconds of a clock that never steps.
"""

from __future__ import annotations

import math

# Far above ordinary delays of a busy machine, and below the times that matter: clients give up after 0.4 s,
# and a final status is due 0.3 s after the deadline.
STALL_THRESHOLD_S = 0.2
LAG_THRESHOLD_S = 0.05  # shortest lag that matters to the deadline of a message
# For this long after a lag, input may have arrived during the lag, because sockets are read after timers run.
LAG_AFTERMATH_S = 0.1
MAX_CLIENT_WAIT_S = 0.4  # clients disconnect after this time, so input of a connected client is no older


class StallDetector:
    """Compares the time at which work was due with the time at which it runs."""

    def __init__(self) -> None:
        self.next_run_due = math.inf  # when the event loop is next due to run something
        self.last_check_at = -math.inf
        self.last_stall_at = -math.inf  # when the last stall was noticed
        self.last_stall_s = 0.0  # duration of the last stall, a lower bound
        self.lag_noticed_at = -math.inf
        self.lag_s = 0.0
        self.stall_count = 0
        self.longest_stall_s = 0.0

    def expect_run_at(self, at: float) -> None:
        """Notes the time at which the event loop is due to run something."""
        self.next_run_due = at

    def check(self, now: float) -> None:
        """Notes that the process runs now; detects a stall or a lag if the expected run is overdue."""
        overdue = now - self.next_run_due
        if overdue >= LAG_THRESHOLD_S and now - self.lag_noticed_at >= LAG_AFTERMATH_S:
            self.lag_noticed_at = now
            self.lag_s = now - self.last_check_at
        self.last_check_at = max(self.last_check_at, now)
        if overdue >= STALL_THRESHOLD_S:
            self._record_stall(now, overdue)
            self.next_run_due = math.inf

    def check_run(self, due: float, now: float) -> None:
        """Notes that work that was due at `due` runs now; detects a stall if it is late."""
        self.check(now)
        if now - due >= STALL_THRESHOLD_S and due > self.last_stall_at:
            self._record_stall(now, now - due)

    def input_age(self, now: float) -> float:
        """Returns the possible age of input that is read now, in seconds; 0 if the event loop is on time."""
        self.check(now)
        return min(self.lag_s, MAX_CLIENT_WAIT_S) if now - self.lag_noticed_at < LAG_AFTERMATH_S else 0.0

    def has_stalled_since(self, at: float) -> bool:
        """Returns whether a stall was noticed at or after a time, so that input from before is outdated."""
        return self.last_stall_at >= at

    def _record_stall(self, now: float, seconds: float) -> None:
        self.last_stall_at = now
        self.last_stall_s = seconds
        self.longest_stall_s = max(self.longest_stall_s, seconds)
        self.stall_count += 1
