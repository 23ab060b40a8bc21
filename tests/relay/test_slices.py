"""First messages of destinations that are not held, and destinations that are let go, within the engine."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from loftrelay.config.platform import Config
from loftrelay.decisions.events import (
    DestinationsReleased,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    MessageSubmitted,
)
from loftrelay.decisions.simulator import read_settings
from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_client import HostClient
from loftrelay.discovery.status_reporter import FinalStatusReporter
from loftrelay.journal.journal import Journal
from loftrelay.net.address import Address
from loftrelay.relay import handover_state
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, ResolutionStatus
from loftrelay.service.assembly import build
from tests.standins.platform import SETTINGS

pytestmark = pytest.mark.usefixtures("no_stalls")

NOWHERE = ("127.0.0.1", 9)
Answers = dict[str, tuple[int, int]]


class FakeSlices:
    """A Directory and a Slices that notes what it is asked."""

    def __init__(self) -> None:
        self.address: Address = NOWHERE
        self.revision: int | None = 7
        self.wanted: list[int] = []
        self.used: list[int] = []
        self.adopted: list[Any] = []
        self.log: list[str] = []

    def resolve(self, destination: int) -> None:
        self.wanted.append(destination)

    def mark_used(self, destination: int) -> None:
        self.used.append(destination)

    def adopt(
        self, revision: int | None, destinations: Iterable[int], rows: Iterable[tuple[EndpointEntry, Address]]
    ) -> None:
        self.adopted.append((revision, sorted(destinations), [entry.endpoint for entry, _ in rows]))

    def load_cached(self, known: Mapping[str, Any]) -> None:
        self.log.append("known")

    def watch(self) -> None:
        self.log.append("watch")

    def pause(self) -> None:
        self.log.append("pause")

    def resume(self, revision: int | None) -> None:
        self.log.append(f"resume {revision}")

    def move_to(self, address: Address) -> None:
        self.address = address

    def close(self) -> None: ...


def config_of(folder: Path, most_held: int = 100) -> Config:
    limits = {**SETTINGS["policy_limits"], "most_held": most_held}
    settings = read_settings({**SETTINGS, "policy_limits": limits})
    return Config("n", NOWHERE, NOWHERE, folder, 1, 100, 100, 1_000_000, settings, {})


def make(
    folder: Path, most_held: int = 100, handed: handover_state.HandoverState | None = None
) -> tuple[Engine, FakeSlices]:
    config, slices = config_of(folder, most_held), FakeSlices()
    journal = Journal(folder, config.journal_bytes)
    engine = Engine(1, config.settings, journal)
    hosts = HostClient(
        None,
        None,
        10,
        PoolSettings(),
        1,
        journal.record_attempt,
        engine.attempts.attempt_ended,
        engine.attempts.outcome_disputed,
        engine.context.metrics.count_forwarded,
        engine.context.stall_detector,
        engine.attempts.retry_after_received,
        engine.attempts.is_blocked,
    )
    notices = FinalStatusReporter(NOWHERE, engine.final_statuses.report_acknowledged)
    if handed is None:
        engine.connect(hosts, slices, notices, {}, subscription=slices)
    else:
        engine.take_over(hosts, slices, notices, handed, slices)
    return engine, slices


def close(engine: Engine) -> None:
    if engine.context.batch_loop.timer is not None:
        engine.context.batch_loop.timer.cancel()
    engine.context.status_reporter.close()
    engine.context.delivery.close()
    engine.context.journal.close()


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


def message(name: str, destination: int = 1, of: str = "order", seconds: float = 9.0) -> Message:
    now = wall_clock()
    key = "k" if of == "order" else None
    return Message(name, 0, of, "acme", destination, key, now, now + int(seconds * 1e6))


def submit(engine: Engine, answers: Answers, held: Message) -> None:
    def answer(status: int, again: int) -> None:
        assert held.id not in answers  # exactly one
        answers[held.id] = status, again

    engine.intake.submit(held, answer)


def listing(*hosts: str, destination: int = 1) -> tuple[EndpointListReceived, dict[str, Address]]:
    entries = tuple(EndpointEntry(h, destination, EndpointState.ACTIVE, "a", "plain", 1.0) for h in hosts)
    return EndpointListReceived(EndpointListKind.DELTA, entries), dict.fromkeys(hosts, NOWHERE)


def hold(engine: Engine, destination: int = 1) -> None:
    engine.endpoints.list_received(*listing(f"h{destination}", destination=destination))
    engine.destination_resolved(destination, ResolutionStatus.RESOLVED)


def test_first_messages_are_asked_for_once_and_taken_on_in_their_order(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, slices = make(tmp_path)
        answers: Answers = {}
        for name in ("a", "b", "c"):
            submit(engine, answers, message(name))
        submit(engine, answers, message("z", destination=2))
        assert slices.wanted == [1, 2]
        assert not engine.context.journal.messages
        assert answers == {}
        assert engine.intake.open_messages == 4
        assert engine.intake.is_client_waiting("b")
        engine.intake.cancel("b")
        assert engine.intake.open_messages == 3
        assert not engine.intake.is_client_waiting("b")
        hold(engine)
        submit(engine, answers, message("d"))
        assert list(engine.context.journal.messages) == ["a", "c", "d"]
        assert slices.used == [1]
        assert [h.sequence for h in engine.context.journal.messages.values()] == sorted(
            h.sequence for h in engine.context.journal.messages.values()
        )
        engine.context.batch_loop.run_due_batch()
        assert answers == dict.fromkeys(("a", "c", "d"), (202, 0))
        assert [m.name for m in engine.context.scheduler.state.ordering_keys["k"].pending] == ["a", "c", "d"]
        assert slices.wanted == [1, 2]
        close(engine)

    play(scenario)


@pytest.mark.parametrize("state", [ResolutionStatus.NOT_FOUND, ResolutionStatus.UNAVAILABLE])
def test_without_a_host_first_messages_are_refused_and_leave_nothing(
    tmp_path: Path, state: ResolutionStatus
) -> None:
    async def scenario() -> None:
        engine, slices = make(tmp_path)
        answers: Answers = {}
        submit(engine, answers, message("a"))
        submit(engine, answers, message("b", of="status"))
        engine.destination_resolved(1, state)
        assert answers == {"a": (503, 1000), "b": (503, 1000)}
        assert not engine.context.journal.messages
        assert engine.intake.open_messages == 0
        assert not engine.intake.is_client_waiting("a")
        assert engine.intake.known_response("a") is None  # its id is free again
        submit(engine, answers, message("c"))
        assert slices.wanted == [1, 1]
        engine.destination_resolved(1, state)
        engine.destination_resolved(1, state)  # nobody waits
        assert list(answers) == ["a", "b", "c"]
        close(engine)

    play(scenario)


def test_first_messages_count_against_the_room(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, slices = make(tmp_path, most_held=3)
        answers: Answers = {}
        for name in ("a", "b", "c", "d"):
            submit(engine, answers, message(name))
        assert answers == {"d": (503, 1000)}
        hold(engine)
        assert list(engine.context.journal.messages) == ["a", "b", "c"]
        submit(engine, answers, message("e", destination=2))
        assert answers["e"] == (503, 1000)
        assert slices.wanted == [1]
        close(engine)

    play(scenario)


def test_the_time_of_a_first_message_counts_from_when_it_came(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, _ = make(tmp_path)
        answers: Answers = {}
        submit(engine, answers, message("a", seconds=5.0))
        loop = asyncio.get_running_loop()
        until = loop.time() + 0.2
        while loop.time() < until:
            await asyncio.sleep(0.01)
        hold(engine)
        (event,) = [e for e in engine.context.batch_loop.events if isinstance(e, MessageSubmitted)]
        assert event.time_remaining <= 4_800_000
        close(engine)

    play(scenario)


@pytest.mark.parametrize("how", ["hold", "freeze"])
def test_at_an_end_or_a_handover_first_messages_are_answered(tmp_path: Path, how: str) -> None:
    class Nobody:
        def retry_after_received(self, host: str, wait: int) -> None: ...
        def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None: ...
        def outcome_disputed(self, message: str, host: str, ran_at: int) -> None: ...

    async def scenario() -> None:
        engine, slices = make(tmp_path)
        answers: Answers = {}
        submit(engine, answers, message("a"))
        submit(engine, answers, message("b", destination=2))
        if how == "hold":
            engine.intake.stop()
        else:
            engine.handover.pause(Nobody())
        assert answers == {"a": (503, 1000), "b": (503, 1000)}
        assert engine.intake.open_messages == 0
        submit(engine, answers, message("c"))
        assert answers["c"] == (503, 1000)
        assert slices.wanted == [1, 2]
        hold(engine)  # the answer that was under way
        assert not engine.context.journal.messages
        assert engine.release_destinations([1, 2]) == []
        close(engine)

    play(scenario)


def test_what_a_stall_has_made_old_is_refused_and_the_relay_takes_on_again(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, _ = make(tmp_path)
        answers: Answers = {}
        submit(engine, answers, message("a"))
        while engine.context.batch_loop.is_batch_due:
            await asyncio.sleep(0)
        engine.endpoints.list_received(*listing("h1"))
        engine.context.batch_loop.run_due_batch()
        engine.context.stall_detector.last_stall_at = asyncio.get_running_loop().time()  # it stood still
        engine.destination_resolved(1, ResolutionStatus.RESOLVED)
        assert answers == {"a": (503, 1000)}
        assert engine.context.batch_loop.is_batch_due
        assert not engine.context.journal.messages
        close(engine)

    play(scenario)


def test_what_was_held_before_a_restart_enters_once_its_destinations_are_known(tmp_path: Path) -> None:
    """The module has to know where each last ran: by its host, which the slice names."""

    async def scenario() -> None:
        engine, _ = make(tmp_path)
        hold(engine, 1)
        hold(engine, 2)
        answers: Answers = {}
        for name, destination in (("a", 1), ("b", 2), ("c", 1), ("told", 1)):
            submit(engine, answers, message(name, destination, "status"))
        engine.context.batch_loop.run_due_batch()
        assert isinstance(engine.context.journal, Journal)
        engine.context.journal.record_attempt(engine.context.journal.messages["a"], "h1")
        engine.context.journal.record_final_status("told", {"status": "deferred"})
        close(engine)

        engine, slices = make(tmp_path)
        assert slices.wanted == [1, 2]
        assert engine.recovery.unresolved == {1, 2}
        engine.context.batch_loop.run_due_batch()
        assert not engine.context.scheduler.state.messages
        assert engine.release_destinations([1, 2]) == []
        engine.final_statuses.report_acknowledged("told")  # heard before the module knows of it
        engine.destination_resolved(2, ResolutionStatus.UNAVAILABLE)
        assert slices.wanted == [1, 2, 2]  # tried on
        hold(engine, 1)
        engine.context.batch_loop.run_due_batch()
        assert not engine.context.scheduler.state.messages
        hold(engine, 2)
        engine.context.batch_loop.run_due_batch()
        assert list(engine.context.scheduler.state.messages) == ["a", "b", "c"]
        assert not engine.context.scheduler.state.unreported
        ran_on = engine.context.scheduler.state.messages["a"].first_attempt_endpoint
        assert ran_on is not None
        assert ran_on.name == "h1"
        close(engine)

        engine, slices = make(tmp_path)
        engine.recovery.replay()  # no registry answers for too long
        engine.context.batch_loop.run_due_batch()
        assert sorted(engine.context.scheduler.state.messages) == ["a", "b", "c"]
        engine.destination_resolved(1, ResolutionStatus.UNAVAILABLE)
        assert slices.wanted == [1, 2]  # not tried on by the engine
        close(engine)

    play(scenario)


def test_only_what_nothing_is_owed_to_is_let_go(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, _ = make(tmp_path)
        answers: Answers = {}
        for destination in (1, 2, 3, 4, 5):
            hold(engine, destination)
        engine.endpoints.list_received(*listing("h1b"))
        submit(engine, answers, message("in-line", 2))
        engine.context.batch_loop.run_due_batch()
        submit(engine, answers, message("unheard", 3))  # the module has not heard of it
        submit(engine, answers, message("parked", 6))
        submit(engine, answers, message("ended", 4, "status"))
        engine.context.batch_loop.run_due_batch()
        submit(engine, answers, message("late", 5))
        engine.context.journal.record_final_status("ended", {"status": "deferred"})  # untold as yet
        assert engine.release_destinations([1, 2, 3, 4, 5, 6, 7]) == [1, 7]
        assert 1 not in engine.endpoints.destinations
        assert set(engine.endpoints.entries) == {"h2", "h3", "h4", "h5"}
        assert set(engine.endpoints.batch_sizes) == set(engine.endpoints.entries)
        assert engine.context.batch_loop.events[-1] == DestinationsReleased((1, 7))
        engine.context.batch_loop.run_due_batch()
        assert "h1" not in engine.context.scheduler.state.endpoints
        assert "h2" in engine.context.scheduler.state.endpoints
        submit(engine, answers, message("again", 1))
        assert "again" in engine.intake.pending
        hold(engine, 1)
        engine.context.batch_loop.run_due_batch()
        assert answers["again"] == (202, 0)
        close(engine)

    play(scenario)


@pytest.mark.parametrize("sliced", [True, False])
def test_a_handover_tells_a_slice_so_that_nobody_takes_it_for_the_whole_list(
    tmp_path: Path, sliced: bool
) -> None:
    async def scenario() -> None:
        engine, _ = make(tmp_path)
        hold(engine, 1)
        hold(engine, 2)
        engine.context.batch_loop.run_due_batch()
        if not sliced:
            engine.context.subscription = None
        told = json.loads(json.dumps(engine.handover.export_state()))
        assert told["revision"] == (None if sliced else 7)
        close(engine)
        handed = handover_state.read_state(told, 1)
        assert handed.is_subscription is sliced
        assert handed.subscription_revision == (7 if sliced else None)
        engine, slices = make(tmp_path, handed=replace(handed))
        assert slices.adopted == [(7, [1, 2], ["h1", "h2"])]
        assert slices.log == [f"resume {None if sliced else 7}"]
        close(engine)

    play(scenario)


def test_without_registries_nothing_is_parked(tmp_path: Path) -> None:
    async def scenario() -> None:
        engine, _ = build(config_of(tmp_path))
        answers: Answers = {}
        submit(engine, answers, message("a"))
        assert answers == {"a": (503, 1000)}
        assert engine.context.subscription is None
        assert not len(engine.intake.pending)
        close(engine)

    play(scenario)
