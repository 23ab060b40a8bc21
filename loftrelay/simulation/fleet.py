"""Simulated fleet: the membership of many relays in virtual time, over links with faults.

Links lose, delay, duplicate and reorder datagrams, or are cut. All random numbers derive from one seed, so
that a run can be replayed. Does no input or output.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loftrelay.gossip.actions import Action, NameConflict, Send, StateChanged
from loftrelay.gossip.messages import Datagram, MemberState
from loftrelay.gossip.swim import Membership
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address

MS = 1_000  # microseconds in a millisecond
SECOND = 1_000 * MS  # microseconds in a second
FIRST_PORT = 7000


def _never_cut(_sender: str, _recipient: str) -> bool:
    return False


@dataclass(slots=True)
class LinkFaults:
    """Faults of all links.

    Attributes:
        loss: Probability that a datagram is lost.
        duplication: Probability that it arrives twice.
        delay_us: Range of the uniformly distributed delay of each datagram, which reorders datagrams.
        is_cut: Returns whether the link from a sender to a recipient, given by their keys, is cut now.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_us: tuple[int, int] = (200, 2 * MS)
    is_cut: Callable[[str, str], bool] = _never_cut


@dataclass(frozen=True, slots=True)
class Death:
    """Declaration of a member as dead by a relay."""

    at_us: int
    name: str
    incarnation_id: int


@dataclass(slots=True)
class SimulatedRelay:
    """One run of a relay's process.

    Attributes:
        membership: Its view of the fleet.
        address: Where it receives datagrams.
        is_paused: Whether the process is stopped; its socket still receives.
        is_running: Whether the process was not killed.
        receive_buffer: Datagrams received while paused, with their source.
        next_tick_us: Time of its timer; -1 if none is set.
        declared_dead: Members that it has declared dead, over all its runs.
        has_name_conflict: Whether it has left the fleet because another relay uses its name.
        datagrams_sent: Number of datagrams sent.
    """

    membership: Membership
    address: Address
    is_paused: bool = False
    is_running: bool = True
    receive_buffer: list[tuple[Datagram, Address]] = field(default_factory=list)
    next_tick_us: int = -1
    declared_dead: list[Death] = field(default_factory=list)
    has_name_conflict: bool = False
    datagrams_sent: int = 0


