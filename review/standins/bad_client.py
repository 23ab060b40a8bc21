"""Clients that do not keep to the protocol, as the users' pages name them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets

from review.standins.record import Record


class EagerClient:
    """Sends many commands on one connection without waiting for answers; they have little time left."""

    def __init__(self, record: Record, address: tuple[str, int], seed: int, time_left_ms: int = 10) -> None:
        self.record = record
        self.address = address
        self.time_left_ms = time_left_ms
        self.random = random.Random(seed)
        self.connections = 0

    def _command(self, destination: int) -> bytes:
        message_id = secrets.token_hex(8)
        self.record.write(f"eager client: sends {message_id}")
        return (
            f"POST /work-order/eager-{message_id} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {message_id}\r\n"
            f"Request-Class: work-order\r\nTenant: polder-energie\r\n"
            f"Request-Timeout-Ms: {self.time_left_ms}\r\nContent-Length: 7\r\n"
            f"X-Consignee: dest={destination}\r\n\r\nturbine"
        ).encode()

    async def send_many(self, destination: int, commands: int, *, waits_for_answers: bool) -> None:
        """Opens a connection and sends commands, until all are sent or the relay ends it."""
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    for _ in range(commands):
                        if reader.at_eof():
                            break
                        writer.write(self._command(destination))
                        if waits_for_answers:
                            await reader.readuntil(b"\r\n\r\n")
                        else:
                            await asyncio.sleep(self.random.uniform(0.0, 0.015))
                    if not waits_for_answers:
                        writer.write_eof()
                        await reader.read()
                finally:
                    writer.close()
