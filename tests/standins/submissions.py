"""Clients that hand messages in over kept connections, and the account of what became of each message.

The account is made from outside: what clients were answered, what partners ran, what the platform was told.
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

REPORT_GRACE_S = (
    0.35  # seconds after a message's time in which its notice is in time: 300 ms, and 50 on sockets
)


DEDUP_WINDOW_S = 1.0  # seconds for which partners drop repeats of an alarm
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
    """One message to hand in."""

    message_id: str
    class_name: (
        str  # class: "status" may run again, "alarm" too for a while (repeats are dropped), "order" must not
    )
    destination: int
    ordering_key: str | None = None
    timeout_s: float = 5.0


@dataclass
class SubmissionLog:
    """What clients heard: 202s with the times by which those messages are to be over (Unix time)."""

    admitted: dict[str, float] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    submissions: dict[str, Submission] = field(default_factory=dict)


@dataclass
class Findings:
    messages: int
    effects: int
    duplicates: int  # effects beyond the first of messages that must not run twice, or not so late
    misattributed: int  # held to have run and did not, or promised not to have run and did
    late: int  # begun, or ended by a notice, after their time
    begun_late: int
    order_breaks: int
    notices: int


class Client:
    """One kept connection, one request at a time."""

    def __init__(self, harness: RelayHarness, log: SubmissionLog) -> None:
        self.harness, self.log = harness, log
        self.stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def submit(self, submission: Submission, body: bytes = b"hello") -> int:
        changes = {"Request_Timeout_Ms": str(int(submission.timeout_s * 1000))}
        if submission.ordering_key is not None:
            changes["path"] = f"/{submission.class_name}/{submission.ordering_key}"
        raw = format_submission(
            submission.message_id, submission.class_name, submission.destination, body, **changes
        )
        for last in (False, True):
            kept = self.stream is not None
            try:
                async with asyncio.timeout(TEST_TIMEOUT_S):
                    reader, writer = self.stream or await asyncio.open_connection(*self.harness.address)
                    self.stream = reader, writer
                    sent = time.time()
                    writer.write(raw)
                    start, headers, _ = await read_response(reader)
                break
            except (ConnectionError, asyncio.IncompleteReadError):
                self.close()  # the relay may close a kept connection just then: once more on a new one
                if last or not kept:
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
        if self.stream is not None:
            self.stream[1].close()
            self.stream = None


async def submit_all(
    harness: RelayHarness, sequences: Sequence[Iterable[Submission]], log: SubmissionLog, pause_s: float = 0.0
) -> None:
    """Each line of messages by a client of its own, one after another, `pause` seconds between two."""

    async def go(sequence: Iterable[Submission]) -> None:
        client = Client(harness, log)
        for submission in sequence:
            await client.submit(submission)
            if pause_s:
                await asyncio.sleep(pause_s)
        client.close()

    await asyncio.gather(*(go(sequence) for sequence in sequences))


async def wait_until_final(harness: RelayHarness, hosts: Sequence[FakeHost], log: SubmissionLog) -> None:
    """Until each message taken on has run or was told of, or its time and the grace are over."""
    while True:
        now = time.time()
        open_ = [
            ends + REPORT_GRACE_S
            for name, ends in log.admitted.items()
            if name not in harness.reported_at and not any(p.responses[name] for p in hosts)
        ]
        left = [ends for ends in open_ if ends > now]
        if not left:
            return
        heard = len(harness.status_reports)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(harness.wait_until(lambda n=heard: len(harness.status_reports) > n), 0.1)  # type: ignore[misc]


def evaluate(
    harness: RelayHarness, hosts: Sequence[FakeHost], log: SubmissionLog, tolerance_s: float = 0.0
) -> Findings:
    """To be called when all is over. `slack`: seconds by which this process may have read calls late."""
    effects: dict[str, int] = {}
    began: dict[str, float] = {}
    offset = time.time() - asyncio.get_running_loop().time()
    sequence: list[tuple[float, str]] = []
    for partner in hosts:
        for name, count in partner.executions.items():
            effects[name] = effects.get(name, 0) + count
        sequence += [(at, name) for name, at in partner.first_executed_at.items()]
        for call in partner.calls:
            for name in call.message_ids:
                began[name] = max(began.get(name, 0.0), call.received_at + offset)
    deferred = {notice["id"] for notice in harness.status_reports if notice["status"] == "deferred"}
    duplicates = misattributed = late = begun_late = 0
    for name, ends in log.admitted.items():
        of, ran = log.submissions[name].class_name, effects.get(name, 0)
        if of == "alarm":
            times = sorted(at for partner in hosts for at in partner.executed_at.get(name, ()))
            duplicates += sum(at > times[0] + DEDUP_WINDOW_S for at in times)
        if of == "order":
            duplicates += max(0, ran - 1)
            misattributed += ran > 0 and name in deferred
        misattributed += ran == 0 and name not in harness.reported_at
        begun_late += began.get(name, 0.0) > ends + REPORT_GRACE_S + tolerance_s
        late += (
            began.get(name, 0.0) > ends + REPORT_GRACE_S
            or harness.reported_at.get(name, 0.0) > ends + REPORT_GRACE_S
        )
    misattributed += sum(effects.get(name, 0) > 0 for name in log.rejected)
    keys: dict[str, list[str]] = {}
    for _, name in sorted(sequence):
        order = log.submissions.get(name)
        if order is not None and order.class_name == "order" and order.ordering_key is not None:
            keys.setdefault(order.ordering_key, []).append(name)
    places = {name: place for place, name in enumerate(log.submissions)}
    breaks = sum(places[a] > places[b] for names in keys.values() for a, b in itertools.pairwise(names))
    return Findings(
        len(log.admitted),
        sum(effects.values()),
        duplicates,
        misattributed,
        late,
        begun_late,
        breaks,
        len(harness.reported_at),
    )
