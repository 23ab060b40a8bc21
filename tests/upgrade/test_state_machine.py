"""State machines of a handover in virtual time, with late and lost messages and kills at any step."""

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
class SimulatedProcess:
    """A process that acquires the state, and then serves."""

    name: str
    successor: Successor = field(default_factory=Successor)
    predecessor: Predecessor | None = None  # set once it is the owner
    is_alive: bool = True
    is_stopping: bool = False  # it executed STOP or EXIT

    @property
    def is_owner(self) -> bool:
        return self.is_alive and self.predecessor is not None and self.predecessor.is_owner


class HandoverSimulation:
    """Two processes, the lock, and a channel that may be lost together with the messages in it."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_us = 0
        self.old, self.new = SimulatedProcess("old"), SimulatedProcess("new")
        self.lock_holders: set[str] = set()  # "in flight": the descriptor has been sent and not received
        self.inbox_of_old: deque[str] = deque()
        self.inbox_of_new: deque[str] = deque()
        self.is_channel_open = False
        self.history: list[str] = []
        self.start_as_owner(self.old)

    def start_as_owner(self, process: SimulatedProcess) -> None:
        assert not self.lock_holders
        self.lock_holders.add(process.name)
        process.successor.state = SuccessorState.OWNER
        process.predecessor = Predecessor()

    def check_invariants(self) -> None:
        """Checks that at most one process is the owner, and that the owner is among the lock's holders."""
        owners = [process.name for process in (self.old, self.new) if process.is_owner]
        assert len(owners) <= 1, self.history
        assert set(owners) <= self.lock_holders, self.history
        assert len(self.lock_holders) <= 1 or self.lock_holders == {"old", "in flight"}, self.history

    # Events

    def possible_events(self) -> list[str]:
        events = ["advance clock"]
        if self.new.is_alive and self.new.successor.state is SuccessorState.TRYING:
            events.append("acquire")
        if self.inbox_of_old and self.old.is_alive:
            events.append("old receives")
        if self.inbox_of_new and self.new.is_alive:
            events.append("new receives")
        if (
            not self.is_channel_open
            and self.new.is_alive
            and self.new.successor.state in (SuccessorState.REQUESTED, SuccessorState.LOADED)
        ):
            events.append("new detects lost channel")
        return events

    def handle_event(self, event: str) -> None:
        self.history.append(event)
        match event:
            case "advance clock":
                self.now_us += self.random.choice([1_000, 100_000, MAX_HANDOVER_PAUSE_US])
                if self.old.is_alive and self.old.predecessor is not None:
                    self.execute_at_old(self.old.predecessor.on_timer(self.now_us))
            case "acquire":
                self.attempt_to_acquire()
            case "old receives":
                message = self.inbox_of_old.popleft()
                assert self.old.predecessor is not None
                predecessor = self.old.predecessor
                self.execute_at_old(
                    predecessor.on_request(self.now_us)
                    if message == "request"
                    else predecessor.on_loaded(self.now_us)
                )
            case "new receives":
                self.receive_at_new(self.inbox_of_new.popleft())
            case "new detects lost channel":
                self.execute_at_new(self.new.successor.on_channel_lost())
            case "kill old" if self.old.is_alive:
                self.kill(self.old)
            case "kill new" if self.new.is_alive:
                self.kill(self.new)
                if self.old.is_alive and self.old.predecessor is not None:
                    self.execute_at_old(self.old.predecessor.on_channel_lost())
            case "stop old" if self.old.is_alive and self.old.predecessor is not None:
                self.execute_at_old(self.old.predecessor.on_stop_requested())
        self.check_invariants()

    def attempt_to_acquire(self) -> None:
        has_lock = not self.lock_holders
        is_old_serving = (
            self.old.is_alive and self.old.predecessor is not None and self.old.predecessor.is_owner
        )
        if has_lock:
            self.lock_holders.add("new")
        elif is_old_serving and not self.is_channel_open:
            self.is_channel_open = True
            self.inbox_of_old.clear()
            self.inbox_of_new.clear()
        is_connected = is_old_serving and not has_lock
        self.execute_at_new(self.new.successor.on_acquire_attempted(has_lock, is_connected))

    def receive_at_new(self, message: str) -> None:
        if message == "state":
            self.execute_at_new(self.new.successor.on_state_received())
        elif message == "ownership":
            self.lock_holders.discard("in flight")
            if self.new.successor.state is SuccessorState.LOADED:
                self.lock_holders.add("new")
            self.execute_at_new(self.new.successor.on_ownership_received())
        else:
            self.lose_channel()
            self.execute_at_new(self.new.successor.on_channel_lost())

    def execute_at_new(self, actions: tuple[SuccessorAction, ...]) -> None:
        for action in actions:
            if action is SuccessorAction.REQUEST:
                self.inbox_of_old.append("request")
            elif action is SuccessorAction.REPORT_LOADED and self.is_channel_open:
                self.inbox_of_old.append("loaded")
            elif action in (SuccessorAction.START, SuccessorAction.CONTINUE):
                self.new.predecessor = Predecessor()
            elif action is SuccessorAction.RETRY:
                self.lose_channel()

    def execute_at_old(self, actions: tuple[PredecessorAction, ...]) -> None:
        for action in actions:
            match action:
                case PredecessorAction.EXPORT_STATE:
                    self.inbox_of_new.append("state")
                case PredecessorAction.REFUSE:
                    self.inbox_of_new.append("refusal")
                case PredecessorAction.RELEASE:
                    self.lock_holders.add("in flight")
                    self.inbox_of_new.append("ownership")
                    self.lock_holders.discard("old")
                    self.check_invariants()
                case PredecessorAction.RESUME:
                    self.lose_channel()
                case PredecessorAction.STOP | PredecessorAction.EXIT:
                    self.old.is_stopping = True
                    if action is PredecessorAction.STOP:
                        self.kill(self.old)
                case PredecessorAction.RESTART:
                    self.old.predecessor = None
                    self.lose_channel()
                    if not self.lock_holders:
                        self.start_as_owner(self.old)

    def lose_channel(self) -> None:
        """Drops the messages in transit; the kernel closes their descriptors."""
        self.is_channel_open = False
        self.inbox_of_old.clear()
        self.inbox_of_new.clear()
        self.lock_holders.discard("in flight")

    def kill(self, process: SimulatedProcess) -> None:
        process.is_alive = False
        self.lock_holders.discard(process.name)
        if self.is_channel_open:
            # Messages written by the killed process can still be read; those sent to it are lost.
            if process is self.new:
                self.lose_channel()
            else:
                self.is_channel_open = False
                self.inbox_of_old.clear()


