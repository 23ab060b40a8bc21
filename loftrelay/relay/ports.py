"""What the engine asks of the parts round it. They know the engine and this file, never each other."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from loftrelay.decisions.events import AttemptStatus, EndpointEntry
from loftrelay.net.address import Address
from loftrelay.relay.message import CompletedMessage, Message


class JournalFullError(Exception):
    """The record was not written, for want of room."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended."""

    status: AttemptStatus
    is_final: bool = False  # delivered: nothing more is owed
    is_expired: bool = False  # its host holds that its time is up: its end is owed, and never an attempt more
    retry_after: int = 0  # told wait, microseconds
    connection_idle: int | None = None  # how long its connection had stood idle, microseconds; 0: a new one
    is_stale: bool = False  # not begun, or not whole when taken back: what was decided holds no more
    is_blocked: bool = (
        False  # not begun, or not whole when taken back: its host told to wait since it was decided
    )
    is_late: bool = False  # the process stood still while it was out: when it came is not known


@dataclass(frozen=True, slots=True)
class CallOptions:
    """How a call is to be made."""

    timeout: float  # seconds
    is_batch: bool
    is_at_most_once: bool  # it holds a message that must not run twice
    max_connection_idle: int | None  # no connection that has stood idle for so long (microseconds) carries it
    send_within: float = math.inf  # seconds in which its last byte goes out, or none does


class Journal(Protocol):
    """The messages that are not over, and keys whose last attempt may still run, over restarts."""

    messages: dict[str, Message]
    uncertain_keys: dict[str, int]

    def completed(self, message: str) -> CompletedMessage | None: ...
    def admit(self, held: Message) -> None: ...
    def record_attempt_result(self, held: Message, result: AttemptStatus) -> None: ...
    def record_final_status(self, message: str, notice: dict[str, Any]) -> None: ...
    def record_dispute(self, held: Message, host: str, ran_at: int) -> None: ...
    def complete(self, message: str, status: int = 0) -> None: ...
    def close(self) -> None: ...


class StoreDecision(Protocol):
    """What a store of record said of a message that is to be taken on."""

    retry_after_ms: int  # refused: when to come back

    @property
    def status(self) -> int:
        """Of the answer to its client, where its id is known; 0: it is new, and stored."""
        ...


class AttemptGate(Protocol):
    """Says whether a call that the module has decided may begin: a store that must have its intent, what may
    be sent at all, whose message it is. Calls back from the loop, at once or later.
    """

    @property
    def retry_after_ms(self) -> int:
        """After a no: when to ask again, at the least."""
        ...

    def request_attempt(
        self, messages: Sequence[Message], host: str, done: Callable[[bool], None]
    ) -> None: ...
    def attempt_ended(self, message: str, result: str) -> None:
        """Of an attempt that it let begin, or was asked for; a delivery is told by Watcher.ended alone."""
        ...


class RelayObserver(Protocol):
    """Hears what this relay sees for itself; what others see comes back by Engine.hear."""

    def attempt_ended(self, held: Message, host: str, ending: AttemptResult) -> None: ...
    def endpoint_disabled(self, host: str) -> None: ...
    def endpoint_enabled(self, host: str) -> None: ...


class MessageStore(AttemptGate, Protocol):
    """The store of record, where the operator has set one. Calls back from the loop, at once or later."""

    def admit(self, held: Message, done: Callable[[StoreDecision], None]) -> None: ...
    def record_final_status(
        self, message: str, answer: str, result: str | None, done: Callable[[], None]
    ) -> None: ...
    def final_status_reported(self, message: str) -> None: ...
    def recorded_answer(self, message: str) -> str | None: ...
    def recover(self, held: Message | None, message: str, unsafe: bool) -> str: ...
    def unfinished_without_journal(self, held: Mapping[str, Message]) -> Sequence[str]: ...


class Delivery(Protocol):
    """Carries calls out. Each message of a call ends by one Engine.ended."""

    @property
    def is_busy(self) -> bool: ...
    def add_host(self, host: str, address: Address, destination: int) -> None: ...
    def drain_host(self, host: str) -> None: ...
    def remove_host(self, host: str) -> None: ...
    def close_idle_connections(self, host: str) -> None: ...
    def close_all_idle_connections(self) -> None: ...
    def withdraw_blocked_calls(self) -> None:
        """A wait was told: calls to hosts that Engine.bound names now are taken back, each message by one
        Engine.ended, as long as their last byte is not written.
        """

    def send_call(self, host: str, messages: list[Message], terms: CallOptions) -> None: ...
    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        """Takes back the calls of which not a byte was written: the messages, and where they were to go."""
        ...

    def close(self) -> None: ...


class EndpointDirectory(Protocol):
    """The list of hosts. What it says comes by Engine.listed."""

    address: Address
    revision: int | None

    def load_cached(self, known: Mapping[str, Any]) -> None: ...
    def watch(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self, revision: int | None) -> None: ...
    def move_to(self, address: Address) -> None: ...
    def close(self) -> None: ...


class ResolutionStatus(Enum):
    """What became of a destination that was asked for. It is told by Engine.sliced."""

    RESOLVED = auto()  # its hosts are in the list now
    NOT_FOUND = auto()  # nobody lists it
    UNAVAILABLE = auto()  # nobody could say within the time set


class SubscribedDirectory(Protocol):
    """A directory that holds the destinations alone that this relay serves (docs/slices.md)."""

    def resolve(self, destination: int) -> None:
        """A message came for one that is not held: one Engine.sliced follows, in the time set, at the latest.
        Asked again meanwhile, the one answer stands for all.
        """

    def mark_used(self, destination: int) -> None:
        """A message came for one that is held: it is not idle."""

    def adopt(
        self, revision: int | None, destinations: Iterable[int], rows: Iterable[tuple[EndpointEntry, Address]]
    ) -> None:
        """Before `resume`: what another process of this relay held, whole as of that revision."""


class StatusReporter(Protocol):
    """Where the platform is told of ends. What it has heard comes by Engine.noticed."""

    @property
    def pending(self) -> int: ...
    def report(self, message: str, notice: dict[str, Any]) -> None: ...
    def move_to(self, address: Address) -> None: ...
    def close(self) -> None: ...


class OutcomeForwarder(Protocol):
    """Hears what becomes known of calls while another process decides, or is about to."""

    def retry_after_received(self, host: str, wait: int) -> None: ...
    def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None: ...
    def outcome_disputed(self, message: str, host: str, ran_at: int) -> None: ...
