"""Fake discovery service for tests of the registry: holds watches open and answers them with changes only."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from tests.standins.harness import TEST_TIMEOUT_S


def make_endpoint(endpoint_id: str, destination: int, phase: str = "Ready", **fields: Any) -> dict[str, Any]:
    """Returns an entry of discovery's list."""
    return {
        "id": endpoint_id,
        "host_port": "127.0.0.1:9",
        "locality": "a",
        "flavor": "plain",
        "cell": destination,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
        **fields,
    }


class FakeDiscovery:
    """Fake discovery on a loopback port, used as an async context manager.

    Attributes:
        indent: Indentation of its JSON responses.
        is_silent: Whether requests are read and not answered.
    """

    def __init__(self, endpoints: Iterable[dict[str, Any]] = (), revision: int = 1) -> None:
        self.revision = revision
        self.endpoints = {endpoint["id"]: endpoint for endpoint in endpoints}
        self.changes: list[tuple[int, dict[str, Any]]] = []  # (revision, changed endpoint)
        self.indent: int | None = None
        self.is_silent = False
        self.requests: list[str] = []  # targets
        self.answered_count = 0
        self.port = 0
        self._since = revision  # older watches get the full list
        self._down = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    async def __aenter__(self) -> FakeDiscovery:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listens on a free port; after `stop` on the same port again."""
        self._down = False
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Closes the port and all connections."""
        assert self._server is not None
        self._server.close()
        self._down = True
        for writer in self._writers:
            writer.transport.abort()
        self.notify()
        await asyncio.gather(*self._tasks)

    def change(self, *endpoints: dict[str, Any]) -> None:
        """Applies changes under one new revision; the phase Gone removes an endpoint from the list."""
        self.revision += 1
        for endpoint in endpoints:
            if endpoint["phase"] == "Gone":
                self.endpoints.pop(endpoint["id"], None)
            else:
                self.endpoints[endpoint["id"]] = endpoint
            self.changes.append((self.revision, endpoint))
        self.notify()

    def restart_revisions(self, revision: int, endpoints: Iterable[dict[str, Any]]) -> None:
        """Starts a new history: the list is replaced, and older watches get it in full."""
        self.revision, self.changes, self._since = revision, [], revision
        self.endpoints = {endpoint["id"]: endpoint for endpoint in endpoints}
        self.notify()

    def notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_requests(self, count: int) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(self.requests) < count:
                await self._changed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                self.requests.append(target)
                self.notify()
                body = await self._answer(target)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.answered_count += 1
                self.notify()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, target: str) -> bytes:
        while self.is_silent:
            await self._wait()
        _, _, query = target.partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        if "index" not in fields:
            return self._full_list()
        index, wait = int(fields["index"]), int(fields["wait"]) / 1000
        try:
            async with asyncio.timeout(wait):
                while self.revision == index:
                    await self._wait()
        except TimeoutError:
            pass
        while self.is_silent:
            await self._wait()
        if not self._since <= index <= self.revision:
            return self._full_list()
        latest = {endpoint["id"]: endpoint for revision, endpoint in self.changes if revision > index}
        return self._encode(False, list(latest.values()))

    async def _wait(self) -> None:
        await self._changed.wait()
        if self._down:
            raise ConnectionError

    def _full_list(self) -> bytes:
        return self._encode(True, list(self.endpoints.values()))

    def _encode(self, complete: bool, members: list[dict[str, Any]]) -> bytes:
        content = {"revision": self.revision, "complete": complete, "members": members}
        return json.dumps(content, indent=self.indent).encode()
