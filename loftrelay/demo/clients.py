"""Clients that hand messages in over kept connections, again and again until each is taken on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

PAUSE = 0.05  # seconds before one that was not taken on, or not answered, is handed in again
TIME = 20  # seconds that a message has


@dataclass
class Account:
    """What clients heard."""

    taken: set[str] = field(default_factory=set)
    refused: int = 0  # times that one was turned away
    unheard: int = 0  # connections that ended with no answer


@dataclass(frozen=True, slots=True)
class Message:
    id: str
    class_name: str  # "order": must not run twice, in order for each key; "status": may run again
    destination: int
    key: str
    body: bytes

    @property
    def request(self) -> bytes:
        path = f"/order/{self.key}" if self.class_name == "order" else "/status"
        return (
            f"POST {path} HTTP/1.1\r\nHost: relay\r\nRequest-Id: {self.id}\r\n"
            f"Request-Class: {self.class_name}\r\nTenant: acme\r\nRequest-Timeout-Ms: {TIME * 1000}\r\n"
            f"X-Consignee: dest={self.destination}\r\nContent-Length: {len(self.body)}\r\n\r\n"
        ).encode() + self.body


class Client:
    """`address` tells where the relay listens now: it may have been started again."""

    def __init__(self, address: Callable[[], tuple[str, int]], account: Account) -> None:
        self.address, self.account = address, account
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None

    async def hand_in(self, message: Message) -> None:
        """Until it is taken on, or has run already."""
        while True:
            try:
                status = await self._ask(message.request)
            except (OSError, asyncio.IncompleteReadError):
                self.account.unheard += 1
                self.close()
                await asyncio.sleep(PAUSE)
                continue
            if status in (200, 202):
                self.account.taken.add(message.id)
                return
            if status != 503:
                return  # its end, told at once
            self.account.refused += 1
            await asyncio.sleep(PAUSE)

    async def _ask(self, request: bytes) -> int:
        if self.stream is None:
            self.stream = await asyncio.open_connection(*self.address())
        reader, writer = self.stream
        writer.write(request)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = head.partition("content-length:")[2].partition("\r\n")[0].strip()
        await reader.readexactly(int(length or 0))
        if "connection: close" in head:
            self.close()
        return int(head.split()[1])
