"""Requests of clients: invalid ones are rejected without effect, valid ones are admitted once."""

from __future__ import annotations

import asyncio
import contextlib
import os
from pathlib import Path

import pytest

from tests.standins.harness import (
    SETTINGS,
    TEST_TIMEOUT_S,
    RelayHarness,
    Request,
    format_response,
    format_submission,
    never_respond,
    read_response,
    respond_ok,
    run_scenario,
)


def test_relay_delivers_message_unchanged_over_reused_connection(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        assert await world.submit("m1", body=bytes(range(256))) == 202
        await world.wait_until(lambda: host.request_ids == ["m1"])
        for count in range(2, 8):
            assert await world.submit(f"m{count}") == 202
            await world.wait_until(lambda count=count: len(host.request_ids) == count)  # type: ignore[misc]
        first = host.requests[0]
        assert (first.method, first.target, first.body) == ("POST", "/v1/messages", bytes(range(256)))
        assert int(first.headers["request-timeout-ms"]) > 0
        assert (
            len(host.connections) <= 2
        )  # the first may be closed before the scheduler expects further calls
        assert (await world.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200

    run_scenario(scenario, tmp_path)


CLASSES = [
    *SETTINGS["classes"],
    {
        "name": "alarm",
        "effect": "deduplicated",
        "key_scope": "all",
        "window": 1_000_000,
        "deadline": 24_000_000,
        "on_time": 3_000_000,
        "worth": 2,
    },
]
INVALID_REQUESTS = [
    (format_submission("m", path="/nowhere"), 404),
    (format_submission("m", path="/status/a/b"), 404),
    (format_submission("m", method="PUT"), 405),
    (b"POST /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
    (format_submission("m", Request_Class="order"), 400),
    (format_submission("m", Request_Class=""), 400),
    (format_submission("m", Request_Id=""), 400),
    (format_submission("m", Request_Id="a b"), 400),
    (format_submission("m", Tenant=""), 400),
    (format_submission("m", Tenant="nobody"), 400),
    (format_submission("m", Request_Timeout_Ms="soon"), 400),
    (format_submission("m", Request_Timeout_Ms="-5"), 400),
    (format_submission("m", Request_Timeout_Ms=""), 400),
    (format_submission("m", X_Consignee="dest=x"), 400),
    (format_submission("m", X_Consignee=""), 400),
    (format_submission("m", Content_Length="-1"), 400),
    (format_submission("m", body=b"x" * (64 * 1024 + 1)), 413),
    (format_submission("m", Content_Length="99999999999"), 413),
    (format_submission("m", Content_Length="9" * 5000), 400),
    (format_submission("m", Request_Timeout_Ms="999999999"), 400),
    (format_submission("m", destination=99), 503),  # in no endpoint list
    (format_submission("m", path="/order/" + "k" * 300, Request_Class="order"), 400),
    # Request smuggling and pipelining:
    (
        format_submission("m", Transfer_Encoding="chunked", body=b"0\r\n\r\n" + format_submission("hidden")),
        400,
    ),
    (format_submission("m", request_id="n"), 400),
    (format_submission("m", request_class="status"), 400),
    (format_submission("m", content_length="6"), 400),
    (format_submission("m", request_timeout_ms="20000"), 400),
    (format_submission("m") + format_submission("n"), 400),
    (format_submission("m") + b"noise", 400),
    (format_submission("m", Content_Length="2"), 400),
    (format_submission("m", path="/nowhere") + b"POST /status HT", 400),
    (format_submission("m", Request_Timeout_Ms="0"), 500),  # its deadline has passed
    (b"no HTTP at all\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 70_000, 431),
]


def test_relay_rejects_invalid_request_without_effect(tmp_path: Path) -> None:
    """It gets its error status, submits nothing, and the relay continues to serve."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        for request_bytes, status in INVALID_REQUESTS:
            assert (await world.send(request_bytes))[0] == status, request_bytes[:300]
        assert await world.submit("good", body=b"x" * 64 * 1024) == 202
        await world.wait_until(lambda: host.request_ids == ["good"])

    run_scenario(scenario, tmp_path)


def test_relay_closes_every_connection_after_its_timeout(tmp_path: Path) -> None:
    """Without a request, with a partial one, with an almost complete one, and after a response."""

    async def scenario(world: RelayHarness) -> None:
        await world.start_host(respond_ok)
        await world.start()
        complete = format_submission("good")
        for sent in (b"", b"POST /sta", complete[:-2], complete):
            reader, writer = await asyncio.open_connection(*world.address)
            writer.write(sent)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                response = await reader.read()
            status = 202 if sent == complete else 408
            assert response.startswith(b"HTTP/1.1 %d " % status)
            assert response.count(b"HTTP/1.1") == 1
            writer.close()

    run_scenario(scenario, tmp_path)


def test_relay_pipelined_request_cancels_the_pending_one(tmp_path: Path) -> None:
    """Pipelining is rejected, and no request of that connection is delivered."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        reader, writer = await asyncio.open_connection(*world.address)
        writer.write(b"".join(format_submission(f"m{number}", body=bytes(60_000)) for number in range(40)))
        async with asyncio.timeout(TEST_TIMEOUT_S):
            response = await reader.read()
        assert response.startswith(b"HTTP/1.1 400 ")
        assert response.count(b"HTTP/1.1") == 1
        writer.close()
        assert await world.submit("good") == 202
        await world.wait_until(lambda: host.request_ids == ["good"])

    run_scenario(scenario, tmp_path)


def test_relay_new_connections_without_request_do_not_evict_active_client(tmp_path: Path) -> None:
    """Hundreds of connections at once.

    On a busy machine the client may appear idle for long enough to be evicted; then it is served on a new
    connection, as clients retry.
    """

    async def scenario(world: RelayHarness) -> None:
        world.limits["sockets"] = 100
        host = await world.start_host(respond_ok)
        await world.start()
        reader, writer = await asyncio.open_connection(*world.address)
        silent = []
        for number in range(3):
            try:
                writer.write(format_submission(f"m{number}"))
                response = (await read_response(reader))[0]
            except (ConnectionError, asyncio.IncompleteReadError):
                writer.close()
                reader, writer = await asyncio.open_connection(*world.address)
                writer.write(format_submission(f"m{number}"))
                response = (await read_response(reader))[0]
            assert response.startswith("HTTP/1.1 202")
            silent += await asyncio.gather(*(asyncio.open_connection(*world.address) for _ in range(150)))
        writer.close()
        for silent_reader, silent_writer in silent:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                with contextlib.suppress(ConnectionError):
                    await silent_reader.read()
            silent_writer.close()
        await world.wait_until(lambda: len(host.request_ids) == 3)
        assert not any("accept" in line for line in world.log)  # descriptors were not exhausted

    run_scenario(scenario, tmp_path)


def test_relay_new_client_evicts_longest_idle_connection_and_no_regular_client(tmp_path: Path) -> None:
    """More clients than connections, with one request each, beside a client with several requests."""

    async def scenario(world: RelayHarness) -> None:
        world.limits["sockets"] = 100
        host = await world.start_host(respond_ok)
        await world.start()
        regular_reader, regular = await asyncio.open_connection(*world.address)
        for name in ("r1", "r2"):
            regular.write(format_submission(name))
            assert (await read_response(regular_reader))[0].startswith("HTTP/1.1 202")
        writers = [regular]
        for number in range(60):
            reader, writer = await asyncio.open_connection(*world.address)
            writer.write(format_submission(f"m{number}"))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await read_response(reader))[0].startswith("HTTP/1.1 202")
            writers.append(writer)
        regular.write(format_submission("r3"))
        assert (await read_response(regular_reader))[0].startswith("HTTP/1.1 202")
        await world.wait_until(lambda: len(host.request_ids) == 63)
        for writer in writers:
            writer.close()

    run_scenario(scenario, tmp_path)


def test_relay_does_not_admit_an_id_in_progress_twice(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(never_respond)
        await world.start()
        assert [await world.submit("m"), await world.submit("m")] == [202, 202]
        await world.wait_until(lambda: host.request_ids == ["m"])
        assert not world.status_reports

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("class_name", ["order", "alarm"])
def test_relay_repeated_request_after_delivery_is_not_delivered_again(
    tmp_path: Path, class_name: str
) -> None:
    """Clients retry if they get no response in time.

    An alarm may be repeated, but only within the deduplication window of its destination (1 s), so its id is
    stored as well.
    """

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        names = [f"m{number}" for number in range(10)]
        for name in names:
            assert await world.submit(name, class_name, path=f"/{class_name}/{name}") == 202
        await world.wait_until(lambda: host.response_count == 10)
        for _ in range(2):
            # Once the relay has delivered a later message, it has read the response of the last one.
            before = host.response_count
            assert await world.submit(f"after{before}", "order") == 202
            await world.wait_until(lambda before=before: host.response_count == before + 1)  # type: ignore[misc]
            for name in names:
                assert await world.submit(name, class_name, path=f"/{class_name}/{name}") == 200
            # Repeats just before the end of the window and after it, also after a restart.
            await asyncio.sleep(1.0 if class_name == "alarm" else 0.0)
            await world.restart()
        assert [host.request_ids.count(name) for name in names] == [1] * 10

    run_scenario(scenario, tmp_path, classes=CLASSES)


def test_relay_repeated_order_gets_its_failure_again_but_is_admitted_if_deferred(tmp_path: Path) -> None:
    """A rejected order has certainly not run; a failed order may have."""

    async def scenario(world: RelayHarness) -> None:
        async def fail(request: Request) -> bytes | None:
            return format_response(500)

        async def refuse(request: Request) -> bytes | None:
            return format_response(429, X_Come_Back_Ms="50")

        hosts = [await world.start_host(fail, destination=1), await world.start_host(refuse, destination=2)]
        await world.start()
        for dest, name, status in ((1, "failed", "undeliverable"), (2, "later", "deferred")):
            assert await world.submit(name, "order", dest, path=f"/order/{name}") == 202
            await world.wait_until(lambda: len(world.status_reports) == 1)
            assert world.status_reports == [{"id": name, "status": status}]
            world.status_reports.clear()
            count = len(hosts[dest - 1].requests)
            async with asyncio.timeout(TEST_TIMEOUT_S):  # until the final status report is acknowledged
                while len(hosts[dest - 1].requests) == count:
                    if await world.submit(name, "order", dest, path=f"/order/{name}") == 500:
                        break
            assert (len(hosts[dest - 1].requests) > count) == (name == "later")
        assert hosts[0].request_ids == ["failed"]

    run_scenario(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_tries": 1})


def test_relay_admits_repeated_idempotent_message_again(tmp_path: Path) -> None:
    """It may run twice, so its id is not stored."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        assert await world.submit("m") == 202
        await world.wait_until(lambda: host.response_count == 1)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(host.requests) < 2:
                assert await world.submit("m") == 202
                await world.submit("other")  # its delivery shows that the response of the first was read
                await world.wait_until(lambda: "other" in host.request_ids)

    run_scenario(scenario, tmp_path)


def test_relay_rejects_messages_over_its_limit(tmp_path: Path) -> None:
    async def scenario(world: RelayHarness) -> None:
        await world.start_host(never_respond)
        await world.start()
        for number in range(2):
            assert await world.submit(f"m{number}", "order") == 202
        status, headers, _ = await world.send(format_submission("m2", "order"))
        assert status == 503
        assert float(headers["retry-after"]) > 0

    run_scenario(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_held": 2})


def test_relay_near_its_disk_limit_rejects_only_new_messages(tmp_path: Path) -> None:
    """It rejects messages before the limit is exceeded, and delivers the admitted ones."""

    async def scenario(world: RelayHarness) -> None:
        world.limits["disk_mb"] = 1
        world.add_unavailable_destination()
        await world.start()
        statuses = [await world.submit(f"m{number}", body=os.urandom(60_000)) for number in range(12)]
        admitted = statuses.count(202)
        assert 4 <= admitted < 12
        assert set(statuses) == {202, 503}
        paths = (tmp_path / "state").iterdir()
        assert sum(-(-path.stat().st_size // 512) * 512 for path in paths) < 1_000_000
        host = await world.start_host(respond_ok)
        await world.wait_until(lambda: len(host.requests) == admitted)
        assert await world.submit("again", body=bytes(60_000)) == 202

    run_scenario(scenario, tmp_path)
