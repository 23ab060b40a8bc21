"""What the decision module hears, says and is told at start. No decision is taken in this file.

All times and durations are integer microseconds on the clock of the batch. A setting or value that was
not given is None (or an empty mapping); what to do without it is decided in brain.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto


class Result(Enum):
    """How an attempt ended."""

    OK = auto()  # delivered
    ERROR = auto()  # the destination answered with an error; the effect may have taken place
    FULL = auto()  # turned away unseen: over a limit, queue full, shut or draining
    TIMEOUT = auto()  # no answer in time; the effect may have taken place, or still do so
    NO_CONNECTION = auto()  # never connected, so never ran
    BROKEN = auto()  # the connection broke while the attempt was out; may have run
    SPOILT = auto()  # an answer came and can't be read; it has run, and the host is up
    CANCELLED = auto()  # called off by this instance; may have run
    NOT_SENT = auto()  # never left this instance


class Effect(Enum):
    """May a message's effect happen twice?"""

    SAFE = auto()
    KEYED = auto()  # repeats are dropped, for a while, inside a group of endpoints
    UNSAFE = auto()
    UNKNOWN = auto()  # the settings used a word that is not known


class State(Enum):
    """Standing of an endpoint in the list; says nothing of health."""

    LISTED = auto()
    DRAINING = auto()
    GONE = auto()


class Form(Enum):
    """What a list event brings."""

    CHANGES = auto()
    FULL = auto()
    CACHED = auto()  # the whole list as last saved; may be old
    FAILED = auto()  # a request for the list failed, or the subscription broke


@dataclass(slots=True, frozen=True)
class MessageClass:
    name: str
    effect: Effect
    scope: str | None  # KEYED: "all", "zone" or another word
    window: int | None  # KEYED: how long repeats are dropped, from the first send that may have run
    aim: int | None  # full worth up to here
    deadline: int | None
    worth: float | None
    late_worth: float | None  # share of the worth left at the deadline
    in_order: bool


@dataclass(slots=True, frozen=True)
class MessageTerms:
    """What a message was taken on under, and keeps whatever the settings say later."""

    about: MessageClass
    max_attempts: int | None


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    allowance: float | None  # messages a second inside its share, over all instances
    fraction: float | None


@dataclass(slots=True, frozen=True)
class Kind:
    """A kind of destination."""

    name: str
    bundle_max: int | None  # messages that may travel in one call
    routes_apart: bool  # each endpoint has a limit, pace and outages of its own


@dataclass(slots=True, frozen=True)
class Settings:
    classes: Mapping[str, MessageClass]
    tenants: Mapping[str, Tenant]
    kinds: Mapping[str, Kind]
    zone: str | None
    zone_fees: Mapping[str, float]
    instances: int | None
    slots: int | None  # calls out at once
    max_attempts: int | None
    max_held: int | None
    list_on_request: bool
    ask_every: int | None
    can_cancel: bool
    can_probe: bool
    can_advise: bool  # clients are told how long to stay away after a refusal
    max_advice: int | None
    told_rates: str | None  # what an entry's rate means: "nominal", "rough" or another word
    over_share_worth: float | None
    rest_after_doubt: int | None
    cold: int | None
    cold_from: float | None
    fall_multiple: float | None
    tip_after: int | None
    tick: int | None
    idle_limit: int | None  # connections without use are closed after so long
    connect_timeout: int | None = None  # a connection that is not up by then counts as NO_CONNECTION
    ends_by_notice: bool = False  # a refused or failed message is over only when Noticed says so


@dataclass(slots=True, frozen=True)
class Entry:
    endpoint: str
    destination: int
    state: State
    zone: str | None
    kind: str | None
    rate: float | None


# Events


@dataclass(slots=True, frozen=True)
class Listing:
    form: Form
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Submit:
    """A message to deliver, ending exactly once."""

    message: str
    destination: int
    class_name: str
    tenant: str | None
    remaining: int
    order_key: str | None
    terms: MessageTerms | None = None  # under which it was taken on; None: those in force


