"""A host sends an answer twice; a kill comes before the true answer to the next call on that connection."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins2.clients import Client
from standins2.http_server import HttpServer, Request, read_message
from standins2.journal import RecordFile
from standins2.platform import Discovery, Host
from standins2.programs import (
    FARM_OWNERS,
    RESTART_PAUSE_S,
    STATUS_UPDATE,
    WORK_ORDER,
    Relay,
    run_case,
    settings,
)
from standins2.rules import check_lost

MESSAGES = 200  # at most, until a call comes on a connection that has brought a copy
PAUSE_S = 0.02  # from an answer to the next message; an acknowledgement alone comes after 0.04 s
COPIES_EVERY = 20  # answers on a connection
KILL_AFTER_S = 0.05  # from the arrival of that call; the host answers after a tenth of a second
MESSAGE_TIME_MS = 10_000
SETTLE_S = 3.0  # after the time of the last message
WAIT_S = 2.0


class CopyingServer(HttpServer):
    """Writes each answer with 200 a second time, right behind it and without TCP_NODELAY.

    Attributes:
        copies: Whether it does.
        is_crossed: Set when a call comes on a connection on which the answer before was sent twice.
    """

    copies = False

    def __init__(self, host: Host) -> None:
        super().__init__(host.server.handler)
        self.record, self.is_crossed = host.record, asyncio.Event()

    async def _serve_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        has_copied, answers = False, 0
        while True:
            first, headers, body = await read_message(reader)
            method, target, _ = first.split()
            if has_copied:
                self.record.write("this call comes on a connection on which the answer before was sent twice")
                self.is_crossed.set()
            answer = await self.handler(Request(method, target, headers, body))
            if answer is None:
                return
            writer.write(answer)
            answers += 1
            has_copied = self.copies and answer.startswith(b"HTTP/1.1 200") and answers % COPIES_EVERY == 0
            if has_copied:
                writer.write(answer)
                self.record.write("the answer was sent a second time, right behind it")


async def send_until_crossed(client: Client, host: Host, server: CopyingServer) -> None:
    """Hands in one message after the other, each soon after the answer to the one before."""
    for number in range(MESSAGES):
        message_id = f"status-{number}"
        await client.submit(message_id, "status-update", 7, MESSAGE_TIME_MS)
        ends_at = time.time() + WAIT_S
        while message_id not in host.runs and not server.is_crossed.is_set() and time.time() < ends_at:
            await asyncio.sleep(0.001)
        if server.is_crossed.is_set():
            return
        await asyncio.sleep(PAUSE_S)


async def scenario(record: RecordFile, folder: Path, has_trouble: bool) -> None:
    """Delivers to a host that sends its answers twice, and kills the relay before a true answer."""
    discovery, host = Discovery(record), Host(record, "s-1", 7, FARM_OWNERS)
    server = host.server = CopyingServer(host)
    server.copies = has_trouble
    await discovery.server.listen()
    await server.listen()
    discovery.change(host.entry("Ready"))

    async def turn_away_when_crossed(ids: list[str]) -> tuple[int, int]:
        is_turned_away = server.is_crossed.is_set() and server.copies
        if is_turned_away:
            server.copies = False
        status, wait_ms = await host.deliver(ids)
        return (503, 0) if is_turned_away else (status, wait_ms)

    host.verdict = turn_away_when_crossed
    relay, ready_at = Relay(record, folder), 0.0
    relay.write_config(discovery.server.address, discovery.full_list(), settings(STATUS_UPDATE, WORK_ORDER))
    try:
        await relay.start()
        client = Client(record, relay.port)
        await send_until_crossed(client, host, server)
        if server.is_crossed.is_set():
            await asyncio.sleep(KILL_AFTER_S)
            await relay.kill()
            await asyncio.sleep(RESTART_PAUSE_S)
            await relay.start()
            ready_at = time.time()
        client.close()
        await asyncio.sleep(max(s.due_at for s in client.taken) + SETTLE_S - time.time())
        check_lost(record, client.taken, [host], discovery, ready_at)
        if has_trouble and not server.is_crossed.is_set():
            raise RuntimeError("no call came on a connection that had brought a copy")
    finally:
        await relay.kill()
        await server.shut()
        await discovery.server.shut()


if __name__ == "__main__":
    sys.exit(run_case(scenario, Path(__file__).parent))
