"""Many hollow relays in one process.

Each has the program's own subscriber and decision module and, on request, its own socket in the fleet, but no
clients and no deliveries. `HollowRelay` stands in for the engine.

A change is identified by the port in the address of a host that all relays serve (`EndpointCatalog.change` of
the stub discovery). A relay has applied it once its decision module has handled the listing with that port.
"""

from __future__ import annotations

import asyncio
import collections
import gc
import logging
import math
import time
from collections.abc import Callable, Iterable, Mapping
from contextvars import copy_context
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil

from benchmarks import fleet_peers
from benchmarks.scale.accounts import make_slice
from benchmarks.scale.children import serve_commands
from benchmarks.scale.discovery import host_id
from benchmarks.scale.links import CountingLoop, Links, current_links
from loftrelay.decisions.actions import SetTimer, WatchEndpointList
from loftrelay.decisions.events import DestinationsReleased, EndpointListReceived, TimerFired
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.simulator import read_settings
from loftrelay.discovery.settings import SubscriptionSettings, load_subscription
from loftrelay.discovery.subscriber import Subscriber
from loftrelay.gossip.messages import MemberState
from loftrelay.gossip.transport import GossipTransport
from loftrelay.net.address import Address
from loftrelay.relay.ports import ResolutionStatus
from tests.standins.harness import SETTINGS

POLL_INTERVAL_S = 0.02  # of the check which relays have applied a change
RETRY_DELAY_S = 1.0  # after which a destination that was not resolved is requested again
BATCH_INTERVAL_S = 0.1  # between batches of first messages; one machine can't send them one by one


