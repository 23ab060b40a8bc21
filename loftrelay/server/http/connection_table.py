"""Client connections of the server, their limit, and which of them is closed to admit another one.

No input or output of its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from loftrelay.server.http.connection_state import ClientKind

if TYPE_CHECKING:
    from loftrelay.server.http.connection import ClientConnection

MAX_LINGERING = 8  # lingering connections beyond the limit
REQUEST_GRACE_S = 0.1  # in which a client that has just connected or been answered may send a request


class ConnectionTable:
    """Connections by kind, each kind in the order of arrival or of the latest response.

    Attributes:
        limit: Greatest number of active connections.
        lingering: Connections in their lingering close, the oldest first.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.lingering: dict[ClientConnection, None] = {}
        self._by_kind: dict[ClientKind, dict[ClientConnection, None]] = {kind: {} for kind in ClientKind}

    def active(self) -> list[ClientConnection]:
        """All connections that aren't in their lingering close."""
        return [client for clients in self._by_kind.values() for client in clients]

    def of_kind(self, kind: ClientKind) -> list[ClientConnection]:
        """Active connections of one kind."""
        return list(self._by_kind[kind])

    @property
    def active_count(self) -> int:
        """Number of active connections."""
        return sum(len(clients) for clients in self._by_kind.values())

    @property
    def is_over_limit(self) -> bool:
        """Whether one connection has to be closed."""
        return self.active_count > self.limit

    @property
    def is_empty(self) -> bool:
        """Whether there are neither active nor lingering connections."""
        return not self.active_count and not self.lingering

    def is_new(self, client: ClientConnection) -> bool:
        """Whether no complete request has arrived yet."""
        return client in self._by_kind[ClientKind.NEW]

    def add(self, client: ClientConnection, kind: ClientKind, now_s: float) -> None:
        """Adds a connection, or moves it to the end of a kind."""
        self.remove(client)
        self._by_kind[kind][client] = None
        client.idle_since = now_s

    def remove(self, client: ClientConnection) -> None:
        """Removes a connection."""
        for clients in self._by_kind.values():
            clients.pop(client, None)
        self.lingering.pop(client, None)

    def add_lingering(self, client: ClientConnection) -> ClientConnection | None:
        """Moves a connection to its lingering close.

        Returns:
            The oldest lingering connection, removed, if there are too many.
        """
        self.remove(client)
        self.lingering[client] = None
        if self.active_count + len(self.lingering) <= self.limit + MAX_LINGERING:
            return None
        oldest = next(iter(self.lingering))
        del self.lingering[oldest]  # now: its connection_lost runs only in a later pass of the loop
        return oldest

    def choose_eviction(self, newcomer: ClientConnection, now_s: float) -> ClientConnection:
        """Selects the connection to close so that a newcomer can stay; the newcomer itself if there is none.

        Candidates are the oldest new connection without a request and the longest idle one, clients with one
        request before regular ones. A candidate that is older than REQUEST_GRACE_S goes first; of two, the
        one without a request.
        """
        new = self._by_kind[ClientKind.NEW]
        silent = next((c for c in new if c.is_evictable and c is not newcomer), None)
        served = (*self._by_kind[ClientKind.ONCE], *self._by_kind[ClientKind.REGULAR])
        idle = next((c for c in served if c.is_evictable), None)
        if silent is not None and (idle is None or now_s - silent.idle_since > REQUEST_GRACE_S):
            return silent
        if idle is not None and (silent is None or now_s - idle.idle_since > REQUEST_GRACE_S):
            return idle
        return silent or idle or newcomer
