"""Replays seeded fault schedules and compares actions, their times and counters with the record of 3e43f95.

The record holds hashes. The text of log lines is not part of it, only their times; test_subscription.py
checks the text.
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
from tests.discovery.registries import FakeEndpointList, FakeRegistry, SimulatedRelay

RECORDED: dict[str, str] = json.loads((Path(__file__).parent / "subscription_replay.json").read_text())
ADDRESSES = [("10.0.0.1", 7500), ("10.0.0.2", 7500), ("10.0.0.3", 7500)]
CHANNELS = {Channel.CHANGES: "changes", Channel.WATCH: "watch", Channel.FAILBACK_CHECK: "check"}


class RecordingRelay(SimulatedRelay):
    """Records every action with its time and the due time of the next tick."""

    def __init__(self, registries: list[FakeRegistry], timing: Timing, seed: int) -> None:
        super().__init__(registries, timing, seed)
        self.records: list[str] = []

    def _process_action(self, action: Action) -> None:
        self.records.append(f"{self.now!r} {self.subscription.due_at!r} {format_action(action)}")
        super()._process_action(action)


def format_action(action: Action) -> str:
    match action:
        case StartCall(channel, call_id, registry, target, wait):
            return f"call {CHANNELS[channel]} {call_id} {registry} {target} {wait!r}"
        case CancelCalls():
            return "cancel"
        case EntriesChanged(rows):
            fields = [
                (
                    entry.endpoint,
                    entry.destination,
                    entry.state.name,
                    entry.zone,
                    entry.kind,
                    entry.listed_rate,
                    address,
                )
                for entry, address in rows
            ]
            return f"entries {fields!r}"
        case DestinationResolved(destination, status):
            return f"resolved {destination} {status.name}"
        case ReleaseDestinations(destinations):
            return f"release {destinations!r}"
        case LogLine():
            return "log"


def change_random_endpoints(
    relay: RecordingRelay, endpoint_list: FakeEndpointList, registries: list[FakeRegistry], rng: random.Random
) -> None:
    states = [EndpointState.ACTIVE, EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED]
    for _ in range(rng.randrange(1, 5)):
        endpoint_list.set_endpoint(f"h{rng.randrange(40)}", 1 + rng.randrange(25), rng.choice(states))
    for registry in registries:
        if rng.random() < 0.7:
            registry.sync(relay.now, endpoint_list)


def run_random_step(
    relay: RecordingRelay, endpoint_list: FakeEndpointList, registries: list[FakeRegistry], rng: random.Random
) -> None:
    registry = rng.choice(registries)
    match rng.randrange(16):
        case 0 | 1 | 2:
            relay.look_up(*(1 + rng.randrange(30) for _ in range(rng.randrange(1, 12))))
        case 3 | 4 | 5:
            change_random_endpoints(relay, endpoint_list, registries, rng)
        case 6:
            registry.sync(relay.now, endpoint_list)
        case 7:
            registry.is_running = False
        case 8:
            registry.resume(relay.now)
        case 9:
            registry.is_down = not registry.is_down
            registry.lose_subscriptions()
        case 10:
            registry.lose_subscriptions()
        case 11:
            relay.subscription.pause()
            relay.process_actions()
            relay.advance(rng.random())
            relay.subscription.start(relay.now)
        case 12:
            relay.subscription.processing_failed(relay.now)
            relay.process_actions()
        case 13:
            registry.max_response_rows = rng.choice([2, 5, 1 << 30])
        case 14:
            relay.unreleasable = set(rng.sample(range(1, 31), 5))
            relay.subscription.mark_used(relay.now, 1 + rng.randrange(30))
        case _:  # discovery restarts its revisions
            if rng.random() < 0.2:
                endpoint_list.revision = 1
                endpoint_list.rows.clear()
                for other in registries:
                    other.lose_subscriptions()
    relay.advance(rng.choice([0.002, 0.01, 0.3, 1.0, 5.0, 20.0]) * rng.random())


def replay_hash(seed: int) -> str:
    rng = random.Random(seed)
    endpoint_list = FakeEndpointList()
    registries = [FakeRegistry(address) for address in ADDRESSES[: 1 + seed % 3]]
    timing = Timing(0.2, idle_after=rng.choice([5.0, 60.0]), capacity=rng.choice([6, 100]))
    relay = RecordingRelay(registries, timing, seed)
    relay.max_delay, relay.loss_rate, relay.duplicate_rate = (
        rng.choice([0.001, 0.5]),
        rng.choice([0.0, 0.1]),
        0.1,
    )
    change_random_endpoints(relay, endpoint_list, registries, rng)
    if seed % 4 == 0:
        rows = [row for row, _ in endpoint_list.rows.values()]
        relay.subscription.adopt(0.0, endpoint_list.revision, {row[0].destination for row in rows}, rows)
        for row in rows:
            relay.endpoints.setdefault(row[0].destination, {})[row[0].endpoint] = row
    relay.subscription.start(0.0)
    for _ in range(120):
        run_random_step(relay, endpoint_list, registries, rng)
    relay.records.append(f"{relay.now!r} {sorted(relay.subscription.counts.items())!r}")
    return sha256("\n".join(relay.records).encode()).hexdigest()


@pytest.mark.parametrize("seed", range(60))
def test_subscription_state_with_seeded_faults_returns_recorded_actions(seed: int) -> None:
    assert replay_hash(seed) == RECORDED[str(seed)]
