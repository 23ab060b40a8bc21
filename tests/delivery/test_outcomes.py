"""Outcomes of calls to hosts, and whether a message is delivered, retried or failed after each."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import math
import signal
import time
from pathlib import Path

import pytest

from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
    undeliverable_report,
)


@pytest.mark.parametrize(
    "response", [None, b"HTTP/1.1 2", b"\0noise\r\n\r\n", format_response(500), format_response(418)]
)
def test_attempt_that_may_have_run_is_retried_only_if_safe(tmp_path: Path, response: bytes | None) -> None:
    """After no response, half a line, noise or an error, only an idempotent message is retried."""

    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            if host.request_ids.count("safe") > 1:
                return format_response(200)
            return response

        host = await world.start_host(script)
        await world.start()
        await world.warm_up(host)
        assert await world.submit("once", "order") == 202
        if response == b"HTTP/1.1 2":
            await world.wait_until(lambda: host.request_ids == ["once"])
            host.close_connections()
        await world.wait_until(lambda: world.status_reports == [undeliverable_report("once")])
        assert await world.submit("safe") == 202
        if response == b"HTTP/1.1 2":
            await world.wait_until(lambda: host.request_ids == ["once", "safe"])
            host.close_connections()
        await world.wait_until(lambda: host.request_ids == ["once", "safe", "safe"])

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nConte",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nCont",
    ],
)
def test_status_line_with_200_delivers_message_if_rest_is_invalid(tmp_path: Path, response: bytes) -> None:
    """The rest may be truncated or invalid; a retry would run the message twice."""

    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return response if request.id == "half" else format_response(200)

        host = await world.start_host(script)
        await world.start()
        assert await world.submit("half", "order") == 202
        await world.wait_until(lambda: host.request_ids == ["half"])
        host.close_connections()
        assert await world.submit("next", "order") == 202  # same ordering key: sent once the first is final
        await world.wait_until(lambda: host.request_ids == ["half", "next"])
        assert not world.status_reports

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nX: never ends",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + bytes(99_000),
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 500 OK\r\nX: never ends",
        b"noise with no line end",
    ],
)
def test_invalid_response_ends_call_before_timeout(tmp_path: Path, response: bytes) -> None:
    """The connection stays open and silent; waiting would hold the call slot until the timeout."""

    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return response if request.id == "m1" else format_response(200)

        host = await world.start_host(script)
        await world.start()
        await world.warm_up(host)
        assert await world.submit("m1", "order", Request_Timeout_Ms="24000") == 202
        await world.wait_until(
            lambda: bool(host.requests) and host.requests[0].connection in host.closed_connections
        )
        assert await world.submit("m2", "order") == 202  # same ordering key
        await world.wait_until(lambda: host.request_ids == ["m1", "m2"])
        assert world.status_reports == ([] if b" 200 " in response else [undeliverable_report("m1")])
        assert host.requests[1].connection != host.requests[0].connection

    run_scenario(scenario, tmp_path)


def test_duplicate_response_completes_no_other_message(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            if request.id == "m1":
                return b"HTTP/1.1 100 Continue\r\n\r\n" + 2 * format_response(200, Server_Load="x0=\xa7,=")
            return format_response(500)

        host = await world.start_host(script)
        await world.start()
        await world.warm_up(host)
        for name in ("m1", "m2"):
            assert await world.submit(name, "order") == 202
        await world.wait_until(lambda: world.status_reports == [undeliverable_report("m2")])
        assert host.request_ids == ["m1", "m2"]

    run_scenario(scenario, tmp_path)


def test_host_with_new_address_is_not_called_at_old_address(tmp_path: Path) -> None:
    """The id is listed with another address during a call: the old connection leads to another host."""

    async def scenario(world: RelayHarness) -> None:
        released = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            await released.wait()
            return format_response(200)

        old = await world.start_host(respond_ok)
        await world.start()
        await world.warm_up(old)
        old.handler = script
        assert await world.submit("m1") == 202
        await world.wait_until(lambda: old.request_ids == ["m1"])
        new = await world.start_server(respond_ok)
        world.endpoints[0]["host_port"] = new.address
        world.add_endpoint(2, "plain", "Ready", new.address)  # shows that the list was received
        await world.submit_once_listed("seen", 2)
        released.set()
        await world.wait_until(lambda: old.response_count == 21)
        assert await world.submit("m2") == 202
        await world.wait_until(lambda: new.request_ids[-1:] == ["m2"])
        assert old.request_ids == ["m1"]

    run_scenario(scenario, tmp_path)


def test_refused_connection_is_retried_for_at_most_once_message(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        await world.warm_up(host)
        assert host.server is not None
        host.server.close()
        host.close_connections()
        await world.wait_until(lambda: len(host.closed_connections) == len(host.connections))
        port = int(world.endpoints[0]["host_port"].partition(":")[2])
        assert await world.submit("m", "order") == 202
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not any(b"NO_CONNECTION" in f.read_bytes() for f in (tmp_path / "state").iterdir()):
                await asyncio.sleep(0.01)
        await host.start(port)
        await world.wait_until(lambda: host.request_ids == ["m"])
        assert not world.status_reports

    run_scenario(scenario, tmp_path)


def test_rejected_message_is_retried_after_retry_after(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        times: list[float] = []

        async def script(request: Request) -> bytes | None:
            times.append(asyncio.get_running_loop().time())
            return format_response(429, X_Come_Back_Ms="700") if len(times) == 1 else format_response(200)

        await world.start_host(script)
        await world.start()
        assert await world.submit("m", "order") == 202
        await world.wait_until(lambda: len(times) == 2)
        assert times[1] - times[0] >= 0.7

    run_scenario(scenario, tmp_path)


def test_call_to_silent_host_times_out_and_closes_connection(tmp_path: Path) -> None:
    """A call that timed out must not stay open, or the host would run it beside a second copy."""

    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes | None:
            return await never_respond(request) if len(host.requests) == 1 else format_response(200)

        host = await world.start_host(script)
        await world.start()
        await world.warm_up(host)
        assert await world.submit("m", Request_Timeout_Ms="9000") == 202
        await world.wait_until(lambda: host.request_ids == ["m", "m"])
        assert host.requests[0].connection in host.closed_connections

    run_scenario(scenario, tmp_path)


def test_calls_cut_off_by_deadlines_do_not_disable_destination(tmp_path: Path) -> None:
    """Calls that were cut off by deadlines after 0.3 s were once counted as failures of the host."""

    async def scenario(world: RelayHarness) -> None:
        async def script(request: Request) -> bytes:
            return await (never_respond if request.id.startswith("short") else respond_ok)(request)

        host = await world.start_host(script)
        await world.start()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for i in itertools.count():
                if len(host.requests) >= 5:
                    break
                before = len(world.status_reports)
                status = await world.submit(f"short{i}", Request_Timeout_Ms="300")
                if status == 202:  # on a busy machine the deadline may pass before admission
                    await world.wait_until(lambda n=before: len(world.status_reports) > n)  # type: ignore[misc]
                else:
                    assert status in (500, 503)
        assert await world.submit("next") == 202
        await world.wait_until(lambda: host.response_count == 1)
        assert not any("failing" in line for line in world.log)

    run_scenario(scenario, tmp_path)


def test_connection_closed_by_host_while_idle_loses_no_message(tmp_path: Path) -> None:
    """A request written to a connection that the host has closed ends with a reset, and may have run."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        for i in range(8):
            assert await world.submit(f"m{i}", "order") == 202
            await world.wait_until(lambda n=i + 1: len(host.requests) == n)  # type: ignore[misc]
            host.close_connections()
            await world.wait_until(lambda n=i + 1: len(host.closed_connections) == n)  # type: ignore[misc]
        assert not world.status_reports
        assert len(host.connections) == 8

    run_scenario(scenario, tmp_path)


