"""The scale run: what it reckons with, its stand-ins and cuts, and a small fleet with a registry killed."""

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
    InForce,
    Limit,
    apart,
    figure,
    merge,
    moved,
    over_budget,
    slice_of,
)
from benchmarks.scale.discovery import Book, Discovery
from benchmarks.scale.fleet import Fleet, Peak, TooMuch, guard, guarded
from benchmarks.scale.links import CountingLoop, Forwarder, Links, whose
from benchmarks.scale.run import Plan, measure
from benchmarks.scale.slopes import Slopes
from tests.standins.harness import TEST_TIMEOUT_S

# What is reckoned


def test_slices_share_what_all_serve_and_nothing_else_while_there_is_enough() -> None:
    slices = [slice_of(n, 10, 1_000, 50, shared=8, few=5, seed=1) for n in range(10)]
    assert all(len(cells) == len(set(cells)) == 50 for cells in slices)
    assert all(set(range(8)) <= set(cells) for cells in slices)
    assert [n for n, cells in enumerate(slices) if 8 in cells] == [0, 5]
    own = [set(cells) - set(range(9)) for cells in slices]
    assert sum(map(len, own)) == len(set().union(*own))
    assert slices == [slice_of(n, 10, 1_000, 50, shared=8, few=5, seed=1) for n in range(10)]


def test_a_slice_beyond_its_share_is_drawn_and_one_beyond_the_list_is_the_list() -> None:
    drawn = [slice_of(n, 10, 100, 50, shared=8, few=0, seed=1) for n in range(2)]
    assert all(len(set(cells)) == 50 and max(cells) < 100 for cells in drawn)
    assert drawn[0] != drawn[1]
    assert slice_of(0, 1, 5, 50, shared=8, few=0, seed=1) == [0, 1, 2, 3, 4]


def test_a_change_holds_at_the_last_call_to_the_old_host() -> None:
    assert moved(10.0, old=[9.0, 9.9], new=[3.0]) is None
    assert moved(10.0, old=[9.0, 9.9], new=[3.0, 10.5, 10.6]) == 10.5
    assert moved(10.0, old=[9.0, 10.7], new=[10.5, 10.6]) == 10.7


def test_times_in_force_are_counted_at_each_relay_and_missing_ones_are_told() -> None:
    some, others = InForce(), InForce()
    some.add(100.0, [100.5, 101.0, 103.0])
    others.add(200.0, [218.0], missing=2)
    told = merge([some, others]).figures()
    assert (told["counted"], told["missing"]) == (4, 2)
    assert told["median"] == pytest.approx(1.0, rel=0.01)
    assert told["worst"] == pytest.approx(18.0, rel=0.01)
    assert InForce().figures() == {"median": None, "worst": None, "counted": 0}
    with pytest.raises(ValueError):
        some.add(100.0, [99.0])


def test_what_is_over_is_named_by_how_far_and_what_is_not_measured_is_not_held_to_be_within() -> None:
    limits = (
        Limit("a", 1.0, ("a",)),
        Limit("b", 10.0, ("b", "worst")),
        Limit("c", 1.0, ("c",)),
        Limit("d", 1.0, ("d",)),
        Limit("e", 2.0, ("e",)),
    )
    line = {"a": 1.5, "b": {"worst": 30.0}, "c": 1.0, "d": None}
    assert over_budget(line, limits) == ["b", "a", "d?", "e?"]


def test_figures_below_the_resolution_do_not_disagree() -> None:
    assert apart(0.003, 0.04, 0.1) == 1.0
    assert apart(0.2, 0.04, 0.1) == pytest.approx(2.0)
    assert apart(100.0, 150.0, 0.0) == pytest.approx(1.5)


