"""A wait told between a call's decision and its last byte takes it back, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.call_outcome import parse_retry_after
from loftrelay.net.address import Address
from loftrelay.net.http import Connection
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult
from tests.delivery.host_client_fixture import Sender
from tests.standins.partner import Behaviour, Call, Doing, Partner

HANG = 60  # seconds after which a test that waits has failed
LONG = 3_600_000  # ms: over the whole test, however busy the machine


def full(call: Call) -> Doing:
    """Messages named so are turned away, and the wait is told."""
    return Doing(429, wait_ms=LONG) if call.ids[0].startswith("full") else Doing()


def run(scenario: Callable[[Partner, Sender], Awaitable[None]], do: Any = full, **limits: Any) -> None:
    async def main() -> None:
        async with Partner(Behaviour(do)) as partner:
            places = {"h": partner.address, "g": partner.address}
            async with Sender(places, **limits) as sender:
                await scenario(partner, sender)

    asyncio.run(main())


def outcome(ending: AttemptResult) -> tuple[AttemptStatus, bool]:
    return ending.status, ending.is_blocked


HELD = (AttemptStatus.NOT_SENT, True)


class Gate:
    """Connections come up only when they are let, as many as were let."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.room = asyncio.Semaphore(0)
        self.asked = 0
        open_at_once = Connection.open

        async def late(address: Address, timeout: float) -> Connection:
            self.asked += 1
            await self.room.acquire()
            return await open_at_once(address, timeout)

        monkeypatch.setattr(Connection, "open", late)


@pytest.mark.parametrize("host", ["h", "g"])
@pytest.mark.parametrize("shared", [True, False])
def test_while_another_call_waits_for_its_connection(
    monkeypatch: pytest.MonkeyPatch, host: str, shared: bool
) -> None:
    """It is held where its host shares routes with the one that told, and sent where routes are apart."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        sender.shared = shared
        gate = Gate(monkeypatch)
        gate.room.release()
        first = sender.send("full")
        while not partner.calls:  # its connection is up, and carries it
            await asyncio.sleep(0)
        ending = sender.send("m", host=host)
        while gate.asked < 2:
            await asyncio.sleep(0)
        assert outcome(await first) == (AttemptStatus.REJECTED, False)
        gate.room.release()
        if shared or host == "h":
            assert outcome(await ending) == HELD
            assert partner.ids == ["full"]
            assert sender.tried == ["full"]
        else:
            assert outcome(await ending) == (AttemptStatus.OK, False)

    run(scenario, lambda call: Doing(429, wait_ms=LONG, delay=0.1) if call.ids == ["full"] else Doing())


def test_while_another_call_waits_for_a_place_in_the_pool() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        first, second, third = sender.send("full"), sender.send("m"), sender.send("n")
        assert (await first).status is AttemptStatus.REJECTED
        assert outcome(await second) == HELD
        assert outcome(await third) == HELD
        assert partner.ids == ["full"]
        sender.waits.clear()
        assert (await sender.send("o")).status is AttemptStatus.OK
        assert partner.accepted == 1

    run(scenario, max_per_host=1)


@pytest.mark.parametrize("why", ["held", "denied"])
def test_a_call_that_is_recalled_in_the_same_pass_has_no_second_outcome(
    monkeypatch: pytest.MonkeyPatch, why: str
) -> None:
    """Before a handover: whoever took it back has it, and must not hear of it again."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        gate = Gate(monkeypatch)
        ending = sender.send("m")
        while not gate.asked:
            await asyncio.sleep(0)
        (task,) = sender.hosts.calls
        if why == "held":
            sender.tell("g", LONG * 1000)
        else:
            sender.hosts.remove_host("h")
        assert [held.id for held, _ in sender.hosts.withdraw_unsent_calls()] == ["m"]
        await asyncio.wait([task])
        assert not ending.done()

    run(scenario)


def test_during_the_rest_of_its_connection() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        assert (await sender.send("a")).status is AttemptStatus.OK
        ending = sender.send("m")
        while sender.hosts.driver.waiting or not sender.hosts.calls:  # it has its connection, which rests
            await asyncio.sleep(0)
        assert (await sender.send("full", host="g")).status is AttemptStatus.REJECTED
        assert outcome(await ending) == HELD
        assert partner.ids == ["a", "full"]

    run(scenario, reuse_delay=300_000, max_reuse_delay=300_000, max_per_host=1)


def test_while_its_journal_record_is_written() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        def tried(held: Message, host: str) -> None:
            sender.tell("g", LONG * 1000)

        sender.hosts.on_attempt = tried
        assert outcome(await sender.send("m")) == HELD
        assert not partner.calls

    run(scenario)


