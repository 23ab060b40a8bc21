"""State machines of the two processes of a handover. Does no input or output.

The owner is the process that holds the lock of the state folder. Only the owner writes the journal, calls
hosts, admits messages and reports final statuses. A handover has these steps:

    successor                           predecessor
    connects, requests the handover  -> pauses: still the owner, but makes no decisions
    loads state and journal          <- exports its state
    reports that they are loaded     -> releases the lock and the journal in one step
    is the owner, and continues      <- transfers clients, and forwards outcomes of attempts in flight

If the successor is lost before the release, the predecessor resumes serving. If it is lost afterwards, the
predecessor restarts from the journal once it gets the lock; a predecessor that was requested to stop exits
instead. An event without an entry for the current state in the tables below has no effect. Times are
microseconds on any one clock.
"""

from __future__ import annotations

from enum import Enum, auto

# Clients wait 400 ms for a response, so a longer pause would only reject more of them.
MAX_HANDOVER_PAUSE_US = 1_500_000
RETRY_DELAY_US = 50_000  # between a successor's attempts to acquire the lock or to connect to a predecessor


class PredecessorState(Enum):
    """States of the serving process. In those named STOPPING, it was also requested to stop."""

    SERVING = auto()
    STOPPING = auto()  # as the owner
    PAUSED = auto()
    PAUSED_STOPPING = auto()
    HANDED_OVER = auto()
    HANDED_OVER_STOPPING = auto()


class PredecessorEvent(Enum):
    """Events at the serving process."""

    REQUESTED = auto()  # a successor requested the handover
    LOADED = auto()  # the successor has loaded state and journal
    TIMED_OUT = auto()  # the successor exceeded the maximum pause
    CHANNEL_LOST = auto()
    STOP_REQUESTED = auto()


class PredecessorAction(Enum):
    """Actions that the serving process executes."""

    REFUSE = auto()
    PAUSE = auto()
    EXPORT_STATE = auto()
    RESUME = auto()  # serving, as if no handover had been requested
    RELEASE = auto()  # the lock and the journal, in one step
    TRANSFER = auto()  # clients, and outcomes of attempts in flight
    STOP = auto()  # gracefully, as the owner
    EXIT = auto()  # once no attempt of this process is in flight
    RESTART = auto()  # from the journal, in the same process


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
    """State machine of the serving process."""

    def __init__(self) -> None:
        self.state = PredecessorState.SERVING
        self._pause_ends_at_us = 0

    @property
    def is_owner(self) -> bool:
        """Whether this process still owns the state."""
        return self.state not in (PredecessorState.HANDED_OVER, PredecessorState.HANDED_OVER_STOPPING)

    @property
    def is_serving(self) -> bool:
        """Whether a request for a handover would be accepted."""
        return self.state is PredecessorState.SERVING

    def on_request(self, now_us: int) -> tuple[PredecessorAction, ...]:
        """Handles a request for a handover; returns the actions to execute, as the other methods do."""
        if self.is_serving:
            self._pause_ends_at_us = now_us + MAX_HANDOVER_PAUSE_US
        return self._apply(PredecessorEvent.REQUESTED)

    def on_loaded(self, now_us: int) -> tuple[PredecessorAction, ...]:
        """Handles the successor's report that it has loaded the state; a late one counts as a timeout."""
        return self._apply(
            PredecessorEvent.TIMED_OUT if now_us >= self._pause_ends_at_us else PredecessorEvent.LOADED
        )

    def on_timer(self, now_us: int) -> tuple[PredecessorAction, ...]:
        """Handles the timer of the pause; has no effect before the maximum pause has passed."""
        return self._apply(PredecessorEvent.TIMED_OUT) if now_us >= self._pause_ends_at_us else ()

    def on_channel_lost(self) -> tuple[PredecessorAction, ...]:
        """Handles the loss of the channel to the successor."""
        return self._apply(PredecessorEvent.CHANNEL_LOST)

    def on_stop_requested(self) -> tuple[PredecessorAction, ...]:
        """Handles a request to stop this process."""
        return self._apply(PredecessorEvent.STOP_REQUESTED)

    def _apply(self, event: PredecessorEvent) -> tuple[PredecessorAction, ...]:
        self.state, actions = _PREDECESSOR_TRANSITIONS[event].get(self.state, (self.state, ()))
        return actions


class SuccessorState(Enum):
    """States of a starting process, which acquires the state alone or as a successor."""

    TRYING = auto()  # to acquire the lock or to connect to a predecessor
    REQUESTED = auto()
    LOADED = auto()
    OWNER = auto()


class SuccessorEvent(Enum):
    """Events at a starting process."""

    LOCK_ACQUIRED = auto()  # no other process owns the state
    CONNECTED = auto()  # to a predecessor
    UNREACHABLE = auto()  # the lock is held, and its holder accepts no connection
    STATE_RECEIVED = auto()  # the predecessor has paused
    OWNERSHIP_RECEIVED = auto()  # the lock was received
    CHANNEL_LOST = auto()  # or the predecessor refused the handover


class SuccessorAction(Enum):
    """Actions that a starting process executes."""

    REQUEST = auto()
    LOAD = auto()  # state and journal, without writing
    REPORT_LOADED = auto()
    DISCARD = auto()  # everything loaded, since another process remains the owner
    START = auto()  # from the journal alone
    CONTINUE = auto()  # with the state that was handed over
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
    # No entry for OWNER: it continues, and attempts still in flight at the predecessor count as broken.
    SuccessorEvent.CHANNEL_LOST: {
        SuccessorState.TRYING: (SuccessorState.TRYING, (SuccessorAction.RETRY,)),
        SuccessorState.REQUESTED: (SuccessorState.TRYING, (SuccessorAction.RETRY,)),
        SuccessorState.LOADED: (SuccessorState.TRYING, (SuccessorAction.DISCARD, SuccessorAction.RETRY)),
    },
}


class Successor:
    """State machine of a starting process."""

    def __init__(self) -> None:
        self.state = SuccessorState.TRYING

    @property
    def is_owner(self) -> bool:
        """Whether this process owns the state."""
        return self.state is SuccessorState.OWNER

    def on_acquire_attempted(self, has_lock: bool, is_connected: bool) -> tuple[SuccessorAction, ...]:
        """Handles the result of an attempt to acquire the lock, or else to connect to a predecessor.

        Returns:
            The actions to execute, as the other methods do.
        """
        if has_lock:
            return self._apply(SuccessorEvent.LOCK_ACQUIRED)
        return self._apply(SuccessorEvent.CONNECTED if is_connected else SuccessorEvent.UNREACHABLE)

    def on_state_received(self) -> tuple[SuccessorAction, ...]:
        """Handles the exported state of the predecessor, which has paused."""
        return self._apply(SuccessorEvent.STATE_RECEIVED)

    def on_ownership_received(self) -> tuple[SuccessorAction, ...]:
        """Handles the lock that the predecessor has released to this process."""
        return self._apply(SuccessorEvent.OWNERSHIP_RECEIVED)

    def on_channel_lost(self) -> tuple[SuccessorAction, ...]:
        """Handles the loss of the channel, or a refusal of the predecessor."""
        return self._apply(SuccessorEvent.CHANNEL_LOST)

    def _apply(self, event: SuccessorEvent) -> tuple[SuccessorAction, ...]:
        self.state, actions = _SUCCESSOR_TRANSITIONS[event].get(self.state, (self.state, ()))
        return actions
