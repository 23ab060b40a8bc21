"""The process that serves, while another one is to follow it: carries out what the rules say."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from loftrelay.relay.engine import Engine
from loftrelay.relay.fault_points import fault_point
from loftrelay.relay.handover import read_attempt_result, write_attempt_result
from loftrelay.relay.ports import AttemptResult
from loftrelay.upgrade.channel import Channel, Listener
from loftrelay.upgrade.lock import Lock
from loftrelay.upgrade.state_machine import LONGEST_STILL, Do, Predecessor, Stage

log = logging.getLogger(__name__)

Done = Callable[[str | None], None]


class Front(Protocol):
    """The clients' side, as the handover needs it. `hand` gives each connection's row and descriptor."""

    def freeze(self) -> None: ...
    async def thaw(self) -> None: ...
    def hand(self, give: Callable[[dict[str, Any], int], None]) -> None: ...


class HandoverSender:
    """Answers whoever wants to follow. `owns` turns false for good once that one has taken over."""

    def __init__(
        self,
        folder: Path,
        lock: Lock,
        engine: Engine,
        front: Front,
        moved: Callable[[bool], None],
        change_here: Callable[[str, bool, Done], None],
        stop: Callable[[bool], None],
        take_back: Callable[[], None],
    ) -> None:
        """`moved`: whether calls of operators go elsewhere from now on, by
        `change`. `change_here`: carries one out. `stop`: the
        process is to end, as the owner of all or not. `take_back`: it has to start anew from the journal.
        """
        self.lock, self.engine, self.front = lock, engine, front
        self.moved, self.change_here = moved, change_here
        self.stop_, self.take_back = stop, take_back
        self.rules = Predecessor()
        self.channel: Channel | None = None
        self.plain = False  # the other one goes by the journal alone
        self.late: list[dict[str, Any]] = []  # what became known while all stood still
        self.changes: dict[int, tuple[str, bool, Done]] = {}  # asked by operators meanwhile
        self.number = 0
        self.since = 0  # it stands still
        self.clock: asyncio.TimerHandle | None = None
        self.listener = Listener(folder, self._came)

    @property
    def owns(self) -> bool:
        return self.rules.stage is not Stage.GIVEN

    @property
    def unfinished(self) -> bool:
        """Whether something of the handover is on its way yet, or a call of an operator not answered."""
        return self.channel is not None and (self.channel.unsent or bool(self.changes))

    def told_to_stop(self) -> None:
        self._do(self.rules.stop())

    def close(self) -> None:
        self.listener.close()
        if self.channel is not None:
            self.channel.close()

    # What the engine and the door have to tell

    def attempt_ended(self, message: str, host: str, ending: AttemptResult) -> None:
        self._tell({"is": "ended", "id": message, "host": host, "how": write_attempt_result(ending)})

    def retry_after_received(self, host: str, wait: int) -> None:
        self._tell({"is": "told", "host": host, "wait": wait})

    def outcome_disputed(self, message: str, host: str, ran_at: int) -> None:
        self._tell({"is": "doubted", "id": message, "host": host, "at": ran_at})

    def change(self, host: str, out: bool, done: Done) -> None:
        self.number += 1
        self.changes[self.number] = host, out, done
        self._tell({"is": "change", "n": self.number, "host": host, "out": out})

    def have_file_read(self) -> None:
        """The platform's file was replaced."""
        self._tell({"is": "file"})

    def _tell(self, message: dict[str, Any]) -> None:
        if self.owns or self.channel is None:
            self.late.append(message)
        else:
            self.channel.send(message)

    # The channel

    def _came(self, sock: socket.socket) -> None:
        channel = Channel(sock, lambda message, files: None, lambda: None)
        channel.heard = partial(self._heard, channel)
        channel.lost = partial(self._lost, channel)

    def _heard(self, channel: Channel, message: dict[str, Any], files: list[int]) -> None:
        kind = message.get("is")
        if kind == "ask":
            if self.rules.stage is Stage.SERVING and not self.rules.stopping:
                self.channel = channel
            self._do(self.rules.asked(self._now()), channel)
        elif channel is not self.channel:
            return
        elif kind == "loaded":
            self.plain = bool(message.get("plain"))
            self._do(self.rules.loaded(self._now()))
        elif kind == "changed" and (asked := self.changes.pop(int(message["n"]), None)):
            asked[2](message.get("why"))

    def _lost(self, channel: Channel) -> None:
        if channel is self.channel:
            self.channel = None
            self._do(self.rules.lost())

    # What the rules say

    def _now(self) -> int:
        return int(asyncio.get_running_loop().time() * 1e6)

    def _do(self, steps: list[Do], asking: Channel | None = None) -> None:
        for step in steps:
            match step:
                case Do.REFUSE if asking is not None:
                    asking.send({"is": "no", "why": "another process follows, or this one ends"})
                case Do.FREEZE:
                    self.since = self._now()
                    self.moved(True)
                    self.front.freeze()
                    self.engine.handover.pause(self)
                    fault_point("frozen")
                    again = LONGEST_STILL / 1e6 + 0.001
                    self.clock = asyncio.get_running_loop().call_later(again, self._overdue)
                case Do.TELL if self.channel is not None:
                    self.channel.send({"is": "state", **self.engine.handover.export_state()})
                    fault_point("told state")
                case Do.THAW:
                    self._thaw()
                case Do.GIVE:
                    self._give()
                case Do.HAND_OVER:
                    self._hand_over()
                case Do.STOP:
                    self.stop_(True)
                case Do.END:
                    self.stop_(False)
                case Do.TAKE_BACK:
                    log.error("the process that took over is lost: this one takes the journal up again")
                    self.take_back()

    def _overdue(self) -> None:
        steps = self.rules.overdue(self._now())
        if steps and self.channel is not None:
            self.channel.close()
            self.channel = None
        self._do(steps)

    def _thaw(self) -> None:
        log.warning("no other process has taken over: this one goes on")
        if self.clock is not None:
            self.clock.cancel()
        self.engine.handover.resume()
        self.moved(False)
        late, self.late = self.late, []
        for message in late:
            if message["is"] == "ended":
                self.engine.handover.predecessor_attempt_ended(
                    message["id"], message["host"], read_attempt_result(message["how"])
                )
            elif message["is"] == "told":
                self.engine.attempts.retry_after_received(message["host"], message["wait"])
            elif message["is"] == "doubted":
                self.engine.attempts.outcome_disputed(message["id"], message["host"], message["at"])
        changes, self.changes = self.changes, {}
        for host, out, done in changes.values():
            self.change_here(host, out, done)
        self.thawing = asyncio.get_running_loop().create_task(self.front.thaw())

    def _give(self) -> None:
        if self.clock is not None:
            self.clock.cancel()
        assert self.channel is not None
        self.engine.context.journal.close()
        self.engine.context.is_handed_over = True
        self.listener.close()
        fault_point("giving")
        self.channel.send({"is": "yours"}, [self.lock.file])
        self.lock.release()
        fault_point("given")
        log.info(
            "another process has taken over; all stood still for %d ms", (self._now() - self.since) // 1000
        )

    def _hand_over(self) -> None:
        if self.channel is None:
            return  # the other one was lost in this step
        if self.plain:
            self.engine.context.delivery.close()  # the other one holds these calls for broken
            self.late = [message for message in self.late if message["is"] in ("change", "file")]
        late, self.late = self.late, []
        for message in late:
            self.channel.send(message)
        channel = self.channel
        self.front.hand(lambda row, file: channel.send({"is": "client", **row}, [file]))
        self.engine.context.delivery.close_all_idle_connections()
        fault_point("handed over")
