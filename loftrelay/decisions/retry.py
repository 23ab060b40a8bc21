"""Retry: exponential backoff with jitter, and the timeout of an attempt.

A retry waits for BACKOFF_BASE_US times a growing power of two, or for the Retry-After of the response if that
is longer. A message goes again until its attempts are used up, its time runs short, or it must not be
repeated (`lifecycle.enqueue_or_end`).
"""

from __future__ import annotations

from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.events import AttemptEnded, AttemptStatus
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

BACKOFF_BASE_US = SECOND_US // 2
BACKOFF_FACTOR = 2
BACKOFF_MAX_EXPONENT = 16
BACKOFF_JITTER = 0.15  # added share, drawn evenly, so that relays don't retry in step
# Between probes of a failing destination, to see an outage of seconds end.
MAX_PROBE_INTERVAL_US = 4 * SECOND_US

TIMEOUT_DEVIATIONS = 6  # over the usual call time
MIN_TIMEOUT_US = SECOND_US
MIN_TIMEOUT_LAST_SLOT_US = (
    6 * SECOND_US // 10
)  # for the last free slot: a hung call must not hold it for long
INITIAL_TIMEOUT_US = 3 * SECOND_US  # before any call was seen
IDLE_SLOTS_TIMEOUT_FACTOR = 2  # while half of the slots are free and nothing has failed
AT_MOST_ONCE_TIMEOUT_FACTOR = 3  # a timeout ends a message that can't be repeated


def with_jitter(state: DecisionState, delay: float) -> int:
    """Returns a delay in microseconds with jitter added."""
    return int(delay * (1 + BACKOFF_JITTER * state.random.random()))


def backoff(state: DecisionState, exponent: int) -> int:
    """Returns the delay in microseconds before a retry, after `exponent` earlier ones."""
    return with_jitter(state, BACKOFF_BASE_US * BACKOFF_FACTOR ** min(exponent, BACKOFF_MAX_EXPONENT))


def retry_delay(state: DecisionState, message: OpenMessage, event: AttemptEnded) -> int:
    """Returns how long a message waits after an attempt, in microseconds."""
    if event.status is AttemptStatus.NOT_SENT:
        delay = 0
    else:
        delay = max(backoff(state, message.attempts - 1), event.retry_after)
    if event.status is AttemptStatus.CONNECT_FAILED and _has_healthy_endpoint(message):
        delay = 0  # another endpoint takes it at once
    return max(delay, event.postponed_for)


def _has_healthy_endpoint(message: OpenMessage) -> bool:
    endpoints = message.destination.endpoints
    return any(each.consecutive_failures == 0 and each.is_available for each in endpoints)


def attempt_timeout(state: DecisionState, message: OpenMessage, endpoint: Endpoint) -> int:
    """Returns how long an attempt may take, in microseconds, from the call times seen so far."""
    gate, times, limits = endpoint.gate, endpoint.call_times, state.limits
    timeout = INITIAL_TIMEOUT_US
    if times.smoothed:
        is_last_slot = state.calls_in_flight >= limits.max_concurrent_calls - 1
        shortest = MIN_TIMEOUT_LAST_SLOT_US if is_last_slot else MIN_TIMEOUT_US
        timeout = int(max(shortest, times.smoothed + TIMEOUT_DEVIATIONS * times.deviation))
    has_idle_slots = state.calls_in_flight * 2 <= limits.max_concurrent_calls
    if gate.breaker.consecutive_failures == 0 and has_idle_slots:
        timeout *= IDLE_SLOTS_TIMEOUT_FACTOR
    if not message.is_repeatable:
        timeout *= AT_MOST_ONCE_TIMEOUT_FACTOR
    return timeout
