"""State machine of a message, from its journal record to its completion. Does no input or output.

Every open message is in exactly one stage. TRANSITIONS lists all valid transitions; None stands for a
message that is not registered yet or is complete. An invalid transition is a bug in the program: it is
applied anyway, because the relay must keep running, and reported to `on_invalid_transition`.

After a restart or a handover a message enters the stage in which it was left (`_INITIAL_STAGES`). A call of
the predecessor that is still in flight ends in WAITING.

    submitted --> STORING --> AWAITING_BATCH --> WAITING <--> IN_FLIGHT
                                    |               |
                                    |               +<-> SETTLING --> RECORDING_DELIVERY, or complete
                                    |               |
                                    |               +--> RECORDING_DELIVERY --> complete
                                    |               |            | its delivery is disputed
                                    v               |            v
                               RESPONDING           +--> RECORDING_FINAL_STATUS --> REPORTING --> complete
                                 |     |            +--> REPORTING --> complete       (without a store)
                                 v     v
                           complete  RECORDING_REPORTED --> complete

SETTLING: a response says that the message is delivered, and a later one may say that it was not its own.

A final status whose record takes too long is reported without it: RESPONDING and REPORTING then lead to
RECORDING_REPORTED, where the message stays until the store has the final status.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

# Responds to the client. Arguments: HTTP status, Retry-After in milliseconds (0: no header).
ResponseCallback = Callable[[int, int], None]
# Arguments: message id, stage before, stage after.
InvalidTransitionHandler = Callable[[str, "Stage | None", "Stage | None"], None]


class Stage(Enum):
    """Processing stage of an open message."""

    STORING = "storing"  # in the journal; the store has not confirmed its admission yet
    AWAITING_BATCH = "awaiting batch"  # the next batch passes it to the scheduler; its client waits
    WAITING = "waiting"  # admitted, and no call is in flight for it
    IN_FLIGHT = "in flight"  # part of a call that has begun or is about to begin
    # Owned by this process; its call was begun by the predecessor.
    IN_FLIGHT_AT_PREDECESSOR = "in flight at predecessor"
    SETTLING = "settling"  # delivered, unless a later response on its connection disputes that
    RESPONDING = "responding"  # rejected or failed; the response to its client waits for the store
    RECORDING_DELIVERY = "recording delivery"  # delivered; not recorded in the store yet
    RECORDING_FINAL_STATUS = "recording final status"  # rejected or failed; the report waits for the store
    REPORTING = "reporting"  # the final status is being reported to the platform
    # The client or the platform has the final status; the store does not have it yet.
    RECORDING_REPORTED = "recording reported final status"


# The message has its final status, and the store does not have it yet.
RECORDING_STAGES = (Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS, Stage.RECORDING_REPORTED)
# The client or the platform is owed nothing more, as far as is known.
COMPLETING_STAGES = (*RECORDING_STAGES, Stage.SETTLING)
_ENDING_STAGES = frozenset({Stage.RECORDING_DELIVERY, Stage.RECORDING_FINAL_STATUS, Stage.REPORTING})
# After a restart or a handover a message is in the stage that the journal, store or predecessor left it in.
_INITIAL_STAGES = (
    frozenset(
        {
            Stage.STORING,
            Stage.AWAITING_BATCH,
            Stage.WAITING,
            Stage.IN_FLIGHT_AT_PREDECESSOR,
            Stage.RECORDING_REPORTED,
        }
    )
    | _ENDING_STAGES
)
TRANSITIONS: dict[Stage | None, frozenset[Stage | None]] = {
    None: frozenset(_INITIAL_STAGES),
    Stage.STORING: frozenset({Stage.AWAITING_BATCH, Stage.WAITING, None}),
    Stage.AWAITING_BATCH: frozenset({Stage.WAITING, Stage.RESPONDING, None}),
    Stage.WAITING: frozenset({Stage.IN_FLIGHT, Stage.SETTLING, None}) | _ENDING_STAGES,
    Stage.IN_FLIGHT: frozenset({Stage.WAITING}),  # a message can't complete while its call is in flight
    Stage.IN_FLIGHT_AT_PREDECESSOR: frozenset({Stage.WAITING, None}),
    Stage.SETTLING: frozenset({Stage.WAITING, Stage.RECORDING_DELIVERY, None}),
    Stage.RESPONDING: frozenset({Stage.RECORDING_REPORTED, None}),
    Stage.RECORDING_DELIVERY: frozenset({Stage.RECORDING_FINAL_STATUS, None}),  # disputed, or recorded
    Stage.RECORDING_FINAL_STATUS: frozenset({Stage.REPORTING}),
    Stage.REPORTING: frozenset({Stage.RECORDING_REPORTED, None}),
    Stage.RECORDING_REPORTED: frozenset({None}),
}


@dataclass(slots=True)
class MessageState:
    """Stage of one message, and the data that the stage needs."""

    stage: Stage
    respond: ResponseCallback | None = None  # set while the client waits
    sent_at: int | None = None  # when its call began, in microseconds of the scheduler's clock
    host: str = ""  # target of the predecessor's call
    final_status: dict[str, Any] | None = None  # set until it is reported
    is_recorded: bool = False  # the store has the final status


class MessageStates:
    """States of all open messages of one relay, by message id.

    Args:
        on_invalid_transition: called for each transition that is not in TRANSITIONS.
    """

    def __init__(self, on_invalid_transition: InvalidTransitionHandler) -> None:
        self.by_message: dict[str, MessageState] = {}
        self.on_invalid_transition = on_invalid_transition
        self.awaiting_batch: list[str] = []  # messages that entered AWAITING_BATCH since the last batch
        self.counts = dict.fromkeys(Stage, 0)

    def stage(self, message_id: str) -> Stage | None:
        """Returns the stage of a message; None if it is complete or unknown."""
        state = self.by_message.get(message_id)
        return None if state is None else state.stage

    def messages_in_stage(self, stage: Stage) -> list[str]:
        """Returns the ids of the messages in a stage."""
        return [message_id for message_id, state in self.by_message.items() if state.stage is stage]

    def _move(self, message_id: str, stage: Stage) -> MessageState:
        state = self.by_message.get(message_id)
        if stage not in TRANSITIONS[None if state is None else state.stage]:
            self.on_invalid_transition(message_id, None if state is None else state.stage, stage)
        if state is None:
            state = self.by_message[message_id] = MessageState(stage)
        else:
            self.counts[state.stage] -= 1
            state.stage, state.sent_at = stage, None
        self.counts[stage] += 1
        return state

    def complete(self, message_id: str) -> MessageState | None:
        """Removes a completed message. Returns its last state; None if it was complete or unknown already."""
        state = self.by_message.pop(message_id, None)
        if state is not None:
            if None not in TRANSITIONS[state.stage]:
                self.on_invalid_transition(message_id, state.stage, None)
            self.counts[state.stage] -= 1
        return state

    # Admission

    def begin_storing(self, message_id: str, respond: ResponseCallback) -> None:
        """Notes that the store has been asked to admit a message; `respond` is its client's callback."""
        self._move(message_id, Stage.STORING).respond = respond

    def storing_callback(self, message_id: str) -> ResponseCallback | None:
        """Returns the response callback of a message in STORING; None if its client has disconnected."""
        state = self.by_message.get(message_id)
        return state.respond if state is not None and state.stage is Stage.STORING else None

    def await_batch(self, message_id: str, respond: ResponseCallback) -> None:
        """Notes that the next batch admits a message and responds to its client."""
        self._move(message_id, Stage.AWAITING_BATCH).respond = respond
        self.awaiting_batch.append(message_id)

    def enqueue(self, message_id: str) -> None:
        """Notes that a message was admitted before, by this process or an earlier one."""
        self._move(message_id, Stage.WAITING)

    def mark_admitted(self) -> list[ResponseCallback]:
        """Moves all messages that the batch has admitted to WAITING; returns their response callbacks."""
        callbacks = []
        for message_id in self.awaiting_batch:
            state = self.by_message.get(message_id)
            if state is not None and state.stage is Stage.AWAITING_BATCH and state.respond is not None:
                callbacks.append(state.respond)
                self._move(message_id, Stage.WAITING).respond = None
        self.awaiting_batch.clear()
        return callbacks

    # Attempts

    def begin_attempt(self, message_id: str, now: int) -> None:
        """Notes that a call with a message begins; `now` is in microseconds of the scheduler's clock."""
        self._move(message_id, Stage.IN_FLIGHT).sent_at = now

    def adopt_attempt(self, message_id: str, host: str, sent_at: int | None) -> None:
        """Notes that a call of the predecessor with a message is still in flight."""
        state = self._move(message_id, Stage.IN_FLIGHT_AT_PREDECESSOR)
        state.host, state.sent_at = host, sent_at

    def end_attempt(self, message_id: str) -> int | None:
        """Notes that a call has ended or was not made; returns when it began, None if unknown."""
        state = self.by_message.get(message_id)
        if state is None:
            self.on_invalid_transition(message_id, None, Stage.WAITING)
            return None
        sent_at = state.sent_at
        self._move(message_id, Stage.WAITING)
        return sent_at

    def begin_settling(self, message_id: str) -> None:
        """Notes that a message is delivered, unless a later response disputes that."""
        self._move(message_id, Stage.SETTLING)

    def end_settling(self, message_id: str) -> None:
        """Notes that the delivery of a message is disputed, and that it waits for another attempt."""
        self._move(message_id, Stage.WAITING)

    def attempts_in_flight(self) -> dict[str, int]:
        """Returns the time at which each call in flight began, by message id."""
        return {
            message_id: state.sent_at
            for message_id, state in self.by_message.items()
            if state.sent_at is not None
        }

    # Completion

    def begin_responding(self, message_id: str) -> ResponseCallback | None:
        """Begins to complete a message whose client still waits: the response carries the final status.

        Returns:
            The callback to call once the store has recorded the status; None if the client has its response.
        """
        state = self.by_message.get(message_id)
        if state is None or state.stage is not Stage.AWAITING_BATCH:
            return None
        respond, state.respond = state.respond, None
        self._move(message_id, Stage.RESPONDING)
        return respond

    def begin_recording_delivery(self, message_id: str) -> None:
        """Notes that a message is delivered and the store has been asked to record that."""
        self._move(message_id, Stage.RECORDING_DELIVERY)

    def begin_recording_final_status(self, message_id: str, final_status: dict[str, Any]) -> None:
        """Notes that a message is rejected or failed and the store has been asked to record that."""
        self._move(message_id, Stage.RECORDING_FINAL_STATUS).final_status = final_status

    def begin_reporting(self, message_id: str) -> dict[str, Any] | None:
        """Notes that the report of a final status begins; returns the status, or None if none is due."""
        state = self.by_message.get(message_id)
        if state is None or state.stage is not Stage.RECORDING_FINAL_STATUS:
            return None
        final_status, state.final_status = state.final_status, None
        self._move(message_id, Stage.REPORTING)
        return final_status

    def report_without_store(self, message_id: str) -> None:
        """Notes that the final status of a message is reported at once, as there is no store to record it."""
        self._move(message_id, Stage.REPORTING).is_recorded = True

    def mark_recorded(self, message_id: str) -> None:
        """Notes that the store has the final status of a message."""
        if (state := self.by_message.get(message_id)) is not None:
            state.is_recorded = True

    def is_recorded(self, message_id: str) -> bool:
        """Returns whether the store has the final status of a message; True for an unknown one."""
        state = self.by_message.get(message_id)
        return state is None or state.is_recorded

    def begin_recording_reported(self, message_id: str) -> None:
        """Notes that a final status was reported before the store has recorded it."""
        self._move(message_id, Stage.RECORDING_REPORTED)
