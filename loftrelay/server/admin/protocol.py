"""Line protocol of the admin endpoint. Does no input or output.

A client sends one line and gets one reply: `YES`, `NO` with a reason, or, for `show-stat`, the statistics
followed by a line `END`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 512  # without the line ending
MIN_HOST_ID_CHARS = 1
MAX_HOST_ID_CHARS = 128


class CommandName(Enum):
    """Commands by their names on the wire."""

    READY = "ready"
    SHOW_STAT = "show-stat"
    DISABLE_SERVER = "disable-server"
    ENABLE_SERVER = "enable-server"


COMMANDS_WITH_HOST = {CommandName.DISABLE_SERVER, CommandName.ENABLE_SERVER}


class CommandError(Exception):
    """The line is not a valid command; the text is sent to the client as the reason."""


@dataclass(frozen=True, slots=True)
class Command:
    """A command; `host` is the id of a host, or empty if the command takes no argument."""

    name: CommandName
    host: str = ""


class LineReader:
    """Assembles the line of one connection from received data."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.is_finished = False

    def feed(self, data: bytes) -> Command | None:
        """Adds received bytes; bytes after the line are ignored.

        Returns:
            The command when its line is complete; None before and after that.

        Raises:
            CommandError: The line is too long or not a valid command; raised once.
        """
        if self.is_finished:
            return None
        # Two more bytes, for the line ending (CR LF) of a line of the maximum length.
        self.buffer += data[: MAX_LINE_BYTES + 2 - len(self.buffer)]
        line, newline, _ = self.buffer.partition(b"\n")
        if not newline and len(line) <= MAX_LINE_BYTES + 1:
            return None
        self.is_finished = True
        if len(line.removesuffix(b"\r")) > MAX_LINE_BYTES:
            raise CommandError(f"a line holds at most {MAX_LINE_BYTES} bytes")
        return parse_command(bytes(line))

    def end(self) -> None:
        """Handles the end of the received data.

        Raises:
            CommandError: The line is incomplete.
        """
        if not self.is_finished:
            self.is_finished = True
            raise CommandError("the line did not end")


def parse_command(line: bytes) -> Command:
    """Parses a line without its newline; a trailing carriage return is ignored.

    Raises:
        CommandError: It is not a valid command.
    """
    try:
        words = line.removesuffix(b"\r").decode("utf-8").split(" ")
    except UnicodeDecodeError:
        raise CommandError("the line is not UTF-8") from None
    words = [word for word in words if word]
    if not words:
        raise CommandError("no call")
    name = _parse_name(words[0])
    arguments = words[1:]
    if name not in COMMANDS_WITH_HOST:
        if arguments:
            raise CommandError(f"{name.value} takes no argument")
        return Command(name)
    if len(arguments) != 1:
        raise CommandError(f"{name.value} takes the id of one host")
    return Command(name, _parse_host_id(arguments[0]))


def success_reply() -> bytes:
    """Returns the reply to a command that was executed."""
    return b"YES\n"


def error_reply(reason: str) -> bytes:
    """Returns the reply to a command that was not executed; the reason is folded into one line."""
    return ("NO " + " ".join(reason.split()) + "\n").encode("utf-8", "replace")


def statistics_reply(lines: list[str]) -> bytes:
    """Returns the reply to `show-stat`."""
    return "".join(f"{line}\n" for line in (*lines, "END")).encode()


def _parse_name(word: str) -> CommandName:
    try:
        return CommandName(word)
    except ValueError:
        names = ", ".join(name.value for name in CommandName)
        raise CommandError(f"no such call; there are {names}") from None


def _parse_host_id(word: str) -> str:
    if not MIN_HOST_ID_CHARS <= len(word) <= MAX_HOST_ID_CHARS or not word.isprintable():
        raise CommandError("that is no id of a host")
    return word
