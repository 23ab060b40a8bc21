"""The handover of a relay to the next process: recorded from one program, and played to a successor.

`python -m tests.standins.predecessor record ROOT FIXTURES` writes handover.json and journal_handover/ in
FIXTURES with the program in ROOT; `... play ROOT FIXTURES` prints what the program in ROOT does as successor.
"""

from __future__ import annotations

import array
import asyncio
import fcntl
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

from tests.standins.harness import (
    ROOT,
    TEST_TIMEOUT_S,
    RelayHarness,
    format_submission,
    free_port,
    never_respond,
    read_response,
    respond_ok,
)
from tests.standins.recovered import CLASSES

FRAME = struct.Struct(">II")  # bytes of the JSON object, descriptors that come with it
HALF_REQUEST = format_submission("half", body=b"a body in two parts")
HALF = len(HALF_REQUEST) - 10


class Line:
    """One end of a channel between two processes. Its calls block: they are made in a thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TEST_TIMEOUT_S)
        self.data = b""
        self.files: list[int] = []

    async def send(self, told: dict[str, Any], files: list[int] | None = None) -> None:
        body = json.dumps(told, separators=(",", ":")).encode()
        frame = FRAME.pack(len(body), len(files or [])) + body
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", files))] if files else []
        sent = await asyncio.to_thread(self.sock.sendmsg, [frame], rights)
        await asyncio.to_thread(self.sock.sendall, frame[sent:])

    async def receive(self) -> tuple[dict[str, Any], list[int]]:
        while len(self.data) < FRAME.size or len(self.data) < FRAME.size + FRAME.unpack_from(self.data)[0]:
            data, files, *_ = await asyncio.to_thread(socket.recv_fds, self.sock, 1 << 18, 200)
            assert data, "the other process has closed the channel"
            self.data += data
            self.files += files
        size, count = FRAME.unpack_from(self.data)
        body, self.data = self.data[FRAME.size : FRAME.size + size], self.data[FRAME.size + size :]
        files, self.files = self.files[:count], self.files[count:]
        return json.loads(body), files


def prepare(world: RelayHarness, state: Path) -> None:
    world.admin_address = f"127.0.0.1:{free_port()}"
    shutil.copytree(state, world.folder / "state")
    world.share_listener()


async def record(folder: Path, root: Path, fixtures: Path) -> list[dict[str, Any]]:
    """All that a relay sends to one that takes over and goes by the journal alone."""
    async with RelayHarness(folder, classes=CLASSES) as world:
        world.root = root
        prepare(world, fixtures / "journal")
        host = await world.start_host(never_respond)
        await world.start_host(never_respond, destination=2)
        await world.start()
        await world.wait_until(lambda: bool(host.request_ids))  # calls are out
        reader, writer = await asyncio.open_connection(*world.address)
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        await read_response(reader)
        writer.write(HALF_REQUEST[:HALF])
        await asyncio.sleep(0.2)
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(folder / "state" / "upgrade.sock"))
        line, received = Line(sock), []
        await line.send({"is": "ask", "pid": os.getpid()})
        received.append((await line.receive())[0])
        await line.send({"is": "loaded", "plain": True})
        while received[-1]["is"] != "client":
            received.append((await line.receive())[0])
        shutil.rmtree(fixtures / "journal_handover", ignore_errors=True)
        (fixtures / "journal_handover").mkdir()
        for path in sorted((folder / "state").glob("*.log")):
            shutil.copy(path, fixtures / "journal_handover")
        operator = asyncio.create_task(world.call_admin("disable-server h1"))
        received.append((await line.receive())[0])
        await line.send({"is": "changed", "n": received[-1]["n"], "why": None})
        assert await operator == "YES\n"
        assert world.process is not None
        world.process.send_signal(signal.SIGHUP)
        received.append((await line.receive())[0])
        writer.close()
        return received


async def play(
    folder: Path, fixtures: Path, unfinished: set[str], root: Path = ROOT, is_refused: bool = False
) -> dict[str, Any]:
    """Starts the program of `root` beside this process, which owns the state and hands it over as recorded.

    `is_refused`: the state is spoilt, so that the program of `root` has to go by the journal alone.
    """
    told = json.loads((fixtures / "handover.json").read_text())
    if is_refused:
        told[0]["module"] = "{}"
    async with RelayHarness(folder, classes=CLASSES) as world:
        world.root = root
        prepare(world, fixtures / "journal_handover")
        lock = os.open(folder / "state" / "owner.lock", os.O_RDWR | os.O_CREAT)
        fcntl.flock(lock, fcntl.LOCK_EX)
        listener = socket.socket(socket.AF_UNIX)
        listener.bind(str(folder / "state" / "upgrade.sock"))
        listener.listen(1)
        listener.settimeout(TEST_TIMEOUT_S)
        host = await world.start_host(respond_ok)
        await world.start_host(respond_ok, destination=2)  # the one that an operator disables meanwhile
        world.process = await world.spawn()
        line = Line((await asyncio.to_thread(listener.accept))[0])
        listener.close()
        asked, _ = await line.receive()
        assert asked == {"is": "ask", "pid": world.process.pid}
        await line.send(told[0])
        loaded, _ = await line.receive()
        assert not host.requests  # the predecessor owns all until it has said otherwise
        client: socket.socket | None = None
        changed = None
        for row in told[1:]:
            files = []
            if row["is"] == "yours":
                files = [lock]
            elif row["is"] == "client":
                client, theirs = socket.socketpair()
                files = [theirs.detach()]
            await line.send(row, files)
            for file in files:
                os.close(file)
            if row["is"] == "change":
                changed, _ = await line.receive()
        assert client is not None
        client.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(HALF_REQUEST[HALF:])
        start, _, _ = await read_response(reader)
        writer.close()
        await world.wait_until_ready()
        await world.wait_until(
            lambda: unfinished <= {*host.request_ids, *(notice["id"] for notice in world.status_reports)}
        )
        await asyncio.sleep(0.5)  # for a message that runs twice
        disabled = json.loads((folder / "state" / "hosts-out.json").read_text())
        return {
            "loaded": loaded,
            "changed": changed,
            "half_request": start,
            "disabled": disabled,
            "calls": dict(sorted(Counter(host.request_ids).items())),
            "reports": sorted(world.status_reports, key=lambda report: str(report["id"])),
        }


def main(what: str, root: Path, fixtures: Path) -> None:
    with tempfile.TemporaryDirectory() as name:
        if what == "record":
            received = asyncio.run(record(Path(name), root, fixtures))
            (fixtures / "handover.json").write_text(json.dumps(received) + "\n")
            return
        contents = json.loads((fixtures / "journal_contents.json").read_text())
        unfinished = set(contents["journal_handover"]["messages"])
        print(json.dumps(asyncio.run(play(Path(name), fixtures, unfinished, root, True)), indent=1))


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]), Path(sys.argv[3]))
