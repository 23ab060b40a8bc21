"""Replays random batches of events and compares the hash of every action with a recorded one.

The batches cover the events that the simulator's wire lacks: recovery, release, disputed outcomes, operators'
calls, new settings and snapshots. `recorded/decisions.json` holds one hash a seed, written by commit 32c0038.
`python -m tests.decisions.test_recorded_decisions` prints the hashes of the module as it is now.
"""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from loftrelay.decisions import interface as api
from loftrelay.decisions import snapshot
from loftrelay.decisions.scheduler import Brain
from tests.decisions.world import CLASSES, MS, SETTINGS, START, S

RECORDED = Path(__file__).parent / "recorded" / "decisions.json"
SEEDS = range(1, 41)
BATCHES = 400
DESTINATIONS = 6
KINDS = ("plain", "apart", "bundled", None)
ZONES = ("here", "there", None)
TENANTS = ("north", "south", None)
ORDERED = ("ordered", "strict")
RESULT_WEIGHTS = {
    api.Result.OK: 40,
    api.Result.ERROR: 6,
    api.Result.FULL: 10,
    api.Result.TIMEOUT: 8,
    api.Result.NO_CONNECTION: 6,
    api.Result.BROKEN: 6,
    api.Result.SPOILT: 4,
    api.Result.CANCELLED: 2,
    api.Result.NOT_SENT: 3,
}


def settings_for(rng: random.Random) -> api.Settings:
    """One of many settings: fleets of 1 to 230 relays, few or many slots, short or long windows."""
    classes = {name: replace(each, window=rng.choice((None, 1 * S, 5 * S))) for name, each in CLASSES.items()}
    tenants = {
        "north": api.Tenant("north", rng.choice((None, 2.0, 20.0)), 0.5),
        "south": api.Tenant("south", rng.choice((None, 1.0)), 0.1),
    }
    return replace(
        SETTINGS,
        classes=classes,
        tenants=tenants,
        zone_fees={"here": 0.0, "there": 0.01},
        instances=rng.choice((1, 2, 8, 25, 230)),
        slots=rng.choice((2, 4, 8, 30)),
        max_attempts=rng.choice((2, 6, None)),
        max_held=rng.choice((8, 20, 100)),
        list_on_request=rng.random() < 0.5,
        can_advise=rng.random() < 0.7,
        cold=rng.choice((2 * S, 10 * S)),
        tip_after=rng.choice((500 * MS, 2 * S)),
        ends_by_notice=rng.random() < 0.5,
    )


