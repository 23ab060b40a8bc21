"""Connection failures of all kinds, over loopback sockets: at-most-once messages never run twice."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery import host_client
from loftrelay.delivery.host_call import HostCall
from loftrelay.net.address import Address
from loftrelay.net.http import Connection
from loftrelay.relay.ports import CallOptions
from tests.delivery.host_client_fixture import ClientHarness
from tests.standins.fake_host import Behaviour, Call, FakeHost, ResponsePlan

NOT_RUN_STATUSES = (AttemptStatus.REJECTED, AttemptStatus.NOT_SENT, AttemptStatus.CONNECT_FAILED)


def run(
    behaviour: Behaviour, scenario: Callable[[FakeHost, ClientHarness], Awaitable[None]], **settings: Any
) -> None:
    async def main() -> None:
        async with (
            FakeHost(behaviour, seed=7) as partner,
            ClientHarness({"h": partner.address}, **settings) as harness,
        ):
            await scenario(partner, harness)

    asyncio.run(main())


def test_idle_limit_is_learned_from_silently_dropped_connections() -> None:
    """Idle connections are dropped without a close, so each request on one may have run."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        timeout_count = 0
        for i in range(14):
            result = await harness.send(f"m{i}", timeout=0.7, is_at_most_once=True)
            assert result.status in (AttemptStatus.OK, AttemptStatus.TIMEOUT)
            timeout_count += result.status is AttemptStatus.TIMEOUT
            assert partner.executions[f"m{i}"] == (result.status is AttemptStatus.OK)
            await asyncio.sleep(0.3)
        assert 3 <= timeout_count <= 4  # then idle connections are closed earlier
        assert all(count == 1 for count in partner.executions.values())

    run(Behaviour(silent_after_s=(0.15, 0.28)), scenario, min_resets=3)


def test_idle_limit_is_learned_from_resets_at_random_ages() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        results = []
        for i in range(16):
            results.append((await harness.send(f"m{i}", is_at_most_once=True)).status)
            await asyncio.sleep(0.3)
        assert AttemptStatus.CONNECTION_LOST in results
        assert set(results[-6:]) == {AttemptStatus.OK}

    run(Behaviour(reset_after_s=(0.15, 0.28)), scenario, min_resets=3)


def test_half_closed_connection_is_not_reused() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        for i in range(6):
            assert (await harness.send(f"m{i}", is_at_most_once=True)).status is AttemptStatus.OK
        assert partner.accepted_count == 6

    run(Behaviour(lambda call: ResponsePlan(half_closes=True)), scenario)


def test_calls_to_silent_host_time_out_and_close_their_connections() -> None:
    """The connection closes at the timeout; otherwise a retry would run beside the first copy."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        results = await asyncio.gather(
            *(harness.send(f"m{i}", timeout=0.2, is_at_most_once=True) for i in range(5))
        )
        assert {result.status for result in results} == {AttemptStatus.TIMEOUT}
        await partner.wait_until(lambda: not partner.connections)

    run(Behaviour(lambda call: ResponsePlan(status=0)), scenario)


def test_calls_to_host_with_learned_capacity_wait_for_its_connections() -> None:
    """The host resets all further connections; once that is learned, calls wait for the ones it accepts."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        waves = []
        for wave in range(6):
            names = [f"w{wave}m{i}" for i in range(8)]
            results = await asyncio.gather(*(harness.send(name) for name in names))
            waves.append([result.status for result in results])
        assert waves[0].count(AttemptStatus.OK) >= 2
        assert set(waves[0]) - {AttemptStatus.OK} <= {
            AttemptStatus.CONNECTION_LOST,
            AttemptStatus.CONNECT_FAILED,
        }
        assert len(set(waves[0])) > 1
        assert set(waves[-1]) == {AttemptStatus.OK}
        assert harness.client.driver.pool.hosts["h"].capacity.limit in (2, 3)

    run(
        Behaviour(lambda call: ResponsePlan(delay_s=0.01), max_connections=2),
        scenario,
        is_capacity_learned=True,
    )


def test_call_to_host_with_full_listen_queue_fails_to_connect() -> None:
    """A call without a connection cannot have run."""

    async def main() -> None:
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        pending_sockets = []
        for _ in range(4):  # none is accepted, so the queue is full
            pending_socket = socket.socket()
            pending_socket.setblocking(False)
            pending_socket.connect_ex(listener.getsockname())
            pending_sockets.append(pending_socket)
        async with ClientHarness({"h": listener.getsockname()}) as harness:
            result = await harness.send("m", is_at_most_once=True)
            assert result.status is AttemptStatus.CONNECT_FAILED
            assert not harness.attempted
        for each in (*pending_sockets, listener):
            each.close()

    asyncio.run(main())


