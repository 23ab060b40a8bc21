"""Servers that fail their connections in all ways, over loopback sockets: what may run twice never does."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery import host_client as hosts_module
from loftrelay.delivery.host_call import HostCall
from loftrelay.net.address import Address
from loftrelay.net.http import Connection
from loftrelay.relay.ports import CallOptions
from tests.delivery.host_client_fixture import Sender
from tests.standins.partner import Behaviour, Call, Doing, Partner

NEVER_RAN = (AttemptStatus.REJECTED, AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED)


def run(behaviour: Behaviour, scenario: Callable[[Partner, Sender], Awaitable[None]], **limits: Any) -> None:
    async def main() -> None:
        async with Partner(behaviour, seed=7) as partner, Sender({"h": partner.address}, **limits) as sender:
            await scenario(partner, sender)

    asyncio.run(main())


def test_a_black_hole_costs_its_time_and_is_learned() -> None:
    """Idle connections vanish without a word. Each write into one may have run for all the relay knows."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        lost = 0
        for i in range(14):
            ending = await sender.send(f"m{i}", timeout=0.7, unsafe=True)
            assert ending.status in (AttemptStatus.OK, AttemptStatus.TIMEOUT)
            lost += ending.status is AttemptStatus.TIMEOUT
            assert partner.effects[f"m{i}"] == (ending.status is AttemptStatus.OK)
            await asyncio.sleep(0.3)
        assert 3 <= lost <= 4  # then no connection is kept so long
        assert all(count == 1 for count in partner.effects.values())

    run(Behaviour(silent_after=(0.15, 0.28)), scenario, min_resets=3)


def test_resets_at_random_ages_are_learned() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        results = []
        for i in range(16):
            results.append((await sender.send(f"m{i}", unsafe=True)).status)
            await asyncio.sleep(0.3)
        assert AttemptStatus.CONNECTION_LOST in results
        assert set(results[-6:]) == {AttemptStatus.OK}

    run(Behaviour(reset_after=(0.15, 0.28)), scenario, min_resets=3)


def test_one_that_closes_half_is_not_asked_again_there() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        for i in range(6):
            assert (await sender.send(f"m{i}", unsafe=True)).status is AttemptStatus.OK
        assert partner.accepted == 6

    run(Behaviour(lambda call: Doing(half_close=True)), scenario)


def test_one_that_accepts_and_never_answers() -> None:
    """Each call ends in its time, and its connection with it: the host would see a second copy beside it."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        endings = await asyncio.gather(*(sender.send(f"m{i}", timeout=0.2, unsafe=True) for i in range(5)))
        assert {e.status for e in endings} == {AttemptStatus.TIMEOUT}
        await partner.until(lambda: not partner.open)

    run(Behaviour(lambda call: Doing(status=0)), scenario)


def test_one_that_takes_few_connections_gets_no_more() -> None:
    """It resets the rest, new ones too; once that is seen, calls wait for those that it takes."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        waves = []
        for wave in range(6):
            names = [f"w{wave}m{i}" for i in range(8)]
            endings = await asyncio.gather(*(sender.send(name) for name in names))
            waves.append([e.status for e in endings])
        assert waves[0].count(AttemptStatus.OK) >= 2
        assert set(waves[0]) - {AttemptStatus.OK} <= {
            AttemptStatus.CONNECTION_LOST,
            AttemptStatus.CONNECT_FAILED,
        }
        assert len(set(waves[0])) > 1
        assert set(waves[-1]) == {AttemptStatus.OK}
        assert sender.hosts.driver.pools.hosts["h"].capacity.limit in (2, 3)

    run(Behaviour(lambda call: Doing(delay=0.01), most=2), scenario, is_capacity_learned=True)


def test_a_full_listen_queue_is_no_connection() -> None:
    """What never came up never ran."""

    async def main() -> None:
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        fillers = []
        for _ in range(4):  # nobody accepts: the queue is full
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listening.getsockname())
            fillers.append(filler)
        async with Sender({"h": listening.getsockname()}) as sender:
            ending = await sender.send("m", unsafe=True)
            assert ending.status is AttemptStatus.CONNECT_FAILED
            assert not sender.tried
        for each in (*fillers, listening):
            each.close()

    asyncio.run(main())


