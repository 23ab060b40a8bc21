"""Parses discovery's list incrementally: a full list may take longer than one turn of the event loop.

The form is discovery's (PROTOCOL, "Discovery"), with any spacing and any order of fields. No input or output:
bytes in, rows out.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from loftrelay.registry.protocol import MAX_DESTINATION_NUMBER

try:
    import msgspec
except ImportError:  # the extra `fleet`
    msgspec = None  # type: ignore[assignment]

REMOVED_PHASE = "Gone"
PHASE_NAMES = frozenset(("Ready", "Terminating", REMOVED_PHASE))
MAX_BUFFERED_CHARACTERS = 64 << 10  # of one row, and of the fields beside the rows
LITERAL_DELIMITERS = frozenset(",}] \t\n\r")  # end a number or a name
SPACE = " \t\n\r"
_match_space = re.compile(f"[{SPACE}]*").match
_decoder = json.JSONDecoder(parse_constant=lambda _: None)  # NaN is not JSON


class MalformedListError(ValueError):
    """Discovery's response is not a list."""


class MalformedEntryError(ValueError):
    """One row of the list cannot be used."""


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
    """One endpoint of the list.

    Attributes:
        endpoint: Its id.
        destination: The destination that it serves.
        is_removed: It is no longer listed.
        row: Its row as compact JSON with sorted fields.
    """

    endpoint: str
    destination: int
    is_removed: bool
    row: bytes


def decode_entry(row: Any) -> ListEntry:
    """Decodes the fields that concern the registry; the others are passed on as they are.

    Raises:
        MalformedEntryError: A field is missing or invalid.
    """
    if not isinstance(row, dict):
        raise MalformedEntryError("is no object")
    endpoint, destination, phase = row.get("id"), row.get("cell"), row.get("phase")
    if not isinstance(endpoint, str) or not isinstance(destination, int) or isinstance(destination, bool):
        raise MalformedEntryError(
            f"id = {endpoint!r:.60}, cell = {destination!r:.60}: one is of the wrong type"
        )
    if not 0 <= destination <= MAX_DESTINATION_NUMBER:
        raise MalformedEntryError(f"cell = {destination!r:.60}: is not from 0 to {MAX_DESTINATION_NUMBER}")
    if not isinstance(phase, str) or phase not in PHASE_NAMES:
        raise MalformedEntryError(f"phase = {phase!r:.60}: is none of {', '.join(sorted(PHASE_NAMES))}")
    return ListEntry(endpoint, destination, phase == REMOVED_PHASE, _encode_row(row))


def decode_entries(
    rows: Iterable[Any], on_malformed: Callable[[Any, ValueError], None]
) -> Iterator[ListEntry]:
    """Decodes rows; calls `on_malformed` with each row that cannot be used, and the reason."""
    for row in rows:
        try:
            yield decode_entry(row)
        except (ValueError, RecursionError) as error:
            on_malformed(row, MalformedEntryError(str(error)))


def removed_row(row: bytes) -> bytes:
    """Returns the row of an endpoint as it is sent once the endpoint is no longer listed."""
    return _encode_row({**json.loads(row), "phase": REMOVED_PHASE})


class ListParser:
    """Parses one list. `feed` returns the rows complete so far, `finish` what the list is.

    Attributes:
        fields: The fields beside the rows.
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
        """Parses further bytes.

        Raises:
            MalformedListError: This is no list.
            UnicodeDecodeError: The bytes are not UTF-8.
        """
        unparsed = self._text[self._position :]
        self._text, self._position = unparsed + self._utf8.decode(data, is_last), 0
        try:
            next(self._parser)  # runs up to what is incomplete
        except StopIteration:
            self._is_finished = True
        except RecursionError as error:
            raise MalformedListError("the list is nested too deep") from error
        if self._is_finished and self._text[self._position :].strip(SPACE):
            raise MalformedListError("something stands behind the list")
        if len(self._text) - self._position > MAX_BUFFERED_CHARACTERS:
            raise self._error()
        rows, self._rows = self._rows, []
        return rows

    def finish(self) -> tuple[int, bool]:
        """Returns the list's revision and whether it is complete.

        Raises:
            MalformedListError: The list ends early, or a field is missing or invalid.
        """
        if not self._is_finished:
            self.feed(b"", is_last=True)
        if not self._is_finished:
            raise MalformedListError("the list ends early")
        revision, is_complete = self.fields.get("revision"), self.fields.get("complete")
        if not isinstance(revision, int) or not isinstance(is_complete, bool) or isinstance(revision, bool):
            raise MalformedListError("the list has no revision, or does not say whether it is complete")
        if not 0 <= revision <= MAX_DESTINATION_NUMBER:
            raise MalformedListError(
                f"revision = {revision!r:.60}: is not from 0 to {MAX_DESTINATION_NUMBER}"
            )
        if "members" not in self.fields:
            raise MalformedListError("the list has no members")
        return revision, is_complete

    def _error(self) -> MalformedListError:
        found = self._text[self._position : self._position + 40]
        return MalformedListError(f"the list can't be read at {found!r}")

    # Generators that yield wherever more text is needed

    def _skip_space(self) -> Iterator[None]:
        while True:
            space = _match_space(self._text, self._position)
            assert space is not None
            self._position = space.end()
            if self._position < len(self._text):
                return
            yield

    def _expect(self, marks: str) -> Iterator[None]:
        yield from self._skip_space()
        if self._text[self._position] not in marks:
            raise self._error()

    def _parse_value(self) -> Iterator[None]:
        """Parses one value, into `_parsed`."""
        while True:
            try:
                value, end = _decoder.raw_decode(self._text, self._position)
            except json.JSONDecodeError:  # incomplete or not JSON: `feed` limits how much is buffered
                yield
                continue
            is_delimited = self._text[end - 1] in '}]"' or self._text[end : end + 1] in LITERAL_DELIMITERS
            if not is_delimited:
                yield  # a number may go on
                continue
            self._parsed, self._position = value, end
            return

    def _parse_list(self) -> Iterator[None]:
        yield from self._expect("{")
        mark = "{"
        while mark != "}":
            self._position += 1
            yield from self._expect('"}' if mark == "{" else '"')
            if self._text[self._position] == "}":
                break
            yield from self._parse_field()
            yield from self._expect(",}")
            mark = self._text[self._position]
        self._position += 1

    def _parse_field(self) -> Iterator[None]:
        yield from self._parse_value()
        name = self._parsed
        if name in self.fields:
            raise MalformedListError(f"{name!r:.60} stands twice in the list")
        yield from self._expect(":")
        self._position += 1
        yield from self._skip_space()
        if name == "members":
            yield from self._parse_members()
            self.fields[name] = None
        else:
            yield from self._parse_value()
            self.fields[name] = self._parsed

    def _parse_members(self) -> Iterator[None]:
        yield from self._expect("[")
        mark = "["
        while mark != "]":
            self._position += 1
            yield from self._skip_space()
            if mark == "[" and self._text[self._position] == "]":
                break
            yield from self._parse_value()
            self._rows.append(self._parsed)
            # Nearly always the mark follows at once; two generators for each row would be slow.
            mark = self._text[self._position : self._position + 1]
            if mark not in (",", "]"):
                yield from self._expect(",]")
                mark = self._text[self._position]
        self._position += 1
