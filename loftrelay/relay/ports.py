"""Ports: interfaces that the engine needs from other packages, which use the engine but not each other."""

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
    """A record was not written because the journal or the disk is full."""


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt. Durations are in microseconds."""

    status: AttemptStatus
    is_final: bool = False  # delivered; the message needs nothing more
    is_expired: bool = False  # the host considers the deadline passed: no more attempts, only a final status
    retry_after: int = 0
    connection_idle: int | None = None  # idle time of its connection before the call; 0: a new connection
    is_stale: bool = False  # not begun or not completely written, as the decision was no longer valid
    is_blocked: bool = False  # not begun or not completely written, as a Retry-After came after the decision
    is_disputable: bool = False  # a later response on its connection may show that it was another call's
    is_late: bool = False  # the process stalled during the attempt, so the response's arrival time is unknown


@dataclass(frozen=True, slots=True)
class CallOptions:
    """Options of a call. Times are in seconds, unless noted otherwise."""

    timeout: float
    is_batch: bool
    is_at_most_once: bool  # it carries a message that must not run twice
    max_connection_idle: int | None  # microseconds; a connection that was idle this long must not be used
    send_within: float = math.inf  # the call is withdrawn if its last byte is not written within this time


class Journal(Protocol):
    """Durable store of open messages, and of ordering keys whose last attempt may still be running."""

    messages: dict[str, Message]
    # Ordering key -> when an attempt that may still be running was given up, in wall-clock microseconds.
    uncertain_keys: dict[str, int]

    @property
    def memory_bytes(self) -> int:
        """Memory of the open messages, and of the ids that are remembered."""

    def completed(self, message_id: str) -> CompletedMessage | None:
        """Returns the result of a completed message; None if its id is unknown or has expired."""

    def admit(self, message: Message) -> None:
        """Records a new message.

        Raises:
            JournalFullError: the journal or the disk is full.
        """

    def record_store_confirmed(self, message_id: str) -> None:
        """Records that the store of record has a message that awaited it.

        Raises:
            JournalFullError: the journal or the disk is full.
        """

    def reopen(self, message: Message) -> None:
        """Stores a message again that was complete; its fields tell what became of it so far."""

    def record_attempt_result(self, message: Message, status: AttemptStatus) -> None:
        """Records that an attempt ended without a delivery."""

    def record_final_status(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Records the final status of a message, which is complete once that is reported."""

    def record_dispute(self, message: Message, host: str, sent_at: int) -> None:
        """Records that a rejected attempt may have run after all; `sent_at` is in wall-clock microseconds."""

    def complete(self, message_id: str, status: int = 0) -> None:
        """Records that a message is complete. Its id is remembered with the HTTP status, unless that is 0."""

    def close(self) -> None:
        """Closes the files."""


class StoreDecision(Protocol):
    """Decision of a store about the admission of a message."""

    retry_after_ms: int  # if rejected: delay before the client may submit it again

    @property
    def status(self) -> int:
        """HTTP status of the response, if the message id is known; 0 for a new message, which is stored."""


class AttemptApprover(Protocol):
    """Approves or refuses attempts, for instance a store that has to record the intent to send first.

    It calls back from the event loop, immediately or later.
    """

    @property
    def retry_after_ms(self) -> int:
        """Shortest delay before the next request after a refusal, in milliseconds."""

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        """Requests approval of a call; calls `done` with whether it may begin."""

    def attempt_ended(self, message_id: str, result: str) -> None:
        """Handles the result of a requested attempt that was not a delivery.

        The requester may give up a request before its decision, which is then ignored.
        """


class RelayObserver(Protocol):
    """Observes events of this relay."""

    def attempt_ended(self, message: Message, host: str, result: AttemptResult) -> None:
        """Called when an attempt has ended."""

    def endpoint_disabled(self, host: str) -> None:
        """Called when the operator has disabled a host at this relay."""

    def endpoint_enabled(self, host: str) -> None:
        """Called when the operator has enabled a host at this relay."""


class RecoveryAction(Enum):
    """Action on a message after a restart, determined by its journal entry and its store record."""

    COMPLETE = auto()  # complete according to the store: complete the journal entry
    UPDATE_STORE = auto()  # record in the store what the journal has
    RESUME = auto()  # continue with the message, and update its state in the store
    FAIL = auto()  # it may have run and must not run twice: fail it without another attempt
    DISCARD = auto()  # its client never got a 202: drop it from the journal
    REPORT_AGAIN = auto()  # report its final status once more


