"""Real relays beside the hollow ones: processes of the program with traffic to hosts in this process.

Each has one destination of its own with two hosts, of which one is listed at a time: a change drains one host
and lists the other. A relay has applied the change once a message ran at the new host and no call starts at
the old one. Its control traffic with the registries goes through forwarders of its own, which count bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from pathlib import Path
from typing import Any

import psutil

from benchmarks.scale.accounts import traffic_switched_at
from benchmarks.scale.links import Forwarder
from loftrelay.net.address import Address
from tests.standins.harness import RelayHarness, Request, StubServer, format_response, free_port

MESSAGE_INTERVAL_S = 0.05


class RealRelay:
    """A relay process with its hosts, forwarders and traffic."""

    def __init__(self, number: int, destination: int, folder: Path) -> None:
        self.number, self.destination = number, destination
        self.harness = RelayHarness(folder)
        self.forwarders: list[Forwarder] = []
        self.call_times: dict[str, list[float]] = {"a": [], "b": []}
        self.hosts: dict[str, StubServer] = {}
        self.listed_host = "a"
        self.traffic: asyncio.Task[None] | None = None
        self.statuses: dict[int, int] = {}  # HTTP status -> count of submissions
        self.failed = 0  # submissions without a response

    async def start(self, registries: list[Address] | None, fleet: str) -> None:
        """Starts the process; with registries its destination must be listed already.

        `registries` is None for a relay that gets its list from discovery, without a registry.
        """
        harness = await self.harness.__aenter__()
        harness.relay_name, harness.admin_address = f"real{self.number}", f"127.0.0.1:{free_port()}"
        harness.folder.mkdir(parents=True, exist_ok=True)
        if registries is None:
            harness.add_endpoint(self.destination, "plain", "Ready", self.hosts["a"].address)
        else:
            for address in registries:
                self.forwarders.append(Forwarder(address))
            addresses = [await forwarder.start() for forwarder in self.forwarders]
            quoted = ", ".join(f'"{host}:{port}"' for host, port in addresses)
            file = harness.folder / "subscription.toml"
            file.write_text(f'[subscription]\nfleet = "{fleet}"\nregistries = [{quoted}]\nidle_s = 86400\n')
            harness.arguments = ["--subscription", str(file)]
        await harness.start()

    async def open_hosts(self) -> None:
        for name in self.call_times:
            self.hosts[name] = await self.harness.start_server(self._make_handler(name))

    def _make_handler(self, name: str) -> Any:
        async def answer(request: Request) -> bytes:
            self.call_times[name].append(time.monotonic())
            return format_response(200)

        return answer

    def rows(self, change: bool = True) -> list[dict[str, Any]]:
        """Returns its hosts' entries for the stub discovery; `change` switches the listed host before."""
        if change:
            self.listed_host = "b" if self.listed_host == "a" else "a"
        return [
            {
                "destination": self.destination,
                "name": f"x{self.destination}{name}",
                "phase": "Ready" if name == self.listed_host else "Terminating",
                "address": host.address,
            }
            for name, host in self.hosts.items()
        ]

    def start_traffic(self) -> None:
        self.traffic = asyncio.create_task(self._submit_messages())

    async def _submit_messages(self) -> None:
        for n in itertools.count():
            due = time.monotonic() + MESSAGE_INTERVAL_S
            try:
                status = await self.harness.submit(f"m{self.number}-{n}", destination=self.destination)
                self.statuses[status] = self.statuses.get(status, 0) + 1
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.failed += 1
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    def applied_at(self, changed_at: float) -> float | None:
        """Returns when the last change, which discovery had at `changed_at`, was applied; None: not yet."""
        new, old = self.call_times[self.listed_host], self.call_times["b" if self.listed_host == "a" else "a"]
        return traffic_switched_at(changed_at, old, new)

    @property
    def pid(self) -> int:
        assert self.harness.process is not None
        return self.harness.process.pid

    @property
    def control_bytes(self) -> int:
        return sum(forwarder.total for forwarder in self.forwarders)

    @property
    def registry_number(self) -> int:
        """The registry that it watches: one with open connections, of several the one with most bytes."""
        usage = [(len(forwarder.running), forwarder.total) for forwarder in self.forwarders]
        return usage.index(max(usage))

    @property
    def memory_mb(self) -> float:
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
        with contextlib.suppress(AssertionError):  # internal errors in its log are part of the result
            await self.harness.__aexit__()
