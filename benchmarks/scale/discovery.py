"""A stand-in for the platform's discovery, with any number of destinations, as a process of its own.

Destinations are numbers from 0 on with one host each; their rows are made on the way out and never held.
What differs from that is held: hosts that changed, hosts added, and the log of changes. It serves the whole
list, the watch with changes only, and takes notices. `Book` decides; `Discovery` serves it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs, urlsplit

from benchmarks.scale.children import work

BLOCK = 2_000  # rows made at once
PATH = "/registry/instances"
END = b"]}"


def host(destination: int) -> str:
    return f"h{destination}"


def row(destination: int, phase: str = "Ready", address: str = "127.0.0.1:9", name: str = "") -> bytes:
    told = (
        f'{{"id":"{name or host(destination)}","host_port":"{address}","locality":"z{destination % 11}",'
        f'"flavor":"plain","cell":{destination},"phase":"{phase}","size":1.0,"up_since_ms":0}}'
    )
    return told.encode()


class Book:
    """The list by revision."""

    def __init__(self, destinations: int) -> None:
        self.destinations = destinations
        self.revision = 1
        self.rows: dict[str, bytes] = {}  # hosts whose row is not the generated one, or that were added
        self.changed: dict[str, int] = {}  # the last revision at which they changed
        # Bytes of the rows and the commas of the whole list. Kept: it stands in the head of each answer, and
        # who asks waits for that head.
        self._rows = sum(len(row(n)) + 1 for n in range(destinations)) - 1 if destinations else -1

    def change(self, rows: list[dict[str, Any]]) -> int:
        """`destination`, `phase`, `address`, `name` of each; one revision for all."""
        self.revision += 1
        for told in rows:
            name, new = told.get("name") or host(told["destination"]), row(**told)
            before = self.rows.get(name)
            if before is None and self._generated(name):
                before = row(told["destination"])
            self._rows += len(new) - (len(before) if before is not None else -1)
            self.rows[name] = new
            self.changed.pop(name, None)  # the last to change stands last
            self.changed[name] = self.revision
        return self.revision

    def _generated(self, name: str) -> bool:
        return name[:1] == "h" and name[1:].isdigit() and int(name[1:]) < self.destinations

    def pieces(self) -> Iterator[bytes]:
        """The whole list as it is now, whatever changes meanwhile, in pieces of BLOCK rows."""
        return self._pieces(self._head(True), dict(self.rows))

    @property
    def length(self) -> int:
        """Bytes of the whole list as it is now."""
        return len(self._head(True)) + max(0, self._rows) + len(END)

    def _pieces(self, head: bytes, rows: dict[str, bytes]) -> Iterator[bytes]:
        yield head
        first = True
        for start in range(0, self.destinations, BLOCK):
            numbers = range(start, min(start + BLOCK, self.destinations))
            block = b",".join(rows.get(host(n)) or row(n) for n in numbers)
            yield block if first else b"," + block
            first = False
        for name, told in rows.items():
            if not self._generated(name):
                yield told if first else b"," + told
                first = False
        yield END

    def since(self, index: int) -> bytes:
        """What changed after that revision."""
        names = []
        for name, revision in reversed(self.changed.items()):
            if revision <= index:
                break
            names.append(name)
        return self._head(False) + b",".join(self.rows[name] for name in names) + END

    def _head(self, whole: bool) -> bytes:
        head = json.dumps({"revision": self.revision, "complete": whole}, separators=(",", ":"))
        return head[:-1].encode() + b',"members":['


class Discovery:
    """`told`, `heard`: bytes out and in; `calls`: by kind."""

    def __init__(self, book: Book) -> None:
        self.book = book
        self.told = self.heard = 0
        self.calls = {"whole": 0, "watch": 0, "notices": 0}
        self.news = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.open: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Where it listened before, if it was stopped."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)
        self.port = int(self.server.sockets[0].getsockname()[1])
        return self.port

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in list(self.open):
            task.cancel()

    async def change(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """When it has it, on the clock of the machine."""
        revision = self.book.change(rows)
        at = time.monotonic()
        self.news.set()
        self.news = asyncio.Event()
        return {"at": at, "revision": revision}

    async def counts(self) -> dict[str, Any]:
        return {"told": self.told, "heard": self.heard, "calls": self.calls}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.open.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    await self._answer(reader, writer)
        except asyncio.CancelledError:
            pass  # stopped: its connections go with it
        finally:
            self.open.discard(task)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode().split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.heard += len(head) + len(body)
        url = urlsplit(start.split()[1])
        if url.path != PATH:
            self.calls["notices"] += 1
            self._write(writer, b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
            return
        query = {name: int(values[0]) for name, values in parse_qs(url.query).items()}
        if "index" not in query:
            self.calls["whole"] += 1
            self._head(writer, self.book.length)
            for piece in self.book.pieces():
                self._write(writer, piece)
                await writer.drain()
            return
        self.calls["watch"] += 1
        if self.book.revision <= query["index"]:
            news = self.news
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(news.wait(), query.get("wait", 0) / 1000)
        body = self.book.since(query["index"])
        self._head(writer, len(body))
        self._write(writer, body)
        await writer.drain()

    def _head(self, writer: asyncio.StreamWriter, length: int) -> None:
        self._write(writer, f"HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n".encode())

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.told += len(data)
        writer.write(data)


async def main() -> None:
    discovery: Discovery | None = None

    async def begin(destinations: int) -> int:
        nonlocal discovery
        if discovery is not None:
            await discovery.stop()
        discovery = Discovery(Book(destinations))
        return await discovery.start()

    def now() -> Discovery:
        assert discovery is not None, "it has not begun"
        return discovery

    async def start() -> int:
        return await now().start()

    async def stop() -> None:
        await now().stop()

    async def change(rows: list[dict[str, Any]]) -> dict[str, Any]:
        return await now().change(rows)

    async def counts() -> dict[str, Any]:
        return await now().counts()

    await work({"begin": begin, "start": start, "stop": stop, "change": change, "counts": counts})


if __name__ == "__main__":
    asyncio.run(main())
