"""Disputed deliveries: the message is sent again or reported, once, also after a restart."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.decisions.settings import DeliverySemantics, MessageClass
from loftrelay.journal.journal import Journal
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.message_terms import pack
from loftrelay.relay.ports import AttemptResult, DisputedDelivery
from loftrelay.relay.statuses import STATUS_FAILED
from loftrelay.relay.unsettled_deliveries import MAX_HELD_BYTES
from loftrelay.upgrade.forwarder import Forwarder
from loftrelay.upgrade.messages import DeliveryDisputed, read_message, write_message
from tests.relay.test_engine import make_engine

pytestmark = pytest.mark.usefixtures("no_stalls")
DELIVERED = AttemptResult(AttemptStatus.OK, is_final=True)
LIFETIME_US = 9_000_000


def run_with_engine(folder: Path, scenario: Callable[[Engine], Awaitable[None]]) -> None:
    async def main() -> None:
        engine = make_engine(folder)
        await scenario(engine)
        engine.context.status_reporter.close()
        engine.context.delivery.close()

    asyncio.run(main())


def deliver(engine: Engine, class_name: str = "status", key: str | None = None) -> Message:
    """Submits a message and ends its first attempt as delivered; returns it."""
    now = wall_clock()
    message = Message("m", 0, class_name, "acme", 1, key, now, now + LIFETIME_US, b"body")
    engine.intake.submit(message, lambda status, _: None)
    engine.context.batch_loop.run_due_batch()
    delivered = engine.context.journal.messages["m"]
    engine.attempts.attempt_ended(delivered, "h", DELIVERED)
    engine.context.batch_loop.run_due_batch()
    assert not engine.context.journal.messages
    return delivered


def dispute(engine: Engine, message: Message, *, has_body: bool = True) -> None:
    engine.redelivery.delivery_disputed(DisputedDelivery(message, "h", message.admitted_at, has_body))
    engine.context.batch_loop.run_due_batch()


def test_disputed_delivery_is_sent_again_and_counted_once(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        message = deliver(engine)
        dispute(engine, message)
        dispute(engine, message)  # it is open: nothing is due
        reopened = engine.context.journal.messages["m"]
        assert (reopened.body, reopened.attempts) == (b"body", 2)
        assert "m" in engine.context.scheduler.state.messages
        engine.attempts.attempt_ended(reopened, "h", DELIVERED)
        engine.context.batch_loop.run_due_batch()
        assert not engine.context.journal.messages
        assert "app.succeeded.status=1" in engine.metric_lines()

    run_with_engine(tmp_path, scenario)


@pytest.mark.parametrize(
    ("class_name", "key", "has_body"), [("order", None, True), ("status", None, False), ("order", "k", True)]
)
def test_disputed_delivery_that_cannot_be_sent_again_is_reported(
    tmp_path: Path, class_name: str, key: str | None, has_body: bool
) -> None:
    async def scenario(engine: Engine) -> None:
        dispute(engine, deliver(engine, class_name, key), has_body=has_body)
        assert list(engine.context.status_reporter.reports) == ["m"]  # type: ignore[attr-defined]
        assert engine.context.journal.messages["m"].final_status == {"status": STATUS_FAILED}

    run_with_engine(tmp_path, scenario)


def test_disputed_delivery_is_open_in_the_journal_of_the_next_process(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        message = deliver(engine)
        dispute(engine, message)

    run_with_engine(tmp_path, scenario)
    (recovered,) = Journal(tmp_path, 1_000_000).messages.values()
    assert (recovered.id, recovered.body) == ("m", b"body")
    assert recovered.attempts >= 1
    assert recovered.first_uncertain_attempt_host == "h"


DISPUTABLE = AttemptResult(AttemptStatus.OK, is_final=True, is_disputable=True)


def deliver_unsettled(engine: Engine, message_id: str, body: bytes = b"body") -> None:
    """Submits a message and ends its first attempt with a delivery that may be disputed."""
    now = wall_clock()
    message = Message(message_id, 0, "status", "acme", 1, None, now, now + LIFETIME_US, body)
    engine.intake.submit(message, lambda status, _: None)
    engine.context.batch_loop.run_due_batch()
    engine.attempts.attempt_ended(engine.context.journal.messages[message_id], "h", DISPUTABLE)
    engine.context.batch_loop.run_due_batch()


def test_unsettled_delivery_is_open_in_the_journal_and_counts_as_ended(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        deliver_unsettled(engine, "m")
        assert list(engine.context.journal.messages) == ["m"]
        assert engine.intake.open_messages == 0
        assert engine.intake.known_response("m") == (200, 0)
        assert "app.outstanding=0" in engine.metric_lines()
        engine.redelivery.delivery_settled("m")
        assert not engine.context.journal.messages
        assert "app.succeeded.status=1" in engine.metric_lines()

    run_with_engine(tmp_path, scenario)


def test_unsettled_delivery_that_is_disputed_is_made_again_and_counted_once(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        deliver_unsettled(engine, "m")
        message = engine.context.journal.messages["m"]
        dispute(engine, message)
        engine.redelivery.delivery_settled("m")  # it is not held any more
        assert message.attempts == 2
        assert "m" in engine.context.scheduler.state.messages
        engine.attempts.attempt_ended(message, "h", DELIVERED)
        assert not engine.context.journal.messages
        assert "app.succeeded.status=1" in engine.metric_lines()

    run_with_engine(tmp_path, scenario)


def test_unsettled_deliveries_are_completed_for_a_handover_and_over_their_limit(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        body = b"x" * (MAX_HELD_BYTES // 4)
        for number in range(5):
            deliver_unsettled(engine, f"m{number}", body)
        assert list(engine.context.journal.messages) == ["m2", "m3", "m4"]
        engine.unsettled.settle_all()
        assert not engine.context.journal.messages

    run_with_engine(tmp_path, scenario)


@pytest.mark.parametrize(("window_us", "is_sent_again"), [(1_000_000, False), (8_000_000, True)])
def test_unconfirmed_delivery_is_not_reported_once_its_dedup_window_is_over(
    tmp_path: Path, window_us: int, is_sent_again: bool
) -> None:
    """It can't be sent again, and is most likely delivered: it was reported as undeliverable."""

    async def scenario(engine: Engine) -> None:
        now = wall_clock()
        alarm = MessageClass(
            "alarm", DeliverySemantics.DEDUPLICATED, "all", window_us, None, LIFETIME_US, None, None, False
        )
        sent_at, deadline = now - 2_000_000, now + LIFETIME_US
        message = Message("m", 1, "alarm", "acme", 1, None, sent_at, deadline, b"body", attempts=1)
        message.packed_terms = pack(alarm, None)
        engine.redelivery.delivery_unconfirmed(DisputedDelivery(message, "h", sent_at, has_body=True))
        engine.context.batch_loop.run_due_batch()
        assert ("m" in engine.context.scheduler.state.messages) == is_sent_again
        assert not engine.context.status_reporter.reports  # type: ignore[attr-defined]

    run_with_engine(tmp_path, scenario)


def test_dispute_after_a_handover_reaches_the_successor(tmp_path: Path) -> None:
    async def scenario(engine: Engine) -> None:
        message = deliver(engine)
        forwarder = Forwarder()
        engine.context.outcome_forwarder = forwarder
        dispute(engine, message)
        assert not engine.context.journal.messages
        (forwarded,) = forwarder.drain_queue()
        received = read_message(write_message(forwarded))
        assert isinstance(received, DeliveryDisputed)
        assert received.delivery == DisputedDelivery(message, "h", message.admitted_at, has_body=True)
        engine.context.outcome_forwarder = None  # now the engine is used as the successor
        engine.redelivery.delivery_disputed(received.delivery)
        assert engine.context.journal.messages["m"].body == b"body"

    run_with_engine(tmp_path, scenario)
