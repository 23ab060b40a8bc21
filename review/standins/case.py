"""Runs one case: its record, its temporary folder, its limit of time and its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from review.standins.client import Submission
from review.standins.host import Host
from review.standins.platform import Platform
from review.standins.record import Record
from review.standins.relay import Relay

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_RUN_S = 110.0
# PROTOCOL allows a notice 300 ms, and each limit 50 ms more on sockets; "Days at full size" allows 0.5 s.
# The longer of the two counts here.
GRACE_S = 0.55


class CaseError(Exception):
    """The case could not run, so that it tells nothing about the rule."""


@dataclass
class Case:
    """What a case works with.

    Attributes:
        record: The record of the run.
        folder: A temporary folder, removed at the end.
        has_trouble: Whether the disruption is to happen.
        relays: Relays that are ended with the case.
    """

    record: Record
    folder: Path
    has_trouble: bool
    relays: list[Relay] = field(default_factory=list)

    def add_relay(self, relay: Relay) -> Relay:
        """Has a relay ended with the case."""
        self.relays.append(relay)
        return relay


# Runs the case and returns one line for each break of the rule.
CaseMain = Callable[[Case], Awaitable[list[str]]]


def run_case(main: CaseMain, case_file: str) -> None:
    """Runs a case and ends this process with its exit status."""
    record = Record(Path(case_file).parent / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case: {'with' if has_trouble else 'without'} the disruption")
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="loftrelay-case-") as folder:
        case = Case(record, Path(folder), has_trouble)
        try:
            status = asyncio.run(_run(main, case))
        finally:
            for relay in case.relays:
                relay.kill()
    record.write(f"case: exit status {status}")
    record.close()
    sys.exit(status)


async def _run(main: CaseMain, case: Case) -> int:
    try:
        async with asyncio.timeout(MAX_RUN_S):
            breaks = await main(case)
    except Exception as error:  # noqa: BLE001 - whatever it is, it tells nothing about the rule
        case.record.write(f"case: could not run: {error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    for line in breaks:
        case.record.write(f"BROKEN: {line}")
    print("\n".join([*breaks[:20], f"{len(breaks)} breaks of the rule"]))
    return BROKEN if breaks else HELD


def lost_messages(submissions: list[Submission], hosts: list[Host], platform: Platform) -> list[str]:
    """Returns a line for each message that was taken on and got no end in time.

    A message ends when a host has written 200 for it, or when a report on it has come.
    """
    lines = []
    for submission in submissions:
        if not submission.is_taken:
            continue
        due = submission.sent_at + submission.timeout_s + GRACE_S
        ends = [host.answered[submission.id] for host in hosts if submission.id in host.answered]
        ends += [at for at, _ in platform.reports.get(submission.id, [])]
        if ends and min(ends) <= due:
            continue
        what = f"its end came {min(ends) - due:.1f} s after that" if ends else "it has no end"
        lines.append(
            f"{submission.id} ({submission.message_class}) was answered {submission.status} at "
            f"{submission.answered_at:.3f}, its end was due at {due:.3f}: {what}"
        )
    return lines


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Waits until a condition holds; returns whether it does."""
    until = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() >= until:
            return False
        await asyncio.sleep(0.02)
    return True
