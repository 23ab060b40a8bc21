"""The decision module of an earlier commit runs beside today's, with its own types."""

from __future__ import annotations

from pathlib import Path

from benchmarks.earlier_decisions import load_earlier_decisions
from benchmarks.fleetmodel import Case, Fleet
from benchmarks.manyrelays import BEFORE
from loftrelay.decisions.events import AttemptStatus

LAST_OF_ITS_NAME = "32c0038"  # the last commit before the module got its present names
CASE = Case(relays=3, limit=6.0, seconds=12.0, wait=300_000, outage=(4.0, 6.0), seed=2)


def test_the_last_module_before_the_renames_decides_as_today_does(tmp_path: Path) -> None:
    make = load_earlier_decisions(tmp_path, LAST_OF_ITS_NAME)
    assert make is not None, "needs the git history"
    earlier, now = Fleet(CASE, make).run(), Fleet(CASE).run()
    assert earlier.calls == now.calls
    assert earlier.delivered == now.delivered
    assert earlier.ended == now.ended
    assert now.count(AttemptStatus.OK) > 20


def test_two_earlier_commits_can_be_loaded_one_after_the_other(tmp_path: Path) -> None:
    first = load_earlier_decisions(tmp_path / "a", LAST_OF_ITS_NAME)
    second = load_earlier_decisions(tmp_path / "b", BEFORE)
    assert first is not None, "needs the git history"
    assert second is not None, "needs the git history"
    assert Fleet(CASE, first).run().calls != Fleet(CASE, second).run().calls
