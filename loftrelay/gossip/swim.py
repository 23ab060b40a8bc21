"""SWIM group membership with Lifeguard's suspicion and local health. Does no input or output.

References: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (2017).
docs/fleet-links.md describes the differences. `Membership.handle` is called with each received datagram,
`Membership.tick` at `Membership.next_tick_us`; both return the actions to execute, in order. Times are
integer microseconds of the relay's own monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import replace

from loftrelay.gossip.actions import Action, Send
from loftrelay.gossip.lifeguard import LocalHealth
from loftrelay.gossip.local_member import LocalMember
from loftrelay.gossip.member_table import MemberEntry, MemberTable
from loftrelay.gossip.messages import Ack, Datagram, MemberState, Peer, Ping, PingRequest
from loftrelay.gossip.probes import ForwardedProbe, PendingProbe, ProbeOrder
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address

INDIRECT_PROBES = 3  # members that are asked to ping a member that did not respond
ISOLATION_INTERVALS = 4  # probe intervals without an Ack after which this relay may itself be cut off
REJOIN_INTERVALS = 4  # probe intervals between pings of a dead member or a seed, which heal a partition


class Membership:
    """One relay's view of its fleet.

    Args:
        name: Unique name of this relay.
        address: Address that other relays send datagrams to.
        incarnation_id: Random number that identifies this run of the process.
        start_ms: First incarnation: Unix time in milliseconds, so that a later run overrides an earlier one.
            If the wall clock was set back, updates about the earlier run are refuted.
        seeds: Addresses of some relays of the fleet.
        config: Timing.
        random_seed: Seed of the pseudo-random generator.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        incarnation_id: int,
        start_ms: int,
        seeds: Sequence[Address],
        config: SwimConfig,
        random_seed: int,
    ) -> None:
        self.seeds = [seed for seed in seeds if seed != address]
        self.config = config
        self.random = random.Random(random_seed)
        self.health = LocalHealth()
        self.table = MemberTable(config, self.health)
        peer = Peer(name, address, incarnation_id, start_ms)
        self.local = LocalMember(peer, config, self.health, self.table.updates)
        self.sequence_number = 0
        self.next_probe_us = 0
        self._probe_order = ProbeOrder(self.random)
        self._pending_probes: dict[int, PendingProbe] = {}  # by sequence number
        self._forwarded_probes: dict[int, ForwardedProbe] = {}  # by sequence number
        self._last_indirect_path: dict[str, str] = {}  # member -> who forwarded its last indirect Ack
        self._last_ack_us: int | None = None
        self._probe_rounds = 0
        self._actions: list[Action] = []

    # State

    @property
    def members(self) -> dict[str, MemberEntry]:
        """Entries of the other members by name."""
        return self.table.entries

    def live_peers(self) -> list[Peer]:
        """Returns the other members that aren't declared dead."""
        return self.table.live_peers()

    def is_isolated(self, now_us: int) -> bool:
        """Whether no Ack came for so long that this relay may itself be cut off and can't judge others."""
        if self._last_ack_us is None:
            return True
        return now_us - self._last_ack_us > ISOLATION_INTERVALS * self._probe_interval_us

    @property
    def next_tick_us(self) -> int:
        """Latest time at which `tick` is to be called."""
        lead_us = self._indirect_probe_lead_us
        times = [
            probe.ends_us if probe.is_indirect else probe.ends_us - lead_us
            for probe in self._pending_probes.values()
        ]
        times += [entry.suspicion_ends_us for entry in self.table.suspects()]
        return min(self.next_probe_us, *times) if times else self.next_probe_us

    @property
    def _probe_interval_us(self) -> int:
        """Probe interval, scaled by Lifeguard's local health multiplier."""
        return self.config.probe_interval_us * (1 + self.health.score)

    @property
    def _indirect_probe_lead_us(self) -> int:
        """Time before the end of a probe at which indirect probes through other members begin."""
        return self._probe_interval_us // 2

    # Inputs

    def announce_to(self, addresses: Iterable[Address]) -> list[Action]:
        """Pings addresses whose members may be unknown, to join a fleet or to send updates at once."""
        self._actions = []
        for address in addresses:
            self._ping_address(address)
        return self._actions

    def resume(self, now_us: int) -> list[Action]:
        """Handles a pause of this process: Acks that it missed meanwhile say nothing about other members."""
        self._actions = []
        self._pending_probes.clear()
        self._forwarded_probes.clear()
        self.health.degrade()
        self.table.extend_suspicions(now_us + self.config.suspicion_timeout_us)
        self.next_probe_us = now_us
        return self._actions

    def tick(self, now_us: int) -> list[Action]:
        """Handles the timeouts of probes and suspicions that are due, and starts the next probe."""
        self._actions = []
        if self.local.has_name_conflict:
            self.next_probe_us = now_us + self._probe_interval_us
            return self._actions
        self._check_pending_probes(now_us)
        self._actions += self.table.expire(now_us, self.is_isolated(now_us))
        if self._forwarded_probes:
            self._forwarded_probes = {
                sequence_number: probe
                for sequence_number, probe in self._forwarded_probes.items()
                if probe.expires_us > now_us
            }
        if now_us >= self.next_probe_us:
            self._start_probe_round(now_us)
        return self._actions

    def handle(self, now_us: int, datagram: Datagram, source: Address) -> list[Action]:
        """Handles a datagram received from `source`."""
        self._actions = []
        if self.local.has_name_conflict:
            return self._actions
        sender, local_name = datagram.sender, self.local.peer.name
        if sender.name == local_name:
            self._actions += self.local.check_name_conflict(sender, now_us)
            return self._actions
        for update in (sender, *datagram.updates):
            if update.name == local_name:
                self._actions += self.local.refute(update, now_us)
            else:
                self._actions += self.table.apply(update, sender.name, now_us)
        match datagram:
            case Ping():
                self._handle_ping(datagram, source)
            case PingRequest():
                self._handle_ping_request(datagram, source, now_us)
            case Ack():
                self._handle_ack(datagram, source, now_us)
        return self._actions

    # Probing

    def _start_probe_round(self, now_us: int) -> None:
        self.next_probe_us = now_us + self._probe_interval_us
        self._probe_rounds += 1
        if (peer := self._probe_order.next(self.table)) is not None:
            self._probe(peer, now_us + self._probe_interval_us)
        if self._probe_rounds % REJOIN_INTERVALS == 0:
            self._ping_dead_or_seed()

    def _probe(self, peer: Peer, ends_us: int) -> None:
        self._pending_probes[self._next_sequence_number()] = PendingProbe(peer, ends_us)
        self._ping(peer)

    def _check_pending_probes(self, now_us: int) -> None:
        for sequence_number, probe in list(self._pending_probes.items()):
            if now_us >= probe.ends_us:
                del self._pending_probes[sequence_number]
                self._handle_probe_timeout(probe, now_us)
            elif not probe.is_indirect and now_us >= probe.ends_us - self._indirect_probe_lead_us:
                probe.is_indirect = True
                self._send_ping_requests(sequence_number, probe.peer)

    def _send_ping_requests(self, sequence_number: int, target: Peer) -> None:
        """Asks random members for an indirect probe, and the member that reached the target last.

        The latter may be the only path to the target.
        """
        others = [p for p in self.live_peers() if p.name != target.name and p.state is MemberState.ALIVE]
        chosen = self.random.sample(others, min(INDIRECT_PROBES, len(others)))
        last = self._last_indirect_path.get(target.name)
        if last is not None and last not in (peer.name for peer in chosen):
            chosen += [peer for peer in others if peer.name == last]
        for peer in chosen:
            request = PingRequest(
                sequence_number, target, self.local.peer, self.table.select_updates(self.random, peer.name)
            )
            self._send(peer.address, request)

    def _handle_probe_timeout(self, probe: PendingProbe, now_us: int) -> None:
        """Suspects a member that responded to neither a direct nor an indirect probe."""
        self.health.degrade()
        entry = self.members.get(probe.peer.name)
        if entry is None or not entry.peer.has_same_incarnation(probe.peer):
            return
        if entry.peer.state is MemberState.SUSPECT:
            self._probe_suspect(entry.peer)
        elif entry.peer.state is MemberState.ALIVE and not self.is_isolated(now_us):
            suspected = replace(entry.peer, state=MemberState.SUSPECT)
            self._actions += self.table.apply(suspected, self.local.peer.name, now_us)
            self._probe_suspect(probe.peer)

    def _probe_suspect(self, peer: Peer) -> None:
        """Sends the suspicion to the suspected member so that it can refute it; repeated until it does."""
        self._probe(peer, self.next_probe_us + self._probe_interval_us)

    def _ping_dead_or_seed(self) -> None:
        """Pings a random dead member or absent seed, to heal partitions and to find seeds that start late."""
        addresses = self.table.dead_addresses()
        live_addresses = {peer.address for peer in self.live_peers()}
        addresses += [seed for seed in self.seeds if seed not in live_addresses]
        if addresses:
            self._ping_address(self.random.choice(addresses))

    # Received datagrams

    def _handle_ping(self, ping: Ping, source: Address) -> None:
        # A ping with another target name is meant for an earlier relay at this address.
        if ping.target_name in ("", self.local.peer.name):
            updates = self.table.select_updates(self.random, ping.sender.name)
            self._send(source, Ack(ping.sequence_number, self.local.peer, updates))

    def _handle_ping_request(self, request: PingRequest, source: Address, now_us: int) -> None:
        expires_us = now_us + 2 * self.config.probe_interval_us
        forwarded = ForwardedProbe(request.sequence_number, source, expires_us)
        self._forwarded_probes[self._next_sequence_number()] = forwarded
        self._ping(request.target)

    def _handle_ack(self, ack: Ack, source: Address, now_us: int) -> None:
        if (forwarded := self._forwarded_probes.pop(ack.sequence_number, None)) is not None:
            updates = self.table.select_updates(self.random, "")
            self._send(forwarded.requester, Ack(forwarded.sequence_number, ack.sender, updates))
            return
        probe = self._pending_probes.get(ack.sequence_number)
        if probe is None:
            return
        self._last_ack_us = now_us
        sender_name, source_name = ack.sender.name, self.table.name_at(source)
        if source_name != sender_name:
            self._last_indirect_path[sender_name] = source_name
        if probe.peer.name == sender_name:
            del self._pending_probes[ack.sequence_number]
            self.health.improve()

    # Sent datagrams

    def _next_sequence_number(self) -> int:
        self.sequence_number += 1
        return self.sequence_number

    def _ping(self, peer: Peer) -> None:
        """Pings a member with the current sequence number."""
        updates = self.table.select_updates(self.random, peer.name)
        self._send(peer.address, Ping(self.sequence_number, peer.name, self.local.peer, updates))

    def _ping_address(self, address: Address) -> None:
        sequence_number = self._next_sequence_number()
        self._send(
            address, Ping(sequence_number, "", self.local.peer, self.table.select_updates(self.random, ""))
        )

    def _send(self, address: Address, datagram: Datagram) -> None:
        self._actions.append(Send(address, datagram))
