"""What two processes of one relay tell each other in a handover, and its form on the channel.

A message is a JSON object whose field "is" names its kind; WIRE_KINDS maps these names. Performs no input or
output.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loftrelay.relay.handover_state import HandoverError, read_attempt_result, write_attempt_result
from loftrelay.relay.ports import AttemptResult


@dataclass(frozen=True, slots=True)
class HandoverRequested:
    """The successor wants to take over."""

    pid: int

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"pid": self.pid}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> HandoverRequested:
        """Reads the message from its fields."""
        return cls(wire.get("pid", 0))


@dataclass(frozen=True, slots=True)
class HandoverRefused:
    """The predecessor does not hand over."""

    reason: str

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"why": self.reason}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> HandoverRefused:
        """Reads the message from its fields."""
        return cls(str(wire.get("why")))


@dataclass(frozen=True, slots=True)
class StateExported:
    """The predecessor has paused. `state`: as `relay.handover.write_state` gives it."""

    state: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return self.state

    @classmethod
    def read(cls, wire: dict[str, Any]) -> StateExported:
        """Reads the message from its fields."""
        return cls(wire)


@dataclass(frozen=True, slots=True)
class StateLoaded:
    """The successor can continue. `is_journal_only`: it could not use the exported state."""

    is_journal_only: bool

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"plain": self.is_journal_only}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> StateLoaded:
        """Reads the message from its fields."""
        return cls(bool(wire.get("plain")))


@dataclass(frozen=True, slots=True)
class OwnershipReleased:
    """The successor owns the state. The descriptor of the lock comes with it."""

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {}

    @classmethod
    def read(cls, _: dict[str, Any]) -> OwnershipReleased:
        """Reads the message from its fields."""
        return cls()


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt of the predecessor ended."""

    message_id: str
    host: str
    result: AttemptResult

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"id": self.message_id, "host": self.host, "how": write_attempt_result(self.result)}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> AttemptOutcome:
        """Reads the message from its fields."""
        return cls(wire["id"], wire["host"], read_attempt_result(wire["how"]))


@dataclass(frozen=True, slots=True)
class RetryAfterReceived:
    """A host has asked the predecessor to wait."""

    host: str
    wait: int  # microseconds

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"host": self.host, "wait": self.wait}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> RetryAfterReceived:
        """Reads the message from its fields."""
        return cls(wire["host"], int(wire["wait"]))


@dataclass(frozen=True, slots=True)
class OutcomeDisputed:
    """A message may have run, though the outcome of its attempt had ruled that out."""

    message_id: str
    host: str
    started_at: int  # of the attempt; wall-clock microseconds

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"id": self.message_id, "host": self.host, "at": self.started_at}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OutcomeDisputed:
        """Reads the message from its fields."""
        return cls(wire["id"], wire["host"], int(wire["at"]))


@dataclass(frozen=True, slots=True)
class OverrideRequested:
    """An operator has disabled or enabled a host at the predecessor's admin endpoint."""

    number: int  # of the request, by which it is answered
    host: str
    is_disabled: bool

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"n": self.number, "host": self.host, "out": self.is_disabled}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OverrideRequested:
        """Reads the message from its fields."""
        return cls(wire["n"], wire["host"], bool(wire["out"]))


@dataclass(frozen=True, slots=True)
class OverrideAnswered:
    """The successor's answer to an OverrideRequested."""

    number: int
    error: str | None

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {"n": self.number, "why": self.error}

    @classmethod
    def read(cls, wire: dict[str, Any]) -> OverrideAnswered:
        """Reads the message from its fields."""
        return cls(int(wire["n"]), wire.get("why"))


@dataclass(frozen=True, slots=True)
class ClientTransferred:
    """A client's connection, with its descriptor. `connection`: its row, as the server writes it."""

    connection: dict[str, Any]

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return self.connection

    @classmethod
    def read(cls, wire: dict[str, Any]) -> ClientTransferred:
        """Reads the message from its fields."""
        return cls(wire)


@dataclass(frozen=True, slots=True)
class ConfigurationReplaced:
    """The predecessor was told to read the platform's configuration again."""

    def fields(self) -> dict[str, Any]:
        """The fields on the channel, by their names there."""
        return {}

    @classmethod
    def read(cls, _: dict[str, Any]) -> ConfigurationReplaced:
        """Reads the message from its fields."""
        return cls()


HandoverMessage = (
    HandoverRequested
    | HandoverRefused
    | StateExported
    | StateLoaded
    | OwnershipReleased
    | AttemptOutcome
    | RetryAfterReceived
    | OutcomeDisputed
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
    "change": OverrideRequested,
    "changed": OverrideAnswered,
    "client": ClientTransferred,
    "file": ConfigurationReplaced,
}  # name on the channel -> message
_KIND_NAMES: dict[type[HandoverMessage], str] = {kind: name for name, kind in WIRE_KINDS.items()}


def write_message(message: HandoverMessage) -> dict[str, Any]:
    """The message as an object for the channel."""
    return {"is": _KIND_NAMES[type(message)], **message.fields()}


def read_message(wire: dict[str, Any]) -> HandoverMessage | None:
    """Reads an object from the channel.

    Returns:
        None for a kind that is not known: a later program may have more.

    Raises:
        HandoverError: A field is missing or malformed.
    """
    name_of_kind = wire.get("is")
    kind = WIRE_KINDS.get(name_of_kind) if isinstance(name_of_kind, str) else None
    if kind is None:
        return None
    try:
        return kind.read({name: value for name, value in wire.items() if name != "is"})
    except (KeyError, TypeError, ValueError) as error:
        raise HandoverError(f"message {wire['is']!r}: {error!r}") from error