def test_a_slope_is_predicted_from_the_smaller_sizes_alone() -> None:
    slopes = Slopes()
    for size, straight, bent in ((100, 20.0, 1.0), (200, 30.0, 4.0), (300, 40.0, 9.0)):
        slopes.add("straight", "relays", 2_400, size, straight)
        slopes.add("bent", "relays", 2_400, size, bent)
    assert slopes.predict("relays", 600) == {"straight": 70.0, "bent": pytest.approx(20.67, rel=0.01)}
    assert slopes.predict("destinations", 600) == {}
    slopes.add("straight", "relays", 2_400, 600, 70.0)
    slopes.add("bent", "relays", 2_400, 600, 36.0)
    assert slopes.all["straight"].error == pytest.approx(0.0)
    assert slopes.worst == pytest.approx((36 - 20.67) / 36, rel=0.01)
    assert slopes.failed(0.25) == ["bent"]
    assert slopes.all["straight"].at_target() == pytest.approx(250.0)


# Stand-ins and cuts


def test_the_list_is_generated_and_changes_stand_in_it() -> None:
    book = Book(4_500)
    told = json.loads(b"".join(book.pieces()))
    assert (told["revision"], told["complete"], len(told["members"])) == (1, True, 4_500)
    assert [row["cell"] for row in told["members"]] == list(range(4_500))
    assert book.change([{"destination": 7, "address": "127.0.0.1:1001"}]) == 2
    assert book.change([{"destination": 9_000, "name": "x", "phase": "Terminating"}]) == 3
    assert book.change([{"destination": 7, "address": "127.0.0.1:1002"}]) == 4
    whole = b"".join(book.pieces())
    assert len(whole) == book.length
    rows = {row["id"]: row for row in json.loads(whole)["members"]}
    assert len(rows) == 4_501
    assert (rows["h7"]["host_port"], rows["x"]["phase"]) == ("127.0.0.1:1002", "Terminating")
    news = json.loads(book.since(3))
    assert (news["revision"], news["complete"]) == (4, False)
    assert [row["id"] for row in news["members"]] == ["h7"]
    assert {row["id"] for row in json.loads(book.since(1))["members"]} == {"h7", "x"}
    assert json.loads(book.since(4))["members"] == []
    assert len(b"".join(Book(0).pieces())) == Book(0).length


