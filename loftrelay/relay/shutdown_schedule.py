"""The schedule of a graceful shutdown, between SIGTERM and the end of the process. No input or output."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.decisions.settings import MessageClass

US_PER_S = 1e6
# From SIGTERM to SIGKILL: the shorter of GRACE_S and the longest deadline plus AFTER_DEADLINE_S.
GRACE_S = 3.7
AFTER_DEADLINE_S = 0.8
# Before SIGKILL:
LAST_CALL_S = 0.9
LAST_ADMISSION_S = 0.25
EXIT_S = 0.1
LAST_ANSWER_S = 0.06  # before the exit, for clients to read their last answer


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Seconds from SIGTERM on."""

    last_call: float  # calls begin until then
    # Messages are admitted until then: clients have nowhere else to go before the restart.
    last_admission: float
    last_answer: float  # whoever still waits is answered then
    exit: float  # the process ends then at the latest


def shutdown_schedule(classes: Iterable[MessageClass]) -> ShutdownSchedule:
    """Returns the schedule for the classes under which messages are admitted."""
    deadlines = [message_class.deadline for message_class in classes]
    grace = GRACE_S
    if deadlines and None not in deadlines:
        longest = max(deadline for deadline in deadlines if deadline is not None)
        grace = min(GRACE_S, longest / US_PER_S + AFTER_DEADLINE_S)
    exit_at = grace - EXIT_S
    return ShutdownSchedule(
        last_call=max(0.0, grace - LAST_CALL_S),
        last_admission=grace - LAST_ADMISSION_S,
        last_answer=exit_at - LAST_ANSWER_S,
        exit=exit_at,
    )
