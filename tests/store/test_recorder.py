"""The recorder: a slow store, ids that are submitted again, and a wall clock that steps."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import pack
from loftrelay.relay.ports import RecoveryAction
from loftrelay.store import recorder as recorder_module
from loftrelay.store.admission import AdmissionDecision
from loftrelay.store.backend import RecordQuery
from loftrelay.store.durability import DurabilityPolicy
from loftrelay.store.recorder import Recorder
from loftrelay.store.state_machine import (
    MessageIdStatus,
    MessageRecord,
    RecordState,
    StoredFinalStatus,
)
from loftrelay.store.writer import Writer
from tests.store.test_writer import FaultyStore

HOUR_US = 3_600_000_000
START_US = 1_800_000_000_000_000


class FakeClock:
    """Replaces the wall clock of the recorder."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = START_US
        monkeypatch.setattr(recorder_module, "wall_clock", lambda: self.now)

    def make_message(self, message_id: str, class_name: str = "order") -> Message:
        deadline = self.now + 9_000_000
        semantics = {"order": DeliverySemantics.AT_MOST_ONCE, "status": DeliverySemantics.IDEMPOTENT}[
            class_name
        ]
        terms = pack(MessageClass(class_name, semantics, None, None, None, None, None, None, False), None)
        return Message(message_id, 0, class_name, "acme", 1, None, self.now, deadline, packed_terms=terms)


# max_store_wait_s where no rejection is expected: opening a file may take long.
LONG_WAIT_S = 3600.0


def run_scenario(folder: Path, scenario: Callable[[FaultyStore, Recorder], Awaitable[None]]) -> None:
    """Runs a scenario, which shortens `max_store_wait_s` only while the gate of the store is closed."""

    async def main() -> None:
        store = FaultyStore(folder / "r.sqlite")
        recorder = Recorder(
            Writer(store.open), "n1", DurabilityPolicy(), HOUR_US, max_store_wait_s=LONG_WAIT_S
        )
        await scenario(store, recorder)
        store.gate.set()
        await recorder.close()

    asyncio.run(main())


def make_other_recorder(recorder: Recorder) -> Recorder:
    """Returns a recorder of another instance on the same store."""
    return Recorder(recorder.writer, "n2", recorder.durability, HOUR_US, max_store_wait_s=LONG_WAIT_S)


async def admit(recorder: Recorder, message: Message) -> AdmissionDecision:
    decision: asyncio.Future[AdmissionDecision] = asyncio.get_running_loop().create_future()
    recorder.admit(message, decision.set_result)
    return await decision


async def complete(
    recorder: Recorder, message: Message, final_status: StoredFinalStatus = StoredFinalStatus.DELIVERED
) -> None:
    """Records one attempt, the final status and its report."""
    loop = asyncio.get_running_loop()
    allowed: asyncio.Future[bool] = loop.create_future()
    recorder.request_attempt([message], "h1", allowed.set_result)
    assert await allowed
    recorded: asyncio.Future[None] = loop.create_future()
    recorder.record_final_status(message.id, final_status.value, "OK", lambda: recorded.set_result(None))
    await recorded
    recorder.final_status_reported(message.id)


async def read_records(recorder: Recorder) -> dict[str, MessageRecord]:
    return await recorder.writer.call(lambda store: {e.message_id: e for e in store.select(RecordQuery())})


