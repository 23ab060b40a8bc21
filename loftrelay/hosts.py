"""Calls to hosts: connections kept for reuse, single and batch calls, and what each outcome means."""

from __future__ import annotations

import asyncio
import base64
import json
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loftrelay.config import Address
from loftrelay.http import Answer, AnswerSpoilt, Connection, ConnectionBroken
from loftrelay.journal import Held, JournalFull
from mulleinlead.interface import Result

log = logging.getLogger(__name__)

NO_IDLE, NO_CONNECT = 10.0, 1.0  # when the settings tell neither (seconds)
STALL = 0.3  # seconds from an answer's first byte to its last
SETTLE = 0.01  # seconds after an answer in which a second copy of it may still come
SWEEP = 1.0  # seconds between looks for kept connections of no further use
IDLE_MARGIN = 0.5  # before the host closes a connection that stands idle, it is not used any more
STATUSES = {
    200: Result.OK, 500: Result.ERROR, 429: Result.FULL, 503: Result.FULL, 504: Result.NOT_SENT,
    410: Result.NOT_SENT, 400: Result.FULL, 413: Result.FULL,
}  # fmt: skip
STATES = {
    "delivered": Result.OK, "failed": Result.ERROR, "refused": Result.FULL, "over": Result.NOT_SENT,
    "spent": Result.NOT_SENT,
}  # fmt: skip


class NoRoom(Exception):
    """All connections that may be open to hosts carry calls."""


@dataclass(frozen=True, slots=True)
class Ending:
    """How one attempt ended."""

    result: Result
    over: bool = False  # nothing more is owed
    wait: int = 0  # told wait, microseconds


def told_wait(answer: Answer) -> int:
    text = answer.headers.get(b"x-come-back-ms", b"")
    return int(text) * 1000 if text.isdigit() and len(text) < 10 else 0


def read_single(answer: Answer) -> Ending:
    """A status that the protocol does not know may mean anything: it may have run."""
    result = STATUSES.get(answer.status, Result.ERROR)
    if answer.status == 503 and answer.headers.get(b"x-line-busy") == b"1":
        result = Result.NOT_SENT
    return Ending(result, answer.status in (200, 410), told_wait(answer))


def read_batch(answer: Answer, ids: Sequence[str]) -> list[Ending]:
    """One ending for each message. In one that is not sound in all its rows none is believed."""
    if answer.status != 200:
        return [read_single(answer)] * len(ids)
    try:
        rows = [(entry["id"], entry["state"]) for entry in json.loads(answer.body)]
        if sorted(name for name, _ in rows) != sorted(ids):
            raise ValueError("it tells of other messages than were asked for")
        states = {name: Ending(STATES[s], s in ("delivered", "over"), told_wait(answer)) for name, s in rows}
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        log.warning("a batch answer can't be read: %r", error)
        return [Ending(Result.SPOILT)] * len(ids)
    return [states[name] for name in ids]


