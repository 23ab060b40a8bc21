"""Replays random batches of events and compares a hash of all actions with a recorded one.

The batches include the events that the simulator protocol lacks: recovery, release, disputed outcomes,
operator commands, new settings and snapshots. `recorded/decisions.json` contains one hash per seed, written
by commit 32c0038. `python -m tests.decisions.test_recorded_decisions` prints the hashes of the current
scheduler.
"""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions import snapshot
from loftrelay.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    RejectMessage,
    SendAttempt,
    SendProbe,
    SetTimer,
    WatchEndpointList,
    WriteLog,
)
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    FinalStatusReported,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
    OrderingKeyCooldown,
    OutcomeDisputed,
    ProbeResult,
    ResponseStarted,
    SettingsChanged,
    TimerFired,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import MessageTerms, RelaySettings, Tenant
from tests.decisions.harness import CLASSES, MILLISECOND_US, SECOND_US, SETTINGS, START

RECORDED = Path(__file__).parent / "recorded" / "decisions.json"
SEEDS = range(1, 41)
BATCHES = 400
DESTINATIONS = 6
KINDS = ("shared_limits", "own_limits", "batching", None)
ZONES = ("here", "there", None)
TENANTS = ("north", "south", None)
ORDERED = ("ordered_idempotent", "ordered_at_most_once")
STATUS_WEIGHTS = {
    AttemptStatus.OK: 40,
    AttemptStatus.ERROR: 6,
    AttemptStatus.REJECTED: 10,
    AttemptStatus.TIMEOUT: 8,
    AttemptStatus.CONNECT_FAILED: 6,
    AttemptStatus.CONNECTION_LOST: 6,
    AttemptStatus.MALFORMED_RESPONSE: 4,
    AttemptStatus.CANCELLED: 2,
    AttemptStatus.NOT_SENT: 3,
}


def draw_settings(rng: random.Random) -> RelaySettings:
    """Draws settings: fleets of 1 to 230 relays, few or many call slots, short or long windows."""
    classes = {
        name: replace(each, dedup_window=rng.choice((None, 1 * SECOND_US, 5 * SECOND_US)))
        for name, each in CLASSES.items()
    }
    tenants = {
        "north": Tenant("north", rng.choice((None, 2.0, 20.0)), 0.5),
        "south": Tenant("south", rng.choice((None, 1.0)), 0.1),
    }
    return replace(
        SETTINGS,
        classes=classes,
        tenants=tenants,
        zone_costs={"here": 0.0, "there": 0.01},
        relay_count=rng.choice((1, 2, 8, 25, 230)),
        max_concurrent_calls=rng.choice((2, 4, 8, 30)),
        max_attempts=rng.choice((2, 6, None)),
        max_open_messages=rng.choice((8, 20, 100)),
        polls_endpoint_list=rng.random() < 0.5,
        sends_retry_after=rng.random() < 0.7,
        slow_start_duration=rng.choice((2 * SECOND_US, 10 * SECOND_US)),
        overload_window=rng.choice((500 * MILLISECOND_US, 2 * SECOND_US)),
        awaits_final_status=rng.random() < 0.5,
    )


