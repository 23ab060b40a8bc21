"""Snapshots: a scheduler restored from a snapshot decides like the original; malformed ones are rejected."""

from __future__ import annotations

import dataclasses
import json
import random
from dataclasses import replace

import pytest

from loftrelay.decisions import snapshot
from loftrelay.decisions.actions import Action, SendAttempt
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointDisabled,
    EndpointEnabled,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageSubmitted,
    TimerFired,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.snapshot_format import RecordFormat
from tests.decisions.harness import (
    CLASS_NAMES,
    CLASSES,
    MILLISECOND_US,
    SECOND_US,
    SETTINGS,
    START,
    make_entry,
    make_message,
)

STATUSES = list(AttemptStatus)
ENTRIES = [
    make_entry("a1"),
    make_entry("a2"),
    make_entry("b1", 2, kind="own_limits"),
    make_entry("b2", 2, kind="own_limits", zone="there"),
    make_entry("c1", 3, kind="batching"),
    make_entry("c2", 3, kind="batching"),
]


class EventGenerator:
    """Draws events from a seed; they depend only on the seed and on the actions of the scheduler."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = START
        self.in_flight: list[tuple[str, str]] = []  # messages in flight and their endpoints
        self.message_count = 0

    def events(self) -> list[Event]:
        rng, events = self.rng, list[Event]()
        self.now += rng.choice([5 * MILLISECOND_US, 20 * MILLISECOND_US, 300 * MILLISECOND_US, 2 * SECOND_US])
        for _ in range(rng.randrange(4)):
            self.message_count += 1
            name = rng.choice(CLASS_NAMES)
            key = f"k{rng.randrange(3)}" if CLASSES[name].is_ordered else None
            events.append(
                MessageSubmitted(
                    f"m{self.message_count}",
                    rng.randrange(1, 4),
                    name,
                    "t",
                    rng.randrange(1, 20) * SECOND_US,
                    key,
                )
            )
        for message, endpoint in rng.sample(self.in_flight, rng.randrange(len(self.in_flight) + 1)):
            self.in_flight.remove((message, endpoint))
            status = rng.choice([AttemptStatus.OK, *STATUSES])
            retry_after = (
                400 * MILLISECOND_US if status is AttemptStatus.REJECTED and rng.random() < 0.5 else 0
            )
            is_final = status is AttemptStatus.OK
            events.append(
                AttemptEnded(
                    message, 0, endpoint, status, 30 * MILLISECOND_US, is_final, retry_after, None, None, 0
                )
            )
        if rng.random() < 0.2:
            changed = replace(rng.choice(ENTRIES), state=rng.choice(list(EndpointState)))
            events.append(EndpointListReceived(EndpointListKind.DELTA, (changed,)))
        if rng.random() < 0.1:
            operator_events: list[Event] = [EndpointDisabled("a1"), EndpointEnabled("a1"), TimerFired(0)]
            events.append(rng.choice(operator_events))
        return events

    def record_actions(self, actions: list[Action]) -> None:
        self.in_flight += [
            (action.message_id, action.endpoint) for action in actions if isinstance(action, SendAttempt)
        ]


@pytest.mark.parametrize("seed", range(25))
def test_restored_scheduler_decides_like_original(seed: int) -> None:
    scheduler, generator = Scheduler(seed, SETTINGS), EventGenerator(seed)
    scheduler.handle_batch(generator.now, [EndpointListReceived(EndpointListKind.FULL, tuple(ENTRIES))])
    for _ in range(60):
        generator.record_actions(scheduler.handle_batch(generator.now, generator.events()))
    pending = [make_message("last", time_remaining=9 * SECOND_US)]
    restored, events = snapshot.read(snapshot.write(scheduler, pending), seed=1)
    assert events == pending
    assert scheduler.state.messages
    assert set(restored.state.messages) == set(scheduler.state.messages)
    scheduler.state.random, restored.state.random = random.Random(5), random.Random(5)
    scheduler.state.timer_set_for = restored.state.timer_set_for
    for _ in range(60):
        events = generator.events()
        actions = scheduler.handle_batch(generator.now, events)
        assert restored.handle_batch(generator.now, events) == actions
        generator.record_actions(actions)


def test_restored_state_keeps_shared_objects() -> None:
    scheduler = Scheduler(1, SETTINGS)
    scheduler.handle_batch(START, [EndpointListReceived(EndpointListKind.FULL, tuple(ENTRIES))])
    scheduler.handle_batch(
        START,
        [
            make_message(f"m{i}", "ordered_at_most_once", time_remaining=9 * SECOND_US, ordering_key="k")
            for i in range(3)
        ],
    )
    restored, _ = snapshot.read(snapshot.write(scheduler), 1)
    assert (
        restored.state.endpoints["a1"].call_limiter
        is restored.state.endpoints["a2"].call_limiter
        is restored.state.destinations[1].call_limiter
    )
    assert (
        restored.state.messages["m1"].ordering_key
        is restored.state.ordering_keys["k"]
        is restored.state.messages["m2"].ordering_key
    )
    assert [message.name for message in restored.state.ordering_keys["k"].pending] == ["m0", "m1", "m2"]
    assert restored.state.messages["m0"].call is not None
    assert (
        restored.state.messages["m0"].call.endpoint
        is restored.state.endpoints[restored.state.messages["m0"].call.endpoint.name]
    )


def write_small_snapshot() -> str:
    """Returns the snapshot of a scheduler with one endpoint and one message in flight."""
    scheduler = Scheduler(1, SETTINGS)
    scheduler.handle_batch(START, [EndpointListReceived(EndpointListKind.FULL, (ENTRIES[0],))])
    scheduler.handle_batch(START, [make_message("m", time_remaining=9 * SECOND_US)])
    return snapshot.write(scheduler)


def test_truncated_snapshot_is_rejected() -> None:
    text = write_small_snapshot()
    for size in range(0, len(text), 7):
        with pytest.raises(snapshot.SnapshotError):
            snapshot.read(text[:size], 1)


@pytest.mark.parametrize(
    "change",
    [
        {"shape": "other"},
        {"root": {"t": [7, []]}},
        {"root": {"t": [{"r": 0}, 7]}},
        {"root": {"x": []}},
        {"root": {"e": ["Result", "NONE"]}},
        {"root": {"r": 9999}},
        {"rows": [["Popen", "sh"]]},
        {"rows": [["Rate", 1]]},
        {"rows": 7},
    ],
)
def test_malformed_snapshot_is_rejected(change: dict[str, object]) -> None:
    with pytest.raises(snapshot.SnapshotError):
        snapshot.read(json.dumps({**json.loads(write_small_snapshot()), **change}), 1)


def test_snapshot_with_unlisted_type_is_not_written() -> None:
    scheduler = Scheduler(1, SETTINGS)
    scheduler.state.disabled_endpoints = {object()}  # type: ignore[arg-type]
    with pytest.raises(TypeError, match="cannot be stored in a snapshot"):
        snapshot.write(scheduler)


def test_fingerprint_changes_with_record_fields(monkeypatch: pytest.MonkeyPatch) -> None:
    before = snapshot.fingerprint()
    more = RecordFormat(dataclasses.make_dataclass("More", ["field"]), {"field": "Any"})
    records = {**snapshot.RECORDS, "more": more}
    monkeypatch.setattr(snapshot, "RECORDS", records)
    snapshot.fingerprint.cache_clear()
    try:
        assert snapshot.fingerprint() != before
    finally:
        snapshot.fingerprint.cache_clear()
