"""The receiver of a handover, where its predecessor changes the state meanwhile."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from loftrelay.journal.journal import Journal
from loftrelay.journal.segments import SegmentFiles
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.server.http.connection_state import ClientKind, ConnectionState
from loftrelay.server.http.server import HTTPServer
from loftrelay.upgrade.receiver import HandoverReceiver
from tests.relay.test_engine import make_engine


def test_a_segment_dropped_during_the_read_ahead_is_no_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its owner serves, and may drop one between the look into the folder and the read."""

    async def main() -> None:
        owner = Journal(tmp_path, 1_000_000)
        now = wall_clock()
        for n in range(5):
            owner.admit(Message(f"m{n}", 0, "status", "acme", 1, None, now, now + 9_000_000, b"body"))
        receiver = HandoverReceiver(tmp_path, 1_000_000, 1)
        on_disk = SegmentFiles.paths_on_disk
        dropped = {0: tmp_path / "0000000000.log"}
        monkeypatch.setattr(SegmentFiles, "paths_on_disk", lambda self: {**dropped, **on_disk(self)})
        receiver._journal = receiver._read_ahead()
        assert receiver._journal is None
        monkeypatch.setattr(SegmentFiles, "paths_on_disk", on_disk)  # the predecessor has paused by now
        receiver._load()
        assert receiver._journal is not None
        assert list(receiver._journal.messages) == list(owner.messages)
        owner.close()

    asyncio.run(main())


def test_a_client_transferred_during_the_next_pause_is_passed_on_with_its_half_request(
    tmp_path: Path,
) -> None:
    """One handover right after another: the half request that the first one brought is passed on, too."""

    async def main() -> None:
        engine = make_engine(tmp_path)
        server = HTTPServer(engine, 10)
        await server.startup(("127.0.0.1", 0))
        server.pause()
        rows: list[dict[str, Any]] = []
        files: list[int] = []

        def give(row: dict[str, Any], file: int) -> None:
            rows.append(row)
            files.append(os.dup(file))

        server.hand_over(give)
        assert rows == []
        here, there = socket.socketpair()
        half = b"POST /status HTTP/1.1\r\nHost: x\r\nRequest-Id: m\r\n"
        await server.adopt(ConnectionState(ClientKind.ONCE, half, -1).row(), here.detach())
        while not rows:
            await asyncio.sleep(0)
        assert ConnectionState.read(rows[0], -1) == ConnectionState(ClientKind.ONCE, half, -1)
        assert server.connections.active() == []
        there.close()
        os.close(files[0])
        assert server.sweep_timer is not None
        server.sweep_timer.cancel()
        engine.context.status_reporter.close()

    asyncio.run(main())
