"""The command `record` on a store that a relay may have written."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from loftrelay.cli.record import main, moment
from loftrelay.store.sqlite import SQLiteStore
from loftrelay.store.state_machine import StoredFinalStatus
from tests.standins.platform import ROOT
from tests.store.test_sqlite import make_changes

DAY = 86_400_000_000


@pytest.fixture
def path(tmp_path: Path) -> Path:
    store = SQLiteStore(tmp_path / "r.sqlite")
    begin = moment("2026-03-01T08:30:00")
    store.commit(make_changes("a", at=begin, tenant="acme"))
    store.commit(make_changes("b", at=begin + DAY, tenant="dijk", final_status=StoredFinalStatus.FAILED))
    store.commit(make_changes("c", at=begin + 2 * DAY, tenant="dijk", final_status=None))
    store.close()
    return tmp_path / "r.sqlite"


def said(path: Path, capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    status = main(["--store", str(path), *arguments])
    return status, capsys.readouterr().out


def test_list_is_a_table_of_what_is_asked_for(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    status, text = said(path, capsys, "list")
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
    for arguments, names in (
        (("--tenant", "dijk"), ["b", "c"]),
        (("--answer", "failed"), ["b"]),
        (("--unfinished",), ["c"]),
        (("--since", "2026-03-02", "--until", "2026-03-03"), ["b"]),
        (("--class", "order", "--limit", "1"), ["a"]),
    ):
        _, text = said(path, capsys, "list", *arguments)
        assert [line.split()[1] for line in text.splitlines()[1:]] == names
    assert said(path, capsys, "list", "--tenant", "nobody")[0] == 1


def test_export_gives_every_field_in_json_lines(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    status, text = said(path, capsys, "export", "--answer", "failed")
    (row,) = [json.loads(line) for line in text.splitlines()]
    assert status == 0
    assert row["message"] == "b"
    assert row["sha256"] == "ab" * 32
    assert (row["instance"], row["attempts"], row["answer"], row["key"]) == ("n1", 1, "failed", "k")
    assert row["taken_at"] < row["intended_at"] < row["answered_at"] < row["told_at"]


def test_show_and_verify(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    status, text = said(path, capsys, "show", "c")
    assert status == 0
    assert json.loads(text)["state"] == "out"
    assert said(path, capsys, "show", "nobody") == (1, "nobody: no record\n")
    assert said(path, capsys, "verify") == (0, "nothing is wrong\n")
    store = SQLiteStore(path)
    store.database.execute("UPDATE messages SET answer = NULL WHERE id = 'a'")
    store.close()
    status, text = said(path, capsys, "verify")
    assert status == 1
    assert text.startswith("a: state told, with answer None")


def test_a_store_that_can_not_be_read_is_said_in_one_line(tmp_path: Path) -> None:
    (tmp_path / "text").write_text("no database " * 100)
    for name, says in (("nowhere", "there is no such file"), ("text", "file is not a database")):
        done = subprocess.run(
            [sys.executable, "-m", "loftrelay", "record", "--store", str(tmp_path / name), "list"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 2
        assert says in done.stderr
        assert done.stderr.count("\n") == 1
    assert not (tmp_path / "nowhere").exists()


def test_help_on_every_command() -> None:
    commands = (("record",), *(("record", name) for name in ("list", "export", "show", "verify")))
    for arguments in commands:
        before = ["--store", "x"] if len(arguments) == 2 else []
        done = subprocess.run(
            [sys.executable, "-m", "loftrelay", arguments[0], *before, *arguments[1:], "--help"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert done.returncode == 0
        assert done.stdout.startswith("usage: python -m loftrelay record")
    with pytest.raises(SystemExit):
        main(["--store", "x", "list", "--since", "yesterday"])
