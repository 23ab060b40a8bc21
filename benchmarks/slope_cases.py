"""What one size costs, each in a process of its own, which benchmarks.slopes starts.

python -m benchmarks.slope_cases CASE SIZE SEED [quick]; the last line is JSON: figure -> value. Processor
time is user and system time of the process, not time on the wall; memory is the unique set size (USS), bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import random
import resource
import selectors
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil

from benchmarks import fleet_peers
from benchmarks.process import ROOT, cpu_seconds
from benchmarks.watch_server import row
from loftrelay.config.platform import Config
from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.simulator import read_settings
from loftrelay.discovery.client import DiscoveryClient
from loftrelay.discovery.endpoint_list import decode_list
from loftrelay.discovery.http_client import DiscoveryHttpClient
from loftrelay.gossip.codec import decode, encode
from loftrelay.gossip.messages import Datagram, MemberState, Peer, Ping
from loftrelay.gossip.swim import Membership
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address
from loftrelay.relay.engine import Engine
from loftrelay.service.assembly import build_engine
from loftrelay.simulation.fleet import MS, SECOND, SimulatedFleet, SimulatedRelay
from tests.standins.harness import SETTINGS, RelayHarness, free_port, respond_ok
from tests.standins.harness import StubServer as Host
from tests.standins.submissions import Client, Submission, SubmissionLog

NOBODY = ("127.0.0.1", 9)  # where connections are refused
Figures = dict[str, float]


def uss(pid: int | None = None) -> int:
    gc.collect()
    return int(psutil.Process(pid).memory_full_info().uss)


def whole_list(size: int) -> bytes:
    told = {"revision": 2, "complete": True, "members": [row(number) for number in range(size)]}
    return json.dumps(told).encode()


# The module


def listing_change(size: int, times: int = 40) -> Figures:
    """Processor time of the module's whole turn in which one entry of so many changes: it drains, goes,
    comes back, and is listed once more as it was."""
    entries = [
        EndpointEntry(f"host-{number:06d}", number, EndpointState.ACTIVE, "a", "plain", None)
        for number in range(size)
    ]
    before = uss()
    scheduler = Scheduler(1, read_settings(SETTINGS))
    scheduler.handle_batch(SECOND, [EndpointListReceived(EndpointListKind.FULL, tuple(entries))])
    grown = uss() - before
    spent = []
    for time_ in range(times):
        entry = entries[(time_ // 4 * 7919) % size]
        state = (EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.ACTIVE, EndpointState.ACTIVE)[
            time_ % 4
        ]
        event = EndpointListReceived(EndpointListKind.DELTA, (replace(entry, state=state),))
        began = time.process_time()
        scheduler.handle_batch(2 * SECOND + time_ * SECOND, [event])
        spent.append(time.process_time() - began)
    return {"change_us": sorted(spent)[len(spent) // 2] * 1e6, "module_bytes": grown}


# The list


class Passes(selectors.EpollSelector):
    """Processor time of each pass of a loop, from one wait to the next."""

    def __init__(self) -> None:
        super().__init__()
        self.back = time.thread_time()
        self.longest = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.longest = max(self.longest, time.thread_time() - self.back)
        ready = super().select(timeout)
        self.back = time.thread_time()
        return ready


def looped(main: Callable[[Passes], Coroutine[Any, Any, Figures]]) -> Figures:
    passes = Passes()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(passes)) as runner:
        return runner.run(main(passes))


def made(folder: Path) -> Engine:
    """A relay's engine, delivery, list and notices, with nobody at the other end."""
    settings = replace(read_settings(SETTINGS), polls_endpoint_list=True, awaits_final_status=True)
    return build_engine(Config("n", NOBODY, NOBODY, folder, 1, 100, 100, 1_000_000, settings, {}))[0]


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def listed(size: int) -> Figures:
    """A whole list taken, its bytes at hand: read as the watch reads it and told to the engine in one pass,
    and the module's turn in the next. The socket and h11 are not in it, nor the cap on an answer's length
    (net/http.py, MOST_BODY): over it a relay never comes so far. First ten entries, so that what is made once
    is not counted; then the same list again, as after a failed watch."""
    body = whole_list(size)

    async def main(passes: Passes) -> Figures:
        with tempfile.TemporaryDirectory() as folder:
            engine = made(Path(folder))

            def take(told: bytes) -> None:
                received = decode_list(json.loads(told))
                form = EndpointListKind.FULL if received.is_complete else EndpointListKind.DELTA
                listing = EndpointListReceived(form, tuple(entry for entry, _ in received.rows))
                engine.endpoints.list_received(
                    listing, {entry.endpoint: place for entry, place in received.rows}
                )

            async def taken(told: bytes, count: int) -> float:
                began = time.process_time()
                asyncio.get_running_loop().call_soon(take, told)
                await asyncio.sleep(0)
                await until(
                    lambda: (
                        not engine.context.batch_loop.is_batch_due
                        and len(engine.context.scheduler.state.endpoints) == count
                    )
                )
                return time.process_time() - began

            await taken(whole_list(10), 10)
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
            before = uss()
            passes.longest = 0.0
            passes.back = time.thread_time()
            first, longest = await taken(body, size), 0.0
            longest = passes.longest
            peak = max(0, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 - peak)
            grown = uss() - before
            again = await taken(body, size)
            engine.context.status_reporter.close()
            engine.context.discovery.close()
            engine.context.delivery.close()
            return {
                "list_bytes": grown,
                "list_peak_bytes": peak,
                "list_cpu_s": first,
                "standstill_s": longest,
                "again_cpu_s": again,
                "body_bytes": len(body),
            }

    return looped(main)


