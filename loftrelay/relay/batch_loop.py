"""The batch loop: collects events and runs the scheduler on them, at most once per batch interval.

After a stall of the process no batch runs before all input that arrived meanwhile has been read: responses,
endpoint lists and disconnects of clients.
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
# Passes of the event loop between a stall and the next batch. The first reads input, the second runs waiting
# tasks, the third posts their events; one is spare.
PASSES_AFTER_STALL = 4


class BatchLoop:
    """Queue of the events of one relay, and the timing of the batches that process them.

    Times are in seconds of the event loop's clock; `now` and the times that the scheduler sees are in
    microseconds.
    """

    run_batch: Callable[[list[Event]], None]  # set by Engine: runs the scheduler and carries out its actions
    after_stall: Callable[[float], None]  # set by Engine: called after a stall with its duration in seconds
    is_enabled: Callable[[], bool]  # set by Engine: whether batches may run

    def __init__(self, stall_detector: StallDetector, batch_interval: int | None) -> None:
        self.stall_detector = stall_detector
        self.set_interval(batch_interval)
        self.events: list[Event] = []
        self.posted_at: list[float] = []  # when each of these events was posted
        self.is_batch_due = False
        self.due_at = 0.0  # earliest time for the due batch
        self.last_batch_at = 0.0
        self.settled_at = 0.0  # time of the last stall after which all input has been read
        self.now = 0  # time of the last batch, in microseconds
        self.timer: asyncio.TimerHandle | None = None

    def set_interval(self, batch_interval: int | None) -> None:
        """Sets the shortest time between batches, in microseconds; None or 0 for the default."""
        self.interval = (batch_interval or DEFAULT_BATCH_INTERVAL_US) / US_PER_S

    def clock(self) -> int:
        """Returns the time in microseconds; it never decreases."""
        return max(self.now, int(asyncio.get_running_loop().time() * US_PER_S))

    @property
    def is_lagging(self) -> bool:
        """Whether input may be outdated: a due batch is late, or input from a stall is not read yet."""
        now = asyncio.get_running_loop().time()
        self.stall_detector.check(now)
        if self.stall_detector.last_stall_at > self.settled_at:
            return True
        return self.is_batch_due and now - self.due_at >= STALL_THRESHOLD_S

    def post(self, event: Event) -> None:
        """Adds an event to the next batch, and schedules the batch."""
        now = asyncio.get_running_loop().time()
        self.add(event, now)
        if not self.is_batch_due:
            self.is_batch_due = True
            self._schedule_batch(now)

    def add(self, event: Event, now: float) -> None:
        """Adds an event to the next batch without scheduling the batch; `now` is in seconds."""
        self.events.append(event)
        self.posted_at.append(now)

    def _schedule_batch(self, now: float) -> None:
        loop = asyncio.get_running_loop()
        if 0 <= now - self.last_batch_at < self.interval:
            self.due_at = self.last_batch_at + self.interval
            loop.call_at(self.due_at, self.run_due_batch)
        elif self.stall_detector.input_age(now):
            # Input read after a lag may be old: a disconnect of its client is read only in the next pass.
            self.due_at = now + self.interval
            loop.call_at(self.due_at, self.run_due_batch)
        else:
            # Not call_at: if the clock steps back, it would delay every batch until the clock has caught up.
            self.due_at = now
            loop.call_soon(self.run_due_batch)

    def run_due_batch(self) -> None:
        """Runs the due batch. After a stall of the process it lets all input be read first."""
        loop = asyncio.get_running_loop()
        self.stall_detector.check_run(self.due_at, loop.time())
        if self.stall_detector.last_stall_at > self.settled_at:
            stall_s = self.stall_detector.last_stall_s
            log.warning("process stalled for %.2f s; reading pending input before the next batch", stall_s)
            self._run_pass_after_stall(PASSES_AFTER_STALL)
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

    def _run_pass_after_stall(self, passes: int) -> None:
        if passes:
            asyncio.get_running_loop().call_soon(self._run_pass_after_stall, passes - 1)
            return
        # Includes stalls noticed during these passes, so that batches still run on a permanently starved
        # machine.
        self.settled_at = self.stall_detector.last_stall_at
        self.due_at = asyncio.get_running_loop().time()
        if not self.is_enabled():
            self.is_batch_due = False
            return
        self.after_stall(self.stall_detector.last_stall_s)
        self.run_due_batch()

    def _with_remaining_times(self) -> list[Event]:
        """Returns the events with their remaining times reduced by the wait in the queue."""
        now = asyncio.get_running_loop().time()
        return [
            _with_reduced_time(event, int((now - posted_at) * US_PER_S))
            for event, posted_at in zip(self.events, self.posted_at, strict=True)
        ]

    def set_timer(self, delay: int) -> None:
        """Schedules a batch after a delay in microseconds from `now`; replaces an earlier timer."""
        self.cancel_timer()
        due = self.now + delay
        self.timer = asyncio.get_running_loop().call_at(due / US_PER_S, self._timer_fired, due)

    def cancel_timer(self) -> None:
        """Cancels the timer, if one is set."""
        if self.timer is not None:
            self.timer.cancel()

    def _timer_fired(self, due: int) -> None:
        self.now = max(self.now, due)  # the event loop may fire it slightly early
        self.post(TimerFired(0))


def _with_reduced_time(event: Event, elapsed: int) -> Event:
    if isinstance(event, MessageSubmitted):
        return replace(event, time_remaining=event.time_remaining - elapsed)
    if isinstance(event, MessageRecovered):
        submission = event.submission
        remaining = submission.time_remaining - elapsed
        return replace(event, submission=replace(submission, time_remaining=remaining))
    return event
