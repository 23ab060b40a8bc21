"""Which destinations a relay holds, which registry tells of them, and what of its answers is believed.

It does no input or output: what happens is told by a method with the time (seconds of a clock that never
steps), what is to be done is in `take`, and `tick` is to be called at `due` or later. docs/slices.md has the
rules. A *cell* is a destination on the wire.

References: Thaler, Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM ToN 1998), for
the order of registries; Brooker, "Exponential backoff and jitter" (2015), for the waits.
"""

from __future__ import annotations

import math
import random
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from hashlib import blake2b

from loftrelay.decisions.events import EndpointEntry, EndpointState
from loftrelay.net.address import Address
from loftrelay.registry.protocol import (
    FORBIDDEN,
    GONE,
    MOST_CELLS,
    MOST_NAME,
    Answer,
    Change,
    Watch,
    checksum,
    target,
)
from loftrelay.relay.ports import ResolutionStatus

GATHER = 0.003  # seconds for which first messages are gathered into one call
DROP_AFTER = 1.0  # for which what was let go waits for a call that goes anyway
SWEEP = 1.0  # between two looks for what is idle
MOST_WAIT = 2.0  # for which a registry may hold a watch
LEAST_GAP = 0.05  # between watches: one that is answered at once must not become a busy loop
LEAST_REST, MOST_REST = 0.1, 2.0  # at the most before all registries are tried anew: at first, at last
RETURN, MOST_RETURN = 30.0, 600.0  # before the first registry of the order is looked at again
MOST_RESETS = 3  # in a row at one registry, with no watch that was answered between
MOST_ROWS = 1_000  # in an answer: destinations with many hosts are asked for fewer at a time
BARRED = 60.0  # seconds for which one whose hosts alone make too long an answer is not asked for
REMEMBERED = 8  # changes whose count and sum are known yet: answers to watches may be as old
MOST_ROUND = 8  # times `stale` at the most between two rounds of looks for fresher news
FRESHER = 1.0  # seconds by which another registry's news has to be, for a move

Row = tuple[EndpointEntry, Address]


@dataclass(frozen=True, slots=True)
class Timing:
    """Seconds, but for `most`."""

    wait: float = 0.2  # for which a first message waits for its destination
    idle: float = 300.0  # after which a destination without messages is let go
    most: int = 16_384  # destinations that are held, while those in use allow it
    stale: float = 6.0  # age of a registry's news from which on another is tried


class Channel(Enum):
    CHANGES = auto()
    WATCH = auto()
    LOOK = auto()  # whether the first registry of the order is there again


# What is to be done


@dataclass(frozen=True, slots=True)
class Call:
    """`wait`: seconds for which the registry may hold it."""

    channel: Channel
    number: int  # its outcome is told with it
    registry: Address
    target: str
    wait: float


@dataclass(frozen=True, slots=True)
class HangUp:
    """Nothing that is out on these connections counts any more."""


@dataclass(frozen=True, slots=True)
class Tell:
    """Changes of the list."""

    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Sliced:
    destination: int
    state: ResolutionStatus


@dataclass(frozen=True, slots=True)
class LetGo:
    """Idle, or too many. What is let go of them is told by `let_go`."""

    destinations: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Say:
    text: str


Action = Call | HangUp | Tell | Sliced | LetGo | Say


@dataclass(slots=True)
class Cell:
    """`hosts`: None before it was told. `at`: the revision as of which it was told whole; it is known as of
    the slice's revision where that is higher. `doubted`: to be told whole, whatever stands here, and told on
    whole.
    """

    hosts: dict[str, Row] | None = None
    at: int = 0
    doubted: bool = False


@dataclass(frozen=True, slots=True)
class Asked:
    """A change that is out."""

    change: Change
    number: int


class Mode(Enum):
    OFF = auto()
    RESTING = auto()  # no registry answers; the next try is at `connect_at`
    TELLING = auto()  # the registry is told what the relay holds; nothing is watched yet
    WATCHING = auto()


