"""Long-polls discovery's endpoint list."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any

from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState
from loftrelay.discovery.endpoint_list import (
    MAX_LIST_BYTES,
    MAX_SPLIT_BYTES,
    SEGMENT_ROWS,
    SegmentedList,
    decode_list,
    split_list,
)
from loftrelay.discovery.http_client import DiscoveryHttpClient
from loftrelay.discovery.subscription_actions import Row
from loftrelay.net.address import Address
from loftrelay.net.response_parser import ConnectionBrokenError, ResponseTooLongError
from loftrelay.registry.protocol import LIST_PATH
from loftrelay.tasks.supervision import start_watched

log = logging.getLogger(__name__)

DEFAULT_POLL_INTERVAL_US = 10_000_000
# The platform considers a change received 6 s after discovery has it (PROTOCOL). A watch without a response
# times out after MAX_WATCH_WAIT_S + RESPONSE_TIMEOUT_S, and the decisions request the next within 2 s.
MAX_WATCH_WAIT_S = 2.0  # for which discovery may hold a watch
RESPONSE_TIMEOUT_S = 2.2  # beyond that wait; discovery rejects requests that have waited for 2 s
CONNECT_TIMEOUT_S = 1.0
MIN_CALL_INTERVAL_S = 0.05  # avoids a busy loop when watches are answered at once
MAX_SINGLE_PASS_BYTES = 64 << 10  # about 400 endpoints; a longer list is applied in segments
SEGMENT_PAUSE_S = 0.005  # after each segment with changes, for the event loop's other work
# Applied rows are excluded from garbage collection, as they are in no reference cycles: a collection that
# traverses all of them blocks the event loop.
SEGMENTS_PER_FREEZE = 5

CurrentEntries = Callable[[], Mapping[str, Row]]


class UnexpectedStatusError(ValueError):
    """Discovery responded with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"discovery responded with status {status}, expected 200")
        self.status = status


