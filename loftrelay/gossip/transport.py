"""UDP transport of one relay: executes the actions of its membership and exchanges operators' overrides."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, cast

from loftrelay.gossip.actions import Action, NameConflict, Send, StateChanged
from loftrelay.gossip.codec import DatagramError, DatagramVersionError, decode, encode
from loftrelay.gossip.messages import Datagram, MemberState, Peer
from loftrelay.gossip.operator_overrides import OperatorOverride, Overrides
from loftrelay.gossip.settings import MAX_NAME_BYTES, GossipSettings
from loftrelay.gossip.swim import Membership
from loftrelay.net.address import Address

log = logging.getLogger(__name__)

IMMEDIATE_RECIPIENTS = 4  # members that an override is sent to before the next probe


class GossipTransport(asyncio.DatagramProtocol):
    """Socket, timer and counters of one relay's membership.

    Args:
        settings: Settings of the fleet.
        name: Name of this relay, at most MAX_NAME_BYTES bytes of UTF-8.
        overrides: Overrides of this relay, into which those of other relays are merged.
        on_overrides: Called with overrides of other relays that were put in force.

    Attributes:
        membership: None until the socket is open.
        counters: Numbers of datagrams by outcome, under the names that the metrics use.
    """

    def __init__(
        self,
        settings: GossipSettings,
        name: str,
        overrides: Overrides,
        on_overrides: Callable[[list[OperatorOverride]], None],
    ) -> None:
        self.settings = settings
        self.name = name
        self.overrides = overrides
        self.on_overrides = on_overrides
        self.counters: Counter[str] = Counter()
        self.membership: Membership | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_us = 0  # 0: a pause has been handled, or no timer was set

    async def open(self, start_ms: int) -> Address:
        """Opens the socket and announces this relay to the seeds.

        Args:
            start_ms: Current Unix time in milliseconds.

        Returns:
            The local address.

        Raises:
            OSError: The socket can't be opened, or the relay's name is too long.
        """
        if len(self.name.encode()) > MAX_NAME_BYTES:
            size = len(self.name.encode())
            raise OSError(f"relay name {self.name!r} has {size} bytes; at most {MAX_NAME_BYTES} in a fleet")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.settings.listen)
        self._transport = transport
        host, port = transport.get_extra_info("sockname")[:2]
        random_seed = secrets.randbits(63)
        self.membership = Membership(
            self.name,
            self.settings.advertise or (host, port),
            secrets.randbits(63),
            start_ms,
            self.settings.seeds,
            self.settings.swim,
            random_seed,
        )
        # A random offset, so that relays that start at the same time don't probe at the same time.
        first_probe_us = secrets.randbelow(self.settings.swim.probe_interval_us)
        self.membership.next_probe_us = self._now_us() + first_probe_us
        self._execute(self.membership.announce_to(self.membership.seeds))
        return host, port

    def close(self) -> None:
        """Closes the socket without notice; other relays will declare this one dead."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    @property
    def live_peers(self) -> list[Peer]:
        """Other members that aren't declared dead."""
        return [] if self.membership is None else self.membership.live_peers()

    def broadcast_now(self) -> None:
        """Sends new overrides to some members at once, before the next probe."""
        if self.membership is not None and not self.membership.local.has_name_conflict:
            peers = self.membership.live_peers()
            chosen = self.membership.random.sample(peers, min(IMMEDIATE_RECIPIENTS, len(peers)))
            self._execute(self.membership.announce_to(peer.address for peer in chosen))

    # Socket

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handles a datagram; an invalid one, or one of another fleet, is counted and dropped."""
        self.counters["received"] += 1
        try:
            fleet, datagram, overrides = decode(data)
        except DatagramVersionError:
            self.counters["of_another_version"] += 1
            return
        except DatagramError:
            self.counters["unreadable"] += 1
            return
        if fleet != self.settings.name or self.membership is None:
            self.counters["of_another_fleet"] += 1
            return
        self._check_for_pause()
        # Overrides first, so that the response to this datagram already carries them.
        applied = self.overrides.merge(overrides)
        self._execute(self.membership.handle(self._now_us(), datagram, (addr[0], addr[1])))
        if applied:
            self.on_overrides(applied)

    def error_received(self, _exc: Exception) -> None:
        """Counts a socket error, such as a closed port on loopback."""
        self.counters["errors"] += 1

    def _send(self, address: Address, datagram: Datagram) -> None:
        assert self.membership is not None
        overrides = self.overrides.next_broadcasts(len(self.membership.members))
        data = encode(self.settings.name, datagram, overrides)
        transport = cast(Any, self._transport)  # DatagramTransport declares no get_write_buffer_size
        if transport.is_closing():
            return
        if transport.get_write_buffer_size():
            self.counters["not_sent"] += 1  # it would be outdated by the time the socket's buffer has space
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        transport.sendto(data, address)

    # Time

    def _now_us(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def _tick(self) -> None:
        assert self.membership is not None
        self._check_for_pause()
        self._execute(self.membership.tick(self._now_us()))

    def _check_for_pause(self) -> None:
        """Detects by an overdue timer that this process was paused, before a datagram is handled."""
        if self.membership is None or not self._timer_due_us:
            return
        now_us = self._now_us()
        if now_us - self._timer_due_us >= self.settings.swim.suspicion_timeout_us // 2:
            self.counters["stalls"] += 1
            self._timer_due_us = 0
            self._execute(self.membership.resume(now_us))

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in list(actions):
            match action:
                case Send(address, datagram):
                    self._send(address, datagram)
                case StateChanged(peer):
                    log.info(
                        "gossip: relay %s at %s:%d is %s", peer.name, *peer.address, peer.state.name.lower()
                    )
                    if peer.state is MemberState.ALIVE:
                        self.overrides.rebroadcast_all()
                case NameConflict(address):
                    log.error(
                        "gossip: relay at %s:%d also uses the name %s; this relay leaves the fleet",
                        *address,
                        self.name,
                    )
        self._set_timer()

    def _set_timer(self) -> None:
        assert self.membership is not None
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_us = max(self.membership.next_tick_us, self._now_us())
        self._timer = asyncio.get_running_loop().call_at(self._timer_due_us / 1e6, self._tick)
