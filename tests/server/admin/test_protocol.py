"""The line protocol of the operators' door, without sockets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from loftrelay.server.admin.protocol import MOST_LINE, BadCall, Call, LineReader, no, parse, stat

CALLS = [
    (b"ready\n", Call("ready")),
    (b"show-stat\r\n", Call("show-stat")),
    (b"disable-server s-01018ac7\n", Call("disable-server", "s-01018ac7")),
    (b"  enable-server   s-01018ac7 \r\n", Call("enable-server", "s-01018ac7")),
]


@pytest.mark.parametrize(("line", "call"), CALLS)
def test_every_split_of_every_call(line: bytes, call: Call) -> None:
    for first in range(len(line) + 1):
        for second in range(first, len(line) + 1):
            reader = LineReader()
            heard = [reader.feed(part) for part in (line[:first], line[first:second], line[second:])]
            assert [told for told in heard if told is not None] == [call]


def test_what_comes_after_the_line_is_passed_over() -> None:
    reader = LineReader()
    assert reader.feed(b"ready\nshow-stat\n") == Call("ready")
    assert reader.feed(b"show-stat\n") is None
    reader.end()


@pytest.mark.parametrize(
    ("line", "why"),
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
def test_a_bad_call_is_told_why(line: bytes, why: str) -> None:
    with pytest.raises(BadCall, match=why):
        parse(line)


def test_a_line_too_long_is_turned_away_before_it_ends() -> None:
    for size in (MOST_LINE, MOST_LINE + 1):
        reader = LineReader()
        with pytest.raises(BadCall, match="no such call" if size == MOST_LINE else "at most"):
            reader.feed(b"r" * size + b"\n")
    reader = LineReader()
    assert reader.feed(b"r" * (MOST_LINE + 1)) is None  # the last byte may be a carriage return
    with pytest.raises(BadCall, match="at most"):
        reader.feed(b"r" * 10_000_000)
    assert len(reader.data) <= MOST_LINE + 2


def test_a_line_cut_in_two_by_the_end() -> None:
    reader = LineReader()
    assert reader.feed(b"rea") is None
    with pytest.raises(BadCall, match="did not end"):
        reader.end()
    assert reader.feed(b"dy\n") is None


@given(st.lists(st.binary(max_size=40), max_size=30))
def test_arbitrary_bytes_give_one_call_or_one_reason_at_most(parts: list[bytes]) -> None:
    reader, told = LineReader(), 0
    for part in parts:
        try:
            told += reader.feed(part) is not None
        except BadCall as error:
            told += 1
            assert no(str(error)).startswith(b"NO ")
            assert no(str(error)).count(b"\n") == 1
    assert told == (b"\n" in b"".join(parts) or len(b"".join(parts)) > MOST_LINE + 1)
    assert len(reader.data) <= MOST_LINE + 2


def test_a_reason_stands_in_one_line() -> None:
    assert no("a\nb \ud800") == b"NO a b ?\n"
    assert stat(["app.x=1"]) == b"app.x=1\nEND\n"
