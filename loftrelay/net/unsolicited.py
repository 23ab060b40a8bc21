"""Detects data on a connection that is unread or that no request asked for."""

from __future__ import annotations

import asyncio
import os
import re
import select
import socket
from collections.abc import Callable
from enum import Enum, auto

STATUS_LINE_PREFIX = b"HTTP/1."
OK_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 200[ \r\n]")
PEEKED_BYTES = 16  # more than the part of a status line that OK_STATUS_LINE matches
MAX_UNREAD_CHECKS = 3  # loop iterations that a timer waits for data that a stall left unread


class UnsolicitedData(Enum):
    """Kinds of data on a connection that awaits no response."""

    RESPONSE = auto()  # may start a response, which could have been taken for that of another request
    NOISE = auto()  # cannot start a response
    CLOSED = auto()  # the peer closed or reset the connection


def classify_unsolicited(data: bytes) -> UnsolicitedData:
    """Returns the kind of unsolicited bytes; empty `data` means the end of the connection."""
    if not data:
        return UnsolicitedData.CLOSED
    is_response = data[: len(STATUS_LINE_PREFIX)] == STATUS_LINE_PREFIX[: len(data)]
    return UnsolicitedData.RESPONSE if is_response else UnsolicitedData.NOISE


def peek_unread(transport: asyncio.Transport) -> UnsolicitedData | None:
    """Returns the kind of data that the event loop has not read yet, without reading it; None if none."""
    unread = peek_unread_bytes(transport)
    return None if unread is None else classify_unsolicited(unread)


def peek_unread_bytes(transport: asyncio.Transport) -> bytes | None:
    """Returns the first unread bytes, none if the connection has ended; None if nothing has arrived."""
    if transport.is_closing():
        return None
    descriptor = transport.get_extra_info("socket").fileno()
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    if not poll.poll(0):
        return None
    try:
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            return duplicate.recv(PEEKED_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:  # also if no file descriptor is left for the duplicate
        return b""


class UnreadAwareTimer:
    """A timer that lets unread data be read before it expires.

    A late event loop may run an expired timer before it reads a response that arrived long ago.
    """

    def __init__(self) -> None:
        self.handle: asyncio.TimerHandle | None = None

    def start_at(self, when: float, transport: asyncio.Transport, on_timeout: Callable[[], None]) -> None:
        """Starts the timer.

        Args:
            when: The expiry, in seconds on the clock of the event loop.
            transport: The transport that is checked for unread data.
            on_timeout: Called at the expiry, once no data is left to read.
        """
        loop = asyncio.get_running_loop()
        self.handle = loop.call_at(when, self._check, MAX_UNREAD_CHECKS, transport, on_timeout)

    def cancel(self) -> None:
        """Stops the timer."""
        if self.handle is not None:
            self.handle.cancel()

    def reset(self) -> None:
        """Stops the timer and forgets that it was started."""
        self.cancel()
        self.handle = None

    def _check(self, checks: int, transport: asyncio.Transport, on_timeout: Callable[[], None]) -> None:
        if checks and peek_unread(transport) is not None:
            loop = asyncio.get_running_loop()
            self.handle = loop.call_later(0, self._check, checks - 1, transport, on_timeout)
        else:
            on_timeout()
