"""Recovery: restores the messages of the journal after a restart.

The store, if there is one, is reconciled with the journal first. The scheduler has to know the host on which
each message last ran, so a relay that subscribes to destinations resolves them before it replays messages.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Mapping
from functools import partial
from typing import Any

from loftrelay.decisions.events import AttemptStatus, OrderingKeyCooldown
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.context import RelayContext
from loftrelay.relay.events import recovery_event
from loftrelay.relay.final_statuses import FinalStatuses
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import is_idempotent, is_repeatable
from loftrelay.relay.ports import JournalFullError, MessageStore, RecoveryAction, ResolutionStatus
from loftrelay.relay.statuses import (
    DELIVERED,
    FAILED,
    STATUS_DELIVERED,
    STORED_DELIVERED,
    STORED_FAILED,
    final_status_from_stored,
    is_reported,
)

log = logging.getLogger(__name__)


class Recovery:
    """Start of one relay from its journal."""

    def __init__(self, context: RelayContext, final_statuses: FinalStatuses) -> None:
        self.context = context
        self.final_statuses = final_statuses
        self.messages: list[Message] = []  # recovered, but not passed to the scheduler yet
        self.unresolved: set[int] = set()  # destinations of these messages that are not resolved yet

    def run(self, cached_list: Mapping[str, Any]) -> None:
        """Restores all messages in the order in which they were admitted.

        Args:
            cached_list: the last known endpoint list.
        """
        context = self.context
        context.discovery.load_cached(cached_list)
        for message in context.messages_in_order():
            self._end_interrupted_attempt(message)
        self._restore_cooldowns()
        self.messages = [message for message in context.messages_in_order() if self._reconcile(message)]
        recovered = self.messages  # `replay` replaces self.messages by an empty list
        if context.subscription is None:
            self.replay()
        for message in recovered:
            if message.final_status is not None:
                self.final_statuses.report(message.id, message.final_status)
            else:
                context.message_states.enqueue(message.id)
        self._end_lost_messages()
        if recovered:
            log.info("%d open messages recovered from the journal", len(recovered))
        if context.subscription is not None:
            self._resolve_destinations(recovered)

    def _end_interrupted_attempt(self, message: Message) -> None:
        if message.packed_terms is None:
            message.packed_terms = self.context.accepted_classes.terms(message.class_name, wall_clock())
        if message.attempt_started_at is not None:
            self.context.journal.record_attempt_result(message, AttemptStatus.CONNECTION_LOST)

    def _restore_cooldowns(self) -> None:
        """Restores the cooldown of ordering keys whose last attempt may still be running."""
        now, cooldown = wall_clock(), self.context.settings.ordering_cooldown or 0
        for ordering_key, given_up_at in self.context.journal.uncertain_keys.items():
            remaining = given_up_at + cooldown - now
            if remaining > 0:
                self.context.post(OrderingKeyCooldown(ordering_key, remaining))

    def _resolve_destinations(self, messages: list[Message]) -> None:
        assert self.context.subscription is not None
        self.unresolved = {message.destination for message in messages if message.final_status is None}
        for destination in sorted(self.unresolved):
            self.context.subscription.resolve(destination)
        if not self.unresolved:
            self.replay()

    def destination_resolved(self, destination: int, status: ResolutionStatus) -> None:
        """Replays the messages once the last of their destinations is resolved."""
        if destination not in self.unresolved:
            return
        if status is ResolutionStatus.UNAVAILABLE and self.context.subscription is not None:
            self.context.subscription.resolve(destination)
            return
        self.unresolved.discard(destination)
        if not self.unresolved:
            self.replay()

    def replay(self) -> None:
        """Passes the recovered messages to the scheduler; does nothing if that is done already."""
        self.unresolved.clear()
        messages, self.messages = self.messages, []
        now = wall_clock()
        for message in messages:
            if message.id in self.context.journal.messages:  # it may have been completed meanwhile
                self.context.post(recovery_event(message, now))

    # Reconciliation with the store

    def _reconcile(self, message: Message) -> bool:
        """Reconciles a message of the journal with the store; returns whether the message is still open."""
        store = self.context.store
        if store is None:
            return self._reconcile_without_store(message)
        has_report = message.final_status is not None and is_reported(message.final_status)
        stored_status = store.stored_final_status(message.id)
        action = store.recover(message, message.id, not is_repeatable(message.packed_terms))
        if action in (RecoveryAction.COMPLETE, RecoveryAction.DISCARD):
            self._drop_completed(message, stored_status)
            return False
        if action is RecoveryAction.UPDATE_STORE and message.final_status is None:
            stored_status = STORED_DELIVERED
        final_status = message.final_status
        is_delivered = final_status is not None and final_status["status"] == STATUS_DELIVERED
        if is_delivered or (final_status is None and stored_status == STORED_DELIVERED):
            self.final_statuses.message_delivered(message)
            return False
        if action is RecoveryAction.REPORT_AGAIN and message.final_status is None:
            self.context.journal.record_final_status(message.id, final_status_from_stored(stored_status))
        if has_report:
            self.final_statuses.resume_recording(message)
            return False
        # Recorded as a possible run, so that the scheduler fails the message: it must not run twice.
        if action is RecoveryAction.FAIL and message.first_uncertain_attempt_at is None:
            self.context.journal.record_dispute(message, message.attempt_host or "", wall_clock())
        if message.awaits_store:
            with contextlib.suppress(JournalFullError):  # then the next start finds out again
                self.context.journal.record_store_confirmed(message.id)
        return True

    def _reconcile_without_store(self, message: Message) -> bool:
        """Handles what a process with a store has left in the journal; returns whether it is still open."""
        if message.awaits_store and message.final_status is None and not message.attempts:
            self.context.journal.complete(message.id)  # its client was promised nothing
            return False
        if message.final_status is None:
            return True
        if message.final_status["status"] == STATUS_DELIVERED:
            self.final_statuses.message_delivered(message)
            return False
        if is_reported(message.final_status):
            self.context.journal.complete(message.id)
            return False
        return True

    def _drop_completed(self, message: Message, stored_status: str | None) -> None:
        """Drops a message that is complete in the store; if it must not run again, its id is remembered."""
        statuses = {STORED_DELIVERED: DELIVERED, STORED_FAILED: FAILED}
        status = 0 if is_idempotent(message.packed_terms) else statuses.get(stored_status or "", 0)
        self.context.journal.complete(message.id, status)

    def _end_lost_messages(self) -> None:
        """Ends messages that are unfinished in the store and lost from the journal: they may have run."""
        store = self.context.store
        if store is None:
            return
        for message_id in store.unfinished_without_journal(self.context.journal.messages):
            self._end_lost_message(store, message_id)

    def _end_lost_message(self, store: MessageStore, message_id: str) -> None:
        stored_status = store.stored_final_status(message_id)
        store.recover(None, message_id, True)
        completed = self.context.journal.completed(message_id)
        if stored_status == STORED_DELIVERED:
            store.final_status_reported(message_id)
        elif stored_status is None and completed is not None and completed.status == DELIVERED:
            # A process without a store has delivered it.
            done = partial(store.final_status_reported, message_id)
            store.record_final_status(message_id, STORED_DELIVERED, "OK", done)
        else:
            self.final_statuses.report(message_id, final_status_from_stored(stored_status))
