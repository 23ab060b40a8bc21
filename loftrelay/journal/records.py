"""Journal records: their types, stored names and encoding.

An encoded record consists of a header (length and CRC-32 of the payload, 4 bytes each, big-endian) and a
payload: one line of JSON and, for an admitted message, its body. Does no input or output.
"""

from __future__ import annotations

import io
import json
import struct
import zlib
from collections.abc import Callable, Iterator
from dataclasses import MISSING, dataclass, fields
from operator import attrgetter
from typing import Any, BinaryIO, ClassVar

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay.message import CompletedMessage, Message

HEADER = struct.Struct(">II")  # length of the payload in bytes, CRC-32 of the payload

# Field of a message -> its name in a stored record. A field with its default value is not stored.
MESSAGE_FIELD_NAMES = {
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
    "first_uncertain_attempt_at": "ran_at",
    "first_uncertain_attempt_host": "ran_on",
    "final_status": "notice",
    "packed_terms": "terms",
    "idempotency_key": "idempotency_key",
}
_FIELDS_BY_STORED_NAME = {stored: name for name, stored in MESSAGE_FIELD_NAMES.items()}
_SEPARATELY_STORED_FIELDS = ("body", "awaits_store")
_STORED_FIELDS = tuple(
    (field.name, MESSAGE_FIELD_NAMES[field.name], field.default)
    for field in fields(Message)
    if field.name not in _SEPARATELY_STORED_FIELDS
)
_field_values = attrgetter(*(field.name for field in fields(Message)))

_encode_json = json.JSONEncoder(separators=(",", ":")).encode
_decode_json = json.JSONDecoder().decode


@dataclass(slots=True)
class MessageAdmitted:
    """All fields of a message: written on its admission, and again when its segment is compacted."""

    KIND: ClassVar = "take"
    message: Message

    @classmethod
    def copy_of(cls, message: Message) -> MessageAdmitted:
        """Returns a record with a copy of the message, which later changes of the message don't affect."""
        copy = Message(*_field_values(message))
        if copy.packed_terms is not None:
            copy.packed_terms = tuple(copy.packed_terms)
        return cls(copy)

    @property
    def message_id(self) -> str:
        """Id of the admitted message."""
        return self.message.id

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        message = self.message
        stored: dict[str, Any] = {"t": self.KIND}
        for name, stored_name, default in _STORED_FIELDS:
            value = getattr(message, name)
            if default is MISSING or value != default:
                stored[stored_name] = value
        return stored

    @classmethod
    def from_stored(cls, stored: dict[str, Any], body: bytes) -> MessageAdmitted:
        """Returns the record with the given stored fields and message body."""
        message = Message(
            **{_FIELDS_BY_STORED_NAME[name]: value for name, value in stored.items()}, body=body
        )
        if message.packed_terms is not None:
            message.packed_terms = tuple(message.packed_terms)
        return cls(message)


@dataclass(slots=True)
class StoreAwaited:
    """Note that the client of a message gets no response before the store of record has the message.

    It follows the message's admission, in the same write. It is a record of its own, and no field of the
    admission, because earlier versions skip unknown records and fail on unknown fields.
    """

    KIND: ClassVar = "await"
    message_id: str

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {"t": self.KIND, "id": self.message_id}

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> StoreAwaited:
        """Returns the record with the given stored fields."""
        return cls(stored["id"])


@dataclass(slots=True)
class StoreConfirmed:
    """Note that the store of record has a message; written before its client gets 202."""

    KIND: ClassVar = "sure"
    message_id: str

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {"t": self.KIND, "id": self.message_id}

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> StoreConfirmed:
        """Returns the record with the given stored fields."""
        return cls(stored["id"])


@dataclass(slots=True)
class AttemptStarted:
    """Start of an attempt; written before its first byte is sent."""

    KIND: ClassVar = "try"
    message_id: str
    attempts: int  # number of attempts so far, including this one
    started_at: int  # wall-clock microseconds
    host: str

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {
            "t": self.KIND,
            "id": self.message_id,
            "n": self.attempts,
            "at": self.started_at,
            "on": self.host,
        }

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> AttemptStarted:
        """Returns the record with the given stored fields."""
        return cls(stored["id"], stored["n"], stored["at"], stored["on"])


@dataclass(slots=True)
class AttemptEnded:
    """Result of an attempt that was not a delivery."""

    KIND: ClassVar = "out"
    message_id: str
    attempts: int  # number of attempts so far
    ended_at: int  # wall-clock microseconds
    status: AttemptStatus

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {
            "t": self.KIND,
            "id": self.message_id,
            "n": self.attempts,
            "at": self.ended_at,
            "is": self.status.value,
        }

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> AttemptEnded:
        """Returns the record with the given stored fields."""
        return cls(stored["id"], stored["n"], stored["at"], AttemptStatus(stored["is"]))


