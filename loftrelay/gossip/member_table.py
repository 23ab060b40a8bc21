"""Table of the other members and their states. Does no input or output.

Updates change a member's state as defined by TRANSITIONS. In addition, a suspected member is declared dead
after a timeout unless it refutes the suspicion, and a dead member is removed later.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, auto

from loftrelay.gossip.actions import StateChanged
from loftrelay.gossip.broadcast_queue import BroadcastQueue
from loftrelay.gossip.lifeguard import MAX_CONFIRMATIONS, LocalHealth, suspicion_timeout
from loftrelay.gossip.messages import MemberState, Peer
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.net.address import Address

MAX_UPDATES_PER_DATAGRAM = 20  # the number that fits into a datagram
MAX_RANDOM_UPDATES = 4  # of these, states of random members that fill up a datagram with few pending updates
DEAD_RETENTION_INTERVALS = 64  # probe intervals after which a dead member is removed


class PriorState(Enum):
    """State of a member's entry in the table, relative to an update that has arrived."""

    UNKNOWN = auto()
    OLDER = auto()  # of an older incarnation
    NEWER = auto()  # of a newer incarnation
    ALIVE = auto()  # this and the following: of the same incarnation, in this state
    SUSPECT = auto()
    DEAD = auto()


class Transition(Enum):
    """Effect of an update on a member's entry."""

    IGNORE = auto()
    SET_STATE = auto()
    START_SUSPICION = auto()
    CONFIRM_SUSPICION = auto()


# (prior state of the entry, state in the update) -> effect; all other combinations are ignored.
TRANSITIONS = {
    (PriorState.UNKNOWN, MemberState.ALIVE): Transition.SET_STATE,
    (PriorState.UNKNOWN, MemberState.SUSPECT): Transition.START_SUSPICION,
    (PriorState.OLDER, MemberState.ALIVE): Transition.SET_STATE,
    (PriorState.OLDER, MemberState.SUSPECT): Transition.START_SUSPICION,
    (PriorState.OLDER, MemberState.DEAD): Transition.SET_STATE,
    (PriorState.ALIVE, MemberState.SUSPECT): Transition.START_SUSPICION,
    (PriorState.ALIVE, MemberState.DEAD): Transition.SET_STATE,
    (PriorState.SUSPECT, MemberState.SUSPECT): Transition.CONFIRM_SUSPICION,
    (PriorState.SUSPECT, MemberState.DEAD): Transition.SET_STATE,
}


@dataclass(slots=True)
class MemberEntry:
    """Entry of one member. Times are microseconds.

    Attributes:
        peer: The update in force.
        state_since_us: When that update was applied.
        accusers: Names of the relays that suspect the member.
        suspicion_ends_us: When a suspected member is declared dead.
    """

    peer: Peer
    state_since_us: int
    accusers: frozenset[str] = frozenset()
    suspicion_ends_us: int = 0


def _prior_state(entry: MemberEntry | None, update: Peer) -> PriorState:
    if entry is None:
        return PriorState.UNKNOWN
    if entry.peer.has_same_incarnation(update):
        return PriorState[entry.peer.state.name]
    return PriorState.OLDER if entry.peer.precedence < update.precedence else PriorState.NEWER


