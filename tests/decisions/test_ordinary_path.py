"""The design's own path: at once, then base times a growing power of two, inside a window."""

from dataclasses import replace
from itertools import pairwise

import pytest

from loftrelay.decisions.actions import Action, CloseIdleConnections, FailMessage, RejectMessage
from loftrelay.decisions.events import (
    AttemptStatus,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
)
from loftrelay.decisions.settings import Tenant
from tests.decisions.world import MS, Driver, S, ends, entry, sends


def test_first_send_is_immediate() -> None:
    assert sends(Driver(entry("a")).submit("m")) == ["m"]


def test_waits_double_from_half_a_second() -> None:
    d = Driver(entry("a"))
    d.warm(40)
    d.submit("m")
    waits = []
    for _ in range(4):
        d.outcome("m", AttemptStatus.ERROR)
        failed = d.now
        while not (actions := d.run(30 * S)) or sends(actions) != ["m"]:
            assert d.now < failed + 30 * S
        waits.append((d.now - failed) / S)
    assert [0.5 * 2**i <= w <= 0.5 * 2**i * 1.2 for i, w in enumerate(waits)] == [True] * 4, waits


def test_gives_up_at_the_told_cap() -> None:
    d = Driver(entry("a"), max_attempts=3)
    d.warm(12)
    d.submit("m")
    for left in (2, 1, 0):
        actions = d.outcome("m", AttemptStatus.ERROR)
        if left:
            assert not ends(actions)
            for _ in range(20):
                if sends(actions := d.run(10 * S)) == ["m"]:
                    break
            assert sends(actions) == ["m"]
    assert ends(actions) == [(RejectMessage, "m")]  # safe to come again
    assert sum(s.message_id == "m" for _, s in d.sent) == 3


def test_fails_at_once_when_time_left_covers_no_wait() -> None:
    d = Driver(entry("a"))
    d.submit("m", time_remaining=600 * MS)
    assert ends(d.outcome("m", AttemptStatus.ERROR, after=200 * MS)) == [(FailMessage, "m")]


def test_window_opens_from_one_and_is_share_capped() -> None:
    d = Driver(entry("a"))
    assert (
        len(sends(d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * S, None) for i in range(9)]))) == 1
    )
    for _ in range(30):
        for name in [n for n in d.brain.state.messages if d.brain.state.messages[n].call]:
            d.outcome(name, AttemptStatus.OK)
        d.submit(f"y{d.now}")
        d.submit(f"z{d.now}")
        assert d.brain.state.calls_in_flight <= 6  # three quarters of 8
    assert d.brain.state.destinations[1].gate.window.size >= 6


def test_a_sick_destination_holds_at_most_half() -> None:
    d = Driver(entry("a"))
    d.warm(12)
    d.brain.state.destinations[1].gate.slow_start.started_at = d.now
    d.brain.state.destinations[1].demand.value = 1000.0
    d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * S, None) for i in range(9)])
    assert d.brain.state.calls_in_flight == 4


def test_refusals_become_a_growing_pause_for_the_destination() -> None:
    d = Driver(entry("a"))
    d.warm()
    gate, pauses = d.brain.state.destinations[1].gate, []
    for i in range(4):
        assert sends(d.submit(f"m{i}")) == [f"m{i}"]
        d.outcome(f"m{i}", AttemptStatus.REJECTED)
        pauses.append(gate.next_attempt_at - d.now)
        assert not sends(d.submit(f"n{i}"))  # a fresh message must wait, too
        d.feed(MessageCancelled(f"m{i}"), MessageCancelled(f"n{i}"))
        d.now = max(gate.next_attempt_at, d.now + 5 * S)
    assert pauses[0] >= S // 2
    assert all(later > 1.5 * earlier for earlier, later in pairwise(pauses))


