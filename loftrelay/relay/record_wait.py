"""A step that waits for the store of record, though not longer than a limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RecordWait:
    """Calls a step once: when the store has recorded what comes before it, or at the limit.

    Attributes:
        is_over: Whether the step was called.
    """

    def __init__(self, step: Callable[[bool], None]) -> None:
        """Creates a wait; `step` is called with whether the store has the record."""
        self.is_over = False
        self._step = step
        self._timer: asyncio.TimerHandle | None = None

    def limit(self, max_wait_s: float) -> None:
        """Starts the time limit, unless the wait is over."""
        if self.is_over:
            return
        if max_wait_s <= 0:
            self._end(is_recorded=False)
        else:
            self._timer = asyncio.get_running_loop().call_later(max_wait_s, self._time_out)

    def recorded(self) -> None:
        """Ends the wait, as the store has the record."""
        if not self.is_over:
            self._end(is_recorded=True)

    def _time_out(self) -> None:
        if not self.is_over:
            self._end(is_recorded=False)

    def _end(self, *, is_recorded: bool) -> None:
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()
        self._step(is_recorded)
