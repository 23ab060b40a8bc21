"""What KNOWN-RED.txt lists may fail, and nothing else; it is printed, and the list stays short and true."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownFailure, read_known_red

HERE = Path(__file__).parent
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
SOUND = "def test_sound(): pass\ndef test_failing(): assert 1 == 2\n"
ALONE, TWO_WORKERS = (), ("-n", "2", "--dist", "worksteal")


def line(test: str) -> str:
    return f"testing/test_it.py::{test} | the wheel is loose | issue 7\n"


def play(folder: Path, suite: str, listed: str | None, *options: str) -> subprocess.CompletedProcess[str]:
    """Runs pytest with the project's own conftest over a suite in a folder, which has its own list."""
    (folder / "testing").mkdir()
    (folder / "testing" / "test_it.py").write_text(suite)
    shutil.copy(HERE / "conftest.py", folder / "testing" / "conftest.py")
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = testing\n")
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    env = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_XDIST")}
    env |= {"PYTHONPATH": str(HERE.parent), "PYTHONDONTWRITEBYTECODE": "1", "COLUMNS": "200"}
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:hypothesispytest"]
    return subprocess.run([*command, *options], cwd=folder, env=env, text=True, capture_output=True)


# The list itself


def test_each_line_tells_the_test_the_cause_and_the_issue() -> None:
    read = read_known_red("tests/a.py::test_b[1-x y] | a loop, late | issue 7\n\n  t.py::c | d | e  \n")
    assert read == [
        KnownFailure("tests/a.py::test_b[1-x y]", "a loop, late", "issue 7"),
        KnownFailure("t.py::c", "d", "e"),
    ]


def test_an_empty_list_lists_nothing() -> None:
    assert read_known_red("") == read_known_red("\n \n") == []


def test_three_may_be_listed_and_no_fourth() -> None:
    lines = [f"t.py::test_{n} | cause | issue" for n in range(4)]
    assert len(read_known_red("\n".join(lines[:3]))) == 3
    with pytest.raises(ValueError, match="4 tests are listed: 3 at most"):
        read_known_red("\n".join(lines))


@pytest.mark.parametrize(
    "text", ["t.py::a", "t.py::a | cause", "t.py::a | | issue", "t.py::a |  | issue", "t.py::a | b | c | d"]
)
def test_a_line_that_lacks_something_or_has_more_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="line 2 is not"):
        read_known_red("t.py::x | cause | issue\n" + text)


def test_a_test_that_is_listed_twice_is_an_error() -> None:
    with pytest.raises(ValueError, match=r"line 2 lists t\.py::a again"):
        read_known_red("t.py::a | b | c\nt.py::a | d | e")


# Runs


