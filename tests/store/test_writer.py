"""The writer: group commits, a bounded queue, and a store that is unavailable, slow or uncertain."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path

import pytest

from loftrelay.store import writer as writer_module
from loftrelay.store.backend import CommitUncertainError, RecordQuery, StoreError, StoreUnavailableError
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import Change, MessageRecord, RecordRuleError, RecordState
from loftrelay.store.writer import IdInUseError, StoreBusyError, Writer
from tests.standins.harness import TEST_TIMEOUT_S
from tests.store.test_sqlite import make_changes


class FaultyStore:
    """A SQLite store with scripted faults: each commit uses up one of `faults`; `gate` blocks commits."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.faults: list[str] = []
        self.gate = threading.Event()
        self.gate.set()
        self.open_count = 0
        self.commit_sizes: list[int] = []

    def open(self) -> FaultyStore:
        self.open_count += 1
        self.store = SQLiteStore(self.path)
        return self

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        self.gate.wait(60)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unavailable":
            raise StoreUnavailableError("unavailable")
        if fault == "internal error":
            raise RuntimeError(fault)
        if fault == "uncertain, not stored":
            raise CommitUncertainError("connection lost")
        ids_in_use = self.store.commit(changes)
        self.commit_sizes.append(len(changes))
        if fault == "uncertain, stored":
            raise CommitUncertainError("connection lost")
        return ids_in_use

    def read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        return self.store.read(messages)

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        return self.store.select(query)

    def prune(self, before: int, max_rows: int) -> int:
        return self.store.prune(before, max_rows)

    def verify(self) -> list[str]:
        return self.store.verify()

    def close(self) -> None:
        self.store.close()


def run_scenario(
    folder: Path, scenario: Callable[[FaultyStore, Writer], Awaitable[None]], **limits: int
) -> None:
    async def main() -> None:
        store = FaultyStore(folder / "r.sqlite")
        writer = Writer(store.open, **limits)
        await scenario(store, writer)
        store.gate.set()
        await writer.close()

    asyncio.run(main())


