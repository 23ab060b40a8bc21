"""The adapter as a process: a scripted exchange, interleaved instances, malformed lines."""

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


def accept(instance: str, message: str) -> list[Any]:
    return ["accept", instance, message, None, 5, None, False, False, 9_000_000, None, None, "c"]


def talk(*lines: Any) -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "loftrelay.decisions.simulator"], input=text, capture_output=True, text=True
    )


def replies(done: subprocess.CompletedProcess[str]) -> list[Any]:
    return [json.loads(line) for line in done.stdout.splitlines()]


def test_a_scripted_exchange() -> None:
    done = talk(
        ["tick", 1000],
        ["spawn", "relay_1", 3, CONFIG],
        PAGE,
        ["sync", "relay_1", "cached", 1, 0],
        accept("relay_1", "m1"),
        ["end"],
        ["tick", 61000],
        ["outcome", "relay_1", "m1", None, "host_a", 200, 60000, 0, True, None],
        ["end"],
        ["tick", 70000],
        ["end"],
    )
    assert done.returncode == 0
    assert done.stderr == ""
    out = replies(done)
    assert ["tail", "relay_1", True] in out
    assert [line[:4] for line in out if line[0] == "submit_to"] == [["submit_to", "relay_1", "m1", "host_a"]]
    assert out.count(["ok"]) == 3
    assert out[-1] == ["ok"]


def test_instances_are_kept_apart_and_a_restart_forgets() -> None:
    done = talk(
        ["tick", 1],
        ["spawn", "relay_1", 3, CONFIG],
        ["spawn", "relay_2", 3, CONFIG],
        PAGE,
        ["sync", "relay_1", "cached", 1, 0],
        ["end"],
        ["tick", 9],
        accept("relay_2", "m2"),
        accept("relay_1", "m1"),
        ["end"],
        ["tick", 19],
        ["retire", "relay_1"],
        ["spawn", "relay_1", 4, CONFIG],
        accept("relay_1", "m3"),
        ["end"],
    )
    assert done.returncode == 0
    sent = [line[1:4] for line in replies(done) if line[0] == "submit_to"]
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
def test_malformed_input_gets_one_plain_line(lines: list[Any], reason: str) -> None:
    done = talk(*lines)
    assert done.returncode != 0
    assert done.stdout == ""
    assert done.stderr.count("\n") == 1
    assert reason in done.stderr
    assert f"line {len(lines)}" in done.stderr
