"""The batch loop: gathers events and has the decisions run on them, at most once in a batch interval.

After a stall of the process nothing is decided before all input that came meanwhile has been read: responses,
a list, clients that have left.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from loftrelay.decisions.events import Event, MessageRecovered, MessageSubmitted, TimerFired
from loftrelay.relay.stall_detector import STALL_THRESHOLD_S, StallDetector

log = logging.getLogger(__name__)

US_PER_S = 1e6
DEFAULT_BATCH_INTERVAL_US = 5_000
# Passes of the event loop after a stall before a batch. Input is read in the first, waiting tasks run in the
# second, their events are posted by the third; one is spare.
PASSES_AFTER_STALL = 4


class BatchLoop:
    """Events of one relay until their batch.

    Times are seconds of the event loop's clock, but `now` and what the decisions see are microseconds.
    """

    run_batch: Callable[[list[Event]], None]  # set by Engine: decides and carries the actions out
    after_stall: Callable[[float], None]  # set by Engine: told the length of a stall once it is over
    is_enabled: Callable[[], bool]  # set by Engine

    def __init__(self, stall_detector: StallDetector, batch_interval: int | None) -> None:
        self.stall_detector = stall_detector
        self.set_interval(batch_interval)
        self.events: list[Event] = []
        self.posted_at: list[float] = []  # when each of them became known
        self.is_batch_due = False
        self.due_at = 0.0  # when the due batch could run
        self.last_batch_at = 0.0
        self.settled_at = 0.0  # the last stall after which all input has been read
        self.now = 0  # microseconds, of the last batch
        self.timer: asyncio.TimerHandle | None = None

    def set_interval(self, batch_interval: int | None) -> None:
        """Sets the time between batches, in microseconds; None for the default."""
        self.interval = (batch_interval or DEFAULT_BATCH_INTERVAL_US) / US_PER_S

    def clock(self) -> int:
        """Returns the time in microseconds; it never goes back."""
        return max(self.now, int(asyncio.get_running_loop().time() * US_PER_S))

    @property
    def is_lagging(self) -> bool:
        """Whether input may be old: a due batch has not run, or input from during a stall is not read."""
        now = asyncio.get_running_loop().time()
        self.stall_detector.check(now)
        if self.stall_detector.last_stall_at > self.settled_at:
            return True
        return self.is_batch_due and now - self.due_at >= STALL_THRESHOLD_S

    def post(self, event: Event) -> None:
        """Adds an event to the next batch, and has that run."""
        now = asyncio.get_running_loop().time()
        self.add(event, now)
        if not self.is_batch_due:
            self.is_batch_due = True
            self._schedule_batch(now)

    def add(self, event: Event, now: float) -> None:
        """Adds an event to the next batch without having it run."""
        self.events.append(event)
        self.posted_at.append(now)

    def _schedule_batch(self, now: float) -> None:
        loop = asyncio.get_running_loop()
        if 0 <= now - self.last_batch_at < self.interval:
            self.due_at = self.last_batch_at + self.interval
            loop.call_at(self.due_at, self.run_due_batch)
        elif self.stall_detector.input_age(now):
            # Input read on waking may be old: whether its client has left is read in the next pass.
            self.due_at = now + self.interval
            loop.call_at(self.due_at, self.run_due_batch)
        else:
            # Not at a time: a clock that steps back would hold up every batch until it has caught up.
            self.due_at = now
            loop.call_soon(self.run_due_batch)

    def run_due_batch(self) -> None:
        """Runs the batch that is due, or has all input read first if the process was stalled."""
        loop = asyncio.get_running_loop()
        self.stall_detector.check_run(self.due_at, loop.time())
        if self.stall_detector.last_stall_at > self.settled_at:
            log.warning(
                "process stalled for %.2f s, reading pending input first", self.stall_detector.last_stall_s
            )
            self._settle(PASSES_AFTER_STALL)
            return
        self.is_batch_due = False
        if not self.is_enabled():
            return
        self.now = self.clock()
        self.last_batch_at = loop.time()
        events = self._with_remaining_times()
        self.events = []
        self.posted_at.clear()
        self.run_batch(events)

    def _settle(self, passes: int) -> None:
        if passes:
            asyncio.get_running_loop().call_soon(self._settle, passes - 1)
            return
        # Also stalls noticed while it settled: batches go on where a machine is starved all along.
        self.settled_at = self.stall_detector.last_stall_at
        self.due_at = asyncio.get_running_loop().time()
        if not self.is_enabled():
            self.is_batch_due = False
            return
        self.after_stall(self.stall_detector.last_stall_s)
        self.run_due_batch()

    def _with_remaining_times(self) -> list[Event]:
        """Returns the events with the time that messages have left now: a batch may run late."""
        now = asyncio.get_running_loop().time()
        return [
            _aged(event, int((now - posted_at) * US_PER_S))
            for event, posted_at in zip(self.events, self.posted_at, strict=True)
        ]

    def set_timer(self, delay: int) -> None:
        """Has a batch run after so many microseconds; replaces the timer before."""
        self.cancel_timer()
        due = self.now + delay
        self.timer = asyncio.get_running_loop().call_at(due / US_PER_S, self._timer_fired, due)

    def cancel_timer(self) -> None:
        """Cancels the timer, if one is set."""
        if self.timer is not None:
            self.timer.cancel()

    def _timer_fired(self, due: int) -> None:
        self.now = max(self.now, due)  # the event loop may run it a little early
        self.post(TimerFired(0))


def _aged(event: Event, elapsed: int) -> Event:
    if isinstance(event, MessageSubmitted):
        return replace(event, time_remaining=event.time_remaining - elapsed)
    if isinstance(event, MessageRecovered):
        submission = event.submission
        remaining = submission.time_remaining - elapsed
        return replace(event, submission=replace(submission, time_remaining=remaining))
    return event
