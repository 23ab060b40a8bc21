"""The platform's discovery: the list, watches on its changes, and final reports (PROTOCOL, WIRE)."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http_server import HttpServer, Request, Response
from review.standins.record import Record


class Platform:
    """Lists hosts, answers watches with what has changed, and records each report."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.server = HttpServer(self._handle)
        self.revision = 1
        self.members: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        # Message id -> seconds of the run and status of each report.
        self.reports: dict[str, list[tuple[float, str]]] = {}
        self._changed = asyncio.Event()

    def add_host(self, name: str, address: str, destination: int, flavor: str, locality: str) -> None:
        """Lists a host that is ready."""
        self._change(
            {
                "id": name,
                "host_port": address,
                "locality": locality,
                "flavor": flavor,
                "cell": destination,
                "phase": "Ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
        )

    def _change(self, member: dict[str, Any]) -> None:
        self.revision += 1
        if member["phase"] == "Gone":
            self.members.pop(member["id"], None)
        else:
            self.members[member["id"]] = member
        self.changes.append((self.revision, member))
        self._changed.set()
        self._changed = asyncio.Event()

    def full_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def _handle(self, request: Request) -> Response | None:
        url = urlsplit(request.target)
        if request.method == "POST" and url.path == "/reports":
            return self._take_reports(request.body)
        if request.method == "GET" and url.path == "/registry/instances":
            return await self._tell_list(parse_qs(url.query))
        return Response(400)

    def _take_reports(self, body: bytes) -> Response:
        try:
            reports = [json.loads(line) for line in body.splitlines()]
        except ValueError:
            return Response(400)
        for report in reports:
            self.record.write(f"platform: report {report['id']} {report['status']}")
            self.reports.setdefault(report["id"], []).append((self.record.now(), report["status"]))
        return Response(204)

    async def _tell_list(self, query: dict[str, list[str]]) -> Response:
        if "index" not in query:
            return Response(200, json.dumps(self.full_list()).encode())
        index, wait_s = int(query["index"][0]), min(60_000, int(query.get("wait", ["0"])[0])) / 1000
        until = self.record.now() + wait_s
        while self.revision <= index and (left := until - self.record.now()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        if index < 1 or index > self.revision:
            return Response(200, json.dumps(self.full_list()).encode())
        latest = {member["id"]: member for revision, member in self.changes if revision > index}
        body = {"revision": self.revision, "complete": False, "members": list(latest.values())}
        return Response(200, json.dumps(body).encode())
