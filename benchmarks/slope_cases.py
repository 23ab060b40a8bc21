"""Measure a case at one size. benchmarks.slopes runs this module in a process of its own for each run.

python -m benchmarks.slope_cases CASE SIZE SEED [quick]; the last line is JSON: figure -> value. CPU time is
user and system time of the process, not elapsed time; memory is the unique set size (USS) in bytes.
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
from benchmarks.watch_server import make_entry
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
from tests.standins.harness import SETTINGS, RelayHarness, StubServer, free_port, respond_ok
from tests.standins.submissions import Client, Submission, SubmissionLog

UNUSED_ADDRESS = ("127.0.0.1", 9)  # refuses connections
Figures = dict[str, float]


def memory_bytes(pid: int | None = None) -> int:
    gc.collect()
    return int(psutil.Process(pid).memory_full_info().uss)


def encode_full_list(size: int) -> bytes:
    endpoint_list = {
        "revision": 2,
        "complete": True,
        "members": [make_entry(number) for number in range(size)],
    }
    return json.dumps(endpoint_list).encode()


# Decision module


def listing_change(size: int, times: int = 40) -> Figures:
    """Measures the CPU time of a decision module's batch in which one of `size` listed entries changes.

    The entry becomes draining, is removed, comes back, and is listed once more unchanged.
    """
    entries = [
        EndpointEntry(f"host-{number:06d}", number, EndpointState.ACTIVE, "a", "plain", None)
        for number in range(size)
    ]
    before = memory_bytes()
    scheduler = Scheduler(1, read_settings(SETTINGS))
    scheduler.handle_batch(SECOND, [EndpointListReceived(EndpointListKind.FULL, tuple(entries))])
    memory_growth = memory_bytes() - before
    durations = []
    for repetition in range(times):
        entry = entries[(repetition // 4 * 7919) % size]
        state = (EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.ACTIVE, EndpointState.ACTIVE)[
            repetition % 4
        ]
        event = EndpointListReceived(EndpointListKind.DELTA, (replace(entry, state=state),))
        started = time.process_time()
        scheduler.handle_batch(2 * SECOND + repetition * SECOND, [event])
        durations.append(time.process_time() - started)
    return {"change_us": sorted(durations)[len(durations) // 2] * 1e6, "module_bytes": memory_growth}


# Endpoint list


class TimedSelector(selectors.EpollSelector):
    """Selector that measures the CPU time of each event loop iteration, from one wait to the next."""

    def __init__(self) -> None:
        super().__init__()
        self.wait_ended_at = time.thread_time()
        self.longest_iteration_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        self.longest_iteration_s = max(self.longest_iteration_s, time.thread_time() - self.wait_ended_at)
        ready = super().select(timeout)
        self.wait_ended_at = time.thread_time()
        return ready


def run_with_timed_selector(main: Callable[[TimedSelector], Coroutine[Any, Any, Figures]]) -> Figures:
    selector = TimedSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(main(selector))


def build_idle_engine(folder: Path) -> Engine:
    """Builds an engine with delivery, discovery and status reports whose peers refuse connections."""
    settings = replace(read_settings(SETTINGS), polls_endpoint_list=True, awaits_final_status=True)
    return build_engine(
        Config("n", UNUSED_ADDRESS, UNUSED_ADDRESS, folder, 1, 100, 100, 1_000_000, settings, {})
    )[0]


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)


def listed(size: int) -> Figures:
    """Measures how a relay processes a full endpoint list whose bytes it has received.

    The list is decoded as the watch decodes it and passed to the engine in one loop iteration; the decision
    module's batch runs in the next. The socket, h11 and the limit on the length of a response body
    (MAX_BODY_BYTES of net/http.py), beyond which a relay refuses the list, are left out. A list of ten
    entries comes first, so that one-time allocations are not counted; at last the same list is processed
    again, as after a failed watch.
    """
    body = encode_full_list(size)

    async def main(selector: TimedSelector) -> Figures:
        with tempfile.TemporaryDirectory() as folder:
            engine = build_idle_engine(Path(folder))

            def deliver_list(data: bytes) -> None:
                received = decode_list(json.loads(data))
                kind = EndpointListKind.FULL if received.is_complete else EndpointListKind.DELTA
                listing = EndpointListReceived(kind, tuple(entry for entry, _ in received.rows))
                engine.endpoints.list_received(
                    listing, {entry.endpoint: address for entry, address in received.rows}
                )

            async def process_list(data: bytes, count: int) -> float:
                started = time.process_time()
                asyncio.get_running_loop().call_soon(deliver_list, data)
                await asyncio.sleep(0)
                await wait_until(
                    lambda: (
                        not engine.context.batch_loop.is_batch_due
                        and len(engine.context.scheduler.state.endpoints) == count
                    )
                )
                return time.process_time() - started

            await process_list(encode_full_list(10), 10)
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
            before = memory_bytes()
            selector.longest_iteration_s = 0.0
            selector.wait_ended_at = time.thread_time()
            first_cpu_s = await process_list(body, size)
            longest_s = selector.longest_iteration_s
            peak = max(0, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024 - peak)
            memory_growth = memory_bytes() - before
            again_cpu_s = await process_list(body, size)
            engine.context.status_reporter.close()
            engine.context.discovery.close()
            engine.context.delivery.close()
            return {
                "list_bytes": memory_growth,
                "list_peak_bytes": peak,
                "list_cpu_s": first_cpu_s,
                "standstill_s": longest_s,
                "again_cpu_s": again_cpu_s,
                "body_bytes": len(body),
            }

    return run_with_timed_selector(main)


# Held messages


CLIENTS, DOWN_DESTINATIONS, LIVE_DESTINATIONS, MEASURED_MESSAGES = 32, 10, 2, 500
HOUR_MS = 3_600_000
# No message ends during the measurement: long deadlines, many attempts, more capacity than is used.
HOLDING_SETTINGS: dict[str, Any] = {
    "classes": [{**message_class, "deadline": HOUR_MS * MS} for message_class in SETTINGS["classes"]],
    "policy_limits": {**SETTINGS["policy_limits"], "most_held": 1_000_000, "most_tries": 100_000},
}
READY_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
MESSAGES_PER_S, DOWN_FRACTION = 192, 0.046  # DOWN_FRACTION of the messages go to destinations that are down
DRAIN_TIMEOUT_S = 15.0


def folder_bytes(folder: Path) -> int:
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


async def submit_until_accepted(client: Client, name: str, destination: int) -> None:
    """Submits a message again until the relay accepts it. Raises RuntimeError at a status other than 503."""
    submission = Submission(name, "status", destination, timeout_s=HOUR_MS / 1000)
    while (status := await client.submit(submission)) != 202:
        if status != 503:
            raise RuntimeError(f"submission of {name} got status {status}, expected 202 or 503")
        await asyncio.sleep(0.01)


async def submit_messages(harness: RelayHarness, first: int, last: int, destinations: int) -> None:
    """Submits messages `first` to `last` by clients that keep their connections and never pause."""
    log, numbers = SubmissionLog(), iter(range(first, last))

    async def run_client() -> None:
        client = Client(harness, log)
        for number in numbers:
            await submit_until_accepted(client, f"m{number:07d}", 1 + number % destinations)
        client.close()

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))


async def run_target_traffic(harness: RelayHarness, prefix: str, seconds: float) -> int:
    """Submits messages at the target rate, evenly in time, a fraction of them to destinations that are down.

    Returns the number of messages.
    """
    log, rng, count = SubmissionLog(), random.Random(1), int(MESSAGES_PER_S * seconds)
    loop = asyncio.get_running_loop()
    started, numbers = loop.time(), iter(range(count))

    async def run_client() -> None:
        client = Client(harness, log)
        for number in numbers:
            await asyncio.sleep(max(0.0, started + number / MESSAGES_PER_S - loop.time()))
            is_down = rng.random() < DOWN_FRACTION
            await submit_until_accepted(
                client,
                f"{prefix}{number}",
                1 + number % DOWN_DESTINATIONS
                if is_down
                else DOWN_DESTINATIONS + 1 + number % LIVE_DESTINATIONS,
            )
        client.close()

    await asyncio.gather(*(run_client() for _ in range(CLIENTS)))
    return count


async def count_outstanding(harness: RelayHarness) -> int:
    lines = (await harness.call_admin("show-stat")).split()
    return next(int(line.partition("=")[2]) for line in lines if line.startswith("app.outstanding="))


async def wait_until_ready(harness: RelayHarness) -> int:
    """Waits until a relay that has just been started is ready; returns its process id."""
    while True:
        with contextlib.suppress(OSError):
            if (await harness.send(READY_REQUEST))[0] == 200:
                assert harness.process is not None
                return harness.process.pid
        await asyncio.sleep(0.005)


def make_holding_relay(folder: Path) -> RelayHarness:
    harness = RelayHarness(folder, **HOLDING_SETTINGS)
    harness.limits = {"sockets": 512, "disk_mb": 400}
    harness.admin_address = f"127.0.0.1:{free_port()}"
    return harness


async def _measure_held(size: int, seconds: float, folder: Path) -> Figures:
    async with make_holding_relay(folder) as harness:
        for destination in range(1, DOWN_DESTINATIONS + 1):
            harness.add_endpoint(destination, "plain", "Ready", "{}:{}".format(*UNUSED_ADDRESS))
        for destination in range(DOWN_DESTINATIONS + 1, DOWN_DESTINATIONS + LIVE_DESTINATIONS + 1):
            await harness.start_host(respond_ok, destination)
        await harness.start()
        pid, state = await wait_until_ready(harness), folder / "state"
        memory, journal = memory_bytes(pid), folder_bytes(state)
        await submit_messages(harness, 0, size - MEASURED_MESSAGES, DOWN_DESTINATIONS)
        before = cpu_seconds(pid)
        await submit_messages(harness, size - MEASURED_MESSAGES, size, DOWN_DESTINATIONS)
        accept_s = (cpu_seconds(pid) - before) / MEASURED_MESSAGES
        memory, journal = memory_bytes(pid) - memory, folder_bytes(state) - journal
        if (count := await count_outstanding(harness)) != size:
            raise RuntimeError(f"the relay holds {count} messages, expected {size}")
        await harness.kill()
        started = time.monotonic()
        await harness.start()
        pid = await wait_until_ready(harness)
        start_s, start_cpu_s = time.monotonic() - started, cpu_seconds(pid)
        if (count := await count_outstanding(harness)) != size:
            raise RuntimeError(f"the relay holds {count} messages after its restart, expected {size}")
        await run_target_traffic(harness, "w", seconds / 2)
        before = cpu_seconds(pid)
        count = await run_target_traffic(harness, "b", seconds)
        traffic_s = (cpu_seconds(pid) - before) / count
    return {
        "held_bytes": memory,
        "journal_bytes": journal,
        "take_us": accept_s * 1e6,
        "start_s": start_s,
        "start_cpu_s": start_cpu_s,
        "beside_us": traffic_s * 1e6,
    }


def held(size: int, seconds: float) -> Figures:
    """Measures a relay process that holds `size` messages for ten destinations that refuse connections.

    Memory and journal are for bodies of five bytes. The CPU time to accept a message is measured over the
    last 500, submitted by 32 clients without pauses. Then the relay is killed and started again: elapsed and
    CPU time until it is ready, both with the start of the interpreter (size 0). Last comes the CPU time to
    accept and deliver a message of the target's traffic while the others are held. The system counts CPU time
    in hundredths of a second.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure_held(size, seconds, Path(folder)))


