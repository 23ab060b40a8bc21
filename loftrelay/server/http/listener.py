"""Listening socket of the HTTP server.

It accepts connections itself, since asyncio's server drops those accepted in the pass before its close.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable

from loftrelay.net.address import Address
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

ACCEPTS_PER_PASS = 8  # few, so that connections can be closed in between; the kernel queues the others
LISTEN_BACKLOG = 1024
ACCEPT_PAUSE_S = 0.1  # after accept has failed, as when the process is out of descriptors


class Listener:
    """Accepts connections.

    Args:
        create_protocol: Creates the protocol of an accepted connection.

    Attributes:
        socket: The listening socket; None while it is closed.
        inherited_fd: Descriptor of a listening socket that other processes of the relay share; or None.
    """

    def __init__(self, create_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self.socket: socket.socket | None = None
        self.inherited_fd: int | None = None
        self._create_protocol = create_protocol
        self._attach_tasks: set[asyncio.Task[None]] = set()
        self._pause_timer: asyncio.TimerHandle | None = None

    def open(self, address: Address, inherited_fd: int | None) -> Address:
        """Listens on the inherited socket, or else on an address; port 0 selects a free port.

        Returns:
            The address in use.

        Raises:
            OSError: The address or the descriptor can't be used.
        """
        self.inherited_fd = inherited_fd
        if inherited_fd is not None:
            listening_socket = socket.socket(fileno=os.dup(inherited_fd))
        else:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            listening_socket = socket.create_server(address, family=family)
        self._listen(listening_socket)
        host, port = listening_socket.getsockname()[:2]
        return host, port

    def reopen(self) -> None:
        """Listens again after `close`, if the socket is inherited."""
        if self.inherited_fd is not None:
            self._listen(socket.socket(fileno=os.dup(self.inherited_fd)))

    def close(self) -> None:
        """Stops accepting connections; queued ones are reset unless the socket is shared."""
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if self.socket is not None:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    async def drain_and_close(self) -> None:
        """Accepts the queued connections, unless another process will do so, and closes the socket."""
        if self.socket is not None and self.inherited_fd is None:
            self._accept(LISTEN_BACKLOG)
        self.close()
        if self._attach_tasks:
            await asyncio.wait(self._attach_tasks)

    def _listen(self, listening_socket: socket.socket) -> None:
        listening_socket.setblocking(False)
        listening_socket.listen(LISTEN_BACKLOG)
        self.socket = listening_socket
        self._resume_accepting()

    def _resume_accepting(self) -> None:
        if self.socket is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self.socket.fileno(), self._accept, ACCEPTS_PER_PASS)

    def _pause_accepting(self) -> None:
        assert self.socket is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket.fileno())
        self._pause_timer = loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting)

    def _accept(self, limit: int) -> None:
        assert self.socket is not None
        for _ in range(limit):
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:  # the process is out of descriptors
                log.warning(
                    "HTTP listener can't accept a connection: %s; retrying in %g s", error, ACCEPT_PAUSE_S
                )
                self._pause_accepting()
                return
            accepted.setblocking(False)
            task = start_watched(self._attach(accepted), "start of a client connection")
            self._attach_tasks.add(task)
            task.add_done_callback(self._attach_tasks.discard)

    async def _attach(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the client has disconnected
            await asyncio.get_running_loop().connect_accepted_socket(self._create_protocol, accepted)
