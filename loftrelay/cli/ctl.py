"""The command `ctl`: sends one command to the admin endpoint of a relay and prints the reply."""

from __future__ import annotations

import argparse
import os
import socket
import sys
from collections.abc import Sequence
from enum import IntEnum

from loftrelay.net.address import Address, parse_address

MAX_REPLY_BYTES = 1 << 20
READ_CHUNK_BYTES = 65536
DEFAULT_TIMEOUT_S = 5.0
# Last line of a reply with metrics.
METRICS_END = "\nEND\n"


class ExitStatus(IntEnum):
    """Exit status of the command."""

    YES = 0  # the reply is YES, or metrics
    NO = 1  # the reply is NO
    USAGE = 2  # invalid command line
    NO_REPLY = 3  # no reply, or an incomplete one


def main(arguments: Sequence[str]) -> int:
    """Sends the command and returns the exit status."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    address = _parse_endpoint(parser, options.address)
    line = options.call if options.id is None else f"{options.call} {options.id}"
    try:
        reply = send_command(address, line, options.timeout)
    except OSError as error:
        print(f"loftrelay ctl: no reply from {options.address}: {error}", file=sys.stderr)
        return ExitStatus.NO_REPLY
    is_rejected = reply.startswith("NO")
    if not is_rejected and not _is_complete(options.call, reply):
        print(f"loftrelay ctl: {options.address} sent an incomplete reply", file=sys.stderr)
        return ExitStatus.NO_REPLY
    print(reply, end="")
    return ExitStatus.NO if is_rejected else ExitStatus.YES


def send_command(address: Address, line: str, timeout_s: float) -> str:
    """Sends one line and returns the reply, which ends with the connection.

    Args:
        address: The admin endpoint.
        line: The command and its arguments.
        timeout_s: Time-out of the connect and of each read.

    Raises:
        OSError: The endpoint can't be reached or does not reply in time.
    """
    with socket.create_connection(address, timeout=timeout_s) as connection:
        connection.sendall(line.encode() + b"\n")
        reply = bytearray()
        while len(reply) < MAX_REPLY_BYTES and (data := connection.recv(READ_CHUNK_BYTES)):
            reply += data
    return reply.decode("utf-8", "replace")


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay ctl",
        description="Sends one command to the admin endpoint of a relay and prints its reply.",
        epilog="Exit status: 0: YES or metrics; 1: NO; 2: invalid command line; 3: no reply.",
    )
    parser.add_argument(
        "--address",
        default=os.environ.get("RELAY_CONTROL"),
        metavar="HOST:PORT",
        help="the admin endpoint (default: the value of RELAY_CONTROL)",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="time-out of the reply (default 5)",
    )
    parser.add_argument("call", choices=("ready", "show-stat", "disable-server", "enable-server"))
    parser.add_argument("id", nargs="?", help="id of the host, for disable-server and enable-server")
    return parser


def _parse_endpoint(parser: argparse.ArgumentParser, text: str | None) -> Address:
    """Returns the address; ends the program with the usage if it is missing or invalid."""
    if not text:
        parser.error("no address: pass --address or set RELAY_CONTROL")
    try:
        return parse_address(text)
    except ValueError as error:
        parser.error(str(error))


def _is_complete(command: str, reply: str) -> bool:
    return reply.endswith(METRICS_END if command == "show-stat" else "\n")
