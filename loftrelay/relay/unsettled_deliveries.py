"""Unsettled deliveries: messages whose delivery a later response on the same connection may dispute.

A response that a host sends twice can be taken for the response to the next call. Until the connection shows
that this is not the case, the message stays open in the journal, with its attempt in flight: a process that
is killed meanwhile leaves it to the next one, which sends it again. This holds only for messages that may run
twice; others are complete as soon as their response is read.
"""

from __future__ import annotations

import logging
import math

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.events import recovery_event
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Stage
from loftrelay.relay.message_terms import dedup_window, is_idempotent, is_repeatable

log = logging.getLogger(__name__)

MAX_HELD_BYTES = 256 << 10  # in the journal; over it the oldest message is completed
MIN_DEDUP_WINDOW_US = 3_000_000  # a shorter one ends before a message that is held is sent after a restart
HELD_RECORD_BYTES = 1 << 10  # of a message in the journal, beside its body


def can_send_again(message: Message) -> bool:
    """Returns whether a message may run twice, without a change of the order of its key."""
    return message.ordering_key is None and is_repeatable(message.packed_terms)


def is_dedup_window_open(message: Message, sent_at: int, now: int) -> bool:
    """Returns whether the destination still drops duplicates of a message; True if it may run again.

    Args:
        message: The message.
        sent_at: When its last attempt was sent, in wall-clock microseconds.
        now: The time in wall-clock microseconds.
    """
    first_attempt_at = min(sent_at, message.first_uncertain_attempt_at or sent_at)
    return now < first_attempt_at + _dedup_window(message)


class UnsettledDeliveries:
    """Messages of one relay that are delivered, unless a later response disputes that."""

    def __init__(self, context: RelayContext, final_statuses: FinalStatuses) -> None:
        self.context = context
        self.final_statuses = final_statuses
        self.messages: dict[str, Message] = {}  # oldest first
        self.held_bytes = 0

    def is_held(self, message_id: str) -> bool:
        """Returns whether the delivery of a message is unsettled."""
        return message_id in self.messages

    def hold(self, message: Message) -> bool:
        """Keeps a delivered message open until its delivery is settled or disputed.

        Returns:
            Whether it is kept; a message that can't be sent again, or not after a restart, is not.
        """
        if not can_send_again(message) or _dedup_window(message) < MIN_DEDUP_WINDOW_US:
            return False
        self.final_statuses.count_delivery(message)
        self.context.message_states.begin_settling(message.id)
        self.messages[message.id] = message
        self.held_bytes += _held_bytes(message)
        while self.held_bytes > MAX_HELD_BYTES:
            self.settle(next(iter(self.messages)))
        return True

    def settle(self, message_id: str) -> None:
        """Completes a message whose delivery is certain; ignores a message that is not held."""
        message = self._release(message_id)
        if message is not None:
            self.final_statuses.message_delivered(message)

    def settle_all(self) -> None:
        """Completes all messages: the connections of this process no longer decide about them."""
        for message_id in list(self.messages):
            self.settle(message_id)

    def dispute(self, message_id: str) -> bool:
        """Opens a message again whose delivery is doubtful; returns whether it was held."""
        message = self._release(message_id)
        if message is None:
            return False
        context = self.context
        log.warning("message %s: its delivery is doubtful, sending it again", message_id)
        context.journal.record_attempt_result(message, AttemptStatus.CONNECTION_LOST)
        for approver in context.attempt_approvers:
            approver.attempt_ended(message_id, AttemptStatus.CONNECTION_LOST.value)
        context.message_states.end_settling(message_id)
        context.post(recovery_event(message, wall_clock()))
        return True

    def _release(self, message_id: str) -> Message | None:
        """Stops holding a message; returns None if it is not held, or has ended otherwise."""
        message = self.messages.pop(message_id, None)
        if message is None:
            return None
        self.held_bytes -= _held_bytes(message)
        if self.context.message_states.stage(message_id) is not Stage.SETTLING:
            return None
        return self.context.journal.messages[message_id]  # compaction may have replaced it


def _dedup_window(message: Message) -> float:
    """Returns for how long the destination drops duplicates of a message; infinite if it may run again."""
    if is_idempotent(message.packed_terms):
        return math.inf
    return dedup_window(message.packed_terms) or 0


def _held_bytes(message: Message) -> int:
    return HELD_RECORD_BYTES + len(message.body)
