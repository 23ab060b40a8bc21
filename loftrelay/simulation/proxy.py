"""Links between real relays that lose, delay, double, reorder and cut datagrams, each way by itself.

Each relay listens on a port of its own and is told to advertise one of the proxy's. Who sent what comes to
that port is known by its source, and it goes on from the sender's advertised port, so that answers come back
the same way.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from loftrelay.net.address import Address


@dataclass(slots=True)
class PathFaults:
    """Of one way of a link. Chances from 0 to 1; delays in seconds, drawn evenly, so that later datagrams may
    come first.
    """

    is_cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)


class _End(asyncio.DatagramProtocol):
    def __init__(self, proxy: FaultProxy, to: str) -> None:
        self.proxy, self.to = proxy, to
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.proxy.received(self.to, data, (addr[0], addr[1]))


@dataclass(slots=True)
class FaultProxy:
    """`faults`: (from, to) -> what befalls datagrams; `all`: those of every other way."""

    seed: int
    faults: dict[tuple[str, str], PathFaults] = field(default_factory=dict)
    default_faults: PathFaults = field(default_factory=PathFaults)
    forwarded: Counter[tuple[str, str]] = field(default_factory=Counter)
    dropped: Counter[tuple[str, str]] = field(default_factory=Counter)
    _random: random.Random = field(init=False)
    _ends: dict[str, _End] = field(default_factory=dict)
    _places: dict[str, Address] = field(default_factory=dict)
    _names: dict[Address, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    async def add(self, name: str, real: Address) -> Address:
        """A relay that listens on `real`: what it is to advertise. Raises OSError."""
        loop = asyncio.get_running_loop()
        transport, end = await loop.create_datagram_endpoint(
            lambda: _End(self, name), local_addr=("127.0.0.1", 0)
        )
        end.transport = transport
        self._ends[name], self._places[name], self._names[real] = end, real, name
        host, port = transport.get_extra_info("sockname")[:2]
        return host, port

    def cut(self, here: str, there: str, both: bool = True) -> None:
        for way in [(here, there), (there, here)][: 2 if both else 1]:
            self.faults[way] = PathFaults(is_cut=True)

    def heal(self) -> None:
        self.faults.clear()

    def close(self) -> None:
        for end in self._ends.values():
            if end.transport is not None:
                end.transport.abort()

    def received(self, to: str, data: bytes, source: Address) -> None:
        if (name := self._names.get(source)) is None:
            return  # no relay of these
        way = name, to
        faults, draw = self.faults.get(way, self.default_faults), self._random
        if faults.is_cut or draw.random() < faults.loss:
            self.dropped[way] += 1
            return
        for _ in range(1 + (draw.random() < faults.duplication)):
            delay = draw.uniform(*faults.delay_s)
            asyncio.get_running_loop().call_later(delay, self._carry, way, data)

    def _carry(self, way: tuple[str, str], data: bytes) -> None:
        transport = self._ends[way[0]].transport
        if transport is not None and not transport.is_closing():
            self.forwarded[way] += 1
            transport.sendto(data, self._places[way[1]])
