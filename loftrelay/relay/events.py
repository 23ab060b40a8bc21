"""Builds the events that tell the decisions of a message in the journal and of its attempts."""

from __future__ import annotations

from loftrelay.decisions.events import AttemptEnded, AttemptStatus, MessageRecovered, MessageSubmitted
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import unpack

DECIDE_ANEW_US = 1  # the shortest postponement: an attempt that was not begun costs none, and is decided anew


def submission_of(message: Message) -> MessageSubmitted:
    """Returns the submission of a message, with the time that it has left now."""
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


def recovery_of(message: Message, now: int) -> MessageRecovered:
    """Returns the recovery of a message; `now` is the wall clock in microseconds."""
    first_attempt_at = message.first_attempt_at
    return MessageRecovered(
        submission=submission_of(message),
        age=max(0, now - message.admitted_at),
        attempts=message.attempts,
        first_attempt_age=None if first_attempt_at is None else max(0, now - first_attempt_at),
        first_attempt_endpoint=message.first_attempt_host,
        is_ended=message.final_status is not None,
    )


def not_sent(message: Message, host: str, postponed_for: int) -> AttemptEnded:
    """Returns the outcome of an attempt that was not begun, for a reason of this relay's own.

    Args:
        message: its attempts have been set back: this one costs none.
        host: where it was to go.
        postponed_for: microseconds until it may be attempted again.
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
