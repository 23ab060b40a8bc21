"""Which relay is told of which cells, who waits for news, and whom a change concerns.

A subscription lives as long as its relay calls; all of it may be lost, and the relay then tells its set anew.
Pure: calls and the time in (seconds of any one clock), what to answer out.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from loftrelay.registry.catalog import Catalog, Parts
from loftrelay.registry.protocol import FORBIDDEN, GONE, MOST_CELLS, Change, Watch


class Refused(Exception):
    """A call that is answered with a status other than 200 and one line."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(frozen=True, slots=True)
class Told:
    """What an answer says, but for what is the same in all: fleet, revision and age."""

    seq: int
    count: int
    sum: int
    cells: tuple[int, ...]  # told whole
    rows: Sequence[bytes]


class Count(Enum):
    """Whether a relay's revisions are of discovery's present count. Where that count began anew and has come
    up to what the relay knows, the numbers alone don't tell.
    """

    SAME = auto()
    ANEW = auto()  # it began anew since: the set is to be told anew
    TOLD = auto()  # the set is being told: until the next watch, what the relay has is told whole


class Subscription:
    """One relay's life. Its cells stand in order, eight bytes each: there are many."""

    __slots__ = ("cells", "count", "name", "newest", "seen", "seq", "sum", "watch")

    def __init__(self, name: str) -> None:
        self.name = name
        self.cells = array("q")
        self.sum = 0
        self.seq = 0
        self.count = Count.SAME
        self.newest = 0  # no change of its cells is of a later revision
        self.seen = 0.0  # the last call, or its end
        self.watch: Parked | None = None

    def holds(self, cell: int) -> bool:
        at = bisect_left(self.cells, cell)
        return at < len(self.cells) and self.cells[at] == cell


Subscribed = Subscription | tuple[Subscription, ...] | set[Subscription]  # to one cell: most have one, or few
FEW = 8


@dataclass(slots=True, eq=False)
class Parked:
    """A watch that waits. `token`: of who has to answer it."""

    subscription: Subscription
    index: int
    token: Any

    @property
    def open(self) -> bool:
        """It was not ended yet, neither by `end` nor by a newer watch or a caller that left."""
        return self.subscription.watch is self


