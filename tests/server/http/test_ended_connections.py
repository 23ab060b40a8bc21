"""What is left of a client connection that has ended, until the garbage collection frees it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from unittest.mock import MagicMock

import pytest

from loftrelay.server.http.connection import ClientConnection
from tests.standins.harness import format_submission

REQUEST = format_submission("half", body=b"x" * 3_000)
HALF_BODY = REQUEST[:-1]
HALF_HEAD = REQUEST[:100]


def end_by_peer(connection: ClientConnection) -> None:
    connection.connection_lost(None)


def abort_and_end(connection: ClientConnection) -> None:
    connection.abort()
    connection.connection_lost(None)


@pytest.mark.parametrize("end", [end_by_peer, abort_and_end])
@pytest.mark.parametrize("received", [HALF_BODY, HALF_HEAD], ids=["half-body", "half-head"])
def test_connection_that_has_ended_holds_no_bytes(
    received: bytes, end: Callable[[ClientConnection], None]
) -> None:
    """Issue 67: asyncio's transport and its protocol are a cycle, which kept half requests for seconds."""

    async def scenario() -> None:
        server = MagicMock(is_paused=False)
        server.memory_grants.is_crowded = False
        connection = ClientConnection(server)
        connection.connection_made(MagicMock(spec=asyncio.Transport))
        connection.data_received(received)
        assert connection._exchange.held_bytes == len(received)
        end(connection)
        assert connection._exchange.held_bytes == 0
        assert connection._exchange._connection.trailing_data[0] == b""
        assert connection.transport is None

    asyncio.run(scenario())
