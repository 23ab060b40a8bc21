"""Runs long work in slices, so that no peer keeps the event loop from the others.

A peer may send what is cheap to write and expensive to read, within all limits of size: a body in chunks of
one byte, for example. Each connection does a bounded number of steps when it is read, and leaves the rest
here: all connections with work left take turns, and together get BUDGET_S in a pass of the event loop.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from weakref import WeakKeyDictionary

from loftrelay.tasks.supervision import run_isolated

BUDGET_S = 0.001  # of all deferred work in one pass of the event loop
MAX_EVENTS_PER_SLICE = 32  # parsed for one connection at once: about half a millisecond

Slice = Callable[[], bool]


class DeferredWork:
    """Work of one event loop that is done in slices, in turn."""

    def __init__(self) -> None:
        self._slices: deque[Slice] = deque()
        self._is_scheduled = False

    def submit(self, work: Slice) -> None:
        """Calls `work` in a later pass, again and again until it returns that nothing is left."""
        self._slices.append(work)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + BUDGET_S
        for _ in range(len(self._slices)):
            work = self._slices.popleft()
            run_isolated(partial(self._run_slice, work), "deferred work")
            if loop.time() >= ends_at:
                break
        if self._slices:
            self._schedule()

    def _run_slice(self, work: Slice) -> None:
        if work():
            self._slices.append(work)


_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, DeferredWork] = WeakKeyDictionary()


def deferred_work() -> DeferredWork:
    """Returns the deferred work of the running event loop."""
    loop = asyncio.get_running_loop()
    work = _by_loop.get(loop)
    if work is None:
        work = _by_loop[loop] = DeferredWork()
    return work


class SlicedParsing:
    """Parsing of what one connection has received, in slices.

    Attributes:
        is_suspended: Whether received bytes are left to parse. Nothing more is to be read until then.

    Args:
        parse: Parses a slice; calls `suspend` if more is left.
        may_continue: Tells whether the connection is still to be parsed now; `resume` continues later.
        on_parsed: Called once nothing is left.
    """

    def __init__(
        self, parse: Callable[[], None], may_continue: Callable[[], bool], on_parsed: Callable[[], None]
    ) -> None:
        self.is_suspended = False
        self._parse = parse
        self._may_continue = may_continue
        self._on_parsed = on_parsed
        self._is_queued = False

    def suspend(self) -> None:
        """Notes that received bytes are left, and parses them in later slices."""
        self.is_suspended = True
        self.resume()

    def resume(self) -> None:
        """Continues in a later slice."""
        if not self._is_queued:
            self._is_queued = True
            deferred_work().submit(self._run)

    def end(self) -> None:
        """Parses nothing more, and drops the callbacks."""
        self.is_suspended = False
        self._parse = self._on_parsed = _do_nothing
        self._may_continue = _never

    def _run(self) -> bool:
        self._is_queued = False
        if self.is_suspended and self._may_continue():
            self.is_suspended = False
            self._parse()
            if not self.is_suspended:
                self._on_parsed()
        return False  # `suspend` has submitted the next slice


def _do_nothing() -> None: ...


def _never() -> bool:
    return False
