"""Hibernation: compact state of destinations that this relay no longer serves.

A released destination is reduced to a snapshot of the state that can still affect a decision: a Retry-After,
an open circuit, slow start and learned limits. The next list entry for the destination restores it.
"""

from __future__ import annotations

from loftrelay.decisions.call_limiter import LEARNED_STATE_TTL_US, CallLimiter, CallLimiterSnapshot
from loftrelay.decisions.entities import (
    Destination,
    Endpoint,
    HibernatedDestination,
    HibernatedEndpoint,
)
from loftrelay.decisions.estimators import DEMAND_SPAN_US, DecayingRate
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER


def is_idle(state: DecisionState, now: int, number: int) -> bool:
    """Returns whether a destination has no message waiting, in flight or queued under an ordering key."""
    destination = state.destinations.get(number)
    if destination is None:
        return True
    return not (destination.unfinished or destination.in_flight or destination.cooldown_until > now)


def hibernate(state: DecisionState, number: int) -> None:
    """Replaces an idle destination by its snapshot; leaves one that is not idle unchanged."""
    destination = state.destinations.get(number)
    if destination is None or not is_idle(state, state.now, number):
        return
    del state.destinations[number]
    state.backlog.pop(number, None)
    state.destinations_to_check.pop(number, None)
    earlier = state.hibernated.get(number)  # holds endpoints that have not been listed again
    record = HibernatedDestination(
        number=number,
        call_limiter=CallLimiterSnapshot.capture(destination.call_limiter, state.now, state.limits),
        demand=destination.demand.value,
        demand_updated_at=destination.demand.updated_at,
        endpoints=earlier.endpoints if earlier is not None else {},
    )
    for endpoint in destination.endpoints:
        _hibernate_endpoint(state, record, endpoint)
    destination.endpoints.clear()  # breaks the reference cycle, so that both are freed immediately
    state.hibernated[number] = record
    # An abandoned call may still report a Retry-After.
    state.set_timer(state.now + state.limits.slow_start_duration, record)


def _hibernate_endpoint(state: DecisionState, record: HibernatedDestination, endpoint: Endpoint) -> None:
    del state.endpoints[endpoint.name]
    state.removed_endpoints.pop(endpoint.name, None)
    snapshot = None
    if endpoint.call_limiter is not endpoint.destination.call_limiter:
        snapshot = CallLimiterSnapshot.capture(endpoint.call_limiter, state.now, state.limits)
    record.endpoints[endpoint.name] = HibernatedEndpoint(
        snapshot, endpoint.consecutive_failures, endpoint.avoid_until
    )
    state.hibernated_endpoints[endpoint.name] = record.number


def get_or_create_destination(state: DecisionState, number: int) -> Destination:
    """Returns a destination; restores it from its snapshot or creates it if it does not exist."""
    destination = state.destinations.get(number)
    if destination is not None:
        return destination
    destination = state.destinations[number] = Destination(number)
    record = state.hibernated.get(number)
    if record is not None and record.call_limiter is not None:
        record.call_limiter.restore(destination.call_limiter)
        destination.demand = DecayingRate(DEMAND_SPAN_US, record.demand, record.demand_updated_at)
        record.call_limiter = None
        state.set_timer(state.now, record)
    return destination


def restore_endpoint(state: DecisionState, endpoint: Endpoint) -> None:
    """Restores the hibernated state of an endpoint that is listed again."""
    destination = endpoint.destination
    record = state.hibernated.get(destination.number)
    if record is None or (kept := record.endpoints.pop(endpoint.name, None)) is None:
        return
    endpoint.consecutive_failures, endpoint.avoid_until = kept.consecutive_failures, kept.avoid_until
    if endpoint.call_limiter is not destination.call_limiter:
        if kept.call_limiter is not None:
            kept.call_limiter.restore(endpoint.call_limiter)
        else:
            endpoint.call_limiter.copy_learned_state(destination.call_limiter)
    elif kept.call_limiter is not None:  # the settings have changed: it had its own limits before
        endpoint.call_limiter.block_until(kept.call_limiter.retry_after_until)
    _forget_endpoint(state, endpoint.name, record)
    state.set_timer(state.now, record)


def find_call_limiter(state: DecisionState, name: str) -> CallLimiter | CallLimiterSnapshot | None:
    """Returns the call limiter of a listed or hibernated endpoint; None if it is unknown."""
    if (endpoint := state.endpoints.get(name)) is not None:
        return endpoint.call_limiter
    if (number := state.hibernated_endpoints.get(name)) is None:
        return None
    record = state.hibernated[number]
    return (
        record.endpoints[name].call_limiter or record.call_limiter or state.destinations[number].call_limiter
    )


def drop_if_irrelevant(state: DecisionState, record: HibernatedDestination) -> None:
    """Drops a hibernated destination that can no longer affect a decision; otherwise sets a timer."""
    if state.hibernated.get(record.number) is not record:
        return
    relevant_until = _relevant_until(state, record)
    if relevant_until <= state.now:
        del state.hibernated[record.number]
        for name in record.endpoints:
            _forget_endpoint(state, name, record)
    elif relevant_until < NEVER:
        state.set_timer(relevant_until, record)


def _relevant_until(state: DecisionState, record: HibernatedDestination) -> int:
    endpoints = record.endpoints.values()
    if any(name in state.disabled_endpoints for name in record.endpoints):
        return NEVER
    snapshots = [record.call_limiter, *(endpoint.call_limiter for endpoint in endpoints)]
    times = [snapshot.relevant_until(state.limits) for snapshot in snapshots if snapshot is not None]
    times += [
        endpoint.avoid_until + LEARNED_STATE_TTL_US for endpoint in endpoints if endpoint.consecutive_failures
    ]
    return max(times, default=0)


def _forget_endpoint(state: DecisionState, name: str, record: HibernatedDestination) -> None:
    if state.hibernated_endpoints.get(name) == record.number:  # otherwise it has moved to another destination
        del state.hibernated_endpoints[name]
