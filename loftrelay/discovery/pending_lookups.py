"""Pending lookups with their deadlines, and destinations whose endpoints exceed the response limit."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

OVERSIZE_BACKOFF_S = 60.0  # before an oversize destination is requested again


@dataclass(slots=True)
class PendingLookups:
    """Lookups that wait for a registry's response.

    Attributes:
        timeout: Seconds after which a lookup fails.
        deadlines: Deadline of each destination's lookup, oldest first.
        oversize_until: Time until which a destination whose endpoints alone exceed the response limit is not
            requested.
    """

    timeout: float
    deadlines: dict[int, float] = field(default_factory=dict)
    oversize_until: dict[int, float] = field(default_factory=dict)

    def __contains__(self, destination_id: int) -> bool:
        return destination_id in self.deadlines

    def start(self, now: float, destination_id: int) -> None:
        """Starts a lookup. A pending one keeps its deadline."""
        self.deadlines.setdefault(destination_id, now + self.timeout)

    def finish(self, destination_id: int) -> bool:
        """Ends a lookup. Returns whether one was pending."""
        return self.deadlines.pop(destination_id, None) is not None

    @property
    def next_deadline(self) -> float:
        """Deadline of the oldest lookup."""
        return next(iter(self.deadlines.values()), math.inf)

    def expire(self, now: float) -> list[int]:
        """Removes lookups past their deadline and returns their destinations."""
        expired = []
        while self.deadlines and self.next_deadline <= now:
            destination_id = next(iter(self.deadlines))
            del self.deadlines[destination_id]
            expired.append(destination_id)
        return expired

    def is_oversize(self, now: float, destination_id: int) -> bool:
        """Returns whether the destination is excluded from requests at the moment."""
        return self.oversize_until.get(destination_id, 0.0) > now

    def mark_oversize(self, now: float, destination_id: int) -> None:
        """Excludes a destination from requests for a while, so that it does not block the others."""
        self.oversize_until = {other: until for other, until in self.oversize_until.items() if until > now}
        self.oversize_until[destination_id] = now + OVERSIZE_BACKOFF_S
