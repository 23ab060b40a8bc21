"""The stages of a message's life: what follows what, and that nothing else does unnoticed."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from loftrelay.relay.message_state import TRANSITIONS, MessageStates, Stage

STEPS: dict[str, Callable[[MessageStates, str], object]] = {
    "ask": lambda lives, m: lives.begin_storing(m, lambda status, again: None),
    "enter": lambda lives, m: lives.await_answer(m, lambda status, again: None),
    "wait": lambda lives, m: lives.enqueue(m),
    "take": lambda lives, m: lives.answer_admitted(),
    "send": lambda lives, m: lives.begin_attempt(m, 7),
    "abroad": lambda lives, m: lives.adopt_attempt(m, "h", 5),
    "back": lambda lives, m: lives.end_attempt(m),
    "refuse": lambda lives, m: lives.begin_answering(m),
    "close": lambda lives, m: lives.begin_recording_delivery(m),
    "end": lambda lives, m: lives.begin_recording_final_status(m, {"status": "deferred"}),
    "tell": lambda lives, m: lives.begin_reporting(m),
    "tell_at_once": lambda lives, m: lives.report_without_store(m),
    "over": lambda lives, m: lives.complete(m),
}


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_steps_keeps_the_count_and_tells_each_fault(seed: int) -> None:
    chance = random.Random(seed)
    faults: list[tuple[str, Stage | None, Stage | None]] = []
    lives = MessageStates(lambda *fault: faults.append(fault))
    seen: set[tuple[Stage | None, Stage | None]] = set()
    for _ in range(3_000):
        message = f"m{chance.randrange(4)}"
        before = {m: lives.stage(m) for m in (f"m{i}" for i in range(4))}
        faults.clear()
        STEPS[chance.choice(list(STEPS))](lives, message)
        told = {(m, was, to) for m, was, to in faults}
        for m, was in before.items():
            now = lives.stage(m)
            if now is not was:
                seen.add((was, now))
                assert ((m, was, now) in told) == (now not in TRANSITIONS[was])
        assert Counter(life.stage for life in lives.by_message.values()) == +Counter(lives.counts)
        assert all(life.sent_at is None for life in lives.by_message.values() if life.stage is Stage.WAITING)
    lawful = {(was, now) for was, after in TRANSITIONS.items() for now in after}
    assert len(lawful & seen) > 0.9 * len(lawful)
    assert len(seen - lawful) > 10


def test_a_client_is_answered_once_and_by_one() -> None:
    faults: list[object] = []
    lives = MessageStates(lambda *fault: faults.append(fault))
    answers = {name: (lambda status, again: None) for name in "abc"}
    for name, answer in answers.items():
        lives.await_answer(name, answer)
    assert lives.begin_answering("b") is answers["b"]
    assert lives.complete("c") is not None
    assert lives.answer_admitted() == [answers["a"]]
    assert lives.answer_admitted() == []
    assert lives.begin_answering("a") is None
    assert lives.stage("b") is Stage.ANSWERING
    assert not faults
