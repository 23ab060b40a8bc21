"""Registry processes between the discovery of a RelayHarness and its relay."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

from loftrelay.discovery.registry_selection import preference_order
from loftrelay.net.address import parse_address
from tests.standins.harness import TEST_TIMEOUT_S, RelayHarness, free_port

FLEET = "windwacht"


class Registries:
    """Registries of one RelayHarness, whose relay has to be started after them.

    Used as an async context manager within that of the harness.
    """

    def __init__(self, harness: RelayHarness, count: int = 2, **subscription: Any) -> None:
        self.harness = harness
        self.addresses = [f"127.0.0.1:{free_port()}" for _ in range(count)]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.logs: dict[str, list[str]] = {address: [] for address in self.addresses}
        self.tasks: list[asyncio.Task[None]] = []
        harness.admin_address = harness.admin_address or f"127.0.0.1:{free_port()}"
        settings = {
            "fleet": f'"{FLEET}"',
            "registries": str(self.addresses).replace("'", '"'),
            **subscription,
        }
        path = harness.folder / "subscription.toml"
        path.write_text("[subscription]\n" + "".join(f"{key} = {value}\n" for key, value in settings.items()))
        harness.arguments = ["--subscription", str(path)]

    async def __aenter__(self) -> Registries:
        await asyncio.gather(*(self.start(address) for address in self.addresses))
        return self

    async def __aexit__(self, *_: object) -> None:
        for address in list(self.processes):
            await self.kill(address)
        await asyncio.gather(*self.tasks)

    def preferred_addresses(self) -> list[str]:
        """Returns the addresses in the relay's order of preference."""
        addresses = preference_order(
            self.harness.relay_name, [parse_address(address) for address in self.addresses]
        )
        return [f"{host}:{port}" for host, port in addresses]

    async def start(self, address: str, discovery: str = "") -> None:
        """Starts one registry and waits until it listens."""
        path = self.harness.folder / f"registry-{address.rpartition(':')[2]}.toml"
        settings = {
            "fleet": FLEET,
            "listen": address,
            "discovery": discovery or self.harness.discovery.address,
        }
        path.write_text("[registry]\n" + "".join(f'{key} = "{value}"\n' for key, value in settings.items()))
        process = self.processes[address] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loftrelay",
            "registry",
            "--settings",
            str(path),
            cwd=self.harness.root,
            stderr=asyncio.subprocess.PIPE,
        )
        log = self.logs[address] = []
        self.tasks.append(asyncio.create_task(self._read_log(process, log)))
        await self.harness.wait_until(
            lambda: any("listens on" in line for line in log) or process.returncode is not None
        )
        assert process.returncode is None, log

    async def _read_log(self, process: asyncio.subprocess.Process, log: list[str]) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            log.append(line.decode().strip())
            self.harness.notify_changed()
        await process.wait()
        self.harness.notify_changed()

    async def kill(self, address: str) -> None:
        """Kills one registry (SIGKILL)."""
        process = self.processes.pop(address)
        process.kill()
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await process.wait()

    async def suspend(self, address: str) -> None:
        """Suspends a registry by SIGSTOP; its connections stay open."""
        process = self.processes[address]
        process.send_signal(signal.SIGSTOP)
        stat = Path(f"/proc/{process.pid}/stat")
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while stat.read_text().rpartition(")")[2].split()[0] != "T":
                await asyncio.sleep(0.002)

    def resume(self, address: str) -> None:
        """Resumes a suspended registry."""
        self.processes[address].send_signal(signal.SIGCONT)

    # Metrics of the relay

    async def metric(self, name: str) -> int:
        """Reads one metric of the relay."""
        lines = dict(
            line.split("=") for line in (await self.harness.call_admin("show-stat")).split() if "=" in line
        )
        return int(lines[f"app.{name}"])

    async def wait_for_metric(self, name: str, minimum: int) -> None:
        """Waits until a metric of the relay reaches a minimum."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while await self.metric(name) < minimum:
                await asyncio.sleep(0.01)
