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
from tests.decisions.world import (
    MILLISECOND_US,
    SECOND_US,
    SchedulerDriver,
    ended_messages,
    make_entry,
    sent_messages,
)


def test_first_send_is_immediate() -> None:
    assert sent_messages(SchedulerDriver(make_entry("a")).submit("m")) == ["m"]


def test_waits_double_from_half_a_second() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(40)
    driver.submit("m")
    waits = []
    for _ in range(4):
        driver.end_attempt("m", AttemptStatus.ERROR)
        failed = driver.now
        while not (actions := driver.advance_clock(30 * SECOND_US)) or sent_messages(actions) != ["m"]:
            assert driver.now < failed + 30 * SECOND_US
        waits.append((driver.now - failed) / SECOND_US)
    assert [0.5 * 2**i <= w <= 0.5 * 2**i * 1.2 for i, w in enumerate(waits)] == [True] * 4, waits


def test_gives_up_at_the_told_cap() -> None:
    driver = SchedulerDriver(make_entry("a"), max_attempts=3)
    driver.run_successful_calls(12)
    driver.submit("m")
    for left in (2, 1, 0):
        actions = driver.end_attempt("m", AttemptStatus.ERROR)
        if left:
            assert not ended_messages(actions)
            for _ in range(20):
                if sent_messages(actions := driver.advance_clock(10 * SECOND_US)) == ["m"]:
                    break
            assert sent_messages(actions) == ["m"]
    assert ended_messages(actions) == [(RejectMessage, "m")]  # safe to come again
    assert sum(s.message_id == "m" for _, s in driver.sent) == 3


def test_fails_at_once_when_time_left_covers_no_wait() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("m", time_remaining=600 * MILLISECOND_US)
    assert ended_messages(driver.end_attempt("m", AttemptStatus.ERROR, after=200 * MILLISECOND_US)) == [
        (FailMessage, "m")
    ]


def test_window_opens_from_one_and_is_share_capped() -> None:
    driver = SchedulerDriver(make_entry("a"))
    assert (
        len(
            sent_messages(
                driver.run_batch(
                    *[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(9)]
                )
            )
        )
        == 1
    )
    for _ in range(30):
        for name in [n for n in driver.scheduler.state.messages if driver.scheduler.state.messages[n].call]:
            driver.end_attempt(name, AttemptStatus.OK)
        driver.submit(f"y{driver.now}")
        driver.submit(f"z{driver.now}")
        assert driver.scheduler.state.calls_in_flight <= 6  # three quarters of 8
    assert driver.scheduler.state.destinations[1].gate.window.size >= 6


def test_a_sick_destination_holds_at_most_half() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(12)
    driver.scheduler.state.destinations[1].gate.slow_start.started_at = driver.now
    driver.scheduler.state.destinations[1].demand.value = 1000.0
    driver.run_batch(*[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(9)])
    assert driver.scheduler.state.calls_in_flight == 4


def test_refusals_become_a_growing_pause_for_the_destination() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    gate, pauses = driver.scheduler.state.destinations[1].gate, []
    for i in range(4):
        assert sent_messages(driver.submit(f"m{i}")) == [f"m{i}"]
        driver.end_attempt(f"m{i}", AttemptStatus.REJECTED)
        pauses.append(gate.next_attempt_at - driver.now)
        assert not sent_messages(driver.submit(f"n{i}"))  # a fresh message must wait, too
        driver.run_batch(MessageCancelled(f"m{i}"), MessageCancelled(f"n{i}"))
        driver.now = max(gate.next_attempt_at, driver.now + 5 * SECOND_US)
    assert pauses[0] >= SECOND_US // 2
    assert all(later > 1.5 * earlier for earlier, later in pairwise(pauses))


