"""A small HTTP/1.1 server: one request at a time on a connection, which is kept alive."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """One request; the names of its headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[bytes | None]]


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Returns a response; underscores in names of headers stand for hyphens."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Reads the first line, the headers and the body of a request or a response."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


class HttpServer:
    """Answers each request with what its handler returns; None closes the connection without an answer."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Host and port."""
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        """Listens on its port; the first time on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def shut(self) -> None:
        """Closes the listener and all connections: new ones are refused until `listen`."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._serve_requests(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the peer has closed the connection, or the server is shut
        finally:
            self._connections.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split()
            answer = await self.handler(Request(method, target, headers, body))
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()
