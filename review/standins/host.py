"""A host of a destination: takes single calls and batches, and records what it ran (PROTOCOL)."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

from review.standins.http_server import HttpServer, Request, Response
from review.standins.record import Record


@dataclass
class Call:
    """One call that has come whole."""

    ids: list[str]
    is_batch: bool


class Host:
    """A host that works on each call for some time, and then runs and answers it."""

    def __init__(self, name: str, record: Record, work_s: float = 0.1) -> None:
        self.name = name
        self.record = record
        self.work_s = work_s
        self.answered: dict[str, float] = {}  # message id -> seconds of the run at which 200 was written
        self.server = HttpServer(self._handle)

    async def _handle(self, request: Request) -> Response | None:
        call = self._read(request)
        if call is None:
            return Response(400)
        self.record.write(f"host {self.name}: call {' '.join(call.ids)}")
        await asyncio.sleep(self.work_s)
        for message_id in call.ids:
            self.record.write(f"host {self.name}: ran {message_id}")
            self.answered.setdefault(message_id, self.record.now())
        if not call.is_batch:
            return Response(200)
        ends = [{"id": message_id, "state": "delivered"} for message_id in call.ids]
        return Response(200, json.dumps(ends).encode())

    def _read(self, request: Request) -> Call | None:
        if request.method != "POST":
            return None
        if request.target == "/v1/messages" and "request-id" in request.headers:
            return Call([request.headers["request-id"]], is_batch=False)
        if request.target == "/v1/messages:batch":
            return Call([row["id"] for row in json.loads(request.body)], is_batch=True)
        return None
