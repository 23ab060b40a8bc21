"""Tests that fail because of a real fault that is not fixed yet, listed in `KNOWN-RED.txt` at the root.

One line for each test, three at most: the test's id as pytest prints it (with its parameters), the cause and
the issue, separated by ` | `:

    tests/program/test_stalls.py::test_it[2] | event loop blocked at start | docs/ROADMAP.md, Stalls

Such a test runs like all others, but its failure doesn't fail the run. Each listed test is printed with its
outcome at the end of the run. Without the file nothing is listed.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

LIST_FILE = "KNOWN-RED.txt"
MAX_LISTED = 3
SEPARATOR = " | "
# pytest's names of the options that select a part of the suite: `-k`, `-m`, `--lf` and so on.
SELECTING_OPTIONS = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")

FAILED, PASSED, SKIPPED, NOT_RUN = "failed as known", "PASSED", "skipped", "not run"
FAILED_OUTSIDE = "FAILED outside the test"  # its worker died, for example: this fails the run
ADVICE = {PASSED: ": if its cause is fixed, remove its line"}


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list.

    Attributes:
        test: Id of the test.
        cause: Why it fails.
        issue: Where the fault is described.
    """

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownFailure]:
    """Parses the file's text; blank lines are ignored.

    Raises:
        ValueError: A line is malformed, a test is listed twice, or more than `MAX_LISTED` tests are listed.
    """
    known: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(SEPARATOR)]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"line {number} is not 'test{SEPARATOR}cause{SEPARATOR}issue': {line!r}")
        if parts[0] in {failure.test for failure in known}:
            raise ValueError(f"line {number} lists {parts[0]} a second time")
        known.append(KnownFailure(*parts))
    if len(known) > MAX_LISTED:
        raise ValueError(f"{len(known)} tests are listed: at most {MAX_LISTED} are allowed")
    return known


class KnownRed:
    """The pytest plugin that applies the list.

    Under xdist the workers collect and mark the tests, and the controller prints the outcomes.
    """

    def __init__(self, config: pytest.Config) -> None:
        """Reads the list.

        Raises:
            pytest.UsageError: The list is invalid; this ends the run.
        """
        path = config.rootpath / LIST_FILE
        try:
            listed = read_known_red(path.read_text(encoding="utf-8")) if path.exists() else []
        except ValueError as error:
            raise pytest.UsageError(f"{LIST_FILE}: {error}") from error
        self.config = config
        self.known = {failure.test: failure for failure in listed}
        self.outcomes = dict.fromkeys(self.known, NOT_RUN)
        self.collected: set[str] | None = None

    @property
    def unknown(self) -> list[str]:
        """Listed ids that are no test of the suite; empty if only a part of the suite was collected."""
        if self.collected is None or not collects_all(self.config):
            return []
        return [test for test in self.known if test not in self.collected]

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            if (failure := self.known.get(item.nodeid)) is not None:
                reason = f"{LIST_FILE}: {failure.cause} ({failure.issue})"
                # Not strict: with an intermittent fault a pass would fail the run. It is printed instead.
                item.add_marker(pytest.mark.xfail(reason=reason, strict=False))

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self.collected = {item.nodeid for item in session.items}

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        self.collected = (self.collected or set()) | set(ids)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid not in self.known or self.outcomes[report.nodeid] in (FAILED, FAILED_OUTSIDE):
            return
        if report.failed:
            self.outcomes[report.nodeid] = FAILED_OUTSIDE
        elif report.skipped and hasattr(report, "wasxfail"):
            self.outcomes[report.nodeid] = FAILED
        elif report.skipped:
            self.outcomes[report.nodeid] = SKIPPED
        elif report.when == "call":
            self.outcomes[report.nodeid] = PASSED

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED) and self.unknown:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if not self.known:
            return
        terminalreporter.section(f"tests that are known to fail ({LIST_FILE})")
        for test, failure in self.known.items():
            outcome = self.outcomes[test]
            terminalreporter.line(
                f"{outcome}{ADVICE.get(outcome, '')}: {test}: {failure.cause} ({failure.issue})"
            )
        for test in self.unknown:
            terminalreporter.line(
                f"ERROR: {LIST_FILE} lists {test}, and no such test was collected", red=True
            )


def collects_all(config: pytest.Config) -> bool:
    """Returns whether a run collects the whole suite: all of `testpaths`, without a selecting option."""
    directory = config.invocation_params.dir
    requested = {(directory / argument).resolve() for argument in config.args}
    suite = [Path(config.rootpath, path).resolve() for path in config.getini("testpaths")]
    covered = all(requested & {path, *path.parents} for path in suite)
    return covered and not any(config.getoption(option, None) for option in SELECTING_OPTIONS)
