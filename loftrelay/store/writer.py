"""Group commit: writes changes to a store from a thread of its own, many in one commit, from a bounded queue.

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
from loftrelay.store.backend import CommitUncertainError, StoreBackend, StoreError, StoreUnusableError
from loftrelay.store.state_machine import Change, MessageRecord, RecordRuleError

log = logging.getLogger(__name__)

GATHER_TIME_S = (
    0.05  # seconds for which changes that nobody waits for gather: those of one message make one row
)
SLOW_COMMIT_S = 0.25  # seconds from which on a commit is told of as slow
MIN_BACKOFF_S = 0.05  # before a store that is away is tried again
MAX_BACKOFF_S = 2.0
T = TypeVar("T")


class StoreBusyError(Exception):
    """The store can't take a change now; `retry_after_ms` tells when to try again."""

    def __init__(self, retry_ms: int) -> None:
        super().__init__(f"the store of record is away, come back in {retry_ms} ms")
        self.retry_after_ms = retry_ms


class IdInUseError(Exception):
    """The id of an admission has a record already, of this instance or another."""

    def __init__(self, entry: MessageRecord) -> None:
        super().__init__(
            f"{entry.message_id} is recorded as {entry.state.value} by {entry.metadata.instance}"
        )
        self.record = entry


@dataclass(slots=True)
class QueuedChange:
    """A change that waits for its commit."""

    change: Change
    done: Callable[[Exception | None], None] | None  # None: nobody waits, and a failure is logged
    optional: bool  # may be dropped while the store is away: nothing has happened yet
    urgent: bool  # somebody waits for it
    settled: bool = False

    def settle(self, error: Exception | None) -> None:
        """Tells whoever waits how it ended, once."""
        if self.settled:
            return
        self.settled = True
        if self.done is not None:
            self.done(error)
        elif error is not None:
            log.error("%s: its record is behind: %s", self.change.message_id, error)


