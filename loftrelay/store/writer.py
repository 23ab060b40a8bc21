"""Writes changes to a store from a thread of its own, many in one commit, with a bounded queue before it.

The event loop never waits for a disk. What is queued while one commit is under way makes the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import TypeVar

from loftrelay.relay import fault_points
from loftrelay.store.backend import Ambiguous, Store, StoreError, Unusable
from loftrelay.store.state_machine import Change, Entry, RuleBroken

log = logging.getLogger(__name__)

LINGER = 0.05  # seconds for which changes that nobody waits for gather: those of one message make one row
SLOW = 0.25  # seconds from which on a commit is told of as slow
PAUSES = (0.05, 2.0)  # seconds before a store that is away is tried again: at first, at most
T = TypeVar("T")


class Away(Exception):
    """The store can't take it now. `retry_ms`: when to come back."""

    def __init__(self, retry_ms: int) -> None:
        super().__init__(f"the store of record is away, come back in {retry_ms} ms")
        self.retry_ms = retry_ms


class Elsewhere(Exception):
    """The id is another's, or this one's own from before."""

    def __init__(self, entry: Entry) -> None:
        super().__init__(f"{entry.message} is recorded as {entry.state.value} by {entry.about.instance}")
        self.entry = entry


@dataclass(slots=True)
class Item:
    change: Change
    done: Callable[[Exception | None], None] | None  # None: nobody waits, and what goes wrong is logged
    optional: bool  # it may be given up when the store is away: nothing has happened yet
    urgent: bool  # somebody waits for it
    settled: bool = False

    def settle(self, error: Exception | None) -> None:
        if self.settled:
            return
        self.settled = True
        if self.done is not None:
            self.done(error)
        elif error is not None:
            log.error("%s: its record is behind: %s", self.change.message, error)


