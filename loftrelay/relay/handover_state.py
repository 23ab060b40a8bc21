"""Conversion of the state that a process hands over, in addition to the journal, to JSON values and back.

This module maps the names in the JSON to the fields of HandoverState. Does no input or output.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from loftrelay.decisions import snapshot
from loftrelay.decisions.events import AttemptStatus, EndpointEntry, EndpointState, Event
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.net.address import Address
from loftrelay.relay.message_terms import PackedTerms
from loftrelay.relay.ports import AttemptResult

MALFORMED = (KeyError, TypeError, ValueError, AttributeError, IndexError)


class HandoverError(ValueError):
    """The predecessor's state, or a message of the handover, is malformed or of an unsupported version."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    """State of a predecessor, in addition to the journal."""

    scheduler: Scheduler
    events: list[Event]  # not processed by the scheduler yet
    entries: list[tuple[EndpointEntry, Address]]  # the endpoint list
    revision: int | None  # revision of the endpoint list
    discovery: Address
    destinations: set[int]  # destinations with an entry in the endpoint list
    # Message id -> when its attempt in flight began, in microseconds of the clock that both processes share.
    sent_at: dict[str, int]
    # Removed classes that are still accepted: name -> terms, and until when in wall-clock microseconds.
    retired_classes: dict[str, tuple[PackedTerms, int]]
    is_subscription: bool = False  # the list covers only the destinations that the predecessor served
    subscription_revision: int | None = None


def write_state(
    *,
    scheduler: Scheduler,
    events: Iterable[Event],
    entries: Iterable[tuple[EndpointEntry, Address]],
    revision: int | None,
    discovery: Address,
    destinations: Iterable[int],
    sent_at: Mapping[str, int],
    retired_classes: Mapping[str, tuple[PackedTerms, int]],
    is_subscription: bool = False,
) -> dict[str, Any]:
    """Returns the state of a predecessor as JSON values; the arguments are the fields of HandoverState.

    The revision of a subscription has a separate key: a successor without registries then finds no revision
    and requests the full list.
    """
    state: dict[str, Any] = {
        "module": snapshot.write(scheduler, events),
        "list": [_write_entry(entry, address) for entry, address in entries],
        "revision": None if is_subscription else revision,
    }
    if is_subscription:
        state["slice"] = {"revision": revision}
    return state | {
        "discovery": list(discovery),
        "destinations": sorted(destinations),
        "sent_at": dict(sent_at),
        "dropped": {name: [list(terms), until] for name, (terms, until) in retired_classes.items()},
    }


def read_state(state: Mapping[str, Any], seed: int) -> HandoverState:
    """Returns the state that a predecessor wrote.

    Args:
        state: the JSON values.
        seed: seed of the scheduler's random generator.

    Raises:
        HandoverError: the state is malformed, or was written by an incompatible version.
    """
    try:
        return _read_state(state, seed)
    except (snapshot.SnapshotError, *MALFORMED) as error:
        raise HandoverError(
            f"state of the predecessor is malformed or of another version: {error!r}"
        ) from error


def _read_state(state: Mapping[str, Any], seed: int) -> HandoverState:
    scheduler, events = snapshot.read(state["module"], seed)
    host, port = state["discovery"]
    retired = state["dropped"].items()
    return HandoverState(
        scheduler=scheduler,
        events=events,
        entries=[_read_entry(row) for row in state["list"]],
        revision=state["revision"],
        discovery=(str(host), int(port)),
        destinations=set(map(int, state["destinations"])),
        sent_at={str(name): int(sent_at) for name, sent_at in state["sent_at"].items()},
        retired_classes={str(name): (tuple(terms), int(until)) for name, (terms, until) in retired},
        is_subscription="slice" in state,
        subscription_revision=state["slice"]["revision"] if "slice" in state else None,
    )


def _write_entry(entry: EndpointEntry, address: Address) -> list[Any]:
    return [
        list(address),
        entry.endpoint,
        entry.destination,
        entry.state.value,
        entry.zone,
        entry.kind,
        entry.listed_rate,
    ]


def _read_entry(row: list[Any]) -> tuple[EndpointEntry, Address]:
    address, endpoint, destination, state, zone, kind, listed_rate = row
    entry = EndpointEntry(endpoint, int(destination), EndpointState(state), zone, kind, listed_rate)
    return entry, (str(address[0]), int(address[1]))


def write_attempt_result(result: AttemptResult) -> list[Any]:
    """Returns the result of an attempt as JSON values."""
    row = [
        result.status.value,
        result.is_final,
        result.is_expired,
        result.retry_after,
        result.connection_idle,
    ]
    return [*row, True] if result.is_blocked else row  # earlier versions accept only five values


def read_attempt_result(row: list[Any]) -> AttemptResult:
    """Returns the result of an attempt that a predecessor wrote.

    Raises:
        HandoverError: the row is malformed.
    """
    try:
        status, is_final, is_expired, retry_after, connection_idle, *more = row
        return AttemptResult(
            status=AttemptStatus(status),
            is_final=bool(is_final),
            is_expired=bool(is_expired),
            retry_after=int(retry_after),
            connection_idle=None if connection_idle is None else int(connection_idle),
            is_blocked=bool(more and more[0]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise HandoverError(f"attempt result {row!r} is malformed: {error!r}") from error
