"""The relay's peers: discovery and destinations, as far as one relay needs the platform's protocol."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

MAX_HEAD_BYTES = 64 << 10
# Response time of a destination, in seconds.
MIN_RESPONSE_S = 0.002
MAX_RESPONSE_S = 0.01
# Fractions of the calls to a destination. Rejections are too rare to count as overload.
RATE_LIMITED_FRACTION = 0.004  # 429 with a Retry-After
UNAVAILABLE_FRACTION = 0.002  # 503
ERROR_FRACTION = 0.006  # 500
RETRY_AFTER_MS = 50


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads the next request; None at the end of the connection.

    Raises:
        ValueError: The head can't be parsed.
    """
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
    """Returns a response; underscores in header names are replaced by hyphens."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Demo\r\nContent-Length: {len(body)}\r\n{lines}\r\n".encode() + body


class HTTPPeer:
    """An HTTP server on a free loopback port, used as an async context manager.

    Args:
        respond: Returns the response to each request.
    """

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
        """Where it listens, as HOST:PORT."""
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
            pass  # a malformed request closes the connection; the task is cancelled only by __aexit__
        finally:
            self.tasks.discard(task)
            writer.transport.abort()


class DiscoveryPeer:
    """Discovery with a fixed endpoint list; records the final statuses reported to it."""

    def __init__(self) -> None:
        self.endpoints: list[dict[str, Any]] = []
        self.final_statuses: dict[str, str] = {}  # message id -> status

    @property
    def full_list(self) -> dict[str, Any]:
        """The list in the format of discovery's responses."""
        return {"revision": 1, "complete": True, "members": self.endpoints}

    def add_endpoint(self, destination: int, address: str) -> None:
        """Adds the only endpoint of a destination to the list."""
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
        """Answers a report, a watch (after its wait, with no change) or a poll."""
        if request.target == "/reports":
            for line in request.body.splitlines():
                report = json.loads(line)
                self.final_statuses[report["id"]] = report["status"]
            return format_response(204)
        if "index=" in request.target:
            wait_ms = int(request.target.partition("wait=")[2] or 0)
            await asyncio.sleep(wait_ms / 1000)
            unchanged = {**self.full_list, "complete": False, "members": []}
            return format_response(200, json.dumps(unchanged).encode())
        return format_response(200, json.dumps(self.full_list).encode())


class DestinationPeer:
    """A destination that executes messages and rarely rejects or fails one, chosen by a seed.

    Attributes:
        executions: How often each message was executed.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.executions: Counter[str] = Counter()

    async def respond(self, request: Request) -> bytes:
        """Executes, rejects or fails a message."""
        await asyncio.sleep(self.random.uniform(MIN_RESPONSE_S, MAX_RESPONSE_S))
        draw = self.random.random()
        if draw < RATE_LIMITED_FRACTION:
            return format_response(429, X_Come_Back_Ms=str(RETRY_AFTER_MS))
        if draw < RATE_LIMITED_FRACTION + UNAVAILABLE_FRACTION:
            return format_response(503)
        if draw < RATE_LIMITED_FRACTION + UNAVAILABLE_FRACTION + ERROR_FRACTION:
            return format_response(500)  # not executed, but the relay can't know that
        self.executions[request.headers["request-id"]] += 1
        return format_response(200)
