"""Settings of the connection pool. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MS = 1_000
SECOND = 1_000_000


class ReuseOrder(Enum):
    """Order in which idle connections of a host are reused."""

    NEWEST_FIRST = "newest"  # connections that are not needed reach their idle limit
    ROTATE = "rotate"  # the longest idle first, so that all stay in use


class DistrustScope(Enum):
    """Hosts that lose trust after an unsolicited response."""

    HOST = "server"
    ALL_HOSTS = "all"


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits and delays of the connection pool; 0 means no limit.

    Attributes:
        is_strict: At-most-once messages always use connections that have carried no call.
        distrust_scope: Which hosts lose trust after an unsolicited response.
        trust_restored_after: Time after the last unsolicited response; 0: never.
        reuse_delay: Idle time before a connection is used again.
        max_reuse_delay: Upper bound of that delay if duplicate responses arrive late.
        at_most_once_reuse_delay: The delay for at-most-once messages; if possible another is opened instead.
        early_response_fraction: A response is held if it takes less than this fraction of the shortest
            response time; 0: off.
        reuse_order: Which idle connection is used first.
        max_per_host: Connections to one host.
        max_total: Connections to all hosts.
        max_connecting: Connects in progress to one host.
        connect_backoff: Delay after a failed connect, doubled with each further failure in a row.
        max_connect_backoff: Upper bound of that delay.
        is_capacity_learned: Learn from refused connects how many connections a host accepts.
        capacity_memory: Time after which a learned capacity is dropped.
        max_prewarmed: Connections to one host opened before they are needed; 0: off.
        warm_up_after: Duration of successful calls to a destination before connections are prewarmed.
        max_idle: Idle time after which a connection is closed.
        max_age: Age at which a connection is closed.
        is_age_limit_learned: Learn the limits on idle time and age of each host from resets.
        min_resets: Resets before a limit is learned.
        reset_memory: Time after which learned limits are dropped.
        limit_jitter: Largest fraction by which the limits of each connection are reduced at random, so that
            connections do not expire together.
    """

    is_strict: bool = False
    distrust_scope: DistrustScope = DistrustScope.ALL_HOSTS
    trust_restored_after: int = 3600 * SECOND
    reuse_delay: int = 10 * MS
    max_reuse_delay: int = 500 * MS
    at_most_once_reuse_delay: int = 100 * MS
    early_response_fraction: float = 0.25
    reuse_order: ReuseOrder = ReuseOrder.NEWEST_FIRST
    max_per_host: int = 0
    max_total: int = 0
    max_connecting: int = 0
    connect_backoff: int = 0
    max_connect_backoff: int = 2 * SECOND
    is_capacity_learned: bool = False
    capacity_memory: int = 30 * SECOND
    max_prewarmed: int = 0
    warm_up_after: int = 12 * SECOND
    max_idle: int = 0
    max_age: int = 0
    is_age_limit_learned: bool = True
    min_resets: int = 3
    reset_memory: int = 300 * SECOND
    limit_jitter: float = 0.2
