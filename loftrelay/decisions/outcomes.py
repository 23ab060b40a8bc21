"""Outcomes: what the end of an attempt changes for its message, its call and its destination."""

from __future__ import annotations

from loftrelay.decisions import feedback, hibernation, lifecycle, ordering
from loftrelay.decisions.entities import Call, OpenMessage
from loftrelay.decisions.events import AttemptEnded, AttemptStatus
from loftrelay.decisions.idempotency import UNCERTAIN_STATUSES, record_uncertain_attempt
from loftrelay.decisions.retry import retry_delay
from loftrelay.decisions.state import DecisionState


def attempt_ended(state: DecisionState, event: AttemptEnded) -> None:
    """Handles the outcome of one attempt of a message."""
    message = state.messages.get(event.message_id)
    call = message.call if message is not None else None
    # Each message of a batch reports the Retry-After of its call; it applies even if the message has ended.
    apply_retry_after(state, call.endpoint.name if call is not None else event.endpoint, event.retry_after)
    if message is None or call is None:
        return
    message.call = None
    _release_slot(state, call)
    # Messages of a batch time out one by one: while others are pending, the outcome of the call is unknown.
    is_decided = call.pending_messages == 0 or event.status is not AttemptStatus.TIMEOUT
    if is_decided and not event.postponed_for and not call.is_evaluated:
        call.is_evaluated = True
        feedback.evaluate(state, call, event)
    if event.status in UNCERTAIN_STATUSES:
        _record_uncertain_outcome(state, message, call, event.status)
    if event.is_final or message.is_ended:
        lifecycle.finish(state, message, None)
    elif event.is_expired:
        lifecycle.fail(state, message)
    else:
        _retry(state, message, event)


def apply_retry_after(state: DecisionState, endpoint_name: str, retry_after: int) -> None:
    """Blocks calls to an endpoint for the given microseconds; 0 changes nothing."""
    if retry_after <= 0:
        return
    if (endpoint := state.endpoints.get(endpoint_name)) is not None:
        state.destinations_to_check[endpoint.destination.number] = endpoint.destination
    limiter = hibernation.find_call_limiter(state, endpoint_name)
    if limiter is not None:
        limiter.block_until(state.now + retry_after)


def _release_slot(state: DecisionState, call: Call) -> None:
    """Frees the slot of a call once the last message in it has its outcome."""
    call.pending_messages -= 1
    if call.pending_messages:
        return
    endpoint = call.endpoint
    state.calls_in_flight -= 1
    endpoint.call_limiter.window.in_flight -= 1
    endpoint.destination.in_flight -= 1
    endpoint.in_flight -= 1
    for key in call.uncertain_keys:
        ordering.start_cooldown(state, key, endpoint.destination)


def _record_uncertain_outcome(
    state: DecisionState, message: OpenMessage, call: Call, status: AttemptStatus
) -> None:
    """Records that an attempt may have run, and blocks its ordering key while it may still be running."""
    record_uncertain_attempt(message, call.sent_at, call.endpoint)
    if message.ordering_key is None or status is AttemptStatus.ERROR:
        return
    if call.pending_messages:
        ordering.hold_until_call_ends(message.ordering_key, call)
    else:
        ordering.start_cooldown(state, message.ordering_key, message.destination)


def _retry(state: DecisionState, message: OpenMessage, event: AttemptEnded) -> None:
    """Schedules the next attempt of a message, or ends the message."""
    if event.postponed_for:
        message.attempts -= 1  # an attempt that this relay did not start is not counted
    message.not_before = state.now + retry_delay(state, message, event)
    lifecycle.enqueue_or_end(state, message)
