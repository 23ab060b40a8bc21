"""Redelivery: opens a delivered message again, when it turns out that another call was responded to."""

from __future__ import annotations

import logging

from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.events import recovery_event
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message_state import Stage
from loftrelay.relay.ports import DisputedDelivery
from loftrelay.relay.statuses import FAILED, FinalStatusRecord, final_status_record
from loftrelay.relay.unsettled_deliveries import (
    UnsettledDeliveries,
    can_send_again,
    is_dedup_window_open,
)

log = logging.getLogger(__name__)


class Redelivery:
    """Disputed deliveries of one relay.

    Whether the message has run is unknown. It is sent again if its class allows that; otherwise it ends as
    failed, and the platform gets a report. The journal records it as open first, so that a restart continues.
    """

    def __init__(
        self, context: RelayContext, final_statuses: FinalStatuses, unsettled: UnsettledDeliveries
    ) -> None:
        self.context = context
        self.final_statuses = final_statuses
        self.unsettled = unsettled

    def delivery_disputed(self, delivery: DisputedDelivery) -> None:
        """Opens a message again, unless it is open already or was submitted again."""
        context, message = self.context, delivery.message
        if context.outcome_forwarder is not None:
            context.outcome_forwarder.delivery_disputed(delivery)
            return
        if self.unsettled.dispute(message.id):
            return
        if context.message_states.stage(message.id) is Stage.RECORDING_DELIVERY:
            context.journal.record_final_status(message.id, final_status_record(FAILED, 0))
            self._fail(message.id)
        elif message.id not in context.journal.messages:
            self._reopen_and_continue(delivery)

    def delivery_unconfirmed(self, delivery: DisputedDelivery) -> None:
        """Sends a message again whose connection ended so that its delivery is doubtful, if it may run twice.

        Another message is most likely delivered, and is not reported as failed.
        """
        message = delivery.message
        is_held = self.unsettled.is_held(message.id)
        if not is_dedup_window_open(message, delivery.sent_at, wall_clock()):
            self.unsettled.settle(message.id)
        elif is_held or self._can_send_again(delivery):
            self.delivery_disputed(delivery)

    def delivery_settled(self, message_id: str) -> None:
        """Completes a message whose delivery is certain."""
        self.unsettled.settle(message_id)

    def _reopen_and_continue(self, delivery: DisputedDelivery) -> None:
        message = delivery.message
        if self._can_send_again(delivery):
            self._reopen(delivery, None)
            log.warning("message %s: its delivery is doubtful, sending it again", message.id)
            self.context.post(recovery_event(message, wall_clock()))
        else:
            # One record of the journal: a start takes an open message that the store has as delivered
            # for complete.
            self._reopen(delivery, final_status_record(FAILED, 0))
            self._fail(message.id)

    def _fail(self, message_id: str) -> None:
        log.warning("message %s: its delivery is doubtful, ending it as failed", message_id)
        self.final_statuses.fail_disputed(message_id)

    def _can_send_again(self, delivery: DisputedDelivery) -> bool:
        if self.context.store is not None:
            return False  # its record may be complete, and then takes no further attempt
        return delivery.has_body and can_send_again(delivery.message)

    def _reopen(self, delivery: DisputedDelivery, final_status: FinalStatusRecord | None) -> None:
        message = delivery.message
        message.attempt_started_at = message.attempt_host = None
        message.final_status = final_status
        if message.first_uncertain_attempt_at is None:
            message.first_uncertain_attempt_at = delivery.sent_at
            message.first_uncertain_attempt_host = delivery.host
        self.context.journal.reopen(message)
        self.context.message_states.enqueue(message.id)
        self.final_statuses.counted_messages.add(message.id)
