"""Datagrams of the membership protocol, named as in the SWIM paper, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from loftrelay.net.address import Address


class MemberState(IntEnum):
    """State of a member. For the same incarnation, the higher value overrides the lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(frozen=True, slots=True)
class Peer:
    """State of a member as one relay reports it: an update in a datagram, or an entry of a table.

    Attributes:
        name: Unique name of the relay within its fleet.
        address: Address that it receives datagrams on.
        incarnation_id: Random number that identifies a run of its process.
        incarnation: SWIM's incarnation number. It increases over all runs, and only the member raises it.
        state: Reported state.
    """

    name: str
    address: Address
    incarnation_id: int
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Sort key of updates about one member: the update with the higher precedence is in force."""
        return self.incarnation, self.incarnation_id, self.state

    def has_same_incarnation(self, other: Peer) -> bool:
        """Whether both updates are about the same incarnation of the same run."""
        return (self.incarnation, self.incarnation_id) == (other.incarnation, other.incarnation_id)


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an Ack with the same sequence number from `target_name`, or from any relay if it is empty."""

    sequence_number: int
    target_name: str
    sender: Peer
    updates: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Response to a Ping, or to a PingRequest on behalf of its target."""

    sequence_number: int
    sender: Peer
    updates: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """SWIM's ping-req: asks the recipient to ping `target` and to forward its Ack."""

    sequence_number: int
    target: Peer
    sender: Peer
    updates: tuple[Peer, ...] = ()


Datagram = Ping | Ack | PingRequest
