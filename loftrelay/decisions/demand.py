"""Demand: how many messages a second this relay is given for a destination."""

from __future__ import annotations

import math

from loftrelay.decisions.entities import Destination
from loftrelay.decisions.estimators import DEMAND_SPAN_US
from loftrelay.decisions.gate import Gate
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import SECOND_US

MIN_OBSERVED_US = 2 * SECOND_US  # a shorter time tells too little of the demand


def observed_fraction(state: DecisionState) -> float:
    """Returns the part of the demand that a decaying rate has seen since the start, over 0 up to 1."""
    observed = max(state.now - state.started_at, MIN_OBSERVED_US)
    return 1 - math.exp(-observed / DEMAND_SPAN_US)


def demand_rate(state: DecisionState, gate: Gate, destination: Destination) -> float:
    """Returns the messages a second that this relay is given for a gate.

    The parts of all relays add up to the whole at any size of the fleet. Where the limit of the destination
    is listed, the mean of the part of the traffic and the part of the limit counts.
    """
    rate = destination.demand.read(state.now) / observed_fraction(state)
    if gate is not destination.gate:
        available = [each for each in destination.endpoints if each.is_available]
        shares = [(each.listed_rate or 1.0, each.gate) for each in available]
        own = sum(share for share, of in shares if of is gate)
        rate *= own / (sum(share for share, _ in shares) or 1.0)
    return (rate + gate.listed_rate / state.limits.relay_count) / 2 if gate.listed_rate else rate


def arrival_weight(age: int) -> float:
    """Returns what an arrival counts; one recovered at a restart came over its whole age, not in a rush."""
    return MIN_OBSERVED_US / max(MIN_OBSERVED_US, age)
