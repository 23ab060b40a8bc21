"""Reads discovery's answers as they come, row by row: a whole list may be longer than a turn of the loop
allows.

The form is discovery's (PROTOCOL, "Discovery"), however it is spaced and in whatever order its fields stand.
Pure: bytes in, rows out.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from loftrelay.registry.protocol import MOST_CELL

try:
    import msgspec
except ImportError:  # the extra `fleet`
    msgspec = None  # type: ignore[assignment]

PHASES = frozenset(("Ready", "Terminating", "Gone"))
MOST_PART = 64 << 10  # characters of one row, and of what stands beside the rows
ENDS = frozenset(",}] \t\n\r")  # of a number or a name
_space = re.compile(r"[ \t\n\r]*").match
_decoder = json.JSONDecoder(parse_constant=lambda name: None)  # NaN is no JSON


def _plain_encoder() -> Callable[[Any], bytes]:
    encode = json.JSONEncoder(
        ensure_ascii=False, allow_nan=False, sort_keys=True, separators=(",", ":")
    ).encode
    return lambda row: encode(row).encode()


if msgspec is not None:
    _write: Callable[[Any], bytes] = msgspec.json.Encoder(order="sorted").encode
else:
    _write = _plain_encoder()


class Entry(NamedTuple):
    """A row of the list that can be read; `row` is it as compact JSON, its fields always in one order."""

    host: str
    cell: int
    gone: bool
    row: bytes


def read_entry(row: Any) -> Entry:
    """Raises ValueError. What does not concern the registry is handed on as it is."""
    if not isinstance(row, dict):
        raise ValueError("is no object")
    host, cell, phase = row.get("id"), row.get("cell"), row.get("phase")
    if not isinstance(host, str) or not isinstance(cell, int) or isinstance(cell, bool):
        raise ValueError(f"id = {host!r:.60}, cell = {cell!r:.60}: one is of the wrong type")
    if not 0 <= cell <= MOST_CELL:
        raise ValueError(f"cell = {cell!r:.60}: is not from 0 to {MOST_CELL}")
    if not isinstance(phase, str) or phase not in PHASES:
        raise ValueError(f"phase = {phase!r:.60}: is none of {', '.join(sorted(PHASES))}")
    return Entry(host, cell, phase == "Gone", _write(row))


def gone(row: bytes) -> bytes:
    """That entry as it is told once it is listed no longer."""
    return _write({**json.loads(row), "phase": "Gone"})


class ListReader:
    """One answer. `feed` gives the rows that are whole by now; `end` says what the list is."""

    def __init__(self) -> None:
        self.fields: dict[str, Any] = {}  # beside the rows
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text, self._at = "", 0
        self._rows: list[Any] = []
        self._last: Any = None
        self._steps = self._read()
        self._over = False

    def feed(self, data: bytes, last: bool = False) -> list[Any]:
        """Raises ValueError when this is no list."""
        rest = self._text[self._at :]
        self._text, self._at = rest + self._utf8.decode(data, last), 0
        try:
            next(self._steps)  # up to what is not whole yet
        except StopIteration:
            self._over = True
        except RecursionError as error:
            raise ValueError("the list is nested too deep") from error
        if self._over and self._text[self._at :].strip(" \t\n\r"):
            raise ValueError("something stands behind the list")
        if len(self._text) - self._at > MOST_PART:
            raise ValueError(f"the list can't be read at {self._text[self._at : self._at + 40]!r}")
        rows, self._rows = self._rows, []
        return rows

    def end(self) -> tuple[int, bool]:
        """Revision, and whether the list is whole. Raises ValueError."""
        if not self._over:
            self.feed(b"", last=True)
        if not self._over:
            raise ValueError("the list ends early")
        revision, complete = self.fields.get("revision"), self.fields.get("complete")
        if not isinstance(revision, int) or not isinstance(complete, bool) or isinstance(revision, bool):
            raise ValueError("the list has no revision, or does not say whether it is complete")
        if not 0 <= revision <= MOST_CELL:
            raise ValueError(f"revision = {revision!r:.60}: is not from 0 to {MOST_CELL}")
        if "members" not in self.fields:
            raise ValueError("the list has no members")
        return revision, complete

    def _mark(self) -> Iterator[None]:
        """Waits until there is a character that is no space; it stands at `_at` then."""
        while True:
            found = _space(self._text, self._at)
            assert found is not None
            self._at = found.end()
            if self._at < len(self._text):
                return
            yield

    def _expect(self, marks: str) -> Iterator[None]:
        yield from self._mark()
        if self._text[self._at] not in marks:
            raise ValueError(f"the list can't be read at {self._text[self._at : self._at + 40]!r}")

    def _value(self) -> Iterator[None]:
        """Reads one value, into `_last`."""
        while True:
            try:
                value, end = _decoder.raw_decode(self._text, self._at)
            except json.JSONDecodeError:  # not whole, or not JSON: `feed` bounds how much is waited for
                yield
                continue
            if self._text[end - 1] not in '}]"' and self._text[end : end + 1] not in ENDS:
                yield  # a number may go on
                continue
            self._last, self._at = value, end
            return

    def _read(self) -> Iterator[None]:
        yield from self._expect("{")
        mark = "{"
        while mark != "}":
            self._at += 1
            yield from self._expect('"}' if mark == "{" else '"')
            if self._text[self._at] == "}":
                break
            yield from self._value()
            name = self._last
            if name in self.fields:
                raise ValueError(f"{name!r:.60} stands twice in the list")
            yield from self._expect(":")
            self._at += 1
            yield from self._mark()
            if name == "members":
                yield from self._members()
                self.fields[name] = None
            else:
                yield from self._value()
                self.fields[name] = self._last
            yield from self._expect(",}")
            mark = self._text[self._at]
        self._at += 1

    def _members(self) -> Iterator[None]:
        yield from self._expect("[")
        mark = "["
        while mark != "]":
            self._at += 1
            yield from self._mark()
            if mark == "[" and self._text[self._at] == "]":
                break
            yield from self._value()
            self._rows.append(self._last)
            # Next to always the mark stands right here: the way through two generators is for the rest.
            mark = self._text[self._at : self._at + 1]
            if mark != "," and mark != "]":
                yield from self._expect(",]")
                mark = self._text[self._at]
        self._at += 1


def read_entries(rows: Iterable[Any], passed_over: Callable[[Any, ValueError], None]) -> Iterator[Entry]:
    """Those that can be read; of the others `passed_over` is told."""
    for row in rows:
        try:
            yield read_entry(row)
        except (ValueError, RecursionError) as error:
            passed_over(row, ValueError(str(error)))
