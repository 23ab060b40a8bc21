"""HTTP server of one relay: startup, shutdown, connection limit, and handover to another process."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from typing import Any

from loftrelay.memory.account import MemoryUse
from loftrelay.net.address import Address
from loftrelay.relay.engine import Engine
from loftrelay.server.http.connection import (
    FIRST_READ_BYTES,
    NO_PLACES,
    ClientConnection,
)
from loftrelay.server.http.connection_state import ClientKind, ConnectionState
from loftrelay.server.http.connection_table import ConnectionTable
from loftrelay.server.http.listener import Listener
from loftrelay.server.http.memory_grants import MemoryGrants
from loftrelay.server.http.request_memory import RequestMemory
from loftrelay.tasks.supervision import run_isolated

log = logging.getLogger(__name__)

TIMEOUT_CHECK_INTERVAL_S = 0.2
CONNECTION_BYTES = 6 << 10  # memory of a connection: its objects, its transport, and a small request
CONNECTIONS_FRACTION = 1 / 3  # of the memory that peers may use
WAITING_FRACTION = 1 / 8  # of it, for what was read from clients that wait for more
MIN_CLIENTS = 24
MAX_HANDED_OVER_BYTES = 256 << 10  # of unfinished requests, which are copied for the other process

# Transfers a connection: its state as JSON, and its descriptor, which is duplicated.
TransferConnection = Callable[[dict[str, Any], int], None]


class HTTPServer:
    """Serves clients of a relay.

    Args:
        engine: Engine that messages are submitted to.
        max_clients: Maximum number of connections; beyond it, an idle or the new connection is closed.

    Attributes:
        connections: All connections.
        request_memory: Memory of unfinished requests.
        memory_grants: Grants it in turn, and rejects requests in favor of others.
        closed_clients: Number of connections that have ended.
        keeps_idle_connections: Whether idle connections stay open, since no new ones will be accepted.
        is_shutting_down: Whether each response closes its connection.
        is_paused: Whether nothing is accepted or read, during a handover.
    """

    def __init__(self, engine: Engine, max_clients: int) -> None:
        self.engine = engine
        self.connections = ConnectionTable(max_clients)
        self.request_memory = RequestMemory(engine.context.memory, self.connections)
        self.memory_grants = MemoryGrants(self.request_memory)
        self.closed_clients = 0
        engine.context.memory.add_source(MemoryUse.CONNECTIONS, self._connection_bytes)
        self.listener = Listener(lambda: ClientConnection(self))
        self.keeps_idle_connections = False
        self.is_shutting_down = False
        self.is_paused = False
        self.timeout_timer: asyncio.TimerHandle | None = None
        self._transfer: TransferConnection | None = None  # set once connections are handed over
        self._handover_bytes = MAX_HANDED_OVER_BYTES  # left for unfinished requests

    # Startup and shutdown

    async def startup(self, address: Address, inherited_fd: int | None = None) -> Address:
        """Listens for clients.

        Args:
            address: Local address; port 0 selects a free port.
            inherited_fd: Descriptor of a listening socket that is shared with other processes of the relay;
                the address is not used then.

        Returns:
            The address in use.

        Raises:
            OSError: The address or the descriptor can't be used.
        """
        local_address = self.listener.open(address, inherited_fd)
        self._check_timeouts()
        return local_address

    async def shutdown(self) -> None:
        """Accepts queued connections and closes idle ones; open requests still get their responses.

        New clients without a request stay connected, since they may be about to send one.
        """
        self.is_shutting_down = True
        await self.listener.drain_and_close()
        for client in self.connections.active():
            if client.is_evictable and not self.connections.is_new(client):
                client.close()

    def reject_remaining(self) -> None:
        """Responds with 503 to all clients that wait for a response, since the process is about to exit."""
        for client in self.connections.active():
            client.reject("the relay ends")

    @property
    def has_clients(self) -> bool:
        """Whether any connection is left, active or lingering."""
        return not self.connections.is_empty

    # Handover between processes

    def pause(self) -> None:
        """Stops accepting and reading; data from clients waits in their sockets."""
        self.is_paused = True
        self.listener.close()
        for client in self.connections.active():
            if client.transport is not None and not client.is_closing:
                client.transport.pause_reading()

    async def resume(self) -> None:
        """Accepts and reads again after `pause`."""
        self.is_paused = False
        for client in self.connections.active():
            client.resume_reading()
        self.listener.reopen()

    def hand_over(self, transfer: TransferConnection) -> None:
        """Hands over each connection that another process can continue, and closes the others.

        A connection that is accepted or adopted afterwards is handed over as well.
        """
        self._transfer = transfer
        for kind in reversed(ClientKind):  # regular clients first
            for client in self.connections.of_kind(kind):
                self._transfer_connection(client, kind, transfer)

    async def adopt(self, row: Mapping[str, Any], fd: int) -> None:
        """Continues a connection of another process, whose descriptor the server owns from now on.

        Raises:
            KeyError: The row is invalid; the caller still owns the descriptor.
            ValueError: As KeyError.
        """
        state = ConnectionState.read(row, fd)
        sock = socket.socket(fileno=state.fd)
        try:
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(lambda: ClientConnection(self, state), sock)
        except OSError:  # the client has disconnected
            sock.close()

    def _transfer_connection(
        self, client: ClientConnection, kind: ClientKind, transfer: TransferConnection
    ) -> None:
        state = client.handover_state(kind)
        if state is not None and len(state.partial_request) <= self._handover_bytes:
            self._handover_bytes -= len(state.partial_request)
            try:
                transfer(state.row(), state.fd)
            except OSError as error:  # no descriptor is left for the duplicate
                log.warning("client connection closed, it can't be handed over: %s", error)
                client.close()
                return
            self.connections.remove(client)
            client.is_closing = True  # in this process only
            client.abort()
        elif client.is_receiving:
            client.reject("the relay is being replaced")
        elif not client.is_closing:
            client.close()

    # Events of connections

    def on_connected(self, client: ClientConnection) -> None:
        """Adds a connection; if the limit is exceeded, closes an idle one or rejects the new one."""
        self.add(client, ClientKind.NEW)
        if not self.connections.is_over_limit:
            return
        evicted = self.connections.choose_eviction(client, asyncio.get_running_loop().time())
        if evicted is client or evicted.is_receiving:
            self.memory_grants.note_crowd()
            evicted.reject(NO_PLACES)
        else:
            evicted.close()

    def on_connected_while_paused(self, client: ClientConnection, kind: ClientKind) -> None:
        """Hands over a connection that was still being attached when the others were handed over."""
        if self._transfer is not None:
            self._transfer_connection(client, kind, self._transfer)

    def on_response(self, client: ClientConnection) -> None:
        """Updates the kind of a client that has got a response and may send another request."""
        self.add(client, ClientKind.ONCE if self.connections.is_new(client) else ClientKind.REGULAR)

    def on_disconnected(self, client: ClientConnection) -> None:
        """Removes a connection that has ended, and releases its memory."""
        self.closed_clients += 1
        self.connections.remove(client)
        self.memory_grants.release(client)

    def on_lingering(self, client: ClientConnection) -> None:
        """Records that a connection has begun its lingering close; ends the oldest if there are too many."""
        oldest = self.connections.add_lingering(client)
        if oldest is not None:
            oldest.end_lingering()

    def add(self, client: ClientConnection, kind: ClientKind) -> None:
        """Adds a connection, or moves it to the end of its kind."""
        self.connections.add(client, kind, asyncio.get_running_loop().time())

    # Memory

    def limit_connections(self, max_clients: int, free_bytes: int) -> None:
        """Limits the number of connections to what a part of the free memory can hold.

        Args:
            max_clients: Limit that the descriptors set.
            free_bytes: Memory that clients may still use, beside the messages that are held.
        """
        limit = max(MIN_CLIENTS, int(free_bytes * CONNECTIONS_FRACTION) // CONNECTION_BYTES)
        self.connections.limit = min(max_clients, limit)
        max_waiting = max(MIN_CLIENTS, int(free_bytes * WAITING_FRACTION) // FIRST_READ_BYTES)
        self.request_memory.max_waiting = max_waiting

    def _connection_bytes(self) -> int:
        connections = self.connections.active_count + len(self.connections.lingering)
        return connections * CONNECTION_BYTES + self.request_memory.waiting_count * FIRST_READ_BYTES

    # Timeouts

    def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        self.timeout_timer = loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        self.engine.context.stall_detector.check(loop.time())
        self.engine.context.stall_detector.expect_run_at(self.timeout_timer.when())
        for client in (*self.connections.active(), *self.connections.lingering):
            if client.deadline <= loop.time() and (client.is_closing or not self.is_paused):
                run_isolated(client.on_timeout, "timeout of a client connection")
