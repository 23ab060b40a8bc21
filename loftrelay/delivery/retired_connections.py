"""Connections on which a response came that no request awaited: nothing more is sent, what comes is read.

Several duplicates shift the responses of a connection by several calls, so that the true results of its last
calls come behind the first surplus response.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from loftrelay.delivery.host_call import OpenedConnection
from loftrelay.net.surplus_responses import SurplusResponses

READ_S = 2.0  # from the first surplus response
MAX_RETIRED = 64  # the oldest is closed for a new one


@dataclass(slots=True)
class RetiredConnection:
    """A connection that is only read.

    Attributes:
        opened: The connection and its recent responses.
        timer: Closes it.
        has_first: Whether the response with which it was retired is complete.
    """

    opened: OpenedConnection
    timer: asyncio.TimerHandle
    has_first: bool = False


class RetiredConnections:
    """Reads retired connections for a limited time.

    Args:
        on_surplus: Called with a connection and whether a further surplus response on it is a 200.
        on_ended: Called with a connection that ended before its time, so that responses may be missing.
    """

    def __init__(
        self,
        on_surplus: Callable[[OpenedConnection, bool], None],
        on_ended: Callable[[OpenedConnection], None] = lambda _opened: None,
    ) -> None:
        self.on_surplus = on_surplus
        self.on_ended = on_ended
        self.connections: dict[int, RetiredConnection] = {}

    def add(self, number: int, opened: OpenedConnection) -> None:
        """Starts to read a connection; the response with which it was retired is not passed on."""
        if len(self.connections) >= MAX_RETIRED:
            self._close(next(iter(self.connections)))
        timer = asyncio.get_running_loop().call_later(READ_S, self._close, number)
        self.connections[number] = RetiredConnection(opened, timer)
        connection = opened.connection
        connection.surplus = connection.surplus or SurplusResponses()
        connection.surplus.read(partial(self._received, number), partial(self._ended, number))

    def close(self) -> None:
        """Closes all connections."""
        for number in list(self.connections):
            self._close(number)

    def _received(self, number: int, status: int) -> None:
        if (retired := self.connections.get(number)) is None:
            return
        if retired.has_first:
            self.on_surplus(retired.opened, status == 200)
        retired.has_first = True

    def _ended(self, number: int) -> None:
        if (retired := self.connections.get(number)) is not None:
            self.on_ended(retired.opened)
            self._close(number)

    def _close(self, number: int) -> None:
        if (retired := self.connections.pop(number, None)) is None:
            return
        retired.timer.cancel()
        retired.opened.connection.close()
        retired.opened.recent_responses.clear()
