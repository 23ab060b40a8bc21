"""Batching: which messages share one call.

A batch has one outcome, and its call is abandoned at the earliest deadline in it. Messages whose deadlines
leave time for a slow call are therefore batched together, and a message close to its deadline is never
batched with an at-most-once message that has more time.
"""

from __future__ import annotations

from loftrelay.decisions.availability import slow_start_budget
from loftrelay.decisions.deadlines import fits_deadline
from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.ordering import is_next
from loftrelay.decisions.priority import priority
from loftrelay.decisions.routing import may_attempt
from loftrelay.decisions.slow_start import EXTRA_MESSAGE_WEIGHT
from loftrelay.decisions.state import DecisionState


def batch_capacity(state: DecisionState, endpoint: Endpoint) -> int:
    """Returns how many messages a call to an endpoint may carry now.

    A probe carries one, because a failed probe costs each of its messages an attempt and starts its dedup
    window.
    """
    limiter, capacity = endpoint.call_limiter, endpoint.max_batch_size
    if limiter.breaker.is_open:
        return 1
    if capacity > 1 and limiter.slow_start.is_active:
        budget = slow_start_budget(state, limiter, endpoint.destination)
        spare = budget - limiter.slow_start.spent - 1
        capacity = int(min(capacity, 1 + max(0.0, spare) / EXTRA_MESSAGE_WEIGHT))
    return capacity


def batch_for(state: DecisionState, first: OpenMessage, endpoint: Endpoint) -> list[OpenMessage]:
    """Returns the messages of one call: `first`, then the others by descending priority."""
    if endpoint.max_batch_size <= 1:
        return [first]
    ready = [
        message
        for message in endpoint.destination.waiting.values()
        if message is not first
        and message.not_before <= state.now
        and is_next(state, message)
        and may_attempt(state, message, endpoint)
    ]
    if fits_deadline(state.now, first, endpoint):
        ready = [message for message in ready if fits_deadline(state.now, message, endpoint)]
    else:
        ready = [
            message
            for message in ready
            if message.is_repeatable or not fits_deadline(state.now, message, endpoint)
        ]
    ready.sort(key=lambda message: priority(state, message), reverse=True)
    return [first, *ready[: batch_capacity(state, endpoint) - 1]]
