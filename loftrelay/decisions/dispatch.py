"""Dispatch: fills the free call slots with the calls of the highest priority per slot time."""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from loftrelay.decisions import idle_connections, ordering
from loftrelay.decisions.actions import CloseIdleConnections, SendAttempt
from loftrelay.decisions.batching import batch_capacity, batch_for
from loftrelay.decisions.deadlines import fits_deadline
from loftrelay.decisions.entities import Call, Destination, Endpoint, OpenMessage
from loftrelay.decisions.idempotency import dedup_window_end
from loftrelay.decisions.priority import priority
from loftrelay.decisions.retry import BACKOFF_BASE_US, MIN_TIMEOUT_US, attempt_timeout
from loftrelay.decisions.routing import available_endpoints, may_attempt
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER, SECOND_US

MIN_SLOT_TIME_US = SECOND_US / 20
# A failed call with less time than its timeout divided by this does not count against its endpoint.
CONCLUSIVE_TIMEOUT_DIVISOR = 2


@dataclass(slots=True, frozen=True)
class Candidate:
    """The best call to one destination at the current time."""

    value: float  # summed priority per microsecond of slot time
    message: OpenMessage
    endpoint: Endpoint


def fill_slots(state: DecisionState) -> None:
    """Sends calls while call slots are free and a message may be sent."""
    destinations = [destination for destination in state.backlog.values() if destination.waiting]
    if len(destinations) < len(state.backlog):
        state.backlog = {destination.number: destination for destination in destinations}
    best: dict[int, Candidate] = {}
    while state.calls_in_flight < state.limits.max_concurrent_calls:
        for destination in destinations:
            candidate = choose_call(state, destination)
            if candidate is not None:
                best[destination.number] = candidate
        if not best:
            return
        number = max(best, key=lambda candidate_number: best[candidate_number].value)
        candidate = best.pop(number)
        send_call(state, candidate.message, candidate.endpoint)
        destinations = [state.destinations[number]]


def choose_call(state: DecisionState, destination: Destination) -> Candidate | None:
    """Returns the best message of a destination and its endpoint; None if no message may be sent now."""
    endpoints = available_endpoints(state, destination)
    if not endpoints:
        return None
    is_probe = endpoints[0].call_limiter.breaker.is_open
    first: tuple[float, OpenMessage, Endpoint] | None = None
    priorities: list[float] = []
    for message in destination.waiting.values():
        if not _is_due(state, message):
            continue
        priorities.append(priority(state, message))
        # A probe carries the message with the latest deadline, which has most time for a retry.
        rank = float(message.deadline) if is_probe else priorities[-1]
        if first is not None and rank <= first[0]:
            continue
        endpoint = next(
            (candidate for candidate in endpoints if may_attempt(state, message, candidate)), None
        )
        if endpoint is not None:
            first = (rank, message, endpoint)
        else:
            state.run_batch_no_later_than(state.now + BACKOFF_BASE_US)
    if first is None:
        return None
    _, message, endpoint = first
    value = sum(heapq.nlargest(batch_capacity(state, endpoint), priorities))
    return Candidate(value / max(MIN_SLOT_TIME_US, endpoint.call_times.smoothed), message, endpoint)


def _is_due(state: DecisionState, message: OpenMessage) -> bool:
    """Returns whether backoff and ordering allow a message; otherwise schedules a batch for a due time."""
    if message.not_before > state.now:
        state.run_batch_no_later_than(message.not_before)
        return False
    if ordering.is_next(state, message):
        return True
    key = message.ordering_key
    if key is not None and ordering.is_first(message):
        state.run_batch_no_later_than(key.cooldown_until)
    return False


def send_call(state: DecisionState, first: OpenMessage, endpoint: Endpoint) -> None:
    """Sends a call with a message and all others that may share it."""
    messages = batch_for(state, first, endpoint)
    idle = 0 if endpoint.in_flight else max(0, state.now - endpoint.last_used_at)
    call = Call(endpoint, state.now, connection_idle=idle, pending_messages=len(messages))
    max_idle = _close_stale_connection(state, call, messages)
    endpoint.last_used_at = state.now
    endpoint.call_rate.add(state.now)
    call.is_cut_short = _is_cut_short(state, messages, endpoint)
    for message in messages:
        _send_attempt(state, message, call, max_idle)
    _count_call(state, call, len(messages))


def _close_stale_connection(state: DecisionState, call: Call, messages: list[OpenMessage]) -> int | None:
    """Closes idle connections that are likely to be reset.

    A call whose messages can all be repeated may use any connection: its outcome shows whether idle
    connections are still reset.

    Returns:
        The longest idle time allowed for this call's connection, in microseconds; None for no limit.
    """
    if all(message.is_repeatable for message in messages):
        return None
    max_idle = idle_connections.max_connection_idle(state)
    if max_idle is not None and call.connection_idle >= max_idle:
        state.actions.append(CloseIdleConnections(call.endpoint.name))
        call.connection_idle = 0
    return max_idle


def _is_cut_short(state: DecisionState, messages: list[OpenMessage], endpoint: Endpoint) -> bool:
    """Returns whether deadlines leave a call too little time for a failure to count against its endpoint."""
    shortest = min(messages, key=lambda message: message.deadline)
    timeout = max(attempt_timeout(state, message, endpoint) for message in messages)
    if shortest.deadline - state.now < min(timeout, MIN_TIMEOUT_US) // CONCLUSIVE_TIMEOUT_DIVISOR:
        return True
    return len(messages) > 1 and not fits_deadline(state.now, shortest, endpoint)


def _send_attempt(state: DecisionState, message: OpenMessage, call: Call, max_idle: int | None) -> None:
    endpoint = call.endpoint
    del endpoint.destination.waiting[message.name]
    message.call = call
    message.attempts += 1
    timeout = min(attempt_timeout(state, message, endpoint), message.deadline - state.now)
    window_end = dedup_window_end(state, message)
    send_within = window_end - state.now if window_end < NEVER else None
    state.actions.append(SendAttempt(message.name, endpoint.name, max(1, timeout), max_idle, send_within))


def _count_call(state: DecisionState, call: Call, messages: int) -> None:
    limiter, endpoint = call.endpoint.call_limiter, call.endpoint
    state.calls_in_flight += 1
    limiter.window.in_flight += 1
    endpoint.destination.in_flight += 1
    endpoint.in_flight += 1
    limiter.rate_limiter.record_call(state.now, state.random)
    limiter.slow_start.record_call(state.now, messages, state.limits)
