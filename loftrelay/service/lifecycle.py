"""One relay from its start to its end: takes the state over, serves, and hands it on or keeps it."""

from __future__ import annotations

import asyncio
import logging
import os
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from loftrelay.config.platform import Config, ConfigError, reload_config
from loftrelay.delivery.connection_pool import Limits
from loftrelay.journal.journal import Journal
from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.shutdown_schedule import shutdown_schedule
from loftrelay.server.admin.commands import RelayAdmin
from loftrelay.server.admin.server import AdminServer
from loftrelay.server.http.server import HTTPServer
from loftrelay.service.assembly import build
from loftrelay.state.hosts_out import HostsOut
from loftrelay.state.last_config import LastFile
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.receiver import HandoverReceiver
from loftrelay.upgrade.sender import HandoverSender, ServiceCallbacks

if TYPE_CHECKING:
    from loftrelay.discovery.settings import SubscriptionSettings
    from loftrelay.gossip.settings import GossipSettings
    from loftrelay.service.gossip_member import GossipMember
    from loftrelay.store.settings import RecordSettings

log = logging.getLogger("loftrelay")

LOOK = 0.02  # seconds between looks at what is still out
# Seconds for which a start waits at the most for what it held to have its destinations, and for a registry.
RECOVER, REGISTRY = 1.0, 2.0
CATCH_UP = 1.0  # seconds at the most for which a start tells what ran out of time, before it is ready


class Stopped(Exception):
    """It was told to end before it served."""


