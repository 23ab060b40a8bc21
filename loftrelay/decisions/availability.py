"""Availability: the earliest time at which the limits of a destination allow its next call.

A call needs room in the concurrency window and in the destination's share of the call slots. It waits for the
end of a Retry-After, of the pause after a failure and of the rate limit interval, and, while the destination
is failing or recovering, for room in the slow start budget.
"""

from __future__ import annotations

from loftrelay.decisions.call_limiter import CallLimiter
from loftrelay.decisions.concurrency import DEGRADED_SLOT_SHARE, HEALTHY_SLOT_SHARE
from loftrelay.decisions.demand import demand_rate
from loftrelay.decisions.entities import Destination
from loftrelay.decisions.retry import MAX_PROBE_INTERVAL_US
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER

PROBING_RELAYS = 4  # relays that may each probe a failing destination once per MAX_PROBE_INTERVAL_US
MIN_BUDGET = 1e-6  # prevents a division by zero


def next_call_at(state: DecisionState, call_limiter: CallLimiter, destination: Destination) -> int:
    """Returns the time from which the next call is allowed; NEVER if a call in flight has to end first."""
    slot_share = DEGRADED_SLOT_SHARE if call_limiter.is_degraded else HEALTHY_SLOT_SHARE
    max_calls = max(1, int(state.limits.max_concurrent_calls * slot_share))
    if call_limiter.window.is_full or destination.in_flight >= max_calls:
        return NEVER
    return blocked_until(state, call_limiter, destination)


def blocked_until(state: DecisionState, call_limiter: CallLimiter, destination: Destination) -> int:
    """Returns the time from which the next call is allowed, regardless of the calls in flight."""
    rate_limiter, slow_start = call_limiter.rate_limiter, call_limiter.slow_start
    interval = rate_limiter.interval(rate_limiter.calls_per_second, state.limits)
    allowed_at = max(
        call_limiter.retry_after_until, call_limiter.next_attempt_at, rate_limiter.last_call_at + interval
    )
    if not slow_start.is_active and not call_limiter.breaker.is_open:
        return allowed_at
    budget = slow_start_budget(state, call_limiter, destination)
    if budget < 1:
        return max(
            allowed_at, rate_limiter.last_call_at + int(rate_limiter.jitter * _probe_interval(state, budget))
        )
    return slow_start.earliest_call_at(budget, state.limits, allowed_at)


def slow_start_budget(state: DecisionState, call_limiter: CallLimiter, destination: Destination) -> float:
    """Returns how many calls this relay may send to a recovering destination per overload window."""
    return call_limiter.slow_start.budget(
        state.now, state.limits, demand_rate(state, call_limiter, destination)
    )


def _probe_interval(state: DecisionState, budget: float) -> float:
    """Returns the microseconds between single calls while the budget is below one call.

    The interval grows with the number of relays, so that the probes of all relays together do not overload a
    recovering destination.
    """
    longest = MAX_PROBE_INTERVAL_US * max(1.0, state.limits.relay_count / PROBING_RELAYS)
    return min(state.limits.overload_window / max(budget, MIN_BUDGET), longest)
