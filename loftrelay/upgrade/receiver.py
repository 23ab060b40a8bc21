"""The side of the process that is to serve: becomes the owner of the state, alone or after a predecessor."""

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
from loftrelay.upgrade.channel import Channel, connect
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ClientTransferred,
    ConfigurationReplaced,
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

AdoptClient = Callable[[dict[str, Any], int], Awaitable[None]]  # a connection's row and descriptor
ApplyOverride = Callable[[str, bool, Callable[[str | None], None]], None]


@dataclass(frozen=True, slots=True)
class ServingParts:
    """Where the predecessor's later messages take effect."""

    engine: Engine
    adopt_client: AdoptClient
    apply_override: ApplyOverride
    read_configuration: Callable[[], None]


class HandoverReceiver:
    """Acquires the state, and applies what its predecessor still has to tell afterwards."""

    def __init__(self, folder: Path, disk_bytes: int, seed: int) -> None:
        """Prepares to acquire the state.

        Args:
            folder: The state folder.
            disk_bytes: The most that the journal may take there.
            seed: Of the random numbers of the decisions.
        """
        self.lock: Lock | None = None
        self.received_state: HandoverState | None = None  # None: from the journal alone
        self._folder, self._disk_bytes, self._seed = folder, disk_bytes, seed
        self._state = Successor()
        self._journal: Journal | None = None
        self._exported: dict[str, Any] = {}
        self._channel: Channel | None = None
        self._next_step = asyncio.Event()
        self._retry_delay_s = 0.0
        self._backlog: list[tuple[HandoverMessage, list[int]]] = []  # came before `attach`
        self._parts: ServingParts | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._handlers: dict[SuccessorAction, Callable[[], None]] = {
            SuccessorAction.REQUEST: self._request,
            SuccessorAction.LOAD: self._load,
            SuccessorAction.REPORT_LOADED: self._report_loaded,
            SuccessorAction.DISCARD: self._discard,
            SuccessorAction.START: self._start,
            SuccessorAction.CONTINUE: self._continue,
            SuccessorAction.RETRY: self._retry,
        }

    async def acquire(self) -> Journal:
        """Waits until this process owns the state.

        Returns:
            The journal, with `received_state` and `lock` set.

        Raises:
            OSError: The folder can't be used.
        """
        gc.disable()  # a large heap is built up at one go, while clients wait
        try:
            return await self._acquire()
        finally:
            gc.enable()

    def attach(
        self, engine: Engine, adopt: AdoptClient, change: ApplyOverride, read_file: Callable[[], None]
    ) -> None:
        """Lets the predecessor's messages take effect, those that came before first."""
        self._parts = ServingParts(engine, adopt, change, read_file)
        backlog, self._backlog = self._backlog, []
        for message, descriptors in backlog:
            self._apply_and_close(message, descriptors)
        if self._channel is None:
            engine.handover.predecessor_lost()

    async def _acquire(self) -> Journal:
        while not self._state.is_owner:
            lock = Lock.acquire(self._folder)
            sock = connect(self._folder) if lock is None else None
            actions = self._state.on_try(lock is not None, sock is not None)
            if lock is not None:
                self.lock = lock
            if sock is not None:
                self._channel = Channel(sock, self._on_message, self._on_lost)
            self._run(actions)
            await self._next_step.wait()
            self._next_step.clear()
            await asyncio.sleep(self._retry_delay_s)
            self._retry_delay_s = 0.0
        assert self._journal is not None
        return self._journal

    # The channel

    def _on_message(self, wire: dict[str, Any], descriptors: list[int]) -> None:
        try:
            message = read_message(wire)
        except HandoverError as error:
            log.error("handover: a message of the predecessor can't be read: %s", error)
            message = None
        if message is None:
            _close_all(descriptors)
        elif isinstance(message, StateExported | HandoverRefused | OwnershipReleased):
            self._on_step(message, descriptors)
            _close_all(descriptors)
        elif self._parts is None:
            self._backlog.append((message, descriptors))
        else:
            self._apply_and_close(message, descriptors)

    def _on_step(
        self, message: StateExported | HandoverRefused | OwnershipReleased, descriptors: list[int]
    ) -> None:
        if isinstance(message, StateExported):
            self._exported = message.state
            self._run(self._state.on_state_received())
        elif isinstance(message, HandoverRefused):
            log.info("handover refused by the serving process: %s", message.reason)
            self._on_lost()
        elif descriptors:
            self.lock = Lock(descriptors.pop())
            self._run(self._state.on_ownership_received())

    def _apply_and_close(self, message: HandoverMessage, descriptors: list[int]) -> None:
        try:
            self._apply(message, descriptors)
        except (KeyError, TypeError, ValueError) as error:
            log.error("handover: %s could not be applied: %r", type(message).__name__, error)
        _close_all(descriptors)

    def _apply(self, message: HandoverMessage, descriptors: list[int]) -> None:
        assert self._parts is not None
        engine = self._parts.engine
        match message:
            case AttemptOutcome() if self.received_state is not None:
                engine.handover.predecessor_attempt_ended(message.message_id, message.host, message.result)
            case RetryAfterReceived():
                engine.attempts.retry_after_received(message.host, message.wait)
            case OutcomeDisputed() if self.received_state is not None:
                engine.attempts.outcome_disputed(message.message_id, message.host, message.started_at)
            case ClientTransferred() if descriptors:
                task = asyncio.get_running_loop().create_task(self._adopt(message, descriptors.pop()))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            case ConfigurationReplaced():
                self._parts.read_configuration()
            case OverrideRequested():
                self._apply_override(message)

    async def _adopt(self, message: ClientTransferred, descriptor: int) -> None:
        assert self._parts is not None
        try:
            await self._parts.adopt_client(message.connection, descriptor)
        except (KeyError, ValueError) as error:
            log.error("handover: a client's connection could not be adopted: %r", error)
            os.close(descriptor)

    def _apply_override(self, request: OverrideRequested) -> None:
        assert self._parts is not None

        def answer(error: str | None) -> None:
            self._send(OverrideAnswered(request.number, error))

        self._parts.apply_override(request.host, request.is_disabled, answer)

    def _send(self, message: HandoverMessage) -> None:
        if self._channel is not None:
            self._channel.send(write_message(message))

    def _on_lost(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
        actions = self._state.on_channel_lost()
        self._run(actions)
        if not actions and self._parts is not None:
            self._parts.engine.handover.predecessor_lost()

    # Actions of the state machine

    def _run(self, actions: tuple[SuccessorAction, ...]) -> None:
        for action in actions:
            self._handlers[action]()

    def _request(self) -> None:
        self._journal = self._read_ahead()
        self._send(HandoverRequested(os.getpid()))

    def _read_ahead(self) -> Journal | None:
        """Reads the journal while the predecessor serves: less is left to read during its pause.

        Returns:
            None where its owner has just dropped a segment: it is read whole during the pause.
        """
        try:
            return Journal(self._folder, self._disk_bytes, is_read_only=True)
        except FileNotFoundError:
            return None

    def _load(self) -> None:
        if self._journal is not None:
            self._journal.catch_up()
        else:
            self._journal = Journal(self._folder, self._disk_bytes, is_read_only=True)
        try:
            self.received_state = read_state(self._exported, self._seed)
        except HandoverError as error:
            log.warning("handover from the journal alone: %s", error)
            self.received_state = None
        self._exported = {}

    def _report_loaded(self) -> None:
        if self._channel is not None:
            fault_point("loaded")
            self._send(StateLoaded(is_journal_only=self.received_state is None))

    def _discard(self) -> None:
        self._journal = self.received_state = None

    def _start(self) -> None:
        self._journal = Journal(self._folder, self._disk_bytes)
        self._next_step.set()

    def _continue(self) -> None:
        assert self._journal is not None
        fault_point("yours")
        if self.received_state is not None:
            self._journal.take_ownership()
        else:
            self._journal = Journal(self._folder, self._disk_bytes)
        self._next_step.set()

    def _retry(self) -> None:
        self._retry_delay_s = RETRY_DELAY_US / 1e6
        self._next_step.set()


def _close_all(descriptors: list[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)
