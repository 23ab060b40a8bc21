"""The stages of a message's life: what follows what, and that nothing else does unnoticed."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest

from loftrelay.relay.message_state import NEXT, Lives, Stage

STEPS: dict[str, Callable[[Lives, str], object]] = {
    "ask": lambda lives, m: lives.ask(m, lambda status, again: None),
    "enter": lambda lives, m: lives.enter(m, lambda status, again: None),
    "wait": lambda lives, m: lives.wait(m),
    "take": lambda lives, m: lives.take(),
    "send": lambda lives, m: lives.send(m, 7),
    "abroad": lambda lives, m: lives.abroad(m, "h", 5),
    "back": lambda lives, m: lives.back(m),
    "refuse": lambda lives, m: lives.refuse(m),
    "close": lambda lives, m: lives.close(m),
    "end": lambda lives, m: lives.end(m, {"status": "deferred"}),
    "tell": lambda lives, m: lives.tell(m),
    "tell_at_once": lambda lives, m: lives.tell_at_once(m),
    "over": lambda lives, m: lives.over(m),
}


@pytest.mark.parametrize("seed", range(20))
def test_any_order_of_steps_keeps_the_count_and_tells_each_fault(seed: int) -> None:
    chance = random.Random(seed)
    faults: list[tuple[str, Stage | None, Stage | None]] = []
    lives = Lives(lambda *fault: faults.append(fault))
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
                assert ((m, was, now) in told) == (now not in NEXT[was])
        assert Counter(life.stage for life in lives.of.values()) == +Counter(lives.numbers)
        assert all(life.sent_at is None for life in lives.of.values() if life.stage is Stage.WAITING)
    lawful = {(was, now) for was, after in NEXT.items() for now in after}
    assert len(lawful & seen) > 0.9 * len(lawful) and len(seen - lawful) > 10


def test_a_client_is_answered_once_and_by_one() -> None:
    faults: list[object] = []
    lives = Lives(lambda *fault: faults.append(fault))
    answers = {name: (lambda status, again: None) for name in "abc"}
    for name, answer in answers.items():
        lives.enter(name, answer)
    assert lives.refuse("b") is answers["b"] and lives.over("c") is not None
    assert lives.take() == [answers["a"]] and lives.take() == []
    assert lives.refuse("a") is None and lives.stage("b") is Stage.REFUSING and not faults
