"""Random legal event sequences: the rules hold on the actions. Judges invariants only; models no servers."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loftrelay.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageCancelled,
    MessageSubmitted,
)
from loftrelay.decisions.settings import DeliverySemantics
from tests.decisions.world import CLASSES, MILLISECOND_US, SECOND_US, SchedulerDriver, make_entry

PROVEN = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
ENTRIES = [
    make_entry("a"),
    make_entry("b", zone="there"),
    make_entry("c", 2, kind="apart"),
    make_entry("d", 2, "there", kind="apart"),
    make_entry("e", 3, kind="bundled"),
]
DESTINATION = {e.endpoint: e.destination for e in ENTRIES}
ZONE = {e.endpoint: e.zone for e in ENTRIES}
STEP = st.tuples(
    st.sampled_from(["submit", "answer", "answer", "pass", "list", "withdraw"]),
    st.integers(0, 999),
    st.integers(0, 3 * SECOND_US),
    st.sampled_from(list(AttemptStatus)),
)


class Referee:
    """Plays steps into a Brain and asserts the rules on every action."""

    def __init__(self, steps: list[tuple[str, int, int, AttemptStatus]]) -> None:
        self.driver = SchedulerDriver(*ENTRIES, max_attempts=5)
        self.about: dict[str, MessageSubmitted] = {}
        self.due: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[int, SendAttempt]] = {}
        self.tries: dict[str, int] = {}
        self.ran: dict[str, tuple[int, str]] = {}
        self.wait: dict[object, int] = {}
        self.listed = dict.fromkeys(DESTINATION, True)
        self.rest = 0
        self.trace: list[Action] = []
        for step in steps:
            self.step(*step)
        for _ in range(400):
            if not self.out and self.driver.timer_at is None:
                break
            self.step("answer" if self.out else "pass", 0, 3 * SECOND_US, AttemptStatus.TIMEOUT)
        missing = set(self.about) - set(self.ended)
        assert not missing, f"lost: {missing}"

    def domain(self, endpoint: str) -> object:
        return endpoint if endpoint in "cde" else DESTINATION[endpoint]

    def step(self, what: str, pick: int, delay: int, result: AttemptStatus) -> None:
        limits = [at + s.timeout for at, s in self.out.values()]
        limits += [self.driver.timer_at] if self.driver.timer_at is not None else []
        now = min([self.driver.now + delay, *limits])
        events: list[Event] = []
        for key, (at, sent) in sorted(self.out.items()):
            if at + sent.timeout <= now:
                events.append(self.answer(key, AttemptStatus.TIMEOUT, now))
        if what == "submit":
            name = f"m{len(self.about)}"
            of = sorted(CLASSES)[pick % len(CLASSES)]
            self.about[name] = MessageSubmitted(
                name, pick % 3 + 1, of, None, 500 * MILLISECOND_US + pick * 9 * MILLISECOND_US, f"k{pick % 2}"
            )
            self.due[name] = now + self.about[name].time_remaining
            events.append(self.about[name])
        elif what == "answer" and self.out:
            events.append(self.answer(sorted(self.out)[pick % len(self.out)], result, now))
        elif what == "list":
            name = sorted(DESTINATION)[pick % len(DESTINATION)]
            self.listed[name] = pick % 2 == 0
            state = EndpointState.ACTIVE if self.listed[name] else EndpointState.DRAINING
            events.append(
                EndpointListReceived(
                    EndpointListKind.DELTA,
                    (replace(next(e for e in ENTRIES if e.endpoint == name), state=state),),
                )
            )
        elif what == "withdraw" and self.about:
            name = sorted(self.about)[pick % len(self.about)]
            events.append(MessageCancelled(name))
            self.ended.setdefault(name, now)
        actions = self.driver.run_batch(*events, after=now - self.driver.now)
        self.trace += actions
        for action in actions:
            self.judge(action, now)

    def answer(self, key: tuple[str, int], result: AttemptStatus, now: int) -> AttemptEnded:
        at, sent = self.out.pop(key)
        if result not in PROVEN:
            self.ran.setdefault(key[0], (at, sent.endpoint))
        if result is AttemptStatus.OK:
            self.ended.setdefault(key[0], now)
        wait = SECOND_US if result is AttemptStatus.REJECTED else 0
        if wait:
            self.wait[self.domain(sent.endpoint)] = now + wait
        if (
            result in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECTION_LOST, AttemptStatus.CANCELLED)
            and CLASSES[self.about[key[0]].class_name].is_ordered
        ):
            self.rest_of(key[0], now + 300 * MILLISECOND_US)
        return AttemptEnded(
            key[0], key[1], sent.endpoint, result, now - at, key[0] in self.ended, wait, None, None
        )

    def rest_of(self, name: str, until: int) -> None:
        self.wait[("key", self.about[name].ordering_key, name)] = until

    def judge(self, action: Action, now: int) -> None:
        if isinstance(action, FailMessage | RejectMessage):
            name = action.message_id
            assert name not in self.ended, "answered twice"
            assert now <= self.due[name] + 20 * MILLISECOND_US, "answered too late"
            self.ended[name] = now
            if isinstance(action, RejectMessage):
                effect, scope = self.effect(name)
                harmless = (
                    name not in self.ran
                    or effect is DeliverySemantics.IDEMPOTENT
                    or (effect, scope) == (DeliverySemantics.DEDUPLICATED, "all")
                )
                assert harmless, "refused what may have run"
        if isinstance(action, SendAttempt):
            self.judge_send(action, now)

    def effect(self, name: str) -> tuple[DeliverySemantics, str | None]:
        about = CLASSES[self.about[name].class_name]
        return about.semantics, about.dedup_scope

    def judge_send(self, send: SendAttempt, now: int) -> None:
        name, about = send.message_id, self.about[send.message_id]
        assert name not in self.ended, "sent after its end"
        assert not any(key[0] == name for key in self.out), "two attempts at once"
        assert DESTINATION[send.endpoint] == about.destination
        assert self.listed[send.endpoint], "sent to a draining endpoint"
        assert self.wait.get(self.domain(send.endpoint), 0) <= now, "a told wait was not kept"
        assert 0 < send.timeout <= self.due[name] - now
        effect, scope = self.effect(name)
        if name in self.ran:
            at, where = self.ran[name]
            assert effect in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED), (
                "an effect may happen twice"
            )
            if effect is DeliverySemantics.DEDUPLICATED:
                assert now < at + 5 * SECOND_US, "resent after its window"
                assert scope == "all" or ZONE[where] == ZONE[send.endpoint], "resent outside its zone"
        if CLASSES[about.class_name].is_ordered:
            for other in self.about:
                if other == name or int(other[1:]) > int(name[1:]):
                    continue
                if (
                    CLASSES[self.about[other].class_name].is_ordered
                    and self.about[other].ordering_key == about.ordering_key
                ):
                    assert other in self.ended and not any(k[0] == other for k in self.out), "out of order"
                    if name not in self.tries:
                        assert self.wait.get(("key", about.ordering_key, other), 0) <= now, (
                            "the key had to rest"
                        )
        number = self.tries.get(name, 0)
        self.tries[name] = number + 1
        assert number < 5, "more attempts than allowed"
        self.out[name, number] = (now, send)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(STEP, max_size=60))
def test_rules_hold_on_random_legal_events(steps: list[tuple[str, int, int, AttemptStatus]]) -> None:
    assert len(Referee(steps).ended) >= sum(step[0] == "submit" for step in steps)


SCRIPT = """
from tests.decisions.test_properties import AttemptStatus, Referee
kinds, results = ["submit", "answer", "answer", "pass", "list"], list(AttemptStatus)
steps = [(kinds[i * 7 % 5], i * 37 % 1000, i * 90001 % 700000, results[i * 5 % 8]) for i in range(200)]
print(Referee(steps).trace)
"""


@pytest.mark.parametrize("seed", ["1", "4242"])
def test_same_events_give_the_same_actions_whatever_the_hash_seed(seed: str) -> None:
    def trace(hash_seed: str) -> str:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT], env=env, capture_output=True, text=True, check=True
        )
        return done.stdout

    first = trace("0")
    assert "SendAttempt(" in first
    assert first == trace(seed)
