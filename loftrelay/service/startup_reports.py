"""Reports of messages that end while a start waits for its store of record.

The journal is the only source: its final statuses are reported, and a message whose deadline passes fails.
No calls are made. Once the store is open, the recovery records these reports in it.
"""

from __future__ import annotations

import asyncio
import logging

from loftrelay.discovery.status_reporter import FinalStatusReporter
from loftrelay.journal.journal import Journal
from loftrelay.net.address import Address
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.message import Message
from loftrelay.relay.statuses import FAILED, STATUS_DELIVERED, as_reported, final_status_record, is_reported
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

US_PER_S = 1e6
MIN_STORE_WAIT_S = 1.0  # a store that opens sooner is consulted before anything is reported


class StartupReports:
    """Reports due final statuses until it is closed.

    Args:
        journal: Journal with the open messages.
        address: Address of the platform.
    """

    def __init__(self, journal: Journal, address: Address) -> None:
        self.journal = journal
        self.reporter = FinalStatusReporter(address, self._acknowledged)
        self.task = start_watched(self._run(), "reports while the relay waits for its store of record")

    def close(self) -> None:
        """Stops reporting. Reports that are not acknowledged are repeated by the recovery."""
        self.task.cancel()
        self.reporter.close()

    async def _run(self) -> None:
        await asyncio.sleep(MIN_STORE_WAIT_S)
        promised = [message for message in self.journal.messages.values() if not message.awaits_store]
        for message in sorted(promised, key=_due_at):
            await asyncio.sleep(max(0.0, (_due_at(message) - wall_clock()) / US_PER_S))
            self._report_if_open(message)

    def _report_if_open(self, message: Message) -> None:
        if message.final_status is None:
            log.info("message %s: its deadline has passed while the store is away; it has failed", message.id)
            self.journal.record_final_status(message.id, final_status_record(FAILED, 0))
        assert message.final_status is not None
        if message.final_status["status"] != STATUS_DELIVERED and not is_reported(message.final_status):
            self.reporter.report(message.id, message.final_status)

    def _acknowledged(self, message_id: str) -> None:
        final_status = self.journal.messages[message_id].final_status
        assert final_status is not None
        self.journal.record_final_status(message_id, as_reported(final_status))


def _due_at(message: Message) -> int:
    """Returns when a message is to be reported, in wall-clock microseconds; 0: it has its final status."""
    return message.deadline if message.final_status is None else 0
