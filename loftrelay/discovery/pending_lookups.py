"""Lookups of destinations: their deadlines, and destinations that no response can hold."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

OVERSIZE_BACKOFF_S = 60.0


@dataclass(slots=True)
class PendingLookups:
    """Lookups that wait for a registry's response.

    Attributes:
        timeout: Seconds after which a lookup fails.
        deadlines: Until when each destination's lookup waits, oldest first.
        oversize_until: Until when destinations whose endpoints alone exceed the limit of a response are not
            requested.
    """

    timeout: float
    deadlines: dict[int, float] = field(default_factory=dict)
    oversize_until: dict[int, float] = field(default_factory=dict)

    def __contains__(self, number: int) -> bool:
        return number in self.deadlines

    def start(self, now: float, number: int) -> None:
        """Begins a lookup. One that is pending keeps its deadline."""
        self.deadlines.setdefault(number, now + self.timeout)

    def finish(self, number: int) -> bool:
        """Ends a lookup. Returns whether one was pending."""
        return self.deadlines.pop(number, None) is not None

    @property
    def next_deadline(self) -> float:
        """When the oldest lookup fails."""
        return next(iter(self.deadlines.values()), math.inf)

    def expire(self, now: float) -> list[int]:
        """Ends the lookups whose time is up, and returns their destinations."""
        expired = []
        while self.deadlines and self.next_deadline <= now:
            number = next(iter(self.deadlines))
            del self.deadlines[number]
            expired.append(number)
        return expired

    def is_oversize(self, now: float, number: int) -> bool:
        """Whether the destination is not to be requested for now."""
        return self.oversize_until.get(number, 0.0) > now

    def mark_oversize(self, now: float, number: int) -> None:
        """Stops requests for a destination, so that it cannot hold up the others."""
        self.oversize_until = {other: until for other, until in self.oversize_until.items() if until > now}
        self.oversize_until[number] = now + OVERSIZE_BACKOFF_S
