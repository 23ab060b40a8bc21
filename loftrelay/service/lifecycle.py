"""Process of one relay: startup, serving until it is requested to stop, graceful shutdown or handover."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

from loftrelay.config.platform import Config
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.journal.journal import Journal
from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.shutdown_schedule import shutdown_schedule
from loftrelay.server.admin.commands import RelayAdmin
from loftrelay.server.admin.server import AdminServer
from loftrelay.server.http.server import HTTPServer
from loftrelay.service.assembly import build_engine
from loftrelay.service.configuration import ConfigurationReloader
from loftrelay.service.memory_guard import MemoryGuard
from loftrelay.state.disabled_hosts import DisabledHostsFile
from loftrelay.tasks.supervision import start_watched
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.receiver import HandoverReceiver
from loftrelay.upgrade.sender import HandoverSender, ServiceCallbacks

if TYPE_CHECKING:  # imported at runtime only if configured, which keeps other starts quick
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.gossip.settings import GossipSettings
    from loftrelay.service.gossip_member import GossipMember
    from loftrelay.store.recorder import Recorder
    from loftrelay.store.settings import StoreSettings

log = logging.getLogger("loftrelay")
T = TypeVar("T")

POLL_INTERVAL_S = 0.02  # between checks for unfinished work
MAX_RESOLUTION_WAIT_S = 1.0  # wait at startup for the destinations of recovered messages
MAX_REGISTRY_WAIT_S = 2.0  # wait at startup for a response of a registry
# For the store of record to close, also when no time is left; its messages stay in the journal.
MIN_STORE_CLOSE_S, MAX_STORE_CLOSE_S = 0.03, 1.0
EXIT_MARGIN_S = 0.2  # for the interpreter to exit
MAX_CATCH_UP_S = 1.0  # wait at startup for reports of messages whose deadline has passed


class StoppedBeforeServingError(Exception):
    """The process was requested to stop before it served."""


@dataclass(frozen=True, slots=True)
class OwnedState:
    """State folder of a relay that this process owns.

    Attributes:
        lock: Lock of the folder.
        journal: Journal in the folder.
        receiver: Receiver of messages from a predecessor; None without a shared listening
            socket, as there is no predecessor then.
    """

    lock: Lock
    journal: Journal
    receiver: HandoverReceiver | None


class RelayProcess:
    """Process of one relay.

    Args:
        config: Configuration of the platform.
        pool_settings: Limits of connections to hosts.
        store_settings: Settings of the store of record; None if the operator has configured none.
        gossip_settings: Settings of the fleet; None if the operator has configured none.
        subscription: Settings of the registries; None if the operator has configured none.

    Attributes:
        should_exit: Set when the process is to stop serving.
        owns_state: Whether the process owns the state when it exits.
        is_reload_pending: Whether a SIGHUP was received while the configuration could not be reloaded.
    """

    def __init__(
        self,
        config: Config,
        pool_settings: PoolSettings,
        store_settings: StoreSettings | None = None,
        gossip_settings: GossipSettings | None = None,
        subscription: SubscriptionSettings | None = None,
    ) -> None:
        self.config = config
        self.pool_settings = pool_settings
        self.store_settings = store_settings
        self.gossip_settings = gossip_settings
        self.subscription = subscription
        self.admin = RelayAdmin(DisabledHostsFile(config.state_dir))
        self.configuration = ConfigurationReloader(config)
        self.should_exit = asyncio.Event()
        self.owns_state = True
        self.is_reload_pending = False
        self.admin_server: AdminServer | None = None
        self.recorder: Recorder | None = None
        self.sender: HandoverSender | None = None
        self.gossip: GossipMember | None = None
        self.gossip_start: asyncio.Task[None] | None = None
        self.memory_watch: asyncio.Task[None] | None = None

    # Signals

    def terminate(self) -> None:
        """Handles SIGTERM and SIGINT."""
        if self.sender is not None:
            self.sender.request_stop()
        else:
            self.should_exit.set()

    def reload(self) -> None:
        """Handles SIGHUP: reloads the configuration, now or once this process makes the decisions."""
        engine = self.admin.engine
        if engine is not None and not engine.context.is_paused_for_handover:
            self.configuration.reload(engine)
            return
        self.is_reload_pending = True
        if self.sender is not None and not self.sender.is_owner:
            self.sender.forwarder.configuration_replaced()

    # Startup, serving, shutdown

    async def run(self) -> None:
        """Runs until the process is requested to stop.

        Raises:
            OSError: The relay can't serve.
        """
        await self._open_admin_server()
        try:
            state = await self._acquire_state()
            engine, server = await self.startup(state)
        except StoppedBeforeServingError:
            log.info("%s exits before it has served", self.config.name)
            return
        await self.should_exit.wait()
        started_at = asyncio.get_running_loop().time()
        schedule = shutdown_schedule(engine.context.settings.classes.values())
        await self.shutdown(engine, server)
        await self._close(engine, state, exit_at=started_at + schedule.exit)

    async def startup(self, state: OwnedState) -> tuple[Engine, HTTPServer]:
        """Starts the engine, reports overdue messages, and then listens for clients."""
        engine = await self._start_engine(state)
        server = HTTPServer(engine, self.config.max_client_connections)
        self._guard_memory(state, engine, server)
        address = await server.startup(self.config.listen, self.config.listen_fd)
        if state.receiver is not None:
            self._join_handover(state, engine, server)
        await self._join_gossip(engine)
        log.info("%s listens on %s:%d", self.config.name, *address)
        self.admin.is_serving = True
        fault_point("taken over")
        self._reload_if_pending(engine, state)
        return engine, server

    async def shutdown(self, engine: Engine, server: HTTPServer) -> None:
        """Stops serving, within the time before SIGKILL."""
        started_at = asyncio.get_running_loop().time()
        self.admin.is_serving = False
        if self.gossip_start is not None:
            self.gossip_start.cancel()
        if self.gossip is not None:
            self.gossip.close()
        if self.owns_state:
            await self._shut_down_gracefully(server, started_at)
        else:
            await self._finish_handover(engine, started_at)

    async def _close(self, engine: Engine, state: OwnedState, exit_at: float) -> None:
        messages = (
            f"{len(state.journal.messages)} messages in its journal" if self.owns_state else "no messages"
        )
        log.info("%s exits, keeping %s", self.config.name, messages)
        if self.memory_watch is not None:
            self.memory_watch.cancel()
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()
        if self.sender is not None:
            self.sender.close()
        if self.admin_server is not None:
            self.admin_server.close()
        if self.recorder is not None:
            time_left = exit_at - EXIT_MARGIN_S - asyncio.get_running_loop().time()
            await self.recorder.close(min(max(time_left, MIN_STORE_CLOSE_S), MAX_STORE_CLOSE_S))
        state.journal.close()
        state.lock.release()

    # Steps of the startup

    async def _open_admin_server(self) -> None:
        if self.config.admin_address is None:
            return
        self.admin_server = AdminServer(self.admin)
        address = await self.admin_server.listen(self.config.admin_address)
        log.info("%s accepts admin commands on %s:%d", self.config.name, *address)

    async def _acquire_state(self) -> OwnedState:
        """Acquires the state folder, by a handover if another process serves with the same listening socket.

        Raises:
            OSError: The folder can't be used, or another process owns it.
            StoppedBeforeServingError: The process was requested to stop meanwhile.
        """
        config = self.config
        if config.listen_fd is None:
            lock = Lock.acquire(config.state_dir)
            if lock is None:
                raise OSError(f"another process of this relay holds the lock of {config.state_dir}")
            return OwnedState(lock, Journal(config.state_dir, config.journal_bytes), None)
        receiver = HandoverReceiver(config.state_dir, config.journal_bytes, config.seed)
        journal = await self._unless_stopped(receiver.acquire())
        assert receiver.lock is not None
        return OwnedState(receiver.lock, journal, receiver)

    async def _unless_stopped(self, step: Coroutine[Any, Any, T]) -> T:
        """Runs a step of the startup; cancels it if the process is requested to stop.

        Raises:
            StoppedBeforeServingError: The process was requested to stop.
        """
        running = asyncio.ensure_future(step)
        stopped = asyncio.ensure_future(self.should_exit.wait())
        await asyncio.wait((running, stopped), return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if running.done():
            return running.result()
        running.cancel()
        await asyncio.wait((running,))
        raise StoppedBeforeServingError

    async def _start_engine(self, state: OwnedState) -> Engine:
        received_state = state.receiver.received_state if state.receiver is not None else None
        await self._open_store(state.journal)
        engine, _ = build_engine(
            self.config, self.pool_settings, state.journal, self.recorder, received_state, self.subscription
        )
        self.admin.engine = engine
        self.configuration.save()
        if self.subscription is not None:
            await self._subscribe(engine, has_predecessor=received_state is not None)
        if state.receiver is None:
            await self._catch_up(engine)
        return engine

    async def _open_store(self, journal: Journal) -> None:
        if self.store_settings is None:
            return
        from loftrelay.service.store_setup import open_store
        from loftrelay.store.backend import StoreError

        try:
            opening = open_store(self.config, self.store_settings, journal)
            self.recorder = await self._unless_stopped(opening)
        except StoreError as error:
            raise OSError(str(error)) from error

    async def _subscribe(self, engine: Engine, *, has_predecessor: bool) -> None:
        """Waits a limited time for a registry, and for the destinations of recovered messages.

        Without a response the relay still serves, and rejects the first messages of unknown destinations.
        """
        from loftrelay.discovery.subscriber import Subscriber

        subscriber = engine.context.subscription
        assert isinstance(subscriber, Subscriber)
        self.admin.metric_sources.append(subscriber.metric_lines)
        self.admin.metric_sources.append(lambda: [f"app.slices_parked={len(engine.intake.pending)}"])
        if has_predecessor:
            return
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while not self.should_exit.is_set() and loop.time() < started_at + MAX_REGISTRY_WAIT_S:
            if engine.recovery.unresolved and loop.time() >= started_at + MAX_RESOLUTION_WAIT_S:
                engine.recovery.replay()
            if subscriber.first_response.is_set() and not engine.recovery.unresolved:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        engine.recovery.replay()

    async def _catch_up(self, engine: Engine) -> None:
        """Reports messages whose deadline passed while the relay was down, before any client can connect.

        If the relay listened while its event loop is busy, clients would wait without a response; a refused
        connection tells them at once.
        """
        loop, interval = asyncio.get_running_loop(), engine.context.batch_loop.interval
        deadline = loop.time() + MAX_CATCH_UP_S
        await asyncio.sleep(interval)  # for the first batch
        while (
            engine.context.status_reporter.pending
            and loop.time() < deadline
            and not self.should_exit.is_set()
        ):
            await asyncio.sleep(interval)

    def _guard_memory(self, state: OwnedState, engine: Engine, server: HTTPServer) -> None:
        """Limits what peers can make this process use, if the platform gives a limit."""
        limit_bytes, receiver = self.config.memory_bytes, state.receiver
        if limit_bytes is None:
            return
        guard = MemoryGuard(
            limit_bytes,
            engine.context.memory,
            server,
            is_replaceable=receiver is not None,
            max_clients=self.config.client_descriptors,
            predecessor_pid=lambda: None if receiver is None else receiver.predecessor_pid,
        )
        guard.start()
        self.admin.metric_sources.append(guard.metric_lines)
        self.memory_watch = start_watched(guard.run(), "watch of memory")

    def _join_handover(self, state: OwnedState, engine: Engine, server: HTTPServer) -> None:
        """Applies messages that the predecessor still sends, and accepts requests for the next handover."""
        assert state.receiver is not None
        state.receiver.attach(engine, server.adopt, self.admin.set_disabled, self.reload)
        if self.recorder is not None:
            return  # records that the store has not confirmed yet can't be handed over
        callbacks = ServiceCallbacks(
            self._on_forwarding_changed, self.admin.set_disabled, self._request_exit, _restart
        )
        self.sender = HandoverSender(self.config.state_dir, state.lock, engine, server, callbacks)

    async def _join_gossip(self, engine: Engine) -> None:
        """Joins the fleet; while there is a predecessor, once that has closed its socket."""
        if self.gossip_settings is None:
            return
        from loftrelay.service.gossip_member import GossipMember

        config, has_predecessor = self.config, self.config.listen_fd is not None
        apply_override = self.admin.apply_fleet_override
        self.gossip = GossipMember(
            self.gossip_settings, config.name, config.state_dir, engine, apply_override
        )
        self.admin.metric_sources.append(self.gossip.metric_lines)
        self.gossip_start = start_watched(self.gossip.start(wait=has_predecessor), "start of gossip")
        if not has_predecessor:
            await self.gossip_start

    def _reload_if_pending(self, engine: Engine, state: OwnedState) -> None:
        if self.is_reload_pending:
            self.is_reload_pending = False
            self.reload()
        elif state.receiver is not None and state.receiver.received_state is not None:
            self.configuration.reload_if_replaced(engine)

    # Steps of the shutdown

    async def _shut_down_gracefully(self, server: HTTPServer, started_at: float) -> None:
        loop, engine = asyncio.get_running_loop(), server.engine
        schedule = shutdown_schedule(engine.context.settings.classes.values())
        server.keeps_idle_connections = True
        await asyncio.sleep(started_at + schedule.last_call - loop.time())
        engine.intake.stop()
        log.info("%s: graceful shutdown, no new attempts", self.config.name)
        await asyncio.sleep(started_at + schedule.last_admission - loop.time())
        await server.shutdown()
        await self._wait_for_work(engine, server, started_at + schedule.last_response)
        server.reject_remaining()
        await self._wait_for_work(engine, server, started_at + schedule.exit)
        while loop.time() < started_at + schedule.exit and engine.has_unsettled_deliveries:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_work(self, engine: Engine, server: HTTPServer, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline and (engine.has_unfinished_work or server.has_clients):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _finish_handover(self, engine: Engine, started_at: float) -> None:
        """Waits for calls in flight and for disputes of deliveries, which are forwarded to the successor."""
        assert self.sender is not None
        schedule = shutdown_schedule(engine.context.settings.classes.values())
        loop = asyncio.get_running_loop()
        delivery = engine.context.delivery
        while delivery.is_busy or not delivery.is_settled or self.sender.has_unfinished_work:
            if loop.time() >= started_at + schedule.exit:
                break
            await asyncio.sleep(POLL_INTERVAL_S)

    # Callbacks of a handover

    def _on_forwarding_changed(self, is_forwarding: bool) -> None:
        """Starts or stops forwarding operators' commands, while another process makes the decisions."""
        assert self.sender is not None
        self.admin.owner = self.sender.forwarder if is_forwarding else None
        self.admin.is_serving = not is_forwarding
        if not is_forwarding and self.is_reload_pending:
            self.is_reload_pending = False
            self.reload()

    def _request_exit(self, owns_state: bool) -> None:
        self.owns_state = owns_state
        self.should_exit.set()


def _restart() -> None:
    """Restarts this program in the same process, whose id the platform keeps monitoring."""
    sys.stderr.flush()
    os.execv(sys.executable, sys.orig_argv)
