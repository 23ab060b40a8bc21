"""Reports final statuses of messages to the platform."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from loftrelay.discovery.http_client import DiscoveryHttpClient
from loftrelay.net.address import Address
from loftrelay.net.response_parser import ConnectionBrokenError
from loftrelay.tasks.supervision import start_supervised

log = logging.getLogger(__name__)

REPORTS_PATH = "/reports"
RESPONSE_TIMEOUT_S = 0.2  # the platform responds at once; a report is due 0.3 s after the message's deadline
RETRY_PAUSE_S = 0.02  # doubled with each failure, up to MAX_RETRY_PAUSE_S
MAX_RETRY_PAUSE_S = 0.2
MAX_REPORTS_PER_CALL = 500
ACCEPTED, MALFORMED = 204, 400
TASK_NAME = "reporting of final statuses"


class FinalStatusReporter:
    """Sends each report repeatedly until the platform accepts it or rejects it as malformed."""

    def __init__(self, address: Address, on_reported: Callable[[str], None]) -> None:
        """Starts the task that sends reports.

        Args:
            address: Address of the platform.
            on_reported: Called with the id of each message whose report was accepted or rejected.
        """
        self.client = DiscoveryHttpClient(address)
        self.on_reported = on_reported
        self.reports: dict[str, dict[str, Any]] = {}
        self.has_reports = asyncio.Event()
        self.batch_size = MAX_REPORTS_PER_CALL
        self.task = start_supervised(self._run, TASK_NAME)

    @property
    def pending(self) -> int:
        """Number of reports that were neither accepted nor rejected yet."""
        return len(self.reports)

    def move_to(self, address: Address) -> None:
        """Sends all pending and further reports to another address."""
        self.close()
        self.client = DiscoveryHttpClient(address)
        self.task = start_supervised(self._run, TASK_NAME)

    def close(self) -> None:
        """Stops sending and closes the connection."""
        self.task.cancel()
        self.client.close()

    def report(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Queues the report of one message. `final_status`: fields of the report besides the id."""
        self.reports[message_id] = {"id": message_id, **final_status}
        self.has_reports.set()

    async def _run(self) -> None:
        pause = RETRY_PAUSE_S
        while True:
            await self.has_reports.wait()
            message_ids = list(self.reports)[: self.batch_size]
            if await self._send(message_ids):
                pause = RETRY_PAUSE_S
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
            if not self.reports:
                self.has_reports.clear()

    async def _send(self, message_ids: list[str]) -> bool:
        """Sends one batch. Returns whether the next may be sent without a pause."""
        reports = [self.reports[message_id] for message_id in message_ids]
        lines = [json.dumps(report, separators=(",", ":")) + "\n" for report in reports]
        try:
            response = await self.client.request(
                "POST", REPORTS_PATH, RESPONSE_TIMEOUT_S, "".join(lines).encode()
            )
        except (OSError, ConnectionBrokenError) as error:
            log.warning("final-status reports: no response, retrying: %r", error)
            return False
        return self._handle_status(message_ids, response.status)

    def _handle_status(self, message_ids: list[str], status: int) -> bool:
        if status == MALFORMED and len(message_ids) > 1:
            self.batch_size = 1  # single reports identify the malformed one
            return True
        if status == ACCEPTED:
            self.batch_size = MAX_REPORTS_PER_CALL
        elif status == MALFORMED:
            log.error(
                "final-status report dropped, the platform rejected it as malformed: %s",
                self.reports[message_ids[0]],
            )
        else:
            log.warning("final-status reports: unexpected status %d, retrying", status)
            return False
        for message_id in message_ids:
            del self.reports[message_id]
            self.on_reported(message_id)
        return True
