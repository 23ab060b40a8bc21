"""Incremental parser of discovery's list: chunks of any size, truncated lists and malformed rows."""

from __future__ import annotations

import json
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.registry import listing
from loftrelay.registry.listing import ListEntry, ListParser, decode_entries, decode_entry
from tests.standins.fake_discovery import make_endpoint

TEXT = st.text(max_size=12)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(1 << 60), 1 << 60) | st.floats(-1e9, 1e9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=6,
)
MEMBERS = st.lists(st.dictionaries(TEXT, VALUES, max_size=4) | VALUES, max_size=6)


def parse_in_chunks(body: bytes, cuts: list[int]) -> tuple[list[Any], int, bool]:
    parser = ListParser()
    offsets = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    rows: list[Any] = []
    for first, last in pairwise(offsets):
        rows += parser.feed(body[first:last])
    return rows, *parser.finish()


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
def test_parser_accepts_any_chunks_whitespace_and_order_of_fields(
    revision: int,
    is_complete: bool,
    members: list[Any],
    indent: int | None,
    order: list[int],
    cuts: list[int],
    other: Any,
    ascii_only: bool,
) -> None:
    fields = [("revision", revision), ("complete", is_complete), ("members", members), ("other", other)]
    document = dict(fields[i] for i in order)
    body = json.dumps(document, indent=indent, ensure_ascii=ascii_only).encode("utf-8", "replace")
    if json.loads(body)["members"] != members:
        return  # a lone surrogate cannot be encoded in UTF-8
    assert parse_in_chunks(body, cuts) == (members, revision, is_complete)
    assert parse_in_chunks(body, list(range(len(body)))) == (members, revision, is_complete)


LIST_BODY = json.dumps(
    {"revision": 4, "complete": True, "members": [make_endpoint("a", 1), make_endpoint("b", 2)]}
).encode()


def test_parser_rejects_a_list_truncated_at_any_length() -> None:
    for length in range(len(LIST_BODY)):
        with pytest.raises(ValueError):
            parse_in_chunks(LIST_BODY[:length], [])


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
def test_parser_rejects_a_body_that_is_not_a_list(body: bytes) -> None:
    for cuts in ([], list(range(min(len(body), 300)))):
        with pytest.raises(ValueError):
            parse_in_chunks(body, cuts)


@settings(deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_parser_with_any_bytes_returns_the_list_or_raises_value_error(data: bytes) -> None:
    for body in (data, b'{"revision":1,"complete":true,"members":[' + data):
        try:
            rows, revision, is_complete = parse_in_chunks(body, [7, 60])
        except ValueError:
            continue
        document = json.loads(body)
        parsed = (rows, revision, is_complete)
        assert (document["members"], document["revision"], document["complete"]) == parsed


def test_decode_entry_encodes_equal_rows_identically() -> None:
    fields = make_endpoint("a", 1, other=["x", None])
    reversed_fields = dict(reversed(fields.items()))
    assert decode_entry(fields) == decode_entry(reversed_fields)
    entry = decode_entry(fields)
    assert (entry.endpoint, entry.destination, entry.is_removed) == ("a", 1, False)
    assert json.loads(entry.row) == fields
    assert b" " not in entry.row
    assert json.loads(listing.removed_row(entry.row)) == {**fields, "phase": "Gone"}


@pytest.mark.parametrize(
    "malformed",
    [
        None,
        7,
        "a",
        [],
        {},
        make_endpoint("a", -1),
        make_endpoint("a", 1, "Lost"),
        make_endpoint("a", (1 << 53) + 1),
        make_endpoint("a\ud800", 1),
        {**make_endpoint("a", 1), "phase": None},
        {**make_endpoint("a", 1), "id": 5},
        {**make_endpoint("a", 1), "cell": "1"},
        {**make_endpoint("a", 1), "cell": True},
        {**make_endpoint("a", 1), "cell": 1.0},
    ],
)
def test_decode_entries_skips_only_the_malformed_row(malformed: Any) -> None:
    skipped: list[Any] = []
    rows = [make_endpoint("x", 1), malformed, make_endpoint("y", 2)]
    entries = list(decode_entries(rows, lambda skipped_row, reason: skipped.append(skipped_row)))
    assert [entry.endpoint for entry in entries] == ["x", "y"]
    assert skipped == [malformed]


def test_standard_encoder_encodes_rows_as_msgspec_does() -> None:
    fields = make_endpoint("ä", 3, size=0.5, other={"b": [1, 2.5, "\n"], "a": None})
    assert listing._standard_encoder()(fields) == decode_entry(fields).row
    assert ListEntry("ä", 3, False, listing._standard_encoder()(fields)) == decode_entry(fields)
