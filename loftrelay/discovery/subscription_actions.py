"""Actions that the subscription's state machine returns, and the values that they carry."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from loftrelay.decisions.events import EndpointEntry
from loftrelay.net.address import Address
from loftrelay.relay.ports import ResolutionStatus

Row = tuple[EndpointEntry, Address]


class Channel(Enum):
    """Kind of a call to a registry. Each kind has its own connection and at most one call at a time."""

    CHANGES = auto()
    WATCH = auto()
    FAILBACK_CHECK = auto()  # compares another registry with the one in use


@dataclass(frozen=True, slots=True)
class StartCall:
    """Calls a registry.

    Attributes:
        channel: Kind of the call.
        call_id: Identifies the call when its outcome is reported.
        registry: Address of the registry.
        target: Request target.
        wait: Seconds for which the registry may delay its response.
    """

    channel: Channel
    call_id: int
    registry: Address
    target: str
    wait: float


@dataclass(frozen=True, slots=True)
class CancelCalls:
    """Cancels all calls and closes their connections; their outcomes are ignored."""


@dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Applies changed rows to the relay's endpoint list."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class DestinationResolved:
    """Ends the lookup of one destination."""

    destination: int
    status: ResolutionStatus


@dataclass(frozen=True, slots=True)
class ReleaseDestinations:
    """Releases destinations that are idle or over capacity, unless a message needs them.

    `SubscriptionState.release` is then called with those that were released.
    """

    destinations: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LogLine:
    """Writes one line to the log."""

    text: str


Action = StartCall | CancelCalls | EntriesChanged | DestinationResolved | ReleaseDestinations | LogLine
