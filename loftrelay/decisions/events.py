"""Events that the decisions are told: messages, outcomes, endpoint lists, operators' calls and settings.

All times and durations are integer microseconds on the clock of the batch. A value not given is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from loftrelay.decisions.settings import MessageTerms, RelaySettings


class AttemptStatus(Enum):
    """How an attempt ended."""

    OK = "OK"  # delivered
    ERROR = "ERROR"  # the destination answered with an error; the effect may have taken place
    REJECTED = "FULL"  # turned away unseen: over a limit, queue full, shut or draining
    TIMEOUT = "TIMEOUT"  # no answer in time; the effect may have taken place, or still do so
    CONNECT_FAILED = "NO_CONNECTION"  # never connected, so never ran
    CONNECTION_LOST = "BROKEN"  # the connection broke while the attempt was out; may have run
    MALFORMED_RESPONSE = "SPOILT"  # an answer came and can't be read; it has run, and the host is up
    CANCELLED = "CANCELLED"  # called off by this instance; may have run
    NOT_SENT = "NOT_SENT"  # never left this instance


class EndpointState(Enum):
    """Standing of an endpoint in the list; says nothing of health."""

    ACTIVE = "LISTED"
    DRAINING = "DRAINING"
    REMOVED = "GONE"


class EndpointListKind(Enum):
    """What a list event brings."""

    DELTA = auto()
    FULL = auto()
    CACHED = auto()  # the whole list as last saved; may be old
    FAILED = auto()  # a request for the list failed, or the subscription broke


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    endpoint: str
    destination: int
    state: EndpointState
    zone: str | None
    kind: str | None
    listed_rate: float | None


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True, frozen=True)
class MessageSubmitted:
    """A message to deliver, ending exactly once."""

    message_id: str
    destination: int
    class_name: str
    tenant: str | None
    time_remaining: int
    ordering_key: str | None
    terms: MessageTerms | None = None  # under which it was taken on; None: those in force


@dataclass(slots=True, frozen=True)
class MessageRecovered:
    """A message that this relay had taken on before it restarted. They come in their first order."""

    submission: MessageSubmitted
    age: int
    attempts: int
    first_attempt_age: int | None  # how long ago the first attempt that may have run was sent, and where
    first_attempt_endpoint: str | None
    is_ended: bool  # its end is decided; only Noticed is missing


@dataclass(slots=True, frozen=True)
class OrderingKeyCooldown:
    """An attempt from before a restart may still be running: its key rests."""

    ordering_key: str
    remaining: int


@dataclass(slots=True, frozen=True)
class FinalStatusReported:
    """The end of a refused or failed message has been heard; only now is the message over."""

    message_id: str


@dataclass(slots=True, frozen=True)
class OutcomeDisputed:
    """An answer that said this message had not run was, or may have been, another call's: it may have run."""

    message_id: str
    endpoint: str
    attempt_age: int  # how long ago that attempt was sent


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    message_id: str
    attempt: int
    endpoint: str
    result: AttemptStatus
    elapsed: int
    is_final: bool  # the message has ended; if not, a final answer is still owed
    retry_after: int  # told wait, 0 if none
    rate_limit: float | None  # report: calls a second that the destination takes from all; 0 for no limit
    rate_limit_remaining: float | None  # report: share of that limit left
    connection_idle: int | None = None  # how long its connection had stood idle; 0: a new one; None: not told
    is_expired: bool = False  # the destination holds that the message's time is up: it takes it no more
    postponed_for: int = 0  # not begun, for a reason of this relay's own: it costs no try, and waits so long
    is_late: bool = False  # this relay stood still while it was out, and when it came is not known


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The answer of a streamed message began; the attempt now belongs to the client."""

    message_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class MessageCancelled:
    message_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Only wakes the module; the token is not looked at."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Not acted on: the module sends no probes, for each counts as a call."""

    endpoint: str
    result: AttemptStatus
    elapsed: int


@dataclass(slots=True, frozen=True)
class EndpointDisabled:
    """The operator leaves this endpoint out, whatever the list says, until BroughtBack."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class EndpointEnabled:
    """It may serve again. It was restarted meanwhile, so that it is cold."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class DestinationsReleased:
    """This instance serves these destinations no more. Their endpoints are forgotten, and what still binds
    comes back with the first entry that names the destination again. One that is not idle (Brain.idle) stays
    as it is.
    """

    destinations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings from now on. Messages taken on before keep their terms."""

    settings: RelaySettings


Event = (
    EndpointListReceived
    | MessageSubmitted
    | MessageRecovered
    | OrderingKeyCooldown
    | FinalStatusReported
    | OutcomeDisputed
    | AttemptEnded
    | ResponseStarted
    | MessageCancelled
    | TimerFired
    | ProbeResult
    | EndpointDisabled
    | EndpointEnabled
    | DestinationsReleased
    | SettingsChanged
)
