"""Where each message of this relay stands, from its journal record to its last word. No input or output.

A message that is not over has one stage, and what belongs to it: the client that waits, when its call went
out, the end that is to be told. Stages follow each other only as NEXT says. One that comes otherwise is a
fault of the program: it is done all the same, since a relay must go on, and told to `fault`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

Answer = Callable[[int, int], None]  # a status, and when to come back (ms; 0: nothing said)


class Stage(Enum):
    STORING = "entering"  # the journal has it, the store of record is asked
    UNANSWERED = "unanswered"  # the module hears of it in the next turn; its client waits
    WAITING = "waiting"  # taken on, and no call is out for it
    IN_FLIGHT = "out"  # in a call, or one is decided
    HELD_BY_PREDECESSOR = "abroad"  # in a call of the process before this one
    REJECTING = "refusing"  # its end is decided, and its client waits until the store has it
    RECORDING_DELIVERY = "closing"  # delivered, and the store does not have that yet
    RECORDING_FINAL_STATUS = "untold"  # its end is decided, and the store does not have it yet
    REPORTING = "telling"  # the platform is told of its end


_ENDS = frozenset({Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS, Stage.REPORTING})
TRANSITIONS: dict[Stage | None, frozenset[Stage | None]] = {
    # After a start a message stands wherever the journal, the store or the process before left it.
    None: frozenset({Stage.STORING, Stage.UNANSWERED, Stage.WAITING, Stage.HELD_BY_PREDECESSOR}) | _ENDS,
    Stage.STORING: frozenset({Stage.UNANSWERED, Stage.WAITING, None}),
    Stage.UNANSWERED: frozenset({Stage.WAITING, Stage.REJECTING, None}),
    Stage.WAITING: frozenset({Stage.IN_FLIGHT, None}) | _ENDS,
    Stage.IN_FLIGHT: frozenset({Stage.WAITING}),  # no end while a call is out
    Stage.HELD_BY_PREDECESSOR: frozenset({Stage.WAITING, None}),
    Stage.REJECTING: frozenset({None}),
    Stage.RECORDING_DELIVERY: frozenset({None}),
    Stage.RECORDING_FINAL_STATUS: frozenset({Stage.REPORTING}),
    Stage.REPORTING: frozenset({None}),
}


@dataclass(slots=True)
class MessageState:
    stage: Stage
    answer: Answer | None = None  # of its client, while that waits
    sent_at: int | None = None  # its call, on the module's clock
    host: str = ""  # of a call of the process before
    notice: dict[str, Any] | None = None  # its end, while the store is asked


class MessageStates:
    """All messages of this relay that are not over. `fault` is told of a step that NEXT does not know."""

    def __init__(self, fault: Callable[[str, Stage | None, Stage | None], None]) -> None:
        self.by_message: dict[str, MessageState] = {}
        self.fault = fault
        self.unanswered: list[str] = []  # unanswered, or were
        self.counts = dict.fromkeys(Stage, 0)

    def stage(self, message: str) -> Stage | None:
        life = self.by_message.get(message)
        return None if life is None else life.stage

    def in_stage(self, stage: Stage) -> list[str]:
        return [message for message, life in self.by_message.items() if life.stage is stage]

    def _move(self, message: str, stage: Stage) -> MessageState:
        life = self.by_message.get(message)
        if life is None:
            life = self.by_message[message] = MessageState(stage)
            if stage not in TRANSITIONS[None]:
                self.fault(message, None, stage)
        else:
            if stage not in TRANSITIONS[life.stage]:
                self.fault(message, life.stage, stage)
            self.counts[life.stage] -= 1
            life.stage, life.sent_at = stage, None
        self.counts[stage] += 1
        return life

    def complete(self, message: str) -> MessageState | None:
        """Nothing more is owed. None: it was over before."""
        if (life := self.by_message.pop(message, None)) is not None:
            if None not in TRANSITIONS[life.stage]:
                self.fault(message, life.stage, None)
            self.counts[life.stage] -= 1
        return life

    # A message comes

    def begin_storing(self, message: str, answer: Answer) -> None:
        """The store of record is asked before it is taken on."""
        self._move(message, Stage.STORING).answer = answer

    def storing_client(self, message: str) -> Answer | None:
        """The store has answered: who is waiting for that, if anybody still is."""
        life = self.by_message.get(message)
        return life.answer if life is not None and life.stage is Stage.STORING else None

    def await_answer(self, message: str, answer: Answer) -> None:
        self._move(message, Stage.UNANSWERED).answer = answer
        self.unanswered.append(message)

    def enqueue(self, message: str) -> None:
        """It was taken on before, by this relay or another life of it."""
        self._move(message, Stage.WAITING)

    def answer_admitted(self) -> list[Answer]:
        """All that the module has heard of are taken on: whose answers are due."""
        answers = []
        for message in self.unanswered:
            life = self.by_message.get(message)
            if life is not None and life.stage is Stage.UNANSWERED and life.answer is not None:
                answers.append(life.answer)
                self._move(message, Stage.WAITING).answer = None
        self.unanswered.clear()
        return answers

    # Its calls

    def begin_attempt(self, message: str, now: int) -> None:
        self._move(message, Stage.IN_FLIGHT).sent_at = now

    def adopt_attempt(self, message: str, host: str, sent_at: int | None) -> None:
        life = self._move(message, Stage.HELD_BY_PREDECESSOR)
        life.host, life.sent_at = host, sent_at

    def end_attempt(self, message: str) -> int | None:
        """Its call is over, or was not made: when it was sent."""
        if (life := self.by_message.get(message)) is None:
            self.fault(message, None, Stage.WAITING)
            return None
        sent_at = life.sent_at
        self._move(message, Stage.WAITING)
        return sent_at

    def attempts_in_flight(self) -> dict[str, int]:
        """What is out, and since when."""
        return {
            message: life.sent_at for message, life in self.by_message.items() if life.sent_at is not None
        }

    # Its end

    def begin_rejecting(self, message: str) -> Answer | None:
        """Its end is decided. Where its client still waits for the first answer, that is the end: who is to
        be answered once the store has it.
        """
        life = self.by_message.get(message)
        if life is None or life.stage is not Stage.UNANSWERED:
            return None
        answer, life.answer = life.answer, None
        self._move(message, Stage.REJECTING)
        return answer

    def begin_recording_delivery(self, message: str) -> None:
        self._move(message, Stage.RECORDING_DELIVERY)

    def begin_recording_final_status(self, message: str, notice: dict[str, Any]) -> None:
        self._move(message, Stage.RECORDING_FINAL_STATUS).notice = notice

    def begin_reporting(self, message: str) -> dict[str, Any] | None:
        """The store has its end: what is to be told, if that is still to be."""
        life = self.by_message.get(message)
        if life is None or life.stage is not Stage.RECORDING_FINAL_STATUS:
            return None
        notice, life.notice = life.notice, None
        self._move(message, Stage.REPORTING)
        return notice

    def report_without_store(self, message: str) -> None:
        """There is no store that must have its end first."""
        self._move(message, Stage.REPORTING)