def test_over_share_traffic_goes_behind() -> None:
    driver = SchedulerDriver(
        make_entry("a"), tenants={"t": Tenant("t", 2.0, 0.5), "u": Tenant("u", 2.0, 0.5)}, relay_count=1
    )
    driver.run_batch(*[MessageSubmitted(f"t{i}", 1, "safe", "t", 20 * SECOND_US, None) for i in range(12)])
    driver.submit("u0", tenant="u")
    first = driver.sent[0][1].message_id
    assert sent_messages(driver.end_attempt(first, AttemptStatus.OK))[0] != "t11"
    assert (
        driver.scheduler.state.messages["t11"].priority_weight
        < driver.scheduler.state.messages["u0"].priority_weight
        == 1.0
    )


def test_bundles_share_one_call_and_one_slot() -> None:
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    out = sent_messages(
        driver.run_batch(
            *[MessageSubmitted(f"x{i}", 1, "safe", None, 20 * SECOND_US, None) for i in range(9)]
        )
    )
    assert len(out) == 5
    assert driver.scheduler.state.calls_in_flight == 1
    driver.run_batch(*[driver.make_attempt_ended(name, AttemptStatus.OK) for name in out])
    assert driver.scheduler.state.calls_in_flight == 1  # the next call, with the other four
    assert len(driver.sent) == 9


def test_an_unsafe_message_passes_an_endpoint_that_failed_last() -> None:
    """It went back to a dead endpoint each time the pause was over, though a sibling was sound."""
    for seed in range(10):
        driver = SchedulerDriver(make_entry("a"), make_entry("b"), seed=seed)
        driver.run_successful_calls()
        driver.submit("m", "unsafe")
        dead = driver.sent[-1][1].endpoint
        driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)
        driver.end_attempt("m", AttemptStatus.OK)
        driver.advance_clock(20 * SECOND_US)
        driver.submit("n", "unsafe")
        assert [s.endpoint for _, s in driver.sent if s.message_id in ("m", "n")].count(dead) == 1


def test_a_spoilt_answer_is_no_failure_of_the_destination() -> None:
    """It may have run, so an unsafe message fails; but the host is up, and the next message goes at once."""
    driver = SchedulerDriver(make_entry("a"))
    driver.submit("first")
    assert ended_messages(driver.submit("m", "unsafe")) == []
    driver.end_attempt("first", AttemptStatus.OK)
    assert ended_messages(driver.end_attempt("m", AttemptStatus.MALFORMED_RESPONSE)) == [(FailMessage, "m")]
    assert sent_messages(driver.submit("next")) == ["next"]
    driver.end_attempt("next", AttemptStatus.MALFORMED_RESPONSE)
    for name in ("third", "fourth"):  # nothing but spoilt answers: from here on they narrow the window
        assert sent_messages(driver.submit(name)) == [name]
        driver.end_attempt(name, AttemptStatus.MALFORMED_RESPONSE)
    assert sent_messages(driver.submit("last")) == []


def test_a_reset_of_a_kept_connection_is_no_failure_of_the_destination() -> None:
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls()
    gate = driver.scheduler.state.destinations[1].gate
    window = gate.window.size
    for i in range(3):
        driver.submit(f"m{i}", "unsafe")
        driver.run_batch(
            replace(
                driver.make_attempt_ended(f"m{i}", AttemptStatus.CONNECTION_LOST),
                connection_idle=20 * MILLISECOND_US,
            )
        )
        assert (gate.window.size == window) == (i < 2)  # three in a row do tell of the host
    driver.advance_clock(20 * SECOND_US)
    driver.run_successful_calls()
    window = gate.window.size
    driver.submit("new", "unsafe")
    driver.run_batch(
        replace(driver.make_attempt_ended("new", AttemptStatus.CONNECTION_LOST), connection_idle=0)
    )
    assert gate.window.size < window


def test_resets_right_after_an_answer_teach_no_idle_limit() -> None:
    """Hosts that close right after an answer made the module open a connection for each call, for good."""
    driver = SchedulerDriver(make_entry("a"))
    driver.run_successful_calls(20)
    for i in range(5):
        driver.submit(f"m{i}", after=50 * MILLISECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.CONNECTION_LOST)
        driver.advance_clock(5 * SECOND_US)
        driver.end_attempt(f"m{i}", AttemptStatus.OK)
    driver.actions.clear()
    driver.submit("next", after=500 * MILLISECOND_US)
    assert sent_messages(driver.actions) == ["next"]
    assert not any(isinstance(a, CloseIdleConnections) for a in driver.actions)


