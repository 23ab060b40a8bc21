"""Tests of the engine within one batch, with timing that a test of a whole process can't control."""

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
from loftrelay.relay.attempts import ApprovalRequest, PendingCall
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.events import submission_event
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions, RecoveryAction, StoreDecision
from loftrelay.server.http.server import HTTPServer
from loftrelay.service.assembly import build_engine
from tests.standins.harness import SETTINGS

pytestmark = pytest.mark.usefixtures("no_stalls")


def make_engine(folder: Path) -> Engine:
    """Returns an engine whose endpoint list has one host."""
    address = ("127.0.0.1", 9)
    row = {"id": "h", "host_port": "127.0.0.1:9", "cell": 1, "phase": "Ready"}
    cached_list = {"revision": 1, "complete": True, "members": [row]}
    settings = read_settings(SETTINGS)
    config = Config("n", address, address, folder, 1, 100, 100, 1_000_000, settings, cached_list)
    return build_engine(config)[0]


def test_server_keeps_timed_out_connection_with_unread_request(tmp_path: Path) -> None:
    """A request in the socket's buffer at the time of the idle timeout would be lost."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        server = HTTPServer(engine, 10)
        address = await server.startup(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*address)
        request = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        writer.write(request)
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        (client,) = server.connections.active()
        writer.write(request)  # written to the socket immediately, without a run of the event loop
        client.on_timeout()
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        client.on_timeout()
        assert await reader.read() == b""
        writer.close()
        await server.shutdown()
        engine.context.status_reporter.close()

    asyncio.run(main())


def test_intake_drops_message_whose_client_disconnects_before_response(tmp_path: Path) -> None:
    """The client submits the message again under a new id, so the old one must be neither sent nor kept."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        statuses: dict[str, int] = {}
        now = wall_clock()
        for name in ("gone", "stays"):
            message = Message(name, 0, "status", "acme", 1, None, now, now + 9_000_000)
            engine.intake.submit(message, lambda status, _, name=name: statuses.update({name: status}))  # type: ignore[misc]
        engine.intake.cancel("gone")
        engine.context.batch_loop.run_due_batch()
        assert statuses == {"stays": 202}
        assert list(engine.context.journal.messages) == ["stays"]
        assert engine.intake.open_messages == 1
        assert list(engine.context.message_states.attempts_in_flight()) == ["stays"]
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def test_outcome_disputed_reaches_journal_and_scheduler(tmp_path: Path) -> None:
    """If the rejection of an at-most-once message is disputed, it fails at once, also after a restart."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        now = wall_clock()
        message = Message("m", 0, "order", "acme", 1, "k", now, now + 9_000_000)
        engine.intake.submit(message, lambda status, _: None)
        engine.context.batch_loop.run_due_batch()
        engine.attempts.attempt_ended(message, "h", AttemptResult(AttemptStatus.REJECTED))
        engine.context.batch_loop.run_due_batch()
        assert engine.intake.open_messages == 1  # it has no final status yet
        engine.attempts.outcome_disputed("m", "h", now)
        engine.attempts.outcome_disputed("unknown", "h", now)
        engine.context.batch_loop.run_due_batch()
        assert engine.intake.open_messages == 0
        assert engine.context.journal.messages["m"].first_uncertain_attempt_at == now
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def test_intake_after_stall_of_idle_relay_admits_again(tmp_path: Path) -> None:
    """A stall is over only after a batch. With no batch due, rejected submissions have to schedule one."""

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
        message = Message("m", 0, "status", "acme", 1, None, now, now + 9_000_000)
        engine.intake.submit(message, lambda status, _: statuses.append(status))
        assert statuses == [503]
        async with asyncio.timeout(60):
            while engine.context.batch_loop.is_lagging:
                await asyncio.sleep(0)
        engine.intake.submit(message, lambda status, _: statuses.append(status))
        assert "m" in engine.context.journal.messages
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize("is_batch", [True, False])
def test_call_timeout_ends_before_earliest_deadline(tmp_path: Path, is_batch: bool) -> None:
    """The platform does not count a delivery whose response comes after the deadline.

    Before, responses 0 to 2 ms after the deadline were accepted, and four messages were lost in 70 days, also
    in calls with a single message.
    """

    async def main() -> None:
        engine = make_engine(tmp_path)
        call_options: list[CallOptions] = []
        engine.context.delivery.send_call = lambda host, messages, options: call_options.append(options)  # type: ignore[method-assign]
        now = wall_clock()
        remaining_times = {"short": 2_000_000, "long": 9_000_000} if is_batch else {"short": 2_000_000}
        for name, remaining in remaining_times.items():
            message = Message(name, 0, "order", "acme", 1, None, now, now + remaining)
            engine.context.journal.admit(message)
            engine.context.message_states.enqueue(name)
            engine.context.scheduler.state.now = engine.context.batch_loop.clock()
            lifecycle.admit(engine.context.scheduler.state, submission_event(message))
        sends = [SendAttempt(name, "h", remaining, None) for name, remaining in remaining_times.items()]
        engine.attempts.begin("h", sends, is_batch=is_batch)
        elapsed_s = (wall_clock() - now) / 1e6
        assert len(call_options) == 1
        assert 1.98 - elapsed_s <= call_options[0].timeout <= 1.98
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize("is_late", [True, False])
def test_response_read_after_deadline_leads_to_final_status_report(tmp_path: Path, is_late: bool) -> None:
    """After a lag of the event loop it is unknown whether the response came in time.

    If it did, the report does no harm; the next message of the ordering key waits for its acknowledgement.
    """

    async def main() -> None:
        engine = make_engine(tmp_path)
        engine.context.scheduler.state.settings = replace(
            engine.context.scheduler.state.settings, awaits_final_status=True
        )
        engine.context.delivery.send_call = lambda host, messages, options: None  # type: ignore[method-assign]
        now = wall_clock()
        for name in ("m", "next"):
            message = Message(
                name, 0, "order", "acme", 1, "k", now, now + (400_000 if name == "m" else 9_000_000)
            )
            engine.context.journal.admit(message)
            engine.context.message_states.enqueue(name)
            engine.context.post(submission_event(message))
        while (
            engine.context.scheduler.state.messages.get("m") is None
            or engine.context.scheduler.state.messages["m"].call is None
        ):
            await asyncio.sleep(0.001)
        if is_late:
            while engine.context.batch_loop.clock() < engine.context.scheduler.state.messages["m"].deadline:
                time.sleep(0.01)  # blocks the event loop
        engine.attempts.attempt_ended(
            engine.context.journal.messages["m"], "h", AttemptResult(AttemptStatus.OK, is_final=True)
        )
        while "m" in engine.context.scheduler.state.messages:
            await asyncio.sleep(0.001)
        is_open = "m" in engine.context.journal.messages
        assert is_open == is_late == bool(engine.context.status_reporter.pending)
        assert (engine.context.scheduler.state.messages["next"].attempts > 0) != is_late
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    ("waited_s", "is_approved", "has_changed", "is_sent"),
    [
        (0.05, True, True, True),  # a short wait: sent even after a change
        (0.5, True, False, True),  # a longer wait without a change of the destination
        (0.5, True, True, False),  # the change may be a Retry-After, a drain or a failure
        (1.5, True, False, False),
        (0.05, False, False, False),  # the store has not recorded the intent
    ],
)
def test_call_after_approval_wait_is_sent_only_if_decision_is_still_valid(
    tmp_path: Path, waited_s: float, is_approved: bool, has_changed: bool, is_sent: bool
) -> None:
    """A call that is not sent is postponed and does not count as an attempt."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        sent: list[str] = []
        engine.context.delivery.send_call = lambda host, messages, options: sent.append(host)  # type: ignore[method-assign]
        now = wall_clock()
        message = Message("m", 0, "order", "acme", 1, "k", now, now + 9_000_000)
        engine.intake.submit(message, lambda status, _: None)
        engine.context.batch_loop.run_due_batch()
        message = engine.context.journal.messages["m"]
        assert sent == ["h"]
        assert message.attempts == 1
        sent.clear()
        engine.context.attempt_approvers = [StubStore()]
        requested_at = asyncio.get_running_loop().time() - waited_s
        if has_changed:
            engine.context.note_change(1)
        call = PendingCall("h", [message], CallOptions(3.0, False, True, None))
        engine.attempts._approval_decided(ApprovalRequest(0, call, requested_at), is_approved)
        assert sent == (["h"] if is_sent else [])
        assert message.attempts == (1 if is_sent else 0)
        postponed = [event for event in engine.context.batch_loop.events if isinstance(event, AttemptEnded)]
        assert [event.postponed_for > 0 for event in postponed] == ([] if is_sent else [True])
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


