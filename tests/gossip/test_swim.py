"""Membership in a simulated fleet: relays that stop, restart, are partitioned or can't be reached."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from loftrelay.gossip.messages import MemberState
from loftrelay.gossip.swim_config import SwimConfig
from loftrelay.simulation.fleet import MS, SECOND, LinkFaults, SimulatedFleet

PROBE_INTERVAL_US = 200 * MS
CONFIG = SwimConfig(PROBE_INTERVAL_US, suspicion_timeout_us=1000 * MS)
# In a small fleet, a dead relay is probed within two rounds and suspected, is declared dead after three times
# the suspicion timeout if no relay confirms the suspicion, and is then reported to all relays.
CONVERGENCE_LIMIT_US = 20 * SECOND


def make_fleet(count: int, seed: int, links: LinkFaults | None = None, **options: int) -> SimulatedFleet:
    """Returns a fleet that has converged."""
    fleet = SimulatedFleet(count, seed, CONFIG, links, **options)
    run_until_converged(fleet)
    return fleet


def run_until_converged(fleet: SimulatedFleet, names: list[str] | None = None) -> None:
    fleet.run_while(lambda: not fleet.is_converged(names), CONVERGENCE_LIMIT_US)
    assert fleet.is_converged(names)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_membership_with_loss_declares_only_a_killed_relay_dead(seed: int, loss: float) -> None:
    fleet = make_fleet(12, seed, LinkFaults(loss=loss, duplication=loss, delay_us=(200, 40 * MS)))
    fleet.run(fleet.now_us + 30 * SECOND)
    assert fleet.false_deaths() == 0
    fleet.kill("r3")
    run_until_converged(fleet)
    assert fleet.false_deaths() == 0
    fleet.start("r3", fleet.relays["r3"].address)
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_membership_load_per_relay_does_not_grow_with_the_fleet(seed: int) -> None:
    rates = []
    for count in (16, 200):
        fleet = make_fleet(count, seed)
        sent_before, started_us = sum(relay.datagrams_sent for relay in fleet.relays.values()), fleet.now_us
        fleet.run(fleet.now_us + 4 * SECOND)
        sent = sum(relay.datagrams_sent for relay in fleet.relays.values()) - sent_before
        rates.append(sent / count / (fleet.now_us - started_us))
        assert fleet.false_deaths() == 0
    assert rates[1] <= 1.2 * rates[0]


def is_cut_from_r1_to_r2(sender: str, recipient: str) -> bool:
    return sender == "r1" and recipient == "r2"


def is_cut_to_r1(sender: str, recipient: str) -> bool:
    return recipient == "r1"


def is_cut_from_r1(sender: str, recipient: str) -> bool:
    return sender == "r1"


def is_cut_between_halves(sender: str, recipient: str) -> bool:
    return (int(sender[1:]) < 5) != (int(recipient[1:]) < 5)


def is_cut_except_through_r0(sender: str, recipient: str) -> bool:
    return is_cut_between_halves(sender, recipient) and "r0" not in (sender, recipient)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("is_cut", [is_cut_from_r1_to_r2, is_cut_except_through_r0])
def test_membership_partial_partition_is_bridged_by_indirect_probes(
    is_cut: Callable[[str, str], bool], seed: int
) -> None:
    fleet = make_fleet(9, seed)
    fleet.links.is_cut = is_cut
    fleet.run(fleet.now_us + 60 * SECOND)
    if is_cut is is_cut_except_through_r0:
        # Before r0 is found to be the relay that reaches both sides, one or two members are declared dead.
        assert fleet.false_deaths() <= 3
        run_until_converged(fleet)
        fleet.run(fleet.now_us + 60 * SECOND)
        assert fleet.is_converged()
        assert fleet.false_deaths() <= 3
    else:
        assert fleet.false_deaths() == 0


@pytest.mark.parametrize("seed", range(4))
def test_membership_isolated_relay_declares_no_member_dead(seed: int) -> None:
    fleet = make_fleet(9, seed)
    fleet.links.is_cut = is_cut_to_r1
    fleet.run(fleet.now_us + 60 * SECOND)
    others = [name for name in fleet.relays if name != "r1"]
    entries = fleet.relays["r1"].membership.members.values()
    assert not any(entry.peer.state is MemberState.DEAD for entry in entries)
    assert fleet.relays["r1"].membership.is_isolated(fleet.now_us)
    for name in others:
        declared_dead = {death.name for death in fleet.relays[name].declared_dead}
        assert declared_dead <= {"r1"}
    fleet.links.is_cut = lambda sender, recipient: False
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_membership_relay_whose_datagrams_are_lost_is_declared_dead_and_rejoins(seed: int) -> None:
    fleet = make_fleet(9, seed)
    fleet.links.is_cut = is_cut_from_r1
    others = [name for name in fleet.relays if name != "r1"]
    run_until_converged(fleet, others)
    fleet.links.is_cut = lambda sender, recipient: False
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_membership_partition_into_halves_heals(seed: int) -> None:
    fleet = make_fleet(10, seed)
    fleet.links.is_cut = is_cut_between_halves
    for half in (range(5), range(5, 10)):
        run_until_converged(fleet, [f"r{number}" for number in half])
    fleet.run(fleet.now_us + 10 * SECOND)
    fleet.links.is_cut = lambda sender, recipient: False
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(4))
def test_membership_resumed_relay_refutes_its_suspicion_and_declares_no_member_dead(seed: int) -> None:
    """Old datagrams are still in its socket, and all its probes have timed out."""
    fleet = make_fleet(9, seed)
    fleet.pause("r4")
    run_until_converged(fleet, [name for name in fleet.relays if name != "r4"])
    incarnation_id = fleet.relays["r4"].membership.local.peer.incarnation_id
    fleet.resume("r4")
    run_until_converged(fleet)
    assert fleet.relays["r4"].membership.local.peer.incarnation_id == incarnation_id
    assert not fleet.relays["r4"].declared_dead


@pytest.mark.parametrize("set_back_s", [0, 3600], ids=["correct-clock", "clock-set-back-1h"])
def test_membership_two_restarts_within_a_probe_interval_override_earlier_runs(set_back_s: int) -> None:
    """The restarted relay is no name conflict, even if the wall clock was set back meanwhile."""
    fleet = make_fleet(8, 1, start_ms=10_000_000)
    for _ in range(2):
        fleet.kill("r2")
        fleet.start(
            "r2", fleet.relays["r2"].address, start_ms=10_000_000 + fleet.now_us // MS - set_back_s * 1000
        )
        fleet.run(fleet.now_us + PROBE_INTERVAL_US // 3)
    run_until_converged(fleet)
    assert not fleet.relays["r2"].has_name_conflict
    fleet.run(fleet.now_us + 20 * SECOND)
    assert fleet.is_converged()


@pytest.mark.parametrize("seed", range(4))
def test_membership_one_of_two_relays_with_the_same_name_leaves(seed: int) -> None:
    fleet = make_fleet(6, seed)
    fleet.start("r2", ("127.0.0.1", 7999), key="r2-again")
    fleet.run_while(
        lambda: not any(relay.has_name_conflict for relay in fleet.relays.values()), CONVERGENCE_LIMIT_US
    )
    left = [key for key, relay in fleet.relays.items() if relay.has_name_conflict]
    assert len(left) == 1
    assert left[0] in ("r2", "r2-again")
    fleet.run(fleet.now_us + CONVERGENCE_LIMIT_US)
    known_incarnation_ids = {
        relay.membership.members["r2"].peer.incarnation_id
        for relay in fleet.relays.values()
        if "r2" in relay.membership.members
    }
    (remaining,) = {"r2", "r2-again"} - set(left)
    assert known_incarnation_ids == {fleet.relays[remaining].membership.local.peer.incarnation_id}


def test_membership_converges_with_seeds_that_start_late_or_stop() -> None:
    fleet = SimulatedFleet(0, 5, CONFIG, seeds=2)
    for number in range(1, 6):  # the first seed, r0, is missing
        fleet.start(f"r{number}", ("127.0.0.1", 7000 + number))
    run_until_converged(fleet)
    fleet.kill("r1")  # the other seed stops
    run_until_converged(fleet)
    fleet.run(fleet.now_us + 10 * SECOND)
    assert fleet.is_converged()
    fleet.start("r0", ("127.0.0.1", 7000))  # the first seed starts late
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(3))
def test_membership_converges_after_heavy_loss(seed: int) -> None:
    fleet = make_fleet(9, seed)
    fleet.links.loss = 0.4
    fleet.run(fleet.now_us + 60 * SECOND)
    fleet.links.loss = 0.0
    run_until_converged(fleet)


@pytest.mark.parametrize("seed", range(30))
def test_membership_converges_after_random_faults(seed: int) -> None:
    """Kills, pauses, cut links and loss at random; a failing seed can be replayed."""
    generator = random.Random(seed)
    fleet = make_fleet(8, seed, LinkFaults(loss=0.05, duplication=0.05, delay_us=(200, 30 * MS)))
    for _ in range(12):
        name = generator.choice(list(fleet.relays))
        match generator.randrange(4):
            case 0:
                fleet.kill(name)
                fleet.run(fleet.now_us + generator.randrange(3 * SECOND))
                fleet.start(name, fleet.relays[name].address)
            case 1:
                fleet.pause(name)
                fleet.run(fleet.now_us + generator.randrange(6 * SECOND))
                fleet.resume(name)
            case 2:
                side = {other for other in fleet.relays if generator.random() < 0.5}
                fleet.links.is_cut = lambda sender, recipient, side=side: (
                    sender in side and recipient not in side
                )  # type: ignore[misc]
            case 3:
                fleet.links.is_cut = lambda sender, recipient: False
        fleet.run(fleet.now_us + generator.randrange(2 * SECOND))
    fleet.links.is_cut, fleet.links.loss = lambda sender, recipient: False, 0.0
    fleet.run_while(lambda: not fleet.is_converged(), 60 * SECOND)
    assert fleet.is_converged()
    fleet.run(fleet.now_us + 10 * SECOND)
    assert fleet.is_converged()
