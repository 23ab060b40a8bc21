"""The recorder: a store that is slow, ids that come again, clocks that step back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.relay.message import Message
from loftrelay.store import recorder as module
from loftrelay.store.backend import RecordQuery
from loftrelay.store.recorder import AdmissionDecision, Recorder
from loftrelay.store.state_machine import (
    DurabilityMode,
    MessageIdStatus,
    MessageRecord,
    RecordState,
    StoredFinalStatus,
)
from loftrelay.store.writer import Writer
from tests.store.test_writer import Faulty

HOUR = 3_600_000_000
AT = 1_800_000_000_000_000


class Clock:
    """In place of the wall clock."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = AT
        monkeypatch.setattr(module, "wall_clock", lambda: self.now)

    def held(self, name: str, class_name: str = "order") -> Message:
        return Message(name, 0, class_name, "acme", 1, None, self.now, self.now + 9_000_000)


NEVER = 3600.0  # seconds of patience where no refusal is looked for: opening a file may take its time


def run(folder: Path, scenario: Callable[[Faulty, Recorder], Awaitable[None]]) -> None:
    """The recorder's patience is the scenario's own: it is short only while the store's gate is shut."""

    async def main() -> None:
        store = Faulty(folder / "r.sqlite")
        modes = {"order": DurabilityMode.WRITE_AHEAD, "status": DurabilityMode.WRITE_BEHIND}
        recorder = Recorder(Writer(store.open), "n1", modes, HOUR, max_store_wait_s=NEVER)
        await scenario(store, recorder)
        store.gate.set()
        await recorder.close()

    asyncio.run(main())


def beside(recorder: Recorder) -> Recorder:
    """Another instance at the same store."""
    return Recorder(recorder.writer, "n2", recorder.modes, HOUR, max_store_wait_s=NEVER)


async def take(recorder: Recorder, held: Message) -> AdmissionDecision:
    told: asyncio.Future[AdmissionDecision] = asyncio.get_running_loop().create_future()
    recorder.admit(held, told.set_result)
    return await told


async def live(
    recorder: Recorder, held: Message, answer: StoredFinalStatus = StoredFinalStatus.DELIVERED
) -> None:
    """One attempt, and its end, told."""
    loop = asyncio.get_running_loop()
    went: asyncio.Future[bool] = loop.create_future()
    recorder.request_attempt([held], "h1", went.set_result)
    assert await went
    ended: asyncio.Future[None] = loop.create_future()
    recorder.record_final_status(held.id, answer.value, "OK", lambda: ended.set_result(None))
    await ended
    recorder.final_status_reported(held.id)


async def stored(recorder: Recorder) -> dict[str, MessageRecord]:
    return await recorder.writer.call(lambda store: {e.message_id: e for e in store.select(RecordQuery())})


def test_a_slow_store_refuses_and_what_it_has_in_the_end_is_recorded_as_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)

    async def scenario(store: Faulty, recorder: Recorder) -> None:
        store.gate.clear()
        recorder.max_store_wait_s = 0.01
        first = await take(recorder, clock.held("m"))
        assert first.retry_after_ms >= 1000
        again = await take(recorder, clock.held("m"))  # nobody knows yet whether the store will have it
        assert again.retry_after_ms >= 1000
        assert (await take(recorder, clock.held("follows", "status"))).id_status is MessageIdStatus.NEW
        store.gate.set()
        async with asyncio.timeout(60):
            while recorder.positions["m"].state is RecordState.ADMITTED:
                await asyncio.sleep(0)
            # Its refusal is on its way to the store: an earlier form took the id on anew here, and lost it.
            assert (await take(recorder, clock.held("m"))).retry_after_ms >= 1000
            while (
                "m" in recorder.positions
                or (entry := (await stored(recorder))["m"]).state is not RecordState.REPORTED
            ):
                await asyncio.sleep(0)
        assert (entry.final_status, entry.attempts) == (StoredFinalStatus.REJECTED, 0)
        recorder.max_store_wait_s = NEVER
        clock.now += 1_000_000
        verdict = await take(recorder, clock.held("m"))
        assert verdict.id_status is MessageIdStatus.NEW
        assert not verdict.retry_after_ms
        assert (await stored(recorder))["m"].admission_number == 2

    run(tmp_path, scenario)


def test_a_slow_store_that_has_the_id_already_changes_nothing_of_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)

    async def scenario(store: Faulty, recorder: Recorder) -> None:
        held = clock.held("m")
        assert (await take(recorder, held)).id_status is MessageIdStatus.NEW
        await live(recorder, held)
        await stored(recorder)
        recorder.max_store_wait_s = 0.01
        store.gate.clear()
        assert (await take(recorder, clock.held("m"))).retry_after_ms
        store.gate.set()
        async with asyncio.timeout(60):
            while "m" in recorder.positions:
                await asyncio.sleep(0)
        entry = (await stored(recorder))["m"]
        assert (entry.admission_number, entry.final_status) == (1, StoredFinalStatus.DELIVERED)

    run(tmp_path, scenario)


def test_an_id_whose_refusal_is_being_told_elsewhere_is_refused_and_not_said_to_be_in_progress(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a 202 nothing would come: the instance that has it sends no notice but the refusal."""
    clock = Clock(monkeypatch)

    async def scenario(store: Faulty, recorder: Recorder) -> None:
        held = clock.held("m")
        await take(recorder, held)
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        recorder.record_final_status("m", "refused", None, lambda: ended.set_result(None))
        await ended
        other = beside(recorder)
        clock.now += 1
        verdict = await take(other, clock.held("m"))
        assert (verdict.status, verdict.retry_after_ms >= 1000) == (503, True)
        recorder.final_status_reported("m")
        assert (await take(other, clock.held("m"))).id_status is MessageIdStatus.NEW

    run(tmp_path, scenario)


@pytest.mark.parametrize("step", [-HOUR, -1, HOUR // 2], ids=["hour back", "tick back", "half an hour on"])
def test_a_clock_that_steps_neither_forgets_an_id_early_nor_spoils_a_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    clock = Clock(monkeypatch)

    async def scenario(store: Faulty, recorder: Recorder) -> None:
        held = clock.held("m")
        assert (await take(recorder, held)).id_status is MessageIdStatus.NEW
        clock.now += step
        await live(recorder, held)
        other = beside(recorder)  # whose clock is right
        for now in (AT + step, AT):
            clock.now = now
            assert (await take(other, clock.held("m"))).id_status is MessageIdStatus.DELIVERED
        assert (await take(other, clock.held("new"))).id_status is MessageIdStatus.NEW
        assert not await recorder.writer.call(lambda store: store.verify())
        assert (await recorder.writer.call(lambda store: store.prune(AT - 2 * HOUR, 9))) == 0

    run(tmp_path, scenario)


def test_a_clock_that_steps_back_keeps_two_runs_of_an_id_apart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second taking on has an earlier time than the first one's end."""
    clock = Clock(monkeypatch)

    async def scenario(store: Faulty, recorder: Recorder) -> None:
        held = clock.held("m")
        await take(recorder, held)
        await live(recorder, held, StoredFinalStatus.REJECTED)
        clock.now -= 2 * HOUR
        again = clock.held("m")
        assert (await take(recorder, again)).id_status is MessageIdStatus.NEW
        assert (await take(beside(recorder), clock.held("m"))).id_status is MessageIdStatus.IN_PROGRESS
        await live(recorder, again)
        entry = (await stored(recorder))["m"]
        assert (entry.admission_number, entry.final_status, entry.attempts) == (
            2,
            StoredFinalStatus.DELIVERED,
            1,
        )

    run(tmp_path, scenario)
