"""Which connection carries a call: all decisions on connections to hosts, with no input or output.

Events come in by methods, each with the time `now` in integer microseconds on a clock that never goes back;
each gives the actions that follow, to be carried out in order. The decision module has decided that a call
goes to a server, and when; here is decided what it travels on. docs/connections.md tells the reasons.

Each event costs constant work (a heap of clocks aside, logarithmic in the number of open connections),
whatever the number of servers and of kept connections: what is idle stands in order of time, so that the
newest, the oldest of a server and the oldest of all are found without a search.
"""

from __future__ import annotations

import heapq
import random
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from math import ceil

MS, SECOND = 1_000, 1_000_000
LOOKED_AT = 4  # kept connections of a server that are looked at for one that has rested
HANDSHAKE = 50 * MS  # what opening one is held to take before it was seen
RATE_SPAN = 10 * SECOND  # memory of the rate of calls to a server
LEAST_AGE = SECOND // 8  # a reset below that may as well have crossed an answer
OCTAVES = 16
AT_ONCE = 100 * MS  # connections found dead so close to each other have one cause
FRESH_RESETS = 3  # of new connections in a row, while others stand: they are beyond what the server takes
REGROW = 5 * SECOND  # after descriptors ran out, one connection more is tried each so long


class Order(Enum):
    """Of the idle connections of a server, which is used first."""

    NEWEST = "newest"  # the surplus ages, and goes
    ROTATE = "rotate"  # each in turn: all stay in use


class Distrust(Enum):
    """Whom a surplus answer counts against."""

    SERVER = "server"
    ALL = "all"


class Lost(Enum):
    """Why a connection did not come up."""

    REFUSED = auto()  # refused, reset or unreachable: somebody said no
    SILENT = auto()  # nothing came back in time
    DESCRIPTORS = auto()  # this machine has none left (EMFILE, ENFILE): it says nothing of the server


class Denied(Enum):
    """Why a call gets no connection. In no case has it run."""

    NO_CONNECTION = auto()  # the server can't be reached
    NO_ROOM = auto()  # nothing left here to open one with
    GONE = auto()  # the server is not known any more


@dataclass(frozen=True, slots=True)
class Limits:
    """What the operator sets (deploy/connections.toml). Times in microseconds; 0 stands for no limit."""

    strict: bool = False  # unsafe messages travel on connections that have carried nothing, whatever was seen
    distrust: Distrust = Distrust.ALL
    trust_after: int = 3600 * SECOND  # after the last surplus answer
    rest: int = 10 * MS  # before a connection is used again
    most_rest: int = 500 * MS  # to which that grows where copies come late
    unsafe_rest: int = 100 * MS  # for unsafe messages: rather than less, another connection is opened
    early: float = 0.25  # an answer sooner than this part of the quickest seen is looked at again
    order: Order = Order.NEWEST
    most_per_server: int = 0
    most_in_all: int = 0
    most_connecting: int = 0  # connects under way to one server
    backoff: int = 0  # after a failed connect; doubles with each further one in a row
    most_backoff: int = 2 * SECOND
    learn_bound: bool = False  # how many connections a server takes, from those that it refuses
    forget_bound: int = 30 * SECOND
    ahead: int = 0  # most connections opened ahead of need for one server
    calm: int = 12 * SECOND  # for so long a destination has answered well before anything is opened ahead
    idle_limit: int = 0  # no connection is kept idle longer
    age_limit: int = 0  # none is used when older
    learn_limits: bool = True  # both, for each server from what its resets show
    evidence: int = 3  # resets before anything is learned from them
    forget_limits: int = 300 * SECOND
    spread: float = 0.2  # of the limits, so that many don't end together: each draws from the last part


# Actions


@dataclass(frozen=True, slots=True)
class Use:
    """The call travels on this connection, not before `after` (microseconds from now) have passed."""

    call: int
    connection: int
    after: int
    idle: int  # how long it will have stood idle by then; 0: it has carried nothing


@dataclass(frozen=True, slots=True)
class Open:
    server: str
    connection: int


@dataclass(frozen=True, slots=True)
class Close:
    connection: int


