"""Stub of the platform's discovery for any number of destinations, run as a process of its own.

Destinations are numbered from 0 and have one host each; their list entries are generated when they are sent
and not stored. Only differences are stored: changed hosts, added hosts, and the log of changes. The stub
serves the full list and watches with changes only, and accepts status reports. `EndpointCatalog` has the
content, `StubDiscovery` serves it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs, urlsplit

from benchmarks.scale.children import serve_commands

CHUNK_ENTRIES = 2_000  # entries that are generated at once
LIST_PATH = "/registry/instances"
LIST_END = b"]}"


def host_id(destination: int) -> str:
    return f"h{destination}"


def encode_entry(
    destination: int, phase: str = "Ready", address: str = "127.0.0.1:9", name: str = ""
) -> bytes:
    """Encodes a list entry of a host."""
    entry = (
        f'{{"id":"{name or host_id(destination)}","host_port":"{address}","locality":"z{destination % 11}",'
        f'"flavor":"plain","cell":{destination},"phase":"{phase}","size":1.0,"up_since_ms":0}}'
    )
    return entry.encode()


class EndpointCatalog:
    """The list of hosts with its revisions."""

    def __init__(self, destinations: int) -> None:
        self.destinations = destinations
        self.revision = 1
        self.entries: dict[str, bytes] = {}  # of hosts that were changed or added, by id
        self.changed: dict[str, int] = {}  # host id -> revision of its last change, oldest first
        # Bytes of the entries and commas of the full list. Stored, because clients wait for the head of the
        # response, which contains the length.
        self._entries_bytes = (
            sum(len(encode_entry(n)) + 1 for n in range(destinations)) - 1 if destinations else -1
        )

    def change(self, rows: list[dict[str, Any]]) -> int:
        """Applies changes as one revision and returns it; each has arguments of `encode_entry`."""
        self.revision += 1
        for change in rows:
            name, new = change.get("name") or host_id(change["destination"]), encode_entry(**change)
            before = self.entries.get(name)
            if before is None and self._is_generated(name):
                before = encode_entry(change["destination"])
            self._entries_bytes += len(new) - (len(before) if before is not None else -1)
            self.entries[name] = new
            self.changed.pop(name, None)  # keeps the order of changes
            self.changed[name] = self.revision
        return self.revision

    def _is_generated(self, name: str) -> bool:
        return name[:1] == "h" and name[1:].isdigit() and int(name[1:]) < self.destinations

    def chunks(self) -> Iterator[bytes]:
        """Returns the full list of this moment in chunks of CHUNK_ENTRIES, unaffected by later changes."""
        return self._chunks(self._head(True), dict(self.entries))

    @property
    def length(self) -> int:
        """Bytes of the full list of this moment."""
        return len(self._head(True)) + max(0, self._entries_bytes) + len(LIST_END)

    def _chunks(self, head: bytes, entries: dict[str, bytes]) -> Iterator[bytes]:
        yield head
        first = True
        for start in range(0, self.destinations, CHUNK_ENTRIES):
            numbers = range(start, min(start + CHUNK_ENTRIES, self.destinations))
            block = b",".join(entries.get(host_id(n)) or encode_entry(n) for n in numbers)
            yield block if first else b"," + block
            first = False
        for name, entry in entries.items():
            if not self._is_generated(name):
                yield entry if first else b"," + entry
                first = False
        yield LIST_END

    def changes_since(self, index: int) -> bytes:
        """Returns the list of changes after that revision."""
        names = []
        for name, revision in reversed(self.changed.items()):
            if revision <= index:
                break
            names.append(name)
        return self._head(False) + b",".join(self.entries[name] for name in names) + LIST_END

    def _head(self, is_full: bool) -> bytes:
        head = json.dumps({"revision": self.revision, "complete": is_full}, separators=(",", ":"))
        return head[:-1].encode() + b',"members":['


class StubDiscovery:
    """Server of a catalog, with its counts of bytes and of calls by kind."""

    def __init__(self, catalog: EndpointCatalog) -> None:
        self.catalog = catalog
        self.sent_bytes = self.received_bytes = 0
        self.calls = {"whole": 0, "watch": 0, "notices": 0}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Starts listening and returns the port; after a stop it is the same port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.connections):
            task.cancel()

    async def change(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Applies changes; returns their revision, and when they are in effect on the machine's clock."""
        revision = self.catalog.change(rows)
        at = time.monotonic()
        self.changed.set()
        self.changed = asyncio.Event()
        return {"at": at, "revision": revision}

    async def counts(self) -> dict[str, Any]:
        return {"told": self.sent_bytes, "heard": self.received_bytes, "calls": self.calls}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.connections.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await self._serve_request(reader, writer)
        except asyncio.CancelledError:
            pass  # the server was stopped
        finally:
            self.connections.discard(task)
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *lines = head.decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.received_bytes += len(head) + len(body)
        url = urlsplit(request_line.split()[1])
        if url.path != LIST_PATH:
            self.calls["notices"] += 1
            self._write(writer, b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
            return
        query = {name: int(values[0]) for name, values in parse_qs(url.query).items()}
        if "index" not in query:
            self.calls["whole"] += 1
            self._write_head(writer, self.catalog.length)
            for chunk in self.catalog.chunks():
                self._write(writer, chunk)
                await writer.drain()
            return
        self.calls["watch"] += 1
        if self.catalog.revision <= query["index"]:
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), query.get("wait", 0) / 1000)
        body = self.catalog.changes_since(query["index"])
        self._write_head(writer, len(body))
        self._write(writer, body)
        await writer.drain()

    def _write_head(self, writer: asyncio.StreamWriter, length: int) -> None:
        self._write(writer, f"HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n".encode())

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.sent_bytes += len(data)
        writer.write(data)


async def main() -> None:
    discovery: StubDiscovery | None = None

    async def begin(destinations: int) -> int:
        nonlocal discovery
        if discovery is not None:
            await discovery.stop()
        discovery = StubDiscovery(EndpointCatalog(destinations))
        return await discovery.start()

    def running() -> StubDiscovery:
        assert discovery is not None, "the command `begin` must come first"
        return discovery

    async def start() -> int:
        return await running().start()

    async def stop() -> None:
        await running().stop()

    async def change(rows: list[dict[str, Any]]) -> dict[str, Any]:
        return await running().change(rows)

    async def counts() -> dict[str, Any]:
        return await running().counts()

    await serve_commands({"begin": begin, "start": start, "stop": stop, "change": change, "counts": counts})


if __name__ == "__main__":
    asyncio.run(main())
