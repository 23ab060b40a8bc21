"""Concurrency limit: how many calls may be in flight to one destination at once.

The window grows by one with each success and is halved on failure or when calls become slow. Below one call
it stands for a pause between single calls (`feedback.py`).
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.estimators import CallTimes

HEALTHY_SLOT_SHARE = 0.75  # part of all slots that one destination may use
DEGRADED_SLOT_SHARE = 0.5  # while it is failing or recovering
SLOW_CALL_FACTOR = 2.5  # smoothed call time over its long-term mean that halves the window
REJECTED_WINDOW_SIZE = 0.5


@dataclass(slots=True)
class ConcurrencyWindow:
    """An additive-increase, multiplicative-decrease window of concurrent calls."""

    size: float = 1.0
    in_flight: int = 0
    narrowed_at: int = -1

    @property
    def is_full(self) -> bool:
        """Whether no further call may start before one ends."""
        return self.in_flight >= max(1, int(self.size))

    @property
    def is_below_one_call(self) -> bool:
        """Whether less than one call is allowed, so that calls are spaced by pauses."""
        return self.size < 1

    def widen(self, max_size: int) -> None:
        """Allows one more call after a success."""
        self.size = max(1.0, min(self.size + 1, float(max_size)))

    def narrow(self, now: int) -> None:
        """Halves the window after a failure."""
        self.narrowed_at = now
        self.size /= 2

    def narrow_if_slow(self, now: int, times: CallTimes) -> None:
        """Halves the window once a call time when calls take far longer than usual."""
        if times.smoothed > SLOW_CALL_FACTOR * times.long_term and self.narrowed_at < now - times.smoothed:
            self.size = max(1.0, self.size / 2)
            self.narrowed_at = now

    def limit_after_rejection(self) -> None:
        """A rejected call always leads to a pause."""
        self.size = min(self.size, REJECTED_WINDOW_SIZE)

    def allow_one_call(self) -> None:
        """At least one call stays allowed."""
        self.size = max(1.0, self.size)
