"""Records the progress of each message in the store of record, in order, through the writer.

It tracks the position of the record of each open message, including queued changes, so that each change gets
the next number.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable, Mapping, Sequence
from functools import partial

from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import RecoveryAction
from loftrelay.store import state_machine
from loftrelay.store.admission import AdmissionDecision
from loftrelay.store.attempt_request import AttemptRequest, RecordPosition
from loftrelay.store.backend import StoreError
from loftrelay.store.durability import DurabilityPolicy
from loftrelay.store.pruning import Pruner
from loftrelay.store.start_records import (
    is_admission_of,
    is_delivered_elsewhere,
    journal_state,
    read_start_records,
)
from loftrelay.store.state_machine import (
    Change,
    ChangeKind,
    DurabilityMode,
    JournalState,
    MessageIdStatus,
    MessageMetadata,
    MessageRecord,
    RecordState,
    StoredFinalStatus,
)
from loftrelay.store.writer import IdInUseError, StoreBusyError, Writer
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

MIN_RETRY_AFTER_MS = 1_000  # of a rejection while the store is slow
READ_RETRY_INTERVAL_S = 0.5  # of a record while the store is unavailable
MAX_RECORD_WAIT_S = 0.1  # of a final status for its record; its report is due 0.3 s after the deadline


def _position_of(record: MessageRecord | None, mode: DurabilityMode) -> RecordPosition:
    if record is None:
        return RecordPosition(mode)
    is_delivered = record.final_status is StoredFinalStatus.DELIVERED
    return RecordPosition(mode, record.admission_number, record.change_number, record.state, is_delivered)


def _ignore(decision: AdmissionDecision) -> None:
    """Ignores the result of an admission that no caller waits for."""
    del decision


def _do_nothing() -> None:
    """Ends a change that no caller waits for."""


class Recorder:
    """Records the progress of the messages of one relay.

    Args:
        writer: Writes the changes.
        instance: Name of this relay.
        durability: Durability modes of messages.
        id_retention_us: How long after the decision an id keeps its final status, in microseconds.
        record_retention_us: How long reported records are kept, in microseconds; None: forever.
        max_store_wait_s: How long the store may take for an admission before the client is rejected.
    """

    def __init__(
        self,
        writer: Writer,
        instance: str,
        durability: DurabilityPolicy,
        id_retention_us: int,
        record_retention_us: int | None = None,
        max_store_wait_s: float = 0.3,
    ) -> None:
        self.writer = writer
        self.instance = instance
        self.durability = durability
        self.id_retention_us = id_retention_us
        self.max_store_wait_s = max_store_wait_s
        self.positions: dict[str, RecordPosition] = {}
        # Records in the store at the start; each is removed when its message is recovered.
        self.records_at_start: dict[str, MessageRecord] = {}
        self.pruner = Pruner(writer, record_retention_us) if record_retention_us is not None else None

    @property
    def retry_after_ms(self) -> int:
        """When to retry while the store is unavailable, in milliseconds; 0 while it is available."""
        return self.writer.retry_after_ms if self.writer.is_store_unavailable else 0

    # Start and recovery

    async def load(self, message_ids: Sequence[str]) -> None:
        """Reads the records of these message ids, and all unfinished records of this instance.

        Raises:
            StoreError: The store can't be read.
        """
        self.records_at_start = await self.writer.call(
            lambda store: read_start_records(store, self.instance, message_ids)
        )

    def unfinished_without_journal(self, messages: Mapping[str, Message]) -> list[str]:
        """Returns the ids of messages that are unfinished in the store and missing from the journal."""
        return [
            message_id
            for message_id, record in self.records_at_start.items()
            if message_id not in messages and record.reported_at is None
        ]

    def recover(self, message: Message | None, message_id: str, is_at_most_once: bool) -> RecoveryAction:
        """Returns what a start does with a message, and brings its record up to date with the journal."""
        record = self.records_at_start.pop(message_id, None)
        mode = self.durability.mode_of(message)
        journal = journal_state(message)
        if message is not None and journal is JournalState.AWAITING_STORE:
            # A record of another admission of the id says nothing about this one.
            record = record if is_admission_of(record, message, self.instance) else None
        action = state_machine.reconcile(journal, record, is_at_most_once)
        if (
            journal is JournalState.DECIDED
            and record is not None
            and is_delivered_elsewhere(record, self.instance)
        ):
            action = RecoveryAction.COMPLETE
        if action in (RecoveryAction.COMPLETE, RecoveryAction.DISCARD):
            return action
        position = self.positions[message_id] = _position_of(record, mode)
        if record is None and message is not None:
            self._record_admission(message, position, 1, _ignore, optional=False)
            if message.attempts:  # one attempt, with what the journal has of it
                self._post(
                    message_id,
                    position,
                    ChangeKind.BEGIN_ATTEMPT,
                    host=message.attempt_host or message.first_uncertain_attempt_host,
                )
                if journal is not JournalState.DELIVERED:
                    self.attempt_ended(
                        message_id,
                        "NOT_SENT" if journal is JournalState.NOT_EXECUTED else "BROKEN",
                    )
        if position.state is RecordState.IN_FLIGHT and action in (RecoveryAction.RESUME, RecoveryAction.FAIL):
            self.attempt_ended(message_id, "BROKEN")
        return action

    def stored_final_status(self, message_id: str) -> str | None:
        """Returns the final status of a message in the store at the start, or None."""
        record = self.records_at_start.get(message_id)
        return record.final_status.value if record is not None and record.final_status is not None else None

    def drop(self, message_id: str) -> None:
        """Stops recording a message."""
        self.positions.pop(message_id, None)

    # Changes of a message

    def must_confirm(self, message: Message) -> bool:
        """Returns whether a new message must be committed before its client gets 202."""
        return self.durability.mode_of(message) is DurabilityMode.WRITE_AHEAD

    def admit(self, message: Message, done: Callable[[AdmissionDecision], None]) -> None:
        """Stores a new message; calls `done` with the result, immediately for WRITE_BEHIND messages.

        The message is rejected if the store is slow, and recorded as rejected if the store has it in the end.
        It is also rejected while an earlier record of its id is not complete.
        """
        if message.id in self.positions:
            done(self._rejection())
            return
        position = self.positions[message.id] = RecordPosition(self.durability.mode_of(message))
        if position.mode is DurabilityMode.WRITE_BEHIND:
            if len(self.writer.queue) >= self.writer.max_queued:
                self.drop(message.id)
                done(AdmissionDecision(retry_after_ms=self.writer.retry_after_ms))
                return
            self._record_admission(message, position, 1, _ignore)
            done(AdmissionDecision())
            return
        is_rejected = False

        def reject_late() -> None:
            nonlocal is_rejected
            is_rejected = True
            done(self._rejection())

        def settle(decision: AdmissionDecision) -> None:
            timeout.cancel()
            if not is_rejected:
                done(decision)
            elif decision.id_status is MessageIdStatus.NEW and not decision.retry_after_ms:
                # The client was rejected meanwhile and may submit the message again.
                self.record_final_status(
                    message.id,
                    StoredFinalStatus.REJECTED.value,
                    None,
                    partial(self.final_status_reported, message.id),
                )

        timeout = asyncio.get_running_loop().call_later(self.max_store_wait_s, reject_late)
        self._record_admission(message, position, 1, settle)

    def _rejection(self) -> AdmissionDecision:
        return AdmissionDecision(
            MessageIdStatus.REJECTED, max(MIN_RETRY_AFTER_MS, self.writer.retry_after_ms)
        )

    def _record_admission(
        self,
        message: Message,
        position: RecordPosition,
        admission_number: int,
        done: Callable[[AdmissionDecision], None],
        optional: bool = True,
    ) -> None:
        position.admission_number, position.change_number, position.state = (
            admission_number,
            1,
            RecordState.ADMITTED,
        )
        metadata = MessageMetadata(
            self.instance,
            message.class_name,
            message.tenant,
            message.destination,
            message.ordering_key,
            message.deadline,
            hashlib.sha256(message.body).hexdigest(),
        )
        change = Change(
            message.id, admission_number, 1, ChangeKind.ADMIT, message.admitted_at, metadata=metadata
        )
        is_required = position.mode is DurabilityMode.WRITE_AHEAD
        self.writer.put(
            change,
            partial(self._admission_recorded, message, position, done),
            optional and is_required,
            is_required,
        )

    def _admission_recorded(
        self,
        message: Message,
        position: RecordPosition,
        done: Callable[[AdmissionDecision], None],
        error: Exception | None,
    ) -> None:
        if error is None:
            done(AdmissionDecision())
            return
        if isinstance(error, IdInUseError):
            id_status = state_machine.message_id_status(error.record, wall_clock(), self.id_retention_us)
            if id_status is MessageIdStatus.NEW and position.change_number == 1:
                self._record_admission(message, position, error.record.admission_number + 1, done)
                return
            if position.mode is DurabilityMode.WRITE_BEHIND:
                log.warning("message %s: its id already has a record; it is not recorded further", message.id)
        if self.positions.get(message.id) is position:
            self.drop(message.id)
        if isinstance(error, IdInUseError) and id_status is MessageIdStatus.REJECTED:
            done(self._rejection())
        elif isinstance(error, IdInUseError):
            done(
                AdmissionDecision(
                    id_status if id_status is not MessageIdStatus.NEW else MessageIdStatus.IN_PROGRESS
                )
            )
        else:
            done(
                AdmissionDecision(
                    retry_after_ms=error.retry_after_ms
                    if isinstance(error, StoreBusyError)
                    else self.writer.retry_after_ms
                )
            )

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        """Records the start of an attempt; calls `done` with whether all WRITE_AHEAD messages are committed.

        If they are not, none of the messages may be sent.
        """
        request = AttemptRequest(done)
        for message in messages:
            position = self.positions.get(message.id)
            if position is None or position.state not in (RecordState.ADMITTED, RecordState.WAITING):
                continue
            previous_state = position.state
            change = self._change(message.id, position, ChangeKind.BEGIN_ATTEMPT, host=host)
            if position.mode is DurabilityMode.WRITE_BEHIND:
                self.writer.put(change, urgent=False)
            else:
                request.add(self.writer, change, position, previous_state)
        request.end_if_settled()

    def attempt_ended(self, message_id: str, result: str) -> None:
        """Records that an attempt ended without a delivery.

        If its start is not committed yet, both are recorded: the store may have the start already.
        """
        position = self.positions.get(message_id)
        if position is not None and position.state is RecordState.IN_FLIGHT:
            if position.attempt_start is not None:
                position.attempt_start.withdraw()
            self._post(message_id, position, ChangeKind.END_ATTEMPT, result=result)

    def max_record_wait_s(self, message_id: str) -> float:
        """Returns how long a final status may wait for its record before it is reported without, in s.

        It does not wait while the store is unavailable, nor for WRITE_BEHIND classes.
        """
        position = self.positions.get(message_id)
        is_required = position is not None and position.mode is DurabilityMode.WRITE_AHEAD
        return MAX_RECORD_WAIT_S if is_required and not self.writer.is_store_unavailable else 0.0

    def record_final_status(
        self, message_id: str, stored_status: str, result: str | None, done: Callable[[], None]
    ) -> None:
        """Records the final status of a message; calls `done` after the commit.

        It calls `done` immediately if the message is not recorded. Until the commit it stays in the journal.
        """
        position, final_status = self.positions.get(message_id), StoredFinalStatus(stored_status)
        if position is None:
            done()
            return
        if final_status is StoredFinalStatus.DELIVERED and position.state in (
            RecordState.ADMITTED,
            RecordState.WAITING,
        ):
            # The start of the attempt was lost with the queue of a WRITE_BEHIND class.
            self._post(message_id, position, ChangeKind.BEGIN_ATTEMPT)
        urgent = position.mode is DurabilityMode.WRITE_AHEAD
        if position.is_delivered and final_status is StoredFinalStatus.FAILED:
            position.is_delivered = False
            self._write(message_id, position, ChangeKind.DISPUTE, done, urgent=urgent)
            return
        if position.state in (RecordState.DECIDED, RecordState.REPORTED, None):
            done()
            return
        if final_status is StoredFinalStatus.DELIVERED:
            # A delivery is not reported to anybody, so it is recorded as reported, mostly in the same commit.
            self._post(message_id, position, ChangeKind.DECIDE, final_status=final_status, result=result)
            self._write(message_id, position, ChangeKind.REPORT, done, urgent=urgent)
            position.is_delivered = True
        else:
            self._write(
                message_id,
                position,
                ChangeKind.DECIDE,
                done,
                final_status=final_status,
                result=result,
                urgent=urgent,
            )

    def dispute_delivery(self, message_id: str, done: Callable[[], None]) -> None:
        """Records that a delivered message has failed; calls `done` after the commit.

        Its record may be complete, and is then read first.
        """
        if message_id in self.positions:
            self.record_final_status(message_id, StoredFinalStatus.FAILED.value, None, done)
        else:
            dispute = self._dispute_complete_record(message_id, done)
            start_watched(dispute, f"message {message_id}: dispute of its recorded delivery")

    async def _dispute_complete_record(self, message_id: str, done: Callable[[], None]) -> None:
        record = await self._read_when_available(message_id)
        if record is not None:
            self.positions[message_id] = _position_of(record, self.durability.mode_of(None))
        self.record_final_status(message_id, StoredFinalStatus.FAILED.value, None, done)

    async def _read_when_available(self, message_id: str) -> MessageRecord | None:
        while True:
            try:
                records = await self.writer.call(lambda store: store.read([message_id]))
            except StoreError:
                await asyncio.sleep(READ_RETRY_INTERVAL_S)
            else:
                return records.get(message_id)

    def final_status_reported(self, message_id: str, done: Callable[[], None] | None = None) -> None:
        """Records that the final status of a message was reported; calls `done` after the commit.

        It calls `done` immediately if the message is not recorded.
        """
        position = self.positions.pop(message_id, None)
        if position is not None and position.state is RecordState.DECIDED:
            self._write(message_id, position, ChangeKind.REPORT, done or _do_nothing, urgent=False)
        elif done is not None:
            done()

    def _change(
        self,
        message_id: str,
        position: RecordPosition,
        kind: ChangeKind,
        host: str | None = None,
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
    ) -> Change:
        position.change_number += 1
        position.state = state_machine.STATE_AFTER[kind]
        return Change(
            message_id,
            position.admission_number,
            position.change_number,
            kind,
            wall_clock(),
            None,
            host,
            result,
            final_status,
        )

    def _post(
        self,
        message_id: str,
        position: RecordPosition,
        kind: ChangeKind,
        host: str | None = None,
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
    ) -> None:
        """Queues a change that no caller waits for."""
        urgent = position.mode is DurabilityMode.WRITE_AHEAD and kind is not ChangeKind.REPORT
        self.writer.put(self._change(message_id, position, kind, host, result, final_status), urgent=urgent)

    def _write(
        self,
        message_id: str,
        position: RecordPosition,
        kind: ChangeKind,
        done: Callable[[], None],
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
        urgent: bool = True,
    ) -> None:
        """Queues a change; calls `done` once it is committed, or once the store has rejected it as invalid.

        If the writer closes first, `done` is not called: the message stays in the journal for the next start.
        """

        def on_written(error: Exception | None) -> None:
            if isinstance(error, StoreBusyError):
                return
            if error is not None:
                log.error("message %s: change %s was not recorded: %s", message_id, kind.value, error)
            done()

        self.writer.put(
            self._change(message_id, position, kind, None, result, final_status), on_written, urgent=urgent
        )

    async def close(self, max_wait_s: float | None = None) -> None:
        """Stops pruning and writes the queued changes, as `Writer.close`."""
        if self.pruner is not None:
            self.pruner.stop()
        await self.writer.close(max_wait_s)
