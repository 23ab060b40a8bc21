"""Missing or unknown settings, requests for the endpoint list, load shedding, and the README example."""

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
from tests.decisions.harness import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    make_message,
    sent_messages,
)

ROOT = Path(__file__).parents[2]


def test_scheduler_without_settings_uses_defaults() -> None:
    scheduler = Scheduler(1, read_settings({}))
    scheduler.handle_batch(0, [EndpointListReceived(EndpointListKind.FULL, (make_entry("a"),))])
    actions = scheduler.handle_batch(
        1,
        [
            MessageSubmitted("m", 1, "x", "t", SECOND_US, "k"),
            make_message("n", "x", time_remaining=SECOND_US),
        ],
    )
    assert sent_messages(actions) == ["m"]  # one slot
    uncertain_outcome = AttemptEnded("m", 0, "a", AttemptStatus.ERROR, 5, False, 0, None, None)
    # An unknown class is handled as at-most-once.
    assert ended_messages(scheduler.handle_batch(9, [uncertain_outcome])) == [(FailMessage, "m")]


def test_one_slot_and_one_attempt_limit_calls_and_retries() -> None:
    driver = SchedulerDriver(make_entry("a"), max_concurrent_calls=1, max_attempts=1)
    assert sent_messages(driver.submit("m")) == ["m"]
    assert sent_messages(driver.submit("n")) == []
    assert ended_messages(driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)) == [(RejectMessage, "m")]


def test_unknown_setting_values_are_read_as_safest_option() -> None:
    config = {
        "classes": [{"name": "c", "effect": "unknown-effect"}],
        "discovery": "unknown-discovery",
        "weight_kind": "live",
    }
    relay_settings = read_settings(config)
    assert relay_settings.classes["c"].semantics is DeliverySemantics.UNKNOWN
    assert not relay_settings.polls_endpoint_list


def test_failed_list_request_is_retried_with_growing_delay() -> None:
    driver = SchedulerDriver(make_entry("a"), polls_endpoint_list=True)
    assert any(isinstance(action, WatchEndpointList) for action in driver.actions)
    delays = []
    for _ in range(12):
        driver.run_batch(EndpointListReceived(EndpointListKind.FAILED, ()))
        failed_at = driver.now
        while not any(
            isinstance(action, WatchEndpointList) for action in driver.advance_clock(20 * SECOND_US)
        ):
            assert driver.now < failed_at + 20 * SECOND_US
        delays.append(driver.now - failed_at)
    assert delays[:3] == sorted(delays[:3])
    assert delays[0] >= 400 * MILLISECOND_US
    # Early enough for the 6 s within which a list change must take effect, and not in step with other relays.
    assert all(SECOND_US <= delay <= 2 * SECOND_US for delay in delays[2:])
    assert max(delays[2:]) - min(delays[2:]) > 200 * MILLISECOND_US
    assert sent_messages(driver.submit("m")) == ["m"]  # the old list is still used


def test_message_for_unlisted_destination_waits_for_list_entry() -> None:
    driver = SchedulerDriver()
    assert not driver.submit("m", destination=4)[:-1]
    assert sent_messages(
        driver.run_batch(EndpointListReceived(EndpointListKind.DELTA, (make_entry("x", 4),)), after=SECOND_US)
    ) == ["m"]


def test_long_backlog_is_shed_before_relay_is_full() -> None:
    driver = SchedulerDriver(make_entry("a"), max_open_messages=64)
    driver.run_batch(*[make_message(f"m{i}") for i in range(64)])
    assert len(ended_messages(driver.actions)) == 8
    assert {kind for kind, _ in ended_messages(driver.actions)} == {RejectMessage}


def test_many_small_backlogs_are_shed_before_relay_is_full() -> None:
    """Guards against blocked messages of many destinations that fill up the relay for new messages."""
    driver = SchedulerDriver(*[make_entry(f"e{i}", i) for i in range(16)], max_open_messages=16)
    for i in range(16):
        driver.submit(f"m{i}", destination=i)
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED, retry_after=9 * SECOND_US)
    assert len(driver.scheduler.state.messages) <= 14
    assert len(ended_messages(driver.actions)) >= 2


def test_readme_example_runs(capsys: object) -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert len(blocks) == 1
    namespace: dict[str, object] = {}
    exec(compile(blocks[0], "README.md", "exec"), namespace)
    assert namespace["delivered"] == ["order-1"]
