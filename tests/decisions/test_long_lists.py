"""What a change of the list costs goes by the change, however many hosts are listed."""

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
from tests.decisions.world import SECOND_US, SETTINGS, START, SchedulerDriver, make_entry
from tests.standins.work import Walked, steps

FEW, MANY = 1_000, 50_000
CHANGES = {
    "a host drains": (make_entry("h5", 5, state=EndpointState.DRAINING),),
    "a host goes": (make_entry("h6", 6, state=EndpointState.REMOVED),),
    "a host comes": (make_entry("new", 7),),
    "nothing": (),
}


def told(module: Scheduler, *entries: EndpointEntry) -> int:
    """The steps that a change takes."""
    listing = EndpointListReceived(EndpointListKind.DELTA, entries)
    return steps(lambda: module.handle_batch(module.state.now + 100_000, [listing]))


@pytest.fixture(scope="module")
def modules() -> dict[int, Scheduler]:
    made = {}
    for size in (FEW, MANY):
        module = made[size] = Scheduler(1, SETTINGS)
        module.handle_batch(
            START,
            [EndpointListReceived(EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size)))],
        )
        module.state.endpoints, module.state.destinations = (
            Walked(module.state.endpoints),
            Walked(module.state.destinations),
        )
    return made


@pytest.mark.parametrize("what", CHANGES)
def test_a_change_costs_what_it_brings(modules: dict[int, Scheduler], what: str) -> None:
    few, many = (told(modules[size], *CHANGES[what]) for size in (FEW, MANY))
    assert 0 < many <= 1.5 * few
    for module in modules.values():
        assert isinstance(module.state.endpoints, Walked)
        assert module.state.endpoints.walked == 0
        assert isinstance(module.state.destinations, Walked)
        assert module.state.destinations.walked == 0


def test_the_count_sees_a_walk(modules: dict[int, Scheduler]) -> None:
    """The check before this one can fail."""
    few, many = (steps(modules[size].avoided_endpoint_count) for size in (FEW, MANY))
    assert many > 40 * few
    for size, module in modules.items():
        assert isinstance(module.state.endpoints, Walked)
        assert size - 9 < module.state.endpoints.walked < size + 9
        module.state.endpoints.walked = 0


def gone(driver: SchedulerDriver, *names: str) -> tuple[EndpointEntry, ...]:
    return tuple(make_entry(name, state=EndpointState.REMOVED) for name in names)


def test_one_that_is_gone_is_forgotten_with_the_first_change_after_it_binds_no_more() -> None:
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


def test_one_that_is_gone_and_listed_again_stays() -> None:
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


def test_many_that_are_gone_and_bind_for_long_cost_a_change_no_more_than_a_few() -> None:
    """Routes that went in an outage stay: each change looks at some of them, and at all in turn."""
    costs = []
    for size in (2 * MIN_REMOVAL_CHECKS, 80 * MIN_REMOVAL_CHECKS):
        names = [f"h{i}" for i in range(size)]
        driver = SchedulerDriver(*(make_entry(name, i, kind="apart") for i, name in enumerate(names)))
        for name in names:
            driver.scheduler.state.endpoints[name].gate.breaker.is_open = True
        driver.run_batch(
            EndpointListReceived(
                EndpointListKind.DELTA,
                tuple(replace(make_entry(n), state=EndpointState.REMOVED) for n in names),
            )
        )
        assert len(driver.scheduler.state.removed_endpoints) == size
        costs.append(told(driver.scheduler))
        for endpoint in driver.scheduler.state.endpoints.values():
            endpoint.gate.breaker.is_open = False
        for _ in range(size // MIN_REMOVAL_CHECKS):
            driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, ()))
        assert not driver.scheduler.state.endpoints
        assert not driver.scheduler.state.removed_endpoints
    assert costs[1] <= 1.5 * costs[0]


def test_a_whole_list_looks_at_all_that_are_gone() -> None:
    names = [f"h{i}" for i in range(3 * MIN_REMOVAL_CHECKS)]
    driver = SchedulerDriver(*(make_entry(name) for name in names))
    driver.run_batch(EndpointListReceived(EndpointListKind.FULL, (make_entry("x"),)))
    assert set(driver.scheduler.state.endpoints) == {"x"}
    assert not driver.scheduler.state.removed_endpoints


def test_what_an_endpoint_takes_of_memory() -> None:
    """With a destination of its own. Trouble: two fifths of 1.6 KB were an empty deque."""
    size = 2_000
    listing = EndpointListReceived(EndpointListKind.FULL, tuple(make_entry(f"h{i}", i) for i in range(size)))
    module = Scheduler(1, SETTINGS)
    gc.collect()
    tracemalloc.start()
    try:
        module.handle_batch(START, [listing])
        held = tracemalloc.get_traced_memory()[0] / size
    finally:
        tracemalloc.stop()
    print(f"{held:.0f} bytes for each")
    assert len(module.state.endpoints) == size
    assert 400 < held < 1_200
