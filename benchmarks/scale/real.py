"""Real relays beside the hollow ones: processes of the program with traffic to hosts in this process.

Each has one destination of its own with two hosts, of which one is listed at a time: a change drains the one
and lists the other. It is in force at a relay once a message ran at the new host and none begins at the old.
Control is what it says with the registries: it goes through forwarders of its own, which count.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from pathlib import Path
from typing import Any

import psutil

from benchmarks.scale.accounts import moved
from benchmarks.scale.links import Forwarder
from loftrelay.net.address import Address
from tests.standins.harness import RelayHarness, Request, StubServer, format_response, free_port

EVERY = 0.05  # seconds between a relay's messages


class RealRelay:
    """`registries`: None for one that has its list from discovery, as without a registry."""

    def __init__(self, number: int, destination: int, folder: Path) -> None:
        self.number, self.destination = number, destination
        self.world = RelayHarness(folder)
        self.forwarders: list[Forwarder] = []
        self.began: dict[str, list[float]] = {"a": [], "b": []}
        self.hosts: dict[str, StubServer] = {}
        self.listed = "a"
        self.traffic: asyncio.Task[None] | None = None
        self.answers: dict[int, int] = {}
        self.failed = 0  # messages handed in of which nothing came back

    async def start(self, registries: list[Address] | None, fleet: str) -> None:
        """Its destination is listed already, where it has registries."""
        world = await self.world.__aenter__()
        world.relay_name, world.admin_address = f"real{self.number}", f"127.0.0.1:{free_port()}"
        world.folder.mkdir(parents=True, exist_ok=True)
        if registries is None:
            world.add_endpoint(self.destination, "plain", "Ready", self.hosts["a"].address)
        else:
            for place in registries:
                self.forwarders.append(Forwarder(place))
            places = [await forwarder.start() for forwarder in self.forwarders]
            told = ", ".join(f'"{host}:{port}"' for host, port in places)
            file = world.folder / "subscription.toml"
            file.write_text(f'[subscription]\nfleet = "{fleet}"\nregistries = [{told}]\nidle_s = 86400\n')
            world.arguments = ["--subscription", str(file)]
        await world.start()

    async def open_hosts(self) -> None:
        for name in self.began:
            self.hosts[name] = await self.world.start_server(self._script(name))

    def _script(self, name: str) -> Any:
        async def answer(request: Request) -> bytes:
            self.began[name].append(time.monotonic())
            return format_response(200)

        return answer

    def rows(self, change: bool = True) -> list[dict[str, Any]]:
        """For the stand-in discovery: the hosts after the next change, or as they are."""
        if change:
            self.listed = "b" if self.listed == "a" else "a"
        return [
            {
                "destination": self.destination,
                "name": f"x{self.destination}{name}",
                "phase": "Ready" if name == self.listed else "Terminating",
                "address": peer.address,
            }
            for name, peer in self.hosts.items()
        ]

    def begin_traffic(self) -> None:
        self.traffic = asyncio.create_task(self._hand_in())

    async def _hand_in(self) -> None:
        for n in itertools.count():
            due = time.monotonic() + EVERY
            try:
                status = await self.world.submit(f"m{self.number}-{n}", destination=self.destination)
                self.answers[status] = self.answers.get(status, 0) + 1
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.failed += 1
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def in_force(self, begun: float) -> float | None:
        """When the last change, which discovery had at `begun`, held; None: not yet."""
        new, old = self.began[self.listed], self.began["b" if self.listed == "a" else "a"]
        return moved(begun, old, new)

    @property
    def pid(self) -> int:
        assert self.world.process is not None
        return self.world.process.pid

    @property
    def control_bytes(self) -> int:
        return sum(forwarder.total for forwarder in self.forwarders)

    @property
    def at(self) -> int:
        """The registry that it watches: the one to which it has connections open, of several the busiest."""
        busy = [(len(forwarder.running), forwarder.total) for forwarder in self.forwarders]
        return busy.index(max(busy))

    @property
    def mb(self) -> float:
        return float(psutil.Process(self.pid).memory_full_info().uss / 1e6)

    async def stop_traffic(self) -> None:
        if self.traffic is not None:
            self.traffic.cancel()
            await asyncio.gather(self.traffic, return_exceptions=True)
            self.traffic = None

    async def close(self) -> None:
        await self.stop_traffic()
        for forwarder in self.forwarders:
            forwarder.close()
        with contextlib.suppress(AssertionError):  # a fault in its log is told by `faults`
            await self.world.__aexit__()