class Service:
    def __init__(
        self,
        config: Config,
        connections: Limits,
        record: RecordSettings | None = None,
        fleet: GossipSettings | None = None,
        subscription: SubscriptionSettings | None = None,
    ) -> None:
        self.config, self.connections, self.record, self.fleet = config, connections, record, fleet
        self.subscription = subscription
        self.joined: GossipMember | None = None
        self.relay = RelayAdmin(HostsOut(config.state_dir))
        self.last = LastFile(config.state_dir)
        self.told: Mapping[str, Any] = config.document  # the file in force
        self.ending = asyncio.Event()
        self.owns = True  # of what it ends with
        self.to_read = False  # SIGHUP came before anything could be read again
        self.giver: HandoverSender | None = None

    # Signals

    def terminate(self) -> None:
        if self.giver is not None:
            self.giver.request_stop()
        else:
            self.ending.set()

    def read_again(self) -> None:
        engine = self.relay.engine
        if engine is None or engine.context.outcome_forwarder is not None:
            self.to_read = True  # once it serves, or serves again
            if self.giver is not None and not self.giver.is_owner:
                self.giver.forwarder.configuration_replaced()
            return
        try:
            change = reload_config(os.environ, self.told)
        except ConfigError as error:
            engine.context.metrics.sighup_rejected += 1
            log.error("the configuration stays as it was: %s", error)
            return
        self.told = change.document
        self.last.save(change.document)
        if self.record is not None:
            from loftrelay.service.store_setup import modes

            self.recorder.modes = {**self.recorder.modes, **modes(change.settings, self.record)}
        engine.apply_settings(change.settings, change.discovery)
        engine.context.metrics.sighup_applied += 1

    # From start to end

    async def run(self) -> None:
        """Raises OSError where it can't serve."""
        config = self.config
        door = await self._open_door()
        taker: HandoverReceiver | None = None
        lock: Lock | None
        if config.listen_fd is None:
            if (lock := Lock.acquire(config.state_dir)) is None:
                raise OSError(f"another process of this relay holds {config.state_dir}")
            journal = Journal(config.state_dir, config.journal_bytes)
        else:
            taker = HandoverReceiver(config.state_dir, config.journal_bytes, config.seed)
            try:
                journal = await self._unless_stopped(taker)
            except Stopped:
                return
            lock = taker.lock
        assert lock is not None
        recorder = None
        if self.record is not None:
            from loftrelay.service.store_setup import open_record
            from loftrelay.store.backend import StoreError  # with its database, only where it is used

            try:
                recorder = self.recorder = await open_record(config, self.record, journal)
            except StoreError as error:
                raise OSError(str(error)) from error
        handed = taker.received_state if taker is not None else None
        engine, journal = build(config, self.connections, journal, recorder, handed, self.subscription)
        self.relay.engine = engine
        self.last.save(self.told)
        if self.subscription is not None:
            await self._subscribe(engine, handed is not None)
        if taker is None:
            await self._catch_up(engine)
        server = HTTPServer(engine, config.max_client_connections)
        address = await server.startup(config.listen, config.listen_fd)
        if taker is not None:
            taker.attach(engine, server.adopt, self.relay.set_disabled, self.read_again)
            if recorder is None:  # what the store has not said yet can't be handed over
                self.giver = HandoverSender(
                    config.state_dir,
                    lock,
                    engine,
                    server,
                    ServiceCallbacks(self._moved, self.relay.set_disabled, self._stop, self._take_back),
                )
        joining = await self._join(engine) if self.fleet is not None else None
        log.info("%s listens on %s:%d", config.name, *address)
        self.relay.is_serving = True
        fault_point("taken over")
        if self.to_read:
            self.to_read = False
            self.read_again()
        elif handed is not None:
            self._read_what_was_missed(engine)
        await self.ending.wait()
        began = asyncio.get_running_loop().time()
        self.relay.is_serving = False
        if joining is not None:
            joining.cancel()
        if self.joined is not None:
            self.joined.close()
        if self.owns:
            await self._end_in_order(server, began)
        else:
            assert self.giver is not None
            end = began + shutdown_schedule(engine.context.settings.classes.values()).exit
            while engine.context.delivery.is_busy or self.giver.has_unfinished_work:
                if asyncio.get_running_loop().time() >= end:
                    break
                await asyncio.sleep(LOOK)
        held = f"{len(journal.messages)} messages in its journal" if self.owns else "nothing of its own"
        log.info("%s ends with %s", config.name, held)
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()
        if self.giver is not None:
            self.giver.close()
        if door is not None:
            door.close()
        if recorder is not None:
            await recorder.close()
        journal.close()
        lock.release()

    async def _catch_up(self, engine: Engine) -> None:
        """What ran out of time while the relay was away is told before any client comes.

        Trouble: on a starved machine relays listened and then did not run for up to 2.2 s. Clients waited in
        vain for an answer, where a refused connection would have told them at once; and ends of recovered
        messages were overdue though the relay counted as ready.
        """
        end = asyncio.get_running_loop().time() + CATCH_UP
        await asyncio.sleep(
            engine.context.loop.interval
        )  # the first turn: a wait, so that it runs when the process does
        while (
            engine.context.status_reporter.pending
            and asyncio.get_running_loop().time() < end
            and not self.ending.is_set()
        ):
            await asyncio.sleep(engine.context.loop.interval)

    async def _subscribe(self, engine: Engine, handed: bool) -> None:
        """It serves once a registry has answered. With none that does it serves all the same after a while:
        what it holds it goes on with, and first messages are refused with when to come back.
        """
        from loftrelay.discovery.subscriber import Subscriber

        subscriber = engine.context.subscription
        assert isinstance(subscriber, Subscriber)
        self.relay.metric_sources.append(subscriber.figure_lines)
        self.relay.metric_sources.append(lambda: [f"app.slices_parked={len(engine.intake.pending)}"])
        if handed:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        while not self.ending.is_set() and loop.time() < began + REGISTRY:
            if engine.recovery.unresolved and loop.time() >= began + RECOVER:
                engine.recovery.replay()
            if subscriber.answered.is_set() and not engine.recovery.unresolved:
                break
            await asyncio.sleep(LOOK)
        engine.recovery.replay()

    def _read_what_was_missed(self, engine: Engine) -> None:
        """The file may have been replaced, and SIGHUP sent to the process before, since this one read it."""
        try:
            change = reload_config(os.environ, self.told)
        except ConfigError:
            return  # what is in force stays
        if change.document != self.told:
            self.told = change.document
            self.last.save(change.document)
            engine.apply_settings(change.settings, change.discovery)

    async def _join(self, engine: Engine) -> asyncio.Task[None]:
        """Takes part in the fleet; beside a process that ends, once that has given its socket up."""
        from loftrelay.service.gossip_member import GossipMember  # with its encoding, only where it is used

        assert self.fleet is not None
        config, beside = self.config, self.config.listen_fd is not None
        self.joined = GossipMember(
            self.fleet, config.name, config.state_dir, engine, self.relay.apply_fleet_override
        )
        self.relay.metric_sources.append(self.joined.metric_lines)
        starting = asyncio.create_task(self.joined.start(wait=beside))
        if not beside:
            await starting
        return starting

    async def _open_door(self) -> AdminServer | None:
        if self.config.admin_address is None:
            return None
        door = AdminServer(self.relay)
        address = await door.listen(self.config.admin_address)
        log.info("%s is open to operators on %s:%d", self.config.name, *address)
        return door

    async def _unless_stopped(self, taker: HandoverReceiver) -> Journal:
        own = asyncio.ensure_future(taker.acquire())
        stopped = asyncio.ensure_future(self.ending.wait())
        await asyncio.wait((own, stopped), return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if own.done():
            return own.result()
        own.cancel()
        raise Stopped

    async def _end_in_order(self, server: HTTPServer, began: float) -> None:
        loop, engine = asyncio.get_running_loop(), server.engine
        schedule = shutdown_schedule(engine.context.settings.classes.values())
        server.keeps_idle_connections = True
        await asyncio.sleep(began + schedule.last_call - loop.time())
        engine.intake.stop()
        log.info("%s begins no more calls", self.config.name)
        await asyncio.sleep(began + schedule.last_admission - loop.time())
        await server.shutdown()
        while loop.time() < began + schedule.last_answer and (
            engine.has_unfinished_work or server.has_clients
        ):
            await asyncio.sleep(LOOK)
        server.reject_remaining()
        while loop.time() < began + schedule.exit and (engine.has_unfinished_work or server.has_clients):
            await asyncio.sleep(LOOK)

    # What the handover asks

    def _moved(self, away: bool) -> None:
        self.relay.owner = self.giver.forwarder if away and self.giver is not None else None
        self.relay.is_serving = not away
        if not away and self.to_read:
            self.to_read = False
            self.read_again()

    def _stop(self, owns: bool) -> None:
        self.owns = owns
        self.ending.set()

    def _take_back(self) -> None:
        """A new start in the same process: the platform goes on knowing it by its id."""
        sys.stderr.flush()
        os.execv(sys.executable, sys.orig_argv)
