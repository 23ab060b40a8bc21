"""Both sides of a handover in virtual time: messages late, lost or in flight, and kills at any step."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from loftrelay.upgrade.state_machine import (
    MAX_HANDOVER_PAUSE_US,
    Predecessor,
    PredecessorAction,
    PredecessorState,
    Successor,
    SuccessorAction,
    SuccessorState,
)


@dataclass
class Process:
    """One that wants to serve, and then serves."""

    name: str
    successor: Successor = field(default_factory=Successor)
    predecessor: Predecessor | None = None  # once it owns
    alive: bool = True
    ends: bool = False  # it was told to, and has

    @property
    def owner(self) -> bool:
        return self.alive and self.predecessor is not None and self.predecessor.is_owner


class Model:
    """Two processes, the lock, and a channel that can break with what is in it."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.old, self.new = Process("old"), Process("new")
        self.holders: set[str] = set()  # of the lock; "flight": a descriptor on its way
        self.to_old: deque[str] = deque()
        self.to_new: deque[str] = deque()
        self.open = False  # the channel
        self.log: list[str] = []
        self.start(self.old)

    def start(self, who: Process) -> None:
        assert not self.holders
        self.holders.add(who.name)
        who.successor.state = SuccessorState.OWNER
        who.predecessor = Predecessor()

    def check(self) -> None:
        owners = [who.name for who in (self.old, self.new) if who.owner]
        assert len(owners) <= 1, self.log
        assert set(owners) <= self.holders, self.log
        assert len(self.holders) <= 1 or self.holders == {"old", "flight"}, self.log

    # What can happen

    def moves(self) -> list[str]:
        able = ["time"]
        if self.new.alive and self.new.successor.state is SuccessorState.TRYING:
            able.append("try")
        if self.to_old and self.old.alive:
            able.append("old hears")
        if self.to_new and self.new.alive:
            able.append("new hears")
        if (
            not self.open
            and self.new.alive
            and self.new.successor.state in (SuccessorState.REQUESTED, SuccessorState.LOADED)
        ):
            able.append("new finds it lost")
        return able

    def move(self, what: str) -> None:
        self.log.append(what)
        match what:
            case "time":
                self.now += self.random.choice([1_000, 100_000, MAX_HANDOVER_PAUSE_US])
                if self.old.alive and self.old.predecessor is not None:
                    self.does(self.old.predecessor.on_timer(self.now))
            case "try":
                self.tries()
            case "old hears":
                heard = self.to_old.popleft()
                assert self.old.predecessor is not None
                predecessor = self.old.predecessor
                self.does(
                    predecessor.on_request(self.now) if heard == "ask" else predecessor.on_loaded(self.now)
                )
            case "new hears":
                self.hears(self.to_new.popleft())
            case "new finds it lost":
                self.goes_on(self.new.successor.on_channel_lost())
            case "kill old" if self.old.alive:
                self.kill(self.old)
            case "kill new" if self.new.alive:
                self.kill(self.new)
                if self.old.alive and self.old.predecessor is not None:
                    self.does(self.old.predecessor.on_channel_lost())
            case "stop old" if self.old.alive and self.old.predecessor is not None:
                self.does(self.old.predecessor.on_stop_requested())
        self.check()

    def tries(self) -> None:
        locked = not self.holders
        serves = self.old.alive and self.old.predecessor is not None and self.old.predecessor.is_owner
        if locked:
            self.holders.add("new")
        elif serves and not self.open:
            self.open = True
            self.to_old.clear()
            self.to_new.clear()
        steps = self.new.successor.on_try(locked, serves and not locked)
        self.goes_on(steps)

    def hears(self, message: str) -> None:
        if message == "state":
            self.goes_on(self.new.successor.on_state_received())
        elif message == "yours":
            self.holders.discard("flight")
            if self.new.successor.state is SuccessorState.LOADED:
                self.holders.add("new")
            self.goes_on(self.new.successor.on_ownership_received())
        else:
            self.breaks()
            self.goes_on(self.new.successor.on_channel_lost())

    def goes_on(self, steps: tuple[SuccessorAction, ...]) -> None:
        for step in steps:
            if step is SuccessorAction.REQUEST:
                self.to_old.append("ask")
            elif step is SuccessorAction.REPORT_LOADED and self.open:
                self.to_old.append("loaded")
            elif step in (SuccessorAction.START, SuccessorAction.CONTINUE):
                self.new.predecessor = Predecessor()
            elif step is SuccessorAction.RETRY:
                self.breaks()

    def does(self, steps: tuple[PredecessorAction, ...]) -> None:
        for step in steps:
            match step:
                case PredecessorAction.EXPORT_STATE:
                    self.to_new.append("state")
                case PredecessorAction.REFUSE:
                    self.to_new.append("no")
                case PredecessorAction.RELEASE:
                    self.holders.add("flight")
                    self.to_new.append("yours")
                    self.holders.discard("old")
                    self.check()
                case PredecessorAction.RESUME:
                    self.breaks()
                case PredecessorAction.STOP | PredecessorAction.EXIT:
                    self.old.ends = True
                    if step is PredecessorAction.STOP:
                        self.kill(self.old)
                case PredecessorAction.RESTART:
                    self.old.predecessor = None
                    self.breaks()
                    if not self.holders:
                        self.start(self.old)

    def breaks(self) -> None:
        """Descriptors in flight go with the channel."""
        self.open = False
        self.to_old.clear()
        self.to_new.clear()
        self.holders.discard("flight")

    def kill(self, who: Process) -> None:
        who.alive = False
        self.holders.discard(who.name)
        if self.open:
            # What the dead one had written can still be read; what was on its way to it is gone.
            if who is self.new:
                self.breaks()
            else:
                self.open = False
                self.to_old.clear()


