"""What a change of the list costs the engine and the delivery goes by the change."""

from __future__ import annotations

import asyncio
import gc
import json
import tracemalloc
from functools import partial
from pathlib import Path

import pytest

from loftrelay.decisions.entities import Destination, Endpoint
from loftrelay.decisions.events import (
    DestinationsReleased,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from loftrelay.delivery.connection_pool.host import HostPool
from loftrelay.delivery.connection_pool.prewarm import DestinationHealth
from loftrelay.discovery.endpoint_list import decode_rows
from loftrelay.net.address import Address
from loftrelay.relay.engine import Engine
from loftrelay.service.assembly import build
from tests.relay.test_counts import close, config
from tests.standins.work import Walked, steps

pytestmark = pytest.mark.usefixtures("no_stalls")

FEW, MANY = 1_000, 50_000
AT: Address = ("127.0.0.1", 9)


def entry(name: str, destination: int, state: EndpointState = EndpointState.ACTIVE) -> EndpointEntry:
    return EndpointEntry(name, destination, state, "here", "plain", None)


def listed(engine: Engine, form: EndpointListKind, *entries: EndpointEntry) -> None:
    engine.endpoints.list_received(EndpointListReceived(form, entries), {e.endpoint: AT for e in entries})
    engine.context.batch_loop.run_due_batch()


CHANGES = [entry("h5", 5, EndpointState.DRAINING), entry("h6", 6, EndpointState.REMOVED), entry("new", 7)]


@pytest.mark.parametrize("change", CHANGES)
def test_a_change_costs_what_it_brings(tmp_path: Path, change: EndpointEntry) -> None:
    async def scenario() -> None:
        costs = []
        for size in (FEW, MANY):
            engine, journal = build(config(tmp_path / str(size)))
            listed(engine, EndpointListKind.FULL, *(entry(f"h{i}", i) for i in range(size)))
            assert len(engine.endpoints.entries) == size
            brain = engine.context.scheduler
            engine.endpoints.entries, engine.endpoints.batch_sizes = (
                Walked(engine.endpoints.entries),
                Walked(engine.endpoints.batch_sizes),
            )
            brain.state.endpoints, brain.state.destinations = (
                Walked(brain.state.endpoints),
                Walked(brain.state.destinations),
            )
            costs.append(steps(partial(listed, engine, EndpointListKind.DELTA, change)))
            for of in (
                engine.endpoints.entries,
                engine.endpoints.batch_sizes,
                brain.state.endpoints,
                brain.state.destinations,
            ):
                assert isinstance(of, Walked)
                assert of.walked == 0
            close(engine)
            journal.close()
        assert 0 < costs[1] <= 1.5 * costs[0]

    asyncio.run(scenario())


def test_what_is_forgotten_goes_at_once(tmp_path: Path) -> None:
    """No cycle leads there: the collector does not look at what a long list brought."""

    async def scenario() -> None:
        kinds = (Endpoint, Destination, HostPool, DestinationHealth)
        gc.collect()
        gc.disable()
        before = [count(kind) for kind in kinds]  # what other tests have left

        def more() -> list[int]:
            return [count(kind) - was for kind, was in zip(kinds, before, strict=True)]

        try:
            engine, journal = build(config(tmp_path))
            for name in ("a", "b"):
                listed(engine, EndpointListKind.DELTA, *(entry(f"{name}{i}", i) for i in range(100)))
            assert more() == [201, 100, 201, 100]
            listed(
                engine,
                EndpointListKind.DELTA,
                *(entry(f"a{i}", i, EndpointState.REMOVED) for i in range(100)),
            )
            assert more() == [101, 100, 101, 100]
            engine.context.scheduler.handle_batch(
                engine.context.scheduler.state.now + 1, [DestinationsReleased(tuple(range(100)))]
            )
            for i in range(100):
                engine.context.delivery.remove_host(f"b{i}")
            assert more() == [0, 0, 1, 1]
        finally:
            gc.enable()
        close(engine)
        journal.close()

    asyncio.run(scenario())


def count(kind: type) -> int:
    return sum(type(each) is kind for each in gc.get_objects())


def test_what_an_entry_takes_of_memory(tmp_path: Path) -> None:
    """In the engine and the delivery, beside the module, with its row of the list. Trouble: it was 1.5 KB."""

    async def scenario() -> None:
        size = 2_000
        rows = [
            {
                "id": f"h{i}",
                "host_port": "127.0.0.1:9",
                "cell": i,
                "phase": "Ready",
                "locality": "zone-1",
                "flavor": "partner",
                "size": 1.0,
            }
            for i in range(size)
        ]
        told = json.dumps(rows)
        del rows
        engine, journal = build(config(tmp_path))
        gc.collect()
        tracemalloc.start()
        try:
            entries = decode_rows(json.loads(told))
            listing = EndpointListReceived(EndpointListKind.DELTA, tuple(e for e, _ in entries))
            engine.endpoints.list_received(listing, {e.endpoint: address for e, address in entries})
            del entries, listing
            engine.context.batch_loop.events.clear()
            engine.context.batch_loop.posted_at.clear()
            gc.collect()
            held = tracemalloc.get_traced_memory()[0] / size
        finally:
            tracemalloc.stop()
        print(f"{held:.0f} bytes for each")
        assert len(engine.endpoints.entries) == size + 1
        assert 600 < held < 1_400
        close(engine)
        journal.close()

    asyncio.run(scenario())
