"""Endpoint table: list updates, draining, removal, and endpoints that the operator disables.

The list contains no health information. A draining or removed endpoint receives no new call.
"""

from __future__ import annotations

from itertools import islice

from loftrelay.decisions import hibernation
from loftrelay.decisions.call_limiter import CallLimiter, CallLimiterSnapshot
from loftrelay.decisions.entities import Endpoint, EndpointKindStats
from loftrelay.decisions.events import (
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from loftrelay.decisions.limits import DEFAULT_POLL_INTERVAL_US
from loftrelay.decisions.retry import backoff
from loftrelay.decisions.settings import EndpointKind
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

# Together with the request itself this stays below the 6 s within which a drain must take effect.
MAX_POLL_BACKOFF_US = 2 * SECOND_US
MIN_POLL_BACKOFF_SHARE = 0.7  # jitter: the longest delay is drawn from this share of the maximum upwards
MIN_REMOVAL_CHECKS = 64  # removed endpoints checked per change of the list, at least
RATE_KINDS = ("nominal", "rough")  # values of `listed_rate_kind` for which listed rates are limits


def update_list(state: DecisionState, event: EndpointListReceived) -> None:
    """Applies a full list or its changes; after a failed request keeps the old list and schedules a retry."""
    if event.kind is EndpointListKind.FAILED:
        _schedule_poll(state)
        return
    if event.kind is not EndpointListKind.CACHED:
        state.poll_failures = 0
    is_delta = event.kind is EndpointListKind.DELTA
    if not is_delta:
        _mark_all_removed(state)
    for entry in event.entries:
        _apply_entry(state, entry)
    # Bounds the cost of a change by its size, independently of the number of listed endpoints.
    checks = max(MIN_REMOVAL_CHECKS, 2 * len(event.entries)) if is_delta else len(state.removed_endpoints)
    for name in list(islice(state.removed_endpoints, checks)):
        _drop_if_unused(state, state.removed_endpoints.pop(name))


def disable(state: DecisionState, name: str) -> None:
    """Disables an endpoint for the operator, whatever its state in the list."""
    state.disabled_endpoints.add(name)
    if endpoint := state.endpoints.get(name):
        endpoint.is_disabled = True


def enable(state: DecisionState, name: str) -> None:
    """Enables an endpoint that the operator has restarted.

    A restarted endpoint is cold, and earlier failures say nothing about it: they are cleared, and slow start
    begins unless available siblings share its limiter.
    """
    if (endpoint := state.endpoints.get(name)) is not None and endpoint.is_disabled:
        _restart(state, endpoint)
    elif name in state.disabled_endpoints:
        _restart_hibernated(state, name)
    state.disabled_endpoints.discard(name)
    record = state.hibernated.get(state.hibernated_endpoints.get(name, -1))
    if record is not None:
        hibernation.drop_if_irrelevant(state, record)


def avoided_count(state: DecisionState) -> int:
    """Returns how many listed endpoints are avoided now: disabled by the operator, or failing."""
    return sum(
        endpoint.state is not EndpointState.REMOVED
        and (
            endpoint.is_disabled or endpoint.call_limiter.breaker.is_open or endpoint.avoid_until > state.now
        )
        for endpoint in state.endpoints.values()
    )


def _schedule_poll(state: DecisionState) -> None:
    """Schedules the next request with a growing delay, so that a busy discovery service is not overloaded."""
    if not state.settings.polls_endpoint_list:
        return
    interval = state.settings.poll_interval or DEFAULT_POLL_INTERVAL_US
    longest = min(MAX_POLL_BACKOFF_US, interval // 2)
    longest = int(longest * state.random.uniform(MIN_POLL_BACKOFF_SHARE, 1))
    state.watch_at = state.now + min(backoff(state, state.poll_failures), longest)
    state.poll_failures += 1


def _mark_all_removed(state: DecisionState) -> None:
    for endpoint in state.endpoints.values():
        endpoint.state = EndpointState.REMOVED
    state.removed_endpoints = dict(state.endpoints)


def _apply_entry(state: DecisionState, entry: EndpointEntry) -> None:
    endpoint = state.endpoints.get(entry.endpoint) or _add_endpoint(state, entry)
    endpoint.state = entry.state
    if entry.state is EndpointState.REMOVED:
        state.removed_endpoints[entry.endpoint] = endpoint
    else:
        state.removed_endpoints.pop(entry.endpoint, None)
    if entry.listed_rate and state.settings.listed_rate_kind in RATE_KINDS:
        endpoint.listed_rate = endpoint.call_limiter.listed_rate = entry.listed_rate


def _add_endpoint(state: DecisionState, entry: EndpointEntry) -> Endpoint:
    kind: EndpointKind | None = state.settings.endpoint_kinds.get(entry.kind or "")
    has_own_call_limiter = kind is not None and kind.has_endpoint_limits
    destination = hibernation.get_or_create_destination(state, entry.destination)
    endpoint = Endpoint(
        name=entry.endpoint,
        destination=destination,
        call_limiter=CallLimiter() if has_own_call_limiter else destination.call_limiter,
        state=entry.state,
        zone=entry.zone,
        kind_stats=state.kind_stats.setdefault(entry.kind, EndpointKindStats()),
        max_batch_size=max(1, (kind and kind.max_batch_size) or 1),
        zone_cost=state.settings.zone_costs.get(entry.zone or "", 0.0) if has_own_call_limiter else 0.0,
        is_disabled=entry.endpoint in state.disabled_endpoints,
    )
    state.endpoints[entry.endpoint] = endpoint
    destination.endpoints.append(endpoint)
    hibernation.restore_endpoint(state, endpoint)
    return endpoint


def _drop_if_unused(state: DecisionState, endpoint: Endpoint) -> None:
    """Drops a removed endpoint unless something still refers to it.

    This may be a call, a Retry-After, or an open circuit or slow start of a call limiter of its own.
    """
    limiter, destination = endpoint.call_limiter, endpoint.destination
    is_failing = limiter is not destination.call_limiter and (
        limiter.breaker.is_open or limiter.slow_start.is_active
    )
    if endpoint.in_flight or is_failing or limiter.retry_after_until > state.now:
        state.removed_endpoints[endpoint.name] = endpoint  # moves to the end of the check order
        return
    del state.endpoints[endpoint.name]
    destination.endpoints.remove(endpoint)


def _restart(state: DecisionState, endpoint: Endpoint) -> None:
    endpoint.is_disabled = False
    endpoint.consecutive_failures, endpoint.avoid_until = 0, 0
    siblings = [peer for peer in endpoint.available_peers if peer is not endpoint]
    # The siblings that share its call limiter carry the load already; slow start would limit them, too.
    if not any(sibling.call_limiter is endpoint.call_limiter for sibling in siblings):
        endpoint.call_limiter.restart(state.now)


def _restart_hibernated(state: DecisionState, name: str) -> None:
    limiter = hibernation.find_call_limiter(state, name)
    if not isinstance(limiter, CallLimiterSnapshot):
        return
    limiter.restart(state.now)  # siblings are unknown here: the destination is hibernated
    record = state.hibernated[state.hibernated_endpoints[name]].endpoints[name]
    record.consecutive_failures, record.avoid_until = 0, 0
