"""Stored formats of the events and enums in a snapshot. See `snapshot_format`."""

from __future__ import annotations

from collections.abc import Mapping

from loftrelay.decisions import events, settings
from loftrelay.decisions.snapshot_format import EnumFormat, RecordFormat

EVENT_RECORDS: Mapping[str, RecordFormat] = {
    "endpoint_entry": RecordFormat(
        events.EndpointEntry,
        {
            "endpoint": "str",
            "destination": "int",
            "state": "EndpointState",
            "zone": "str | None",
            "kind": "str | None",
            "listed_rate": "float | None",
        },
    ),
    "endpoint_list_received": RecordFormat(
        events.EndpointListReceived,
        {
            "kind": "EndpointListKind",
            "entries": "tuple[EndpointEntry, ...]",
        },
    ),
    "message_submitted": RecordFormat(
        events.MessageSubmitted,
        {
            "message_id": "str",
            "destination": "int",
            "class_name": "str",
            "tenant": "str | None",
            "time_remaining": "int",
            "ordering_key": "str | None",
            "terms": "MessageTerms | None",
        },
    ),
    "message_recovered": RecordFormat(
        events.MessageRecovered,
        {
            "submission": "MessageSubmitted",
            "age": "int",
            "attempts": "int",
            "first_attempt_age": "int | None",
            "first_attempt_endpoint": "str | None",
            "is_ended": "bool",
        },
        attributes={
            "first_attempt_age": "first_uncertain_attempt_age",
            "first_attempt_endpoint": "first_uncertain_attempt_endpoint",
        },
    ),
    "ordering_key_cooldown": RecordFormat(
        events.OrderingKeyCooldown,
        {
            "ordering_key": "str",
            "remaining": "int",
        },
    ),
    "final_status_reported": RecordFormat(
        events.FinalStatusReported,
        {
            "message_id": "str",
        },
    ),
    "outcome_disputed": RecordFormat(
        events.OutcomeDisputed,
        {
            "message_id": "str",
            "endpoint": "str",
            "attempt_age": "int",
        },
    ),
    "attempt_ended": RecordFormat(
        events.AttemptEnded,
        {
            "message_id": "str",
            "attempt": "int",
            "endpoint": "str",
            "status": "AttemptStatus",
            "elapsed": "int",
            "is_final": "bool",
            "retry_after": "int",
            "rate_limit": "float | None",
            "rate_limit_remaining": "float | None",
            "connection_idle": "int | None",
            "is_expired": "bool",
            "postponed_for": "int",
            "is_late": "bool",
        },
    ),
    "response_started": RecordFormat(
        events.ResponseStarted,
        {
            "message_id": "str",
            "attempt": "int",
        },
    ),
    "message_cancelled": RecordFormat(
        events.MessageCancelled,
        {
            "message_id": "str",
        },
    ),
    "timer_fired": RecordFormat(
        events.TimerFired,
        {
            "token": "int",
        },
    ),
    "probe_result": RecordFormat(
        events.ProbeResult,
        {
            "endpoint": "str",
            "status": "AttemptStatus",
            "elapsed": "int",
        },
    ),
    "endpoint_disabled": RecordFormat(
        events.EndpointDisabled,
        {
            "endpoint": "str",
        },
    ),
    "endpoint_enabled": RecordFormat(
        events.EndpointEnabled,
        {
            "endpoint": "str",
        },
    ),
    "destinations_released": RecordFormat(
        events.DestinationsReleased,
        {
            "destinations": "tuple[int, ...]",
        },
    ),
    "settings_changed": RecordFormat(
        events.SettingsChanged,
        {
            "settings": "RelaySettings",
        },
    ),
}

ENUMS: Mapping[str, EnumFormat] = {
    "semantics": EnumFormat(
        settings.DeliverySemantics,
        {
            "IDEMPOTENT": "IDEMPOTENT",
            "DEDUPLICATED": "DEDUPLICATED",
            "AT_MOST_ONCE": "AT_MOST_ONCE",
            "UNKNOWN": "UNKNOWN",
        },
    ),
    "attempt_status": EnumFormat(
        events.AttemptStatus,
        {
            "OK": "OK",
            "ERROR": "ERROR",
            "REJECTED": "REJECTED",
            "TIMEOUT": "TIMEOUT",
            "CONNECT_FAILED": "CONNECT_FAILED",
            "CONNECTION_LOST": "CONNECTION_LOST",
            "MALFORMED_RESPONSE": "MALFORMED_RESPONSE",
            "CANCELLED": "CANCELLED",
            "NOT_SENT": "NOT_SENT",
        },
    ),
    "endpoint_state": EnumFormat(
        events.EndpointState,
        {
            "ACTIVE": "ACTIVE",
            "DRAINING": "DRAINING",
            "REMOVED": "REMOVED",
        },
    ),
    "endpoint_list_kind": EnumFormat(
        events.EndpointListKind,
        {
            "DELTA": "DELTA",
            "FULL": "FULL",
            "CACHED": "CACHED",
            "FAILED": "FAILED",
        },
    ),
}
