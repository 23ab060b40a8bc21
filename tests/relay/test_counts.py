"""What is taken is ended or outstanding at each step, and both sides of a handover agree on what there is."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from loftrelay.config.platform import Config
from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.simulator import read_settings
from loftrelay.journal.journal import Journal
from loftrelay.metrics.counters import FinalStatus
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.handover_state import (
    HandoverError,
    read_attempt_result,
    read_state,
    write_attempt_result,
)
from loftrelay.relay.message import Message
from loftrelay.relay.message_state import Stage
from loftrelay.relay.ports import AttemptResult
from loftrelay.service.assembly import build
from tests.standins.platform import SETTINGS

pytestmark = pytest.mark.usefixtures("no_stalls")

ENDINGS = [
    AttemptResult(AttemptStatus.OK, is_final=True),
    AttemptResult(AttemptStatus.OK, is_final=True),
    AttemptResult(AttemptStatus.ERROR),
    AttemptResult(AttemptStatus.REJECTED),
    AttemptResult(AttemptStatus.CONNECTION_LOST),
    AttemptResult(AttemptStatus.CONNECT_FAILED),
    AttemptResult(AttemptStatus.MALFORMED_RESPONSE),
    AttemptResult(AttemptStatus.NOT_SENT),
    AttemptResult(AttemptStatus.NOT_SENT, is_expired=True),
    AttemptResult(AttemptStatus.TIMEOUT),
]


def config(folder: Path) -> Config:
    row = {"id": "h", "host_port": "127.0.0.1:9", "cell": 1, "phase": "Ready"}
    known = {"revision": 1, "complete": True, "members": [row]}
    address = ("127.0.0.1", 9)
    return Config("n", address, address, folder, 1, 100, 100, 1_000_000, read_settings(SETTINGS), known)


class Steps:
    """An engine whose calls end as a seed says, turn by turn."""

    def __init__(self, engine: Engine, seed: int) -> None:
        self.engine, self.random = engine, random.Random(seed)
        self.out: list[tuple[Message, str]] = []
        self.number = 0
        self.handed_in = 0
        self.withdrawn = 0
        self.statuses: Counter[int] = Counter()
        self.now = engine.context.batch_loop.now
        self.use(engine)

    def use(self, engine: Engine) -> None:
        self.engine = engine

        def send(host: str, messages: list[Message], options: object) -> None:
            self.out += [(message, host) for message in messages]

        # Virtual time for the module: its pauses pass from turn to turn.
        engine.context.batch_loop.clock = lambda: self.now  # type: ignore[method-assign]
        engine.context.delivery.send_call = send  # type: ignore[method-assign]
        engine.context.delivery.withdraw_unsent_calls = list  # type: ignore[method-assign]

    def step(self) -> None:
        engine, draw = self.engine, self.random
        self.now += 300_000
        match draw.randrange(4):
            case 0 | 1:
                self.number += 1
                of = draw.choice(["status", "order"])
                now = wall_clock()
                held = Message(
                    f"m{self.number}",
                    0,
                    of,
                    "acme",
                    draw.choice([1, 1, 1, 7]),
                    f"k{draw.randrange(3)}" if of == "order" else None,
                    now,
                    now + 20_000_000,
                    b"body",
                )
                self.handed_in += 1
                engine.intake.submit(held, lambda status, _: self.statuses.update([status]))
                if draw.random() < 0.2 and engine.intake.is_client_waiting(held.id):
                    engine.intake.cancel(held.id)
                    self.withdrawn += 1
            case 2 if self.out:
                held, host = self.out.pop(draw.randrange(len(self.out)))
                engine.attempts.attempt_ended(held, host, draw.choice(ENDINGS))
            case 3:
                told = [m for m in list(engine.context.status_reporter.reports) if draw.random() < 0.5]  # type: ignore[attr-defined]
                for message in told:
                    del engine.context.status_reporter.reports[message]  # type: ignore[attr-defined]
                    engine.final_statuses.report_acknowledged(message)
        engine.context.batch_loop.run_due_batch()

    def check(self, before: int = 0) -> None:
        """`before`: taken by another process, and ended or handed over there."""
        shown = dict(line.split("=") for line in self.engine.metric_lines())
        ended = sum(self.engine.context.metrics.final_statuses.values())
        outstanding = int(shown["app.outstanding"])
        assert self.handed_in - self.withdrawn == before + ended + outstanding
        declined = sum(
            n
            for (_, end), n in self.engine.context.metrics.final_statuses.items()
            if end is FinalStatus.REJECTED
        )
        assert declined >= 0
        assert outstanding == len(self.engine.context.journal.messages)


def close(engine: Engine) -> None:
    engine.context.status_reporter.close()
    engine.context.discovery.close()
    engine.context.delivery.close()


@pytest.mark.parametrize("seed", range(20))
def test_taken_is_ended_or_outstanding_at_each_step(tmp_path: Path, seed: int) -> None:
    async def main() -> None:
        engine, _ = build(config(tmp_path))
        steps = Steps(engine, seed)
        for _ in range(150):
            steps.step()
            steps.check()
        assert steps.statuses[202] > 20
        assert sum(engine.context.metrics.final_statuses.values()) > 10
        close(engine)

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(20))
def test_a_handover_in_the_midst_keeps_the_count(tmp_path: Path, seed: int) -> None:
    """What the first process did not end the second one has; outcomes of the first one's calls end there."""

    class Away:
        def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None:
            raise AssertionError("nothing ends while both stand still")

        outcome_disputed = attempt_ended

        def retry_after_received(self, host: str, wait: int) -> None:
            raise AssertionError("nothing is told while both stand still")

    async def main() -> None:
        first, journal = build(config(tmp_path))
        steps = Steps(first, seed)
        for _ in range(80):
            steps.step()
        steps.check()
        first.handover.pause(Away())  # type: ignore[arg-type]
        state: dict[str, Any] = first.handover.export_state()
        second_journal = Journal(tmp_path, 1_000_000, is_read_only=True)
        assert list(second_journal.messages) == list(journal.messages)
        handed = read_state(state, 2)
        journal.close()
        second_journal.take_ownership()
        ended_before = sum(first.context.metrics.final_statuses.values())
        second, _ = build(config(tmp_path), journal=second_journal, received=handed)
        assert set(second.context.message_states.messages_in_stage(Stage.IN_FLIGHT_AT_PREDECESSOR)) == {
            held.id for held, _ in steps.out
        }
        steps.use(second)
        second.context.batch_loop.run_due_batch()
        steps.check(ended_before)
        for _ in range(80):
            steps.step()
            steps.check(ended_before)
        outstanding = len(second.context.journal.messages)
        second.handover.predecessor_lost()
        second.context.batch_loop.run_due_batch()
        assert not second.context.message_states.messages_in_stage(Stage.IN_FLIGHT_AT_PREDECESSOR)
        assert len(second.context.journal.messages) <= outstanding
        steps.check(ended_before)
        close(first)
        close(second)

    asyncio.run(main())


