"""Tests of long endpoint lists: cost of a change, release of removed entries, and memory of an entry."""

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
from loftrelay.service.assembly import build_engine
from tests.relay.test_message_counts import close_engine, make_config
from tests.standins.work_counters import IterationCountingDict, count_instructions

pytestmark = pytest.mark.usefixtures("no_stalls")

FEW_HOSTS, MANY_HOSTS = 1_000, 50_000
ADDRESS: Address = ("127.0.0.1", 9)


def make_entry(name: str, destination: int, state: EndpointState = EndpointState.ACTIVE) -> EndpointEntry:
    return EndpointEntry(name, destination, state, "here", "plain", None)


def apply_list(engine: Engine, kind: EndpointListKind, *entries: EndpointEntry) -> None:
    engine.endpoints.list_received(
        EndpointListReceived(kind, entries), {e.endpoint: ADDRESS for e in entries}
    )
    engine.context.batch_loop.run_due_batch()


CHANGES = [
    make_entry("h5", 5, EndpointState.DRAINING),
    make_entry("h6", 6, EndpointState.REMOVED),
    make_entry("new", 7),
]


@pytest.mark.parametrize("change", CHANGES)
def test_list_change_cost_does_not_grow_with_list_length(tmp_path: Path, change: EndpointEntry) -> None:
    """Cost is counted in bytecode instructions; no table of all entries is iterated."""

    async def scenario() -> None:
        costs = []
        for size in (FEW_HOSTS, MANY_HOSTS):
            engine, journal = build_engine(make_config(tmp_path / str(size)))
            apply_list(engine, EndpointListKind.FULL, *(make_entry(f"h{i}", i) for i in range(size)))
            assert len(engine.endpoints.entries) == size
            scheduler = engine.context.scheduler
            engine.endpoints.entries, engine.endpoints.max_batch_size_by_host = (
                IterationCountingDict(engine.endpoints.entries),
                IterationCountingDict(engine.endpoints.max_batch_size_by_host),
            )
            scheduler.state.endpoints, scheduler.state.destinations = (
                IterationCountingDict(scheduler.state.endpoints),
                IterationCountingDict(scheduler.state.destinations),
            )
            costs.append(count_instructions(partial(apply_list, engine, EndpointListKind.DELTA, change)))
            for table in (
                engine.endpoints.entries,
                engine.endpoints.max_batch_size_by_host,
                scheduler.state.endpoints,
                scheduler.state.destinations,
            ):
                assert isinstance(table, IterationCountingDict)
                assert table.iterated_entries == 0
            close_engine(engine)
            journal.close()
        assert 0 < costs[1] <= 1.5 * costs[0]

    asyncio.run(scenario())


def test_removed_entries_are_freed_without_garbage_collector(tmp_path: Path) -> None:
    """The objects of an entry form no reference cycle, as the collector skips those of a long list."""

    async def scenario() -> None:
        types = (Endpoint, Destination, HostPool, DestinationHealth)
        gc.collect()
        gc.disable()
        counts_before = [count_instances(each) for each in types]  # left by other tests

        def new_instances() -> list[int]:
            return [count_instances(each) - before for each, before in zip(types, counts_before, strict=True)]

        try:
            engine, journal = build_engine(make_config(tmp_path))
            for name in ("a", "b"):
                apply_list(engine, EndpointListKind.DELTA, *(make_entry(f"{name}{i}", i) for i in range(100)))
            assert new_instances() == [201, 100, 201, 100]
            apply_list(
                engine,
                EndpointListKind.DELTA,
                *(make_entry(f"a{i}", i, EndpointState.REMOVED) for i in range(100)),
            )
            assert new_instances() == [101, 100, 101, 100]
            engine.context.scheduler.handle_batch(
                engine.context.scheduler.state.now + 1, [DestinationsReleased(tuple(range(100)))]
            )
            for i in range(100):
                engine.context.delivery.remove_host(f"b{i}")
            assert new_instances() == [0, 0, 1, 1]
        finally:
            gc.enable()
        close_engine(engine)
        journal.close()

    asyncio.run(scenario())


def count_instances(instance_type: type) -> int:
    return sum(type(each) is instance_type for each in gc.get_objects())


def test_list_entry_takes_limited_memory(tmp_path: Path) -> None:
    """Covers the engine, the delivery and the row of the list, without the scheduler. It once was 1.5 KB."""

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
        list_json = json.dumps(rows)
        del rows
        engine, journal = build_engine(make_config(tmp_path))
        gc.collect()
        tracemalloc.start()
        try:
            entries = decode_rows(json.loads(list_json))
            update = EndpointListReceived(EndpointListKind.DELTA, tuple(entry for entry, _ in entries))
            engine.endpoints.list_received(update, {entry.endpoint: address for entry, address in entries})
            del entries, update
            engine.context.batch_loop.events.clear()
            engine.context.batch_loop.posted_at.clear()
            gc.collect()
            entry_bytes = tracemalloc.get_traced_memory()[0] / size
        finally:
            tracemalloc.stop()
        print(f"{entry_bytes:.0f} bytes for each entry")
        assert len(engine.endpoints.entries) == size + 1
        assert 600 < entry_bytes < 1_400
        close_engine(engine)
        journal.close()

    asyncio.run(scenario())
