"""A Retry-After received between the decision for a call and its last byte withdraws the call.

Runs over loopback sockets.
"""

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
from tests.delivery.host_client_fixture import ClientHarness
from tests.standins.fake_host import Behaviour, Call, FakeHost, ResponsePlan

TEST_TIMEOUT_S = 60  # seconds after which a test that waits has failed
RETRY_AFTER_MS = 3_600_000  # longer than any test, however busy the machine


def reject_full(call: Call) -> ResponsePlan:
    """Rejects messages whose id begins with "full", with a Retry-After."""
    return (
        ResponsePlan(429, retry_after_ms=RETRY_AFTER_MS)
        if call.message_ids[0].startswith("full")
        else ResponsePlan()
    )


def run(
    scenario: Callable[[FakeHost, ClientHarness], Awaitable[None]], do: Any = reject_full, **settings: Any
) -> None:
    async def main() -> None:
        async with FakeHost(Behaviour(do)) as partner:
            addresses = {"h": partner.address, "g": partner.address}
            async with ClientHarness(addresses, **settings) as harness:
                await scenario(partner, harness)

    asyncio.run(main())


def status_and_blocked(result: AttemptResult) -> tuple[AttemptStatus, bool]:
    return result.status, result.is_blocked


BLOCKED = (AttemptStatus.NOT_SENT, True)


class ConnectGate:
    """Delays each connect until a permit is released."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.permits = asyncio.Semaphore(0)
        self.requests = 0
        original_open = Connection.open

        async def open_when_permitted(address: Address, timeout: float) -> Connection:
            self.requests += 1
            await self.permits.acquire()
            return await original_open(address, timeout)

        monkeypatch.setattr(Connection, "open", open_when_permitted)


@pytest.mark.parametrize("host", ["h", "g"])
@pytest.mark.parametrize("is_shared", [True, False])
def test_retry_after_blocks_call_that_waits_for_connect(
    monkeypatch: pytest.MonkeyPatch, host: str, is_shared: bool
) -> None:
    """The call is blocked if its host shares the Retry-After of the host that sent it, else sent."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        harness.is_retry_after_shared = is_shared
        gate = ConnectGate(monkeypatch)
        gate.permits.release()
        first = harness.send("full")
        while not partner.calls:  # its connection is open and carries it
            await asyncio.sleep(0)
        result = harness.send("m", host=host)
        while gate.requests < 2:
            await asyncio.sleep(0)
        assert status_and_blocked(await first) == (AttemptStatus.REJECTED, False)
        gate.permits.release()
        if is_shared or host == "h":
            assert status_and_blocked(await result) == BLOCKED
            assert partner.message_ids == ["full"]
            assert harness.attempted == ["full"]
        else:
            assert status_and_blocked(await result) == (AttemptStatus.OK, False)

    run(
        scenario,
        lambda call: (
            ResponsePlan(429, retry_after_ms=RETRY_AFTER_MS, delay_s=0.1)
            if call.ids == ["full"]
            else ResponsePlan()
        ),
    )


def test_retry_after_blocks_calls_that_wait_at_host_limit() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        first, second, third = harness.send("full"), harness.send("m"), harness.send("n")
        assert (await first).status is AttemptStatus.REJECTED
        assert status_and_blocked(await second) == BLOCKED
        assert status_and_blocked(await third) == BLOCKED
        assert partner.message_ids == ["full"]
        harness.blocked_until.clear()
        assert (await harness.send("o")).status is AttemptStatus.OK
        assert partner.accepted_count == 1

    run(scenario, max_per_host=1)


