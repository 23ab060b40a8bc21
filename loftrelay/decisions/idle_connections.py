"""Idle connections: from which idle time they are often reset, and when to close them.

Hosts and network devices drop connections that have been idle for long. A reset then ends a message that
cannot be repeated, which a new connection would have avoided. Resets are counted by idle time, in octaves.
"""

from __future__ import annotations

from loftrelay.decisions.actions import CloseIdleConnections
from loftrelay.decisions.entities import Endpoint
from loftrelay.decisions.estimators import DecayingRate
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.state import DecisionState, IdleResetCounts
from loftrelay.decisions.units import NEVER, SECOND_US

# A reset after a shorter idle time may have crossed a response, and says nothing about idle connections.
MIN_IDLE_US = SECOND_US // 8
RESET_SPAN_US = 60 * SECOND_US
MIN_RESETS = 2  # recent resets of an octave above which its share counts
EXCESS_RESET_SHARE = 0.05  # in addition to twice the share of connections idle for less than MIN_IDLE_US
CONNECTION_SCARCITY_US = 30 * SECOND_US  # assumed after a refused connection
MAX_CALL_GAP_US = 2 * SECOND_US  # longest mean gap between calls that keeps a scarce connection open


def record_reset(state: DecisionState, idle: int, status: AttemptStatus) -> None:
    """Counts a call, and a reset if it was one, under the idle time of its connection in microseconds."""
    octave = (idle // MIN_IDLE_US).bit_length()
    counts = state.idle_resets.get(octave)
    if counts is None:
        counts = IdleResetCounts(DecayingRate(RESET_SPAN_US), DecayingRate(RESET_SPAN_US))
        state.idle_resets[octave] = counts
    counts.calls.add(state.now)
    if status is AttemptStatus.CONNECTION_LOST:
        counts.resets.add(state.now)


def max_connection_idle(state: DecisionState) -> int | None:
    """Returns the idle time in microseconds from which connections are often reset; None if there is none."""
    threshold = 2 * _reset_share(state, 0) + EXCESS_RESET_SHARE
    unreliable = [
        octave for octave in state.idle_resets if octave and _reset_share(state, octave) > threshold
    ]
    return MIN_IDLE_US << min(unreliable) - 1 if unreliable else None


def _reset_share(state: DecisionState, octave: int) -> float:
    """Returns the share of calls in an octave that were reset; 0 if there were too few resets."""
    counts = state.idle_resets.get(octave)
    if counts is None:
        return 0.0
    calls, resets = counts.calls.read(state.now), counts.resets.read(state.now)
    return resets / calls if resets * RESET_SPAN_US / SECOND_US > MIN_RESETS else 0.0


def close_if_limited(state: DecisionState, endpoint: Endpoint, status: AttemptStatus) -> None:
    """Closes rarely used connections to an endpoint whose kind accepts only a few connections."""
    if status is AttemptStatus.CONNECT_FAILED:
        endpoint.kind_stats.connection_limit_until = state.now + CONNECTION_SCARCITY_US
    if endpoint.kind_stats.connection_limit_until <= state.now or endpoint.in_flight:
        return
    if endpoint.call_rate.read(state.now) * MAX_CALL_GAP_US < SECOND_US:
        endpoint.last_used_at = NEVER
        state.actions.append(CloseIdleConnections(endpoint.name))
