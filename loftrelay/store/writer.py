"""Group commit: a thread writes queued changes to the store, many in one commit. The queue is bounded.

The event loop never waits for a disk. Changes queued during one commit are written by the next one.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from loftrelay.relay import fault_points
from loftrelay.store.backend import (
    CommitUncertainError,
    StoreBackend,
    StoreError,
    StoreUnavailableError,
    StoreUnusableError,
)
from loftrelay.store.state_machine import Change, MessageRecord, RecordRuleError
from loftrelay.store.worker_thread import WorkerThread
from loftrelay.tasks.supervision import run_isolated, start_supervised

log = logging.getLogger(__name__)

# Delay of a commit without urgent changes: changes of one message in the same commit are written as one row.
COMMIT_DELAY_S = 0.05
SLOW_COMMIT_S = 0.25  # a commit that takes this long is logged as slow
MAX_COMMIT_S = 1.0  # a commit that takes longer makes the store unavailable until it ends
MIN_BACKOFF_S = 0.05  # delay before an unavailable store is tried again; doubled after each failure
MAX_BACKOFF_S = 2.0
PROBED_IDS = ("",)  # no message has this id
T = TypeVar("T")


class StoreBusyError(Exception):
    """The store can't accept a change now; it may be tried again after `retry_after_ms`."""

    def __init__(self, retry_after_ms: int) -> None:
        super().__init__(f"the store of record is unavailable or busy, retry after {retry_after_ms} ms")
        self.retry_after_ms = retry_after_ms


class IdInUseError(Exception):
    """The id of an admission has a record already, created by this or another instance."""

    def __init__(self, record: MessageRecord) -> None:
        super().__init__(
            f"{record.message_id} already has a record: state {record.state.value!r}, instance "
            f"{record.metadata.instance!r}"
        )
        self.record = record


@dataclass(slots=True)
class QueuedChange:
    """A change in the queue.

    Attributes:
        change: The change.
        done: Called once with None or the error; None: an error is logged, unless the writer closes.
        optional: Whether it may be rejected while the store is unavailable: its step has not been taken yet.
        urgent: Whether a caller waits for the commit.
        settled: Whether `done` was called or the error logged.
    """

    change: Change
    done: Callable[[Exception | None], None] | None
    optional: bool
    urgent: bool
    settled: bool = False

    def settle(self, error: Exception | None) -> None:
        """Reports the result of the change, once."""
        if self.settled:
            return
        self.settled = True
        if self.done is not None:
            name = f"message {self.change.message_id}: processing of the recorded {self.change.kind.value}"
            run_isolated(partial(self.done, error), name)
        elif error is not None and not isinstance(error, StoreBusyError):
            log.error(
                "message %s: change %s was not recorded: %s",
                self.change.message_id,
                self.change.kind.value,
                error,
            )


