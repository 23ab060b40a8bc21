"""Parses discovery's list incrementally, as parsing a full list at once would block the event loop.

The format is discovery's (PROTOCOL, "Discovery"), with any whitespace and any order of fields. The module
does no I/O: it takes bytes and returns rows.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from loftrelay.registry.protocol import MAX_JSON_INTEGER

try:
    import msgspec
except ImportError:  # installed by the extra `fleet`
    msgspec = None  # type: ignore[assignment]

REMOVED_PHASE = "Gone"
PHASE_NAMES = frozenset(("Ready", "Terminating", REMOVED_PHASE))
MAX_BUFFERED_CHARACTERS = 64 << 10  # of one row, and of the other fields together
LITERAL_DELIMITERS = frozenset(",}] \t\n\r")  # characters that end a number, true, false or null
WHITESPACE = " \t\n\r"
_match_whitespace = re.compile(f"[{WHITESPACE}]*").match
_decoder = json.JSONDecoder(parse_constant=lambda _: None)  # NaN is not JSON


class MalformedListError(ValueError):
    """Discovery's response is not an endpoint list."""


class MalformedEntryError(ValueError):
    """A row of the list cannot be used."""


def _standard_encoder() -> Callable[[Any], bytes]:
    encode = json.JSONEncoder(
        ensure_ascii=False, allow_nan=False, sort_keys=True, separators=(",", ":")
    ).encode
    return lambda row: encode(row).encode()


if msgspec is not None:
    _encode_row: Callable[[Any], bytes] = msgspec.json.Encoder(order="sorted").encode
else:
    _encode_row = _standard_encoder()


class ListEntry(NamedTuple):
    """Endpoint of the list, or its removal.

    Attributes:
        endpoint: Its id.
        destination: The destination that it serves.
        is_removed: Whether it was removed from the list.
        row: Its row as compact JSON with sorted fields.
    """

    endpoint: str
    destination: int
    is_removed: bool
    row: bytes


