"""Simulator adapter as a process: a scripted exchange, interleaved relays, malformed lines."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

CONFIG = {
    "classes": [
        {"name": "c", "effect": "idempotent", "deadline": 9_000_000, "on_time": 1_000_000, "worth": 1}
    ],
    "extra": {"call_slots": 4, "bundle_max": [1], "own_limits": [False]},
    "flavors": ["k"],
    "discovery": "on_request",
    "unheard_of": {"x": 1},
}
PAGE = ["page", 0, [["host_a", 1, None, "IN", 5, "z", "k"]]]


def make_submission_row(relay: str, message: str) -> list[Any]:
    """Returns the wire message that submits a message to a relay."""
    return ["accept", relay, message, None, 5, None, False, False, 9_000_000, None, None, "c"]


def run_simulator(*lines: Any) -> subprocess.CompletedProcess[str]:
    """Runs the adapter with the given input lines: JSON values, or strings that are passed unchanged."""
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "loftrelay.decisions.simulator"], input=text, capture_output=True, text=True
    )


def read_replies(completed: subprocess.CompletedProcess[str]) -> list[Any]:
    return [json.loads(line) for line in completed.stdout.splitlines()]


def test_simulator_scripted_batches_get_expected_replies() -> None:
    completed = run_simulator(
        ["tick", 1000],
        ["spawn", "relay_1", 3, CONFIG],
        PAGE,
        ["sync", "relay_1", "cached", 1, 0],
        make_submission_row("relay_1", "m1"),
        ["end"],
        ["tick", 61000],
        ["outcome", "relay_1", "m1", None, "host_a", 200, 60000, 0, True, None],
        ["end"],
        ["tick", 70000],
        ["end"],
    )
    assert completed.returncode == 0
    assert completed.stderr == ""
    replies = read_replies(completed)
    assert ["tail", "relay_1", True] in replies
    assert [line[:4] for line in replies if line[0] == "submit_to"] == [
        ["submit_to", "relay_1", "m1", "host_a"]
    ]
    assert replies.count(["ok"]) == 3
    assert replies[-1] == ["ok"]


def test_simulator_relays_are_independent_and_lose_state_on_restart() -> None:
    completed = run_simulator(
        ["tick", 1],
        ["spawn", "relay_1", 3, CONFIG],
        ["spawn", "relay_2", 3, CONFIG],
        PAGE,
        ["sync", "relay_1", "cached", 1, 0],
        ["end"],
        ["tick", 9],
        make_submission_row("relay_2", "m2"),
        make_submission_row("relay_1", "m1"),
        ["end"],
        ["tick", 19],
        ["retire", "relay_1"],
        ["spawn", "relay_1", 4, CONFIG],
        make_submission_row("relay_1", "m3"),
        ["end"],
    )
    assert completed.returncode == 0
    sent = [line[1:4] for line in read_replies(completed) if line[0] == "submit_to"]
    assert sent == [["relay_1", "m1", "host_a"]]  # relay_2 and the restarted relay_1 know no endpoint


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (["{not json"], "invalid JSON"),
        ([["tick", 1], ["mystery", "relay_1"]], "unknown message"),
        ([["tick", 1], ["ring", "relay_1"]], "takes 2 values"),
        ([["tick", 1], ["ring", "relay_9", 0]], "was not spawned"),
        ([["ring", "relay_1", 0]], "only allowed inside a batch"),
        ([["tick", "soon"]], "clock"),
        ([{"tick": 1}], "expected an array"),
        ([["tick", 1]], "input ended inside a batch"),
        ([["tick", 1], ["spawn", "relay_1", 1, CONFIG], ["sync", "relay_1", "full", 1, 7]], "invalid value"),
    ],
)
def test_simulator_malformed_input_ends_with_one_error_line(lines: list[Any], reason: str) -> None:
    completed = run_simulator(*lines)
    assert completed.returncode != 0
    assert completed.stdout == ""
    assert completed.stderr.count("\n") == 1
    assert reason in completed.stderr
    assert f"line {len(lines)}" in completed.stderr