class Replay:
    """Draws batches from its seed and feeds them to the module; remembers what is in flight."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.settings = settings_for(self.rng)
        self.module = Brain(seed, self.settings)
        self.now = START
        self.hash = hashlib.sha256()
        self.in_flight: dict[str, tuple[str, int]] = {}
        self.known: list[str] = []
        self.hosts: dict[str, api.Entry] = {}
        self.attempts: dict[str, int] = {}
        self.submitted = 0

    def play(self) -> str:
        for number in range(BATCHES):
            self.now += self.rng.choice((1 * MS, 5 * MS, 50 * MS, 200 * MS, 1 * S))
            events = [self._event() for _ in range(self.rng.choice((0, 1, 1, 2, 5, 9)))]
            if number == 0:
                events = [self._listing(api.Form.FULL)]
            self._between_batches()
            for action in self.module.handle(self.now, events):
                self._record(self._row(action))
                self._heed(action)
            if number % 50 == 49:
                self._pass_through_snapshot()
        return self.hash.hexdigest()[:32]

    def _record(self, row: object) -> None:
        self.hash.update(json.dumps([self.now, row]).encode())

    def _pass_through_snapshot(self) -> None:
        text = snapshot.write(self.module, [])
        self.module, _ = snapshot.read(text, self.seed)

    def _between_batches(self) -> None:
        if not self.hosts:
            return
        host = self.rng.choice(sorted(self.hosts))
        if self.rng.random() < 0.05:
            self.module.bind(self.now, host, self.rng.randrange(2 * S))
        number = self.rng.randrange(DESTINATIONS)
        answers = [
            self.module.bound(self.now, host), self.module.idle(self.now, number), self.module.avoided(),
        ]  # fmt: skip
        self._record(answers)

    def _row(self, action: api.Action) -> list[Any]:
        match action:
            case api.Send():
                return [
                    "send", action.message, action.endpoint, action.timeout, action.most_idle,
                    action.begin_within,
                ]  # fmt: skip
            case api.Refuse():
                return ["refuse", action.message, action.retry_in]
            case api.Fail():
                return ["fail", action.message]
            case api.Cancel():
                return ["cancel", action.message, action.attempt]
            case api.Probe():
                return ["probe", action.endpoint]
            case api.CloseIdle():
                return ["close idle", action.endpoint]
            case api.SetTimer():
                return ["timer", action.delay, action.token]
            case api.WatchList():
                return ["watch"]
            case api.Log():
                return ["log"]

    def _heed(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.attempts[action.message] = self.attempts.get(action.message, 0) + 1
            self.in_flight[action.message] = action.endpoint, self.attempts[action.message]
        if isinstance(action, api.Refuse | api.Fail):
            self.known.append(action.message)

    # Events

    def _event(self) -> api.Event:
        kinds = {
            self._submit: 40,
            self._outcome: 40,
            self._change_of_list: 5,
            self._withdrawn: 2,
            self._recovered: 3,
            self._key_rest: 1,
            self._doubted: 2,
            self._by_operator: 3,
            self._let_go: 3,
            self._retuned: 1,
            self._noticed: 8,
            self._ignored: 1,
        }
        draw = self.rng.choices(list(kinds), list(kinds.values()))[0]
        return draw()

    def _submit(self, remaining: int | None = None) -> api.Submit:
        self.submitted += 1
        class_name = self.rng.choice([*CLASSES, "unknown"])
        key = f"key-{self.rng.randrange(4)}" if class_name in ORDERED else None
        if remaining is None:
            remaining = self.rng.choice((0, 30 * MS, 500 * MS, 2 * S, 9 * S, 20 * S))
        terms = None
        if self.rng.random() < 0.1:
            terms = api.MessageTerms(CLASSES["keyed"], self.rng.choice((1, 3, None)))
        name = f"message-{self.submitted}"
        destination = self.rng.randrange(DESTINATIONS)
        return api.Submit(name, destination, class_name, self.rng.choice(TENANTS), remaining, key, terms)

    def _outcome(self) -> api.Event:
        if not self.in_flight:
            return api.Timer(0)
        message = self.rng.choice(sorted(self.in_flight))
        endpoint, attempt = self.in_flight.pop(message)
        result = self.rng.choices(list(RESULT_WEIGHTS), list(RESULT_WEIGHTS.values()))[0]
        is_full = result is api.Result.FULL
        return api.Outcome(
            message,
            attempt,
            endpoint,
            result,
            self.rng.randrange(1, 800 * MS),
            result is api.Result.OK,
            self.rng.choice((0, 200 * MS, 2 * S)) if is_full else 0,
            None,
            None,
            self.rng.choice((None, 0, 300 * MS, 4 * S)),
            result is api.Result.ERROR and self.rng.random() < 0.1,
            self.rng.choice((0, 20 * MS)) if result is api.Result.NOT_SENT else 0,
            self.rng.random() < 0.03,
        )

    def _entry(self, number: int, destination: int) -> api.Entry:
        state = self.rng.choices((api.State.LISTED, api.State.DRAINING, api.State.GONE), (8, 1, 1))[0]
        kind = KINDS[destination % len(KINDS)]
        rate = self.rng.choice((None, 0.5, 20.0))
        return api.Entry(f"host-{number}", destination, state, self.rng.choice(ZONES), kind, rate)

    def _listing(self, form: api.Form) -> api.Event:
        numbers = range(12) if form is api.Form.FULL else self.rng.sample(range(12), 2)
        entries = tuple(self._entry(number, number % DESTINATIONS) for number in numbers)
        if form is api.Form.FAILED:
            entries = ()
        for entry in entries:
            self.hosts[entry.endpoint] = entry
        return api.Listing(form, entries)

    def _change_of_list(self) -> api.Event:
        form = self.rng.choices(
            (api.Form.CHANGES, api.Form.FULL, api.Form.CACHED, api.Form.FAILED), (6, 2, 1, 2)
        )[0]
        return self._listing(form)

    def _withdrawn(self) -> api.Event:
        return api.Withdrawn(f"message-{self.rng.randrange(1, self.submitted + 2)}")

    def _recovered(self) -> api.Event:
        submit = self._submit(self.rng.choice((500 * MS, 9 * S)))
        ran_ago = self.rng.choice((None, 50 * MS, 3 * S))
        ran_on = None if ran_ago is None else f"host-{self.rng.randrange(12)}"
        ended = self.rng.random() < 0.2
        if ended:
            self.known.append(submit.message)
        age = self.rng.randrange(1, 8 * S)
        return api.Recovered(submit, age, self.rng.randrange(3), ran_ago, ran_on, ended)

    def _key_rest(self) -> api.Event:
        return api.KeyRest(f"key-{self.rng.randrange(4)}", self.rng.randrange(400 * MS))

    def _doubted(self) -> api.Event:
        message = f"message-{self.rng.randrange(max(1, self.submitted - 20), self.submitted + 2)}"
        return api.Doubted(message, f"host-{self.rng.randrange(12)}", self.rng.randrange(2 * S))

    def _by_operator(self) -> api.Event:
        host = f"host-{self.rng.randrange(12)}"
        return api.TakenOut(host) if self.rng.random() < 0.4 else api.BroughtBack(host)

    def _let_go(self) -> api.Event:
        return api.LetGo(tuple(self.rng.sample(range(DESTINATIONS), 2)))

    def _retuned(self) -> api.Event:
        self.settings = settings_for(self.rng)
        return api.Retuned(self.settings)

    def _noticed(self) -> api.Event:
        return api.Noticed(self.known.pop(0)) if self.known else api.Timer(1)

    def _ignored(self) -> api.Event:
        if self.rng.random() < 0.5:
            return api.Started("message-1", 1)
        return api.ProbeResult("host-1", api.Result.OK, 3 * MS)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_same_batches_give_the_recorded_actions(seed: int) -> None:
    recorded = json.loads(RECORDED.read_text())
    assert Replay(seed).play() == recorded[str(seed)]


if __name__ == "__main__":
    print(json.dumps({seed: Replay(seed).play() for seed in SEEDS}, indent=1))
