"""Closing of client connections while a request or a response is in transit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from loftrelay.relay.engine import Engine
from loftrelay.server.http import connection, connection_table
from loftrelay.server.http.connection import ClientConnection
from loftrelay.server.http.server import HTTPServer
from tests.relay.test_engine import make_engine
from tests.standins.harness import (
    TEST_TIMEOUT_S,
    RelayHarness,
    format_submission,
    read_response,
    respond_ok,
    run_scenario,
)

READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
READY_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def run_server(
    scenario: Callable[[HTTPServer, Callable[[], Awaitable[Streams]]], Awaitable[None]],
    folder: Path,
    max_clients: int = 10,
) -> None:
    """Runs a scenario with a server and a function that connects a client and completes one request."""

    async def main() -> None:
        engine: Engine = make_engine(folder)
        server = HTTPServer(engine, max_clients)
        address = await server.startup(("127.0.0.1", 0))

        async def connect_client() -> Streams:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(READINESS_REQUEST)
            assert await reader.readexactly(len(READY_RESPONSE)) == READY_RESPONSE
            return reader, writer

        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario(server, connect_client)
        assert not engine.context.journal.messages
        await server.shutdown()
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()

    asyncio.run(main())


async def expect_close_without_reset(reader: asyncio.StreamReader) -> None:
    """Reads until the connection is closed; raises ConnectionResetError if it is reset."""
    assert await reader.read() == b""


@pytest.mark.parametrize(
    "request_bytes",
    [format_submission("m"), format_submission("m")[:-3], b"P"],
    ids=["complete", "partial", "one byte"],
)
@pytest.mark.parametrize("cause", ["idle", "eviction", "shutdown"])
def test_server_closes_connection_without_reset_while_request_arrives(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, request_bytes: bytes, cause: str
) -> None:
    """The request arrives after the relay has checked for unread bytes and before it closes the connection.

    It is not admitted, and the client sees the connection closed without a reset.
    """

    async def scenario(server: HTTPServer, connect_client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await connect_client()
        (client,) = server.connections.active()
        assert client.is_evictable  # the check for unread bytes
        if cause == "eviction":

            def choose_client(new_client: ClientConnection, now_s: float) -> ClientConnection:
                writer.write(request_bytes)
                return client

            monkeypatch.setattr(server.connections, "choose_eviction", choose_client)
            server.connections.limit = 1
            await connect_client()
        else:
            writer.write(request_bytes)  # the event loop does not run before the close
            client.close()
            if cause == "shutdown":
                await server.shutdown()
        await expect_close_without_reset(reader)
        writer.close()
        while server.connections.lingering:
            await asyncio.sleep(0)

    run_server(scenario, tmp_path)


@pytest.mark.parametrize(
    "request_bytes",
    [b"no HTTP\r\n\r\n", format_submission("m", Tenant="nobody"), READINESS_REQUEST + READINESS_REQUEST],
)
def test_server_error_response_reaches_client_that_is_still_sending(
    tmp_path: Path, request_bytes: bytes
) -> None:
    async def scenario(server: HTTPServer, connect_client: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await connect_client()
        writer.write(request_bytes)
        writer.write(b"x" * (300 << 10))  # more than the relay reads at once; further bytes follow
        for _ in range(20):
            await asyncio.sleep(0.002)
            with contextlib.suppress(ConnectionError):
                writer.write(b"y" * 1000)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
        writer.close()

    run_server(scenario, tmp_path)


def test_server_lingering_closes_are_bounded_in_time_and_number(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients that never close their side don't occupy connections for longer."""

    async def scenario(server: HTTPServer, connect_client: Callable[[], Awaitable[Streams]]) -> None:
        streams = [await connect_client() for _ in range(20)]
        assert server.connections.active_count == 4
        assert len(server.connections.lingering) <= 3
        for client in server.connections.active():
            client.close()
        assert len(server.connections.lingering) <= 4 + 3
        while server.has_clients:
            await asyncio.sleep(0.01)  # only the relay closes connections
        for reader, writer in streams:
            await expect_close_without_reset(reader)
            writer.close()

    monkeypatch.setattr(connection, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(connection_table, "MAX_LINGERING", 3)
    run_server(scenario, tmp_path, max_clients=4)


def test_server_rejects_new_client_if_no_connection_can_be_evicted(tmp_path: Path) -> None:
    async def scenario(server: HTTPServer, connect_client: Callable[[], Awaitable[Streams]]) -> None:
        streams = [await connect_client() for _ in range(server.connections.limit)]
        for _, writer in streams:
            writer.write(b"POST /sta")
        while not all(client.is_receiving for client in server.connections.active()):
            await asyncio.sleep(0)
        assert server.listener.socket is not None
        reader, writer = await asyncio.open_connection(*server.listener.socket.getsockname())
        response = await reader.readuntil(b"\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in response
        for stream in (*streams, (reader, writer)):
            stream[1].close()

    run_server(scenario, tmp_path)


def test_server_shutdown_accepts_queued_connections(tmp_path: Path) -> None:
    """The kernel would reset them once the relay stops listening."""

    async def scenario(server: HTTPServer, connect_client: Callable[[], Awaitable[Streams]]) -> None:
        assert server.listener.socket is not None
        queued = []
        for _ in range(20):  # the event loop does not run meanwhile
            queued.append(socket.create_connection(server.listener.socket.getsockname()))
            queued[-1].sendall(READINESS_REQUEST)
        await server.shutdown()
        for sock in queued:
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 OK\r\nConnection: close")
            writer.close()

    run_server(scenario, tmp_path, max_clients=100)


def test_relay_shutdown_closes_idle_connections_and_admits_no_later_request(tmp_path: Path) -> None:
    """An incomplete request gets a response, and no connection is reset."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        assert world.process is not None
        idle = [await asyncio.open_connection(*world.address) for _ in range(3)]
        for number, (reader, writer) in enumerate(idle):
            writer.write(format_submission(f"m{number}"))
            assert (await read_response(reader))[0].startswith("HTTP/1.1 202")
        await world.wait_until(lambda: len(host.request_ids) == 3)
        started_at = asyncio.get_running_loop().time()
        world.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.9)
        partial = await asyncio.open_connection(*world.address)
        partial[1].write(format_submission("half")[:-3])
        async with asyncio.timeout(TEST_TIMEOUT_S):
            for reader, writer in idle:
                await expect_close_without_reset(reader)
                writer.write(format_submission("late"))  # half-closed: it may still write
            response = await partial[0].read()
            assert response.startswith(b"HTTP/1.1 503 ")
            assert b"Connection: close" in response
            assert await world.process.wait() == 0
        assert asyncio.get_running_loop().time() - started_at < 3.7 + 0.5  # SIGKILL may follow from 3.7 s on
        for _, writer in (*idle, partial):
            writer.close()
        await world.start()
        assert await world.submit("again") == 202
        await world.wait_until(lambda: "again" in host.request_ids)
        assert not {"half", "late"} & set(host.request_ids)

    run_scenario(scenario, tmp_path)


def test_relay_serves_clients_beside_disconnecting_flooding_and_slow_ones(tmp_path: Path) -> None:
    """Bursts of clients that disconnect at once, that send too much, or that send single bytes slowly."""

    async def scenario(world: RelayHarness) -> None:
        host = await world.start_host(respond_ok)
        await world.start()
        loop = asyncio.get_running_loop()

        async def disconnect(number: int) -> None:
            reader, writer = await asyncio.open_connection(*world.address)
            writer.write(format_submission(f"leaver{number}"))
            if number % 3 == 0:
                assert (await read_response(reader))[0].startswith("HTTP/1.1 202")
            if number % 2:  # with a reset
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        async def flood(number: int) -> None:
            _, writer = await asyncio.open_connection(*world.address)
            writer.write(format_submission(f"flood{number}", Content_Length="60000") + b"z" * (2 << 20))
            await asyncio.sleep(0)
            writer.transport.abort()

        async def write_slowly() -> bytes:
            reader, writer = await asyncio.open_connection(*world.address)
            response = asyncio.create_task(reader.read())
            for byte in format_submission("slow"):
                writer.write(bytes([byte]))
                if (await asyncio.wait([response], timeout=0.2))[0]:
                    break
            writer.close()
            return await response

        slow = asyncio.create_task(write_slowly())
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await asyncio.gather(
                *(disconnect(number) for number in range(60)), *(flood(number) for number in range(10))
            )
            started_at = loop.time()
            assert await world.submit("good") == 202
            assert loop.time() - started_at < 5
            assert (await slow).startswith(b"HTTP/1.1 408 ")
        await world.wait_until(lambda: "good" in host.request_ids)
        admitted = {f"leaver{number}" for number in range(0, 60, 3)}  # those that got a 202
        await world.wait_until(lambda: admitted <= set(host.request_ids))
        assert len(host.request_ids) == len(set(host.request_ids))

    run_scenario(scenario, tmp_path)
