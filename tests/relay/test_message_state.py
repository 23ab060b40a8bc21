"""Tests of the message state machine: valid transitions, and the report of each invalid one."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from loftrelay.relay.message_state import TRANSITIONS, MessageStates, Stage

OPERATIONS: dict[str, Callable[[MessageStates, str], object]] = {
    "begin_storing": lambda states, message_id: states.begin_storing(message_id, ignore_response),
    "await_batch": lambda states, message_id: states.await_batch(message_id, ignore_response),
    "enqueue": lambda states, message_id: states.enqueue(message_id),
    "mark_admitted": lambda states, message_id: states.mark_admitted(),
    "begin_attempt": lambda states, message_id: states.begin_attempt(message_id, 7),
    "adopt_attempt": lambda states, message_id: states.adopt_attempt(message_id, "h", 5),
    "end_attempt": lambda states, message_id: states.end_attempt(message_id),
    "begin_settling": lambda states, message_id: states.begin_settling(message_id),
    "end_settling": lambda states, message_id: states.end_settling(message_id),
    "begin_responding": lambda states, message_id: states.begin_responding(message_id),
    "begin_recording_delivery": lambda states, message_id: states.begin_recording_delivery(message_id),
    "begin_recording_final_status": lambda states, message_id: states.begin_recording_final_status(
        message_id, {"status": "deferred"}
    ),
    "begin_reporting": lambda states, message_id: states.begin_reporting(message_id),
    "report_without_store": lambda states, message_id: states.report_without_store(message_id),
    "mark_recorded": lambda states, message_id: states.mark_recorded(message_id),
    "begin_recording_reported": lambda states, message_id: states.begin_recording_reported(message_id),
    "complete": lambda states, message_id: states.complete(message_id),
}
MESSAGE_IDS = ("m0", "m1", "m2", "m3")


def ignore_response(status: int, retry_after_ms: int) -> None:
    """Response callback of a client that does not look at its response."""


@pytest.mark.parametrize("seed", range(20))
def test_message_states_random_operations_keep_counts_and_report_invalid_transitions(
    seed: int,
) -> None:
    rng = random.Random(seed)
    reported: list[tuple[str, Stage | None, Stage | None]] = []
    states = MessageStates(lambda *transition: reported.append(transition))
    seen: set[tuple[Stage | None, Stage | None]] = set()
    for _ in range(3_000):
        message_id = f"m{rng.randrange(4)}"
        stages_before = {each: states.stage(each) for each in MESSAGE_IDS}
        reported.clear()
        OPERATIONS[rng.choice(list(OPERATIONS))](states, message_id)
        invalid = set(reported)
        for each, before in stages_before.items():
            after = states.stage(each)
            if after is not before:
                seen.add((before, after))
                assert ((each, before, after) in invalid) == (after not in TRANSITIONS[before])
        assert Counter(state.stage for state in states.by_message.values()) == +Counter(states.counts)
        assert all(
            state.sent_at is None for state in states.by_message.values() if state.stage is Stage.WAITING
        )
    valid = {(before, after) for before, stages in TRANSITIONS.items() for after in stages}
    assert len(valid & seen) > 0.9 * len(valid)
    assert len(seen - valid) > 10


def test_message_states_rejection_and_cancellation_return_each_callback_once() -> None:
    invalid: list[object] = []
    states = MessageStates(lambda *transition: invalid.append(transition))
    callbacks = {message_id: (lambda status, retry_after_ms: None) for message_id in "abc"}
    for message_id, respond in callbacks.items():
        states.await_batch(message_id, respond)
    assert states.begin_responding("b") is callbacks["b"]
    assert states.complete("c") is not None
    assert states.mark_admitted() == [callbacks["a"]]
    assert states.mark_admitted() == []
    assert states.begin_responding("a") is None
    assert states.stage("b") is Stage.RESPONDING
    assert not invalid
