"""The rule on lost messages, as the pages word it."""

from __future__ import annotations

import time
from collections.abc import Sequence

from standins2.clients import Submission
from standins2.journal import RecordFile
from standins2.platform import Discovery, Host

GRACE_S = 0.5  # after its time a message may still get its end
AFTER_READY_S = 1.5  # after a restart is ready no notice is overdue


def check_lost(
    record: RecordFile,
    taken: Sequence[Submission],
    hosts: Sequence[Host],
    discovery: Discovery,
    ready_at: float,
) -> None:
    """Checks that each message was delivered, or ended by a notice in its time.

    Args:
        record: Is told of each lost message.
        taken: The messages that were taken on.
        hosts: All hosts.
        discovery: Has the notices.
        ready_at: When the last restart was ready (Unix time); 0: none.
    """
    delivered = {message_id for host in hosts for message_id in host.runs}
    ended = 0
    for submission in taken:
        notice = discovery.notices.get(submission.message_id)
        until = max(submission.due_at + GRACE_S, ready_at + AFTER_READY_S)
        if submission.message_id in delivered or (notice is not None and notice.at <= until):
            ended += 1
        else:
            late = (
                f"its notice came {notice.at - submission.due_at:.2f} s after it"
                if notice
                else "no notice came"
            )
            record.breaks(
                f"lost: {submission}, its time was up {time.time() - submission.due_at:.1f} s ago, {late}"
            )
    record.write(f"{len(taken)} taken on, {ended} delivered or ended by a notice in time")
