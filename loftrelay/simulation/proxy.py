"""UDP proxy that injects faults between real relays: loss, delay, duplication, reordering and cut links.

Faults are set for each direction. Each relay listens on its own address and advertises an address of the
proxy. The proxy identifies the sender of a datagram by its source address, and forwards the datagram from the
address that the sender advertises, so that responses return through the proxy.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from loftrelay.net.address import Address

Path = tuple[str, str]  # names of the sender and of the recipient


@dataclass(slots=True)
class PathFaults:
    """Faults of one direction between two relays.

    Attributes:
        is_cut: Whether all datagrams are dropped.
        loss: Probability that a datagram is lost.
        duplication: Probability that it arrives twice.
        delay_s: Range of the uniformly distributed delay of each datagram, which reorders datagrams.
    """

    is_cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)


class _AdvertisedSocket(asyncio.DatagramProtocol):
    """Receives datagrams sent to the advertised address of one relay."""

    def __init__(self, proxy: FaultProxy, recipient: str) -> None:
        self.proxy = proxy
        self.recipient = recipient

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.proxy.forward(self.recipient, data, (addr[0], addr[1]))


@dataclass(slots=True)
class _ProxiedRelay:
    """A relay's own address, and the socket of the address that it advertises."""

    address: Address
    transport: asyncio.DatagramTransport


@dataclass(slots=True)
class FaultProxy:
    """The proxy of one fleet.

    Attributes:
        seed: Seed of the pseudo-random generator.
        faults: Faults by path.
        default_faults: Faults of all other paths.
        forwarded: Number of forwarded datagrams by path.
        dropped: Number of dropped datagrams by path.
    """

    seed: int
    faults: dict[Path, PathFaults] = field(default_factory=dict)
    default_faults: PathFaults = field(default_factory=PathFaults)
    forwarded: Counter[Path] = field(default_factory=Counter)
    dropped: Counter[Path] = field(default_factory=Counter)
    _random: random.Random = field(init=False)
    _relays: dict[str, _ProxiedRelay] = field(default_factory=dict)
    _name_by_address: dict[Address, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def add(self, name: str, address: Address) -> Address:
        """Adds a relay that listens on `address`.

        Returns:
            The address that the relay is to advertise.

        Raises:
            OSError: The proxy's socket can't be opened.
        """
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _AdvertisedSocket(self, name), local_addr=("127.0.0.1", 0)
        )
        self._relays[name] = _ProxiedRelay(address, transport)
        self._name_by_address[address] = name
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def cut(self, sender: str, recipient: str, both_directions: bool = True) -> None:
        """Drops all datagrams from one relay to another, by default in both directions."""
        self.faults[sender, recipient] = PathFaults(is_cut=True)
        if both_directions:
            self.faults[recipient, sender] = PathFaults(is_cut=True)

    def heal(self) -> None:
        """Removes the faults of individual paths; `default_faults` stay."""
        self.faults.clear()

    def close(self) -> None:
        """Closes all sockets."""
        for relay in self._relays.values():
            relay.transport.abort()

    def forward(self, recipient: str, data: bytes, source: Address) -> None:
        """Forwards a datagram, subject to the faults of its path; ignores one from an unknown source."""
        sender = self._name_by_address.get(source)
        if sender is None:
            return
        path = sender, recipient
        faults = self.faults.get(path, self.default_faults)
        if faults.is_cut or self._random.random() < faults.loss:
            self.dropped[path] += 1
            return
        for _ in range(1 + (self._random.random() < faults.duplication)):
            delay_s = self._random.uniform(*faults.delay_s)
            asyncio.get_running_loop().call_later(delay_s, self._deliver, path, data)

    def _deliver(self, path: Path, data: bytes) -> None:
        sender, recipient = path
        transport = self._relays[sender].transport
        if not transport.is_closing():
            self.forwarded[path] += 1
            transport.sendto(data, self._relays[recipient].address)
