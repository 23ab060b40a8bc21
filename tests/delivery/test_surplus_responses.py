"""Surplus responses: in any pieces, before and after `read` is called, and what ends them."""

from __future__ import annotations

import pytest

from loftrelay.net.surplus_responses import MAX_SURPLUS_BODY_BYTES, SurplusResponses
from tests.standins.harness import format_response

RESPONSES = format_response(200) + format_response(503, b"no") + format_response(200, b"yes")


def read(surplus: SurplusResponses) -> tuple[list[int], list[str]]:
    """Starts to read; returns the lists of statuses and of ends."""
    statuses: list[int] = []
    ends: list[str] = []
    surplus.read(statuses.append, lambda: ends.append("end"))
    return statuses, ends


@pytest.mark.parametrize("size", [1, 7, 20, len(RESPONSES)])
def test_statuses_are_passed_on_in_order_whatever_the_pieces(size: int) -> None:
    pieces = [RESPONSES[first : first + size] for first in range(0, len(RESPONSES), size)]
    before = SurplusResponses(pieces[0])
    for piece in pieces[1:]:
        before.feed(piece)
    assert read(before) == ([200, 503, 200], [])
    after = SurplusResponses()
    statuses, ends = read(after)
    for piece in pieces:
        after.feed(piece)
    assert (statuses, ends) == ([200, 503, 200], [])


@pytest.mark.parametrize(
    "data",
    [b"", b"not HTTP at all", format_response(200, b"x" * (MAX_SURPLUS_BODY_BYTES + 1))],
    ids=["end of the connection", "invalid", "too long"],
)
def test_end_is_passed_on_once(data: bytes) -> None:
    surplus = SurplusResponses(format_response(503))
    statuses, ends = read(surplus)
    surplus.feed(data)
    surplus.feed(b"")
    assert (statuses, ends) == ([503], ["end"])


def test_end_before_anybody_reads_is_passed_on_after_the_statuses() -> None:
    surplus = SurplusResponses(RESPONSES)
    surplus.feed(b"")
    assert read(surplus) == ([200, 503, 200], ["end"])
