"""Grants memory to unfinished requests in turn, and rejects some of them in favor of others."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from loftrelay.server.http.connection import ClientConnection
    from loftrelay.server.http.request_memory import RequestMemory

RETRY_INTERVAL_S = 0.02  # while clients wait for memory
CROWD_AFTERMATH_S = 0.5  # after an unfinished request was rejected in favor of another
MEMORY_SHORTAGE = "no memory is left for the request"


class MemoryGrants:
    """Carries out the decisions of RequestMemory.

    Args:
        request_memory: Reservations of one server.

    Attributes:
        evicted_count: Number of unfinished requests that were rejected to free their memory.
    """

    def __init__(self, request_memory: RequestMemory) -> None:
        self.request_memory = request_memory
        self.evicted_count = 0
        self._crowded_until = -math.inf
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_crowded(self) -> bool:
        """Whether unfinished requests have lately been rejected in favor of others."""
        return asyncio.get_running_loop().time() < self._crowded_until

    def note_crowd(self) -> None:
        """Notes that an unfinished request is rejected in favor of another."""
        self._crowded_until = asyncio.get_running_loop().time() + CROWD_AFTERMATH_S

    def release(self, client: ClientConnection) -> None:
        """Releases the memory of a request that is complete or given up; others may use it then."""
        self.request_memory.release(client)
        if self.request_memory.has_waiting:
            self._schedule(0)

    def on_shortage(self) -> None:
        """Rejects the oldest clients that wait for memory if they are too many; the others get it in turn."""
        while (client := self.request_memory.choose_surplus_waiting()) is not None:
            self._evict(client)
        self._schedule(0)

    def reject_largest(self) -> None:
        """Rejects unfinished requests, the largest first, while more memory is in use than there is."""
        account = self.request_memory.account
        while account.is_exceeded and (client := self.request_memory.largest()) is not None:
            self._evict(client)

    def _schedule(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._grant)

    def _grant(self) -> None:
        self._timer = None
        evicted = self.request_memory.choose_eviction(asyncio.get_running_loop().time())
        if evicted is not None:
            self._evict(evicted)
        for client in self.request_memory.grant_waiting():
            client.resume_reading()
        if self.request_memory.has_waiting:
            self._schedule(0 if evicted is not None else RETRY_INTERVAL_S)

    def _evict(self, client: ClientConnection) -> None:
        self.evicted_count += 1
        self.note_crowd()
        self.request_memory.release(client)
        client.reject(MEMORY_SHORTAGE)
