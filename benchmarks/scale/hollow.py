"""Many hollow relays in one process: each with the program's own subscriber and module, and, where asked, its
own socket in the fleet; with no clients and no deliveries. In place of the engine stands `Hollow`.

A change that is looked for is the port in the address of a host that all serve (`Book.change` of the
stand-in discovery): a relay goes by it once its module has handled the listing that tells it.
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
from benchmarks.scale.accounts import slice_of
from benchmarks.scale.children import work
from benchmarks.scale.discovery import host
from benchmarks.scale.links import CountingLoop, Links, whose
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

LOOK = 0.02  # seconds between looks at who has a change
BACK = 1.0  # seconds after which a client that was refused comes again
STEP = 0.1  # seconds between first messages that come together; one by one is beyond one machine


class Lines(logging.Handler):
    """Counts the log's lines by the first words of their form; the hollow relays' log is not kept."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.counts: collections.Counter[str] = collections.Counter()

    def emit(self, record: logging.LogRecord) -> None:
        self.counts[f"{record.levelname} {record.name}: {str(record.msg)[:60]}"] += 1


class Hollow:
    """One relay. `seen`: change -> when the module had it, on the clock of the machine."""

    def __init__(
        self, number: int, told: SubscriptionSettings, notices: Address, cells: list[int], shared: int
    ) -> None:
        self.number, self.told, self.notices, self.cells, self.shared = number, told, notices, cells, shared
        self.links = Links()
        self.name = f"hollow{number}"
        self.refused = 0
        self.node: GossipTransport | None = None
        self.alive = False

    def start(self, pace: float) -> None:
        self.seen: dict[int, float] = {}
        self.held: set[int] = set()
        self.whole: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self.began = time.monotonic()
        settings = replace(read_settings(dict(SETTINGS)), polls_endpoint_list=True, awaits_final_status=True)
        self.scheduler = Scheduler(self.number, settings)
        self.addresses: dict[str, Address] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.retries: set[asyncio.TimerHandle] = set()
        self.alive = True
        context = copy_context()  # its tasks take this along
        context.run(self._start, pace)

    def _start(self, pace: float) -> None:
        whose.set(self.links)
        told = self.told, self.name, self.notices
        self.subscriber = Subscriber(*told, self.listed, self.sliced, self.let_go)
        self.subscriber.load_cached({})
        self.subscriber.watch()
        self._want(list(reversed(self.cells)), pace)

    def _want(self, left: list[int], pace: float) -> None:
        for _ in range(max(1, round(pace * STEP)) if pace else len(left)):
            if left:
                self.subscriber.resolve(left.pop())
        if left:
            self._later(STEP, self._want, left, pace)

    def _later(self, delay: float, what: Callable[..., None], *told: Any) -> None:
        """Unless it is stopped before."""

        def now() -> None:
            self.retries.discard(handle)
            what(*told)

        handle = asyncio.get_running_loop().call_later(delay, now)
        self.retries.add(handle)

    def stop(self) -> None:
        self.alive = False
        self.subscriber.close()
        if self.timer is not None:
            self.timer.cancel()
        for retry in self.retries:
            retry.cancel()

    # What the subscriber tells the engine

    def listed(self, listing: EndpointListReceived, addresses: Mapping[str, Address]) -> None:
        if not self.alive:
            return
        self.addresses.update(addresses)
        self._handle([listing])
        now = time.monotonic()
        for entry in listing.entries:
            if entry.destination <= self.shared and entry.endpoint in addresses:
                self.seen.setdefault(addresses[entry.endpoint][1], now)

    def sliced(self, destination: int, what: ResolutionStatus) -> None:
        if not self.alive:
            return
        if what is ResolutionStatus.RESOLVED:
            self.held.add(destination)
            if len(self.held) == len(self.cells) and not self.whole.done():
                self.whole.set_result(time.monotonic())
            return
        self.refused += 1
        self._later(BACK, self.subscriber.resolve, destination)

    def let_go(self, destinations: Iterable[int]) -> list[int]:
        gone = list(destinations)
        if self.alive:
            self._handle([DestinationsReleased(tuple(gone))])
            self.held.difference_update(gone)
        return gone

    def _handle(self, events: list[Any]) -> None:
        loop = asyncio.get_running_loop()
        for action in self.scheduler.handle_batch(int(loop.time() * 1e6), events):
            if isinstance(action, SetTimer):
                if self.timer is not None:
                    self.timer.cancel()
                self.timer = loop.call_later(action.delay / 1e6, self._handle, [TimerFired(action.token)])
            elif isinstance(action, WatchEndpointList):
                self.subscriber.watch()

    # The fleet

    async def join(self) -> fleet_peers.PeerDescription:
        self.node, view = await fleet_peers.open_node(self.name)
        return fleet_peers.describe(view)