@dataclass(slots=True)
class Registry:
    address: Address
    heard: float = -math.inf  # when it had heard discovery, as it said then
    said: str = ""  # of it in the log


def preference(name: str, registries: Iterable[Address]) -> list[Address]:
    """Registries in a relay's own order, by rendezvous hashing. Where one goes, its relays spread over all
    others; where one comes, it takes its share from each.
    """

    def weight(address: Address) -> bytes:
        return blake2b(f"{name}\0{address[0]}:{address[1]}".encode(), digest_size=8).digest()

    return sorted(registries, key=weight, reverse=True)


@dataclass(slots=True)
class Interest:
    registries: Sequence[Address]
    fleet: str
    name: str
    life: str  # of this process: no two share one
    timing: Timing
    seed: int
    counts: Counter[str] = field(default_factory=Counter)
    cells: dict[int, Cell] = field(default_factory=dict)  # all that is held or asked for
    uses: OrderedDict[int, float] = field(default_factory=OrderedDict)  # of these, the last; oldest first
    where: dict[str, int] = field(default_factory=dict)  # host -> its cell
    index: int = 0  # the slice's revision
    mode: Mode = Mode.OFF
    answered: bool = False  # some registry has, since the start

    order: list[Registry] = field(init=False)
    subscriber: str = field(init=False)
    chance: random.Random = field(init=False)
    place: int = 0  # in the order: the registry in use
    wants: dict[int, float] = field(default_factory=dict)  # to be told of, and until when; oldest first
    missing: dict[int, None] = field(default_factory=dict)  # to be told whole, in no call
    retold: dict[int, None] = field(default_factory=dict)  # that this registry is to be told of yet
    dropped: dict[int, None] = field(default_factory=dict)
    asked: Asked | None = None
    watch: int | None = None  # the number of the one that is out, and its index
    watch_index: int = 0
    look: int | None = None
    reset: bool = False  # the next change tells the whole set
    told: set[int] = field(default_factory=set)  # the subscription with the change that is out
    sum: int = 0
    expected: OrderedDict[int, tuple[int, int]] = field(default_factory=OrderedDict)  # by seq
    seq: int = 0
    number: int = 0
    oldest_piece: int | None = None
    most_call: int = MOST_CELLS  # destinations in a call
    barred: dict[int, float] = field(default_factory=dict)  # until when
    gather_at: float = 0.0
    drop_at: float = 0.0
    watch_at: float = 0.0
    connect_at: float = 0.0
    swept: float = -math.inf
    begun: float = 0.0
    failures: int = 0  # registries in a row that were of no use
    resets: int = 0
    returns: int = 0  # times in a row that the first of the order was left
    return_at: float = math.inf
    older_since: float | None = None
    of_no_use: set[int] = field(default_factory=set)  # places, since then
    look_place: int = 0  # whom the look that is out is at
    to_look: list[int] = field(default_factory=list)  # places, for news that is fresher than the one's in use
    rounds: int = 0  # of such looks in a row that found none
    round_at: float = -math.inf  # no sooner is the next
    actions: list[Action] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.order = [Registry(address) for address in preference(self.name, self.registries)]
        self.subscriber = f"{self.name[:MOST_NAME]}.{self.life}"
        self.chance = random.Random(self.seed)

    def take(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # What the relay needs

    def start(self, now: float) -> None:
        if self.mode is Mode.OFF:
            self.failures = 0
            self._begin(now)

    def pause(self) -> None:
        """Nothing is asked until `start`. Who wants a destination meanwhile hears in time that none comes."""
        self._hang_up()
        self.mode = Mode.OFF

    def adopt(self, now: float, revision: int | None, cells: Iterable[int], rows: Iterable[Row]) -> None:
        """Goes on with the slice of the process before."""
        self.index = revision or 0
        for number in cells:
            self.cells[number] = Cell({})
            self.uses[number] = now
        for row in rows:
            cell = self.cells.setdefault(row[0].destination, Cell({}))
            assert cell.hosts is not None
            cell.hosts[row[0].endpoint] = row
            self.where[row[0].endpoint] = row[0].destination
            self.uses.setdefault(row[0].destination, now)

    def want(self, now: float, number: int) -> None:
        """A message came for a destination that is not held."""
        cell = self.cells.get(number)
        if cell is not None and cell.hosts is not None and not cell.hosts and not cell.doubted:
            self.use(now, number)
            self.actions.append(Sliced(number, ResolutionStatus.NOT_FOUND))
            return
        if self.barred.get(number, 0.0) > now:
            self.actions.append(Sliced(number, ResolutionStatus.UNAVAILABLE))
            return
        self.wants.setdefault(number, now + self.timing.wait)
        if cell is None or cell.hosts:
            if not self.missing:
                self.gather_at = now + GATHER
            if cell is None:
                cell = self.cells[number] = Cell()
            cell.doubted = bool(cell.hosts)  # what was told of it did not arrive: it is told anew
            self.missing[number] = None
            self.dropped.pop(number, None)
        self.uses[number] = now
        self.uses.move_to_end(number)

    def use(self, now: float, number: int) -> None:
        """A message came for a destination that is held."""
        if number in self.uses:
            self.uses[number] = now
            self.uses.move_to_end(number)

    def let_go(self, now: float, offered: Iterable[int], gone: Iterable[int]) -> None:
        """Of what was offered, what is no longer held. The rest counts as in use."""
        for number in gone:
            if (cell := self.cells.pop(number, None)) is None:
                continue
            for host in cell.hosts or ():
                if self.where.get(host) == number:
                    del self.where[host]
            for table in (self.uses, self.missing, self.retold, self.wants):
                table.pop(number, None)
            if number in self.told:
                if not self.dropped:
                    self.drop_at = now + DROP_AFTER
                self.dropped[number] = None
            self.counts["let_go"] += 1
        for number in offered:
            self.use(now, number)

    # Time

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        times = [next(iter(self.wants.values()), math.inf), self._sweep_at()]
        if self.mode is Mode.RESTING:
            times.append(self.connect_at)
        elif self.mode is not Mode.OFF:
            if self.asked is None:
                if self.missing:
                    times.append(self.gather_at)
                if self.dropped:
                    times.append(self.drop_at)
            if self.mode is Mode.WATCHING:
                if self.watch is None:
                    times.append(self.watch_at)
                if self.look is None:
                    times.append(self.return_at)
        return min(times)

    def tick(self, now: float) -> None:
        while self.wants:
            number, until = next(iter(self.wants.items()))
            if until > now:
                break
            del self.wants[number]
            self.actions.append(Sliced(number, ResolutionStatus.UNAVAILABLE))
        if self.mode is Mode.RESTING and now >= self.connect_at:
            self._begin(now)
        self._go_on(now)
        if self.mode is Mode.WATCHING and self.look is None and now >= self.return_at:
            self.return_at = math.inf
            self._look_at(0)
        if now >= self._sweep_at():
            self._sweep(now)

    def _sweep_at(self) -> float:
        if not self.uses:
            return math.inf
        if len(self.cells) > self.timing.most:
            return self.swept + SWEEP
        return max(self.swept + SWEEP, next(iter(self.uses.values())) + self.timing.idle)

    def _sweep(self, now: float) -> None:
        self.swept = now
        surplus = len(self.cells) - self.timing.most
        idle: list[int] = []
        for number, used in self.uses.items():
            if len(idle) == MOST_CELLS or (used + self.timing.idle > now and len(idle) >= surplus):
                break
            idle.append(number)
        if idle:
            self.actions.append(LetGo(tuple(idle)))

    # Calls

    def _call(self, channel: Channel, registry: Address, what: str, wait: float) -> int:
        self.number += 1
        self.actions.append(Call(channel, self.number, registry, what, wait))
        return self.number

    def _hang_up(self) -> None:
        if self.mode not in (Mode.OFF, Mode.RESTING):
            self.actions.append(HangUp())
        self.asked = self.watch = self.look = None
        self.to_look.clear()

    def _begin(self, now: float) -> None:
        """The registry at `place` is told the whole set."""
        self._hang_up()
        self.mode, self.begun, self.reset, self.oldest_piece = Mode.TELLING, now, True, None
        for table in (self.told, self.expected, self.dropped, self.retold):
            table.clear()
        self.sum = 0
        self.missing = dict.fromkeys(self.wants)  # first messages go before all else
        for number, cell in self.cells.items():
            if self.barred.get(number, 0.0) > now:
                continue
            if cell.hosts is None or cell.doubted or max(cell.at, self.index) == 0:
                cell.doubted = cell.hosts is not None
                self.missing[number] = None
            else:
                self.retold[number] = None
        if self.place and self.return_at == math.inf:
            self._return_later(now)
        self._go_on(now)

    def _return_later(self, now: float) -> None:
        """Spread, so that all relays of a registry that comes back do not come back to it at once."""
        wait = min(MOST_RETURN, RETURN * 2 ** min(10, max(0, self.returns - 1)))
        self.return_at = now + wait * self.chance.uniform(0.5, 1.5)

    def _go_on(self, now: float) -> None:
        if self.mode not in (Mode.TELLING, Mode.WATCHING):
            return
        if self.asked is None:
            due = self.reset or self.retold or (self.missing and now >= self.gather_at)
            if due or (self.dropped and now >= self.drop_at):
                self._change()
            elif self.mode is Mode.TELLING and self.oldest_piece is not None:
                self.mode, self.watch_at = Mode.WATCHING, now
                self.index = max(self.index, self.oldest_piece)
        if self.mode is Mode.WATCHING and self.watch is None and now >= self.watch_at:
            self.watch_at, self.watch_index = now + LEAST_GAP, self.index
            watch = Watch(self.fleet, self.subscriber, self.index, int(MOST_WAIT * 1000))
            self.counts["watches"] += 1
            self.watch = self._call(Channel.WATCH, self.order[self.place].address, target(watch), MOST_WAIT)

    def _change(self) -> None:
        room = self.most_call
        lists = []
        for table in (self.missing, self.retold, self.dropped):
            lists.append(tuple(number for number, _ in zip(table, range(room), strict=False)))
            room -= len(lists[-1])
            for number in lists[-1]:
                del table[number]
        add, have, drop = lists
        self.seq += 1
        change = Change(self.fleet, self.subscriber, self.seq, self.index, add, have, drop, reset=self.reset)
        self.reset = False
        gone = self.told.intersection(drop)
        self.told -= gone
        come = set(add).union(have) - self.told
        self.told |= come
        self.sum = (self.sum + checksum(come) - checksum(gone)) & 0xFFFFFFFF
        self.expected[self.seq] = len(self.told), self.sum
        if len(self.expected) > REMEMBERED:
            self.expected.popitem(last=False)
        self.counts["changes"] += 1
        registry = self.order[self.place].address
        self.asked = Asked(change, self._call(Channel.CHANGES, registry, target(change), 0.0))

    # What becomes of them

    def failed(self, now: float, number: int, why: str, too_long: bool = False) -> None:
        """The call was not answered, or with what can't be read; or its answer was `too_long`."""
        if number == self.look:
            self.look = None
            if self.return_at == math.inf and self.place and self.look_place == 0:
                self.returns += 1
                self._return_later(now)
            self._look_on()
        elif self._is_out(number):
            if self.asked is not None and number == self.asked.number:
                cells = (*self.asked.change.add, *self.asked.change.have)
                if too_long and len(cells) == 1:
                    self._bar(now, cells[0])
                if cells:  # its answer may have been too long
                    self.most_call = max(1, min(self.most_call, len(cells)) // 2)
            self._fail(now, why)

    def _bar(self, now: float, number: int) -> None:
        """It must not keep the others from being told. What is known of it stays in force."""
        self.actions.append(Say(f"the hosts of destination {number} do not fit into an answer"))
        self.barred = {cell: until for cell, until in self.barred.items() if until > now}
        self.barred[number] = now + BARRED
        cell = self.cells.get(number)
        if cell is not None and cell.hosts is None:
            del self.cells[number], self.uses[number]
        if self.wants.pop(number, None) is not None:
            self.actions.append(Sliced(number, ResolutionStatus.UNAVAILABLE))

    def refused(self, now: float, number: int, status: int, text: str) -> None:
        """Answered with another status than 200; `text` says why."""
        if not self._is_out(number):
            self.failed(now, number, text)
        elif status == GONE:
            self._tell_anew(now, "knows no such subscription")
        elif status == FORBIDDEN:
            self._fail(now, f"serves another fleet than {self.fleet}: {text}")
        else:
            self._fail(now, f"answers {status}: {text}")

    def spoilt(self, now: float) -> None:
        """A fault of the program: what was told last may have been taken in half."""
        if self.mode is not Mode.OFF:
            for cell in self.cells.values():
                cell.doubted = cell.hosts is not None
            self._fail(now, "is not understood")

    def heard(self, now: float, number: int, answer: Answer, rows: Sequence[Row]) -> None:
        """Answered. `rows`: the answer's, read."""
        if number == self.look:
            heard = now - answer.age / 1000
            fresh = answer.age / 1000 <= self.timing.stale and self.look_place == 0
            if not fresh:
                fresh = heard > self.order[self.place].heard + FRESHER and bool(self.rounds)
            if answer.fleet == self.fleet and answer.revision >= self.index and fresh:
                self._move(self.look_place)
                self._begin(now)
            else:
                self.failed(now, number, "")
        elif self.asked is not None and number == self.asked.number:
            change, self.asked = self.asked.change, None
            if self._believe(now, answer, change.index, change.seq):
                self._changed(now, change, answer, rows)
        elif number == self.watch:
            self.watch = None
            if self._believe(now, answer, self.watch_index, None):
                self._watched(now, answer, rows)

    def _is_out(self, number: int) -> bool:
        return number == self.watch or (self.asked is not None and number == self.asked.number)

    def _believe(self, now: float, answer: Answer, index: int, seq: int | None) -> bool:
        registry = self.order[self.place]
        if answer.fleet != self.fleet:
            self._fail(now, f"serves the fleet {answer.fleet[:MOST_NAME]!r}, not {self.fleet}")
            return False
        if answer.revision < index:
            self._older(now)
            return False
        known = self.expected.get(answer.seq)
        if known != (answer.count, answer.sum) or seq not in (None, answer.seq):
            self._tell_anew(now, "holds another set than was told")
            return False
        registry.heard = now - answer.age / 1000
        self.answered = True
        self.older_since = None
        self.of_no_use.clear()
        return True

    def _changed(self, now: float, change: Change, answer: Answer, rows: Sequence[Row]) -> None:
        untold = set(change.add) - set(answer.cells)
        if any(number in self.cells for number in untold):
            self.missing |= {number: None for number in change.add if number in self.cells}
            self._fail(now, "does not tell what it was asked for")
            return
        if answer.revision < self.index:
            # A watch has overtaken it: what that told of these was passed over. They are asked for again.
            self.counts["overtaken"] += 1
            self.missing |= {number: None for number in change.add if number in self.cells}
        else:
            self._fit_calls(change, len(rows))
            for number in change.have:
                if number in self.cells:
                    self.cells[number].at = max(self.cells[number].at, answer.revision)
            self._take_cells(answer, rows)
            if self.mode is Mode.TELLING:
                pieces = (answer.revision, self.oldest_piece)
                self.oldest_piece = min(piece for piece in pieces if piece is not None)
        self._go_on(now)
        self._look_at_age(now, answer)

    def _fit_calls(self, change: Change, rows: int) -> None:
        if rows > MOST_ROWS:
            asked = len(change.add) + len(change.have)
            self.most_call = max(1, min(self.most_call, asked * MOST_ROWS // rows))
        elif rows <= MOST_ROWS // 2:
            self.most_call = min(MOST_CELLS, 2 * self.most_call)

    def _watched(self, now: float, answer: Answer, rows: Sequence[Row]) -> None:
        whole = set(answer.cells)
        gone: list[Row] = []
        news: list[Row] = []
        for row in rows:
            number = row[0].destination
            cell = self.cells.get(number)
            if number in whole or cell is None or cell.hosts is None or cell.doubted:
                continue
            if cell.at > answer.revision:
                self.counts["overtaken"] += 1
                continue
            self._place(number, cell.hosts, row, news, gone)
        self._tell(gone, news)
        self._take_cells(answer, rows)
        self.index = max(self.index, answer.revision)
        registry = self.order[self.place]
        if registry.said != "serves":
            registry.said = "serves"
            self.actions.append(Say(f"registry {_name(registry)} tells the slice"))
        self.failures = self.resets = 0
        if self.place == 0 and now - self.begun >= RETURN:
            self.returns = 0
        self._go_on(now)
        self._look_at_age(now, answer)

    def _take_cells(self, answer: Answer, rows: Sequence[Row]) -> None:
        """Those that are told whole."""
        members: dict[int, list[Row]] = {number: [] for number in answer.cells}
        for row in rows:
            if row[0].destination in members and row[0].state is not EndpointState.REMOVED:
                members[row[0].destination].append(row)
        gone: list[Row] = []
        news: list[Row] = []
        sliced: list[Action] = []
        for number, told in members.items():
            if (cell := self.cells.get(number)) is None:
                continue
            if cell.hosts is not None and not cell.doubted and cell.at > answer.revision:
                self.counts["overtaken"] += 1
                continue
            self.counts["cells"] += 1
            if cell.hosts is None:
                cell.hosts = {}
            named = {row[0].endpoint for row in told}
            for host in [host for host in cell.hosts if host not in named]:
                self._remove(number, cell.hosts, host, gone)
            for row in told:
                self._place(number, cell.hosts, row, news, gone)
            cell.at, cell.doubted = answer.revision, False
            self.missing.pop(number, None)
            if self.wants.pop(number, None) is not None:
                sliced.append(
                    Sliced(number, ResolutionStatus.RESOLVED if cell.hosts else ResolutionStatus.NOT_FOUND)
                )
        self._tell(gone, news)
        self.actions += sliced

    def _tell(self, gone: list[Row], news: list[Row]) -> None:
        """Who is gone first: a host may have left one destination for another."""
        self.actions += [Tell(tuple(told)) for told in (gone, news) if told]

    def _place(self, number: int, hosts: dict[str, Row], row: Row, news: list[Row], gone: list[Row]) -> None:
        """One row of a cell."""
        host = row[0].endpoint
        if row[0].state is EndpointState.REMOVED:
            self._remove(number, hosts, host, gone)
            return
        if hosts.get(host) == row and not self.cells[number].doubted:
            return
        before = self.cells.get(self.where.get(host, number))
        if before is not None and before.hosts is not None and before.hosts is not hosts:
            self._remove(self.where[host], before.hosts, host, gone)
        hosts[host] = row
        self.where[host] = number
        news.append(row)

    def _remove(self, number: int, hosts: dict[str, Row], host: str, gone: list[Row]) -> None:
        if (row := hosts.pop(host, None)) is not None and self.where.get(host) == number:
            del self.where[host]
            gone.append(_gone(row))

    # Which registry

    def _fail(self, now: float, why: str) -> None:
        self.counts["failures"] += 1
        self._say(why)
        if self.older_since is not None:
            self.of_no_use.add(self.place)
        self._next(now)

    def _say(self, why: str) -> None:
        registry = self.order[self.place]
        if registry.said != why:
            registry.said = why
            self.actions.append(Say(f"registry {_name(registry)} {why}"))

    def _next(self, now: float) -> None:
        self.failures += 1
        rest = self.failures % len(self.order) == 0
        self._move((self.place + 1) % len(self.order))
        if not rest:
            self._begin(now)
            return
        self._hang_up()
        rounds = self.failures // len(self.order)
        self.mode = Mode.RESTING
        most = min(MOST_REST, LEAST_REST * 2 ** min(20, rounds - 1))
        self.connect_at = now + self.chance.uniform(0, most)

    def _move(self, place: int) -> None:
        if self.place == 0 and place:
            self.returns += 1
        if place == 0:
            self.return_at = math.inf
        if place != self.place:
            self.counts["moved"] += 1
            self.place = place

    def _tell_anew(self, now: float, why: str) -> None:
        self.resets += 1
        if self.resets > MOST_RESETS:
            self.resets = 0
            self._fail(now, why)
        else:
            self._begin(now)

    def _older(self, now: float) -> None:
        """It woke late, or is cut off from discovery; or discovery counts anew."""
        self.counts["older"] += 1
        if self.older_since is None:
            self.older_since = now
            self.of_no_use.clear()
        self.of_no_use.add(self.place)
        if now - self.older_since < self.timing.stale or len(self.of_no_use) < len(self.order):
            self._say("tells an older revision than the slice has")
            self._next(now)
            return
        self.actions.append(Say("all registries tell older revisions: the whole slice is taken anew"))
        self.older_since, self.index = None, 0
        for cell in self.cells.values():
            cell.at, cell.doubted = 0, cell.hosts is not None
        self._begin(now)

    def _look_at_age(self, now: float, answer: Answer) -> None:
        """Looks at all others where discovery's news is old at this one, and moves to the first that is
        fresher.

        Trouble: one that was left lately, since it had stood still, was held to be as old as it was then, and
        not asked: relays stayed with one that was cut off, beside it, for 48 s.
        """
        if answer.age / 1000 <= self.timing.stale:
            self.rounds = 0
            self.to_look.clear()
        elif self.mode is Mode.WATCHING and not self.to_look and now >= self.round_at:
            self._say("has heard nothing of discovery for too long")
            self.rounds += 1
            most = min(2 ** (min(self.rounds, 10) - 1), MOST_ROUND)
            self.round_at = now + self.timing.stale * most * self.chance.uniform(0.5, 1)
            self.to_look = [(self.place + step) % len(self.order) for step in range(1, len(self.order))]
            self._look_on()

    def _look_on(self) -> None:
        if self.look is None and self.to_look and self.mode is Mode.WATCHING:
            self._look_at(self.to_look.pop(0))

    def _look_at(self, place: int) -> None:
        """By an empty subscription, beside the watch that goes on."""
        self.look_place = place
        look = Change(self.fleet, f"{self.subscriber}.look", self.number, reset=True)
        self.look = self._call(Channel.LOOK, self.order[place].address, target(look), 0.0)


def _name(registry: Registry) -> str:
    return f"{registry.address[0]}:{registry.address[1]}"


def _gone(row: Row) -> Row:
    entry, address = row
    return (
        EndpointEntry(
            entry.endpoint,
            entry.destination,
            EndpointState.REMOVED,
            entry.zone,
            entry.kind,
            entry.listed_rate,
        ),
        address,
    )
