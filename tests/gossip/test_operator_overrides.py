"""Operators' overrides: however they travel, all relays hold the same ones in the end."""

from __future__ import annotations

import random

import pytest

from loftrelay.gossip.operator_overrides import MAX_HOSTS, OperatorOverride, Overrides


@pytest.mark.parametrize("seed", range(60))
def test_overrides_converge_over_faulty_links(seed: int) -> None:
    """Datagrams are lost, duplicated and reordered, clocks are off by hours, and relays lose their state. An
    override that was given with knowledge of all others holds everywhere."""
    chance = random.Random(seed)
    names = [f"r{n}" for n in range(6)]
    relays = {name: Overrides(name, chance.getrandbits(32)) for name in names}
    clocks = {name: chance.randrange(-3_600_000, 3_600_000) for name in names}
    halves = {name: chance.randrange(2) for name in names}
    in_transit: list[tuple[str, list[OperatorOverride]]] = []
    now = 1_800_000_000_000
    for step in range(600):
        now += chance.randrange(50)
        name = chance.choice(names)
        match chance.randrange(8):
            case 0:
                relays[name].set_local(f"h{chance.randrange(4)}", chance.random() < 0.5, now + clocks[name])
            case 1 if chance.random() < 0.05:
                relays[name] = Overrides(name, chance.getrandbits(32))  # its stored state is lost
            case _:
                other = chance.choice(names)
                if step > 300 or halves[name] == halves[other]:
                    in_transit.append((other, relays[name].next_broadcasts(5)))
        if in_transit and chance.random() < 0.7:
            to, sent = in_transit.pop(chance.randrange(len(in_transit)))
            if chance.random() < 0.6:
                relays[to].merge(sent)
    last = relays["r0"].set_local("h0", True, now + clocks["r0"]) or relays["r0"].by_host["h0"]
    for _ in range(300):
        for name in names:
            relays[chance.choice(names)].merge(
                relays[name].next_broadcasts(5) if chance.random() < 0.6 else []
            )
    assert all(overrides.by_host == relays["r0"].by_host for overrides in relays.values())
    assert relays["r0"].by_host["h0"].precedence >= last.precedence


def test_override_replaces_the_one_its_operator_saw_whatever_the_clock() -> None:
    early, late = Overrides("early", 1), Overrides("late", 2)
    first = late.set_local("h", True, 10_000_000)
    assert first is not None
    assert early.merge([first, first]) == [first]
    second = early.set_local("h", False, 5)  # its clock is far behind
    assert second is not None
    assert late.merge([second]) == [second]
    assert not late.by_host["h"].is_disabled
    assert late.merge([first]) == []
    assert late.set_local("h", False, 11_000_000) is None


def test_disabled_host_without_a_stored_override_yields_to_any_override() -> None:
    overrides = Overrides("a", 1)
    overrides.restore([OperatorOverride("h1", False, 7, "b")], ["h0", "h1"])
    assert overrides.by_host["h0"].stamp == 0
    assert not overrides.by_host["h1"].is_disabled
    back, absurd = OperatorOverride("h0", False, 1, "z"), OperatorOverride("h2", True, 1 << 60, "z")
    assert overrides.merge([back, absurd]) == [back]


def test_table_is_bounded_and_evicts_enabled_hosts_first() -> None:
    overrides = Overrides("a", 1)
    for n in range(3 * MAX_HOSTS):
        overrides.set_local(f"h{n}", n % 4 == 0, n)
    assert len(overrides.by_host) == MAX_HOSTS
    assert all(f"h{n}" in overrides.by_host for n in range(2 * MAX_HOSTS, 3 * MAX_HOSTS, 4))
    assert overrides.broadcasts.keys <= set(overrides.by_host)
