"""Life cycle of a message: admission or recovery, waiting, and exactly one end."""

from __future__ import annotations

from loftrelay.decisions import hibernation, ordering
from loftrelay.decisions.actions import Action, FailMessage, RejectMessage
from loftrelay.decisions.deadlines import latest_send_time
from loftrelay.decisions.demand import arrival_weight
from loftrelay.decisions.entities import OpenMessage
from loftrelay.decisions.events import MessageRecovered, MessageSubmitted, OutcomeDisputed
from loftrelay.decisions.idempotency import can_reject, dedup_window_end, record_uncertain_attempt
from loftrelay.decisions.limits import DEFAULT_MAX_ATTEMPTS
from loftrelay.decisions.quota import quota_factor
from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER, SECOND_US

LAST_ATTEMPT_MARGIN_US = SECOND_US // 4  # time reserved at the end of the dedup window for a last attempt
LAST_ATTEMPT_DIVISOR = 4  # the margin is at most the window divided by this


def admit(state: DecisionState, event: MessageSubmitted, age: int = 0) -> OpenMessage:
    """Admits a message that arrived `age` microseconds ago and enqueues it."""
    destination = hibernation.get_or_create_destination(state, event.destination)
    message_class = _class_of(state, event)
    terms = event.terms
    max_attempts = terms.max_attempts if terms else state.settings.max_attempts
    weight = 1.0 if message_class.priority_weight is None else message_class.priority_weight
    message = OpenMessage(
        name=event.message_id,
        message_class=message_class,
        destination=destination,
        priority_weight=weight * quota_factor(state, event.tenant),
        admitted_at=state.now,
        deadline=state.now + max(0, event.time_remaining),
        ordering_key=None,
        max_attempts=max(1, max_attempts or DEFAULT_MAX_ATTEMPTS),
    )
    state.messages[event.message_id] = message
    destination.unfinished += 1
    state.arrivals.add(state.now, arrival_weight(age))
    destination.demand.add(state.now, arrival_weight(age))
    if message_class.is_ordered and event.ordering_key is not None:
        ordering.join_queue(state, message, event.ordering_key)
    enqueue(state, message)
    return message


def _class_of(state: DecisionState, event: MessageSubmitted) -> MessageClass:
    """Returns the class under which a message was admitted; treats an unknown class as at-most-once."""
    if event.terms:
        return event.terms.message_class
    known = state.settings.classes.get(event.class_name)
    if known is not None:
        return known
    return MessageClass(
        name=event.class_name,
        semantics=DeliverySemantics.UNKNOWN,
        dedup_scope=None,
        dedup_window=None,
        latency_objective=None,
        deadline=None,
        priority_weight=None,
        late_priority_weight=None,
        is_ordered=False,
    )


def recover(state: DecisionState, event: MessageRecovered) -> None:
    """Restores a message from before a restart, with its attempt count and first uncertain attempt."""
    message = admit(state, event.submission, event.age)
    message.admitted_at = state.now - event.age
    message.attempts = event.attempts
    message.not_before = state.now
    if event.first_uncertain_attempt_age is not None:
        message.first_uncertain_attempt_at = state.now - event.first_uncertain_attempt_age
        message.first_uncertain_attempt_endpoint = state.endpoints.get(
            event.first_uncertain_attempt_endpoint or ""
        )
    message.destination.waiting.pop(message.name)
    if event.is_ended:
        message.is_ended = True
        _close(state, message, is_reported=False)
    else:
        enqueue_or_end(state, message)


def enqueue(state: DecisionState, message: OpenMessage) -> None:
    """Puts a message into the waiting list of its destination."""
    destination = message.destination
    destination.waiting[message.name] = message
    state.destinations_to_check[destination.number] = destination
    state.backlog[destination.number] = destination
    state.set_timer(min(latest_send_time(message), dedup_window_end(state, message)), message)


def enqueue_or_end(state: DecisionState, message: OpenMessage) -> None:
    """Enqueues a message for its next attempt, or ends it if no further attempt is possible."""
    window_end = dedup_window_end(state, message)
    if message.not_before >= window_end:
        window = message.message_class.dedup_window or 0
        margin = min(LAST_ATTEMPT_MARGIN_US, window // LAST_ATTEMPT_DIVISOR)
        message.not_before = max(state.now, window_end - margin)
    can_repeat = message.is_repeatable or not message.may_have_run
    has_time = message.not_before < min(window_end, latest_send_time(message))
    if not can_repeat or not has_time:
        fail(state, message)
    elif message.attempts < message.max_attempts:
        enqueue(state, message)
    else:
        reject_or_fail(state, message, retry_after=0)


def reject_or_fail(state: DecisionState, message: OpenMessage, retry_after: int) -> None:
    """Rejects a message if it can safely be sent again; otherwise fails it."""
    if can_reject(message):
        finish(state, message, RejectMessage(message.name, retry_after))
    else:
        fail(state, message)


def fail(state: DecisionState, message: OpenMessage) -> None:
    """Ends a message as failed."""
    finish(state, message, FailMessage(message.name))


def finish(state: DecisionState, message: OpenMessage, action: Action | None) -> None:
    """Ends a message: emits at most one end action, and prevents further attempts.

    Args:
        state: The scheduler state.
        message: The message to end.
        action: The action that reports the end; None if the end is known already or nobody waits for it.
    """
    if not message.is_ended:
        message.is_ended = True
        message.destination.waiting.pop(message.name, None)
        if action is not None:
            state.actions.append(action)
    if message.call is None:
        is_reported = action is None or not state.settings.awaits_final_status
        _close(state, message, is_reported=is_reported)


def _close(state: DecisionState, message: OpenMessage, *, is_reported: bool) -> None:
    """Drops a message; it stays at the head of its ordering key until its final status is reported."""
    if state.messages.pop(message.name, None) is None:
        return
    if is_reported or message.ordering_key is None:
        ordering.leave_queue(state, message)
    else:
        state.unreported[message.name] = message


def final_status_reported(state: DecisionState, name: str) -> None:
    """Releases the next message of the ordering key after the final status of this one was reported."""
    if message := state.unreported.pop(name, None):
        ordering.leave_queue(state, message)


def cancel(state: DecisionState, name: str) -> None:
    """Ends a message whose client has disconnected, without reporting the end."""
    if message := state.messages.get(name):
        finish(state, message, None)


def dispute_outcome(state: DecisionState, event: OutcomeDisputed) -> None:
    """Treats a message as possibly run, because the response that denied it may belong to another call."""
    message = state.messages.get(event.message_id)
    if message is None or message.is_ended:
        return
    record_uncertain_attempt(message, state.now - event.attempt_age, state.endpoints.get(event.endpoint))
    if message.ordering_key is not None and message.ordering_key.cooldown_until < NEVER:
        ordering.start_cooldown(state, message.ordering_key, message.destination)
    if message.call is None:
        message.destination.waiting.pop(message.name, None)
        enqueue_or_end(state, message)


def check_deadline(state: DecisionState, message: OpenMessage) -> None:
    """Fails a waiting message with too little time left for a usual call; otherwise sets a timer.

    The end of a dedup window does not end a message by itself: the next attempt or Retry-After checks it.
    """
    if message.is_ended or message.call is not None:
        return
    if state.now >= latest_send_time(message):
        fail(state, message)
    else:
        state.set_timer(latest_send_time(message), message)
