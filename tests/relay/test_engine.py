"""The engine within one turn, where a process's timing can't be steered from outside."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from pathlib import Path

import pytest

from loftrelay.config.platform import Config
from loftrelay.decisions import lifecycle
from loftrelay.decisions.actions import SendAttempt
from loftrelay.decisions.events import AttemptEnded, AttemptStatus
from loftrelay.decisions.simulator import read_settings
from loftrelay.relay.attempts import GatedCall
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.events import submission_event
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions, RecoveryAction, StoreDecision
from loftrelay.server.http.server import HTTPServer
from loftrelay.service.assembly import build
from tests.standins.platform import SETTINGS

pytestmark = pytest.mark.usefixtures("no_stalls")


def make_engine(folder: Path) -> Engine:
    address = ("127.0.0.1", 9)
    row = {"id": "h", "host_port": "127.0.0.1:9", "cell": 1, "phase": "Ready"}
    known = {"revision": 1, "complete": True, "members": [row]}
    settings = read_settings(SETTINGS)
    config = Config("n", address, address, folder, 1, 100, 100, 1_000_000, settings, known)
    return build(config)[0]


def test_an_idle_client_whose_request_has_come_unread_is_not_closed(tmp_path: Path) -> None:
    """A request that is in the socket's buffer when its connection's time is up would be lost."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        server = HTTPServer(engine, 10)
        address = await server.startup(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        ask = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(ask)
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        (client,) = server.connections.active()
        writer.write(ask)  # is written at once, and the loop has not run since
        client.on_timeout()
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        client.on_timeout()
        assert await reader.read() == b""
        writer.close()
        await server.shutdown()
        engine.context.status_reporter.close()

    asyncio.run(main())


def test_a_client_gone_before_its_answer_withdraws_its_message(tmp_path: Path) -> None:
    """It hands the message in again under a new id: the old one must neither go out nor stay held."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        answers: dict[str, int] = {}
        now = wall_clock()
        for name in ("gone", "stays"):
            held = Message(name, 0, "status", "acme", 1, None, now, now + 9_000_000)
            engine.intake.submit(held, lambda status, _, name=name: answers.update({name: status}))  # type: ignore[misc]
        engine.intake.cancel("gone")
        engine.context.batch_loop.run_due_batch()
        assert answers == {"stays": 202}
        assert list(engine.context.journal.messages) == ["stays"]
        assert engine.intake.open_messages == 1
        assert list(engine.context.message_states.attempts_in_flight()) == ["stays"]
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def test_a_doubt_reaches_journal_and_module(tmp_path: Path) -> None:
    """The doubted refusal of an unsafe message: it fails at once and is told so, also after a restart."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        now = wall_clock()
        held = Message("m", 0, "order", "acme", 1, "k", now, now + 9_000_000)
        engine.intake.submit(held, lambda status, _: None)
        engine.context.batch_loop.run_due_batch()
        engine.attempts.attempt_ended(held, "h", AttemptResult(AttemptStatus.REJECTED))
        engine.context.batch_loop.run_due_batch()
        assert engine.intake.open_messages == 1  # its end is not decided
        engine.attempts.outcome_disputed("m", "h", now)
        engine.attempts.outcome_disputed("unknown", "h", now)
        engine.context.batch_loop.run_due_batch()
        assert engine.intake.open_messages == 0
        assert engine.context.journal.messages["m"].first_attempt_at == now
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def test_a_relay_that_was_idle_when_it_stood_still_takes_on_again(tmp_path: Path) -> None:
    """No turn was due: each client was refused, and none brought one about."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        engine.context.discovery.watch = lambda: None  # type: ignore[method-assign]
        while engine.context.batch_loop.is_batch_due:
            await asyncio.sleep(0)
        if engine.context.batch_loop.timer is not None:
            engine.context.batch_loop.timer.cancel()
        engine.context.stall_detector.last_stall_at = asyncio.get_running_loop().time()
        statuses: list[int] = []
        now = wall_clock()
        held = Message("m", 0, "status", "acme", 1, None, now, now + 9_000_000)
        engine.intake.submit(held, lambda status, _: statuses.append(status))
        assert statuses == [503]
        async with asyncio.timeout(60):
            while engine.context.batch_loop.is_lagging:
                await asyncio.sleep(0)
        engine.intake.submit(held, lambda status, _: statuses.append(status))
        assert "m" in engine.context.journal.messages
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize("batch", [True, False])
def test_a_call_is_given_up_before_the_first_of_its_messages_has_had_its_time(
    tmp_path: Path, batch: bool
) -> None:
    """The platform counts none of what an answer after that time calls delivered. Seen of single calls, too:
    answers 0 to 2 ms after it were believed, and four messages lost in 70 days."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        given: list[CallOptions] = []
        engine.context.delivery.send_call = lambda host, messages, options: given.append(options)  # type: ignore[method-assign]
        now = wall_clock()
        lives = {"short": 2_000_000, "long": 9_000_000} if batch else {"short": 2_000_000}
        for name, remaining in lives.items():
            held = Message(name, 0, "order", "acme", 1, None, now, now + remaining)
            engine.context.journal.admit(held)
            engine.context.message_states.enqueue(name)
            engine.context.scheduler.state.now = engine.context.batch_loop.clock()
            lifecycle.admit(engine.context.scheduler.state, submission_event(held))
        sends = [SendAttempt(name, "h", remaining, None) for name, remaining in lives.items()]
        engine.attempts.begin("h", sends, is_batch=batch)
        gone = (wall_clock() - now) / 1e6
        assert len(given) == 1
        assert 1.98 - gone <= given[0].timeout <= 1.98
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize("late", [True, False])
def test_an_answer_that_is_read_too_late_is_followed_by_a_notice(tmp_path: Path, late: bool) -> None:
    """On a loop that was late it came in time or did not: a notice does no harm where it did, and the next of
    its key waits until that is heard."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        engine.context.scheduler.state.settings = replace(
            engine.context.scheduler.state.settings, awaits_final_status=True
        )
        engine.context.delivery.send_call = lambda host, messages, options: None  # type: ignore[method-assign]
        now = wall_clock()
        for name in ("m", "next"):
            held = Message(
                name, 0, "order", "acme", 1, "k", now, now + (400_000 if name == "m" else 9_000_000)
            )
            engine.context.journal.admit(held)
            engine.context.message_states.enqueue(name)
            engine.context.post(submission_event(held))
        while (
            engine.context.scheduler.state.messages.get("m") is None
            or engine.context.scheduler.state.messages["m"].call is None
        ):
            await asyncio.sleep(0.001)
        if late:
            while engine.context.batch_loop.clock() < engine.context.scheduler.state.messages["m"].deadline:
                time.sleep(0.01)  # the loop does not run
        engine.attempts.attempt_ended(
            engine.context.journal.messages["m"], "h", AttemptResult(AttemptStatus.OK, is_final=True)
        )
        while "m" in engine.context.scheduler.state.messages:
            await asyncio.sleep(0.001)
        assert (
            ("m" in engine.context.journal.messages) == late == bool(engine.context.status_reporter.pending)
        )
        assert (engine.context.scheduler.state.messages["next"].attempts > 0) != late
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("late", "committed", "told", "goes"),
    [
        (0.05, True, True, True),  # a moment, whatever was told
        (0.5, True, False, True),  # longer, and its destination told of nothing but success
        (0.5, True, True, False),  # a wait, a drain or a failure may have been told
        (1.5, True, False, False),
        (0.05, False, False, False),  # the store does not have it
    ],
)
def test_an_intent_that_comes_late(
    tmp_path: Path, late: float, committed: bool, told: bool, goes: bool
) -> None:
    """What the module decided goes out only while it still holds; put off, it costs no try."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        sent: list[str] = []
        engine.context.delivery.send_call = lambda host, messages, options: sent.append(host)  # type: ignore[method-assign]
        now = wall_clock()
        held = Message("m", 0, "order", "acme", 1, "k", now, now + 9_000_000)
        engine.intake.submit(held, lambda status, _: None)
        engine.context.batch_loop.run_due_batch()
        held = engine.context.journal.messages["m"]
        assert sent == ["h"]
        assert held.attempts == 1
        sent.clear()
        engine.context.attempt_gates = [Told()]
        began = asyncio.get_running_loop().time() - late
        if told:
            engine.context.note_change(1)
        call = GatedCall("h", [held], CallOptions(3.0, False, True, None))
        engine.attempts._gate_answered(0, call, began, committed)
        assert sent == (["h"] if goes else [])
        assert held.attempts == (1 if goes else 0)
        postponed = [event for event in engine.context.batch_loop.events if isinstance(event, AttemptEnded)]
        assert [event.postponed_for > 0 for event in postponed] == ([] if goes else [True])
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


class Told:
    """A store of record that has everything at once."""

    retry_after_ms = 0

    def admit(self, held: Message, done: Callable[[StoreDecision], None]) -> None:
        raise AssertionError("nothing is taken on here")

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        done(True)

    def attempt_ended(self, message: str, result: str) -> None: ...

    def record_final_status(
        self, message: str, answer: str, result: str | None, done: Callable[[], None]
    ) -> None:
        done()

    def final_status_reported(self, message: str) -> None: ...

    def recorded_answer(self, message: str) -> str | None:
        return None

    def recover(self, held: Message | None, message: str, unsafe: bool) -> RecoveryAction:
        return RecoveryAction.COMPLETE

    def unfinished_without_journal(self, held: Mapping[str, Message]) -> Sequence[str]:
        return ()


def test_a_clock_that_steps_back_holds_up_no_turn(tmp_path: Path) -> None:
    """Trouble: a turn was due at a time that the clock had not come to again; clients left unanswered."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        clock = [loop.time() + 100]
        loop.time = lambda: clock[0]  # type: ignore[method-assign]
        engine = make_engine(tmp_path)
        engine.context.batch_loop.run_due_batch()
        answers: list[str] = []

        async def hand_in(name: str) -> None:
            now = wall_clock()
            held = Message(name, 0, "status", "acme", 1, None, now, now + 9_000_000)
            engine.intake.submit(held, lambda status, _: answers.append(name))

        clock[0] -= 60  # before the turn that was last
        await hand_in("behind")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert answers == ["behind"]
        clock[0] += 1
        await hand_in("stepped")
        clock[0] -= 30  # while the turn is due
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert answers == ["behind", "stepped"]
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())
