"""Reports the final status of messages to the platform."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from loftrelay.discovery.http_client import DiscoveryHttpClient
from loftrelay.net.address import Address
from loftrelay.net.response_parser import ConnectionBrokenError

log = logging.getLogger(__name__)

REPORTS_PATH = "/reports"
RESPONSE_TIMEOUT_S = 0.2  # reports are answered at once, and due 0.3 s after the message's deadline
RETRY_PAUSE_S = 0.02  # doubled with each failure, up to MAX_RETRY_PAUSE_S
MAX_RETRY_PAUSE_S = 0.2
MAX_REPORTS_PER_CALL = 500
ACCEPTED, MALFORMED = 204, 400


class FinalStatusReporter:
    """Sends each report until the platform accepts or rejects it."""

    def __init__(self, address: Address, on_reported: Callable[[str], None]) -> None:
        """Starts the task that sends reports.

        Args:
            address: Where the platform listens.
            on_reported: Called with the id of each message whose report is done with.
        """
        self.client = DiscoveryHttpClient(address)
        self.on_reported = on_reported
        self.reports: dict[str, dict[str, Any]] = {}
        self.has_reports = asyncio.Event()
        self.batch_size = MAX_REPORTS_PER_CALL
        self.task = asyncio.create_task(self._run())

    @property
    def pending(self) -> int:
        """Reports that are not done with."""
        return len(self.reports)

    def move_to(self, address: Address) -> None:
        """Continues at another address with all reports that are not done with."""
        self.close()
        self.client = DiscoveryHttpClient(address)
        self.task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stops sending and closes the connection."""
        self.task.cancel()
        self.client.close()

    def report(self, message: str, notice: dict[str, Any]) -> None:
        """Queues the report on one message. `notice`: the fields of its line besides the id."""
        self.reports[message] = {"id": message, **notice}
        self.has_reports.set()

    async def _run(self) -> None:
        pause = RETRY_PAUSE_S
        while True:
            await self.has_reports.wait()
            messages = list(self.reports)[: self.batch_size]
            if await self._send(messages):
                pause = RETRY_PAUSE_S
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, MAX_RETRY_PAUSE_S)
            if not self.reports:
                self.has_reports.clear()

    async def _send(self, messages: list[str]) -> bool:
        """Sends one batch. Returns whether the next may follow without a pause."""
        lines = [json.dumps(self.reports[message], separators=(",", ":")) + "\n" for message in messages]
        try:
            response = await self.client.request(
                "POST", REPORTS_PATH, RESPONSE_TIMEOUT_S, "".join(lines).encode()
            )
        except (OSError, ConnectionBrokenError) as error:
            log.warning("final-status reports were not answered: %r", error)
            return False
        return self._evaluate(messages, response.status)

    def _evaluate(self, messages: list[str], status: int) -> bool:
        if status == MALFORMED and len(messages) > 1:
            self.batch_size = 1  # to find the malformed report
            return True
        if status == ACCEPTED:
            self.batch_size = MAX_REPORTS_PER_CALL
        elif status == MALFORMED:
            log.error("final-status report rejected as malformed: %s", self.reports[messages[0]])
        else:
            log.warning("final-status reports were answered with %d", status)
            return False
        for message in messages:
            del self.reports[message]
            self.on_reported(message)
        return True
