"""Availability: when the gate of a destination lets the next call through.

A call needs a free place in the concurrency window and its share of all slots, and waits for the end of a
Retry-After, of the pause after a failure, of the interval of the rate limit, and, while the destination is
failing or recovering, for room in the budget of slow start.
"""

from __future__ import annotations

from loftrelay.decisions.concurrency import DEGRADED_SLOT_SHARE, HEALTHY_SLOT_SHARE
from loftrelay.decisions.demand import demand_rate
from loftrelay.decisions.entities import Destination
from loftrelay.decisions.gate import Gate
from loftrelay.decisions.retry import MAX_PROBE_INTERVAL_US
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER

PROBING_RELAYS = 4  # relays that may each probe a failing destination once in MAX_PAUSE_US
MIN_BUDGET = 1e-6


def next_call_at(state: DecisionState, gate: Gate, destination: Destination) -> int:
    """Returns when the next call may go; NEVER while only an outcome can allow one."""
    slot_share = DEGRADED_SLOT_SHARE if gate.is_degraded else HEALTHY_SLOT_SHARE
    max_calls = max(1, int(state.limits.max_concurrent_calls * slot_share))
    if gate.window.is_full or destination.in_flight >= max_calls:
        return NEVER
    return blocked_until(state, gate, destination)


def blocked_until(state: DecisionState, gate: Gate, destination: Destination) -> int:
    """Returns when the next call may go, calls in flight aside."""
    limiter, slow_start = gate.rate_limiter, gate.slow_start
    interval = limiter.interval(limiter.calls_per_second, state.limits)
    allowed_at = max(gate.retry_after_until, gate.next_attempt_at, limiter.last_call_at + interval)
    if not slow_start.is_active and not gate.breaker.is_open:
        return allowed_at
    budget = slow_start_budget(state, gate, destination)
    if budget < 1:
        return max(allowed_at, limiter.last_call_at + int(limiter.jitter * _probe_interval(state, budget)))
    return slow_start.next_fit_at(budget, state.limits, allowed_at)


def slow_start_budget(state: DecisionState, gate: Gate, destination: Destination) -> float:
    """Returns the calls that this relay may send to a recovering destination in one overload window."""
    return gate.slow_start.budget(state.now, state.limits, demand_rate(state, gate, destination))


def _probe_interval(state: DecisionState, budget: float) -> float:
    """Returns the time between single calls where the budget is below one.

    The probes of all relays together must not overload what comes back, however small the part of each is.
    """
    longest = MAX_PROBE_INTERVAL_US * max(1.0, state.limits.relay_count / PROBING_RELAYS)
    return min(state.limits.overload_window / max(budget, MIN_BUDGET), longest)