@dataclass(slots=True, frozen=True)
class Recovered:
    """A message that this relay had taken on before it restarted. They come in their first order."""

    submit: Submit
    age: int
    attempts: int
    ran_ago: int | None  # how long ago the first attempt that may have run was sent, and where
    ran_on: str | None
    ended: bool  # its end is decided; only Noticed is missing


@dataclass(slots=True, frozen=True)
class KeyRest:
    """An attempt from before a restart may still be running: its key rests."""

    order_key: str
    remaining: int


@dataclass(slots=True, frozen=True)
class Noticed:
    """The end of a refused or failed message has been heard; only now is the message over."""

    message: str


@dataclass(slots=True, frozen=True)
class Doubted:
    """An answer that said this message had not run was, or may have been, another call's: it may have run."""

    message: str
    endpoint: str
    ran_ago: int  # how long ago that attempt was sent


@dataclass(slots=True, frozen=True)
class Outcome:
    message: str
    attempt: int
    endpoint: str
    result: Result
    elapsed: int
    over: bool  # the message has ended; if not, a final answer is still owed
    wait: int  # told wait, 0 if none
    limit: float | None  # report: calls a second that the destination takes from all; 0 for no limit
    room: float | None  # report: share of that limit left
    idle: int | None = None  # how long its connection had stood idle; 0: a new one; None: not told
    expired: bool = False  # the destination holds that the message's time is up: it takes it no more
    postponed: int = 0  # not begun, for a reason of this relay's own: it costs no try, and waits so long
    late: bool = False  # this relay stood still while it was out, and when it came is not known


@dataclass(slots=True, frozen=True)
class Started:
    """The answer of a streamed message began; the attempt now belongs to the client."""

    message: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Withdrawn:
    message: str


@dataclass(slots=True, frozen=True)
class Timer:
    """Only wakes the module; the token is not looked at."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """Not acted on: the module sends no probes, for each counts as a call."""

    endpoint: str
    result: Result
    elapsed: int


@dataclass(slots=True, frozen=True)
class TakenOut:
    """The operator leaves this endpoint out, whatever the list says, until BroughtBack."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class BroughtBack:
    """It may serve again. It was restarted meanwhile, so that it is cold."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class LetGo:
    """This instance serves these destinations no more. Their endpoints are forgotten, and what still binds
    comes back with the first entry that names the destination again. One that is not idle (Brain.idle) stays
    as it is."""

    destinations: tuple[int, ...]


@dataclass(slots=True, frozen=True)
class Retuned:
    """The settings from now on. Messages taken on before keep their terms."""

    settings: Settings


Event = (
    Listing
    | Submit
    | Recovered
    | KeyRest
    | Noticed
    | Doubted
    | Outcome
    | Started
    | Withdrawn
    | Timer
    | ProbeResult
    | TakenOut
    | BroughtBack
    | LetGo
    | Retuned
)

# Actions


@dataclass(slots=True, frozen=True)
class Send:
    message: str
    endpoint: str
    timeout: int
    most_idle: int | None = None  # no connection that has stood idle for so long carries it; None: any may
    begin_within: int | None = None  # its last byte goes out within so long, or none does; None: no bound


@dataclass(slots=True, frozen=True)
class Refuse:
    """End undelivered; promises the client that coming again does no harm."""

    message: str
    retry_in: int


@dataclass(slots=True, frozen=True)
class Fail:
    """End as failed; promises nothing."""

    message: str


@dataclass(slots=True, frozen=True)
class Cancel:
    message: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Probe:
    endpoint: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this instance's idle connections to an endpoint, so that the next call opens a new one."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    delay: int
    token: int


@dataclass(slots=True, frozen=True)
class WatchList:
    """Ask for the changes of the list from now on."""


@dataclass(slots=True, frozen=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | CloseIdle | SetTimer | WatchList | Log
