"""A call whose decision is outdated before the host has received it completely is not sent.

The causes are a drain, the removal of the host, and the end of the deduplication window of the destination.
Each occurs while the call waits for its connection, during the reuse delay, and while the attempt is
recorded; the end of the window also while the request is being written. Runs over loopback sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from loftrelay.decisions.events import AttemptStatus, MessageSubmitted
from loftrelay.decisions.settings import DeliverySemantics, MessageClass, MessageTerms
from loftrelay.relay.message import Message
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)
from tests.delivery.host_client_fixture import ClientHarness
from tests.delivery.test_retry_after import ConnectGate, run
from tests.standins.fake_host import FakeHost

WINDOW_S = 0.15  # deduplication window

EVENTS: dict[str, Callable[[ClientHarness], None]] = {
    "drain": lambda harness: harness.client.drain_host("h"),
    "removed": lambda harness: harness.client.remove_host("h"),
    "window": lambda harness: None,  # ends without an event
}


def send_within(event: str) -> float:
    return WINDOW_S if event == "window" else 60.0


@pytest.mark.parametrize("event", EVENTS)
def test_stale_call_waiting_for_connect_is_not_sent(monkeypatch: pytest.MonkeyPatch, event: str) -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        gate = ConnectGate(monkeypatch)
        result = harness.send("m", send_within=send_within(event))
        while not gate.requests:
            await asyncio.sleep(0)
        EVENTS[event](harness)
        outcome = await result
        assert outcome.status is (
            AttemptStatus.CONNECT_FAILED if event == "removed" else AttemptStatus.NOT_SENT
        )
        assert outcome.is_stale == (event != "removed")
        gate.permits.release()
        await asyncio.sleep(0.05)
        assert not partner.calls
        assert not harness.attempted

    run(scenario)


@pytest.mark.parametrize("event", EVENTS)
def test_stale_call_in_reuse_delay_is_not_sent(event: str) -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        assert (await harness.send("a")).status is AttemptStatus.OK
        result = harness.send("m", send_within=send_within(event))
        while harness.client.driver.waiting or not harness.client.calls:
            await asyncio.sleep(0)
        EVENTS[event](harness)
        assert (await result).status in (AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED)
        assert partner.message_ids == ["a"]
        assert harness.attempted == ["a"]

    run(scenario, reuse_delay=300_000, max_reuse_delay=300_000, max_per_host=1)


@pytest.mark.parametrize("event", EVENTS)
def test_stale_call_whose_attempt_is_being_recorded_is_not_sent(event: str) -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        def on_attempt(message: Message, host: str) -> None:
            EVENTS[event](harness)
            if event == "window":
                until = asyncio.get_running_loop().time() + WINDOW_S
                while asyncio.get_running_loop().time() < until:
                    pass

        harness.client.on_attempt = on_attempt
        result = await harness.send("m", send_within=send_within(event))
        assert (result.status, result.is_stale) == (AttemptStatus.NOT_SENT, True)
        assert not partner.calls

    run(scenario)


def test_stale_call_with_unwritten_bytes_is_withdrawn() -> None:
    """The deduplication window ends meanwhile: the rest is not sent and the host never has the whole call."""

    async def main() -> None:
        ended = asyncio.Event()

        class SlowReader(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                assert isinstance(transport, asyncio.Transport)
                transport.pause_reading()
                asyncio.get_running_loop().call_later(3 * WINDOW_S, transport.resume_reading)

            def connection_lost(self, exc: Exception | None) -> None:
                ended.set()

        server = await asyncio.get_running_loop().create_server(SlowReader, "127.0.0.1", 0)
        async with ClientHarness({"h": server.sockets[0].getsockname()[:2]}) as harness:
            result = await harness.send("m", body=b"x" * (32 << 20), send_within=WINDOW_S)
            assert (result.status, result.is_stale) == (AttemptStatus.NOT_SENT, True)
            await ended.wait()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("window", [SECOND_US, 5 * SECOND_US])
def test_decisions_bound_repeated_calls_by_deduplication_window(window: int) -> None:
    """The first call has no bound; each later one is sent completely within the window, or not at all."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    message_class = MessageClass(
        "k", DeliverySemantics.DEDUPLICATED, "all", window, SECOND_US, 20 * SECOND_US, 1.0, 0.4, False
    )
    driver.run_batch(
        MessageSubmitted("m", 1, "k", None, 20 * SECOND_US, None, MessageTerms(message_class, 12))
    )
    first_sent_at = driver.now
    while not ended_messages(
        actions := driver.end_attempt("m", AttemptStatus.CONNECTION_LOST, after=20 * MILLISECOND_US)
    ):
        while not sent_messages(actions) and not ended_messages(actions):
            actions = driver.advance_clock(30 * SECOND_US)
        if ended_messages(actions):
            break
    calls = [(at, send) for at, send in driver.sent if send.message_id == "m"]
    assert calls[0][1].send_within is None
    assert len(calls) > 1
    for at, send in calls[1:]:
        assert send.send_within is not None
        assert at < at + send.send_within < first_sent_at + window
