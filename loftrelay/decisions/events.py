"""Events that the scheduler handles: messages, outcomes, endpoint lists, operator commands and settings.

All times and durations are integer microseconds on the clock of the batch. A missing value is None.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from loftrelay.decisions.settings import MessageTerms, RelaySettings


class AttemptStatus(Enum):
    """Outcome of an attempt. The values are the names in stored records."""

    OK = "OK"  # delivered
    ERROR = "ERROR"  # the endpoint responded with an error; the effect may have taken place
    REJECTED = "FULL"  # rejected unprocessed: over a limit, queue full, shut down or draining
    TIMEOUT = "TIMEOUT"  # no response in time; the effect may have taken place, or may still do so
    CONNECT_FAILED = "NO_CONNECTION"  # no connection was established, so it did not take effect
    CONNECTION_LOST = "BROKEN"  # the connection was lost during the attempt; it may have taken effect
    MALFORMED_RESPONSE = "SPOILT"  # unreadable response; it took effect, and the endpoint is up
    CANCELLED = "CANCELLED"  # cancelled by this relay; it may have taken effect
    NOT_SENT = "NOT_SENT"  # did not leave this relay


class EndpointState(Enum):
    """State of an endpoint in the list, not its health. The values are the names in stored records."""

    ACTIVE = "LISTED"
    DRAINING = "DRAINING"
    REMOVED = "GONE"


class EndpointListKind(Enum):
    """Content of an EndpointListReceived."""

    DELTA = auto()  # the changes since the last list
    FULL = auto()  # all endpoints
    CACHED = auto()  # all endpoints as last saved; may be outdated
    FAILED = auto()  # a request for the list failed, or the subscription ended


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint in the list."""

    endpoint: str
    destination: int
    state: EndpointState
    zone: str | None
    kind: str | None
    listed_rate: float | None  # calls per second from all relays


@dataclass(slots=True, frozen=True)
class EndpointListReceived:
    """An endpoint list, its changes, or a failed request for it."""

    kind: EndpointListKind
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True, frozen=True)
class MessageSubmitted:
    """A message to deliver. It ends exactly once."""

    message_id: str
    destination: int
    class_name: str
    tenant: str | None
    time_remaining: int
    ordering_key: str | None
    # Terms under which it was admitted; None: those of the current settings.
    terms: MessageTerms | None = None


@dataclass(slots=True, frozen=True)
class MessageRecovered:
    """A message that this relay admitted before it restarted. The events come in order of admission."""

    submission: MessageSubmitted
    age: int
    attempts: int
    # Time since the first attempt that may have taken effect; None: there was none.
    first_uncertain_attempt_age: int | None
    first_uncertain_attempt_endpoint: str | None
    is_ended: bool  # its end was decided; only FinalStatusReported is outstanding


@dataclass(slots=True, frozen=True)
class OrderingKeyCooldown:
    """Blocks an ordering key, because an attempt from before a restart may still be running."""

    ordering_key: str
    remaining: int


@dataclass(slots=True, frozen=True)
class FinalStatusReported:
    """The platform has the final status of a rejected or failed message: its ordering key may proceed."""

    message_id: str


@dataclass(slots=True, frozen=True)
class OutcomeDisputed:
    """A response saying that a message did not run may belong to another call: the message may have run."""

    message_id: str
    endpoint: str
    attempt_age: int  # since the attempt was sent


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt."""

    message_id: str
    attempt: int  # from 0
    endpoint: str
    status: AttemptStatus
    elapsed: int
    is_final: bool  # delivered: no further attempt is needed
    retry_after: int  # 0: the response carried none
    rate_limit: float | None  # load report: calls per second from all relays; 0: no limit
    rate_limit_remaining: float | None  # load report: remaining share of that limit
    connection_idle: int | None = None  # idle time of its connection before; 0: new; None: unknown
    is_expired: bool = False  # the endpoint considers the deadline passed and will not accept the message
    postponed_for: int = 0  # not started for a local reason: no attempt is counted, retry after this time
    is_late: bool = False  # this relay was stalled meanwhile, so the arrival time of the response is unknown


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """The response to a streamed message has started; the attempt now belongs to the client."""

    message_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class MessageCancelled:
    """The client of a message has disconnected."""

    message_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Only triggers a batch; the token is ignored."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Ignored: the scheduler sends no health checks, because each would count as a call."""

    endpoint: str
    status: AttemptStatus
    elapsed: int


@dataclass(slots=True, frozen=True)
class EndpointDisabled:
    """The operator disables an endpoint until EndpointEnabled, whatever its state in the list."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class EndpointEnabled:
    """The operator enables an endpoint again. It was restarted meanwhile, so slow start applies."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class DestinationsReleased:
    """This relay no longer serves these destinations. Destinations that are not idle are left unchanged.

    Their learned state is restored by the next list entry for the destination.
    """

    destinations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings, effective now. Open messages keep the terms under which they were admitted."""

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
