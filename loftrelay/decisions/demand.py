"""Demand: how many messages per second this relay receives for a destination."""

from __future__ import annotations

import math

from loftrelay.decisions.call_limiter import CallLimiter
from loftrelay.decisions.entities import Destination
from loftrelay.decisions.estimators import DEMAND_SPAN_US
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

MIN_OBSERVED_US = 2 * SECOND_US  # a shorter observation gives no usable rate


def observed_fraction(state: DecisionState) -> float:
    """Returns the share of the demand that a decaying rate has recorded since the start, in (0, 1]."""
    observed = max(state.now - state.started_at, MIN_OBSERVED_US)
    return 1 - math.exp(-observed / DEMAND_SPAN_US)


def demand_rate(state: DecisionState, limiter: CallLimiter, destination: Destination) -> float:
    """Returns the messages per second that this relay receives for the endpoints of a call limiter.

    The rates of all relays add up to the total demand at any fleet size. If the rate limit of the destination
    is listed, the result is the mean of this relay's traffic and its share of that limit.
    """
    rate = destination.demand.read(state.now) / observed_fraction(state)
    if limiter is not destination.call_limiter:
        available = [endpoint for endpoint in destination.endpoints if endpoint.is_available]
        weights = [(endpoint.listed_rate or 1.0, endpoint.call_limiter) for endpoint in available]
        limiter_weight = sum(weight for weight, endpoint_limiter in weights if endpoint_limiter is limiter)
        rate *= limiter_weight / (sum(weight for weight, _ in weights) or 1.0)
    return (rate + limiter.listed_rate / state.limits.relay_count) / 2 if limiter.listed_rate else rate


def arrival_weight(age: int) -> float:
    """Returns the weight of an arrival in the demand.

    Messages recovered at a restart had arrived over their whole age; at full weight they would look like a
    burst.
    """
    return MIN_OBSERVED_US / max(MIN_OBSERVED_US, age)
