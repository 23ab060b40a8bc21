"""Intake: admits submitted messages or rejects them, and answers their clients.

A message is in the journal, and in the store if there is one, before its client gets 202. Where destinations
are subscribed to, the first messages of an unknown one wait until it is resolved.
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
from loftrelay.relay.events import submission_of
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Answer, Stage
from loftrelay.relay.pending_submissions import PendingSubmission, PendingSubmissions
from loftrelay.relay.ports import JournalFullError, ResolutionStatus, StoreDecision
from loftrelay.relay.statuses import ACCEPTED, FAILED, REJECTED, STATUS_REJECTED

OVERLOAD_RETRY_AFTER_MS = 1_000  # of a rejection for want of capacity


class Intake:
    """Admission of messages at one relay."""

    def __init__(self, context: RelayContext, endpoints: Endpoints, final_statuses: FinalStatuses) -> None:
        self.context = context
        self.endpoints = endpoints
        self.final_statuses = final_statuses
        self.pending = PendingSubmissions()

    @property
    def open_messages(self) -> int:
        """Messages whose end is not decided."""
        counts = self.context.message_states.counts
        ending = counts[Stage.RECORDING_DELIVERY] + counts[Stage.RECORDING_FINAL_STATUS]
        ending += self.context.status_reporter.pending
        return len(self.context.journal.messages) - ending + len(self.pending)

    def is_client_waiting(self, message_id: str) -> bool:
        """Returns whether the client of a message has no answer yet."""
        stage = self.context.message_states.stage(message_id)
        return stage in (Stage.STORING, Stage.UNANSWERED) or message_id in self.pending

    def submit(self, message: Message, answer: Answer) -> None:
        """Admits or rejects a message.

        While the event loop lags it is rejected at once: its client may have left, and earlier work goes
        first.

        Args:
            message: the message.
            answer: called with a status and a Retry-After in milliseconds, by the next batch if admitted.
        """
        if self.context.batch_loop.is_lagging:
            self._reject_lagging(message, answer)
            return
        now = wall_clock()
        deadline = asyncio.get_running_loop().time() + (message.deadline - now) / US_PER_S
        message.packed_terms = self.context.accepted_classes.terms(message.class_name, now)
        if self._is_full():
            self._reject(message, answer)
        elif message.destination not in self.endpoints.destinations:
            self._resolve_first(PendingSubmission(message, answer, deadline))
        else:
            if self.context.subscription is not None:
                self.context.subscription.mark_used(message.destination)
            self._admit(message, answer, deadline)

    def _is_full(self) -> bool:
        max_open = self.context.settings.max_open_messages
        return max_open is not None and self.open_messages >= max_open

    def _resolve_first(self, submission: PendingSubmission) -> None:
        """Has an unknown destination resolved, where destinations are subscribed to."""
        subscription = self.context.subscription
        if subscription is None or not self.context.is_deciding:
            self._reject(submission.message, submission.answer)
        elif self.pending.add(submission):
            subscription.resolve(submission.message.destination)

    def destination_resolved(self, destination: int, status: ResolutionStatus) -> None:
        """Admits the messages that waited for a destination, in their order, or rejects them."""
        is_served = status is ResolutionStatus.RESOLVED and destination in self.endpoints.destinations
        for submission in self.pending.take(destination):
            if not is_served:
                self._reject(submission.message, submission.answer)
            elif self.context.batch_loop.is_lagging:
                self._reject_lagging(submission.message, submission.answer)
            else:
                self._admit(submission.message, submission.answer, submission.loop_deadline)

    def reject_pending(self) -> None:
        """Rejects the messages that wait for a destination: nothing more is resolved here."""
        for submission in self.pending.take_all():
            self._reject(submission.message, submission.answer)

    def _admit(self, message: Message, answer: Answer, deadline: float) -> None:
        try:
            self.context.journal.admit(message)
        except JournalFullError:
            self._reject(message, answer)
            return
        fault_point("journal take")
        if self.context.store is None:
            self._accept(message, answer, deadline)
            return
        self.context.message_states.begin_storing(message.id, answer)
        self.context.store.admit(message, partial(self._stored, message, deadline))

    def _stored(self, message: Message, deadline: float, decision: StoreDecision) -> None:
        """Goes on with a message by what the store says of it."""
        fault_point("recorded take")
        answer = self.context.message_states.storing_client(message.id)
        if decision.status or decision.retry_after_ms:
            self._answer_by_store(message, answer, decision)
        elif answer is not None:
            self._accept(message, answer, deadline)
        else:
            self.final_statuses.record_silently(message.id)  # its client has left meanwhile

    def _answer_by_store(self, message: Message, answer: Answer | None, decision: StoreDecision) -> None:
        self.context.journal.complete(message.id)
        if answer is None:
            return
        self.context.message_states.complete(message.id)
        if not decision.status:
            self.context.metrics.count_final_status(message.class_name, FinalStatus.REJECTED)
        answer(decision.status or REJECTED, decision.retry_after_ms)

    def _accept(self, message: Message, answer: Answer, loop_deadline: float) -> None:
        """Hands a message to the decisions; `deadline` is in seconds of the loop's clock."""
        if self.context.is_stopping:
            self.context.message_states.enqueue(message.id)
            answer(ACCEPTED, 0)
            return
        self.context.message_states.await_answer(message.id, answer)
        remaining = int((loop_deadline - asyncio.get_running_loop().time()) * US_PER_S)
        self.context.post(replace(submission_of(message), time_remaining=remaining))

    def answer_admitted(self) -> None:
        """Answers the clients of all messages that the decisions have taken in."""
        if answers := self.context.message_states.answer_admitted():
            for answer in answers:
                answer(ACCEPTED, 0)
            fault_point("answered taken")

    def _reject_lagging(self, message: Message, answer: Answer) -> None:
        self._reject(message, answer)
        if not self.context.batch_loop.is_batch_due:
            self.context.post(TimerFired(0))  # without a batch the relay would go on lagging

    def _reject(self, message: Message, answer: Answer) -> None:
        self.context.metrics.count_final_status(message.class_name, FinalStatus.REJECTED)
        answer(REJECTED, OVERLOAD_RETRY_AFTER_MS)

    def known_response(self, message_id: str) -> tuple[int, int] | None:
        """Returns the status and Retry-After (ms) for an id that this relay has or had; None for a new one.

        An id that would do harm if it ran again is known until its time is up. A message whose final status
        is being reported gets that status: the platform may know it already, and nothing would follow a 202.
        """
        context = self.context
        message = context.journal.messages.get(message_id)
        if message is None:
            completed = context.journal.completed(message_id)
            return (completed.status, 0) if completed is not None else None
        stage = context.message_states.stage(message_id)
        if message.final_status is None or stage in (Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS):
            return ACCEPTED, 0
        if message.final_status["status"] == STATUS_REJECTED:
            return REJECTED, message.final_status.get("again_ms") or OVERLOAD_RETRY_AFTER_MS
        return FAILED, 0

    def cancel(self, message_id: str) -> None:
        """Drops a message whose client has left before its answer."""
        context = self.context
        self.pending.cancel(message_id)
        stage = context.message_states.stage(message_id)
        if stage in (Stage.STORING, Stage.UNANSWERED):
            context.message_states.complete(message_id)
            context.journal.complete(message_id)
        if stage is Stage.UNANSWERED:
            self.final_statuses.record_silently(message_id)
            context.post(MessageCancelled(message_id))

    def stop(self) -> None:
        """Before the end of the process: what has come is answered, what comes is kept for the next start."""
        self.context.is_stopping = True
        self.answer_admitted()
        self.reject_pending()
