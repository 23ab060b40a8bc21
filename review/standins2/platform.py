"""Stand-ins of the platform: discovery with its notices, and hosts."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from standins2.http_server import HttpServer, Request, response
from standins2.journal import RecordFile

WATCH_POLL_S = 0.005

# Decides on a call: the status, and the milliseconds that the host tells to wait (0: none).
Verdict = Callable[[list[str]], Awaitable[tuple[int, int]]]


class Host:
    """A host of one destination. It runs what it answers with 200.

    Attributes:
        verdict: Decides on each call; replaced by the case.
        runs: When each message was run, by its id (Unix time).
        calls: When each call came, with the ids in it.
    """

    def __init__(self, record: RecordFile, name: str, destination: int, kind: str) -> None:
        self.record, self.name, self.destination, self.kind = record, name, destination, kind
        self.server = HttpServer(self._handle)
        self.verdict: Verdict = self.deliver
        self.runs: dict[str, list[float]] = {}
        self.calls: list[tuple[float, list[str]]] = []

    async def deliver(self, _ids: list[str]) -> tuple[int, int]:
        """Delivers after a tenth of a second."""
        await asyncio.sleep(0.1)
        return 200, 0

    def entry(self, phase: str) -> dict[str, Any]:
        """Returns its row in discovery's list."""
        return {
            "id": self.name,
            "host_port": self.server.address,
            "locality": "a",
            "flavor": self.kind,
            "cell": self.destination,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }

    async def _handle(self, request: Request) -> bytes | None:
        is_batch = request.target.endswith(":batch")
        ids = [row["id"] for row in json.loads(request.body)] if is_batch else [request.headers["request-id"]]
        self.calls.append((time.time(), ids))
        self.record.write(f"call at {self.name}: {' '.join(ids)}")
        status, wait_ms = await self.verdict(ids)
        self.record.write(f"answer of {self.name}: {status}, wait {wait_ms} ms: {' '.join(ids)}")
        if status != 200:
            return response(status, X_Come_Back_Ms=str(wait_ms)) if wait_ms else response(status)
        for message_id in ids:
            self.runs.setdefault(message_id, []).append(time.time())
        rows = [{"id": message_id, "state": "delivered"} for message_id in ids]
        return response(200, json.dumps(rows).encode() if is_batch else b"")


@dataclass(frozen=True, slots=True)
class Notice:
    """The first notice of a message."""

    status: str
    at: float  # Unix time


class Discovery:
    """Discovery: the list, watches on it, and notices.

    Attributes:
        entries: The list, by id.
        notices: The first notice of each message.
        is_down: Whether calls for the list end without an answer. Notices are still answered.
    """

    def __init__(self, record: RecordFile) -> None:
        self.record = record
        self.server = HttpServer(self._handle)
        self.entries: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.notices: dict[str, Notice] = {}
        self.is_down = False

    def change(self, entry: dict[str, Any]) -> None:
        """Adds a host or changes its entry."""
        self.entries[entry["id"]] = entry
        self.revision += 1

    def full_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    def told(self, request: Request) -> None:
        """Called when the list is written as the answer to a request; a case may override it."""

    async def _handle(self, request: Request) -> bytes | None:
        if request.target == "/reports":
            return self._take_notices(request.body)
        index, _, wait = request.target.partition("index=")[2].partition("&wait=")
        ends_at = time.time() + int(wait or 0) / 1000
        while index and self.revision <= int(index) and time.time() < ends_at and not self.is_down:
            await asyncio.sleep(WATCH_POLL_S)
        if self.is_down:
            return None
        self.told(request)
        return response(200, json.dumps(self.full_list()).encode())

    def _take_notices(self, body: bytes) -> bytes:
        for line in body.splitlines():
            notice = json.loads(line)
            self.record.write(f"notice: {notice}")
            self.notices.setdefault(notice["id"], Notice(notice["status"], time.time()))
        return response(204)
