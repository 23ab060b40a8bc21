"""The listening socket that the platform shares among all processes of one relay."""

from __future__ import annotations

import os
import socket


def parse_listen_fd(text: str | None) -> int | None:
    """Checks the descriptor that RELAY_ACCEPT_FD names.

    Returns:
        The descriptor, or None where the variable is not set.

    Raises:
        ValueError: It is no number, no open socket, or not listening.
    """
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"RELAY_ACCEPT_FD = {text!r} is no descriptor")
    try:
        is_listening = _is_listening(int(text))
    except OSError as error:
        raise ValueError(f"RELAY_ACCEPT_FD = {text} is no socket: {error}") from error
    if not is_listening:
        raise ValueError(f"RELAY_ACCEPT_FD = {text}: that socket does not listen")
    return int(text)


def _is_listening(descriptor: int) -> bool:
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        return bool(duplicate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