def test_one_that_resets_as_the_request_is_written() -> None:
    """After the last byte it may have run, and the class tells whether it goes again; before, it has not."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        small = await sender.send("small", unsafe=True)
        assert small.status is AttemptStatus.CONNECTION_LOST
        big = await sender.send("big", unsafe=True, body=bytes(64 << 20))
        assert big.status is AttemptStatus.CONNECT_FAILED
        assert not partner.effects

    run(Behaviour(close_on_byte=1.0), scenario)


def test_a_connection_found_ended_before_a_byte_is_replaced_and_nothing_lost() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        for i in range(10):
            assert (await sender.send(f"m{i}", unsafe=True)).status is AttemptStatus.OK
            await asyncio.sleep(0.02)
            for connection in list(partner.open.values()):
                connection.end()
            # handed over while the end is on its way, or has come and is not read yet
        assert partner.accepted == 10
        assert set(partner.effects.values()) == {1}

    run(Behaviour(), scenario)


def test_the_address_moves_while_calls_are_out() -> None:
    async def scenario(old: Partner, sender: Sender) -> None:
        async with Partner() as new:
            out = [sender.send(f"old{i}") for i in range(3)]
            await old.until(lambda: len(old.calls) == 3)
            sender.hosts.add_host("h", new.address, 1)
            assert (await sender.send("new0")).status is AttemptStatus.OK
            assert {(await e).status for e in out} == {AttemptStatus.OK}  # those out end where they began
            assert [(await sender.send(f"new{i}")).status for i in (1, 2)] == [AttemptStatus.OK] * 2
            assert new.ids == ["new0", "new1", "new2"]
            assert len(old.ids) == 3
            await old.until(lambda: not old.open)

    run(Behaviour(lambda call: Doing(delay=0.1)), scenario)


def test_one_drains_with_connections_opening() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        out = sender.send("m")
        sender.hosts.drain_host("h")
        ending = await out
        assert ending.status is AttemptStatus.NOT_SENT
        assert ending.is_stale
        await partner.until(lambda: not partner.open)
        assert not partner.calls
        assert not sender.tried

    run(Behaviour(), scenario)


def test_one_returns_cold_and_nothing_is_opened_beyond_the_calls() -> None:
    """Opening ahead of need stops with the outage, and begins again only when all has been well for long."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        for i in range(40):
            await asyncio.gather(sender.send(f"a{i}"), sender.send(f"b{i}"))
        await partner.until(lambda: len(partner.open) > 2)  # some stand ready
        assert partner.server is not None
        port = partner.address[1]
        partner.server.close()
        for connection in list(partner.open.values()):
            connection.end()
        await partner.until(lambda: not partner.open)
        endings = await asyncio.gather(*(sender.send(f"down{i}") for i in range(10)))
        assert {e.status for e in endings} <= {AttemptStatus.CONNECT_FAILED, AttemptStatus.CONNECTION_LOST}
        accepted = partner.accepted
        await partner.__aenter__(port)
        for i in range(20):
            assert (await sender.send(f"back{i}")).status is AttemptStatus.OK
            well_since = sender.hosts.driver.pools.hosts["h"].destination.healthy_since
            if well_since is not None and sender.hosts.driver.now_us() - well_since < 100_000:
                assert partner.accepted - accepted == 1
            else:
                assert i  # the first call itself is well, and not for long

    run(
        Behaviour(lambda call: Doing(delay=0.005)),
        scenario,
        max_prewarmed=6,
        warm_up_after=100_000,
        reuse_delay=0,
    )


def test_one_that_is_gone_while_a_call_waits() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        first, second = sender.send("m1"), sender.send("m2")
        await partner.until(lambda: partner.ids == ["m1"])
        sender.hosts.remove_host("h")
        assert (await second).status is AttemptStatus.CONNECT_FAILED
        assert (await first).status is AttemptStatus.OK

    run(Behaviour(lambda call: Doing(delay=0.1)), scenario, max_per_host=1)


def test_a_call_that_ran_out_of_time_waiting_for_room_says_nothing_of_its_server() -> None:
    async def scenario(partner: Partner, sender: Sender) -> None:
        first = sender.send("m1")
        await partner.until(lambda: partner.ids == ["m1"])
        assert (await sender.send("m2", timeout=0.05)).status is AttemptStatus.NOT_SENT
        assert (await first).status is AttemptStatus.OK

    run(Behaviour(lambda call: Doing(delay=0.3)), scenario, max_per_host=1)


