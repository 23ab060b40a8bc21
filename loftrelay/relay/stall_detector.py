"""Whether the process stood still, or its loop is late: what was read or decided before is old then.

It does no input or output: whoever uses it tells the time, in seconds of a clock that never steps.
"""

from __future__ import annotations

import math

# So late a thing that was due: the process stood still. Ordinary delays of a busy machine are far shorter; a
# client gives up after 0.4 s, and an end is due 0.3 s after its message's time.
STALL_THRESHOLD_S = 0.2
# From so much on the loop is late enough to matter to a message's time; for so long after it wakes, what it
# reads may have come meanwhile (sockets are read after timers have run, and after they are accepted).
LATE, WAKING = 0.05, 0.1
CLIENT_WAITS = 0.4  # seconds: who is still there has not waited longer


class StallDetector:
    """`woke`: when the last stall was noticed; `stood`: its seconds, at the least."""

    def __init__(self) -> None:
        self.beat = math.inf  # when the next sign of life is due
        self.woke = -math.inf
        self.stood = 0.0
        self.seen = -math.inf  # the last look
        self.late_at, self.late_by = -math.inf, 0.0
        self.stalls = 0
        self.longest = 0.0

    def expect(self, at: float) -> None:
        """The loop is to run something then, whatever else it does."""
        self.beat = at

    def look(self, now: float) -> None:
        """The process runs now."""
        if now - self.beat >= LATE and now - self.late_at >= WAKING:
            self.late_at, self.late_by = now, now - self.seen
        self.seen = max(self.seen, now)
        if now - self.beat >= STALL_THRESHOLD_S:
            self._stalled(now, now - self.beat)
            self.beat = math.inf

    def ran(self, due: float, now: float) -> None:
        """What was due at a time runs now."""
        self.look(now)
        if now - due >= STALL_THRESHOLD_S and due > self.woke:
            self._stalled(now, now - due)

    def age(self, now: float) -> float:
        """How old what is read now may be: 0 where the loop is on time."""
        self.look(now)
        return min(self.late_by, CLIENT_WAITS) if now - self.late_at < WAKING else 0.0

    def since(self, at: float) -> bool:
        """Whether it has stood still after that time: nothing that was read or decided before it is fresh."""
        return self.woke >= at

    def _stalled(self, now: float, stood: float) -> None:
        self.woke, self.stood = now, stood
        self.longest = max(self.longest, stood)
        self.stalls += 1