def play(seed: int, faults: list[str]) -> Model:
    model = Model(seed)
    for _ in range(60):
        if faults and model.random.random() < 0.08:
            model.move(faults.pop(0))
        model.move(model.random.choice(model.moves()))
    for _ in range(60):  # and then nothing more goes wrong
        moves = [move for move in model.moves() if move != "time"]
        model.move(model.random.choice(moves) if moves else "time")
    return model


@pytest.mark.parametrize("seed", range(300))
def test_one_owner_at_each_instant_whatever_goes_wrong(seed: int) -> None:
    """And one in the end, unless all are dead."""
    faults = random.Random(seed).choices(["kill old", "kill new", "stop old"], k=seed % 4)
    model = play(seed, faults)
    alive = [who for who in (model.old, model.new) if who.alive and not who.ends]
    if alive:
        assert sum(who.owner for who in (model.old, model.new)) == 1, model.log


def test_without_faults_the_new_process_owns_all() -> None:
    for seed in range(50):
        model = play(seed, [])
        assert model.new.owner and not model.old.owner, model.log


def test_a_successor_that_exceeds_the_pause_finds_all_as_it_was() -> None:
    predecessor = Predecessor()
    assert predecessor.on_request(0) == (PredecessorAction.PAUSE, PredecessorAction.EXPORT_STATE)
    assert predecessor.on_timer(MAX_HANDOVER_PAUSE_US - 1) == ()
    assert predecessor.on_loaded(MAX_HANDOVER_PAUSE_US) == (PredecessorAction.RESUME,)
    assert predecessor.state is PredecessorState.SERVING
    assert predecessor.on_loaded(MAX_HANDOVER_PAUSE_US + 1) == () == predecessor.on_channel_lost()
    assert predecessor.on_request(MAX_HANDOVER_PAUSE_US + 2) == (
        PredecessorAction.PAUSE,
        PredecessorAction.EXPORT_STATE,
    )
    assert predecessor.on_loaded(MAX_HANDOVER_PAUSE_US + 3) == (
        PredecessorAction.RELEASE,
        PredecessorAction.TRANSFER,
    )


def test_a_second_request_and_one_while_stopping_are_refused() -> None:
    predecessor = Predecessor()
    predecessor.on_request(0)
    assert predecessor.on_request(1) == (PredecessorAction.REFUSE,)
    predecessor = Predecessor()
    assert predecessor.on_stop_requested() == (PredecessorAction.STOP,)
    assert predecessor.on_request(0) == (PredecessorAction.REFUSE,)
    assert predecessor.on_stop_requested() == ()


def test_a_stop_request_during_the_pause() -> None:
    predecessor = Predecessor()
    predecessor.on_request(0)
    assert predecessor.on_stop_requested() == ()
    assert predecessor.on_loaded(1) == (
        PredecessorAction.RELEASE,
        PredecessorAction.TRANSFER,
        PredecessorAction.EXIT,
    )
    predecessor = Predecessor()
    predecessor.on_request(0)
    predecessor.on_stop_requested()
    assert predecessor.on_channel_lost() == (PredecessorAction.RESUME, PredecessorAction.STOP)


def test_a_successor_lost_after_the_release_returns_the_journal_unless_stopping() -> None:
    for stopping in (False, True):
        predecessor = Predecessor()
        predecessor.on_request(0)
        predecessor.on_loaded(1)
        if stopping:
            assert predecessor.on_stop_requested() == (PredecessorAction.EXIT,)
        assert predecessor.on_channel_lost() == (() if stopping else (PredecessorAction.RESTART,))


def test_a_successor_discards_what_it_does_not_own() -> None:
    successor = Successor()
    assert successor.on_try(False, False) == (SuccessorAction.RETRY,)
    assert successor.on_try(False, True) == (SuccessorAction.REQUEST,)
    assert successor.on_ownership_received() == ()
    assert successor.on_state_received() == (SuccessorAction.LOAD, SuccessorAction.REPORT_LOADED)
    assert successor.on_channel_lost() == (SuccessorAction.DISCARD, SuccessorAction.RETRY)
    assert successor.on_try(True, False) == (SuccessorAction.START,)
    assert successor.on_channel_lost() == () == successor.on_ownership_received()
