"""This relay as a member: refutes wrong updates about itself and detects a second relay of its name.

No input or output.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from loftrelay.gossip.actions import NameConflict
from loftrelay.gossip.broadcast_queue import BroadcastQueue
from loftrelay.gossip.lifeguard import LocalHealth
from loftrelay.gossip.messages import MemberState, Peer
from loftrelay.gossip.swim_config import SwimConfig

CONFLICT_THRESHOLD = 8  # updates from another run, in a row; updates of an earlier run are fewer
CONFLICT_RESET_TIMEOUTS = 3  # suspicion timeouts without one, after which the count is reset


class LocalMember:
    """This relay's own state.

    Attributes:
        peer: What this relay reports about itself.
        has_name_conflict: Another relay of the same name is running, and this one leaves the fleet to it.
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
        """Overrides an update about this relay that is wrong: from an earlier run, or a suspicion."""
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
        """Handles an update that another run under this name has sent.

        Updates from an earlier run of this relay stop once they are overridden; those of a concurrent relay
        go on. Of the two, the one with the higher incarnation id leaves the fleet.
        """
        if other.incarnation_id == self.peer.incarnation_id:
            return ()  # an own datagram that came back
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
