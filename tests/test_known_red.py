"""Only tests listed in KNOWN-RED.txt may fail; they are printed, and the list has to be short and valid."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownFailure, read_known_red

TESTS_DIRECTORY = Path(__file__).parent
SUITE = """
import pytest

@pytest.fixture
def broken():
    raise OSError("the fixture")

@pytest.fixture
def breaks_later():
    yield
    raise OSError("afterwards")

def test_sound(): pass
def test_failing(): assert 1 == 2
def test_other(): assert 3 == 4
def test_in_setup(broken): pass
def test_in_teardown(breaks_later): pass
def test_skipped(): pytest.skip("not here")

@pytest.mark.parametrize("n", [1, 2])
def test_with_parameters(n): assert n == 1
"""
PASSING_AND_FAILING = "def test_sound(): pass\ndef test_failing(): assert 1 == 2\n"
IN_PROCESS, TWO_WORKERS = (), ("-n", "2", "--dist", "worksteal")


def format_line(test: str) -> str:
    return f"testing/test_it.py::{test} | a timer is late | issue 7\n"


def run_pytest(
    folder: Path, suite: str, listed: str | None, *options: str
) -> subprocess.CompletedProcess[str]:
    """Runs pytest with the project's conftest on a suite in `folder`, with its own list.

    Args:
        folder: Where the suite is written.
        suite: Source of the test module.
        listed: Contents of KNOWN-RED.txt; None for no file.
        options: Arguments of pytest.
    """
    (folder / "testing").mkdir()
    (folder / "testing" / "test_it.py").write_text(suite)
    shutil.copy(TESTS_DIRECTORY / "conftest.py", folder / "testing" / "conftest.py")
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = testing\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_XDIST")}
    env |= {"PYTHONPATH": str(TESTS_DIRECTORY.parent), "PYTHONDONTWRITEBYTECODE": "1", "COLUMNS": "200"}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:hypothesispytest"]
    return subprocess.run([*command, *options], cwd=folder, env=env, text=True, capture_output=True)


# Parsing of the list


def test_read_known_red_returns_test_cause_and_issue() -> None:
    known = read_known_red("tests/a.py::test_b[1-x y] | a loop, late | issue 7\n\n  t.py::c | d | e  \n")
    assert known == [
        KnownFailure("tests/a.py::test_b[1-x y]", "a loop, late", "issue 7"),
        KnownFailure("t.py::c", "d", "e"),
    ]


def test_read_known_red_of_empty_text_returns_nothing() -> None:
    assert read_known_red("") == read_known_red("\n \n") == []


def test_read_known_red_rejects_more_than_three_tests() -> None:
    lines = [f"t.py::test_{n} | cause | issue" for n in range(4)]
    assert len(read_known_red("\n".join(lines[:3]))) == 3
    with pytest.raises(ValueError, match="4 tests are listed: at most 3"):
        read_known_red("\n".join(lines))


@pytest.mark.parametrize(
    "text", ["t.py::a", "t.py::a | cause", "t.py::a | | issue", "t.py::a |  | issue", "t.py::a | b | c | d"]
)
def test_read_known_red_rejects_malformed_line(text: str) -> None:
    with pytest.raises(ValueError, match="line 2 is not"):
        read_known_red("t.py::x | cause | issue\n" + text)


def test_read_known_red_rejects_duplicate_test() -> None:
    with pytest.raises(ValueError, match=r"line 2 lists t\.py::a a second time"):
        read_known_red("t.py::a | b | c\nt.py::a | d | e")


# Runs of pytest


@pytest.mark.parametrize("workers", [IN_PROCESS, TWO_WORKERS], ids=["in-process", "two-workers"])
class TestRuns:
    def test_run_without_list_fails_on_failure(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        result = run_pytest(tmp_path, PASSING_AND_FAILING, None, *workers)
        assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout
        assert "1 failed, 1 passed" in result.stdout
        assert "KNOWN-RED" not in result.stdout

    def test_run_with_listed_failure_passes_and_prints_it(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        result = run_pytest(tmp_path, PASSING_AND_FAILING, format_line("test_failing"), *workers)
        assert result.returncode == pytest.ExitCode.OK, result.stdout
        assert "1 passed, 1 xfailed" in result.stdout
        printed = "failed as known: testing/test_it.py::test_failing: a timer is late (issue 7)"
        assert printed in result.stdout.splitlines()

    def test_run_fails_on_unlisted_failures_only(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        listed = (
            format_line("test_failing")
            + format_line("test_in_setup")
            + format_line("test_with_parameters[2]")
        )
        result = run_pytest(tmp_path, SUITE, listed, *workers)
        assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout
        failed = {row.split()[1] for row in result.stdout.splitlines() if row.startswith(("FAILED", "ERROR"))}
        assert failed == {"testing/test_it.py::test_other", "testing/test_it.py::test_in_teardown"}
        for test in ("test_failing", "test_in_setup", "test_with_parameters[2]"):
            assert f"failed as known: testing/test_it.py::{test}:" in result.stdout

    def test_run_with_listed_test_that_passes_prints_it(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        result = run_pytest(
            tmp_path, PASSING_AND_FAILING, format_line("test_failing") + format_line("test_sound"), *workers
        )
        assert result.returncode == pytest.ExitCode.OK, result.stdout
        assert (
            "PASSED: if its cause is fixed, remove its line: testing/test_it.py::test_sound:" in result.stdout
        )

    def test_run_with_listed_test_failing_in_teardown_passes(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        suite = SUITE.replace("def test_other(): assert 3 == 4", "").replace("n == 1", "n")
        listed = format_line("test_in_teardown") + format_line("test_in_setup") + format_line("test_failing")
        result = run_pytest(tmp_path, suite, listed, *workers)
        assert result.returncode == pytest.ExitCode.OK, result.stdout
        assert "failed as known: testing/test_it.py::test_in_teardown:" in result.stdout

    def test_run_with_unknown_listed_test_fails(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        result = run_pytest(
            tmp_path, PASSING_AND_FAILING, format_line("test_failing") + format_line("test_renamed"), *workers
        )
        assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout
        error = "ERROR: KNOWN-RED.txt lists testing/test_it.py::test_renamed, and no such test was collected"
        assert error in result.stdout.splitlines()

    @pytest.mark.parametrize(
        "selection",
        [
            ("-k", "sound"),
            ("testing/test_it.py::test_sound",),
            ("--deselect", "testing/test_it.py::test_failing"),
        ],
    )
    def test_run_of_selected_tests_prints_other_listed_tests_as_not_run(
        self, tmp_path: Path, workers: tuple[str, ...], selection: tuple[str, ...]
    ) -> None:
        result = run_pytest(tmp_path, PASSING_AND_FAILING, format_line("test_failing"), *workers, *selection)
        assert result.returncode == pytest.ExitCode.OK, result.stdout
        assert "not run: testing/test_it.py::test_failing:" in result.stdout

    @pytest.mark.parametrize("path", ["testing", "."])
    def test_run_of_whole_suite_by_path_checks_list(
        self, tmp_path: Path, workers: tuple[str, ...], path: str
    ) -> None:
        result = run_pytest(tmp_path, "def test_sound(): pass\n", format_line("test_renamed"), *workers, path)
        assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout

    def test_run_with_skipped_listed_test_prints_it(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        result = run_pytest(tmp_path, SUITE, format_line("test_skipped"), *workers, "-k", "skipped or sound")
        assert result.returncode == pytest.ExitCode.OK, result.stdout
        assert "skipped: testing/test_it.py::test_skipped:" in result.stdout

    def test_run_with_invalid_list_runs_no_test(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        listed = "".join(format_line(test) for test in ("test_failing", "test_a", "test_b", "test_c"))
        result = run_pytest(tmp_path, PASSING_AND_FAILING, listed, *workers)
        assert result.returncode == pytest.ExitCode.USAGE_ERROR, result.stdout
        assert "KNOWN-RED.txt: 4 tests are listed: at most 3 are allowed" in result.stderr
        assert "passed" not in result.stdout


def test_run_with_worker_dying_in_listed_test_fails(tmp_path: Path) -> None:
    suite = "import os\ndef test_sound(): pass\ndef test_failing(): os._exit(3)\n"
    result = run_pytest(tmp_path, suite, format_line("test_failing"), *TWO_WORKERS)
    assert result.returncode == pytest.ExitCode.TESTS_FAILED, result.stdout
    assert "FAILED outside the test: testing/test_it.py::test_failing:" in result.stdout