class Replay:
    """Runs batches drawn from a seed through a scheduler and hashes its actions."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.settings = draw_settings(self.rng)
        self.scheduler = Scheduler(seed, self.settings)
        self.now = START
        self.hash = hashlib.sha256()
        self.in_flight: dict[str, tuple[str, int]] = {}
        self.unreported: list[str] = []
        self.endpoints: dict[str, EndpointEntry] = {}
        self.attempts: dict[str, int] = {}
        self.submitted = 0

    def run(self) -> str:
        for number in range(BATCHES):
            self.now += self.rng.choice(
                (
                    1 * MILLISECOND_US,
                    5 * MILLISECOND_US,
                    50 * MILLISECOND_US,
                    200 * MILLISECOND_US,
                    1 * SECOND_US,
                )
            )
            events = [self._draw_event() for _ in range(self.rng.choice((0, 1, 1, 2, 5, 9)))]
            if number == 0:
                events = [self._draw_endpoint_list(EndpointListKind.FULL)]
            self._between_batches()
            for action in self.scheduler.handle_batch(self.now, events):
                self._record(self._row(action))
                self._track_action(action)
            if number % 50 == 49:
                self._pass_through_snapshot()
        return self.hash.hexdigest()[:32]

    def _record(self, row: object) -> None:
        self.hash.update(json.dumps([self.now, row]).encode())

    def _pass_through_snapshot(self) -> None:
        text = snapshot.write(self.scheduler, [])
        self.scheduler, _ = snapshot.read(text, self.seed)

    def _between_batches(self) -> None:
        if not self.endpoints:
            return
        endpoint = self.rng.choice(sorted(self.endpoints))
        if self.rng.random() < 0.05:
            self.scheduler.apply_retry_after(self.now, endpoint, self.rng.randrange(2 * SECOND_US))
        number = self.rng.randrange(DESTINATIONS)
        answers = [
            self.scheduler.is_blocked(self.now, endpoint),
            self.scheduler.is_idle(self.now, number),
            self.scheduler.avoided_endpoint_count(),
        ]
        self._record(answers)

    def _row(self, action: Action) -> list[Any]:
        match action:
            case SendAttempt():
                return [
                    "send",
                    action.message_id,
                    action.endpoint,
                    action.timeout,
                    action.max_connection_idle,
                    action.send_within,
                ]
            case RejectMessage():
                return ["refuse", action.message_id, action.retry_after]
            case FailMessage():
                return ["fail", action.message_id]
            case CancelAttempt():
                return ["cancel", action.message_id, action.attempt]
            case SendProbe():
                return ["probe", action.endpoint]
            case CloseIdleConnections():
                return ["close idle", action.endpoint]
            case SetTimer():
                return ["timer", action.delay, action.token]
            case WatchEndpointList():
                return ["watch"]
            case WriteLog():
                return ["log"]

    def _track_action(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self.attempts[action.message_id] = self.attempts.get(action.message_id, 0) + 1
            self.in_flight[action.message_id] = action.endpoint, self.attempts[action.message_id]
        if isinstance(action, RejectMessage | FailMessage):
            self.unreported.append(action.message_id)

    def _draw_event(self) -> Event:
        kinds = {
            self._draw_submission: 40,
            self._draw_outcome: 40,
            self._draw_list_update: 5,
            self._draw_cancellation: 2,
            self._draw_recovery: 3,
            self._draw_key_cooldown: 1,
            self._draw_disputed_outcome: 2,
            self._draw_operator_command: 3,
            self._draw_release: 3,
            self._draw_settings_change: 1,
            self._draw_final_status: 8,
            self._draw_ignored_event: 1,
        }
        draw = self.rng.choices(list(kinds), list(kinds.values()))[0]
        return draw()

    def _draw_submission(self, remaining: int | None = None) -> MessageSubmitted:
        self.submitted += 1
        class_name = self.rng.choice([*CLASSES, "unknown"])
        key = f"key-{self.rng.randrange(4)}" if class_name in ORDERED else None
        if remaining is None:
            remaining = self.rng.choice(
                (0, 30 * MILLISECOND_US, 500 * MILLISECOND_US, 2 * SECOND_US, 9 * SECOND_US, 20 * SECOND_US)
            )
        terms = None
        if self.rng.random() < 0.1:
            terms = MessageTerms(CLASSES["deduplicated"], self.rng.choice((1, 3, None)))
        name = f"message-{self.submitted}"
        destination = self.rng.randrange(DESTINATIONS)
        return MessageSubmitted(
            name, destination, class_name, self.rng.choice(TENANTS), remaining, key, terms
        )

    def _draw_outcome(self) -> Event:
        if not self.in_flight:
            return TimerFired(0)
        message = self.rng.choice(sorted(self.in_flight))
        endpoint, attempt = self.in_flight.pop(message)
        status = self.rng.choices(list(STATUS_WEIGHTS), list(STATUS_WEIGHTS.values()))[0]
        is_rejection = status is AttemptStatus.REJECTED
        return AttemptEnded(
            message,
            attempt,
            endpoint,
            status,
            self.rng.randrange(1, 800 * MILLISECOND_US),
            status is AttemptStatus.OK,
            self.rng.choice((0, 200 * MILLISECOND_US, 2 * SECOND_US)) if is_rejection else 0,
            None,
            None,
            self.rng.choice((None, 0, 300 * MILLISECOND_US, 4 * SECOND_US)),
            status is AttemptStatus.ERROR and self.rng.random() < 0.1,
            self.rng.choice((0, 20 * MILLISECOND_US)) if status is AttemptStatus.NOT_SENT else 0,
            self.rng.random() < 0.03,
        )

    def _draw_entry(self, number: int, destination: int) -> EndpointEntry:
        state = self.rng.choices(
            (EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.REMOVED), (8, 1, 1)
        )[0]
        kind = KINDS[destination % len(KINDS)]
        rate = self.rng.choice((None, 0.5, 20.0))
        return EndpointEntry(f"host-{number}", destination, state, self.rng.choice(ZONES), kind, rate)

    def _draw_endpoint_list(self, list_kind: EndpointListKind) -> Event:
        numbers = range(12) if list_kind is EndpointListKind.FULL else self.rng.sample(range(12), 2)
        entries = tuple(self._draw_entry(number, number % DESTINATIONS) for number in numbers)
        if list_kind is EndpointListKind.FAILED:
            entries = ()
        for entry in entries:
            self.endpoints[entry.endpoint] = entry
        return EndpointListReceived(list_kind, entries)

    def _draw_list_update(self) -> Event:
        list_kind = self.rng.choices(
            (EndpointListKind.DELTA, EndpointListKind.FULL, EndpointListKind.CACHED, EndpointListKind.FAILED),
            (6, 2, 1, 2),
        )[0]
        return self._draw_endpoint_list(list_kind)

    def _draw_cancellation(self) -> Event:
        return MessageCancelled(f"message-{self.rng.randrange(1, self.submitted + 2)}")

    def _draw_recovery(self) -> Event:
        submit = self._draw_submission(self.rng.choice((500 * MILLISECOND_US, 9 * SECOND_US)))
        uncertain_age = self.rng.choice((None, 50 * MILLISECOND_US, 3 * SECOND_US))
        uncertain_endpoint = None if uncertain_age is None else f"host-{self.rng.randrange(12)}"
        ended = self.rng.random() < 0.2
        if ended:
            self.unreported.append(submit.message_id)
        age = self.rng.randrange(1, 8 * SECOND_US)
        return MessageRecovered(submit, age, self.rng.randrange(3), uncertain_age, uncertain_endpoint, ended)

    def _draw_key_cooldown(self) -> Event:
        return OrderingKeyCooldown(f"key-{self.rng.randrange(4)}", self.rng.randrange(400 * MILLISECOND_US))

    def _draw_disputed_outcome(self) -> Event:
        message = f"message-{self.rng.randrange(max(1, self.submitted - 20), self.submitted + 2)}"
        return OutcomeDisputed(message, f"host-{self.rng.randrange(12)}", self.rng.randrange(2 * SECOND_US))

    def _draw_operator_command(self) -> Event:
        endpoint = f"host-{self.rng.randrange(12)}"
        return EndpointDisabled(endpoint) if self.rng.random() < 0.4 else EndpointEnabled(endpoint)

    def _draw_release(self) -> Event:
        return DestinationsReleased(tuple(self.rng.sample(range(DESTINATIONS), 2)))

    def _draw_settings_change(self) -> Event:
        self.settings = draw_settings(self.rng)
        return SettingsChanged(self.settings)

    def _draw_final_status(self) -> Event:
        return FinalStatusReported(self.unreported.pop(0)) if self.unreported else TimerFired(1)

    def _draw_ignored_event(self) -> Event:
        if self.rng.random() < 0.5:
            return ResponseStarted("message-1", 1)
        return ProbeResult("host-1", AttemptStatus.OK, 3 * MILLISECOND_US)


@pytest.mark.parametrize("seed", SEEDS)
def test_replayed_batches_give_recorded_actions(seed: int) -> None:
    recorded = json.loads(RECORDED.read_text())
    assert Replay(seed).run() == recorded[str(seed)]


if __name__ == "__main__":
    print(json.dumps({seed: Replay(seed).run() for seed in SEEDS}, indent=1))
