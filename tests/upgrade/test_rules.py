"""Both sides of a handover in virtual time: messages late, lost or in flight, and kills at any step."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import pytest

from loftrelay.upgrade.state_machine import LONGEST_STILL, Do, Next, Predecessor, Stage, Step, Successor


@dataclass
class Process:
    """One that wants to serve, and then serves."""

    name: str
    taker: Successor = field(default_factory=Successor)
    giver: Predecessor | None = None  # once it owns
    alive: bool = True
    ends: bool = False  # it was told to, and has

    @property
    def owner(self) -> bool:
        return self.alive and self.giver is not None and self.giver.stage is not Stage.GIVEN


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
        who.taker.step = Step.OWNER
        who.giver = Predecessor()

    def check(self) -> None:
        owners = [who.name for who in (self.old, self.new) if who.owner]
        assert len(owners) <= 1, self.log
        assert set(owners) <= self.holders, self.log
        assert len(self.holders) <= 1 or self.holders == {"old", "flight"}, self.log

    # What can happen

    def moves(self) -> list[str]:
        able = ["time"]
        if self.new.alive and self.new.taker.step is Step.TRYING:
            able.append("try")
        if self.to_old and self.old.alive:
            able.append("old hears")
        if self.to_new and self.new.alive:
            able.append("new hears")
        if not self.open and self.new.alive and self.new.taker.step in (Step.ASKED, Step.LOADED):
            able.append("new finds it lost")
        return able

    def move(self, what: str) -> None:
        self.log.append(what)
        match what:
            case "time":
                self.now += self.random.choice([1_000, 100_000, LONGEST_STILL])
                if self.old.alive and self.old.giver is not None:
                    self.does(self.old.giver.overdue(self.now))
            case "try":
                self.tries()
            case "old hears":
                heard = self.to_old.popleft()
                assert self.old.giver is not None
                giver = self.old.giver
                self.does(giver.asked(self.now) if heard == "ask" else giver.loaded(self.now))
            case "new hears":
                self.hears(self.to_new.popleft())
            case "new finds it lost":
                self.goes_on(self.new.taker.lost())
            case "kill old" if self.old.alive:
                self.kill(self.old)
            case "kill new" if self.new.alive:
                self.kill(self.new)
                if self.old.alive and self.old.giver is not None:
                    self.does(self.old.giver.lost())
            case "stop old" if self.old.alive and self.old.giver is not None:
                self.does(self.old.giver.stop())
        self.check()

    def tries(self) -> None:
        locked = not self.holders
        serves = self.old.alive and self.old.giver is not None and self.old.giver.stage is not Stage.GIVEN
        if locked:
            self.holders.add("new")
        elif serves and not self.open:
            self.open = True
            self.to_old.clear()
            self.to_new.clear()
        steps = self.new.taker.try_again(locked, serves and not locked)
        self.goes_on(steps)

    def hears(self, message: str) -> None:
        if message == "state":
            self.goes_on(self.new.taker.told())
        elif message == "yours":
            self.holders.discard("flight")
            if self.new.taker.step is Step.LOADED:
                self.holders.add("new")
            self.goes_on(self.new.taker.given())
        else:
            self.breaks()
            self.goes_on(self.new.taker.lost())

    def goes_on(self, steps: list[Next]) -> None:
        for step in steps:
            if step is Next.ASK:
                self.to_old.append("ask")
            elif step is Next.SAY_LOADED and self.open:
                self.to_old.append("loaded")
            elif step in (Next.START, Next.GO_ON):
                self.new.giver = Predecessor()
            elif step is Next.RETRY:
                self.breaks()

    def does(self, steps: list[Do]) -> None:
        for step in steps:
            match step:
                case Do.TELL:
                    self.to_new.append("state")
                case Do.REFUSE:
                    self.to_new.append("no")
                case Do.GIVE:
                    self.holders.add("flight")
                    self.to_new.append("yours")
                    self.holders.discard("old")
                    self.check()
                case Do.THAW:
                    self.breaks()
                case Do.STOP | Do.END:
                    self.old.ends = True
                    if step is Do.STOP:
                        self.kill(self.old)
                case Do.TAKE_BACK:
                    self.old.giver = None
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


def play(seed: int, troubles: list[str]) -> Model:
    model = Model(seed)
    for _ in range(60):
        if troubles and model.random.random() < 0.08:
            model.move(troubles.pop(0))
        model.move(model.random.choice(model.moves()))
    for _ in range(60):  # and then nothing more goes wrong
        moves = [move for move in model.moves() if move != "time"]
        model.move(model.random.choice(moves) if moves else "time")
    return model


@pytest.mark.parametrize("seed", range(300))
def test_one_owner_at_each_instant_whatever_goes_wrong(seed: int) -> None:
    """And one in the end, unless all are dead."""
    troubles = random.Random(seed).choices(["kill old", "kill new", "stop old"], k=seed % 4)
    model = play(seed, troubles)
    alive = [who for who in (model.old, model.new) if who.alive and not who.ends]
    if alive:
        assert sum(who.owner for who in (model.old, model.new)) == 1, model.log


def test_without_trouble_the_new_process_owns_all() -> None:
    for seed in range(50):
        model = play(seed, [])
        assert model.new.owner and not model.old.owner, model.log


def test_a_successor_that_is_late_finds_all_as_it_was() -> None:
    giver = Predecessor()
    assert giver.asked(0) == [Do.FREEZE, Do.TELL]
    assert giver.overdue(LONGEST_STILL - 1) == []
    assert giver.loaded(LONGEST_STILL) == [Do.THAW]
    assert giver.stage is Stage.SERVING
    assert giver.loaded(LONGEST_STILL + 1) == [] == giver.lost()
    assert giver.asked(LONGEST_STILL + 2) == [Do.FREEZE, Do.TELL]
    assert giver.loaded(LONGEST_STILL + 3) == [Do.GIVE, Do.HAND_OVER]


def test_only_one_can_follow_and_none_once_it_ends() -> None:
    giver = Predecessor()
    giver.asked(0)
    assert giver.asked(1) == [Do.REFUSE]
    giver = Predecessor()
    assert giver.stop() == [Do.STOP]
    assert giver.asked(0) == [Do.REFUSE]
    assert giver.stop() == []


def test_told_to_end_while_it_stands_still() -> None:
    giver = Predecessor()
    giver.asked(0)
    assert giver.stop() == []
    assert giver.loaded(1) == [Do.GIVE, Do.HAND_OVER, Do.END]
    giver = Predecessor()
    giver.asked(0)
    giver.stop()
    assert giver.lost() == [Do.THAW, Do.STOP]


def test_a_successor_lost_after_the_step_gives_the_journal_back_unless_all_ends() -> None:
    for stopping in (False, True):
        giver = Predecessor()
        giver.asked(0)
        giver.loaded(1)
        if stopping:
            assert giver.stop() == [Do.END]
        assert giver.lost() == ([] if stopping else [Do.TAKE_BACK])


def test_a_successor_forgets_what_is_not_its_own() -> None:
    taker = Successor()
    assert taker.try_again(False, False) == [Next.RETRY]
    assert taker.try_again(False, True) == [Next.ASK]
    assert taker.given() == []
    assert taker.told() == [Next.LOAD, Next.SAY_LOADED]
    assert taker.lost() == [Next.FORGET, Next.RETRY]
    assert taker.try_again(True, False) == [Next.START]
    assert taker.lost() == [] == taker.given()
