"""Registry process on loopback sockets, as used by relays and by its operator."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from loftrelay.registry import client_connection, server, upstream
from loftrelay.registry.protocol import (
    LIST_PATH,
    SubscriptionChange,
    SubscriptionWatch,
    decode_response,
    encode_request,
)
from tests.standins.fake_discovery import FakeDiscovery, make_endpoint
from tests.standins.harness import TEST_TIMEOUT_S, free_port
from tests.standins.registry import RegistryConnection, RegistryProcess, run_scenario

WATCH_WAIT_MS = 60_000


@asynccontextmanager
async def running_registry(
    folder: Path, destinations: int = 20, **keys: str
) -> AsyncIterator[tuple[FakeDiscovery, RegistryProcess]]:
    """Starts a discovery with one endpoint per destination at revision 5, and a registry with its list."""
    async with (
        FakeDiscovery([make_endpoint(f"h{i}", i) for i in range(destinations)], 5) as discovery,
        RegistryProcess(folder, discovery.address, **keys) as registry,
    ):
        await registry.wait_until_ready()
        yield discovery, registry


async def subscribe(registry: RegistryProcess, name: str, *destinations: int) -> RegistryConnection:
    client = await registry.connect()
    response = await client.call(SubscriptionChange("f", name, 1, added=destinations, is_reset=True))
    assert response.size == len(destinations)
    assert set(response.full_destinations) == set(destinations)
    return client


def test_registry_sends_a_change_to_its_subscribers_only(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            clients = [await subscribe(registry, f"r{i}.1", i, i + 1) for i in range(6)]
            for number, client in enumerate(clients):
                client.send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 6)
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            for number in (2, 3):
                response = await clients[number].response()
                assert (response.revision, response.fleet, response.full_destinations) == (6, "f", ())
                assert [(fields["id"], fields["phase"]) for fields in response.rows] == [
                    ("h3", "Terminating")
                ]
                assert response.age_ms < 5000
                assert (response.sequence, response.size) == (1, 2)
            metrics = await registry.metrics()
            assert (metrics["watches"], metrics["woken"]) == (4, 2)

    run_scenario(scenario)


def test_watch_without_changes_ends_after_its_wait(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (_, registry):
            client = await subscribe(registry, "a.1", 3)
            response = await client.call(SubscriptionWatch("f", "a.1", 5, 50))
            assert (response.revision, response.rows, response.full_destinations) == (5, [], ())
            # Watches since a revision that the registry does not have yet end early.
            response = await client.call(SubscriptionWatch("f", "a.1", 9, WATCH_WAIT_MS))
            assert (response.revision, response.rows) == (5, [])

    run_scenario(scenario)


def test_registry_responds_to_an_invalid_call_with_a_one_line_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (_, registry):
            client = await registry.connect()
            for call, status, field in (
                (SubscriptionChange("f", "a.1", 1, added=(1,)), 410, "subscriber"),
                (SubscriptionWatch("f", "a.1", 1, 0), 410, "subscriber"),
                (SubscriptionChange("g", "a.1", 1, added=(1,), is_reset=True), 403, "fleet"),
            ):
                received_status, body = await client.request(encode_request(call))
                assert received_status == status
                assert body["error"].startswith(field)
            for target, status in (
                (f"{LIST_PATH}?fleet=f", 400),
                (f"{LIST_PATH}?fleet=f&subscriber=a.1&seq=x", 400),
                ("/nowhere", 404),
            ):
                received_status, body = await client.request(target)
                assert received_status == status
                assert body["error"]
                assert "\n" not in body["error"]
            metrics = await registry.metrics()
            assert [metrics[f"answers_{n}"] for n in (400, 403, 410)] == [2, 1, 2]
            assert (await client.request("/health/ready"))[0] == 200  # the connection is still usable
            client.send("/figures", "HEAD")
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK")
            assert b"Content-Length: 0" not in head
            assert (await client.request("/health/ready"))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET /" + b"x" * 17_000 + b" HTTP/1.1\r\nHost: r\r\n\r\n", 414),
        (b"GET /" + b"x" * 60_000, 431),
        (b"GET /health/ready HTTP/1.1\r\nHost: r\r\nX: " + b"y" * 60_000, 431),
        (b"POST /health/ready HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /health/ready HTTP/1.1\r\nHost: r\r\n\r\n" * 2, 400),
        (b"GET / HTTP/1.1\r\nHost: r\r\nContent-Length: 70000\r\n\r\n" + b"b" * 70_000, 413),
    ],
)
def test_registry_responds_to_invalid_http_and_closes_the_connection(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (_, registry):
            client = await registry.connect()
            client.writer.write(data)
            received_status, headers, body = await client.read()
            assert (received_status, headers["connection"]) == (status, "close")
            assert "\n" not in json.loads(body)["error"]
            assert await client.read_until_closed() == b""
            assert (await (await registry.connect()).request("/health/ready"))[0] == 200

    run_scenario(scenario)


def test_registry_accepts_a_request_target_of_nearly_16_kib(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (_, registry):
            destinations = tuple((1 << 50) + i for i in range(900))
            call = SubscriptionChange("f", "a.1", 1, added=destinations, is_reset=True)
            assert 14_000 < len(encode_request(call)) < server.MAX_TARGET_BYTES
            response = await (await registry.connect()).call(call)
            assert response.size == 900
            assert response.rows == []
            assert response.full_destinations == destinations

    run_scenario(scenario)


def test_registry_disconnects_a_slow_client_and_serves_others_without_delay(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            silent, slow, half_closed = [await registry.connect() for _ in range(3)]
            started_at = time.monotonic()
            slow.writer.write(b"GET /health")
            half_closed.send("/health/ready")
            half_closed.writer.write_eof()  # whether or not this cancels the call, others must be served
            client = await subscribe(registry, "a.1", 3)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            assert (await client.response()).revision == 6
            for late_client in (silent, slow):
                status, headers, _ = await late_client.read()
                assert (status, headers["connection"]) == (408, "close")
                assert await late_client.read_until_closed() == b""
            assert time.monotonic() - started_at > client_connection.REQUEST_TIMEOUT_S - 0.1
            await half_closed.read_until_closed()

    run_scenario(scenario)


def test_registry_disconnects_a_client_that_does_not_read_and_serves_others(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path, destinations=3, idle_s="3600") as (discovery, registry):
            rows = [make_endpoint(f"x{i}", 1, locality="z" * 200) for i in range(20_000)]
            discovery.change(*rows)
            await registry.wait_for_metrics(lambda metrics: metrics["revision"] == 6)
            unread = socket.socket()
            with unread:
                unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                unread.connect(registry.address)
                call = SubscriptionChange("f", "unread.1", 1, added=(1,), is_reset=True)
                unread.sendall(f"GET {encode_request(call)} HTTP/1.1\r\nHost: r\r\n\r\n".encode())
                await registry.wait_for_metrics(lambda metrics: metrics["subscribers"] == 1)
                reader = await registry.connect()
                response = await reader.call(SubscriptionChange("f", "b.1", 1, added=(1,), is_reset=True))
                assert len(response.rows) == 20_001
                # Two clients and the connection for metrics; then without the client that does not read.
                await registry.wait_for_metrics(lambda metrics: metrics["connections"] == 3)
                await registry.wait_for_metrics(lambda metrics: metrics["connections"] == 2)
                assert (await reader.request("/health/ready"))[0] == 200

    run_scenario(scenario)


def test_registry_with_1100_waiting_watches_ends_only_affected_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path, destinations=1200) as (discovery, registry):
            clients: list[RegistryConnection] = []
            for number in range(1100):
                clients.append(await subscribe(registry, f"r{number}.1", number, 1150))
                clients[-1].send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WATCH_WAIT_MS)))
            metrics = await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1100)
            assert (metrics["subscribers"], metrics["subscribed"]) == (1100, 2200)
            discovery.change(make_endpoint("h7", 7, "Terminating"))
            assert len((await clients[7].response()).rows) == 1
            assert (await registry.metrics())["watches"] == 1099
            discovery.change(make_endpoint("h1150", 1150, "Gone"))
            for number, client in enumerate(clients):
                if number != 7:
                    assert [fields["phase"] for fields in (await client.response()).rows] == ["Gone"]
            assert (await registry.metrics())["woken"] == 1100

    run_scenario(scenario)


def test_newer_watch_of_a_subscriber_ends_its_older_one(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            older, newer = await subscribe(registry, "a.1", 3), await registry.connect()
            older.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            newer.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            assert (await older.response()).rows == []
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            assert len((await newer.response()).rows) == 1

    run_scenario(scenario)


def test_closed_connection_ends_its_watch_and_later_the_subscription(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path, forget_s="1.0") as (_, registry):
            client = await subscribe(registry, "a.1", 3)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            client.close()
            metrics = await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 0)
            metrics = await registry.wait_for_metrics(lambda metrics: metrics["subscribers"] == 0)
            assert metrics["subscribed"] == 0
            status, _ = await (await registry.connect()).request(
                encode_request(SubscriptionWatch("f", "a.1", 5, 0))
            )
            assert status == 410

    run_scenario(scenario)


def test_second_call_during_a_watch_is_rejected_and_ends_the_watch(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client = await subscribe(registry, "a.1", 3)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            client.send("/health/ready")
            status, headers, body = await client.read()
            assert (status, headers["connection"]) == (400, "close")
            assert b"one call at a time" in body
            assert await client.read_until_closed() == b""
            assert (await registry.metrics())["watches"] == 0
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            metrics = await registry.wait_for_metrics(lambda metrics: metrics["revision"] == 6)
            assert metrics["woken"] == 0

    run_scenario(scenario)


def test_shutdown_ends_every_watch_and_closes_connections(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (_, registry):
            clients = [await subscribe(registry, f"r{i}.1", i) for i in range(10)]
            for number, client in enumerate(clients):
                client.send(encode_request(SubscriptionWatch("f", f"r{number}.1", 5, WATCH_WAIT_MS)))
            plain, idle = await registry.connect(), await subscribe(registry, "idle.1", 1)
            plain.send(f"{LIST_PATH}?index=5&wait={WATCH_WAIT_MS}")
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 11)
            started_at = time.monotonic()
            assert registry.process is not None
            registry.process.send_signal(signal.SIGTERM)
            for client in clients:
                status, headers, body = await client.read()
                assert (status, headers["connection"]) == (200, "close")
                assert decode_response(body).rows == []
                assert await client.read_until_closed() == b""
                client.close()
            status, _, body = await plain.read()
            assert (status, json.loads(body)["members"]) == (200, [])
            assert await idle.read_until_closed() == b""
            plain.close()
            idle.close()
            assert await registry.wait_for_exit() == 0
            assert time.monotonic() - started_at < TEST_TIMEOUT_S / 2

    run_scenario(scenario)


def test_registry_without_discovery_responds_with_503_and_retries(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = FakeDiscovery([make_endpoint("a", 1)], 9)
        await discovery.start()
        await discovery.stop()
        async with RegistryProcess(tmp_path, discovery.address) as registry:
            client = await registry.connect()
            for target in (
                "/health/ready",
                LIST_PATH,
                encode_request(SubscriptionChange("f", "a.1", 1, is_reset=True)),
            ):
                status, body = await client.request(target)
                assert status == 503
                assert body["error"]
            await registry.wait_for_log("retrying until it succeeds")
            await discovery.start()
            await registry.wait_until_ready()
            response = await (await registry.connect()).call(
                SubscriptionChange("f", "a.1", 1, added=(1,), is_reset=True)
            )
            assert (response.revision, len(response.rows)) == (9, 1)
            assert sum("retrying until" in log_line for log_line in registry.log) == 1
            await discovery.stop()

    run_scenario(scenario)


def test_registry_serves_its_list_during_a_discovery_outage_and_catches_up(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client = await subscribe(registry, "a.1", 3)
            await discovery.stop()
            await registry.wait_for_log("retrying until it succeeds")
            # The current list is used during the outage.
            response = await client.call(SubscriptionChange("f", "a.1", 2, added=(4,)))
            assert response.size == 2
            assert [fields["id"] for fields in response.rows] == ["h4"]
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            request_count = len(discovery.requests)
            await discovery.start()
            assert [fields["phase"] for fields in (await client.response()).rows] == ["Terminating"]
            # The first call requests missed changes without a wait.
            assert discovery.requests[request_count] == f"{LIST_PATH}?index=5&wait=0"
            await registry.wait_for_log("responds again, revision 6")

    run_scenario(scenario)


def test_registry_repeats_a_call_to_a_silent_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client = await subscribe(registry, "a.1", 3)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            discovery.is_silent = True
            request_count = len(discovery.requests)
            discovery.notify()
            started_at = time.monotonic()
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            await registry.wait_for_log("retrying until it succeeds")
            age = (await registry.metrics())["age_ms"]
            assert age > 1000 * upstream.RESPONSE_TIMEOUT_S
            discovery.is_silent = False
            discovery.notify()
            assert [fields["phase"] for fields in (await client.response()).rows] == ["Terminating"]
            assert len(discovery.requests) > request_count
            assert time.monotonic() - started_at < TEST_TIMEOUT_S / 2

    run_scenario(scenario)


def test_registry_with_restarted_revisions_requires_subscriptions_to_be_reset(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client, other = await subscribe(registry, "a.1", 3), await subscribe(registry, "b.1", 4)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            discovery.restart_revisions(2, [make_endpoint("h3", 3), make_endpoint("h9", 4)])
            response = await client.response()
            assert (response.revision, response.rows, response.full_destinations) == (2, [], ())
            response = await other.call(SubscriptionChange("f", "b.1", 2, 5, confirmed=(4,)))
            assert (response.revision, response.full_destinations) == (2, (4,))
            assert [fields["id"] for fields in response.rows] == ["h9"]
            assert sum("restarted its revisions" in log_line for log_line in registry.log) == 1
            status, body = await client.request(
                encode_request(SubscriptionWatch("f", "a.1", 2, WATCH_WAIT_MS))
            )
            assert status == 410
            assert "counts anew" in body["error"]
            response = await client.call(SubscriptionChange("f", "a.1", 2, 2, confirmed=(3,), is_reset=True))
            assert response.full_destinations == (3,)
            assert [fields["id"] for fields in response.rows] == ["h3"]
            client.send(encode_request(SubscriptionWatch("f", "a.1", 2, WATCH_WAIT_MS)))
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            assert (await client.response()).revision == 3

    run_scenario(scenario)


def test_registry_sends_rows_of_an_indented_list_in_compact_form(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with FakeDiscovery([make_endpoint(f"h{i}", i) for i in range(3000)]) as discovery:
            discovery.indent = 4
            async with RegistryProcess(tmp_path, discovery.address) as registry:
                await registry.wait_until_ready()
                client = await registry.connect()
                client.send(encode_request(SubscriptionChange("f", "a.1", 1, added=(7,), is_reset=True)))
                status, _, body = await client.read()
                assert status == 200
                assert b" " not in body
                assert b"\n" not in body
                assert decode_response(body).rows == [make_endpoint("h7", 7)]

    run_scenario(scenario)


def test_registry_skips_a_malformed_row_of_a_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        rows = [make_endpoint("a", 1), {**make_endpoint("b", 2), "cell": "2"}, make_endpoint("c", 3)]
        async with FakeDiscovery(rows) as discovery, RegistryProcess(tmp_path, discovery.address) as registry:
            await registry.wait_until_ready()
            assert (await registry.metrics())["hosts"] == 2
            await registry.wait_for_log("malformed list entry skipped: .*cell = '2'")

    run_scenario(scenario)


def test_registry_rejects_an_oversize_list_with_one_log_line_and_keeps_its_list(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path, most_list_mb="1") as (discovery, registry):
            client = await subscribe(registry, "a.1", 3)
            discovery.change(*(make_endpoint(f"x{i}", i, locality="z" * 1000) for i in range(2000)))
            await registry.wait_for_log(
                r"response of 2 MB rejected, the limit is most_list_mb = 1; keeping the current list"
            )
            response = await client.call(SubscriptionChange("f", "a.1", 2, added=(4,)))
            assert response.revision == 5
            assert [fields["id"] for fields in response.rows] == ["h4"]
            discovery.restart_revisions(7, [make_endpoint("h4", 4, "Terminating")])
            await registry.wait_for_metrics(lambda metrics: metrics["revision"] == 7)
            assert sum("most_list_mb" in log_line for log_line in registry.log) == 1

    run_scenario(scenario)


def test_registry_serves_a_relay_without_subscription_in_discovery_format(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client = await registry.connect()
            status, document = await client.request(LIST_PATH)
            assert (status, document["revision"], document["complete"], len(document["members"])) == (
                200,
                5,
                True,
                20,
            )
            client.send(f"{LIST_PATH}?index=5&wait={WATCH_WAIT_MS}")
            await registry.wait_for_metrics(lambda metrics: metrics["watches"] == 1)
            discovery.change(make_endpoint("h3", 3, "Terminating"), make_endpoint("h4", 9))
            _, _, body = await client.read()
            document = json.loads(body)
            assert (document["revision"], document["complete"]) == (6, False)
            rows = [(fields["id"], fields["cell"], fields["phase"]) for fields in document["members"]]
            assert rows[0] == ("h4", 4, "Gone")
            assert sorted(rows[1:]) == [("h3", 3, "Terminating"), ("h4", 9, "Ready")]
            status, document = await client.request(f"{LIST_PATH}?index=6&wait=20")
            assert (document["revision"], document["complete"], document["members"]) == (6, False, [])
            for index in (2, 99):  # the changes since are not known
                status, document = await client.request(f"{LIST_PATH}?index={index}&wait={WATCH_WAIT_MS}")
                assert (document["revision"], document["complete"], len(document["members"])) == (6, True, 20)

    run_scenario(scenario)


def test_registry_rejects_a_request_for_a_full_list_over_the_limit(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path, destinations=9000) as (_, registry):
            status, body = await (await registry.connect()).request(LIST_PATH)
            assert status == 413
            assert f"at most {server.MAX_FULL_LIST_BYTES} are told" in body["error"]
            size = int(body["error"].split()[4])
            assert size > server.MAX_FULL_LIST_BYTES

    run_scenario(scenario)


# Operator


def test_sighup_moves_discovery_and_rejects_other_changes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            running_registry(tmp_path) as (discovery, registry),
            FakeDiscovery([make_endpoint("h3", 3, "Terminating")], 2) as new_discovery,
        ):
            client = await subscribe(registry, "a.1", 3)
            assert registry.process is not None

            async def reload(expected_log: str, **keys: str) -> None:
                previous_keys, since = registry.keys, len(registry.log)
                registry.keys = {**previous_keys, **keys}
                registry.write()
                assert registry.process is not None
                registry.process.send_signal(signal.SIGHUP)
                await registry.wait_for_log(expected_log, since)
                assert len(registry.log) == since + 1
                registry.keys = previous_keys

            await reload(
                r"reload failed, keeping the current settings: .*registry.toml: fleet: can only change",
                fleet='"g"',
            )
            await reload(r"reload failed, .*keep_gone = -1", keep_gone="-1")
            await reload(r"reload failed, .*discovery = 'x'", discovery='"x"')
            await reload(r"reload failed, .*colour = 1: no such key", colour="1")
            await reload(r"nothing changed")
            assert (await client.call(SubscriptionChange("f", "a.1", 2, added=(4,)))).revision == 5
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            registry.keys["discovery"] = f'"{new_discovery.address}"'
            registry.write()
            registry.process.send_signal(signal.SIGHUP)
            assert (await client.response()).revision == 2
            response = await client.call(
                SubscriptionChange("f", "a.1", 3, 5, confirmed=(3, 4), is_reset=True)
            )
            assert response.full_destinations == (3, 4)
            assert [fields["phase"] for fields in response.rows] == ["Terminating"]
            request_count = len(discovery.requests)
            new_discovery.change(make_endpoint("h3", 3, "Gone"))
            assert (await client.call(SubscriptionWatch("f", "a.1", 2, WATCH_WAIT_MS))).revision == 3
            assert len(discovery.requests) == request_count

    run_scenario(scenario)


def test_registry_with_an_invalid_settings_file_exits_with_one_line(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with FakeDiscovery() as discovery:
            registry = RegistryProcess(tmp_path, discovery.address, keep_gone="-1")
            await registry.start(listens=False)
            assert await registry.wait_for_exit() == 2
            await registry.wait_for_log("^loftrelay registry: ")
            reason = "is not from 0 to 1e+07 hosts"
            assert registry.log == [f"loftrelay registry: {registry.file}: keep_gone = -1: {reason}"]
            assert not discovery.requests

    run_scenario(scenario)


def test_registry_with_an_address_in_use_exits(tmp_path: Path) -> None:
    async def scenario() -> None:
        address = f"127.0.0.1:{free_port()}"
        async with (
            FakeDiscovery() as discovery,
            RegistryProcess(tmp_path, discovery.address, listen=f'"{address}"'),
        ):
            other_folder = tmp_path / "other"
            other_folder.mkdir()
            second = RegistryProcess(other_folder, discovery.address, listen=f'"{address}"')
            await second.start(listens=False)
            assert await second.wait_for_exit() == 1
            await second.wait_for_log("^loftrelay registry: can't start: .*in use")

    run_scenario(scenario)


def test_subscription_moves_to_another_registry_after_the_first_is_killed(tmp_path: Path) -> None:
    async def scenario() -> None:
        other_folder = tmp_path / "other"
        other_folder.mkdir()
        async with (
            running_registry(tmp_path) as (discovery, first),
            RegistryProcess(other_folder, discovery.address) as second,
        ):
            await second.wait_until_ready()
            client = await subscribe(first, "a.1", 3, 4)
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            assert (await client.call(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS))).revision == 6
            await second.wait_for_metrics(lambda metrics: metrics["revision"] == 6)
            assert await first.terminate(signal.SIGKILL) == -signal.SIGKILL
            client = await second.connect()
            status, _ = await client.request(encode_request(SubscriptionWatch("f", "a.1", 6, 0)))
            assert status == 410
            response = await client.call(
                SubscriptionChange("f", "a.1", 2, 6, confirmed=(3, 4), is_reset=True)
            )
            assert (response.full_destinations, response.rows, response.size) == ((), [], 2)
            discovery.change(make_endpoint("h4", 4, "Gone"))
            assert (await client.call(SubscriptionWatch("f", "a.1", 6, WATCH_WAIT_MS))).revision == 7

    run_scenario(scenario)


def test_registry_resumed_after_a_stop_sends_missed_changes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_registry(tmp_path) as (discovery, registry):
            client = await subscribe(registry, "a.1", 3)
            assert registry.process is not None
            registry.process.send_signal(signal.SIGSTOP)
            client.send(encode_request(SubscriptionWatch("f", "a.1", 5, WATCH_WAIT_MS)))
            discovery.change(make_endpoint("h3", 3, "Terminating"))
            request_count = len(discovery.requests)
            registry.process.send_signal(signal.SIGCONT)
            assert [fields["phase"] for fields in (await client.response()).rows] == ["Terminating"]
            await discovery.wait_for_requests(request_count + 1)

    run_scenario(scenario)
