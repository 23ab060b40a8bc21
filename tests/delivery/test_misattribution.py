"""No answer for another's request: second copies of answers, early and late, over loopback sockets.

The measured case: a partner answers four quick calls and a message, and sends that answer once more a while
later. A work order handed in meanwhile travels on the same connection; it is not run, and its own answer
comes later still.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import select

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay import fault_points
from loftrelay.relay.ports import AttemptResult
from tests.delivery.host_client_fixture import Sender
from tests.standins.partner import Behaviour, Call, Doing, Partner

LATE = (0.005, 0.015, 0.05, 0.2, 1.0)
CASES = list(itertools.product(LATE, (200, 503), (1, 3), (False, True), (False, True)))


async def settle() -> None:
    """What was written on loopback can be read at once: some passes of the loop do."""
    for _ in range(20):
        await asyncio.sleep(0)


async def begun(
    sender: Sender, partner: Partner, name: str, batch: bool, unsafe: bool = False
) -> AttemptResult:
    """On a starved machine a connect may take longer than it is waited for: sent anew, as the engine does."""
    while True:
        ending = await sender.send(name, unsafe=unsafe, batch=batch)
        if (
            ending.status not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
            or partner.effects[name]
        ):
            return ending


async def stale(status: int, batch: bool = False) -> tuple[bool, bool, Sender, AttemptResult]:
    """A late copy that comes just when an order waits for its answer on that connection, whatever the clock
    does and however long that rested. Whether the order was misattributed, whether the copy was noticed, and
    how the order ended."""

    def script(call: Call) -> Doing:
        if call.ids == ["order"]:
            return Doing(503 if status == 200 else 200, stale=True, delay=0.05)
        return Doing(status)

    async with (
        Partner(Behaviour(script)) as partner,
        Sender({"h": partner.address}, at_most_once_reuse_delay=0) as sender,
    ):
        await sender.send("first", batch=batch)
        await sender.send("second", batch=batch)
        ending = await sender.send("order", unsafe=True, batch=batch)
        await partner.until(lambda: partner.answered["order"] > 0)
        await settle()
        false = Case(0, status, 1, batch, True).false(partner, "order", ending)
        return false, sender.hosts.driver.pools.trust.unsolicited_at is not None, sender, ending


class Case:
    """Its partner answers at once and copies one answer `late` seconds after; an order's own answer is the
    opposite of the copied one and comes after the copy (busy) or at once (at rest)."""

    def __init__(self, late: float, status: int, pieces: int, batch: bool, busy: bool) -> None:
        self.late, self.status, self.pieces, self.batch, self.busy = late, status, pieces, batch, busy

    def script(self, call: Call) -> Doing:
        if call.ids[0].startswith("plain"):
            return Doing()
        if call.ids[0].startswith("copied"):
            return Doing(self.status, copies=(self.late,), pieces=self.pieces)
        return Doing(503 if self.status == 200 else 200, delay=self.late + 0.15 if self.busy else 0.0)

    def false(self, partner: Partner, name: str, ending: AttemptResult) -> bool:
        """The relay holds it to have run when it has not, or to be sure not to have run when it has."""
        ran = partner.effects[name] > 0
        says_not = ending.status in (
            AttemptStatus.REJECTED,
            AttemptStatus.NOT_SENT,
            AttemptStatus.CONNECT_FAILED,
        )
        return (ending.is_final and not ran) or (says_not and ran)

    async def round(self, partner: Partner, sender: Sender, number: int) -> bool:
        """Whether the order's answer was another's. Ends when the copy is over, too."""
        for i in range(4):
            await sender.send(f"plain{number}-{i}")
        await begun(sender, partner, f"copied{number}", self.batch)
        await asyncio.sleep(min(0.025, self.late / 2))
        ending = await begun(sender, partner, f"order{number}", self.batch, unsafe=True)
        await partner.until(lambda: partner.copied > number and partner.answered[f"order{number}"] > 0)
        await settle()
        return self.false(partner, f"order{number}", ending)

    async def play(self, rounds: int, strict: bool) -> tuple[list[bool], bool, Sender]:
        async with (
            Partner(Behaviour(self.script)) as partner,
            Sender({"h": partner.address}, is_strict=strict) as sender,
        ):
            falsified = [await self.round(partner, sender, n) for n in range(rounds)]
            known = sender.hosts.driver.pools.trust.unsolicited_count > 0
            return falsified, known, sender


def play_all(strict: bool) -> list[tuple[list[bool], bool, Sender]]:
    async def main() -> list[tuple[list[bool], bool, Sender]]:
        return list(await asyncio.gather(*(Case(*case).play(2, strict) for case in CASES)))

    return asyncio.run(main())


def test_by_default_no_order_is_misattributed_once_its_server_was_seen_to_copy() -> None:
    for case, (falsified, known, _) in zip(CASES, play_all(strict=False), strict=True):
        assert known, case  # the first copy is never overlooked
        assert not falsified[1], case


@pytest.mark.parametrize("strict", [False, True])
def test_copies_right_behind_an_answer_are_seen_and_cost_no_trust(strict: bool) -> None:
    """They end their connection, so that they can reach no other request. Harm: each cost a new connection
    for every order afterwards, and a relay with few slots a quarter of what it delivered."""

    async def main() -> None:
        partner = Partner(Behaviour(lambda call: Doing(503 if call.ids == ["last"] else 200, behind=1)))
        async with partner, Sender({"h": partner.address}, is_strict=strict) as sender:
            for i in range(5):
                ending = await sender.send(f"order{i}", unsafe=True)
                assert ending.status is AttemptStatus.OK
                assert partner.effects[f"order{i}"] == 1
            assert sender.hosts.driver.pools.trust.unsolicited_count == 5
            assert partner.accepted == 5
            assert sender.hosts.driver.pools.requires_unused("h") == strict
            assert (await sender.send("last", unsafe=True)).status is AttemptStatus.REJECTED

    asyncio.run(main())


@pytest.mark.parametrize("step", ["heard", "journal try"])
def test_a_copy_that_comes_while_the_loop_is_at_work_is_counted(
    step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Between an answer and its judging, and between a connection's check and the request's first byte. Harm:
    on a busy machine both passed for an ordinary end of the connection."""

    async def main() -> None:
        async with Partner() as partner, Sender({"h": partner.address}, at_most_once_reuse_delay=0) as sender:
            await sender.send("first")

            def listen(at: str) -> None:
                if at == step:
                    monkeypatch.setattr(fault_points, "listener", None)
                    transport = partner.open[0].transport
                    transport.write(partner.open[0].last)
                    (line,) = sender.hosts.driver.connections.values()
                    assert line.connection.transport is not None
                    poll = select.poll()
                    poll.register(line.connection.transport.get_extra_info("socket"), select.POLLIN)
                    assert poll.poll(60_000)

            monkeypatch.setattr(fault_points, "listener", listen)
            assert (await sender.send("second", unsafe=True)).status is AttemptStatus.OK
            assert sender.hosts.driver.pools.trust.unsolicited_count == 1
            assert partner.effects["second"] == 1

    asyncio.run(main())