class MessageStore(AttemptApprover, Protocol):
    """The store of record, if one is configured. It calls back from the event loop, immediately or later."""

    def must_confirm(self, message: Message) -> bool:
        """Returns whether a new message must be stored before its client gets 202."""

    def admit(self, message: Message, done: Callable[[StoreDecision], None]) -> None:
        """Stores a new message, or looks up a known id; calls `done` with the decision."""

    def record_final_status(
        self, message_id: str, stored_status: str, result: str | None, done: Callable[[], None]
    ) -> None:
        """Records the final status of a message; calls `done` once it is recorded.

        Args:
            message_id: id of the message.
            stored_status: STORED_DELIVERED, STORED_REJECTED or STORED_FAILED (see `statuses`).
            result: status of the last attempt; None if the message was not delivered.
            done: called without arguments, immediately or later.
        """

    def dispute_delivery(self, message_id: str, done: Callable[[], None]) -> None:
        """Records that a message has failed whose delivery is, or will be, recorded; then calls `done`."""

    def max_record_wait_s(self, message_id: str) -> float:
        """Returns how long a final status may wait for its record before it is reported without, in s."""

    def final_status_reported(self, message_id: str, done: Callable[[], None] | None = None) -> None:
        """Records that the client or the platform has received the final status of a message.

        Args:
            message_id: id of the message.
            done: called once that is recorded, immediately or later.
        """

    def stored_final_status(self, message_id: str) -> str | None:
        """Returns the stored status of a message, as it was before a restart; None if it has none."""

    def recover(self, message: Message | None, message_id: str, is_at_most_once: bool) -> RecoveryAction:
        """Reconciles the record of a message with the journal; returns the action that is required.

        Args:
            message: the message in the journal; None if the journal does not have it.
            message_id: id of the message.
            is_at_most_once: whether the message must not run twice.
        """

    def unfinished_without_journal(self, messages: Mapping[str, Message]) -> Sequence[str]:
        """Returns the ids of messages that are unfinished in the store and missing in the journal."""


@dataclass(frozen=True, slots=True)
class DisputedDelivery:
    """A delivery that may have been reported by the response to another call.

    Attributes:
        message: The message, which is complete.
        host: The host that seemed to accept it.
        sent_at: When the attempt was sent, in wall-clock microseconds.
        has_body: Whether the message still has its body, and can be sent again.
    """

    message: Message
    host: str
    sent_at: int
    has_body: bool


class Delivery(Protocol):
    """Sends calls. It calls `Attempts.attempt_ended` once for each message of a call."""

    @property
    def is_busy(self) -> bool:
        """Whether a call is in flight."""

    @property
    def is_settled(self) -> bool:
        """Whether no recent delivery is likely to be disputed any more."""

    def add_host(self, host: str, address: Address, destination: int) -> None:
        """Adds a host, or updates its address."""

    def drain_host(self, host: str) -> None:
        """Stops new calls to a host; calls that were decided before end as stale."""

    def remove_host(self, host: str) -> None:
        """Removes a host once its calls have ended."""

    def close_idle_connections(self, host: str) -> None:
        """Closes the idle connections to a host."""

    def close_all_idle_connections(self) -> None:
        """Closes all idle connections on which no recent delivery may still be disputed."""

    def withdraw_blocked_calls(self) -> None:
        """Withdraws calls that a Retry-After now forbids, unless their last byte is already written."""

    def send_call(self, host: str, messages: list[Message], options: CallOptions) -> None:
        """Begins a call."""

    def withdraw_unsent_calls(self) -> list[tuple[Message, str]]:
        """Withdraws calls of which no byte is written; returns their messages with the host of each."""

    def close(self) -> None:
        """Cancels all calls and closes all connections."""


class EndpointDirectory(Protocol):
    """Source of the endpoint list. It passes lists and changes to `Endpoints.list_received`."""

    address: Address
    revision: int | None

    def load_cached(self, cached_list: Mapping[str, Any]) -> None:
        """Loads the last known list."""

    def watch(self) -> None:
        """Watches the list for changes."""

    def pause(self) -> None:
        """Stops watching."""

    def resume(self, revision: int | None) -> None:
        """Continues watching from the revision that another process had reached."""

    def move_to(self, address: Address) -> None:
        """Uses another address from now on."""

    def close(self) -> None:
        """Stops permanently."""


class ResolutionStatus(Enum):
    """Result of resolving a destination."""

    RESOLVED = auto()  # its hosts are in the endpoint list now
    NOT_FOUND = auto()  # no host is listed for it
    UNAVAILABLE = auto()  # no registry responded within the configured time


class SubscribedDirectory(Protocol):
    """An endpoint directory that holds only the destinations that this relay serves (docs/slices.md)."""

    def resolve(self, destination: int) -> None:
        """Subscribes to a destination; calls `Engine.destination_resolved` once, within the configured time.

        Further requests for the destination before that call share its result.
        """

    def mark_used(self, destination: int) -> None:
        """Notes that a message for a destination was submitted, so the destination is not idle."""

    def adopt(
        self, revision: int | None, destinations: Iterable[int], rows: Iterable[tuple[EndpointEntry, Address]]
    ) -> None:
        """Adopts the entries of another process of this relay, complete as of a revision; before `resume`."""


class StatusReporter(Protocol):
    """Reports final statuses to the platform; calls `FinalStatuses.report_acknowledged` for each."""

    @property
    def pending(self) -> int:
        """Number of final statuses that are not acknowledged yet."""

    def report(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Reports a final status; repeats the report until it is acknowledged."""

    def move_to(self, address: Address) -> None:
        """Reports to another address from now on."""

    def close(self) -> None:
        """Stops reporting."""


class OutcomeForwarder(Protocol):
    """Forwards the results of calls while another process makes the decisions, or is about to."""

    def retry_after_received(self, host: str, retry_after: int) -> None:
        """Forwards a Retry-After of a host, in microseconds."""

    def attempt_ended(self, message_id: str, host: str, result: AttemptResult) -> None:
        """Forwards the result of an attempt."""

    def outcome_disputed(self, message_id: str, host: str, sent_at: int) -> None:
        """Forwards that a rejected attempt may have run; `sent_at` is in wall-clock microseconds."""

    def delivery_disputed(self, delivery: DisputedDelivery) -> None:
        """Forwards that a delivered message may not have run."""
