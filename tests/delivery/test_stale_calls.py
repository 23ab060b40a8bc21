"""What was decided holds no more, and the host has not the whole of the call: it goes back, over loopback.

A drain, a host that is gone, and the end of the window in which a destination drops repeats: each told while
the call waits for its connection, while that rests, in the journal's record and in the midst of its bytes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from loftrelay.decisions.events import AttemptStatus, MessageSubmitted
from loftrelay.decisions.settings import DeliverySemantics, MessageClass, MessageTerms
from loftrelay.relay.message import Message
from tests.decisions.world import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)
from tests.delivery.host_client_fixture import Sender
from tests.delivery.test_retry_after import Gate, run
from tests.standins.partner import Partner

WINDOW = 0.15  # seconds

TOLD: dict[str, Callable[[Sender], None]] = {
    "drain": lambda sender: sender.hosts.drain_host("h"),
    "gone": lambda sender: sender.hosts.remove_host("h"),
    "window": lambda sender: None,  # it ends by itself
}


def within(why: str) -> float:
    return WINDOW if why == "window" else 60.0


@pytest.mark.parametrize("why", TOLD)
def test_while_it_waits_for_its_connection(monkeypatch: pytest.MonkeyPatch, why: str) -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        gate = Gate(monkeypatch)
        ending = sender.send("m", begin_within=within(why))
        while not gate.asked:
            await asyncio.sleep(0)
        TOLD[why](sender)
        told = await ending
        assert told.status is (AttemptStatus.CONNECT_FAILED if why == "gone" else AttemptStatus.NOT_SENT)
        assert told.is_stale == (why != "gone")
        gate.room.release()
        await asyncio.sleep(0.05)
        assert not partner.calls
        assert not sender.tried

    run(scenario)


@pytest.mark.parametrize("why", TOLD)
def test_while_its_connection_rests(why: str) -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        assert (await sender.send("a")).status is AttemptStatus.OK
        ending = sender.send("m", begin_within=within(why))
        while sender.hosts.driver.waiting or not sender.hosts.calls:
            await asyncio.sleep(0)
        TOLD[why](sender)
        assert (await ending).status in (AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED)
        assert partner.ids == ["a"]
        assert sender.tried == ["a"]

    run(scenario, reuse_delay=300_000, max_reuse_delay=300_000, max_per_host=1)


@pytest.mark.parametrize("why", TOLD)
def test_while_its_record_is_written(why: str) -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        def tried(held: Message, host: str) -> None:
            TOLD[why](sender)
            if why == "window":
                until = asyncio.get_running_loop().time() + WINDOW
                while asyncio.get_running_loop().time() < until:
                    pass

        sender.hosts.on_attempt = tried
        ending = await sender.send("m", begin_within=within(why))
        assert (ending.status, ending.is_stale) == (AttemptStatus.NOT_SENT, True)
        assert not partner.calls

    run(scenario)


def test_while_its_last_byte_is_not_out() -> None:
    """A window that ends under it: the rest is not sent, and the host never has it whole."""

    async def main() -> None:
        ended = asyncio.Event()

        class Unread(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                assert isinstance(transport, asyncio.Transport)
                transport.pause_reading()
                asyncio.get_running_loop().call_later(3 * WINDOW, transport.resume_reading)

            def connection_lost(self, exc: Exception | None) -> None:
                ended.set()

        server = await asyncio.get_running_loop().create_server(Unread, "127.0.0.1", 0)
        async with Sender({"h": server.sockets[0].getsockname()[:2]}) as sender:
            ending = await sender.send("m", body=b"x" * (32 << 20), begin_within=WINDOW)
            assert (ending.status, ending.is_stale) == (AttemptStatus.NOT_SENT, True)
            await ended.wait()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("window", [SECOND_US, 5 * SECOND_US])
def test_the_module_bounds_each_repeat_by_its_window(window: int) -> None:
    """The first call has no bound; each later one goes out whole before the window is over, or not at all."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    about = MessageClass(
        "k", DeliverySemantics.DEDUPLICATED, "all", window, SECOND_US, 20 * SECOND_US, 1.0, 0.4, False
    )
    driver.run_batch(MessageSubmitted("m", 1, "k", None, 20 * SECOND_US, None, MessageTerms(about, 12)))
    first = driver.now
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
        assert at < at + send.send_within < first + window
