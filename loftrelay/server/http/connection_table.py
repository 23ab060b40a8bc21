"""Client connections of the server: their limit, and the choice of one to close in favor of a new one.

Does no input or output, but looks whether bytes have arrived that are not read yet.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain
from typing import TYPE_CHECKING

from loftrelay.net.unsolicited import peek_unread
from loftrelay.server.http.connection_state import ClientKind

if TYPE_CHECKING:
    from loftrelay.server.http.connection import ClientConnection

MAX_LINGERING = 8  # lingering connections in addition to the limit of active ones
STALLED_AFTER_S = 0.4  # a client waits so long for its answer; a slower request may lose its connection
REQUEST_GRACE_S = 0.1  # time for a client to send a request after connecting or getting a response


class ConnectionTable:
    """Connections by kind of client, each kind in order of arrival or of the latest response.

    Attributes:
        limit: Maximum number of active connections.
        lingering: Connections in their lingering close, the oldest first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.lingering: dict[ClientConnection, None] = {}
        self._by_kind: dict[ClientKind, dict[ClientConnection, None]] = {kind: {} for kind in ClientKind}

    def active(self) -> list[ClientConnection]:
        """Returns all connections that aren't in their lingering close."""
        return [client for clients in self._by_kind.values() for client in clients]

    def of_kind(self, kind: ClientKind) -> list[ClientConnection]:
        """Returns the active connections of one kind."""
        return list(self._by_kind[kind])

    @property
    def active_count(self) -> int:
        """Number of active connections."""
        return sum(len(clients) for clients in self._by_kind.values())

    @property
    def is_over_limit(self) -> bool:
        """Whether there are more active connections than the limit."""
        return self.active_count > self.limit

    @property
    def is_empty(self) -> bool:
        """Whether there are neither active nor lingering connections."""
        return not self.active_count and not self.lingering

    def is_new(self, client: ClientConnection) -> bool:
        """Returns whether the client has not sent a complete request yet."""
        return client in self._by_kind[ClientKind.NEW]

    def add(self, client: ClientConnection, kind: ClientKind, now_s: float) -> None:
        """Adds a connection, or moves it to the end of a kind."""
        self.remove(client)
        self._by_kind[kind][client] = None
        client.idle_since = now_s

    def remove(self, client: ClientConnection) -> None:
        """Removes a connection, active or lingering, if it is in the table."""
        for clients in self._by_kind.values():
            clients.pop(client, None)
        self.lingering.pop(client, None)

    def add_lingering(self, client: ClientConnection) -> ClientConnection | None:
        """Moves a connection to its lingering close.

        Returns:
            The oldest lingering connection, now removed, if there are too many; otherwise None.
        """
        self.remove(client)
        self.lingering[client] = None
        if self.active_count + len(self.lingering) <= self.limit + MAX_LINGERING:
            return None
        oldest = next(iter(self.lingering))
        del self.lingering[oldest]  # not left to connection_lost, which runs in a later pass of the loop
        return oldest

    def choose_eviction(self, new_client: ClientConnection, now_s: float) -> ClientConnection:
        """Selects the connection to close in favor of a new one; the new one if no other can be closed.

        A connection that is older than REQUEST_GRACE_S and has sent no request goes first, then one in the
        middle of a stalled request, then a new client's whose first request is incomplete. What is left are
        the longest idle one, where clients with one request precede regular ones, and the oldest without a
        request: one older than REQUEST_GRACE_S is preferred; if neither is, the one without a request.
        """
        new = self._by_kind[ClientKind.NEW]
        silent = next((c for c in new if not c.is_receiving and c.is_evictable and c is not new_client), None)
        if silent is not None and now_s - silent.idle_since > REQUEST_GRACE_S:
            return silent
        incomplete = next((c for c in new if is_request_incomplete(c) and c is not new_client), None)
        if incomplete is not None and _is_stalled(incomplete, now_s):
            return incomplete
        stalled = next((c for c in self._served() if _is_stalled(c, now_s)), None)
        if stalled is not None or incomplete is not None:
            return stalled or incomplete or new_client
        idle = next((c for c in self._served() if c.is_evictable), None)
        if idle is not None and (silent is None or now_s - idle.idle_since > REQUEST_GRACE_S):
            return idle
        return silent or idle or new_client

    def _served(self) -> Iterator[ClientConnection]:
        """Iterates over the clients with a complete request: those with one precede regular ones."""
        return chain(self._by_kind[ClientKind.ONCE], self._by_kind[ClientKind.REGULAR])


def _is_stalled(client: ClientConnection, now_s: float) -> bool:
    """Returns whether a request has been incomplete for so long that its client has given it up."""
    return now_s - client.receiving_since >= STALLED_AFTER_S and is_request_incomplete(client)


def is_request_incomplete(client: ClientConnection) -> bool:
    """Returns whether a request has begun, and the rest has not arrived, takes long or waits for memory."""
    if not client.is_receiving or client.is_closing:
        return False
    return (
        client.awaits_memory
        or client.parsing.is_suspended
        or client.transport is None
        or not peek_unread(client.transport)
    )
