"""Snapshots: the complete scheduler state as JSON, passed from one process to its successor in a handover.

Each object is written once and referenced by number, so that shared objects stay shared. A snapshot can
contain only the types in RECORDS and ENUMS, under their stored names; reading one never calls anything named
in it. Two programs can read each other's snapshots if `fingerprint()` is the same in both.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from functools import cache
from typing import Any

from loftrelay.decisions import entities, events
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.snapshot_event_records import ENUMS, EVENT_RECORDS
from loftrelay.decisions.snapshot_format import RecordFormat
from loftrelay.decisions.snapshot_state_records import STATE_RECORDS
from loftrelay.decisions.state import DecisionState
from loftrelay.decisions.units import NEVER

FORMAT_VERSION = 2
# Renamed class or type alias -> its stored name, for the test that compares RECORDS with the classes.
STORED_TYPE_NAMES: Mapping[str, str] = {"CallLimiter": "Gate", "CallLimiterSnapshot": "GateSnapshot"}

RECORDS: Mapping[str, RecordFormat] = {**STATE_RECORDS, **EVENT_RECORDS}
RECORD_NAMES = {record.type: name for name, record in RECORDS.items()}
ENUM_NAMES = {enum.type: name for name, enum in ENUMS.items()}


class SnapshotError(Exception):
    """The text is not a snapshot that this program can read."""


@cache
def fingerprint() -> str:
    """Returns a hash that changes with the stored name of any field, type or enum member in a snapshot."""
    types = {name: list(record.fields.items()) for name, record in RECORDS.items()}
    members = {name: list(enum.members) for name, enum in ENUMS.items()}
    description = json.dumps([FORMAT_VERSION, types, members])
    return hashlib.sha256(description.encode()).hexdigest()[:16]


def write(scheduler: Scheduler, pending: Iterable[events.Event] = ()) -> str:
    """Returns the snapshot of a scheduler and of the events that it has not handled yet.

    Drops the timers of ended messages first, because they would only cause needless batches.
    """
    state = scheduler.state
    state.timers = [timer for timer in state.timers if not _is_of_ended_message(timer[2])]
    heapq.heapify(state.timers)
    snapshot = _Writer().write((state, list(pending)))
    return json.dumps({"shape": fingerprint(), **snapshot}, separators=(",", ":"))


def read(text: str, seed: int) -> tuple[Scheduler, list[events.Event]]:
    """Returns the scheduler and the pending events of a snapshot.

    The caller has to run a batch immediately, because no timer is set for the restored scheduler.

    Raises:
        SnapshotError: The text is not a snapshot, or has another fingerprint.
    """
    try:
        snapshot = json.loads(text)
        if snapshot["shape"] != fingerprint():
            raise SnapshotError(
                f"snapshot has fingerprint {snapshot['shape']!r}, expected {fingerprint()!r}: other version"
            )
        state, pending = _Reader(snapshot["rows"], seed).read(snapshot["root"])
    except (KeyError, IndexError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise SnapshotError(f"snapshot is malformed: {error!r}") from error
    if not isinstance(state, DecisionState) or not isinstance(pending, list):
        raise SnapshotError("snapshot root is not a pair of DecisionState and event list")
    scheduler = Scheduler(seed, state.settings)
    scheduler.state = state
    state.timer_set_for = NEVER
    return scheduler, pending


def _is_of_ended_message(subject: object) -> bool:
    return isinstance(subject, entities.OpenMessage) and subject.is_ended


class _Writer:
    """Writes an object graph as rows, one row per object."""

    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}
        self.objects: list[Any] = []  # keeps the objects alive, so that no id() is reused
        self.rows: list[Any] = []

    def write(self, value: Any) -> dict[str, Any]:
        """Returns the rows and the root value that refers to them."""
        root = self._value(value)
        position = 0
        # Each row may append objects: the object graph is too deep for recursion.
        while position < len(self.objects):
            self.rows.append(self._row(self.objects[position]))
            position += 1
        return {"root": root, "rows": self.rows}

    def _row(self, record: Any) -> list[Any]:
        name = RECORD_NAMES[type(record)]
        attributes = RECORDS[name].row_attributes
        return [name, *(self._value(getattr(record, attribute)) for attribute in attributes)]

    def _value(self, value: Any) -> Any:
        if value is None or isinstance(value, bool | int | str):
            return value
        if isinstance(value, float):
            return value if math.isfinite(value) else {"f": repr(value)}
        if isinstance(value, list):
            return [self._value(item) for item in value]
        if type(value) in RECORD_NAMES:
            return {"r": self._reference(value)}
        if type(value) in ENUM_NAMES:
            name = ENUM_NAMES[type(value)]
            return {"e": [name, ENUMS[name].stored_names[value]]}
        return self._container(value)

    def _container(self, value: Any) -> dict[str, Any]:
        if isinstance(value, Mapping):
            return {"d": [[self._value(key), self._value(item)] for key, item in value.items()]}
        if isinstance(value, tuple):
            return {"t": [self._value(item) for item in value]}
        if isinstance(value, deque):
            return {"q": [self._value(item) for item in value]}
        if isinstance(value, set | frozenset):
            return {"s": [self._value(item) for item in value]}
        raise TypeError(f"{type(value)!r} cannot be stored in a snapshot")

    def _reference(self, record: Any) -> int:
        number = self.numbers.get(id(record))
        if number is None:
            number = self.numbers[id(record)] = len(self.objects)
            self.objects.append(record)
        return number


class _Reader:
    """Reads the rows back into an object graph."""

    def __init__(self, rows: list[Any], seed: int) -> None:
        self.rows = rows
        self.seed = seed
        self.objects: list[Any] = [object.__new__(RECORDS[row[0]].type) for row in rows]
        self.readers: Mapping[str, Callable[[Any], Any]] = {
            "f": float,
            "e": lambda value: ENUMS[value[0]].member(value[1]),
            "d": lambda value: {self._value(key): self._value(item) for key, item in value},
            "t": lambda value: tuple(self._value(item) for item in value),
            "q": lambda value: deque(self._value(item) for item in value),
            "s": lambda value: {self._value(item) for item in value},
            "r": lambda value: self.objects[value],
        }

    def read(self, root: Any) -> Any:
        """Restores all objects and returns the root value."""
        for row, record in zip(self.rows, self.objects, strict=True):
            attributes = RECORDS[row[0]].row_attributes
            for attribute, value in zip(attributes, row[1:], strict=True):
                object.__setattr__(record, attribute, self._value(value))
            if isinstance(record, DecisionState):
                record.random = random.Random(self.seed)
                record.actions = []
        return self._value(root)

    def _value(self, value: Any) -> Any:
        if isinstance(value, list):
            return [self._value(item) for item in value]
        if not isinstance(value, dict):
            return value
        ((tag, content),) = value.items()
        reader = self.readers.get(tag)
        if reader is None:
            raise SnapshotError(f"unknown value tag {tag!r}, expected one of {', '.join(self.readers)}")
        return reader(content)
