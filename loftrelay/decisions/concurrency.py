"""Concurrency limit: how many calls may be in flight to one destination at a time.

The window grows by one call per success and is halved on a failure or when calls become slow. A size below
one call means that single calls are sent with a pause between them (`feedback.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.estimators import CallTimes

HEALTHY_SLOT_SHARE = 0.75  # share of all call slots that one destination may use
DEGRADED_SLOT_SHARE = 0.5  # the same while the destination is failing, paused or recovering
SLOW_CALL_FACTOR = 2.5  # the window is halved above this ratio of smoothed to long-term call time
REJECTED_WINDOW_SIZE = 0.5


@dataclass(slots=True)
class ConcurrencyWindow:
    """An additive-increase, multiplicative-decrease window of concurrent calls."""

    size: float = 1.0
    in_flight: int = 0
    narrowed_at: int = -1  # when the window was last halved; -1: never

    @property
    def is_full(self) -> bool:
        """Whether a call in flight has to end before another may start."""
        return self.in_flight >= max(1, int(self.size))

    @property
    def is_below_one_call(self) -> bool:
        """Whether the size is below one call, so that calls are separated by pauses."""
        return self.size < 1

    def widen(self, max_size: int) -> None:
        """Allows one more call after a success."""
        self.size = max(1.0, min(self.size + 1, float(max_size)))

    def narrow(self, now: int) -> None:
        """Halves the window after a failure."""
        self.narrowed_at = now
        self.size /= 2

    def narrow_if_slow(self, now: int, times: CallTimes) -> None:
        """Halves the window, at most once per call time, when calls take far longer than usual."""
        if times.smoothed > SLOW_CALL_FACTOR * times.long_term and self.narrowed_at < now - times.smoothed:
            self.size = max(1.0, self.size / 2)
            self.narrowed_at = now

    def limit_below_one_call(self) -> None:
        """Limits the size to less than one call, because a rejected call always leads to a pause."""
        self.size = min(self.size, REJECTED_WINDOW_SIZE)

    def allow_one_call(self) -> None:
        """Raises the size to at least one call."""
        self.size = max(1.0, self.size)
