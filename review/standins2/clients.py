"""A stand-in of a client: hands in messages one after the other on one connection."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from standins2.http_server import read_message
from standins2.journal import RecordFile

ANSWER_WAIT_S = 0.4  # a client waits so long for its answer
TAKEN = (200, 202)


@dataclass(frozen=True, slots=True)
class Submission:
    """A message that a relay has taken on."""

    message_id: str
    class_name: str
    sent_at: float  # Unix time
    due_at: float  # Unix time

    def __str__(self) -> str:
        return f"{self.message_id} ({self.class_name})"


class Client:
    """Hands in messages; keeps those that were taken on."""

    def __init__(self, record: RecordFile, port: int) -> None:
        self.record, self.port = record, port
        self.taken: list[Submission] = []
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def submit(
        self, message_id: str, class_name: str, destination: int, timeout_ms: int, key: str = ""
    ) -> int:
        """Hands in one message; returns the status of its answer, 0 without one."""
        body = f"turbine {message_id}".encode()
        head = (
            f"POST /{class_name}{f'/{key}' if key else ''} HTTP/1.1\r\n"
            f"Host: app.svc\r\nRequest-Id: {message_id}\r\n"
            f"Request-Class: {class_name}\r\nTenant: noordzee-wind\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
            f"X-Consignee: dest={destination}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sent_at, status = time.time(), 0
        try:
            async with asyncio.timeout(ANSWER_WAIT_S):
                status = await self._exchange(head.encode() + body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        self.record.write(f"handed in {message_id} ({class_name}, {timeout_ms} ms): {status or 'no answer'}")
        if status in TAKEN:
            self.taken.append(Submission(message_id, class_name, sent_at, sent_at + timeout_ms / 1000))
        return status

    async def _exchange(self, request: bytes) -> int:
        if self._connection is None:
            self._connection = await asyncio.open_connection("127.0.0.1", self.port)
        reader, writer = self._connection
        writer.write(request)
        first, headers, _ = await read_message(reader)
        if headers.get("connection") == "close":
            self.close()
        return int(first.split()[1])
