"""A change counts as received 6 s after discovery had it and could be reached, whatever became of calls."""

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
from tests.standins.platform import SETTINGS, Peer, Request, World, deliver, never, reply, run

TOLD = 6.0  # seconds
DOWN = 3.0  # for which discovery fails, long enough for the longest pause between calls
HANGS = 8.0  # for which it says nothing: then a call to it that began late is out

Fault = Callable[[World, Request], Awaitable[bytes | None]]


async def change(w: World) -> tuple[Peer, Peer]:
    """The host of destination 1 drains and another takes its place; destination 2 is new."""
    old, new = w.peers[1], await w.peer(deliver)
    w.members[0]["phase"] = "Terminating"
    for dest in (1, 2):
        w.list_host(dest, "plain", "Ready", new.address)
    return old, new


async def goes_by_it(w: World, since: float, old: Peer, new: Peer) -> None:
    await w.hand_in_once_listed("told", 2)
    assert asyncio.get_running_loop().time() - since < TOLD
    calls = len(old.requests)
    assert await w.hand_in("drained", dest=1) == 202
    await w.until(lambda: "drained" in new.ids)
    assert len(old.requests) == calls


async def half(w: World, request: Request) -> bytes | None:
    return reply(200, json.dumps(w.whole_list()).encode())[:-9]


async def head(w: World, request: Request) -> bytes | None:
    return b"HTTP/1.1 200 OK\r\nContent-Le"


async def endless(w: World, request: Request) -> bytes | None:
    transport = w.discovery.connections[request.connection - 1].transport
    transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        transport.write(b"3\r\n   \r\n")
        await asyncio.sleep(0.05)


async def silent(w: World, request: Request) -> bytes | None:
    return await never(request)


async def unavailable(w: World, request: Request) -> bytes | None:
    return reply(503)


async def reset(w: World, request: Request) -> bytes | None:
    w.discovery.connections[request.connection - 1].transport.abort()
    return None


@pytest.mark.parametrize("fault", [silent, head, half, endless], ids=lambda fault: fault.__name__)
def test_change_right_after_a_broken_watch_is_received_in_time(tmp_path: Path, fault: Fault) -> None:
    """Nothing but time tells that it is broken."""

    async def scenario(w: World) -> None:
        made: asyncio.Future[tuple[float, Peer, Peer]] = asyncio.get_running_loop().create_future()

        async def listed(request: Request) -> bytes | None:
            if "wait=" not in request.target or "wait=0" in request.target or made.done():
                return b""
            made.set_result((asyncio.get_running_loop().time(), *await change(w)))
            return await fault(w, request)

        await w.host(deliver)
        w.list_answer = listed
        await w.start()
        async with asyncio.timeout(TOLD):
            since, old, new = await made
        await goes_by_it(w, since, old, new)

    run(scenario, tmp_path)


