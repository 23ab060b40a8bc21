"""Adapter for the simulator: converts its wire messages to events, and actions to its replies.

`python -m loftrelay.decisions.simulator` answers batches from standard input until end of file. Each
simulated relay has its own scheduler. This module maps all names on the wire, including those of the
settings, to the names used by the scheduler.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO

from loftrelay.decisions.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    RejectMessage,
    SendAttempt,
    SendProbe,
    SetTimer,
    WatchEndpointList,
    WriteLog,
)
from loftrelay.decisions.events import (
    AttemptEnded,
    AttemptStatus,
    EndpointEntry,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    MessageCancelled,
    MessageSubmitted,
    ProbeResult,
    ResponseStarted,
    TimerFired,
)
from loftrelay.decisions.scheduler import Scheduler
from loftrelay.decisions.settings import (
    DeliverySemantics,
    EndpointKind,
    MessageClass,
    RelaySettings,
    Tenant,
)

MICROSECONDS_PER_MS = 1000
MAX_QUOTED_LINE = 200  # characters of a line in an error message

STATUS_CODES: Mapping[int, AttemptStatus] = {
    200: AttemptStatus.OK,
    500: AttemptStatus.ERROR,
    503: AttemptStatus.REJECTED,
    504: AttemptStatus.TIMEOUT,
    502: AttemptStatus.CONNECT_FAILED,
    598: AttemptStatus.CONNECTION_LOST,
    499: AttemptStatus.CANCELLED,
    410: AttemptStatus.NOT_SENT,
}
SEMANTICS: Mapping[str, DeliverySemantics] = {
    "idempotent": DeliverySemantics.IDEMPOTENT,
    "deduplicated": DeliverySemantics.DEDUPLICATED,
    "at_most_once": DeliverySemantics.AT_MOST_ONCE,
}
ENDPOINT_STATES: Mapping[str, EndpointState] = {
    "IN": EndpointState.ACTIVE,
    "LAME": EndpointState.DRAINING,
    "OUT": EndpointState.REMOVED,
}
LIST_KINDS: Mapping[str, EndpointListKind] = {
    "delta": EndpointListKind.DELTA,
    "full": EndpointListKind.FULL,
    "cached": EndpointListKind.CACHED,
    "failed": EndpointListKind.FAILED,
}
# Number of values that follow the name of each wire message.
VALUE_COUNTS: Mapping[str, int] = {
    "tick": 1,
    "end": 0,
    "page": 2,
    "spawn": 3,
    "retire": 1,
    "sync": 4,
    "accept": 11,
    "streaming": 5,
    "outcome": 9,
    "vanished": 2,
    "ring": 2,
    "sampled": 5,
    "inbox": 3,
}
# Section of the configuration (None: top level), key in it, field of RelaySettings.
SETTING_KEYS: tuple[tuple[str | None, str, str], ...] = (
    (None, "zone", "zone"),
    (None, "peers_total", "relay_count"),
    (None, "weight_kind", "listed_rate_kind"),
    (None, "over_share_worth", "over_quota_weight"),
    (None, "tick", "batch_interval"),
    ("extra", "call_slots", "max_concurrent_calls"),
    ("policy_limits", "most_tries", "max_attempts"),
    ("policy_limits", "most_held", "max_open_messages"),
    ("policy_limits", "max_retry_after", "max_retry_after"),
    ("policy_limits", "conn_idle", "connection_idle_timeout"),
    ("policy_limits", "connect_timeout", "connect_timeout"),
    ("safety", "ask_every", "poll_interval"),
    ("safety", "settle_after_doubt", "ordering_cooldown"),
    ("safety", "cold", "slow_start_duration"),
    ("safety", "cold_from", "slow_start_initial_fraction"),
    ("safety", "fall_multiple", "overload_multiple"),
    ("safety", "tip_after", "overload_window"),
)
FLAG_KEYS: tuple[tuple[str, str, str], ...] = (
    ("policy_limits", "cancel", "can_cancel"),
    ("policy_limits", "probes", "can_probe"),
    ("policy_limits", "retry_after", "sends_retry_after"),
)
POLLING_DISCOVERY = "on_request"

Pages = Mapping[int, tuple[EndpointEntry, ...]]
Row = list[Any]


class WireError(Exception):
    """A line that violates the wire protocol."""


def read_settings(config: Mapping[str, Any]) -> RelaySettings:
    """Returns the settings of a configuration. Missing ones are None, and unknown ones are ignored."""
    values: dict[str, Any] = {}
    for section, key, field in SETTING_KEYS:
        values[field] = (config if section is None else _mapping_or_empty(config.get(section))).get(key)
    for section, key, field in FLAG_KEYS:
        values[field] = bool(_mapping_or_empty(config.get(section)).get(key))
    zone_costs = _mapping_or_empty(config.get("extra")).get("fee_by_zone") or []
    return RelaySettings(
        classes={row["name"]: _read_class(row) for row in config.get("classes") or []},
        tenants={row["name"]: _read_tenant(row) for row in config.get("tenants") or []},
        endpoint_kinds=_read_endpoint_kinds(config),
        zone_costs=dict(zip(config.get("localities") or [], zone_costs, strict=False)),
        polls_endpoint_list=config.get("discovery") == POLLING_DISCOVERY,
        **values,
    )


def _mapping_or_empty(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, dict) else {}


def _read_class(row: Mapping[str, Any]) -> MessageClass:
    return MessageClass(
        name=row["name"],
        semantics=SEMANTICS.get(row.get("effect", ""), DeliverySemantics.UNKNOWN),
        dedup_scope=row.get("key_scope"),
        dedup_window=row.get("window"),
        latency_objective=row.get("on_time"),
        deadline=row.get("deadline"),
        priority_weight=row.get("worth"),
        late_priority_weight=row.get("late_worth"),
        is_ordered=bool(row.get("in_order")),
    )


def _read_tenant(row: Mapping[str, Any]) -> Tenant:
    return Tenant(row["name"], row.get("allowance_per_s"), row.get("fraction"))


def _read_endpoint_kinds(config: Mapping[str, Any]) -> dict[str, EndpointKind]:
    extra = _mapping_or_empty(config.get("extra"))
    batch_sizes, own_limits = extra.get("bundle_max") or [], extra.get("own_limits") or []
    kinds = {}
    for position, name in enumerate(config.get("flavors") or []):
        batch_size = batch_sizes[position] if position < len(batch_sizes) else None
        has_own_limits = bool(own_limits[position]) if position < len(own_limits) else False
        kinds[name] = EndpointKind(name, batch_size, has_own_limits)
    return kinds


def _read_entry(row: Row) -> EndpointEntry:
    return EndpointEntry(
        endpoint=row[0],
        destination=row[4],
        state=ENDPOINT_STATES[row[3]],
        zone=row[5],
        kind=row[6],
        listed_rate=row[1],
    )


def _read_list(values: Row, pages: Pages) -> Event:
    kind = LIST_KINDS[values[1]]
    return EndpointListReceived(kind, () if kind is EndpointListKind.FAILED else pages[values[3]])


def _read_submission(values: Row, pages: Pages) -> Event:  # noqa: ARG001 - all readers have the same signature
    return MessageSubmitted(
        message_id=values[1],
        destination=values[3],
        class_name=values[10],
        tenant=values[2],
        time_remaining=values[7] or 0,
        ordering_key=values[9],
    )


def _read_outcome(values: Row, pages: Pages) -> Event:  # noqa: ARG001 - all readers have the same signature
    report, status = _mapping_or_empty(values[8]), STATUS_CODES[values[4]]
    is_rejection = status is AttemptStatus.REJECTED
    return AttemptEnded(
        message_id=values[1],
        attempt=values[6] or 0,
        endpoint=values[3],
        status=status,
        elapsed=values[5] or 0,
        is_final=bool(values[7]),
        retry_after=(values[2] or 0) * MICROSECONDS_PER_MS if is_rejection else 0,
        rate_limit=report.get("x1"),
        rate_limit_remaining=report.get("x0"),
    )


EVENT_READERS: Mapping[str, Callable[[Row, Pages], Event]] = {
    "sync": _read_list,
    "accept": _read_submission,
    "outcome": _read_outcome,
    "streaming": lambda values, _: ResponseStarted(values[1], values[2] or 0),
    "vanished": lambda values, _: MessageCancelled(values[1]),
    "ring": lambda values, _: TimerFired(values[1]),
    "sampled": lambda values, _: ProbeResult(values[3], STATUS_CODES[values[2]], values[1] or 0),
}


def write_action(relay: str, action: Action) -> Row:
    """Returns the wire reply for an action of a relay."""
    match action:
        case SendAttempt(message_id, endpoint, timeout):
            return ["submit_to", relay, message_id, endpoint, timeout]
        case SetTimer(delay, token):
            return ["set_timer", relay, delay, token]
        case FailMessage(message_id):
            return ["end_failed", relay, message_id]
        case RejectMessage(message_id, retry_after):
            return ["refuse", relay, message_id, retry_after]
        case CancelAttempt(message_id, attempt):
            return ["stop_attempt", relay, message_id, attempt]
        case SendProbe(endpoint):
            return ["touch", relay, endpoint]
        case CloseIdleConnections(endpoint):
            return ["let_go", relay, endpoint]
        case WatchEndpointList():
            return ["tail", relay, True]
        case WriteLog(text):
            return ["say_log", relay, text]


class SimulatedRelays:
    """All simulated relays of one process. They share only the pages of the endpoint list."""

    def __init__(self) -> None:
        self.schedulers: dict[str, Scheduler] = {}
        self.pages: dict[int, tuple[EndpointEntry, ...]] = {}
        self.now: int | None = None  # time of the open batch; None: no batch is open
        self.batch: dict[str, list[Event]] = {}

    def handle_line(self, value: Any) -> list[Row] | None:
        """Handles one parsed line.

        Returns:
            The lines of the reply if the line ends a batch, otherwise None.

        Raises:
            WireError: The line violates the wire protocol.
        """
        message_name, values = self._parse_message(value)
        if message_name == "tick":
            self._begin_batch(values[0])
        elif message_name == "end":
            return self._end_batch()
        else:
            try:
                self._apply(message_name, values)
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
                raise WireError(f"invalid value in {message_name!r}: {error!r}") from error
        return None

    def _parse_message(self, value: Any) -> tuple[str, Row]:
        if not isinstance(value, list) or not value or not isinstance(value[0], str):
            raise WireError("expected an array that starts with a message name")
        message_name, values = value[0], value[1:]
        if message_name not in VALUE_COUNTS:
            raise WireError(f"unknown message {message_name!r}, expected one of {', '.join(VALUE_COUNTS)}")
        if len(values) != VALUE_COUNTS[message_name]:
            raise WireError(f"{message_name!r} takes {VALUE_COUNTS[message_name]} values, got {len(values)}")
        if (message_name == "tick") == (self.now is not None):
            raise WireError(
                f"{message_name!r} is only allowed {'outside' if self.now is not None else 'inside'} a batch"
            )
        return message_name, values

    def _begin_batch(self, now: Any) -> None:
        if not isinstance(now, int) or isinstance(now, bool):
            raise WireError(f"clock value {now!r} is not an integer")
        self.now = now

    def _end_batch(self) -> list[Row]:
        assert self.now is not None
        reply: list[Row] = []
        for name, events in self.batch.items():
            actions = self.schedulers[name].handle_batch(self.now, events)
            reply.extend(write_action(name, action) for action in actions)
        self.batch, self.now = {}, None
        reply.append(["ok"])
        return reply

    def _apply(self, message_name: str, values: Row) -> None:
        if message_name == "page":
            self.pages[values[0]] = tuple(_read_entry(row) for row in values[1])
            return
        name = values[0]
        if message_name == "spawn":
            self.schedulers[name] = Scheduler(values[1], read_settings(_mapping_or_empty(values[2])))
            self.batch[name] = []
            return
        if name not in self.schedulers:
            raise WireError(f"{message_name!r} names relay {name!r}, which was not spawned")
        if message_name == "retire":
            del self.schedulers[name]
            self.batch.pop(name, None)
        elif message_name in EVENT_READERS:
            self.batch.setdefault(name, []).append(EVENT_READERS[message_name](values, self.pages))


def run(input_stream: TextIO, output_stream: TextIO, error_stream: TextIO) -> int:
    """Answers batches until the end of the input.

    Args:
        input_stream: Wire messages, one JSON array per line.
        output_stream: Receives the replies, one JSON array per line.
        error_stream: Receives one line that describes the first error.

    Returns:
        The exit status: 0, or 1 after an error.
    """
    relays = SimulatedRelays()
    line_number = 0
    for line_number, line in enumerate(input_stream, 1):
        if not line.strip():
            continue
        try:
            reply = relays.handle_line(json.loads(line))
        except (ValueError, RecursionError) as error:
            print(f"line {line_number}: invalid JSON ({error}): {_quoted(line)}", file=error_stream)
            return 1
        except WireError as error:
            print(f"line {line_number}: {error}: {_quoted(line)}", file=error_stream)
            return 1
        if reply is not None:
            output_stream.write("".join(json.dumps(row, separators=(",", ":")) + "\n" for row in reply))
            output_stream.flush()
    if relays.now is not None:
        print(f"line {line_number}: input ended inside a batch", file=error_stream)
        return 1
    return 0


def _quoted(line: str) -> str:
    return line.strip()[:MAX_QUOTED_LINE]


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8", errors="surrogateescape")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
