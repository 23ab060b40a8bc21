"""Tells the store of record what happens to each message, in the order of its life, through the writer.

It keeps for each open message where its record stands, counted with what is queued, so that each change has
its number.
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
from loftrelay.store import state_machine
from loftrelay.store.backend import Query, Store, StoreError
from loftrelay.store.state_machine import About, Answer, Change, Entry, Kind, Known, Mode, State
from loftrelay.store.writer import Away, Elsewhere, Writer

log = logging.getLogger(__name__)

PRUNE_EVERY, PRUNE_ROWS = 60.0, 500  # seconds, and records deleted in one step
SLOW_MS = 1_000  # when to come back, at the least, while the store is slow


STATUSES = {
    Known.NEW: 0,
    Known.IN_PROGRESS: 202,
    Known.DELIVERED: 200,
    Known.FAILED: 500,
    Known.REFUSED: 503,
}


@dataclass(slots=True)
class Verdict:
    """What became of a TAKE. `known`: NEW when the store has it now; `retry_ms`: refused, come back then."""

    known: Known = Known.NEW
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        return STATUSES[self.known]


def stand(held: Message) -> state_machine.Held:
    """What the journal tells of a message at a start."""
    if held.final_status is not None:
        return (
            state_machine.Held.DELIVERED
            if held.final_status["status"] == "delivered"
            else state_machine.Held.ENDED
        )
    if held.attempt_started_at is not None:
        return state_machine.Held.OUT
    if held.first_attempt_at is not None:
        return state_machine.Held.DOUBTFUL
    return state_machine.Held.TRIED if held.attempts else state_machine.Held.TAKEN


@dataclass(slots=True)
class Track:
    """Where a message's record stands once all that is queued is written."""

    mode: Mode
    run: int = 1
    number: int = 0
    state: State | None = None  # None: nothing of it is recorded yet


