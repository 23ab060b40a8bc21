"""Which command a command line chooses, and the limit on log lines."""

from __future__ import annotations

import logging
import subprocess
import sys

import pytest

from loftrelay.cli import log
from loftrelay.cli.log import LogRateLimit
from loftrelay.cli.main import COMMANDS, main
from tests.standins.platform import ROOT


@pytest.mark.parametrize("command", sorted(COMMANDS))
def test_a_command_has_its_own_help(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main([command, "--help"])
    assert ended.value.code == 0
    assert capsys.readouterr().out.startswith(f"usage: python -m loftrelay {command} ")


def test_without_a_command_the_options_are_those_of_a_relay(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--help"])
    shown = capsys.readouterr().out
    assert shown.startswith("usage: python -m loftrelay [-h]")
    for option in ("--connections", "--record", "--fleet", "--subscription"):
        assert option in shown


def test_an_unknown_command_is_a_usage_error(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["reboot"])
    assert ended.value.code == 2
    assert "reboot" in capsys.readouterr().err


def test_a_relay_without_a_store_does_not_load_its_library() -> None:
    code = "import sys, loftrelay.cli.run; print('sqlite3' in sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "False\n"


def test_lines_beyond_the_limit_are_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    now = [100.0]
    monkeypatch.setattr("loftrelay.cli.log.time.monotonic", lambda: now[0])
    limit, record = LogRateLimit(), logging.makeLogRecord({})
    passed = sum(bool(limit.filter(record)) for _ in range(log.MAX_LINES + 3))
    assert passed == log.MAX_LINES
    now[0] += log.PERIOD_S + 0.1
    assert limit.filter(record)
    assert capsys.readouterr().err == "3 lines left out\n"
