"""Decodes discovery's endpoint list. No other module of this package knows the wire names of its fields."""

from __future__ import annotations

import json
import logging
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from loftrelay.decisions.events import EndpointEntry, EndpointState
from loftrelay.discovery.subscription_actions import Row
from loftrelay.net.address import parse_address

try:
    import msgspec
except ImportError:  # installed by the extra `lists`
    msgspec = None  # type: ignore[assignment]

log = logging.getLogger(__name__)

SEGMENT_ROWS = 200  # rows decoded without yielding to the event loop
# Largest lists that can be opened without blocking the event loop for more than 50 ms: the standard library
# has to parse all of it, msgspec only splits it into rows.
MAX_PARSED_BYTES = 2 << 20
MAX_SPLIT_BYTES = 16 << 20
MAX_LIST_BYTES = MAX_PARSED_BYTES if msgspec is None else MAX_SPLIT_BYTES
STATES = {"Ready": EndpointState.ACTIVE, "Terminating": EndpointState.DRAINING, "Gone": EndpointState.REMOVED}


class MalformedListError(ValueError):
    """A list or a row of it cannot be decoded."""


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A decoded list.

    Attributes:
        revision: Discovery's revision of it.
        is_complete: Whether it holds all endpoints; otherwise it holds only those that changed.
        rows: The rows that could be decoded.
    """

    revision: int
    is_complete: bool
    rows: list[Row]


def decode_list(document: Any) -> EndpointList:
    """Decodes a parsed list.

    Raises:
        MalformedListError: It is not a list of endpoints.
    """
    if not isinstance(document, Mapping) or not isinstance(document.get("members"), list):
        raise MalformedListError("members: missing or not a list")
    if not isinstance(document.get("revision"), int) or not isinstance(document.get("complete"), bool):
        raise MalformedListError(
            "revision or complete: missing or of the wrong type; expected an integer and a boolean"
        )
    return EndpointList(document["revision"], document["complete"], decode_rows(document["members"]))


def decode_rows(rows: Iterable[Any], parse: Callable[[Any], Any] | None = None) -> list[Row]:
    """Decodes rows; logs and skips malformed ones. `parse`: applied to each row first."""
    decoded = []
    for row in rows:
        document = row
        try:
            document = parse(row) if parse is not None else row
            decoded.append(_decode_row(document))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("endpoint list: malformed entry skipped: %r in %.300r", error, document)
    return decoded


def _decode_row(row: Any) -> Row:
    size, endpoint, destination = row.get("size"), row["id"], row["cell"]
    if not isinstance(endpoint, str) or not isinstance(destination, int):
        raise MalformedListError(
            f"id = {endpoint!r}, cell = {destination!r}: expected a string and an integer"
        )
    entry = EndpointEntry(  # positional arguments are faster, and this runs for each row of a long list
        endpoint,
        destination,
        STATES[row["phase"]],
        _intern(row.get("locality")),  # zone
        _intern(row.get("flavor")),  # kind
        float(size) if isinstance(size, int | float) else None,  # listed rate
    )
    return entry, parse_address(row["host_port"])


def _intern(value: Any) -> Any:
    """Shares equal strings among rows, as there are few distinct values."""
    return sys.intern(value) if isinstance(value, str) else value


if msgspec is not None:

    class _SplitList(msgspec.Struct):
        """List whose rows are not parsed yet."""

        revision: int
        complete: bool
        members: list[msgspec.Raw]

    _SPLIT_DECODER = msgspec.json.Decoder(_SplitList)

    def _parse_row(row: Any) -> Any:
        try:
            return msgspec.json.decode(row)
        except (ValueError, RecursionError) as error:
            raise MalformedListError(f"{error} in {bytes(row)[:300]!r}") from None


@dataclass(frozen=True, slots=True)
class SegmentedList:
    """Long list that is decoded in segments.

    Attributes:
        revision: Discovery's revision of it.
        is_complete: Whether it holds all endpoints; otherwise it holds only those that changed.
        raw_rows: Its rows: parsed by the standard library, or unparsed with msgspec.
    """

    revision: int
    is_complete: bool
    raw_rows: Sequence[Any]

    def segment(self, first: int) -> list[Row]:
        """Decodes the segment that starts at row index `first`."""
        raw_rows = self.raw_rows[first : first + SEGMENT_ROWS]
        return decode_rows(raw_rows, _parse_row if msgspec is not None else None)


def split_list(body: bytes) -> SegmentedList:
    """Opens a long list without decoding its rows.

    Raises:
        ValueError: It is not a list of endpoints (MalformedListError) or not JSON.
    """
    if msgspec is not None:
        split = _SPLIT_DECODER.decode(body)
        return SegmentedList(split.revision, split.complete, split.members)
    document = json.loads(body)
    decode_list({**document, "members": []} if isinstance(document, Mapping) else document)
    return SegmentedList(document["revision"], document["complete"], document["members"])
