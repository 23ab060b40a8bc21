"""Handover: stops a relay for its successor, and goes on where a predecessor has stopped.

While a relay is paused it decides, begins, writes and reports nothing. Outcomes of its calls that are still
in flight go to an OutcomeForwarder, and on to the process that decides.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Mapping
from typing import Any

from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    Event,
    MessageCancelled,
    MessageSubmitted,
    SettingsChanged,
    TimerFired,
)
from loftrelay.relay.attempts import Attempts
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.endpoints import Endpoints
from loftrelay.relay.events import DECIDE_ANEW_US, not_sent, recovery_of, submission_of
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.handover_state import HandoverState, write_state
from loftrelay.relay.intake import Intake
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Stage
from loftrelay.relay.ports import AttemptResult, OutcomeForwarder

log = logging.getLogger(__name__)


class HandoverControl:
    """Both sides of a handover at one relay."""

    def __init__(
        self,
        context: RelayContext,
        intake: Intake,
        endpoints: Endpoints,
        attempts: Attempts,
        final_statuses: FinalStatuses,
    ) -> None:
        self.context = context
        self.intake = intake
        self.endpoints = endpoints
        self.attempts = attempts
        self.final_statuses = final_statuses

    # The predecessor

    def pause(self, forwarder: OutcomeForwarder) -> None:
        """Stops deciding until `resume`. Calls that have not begun are withdrawn, to be decided anew."""
        context = self.context
        self.intake.answer_admitted()
        self.intake.reject_pending()
        context.outcome_forwarder = forwarder
        context.batch_loop.cancel_timer()
        now = asyncio.get_running_loop().time()
        for message, host in context.delivery.withdraw_unsent_calls():
            message.attempts -= 1
            context.message_states.end_attempt(message.id)
            context.batch_loop.add(not_sent(message, host, DECIDE_ANEW_US), now)
        context.discovery.pause()
        context.status_reporter.close()

    def resume(self) -> None:
        """Goes on as if it had not been paused."""
        context = self.context
        context.outcome_forwarder = None
        context.batch_loop.timer = None
        context.scheduler.state.timer_set_for = 0  # the timer that was set is gone
        context.discovery.watch()
        context.status_reporter.move_to(context.discovery.address)
        context.post(TimerFired(0))

    def export_state(self) -> dict[str, Any]:
        """Returns what the successor needs beside the journal; to be called while paused."""
        context = self.context
        return write_state(
            scheduler=context.scheduler,
            events=context.batch_loop.events,
            entries=self.endpoints.entries.values(),
            revision=context.discovery.revision,
            discovery=context.discovery.address,
            destinations=self.endpoints.destinations,
            sent_at=context.message_states.attempts_in_flight(),
            retired_classes=context.accepted_classes.retired,
            is_subscription=context.subscription is not None,
        )

    # The successor

    def take_over(self, state: HandoverState) -> None:
        """Goes on where the predecessor has stopped; the ports are connected."""
        context, scheduler_state = self.context, state.scheduler.state
        context.scheduler = state.scheduler
        context.batch_loop.now = max(context.batch_loop.clock(), scheduler_state.now)
        self.endpoints.disabled = set(scheduler_state.disabled_endpoints)
        self.endpoints.destinations = state.destinations
        context.accepted_classes.restore_retired(state.retired_classes)
        for entry, address in state.entries:
            self.endpoints.add(entry, address)
        now = asyncio.get_running_loop().time()
        context.batch_loop.events, context.batch_loop.posted_at = [], []
        for event in state.events:
            context.batch_loop.add(self._as_of_now(event), now)
        context.post(SettingsChanged(context.settings))
        self._reconcile(state.sent_at)
        if context.subscription is not None:
            revision = state.subscription_revision if state.is_subscription else state.revision
            context.subscription.adopt(revision, state.destinations, state.entries)
        context.discovery.resume(state.revision)

    def _as_of_now(self, event: Event) -> Event:
        """Returns an event of the predecessor with the time that its message has left now."""
        if not isinstance(event, MessageSubmitted):
            return event
        message = self.context.journal.messages.get(event.message_id)
        return event if message is None else submission_of(message)

    def _reconcile(self, sent_at: Mapping[str, int]) -> None:
        """Makes the messages of the journal and those of the decisions the same."""
        context = self.context
        ended = {event.message_id for event in context.batch_loop.events if isinstance(event, AttemptEnded)}
        submitted = {
            event.message_id for event in context.batch_loop.events if isinstance(event, MessageSubmitted)
        }
        for known in context.scheduler.state.messages.values():
            if known.call is not None and known.name not in ended:
                host = known.call.endpoint.name
                context.message_states.adopt_attempt(known.name, host, sent_at.get(known.name))
            if known.name not in context.journal.messages:
                context.post(MessageCancelled(known.name))
        now = wall_clock()
        for message in context.messages_in_order():
            self._reconcile_message(message, submitted, now)

    def _reconcile_message(self, message: Message, submitted: set[str], now: int) -> None:
        context = self.context
        is_in_flight = context.message_states.stage(message.id) is Stage.IN_FLIGHT_AT_PREDECESSOR
        if message.attempt_started_at is not None and not is_in_flight:
            context.journal.record_attempt_result(message, AttemptStatus.NOT_SENT)
        if message.final_status is None and not is_in_flight:
            context.message_states.enqueue(message.id)
        if message.final_status is not None:
            self.final_statuses.report(message.id, message.final_status)
        elif message.id not in context.scheduler.state.messages and message.id not in submitted:
            log.error("message %s is in the journal and was not handed over", message.id)
            context.post(recovery_of(message, now))

    def predecessor_lost(self) -> None:
        """The predecessor is gone, with the calls that it still had in flight: they may have run."""
        states = self.context.message_states
        for message_id in states.in_stage(Stage.IN_FLIGHT_AT_PREDECESSOR):
            host = states.by_message[message_id].host
            self.predecessor_attempt_ended(message_id, host, AttemptResult(AttemptStatus.CONNECTION_LOST))

    def predecessor_attempt_ended(self, message_id: str, host: str, result: AttemptResult) -> None:
        """Takes in the outcome of a call of the predecessor."""
        message = self.context.journal.messages.get(message_id)
        if message is not None:
            self.attempts.attempt_ended(message, host, result)
            return
        self.context.message_states.complete(message_id)
        self.context.post(
            AttemptEnded(
                message_id=message_id,
                attempt=0,
                endpoint=host,
                status=result.status,
                elapsed=0,
                is_final=result.is_final,
                retry_after=result.retry_after,
                rate_limit=None,
                rate_limit_remaining=None,
                connection_idle=result.connection_idle,
            )
        )
