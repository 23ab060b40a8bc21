"""Idempotency: whether, where and until when a message that may have run can be attempted again.

An attempt with an unknown outcome may have taken effect. An idempotent message can always be repeated. A
message that its destination deduplicates can be repeated within the dedup window and scope. No other message
can be repeated.
"""

from __future__ import annotations

from loftrelay.decisions.entities import Endpoint, OpenMessage
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.settings import DeliverySemantics
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER, SECOND_US

GLOBAL_SCOPE = "all"
ZONE_SCOPE = "zone"
WINDOW_MARGIN_US = SECOND_US // 10  # the transit times of two calls may differ by this much
WINDOW_MARGIN_DIVISOR = 10  # the margin is at most the window divided by this
# After these outcomes the attempt may have taken effect.
UNCERTAIN_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.MALFORMED_RESPONSE,
    AttemptStatus.CANCELLED,
)


def dedup_window_end(state: DecisionState, message: OpenMessage) -> int:
    """Returns until when the destination is certain to drop a duplicate; NEVER if no window applies."""
    if message.first_uncertain_attempt_at is None or not message.is_deduplicated:
        return NEVER
    window = message.message_class.dedup_window or 0
    margin = min(WINDOW_MARGIN_US, window // WINDOW_MARGIN_DIVISOR)
    return message.first_uncertain_attempt_at + window - margin - 2 * (state.settings.batch_interval or 0) - 1


def may_repeat_at(state: DecisionState, message: OpenMessage, endpoint: Endpoint) -> bool:
    """Returns whether a message that may have run can be repeated at an endpoint now."""
    if message.message_class.semantics is DeliverySemantics.IDEMPOTENT:
        return True
    if not message.is_deduplicated or state.now >= dedup_window_end(state, message):
        return False
    scope, first = message.message_class.dedup_scope, message.first_uncertain_attempt_endpoint
    if scope == GLOBAL_SCOPE or first is endpoint:
        return True
    return scope == ZONE_SCOPE and first is not None and endpoint.zone == first.zone


def can_reject(message: OpenMessage) -> bool:
    """Returns whether a message can be rejected, which guarantees that sending it again is safe."""
    if message.call is not None:
        return False
    semantics = message.message_class.semantics
    if not message.may_have_run or semantics is DeliverySemantics.IDEMPOTENT:
        return True
    return message.is_deduplicated and message.message_class.dedup_scope == GLOBAL_SCOPE


def record_uncertain_attempt(message: OpenMessage, sent_at: int, endpoint: Endpoint | None) -> None:
    """Records the time and endpoint of the first attempt that may have run; ignores later ones."""
    if message.first_uncertain_attempt_at is None:
        message.first_uncertain_attempt_at = sent_at
        message.first_uncertain_attempt_endpoint = endpoint
