"""Who owns the messages, step by step, on both sides of a handover. It does no input or output.

The owner is the process that holds the lock of the state folder; it alone writes the journal, calls hosts,
takes messages on and tells of ends. The predecessor first stands still (FROZEN): it still owns all, and
decides nothing. The successor reads what lies there and says so; only then, in one step, does the predecessor
let go (GIVEN). Whoever is lost before that step leaves the predecessor as it was.
"""

from __future__ import annotations

from enum import Enum, auto

LONGEST_STILL = 1_500_000  # microseconds for which the predecessor stands still: clients wait for 400 ms
RETRY = 50_000  # microseconds until a successor tries again


class Stage(Enum):
    SERVING = auto()
    FROZEN = auto()
    GIVEN = auto()


class Do(Enum):
    """What the process that serves is to do."""

    REFUSE = auto()  # tell who asks that it can't have it
    FREEZE = auto()
    TELL = auto()  # the state
    THAW = auto()  # serve again, as if nothing had been asked
    GIVE = auto()  # let go of the lock and the journal, in one step
    HAND_OVER = auto()  # clients, and outcomes of what is still out
    STOP = auto()  # an orderly end of a process that owns all
    END = auto()  # once nothing of its own is out any more
    TAKE_BACK = auto()  # start anew from the journal, in this process


class Predecessor:
    """The process that serves. Times are microseconds on any one clock."""

    def __init__(self) -> None:
        self.stage = Stage.SERVING
        self.stopping = False
        self.due = 0  # FROZEN: until when

    def asked(self, now: int) -> list[Do]:
        """Another process wants to take over."""
        if self.stopping or self.stage is not Stage.SERVING:
            return [Do.REFUSE]
        self.stage, self.due = Stage.FROZEN, now + LONGEST_STILL
        return [Do.FREEZE, Do.TELL]

    def loaded(self, now: int) -> list[Do]:
        """It has read all, and can go on."""
        if self.stage is not Stage.FROZEN or now >= self.due:
            return self.overdue(now)
        self.stage = Stage.GIVEN
        return [Do.GIVE, Do.HAND_OVER, *([Do.END] if self.stopping else [])]

    def overdue(self, now: int) -> list[Do]:
        if self.stage is Stage.FROZEN and now >= self.due:
            return self._back()
        return []

    def lost(self) -> list[Do]:
        """The channel to the successor has ended."""
        if self.stage is Stage.FROZEN:
            return self._back()
        if self.stage is Stage.GIVEN and not self.stopping:
            return [Do.TAKE_BACK]
        return []

    def stop(self) -> list[Do]:
        """It is told to end."""
        if self.stopping:
            return []
        self.stopping = True
        if self.stage is Stage.SERVING:
            return [Do.STOP]
        return [Do.END] if self.stage is Stage.GIVEN else []

    def _back(self) -> list[Do]:
        self.stage = Stage.SERVING
        return [Do.THAW, *([Do.STOP] if self.stopping else [])]


class Step(Enum):
    """Where a process stands that wants to serve."""

    TRYING = auto()  # for the lock, or for a predecessor that answers
    ASKED = auto()
    LOADED = auto()
    OWNER = auto()


class Next(Enum):
    """What it is to do."""

    ASK = auto()
    LOAD = auto()  # read the state and the journal, and write nothing
    SAY_LOADED = auto()
    FORGET = auto()  # all that was loaded: it is not its own
    START = auto()  # from the journal alone: nobody else owns it
    GO_ON = auto()  # with what was handed over
    RETRY = auto()


class Successor:
    def __init__(self) -> None:
        self.step = Step.TRYING

    def try_again(self, locked: bool, connected: bool) -> list[Next]:
        """Whether the lock was free and is its own now, and whether a predecessor can be reached."""
        if self.step is not Step.TRYING:
            return []
        if locked:
            self.step = Step.OWNER
            return [Next.START]
        if connected:
            self.step = Step.ASKED
            return [Next.ASK]
        return [Next.RETRY]

    def told(self) -> list[Next]:
        """The predecessor stands still and tells its state."""
        if self.step is not Step.ASKED:
            return []
        self.step = Step.LOADED
        return [Next.LOAD, Next.SAY_LOADED]

    def given(self) -> list[Next]:
        """The lock has come with the predecessor's word."""
        if self.step is not Step.LOADED:
            return []
        self.step = Step.OWNER
        return [Next.GO_ON]

    def lost(self) -> list[Next]:
        """The channel has ended, or the predecessor refuses."""
        if self.step is Step.OWNER:
            return []  # what was still out there is lost with it, and counts as broken
        loaded, self.step = self.step is Step.LOADED, Step.TRYING
        return [*([Next.FORGET] if loaded else []), Next.RETRY]
