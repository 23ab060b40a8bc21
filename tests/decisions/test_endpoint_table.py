"""Endpoint table: the cost of a list change depends on its size, not on the number of listed endpoints."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import replace

import pytest

from loftrelay.decisions.endpoint_table import MIN_REMOVAL_CHECKS
from loftrelay.decisions.events import (
    AttemptStatus,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from loftrelay.decisions.scheduler import Scheduler
from tests.decisions.harness import SECOND_US, SETTINGS, START, SchedulerDriver, make_entry
from tests.standins.work_counters import IterationCountingDict, count_instructions

FEW, MANY = 1_000, 50_000
CHANGES = {
    "drain": (make_entry("h5", 5, state=EndpointState.DRAINING),),
    "remove": (make_entry("h6", 6, state=EndpointState.REMOVED),),
    "add": (make_entry("new", 7),),
    "empty": (),
}


def count_change_steps(scheduler: Scheduler, *entries: EndpointEntry) -> int:
    """Returns the number of interpreter steps that a list change takes."""
    endpoint_list = EndpointListReceived(EndpointListKind.DELTA, entries)
    return count_instructions(lambda: scheduler.handle_batch(scheduler.state.now + 100_000, [endpoint_list]))


@pytest.fixture(scope="module")
def schedulers() -> dict[int, Scheduler]:
    created = {}
    for size in (FEW, MANY):
        scheduler = created[size] = Scheduler(1, SETTINGS)
        scheduler.handle_batch(
            START,
            [EndpointListReceived(EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size)))],
        )
        scheduler.state.endpoints, scheduler.state.destinations = (
            IterationCountingDict(scheduler.state.endpoints),
            IterationCountingDict(scheduler.state.destinations),
        )
    return created


@pytest.mark.parametrize("change", CHANGES)
def test_list_change_cost_is_independent_of_list_length(
    schedulers: dict[int, Scheduler], change: str
) -> None:
    few, many = (count_change_steps(schedulers[size], *CHANGES[change]) for size in (FEW, MANY))
    assert 0 < many <= 1.5 * few
    for scheduler in schedulers.values():
        assert isinstance(scheduler.state.endpoints, IterationCountingDict)
        assert scheduler.state.endpoints.iterated_entries == 0
        assert isinstance(scheduler.state.destinations, IterationCountingDict)
        assert scheduler.state.destinations.iterated_entries == 0


def test_walk_over_all_endpoints_is_counted(schedulers: dict[int, Scheduler]) -> None:
    """Shows that the test above can fail: a walk over all endpoints is visible in both counts."""
    few, many = (count_instructions(schedulers[size].avoided_endpoint_count) for size in (FEW, MANY))
    assert many > 40 * few
    for size, scheduler in schedulers.items():
        assert isinstance(scheduler.state.endpoints, IterationCountingDict)
        assert size - 9 < scheduler.state.endpoints.iterated_entries < size + 9
        scheduler.state.endpoints.iterated_entries = 0


def test_removed_endpoint_is_dropped_at_first_change_after_it_is_unused() -> None:
    driver = SchedulerDriver(make_entry("a", 1), make_entry("b", 2), make_entry("c", 3))
    driver.scheduler.apply_retry_after(driver.now, "a", 2 * SECOND_US)
    driver.submit("m", destination=2)
    driver.run_batch(
        EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", 1, state=EndpointState.REMOVED),))
    )
    driver.run_batch(
        EndpointListReceived(EndpointListKind.DELTA, (make_entry("b", 2, state=EndpointState.REMOVED),)),
        after=SECOND_US,
    )
    assert set(driver.scheduler.state.endpoints) == {"a", "b", "c"}
    assert set(driver.scheduler.state.removed_endpoints) == {"a", "b"}
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, ()), after=SECOND_US)
    assert set(driver.scheduler.state.endpoints) == {"b", "c"}
    assert driver.scheduler.state.destinations[1].endpoints == []
    driver.end_attempt("m", AttemptStatus.OK)
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("d", 4),)))
    assert set(driver.scheduler.state.endpoints) == {"c", "d"}
    assert not driver.scheduler.state.removed_endpoints


def test_removed_endpoint_listed_again_is_kept() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.scheduler.apply_retry_after(driver.now, "a", 2 * SECOND_US)
    driver.run_batch(
        EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", state=EndpointState.REMOVED),))
    )
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("a"),)), after=SECOND_US)
    driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, ()), after=9 * SECOND_US)
    assert set(driver.scheduler.state.endpoints) == {"a"}
    assert not driver.scheduler.state.removed_endpoints
    assert driver.submit("m")
    assert driver.sent[-1][1].endpoint == "a"


def test_list_change_checks_bounded_number_of_removed_endpoints() -> None:
    """Endpoints removed during an outage are kept; each change checks some of them, and all in turn."""
    costs = []
    for size in (2 * MIN_REMOVAL_CHECKS, 80 * MIN_REMOVAL_CHECKS):
        names = [f"h{i}" for i in range(size)]
        driver = SchedulerDriver(*(make_entry(name, i, kind="own_limits") for i, name in enumerate(names)))
        for name in names:
            driver.scheduler.state.endpoints[name].call_limiter.breaker.is_open = True
        driver.run_batch(
            EndpointListReceived(
                EndpointListKind.DELTA,
                tuple(replace(make_entry(n), state=EndpointState.REMOVED) for n in names),
            )
        )
        assert len(driver.scheduler.state.removed_endpoints) == size
        costs.append(count_change_steps(driver.scheduler))
        for endpoint in driver.scheduler.state.endpoints.values():
            endpoint.call_limiter.breaker.is_open = False
        for _ in range(size // MIN_REMOVAL_CHECKS):
            driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, ()))
        assert not driver.scheduler.state.endpoints
        assert not driver.scheduler.state.removed_endpoints
    assert costs[1] <= 1.5 * costs[0]


def test_full_list_checks_all_removed_endpoints() -> None:
    names = [f"h{i}" for i in range(3 * MIN_REMOVAL_CHECKS)]
    driver = SchedulerDriver(*(make_entry(name) for name in names))
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("x"),)))
    assert set(driver.scheduler.state.endpoints) == {"x"}
    assert not driver.scheduler.state.removed_endpoints


def test_listed_endpoint_uses_bounded_memory() -> None:
    """Each endpoint has its own destination.

    Guards against an empty deque for each entry, which took two fifths of 1.6 KB.
    """
    size = 2_000
    endpoint_list = EndpointListReceived(
        EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size))
    )
    scheduler = Scheduler(1, SETTINGS)
    gc.collect()
    tracemalloc.start()
    try:
        scheduler.handle_batch(START, [endpoint_list])
        bytes_per_endpoint = tracemalloc.get_traced_memory()[0] / size
    finally:
        tracemalloc.stop()
    print(f"{bytes_per_endpoint:.0f} bytes per endpoint")
    assert len(scheduler.state.endpoints) == size
    assert 400 < bytes_per_endpoint < 1_200
