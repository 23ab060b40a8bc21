"""Settles deliveries: decides when no later response on their connection is expected to dispute them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from loftrelay.delivery.host_call import OpenedConnection
from loftrelay.delivery.recent_responses import RecentResponse
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.ports import DisputedDelivery

SWEEP_INTERVAL_S = 0.25
SETTLING_TIME_US = 1_000_000  # in which the true response to a call mostly comes
# A host that closes a connection sooner after its last response has hardly closed it for idleness.
MIN_IDLE_CLOSE_US = 4_000_000


@dataclass(frozen=True, slots=True)
class DeliveryEvents:
    """What becomes of deliveries after their responses.

    Attributes:
        disputed: Called with a delivery whose response may have belonged to another message.
        unconfirmed: Called with a delivery that is doubtful because its connection ended.
        settled: Called with the id of a message whose delivery is unlikely to be disputed any more.
    """

    disputed: Callable[[DisputedDelivery], None] = lambda _delivery: None
    unconfirmed: Callable[[DisputedDelivery], None] = lambda _delivery: None
    settled: Callable[[str], None] = lambda _message_id: None


def now_us() -> int:
    """Returns the time of the event loop in microseconds."""
    return int(asyncio.get_running_loop().time() * 1e6)


class Settlement:
    """Sweeps the connections with open deliveries. Times are in microseconds of the event loop's clock.

    All events are passed on from the event loop, after the result of the call that the response came with.

    Args:
        connections: Returns the connections that may carry further calls.
        events: Receives what becomes of deliveries.
    """

    def __init__(self, connections: Callable[[], Iterable[OpenedConnection]], events: DeliveryEvents) -> None:
        self.connections = connections
        self.events = events
        # Host -> when the latest request that it has answered was written, on any connection.
        self.answered_until: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def response_received(self, opened: OpenedConnection, written_at: int) -> None:
        """Notes that a host has answered a request that was written at `written_at`."""
        opened.last_response_at = now_us()
        self.answered_until[opened.host] = max(written_at, self.answered_until.get(opened.host, 0))
        self._start()

    def connection_ended(self, opened: OpenedConnection, *, is_idle: bool) -> None:
        """Passes on the deliveries that are doubtful because their connection ends.

        Args:
            opened: The connection.
            is_idle: Whether it ends while no call is in progress.
        """
        is_doubtful = partial(self._is_doubtful, opened, now_us(), is_idle)
        for response in opened.recent_responses.end(is_doubtful):
            if response.can_be_reported(wall_clock()):
                self._post(self.events.unconfirmed, disputed_delivery(opened, response))
            else:
                self.settled(response.message.id)

    def disputed(self, opened: OpenedConnection, response: RecentResponse) -> None:
        """Passes on a delivery that a surplus response disputes."""
        self._post(self.events.disputed, disputed_delivery(opened, response))

    def settled(self, message_id: str) -> None:
        """Passes on that a delivery is unlikely to be disputed any more."""
        asyncio.get_running_loop().call_soon(self.events.settled, message_id)

    def remove_host(self, host: str) -> None:
        """Forgets a host."""
        self.answered_until.pop(host, None)

    def close(self) -> None:
        """Stops the sweeps."""
        if self._timer is not None:
            self._timer.cancel()

    def _post(self, event: Callable[[DisputedDelivery], None], delivery: DisputedDelivery) -> None:
        asyncio.get_running_loop().call_soon(event, delivery)

    def _is_doubtful(
        self, opened: OpenedConnection, now: int, is_idle: bool, response: RecentResponse
    ) -> bool:
        if response.is_suspicious:
            return True
        if self._is_alive_since(opened.host, response.written_at):
            return False
        if opened.connection.was_reset:
            return True
        quiet_us = now - opened.last_response_at
        is_silent = quiet_us >= SETTLING_TIME_US  # a host that ends a connection at once is not
        return is_silent and (not is_idle or quiet_us < MIN_IDLE_CLOSE_US)

    def _start(self) -> None:
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        now, has_open = now_us(), False
        for opened in self.connections():
            if not opened.recent_responses.has_unsettled:
                continue
            is_quiet = now - opened.last_response_at >= SETTLING_TIME_US
            if is_quiet and not opened.is_in_call and opened.connection.is_usable():
                opened.recent_responses.settle()
            else:
                has_open = True
        if has_open:
            self._start()

    def _is_alive_since(self, host: str, written_at: int) -> bool:
        """Returns whether a host has answered a request that was written after `written_at`."""
        return self.answered_until.get(host, 0) > written_at


def disputed_delivery(opened: OpenedConnection, response: RecentResponse) -> DisputedDelivery:
    """Returns the delivery that a response on a connection stands for."""
    return DisputedDelivery(response.message, opened.host, response.sent_at, response.has_body)
