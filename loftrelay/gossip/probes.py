"""Probes that wait for an Ack, and the order in which members are probed. Does no input or output."""

from __future__ import annotations

import random
from dataclasses import dataclass

from loftrelay.gossip.member_table import MemberTable
from loftrelay.gossip.messages import MemberState, Peer
from loftrelay.net.address import Address


@dataclass(slots=True)
class PendingProbe:
    """A probe of this relay that waits for an Ack until `ends_us`."""

    peer: Peer
    ends_us: int
    is_indirect: bool = False  # other members were asked to ping it as well


@dataclass(frozen=True, slots=True)
class ForwardedProbe:
    """A ping on behalf of another relay; its Ack is forwarded with the requester's sequence number."""

    sequence_number: int
    requester: Address
    expires_us: int


class ProbeOrder:
    """Round-robin over the members, in an order that is shuffled for each round (SWIM, section 4.3).

    No member waits longer than two rounds for its next probe.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._names: list[str] = []

    def next(self, table: MemberTable) -> Peer | None:
        """Returns the member to probe next; None if there are no live members."""
        while True:
            if not self._names:
                self._names = table.live_names()
                self._random.shuffle(self._names)
                if not self._names:
                    return None
            entry = table.entries.get(self._names.pop())
            if entry is not None and entry.peer.state is not MemberState.DEAD:
                return entry.peer
