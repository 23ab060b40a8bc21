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
    ENTERING = "entering"  # the journal has it, the store of record is asked
    UNANSWERED = "unanswered"  # the module hears of it in the next turn; its client waits
    WAITING = "waiting"  # taken on, and no call is out for it
    OUT = "out"  # in a call, or one is decided
    ABROAD = "abroad"  # in a call of the process before this one
    REFUSING = "refusing"  # its end is decided, and its client waits until the store has it
    CLOSING = "closing"  # delivered, and the store does not have that yet
    UNTOLD = "untold"  # its end is decided, and the store does not have it yet
    TELLING = "telling"  # the platform is told of its end


_ENDS = frozenset({Stage.CLOSING, Stage.UNTOLD, Stage.TELLING})
NEXT: dict[Stage | None, frozenset[Stage | None]] = {
    # After a start a message stands wherever the journal, the store or the process before left it.
    None: frozenset({Stage.ENTERING, Stage.UNANSWERED, Stage.WAITING, Stage.ABROAD}) | _ENDS,
    Stage.ENTERING: frozenset({Stage.UNANSWERED, Stage.WAITING, None}),
    Stage.UNANSWERED: frozenset({Stage.WAITING, Stage.REFUSING, None}),
    Stage.WAITING: frozenset({Stage.OUT, None}) | _ENDS,
    Stage.OUT: frozenset({Stage.WAITING}),  # no end while a call is out
    Stage.ABROAD: frozenset({Stage.WAITING, None}),
    Stage.REFUSING: frozenset({None}),
    Stage.CLOSING: frozenset({None}),
    Stage.UNTOLD: frozenset({Stage.TELLING}),
    Stage.TELLING: frozenset({None}),
}


@dataclass(slots=True)
class Life:
    stage: Stage
    answer: Answer | None = None  # of its client, while that waits
    sent_at: int | None = None  # its call, on the module's clock
    host: str = ""  # of a call of the process before
    notice: dict[str, Any] | None = None  # its end, while the store is asked


class Lives:
    """All messages of this relay that are not over. `fault` is told of a step that NEXT does not know."""

    def __init__(self, fault: Callable[[str, Stage | None, Stage | None], None]) -> None:
        self.of: dict[str, Life] = {}
        self.fault = fault
        self.fresh: list[str] = []  # unanswered, or were
        self.numbers = dict.fromkeys(Stage, 0)

    def stage(self, message: str) -> Stage | None:
        life = self.of.get(message)
        return None if life is None else life.stage

    def at(self, stage: Stage) -> list[str]:
        return [message for message, life in self.of.items() if life.stage is stage]

    def _move(self, message: str, stage: Stage) -> Life:
        life = self.of.get(message)
        if life is None:
            life = self.of[message] = Life(stage)
            if stage not in NEXT[None]:
                self.fault(message, None, stage)
        else:
            if stage not in NEXT[life.stage]:
                self.fault(message, life.stage, stage)
            self.numbers[life.stage] -= 1
            life.stage, life.sent_at = stage, None
        self.numbers[stage] += 1
        return life

    def over(self, message: str) -> Life | None:
        """Nothing more is owed. None: it was over before."""
        if (life := self.of.pop(message, None)) is not None:
            if None not in NEXT[life.stage]:
                self.fault(message, life.stage, None)
            self.numbers[life.stage] -= 1
        return life

    # A message comes

    def ask(self, message: str, answer: Answer) -> None:
        """The store of record is asked before it is taken on."""
        self._move(message, Stage.ENTERING).answer = answer

    def asked(self, message: str) -> Answer | None:
        """The store has answered: who is waiting for that, if anybody still is."""
        life = self.of.get(message)
        return life.answer if life is not None and life.stage is Stage.ENTERING else None

    def enter(self, message: str, answer: Answer) -> None:
        self._move(message, Stage.UNANSWERED).answer = answer
        self.fresh.append(message)

    def wait(self, message: str) -> None:
        """It was taken on before, by this relay or another life of it."""
        self._move(message, Stage.WAITING)

    def take(self) -> list[Answer]:
        """All that the module has heard of are taken on: whose answers are due."""
        answers = []
        for message in self.fresh:
            life = self.of.get(message)
            if life is not None and life.stage is Stage.UNANSWERED and life.answer is not None:
                answers.append(life.answer)
                self._move(message, Stage.WAITING).answer = None
        self.fresh.clear()
        return answers

    # Its calls

    def send(self, message: str, now: int) -> None:
        self._move(message, Stage.OUT).sent_at = now

    def abroad(self, message: str, host: str, sent_at: int | None) -> None:
        life = self._move(message, Stage.ABROAD)
        life.host, life.sent_at = host, sent_at

    def back(self, message: str) -> int | None:
        """Its call is over, or was not made: when it was sent."""
        if (life := self.of.get(message)) is None:
            self.fault(message, None, Stage.WAITING)
            return None
        sent_at = life.sent_at
        self._move(message, Stage.WAITING)
        return sent_at

    def calls(self) -> dict[str, int]:
        """What is out, and since when."""
        return {message: life.sent_at for message, life in self.of.items() if life.sent_at is not None}

    # Its end

    def refuse(self, message: str) -> Answer | None:
        """Its end is decided. Where its client still waits for the first answer, that is the end: who is to
        be answered once the store has it."""
        life = self.of.get(message)
        if life is None or life.stage is not Stage.UNANSWERED:
            return None
        answer, life.answer = life.answer, None
        self._move(message, Stage.REFUSING)
        return answer

    def close(self, message: str) -> None:
        self._move(message, Stage.CLOSING)

    def end(self, message: str, notice: dict[str, Any]) -> None:
        self._move(message, Stage.UNTOLD).notice = notice

    def tell(self, message: str) -> dict[str, Any] | None:
        """The store has its end: what is to be told, if that is still to be."""
        life = self.of.get(message)
        if life is None or life.stage is not Stage.UNTOLD:
            return None
        notice, life.notice = life.notice, None
        self._move(message, Stage.TELLING)
        return notice

    def tell_at_once(self, message: str) -> None:
        """There is no store that must have its end first."""
        self._move(message, Stage.TELLING)
