"""Intake: admits or rejects submitted messages, and responds to their clients.

A message is written to the journal, and to the store if there is one, before its client gets 202. Where the
relay subscribes to destinations, messages to an unknown destination wait until it is resolved.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

from loftrelay.decisions.events import MessageCancelled, TimerFired
from loftrelay.metrics.counters import FinalStatus
from loftrelay.relay.batch_loop import US_PER_S
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.endpoints import Endpoints
from loftrelay.relay.events import submission_event
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import COMPLETING_STAGES, ResponseCallback, Stage
from loftrelay.relay.pending_submissions import PendingSubmission, PendingSubmissions
from loftrelay.relay.ports import JournalFullError, ResolutionStatus, StoreDecision
from loftrelay.relay.statuses import ACCEPTED, DELIVERED, FAILED, REJECTED, STATUS_REJECTED

ADMISSION_BYTES = 8 << 10  # memory of a message and of its call, beside its body
OVERLOAD_RETRY_AFTER_MS = 1_000  # Retry-After of a rejection due to lack of capacity


class Intake:
    """Admission of messages at one relay."""

    def __init__(self, context: RelayContext, endpoints: Endpoints, final_statuses: FinalStatuses) -> None:
        self.context = context
        self.endpoints = endpoints
        self.final_statuses = final_statuses
        self.pending = PendingSubmissions()

    @property
    def open_messages(self) -> int:
        """Number of messages without a final status, those that wait for their destination included."""
        counts = self.context.message_states.counts
        completing = sum(counts[stage] for stage in COMPLETING_STAGES) + self.context.status_reporter.pending
        return len(self.context.journal.messages) - completing + len(self.pending)

    def is_client_waiting(self, message_id: str) -> bool:
        """Returns whether the client of a message has no response yet."""
        stage = self.context.message_states.stage(message_id)
        return stage in (Stage.STORING, Stage.AWAITING_BATCH) or message_id in self.pending

    def submit(self, message: Message, respond: ResponseCallback) -> None:
        """Admits or rejects a message.

        While the event loop lags, the message is rejected at once: its client may have disconnected, and
        earlier work has priority.

        Args:
            message: the message.
            respond: called with an HTTP status and a Retry-After in milliseconds; for an admitted message,
                by the next batch.
        """
        if self.context.batch_loop.is_lagging:
            self._reject_lagging(message, respond)
            return
        now = wall_clock()
        loop_deadline = asyncio.get_running_loop().time() + (message.deadline - now) / US_PER_S
        message.packed_terms = self.context.accepted_classes.terms(message.class_name, now)
        if self._is_full() or not self._has_memory(message):
            self._reject(message, respond)
        elif message.destination not in self.endpoints.destinations:
            self._await_resolution(PendingSubmission(message, respond, loop_deadline))
        else:
            if self.context.subscription is not None:
                self.context.subscription.mark_used(message.destination)
            self._admit(message, respond, loop_deadline)

    def _is_full(self) -> bool:
        max_open = self.context.settings.max_open_messages
        return max_open is not None and self.open_messages >= max_open

    def _has_memory(self, message: Message) -> bool:
        return self.context.memory.has_room_for_message(len(message.body) + ADMISSION_BYTES)

    def _await_resolution(self, submission: PendingSubmission) -> None:
        """Subscribes to an unknown destination, or rejects the message where there is no subscription."""
        subscription = self.context.subscription
        if subscription is None or not self.context.is_deciding:
            self._reject(submission.message, submission.respond)
        elif self.pending.add(submission):
            subscription.resolve(submission.message.destination)

    def destination_resolved(self, destination: int, status: ResolutionStatus) -> None:
        """Admits the messages that waited for a destination, in order of arrival, or rejects them."""
        is_served = status is ResolutionStatus.RESOLVED and destination in self.endpoints.destinations
        for submission in self.pending.take(destination):
            if not is_served:
                self._reject(submission.message, submission.respond)
            elif self.context.batch_loop.is_lagging:
                self._reject_lagging(submission.message, submission.respond)
            else:
                self._admit(submission.message, submission.respond, submission.loop_deadline)

    def reject_pending(self) -> None:
        """Rejects the messages that wait for a destination, as this process resolves no more destinations."""
        for submission in self.pending.take_all():
            self._reject(submission.message, submission.respond)

    def _admit(self, message: Message, respond: ResponseCallback, loop_deadline: float) -> None:
        store = self.context.store
        message.awaits_store = store is not None and store.must_confirm(message)
        try:
            self.context.journal.admit(message)
        except JournalFullError:
            self._reject(message, respond)
            return
        fault_point("journal take")
        if store is None:
            self._accept(message, respond, loop_deadline)
            return
        self.context.message_states.begin_storing(message.id, respond)
        store.admit(message, partial(self._handle_store_decision, message, loop_deadline))

    def _handle_store_decision(self, message: Message, loop_deadline: float, decision: StoreDecision) -> None:
        """Continues the admission of a message with the decision of the store."""
        fault_point("recorded take")
        respond = self.context.message_states.storing_callback(message.id)
        if decision.status or decision.retry_after_ms:
            self._respond_with_decision(message, respond, decision.status, decision.retry_after_ms)
        elif respond is None:  # its client has disconnected meanwhile
            self.final_statuses.record_cancelled(message.id)
        elif message.awaits_store and not self._confirm_stored(message):
            self.final_statuses.record_cancelled(message.id)
            self._respond_with_decision(message, respond, 0, OVERLOAD_RETRY_AFTER_MS)
        else:
            self._accept(message, respond, loop_deadline)

    def _confirm_stored(self, message: Message) -> bool:
        """Notes in the journal that the store has a message; returns whether its client may get 202."""
        try:
            self.context.journal.record_store_confirmed(message.id)
        except JournalFullError:
            return False
        fault_point("journal sure")
        return True

    def _respond_with_decision(
        self, message: Message, respond: ResponseCallback | None, known_status: int, retry_after_ms: int
    ) -> None:
        """Responds to a message that is not admitted; `known_status` is 0 if it is rejected."""
        self.context.journal.complete(message.id)
        if respond is None:
            return
        self.context.message_states.complete(message.id)
        if not known_status:
            self.context.metrics.count_final_status(message.class_name, FinalStatus.REJECTED)
        respond(known_status or REJECTED, retry_after_ms)

    def _accept(self, message: Message, respond: ResponseCallback, loop_deadline: float) -> None:
        """Submits a message to the scheduler; `loop_deadline` is in seconds of the event loop's clock."""
        if self.context.is_stopping:
            self.context.message_states.enqueue(message.id)
            respond(ACCEPTED, 0)
            return
        self.context.message_states.await_batch(message.id, respond)
        remaining = int((loop_deadline - asyncio.get_running_loop().time()) * US_PER_S)
        self.context.post(replace(submission_event(message), time_remaining=remaining))

    def respond_to_admitted(self) -> None:
        """Sends 202 to the clients of all messages that the last batch has admitted."""
        if callbacks := self.context.message_states.mark_admitted():
            for respond in callbacks:
                respond(ACCEPTED, 0)
            fault_point("answered taken")

    def _reject_lagging(self, message: Message, respond: ResponseCallback) -> None:
        self._reject(message, respond)
        if not self.context.batch_loop.is_batch_due:
            self.context.post(TimerFired(0))  # the lag is over only after a batch has run

    def _reject(self, message: Message, respond: ResponseCallback) -> None:
        self.context.metrics.count_final_status(message.class_name, FinalStatus.REJECTED)
        respond(REJECTED, OVERLOAD_RETRY_AFTER_MS)

    def known_response(self, message_id: str) -> tuple[int, int] | None:
        """Returns the HTTP status and Retry-After (ms) for a known message id; None for a new one.

        The id of a message that must not run again stays known until its deadline. For a message whose final
        status is being reported, the response is that status: the platform may have received it already, and
        nothing would follow a 202.
        """
        context = self.context
        message = context.journal.messages.get(message_id)
        if message is None:
            completed = context.journal.completed(message_id)
            return (completed.status, 0) if completed is not None else None
        stage = context.message_states.stage(message_id)
        if stage is Stage.SETTLING:
            return DELIVERED, 0
        if message.final_status is None or stage in (Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS):
            return ACCEPTED, 0
        if message.final_status["status"] == STATUS_REJECTED:
            return REJECTED, message.final_status.get("again_ms") or OVERLOAD_RETRY_AFTER_MS
        return FAILED, 0

    def cancel(self, message_id: str) -> None:
        """Drops a message whose client has disconnected before its response."""
        context = self.context
        self.pending.cancel(message_id)
        stage = context.message_states.stage(message_id)
        if stage in (Stage.STORING, Stage.AWAITING_BATCH):
            context.message_states.complete(message_id)
            context.journal.complete(message_id)
        if stage is Stage.AWAITING_BATCH:
            self.final_statuses.record_cancelled(message_id)
            context.post(MessageCancelled(message_id))

    def stop(self) -> None:
        """Prepares the end of the process: messages admitted from now on are kept for the next start.

        Clients of messages that are admitted already get their response; pending submissions are rejected.
        """
        self.context.is_stopping = True
        self.respond_to_admitted()
        self.reject_pending()
