"""Messages that two processes of one relay exchange in a handover, and their encoding on the channel.

A message is a JSON object whose field "is" names its kind; WIRE_KINDS maps these names to the classes.
Does no input or output.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import Any

from loftrelay.journal.records import MessageAdmitted
from loftrelay.relay.handover_state import HandoverError, read_attempt_result, write_attempt_result
from loftrelay.relay.ports import AttemptResult, DisputedDelivery


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The successor requests the handover."""

    pid: int

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"pid": self.pid}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> HandoverRequested:
        """Parses the fields of the message on the channel."""
        return cls(wire.get("pid", 0))


@dataclass(frozen=True, slots=True)
class HandoverRefused:
    """The predecessor refuses the handover."""

    reason: str

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"why": self.reason}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> HandoverRefused:
        """Parses the fields of the message on the channel."""
        return cls(str(wire.get("why")))


@dataclass(frozen=True, slots=True)
class StateExported:
    """The predecessor has paused and sends its state, as returned by `relay.handover_state.write_state`."""

    state: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return self.state

    @classmethod
    def read(cls, wire: dict[str, Any]) -> StateExported:
        """Parses the fields of the message on the channel."""
        return cls(wire)


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """The successor has loaded the state.

    Attributes:
        is_journal_only: It could not use the exported state, and continues from the journal alone.
    """

    is_journal_only: bool

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"plain": self.is_journal_only}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> StateLoaded:
        """Parses the fields of the message on the channel."""
        return cls(bool(wire.get("plain")))


@dataclass(frozen=True, slots=True)
class OwnershipReleased:
    """The successor owns the state from now on. The message carries the descriptor of the lock."""

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {}

    @classmethod
    def read(cls, _: dict[str, Any]) -> OwnershipReleased:
        """Parses the fields of the message on the channel."""
        return cls()


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt of the predecessor has ended."""

    message_id: str
    host: str
    result: AttemptResult

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"id": self.message_id, "host": self.host, "how": write_attempt_result(self.result)}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> AttemptOutcome:
        """Parses the fields of the message on the channel."""
        return cls(wire["id"], wire["host"], read_attempt_result(wire["how"]))


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """The predecessor has received a Retry-After from a host."""

    host: str
    delay_us: int

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"host": self.host, "wait": self.delay_us}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> RetryAfterReceived:
        """Parses the fields of the message on the channel."""
        return cls(wire["host"], int(wire["wait"]))


@dataclass(frozen=True, slots=True)
class OutcomeDisputed:
    """A message may have run, although the reported outcome of its attempt had ruled that out."""

    message_id: str
    host: str
    started_at_us: int  # start of the attempt, wall clock

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"id": self.message_id, "host": self.host, "at": self.started_at_us}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OutcomeDisputed:
        """Parses the fields of the message on the channel."""
        return cls(wire["id"], wire["host"], int(wire["at"]))


@dataclass(frozen=True, slots=True)
class OverrideRequested:
    """An operator has requested at the predecessor's admin endpoint to disable or enable a host."""

    number: int  # identifies the request in its answer
    host: str
    is_disabled: bool

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"n": self.number, "host": self.host, "out": self.is_disabled}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OverrideRequested:
        """Parses the fields of the message on the channel."""
        return cls(wire["n"], wire["host"], bool(wire["out"]))


@dataclass(frozen=True, slots=True)
class OverrideAnswered:
    """The successor's answer to the OverrideRequested with the same number."""

    number: int
    error: str | None  # why it failed; None if it was applied

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {"n": self.number, "why": self.error}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OverrideAnswered:
        """Parses the fields of the message on the channel."""
        return cls(int(wire["n"]), wire.get("why"))


@dataclass(frozen=True, slots=True)
class ClientTransferred:
    """A client's connection; the message carries its descriptor.

    Attributes:
        connection: State of the connection, as written by `ConnectionState.row`.
    """

    connection: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return self.connection

    @classmethod
    def read(cls, wire: dict[str, Any]) -> ClientTransferred:
        """Parses the fields of the message on the channel."""
        return cls(wire)


@dataclass(frozen=True, slots=True)
class ConfigurationReplaced:
    """The predecessor has received a SIGHUP: the platform's configuration is to be reloaded."""

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        return {}

    @classmethod
    def read(cls, _: dict[str, Any]) -> ConfigurationReplaced:
        """Parses the fields of the message on the channel."""
        return cls()


@dataclass(frozen=True, slots=True)
class DeliveryDisputed:
    """A message that the predecessor delivered may not have run."""

    delivery: DisputedDelivery

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the message on the channel."""
        delivery = self.delivery
        return {
            "message": MessageAdmitted.copy_of(delivery.message).to_stored(),
            "body": base64.b64encode(delivery.message.body).decode() if delivery.has_body else None,
            "host": delivery.host,
            "at": delivery.sent_at,
        }

    @classmethod
    def read(cls, wire: dict[str, Any]) -> DeliveryDisputed:
        """Parses the fields of the message on the channel."""
        stored = {name: value for name, value in wire["message"].items() if name != "t"}
        has_body = wire["body"] is not None
        body = base64.b64decode(wire["body"]) if has_body else b""
        message = MessageAdmitted.from_stored(stored, body).message
        return cls(DisputedDelivery(message, wire["host"], int(wire["at"]), has_body))


HandoverMessage = (
    HandoverRequested
    | HandoverRefused
    | StateExported
    | StateLoaded
    | OwnershipReleased
    | AttemptOutcome
    | RetryAfterReceived
    | OutcomeDisputed
    | DeliveryDisputed
    | OverrideRequested
    | OverrideAnswered
    | ClientTransferred
    | ConfigurationReplaced
)

WIRE_KINDS: dict[str, type[HandoverMessage]] = {
    "ask": HandoverRequested,
    "no": HandoverRefused,
    "state": StateExported,
    "loaded": StateLoaded,
    "yours": OwnershipReleased,
    "ended": AttemptOutcome,
    "told": RetryAfterReceived,
    "doubted": OutcomeDisputed,
    "undelivered": DeliveryDisputed,
    "change": OverrideRequested,
    "changed": OverrideAnswered,
    "client": ClientTransferred,
    "file": ConfigurationReplaced,
}  # kind on the channel -> class of the message
_WIRE_KIND_BY_CLASS: dict[type[HandoverMessage], str] = {kind: name for name, kind in WIRE_KINDS.items()}


def write_message(message: HandoverMessage) -> dict[str, Any]:
    """Returns a message as an object for the channel."""
    return {"is": _WIRE_KIND_BY_CLASS[type(message)], **message.fields()}


def read_message(wire: dict[str, Any]) -> HandoverMessage | None:
    """Parses an object from the channel.

    Returns:
        The message; None if its kind is unknown, since later versions may have further kinds.

    Raises:
        HandoverError: A field is missing or malformed.
    """
    kind_name = wire.get("is")
    kind = WIRE_KINDS.get(kind_name) if isinstance(kind_name, str) else None
    if kind is None:
        return None
    try:
        return kind.read({name: value for name, value in wire.items() if name != "is"})
    except (KeyError, TypeError, ValueError) as error:
        raise HandoverError(f"handover message of kind {wire['is']!r} is invalid: {error!r}") from error
