"""Final statuses: records how a message ended, and tells its client or the platform, each exactly once.

Where there is a store, it has the final status before anybody is told. A message is over once that is done.
"""

from __future__ import annotations

from functools import partial

from loftrelay.decisions.events import FinalStatusReported
from loftrelay.metrics.counters import FinalStatus
from loftrelay.relay.context import RelayContext
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Answer
from loftrelay.relay.message_terms import is_idempotent
from loftrelay.relay.statuses import (
    DELIVERED,
    FAILED,
    REJECTED,
    STATUS_DELIVERED,
    STATUS_FAILED,
    STORED_DELIVERED,
    STORED_FAILED,
    STORED_REJECTED,
    FinalStatusRecord,
    final_status_record,
    stored_answer,
)


class FinalStatuses:
    """Ends messages of one relay."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context

    def end(self, message_id: str, status: int, retry_after_ms: int) -> None:
        """Ends a message undelivered.

        Its client is answered if it still waits for the first answer, else the platform is told.

        Args:
            message_id: the message.
            status: REJECTED or FAILED.
            retry_after_ms: when the client may submit it again; 0 for no time.
        """
        context = self.context
        if context.store is not None and status == REJECTED:
            retry_after_ms = retry_after_ms or context.store.retry_after_ms
        if answer := context.message_states.begin_answering(message_id):
            self._answer_client(message_id, answer, status, retry_after_ms)
            return
        final_status = final_status_record(status, retry_after_ms)
        context.journal.record_final_status(message_id, final_status)
        fault_point("journal notice")
        self.report(message_id, final_status)

    def _answer_client(self, message_id: str, answer: Answer, status: int, retry_after_ms: int) -> None:
        done = partial(self._client_answered, message_id, answer, status, retry_after_ms)
        if self.context.store is None:
            done()
            return
        stored = STORED_FAILED if status == FAILED else STORED_REJECTED
        self.context.store.record_final_status(message_id, stored, None, done)

    def _client_answered(self, message_id: str, answer: Answer, status: int, retry_after_ms: int) -> None:
        context = self.context
        if (message := context.journal.messages.get(message_id)) is not None:
            final_status = FinalStatus.ABORTED if status == FAILED else FinalStatus.REJECTED
            context.metrics.count_final_status(message.class_name, final_status)
        context.journal.complete(message_id)
        context.message_states.complete(message_id)
        answer(status, retry_after_ms)
        context.post(FinalStatusReported(message_id))
        if context.store is not None:
            context.store.final_status_reported(message_id)

    def report(self, message_id: str, final_status: FinalStatusRecord) -> None:
        """Tells the platform a final status, once the store has it."""
        context = self.context
        if context.store is None:
            context.message_states.report_without_store(message_id)
            context.status_reporter.report(message_id, final_status)
            return
        context.message_states.begin_recording_final_status(message_id, final_status)
        done = partial(self._report_recorded, message_id)
        context.store.record_final_status(message_id, stored_answer(final_status), None, done)

    def _report_recorded(self, message_id: str) -> None:
        fault_point("tell")
        final_status = self.context.message_states.begin_reporting(message_id)
        if final_status is not None:
            self.context.status_reporter.report(message_id, final_status)

    def report_acknowledged(self, message_id: str) -> None:
        """The platform has acknowledged a final status: the message is over."""
        fault_point("told")
        context = self.context
        message = context.journal.messages.get(message_id)
        final_status = message.final_status if message is not None else None
        has_failed = final_status is not None and final_status["status"] == STATUS_FAILED
        if message is not None:
            counted = FinalStatus.ABORTED if has_failed else FinalStatus.REJECTED
            context.metrics.count_final_status(message.class_name, counted)
        context.message_states.complete(message_id)
        # A rejection promised that submitting again does no harm, so its id is free again.
        is_remembered = has_failed and message is not None and not is_idempotent(message.packed_terms)
        context.journal.complete(message_id, FAILED if is_remembered else 0)
        if context.store is not None:
            context.store.final_status_reported(message_id)
        context.post(FinalStatusReported(message_id))

    def message_delivered(self, message: Message) -> None:
        """Ends a delivered message. The journal keeps it until the store has that."""
        context = self.context
        remembered_status = 0 if is_idempotent(message.packed_terms) else DELIVERED
        context.metrics.count_final_status(message.class_name, FinalStatus.SUCCEEDED)
        if context.store is None:
            context.journal.complete(message.id, remembered_status)
            context.message_states.complete(message.id)
            return
        if message.final_status is None:
            context.journal.record_final_status(message.id, {"status": STATUS_DELIVERED})
        fault_point("journal end")
        context.message_states.begin_recording_delivery(message.id)
        done = partial(self._delivery_recorded, message.id, remembered_status)
        context.store.record_final_status(message.id, STORED_DELIVERED, "OK", done)

    def _delivery_recorded(self, message_id: str, remembered_status: int) -> None:
        context = self.context
        assert context.store is not None
        context.message_states.complete(message_id)
        context.journal.complete(message_id, remembered_status)
        fault_point("journal over")
        context.store.final_status_reported(message_id)

    def record_silently(self, message_id: str) -> None:
        """Has the store record a rejection that nobody is told: the client has left."""
        store = self.context.store
        if store is not None:
            done = partial(store.final_status_reported, message_id)
            store.record_final_status(message_id, STORED_REJECTED, None, done)