class Writer:
    """Writes queued changes to the store in group commits.

    Args:
        open_store: Opens the store; called in the thread, again after each failure of the database.
        max_queued: Changes in the queue from which on optional changes are rejected.
        max_changes_per_commit: Changes in one commit.
    """

    def __init__(
        self,
        open_store: Callable[[], StoreBackend],
        max_queued: int = 10_000,
        max_changes_per_commit: int = 500,
    ) -> None:
        self.open_store = open_store
        self.max_queued = max_queued
        self.max_changes_per_commit = max_changes_per_commit
        self.thread = WorkerThread("record")
        self.store: StoreBackend | None = None
        self.queue: deque[QueuedChange] = deque()
        self.has_work = asyncio.Event()
        # Set while an urgent change or a full commit is queued, or the writer closes.
        self.has_urgent_work = asyncio.Event()
        self.is_store_unavailable = False
        self.backoff_s = MIN_BACKOFF_S
        self.is_store_slow = False
        self.commits = 0
        self.changes = 0
        self.is_closing = False
        self.task = start_supervised(self._run, "writer of the store of record")

    def put(
        self,
        change: Change,
        done: Callable[[Exception | None], None] | None = None,
        optional: bool = False,
        urgent: bool = True,
    ) -> QueuedChange:
        """Queues a change for the next commit; returns it, or the change that is rejected.

        Args:
            change: The change.
            done: Called with None after the commit, or with StoreBusyError (if `optional`, or when the writer
                closes), IdInUseError (an admission whose id has a record) or RecordRuleError; never before
                this method returns.
            optional: The step has not been taken yet (message not admitted, attempt not started): the change
                is rejected immediately while the store is unavailable, the queue is full or the writer
                closes. Any other change stays queued.
            urgent: A caller waits for the commit.
        """
        queued = QueuedChange(change, done, optional, urgent)
        if optional and (self.is_store_unavailable or self.is_closing or len(self.queue) >= self.max_queued):
            if done is not None:
                asyncio.get_running_loop().call_soon(done, StoreBusyError(self.retry_after_ms))
            return queued
        self.queue.append(queued)
        self.has_work.set()
        if urgent or len(self.queue) >= self.max_changes_per_commit:
            self.has_urgent_work.set()
        return queued

    def write(self, change: Change, optional: bool = False, urgent: bool = True) -> asyncio.Future[None]:
        """Queues a change as `put` does; returns a future with its result."""
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
        """Milliseconds after which a rejected change may be tried again."""
        return max(1, int(2 * self.backoff_s * 1000))

    async def call(self, work: Callable[[StoreBackend], T]) -> T:
        """Runs other work on the store in the thread, between commits; returns its result.

        Raises:
            StoreError: The store failed.
        """
        return await asyncio.get_running_loop().run_in_executor(self.thread, lambda: work(self._open()))

    async def close(self, max_wait_s: float | None = None) -> None:
        """Writes the queued changes, without a retry if the store fails, and closes the store.

        Args:
            max_wait_s: How long that may take, in seconds; then the store is left as it is. None: no limit.
        """
        self.is_closing = True
        self.has_work.set()
        self.has_urgent_work.set()
        done, _ = await asyncio.wait((self.task,), timeout=max_wait_s)
        if not done:
            log.warning("store of record: not closed, a call of it takes too long; the journal has the rest")
            self.task.cancel()
        self.thread.shutdown(wait=bool(done))

    # Runs in the thread

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
        ids_in_use = store.commit(changes)
        self._pass_fault_points("committed", changes)
        return ids_in_use

    def _pass_fault_points(self, phase: str, changes: Sequence[Change]) -> None:
        if fault_points.listener is not None:
            for change in changes:
                fault_points.fault_point(f"{phase} {change.kind.value}")

    # Runs in the event loop

    async def _run(self) -> None:
        while await self._wait_for_changes():
            group = await self._take_group()
            if await self._try_group(group):
                continue
            self.queue.extendleft(reversed([item for item in group if not item.settled]))
            if self.is_closing:
                break
            await asyncio.sleep(self.backoff_s)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        await asyncio.get_running_loop().run_in_executor(self.thread, self._close_store)
        if self.commits:
            log.info("store of record closed: %d changes stored in %d commits", self.changes, self.commits)
        if self.queue:
            log.warning("store of record: %d changes are not stored, the journal has them", len(self.queue))
        for item in self.queue:
            item.settle(StoreBusyError(self.retry_after_ms))

    async def _wait_for_changes(self) -> bool:
        """Waits for a queued change; returns False once the writer closes and the queue is empty."""
        while not self.queue:
            if self.is_closing:
                await asyncio.sleep(0)  # callers that waited for the last commit may queue more
                return bool(self.queue)
            self.has_work.clear()
            if not self.is_store_unavailable:
                await self.has_work.wait()
            elif not await self._has_work_within(self.backoff_s):
                await self._probe_store()
        return True

    async def _has_work_within(self, seconds: float) -> bool:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.has_work.wait(), seconds)
        return self.has_work.is_set()

    async def _probe_store(self) -> None:
        """Tries an unavailable store while nothing is queued: new changes are rejected until it is back."""
        try:
            await self.call(lambda store: store.read(PROBED_IDS))
        except StoreError:
            await asyncio.get_running_loop().run_in_executor(self.thread, self._close_store)
            self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        else:
            self._mark_available()

    async def _take_group(self) -> list[QueuedChange]:
        """Removes the changes of the next commit from the queue, after a delay if none is urgent."""
        if not self.has_urgent_work.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.has_urgent_work.wait(), COMMIT_DELAY_S)
        size = min(len(self.queue), self.max_changes_per_commit)
        group = [self.queue.popleft() for _ in range(size)]
        if not self.is_closing and not any(item.urgent for item in self.queue):
            self.has_urgent_work.clear()
        return group

    async def _try_group(self, group: list[QueuedChange]) -> bool:
        """Commits a group as `_write_group` does; an internal error counts as an uncertain commit."""
        try:
            return await self._write_group(group)
        except Exception:
            log.exception("store of record: a commit failed by an internal error, retrying")
            await self._close_uncertain(group)
            return False

    async def _close_uncertain(self, group: list[QueuedChange]) -> None:
        """Closes the store after an uncertain commit; the retry applies only changes that are not stored."""
        self.is_store_unavailable = True
        for item in group:
            # A rejection would leave an incomplete record in the store.
            item.optional = False
        await asyncio.get_running_loop().run_in_executor(self.thread, self._close_store)

    async def _write_group(self, group: list[QueuedChange]) -> bool:
        """Commits a group; returns whether each change has its result, False if it must be retried."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        changes = [item.change for item in group]
        try:
            ids_in_use = await self._wait_for_commit(loop.run_in_executor(self.thread, self._commit, changes))
        except RecordRuleError:
            return await self._write_individually(group)
        except CommitUncertainError as error:
            log.warning("store of record: a commit is uncertain and will be read back: %s", error)
            self._mark_unavailable(error)
            await self._close_uncertain(group)
            return False
        except StoreError as error:
            self._mark_unavailable(error)
            await loop.run_in_executor(self.thread, self._close_store)
            self._reject_optional(group)
            self._reject_queued()
            return False
        self._mark_available()
        self._log_commit_duration(loop.time() - started_at)
        self.commits += 1
        self.changes += len(group)
        for index, item in enumerate(group):
            item.settle(IdInUseError(ids_in_use[index]) if index in ids_in_use else None)
        return True

    async def _wait_for_commit(
        self, commit: asyncio.Future[dict[int, MessageRecord]]
    ) -> dict[int, MessageRecord]:
        """Waits for a commit; one that hangs makes the store unavailable until it ends."""
        done, _ = await asyncio.wait((commit,), timeout=MAX_COMMIT_S)
        if not done:
            self._mark_unavailable(StoreUnavailableError(f"a commit has taken {MAX_COMMIT_S:g} s so far"))
            self._reject_queued()
        return await commit

    def _reject_queued(self) -> None:
        """Rejects the queued changes whose step has not been taken.

        They leave the queue first: the rejection of a change may queue others, and gives its number back.
        """
        rejected = [item for item in self.queue if item.optional]
        self.queue = deque(item for item in self.queue if not item.optional)
        self._reject_optional(rejected)

    def _reject_optional(self, items: Iterable[QueuedChange]) -> None:
        for item in items:
            if item.optional:
                item.settle(StoreBusyError(self.retry_after_ms))

    def _log_commit_duration(self, duration_s: float) -> None:
        """Logs when commits become slow and when they recover, which explains rejections and delays."""
        if self.is_store_slow != (duration_s >= SLOW_COMMIT_S):
            self.is_store_slow = not self.is_store_slow
            if self.is_store_slow:
                log.warning("the store of record is slow: a commit took %.2f s", duration_s)
            else:
                log.info("the store of record is no longer slow")

    async def _write_individually(self, group: list[QueuedChange]) -> bool:
        """Commits each change of a group alone, so that an invalid one does not block the others."""
        if len(group) == 1:
            item = group[0]
            log.error("the store of record rejected an invalid change: %s", item.change)
            item.settle(
                RecordRuleError(f"{item.change.message_id}: invalid change {item.change.kind.value!r}")
            )
            return True
        results = [await self._write_group([item]) for item in group]
        return all(results)

    def _mark_available(self) -> None:
        if self.is_store_unavailable:
            log.warning("the store of record is available again")
        self.is_store_unavailable, self.backoff_s = False, MIN_BACKOFF_S

    def _mark_unavailable(self, error: StoreError) -> None:
        if not self.is_store_unavailable:
            level = logging.ERROR if isinstance(error, StoreUnusableError) else logging.WARNING
            log.log(level, "the store of record is unavailable: %s", error)
        self.is_store_unavailable = True
