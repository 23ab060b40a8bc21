"""The registry's watch on discovery: its answers go into the catalog as they come, a little in each turn.

What discovery has to tell counts as told 6 s after it had it and could be reached (PROTOCOL, "Figures"): a
watch that falls silent is given up after MOST_WAIT + PATIENCE, and asked anew within MOST_PAUSE + CONNECT.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
from collections.abc import Callable
from typing import Any

import h11

from loftrelay.net.address import Address
from loftrelay.registry.catalog import Catalog, Staged
from loftrelay.registry.listing import ListReader, read_entries
from loftrelay.registry.protocol import PATH

log = logging.getLogger(__name__)

MOST_WAIT = 2.0  # seconds for which discovery may hold a watch
PATIENCE = 2.2  # seconds for an answer's first byte beyond that, and for each next piece of it
CONNECT = 1.0  # seconds for a connection to come up
MOST_TIME = 120.0  # seconds for a whole list
LEAST_GAP = 0.05  # between calls: a watch that answers at once must not become a busy loop
LEAST_PAUSE, MOST_PAUSE = 0.1, 0.8  # after a call that failed, doubling, of which up to a half is left out
PIECE = 32 << 10  # bytes of a list that are read in one turn of the loop: about 200 rows
SLICE = 0.005  # seconds of changes that are put in force in one turn
SHOWN = 3  # rows of a list passed over that are shown


class Upstream:
    """`touch`: of each cell that changes, with the revision; `settled`: an answer is in force; told whether
    something changed and whether the list counts anew. `most`: bytes of one answer.
    """

    def __init__(
        self,
        address: Address,
        catalog: Catalog,
        touch: Callable[[int, int], None],
        settled: Callable[[bool, bool], None],
        most: int,
    ) -> None:
        self.address, self.catalog, self.most = address, catalog, most
        self.touch, self.settled = touch, settled
        self.heard_at: float | None = None  # the loop's seconds
        self.bytes_in = 0
        self.failures = 0  # in a row
        self._held = False  # the last call was answered: the next may wait until there is something new
        self._whole = True  # the whole list is to come
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def age(self) -> float:
        """Seconds since the last answer; there must have been one."""
        return asyncio.get_running_loop().time() - (self.heard_at or 0.0)

    def start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    def move(self, address: Address) -> None:
        """The whole list comes anew: the other address may count its revisions in its own way."""
        self.close()
        self.address, self._held, self._whole, self.failures = address, False, True, 0
        self.start()

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._hang_up()

    def _hang_up(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            asked = loop.time()
            try:
                await self._ask()
                if self.failures:
                    log.info("discovery answers again, revision %d", self.catalog.revision)
                self.failures, self._held = 0, True
                pause = max(0.0, asked + LEAST_GAP - loop.time())
            except (OSError, ValueError, h11.RemoteProtocolError, asyncio.IncompleteReadError) as error:
                pause = self._failed(f"{error or type(error).__name__}")
            except Exception:
                # A fault of the program: without a further call no relay would hear of a change again.
                log.exception("a fault of the program: the watch on discovery failed")
                pause = self._failed("a fault of the program")
            await asyncio.sleep(pause)

    def _failed(self, why: str) -> float:
        """Seconds until the next call. One line for each run of failures, not one for each call."""
        self._hang_up()
        self._held = False
        if not self.failures:
            log.warning("discovery at %s:%d: %s; asked again until it answers", *self.address, why)
        pause = min(MOST_PAUSE, LEAST_PAUSE * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return pause * random.uniform(0.5, 1.0)

    async def _ask(self) -> None:
        target, wait = PATH, 0.0
        if not self._whole:
            wait = MOST_WAIT if self._held else 0.0
            target += f"?index={self.catalog.revision}&wait={int(wait * 1000)}"
        first = not self.catalog.known
        if first:
            gc.disable()  # it looks at every row again and again: the loop would stand still for 100 ms
        try:
            async with asyncio.timeout(CONNECT + wait + MOST_TIME):
                staged, reader = await self._call(target, wait + PATIENCE)
        finally:
            if first:
                gc.enable()
        revision, complete = reader.end()
        self.heard_at = asyncio.get_running_loop().time()
        if not complete and (staged.first or revision < self.catalog.revision):
            self._whole = True  # discovery counts anew: what came are changes of a list that is not held
            return
        self._whole = False
        await self._settle(staged, revision, complete)

    async def _call(self, target: str, patience: float) -> tuple[Staged, ListReader]:
        if self._streams is not None and self._streams[0].at_eof():
            self._hang_up()
        if self._streams is None:
            async with asyncio.timeout(CONNECT):
                self._streams = await asyncio.open_connection(*self.address, limit=PIECE)
        source, sink = self._streams
        wire = h11.Connection(h11.CLIENT)
        head = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
        sink.write((wire.send(head) or b"") + (wire.send(h11.EndOfMessage()) or b""))
        staged, reader = Staged(self.catalog), ListReader()
        size, passed = 0, 0

        def passed_over(row: Any, why: ValueError) -> None:
            nonlocal passed
            passed += 1
            if passed <= SHOWN:
                log.warning("an entry of the list is passed over: %s in %.300r", why, row)

        while True:
            event = wire.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(patience):
                    data = await source.read(PIECE)
                self.bytes_in += len(data)
                wire.receive_data(data)
                patience = PATIENCE
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise ValueError(f"answers {event.status_code}")
                size = int(dict(event.headers).get(b"content-length", b"0"))
                self._bound(size)
                size = 0
            elif isinstance(event, h11.Data):
                size += len(event.data)
                self._bound(size)
                staged.take(read_entries(reader.feed(bytes(event.data)), passed_over))
                await asyncio.sleep(0)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("the connection ended")
        if passed > SHOWN:
            log.warning("%d entries of the list are passed over in all", passed)
        if wire.their_state is not h11.DONE or wire.trailing_data[0]:
            self._hang_up()
        return staged, reader

    def _bound(self, size: int) -> None:
        if size > self.most:
            raise ValueError(
                f"an answer of {size >> 20} MB is over most_list_mb = {self.most >> 20}, "
                "nothing of it is taken and what is held stays"
            )

    async def _settle(self, staged: Staged, revision: int, complete: bool) -> None:
        loop = asyncio.get_running_loop()
        catalog = self.catalog
        first, anew = staged.first, revision < catalog.revision
        if anew:
            log.warning("discovery counts anew: revision %d after %d", revision, catalog.revision)
        elif not first and revision == catalog.revision and staged.changed:
            log.warning("discovery tells changes under revision %d, which it told before", revision)
        number = catalog.revision + 1 if anew else revision
        changed, since = False, loop.time()
        steps = catalog.settle(staged, revision, complete)
        try:
            for cell in steps:
                changed = True
                self.touch(cell, number)
                if loop.time() - since > SLICE:
                    await asyncio.sleep(0)
                    since = loop.time()
        finally:
            for cell in steps:  # also when this is cancelled: half a list must not stay
                changed = True
                self.touch(cell, number)
            if first:
                gc.freeze()  # the collector looks at these rows no more
                log.info("the list of discovery: %d hosts, revision %d", catalog.hosts, revision)
            self.settled(changed or first, anew)
