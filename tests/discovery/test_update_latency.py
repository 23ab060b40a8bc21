"""Relay applies a change within 6 s after discovery has it and is reachable, whatever faults calls had."""

from __future__ import annotations

import asyncio
import json
import resource
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.decisions.events import EndpointListKind, EndpointListReceived
from loftrelay.discovery.client import DiscoveryClient
from tests.standins.harness import (
    SETTINGS,
    RelayHarness,
    Request,
    StubServer,
    format_response,
    never_respond,
    respond_ok,
    run_scenario,
)

MAX_UPDATE_LATENCY_S = 6.0
OUTAGE_S = 3.0  # longer than the longest pause between calls
SILENCE_S = 8.0  # without responses; long enough that a call is outstanding at its end

Fault = Callable[[RelayHarness, Request], Awaitable[bytes | None]]


async def change_endpoints(w: RelayHarness) -> tuple[StubServer, StubServer]:
    """Drains the host of destination 1 and replaces it; adds destination 2 with the same new host."""
    old_host, new_host = w.servers[1], await w.start_server(respond_ok)
    w.endpoints[0]["phase"] = "Terminating"
    for dest in (1, 2):
        w.add_endpoint(dest, "plain", "Ready", new_host.address)
    return old_host, new_host


async def assert_change_is_applied_in_time(
    w: RelayHarness, since: float, old_host: StubServer, new_host: StubServer
) -> None:
    await w.submit_once_listed("listed", 2)
    assert asyncio.get_running_loop().time() - since < MAX_UPDATE_LATENCY_S
    request_count = len(old_host.requests)
    assert await w.submit("drained", destination=1) == 202
    await w.wait_until(lambda: "drained" in new_host.request_ids)
    assert len(old_host.requests) == request_count


async def truncated_body(w: RelayHarness, request: Request) -> bytes | None:
    return format_response(200, json.dumps(w.full_list()).encode())[:-9]


async def truncated_head(w: RelayHarness, request: Request) -> bytes | None:
    return b"HTTP/1.1 200 OK\r\nContent-Le"


async def endless_body(w: RelayHarness, request: Request) -> bytes | None:
    transport = w.discovery.connections[request.connection - 1].transport
    transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        transport.write(b"3\r\n   \r\n")
        await asyncio.sleep(0.05)


async def no_response(w: RelayHarness, request: Request) -> bytes | None:
    return await never_respond(request)


async def unavailable(w: RelayHarness, request: Request) -> bytes | None:
    return format_response(503)


async def connection_reset(w: RelayHarness, request: Request) -> bytes | None:
    w.discovery.connections[request.connection - 1].transport.abort()
    return None


@pytest.mark.parametrize(
    "fault", [no_response, truncated_head, truncated_body, endless_body], ids=lambda fault: fault.__name__
)
def test_client_with_a_failing_watch_receives_the_next_change_in_time(tmp_path: Path, fault: Fault) -> None:
    """Only a time-out detects these faults."""

    async def scenario(w: RelayHarness) -> None:
        changed: asyncio.Future[tuple[float, StubServer, StubServer]] = (
            asyncio.get_running_loop().create_future()
        )

        async def list_response(request: Request) -> bytes | None:
            if "wait=" not in request.target or "wait=0" in request.target or changed.done():
                return b""
            changed.set_result((asyncio.get_running_loop().time(), *await change_endpoints(w)))
            return await fault(w, request)

        await w.start_host(respond_ok)
        w.list_handler = list_response
        await w.start()
        async with asyncio.timeout(MAX_UPDATE_LATENCY_S):
            since, old_host, new_host = await changed
        await assert_change_is_applied_in_time(w, since, old_host, new_host)

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize(
    "fault", [no_response, unavailable, connection_reset, truncated_body], ids=lambda fault: fault.__name__
)
@pytest.mark.parametrize("at_start", [False, True], ids=["in service", "at start"])
def test_client_receives_a_change_in_time_after_discovery_recovers(
    tmp_path: Path, fault: Fault, at_start: bool
) -> None:
    async def scenario(w: RelayHarness) -> None:
        await w.start_host(respond_ok)
        if not at_start:
            await w.start()
            await w.wait_until(lambda: any("index=" in request.target for request in w.discovery.requests))
        w.list_handler = lambda request: fault(w, request)
        w.discovery.close_connections()
        if at_start:
            await w.start()
        await asyncio.sleep(SILENCE_S if fault in (no_response, truncated_body) else OUTAGE_S)
        w.list_handler = None
        since = asyncio.get_running_loop().time()
        await assert_change_is_applied_in_time(w, since, *await change_endpoints(w))

    run_scenario(scenario, tmp_path)


