"""The ports of the engine: what it asks of the packages around it. They know the engine, never each other."""

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
    """A record was not written, for want of room."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended. Durations are in microseconds."""

    status: AttemptStatus
    is_final: bool = False  # delivered: nothing more is owed
    is_expired: bool = False  # its host takes the deadline as over: an end is owed, and no attempt more
    retry_after: int = 0
    connection_idle: int | None = None  # how long its connection was idle before; 0: a new one
    is_stale: bool = False  # not begun, or not written completely: the decision holds no more
    is_blocked: bool = False  # not begun, or not written completely: a Retry-After came after the decision
    is_late: bool = False  # the process was stalled meanwhile: when the response came is not known


@dataclass(frozen=True, slots=True)
class CallOptions:
    """How a call is to be made. Times are in seconds, unless named otherwise."""

    timeout: float
    is_batch: bool
    is_at_most_once: bool  # it holds a message that must not run twice
    max_connection_idle: int | None  # microseconds; no connection that was idle for so long may carry it
    send_within: float = math.inf  # its last byte goes out within this time, or none does


class Journal(Protocol):
    """The messages that are not over, and ordering keys whose last attempt may still run, over restarts."""

    messages: dict[str, Message]
    uncertain_keys: dict[str, int]  # key -> when an attempt was given up that may still run, wall clock

    def completed(self, message_id: str) -> CompletedMessage | None:
        """Returns how a message ended, while its id is remembered."""

    def admit(self, message: Message) -> None:
        """Records a new message.

        Raises:
            JournalFullError: there is no room for it.
        """

    def record_attempt_result(self, message: Message, status: AttemptStatus) -> None:
        """Records that an attempt ended other than by a delivery."""

    def record_final_status(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Records how a message ends; it is over once that is reported."""

    def record_dispute(self, message: Message, host: str, sent_at: int) -> None:
        """Records that a rejected attempt may have run after all."""

    def complete(self, message_id: str, status: int = 0) -> None:
        """Records that a message is over; its id is remembered with a status other than 0."""

    def close(self) -> None:
        """Closes the files."""


class StoreDecision(Protocol):
    """What a store says of a message that is to be admitted."""

    retry_after_ms: int  # rejected: when the client may submit it again

    @property
    def status(self) -> int:
        """Of the answer to its client, where its id is known; 0: it is new, and stored."""


class AttemptGate(Protocol):
    """Allows or refuses an attempt that was decided, for instance a store that has to have its intent.

    It calls back from the event loop, at once or later.
    """

    @property
    def retry_after_ms(self) -> int:
        """After a refusal: when to ask again, at the earliest."""

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        """Asks for an attempt; `done` is called with whether it may begin."""

    def attempt_ended(self, message_id: str, result: str) -> None:
        """Tells the outcome of an attempt that was asked for, deliveries aside."""


class RelayObserver(Protocol):
    """Is told what this relay sees for itself."""

    def attempt_ended(self, message: Message, host: str, result: AttemptResult) -> None:
        """An attempt has ended."""

    def endpoint_disabled(self, host: str) -> None:
        """The operator has disabled a host here."""

    def endpoint_enabled(self, host: str) -> None:
        """The operator has enabled a host here."""


class RecoveryAction(Enum):
    """What a restart does about a message, by what the journal and the store have of it."""

    COMPLETE = auto()  # both have it as over: the journal entry is completed
    UPDATE_STORE = auto()  # the store is told what the journal knows
    RESUME = auto()  # the message goes on; the store is told where it stands
    FAIL = auto()  # it may have run and must not run twice: it is failed, and not sent
    DISCARD = auto()  # its client was never told that it was admitted: dropped from the journal
    REPORT_AGAIN = auto()  # its final status is reported once more


class MessageStore(AttemptGate, Protocol):
    """The store of record, where the operator has set one. Calls back from the loop, at once or later."""

    def admit(self, message: Message, done: Callable[[StoreDecision], None]) -> None:
        """Stores a new message, or says what is known of its id."""

    def record_final_status(
        self, message_id: str, answer: str, result: str | None, done: Callable[[], None]
    ) -> None:
        """Stores how a message ends."""

    def final_status_reported(self, message_id: str) -> None:
        """Stores that whoever waits for the end of a message has it."""

    def recorded_answer(self, message_id: str) -> str | None:
        """Returns how a message ended, as stored before a restart; None while it has not."""

    def recover(self, message: Message | None, message_id: str, is_at_most_once: bool) -> RecoveryAction:
        """Reconciles the record of a message with the journal; returns what is to be done.

        Args:
            message: as in the journal, if it is there.
            message_id: its id.
            is_at_most_once: whether it must not run twice.
        """

    def unfinished_without_journal(self, messages: Mapping[str, Message]) -> Sequence[str]:
        """Returns the ids of messages that are unfinished in the store and not in the journal."""


class Delivery(Protocol):
    """Carries calls out. Each message of a call ends by one `Attempts.attempt_ended`."""

    @property
    def is_busy(self) -> bool:
        """Whether a call is in flight."""

    def add_host(self, host: str, address: Address, destination: int) -> None:
        """Adds a host, or changes its address."""

    def drain_host(self, host: str) -> None:
        """Begins no more calls to a host; those that are decided come back as stale."""

    def remove_host(self, host: str) -> None:
        """Forgets a host once its calls have ended."""

    def close_idle_connections(self, host: str) -> None:
        """Closes the idle connections to a host."""

    def close_all_idle_connections(self) -> None:
        """Closes all idle connections."""

    def withdraw_blocked_calls(self) -> None:
        """Withdraws calls that a Retry-After forbids now, as long as their last byte is not written."""

    def send_call(self, host: str, messages: list[Message], options: CallOptions) -> None:
        """Begins a call."""

    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        """Withdraws calls of which no byte is written; returns their messages, and the host of each."""

    def close(self) -> None:
        """Ends all calls, and closes all connections."""


class EndpointDirectory(Protocol):
    """The endpoint list. What it says comes by `Endpoints.list_received`."""

    address: Address
    revision: int | None

    def load_cached(self, cached_list: Mapping[str, Any]) -> None:
        """Takes in the list as last known."""

    def watch(self) -> None:
        """Watches the list for changes."""

    def pause(self) -> None:
        """Stops watching."""

    def resume(self, revision: int | None) -> None:
        """Goes on watching from a revision that another process had."""

    def move_to(self, address: Address) -> None:
        """Asks at another address from now on."""

    def close(self) -> None:
        """Stops for good."""


class ResolutionStatus(Enum):
    """What became of a destination that was to be resolved."""

    RESOLVED = auto()  # its hosts are in the list now
    NOT_FOUND = auto()  # no host is listed for it
    UNAVAILABLE = auto()  # no registry answered within the time set


class SubscribedDirectory(Protocol):
    """An endpoint directory that holds only the destinations that this relay serves (docs/slices.md)."""

    def resolve(self, destination: int) -> None:
        """Subscribes to a destination; one `Engine.destination_resolved` follows, within the time set.

        Asked again meanwhile, the one answer stands for all.
        """

    def mark_used(self, destination: int) -> None:
        """Notes that a message came for a destination: it is not idle."""

    def adopt(
        self, revision: int | None, destinations: Iterable[int], rows: Iterable[tuple[EndpointEntry, Address]]
    ) -> None:
        """Takes over what another process of this relay held, complete as of a revision; before `resume`."""


class StatusReporter(Protocol):
    """Reports final statuses to the platform; `FinalStatuses.report_acknowledged` follows each."""

    @property
    def pending(self) -> int:
        """Final statuses that are not acknowledged yet."""

    def report(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Reports a final status, until it is acknowledged."""

    def move_to(self, address: Address) -> None:
        """Reports to another address from now on."""

    def close(self) -> None:
        """Stops reporting."""


class OutcomeForwarder(Protocol):
    """Is told the outcomes of calls while another process decides, or is about to."""

    def retry_after_received(self, host: str, retry_after: int) -> None:
        """A host sent a Retry-After, in microseconds."""

    def attempt_ended(self, message_id: str, host: str, result: AttemptResult) -> None:
        """An attempt has ended."""

    def outcome_disputed(self, message_id: str, host: str, sent_at: int) -> None:
        """A rejected attempt may have run after all; `ran_at` is in microseconds of the wall clock."""
