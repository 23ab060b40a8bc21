"""Guards against taking a duplicate response for the answer to another request.

HTTP/1.1 pairs responses with requests by their order alone. A host, or a proxy before it, that sends a
response twice therefore answers the next request on that connection with the wrong one. After such an
unsolicited response, at-most-once messages use connections that have carried nothing, and connections are
reused only after a delay that lets late duplicates arrive.
"""

from __future__ import annotations

from loftrelay.delivery.connection_pool.connection import ConnectionState, PooledConnection
from loftrelay.delivery.connection_pool.host import HostPool
from loftrelay.delivery.connection_pool.settings import DistrustScope, PoolSettings

MIN_RESPONSES = 32  # before a response counts as earlier than any other
MIN_CALLS_CARRIED = 2  # before a duplicate can arrive


class ResponseTrust:
    """Which hosts have sent unsolicited responses, and what follows from it."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings
        self.unsolicited_at: int | None = None  # the last that cost trust, of all hosts
        self.unsolicited_count = 0

    def requires_unused(self, host: HostPool, now: int) -> bool:
        """Whether at-most-once messages to the host need a connection that has carried nothing."""
        return self.settings.is_strict or self.is_distrusted(host, now)

    def is_distrusted(self, host: HostPool, now: int) -> bool:
        """Whether an unsolicited response still counts against the host."""
        is_shared = self.settings.distrust_scope is DistrustScope.ALL_HOSTS
        at = self.unsolicited_at if is_shared else host.responses.unsolicited_at
        if at is None:
            return False
        restored_after = self.settings.trust_restored_after
        return not restored_after or now - at < restored_after

    def reuse_delay(self, host: HostPool) -> int:
        """Idle time before a connection is reused: twice the latest duplicate's delay, within the limits."""
        configured = self.settings.reuse_delay
        return min(
            max(configured, 2 * host.responses.max_copy_delay),
            max(configured, self.settings.max_reuse_delay),
        )

    def min_response_time(self, connection: PooledConnection) -> int:
        """A response sooner than that (microseconds) may be a duplicate; 0: none is suspected."""
        responses = connection.host.responses
        if connection.calls_carried < MIN_CALLS_CARRIED or responses.count < MIN_RESPONSES:
            return 0
        return int(responses.min_time * self.settings.early_response_fraction)

    def record_unsolicited(
        self, connection: PooledConnection, is_behind: bool, event_time: int, now: int
    ) -> bool:
        """Counts an unsolicited response.

        One that came with the end of a response, or within the reuse delay, can reach no other request and
        costs no trust.

        Returns:
            Whether the host was trusted until now and is not any more.
        """
        host = connection.host
        self.unsolicited_count += 1
        delay: int | None = None
        if connection.state is ConnectionState.IDLE:
            delay = event_time - connection.idle_since
        if delay is not None and connection.calls_carried:
            host.responses.max_copy_delay = max(host.responses.max_copy_delay, delay)
        is_harmless = delay is not None and connection.calls_carried and delay <= self.settings.reuse_delay
        if is_behind or is_harmless:
            return False
        was_trusted = not self.is_distrusted(host, now)
        host.responses.unsolicited_at = self.unsolicited_at = event_time
        return was_trusted