def test_at_most_once_messages_avoid_idle_connections_that_are_reset(tmp_path: Path) -> None:
    """The host resets idle connections on the next request; idempotent messages reveal the idle limit."""

    async def scenario(world: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        answered: dict[int, float] = {}

        async def script(request: Request) -> bytes | None:
            if loop.time() - answered.get(request.connection, math.inf) > 0.1:
                return None
            answered[request.connection] = loop.time()
            return format_response(200)

        host = await world.start_host(script)
        await world.start()
        await world.warm_up(host)
        for i in range(8):
            done = host.response_count
            assert await world.submit(f"m{i}") == 202
            await world.wait_until(lambda n=done: host.response_count > n)  # type: ignore[misc]
            await asyncio.sleep(0.15)  # idle time of the connection
        assert len(host.requests) > 8 + 2  # some were retried
        for i in range(4):
            assert await world.submit(f"o{i}", "order", path=f"/order/{i}") == 202
            await world.wait_until(lambda n=i: f"o{n}" in host.request_ids)  # type: ignore[misc]
            await asyncio.sleep(0.6)
        assert await world.submit("last", "order") == 202
        await world.wait_until(lambda: "last" in host.request_ids)
        assert not world.status_reports
        assert not any("failing" in line for line in world.log)

    run_scenario(scenario, tmp_path)


def test_batch_call_ends_as_a_whole_at_first_deadline(tmp_path: Path) -> None:
    """Guards against reporting the first message while the call goes on for the others.

    The platform then ignored the deliveries in the response to that call. The connection must be closed
    before the final status is reported.
    """

    async def scenario(world: RelayHarness) -> None:
        async def phase(name: str) -> None:
            world.endpoints[0]["phase"] = name
            world.revision += 1
            world.notify_changed()
            await world.wait_until(
                lambda: any(f"index={world.revision}&" in r.target for r in world.discovery.requests)
            )

        async def script(request: Request) -> bytes:
            if b"urgent" in request.body:
                connections.append(request.connection)
                return await never_respond(request)
            rows = [{"id": row["id"], "state": "delivered"} for row in json.loads(request.body)]
            return format_response(200, json.dumps(rows).encode())

        async def receive_notice(request: Request) -> bytes:
            await world.wait_until(lambda: set(connections) <= set(host.closed_connections))
            return b""

        connections: list[int] = []
        host = await world.start_host(script, flavor="bulk")
        world.report_handler = receive_notice
        await world.start()
        assert await world.submit("warm") == 202
        await world.wait_until(lambda: host.response_count == 1)
        await phase("Terminating")  # so that both messages wait and are sent together
        assert await world.submit("patient", "order", path="/order/a") == 202
        assert await world.submit("urgent", "order", path="/order/b", Request_Timeout_Ms="2000") == 202
        assert await world.submit("behind", "order", path="/order/b") == 202
        await phase("Ready")
        await world.wait_until(lambda: host.response_count == 2)
        sent = [{row["id"] for row in json.loads(request.body)} for request in host.requests]
        assert sent == [{"warm"}, {"patient", "urgent"}, {"behind"}]
        await world.wait_until(lambda: len(world.status_reports) == 2)
        assert sorted(world.status_reports, key=lambda n: n["id"]) == [
            undeliverable_report("patient"),
            undeliverable_report("urgent"),
        ]

    run_scenario(scenario, tmp_path, safety={"ask_every": 10_000_000, "settle_after_doubt": 1})


@pytest.mark.parametrize(
    "rows_json",
    [
        b"not JSON",
        b"{}",
        b"[]",
        b'["x"]',
        b'[{"id":"b1","state":"odd"},{"id":"b2","state":7}]',
        b'[{"id":"b1","state":"failed"},{"id":"b2","state":"failed"}]',
        b'[{"id":"b1","state":"delivered"}]',
        b'[{"id":"b1","state":"delivered"},{"id":"b2","state":"delivered"},{"id":"b1","state":"delivered"}]',
        b'[{"id":"b1","state":"delivered"},{"id":"b2","state":"delivered"},{"id":"b3","state":"delivered"}]',
        b'[{"id":"b1","state":"delivered"},{"id":"b2","state":"delivered"},',
    ],
)
def test_invalid_batch_response_fails_all_messages(tmp_path: Path, rows_json: bytes) -> None:
    """An invalid batch response is ignored as a whole, so all its messages may have run."""

    async def scenario(world: RelayHarness) -> None:
        world.add_unavailable_destination(flavor="bulk")
        await world.start()
        for name in ("b1", "b2"):  # no host is active, so both messages wait and are sent together
            assert await world.submit(name, "order", path=f"/order/{name}") == 202

        async def script(request: Request) -> bytes | None:
            return format_response(200, rows_json)

        host = await world.start_host(script, flavor="bulk")
        await world.wait_until(lambda: sorted(n["id"] for n in world.status_reports) == ["b1", "b2"])
        assert {n["status"] for n in world.status_reports} == {"undeliverable"}
        assert all(r.target == "/v1/messages:batch" for r in host.requests)
        rows = [row for r in host.requests for row in json.loads(r.body)]
        assert sorted(row["id"] for row in rows) == ["b1", "b2"]
        assert base64.b64decode(rows[0]["body"]) == b"hello"

    run_scenario(scenario, tmp_path)


def test_batch_response_gives_each_message_its_own_result(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        world.add_unavailable_destination(flavor="bulk")
        await world.start()
        names = ["b1", "b2", "b3", "b4"]
        for name in names:
            assert await world.submit(name, "order", path=f"/order/{name}") == 202

        async def script(request: Request) -> bytes | None:
            rows = [row["id"] for row in json.loads(request.body)]
            states = {"b1": "delivered", "b2": "failed", "b3": "over", "b4": "refused"}
            if len(host.requests) > 1:
                states["b4"] = "delivered"
            return format_response(200, json.dumps([{"id": r, "state": states[r]} for r in rows]).encode())

        host = await world.start_host(script, flavor="bulk")
        await world.wait_until(lambda: len(host.requests) == 2 and bool(world.status_reports))
        assert [row["id"] for row in json.loads(host.requests[0].body)] == names
        assert [row["id"] for row in json.loads(host.requests[1].body)] == ["b4"]
        # The relay also reports the message that expired at the host.
        assert world.status_reports == [undeliverable_report("b2"), undeliverable_report("b3")]

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("is_batch", [False, True])
def test_message_expired_by_host_still_gets_final_status(tmp_path: Path, is_batch: bool) -> None:
    """The host responds with 410 or a row 'over', because its clock is slightly ahead of the relay's.

    Guards against incident r1ecba7 (19 messages of one batch): the final status was not reported, so the
    message was lost, and the next message of its ordering key was sent before it was final.
    """

    async def scenario(world: RelayHarness) -> None:
        notice_allowed = asyncio.Event()

        async def script(request: Request) -> bytes | None:
            if not is_batch:
                return format_response(410 if request.id == "m1" else 200)
            names = [row["id"] for row in json.loads(request.body)]
            rows = [{"id": n, "state": "over" if n == "m1" else "delivered"} for n in names]
            return format_response(200, json.dumps(rows).encode())

        async def receive_notice(request: Request) -> bytes | None:
            await notice_allowed.wait()
            return b""

        host = await world.start_host(script, flavor="bulk" if is_batch else "plain")
        world.report_handler = receive_notice
        await world.start()
        assert await world.submit("m1", "order") == 202
        assert await world.submit("m2", "order") == 202  # same ordering key
        await world.wait_until(lambda: host.response_count == 1)
        assert await world.submit("other") == 202
        await world.wait_until(lambda: host.response_count == 2)
        assert not any(b"m2" in request.body or request.id == "m2" for request in host.requests)
        notice_allowed.set()
        await world.wait_until(lambda: host.response_count == 3)
        assert world.status_reports == [undeliverable_report("m1")]
        assert b"m2" in host.requests[-1].body or host.requests[-1].id == "m2"

    run_scenario(scenario, tmp_path)


def test_response_right_after_deadline_is_reported_as_failure(tmp_path: Path) -> None:
    """The response arrives right after the deadline, while the event loop of the relay is briefly late.

    The platform ignores such a response, so the relay must report the failure.
    """

    async def scenario(world: RelayHarness) -> None:
        loop = asyncio.get_running_loop()
        wall_offset = loop.time() - time.time()
        deadlines: dict[str, float] = {}
        answered: dict[str, float] = {}

        async def script(request: Request) -> bytes | None:
            if request.id in deadlines:
                await asyncio.sleep(max(0.0, deadlines[request.id] + 0.005 - loop.time()))
                answered[request.id] = loop.time()
            return format_response(200)

        host = await world.start_host(script)
        await world.start()
        assert world.process is not None
        await world.warm_up(host)
        completed_rounds = 0
        for i in range(200):
            name = f"m{i}"
            deadlines[name] = loop.time() + 0.5
            assert await world.submit(name, Request_Timeout_Ms="500") == 202
            await world.wait_until(lambda n=name: n in host.request_ids)  # type: ignore[misc]
            await asyncio.sleep(max(0.0, deadlines[name] - 0.045 - loop.time()))
            world.process.send_signal(signal.SIGSTOP)
            stopped_at = loop.time()
            await asyncio.sleep(max(0.0, deadlines[name] + 0.02 - loop.time()))
            world.process.send_signal(signal.SIGCONT)
            continued_at = loop.time()
            # As measured in this process.
            is_stopped_early = stopped_at < deadlines[name] - 0.03
            is_continued_soon = continued_at < deadlines[name] + 0.1
            is_answered_in_stop = deadlines[name] + 0.004 < answered.get(name, 0.0) < continued_at
            if is_stopped_early and is_continued_soon and is_answered_in_stop:
                await world.wait_until(lambda n=name: n in world.reported_at)  # type: ignore[misc]
                assert world.reported_at[name] + wall_offset < deadlines[name] + 0.35
                completed_rounds += 1
            if completed_rounds == 3:
                return
        raise AssertionError("fewer than 3 of 200 rounds kept the required timing in this process")

    run_scenario(scenario, tmp_path)
