"""Successor's side of a handover: acquires the state, from the journal or from a predecessor."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from loftrelay.journal.journal import Journal
from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.handover_state import HandoverError, HandoverState, read_state
from loftrelay.tasks.supervision import start_watched
from loftrelay.upgrade.channel import Channel, connect
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ClientTransferred,
    ConfigurationReplaced,
    DeliveryDisputed,
    HandoverMessage,
    HandoverRefused,
    HandoverRequested,
    OutcomeDisputed,
    OverrideAnswered,
    OverrideRequested,
    OwnershipReleased,
    RetryAfterReceived,
    StateExported,
    StateLoaded,
    read_message,
    write_message,
)
from loftrelay.upgrade.state_machine import RETRY_DELAY_US, Successor, SuccessorAction

log = logging.getLogger(__name__)

AdoptClient = Callable[[dict[str, Any], int], Awaitable[None]]  # row and descriptor of a connection
# Host, whether it is disabled, and a callback that is given the reason if the override failed, else None.
ApplyOverride = Callable[[str, bool, Callable[[str | None], None]], None]


@dataclass(frozen=True, slots=True)
class HandoverTargets:
    """Parts of the service to which messages of the predecessor are applied."""

    engine: Engine
    adopt_client: AdoptClient
    apply_override: ApplyOverride
    reload_configuration: Callable[[], None]


class HandoverReceiver:
    """Acquires the state, and afterwards applies the messages that the predecessor still sends.

    Attributes:
        lock: Lock of the state folder, once it is held.
        received_state: State of the predecessor; None to start from the journal alone.
    """

    def __init__(self, folder: Path, disk_bytes: int, seed: int) -> None:
        """Prepares to acquire the state.

        Args:
            folder: The state folder.
            disk_bytes: Maximum disk space of the journal.
            seed: Seed of the scheduler's random numbers.
        """
        self.lock: Lock | None = None
        self.received_state: HandoverState | None = None
        self._folder, self._disk_bytes, self._seed = folder, disk_bytes, seed
        self._state_machine = Successor()
        self._journal: Journal | None = None
        self._exported_state: dict[str, Any] = {}
        self._channel: Channel | None = None
        self._next_step = asyncio.Event()
        self._retry_delay_s = 0.0
        self._backlog: list[tuple[HandoverMessage, list[int]]] = []  # received before `attach`
        self._targets: HandoverTargets | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[SuccessorAction, Callable[[], None]] = {
            SuccessorAction.REQUEST: self._request_handover,
            SuccessorAction.LOAD: self._load_state,
            SuccessorAction.REPORT_LOADED: self._report_loaded,
            SuccessorAction.DISCARD: self._discard_loaded,
            SuccessorAction.START: self._start_from_journal,
            SuccessorAction.CONTINUE: self._continue_after_handover,
            SuccessorAction.RETRY: self._retry_later,
        }

    async def acquire(self) -> Journal:
        """Waits until this process owns the state.

        Returns:
            The journal, with `received_state` and `lock` set.

        Raises:
            OSError: The folder can't be used.
        """
        gc.disable()  # a large heap is built at once, while clients wait
        try:
            return await self._acquire()
        finally:
            gc.enable()

    def attach(
        self,
        engine: Engine,
        adopt_client: AdoptClient,
        apply_override: ApplyOverride,
        reload_configuration: Callable[[], None],
    ) -> None:
        """Applies the predecessor's messages from now on, beginning with those received earlier."""
        self._targets = HandoverTargets(engine, adopt_client, apply_override, reload_configuration)
        backlog, self._backlog = self._backlog, []
        for message, descriptors in backlog:
            self._apply_and_close(message, descriptors)
        if self._channel is None:
            engine.handover.predecessor_lost()

    async def _acquire(self) -> Journal:
        while not self._state_machine.is_owner:
            lock = Lock.acquire(self._folder)
            sock = connect(self._folder) if lock is None else None
            actions = self._state_machine.on_acquire_attempted(lock is not None, sock is not None)
            if lock is not None:
                self.lock = lock
            if sock is not None:
                self._channel = Channel(sock, self._on_message, self._on_channel_lost)
            self._execute(actions)
            await self._next_step.wait()
            self._next_step.clear()
            await asyncio.sleep(self._retry_delay_s)
            self._retry_delay_s = 0.0
        assert self._journal is not None
        return self._journal

    # Messages from the predecessor

    def _on_message(self, wire: dict[str, Any], descriptors: list[int]) -> None:
        try:
            message = read_message(wire)
        except HandoverError as error:
            log.error("handover: message from the predecessor dropped: %s", error)
            message = None
        if message is None:
            _close_all(descriptors)
        elif isinstance(message, StateExported | HandoverRefused | OwnershipReleased):
            self._on_handover_message(message, descriptors)
            _close_all(descriptors)
        elif self._targets is None:
            self._backlog.append((message, descriptors))
        else:
            self._apply_and_close(message, descriptors)

    def _on_handover_message(
        self, message: StateExported | HandoverRefused | OwnershipReleased, descriptors: list[int]
    ) -> None:
        if isinstance(message, StateExported):
            self._exported_state = message.state
            self._execute(self._state_machine.on_state_received())
        elif isinstance(message, HandoverRefused):
            log.info("handover refused by the serving process: %s; retrying", message.reason)
            self._on_channel_lost()
        elif descriptors:
            self.lock = Lock(descriptors.pop())
            self._execute(self._state_machine.on_ownership_received())

    def _apply_and_close(self, message: HandoverMessage, descriptors: list[int]) -> None:
        try:
            self._apply(message, descriptors)
        except (KeyError, TypeError, ValueError) as error:
            log.error(
                "handover: %s from the predecessor dropped, it can't be applied: %r",
                type(message).__name__,
                error,
            )
        _close_all(descriptors)

    def _apply(self, message: HandoverMessage, descriptors: list[int]) -> None:
        assert self._targets is not None
        engine = self._targets.engine
        match message:
            case AttemptOutcome() if self.received_state is not None:
                engine.handover.predecessor_attempt_ended(message.message_id, message.host, message.result)
            case RetryAfterReceived():
                engine.attempts.retry_after_received(message.host, message.delay_us)
            case OutcomeDisputed() if self.received_state is not None:
                engine.attempts.outcome_disputed(message.message_id, message.host, message.started_at_us)
            case DeliveryDisputed():
                engine.redelivery.delivery_disputed(message.delivery)
            case ClientTransferred() if descriptors:
                task = start_watched(
                    self._adopt_client(message, descriptors.pop()), "adoption of a client connection"
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case ConfigurationReplaced():
                self._targets.reload_configuration()
            case OverrideRequested():
                self._apply_override(message)

    async def _adopt_client(self, message: ClientTransferred, descriptor: int) -> None:
        assert self._targets is not None
        try:
            await self._targets.adopt_client(message.connection, descriptor)
        except (KeyError, TypeError, ValueError) as error:
            log.error(
                "handover: client connection from the predecessor closed, its state is invalid: %r", error
            )
            os.close(descriptor)

    def _apply_override(self, request: OverrideRequested) -> None:
        assert self._targets is not None

        def answer(error: str | None) -> None:
            self._send(OverrideAnswered(request.number, error))

        self._targets.apply_override(request.host, request.is_disabled, answer)

    def _send(self, message: HandoverMessage) -> None:
        if self._channel is not None:
            self._channel.send(write_message(message))

    @property
    def predecessor_pid(self) -> int | None:
        """Process id of the predecessor, which ends after the handover; None if there is none."""
        return None if self._channel is None else self._channel.peer_pid

    def _on_channel_lost(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
        actions = self._state_machine.on_channel_lost()
        self._execute(actions)
        if not actions and self._targets is not None:
            self._targets.engine.handover.predecessor_lost()

    # Actions of the state machine

    def _execute(self, actions: tuple[SuccessorAction, ...]) -> None:
        for action in actions:
            self._handlers[action]()

    def _request_handover(self) -> None:
        self._journal = self._read_journal_ahead()
        self._send(HandoverRequested(os.getpid()))

    def _read_journal_ahead(self) -> Journal | None:
        """Reads the journal while the predecessor serves, so that less is left to read during its pause.

        Returns:
            The journal; None if the predecessor has just deleted a segment. The whole journal is read during
            the pause then.
        """
        try:
            return Journal(self._folder, self._disk_bytes, is_read_only=True)
        except FileNotFoundError:
            return None

    def _load_state(self) -> None:
        if self._journal is not None:
            self._journal.catch_up()
        else:
            self._journal = Journal(self._folder, self._disk_bytes, is_read_only=True)
        try:
            self.received_state = read_state(self._exported_state, self._seed)
        except HandoverError as error:
            log.warning(
                "handover: the predecessor's state can't be used, continuing from the journal alone: %s",
                error,
            )
            self.received_state = None
        self._exported_state = {}

    def _report_loaded(self) -> None:
        if self._channel is not None:
            fault_point("loaded")
            self._send(StateLoaded(is_journal_only=self.received_state is None))

    def _discard_loaded(self) -> None:
        self._journal = self.received_state = None

    def _start_from_journal(self) -> None:
        self._journal = Journal(self._folder, self._disk_bytes)
        self._next_step.set()

    def _continue_after_handover(self) -> None:
        assert self._journal is not None
        fault_point("yours")
        if self.received_state is not None:
            self._journal.take_ownership()
        else:
            self._journal = Journal(self._folder, self._disk_bytes)
        self._next_step.set()

    def _retry_later(self) -> None:
        self._retry_delay_s = RETRY_DELAY_US / 1e6
        self._next_step.set()


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
