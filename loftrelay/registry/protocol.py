"""Protocol between relays and registries: discovery's list and watch, limited to subscribed destinations.

Both calls are `GET /registry/instances`, as discovery's are (PROTOCOL, "Discovery"), with a different query;
the response is discovery's with further fields. docs/slices.md has the reasons. On the wire a destination is
a *cell*. The module does no I/O.

A *subscription* is the set of destinations of which a registry sends changes to one process of a relay. Only
`SubscriptionChange` changes it; `SubscriptionWatch` waits for changes of its endpoints. A registry may lose
it at any time: it then responds with 410, and the relay sends the whole set again.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlencode

LIST_PATH = "/registry/instances"
MAX_DESTINATIONS_PER_CALL = 1_000  # keeps the request line under 16 KiB
MAX_JSON_INTEGER = 1 << 53  # all JSON parsers represent integers up to this exactly
MAX_DIGITS = 16  # of an integer in a query
MAX_NAME_LENGTH = 64  # characters of a fleet's or a relay's name
MAX_SUBSCRIBER_LENGTH = 100  # characters of a relay's name with its incarnation id
MAX_WAIT_MS = 60_000
MAX_QUERY_FIELDS = 20

# Error statuses of a registry's responses.
BAD_REQUEST, FORBIDDEN, GONE, UNAVAILABLE = 400, 403, 410, 503

# Fields by wire name: the lists of a change, and the numbers of a response.
CHANGE_LISTS = {"add": "added", "have": "confirmed", "drop": "dropped"}
RESPONSE_NUMBERS = {
    "revision": "revision",
    "age_ms": "age_ms",
    "seq": "sequence",
    "count": "size",
    "sum": "checksum",
}


class ProtocolError(ValueError):
    """A request or response cannot be decoded; the text names the field and its value."""


@dataclass(frozen=True, slots=True)
class SubscriptionChange:
    """Changes a subscription. The response is sent immediately.

    Changes are idempotent. Dropped destinations are removed before others are added.

    Attributes:
        fleet: Name of the relay's fleet.
        subscriber: The relay's name and incarnation id, `NAME.INCARNATION`, unique for each process.
        sequence: Number that increases with each change of one subscriber. A number below the last one is
            rejected with 410, as the change was overtaken; the last one may be repeated.
        since_revision: Revision up to which the relay knows the destinations in `confirmed`.
        added: Destinations unknown to the relay; each is sent in full.
        confirmed: Destinations that the relay knows; sent in full only if they changed since, or if that is
            not known.
        dropped: Destinations to remove.
        is_reset: Whether the set is emptied first.
    """

    fleet: str
    subscriber: str
    sequence: int
    since_revision: int = 0
    added: tuple[int, ...] = ()
    confirmed: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()
    is_reset: bool = False


@dataclass(frozen=True, slots=True)
class SubscriptionWatch:
    """Waits for a change in the subscription.

    A newer watch of the same subscriber ends it without changes. It is rejected with 410 if discovery has
    restarted its revisions since, or if more than MAX_DESTINATIONS_PER_CALL destinations would have to be
    sent in full.

    Attributes:
        fleet: Name of the relay's fleet.
        subscriber: Name of the subscription.
        since_revision: Revision up to which the relay knows all destinations.
        wait_ms: Milliseconds after which it ends without changes.
    """

    fleet: str
    subscriber: str
    since_revision: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class SubscriptionResponse:
    """Response of a registry to either call, with status 200.

    Attributes:
        fleet: Name of the registry's fleet.
        revision: Discovery's revision up to which the registry knows the list.
        age_ms: Milliseconds since discovery's last response to the registry.
        sequence: Number of the last change that was applied.
        size: Number of destinations in the set.
        checksum: Checksum of the set, by which the relay checks that both have the same set.
        full_destinations: Destinations sent in full: they have no endpoints other than those in `rows`.
        rows: Rows in discovery's format: those of full destinations and, in a response to a watch, those of
            changed endpoints. "Gone" rows come first, as an endpoint may have moved to another destination.
    """

    fleet: str
    revision: int
    age_ms: int
    sequence: int
    size: int
    checksum: int
    full_destinations: tuple[int, ...]
    rows: Sequence[Any]


@dataclass(frozen=True, slots=True)
class FullListRequest:
    """Call in discovery's own format, for all destinations.

    Attributes:
        since_revision: Revision that the caller has; None requests the full list.
        wait_ms: Milliseconds to wait for a change.
    """

    since_revision: int | None = None
    wait_ms: int = 0


def checksum(destinations: Iterable[int]) -> int:
    """Returns the sum of destinations modulo 2^32."""
    return sum(destinations) & 0xFFFFFFFF


def encode_request(call: SubscriptionChange | SubscriptionWatch) -> str:
    """Returns the target of the request for a call."""
    query = {"fleet": call.fleet, "subscriber": call.subscriber}
    if isinstance(call, SubscriptionWatch):
        query |= {"index": str(call.since_revision), "wait": str(call.wait_ms)}
    else:
        assert len(call.added) + len(call.confirmed) + len(call.dropped) <= MAX_DESTINATIONS_PER_CALL
        query |= {"seq": str(call.sequence), "index": str(call.since_revision)}
        for name, field in CHANGE_LISTS.items():
            if destinations := getattr(call, field):
                query[name] = ",".join(map(str, destinations))
        if call.is_reset:
            query["reset"] = "1"
    return f"{LIST_PATH}?{urlencode(query, safe=',')}"


def decode_request(target: str) -> SubscriptionChange | SubscriptionWatch | FullListRequest:
    """Decodes the target of a request.

    Raises:
        ProtocolError: The target is not one of the calls.
    """
    query = _decode_query(target)
    if "fleet" not in query and "subscriber" not in query:
        since = _decode_number(query, "index") if "index" in query else None
        return FullListRequest(since, _decode_number(query, "wait", MAX_WAIT_MS))
    for name, max_length in (("fleet", MAX_NAME_LENGTH), ("subscriber", MAX_SUBSCRIBER_LENGTH)):
        if not 1 <= len(query.get(name, "")) <= max_length:
            raise ProtocolError(
                f"{name} = {query.get(name, '')[:40]!r}: is no text of 1 to {max_length} characters"
            )
    since = _decode_number(query, "index")
    if "wait" in query:
        wait_ms = _decode_number(query, "wait", MAX_WAIT_MS)
        return SubscriptionWatch(query["fleet"], query["subscriber"], since, wait_ms)
    return _decode_change(query, since)


def _decode_change(query: Mapping[str, str], since: int) -> SubscriptionChange:
    lists = {field: _decode_destinations(query, name) for name, field in CHANGE_LISTS.items()}
    count = sum(map(len, lists.values()))
    if count > MAX_DESTINATIONS_PER_CALL:
        raise ProtocolError(f"cells = {count}: at most {MAX_DESTINATIONS_PER_CALL} in one call")
    if "seq" not in query:
        raise ProtocolError("seq = '': a change has a number, a watch a wait")
    return SubscriptionChange(
        query["fleet"],
        query["subscriber"],
        _decode_number(query, "seq"),
        since,
        **lists,
        is_reset=query.get("reset", "") == "1",
    )


def _decode_query(target: str) -> dict[str, str]:
    path, _, query = target.partition("?")
    if path != LIST_PATH:
        raise ProtocolError(f"target = {path[:80]!r}: there is only {LIST_PATH}")
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=bool(query), max_num_fields=MAX_QUERY_FIELDS
        )
    except ValueError as error:
        raise ProtocolError(f"query = {query[:80]!r}: {error}") from error
    fields = dict(pairs)
    if len(fields) < len(pairs):
        raise ProtocolError(f"query = {query[:80]!r}: a field stands in it twice")
    return fields


def _decode_number(query: Mapping[str, str], name: str, maximum: int = MAX_JSON_INTEGER) -> int:
    text = query.get(name, "0")
    if not _is_number(text, maximum):
        raise ProtocolError(f"{name} = {text[:40]!r}: is not a whole number from 0 to {maximum}")
    return int(text)


def _decode_destinations(query: Mapping[str, str], name: str) -> tuple[int, ...]:
    parts = query[name].split(",") if query.get(name) else []
    if not all(_is_number(part, MAX_JSON_INTEGER) for part in parts):
        raise ProtocolError(f"{name} = {query[name][:40]!r}: is no list of destinations")
    return tuple(map(int, parts))


def _is_number(text: str, maximum: int) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS and int(text) <= maximum


def encode_response(response: SubscriptionResponse, rows: Iterable[bytes]) -> bytes:
    """Returns the body of a response. `rows`: rows as JSON, used in place of those in `response`."""
    document = {"fleet": response.fleet, "revision": response.revision, "complete": False}
    document |= {name: getattr(response, field) for name, field in RESPONSE_NUMBERS.items()}
    return _encode_with_rows({**document, "cells": response.full_destinations}, rows)


def encode_full_list(revision: int, is_complete: bool, rows: Iterable[bytes]) -> bytes:
    """Returns the body of a response in discovery's own format. `rows`: rows as JSON."""
    return _encode_with_rows({"revision": revision, "complete": is_complete}, rows)


