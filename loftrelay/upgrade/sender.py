"""The serving process's side of a handover: carries out what the state machine says."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.upgrade.channel import Channel, Listener
from loftrelay.upgrade.forwarder import Forwarder, OnAnswer
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ClientTransferred,
    HandoverMessage,
    HandoverRefused,
    HandoverRequested,
    OutcomeDisputed,
    OverrideAnswered,
    OwnershipReleased,
    RetryAfterReceived,
    StateExported,
    StateLoaded,
    read_message,
    write_message,
)
from loftrelay.upgrade.state_machine import MAX_HANDOVER_PAUSE_US, Predecessor, PredecessorAction

log = logging.getLogger(__name__)

TIMER_SLACK_S = 0.001  # so that the timer does not fire before the pause is over


class Front(Protocol):
    """The clients' side, as a handover needs it."""

    def pause(self) -> None:
        """Accepts and reads nothing; what clients write waits in their sockets."""

    async def resume(self) -> None:
        """Accepts and reads again."""

    def hand_over(self, transfer: Callable[[dict[str, Any], int], None]) -> None:
        """Calls `transfer` with the row and descriptor of each connection, now or once it can be given."""


@dataclass(frozen=True, slots=True)
class ServiceCallbacks:
    """What a handover asks of the service that runs it."""

    on_moved: Callable[[bool], None]  # whether operators' overrides go through `HandoverSender.forwarder`
    apply_override: Callable[[str, bool, OnAnswer], None]  # a host, whether it is disabled
    stop: Callable[[bool], None]  # the process is to end, as the owner of all or not
    restart: Callable[[], None]  # the process is to start again from the journal


class HandoverSender:
    """Answers a process that wants to take over, and hands the state over to it."""

    def __init__(
        self, folder: Path, lock: Lock, engine: Engine, front: Front, callbacks: ServiceCallbacks
    ) -> None:
        """Listens for a successor.

        Args:
            folder: The state folder.
            lock: Of that folder; it belongs to the sender from now on.
            engine: What is paused and handed over.
            front: The server of the clients.
            callbacks: What is asked of the service.

        Raises:
            OSError: The folder can't be used.
        """
        self.forwarder = Forwarder()
        self._lock, self._engine, self._front, self._callbacks = lock, engine, front, callbacks
        self._state = Predecessor()
        self._channel: Channel | None = None
        self._is_journal_only = False  # the successor could not use the exported state
        self._paused_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._resuming: asyncio.Task[None] | None = None
        self._listener = Listener(folder, self._on_connection)
        self._handlers: dict[PredecessorAction, Callable[[], None]] = {
            PredecessorAction.PAUSE: self._pause,
            PredecessorAction.EXPORT_STATE: self._export_state,
            PredecessorAction.RESUME: self._resume,
            PredecessorAction.RELEASE: self._release,
            PredecessorAction.TRANSFER: self._transfer,
            PredecessorAction.STOP: partial(callbacks.stop, True),
            PredecessorAction.EXIT: partial(callbacks.stop, False),
            PredecessorAction.RESTART: self._restart,
        }

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the state; False for good once a successor has taken over."""
        return self._state.is_owner

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a message of the handover is not sent yet, or an operator's override not answered."""
        if self._channel is None:
            return False
        return self._channel.has_unsent or self.forwarder.has_unanswered_overrides

    def request_stop(self) -> None:
        """The process is to end: at once, or after a handover that has begun."""
        self._run(self._state.on_stop_requested())

    def close(self) -> None:
        """Ends the listener and the channel."""
        self._listener.close()
        if self._channel is not None:
            self._channel.close()

    # The channel

    def _on_connection(self, sock: socket.socket) -> None:
        channel: Channel = Channel(
            sock,
            lambda wire, _: self._on_message(channel, wire),
            lambda: self._on_lost(channel),
        )

    def _on_message(self, channel: Channel, wire: dict[str, Any]) -> None:
        message = read_message(wire)
        if isinstance(message, HandoverRequested):
            self._on_request(channel)
        elif channel is not self._channel:
            return
        elif isinstance(message, StateLoaded):
            self._is_journal_only = message.is_journal_only
            self._run(self._state.on_loaded(self._now()))
        elif isinstance(message, OverrideAnswered):
            self.forwarder.on_override_answered(message)

    def _on_request(self, channel: Channel) -> None:
        if self._state.is_serving:
            self._channel = channel
        actions = self._state.on_request(self._now())
        if PredecessorAction.REFUSE in actions:
            refusal = HandoverRefused("another process follows, or this one ends")
            channel.send(write_message(refusal))
        else:
            self._run(actions)

    def _on_lost(self, channel: Channel) -> None:
        if channel is self._channel:
            self._channel = None
            self.forwarder.disconnect()
            self._run(self._state.on_channel_lost())

    def _on_timer(self) -> None:
        actions = self._state.on_timer(self._now())
        if actions and self._channel is not None:
            self._channel.close()
            self._channel = None
        self._run(actions)

    # Actions of the state machine

    def _run(self, actions: tuple[PredecessorAction, ...]) -> None:
        for action in actions:
            self._handlers[action]()

    def _pause(self) -> None:
        self._paused_at = self._now()
        self._callbacks.on_moved(True)
        self._front.pause()
        self._engine.handover.pause(self.forwarder)
        fault_point("frozen")
        delay_s = MAX_HANDOVER_PAUSE_US / 1e6 + TIMER_SLACK_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _export_state(self) -> None:
        if self._channel is not None:
            self._channel.send(write_message(StateExported(self._engine.handover.export_state())))
            fault_point("told state")

    def _resume(self) -> None:
        log.warning("handover cancelled: no other process has taken over, this one continues")
        self._cancel_timer()
        self._engine.handover.resume()
        self._callbacks.on_moved(False)
        for message in self.forwarder.drain_postponed():
            self._apply_here(message)
        for request, on_answer in self.forwarder.drain_overrides():
            self._callbacks.apply_override(request.host, request.is_disabled, on_answer)
        self._resuming = asyncio.get_running_loop().create_task(self._front.resume())

    def _apply_here(self, message: HandoverMessage) -> None:
        match message:
            case AttemptOutcome():
                self._engine.handover.predecessor_attempt_ended(
                    message.message_id, message.host, message.result
                )
            case RetryAfterReceived():
                self._engine.attempts.retry_after_received(message.host, message.wait)
            case OutcomeDisputed():
                self._engine.attempts.outcome_disputed(message.message_id, message.host, message.started_at)

    def _release(self) -> None:
        self._cancel_timer()
        assert self._channel is not None
        self._engine.context.journal.close()
        self._engine.context.is_handed_over = True
        self._listener.close()
        fault_point("giving")
        self.forwarder.connect(self._channel)
        self._channel.send(write_message(OwnershipReleased()), [self._lock.descriptor])
        self._lock.release()
        fault_point("given")
        paused_ms = (self._now() - self._paused_at) // 1000
        log.info("handover: another process has taken over after a pause of %d ms", paused_ms)

    def _transfer(self) -> None:
        channel = self._channel
        if channel is None:
            return  # lost during the release
        if self._is_journal_only:
            self._engine.context.delivery.close()  # the successor counts these calls as broken
        self.forwarder.flush(self._is_journal_only)
        self._front.hand_over(
            lambda row, descriptor: channel.send(write_message(ClientTransferred(row)), [descriptor])
        )
        self._engine.context.delivery.close_all_idle_connections()
        fault_point("handed over")

    def _restart(self) -> None:
        log.error("handover: the process that took over is lost, this one starts again from the journal")
        self._callbacks.restart()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)
