"""A relay takes over from one of commit 32c0038 (the baseline), whose scheduler snapshot has another format.

The predecessor's handover messages and journal were recorded (README.md of the fixtures). The expected
result is that of a successor of 32c0038 that could not read the snapshot either.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions.events import AttemptStatus
from loftrelay.relay.handover_state import (
    HandoverError,
    read_attempt_result,
    read_state,
    write_attempt_result,
)
from loftrelay.relay.ports import AttemptResult
from tests.standins.predecessor import play

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_32c0038"
MESSAGES: list[dict[str, Any]] = json.loads((FIXTURES / "handover.json").read_text())
EXPECTED: dict[str, Any] = json.loads((FIXTURES / "handover_recovery.json").read_text())
STORED_JOURNAL: dict[str, Any] = json.loads((FIXTURES / "journal_contents.json").read_text())[
    "journal_handover"
]


def test_successor_of_baseline_loses_and_repeats_no_message(tmp_path: Path) -> None:
    unfinished = set(STORED_JOURNAL["messages"])
    assert unfinished
    in_flight = set(MESSAGES[0]["sent_at"])
    assert in_flight
    result = asyncio.run(play(tmp_path, FIXTURES, unfinished))
    assert result["loaded"] == {"is": "loaded", "plain": True}
    assert result == EXPECTED
    reported = {report["id"] for report in result["reports"]}
    assert unfinished <= set(result["calls"]) | reported
    assert not set(result["calls"]) & reported
    assert set(result["calls"].values()) == {1}
    at_most_once = {id_ for id_ in in_flight if STORED_JOURNAL["messages"][id_]["class_name"] == "order"}
    assert at_most_once
    assert at_most_once <= reported  # the predecessor's call may have been executed


def test_read_state_rejects_baseline_snapshot() -> None:
    state = MESSAGES[0]
    with pytest.raises(HandoverError):
        read_state(state, 1)


def test_attempt_results_are_read_and_written_as_at_baseline() -> None:
    names = {
        "over": "is_final",
        "expired": "is_expired",
        "wait": "retry_after",
        "idle": "connection_idle",
        "held": "is_blocked",
    }  # field at 32c0038 -> field of AttemptResult
    lines = (FIXTURES / "attempt_results.json").read_text().splitlines()
    assert len(lines) == 6 * len(AttemptStatus)
    for line in lines:
        recorded = json.loads(line)
        fields = {names[name]: value for name, value in recorded["fields"].items()}
        expected = AttemptResult(AttemptStatus(recorded["row"][0]), **fields)
        assert read_attempt_result(recorded["row"]) == expected
        assert write_attempt_result(expected) == recorded["row"]
