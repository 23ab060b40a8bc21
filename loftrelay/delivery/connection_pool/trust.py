"""Protection against taking a duplicate response for the response to another request.

HTTP/1.1 matches responses to requests by order alone. If a host, or a proxy before it, sends a response
twice, the duplicate answers the next request on that connection. After such an unsolicited response,
at-most-once messages use connections that have carried no call, and connections are reused only after a
delay that lets late duplicates arrive.
"""

from __future__ import annotations

from loftrelay.delivery.connection_pool.connection import ConnectionState, PooledConnection
from loftrelay.delivery.connection_pool.host import HostPool
from loftrelay.delivery.connection_pool.settings import DistrustScope, PoolSettings

MIN_RESPONSES = 32  # of a host, before a response can be suspected for arriving too early
MIN_RESPONSES_REPEATABLE = 8  # the same, where a wrong suspicion costs a message that runs twice at most
MIN_CALLS_CARRIED = 2  # by a connection, the current call included, before a duplicate can arrive


class ResponseTrust:
    """Tracks the hosts that sent unsolicited responses, and restricts the reuse of their connections."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings
        self.unsolicited_at: int | None = None  # last unsolicited response of any host that cost trust
        self.unsolicited_count = 0

    def requires_unused(self, host: HostPool, now: int) -> bool:
        """Whether at-most-once messages to the host need a connection that has carried no call."""
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
        """Returns the idle time before reuse: twice the longest duplicate delay, within the limits."""
        configured = self.settings.reuse_delay
        return min(
            max(configured, 2 * host.responses.max_duplicate_delay),
            max(configured, self.settings.max_reuse_delay),
        )

    def min_response_time(self, connection: PooledConnection) -> int:
        """Returns the response time in microseconds below which a duplicate is suspected; 0: none is."""
        responses = connection.host.responses
        if connection.calls_carried < MIN_CALLS_CARRIED or responses.count < MIN_RESPONSES:
            return 0
        return int(responses.min_time * self.settings.early_response_fraction)

    def is_suspicious(self, connection: PooledConnection, response_time: int, now: int) -> bool:
        """Whether a response to a repeatable message may be a duplicate.

        Args:
            connection: The connection of the response.
            response_time: Microseconds from the last byte of the request to the first of the response.
            now: The time in microseconds.
        """
        if self.is_distrusted(connection.host, now):
            return True
        responses = connection.host.responses
        is_known = responses.count >= MIN_RESPONSES_REPEATABLE
        return is_known and response_time < responses.min_time * self.settings.early_response_fraction

    def record_unsolicited(
        self, connection: PooledConnection, is_trailing: bool, event_time: int, now: int
    ) -> bool:
        """Counts an unsolicited response.

        A response that arrived with the end of another, or within the reuse delay, cannot be taken for
        that of another request and costs no trust.

        Returns:
            Whether the host was trusted until now and is not any more.
        """
        host = connection.host
        self.unsolicited_count += 1
        delay: int | None = None
        if connection.state is ConnectionState.IDLE:
            delay = event_time - connection.idle_since
        if delay is not None and connection.calls_carried:
            host.responses.max_duplicate_delay = max(host.responses.max_duplicate_delay, delay)
        is_harmless = delay is not None and connection.calls_carried and delay <= self.settings.reuse_delay
        if is_trailing or is_harmless:
            return False
        was_trusted = not self.is_distrusted(host, now)
        host.responses.unsolicited_at = self.unsolicited_at = event_time
        return was_trusted
