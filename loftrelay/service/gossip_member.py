"""Makes one relay a member of its fleet: what operators say at its door goes to all, and back."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
from collections.abc import Callable
from pathlib import Path

from loftrelay.gossip.operator_overrides import MOST_STAMP, Call, Calls
from loftrelay.gossip.settings import FleetSettings
from loftrelay.gossip.swim import State
from loftrelay.gossip.transport import Node
from loftrelay.relay.clock import wall_clock
from loftrelay.relay.engine import Engine
from loftrelay.relay.message import Message
from loftrelay.relay.ports import AttemptResult
from loftrelay.state.atomic_file import write_atomically

log = logging.getLogger(__name__)

NAME, MOST = "fleet-calls.json", 128_000  # bytes: of 1,024 hosts with ids and names of 40 characters
HOLD_AGAIN = 1.0  # seconds between tries to make a call from elsewhere hold here
AGAIN = 0.1  # seconds between tries for a socket that the process before still has
COUNTS = (
    "sent",
    "sent_bytes",
    "received",
    "unreadable",
    "of_another_version",
    "of_another_fleet",
    "not_sent",
    "stalls",
)

Change = Callable[[str, bool], str | None]  # a host, and whether it is out; gives the reason why not


class GossipMember:
    """The engine's watcher. `change`: makes a call from elsewhere hold here."""

    def __init__(self, told: FleetSettings, name: str, folder: Path, engine: Engine, change: Change) -> None:
        self.engine, self.change = engine, change
        self.path = folder / NAME
        self.calls = Calls(name, secrets.randbits(32))
        self.node = Node(told, name, self.calls, self._heard)
        self.retry: asyncio.TimerHandle | None = None

    async def start(self, wait: bool) -> None:
        """`wait`: for the process before this one to give its socket up. Raises OSError."""
        self.calls.load(self._load(), self.engine.endpoints.disabled)
        self._settle(list(self.calls.known.values()))
        self.engine.context.observers.append(self)
        while True:
            try:
                host, port = await self.node.open(wall_clock() // 1000)
            except OSError:
                if not wait:
                    raise
                await asyncio.sleep(AGAIN)
            else:
                log.info("the fleet %s hears this relay on %s:%d", self.node.told.name, host, port)
                return

    def close(self) -> None:
        if self in self.engine.context.observers:
            self.engine.context.observers.remove(self)
        if self.retry is not None:
            self.retry.cancel()
        self.node.close()

    def figure_lines(self) -> list[str]:
        """For the door, in the form of the others."""
        states = [peer.state for peer in self.node.members]
        told = {
            "fleet_alive": states.count(State.ALIVE),
            "fleet_suspected": states.count(State.SUSPECT),
            "fleet_calls": len(self.calls.known),
            **{f"fleet_{name}": self.node.counts[name] for name in COUNTS},
        }
        return [f"app.{name}={value}" for name, value in told.items()]

    # What this relay sees for itself

    def attempt_ended(self, held: Message, host: str, ending: AttemptResult) -> None: ...

    def endpoint_disabled(self, host: str) -> None:
        self._called(host, True)

    def endpoint_enabled(self, host: str) -> None:
        self._called(host, False)

    def _called(self, host: str, out: bool) -> None:
        if self.calls.called(host, out, wall_clock() // 1000) is not None:
            self._save()
            self.node.tell_now()

    # What others say

    def _heard(self, calls: list[Call]) -> None:
        for call in calls:
            log.info(
                "host %s is %s by hand at relay %s", call.host, "out" if call.out else "back", call.origin
            )
        self._save()
        self._settle(calls)
        self.node.tell_now()

    def _settle(self, calls: list[Call]) -> None:
        """Makes them hold; one that can't yet (a handover, a folder that takes nothing) is tried anew."""
        for call in calls:
            if (call.host in self.engine.endpoints.disabled) == call.out:
                continue
            if (why := self.change(call.host, call.out)) is not None:
                log.error("a call of %s for host %s does not hold yet: %s", call.origin, call.host, why)
                if self.retry is None:
                    self.retry = asyncio.get_running_loop().call_later(HOLD_AGAIN, self._settle_all)

    def _settle_all(self) -> None:
        self.retry = None
        self._settle(list(self.calls.known.values()))

    # Over restarts

    def _load(self) -> list[Call]:
        try:
            rows = json.loads(self.path.read_bytes())
            calls = [Call(str(host), bool(out), int(at), str(by)) for host, out, at, by in rows]
            if not all(0 <= call.stamp <= MOST_STAMP for call in calls):
                raise ValueError("a stamp in it is no time")
        except FileNotFoundError:
            return []
        except (OSError, ValueError, TypeError, RecursionError) as error:
            log.error("%s can't be read, the other relays are asked: %s", self.path, error)
            return []
        return calls

    def _save(self) -> None:
        """Best effort: without it, this relay goes by what the others tell."""
        rows = [[call.host, call.out, call.stamp, call.origin] for call in self.calls.known.values()]
        try:
            write_atomically(self.path, json.dumps(rows, separators=(",", ":")).encode(), MOST)
        except OSError as error:
            log.error("what operators said at other relays can't be written: %s", error)
