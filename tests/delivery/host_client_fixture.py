"""Harness that makes calls with a host client over loopback sockets and records the results."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping
from typing import Any

from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_client import HostClient
from loftrelay.delivery.settlement import DeliveryEvents
from loftrelay.net.address import Address
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions


class ClientHarness:
    """Owns a host client and stands in for the engine behind its callbacks. Use as an async context.

    Attributes:
        client: The host client under test.
        results: Message id -> the result of its attempt.
        disputed: Ids of messages whose rejection was disputed.
        disputed_deliveries: Ids of messages whose delivery was disputed.
        unconfirmed: Ids of delivered messages whose connection ended before their delivery was settled.
        settled: Ids of messages whose delivery was settled.
        attempted: Ids of messages whose attempt was recorded.
        blocked_until: Host -> end of its Retry-After, in seconds on the clock of the event loop.
        is_retry_after_shared: Whether a Retry-After applies to all hosts; else to the one that sent it.
        retry_after_received: Set once a Retry-After was received.
    """

    def __init__(self, addresses: Mapping[str, Address], max_connections: int = 100, **settings: Any) -> None:
        self.results: dict[str, asyncio.Future[AttemptResult]] = {}
        self.disputed: list[str] = []
        self.disputed_deliveries: list[str] = []
        self.unconfirmed: list[str] = []
        self.settled: list[str] = []
        self.attempted: list[str] = []
        self.blocked_until: dict[str, float] = {}
        self.is_retry_after_shared = True
        self.retry_after_received = asyncio.Event()
        self.client = HostClient(
            200_000,
            15_000_000,
            max_connections,
            PoolSettings(**settings),
            1,
            lambda message, host: self.attempted.append(message.id),
            self._record_result,
            lambda message_id, host, sent_at: self.disputed.append(message_id),
            on_retry_after=self.apply_retry_after,
            is_blocked=self.is_blocked,
            delivery_events=DeliveryEvents(
                disputed=lambda delivery: self.disputed_deliveries.append(delivery.message.id),
                unconfirmed=lambda delivery: self.unconfirmed.append(delivery.message.id),
                settled=self.settled.append,
            ),
        )
        for host, address in addresses.items():
            self.client.add_host(host, address, 1)

    async def __aenter__(self) -> ClientHarness:
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        await asyncio.gather(*self.client.calls, return_exceptions=True)

    def apply_retry_after(self, host: str, delay: int) -> None:
        """Applies a Retry-After of `delay` microseconds, as the engine does."""
        until = asyncio.get_running_loop().time() + delay / 1e6
        for name in self.client.driver.addresses if self.is_retry_after_shared else (host,):
            self.blocked_until[name] = max(self.blocked_until.get(name, 0.0), until)
        self.client.withdraw_blocked_calls()
        self.retry_after_received.set()

    def is_blocked(self, host: str) -> bool:
        """Whether a Retry-After applies to the host now."""
        return self.blocked_until.get(host, 0.0) > asyncio.get_running_loop().time()

    def _record_result(self, message: Message, host: str, result: AttemptResult) -> None:
        self.results[message.id].set_result(result)

    def send(
        self,
        *message_ids: str,
        host: str = "h",
        is_at_most_once: bool = False,
        is_batch: bool = False,
        timeout: float = 5.0,
        body: bytes = b"hello",
        send_within: float = math.inf,
    ) -> asyncio.Future[AttemptResult]:
        """Starts one call with these messages and returns the result of the first."""
        now = wall_clock()
        messages = []
        for message_id in message_ids:
            self.results[message_id] = asyncio.get_running_loop().create_future()
            messages.append(Message(message_id, 0, "x", None, 1, None, now, now + int(timeout * 1e6), body))
        self.client.send_call(
            host, messages, CallOptions(timeout, is_batch, is_at_most_once, None, send_within)
        )
        return self.results[message_ids[0]]
