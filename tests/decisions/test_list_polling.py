"""List polling: 200 relays at a discovery service that needs 8 s to serve all of them, in virtual time."""

from __future__ import annotations

import heapq
import random
from dataclasses import replace

import pytest

from loftrelay.decisions.actions import SetTimer, WatchEndpointList
from loftrelay.decisions.events import EndpointListKind, EndpointListReceived, Event, TimerFired
from loftrelay.decisions.scheduler import Scheduler
from tests.decisions.harness import SECOND_US, SETTINGS, make_entry

RELAY_COUNT = 200
REQUEST_COST_US = 8 * SECOND_US // RELAY_COUNT  # service time of one request
MAX_QUEUE_US = 2 * SECOND_US  # requests that would wait longer are rejected
LIST = EndpointListReceived(EndpointListKind.FULL, (make_entry("a"),))
POLLING_SETTINGS = replace(SETTINGS, polls_endpoint_list=True)


def simulate_polling(
    seed: int, available_from: int, make_scheduler: type[Scheduler] = Scheduler
) -> tuple[list[int], list[int]]:
    """Simulates relays that start within 0.1 s; discovery serves requests only from `available_from` on.

    Returns:
        For each relay the time at which it received the list, -1 for never, and its number of requests.
    """
    rng = random.Random(seed)
    schedulers = [make_scheduler(seed * 1000 + n, POLLING_SETTINGS) for n in range(RELAY_COUNT)]
    events: list[tuple[int, int, int, Event]] = []
    received_at, requests, idle_from, number = [-1] * RELAY_COUNT, [0] * RELAY_COUNT, 0, RELAY_COUNT
    for n in range(RELAY_COUNT):
        heapq.heappush(events, (rng.randrange(SECOND_US // 10), n, n, TimerFired(0)))
    while events and -1 in received_at:
        now, _, n, event = heapq.heappop(events)
        if now > 120 * SECOND_US:
            break
        if event is LIST:
            received_at[n] = now
        for action in schedulers[n].handle_batch(now, [event]):
            number += 1
            if isinstance(action, SetTimer):
                heapq.heappush(events, (now + action.delay, number, n, TimerFired(0)))
            if isinstance(action, WatchEndpointList) and received_at[n] < 0:
                requests[n] += 1
                is_accepted = now >= available_from and max(idle_from, now) - now <= MAX_QUEUE_US
                if is_accepted:
                    idle_from = max(idle_from, now) + REQUEST_COST_US
                answer = (
                    (idle_from, LIST)
                    if is_accepted
                    else (now + SECOND_US // 50, EndpointListReceived(EndpointListKind.FAILED, ()))
                )
                heapq.heappush(events, (answer[0], number, n, answer[1]))
    return received_at, requests


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("available_from", [0, 10 * SECOND_US])
def test_list_polling_of_overloaded_discovery_reaches_all_relays_at_limited_rate(
    seed: int, available_from: int
) -> None:
    """All relays receive the list within 1.5 times the time that discovery needs to serve them.

    Each relay sends at most one request per 1.4 s.
    """
    received_at, requests = simulate_polling(seed, available_from)
    assert min(received_at) >= 0
    assert max(received_at) - available_from <= 12 * SECOND_US
    assert max(requests) <= 3 + (available_from + 12 * SECOND_US) // (14 * SECOND_US // 10)
