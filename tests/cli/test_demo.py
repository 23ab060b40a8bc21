"""The command `demo`: a relay among peers on loopback, and what it compares."""

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
from tests.standins.platform import ROOT
from tests.store.test_sqlite import make_changes

LAST = re.compile(r"taken (\d+) delivered (\d+) refused (\d+) failed (\d+) duplicates (\d+)")


def demo(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "loftrelay", "demo", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)


@pytest.mark.parametrize("kill", [False, True])
def test_it_ends_with_the_table_and_the_line(tmp_path: Path, kill: bool) -> None:
    folder = tmp_path / "d"
    done = demo("--folder", str(folder), "--messages", "150", *(["--kill"] if kill else []))
    assert done.returncode == 0 and not done.stderr, done.stdout + done.stderr
    lines = done.stdout.splitlines()
    found = LAST.fullmatch(lines[-1])
    assert found is not None
    taken, delivered, refused, failed, duplicates = map(int, found.groups())
    assert taken == 150
    assert duplicates == 0
    assert taken == delivered + refused + failed
    # On a machine with no room left it may not be, but then the reason is told.
    assert delivered > 100 or "the store's disk was slow" in done.stdout
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


def test_a_store_that_is_slow_is_named_as_the_reason(capsys: pytest.CaptureFixture[str]) -> None:
    slow = ["the store of record is slow: a commit took 0.80 s"]
    assert report(DemoResult([entry("a")], {"a"}, Counter("a"), {}, [], slow, 3), sys.stdout) == 0
    said = capsys.readouterr().out.splitlines()
    assert "a commit took 0.80 s" in said[-2]
    assert "rejected 3 times" in said[-2]
    assert LAST.fullmatch(said[-1])
    report(DemoResult([entry("a")], {"a"}, Counter("a"), {}, []), sys.stdout)
    assert "slow" not in capsys.readouterr().out


def test_unusable_options_end_with_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "there").write_text("")
    for arguments, reason in (
        (["--folder", str(tmp_path)], "is not empty"),
        (["--folder", str(tmp_path / "new"), "--messages", "0"], "--messages 0: at least 1"),
        (["--folder", str(tmp_path / "there" / "in")], "there"),
    ):
        assert main(arguments) == 2
        error = capsys.readouterr().err
        assert reason in error
        assert error.count("\n") == 1


def entry(name: str, answer: StoredFinalStatus = StoredFinalStatus.DELIVERED) -> MessageRecord:
    found: MessageRecord | None = None
    for change in make_changes(name, final_status=answer):
        found = apply(found, change)
    assert found is not None
    return found


def test_each_disagreement_is_found() -> None:
    sound = DemoResult([entry("a")], {"a"}, Counter("a"), {}, [])
    assert sound.disagreements() == []
    assert sound.duplicates == 0
    assert replace(sound, executions=Counter("aa")).duplicates == 1
    status = replace(sound.entries[0], metadata=replace(sound.entries[0].metadata, class_name="status"))
    assert replace(sound, entries=[status], executions=Counter("aa")).duplicates == 0  # it may run again
    for result, line in (
        (replace(sound, admitted={"a", "b"}), "b: admitted, and not in the store"),
        (replace(sound, executions=Counter("ab")), "b: executed, and not in the store"),
        (replace(sound, executions=Counter()), "a: delivered, executed 0 times"),
        (
            replace(sound, entries=[replace(entry("a"), reported_at=None)]),
            "a: its final status is not reported",
        ),
        (replace(sound, entries=[entry("a", StoredFinalStatus.REJECTED)]), "a: refused, executed 1 times"),
        (replace(sound, store_faults=["torn"]), "torn"),
    ):
        assert result.disagreements() == [line]


def test_help() -> None:
    done = demo("--help")
    assert done.returncode == 0
    assert done.stdout.startswith("usage: python -m loftrelay demo")
