"""What outlasts the process: append-only records in segments, in the folder RELAY_STATE.

A record is its length and CRC-32 (8 bytes), a line of JSON and, when it tells a message, the body. A message
is told whole when it is taken on and again when its segment is dropped, so the oldest segment can always go.
The ids of messages that are over and must not run again at any time stand there, too, until their time is
up, with how they ended.
Nothing is synced: what is written outlasts the process, which is all that is asked.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import logging
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import MISSING, dataclass, fields
from pathlib import Path
from typing import Any

from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.idempotency import UNCERTAIN_STATUSES
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import CompletedMessage, Message
from loftrelay.relay.ports import JournalFullError

log = logging.getLogger(__name__)

encode = json.JSONEncoder(separators=(",", ":")).encode
HEAD = struct.Struct(">II")
BLOCK = 512  # a file counts in whole blocks
STATE_ROOM = 512  # what the state of one message may add to its record
# Bytes that one record's writing copies out of the oldest segment where room is wanted: at the least, and for
# each byte written. About a millisecond; where room runs short the segment goes at once.
SLICE, SLICE_RATIO = 32 << 10, 8
MOST_DOUBTS = 1_000  # a key rests for parts of a second: far fewer can matter at once


# Name of each field of a message in its stored record; a field that has its default is left out there.
RECORD_NAMES = {
    "id": "id",
    "sequence": "number",
    "class_name": "class_name",
    "tenant": "tenant",
    "destination": "destination",
    "ordering_key": "key",
    "admitted_at": "taken_at",
    "deadline": "deadline",
    "attempts": "attempts",
    "attempt_started_at": "tried_at",
    "attempt_host": "tried_on",
    "first_attempt_at": "ran_at",
    "first_attempt_host": "ran_on",
    "final_status": "notice",
    "packed_terms": "terms",
    "idempotency_key": "idempotency_key",
}
FIELD_NAMES = {stored: name for name, stored in RECORD_NAMES.items()}
DEFAULTS = {field.name: field.default for field in fields(Message) if field.name != "body"}


@dataclass(slots=True, frozen=True)
class Past:
    """A message that is over and remembered, the segment that tells it, and its size there."""

    was: CompletedMessage
    home: int
    size: int


@dataclass(slots=True)
class Segment:
    path: Path
    size: int = 0


class Journal:
    """The messages that are not over, in memory and on disk alike."""

    def __init__(self, folder: Path, disk_bytes: int, still: bool = False) -> None:
        """`still`: another process owns it. It is read, and not touched before `go_on`."""
        self.folder = folder
        self.disk_bytes = disk_bytes
        self.messages: dict[str, Message] = {}
        self.uncertain_keys: dict[
            str, int
        ] = {}  # key -> when an attempt was last given up that may still run
        self.segments: dict[int, Segment] = {}
        self.homes: dict[str, tuple[int, int]] = {}  # message -> the segment that tells it, and its size
        self.told_in: dict[int, dict[str, None]] = {}  # segment -> the messages that it tells
        self.past: dict[str, Past] = {}  # ids of messages that are over, until their time is up
        self.past_homes: dict[int, set[str]] = {}  # segment -> those that it tells
        self.past_due: list[tuple[int, str]] = []  # a heap
        self.bytes = 0  # in all segments
        self.live = 0  # bytes of the records that tell the held messages
        self.file = -1
        self.number = 0
        self._load(still)
        if not still:
            old = len(self.segments)
            self._next_segment()
            self._drop(old)

    def catch_up(self) -> None:
        """Reads what its owner has written since. The owner stands still by now."""
        there = {int(path.stem) for path in self._paths()}
        if set(self.segments) <= there:
            self._load(still=True)
        else:  # some were dropped: the end of what they told may have been told, and dropped, in between
            Journal.__init__(self, self.folder, self.disk_bytes, still=True)

    def take_ownership(self) -> None:
        """It is this process's own from now on."""
        self._next_segment()

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1

    # What happens to a message

    def admit(self, held: Message) -> None:
        """Takes a message on, or raises JournalFull."""
        self.number += 1
        held.sequence = self.number
        self._forget_past()
        # Half of the room is for messages; the other half for what happens to them, and for copies.
        if self.live + len(held.body) + 2 * STATE_ROOM > self.disk_bytes // 2:
            raise JournalFullError
        before = self.bytes
        self._tell(held)
        self._tidy(self.bytes - before)

    def record_attempt(self, held: Message, host: str) -> None:
        """Before the first byte of an attempt. Raises JournalFull: then it must not be made."""
        self._write({"t": "try", "id": held.id, "n": held.attempts, "at": wall_clock(), "on": host})

    def record_attempt_result(self, held: Message, result: AttemptStatus) -> None:
        """An attempt ended otherwise than by a delivery."""
        self._note({"t": "out", "id": held.id, "n": held.attempts, "at": wall_clock(), "is": result.value})

    def record_dispute(self, held: Message, host: str, ran_at: int) -> None:
        """It may have run, though its attempt's outcome had said that it did not."""
        self._note({"t": "doubt", "id": held.id, "at": ran_at, "on": host})

    def record_final_status(self, message: str, notice: dict[str, Any]) -> None:
        """The end is decided; the message is over once the platform has heard of it."""
        self._note({"t": "end", "id": message, "notice": notice})

    def complete(self, message: str, status: int = 0) -> None:
        """Nothing more is owed. With a status, its id gets that answer until its time is up."""
        if (held := self.messages.get(message)) is None:
            return
        record: dict[str, Any] = {"t": "over", "id": message}
        if status:
            record |= {"as": status, "until": held.deadline}
        self._note(record)

    def completed(self, message: str) -> CompletedMessage | None:
        """How a message ended that is over and whose time is not up."""
        self._forget_past()
        past = self.past.get(message)
        return past.was if past is not None else None

    def _note(self, record: dict[str, Any]) -> None:
        """Records that can't be refused: on a full disk the memory alone holds them."""
        before = self.bytes
        try:
            self._write(record)
        except JournalFullError:
            log.warning("no room for a record of kind %s", record["t"])
            self._apply(record, b"", 0)
        self._tidy(self.bytes - before)

    def _apply(self, record: dict[str, Any], body: bytes, size: int) -> None:
        """The one place where a record takes effect, both when it is written and when it is read again."""
        kind = record.pop("t")
        if "until" in record:
            self._remember(record["id"], CompletedMessage(record["as"], record["until"]), size)
        if kind == "take":
            held = Message(**{FIELD_NAMES[name]: value for name, value in record.items()}, body=body)
            held.packed_terms = tuple(held.packed_terms) if held.packed_terms is not None else None
            self._forget_home(held.id)
            self.messages[held.id] = held
            home = max(self.segments)
            self.homes[held.id] = home, size + STATE_ROOM
            self.told_in.setdefault(home, {})[held.id] = None
            self.live += size + STATE_ROOM
            self.number = max(self.number, held.sequence)
            return
        if (known := self.messages.get(record["id"])) is None:
            return  # told of a message whose end was in the same dropped segment
        if kind == "try":
            known.attempts, known.attempt_started_at, known.attempt_host = (
                record["n"],
                record["at"],
                record["on"],
            )
        elif kind == "out":
            result = AttemptStatus(record["is"])
            known.attempts = record["n"]
            if result in UNCERTAIN_STATUSES and known.first_attempt_at is None:
                known.first_attempt_at, known.first_attempt_host = (
                    known.attempt_started_at,
                    known.attempt_host,
                )
            if (
                result in UNCERTAIN_STATUSES
                and result is not AttemptStatus.ERROR
                and known.ordering_key is not None
            ):
                self.uncertain_keys.pop(
                    known.ordering_key, None
                )  # in the order of time, so that the oldest go first
                self.uncertain_keys[known.ordering_key] = record["at"]
                if len(self.uncertain_keys) > MOST_DOUBTS:
                    del self.uncertain_keys[next(iter(self.uncertain_keys))]
            known.attempt_started_at = known.attempt_host = None
        elif kind == "doubt":
            if known.first_attempt_at is None:
                known.first_attempt_at, known.first_attempt_host = record["at"], record["on"]
        elif kind == "end":
            known.final_status, known.body = record["notice"], b""
        elif kind == "over":
            del self.messages[known.id]
            self._forget_home(known.id)

    def _remember(self, message: str, was: CompletedMessage, size: int) -> None:
        self._drop_past(message)  # also where its time is up: the segment that told it may go next
        if was.expires_at <= wall_clock():
            return
        home = max(self.segments)
        self.past[message] = Past(was, home, size)
        self.past_homes.setdefault(home, set()).add(message)
        self.live += size
        heapq.heappush(self.past_due, (was.expires_at, message))

    def _forget_past(self) -> None:
        """Those whose time is up."""
        now = wall_clock()
        while self.past_due and self.past_due[0][0] <= now:
            _, message = heapq.heappop(self.past_due)
            if (past := self.past.get(message)) is not None and past.was.expires_at <= now:
                self._drop_past(message)

    def _drop_past(self, message: str) -> None:
        if (past := self.past.pop(message, None)) is not None:
            self.live -= past.size
            self.past_homes[past.home].discard(message)

    def _forget_home(self, message: str) -> None:
        home, size = self.homes.pop(message, (0, 0))
        self.live -= size
        if told := self.told_in.get(home):
            told.pop(message, None)

    # On disk

    def _tell(self, held: Message) -> None:
        told = ((name, getattr(held, name), default) for name, default in DEFAULTS.items())
        record = {
            RECORD_NAMES[name]: value
            for name, value, default in told
            if default is MISSING or value != default
        }
        self._write({"t": "take", **record}, held.body)

    def _write(self, record: dict[str, Any], body: bytes = b"") -> None:
        payload = encode(record).encode() + b"\n" + body
        data = HEAD.pack(len(payload), zlib.crc32(payload)) + payload
        segment = self.segments[max(self.segments)]
        if self.size() + len(data) + BLOCK > self.disk_bytes:
            raise JournalFullError
        try:
            written = os.write(self.file, data)
        except OSError as error:
            log.warning("the journal can't be written: %s", error)
            written = 0
        if written < len(data):
            with contextlib.suppress(OSError):
                os.ftruncate(self.file, segment.size)
            raise JournalFullError
        segment.size += len(data)
        self.bytes += len(data)
        self._apply(record, body, len(data))
        if segment.size > self.disk_bytes // 16:
            with contextlib.suppress(OSError):  # no room for another file: the segment goes on
                self._next_segment()

    def size(self) -> int:
        """At most so much: the last block of each file counts as full."""
        return self.bytes + BLOCK * len(self.segments)

    def _next_segment(self) -> None:
        number = max(self.segments, default=0) + 1
        path = self.folder / f"{number:010d}.log"
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        if self.file >= 0:
            os.close(self.file)
        self.file = file
        self.segments[number] = Segment(path)

    def _tidy(self, written: int) -> None:
        """Held messages fill half of the room at most, so one pass over all segments is always enough. It is
        made in slices, so that nobody waits for a whole segment, while there is room for that.
        """
        if self.size() > self.disk_bytes * 3 // 4:
            self._drop(len(self.segments) - 1)
        elif self.size() > self.disk_bytes * 5 // 8 and len(self.segments) > 1:
            self._drop(1, max(SLICE, SLICE_RATIO * written))

    def _drop(self, count: int, most: int | None = None) -> None:
        """Drops the oldest segments; what they tell of held messages is told again first. Stops in the midst
        of one after `most` bytes: its messages are told twice then, and the later telling holds.
        """
        end = None if most is None else self.bytes + most
        for oldest in sorted(self.segments)[:count]:
            told, past = self.told_in.get(oldest, {}), self.past_homes.get(oldest, set())
            try:
                while told:
                    if end is not None and self.bytes >= end:
                        return
                    self._tell(self.messages[next(iter(told))])
                self._forget_past()
                while past:
                    if end is not None and self.bytes >= end:
                        return
                    message = next(iter(past))
                    was = self.past[message].was
                    self._write({"t": "was", "id": message, "as": was.status, "until": was.expires_at})
                self.segments[oldest].path.unlink()
            except (OSError, JournalFullError) as error:
                log.warning("a segment of the journal can't be dropped: %r", error)
                return
            self.told_in.pop(oldest, None)
            self.past_homes.pop(oldest, None)
            self.bytes -= self.segments.pop(oldest).size

    def _paths(self) -> list[Path]:
        return sorted(self.folder.glob("[0-9]" * 10 + ".log"))

    def _load(self, still: bool) -> None:
        """From where each segment was read to, in their order."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self._paths():
            segment = self.segments.setdefault(int(path.stem), Segment(path))
            with path.open("rb") as file:
                file.seek(segment.size)
                data = file.read()
            start = segment.size
            for record, body, end in _records(data):
                self._apply(record, body, start + end - segment.size)
                segment.size = start + end
            self.bytes += segment.size - start
            if segment.size < start + len(data) and not still:
                log.warning("%s: cut at byte %d of %d", path.name, segment.size, start + len(data))
                os.truncate(path, segment.size)


def _records(data: bytes) -> Iterator[tuple[dict[str, Any], bytes, int]]:
    """Whole records, each with its body and where it ends, up to the first that is torn."""
    at = 0
    while at + HEAD.size <= len(data):
        length, checksum = HEAD.unpack_from(data, at)
        at += HEAD.size
        payload = data[at : at + length]
        if len(payload) < length or zlib.crc32(payload) != checksum:
            return
        at += length
        line, _, body = payload.partition(b"\n")
        yield json.loads(line), body, at
