"""Circuit breaker: when a destination counts as failing, and is called by single probes alone.

The circuit opens (`open_if_failing`) while calls are paused and either failures have lasted, most calls fail,
or this relay's part of the traffic is so small that one failure is all it can see. It closes with the first
success, and slow start begins (`slow_start.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.limits import Limits
from loftrelay.decisions.units import NEVER, SECOND_US

FAILURE_STREAK_US = 2 * SECOND_US  # no success for this long; twice as long where all failures are rejections
MIN_STREAK_FAILURES = 2
OPEN_ERROR_RATE = 0.6
ERROR_RATE_GAIN = 1 / 4
ERROR_RATE_DECAY = 0.75
MIN_CONNECTION_FAILURES = 3  # in a row, before resets and malformed responses count against the destination


@dataclass(slots=True)
class CircuitBreaker:
    """Failures behind one gate. Times are in microseconds."""

    consecutive_failures: int = 0
    failing_since: int = 0
    has_only_rejections: bool = False  # of the consecutive failures
    error_rate: float = 0.0  # smoothed share of calls that failed, rejections aside
    failed_at: int = -NEVER
    last_was_rejection: bool = False
    is_open: bool = False
    connection_failures: int = 0  # in a row that tell of the connection, not of the destination

    def record_success(self) -> None:
        """A call succeeded."""
        self.consecutive_failures = 0
        self.error_rate *= ERROR_RATE_DECAY

    def record_failure(self, now: int, sent_at: int, *, is_rejection: bool) -> None:
        """A call that was sent at `sent_at` failed."""
        self.consecutive_failures += 1
        self.failed_at = now
        self.last_was_rejection = is_rejection
        if not is_rejection:
            self.error_rate += (1 - self.error_rate) * ERROR_RATE_GAIN
        if self.consecutive_failures == 1:
            self.failing_since = sent_at

    def counts_connection_failure(self, *, is_connection_failure: bool) -> bool:
        """Counts a reset or malformed response; returns whether it is too few in a row to mean anything."""
        self.connection_failures = self.connection_failures + 1 if is_connection_failure else 0
        return 0 < self.connection_failures < MIN_CONNECTION_FAILURES

    def open_if_failing(
        self, now: int, limits: Limits, recovery_rate: float, *, is_rejection: bool, is_paused: bool
    ) -> bool:
        """Opens the circuit if the last failure, recorded before, calls for it; returns whether it did.

        Args: now: the time of the batch. limits: the limits in force. recovery_rate: calls a second that this
        relay may send to the destination as it recovers. is_rejection: whether the last failure was a
        rejection. is_paused: whether the window allows less than one call: a destination that still takes
        calls is not failing as a whole.
        """
        self.has_only_rejections = is_rejection and (
            self.has_only_rejections or self.consecutive_failures == 1
        )
        is_lasting = now - self.failing_since >= FAILURE_STREAK_US * (1 + self.has_only_rejections)
        is_streak = self.consecutive_failures >= MIN_STREAK_FAILURES and is_lasting
        sees_few_calls = (
            not is_rejection and limits.is_large_fleet and recovery_rate * limits.overload_window < SECOND_US
        )
        is_failing = is_streak or sees_few_calls or self.error_rate > OPEN_ERROR_RATE
        if self.is_open or not is_paused or not is_failing:
            return False
        self.is_open = True
        return True

    def reset(self) -> None:
        """Closes the circuit and forgets the failures, after the operator has restarted the endpoint."""
        self.is_open = False
        self.error_rate = 0.0
        self.consecutive_failures = 0