@pytest.mark.parametrize("workers", [ALONE, TWO_WORKERS], ids=["alone", "two workers"])
class TestRuns:
    def test_without_a_list_a_failure_fails_the_run(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        played = play(tmp_path, SOUND, None, *workers)
        assert played.returncode == pytest.ExitCode.TESTS_FAILED, played.stdout
        assert "1 failed, 1 passed" in played.stdout
        assert "KNOWN-RED" not in played.stdout

    def test_a_listed_failure_lets_the_run_pass_and_is_printed(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        played = play(tmp_path, SOUND, line("test_failing"), *workers)
        assert played.returncode == pytest.ExitCode.OK, played.stdout
        assert "1 passed, 1 xfailed" in played.stdout
        printed = "failed as known: testing/test_it.py::test_failing: the wheel is loose (issue 7)"
        assert printed in played.stdout.splitlines()

    def test_only_the_listed_may_fail(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        listed = line("test_failing") + line("test_in_setup") + line("test_with_parameters[2]")
        played = play(tmp_path, SUITE, listed, *workers)
        assert played.returncode == pytest.ExitCode.TESTS_FAILED, played.stdout
        failed = {row.split()[1] for row in played.stdout.splitlines() if row.startswith(("FAILED", "ERROR"))}
        assert failed == {"testing/test_it.py::test_other", "testing/test_it.py::test_in_teardown"}
        for test in ("test_failing", "test_in_setup", "test_with_parameters[2]"):
            assert f"failed as known: testing/test_it.py::{test}:" in played.stdout

    def test_a_pass_is_printed_and_does_not_fail_the_run(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        played = play(tmp_path, SOUND, line("test_failing") + line("test_sound"), *workers)
        assert played.returncode == pytest.ExitCode.OK, played.stdout
        assert (
            "PASSED: if its cause is mended, take its line out: testing/test_it.py::test_sound:"
            in played.stdout
        )

    def test_a_listed_test_that_breaks_after_its_end_has_failed(
        self, tmp_path: Path, workers: tuple[str, ...]
    ) -> None:
        suite = SUITE.replace("def test_other(): assert 3 == 4", "").replace("n == 1", "n")
        listed = line("test_in_teardown") + line("test_in_setup") + line("test_failing")
        played = play(tmp_path, suite, listed, *workers)
        assert played.returncode == pytest.ExitCode.OK, played.stdout
        assert "failed as known: testing/test_it.py::test_in_teardown:" in played.stdout

    def test_a_line_that_names_no_test_fails_the_run(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        played = play(tmp_path, SOUND, line("test_failing") + line("test_renamed"), *workers)
        assert played.returncode == pytest.ExitCode.TESTS_FAILED, played.stdout
        error = "ERROR: KNOWN-RED.txt lists testing/test_it.py::test_renamed, and no such test was collected"
        assert error in played.stdout.splitlines()

    @pytest.mark.parametrize(
        "part",
        [
            ("-k", "sound"),
            ("testing/test_it.py::test_sound",),
            ("--deselect", "testing/test_it.py::test_failing"),
        ],
    )
    def test_with_a_part_of_the_suite_the_rest_of_the_list_is_not_run(
        self, tmp_path: Path, workers: tuple[str, ...], part: tuple[str, ...]
    ) -> None:
        played = play(tmp_path, SOUND, line("test_failing"), *workers, *part)
        assert played.returncode == pytest.ExitCode.OK, played.stdout
        assert "not run: testing/test_it.py::test_failing:" in played.stdout

    @pytest.mark.parametrize("asked", ["testing", "."])
    def test_the_whole_suite_may_be_asked_for_by_its_path(
        self, tmp_path: Path, workers: tuple[str, ...], asked: str
    ) -> None:
        played = play(tmp_path, "def test_sound(): pass\n", line("test_renamed"), *workers, asked)
        assert played.returncode == pytest.ExitCode.TESTS_FAILED, played.stdout

    def test_a_skipped_test_is_printed_as_such(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        played = play(tmp_path, SUITE, line("test_skipped"), *workers, "-k", "skipped or sound")
        assert played.returncode == pytest.ExitCode.OK, played.stdout
        assert "skipped: testing/test_it.py::test_skipped:" in played.stdout

    def test_a_list_that_can_not_be_read_runs_nothing(self, tmp_path: Path, workers: tuple[str, ...]) -> None:
        listed = "".join(line(test) for test in ("test_failing", "test_a", "test_b", "test_c"))
        played = play(tmp_path, SOUND, listed, *workers)
        assert played.returncode == pytest.ExitCode.USAGE_ERROR, played.stdout
        assert "KNOWN-RED.txt: 4 tests are listed: 3 at most may be" in played.stderr
        assert "passed" not in played.stdout


def test_a_worker_that_dies_under_a_listed_test_fails_the_run(tmp_path: Path) -> None:
    suite = "import os\ndef test_sound(): pass\ndef test_failing(): os._exit(3)\n"
    played = play(tmp_path, suite, line("test_failing"), *TWO_WORKERS)
    assert played.returncode == pytest.ExitCode.TESTS_FAILED, played.stdout
    assert "FAILED, and not by its own doing: testing/test_it.py::test_failing:" in played.stdout