# What is held


CLIENTS, DOWN, LIVE, WINDOW = 32, 10, 2, 500
HOUR_MS = 3_600_000
# Nothing ends while it is measured: long deadlines, many tries, more room than is used.
HOLDING: dict[str, Any] = {
    "classes": [{**about, "deadline": HOUR_MS * MS} for about in SETTINGS["classes"]],
    "policy_limits": {**SETTINGS["policy_limits"], "most_held": 1_000_000, "most_tries": 100_000},
}
ASK_READY = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
RATE, DOWN_PART = 192, 0.046  # messages a second, of these to who is down
DRAINED = 15.0  # seconds at the most


def written(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


async def hand_in(client: Client, name: str, destination: int) -> None:
    """Until it is taken on."""
    order = Submission(name, "status", destination, timeout_s=HOUR_MS / 1000)
    while (status := await client.submit(order)) != 202:
        if status != 503:
            raise RuntimeError(f"{name} is answered {status}")
        await asyncio.sleep(0.01)


async def take_on(world: RelayHarness, first: int, last: int, destinations: int) -> None:
    """Messages first to last, by clients on kept connections, each as soon as its last one was answered."""
    account, numbers = SubmissionLog(), iter(range(first, last))

    async def go() -> None:
        client = Client(world, account)
        for number in numbers:
            await hand_in(client, f"m{number:07d}", 1 + number % destinations)
        client.close()

    await asyncio.gather(*(go() for _ in range(CLIENTS)))


async def traffic(world: RelayHarness, of: str, seconds: float) -> int:
    """What a relay is given at the target, evenly in time: to the live destinations, and a part to those that
    are down. Gives how many messages."""
    account, chance, count = SubmissionLog(), random.Random(1), int(RATE * seconds)
    loop = asyncio.get_running_loop()
    began, numbers = loop.time(), iter(range(count))

    async def go() -> None:
        client = Client(world, account)
        for number in numbers:
            await asyncio.sleep(max(0.0, began + number / RATE - loop.time()))
            down = chance.random() < DOWN_PART
            await hand_in(client, f"{of}{number}", 1 + number % DOWN if down else DOWN + 1 + number % LIVE)
        client.close()

    await asyncio.gather(*(go() for _ in range(CLIENTS)))
    return count


async def outstanding(world: RelayHarness) -> int:
    lines = (await world.call_admin("show-stat")).split()
    return next(int(line.partition("=")[2]) for line in lines if line.startswith("app.outstanding="))


async def ready(world: RelayHarness) -> int:
    """Until a relay that has just been started says that it serves. Its number."""
    while True:
        with contextlib.suppress(OSError):
            if (await world.send(ASK_READY))[0] == 200:
                assert world.process is not None
                return world.process.pid
        await asyncio.sleep(0.005)


def holder(folder: Path) -> RelayHarness:
    world = RelayHarness(folder, **HOLDING)
    world.limits = {"sockets": 512, "disk_mb": 400}
    world.admin_address = f"127.0.0.1:{free_port()}"
    return world


async def _held(size: int, seconds: float, folder: Path) -> Figures:
    async with holder(folder) as world:
        for destination in range(1, DOWN + 1):
            world.add_endpoint(destination, "plain", "Ready", "{}:{}".format(*NOBODY))
        for destination in range(DOWN + 1, DOWN + LIVE + 1):
            await world.start_host(respond_ok, destination)
        await world.start()
        pid, state = await ready(world), folder / "state"
        memory, journal = uss(pid), written(state)
        await take_on(world, 0, size - WINDOW, DOWN)
        before = cpu_seconds(pid)
        await take_on(world, size - WINDOW, size, DOWN)
        taking = (cpu_seconds(pid) - before) / WINDOW
        memory, journal = uss(pid) - memory, written(state) - journal
        if (count := await outstanding(world)) != size:
            raise RuntimeError(f"{count} are held, not {size}")
        await world.kill()
        began = time.monotonic()
        await world.start()
        pid = await ready(world)
        started, cpu = time.monotonic() - began, cpu_seconds(pid)
        if (count := await outstanding(world)) != size:
            raise RuntimeError(f"{count} are held after the start, not {size}")
        await traffic(world, "w", seconds / 2)
        before = cpu_seconds(pid)
        beside = await traffic(world, "b", seconds)
        passing = (cpu_seconds(pid) - before) / beside
    return {
        "held_bytes": memory,
        "journal_bytes": journal,
        "take_us": taking * 1e6,
        "start_s": started,
        "start_cpu_s": cpu,
        "beside_us": passing * 1e6,
    }


def held(size: int, seconds: float) -> Figures:
    """A relay as a process holds so many messages for ten destinations that are down: they refuse
    connections. Memory and journal with bodies of five bytes. Taking on one message more, by 32 clients as
    fast as it goes, the last 500; then it is killed and started: until it says ready, on the wall, and the
    processor time until then, the interpreter's start (size 0) in both; last a message of the target's
    traffic, taken on and delivered, beside what is held. Processor time is counted by the system in
    hundredths of a second."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_held(size, seconds, Path(folder)))


async def _drain(size: int, folder: Path) -> Figures:
    async with holder(folder) as world:
        port = free_port()
        world.add_endpoint(1, "plain", "Ready", f"127.0.0.1:{port}")
        await world.start()
        pid = await ready(world)
        await take_on(world, 0, size, 1)
        peer = Host(world, respond_ok)
        await peer.start(port)
        world.servers.append(peer)
        await world.wait_until(lambda: peer.response_count >= 20)
        began, before, first = time.monotonic(), cpu_seconds(pid), peer.response_count
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAINED):
                await world.wait_until(lambda: peer.response_count >= first + size // 4)
        count, took = peer.response_count - first, time.monotonic() - began
        cpu = cpu_seconds(pid) - before
    return {"drain_us": cpu / count * 1e6, "drained_per_s": count / took, "drained": count}


def drain(size: int) -> Figures:
    """So many messages wait for one destination that comes up: processor time of the relay for each that is
    delivered, and how many a second, from the twentieth on until a quarter is, or for 15 s."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_drain(size, Path(folder)))


# A watch on the socket


HELD_MS = 60  # a watch that is answered sooner is followed by a pause (discovery/client.py)


async def _watch(entries: int, watches: int) -> Figures:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.watch_server",
        str(entries),
        str(HELD_MS),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        address = "127.0.0.1", int(await process.stdout.readline())
        seen, enough, wanted = 0, asyncio.Event(), watches // 5

        def tell(listing: EndpointListReceived, _: Any) -> None:
            nonlocal seen
            if listing.kind is not EndpointListKind.DELTA or len(listing.entries) != entries:
                raise RuntimeError(f"the watch brought {listing.kind}, {len(listing.entries)} entries")
            seen += 1
            if seen >= wanted:
                enough.set()

        counter = DiscoveryHttpClient(address)

        async def counts() -> dict[str, float]:
            told: dict[str, float] = json.loads((await counter.request("GET", "/counts", 10)).body)
            return told

        discovery = DiscoveryClient(address, None, tell)
        discovery.resume(1)
        async with asyncio.timeout(60):
            await enough.wait()
        # Asked right after an answer, while the next watch is held: no request is on its way.
        before, first, began = await counts(), seen, time.process_time()
        wanted = seen + watches
        enough.clear()
        async with asyncio.timeout(120):
            await enough.wait()
        spent, number = time.process_time() - began, seen - first
        after = await counts()
        discovery.close()
        counter.close()
    finally:
        process.stdin.close()
        await process.wait()
    answered = after["watches"] - before["watches"]
    return {
        "watch_us": spent / number * 1e6,
        "server_us": (after["cpu"] - before["cpu"]) / answered * 1e6,
        "to_relay": (after["sent"] - before["sent"]) / answered,
        "from_relay": (after["heard"] - before["heard"]) / answered,
    }


def watch(size: int, watches: int) -> Figures:
    """A watch that ends with so many changed entries, answered and renewed on its kept connection: processor
    time on the relay's side (request, h11, JSON, entries, without engine and module) and on that of a server
    in asyncio and h11, which writes each answer anew; bytes of HTTP both ways, without TCP and IP."""
    return asyncio.run(_watch(size, watches))


# The fleet's membership


SETTLED = 5  # beats that are watched in the steady state, at the least
SETTLED_S = 2  # and seconds of virtual time, at the least
LONGEST_NEWS = 120  # seconds of virtual time for a death or a start to be known


class Weighed(SimulatedFleet):
    """Counts what relays send and hear as bytes on the wire, and times what a relay does itself: membership
    and the coding of datagrams. It has no sockets, and the model's queue is in it."""

    def __init__(self, *told: Any, **more: Any) -> None:
        self.clear()
        super().__init__(*told, **more)

    def clear(self) -> None:
        self.sent = self.received = self.datagrams = 0
        self.sent_by: Counter[str] = Counter()
        self.received_by: Counter[str] = Counter()
        self.spent = 0.0

    def _tick(self, name: str, node: SimulatedRelay, due: int) -> None:
        began = time.thread_time()
        super()._tick(name, node, due)
        self.spent += time.thread_time() - began

    def _receive(self, address: Address, datagram: Datagram, source: Address) -> None:
        # A dead relay's address takes what comes, and nobody reads it.
        name = self.key_by_address[address]
        if self.relays[name].is_running:
            data = encode("fleet", datagram, [])
            self.received += len(data)
            self.received_by[name] += len(data)
            began = time.thread_time()
            _, datagram, _ = decode(data)
            super()._receive(address, datagram, source)
            self.spent += time.thread_time() - began

    def _send(self, name: str, source: Address, address: Address, datagram: Datagram) -> None:
        weight = len(encode("fleet", datagram, []))
        self.sent += weight
        self.sent_by[name] += weight
        self.datagrams += 1
        super()._send(name, source, address, datagram)


def acquainted(count: int, timing: SwimConfig, seed: int) -> Weighed:
    """All know all from the start, and nothing is news: what a fleet comes to when it has told everything."""
    fleet = Weighed(count, seed, timing)
    fleet.events.clear()
    everybody = [node.membership.local.peer for node in fleet.relays.values()]
    for name, node in fleet.relays.items():
        fleet_peers.set_known_peers(node.membership, everybody)
        node.membership.sequence_number = 0
        node.next_tick_us = -1
        fleet._schedule_tick(name)
    return fleet


def known_by_all(fleet: SimulatedFleet, name: str, there: bool, stop: int) -> float:
    """Seconds of virtual time until each relay that is up holds this one to be there, in the life it has, or
    to be gone. NaN: not by then."""
    life = fleet.relays[name].membership.local.peer.incarnation_id

    def told() -> bool:
        for other, node in fleet.relays.items():
            if other == name or not node.is_running:
                continue
            known = node.membership.members.get(name)
            gone = known is None or known.peer.state is MemberState.DEAD
            if gone if there else not gone:
                return False
            if there and known is not None and known.peer.incarnation_id != life:
                return False
        return True

    took = fleet.run_while(lambda: not told(), stop * SECOND, 100 * MS)
    return took / SECOND if told() else float("nan")


def membership(size: int, beat: int, seed: int) -> Figures:
    """In virtual time over links without loss. Bytes are of datagrams, without 28 bytes of IP and UDP each.

    First the steady state: for 5 beats and 2 s at the least. Then one dies, and when all hold it to be gone
    it starts again with nothing that it knew, under a new life. What all send beyond the steady state from
    then on, for 30 beats, is `restart_bytes`, for each relay: what it learns later itself is `newcomer`."""
    gc.disable()  # of millions of objects of thousands of relays: no relay of its own pays for that
    timing = SwimConfig(beat, 5 * beat)
    fleet = acquainted(size, timing, seed)
    # Two rounds of probes, so that answers are on their way, then the watch.
    fleet.run(fleet.now_us + 2 * beat)
    fleet.clear()
    span = max(SETTLED * beat, SETTLED_S * SECOND)
    began = time.process_time()
    fleet.run(fleet.now_us + span)
    whole = time.process_time() - began
    seconds = span / SECOND
    steady = fleet.sent / size / seconds
    figures = {
        "sent_per_s": steady,
        "received_per_s": fleet.received / size / seconds,
        "datagrams_per_s": fleet.datagrams / size / seconds,
        "cpu_ms_per_s": fleet.spent / size / seconds * 1e3,
        "model_ms_per_s": whole / size / seconds * 1e3,
    }
    name = f"r{size // 2}"
    fleet.kill(name)
    figures["death_s"] = known_by_all(fleet, name, False, LONGEST_NEWS)
    fleet.run(fleet.now_us + 10 * beat)  # what was told of the death is told often enough
    fleet.clear()
    began_at = fleet.now_us
    fleet.start(name, fleet.relays[name].address)
    figures["start_known_s"] = known_by_all(fleet, name, True, LONGEST_NEWS)
    fleet.run(max(fleet.now_us, began_at + 30 * beat))
    more = fleet.sent / size - steady * (fleet.now_us - began_at) / SECOND
    figures["restart_bytes"] = more
    return figures


def newcomer(size: int, beat: int, seed: int) -> Figures:
    """One starts anew where all know all: virtual time until it knows all, and what it sends and hears
    meanwhile."""
    gc.disable()
    fleet = acquainted(size, SwimConfig(beat, 5 * beat), seed)
    name = f"r{size // 2}"
    fleet.run(fleet.now_us + 2 * beat)
    fleet.start(name, fleet.relays[name].address)
    fleet.clear()
    view = fleet.relays[name].membership
    took = fleet.run_while(lambda: len(view.members) < size - 1, 600 * SECOND, 100 * MS) / SECOND
    return {
        "knows_all_s": took,
        "newcomer_sent": fleet.sent_by[name],
        "newcomer_received": fleet.received_by[name],
    }


def joining(size: int, beat: int, seed: int) -> Figures:
    """All start at once and know two seeds: virtual time until all know all, and what that costs a relay."""
    gc.disable()
    fleet = Weighed(size, seed, SwimConfig(beat, 5 * beat))

    def apart() -> bool:
        short = any(len(node.membership.members) < size - 1 for node in fleet.relays.values())
        return short or not fleet.is_converged()

    took = fleet.run_while(apart, 600 * SECOND, 250 * MS)
    return {
        "all_know_all_s": took / SECOND,
        "joining_cpu_s": fleet.spent / size,
        "joining_bytes": fleet.sent / size,
    }


async def _sockets(size: int, seconds: float) -> Figures:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.fleet_peers",
        str(size - 1),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    node, view = await fleet_peers.open_node("me")
    try:
        others = json.loads(await process.stdout.readline())
        fleet_peers.set_known_peers(view, [fleet_peers.parse_peer(other) for other in others])
        process.stdin.write(json.dumps(fleet_peers.describe(view)).encode() + b"\n")
        await asyncio.sleep(1.0)
        sent, heard = node.counters["sent"], node.counters["received"]
        began, cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(seconds)
        took, spent = time.monotonic() - began, time.process_time() - cpu
        sent, heard = node.counters["sent"] - sent, node.counters["received"] - heard
        if len(view.live_peers()) != size - 1:
            raise RuntimeError("one is held to be gone")
    finally:
        node.close()
        process.stdin.close()
        await process.wait()
    return {
        "relay_ms_per_s": spent / took * 1e3,
        "sent_per_s": sent / took,
        "heard_per_s": heard / took,
    }


def sockets(size: int, seconds: float) -> Figures:
    """One relay's socket and membership in a process of its own, on loopback at a beat of 200 ms, all others
    in another process, where all know all: what the model leaves out is in it."""
    return asyncio.run(_sockets(size, seconds))


def member_memory(size: int, views: int = 16) -> Figures:
    """Memory of one relay's view of so many, as it has them from datagrams: none of it shared with others."""
    peers = [
        Peer(f"relay-{number:05d}", (f"10.0.{number >> 8}.{number & 255}", 7400), number + 1, 1)
        for number in range(size)
    ]
    datagrams = [
        encode("fleet", Ping(1, "", peers[first], tuple(peers[first : first + 20])), [])
        for first in range(0, size, 20)
    ]
    before = uss()
    made = []
    for number in range(views):
        view = Membership(f"me{number}", NOBODY, 1, 1, [], SwimConfig(200 * MS, SECOND), number)
        for data in datagrams:
            view.handle(SECOND, decode(data)[1], NOBODY)
        made.append(view)
    grown = uss() - before
    if any(len(view.members) != size for view in made):
        raise RuntimeError("not all are known")
    return {"view_bytes": grown / views}


CASES: dict[str, Callable[[int, int, bool], Figures]] = {  # size, seed, whether to be quick -> figures
    "listing_change": lambda size, _, quick: listing_change(size),
    "listed": lambda size, _, quick: listed(size),
    "held": lambda size, _, quick: held(size, 1.0 if quick else 5.0),
    "drain": lambda size, _, quick: drain(size),
    "watch": lambda size, _, quick: watch(size, 15 if quick else 150 if size <= 100 else 40),
    "membership_200ms": lambda size, seed, quick: membership(size, 200 * MS, seed),
    "membership_1000ms": lambda size, seed, quick: membership(size, 1000 * MS, seed),
    "newcomer_200ms": lambda size, seed, quick: newcomer(size, 200 * MS, seed),
    "joining_200ms": lambda size, seed, quick: joining(size, 200 * MS, seed),
    "joining_1000ms": lambda size, seed, quick: joining(size, 1000 * MS, seed),
    "sockets": lambda size, _, quick: sockets(size, 1.0 if quick else 10.0),
    "member_memory": lambda size, _, quick: member_memory(size),
}

if __name__ == "__main__":
    logging.disable(logging.WARNING)
    name, size, seed = sys.argv[1:4]
    print(json.dumps(CASES[name](int(size), int(seed), sys.argv[4:] == ["quick"])))
