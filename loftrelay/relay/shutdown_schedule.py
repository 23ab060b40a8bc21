"""Schedule of a graceful shutdown, between SIGTERM and the exit of the process. Does no input or output."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.decisions.settings import MessageClass

US_PER_S = 1e6
# Time from SIGTERM to the platform's SIGKILL: the smaller of MAX_GRACE_PERIOD_S and the longest deadline plus
# GRACE_AFTER_DEADLINE_S.
MAX_GRACE_PERIOD_S = 3.7
GRACE_AFTER_DEADLINE_S = 0.8
LAST_CALL_BEFORE_KILL_S = 0.9
LAST_ADMISSION_BEFORE_KILL_S = 0.25
EXIT_BEFORE_KILL_S = 0.1
LAST_RESPONSE_BEFORE_EXIT_S = 0.06  # time for clients to read their last response


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """Times of the steps of a shutdown, in seconds after SIGTERM."""

    last_call: float  # no calls begin after this time
    # No messages are admitted after this time. It is late, as clients have no other relay before the restart.
    last_admission: float
    last_response: float  # clients that still wait get their response at this time
    exit: float  # latest time at which the process exits


def shutdown_schedule(classes: Iterable[MessageClass]) -> ShutdownSchedule:
    """Returns the shutdown schedule for the given message classes."""
    deadlines = [message_class.deadline for message_class in classes]
    grace_period = MAX_GRACE_PERIOD_S
    if deadlines and None not in deadlines:
        longest = max(deadline for deadline in deadlines if deadline is not None)
        grace_period = min(MAX_GRACE_PERIOD_S, longest / US_PER_S + GRACE_AFTER_DEADLINE_S)
    exit_at = grace_period - EXIT_BEFORE_KILL_S
    return ShutdownSchedule(
        last_call=max(0.0, grace_period - LAST_CALL_BEFORE_KILL_S),
        last_admission=grace_period - LAST_ADMISSION_BEFORE_KILL_S,
        last_response=exit_at - LAST_RESPONSE_BEFORE_EXIT_S,
        exit=exit_at,
    )
