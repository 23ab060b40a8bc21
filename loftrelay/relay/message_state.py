"""The state machine of a message, from its journal record to its reported end. No input or output.

Every message that is not over is in one stage. TRANSITIONS is the whole state machine; None stands for a
message that is not here yet, or is over. A transition that is not in the table is a fault of the program: it
is made all the same, since a relay has to go on, and told to `on_fault`.

After a start a message enters where it was left (`_BEGINNINGS`); a call of the predecessor that is still in
flight ends in WAITING.

    submitted --> STORING --> UNANSWERED --> WAITING <--> IN_FLIGHT
                                  |             |
                                  v             +--> RECORDING_DELIVERY --> over
                              ANSWERING         +--> RECORDING_FINAL_STATUS --> REPORTING --> over
                                  |             +--> REPORTING --> over           (without a store)
                                  v
                                 over
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

Answer = Callable[[int, int], None]  # a status, and a Retry-After in milliseconds (0: none)
FaultHandler = Callable[[str, "Stage | None", "Stage | None"], None]  # message, stage before, stage after


class Stage(Enum):
    """Where a message stands."""

    STORING = "storing"  # in the journal; the store has been asked to take it
    UNANSWERED = "unanswered"  # the next batch takes it in; its client waits
    WAITING = "waiting"  # admitted, and no call is in flight for it
    IN_FLIGHT = "in flight"  # in a call, or one is decided
    # Owned here; its call was begun by the process before.
    IN_FLIGHT_AT_PREDECESSOR = "in flight at predecessor"
    ANSWERING = "answering"  # rejected or failed; its client gets that as its answer once the store has it
    RECORDING_DELIVERY = "recording delivery"  # delivered; the store does not have that yet
    RECORDING_FINAL_STATUS = "recording final status"  # rejected or failed; the store does not have that yet
    REPORTING = "reporting"  # the platform is told how it ended


_ENDS = frozenset({Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS, Stage.REPORTING})
# After a start a message is wherever the journal, the store or the predecessor left it.
_BEGINNINGS = (
    frozenset({Stage.STORING, Stage.UNANSWERED, Stage.WAITING, Stage.IN_FLIGHT_AT_PREDECESSOR}) | _ENDS
)
TRANSITIONS: dict[Stage | None, frozenset[Stage | None]] = {
    None: frozenset(_BEGINNINGS),
    Stage.STORING: frozenset({Stage.UNANSWERED, Stage.WAITING, None}),
    Stage.UNANSWERED: frozenset({Stage.WAITING, Stage.ANSWERING, None}),
    Stage.WAITING: frozenset({Stage.IN_FLIGHT, None}) | _ENDS,
    Stage.IN_FLIGHT: frozenset({Stage.WAITING}),  # no end while a call is in flight
    Stage.IN_FLIGHT_AT_PREDECESSOR: frozenset({Stage.WAITING, None}),
    Stage.ANSWERING: frozenset({None}),
    Stage.RECORDING_DELIVERY: frozenset({None}),
    Stage.RECORDING_FINAL_STATUS: frozenset({Stage.REPORTING}),
    Stage.REPORTING: frozenset({None}),
}


@dataclass(slots=True)
class MessageState:
    """The stage of one message, and what belongs to it."""

    stage: Stage
    answer: Answer | None = None  # of its client, while that waits
    sent_at: int | None = None  # of its call, on the clock of the decisions
    host: str = ""  # of a call of the predecessor
    final_status: dict[str, Any] | None = None  # while the store is asked


class MessageStates:
    """The states of all messages of one relay that are not over.

    Args:
        on_fault: told of each transition that is not in TRANSITIONS.
    """

    def __init__(self, on_fault: FaultHandler) -> None:
        self.by_message: dict[str, MessageState] = {}
        self.on_fault = on_fault
        self.unanswered: list[str] = []  # messages that are or were UNANSWERED since the last batch
        self.counts = dict.fromkeys(Stage, 0)

    def stage(self, message: str) -> Stage | None:
        """Returns the stage of a message; None if it is over or unknown."""
        state = self.by_message.get(message)
        return None if state is None else state.stage

    def in_stage(self, stage: Stage) -> list[str]:
        """Returns the messages in a stage."""
        return [message for message, state in self.by_message.items() if state.stage is stage]

    def _move(self, message: str, stage: Stage) -> MessageState:
        state = self.by_message.get(message)
        if stage not in TRANSITIONS[None if state is None else state.stage]:
            self.on_fault(message, None if state is None else state.stage, stage)
        if state is None:
            state = self.by_message[message] = MessageState(stage)
        else:
            self.counts[state.stage] -= 1
            state.stage, state.sent_at = stage, None
        self.counts[stage] += 1
        return state

    def complete(self, message: str) -> MessageState | None:
        """Ends a message: nothing more is owed. Returns its last state; None if it was over before."""
        state = self.by_message.pop(message, None)
        if state is not None:
            if None not in TRANSITIONS[state.stage]:
                self.on_fault(message, state.stage, None)
            self.counts[state.stage] -= 1
        return state

    # Admission

    def begin_storing(self, message: str, answer: Answer) -> None:
        """The store is asked to take a message before it is admitted."""
        self._move(message, Stage.STORING).answer = answer

    def storing_client(self, message: str) -> Answer | None:
        """Returns the client that waits for the store's answer; None if it has left."""
        state = self.by_message.get(message)
        return state.answer if state is not None and state.stage is Stage.STORING else None

    def await_answer(self, message: str, answer: Answer) -> None:
        """The next batch takes a message in, and answers its client."""
        self._move(message, Stage.UNANSWERED).answer = answer
        self.unanswered.append(message)

    def enqueue(self, message: str) -> None:
        """A message was admitted before, by this process or an earlier one."""
        self._move(message, Stage.WAITING)

    def answer_admitted(self) -> list[Answer]:
        """Admits all messages that a batch has taken in; returns the answers that are due."""
        answers = []
        for message in self.unanswered:
            state = self.by_message.get(message)
            if state is not None and state.stage is Stage.UNANSWERED and state.answer is not None:
                answers.append(state.answer)
                self._move(message, Stage.WAITING).answer = None
        self.unanswered.clear()
        return answers

    # Attempts

    def begin_attempt(self, message: str, now: int) -> None:
        """A call with a message is decided, on the clock of the decisions."""
        self._move(message, Stage.IN_FLIGHT).sent_at = now

    def adopt_attempt(self, message: str, host: str, sent_at: int | None) -> None:
        """A call of the predecessor with a message is still in flight."""
        state = self._move(message, Stage.IN_FLIGHT_AT_PREDECESSOR)
        state.host, state.sent_at = host, sent_at

    def end_attempt(self, message: str) -> int | None:
        """A call has ended or was not made; returns when it was sent."""
        state = self.by_message.get(message)
        if state is None:
            self.on_fault(message, None, Stage.WAITING)
            return None
        sent_at = state.sent_at
        self._move(message, Stage.WAITING)
        return sent_at

    def attempts_in_flight(self) -> dict[str, int]:
        """Returns the messages in flight, and when each was sent."""
        return {name: state.sent_at for name, state in self.by_message.items() if state.sent_at is not None}

    # Ends

    def begin_answering(self, message: str) -> Answer | None:
        """Ends a message whose client still waits for the first answer: that answer is the end.

        Returns:
            Whom to answer once the store has it; None if the client has been answered already.
        """
        state = self.by_message.get(message)
        if state is None or state.stage is not Stage.UNANSWERED:
            return None
        answer, state.answer = state.answer, None
        self._move(message, Stage.ANSWERING)
        return answer

    def begin_recording_delivery(self, message: str) -> None:
        """A message is delivered; the store is told."""
        self._move(message, Stage.RECORDING_DELIVERY)

    def begin_recording_final_status(self, message: str, final_status: dict[str, Any]) -> None:
        """A message is rejected or failed; the store is told."""
        self._move(message, Stage.RECORDING_FINAL_STATUS).final_status = final_status

    def begin_reporting(self, message: str) -> dict[str, Any] | None:
        """The store has the final status; returns what to report, if that is still to be."""
        state = self.by_message.get(message)
        if state is None or state.stage is not Stage.RECORDING_FINAL_STATUS:
            return None
        final_status, state.final_status = state.final_status, None
        self._move(message, Stage.REPORTING)
        return final_status

    def report_without_store(self, message: str) -> None:
        """A message is rejected or failed, and no store has to have that first."""
        self._move(message, Stage.REPORTING)