def test_reset_during_request_is_connect_failure_until_last_byte() -> None:
    """After the last byte the message may have run and its class decides on a retry; before, it has not."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        small = await harness.send("small", is_at_most_once=True)
        assert small.status is AttemptStatus.CONNECTION_LOST
        big = await harness.send("big", is_at_most_once=True, body=bytes(64 << 20))
        assert big.status is AttemptStatus.CONNECT_FAILED
        assert not partner.executions

    run(Behaviour(first_byte_reset_probability=1.0), scenario)


def test_connection_closed_before_first_byte_is_replaced() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        for i in range(10):
            assert (await harness.send(f"m{i}", is_at_most_once=True)).status is AttemptStatus.OK
            await asyncio.sleep(0.02)
            for connection in list(partner.connections.values()):
                connection.abort()
            # The next call starts while the close is in transit, or received and not read yet.
        assert partner.accepted_count == 10
        assert set(partner.executions.values()) == {1}

    run(Behaviour(), scenario)


def test_address_change_during_calls_affects_new_calls_only() -> None:
    async def scenario(old: FakeHost, harness: ClientHarness) -> None:
        async with FakeHost() as new:
            in_progress = [harness.send(f"old{i}") for i in range(3)]
            await old.wait_until(lambda: len(old.calls) == 3)
            harness.client.add_host("h", new.address, 1)
            assert (await harness.send("new0")).status is AttemptStatus.OK
            # Calls in progress end on their old connections.
            assert {(await result).status for result in in_progress} == {AttemptStatus.OK}
            assert [(await harness.send(f"new{i}")).status for i in (1, 2)] == [AttemptStatus.OK] * 2
            assert new.message_ids == ["new0", "new1", "new2"]
            assert len(old.message_ids) == 3
            await old.wait_until(lambda: not old.connections)

    run(Behaviour(lambda call: ResponsePlan(delay_s=0.1)), scenario)


def test_drain_during_connect_ends_call_as_stale() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        pending = harness.send("m")
        harness.client.drain_host("h")
        result = await pending
        assert result.status is AttemptStatus.NOT_SENT
        assert result.is_stale
        await partner.wait_until(lambda: not partner.connections)
        assert not partner.calls
        assert not harness.attempted

    run(Behaviour(), scenario)


def test_prewarming_stops_after_outage_until_host_is_healthy() -> None:
    """Prewarming stops with the outage and resumes only after calls have succeeded for long enough."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        for i in range(40):
            await asyncio.gather(harness.send(f"a{i}"), harness.send(f"b{i}"))
        await partner.wait_until(lambda: len(partner.connections) > 2)  # some are prewarmed
        assert partner.server is not None
        port = partner.address[1]
        partner.server.close()
        for connection in list(partner.connections.values()):
            connection.abort()
        await partner.wait_until(lambda: not partner.connections)
        results = await asyncio.gather(*(harness.send(f"down{i}") for i in range(10)))
        assert {result.status for result in results} <= {
            AttemptStatus.CONNECT_FAILED,
            AttemptStatus.CONNECTION_LOST,
        }
        accepted = partner.accepted_count
        await partner.__aenter__(port)
        for i in range(20):
            assert (await harness.send(f"back{i}")).status is AttemptStatus.OK
            healthy_since = harness.client.driver.pool.hosts["h"].destination.healthy_since
            if healthy_since is not None and harness.client.driver.now_us() - healthy_since < 100_000:
                assert partner.accepted_count - accepted == 1
            else:
                assert i  # after the first call the host has been healthy for less than that

    run(
        Behaviour(lambda call: ResponsePlan(delay_s=0.005)),
        scenario,
        max_prewarmed=6,
        warm_up_after=100_000,
        reuse_delay=0,
    )


def test_host_removal_fails_waiting_call_and_completes_call_in_progress() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        first, second = harness.send("m1"), harness.send("m2")
        await partner.wait_until(lambda: partner.message_ids == ["m1"])
        harness.client.remove_host("h")
        assert (await second).status is AttemptStatus.CONNECT_FAILED
        assert (await first).status is AttemptStatus.OK

    run(Behaviour(lambda call: ResponsePlan(delay_s=0.1)), scenario, max_per_host=1)