def play(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario()

    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        runner.run(main())


class Heard(asyncio.Protocol):
    def __init__(self) -> None:
        self.data = b""
        self.news = asyncio.Event()

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.news.set()


def test_a_cut_link_is_silent_and_goes_on_after_the_heal() -> None:
    async def scenario() -> None:
        discovery = Discovery(Book(1))
        place = ("127.0.0.1", await discovery.start())
        links = Links()
        whose.set(links)
        loop = asyncio.get_running_loop()
        transport, heard = await loop.create_connection(Heard, *place)
        call = b"GET /registry/instances?index=0&wait=0 HTTP/1.1\r\n\r\n"
        links.cut([place])
        transport.write(call)
        other = asyncio.ensure_future(loop.create_connection(Heard, *place))
        await asyncio.sleep(0)
        assert (links.sent, discovery.heard, other.done()) == (0, 0, False)
        links.heal()
        await heard.news.wait()
        assert links.sent == discovery.heard == len(call)
        assert links.heard == len(heard.data)
        assert (links.opened, links.moves) == (1, 0)
        other.cancel()
        transport.abort()
        await discovery.stop()

    play(scenario)


def test_a_forwarder_counts_both_ways_and_keeps_what_comes_while_it_is_cut() -> None:
    async def scenario() -> None:
        discovery = Discovery(Book(1))
        forwarder = Forwarder(("127.0.0.1", await discovery.start()))
        reader, writer = await asyncio.open_connection(*await forwarder.start())
        call = b"POST /reports HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        writer.write(call)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert (forwarder.up, forwarder.down) == (len(call), len(answer))
        forwarder.cut()
        writer.write(call)
        assert discovery.calls["notices"] == 1
        forwarder.heal()
        assert await reader.readuntil(b"\r\n\r\n") == answer
        assert forwarder.total == 2 * (len(call) + len(answer))
        writer.close()
        forwarder.close()
        await discovery.stop()

    play(scenario)


def test_the_guard_stops_what_takes_too_much() -> None:
    with pytest.raises(TooMuch):
        asyncio.run(guard(Peak(), most_share=0.0))


# A small fleet


def test_a_change_is_in_force_at_hollow_and_real_relays_though_a_registry_is_killed(tmp_path: Path) -> None:
    async def scenario() -> list[int]:
        async with Fleet(tmp_path, each=10) as fleet:
            await fleet.begin(500)
            await fleet.add_registries(2)
            await fleet.grow(20, 20, 30, 4, 20, 1)
            started = await fleet.hollow.start(None, TEST_TIMEOUT_S)
            assert (started["counted"], "missing" in started) == (20, False)
            await fleet.add_real(1)
            children = [child.pid for child in psutil.Process().children(recursive=True)]
            assert len(children) == 1 + 2 + 2 + 1  # discovery, registries, hollow, real

            number, begun = await fleet.change()
            assert len((await fleet.hollow.seen(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert await fleet.real_in_force(begun, TEST_TIMEOUT_S) != [None]

            before = await fleet.hollow.counts()
            await fleet.registries[0].end(signal.SIGKILL)
            number, begun = await fleet.change()
            assert len((await fleet.hollow.seen(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert await fleet.real_in_force(begun, TEST_TIMEOUT_S) != [None]
            after = await fleet.hollow.counts()
            assert sum(after.bytes) > sum(before.bytes)
            assert sum(await fleet.hollow.ask("astray", change=number, destination=0)) == 0

            await fleet.registries[0].start(fleet.place)
            await fleet.registries[0].until_listed()
            await fleet.hollow.ask("stop", range(5))
            await fleet.hollow.start(range(5), TEST_TIMEOUT_S, pace=1_000.0)
            assert len((await fleet.hollow.seen(number, None, TEST_TIMEOUT_S))[0]) == 20
            assert not fleet.real[0].world.internal_errors
            return children

    children = asyncio.run(asyncio.wait_for(scenario(), 2 * TEST_TIMEOUT_S))
    assert not [pid for pid in children if psutil.pid_exists(pid)]


def test_the_line_has_all_that_it_is_to_have(tmp_path: Path) -> None:
    small = Plan(
        destinations=(100, 200, 400),
        slices=(10, 20, 40),
        relays=(4, 8, 16),
        members=(),
        registries=1,
        real=1,
        each=8,
        changes=1,
        steady=2.2,
        settle=0.0,
        spans=None,
        together=True,
    )
    peak = Peak()
    line = asyncio.run(guarded(measure(small, None), peak))
    assert (line["relays"], line["destinations"]) == (16, 400)
    for limit in LIMITS:
        assert figure(line, limit.at) is not None, limit
    assert line["over_budget"] == over_budget(line)
    assert not [name for name in line["over_budget"] if name.endswith("?")]
    told = {name: slope for name, slope in line["slopes"].items() if slope["error"] is not None}
    assert line["prediction_error"] == max(slope["error"] for slope in told.values())
    assert set(told) == set(line["slopes"])
    assert line["in_force_s"]["counted"] == 2 * 16  # one change as they came to be 16, one undisturbed
    assert "missing" not in line["in_force_s"]
    json.dumps(line, allow_nan=False)
    assert peak.processes >= 6
    assert peak.mb > 100


def test_children_end_where_a_run_fails(tmp_path: Path) -> None:
    children: list[int] = []

    async def scenario() -> None:
        async with Fleet(tmp_path, each=10) as fleet:
            await fleet.begin(10)
            await fleet.grow(2, 2, 5, 4, 0, 1)
            children.extend([fleet.discovery.pid, *(worker.pid for worker in fleet.hollow.workers)])
            raise RuntimeError("midway")

    with pytest.raises(RuntimeError, match="midway"):
        asyncio.run(scenario())
    assert len(children) == 2
    assert not [pid for pid in children if psutil.pid_exists(pid)]
