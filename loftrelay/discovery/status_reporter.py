"""Notices to the platform of how messages ended."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from loftrelay.discovery.http_client import Caller
from loftrelay.net.address import Address
from loftrelay.net.http import ConnectionBroken

log = logging.getLogger(__name__)

NOTICE_PATIENCE = 0.2  # a notice is answered at once, and due 0.3 s after its message's deadline
NOTICE_PAUSES = (0.02, 0.2)  # before a failed notice is sent again: at first, at most
MOST_NOTICES = 500  # in one call


class FinalStatusReporter:
    """Tells the platform how messages ended, until it has heard."""

    def __init__(self, address: Address, heard: Callable[[str], None]) -> None:
        self.caller = Caller(address)
        self.heard = heard
        self.waiting: dict[str, dict[str, Any]] = {}
        self.wanted = asyncio.Event()
        self.most = MOST_NOTICES
        self.task = asyncio.create_task(self._run())

    @property
    def pending(self) -> int:
        """Ends that are decided and not heard yet."""
        return len(self.waiting)

    def move_to(self, address: Address) -> None:
        """What the old address has not answered is told again at the new one."""
        self.close()
        self.caller = Caller(address)
        self.task = asyncio.create_task(self._run())

    def close(self) -> None:
        self.task.cancel()
        self.caller.close()

    def report(self, message: str, notice: dict[str, Any]) -> None:
        self.waiting[message] = {"id": message, **notice}
        self.wanted.set()

    async def _run(self) -> None:
        pause = NOTICE_PAUSES[0]
        while True:
            await self.wanted.wait()
            names = list(self.waiting)[: self.most]
            if await self._report(names):
                pause = NOTICE_PAUSES[0]
            else:
                await asyncio.sleep(pause)
                pause = min(2 * pause, NOTICE_PAUSES[1])
            if not self.waiting:
                self.wanted.clear()

    async def _report(self, names: list[str]) -> bool:
        body = "".join(json.dumps(self.waiting[n], separators=(",", ":")) + "\n" for n in names).encode()
        try:
            status = (await self.caller.ask("POST", "/reports", NOTICE_PATIENCE, body)).status
        except (OSError, ConnectionBroken) as error:
            log.warning("notices were not answered: %r", error)
            return False
        if status == 400 and len(names) > 1:
            self.most = 1  # find the line that can't be read
            return True
        self.most = MOST_NOTICES if status == 204 else self.most
        if status not in (204, 400):
            log.warning("notices were answered with %d", status)
            return False
        if status == 400:
            log.error("a notice can't be read: %s", self.waiting[names[0]])
        for name in names:
            del self.waiting[name]
            self.heard(name)
        return True
