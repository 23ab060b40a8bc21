"""Records what happens to each message in the store of record, in order, through the writer.

It keeps for each open message where its record stands, with what is queued, so that each change has its
number.
"""

from __future__ import annotations

import asyncio
import hashlib
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import RecoveryAction
from loftrelay.store import state_machine
from loftrelay.store.backend import RecordQuery, StoreBackend, StoreError
from loftrelay.store.state_machine import (
    Change,
    ChangeKind,
    DurabilityMode,
    MessageIdStatus,
    MessageMetadata,
    MessageRecord,
    RecordState,
    StoredFinalStatus,
)
from loftrelay.store.writer import IdInUseError, StoreBusyError, Writer

log = logging.getLogger(__name__)

PRUNE_INTERVAL_S = 60.0
PRUNE_PAUSE_S = 0.1  # between steps
PRUNE_ROWS = 500  # records deleted in one step
MIN_RETRY_AFTER_MS = 1_000  # when to come back, at the least, while the store is slow


STATUSES = {
    MessageIdStatus.NEW: 0,
    MessageIdStatus.IN_PROGRESS: 202,
    MessageIdStatus.DELIVERED: 200,
    MessageIdStatus.FAILED: 500,
    MessageIdStatus.REJECTED: 503,
}


@dataclass(slots=True)
class AdmissionDecision:
    """What the store says of an admission: `id_status` is NEW once it has the message."""

    id_status: MessageIdStatus = MessageIdStatus.NEW
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        """Of the answer to its client, where the id is known; 0 for a new one."""
        return STATUSES[self.id_status]


def journal_standing(message: Message) -> state_machine.JournalState:
    """Returns what the journal has of a message at a start."""
    if message.final_status is not None:
        return (
            state_machine.JournalState.DELIVERED
            if message.final_status["status"] == "delivered"
            else state_machine.JournalState.DECIDED
        )
    if message.attempt_started_at is not None:
        return state_machine.JournalState.IN_FLIGHT
    if message.first_attempt_at is not None:
        return state_machine.JournalState.MAY_HAVE_RUN
    return (
        state_machine.JournalState.NOT_EXECUTED if message.attempts else state_machine.JournalState.ADMITTED
    )


@dataclass(slots=True)
class RecordPosition:
    """Where the record of a message stands once all that is queued is written."""

    mode: DurabilityMode
    admission_number: int = 1
    change_number: int = 0
    state: RecordState | None = None  # None: nothing of it is recorded yet


def _ignore(decision: AdmissionDecision) -> None:
    """For a message whose admission nobody waits for."""
    del decision


