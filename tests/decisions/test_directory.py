"""Two hundred modules at a directory that takes one call from each in eight seconds, in virtual time."""

from __future__ import annotations

import heapq
import random
from dataclasses import replace

import pytest

from loftrelay.decisions.actions import SetTimer, WatchEndpointList
from loftrelay.decisions.events import EndpointListKind, EndpointListReceived, Event, TimerFired
from loftrelay.decisions.scheduler import Scheduler
from tests.decisions.world import SECOND_US, SETTINGS, make_entry

CALLERS = 200
EACH = 8 * SECOND_US // CALLERS  # what one call costs
QUEUE = 2 * SECOND_US  # it turns away what would wait longer
LIST = EndpointListReceived(EndpointListKind.FULL, (make_entry("a"),))
ASKED = replace(SETTINGS, polls_endpoint_list=True)


def play(seed: int, down: int, make: type[Scheduler] = Scheduler) -> tuple[list[int], list[int]]:
    """All ask at once, as after a start; it answers from `down` on. When each was told, and its calls."""
    draw = random.Random(seed)
    modules = [make(seed * 1000 + n, ASKED) for n in range(CALLERS)]
    due: list[tuple[int, int, int, Event]] = []
    told, calls, free, number = [-1] * CALLERS, [0] * CALLERS, 0, CALLERS
    for n in range(CALLERS):
        heapq.heappush(due, (draw.randrange(SECOND_US // 10), n, n, TimerFired(0)))
    while due and -1 in told:
        now, _, n, event = heapq.heappop(due)
        if now > 120 * SECOND_US:
            break
        if event is LIST:
            told[n] = now
        for action in modules[n].handle_batch(now, [event]):
            number += 1
            if isinstance(action, SetTimer):
                heapq.heappush(due, (now + action.delay, number, n, TimerFired(0)))
            if isinstance(action, WatchEndpointList) and told[n] < 0:
                calls[n] += 1
                taken = now >= down and max(free, now) - now <= QUEUE
                if taken:
                    free = max(free, now) + EACH
                answer = (
                    (free, LIST)
                    if taken
                    else (now + SECOND_US // 50, EndpointListReceived(EndpointListKind.FAILED, ()))
                )
                heapq.heappush(due, (answer[0], number, n, answer[1]))
    return told, calls


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("down", [0, 10 * SECOND_US])
def test_all_are_told_soon_and_ask_no_more_than_now_and_then(seed: int, down: int) -> None:
    """Not later than half as long again as it needs to answer all; each asks once in 1.4 s at the most."""
    told, calls = play(seed, down)
    assert min(told) >= 0
    assert max(told) - down <= 12 * SECOND_US
    assert max(calls) <= 3 + (down + 12 * SECOND_US) // (14 * SECOND_US // 10)