async def _measure_drain(size: int, folder: Path) -> Figures:
    async with make_holding_relay(folder) as harness:
        port = free_port()
        harness.add_endpoint(1, "plain", "Ready", f"127.0.0.1:{port}")
        await harness.start()
        pid = await wait_until_ready(harness)
        await submit_messages(harness, 0, size, 1)
        host = StubServer(harness, respond_ok)
        await host.start(port)
        harness.servers.append(host)
        await harness.wait_until(lambda: host.response_count >= 20)
        started, before, first = time.monotonic(), cpu_seconds(pid), host.response_count
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await harness.wait_until(lambda: host.response_count >= first + size // 4)
        count, elapsed = host.response_count - first, time.monotonic() - started
        cpu = cpu_seconds(pid) - before
    return {"drain_us": cpu / count * 1e6, "drained_per_s": count / elapsed, "drained": count}


def drain(size: int) -> Figures:
    """Measures the delivery of `size` messages that wait for one destination once it comes up.

    Returns the relay's CPU time for a delivered message, and messages a second, from the twentieth on until a
    quarter is delivered, or for 15 s.
    """
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(_measure_drain(size, Path(folder)))


# Watch over a socket


HOLD_MS = 60  # the client pauses after a watch that is answered sooner (discovery/client.py)


async def _measure_watch(entries: int, watches: int) -> Figures:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.watch_server",
        str(entries),
        str(HOLD_MS),
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        address = "127.0.0.1", int(await process.stdout.readline())
        count, reached, wanted = 0, asyncio.Event(), watches // 5

        def on_listing(listing: EndpointListReceived, _: Any) -> None:
            nonlocal count
            if listing.kind is not EndpointListKind.DELTA or len(listing.entries) != entries:
                raise RuntimeError(
                    f"the watch returned a list of kind {listing.kind} with {len(listing.entries)} entries, "
                    f"expected {EndpointListKind.DELTA} with {entries}"
                )
            count += 1
            if count >= wanted:
                reached.set()

        counts_client = DiscoveryHttpClient(address)

        async def get_counts() -> dict[str, float]:
            counts: dict[str, float] = json.loads((await counts_client.request("GET", "/counts", 10)).body)
            return counts

        discovery = DiscoveryClient(address, None, on_listing)
        discovery.resume(1)
        async with asyncio.timeout(60):
            await reached.wait()
        # Requested right after an answer, while the server holds the next watch: no watch is in transit.
        before, first, started = await get_counts(), count, time.process_time()
        wanted = count + watches
        reached.clear()
        async with asyncio.timeout(120):
            await reached.wait()
        cpu_s, relay_watches = time.process_time() - started, count - first
        after = await get_counts()
        discovery.close()
        counts_client.close()
    finally:
        process.stdin.close()
        await process.wait()
    server_watches = after["watches"] - before["watches"]
    return {
        "watch_us": cpu_s / relay_watches * 1e6,
        "server_us": (after["cpu"] - before["cpu"]) / server_watches * 1e6,
        "to_relay": (after["sent"] - before["sent"]) / server_watches,
        "from_relay": (after["heard"] - before["heard"]) / server_watches,
    }


def watch(size: int, watches: int) -> Figures:
    """Measures a watch that ends with `size` changed entries and is renewed on its open connection.

    Returns the CPU time of the relay (request, h11, JSON, entries, without engine and decision module) and of
    a server in asyncio and h11, which encodes each answer again, and the bytes of HTTP both ways, without TCP
    and IP.
    """
    return asyncio.run(_measure_watch(size, watches))


# Fleet membership


STEADY_HEARTBEATS = 5  # minimum length of the measurement in the steady state
STEADY_S = 2  # and its minimum in seconds of virtual time
SPREAD_TIMEOUT_S = 120  # virtual time in which all must know of a death or a start


class MeasuredFleet(SimulatedFleet):
    """Counts datagrams in bytes and measures the CPU time of membership and of the coding of datagrams.

    There are no sockets; the simulation's own event queue is included.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.clear()
        super().__init__(*args, **kwargs)

    def clear(self) -> None:
        self.sent_bytes = self.received_bytes = self.datagrams = 0
        self.sent_bytes_by_relay: Counter[str] = Counter()
        self.received_bytes_by_relay: Counter[str] = Counter()
        self.cpu_s = 0.0

    def _tick(self, name: str, node: SimulatedRelay, due: int) -> None:
        started = time.thread_time()
        super()._tick(name, node, due)
        self.cpu_s += time.thread_time() - started

    def _receive(self, address: Address, datagram: Datagram, source: Address) -> None:
        # Datagrams to a stopped relay are not read.
        name = self.key_by_address[address]
        if self.relays[name].is_running:
            data = encode("fleet", datagram, [])
            self.received_bytes += len(data)
            self.received_bytes_by_relay[name] += len(data)
            started = time.thread_time()
            _, datagram, _ = decode(data)
            super()._receive(address, datagram, source)
            self.cpu_s += time.thread_time() - started

    def _send(self, name: str, source: Address, address: Address, datagram: Datagram) -> None:
        size = len(encode("fleet", datagram, []))
        self.sent_bytes += size
        self.sent_bytes_by_relay[name] += size
        self.datagrams += 1
        super()._send(name, source, address, datagram)


def make_converged_fleet(count: int, timing: SwimConfig, seed: int) -> MeasuredFleet:
    """Builds a fleet in its steady state: all relays know each other, and no updates are left to spread."""
    fleet = MeasuredFleet(count, seed, timing)
    fleet.events.clear()
    all_peers = [node.membership.local.peer for node in fleet.relays.values()]
    for name, node in fleet.relays.items():
        fleet_peers.set_known_peers(node.membership, all_peers)
        node.membership.sequence_number = 0
        node.next_tick_us = -1
        fleet._schedule_tick(name)
    return fleet


def seconds_until_known(fleet: SimulatedFleet, name: str, is_running: bool, timeout_s: int) -> float:
    """Returns the virtual time until each running relay considers this one alive or dead.

    Alive means in its current incarnation. Returns NaN after the timeout.
    """
    incarnation_id = fleet.relays[name].membership.local.peer.incarnation_id

    def all_know() -> bool:
        for other, node in fleet.relays.items():
            if other == name or not node.is_running:
                continue
            known = node.membership.members.get(name)
            is_dead = known is None or known.peer.state is MemberState.DEAD
            if is_dead if is_running else not is_dead:
                return False
            if is_running and known is not None and known.peer.incarnation_id != incarnation_id:
                return False
        return True

    elapsed_us = fleet.run_while(lambda: not all_know(), timeout_s * SECOND, 100 * MS)
    return elapsed_us / SECOND if all_know() else float("nan")


def membership(size: int, heartbeat_us: int, seed: int) -> Figures:
    """Measures membership in virtual time over links without loss.

    Bytes are of datagrams, without the 28 bytes of IP and UDP each. First comes the steady state, for at
    least 5 heartbeats and 2 s. Then one relay dies, and once all know this it starts again with an empty
    member table and a new incarnation id. `restart_bytes` is what each relay sends beyond the steady state in
    the 30 heartbeats from then on; what the restarted relay learns later itself is measured by `newcomer`.
    """
    gc.disable()  # collections of the objects of thousands of relays are a cost that no real relay has
    timing = SwimConfig(heartbeat_us, 5 * heartbeat_us)
    fleet = make_converged_fleet(size, timing, seed)
    # Two rounds of probes come first, so that answers are in transit when the measurement starts.
    fleet.run(fleet.now_us + 2 * heartbeat_us)
    fleet.clear()
    duration_us = max(STEADY_HEARTBEATS * heartbeat_us, STEADY_S * SECOND)
    started = time.process_time()
    fleet.run(fleet.now_us + duration_us)
    total_cpu_s = time.process_time() - started
    seconds = duration_us / SECOND
    steady_rate = fleet.sent_bytes / size / seconds
    figures = {
        "sent_per_s": steady_rate,
        "received_per_s": fleet.received_bytes / size / seconds,
        "datagrams_per_s": fleet.datagrams / size / seconds,
        "cpu_ms_per_s": fleet.cpu_s / size / seconds * 1e3,
        "model_ms_per_s": total_cpu_s / size / seconds * 1e3,
    }
    name = f"r{size // 2}"
    fleet.kill(name)
    figures["death_s"] = seconds_until_known(fleet, name, False, SPREAD_TIMEOUT_S)
    fleet.run(fleet.now_us + 10 * heartbeat_us)  # until no update about the death is sent any more
    fleet.clear()
    restarted_at_us = fleet.now_us
    fleet.start(name, fleet.relays[name].address)
    figures["start_known_s"] = seconds_until_known(fleet, name, True, SPREAD_TIMEOUT_S)
    fleet.run(max(fleet.now_us, restarted_at_us + 30 * heartbeat_us))
    additional_bytes = fleet.sent_bytes / size - steady_rate * (fleet.now_us - restarted_at_us) / SECOND
    figures["restart_bytes"] = additional_bytes
    return figures


def newcomer(size: int, heartbeat_us: int, seed: int) -> Figures:
    """Measures a relay that restarts in a converged fleet.

    Returns the virtual time until it knows all others, and the bytes that it sends and receives until then.
    """
    gc.disable()
    fleet = make_converged_fleet(size, SwimConfig(heartbeat_us, 5 * heartbeat_us), seed)
    name = f"r{size // 2}"
    fleet.run(fleet.now_us + 2 * heartbeat_us)
    fleet.start(name, fleet.relays[name].address)
    fleet.clear()
    membership = fleet.relays[name].membership
    elapsed_us = fleet.run_while(lambda: len(membership.members) < size - 1, 600 * SECOND, 100 * MS)
    return {
        "knows_all_s": elapsed_us / SECOND,
        "newcomer_sent": fleet.sent_bytes_by_relay[name],
        "newcomer_received": fleet.received_bytes_by_relay[name],
    }


def joining(size: int, heartbeat_us: int, seed: int) -> Figures:
    """Measures the virtual time and the cost of a relay until a fleet that starts at once has converged.

    All relays start with the addresses of two seeds.
    """
    gc.disable()
    fleet = MeasuredFleet(size, seed, SwimConfig(heartbeat_us, 5 * heartbeat_us))

    def is_incomplete() -> bool:
        any_missing = any(len(node.membership.members) < size - 1 for node in fleet.relays.values())
        return any_missing or not fleet.is_converged()

    elapsed_us = fleet.run_while(is_incomplete, 600 * SECOND, 250 * MS)
    return {
        "all_know_all_s": elapsed_us / SECOND,
        "joining_cpu_s": fleet.cpu_s / size,
        "joining_bytes": fleet.sent_bytes / size,
    }


async def _measure_sockets(size: int, seconds: float) -> Figures:
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
    node, membership = await fleet_peers.open_node("me")
    try:
        others = json.loads(await process.stdout.readline())
        fleet_peers.set_known_peers(membership, [fleet_peers.parse_peer(other) for other in others])
        process.stdin.write(json.dumps(fleet_peers.describe(membership)).encode() + b"\n")
        await asyncio.sleep(1.0)
        sent, received = node.counters["sent"], node.counters["received"]
        started, started_cpu = time.monotonic(), time.process_time()
        await asyncio.sleep(seconds)
        elapsed, cpu_s = time.monotonic() - started, time.process_time() - started_cpu
        sent, received = node.counters["sent"] - sent, node.counters["received"] - received
        if (live := len(membership.live_peers())) != size - 1:
            raise RuntimeError(f"{live} peers are considered alive, expected {size - 1}")
    finally:
        node.close()
        process.stdin.close()
        await process.wait()
    return {
        "relay_ms_per_s": cpu_s / elapsed * 1e3,
        "sent_per_s": sent / elapsed,
        "heard_per_s": received / elapsed,
    }


def sockets(size: int, seconds: float) -> Figures:
    """Measures the socket and membership of one relay in its own process, with a heartbeat of 200 ms.

    All other relays of the converged fleet run in another process, on loopback. This includes the costs that
    the simulation leaves out.
    """
    return asyncio.run(_measure_sockets(size, seconds))


def member_memory(size: int, views: int = 16) -> Figures:
    """Measures the memory of one relay's member table, filled from datagrams that share no objects."""
    peers = [
        Peer(f"relay-{number:05d}", (f"10.0.{number >> 8}.{number & 255}", 7400), number + 1, 1)
        for number in range(size)
    ]
    datagrams = [
        encode("fleet", Ping(1, "", peers[first], tuple(peers[first : first + 20])), [])
        for first in range(0, size, 20)
    ]
    before = memory_bytes()
    memberships = []
    for number in range(views):
        membership = Membership(f"me{number}", UNUSED_ADDRESS, 1, 1, [], SwimConfig(200 * MS, SECOND), number)
        for data in datagrams:
            membership.handle(SECOND, decode(data)[1], UNUSED_ADDRESS)
        memberships.append(membership)
    memory_growth = memory_bytes() - before
    counts = [len(membership.members) for membership in memberships]
    if any(count != size for count in counts):
        raise RuntimeError(f"{min(counts)} to {max(counts)} members are known, expected {size}")
    return {"view_bytes": memory_growth / views}


CASES: dict[str, Callable[[int, int, bool], Figures]] = {  # size, seed, quick -> figures
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
