"""How the time between SIGTERM and the end of the process is used. It does no input or output."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.decisions.settings import MessageClass

# Seconds from SIGTERM to SIGKILL: so many, or the longest time that a message can have and so many more. The
# pages tell the first alone; the second was measured (docs/endings.md, "Questions").
GRACE, BEYOND_DEADLINE = 3.7, 0.8
# Before SIGKILL, in seconds: calls are begun until, messages taken on until, the process ends.
NO_CALLS, NO_MESSAGES, AT_AN_END = 0.9, 0.25, 0.1
LAST_ANSWERS = 0.06  # before its end: who has no answer by then gets one, and is left this long to read it


@dataclass(frozen=True, slots=True)
class LastPhase:
    """Seconds from SIGTERM on."""

    begin: float  # calls are begun until then
    take: float  # messages are taken on until then: clients have nowhere else to go before the restart
    answer: float  # then whoever waits gets a last answer
    end: float  # at the latest


def last_phase(classes: Iterable[MessageClass]) -> LastPhase:
    """For the classes that messages are taken on under."""
    deadlines = [about.deadline for about in classes]
    grace = GRACE
    if deadlines and None not in deadlines:
        longest = max(deadline for deadline in deadlines if deadline is not None)
        grace = min(GRACE, longest / 1e6 + BEYOND_DEADLINE)
    end = grace - AT_AN_END
    return LastPhase(max(0.0, grace - NO_CALLS), grace - NO_MESSAGES, end - LAST_ANSWERS, end)
