"""Responses truncated at each byte, by a close or a reset, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from loftrelay.decisions.events import AttemptStatus
from tests.delivery.host_client_fixture import ClientHarness
from tests.standins.fake_host import LINGER_RESET
from tests.standins.harness import format_response

NOT_RUN_STATUSES = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
BATCH_ROWS = json.dumps([{"id": "m", "state": "refused"}, {"id": "n", "state": "delivered"}]).encode()


@pytest.mark.parametrize("end", ["closed", "reset"])
@pytest.mark.parametrize(
    ("response", "is_batch"),
    [
        (format_response(200, b"fine"), False),
        (format_response(503, b"full", X_Come_Back_Ms="1"), False),
        (format_response(200, BATCH_ROWS), True),
        (format_response(503, X_Come_Back_Ms="1"), True),
    ],
    ids=["delivered", "full", "batch", "batch full"],
)
def test_truncated_response_gives_safe_result_at_each_length(
    response: bytes, is_batch: bool, end: str
) -> None:
    """A status line with 200 delivers a single message; a rejection or a batch response must be complete."""

    async def main() -> None:
        length_sent = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(length)
            writer.write(response[:length_sent])
            await writer.drain()
            if end == "reset":
                await asyncio.sleep(0.002)  # the data is read before the reset arrives
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort() if end == "reset" else writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        status_line_length = response.index(b"\n") + 1
        is_delivery = b" 200 " in response[:status_line_length] and not is_batch
        async with ClientHarness({"h": server.sockets[0].getsockname()[:2]}, max_connections=2) as harness:
            for length_sent in range(len(response) + 1):
                harness.client.close_all_idle_connections()
                harness.blocked_until.clear()  # set by the headers of the previous response
                result = await harness.send("m", *(("n",) if is_batch else ()), is_batch=is_batch)
                if length_sent == len(response):
                    expected = AttemptStatus.OK if is_delivery else AttemptStatus.REJECTED
                    assert result.status is expected, length_sent
                elif is_delivery and length_sent >= status_line_length and end == "closed":
                    assert result.status is AttemptStatus.OK and result.is_final, length_sent
                elif not is_delivery or length_sent < status_line_length:
                    assert result.status not in (*NOT_RUN_STATUSES, AttemptStatus.OK), (length_sent, result)
        server.close()

    asyncio.run(main())
