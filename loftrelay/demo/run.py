"""Runs the demo: starts the peers and the relay, submits the messages and collects the results."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TextIO

from loftrelay.demo.clients import MESSAGE_TIMEOUT_S, Client, ClientStatistics, Message
from loftrelay.demo.peers import DestinationPeer, DiscoveryPeer, HTTPPeer
from loftrelay.demo.relay_process import RelayProcess
from loftrelay.demo.result import DemoResult
from loftrelay.demo.scenario import DESTINATIONS, LIMITS, SETTINGS, create_messages
from loftrelay.store.backend import RecordQuery
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import MessageRecord

POLL_INTERVAL_S = 0.02
PROGRESS_INTERVAL_S = 0.5
STORE_POLL_INTERVAL_S = 0.1
# Time after their deadline within which the last messages have to reach a final status.
COMPLETION_MARGIN_S = 2


class DemoRun:
    """One run of the demo.

    Args:
        folder: An empty directory for the relay's files.
        message_count: How many messages to submit.
        seed: Seed of all random choices.
        should_kill: Whether to kill the relay after half of the admissions and restart it.
        out: Where progress is printed.
    """

    def __init__(self, folder: Path, message_count: int, seed: int, should_kill: bool, out: TextIO) -> None:
        self.folder = folder
        self.message_count = message_count
        self.seed = seed
        self.should_kill = should_kill
        self.out = out
        self.discovery = DiscoveryPeer()
        self.destinations = [DestinationPeer(seed + i) for i in range(len(DESTINATIONS))]
        self.statistics = ClientStatistics()

    async def run(self) -> DemoResult:
        """Runs it to the end.

        Raises:
            DemoError: The relay does not start.
            StoreError: The store can't be read.
        """
        async with AsyncExitStack() as stack:
            relay = RelayProcess(self.folder, await self._start_peers(stack))
            await relay.start()
            try:
                host, port = relay.address
                self._print(f"a relay listens on {host}:{port}, its files are in {self.folder}")
                await self._submit_all(relay)
                await self._wait_until_complete(relay)
                self._print_progress()
                await relay.stop()
                entries, faults = await asyncio.to_thread(read_store, relay.store_path)
            finally:
                await relay.kill()
        return DemoResult(
            entries,
            self.statistics.admitted,
            self._executions(),
            self.discovery.final_statuses,
            faults,
            relay.store_warnings,
            self.statistics.rejections,
        )

    async def _start_peers(self, stack: AsyncExitStack) -> dict[str, object]:
        """Returns the relay's configuration."""
        discovery = await stack.enter_async_context(HTTPPeer(self.discovery.respond))
        for number, destination in zip(DESTINATIONS, self.destinations, strict=True):
            peer = await stack.enter_async_context(HTTPPeer(destination.respond))
            self.discovery.add_endpoint(number, peer.address)
        return {
            "name": "demo",
            "listen": "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": f"{self.seed:x}",
            "limits": LIMITS,
            "known": self.discovery.full_list,
            "settings": SETTINGS,
        }

    async def _submit_all(self, relay: RelayProcess) -> None:
        messages = create_messages(self.message_count, self.seed)
        clients = [asyncio.create_task(self._submit(relay, own)) for own in messages]
        should_kill = self.should_kill
        printed_at: float | None = None
        while not all(task.done() for task in clients):
            await asyncio.sleep(POLL_INTERVAL_S)
            if should_kill and len(self.statistics.admitted) >= self.message_count // 2:
                should_kill = False
                await self._restart(relay)
            if printed_at is None or time.monotonic() - printed_at >= PROGRESS_INTERVAL_S:
                printed_at = time.monotonic()
                self._print_progress()
        await asyncio.gather(*clients)

    async def _submit(self, relay: RelayProcess, messages: Sequence[Message]) -> None:
        client = Client(lambda: relay.address, self.statistics)
        for message in messages:
            await client.submit(message)
        client.close()

    async def _restart(self, relay: RelayProcess) -> None:
        self._print("  the relay is killed (SIGKILL) and started again")
        await relay.kill()
        await relay.start()

    async def _wait_until_complete(self, relay: RelayProcess) -> None:
        """Waits until the final status of every admitted message is recorded, or a time limit is reached."""
        deadline = time.monotonic() + MESSAGE_TIMEOUT_S + COMPLETION_MARGIN_S
        while True:
            entries, _ = await asyncio.to_thread(read_store, relay.store_path)
            is_complete = all(entry.reported_at is not None for entry in entries)
            if is_complete and self.statistics.admitted <= {entry.message_id for entry in entries}:
                return
            if time.monotonic() > deadline:
                return
            await asyncio.sleep(STORE_POLL_INTERVAL_S)

    def _executions(self) -> Counter[str]:
        return sum((destination.executions for destination in self.destinations), Counter())

    def _print_progress(self) -> None:
        self._print(
            f"  admitted {len(self.statistics.admitted):>6} of {self.message_count}   "
            f"executed by destinations {sum(self._executions().values()):>6}   "
            f"reported to the platform {len(self.discovery.final_statuses):>4}"
        )

    def _print(self, line: str) -> None:
        print(line, file=self.out, flush=True)


def read_store(path: Path) -> tuple[list[MessageRecord], list[str]]:
    """Returns all records, and the faults found by the store's own check.

    Raises:
        StoreError: The store can't be read.
    """
    store = SQLiteStore(path)
    try:
        return list(store.select(RecordQuery())), store.verify()
    finally:
        store.close()