def test_strict_never_misattributes_an_order() -> None:
    for case, (falsified, _, _) in zip(CASES, play_all(strict=True), strict=True):
        assert falsified == [False, False], case


def test_the_first_copy_is_what_no_client_can_tell_apart() -> None:
    """So that the two tests above are known to be able to fail: but the copy is noticed, if late."""
    false, known, sender, ending = asyncio.run(stale(200))
    assert false
    assert known
    assert ending.is_final
    assert not sender.doubted  # it can't be taken back


def test_a_surplus_answer_says_in_the_log_which_may_be_false(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.ERROR):
        asyncio.run(stale(200))
    assert any("order (OK)" in line and "unsolicited" in line for line in caplog.messages)


def test_a_refusal_that_may_have_been_anothers_is_doubted_before_the_message_goes_again() -> None:
    """The order ran, and its 200 came behind the late copy of a 503 that was read as its refusal."""
    false, known, sender, ending = asyncio.run(stale(503))
    assert false
    assert known
    assert ending.status is AttemptStatus.REJECTED
    assert "order" in sender.doubted


def test_a_copy_of_a_batch_answer_is_believed_for_no_other_batch() -> None:
    false, known, _, ending = asyncio.run(stale(200, batch=True))
    assert not false
    assert known
    assert ending.status is AttemptStatus.MALFORMED_RESPONSE


def test_an_answer_sooner_than_ever_waits_for_the_true_one() -> None:
    """A server that takes 60 ms for each: its late copy reaches an order as soon as that is sent."""

    def script(call: Call) -> Doing:
        if call.ids == ["order"]:
            return Doing(503, delay=0.1, stale=True)
        return Doing(delay=0.06)

    async def main() -> None:
        async with (
            Partner(Behaviour(script)) as partner,
            Sender({"h": partner.address}, at_most_once_reuse_delay=0) as sender,
        ):
            for i in range(36):
                await sender.send(f"plain{i}")
            ending = await sender.send("order", unsafe=True)
            assert partner.calls[-1].connection == partner.calls[-2].connection
            assert ending.status is AttemptStatus.MALFORMED_RESPONSE
            assert not ending.is_final
            assert sender.hosts.driver.pools.trust.unsolicited_at is not None

    asyncio.run(main())


def test_an_answer_sooner_than_ever_stands_when_none_follows() -> None:
    async def main() -> None:
        def script(call: Call) -> Doing:
            return Doing(delay=0.0 if call.ids == ["order"] else 0.03)

        async with (
            Partner(Behaviour(script)) as partner,
            Sender({"h": partner.address}, at_most_once_reuse_delay=0) as sender,
        ):
            for i in range(36):
                await sender.send(f"plain{i}")
            ending = await sender.send("order", unsafe=True)
            assert ending.status is AttemptStatus.OK
            await sender.send("next")
            assert partner.accepted == 1  # and its connection is kept

    asyncio.run(main())


def test_an_answer_before_the_request_is_whole_is_none() -> None:
    """A server that writes before it has read: nobody can have answered what was not asked whole."""

    async def main() -> None:
        async def rude(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readexactly(1)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(rude, "127.0.0.1", 0, limit=1024)
        address = server.sockets[0].getsockname()[:2]
        async with Sender({"h": address}) as sender:
            ending = await sender.send("big", unsafe=True, body=bytes(32 << 20))
            assert ending.status is AttemptStatus.CONNECT_FAILED
            assert not ending.is_final
        server.close()

    asyncio.run(main())


def test_bytes_on_a_connection_that_nothing_was_asked_on_end_it() -> None:
    """Before the first request, too: an answer that waits there would be taken for the first one's."""

    async def main() -> None:
        greeted = 0

        async def greet(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal greeted
            greeted += 1
            if greeted == 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(greet, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()[:2]
        async with Sender({"h": address}) as sender:
            hosts = sender.hosts
            driver = hosts.driver
            driver.execute(driver.pools.acquire(-1, "h", False, None, driver.now_us()))  # opens one ...
            driver.execute(driver.pools.cancel(-1, driver.now_us()))  # ... that stays idle
            async with asyncio.timeout(60):
                while hosts.driver.pools.trust.unsolicited_at is None:
                    await asyncio.sleep(0.001)
            assert (await sender.send("order", unsafe=True)).status is AttemptStatus.REJECTED
        server.close()

    asyncio.run(main())
