"""Line protocol of the admin endpoint: parsing of commands, and replies."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loftrelay.server.admin.protocol import (
    MAX_LINE_BYTES,
    Command,
    CommandError,
    CommandName,
    LineReader,
    error_reply,
    parse_command,
    statistics_reply,
)

COMMANDS = [
    (b"ready\n", Command(CommandName.READY)),
    (b"show-stat\r\n", Command(CommandName.SHOW_STAT)),
    (b"disable-server s-01018ac7\n", Command(CommandName.DISABLE_SERVER, "s-01018ac7")),
    (b"  enable-server   s-01018ac7 \r\n", Command(CommandName.ENABLE_SERVER, "s-01018ac7")),
]


@pytest.mark.parametrize(("line", "command"), COMMANDS)
def test_line_reader_returns_command_for_every_split_of_the_line(line: bytes, command: Command) -> None:
    for first in range(len(line) + 1):
        for second in range(first, len(line) + 1):
            reader = LineReader()
            results = [reader.feed(part) for part in (line[:first], line[first:second], line[second:])]
            assert [result for result in results if result is not None] == [command]


def test_line_reader_ignores_bytes_after_the_line() -> None:
    reader = LineReader()
    assert reader.feed(b"ready\nshow-stat\n") == Command(CommandName.READY)
    assert reader.feed(b"show-stat\n") is None
    reader.end()


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        (b"", "no call"),
        (b"  \r", "no call"),
        (b"READY", "no such call"),
        (b"ready now", "takes no argument"),
        (b"show-stat all", "takes no argument"),
        (b"disable-server", "takes the id of one host"),
        (b"enable-server a b", "takes the id of one host"),
        (b"disable-server " + b"x" * 129, "no id of a host"),
        (b"disable-server a\x07b", "no id of a host"),
        (b"ready\xff", "not UTF-8"),
    ],
)
def test_parse_command_invalid_line_raises_with_reason(line: bytes, reason: str) -> None:
    with pytest.raises(CommandError, match=reason):
        parse_command(line)


def test_line_reader_rejects_too_long_line_before_its_end() -> None:
    for size in (MAX_LINE_BYTES, MAX_LINE_BYTES + 1):
        reader = LineReader()
        with pytest.raises(CommandError, match="no such call" if size == MAX_LINE_BYTES else "at most"):
            reader.feed(b"r" * size + b"\n")
    reader = LineReader()
    assert reader.feed(b"r" * (MAX_LINE_BYTES + 1)) is None  # the last byte may be a carriage return
    with pytest.raises(CommandError, match="at most"):
        reader.feed(b"r" * 10_000_000)
    assert len(reader.buffer) <= MAX_LINE_BYTES + 2


def test_line_reader_end_of_input_within_the_line_raises() -> None:
    reader = LineReader()
    assert reader.feed(b"rea") is None
    with pytest.raises(CommandError, match="did not end"):
        reader.end()
    assert reader.feed(b"dy\n") is None


@given(st.lists(st.binary(max_size=40), max_size=30))
def test_line_reader_arbitrary_bytes_give_at_most_one_command_or_error(parts: list[bytes]) -> None:
    reader, outcome_count = LineReader(), 0
    for part in parts:
        try:
            outcome_count += reader.feed(part) is not None
        except CommandError as error:
            outcome_count += 1
            assert error_reply(str(error)).startswith(b"NO ")
            assert error_reply(str(error)).count(b"\n") == 1
    assert outcome_count == (b"\n" in b"".join(parts) or len(b"".join(parts)) > MAX_LINE_BYTES + 1)
    assert len(reader.buffer) <= MAX_LINE_BYTES + 2


def test_error_reply_folds_reason_into_one_line() -> None:
    assert error_reply("a\nb \ud800") == b"NO a b ?\n"
    assert statistics_reply(["app.x=1"]) == b"app.x=1\nEND\n"