class StubStore:
    """A store of record that records everything immediately."""

    retry_after_ms = 0

    def must_confirm(self, message: Message) -> bool:
        return True

    def admit(self, message: Message, done: Callable[[StoreDecision], None]) -> None:
        raise AssertionError("this test admits no message through the store")

    def request_attempt(self, messages: Sequence[Message], host: str, done: Callable[[bool], None]) -> None:
        done(True)

    def attempt_ended(self, message_id: str, result: str) -> None: ...

    def record_final_status(
        self, message_id: str, stored_status: str, result: str | None, done: Callable[[], None]
    ) -> None:
        done()

    def dispute_delivery(self, message_id: str, done: Callable[[], None]) -> None:
        done()

    def max_record_wait_s(self, message_id: str) -> float:
        return 0.1

    def final_status_reported(self, message_id: str, done: Callable[[], None] | None = None) -> None: ...

    def stored_final_status(self, message_id: str) -> str | None:
        return None

    def recover(self, message: Message | None, message_id: str, is_at_most_once: bool) -> RecoveryAction:
        return RecoveryAction.COMPLETE

    def unfinished_without_journal(self, messages: Mapping[str, Message]) -> Sequence[str]:
        return ()


def test_batch_runs_without_delay_after_clock_steps_back(tmp_path: Path) -> None:
    """If batches were scheduled for a time, clients would wait until the clock reaches that time again."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        clock = [loop.time() + 100]
        loop.time = lambda: clock[0]  # type: ignore[method-assign]
        engine = make_engine(tmp_path)
        engine.context.batch_loop.run_due_batch()
        responses: list[str] = []

        async def submit(name: str) -> None:
            now = wall_clock()
            message = Message(name, 0, "status", "acme", 1, None, now, now + 9_000_000)
            engine.intake.submit(message, lambda status, _: responses.append(name))

        clock[0] -= 60  # to a time before the last batch
        await submit("after step")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert responses == ["after step"]
        clock[0] += 1
        await submit("before step")
        clock[0] -= 30  # while a batch is due
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert responses == ["after step", "before step"]
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())
