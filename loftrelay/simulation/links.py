"""Many relays' views of each other in virtual time, over links that lose, delay, double, reorder and cut.

It does no input or output. All chance comes from one seed, so that a schedule plays again as it was.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loftrelay.gossip.swim import Changed, Contested, Datagram, Membership, State, Tell, Timing
from loftrelay.net.address import Address

MS = 1_000
SECOND = 1_000 * MS


@dataclass(slots=True)
class Links:
    """Chances for each datagram; delays in microseconds. `cut`: from, to -> whether nothing passes now."""

    loss: float = 0.0
    doubled: float = 0.0
    delay: tuple[int, int] = (200, 2 * MS)
    cut: Callable[[str, str], bool] = lambda here, there: False


@dataclass(slots=True)
class Node:
    view: Membership
    address: Address
    stalled: bool = False
    alive: bool = True
    buffer: list[tuple[Datagram, Address]] = field(default_factory=list)
    ticks_at: int = -1
    gone: list[tuple[int, str, int]] = field(default_factory=list)  # when it held whose life to be gone
    contested: bool = False
    sent: int = 0


class Fleet:
    def __init__(
        self,
        count: int,
        seed: int,
        timing: Timing,
        links: Links | None = None,
        seeds: int = 2,
        start: int = 1_000_000,
    ) -> None:
        self.random = random.Random(seed)
        self.timing, self.links = timing, links or Links()
        self.now = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []
        self.count = 0
        self.nodes: dict[str, Node] = {}
        self.where: dict[Address, str] = {}
        self.first = [("127.0.0.1", 7000 + n) for n in range(seeds)]
        self.start_at = start
        for n in range(count):
            self.begin(f"r{n}", ("127.0.0.1", 7000 + n))

    # What happens

    def begin(self, name: str, address: Address, start: int | None = None, node: str = "") -> None:
        """A relay starts, or starts again with nothing that it knew. `node`: where two go by one name."""
        life = self.random.getrandbits(63)
        first = self.start_at + self.now // MS if start is None else start
        view = Membership(name, address, life, first, self.first, self.timing, self.random.getrandbits(32))
        old = self.nodes.get(node or name)
        self.nodes[node or name] = Node(view, address, gone=old.gone if old is not None else [])
        self.where[address] = node or name
        view.due = self.now + self.random.randrange(self.timing.beat)
        self._carry_out(node or name, view.tell_all(view.seeds))
        self._arm(node or name)

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False
        self.nodes[name].buffer.clear()

    def stop(self, name: str) -> None:
        self.nodes[name].stalled = True

    def go_on(self, name: str) -> None:
        """What lies in its socket is read after it has noticed that it stood still."""
        node = self.nodes[name]
        node.stalled = False
        self._carry_out(name, node.view.woke(self.now))
        for datagram, source in node.buffer:
            self._carry_out(name, node.view.handle(self.now, datagram, source))
        node.buffer.clear()
        self._arm(name)

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, do))

    def run(self, until: int) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = until

    def run_while(self, condition: Callable[[], bool], most: int, step: int = 50 * MS) -> int:
        """Until the condition holds no more; gives the time that it took, `most` where it still holds."""
        began = self.now
        while condition() and self.now - began < most:
            self.run(self.now + step)
        return self.now - began

    # What is seen

    def up(self) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if node.alive and not node.stalled and not node.contested
        ]

    def agreed(self, names: list[str] | None = None) -> bool:
        """Whether each of these holds just the others of them to be there, under the lives they have."""
        there = set(names if names is not None else self.up())
        lives = {name: self.nodes[name].view.me.life for name in there}
        for name in there:
            seen = {p.name: p.life for p in self.nodes[name].view.alive() if p.state is State.ALIVE}
            if seen != {other: life for other, life in lives.items() if other != name}:
                return False
        return True

    def false_gone(self) -> int:
        """Times that one was held to be gone under a life that is alive and does not stand still now."""
        lives = {node.view.me.life for name, node in self.nodes.items() if node.alive and not node.stalled}
        return sum(life in lives for node in self.nodes.values() for _, _, life in node.gone)

    # Within

    def _arm(self, name: str) -> None:
        node = self.nodes[name]
        due = max(self.now + 1, node.view.next)
        if not node.ticks_at > self.now or due < node.ticks_at:
            node.ticks_at = due
            self.at(due, lambda: self._tick(name, node, due))

    def _tick(self, name: str, node: Node, due: int) -> None:
        if self.nodes.get(name) is not node or node.ticks_at != due or not node.alive or node.stalled:
            return
        node.ticks_at = -1
        self._carry_out(name, node.view.tick(self.now))
        self._arm(name)

    def _carry_out(self, name: str, actions: list[object] | list[Tell | Changed | Contested]) -> None:
        node = self.nodes[name]
        for action in list(actions):
            match action:
                case Tell(address, datagram):
                    node.sent += 1
                    self._send(name, node.address, address, datagram)
                case Changed(peer):
                    if peer.state is State.GONE:
                        node.gone.append((self.now, peer.name, peer.life))
                case Contested():
                    node.contested = True

    def _send(self, name: str, source: Address, address: Address, datagram: Datagram) -> None:
        there = self.where.get(address)
        if there is None or self.links.cut(name, there) or self.random.random() < self.links.loss:
            return
        for _ in range(1 + (self.random.random() < self.links.doubled)):
            when = self.now + self.random.randint(*self.links.delay)
            self.at(when, lambda: self._receive(address, datagram, source))

    def _receive(self, address: Address, datagram: Datagram, source: Address) -> None:
        name = self.where[address]
        node = self.nodes[name]
        if not node.alive:
            return
        if node.stalled:
            node.buffer.append((datagram, source))
            return
        self._carry_out(name, node.view.handle(self.now, datagram, source))
        self._arm(name)
