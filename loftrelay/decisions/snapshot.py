"""The module's whole state as JSON and back: what one process hands over to the next. It decides nothing.

Objects are written once and referred to by number, so that what is shared stays shared. Only the types listed
here can stand in a snapshot, and nothing in one is ever called: it is data, whoever wrote it. Two programs
understand each other's snapshots if `shape()` is the same in both.
"""

from __future__ import annotations

import dataclasses
import hashlib
import heapq
import json
import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

from loftrelay.decisions import actions, events, scheduler, settings
from loftrelay.decisions.events import Event
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import RelaySettings

VERSION = 1


class SnapshotError(Exception):
    """What was read is no snapshot of this shape."""


def _listed(module: Any, kind: type) -> dict[str, Any]:
    found = {name: value for name, value in vars(module).items() if isinstance(value, type)}
    return {
        name: value
        for name, value in sorted(found.items())
        if value.__module__ == module.__name__
        and (issubclass(value, kind) if kind is Enum else dataclasses.is_dataclass(value))
    }


RECORDS: dict[str, Any] = {}
for _module in (settings, events, actions, scheduler):
    RECORDS |= _listed(_module, object)
WORDS = _listed(settings, Enum) | _listed(events, Enum) | _listed(scheduler, Enum)
MODULE = "Brain"
FIELDS = {name: [f.name for f in dataclasses.fields(record)] for name, record in RECORDS.items()}
# What a Brain holds, beside what its settings say: all it learned, and all it has open.
STATE = sorted(set(vars(Scheduler(0, RelaySettings()))) - {"random"})


def shape() -> str:
    """Changes when any field of any type in a snapshot does."""
    told = [
        VERSION,
        STATE,
        {name: [(f.name, str(f.type)) for f in dataclasses.fields(r)] for name, r in RECORDS.items()},
        {name: [word.name for word in words] for name, words in WORDS.items()},
    ]
    return hashlib.sha256(json.dumps(told).encode()).hexdigest()[:16]


class _Writer:
    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        self.objects: list[Any] = []  # kept, so that no number is given twice
        self.rows: list[Any] = []

    def whole(self, value: Any) -> dict[str, Any]:
        root = self.value(value)
        at = 0
        while at < len(self.objects):  # a list of what is left to write, in place of recursion
            self.rows.append(self._row(self.objects[at]))
            at += 1
        return {"root": root, "rows": self.rows}

    def _row(self, record: Any) -> list[Any]:
        if isinstance(record, Scheduler):
            return [MODULE, *(self.value(getattr(record, name)) for name in STATE)]
        name = type(record).__name__
        return [name, *(self.value(getattr(record, field)) for field in FIELDS[name])]

    def value(self, value: Any) -> Any:
        if value is None or isinstance(value, bool | int | str):
            return value
        if isinstance(value, float):
            return value if math.isfinite(value) else {"f": repr(value)}
        if isinstance(value, Enum):
            return {"e": [type(value).__name__, value.name]}
        if isinstance(value, Mapping):
            return {"d": [[self.value(k), self.value(v)] for k, v in value.items()]}
        if isinstance(value, tuple):
            return {"t": [self.value(v) for v in value]}
        if isinstance(value, deque):
            return {"q": [self.value(v) for v in value]}
        if isinstance(value, set | frozenset):
            return {"s": [self.value(v) for v in value]}
        if isinstance(value, list):
            return [self.value(v) for v in value]
        if isinstance(value, Scheduler) or type(value).__name__ in RECORDS:
            if (number := self.numbers.get(id(value))) is None:
                number = self.numbers[id(value)] = len(self.objects)
                self.objects.append(value)
            return {"r": number}
        raise TypeError(f"{type(value)!r} can't stand in a snapshot")


class _Reader:
    def __init__(self, rows: list[Any], seed: int) -> None:
        self.rows = rows
        self.seed = seed
        self.objects = [self._empty(row[0]) for row in rows]

    def whole(self, root: Any) -> Any:
        for row, made in zip(self.rows, self.objects, strict=True):
            names = STATE if row[0] == MODULE else FIELDS[row[0]]
            for name, value in zip(names, row[1:], strict=True):
                object.__setattr__(made, name, self.value(value))
            if row[0] == MODULE:
                made.random = random.Random(self.seed)
        return self.value(root)

    def _empty(self, name: str) -> Any:
        return Scheduler.__new__(Scheduler) if name == MODULE else object.__new__(RECORDS[name])

    def value(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self.value(v) for v in value]
        if not isinstance(value, dict):
            return value
        ((mark, told),) = value.items()
        match mark:
            case "f":
                return float(told)
            case "e":
                return WORDS[told[0]][told[1]]
            case "d":
                return {self.value(k): self.value(v) for k, v in told}
            case "t":
                return tuple(self.value(v) for v in told)
            case "q":
                return deque(self.value(v) for v in told)
            case "s":
                return {self.value(v) for v in told}
            case "r":
                return self.objects[told]
        raise SnapshotError(f"no such mark: {mark!r}")


def write(module: Scheduler, events: Iterable[Event] = ()) -> str:
    """The module, and events that it has not seen yet. Alarms of what is over are let go first: they hold all
    messages of the last seconds, and would only wake the module for nothing.
    """
    module.alarms = [a for a in module.alarms if not (isinstance(a[2], scheduler.Message) and a[2].over)]
    heapq.heapify(module.alarms)
    told = _Writer().whole((module, list(events)))
    return json.dumps({"shape": shape(), **told}, separators=(",", ":"))


def read(text: str, seed: int) -> tuple[Scheduler, list[Event]]:
    """Raises SnapshotError. The module is to be given a batch at once: its timers are not set."""
    try:
        told = json.loads(text)
        if told["shape"] != shape():
            raise SnapshotError("it was written by a program of another shape")
        module, events = _Reader(told["rows"], seed).whole(told["root"])
    except SnapshotError:
        raise
    except (KeyError, IndexError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise SnapshotError(f"it can't be read: {error!r}") from error
    if not isinstance(module, Scheduler) or not isinstance(events, list):
        raise SnapshotError("it holds no module")
    module.actions, module.armed = [], scheduler.NEVER
    return module, events
