"""The project's own programs as processes, started with the commands of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import tempfile
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from standins2.http_server import read_message
from standins2.journal import RecordFile

ROOT = Path(__file__).parents[2]
READY_S = 30.0  # a relay that takes longer to be ready counts as crashed
TERMINATE_S = 3.7  # from SIGTERM to SIGKILL
RESTART_PAUSE_S = 0.6  # from the end of a process to the next start
POLL_S = 0.02
CANNOT_RUN = 2

# As a small deployment has them: two classes, three kinds of partners, one tenant.
STATUS_UPDATE: dict[str, Any] = {
    "name": "status-update",
    "effect": "idempotent",
    "deadline": 24_000_000,
    "on_time": 3_000_000,
    "worth": 1.0,
    "late_worth": 0.4,
    "window": 5_000_000,
    "key_scope": "all",
    "streamed": False,
}
WORK_ORDER: dict[str, Any] = {
    **STATUS_UPDATE,
    "name": "work-order",
    "effect": "at_most_once",
    "on_time": 2_500_000,
    "worth": 3.0,
    "late_worth": 0.5,
    "in_order": True,
}
GRID_OPERATORS, FARM_OWNERS, SERVICE_FIRMS = KINDS = ("grid-operators", "farm-owners", "service-firms")


def settings(*classes: dict[str, Any], relays: int = 1) -> dict[str, Any]:
    """Returns the platform's settings with these classes."""
    return {
        "classes": list(classes),
        "discovery": "on_request",
        "extra": {
            "bundle_max": [20, 1, 1],
            "call_slots": 6,
            "fee_by_zone": [0.0, 0.0],
            "own_limits": [True, False, False],
        },
        "flavors": list(KINDS),
        "localities": ["a", "b"],
        "me": 0,
        "over_share_worth": 0.1,
        "peers_total": relays,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 15_000_000,
            "connect_timeout": 1_000_000,
            "max_retry_after": 2_000_000,
            "most_held": 136,
            "most_tries": 12,
            "probes": False,
            "retry_after": False,
        },
        "safety": {
            "ask_every": 10_000_000,
            "cold": 12_000_000,
            "cold_from": 0.23,
            "fall_multiple": 2.0,
            "settle_after_doubt": 300_000,
            "tip_after": 2_000_000,
        },
        "tenants": [{"name": "noordzee-wind", "allowance_per_s": 100.0, "fraction": 1.0}],
        "tick": 5000,
        "weight_kind": "silent",
        "zone": "a",
    }


def free_port() -> int:
    """Returns a free port of the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Program:
    """One program of the project, with the line `run` of the deploy file and further arguments."""

    def __init__(self, record: RecordFile, name: str, folder: Path) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{name}.log"

    async def spawn(self, arguments: str, environment: dict[str, str]) -> asyncio.subprocess.Process:
        """Starts the program without waiting for it."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_shell(
                f"{command} {arguments}",
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.folder), **environment},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(
            f"started {self.name} as process {self.process.pid}, arguments: {arguments or 'none'}"
        )
        return self.process

    async def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal."""
        assert self.process is not None
        self.record.write(f"{signal_number.name} to {self.name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_number)

    async def kill(self) -> None:
        """Ends it by SIGKILL, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            await self.signal(signal.SIGKILL)
            await self.process.wait()

    async def end(self) -> int:
        """Ends it as a planned restart does: SIGTERM, and SIGKILL 3.7 s later. Returns its exit status."""
        assert self.process is not None
        await self.signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.process.wait(), TERMINATE_S)
        await self.kill()
        status = await self.process.wait()
        self.record.write(f"{self.name} has ended with status {status}")
        return status

    def last_log_line(self) -> str:
        """Returns the last line of its log."""
        lines = self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        return lines[-1] if lines else ""


class Relay(Program):
    """One relay, with its configuration file and its folder that lasts."""

    def __init__(self, record: RecordFile, folder: Path, name: str = "n1") -> None:
        super().__init__(record, name, folder)
        self.port, self.control_port = free_port(), free_port()
        self.config_path = folder / f"{name}.json"
        self.state = folder / f"{name}.state"
        self.state.mkdir(exist_ok=True)

    def write_config(self, discovery: str, known: dict[str, Any], relay_settings: dict[str, Any]) -> None:
        """Writes the platform's file."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "control": f"127.0.0.1:{self.control_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": known,
            "settings": relay_settings,
        }
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(config), encoding="utf-8")
        temporary.replace(self.config_path)

    async def begin(self, arguments: str = "") -> None:
        """Starts the process without waiting for it."""
        await self.spawn(arguments, {"RELAY_CONFIG": str(self.config_path), "RELAY_STATE": str(self.state)})

    async def start(self, arguments: str = "") -> None:
        """Starts the process and waits until it is ready.

        Raises:
            RuntimeError: It exits, or is not ready in time.
        """
        await self.begin(arguments)
        if not await self.is_ready_in_time():
            raise RuntimeError(f"{self.name} did not become ready: {self.last_log_line()}")

    async def is_ready_in_time(self) -> bool:
        """Waits until GET /health/ready is answered with 200; returns whether that came in time."""
        assert self.process is not None
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + READY_S
        while loop.time() < ends_at and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(1.0):
                    if await self._ask_ready():
                        self.record.write(f"{self.name} is ready")
                        return True
            await asyncio.sleep(POLL_S)
        return False

    async def _ask_ready(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            first, _, _ = await read_message(reader)
            return first.split()[1] == "200"
        finally:
            writer.close()

    async def figure(self, name: str) -> str:
        """Reads one figure of `show-stat`."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control_port)
        try:
            writer.write(b"show-stat\n")
            lines = (await reader.read()).decode().splitlines()
        finally:
            writer.close()
        return dict(line.split("=") for line in lines if "=" in line)[name]


Scenario = Callable[[RecordFile, Path, bool], Coroutine[Any, Any, None]]


def run_case(scenario: Scenario, case_folder: Path, limit_s: float = 110.0) -> int:
    """Runs a case; returns the exit status: 0 held, 1 broken, 2 could not run.

    Args:
        scenario: Is given the record, a temporary folder, and whether the disruption takes place. It ends
            the processes that it starts.
        case_folder: Where record.txt is written.
        limit_s: Longest run in seconds.
    """
    record = RecordFile(case_folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        asyncio.run(asyncio.wait_for(scenario(record, folder, has_trouble), limit_s))
    except (OSError, RuntimeError, TimeoutError, ValueError, LookupError) as error:
        record.write(f"the case could not run: {error!r}")
        record.close()
        return CANNOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return record.close()
