"""Deletes records of the store that are older than their retention, in small steps."""

from __future__ import annotations

import asyncio
import logging

from loftrelay.relay.clock import wall_clock
from loftrelay.store.backend import StoreError
from loftrelay.store.writer import Writer
from loftrelay.tasks.supervision import start_supervised

log = logging.getLogger(__name__)

PRUNE_INTERVAL_S = 60.0
PRUNE_STEP_DELAY_S = 0.1  # between two steps
PRUNE_ROWS = 500  # records deleted in one step


class Pruner:
    """Deletes reported records once they are older than their retention, until it is stopped.

    Args:
        writer: Runs the steps between its commits.
        retention_us: Age from which on reported records are deleted, in microseconds.
    """

    def __init__(self, writer: Writer, retention_us: int) -> None:
        self.writer = writer
        self.retention_us = retention_us
        self.task = start_supervised(self._run, "pruning of the store of record")

    def stop(self) -> None:
        """Stops deleting records."""
        self.task.cancel()

    async def _step(self, before: int) -> int:
        return await self.writer.call(lambda store: store.prune(before, PRUNE_ROWS))

    async def _run(self) -> None:
        while True:
            try:
                before = wall_clock() - self.retention_us
                while await self._step(before) == PRUNE_ROWS:
                    await asyncio.sleep(PRUNE_STEP_DELAY_S)
            except StoreError as error:
                log.warning(
                    "store of record: old records were not deleted, next try in %g s: %s",
                    PRUNE_INTERVAL_S,
                    error,
                )
            await asyncio.sleep(PRUNE_INTERVAL_S)
