"""Child processes of the scale benchmark. Workers take commands as lines of JSON over their standard streams.

A worker ends when its standard input ends, so that none outlives its parent. Programs that don't read their
input (registries, real relays) are ended by `ProgramProcess.end`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

from benchmarks.process import ROOT

MAX_LINE_BYTES = 1 << 26  # of one reply
EXIT_TIMEOUT_S = 10.0  # after this time a child is killed


class ChildError(Exception):
    """A child process failed at a command, or has ended."""


class Worker:
    """A child process `python -m MODULE` that serves commands."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.numbers = itertools.count(1)
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.reader = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, name: str, module: str) -> Worker:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            cwd=ROOT,
            limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(name, process)

    @property
    def pid(self) -> int:
        return self.process.pid

    async def call(self, command: str, **arguments: Any) -> Any:
        """Sends a command and returns its result.

        Raises:
            ChildError: The command failed, or the worker has ended.
        """
        number = next(self.numbers)
        result = self.pending[number] = asyncio.get_running_loop().create_future()
        assert self.process.stdin is not None
        try:
            if self.reader.done():
                raise ChildError(f"{self.name} has ended")
            self.process.stdin.write(
                json.dumps({"number": number, "do": command, **arguments}).encode() + b"\n"
            )
            await self.process.stdin.drain()
            return await result
        except ConnectionError as error:
            raise ChildError(f"{self.name} has ended") from error
        finally:
            self.pending.pop(number, None)

    async def _read(self) -> None:
        assert self.process.stdout is not None
        try:
            while line := await self.process.stdout.readline():
                reply = json.loads(line)
                future = self.pending.get(reply["number"])
                if future is None or future.done():
                    continue
                if "error" in reply:
                    future.set_exception(ChildError(f"{self.name}: {reply['error']}"))
                else:
                    future.set_result(reply["answer"])
        finally:
            for future in self.pending.values():
                if not future.done():
                    future.set_exception(ChildError(f"{self.name} has ended"))

    async def end(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        await _wait_or_kill(self.process)
        self.reader.cancel()
        await asyncio.gather(self.reader, return_exceptions=True)


class ProgramProcess:
    """A child process that runs a command of loftrelay, with the lines of its log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.log: list[str] = []
        self.updated = asyncio.Event()
        self.reader = asyncio.create_task(self._read())

    @classmethod
    async def start(
        cls, name: str, arguments: Sequence[str], environment: Mapping[str, str]
    ) -> ProgramProcess:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loftrelay",
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **environment},
        )
        return cls(name, process)

    @property
    def pid(self) -> int:
        return self.process.pid

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode(errors="replace").strip())
            self.updated.set()
        await self.process.wait()
        self.updated.set()

    async def wait_for_line(self, part: str, timeout: float) -> str:
        """Returns the first line of the log that contains `part`.

        Raises:
            ChildError: There is none within `timeout` seconds, or before the process ends.
        """
        try:
            async with asyncio.timeout(timeout):
                while True:
                    for line in self.log:
                        if part in line:
                            return line
                    if self.process.returncode is not None:
                        break
                    self.updated.clear()
                    await self.updated.wait()
        except TimeoutError:
            pass
        raise ChildError(f"{self.name} did not log {part!r}; its last lines are {self.log[-5:]}")

    def send_signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Sends the signal and waits; kills the process after EXIT_TIMEOUT_S."""
        self.send_signal(signal.SIGCONT)  # a stopped process does not handle other signals
        self.send_signal(number)
        await _wait_or_kill(self.process)
        await asyncio.gather(self.reader, return_exceptions=True)


async def _wait_or_kill(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


CommandHandler = Callable[..., Awaitable[Any]]


async def serve_commands(handlers: Mapping[str, CommandHandler]) -> None:
    """Serves commands in a worker until the input ends; each line has a command (`do`) and its arguments."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    running: set[asyncio.Task[None]] = set()

    async def run_command(number: int, command: str, arguments: dict[str, Any]) -> None:
        try:
            reply = {"number": number, "answer": await handlers[command](**arguments)}
        except Exception as error:
            reply = {"number": number, "error": f"{command}: {error!r}"}
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()

    while line := await reader.readline():
        request = json.loads(line)
        task = asyncio.create_task(run_command(request.pop("number"), request.pop("do"), request))
        running.add(task)
        task.add_done_callback(running.discard)
    for task in running:
        task.cancel()
