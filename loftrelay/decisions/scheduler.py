"""Every decision on messages. Its types, events, actions and settings: events.py, actions.py, settings.py.

A message goes out at once when its destination's window has a free slot. After a failed try it waits a
base times a growing power of two, up to the told attempt cap or until its time runs short (docs/design.md).
The file reads in the order in which a message lives: absorb, end, choose, send, learn, retry.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from itertools import islice

from loftrelay.decisions.actions import (
    Action,
    CloseIdleConnections,
    FailMessage,
    RejectMessage,
    SendAttempt,
    SetTimer,
    WatchEndpointList,
    WriteLog,
)
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    DestinationsReleased,
    EndpointDisabled,
    EndpointEnabled,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    FinalStatusReported,
    MessageCancelled,
    MessageRecovered,
    MessageSubmitted,
    OrderingKeyCooldown,
    OutcomeDisputed,
    SettingsChanged,
)
from loftrelay.decisions.settings import DeliverySemantics, MessageClass, RelaySettings

SECOND = 1_000_000
# Retry waits: BASE x 2^depth, with a little jitter so that relays fall out of step.
BASE = SECOND // 2
JITTER = 0.15
SPREAD = (0.3, 1.7)  # waits that stand for a part of a call, over their mean
MOST_ASK_WAIT = 2 * SECOND  # between calls for the list; with the call itself, under the 6 s that may pass
LONGEST_PAUSE = 4 * SECOND  # between trials of a sick destination; outages of seconds must be seen to end
# Window: shares of all slots that one destination may hold.
HEALTHY_SHARE, SICK_SHARE = 0.75, 0.5
LATENCY_RISE = 2.5  # smoothed call time over its long-run value that narrows the window
# Time-outs: usual call time + PATIENCE deviations, inside these bounds; unsafe messages cannot go again.
PATIENCE, LEAST_TIMEOUT, FIRST_TIMEOUT, UNSAFE_PATIENCE = 6, SECOND, 3 * SECOND, 3
SCARCE_TIMEOUT = 6 * SECOND // 10  # the least one for the last free slot
GUESSED_CALL = SECOND // 5  # how long one takes, before any was seen
LEAST_CALL = SECOND // 50  # a call with less time left is not begun: it is given up so long before the end
BUNDLE_PATIENCE = 4  # deviations that a message must live longer than a usual call, to share one
RATE_SPAN = 10 * SECOND  # memory of arrivals, calls to an endpoint, resets
DEMAND_SPAN, LEAST_SPAN = 60 * SECOND, 2 * SECOND  # memory of the demand that this relay was given
PACE_CUT, PACE_GROWTH, PACE_FLOOR = 0.8, 1.06, 0.5  # the floor counts in this relay's own demand
PACE_STEP, BACKLOG, RARE_GROWTH = 0.15, 10, 1.12
# Growth and step are those of one relay alone. Refused calls settle where growth and cuts balance, whatever
# the limit: at one in five, all lost to the fleet where they use the limit up. So many relays halve it.
CROWD = 20
FEW_RELAYS = 4  # that may each ask a sick destination once in LONGEST_PAUSE
EXTRA_WEIGHT = 0.25  # of each further message in a bundle, in the budget of a cold destination
OUTAGE_STREAK, OUTAGE_ERRORS = 2 * SECOND, 0.6  # no success for so long, or most calls failing: an outage
MANY_STRAYS = 3  # failures in a row that tell of a connection: only then the destination is held to fail
# Resets of connections by how long they had stood idle, in octaves. Below the least idle time a reset may as
# well have crossed an answer, and is no sign of an idle limit.
LEAST_IDLE, WEAR_SPAN, FEW_RESETS, WORN = SECOND // 8, 60 * SECOND, 2, 0.05
SCARCE_SPAN = 30 * SECOND  # how long a kind that once took no connection is held to take only few
LIVE_WEIGHT, FEE_WEIGHT, KNOWN_RATE = 3.0, 300.0, 1.0  # choosing: connection still open, fee, messages/s
KEEP_GAP = 2 * SECOND  # a connection to such a kind stays open only where calls follow each other so fast
SPARE_ROOM, DRAIN = 8, 8  # part of its places that a relay keeps free; messages a second out of a backlog
# A tenant's allowance may come in such clumps: seconds of it, and messages at the least. Trouble: each of
# forty relays has a small part of it, and chance put a third of a small tenant's messages over its share.
SHARE_SPAN, SHARE_ROOM = 5.0, 5.0
WARY = 0.3  # share of doubtful failures above which unsafe messages hold back
# Cautious readings of settings that were not told.
NO_SLOTS, NO_ATTEMPTS, NO_AIM = 1, 8, SECOND
# Before a key's window is over: for the ways of two calls, which may differ, and for a last try.
WINDOW_MARGIN, LAST_TRY = SECOND // 10, SECOND // 4
NO_COLD, NO_COLD_FROM, NO_MULTIPLE, NO_TIP = 10 * SECOND, 0.2, 2.0, 2 * SECOND
NO_ASK, NO_HELD, NO_IDLE = 10 * SECOND, 1 << 30, 10 * SECOND
UNCERTAIN_STATUSES = (
    AttemptStatus.ERROR,
    AttemptStatus.TIMEOUT,
    AttemptStatus.CONNECTION_LOST,
    AttemptStatus.MALFORMED_RESPONSE,
    AttemptStatus.CANCELLED,
)
# How long after its last call it still counts what was seen of a destination that was let go, short of an
# outage; errors from so many on.
FADE, FEW_ERRORS = 600 * SECOND, 0.01
LEAST_LOOKS = 64  # endpoints that are gone, and may be forgotten by now, that are looked at with each change
NEVER = 1 << 62


@dataclass(slots=True)
class Rate:
    """Events a second, forgetting over its span."""

    span: int = RATE_SPAN
    value: float = 0.0
    at: int = 0

    def read(self, now: int) -> float:
        return self.value * math.exp((self.at - now) / self.span)

    def add(self, now: int, weight: float = 1.0) -> None:
        self.value = self.read(now) + weight * SECOND / self.span
        self.at = now


@dataclass(slots=True)
class Times:
    """Smoothed call time and deviation (RFC 6298), with a long-run value."""

    usual: float = 0.0
    deviation: float = 0.0
    longrun: float = 0.0

    def add(self, elapsed: int) -> None:
        if not self.usual:
            self.usual, self.deviation, self.longrun = float(elapsed), elapsed / 2, float(elapsed)
            return
        self.deviation += (abs(elapsed - self.usual) - self.deviation) / 4
        self.usual += (elapsed - self.usual) / 8
        self.longrun += (elapsed - self.longrun) / 64


@dataclass(slots=True)
class Kin:
    """What all destinations of one kind have in common."""

    scarce_until: int = -NEVER  # they take only so many connections, idle ones counted
    times: Times = field(default_factory=Times)
    luck: list[float] = field(default_factory=lambda: [0.5, 0.5])  # of calls after a failure, a refusal


@dataclass(slots=True)
class Gate:
    """What lets calls through to one destination, or to one route where routes are apart."""

    window: float = 1.0  # calls out at once; under one it stands for a pause
    in_flight: int = 0
    told_until: int = 0
    open_at: int = 0
    narrowed_at: int = -1
    failures: int = 0  # in a row
    failing_since: int = 0
    all_full: bool = False  # the row holds nothing but refusals
    errors: float = 0.0  # smoothed share of doubtful or failed connects
    failed_at: int = -NEVER
    refused: bool = False  # the last failure was a refusal
    outage: bool = False
    cold_since: int | None = None
    strays: int = 0  # failures in a row that tell of the connection, not of the host
    times: Times = field(default_factory=Times)
    pace: float = math.inf  # calls a second
    unlucky: float = 0.5  # share of calls after a failure that fail, too
    spread: float = 1.0  # of waits that stand for less than one call, drawn anew with each call
    told: float = 0.0  # calls a second that it takes from all relays, as listed
    last_send: int = -NEVER
    sends: list[tuple[int, float]] = field(default_factory=list)  # few: an empty deque takes 0.6 KB


@dataclass(slots=True)
class Kept:
    """What binds of a gate that was let go, by the names that it has in Gate."""

    window: float
    told_until: int
    open_at: int
    failures: int
    failing_since: int
    all_full: bool
    errors: float
    failed_at: int
    refused: bool
    outage: bool
    cold_since: int | None
    strays: int
    pace: float
    unlucky: float
    spread: float
    last_send: int
    sends: tuple[tuple[int, float], ...]  # of the last tip_after


KEPT = tuple(each.name for each in fields(Kept))


@dataclass(slots=True)
class KeptHost:
    gate: Kept | None  # where routes are apart
    failures: int
    avoid_until: int


@dataclass(slots=True)
class Dormant:
    """A destination that was let go, until it is listed again or nothing binds any more."""

    number: int
    gate: Kept | None  # None: it is there again, and some of its hosts are not
    demand: float
    demand_at: int
    hosts: dict[str, KeptHost]


@dataclass(slots=True)
class Destination:
    number: int
    gate: Gate = field(default_factory=Gate)
    endpoints: list[Endpoint] = field(default_factory=list)
    waiting: dict[str, Message] = field(default_factory=dict)
    in_flight: int = 0
    demand: Rate = field(default_factory=lambda: Rate(DEMAND_SPAN))
    owed: int = 0  # messages that are not over, or still in line for their keys
    rests_until: int = 0  # the last of their keys that rest


@dataclass(slots=True)
class Endpoint:
    name: str
    destination: Destination
    gate: Gate
    state: EndpointState
    zone: str | None
    kin: Kin
    bundle_max: int
    fee: float
    calls: Rate = field(default_factory=Rate)
    in_flight: int = 0
    failures: int = 0
    avoid_until: int = 0
    usual: float = 0.0
    rate: float = 0.0  # told
    used_at: int = NEVER  # when its connections last carried something
    out: bool = False  # the operator leaves it out

    @property
    def serves(self) -> bool:
        return self.state is EndpointState.ACTIVE and not self.out


@dataclass(slots=True)
class Call:
    """One or more messages that travel together: one slot, one fate."""

    endpoint: Endpoint
    sent_at: int
    idle: int = 0  # how long its connection had stood idle: a guess until its outcome tells
    cut: bool = False  # deadlines leave it too little time to tell anything of its host
    members: int = 0
    learned: bool = False
    keys: list[Key] = field(default_factory=list)  # of members that ran out of time while it is still out


@dataclass(slots=True)
class Key:
    name: str
    queue: deque[Message] = field(default_factory=deque)
    rest_until: int = 0


@dataclass(slots=True)
class Message:
    name: str
    about: MessageClass
    destination: Destination
    worth: float
    arrived: int
    deadline: int
    key: Key | None
    max_attempts: int
    depth: int = 0  # calls made so far
    not_before: int = 0
    call: Call | None = None
    over: bool = False
    ran_at: int | None = None  # when the first attempt that may have run was sent, and where
    ran_on: Endpoint | None = None


class Scheduler:
    """One relay's decisions. Feed each batch to handle(); carry out the actions in order."""

    def __init__(self, seed: int, settings: RelaySettings) -> None:
        self._tune(settings)
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.destinations: dict[int, Destination] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.gone: dict[str, Endpoint] = {}  # those that no list names any more, and something still binds
        self.dormant: dict[int, Dormant] = {}
        self.dormant_of: dict[str, int] = {}  # the destinations of the hosts in there
        self.messages: dict[str, Message] = {}
        self.keys: dict[str, Key] = {}
        self.unnoticed: dict[str, Message] = {}  # ended, but still first in line for their keys
        self.kinds: dict[str | None, Kin] = {}
        self.shares: dict[str, tuple[float, int]] = {}  # tenant -> tokens left, when counted
        self.arrivals = Rate()
        self.started = NEVER
        self.backlog: dict[int, Destination] = {}  # destinations with waiting messages
        self.wear: dict[int, tuple[Rate, Rate]] = {}  # octave of idle time -> calls, and those reset
        self.calls_out = 0
        self.told_of: dict[int, Destination] = {}  # whose waits may outlast a message's time: to be looked at
        self.out: set[str] = set()  # endpoints that the operator leaves out
        self.alarms: list[tuple[int, int, Message | Key | Dormant]] = []
        self.alarm_number = 0
        self.armed = NEVER
        self.wake = NEVER
        self.ask_at = 0 if settings.polls_endpoint_list else NEVER
        self.ask_failures = 0

    def _tune(self, settings: RelaySettings) -> None:
        """Messages keep the terms that they were taken on under, endpoints the kind they were listed as."""
        self.told = settings
        self.slots = max(1, settings.max_concurrent_calls or NO_SLOTS)
        self.max_held = settings.max_open_messages or NO_HELD
        self.relays = max(1, settings.relay_count or 1)
        self.alone = CROWD / (CROWD + self.relays - 1)
        self.cold = settings.slow_start_duration or NO_COLD
        self.cold_from = settings.slow_start_initial_fraction or NO_COLD_FROM
        self.multiple = settings.overload_multiple or NO_MULTIPLE
        self.tip_after = settings.overload_window or NO_TIP
        self.idle_told = settings.connection_idle_timeout or NO_IDLE

    def handle_batch(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Absorbs the whole batch, so that each wait told in it is heeded, then dispatches once."""
        self.now, self.actions, self.wake = now, [], NEVER
        self.started = min(self.started, now)
        for event in events:
            self._absorb(event)
        if now >= self.ask_at:
            self.ask_at = NEVER
            self.actions.append(WatchEndpointList())
        self._ring_alarms()
        self._end_told_out()
        self._make_room()
        self._dispatch()
        due = min(self.wake, self.ask_at, self.alarms[0][0] if self.alarms else NEVER)
        if now >= self.armed:
            self.armed = NEVER
        if due < self.armed:
            self.armed = max(due, now + 1)
            self.actions.append(SetTimer(self.armed - now, 0))
        return self.actions

    def _absorb(self, event: Event) -> None:
        match event:
            case MessageSubmitted():
                self._accept(event, 0)
            case AttemptEnded():
                self._outcome(event)
            case EndpointListReceived():
                self._listing(event)
            case MessageCancelled(name):
                if message := self.messages.get(name):
                    self._finish(message, None)
            case MessageRecovered():
                self._recover(event)
            case OrderingKeyCooldown(name, remaining):
                key = self.keys.setdefault(name, Key(name))
                key.rest_until = max(key.rest_until, self.now + remaining)
                self._alarm(key.rest_until, key)
            case OutcomeDisputed():
                self._doubt(event)
            case EndpointDisabled(name):
                self.out.add(name)
                if endpoint := self.endpoints.get(name):
                    endpoint.out = True
            case EndpointEnabled(name):
                self._bring_back(name)
            case DestinationsReleased(numbers):
                for number in numbers:
                    self._let_go(number)
            case SettingsChanged(settings):
                self._tune(settings)
            case FinalStatusReported(name):
                if message := self.unnoticed.pop(name, None):
                    self._leave_line(message)

    # The list

    def _listing(self, event: EndpointListReceived) -> None:
        if event.kind is EndpointListKind.FAILED:
            # The old list stands. Ask again, ever more slowly: a busy directory must not be hammered. Rule
            # 'drains': what it has counts as told 6 s after it can be reached, so that no wait is long.
            if self.told.polls_endpoint_list:
                most = min(MOST_ASK_WAIT, (self.told.poll_interval or NO_ASK) // 2)
                longest = int(most * self.random.uniform(0.7, 1))
                self.ask_at = self.now + min(self._backoff(self.ask_failures), longest)
                self.ask_failures += 1
            return
        if event.kind is not EndpointListKind.CACHED:
            self.ask_failures = 0
        if event.kind is not EndpointListKind.DELTA:
            for endpoint in self.endpoints.values():
                endpoint.state = EndpointState.REMOVED
            self.gone = dict(self.endpoints)
        for entry in event.entries:
            self._entry(entry)
        # A change costs in proportion to itself, however many are listed, or gone and still bound.
        looks = (
            max(LEAST_LOOKS, 2 * len(event.entries))
            if event.kind is EndpointListKind.DELTA
            else len(self.gone)
        )
        for name in list(islice(self.gone, looks)):
            self._forget(self.gone.pop(name))

    def _forget(self, endpoint: Endpoint) -> None:
        """Trouble: hosts replaced all day long pile up. Kept while anything learned there still binds."""
        gate, destination = endpoint.gate, endpoint.destination
        bound = gate is not destination.gate and (gate.outage or gate.cold_since is not None)
        if endpoint.in_flight or bound or gate.told_until > self.now:
            self.gone[endpoint.name] = endpoint  # behind the others that are still to be looked at
            return
        del self.endpoints[endpoint.name]
        destination.endpoints.remove(endpoint)

    def _entry(self, entry: EndpointEntry) -> None:
        kind = self.told.endpoint_kinds.get(entry.kind or "")
        apart = kind is not None and kind.has_endpoint_limits
        if (endpoint := self.endpoints.get(entry.endpoint)) is None:
            destination = self._destination(entry.destination)
            endpoint = Endpoint(
                entry.endpoint,
                destination,
                Gate() if apart else destination.gate,
                entry.state,
                entry.zone,
                self.kinds.setdefault(entry.kind, Kin()),
                max(1, (kind and kind.max_batch_size) or 1),
                self.told.zone_costs.get(entry.zone or "", 0.0) if apart else 0.0,
            )
            endpoint.out = entry.endpoint in self.out
            self.endpoints[entry.endpoint] = endpoint
            destination.endpoints.append(endpoint)
            self._wake(endpoint)
        endpoint.state = entry.state
        if entry.state is EndpointState.REMOVED:
            self.gone[entry.endpoint] = endpoint
        else:
            self.gone.pop(entry.endpoint, None)
        if entry.listed_rate and self.told.listed_rate_kind in ("nominal", "rough"):
            endpoint.rate = endpoint.gate.told = entry.listed_rate

    def _bring_back(self, name: str) -> None:
        """Cold, like a destination after an outage: it was restarted while it was out."""
        endpoint = self.endpoints.get(name)
        if name in self.out and endpoint is not None:
            endpoint.out, endpoint.failures, endpoint.avoid_until = False, 0, 0
            gate, siblings = endpoint.gate, endpoint.destination.endpoints
            # One of several adds to what the others bear; a cold budget would take from that.
            if not any(e.serves for e in siblings if e is not endpoint and e.gate is gate):
                gate.outage, gate.errors, gate.failures, gate.window = False, 0.0, 0, max(1.0, gate.window)
                gate.cold_since = self.now
        elif name in self.out and isinstance(kept := self._kept(name), Kept):
            # Which of its siblings serve is not known any more: cold in any case.
            kept.outage, kept.errors, kept.failures, kept.window = False, 0.0, 0, max(1.0, kept.window)
            kept.cold_since = self.now
            host = self.dormant[self.dormant_of[name]].hosts[name]
            host.failures, host.avoid_until = 0, 0
        self.out.discard(name)
        if (record := self.dormant.get(self.dormant_of.get(name, -1))) is not None:
            self._look_again(record)

    def avoided_endpoint_count(self) -> int:
        """Listed endpoints that are left out now, by hand or for what was seen of them."""
        return sum(
            e.state is not EndpointState.REMOVED and (e.out or e.gate.outage or e.avoid_until > self.now)
            for e in self.endpoints.values()
        )

    # Destinations that are let go

    def is_idle(self, now: int, number: int) -> bool:
        """Whether nothing waits, is out or stands in line for a destination, after all events handled so far:
        what may be let go.
        """
        destination = self.destinations.get(number)
        return destination is None or not (
            destination.owed or destination.in_flight or destination.rests_until > now
        )

    def _let_go(self, number: int) -> None:
        destination = self.destinations.get(number)
        if destination is None or not self.is_idle(self.now, number):
            return
        del self.destinations[number]
        self.backlog.pop(number, None)
        self.told_of.pop(number, None)
        before = self.dormant.get(number)  # with hosts that have not been listed again since
        hosts, demand = before.hosts if before is not None else {}, destination.demand
        record = Dormant(number, self._fold(destination.gate), demand.value, demand.at, hosts)
        for endpoint in destination.endpoints:
            del self.endpoints[endpoint.name]
            self.gone.pop(endpoint.name, None)
            own = endpoint.gate is not destination.gate
            hosts[endpoint.name] = KeptHost(
                self._fold(endpoint.gate) if own else None, endpoint.failures, endpoint.avoid_until
            )
            self.dormant_of[endpoint.name] = number
        destination.endpoints.clear()  # no cycle, so that they go at once
        self.dormant[number] = record
        self._alarm(self.now + self.cold, record)  # it may still tell a wait: calls end that were given up

    def _fold(self, gate: Gate) -> Kept:
        kept = Kept(*(getattr(gate, name) for name in KEPT))
        kept.sends = tuple(send for send in gate.sends if send[0] > self.now - self.tip_after)
        return kept

    def _unfold(self, gate: Gate, kept: Kept | Gate) -> None:
        for name in KEPT:
            setattr(gate, name, getattr(kept, name))
        gate.sends = list(kept.sends)

    def _destination(self, number: int) -> Destination:
        """With all that still binds, if it was let go."""
        if (destination := self.destinations.get(number)) is None:
            destination = self.destinations[number] = Destination(number)
            if (record := self.dormant.get(number)) is not None and record.gate is not None:
                self._unfold(destination.gate, record.gate)
                destination.demand = Rate(DEMAND_SPAN, record.demand, record.demand_at)
                record.gate = None
                self._alarm(self.now, record)
        return destination

    def _wake(self, endpoint: Endpoint) -> None:
        """What binds of an endpoint that is listed again."""
        destination = endpoint.destination
        record = self.dormant.get(destination.number)
        if record is None or (host := record.hosts.pop(endpoint.name, None)) is None:
            return
        endpoint.failures, endpoint.avoid_until = host.failures, host.avoid_until
        if endpoint.gate is not destination.gate:
            self._unfold(endpoint.gate, host.gate or destination.gate)
        elif host.gate is not None:  # its route was apart: the settings have changed
            endpoint.gate.told_until = max(endpoint.gate.told_until, host.gate.told_until)
        self._unname(endpoint.name, record)
        self._alarm(self.now, record)

    def _kept(self, name: str) -> Kept | Gate | None:
        """The gate of a host whose destination was let go."""
        if (number := self.dormant_of.get(name)) is None:
            return None
        record = self.dormant[number]
        return record.hosts[name].gate or record.gate or self.destinations[number].gate

    def _look_again(self, record: Dormant) -> None:
        """Dropped once nothing binds; an outage does until a call succeeds."""
        gates = [record.gate, *(host.gate for host in record.hosts.values())]
        until = max((self._binds_until(gate) for gate in gates if gate is not None), default=0)
        until = max([until, *(host.avoid_until + FADE for host in record.hosts.values() if host.failures)])
        if any(name in self.out for name in record.hosts):
            until = NEVER
        if until <= self.now:
            del self.dormant[record.number]
            for name in record.hosts:
                self._unname(name, record)
        elif until < NEVER:
            self._alarm(until, record)

    def _unname(self, name: str, record: Dormant) -> None:
        if self.dormant_of.get(name) == record.number:  # else it has moved to another destination meanwhile
            del self.dormant_of[name]

    def _binds_until(self, gate: Kept) -> int:
        if gate.outage:
            return NEVER
        warm = 0 if gate.cold_since is None else gate.cold_since + self.cold
        learned = gate.failures or gate.strays or gate.errors > FEW_ERRORS or gate.window < 1
        faded = gate.last_send + (FADE if learned or gate.pace < math.inf else self.tip_after)
        return max(gate.told_until, gate.open_at, warm, faded)

    # A message arrives

    def _accept(self, event: MessageSubmitted, age: int) -> Message:
        terms = event.terms
        about = (
            (terms and terms.message_class)
            or self.told.classes.get(event.class_name)
            or MessageClass(
                event.class_name, DeliverySemantics.UNKNOWN, None, None, None, None, None, None, False
            )
        )
        most = (terms.max_attempts if terms else self.told.max_attempts) or NO_ATTEMPTS
        destination = self._destination(event.destination)
        worth = (1.0 if about.priority_weight is None else about.priority_weight) * self._share_worth(
            event.tenant
        )
        message = Message(
            event.message_id,
            about,
            destination,
            worth,
            self.now,
            self.now + max(0, event.time_remaining),
            None,
            max(1, most),
        )
        self.messages[event.message_id] = message
        destination.owed += 1
        # What a restart brings back has come over longer than a moment, and passed for a rush.
        weight = LEAST_SPAN / max(LEAST_SPAN, age)
        self.arrivals.add(self.now, weight)
        destination.demand.add(self.now, weight)
        if about.is_ordered and event.ordering_key is not None:
            message.key = self.keys.setdefault(event.ordering_key, Key(event.ordering_key))
            message.key.queue.append(message)
        self._hold(message)
        return message

    def _recover(self, event: MessageRecovered) -> None:
        """Takes up a message from before a restart, with all that binds what may still be done with it."""
        message = self._accept(event.submission, event.age)
        message.arrived, message.depth, message.not_before = self.now - event.age, event.attempts, self.now
        if event.first_attempt_age is not None:
            message.ran_at, message.ran_on = (
                self.now - event.first_attempt_age,
                self.endpoints.get(event.first_attempt_endpoint or ""),
            )
        message.destination.waiting.pop(message.name)
        if event.is_ended:
            message.over = True
            self._end(message, noticed=False)
        else:
            self._hold_or_end(message)

    def _hold(self, message: Message) -> None:
        message.destination.waiting[message.name] = message
        self.told_of[message.destination.number] = message.destination
        self.backlog[message.destination.number] = message.destination
        self._alarm(min(self._last_send(message), self._window_end(message)), message)

    def _share_worth(self, name: str | None) -> float:
        """Traffic beyond its tenant's allowance earns little, so it goes behind the rest."""
        tenant = self.told.tenants.get(name or "")
        if tenant is None or tenant.quota_rate is None:
            return 1.0
        rate = max(
            tenant.quota_rate / self.relays, (tenant.traffic_share or 0.0) * self.arrivals.read(self.now)
        )
        most = max(SHARE_ROOM, SHARE_SPAN * rate)
        tokens, at = self.shares.get(tenant.name, (most, self.now))
        tokens = min(most, tokens + rate * (self.now - at) / SECOND)
        inside = tokens >= 1
        self.shares[tenant.name] = (tokens - 1 if inside else tokens, self.now)
        return 1.0 if inside else self.told.over_quota_weight or 0.1

    # A message ends

    def _finish(self, message: Message, action: Action | None) -> None:
        """The only way for a message to end: exactly one answer, and nothing sent after it."""
        if not message.over:
            message.over = True
            message.destination.waiting.pop(message.name, None)
            if action is not None:
                self.actions.append(action)
        if message.call is None:
            self._end(message, noticed=action is None or not self.told.awaits_final_status)

    def _end(self, message: Message, noticed: bool) -> None:
        if self.messages.pop(message.name, None) is None:
            return
        if noticed or message.key is None:
            self._leave_line(message)
        else:
            self.unnoticed[message.name] = message

    def _leave_line(self, message: Message) -> None:
        message.destination.owed -= 1
        if message.key is None:
            return
        message.key.queue.remove(message)
        if message.key.rest_until < NEVER:
            self._alarm(message.key.rest_until, message.key)

    def _last_send(self, message: Message) -> int:
        """The last moment at which a call of usual length can still be answered in time."""
        to = message.destination
        usual = to.gate.times.usual or max((e.usual for e in to.endpoints), default=0)
        least = max(LEAST_CALL, min(usual, (message.deadline - message.arrived) / 4))
        return message.deadline - int(least) - 1

    def _ring_alarms(self) -> None:
        while self.alarms and self.alarms[0][0] <= self.now:
            _, _, about = heapq.heappop(self.alarms)
            if isinstance(about, Key) and not about.queue and self.keys.get(about.name) is about:
                del self.keys[about.name]
            if isinstance(about, Dormant) and self.dormant.get(about.number) is about:
                self._look_again(about)
            if isinstance(about, Message) and not about.over and about.call is None:
                if self.now >= self._last_send(about):
                    self._finish(about, FailMessage(about.name))  # time left covers no usual call
                else:
                    self._alarm(self._last_send(about), about)

    def _alarm(self, time: int, about: Message | Key | Dormant) -> None:
        self.alarm_number += 1
        heapq.heappush(self.alarms, (time, self.alarm_number, about))

    def _may_refuse(self, message: Message) -> bool:
        """Rule 'no effect twice': a refusal promises that coming again does no harm."""
        about, harmless = (
            message.about,
            message.ran_at is None or message.about.semantics is DeliverySemantics.IDEMPOTENT,
        )
        return message.call is None and (
            harmless or (about.semantics is DeliverySemantics.DEDUPLICATED and about.dedup_scope == "all")
        )

    def _end_told_out(self) -> None:
        """Messages whose time covers no call any more once the waits are over that all their endpoints told:
        what is given up is answered at once.
        """
        for destination in self.told_of.values():
            opens = min((e.gate.told_until for e in destination.endpoints if e.serves), default=0)
            if opens > self.now:
                advice = (
                    min(opens - self.now, self.told.max_retry_after or 0)
                    if self.told.sends_retry_after
                    else 0
                )
                for message in list(destination.waiting.values()):
                    if opens >= min(self._last_send(message), self._window_end(message)):
                        harmless, name = self._may_refuse(message), message.name
                        self._finish(message, RejectMessage(name, advice) if harmless else FailMessage(name))
        self.told_of.clear()

    def _make_room(self) -> None:
        """Trouble: backlogs behind shut gates fill the relay and turn clients away: the cheapest go."""
        if (excess := len(self.messages) - self.max_held + max(2, self.max_held // SPARE_ROOM)) <= 0:
            return
        options: list[tuple[float, int, Message, int]] = []
        for d in self.backlog.values():
            opens = min((self._shut_until(e.gate, d) for e in d.endpoints), default=0)
            wait = max(0, opens - self.now) + len(d.waiting) * SECOND // DRAIN
            if wait > SECOND:
                waiting = (m for m in d.waiting.values() if self._may_refuse(m))
                options += [(m.worth / wait, -m.arrived, m, wait) for m in waiting]
        for _, _, message, wait in sorted(options, key=lambda option: option[:2])[:excess]:
            advice = min(wait, self.told.max_retry_after or 0) if self.told.sends_retry_after else 0
            self._finish(message, RejectMessage(message.name, advice))

    # Choosing what to send

    def _may_send(self, message: Message, endpoint: Endpoint) -> bool:
        """Rules 'no effect twice' and 'drains': may this message go to this endpoint now?"""
        if message.over or message.call is not None or not endpoint.serves:
            return False
        if message.ran_at is None:
            # An unsafe message whose try fails is lost: it lets others find out whether a sick place is back.
            calm = endpoint.gate.errors < WARY or self.now > endpoint.gate.failed_at + LONGEST_PAUSE
            # Trouble: it went back to a dead endpoint each time the pause was over, past a sound sibling.
            siblings = (e for e in endpoint.destination.endpoints if e.serves)
            calm = calm and (endpoint.failures == 0 or all(e.failures for e in siblings))
            return calm or message.about.semantics in (
                DeliverySemantics.IDEMPOTENT,
                DeliverySemantics.DEDUPLICATED,
            )
        if message.about.semantics is DeliverySemantics.IDEMPOTENT:
            return True
        if message.about.semantics is not DeliverySemantics.DEDUPLICATED or self.now >= self._window_end(
            message
        ):
            return False
        scope, ran_on = message.about.dedup_scope, message.ran_on
        return (
            scope == "all"
            or ran_on is endpoint
            or (scope == "zone" and ran_on is not None and endpoint.zone == ran_on.zone)
        )

    def _window_end(self, message: Message) -> int:
        """Until when the destination still remembers the key; early, to be safe."""
        if message.ran_at is None or message.about.semantics is not DeliverySemantics.DEDUPLICATED:
            return NEVER
        window = message.about.dedup_window or 0
        return (
            message.ran_at
            + window
            - min(WINDOW_MARGIN, window // 10)
            - 2 * (self.told.batch_interval or 0)
            - 1
        )

    def _in_turn(self, message: Message) -> bool:
        """Rule 'order': the earlier ones of a key are over and known; the key has rested after doubt."""
        key = message.key
        rested = message.depth > 0 or key is None or key.rest_until <= self.now
        return key is None or (key.queue[0] is message and rested)

    def _score(self, message: Message) -> float:
        """Worth still to be won, rising with the wait so that no class or tenant starves."""
        return message.worth * (
            1 + (self.now - message.arrived) / (message.about.latency_objective or NO_AIM)
        )

    def _opens(self, gate: Gate, destination: Destination) -> int:
        """When this gate lets the next call through; NEVER while only an outcome can open it."""
        sick = gate.outage or gate.window < 1 or gate.cold_since is not None
        share = int(self.slots * (SICK_SHARE if sick else HEALTHY_SHARE))
        if gate.in_flight >= max(1, int(gate.window)) or destination.in_flight >= max(1, share):
            return NEVER
        return self._shut_until(gate, destination)

    def _shut_until(self, gate: Gate, destination: Destination) -> int:
        opens = max(gate.told_until, gate.open_at, gate.last_send + self._gap(gate, gate.pace))
        if gate.cold_since is not None or gate.outage:
            # Rule 'fail-back': a returning destination gets a budget over every window that could tip it.
            room, spent = self._cold_room(gate, destination), sum(w for _, w in gate.sends)
            if room < 1:
                # Trouble: one call a window from each of two hundred relays tips what comes back. Few may ask
                # now and then, however little each was given.
                longest = LONGEST_PAUSE * max(1.0, self.relays / FEW_RELAYS)
                gap = min(self.tip_after / max(room, 1e-6), longest)
                return max(opens, gate.last_send + int(gate.spread * gap))
            for at, weight in gate.sends:
                if spent + 1 <= room or spent == 0:
                    break
                spent -= weight
                opens = max(opens, at + self.tip_after)
        return opens

    def _gap(self, gate: Gate, rate: float) -> int:
        """Between calls at a rate; beyond a second it is drawn, and shorter while such calls succeed."""
        gap = 1 / max(rate, SECOND / self.cold)
        return int(SECOND * (gap if gap < 1 else 1 + (gap - 1) * gate.unlucky * gate.spread))

    def _known(self) -> float:
        return 1 - math.exp(-max(self.now - self.started, LEAST_SPAN) / DEMAND_SPAN)

    def _own_rate(self, gate: Gate, destination: Destination) -> float:
        """Messages a second that this relay is given for a gate: parts that add up at any fleet size."""
        rate = destination.demand.read(self.now) / self._known()
        if gate is not destination.gate:
            parts = [(e.rate or 1.0, e.gate) for e in destination.endpoints if e.serves]
            rate *= sum(w for w, g in parts if g is gate) / (sum(w for w, _ in parts) or 1.0)
        return (rate + gate.told / self.relays) / 2 if gate.told else rate  # parts of traffic and of limit

    def _cold_room(self, gate: Gate, destination: Destination) -> float:
        """Calls that this relay may send in one tip_after window to a destination back from an outage."""
        while gate.sends and gate.sends[0][0] <= self.now - self.tip_after:
            del gate.sends[0]
        warm = 0.0
        if gate.cold_since is not None:
            warm = (self.now - gate.cold_since) / self.cold
            if warm >= 1:
                gate.cold_since = None
                return math.inf
        share = self.cold_from + (1 - self.cold_from) * warm
        return self._own_rate(gate, destination) * self.multiple * share * self.tip_after / SECOND

    def _dispatch(self) -> None:
        """Fills free slots with the messages that win most worth per slot time."""
        best: dict[int, tuple[float, Message, Endpoint]] = {}
        stale = [d for d in self.backlog.values() if d.waiting]
        if len(stale) < len(self.backlog):
            self.backlog = {d.number: d for d in stale}
        while self.calls_out < self.slots:
            for destination in stale:
                choice = self._choose(destination)
                if choice is not None:
                    best[destination.number] = choice
            if not best:
                return
            number = max(best, key=lambda n: best[n][0])
            _, message, endpoint = best.pop(number)
            self._send_call(message, endpoint)
            stale = [self.destinations[number]]

    def _choose(self, destination: Destination) -> tuple[float, Message, Endpoint] | None:
        """The best message of a destination that may go now, and where."""
        open_endpoints: list[Endpoint] = []
        for endpoint in destination.endpoints:
            if endpoint.serves:
                opens = self._opens(endpoint.gate, destination)
                if opens <= self.now:
                    open_endpoints.append(endpoint)
                else:
                    self.wake = min(self.wake, opens)
        if not open_endpoints:
            return None
        open_endpoints.sort(key=self._cost)
        trial = open_endpoints[0].gate.outage
        top: tuple[float, Message, Endpoint] | None = None
        scores: list[float] = []
        for message in destination.waiting.values():
            if message.not_before > self.now:
                self.wake = min(self.wake, message.not_before)
            elif self._in_turn(message):
                # A trial goes with the message that can wait longest for its answer.
                score = float(message.deadline) if trial else self._score(message)
                scores.append(self._score(message))
                if top is not None and score <= top[0]:
                    continue
                for endpoint in open_endpoints:
                    if self._may_send(message, endpoint):
                        top = (score, message, endpoint)
                        break
                else:
                    self.wake = min(self.wake, self.now + BASE)
            elif message.key is not None and message.key.queue[0] is message:
                self.wake = min(self.wake, message.key.rest_until)
        if top is None:
            return None
        # Trouble: a bundle that came up against single calls for a scarce slot counted as one message.
        worth = sum(heapq.nlargest(self._bundle_room(top[2]), scores))
        return worth / max(SECOND / 20, self._times(top[2]).usual), top[1], top[2]

    def _lasts(self, message: Message, endpoint: Endpoint) -> bool:
        """Whether it lives until a call is answered that takes rather long."""
        times = self._times(endpoint)
        # Trouble: after a restart nothing is known of call times, and a recovered message with 30 ms left
        # took unsafe ones with it that had half of their time.
        usual, deviation = times.usual or GUESSED_CALL, times.deviation or GUESSED_CALL / 2
        return message.deadline - self.now >= usual + BUNDLE_PATIENCE * deviation

    def _bundle_room(self, endpoint: Endpoint) -> int:
        """How many messages a call to this endpoint may carry now."""
        gate, most = endpoint.gate, endpoint.bundle_max
        if gate.outage:
            return 1  # a trial that fails must not spend the tries and key windows of a whole bundle
        if most > 1 and gate.cold_since is not None:
            spare = self._cold_room(gate, endpoint.destination) - sum(w for _, w in gate.sends) - 1
            most = int(min(most, 1 + max(0.0, spare) / EXTRA_WEIGHT))
        return most

    def _cost(self, endpoint: Endpoint) -> tuple[bool, float]:
        """Drawn where this relay sees too little: relays that all take the quickest flood that one."""
        usual = endpoint.usual or self._times(endpoint).usual or GUESSED_CALL
        weight = SECOND / (usual * (1 + endpoint.in_flight))
        if endpoint.gate is endpoint.destination.gate or not endpoint.rate:
            weight *= weight
        else:
            weight *= endpoint.rate  # routes apart, and their limits told
        if self.now - endpoint.used_at < self.idle_told:  # busy or not: one call more seldom needs another
            weight *= LIVE_WEIGHT
        if endpoint.destination.demand.read(self.now) < KNOWN_RATE * self._known():
            weight /= self.random.expovariate(1)
        return endpoint.avoid_until > self.now, (1 + FEE_WEIGHT * endpoint.fee) / weight

    def _send_call(self, first: Message, endpoint: Endpoint) -> None:
        """Sends a message, with all others that may share its call where calls can be bundled."""
        gate, destination = endpoint.gate, endpoint.destination
        members = [first]
        if endpoint.bundle_max > 1:
            ready = [m for m in destination.waiting.values() if m is not first and m.not_before <= self.now]
            ready = [m for m in ready if self._in_turn(m) and self._may_send(m, endpoint)]
            # Trouble: a bundle is given up with the first of its messages: one near its end took 18 others
            # with it, for good where they must not go again.
            if self._lasts(first, endpoint):
                ready = [m for m in ready if self._lasts(m, endpoint)]
            else:
                safe = (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)
                ready = [m for m in ready if m.about.semantics in safe or not self._lasts(m, endpoint)]
            members += sorted(ready, key=self._score, reverse=True)[: self._bundle_room(endpoint) - 1]
        call = Call(endpoint, self.now, 0 if endpoint.in_flight else max(0, self.now - endpoint.used_at))
        # Trouble: idle connections die unseen. A call that can be repeated may still try them, and goes on
        # showing whether they do; where a reset is a message's end, a handshake is the lesser price.
        last = any(
            m.about.semantics not in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)
            for m in members
        )
        most_idle = self._idle_limit() if last else None
        if most_idle is not None and call.idle >= most_idle:
            self.actions.append(CloseIdleConnections(endpoint.name))
            call.idle = 0
        endpoint.used_at = self.now
        endpoint.calls.add(self.now)
        # It is given up as a whole, so that it lives no longer than the first of its messages.
        shortest = min(members, key=lambda m: m.deadline)
        patience = max(self._patience(m, endpoint) for m in members)
        call.cut = shortest.deadline - self.now < min(patience, LEAST_TIMEOUT) // 2 or (
            len(members) > 1 and not self._lasts(shortest, endpoint)
        )
        for message in members:
            del destination.waiting[message.name]
            message.call = call
            message.depth += 1
            timeout = max(1, min(self._patience(message, endpoint), message.deadline - self.now))
            ends = self._window_end(message)  # trouble: it waited for a connection until its window was over
            within = ends - self.now if ends < NEVER else None
            self.actions.append(SendAttempt(message.name, endpoint.name, timeout, most_idle, within))
        call.members = len(members)
        self.calls_out += 1
        for counter in (gate, destination, endpoint):
            counter.in_flight += 1
        gate.last_send, gate.spread = self.now, self.random.uniform(*SPREAD)
        gate.sends.append((self.now, 1 + EXTRA_WEIGHT * (len(members) - 1)))
        while gate.sends[0][0] <= self.now - self.tip_after:
            del gate.sends[0]

    def _times(self, endpoint: Endpoint) -> Times:
        """What is known of call times: the gate's own, else those of its kind."""
        return endpoint.gate.times if endpoint.gate.times.usual else endpoint.kin.times

    def _patience(self, message: Message, endpoint: Endpoint) -> int:
        """A hung call must not pin its slot: time out from seen call times."""
        limit, gate, times = FIRST_TIMEOUT, endpoint.gate, self._times(endpoint)
        # Trouble: answers that never came held a fifth of all slots while hundreds waited for one.
        least = LEAST_TIMEOUT if self.calls_out < self.slots - 1 else SCARCE_TIMEOUT
        if times.usual:
            limit = int(max(least, times.usual + PATIENCE * times.deviation))
        if gate.failures == 0 and self.calls_out * 2 <= self.slots:
            limit *= 2  # trouble: slow but sound calls were cut while slots lay idle
        if message.about.semantics not in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED):
            limit *= UNSAFE_PATIENCE  # a time-out is its end, so it waits longer
        return limit

    # Learning from outcomes

    def _outcome(self, event: AttemptEnded) -> None:
        message = self.messages.get(event.message_id)
        call = message.call if message is not None else None
        # Rule 'waits', whatever became of the message. Each of a bundle tells it anew, maybe a tick later.
        self._bind(call.endpoint.name if call is not None else event.endpoint, event.retry_after)
        if message is None or call is None:
            return
        message.call = None
        call.members -= 1
        if call.members == 0:
            self.calls_out -= 1
            for counter in (call.endpoint.gate, call.endpoint.destination, call.endpoint):
                counter.in_flight -= 1
            for key in call.keys:
                self._rest(key, call.endpoint.destination)
        # The members of a bundle run out of time one by one: while others wait on, its fate is not known. A
        # call that was not begun tells nothing.
        known = call.members == 0 or event.result is not AttemptStatus.TIMEOUT
        if known and not event.postponed_for and not call.learned:
            call.learned = True
            self._learn(call, event)
        if event.result in UNCERTAIN_STATUSES:
            if message.ran_at is None:
                message.ran_at, message.ran_on = call.sent_at, call.endpoint
            if message.key is not None and event.result is not AttemptStatus.ERROR:
                if call.members:
                    message.key.rest_until = NEVER  # rule 'order': until nothing of this call is out any more
                    call.keys.append(message.key)
                else:
                    self._rest(message.key, message.destination)
        if event.is_final or message.over:
            self._finish(message, None)
        elif event.is_expired:
            self._finish(message, FailMessage(message.name))
        else:
            self._retry_later(message, event)

    def apply_retry_after(self, now: int, name: str, wait: int) -> None:
        """An endpoint tells to wait so long: to be called as soon as that is heard, also between batches."""
        self.now = max(self.now, now)
        self._bind(name, wait)

    def is_blocked(self, now: int, name: str) -> bool:
        """Whether a told wait forbids calls to an endpoint: to be asked before the first byte of each."""
        gate = endpoint.gate if (endpoint := self.endpoints.get(name)) is not None else self._kept(name)
        return gate is not None and gate.told_until > now

    def _bind(self, name: str, wait: int) -> None:
        if (endpoint := self.endpoints.get(name)) is not None and wait > 0:
            self.told_of[endpoint.destination.number] = endpoint.destination
        gate = endpoint.gate if endpoint is not None else self._kept(name)
        if gate is not None and wait > 0:
            gate.told_until = max(gate.told_until, self.now + wait)

    def _doubt(self, event: OutcomeDisputed) -> None:
        """Rule 'no effect twice': the refusal it was to go again after is no proof any more."""
        message = self.messages.get(event.message_id)
        if message is None or message.over:
            return
        if message.ran_at is None:
            message.ran_at, message.ran_on = self.now - event.attempt_age, self.endpoints.get(event.endpoint)
        if message.key is not None and message.key.rest_until < NEVER:
            self._rest(message.key, message.destination)
        if message.call is None:
            message.destination.waiting.pop(message.name, None)
            self._hold_or_end(message)

    def _rest(self, key: Key, destination: Destination) -> None:
        key.rest_until = self.now + (self.told.ordering_cooldown or 0)
        destination.rests_until = max(destination.rests_until, key.rest_until)
        self._alarm(key.rest_until, key)

    def _learn(self, call: Call, event: AttemptEnded) -> None:
        gate, endpoint = call.endpoint.gate, call.endpoint
        endpoint.used_at = self.now
        # Trouble: a relay that stood still for seconds took all destinations for silent, and itself for new.
        if event.is_late:
            return
        # Trouble: trials and bundles were cut off by deadlines, even before they had a connection, and that
        # was taken for a host that fails, or takes no connections.
        if call.cut and event.result in (AttemptStatus.TIMEOUT, AttemptStatus.CONNECT_FAILED):
            return
        self._close_idle(endpoint, event.result)
        if event.connection_idle is not None:
            call.idle = event.connection_idle
        if event.result not in (AttemptStatus.CONNECT_FAILED, AttemptStatus.NOT_SENT):
            self._learn_wear(call.idle, event.result)
        # Trouble: the way spoils answers of sound hosts, and resets connections that were kept; destinations
        # were shut for it. A host that is down shows all the same: to new connections, or by the third in a
        # row. Harm: one that resets all it has begun, on kept connections alone, is found two calls later.
        reset = event.result is AttemptStatus.CONNECTION_LOST and call.idle > (
            0 if event.connection_idle is not None else LEAST_IDLE
        )
        gate.strays = gate.strays + 1 if reset or event.result is AttemptStatus.MALFORMED_RESPONSE else 0
        if 0 < gate.strays < MANY_STRAYS:
            return
        if gate.failures and call.sent_at > gate.failed_at:
            luck = endpoint.kin.luck
            luck[gate.refused] += ((event.result is AttemptStatus.OK) - luck[gate.refused]) / 8
        if event.result is AttemptStatus.OK:
            self._learn_success(gate, endpoint, event.elapsed)
        elif event.result is not AttemptStatus.NOT_SENT:
            self._learn_failure(gate, endpoint, call, event)

    def _learn_wear(self, idle: int, result: AttemptStatus) -> None:
        octave = (idle // LEAST_IDLE).bit_length()
        calls, resets = self.wear.setdefault(octave, (Rate(WEAR_SPAN), Rate(WEAR_SPAN)))
        calls.add(self.now)
        if result is AttemptStatus.CONNECTION_LOST:
            resets.add(self.now)

    def _idle_limit(self) -> int | None:
        """The idle time from which on connections are reset far more often than fresh ones, over all hosts:
        time-outs of hosts, of what stands between, tables that overflow. Harm: where only some hosts or ways
        do so, the others' connections are opened anew for unsafe messages, too.
        """
        bound = 2 * self._reset_share(0) + WORN
        worn = [octave for octave in self.wear if octave and self._reset_share(octave) > bound]
        return LEAST_IDLE << min(worn) - 1 if worn else None

    def _reset_share(self, octave: int) -> float:
        """Of the calls on connections so long idle; 0 where too few were reset to tell."""
        calls, resets = (rate.read(self.now) for rate in self.wear.get(octave, (Rate(), Rate())))
        return resets / calls if resets * WEAR_SPAN / SECOND > FEW_RESETS else 0.0

    def _close_idle(self, endpoint: Endpoint, result: AttemptStatus) -> None:
        """Trouble: idle connections of hundreds of relays fill a partner's table; close the rarely used."""
        if result is AttemptStatus.CONNECT_FAILED:
            endpoint.kin.scarce_until = self.now + SCARCE_SPAN
        # Where none was refused of late, they stay: a seldom used partner paid one for each message.
        scarce = endpoint.kin.scarce_until > self.now
        if scarce and endpoint.in_flight == 0 and endpoint.calls.read(self.now) * KEEP_GAP < SECOND:
            endpoint.used_at = NEVER
            self.actions.append(CloseIdleConnections(endpoint.name))

    def _learn_success(self, gate: Gate, endpoint: Endpoint, elapsed: int) -> None:
        endpoint.failures, endpoint.avoid_until, gate.failures = 0, 0, 0
        endpoint.usual += (elapsed - endpoint.usual) / (8 if endpoint.usual else 1)
        gate.times.add(elapsed)
        endpoint.kin.times.add(elapsed)
        gate.errors *= 0.75
        # Trouble: a low pace grew by next to nothing for want of successes; a backlog lifts it faster, too.
        gate.pace *= 1 + ((RARE_GROWTH if gate.pace < 1 else PACE_GROWTH) - 1) * self.alone
        gate.pace += PACE_STEP * self.alone if len(endpoint.destination.waiting) >= BACKLOG else 0
        if gate.outage:
            gate.outage, gate.cold_since = False, self.now
            self.actions.append(
                WriteLog(f"destination {endpoint.destination.number}: back, warming it gently")
            )
        gate.window = max(1.0, min(gate.window + 1, float(self.slots)))
        usual = gate.times.usual
        if usual > LATENCY_RISE * gate.times.longrun and gate.narrowed_at < self.now - usual:
            gate.window, gate.narrowed_at = max(1.0, gate.window / 2), self.now

    def _learn_failure(self, gate: Gate, endpoint: Endpoint, call: Call, event: AttemptEnded) -> None:
        gate.failures += 1
        gate.failed_at = self.now
        full = gate.refused = event.result is AttemptStatus.REJECTED
        if not full:
            gate.errors += (1 - gate.errors) / 4
            endpoint.failures += 1
            endpoint.avoid_until = self.now + min(self._backoff(endpoint.failures - 1), LONGEST_PAUSE)
        if gate.failures == 1:
            gate.failing_since = call.sent_at
        siblings = (e for e in endpoint.destination.endpoints if e.serves and e.gate is gate)
        if call.sent_at < gate.narrowed_at:
            return  # sent before the last narrowing, so it says nothing of the narrowed window
        gate.narrowed_at = self.now
        gate.window /= 2
        own = self._own_rate(gate, endpoint.destination)
        unmet = event.result is AttemptStatus.CONNECT_FAILED
        if full:
            # Trouble: held against messages a second, the pace of full bundles rose with each refusal. Demand
            # asks for so many calls at the least; small bundles take more, and get them as calls succeed.
            need = own / endpoint.bundle_max
            seen = max((len(gate.sends) - 1) * SECOND / self.tip_after, need)
            gate.pace = max(min(gate.pace, seen) * PACE_CUT, need * PACE_FLOOR)
            gate.window = min(gate.window, 0.5)
        elif any(e.failures == 0 and (e.usual or unmet or self.relays < CROWD) for e in siblings):
            # One endpoint of several: the others go on. One that never answered proves nothing of a hang.
            gate.window = max(1.0, gate.window)
        if gate.window < 1:
            # Below one call the window becomes a pause: limits without told waits, shut, silent or failing.
            # A call that found no connection cost its host nothing, so that such trials come closer together.
            longest = LONGEST_PAUSE // 2 if unmet else LONGEST_PAUSE
            pause = min(int(BASE * 0.5 / gate.window), longest)
            if full:
                # Trouble: relays that all come back when told keep a counted limit empty: waits stretch.
                stretched = event.retry_after * 2 ** min(max(0, gate.failures - 3), 3)
                pause = max(pause, min(stretched, event.retry_after + LONGEST_PAUSE * self.relays // 2))
            # Trouble: many relays with few calls each keep a counted limit empty, or tip what comes back. The
            # smaller this relay's part and the worse the luck of such calls, the wider they spread.
            rate = gate.pace if full else own * self.multiple * self.cold_from
            gate.unlucky = 1 - endpoint.kin.luck[full]
            pause = max(pause, event.retry_after + self._gap(gate, rate))
            gate.open_at = self.now + int(pause * (1 + JITTER * self.random.random()))
        # Lost calls strewn among good ones are no outage; refusals take twice as long to mean 'shut'.
        gate.all_full = full and (gate.all_full or gate.failures == 1)
        lasting = self.now - gate.failing_since >= OUTAGE_STREAK * (1 + gate.all_full)
        # Trouble: of two hundred relays half saw one call fail or two, held that for no outage, and went on
        # at their own pace as the destination came back. Where a cold window holds less than one call of
        # this relay's part, one failure is all that it may ever see.
        # Harm: among few relays each lost call slowed its destination down for nothing.
        crowd = not full and self.relays >= CROWD
        thin = crowd and own * self.multiple * self.cold_from * self.tip_after < SECOND
        streak = (gate.failures >= 2 and lasting) or thin
        if not gate.outage and gate.window < 1 and (streak or gate.errors > OUTAGE_ERRORS):
            gate.outage, gate.cold_since = True, None
            self.actions.append(
                WriteLog(f"destination {endpoint.destination.number}: failing, one trial at a time")
            )

    # Trying again

    def _backoff(self, depth: int) -> int:
        return int(BASE * 2 ** min(depth, 16) * (1 + JITTER * self.random.random()))

    def _retry_later(self, message: Message, event: AttemptEnded) -> None:
        """The design's wait: base times two to the depth; give up at the cap or when time runs short."""
        if event.postponed_for:
            message.depth -= 1
        wait = (
            0
            if event.result is AttemptStatus.NOT_SENT
            else max(self._backoff(message.depth - 1), event.retry_after)
        )
        siblings = (e for e in message.destination.endpoints if e.failures == 0 and e.serves)
        if event.result is AttemptStatus.CONNECT_FAILED and any(siblings):
            wait = 0  # trouble: endpoints gone before the list says so; a sibling takes it at once
        message.not_before = self.now + max(wait, event.postponed_for)
        self._hold_or_end(message)

    def _hold_or_end(self, message: Message) -> None:
        unsafe = message.about.semantics not in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)
        ends = self._window_end(message)
        if message.not_before >= ends:
            # The last try that its key still covers.
            message.not_before = max(self.now, ends - min(LAST_TRY, (message.about.dedup_window or 0) // 4))
        gone = (unsafe and message.ran_at is not None) or message.not_before >= min(
            ends, self._last_send(message)
        )
        if not gone and message.depth < message.max_attempts:
            self._hold(message)
        elif not gone and self._may_refuse(message):
            self._finish(message, RejectMessage(message.name, 0))
        else:
            self._finish(message, FailMessage(message.name))
