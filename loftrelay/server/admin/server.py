"""TCP server of the admin endpoint; limits on connections, bytes and time keep it responsive."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from loftrelay.net.address import Address
from loftrelay.server.admin.protocol import (
    Command,
    CommandError,
    CommandName,
    LineReader,
    error_reply,
    statistics_reply,
    success_reply,
)

MAX_CONNECTIONS = 24
TIMEOUT_S = 10.0  # from the start of a connection to its complete line, and to the end of its reply
LISTEN_BACKLOG = 128
ACCEPTS_PER_PASS = 8  # connections accepted in one pass of the event loop

# Called once, when a command is done: with None, or with the reason if it was not executed.
OnDone = Callable[[str | None], None]


class AdminHandler(Protocol):
    """Executes operators' commands."""

    @property
    def is_ready(self) -> bool:
        """Whether the relay serves clients."""

    def metric_lines(self) -> list[str]:
        """Returns the statistics, one per line."""

    def disable_host(self, host: str, done: OnDone) -> None:
        """Stops sending messages to a host."""

    def enable_host(self, host: str, done: OnDone) -> None:
        """Reverts `disable_host`."""


class AdminConnection(asyncio.Protocol):
    """A connection, which serves one command."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._reader = LineReader()
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to its server, and starts its timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._timer = asyncio.get_running_loop().call_later(TIMEOUT_S, self._on_timeout)
        self._server.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Removes the connection from its server."""
        if self._timer is not None:
            self._timer.cancel()
        self._server.remove(self)

    def data_received(self, data: bytes) -> None:
        """Executes the command once its line is complete."""
        try:
            command = self._reader.feed(data)
        except CommandError as error:
            self._reply(error_reply(str(error)))
            return
        if command is not None:
            self._server.execute(command, self._reply)

    def eof_received(self) -> bool:
        """Keeps the connection open for the reply."""
        try:
            self._reader.end()
        except CommandError as error:
            self._reply(error_reply(str(error)))
        return True

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _on_timeout(self) -> None:
        if self._reader.is_finished:
            self.abort()  # the client does not read its reply
        else:
            self._reader.is_finished = True
            self._reply(error_reply("the line did not come in time"))

    def _reply(self, reply: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(reply)
            self._transport.close()


class AdminServer:
    """Listener of the admin endpoint, and its connections.

    Args:
        handler: Executes the commands.
    """

    def __init__(self, handler: AdminHandler) -> None:
        self.handler = handler
        self.connections: dict[AdminConnection, None] = {}  # in order of arrival
        self._listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Listens on an address; port 0 selects a free port.

        Returns:
            The address in use.

        Raises:
            OSError: The address can't be used.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening_socket = socket.create_server(address, family=family)
        self._listener = await loop.create_server(
            lambda: AdminConnection(self), sock=listening_socket, backlog=ACCEPTS_PER_PASS
        )
        # asyncio also uses its backlog as the number of connections that it accepts in one pass.
        listening_socket.listen(LISTEN_BACKLOG)
        host, port = listening_socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; if there are more than MAX_CONNECTIONS, closes the oldest one."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            self.remove(oldest)
            oldest.abort()

    def remove(self, connection: AdminConnection) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)

    def execute(self, command: Command, reply: Callable[[bytes], None]) -> None:
        """Executes a command and calls `reply` with the bytes to send, at once or later."""

        def done(reason: str | None) -> None:
            reply(success_reply() if reason is None else error_reply(reason))

        match command.name:
            case CommandName.READY:
                done(None if self.handler.is_ready else "not ready")
            case CommandName.SHOW_STAT:
                reply(statistics_reply(self.handler.metric_lines()))
            case CommandName.DISABLE_SERVER:
                self.handler.disable_host(command.host, done)
            case CommandName.ENABLE_SERVER:
                self.handler.enable_host(command.host, done)
