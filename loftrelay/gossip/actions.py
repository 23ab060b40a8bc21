"""Actions of the membership protocol that its transport executes."""

from __future__ import annotations

from dataclasses import dataclass

from loftrelay.gossip.messages import Datagram, Peer
from loftrelay.net.address import Address


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram."""

    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class StateChanged:
    """A member's state or its incarnation id has changed."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class NameConflict:
    """Another relay uses the name of this one, which takes no further part in the fleet."""

    other_address: Address


Action = Send | StateChanged | NameConflict
