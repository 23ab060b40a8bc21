"""Many relays' views of each other in virtual time, over links that lose, delay, double, reorder and cut.

It does no input or output. All chance comes from one seed, so that a schedule plays again as it was.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loftrelay.gossip.actions import NameConflict, Send, StateChanged
from loftrelay.gossip.messages import Datagram, State
from loftrelay.gossip.swim import Membership
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address

MS = 1_000
SECOND = 1_000 * MS


@dataclass(slots=True)
class LinkFaults:
    """Chances for each datagram; delays in microseconds. `cut`: from, to -> whether nothing passes now."""

    loss: float = 0.0
    duplication: float = 0.0
    delay_us: tuple[int, int] = (200, 2 * MS)
    is_cut: Callable[[str, str], bool] = lambda here, there: False


@dataclass(slots=True)
class SimulatedRelay:
    membership: Membership
    address: Address
    is_paused: bool = False
    is_running: bool = True
    receive_buffer: list[tuple[Datagram, Address]] = field(default_factory=list)
    next_tick_us: int = -1
    declared_dead: list[tuple[int, str, int]] = field(
        default_factory=list
    )  # when it held whose life to be gone
    has_name_conflict: bool = False
    datagrams_sent: int = 0


class SimulatedFleet:
    def __init__(
        self,
        count: int,
        seed: int,
        timing: SwimConfig,
        links: LinkFaults | None = None,
        seeds: int = 2,
        start: int = 1_000_000,
    ) -> None:
        self.random = random.Random(seed)
        self.timing, self.links = timing, links or LinkFaults()
        self.now_us = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.relays: dict[str, SimulatedRelay] = {}
        self.where: dict[Address, str] = {}
        self.first = [("127.0.0.1", 7000 + n) for n in range(seeds)]
        self.start_at = start
        for n in range(count):
            self.start(f"r{n}", ("127.0.0.1", 7000 + n))

    # What happens

    def start(self, name: str, address: Address, start: int | None = None, node: str = "") -> None:
        """A relay starts, or starts again with nothing that it knew. `node`: where two go by one name."""
        life = self.random.getrandbits(63)
        first = self.start_at + self.now_us // MS if start is None else start
        view = Membership(name, address, life, first, self.first, self.timing, self.random.getrandbits(32))
        old = self.relays.get(node or name)
        self.relays[node or name] = SimulatedRelay(
            view, address, declared_dead=old.declared_dead if old is not None else []
        )
        self.where[address] = node or name
        view.next_probe_us = self.now_us + self.random.randrange(self.timing.probe_interval_us)
        self._execute(node or name, view.announce_to(view.seeds))
        self._schedule_tick(node or name)

    def kill(self, name: str) -> None:
        self.relays[name].is_running = False
        self.relays[name].receive_buffer.clear()

    def pause(self, name: str) -> None:
        self.relays[name].is_paused = True

    def resume(self, name: str) -> None:
        """What lies in its socket is read after it has noticed that it stood still."""
        node = self.relays[name]
        node.is_paused = False
        self._execute(name, node.membership.resume(self.now_us))
        for datagram, source in node.receive_buffer:
            self._execute(name, node.membership.handle(self.now_us, datagram, source))
        node.receive_buffer.clear()
        self._schedule_tick(name)

    def schedule(self, when: int, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, do))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now_us, _, do = heapq.heappop(self.events)
            do()
        self.now_us = until

    def run_while(self, condition: Callable[[], bool], most: int, step: int = 50 * MS) -> int:
        """Until the condition holds no more; gives the time that it took, `most` where it still holds."""
        began = self.now_us
        while condition() and self.now_us - began < most:
            self.run(self.now_us + step)
        return self.now_us - began

    # What is seen

    def running(self) -> list[str]:
        return [
            name
            for name, node in self.relays.items()
            if node.is_running and not node.is_paused and not node.has_name_conflict
        ]

    def is_converged(self, names: list[str] | None = None) -> bool:
        """Whether each of these holds just the others of them to be there, under the lives they have."""
        there = set(names if names is not None else self.running())
        lives = {name: self.relays[name].membership.local.peer.incarnation_id for name in there}
        for name in there:
            seen = {
                p.name: p.incarnation_id
                for p in self.relays[name].membership.live_peers()
                if p.state is State.ALIVE
            }
            if seen != {other: life for other, life in lives.items() if other != name}:
                return False
        return True

    def false_deaths(self) -> int:
        """Times that one was held to be gone under a life that is alive and does not stand still now."""
        lives = {
            node.membership.local.peer.incarnation_id
            for name, node in self.relays.items()
            if node.is_running and not node.is_paused
        }
        return sum(life in lives for node in self.relays.values() for _, _, life in node.declared_dead)

    # Within

    def _schedule_tick(self, name: str) -> None:
        node = self.relays[name]
        due = max(self.now_us + 1, node.membership.next_tick_us)
        if not node.next_tick_us > self.now_us or due < node.next_tick_us:
            node.next_tick_us = due
            self.schedule(due, lambda: self._tick(name, node, due))

    def _tick(self, name: str, node: SimulatedRelay, due: int) -> None:
        if (
            self.relays.get(name) is not node
            or node.next_tick_us != due
            or not node.is_running
            or node.is_paused
        ):
            return
        node.next_tick_us = -1
        self._execute(name, node.membership.tick(self.now_us))
        self._schedule_tick(name)

    def _execute(self, name: str, actions: list[object] | list[Send | StateChanged | NameConflict]) -> None:
        node = self.relays[name]
        for action in list(actions):
            match action:
                case Send(address, datagram):
                    node.datagrams_sent += 1
                    self._send(name, node.address, address, datagram)
                case StateChanged(peer):
                    if peer.state is State.DEAD:
                        node.declared_dead.append((self.now_us, peer.name, peer.incarnation_id))
                case NameConflict():
                    node.has_name_conflict = True

    def _send(self, name: str, source: Address, address: Address, datagram: Datagram) -> None:
        there = self.where.get(address)
        if there is None or self.links.is_cut(name, there) or self.random.random() < self.links.loss:
            return
        for _ in range(1 + (self.random.random() < self.links.duplication)):
            when = self.now_us + self.random.randint(*self.links.delay_us)
            self.schedule(when, lambda: self._receive(address, datagram, source))

    def _receive(self, address: Address, datagram: Datagram, source: Address) -> None:
        name = self.where[address]
        node = self.relays[name]
        if not node.is_running:
            return
        if node.is_paused:
            node.receive_buffer.append((datagram, source))
            return
        self._execute(name, node.membership.handle(self.now_us, datagram, source))
        self._schedule_tick(name)