class Relays:
    """Those of this process; what the driver asks for. Relays are named by their numbers, None: all."""

    def __init__(self) -> None:
        self.all: dict[int, Hollow] = {}
        self.lines = Lines()
        logging.getLogger().addHandler(self.lines)
        logging.getLogger().setLevel(logging.INFO)
        self.process = psutil.Process()

    def _of(self, numbers: list[int] | None) -> list[Hollow]:
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
        """`file`: the subscription's. Nothing is started."""
        told = load_subscription(Path(file))
        for n in numbers:
            cells = slice_of(n, among, destinations, size, shared, few, seed)
            self.all[n] = Hollow(n, told, (notices[0], notices[1]), cells, shared)
        return await self.counts()

    async def start(
        self, numbers: list[int] | None, within: float, pace: float, at_once: int
    ) -> dict[str, Any]:
        """Seconds until each had its whole slice; `missing` had not `within` that time. `pace`: first
        messages that each hears in a second; 0: all at its start. `at_once`: so many start, the next when
        they have theirs; 0: all."""
        relays = self._of(numbers)
        end = time.monotonic() + within
        step = at_once or max(1, len(relays))
        for first in range(0, len(relays), step):
            part = relays[first : first + step]
            for relay in part:
                relay.start(pace)
            await asyncio.wait([relay.whole for relay in part], timeout=max(0.0, end - time.monotonic()))
        took = [relay.whole.result() - relay.began for relay in relays if relay.whole.done()]
        return {"took": took, "missing": len(relays) - len(took)}

    async def stop(self, numbers: list[int] | None) -> None:
        for relay in self._of(numbers):
            relay.stop()

    async def seen(self, change: int, numbers: list[int] | None, within: float) -> dict[str, Any]:
        """When each that lives had that change; waits until all have it."""
        end = time.monotonic() + within
        while True:
            relays = [relay for relay in self._of(numbers) if relay.alive]
            seen = [relay.seen[change] for relay in relays if change in relay.seen]
            if len(seen) == len(relays) or time.monotonic() >= end:
                return {"seen": seen, "missing": len(relays) - len(seen)}
            await asyncio.sleep(LOOK)

    async def astray(self, change: int, destination: int, numbers: list[int] | None) -> int:
        """How many of those that live go by something else than that change of the destination's host."""
        relays = [relay for relay in self._of(numbers) if relay.alive]
        return sum(relay.addresses.get(host(destination), ("", 0))[1] != change for relay in relays)

    async def cut(self, places: list[Address], numbers: list[int] | None) -> None:
        for relay in self._of(numbers):
            relay.links.cut([(host, port) for host, port in places])

    async def heal(self, numbers: list[int] | None) -> None:
        for relay in self._of(numbers):
            relay.links.heal()

    async def counts(self, whole: bool = False) -> dict[str, Any]:
        """`bytes`: of each relay, both ways; `mb`: of the process, its own pages alone."""
        if whole:
            gc.collect()
        relays = list(self.all.values())
        links = [relay.links for relay in relays]
        return {
            "at": time.monotonic(),
            "cpu": time.process_time(),
            "mb": self.process.memory_full_info().uss / 1e6 if whole else math.nan,
            "sent": [link.sent for link in links],
            "heard": [link.heard for link in links],
            "pieces": sum(link.pieces for link in links),
            "opened": sum(link.opened for link in links),
            "moves": sum(link.moves for link in links),
            "refused": sum(relay.refused for relay in relays),
            "held": sum(len(relay.held) for relay in relays if relay.alive),
            "lines": dict(self.lines.counts.most_common(12)),
            "datagram_bytes": sum(node.counters["sent_bytes"] for node in self._nodes()),
        }

    async def join(self, numbers: list[int] | None) -> list[fleet_peers.PeerDescription]:
        return [await relay.join() for relay in self._of(numbers)]

    async def acquaint(self, members: list[fleet_peers.PeerDescription]) -> None:
        """All who have joined know all of these, and nothing is news: what a fleet comes to."""
        others = [fleet_peers.parse_peer(told) for told in members]
        for node in self._nodes():
            assert node.membership is not None
            fleet_peers.set_known_peers(node.membership, others)

    async def known(self) -> int:
        """How many others the one of them that knows the fewest holds to be alive."""
        return min(sum(p.state is MemberState.ALIVE for p in node.live_peers) for node in self._nodes())

    def _nodes(self) -> list[GossipTransport]:
        return [relay.node for relay in self.all.values() if relay.node is not None]


async def main() -> None:
    relays = Relays()
    does: dict[str, Callable[..., Any]] = {
        "begin": relays.begin,
        "start": relays.start,
        "stop": relays.stop,
        "seen": relays.seen,
        "astray": relays.astray,
        "cut": relays.cut,
        "heal": relays.heal,
        "counts": relays.counts,
        "join": relays.join,
        "acquaint": relays.acquaint,
        "known": relays.known,
    }
    try:
        await work(does)
    finally:
        for relay in relays.all.values():
            if relay.alive:
                relay.stop()
        await asyncio.sleep(0)  # its tasks end


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(main())
