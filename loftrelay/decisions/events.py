"""Events that the decisions are told: messages, outcomes, endpoint lists, operators' calls and settings.

All times and durations are integer microseconds on the clock of the batch. A value not given is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from loftrelay.decisions.settings import MessageTerms, RelaySettings


class AttemptStatus(Enum):
    """How an attempt ended. Values are the names in stored records."""

    OK = "OK"  # delivered
    ERROR = "ERROR"  # the endpoint responded with an error; the effect may have taken place
    REJECTED = "FULL"  # rejected unseen: over a limit, queue full, shut or draining
    TIMEOUT = "TIMEOUT"  # no response in time; the effect may have taken place, or still do so
    CONNECT_FAILED = "NO_CONNECTION"  # no connection was established, so it has not run
    CONNECTION_LOST = "BROKEN"  # the connection was lost during the attempt; may have run
    MALFORMED_RESPONSE = "SPOILT"  # the response can't be read; it has run, and the endpoint is up
    CANCELLED = "CANCELLED"  # cancelled by this relay; may have run
    NOT_SENT = "NOT_SENT"  # has not left this relay


class EndpointState(Enum):
    """State of an endpoint in the list, not its health. Values are the names in stored records."""

    ACTIVE = "LISTED"
    DRAINING = "DRAINING"
    REMOVED = "GONE"


class EndpointListKind(Enum):
    """What an endpoint list brings."""

    DELTA = auto()  # the changes since the last one
    FULL = auto()
    CACHED = auto()  # the full list as last saved; may be old
    FAILED = auto()  # a request for the list failed, or the watch broke


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint in the list."""

    endpoint: str
    destination: int
    state: EndpointState
    zone: str | None
    kind: str | None
    listed_rate: float | None  # calls a second from all relays


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """A list, its changes, or the failure to get one."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True, frozen=True)
class MessageSubmitted:
    """A message to deliver, which ends exactly once."""

    message_id: str
    destination: int
    class_name: str
    tenant: str | None
    time_remaining: int
    ordering_key: str | None
    terms: MessageTerms | None = None  # under which it was admitted; None: those in force


@dataclass(slots=True, frozen=True)
class MessageRecovered:
    """A message that this relay had admitted before it restarted. They come in their first order."""

    submission: MessageSubmitted
    age: int
    attempts: int
    first_attempt_age: int | None  # since the first attempt that may have run; None: there was none
    first_attempt_endpoint: str | None
    is_ended: bool  # its end is decided; only FinalStatusReported is missing


@dataclass(slots=True, frozen=True)
class OrderingKeyCooldown:
    """An attempt from before a restart may still be running: its ordering key waits."""

    ordering_key: str
    remaining: int


@dataclass(slots=True, frozen=True)
class FinalStatusReported:
    """The platform knows the final status of a rejected or failed message: the next of its key may go."""

    message_id: str


@dataclass(slots=True, frozen=True)
class OutcomeDisputed:
    """The response that said a message had not run may have been another call's: it may have run."""

    message_id: str
    endpoint: str
    attempt_age: int  # since that attempt was sent


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt."""

    message_id: str
    attempt: int  # from 0
    endpoint: str
    status: AttemptStatus
    elapsed: int
    is_final: bool  # delivered: nothing more is owed
    retry_after: int  # 0: none was told
    rate_limit: float | None  # load report: calls a second from all relays; 0: no limit
    rate_limit_remaining: float | None  # load report: share of that limit left
    connection_idle: int | None = None  # how long its connection was idle before; 0: new; None: unknown
    is_expired: bool = False  # the endpoint takes the message's deadline as over, and accepts it no more
    postponed_for: int = 0  # not begun for a reason of this relay's own: costs no attempt, and waits so long
    is_late: bool = False  # this relay was stalled meanwhile; when the response came is not known


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The response to a streamed message began; the attempt now belongs to the client."""

    message_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class MessageCancelled:
    """The client of a message has left."""

    message_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Only runs a batch; the token is not looked at."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Ignored: no probes are sent, since each counts as a call."""

    endpoint: str
    status: AttemptStatus
    elapsed: int


@dataclass(slots=True, frozen=True)
class EndpointDisabled:
    """The operator disables an endpoint, whatever the list says, until EndpointEnabled."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class EndpointEnabled:
    """The operator enables an endpoint again. It was restarted meanwhile, so that slow start applies."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class DestinationsReleased:
    """This relay does not serve these destinations any more; those that are not idle stay as they are.

    What was learned of them is restored with the next list entry that names the destination.
    """

    destinations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """The settings from now on. Open messages keep the terms under which they were admitted."""

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
