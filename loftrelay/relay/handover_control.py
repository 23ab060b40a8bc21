"""Handover: pauses a relay for its successor, and continues from the state of a predecessor.

A paused relay makes no decisions, begins no calls, writes no records and reports no final statuses. Results
of its calls that are still in flight go to an OutcomeForwarder, which passes them to the deciding process.
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
from loftrelay.relay.events import RESCHEDULE_DELAY_US, not_sent_event, recovery_event, submission_event
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.handover_state import HandoverState, write_state
from loftrelay.relay.intake import Intake
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Stage
from loftrelay.relay.ports import AttemptResult, OutcomeForwarder
from loftrelay.relay.unsettled_deliveries import UnsettledDeliveries

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
        unsettled: UnsettledDeliveries,
    ) -> None:
        self.context = context
        self.intake = intake
        self.endpoints = endpoints
        self.attempts = attempts
        self.final_statuses = final_statuses
        self.unsettled = unsettled

    # The predecessor

    def pause(self, forwarder: OutcomeForwarder) -> None:
        """Stops making decisions until `resume`. Withdraws and reschedules the calls that have not begun."""
        context = self.context
        self.intake.respond_to_admitted()
        self.intake.reject_pending()
        self.unsettled.settle_all()  # from now on, a dispute is forwarded with its message
        context.outcome_forwarder = forwarder
        context.batch_loop.cancel_timer()
        now = asyncio.get_running_loop().time()
        for message, host in context.delivery.withdraw_unsent_calls():
            message.attempts -= 1
            context.message_states.end_attempt(message.id)
            context.batch_loop.add(not_sent_event(message, host, RESCHEDULE_DELAY_US), now)
        context.discovery.pause()
        context.status_reporter.close()

    def resume(self) -> None:
        """Continues after a handover that was given up."""
        context = self.context
        context.outcome_forwarder = None
        context.batch_loop.timer = None
        context.scheduler.state.timer_set_for = 0  # `pause` cancelled the timer
        context.discovery.watch()
        context.status_reporter.move_to(context.discovery.address)
        context.post(TimerFired(0))

    def export_state(self) -> dict[str, Any]:
        """Returns the state that the successor needs in addition to the journal. Call it while paused."""
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
        """Continues from the state of the predecessor. The ports have to be connected."""
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
            context.batch_loop.add(self._with_current_remaining_time(event), now)
        context.post(SettingsChanged(context.settings))
        self._reconcile(state.sent_at)
        if context.subscription is not None:
            revision = state.subscription_revision if state.is_subscription else state.revision
            context.subscription.adopt(revision, state.destinations, state.entries)
        context.discovery.resume(state.revision)

    def _with_current_remaining_time(self, event: Event) -> Event:
        """Returns an event of the predecessor with the time that is left now until its message's deadline."""
        if not isinstance(event, MessageSubmitted):
            return event
        message = self.context.journal.messages.get(event.message_id)
        return event if message is None else submission_event(message)

    def _reconcile(self, sent_at: Mapping[str, int]) -> None:
        """Makes the scheduler's messages match those of the journal."""
        context = self.context
        ended = {event.message_id for event in context.batch_loop.events if isinstance(event, AttemptEnded)}
        submitted = {
            event.message_id for event in context.batch_loop.events if isinstance(event, MessageSubmitted)
        }
        for open_message in context.scheduler.state.messages.values():
            message_id = open_message.name
            if open_message.call is not None and message_id not in ended:
                host = open_message.call.endpoint.name
                context.message_states.adopt_attempt(message_id, host, sent_at.get(message_id))
            if message_id not in context.journal.messages:
                context.post(MessageCancelled(message_id))
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
            log.error(
                "message %s is missing in the predecessor's state; recovering it from the journal", message.id
            )
            context.post(recovery_event(message, now))

    def predecessor_lost(self) -> None:
        """Ends the calls of a predecessor that exited while they were in flight: they may have run."""
        states = self.context.message_states
        for message_id in states.messages_in_stage(Stage.IN_FLIGHT_AT_PREDECESSOR):
            host = states.by_message[message_id].host
            self.predecessor_attempt_ended(message_id, host, AttemptResult(AttemptStatus.CONNECTION_LOST))

    def predecessor_attempt_ended(self, message_id: str, host: str, result: AttemptResult) -> None:
        """Handles the result of an attempt that the predecessor began."""
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
