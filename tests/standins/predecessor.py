"""The handover of a relay to its successor: recorded from one program, and replayed to another.

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

FRAME = struct.Struct(">II")  # length of the JSON object in bytes, number of descriptors sent with it
PARTIAL_REQUEST = format_submission("half", body=b"a body in two parts")
FIRST_HALF_BYTES = len(PARTIAL_REQUEST) - 10


class ChannelEnd:
    """One end of the handover channel. Socket calls block, so they run in a thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(TEST_TIMEOUT_S)
        self.data = b""
        self.files: list[int] = []

    async def send(self, message: dict[str, Any], descriptors: list[int] | None = None) -> None:
        """Sends one message with file descriptors."""
        body = json.dumps(message, separators=(",", ":")).encode()
        frame = FRAME.pack(len(body), len(descriptors or [])) + body
        rights = (
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] if descriptors else []
        )
        sent = await asyncio.to_thread(self.sock.sendmsg, [frame], rights)
        await asyncio.to_thread(self.sock.sendall, frame[sent:])

    async def receive(self) -> tuple[dict[str, Any], list[int]]:
        """Receives one message and its file descriptors."""
        while len(self.data) < FRAME.size or len(self.data) < FRAME.size + FRAME.unpack_from(self.data)[0]:
            data, descriptors, *_ = await asyncio.to_thread(socket.recv_fds, self.sock, 1 << 18, 200)
            assert data, "the other process has closed the channel"
            self.data += data
            self.files += descriptors
        size, count = FRAME.unpack_from(self.data)
        body, self.data = self.data[FRAME.size : FRAME.size + size], self.data[FRAME.size + size :]
        descriptors, self.files = self.files[:count], self.files[count:]
        return json.loads(body), descriptors


def prepare_state(harness: RelayHarness, state: Path) -> None:
    """Copies the stored state and opens the shared listener."""
    harness.admin_address = f"127.0.0.1:{free_port()}"
    shutil.copytree(state, harness.folder / "state")
    harness.share_listener()


async def record(folder: Path, root: Path, fixtures: Path) -> list[dict[str, Any]]:
    """Returns all messages that a relay sends to a successor that uses only the journal."""
    async with RelayHarness(folder, classes=CLASSES) as harness:
        harness.root = root
        prepare_state(harness, fixtures / "journal")
        host = await harness.start_host(never_respond)
        await harness.start_host(never_respond, destination=2)
        await harness.start()
        await harness.wait_until(lambda: bool(host.request_ids))  # calls are in flight
        reader, writer = await asyncio.open_connection(*harness.address)
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        await read_response(reader)
        writer.write(PARTIAL_REQUEST[:FIRST_HALF_BYTES])
        await asyncio.sleep(0.2)
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(folder / "state" / "upgrade.sock"))
        channel, received = ChannelEnd(sock), []
        await channel.send({"is": "ask", "pid": os.getpid()})
        received.append((await channel.receive())[0])
        await channel.send({"is": "loaded", "plain": True})
        while received[-1]["is"] != "client":
            received.append((await channel.receive())[0])
        shutil.rmtree(fixtures / "journal_handover", ignore_errors=True)
        (fixtures / "journal_handover").mkdir()
        for path in sorted((folder / "state").glob("*.log")):
            shutil.copy(path, fixtures / "journal_handover")
        operator = asyncio.create_task(harness.call_admin("disable-server h1"))
        received.append((await channel.receive())[0])
        await channel.send({"is": "changed", "n": received[-1]["n"], "why": None})
        assert await operator == "YES\n"
        assert harness.process is not None
        harness.process.send_signal(signal.SIGHUP)
        received.append((await channel.receive())[0])
        writer.close()
        return received


async def play(
    folder: Path, fixtures: Path, unfinished: set[str], root: Path = ROOT, is_refused: bool = False
) -> dict[str, Any]:
    """Starts the program of `root` as successor of this process, which replays the recorded handover.

    With `is_refused` the snapshot is replaced by an invalid one, so that the successor uses only the journal.
    """
    messages = json.loads((fixtures / "handover.json").read_text())
    if is_refused:
        messages[0]["module"] = "{}"
    async with RelayHarness(folder, classes=CLASSES) as harness:
        harness.root = root
        prepare_state(harness, fixtures / "journal_handover")
        lock = os.open(folder / "state" / "owner.lock", os.O_RDWR | os.O_CREAT)
        fcntl.flock(lock, fcntl.LOCK_EX)
        listener = socket.socket(socket.AF_UNIX)
        listener.bind(str(folder / "state" / "upgrade.sock"))
        listener.listen(1)
        listener.settimeout(TEST_TIMEOUT_S)
        host = await harness.start_host(respond_ok)
        await harness.start_host(
            respond_ok, destination=2
        )  # the host that an operator disables during the handover
        harness.process = await harness.spawn()
        channel = ChannelEnd((await asyncio.to_thread(listener.accept))[0])
        listener.close()
        request, _ = await channel.receive()
        assert request == {"is": "ask", "pid": harness.process.pid}
        await channel.send(messages[0])
        loaded, _ = await channel.receive()
        assert not host.requests  # the predecessor owns all messages until it hands them over
        client: socket.socket | None = None
        changed = None
        for message in messages[1:]:
            descriptors = []
            if message["is"] == "yours":
                descriptors = [lock]
            elif message["is"] == "client":
                client, client_end = socket.socketpair()
                descriptors = [client_end.detach()]
            await channel.send(message, descriptors)
            for descriptor in descriptors:
                os.close(descriptor)
            if message["is"] == "change":
                changed, _ = await channel.receive()
        assert client is not None
        client.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(PARTIAL_REQUEST[FIRST_HALF_BYTES:])
        start, _, _ = await read_response(reader)
        writer.close()
        await harness.wait_until_ready()
        await harness.wait_until(
            lambda: unfinished <= {*host.request_ids, *(report["id"] for report in harness.status_reports)}
        )
        await asyncio.sleep(0.5)  # time for a duplicate call
        disabled = json.loads((folder / "state" / "hosts-out.json").read_text())
        return {
            "loaded": loaded,
            "changed": changed,
            "half_request": start,
            "disabled": disabled,
            "calls": dict(sorted(Counter(host.request_ids).items())),
            "reports": sorted(harness.status_reports, key=lambda report: str(report["id"])),
        }


def main(command: str, root: Path, fixtures: Path) -> None:
    with tempfile.TemporaryDirectory() as folder:
        if command == "record":
            received = asyncio.run(record(Path(folder), root, fixtures))
            (fixtures / "handover.json").write_text(json.dumps(received) + "\n")
            return
        contents = json.loads((fixtures / "journal_contents.json").read_text())
        unfinished = set(contents["journal_handover"]["messages"])
        print(json.dumps(asyncio.run(play(Path(folder), fixtures, unfinished, root, True)), indent=1))


if __name__ == "__main__":
    main(sys.argv[1], Path(sys.argv[2]), Path(sys.argv[3]))