class Writer:
    """`open_store` is called in the thread, anew after each failure of the database."""

    def __init__(
        self, open_store: Callable[[], Store], most_queued: int = 10_000, most_in_commit: int = 500
    ) -> None:
        self.open_store = open_store
        self.most_queued = most_queued
        self.most_in_commit = most_in_commit
        self.thread = ThreadPoolExecutor(1, "record")
        self.store: Store | None = None
        self.queue: deque[Item] = deque()
        self.wanted = asyncio.Event()
        self.hurry = asyncio.Event()  # something urgent is queued, or there is no time left
        self.away = False
        self.pause = PAUSES[0]
        self.slow = False
        self.commits = 0
        self.changes = 0
        self.closing = False
        self.task = asyncio.create_task(self._run())

    def put(
        self,
        change: Change,
        done: Callable[[Exception | None], None] | None = None,
        optional: bool = False,
        urgent: bool = True,
    ) -> None:
        """Calls `done` with None once the change is committed, or with Away (only where `optional`),
        Elsewhere (a TAKE whose id is known) or RuleBroken; never before this returns.

        Optional: a message that is not taken on yet, an attempt that is not begun. These are refused at once
        while the store is away or its queue is full; the rest stays queued until the store is back, and is
        bounded by what may be held.
        """
        if optional and (self.away or self.closing or len(self.queue) >= self.most_queued):
            if done is not None:
                asyncio.get_running_loop().call_soon(done, Away(self.retry_ms))
            return
        self.queue.append(Item(change, done, optional, urgent))
        self.wanted.set()
        if urgent or len(self.queue) >= self.most_in_commit:
            self.hurry.set()

    def write(self, change: Change, optional: bool = False, urgent: bool = True) -> asyncio.Future[None]:
        """As `put`; what it would be told is the future's."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def done(error: Exception | None) -> None:
            if future.done():
                return
            if error is None:
                future.set_result(None)
            else:
                future.set_exception(error)

        self.put(change, done, optional, urgent)
        return future

    @property
    def retry_ms(self) -> int:
        return max(1, int(2 * self.pause * 1000))

    async def call(self, work: Callable[[Store], T]) -> T:
        """Something else in the thread, in turn with the commits. Raises StoreError."""
        return await asyncio.get_running_loop().run_in_executor(self.thread, lambda: work(self._opened()))

    async def close(self) -> None:
        """What is queued is written first, if the store takes it at once."""
        self.closing = True
        self.wanted.set()
        self.hurry.set()
        await self.task
        self.thread.shutdown(wait=True)

    # The thread's side

    def _opened(self) -> Store:
        if self.store is None:
            self.store = self.open_store()
        return self.store

    def _shut(self) -> None:
        if self.store is not None:
            try:
                self.store.close()
            except StoreError as error:
                log.warning("%s", error)
            self.store = None

    def _commit(self, changes: Sequence[Change]) -> dict[int, Entry]:
        store = self._opened()
        self._reached("commit", changes)
        kept = store.commit(changes)
        self._reached("committed", changes)
        return kept

    def _reached(self, side: str, changes: Sequence[Change]) -> None:
        if fault_points.listener is not None:
            for change in changes:
                fault_points.fault_point(f"{side} {change.kind.value}")

    # The loop's side

    async def _run(self) -> None:
        while True:
            if not self.queue:
                if self.closing:
                    await asyncio.sleep(0)  # who waited for the last commit may have more to write
                    if not self.queue:
                        break
                    continue
                self.wanted.clear()
                await self.wanted.wait()
                continue
            if not self.hurry.is_set():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.hurry.wait(), LINGER)
            group = [self.queue.popleft() for _ in range(min(len(self.queue), self.most_in_commit))]
            if not self.closing and not any(item.urgent for item in self.queue):
                self.hurry.clear()
            if not await self._write(group):
                self.queue.extendleft(reversed([item for item in group if not item.settled]))
                if self.closing:
                    break
                await asyncio.sleep(self.pause)
                self.pause = min(2 * self.pause, PAUSES[1])
        await asyncio.get_running_loop().run_in_executor(self.thread, self._shut)
        if self.commits:
            log.info("%d changes were stored in %d commits", self.changes, self.commits)
        for item in self.queue:
            item.settle(Away(self.retry_ms))

    async def _write(self, group: list[Item]) -> bool:
        """Whether the store took it, or said for good that it will not."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        changes = [item.change for item in group]
        try:
            kept = await loop.run_in_executor(self.thread, self._commit, changes)
        except RuleBroken:
            return await self._one_by_one(group)
        except Ambiguous as error:
            log.warning("a commit's outcome is not known, it is read back: %s", error)
            self._gone_away(error)  # the next try applies only what is missing: each change is numbered
            for item in group:
                item.optional = False  # it may be stored: given up now, its record would stand for nobody
            await loop.run_in_executor(self.thread, self._shut)
            return False
        except StoreError as error:
            self._gone_away(error)
            await loop.run_in_executor(self.thread, self._shut)
            for item in (*group, *self.queue):
                if item.optional:
                    item.settle(Away(self.retry_ms))
            self.queue = deque(item for item in self.queue if not item.optional)
            return False
        if self.away:
            log.warning("the store of record is back")
            self.away, self.pause = False, PAUSES[0]
        self._took(loop.time() - began)
        self.commits += 1
        self.changes += len(group)
        for place, item in enumerate(group):
            item.settle(Elsewhere(kept[place]) if place in kept else None)
        return True

    def _took(self, seconds: float) -> None:
        """One line when commits begin to be slow: what is refused or put off by then has no other reason."""
        if self.slow != (seconds >= SLOW):
            self.slow = not self.slow
            if self.slow:
                log.warning("the store of record is slow: a commit took %.2f s", seconds)
            else:
                log.info("the store of record is no longer slow")

    async def _one_by_one(self, group: list[Item]) -> bool:
        """One of the group is at fault: the others are written all the same."""
        if len(group) == 1:
            item = group[0]
            log.error("a record breaks its rules: %s", item.change)
            item.settle(RuleBroken(f"{item.change.message}: {item.change.kind.value}"))
            return True
        results = [await self._write([item]) for item in group]
        return all(results)

    def _gone_away(self, error: StoreError) -> None:
        if not self.away:
            level = logging.ERROR if isinstance(error, Unusable) else logging.WARNING
            log.log(level, "the store of record is away: %s", error)
        self.away = True