def decode_entry(row: Any) -> ListEntry:
    """Decodes the fields that the registry needs; the others are kept unchanged in the row.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    if not isinstance(row, dict):
        raise MalformedEntryError("expected a JSON object")
    endpoint, destination, phase = row.get("id"), row.get("cell"), row.get("phase")
    if not isinstance(endpoint, str) or not isinstance(destination, int) or isinstance(destination, bool):
        raise MalformedEntryError(
            f"id = {endpoint!r:.60}, cell = {destination!r:.60}: expected a string and an integer"
        )
    if not 0 <= destination <= MAX_JSON_INTEGER:
        raise MalformedEntryError(f"cell = {destination!r:.60}: expected 0 to {MAX_JSON_INTEGER}")
    if not isinstance(phase, str) or phase not in PHASE_NAMES:
        raise MalformedEntryError(f"phase = {phase!r:.60}: expected one of {', '.join(sorted(PHASE_NAMES))}")
    return ListEntry(endpoint, destination, phase == REMOVED_PHASE, _encode_row(row))


def decode_entries(
    rows: Iterable[Any], on_malformed: Callable[[Any, ValueError], None]
) -> Iterator[ListEntry]:
    """Decodes rows, and calls `on_malformed` with each malformed one and the reason."""
    for row in rows:
        try:
            yield decode_entry(row)
        except (ValueError, RecursionError) as error:
            on_malformed(row, MalformedEntryError(str(error)))


def removed_row(row: bytes) -> bytes:
    """Returns the row that reports the removal of an endpoint."""
    return _encode_row({**json.loads(row), "phase": REMOVED_PHASE})


class ListParser:
    """Incremental parser of one list. `feed` returns rows, `finish` the revision and the kind of the list.

    Attributes:
        fields: Values of the other fields than the rows.
    """

    def __init__(self) -> None:
        self.fields: dict[str, Any] = {}
        self._utf8 = codecs.getincrementaldecoder("utf-8")()
        self._text, self._position = "", 0
        self._rows: list[Any] = []
        self._parsed: Any = None
        self._parser = self._parse_list()
        self._is_finished = False

    def feed(self, data: bytes, is_last: bool = False) -> list[Any]:
        """Parses further bytes and returns the rows that they complete.

        Raises:
            MalformedListError: The bytes are not part of a list.
            UnicodeDecodeError: The bytes are not UTF-8.
        """
        unparsed = self._text[self._position :]
        self._text, self._position = unparsed + self._utf8.decode(data, is_last), 0
        try:
            next(self._parser)  # runs until it needs more text
        except StopIteration:
            self._is_finished = True
        except RecursionError as error:
            raise MalformedListError("the list is nested too deeply") from error
        if self._is_finished and self._text[self._position :].strip(WHITESPACE):
            raise MalformedListError("unexpected data after the end of the list")
        if len(self._text) - self._position > MAX_BUFFERED_CHARACTERS:
            raise self._error()
        rows, self._rows = self._rows, []
        return rows

    def finish(self) -> tuple[int, bool]:
        """Returns the list's revision and whether it is complete.

        Raises:
            MalformedListError: The list is incomplete, or a field is missing or invalid.
        """
        if not self._is_finished:
            self.feed(b"", is_last=True)
        if not self._is_finished:
            raise MalformedListError("the list is truncated")
        revision, is_complete = self.fields.get("revision"), self.fields.get("complete")
        if not isinstance(revision, int) or not isinstance(is_complete, bool) or isinstance(revision, bool):
            raise MalformedListError(
                "revision or complete: missing or of the wrong type; expected an integer and a boolean"
            )
        if not 0 <= revision <= MAX_JSON_INTEGER:
            raise MalformedListError(f"revision = {revision!r:.60}: expected 0 to {MAX_JSON_INTEGER}")
        if "members" not in self.fields:
            raise MalformedListError("members: missing")
        return revision, is_complete

    def _error(self) -> MalformedListError:
        found = self._text[self._position : self._position + 40]
        return MalformedListError(f"the list is malformed at {found!r}")

    # Generators that yield when they need more text

    def _skip_whitespace(self) -> Iterator[None]:
        while True:
            space = _match_whitespace(self._text, self._position)
            assert space is not None
            self._position = space.end()
            if self._position < len(self._text):
                return
            yield

    def _expect(self, characters: str) -> Iterator[None]:
        yield from self._skip_whitespace()
        if self._text[self._position] not in characters:
            raise self._error()

    def _parse_value(self) -> Iterator[None]:
        """Parses one JSON value into `_parsed`."""
        while True:
            try:
                value, end = _decoder.raw_decode(self._text, self._position)
            except json.JSONDecodeError:  # incomplete or malformed: `feed` limits the buffered text
                yield
                continue
            is_delimited = self._text[end - 1] in '}]"' or self._text[end : end + 1] in LITERAL_DELIMITERS
            if not is_delimited:
                yield  # more digits may follow
                continue
            self._parsed, self._position = value, end
            return

    def _parse_list(self) -> Iterator[None]:
        yield from self._expect("{")
        delimiter = "{"
        while delimiter != "}":
            self._position += 1
            yield from self._expect('"}' if delimiter == "{" else '"')
            if self._text[self._position] == "}":
                break
            yield from self._parse_field()
            yield from self._expect(",}")
            delimiter = self._text[self._position]
        self._position += 1

    def _parse_field(self) -> Iterator[None]:
        yield from self._parse_value()
        name = self._parsed
        if name in self.fields:
            raise MalformedListError(f"duplicate field {name!r:.60}")
        yield from self._expect(":")
        self._position += 1
        yield from self._skip_whitespace()
        if name == "members":
            yield from self._parse_members()
            self.fields[name] = None
        else:
            yield from self._parse_value()
            self.fields[name] = self._parsed

    def _parse_members(self) -> Iterator[None]:
        yield from self._expect("[")
        delimiter = "["
        while delimiter != "]":
            self._position += 1
            yield from self._skip_whitespace()
            if delimiter == "[" and self._text[self._position] == "]":
                break
            yield from self._parse_value()
            self._rows.append(self._parsed)
            # The delimiter nearly always follows immediately; two more generators for each row would be slow.
            delimiter = self._text[self._position : self._position + 1]
            if delimiter not in (",", "]"):
                yield from self._expect(",]")
                delimiter = self._text[self._position]
        self._position += 1
