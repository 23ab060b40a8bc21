"""Who is there, alive, suspected or gone: SWIM with suspicion, and Lifeguard's doubt of oneself.

References: Das, Gupta, Motivala, "SWIM" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard" (2017). What was
taken, and what not: docs/fleet-links.md. It does no input or output: `handle` takes what was heard, with
the time, and gives what is to be sent; `tick` is to be called at `next` or later. Times are integer
microseconds of a clock that never steps, each relay's own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import IntEnum

from loftrelay.net.address import Address

HELPERS = 3  # others that are asked to probe who did not answer
NEWS_AT_ONCE, SPARE = 20, 4  # entries that travel with a datagram: news, and by chance; 1,200 bytes hold them
RETELL = 3  # times log2 of the fleet that one piece of news is told by each relay
MOST_DOUBT = 8  # of oneself: the times by which probes are slower, at the most
HEARING = 4  # probe periods in which somebody must have answered before others are accused
CALL_GONE = 4  # probe periods between two calls to one that is gone, or to a seed: so a split heals
FORGET = 64  # probe periods after which one that is gone is forgotten
CONTESTS = 8  # refutations in a row, each within a suspicion's time, that tell of another by the same name


class State(IntEnum):
    """In the order in which one overrules the other, at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(frozen=True, slots=True)
class Peer:
    """What is said of a relay. `life` is drawn anew at each start; `incarnation` grows over all lives, and
    only the relay itself raises it.
    """

    name: str
    address: Address
    life: int
    incarnation: int
    state: State = State.ALIVE

    @property
    def rank(self) -> tuple[int, int, int]:
        """The higher one holds."""
        return self.incarnation, self.life, self.state


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks `name` for an answer with the same number; an empty name asks whoever is there."""

    number: int
    name: str
    sender: Peer
    news: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class Answer:
    number: int
    sender: Peer
    news: tuple[Peer, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeFor:
    """Asks for a probe of somebody else, whose answer is to be passed on under the same number."""

    number: int
    target: Peer
    sender: Peer
    news: tuple[Peer, ...] = ()


Datagram = Probe | Answer | ProbeFor


@dataclass(frozen=True, slots=True)
class Tell:
    address: Address
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Changed:
    """What is held of a relay from now on."""

    peer: Peer


@dataclass(frozen=True, slots=True)
class Contested:
    """Another relay goes by this one's name: it keeps out of the fleet from now on."""

    by: Address


Action = Tell | Changed | Contested


@dataclass(frozen=True, slots=True)
class Timing:
    """Microseconds. `beat`: between two probes; `suspect`: before a suspicion that nobody confirms counts."""

    beat: int
    suspect: int


@dataclass(slots=True)
class Known:
    peer: Peer
    since: int  # that state
    accusers: frozenset[str] = frozenset()
    until: int = 0  # a suspicion counts


@dataclass(slots=True)
class Open:
    """The probe that is out."""

    peer: Peer
    ends: int
    helped: bool = False


