"""Evaluation of slopes on given runs, and the fast cases at small sizes."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from benchmarks import slope_cases
from benchmarks.process import ROOT
from benchmarks.slopes import CASES, SLOPES, Case, Slope, evaluate_slope, format_slope, measure, run_once
from benchmarks.watch_server import make_entry
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.simulation.fleet import MS, SECOND
from tests.standins.harness import TEST_TIMEOUT_S


def test_evaluate_slope_reports_the_error_at_the_largest_size_and_the_value_at_the_target() -> None:
    case = Case("c", "entries", (1, 2, 4), (1, 2, 4), 100)
    runs_by_size = {size: [{"x": 10.0 * size + offset} for offset in (3.0, 0.0, -1.0)] for size in (1, 2, 4)}
    runs_by_size[4] = [{"x": 50.0}] * 3  # not on the line, which predicts 40
    result = evaluate_slope(Slope("s", "c", "x", "us"), case, runs_by_size)
    assert result["sizes"]["1"] == {"median": 10, "least": 9, "most": 13}
    assert result["predicted_largest"] == 40
    assert result["prediction_error"] == 0.2
    # The least-squares line through (1, 10), (2, 20), (4, 50) has slope 95 / 7 and constant 80 / 3 - 95 / 3.
    assert result["target"] == {"size": 100, "predicted": round(9500 / 7 - 5), "times_beyond": 25}
    assert "error 0.2" in format_slope("s", result)


def test_slopes_name_existing_cases_and_cases_name_existing_functions() -> None:
    assert {slope.case for slope in SLOPES} == set(CASES) == set(slope_cases.CASES)
    assert len({slope.name for slope in SLOPES}) == len(SLOPES)


def test_measure_with_an_unknown_name_raises_value_error() -> None:
    with pytest.raises(ValueError, match="unknown slopes: nonsense; known are"):
        measure(True, ["nonsense"])


def test_run_once_returns_the_figures_of_a_case_from_its_own_process() -> None:
    figures = run_once("listed", 300)
    assert {slope.figure for slope in SLOPES if slope.case == "listed"} <= set(figures)
    assert all(value > 0 for name, value in figures.items() if name not in ("list_bytes", "list_peak_bytes"))
    assert figures["standstill_s"] <= figures["list_cpu_s"]


def test_listing_change_returns_a_positive_cpu_time() -> None:
    assert slope_cases.listing_change(50, times=8)["change_us"] > 0


def test_membership_of_a_prebuilt_fleet_costs_the_same_as_of_a_converged_one() -> None:
    """A steady state that is built and not reached by the protocol might not be a steady state."""
    converged = slope_cases.MeasuredFleet(12, 3, SwimConfig(200 * MS, 1000 * MS))
    converged.run(converged.now_us + 40 * SECOND)
    assert converged.is_converged()
    converged.clear()
    converged.run(converged.now_us + 5 * SECOND)
    prebuilt = slope_cases.membership(12, 200 * MS, 3)
    assert prebuilt["sent_per_s"] == pytest.approx(converged.sent_bytes / 12 / 5, rel=0.05)
    assert prebuilt["datagrams_per_s"] == pytest.approx(converged.datagrams / 12 / 5, rel=0.05)
    assert 0 < prebuilt["death_s"] < 10
    assert 0 < prebuilt["start_known_s"] < 5
    assert prebuilt["restart_bytes"] > 0


def test_watch_counts_every_byte_of_request_and_response() -> None:
    empty, three = slope_cases.watch(0, 10), slope_cases.watch(3, 10)
    entry = len(json.dumps(make_entry(0)))
    # Three more entries, two separators, and one digit of Content-Length.
    assert three["to_relay"] - empty["to_relay"] == pytest.approx(3 * entry + 2 * 2 + 1, abs=1)
    target = "/registry/instances?index=100&wait=2000"
    request = f"GET {target} HTTP/1.1\r\nHost: discovery\r\nContent-Length: 0\r\n\r\n"
    assert three["from_relay"] == pytest.approx(len(request), abs=2)
    assert three["watch_us"] > 0
    assert three["server_us"] > 0


def test_sockets_measures_one_relay_alone() -> None:
    figures = slope_cases.sockets(4, seconds=1.0)
    # One probe and one answer in each heartbeat of 200 ms; some are delayed on a busy machine.
    assert 0 < figures["sent_per_s"] < 20
    assert figures["heard_per_s"] > 0
    assert figures["relay_ms_per_s"] > 0


def test_slopes_command_prints_the_selected_slopes_as_json_on_the_last_line() -> None:
    command = [sys.executable, "-m", "benchmarks.slopes", "--quick", "--only", "listing_change", "miss_rate"]
    completed = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True, timeout=TEST_TIMEOUT_S
    )
    result = json.loads(completed.stdout.splitlines()[-1])
    assert set(result["slopes"]) == {"listing_change", "module_memory"}
    change = result["slopes"]["listing_change"]
    assert change["target"]["size"] == 870_000
    assert change["prediction_error"] >= 0
    assert len(result["miss_rate"]) == 25
    assert result["miss_rate"][0]["in_use"]["10"] > 1_000