@pytest.mark.parametrize("reason", ["blocked", "host removed"])
def test_withdrawn_call_gets_no_result_from_failed_lease(
    monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    """Before a handover, a message that was withdrawn must not get a result as well."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        gate = ConnectGate(monkeypatch)
        result = harness.send("m")
        while not gate.requests:
            await asyncio.sleep(0)
        (task,) = harness.client.calls
        if reason == "blocked":
            harness.apply_retry_after("g", RETRY_AFTER_MS * 1000)
        else:
            harness.client.remove_host("h")
        assert [message.id for message, _ in harness.client.withdraw_unsent_calls()] == ["m"]
        await asyncio.wait([task])
        assert not result.done()

    run(scenario)


def test_retry_after_blocks_call_during_reuse_delay() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        assert (await harness.send("a")).status is AttemptStatus.OK
        result = harness.send("m")
        # Until the call holds its connection, which is in the reuse delay.
        while harness.client.driver.waiting or not harness.client.calls:
            await asyncio.sleep(0)
        assert (await harness.send("full", host="g")).status is AttemptStatus.REJECTED
        assert status_and_blocked(await result) == BLOCKED
        assert partner.message_ids == ["a", "full"]

    run(scenario, reuse_delay=300_000, max_reuse_delay=300_000, max_per_host=1)


def test_retry_after_blocks_call_while_attempt_is_recorded() -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        def on_attempt(message: Message, host: str) -> None:
            harness.apply_retry_after("g", RETRY_AFTER_MS * 1000)

        harness.client.on_attempt = on_attempt
        assert status_and_blocked(await harness.send("m")) == BLOCKED
        assert not partner.calls

    run(scenario)


def test_retry_after_blocks_call_that_changes_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        assert (await harness.send("a")).status is AttemptStatus.OK
        # The connection is closed between the check and the first byte.
        is_usable, results = Connection.is_usable, [True, False]

        def check_usable(connection: Connection) -> bool:
            usable = results.pop(0) if results else is_usable(connection)
            if not usable:
                harness.apply_retry_after("g", RETRY_AFTER_MS * 1000)
            return usable

        monkeypatch.setattr(Connection, "is_usable", check_usable)
        assert status_and_blocked(await harness.send("m")) == BLOCKED
        assert partner.message_ids == ["a"]

    run(scenario)


@pytest.mark.parametrize("is_blocked", [True, False])
def test_retry_after_withdraws_request_before_last_byte(is_blocked: bool) -> None:
    """A host cannot have run a call that it has not received completely: the rest is not sent."""

    async def main() -> None:
        body, received = b"x" * (32 << 20), bytearray()
        first_bytes_received, may_read, ended = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.extend(await reader.read(100))
            first_bytes_received.set()
            await may_read.wait()
            while len(received) < len(body) and (data := await reader.read(1 << 20)):
                received.extend(data)
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            ended.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with ClientHarness({"h": server.sockets[0].getsockname()[:2]}) as harness:
            result = harness.send("m", body=body, timeout=30.0)
            await first_bytes_received.wait()
            if is_blocked:
                harness.apply_retry_after("h", RETRY_AFTER_MS * 1000)
            may_read.set()
            assert status_and_blocked(await result) == (BLOCKED if is_blocked else (AttemptStatus.OK, False))
            await ended.wait()
            assert (len(received) < len(body)) is is_blocked
            assert not harness.client.driver.pool.table.connections or not is_blocked
        server.close()

    asyncio.run(main())


RESPONSE_ENDS = {
    "complete": b"Content-Length: 0\r\n\r\n",
    "invalid JSON": b"Content-Length: 4\r\n\r\n[{]}",
    "incomplete": b"Content-Length: 9\r\n\r\n[",
    "truncated": b"Transfer-Encoding: chunked\r\n\r\n3\r\n[",
    "invalid chunk": b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    "too long": b"Content-Length: 99999999\r\n\r\n",
}


@pytest.mark.parametrize("status", [200, 429, 500, 503])
@pytest.mark.parametrize("rest", RESPONSE_ENDS)
def test_retry_after_applies_from_headers_whatever_follows(status: int, rest: str) -> None:
    """It applies at once and is part of each result, even if the call times out during the response."""

    async def main() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"]")
            head = f"HTTP/1.1 {status} X\r\nX-Come-Back-Ms: {RETRY_AFTER_MS}\r\n".encode()
            writer.write(head + RESPONSE_ENDS[rest])
            if rest == "truncated":
                writer.write_eof()
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with ClientHarness({"h": server.sockets[0].getsockname()[:2]}) as harness:
            harness.send("a", "b", is_batch=True, timeout=30.0)
            await asyncio.wait_for(harness.retry_after_received.wait(), TEST_TIMEOUT_S)
            assert harness.is_blocked("h")
            assert [(await harness.results[name]).retry_after for name in "ab"] == [RETRY_AFTER_MS * 1000] * 2
        server.close()

    asyncio.run(main())


def test_response_received_before_late_timeout_check_is_processed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A late event loop runs the deadline timer before it reads a response that arrived long ago."""

    async def scenario(partner: FakeHost, harness: ClientHarness) -> None:
        result = harness.send("full", timeout=60.0)
        while not partner.calls:
            await asyncio.sleep(0)
        (call,) = harness.client.calls.values()
        assert call.sent_on is not None
        connection = call.sent_on.connection
        assert connection.transport is not None
        # In the same loop iteration in which the response is written.
        connection._deadline_timer._check(3, connection.transport, connection._deadline_passed)
        assert (await result).retry_after == RETRY_AFTER_MS * 1000
        assert harness.is_blocked("g")

    run(scenario)


@pytest.mark.parametrize(
    ("values", "delay_us"),
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
def test_parse_retry_after_returns_longest_valid_value(values: list[bytes], delay_us: int) -> None:
    assert parse_retry_after([(b"x", b"7"), *((b"x-come-back-ms", value) for value in values)]) == delay_us
