"""Final statuses: records how a message ended, and informs its client or the platform exactly once.

Where there is a store, it records the final status before anyone is informed, unless it takes too long: the
client or the platform is then informed without it, and the message stays in the journal until the store has
the final status. A delivery is never claimed without its record.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loftrelay.decisions.events import FinalStatusReported
from loftrelay.metrics.counters import FinalStatus
from loftrelay.relay.context import RelayContext
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import ResponseCallback, Stage
from loftrelay.relay.message_terms import is_idempotent
from loftrelay.relay.ports import MessageStore
from loftrelay.relay.record_wait import RecordWait
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
    as_reported,
    final_status_record,
    stored_status_of,
)


@dataclass(frozen=True, slots=True)
class PendingResponse:
    """The response to a client whose message is rejected or failed before it was accepted.

    Attributes:
        message_id: Id of the message.
        respond: Responds to the client.
        status: REJECTED or FAILED.
        retry_after_ms: Delay before the client may submit it again, in milliseconds; 0 for none.
    """

    message_id: str
    respond: ResponseCallback
    status: int
    retry_after_ms: int


class FinalStatuses:
    """Completes the messages of one relay."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        self.counted_messages: set[str] = set()  # opened again after their delivery, which was counted

    def end(self, message_id: str, status: int, retry_after_ms: int) -> None:
        """Ends a message that is not delivered.

        The status goes to its client if that still waits for its response, otherwise to the platform.

        Args:
            message_id: id of the message.
            status: REJECTED or FAILED.
            retry_after_ms: delay before the client may submit it again, in milliseconds; 0 for none.
        """
        context = self.context
        if context.store is not None and status == REJECTED:
            retry_after_ms = retry_after_ms or context.store.retry_after_ms
        if respond := context.message_states.begin_responding(message_id):
            self._respond_to_client(message_id, respond, status, retry_after_ms)
            return
        final_status = final_status_record(status, retry_after_ms)
        context.journal.record_final_status(message_id, final_status)
        fault_point("journal notice")
        self.report(message_id, final_status)

    def _respond_to_client(
        self, message_id: str, respond: ResponseCallback, status: int, retry_after_ms: int
    ) -> None:
        response = PendingResponse(message_id, respond, status, retry_after_ms)
        if self.context.store is None:
            self._respond(response, True)
            return
        stored_status = STORED_FAILED if status == FAILED else STORED_REJECTED
        self._record(self.context.store, message_id, stored_status, partial(self._respond, response))

    def _respond(self, response: PendingResponse, is_recorded: bool) -> None:
        """Responds to the client, which completes the message if the store has its final status."""
        context, message_id = self.context, response.message_id
        if (message := context.journal.messages.get(message_id)) is not None:
            has_failed = response.status == FAILED
            self._count(message, FinalStatus.ABORTED if has_failed else FinalStatus.REJECTED)
        if is_recorded:
            context.journal.complete(message_id)
            context.message_states.complete(message_id)
        else:
            final_status = final_status_record(response.status, response.retry_after_ms)
            context.journal.record_final_status(message_id, as_reported(final_status))
            context.message_states.begin_recording_reported(message_id)
        response.respond(response.status, response.retry_after_ms)
        context.post(FinalStatusReported(message_id))
        if context.store is not None and is_recorded:
            context.store.final_status_reported(message_id)

    def report(self, message_id: str, final_status: FinalStatusRecord) -> None:
        """Reports a final status to the platform, once the store has recorded it or takes too long."""
        context = self.context
        if context.store is None:
            context.message_states.report_without_store(message_id)
            context.status_reporter.report(message_id, final_status)
            return
        context.message_states.begin_recording_final_status(message_id, final_status)
        report = partial(self._begin_reporting, message_id)
        self._record(context.store, message_id, stored_status_of(final_status), report)

    def resume_recording(self, message: Message) -> None:
        """Records a final status that was reported before a restart; it is not reported again."""
        store = self.context.store
        assert store is not None
        assert message.final_status is not None
        self.context.message_states.begin_recording_reported(message.id)
        done = partial(self._recorded_after_report, store, message.id)
        store.record_final_status(message.id, stored_status_of(message.final_status), None, done)

    def _record(
        self, store: MessageStore, message_id: str, stored_status: str, step: Callable[[bool], None]
    ) -> None:
        record = partial(store.record_final_status, message_id, stored_status, None)
        self._wait_for_record(store, message_id, record, step)

    def _wait_for_record(
        self,
        store: MessageStore,
        message_id: str,
        record: Callable[[Callable[[], None]], None],
        step: Callable[[bool], None],
    ) -> None:
        """Calls `record`, then `step` with whether the store has the record, at the latest at the limit."""
        wait = RecordWait(step)
        record(partial(self._recorded, store, message_id, wait))
        wait.limit(store.max_record_wait_s(message_id))

    def _recorded(self, store: MessageStore, message_id: str, wait: RecordWait) -> None:
        if wait.is_over:
            self._recorded_after_report(store, message_id)
        else:
            wait.recorded()

    def _recorded_after_report(self, store: MessageStore, message_id: str) -> None:
        """Notes a record that came after the report had begun; completes the message if that has ended."""
        states = self.context.message_states
        states.mark_recorded(message_id)
        if states.stage(message_id) is Stage.RECORDING_REPORTED:
            store.final_status_reported(message_id, partial(self._complete_reported, message_id))

    def _begin_reporting(self, message_id: str, is_recorded: bool) -> None:
        fault_point("tell" if is_recorded else "tell unrecorded")
        states = self.context.message_states
        if is_recorded:
            states.mark_recorded(message_id)
        final_status = states.begin_reporting(message_id)
        if final_status is not None:
            self.context.status_reporter.report(message_id, final_status)

    def report_acknowledged(self, message_id: str) -> None:
        """Completes a message whose final status the platform has acknowledged.

        It stays in the journal until the store has the final status.
        """
        context = self.context
        is_recorded = context.message_states.is_recorded(message_id)
        fault_point("told" if is_recorded else "told unrecorded")
        if (message := context.journal.messages.get(message_id)) is not None:
            self._count(message, FinalStatus.ABORTED if _has_failed(message) else FinalStatus.REJECTED)
        if is_recorded:
            self._complete_reported(message_id)
            if context.store is not None:
                context.store.final_status_reported(message_id)
        else:
            context.message_states.begin_recording_reported(message_id)
            if message is not None and message.final_status is not None:
                context.journal.record_final_status(message_id, as_reported(message.final_status))
            fault_point("journal told")
        context.post(FinalStatusReported(message_id))

    def _complete_reported(self, message_id: str) -> None:
        context = self.context
        message = context.journal.messages.get(message_id)
        context.message_states.complete(message_id)
        # A rejection guarantees that submitting the message again is safe, so its id is free.
        is_remembered = (
            message is not None and _has_failed(message) and not is_idempotent(message.packed_terms)
        )
        context.journal.complete(message_id, FAILED if is_remembered else 0)

    def message_delivered(self, message: Message) -> None:
        """Completes a delivered message. The journal keeps it until the store has recorded the delivery."""
        context = self.context
        remembered_status = 0 if is_idempotent(message.packed_terms) else DELIVERED
        self._count(message, FinalStatus.SUCCEEDED)
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

    def count_delivery(self, message: Message) -> None:
        """Counts a delivery that is completed later, or made again."""
        self._count(message, FinalStatus.SUCCEEDED)
        self.counted_messages.add(message.id)

    def _delivery_recorded(self, message_id: str, remembered_status: int) -> None:
        context = self.context
        assert context.store is not None
        if context.message_states.stage(message_id) is not Stage.RECORDING_DELIVERY:
            return  # its delivery was disputed before the commit
        context.message_states.complete(message_id)
        context.journal.complete(message_id, remembered_status)
        fault_point("journal over")
        context.store.final_status_reported(message_id)

    def fail_disputed(self, message_id: str) -> None:
        """Reports a delivered message as failed, which the journal says already: its delivery is doubtful."""
        context = self.context
        final_status = final_status_record(FAILED, 0)
        self.counted_messages.add(message_id)
        fault_point("journal notice")
        if context.store is None:
            self.report(message_id, final_status)
            return
        context.message_states.begin_recording_final_status(message_id, final_status)
        dispute = partial(context.store.dispute_delivery, message_id)
        self._wait_for_record(context.store, message_id, dispute, partial(self._begin_reporting, message_id))

    def _count(self, message: Message, final_status: FinalStatus) -> None:
        """Counts the end of a message, once."""
        if message.id in self.counted_messages:
            self.counted_messages.discard(message.id)
        else:
            self.context.metrics.count_final_status(message.class_name, final_status)

    def record_cancelled(self, message_id: str) -> None:
        """Records a message as rejected in the store without a report, as its client has disconnected."""
        store = self.context.store
        if store is not None:
            done = partial(store.final_status_reported, message_id)
            store.record_final_status(message_id, STORED_REJECTED, None, done)


def _has_failed(message: Message) -> bool:
    return message.final_status is not None and message.final_status["status"] == STATUS_FAILED
