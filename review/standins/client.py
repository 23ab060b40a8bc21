"""Clients: hand in messages over kept connections, wait 400 ms for each answer (PROTOCOL)."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from dataclasses import dataclass

from review.standins.record import Record

ANSWER_WAIT_S = 0.4


@dataclass
class Submission:
    """One message that was handed in, and what its client heard."""

    id: str
    message_class: str
    key: str
    destination: int
    body: bytes
    timeout_s: float
    sent_at: float = 0.0  # seconds of the run
    status: int | None = None  # None: no answer
    answered_at: float = 0.0

    @property
    def is_taken(self) -> bool:
        """Whether the relay owes the message its end."""
        return self.status in (200, 202)


class Clients:
    """All clients of one relay; they share kept connections."""

    def __init__(self, record: Record, address: tuple[str, int], tenant: str = "noordzee-wind") -> None:
        self.record = record
        self.address = address
        self.tenant = tenant
        self.submissions: list[Submission] = []
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def submit(
        self,
        message_class: str,
        destination: int,
        key: str = "",
        body: bytes = b"turbine",
        timeout_s: float = 24.0,
    ) -> Submission:
        """Hands in one message under a new id and waits for its answer."""
        submission = Submission(secrets.token_hex(8), message_class, key, destination, body, timeout_s)
        self.submissions.append(submission)
        submission.sent_at = self.record.now()
        self.record.write(f"client: hands in {submission.id} {message_class} dest={destination} key={key}")
        try:
            async with asyncio.timeout(ANSWER_WAIT_S):
                submission.status = await self._exchange(submission)
        except TimeoutError:
            self.record.write(f"client: no answer for {submission.id} in {ANSWER_WAIT_S} s")
        except (OSError, asyncio.IncompleteReadError):
            self.record.write(f"client: the connection of {submission.id} ended without an answer")
        else:
            submission.answered_at = self.record.now()
            self.record.write(f"client: answer to {submission.id}: {submission.status}")
        return submission

    async def _exchange(self, submission: Submission) -> int:
        while self._idle:
            reader, writer = self._idle.pop()
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            try:
                return await self._send(submission, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError):
                continue  # the relay closed it between two requests: once more on another one
        reader, writer = await asyncio.open_connection(*self.address)
        return await self._send(submission, reader, writer)

    async def _send(
        self, submission: Submission, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> int:
        path = f"/{submission.message_class}" + (f"/{submission.key}" if submission.key else "")
        left_ms = int(submission.timeout_s * 1000)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {submission.id}\r\n"
            f"Request-Class: {submission.message_class}\r\nTenant: {self.tenant}\r\n"
            f"Request-Timeout-Ms: {left_ms}\r\nContent-Length: {len(submission.body)}\r\n"
            f"X-Consignee: dest={submission.destination}\r\n\r\n"
        )
        is_done = False
        try:
            writer.write(head.encode() + submission.body)
            answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
            lengths = [
                line.partition(":")[2] for line in answer.split("\r\n") if line.startswith("content-length:")
            ]
            await reader.readexactly(int(lengths[0]) if lengths else 0)
            is_done = "connection: close" not in answer
            return int(answer.split(" ")[1])
        finally:
            if is_done:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Closes all kept connections."""
        with contextlib.suppress(OSError):
            for _, writer in self._idle:
                writer.close()
