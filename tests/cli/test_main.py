"""Selection of the command, and the rate limit of the log."""

from __future__ import annotations

import logging
import subprocess
import sys

import pytest

from loftrelay.cli import log
from loftrelay.cli.log import LogRateLimit
from loftrelay.cli.main import COMMAND_MODULES, main
from tests.standins.harness import ROOT


@pytest.mark.parametrize("command", sorted(COMMAND_MODULES))
def test_main_prints_help_of_command(command: str, capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main([command, "--help"])
    assert exit_info.value.code == 0
    assert capsys.readouterr().out.startswith(f"usage: python -m loftrelay {command} ")


def test_main_without_command_has_options_of_relay(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--help"])
    output = capsys.readouterr().out
    assert output.startswith("usage: python -m loftrelay [-h]")
    for option in ("--connections", "--record", "--fleet", "--subscription"):
        assert option in output


def test_main_with_unknown_command_exits_with_usage_error(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(["reboot"])
    assert exit_info.value.code == 2
    assert "reboot" in capsys.readouterr().err


def test_run_without_store_does_not_import_sqlite() -> None:
    code = "import sys, loftrelay.cli.run; print('sqlite3' in sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "False\n"


def test_log_rate_limit_drops_and_counts_lines_over_limit(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    now = [100.0]
    monkeypatch.setattr("loftrelay.cli.log.time.monotonic", lambda: now[0])
    rate_limit, record = LogRateLimit(), logging.makeLogRecord({})
    passed = sum(bool(rate_limit.filter(record)) for _ in range(log.MAX_LINES_PER_PERIOD + 3))
    assert passed == log.MAX_LINES_PER_PERIOD
    now[0] += log.PERIOD_S + 0.1
    assert rate_limit.filter(record)
    assert capsys.readouterr().err == f"log: 3 lines dropped, more than {log.MAX_LINES_PER_PERIOD} in 10 s\n"


def test_relay_loads_neither_ssl_nor_openssl_hashes() -> None:
    """They took 6 of the 32 MB that a relay may have."""
    code = (
        "import sys\n"
        "from loftrelay.cli.main import main\n"
        "try:\n    main(['--help'])\nexcept SystemExit:\n    pass\n"
        "import hashlib\n"
        "loaded = [name for name in ('ssl', '_ssl', '_hashlib') if sys.modules.get(name)]\n"
        "print(loaded, hashlib.sha256(b'').hexdigest()[:8], hashlib.blake2b(b'').hexdigest()[:8])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert completed.stdout.splitlines()[-1] == "[] e3b0c442 786a02f7"
