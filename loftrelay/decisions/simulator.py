"""Carries the simulator's wire to the interface and back; one Brain per instance. Decides nothing."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
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
from loftrelay.decisions.settings import DeliverySemantics, EndpointKind, MessageClass, RelaySettings, Tenant

RESULTS = {
    200: AttemptStatus.OK,
    500: AttemptStatus.ERROR,
    503: AttemptStatus.REJECTED,
    504: AttemptStatus.TIMEOUT,
    502: AttemptStatus.CONNECT_FAILED,
    598: AttemptStatus.CONNECTION_LOST,
    499: AttemptStatus.CANCELLED,
    410: AttemptStatus.NOT_SENT,
}
EFFECTS = {
    "idempotent": DeliverySemantics.IDEMPOTENT,
    "deduplicated": DeliverySemantics.DEDUPLICATED,
    "at_most_once": DeliverySemantics.AT_MOST_ONCE,
}
STATES = {
    "IN": EndpointState.ACTIVE,
    "LAME": EndpointState.DRAINING,
    "OUT": EndpointState.REMOVED,
}
FORMS = {
    "delta": EndpointListKind.DELTA,
    "full": EndpointListKind.FULL,
    "cached": EndpointListKind.CACHED,
    "failed": EndpointListKind.FAILED,
}
# Values that follow the name of each message.
COUNTS = {
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


class WireError(Exception):
    """A line that breaks the protocol."""


def _mapping(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def read_settings(config: dict[str, Any]) -> RelaySettings:
    """The told settings in the interface's terms; absent ones become None, unknown ones are passed over."""
    extra, safety = _mapping(config.get("extra")), _mapping(config.get("safety"))
    limits = _mapping(config.get("policy_limits"))
    names = config.get("flavors") or []
    bundles, apart = extra.get("bundle_max") or [], extra.get("own_limits") or []
    kinds = {
        name: EndpointKind(
            name,
            bundles[i] if i < len(bundles) else None,
            bool(apart[i]) if i < len(apart) else False,
        )
        for i, name in enumerate(names)
    }
    classes = {
        c["name"]: MessageClass(
            name=c["name"],
            semantics=EFFECTS.get(c.get("effect"), DeliverySemantics.UNKNOWN),
            dedup_scope=c.get("key_scope"),
            dedup_window=c.get("window"),
            latency_objective=c.get("on_time"),
            deadline=c.get("deadline"),
            priority_weight=c.get("worth"),
            late_priority_weight=c.get("late_worth"),
            is_ordered=bool(c.get("in_order")),
        )
        for c in config.get("classes") or []
    }
    tenants = {
        t["name"]: Tenant(t["name"], t.get("allowance_per_s"), t.get("fraction"))
        for t in config.get("tenants") or []
    }
    return RelaySettings(
        classes=classes,
        tenants=tenants,
        endpoint_kinds=kinds,
        zone=config.get("zone"),
        zone_costs=dict(zip(config.get("localities") or [], extra.get("fee_by_zone") or [], strict=False)),
        relay_count=config.get("peers_total"),
        max_concurrent_calls=extra.get("call_slots"),
        max_attempts=limits.get("most_tries"),
        max_open_messages=limits.get("most_held"),
        polls_endpoint_list=config.get("discovery") == "on_request",
        poll_interval=safety.get("ask_every"),
        can_cancel=bool(limits.get("cancel")),
        can_probe=bool(limits.get("probes")),
        sends_retry_after=bool(limits.get("retry_after")),
        max_retry_after=limits.get("max_retry_after"),
        listed_rate_kind=config.get("weight_kind"),
        over_quota_weight=config.get("over_share_worth"),
        ordering_cooldown=safety.get("settle_after_doubt"),
        slow_start_duration=safety.get("cold"),
        slow_start_initial_fraction=safety.get("cold_from"),
        overload_multiple=safety.get("fall_multiple"),
        overload_window=safety.get("tip_after"),
        batch_interval=config.get("tick"),
        connection_idle_timeout=limits.get("conn_idle"),
        connect_timeout=limits.get("connect_timeout"),
    )


def _entry(row: list[Any]) -> EndpointEntry:
    return EndpointEntry(row[0], row[4], STATES[row[3]], row[5], row[6], row[1])


def _sync(v: list[Any], pages: dict[int, tuple[EndpointEntry, ...]]) -> Event:
    form = FORMS[v[1]]
    return EndpointListReceived(form, () if form is EndpointListKind.FAILED else pages[v[3]])


def _accept(v: list[Any], pages: dict[int, tuple[EndpointEntry, ...]]) -> Event:
    return MessageSubmitted(v[1], v[3], v[10], v[2], v[7] or 0, v[9])