class MemberTable:
    """Entries of the other members, and the updates about them that are to be disseminated."""

    def __init__(self, config: SwimConfig, health: LocalHealth) -> None:
        self.entries: dict[str, MemberEntry] = {}
        self.updates: BroadcastQueue[Peer] = BroadcastQueue()
        self._config = config
        self._health = health
        self._unhealthy_names: dict[str, None] = {}  # suspect or dead; spares a tick the scan of all

    def live_peers(self) -> list[Peer]:
        """Returns the members that aren't declared dead."""
        return [entry.peer for entry in self.entries.values() if entry.peer.state is not MemberState.DEAD]

    def live_names(self) -> list[str]:
        """Returns the names of the members that aren't declared dead."""
        return [name for name, entry in self.entries.items() if entry.peer.state is not MemberState.DEAD]

    def suspects(self) -> list[MemberEntry]:
        """Returns the entries of suspected members."""
        entries = [self.entries[name] for name in self._unhealthy_names]
        return [entry for entry in entries if entry.peer.state is MemberState.SUSPECT]

    def dead_addresses(self) -> list[Address]:
        """Returns the addresses of members that are declared dead and not yet removed."""
        peers = [self.entries[name].peer for name in self._unhealthy_names]
        return [peer.address for peer in peers if peer.state is MemberState.DEAD]

    def name_at(self, address: Address) -> str:
        """Returns the name of the member at an address; empty if there is none."""
        return next((name for name, entry in self.entries.items() if entry.peer.address == address), "")

    def apply(self, update: Peer, reporter: str, now_us: int) -> Iterable[StateChanged]:
        """Applies an update sent by `reporter`.

        Returns:
            The change of state; empty if there is none.
        """
        entry = self.entries.get(update.name)
        if (
            entry is not None
            and update.state is not MemberState.SUSPECT
            and update.precedence <= entry.peer.precedence
        ):
            return ()  # fast path for most updates, which TRANSITIONS ignores as well
        match TRANSITIONS.get((_prior_state(entry, update), update.state), Transition.IGNORE):
            case Transition.SET_STATE:
                return self._set_state(update, now_us)
            case Transition.START_SUSPICION:
                return self._start_suspicion(update, reporter, now_us)
            case Transition.CONFIRM_SUSPICION:
                assert entry is not None
                self._confirm_suspicion(entry, reporter, now_us)
        return ()

    def expire(self, now_us: int, is_isolated: bool) -> list[StateChanged]:
        """Declares members dead whose suspicion has timed out, and removes long-dead members.

        Args:
            now_us: Current time.
            is_isolated: Whether this relay may be cut off: suspicions are extended, nobody is declared dead.

        Returns:
            The changes of state.
        """
        changes: list[StateChanged] = []
        for name in list(self._unhealthy_names):
            entry = self.entries[name]
            if entry.peer.state is MemberState.SUSPECT and now_us >= entry.suspicion_ends_us:
                if is_isolated:
                    entry.suspicion_ends_us = now_us + self._config.suspicion_timeout_us
                else:
                    changes += self._set_state(replace(entry.peer, state=MemberState.DEAD), now_us)
            elif (
                entry.peer.state is MemberState.DEAD
                and now_us - entry.state_since_us > self._dead_retention_us
            ):
                del self.entries[name], self._unhealthy_names[name]
        return changes

    def extend_suspicions(self, end_us: int) -> None:
        """Extends suspicions so that none times out previous `end_us`."""
        for entry in self.suspects():
            entry.suspicion_ends_us = max(entry.suspicion_ends_us, end_us)

    def select_updates(self, generator: random.Random, recipient: str) -> tuple[Peer, ...]:
        """Returns updates to piggyback: pending ones, the recipient's first, then states of random members.

        The latter compensate for updates that were lost with their datagrams.
        """
        pending = self.updates.next_batch(MAX_UPDATES_PER_DATAGRAM, len(self.entries), first=recipient)
        updates = list(pending.values())
        free_slots = min(MAX_RANDOM_UPDATES, MAX_UPDATES_PER_DATAGRAM - len(updates))
        if free_slots > 0:
            names = list(self.entries)
            chosen = generator.sample(names, min(len(names), free_slots + len(pending)))
            updates += [self.entries[name].peer for name in chosen if name not in pending][:free_slots]
        return tuple(updates)

    @property
    def _dead_retention_us(self) -> int:
        return DEAD_RETENTION_INTERVALS * self._config.probe_interval_us

    def _start_suspicion(self, update: Peer, reporter: str, now_us: int) -> Iterable[StateChanged]:
        changes = self._set_state(update, now_us)
        entry = self.entries[update.name]
        entry.accusers = frozenset({reporter})
        entry.suspicion_ends_us = now_us + self._suspicion_timeout_us(1)
        return changes

    def _confirm_suspicion(self, entry: MemberEntry, reporter: str, now_us: int) -> None:
        """Shortens the suspicion timeout, and disseminates the suspicion again."""
        if reporter in entry.accusers or len(entry.accusers) > MAX_CONFIRMATIONS:
            return
        entry.accusers |= {reporter}
        ends_us = max(now_us, entry.state_since_us + self._suspicion_timeout_us(len(entry.accusers)))
        entry.suspicion_ends_us = min(entry.suspicion_ends_us, ends_us)
        self.updates.add(entry.peer.name, entry.peer)

    def _suspicion_timeout_us(self, accusers: int) -> int:
        return suspicion_timeout(self._config.suspicion_timeout_us, accusers, self._health.score)

    def _set_state(self, peer: Peer, now_us: int) -> Iterable[StateChanged]:
        previous = self.entries.get(peer.name)
        self.entries[peer.name] = MemberEntry(peer, now_us)
        if peer.state is MemberState.ALIVE:
            self._unhealthy_names.pop(peer.name, None)
        else:
            self._unhealthy_names[peer.name] = None
        self.updates.add(peer.name, peer)
        if previous is None or (previous.peer.state, previous.peer.incarnation_id) != (
            peer.state,
            peer.incarnation_id,
        ):
            return (StateChanged(peer),)
        return ()