@dataclass(frozen=True, slots=True)
class Deny:
    call: int
    why: Denied


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operator."""

    text: str


Action = Use | Open | Close | Deny | Say


class Wear:
    """Of connections used or ended, by how long they had stood (idle, or in all): how many were dead.

    By octaves of time, forgotten over a span; the least time at which one was found dead makes the limit
    sharper than its octave.
    """

    __slots__ = ("at", "rows", "span")

    def __init__(self, span: int) -> None:
        self.span = max(1, span)
        self.at = 0
        self.rows: list[list[float]] = []  # by octave: seen, dead, least time dead

    def add(self, now: int, stood: int, dead: bool) -> None:
        self._fade(now)
        if not self.rows:
            if not dead:
                return  # nothing is counted before the first is found dead
            self.at = now
            self.rows = [[0.0, 0.0, float(1 << 62)] for _ in range(OCTAVES)]
        row = self.rows[min(OCTAVES - 1, (stood // LEAST_AGE).bit_length())]
        row[0] += 1
        if dead:
            row[1] += 1
            row[2] = min(row[2], stood)

    def limit(self, now: int, evidence: int) -> int | None:
        """From which time on most are dead, with at least so much evidence; None where none shows.

        Where new connections fail as often the server is at fault, not the time.
        """
        self._fade(now)
        if not self.rows:
            return None
        seen, dead, _ = self.rows[0]
        bar = max(0.5, 2 * dead / seen if dead >= 1 else 0.0)
        for octave, (seen, dead, least) in enumerate(self.rows[1:], 1):
            if dead > evidence - 0.5 and dead >= bar * seen:
                return int(max(LEAST_AGE << octave - 1, 0.9 * least))
        return None

    def _fade(self, now: int) -> None:
        """Linear in the time gone by, in steps: after a whole span without news nothing is left."""
        gone = (now - self.at) / self.span
        if not self.rows or gone < 1 / 16:
            return
        self.at = now
        left = max(0.0, 1 - gone)
        for row in self.rows:
            row[0] *= left
            row[1] *= left
        if not any(row[1] > 0.25 for row in self.rows):
            self.rows = []


class Phase(Enum):
    OPENING = auto()
    BUSY = auto()
    IDLE = auto()
    CLOSED = auto()


@dataclass(slots=True, eq=False)
class Group:
    """A destination: what says whether its servers may have connections opened ahead."""

    key: Hashable
    well_since: int | None = None  # since when it has answered well; None: not, or not known
    told_until: int = 0
    servers: int = 0


@dataclass(slots=True, eq=False)
class Connection:
    number: int
    server: Server
    place: int  # which of the server's addresses, counted, it leads to
    phase: Phase
    asked_at: int
    up_at: int = 0
    idle_since: int = 0
    stood: int = 0  # how long it had stood idle when its present call took it
    carried: int = 0  # calls that it was used for
    part: float = 1.0  # of the limits at which it goes
    clock: bool = False  # stands in the heap


@dataclass(slots=True, eq=False)
class Waiting:
    call: int
    server: Server
    unsafe: bool
    most_idle: int | None
    ticket: int


@dataclass(slots=True, eq=False)
class Server:
    name: str
    group: Group
    place: int = 0
    where: Hashable = None
    wanted: bool = True  # False: it drains
    known: bool = True
    fresh: dict[int, Connection] = field(default_factory=dict)  # idle, have carried nothing
    idle: dict[int, Connection] = field(default_factory=dict)  # idle, the newest last
    busy: int = 0
    opening: dict[int, Connection] = field(default_factory=dict)
    waiting: dict[int, Waiting] = field(default_factory=dict)
    # Trust
    surplus_at: int | None = None
    lateness: int = 0  # the latest copy seen, after the answer before it
    quickest: int = 0  # answer of a sound call, and how many were seen
    answers: int = 0
    # Opening
    failures: int = 0
    open_after: int = 0
    bound: int = 0  # learned: so many it takes; 0: not known
    bound_until: int = 0
    fresh_resets: int = 0
    handshake: float = HANDSHAKE
    rate: float = 0.0  # calls a second, and when that was counted
    rate_at: int = 0
    clock: int = 0  # the alarm that stands in the heap for it
    # Limits
    closed_at: int = -SECOND  # when it last ended an idle connection
    by_idle: Wear | None = None
    by_age: Wear | None = None

    @property
    def up(self) -> int:
        return self.busy + len(self.idle) + len(self.fresh)

    @property
    def all(self) -> int:
        return self.up + len(self.opening)


class Pools:
    """The connections of one relay to all its servers."""

    def __init__(self, limits: Limits, seed: int = 0) -> None:
        self.limits = limits
        self.random = random.Random(seed)
        self.servers: dict[str, Server] = {}
        self.groups: dict[Hashable, Group] = {}
        self.connections: dict[int, Connection] = {}
        self.resting: OrderedDict[int, Connection] = OrderedDict()  # idle, of all servers, the newest last
        self.calls: dict[int, Waiting] = {}  # that wait for a connection
        self.blocked: OrderedDict[str, Server] = OrderedDict()  # wait for room among all connections
        self.most = limits.most_in_all or 1 << 30  # now; less after descriptors ran out
        self.short = False  # descriptors ran out, and not all is as before yet
        self.surplus_at: int | None = None  # the last that cost trust
        self.surpluses = 0  # all that were seen
        self.clocks: list[tuple[int, int, Connection | Server | None]] = []
        self.number = 0
        self.opened = 0  # connections that came up since the start
        self.now = 0
        self.out: list[Action] = []

    # Servers

    def place(self, name: str, where: Hashable, group: Hashable, now: int) -> list[Action]:
        """The server is at this address, of this destination. What leads elsewhere is not used again."""
        self._begin(now)
        if (server := self.servers.get(name)) is None:
            home = self.groups.setdefault(group, Group(group))
            home.servers += 1
            server = self.servers[name] = Server(name, home, where=where)
        if server.where != where:
            server.where = where
            server.place += 1
            self._close_idle(server)
            for connection in list(server.opening.values()):
                self._close(connection)
            server.failures, server.open_after, server.bound, server.fresh_resets = 0, 0, 0, 0
            server.by_idle = server.by_age = None
            server.answers = server.quickest = 0
        server.wanted = True
        self._serve(server)
        self._unblock()
        return self.out

    def drain(self, name: str, now: int) -> list[Action]:
        """Nothing is kept or opened ahead. Calls that were wanted before still get a connection."""
        self._begin(now)
        if server := self.servers.get(name):
            server.wanted = False
            self._close_idle(server)
            self._serve(server)
            self._unblock()
        return self.out

    def forget(self, name: str, now: int) -> list[Action]:
        """The server is gone: calls that wait are denied, those out end by themselves."""
        self._begin(now)
        if server := self.servers.pop(name, None):
            server.wanted = server.known = False
            server.group.servers -= 1
            if not server.group.servers:
                del self.groups[server.group.key]
            self._close_idle(server)
            for waiting in list(server.waiting.values()):
                self._deny(waiting, Denied.GONE)
            for connection in list(server.opening.values()):
                self._close(connection)
            self.blocked.pop(name, None)
            self._unblock()
        return self.out

    def close_idle(self, name: str, now: int) -> list[Action]:
        """Those idle now go; what is opened later is kept."""
        self._begin(now)
        if server := self.servers.get(name):
            self._close_idle(server)
            self._unblock()
        return self.out

    # Calls

    def want(self, call: int, name: str, unsafe: bool, most_idle: int | None, now: int) -> list[Action]:
        """A call is to go out. It gets a Use or a Deny, at once or later, unless it is withdrawn before.

        `most_idle`: no connection that has stood idle for so long may carry it (microseconds).
        """
        self._begin(now)
        if (server := self.servers.get(name)) is None:
            self.out.append(Deny(call, Denied.GONE))
            return self.out
        self.number += 1
        self._count(server)
        waiting = Waiting(call, server, unsafe, most_idle, self.number)
        self.calls[call] = server.waiting[call] = waiting
        self._serve(server)
        self._open_ahead(server)
        return self.out

    def withdraw(self, call: int, now: int) -> list[Action]:
        """It is not wanted any more and has no connection yet. What opens for it is kept when it comes."""
        self._begin(now)
        if waiting := self.calls.pop(call, None):
            del waiting.server.waiting[call]
            if not waiting.server.waiting:
                self.blocked.pop(waiting.server.name, None)
            self._unblock()
        return self.out

    def waits_for_room(self, call: int) -> bool:
        """Whether a call waits for a connection to come free: then its wait says nothing of its server."""
        waiting = self.calls.get(call)
        return waiting is not None and waiting.server.up > 0

    # Connections

    def up(self, number: int, now: int) -> list[Action]:
        self._begin(now)
        connection = self.connections.get(number)
        if connection is None:
            return self.out
        server = connection.server
        del server.opening[number]
        self.opened += 1
        server.failures = server.open_after = 0
        server.handshake += (now - connection.asked_at - server.handshake) / 4
        connection.up_at = connection.idle_since = now
        connection.part = 1 - self.random.random() * self.limits.spread
        if connection.place != server.place or not server.known:
            connection.phase = Phase.BUSY  # as if in use, so that closing it counts once
            server.busy += 1
            self._close(connection)
        else:
            self._rest(connection)
        self._serve(server)
        self._unblock()
        return self.out

    def failed(self, number: int, why: Lost, now: int) -> list[Action]:
        """It did not come up."""
        self._begin(now)
        connection = self.connections.get(number)
        if connection is None:
            return self.out
        server = connection.server
        self._drop(connection)
        if why is Lost.DESCRIPTORS:
            self._shrink(server)
        else:
            self._learn_failure(server, why)
        self._serve(server)
        self._unblock()
        return self.out

    def answered(self, number: int, reusable: bool, now: int, took: int | None = None) -> list[Action]:
        """The call's answer is whole. `reusable`: and the connection is as sound as before.

        `took`: from the request's last byte to the answer's first (microseconds), where it is a delivery.
        """
        self._begin(now)
        if (connection := self.connections.get(number)) is None:
            return self.out
        server = connection.server
        server.fresh_resets = 0
        self._learn_age(connection, dead=False)
        if took is not None:
            server.quickest = took if not server.answers else min(server.quickest, took)
            server.answers += 1
        if reusable and connection.place == server.place and server.known:
            self._leave_use(connection)
            connection.idle_since = now
            self._rest(connection)
        else:
            self._close(connection)
        self._serve(server)
        self._unblock()
        self._open_ahead(server)
        return self.out

    def unused(self, number: int, now: int) -> list[Action]:
        """Its call was given up before a byte was written: it is as it was."""
        self._begin(now)
        connection = self.connections.get(number)
        if connection is not None and connection.phase is Phase.BUSY:
            connection.carried -= 1
            self._leave_use(connection)
            self._rest(connection)
            self._serve(connection.server)
            self._unblock()
        return self.out

    def broken(self, number: int, dead: bool, now: int) -> list[Action]:
        """The connection ended under its call, or is of no further use. `dead`: reset, ended or silent, so
        that it may have been dead before; not: an answer that can't be read, or a call that was cut off.
        """
        self._begin(now)
        if (connection := self.connections.get(number)) is None:
            return self.out
        server = connection.server
        if dead:
            self._learn_age(connection, dead=True)
            if connection.carried == 1:
                self._learn_fresh_reset(server)
        self._close(connection, told=False)
        self._serve(server)
        self._unblock()
        return self.out

    def closed(self, number: int, now: int) -> list[Action]:
        """The peer ended an idle connection; or one that was about to be used and has carried no byte of its
        call: then its call is to be wanted again.
        """
        self._begin(now)
        if (connection := self.connections.get(number)) is None:
            return self.out
        if connection.phase is Phase.BUSY:
            connection.carried -= 1
        if not connection.carried and self.now - connection.up_at < LEAST_AGE:
            self._learn_fresh_reset(connection.server)  # taken and ended at once: as good as refused
            self._pause(connection.server)
        elif self.now - connection.server.closed_at >= AT_ONCE:
            # A server that starts again ends all at once, whatever their age: that is one sign.
            connection.server.closed_at = self.now
            self._learn_age(connection, dead=True)
        self._close(connection, told=False)
        self._serve(connection.server)
        self._unblock()
        return self.out

    def surplus(self, number: int, answer: bool, now: int, behind: bool = False) -> list[Action]:
        """Bytes came that no request asked for. `answer`: they look like the start of one, so that they could
        have been taken for the answer to another request. `behind`: they came with the end of an answer.

        What comes with an answer, or within the rest that its connection takes in any case, can reach no
        other request: it ends its connection, and costs no trust.
        """
        self._begin(now)
        if (connection := self.connections.get(number)) is None:
            return self.out
        server = connection.server
        if answer:
            self.surpluses += 1
            late = None if connection.phase is not Phase.IDLE else now - connection.idle_since
            if late is not None and connection.carried:
                server.lateness = max(server.lateness, late)
            if not behind and (late is None or not connection.carried or late > self.limits.rest):
                if not self._distrusted(server):
                    self.out.append(
                        Say(f"{server.name} sends surplus answers: unsafe messages get new connections")
                    )
                server.surplus_at = self.surplus_at = now
        self._close(connection)
        self._serve(server)
        self._unblock()
        return self.out

    def fared(self, name: str, well: bool, wait: int, now: int) -> None:
        """How a call to the server went: only where its destination does well may be opened ahead."""
        if (server := self.servers.get(name)) is None:
            return
        group = server.group
        group.told_until = max(group.told_until, now + wait)
        if not well:
            group.well_since = None
        elif group.well_since is None:
            group.well_since = now

    def tick(self, now: int) -> list[Action]:
        """To be called at `due` or later."""
        self._begin(now)
        while self.clocks and self.clocks[0][0] <= now:
            _, _, about = heapq.heappop(self.clocks)
            if about is None:
                self._regrow()
                continue
            if isinstance(about, Server):
                about.clock = 0
                if about.known:
                    self._serve(about)
                continue
            about.clock = False
            if about.phase is Phase.IDLE:
                if self._expires(about) <= now:
                    self._close(about)
                else:
                    self._wind(about)
        self._unblock()
        return self.out

    @property
    def due(self) -> int | None:
        """When `tick` is to be called, at the latest."""
        return self.clocks[0][0] if self.clocks else None

    # What the sockets' side asks

    def needs_new(self, name: str) -> bool:
        """Whether unsafe messages travel to this server on connections only that have carried nothing."""
        server = self.servers.get(name)
        return self.limits.strict or (server is not None and self._distrusted(server))

    def earliest(self, number: int) -> int:
        """Sooner than that (microseconds) after its last byte, no answer on this connection is believed at
        once: the server never answered so soon, and it has carried calls whose copies may come.
        """
        connection = self.connections.get(number)
        if connection is None or connection.carried < 2 or connection.server.answers < 32:
            return 0
        return int(connection.server.quickest * self.limits.early)

    def first_use(self, number: int) -> bool:
        """Whether its present call is the first it carries: then the answer can be no other call's."""
        connection = self.connections.get(number)
        return connection is not None and connection.carried <= 1

    # Within

    def _begin(self, now: int) -> None:
        self.now = max(self.now, now)
        self.out = []

    def _distrusted(self, server: Server) -> bool:
        at = self.surplus_at if self.limits.distrust is Distrust.ALL else server.surplus_at
        return at is not None and (not self.limits.trust_after or self.now - at < self.limits.trust_after)

    def _rest_time(self, server: Server) -> int:
        """Twice the latest copy seen: those that come later still are what `needs_new` is for."""
        return min(max(self.limits.rest, 2 * server.lateness), max(self.limits.rest, self.limits.most_rest))

    def _serve(self, server: Server) -> None:
        """Gives the calls that wait what there is, the oldest first, and opens what is missing."""
        if not server.waiting:
            return
        self._give(server)
        self._open_missing(server)

    def _give(self, server: Server) -> None:
        for waiting in self._oldest(server):
            if connection := self._pick(waiting):
                self._use(waiting, connection)
            elif not self._any_could_serve(server):
                break

    def _oldest(self, server: Server) -> Iterator[Waiting]:
        """Calls in the order in which they came: as many as there are connections to give, and LOOKED_AT more
        that may be choosier than the rest.
        """
        most = len(server.idle) + len(server.fresh) + LOOKED_AT
        return iter([w for w, _ in zip(server.waiting.values(), range(most), strict=False)])

    def _any_could_serve(self, server: Server) -> bool:
        return bool(server.idle or server.fresh)

    def _pick(self, waiting: Waiting) -> Connection | None:
        """The connection for a call, of those idle. One that has not rested is taken where its rest is over
        sooner than another could be open, or no other may be opened.
        """
        server, limits = waiting.server, self.limits
        self._retire(server)
        if waiting.unsafe:
            if connection := self._newest_fresh(waiting):
                return connection
            if self.needs_new(server.name):
                return None
        rested: Connection | None = None
        resting: Connection | None = None
        needed = self._rest_time(server)
        for connection in self._candidates(server):
            idle = self.now - connection.idle_since
            if waiting.most_idle is not None and max(idle, needed) >= waiting.most_idle:
                continue
            if self._expires(connection) <= self.now:
                self._close(connection)
                continue
            if idle < needed:
                resting = connection  # of those looked at, the one nearest to the end of its rest
            elif rested is None or (
                waiting.unsafe and self.now - rested.idle_since < limits.unsafe_rest
            ):  # an unsafe message takes the one that has rested longer
                rested = connection
                if not waiting.unsafe:
                    break
        if rested is not None:
            short = waiting.unsafe and self.now - rested.idle_since < limits.unsafe_rest
            if not short or server.failures or not self._may_open(server):
                return rested
            return None
        if connection := self._newest_fresh(waiting):
            return connection
        if waiting.unsafe and limits.unsafe_rest > needed and not server.failures and self._may_open(server):
            return None
        if resting is not None and (
            needed - (self.now - resting.idle_since) <= max(limits.rest, server.handshake)
            or not self._may_open(server)
        ):
            return resting
        return None

    def _candidates(self, server: Server) -> list[Connection]:
        """Idle connections that have carried calls, in the order in which they are to be used: a few, and the
        one that has rested longest.
        """
        if not server.idle:
            return []
        if self.limits.order is Order.ROTATE:
            return [c for c, _ in zip(server.idle.values(), range(LOOKED_AT), strict=False)]
        few = [c for c, _ in zip(reversed(server.idle.values()), range(LOOKED_AT), strict=False)]
        oldest = next(iter(server.idle.values()))
        return few if oldest is few[-1] else [*few, oldest]

    def _newest_fresh(self, waiting: Waiting) -> Connection | None:
        for connection in reversed(waiting.server.fresh.values()):
            young = waiting.most_idle is None or self.now - connection.idle_since < waiting.most_idle
            return connection if young else None
        return None

    def _use(self, waiting: Waiting, connection: Connection) -> None:
        server = waiting.server
        del server.waiting[waiting.call]
        del self.calls[waiting.call]
        self._leave_rest(connection)
        connection.phase = Phase.BUSY
        server.busy += 1
        after = 0
        if connection.carried:
            after = max(0, connection.idle_since + self._rest_time(server) - self.now)
        connection.stood = self.now + after - connection.idle_since
        connection.carried += 1
        self.out.append(Use(waiting.call, connection.number, after, connection.stood))

    def _deny(self, waiting: Waiting, why: Denied) -> None:
        del waiting.server.waiting[waiting.call]
        del self.calls[waiting.call]
        self.out.append(Deny(waiting.call, why))

    # Opening

    def _room(self, server: Server) -> int:
        """How many more the server may have, by all that is set and learned of it."""
        room = 1 << 30
        if self.limits.most_per_server:
            room = min(room, self.limits.most_per_server - server.all)
        if server.bound:
            if self.now >= server.bound_until:
                server.bound = 0
            else:
                room = min(room, server.bound - server.all)
        return room

    def _may_connect(self, server: Server) -> bool:
        most = self.limits.most_connecting
        return server.known and self.now >= server.open_after and (not most or len(server.opening) < most)

    def _may_open(self, server: Server) -> bool:
        if not self._may_connect(server):
            return False
        return self._room(server) > 0 and (len(self.connections) < self.most or bool(self.resting))

    def _open_missing(self, server: Server) -> None:
        """One connection under way for each call that waits, as far as the bounds go."""
        missing = len(server.waiting) - len(server.opening)
        while missing > 0 and self._may_connect(server):
            if self._room(server) <= 0:
                # What is idle is of no use to a call that waits: it needs a new one, or one less old.
                if not server.idle and not server.fresh:
                    break
                self._close(next(iter((server.idle or server.fresh).values())))
            elif len(self.connections) >= self.most:
                if not self.resting:
                    break
                self._close(next(iter(self.resting.values())))  # the oldest idle one, of all servers
            self._open(server)
            missing -= 1
        if missing <= 0:
            self.blocked.pop(server.name, None)
            return
        if len(self.connections) >= self.most:
            self.blocked.setdefault(server.name, server)
        if self.now < server.open_after:
            if not server.all:  # nothing that could come free
                for waiting in list(server.waiting.values()):
                    self._deny(waiting, Denied.NO_CONNECTION)
            else:
                self._wake(server, server.open_after)
        elif server.bound:
            self._wake(server, server.bound_until)

    def _open(self, server: Server) -> None:
        self.number += 1
        connection = Connection(self.number, server, server.place, Phase.OPENING, self.now)
        self.connections[connection.number] = server.opening[connection.number] = connection
        self.out.append(Open(server.name, connection.number))

    def _open_ahead(self, server: Server) -> None:
        """As many idle or opening as calls come in the time that opening one takes, where that is welcome:
        never toward a destination that is cold, shut or told to wait, or did not answer well of late.
        """
        if not self.limits.ahead or not server.wanted or server.waiting:
            return
        group = server.group
        if group.well_since is None or self.now - group.well_since < self.limits.calm:
            return
        if self.now < group.told_until or server.failures:
            return
        spare = len(server.fresh) + len(server.opening)
        if not self.needs_new(server.name):
            spare += len(server.idle)
        rate = server.rate * max(0.0, 1 - (self.now - server.rate_at) / RATE_SPAN)
        need = min(self.limits.ahead, ceil(rate * server.handshake / SECOND))
        while spare < need and self._may_open(server) and len(self.connections) < self.most:
            self._open(server)
            spare += 1

    def _count(self, server: Server) -> None:
        """The rate of calls, smoothed over RATE_SPAN."""
        left = max(0.0, 1 - (self.now - server.rate_at) / RATE_SPAN)
        server.rate = server.rate * left + SECOND / RATE_SPAN
        server.rate_at = self.now

    def _learn_failure(self, server: Server, why: Lost) -> None:
        self._pause(server)
        if why is Lost.REFUSED and server.up:
            self._learn_bound(server, server.up)
        self._give(server)  # what stands there is better now than another that may fail, too
        # The call it was opened for hears of it: the decision module knows the other servers.
        if server.waiting and not (server.bound and server.up):
            self._deny(next(iter(server.waiting.values())), Denied.NO_CONNECTION)

    def _pause(self, server: Server) -> None:
        server.failures += 1
        server.group.well_since = None
        if self.limits.backoff:
            wait = min(self.limits.backoff << min(server.failures - 1, 16), self.limits.most_backoff)
            server.open_after = self.now + int(wait * (1 - self.random.random() * self.limits.spread))

    def _learn_fresh_reset(self, server: Server) -> None:
        server.fresh_resets += 1
        if server.fresh_resets >= FRESH_RESETS and server.up > 1:
            self._learn_bound(server, server.up - 1)

    def _learn_bound(self, server: Server, bound: int) -> None:
        if not self.limits.learn_bound:
            return
        if server.bound != bound:
            self.out.append(Say(f"{server.name} takes {bound} connections, for now no more are opened"))
        server.bound, server.bound_until = bound, self.now + self.limits.forget_bound

    def _shrink(self, server: Server) -> None:
        """Descriptors ran out: as many as are open now are too many."""
        if not self.short:
            self._push(self.now + REGROW, None)
            self.out.append(
                Say(f"out of descriptors with {len(self.connections)} connections to hosts: fewer now")
            )
        self.short = True
        self.most = max(1, len(self.connections))
        if not self.connections:
            for waiting in list(server.waiting.values()):
                self._deny(waiting, Denied.NO_ROOM)

    def _regrow(self) -> None:
        self.most += 1
        if self.most >= (self.limits.most_in_all or len(self.connections) + 64):
            self.most, self.short = self.limits.most_in_all or 1 << 30, False
            self.out.append(Say("descriptors: as many connections as before"))
        else:
            self._push(self.now + REGROW, None)

    # Keeping and closing

    def _rest(self, connection: Connection) -> None:
        """It is idle from now on; or goes, where it is not to be kept."""
        server = connection.server
        connection.phase = Phase.IDLE
        (server.idle if connection.carried else server.fresh)[connection.number] = connection
        self.resting[connection.number] = connection
        over = server.all - self.limits.most_per_server if self.limits.most_per_server else 0
        if (not server.wanted and not server.waiting) or over > 0 or self._expires(connection) <= self.now:
            self._close(connection)
        else:
            self._wind(connection)

    def _leave_rest(self, connection: Connection) -> None:
        connection.server.idle.pop(connection.number, None)
        connection.server.fresh.pop(connection.number, None)
        del self.resting[connection.number]

    def _leave_use(self, connection: Connection) -> None:
        connection.server.busy -= 1

    def _close(self, connection: Connection, told: bool = True) -> None:
        """`told`: the socket is still there, and must be closed."""
        if told:
            self.out.append(Close(connection.number))
        self._drop(connection)

    def _drop(self, connection: Connection) -> None:
        if connection.phase is Phase.IDLE:
            self._leave_rest(connection)
        elif connection.phase is Phase.BUSY:
            self._leave_use(connection)
        elif connection.phase is Phase.OPENING:
            connection.server.opening.pop(connection.number, None)
        connection.phase = Phase.CLOSED
        self.connections.pop(connection.number, None)

    def _close_idle(self, server: Server) -> None:
        while server.idle or server.fresh:
            self._close(next(iter((server.idle or server.fresh).values())))

    def _retire(self, server: Server) -> None:
        """The oldest go first, so that nothing is looked at twice."""
        for kept in (server.idle, server.fresh):
            while kept and self._expires(oldest := next(iter(kept.values()))) <= self.now:
                self._close(oldest)

    def _unblock(self) -> None:
        """Room among all connections goes to the servers that wait for it, each in turn."""
        for _ in range(len(self.blocked)):
            if len(self.connections) >= self.most and not self.resting:
                return
            _, server = self.blocked.popitem(last=False)
            self._serve(server)
            if server.waiting and server.name in self.blocked:
                return

    # Limits of age

    def _learn_age(self, connection: Connection, dead: bool) -> None:
        if not self.limits.learn_limits:
            return
        server = connection.server
        if server.by_idle is None or server.by_age is None:
            if not dead:
                return
            server.by_idle, server.by_age = Wear(self.limits.forget_limits), Wear(self.limits.forget_limits)
        server.by_idle.add(self.now, self._stood(connection), dead)
        server.by_age.add(self.now, self.now - connection.up_at, dead)

    def _stood(self, connection: Connection) -> int:
        """How long it had stood idle, when it was used or ended."""
        if connection.phase is Phase.BUSY:
            return connection.stood
        return self.now - connection.idle_since

    def _expires(self, connection: Connection) -> int:
        """When an idle connection goes, by the limits that are set and those learned of its server."""
        server, limits = connection.server, self.limits
        ends = 1 << 62
        for since, told, wear in (
            (connection.idle_since, limits.idle_limit, server.by_idle),
            (connection.up_at, limits.age_limit, server.by_age),
        ):
            learned = wear.limit(self.now, limits.evidence) if wear is not None else None
            limit = min(told or 1 << 62, learned or 1 << 62)
            if limit < 1 << 62:
                ends = min(ends, since + int(limit * connection.part))
        return ends

    def _wind(self, connection: Connection) -> None:
        """One clock for each connection; it is wound again when it rings too early."""
        if not connection.clock and (ends := self._expires(connection)) < 1 << 62:
            connection.clock = True
            self._push(ends, connection)

    def _wake(self, server: Server, at: int) -> None:
        if not server.clock or at < server.clock:
            server.clock = at
            self._push(at, server)

    def _push(self, at: int, about: Connection | Server | None) -> None:
        self.number += 1
        heapq.heappush(self.clocks, (max(at, self.now + 1), self.number, about))
