"""Who is bound by a told wait, from when and until when, and what becomes of messages that it outlasts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from loftrelay.decisions import interface as api
from loftrelay.decisions.interface import Result
from tests.decisions.world import MS, Driver, S, ends, entry, sends


@pytest.mark.parametrize("kind", ["plain", "apart"])
def test_a_wait_heard_between_batches_binds_at_once(kind: str) -> None:
    """The whole destination, or the one endpoint where routes are apart."""
    d = Driver(entry("a", kind=kind), entry("b", kind=kind), entry("c", destination=2))
    d.brain.bind(d.now, "a", 3 * S)
    bound = {name: d.brain.bound(d.now + 3 * S - 1, name) for name in "abc"}
    assert bound == {"a": True, "b": kind == "plain", "c": False}
    assert not any(d.brain.bound(d.now + 3 * S, name) for name in ("a", "b", "unknown"))
    actions = d.submit("m")
    assert [(a.message, a.endpoint) for a in actions if isinstance(a, api.Send)] == (
        [] if kind == "plain" else [("m", "b")]
    )


def test_of_several_waits_the_one_that_ends_last_binds() -> None:
    d = Driver(entry("a"))
    for wait, until in ((2 * S, 2 * S), (S, 2 * S), (0, 2 * S), (3 * S, 3 * S)):
        d.brain.bind(d.now, "a", wait)
        assert d.brain.bound(d.now + until - 1, "a") and not d.brain.bound(d.now + until, "a")


@pytest.mark.parametrize("message", ["gone", "ended"])
def test_a_wait_binds_whatever_became_of_its_message(message: str) -> None:
    """Its client left, it ended otherwise, or a process before this one had it."""
    d = Driver(entry("a"))
    d.warm()
    d.submit("ended")
    d.outcome("ended", Result.OK)
    d.feed(api.Outcome(message, 0, "a", Result.FULL, 0, False, 2 * S, None, None))
    assert not sends(d.submit("m"))
    at = d.now
    while "m" not in sends(d.run(10 * S)):
        pass
    assert d.now >= at + 2 * S


def test_a_wait_outlives_the_listing_of_its_host() -> None:
    """Gone, listed again, draining and moved: whoever stands there under that id has told it."""
    for kind in ("plain", "apart"):
        d = Driver(entry("a", kind=kind), entry("b", 2))
        d.brain.bind(d.now, "a", 3 * S)
        d.feed(api.Listing(api.Form.FULL, (entry("b", 2),)))
        d.feed(api.Listing(api.Form.CHANGES, (entry("a", kind=kind),)))
        d.feed(api.Retuned(replace(d.settings, slots=3)))
        assert d.brain.bound(d.now, "a") and not sends(d.submit("m"))


def test_a_call_that_was_taken_back_costs_no_try_and_teaches_nothing() -> None:
    d = Driver(entry("a"), max_attempts=1)
    d.warm()
    gate = d.brain.endpoints["a"].gate
    gate.strays, gate.failures, gate.failed_at = 2, 1, d.now - 1
    d.submit("m", "strict", order_key="k")
    d.submit("n", "strict", order_key="k")
    luck = list(d.brain.endpoints["a"].kin.luck)
    d.brain.bind(d.now, "a", S)
    event = replace(d.outcome_event("m", Result.NOT_SENT, over=False), postponed=1)
    assert not ends(d.feed(event)) and gate.in_flight == 0 and d.brain.calls_out == 0
    assert (gate.strays, gate.failures, d.brain.endpoints["a"].kin.luck) == (2, 1, luck)
    at = d.now
    while not (sent := sends(d.run(20 * S))):
        pass
    assert sent == ["m"] and d.now >= at + S  # in its key's order, and with the one try that it has


@pytest.mark.parametrize(("of", "ran", "end"), [("safe", False, api.Refuse), ("keyed", True, api.Fail)])
def test_a_message_that_all_told_waits_outlast_is_answered_at_once(
    of: str, ran: bool, end: type[api.Action]
) -> None:
    """Also one that comes while they last; clients are told when to come again, where that is allowed."""
    d = Driver(entry("a", kind="apart"), entry("b", kind="apart"), slots=2)
    for name in ("x", "y"):
        d.submit(name, remaining=100 * S)
    d.submit("m", of, remaining=3 * S)
    assert "m" in d.brain.messages
    if ran:
        d.brain.messages["m"].ran_at = d.now  # and its key is known to one zone alone
        d.brain.messages["m"].about = replace(d.brain.messages["m"].about, scope="zone")
    d.brain.bind(d.now, "a", 60 * S)
    d.submit("n", remaining=100 * S)
    assert "m" in d.brain.messages  # another route may take it yet
    d.brain.bind(d.now, "b", 61 * S)
    actions = d.submit("o", remaining=2 * S)
    assert ends(actions) == [(end, "m"), (api.Refuse, "o")] and "n" in d.brain.messages
    assert all(a.retry_in == 2 * S for a in actions if isinstance(a, api.Refuse))
    assert ends(d.submit("p", remaining=40 * S, after=MS)) == [(api.Refuse, "p")]
