"""The line protocol of the operators' door. It does no input or output.

A caller writes one line and gets one answer: `YES`, or `NO` with a reason, and for `show-stat` the figures
and a line `END`.
"""

from __future__ import annotations

from dataclasses import dataclass

MOST_LINE = 512  # bytes of a call, its end of line not counted
SHORTEST, LONGEST = 1, 128  # characters of a host's id


class BadCall(Exception):
    """The line is no call; its text says why."""


@dataclass(frozen=True, slots=True)
class Call:
    name: str
    host: str = ""


TAKES_HOST = {"ready": False, "show-stat": False, "disable-server": True, "enable-server": True}


class LineReader:
    """Gathers the one line of a connection, however it is cut."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.done = False

    def feed(self, data: bytes) -> Call | None:
        """The call, once its line is whole; None before. What comes after the line is passed over.
        Raises BadCall, once.
        """
        if self.done:
            return None
        self.data += data[: MOST_LINE + 2 - len(self.data)]
        line, ended, _ = self.data.partition(b"\n")
        if not ended and len(line) <= MOST_LINE + 1:
            return None
        self.done = True
        if len(line.removesuffix(b"\r")) > MOST_LINE:
            raise BadCall(f"a line holds at most {MOST_LINE} bytes")
        return parse(bytes(line))

    def end(self) -> None:
        """The caller ends its sending. Raises BadCall if its line is not whole."""
        if not self.done:
            self.done = True
            raise BadCall("the line did not end")


def parse(line: bytes) -> Call:
    """One line without its end; a carriage return before that is no part of it. Raises BadCall."""
    try:
        words = line.removesuffix(b"\r").decode("utf-8").split(" ")
    except UnicodeDecodeError:
        raise BadCall("the line is not UTF-8") from None
    words = [word for word in words if word]
    if not words:
        raise BadCall("no call")
    name, *arguments = words
    if name not in TAKES_HOST:
        raise BadCall(f"no such call; there are {', '.join(TAKES_HOST)}")
    if not TAKES_HOST[name]:
        if arguments:
            raise BadCall(f"{name} takes no argument")
        return Call(name)
    if len(arguments) != 1:
        raise BadCall(f"{name} takes the id of one host")
    host = arguments[0]
    if not SHORTEST <= len(host) <= LONGEST or not host.isprintable():
        raise BadCall("that is no id of a host")
    return Call(name, host)


def yes() -> bytes:
    return b"YES\n"


def no(reason: str) -> bytes:
    """In one line, whatever the reason holds."""
    return ("NO " + " ".join(reason.split()) + "\n").encode("utf-8", "replace")


def stat(lines: list[str]) -> bytes:
    return "".join(f"{line}\n" for line in (*lines, "END")).encode()
