"""Schedulers of earlier commits run beside the current one, with their own types."""

from __future__ import annotations

from pathlib import Path

from benchmarks.earlier_decisions import load_earlier_decisions
from benchmarks.fleetmodel import FleetCase, FleetModel
from benchmarks.manyrelays import BEFORE
from loftrelay.decisions.events import AttemptStatus

LAST_MULLEINLEAD_COMMIT = "32c0038"  # the last commit before the package got its present names
CASE = FleetCase(relays=3, limit=6.0, seconds=12.0, retry_after_us=300_000, outage=(4.0, 6.0), seed=2)


def test_scheduler_of_last_commit_before_renames_decides_like_current_one(tmp_path: Path) -> None:
    make_scheduler = load_earlier_decisions(tmp_path, LAST_MULLEINLEAD_COMMIT)
    assert make_scheduler is not None, "needs the git history"
    earlier, current = FleetModel(CASE, make_scheduler).run(), FleetModel(CASE).run()
    assert earlier.calls == current.calls
    assert earlier.delivered_at == current.delivered_at
    assert earlier.failed_at == current.failed_at
    assert current.count_calls(AttemptStatus.OK) > 20


def test_schedulers_of_two_earlier_commits_can_be_loaded_in_turn(tmp_path: Path) -> None:
    first = load_earlier_decisions(tmp_path / "a", LAST_MULLEINLEAD_COMMIT)
    second = load_earlier_decisions(tmp_path / "b", BEFORE)
    assert first is not None, "needs the git history"
    assert second is not None, "needs the git history"
    assert FleetModel(CASE, first).run().calls != FleetModel(CASE, second).run().calls
