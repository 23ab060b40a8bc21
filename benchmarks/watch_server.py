"""Run a stub discovery server that answers watches, written with asyncio and h11.

python -m benchmarks.watch_server ENTRIES HOLD_MS; prints its port on the first line. Each watch is answered
after HOLD_MS with ENTRIES changed entries; `/counts` returns the watches, bytes and CPU time so far. The
server is written as one of the program's own control services would be.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import Any

import h11


def make_entry(number: int, phase: str = "Ready") -> dict[str, Any]:
    """Returns an entry as discovery writes it; each destination has one host."""
    return {
        "id": f"host-{number:06d}",
        "host_port": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080",
        "locality": "a",
        "flavor": "plain",
        "cell": number,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 1_790_000_000_000 + number,
    }


class WatchServer:
    """State that all connections share."""

    def __init__(self, entries: int, hold_s: float) -> None:
        self.members = [make_entry(number) for number in range(entries)]
        self.hold_s = hold_s
        self.revision = 1
        self.watches = self.received_bytes = self.sent_bytes = 0  # bytes on the sockets, of watches alone

    def counts(self) -> dict[str, float]:
        return {
            "watches": self.watches,
            "heard": self.received_bytes,
            "sent": self.sent_bytes,
            "cpu": time.process_time(),
        }


class WatchConnection(asyncio.Protocol):
    """One connection of a client."""

    transport: asyncio.Transport

    def __init__(self, server: WatchServer) -> None:
        self.server = server
        self.connection = h11.Connection(h11.SERVER)
        self.request_bytes = 0  # of the request that is being received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.request_bytes += len(data)
        self.connection.receive_data(data)
        target = b""
        while (event := self.connection.next_event()) is not h11.NEED_DATA and event is not h11.PAUSED:
            if isinstance(event, h11.Request):
                target = event.target
            elif isinstance(event, h11.EndOfMessage):
                if target == b"/counts":
                    self.send_response(self.server.counts())
                    self.request_bytes = 0
                else:
                    asyncio.get_running_loop().call_later(self.server.hold_s, self.answer_watch)
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def answer_watch(self) -> None:
        server = self.server
        server.revision += 1
        server.watches += 1
        server.received_bytes, self.request_bytes = server.received_bytes + self.request_bytes, 0
        server.sent_bytes += self.send_response(
            {"revision": server.revision, "complete": False, "members": server.members}
        )

    def send_response(self, content: dict[str, Any]) -> int:
        """Sends a JSON response; returns its bytes."""
        body = json.dumps(content).encode()
        head = h11.Response(
            status_code=200,
            headers=[("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        data = b"".join(
            self.connection.send(event) or b"" for event in (head, h11.Data(data=body), h11.EndOfMessage())
        )
        if not self.transport.is_closing():
            self.transport.write(data)
        self.connection.start_next_cycle()
        return len(data)


async def main(entries: int, hold_s: float) -> None:
    server = WatchServer(entries, hold_s)
    listener = await asyncio.get_running_loop().create_server(lambda: WatchConnection(server), "127.0.0.1", 0)
    print(listener.sockets[0].getsockname()[1], flush=True)
    # Runs until the parent process closes the input or ends.
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), float(sys.argv[2]) / 1000))
