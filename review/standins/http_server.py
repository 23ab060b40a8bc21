"""A small HTTP/1.1 server for stand-ins: one request at a time on a connection, connections kept alive."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

DISCONNECT_CHECK_S = 0.01
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    429: "Too Many Requests",
    500: "Error",
    503: "Full",
}


@dataclass
class Request:
    """One request; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter


@dataclass
class Response:
    """One response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self) -> bytes:
        """Returns the bytes on the wire."""
        lines = [f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Other')}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.status != 204:
            lines.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join([*lines, "", ""]).encode() + self.body


# Returns the response; None: nothing is answered, and the connection is closed.
Handler = Callable[[Request], Awaitable[Response | None]]


class HttpServer:
    """Serves requests on a loopback port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens, as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listens on a port; 0 selects a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        method, target, _ = start.split(" ")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        request = Request(method, target, headers, body, writer)
        response = await self._handle_while_connected(request, reader)
        if response is None:
            return False
        writer.write(response.encode())
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        return True

    async def _handle_while_connected(
        self, request: Request, reader: asyncio.StreamReader
    ) -> Response | None:
        """Runs the handler; cancels it once the peer has closed its side, which gives up the call."""
        task = asyncio.ensure_future(self._handler(request))
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=DISCONNECT_CHECK_S)
                if not task.done() and (reader.at_eof() or request.writer.transport.is_closing()):
                    return None
            return task.result()
        finally:
            task.cancel()
