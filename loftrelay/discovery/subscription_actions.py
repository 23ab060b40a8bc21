"""Actions that the subscription's state machine returns, and the values that they carry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from loftrelay.decisions.events import EndpointEntry
from loftrelay.net.address import Address
from loftrelay.relay.ports import ResolutionStatus

Row = tuple[EndpointEntry, Address]


class Channel(Enum):
    """Kind of a call to a registry. Each has a connection of its own, and at most one call at a time."""

    CHANGES = auto()
    WATCH = auto()
    FAILBACK_CHECK = auto()  # compares another registry with the one in use


@dataclass(frozen=True, slots=True)
class StartCall:
    """Call a registry.

    Attributes:
        channel: Kind of the call.
        number: Identifies the call when its outcome is reported.
        registry: Where to.
        target: Target of the request.
        wait: Seconds for which the registry may hold the call before it answers.
    """

    channel: Channel
    number: int
    registry: Address
    target: str
    wait: float


@dataclass(frozen=True, slots=True)
class CancelCalls:
    """Cancel all calls and close their connections; their outcomes are ignored."""


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Apply changed rows to the relay's endpoint list."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class DestinationResolved:
    """End the lookup of one destination."""

    destination: int
    state: ResolutionStatus


@dataclass(frozen=True, slots=True)
class ReleaseDestinations:
    """Release idle or surplus destinations, where no message needs them.

    `SubscriptionState.release` then receives which of them were released.
    """

    destinations: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write one line to the log."""

    text: str


Action = StartCall | CancelCalls | EntriesChanged | DestinationResolved | ReleaseDestinations | LogLine
