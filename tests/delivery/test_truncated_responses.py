"""An answer that breaks off at each of its bytes, by an end or a reset, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from loftrelay.decisions.events import AttemptStatus
from tests.delivery.host_client_fixture import Sender
from tests.standins.partner import ABORT
from tests.standins.platform import reply

NEVER_RAN = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
ROWS = json.dumps([{"id": "m", "state": "refused"}, {"id": "n", "state": "delivered"}]).encode()


@pytest.mark.parametrize("end", ["closed", "reset"])
@pytest.mark.parametrize(
    ("answer", "batch"),
    [
        (reply(200, b"fine"), False),
        (reply(503, b"full", X_Come_Back_Ms="1"), False),
        (reply(200, ROWS), True),
        (reply(503, X_Come_Back_Ms="1"), True),
    ],
    ids=["delivered", "full", "batch", "batch full"],
)
def test_cut_at_each_byte(answer: bytes, batch: bool, end: str) -> None:
    """A first line with 200 delivers a single message; a refusal is believed whole or not at all, and so is
    what is told of a batch."""

    async def main() -> None:
        cut = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
            writer.write(answer[:cut])
            await writer.drain()
            if end == "reset":
                await asyncio.sleep(0.002)  # what was written is read before it
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            writer.transport.abort() if end == "reset" else writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        line = answer.index(b"\n") + 1
        delivers = b" 200 " in answer[:line] and not batch
        async with Sender({"h": server.sockets[0].getsockname()[:2]}, most=2) as sender:
            for cut in range(len(answer) + 1):
                sender.hosts.close_all_idle_connections()
                sender.waits.clear()  # the head of the cut before told one
                ending = await sender.send("m", *(("n",) if batch else ()), batch=batch)
                if cut == len(answer):
                    wanted = AttemptStatus.OK if delivers else AttemptStatus.REJECTED
                    assert ending.status is wanted, cut
                elif delivers and cut >= line and end == "closed":
                    assert ending.status is AttemptStatus.OK and ending.is_final, cut
                elif not delivers or cut < line:
                    assert ending.status not in (*NEVER_RAN, AttemptStatus.OK), (cut, ending)
        server.close()

    asyncio.run(main())