class Recorder:
    """`memory`: for how long after its end an id is answered as before (microseconds). `patience`: how long
    the store may take for a message before its client is refused (seconds).
    """

    def __init__(
        self,
        writer: Writer,
        instance: str,
        modes: Mapping[str, Mode],
        memory: int,
        keep: int | None = None,
        patience: float = 0.5,
    ) -> None:
        self.writer = writer
        self.instance = instance
        self.modes = modes
        self.memory = memory
        self.keep = keep
        self.patience = patience
        self.tracks: dict[str, Track] = {}
        self.entries: dict[str, Entry] = {}  # as the store had them at the start, until they are taken up
        self.pruning = asyncio.create_task(self._prune()) if keep is not None else None

    @property
    def retry_after_ms(self) -> int:
        """When to come back, while the store is away; 0 while it is there."""
        return self.writer.retry_ms if self.writer.away else 0

    # A start

    async def load(self, messages: Sequence[str]) -> None:
        """Reads what the store tells of these, and of all that this instance has not ended.

        Raises StoreError.
        """
        known = await self.writer.call(lambda store: store.read(messages))
        mine = await self.writer.call(self._mine)
        self.entries = {entry.message: entry for entry in mine} | known

    def _mine(self, store: Store) -> list[Entry]:
        return [e for e in store.select(Query(unfinished=True)) if e.about.instance == self.instance]

    def unfinished_without_journal(self, held: Mapping[str, Message]) -> list[str]:
        """Those that the store holds unfinished, and the journal does not know."""
        return [name for name, entry in self.entries.items() if name not in held and entry.told_at is None]

    def recover(self, held: Message | None, message: str, unsafe: bool) -> str:
        """What is to be done with a message at a start (`Mend`, by name). Its record goes on then."""
        entry = self.entries.pop(message, None)
        class_name = (
            held.class_name if held is not None else entry.about.class_name if entry is not None else ""
        )
        mode = self.modes.get(class_name, Mode.REQUIRED)
        stands = state_machine.Held.NOTHING if held is None else stand(held)
        mend = state_machine.reconcile(stands, entry, unsafe, mode)
        if mend in (state_machine.Mend.AGREE, state_machine.Mend.FORGET):
            return mend.name
        track = self.tracks[message] = Track(mode)
        if entry is not None:
            track.run, track.number, track.state = entry.run, entry.number, entry.state
        elif held is not None:
            self._take(held, track, 1, lambda verdict: None, optional=False)
            if held.attempts:  # as far as the journal tells
                self._post(message, track, Kind.INTEND, host=held.attempt_host or held.first_attempt_host)
                if stands is not state_machine.Held.DELIVERED:
                    self.attempt_ended(
                        message, "NOT_SENT" if stands is state_machine.Held.TRIED else "BROKEN"
                    )
        if track.state is State.OUT and mend in (state_machine.Mend.TAKE_UP, state_machine.Mend.FAIL):
            self.attempt_ended(message, "BROKEN")
        return mend.name

    def recorded_answer(self, message: str) -> str | None:
        """The final answer that the store had at the start."""
        entry = self.entries.get(message)
        return entry.answer.value if entry is not None and entry.answer is not None else None

    def drop(self, message: str) -> None:
        """Nothing more is recorded of it."""
        self.tracks.pop(message, None)

    # A message's life

    def admit(self, held: Message, done: Callable[[Verdict], None]) -> None:
        """Calls back when the store has it, or why not; at once where the class only follows. A store that is
        slow refuses, too: what it has in the end is recorded as refused. An id whose earlier life is not yet
        recorded to its end, of a client that was refused so or went before its answer, is refused as well.
        """
        if held.id in self.tracks:
            done(self._refusal())
            return
        track = self.tracks[held.id] = Track(self.modes.get(held.class_name, Mode.REQUIRED))
        if track.mode is Mode.FOLLOWS:
            if len(self.writer.queue) >= self.writer.most_queued:
                self.drop(held.id)
                done(Verdict(retry_after_ms=self.writer.retry_ms))
                return
            self._take(held, track, 1, lambda verdict: None)
            done(Verdict())
            return
        late = False

        def give_up() -> None:
            nonlocal late
            late = True
            done(self._refusal())

        def settle(verdict: Verdict) -> None:
            clock.cancel()
            if not late:
                done(verdict)
            elif verdict.known is Known.NEW and not verdict.retry_after_ms:
                # Its client was refused meanwhile, and may come again with it.
                self.record_final_status(
                    held.id, Answer.REFUSED.value, None, partial(self.final_status_reported, held.id)
                )

        clock = asyncio.get_running_loop().call_later(self.patience, give_up)
        self._take(held, track, 1, settle)

    def _refusal(self) -> Verdict:
        return Verdict(Known.REFUSED, max(SLOW_MS, self.writer.retry_ms))

    def _take(
        self, held: Message, track: Track, run: int, done: Callable[[Verdict], None], optional: bool = True
    ) -> None:
        track.run, track.number, track.state = run, 1, State.TAKEN
        about = About(
            self.instance,
            held.class_name,
            held.tenant,
            held.destination,
            held.ordering_key,
            held.deadline,
            hashlib.sha256(held.body).hexdigest(),
        )
        change = Change(held.id, run, 1, Kind.TAKE, held.admitted_at, about=about)
        required = track.mode is Mode.REQUIRED
        self.writer.put(change, partial(self._taken, held, track, done), optional and required, required)

    def _taken(
        self, held: Message, track: Track, done: Callable[[Verdict], None], error: Exception | None
    ) -> None:
        if error is None:
            done(Verdict())
            return
        if isinstance(error, Elsewhere):
            verdict = state_machine.known(error.entry, wall_clock(), self.memory)
            if verdict is Known.NEW and track.number == 1:
                self._take(held, track, error.entry.run + 1, done)
                return
            if track.mode is Mode.FOLLOWS:
                log.warning("%s is recorded already: nothing more is recorded of it", held.id)
        if self.tracks.get(held.id) is track:
            self.drop(held.id)
        if isinstance(error, Elsewhere) and verdict is Known.REFUSED:
            done(self._refusal())
        elif isinstance(error, Elsewhere):
            done(Verdict(verdict if verdict is not Known.NEW else Known.IN_PROGRESS))
        else:
            done(Verdict(retry_after_ms=error.retry_ms if isinstance(error, Away) else self.writer.retry_ms))

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        """Calls back once the intent of all that are required is committed (True), or is not (False): then
        none of them may go out.
        """
        waiting, failed = 0, False

        def settle(message: str, track: Track, before: State, error: Exception | None) -> None:
            nonlocal waiting, failed
            waiting -= 1
            if error is not None:
                track.number, track.state = track.number - 1, before
                failed = True
                if not isinstance(error, Away):
                    log.error("%s: its record is behind: %s", message, error)
            if not waiting:
                done(not failed)

        for held in messages:
            track = self.tracks.get(held.id)
            if track is None or track.state not in (State.TAKEN, State.WAITING):
                continue
            before, change = track.state, self._change(held.id, track, Kind.INTEND, host=host)
            if track.mode is Mode.FOLLOWS:
                self.writer.put(change, urgent=False)
            else:
                waiting += 1
                self.writer.put(change, partial(settle, held.id, track, before), optional=True)
        if not waiting:
            done(True)

    def attempt_ended(self, message: str, result: str) -> None:
        """An attempt ended otherwise than by a delivery."""
        track = self.tracks.get(message)
        if track is not None and track.state is State.OUT:
            self._post(message, track, Kind.OUTCOME, result=result)

    def record_final_status(
        self, message: str, answer: str, result: str | None, done: Callable[[], None]
    ) -> None:
        """Calls back when the store has the final answer; at once where the class only follows, or nothing is
        recorded of the message. A delivery is always waited for: the journal keeps it until then, and nobody
        else waits.
        """
        track, final = self.tracks.get(message), Answer(answer)
        if track is None:
            done()
            return
        if final is Answer.DELIVERED and track.state in (State.TAKEN, State.WAITING):
            self._post(message, track, Kind.INTEND)  # it was lost with the queue of a class that follows
        if track.state in (State.ENDED, State.TOLD, None):
            done()
            return
        if final is Answer.DELIVERED:
            # Nobody is owed a delivery's end, so that it is told with it: in one commit, mostly.
            self._post(message, track, Kind.END, answer=final, result=result)
            self._write(message, track, Kind.TOLD, done, urgent=track.mode is Mode.REQUIRED)
        elif track.mode is Mode.FOLLOWS:
            self._post(message, track, Kind.END, answer=final, result=result)
            done()
        else:
            self._write(message, track, Kind.END, done, answer=final, result=result)

    def final_status_reported(self, message: str) -> None:
        """Whoever was owed the end has heard it."""
        track = self.tracks.pop(message, None)
        if track is not None and track.state is State.ENDED:
            self._post(message, track, Kind.TOLD)

    def _change(
        self,
        message: str,
        track: Track,
        kind: Kind,
        host: str | None = None,
        result: str | None = None,
        answer: Answer | None = None,
    ) -> Change:
        track.number += 1
        track.state = state_machine.LEADS_TO[kind]
        return Change(message, track.run, track.number, kind, wall_clock(), None, host, result, answer)

    def _post(
        self,
        message: str,
        track: Track,
        kind: Kind,
        host: str | None = None,
        result: str | None = None,
        answer: Answer | None = None,
    ) -> None:
        """Nobody waits for it."""
        urgent = track.mode is Mode.REQUIRED and kind is not Kind.TOLD
        self.writer.put(self._change(message, track, kind, host, result, answer), urgent=urgent)

    def _write(
        self,
        message: str,
        track: Track,
        kind: Kind,
        done: Callable[[], None],
        result: str | None = None,
        answer: Answer | None = None,
        urgent: bool = True,
    ) -> None:
        """Calls back when it is committed, or never will be: then the log says so."""

        def written(error: Exception | None) -> None:
            if error is not None:
                log.error("%s: its record is behind: %s", message, error)
            done()

        self.writer.put(self._change(message, track, kind, None, result, answer), written, urgent=urgent)

    # Retention, and the end

    async def _prune(self) -> None:
        assert self.keep is not None
        while True:
            try:
                before = wall_clock() - self.keep
                while await self.writer.call(lambda store: store.prune(before, PRUNE_ROWS)) == PRUNE_ROWS:  # noqa: B023
                    await asyncio.sleep(0.1)
            except StoreError as error:
                log.warning("old records were not deleted: %s", error)
            await asyncio.sleep(PRUNE_EVERY)

    async def close(self) -> None:
        if self.pruning is not None:
            self.pruning.cancel()
        await self.writer.close()