def test_over_share_traffic_goes_behind() -> None:
    d = Driver(entry("a"), tenants={"t": Tenant("t", 2.0, 0.5), "u": Tenant("u", 2.0, 0.5)}, relay_count=1)
    d.feed(*[MessageSubmitted(f"t{i}", 1, "safe", "t", 20 * S, None) for i in range(12)])
    d.submit("u0", tenant="u")
    first = d.sent[0][1].message_id
    assert sends(d.outcome(first, AttemptStatus.OK))[0] != "t11"
    assert d.brain.state.messages["t11"].priority_weight < d.brain.state.messages["u0"].priority_weight == 1.0


def test_bundles_share_one_call_and_one_slot() -> None:
    d = Driver(entry("a", kind="bundled"))
    out = sends(d.feed(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * S, None) for i in range(9)]))
    assert len(out) == 5
    assert d.brain.state.calls_in_flight == 1
    d.feed(*[d.outcome_event(name, AttemptStatus.OK) for name in out])
    assert d.brain.state.calls_in_flight == 1  # the next call, with the other four
    assert len(d.sent) == 9


def test_an_unsafe_message_passes_an_endpoint_that_failed_last() -> None:
    """It went back to a dead endpoint each time the pause was over, though a sibling was sound."""
    for seed in range(10):
        d = Driver(entry("a"), entry("b"), seed=seed)
        d.warm()
        d.submit("m", "unsafe")
        dead = d.sent[-1][1].endpoint
        d.outcome("m", AttemptStatus.CONNECT_FAILED)
        d.outcome("m", AttemptStatus.OK)
        d.run(20 * S)
        d.submit("n", "unsafe")
        assert [s.endpoint for _, s in d.sent if s.message_id in ("m", "n")].count(dead) == 1


def test_a_spoilt_answer_is_no_failure_of_the_destination() -> None:
    """It may have run, so an unsafe message fails; but the host is up, and the next message goes at once."""
    d = Driver(entry("a"))
    d.submit("first")
    assert ends(d.submit("m", "unsafe")) == []
    d.outcome("first", AttemptStatus.OK)
    assert ends(d.outcome("m", AttemptStatus.MALFORMED_RESPONSE)) == [(FailMessage, "m")]
    assert sends(d.submit("next")) == ["next"]
    d.outcome("next", AttemptStatus.MALFORMED_RESPONSE)
    for name in ("third", "fourth"):  # nothing but spoilt answers: from here on they narrow the window
        assert sends(d.submit(name)) == [name]
        d.outcome(name, AttemptStatus.MALFORMED_RESPONSE)
    assert sends(d.submit("last")) == []


def test_a_reset_of_a_kept_connection_is_no_failure_of_the_destination() -> None:
    d = Driver(entry("a"))
    d.warm()
    gate = d.brain.state.destinations[1].gate
    window = gate.window.size
    for i in range(3):
        d.submit(f"m{i}", "unsafe")
        d.feed(replace(d.outcome_event(f"m{i}", AttemptStatus.CONNECTION_LOST), connection_idle=20 * MS))
        assert (gate.window.size == window) == (i < 2)  # three in a row do tell of the host
    d.run(20 * S)
    d.warm()
    window = gate.window.size
    d.submit("new", "unsafe")
    d.feed(replace(d.outcome_event("new", AttemptStatus.CONNECTION_LOST), connection_idle=0))
    assert gate.window.size < window


def test_resets_right_after_an_answer_teach_no_idle_limit() -> None:
    """Hosts that close right after an answer made the module open a connection for each call, for good."""
    d = Driver(entry("a"))
    d.warm(20)
    for i in range(5):
        d.submit(f"m{i}", after=50 * MS)
        d.outcome(f"m{i}", AttemptStatus.CONNECTION_LOST)
        d.run(5 * S)
        d.outcome(f"m{i}", AttemptStatus.OK)
    d.log.clear()
    d.submit("next", after=500 * MS)
    assert sends(d.log) == ["next"]
    assert not any(isinstance(a, CloseIdleConnections) for a in d.log)


