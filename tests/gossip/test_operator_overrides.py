"""Operators' overrides: convergence over faulty links, precedence, and the limit of the table."""

from __future__ import annotations

import random

import pytest

from loftrelay.gossip.operator_overrides import MAX_HOSTS, OperatorOverride, Overrides


@pytest.mark.parametrize("seed", range(60))
def test_overrides_exchanged_over_faulty_links_converge(seed: int) -> None:
    """Datagrams are lost, duplicated and reordered, clocks are off by up to an hour, relays lose their state.

    In the end all relays have the same overrides, and the latest one is in force unless it was superseded.
    """
    generator = random.Random(seed)
    names = [f"r{number}" for number in range(6)]
    relays = {name: Overrides(name, generator.getrandbits(32)) for name in names}
    clocks = {name: generator.randrange(-3_600_000, 3_600_000) for name in names}
    partitions = {name: generator.randrange(2) for name in names}
    in_transit: list[tuple[str, list[OperatorOverride]]] = []
    now_ms = 1_800_000_000_000
    for step in range(600):
        now_ms += generator.randrange(50)
        name = generator.choice(names)
        match generator.randrange(8):
            case 0:
                relays[name].set_local(
                    f"h{generator.randrange(4)}", generator.random() < 0.5, now_ms + clocks[name]
                )
            case 1 if generator.random() < 0.05:
                relays[name] = Overrides(
                    name, generator.getrandbits(32)
                )  # a relay that lost its stored state
            case _:
                other = generator.choice(names)
                if step > 300 or partitions[name] == partitions[other]:
                    in_transit.append((other, relays[name].next_broadcasts(5)))
        if in_transit and generator.random() < 0.7:
            recipient, overrides_sent = in_transit.pop(generator.randrange(len(in_transit)))
            if generator.random() < 0.6:
                relays[recipient].merge(overrides_sent)
    last = relays["r0"].set_local("h0", True, now_ms + clocks["r0"]) or relays["r0"].by_host["h0"]
    for _ in range(300):
        for name in names:
            relays[generator.choice(names)].merge(
                relays[name].next_broadcasts(5) if generator.random() < 0.6 else []
            )
    assert all(overrides.by_host == relays["r0"].by_host for overrides in relays.values())
    assert relays["r0"].by_host["h0"].precedence >= last.precedence


def test_set_local_replaces_known_override_even_if_the_clock_is_behind() -> None:
    behind, ahead = Overrides("early", 1), Overrides("late", 2)
    first = ahead.set_local("h", True, 10_000_000)
    assert first is not None
    assert behind.merge([first, first]) == [first]
    second = behind.set_local("h", False, 5)  # its clock is far behind
    assert second is not None
    assert ahead.merge([second]) == [second]
    assert not ahead.by_host["h"].is_disabled
    assert ahead.merge([first]) == []
    assert ahead.set_local("h", False, 11_000_000) is None


def test_restore_disabled_host_without_override_gets_lowest_precedence() -> None:
    overrides = Overrides("a", 1)
    overrides.restore([OperatorOverride("h1", False, 7, "b")], ["h0", "h1"])
    assert overrides.by_host["h0"].stamp == 0
    assert not overrides.by_host["h1"].is_disabled
    valid, invalid = OperatorOverride("h0", False, 1, "z"), OperatorOverride("h2", True, 1 << 60, "z")
    assert overrides.merge([valid, invalid]) == [valid]


def test_overrides_over_the_limit_evict_enabled_hosts_first() -> None:
    overrides = Overrides("a", 1)
    for number in range(3 * MAX_HOSTS):
        overrides.set_local(f"h{number}", number % 4 == 0, number)
    assert len(overrides.by_host) == MAX_HOSTS
    retained = [f"h{number}" for number in range(2 * MAX_HOSTS, 3 * MAX_HOSTS, 4)]
    assert all(host in overrides.by_host for host in retained)
    assert overrides.broadcasts.keys <= set(overrides.by_host)