def test_writer_commits_changes_queued_during_a_commit_together(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.gate.clear()
        writes = [writer.write(make_changes(f"m{i}")[0]) for i in range(300)]
        await asyncio.sleep(0)
        iterations = 0
        for _ in range(100):  # the event loop runs while the commit is blocked
            await asyncio.sleep(0)
            iterations += 1
        assert iterations == 100
        assert not any(write.done() for write in writes)
        store.gate.set()
        await asyncio.gather(*writes)
        assert sum(store.commit_sizes) == 300
        assert len(store.commit_sizes) <= 3
        records = await writer.call(lambda s: list(s.select(RecordQuery())))
        assert len(records) == 300

    run_scenario(tmp_path, scenario)


def test_writer_goes_on_after_a_callback_has_raised(tmp_path: Path) -> None:
    """The exception ended the writer's task unseen: later changes were queued and never written."""

    def raise_error(error: Exception | None) -> None:
        raise RuntimeError("the client's connection is closed")

    async def scenario(store: FaultyStore, writer: Writer) -> None:
        writer.put(make_changes("m1")[0], raise_error)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await asyncio.gather(writer.write(make_changes("m2")[0]), writer.write(make_changes("m3")[0]))
        assert len(await writer.call(lambda s: list(s.select(RecordQuery())))) == 3

    run_scenario(tmp_path, scenario)


def test_writer_retries_after_an_internal_error_of_a_commit(tmp_path: Path) -> None:
    """Such an error ended the writer's task, and the changes of the commit were lost."""

    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.faults = ["internal error"]
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await writer.write(make_changes("m")[0], optional=True)
        assert store.open_count == 2
        assert not writer.is_store_unavailable

    run_scenario(tmp_path, scenario)


def test_writer_with_empty_queue_notices_that_the_store_is_back(tmp_path: Path) -> None:
    """With nothing but optional changes queued the store was never tried again, and each was rejected."""

    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.faults = ["unavailable"]
        with pytest.raises(StoreBusyError):
            await writer.write(make_changes("m")[0], optional=True)
        assert not writer.queue
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while writer.is_store_unavailable:
                await asyncio.sleep(0.01)
        await writer.write(make_changes("m")[0], optional=True)

    run_scenario(tmp_path, scenario)


def test_writer_with_unavailable_store_rejects_optional_changes_and_keeps_others(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        await writer.write(make_changes("m")[0])
        store.faults = ["unavailable"] * 3
        begin, decide, report = make_changes("m")[1:]
        required = [writer.write(begin), writer.write(decide), writer.write(report)]
        with pytest.raises(StoreBusyError) as error:
            await writer.write(make_changes("new")[0], optional=True)
        assert error.value.retry_after_ms > 0
        assert writer.is_store_unavailable
        with pytest.raises(StoreBusyError):  # without calling the store
            await writer.write(make_changes("newer")[0], optional=True)
        await asyncio.gather(*required)
        assert not writer.is_store_unavailable
        assert store.open_count == 4
        records = await writer.call(lambda s: s.read(["m", "new", "newer"]))
        assert set(records) == {"m"}
        assert records["m"].state is RecordState.REPORTED

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["uncertain, not stored", "uncertain, stored"])
def test_writer_stores_changes_of_an_uncertain_commit_once(tmp_path: Path, fault: str) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.faults = [fault, fault]
        await asyncio.gather(*(writer.write(change) for change in make_changes("m")))
        await asyncio.gather(*(writer.write(change, optional=True) for change in make_changes("n")))
        records = await writer.call(lambda s: s.read(["m", "n"]))
        assert [records[name].attempts for name in ("m", "n")] == [1, 1]
        assert not await writer.call(lambda s: s.verify())

    run_scenario(tmp_path, scenario)


def test_writer_keeps_optional_change_that_may_be_stored(tmp_path: Path) -> None:
    """Rejected, it would leave a record that stays admitted, and its id would be in progress for good."""

    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.faults = ["uncertain, stored", "unavailable", "unavailable"]
        write = writer.write(make_changes("m")[0], optional=True)
        await write
        assert not store.faults
        assert set(await writer.call(lambda s: s.read(["m"]))) == {"m"}

    run_scenario(tmp_path, scenario)


def test_writer_reports_id_in_use_and_stores_rest_of_group(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        await asyncio.gather(*(writer.write(change) for change in make_changes("m", instance="n2")))
        writes = [writer.write(make_changes("m", at=9)[0]), writer.write(make_changes("other")[0])]
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert isinstance(results[0], IdInUseError)
        assert results[0].record.metadata.instance == "n2"
        assert results[1] is None

    run_scenario(tmp_path, scenario)


def test_writer_with_invalid_change_fails_only_that_change(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.gate.clear()
        first = writer.write(make_changes("first")[0])
        await asyncio.sleep(0)
        bad, good = writer.write(make_changes("bad")[1]), writer.write(make_changes("good")[0])
        store.gate.set()
        results = await asyncio.gather(first, bad, good, return_exceptions=True)
        assert isinstance(results[1], RecordRuleError)
        assert (results[0], results[2]) == (None, None)

    run_scenario(tmp_path, scenario)


def test_writer_with_full_queue_rejects_optional_changes(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        store.gate.clear()
        writes = [writer.write(make_changes(f"m{i}")[0], optional=True) for i in range(20)]
        await asyncio.sleep(0)  # the result never comes before `write` returns
        rejected = [write for write in writes if write.done()]
        assert 9 <= len(rejected) <= 10
        assert all(isinstance(write.exception(), StoreBusyError) for write in rejected)
        store.gate.set()
        await asyncio.gather(*writes, return_exceptions=True)

    run_scenario(tmp_path, scenario, max_queued=10)


def test_writer_delays_changes_until_an_urgent_one_or_the_delay(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        monkeypatch.setattr(writer_module, "COMMIT_DELAY_S", 3600)
        await writer.write(make_changes("first")[0])
        delayed = [writer.write(change, urgent=False) for name in "abc" for change in make_changes(name)]
        for _ in range(20):
            await asyncio.sleep(0)
        assert store.commit_sizes == [1]
        await writer.write(make_changes("urgent")[0])
        assert store.commit_sizes == [1, 13]
        assert all(write.done() for write in delayed)
        monkeypatch.setattr(writer_module, "COMMIT_DELAY_S", 0)
        await writer.write(make_changes("late")[0], urgent=False)  # alone, after the delay
        assert store.commit_sizes == [1, 13, 1]

    run_scenario(tmp_path, scenario)


def test_writer_commits_full_group_without_delay(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        monkeypatch.setattr(writer_module, "COMMIT_DELAY_S", 3600)
        await asyncio.gather(*(writer.write(change, urgent=False) for change in make_changes("m")))
        assert store.commit_sizes == [4]

    run_scenario(tmp_path, scenario, max_changes_per_commit=4)


def test_close_writes_queued_changes(tmp_path: Path) -> None:
    async def scenario(store: FaultyStore, writer: Writer) -> None:
        writes = [writer.write(change) for change in make_changes("m")]
        await writer.close()
        assert all(write.done() and write.exception() is None for write in writes)
        with pytest.raises(StoreBusyError):
            await writer.write(make_changes("late")[0], optional=True)

    async def main() -> None:
        store = FaultyStore(tmp_path / "r.sqlite")
        await scenario(store, Writer(store.open))
        check = SQLiteStore(tmp_path / "r.sqlite")
        assert check.read(["m"])["m"].state is RecordState.REPORTED
        check.close()

    asyncio.run(main())


@pytest.mark.parametrize("is_hanging", [False, True], ids=["unavailable", "hanging"])
def test_rejection_that_queues_another_change_rejects_all_and_stores_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_hanging: bool
) -> None:
    """The queue changed while it was gone over: rejected changes stayed in it, and took others' numbers."""

    async def scenario(store: FaultyStore, writer: Writer) -> None:
        errors: list[Exception | None] = []

        def queue_another(error: Exception | None) -> None:
            errors.append(error)
            writer.put(make_changes(f"other{len(errors)}")[0])

        monkeypatch.setattr(writer_module, "MAX_COMMIT_S", 0.05 if is_hanging else TEST_TIMEOUT_S)
        store.faults = [] if is_hanging else ["unavailable"]
        store.gate.clear()
        writer.put(make_changes("first")[0])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while writer.queue:  # its commit has not begun
                await asyncio.sleep(0)
        for number in range(3):
            writer.put(make_changes(f"rejected{number}")[0], queue_another, optional=True)
        if not is_hanging:
            store.gate.set()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(errors) < 3:
                await asyncio.sleep(0.01)
            store.gate.set()
            records: set[str] = set()
            while len(records) < 4:
                await asyncio.sleep(0.01)
                with contextlib.suppress(StoreError):
                    found = await writer.call(lambda s: list(s.select(RecordQuery())))
                    records = {record.message_id for record in found}
        assert [type(error) for error in errors] == [StoreBusyError] * 3
        assert records == {"first", "other1", "other2", "other3"}

    run_scenario(tmp_path, scenario)
