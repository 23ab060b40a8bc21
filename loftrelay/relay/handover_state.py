"""What one process hands to the next beside the journal, as JSON and back. No input or output.

The names in the JSON are mapped to the fields of HandoverState here.
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
    """What was handed over can't be used."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state of a predecessor."""

    scheduler: Scheduler
    events: list[Event]  # that the scheduler has not seen yet
    entries: list[tuple[EndpointEntry, Address]]  # the endpoint list
    revision: int | None  # of that list
    discovery: Address
    destinations: set[int]  # that a list has named
    sent_at: dict[str, int]  # of attempts in flight, by message, in microseconds of the shared clock
    retired_classes: dict[str, tuple[PackedTerms, int]]  # classes still accepted, and until when
    is_subscription: bool = False  # the list names only the destinations that the predecessor served
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

    The revision of a subscription stands apart: a successor without registries then asks for the full list.
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

    Raises:
        HandoverError: it is malformed, or was written by a program of another version.
    """
    try:
        return _read_state(state, seed)
    except (snapshot.SnapshotError, *MALFORMED) as error:
        raise HandoverError(f"what was handed over can't be used: {error!r}") from error


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
    """Returns the outcome of an attempt as JSON values."""
    row = [
        result.status.value,
        result.is_final,
        result.is_expired,
        result.retry_after,
        result.connection_idle,
    ]
    return [*row, True] if result.is_blocked else row  # earlier programs read five values


def read_attempt_result(row: list[Any]) -> AttemptResult:
    """Returns the outcome of an attempt that a predecessor wrote.

    Raises:
        HandoverError: it is malformed.
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
        raise HandoverError(f"an outcome can't be read: {error!r}") from error