@dataclass(slots=True)
class OutcomeDisputed:
    """Note that a message may have run, although the recorded result of its attempt had ruled that out."""

    KIND: ClassVar = "doubt"
    message_id: str
    started_at: int  # start of the attempt, in wall-clock microseconds
    host: str

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {"t": self.KIND, "id": self.message_id, "at": self.started_at, "on": self.host}

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> OutcomeDisputed:
        """Returns the record with the given stored fields."""
        return cls(stored["id"], stored["at"], stored["on"])


@dataclass(slots=True)
class FinalStatusDecided:
    """Final status of a message, which is complete once the platform has received it."""

    KIND: ClassVar = "end"
    message_id: str
    final_status: dict[str, Any]  # in the form in which it is reported

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {"t": self.KIND, "id": self.message_id, "notice": self.final_status}

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> FinalStatusDecided:
        """Returns the record with the given stored fields."""
        return cls(stored["id"], stored["notice"])


@dataclass(slots=True)
class MessageCompleted:
    """Completion of a message."""

    KIND: ClassVar = "over"
    message_id: str
    completed: CompletedMessage | None  # what is remembered under its id until that expires; None: nothing

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        if self.completed is None:
            return {"t": self.KIND, "id": self.message_id}
        return {
            "t": self.KIND,
            "id": self.message_id,
            "as": self.completed.status,
            "until": self.completed.expires_at,
        }

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> MessageCompleted:
        """Returns the record with the given stored fields."""
        completed = CompletedMessage(stored["as"], stored["until"]) if "until" in stored else None
        return cls(stored["id"], completed)


@dataclass(slots=True)
class CompletionCopied:
    """Result of a completed message, written again when its segment is compacted."""

    KIND: ClassVar = "was"
    message_id: str
    completed: CompletedMessage

    def to_stored(self) -> dict[str, Any]:
        """Returns the kind and the fields of the record under their stored names."""
        return {
            "t": self.KIND,
            "id": self.message_id,
            "as": self.completed.status,
            "until": self.completed.expires_at,
        }

    @classmethod
    def from_stored(cls, stored: dict[str, Any], _: bytes) -> CompletionCopied:
        """Returns the record with the given stored fields."""
        return cls(stored["id"], CompletedMessage(stored["as"], stored["until"]))


Record = (
    MessageAdmitted
    | StoreAwaited
    | StoreConfirmed
    | AttemptStarted
    | AttemptEnded
    | OutcomeDisputed
    | FinalStatusDecided
    | MessageCompleted
    | CompletionCopied
)

_DECODERS: dict[str, Callable[[dict[str, Any], bytes], Record]] = {
    MessageAdmitted.KIND: MessageAdmitted.from_stored,
    StoreAwaited.KIND: StoreAwaited.from_stored,
    StoreConfirmed.KIND: StoreConfirmed.from_stored,
    AttemptStarted.KIND: AttemptStarted.from_stored,
    AttemptEnded.KIND: AttemptEnded.from_stored,
    OutcomeDisputed.KIND: OutcomeDisputed.from_stored,
    FinalStatusDecided.KIND: FinalStatusDecided.from_stored,
    MessageCompleted.KIND: MessageCompleted.from_stored,
    CompletionCopied.KIND: CompletionCopied.from_stored,
}


def encode_record(record: Record) -> bytes:
    """Returns the record with its header, and any record that belongs to it, ready to append to a segment."""
    if not isinstance(record, MessageAdmitted):
        return _encode(record, b"")
    encoded = _encode(record, record.message.body)
    if record.message.awaits_store:
        encoded += _encode(StoreAwaited(record.message_id), b"")
    return encoded


def _encode(record: Record, body: bytes) -> bytes:
    payload = _encode_json(record.to_stored()).encode() + b"\n" + body
    return HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def decode_records(data: bytes) -> Iterator[tuple[Record | None, int]]:
    """Decodes complete records, as `read_records`, from a part of a segment that begins with a record."""
    return read_records(io.BytesIO(data), len(data))


def read_records(stream: BinaryIO, size: int) -> Iterator[tuple[Record | None, int]]:
    """Reads complete records, one at a time, up to the first that is truncated or damaged.

    Args:
        stream: a segment, at the start of a record.
        size: number of bytes in the rest of the stream.

    Yields:
        Each record, or None for a record of an unknown kind, and the offset at which it ends.
    """
    offset = 0
    while offset + HEADER.size <= size:
        length, checksum = HEADER.unpack(stream.read(HEADER.size))
        offset += HEADER.size + length
        if offset > size:
            return
        payload = stream.read(length)
        if zlib.crc32(payload) != checksum:
            return
        line, _, body = payload.partition(b"\n")
        stored = _decode_json(line.decode())
        decode = _DECODERS.get(stored.pop("t"))
        yield (decode(stored, body) if decode is not None else None), offset
