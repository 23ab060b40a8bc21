"""This relay's own membership: refutes wrong updates about it and detects another relay with its name.

Does no input or output.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from loftrelay.gossip.actions import NameConflict
from loftrelay.gossip.broadcast_queue import BroadcastQueue
from loftrelay.gossip.lifeguard import LocalHealth
from loftrelay.gossip.messages import MemberState, Peer
from loftrelay.gossip.swim_config import SwimConfig

CONFLICT_THRESHOLD = 8  # updates from another run, in a row; an earlier run of this relay causes fewer
CONFLICT_RESET_TIMEOUTS = 3  # suspicion timeouts without such an update, after which the count is reset


class LocalMember:
    """This relay's own state.

    Attributes:
        peer: What this relay reports about itself.
        has_name_conflict: Another relay with the same name is running, and this one has left the fleet.
    """

    def __init__(
        self, peer: Peer, config: SwimConfig, health: LocalHealth, updates: BroadcastQueue[Peer]
    ) -> None:
        self.peer = peer
        self.has_name_conflict = False
        self._health = health
        self._updates = updates
        self._conflict_reset_us = CONFLICT_RESET_TIMEOUTS * config.suspicion_timeout_us
        self._conflict_updates = 0
        self._last_conflict_us = -(1 << 62)

    def refute(self, update: Peer, now_us: int) -> Iterable[NameConflict]:
        """Refutes a wrong update about this relay: one from an earlier run, or a suspicion.

        Returns:
            The name conflict, if the update reveals one.
        """
        if update.precedence <= self.peer.precedence:
            return ()
        conflicts: Iterable[NameConflict] = ()
        if update.incarnation_id != self.peer.incarnation_id and update.state is MemberState.ALIVE:
            conflicts = self.check_name_conflict(update, now_us)
            if self.has_name_conflict:
                return conflicts
        self._override(update)
        if update.state is not MemberState.ALIVE:
            self._health.degrade()
        return conflicts

    def check_name_conflict(self, other: Peer, now_us: int) -> Iterable[NameConflict]:
        """Handles an update from another run under this relay's name.

        Updates from an earlier run of this relay stop once they are overridden; those of another relay
        continue. Of the two relays, the one with the higher incarnation id leaves the fleet.

        Returns:
            The name conflict, if this relay has to leave.
        """
        if other.incarnation_id == self.peer.incarnation_id:
            return ()  # a datagram of this relay that was returned to it
        if now_us - self._last_conflict_us > self._conflict_reset_us:
            self._conflict_updates = 0
        self._conflict_updates += 1
        self._last_conflict_us = now_us
        if other.precedence >= self.peer.precedence:
            self._override(other)
        is_concurrent = self._conflict_updates > CONFLICT_THRESHOLD and other.address != self.peer.address
        if is_concurrent and self.peer.incarnation_id > other.incarnation_id:
            self.has_name_conflict = True
            return (NameConflict(other.address),)
        return ()

    def _override(self, update: Peer) -> None:
        self.peer = replace(self.peer, incarnation=update.incarnation + 1)
        self._updates.add(self.peer.name, self.peer)
