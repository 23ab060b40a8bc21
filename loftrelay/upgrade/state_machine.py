"""Who owns the state in each step of a handover, on both sides. Performs no input or output.

The owner is the process that holds the lock of the state folder; it alone writes the journal, calls hosts,
admits messages and reports final statuses. A handover has these steps:

    successor                           predecessor
    connects, requests the handover  -> pauses: it still owns all, and decides nothing
    reads state and journal          <- exports its state
    reports that it has loaded them  -> releases the lock and the journal, in one step
    owns all, and continues          <- transfers clients, and outcomes of attempts in flight

A process that is lost before the release leaves the predecessor as it was. A successor that is lost after it
has the predecessor start again from the journal, once it gets the lock; one that was requested to stop exits
instead. Events that a table below does not name for a state change nothing. Times are microseconds on any one
clock.
"""

from __future__ import annotations

from enum import Enum, auto

MAX_HANDOVER_PAUSE_US = (
    1_500_000  # clients wait 400 ms for an answer; a longer pause would only reject more of them
)
RETRY_DELAY_US = 50_000  # between the attempts of a successor to get the lock or to reach a predecessor


class PredecessorState(Enum):
    """Where the serving process stands. Those named STOPPING were also requested to stop."""

    SERVING = auto()
    STOPPING = auto()  # as the owner of all
    PAUSED = auto()
    PAUSED_STOPPING = auto()
    HANDED_OVER = auto()
    HANDED_OVER_STOPPING = auto()


class PredecessorEvent(Enum):
    """What the serving process learns."""

    REQUESTED = auto()  # another process wants to take over
    LOADED = auto()  # it has read state and journal
    TIMED_OUT = auto()  # it did not do so in time
    CHANNEL_LOST = auto()
    STOP_REQUESTED = auto()


class PredecessorAction(Enum):
    """What the serving process has to do."""

    REFUSE = auto()
    PAUSE = auto()
    EXPORT_STATE = auto()
    RESUME = auto()  # serve on as if no handover had been requested
    RELEASE = auto()  # the lock and the journal, in one step
    TRANSFER = auto()  # clients, and outcomes of attempts in flight
    STOP = auto()  # in order, as the owner of all
    EXIT = auto()  # once no attempt of its own is in flight
    RESTART = auto()  # start again from the journal, in this process


_PREDECESSOR_TRANSITIONS: dict[
    PredecessorEvent, dict[PredecessorState, tuple[PredecessorState, tuple[PredecessorAction, ...]]]
] = {
    PredecessorEvent.REQUESTED: {
        PredecessorState.SERVING: (
            PredecessorState.PAUSED,
            (PredecessorAction.PAUSE, PredecessorAction.EXPORT_STATE),
        ),
        **{
            state: (state, (PredecessorAction.REFUSE,))
            for state in PredecessorState
            if state is not PredecessorState.SERVING
        },
    },
    PredecessorEvent.LOADED: {
        PredecessorState.PAUSED: (
            PredecessorState.HANDED_OVER,
            (PredecessorAction.RELEASE, PredecessorAction.TRANSFER),
        ),
        PredecessorState.PAUSED_STOPPING: (
            PredecessorState.HANDED_OVER_STOPPING,
            (PredecessorAction.RELEASE, PredecessorAction.TRANSFER, PredecessorAction.EXIT),
        ),
    },
    PredecessorEvent.TIMED_OUT: {
        PredecessorState.PAUSED: (PredecessorState.SERVING, (PredecessorAction.RESUME,)),
        PredecessorState.PAUSED_STOPPING: (
            PredecessorState.STOPPING,
            (PredecessorAction.RESUME, PredecessorAction.STOP),
        ),
    },
    PredecessorEvent.CHANNEL_LOST: {
        PredecessorState.PAUSED: (PredecessorState.SERVING, (PredecessorAction.RESUME,)),
        PredecessorState.PAUSED_STOPPING: (
            PredecessorState.STOPPING,
            (PredecessorAction.RESUME, PredecessorAction.STOP),
        ),
        PredecessorState.HANDED_OVER: (PredecessorState.HANDED_OVER, (PredecessorAction.RESTART,)),
    },
    PredecessorEvent.STOP_REQUESTED: {
        PredecessorState.SERVING: (PredecessorState.STOPPING, (PredecessorAction.STOP,)),
        PredecessorState.PAUSED: (PredecessorState.PAUSED_STOPPING, ()),
        PredecessorState.HANDED_OVER: (PredecessorState.HANDED_OVER_STOPPING, (PredecessorAction.EXIT,)),
    },
}


