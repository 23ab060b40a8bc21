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
from tests.decisions.world import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)

ROOT = Path(__file__).parents[2]


def test_no_settings_at_all() -> None:
    scheduler = Scheduler(1, read_settings({}))
    scheduler.handle_batch(0, [EndpointListReceived(EndpointListKind.FULL, (make_entry("a"),))])
    actions = scheduler.handle_batch(
        1,
        [
            MessageSubmitted("m", 1, "x", "t", SECOND_US, "k"),
            MessageSubmitted("n", 1, "x", None, SECOND_US, None),
        ],
    )
    assert sent_messages(actions) == ["m"]  # one slot
    doubt = AttemptEnded("m", 0, "a", AttemptStatus.ERROR, 5, False, 0, None, None)
    assert ended_messages(scheduler.handle_batch(9, [doubt])) == [
        (FailMessage, "m")
    ]  # an unknown class counts as unsafe


def test_one_slot_and_one_attempt() -> None:
    driver = SchedulerDriver(make_entry("a"), max_concurrent_calls=1, max_attempts=1)
    assert sent_messages(driver.submit("m")) == ["m"]
    assert sent_messages(driver.submit("n")) == []
    assert ended_messages(driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)) == [(RejectMessage, "m")]


def test_unknown_words_are_read_cautiously() -> None:
    config = {"classes": [{"name": "c", "effect": "perhaps"}], "discovery": "osmosis", "weight_kind": "live"}
    told = read_settings(config)
    assert told.classes["c"].semantics is DeliverySemantics.UNKNOWN
    assert not told.polls_endpoint_list


def test_watches_the_list_and_asks_again_ever_more_slowly() -> None:
    driver = SchedulerDriver(make_entry("a"), polls_endpoint_list=True)
    assert any(isinstance(a, WatchEndpointList) for a in driver.actions)
    gaps = []
    for _ in range(12):
        driver.run_batch(EndpointListReceived(EndpointListKind.FAILED, ()))
        failed = driver.now
        while not any(isinstance(a, WatchEndpointList) for a in driver.advance_clock(20 * SECOND_US)):
            assert driver.now < failed + 20 * SECOND_US
        gaps.append(driver.now - failed)
    assert gaps[:3] == sorted(gaps[:3])
    assert gaps[0] >= 400 * MILLISECOND_US
    # Neither too late for the 6 s in which a change counts as told, nor in step with other relays.
    assert all(SECOND_US <= gap <= 2 * SECOND_US for gap in gaps[2:])
    assert max(gaps[2:]) - min(gaps[2:]) > 200 * MILLISECOND_US
    assert sent_messages(driver.submit("m")) == ["m"]  # the old list stands


def test_a_message_for_an_unlisted_destination_waits_for_it() -> None:
    driver = SchedulerDriver()
    assert not driver.submit("m", destination=4)[:-1]
    assert sent_messages(
        driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("x", 4),)), after=SECOND_US)
    ) == ["m"]


def test_a_long_backlog_is_pushed_out_before_it_fills_the_relay() -> None:
    driver = SchedulerDriver(make_entry("a"), max_open_messages=64)
    driver.run_batch(*[MessageSubmitted(f"m{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(64)])
    assert len(ended_messages(driver.actions)) == 8
    assert {kind for kind, _ in ended_messages(driver.actions)} == {RejectMessage}


def test_a_relay_full_of_many_small_backlogs_keeps_places_free() -> None:
    """Trouble: messages behind many shut gates filled the relay, and clients were turned away before it."""
    driver = SchedulerDriver(*[make_entry(f"e{i}", i) for i in range(16)], max_open_messages=16)
    for i in range(16):
        driver.submit(f"m{i}", destination=i)
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED, retry_after=9 * SECOND_US)
    assert len(driver.scheduler.state.messages) <= 14
    assert len(ended_messages(driver.actions)) >= 2


def test_readme_example_runs(capsys: object) -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    space: dict[str, object] = {}
    exec(compile(blocks[0], "README.md", "exec"), space)
    assert space["delivered"] == ["order-1"]
