"""Deadlines: when it is too late to start a call for a message."""

from __future__ import annotations

from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.units import SECOND_US

MIN_CALL_TIME_US = SECOND_US // 50  # a call with less time left is not started
MAX_RESERVED_SHARE = 1 / 4  # largest share of a message's lifetime reserved for its last call
DEFAULT_CALL_TIME_US = SECOND_US // 5  # assumed until a call has succeeded
BATCH_DEADLINE_DEVIATIONS = 4  # mean deviations above the usual call time that count as a slow call


def latest_send_time(message: OpenMessage) -> int:
    """Returns the latest time at which a call of usual duration can start and still end by the deadline."""
    destination = message.destination
    usual = destination.call_limiter.call_times.smoothed or max(
        (endpoint.usual_call_time for endpoint in destination.endpoints), default=0
    )
    reserved = min(usual, (message.deadline - message.admitted_at) * MAX_RESERVED_SHARE)
    return message.deadline - int(max(MIN_CALL_TIME_US, reserved)) - 1


def fits_deadline(now: int, message: OpenMessage, endpoint: Endpoint) -> bool:
    """Returns whether even a slow call to an endpoint would end before the deadline of a message."""
    times = endpoint.call_times
    usual = times.smoothed or DEFAULT_CALL_TIME_US
    deviation = times.deviation or DEFAULT_CALL_TIME_US / 2
    return message.deadline - now >= usual + BATCH_DEADLINE_DEVIATIONS * deviation
