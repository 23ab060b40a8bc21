"""Simulated registries in virtual time, by the rules of docs/slices.md; they share only the wire codec with
the program."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from loftrelay.decisions.events import EndpointEntry, EndpointState
from loftrelay.discovery.subscription import SubscriptionState, Timing
from loftrelay.discovery.subscription_actions import (
    Action,
    CancelCalls,
    Channel,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    Row,
    StartCall,
)
from loftrelay.net.address import Address
from loftrelay.registry.protocol import (
    GONE,
    UNAVAILABLE,
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
    checksum,
    decode_request,
)
from loftrelay.relay.ports import ResolutionStatus

PATIENCE = 2.2  # seconds for an answer beyond a call's own wait
FLEET = "windwacht"
TIMING = Timing()
BROKEN, TOO_LONG = 0, -1  # in place of a status: the connection ended; the answer was not taken


@dataclass
class List:
    """Discovery's, with all that was ever in it: a host that moved is gone where it was."""

    revision: int = 1
    rows: dict[tuple[str, int], tuple[Row, int]] = field(default_factory=dict)  # and when they changed

    def set(self, host: str, cell: int, state: EndpointState) -> None:
        self.revision += 1
        for other, (row, _) in list(self.rows.items()):
            if other[0] == host and row[0].state is not EndpointState.REMOVED:
                self.rows[other] = (replace(row[0], state=EndpointState.REMOVED), row[1]), self.revision
        entry = EndpointEntry(host, cell, state, None, None, float(self.revision))
        self.rows[host, cell] = (entry, ("10.0.0.1", 1024 + int(host[1:]))), self.revision

    def copy(self) -> List:
        return List(self.revision, dict(self.rows))

    def of(self, cell: int) -> dict[str, Row]:
        told = (row for row, _ in self.rows.values())
        return {
            r[0].endpoint: r
            for r in told
            if r[0].destination == cell and r[0].state is not EndpointState.REMOVED
        }


class Registry:
    """Holds a copy of the list, as fresh as `hear` makes it."""

    def __init__(self, address: Address, fleet: str = FLEET) -> None:
        self.address, self.fleet = address, fleet
        self.list: List | None = None
        self.heard = 0.0
        self.sets: dict[str, tuple[set[int], int]] = {}
        self.waiting: list[tuple[SubscriptionWatch, Callable[[SubscriptionResponse | int], None]]] = []
        self.up = True  # False: its process stands still, calls wait unread
        self.dead = False  # connections are refused
        self.unread: list[tuple[str, Callable[[SubscriptionResponse | int], None]]] = []
        self.calls: list[str] = []
        self.most_rows = 1 << 30  # of an answer to a change; a longer one is cut off

    def hear(self, now: float, told: List) -> None:
        if self.up:
            self.list, self.heard = told.copy(), now
            self.wake(now)

    def wake(self, now: float) -> None:
        waiting, self.waiting = self.waiting, []
        for watch, done in waiting:
            self._watch(now, watch, done)

    def start_anew(self) -> None:
        self.sets.clear()
        waiting, self.waiting = self.waiting, []
        for _, done in waiting:
            done(BROKEN)

    def resume(self, now: float) -> None:
        self.up = True
        unread, self.unread = self.unread, []
        for text, done in unread:
            self.ask(now, text, done)

    def ask(self, now: float, text: str, done: Callable[[SubscriptionResponse | int], None]) -> None:
        if not self.up:
            self.unread.append((text, done))
            return
        self.calls.append(text)
        call = decode_request(text)
        if self.list is None:
            done(UNAVAILABLE)
        elif isinstance(call, SubscriptionChange):
            done(self._change(now, call))
        elif isinstance(call, SubscriptionWatch):
            self._watch(now, call, done)

    def _change(self, now: float, call: SubscriptionChange) -> SubscriptionResponse | int:
        assert self.list is not None
        cells, seq = self.sets.get(call.subscriber, (None, 0))
        if call.is_reset:
            cells = set()
        if cells is None or call.sequence <= seq:
            return GONE
        cells -= set(call.dropped)
        cells |= {*call.added, *call.confirmed}
        self.sets[call.subscriber] = cells, call.sequence
        changed = {row[0].destination for row, at in self.list.rows.values() if at > call.since_revision}
        whole = [
            *call.added,
            *(cell for cell in call.confirmed if cell in changed or not call.since_revision),
        ]
        wanted = set(whole)
        rows = [row for row, _ in self.list.rows.values() if row[0].destination in wanted]
        rows = [row for row in rows if row[0].state is not EndpointState.REMOVED]
        return self._answer(now, call.subscriber, whole, rows) if len(rows) <= self.most_rows else TOO_LONG

    def _watch(
        self, now: float, watch: SubscriptionWatch, done: Callable[[SubscriptionResponse | int], None]
    ) -> None:
        assert self.list is not None
        if watch.subscriber not in self.sets:
            done(GONE)
            return
        cells = self.sets[watch.subscriber][0]
        changed = [
            row
            for row, at in self.list.rows.values()
            if at > watch.since_revision and row[0].destination in cells
        ]
        if changed or not watch.wait_ms:
            done(self._answer(now, watch.subscriber, [], changed))
        else:
            self.waiting.append((watch, done))

    def time_out(self, now: float, done: Callable[[SubscriptionResponse | int], None]) -> None:
        for watch, waits in list(self.waiting):
            if waits is done and self.up:
                self.waiting.remove((watch, waits))
                if watch.subscriber in self.sets:
                    done(self._answer(now, watch.subscriber, [], []))
                else:
                    done(GONE)

    def _answer(self, now: float, subscriber: str, whole: list[int], rows: list[Row]) -> SubscriptionResponse:
        assert self.list is not None
        cells, seq = self.sets[subscriber]
        age = int((now - self.heard) * 1000)
        return SubscriptionResponse(
            self.fleet, self.list.revision, age, seq, len(cells), checksum(cells), tuple(whole), rows
        )


