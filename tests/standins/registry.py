"""A registry process, and requests to it over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from loftrelay.registry.protocol import (
    SubscriptionChange,
    SubscriptionResponse,
    SubscriptionWatch,
    decode_response,
    encode_request,
)
from tests.standins.harness import ROOT, TEST_TIMEOUT_S


class RegistryConnection:
    """One connection to a registry."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, target: str, method: str = "GET") -> None:
        """Sends a request without a body."""
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: registry\r\n\r\n".encode())

    async def read(self) -> tuple[int, dict[str, str], bytes]:
        """Reads a response; returns status, headers and body."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
            body = await self.reader.readexactly(int(headers["content-length"]))
        return int(head[0].split()[1]), headers, body

    async def request(self, target: str) -> tuple[int, Any]:
        """Returns the status and the body, decoded if it is JSON."""
        self.send(target)
        status, headers, body = await self.read()
        return status, json.loads(body) if headers["content-type"] == "application/json" else body.decode()

    async def call(self, call: SubscriptionChange | SubscriptionWatch) -> SubscriptionResponse:
        """Sends a subscription request; returns the response."""
        self.send(encode_request(call))
        return await self.response()

    async def response(self) -> SubscriptionResponse:
        """Reads a subscription response."""
        status, _, body = await self.read()
        assert status == 200, body
        return decode_response(body)

    async def read_until_closed(self) -> bytes:
        """Returns all data until the registry closes the connection."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            with contextlib.suppress(ConnectionError):
                return await self.reader.read()
            return b""

    def close(self) -> None:
        self.writer.transport.abort()


class RegistryProcess:
    """A registry process, used as an async context manager.

    Args:
        folder: Where its settings file is written.
        discovery: Address of discovery.
        keys: Keys of the settings file, as TOML values.
    """

    def __init__(self, folder: Path, discovery: str, /, **keys: str) -> None:
        self.file = folder / "registry.toml"
        self.keys = {"fleet": '"f"', "listen": '"127.0.0.1:0"', "discovery": f'"{discovery}"', **keys}
        self.log: list[str] = []
        self.connections: list[RegistryConnection] = []
        self.address = ("", 0)
        self.process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._logged = asyncio.Event()

    def write(self) -> None:
        """Writes the settings file."""
        lines = ["[registry]", *(f"{name} = {value}" for name, value in self.keys.items())]
        self.file.write_text("\n".join(lines))

    async def __aenter__(self) -> RegistryProcess:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for connection in self.connections:
            connection.close()
        assert self.process is not None
        assert self._reading is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._reading
        assert not any("internal error" in line or "Traceback" in line for line in self.log), self.log

    async def start(self, listens: bool = True) -> None:
        """Starts the process; waits until it listens, unless told not to."""
        self.write()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loftrelay",
            "registry",
            "--settings",
            str(self.file),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ,
        )
        self._reading = asyncio.create_task(self._read(self.process))
        if listens:
            match = await self.wait_for_log(r"listens on .*:(\d+)$")
            self.address = ("127.0.0.1", int(match[1]))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log.append(line.decode().rstrip())
            self._logged.set()

    async def wait_for_log(self, pattern: str, since: int = 0) -> re.Match[str]:
        """Returns the first match in the log, from line `since` on."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while True:
                self._logged.clear()
                for line in self.log[since:]:
                    if (match := re.search(pattern, line)) is not None:
                        return match
                await self._logged.wait()

    async def terminate(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Sends a signal; returns the exit code."""
        assert self.process is not None
        self.process.send_signal(number)
        return await self.wait_for_exit()

    async def wait_for_exit(self) -> int:
        assert self.process is not None
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await self.process.wait()

    async def connect(self) -> RegistryConnection:
        connection = RegistryConnection(*await asyncio.open_connection(*self.address, limit=1 << 24))
        self.connections.append(connection)
        return connection

    async def metrics(self) -> dict[str, float]:
        """Reads all metrics."""
        connection = await self.connect()
        status, body = await connection.request("/figures")
        connection.close()
        assert status == 200
        return {name: float(value) for name, value in (line.split() for line in body.splitlines())}

    async def wait_for_metrics(self, condition: Callable[[dict[str, float]], bool]) -> dict[str, float]:
        """Waits until the metrics fulfil a condition; returns them."""
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition(metrics := await self.metrics()):
                await asyncio.sleep(0.01)
        return metrics

    async def wait_until_ready(self) -> None:
        """Waits until it has an endpoint list."""
        await self.wait_for_metrics(lambda metrics: metrics["revision"] > 0)


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario()

    asyncio.run(main())
