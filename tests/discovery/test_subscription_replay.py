"""Replays seeded schedules of faults: actions, their times and the counters as recorded at 3e43f95, by hash.

The wording of log lines is checked in test_subscription.py, so that only their time counts here.
"""

from __future__ import annotations

import json
import random
from hashlib import sha256
from pathlib import Path

import pytest

from loftrelay.decisions.events import EndpointState
from loftrelay.discovery.subscription import Timing
from loftrelay.discovery.subscription_actions import (
    Action,
    CancelCalls,
    Channel,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    StartCall,
)
from tests.discovery.registries import List, Registry, Relay

RECORDED: dict[str, str] = json.loads((Path(__file__).parent / "subscription_replay.json").read_text())
PLACES = [("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)]
CHANNELS = {Channel.CHANGES: "changes", Channel.WATCH: "watch", Channel.FAILBACK_CHECK: "check"}


class RecordingRelay(Relay):
    """Writes every action down, with its time and when the next tick is due."""

    def __init__(self, registries: list[Registry], timing: Timing, seed: int) -> None:
        super().__init__(registries, timing, seed)
        self.record: list[str] = []

    def _do(self, action: Action) -> None:
        self.record.append(f"{self.now!r} {self.subscription.due_at!r} {render(action)}")
        super()._do(action)


def render(action: Action) -> str:
    match action:
        case StartCall(channel, number, registry, target, wait):
            return f"call {CHANNELS[channel]} {number} {registry} {target} {wait!r}"
        case CancelCalls():
            return "cancel"
        case EntriesChanged(rows):
            fields = [
                (e.endpoint, e.destination, e.state.name, e.zone, e.kind, e.listed_rate, a) for e, a in rows
            ]
            return f"entries {fields!r}"
        case DestinationResolved(destination, state):
            return f"resolved {destination} {state.name}"
        case ReleaseDestinations(destinations):
            return f"release {destinations!r}"
        case LogLine():
            return "log"


def change_list(relay: RecordingRelay, told: List, registries: list[Registry], chance: random.Random) -> None:
    states = [EndpointState.ACTIVE, EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED]
    for _ in range(chance.randrange(1, 5)):
        told.set(f"h{chance.randrange(40)}", 1 + chance.randrange(25), chance.choice(states))
    for registry in registries:
        if chance.random() < 0.7:
            registry.hear(relay.now, told)


def step(relay: RecordingRelay, told: List, registries: list[Registry], chance: random.Random) -> None:
    registry = chance.choice(registries)
    match chance.randrange(16):
        case 0 | 1 | 2:
            relay.want(*(1 + chance.randrange(30) for _ in range(chance.randrange(1, 12))))
        case 3 | 4 | 5:
            change_list(relay, told, registries, chance)
        case 6:
            registry.hear(relay.now, told)
        case 7:
            registry.up = False
        case 8:
            registry.resume(relay.now)
        case 9:
            registry.dead = not registry.dead
            registry.start_anew()
        case 10:
            registry.start_anew()
        case 11:
            relay.subscription.pause()
            relay.do()
            relay.run(chance.random())
            relay.subscription.start(relay.now)
        case 12:
            relay.subscription.processing_failed(relay.now)
            relay.do()
        case 13:
            registry.most_rows = chance.choice([2, 5, 1 << 30])
        case 14:
            relay.busy = set(chance.sample(range(1, 31), 5))
            relay.subscription.mark_used(relay.now, 1 + chance.randrange(30))
        case _:  # discovery counts anew
            if chance.random() < 0.2:
                told.revision = 1
                told.rows.clear()
                for one in registries:
                    one.start_anew()
    relay.run(chance.choice([0.002, 0.01, 0.3, 1.0, 5.0, 20.0]) * chance.random())


def replay(seed: int) -> str:
    chance = random.Random(seed)
    told = List()
    registries = [Registry(place) for place in PLACES[: 1 + seed % 3]]
    timing = Timing(0.2, idle_after=chance.choice([5.0, 60.0]), capacity=chance.choice([6, 100]))
    relay = RecordingRelay(registries, timing, seed)
    relay.delay, relay.loss, relay.doubled = chance.choice([0.001, 0.5]), chance.choice([0.0, 0.1]), 0.1
    change_list(relay, told, registries, chance)
    if seed % 4 == 0:
        rows = [row for row, _ in told.rows.values()]
        relay.subscription.adopt(0.0, told.revision, {row[0].destination for row in rows}, rows)
        for row in rows:
            relay.hosts.setdefault(row[0].destination, {})[row[0].endpoint] = row
    relay.subscription.start(0.0)
    for _ in range(120):
        step(relay, told, registries, chance)
    relay.record.append(f"{relay.now!r} {sorted(relay.subscription.counts.items())!r}")
    return sha256("\n".join(relay.record).encode()).hexdigest()


@pytest.mark.parametrize("seed", range(60))
def test_seeded_schedule_gives_the_recorded_actions(seed: int) -> None:
    assert replay(seed) == RECORDED[str(seed)]