def run_simulation(seed: int, faults: list[str]) -> HandoverSimulation:
    """Runs 60 random events with the faults in between, then 60 events without faults."""
    simulation = HandoverSimulation(seed)
    for _ in range(60):
        if faults and simulation.random.random() < 0.08:
            simulation.handle_event(faults.pop(0))
        simulation.handle_event(simulation.random.choice(simulation.possible_events()))
    for _ in range(60):
        events = [event for event in simulation.possible_events() if event != "advance clock"]
        simulation.handle_event(simulation.random.choice(events) if events else "advance clock")
    return simulation


@pytest.mark.parametrize("seed", range(300))
def test_handover_with_random_faults_has_one_owner_at_every_step(seed: int) -> None:
    """In the end there is exactly one owner, unless no process is left."""
    faults = random.Random(seed).choices(["kill old", "kill new", "stop old"], k=seed % 4)
    simulation = run_simulation(seed, faults)
    processes = (simulation.old, simulation.new)
    if any(process.is_alive and not process.is_stopping for process in processes):
        assert sum(process.is_owner for process in processes) == 1, simulation.history


def test_handover_without_faults_makes_the_successor_the_owner() -> None:
    for seed in range(50):
        simulation = run_simulation(seed, [])
        assert simulation.new.is_owner and not simulation.old.is_owner, simulation.history


def test_predecessor_resumes_serving_if_the_successor_exceeds_the_pause() -> None:
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


def test_predecessor_refuses_request_while_paused_or_stopping() -> None:
    predecessor = Predecessor()
    predecessor.on_request(0)
    assert predecessor.on_request(1) == (PredecessorAction.REFUSE,)
    predecessor = Predecessor()
    assert predecessor.on_stop_requested() == (PredecessorAction.STOP,)
    assert predecessor.on_request(0) == (PredecessorAction.REFUSE,)
    assert predecessor.on_stop_requested() == ()


def test_predecessor_stop_requested_during_the_pause_takes_effect_after_it() -> None:
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


def test_predecessor_restarts_if_successor_is_lost_after_release_unless_stopping() -> None:
    for is_stopping in (False, True):
        predecessor = Predecessor()
        predecessor.on_request(0)
        predecessor.on_loaded(1)
        if is_stopping:
            assert predecessor.on_stop_requested() == (PredecessorAction.EXIT,)
        assert predecessor.on_channel_lost() == (() if is_stopping else (PredecessorAction.RESTART,))


def test_successor_discards_loaded_state_if_the_channel_is_lost_before_release() -> None:
    successor = Successor()
    assert successor.on_acquire_attempted(False, False) == (SuccessorAction.RETRY,)
    assert successor.on_acquire_attempted(False, True) == (SuccessorAction.REQUEST,)
    assert successor.on_ownership_received() == ()
    assert successor.on_state_received() == (SuccessorAction.LOAD, SuccessorAction.REPORT_LOADED)
    assert successor.on_channel_lost() == (SuccessorAction.DISCARD, SuccessorAction.RETRY)
    assert successor.on_acquire_attempted(True, False) == (SuccessorAction.START,)
    assert successor.on_channel_lost() == () == successor.on_ownership_received()
