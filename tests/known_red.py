"""Tests that fail for a real fault which is not mended yet: `KNOWN-RED.txt` at the repository's root.

One line each, three at most: the test's id as pytest prints it (with its parameters), the cause, and the
issue that tells more, parted by ` | `:

    tests/program/test_stalls.py::test_it[2] | a start does not watch its loop | docs/ROADMAP.md, Stalls

Such a test runs like all others, and its failure alone doesn't fail the run. Each is printed at the end of
the run with what became of it. No file means that nothing is listed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
SEPARATOR = " | "
# Options that leave a part of the suite out, by their names in pytest: `-k`, `-m`, `--lf` and so on.
NARROWING = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")

FAILED, PASSED, SKIPPED, NOT_RUN = "failed as known", "PASSED", "skipped", "not run"
BROKE = "FAILED, and not by its own doing"  # its worker died, say: that fails the run all the same
ADVICE = {PASSED: ": if its cause is mended, take its line out"}


@dataclass(frozen=True, slots=True)
class KnownFailure:
    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownFailure]:
    """What the file's text lists. Blank lines count for nothing. Raises ValueError."""
    known: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"line {number} is not 'test{SEPARATOR}cause{SEPARATOR}issue': {line!r}")
        if parts[0] in {failure.test for failure in known}:
            raise ValueError(f"line {number} lists {parts[0]} again")
        known.append(KnownFailure(*parts))
    if len(known) > MOST:
        raise ValueError(f"{len(known)} tests are listed: {MOST} at most may be")
    return known


class KnownRed:
    """The plugin that heeds the list. Under xdist the workers collect and mark the tests, and the process
    that leads them prints what became of them."""

    def __init__(self, config: pytest.Config) -> None:
        """Raises UsageError, which ends the run, where the list can't be read."""
        path = config.rootpath / FILE
        try:
            listed = read_known_red(path.read_text(encoding="utf-8")) if path.exists() else []
        except ValueError as error:
            raise pytest.UsageError(f"{FILE}: {error}") from error
        self.config = config
        self.known = {failure.test: failure for failure in listed}
        self.fate = dict.fromkeys(self.known, NOT_RUN)
        self.collected: set[str] | None = None

    @property
    def unknown(self) -> list[str]:
        """Listed, and no test of the suite. Empty where only a part of it was collected."""
        if self.collected is None or not collects_all(self.config):
            return []
        return [test for test in self.known if test not in self.collected]

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if (failure := self.known.get(item.nodeid)) is not None:
                reason = f"{FILE}: {failure.cause} ({failure.issue})"
                # Not strict: a fault that shows by chance would fail the run by staying away. It is printed.
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self.collected = {item.nodeid for item in session.items}

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        self.collected = (self.collected or set()) | set(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid not in self.known or self.fate[report.nodeid] in (FAILED, BROKE):
            return
        if report.failed:
            self.fate[report.nodeid] = BROKE
        elif report.skipped and hasattr(report, "wasxfail"):
            self.fate[report.nodeid] = FAILED
        elif report.skipped:
            self.fate[report.nodeid] = SKIPPED
        elif report.when == "call":
            self.fate[report.nodeid] = PASSED

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED) and self.unknown:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if not self.known:
            return
        terminalreporter.section(f"tests that are known to fail ({FILE})")
        for test, failure in self.known.items():
            fate = self.fate[test]
            terminalreporter.line(f"{fate}{ADVICE.get(fate, '')}: {test}: {failure.cause} ({failure.issue})")
        for test in self.unknown:
            terminalreporter.line(f"ERROR: {FILE} lists {test}, and no such test was collected", red=True)


def collects_all(config: pytest.Config) -> bool:
    """Whether a run collects the whole suite: all of `testpaths`, and no option leaves something out."""
    here = config.invocation_params.dir
    asked = {(here / argument).resolve() for argument in config.args}
    suite = [Path(config.rootpath, path).resolve() for path in config.getini("testpaths")]
    covered = all(asked & {path, *path.parents} for path in suite)
    return covered and not any(config.getoption(option, None) for option in NARROWING)
