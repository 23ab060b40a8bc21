"""Random valid event sequences: checks scheduler invariants on every action, without simulated endpoints."""

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
from tests.decisions.harness import (
    CLASS_NAMES,
    CLASSES,
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    make_entry,
)

NOT_RUN_STATUSES = (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT)
ENTRIES = [
    make_entry("a"),
    make_entry("b", zone="there"),
    make_entry("c", 2, kind="own_limits"),
    make_entry("d", 2, "there", kind="own_limits"),
    make_entry("e", 3, kind="batching"),
]
DESTINATION = {entry.endpoint: entry.destination for entry in ENTRIES}
ZONE = {entry.endpoint: entry.zone for entry in ENTRIES}
STEP = st.tuples(
    st.sampled_from(["submit", "outcome", "outcome", "wait", "list", "cancel"]),
    st.integers(0, 999),
    st.integers(0, 3 * SECOND_US),
    st.sampled_from(list(AttemptStatus)),
)


class InvariantChecker:
    """Runs steps against a scheduler and asserts the invariants on every action."""

    def __init__(self, steps: list[tuple[str, int, int, AttemptStatus]]) -> None:
        self.driver = SchedulerDriver(*ENTRIES, max_attempts=5)
        self.submissions: dict[str, MessageSubmitted] = {}
        self.deadlines: dict[str, int] = {}
        self.ended: dict[str, int] = {}
        self.in_flight: dict[tuple[str, int], tuple[int, SendAttempt]] = {}
        self.attempt_counts: dict[str, int] = {}
        self.uncertain: dict[str, tuple[int, str]] = {}
        self.blocked_until: dict[object, int] = {}
        self.listed = dict.fromkeys(DESTINATION, True)
        self.trace: list[Action] = []
        for step in steps:
            self.step(*step)
        for _ in range(400):
            if not self.in_flight and self.driver.timer_at is None:
                break
            self.step("outcome" if self.in_flight else "wait", 0, 3 * SECOND_US, AttemptStatus.TIMEOUT)
        missing = set(self.submissions) - set(self.ended)
        assert not missing, f"messages without an end: {missing}"

    def limits_scope(self, endpoint: str) -> object:
        """Returns what the limits of an endpoint apply to: the endpoint, or the whole destination."""
        return endpoint if endpoint in "cde" else DESTINATION[endpoint]

    def step(self, kind: str, pick: int, delay: int, status: AttemptStatus) -> None:
        due_times = [sent_at + attempt.timeout for sent_at, attempt in self.in_flight.values()]
        due_times += [self.driver.timer_at] if self.driver.timer_at is not None else []
        now = min([self.driver.now + delay, *due_times])
        events: list[Event] = []
        for key, (at, sent) in sorted(self.in_flight.items()):
            if at + sent.timeout <= now:
                events.append(self.make_outcome(key, AttemptStatus.TIMEOUT, now))
        if kind == "submit":
            name = f"m{len(self.submissions)}"
            class_name = CLASS_NAMES[pick % len(CLASS_NAMES)]
            self.submissions[name] = MessageSubmitted(
                name,
                pick % 3 + 1,
                class_name,
                None,
                500 * MILLISECOND_US + pick * 9 * MILLISECOND_US,
                f"k{pick % 2}",
            )
            self.deadlines[name] = now + self.submissions[name].time_remaining
            events.append(self.submissions[name])
        elif kind == "outcome" and self.in_flight:
            events.append(self.make_outcome(sorted(self.in_flight)[pick % len(self.in_flight)], status, now))
        elif kind == "list":
            name = sorted(DESTINATION)[pick % len(DESTINATION)]
            self.listed[name] = pick % 2 == 0
            state = EndpointState.ACTIVE if self.listed[name] else EndpointState.DRAINING
            events.append(
                EndpointListReceived(
                    EndpointListKind.DELTA,
                    (replace(next(entry for entry in ENTRIES if entry.endpoint == name), state=state),),
                )
            )
        elif kind == "cancel" and self.submissions:
            name = sorted(self.submissions)[pick % len(self.submissions)]
            events.append(MessageCancelled(name))
            self.ended.setdefault(name, now)
        actions = self.driver.run_batch(*events, after=now - self.driver.now)
        self.trace += actions
        for action in actions:
            self.check_action(action, now)

    def make_outcome(self, key: tuple[str, int], status: AttemptStatus, now: int) -> AttemptEnded:
        at, sent = self.in_flight.pop(key)
        if status not in NOT_RUN_STATUSES:
            self.uncertain.setdefault(key[0], (at, sent.endpoint))
        if status is AttemptStatus.OK:
            self.ended.setdefault(key[0], now)
        retry_after = SECOND_US if status is AttemptStatus.REJECTED else 0
        if retry_after:
            self.blocked_until[self.limits_scope(sent.endpoint)] = now + retry_after
        if (
            status in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECTION_LOST, AttemptStatus.CANCELLED)
            and CLASSES[self.submissions[key[0]].class_name].is_ordered
        ):
            self.start_cooldown(key[0], now + 300 * MILLISECOND_US)
        return AttemptEnded(
            key[0], key[1], sent.endpoint, status, now - at, key[0] in self.ended, retry_after, None, None
        )

    def start_cooldown(self, name: str, until: int) -> None:
        self.blocked_until[("key", self.submissions[name].ordering_key, name)] = until

    def check_action(self, action: Action, now: int) -> None:
        if isinstance(action, FailMessage | RejectMessage):
            name = action.message_id
            assert name not in self.ended, f"message {name} ended twice"
            assert now <= self.deadlines[name] + 20 * MILLISECOND_US, (
                f"message {name} ended after its deadline"
            )
            self.ended[name] = now
            if isinstance(action, RejectMessage):
                semantics, scope = self.semantics_and_scope(name)
                is_safe_to_resend = (
                    name not in self.uncertain
                    or semantics is DeliverySemantics.IDEMPOTENT
                    or (semantics, scope) == (DeliverySemantics.DEDUPLICATED, "all")
                )
                assert is_safe_to_resend, f"message {name} was rejected but may have run"
        if isinstance(action, SendAttempt):
            self.check_send(action, now)

    def semantics_and_scope(self, name: str) -> tuple[DeliverySemantics, str | None]:
        message_class = CLASSES[self.submissions[name].class_name]
        return message_class.semantics, message_class.dedup_scope

    def check_send(self, send: SendAttempt, now: int) -> None:
        name, submission = send.message_id, self.submissions[send.message_id]
        assert name not in self.ended, f"message {name} was sent after its end"
        assert not any(key[0] == name for key in self.in_flight), f"message {name} has two attempts in flight"
        assert DESTINATION[send.endpoint] == submission.destination
        assert self.listed[send.endpoint], f"{send.endpoint} is draining"
        assert self.blocked_until.get(self.limits_scope(send.endpoint), 0) <= now, (
            f"{send.endpoint} is blocked by a Retry-After"
        )
        assert 0 < send.timeout <= self.deadlines[name] - now
        semantics, scope = self.semantics_and_scope(name)
        if name in self.uncertain:
            at, where = self.uncertain[name]
            assert semantics in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED), (
                f"message {name} may take effect twice"
            )
            if semantics is DeliverySemantics.DEDUPLICATED:
                assert now < at + 5 * SECOND_US, f"message {name} was repeated after its dedup window"
                assert scope == "all" or ZONE[where] == ZONE[send.endpoint], (
                    f"message {name} was repeated outside its zone"
                )
        if CLASSES[submission.class_name].is_ordered:
            for other in self.submissions:
                if other == name or int(other[1:]) > int(name[1:]):
                    continue
                if (
                    CLASSES[self.submissions[other].class_name].is_ordered
                    and self.submissions[other].ordering_key == submission.ordering_key
                ):
                    assert other in self.ended and not any(k[0] == other for k in self.in_flight), (
                        f"message {name} was sent before {other} ended"
                    )
                    if name not in self.attempt_counts:
                        assert self.blocked_until.get(("key", submission.ordering_key, other), 0) <= now, (
                            f"message {name} was sent during the cooldown of its ordering key"
                        )
        number = self.attempt_counts.get(name, 0)
        self.attempt_counts[name] = number + 1
        assert number < 5, f"message {name} has too many attempts"
        self.in_flight[name, number] = (now, send)


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(st.lists(STEP, max_size=60))
def test_scheduler_keeps_invariants_on_random_events(
    steps: list[tuple[str, int, int, AttemptStatus]],
) -> None:
    assert len(InvariantChecker(steps).ended) >= sum(step[0] == "submit" for step in steps)


SCRIPT = """
from tests.decisions.test_properties import AttemptStatus, InvariantChecker
kinds, statuses = ["submit", "outcome", "outcome", "wait", "list"], list(AttemptStatus)
steps = [(kinds[i * 7 % 5], i * 37 % 1000, i * 90001 % 700000, statuses[i * 5 % 8]) for i in range(200)]
print(InvariantChecker(steps).trace)
"""


@pytest.mark.parametrize("seed", ["1", "4242"])
def test_scheduler_actions_do_not_depend_on_hash_seed(seed: str) -> None:
    def trace(hash_seed: str) -> str:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT], env=env, capture_output=True, text=True, check=True
        )
        return completed.stdout

    first = trace("0")
    assert "SendAttempt(" in first
    assert first == trace(seed)