class Membership:
    """One relay's view. `start`: its first incarnation, Unix time in milliseconds, so that a later life is
    above an earlier one; where the wall clock went back, it hears of its earlier life and rises above it.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        life: int,
        start: int,
        seeds: Sequence[Address],
        timing: Timing,
        seed: int,
    ) -> None:
        self.me = Peer(name, address, life, start)
        self.seeds = [place for place in seeds if place != address]
        self.timing = timing
        self.random = random.Random(seed)
        self.known: dict[str, Known] = {}
        self.unwell: dict[str, None] = {}  # of these, all that are not held to be alive
        self.news: dict[str, tuple[int, Peer]] = {}  # name -> times told, what
        self.line: list[str] = []  # whom to probe next
        self.number = 0
        self.open: dict[int, Open] = {}
        self.bridges: dict[str, str] = {}  # name -> whose help reached it last
        self.passing: dict[int, tuple[int, Address, int]] = {}  # own number -> asker's, where to, until
        self.doubt = 0  # of oneself
        self.heard_at: int | None = None  # an answer to an own probe
        self.due = 0
        self.periods = 0
        self.contests = 0
        self.contested_at = -(1 << 62)
        self.contested = False
        self.out: list[Action] = []

    # What others ask

    def alive(self) -> list[Peer]:
        """Others that are not held to be gone."""
        return [known.peer for known in self.known.values() if known.peer.state is not State.GONE]

    def alone(self, now: int) -> bool:
        """Whether nobody has answered for so long that others can't be judged: this relay may be cut off."""
        return self.heard_at is None or now - self.heard_at > HEARING * self.period

    @property
    def period(self) -> int:
        """Between two probes: longer, the more this relay has reason to doubt itself."""
        return self.timing.beat * (1 + self.doubt)

    # Time

    def woke(self, now: int) -> list[Action]:
        """This process stood still: what it has not heard meanwhile says nothing of others."""
        self.out = []
        self.open.clear()
        self.passing.clear()
        self._doubt(+1)
        for known in [self.known[name] for name in self.unwell]:
            if known.peer.state is State.SUSPECT:
                known.until = max(known.until, now + self.timing.suspect)
        self.due = now
        return self.out

    def tick(self, now: int) -> list[Action]:
        self.out = []
        if self.contested:
            self.due = now + self.period
            return self.out
        for number, probe in list(self.open.items()):
            if now >= probe.ends:
                del self.open[number]
                self._unanswered(probe, now)
            elif not probe.helped and now >= probe.ends - self.period // 2:
                probe.helped = True
                self._ask_helpers(number, probe.peer)
        for name in list(self.unwell):
            known = self.known[name]
            if known.peer.state is State.SUSPECT and now >= known.until:
                if self.alone(now):
                    known.until = now + self.timing.suspect
                else:
                    self._hold(replace(known.peer, state=State.GONE), now)
            elif known.peer.state is State.GONE and now - known.since > FORGET * self.timing.beat:
                del self.known[name], self.unwell[name]
        self.passing = {n: entry for n, entry in self.passing.items() if entry[2] > now}
        if now >= self.due:
            self.due = now + self.period
            self.periods += 1
            self._probe_next(now)
            if self.periods % CALL_GONE == 0:
                self._call_afar()
        return self.out

    @property
    def next(self) -> int:
        """When `tick` is to be called, at the latest."""
        unwell = [self.known[name] for name in self.unwell]
        times = [self.due, *(k.until for k in unwell if k.peer.state is State.SUSPECT)]
        for probe in self.open.values():
            times.append(probe.ends if probe.helped else probe.ends - self.period // 2)
        return min(times)

    def _probe_next(self, now: int) -> None:
        """Each in turn, in an order drawn anew each round: nobody waits longer than two rounds."""
        while True:
            if not self.line:
                self.line = [n for n, k in self.known.items() if k.peer.state is not State.GONE]
                self.random.shuffle(self.line)
                if not self.line:
                    return
            known = self.known.get(self.line.pop())
            if known is not None and known.peer.state is not State.GONE:
                break
        self.number += 1
        self.open[self.number] = Open(known.peer, now + self.period)
        self._tell(
            known.peer.address, Probe(self.number, known.peer.name, self.me, self._pick(known.peer.name))
        )

    def _call_afar(self) -> None:
        """One that is gone, or a seed: two halves find each other again, and who came before its seeds."""
        unwell = [self.known[name] for name in self.unwell]
        places = [k.peer.address for k in unwell if k.peer.state is State.GONE]
        here = {k.peer.address for k in self.known.values() if k.peer.state is not State.GONE}
        places += [place for place in self.seeds if place not in here]
        if places:
            self.number += 1
            self._tell(self.random.choice(places), Probe(self.number, "", self.me, self._pick("")))

    def _ask_helpers(self, number: int, target: Peer) -> None:
        """Drawn by chance, but for the one whose help came through last: it may be the only bridge."""
        others = [p for p in self.alive() if p.name != target.name and p.state is State.ALIVE]
        helpers = self.random.sample(others, min(HELPERS, len(others)))
        if (last := self.bridges.get(target.name)) is not None and last not in (p.name for p in helpers):
            helpers += [p for p in others if p.name == last]
        for helper in helpers:
            self._tell(helper.address, ProbeFor(number, target, self.me, self._pick(helper.name)))

    def _unanswered(self, probe: Open, now: int) -> None:
        self._doubt(+1)
        known = self.known.get(probe.peer.name)
        if known is None or known.peer.rank[:2] != probe.peer.rank[:2] or known.peer.state is State.GONE:
            return
        if known.peer.state is State.SUSPECT:
            self._tell_accused(known.peer)
            return
        # One whose own link is bad would accuse all: it accuses nobody while nobody answers it.
        if not self.alone(now):
            self._accuse(replace(known.peer, state=State.SUSPECT), self.me.name, now)
            self._tell_accused(probe.peer)

    # What is heard

    def handle(self, now: int, datagram: Datagram, source: Address) -> list[Action]:
        self.out = []
        if self.contested:
            return self.out
        sender = datagram.sender
        if sender.name == self.me.name:
            self._contest(sender, now)
            return self.out
        self._learn(sender, sender.name, now)
        for peer in datagram.news:
            self._learn(peer, sender.name, now)
        match datagram:
            case Probe(number, name):
                # For another of this name: one that was here before, or takes a false address.
                if name in ("", self.me.name):
                    self._tell(source, Answer(number, self.me, self._pick(sender.name)))
            case ProbeFor(number, target):
                self.number += 1
                self.passing[self.number] = number, source, now + 2 * self.timing.beat
                self._tell(target.address, Probe(self.number, target.name, self.me, self._pick(target.name)))
            case Answer(number):
                if number in self.passing:
                    theirs, where, _ = self.passing.pop(number)
                    self._tell(where, Answer(theirs, sender, self._pick("")))
                elif (probe := self.open.get(number)) is not None:
                    self.heard_at = now
                    helper = next((n for n, k in self.known.items() if k.peer.address == source), "")
                    if helper != sender.name:
                        self.bridges[sender.name] = helper
                    if probe.peer.name == sender.name:
                        del self.open[number]
                        self._doubt(-1)
        return self.out

    def _learn(self, peer: Peer, by: str, now: int) -> None:
        if peer.name == self.me.name:
            self._refute(peer, now)
            return
        known = self.known.get(peer.name)
        if peer.state is State.SUSPECT and known is not None and known.peer.rank[:2] == peer.rank[:2]:
            if known.peer.state is not State.GONE:
                self._accuse(peer, by, now)
        elif known is None or peer.rank > known.peer.rank:
            if known is None and peer.state is State.GONE:
                return  # never known: nothing to forget
            if peer.state is State.SUSPECT:
                self._accuse(peer, by, now)
            else:
                self._hold(peer, now)

    def _accuse(self, peer: Peer, by: str, now: int) -> None:
        """Who is suspected by several is soon held to be gone; by one, only after the whole time."""
        known = self.known.get(peer.name)
        if known is None or known.peer.rank < peer.rank:
            self._hold(peer, now)
            known = self.known[peer.name]
            known.accusers, known.until = frozenset({by}), now + self._patience(1)
        elif by not in known.accusers and len(known.accusers) <= HELPERS:
            known.accusers |= {by}
            known.until = min(known.until, max(now, known.since + self._patience(len(known.accusers))))
            self.news[peer.name] = 0, known.peer  # told on, as another's word

    def _tell_accused(self, peer: Peer) -> None:
        """It refutes what it hears; until it does, it is told anew, by others as well."""
        self.number += 1
        self.open[self.number] = Open(peer, self.due + self.period)
        self._tell(peer.address, Probe(self.number, peer.name, self.me, self._pick(peer.name)))

    def _patience(self, accusers: int) -> int:
        """From three times the told time down to it, by the logarithm of how many accuse (Lifeguard)."""
        part = math.log(accusers) / math.log(HELPERS + 1)
        return int(self.timing.suspect * (3 - 2 * min(1.0, part))) * (1 + self.doubt // 2)

    def _hold(self, peer: Peer, now: int) -> None:
        before = self.known.get(peer.name)
        self.known[peer.name] = Known(peer, now)
        if peer.state is State.ALIVE:
            self.unwell.pop(peer.name, None)
        else:
            self.unwell[peer.name] = None
        self.news[peer.name] = 0, peer
        if before is None or before.peer.state is not peer.state or before.peer.life != peer.life:
            self.out.append(Changed(peer))

    def _refute(self, said: Peer, now: int) -> None:
        """What is said of this relay that is not so: of an earlier life, or by who could not hear it."""
        if said.rank <= self.me.rank:
            return
        if said.life != self.me.life and said.state is State.ALIVE:
            self._contest(said, now)
            if self.contested:
                return
        self.me = replace(self.me, incarnation=said.incarnation + 1)
        self.news[self.me.name] = 0, self.me
        if said.state is not State.ALIVE:
            self._doubt(+1)

    def _contest(self, other: Peer, now: int) -> None:
        """An earlier life of this relay is heard of a few times, and no more once it has been refuted.
        Another that lives by the same name goes on: then the one with the higher life stays out.
        """
        if other.life == self.me.life:
            return  # an own datagram, come back
        if now - self.contested_at > 3 * self.timing.suspect:
            self.contests = 0
        self.contests, self.contested_at = self.contests + 1, now
        if other.rank >= self.me.rank:
            self.me = replace(self.me, incarnation=other.incarnation + 1)
            self.news[self.me.name] = 0, self.me
        if self.contests > CONTESTS and other.address != self.me.address and self.me.life > other.life:
            self.contested = True
            self.out.append(Contested(other.address))

    def _doubt(self, by: int) -> None:
        self.doubt = max(0, min(MOST_DOUBT - 1, self.doubt + by))

    # What is told

    def _tell(self, address: Address, datagram: Datagram) -> None:
        self.out.append(Tell(address, datagram))

    def _pick(self, to: str) -> tuple[Peer, ...]:
        """What was told least, so often that all have heard it; the accused first hears of it himself."""
        most = RETELL * math.ceil(math.log2(len(self.known) + 2))
        order = sorted(self.news, key=lambda name: (name != to, self.news[name][0]))[:NEWS_AT_ONCE]
        told: list[Peer] = []
        for name in order:
            times, peer = self.news[name]
            told.append(peer)
            if times + 1 >= most:
                del self.news[name]
            else:
                self.news[name] = times + 1, peer
        # Room that is left tells of whom chance names: what was lost on the way is made good so.
        room = min(SPARE, NEWS_AT_ONCE - len(told))
        if room > 0:
            names = list(self.known)
            chosen = self.random.sample(names, min(len(names), room + len(order)))
            told += [self.known[name].peer for name in chosen if name not in order][:room]
        return tuple(told)

    def tell_all(self, addresses: Iterable[Address]) -> list[Action]:
        """A first call, before anybody is known."""
        self.out = []
        for address in addresses:
            self.number += 1
            self._tell(address, Probe(self.number, "", self.me, self._pick("")))
        return self.out
