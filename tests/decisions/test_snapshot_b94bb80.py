"""A snapshot written by commit b94bb80 is read completely and rewritten with the same bytes.

Guards the handover between versions: with a changed fingerprint, a successor drops the state of its
predecessor and calls an endpoint before the end of the Retry-After that the endpoint had sent.
"""

from __future__ import annotations

import dataclasses
import json
import re
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions import snapshot
from loftrelay.decisions.actions import SendAttempt
from loftrelay.decisions.events import Event, MessageSubmitted, TimerFired
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.snapshot_event_records import ENUMS

FIXTURES = Path(__file__).parents[1] / "fixtures" / "state_b94bb80"
SNAPSHOT = (FIXTURES / "snapshot.json").read_text().rstrip("\n")
EXPECTED: dict[str, Any] = json.loads((FIXTURES / "expected.json").read_text())
FINGERPRINT = "0184246a1d90783d"
SECOND_US = 1_000_000


def restore_snapshot() -> tuple[Scheduler, list[Event]]:
    return snapshot.read(SNAPSHOT, 1)


def test_fingerprint_is_that_of_b94bb80() -> None:
    assert snapshot.fingerprint() == FINGERPRINT
    assert json.loads(SNAPSHOT)["shape"] == FINGERPRINT


def test_fixture_contains_every_type_of_record() -> None:
    assert {row[0] for row in json.loads(SNAPSHOT)["rows"]} == set(snapshot.RECORDS)


def test_rewriting_the_snapshot_gives_the_same_bytes() -> None:
    scheduler, pending = restore_snapshot()
    scheduler.state.timer_set_for = EXPECTED["timer_set_for"]
    assert snapshot.write(scheduler, pending) == SNAPSHOT


def test_restored_state_equals_what_b94bb80_held() -> None:
    scheduler, pending = restore_snapshot()
    state = scheduler.state
    assert sorted(state.messages) == EXPECTED["messages"]
    assert [type(event).__name__ for event in pending] == EXPECTED["events"]
    assert state.disabled_endpoints == {"d1"}
    open_circuits = [
        number
        for number, destination in state.destinations.items()
        if destination.call_limiter.breaker.is_open
    ]
    assert open_circuits == EXPECTED["open_circuits"]
    cooldowns = {name: key.cooldown_until for name, key in state.ordering_keys.items()}
    assert cooldowns == EXPECTED["cooldowns"]
    assert state.destinations[7].call_limiter.retry_after_until == EXPECTED["retry_after_until"]
    limiters = [endpoint.call_limiter for endpoint in state.hibernated[6].endpoints.values()]
    assert [limiter.retry_after_until for limiter in limiters if limiter] == [
        EXPECTED["hibernated_retry_after_until"]
    ]


def test_restored_scheduler_waits_until_the_end_of_the_retry_after() -> None:
    scheduler, _ = restore_snapshot()
    now, end = EXPECTED["written_at"], EXPECTED["retry_after_until"]
    scheduler.handle_batch(now, [MessageSubmitted("new", 7, "safe", None, 80 * SECOND_US, None)])
    sent: list[tuple[int, str]] = []
    while now < end + 30 * SECOND_US and not sent:
        now += 50_000
        actions = scheduler.handle_batch(now, [TimerFired(0)])
        sent += [
            (now, action.endpoint)
            for action in actions
            if isinstance(action, SendAttempt) and action.endpoint == "r1"
        ]
    assert sent
    assert sent[0][0] >= end


@pytest.mark.parametrize("name", snapshot.RECORDS)
def test_format_lists_each_field_of_a_record_with_its_type(name: str) -> None:
    record = snapshot.RECORDS[name]

    def stored_type(annotation: str) -> str:
        return re.sub(r"\w+", lambda word: snapshot.STORED_TYPE_NAMES.get(word[0], word[0]), annotation)

    attributes = {record.attributes.get(field, field): type_ for field, type_ in record.fields.items()}
    fields = {field.name: stored_type(str(field.type)) for field in dataclasses.fields(record.type)}
    assert attributes == fields
    assert set(record.attributes) | set(record.left_out) <= set(record.fields)


@pytest.mark.parametrize("name", ENUMS)
def test_format_lists_each_member_of_an_enum(name: str) -> None:
    enum = ENUMS[name]
    assert sorted(enum.members.values()) == sorted(enum.type.__members__)
