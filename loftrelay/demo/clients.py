"""Clients that submit messages over persistent connections and retry each until it is admitted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

RETRY_PAUSE_S = 0.05  # after a rejection or a lost connection
MESSAGE_TIMEOUT_S = 20
ADMITTED_STATUSES = (200, 202)
REJECTED_STATUS = 503


@dataclass
class ClientStatistics:
    """What all clients observed.

    Attributes:
        admitted: Ids of messages whose admission was confirmed.
        rejections: How often a submission was rejected.
        lost_responses: How often a connection ended without a response.
    """

    admitted: set[str] = field(default_factory=set)
    rejections: int = 0
    lost_responses: int = 0


@dataclass(frozen=True, slots=True)
class Message:
    """One message of class "order" (at most once, ordered by key) or "status" (idempotent)."""

    message_id: str
    class_name: str
    destination: int
    ordering_key: str
    body: bytes

    @property
    def request(self) -> bytes:
        """The HTTP request that submits the message."""
        path = f"/order/{self.ordering_key}" if self.class_name == "order" else "/status"
        return (
            f"POST {path} HTTP/1.1\r\nHost: relay\r\nRequest-Id: {self.message_id}\r\n"
            f"Request-Class: {self.class_name}\r\nTenant: acme\r\n"
            f"Request-Timeout-Ms: {MESSAGE_TIMEOUT_S * 1000}\r\n"
            f"X-Consignee: dest={self.destination}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body


class Client:
    """One client, with at most one connection.

    Args:
        relay_address: Returns the address (host, port) of the relay, which changes when it is restarted.
        statistics: Where results are counted.
    """

    def __init__(self, relay_address: Callable[[], tuple[str, int]], statistics: ClientStatistics) -> None:
        self.relay_address = relay_address
        self.statistics = statistics
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None

    async def submit(self, message: Message) -> None:
        """Submits a message until it is admitted or gets a status that is not retried."""
        while True:
            try:
                status = await self._exchange(message.request)
            except (OSError, asyncio.IncompleteReadError):
                self.statistics.lost_responses += 1
                self.close()
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if status in ADMITTED_STATUSES:
                self.statistics.admitted.add(message.message_id)
                return
            if status != REJECTED_STATUS:
                return
            self.statistics.rejections += 1
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _exchange(self, request: bytes) -> int:
        """Sends a request and returns the status of the response.

        Raises:
            OSError: The connection fails.
            asyncio.IncompleteReadError: The connection ends before the end of the response.
        """
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
