"""Encoding of handover messages: as recorded from commit 32c0038, so that versions can follow each other."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay.handover_state import HandoverError
from loftrelay.relay.ports import AttemptResult
from loftrelay.upgrade.messages import (
    WIRE_KINDS,
    AttemptOutcome,
    ConfigurationReplaced,
    HandoverMessage,
    HandoverRefused,
    HandoverRequested,
    OutcomeDisputed,
    OverrideAnswered,
    OverrideRequested,
    OwnershipReleased,
    RetryAfterReceived,
    StateExported,
    StateLoaded,
    read_message,
    write_message,
)

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_32c0038"
FORWARDED_LINES = (FIXTURES / "channel_messages.jsonl").read_text().splitlines()
FORWARDED_MESSAGES: list[HandoverMessage] = [
    AttemptOutcome("m1", "h0", AttemptResult(AttemptStatus.REJECTED, retry_after=250_000)),
    RetryAfterReceived("h0", 250_000),
    OutcomeDisputed("m1", "h0", 1_790_000_000_000_000),
    OverrideRequested(1, "h0", True),
    OverrideRequested(2, "h0", False),
    ConfigurationReplaced(),
]


def encode_message(message: HandoverMessage) -> str:
    return json.dumps(write_message(message), separators=(",", ":"))


@pytest.mark.parametrize(("line", "message"), list(zip(FORWARDED_LINES, FORWARDED_MESSAGES, strict=True)))
def test_forwarded_message_is_read_and_written_as_recorded(line: str, message: HandoverMessage) -> None:
    assert read_message(json.loads(line)) == message
    assert encode_message(message) == line


def test_messages_of_recorded_handover_are_read_and_written_as_recorded() -> None:
    recorded = json.loads((FIXTURES / "handover.json").read_text())
    messages = [read_message(wire) for wire in recorded]
    assert isinstance(messages[0], StateExported)
    assert OwnershipReleased() in messages
    for wire, message in zip(recorded, messages, strict=True):
        assert message is not None
        assert encode_message(message) == json.dumps(wire, separators=(",", ":"))


@pytest.mark.parametrize(
    ("message", "line"),
    [
        (HandoverRequested(7), '{"is":"ask","pid":7}'),
        (HandoverRefused("x"), '{"is":"no","why":"x"}'),
        (StateLoaded(True), '{"is":"loaded","plain":true}'),
        (OverrideAnswered(3, None), '{"is":"changed","n":3,"why":null}'),
        (OverrideAnswered(3, "x"), '{"is":"changed","n":3,"why":"x"}'),
    ],
)
def test_message_is_read_and_written_in_its_wire_form(message: HandoverMessage, line: str) -> None:
    assert encode_message(message) == line
    assert read_message(json.loads(line)) == message


@pytest.mark.parametrize("wire", [{}, {"is": "later"}, {"is": 7}, {"is": []}])
def test_read_message_unknown_kind_returns_none(wire: dict[str, Any]) -> None:
    assert read_message(wire) is None


@pytest.mark.parametrize("kind", ["ended", "told", "doubted", "change", "changed"])
def test_read_message_missing_field_raises_handover_error(kind: str) -> None:
    assert kind in WIRE_KINDS
    with pytest.raises(HandoverError, match=kind):
        read_message({"is": kind})