def test_a_handover_that_is_given_up_changes_nothing(tmp_path: Path) -> None:
    """Outcomes that came meanwhile count afterwards, and calls that had not begun go then."""

    async def main() -> None:
        engine, _ = build(config(tmp_path))
        steps = Steps(engine, 3)
        steps.number = 1
        now = wall_clock()
        engine.intake.submit(
            Message("m1", 0, "status", "acme", 1, None, now, now + 20_000_000), lambda s, _: None
        )
        steps.handed_in = 1
        engine.context.batch_loop.run_due_batch()
        assert len(steps.out) == 1
        heard: list[str] = []

        class Away:
            def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None:
                heard.append(message)

            def outcome_disputed(self, message: str, host: str, ran_at: int) -> None:
                heard.append(message)

            def retry_after_received(self, host: str, wait: int) -> None:
                heard.append(host)

        engine.handover.pause(Away())
        before = engine.metric_lines()
        held, host = steps.out.pop()
        engine.attempts.attempt_ended(held, host, AttemptResult(AttemptStatus.OK, is_final=True))
        engine.context.batch_loop.run_due_batch()
        assert heard == [held.id]
        assert engine.metric_lines() == before
        engine.handover.resume()
        engine.attempts.attempt_ended(held, host, AttemptResult(AttemptStatus.OK, is_final=True))
        engine.context.batch_loop.run_due_batch()
        steps.check()
        assert held.id not in engine.context.journal.messages
        close(engine)

    asyncio.run(main())


@pytest.mark.parametrize("ending", ENDINGS)
def test_an_ending_is_told_and_read_again(ending: AttemptResult) -> None:
    assert read_attempt_result(write_attempt_result(ending)) == ending


@pytest.mark.parametrize(
    "told", [[], ["OK"], ["GONE", True, False, 0, None], ["OK", True, False, "x", None], 7]
)
def test_what_is_no_ending_is_turned_away(told: Any) -> None:
    with pytest.raises(HandoverError):
        read_attempt_result(told)


@pytest.mark.parametrize("told", [{}, {"module": "{}"}, {"module": 7, "list": []}])
def test_what_is_no_state_is_turned_away(told: Any) -> None:
    with pytest.raises(HandoverError):
        read_state(told, 1)
