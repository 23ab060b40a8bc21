"""Memory for unfinished requests: who has some reserved, who waits for it, and whose request gives way.

A request that comes whole in its first read needs none. All others reserve what they may still take before
more of them is read; what is not read waits in the sockets of their clients. Does no input or output.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from loftrelay.server.http.connection_table import REQUEST_GRACE_S, STALLED_AFTER_S, is_request_incomplete

if TYPE_CHECKING:
    from loftrelay.memory.account import MemoryAccount
    from loftrelay.server.http.connection import ClientConnection
    from loftrelay.server.http.connection_table import ConnectionTable


class RequestMemory:
    """Reservations of the connections of one server.

    Args:
        account: Account of the process.
        connections: Connections of the server.

    Attributes:
        max_waiting: Limit on the clients that wait, each of which holds what was read before.
    """

    def __init__(self, account: MemoryAccount, connections: ConnectionTable) -> None:
        self.account = account
        self.max_waiting = math.inf
        self._connections = connections
        self._reserved: dict[ClientConnection, int] = {}  # in the order in which they reserved first
        self._waiting: dict[ClientConnection, int] = {}  # client -> bytes that it still needs

    def reserve(self, client: ClientConnection, size_bytes: int) -> bool:
        """Reserves memory for the request of a client, which waits if there is not enough.

        Returns:
            Whether so much is reserved now, with what the client had before.
        """
        missing = size_bytes - self._reserved.get(client, 0)
        if missing <= 0:
            return True
        if not self.account.reserve_request(missing):
            self._waiting[client] = size_bytes
            client.awaits_memory = True
            return False
        self._reserved[client] = size_bytes
        self._stop_waiting(client)
        return True

    def release(self, client: ClientConnection) -> None:
        """Releases what a client has reserved; it no longer waits either."""
        self._stop_waiting(client)
        self.account.release(self._reserved.pop(client, 0))

    @property
    def waiting_count(self) -> int:
        """Number of clients that wait for memory; each holds what was read before."""
        return len(self._waiting)

    @property
    def has_waiting(self) -> bool:
        """Whether any client waits for memory."""
        return bool(self._waiting)

    def grant_waiting(self) -> list[ClientConnection]:
        """Reserves memory for clients that wait; returns those that have it now.

        Clients that have been served before come first, and small requests before long ones.
        """
        if not self._waiting or not self.account.has_room_for_request(0):
            return []
        ordered = sorted(self._waiting, key=lambda client: (self._is_new(client), self._waiting[client]))
        return [client for client in ordered if self.reserve(client, self._waiting[client])]

    def choose_surplus_waiting(self) -> ClientConnection | None:
        """Selects the client that no longer waits if too many do: the oldest, new ones first."""
        if len(self._waiting) <= self.max_waiting:
            return None
        return next(filter(self._is_new, self._waiting), next(iter(self._waiting)))

    def choose_eviction(self, now_s: float) -> ClientConnection | None:
        """Selects the client whose unfinished request gives way to one that waits; None: none has to.

        The oldest goes first. It has had time to send its request, unless a client that has been served
        before waits: that one precedes all new ones.
        """
        if not self._waiting:
            return None
        known_waits = any(not self._is_new(client) for client in self._waiting)
        for client in self._reserved:
            age_s = now_s - client.receiving_since
            min_age_s = STALLED_AFTER_S
            if self._is_new(client):
                min_age_s = 0.0 if known_waits else REQUEST_GRACE_S
            if age_s >= min_age_s and is_request_incomplete(client):
                return client
        return None

    def largest(self) -> ClientConnection | None:
        """Returns the client with the most memory, new ones first; None if no memory is reserved."""
        reserved = self._reserved
        return max(reserved, key=lambda client: (self._is_new(client), reserved[client]), default=None)

    def _stop_waiting(self, client: ClientConnection) -> None:
        client.awaits_memory = False
        self._waiting.pop(client, None)

    def _is_new(self, client: ClientConnection) -> bool:
        return self._connections.is_new(client)
