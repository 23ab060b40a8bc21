"""The table of slopes, on made-up runs, and the cheap cases at small sizes."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from benchmarks import slope_cases
from benchmarks.process import ROOT
from benchmarks.slopes import CASES, SLOPES, Case, Slope, judged, measure, run_once, table
from benchmarks.watch_server import row
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.simulation.fleet import MS, SECOND
from tests.standins.harness import TEST_TIMEOUT_S


def test_a_slope_is_judged_by_its_largest_size_and_told_at_the_target() -> None:
    case = Case("c", "entries", (1, 2, 4), (1, 2, 4), 100)
    seen = {size: [{"x": 10.0 * size + by} for by in (3.0, 0.0, -1.0)] for size in (1, 2, 4)}
    seen[4] = [{"x": 50.0}] * 3  # off the line: predicted 40
    told = judged(Slope("s", "c", "x", "us"), case, seen)
    assert told["sizes"]["1"] == {"median": 10, "least": 9, "most": 13}
    assert told["predicted_largest"] == 40
    assert told["prediction_error"] == 0.2
    # By hand, through (1, 10), (2, 20), (4, 50): slope 95 / 7, constant 80 / 3 - 95 / 3.
    assert told["target"] == {"size": 100, "predicted": round(9500 / 7 - 5), "times_beyond": 25}
    assert "error 0.2" in table("s", told)


def test_each_slope_names_a_case_and_each_case_a_function() -> None:
    assert {slope.case for slope in SLOPES} == set(CASES) == set(slope_cases.CASES)
    assert len({slope.name for slope in SLOPES}) == len(SLOPES)


def test_a_name_that_there_is_not_is_told() -> None:
    with pytest.raises(ValueError, match="no slope is called nonsense"):
        measure(True, ["nonsense"])


def test_a_list_is_measured_in_a_process_of_its_own() -> None:
    told = run_once("listed", 300)
    assert {slope.figure for slope in SLOPES if slope.case == "listed"} <= set(told)
    assert all(value > 0 for name, value in told.items() if name not in ("list_bytes", "list_peak_bytes"))
    assert told["standstill_s"] <= told["list_cpu_s"]


def test_a_change_is_taken_by_the_module() -> None:
    assert slope_cases.listing_change(50, times=8)["change_us"] > 0


def test_a_fleet_where_all_know_all_costs_what_one_that_has_found_itself_costs() -> None:
    """Trouble: a steady state that is laid down, and not come to, may be none."""
    found = slope_cases.Weighed(12, 3, SwimConfig(200 * MS, 1000 * MS))
    found.run(found.now_us + 40 * SECOND)
    assert found.is_converged()
    found.clear()
    found.run(found.now_us + 5 * SECOND)
    laid = slope_cases.membership(12, 200 * MS, 3)
    assert laid["sent_per_s"] == pytest.approx(found.sent / 12 / 5, rel=0.05)
    assert laid["datagrams_per_s"] == pytest.approx(found.datagrams / 12 / 5, rel=0.05)
    assert 0 < laid["death_s"] < 10
    assert 0 < laid["start_known_s"] < 5
    assert laid["restart_bytes"] > 0


def test_a_watch_brings_its_entries_and_every_byte_is_counted() -> None:
    empty, three = slope_cases.watch(0, 10), slope_cases.watch(3, 10)
    entry = len(json.dumps(row(0)))
    # Three rows and two separators more, and a digit of Content-Length.
    assert three["to_relay"] - empty["to_relay"] == pytest.approx(3 * entry + 2 * 2 + 1, abs=1)
    target = "/registry/instances?index=100&wait=2000"
    request = f"GET {target} HTTP/1.1\r\nHost: discovery\r\nContent-Length: 0\r\n\r\n"
    assert three["from_relay"] == pytest.approx(len(request), abs=2)
    assert three["watch_us"] > 0
    assert three["server_us"] > 0


def test_a_relay_among_others_on_sockets_is_measured_by_itself() -> None:
    seen = slope_cases.sockets(4, seconds=1.0)
    # A probe and an answer each beat of 200 ms; a busy machine may hold up some.
    assert 0 < seen["sent_per_s"] < 20
    assert seen["heard_per_s"] > 0
    assert seen["relay_ms_per_s"] > 0


def test_the_last_line_is_json_with_each_slope_that_was_asked_for() -> None:
    command = [sys.executable, "-m", "benchmarks.slopes", "--quick", "--only", "listing_change", "miss_rate"]
    done = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True, timeout=TEST_TIMEOUT_S
    )
    told = json.loads(done.stdout.splitlines()[-1])
    assert set(told["slopes"]) == {"listing_change", "module_memory"}
    change = told["slopes"]["listing_change"]
    assert change["target"]["size"] == 870_000
    assert change["prediction_error"] >= 0
    assert len(told["miss_rate"]) == 25
    assert told["miss_rate"][0]["in_use"]["10"] > 1_000
