"""Absent or contradictory settings, the list, and the size of the module."""

from __future__ import annotations

import re
from pathlib import Path

from loftrelay.decisions.actions import FailMessage, RejectMessage, WatchEndpointList
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    MessageSubmitted,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import DeliverySemantics
from loftrelay.decisions.simulator import read_settings
from tests.decisions.world import MS, Driver, S, ends, entry, sends

ROOT = Path(__file__).parents[2]


def test_no_settings_at_all() -> None:
    brain = Scheduler(1, read_settings({}))
    brain.handle_batch(0, [EndpointListReceived(EndpointListKind.FULL, (entry("a"),))])
    actions = brain.handle_batch(
        1, [MessageSubmitted("m", 1, "x", "t", S, "k"), MessageSubmitted("n", 1, "x", None, S, None)]
    )
    assert sends(actions) == ["m"]  # one slot
    doubt = AttemptEnded("m", 0, "a", AttemptStatus.ERROR, 5, False, 0, None, None)
    assert ends(brain.handle_batch(9, [doubt])) == [(FailMessage, "m")]  # an unknown class counts as unsafe


def test_one_slot_and_one_attempt() -> None:
    d = Driver(entry("a"), max_concurrent_calls=1, max_attempts=1)
    assert sends(d.submit("m")) == ["m"]
    assert sends(d.submit("n")) == []
    assert ends(d.outcome("m", AttemptStatus.CONNECT_FAILED)) == [(RejectMessage, "m")]


def test_unknown_words_are_read_cautiously() -> None:
    config = {"classes": [{"name": "c", "effect": "perhaps"}], "discovery": "osmosis", "weight_kind": "live"}
    told = read_settings(config)
    assert told.classes["c"].semantics is DeliverySemantics.UNKNOWN
    assert not told.polls_endpoint_list


def test_watches_the_list_and_asks_again_ever_more_slowly() -> None:
    d = Driver(entry("a"), polls_endpoint_list=True)
    assert any(isinstance(a, WatchEndpointList) for a in d.log)
    gaps = []
    for _ in range(12):
        d.feed(EndpointListReceived(EndpointListKind.FAILED, ()))
        failed = d.now
        while not any(isinstance(a, WatchEndpointList) for a in d.run(20 * S)):
            assert d.now < failed + 20 * S
        gaps.append(d.now - failed)
    assert gaps[:3] == sorted(gaps[:3])
    assert gaps[0] >= 400 * MS
    # Neither too late for the 6 s in which a change counts as told, nor in step with other relays.
    assert all(S <= gap <= 2 * S for gap in gaps[2:])
    assert max(gaps[2:]) - min(gaps[2:]) > 200 * MS
    assert sends(d.submit("m")) == ["m"]  # the old list stands


def test_a_message_for_an_unlisted_destination_waits_for_it() -> None:
    d = Driver()
    assert not d.submit("m", destination=4)[:-1]
    assert sends(d.feed(EndpointListReceived(EndpointListKind.DELTA, (entry("x", 4),)), after=S)) == ["m"]


def test_a_long_backlog_is_pushed_out_before_it_fills_the_relay() -> None:
    d = Driver(entry("a"), max_open_messages=64)
    d.feed(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * S, None) for i in range(64)])
    assert len(ends(d.log)) == 8
    assert {kind for kind, _ in ends(d.log)} == {RejectMessage}


def test_a_relay_full_of_many_small_backlogs_keeps_places_free() -> None:
    """Trouble: messages behind many shut gates filled the relay, and clients were turned away before it."""
    d = Driver(*[entry(f"e{i}", i) for i in range(16)], max_open_messages=16)
    for i in range(16):
        d.submit(f"m{i}", destination=i)
        d.outcome(f"m{i}", AttemptStatus.REJECTED, wait=9 * S)
    assert len(d.brain.state.messages) <= 14
    assert len(ends(d.log)) >= 2


def test_readme_example_runs(capsys: object) -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    space: dict[str, object] = {}
    exec(compile(blocks[0], "README.md", "exec"), space)
    assert space["delivered"] == ["order-1"]
