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
from tests.standins.platform import (
    HANG,
    World,
    deliver,
    message,
    read_message,
    run,
)

ASK = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def serve(
    scenario: Callable[[HTTPServer, Callable[[], Awaitable[Streams]]], Awaitable[None]],
    folder: Path,
    places: int = 10,
) -> None:
    """Runs a server in this process. `come` connects and sends one request."""

    async def main() -> None:
        engine: Engine = make_engine(folder)
        server = HTTPServer(engine, places)
        address = await server.startup(("127.0.0.1", 0))

        async def come() -> Streams:
            reader, writer = await asyncio.open_connection(*address)
            writer.write(ASK)
            assert await reader.readexactly(len(READY)) == READY
            return reader, writer

        async with asyncio.timeout(HANG):
            await scenario(server, come)
        assert not engine.context.journal.messages
        await server.shutdown()
        engine.context.status_reporter.close()
        engine.context.discovery.close()
        engine.context.delivery.close()

    asyncio.run(main())


async def expect_close_without_reset(reader: asyncio.StreamReader) -> None:
    """Raises ConnectionResetError otherwise."""
    assert await reader.read() == b""


@pytest.mark.parametrize("written", [message("m"), message("m")[:-3], b"P"], ids=["whole", "half", "a byte"])
@pytest.mark.parametrize("why", ["idle", "eviction", "last phase"])
def test_request_that_crosses_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, written: bytes, why: str
) -> None:
    """Sent after the relay has checked for unread bytes, before it closes: nothing of it is admitted, and the
    client sees the end of the connection, not a reset."""

    async def scenario(server: HTTPServer, come: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await come()
        (client,) = server.connections.active()
        assert client.is_evictable  # the look
        if why == "eviction":

            def look(newcomer: ClientConnection, now_s: float) -> ClientConnection:
                writer.write(written)
                return client

            monkeypatch.setattr(server.connections, "choose_eviction", look)
            server.connections.limit = 1
            await come()
        else:
            writer.write(written)  # the loop does not run before the end
            client.close()
            if why == "last phase":
                await server.shutdown()
        await expect_close_without_reset(reader)
        writer.close()
        while server.connections.lingering:
            await asyncio.sleep(0)

    serve(scenario, tmp_path)


@pytest.mark.parametrize("raw", [b"no HTTP\r\n\r\n", message("m", Tenant="nobody"), ASK + ASK])
def test_response_reaches_a_client_that_still_sends(tmp_path: Path, raw: bytes) -> None:
    async def scenario(server: HTTPServer, come: Callable[[], Awaitable[Streams]]) -> None:
        reader, writer = await come()
        writer.write(raw)
        writer.write(b"x" * (300 << 10))  # more than the relay reads at once, and more comes later
        for _ in range(20):
            await asyncio.sleep(0.002)
            with contextlib.suppress(ConnectionError):
                writer.write(b"y" * 1000)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
        writer.close()

    serve(scenario, tmp_path)


def test_lingering_closes_are_bounded_in_time_and_number(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients that never close their side occupy no connection for longer."""

    async def scenario(server: HTTPServer, come: Callable[[], Awaitable[Streams]]) -> None:
        streams = [await come() for _ in range(20)]
        assert server.connections.active_count == 4
        assert len(server.connections.lingering) <= 3
        for client in server.connections.active():
            client.close()
        assert len(server.connections.lingering) <= 4 + 3
        while server.has_clients:
            await asyncio.sleep(0.01)  # nobody ends but the relay
        for reader, writer in streams:
            await expect_close_without_reset(reader)
            writer.close()

    monkeypatch.setattr(connection, "LINGER_TIMEOUT_S", 0.05)
    monkeypatch.setattr(connection_table, "MAX_LINGERING", 3)
    serve(scenario, tmp_path, places=4)


def test_new_client_is_rejected_if_no_connection_can_be_evicted(tmp_path: Path) -> None:
    async def scenario(server: HTTPServer, come: Callable[[], Awaitable[Streams]]) -> None:
        streams = [await come() for _ in range(server.connections.limit)]
        for _, writer in streams:
            writer.write(b"POST /sta")
        while not all(client.is_receiving for client in server.connections.active()):
            await asyncio.sleep(0)
        assert server.listener.socket is not None
        reader, writer = await asyncio.open_connection(*server.listener.socket.getsockname())
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in answer
        for stream in (*streams, (reader, writer)):
            stream[1].close()

    serve(scenario, tmp_path)


def test_shutdown_accepts_queued_connections(tmp_path: Path) -> None:
    """The system would reset them once the relay stops listening."""

    async def scenario(server: HTTPServer, come: Callable[[], Awaitable[Streams]]) -> None:
        assert server.listener.socket is not None
        queued = []
        for _ in range(20):  # the loop does not run meanwhile
            queued.append(socket.create_connection(server.listener.socket.getsockname()))
            queued[-1].sendall(ASK)
        await server.shutdown()
        for sock in queued:
            sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=sock)
            assert (await reader.read()).startswith(b"HTTP/1.1 200 OK\r\nConnection: close")
            writer.close()

    serve(scenario, tmp_path, places=100)


def test_shutdown_of_the_process(tmp_path: Path) -> None:
    """Idle connections are closed, an incomplete request is answered, no connection is reset, and nothing
    that is sent after the close is admitted."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        assert w.process is not None
        resting = [await asyncio.open_connection(*w.address) for _ in range(3)]
        for i, (reader, writer) in enumerate(resting):
            writer.write(message(f"m{i}"))
            assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
        await w.until(lambda: len(host.ids) == 3)
        began = asyncio.get_running_loop().time()
        w.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(2.9)
        half = await asyncio.open_connection(*w.address)
        half[1].write(message("half")[:-3])
        async with asyncio.timeout(HANG):
            for reader, writer in resting:
                await expect_close_without_reset(reader)
                writer.write(message("late"))  # half-closed: it may still write
            answer = await half[0].read()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"Connection: close" in answer
            assert await w.process.wait() == 0
        assert asyncio.get_running_loop().time() - began < 3.7 + 0.5  # SIGKILL comes from 3.7 s on
        for _, writer in (*resting, half):
            writer.close()
        await w.start()
        assert await w.hand_in("again") == 202
        await w.until(lambda: "again" in host.ids)
        assert not {"half", "late"} & set(host.ids)

    run(scenario, tmp_path)


def test_disconnects_floods_and_slow_clients_harm_nobody(tmp_path: Path) -> None:
    """Bursts of clients that disconnect at once, that send much, or that send a byte now and then."""

    async def scenario(w: World) -> None:
        host = await w.host(deliver)
        await w.start()
        loop = asyncio.get_running_loop()

        async def leave(number: int) -> None:
            reader, writer = await asyncio.open_connection(*w.address)
            writer.write(message(f"leaver{number}"))
            if number % 3 == 0:
                assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
            if number % 2:  # with a reset
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

        async def flood(number: int) -> None:
            _, writer = await asyncio.open_connection(*w.address)
            writer.write(message(f"flood{number}", Content_Length="60000") + b"z" * (2 << 20))
            await asyncio.sleep(0)
            writer.transport.abort()

        async def write_slowly() -> bytes:
            reader, writer = await asyncio.open_connection(*w.address)
            heard = asyncio.create_task(reader.read())
            for byte in message("slow"):
                writer.write(bytes([byte]))
                if (await asyncio.wait([heard], timeout=0.2))[0]:
                    break
            writer.close()
            return await heard

        slow = asyncio.create_task(write_slowly())
        async with asyncio.timeout(HANG):
            await asyncio.gather(*(leave(n) for n in range(60)), *(flood(n) for n in range(10)))
            began = loop.time()
            assert await w.hand_in("good") == 202
            assert loop.time() - began < 5
            assert (await slow).startswith(b"HTTP/1.1 408 ")
        await w.until(lambda: "good" in host.ids)
        taken = {f"leaver{n}" for n in range(0, 60, 3)}
        await w.until(lambda: taken <= set(host.ids))  # each that had its 202
        assert len(host.ids) == len(set(host.ids))

    run(scenario, tmp_path)
