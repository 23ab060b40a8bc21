"""Which results an unsolicited response casts doubt on, and limits of retained messages."""

from __future__ import annotations

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.delivery.recent_responses import (
    MAX_RECENT_RESPONSES,
    MAX_RETAINED_BODY_BYTES,
    REPORT_MARGIN_US,
    RecentResponse,
    RecentResponses,
    RetainedBodies,
)
from loftrelay.relay.message import Message

DEADLINE = 10_000_000
OK, FULL = AttemptStatus.OK, AttemptStatus.REJECTED


def make_message(name: str, body: bytes = b"body") -> Message:
    return Message(name, 1, "status", None, 1, None, 0, DEADLINE, body)


def make_responses(statuses: str) -> RecentResponses:
    """Returns responses "0", "1" and so on; "o" is a delivery, "f" a rejection."""
    responses = RecentResponses(RetainedBodies())
    for number, letter in enumerate(statuses):
        responses.add(RecentResponse(make_message(str(number)), OK if letter == "o" else FULL, 0), 0)
    return responses


@pytest.mark.parametrize(
    ("statuses", "is_surplus_ok", "expected"),
    [
        ("o", False, "0"),  # the true result of the last call is the unsolicited one
        ("o", True, ""),
        ("oof", False, "012"),
        ("ofo", True, "01"),
        ("ooooooo", False, "3456"),
        ("fooooof", True, "023456"),
        ("fooooooo", True, "0"),
        ("foooooooo", True, ""),
    ],
)
def test_delivery_is_disputed_if_another_result_follows_soon(
    statuses: str, is_surplus_ok: bool, expected: str
) -> None:
    disputed = make_responses(statuses).disputed(is_surplus_ok)
    assert "".join(response.message.id for response in disputed) == expected


def test_each_surplus_response_disputes_what_those_before_it_left_open() -> None:
    """Several duplicates shift the results by several calls; each result is disputed once."""
    responses = make_responses("oo")
    found = [[each.message.id for each in responses.disputed(is_ok)] for is_ok in (True, False, False)]
    assert found == [[], ["0", "1"], []]


def test_number_of_responses_of_a_connection_is_limited() -> None:
    responses = make_responses("o" * (MAX_RECENT_RESPONSES + 5))
    assert len(list(responses)) == MAX_RECENT_RESPONSES


def test_responses_of_messages_whose_report_would_be_late_are_dropped() -> None:
    responses = make_responses("oo")
    responses.add(RecentResponse(make_message("late"), OK, 0), DEADLINE + REPORT_MARGIN_US)
    assert not list(responses)


def test_oldest_bodies_are_dropped_over_the_limit_and_their_messages_stay() -> None:
    bodies = RetainedBodies()
    responses = [RecentResponses(bodies) for _ in range(3)]
    half = b"x" * (MAX_RETAINED_BODY_BYTES // 2)
    for number, connection in enumerate(responses):
        connection.add(RecentResponse(make_message(str(number), half), OK, 0), 0)
    assert bodies.total_bytes == MAX_RETAINED_BODY_BYTES
    (first,), (second,) = responses[0], responses[1]
    assert (first.has_body, first.message.body, first.message.id) == (False, b"", "0")
    assert second.has_body
    for connection in responses:
        connection.clear()
    assert bodies.total_bytes == 0
    assert not first.has_body


def make_settling(statuses: str, settled: list[str]) -> RecentResponses:
    responses = RecentResponses(RetainedBodies(), settled.append)
    for number, letter in enumerate(statuses):
        responses.add(RecentResponse(make_message(str(number)), OK if letter == "o" else FULL, 0), 0)
    return responses


@pytest.mark.parametrize(
    ("statuses", "expected"), [("oooo", ""), ("ooooo", "0"), ("ooooooo", "012"), ("oofooooo", "3"), ("f", "")]
)
def test_delivery_is_settled_once_its_true_result_is_among_later_deliveries(
    statuses: str, expected: str
) -> None:
    settled: list[str] = []
    make_settling(statuses, settled)
    assert "".join(settled) == expected


def test_each_delivery_is_settled_once_however_its_connection_ends() -> None:
    """One that is never settled nor disputed would stay in the journal for good."""
    settled: list[str] = []
    responses = make_settling("oofoo", settled)
    disputed = [each.message.id for each in responses.disputed(False)]
    responses.settle()
    responses.clear()
    assert (disputed, settled) == (["0", "1", "2", "3", "4"], [])
    responses = make_settling("ooofo", settled)
    responses.settle()
    responses.settle()
    responses.clear()
    assert settled == ["0", "1", "2", "4"]


def test_end_of_connection_doubts_the_last_unproven_deliveries() -> None:
    responses = make_settling("ooooofo", [])
    found = [each.message.id for each in responses.end(lambda _response: True)]
    assert found == ["3", "4", "6"]
    assert not responses.end(lambda _response: True)