class Hosts:
    def __init__(
        self,
        connect_timeout: int | None,
        idle_limit: int | None,
        most_connections: int,
        tried: Callable[[Held, str], None],
        ended: Callable[[Held, str, Ending], None],
    ) -> None:
        self.connect_timeout = connect_timeout / 1e6 if connect_timeout else NO_CONNECT
        self.idle_limit = (idle_limit / 1e6 if idle_limit else NO_IDLE) - IDLE_MARGIN
        self.most_connections = most_connections
        self.tried = tried
        self.ended = ended
        self.addresses: dict[str, Address] = {}
        self.idle: dict[str, list[Connection]] = {}
        self.calls: set[asyncio.Task[None]] = set()
        self.sweep_due: asyncio.TimerHandle | None = None

    def send(self, host: str, messages: list[Held], timeout: float, batch: bool) -> None:
        call = asyncio.create_task(self._call(host, messages, timeout, batch))
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    def close_idle(self, host: str) -> None:
        for connection in self.idle.pop(host, []):
            connection.close()

    def close(self) -> None:
        for call in self.calls:
            call.cancel()
        for host in list(self.idle):
            self.close_idle(host)

    async def _call(self, host: str, messages: list[Held], timeout: float, batch: bool) -> None:
        endings = await self._endings(host, messages, timeout, batch)
        for message, ending in zip(messages, endings, strict=True):
            self.ended(message, host, ending)

    async def _endings(self, host: str, messages: list[Held], timeout: float, batch: bool) -> list[Ending]:
        connection: Connection | None = None
        asked = kept = False
        result = Result.NO_CONNECTION
        deadline = asyncio.get_running_loop().time() + timeout
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self._kept(host) or await self._open(host)
                for message in messages:
                    self.tried(message, host)
                asked = True
                left = deadline - asyncio.get_running_loop().time()
                answer = await self._ask(connection, messages, left, batch)
            kept = self._keep(host, connection)
            return read_batch(answer, [m.id for m in messages]) if batch else [read_single(answer)]
        except (JournalFull, NoRoom):
            result = Result.NOT_SENT
        except TimeoutError:
            result = Result.TIMEOUT if asked else Result.NO_CONNECTION
        except AnswerSpoilt:
            result = Result.SPOILT
        except ConnectionBroken:
            result = Result.BROKEN
        except OSError:
            pass  # it never came up
        finally:
            if connection is not None and not kept:
                connection.close()
        if connection is not None and asked:
            if not batch and connection.says_delivered:
                return [Ending(Result.OK, over=True)]
            if not connection.written:
                result = Result.NO_CONNECTION
        return [Ending(result)] * len(messages)

    async def _ask(self, connection: Connection, messages: list[Held], timeout: float, batch: bool) -> Answer:
        headers = {"Host": "host", "Request-Timeout-Ms": str(max(1, int(timeout * 1000)))}
        if not batch:
            headers["Request-Id"] = messages[0].id
            body, path = messages[0].body, "/v1/messages"
        else:
            rows = [
                {"id": m.id, **({"key": m.key} if m.key else {}), "body": base64.b64encode(m.body).decode()}
                for m in messages
            ]
            headers["Content-Type"] = "application/json"
            body, path = json.dumps(rows, separators=(",", ":")).encode(), "/v1/messages:batch"
        headers["Content-Length"] = str(len(body))
        return await connection.request("POST", path, headers, body, STALL)

    # Connections

    async def _kept(self, host: str) -> Connection | None:
        """The connection used last, so that those not needed grow old and are closed."""
        while kept := self.idle.get(host, []):
            connection = kept.pop()
            try:
                await asyncio.sleep(connection.idle_since + SETTLE - asyncio.get_running_loop().time())
            except asyncio.CancelledError:
                connection.close()
                raise
            if self._good(connection):
                return connection
            connection.close()
        return None

    def _good(self, connection: Connection) -> bool:
        age = asyncio.get_running_loop().time() - connection.idle_since
        return connection.usable() and age < self.idle_limit

    def _sweep(self) -> None:
        """Connections that hosts closed, or will, hold a descriptor each for nothing."""
        for host, kept in list(self.idle.items()):
            good = []
            for connection in kept:
                if self._good(connection):
                    good.append(connection)
                else:
                    connection.close()
            if good:
                self.idle[host] = good
            else:
                del self.idle[host]
        self.sweep_due = asyncio.get_running_loop().call_later(SWEEP, self._sweep) if self.idle else None

    async def _open(self, host: str) -> Connection:
        if host not in self.addresses:
            raise OSError(f"no address of {host}")
        if sum(map(len, self.idle.values())) + len(self.calls) > self.most_connections:
            if not (kept := [kept for kept in self.idle.values() if kept]):
                raise NoRoom
            min(kept, key=lambda connections: connections[0].idle_since).pop(0).close()
        return await Connection.open(self.addresses[host], self.connect_timeout)

    def _keep(self, host: str, connection: Connection) -> bool:
        """Ids and addresses of hosts are used again, each by itself."""
        if not connection.usable() or self.addresses.get(host) != connection.address:
            return False
        self.idle.setdefault(host, []).append(connection)
        if self.sweep_due is None:
            self.sweep_due = asyncio.get_running_loop().call_later(SWEEP, self._sweep)
        return True
