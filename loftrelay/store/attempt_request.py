"""The start of an attempt in the store: it may begin once the starts of all its messages are committed."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from loftrelay.store.state_machine import Change, DurabilityMode, RecordState
from loftrelay.store.writer import QueuedChange, StoreBusyError, Writer

log = logging.getLogger(__name__)


@dataclass(slots=True)
class RecordPosition:
    """Position of a message's record after all queued changes are written."""

    mode: DurabilityMode
    admission_number: int = 1
    change_number: int = 0
    state: RecordState | None = None  # None: nothing is recorded yet
    is_delivered: bool = False  # its final status is a delivery
    attempt_start: AttemptStart | None = None  # set until it is committed, rejected or withdrawn


class AttemptStart:
    """The start of one message's attempt, until it is committed or rejected.

    Args:
        request: The request that it belongs to.
        position: The position of the record after the start.
        previous_state: The state of the record before it.
    """

    queued: QueuedChange

    def __init__(
        self, request: AttemptRequest, position: RecordPosition, previous_state: RecordState
    ) -> None:
        self.request = request
        self.position = position
        self.previous_state = previous_state

    def withdraw(self) -> None:
        """Gives the attempt up; its start stays queued, as the store may have it already."""
        self.queued.optional = False
        self.position.attempt_start = None

    def settle(self, error: Exception | None) -> None:
        """Handles the commit or the rejection of the start."""
        if self.position.attempt_start is self:
            self.position.attempt_start = None
            if error is not None:
                self.position.change_number -= 1
                self.position.state = self.previous_state
        if error is not None and not isinstance(error, StoreBusyError):
            log.error("message %s: the attempt was not recorded: %s", self.queued.change.message_id, error)
        self.request.start_settled(error is None)


class AttemptRequest:
    """A request to record the starts of the attempts of one call.

    Args:
        done: Called once with whether all of them are committed.
    """

    def __init__(self, done: Callable[[bool], None]) -> None:
        self.done = done
        self.pending = 0
        self.has_failed = False

    def add(
        self, writer: Writer, change: Change, position: RecordPosition, previous_state: RecordState
    ) -> None:
        """Queues the start of one message's attempt."""
        self.pending += 1
        start = position.attempt_start = AttemptStart(self, position, previous_state)
        start.queued = writer.put(change, start.settle, optional=True)

    def end_if_settled(self) -> None:
        """Ends the request if no start is to be committed first."""
        if not self.pending:
            self.done(not self.has_failed)

    def start_settled(self, is_committed: bool) -> None:
        """Ends the request once all starts are committed or rejected."""
        self.pending -= 1
        self.has_failed = self.has_failed or not is_committed
        self.end_if_settled()
