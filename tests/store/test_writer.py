"""The writer: many changes in a commit, a bounded queue, and a store that is away, slow or ambiguous."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable, Iterator, Sequence
from pathlib import Path

import pytest

from loftrelay.store import writer as module
from loftrelay.store.backend import CommitUncertainError, RecordQuery, StoreUnavailableError
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import Change, MessageRecord, RecordRuleError, RecordState
from loftrelay.store.writer import IdInUseError, StoreBusyError, Writer
from tests.store.test_sqlite import life


class Faulty:
    """A store that fails when it is told to: each of `faults` is used up by one commit."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.faults: list[str] = []
        self.gate = threading.Event()
        self.gate.set()
        self.opened = 0
        self.groups: list[int] = []

    def open(self) -> Faulty:
        self.opened += 1
        self.store = SQLiteStore(self.path)
        return self

    def commit(self, changes: Sequence[Change]) -> dict[int, MessageRecord]:
        self.gate.wait(60)
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "away":
            raise StoreUnavailableError("away")
        if fault == "cut before":
            raise CommitUncertainError("cut")
        kept = self.store.commit(changes)
        self.groups.append(len(changes))
        if fault == "cut after":
            raise CommitUncertainError("cut")
        return kept

    def read(self, messages: Sequence[str]) -> dict[str, MessageRecord]:
        return self.store.read(messages)

    def select(self, query: RecordQuery) -> Iterator[MessageRecord]:
        return self.store.select(query)

    def prune(self, before: int, most: int) -> int:
        return self.store.prune(before, most)

    def verify(self) -> list[str]:
        return self.store.verify()

    def close(self) -> None:
        self.store.close()


def run(folder: Path, scenario: Callable[[Faulty, Writer], Awaitable[None]], **bounds: int) -> None:
    async def main() -> None:
        store = Faulty(folder / "r.sqlite")
        writer = Writer(store.open, **bounds)
        await scenario(store, writer)
        store.gate.set()
        await writer.close()

    asyncio.run(main())


