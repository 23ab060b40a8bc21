"""Builds scheduler events from the messages of the journal and their attempts."""

from __future__ import annotations

from loftrelay.decisions.events import AttemptEnded, AttemptStatus, MessageRecovered, MessageSubmitted
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import unpack

# Shortest postponement: an attempt that was not begun is not counted, and is scheduled again at once.
RESCHEDULE_DELAY_US = 1


def submission_event(message: Message) -> MessageSubmitted:
    """Returns the submission event of a message, with the time that is left now until its deadline."""
    terms = unpack(message.class_name, message.packed_terms) if message.packed_terms is not None else None
    return MessageSubmitted(
        message_id=message.id,
        destination=message.destination,
        class_name=message.class_name,
        tenant=message.tenant,
        time_remaining=message.deadline - wall_clock(),
        ordering_key=message.ordering_key,
        terms=terms,
    )


def recovery_event(message: Message, now: int) -> MessageRecovered:
    """Returns the recovery event of a message; `now` is in wall-clock microseconds."""
    sent_at = message.first_uncertain_attempt_at
    return MessageRecovered(
        submission=submission_event(message),
        age=max(0, now - message.admitted_at),
        attempts=message.attempts,
        first_uncertain_attempt_age=None if sent_at is None else max(0, now - sent_at),
        first_uncertain_attempt_endpoint=message.first_uncertain_attempt_host,
        is_ended=message.final_status is not None,
    )


def not_sent_event(message: Message, host: str, postponed_for: int) -> AttemptEnded:
    """Returns the event of an attempt that this relay decided not to begin.

    Args:
        message: the message; its attempt counter has been decremented already, as this attempt doesn't count.
        host: the host of the attempt.
        postponed_for: delay before the next attempt, in microseconds.
    """
    return AttemptEnded(
        message_id=message.id,
        attempt=message.attempts,
        endpoint=host,
        status=AttemptStatus.NOT_SENT,
        elapsed=0,
        is_final=False,
        retry_after=0,
        rate_limit=None,
        rate_limit_remaining=None,
        postponed_for=postponed_for,
    )
