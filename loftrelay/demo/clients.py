"""Clients that hand messages in over kept connections, again and again until each is taken on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

RETRY_PAUSE_S = 0.05  # seconds before one that was not taken on, or not answered, is handed in again
MESSAGE_TIMEOUT_S = 20  # seconds that a message has


@dataclass
class ClientStatistics:
    """What clients heard."""

    admitted: set[str] = field(default_factory=set)
    rejections: int = 0  # times that one was turned away
    lost_responses: int = 0  # connections that ended with no answer


@dataclass(frozen=True, slots=True)
class Message:
    message_id: str
    class_name: str  # "order": must not run twice, in order for each key; "status": may run again
    destination: int
    ordering_key: str
    body: bytes

    @property
    def request(self) -> bytes:
        path = f"/order/{self.ordering_key}" if self.class_name == "order" else "/status"
        return (
            f"POST {path} HTTP/1.1\r\nHost: relay\r\nRequest-Id: {self.message_id}\r\n"
            f"Request-Class: {self.class_name}\r\nTenant: acme\r\n"
            f"Request-Timeout-Ms: {MESSAGE_TIMEOUT_S * 1000}\r\n"
            f"X-Consignee: dest={self.destination}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body


class Client:
    """`address` tells where the relay listens now: it may have been started again."""

    def __init__(self, address: Callable[[], tuple[str, int]], account: ClientStatistics) -> None:
        self.relay_address, self.statistics = address, account
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def submit(self, message: Message) -> None:
        """Until it is taken on, or has run already."""
        while True:
            try:
                status = await self._exchange(message.request)
            except (OSError, asyncio.IncompleteReadError):
                self.statistics.lost_responses += 1
                self.close()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if status in (200, 202):
                self.statistics.admitted.add(message.message_id)
                return
            if status != 503:
                return  # its end, told at once
            self.statistics.rejections += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _exchange(self, request: bytes) -> int:
        if self.connection is None:
            self.connection = await asyncio.open_connection(*self.relay_address())
        reader, writer = self.connection
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = head.partition("content-length:")[2].partition("\r\n")[0].strip()
        await reader.readexactly(int(length or 0))
        if "connection: close" in head:
            self.close()
        return int(head.split()[1])
