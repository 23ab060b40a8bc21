"""Retry: exponential backoff with jitter, and the timeout of an attempt.

A retry is delayed by BACKOFF_BASE_US times a growing power of two, or by the Retry-After of the response if
that is longer. A message is retried until its attempts are used up, too little time is left, or it must
not be repeated (`lifecycle.enqueue_or_end`).
"""

from __future__ import annotations

from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.events import AttemptEnded, AttemptStatus
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

BACKOFF_BASE_US = SECOND_US // 2
BACKOFF_FACTOR = 2
BACKOFF_MAX_EXPONENT = 16
BACKOFF_JITTER = 0.15  # added share, uniform from 0, so that relays do not retry in step
# Between probes of a failing destination; short enough to notice the end of an outage of a few seconds.
MAX_PROBE_INTERVAL_US = 4 * SECOND_US

TIMEOUT_DEVIATIONS = 6  # mean deviations above the smoothed call time
MIN_TIMEOUT_US = SECOND_US
# For a call in the last free slot, which a hung call must not occupy for long.
MIN_TIMEOUT_LAST_SLOT_US = 6 * SECOND_US // 10
INITIAL_TIMEOUT_US = 3 * SECOND_US  # until a call has succeeded
IDLE_SLOTS_TIMEOUT_FACTOR = 2  # while half of the slots are free and the last call did not fail
AT_MOST_ONCE_TIMEOUT_FACTOR = 3  # longer, because a timeout ends a message that cannot be repeated


def with_jitter(state: DecisionState, delay: float) -> int:
    """Returns a delay in microseconds with random jitter added."""
    return int(delay * (1 + BACKOFF_JITTER * state.random.random()))


def backoff(state: DecisionState, exponent: int) -> int:
    """Returns the delay in microseconds before a retry, after `exponent` earlier retries."""
    return with_jitter(state, BACKOFF_BASE_US * BACKOFF_FACTOR ** min(exponent, BACKOFF_MAX_EXPONENT))


def retry_delay(state: DecisionState, message: OpenMessage, event: AttemptEnded) -> int:
    """Returns the delay of the next attempt of a message, in microseconds."""
    if event.status is AttemptStatus.NOT_SENT:
        delay = 0
    else:
        delay = max(backoff(state, message.attempts - 1), event.retry_after)
    if event.status is AttemptStatus.CONNECT_FAILED and _has_healthy_endpoint(message):
        delay = 0  # another endpoint can take it immediately
    return max(delay, event.postponed_for)


def _has_healthy_endpoint(message: OpenMessage) -> bool:
    endpoints = message.destination.endpoints
    return any(endpoint.consecutive_failures == 0 and endpoint.is_available for endpoint in endpoints)


def attempt_timeout(state: DecisionState, message: OpenMessage, endpoint: Endpoint) -> int:
    """Returns the timeout of an attempt in microseconds, derived from the call times measured so far."""
    limiter, times, limits = endpoint.call_limiter, endpoint.call_times, state.limits
    timeout = INITIAL_TIMEOUT_US
    if times.smoothed:
        is_last_slot = state.calls_in_flight >= limits.max_concurrent_calls - 1
        shortest = MIN_TIMEOUT_LAST_SLOT_US if is_last_slot else MIN_TIMEOUT_US
        timeout = int(max(shortest, times.smoothed + TIMEOUT_DEVIATIONS * times.deviation))
    has_idle_slots = state.calls_in_flight * 2 <= limits.max_concurrent_calls
    if limiter.breaker.consecutive_failures == 0 and has_idle_slots:
        timeout *= IDLE_SLOTS_TIMEOUT_FACTOR
    if not message.is_repeatable:
        timeout *= AT_MOST_ONCE_TIMEOUT_FACTOR
    return timeout