def test_a_call_cut_off_by_its_deadline_tells_nothing_of_its_host() -> None:
    """Trials went with the message nearest its deadline, ran out of time at once, and shut it again."""
    d = Driver(entry("a"))
    for i in range(4):
        d.submit(f"m{i}", time_remaining=S // 10)
        d.outcome(f"m{i}", AttemptStatus.TIMEOUT, after=S // 10)
    assert sends(d.submit("next")) == ["next"]


def bundle_driver() -> Driver:
    """Calls take 0.4 s; the next one is opened by `away`."""
    d = Driver(entry("a", kind="bundled"))
    for i in range(8):
        d.submit(f"warm{i}")
        d.outcome(f"warm{i}", AttemptStatus.OK, after=400 * MS)
    return d


def away(d: Driver, state: EndpointState) -> list[Action]:
    return d.feed(EndpointListReceived(EndpointListKind.DELTA, (entry("a", kind="bundled", state=state),)))


@pytest.mark.parametrize("leads", [True, False])
def test_a_message_near_its_end_takes_no_unsafe_ones_with_it(leads: bool) -> None:
    """A bundle is given up with the first of its messages; one that must not go again fails then."""
    d = bundle_driver()
    away(d, EndpointState.DRAINING)
    d.submit("short", time_remaining=S // 2, after=0)
    d.submit("order1", "unsafe")
    d.submit("order2", "unsafe")
    d.submit("update", time_remaining=20 * S)
    d.brain.state.messages["short" if leads else "order1"].priority_weight = 9.0
    went = sends(away(d, EndpointState.ACTIVE))
    calls = {m: d.brain.state.messages[m].call for m in went}
    assert "short" in went
    assert calls["short"] is not calls.get("order1")
    assert calls["short"] is not calls.get("order2")
    if leads:
        assert calls["update"] is calls["short"]  # it can go again
    else:
        assert calls["order1"] is calls["order2"] is calls["update"]


@pytest.mark.parametrize("result", [AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED])
def test_a_bundle_cut_off_by_one_message_tells_nothing_of_its_host(result: AttemptStatus) -> None:
    """It lived for as long as that one: 140 such calls in 5 s were held against hosts."""
    d = bundle_driver()
    gate = d.brain.state.endpoints["a"].gate
    window, closed = gate.window.size, len(d.log)
    away(d, EndpointState.DRAINING)
    d.submit("short", time_remaining=S // 2)
    d.brain.state.messages["short"].priority_weight = 9.0
    d.submit("update")
    assert set(sends(away(d, EndpointState.ACTIVE))) == {"short", "update"}
    d.feed(*(d.outcome_event(m, result, after=100 * MS) for m in ("short", "update")), after=100 * MS)
    assert gate.window.size == window
    assert gate.breaker.consecutive_failures == 0
    assert not any(isinstance(a, CloseIdleConnections) for a in d.log[closed:])


def test_a_destination_seldom_used_is_tried_again_in_time() -> None:
    """The less was known of its demand the longer it was shut: for minutes, and after a restart for good."""
    for seed in range(5):
        d = Driver(entry("a"), seed=seed)
        d.submit("m", after=600 * S)
        d.outcome("m", AttemptStatus.CONNECT_FAILED)
        assert sends(d.run(15 * S)) == ["m"]


def test_after_a_restart_one_near_its_end_takes_no_unsafe_ones_with_it() -> None:
    """Seen: sent in one call with one that had 30 ms left, and given up with it at half of its time."""
    d = Driver(entry("a", kind="bundled"))
    near, order = (
        MessageRecovered(MessageSubmitted(name, 1, of, None, left, None), S, 0, None, None, is_ended=False)
        for name, of, left in (("near", "keyed", 30 * MS), ("order", "unsafe", S))
    )
    d.feed(near, order)
    calls = {name: d.brain.state.messages[name].call for name in ("near", "order")}
    assert calls["near"] is not calls["order"]
    assert any(calls.values())
