"""What relays and registries say to each other: discovery's list and watch, for a slice of the destinations.

Both calls are `GET /registry/instances`, as discovery's are (PROTOCOL, "Discovery"), with a query of their
own; the answer is discovery's, with some fields more. docs/slices.md tells why. Pure: texts in, values out.

A *subscription* is the set of destinations ("cells" on the wire) that a registry tells one relay's life of.
It is changed by `Change` calls alone and read by `Watch` calls. All of it may be lost at any time: the
registry then answers 410, and the relay tells its whole set anew.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlencode

PATH = "/registry/instances"
MOST_CELLS = 1_000  # in one call: its request line stays under 16 KiB
MOST_CELL = 1 << 53  # numbers that JSON carries whole everywhere
MOST_NAME = 64  # characters of a fleet's name; of a subscriber, which has a life besides
MOST_SUBSCRIBER = 100

# Statuses of a registry's answers besides 200.
BAD, FORBIDDEN, GONE, UNAVAILABLE = 400, 403, 410, 503


class ProtocolError(ValueError):
    """A call or an answer that can't be read; the text names the field and its value."""


@dataclass(frozen=True, slots=True)
class Change:
    """Changes a subscription and is answered at once.

    `add`: cells of which the relay has nothing: each is told whole. `have`: cells of which it has all up to
    revision `index`: told whole only where anything changed since, or where that is not known. `drop`: told
    of no more, and before the others. All three may be told again without harm. `seq` grows with each call of
    one subscriber: one below the last is answered 410, since it was overtaken, and the last may be repeated.
    `reset`: the set was empty before.
    """

    fleet: str
    subscriber: str  # the relay's name and life, `NAME.LIFE`: no two processes share one
    seq: int
    index: int = 0
    add: tuple[int, ...] = ()
    have: tuple[int, ...] = ()
    drop: tuple[int, ...] = ()
    reset: bool = False


@dataclass(frozen=True, slots=True)
class Watch:
    """Waits until something in the subscription is newer than `index`, or `wait` milliseconds have passed. A
    newer one of the same subscriber ends it, with nothing new. Answered 410 where discovery has counted anew
    since, and where more than MOST_CELLS cells would have to be told whole at once.
    """

    fleet: str
    subscriber: str
    index: int
    wait: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Of a registry to either call, status 200.

    `revision`: discovery's, up to which the registry knows the list. `members`: rows in discovery's form, of
    whole cells and, in a watch's answer, of entries that changed after `index` ("Gone" among them, and first:
    it concerns that cell, and a host that moved to another stands there, too). `cells`:
    those that are told whole: a host of one that is not among `members` is no longer listed there, and one
    with no members at all has none. `age`: milliseconds since the registry last heard discovery. `seq`,
    `count`, `sum`: the last change that is in the subscription, how many cells it holds, and their sum modulo
    2^32, by which the relay knows that both hold the same.
    """

    fleet: str
    revision: int
    age: int
    seq: int
    count: int
    sum: int
    cells: tuple[int, ...]
    members: Sequence[Any]


@dataclass(frozen=True, slots=True)
class Plain:
    """A call in discovery's own form, for the whole list: without `index` it is told whole."""

    index: int | None = None
    wait: int = 0


def checksum(cells: Iterable[int]) -> int:
    return sum(cells) & 0xFFFFFFFF


def _cells(numbers: Sequence[int]) -> str:
    return ",".join(map(str, numbers))


def target(call: Change | Watch) -> str:
    """The request's target. At most MOST_CELLS cells stand in one call."""
    told: dict[str, str] = {"fleet": call.fleet, "subscriber": call.subscriber}
    if isinstance(call, Watch):
        told |= {"index": str(call.index), "wait": str(call.wait)}
    else:
        assert len(call.add) + len(call.have) + len(call.drop) <= MOST_CELLS
        told |= {"seq": str(call.seq), "index": str(call.index)}
        lists = {"add": call.add, "have": call.have, "drop": call.drop}
        told |= {name: _cells(cells) for name, cells in lists.items() if cells}
        if call.reset:
            told["reset"] = "1"
    return f"{PATH}?{urlencode(told, safe=',')}"


def _number(told: Mapping[str, str], name: str, most: int = MOST_CELL) -> int:
    text = told.get(name, "0")
    if not (text.isascii() and text.isdigit()) or len(text) > 16 or int(text) > most:
        raise ProtocolError(f"{name} = {text[:40]!r}: is not a whole number from 0 to {most}")
    return int(text)


