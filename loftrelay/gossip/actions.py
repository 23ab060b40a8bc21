"""Actions of the membership protocol that its transport executes."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.gossip.messages import Datagram, Peer
from loftrelay.net.address import Address


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram to an address."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class StateChanged:
    """The state or the incarnation id of a member has changed."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class NameConflict:
    """Another relay uses the name of this one, which therefore leaves the fleet."""

    other_address: Address


Action = Send | StateChanged | NameConflict
