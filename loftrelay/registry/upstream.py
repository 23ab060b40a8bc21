"""A registry's watch on discovery: stages responses as they arrive, and commits them in short turns.

The platform considers a change received 6 s after discovery has it and is reachable (PROTOCOL, "Figures"): a
watch without a response times out after MAX_WATCH_WAIT_S + RESPONSE_TIMEOUT_S, and is repeated within
MAX_RETRY_PAUSE_S + CONNECT_TIMEOUT_S.
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
from loftrelay.registry.catalog import Catalog, StagedList
from loftrelay.registry.listing import ListParser, decode_entries
from loftrelay.registry.protocol import LIST_PATH
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

MAX_WATCH_WAIT_S = 2.0  # for which discovery may delay its response to a watch
RESPONSE_TIMEOUT_S = 2.2  # beyond that wait for the first byte, and for each further read
CONNECT_TIMEOUT_S = 1.0
LIST_TIMEOUT_S = 120.0  # for a whole response
MIN_CALL_INTERVAL_S = 0.05  # avoids a busy loop when watches are answered at once
MIN_RETRY_PAUSE_S = 0.1  # doubled with each failure, then reduced by up to a half at random
MAX_RETRY_PAUSE_S = 0.8
READ_BYTES = 32 << 10  # read in one turn of the event loop: about 200 rows
MAX_TURN_S = 0.005  # for committing changes in one turn of the event loop
MAX_LOGGED_ENTRIES = 3  # malformed entries of one list that are logged in full


class UnexpectedStatusError(ValueError):
    """Discovery responded with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"responded with status {status}, expected 200")
        self.status = status