class Subscriptions:
    """`forget`: seconds after which one without a call is dropped."""

    def __init__(self, fleet: str, catalog: Catalog, forget: float) -> None:
        self.fleet, self.catalog, self.forget = fleet, catalog, forget
        self.of: dict[str, Subscription] = {}
        self._by_cell: Parts[int, Subscribed] = Parts()
        self._touched: dict[Subscription, None] = {}
        self.woken = 0  # watches that a change ended
        self.watches = 0  # that wait
        self.cells = 0  # in all subscriptions

    # Calls

    def change(self, call: Change, now: float) -> Told:
        """Raises Refused. A cell that stands in `drop` and elsewhere in the call is dropped first."""
        self._check(call.fleet)
        subscription = self.of.get(call.subscriber)
        if subscription is None:
            if not call.reset:
                raise Refused(GONE, f"subscriber = {call.subscriber!r}: not known here, tell the whole set")
            subscription = self.of[call.subscriber] = Subscription(call.subscriber)
        elif call.seq < subscription.seq:
            raise Refused(GONE, f"seq = {call.seq}: overtaken by {subscription.seq}, tell the whole set")
        subscription.seq, subscription.seen = call.seq, now
        if call.reset:
            self._empty(subscription)
            if subscription.count is Count.ANEW:
                subscription.count = Count.TOLD
        unknown = subscription.count is not Count.SAME or call.index > self.catalog.revision
        catalog = self.catalog
        for cell in call.drop:
            self._drop(subscription, cell)
        whole: dict[int, None] = {}
        for cell in call.add:
            whole[cell] = None
            self._add(subscription, cell)
        for cell in call.have:
            self._add(subscription, cell)
            if unknown or catalog.changed(cell) > call.index:
                whole[cell] = None
        return self._told(subscription, tuple(whole), [row for cell in whole for row in catalog.whole(cell)])

    def watch(self, call: Watch, token: Any, now: float) -> tuple[Told | None, Parked | None]:
        """What to answer at once, or None: it waits until it is woken, or ended by `end`. And an older watch
        of this subscriber, which is to be answered with nothing new. Raises Refused.
        """
        self._check(call.fleet)
        subscription = self.of.get(call.subscriber)
        if subscription is None:
            raise Refused(GONE, f"subscriber = {call.subscriber!r}: not known here, tell the whole set")
        subscription.seen = now
        if subscription.count is Count.ANEW:
            raise Refused(GONE, f"index = {call.index}: discovery counts anew since, tell the whole set")
        subscription.count = Count.SAME
        told = self._news(subscription, call.index)
        older = subscription.watch
        if older is not None:
            self._unpark(older)
        if told is None:
            subscription.watch = Parked(subscription, call.index, token)
            self.watches += 1
        return told, older

    def end(self, parked: Parked, now: float) -> Told:
        """What to answer to a watch that is `open` and is woken, or whose time is up. Raises Refused."""
        subscription = parked.subscription
        subscription.seen = now
        self._unpark(parked)
        return self._news(subscription, parked.index) or self.nothing(subscription)

    def left(self, parked: Parked, now: float) -> None:
        """Nobody is there any more to hear the answer."""
        parked.subscription.seen = now
        self._unpark(parked)

    def nothing(self, subscription: Subscription) -> Told:
        return self._told(subscription, (), ())

    def _check(self, fleet: str) -> None:
        if fleet != self.fleet:
            raise Refused(FORBIDDEN, f"fleet = {fleet!r}: this is the registry of {self.fleet!r}")

    def _told(self, subscription: Subscription, cells: tuple[int, ...], rows: Sequence[bytes]) -> Told:
        return Told(subscription.seq, len(subscription.cells), subscription.sum & 0xFFFFFFFF, cells, rows)

    def _news(self, subscription: Subscription, index: int) -> Told | None:
        """None: nothing is newer. Raises Refused where too much would have to be told whole at once."""
        catalog = self.catalog
        if index >= subscription.newest or index >= catalog.revision:
            return None
        whole: list[int] = []
        gone: list[bytes] = []
        listed: list[bytes] = []
        for cell in subscription.cells:
            if catalog.changed(cell) <= index:
                continue
            since = catalog.since(cell, index)
            if since is None:
                whole.append(cell)
                listed += catalog.whole(cell)
            else:
                gone += since.gone
                listed += since.listed
        if len(whole) > MOST_CELLS:
            raise Refused(GONE, f"index = {index}: {len(whole)} cells changed since, tell the whole set")
        if not (whole or gone or listed):
            return None
        return self._told(subscription, tuple(whole), gone + listed)

    # Sets

    def _add(self, subscription: Subscription, cell: int) -> None:
        subscription.newest = max(subscription.newest, self.catalog.changed(cell))
        at = bisect_left(subscription.cells, cell)
        if at < len(subscription.cells) and subscription.cells[at] == cell:
            return
        subscription.cells.insert(at, cell)
        subscription.sum += cell
        self.cells += 1
        part = self._by_cell.of(cell)
        there = part.get(cell)
        if there is None:
            part[cell] = subscription
        elif isinstance(there, set):
            there.add(subscription)
        elif isinstance(there, tuple):
            part[cell] = (*there, subscription) if len(there) < FEW else {*there, subscription}
        else:
            part[cell] = (there, subscription)

    def _drop(self, subscription: Subscription, cell: int) -> None:
        at = bisect_left(subscription.cells, cell)
        if at == len(subscription.cells) or subscription.cells[at] != cell:
            return
        subscription.cells.pop(at)
        subscription.sum -= cell
        self._forget(subscription, cell)

    def _forget(self, subscription: Subscription, cell: int) -> None:
        self.cells -= 1
        part = self._by_cell.of(cell)
        there = part[cell]
        if isinstance(there, Subscription):
            del part[cell]
        elif isinstance(there, set) and len(there) > FEW:
            there.remove(subscription)
        else:
            others = tuple(other for other in there if other is not subscription)
            part[cell] = others if len(others) > 1 else others[0]

    def _empty(self, subscription: Subscription) -> None:
        for cell in subscription.cells:
            self._forget(subscription, cell)
        subscription.cells, subscription.sum, subscription.newest = array("q"), 0, 0

    # The list changes

    def touch(self, cell: int, revision: int) -> None:
        """Something in this cell changed; `wake` once the list is in force."""
        there = self._by_cell.get(cell)
        if there is None:
            return
        for subscription in (there,) if isinstance(there, Subscription) else there:
            subscription.newest = max(subscription.newest, revision)
            self._touched[subscription] = None

    def wake(self, everyone: bool = False) -> list[Parked]:
        """Watches that the changes since the last call concern, each to be ended by `end`. `everyone`: the
        list counts anew, and what was told of older revisions tells nothing any more.
        """
        touched, self._touched = self._touched, {}
        if everyone:
            touched = dict.fromkeys(self.of.values())
            for subscription in touched:
                subscription.newest, subscription.count = self.catalog.revision, Count.ANEW
        woken = [s.watch for s in touched if s.watch is not None and (everyone or s.watch.index < s.newest)]
        self.woken += len(woken)
        return woken

    def _unpark(self, parked: Parked) -> None:
        if parked.open:
            parked.subscription.watch = None
            self.watches -= 1

    # Time

    def expire(self, now: float) -> int:
        """Drops those that have not called for a while; how many."""
        old = [s for s in self.of.values() if s.watch is None and now - s.seen > self.forget]
        for subscription in old:
            self._empty(subscription)
            del self.of[subscription.name]
        return len(old)
