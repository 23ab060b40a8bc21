"""Slow start: limits the calls to a recovering destination to a budget that grows to the full rate.

The budget applies to every overload window, because a recovering destination that receives more than a
certain multiple of its capacity within that time fails again.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from loftrelay.decisions.limits import Limits
from loftrelay.decisions.units import SECOND_US

EXTRA_MESSAGE_WEIGHT = 0.25  # calls charged to the budget per further message of a batch

RecentCall = tuple[int, float]  # when it was sent, and its weight


@dataclass(slots=True)
class SlowStart:
    """Recovery state and recent calls of one destination."""

    started_at: int | None = None  # None: not recovering
    # Of the last overload window; None instead of an empty list saves memory.
    calls: list[RecentCall] | None = None

    @property
    def is_active(self) -> bool:
        """Whether the destination is recovering, as of the last call of `budget`."""
        return self.started_at is not None

    @property
    def recent_calls(self) -> Sequence[RecentCall]:
        """Calls of the last overload window, and possibly earlier ones; oldest first."""
        return self.calls or ()

    @property
    def spent(self) -> float:
        """Total weight of the recent calls."""
        return sum(weight for _, weight in self.recent_calls)

    def drop_old_calls(self, now: int, limits: Limits) -> None:
        """Drops calls that are older than the overload window."""
        calls = self.calls
        while calls and calls[0][0] <= now - limits.overload_window:
            del calls[0]

    def record_call(self, now: int, messages: int, limits: Limits) -> None:
        """Records a call and the number of messages in it."""
        call = (now, 1 + EXTRA_MESSAGE_WEIGHT * (messages - 1))
        if self.calls is None:
            self.calls = [call]
        else:
            self.calls.append(call)
        self.drop_old_calls(now, limits)

    def budget(self, now: int, limits: Limits, demand: float) -> float:
        """Returns the number of calls allowed per overload window.

        Each message of the demand counts as a call. Ends slow start, and returns infinity, once its duration
        has passed.

        Args:
            now: The time of the batch.
            limits: The limits in force.
            demand: Messages per second that this relay receives for the destination.
        """
        self.drop_old_calls(now, limits)
        progress = 0.0
        if self.started_at is not None:
            progress = (now - self.started_at) / limits.slow_start_duration
            if progress >= 1:
                self.started_at = None
                return math.inf
        initial = limits.slow_start_initial_fraction
        fraction = initial + (1 - initial) * progress
        return demand * limits.overload_multiple * fraction * limits.overload_window / SECOND_US

    def earliest_call_at(self, budget: float, limits: Limits, not_before: int) -> int:
        """Returns the time from which the next call fits into a budget of at least one call."""
        spent = self.spent
        for sent_at, weight in self.recent_calls:
            if spent + 1 <= budget or spent == 0:
                break
            spent -= weight
            not_before = max(not_before, sent_at + limits.overload_window)
        return not_before
