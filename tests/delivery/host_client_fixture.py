"""Hands calls to the delivery side over loopback sockets, and records how each message of them ended."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Mapping
from typing import Any

from loftrelay.delivery.connection_pool.settings import PoolSettings
from loftrelay.delivery.host_client import HostClient
from loftrelay.net.address import Address
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult, CallOptions


class Sender:
    def __init__(self, places: Mapping[str, Address], most: int = 100, **limits: Any) -> None:
        self.ended: dict[str, asyncio.Future[AttemptResult]] = {}
        self.doubted: list[str] = []
        self.tried: list[str] = []
        self.waits: dict[str, float] = {}  # host -> until when (the loop's seconds)
        self.shared = True  # the routes of the one destination: a wait binds all its hosts
        self.told = asyncio.Event()
        self.hosts = HostClient(
            200_000,
            15_000_000,
            most,
            PoolSettings(**limits),
            1,
            lambda held, host: self.tried.append(held.id),
            self._ended,
            lambda name, host, at: self.doubted.append(name),
            on_retry_after=self.tell,
            is_blocked=self._bound,
        )
        for name, address in places.items():
            self.hosts.add_host(name, address, 1)

    async def __aenter__(self) -> Sender:
        return self

    async def __aexit__(self, *_: object) -> None:
        self.hosts.close()
        await asyncio.gather(*self.hosts.calls, return_exceptions=True)

    def tell(self, host: str, wait: int) -> None:
        until = asyncio.get_running_loop().time() + wait / 1e6
        for name in self.hosts.driver.addresses if self.shared else (host,):
            self.waits[name] = max(self.waits.get(name, 0.0), until)
        self.hosts.withdraw_blocked_calls()
        self.told.set()

    def _bound(self, host: str) -> bool:
        return self.waits.get(host, 0.0) > asyncio.get_running_loop().time()

    def _ended(self, held: Message, host: str, ending: AttemptResult) -> None:
        self.ended[held.id].set_result(ending)

    def send(
        self,
        *names: str,
        host: str = "h",
        unsafe: bool = False,
        batch: bool = False,
        timeout: float = 5.0,
        body: bytes = b"hello",
        begin_within: float = math.inf,
    ) -> asyncio.Future[AttemptResult]:
        """One call. Gives the ending of its first message."""
        now = wall_clock()
        messages = []
        for name in names:
            self.ended[name] = asyncio.get_running_loop().create_future()
            messages.append(Message(name, 0, "x", None, 1, None, now, now + int(timeout * 1e6), body))
        self.hosts.send_call(host, messages, CallOptions(timeout, batch, unsafe, None, begin_within))
        return self.ended[names[0]]
