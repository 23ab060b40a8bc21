"""HTTP server of a registry: handles calls of relays and ends their watches when the list changes."""

from __future__ import annotations

import asyncio
import math
import socket
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus

import h11

from loftrelay.net.address import Address
from loftrelay.registry import protocol
from loftrelay.registry.catalog import Catalog
from loftrelay.registry.client_connection import ClientConnection
from loftrelay.registry.protocol import (
    FullListRequest,
    ProtocolError,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
)
from loftrelay.registry.subscriptions import (
    RequestRejectedError,
    Subscriptions,
    SubscriptionUpdate,
    WaitingWatch,
)
from loftrelay.tasks.supervision import run_isolated, start_supervised

READY_PATH = "/health/ready"
METRICS_PATH = "/figures"
MAX_TARGET_BYTES = 16 << 10
MAX_FULL_LIST_BYTES = 1 << 20  # largest list that a relay without a subscription accepts
SWEEP_INTERVAL_S = 0.2
MAX_FUTURE_REVISION_WAIT_S = 0.2  # for a watch since a revision that this registry does not have yet
SHUTDOWN_TIMEOUT_S = 2.0  # for clients to read the last responses
SHUTDOWN_POLL_S = 0.01
MAX_ACCEPTS_PER_TURN = 64
LISTEN_BACKLOG = 1024
MAX_TURN_S = 0.005  # for responses to watches in one turn of the event loop
NO_LIST = "no list of discovery yet"


