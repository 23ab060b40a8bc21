"""Serving process's side of a handover: executes the actions of the state machine."""

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
from loftrelay.tasks.supervision import start_watched
from loftrelay.upgrade.channel import Channel, Listener
from loftrelay.upgrade.forwarder import Forwarder, OnAnswer
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.messages import (
    AttemptOutcome,
    ClientTransferred,
    DeliveryDisputed,
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

TIMER_SLACK_S = 0.001  # so that the timer does not fire before the maximum pause has passed


class ClientServer(Protocol):
    """Server of the clients, as a handover needs it."""

    def pause(self) -> None:
        """Stops accepting and reading; data from clients waits in their sockets."""

    async def resume(self) -> None:
        """Accepts and reads again after `pause`."""

    def hand_over(self, transfer: Callable[[dict[str, Any], int], None]) -> None:
        """Calls `transfer` with the row and descriptor of each connection, now or when it is ready."""


@dataclass(frozen=True, slots=True)
class ServiceCallbacks:
    """Callbacks from a handover to the service that runs it."""

    on_forwarding_changed: Callable[[bool], None]  # whether overrides now go to `HandoverSender.forwarder`
    apply_override: Callable[[str, bool, OnAnswer], None]  # host, whether it is disabled, callback
    stop: Callable[[bool], None]  # stops the process; given whether it owns the state
    restart: Callable[[], None]  # restarts the program from the journal, in the same process


class HandoverSender:
    """Handles requests for a handover, and hands the state over to the successor."""

    def __init__(
        self, folder: Path, lock: Lock, engine: Engine, server: ClientServer, callbacks: ServiceCallbacks
    ) -> None:
        """Listens for a successor.

        Args:
            folder: The state folder.
            lock: Lock of that folder, which the sender owns from now on.
            engine: Engine that is paused and handed over.
            server: Server of the clients.
            callbacks: Callbacks to the service.

        Raises:
            OSError: The folder can't be used.
        """
        self.forwarder = Forwarder()
        self._lock, self._engine, self._server, self._callbacks = lock, engine, server, callbacks
        self._state_machine = Predecessor()
        self._channel: Channel | None = None
        self._is_journal_only = False  # the successor could not use the exported state
        self._paused_at_us = 0
        self._timer: asyncio.TimerHandle | None = None
        self._resume_task: asyncio.Task[None] | None = None
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
        """Whether this process owns the state; stays False once a successor has taken over."""
        return self._state_machine.is_owner

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a message of the handover is still unsent, or an operator's override unanswered."""
        if self._channel is None:
            return False
        return self._channel.has_unsent or self.forwarder.has_unanswered_overrides

    def request_stop(self) -> None:
        """Handles a request to stop this process: at once, or after a handover that is in progress."""
        self._execute(self._state_machine.on_stop_requested())

    def close(self) -> None:
        """Closes the listener and the channel."""
        self._listener.close()
        if self._channel is not None:
            self._channel.close()

    # Messages from the successor

    def _on_connection(self, sock: socket.socket) -> None:
        channel: Channel = Channel(
            sock,
            lambda wire, _: self._on_message(channel, wire),
            lambda: self._on_channel_lost(channel),
        )

    def _on_message(self, channel: Channel, wire: dict[str, Any]) -> None:
        message = read_message(wire)
        if isinstance(message, HandoverRequested):
            self._on_handover_requested(channel)
        elif channel is not self._channel:
            return
        elif isinstance(message, StateLoaded):
            self._is_journal_only = message.is_journal_only
            self._execute(self._state_machine.on_loaded(self._now_us()))
        elif isinstance(message, OverrideAnswered):
            self.forwarder.on_override_answered(message)

    def _on_handover_requested(self, channel: Channel) -> None:
        if self._state_machine.is_serving:
            self._channel = channel
        actions = self._state_machine.on_request(self._now_us())
        if PredecessorAction.REFUSE in actions:
            refusal = HandoverRefused("another process follows, or this one ends")
            channel.send(write_message(refusal))
        else:
            self._execute(actions)

    def _on_channel_lost(self, channel: Channel) -> None:
        if channel is self._channel:
            self._channel = None
            self.forwarder.disconnect()
            self._execute(self._state_machine.on_channel_lost())

    def _on_pause_timer(self) -> None:
        actions = self._state_machine.on_timer(self._now_us())
        if actions and self._channel is not None:
            self._channel.close()
            self._channel = None
        self._execute(actions)

    # Actions of the state machine

    def _execute(self, actions: tuple[PredecessorAction, ...]) -> None:
        for action in actions:
            self._handlers[action]()

    def _pause(self) -> None:
        self._paused_at_us = self._now_us()
        self._callbacks.on_forwarding_changed(True)
        self._server.pause()
        self._engine.handover.pause(self.forwarder)
        fault_point("frozen")
        delay_s = MAX_HANDOVER_PAUSE_US / 1e6 + TIMER_SLACK_S
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_pause_timer)

    def _export_state(self) -> None:
        if self._channel is not None:
            self._channel.send(write_message(StateExported(self._engine.handover.export_state())))
            fault_point("told state")

    def _resume(self) -> None:
        log.warning("handover cancelled: the successor was lost or too slow; this process resumes serving")
        self._cancel_timer()
        self._engine.handover.resume()
        self._callbacks.on_forwarding_changed(False)
        for message in self.forwarder.drain_queue():
            self._apply_queued(message)
        for request, on_answer in self.forwarder.drain_overrides():
            self._callbacks.apply_override(request.host, request.is_disabled, on_answer)
        self._resume_task = start_watched(self._server.resume(), "resumption of the HTTP server")

    def _apply_queued(self, message: HandoverMessage) -> None:
        match message:
            case AttemptOutcome():
                self._engine.handover.predecessor_attempt_ended(
                    message.message_id, message.host, message.result
                )
            case RetryAfterReceived():
                self._engine.attempts.retry_after_received(message.host, message.delay_us)
            case OutcomeDisputed():
                self._engine.attempts.outcome_disputed(
                    message.message_id, message.host, message.started_at_us
                )
            case DeliveryDisputed():
                self._engine.redelivery.delivery_disputed(message.delivery)

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
        paused_ms = (self._now_us() - self._paused_at_us) // 1000
        log.info("handover complete: the successor has taken over after a pause of %d ms", paused_ms)

    def _transfer(self) -> None:
        channel = self._channel
        if channel is None:
            return  # it was lost during the release
        if self._is_journal_only:
            self._engine.context.delivery.close()  # the successor counts calls in flight as broken
        self.forwarder.flush(self._is_journal_only)
        self._server.hand_over(
            lambda row, descriptor: channel.send(write_message(ClientTransferred(row)), [descriptor])
        )
        self._engine.context.delivery.close_all_idle_connections()
        fault_point("handed over")

    def _restart(self) -> None:
        log.error("handover: channel to the successor lost after it took over; restarting from the journal")
        self._callbacks.restart()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _now_us(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)