def test_a_call_cut_off_by_its_deadline_tells_nothing_of_its_host() -> None:
    """Trials went with the message nearest its deadline, ran out of time at once, and shut it again."""
    driver = SchedulerDriver(make_entry("a"))
    for i in range(4):
        driver.submit(f"m{i}", time_remaining=SECOND_US // 10)
        driver.end_attempt(f"m{i}", AttemptStatus.TIMEOUT, after=SECOND_US // 10)
    assert sent_messages(driver.submit("next")) == ["next"]


def bundle_driver() -> SchedulerDriver:
    """Calls take 0.4 s; the next one is opened by `away`."""
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    for i in range(8):
        driver.submit(f"warm{i}")
        driver.end_attempt(f"warm{i}", AttemptStatus.OK, after=400 * MILLISECOND_US)
    return driver


def away(driver: SchedulerDriver, state: EndpointState) -> list[Action]:
    return driver.run_batch(
        EndpointListReceived(EndpointListKind.DELTA, (make_entry("a", kind="bundled", state=state),))
    )


@pytest.mark.parametrize("leads", [True, False])
def test_a_message_near_its_end_takes_no_unsafe_ones_with_it(leads: bool) -> None:
    """A bundle is given up with the first of its messages; one that must not go again fails then."""
    driver = bundle_driver()
    away(driver, EndpointState.DRAINING)
    driver.submit("short", time_remaining=SECOND_US // 2, after=0)
    driver.submit("order1", "unsafe")
    driver.submit("order2", "unsafe")
    driver.submit("update", time_remaining=20 * SECOND_US)
    driver.scheduler.state.messages["short" if leads else "order1"].priority_weight = 9.0
    went = sent_messages(away(driver, EndpointState.ACTIVE))
    calls = {m: driver.scheduler.state.messages[m].call for m in went}
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
    driver = bundle_driver()
    gate = driver.scheduler.state.endpoints["a"].gate
    window, closed = gate.window.size, len(driver.actions)
    away(driver, EndpointState.DRAINING)
    driver.submit("short", time_remaining=SECOND_US // 2)
    driver.scheduler.state.messages["short"].priority_weight = 9.0
    driver.submit("update")
    assert set(sent_messages(away(driver, EndpointState.ACTIVE))) == {"short", "update"}
    driver.run_batch(
        *(driver.make_attempt_ended(m, result, after=100 * MILLISECOND_US) for m in ("short", "update")),
        after=100 * MILLISECOND_US,
    )
    assert gate.window.size == window
    assert gate.breaker.consecutive_failures == 0
    assert not any(isinstance(a, CloseIdleConnections) for a in driver.actions[closed:])


def test_a_destination_seldom_used_is_tried_again_in_time() -> None:
    """The less was known of its demand the longer it was shut: for minutes, and after a restart for good."""
    for seed in range(5):
        driver = SchedulerDriver(make_entry("a"), seed=seed)
        driver.submit("m", after=600 * SECOND_US)
        driver.end_attempt("m", AttemptStatus.CONNECT_FAILED)
        assert sent_messages(driver.advance_clock(15 * SECOND_US)) == ["m"]


def test_after_a_restart_one_near_its_end_takes_no_unsafe_ones_with_it() -> None:
    """Seen: sent in one call with one that had 30 ms left, and given up with it at half of its time."""
    driver = SchedulerDriver(make_entry("a", kind="bundled"))
    near, order = (
        MessageRecovered(
            MessageSubmitted(name, 1, of, None, left, None), SECOND_US, 0, None, None, is_ended=False
        )
        for name, of, left in (("near", "keyed", 30 * MILLISECOND_US), ("order", "unsafe", SECOND_US))
    )
    driver.run_batch(near, order)
    calls = {name: driver.scheduler.state.messages[name].call for name in ("near", "order")}
    assert calls["near"] is not calls["order"]
    assert any(calls.values())
