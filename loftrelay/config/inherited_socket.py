"""Listening socket that the platform passes to all processes of one relay."""

from __future__ import annotations

import os
import socket


def parse_listen_fd(text: str | None) -> int | None:
    """Parses RELAY_ACCEPT_FD and checks that it is a listening socket.

    Returns:
        The file descriptor; None if the variable is empty or not set.

    Raises:
        ValueError: It is not a number, not an open socket, or the socket is not listening.
    """
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"RELAY_ACCEPT_FD = {text!r} is not a file descriptor")
    try:
        is_listening = _is_listening(int(text))
    except OSError as error:
        raise ValueError(f"RELAY_ACCEPT_FD = {text} is not an open socket: {error}") from error
    if not is_listening:
        raise ValueError(f"RELAY_ACCEPT_FD = {text} is a socket that is not listening")
    return int(text)


def _is_listening(descriptor: int) -> bool:
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        return bool(duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
