"""The list of hosts, and the watch on it."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

from loftrelay.decisions.events import EndpointEntry, EndpointListKind, EndpointListReceived, EndpointState

try:
    import msgspec
except ImportError:  # the extra `lists`
    msgspec = None  # type: ignore[assignment]

from loftrelay.discovery.http_client import Caller
from loftrelay.net.address import Address, parse_address
from loftrelay.net.http import AnswerTooLong, ConnectionBroken

log = logging.getLogger(__name__)

NO_ASK_EVERY = 10_000_000
# A change counts as told 6 s after discovery had it and could be reached, whatever became of calls to it. So
# a watch that falls silent as it is opened, with the change right after, is given up after MOST_WAIT +
# PATIENCE, and the module asks anew within 2 s (brain.py, MOST_ASK_WAIT).
MOST_WAIT = 2.0  # seconds for which discovery may hold a watch; less where the settings ask for more
PATIENCE = 2.2  # seconds for an answer beyond that wait: discovery turns away what waited for 2 s
CONNECT = 1.0  # seconds for a connection to come up
LEAST_GAP = 0.05  # between calls: a watch that answers at once must not become a busy loop
# Trouble: a list of 50,000 hosts that was taken at one go held the loop up for 5 s. Up to AT_ONCE bytes, some
# 400 hosts, it is taken so; a longer one in pieces of so many hosts, with a pause after each that has news.
AT_ONCE, PIECE, PAUSE = 64 << 10, 200, 0.005
# Trouble: collections of garbage that looked at all hosts took up to 230 ms. Every so many pieces what
# is there is taken out of their sight; it goes when it is forgotten, as no cycles lead there.
FREEZE_EVERY = 5
# Bytes of a list that can be opened without holding the loop up for 50 ms: all of it is parsed at one go, or
# with msgspec only cut into rows.
MOST_PARSED, MOST_CUT = 2 << 20, 16 << 20
MOST_LIST = MOST_PARSED if msgspec is None else MOST_CUT
STATES = {"Ready": EndpointState.ACTIVE, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}


def read_list(told: Any) -> tuple[int, bool, list[tuple[EndpointEntry, Address]]]:
    """Revision, whether the list is whole, and its entries. Raises ValueError when it can't be read."""
    if not isinstance(told, Mapping) or not isinstance(told.get("members"), list):
        raise ValueError("the list has no members")
    if not isinstance(told.get("revision"), int) or not isinstance(told.get("complete"), bool):
        raise ValueError("the list has no revision, or does not say whether it is complete")
    return told["revision"], told["complete"], read_rows(told["members"])


def _word(value: Any) -> Any:
    """Few differ: all rows share one object."""
    return sys.intern(value) if isinstance(value, str) else value


def read_rows(
    rows: Iterable[Any], decode: Callable[[Any], Any] | None = None
) -> list[tuple[EndpointEntry, Address]]:
    """One that can't be read is passed over. `decode`: parses it first."""
    entries = []
    for row in rows:
        try:
            row = decode(row) if decode is not None else row
            size, identity, cell = row.get("size"), row["id"], row["cell"]
            if not isinstance(identity, str) or not isinstance(cell, int):
                raise ValueError(f"id = {identity!r}, cell = {cell!r}: one is of the wrong type")
            entry = EndpointEntry(
                identity,
                cell,
                STATES[row["phase"]],
                _word(row.get("locality")),
                _word(row.get("flavor")),
                float(size) if isinstance(size, int | float) else None,
            )
            entries.append((entry, parse_address(row["host_port"])))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("an entry of the list is passed over: %r in %.300r", error, row)
    return entries


if msgspec is not None:

    class Cut(msgspec.Struct):
        """A list whose rows are not parsed yet."""

        revision: int
        complete: bool
        members: list[msgspec.Raw]

    CUT = msgspec.json.Decoder(Cut)

    def _parse(row: Any) -> Any:
        """Raises ValueError."""
        try:
            return msgspec.json.decode(row)
        except (ValueError, RecursionError) as error:
            raise ValueError(f"{error} in {bytes(row)[:300]!r}") from None


@dataclass(frozen=True, slots=True)
class Long:
    """A list that is taken in pieces."""

    revision: int
    complete: bool
    rows: Sequence[Any]

    def piece(self, first: int) -> list[tuple[EndpointEntry, Address]]:
        return read_rows(self.rows[first : first + PIECE], _parse if msgspec is not None else None)


def open_long(body: bytes) -> Long:
    """Raises ValueError when it can't be read."""
    if msgspec is not None:
        cut = CUT.decode(body)
        return Long(cut.revision, cut.complete, cut.members)
    told = json.loads(body)
    read_list({**told, "members": []} if isinstance(told, Mapping) else told)
    return Long(told["revision"], told["complete"], told["members"])


