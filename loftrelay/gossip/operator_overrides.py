"""What operators have said of hosts at any relay's door, and which of two calls holds. No input or output.

Each call bears a stamp: Unix time in milliseconds, or one more than the highest that its relay has heard for
that host, whichever is later. So a call always goes before those that its operator could see, whatever the
clock of its relay; of two that did not know of each other, on the two sides of a split, the later by the
clock holds, and at the same stamp the one of the relay whose name sorts last. All relays that have heard the
same calls hold the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from loftrelay.gossip.broadcast_queue import Spread

MOST = 2_048  # hosts of which something is known
MOST_STAMP = 1 << 53  # a later one is no time
NEWS, SPARE = 5, 2  # that go with one datagram


@dataclass(frozen=True, slots=True)
class Call:
    """An operator's word: `host` takes no calls, or takes them again."""

    host: str
    out: bool
    stamp: int
    origin: str  # the relay at whose door it was said

    @property
    def rank(self) -> tuple[int, str, bool]:
        """The higher one holds."""
        return self.stamp, self.origin, self.out


class Calls:
    """All calls that hold, as far as this relay has heard."""

    def __init__(self, name: str, seed: int) -> None:
        self.name = name
        self.known: dict[str, Call] = {}
        self.spread = Spread(seed)

    def load(self, calls: Iterable[Call], out: Iterable[str]) -> None:
        """What stood on disk. `out`: the hosts that are out; one of which no call is known was taken out
        before there was a fleet, or its call was not written: any call goes before it.
        """
        for call in calls:
            self._hold(call)
        for host in out:
            if host not in self.known:
                self._hold(Call(host, True, 0, self.name))

    def called(self, host: str, out: bool, wall_ms: int) -> Call | None:
        """An operator says so here. None: that holds already."""
        before = self.known.get(host)
        if before is not None and before.out == out:
            return None
        call = Call(host, out, max(wall_ms, before.stamp + 1 if before is not None else 0), self.name)
        self._hold(call)
        return call

    def heard(self, calls: Iterable[Call]) -> list[Call]:
        """What others tell: the calls of it that are new, and hold from now on."""
        new = []
        for call in calls:
            before = self.known.get(call.host)
            if not 0 <= call.stamp <= MOST_STAMP or (before is not None and before.rank >= call.rank):
                continue
            self._hold(call)
            new.append(call)
        return new

    def pick(self, fleet: int) -> list[Call]:
        """What goes with the next datagram in a fleet of so many others."""
        keys = self.spread.pick(fleet, NEWS, SPARE, self.known)
        return [self.known[key] for key in keys]

    def newcomer(self) -> None:
        self.spread.again(self.known)

    def _hold(self, call: Call) -> None:
        self.known[call.host] = call
        self.spread.put(call.host)
        if len(self.known) > MOST:
            # What takes calls again is what everybody holds who knows nothing.
            least = min(self.known.values(), key=lambda call: (call.out, call.stamp))
            del self.known[least.host]
            self.spread.forget(least.host)