class SimulatedFleet:
    """Relays r0, r1, ... and the events between them, in virtual time.

    Args:
        count: Number of relays that start at time 0.
        seed: Seed of the pseudo-random generator.
        config: Timing of the membership protocol.
        links: Faults; none by default.
        seeds: Number of relays, from r0 on, whose addresses are the seeds of the fleet.
        start_ms: Unix time in milliseconds at virtual time 0.

    Attributes:
        now_us: Virtual time in microseconds.
        relays: Latest run of each relay by its key, which is its name unless two relays share a name.
        key_by_address: Key of the relay that receives the datagrams sent to an address.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        config: SwimConfig,
        links: LinkFaults | None = None,
        seeds: int = 2,
        start_ms: int = 1_000_000,
    ) -> None:
        self.random = random.Random(seed)
        self.config = config
        self.links = links or LinkFaults()
        self.now_us = 0
        self.events: list[tuple[int, int, Callable[[], None]]] = []  # heap of (time, order, event)
        self.relays: dict[str, SimulatedRelay] = {}
        self._event_count = 0
        self.key_by_address: dict[Address, str] = {}
        self._seeds = [("127.0.0.1", FIRST_PORT + number) for number in range(seeds)]
        self._start_ms = start_ms
        for number in range(count):
            self.start(f"r{number}", ("127.0.0.1", FIRST_PORT + number))

    # Schedule

    def start(self, name: str, address: Address, start_ms: int | None = None, key: str = "") -> None:
        """Starts a relay, or restarts it without its state.

        Args:
            name: Its name in the fleet.
            address: Where it receives datagrams.
            start_ms: Unix time in milliseconds; by default it follows from the virtual time.
            key: Its key, if another relay has the same name.
        """
        key = key or name
        incarnation_id = self.random.getrandbits(63)
        start_ms = self._start_ms + self.now_us // MS if start_ms is None else start_ms
        random_seed = self.random.getrandbits(32)
        membership = Membership(
            name, address, incarnation_id, start_ms, self._seeds, self.config, random_seed
        )
        previous = self.relays.get(key)
        declared_dead = previous.declared_dead if previous is not None else []
        self.relays[key] = SimulatedRelay(membership, address, declared_dead=declared_dead)
        self.key_by_address[address] = key
        membership.next_probe_us = self.now_us + self.random.randrange(self.config.probe_interval_us)
        self._execute(key, membership.announce_to(membership.seeds))
        self._schedule_tick(key)

    def kill(self, name: str) -> None:
        """Kills a relay's process."""
        self.relays[name].is_running = False
        self.relays[name].receive_buffer.clear()

    def pause(self, name: str) -> None:
        """Stops a relay's process; its socket still receives."""
        self.relays[name].is_paused = True

    def resume(self, name: str) -> None:
        """Continues a paused process, which detects the pause and then reads its socket."""
        relay = self.relays[name]
        relay.is_paused = False
        self._execute(name, relay.membership.resume(self.now_us))
        for datagram, source in relay.receive_buffer:
            self._execute(name, relay.membership.handle(self.now_us, datagram, source))
        relay.receive_buffer.clear()
        self._schedule_tick(name)

    def schedule(self, at_us: int, event: Callable[[], None]) -> None:
        """Schedules an event at a virtual time; events at the same time run in the order of scheduling."""
        self._event_count += 1
        heapq.heappush(self.events, (at_us, self._event_count, event))

    def run(self, until_us: int) -> None:
        """Runs all events up to a virtual time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self.events)
            event()
        self.now_us = until_us

    def run_while(self, condition: Callable[[], bool], limit_us: int, step_us: int = 50 * MS) -> int:
        """Runs until the condition, which is checked after each step, is false.

        Returns:
            The elapsed virtual time; at least `limit_us` if the condition is still true.
        """
        started_us = self.now_us
        while condition() and self.now_us - started_us < limit_us:
            self.run(self.now_us + step_us)
        return self.now_us - started_us

    # Observation

    def running(self) -> list[str]:
        """Returns the keys of the relays that run, aren't paused and haven't left due to a name conflict."""
        return [
            key
            for key, relay in self.relays.items()
            if relay.is_running and not relay.is_paused and not relay.has_name_conflict
        ]

    def is_converged(self, names: list[str] | None = None) -> bool:
        """Returns whether each of these relays (default: all running) sees exactly the others as alive."""
        keys = set(names if names is not None else self.running())
        incarnation_ids = {key: self.relays[key].membership.local.peer.incarnation_id for key in keys}
        for key in keys:
            peers = self.relays[key].membership.live_peers()
            seen = {peer.name: peer.incarnation_id for peer in peers if peer.state is MemberState.ALIVE}
            if seen != {other: value for other, value in incarnation_ids.items() if other != key}:
                return False
        return True

    def false_deaths(self) -> int:
        """Returns how often a relay was declared dead during a run that still runs and isn't paused now."""
        running = {
            relay.membership.local.peer.incarnation_id
            for relay in self.relays.values()
            if relay.is_running and not relay.is_paused
        }
        deaths = [death for relay in self.relays.values() for death in relay.declared_dead]
        return sum(death.incarnation_id in running for death in deaths)

    # Events

    def _schedule_tick(self, key: str) -> None:
        relay = self.relays[key]
        due_us = max(self.now_us + 1, relay.membership.next_tick_us)
        if relay.next_tick_us <= self.now_us or due_us < relay.next_tick_us:
            relay.next_tick_us = due_us
            self.schedule(due_us, lambda: self._tick(key, relay, due_us))

    def _tick(self, key: str, relay: SimulatedRelay, due_us: int) -> None:
        if self.relays.get(key) is not relay or relay.next_tick_us != due_us:
            return  # restarted or rescheduled since
        if not relay.is_running or relay.is_paused:
            return
        relay.next_tick_us = -1
        self._execute(key, relay.membership.tick(self.now_us))
        self._schedule_tick(key)

    def _execute(self, key: str, actions: Iterable[Action]) -> None:
        relay = self.relays[key]
        for action in list(actions):
            match action:
                case Send(address, datagram):
                    relay.datagrams_sent += 1
                    self._send(key, relay.address, address, datagram)
                case StateChanged(peer):
                    if peer.state is MemberState.DEAD:
                        relay.declared_dead.append(Death(self.now_us, peer.name, peer.incarnation_id))
                case NameConflict():
                    relay.has_name_conflict = True

    def _send(self, key: str, source: Address, address: Address, datagram: Datagram) -> None:
        recipient = self.key_by_address.get(address)
        if recipient is None or self.links.is_cut(key, recipient):
            return
        if self.random.random() < self.links.loss:
            return
        for _ in range(1 + (self.random.random() < self.links.duplication)):
            arrival_us = self.now_us + self.random.randint(*self.links.delay_us)
            self.schedule(arrival_us, lambda: self._receive(address, datagram, source))

    def _receive(self, address: Address, datagram: Datagram, source: Address) -> None:
        key = self.key_by_address[address]
        relay = self.relays[key]
        if not relay.is_running:
            return
        if relay.is_paused:
            relay.receive_buffer.append((datagram, source))
            return
        self._execute(key, relay.membership.handle(self.now_us, datagram, source))
        self._schedule_tick(key)
