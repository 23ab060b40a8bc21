"""Circuit breaker: when a destination counts as failing, so that it receives only single probes.

The circuit opens (`open_if_failing`) while calls are paused and either failures have persisted, most calls
fail, or this relay's share of the traffic is too small for it to observe more than one failure. It closes at
the first success, and slow start begins (`slow_start.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.limits import Limits
from loftrelay.decisions.units import NEVER, SECOND_US

FAILURE_STREAK_US = 2 * SECOND_US  # without a success; doubled if all failures of the streak are rejections
MIN_STREAK_FAILURES = 2
OPEN_ERROR_RATE = 0.6
ERROR_RATE_GAIN = 1 / 4
ERROR_RATE_DECAY = 0.75
# Consecutive resets or malformed responses until they count against the destination.
MIN_CONNECTION_FAILURES = 3


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit state and recent failures of the calls under one call limiter. Times are in microseconds."""

    consecutive_failures: int = 0
    failing_since: int = 0
    has_only_rejections: bool = False  # whether all consecutive failures were rejections
    error_rate: float = 0.0  # smoothed share of calls that failed, without rejected calls
    failed_at: int = -NEVER
    last_was_rejection: bool = False
    is_open: bool = False
    connection_failures: int = 0  # consecutive failures caused by the connection, not by the destination

    def record_success(self) -> None:
        """Records a successful call."""
        self.consecutive_failures = 0
        self.error_rate *= ERROR_RATE_DECAY

    def record_failure(self, now: int, sent_at: int, *, is_rejection: bool) -> None:
        """Records a failed call that was sent at `sent_at`."""
        self.consecutive_failures += 1
        self.failed_at = now
        self.last_was_rejection = is_rejection
        if not is_rejection:
            self.error_rate += (1 - self.error_rate) * ERROR_RATE_GAIN
        if self.consecutive_failures == 1:
            self.failing_since = sent_at

    def record_connection_outcome(self, *, is_connection_failure: bool) -> bool:
        """Counts consecutive resets and malformed responses.

        Returns:
            Whether this outcome is such a failure, but there are still too few in a row
            (MIN_CONNECTION_FAILURES) to count against the destination.
        """
        self.connection_failures = self.connection_failures + 1 if is_connection_failure else 0
        return 0 < self.connection_failures < MIN_CONNECTION_FAILURES

    def open_if_failing(
        self, now: int, limits: Limits, recovery_rate: float, *, is_rejection: bool, is_paused: bool
    ) -> bool:
        """Opens the circuit if the failures recorded so far require it.

        Args:
            now: The time of the batch.
            limits: The limits in force.
            recovery_rate: Calls per second that this relay may send to the destination while it recovers.
            is_rejection: Whether the last failure was a rejection.
            is_paused: Whether the window allows less than one call. A destination that still accepts calls
                is not failing as a whole.

        Returns:
            Whether this call opened the circuit.
        """
        self.has_only_rejections = is_rejection and (
            self.has_only_rejections or self.consecutive_failures == 1
        )
        is_persistent = now - self.failing_since >= FAILURE_STREAK_US * (1 + self.has_only_rejections)
        is_streak = self.consecutive_failures >= MIN_STREAK_FAILURES and is_persistent
        sees_few_calls = (
            not is_rejection and limits.is_large_fleet and recovery_rate * limits.overload_window < SECOND_US
        )
        is_failing = is_streak or sees_few_calls or self.error_rate > OPEN_ERROR_RATE
        if self.is_open or not is_paused or not is_failing:
            return False
        self.is_open = True
        return True

    def reset(self) -> None:
        """Closes the circuit and clears the failures after the operator has restarted the endpoint."""
        self.is_open = False
        self.error_rate = 0.0
        self.consecutive_failures = 0
