"""Final statuses beside a store of record that is slow or away: responses and reports do not wait for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.ports import StoreDecision
from loftrelay.relay.record_wait import RecordWait
from loftrelay.store.admission import AdmissionDecision
from tests.relay.test_engine import StubStore, make_engine

pytestmark = pytest.mark.usefixtures("no_stalls")
MAX_WAIT_S = 0.01


class SlowStore(StubStore):
    """Admits messages at once, and records final statuses when the test says so."""

    def __init__(self) -> None:
        self.recorded: list[Callable[[], None]] = []

    def admit(self, message: Message, done: Callable[[StoreDecision], None]) -> None:
        done(AdmissionDecision())

    def record_final_status(
        self, message_id: str, stored_status: str, result: str | None, done: Callable[[], None]
    ) -> None:
        self.recorded.append(done)

    def max_record_wait_s(self, message_id: str) -> float:
        return MAX_WAIT_S

    def final_status_reported(self, message_id: str, done: Callable[[], None] | None = None) -> None:
        if done is not None:
            done()


def run_with_store(folder: Path, scenario: Callable[[Engine, SlowStore], Awaitable[None]]) -> None:
    async def main() -> None:
        engine, store = make_engine(folder), SlowStore()
        engine.context.store = store
        await scenario(engine, store)
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def submit_expired(engine: Engine) -> list[int]:
    """Submits a message whose time is over; returns the statuses that its client gets."""
    statuses: list[int] = []
    now = wall_clock()
    message = Message("m", 0, "order", "acme", 1, "k", now, now)
    engine.intake.submit(message, lambda status, _: statuses.append(status))
    engine.context.batch_loop.run_due_batch()
    return statuses


def test_client_gets_its_response_while_the_store_does_not_record_it(tmp_path: Path) -> None:
    """The response waited for the store, for longer than any client waits."""

    async def scenario(engine: Engine, store: SlowStore) -> None:
        statuses = submit_expired(engine)
        assert statuses == []
        await asyncio.sleep(2 * MAX_WAIT_S)
        assert statuses == [500]
        assert engine.intake.known_response("m") == (500, 0)
        assert list(Journal(tmp_path, 1_000_000, is_read_only=True).messages) == ["m"]
        (recorded,) = store.recorded
        recorded()
        assert statuses == [500]
        assert not engine.context.journal.messages
        assert not engine.context.message_states.by_message
        assert not engine.context.status_reporter.pending  # the client has it: the platform gets no report

    run_with_store(tmp_path, scenario)


def test_client_gets_its_response_once_the_store_has_recorded_it(tmp_path: Path) -> None:
    async def scenario(engine: Engine, store: SlowStore) -> None:
        statuses = submit_expired(engine)
        (recorded,) = store.recorded
        recorded()
        await asyncio.sleep(2 * MAX_WAIT_S)
        assert statuses == [500]
        assert not engine.context.journal.messages
        assert not engine.context.message_states.by_message

    run_with_store(tmp_path, scenario)


@pytest.mark.parametrize("is_recorded_first", [True, False])
def test_record_wait_calls_its_step_once(is_recorded_first: bool) -> None:
    async def main() -> None:
        calls: list[bool] = []
        wait = RecordWait(calls.append)
        if is_recorded_first:
            wait.recorded()
        wait.limit(0.001)
        await asyncio.sleep(0.01)
        wait.recorded()
        wait.limit(0)
        assert calls == [is_recorded_first]

    asyncio.run(main())