def test_a_connection_given_to_a_call_that_has_just_run_out_of_time_is_given_back() -> None:
    """Its future was cancelled, and its task had not run since: the connection was lost to all others."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        hosts = sender.hosts
        call = hosts.driver.waiting[99] = HostCall(99, "h", [], CallOptions(1.0, False, False, None), 0.0)
        call.lease = asyncio.get_running_loop().create_future()
        call.lease.cancel()
        hosts.driver.execute(hosts.driver.pools.acquire(99, "h", False, None, hosts.driver.now_us()))
        assert (await sender.send("m")).status is AttemptStatus.OK
        server = hosts.driver.pools.hosts["h"]
        assert server.busy == 0
        assert server.established == partner.accepted
        assert not hosts.driver.waiting

    run(Behaviour(), scenario)


def test_a_quick_refusal_and_its_wait_are_heard_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sooner than any delivery, as refusals are: held back, its wait would be broken by other calls."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        for i in range(36):
            await sender.send(f"plain{i}")
        held: list[float] = []
        monkeypatch.setattr(hosts_module, "HOLD_FACTOR", Spy(held))
        ending = await sender.send("order", unsafe=True)
        assert ending.status is AttemptStatus.REJECTED
        assert ending.retry_after == 70_000
        assert not held
        assert sender.told.is_set()
        sender.waits.clear()
        assert (await sender.send("quick", unsafe=True)).status is AttemptStatus.OK
        assert held  # a delivery as quick as that is held

    class Spy(int):
        """Notes that it was used to reckon how long an answer is held."""

        def __new__(cls, seen: list[float]) -> Spy:
            spy = super().__new__(cls, 4)
            spy.seen = seen
            return spy

        seen: list[float]

        def __mul__(self, other: float) -> int:
            self.seen.append(other)
            return 0

    def script(call: Call) -> Doing:
        if call.ids == ["order"]:
            return Doing(429, wait_ms=70)
        return Doing(delay=0.0 if call.ids == ["quick"] else 0.03)

    run(Behaviour(script), scenario, at_most_once_reuse_delay=0)


def test_descriptors_run_out(monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture) -> None:
    """The pool makes do with fewer connections, each call is delivered, and the log says it once."""

    async def scenario(partner: Partner, sender: Sender) -> None:
        opened = Connection.open
        under_way = 0

        async def short(address: Address, timeout: float) -> Connection:
            nonlocal under_way
            if len(sender.hosts.driver.connections) + under_way >= 4:
                raise OSError(errno.EMFILE, "Too many open files")
            under_way += 1
            try:
                return await opened(address, timeout)
            finally:
                under_way -= 1

        monkeypatch.setattr(Connection, "open", short)
        endings = await asyncio.gather(*(sender.send(f"m{i}") for i in range(40)))
        assert {e.status for e in endings} == {AttemptStatus.OK}
        assert set(partner.effects.values()) == {1}
        assert len(partner.effects) == 40

    run(Behaviour(lambda call: Doing(delay=0.01)), scenario)
    assert len([line for line in caplog.messages if "out of descriptors" in line]) == 1


def test_a_scripted_storm_of_all_of_it() -> None:
    """Fixed seeds; each message goes again only after a proof that it has not run, as an unsafe one would.
    None runs twice, and none is held to have run that has not."""

    async def main() -> None:
        places = {}
        partners = []
        behaviours = [
            Behaviour(),
            Behaviour(reset_after=(0.05, 0.3)),
            Behaviour(close_on_byte=0.1),
            Behaviour(most=3),
            Behaviour(lambda call: Doing(503 if call.nth % 3 == 2 else 200, delay=0.002)),
            Behaviour(lambda call: Doing(half_close=call.nth % 4 == 3)),
            Behaviour(lambda call: Doing(reset=call.nth % 7 == 6)),
        ]
        for n, behaviour in enumerate(behaviours):
            partner = Partner(behaviour, seed=n)
            await partner.__aenter__()
            partners.append(partner)
            places[f"h{n}"] = partner.address
        said: dict[str, AttemptStatus] = {}
        async with Sender(places, is_capacity_learned=True, connect_backoff=1000, max_per_host=5) as sender:

            async def client(n: int) -> None:
                for i in range(20):
                    name, host = f"c{n}m{i}", f"h{(n + i) % len(places)}"
                    for attempt in range(12):
                        sender.ended.pop(name, None)
                        ending = await sender.send(name, host=host, unsafe=True, timeout=2.0)
                        said[name] = ending.status
                        if ending.status not in NEVER_RAN:
                            break
                        await asyncio.sleep(0.001 * attempt)

            await asyncio.gather(*(client(n) for n in range(50)))
        effects = {name: count for partner in partners for name, count in partner.effects.items()}
        assert len(said) == 1000
        assert set(effects.values()) == {1}
        assert all(effects.get(name) for name, result in said.items() if result is AttemptStatus.OK)
        assert not any(effects.get(name) for name, result in said.items() if result in NEVER_RAN)
        assert sum(result is AttemptStatus.OK for result in said.values()) > 800
        for partner in partners:
            await partner.__aexit__()

    asyncio.run(main())
