"""Requests that are not whole, beside others that were rejected for want of memory or of places."""

from __future__ import annotations

import asyncio
from unittest.mock import MagicMock

import pytest

from loftrelay.server.http.connection import ClientConnection
from loftrelay.server.http.request import is_whole_request
from tests.standins.harness import format_submission

BODY = b"x" * 3_000
WHOLE = format_submission("whole", body=BODY)
CHUNKED = format_submission("chunks", body=b"", Content_Length="", Transfer_Encoding="chunked")


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (WHOLE, True),
        (WHOLE + b"more", True),
        (WHOLE[:-1], False),
        (WHOLE[:50], False),
        (WHOLE.replace(b"Content-Length", b"content-length"), True),
        (b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", True),
        (b"noise", False),
        (CHUNKED, False),
        (CHUNKED + b"2\r\nab\r\n", False),
        (CHUNKED + b"2\r\nab\r\n0\r\n\r\n", True),
    ],
)
def test_is_whole_request_by_its_length_or_its_last_chunk(data: bytes, expected: bool) -> None:
    assert is_whole_request(data) is expected


@pytest.mark.parametrize("is_crowded", [True, False])
@pytest.mark.parametrize("is_new", [True, False])
def test_half_request_of_a_new_client_is_rejected_unparsed_in_a_crowd_alone(
    is_crowded: bool, is_new: bool
) -> None:
    async def scenario() -> None:
        server = MagicMock(is_paused=False, is_shutting_down=False)
        server.memory_grants.is_crowded = is_crowded
        server.connections.is_new.return_value = is_new
        connection = ClientConnection(server)
        transport = MagicMock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        connection.connection_made(transport)
        connection.data_received(WHOLE[:-1])
        written = b"".join(call.args[0] for call in transport.write.call_args_list)
        assert written.startswith(b"HTTP/1.1 503 ") == (is_crowded and is_new)
        assert connection.is_receiving

    asyncio.run(scenario())