def _encode_with_rows(document: Mapping[str, Any], rows: Iterable[bytes]) -> bytes:
    head = json.dumps(document, separators=(",", ":")).encode()
    return head[:-1] + b',"members":[' + b",".join(rows) + b"]}"


def encode_error(reason: str) -> bytes:
    """Returns the body of a response with an error status: one line."""
    return json.dumps({"error": reason}).encode() + b"\n"


def decode_response(body: bytes) -> SubscriptionResponse:
    """Decodes the body of a response, except its rows.

    Raises:
        ProtocolError: The body is not a response of a registry.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ProtocolError(f"body: not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise ProtocolError("body: expected a JSON object")
    numbers: dict[str, int] = {}
    for name, field in RESPONSE_NUMBERS.items():
        value = document.get(name)
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            raise ProtocolError(f"{name} = {value!r}: expected a non-negative integer")
        numbers[field] = value
    fleet, cells, members = document.get("fleet"), document.get("cells"), document.get("members")
    if not isinstance(fleet, str):
        raise ProtocolError(f"fleet = {fleet!r}: expected a string")
    if not isinstance(cells, list) or not all(type(cell) is int and cell >= 0 for cell in cells):
        raise ProtocolError("cells: expected a list of non-negative integers")
    if not isinstance(members, list):
        raise ProtocolError("members: expected a list")
    return SubscriptionResponse(fleet, **numbers, full_destinations=tuple(cells), rows=members)
