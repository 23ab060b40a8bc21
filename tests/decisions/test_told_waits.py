"""Who is bound by a told wait, from when and until when, and what becomes of messages that it outlasts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loftrelay.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    SettingsChanged,
)
from tests.decisions.world import MS, Driver, S, ends, entry, sends


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_wait_heard_between_batches_binds_at_once(kind: str) -> None:
    """The whole destination, or the one endpoint where routes are apart."""
    d = Driver(entry("a", kind=kind), entry("b", kind=kind), entry("c", destination=2))
    d.brain.apply_retry_after(d.now, "a", 3 * S)
    bound = {name: d.brain.is_blocked(d.now + 3 * S - 1, name) for name in "abc"}
    assert bound == {"a": True, "b": kind == "plain", "c": False}
    assert not any(d.brain.is_blocked(d.now + 3 * S, name) for name in ("a", "b", "unknown"))
    actions = d.submit("m")
    assert [(a.message_id, a.endpoint) for a in actions if isinstance(a, SendAttempt)] == (
        [] if kind == "plain" else [("m", "b")]
    )


def test_of_several_waits_the_one_that_ends_last_binds() -> None:
    d = Driver(entry("a"))
    for wait, until in ((2 * S, 2 * S), (S, 2 * S), (0, 2 * S), (3 * S, 3 * S)):
        d.brain.apply_retry_after(d.now, "a", wait)
        assert d.brain.is_blocked(d.now + until - 1, "a")
        assert not d.brain.is_blocked(d.now + until, "a")


@pytest.mark.parametrize("message", ["gone", "ended"])
def test_a_wait_binds_whatever_became_of_its_message(message: str) -> None:
    """Its client left, it ended otherwise, or a process before this one had it."""
    d = Driver(entry("a"))
    d.warm()
    d.submit("ended")
    d.outcome("ended", AttemptStatus.OK)
    d.feed(AttemptEnded(message, 0, "a", AttemptStatus.REJECTED, 0, False, 2 * S, None, None))
    assert not sends(d.submit("m"))
    at = d.now
    while "m" not in sends(d.run(10 * S)):
        pass
    assert d.now >= at + 2 * S


def test_a_wait_outlives_the_listing_of_its_host() -> None:
    """Gone, listed again, draining and moved: whoever stands there under that id has told it."""
    for kind in ("plain", "apart"):
        d = Driver(entry("a", kind=kind), entry("b", 2))
        d.brain.apply_retry_after(d.now, "a", 3 * S)
        d.feed(EndpointListReceived(EndpointListKind.FULL, (entry("b", 2),)))
        d.feed(EndpointListReceived(EndpointListKind.DELTA, (entry("a", kind=kind),)))
        d.feed(SettingsChanged(replace(d.settings, max_concurrent_calls=3)))
        assert d.brain.is_blocked(d.now, "a")
        assert not sends(d.submit("m"))


def test_a_call_that_was_taken_back_costs_no_try_and_teaches_nothing() -> None:
    d = Driver(entry("a"), max_attempts=1)
    d.warm()
    gate = d.brain.state.endpoints["a"].gate
    gate.breaker.connection_failures, gate.breaker.consecutive_failures, gate.breaker.failed_at = (
        2,
        1,
        d.now - 1,
    )
    d.submit("m", "strict", ordering_key="k")
    d.submit("n", "strict", ordering_key="k")
    luck = list(d.brain.state.endpoints["a"].kind_stats.success_rate_after_failure)
    d.brain.apply_retry_after(d.now, "a", S)
    event = replace(d.outcome_event("m", AttemptStatus.NOT_SENT, over=False), postponed_for=1)
    assert not ends(d.feed(event))
    assert gate.window.in_flight == 0
    assert d.brain.state.calls_in_flight == 0
    assert (
        gate.breaker.connection_failures,
        gate.breaker.consecutive_failures,
        d.brain.state.endpoints["a"].kind_stats.success_rate_after_failure,
    ) == (2, 1, luck)
    at = d.now
    while not (sent := sends(d.run(20 * S))):
        pass
    assert sent == ["m"]
    assert d.now >= at + S


@pytest.mark.parametrize(("of", "ran", "end"), [("safe", False, RejectMessage), ("keyed", True, FailMessage)])
def test_a_message_that_all_told_waits_outlast_is_answered_at_once(
    of: str, ran: bool, end: type[Action]
) -> None:
    """Also one that comes while they last; clients are told when to come again, where that is allowed."""
    d = Driver(entry("a", kind="apart"), entry("b", kind="apart"), max_concurrent_calls=2)
    for name in ("x", "y"):
        d.submit(name, time_remaining=100 * S)
    d.submit("m", of, time_remaining=3 * S)
    assert "m" in d.brain.state.messages
    if ran:
        d.brain.state.messages["m"].first_attempt_at = d.now  # and its key is known to one zone alone
        d.brain.state.messages["m"].message_class = replace(
            d.brain.state.messages["m"].message_class, dedup_scope="zone"
        )
    d.brain.apply_retry_after(d.now, "a", 60 * S)
    d.submit("n", time_remaining=100 * S)
    assert "m" in d.brain.state.messages  # another route may take it yet
    d.brain.apply_retry_after(d.now, "b", 61 * S)
    actions = d.submit("o", time_remaining=2 * S)
    assert ends(actions) == [(end, "m"), (RejectMessage, "o")]
    assert "n" in d.brain.state.messages
    assert all(a.retry_after == 2 * S for a in actions if isinstance(a, RejectMessage))
    assert ends(d.submit("p", time_remaining=40 * S, after=MS)) == [(RejectMessage, "p")]
