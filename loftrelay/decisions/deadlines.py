"""Deadlines: when it is too late to begin a call for a message."""

from __future__ import annotations

from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.units import SECOND_US

MIN_CALL_TIME_US = SECOND_US // 50  # a call with less time left is not begun
MAX_RESERVED_SHARE = 1 / 4  # of a message's whole time that is reserved for its last call
DEFAULT_CALL_TIME_US = SECOND_US // 5  # before any call was seen
BATCH_DEADLINE_DEVIATIONS = 4


def latest_send_time(message: OpenMessage) -> int:
    """Returns the last moment at which a call of usual length can still be answered in time."""
    destination = message.destination
    usual = destination.gate.call_times.smoothed or max(
        (endpoint.usual_call_time for endpoint in destination.endpoints), default=0
    )
    reserved = min(usual, (message.deadline - message.admitted_at) * MAX_RESERVED_SHARE)
    return message.deadline - int(max(MIN_CALL_TIME_US, reserved)) - 1


def fits_deadline(now: int, message: OpenMessage, endpoint: Endpoint) -> bool:
    """Returns whether a message lives until even a slow call to an endpoint is answered."""
    times = endpoint.call_times
    usual = times.smoothed or DEFAULT_CALL_TIME_US
    deviation = times.deviation or DEFAULT_CALL_TIME_US / 2
    return message.deadline - now >= usual + BATCH_DEADLINE_DEVIATIONS * deviation
