"""One relay's socket to the others: carries what membership and calls decide. The thin part."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, cast

from loftrelay.gossip.codec import VersionError, WireError, decode, encode
from loftrelay.gossip.operator_overrides import Call, Calls
from loftrelay.gossip.settings import MOST_NAME, FleetSettings
from loftrelay.gossip.swim import Action, Changed, Contested, Membership, Peer, State, Tell
from loftrelay.net.address import Address

log = logging.getLogger(__name__)

AT_ONCE = 4  # others that hear of a call before its turn comes


class Node(asyncio.DatagramProtocol):
    """`heard`: what is done with operators' calls from elsewhere that hold from now on."""

    def __init__(
        self, told: FleetSettings, name: str, calls: Calls, heard: Callable[[list[Call]], None]
    ) -> None:
        self.told, self.name, self.calls, self.heard = told, name, calls, heard
        self.counts: Counter[str] = Counter()
        self.view: Membership | None = None  # none before the socket is open
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0  # that timer, microseconds of the loop's clock
        self.handling = False

    async def open(self, start_ms: int) -> Address:
        """`start_ms`: Unix time. Gives the address in use. Raises OSError."""
        if len(self.name.encode()) > MOST_NAME:
            raise OSError(f"in a fleet a relay's name has {MOST_NAME} bytes at most: {self.name!r}")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.told.listen)
        self.transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        seed = secrets.randbits(63)
        place = self.told.advertise or (host, port)
        self.view = Membership(
            self.name, place, secrets.randbits(63), start_ms, self.told.seeds, self.told.timing, seed
        )
        # Relays that start together do not probe together.
        self.view.due = self._now() + secrets.randbelow(self.told.timing.beat)
        self._do(self.view.tell_all(self.view.seeds))
        return host, port

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.abort()

    @property
    def members(self) -> list[Peer]:
        """Others that are not held to be gone."""
        return [] if self.view is None else self.view.alive()

    def tell_now(self) -> None:
        """There is news that should not wait for the next beat."""
        if self.view is not None and not self.view.contested:
            others = self.view.alive()
            chosen = self.view.random.sample(others, min(AT_ONCE, len(others)))
            self._do(self.view.tell_all(peer.address for peer in chosen))

    # The socket

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.counts["received"] += 1
        try:
            fleet, datagram, calls = decode(data)
        except VersionError:
            self.counts["of_another_version"] += 1
            return
        except WireError:
            self.counts["unreadable"] += 1
            return
        if fleet != self.told.name or self.view is None:
            self.counts["of_another_fleet"] += 1
            return
        self._look()
        # Calls first: an answer to this datagram tells on what it brought.
        new = self.calls.heard(calls)
        self._do(self.view.handle(self._now(), datagram, (addr[0], addr[1])))
        if new:
            self.heard(new)

    def error_received(self, exc: Exception) -> None:
        self.counts["errors"] += 1  # nobody listens there, as loopback tells

    # Time

    def _now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def _look(self) -> None:
        """Before anything is made of a datagram: where the timer is long overdue, this process stood still,
        and what others did not answer meanwhile says nothing of them.
        """
        now = self._now()
        if self.view is not None and self.due and now - self.due >= self.told.timing.suspect // 2:
            self.counts["stalls"] += 1
            self.due = 0
            self._do(self.view.woke(now))

    def _tick(self) -> None:
        assert self.view is not None
        self._look()
        self._do(self.view.tick(self._now()))

    def _do(self, actions: Iterable[Action]) -> None:
        assert self.view is not None
        for action in list(actions):
            match action:
                case Tell(address, datagram):
                    self._send(
                        address, encode(self.told.name, datagram, self.calls.pick(len(self.view.known)))
                    )
                case Changed(peer):
                    log.info("relay %s at %s:%d is %s", peer.name, *peer.address, peer.state.name.lower())
                    if peer.state is State.ALIVE:
                        self.calls.newcomer()
                case Contested(by):
                    log.error(
                        "the relay at %s:%d goes by the name %s, too: this one stays out", *by, self.name
                    )
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            self.timer.cancel()
        self.due = max(self.view.next, self._now())
        self.timer = loop.call_at(self.due / 1e6, self._tick)

    def _send(self, address: Address, data: bytes) -> None:
        transport = cast(Any, self.transport)  # its buffer's size is in no declared interface
        if transport.is_closing():
            return
        if transport.get_write_buffer_size():
            self.counts["not_sent"] += 1  # the socket's buffer is full: such news would be old
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        transport.sendto(data, address)
