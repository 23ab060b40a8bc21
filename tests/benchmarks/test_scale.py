"""Calculations, stub discovery and connection cuts of the scale benchmark, and a small fleet with faults."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import psutil
import pytest

from benchmarks.scale.accounts import (
    LIMITS,
    ChangeLatency,
    Limit,
    disagreement_ratio,
    find_exceeded_limits,
    get_figure,
    make_slice,
    merge_latencies,
    traffic_switched_at,
)
from benchmarks.scale.discovery import EndpointCatalog, StubDiscovery
from benchmarks.scale.fleet import (
    PeakUse,
    ResourceLimitError,
    ScaleFleet,
    run_with_resource_limit,
    watch_resources,
)
from benchmarks.scale.links import CountingLoop, Forwarder, Links, current_links
from benchmarks.scale.run import Plan, measure
from benchmarks.scale.slopes import Slopes
from tests.standins.harness import TEST_TIMEOUT_S

# Calculations


def test_make_slice_with_enough_destinations_shares_only_the_common_ones() -> None:
    slices = [make_slice(n, 10, 1_000, 50, shared=8, few_interval=5, seed=1) for n in range(10)]
    assert all(len(destinations) == len(set(destinations)) == 50 for destinations in slices)
    assert all(set(range(8)) <= set(destinations) for destinations in slices)
    assert [n for n, destinations in enumerate(slices) if 8 in destinations] == [0, 5]
    exclusive = [set(destinations) - set(range(9)) for destinations in slices]
    assert sum(map(len, exclusive)) == len(set().union(*exclusive))
    assert slices == [make_slice(n, 10, 1_000, 50, shared=8, few_interval=5, seed=1) for n in range(10)]


def test_make_slice_beyond_its_share_is_random_and_beyond_the_list_is_the_list() -> None:
    random_slices = [make_slice(n, 10, 100, 50, shared=8, few_interval=0, seed=1) for n in range(2)]
    assert all(len(set(destinations)) == 50 and max(destinations) < 100 for destinations in random_slices)
    assert random_slices[0] != random_slices[1]
    assert make_slice(0, 1, 5, 50, shared=8, few_interval=0, seed=1) == [0, 1, 2, 3, 4]


def test_traffic_switched_at_is_the_last_call_to_the_old_host() -> None:
    assert traffic_switched_at(10.0, old=[9.0, 9.9], new=[3.0]) is None
    assert traffic_switched_at(10.0, old=[9.0, 9.9], new=[3.0, 10.5, 10.6]) == 10.5
    assert traffic_switched_at(10.0, old=[9.0, 10.7], new=[10.5, 10.6]) == 10.7


def test_change_latency_counts_each_relay_and_reports_missing_ones() -> None:
    first, second = ChangeLatency(), ChangeLatency()
    first.add(100.0, [100.5, 101.0, 103.0])
    second.add(200.0, [218.0], missing=2)
    figures = merge_latencies([first, second]).figures()
    assert (figures["counted"], figures["missing"]) == (4, 2)
    assert figures["median"] == pytest.approx(1.0, rel=0.01)
    assert figures["worst"] == pytest.approx(18.0, rel=0.01)
    assert ChangeLatency().figures() == {"median": None, "worst": None, "counted": 0}
    with pytest.raises(ValueError):
        first.add(100.0, [99.0])


def test_find_exceeded_limits_sorts_by_excess_and_lists_figures_not_measured() -> None:
    limits = (
        Limit("a", 1.0, ("a",)),
        Limit("b", 10.0, ("b", "worst")),
        Limit("c", 1.0, ("c",)),
        Limit("d", 1.0, ("d",)),
        Limit("e", 2.0, ("e",)),
    )
    result = {"a": 1.5, "b": {"worst": 30.0}, "c": 1.0, "d": None}
    assert find_exceeded_limits(result, limits) == ["b", "a", "d?", "e?"]


def test_disagreement_ratio_of_values_below_the_resolution_is_one() -> None:
    assert disagreement_ratio(0.003, 0.04, 0.1) == 1.0
    assert disagreement_ratio(0.2, 0.04, 0.1) == pytest.approx(2.0)
    assert disagreement_ratio(100.0, 150.0, 0.0) == pytest.approx(1.5)


def test_slopes_predict_the_largest_size_from_the_smaller_ones() -> None:
    slopes = Slopes()
    for size, linear, quadratic in ((100, 20.0, 1.0), (200, 30.0, 4.0), (300, 40.0, 9.0)):
        slopes.add("linear", "relays", 2_400, size, linear)
        slopes.add("quadratic", "relays", 2_400, size, quadratic)
    assert slopes.predict("relays", 600) == {"linear": 70.0, "quadratic": pytest.approx(20.67, rel=0.01)}
    assert slopes.predict("destinations", 600) == {}
    slopes.add("linear", "relays", 2_400, 600, 70.0)
    slopes.add("quadratic", "relays", 2_400, 600, 36.0)
    assert slopes.all["linear"].error == pytest.approx(0.0)
    assert slopes.worst_error == pytest.approx((36 - 20.67) / 36, rel=0.01)
    assert slopes.failed(0.25) == ["quadratic"]
    assert slopes.all["linear"].at_target() == pytest.approx(250.0)


# Stub discovery and connection cuts


def test_endpoint_catalog_returns_generated_entries_with_changes_applied() -> None:
    catalog = EndpointCatalog(4_500)
    full_list = json.loads(b"".join(catalog.chunks()))
    assert (full_list["revision"], full_list["complete"], len(full_list["members"])) == (1, True, 4_500)
    assert [entry["cell"] for entry in full_list["members"]] == list(range(4_500))
    assert catalog.change([{"destination": 7, "address": "127.0.0.1:1001"}]) == 2
    assert catalog.change([{"destination": 9_000, "name": "x", "phase": "Terminating"}]) == 3
    assert catalog.change([{"destination": 7, "address": "127.0.0.1:1002"}]) == 4
    encoded = b"".join(catalog.chunks())
    assert len(encoded) == catalog.length
    entries = {entry["id"]: entry for entry in json.loads(encoded)["members"]}
    assert len(entries) == 4_501
    assert (entries["h7"]["host_port"], entries["x"]["phase"]) == ("127.0.0.1:1002", "Terminating")
    changes = json.loads(catalog.changes_since(3))
    assert (changes["revision"], changes["complete"]) == (4, False)
    assert [entry["id"] for entry in changes["members"]] == ["h7"]
    assert {entry["id"] for entry in json.loads(catalog.changes_since(1))["members"]} == {"h7", "x"}
    assert json.loads(catalog.changes_since(4))["members"] == []
    assert len(b"".join(EndpointCatalog(0).chunks())) == EndpointCatalog(0).length


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(main())


class RecordingProtocol(asyncio.Protocol):
    """Keeps the received data."""

    def __init__(self) -> None:
        self.data = b""
        self.received = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.received.set()


def test_links_cut_delays_data_and_connections_until_the_heal() -> None:
    async def scenario() -> None:
        discovery = StubDiscovery(EndpointCatalog(1))
        address = ("127.0.0.1", await discovery.start())
        links = Links()
        current_links.set(links)
        loop = asyncio.get_running_loop()
        transport, protocol = await loop.create_connection(RecordingProtocol, *address)
        request = b"GET /registry/instances?index=0&wait=0 HTTP/1.1\r\n\r\n"
        links.cut([address])
        transport.write(request)
        blocked = asyncio.ensure_future(loop.create_connection(RecordingProtocol, *address))
        await asyncio.sleep(0)
        assert (links.sent_bytes, discovery.received_bytes, blocked.done()) == (0, 0, False)
        links.heal()
        await protocol.received.wait()
        assert links.sent_bytes == discovery.received_bytes == len(request)
        assert links.received_bytes == len(protocol.data)
        assert (links.opened, links.moves) == (1, 0)
        blocked.cancel()
        transport.abort()
        await discovery.stop()

    run_scenario(scenario)


def test_forwarder_counts_both_directions_and_keeps_data_during_a_cut() -> None:
    async def scenario() -> None:
        discovery = StubDiscovery(EndpointCatalog(1))
        forwarder = Forwarder(("127.0.0.1", await discovery.start()))
        reader, writer = await asyncio.open_connection(*await forwarder.start())
        request = b"POST /reports HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        writer.write(request)
        response = await reader.readuntil(b"\r\n\r\n")
        assert (forwarder.bytes_to_target, forwarder.bytes_from_target) == (len(request), len(response))
        forwarder.cut()
        writer.write(request)
        assert discovery.calls["notices"] == 1
        forwarder.heal()
        assert await reader.readuntil(b"\r\n\r\n") == response
        assert forwarder.total == 2 * (len(request) + len(response))
        writer.close()
        forwarder.close()
        await discovery.stop()

    run_scenario(scenario)


def test_watch_resources_over_the_memory_limit_raises_resource_limit_error() -> None:
    with pytest.raises(ResourceLimitError):
        asyncio.run(watch_resources(PeakUse(), max_memory_share=0.0))


# A small fleet


def test_scale_fleet_applies_changes_at_all_relays_after_a_registry_is_killed(tmp_path: Path) -> None:
    async def scenario() -> list[int]:
        async with ScaleFleet(tmp_path, each=10) as fleet:
            await fleet.begin(500)
            await fleet.add_registries(2)
            await fleet.grow(20, 20, 30, 4, 20, 1)
            started = await fleet.hollow.start(None, TEST_TIMEOUT_S)
            assert (started["counted"], "missing" in started) == (20, False)
            await fleet.add_real(1)
            children = [child.pid for child in psutil.Process().children(recursive=True)]
            assert len(children) == 1 + 2 + 2 + 1  # discovery, registries, hollow, real

            number, changed_at = await fleet.change()
            assert len((await fleet.hollow.wait_for_change(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert await fleet.wait_for_real_relays(changed_at, TEST_TIMEOUT_S) != [None]

            before = await fleet.hollow.counts()
            await fleet.registries[0].end(signal.SIGKILL)
            number, changed_at = await fleet.change()
            assert len((await fleet.hollow.wait_for_change(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert await fleet.wait_for_real_relays(changed_at, TEST_TIMEOUT_S) != [None]
            after = await fleet.hollow.counts()
            assert sum(after.bytes) > sum(before.bytes)
            assert sum(await fleet.hollow.call("astray", change=number, destination=0)) == 0

            await fleet.registries[0].start(fleet.discovery_address)
            await fleet.registries[0].wait_until_listed()
            await fleet.hollow.call("stop", range(5))
            await fleet.hollow.start(range(5), TEST_TIMEOUT_S, pace=1_000.0)
            assert len((await fleet.hollow.wait_for_change(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert not fleet.real[0].harness.internal_errors
            return children

    children = asyncio.run(asyncio.wait_for(scenario(), 2 * TEST_TIMEOUT_S))
    assert not [pid for pid in children if psutil.pid_exists(pid)]


def test_measure_returns_all_figures_of_a_small_plan(tmp_path: Path) -> None:
    small = Plan(
        destinations=(100, 200, 400),
        slices=(10, 20, 40),
        relays=(4, 8, 16),
        members=(),
        registries=1,
        real_relays=1,
        relays_per_worker=8,
        changes=1,
        steady_s=2.2,
        settle_s=0.0,
        fault_durations=None,
        concurrent=True,
    )
    peak = PeakUse()
    result = asyncio.run(run_with_resource_limit(measure(small, None), peak))
    assert (result["relays"], result["destinations"]) == (16, 400)
    for limit in LIMITS:
        assert get_figure(result, limit.path) is not None, limit
    assert result["over_budget"] == find_exceeded_limits(result)
    assert not [name for name in result["over_budget"] if name.endswith("?")]
    predicted = {name: slope for name, slope in result["slopes"].items() if slope["error"] is not None}
    assert result["prediction_error"] == max(slope["error"] for slope in predicted.values())
    assert set(predicted) == set(result["slopes"])
    assert result["in_force_s"]["counted"] == 2 * 16  # one change when there were 16 relays, and one later
    assert "missing" not in result["in_force_s"]
    json.dumps(result, allow_nan=False)
    assert peak.processes >= 6
    assert peak.mb > 100


def test_scale_fleet_ends_its_children_after_an_exception(tmp_path: Path) -> None:
    children: list[int] = []

    async def scenario() -> None:
        async with ScaleFleet(tmp_path, each=10) as fleet:
            await fleet.begin(10)
            await fleet.grow(2, 2, 5, 4, 0, 1)
            children.extend([fleet.discovery.pid, *(worker.pid for worker in fleet.hollow.workers)])
            raise RuntimeError("midway")

    with pytest.raises(RuntimeError, match="midway"):
        asyncio.run(scenario())
    assert len(children) == 2
    assert not [pid for pid in children if psutil.pid_exists(pid)]