def test_client_with_an_exception_in_the_watch_reports_a_failed_call(tmp_path: Path) -> None:
    """The client reports the failure, and the decisions request the next watch."""

    async def scenario(w: RelayHarness) -> None:
        kinds: list[EndpointListKind] = []

        def raise_on_first_update(listing: EndpointListReceived, addresses: object) -> None:
            kinds.append(listing.kind)
            w.notify_changed()
            if len(kinds) == 1:
                raise KeyError("bug in the engine")

        host, _, port = w.discovery.address.rpartition(":")
        client = DiscoveryClient((host, int(port)), 10_000_000, raise_on_first_update)
        client.watch()
        await w.wait_until(lambda: kinds == [EndpointListKind.FULL, EndpointListKind.FAILED])
        client.watch()
        await w.wait_until(lambda: len(kinds) == 3)
        client.close()

    run_scenario(scenario, tmp_path)


@pytest.mark.parametrize("failure", ["refused", "never accepted"])
def test_client_receives_a_change_in_time_after_failing_connections(tmp_path: Path, failure: str) -> None:
    """Discovery's port is closed, or its accept queue is full; then discovery is available again."""

    async def scenario(w: RelayHarness) -> None:
        await w.start_host(respond_ok)
        await w.start()
        await w.wait_until(lambda: any("index=" in request.target for request in w.discovery.requests))
        assert w.discovery.server is not None
        port = w.discovery.server.sockets[0].getsockname()[1]
        w.discovery.server.close()
        w.discovery.close_connections()
        loop, queued = asyncio.get_running_loop(), list[socket.socket]()
        if failure == "refused":
            await asyncio.sleep(OUTAGE_S)
            await w.discovery.start(port)
        else:
            listener = socket.create_server(("127.0.0.1", port), backlog=0)
            for _ in range(3):  # more than the accept queue holds
                queued.append(socket.socket())
                queued[-1].setblocking(False)
                queued[-1].connect_ex(("127.0.0.1", port))
            await asyncio.sleep(OUTAGE_S)
            listener.close()
            for connection in queued:
                connection.close()
            await w.discovery.start(port)
        since = loop.time()
        await assert_change_is_applied_in_time(w, since, *await change_endpoints(w))

    run_scenario(scenario, tmp_path)


def test_client_receives_a_change_in_time_with_descriptors_exhausted(tmp_path: Path) -> None:
    """Discovery, reports, hosts and the journal still get descriptors, and a new request gets a response."""

    async def scenario(w: RelayHarness) -> None:
        async def reject(request: Request) -> bytes | None:
            return format_response(500)

        await w.start_host(respond_ok)
        await w.start_host(reject, destination=3)
        w.limits["sockets"] = 100
        await w.start()
        assert w.process is not None
        assert w.discovery.server is not None
        resource.prlimit(w.process.pid, resource.RLIMIT_NOFILE, (100, 100))
        port = w.discovery.server.sockets[0].getsockname()[1]
        w.discovery.server.close()
        w.discovery.close_connections()
        idle = [await asyncio.open_connection(*w.address) for _ in range(300)]
        reconnecting = asyncio.create_task(keep_reconnecting(w, idle))
        assert await w.submit("failed", "order", destination=3) == 202
        await asyncio.sleep(OUTAGE_S)
        await w.discovery.start(port)
        since = asyncio.get_running_loop().time()
        await assert_change_is_applied_in_time(w, since, *await change_endpoints(w))
        await w.wait_until(lambda: [notice["id"] for notice in w.status_reports] == ["failed"])
        reconnecting.cancel()
        for _, writer in idle:
            writer.close()
        assert not any("Too many open files" in line for line in w.log)

    run_scenario(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_tries": 1})


async def keep_reconnecting(
    w: RelayHarness, idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
) -> None:
    """Opens idle connections all the time, to replace those that the relay closes."""
    while True:
        idle.append(await asyncio.open_connection(*w.address))
        await asyncio.sleep(0.01)


@pytest.mark.parametrize(
    "fault", [no_response, unavailable, connection_reset, truncated_body], ids=lambda fault: fault.__name__
)
def test_reload_moves_a_failing_discovery_in_time(tmp_path: Path, fault: Fault) -> None:
    """The first call at the new address fails, too."""

    async def scenario(w: RelayHarness) -> None:
        await w.start_host(respond_ok)
        await w.start()
        await w.wait_until(lambda: any("index=" in request.target for request in w.discovery.requests))
        w.list_handler = lambda request: fault(w, request)
        w.discovery.close_connections()
        await asyncio.sleep(1.0)

        async def fail_first_call(request: Request) -> bytes | None:
            w.list_handler = None
            return (
                format_response(503)
                if len(new_discovery.requests) == 1
                else await w.handle_discovery_request(request)
            )

        new_discovery = await w.start_server(fail_first_call)
        old_host, new_host = await change_endpoints(w)
        w.write_config(new_discovery.address)
        since = asyncio.get_running_loop().time()
        w.reload()
        await assert_change_is_applied_in_time(w, since, old_host, new_host)

    run_scenario(scenario, tmp_path)
