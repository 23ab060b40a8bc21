"""Pool of one host: its connections, its waiting calls and its learned limits."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from loftrelay.delivery.connection_pool.connect_limits import ConnectBackoff, HostCapacity
from loftrelay.delivery.connection_pool.connection import PooledConnection
from loftrelay.delivery.connection_pool.idle_reset import IdleResetEstimator
from loftrelay.delivery.connection_pool.prewarm import ConnectDemand, DestinationHealth
from loftrelay.delivery.connection_pool.settings import SECOND


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a connection with an idle time under `max_idle` (microseconds; None: any)."""

    number: int
    host: HostPool
    is_at_most_once: bool
    max_idle: int | None


@dataclass(slots=True)
class ResponseStats:
    """Statistics of the response times and unsolicited responses of a host."""

    unsolicited_at: int | None = None
    max_duplicate_delay: int = 0  # longest time from a response to its duplicate
    min_time: int = 0  # shortest response time, microseconds
    count: int = 0

    def add(self, time: int) -> None:
        """Counts a response received `time` microseconds after its request."""
        self.min_time = time if not self.count else min(self.min_time, time)
        self.count += 1


@dataclass(slots=True, eq=False)
class HostPool:
    """The connections of one host, grouped by state, the oldest first."""

    name: str
    destination: DestinationHealth
    address: Hashable
    address_version: int = 0
    is_active: bool = True  # False: the host is draining or was removed
    is_known: bool = True
    unused: dict[int, PooledConnection] = field(default_factory=dict)  # idle, have carried no call
    idle: dict[int, PooledConnection] = field(default_factory=dict)
    busy: int = 0
    opening: dict[int, PooledConnection] = field(default_factory=dict)
    waiting: dict[int, WaitingCall] = field(default_factory=dict)
    responses: ResponseStats = field(default_factory=ResponseStats)
    backoff: ConnectBackoff = field(default_factory=ConnectBackoff)
    capacity: HostCapacity = field(default_factory=HostCapacity)
    demand: ConnectDemand = field(default_factory=ConnectDemand)
    timer_at: int = 0
    idle_close_counted_at: int = -SECOND
    idle_resets: IdleResetEstimator | None = None
    age_resets: IdleResetEstimator | None = None

    @property
    def established(self) -> int:
        """The number of open connections."""
        return self.busy + len(self.idle) + len(self.unused)

    @property
    def total(self) -> int:
        """The number of open connections and connects in progress."""
        return self.established + len(self.opening)

    @property
    def oldest_idle(self) -> PooledConnection | None:
        """The longest idle connection; one that has carried calls is preferred."""
        return next(iter((self.idle or self.unused).values()), None)

    def set_address(self, address: Hashable) -> None:
        """Sets a new address and drops what was learned about the old one."""
        self.address = address
        self.address_version += 1
        self.backoff.reset()
        self.capacity.limit = self.capacity.new_resets = 0
        self.idle_resets = self.age_resets = None
        self.responses.count = self.responses.min_time = 0
