"""Runs the scheduler of an earlier commit, with its own types, in place of the current scheduler.

Up to commit 32c0038 the package was `mulleinlead`, with other names for the same events, actions and
settings. The tables below map them as far as `benchmarks.fleetmodel` uses them.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import fields
from pathlib import Path
from types import ModuleType
from typing import Any, Protocol

from benchmarks.process import extract_program
from loftrelay.decisions.actions import Action, FailMessage, RejectMessage, SendAttempt, SetTimer
from loftrelay.decisions.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListReceived,
    Event,
    MessageSubmitted,
    TimerFired,
)
from loftrelay.decisions.settings import EndpointKind, MessageClass, RelaySettings, Tenant

PACKAGE = "mulleinlead"
# Current field name -> earlier field name. Fields that are not listed have the same name in both.
SETTING_FIELDS = {
    "endpoint_kinds": "kinds",
    "zone_costs": "zone_fees",
    "relay_count": "instances",
    "max_concurrent_calls": "slots",
    "max_open_messages": "max_held",
    "polls_endpoint_list": "list_on_request",
    "poll_interval": "ask_every",
    "sends_retry_after": "can_advise",
    "max_retry_after": "max_advice",
    "listed_rate_kind": "told_rates",
    "over_quota_weight": "over_share_worth",
    "ordering_cooldown": "rest_after_doubt",
    "slow_start_duration": "cold",
    "slow_start_initial_fraction": "cold_from",
    "overload_multiple": "fall_multiple",
    "overload_window": "tip_after",
    "batch_interval": "tick",
    "connection_idle_timeout": "idle_limit",
    "awaits_final_status": "ends_by_notice",
}
CLASS_FIELDS = {
    "semantics": "effect",
    "dedup_scope": "scope",
    "dedup_window": "window",
    "latency_objective": "aim",
    "priority_weight": "worth",
    "late_priority_weight": "late_worth",
    "is_ordered": "in_order",
}
TENANT_FIELDS = {"quota_rate": "allowance", "traffic_share": "fraction"}
KIND_FIELDS = {"max_batch_size": "bundle_max", "has_endpoint_limits": "routes_apart"}
ENTRY_FIELDS = {"listed_rate": "rate"}
SUBMISSION_FIELDS = {
    "message_id": "message",
    "time_remaining": "remaining",
    "ordering_key": "order_key",
}
OUTCOME_FIELDS = {
    "message_id": "message",
    "status": "result",
    "is_final": "over",
    "retry_after": "wait",
    "rate_limit": "limit",
    "rate_limit_remaining": "room",
    "connection_idle": "idle",
    "is_expired": "expired",
    "postponed_for": "postponed",
    "is_late": "late",
}
# The values of the other enums are the earlier member names; list kinds are mapped by member name.
LIST_KINDS = {"DELTA": "CHANGES", "FULL": "FULL", "CACHED": "CACHED", "FAILED": "FAILED"}


class EarlierScheduler(Protocol):
    """Interface of the earlier scheduler."""

    def handle(self, now: int, events: Iterable[Any]) -> list[Any]:
        """Handles a batch of events and returns the actions, both in the earlier types."""


class EarlierDecisions:
    """Scheduler of an earlier commit for one relay, with the events and actions of the current one."""

    def __init__(self, brain: ModuleType, interface: ModuleType, seed: int, settings: RelaySettings) -> None:
        self.interface = interface
        self.scheduler: EarlierScheduler = brain.Brain(seed, self._settings(settings))

    def handle_batch(self, now: int, events: Iterable[Event]) -> list[Action]:
        """Handles a batch like `Scheduler.handle_batch`; leaves out actions that the fleet model ignores."""
        actions = self.scheduler.handle(now, [self._event(event) for event in events])
        return [action for earlier in actions if (action := self._action(earlier)) is not None]

    def _settings(self, settings: RelaySettings) -> Any:
        return self._convert(
            settings,
            "Settings",
            SETTING_FIELDS,
            classes={name: self._class(row) for name, row in settings.classes.items()},
            tenants={name: self._tenant(row) for name, row in settings.tenants.items()},
            kinds={name: self._kind(row) for name, row in settings.endpoint_kinds.items()},
        )

    def _class(self, row: MessageClass) -> Any:
        return self._convert(
            row, "MessageClass", CLASS_FIELDS, effect=self.interface.Effect[row.semantics.value]
        )

    def _tenant(self, row: Tenant) -> Any:
        return self._convert(row, "Tenant", TENANT_FIELDS)

    def _kind(self, row: EndpointKind) -> Any:
        return self._convert(row, "Kind", KIND_FIELDS)

    def _entry(self, row: EndpointEntry) -> Any:
        return self._convert(row, "Entry", ENTRY_FIELDS, state=self.interface.State[row.state.value])

    def _event(self, event: Event) -> Any:
        match event:
            case EndpointListReceived(kind, entries):
                form = self.interface.Form[LIST_KINDS[kind.name]]
                return self.interface.Listing(form, tuple(self._entry(entry) for entry in entries))
            case MessageSubmitted():
                return self._convert(event, "Submit", SUBMISSION_FIELDS)
            case AttemptEnded():
                result = self.interface.Result[event.status.value]
                return self._convert(event, "Outcome", OUTCOME_FIELDS, result=result)
            case TimerFired(token):
                return self.interface.Timer(token)
        raise TypeError(
            f"cannot convert event {type(event).__name__}; only EndpointListReceived, MessageSubmitted,"
            " AttemptEnded and TimerFired are supported"
        )

    def _action(self, action: Any) -> Action | None:
        """Returns the current form of an earlier action; None for one that the fleet model ignores."""
        match type(action).__name__:
            case "Send":
                return SendAttempt(action.message, action.endpoint, action.timeout)
            case "SetTimer":
                return SetTimer(action.delay, action.token)
            case "Refuse":
                return RejectMessage(action.message, action.retry_in)
            case "Fail":
                return FailMessage(action.message)
        return None

    def _convert(self, row: Any, type_name: str, names: Mapping[str, str], **values: Any) -> Any:
        """Returns the earlier form of a record, without the fields that the earlier type lacks.

        Args:
            row: The current record.
            type_name: Name of the earlier type.
            names: Current field name -> earlier field name, where the two differ.
            values: Values of earlier fields that are not copied unchanged.
        """
        earlier_type = getattr(self.interface, type_name)
        known = {field.name for field in fields(earlier_type)}
        copied = {names.get(field.name, field.name): getattr(row, field.name) for field in fields(row)}
        return earlier_type(**{name: value for name, value in (copied | values).items() if name in known})


def load_earlier_decisions(
    folder: Path, commit: str
) -> Callable[[int, RelaySettings], EarlierDecisions] | None:
    """Loads the scheduler of commit 32c0038 or an earlier one.

    Args:
        folder: Folder into which the earlier program is extracted.
        commit: The commit.

    Returns:
        A factory that creates the scheduler of a relay from its seed and settings; None if the git history is
        not available.
    """
    if extract_program(commit, folder) is None:
        return None
    for name in [name for name in sys.modules if name.partition(".")[0] == PACKAGE]:
        del sys.modules[name]  # loaded from another commit
    sys.path.insert(0, str(folder))
    try:
        interface = importlib.import_module(f"{PACKAGE}.interface")
        brain = importlib.import_module(f"{PACKAGE}.brain")
    finally:
        sys.path.remove(str(folder))
    return lambda seed, settings: EarlierDecisions(brain, interface, seed, settings)
