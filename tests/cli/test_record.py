"""The command `record` on an SQLite store."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from loftrelay.cli.record import main, parse_time
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import StoredFinalStatus
from tests.standins.harness import ROOT
from tests.store.test_sqlite import make_changes

DAY_US = 86_400_000_000


@pytest.fixture
def path(tmp_path: Path) -> Path:
    store = SQLiteStore(tmp_path / "r.sqlite")
    first_admission = parse_time("2026-03-01T08:30:00")
    store.commit(make_changes("a", at=first_admission, tenant="acme"))
    store.commit(
        make_changes("b", at=first_admission + DAY_US, tenant="dijk", final_status=StoredFinalStatus.FAILED)
    )
    store.commit(make_changes("c", at=first_admission + 2 * DAY_US, tenant="dijk", final_status=None))
    store.close()
    return tmp_path / "r.sqlite"


def run_record(path: Path, capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    status = main(["--store", str(path), *arguments])
    return status, capsys.readouterr().out


def test_list_prints_table_of_matching_records(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    status, text = run_record(path, capsys, "list")
    lines = text.splitlines()
    assert status == 0
    assert len(lines) == 4
    assert lines[1].split()[:8] == [
        "2026-03-01T08:30:00.000Z",
        "a",
        "order",
        "acme",
        "1",
        "told",
        "delivered",
        "1",
    ]
    for arguments, ids in (
        (("--tenant", "dijk"), ["b", "c"]),
        (("--answer", "failed"), ["b"]),
        (("--unfinished",), ["c"]),
        (("--since", "2026-03-02", "--until", "2026-03-03"), ["b"]),
        (("--class", "order", "--limit", "1"), ["a"]),
    ):
        _, text = run_record(path, capsys, "list", *arguments)
        assert [line.split()[1] for line in text.splitlines()[1:]] == ids
    assert run_record(path, capsys, "list", "--tenant", "nobody")[0] == 1


def test_export_prints_all_fields_as_json_lines(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    status, text = run_record(path, capsys, "export", "--answer", "failed")
    (row,) = [json.loads(line) for line in text.splitlines()]
    assert status == 0
    assert row["message"] == "b"
    assert row["sha256"] == "ab" * 32
    assert (row["instance"], row["attempts"], row["answer"], row["key"]) == ("n1", 1, "failed", "k")
    assert row["taken_at"] < row["intended_at"] < row["answered_at"] < row["told_at"]


def test_show_prints_record_and_verify_inconsistencies(
    path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    status, text = run_record(path, capsys, "show", "c")
    assert status == 0
    assert json.loads(text)["state"] == "out"
    assert run_record(path, capsys, "show", "nobody") == (1, "nobody: no record\n")
    assert run_record(path, capsys, "verify") == (0, "no inconsistencies found\n")
    store = SQLiteStore(path)
    store.database.execute("UPDATE messages SET answer = NULL WHERE id = 'a'")
    store.close()
    status, text = run_record(path, capsys, "verify")
    assert status == 1
    assert text.startswith("a: state told, with answer None")


def test_record_of_unreadable_store_prints_one_line(tmp_path: Path) -> None:
    (tmp_path / "text").write_text("no database " * 100)
    for name, problem in (("nowhere", "no such file"), ("text", "file is not a database")):
        completed = subprocess.run(
            [sys.executable, "-m", "loftrelay", "record", "--store", str(tmp_path / name), "list"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert completed.returncode == 2
        assert problem in completed.stderr
        assert completed.stderr.count("\n") == 1
    assert not (tmp_path / "nowhere").exists()


def test_record_prints_help_of_every_command() -> None:
    commands = (("record",), *(("record", name) for name in ("list", "export", "show", "verify")))
    for arguments in commands:
        before = ["--store", "x"] if len(arguments) == 2 else []
        completed = subprocess.run(
            [sys.executable, "-m", "loftrelay", arguments[0], *before, *arguments[1:], "--help"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert completed.returncode == 0
        assert completed.stdout.startswith("usage: python -m loftrelay record")
    with pytest.raises(SystemExit):
        main(["--store", "x", "list", "--since", "yesterday"])