def _read_cells(told: Mapping[str, str], name: str) -> tuple[int, ...]:
    parts = told[name].split(",") if told.get(name) else []
    if not all(p.isascii() and p.isdigit() and len(p) <= 16 and int(p) <= MOST_CELL for p in parts):
        raise ProtocolError(f"{name} = {told[name][:40]!r}: is no list of destinations")
    return tuple(map(int, parts))


def read_target(text: str) -> Change | Watch | Plain:
    """Raises ProtocolError."""
    path, _, query = text.partition("?")
    if path != PATH:
        raise ProtocolError(f"target = {path[:80]!r}: there is only {PATH}")
    try:
        pairs = parse_qsl(query, keep_blank_values=True, strict_parsing=bool(query), max_num_fields=20)
    except ValueError as error:
        raise ProtocolError(f"query = {query[:80]!r}: {error}") from error
    told = dict(pairs)
    if len(told) < len(pairs):
        raise ProtocolError(f"query = {query[:80]!r}: a field stands in it twice")
    if "fleet" not in told and "subscriber" not in told:
        index = _number(told, "index") if "index" in told else None
        return Plain(index, _number(told, "wait", 60_000))
    for name, most in (("fleet", MOST_NAME), ("subscriber", MOST_SUBSCRIBER)):
        if not 1 <= len(told.get(name, "")) <= most:
            raise ProtocolError(f"{name} = {told.get(name, '')[:40]!r}: is no text of 1 to {most} characters")
    fleet, subscriber = told["fleet"], told["subscriber"]
    index = _number(told, "index")
    if "wait" in told:
        return Watch(fleet, subscriber, index, _number(told, "wait", 60_000))
    add, have, drop = (_read_cells(told, name) for name in ("add", "have", "drop"))
    if len(add) + len(have) + len(drop) > MOST_CELLS:
        raise ProtocolError(f"cells = {len(add) + len(have) + len(drop)}: at most {MOST_CELLS} in one call")
    if "seq" not in told:
        raise ProtocolError("seq = '': a change has a number, a watch a wait")
    reset = told.get("reset", "") == "1"
    return Change(fleet, subscriber, _number(told, "seq"), index, add, have, drop, reset)


def write_answer(answer: Answer, rows: Iterable[bytes]) -> bytes:
    """`rows`: the members, each as JSON already; `answer.members` is not looked at."""
    told = {
        "fleet": answer.fleet,
        "revision": answer.revision,
        "complete": False,
        "age_ms": answer.age,
        "seq": answer.seq,
        "count": answer.count,
        "sum": answer.sum,
        "cells": answer.cells,
    }
    head = json.dumps(told, separators=(",", ":")).encode()
    return head[:-1] + b',"members":[' + b",".join(rows) + b"]}"


def write_plain(revision: int, complete: bool, rows: Iterable[bytes]) -> bytes:
    """Discovery's own answer."""
    head = json.dumps({"revision": revision, "complete": complete}, separators=(",", ":")).encode()
    return head[:-1] + b',"members":[' + b",".join(rows) + b"]}"


def write_error(why: str) -> bytes:
    """One line, for a status other than 200."""
    return json.dumps({"error": why}).encode() + b"\n"


def read_answer(body: bytes) -> Answer:
    """The rows are not looked into. Raises ProtocolError."""
    try:
        told = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"the answer can't be read: {error}") from error
    if not isinstance(told, dict):
        raise ProtocolError("the answer is no JSON object")
    numbers: dict[str, int] = {}
    for name in ("revision", "age_ms", "seq", "count", "sum"):
        value = told.get(name)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            raise ProtocolError(f"{name} = {value!r}: is no whole number from 0 on")
        numbers[name] = value
    fleet, cells, members = told.get("fleet"), told.get("cells"), told.get("members")
    if not isinstance(fleet, str):
        raise ProtocolError(f"fleet = {fleet!r}: is no text")
    if not isinstance(cells, list) or not all(type(cell) is int and cell >= 0 for cell in cells):
        raise ProtocolError("cells: is no list of destinations")
    if not isinstance(members, list):
        raise ProtocolError("members: is no list")
    return Answer(
        fleet,
        numbers["revision"],
        numbers["age_ms"],
        numbers["seq"],
        numbers["count"],
        numbers["sum"],
        tuple(cells),
        members,
    )