def test_while_it_is_begun_anew_on_a_second_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        assert (await sender.send("a")).status is AttemptStatus.OK
        usable, looks = Connection.is_usable, [True, False]  # it ends between the look and the first byte

        def ended(connection: Connection) -> bool:
            sound = looks.pop(0) if looks else usable(connection)
            if not sound:
                sender.tell("g", LONG * 1000)
            return sound

        monkeypatch.setattr(Connection, "is_usable", ended)
        assert outcome(await sender.send("m")) == HELD
        assert partner.ids == ["a"]

    run(scenario)


@pytest.mark.parametrize("bound", [True, False])
def test_the_last_byte_goes_out_slowly(bound: bool) -> None:
    """A host that has not the whole of a call can't have begun it: it goes back, and its rest is not sent."""

    async def main() -> None:
        body, came = b"x" * (32 << 20), bytearray()
        begun, read, ended = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.extend(await reader.read(100))
            begun.set()
            await read.wait()
            while len(came) < len(body) and (data := await reader.read(1 << 20)):
                came.extend(data)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with Sender({"h": server.sockets[0].getsockname()[:2]}) as sender:
            ending = sender.send("m", body=body, timeout=30.0)
            await begun.wait()
            if bound:
                sender.tell("h", LONG * 1000)
            read.set()
            assert outcome(await ending) == (HELD if bound else (AttemptStatus.OK, False))
            await ended.wait()
            assert (len(came) < len(body)) is bound
            assert not sender.hosts.driver.pools.table.connections or not bound
        server.close()

    asyncio.run(main())


ANSWERS = {
    "whole": b"Content-Length: 0\r\n\r\n",
    "spoilt": b"Content-Length: 4\r\n\r\n[{]}",
    "never ends": b"Content-Length: 9\r\n\r\n[",
    "cut": b"Transfer-Encoding: chunked\r\n\r\n3\r\n[",
    "garbled": b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "too long": b"Content-Length: 99999999\r\n\r\n",
}


@pytest.mark.parametrize("status", [200, 429, 500, 503])
@pytest.mark.parametrize("rest", ANSWERS)
def test_a_wait_in_the_head_binds_whatever_comes_after_it(status: int, rest: str) -> None:
    """At once, and each message's ending tells it, too, also where the call times out in the midst of it."""

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"]")
            head = f"HTTP/1.1 {status} X\r\nX-Come-Back-Ms: {LONG}\r\n".encode()
            writer.write(head + ANSWERS[rest])
            if rest == "cut":
                writer.write_eof()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with Sender({"h": server.sockets[0].getsockname()[:2]}) as sender:
            sender.send("a", "b", batch=True, timeout=30.0)
            await asyncio.wait_for(sender.told.wait(), HANG)
            assert sender._bound("h")
            assert [(await sender.ended[name]).retry_after for name in "ab"] == [LONG * 1000] * 2
        server.close()

    asyncio.run(main())


def test_an_answer_that_has_come_when_the_call_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop was late: the time is up before it reads what came long since."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        ending = sender.send("full", timeout=60.0)
        while not partner.calls:
            await asyncio.sleep(0)
        (call,) = sender.hosts.calls.values()
        assert call.sent_on is not None
        connection = call.sent_on.connection
        assert connection.transport is not None
        # In the pass in which the answer is written.
        connection._deadline_timer._check(3, connection.transport, connection._deadline_passed)
        assert (await ending).retry_after == LONG * 1000
        assert sender._bound("g")

    run(scenario)


@pytest.mark.parametrize(
    ("values", "wait"),
    [
        ([b"250"], 250_000),
        ([b"0"], 0),
        ([], 0),
        ([b""], 0),
        ([b"-5"], 0),
        ([b"soon"], 0),
        ([b"1e3"], 0),
        ([b"12.5"], 13_000),
        ([b"12.0"], 12_000),
        ([b"0.2"], 1_000),
        ([b"000000000250"], 250_000),
        ([b"9" * 5000], 999_999_999_000),
        ([b"99999999999999999999"], 999_999_999_000),
        ([b"300", b"200"], 300_000),
        ([b"soon", b"200"], 200_000),
        ([b"0" * 4000], 0),
        ([b"\xd9\xa2"], 0),
    ],
)
def test_what_a_told_wait_says(values: list[bytes], wait: int) -> None:
    assert parse_retry_after([(b"x", b"7"), *((b"x-come-back-ms", value) for value in values)]) == wait
