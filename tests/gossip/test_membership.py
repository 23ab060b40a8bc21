"""Who is there, in virtual time: relays that stop, come back, are cut off or heard by nobody."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from loftrelay.gossip.swim import State, Timing
from loftrelay.simulation.links import MS, SECOND, Fleet, Links

BEAT, SUSPECT = 200 * MS, 1000 * MS
TIMING = Timing(BEAT, SUSPECT)
# A dead relay of a small fleet is found by its next probe (two rounds at the most), suspected, and gone after
# three times `suspect` where nobody else confirms it; then all hear of it.
FOUND = 20 * SECOND


def fleet(count: int, seed: int, links: Links | None = None, **more: int) -> Fleet:
    """Relays that have found each other."""
    made = Fleet(count, seed, TIMING, links, **more)
    made.run_while(lambda: not made.agreed(), FOUND)
    assert made.agreed()
    return made


def settle(f: Fleet, names: list[str] | None = None) -> None:
    f.run_while(lambda: not f.agreed(names), FOUND)
    assert f.agreed(names)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_dead_relay_is_found_and_nobody_else(seed: int, loss: float) -> None:
    f = fleet(12, seed, Links(loss=loss, doubled=loss, delay=(200, 40 * MS)))
    f.run(f.now + 30 * SECOND)
    assert f.false_gone() == 0
    f.kill("r3")
    settle(f)
    assert f.false_gone() == 0
    f.begin("r3", f.nodes["r3"].address)
    settle(f)


@pytest.mark.parametrize("seed", range(4))
def test_two_hundred_find_each_other_and_cost_no_more_than_sixteen(seed: int) -> None:
    sent = []
    for count in (16, 200):
        f = fleet(count, seed)
        before, began = sum(n.sent for n in f.nodes.values()), f.now
        f.run(f.now + 4 * SECOND)
        sent.append((sum(n.sent for n in f.nodes.values()) - before) / count / (f.now - began))
        assert f.false_gone() == 0
    assert sent[1] <= 1.2 * sent[0]


def one_way(here: str, there: str) -> bool:
    return here == "r1" and there == "r2"


def deaf(here: str, there: str) -> bool:
    return there == "r1"


def mute(here: str, there: str) -> bool:
    return here == "r1"


def halves(here: str, there: str) -> bool:
    return (int(here[1:]) < 5) != (int(there[1:]) < 5)


def bridge(here: str, there: str) -> bool:
    return halves(here, there) and "r0" not in (here, there)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("cut", [one_way, bridge])
def test_a_cut_with_a_way_round_puts_nobody_out(cut: Callable[[str, str], bool], seed: int) -> None:
    f = fleet(9, seed)
    f.links.cut = cut
    f.run(f.now + 60 * SECOND)
    if cut is bridge:  # which of the helpers it is has to be found first, and one or two were put out before
        assert f.false_gone() <= 3
        settle(f)
        f.run(f.now + 60 * SECOND)
        assert f.agreed()
        assert f.false_gone() <= 3
    else:
        assert f.false_gone() == 0


@pytest.mark.parametrize("seed", range(4))
def test_one_that_hears_nobody_accuses_nobody(seed: int) -> None:
    f = fleet(9, seed)
    f.links.cut = deaf
    f.run(f.now + 60 * SECOND)
    others = [name for name in f.nodes if name != "r1"]
    assert not any(p.state is State.GONE for k in f.nodes["r1"].view.known.values() for p in [k.peer])
    assert f.nodes["r1"].view.alone(f.now)
    for name in others:
        gone = {peer for _, peer, _ in f.nodes[name].gone}
        assert gone <= {"r1"}
    f.links.cut = lambda here, there: False
    settle(f)


@pytest.mark.parametrize("seed", range(4))
def test_one_that_nobody_hears_is_gone_for_all_and_comes_back(seed: int) -> None:
    f = fleet(9, seed)
    f.links.cut = mute
    others = [name for name in f.nodes if name != "r1"]
    settle(f, others)
    f.links.cut = lambda here, there: False
    settle(f)


@pytest.mark.parametrize("seed", range(4))
def test_two_halves_part_and_heal(seed: int) -> None:
    f = fleet(10, seed)
    f.links.cut = halves
    for half in ([f"r{n}" for n in range(5)], [f"r{n}" for n in range(5, 10)]):
        settle(f, half)
    f.run(f.now + 10 * SECOND)
    f.links.cut = lambda here, there: False
    settle(f)


@pytest.mark.parametrize("seed", range(4))
def test_a_late_riser_refutes_what_was_said_of_it_and_takes_no_other_for_gone(seed: int) -> None:
    """Its old datagrams are still in its socket, and all its probes have run out of time."""
    f = fleet(9, seed)
    f.stop("r4")
    settle(f, [name for name in f.nodes if name != "r4"])
    life = f.nodes["r4"].view.me.life
    f.go_on("r4")
    settle(f)
    assert f.nodes["r4"].view.me.life == life
    assert not f.nodes["r4"].gone


@pytest.mark.parametrize("back", [0, 3600], ids=["right", "an-hour-back"])
def test_restarted_twice_within_a_beat(back: int) -> None:
    """Also where the wall clock went back meanwhile: it rises above its earlier lives."""
    f = fleet(8, 1, start=10_000_000)
    for _ in range(2):
        f.kill("r2")
        f.begin("r2", f.nodes["r2"].address, start=10_000_000 + f.now // MS - back * 1000)
        f.run(f.now + BEAT // 3)
    settle(f)
    assert not f.nodes["r2"].contested
    f.run(f.now + 20 * SECOND)
    assert f.agreed()


@pytest.mark.parametrize("seed", range(4))
def test_of_two_by_one_name_one_stays_out(seed: int) -> None:
    f = fleet(6, seed)
    f.begin("r2", ("127.0.0.1", 7999), node="r2-again")
    f.run_while(lambda: not any(n.contested for n in f.nodes.values()), FOUND)
    out = [name for name, node in f.nodes.items() if node.contested]
    assert len(out) == 1
    assert out[0] in ("r2", "r2-again")
    f.run(f.now + FOUND)
    held = {n.view.known["r2"].peer.life for n in f.nodes.values() if "r2" in n.view.known}
    (stays,) = {"r2", "r2-again"} - set(out)
    assert held == {f.nodes[stays].view.me.life}


def test_a_seed_that_never_comes_and_seeds_that_are_gone() -> None:
    f = Fleet(0, 5, TIMING, seeds=2)
    for n in range(1, 6):  # the first seed never comes
        f.begin(f"r{n}", ("127.0.0.1", 7000 + n))
    settle(f)
    f.kill("r1")  # the other one goes
    settle(f)
    f.run(f.now + 10 * SECOND)
    assert f.agreed()
    f.begin("r0", ("127.0.0.1", 7000))  # the first comes late
    settle(f)


@pytest.mark.parametrize("seed", range(3))
def test_at_forty_percent_loss_all_find_each_other_again_once_it_is_over(seed: int) -> None:
    f = fleet(9, seed)
    f.links.loss = 0.4
    f.run(f.now + 60 * SECOND)
    f.links.loss = 0.0
    settle(f)


@pytest.mark.parametrize("seed", range(30))
def test_after_any_schedule_of_faults_all_agree_again(seed: int) -> None:
    """Kills, stops, cuts and loss at random; a failing seed plays again as it was."""
    chance = random.Random(seed)
    f = fleet(8, seed, Links(loss=0.05, doubled=0.05, delay=(200, 30 * MS)))
    for _ in range(12):
        name = chance.choice(list(f.nodes))
        match chance.randrange(4):
            case 0:
                f.kill(name)
                f.run(f.now + chance.randrange(3 * SECOND))
                f.begin(name, f.nodes[name].address)
            case 1:
                f.stop(name)
                f.run(f.now + chance.randrange(6 * SECOND))
                f.go_on(name)
            case 2:
                side = {n for n in f.nodes if chance.random() < 0.5}
                f.links.cut = lambda here, there, side=side: here in side and there not in side  # type: ignore[misc]
            case 3:
                f.links.cut = lambda here, there: False
        f.run(f.now + chance.randrange(2 * SECOND))
    f.links.cut, f.links.loss = lambda here, there: False, 0.0
    f.run_while(lambda: not f.agreed(), 60 * SECOND)
    assert f.agreed()
    f.run(f.now + 10 * SECOND)
    assert f.agreed()
