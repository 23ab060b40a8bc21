"""A discovery and a partner's host, as the platform's protocol has them: enough for one relay to work."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """None at the end of the connection. Raises ValueError for what is no request."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        method, target, _ = start.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def format_response(status: int, body: bytes = b"", **headers: str) -> bytes:
    told = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Demo\r\nContent-Length: {len(body)}\r\n{told}\r\n".encode() + body


class HTTPPeer:
    """Listens on a free port of loopback; `respond` gives each request's answer. Use as an async context."""

    def __init__(self, respond: Callable[[Request], Awaitable[bytes]]) -> None:
        self.respond = respond
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> HTTPPeer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks)

    @property
    def address(self) -> str:
        assert self.server is not None
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                writer.write(await self.respond(request))
                await writer.drain()
        except (ValueError, ConnectionError, asyncio.CancelledError):
            pass  # what can't be read is closed on; cancelled only at the end
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


class DiscoveryPeer:
    """One list that never changes, and the notices that it was sent."""

    def __init__(self) -> None:
        self.endpoints: list[dict[str, Any]] = []
        self.final_statuses: dict[str, str] = {}  # message -> status

    @property
    def full_list(self) -> dict[str, Any]:
        return {"revision": 1, "complete": True, "members": self.endpoints}

    def add_endpoint(self, destination: int, address: str) -> None:
        self.endpoints.append(
            {
                "id": f"host-{destination}",
                "host_port": address,
                "locality": "a",
                "flavor": "plain",
                "cell": destination,
                "phase": "Ready",
                "size": 1.0,
                "up_since_ms": 0,
            }
        )

    async def respond(self, request: Request) -> bytes:
        if request.target == "/reports":
            for line in request.body.splitlines():
                notice = json.loads(line)
                self.final_statuses[notice["id"]] = notice["status"]
            return format_response(204)
        if "index=" in request.target:
            wait = int(request.target.partition("wait=")[2] or 0)
            await asyncio.sleep(wait / 1000)  # nothing will change
            return format_response(
                200, json.dumps({**self.full_list, "complete": False, "members": []}).encode()
            )
        return format_response(200, json.dumps(self.full_list).encode())


class DestinationPeer:
    """Runs what it is sent, and seldom turns away or fails, by one seed. `effects` is its true account.

    Harm: one that turned 6 of 100 away, whatever its load, was held to be overloaded, and 177 of 1,000
    messages waited until their time was up.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.attempts = 0

    async def respond(self, request: Request) -> bytes:
        self.attempts += 1
        await asyncio.sleep(self.random.uniform(0.002, 0.01))
        chance = self.random.random()
        if chance < 0.004:
            return format_response(429, X_Come_Back_Ms="50")  # it never ran
        if chance < 0.006:
            return format_response(503)
        if chance < 0.012:
            return format_response(500)  # here it did not run, but nobody could know
        self.effects[request.headers["request-id"]] += 1
        return format_response(200)