class Writer:
    """`open_store` is called in the thread, anew after each failure of the database."""

    def __init__(
        self,
        open_store: Callable[[], StoreBackend],
        max_queued: int = 10_000,
        max_changes_per_commit: int = 500,
    ) -> None:
        self.open_store = open_store
        self.max_queued = max_queued
        self.max_changes_per_commit = max_changes_per_commit
        self.thread = ThreadPoolExecutor(1, "record")
        self.store: StoreBackend | None = None
        self.queue: deque[QueuedChange] = deque()
        self.has_work = asyncio.Event()
        self.has_urgent_work = asyncio.Event()  # something urgent is queued, or there is no time left
        self.is_store_unavailable = False
        self.backoff_s = MIN_BACKOFF_S
        self.is_store_slow = False
        self.commits = 0
        self.changes = 0
        self.is_closing = False
        self.task = asyncio.create_task(self._run())

    def put(
        self,
        change: Change,
        done: Callable[[Exception | None], None] | None = None,
        optional: bool = False,
        urgent: bool = True,
    ) -> None:
        """Queues a change for the next commit.

        Args:
            change: the change.
            done: called with None once it is committed, or with StoreAwayError (only if `optional`),
                IdInUseError (an admission whose id is known) or RecordRuleError; never before this returns.
            optional: nothing has happened yet (a message not admitted, an attempt not begun): it is refused
                at once while the store is away or its queue is full. Any other change stays queued.
            urgent: somebody waits for it.
        """
        if optional and (self.is_store_unavailable or self.is_closing or len(self.queue) >= self.max_queued):
            if done is not None:
                asyncio.get_running_loop().call_soon(done, StoreBusyError(self.retry_after_ms))
            return
        self.queue.append(QueuedChange(change, done, optional, urgent))
        self.has_work.set()
        if urgent or len(self.queue) >= self.max_changes_per_commit:
            self.has_urgent_work.set()

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
    def retry_after_ms(self) -> int:
        """When a refused change may be tried again."""
        return max(1, int(2 * self.backoff_s * 1000))

    async def call(self, work: Callable[[StoreBackend], T]) -> T:
        """Something else in the thread, in turn with the commits. Raises StoreError."""
        return await asyncio.get_running_loop().run_in_executor(self.thread, lambda: work(self._open()))

    async def close(self) -> None:
        """What is queued is written first, if the store takes it at once."""
        self.is_closing = True
        self.has_work.set()
        self.has_urgent_work.set()
        await self.task
        self.thread.shutdown(wait=True)

    # The thread's side

    def _open(self) -> StoreBackend:
        if self.store is None:
            self.store = self.open_store()
        return self.store

    def _close_store(self) -> None:
        if self.store is not None:
            try:
                self.store.close()
            except StoreError as error:
                log.warning("%s", error)
            self.store = None

    def _commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        store = self._open()
        self._pass_fault_points("commit", changes)
        kept = store.commit(changes)
        self._pass_fault_points("committed", changes)
        return kept

    def _pass_fault_points(self, side: str, changes: Sequence[Change]) -> None:
        if fault_points.listener is not None:
            for change in changes:
                fault_points.fault_point(f"{side} {change.kind.value}")

    # The loop's side

    async def _run(self) -> None:
        while await self._wait_for_changes():
            group = await self._gather_group()
            if await self._write(group):
                continue
            self.queue.extendleft(reversed([item for item in group if not item.settled]))
            if self.is_closing:
                break
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        await asyncio.get_running_loop().run_in_executor(self.thread, self._close_store)
        if self.commits:
            log.info("%d changes stored in %d commits", self.changes, self.commits)
        for item in self.queue:
            item.settle(StoreBusyError(self.retry_after_ms))

    async def _wait_for_changes(self) -> bool:
        """Returns whether there is something to write; False once the writer closes with nothing left."""
        while not self.queue:
            if self.is_closing:
                await asyncio.sleep(0)  # who waited for the last commit may have more to write
                return bool(self.queue)
            self.has_work.clear()
            await self.has_work.wait()
        return True

    async def _gather_group(self) -> list[QueuedChange]:
        """Takes the changes of the next commit; those that nobody waits for gather for a while first."""
        if not self.has_urgent_work.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.has_urgent_work.wait(), GATHER_TIME_S)
        size = min(len(self.queue), self.max_changes_per_commit)
        group = [self.queue.popleft() for _ in range(size)]
        if not self.is_closing and not any(item.urgent for item in self.queue):
            self.has_urgent_work.clear()
        return group

    async def _write(self, group: list[QueuedChange]) -> bool:
        """Whether the store took it, or said for good that it will not."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        changes = [item.change for item in group]
        try:
            kept = await loop.run_in_executor(self.thread, self._commit, changes)
        except RecordRuleError:
            return await self._one_by_one(group)
        except CommitUncertainError as error:
            log.warning("a commit's outcome is not known, it is read back: %s", error)
            # The next try applies only what is missing: each change is numbered.
            self._mark_unavailable(error)
            for item in group:
                item.optional = False  # it may be stored: given up now, its record would stand for nobody
            await loop.run_in_executor(self.thread, self._close_store)
            return False
        except StoreError as error:
            self._mark_unavailable(error)
            await loop.run_in_executor(self.thread, self._close_store)
            for item in (*group, *self.queue):
                if item.optional:
                    item.settle(StoreBusyError(self.retry_after_ms))
            self.queue = deque(item for item in self.queue if not item.optional)
            return False
        if self.is_store_unavailable:
            log.warning("the store of record is available again")
            self.is_store_unavailable, self.backoff_s = False, MIN_BACKOFF_S
        self._log_slowness(loop.time() - began)
        self.commits += 1
        self.changes += len(group)
        for place, item in enumerate(group):
            item.settle(IdInUseError(kept[place]) if place in kept else None)
        return True

    def _log_slowness(self, seconds: float) -> None:
        """One line when commits begin to be slow: what is refused or put off by then has no other reason."""
        if self.is_store_slow != (seconds >= SLOW_COMMIT_S):
            self.is_store_slow = not self.is_store_slow
            if self.is_store_slow:
                log.warning("the store of record is slow: a commit took %.2f s", seconds)
            else:
                log.info("the store of record is no longer slow")

    async def _one_by_one(self, group: list[QueuedChange]) -> bool:
        """One of the group is at fault: the others are written all the same."""
        if len(group) == 1:
            item = group[0]
            log.error("a record breaks its rules: %s", item.change)
            item.settle(RecordRuleError(f"{item.change.message_id}: {item.change.kind.value}"))
            return True
        results = [await self._write([item]) for item in group]
        return all(results)

    def _mark_unavailable(self, error: StoreError) -> None:
        if not self.is_store_unavailable:
            level = logging.ERROR if isinstance(error, StoreUnusableError) else logging.WARNING
            log.log(level, "the store of record is unavailable: %s", error)
        self.is_store_unavailable = True
