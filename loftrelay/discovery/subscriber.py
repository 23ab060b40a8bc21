"""The list of a relay that holds the destinations it serves alone: carries out what subscription.py says."""

from __future__ import annotations

import asyncio
import logging
import math
import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from loftrelay.decisions.events import EndpointListKind, EndpointListReceived
from loftrelay.discovery.client import CONNECT, MOST_PARSED, PATIENCE, read_list
from loftrelay.discovery.http_client import Caller
from loftrelay.discovery.settings import SubscriptionSettings
from loftrelay.discovery.subscription import SubscriptionState
from loftrelay.discovery.subscription_actions import (
    Action,
    CancelCalls,
    Channel,
    DestinationResolved,
    EntriesChanged,
    LogLine,
    ReleaseDestinations,
    Row,
    StartCall,
)
from loftrelay.net.address import Address
from loftrelay.net.http import Answer, AnswerTooLong, ConnectionBroken
from loftrelay.registry.protocol import read_answer
from loftrelay.relay.ports import ResolutionStatus

log = logging.getLogger(__name__)

MOST_ERROR = 200  # bytes of a registry's line that go into the log
HEAD = len("GET  HTTP/1.1\r\nHost: discovery\r\nContent-Length: 0\r\n\r\n")
STATUS_LINE = len("HTTP/1.1 200 OK\r\n\r\n")
COUNTS = (
    "changes",
    "watches",
    "failures",
    "older",
    "overtaken",
    "moved",
    "bytes_in",
    "bytes_out",
    "cells",
    "let_go",
)


class Subscriber:
    """A Directory and a Slices. `address` is the platform's discovery: notices go there, and no list is asked
    of it. The watch goes on by itself, with waits of its own: the module is never told that it failed.
    """

    def __init__(
        self,
        told: SubscriptionSettings,
        name: str,
        notices: Address,
        tell: Callable[[EndpointListReceived, Mapping[str, Address]], None],
        sliced: Callable[[int, ResolutionStatus], None],
        let_go: Callable[[Sequence[int]], list[int]],
    ) -> None:
        self.address = notices
        self.revision: int | None = None
        self.tell, self.sliced, self.let_go = tell, sliced, let_go
        self.subscription = SubscriptionState(
            told.registries, told.fleet, name, secrets.token_hex(8), told.timing, secrets.randbits(64)
        )
        self.counts: Counter[str] = self.subscription.counts
        self.answered = asyncio.Event()  # by a registry, since the start
        self.callers: dict[Channel, Caller] = {}
        self.tasks: dict[Channel, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = math.inf
        self.doing = False

    def load_cached(self, known: Mapping[str, Any]) -> None:
        if known:
            log.info("the known list is passed over: the registries tell what this relay serves")
        self.tell(EndpointListReceived(EndpointListKind.CACHED, ()), {})

    def watch(self) -> None:
        self.subscription.start(self._now())
        self._do()

    def pause(self) -> None:
        self.subscription.pause()
        self._do()

    def resume(self, revision: int | None) -> None:
        """What was held then has been given to `adopt`."""
        self.watch()

    def adopt(self, revision: int | None, destinations: Iterable[int], rows: Iterable[Row]) -> None:
        self.subscription.adopt(self._now(), revision, destinations, rows)
        self.revision = revision

    def move_to(self, address: Address) -> None:
        """Of notices alone."""
        self.address = address

    def close(self) -> None:
        self.pause()
        if self.timer is not None:
            self.timer.cancel()

    def resolve(self, destination: int) -> None:
        self.subscription.resolve(self._now(), destination)
        self._do()

    def mark_used(self, destination: int) -> None:
        self.subscription.mark_used(self._now(), destination)

    def figure_lines(self) -> list[str]:
        """For the door, in the form of the others."""
        subscription = self.subscription
        told = {
            "held": sum(cell.is_resolved for cell in subscription.table.destinations.values()),
            "wanted": len(subscription.lookups.deadlines),
            "hosts": len(subscription.table.destination_of),
            "registry": subscription.session.selection.position,
            **{name: self.counts[name] for name in COUNTS},
        }
        return [f"app.slices_{name}={value}" for name, value in told.items()]

    # What subscription.py says

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    def _do(self) -> None:
        if self.doing:
            return  # the engine asks while it is told: that comes next
        self.doing = True
        try:
            while actions := self.subscription.take_actions():
                for action in actions:
                    try:
                        self._do_one(action)
                    except Exception:
                        # A fault of the program. Who waits for the rest has to hear it all the same.
                        log.exception("a registry's news was not taken")
                        self.subscription.processing_failed(self._now())
        finally:
            self.doing = False
            self._set_timer()
        self.revision = self.subscription.revision or None
        if self.subscription.has_answered:
            self.answered.set()

    def _do_one(self, action: Action) -> None:
        match action:
            case StartCall():
                self.tasks[action.channel] = asyncio.create_task(self._ask(action))
            case CancelCalls():
                self._hang_up()
            case EntriesChanged(rows):
                entries = tuple(entry for entry, _ in rows)
                self.tell(
                    EndpointListReceived(EndpointListKind.DELTA, entries), {e.endpoint: at for e, at in rows}
                )
            case DestinationResolved(destination, state):
                self.sliced(destination, state)
            case ReleaseDestinations(destinations):
                self.subscription.release(self._now(), destinations, self.let_go(destinations))
            case LogLine(text):
                log.info("%s", text)

    def _set_timer(self) -> None:
        due = self.subscription.due_at
        if due != self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer, self.timer_at = None, due
            if due < math.inf:
                self.timer = asyncio.get_running_loop().call_at(due, self._tick, due)

    def _tick(self, due: float) -> None:
        self.timer, self.timer_at = None, math.inf
        self.subscription.tick(max(due, self._now()))
        self._do()

    def _hang_up(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()
        for caller in self.callers.values():
            caller.close()
        self.callers.clear()

    async def _ask(self, call: StartCall) -> None:
        caller = self.callers.get(call.channel)
        if caller is None or caller.address != call.registry:
            if caller is not None:
                caller.close()
            caller = self.callers[call.channel] = Caller(call.registry, MOST_PARSED)
        self.counts["bytes_out"] += len(call.target) + HEAD
        try:
            answer = await caller.ask("GET", call.target, call.wait + PATIENCE, connect=CONNECT)
            self.counts["bytes_in"] += _size(answer)
            if answer.status != 200:
                text = answer.body[:MOST_ERROR].decode(errors="replace").strip()
                self.subscription.call_rejected(self._now(), call.number, answer.status, text)
            else:
                told = read_answer(answer.body)
                row = {"revision": told.revision, "complete": False, "members": told.members}
                rows = read_list(row)[2]
                self.subscription.call_answered(self._now(), call.number, told, rows)
            self._do()
        except AnswerTooLong as error:
            why = f"answers over {error.limit} bytes, which are not taken"
            self.subscription.call_failed(self._now(), call.number, why, is_too_long=True)
        except (OSError, ConnectionBroken) as error:
            self.subscription.call_failed(self._now(), call.number, f"does not answer: {error!r}")
        except (ValueError, RecursionError) as error:
            self.subscription.call_failed(self._now(), call.number, f"answers what can't be read: {error}")
        except Exception:
            # A fault of the program: without a further call the relay would never hear of a drain again.
            log.exception("a call to a registry failed")
            self.subscription.processing_failed(self._now())
        self._do()


def _size(answer: Answer) -> int:
    """Bytes of an answer, near enough."""
    headers = sum(len(name) + len(value) + 4 for name, value in answer.headers.items())
    return STATUS_LINE + headers + len(answer.body)
