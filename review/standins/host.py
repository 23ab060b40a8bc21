"""A host of a destination: takes single calls and batches, and records what it ran (PROTOCOL)."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from review.standins.http_server import HttpServer, Request, Response
from review.standins.record import Record


@dataclass
class Call:
    """One call that has come whole."""

    host: str
    ids: list[str]
    bodies: list[bytes]
    is_batch: bool
    at: float  # seconds of the run


# What a host does with a call: the status to answer; None: the connection ends without an answer.
Behaviour = Callable[[Call], Awaitable[int | None]]


class Host:
    """A host that runs what it answers with 200, and 0.1 s of work for each call by default."""

    def __init__(
        self, name: str, record: Record, behaviour: Behaviour | None = None, work_s: float = 0.1
    ) -> None:
        self.name = name
        self.record = record
        self.behaviour = behaviour
        self.work_s = work_s
        self.calls: list[Call] = []
        self.runs: dict[str, list[float]] = {}  # message id -> seconds of the run at which it ran
        self.answered: dict[str, float] = {}  # message id -> when 200 was written
        self.server = HttpServer(self._handle)

    def run(self, message_id: str) -> None:
        """Runs a message."""
        self.runs.setdefault(message_id, []).append(self.record.now())
        self.record.write(f"host {self.name}: ran {message_id}")

    async def _handle(self, request: Request) -> Response | None:
        call = self._read(request)
        if call is None:
            return Response(400)
        self.calls.append(call)
        self.record.write(f"host {self.name}: call {' '.join(call.ids)}")
        if self.behaviour is not None:
            status = await self.behaviour(call)
        else:
            await asyncio.sleep(self.work_s)
            status = 200
        if status is None:
            return None
        if status != 200:
            return Response(status)
        for message_id in call.ids:
            self.run(message_id)
            self.answered.setdefault(message_id, self.record.now())
        if not call.is_batch:
            return Response(200)
        ends = [{"id": message_id, "state": "delivered"} for message_id in call.ids]
        return Response(200, json.dumps(ends).encode())

    def _read(self, request: Request) -> Call | None:
        if request.method != "POST":
            return None
        if request.target == "/v1/messages" and "request-id" in request.headers:
            ids, bodies = [request.headers["request-id"]], [request.body]
            return Call(self.name, ids, bodies, False, self.record.now())
        if request.target == "/v1/messages:batch":
            rows = json.loads(request.body)
            ids, bodies = [row["id"] for row in rows], [base64.b64decode(row["body"]) for row in rows]
            return Call(self.name, ids, bodies, True, self.record.now())
        return None