class Recorder:
    """Records what happens to the messages of one relay.

    Args:
        writer: writes the changes.
        instance: the name of this relay.
        modes: how each class is recorded.
        memory: microseconds after its end for which an id is answered as before.
        keep: microseconds for which records are kept; None: for good.
        patience: seconds that the store may take for a message before its client is rejected.
    """

    def __init__(
        self,
        writer: Writer,
        instance: str,
        modes: Mapping[str, DurabilityMode],
        id_retention_us: int,
        record_retention_us: int | None = None,
        max_store_wait_s: float = 0.5,
    ) -> None:
        self.writer = writer
        self.instance = instance
        self.modes = modes
        self.id_retention_us = id_retention_us
        self.record_retention_us = record_retention_us
        self.max_store_wait_s = max_store_wait_s
        self.positions: dict[str, RecordPosition] = {}
        self.records_at_start: dict[
            str, MessageRecord
        ] = {}  # as the store had them at the start, until they are taken up
        self.pruning = asyncio.create_task(self._prune()) if record_retention_us is not None else None

    @property
    def retry_after_ms(self) -> int:
        """When to come back, while the store is away; 0 while it is there."""
        return self.writer.retry_after_ms if self.writer.is_store_unavailable else 0

    # A start

    async def load(self, messages: Sequence[str]) -> None:
        """Reads what the store tells of these, and of all that this instance has not ended.

        Raises StoreError.
        """
        known = await self.writer.call(lambda store: store.read(messages))
        mine = await self.writer.call(self._mine)
        self.records_at_start = {entry.message_id: entry for entry in mine} | known

    def _mine(self, store: StoreBackend) -> list[MessageRecord]:
        return [e for e in store.select(RecordQuery(unfinished=True)) if e.metadata.instance == self.instance]

    def unfinished_without_journal(self, messages: Mapping[str, Message]) -> list[str]:
        """Returns the messages that are unfinished in the store and not in the journal."""
        return [
            name
            for name, entry in self.records_at_start.items()
            if name not in messages and entry.reported_at is None
        ]

    def recover(self, message: Message | None, message_id: str, is_at_most_once: bool) -> RecoveryAction:
        """Returns what a start does about a message, and goes on with its record."""
        entry = self.records_at_start.pop(message_id, None)
        class_name = (
            message.class_name
            if message is not None
            else entry.metadata.class_name
            if entry is not None
            else ""
        )
        mode = self.modes.get(class_name, DurabilityMode.WRITE_AHEAD)
        stands = state_machine.JournalState.ABSENT if message is None else journal_standing(message)
        mend = state_machine.reconcile(stands, entry, is_at_most_once, mode)
        if mend in (RecoveryAction.COMPLETE, RecoveryAction.DISCARD):
            return mend
        track = self.positions[message_id] = RecordPosition(mode)
        if entry is not None:
            track.admission_number, track.change_number, track.state = (
                entry.admission_number,
                entry.change_number,
                entry.state,
            )
        elif message is not None:
            self._record_admission(message, track, 1, _ignore, optional=False)
            if message.attempts:  # as far as the journal tells
                self._post(
                    message_id,
                    track,
                    ChangeKind.BEGIN_ATTEMPT,
                    host=message.attempt_host or message.first_attempt_host,
                )
                if stands is not state_machine.JournalState.DELIVERED:
                    self.attempt_ended(
                        message_id,
                        "NOT_SENT" if stands is state_machine.JournalState.NOT_EXECUTED else "BROKEN",
                    )
        if track.state is RecordState.IN_FLIGHT and mend in (
            RecoveryAction.RESUME,
            RecoveryAction.FAIL,
        ):
            self.attempt_ended(message_id, "BROKEN")
        return mend

    def recorded_final_status(self, message: str) -> str | None:
        """Returns how a message ended, as the store had it at the start."""
        entry = self.records_at_start.get(message)
        return entry.final_status.value if entry is not None and entry.final_status is not None else None

    def drop(self, message: str) -> None:
        """Records nothing more of a message."""
        self.positions.pop(message, None)

    # A message's life

    def admit(self, message: Message, done: Callable[[AdmissionDecision], None]) -> None:
        """Stores a new message; `done` is told when it has it, or why not, at once for WRITE_BEHIND classes.

        A slow store rejects, too: what it has in the end is recorded as rejected. An id whose earlier record
        not complete yet is rejected as well.
        """
        if message.id in self.positions:
            done(self._refusal())
            return
        track = self.positions[message.id] = RecordPosition(
            self.modes.get(message.class_name, DurabilityMode.WRITE_AHEAD)
        )
        if track.mode is DurabilityMode.WRITE_BEHIND:
            if len(self.writer.queue) >= self.writer.max_queued:
                self.drop(message.id)
                done(AdmissionDecision(retry_after_ms=self.writer.retry_after_ms))
                return
            self._record_admission(message, track, 1, _ignore)
            done(AdmissionDecision())
            return
        late = False

        def give_up() -> None:
            nonlocal late
            late = True
            done(self._refusal())

        def settle(verdict: AdmissionDecision) -> None:
            clock.cancel()
            if not late:
                done(verdict)
            elif verdict.id_status is MessageIdStatus.NEW and not verdict.retry_after_ms:
                # Its client was refused meanwhile, and may come again with it.
                self.record_final_status(
                    message.id,
                    StoredFinalStatus.REJECTED.value,
                    None,
                    partial(self.final_status_reported, message.id),
                )

        clock = asyncio.get_running_loop().call_later(self.max_store_wait_s, give_up)
        self._record_admission(message, track, 1, settle)

    def _refusal(self) -> AdmissionDecision:
        return AdmissionDecision(
            MessageIdStatus.REJECTED, max(MIN_RETRY_AFTER_MS, self.writer.retry_after_ms)
        )

    def _record_admission(
        self,
        message: Message,
        track: RecordPosition,
        run: int,
        done: Callable[[AdmissionDecision], None],
        optional: bool = True,
    ) -> None:
        track.admission_number, track.change_number, track.state = run, 1, RecordState.ADMITTED
        about = MessageMetadata(
            self.instance,
            message.class_name,
            message.tenant,
            message.destination,
            message.ordering_key,
            message.deadline,
            hashlib.sha256(message.body).hexdigest(),
        )
        change = Change(message.id, run, 1, ChangeKind.ADMIT, message.admitted_at, metadata=about)
        required = track.mode is DurabilityMode.WRITE_AHEAD
        self.writer.put(
            change, partial(self._admission_recorded, message, track, done), optional and required, required
        )

    def _admission_recorded(
        self,
        message: Message,
        track: RecordPosition,
        done: Callable[[AdmissionDecision], None],
        error: Exception | None,
    ) -> None:
        if error is None:
            done(AdmissionDecision())
            return
        if isinstance(error, IdInUseError):
            verdict = state_machine.message_id_status(error.record, wall_clock(), self.id_retention_us)
            if verdict is MessageIdStatus.NEW and track.change_number == 1:
                self._record_admission(message, track, error.record.admission_number + 1, done)
                return
            if track.mode is DurabilityMode.WRITE_BEHIND:
                log.warning("%s is recorded already: nothing more is recorded of it", message.id)
        if self.positions.get(message.id) is track:
            self.drop(message.id)
        if isinstance(error, IdInUseError) and verdict is MessageIdStatus.REJECTED:
            done(self._refusal())
        elif isinstance(error, IdInUseError):
            done(
                AdmissionDecision(
                    verdict if verdict is not MessageIdStatus.NEW else MessageIdStatus.IN_PROGRESS
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
        """Records the begin of an attempt; `done` is told whether all WRITE_AHEAD messages are committed.

        If not, none of them may be sent.
        """
        waiting, failed = 0, False

        def settle(message: str, track: RecordPosition, before: RecordState, error: Exception | None) -> None:
            nonlocal waiting, failed
            waiting -= 1
            if error is not None:
                track.change_number, track.state = track.change_number - 1, before
                failed = True
                if not isinstance(error, StoreBusyError):
                    log.error("%s: its record is behind: %s", message, error)
            if not waiting:
                done(not failed)

        for held in messages:
            track = self.positions.get(held.id)
            if track is None or track.state not in (RecordState.ADMITTED, RecordState.WAITING):
                continue
            before, change = track.state, self._change(held.id, track, ChangeKind.BEGIN_ATTEMPT, host=host)
            if track.mode is DurabilityMode.WRITE_BEHIND:
                self.writer.put(change, urgent=False)
            else:
                waiting += 1
                self.writer.put(change, partial(settle, held.id, track, before), optional=True)
        if not waiting:
            done(True)

    def attempt_ended(self, message: str, result: str) -> None:
        """Records that an attempt ended other than by a delivery."""
        track = self.positions.get(message)
        if track is not None and track.state is RecordState.IN_FLIGHT:
            self._post(message, track, ChangeKind.END_ATTEMPT, result=result)

    def record_final_status(
        self, message: str, answer: str, result: str | None, done: Callable[[], None]
    ) -> None:
        """Records how a message ends; `done` is called once that is committed.

        It is called at once for WRITE_BEHIND classes, deliveries aside, and where nothing is recorded of the
        message. A delivery is always waited for: the journal keeps it until then, and nobody else waits.
        """
        track, final = self.positions.get(message), StoredFinalStatus(answer)
        if track is None:
            done()
            return
        if final is StoredFinalStatus.DELIVERED and track.state in (
            RecordState.ADMITTED,
            RecordState.WAITING,
        ):
            self._post(
                message, track, ChangeKind.BEGIN_ATTEMPT
            )  # it was lost with the queue of a class that follows
        if track.state in (RecordState.DECIDED, RecordState.REPORTED, None):
            done()
            return
        if final is StoredFinalStatus.DELIVERED:
            # Nobody is owed a delivery's end, so that it is told with it: in one commit, mostly.
            self._post(message, track, ChangeKind.DECIDE, final_status=final, result=result)
            self._write(
                message, track, ChangeKind.REPORT, done, urgent=track.mode is DurabilityMode.WRITE_AHEAD
            )
        elif track.mode is DurabilityMode.WRITE_BEHIND:
            self._post(message, track, ChangeKind.DECIDE, final_status=final, result=result)
            done()
        else:
            self._write(message, track, ChangeKind.DECIDE, done, final_status=final, result=result)

    def final_status_reported(self, message: str) -> None:
        """Records that whoever waits for the end of a message has it."""
        track = self.positions.pop(message, None)
        if track is not None and track.state is RecordState.DECIDED:
            self._post(message, track, ChangeKind.REPORT)

    def _change(
        self,
        message: str,
        track: RecordPosition,
        kind: ChangeKind,
        host: str | None = None,
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
    ) -> Change:
        track.change_number += 1
        track.state = state_machine.STATE_AFTER[kind]
        return Change(
            message,
            track.admission_number,
            track.change_number,
            kind,
            wall_clock(),
            None,
            host,
            result,
            final_status,
        )

    def _post(
        self,
        message: str,
        track: RecordPosition,
        kind: ChangeKind,
        host: str | None = None,
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
    ) -> None:
        """Queues a change that nobody waits for."""
        urgent = track.mode is DurabilityMode.WRITE_AHEAD and kind is not ChangeKind.REPORT
        self.writer.put(self._change(message, track, kind, host, result, final_status), urgent=urgent)

    def _write(
        self,
        message: str,
        track: RecordPosition,
        kind: ChangeKind,
        done: Callable[[], None],
        result: str | None = None,
        final_status: StoredFinalStatus | None = None,
        urgent: bool = True,
    ) -> None:
        """Queues a change; `done` is called when it is committed, or never will be: then the log says so."""

        def written(error: Exception | None) -> None:
            if error is not None:
                log.error("%s: its record is behind: %s", message, error)
            done()

        self.writer.put(
            self._change(message, track, kind, None, result, final_status), written, urgent=urgent
        )

    # Retention, and the end

    async def _prune_step(self, before: int) -> int:
        return await self.writer.call(lambda store: store.prune(before, PRUNE_ROWS))

    async def _prune(self) -> None:
        """Deletes records beyond their retention, in small steps."""
        assert self.record_retention_us is not None
        while True:
            try:
                before = wall_clock() - self.record_retention_us
                while await self._prune_step(before) == PRUNE_ROWS:
                    await asyncio.sleep(PRUNE_PAUSE_S)
            except StoreError as error:
                log.warning("old records were not deleted: %s", error)
            await asyncio.sleep(PRUNE_INTERVAL_S)

    async def close(self) -> None:
        """Stops pruning, and writes what is queued."""
        if self.pruning is not None:
            self.pruning.cancel()
        await self.writer.close()