class DiscoveryClient:
    """Watches the endpoint list and publishes its changes."""

    def __init__(
        self,
        address: Address,
        poll_interval_us: int | None,
        on_update: Callable[[EndpointListReceived, Mapping[str, Address]], None],
        current_entries: CurrentEntries | None = None,
        on_oversize: Callable[[], None] = lambda: None,
        max_list_bytes: int = MAX_LIST_BYTES,
    ) -> None:
        """Initializes a client that makes no call before `watch`.

        Args:
            address: Where discovery listens.
            poll_interval_us: The platform's interval between calls; a watch is held for half of it.
            on_update: Receives each change of the list, with the addresses of its endpoints.
            current_entries: Returns all endpoints that were published and not removed since. None: every list
                is applied in a single pass.
            on_oversize: Called for each list over `max_list_bytes`, which counts as a failed call.
            max_list_bytes: Largest list that is read.
        """
        self.address = address
        self.on_update = on_update
        self.current_entries = current_entries
        self.on_oversize = on_oversize
        self.max_list_bytes = max_list_bytes
        self.watch_wait = min(MAX_WATCH_WAIT_S, (poll_interval_us or DEFAULT_POLL_INTERVAL_US) / 2e6)
        self.client = DiscoveryHttpClient(address, max_list_bytes)
        self.revision: int | None = None
        self.can_long_poll = False  # the last call succeeded: the next may be held until a change
        self.logged_oversize: tuple[int | None, int] | None = None  # size and limit last logged
        self.task: asyncio.Task[None] | None = None
        self.segments = 0  # number of segments published of the list that is being applied

    def load_cached(self, cached_list: Mapping[str, Any]) -> None:
        """Publishes the list that this relay last received."""
        try:
            cached = decode_list(cached_list)
        except ValueError as error:
            if cached_list:
                log.warning("cached endpoint list ignored, waiting for discovery's list: %s", error)
            self.on_update(EndpointListReceived(EndpointListKind.CACHED, ()), {})
            return
        self.revision = cached.revision
        self._publish(EndpointListKind.CACHED, cached.rows)

    def watch(self) -> None:
        """Starts the long poll, unless it is running."""
        if self.task is None or self.task.done():
            self.task = start_watched(self._watch(), "watch of discovery")

    def move_to(self, address: Address) -> None:
        """Continues at another address with the whole list, as its revisions may be numbered differently."""
        self.close()
        self.address, self.client = address, DiscoveryHttpClient(address, self.max_list_bytes)
        self.revision, self.task, self.can_long_poll = None, None, False
        self.watch()

    def pause(self) -> None:
        """Stops until the next `watch`, which continues from the same revision.

        If a segmented list was being applied, `watch` requests the whole list.
        """
        self.close()
        self.client = DiscoveryHttpClient(self.address, self.max_list_bytes)
        self.task, self.can_long_poll = None, False

    def resume(self, revision: int | None) -> None:
        """Continues from the revision at which another process stopped."""
        self.revision = revision
        self.watch()

    def close(self) -> None:
        """Stops the long poll and closes the connection."""
        if self.task is not None:
            self.task.cancel()
        self.client.close()

    def _publish(self, kind: EndpointListKind, rows: list[Row]) -> None:
        addresses = {entry.endpoint: address for entry, address in rows}
        self.on_update(EndpointListReceived(kind, tuple(entry for entry, _ in rows)), addresses)

    async def _watch(self) -> None:
        """Polls until a call fails; the decisions then schedule the next `watch`.

        The first call after a failure has no wait, so that missed changes are received at once.
        """
        try:
            while True:
                await self._poll()
        except ResponseTooLongError as error:
            self._reject_oversize(error.size, error.limit)
        except (OSError, ConnectionBrokenError, ValueError, RecursionError) as error:
            log.warning("discovery: watch failed, retrying later: %r", error)
        except Exception:
            # A bug: without a further call the relay would never receive a drain again.
            log.exception("discovery: watch failed by an internal error, retrying later")
        self.can_long_poll = False
        self.on_update(EndpointListReceived(EndpointListKind.FAILED, ()), {})

    async def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        target, wait = LIST_PATH, 0.0
        if self.revision is not None:
            wait = self.watch_wait if self.can_long_poll else 0.0
            target += f"?index={self.revision}&wait={int(wait * 1000)}"
        response = await self.client.request(
            "GET", target, wait + RESPONSE_TIMEOUT_S, connect_timeout=CONNECT_TIMEOUT_S
        )
        if response.status != 200:
            raise UnexpectedStatusError(response.status)
        await self._apply(response.body)
        self.can_long_poll, self.logged_oversize = True, None
        await asyncio.sleep(max(0.0, started + MIN_CALL_INTERVAL_S - loop.time()))

    async def _apply(self, body: bytes) -> None:
        if len(body) > MAX_SINGLE_PASS_BYTES and self.current_entries is not None:
            await self._apply_segments(split_list(body), self.current_entries)
            return
        received = decode_list(json.loads(body))
        self.revision = received.revision
        kind = EndpointListKind.FULL if received.is_complete else EndpointListKind.DELTA
        self._publish(kind, received.rows)

    async def _apply_segments(self, received: SegmentedList, current_entries: CurrentEntries) -> None:
        """Publishes only differences from the current entries, removals last.

        Yields to the event loop between segments.
        """
        self.revision = None  # an interruption leaves entries of two lists: the whole list is needed then
        self.segments = 0
        received_names: set[str] = set()
        for first in range(0, len(received.raw_rows), SEGMENT_ROWS):
            rows = {row[0].endpoint: row for row in received.segment(first)}
            received_names.update(rows)
            current = current_entries()
            await self._publish_segment([row for name, row in rows.items() if current.get(name) != row])
        if received.is_complete:
            await self._remove_unlisted(received_names, current_entries)
        self.revision = received.revision
        if not self.segments:
            self._publish(EndpointListKind.DELTA, [])  # reports a successful call without changes

    async def _remove_unlisted(self, received_names: set[str], current_entries: CurrentEntries) -> None:
        endpoints = list(current_entries())
        for first in range(0, len(endpoints), SEGMENT_ROWS):
            current = current_entries()
            unlisted = [
                name for name in endpoints[first : first + SEGMENT_ROWS] if name not in received_names
            ]
            rows = [current[name] for name in unlisted if name in current]
            await self._publish_segment([(_removed(entry), address) for entry, address in rows])

    async def _publish_segment(self, rows: list[Row]) -> None:
        if rows:
            if self.segments % SEGMENTS_PER_FREEZE == 0:
                gc.collect(1)  # otherwise the current garbage would be frozen, too
                gc.freeze()
            self.segments += 1
            self._publish(EndpointListKind.DELTA, rows)
        await asyncio.sleep(SEGMENT_PAUSE_S if rows else 0)

    def _reject_oversize(self, size: int | None, limit: int) -> None:
        """Reports a list over the limit. Logs it once for each size, as the request is retried."""
        self.on_oversize()
        if self.logged_oversize == (size, limit):
            return
        self.logged_oversize = size, limit
        log.error(
            "discovery: list of %s bytes rejected, the limit is %d bytes (keeping the %d known endpoints%s)",
            f"{size}" if size is not None else f"more than {limit}",
            limit,
            len(self.current_entries()) if self.current_entries is not None else 0,
            "" if MAX_LIST_BYTES == MAX_SPLIT_BYTES else "; installing the extra `lists` raises the limit",
        )


def _removed(entry: EndpointEntry) -> EndpointEntry:
    return replace(entry, state=EndpointState.REMOVED)