def test_what_comes_while_a_commit_is_under_way_makes_the_next_one(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        store.gate.clear()
        writes = [writer.write(life(f"m{i}")[0]) for i in range(300)]
        await asyncio.sleep(0)
        turns = 0
        for _ in range(100):  # the loop goes on while the disk does not
            await asyncio.sleep(0)
            turns += 1
        assert turns == 100
        assert not any(write.done() for write in writes)
        store.gate.set()
        await asyncio.gather(*writes)
        assert sum(store.groups) == 300
        assert len(store.groups) <= 3
        entries = await writer.call(lambda s: list(s.select(RecordQuery())))
        assert len(entries) == 300

    run(tmp_path, scenario)


def test_a_store_that_is_away_refuses_at_once_what_has_not_begun_and_keeps_the_rest(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        await writer.write(life("m")[0])
        store.faults = ["away"] * 3
        intend, outcome, told = life("m")[1:]
        kept = [writer.write(intend), writer.write(outcome), writer.write(told)]
        with pytest.raises(StoreBusyError) as refusal:
            await writer.write(life("new")[0], optional=True)
        assert refusal.value.retry_after_ms > 0
        assert writer.is_store_unavailable
        with pytest.raises(StoreBusyError):  # without a try of the store
            await writer.write(life("newer")[0], optional=True)
        await asyncio.gather(*kept)
        assert not writer.is_store_unavailable
        assert store.opened == 4
        found = await writer.call(lambda s: s.read(["m", "new", "newer"]))
        assert set(found) == {"m"}
        assert found["m"].state is RecordState.REPORTED

    run(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["cut before", "cut after"])
def test_a_commit_cut_off_is_stored_once_whichever_side_of_it_the_cut_was(tmp_path: Path, fault: str) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        store.faults = [fault, fault]
        await asyncio.gather(*(writer.write(change) for change in life("m")))
        await asyncio.gather(*(writer.write(change, optional=True) for change in life("n")))
        found = await writer.call(lambda s: s.read(["m", "n"]))
        assert [found[name].attempts for name in ("m", "n")] == [1, 1]
        assert not await writer.call(lambda s: s.verify())

    run(tmp_path, scenario)


def test_what_may_be_stored_is_not_given_up_when_the_store_then_stays_away(tmp_path: Path) -> None:
    """Its record would stand as taken on for good, and the id be held to be in progress."""

    async def scenario(store: Faulty, writer: Writer) -> None:
        store.faults = ["cut after", "away", "away"]
        write = writer.write(life("m")[0], optional=True)
        await write
        assert not store.faults
        assert set(await writer.call(lambda s: s.read(["m"]))) == {"m"}

    run(tmp_path, scenario)


def test_an_id_that_another_has_is_told_so_and_the_rest_of_its_group_is_stored(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        await asyncio.gather(*(writer.write(change) for change in life("m", instance="n2")))
        writes = [writer.write(life("m", at=9)[0]), writer.write(life("other")[0])]
        results = await asyncio.gather(*writes, return_exceptions=True)
        assert isinstance(results[0], IdInUseError)
        assert results[0].record.metadata.instance == "n2"
        assert results[1] is None

    run(tmp_path, scenario)


def test_a_change_that_breaks_the_rules_fails_alone(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        store.gate.clear()
        first = writer.write(life("first")[0])
        await asyncio.sleep(0)
        bad, good = writer.write(life("bad")[1]), writer.write(life("good")[0])
        store.gate.set()
        results = await asyncio.gather(first, bad, good, return_exceptions=True)
        assert isinstance(results[1], RecordRuleError)
        assert (results[0], results[2]) == (None, None)

    run(tmp_path, scenario)


def test_the_queue_is_bounded_for_what_has_not_begun(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        store.gate.clear()
        writes = [writer.write(life(f"m{i}")[0], optional=True) for i in range(20)]
        await asyncio.sleep(0)  # never told before `write` returns
        refused = [write for write in writes if write.done()]
        assert 9 <= len(refused) <= 10
        assert all(isinstance(write.exception(), StoreBusyError) for write in refused)
        store.gate.set()
        await asyncio.gather(*writes, return_exceptions=True)

    run(tmp_path, scenario, max_queued=10)


def test_what_nobody_waits_for_gathers_and_goes_with_what_is_urgent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        monkeypatch.setattr(module, "GATHER_TIME_S", 3600)
        await writer.write(life("first")[0])
        slow = [writer.write(change, urgent=False) for name in "abc" for change in life(name)]
        for _ in range(20):
            await asyncio.sleep(0)
        assert store.groups == [1]
        await writer.write(life("urgent")[0])
        assert store.groups == [1, 13]
        assert all(write.done() for write in slow)
        monkeypatch.setattr(module, "GATHER_TIME_S", 0)
        await writer.write(life("late")[0], urgent=False)  # and alone, after a while
        assert store.groups == [1, 13, 1]

    run(tmp_path, scenario)


def test_a_full_group_does_not_wait_for_more(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        monkeypatch.setattr(module, "GATHER_TIME_S", 3600)
        await asyncio.gather(*(writer.write(change, urgent=False) for change in life("m")))
        assert store.groups == [4]

    run(tmp_path, scenario, max_changes_per_commit=4)


def test_closing_writes_what_is_queued(tmp_path: Path) -> None:
    async def scenario(store: Faulty, writer: Writer) -> None:
        writes = [writer.write(change) for change in life("m")]
        await writer.close()
        assert all(write.done() and write.exception() is None for write in writes)
        with pytest.raises(StoreBusyError):
            await writer.write(life("late")[0], optional=True)

    async def main() -> None:
        store = Faulty(tmp_path / "r.sqlite")
        await scenario(store, Writer(store.open))
        check = SQLiteStore(tmp_path / "r.sqlite")
        assert check.read(["m"])["m"].state is RecordState.REPORTED
        check.close()

    asyncio.run(main())
