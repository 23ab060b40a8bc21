"""Watches the memory of the process: sets the account's capacity, and reports when it runs short."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable

from loftrelay.memory.account import MemoryAccount, reserve_bytes
from loftrelay.memory.resident import private_bytes, resident_bytes
from loftrelay.server.http.server import HTTPServer

log = logging.getLogger(__name__)

OBSERVATION_INTERVAL_S = 0.1
REPORT_INTERVAL_S = 5.0  # between two log lines about requests that were rejected
SUCCESSOR_FRACTION = 1 / 4  # of what two idle processes leave
MIN_PAIR_BYTES = 6 << 20  # left by two idle processes; with less, only what they do not share counts twice
CLOSED_CLIENTS_PER_COLLECTION = 200  # each leaves its transport, a reference cycle
KIB = 1 << 10


class MemoryGuard:
    """Keeps one relay process within its memory limit.

    Args:
        limit_bytes: Limit of all processes of the relay together.
        account: Account of what peers make the process use.
        server: Server of the clients.
        is_replaceable: Whether another process of the relay may be started beside this one.
        max_clients: Limit on connections that the descriptors set.
        predecessor_pid: Returns the id of the process that this one replaces, until that closes its channel.
    """

    def __init__(
        self,
        limit_bytes: int,
        account: MemoryAccount,
        server: HTTPServer,
        *,
        is_replaceable: bool,
        max_clients: int,
        predecessor_pid: Callable[[], int | None],
    ) -> None:
        self.limit_bytes = limit_bytes
        self.account = account
        self.server = server
        self.is_replaceable = is_replaceable
        self.max_clients = max_clients
        self.predecessor_pid = predecessor_pid
        self._predecessor: int | None = None  # id of a process that has not ended yet
        self._was_short = False
        self._reported_evictions = 0
        self._collected_clients = 0
        self._next_report_at = 0.0

    def start(self) -> None:
        """Sets the capacity before the process serves clients.

        What is there now is left out of garbage collections from now on, which makes them cheap.
        """
        gc.collect()
        gc.freeze()
        self._calibrate()

    async def run(self) -> None:
        """Observes the memory until it is cancelled."""
        while True:
            await asyncio.sleep(OBSERVATION_INTERVAL_S)
            self.observe()

    def observe(self) -> None:
        """Compares the account with the resident memory, and rejects requests if that is too much."""
        if self._predecessor is not None and not resident_bytes(self._predecessor):
            self._calibrate()
        if self.server.closed_clients - self._collected_clients >= CLOSED_CLIENTS_PER_COLLECTION:
            self._collected_clients = self.server.closed_clients
            gc.collect()
        resident = resident_bytes()
        if resident is None:
            return
        self.account.observe(resident)
        self.server.memory_grants.reject_largest()
        self._report()

    def metric_lines(self) -> list[str]:
        """Returns the figures for operators."""
        account = self.account
        used = [f"app.memory_{use.value}={size}" for use, size in account.bytes_by_use().items()]
        return [
            f"app.memory_resident={account.resident_bytes}",
            f"app.memory_limit={self.limit_bytes}",
            f"app.memory_capacity={account.capacity_bytes or 0}",
            *used,
            f"app.memory_evicted={self.server.memory_grants.evicted_count}",
        ]

    def _calibrate(self) -> None:
        """Sets the capacity by what the process takes now."""
        resident = resident_bytes()
        if resident is None:
            return
        self._predecessor = self.predecessor_pid()
        self.account.calibrate(self.limit_bytes, resident, self._other_process_bytes(resident))
        assert self.account.capacity_bytes is not None
        self.server.limit_connections(self.max_clients, self.account.free_bytes)
        log.info(
            "memory: %d KiB resident, limit %d KiB, %d KiB for clients and messages, at most %d clients",
            resident // KIB,
            self.limit_bytes // KIB,
            self.account.capacity_bytes // KIB,
            self.server.connections.limit,
        )

    def _other_process_bytes(self, resident: int) -> int:
        """Returns the memory to leave to another process of the relay."""
        if self._predecessor is not None:
            return resident_bytes(self._predecessor) or resident
        if not self.is_replaceable:
            return 0
        for idle_bytes in (resident, private_bytes() or resident):  # a successor is as large when it is idle
            left = self.limit_bytes - reserve_bytes(self.limit_bytes) - resident - idle_bytes
            if left >= MIN_PAIR_BYTES:
                return idle_bytes + int(left * SUCCESSOR_FRACTION)
        return 0  # two processes do not fit in any case

    def _report(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.account.is_short != self._was_short:
            self._was_short = self.account.is_short
            state = "is short" if self._was_short else "is no longer short"
            log.warning("memory %s: %s", state, self._describe())
        evictions = self.server.memory_grants.evicted_count - self._reported_evictions
        if evictions and now >= self._next_report_at:
            self._reported_evictions += evictions
            self._next_report_at = now + REPORT_INTERVAL_S
            log.warning(
                "memory: %d unfinished requests rejected in favor of others: %s", evictions, self._describe()
            )

    def _describe(self) -> str:
        account = self.account
        used = ", ".join(f"{use.value} {size // KIB}" for use, size in account.bytes_by_use().items())
        return (
            f"{account.resident_bytes // KIB} KiB resident of {self.limit_bytes // KIB}, "
            f"capacity {(account.capacity_bytes or 0) // KIB}, in use: {used}"
        )
