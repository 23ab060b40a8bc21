"""Discovery's response is parsed in chunks of any size, and a part of one is never accepted as a whole."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.registry import listing
from loftrelay.registry.listing import ListEntry, ListParser, decode_entries, decode_entry
from tests.standins.discovery import row

TEXT = st.text(max_size=12)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(1 << 60), 1 << 60) | st.floats(-1e9, 1e9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=6,
)
MEMBERS = st.lists(st.dictionaries(TEXT, VALUES, max_size=4) | VALUES, max_size=6)


def read(body: bytes, cuts: list[int]) -> tuple[list[Any], int, bool]:
    reader = ListParser()
    at = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    rows: list[Any] = []
    for first, last in pairwise(at):
        rows += reader.feed(body[first:last])
    return rows, *reader.finish()


@settings(deadline=None, derandomize=True)
@given(
    st.integers(0, 1 << 53),
    st.booleans(),
    MEMBERS,
    st.sampled_from([None, 0, 2]),
    st.permutations(range(4)),
    st.lists(st.integers(0, 1 << 20), max_size=40),
    VALUES,
    st.booleans(),
)
def test_list_is_parsed_with_any_chunks_spacing_and_order_of_fields(
    revision: int,
    complete: bool,
    members: list[Any],
    indent: int | None,
    order: list[int],
    cuts: list[int],
    other: Any,
    ascii_only: bool,
) -> None:
    fields = [("revision", revision), ("complete", complete), ("members", members), ("more", other)]
    told = dict(fields[i] for i in order)
    body = json.dumps(told, indent=indent, ensure_ascii=ascii_only).encode("utf-8", "replace")
    if json.loads(body)["members"] != members:
        return  # a lone surrogate has no UTF-8
    assert read(body, cuts) == (members, revision, complete)
    assert read(body, list(range(len(body)))) == (members, revision, complete)


WHOLE = json.dumps({"revision": 4, "complete": True, "members": [row("a", 1), row("b", 2)]}).encode()


def test_every_truncation_is_detected() -> None:
    for length in range(len(WHOLE)):
        with pytest.raises(ValueError):
            read(WHOLE[:length], [])


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"null",
        b"{}",
        b"nonsense",
        b'{"revision":1,"complete":true}',
        b'{"revision":1,"members":[]}',
        b'{"complete":true,"members":[]}',
        b'{"revision":true,"complete":true,"members":[]}',
        b'{"revision":-1,"complete":true,"members":[]}',
        b'{"revision":"1","complete":true,"members":[]}',
        b'{"revision":1,"complete":1,"members":[]}',
        b'{"revision":1,"complete":true,"members":{}}',
        b'{"revision":1,"complete":true,"members":[1 2]}',
        b'{"revision":1,"complete":true,"members":[1,]}',
        b'{"revision":1,"complete":true,"members":[]} x',
        b'{"revision":1,"complete":true,"members":[],}',
        b'{"revision":1,"revision":2,"complete":true,"members":[]}',
        b'{"revision":1,"complete":true,"members":[],"members":[]}',
        b'{"revision":1,"complete":true,"members":["\xff"]}',
        b'{"revision":1,"complete":true,"members":["' + b"x" * 100_000,
        b'{"revision":1,"complete":true,"members":[' + b"[" * 100_000,
        b'{"revision":' + b"9" * 5000 + b',"complete":true,"members":[]}',
    ],
)
def test_what_is_no_list_is_rejected(body: bytes) -> None:
    for cuts in ([], list(range(min(len(body), 300)))):
        with pytest.raises(ValueError):
            read(body, cuts)


@settings(deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_are_a_list_or_raise_value_error(data: bytes) -> None:
    for body in (data, b'{"revision":1,"complete":true,"members":[' + data):
        try:
            rows, revision, complete = read(body, [7, 60])
        except ValueError:
            continue
        told = json.loads(body)
        assert (told["members"], told["revision"], told["complete"]) == (rows, revision, complete)


def test_row_has_one_encoding() -> None:
    told = row("a", 1, more=["x", None])
    backwards = dict(reversed(told.items()))
    assert decode_entry(told) == decode_entry(backwards)
    entry = decode_entry(told)
    assert (entry.endpoint, entry.destination, entry.is_removed) == ("a", 1, False)
    assert json.loads(entry.row) == told
    assert b" " not in entry.row
    assert json.loads(listing.removed_row(entry.row)) == {**told, "phase": "Gone"}


@pytest.mark.parametrize(
    "bad",
    [
        None,
        7,
        "a",
        [],
        {},
        row("a", -1),
        row("a", 1, "Lost"),
        row("a", (1 << 53) + 1),
        row("a\ud800", 1),
        {**row("a", 1), "phase": None},
        {**row("a", 1), "id": 5},
        {**row("a", 1), "cell": "1"},
        {**row("a", 1), "cell": True},
        {**row("a", 1), "cell": 1.0},
    ],
)
def test_only_the_malformed_row_is_skipped(bad: Any) -> None:
    passed: list[Any] = []
    taken = list(decode_entries([row("x", 1), bad, row("y", 2)], lambda told, why: passed.append(told)))
    assert [entry.endpoint for entry in taken] == ["x", "y"]
    assert passed == [bad]


def test_rows_are_encoded_alike_without_msgspec() -> None:
    told = row("ä", 3, size=0.5, more={"b": [1, 2.5, "\n"], "a": None})
    assert listing._standard_encoder()(told) == decode_entry(told).row
    assert ListEntry("ä", 3, False, listing._standard_encoder()(told)) == decode_entry(told)