class LogLineCounter(logging.Handler):
    """Counts log lines by level, logger and the start of their format; the lines are not kept."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.counts: collections.Counter[str] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        self.counts[f"{record.levelname} {record.name}: {str(record.msg)[:60]}"] += 1


class HollowRelay:
    """A relay without clients and deliveries."""

    def __init__(
        self,
        number: int,
        settings: SubscriptionSettings,
        discovery: Address,
        destinations: list[int],
        shared: int,
    ) -> None:
        self.number, self.settings, self.discovery = number, settings, discovery
        self.destinations, self.shared = destinations, shared
        self.links = Links()
        self.name = f"hollow{number}"
        self.unresolved = 0
        self.node: GossipTransport | None = None
        self.is_running = False

    def start(self, pace: float) -> None:
        """Starts the relay; `pace` as of `HollowRelays.start`."""
        self.applied_at: dict[int, float] = {}  # change -> time on the machine's clock
        self.resolved: set[int] = set()  # destinations
        self.slice_resolved: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self.started_at = time.monotonic()
        settings = replace(read_settings(dict(SETTINGS)), polls_endpoint_list=True, awaits_final_status=True)
        self.scheduler = Scheduler(self.number, settings)
        self.addresses: dict[str, Address] = {}
        self.scheduler_timer: asyncio.TimerHandle | None = None
        self.delayed_calls: set[asyncio.TimerHandle] = set()
        self.is_running = True
        context = copy_context()  # inherited by the tasks of the relay
        context.run(self._start, pace)

    def _start(self, pace: float) -> None:
        current_links.set(self.links)
        self.subscriber = Subscriber(
            self.settings, self.name, self.discovery, self.on_listing, self.on_resolution, self.on_release
        )
        self.subscriber.load_cached({})
        self.subscriber.watch()
        self._request(list(reversed(self.destinations)), pace)

    def _request(self, remaining: list[int], pace: float) -> None:
        """Requests the next batch of destinations and schedules the following one."""
        for _ in range(max(1, round(pace * BATCH_INTERVAL_S)) if pace else len(remaining)):
            if remaining:
                self.subscriber.resolve(remaining.pop())
        if remaining:
            self._call_later(BATCH_INTERVAL_S, self._request, remaining, pace)

    def _call_later(self, delay: float, function: Callable[..., None], *args: Any) -> None:
        """Calls a function after a delay in seconds, unless the relay stops before."""

        def run() -> None:
            self.delayed_calls.discard(handle)
            function(*args)

        handle = asyncio.get_running_loop().call_later(delay, run)
        self.delayed_calls.add(handle)

    def stop(self) -> None:
        self.is_running = False
        self.subscriber.close()
        if self.scheduler_timer is not None:
            self.scheduler_timer.cancel()
        for handle in self.delayed_calls:
            handle.cancel()

    # Callbacks of the subscriber

    def on_listing(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if not self.is_running:
            return
        self.addresses.update(addresses)
        self._handle([listing])
        now = time.monotonic()
        for entry in listing.entries:
            if entry.destination <= self.shared and entry.endpoint in addresses:
                self.applied_at.setdefault(addresses[entry.endpoint][1], now)

    def on_resolution(self, destination: int, status: ResolutionStatus) -> None:
        if not self.is_running:
            return
        if status is ResolutionStatus.RESOLVED:
            self.resolved.add(destination)
            if len(self.resolved) == len(self.destinations) and not self.slice_resolved.done():
                self.slice_resolved.set_result(time.monotonic())
            return
        self.unresolved += 1
        self._call_later(RETRY_DELAY_S, self.subscriber.resolve, destination)

    def on_release(self, destinations: Iterable[int]) -> list[int]:
        released = list(destinations)
        if self.is_running:
            self._handle([DestinationsReleased(tuple(released))])
            self.resolved.difference_update(released)
        return released

    def _handle(self, events: list[Any]) -> None:
        loop = asyncio.get_running_loop()
        for action in self.scheduler.handle_batch(int(loop.time() * 1e6), events):
            if isinstance(action, SetTimer):
                if self.scheduler_timer is not None:
                    self.scheduler_timer.cancel()
                self.scheduler_timer = loop.call_later(
                    action.delay / 1e6, self._handle, [TimerFired(action.token)]
                )
            elif isinstance(action, WatchEndpointList):
                self.subscriber.watch()

    # Fleet membership

    async def join(self) -> fleet_peers.PeerDescription:
        self.node, membership = await fleet_peers.open_node(self.name)
        return fleet_peers.describe(membership)


class HollowRelays:
    """Relays of this process and the commands of the driver. `numbers` selects relays; None: all."""

    def __init__(self) -> None:
        self.all: dict[int, HollowRelay] = {}
        self.log_lines = LogLineCounter()
        logging.getLogger().addHandler(self.log_lines)
        logging.getLogger().setLevel(logging.INFO)
        self.process = psutil.Process()

    def _select(self, numbers: list[int] | None) -> list[HollowRelay]:
        return [relay for n, relay in self.all.items() if numbers is None or n in set(numbers)]

    async def begin(
        self,
        numbers: list[int],
        among: int,
        destinations: int,
        size: int,
        shared: int,
        few: int,
        seed: int,
        file: str,
        notices: Address,
    ) -> dict[str, Any]:
        """Creates relays without starting them.

        Args:
            numbers: The numbers of the relays.
            among: The number of relays that share the destinations.
            destinations: The number of destinations.
            size: The number of destinations of a relay.
            shared: The number of destinations that all relays serve.
            few: As `few_interval` of `make_slice`.
            seed: The seed of `make_slice`.
            file: The path of the subscription settings.
            notices: The address of discovery, which accepts status reports.
        """
        settings = load_subscription(Path(file))
        for n in numbers:
            served = make_slice(n, among, destinations, size, shared, few, seed)
            self.all[n] = HollowRelay(n, settings, (notices[0], notices[1]), served, shared)
        return await self.counts()

    async def start(
        self, numbers: list[int] | None, within: float, pace: float, at_once: int
    ) -> dict[str, Any]:
        """Starts relays and waits up to `within` seconds until each has resolved its slice.

        Args:
            numbers: The relays; None: all.
            within: The timeout in seconds.
            pace: First messages that each relay gets in a second; 0: all at its start.
            at_once: Relays that start together; the next ones start when these have their slices. 0: all.

        Returns:
            `took`, the seconds of each relay, and `missing`, the number of relays without their slice.
        """
        relays = self._select(numbers)
        end = time.monotonic() + within
        group_size = at_once or max(1, len(relays))
        for first in range(0, len(relays), group_size):
            group = relays[first : first + group_size]
            for relay in group:
                relay.start(pace)
            await asyncio.wait(
                [relay.slice_resolved for relay in group], timeout=max(0.0, end - time.monotonic())
            )
        took = [
            relay.slice_resolved.result() - relay.started_at
            for relay in relays
            if relay.slice_resolved.done()
        ]
        return {"took": took, "missing": len(relays) - len(took)}

    async def stop(self, numbers: list[int] | None) -> None:
        for relay in self._select(numbers):
            relay.stop()

    async def wait_for_change(self, change: int, numbers: list[int] | None, within: float) -> dict[str, Any]:
        """Waits up to `within` seconds for all running relays to apply a change; returns when they did."""
        end = time.monotonic() + within
        while True:
            relays = [relay for relay in self._select(numbers) if relay.is_running]
            applied_at = [relay.applied_at[change] for relay in relays if change in relay.applied_at]
            if len(applied_at) == len(relays) or time.monotonic() >= end:
                return {"seen": applied_at, "missing": len(relays) - len(applied_at)}
            await asyncio.sleep(POLL_INTERVAL_S)

    async def count_outdated(self, change: int, destination: int, numbers: list[int] | None) -> int:
        """Counts running relays whose address of the destination's host is not the one of this change."""
        relays = [relay for relay in self._select(numbers) if relay.is_running]
        return sum(relay.addresses.get(host_id(destination), ("", 0))[1] != change for relay in relays)

    async def cut(self, places: list[Address], numbers: list[int] | None) -> None:
        for relay in self._select(numbers):
            relay.links.cut([(host, port) for host, port in places])

    async def heal(self, numbers: list[int] | None) -> None:
        for relay in self._select(numbers):
            relay.links.heal()

    async def counts(self, whole: bool = False) -> dict[str, Any]:
        """Returns counts of this process; `sent` and `heard` are bytes of each relay.

        `whole` adds `mb`, the memory of the process without shared pages, after a garbage collection.
        """
        if whole:
            gc.collect()
        relays = list(self.all.values())
        links = [relay.links for relay in relays]
        return {
            "at": time.monotonic(),
            "cpu": time.process_time(),
            "mb": self.process.memory_full_info().uss / 1e6 if whole else math.nan,
            "sent": [link.sent_bytes for link in links],
            "heard": [link.received_bytes for link in links],
            "pieces": sum(link.io_operations for link in links),
            "opened": sum(link.opened for link in links),
            "moves": sum(link.moves for link in links),
            "refused": sum(relay.unresolved for relay in relays),
            "held": sum(len(relay.resolved) for relay in relays if relay.is_running),
            "lines": dict(self.log_lines.counts.most_common(12)),
            "datagram_bytes": sum(node.counters["sent_bytes"] for node in self._nodes()),
        }

    async def join(self, numbers: list[int] | None) -> list[fleet_peers.PeerDescription]:
        return [await relay.join() for relay in self._select(numbers)]

    async def set_known_peers(self, members: list[fleet_peers.PeerDescription]) -> None:
        """Lets all joined relays know these members, without updates to spread, as in the steady state."""
        others = [fleet_peers.parse_peer(description) for description in members]
        for node in self._nodes():
            assert node.membership is not None
            fleet_peers.set_known_peers(node.membership, others)

    async def min_known_alive(self) -> int:
        """Returns the number of live peers of the relay that knows the fewest."""
        return min(sum(p.state is MemberState.ALIVE for p in node.live_peers) for node in self._nodes())

    def _nodes(self) -> list[GossipTransport]:
        return [relay.node for relay in self.all.values() if relay.node is not None]


async def main() -> None:
    relays = HollowRelays()
    handlers: dict[str, Callable[..., Any]] = {
        "begin": relays.begin,
        "start": relays.start,
        "stop": relays.stop,
        "seen": relays.wait_for_change,
        "astray": relays.count_outdated,
        "cut": relays.cut,
        "heal": relays.heal,
        "counts": relays.counts,
        "join": relays.join,
        "acquaint": relays.set_known_peers,
        "known": relays.min_known_alive,
    }
    try:
        await serve_commands(handlers)
    finally:
        for relay in relays.all.values():
            if relay.is_running:
                relay.stop()
        await asyncio.sleep(0)  # lets their tasks end


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(main())
