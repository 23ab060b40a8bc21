"""Clients that submit messages over persistent connections, and an evaluation of what became of each message.

It uses external observations only: responses to clients, executions by hosts, reports to the platform.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from tests.standins.fake_host import FakeHost
from tests.standins.harness import SETTINGS, TEST_TIMEOUT_S, RelayHarness, format_submission, read_response

# A status report is in time until so long after the deadline: 300 ms, and 50 ms for the sockets.
REPORT_GRACE_S = 0.35
DEDUP_WINDOW_S = 1.0  # hosts drop repeats of an alarm for so long
CLASSES = [
    *SETTINGS["classes"],
    {
        "name": "alarm",
        "effect": "deduplicated",
        "key_scope": "all",
        "window": int(DEDUP_WINDOW_S * 1e6),
        "deadline": 24_000_000,
        "on_time": 3_000_000,
        "worth": 2,
    },
]


@dataclass
class Submission:
    """One message to submit."""

    message_id: str
    # "status" may be executed again, "alarm" only within its deduplication window, "order" never.
    class_name: str
    destination: int
    ordering_key: str | None = None
    timeout_s: float = 5.0


@dataclass
class SubmissionLog:
    """What clients observed.

    Attributes:
        admitted: Deadline (Unix time in seconds) of each message answered with 202.
        rejected: Ids of messages answered with another status.
        submissions: All messages by id, in order of submission.
    """

    admitted: dict[str, float] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    submissions: dict[str, Submission] = field(default_factory=dict)


@dataclass
class Findings:
    """Counts of one run.

    Attributes:
        messages: Admitted messages.
        effects: Executions at all hosts.
        duplicates: Executions beyond the first of orders, and of alarms after their deduplication window.
        misattributed: Messages held to be executed that were not, or declared not executed that were.
        late: Messages called, or reported, after their deadline and the grace.
        begun_late: Messages called after their deadline and the grace.
        order_breaks: Pairs of messages of one ordering key that were executed in the wrong order.
        notices: Messages reported to the platform.
    """

    messages: int
    effects: int
    duplicates: int
    misattributed: int
    late: int
    begun_late: int
    order_breaks: int
    notices: int


class Client:
    """A client with one persistent connection and one request at a time."""

    def __init__(self, harness: RelayHarness, log: SubmissionLog) -> None:
        self.harness, self.log = harness, log
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def submit(self, submission: Submission, body: bytes = b"hello") -> int:
        """Submits a message and logs the result; returns the status."""
        overrides = {"Request_Timeout_Ms": str(int(submission.timeout_s * 1000))}
        if submission.ordering_key is not None:
            overrides["path"] = f"/{submission.class_name}/{submission.ordering_key}"
        request = format_submission(
            submission.message_id, submission.class_name, submission.destination, body, **overrides
        )
        for is_last_try in (False, True):
            is_reused = self.stream is not None
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    reader, writer = self.stream or await asyncio.open_connection(*self.harness.address)
                    self.stream = reader, writer
                    sent = time.time()
                    writer.write(request)
                    start, headers, _ = await read_response(reader)
                break
            except (ConnectionError, asyncio.IncompleteReadError):
                self.close()  # the relay may just have closed the idle connection: one retry on a new one
                if is_last_try or not is_reused:
                    raise
        status = int(start.split()[1])
        if headers.get("connection") == "close":
            self.close()
        self.log.submissions[submission.message_id] = submission
        if status == 202:
            self.log.admitted[submission.message_id] = sent + submission.timeout_s
        else:
            self.log.rejected.add(submission.message_id)
        return status

    def close(self) -> None:
        """Closes the connection."""
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def submit_all(
    harness: RelayHarness, sequences: Sequence[Iterable[Submission]], log: SubmissionLog, pause_s: float = 0.0
) -> None:
    """Submits each sequence by its own client, one message after another, `pause_s` seconds apart."""

    async def submit_sequence(sequence: Iterable[Submission]) -> None:
        client = Client(harness, log)
        for submission in sequence:
            await client.submit(submission)
            if pause_s:
                await asyncio.sleep(pause_s)
        client.close()

    await asyncio.gather(*(submit_sequence(sequence) for sequence in sequences))


async def wait_until_final(harness: RelayHarness, hosts: Sequence[FakeHost], log: SubmissionLog) -> None:
    """Waits until each admitted message was answered or reported, or is past its deadline and grace."""
    while True:
        now = time.time()
        deadlines = [
            deadline + REPORT_GRACE_S
            for name, deadline in log.admitted.items()
            if name not in harness.reported_at and not any(host.responses[name] for host in hosts)
        ]
        pending = [deadline for deadline in deadlines if deadline > now]
        if not pending:
            return
        report_count = len(harness.status_reports)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                harness.wait_until(lambda n=report_count: len(harness.status_reports) > n),  # type: ignore[misc]
                0.1,
            )


def evaluate(
    harness: RelayHarness, hosts: Sequence[FakeHost], log: SubmissionLog, tolerance_s: float = 0.0
) -> Findings:
    """Evaluates a finished run. This process may have read calls late by up to `tolerance_s` seconds."""
    executions: dict[str, int] = {}
    called_at: dict[str, float] = {}
    clock_offset_s = time.time() - asyncio.get_running_loop().time()
    execution_order: list[tuple[float, str]] = []
    for host in hosts:
        for name, count in host.executions.items():
            executions[name] = executions.get(name, 0) + count
        execution_order += [(at, name) for name, at in host.first_executed_at.items()]
        for call in host.calls:
            for name in call.message_ids:
                called_at[name] = max(called_at.get(name, 0.0), call.received_at + clock_offset_s)
    deferred = {report["id"] for report in harness.status_reports if report["status"] == "deferred"}
    duplicates = misattributed = late = begun_late = 0
    for name, deadline in log.admitted.items():
        class_name, execution_count = log.submissions[name].class_name, executions.get(name, 0)
        if class_name == "alarm":
            execution_times = sorted(at for host in hosts for at in host.executed_at.get(name, ()))
            duplicates += sum(at > execution_times[0] + DEDUP_WINDOW_S for at in execution_times)
        if class_name == "order":
            duplicates += max(0, execution_count - 1)
            misattributed += execution_count > 0 and name in deferred
        misattributed += execution_count == 0 and name not in harness.reported_at
        begun_late += called_at.get(name, 0.0) > deadline + REPORT_GRACE_S + tolerance_s
        late += (
            called_at.get(name, 0.0) > deadline + REPORT_GRACE_S
            or harness.reported_at.get(name, 0.0) > deadline + REPORT_GRACE_S
        )
    misattributed += sum(executions.get(name, 0) > 0 for name in log.rejected)
    executed_by_key: dict[str, list[str]] = {}
    for _, name in sorted(execution_order):
        submission = log.submissions.get(name)
        if (
            submission is not None
            and submission.class_name == "order"
            and submission.ordering_key is not None
        ):
            executed_by_key.setdefault(submission.ordering_key, []).append(name)
    positions = {name: position for position, name in enumerate(log.submissions)}
    order_breaks = sum(
        positions[a] > positions[b]
        for names in executed_by_key.values()
        for a, b in itertools.pairwise(names)
    )
    return Findings(
        len(log.admitted),
        sum(executions.values()),
        duplicates,
        misattributed,
        late,
        begun_late,
        order_breaks,
        len(harness.reported_at),
    )
