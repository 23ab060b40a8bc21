"""Slow start: a destination back from an outage gets a budget of calls that grows to its full rate.

The budget holds over every overload window: a recovering destination that receives more than a multiple of
its capacity in that time fails again.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from loftrelay.decisions.limits import Limits
from loftrelay.decisions.units import SECOND_US

EXTRA_MESSAGE_WEIGHT = 0.25  # of each further message in a batch call, against the budget


RecentCall = tuple[int, float]  # when it was sent, and its weight


@dataclass(slots=True)
class SlowStart:
    """Recovery of one destination, and its recent calls."""

    started_at: int | None = None  # None: the destination is at its full rate
    calls: list[RecentCall] | None = None  # of an overload window; None keeps an idle destination small

    @property
    def is_active(self) -> bool:
        """Whether the destination is recovering, as far as known at the last look."""
        return self.started_at is not None

    @property
    def recent_calls(self) -> Sequence[RecentCall]:
        """The calls of the last overload window, and maybe earlier ones; oldest first."""
        return self.calls or ()

    @property
    def spent(self) -> float:
        """Weight of the recent calls."""
        return sum(weight for _, weight in self.recent_calls)

    def drop_old_calls(self, now: int, limits: Limits) -> None:
        """Forgets calls that have left the overload window."""
        calls = self.calls
        while calls and calls[0][0] <= now - limits.overload_window:
            del calls[0]

    def record_call(self, now: int, messages: int, limits: Limits) -> None:
        """Counts a call of so many messages."""
        call = (now, 1 + EXTRA_MESSAGE_WEIGHT * (messages - 1))
        if self.calls is None:
            self.calls = [call]
        else:
            self.calls.append(call)
        self.drop_old_calls(now, limits)

    def budget(self, now: int, limits: Limits, demand: float) -> float:
        """Returns the calls allowed in one overload window; infinite, and ends slow start, once it is over.

        Each message of the demand counts as a call.

        Args:
            now: the time of the batch.
            limits: the limits in force.
            demand: messages a second that this relay is given for the destination.
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

    def next_fit_at(self, budget: float, limits: Limits, not_before: int) -> int:
        """Returns when the next call fits a budget of at least one call."""
        spent = self.spent
        for sent_at, weight in self.recent_calls:
            if spent + 1 <= budget or spent == 0:
                break
            spent -= weight
            not_before = max(not_before, sent_at + limits.overload_window)
        return not_before
