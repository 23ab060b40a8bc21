"""What the engine asks of the parts round it. They know the engine and this file, never each other."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any, Protocol

from loftrelay.decisions.events import AttemptStatus, EndpointEntry
from loftrelay.net.address import Address
from loftrelay.relay.message import Held, Remembered


class JournalFull(Exception):
    """The record was not written, for want of room."""


@dataclass(frozen=True, slots=True)
class Ending:
    """How one attempt ended."""

    result: AttemptStatus
    over: bool = False  # delivered: nothing more is owed
    expired: bool = False  # its host holds that its time is up: its end is owed, and never an attempt more
    wait: int = 0  # told wait, microseconds
    idle: int | None = None  # how long its connection had stood idle, microseconds; 0: a new one
    stale: bool = False  # not begun, or not whole when taken back: what was decided holds no more
    held: bool = False  # not begun, or not whole when taken back: its host told to wait since it was decided
    late: bool = False  # the process stood still while it was out: when it came is not known


@dataclass(frozen=True, slots=True)
class Terms:
    """How a call is to be made."""

    timeout: float  # seconds
    batch: bool
    unsafe: bool  # it holds a message that must not run twice
    most_idle: int | None  # no connection that has stood idle for so long (microseconds) carries it
    begin_within: float = math.inf  # seconds in which its last byte goes out, or none does


class Journal(Protocol):
    """The messages that are not over, and keys whose last attempt may still run, over restarts."""

    held: dict[str, Held]
    doubts: dict[str, int]

    def ended(self, message: str) -> Remembered | None: ...
    def take(self, held: Held) -> None: ...
    def outcome(self, held: Held, result: AttemptStatus) -> None: ...
    def end(self, message: str, notice: dict[str, Any]) -> None: ...
    def doubt(self, held: Held, host: str, ran_at: int) -> None: ...
    def over(self, message: str, status: int = 0) -> None: ...
    def close(self) -> None: ...


class Taken(Protocol):
    """What a store of record said of a message that is to be taken on."""

    retry_ms: int  # refused: when to come back

    @property
    def status(self) -> int:
        """Of the answer to its client, where its id is known; 0: it is new, and stored."""
        ...


class Permit(Protocol):
    """Says whether a call that the module has decided may begin: a store that must have its intent, what may
    be sent at all, whose message it is. Calls back from the loop, at once or later."""

    @property
    def retry_ms(self) -> int:
        """After a no: when to ask again, at the least."""
        ...

    def intend(self, messages: Sequence[Held], host: str, done: Callable[[bool], None]) -> None: ...
    def outcome(self, message: str, result: str) -> None:
        """Of an attempt that it let begin, or was asked for; a delivery is told by Watcher.ended alone."""
        ...


class Watcher(Protocol):
    """Hears what this relay sees for itself; what others see comes back by Engine.hear."""

    def ended(self, held: Held, host: str, ending: Ending) -> None: ...
    def taken_out(self, host: str) -> None: ...
    def brought_back(self, host: str) -> None: ...


class Record(Permit, Protocol):
    """The store of record, where the operator has set one. Calls back from the loop, at once or later."""

    def take(self, held: Held, done: Callable[[Taken], None]) -> None: ...
    def end(self, message: str, answer: str, result: str | None, done: Callable[[], None]) -> None: ...
    def told(self, message: str) -> None: ...
    def answer(self, message: str) -> str | None: ...
    def recover(self, held: Held | None, message: str, unsafe: bool) -> str: ...
    def unheld(self, held: Mapping[str, Held]) -> Sequence[str]: ...


class Delivery(Protocol):
    """Carries calls out. Each message of a call ends by one Engine.ended."""

    @property
    def busy(self) -> bool: ...
    def place(self, host: str, address: Address, destination: int) -> None: ...
    def drain(self, host: str) -> None: ...
    def forget(self, host: str) -> None: ...
    def close_idle(self, host: str) -> None: ...
    def close_all_idle(self) -> None: ...
    def hold(self) -> None:
        """A wait was told: calls to hosts that Engine.bound names now are taken back, each message by one
        Engine.ended, as long as their last byte is not written."""

    def send(self, host: str, messages: list[Held], terms: Terms) -> None: ...
    def recall(self) -> list[tuple[Held, str]]:
        """Takes back the calls of which not a byte was written: the messages, and where they were to go."""
        ...

    def close(self) -> None: ...


class Directory(Protocol):
    """The list of hosts. What it says comes by Engine.listed."""

    address: Address
    revision: int | None

    def take_known(self, known: Mapping[str, Any]) -> None: ...
    def watch(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self, revision: int | None) -> None: ...
    def move(self, address: Address) -> None: ...
    def close(self) -> None: ...


class Slice(Enum):
    """What became of a destination that was asked for. It is told by Engine.sliced."""

    HELD = auto()  # its hosts are in the list now
    EMPTY = auto()  # nobody lists it
    AWAY = auto()  # nobody could say within the time set


class Slices(Protocol):
    """A directory that holds the destinations alone that this relay serves (docs/slices.md)."""

    def want(self, destination: int) -> None:
        """A message came for one that is not held: one Engine.sliced follows, in the time set, at the latest.
        Asked again meanwhile, the one answer stands for all."""

    def use(self, destination: int) -> None:
        """A message came for one that is held: it is not idle."""

    def adopt(
        self, revision: int | None, destinations: Iterable[int], rows: Iterable[tuple[EndpointEntry, Address]]
    ) -> None:
        """Before `resume`: what another process of this relay held, whole as of that revision."""


class NoticeBoard(Protocol):
    """Where the platform is told of ends. What it has heard comes by Engine.noticed."""

    @property
    def open(self) -> int: ...
    def add(self, message: str, notice: dict[str, Any]) -> None: ...
    def move(self, address: Address) -> None: ...
    def close(self) -> None: ...


class Away(Protocol):
    """Hears what becomes known of calls while another process decides, or is about to."""

    def told(self, host: str, wait: int) -> None: ...
    def ended(self, message: str, host: str, ending: Ending) -> None: ...
    def doubted(self, message: str, host: str, ran_at: int) -> None: ...