class DiscoveryClient:
    def __init__(
        self,
        address: Address,
        ask_every: int | None,
        tell: Callable[[EndpointListReceived, Mapping[str, Address]], None],
        in_force: Callable[[], Mapping[str, tuple[EndpointEntry, Address]]] | None = None,
        refused: Callable[[], None] = lambda: None,
        most_list: int = MOST_LIST,
    ) -> None:
        """`in_force`: all entries that were told and are not gone; without it every list is taken at one go.
        `refused`: told of each list that is longer than `most_list`, in bytes: a failed call.
        """
        self.in_force, self.refused, self.most_list = in_force, refused, most_list
        self.said: tuple[int | None, int] | None = None  # the last of these that the log tells of
        self.wait = min(MOST_WAIT, (ask_every or NO_ASK_EVERY) / 2e6)
        self.address = address
        self.caller = Caller(address, most_list)
        self.tell = tell
        self.revision: int | None = None
        self.asked = False  # the last call was answered: the next may be held until there is something new
        self.task: asyncio.Task[None] | None = None
        self.pieces = 0  # of the list that is being taken

    def load_cached(self, known: Mapping[str, Any]) -> None:
        """The list as this relay last had it."""
        try:
            revision, _, entries = read_list(known)
        except ValueError as error:
            if known:
                log.warning("the known list is passed over: %s", error)
            self.tell(EndpointListReceived(EndpointListKind.CACHED, ()), {})
            return
        self.revision = revision
        self._tell(EndpointListKind.CACHED, entries)

    def watch(self) -> None:
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._watch())

    def move_to(self, address: Address) -> None:
        """The whole list comes anew: the other address may count its revisions in its own way."""
        self.close()
        self.address, self.caller = address, Caller(address, self.most_list)
        self.revision, self.task, self.asked = None, None, False
        self.watch()

    def pause(self) -> None:
        """Until the next `watch`, which goes on from the same revision; in the midst of a long list, anew."""
        self.close()
        self.task, self.caller, self.asked = None, Caller(self.address, self.most_list), False

    def resume(self, revision: int | None) -> None:
        """Goes on where another process stopped."""
        self.revision = revision
        self.watch()

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        self.caller.close()

    def _tell(self, form: EndpointListKind, entries: list[tuple[EndpointEntry, Address]]) -> None:
        self.tell(
            EndpointListReceived(form, tuple(e for e, _ in entries)), {e.endpoint: a for e, a in entries}
        )

    async def _watch(self) -> None:
        """Goes on until a call fails; then the module says when to ask again. The first call after a failure
        is not held: what was missed is answered at once.
        """
        loop = asyncio.get_running_loop()
        try:
            while True:
                asked = loop.time()
                target, wait = "/registry/instances", 0.0
                if self.revision is not None:
                    wait = self.wait if self.asked else 0.0
                    target += f"?index={self.revision}&wait={int(wait * 1000)}"
                answer = await self.caller.ask("GET", target, wait + PATIENCE, connect=CONNECT)
                if answer.status != 200:
                    raise ValueError(f"discovery answers {answer.status}")
                if len(answer.body) > AT_ONCE and self.in_force is not None:
                    await self._take(open_long(answer.body), self.in_force)
                else:
                    self.revision, complete, entries = read_list(json.loads(answer.body))
                    self._tell(EndpointListKind.FULL if complete else EndpointListKind.DELTA, entries)
                self.asked, self.said = True, None
                await asyncio.sleep(max(0.0, asked + LEAST_GAP - loop.time()))
        except AnswerTooLong as error:
            self._refuse(error.size, error.limit)
        except (OSError, ConnectionBroken, ValueError, RecursionError) as error:
            log.warning("the watch failed: %r", error)
        except Exception:
            # A fault of the program: without a further call the relay would never hear of a drain again.
            log.exception("the watch failed")
        self.asked = False
        self.tell(EndpointListReceived(EndpointListKind.FAILED, ()), {})

    async def _take(
        self, told: Long, in_force: Callable[[], Mapping[str, tuple[EndpointEntry, Address]]]
    ) -> None:
        """Only what differs from the list in force is told: hosts that serve or drain as they come, those
        that are gone last. The loop is free in between.
        """
        self.revision = None  # if this is cut off, the list is a mixture: the whole one is to be asked for
        self.pieces = 0
        listed: set[str] = set()
        for first in range(0, len(told.rows), PIECE):
            entries = {entry.endpoint: (entry, address) for entry, address in told.piece(first)}
            listed.update(entries)
            known = in_force()
            await self._tell_piece([new for host, new in entries.items() if known.get(host) != new])
        if told.complete:
            hosts = list(in_force())
            for first in range(0, len(hosts), PIECE):
                known = in_force()
                missing = [host for host in hosts[first : first + PIECE] if host not in listed]
                gone = [known[host] for host in missing if host in known]
                await self._tell_piece(
                    [(replace(entry, state=EndpointState.REMOVED), at) for entry, at in gone]
                )
        self.revision = told.revision
        if not self.pieces:
            self._tell(EndpointListKind.DELTA, [])  # the module hears that the call went well

    async def _tell_piece(self, entries: list[tuple[EndpointEntry, Address]]) -> None:
        if entries:
            if self.pieces % FREEZE_EVERY == 0:
                gc.collect(1)  # else what is garbage now would stay
                gc.freeze()
            self.pieces += 1
            self._tell(EndpointListKind.DELTA, entries)
        await asyncio.sleep(PAUSE if entries else 0)

    def _refuse(self, size: int | None, limit: int) -> None:
        """Said anew only when it has changed: it is asked for again and again."""
        self.refused()
        if self.said != (size, limit):
            self.said = size, limit
            told = f"{size}" if size is not None else f"more than {limit}"
            hint = "" if msgspec is not None else "; the extra `lists` lifts the limit"
            log.error(
                "the list of %s bytes is over the limit of %d bytes (the list in force stays, of %d hosts%s)",
                told,
                limit,
                len(self.in_force()) if self.in_force is not None else 0,
                hint,
            )