def test_call_timing_out_at_host_limit_is_not_sent() -> None:
    """The wait is no evidence against the host, so the status is not CONNECT_FAILED."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        first = harness.send("m1")
        await partner.wait_until(lambda: partner.message_ids == ["m1"])
        assert (await harness.send("m2", timeout=0.05)).status is AttemptStatus.NOT_SENT
        assert (await first).status is AttemptStatus.OK

    run(Behaviour(lambda call: ResponsePlan(delay_s=0.3)), scenario, max_per_host=1)


def test_lease_for_timed_out_call_is_returned_to_pool() -> None:
    """The future of the call was cancelled, but its task had not run since.

    Otherwise the connection stays leased, and no other call can use it.
    """

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        client = harness.client
        call = client.driver.waiting[99] = HostCall(99, "h", [], CallOptions(1.0, False, False, None), 0.0)
        call.lease = asyncio.get_running_loop().create_future()
        call.lease.cancel()
        client.driver.execute(client.driver.pool.acquire(99, "h", False, None, client.driver.now_us()))
        assert (await harness.send("m")).status is AttemptStatus.OK
        host_pool = client.driver.pool.hosts["h"]
        assert host_pool.busy == 0
        assert host_pool.established == partner.accepted_count
        assert not client.driver.waiting

    run(Behaviour(), scenario)


def test_fast_rejection_applies_retry_after_without_hold(monkeypatch: pytest.MonkeyPatch) -> None:
    """Rejections are faster than any delivery; if one were held, other calls would ignore its Retry-After."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        for i in range(36):
            await harness.send(f"plain{i}")
        factor_uses: list[float] = []
        monkeypatch.setattr(host_client, "HOLD_FACTOR", FactorSpy(factor_uses))
        result = await harness.send("order", is_at_most_once=True)
        assert result.status is AttemptStatus.REJECTED
        assert result.retry_after == 70_000
        assert not factor_uses
        assert harness.retry_after_received.is_set()
        harness.blocked_until.clear()
        assert (await harness.send("quick", is_at_most_once=True)).status is AttemptStatus.OK
        assert factor_uses  # a delivery that fast is held

    class FactorSpy(int):
        """Hold factor that records its use in computing how long a response is held."""

        def __new__(cls, used_with: list[float]) -> FactorSpy:
            spy = super().__new__(cls, 4)
            spy.used_with = used_with
            return spy

        used_with: list[float]

        def __mul__(self, other: float) -> int:
            self.used_with.append(other)
            return 0

    def script(call: Call) -> ResponsePlan:
        if call.message_ids == ["order"]:
            return ResponsePlan(429, retry_after_ms=70)
        return ResponsePlan(delay_s=0.0 if call.message_ids == ["quick"] else 0.03)

    run(Behaviour(script), scenario, at_most_once_reuse_delay=0)


def test_descriptor_shortage_limits_connections_and_fails_no_call(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The pool uses fewer connections, each call is delivered, and the shortage is logged once."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        original_open = Connection.open
        connecting = 0

        async def open_with_shortage(address: Address, timeout: float) -> Connection:
            nonlocal connecting
            if len(harness.client.driver.connections) + connecting >= 4:
                raise OSError(errno.EMFILE, "Too many open files")
            connecting += 1
            try:
                return await original_open(address, timeout)
            finally:
                connecting -= 1

        monkeypatch.setattr(Connection, "open", open_with_shortage)
        results = await asyncio.gather(*(harness.send(f"m{i}") for i in range(40)))
        assert {result.status for result in results} == {AttemptStatus.OK}
        assert set(partner.executions.values()) == {1}
        assert len(partner.executions) == 40

    run(Behaviour(lambda call: ResponsePlan(delay_s=0.01)), scenario)
    assert len([line for line in caplog.messages if "out of descriptors" in line]) == 1


def test_mixed_connection_failures_run_no_message_twice() -> None:
    """Each message is retried only after proof that it has not run, as an at-most-once message is.

    No message runs twice, and none is reported as run that has not run. Seeds are fixed.
    """

    async def main() -> None:
        addresses = {}
        partners = []
        behaviours = [
            Behaviour(),
            Behaviour(reset_after_s=(0.05, 0.3)),
            Behaviour(first_byte_reset_probability=0.1),
            Behaviour(max_connections=3),
            Behaviour(lambda call: ResponsePlan(503 if call.request_index % 3 == 2 else 200, delay_s=0.002)),
            Behaviour(lambda call: ResponsePlan(half_closes=call.request_index % 4 == 3)),
            Behaviour(lambda call: ResponsePlan(resets=call.request_index % 7 == 6)),
        ]
        for n, behaviour in enumerate(behaviours):
            partner = FakeHost(behaviour, seed=n)
            await partner.__aenter__()
            partners.append(partner)
            addresses[f"h{n}"] = partner.address
        statuses: dict[str, AttemptStatus] = {}
        async with ClientHarness(
            addresses, is_capacity_learned=True, connect_backoff=1000, max_per_host=5
        ) as harness:

            async def client(n: int) -> None:
                for i in range(20):
                    name, host = f"c{n}m{i}", f"h{(n + i) % len(addresses)}"
                    for attempt in range(12):
                        harness.results.pop(name, None)
                        result = await harness.send(name, host=host, is_at_most_once=True, timeout=2.0)
                        statuses[name] = result.status
                        if result.status not in NOT_RUN_STATUSES:
                            break
                        await asyncio.sleep(0.001 * attempt)

            await asyncio.gather(*(client(n) for n in range(50)))
        effects = {name: count for partner in partners for name, count in partner.executions.items()}
        assert len(statuses) == 1000
        assert set(effects.values()) == {1}
        assert all(effects.get(name) for name, result in statuses.items() if result is AttemptStatus.OK)
        assert not any(effects.get(name) for name, result in statuses.items() if result in NOT_RUN_STATUSES)
        assert sum(result is AttemptStatus.OK for result in statuses.values()) > 800
        for partner in partners:
            await partner.__aexit__()

    asyncio.run(main())
