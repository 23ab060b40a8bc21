"""The list of hosts, and the watch on it."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping
from typing import Any

from loftrelay.membership.caller import Caller
from loftrelay.net.address import Address, parse_address
from loftrelay.net.http import ConnectionBroken
from mulleinlead.interface import Entry, Form, Listing, State

log = logging.getLogger(__name__)

NO_ASK_EVERY = 10_000_000
# A change counts as told 6 s after discovery had it and could be reached, whatever became of calls to it. So
# a watch that falls silent as it is opened, with the change right after, is given up after MOST_WAIT +
# PATIENCE, and the module asks anew within 2 s (brain.py, MOST_ASK_WAIT).
MOST_WAIT = 2.0  # seconds for which discovery may hold a watch; less where the settings ask for more
PATIENCE = 2.2  # seconds for an answer beyond that wait: discovery turns away what waited for 2 s
CONNECT = 1.0  # seconds for a connection to come up
LEAST_GAP = 0.05  # between calls: a watch that answers at once must not become a busy loop
STATES = {"Ready": State.LISTED, "Terminating": State.DRAINING, "Gone": State.GONE}


def read_list(told: Any) -> tuple[int, bool, list[tuple[Entry, Address]]]:
    """Revision, whether the list is whole, and its entries. Raises ValueError when it can't be read."""
    if not isinstance(told, Mapping) or not isinstance(told.get("members"), list):
        raise ValueError("the list has no members")
    if not isinstance(told.get("revision"), int) or not isinstance(told.get("complete"), bool):
        raise ValueError("the list has no revision, or does not say whether it is complete")
    entries = []
    for row in told["members"]:
        try:
            size, identity, cell = row.get("size"), row["id"], row["cell"]
            if not isinstance(identity, str) or not isinstance(cell, int):
                raise ValueError(f"id = {identity!r}, cell = {cell!r}: one is of the wrong type")
            entry = Entry(
                identity, cell, STATES[row["phase"]], row.get("locality"), row.get("flavor"),
                float(size) if isinstance(size, int | float) else None,
            )  # fmt: skip
            entries.append((entry, parse_address(row["host_port"])))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("an entry of the list is passed over: %r in %.300r", error, row)
    return told["revision"], told["complete"], entries


class Discovery:
    def __init__(
        self,
        address: Address,
        ask_every: int | None,
        tell: Callable[[Listing, Mapping[str, Address]], None],
    ) -> None:
        self.wait = min(MOST_WAIT, (ask_every or NO_ASK_EVERY) / 2e6)
        self.address = address
        self.caller = Caller(address)
        self.tell = tell
        self.revision: int | None = None
        self.asked = False  # the last call was answered: the next may be held until there is something new
        self.task: asyncio.Task[None] | None = None

    def take_known(self, known: Mapping[str, Any]) -> None:
        """The list as this relay last had it."""
        try:
            revision, _, entries = read_list(known)
        except ValueError as error:
            if known:
                log.warning("the known list is passed over: %s", error)
            self.tell(Listing(Form.CACHED, ()), {})
            return
        self.revision = revision
        self._tell(Form.CACHED, entries)

    def watch(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._watch())

    def move(self, address: Address) -> None:
        """The whole list comes anew: the other address may count its revisions in its own way."""
        self.close()
        self.address, self.caller, self.revision, self.task = address, Caller(address), None, None
        self.asked = False
        self.watch()

    def pause(self) -> None:
        """Until the next `watch`, which goes on from the same revision."""
        self.close()
        self.task, self.caller, self.asked = None, Caller(self.address), False

    def resume(self, revision: int | None) -> None:
        """Goes on where another process stopped."""
        self.revision = revision
        self.watch()

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.caller.close()

    def _tell(self, form: Form, entries: list[tuple[Entry, Address]]) -> None:
        self.tell(Listing(form, tuple(e for e, _ in entries)), {e.endpoint: a for e, a in entries})

    async def _watch(self) -> None:
        """Goes on until a call fails; then the module says when to ask again. The first call after a failure
        is not held: what was missed is answered at once."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                asked = loop.time()
                target, wait = "/registry/instances", 0.0
                if self.revision is not None:
                    wait = self.wait if self.asked else 0.0
                    target += f"?index={self.revision}&wait={int(wait * 1000)}"
                answer = await self.caller.ask("GET", target, wait + PATIENCE, connect=CONNECT)
                if answer.status != 200:
                    raise ValueError(f"discovery answers {answer.status}")
                self.revision, complete, entries = read_list(json.loads(answer.body))
                self.asked = True
                self._tell(Form.FULL if complete else Form.CHANGES, entries)
                await asyncio.sleep(max(0.0, asked + LEAST_GAP - loop.time()))
        except (OSError, ConnectionBroken, ValueError, RecursionError) as error:
            log.warning("the watch failed: %r", error)
        except Exception:
            # A fault of the program: without a further call the relay would never hear of a drain again.
            log.exception("the watch failed")
        self.asked = False
        self.tell(Listing(Form.FAILED, ()), {})
