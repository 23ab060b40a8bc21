"""Priority of waiting messages."""

from __future__ import annotations

from loftrelay.decisions.entities import OpenMessage
from loftrelay.decisions.limits import DEFAULT_LATENCY_OBJECTIVE_US
from loftrelay.decisions.state import DecisionState


def priority(state: DecisionState, message: OpenMessage) -> float:
    """Returns the priority of a message. It rises with the wait, so that no class or tenant starves."""
    objective = message.message_class.latency_objective or DEFAULT_LATENCY_OBJECTIVE_US
    return message.priority_weight * (1 + (state.now - message.admitted_at) / objective)