def _outcome(v: list[Any], pages: dict[int, tuple[EndpointEntry, ...]]) -> Event:
    report, result = _mapping(v[8]), RESULTS[v[4]]
    wait = (v[2] or 0) * 1000 if result is AttemptStatus.REJECTED else 0
    return AttemptEnded(
        v[1], v[6] or 0, v[3], result, v[5] or 0, bool(v[7]), wait, report.get("x1"), report.get("x0")
    )


EVENTS: dict[str, Callable[[list[Any], dict[int, tuple[EndpointEntry, ...]]], Event]] = {
    "sync": _sync,
    "accept": _accept,
    "outcome": _outcome,
    "streaming": lambda v, _: ResponseStarted(v[1], v[2] or 0),
    "vanished": lambda v, _: MessageCancelled(v[1]),
    "ring": lambda v, _: TimerFired(v[1]),
    "sampled": lambda v, _: ProbeResult(v[3], RESULTS[v[2]], v[1] or 0),
}


def write_action(name: str, action: Action) -> list[Any]:
    """One reply line for an action of the instance of that name."""
    match action:
        case SendAttempt(message, endpoint, timeout):
            return ["submit_to", name, message, endpoint, timeout]
        case SetTimer(delay, token):
            return ["set_timer", name, delay, token]
        case FailMessage(message):
            return ["end_failed", name, message]
        case RejectMessage(message, retry_in):
            return ["refuse", name, message, retry_in]
        case CancelAttempt(message, attempt):
            return ["stop_attempt", name, message, attempt]
        case SendProbe(endpoint):
            return ["touch", name, endpoint]
        case CloseIdleConnections(endpoint):
            return ["let_go", name, endpoint]
        case WatchEndpointList():
            return ["tail", name, True]
        case WriteLog(text):
            return ["say_log", name, text]


class Adapter:
    """All instances of one process. They share the parsed list pages and nothing else."""

    def __init__(self) -> None:
        self.brains: dict[str, Scheduler] = {}
        self.pages: dict[int, tuple[EndpointEntry, ...]] = {}
        self.now: int | None = None
        self.batch: dict[str, list[Event]] = {}

    def read(self, value: Any) -> list[list[Any]] | None:
        """Takes one parsed line; gives the reply's lines when it closes a batch."""
        if not isinstance(value, list) or not value or not isinstance(value[0], str):
            raise WireError("not an array that opens with a name")
        word, v = value[0], value[1:]
        if word not in COUNTS:
            raise WireError(f"unknown message {word!r}")
        if len(v) != COUNTS[word]:
            raise WireError(f"{word!r} takes {COUNTS[word]} values, got {len(v)}")
        if (word == "tick") == (self.now is not None):
            raise WireError(f"{word!r} is out of place")
        if word == "tick":
            if not isinstance(v[0], int) or isinstance(v[0], bool):
                raise WireError("the clock is not a whole number")
            self.now = v[0]
        elif word == "end":
            return self._close()
        else:
            try:
                self._take(word, v)
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
                raise WireError(f"bad value in {word!r}: {error!r}") from error
        return None

    def _take(self, word: str, v: list[Any]) -> None:
        if word == "page":
            self.pages[v[0]] = tuple(_entry(row) for row in v[1])
            return
        name = v[0]
        if word == "spawn":
            self.brains[name] = Scheduler(v[1], read_settings(_mapping(v[2])))
            self.batch[name] = []
            return
        if name not in self.brains:
            raise WireError(f"{word!r} for an instance never spawned: {name!r}")
        if word == "retire":
            del self.brains[name]
            self.batch.pop(name, None)
        elif word in EVENTS:
            self.batch.setdefault(name, []).append(EVENTS[word](v, self.pages))

    def _close(self) -> list[list[Any]]:
        assert self.now is not None
        reply: list[list[Any]] = []
        for name, events in self.batch.items():
            actions = self.brains[name].handle_batch(self.now, events)
            reply.extend(write_action(name, action) for action in actions)
        self.batch, self.now = {}, None
        reply.append(["ok"])
        return reply


def run(source: TextIO, sink: TextIO, complaints: TextIO) -> int:
    """Answers batches until the input ends. Gives the exit status."""
    adapter = Adapter()
    number = 0
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = adapter.read(json.loads(line))
        except (ValueError, RecursionError) as error:
            print(f"line {number}: not JSON ({error}): {line.strip()[:200]}", file=complaints)
            return 1
        except WireError as error:
            print(f"line {number}: {error}: {line.strip()[:200]}", file=complaints)
            return 1
        if reply is not None:
            sink.write("".join(json.dumps(item, separators=(",", ":")) + "\n" for item in reply))
            sink.flush()
    if adapter.now is not None:
        print(f"line {number}: the input ended inside a batch", file=complaints)
        return 1
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8", errors="surrogateescape")  # type: ignore[union-attr]
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