class RegistryServer:
    """HTTP server of a registry.

    Attributes:
        catalog: The endpoint list.
        subscriptions: The relays' subscriptions.
        clients: All client connections.
        counts: Counters of bytes, pages and responses.
        is_stopping: Whether the registry is shutting down.
    """

    def __init__(
        self,
        catalog: Catalog,
        subscriptions: Subscriptions,
        age: Callable[[], float],
        metric_lines: Callable[[], list[str]],
        idle_timeout: float,
    ) -> None:
        """Initializes a server that does not listen yet.

        Args:
            catalog: The endpoint list.
            subscriptions: The relays' subscriptions.
            age: Returns the seconds since discovery's last response.
            metric_lines: Returns further lines for the metrics page.
            idle_timeout: Seconds without a call after which a connection is closed.
        """
        self.catalog, self.subscriptions = catalog, subscriptions
        self.age, self.metric_lines, self.idle_timeout = age, metric_lines, idle_timeout
        self.clients: dict[ClientConnection, None] = {}
        self.counts: Counter[str] = Counter()
        self.is_stopping = False
        self.listener: asyncio.Server | None = None
        self._full_list_watches: dict[ClientConnection, None] = {}
        self._due_watches: deque[WaitingWatch | ClientConnection] = deque()  # to be ended after a change
        self._is_ending_watches = False
        self._sweeper: asyncio.Task[None] | None = None

    # Lifecycle

    async def listen(self, address: Address) -> Address:
        """Starts to listen and returns the address, with the port chosen in place of port 0.

        Raises:
            OSError: Listening on the address failed.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening_socket = socket.create_server(address, family=family)
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), sock=listening_socket, backlog=MAX_ACCEPTS_PER_TURN
        )
        listening_socket.listen(LISTEN_BACKLOG)
        self._sweeper = start_supervised(self._sweep, "sweep of connections and subscriptions")
        host, port = listening_socket.getsockname()[:2]
        return host, port

    async def stop(self) -> None:
        """Ends every watch without changes and closes all connections."""
        self.is_stopping = True
        if self.listener is not None:
            self.listener.close()
        for client in list(self.clients):
            self._end_client(client)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_S
        while self.clients and loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        for client in list(self.clients):
            client.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()

    def _end_client(self, client: ClientConnection) -> None:
        if isinstance(client.watch, WaitingWatch):
            self._end_watch(client.watch)
        elif client.watch is not None:
            self._end_full_list_watch(client)
        elif not client.is_reading and not client.is_discarding:
            client.close()

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            for client in [client for client in self.clients if client.deadline <= now]:
                run_isolated(client.time_out, "timeout of a connection")
            self.subscriptions.expire(now)

    # Calls

    def handle(self, client: ClientConnection, request: h11.Request) -> None:
        """Responds to a request, immediately or when its watch ends."""
        target = request.target.decode("latin-1")
        path = target.partition("?")[0]
        if len(target) > MAX_TARGET_BYTES:
            client.reject(HTTPStatus.REQUEST_URI_TOO_LONG, f"target: is over {MAX_TARGET_BYTES} bytes")
        elif request.method not in (b"GET", b"HEAD"):
            client.reject(HTTPStatus.METHOD_NOT_ALLOWED, "only GET and HEAD")
        elif path == READY_PATH:
            self._send_readiness(client)
        elif path == METRICS_PATH:
            self._send_metrics(client)
        elif path == protocol.LIST_PATH:
            self._handle_list_request(client, target)
        else:
            self._send_error(client, HTTPStatus.NOT_FOUND, f"target = {path[:80]!r}: no such page")

    def _send_readiness(self, client: ClientConnection) -> None:
        if self.catalog.is_loaded:
            client.respond(HTTPStatus.OK, b"", "text/plain")
        else:
            self._send_error(client, protocol.UNAVAILABLE, NO_LIST)

    def _send_metrics(self, client: ClientConnection) -> None:
        self.counts["pages"] += 1
        lines = [*self.server_metric_lines(), *self.metric_lines(), ""]
        client.respond(HTTPStatus.OK, "\n".join(lines).encode(), "text/plain")

    def _handle_list_request(self, client: ClientConnection, target: str) -> None:
        now = asyncio.get_running_loop().time()
        try:
            call = protocol.decode_request(target)
        except ProtocolError as error:
            self._send_error(client, protocol.BAD_REQUEST, str(error))
            return
        if not self.catalog.is_loaded:
            self._send_error(client, protocol.UNAVAILABLE, NO_LIST)
            return
        try:
            if isinstance(call, SubscriptionChange):
                self._send_update(client, self.subscriptions.change(call, now))
            elif isinstance(call, FullListRequest):
                self._handle_full_list(client, call)
            else:
                self._start_watch(client, call, now)
        except RequestRejectedError as error:
            self._send_error(client, error.status, str(error))

    def _start_watch(self, client: ClientConnection, call: SubscriptionWatch, now: float) -> None:
        update, older = self.subscriptions.watch(call, client, now)
        if older is not None:
            self._clear_watch(older.token)
            self._send_update(older.token, self.subscriptions.empty_update(older.subscription))
        if update is not None:
            self._send_update(client, update)
            return
        watch = client.watch = self.subscriptions.by_subscriber[call.subscriber].watch
        assert watch is not None
        is_future = call.since_revision > self.catalog.revision
        wait = min(call.wait_ms / 1000, MAX_FUTURE_REVISION_WAIT_S if is_future else math.inf)
        client.watch_timer = asyncio.get_running_loop().call_later(wait, self._end_watch, watch)

    def _end_watch(self, watch: WaitingWatch) -> None:
        """Responds to a watch after its wait or a change."""
        if not watch.is_waiting:
            return
        client: ClientConnection = watch.token
        self._clear_watch(client)
        try:
            self._send_update(client, self.subscriptions.end_watch(watch, asyncio.get_running_loop().time()))
        except RequestRejectedError as error:
            self._send_error(client, error.status, str(error))

    def _clear_watch(self, client: ClientConnection) -> None:
        client.watch = None
        if client.watch_timer is not None:
            client.watch_timer.cancel()
            client.watch_timer = None

    def client_disconnected(self, client: ClientConnection) -> None:
        """Ends the watch of a client that disconnected or is rejected: nobody reads its response."""
        if isinstance(client.watch, WaitingWatch):
            self.subscriptions.abandon_watch(client.watch, asyncio.get_running_loop().time())
        self._full_list_watches.pop(client, None)
        self._clear_watch(client)

    def _send_update(self, client: ClientConnection, update: SubscriptionUpdate) -> None:
        response = SubscriptionResponse(
            self.subscriptions.fleet,
            self.catalog.revision,
            int(self.age() * 1000),
            update.sequence,
            update.size,
            update.checksum,
            update.full_destinations,
            (),
        )
        self.counts["answers_200"] += 1
        client.respond(HTTPStatus.OK, protocol.encode_response(response, update.rows))

    def _send_error(self, client: ClientConnection, status: int, reason: str) -> None:
        self.counts[f"answers_{int(status)}"] += 1
        client.respond(status, protocol.encode_error(reason))

    # Calls in discovery's own format, for clients without a subscription

    def _handle_full_list(self, client: ClientConnection, call: FullListRequest) -> None:
        if call.since_revision is None:
            self._send_full_list(client)
            return
        if self._send_full_list_changes(client, call.since_revision):
            return
        client.watch = call
        self._full_list_watches[client] = None
        client.watch_timer = asyncio.get_running_loop().call_later(
            call.wait_ms / 1000, self._end_full_list_watch, client
        )

    def _send_full_list_changes(self, client: ClientConnection, since: int) -> bool:
        """Sends the changes after a revision. Returns whether there were any."""
        if since == self.catalog.revision:
            return False
        changes = self.catalog.all_changes_since(since)
        if changes is None:
            self._send_full_list(client)
        elif changes.removed or changes.listed:
            self._send_rows(client, False, changes.removed + changes.listed)
        else:
            return False
        return True

    def _send_full_list(self, client: ClientConnection) -> None:
        size = self.catalog.size_bytes + self.catalog.endpoint_count
        if size > MAX_FULL_LIST_BYTES:
            limit = f"at most {MAX_FULL_LIST_BYTES} are told: subscribe to a slice"
            reason = f"the whole list has {size} bytes, {limit}"
            self._send_error(client, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, reason)
        else:
            self._send_rows(client, True, list(self.catalog.all_rows()))

    def _send_rows(self, client: ClientConnection, is_complete: bool, rows: list[bytes]) -> None:
        body = protocol.encode_full_list(self.catalog.revision, is_complete, rows)
        client.respond(HTTPStatus.OK, body)

    def _end_full_list_watch(self, client: ClientConnection) -> None:
        if not isinstance(client.watch, FullListRequest) or client.watch.since_revision is None:
            return
        since = client.watch.since_revision
        self._full_list_watches.pop(client, None)
        self._clear_watch(client)
        if not self._send_full_list_changes(client, since):
            self._send_rows(client, False, [])

    # Changes of the list

    def list_changed(self, is_restarted: bool) -> None:
        """Ends the watches affected by a change, some of them in each turn of the event loop."""
        self._due_watches += self.subscriptions.pop_affected_watches(is_restarted)
        self._due_watches += self._full_list_watches
        self._schedule_due_watches()

    def _schedule_due_watches(self) -> None:
        if self._due_watches and not self._is_ending_watches:
            self._is_ending_watches = True
            asyncio.get_running_loop().call_soon(self._end_due_watches)

    def _end_due_watches(self) -> None:
        loop = asyncio.get_running_loop()
        turn_ends_at = loop.time() + MAX_TURN_S
        self._is_ending_watches = False
        while self._due_watches and loop.time() < turn_ends_at:
            due = self._due_watches.popleft()
            if isinstance(due, WaitingWatch):
                self._end_watch(due)
            else:
                self._end_full_list_watch(due)
        self._schedule_due_watches()

    # Metrics

    def server_metric_lines(self) -> list[str]:
        """Returns the server's lines of the metrics page."""
        counts, subscriptions, catalog = self.counts, self.subscriptions, self.catalog
        values = {
            "subscribers": len(subscriptions.by_subscriber),
            "subscribed": subscriptions.destination_count,
            "watches": subscriptions.waiting_watches + len(self._full_list_watches),
            "connections": len(self.clients),
            "cells": len(catalog.by_destination),
            "hosts": catalog.endpoint_count,
            "gone": catalog.tombstone_count,
            "revision": catalog.revision,
            "floor": catalog.oldest_revision,
            "age_ms": int(self.age() * 1000) if catalog.is_loaded else -1,
            "changes": catalog.changes,
            "woken": subscriptions.ended_by_change,
            "answers_200": counts["answers_200"],
            "answers_400": counts["answers_400"],
            "answers_403": counts["answers_403"],
            "answers_410": counts["answers_410"],
            "answers_503": counts["answers_503"],
            "bytes_in": counts["bytes_in"],
            "bytes_out": counts["bytes_out"],
            "pages": counts["pages"],
        }
        return [f"{name} {value}" for name, value in values.items()]