def test_admit_with_slow_store_rejects_and_records_the_rejection(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        store.gate.clear()
        recorder.max_store_wait_s = 0.01
        first = await admit(recorder, clock.make_message("m"))
        assert first.retry_after_ms >= 1000
        again = await admit(recorder, clock.make_message("m"))  # whether the store has it is not known yet
        assert again.retry_after_ms >= 1000
        assert (
            await admit(recorder, clock.make_message("status-1", "status"))
        ).id_status is MessageIdStatus.NEW
        store.gate.set()
        async with asyncio.timeout(60):
            while recorder.positions["m"].state is RecordState.ADMITTED:
                await asyncio.sleep(0)
            # The rejection is queued: an earlier version admitted the id again here, and lost the message.
            assert (await admit(recorder, clock.make_message("m"))).retry_after_ms >= 1000
            while (
                "m" in recorder.positions
                or (record := (await read_records(recorder))["m"]).state is not RecordState.REPORTED
            ):
                await asyncio.sleep(0)
        assert (record.final_status, record.attempts) == (StoredFinalStatus.REJECTED, 0)
        recorder.max_store_wait_s = LONG_WAIT_S
        clock.now += 1_000_000
        decision = await admit(recorder, clock.make_message("m"))
        assert decision.id_status is MessageIdStatus.NEW
        assert not decision.retry_after_ms
        assert (await read_records(recorder))["m"].admission_number == 2

    run_scenario(tmp_path, scenario)


def test_admit_of_recorded_id_with_slow_store_keeps_the_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        message = clock.make_message("m")
        assert (await admit(recorder, message)).id_status is MessageIdStatus.NEW
        await complete(recorder, message)
        await read_records(recorder)
        recorder.max_store_wait_s = 0.01
        store.gate.clear()
        assert (await admit(recorder, clock.make_message("m"))).retry_after_ms
        store.gate.set()
        async with asyncio.timeout(60):
            while "m" in recorder.positions:
                await asyncio.sleep(0)
        record = (await read_records(recorder))["m"]
        assert (record.admission_number, record.final_status) == (1, StoredFinalStatus.DELIVERED)

    run_scenario(tmp_path, scenario)


def test_admit_of_id_with_unreported_rejection_elsewhere_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a 202 the client would wait in vain: the other instance reports nothing but the rejection."""
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        message = clock.make_message("m")
        await admit(recorder, message)
        recorded: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        recorder.record_final_status("m", "refused", None, lambda: recorded.set_result(None))
        await recorded
        other = make_other_recorder(recorder)
        clock.now += 1
        decision = await admit(other, clock.make_message("m"))
        assert (decision.status, decision.retry_after_ms >= 1000) == (503, True)
        recorder.final_status_reported("m")
        assert (await admit(other, clock.make_message("m"))).id_status is MessageIdStatus.NEW

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "step", [-HOUR_US, -1, HOUR_US // 2], ids=["hour back", "microsecond back", "half an hour forward"]
)
def test_recorder_with_stepped_clock_keeps_ids_and_valid_records(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: int
) -> None:
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        message = clock.make_message("m")
        assert (await admit(recorder, message)).id_status is MessageIdStatus.NEW
        clock.now += step
        await complete(recorder, message)
        other = make_other_recorder(recorder)  # its clock does not step
        for now in (START_US + step, START_US):
            clock.now = now
            assert (await admit(other, clock.make_message("m"))).id_status is MessageIdStatus.DELIVERED
        assert (await admit(other, clock.make_message("new"))).id_status is MessageIdStatus.NEW
        assert not await recorder.writer.call(lambda store: store.verify())
        assert (await recorder.writer.call(lambda store: store.prune(START_US - 2 * HOUR_US, 9))) == 0

    run_scenario(tmp_path, scenario)


def test_recorder_with_clock_stepped_back_separates_two_admissions_of_an_id(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second admission has an earlier time than the final status of the first."""
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        message = clock.make_message("m")
        await admit(recorder, message)
        await complete(recorder, message, StoredFinalStatus.REJECTED)
        clock.now -= 2 * HOUR_US
        again = clock.make_message("m")
        assert (await admit(recorder, again)).id_status is MessageIdStatus.NEW
        assert (
            await admit(make_other_recorder(recorder), clock.make_message("m"))
        ).id_status is MessageIdStatus.IN_PROGRESS
        await complete(recorder, again)
        record = (await read_records(recorder))["m"]
        assert (record.admission_number, record.final_status, record.attempts) == (
            2,
            StoredFinalStatus.DELIVERED,
            1,
        )

    run_scenario(tmp_path, scenario)


def test_recover_ignores_the_record_of_another_admission_of_the_id(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Killed while the store looked the id up, the relay ran a message that another instance answers for."""
    clock = FakeClock(monkeypatch)

    async def scenario(store: FaultyStore, recorder: Recorder) -> None:
        await admit(make_other_recorder(recorder), clock.make_message("theirs"))
        await admit(recorder, clock.make_message("ours"))
        restarted = Recorder(recorder.writer, "n1", recorder.durability, HOUR_US)
        messages = [clock.make_message("theirs"), clock.make_message("ours"), clock.make_message("lost")]
        await restarted.load([message.id for message in messages])
        for message in messages:
            message.awaits_store = True
        actions = [restarted.recover(message, message.id, True) for message in messages]
        assert actions == [RecoveryAction.DISCARD, RecoveryAction.RESUME, RecoveryAction.DISCARD]

    run_scenario(tmp_path, scenario)


def test_close_with_unavailable_store_does_not_report_a_final_status_as_recorded(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It did: the journal dropped a delivered message, and the next start reported it as failed."""
    clock = FakeClock(monkeypatch)

    async def main() -> None:
        store = FaultyStore(tmp_path / "r.sqlite")
        recorder = Recorder(Writer(store.open), "n1", DurabilityPolicy(), HOUR_US)
        await admit(recorder, clock.make_message("m"))
        approved: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        recorder.request_attempt([clock.make_message("m")], "h1", approved.set_result)
        assert await approved
        store.faults = ["unavailable"] * 9
        recorded: list[str] = []
        recorder.record_final_status("m", "delivered", "OK", lambda: recorded.append("m"))
        await recorder.close()
        assert recorded == []

    asyncio.run(main())
