"""Load shedding: ends waiting messages early if they cannot be delivered in time or fill up the relay.

New messages are rejected earlier, in `relay/intake.py`, while the relay is full or lags.
"""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.decisions.availability import blocked_until
from loftrelay.decisions.deadlines import latest_send_time
from loftrelay.decisions.entities import Destination, OpenMessage
from loftrelay.decisions.idempotency import can_reject, dedup_window_end
from loftrelay.decisions.lifecycle import reject_or_fail
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

QUEUE_HEADROOM_DIVISOR = 8  # the limit of open messages divided by this is kept free
MIN_QUEUE_HEADROOM = 2  # messages
BACKLOG_DRAIN_RATE_PER_S = 8  # messages; assumed to estimate the wait behind a backlog
MIN_SHED_WAIT_US = SECOND_US  # messages with a shorter expected wait are not shed


@dataclass(slots=True, frozen=True)
class ShedCandidate:
    """A waiting message that may be shed. Lower values are shed first; of equal ones, newer messages."""

    value: float  # priority weight per microsecond of expected wait
    message: OpenMessage
    wait: int  # expected wait in microseconds

    @property
    def sort_key(self) -> tuple[float, int]:
        """Sort key: lowest value first, then newest first."""
        return self.value, -self.message.admitted_at


def end_blocked_messages(state: DecisionState) -> None:
    """Ends messages that run out of time while a Retry-After still blocks all of their endpoints."""
    for destination in state.destinations_to_check.values():
        available = [endpoint for endpoint in destination.endpoints if endpoint.is_available]
        retry_after_until = min(
            (endpoint.call_limiter.retry_after_until for endpoint in available), default=0
        )
        if retry_after_until <= state.now:
            continue
        retry_after = state.rejection_retry_after(retry_after_until - state.now)
        for message in list(destination.waiting.values()):
            if retry_after_until >= min(latest_send_time(message), dedup_window_end(state, message)):
                reject_or_fail(state, message, retry_after)
    state.destinations_to_check.clear()


def shed_excess(state: DecisionState) -> None:
    """Rejects the messages of lowest value with long waits, so that part of the queue stays free."""
    max_open = state.limits.max_open_messages
    headroom = max(MIN_QUEUE_HEADROOM, max_open // QUEUE_HEADROOM_DIVISOR)
    excess = len(state.messages) - max_open + headroom
    if excess <= 0:
        return
    candidates: list[ShedCandidate] = []
    for destination in state.backlog.values():
        candidates += _candidates(state, destination)
    for candidate in sorted(candidates, key=lambda candidate: candidate.sort_key)[:excess]:
        reject_or_fail(state, candidate.message, state.rejection_retry_after(candidate.wait))


def _candidates(state: DecisionState, destination: Destination) -> list[ShedCandidate]:
    limiters = (endpoint.call_limiter for endpoint in destination.endpoints)
    allowed_at = min((blocked_until(state, limiter, destination) for limiter in limiters), default=0)
    wait = max(0, allowed_at - state.now) + len(destination.waiting) * SECOND_US // BACKLOG_DRAIN_RATE_PER_S
    if wait <= MIN_SHED_WAIT_US:
        return []
    rejectable = (message for message in destination.waiting.values() if can_reject(message))
    return [ShedCandidate(message.priority_weight / wait, message, wait) for message in rejectable]