@pytest.mark.parametrize("fault", [silent, unavailable, reset, half], ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("start", [False, True], ids=["in service", "through a start"])
def test_change_is_received_in_time_after_discovery_recovers(
    tmp_path: Path, fault: Fault, start: bool
) -> None:
    async def scenario(w: World) -> None:
        await w.host(deliver)
        if not start:
            await w.start()
            await w.until(lambda: any("index=" in r.target for r in w.discovery.requests))
        w.list_answer = lambda request: fault(w, request)
        w.discovery.close_connections()
        if start:
            await w.start()
        await asyncio.sleep(HANGS if fault in (silent, half) else DOWN)
        w.list_answer = None
        since = asyncio.get_running_loop().time()
        await goes_by_it(w, since, *await change(w))

    run(scenario, tmp_path)


def test_exception_in_the_watch_does_not_end_it(tmp_path: Path) -> None:
    """The module hears that it failed, and asks anew."""

    async def scenario(w: World) -> None:
        heard: list[EndpointListKind] = []

        def tell(listing: EndpointListReceived, addresses: object) -> None:
            heard.append(listing.kind)
            w.bump()
            if len(heard) == 1:
                raise KeyError("a fault")

        host, _, port = w.discovery.address.rpartition(":")
        discovery = DiscoveryClient((host, int(port)), 10_000_000, tell)
        discovery.watch()
        await w.until(lambda: heard == [EndpointListKind.FULL, EndpointListKind.FAILED])
        discovery.watch()
        await w.until(lambda: len(heard) == 3)
        discovery.close()

    run(scenario, tmp_path)


@pytest.mark.parametrize("way", ["refused", "never comes up"])
def test_change_is_received_in_time_despite_failing_connections(tmp_path: Path, way: str) -> None:
    """Its port is shut, or its queue is full, and answers nobody: then it is there again."""

    async def scenario(w: World) -> None:
        await w.host(deliver)
        await w.start()
        await w.until(lambda: any("index=" in r.target for r in w.discovery.requests))
        assert w.discovery.server is not None
        port = w.discovery.server.sockets[0].getsockname()[1]
        w.discovery.server.close()
        w.discovery.close_connections()
        loop, waiting = asyncio.get_running_loop(), list[socket.socket]()
        if way == "refused":
            await asyncio.sleep(DOWN)
            await w.discovery.start(port)
        else:
            full = socket.create_server(("127.0.0.1", port), backlog=0)
            for _ in range(3):  # what the queue holds, and more
                waiting.append(socket.socket())
                waiting[-1].setblocking(False)
                waiting[-1].connect_ex(("127.0.0.1", port))
            await asyncio.sleep(DOWN)
            full.close()
            for waiter in waiting:
                waiter.close()
            await w.discovery.start(port)
        since = loop.time()
        await goes_by_it(w, since, *await change(w))

    run(scenario, tmp_path)


def test_change_is_received_in_time_with_descriptors_exhausted(tmp_path: Path) -> None:
    """Discovery, notices, hosts and the journal still get theirs, and a new request gets an answer."""

    async def scenario(w: World) -> None:
        async def fail(request: Request) -> bytes | None:
            return reply(500)

        await w.host(deliver)
        await w.host(fail, dest=3)
        w.limits["sockets"] = 100
        await w.start()
        assert w.process is not None
        assert w.discovery.server is not None
        resource.prlimit(w.process.pid, resource.RLIMIT_NOFILE, (100, 100))
        port = w.discovery.server.sockets[0].getsockname()[1]
        w.discovery.server.close()
        w.discovery.close_connections()
        idle = [await asyncio.open_connection(*w.address) for _ in range(300)]
        filling = asyncio.create_task(keep_full(w, idle))
        assert await w.hand_in("failed", "order", dest=3) == 202
        await asyncio.sleep(DOWN)
        await w.discovery.start(port)
        since = asyncio.get_running_loop().time()
        await goes_by_it(w, since, *await change(w))
        await w.until(lambda: [notice["id"] for notice in w.notices] == ["failed"])
        filling.cancel()
        for _, writer in idle:
            writer.close()
        assert not any("Too many open files" in line for line in w.log)

    run(scenario, tmp_path, policy_limits={**SETTINGS["policy_limits"], "most_tries": 1})


async def keep_full(w: World, idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]) -> None:
    """Whoever the relay ends comes again, and says nothing."""
    while True:
        idle.append(await asyncio.open_connection(*w.address))
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("fault", [silent, unavailable, reset, half], ids=lambda fault: fault.__name__)
def test_reload_moves_discovery_while_it_fails(tmp_path: Path, fault: Fault) -> None:
    """And the first call at the new address fails, too."""

    async def scenario(w: World) -> None:
        await w.host(deliver)
        await w.start()
        await w.until(lambda: any("index=" in r.target for r in w.discovery.requests))
        w.list_answer = lambda request: fault(w, request)
        w.discovery.close_connections()
        await asyncio.sleep(1.0)

        async def elsewhere(request: Request) -> bytes | None:
            w.list_answer = None
            return reply(503) if len(there.requests) == 1 else await w.discover(request)

        there = await w.peer(elsewhere)
        old, new = await change(w)
        w.configure(there.address)
        since = asyncio.get_running_loop().time()
        w.reload()
        await goes_by_it(w, since, old, new)

    run(scenario, tmp_path)