class Predecessor:
    """The side of the serving process."""

    def __init__(self) -> None:
        self.state = PredecessorState.SERVING
        self._pause_ends_at = 0

    @property
    def is_owner(self) -> bool:
        """Whether this process still owns the state."""
        return self.state not in (PredecessorState.HANDED_OVER, PredecessorState.HANDED_OVER_STOPPING)

    @property
    def is_serving(self) -> bool:
        """Whether a request for a handover is accepted."""
        return self.state is PredecessorState.SERVING

    def on_request(self, now: int) -> tuple[PredecessorAction, ...]:
        """Another process wants to take over."""
        if self.is_serving:
            self._pause_ends_at = now + MAX_HANDOVER_PAUSE_US
        return self._apply(PredecessorEvent.REQUESTED)

    def on_loaded(self, now: int) -> tuple[PredecessorAction, ...]:
        """The successor has read state and journal. Too late a report counts as none."""
        return self._apply(
            PredecessorEvent.TIMED_OUT if now >= self._pause_ends_at else PredecessorEvent.LOADED
        )

    def on_timer(self, now: int) -> tuple[PredecessorAction, ...]:
        """The longest pause may be over."""
        return self._apply(PredecessorEvent.TIMED_OUT) if now >= self._pause_ends_at else ()

    def on_channel_lost(self) -> tuple[PredecessorAction, ...]:
        """The channel to the successor has ended."""
        return self._apply(PredecessorEvent.CHANNEL_LOST)

    def on_stop_requested(self) -> tuple[PredecessorAction, ...]:
        """The process is to end."""
        return self._apply(PredecessorEvent.STOP_REQUESTED)

    def _apply(self, event: PredecessorEvent) -> tuple[PredecessorAction, ...]:
        self.state, actions = _PREDECESSOR_TRANSITIONS[event].get(self.state, (self.state, ()))
        return actions


class SuccessorState(Enum):
    """Where a process stands that wants to serve."""

    TRYING = auto()  # to get the lock, or to reach a predecessor
    REQUESTED = auto()
    LOADED = auto()
    OWNER = auto()


class SuccessorEvent(Enum):
    """What a process learns that wants to serve."""

    LOCK_ACQUIRED = auto()  # no other process owns the state
    CONNECTED = auto()  # to a predecessor
    UNREACHABLE = auto()  # neither the lock nor a predecessor
    STATE_RECEIVED = auto()  # the predecessor has paused
    OWNERSHIP_RECEIVED = auto()  # with the lock
    CHANNEL_LOST = auto()  # or the predecessor refuses


class SuccessorAction(Enum):
    """What a process has to do that wants to serve."""

    REQUEST = auto()
    LOAD = auto()  # state and journal; nothing is written
    REPORT_LOADED = auto()
    DISCARD = auto()  # all that was loaded: another process goes on owning it
    START = auto()  # from the journal alone
    CONTINUE = auto()  # with what was handed over
    RETRY = auto()


_SUCCESSOR_TRANSITIONS: dict[
    SuccessorEvent, dict[SuccessorState, tuple[SuccessorState, tuple[SuccessorAction, ...]]]
] = {
    SuccessorEvent.LOCK_ACQUIRED: {
        SuccessorState.TRYING: (SuccessorState.OWNER, (SuccessorAction.START,)),
    },
    SuccessorEvent.CONNECTED: {
        SuccessorState.TRYING: (SuccessorState.REQUESTED, (SuccessorAction.REQUEST,)),
    },
    SuccessorEvent.UNREACHABLE: {
        SuccessorState.TRYING: (SuccessorState.TRYING, (SuccessorAction.RETRY,)),
    },
    SuccessorEvent.STATE_RECEIVED: {
        SuccessorState.REQUESTED: (
            SuccessorState.LOADED,
            (SuccessorAction.LOAD, SuccessorAction.REPORT_LOADED),
        ),
    },
    SuccessorEvent.OWNERSHIP_RECEIVED: {
        SuccessorState.LOADED: (SuccessorState.OWNER, (SuccessorAction.CONTINUE,)),
    },
    SuccessorEvent.CHANNEL_LOST: {  # for an owner, attempts that are still in flight there count as broken
        SuccessorState.TRYING: (SuccessorState.TRYING, (SuccessorAction.RETRY,)),
        SuccessorState.REQUESTED: (SuccessorState.TRYING, (SuccessorAction.RETRY,)),
        SuccessorState.LOADED: (SuccessorState.TRYING, (SuccessorAction.DISCARD, SuccessorAction.RETRY)),
    },
}


class Successor:
    """The side of the process that is to serve."""

    def __init__(self) -> None:
        self.state = SuccessorState.TRYING

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the state."""
        return self.state is SuccessorState.OWNER

    def on_try(self, is_locked: bool, is_connected: bool) -> tuple[SuccessorAction, ...]:
        """Whether the lock was free and is held now, and whether a predecessor was reached."""
        if is_locked:
            return self._apply(SuccessorEvent.LOCK_ACQUIRED)
        return self._apply(SuccessorEvent.CONNECTED if is_connected else SuccessorEvent.UNREACHABLE)

    def on_state_received(self) -> tuple[SuccessorAction, ...]:
        """The predecessor has paused and exported its state."""
        return self._apply(SuccessorEvent.STATE_RECEIVED)

    def on_ownership_received(self) -> tuple[SuccessorAction, ...]:
        """The predecessor has released the lock to this process."""
        return self._apply(SuccessorEvent.OWNERSHIP_RECEIVED)

    def on_channel_lost(self) -> tuple[SuccessorAction, ...]:
        """The channel has ended, or the predecessor refuses."""
        return self._apply(SuccessorEvent.CHANNEL_LOST)

    def _apply(self, event: SuccessorEvent) -> tuple[SuccessorAction, ...]:
        self.state, actions = _SUCCESSOR_TRANSITIONS[event].get(self.state, (self.state, ()))
        return actions
