"""Routing: which endpoints may receive a message, and which of them has the lowest cost."""

from __future__ import annotations

from loftrelay.decisions.availability import next_call_at
from loftrelay.decisions.deadlines import DEFAULT_CALL_TIME_US
from loftrelay.decisions.demand import observed_fraction
from loftrelay.decisions.entities import Destination, Endpoint, OpenMessage
from loftrelay.decisions.idempotency import may_repeat_at
from loftrelay.decisions.retry import MAX_PROBE_INTERVAL_US
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

OPEN_CONNECTION_WEIGHT = 3.0  # weight factor of an endpoint whose connection is still open
ZONE_COST_WEIGHT = 300.0  # cost factor per unit of zone cost
MIN_KNOWN_RATE_PER_S = 1.0  # messages; with less demand the choice is randomized
RISKY_ERROR_RATE = 0.3  # at-most-once messages avoid a destination from this error rate on ...
RISKY_ERROR_MEMORY_US = MAX_PROBE_INTERVAL_US  # ... for this long after the last failure


def available_endpoints(state: DecisionState, destination: Destination) -> list[Endpoint]:
    """Returns the endpoints that accept a call now, in ascending order of cost."""
    allowed: list[Endpoint] = []
    for endpoint in destination.endpoints:
        if not endpoint.is_available:
            continue
        allowed_at = next_call_at(state, endpoint.call_limiter, destination)
        if allowed_at <= state.now:
            allowed.append(endpoint)
        else:
            state.run_batch_no_later_than(allowed_at)
    allowed.sort(key=lambda endpoint: cost(state, endpoint))
    return allowed


def cost(state: DecisionState, endpoint: Endpoint) -> tuple[bool, float]:
    """Returns the sort key of an endpoint: endpoints that are not avoided after a failure come first.

    The second component depends on call time, load, zone and whether a connection is open; an endpoint that
    was never used counts as having an open one. With little traffic the cost is randomized, because many
    relays that all choose the fastest endpoint would overload it.
    """
    usual = endpoint.usual_call_time or endpoint.call_times.smoothed or DEFAULT_CALL_TIME_US
    weight = SECOND_US / (usual * (1 + endpoint.in_flight))
    if endpoint.call_limiter is not endpoint.destination.call_limiter and endpoint.listed_rate:
        weight *= endpoint.listed_rate
    else:
        weight *= weight  # prefers fast endpoints more strongly if their capacity is unknown
    if state.now - endpoint.last_used_at < state.limits.connection_idle_timeout:
        weight *= OPEN_CONNECTION_WEIGHT
    if endpoint.destination.demand.read(state.now) < MIN_KNOWN_RATE_PER_S * observed_fraction(state):
        weight /= state.random.expovariate(1)
    return endpoint.avoid_until > state.now, (1 + ZONE_COST_WEIGHT * endpoint.zone_cost) / weight


def may_attempt(state: DecisionState, message: OpenMessage, endpoint: Endpoint) -> bool:
    """Returns whether a message may be sent to an endpoint now, regardless of the limits on calls."""
    if message.is_ended or message.call is not None or not endpoint.is_available:
        return False
    if message.may_have_run:
        return may_repeat_at(state, message, endpoint)
    return message.is_repeatable or _is_healthy(state, endpoint)


def _is_healthy(state: DecisionState, endpoint: Endpoint) -> bool:
    """Returns whether an endpoint is healthy enough for a message that an unknown outcome would end."""
    breaker = endpoint.call_limiter.breaker
    if breaker.error_rate >= RISKY_ERROR_RATE and state.now <= breaker.failed_at + RISKY_ERROR_MEMORY_US:
        return False
    if endpoint.consecutive_failures == 0:
        return True
    return all(sibling.consecutive_failures for sibling in endpoint.available_peers)
