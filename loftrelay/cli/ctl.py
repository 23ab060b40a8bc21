"""`ctl`: one call at a relay's door for operators."""

from __future__ import annotations

import argparse
import os
import socket
import sys
from collections.abc import Sequence

from loftrelay.net.address import parse_address

YES, NO, USAGE, UNREACHED = 0, 1, 2, 3  # exit status
MOST_ANSWER = 1 << 20


def parser() -> argparse.ArgumentParser:
    about = argparse.ArgumentParser(
        prog="python -m loftrelay ctl",
        description="Makes one call at a relay's door and prints its answer.",
        epilog="Exit status: 0 for YES or figures, 1 for NO, 2 for a bad command line, 3 without an answer.",
    )
    about.add_argument(
        "--address",
        default=os.environ.get("RELAY_CONTROL"),
        metavar="HOST:PORT",
        help="the door's address; without it what RELAY_CONTROL says",
    )
    about.add_argument("--timeout", type=float, default=5.0, metavar="SECONDS", help="for the answer (5)")
    about.add_argument("call", choices=("ready", "show-stat", "disable-server", "enable-server"))
    about.add_argument("id", nargs="?", help="of the host, for the last two")
    return about


def main(arguments: Sequence[str]) -> int:
    asking = parser()
    asked = asking.parse_args(arguments)
    if not asked.address:
        asking.error("tell --address, or set RELAY_CONTROL")
    try:
        address = parse_address(asked.address)
    except ValueError as error:
        asking.error(str(error))
    line = " ".join((asked.call, *([asked.id] if asked.id is not None else [])))
    try:
        answer = call(address, line, asked.timeout)
    except OSError as error:
        print(f"loftrelay ctl: {asked.address} does not answer: {error}", file=sys.stderr)
        return UNREACHED
    whole = answer.endswith("\nEND\n") if asked.call == "show-stat" else answer.endswith("\n")
    if not whole and not answer.startswith("NO"):
        print(f"loftrelay ctl: {asked.address} ended its answer early", file=sys.stderr)
        return UNREACHED
    print(answer, end="")
    return NO if answer.startswith("NO") else YES


def call(address: tuple[str, int], line: str, timeout: float) -> str:
    """The whole answer. Raises OSError."""
    with socket.create_connection(address, timeout=timeout) as door:
        door.sendall(line.encode() + b"\n")
        parts: list[bytes] = []
        while sum(map(len, parts)) < MOST_ANSWER and (part := door.recv(65536)):
            parts.append(part)
    return b"".join(parts).decode("utf-8", "replace")
