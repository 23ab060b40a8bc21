"""Starts relays with the line `run` of the deploy file, and signals them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from review.standins.record import Record

ROOT = Path(__file__).parents[2]
READY_WAIT_S = 30.0


def run_line() -> str:
    """Returns the line `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        line: str = tomllib.load(file)["run"]
    return line


def free_port() -> int:
    """Returns a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
    return port


class Relay:
    """One relay as a process of its own, with its folder that lasts."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        discovery: str,
        settings: dict[str, Any],
        known: dict[str, Any],
        limits: dict[str, Any],
        options: str = "",
    ) -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.port = free_port()
        self.options = options
        self.process: subprocess.Popen[bytes] | None = None
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": limits,
            "known": known,
            "settings": settings,
        }
        (folder / "state").mkdir(parents=True, exist_ok=True)

    @property
    def address(self) -> tuple[str, int]:
        """Where its clients connect."""
        return "127.0.0.1", self.port

    def write_config(self) -> None:
        """Writes the platform's file."""
        path = self.folder / "config.json"
        temporary = self.folder / "config.new"
        temporary.write_text(json.dumps(self.config), encoding="utf-8")
        temporary.replace(path)

    def start(self) -> None:
        """Starts the process."""
        self.write_config()
        line = f"{run_line()} {self.options}".strip()
        environment = {
            **os.environ,
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "relay.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", line], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"relay {self.name}: started as `{line}`")

    async def wait_until_ready(self) -> None:
        """Waits until the relay answers its readiness check with 200.

        Raises:
            TimeoutError: It is not ready in time, or has ended.
        """
        until = self.record.now() + READY_WAIT_S
        while self.record.now() < until and self.exit_status is None:
            if await self._is_ready():
                self.record.write(f"relay {self.name}: ready")
                return
            await asyncio.sleep(0.02)
        raise TimeoutError(f"relay {self.name} is not ready; exit status {self.exit_status}")

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except OSError:
            return False

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process; None while it runs."""
        return None if self.process is None else self.process.poll()

    @property
    def memory_kb(self) -> int:
        """Resident memory of the process in KiB; 0 if it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0
        sizes = [int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS:")]
        return sizes[0] if sizes else 0

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"relay {self.name}: {number.name}")
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, and waits for its end."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"relay {self.name}: SIGKILL")
            self.process.kill()
            self.process.wait()