class ListTooLongError(ValueError):
    """A response of discovery exceeds the operator's limit `most_list_mb`."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(
            f"response of {size >> 20} MB rejected, the limit is most_list_mb = {limit >> 20}; "
            "keeping the current list"
        )
        self.size, self.limit = size, limit


class ResponseReader:
    """Reads one response into a staged list.

    Attributes:
        staged: Entries received so far.
        parser: Parser of the list; its `finish` returns the revision.
    """

    def __init__(self, catalog: Catalog, max_list_bytes: int) -> None:
        self.staged = StagedList(catalog)
        self.parser = ListParser()
        self.max_list_bytes = max_list_bytes
        self.size = 0
        self.malformed_count = 0

    def begin(self, response: h11.Response) -> None:
        """Checks the head of a response.

        Raises:
            UnexpectedStatusError: The status is not 200.
            ListTooLongError: Content-Length exceeds the limit.
        """
        if response.status_code != 200:
            raise UnexpectedStatusError(response.status_code)
        self._check_size(int(dict(response.headers).get(b"content-length", b"0")))

    def add(self, data: bytes) -> None:
        """Parses further bytes and stages the entries that they complete.

        Raises:
            ValueError: The body is not a list, or too long (ListTooLongError).
        """
        self.size += len(data)
        self._check_size(self.size)
        self.staged.add(decode_entries(self.parser.feed(data), self._log_malformed))

    def finish(self) -> None:
        """Logs the number of malformed entries if not all of them were logged."""
        if self.malformed_count > MAX_LOGGED_ENTRIES:
            log.warning("discovery: %d malformed list entries skipped in total", self.malformed_count)

    def _check_size(self, size: int) -> None:
        if size > self.max_list_bytes:
            raise ListTooLongError(size, self.max_list_bytes)

    def _log_malformed(self, row: Any, reason: ValueError) -> None:
        self.malformed_count += 1
        if self.malformed_count <= MAX_LOGGED_ENTRIES:
            log.warning("discovery: malformed list entry skipped: %s in %.300r", reason, row)


class Upstream:
    """Long-polls discovery's list and commits it to the catalog.

    Attributes:
        address: Address of discovery.
        catalog: The current list.
        last_response_at: Event loop time of discovery's last response.
        bytes_in: Number of bytes received.
        failures: Number of consecutive failed calls.
    """

    def __init__(
        self,
        address: Address,
        catalog: Catalog,
        on_destination_changed: Callable[[int, int], None],
        on_committed: Callable[[bool, bool], None],
        max_list_bytes: int,
    ) -> None:
        """Initializes a watch that makes no calls before `start`.

        Args:
            address: Address of discovery.
            catalog: The current list.
            on_destination_changed: Called for each change with the destination and the revision.
            on_committed: Called after a response is committed, with whether anything changed and whether
                discovery restarted its revisions.
            max_list_bytes: Largest response that is accepted.
        """
        self.address, self.catalog, self.max_list_bytes = address, catalog, max_list_bytes
        self.on_destination_changed, self.on_committed = on_destination_changed, on_committed
        self.last_response_at: float | None = None
        self.bytes_in = 0
        self.failures = 0
        self._can_long_poll = False  # the last call succeeded: the next may be held until a change
        self._needs_full_list = True
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def age(self) -> float:
        """Seconds since the last response; only valid after the first one."""
        return asyncio.get_running_loop().time() - (self.last_response_at or 0.0)

    def start(self) -> None:
        """Starts the long poll."""
        self._task = start_watched(self._watch(), "watch of discovery")

    def move_to(self, address: Address) -> None:
        """Continues at another address with the full list, as its revisions may be numbered differently."""
        self.close()
        self.address, self.failures = address, 0
        self._can_long_poll, self._needs_full_list = False, True
        self.start()

    def close(self) -> None:
        """Stops the long poll and closes the connection."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()

    def _disconnect(self) -> None:
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await self._poll()
                if self.failures:
                    log.info("discovery responds again, revision %d", self.catalog.revision)
                self.failures, self._can_long_poll = 0, True
                pause = max(0.0, started + MIN_CALL_INTERVAL_S - loop.time())
            except (OSError, ValueError, h11.RemoteProtocolError, asyncio.IncompleteReadError) as error:
                pause = self._call_failed(f"{error or type(error).__name__}")
            except Exception:
                # A bug: without a further call no relay would receive a change again.
                log.exception("discovery: watch failed by an internal error, retrying")
                pause = self._call_failed("internal error")
            await asyncio.sleep(pause)

    def _call_failed(self, reason: str) -> float:
        """Returns the seconds until the next call. Logs only the first of consecutive failures."""
        self._disconnect()
        self._can_long_poll = False
        if not self.failures:
            log.warning(
                "discovery at %s:%d: call failed, retrying until it succeeds: %s", *self.address, reason
            )
        pause = min(MAX_RETRY_PAUSE_S, MIN_RETRY_PAUSE_S * 2.0 ** min(self.failures, 10))
        self.failures += 1
        return pause * random.uniform(0.5, 1.0)

    async def _poll(self) -> None:
        target, wait = LIST_PATH, 0.0
        if not self._needs_full_list:
            wait = MAX_WATCH_WAIT_S if self._can_long_poll else 0.0
            target += f"?index={self.catalog.revision}&wait={int(wait * 1000)}"
        response = await self._receive(target, wait)
        revision, is_complete = response.parser.finish()
        self.last_response_at = asyncio.get_running_loop().time()
        if not is_complete and (response.staged.is_first or revision < self.catalog.revision):
            self._needs_full_list = True  # discovery restarted its revisions: the delta is of another list
            return
        self._needs_full_list = False
        await self._commit(response.staged, revision, is_complete)

    async def _receive(self, target: str, wait: float) -> ResponseReader:
        """Receives one response, the first one without garbage collection, which would traverse each row."""
        is_first = not self.catalog.is_loaded
        if is_first:
            gc.disable()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S + wait + LIST_TIMEOUT_S):
                return await self._call(target, wait + RESPONSE_TIMEOUT_S)
        finally:
            if is_first:
                gc.enable()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and self._streams[0].at_eof():
            self._disconnect()
        if self._streams is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(*self.address, limit=READ_BYTES)
        return self._streams

    async def _call(self, target: str, timeout: float) -> ResponseReader:
        reader, writer = await self._connect()
        http = h11.Connection(h11.CLIENT)
        head = h11.Request(method="GET", target=target, headers=[("Host", "discovery")])
        writer.write((http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b""))
        response = ResponseReader(self.catalog, self.max_list_bytes)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(timeout):
                    data = await reader.read(READ_BYTES)
                self.bytes_in += len(data)
                http.receive_data(data)
                timeout = RESPONSE_TIMEOUT_S
            elif isinstance(event, h11.Response):
                response.begin(event)
            elif isinstance(event, h11.Data):
                response.add(bytes(event.data))
                await asyncio.sleep(0)
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.InformationalResponse):
                await asyncio.sleep(0)
            else:
                raise ConnectionError("connection closed before the end of the response")
        response.finish()
        if http.their_state is not h11.DONE or http.trailing_data[0]:
            self._disconnect()
        return response

    async def _commit(self, staged: StagedList, revision: int, is_complete: bool) -> None:
        """Commits a list in short turns of the event loop."""
        is_restarted = revision < self.catalog.revision
        self._log_revision(staged, revision, is_restarted)
        change_revision = self.catalog.revision + 1 if is_restarted else revision
        is_changed = False
        changes = self.catalog.commit(staged, revision, is_complete)
        loop = asyncio.get_running_loop()
        turn_began_at = loop.time()
        try:
            for destination in changes:
                is_changed = True
                self.on_destination_changed(destination, change_revision)
                if loop.time() - turn_began_at > MAX_TURN_S:
                    await asyncio.sleep(0)
                    turn_began_at = loop.time()
        finally:
            for destination in changes:  # also after a cancellation: a list must not stay partly committed
                is_changed = True
                self.on_destination_changed(destination, change_revision)
            if staged.is_first:
                self._first_list_committed(revision)
            self.on_committed(is_changed or staged.is_first, is_restarted)

    def _log_revision(self, staged: StagedList, revision: int, is_restarted: bool) -> None:
        current = self.catalog.revision
        if is_restarted:
            log.warning("discovery restarted its revisions: revision %d after %d", revision, current)
        elif not staged.is_first and revision == current and staged.changed:
            log.warning("discovery sent changes without a new revision, it is still %d", revision)

    def _first_list_committed(self, revision: int) -> None:
        gc.freeze()  # keeps garbage collections short: the rows are in no reference cycles
        log.info("the list of discovery: %d hosts, revision %d", self.catalog.endpoint_count, revision)
