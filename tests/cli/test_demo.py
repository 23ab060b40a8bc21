"""The command `demo`: a relay with peers on loopback, and the comparison of their accounts."""

from __future__ import annotations

import re
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from loftrelay.cli.demo import main, report
from loftrelay.demo.result import DemoResult
from loftrelay.store.state_machine import MessageRecord, StoredFinalStatus, apply
from tests.standins.harness import ROOT
from tests.store.test_sqlite import make_changes

TOTALS_LINE = re.compile(r"taken (\d+) delivered (\d+) refused (\d+) failed (\d+) duplicates (\d+)")


def run_demo(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "loftrelay", "demo", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)


@pytest.mark.parametrize("kill", [False, True])
def test_demo_prints_table_and_totals(tmp_path: Path, kill: bool) -> None:
    folder = tmp_path / "d"
    completed = run_demo("--folder", str(folder), "--messages", "150", *(["--kill"] if kill else []))
    assert completed.returncode == 0 and not completed.stderr, completed.stdout + completed.stderr
    lines = completed.stdout.splitlines()
    found = TOTALS_LINE.fullmatch(lines[-1])
    assert found is not None
    admitted, delivered, rejected, failed, duplicates = map(int, found.groups())
    assert admitted == 150
    assert duplicates == 0
    assert admitted == delivered + rejected + failed
    # An overloaded machine may deliver fewer, but then the demo prints the reason.
    assert delivered > 100 or "the store's disk was slow" in completed.stdout
    assert str(folder) in lines[0]
    rows = [line.split()[0] for line in lines if line.startswith(("order ", "status "))]
    assert rows == ["order", "status"]
    listed = subprocess.run(
        [sys.executable, "-m", "loftrelay", "record", "--settings", str(folder / "record.toml"), "list"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert len(listed.stdout.splitlines()) == 151


def test_report_with_slow_store_prints_the_reason(capsys: pytest.CaptureFixture[str]) -> None:
    warnings = ["the store of record is slow: a commit took 0.80 s"]
    assert report(DemoResult([make_record("a")], {"a"}, Counter("a"), {}, [], warnings, 3), sys.stdout) == 0
    lines = capsys.readouterr().out.splitlines()
    assert "a commit took 0.80 s" in lines[-2]
    assert "rejected 3 times" in lines[-2]
    assert TOTALS_LINE.fullmatch(lines[-1])
    report(DemoResult([make_record("a")], {"a"}, Counter("a"), {}, []), sys.stdout)
    assert "slow" not in capsys.readouterr().out


def test_demo_with_unusable_options_prints_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "there").write_text("")
    for arguments, reason in (
        (["--folder", str(tmp_path)], "is not empty"),
        (["--folder", str(tmp_path / "new"), "--messages", "0"], "--messages 0: must be at least 1"),
        (["--folder", str(tmp_path / "there" / "in")], "there"),
    ):
        assert main(arguments) == 2
        error = capsys.readouterr().err
        assert reason in error
        assert error.count("\n") == 1


def make_record(name: str, final_status: StoredFinalStatus = StoredFinalStatus.DELIVERED) -> MessageRecord:
    record: MessageRecord | None = None
    for change in make_changes(name, final_status=final_status):
        record = apply(record, change)
    assert record is not None
    return record


def test_disagreements_reports_each_difference() -> None:
    consistent = DemoResult([make_record("a")], {"a"}, Counter("a"), {}, [])
    assert consistent.disagreements() == []
    assert consistent.duplicates == 0
    assert replace(consistent, executions=Counter("aa")).duplicates == 1
    status = replace(
        consistent.entries[0], metadata=replace(consistent.entries[0].metadata, class_name="status")
    )
    # An idempotent message may run again.
    assert replace(consistent, entries=[status], executions=Counter("aa")).duplicates == 0
    for result, line in (
        (replace(consistent, admitted={"a", "b"}), "b: admitted, and not in the store"),
        (replace(consistent, executions=Counter("ab")), "b: executed, and not in the store"),
        (replace(consistent, executions=Counter()), "a: delivered, executed 0 times"),
        (
            replace(consistent, entries=[replace(make_record("a"), reported_at=None)]),
            "a: its final status is not reported",
        ),
        (
            replace(consistent, entries=[make_record("a", StoredFinalStatus.REJECTED)]),
            "a: refused, executed 1 times",
        ),
        (replace(consistent, store_faults=["corrupt"]), "corrupt"),
    ):
        assert result.disagreements() == [line]


def test_demo_prints_help() -> None:
    completed = run_demo("--help")
    assert completed.returncode == 0
    assert completed.stdout.startswith("usage: python -m loftrelay demo")
