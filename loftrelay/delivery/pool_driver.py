"""Executes the actions of the connection pool on sockets and reports socket events to the pool."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from functools import partial

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.connection_pool.actions import (
    Action,
    CloseConnection,
    ConnectFailure,
    FailCall,
    LogLine,
    OpenConnection,
    PoolErrorKind,
    UseConnection,
)
from loftrelay.delivery.connection_pool.manager import PoolManager
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_call import HostCall, OpenedConnection, PoolError
from loftrelay.delivery.recent_responses import RecentResponses, RetainedBodies
from loftrelay.delivery.retired_connections import RetiredConnections
from loftrelay.delivery.settlement import SETTLING_TIME_US, DeliveryEvents, Settlement, now_us
from loftrelay.net.address import Address
from loftrelay.net.http import Connection
from loftrelay.net.unsolicited import UnsolicitedData
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.stall_detector import StallDetector
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

DESCRIPTOR_SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
READ_LOOP_ITERATIONS = 4  # the event loop needs one to see that a socket is readable, and one to read it


class PoolDriver:
    """Owns the sockets, the connects in progress, the timer of the pool and the waiting calls.

    Times passed to the pool are microseconds on the clock of the event loop; `connect_timeout` is in
    seconds.
    """

    def __init__(
        self,
        settings: PoolSettings,
        seed: int,
        connect_timeout: float,
        stall_detector: StallDetector,
        on_disputed: Callable[[str, str, int], None],
        delivery_events: DeliveryEvents,
    ) -> None:
        self.pool = PoolManager(settings, seed)
        self.connect_timeout = connect_timeout
        self.stall_detector = stall_detector
        self.on_disputed = on_disputed
        self.retained_bodies = RetainedBodies()
        self.settlement = Settlement(lambda: self.connections.values(), delivery_events)
        on_ended = partial(self.settlement.connection_ended, is_idle=True)
        self.retired = RetiredConnections(self._dispute, on_ended)
        self.addresses: dict[str, Address] = {}
        self.connections: dict[int, OpenedConnection] = {}
        self.connecting: dict[int, asyncio.Task[None]] = {}
        self.waiting: dict[int, HostCall] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.is_closing = False

    def now_us(self) -> int:
        """Returns the time of the event loop in microseconds."""
        return now_us()

    # Pool actions

    def execute(self, actions: list[Action]) -> None:
        """Executes actions in order.

        The pool gets no event before the last action is done, because `actions` is the pool's own list.
        """
        unused: list[int] = []
        for action in actions:
            match action:
                case UseConnection(number, connection):
                    if not self._grant(number, action):
                        unused.append(connection)
                case FailCall(number, kind):
                    self.waiting.pop(number).fail_lease(PoolError(kind))
                case OpenConnection(host, number):
                    self.connecting[number] = start_watched(self._connect(host, number), f"{host}: connect")
                case CloseConnection(number):
                    self.close_connection(number)
                    if task := self.connecting.pop(number, None):
                        task.cancel()
                case LogLine(text):
                    log.warning("%s", text)
        for connection in unused:
            self.release_unused(connection)
        self._set_timer()

    def _grant(self, number: int, use: UseConnection) -> bool:
        """Gives a connection to a waiting call.

        Returns:
            Whether the call took it. Its time may have run out before its task ran again.
        """
        lease = self.waiting.pop(number).lease
        assert lease is not None
        if lease.done():
            return False
        lease.set_result(use)
        return True

    def _set_timer(self) -> None:
        at = self.pool.next_timer_at
        if at is None or self.is_closing or (self.timer is not None and at >= self.timer_at):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_at(at / 1e6, self._run_timers)

    def _run_timers(self) -> None:
        self.timer = None
        self.execute(self.pool.run_timers(max(self.now_us(), self.timer_at)))

    # Connects

    async def _connect(self, host: str, number: int) -> None:
        failure = ConnectFailure.REFUSED
        try:
            connection = await self._open(host)
        except TimeoutError:
            failure = ConnectFailure.TIMED_OUT
        except OSError as error:
            if error.errno in DESCRIPTOR_SHORTAGE_ERRNOS:
                failure = ConnectFailure.NO_DESCRIPTORS
        except Exception:
            # A bug: without an event the pool would count this connect as being under way forever.
            log.exception("%s: connect failed by an internal error", host)
        else:
            self.connecting.pop(number, None)
            recent_responses = RecentResponses(self.retained_bodies, self.settlement.settled)
            self.connections[number] = OpenedConnection(host, connection, recent_responses)
            connection.collects_surplus = True
            connection.on_unsolicited = partial(self.handle_unsolicited, number)
            self.execute(self.pool.connected(number, self.now_us()))
            return
        self.connecting.pop(number, None)
        self.execute(self.pool.connect_failed(number, failure, self.now_us()))

    async def _open(self, host: str) -> Connection:
        """Connects to the host; tries once more if the process was suspended during the timeout.

        Raises:
            OSError: The connect failed or timed out (TimeoutError).
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            return await Connection.open(self.addresses[host], self.connect_timeout)
        except TimeoutError:
            self.stall_detector.check(loop.time())
            if not self.stall_detector.has_stalled_since(started_at):
                raise
        return await Connection.open(self.addresses[host], self.connect_timeout)

    # Connections for calls

    async def acquire(self, call: HostCall) -> int:
        """Leases a usable connection to the call and returns its number.

        Raises:
            CallError: No connection is available, or the wait was ended by `HostCall.fail_lease`.
        """
        while True:
            use = await self._lease(call)
            opened = self.connections.get(use.connection)
            if opened is not None and opened.connection.is_usable():
                call.connection_idle = use.idle
                return use.connection
            await self.close_unusable_connection(use.connection)
            if use.idle == 0:  # a new connection that was closed at once counts as refused
                raise PoolError(PoolErrorKind.NO_CONNECTION)

    async def _lease(self, call: HostCall) -> UseConnection:
        lease = call.lease = asyncio.get_running_loop().create_future()
        self.waiting[call.number] = call
        options = call.options
        self.execute(
            self.pool.acquire(
                call.number, call.host, options.is_at_most_once, options.max_connection_idle, self.now_us()
            )
        )
        use: UseConnection | None = None
        try:
            use = await lease
            if use.delay:
                await asyncio.sleep(use.delay / 1e6)
        except asyncio.CancelledError:
            if use is None and lease.done() and not lease.cancelled():
                use = lease.result()
            if use is not None:
                self.release_unused(use.connection)
            raise
        return use

    def cancel(self, call: HostCall) -> None:
        """Ends the wait of the call for a connection, if it still waits."""
        if self.waiting.pop(call.number, None) is not None and not self.is_closing:
            self.execute(self.pool.cancel(call.number, self.now_us()))

    def is_waiting_for_release(self, call: HostCall) -> bool:
        """Whether the call waits for other calls to release connections to its host."""
        return call.number in self.waiting and self.pool.is_waiting_for_release(call.number)

    def release_unused(self, number: int) -> None:
        """Returns a connection to the pool on which no byte of its call was written."""
        self.execute(self.pool.release_unused(number, self.now_us()))

    def discard(self, number: int, is_reset: bool, now: int) -> None:
        """Closes the connection of a call that ended without a valid response."""
        if opened := self.connections.get(number):
            self.settlement.connection_ended(opened, is_idle=False)
        self.close_connection(number)
        self.execute(self.pool.connection_lost(number, is_reset, now))

    def close_answered(self, number: int, now: int) -> None:
        """Closes a connection that its host closes with, or right behind, a valid response."""
        self.close_connection(number)
        self.execute(self.pool.connection_lost(number, False, now))

    async def close_unusable_connection(self, number: int) -> None:
        """Closes a leased connection that proved unusable.

        Data that has arrived is read first, to tell an unsolicited response from a close by the host.
        """
        if opened := self.connections.get(number):
            opened.is_in_call = False
        try:
            for _ in range(READ_LOOP_ITERATIONS):
                if number not in self.connections:
                    return
                await asyncio.sleep(0)
        finally:
            self.handle_unsolicited(number, UnsolicitedData.CLOSED)

    def handle_unsolicited(self, number: int, data: UnsolicitedData, is_trailing: bool = False) -> None:
        """Closes a connection on which unsolicited data arrived, and reports the data to the pool.

        `is_trailing`: the data arrived together with the end of a response.
        """
        if (opened := self.connections.get(number)) is None:
            return
        if opened.is_in_call:  # it follows a response that is not processed yet
            if data is not UnsolicitedData.CLOSED:
                opened.connection.unsolicited_data = data
            return
        if data is UnsolicitedData.CLOSED:
            self.settlement.connection_ended(opened, is_idle=True)
            self.close_connection(number)
            self.execute(self.pool.closed_by_peer(number, self.now_us()))
            return
        opened.connection.unsolicited_data = data
        if data is UnsolicitedData.RESPONSE:
            self._retire(number, opened, is_trailing)
            return
        self.close_connection(number)
        self.execute(self.pool.unsolicited_data_received(number, False, self.now_us(), is_trailing))

    def _retire(self, number: int, opened: OpenedConnection, is_trailing: bool) -> None:
        """Sends nothing more on a connection with a surplus response, and reads what else comes."""
        del self.connections[number]
        opened.connection.on_unsolicited = None
        self.execute(self.pool.unsolicited_data_received(number, True, self.now_us(), is_trailing))
        self._dispute(opened, opened.connection.is_unsolicited_ok)
        self.retired.add(number, opened)

    def _dispute(self, opened: OpenedConnection, is_surplus_ok: bool) -> None:
        """Disputes earlier responses on the connection, which may have belonged to other calls."""
        responses = opened.recent_responses.disputed(is_surplus_ok)
        if not responses:
            return
        names = ", ".join(f"{response.message.id} ({response.status.value})" for response in responses)
        log.error(
            "%s: unsolicited response received; results of earlier calls on this connection are doubtful: %s",
            opened.host,
            names,
        )
        for response in responses:
            if response.status in (AttemptStatus.REJECTED, AttemptStatus.NOT_SENT):
                self.on_disputed(response.message.id, opened.host, response.sent_at)
            elif response.status is AttemptStatus.OK:
                self.settlement.disputed(opened, response)

    # Closing

    def close_connection(self, number: int) -> None:
        """Closes the socket of a connection, without an event for the pool."""
        if opened := self.connections.pop(number, None):
            opened.connection.on_unsolicited = None
            opened.connection.close()
            opened.recent_responses.clear()

    def unsettled_connections(self) -> set[int]:
        """Returns the connections with a delivery of the last SETTLING_TIME_US, which may be disputed."""
        since = wall_clock() - SETTLING_TIME_US
        return {
            number
            for number, opened in self.connections.items()
            if opened.recent_responses.has_delivery_since(since)
        }

    def close_unused(self) -> None:
        """Closes the sockets of all connections that are in no call and have no unsettled delivery."""
        unsettled = self.unsettled_connections()
        for number, opened in list(self.connections.items()):
            if not opened.is_in_call and number not in unsettled:
                self.close_connection(number)

    def close(self) -> None:
        """Cancels all connects and the timer, and closes all sockets."""
        for task in self.connecting.values():
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self.settlement.close()
        self.retired.close()
        for opened in self.connections.values():
            opened.connection.on_unsolicited = None
            opened.connection.close()
