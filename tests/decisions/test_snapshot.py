"""A module written down and read again goes on as if nothing had happened."""

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
from tests.decisions.world import CLASSES, MILLISECOND_US, SECOND_US, SETTINGS, START, make_entry

RESULTS = list(AttemptStatus)
HOSTS = [
    make_entry("a1"),
    make_entry("a2"),
    make_entry("b1", 2, kind="apart"),
    make_entry("b2", 2, kind="apart", zone="there"),
    make_entry("c1", 3, kind="bundled"),
    make_entry("c2", 3, kind="bundled"),
]


class Play:
    """Draws events from a seed; what happens depends on them and on the module's actions alone."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = START
        self.out: list[tuple[str, str]] = []  # messages that were sent, and where to
        self.number = 0

    def events(self) -> list[Event]:
        draw, events = self.random, list[Event]()
        self.now += draw.choice(
            [5 * MILLISECOND_US, 20 * MILLISECOND_US, 300 * MILLISECOND_US, 2 * SECOND_US]
        )
        for _ in range(draw.randrange(4)):
            self.number += 1
            name = draw.choice(sorted(CLASSES))
            key = f"k{draw.randrange(3)}" if CLASSES[name].is_ordered else None
            events.append(
                MessageSubmitted(
                    f"m{self.number}", draw.randrange(1, 4), name, "t", draw.randrange(1, 20) * SECOND_US, key
                )
            )
        for message, host in draw.sample(self.out, draw.randrange(len(self.out) + 1)):
            self.out.remove((message, host))
            result = draw.choice([AttemptStatus.OK, *RESULTS])
            wait = 400 * MILLISECOND_US if result is AttemptStatus.REJECTED and draw.random() < 0.5 else 0
            over = result is AttemptStatus.OK
            events.append(
                AttemptEnded(message, 0, host, result, 30 * MILLISECOND_US, over, wait, None, None, 0)
            )
        if draw.random() < 0.2:
            changed = replace(draw.choice(HOSTS), state=draw.choice(list(EndpointState)))
            events.append(EndpointListReceived(EndpointListKind.DELTA, (changed,)))
        if draw.random() < 0.1:
            by_hand: list[Event] = [EndpointDisabled("a1"), EndpointEnabled("a1"), TimerFired(0)]
            events.append(draw.choice(by_hand))
        return events

    def heard(self, actions: list[Action]) -> None:
        self.out += [(a.message_id, a.endpoint) for a in actions if isinstance(a, SendAttempt)]


@pytest.mark.parametrize("seed", range(25))
def test_it_goes_on_as_the_one_that_was_written(seed: int) -> None:
    module, play = Scheduler(seed, SETTINGS), Play(seed)
    module.handle_batch(play.now, [EndpointListReceived(EndpointListKind.FULL, tuple(HOSTS))])
    for _ in range(60):
        play.heard(module.handle_batch(play.now, play.events()))
    waiting = [MessageSubmitted("last", 1, "safe", None, 9 * SECOND_US, None)]
    other, events = snapshot.read(snapshot.write(module, waiting), seed=1)
    assert events == waiting
    assert module.state.messages
    assert set(other.state.messages) == set(module.state.messages)
    module.state.random, other.state.random = random.Random(5), random.Random(5)
    module.state.timer_set_for = other.state.timer_set_for
    for _ in range(60):
        events = play.events()
        actions = module.handle_batch(play.now, events)
        assert other.handle_batch(play.now, events) == actions
        play.heard(actions)


def test_what_is_shared_stays_shared() -> None:
    module = Scheduler(1, SETTINGS)
    module.handle_batch(START, [EndpointListReceived(EndpointListKind.FULL, tuple(HOSTS))])
    module.handle_batch(
        START, [MessageSubmitted(f"m{i}", 1, "strict", None, 9 * SECOND_US, "k") for i in range(3)]
    )
    other, _ = snapshot.read(snapshot.write(module), 1)
    assert (
        other.state.endpoints["a1"].gate
        is other.state.endpoints["a2"].gate
        is other.state.destinations[1].gate
    )
    assert (
        other.state.messages["m1"].ordering_key
        is other.state.ordering_keys["k"]
        is other.state.messages["m2"].ordering_key
    )
    assert [message.name for message in other.state.ordering_keys["k"].pending] == ["m0", "m1", "m2"]
    assert other.state.messages["m0"].call is not None
    assert (
        other.state.messages["m0"].call.endpoint
        is other.state.endpoints[other.state.messages["m0"].call.endpoint.name]
    )


def written() -> str:
    module = Scheduler(1, SETTINGS)
    module.handle_batch(START, [EndpointListReceived(EndpointListKind.FULL, (HOSTS[0],))])
    module.handle_batch(START, [MessageSubmitted("m", 1, "safe", None, 9 * SECOND_US, None)])
    return snapshot.write(module)


def test_cut_off_anywhere_it_is_no_snapshot() -> None:
    text = written()
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
def test_what_is_no_module_is_turned_away(change: dict[str, object]) -> None:
    with pytest.raises(snapshot.SnapshotError):
        snapshot.read(json.dumps({**json.loads(written()), **change}), 1)


def test_only_listed_types_can_be_written() -> None:
    module = Scheduler(1, SETTINGS)
    module.state.disabled_endpoints = {object()}  # type: ignore[arg-type]
    with pytest.raises(TypeError, match="cannot be stored in a snapshot"):
        snapshot.write(module)


def test_the_fingerprint_tells_fields_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    before = snapshot.fingerprint()
    more = RecordFormat(dataclasses.make_dataclass("More", ["field"]), {"field": "Any"})
    records = {**snapshot.RECORDS, "more": more}
    monkeypatch.setattr(snapshot, "RECORDS", records)
    snapshot.fingerprint.cache_clear()
    try:
        assert snapshot.fingerprint() != before
    finally:
        snapshot.fingerprint.cache_clear()
