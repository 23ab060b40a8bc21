"""The relay as a separate process, with all its files in one directory."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 30.0
SHUTDOWN_TIMEOUT_S = 10.0
PROGRAM_ROOT = Path(__file__).parents[2]
STORE_WARNINGS = (b"the store of record is slow", b"the store of record is unavailable")
LISTENING = b"listens on"


class DemoError(Exception):
    """The demo can't be run; the message is one line for the user."""


class RelayProcess:
    """Starts, kills and stops the relay; copies its log to `relay.log`.

    Args:
        folder: The directory of all its files.
        config: Contents of the platform's configuration file.

    Attributes:
        address: Host and port where it listens for clients.
        store_warnings: Log lines which say that the store was slow or unavailable.
    """

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.folder = folder
        self.address = ("", 0)
        self.store_warnings: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._log_task: asyncio.Task[None] | None = None
        (folder / "config.json").write_text(json.dumps(config))
        # Only the process is killed, not the machine: commits survive that without a disk sync.
        store = json.dumps(str(folder / "record.sqlite"))
        (folder / "record.toml").write_text(f'file = {store}\nsynchronous = "NORMAL"\n')

    @property
    def store_path(self) -> Path:
        """Path of the store of record."""
        return self.folder / "record.sqlite"

    @property
    def log_path(self) -> Path:
        """Path of the copy of its log."""
        return self.folder / "relay.log"

    async def start(self) -> None:
        """Starts it and waits until it listens.

        Raises:
            DemoError: It does not listen in time, or exits before.
        """
        listening: asyncio.Future[tuple[str, int]] = asyncio.get_running_loop().create_future()
        arguments = ("-m", "loftrelay", "--record", str(self.folder / "record.toml"))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stderr=asyncio.subprocess.PIPE,
            cwd=PROGRAM_ROOT,
            env={
                **os.environ,
                "RELAY_CONFIG": str(self.folder / "config.json"),
                "RELAY_STATE": str(self.folder / "state"),
            },
        )
        self._log_task = asyncio.create_task(self._copy_log(self._process, listening))
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                self.address = await listening
        except TimeoutError:
            await self.kill()
            raise DemoError(
                f"the relay did not listen within {START_TIMEOUT_S:g} s: see {self.log_path}"
            ) from None

    async def kill(self) -> None:
        """Kills the relay (SIGKILL)."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._wait()

    async def stop(self) -> None:
        """Stops the relay by SIGTERM, or by SIGKILL if it does not exit in time."""
        assert self._process is not None
        self._process.terminate()
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await self._wait()
        except TimeoutError:
            await self.kill()

    async def _copy_log(
        self, process: asyncio.subprocess.Process, listening: asyncio.Future[tuple[str, int]]
    ) -> None:
        assert process.stderr is not None
        with self.log_path.open("ab") as log:
            while line := await process.stderr.readline():
                log.write(line)
                log.flush()
                self._parse_log_line(line, listening)
        if not listening.done():
            listening.set_exception(DemoError(f"the relay exited before it listened: see {self.log_path}"))

    def _parse_log_line(self, line: bytes, listening: asyncio.Future[tuple[str, int]]) -> None:
        if any(warning in line for warning in STORE_WARNINGS):
            self.store_warnings.append(line.decode().strip().partition(": ")[2])
        if LISTENING in line and not listening.done():
            host, _, port = line.decode().split()[-1].rpartition(":")
            listening.set_result((host, int(port)))

    async def _wait(self) -> None:
        assert self._process is not None
        assert self._log_task is not None
        await self._process.wait()
        await self._log_task
