"""The command `ctl`: makes one call to a relay's admin endpoint and prints the reply."""

from __future__ import annotations

import argparse
import os
import socket
import sys
from collections.abc import Sequence
from enum import IntEnum

from loftrelay.net.address import Address, parse_address

MAX_REPLY_BYTES = 1 << 20
READ_BYTES = 65536
DEFAULT_TIMEOUT_S = 5.0
# The last line of a reply with metrics.
METRICS_END = "\nEND\n"


class ExitStatus(IntEnum):
    """Exit status of the command."""

    YES = 0  # the reply is YES, or metrics
    NO = 1
    USAGE = 2
    NO_REPLY = 3


def main(arguments: Sequence[str]) -> int:
    """Makes the call and returns the exit status."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    address = _parse_endpoint(parser, options.address)
    line = options.call if options.id is None else f"{options.call} {options.id}"
    try:
        reply = call(address, line, options.timeout)
    except OSError as error:
        print(f"loftrelay ctl: {options.address} does not answer: {error}", file=sys.stderr)
        return ExitStatus.NO_REPLY
    is_refusal = reply.startswith("NO")
    if not is_refusal and not _is_complete(options.call, reply):
        print(f"loftrelay ctl: {options.address} ended its answer early", file=sys.stderr)
        return ExitStatus.NO_REPLY
    print(reply, end="")
    return ExitStatus.NO if is_refusal else ExitStatus.YES


def call(address: Address, line: str, timeout: float) -> str:
    """Sends one line and returns the reply, up to the end of the connection.

    Args:
        address: The admin endpoint.
        line: The call.
        timeout: Seconds for the connect and for each read.

    Raises:
        OSError: The endpoint can't be reached, or does not reply in time.
    """
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.sendall(line.encode() + b"\n")
        reply = bytearray()
        while len(reply) < MAX_REPLY_BYTES and (data := connection.recv(READ_BYTES)):
            reply += data
    return reply.decode("utf-8", "replace")


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of this command's options."""
    parser = argparse.ArgumentParser(
        prog="python -m loftrelay ctl",
        description="Makes one call to a relay's admin endpoint and prints its reply.",
        epilog="Exit status: 0 for YES or metrics, 1 for NO, 2 for a bad command line, 3 without a reply.",
    )
    parser.add_argument(
        "--address",
        default=os.environ.get("RELAY_CONTROL"),
        metavar="HOST:PORT",
        help="the admin endpoint; without it the value of RELAY_CONTROL",
    )
    parser.add_argument(
        "--timeout", type=float, default=DEFAULT_TIMEOUT_S, metavar="SECONDS", help="for the reply (5)"
    )
    parser.add_argument("call", choices=("ready", "show-stat", "disable-server", "enable-server"))
    parser.add_argument("id", nargs="?", help="of the host, for the last two")
    return parser


def _parse_endpoint(parser: argparse.ArgumentParser, text: str | None) -> Address:
    """Ends the program with the usage where there is no address."""
    if not text:
        parser.error("give --address, or set RELAY_CONTROL")
    try:
        return parse_address(text)
    except ValueError as error:
        parser.error(str(error))


def _is_complete(name: str, reply: str) -> bool:
    return reply.endswith(METRICS_END if name == "show-stat" else "\n")
