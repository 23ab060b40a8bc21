"""The process that is to serve: becomes the owner of the state, alone or after one that serves already."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from loftrelay.journal.journal import Journal
from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.handover import HandoverError, HandoverState, read_attempt_result, read_state
from loftrelay.upgrade.channel import Channel, reach
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.state_machine import RETRY, Next, Step, Successor

log = logging.getLogger(__name__)

Adopt = Callable[[dict[str, Any], int], Awaitable[None]]
Change = Callable[[str, bool, Callable[[str | None], None]], None]


class HandoverReceiver:
    """Becomes the owner, and hears afterwards what the process before it still has to tell."""

    def __init__(self, folder: Path, disk_bytes: int, seed: int) -> None:
        self.folder, self.disk_bytes, self.seed = folder, disk_bytes, seed
        self.rules = Successor()
        self.lock: Lock | None = None
        self.journal: Journal | None = None
        self.handed: HandoverState | None = None  # None: from the journal alone
        self.told: dict[str, Any] = {}
        self.channel: Channel | None = None
        self.again = asyncio.Event()  # something is to be done
        self.after = 0.0  # seconds until the next try
        self.backlog: list[tuple[dict[str, Any], list[int]]] = []
        self.engine: Engine | None = None
        self.adopt: Adopt | None = None
        self.change: Change | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def own(self) -> Journal:
        """Returns once this process is the owner. Raises OSError where the folder can't be used."""
        gc.disable()  # a heap is built up here at one go, while clients wait
        try:
            return await self._own()
        finally:
            gc.enable()

    async def _own(self) -> Journal:
        while self.rules.step is not Step.OWNER:
            lock = Lock.take(self.folder)
            sock = reach(self.folder) if lock is None else None
            steps = self.rules.try_again(lock is not None, sock is not None)
            if lock is not None:
                self.lock = lock
            if sock is not None:
                self.channel = Channel(sock, self._heard, self._lost)
            self._do(steps)
            await self.again.wait()
            self.again.clear()
            await asyncio.sleep(self.after)
            self.after = 0.0
        assert self.journal is not None
        return self.journal

    def attach(self, engine: Engine, adopt: Adopt, change: Change, read_file: Callable[[], None]) -> None:
        """From now on what still comes takes effect."""
        self.engine, self.adopt, self.change, self.read_file = engine, adopt, change, read_file
        backlog, self.backlog = self.backlog, []
        for message, files in backlog:
            self._heard(message, files)
        if self.channel is None:
            engine.predecessor_lost()

    # The channel

    def _heard(self, message: dict[str, Any], files: list[int]) -> None:
        kind = message.get("is")
        if kind == "state":
            self.told = message
            self._do(self.rules.told())
        elif kind == "no":
            log.info("the process that serves does not hand over: %s", message.get("why"))
            self._lost()
        elif kind == "yours" and files:
            self.lock = Lock(files.pop())
            self._do(self.rules.given())
        elif self.engine is None:
            self.backlog.append((message, files))
            return
        else:
            self._heard_after(message, files)
        for file in files:
            os.close(file)

    def _heard_after(self, message: dict[str, Any], files: list[int]) -> None:
        assert self.engine is not None and self.adopt is not None and self.change is not None
        kind = message.get("is")
        try:
            if kind == "ended" and self.handed is not None:
                self.engine.predecessor_attempt_ended(
                    message["id"], message["host"], read_attempt_result(message["how"])
                )
            elif kind == "told":
                self.engine.retry_after_received(message["host"], int(message["wait"]))
            elif kind == "doubted" and self.handed is not None:
                self.engine.outcome_disputed(message["id"], message["host"], int(message["at"]))
            elif kind == "client" and files:
                task = asyncio.get_running_loop().create_task(self._adopt(message, files.pop()))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            elif kind == "file":
                self.read_file()
            elif kind == "change":
                number = message["n"]
                self.change(message["host"], bool(message["out"]), lambda why: self._changed(number, why))
        except (HandoverError, KeyError, TypeError, ValueError) as error:
            log.error("%s was not understood: %r", kind, error)

    async def _adopt(self, row: dict[str, Any], file: int) -> None:
        assert self.adopt is not None
        try:
            await self.adopt(row, file)
        except (KeyError, ValueError) as error:
            log.error("a client's connection was not understood: %r", error)
            os.close(file)

    def _changed(self, number: int, why: str | None) -> None:
        if self.channel is not None:
            self.channel.send({"is": "changed", "n": number, "why": why})

    def _lost(self) -> None:
        if self.channel is not None:
            self.channel.close()
            self.channel = None
        steps = self.rules.lost()
        self._do(steps)
        if not steps and self.engine is not None:
            self.engine.predecessor_lost()

    # What the rules say

    def _do(self, steps: list[Next]) -> None:
        for step in steps:
            match step:
                case Next.ASK if self.channel is not None:
                    # While the other one still serves: the less is left to read when it stands still.
                    self.journal = self._read_ahead()
                    self.channel.send({"is": "ask", "pid": os.getpid()})
                case Next.LOAD:
                    self._load()
                case Next.SAY_LOADED if self.channel is not None:
                    fault_point("loaded")
                    self.channel.send({"is": "loaded", "plain": self.handed is None})
                case Next.FORGET:
                    self.journal = self.handed = None
                case Next.START:
                    self.journal = Journal(self.folder, self.disk_bytes)
                    self.again.set()
                case Next.GO_ON:
                    assert self.journal is not None
                    fault_point("yours")
                    if self.handed is not None:
                        self.journal.take_ownership()
                    else:
                        self.journal = Journal(self.folder, self.disk_bytes)
                    self.again.set()
                case Next.RETRY:
                    self.after = RETRY / 1e6
                    self.again.set()

    def _read_ahead(self) -> Journal | None:
        """None where its owner has dropped a segment just then: it is read whole once all stand still."""
        try:
            return Journal(self.folder, self.disk_bytes, is_read_only=True)
        except FileNotFoundError:
            return None

    def _load(self) -> None:
        if self.journal is not None:
            self.journal.catch_up()
        else:
            self.journal = Journal(self.folder, self.disk_bytes, is_read_only=True)
        try:
            self.handed = read_state(self.told, self.seed)
        except HandoverError as error:
            log.warning("from the journal alone: %s", error)
            self.handed = None
        self.told = {}
