"""What one process tells the next beside the journal, as JSON and back. It does no input or output."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from loftrelay.decisions import snapshot
from loftrelay.decisions.events import AttemptStatus, EndpointEntry, EndpointState, Event
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.net.address import Address
from loftrelay.relay.ports import AttemptResult


class HandoverError(ValueError):
    """What was told can't be used."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    scheduler: Scheduler
    events: list[Event]  # that it has not seen yet
    entries: list[tuple[EndpointEntry, Address]]  # the list of hosts
    revision: int | None  # of that list
    discovery: Address
    destinations: set[int]  # that a list has named
    sent_at: dict[str, int]  # of attempts that are out, on the clock that all processes share
    retired_classes: dict[str, tuple[tuple[Any, ...], int]]  # classes that are taken for a while yet
    is_subscription: bool = (
        False  # the list names the destinations alone that the relay served, as of slice_revision
    )
    subscription_revision: int | None = None


def write_state(
    module: Scheduler,
    events: Iterable[Event],
    entries: Iterable[tuple[EndpointEntry, Address]],
    revision: int | None,
    discovery: Address,
    destinations: Iterable[int],
    sent_at: Mapping[str, int],
    dropped: Mapping[str, tuple[tuple[Any, ...], int]],
    sliced: bool = False,
) -> dict[str, Any]:
    """`sliced`: the list is a slice. Whoever follows without registries then asks for the whole list, also a
    program that knows of no slices: no revision is told it.
    """
    return {
        "module": snapshot.write(module, events),
        "list": [
            [list(address), e.endpoint, e.destination, e.state.value, e.zone, e.kind, e.listed_rate]
            for e, address in entries
        ],
        "revision": None if sliced else revision,
        **({"slice": {"revision": revision}} if sliced else {}),
        "discovery": list(discovery),
        "destinations": sorted(destinations),
        "sent_at": dict(sent_at),
        "dropped": {name: [list(packed), until] for name, (packed, until) in dropped.items()},
    }


def read_state(told: Mapping[str, Any], seed: int) -> HandoverState:
    """Raises HandoverError."""
    try:
        module, events = snapshot.read(told["module"], seed)
        host, port = told["discovery"]
        return HandoverState(
            module,
            events,
            [
                (
                    EndpointEntry(name, int(cell), EndpointState(state), zone, kind, rate),
                    (str(at[0]), int(at[1])),
                )
                for at, name, cell, state, zone, kind, rate in told["list"]
            ],
            told["revision"],
            (str(host), int(port)),
            set(map(int, told["destinations"])),
            {str(name): int(at) for name, at in told["sent_at"].items()},
            {str(name): (tuple(packed), int(until)) for name, (packed, until) in told["dropped"].items()},
            "slice" in told,
            told["slice"]["revision"] if "slice" in told else None,
        )
    except (snapshot.SnapshotError, KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
        raise HandoverError(f"what was handed over can't be used: {error!r}") from error


def write_attempt_result(ending: AttemptResult) -> list[Any]:
    row = [
        ending.status.value,
        ending.is_final,
        ending.is_expired,
        ending.retry_after,
        ending.connection_idle,
    ]
    return [*row, True] if ending.is_blocked else row  # only then: earlier programs read five


def read_attempt_result(told: list[Any]) -> AttemptResult:
    """Raises HandoverError."""
    try:
        result, over, expired, wait, idle, *more = told
        idle = None if idle is None else int(idle)
        held = bool(more and more[0])
        return AttemptResult(
            AttemptStatus(result), bool(over), bool(expired), int(wait), idle, is_blocked=held
        )
    except (KeyError, TypeError, ValueError) as error:
        raise HandoverError(f"an outcome can't be read: {error!r}") from error