class Relay:
    """One SubscriptionState against registries, with the time and the net in the hands of the test."""

    def __init__(
        self, registries: list[Registry], timing: Timing = TIMING, seed: int = 1, name: str = "n1"
    ) -> None:
        self.registries = {registry.address: registry for registry in registries}
        self.random = random.Random(seed)
        self.subscription = SubscriptionState(
            [r.address for r in registries], FLEET, name, f"{seed:x}", timing, seed
        )
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.number = 0
        self.hosts: dict[int, dict[str, Row]] = {}  # the engine's list
        self.sliced: list[tuple[int, ResolutionStatus, float]] = []
        self.busy: set[int] = set()  # that the engine does not let go
        self.offered: list[int] = []
        self.lines: list[str] = []
        self.calls: list[tuple[float, StartCall]] = []
        self.delay = 0.001  # seconds each way: at the most
        self.loss = self.doubled = 0.0

    @property
    def first(self) -> Registry:
        """The registry in use."""
        return self.registries[self.subscription.session.selection.current.address]

    def at(self, time: float, what: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (max(time, self.now), self.number, what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        self.do()
        while True:
            due = self.subscription.due_at
            at = min(due, self.queue[0][0] if self.queue else due)
            if at > end:
                break
            self.now = max(self.now, at)
            if self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            else:
                self.subscription.tick(self.now)
            self.do()
        self.now = end

    def do(self) -> None:
        while actions := self.subscription.drain_actions():
            for action in actions:
                self._do(action)

    def _do(self, action: Action) -> None:
        match action:
            case StartCall():
                self._call(action)
            case EntriesChanged(rows):
                for row in rows:
                    self._row(row)
            case DestinationResolved(cell, state):
                self.sliced.append((cell, state, self.now))
            case ReleaseDestinations(cells):
                self.offered += cells
                gone = [cell for cell in cells if cell not in self.busy]
                for cell in gone:
                    self.hosts.pop(cell, None)
                self.subscription.release(self.now, cells, gone)
            case LogLine(text):
                self.lines.append(text)
            case CancelCalls():
                pass  # what comes on hung-up connections all the same is no longer believed

    def _row(self, row: Row) -> None:
        entry = row[0]
        hosts = self.hosts.setdefault(entry.destination, {})
        if entry.state is EndpointState.REMOVED:
            del hosts[entry.endpoint]  # nothing is told as gone that was not there
        else:
            hosts[entry.endpoint] = row

    def _call(self, call: StartCall) -> None:
        self.calls.append((self.now, call))
        registry, subscription = self.registries[call.registry], self.subscription
        over = False

        def fail(why: str) -> None:
            nonlocal over
            if not over:
                over = True
                subscription.call_failed(self.now, call.number, why)

        def answered(told: SubscriptionResponse | int) -> None:
            if self.random.random() < self.loss:
                return
            times = 2 if self.random.random() < self.doubled else 1
            for _ in range(times):
                self.at(self.now + self.random.uniform(0, self.delay), lambda: hear(told))

        def hear(told: SubscriptionResponse | int) -> None:
            nonlocal over
            over = True  # a doubled one still comes: the subscription has to know
            if told in (BROKEN, TOO_LONG):
                subscription.call_failed(self.now, call.number, "broken", is_too_long=told == TOO_LONG)
            elif isinstance(told, int):
                subscription.call_rejected(self.now, call.number, told, "no")
            else:
                subscription.call_answered(self.now, call.number, told, tuple(told.rows))

        def arrive() -> None:
            if registry.dead:
                fail("refused")
            elif self.random.random() >= self.loss:
                registry.ask(self.now, call.target, answered)
                if call.wait:
                    self.at(self.now + call.wait, lambda: registry.time_out(self.now, answered))

        self.at(self.now + self.random.uniform(0, self.delay), arrive)
        limit = call.wait + PATIENCE if call.channel is not Channel.FAILBACK_CHECK else PATIENCE
        self.at(self.now + limit, lambda: fail("no answer"))

    def holds(self, told: List) -> bool:
        """Whether what the engine has equals the list, for all that it asked for."""
        cells = {cell for cell, about in self.subscription.table.destinations.items() if about.is_resolved}
        return all(self.hosts.get(cell, {}) == told.of(cell) for cell in cells)

    def want(self, *cells: int) -> None:
        for cell in cells:
            self.subscription.resolve(self.now, cell)
        self.do()
