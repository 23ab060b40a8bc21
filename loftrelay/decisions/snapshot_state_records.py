"""Stored formats of the state and settings records in a snapshot. See `snapshot_format`."""

from __future__ import annotations

from collections.abc import Mapping

from loftrelay.decisions import entities, limits, settings
from loftrelay.decisions.call_limiter import CallLimiter, CallLimiterSnapshot
from loftrelay.decisions.circuit_breaker import CircuitBreaker
from loftrelay.decisions.concurrency import ConcurrencyWindow
from loftrelay.decisions.estimators import CallTimes, DecayingRate
from loftrelay.decisions.rate_limit import RateLimiter
from loftrelay.decisions.slow_start import SlowStart
from loftrelay.decisions.snapshot_format import RecordFormat
from loftrelay.decisions.state import DecisionState, IdleResetCounts, TokenBucket

STATE_RECORDS: Mapping[str, RecordFormat] = {
    "state": RecordFormat(
        DecisionState,
        {
            "settings": "RelaySettings",
            "limits": "Limits",
            "random": "random.Random",
            "now": "int",
            "started_at": "int",
            "actions": "list[Action]",
            "destinations": "dict[int, Destination]",
            "endpoints": "dict[str, Endpoint]",
            "removed_endpoints": "dict[str, Endpoint]",
            "disabled_endpoints": "set[str]",
            "hibernated": "dict[int, HibernatedDestination]",
            "hibernated_endpoints": "dict[str, int]",
            "kind_stats": "dict[str | None, EndpointKindStats]",
            "messages": "dict[str, OpenMessage]",
            "ordering_keys": "dict[str, OrderingKey]",
            "unreported": "dict[str, OpenMessage]",
            "backlog": "dict[int, Destination]",
            "destinations_to_check": "dict[int, Destination]",
            "arrivals": "DecayingRate",
            "quota_buckets": "dict[str, TokenBucket]",
            "idle_resets": "dict[int, IdleResetCounts]",
            "calls_in_flight": "int",
            "timers": "list[tuple[int, int, TimerSubject]]",
            "timer_sequence": "int",
            "timer_set_for": "int",
            "next_batch_at": "int",
            "watch_at": "int",
            "poll_failures": "int",
        },
        left_out=("random", "actions"),
    ),
    "limits": RecordFormat(
        limits.Limits,
        {
            "max_concurrent_calls": "int",
            "max_open_messages": "int",
            "relay_count": "int",
            "slow_start_duration": "int",
            "slow_start_initial_fraction": "float",
            "overload_multiple": "float",
            "overload_window": "int",
            "connection_idle_timeout": "int",
        },
    ),
    "settings": RecordFormat(
        settings.RelaySettings,
        {
            "classes": "Mapping[str, MessageClass]",
            "tenants": "Mapping[str, Tenant]",
            "endpoint_kinds": "Mapping[str, EndpointKind]",
            "zone": "str | None",
            "zone_costs": "Mapping[str, float]",
            "relay_count": "int | None",
            "max_concurrent_calls": "int | None",
            "max_attempts": "int | None",
            "max_open_messages": "int | None",
            "polls_endpoint_list": "bool",
            "poll_interval": "int | None",
            "can_cancel": "bool",
            "can_probe": "bool",
            "sends_retry_after": "bool",
            "max_retry_after": "int | None",
            "listed_rate_kind": "str | None",
            "over_quota_weight": "float | None",
            "ordering_cooldown": "int | None",
            "slow_start_duration": "int | None",
            "slow_start_initial_fraction": "float | None",
            "overload_multiple": "float | None",
            "overload_window": "int | None",
            "batch_interval": "int | None",
            "connection_idle_timeout": "int | None",
            "connect_timeout": "int | None",
            "awaits_final_status": "bool",
        },
    ),
    "message_class": RecordFormat(
        settings.MessageClass,
        {
            "name": "str",
            "semantics": "DeliverySemantics",
            "dedup_scope": "str | None",
            "dedup_window": "int | None",
            "latency_objective": "int | None",
            "deadline": "int | None",
            "priority_weight": "float | None",
            "late_priority_weight": "float | None",
            "is_ordered": "bool",
        },
    ),
    "message_terms": RecordFormat(
        settings.MessageTerms,
        {
            "message_class": "MessageClass",
            "max_attempts": "int | None",
        },
    ),
    "tenant": RecordFormat(
        settings.Tenant,
        {
            "name": "str",
            "quota_rate": "float | None",
            "traffic_share": "float | None",
        },
    ),
    "endpoint_kind": RecordFormat(
        settings.EndpointKind,
        {
            "name": "str",
            "max_batch_size": "int | None",
            "has_endpoint_limits": "bool",
        },
    ),
    "destination": RecordFormat(
        entities.Destination,
        {
            "number": "int",
            "gate": "Gate",
            "endpoints": "list[Endpoint]",
            "waiting": "dict[str, OpenMessage]",
            "in_flight": "int",
            "demand": "DecayingRate",
            "unfinished": "int",
            "cooldown_until": "int",
        },
        attributes={"gate": "call_limiter"},
    ),
    "endpoint": RecordFormat(
        entities.Endpoint,
        {
            "name": "str",
            "destination": "Destination",
            "gate": "Gate",
            "state": "EndpointState",
            "zone": "str | None",
            "kind_stats": "EndpointKindStats",
            "max_batch_size": "int",
            "zone_cost": "float",
            "call_rate": "DecayingRate",
            "in_flight": "int",
            "consecutive_failures": "int",
            "avoid_until": "int",
            "usual_call_time": "float",
            "listed_rate": "float",
            "last_used_at": "int",
            "is_disabled": "bool",
        },
        attributes={"gate": "call_limiter"},
    ),
    "endpoint_kind_stats": RecordFormat(
        entities.EndpointKindStats,
        {
            "connection_limit_until": "int",
            "call_times": "CallTimes",
            "success_rate_after_failure": "list[float]",
        },
    ),
    "call": RecordFormat(
        entities.Call,
        {
            "endpoint": "Endpoint",
            "sent_at": "int",
            "connection_idle": "int",
            "is_cut_short": "bool",
            "pending_messages": "int",
            "is_evaluated": "bool",
            "uncertain_keys": "list[OrderingKey]",
        },
    ),
    "ordering_key": RecordFormat(
        entities.OrderingKey,
        {
            "name": "str",
            "pending": "deque[OpenMessage]",
            "cooldown_until": "int",
        },
    ),
    "message": RecordFormat(
        entities.OpenMessage,
        {
            "name": "str",
            "message_class": "MessageClass",
            "destination": "Destination",
            "priority_weight": "float",
            "admitted_at": "int",
            "deadline": "int",
            "ordering_key": "OrderingKey | None",
            "max_attempts": "int",
            "attempts": "int",
            "not_before": "int",
            "call": "Call | None",
            "is_ended": "bool",
            "first_attempt_at": "int | None",
            "first_attempt_endpoint": "Endpoint | None",
        },
        attributes={
            "first_attempt_at": "first_uncertain_attempt_at",
            "first_attempt_endpoint": "first_uncertain_attempt_endpoint",
        },
    ),
    "hibernated_destination": RecordFormat(
        entities.HibernatedDestination,
        {
            "number": "int",
            "gate": "GateSnapshot | None",
            "demand": "float",
            "demand_updated_at": "int",
            "endpoints": "dict[str, HibernatedEndpoint]",
        },
        attributes={"gate": "call_limiter"},
    ),
    "hibernated_endpoint": RecordFormat(
        entities.HibernatedEndpoint,
        {
            "gate": "GateSnapshot | None",
            "consecutive_failures": "int",
            "avoid_until": "int",
        },
        attributes={"gate": "call_limiter"},
    ),
    "gate": RecordFormat(
        CallLimiter,
        {
            "window": "ConcurrencyWindow",
            "rate_limiter": "RateLimiter",
            "breaker": "CircuitBreaker",
            "slow_start": "SlowStart",
            "retry_after_until": "int",
            "next_attempt_at": "int",
            "call_times": "CallTimes",
            "listed_rate": "float",
        },
    ),
    "gate_snapshot": RecordFormat(
        CallLimiterSnapshot,
        {
            "window_size": "float",
            "retry_after_until": "int",
            "next_attempt_at": "int",
            "consecutive_failures": "int",
            "failing_since": "int",
            "has_only_rejections": "bool",
            "error_rate": "float",
            "failed_at": "int",
            "last_was_rejection": "bool",
            "is_open": "bool",
            "slow_start_at": "int | None",
            "connection_failures": "int",
            "calls_per_second": "float",
            "failure_rate_after_failure": "float",
            "jitter": "float",
            "last_call_at": "int",
            "recent_calls": "tuple[tuple[int, float], ...]",
        },
    ),
    "window": RecordFormat(
        ConcurrencyWindow,
        {
            "size": "float",
            "in_flight": "int",
            "narrowed_at": "int",
        },
    ),
    "rate_limiter": RecordFormat(
        RateLimiter,
        {
            "calls_per_second": "float",
            "failure_rate_after_failure": "float",
            "jitter": "float",
            "last_call_at": "int",
        },
    ),
    "circuit_breaker": RecordFormat(
        CircuitBreaker,
        {
            "consecutive_failures": "int",
            "failing_since": "int",
            "has_only_rejections": "bool",
            "error_rate": "float",
            "failed_at": "int",
            "last_was_rejection": "bool",
            "is_open": "bool",
            "connection_failures": "int",
        },
    ),
    "slow_start": RecordFormat(
        SlowStart,
        {
            "started_at": "int | None",
            "calls": "list[RecentCall] | None",
        },
    ),
    "call_times": RecordFormat(
        CallTimes,
        {
            "smoothed": "float",
            "deviation": "float",
            "long_term": "float",
        },
    ),
    "decaying_rate": RecordFormat(
        DecayingRate,
        {
            "span_us": "int",
            "value": "float",
            "updated_at": "int",
        },
    ),
    "token_bucket": RecordFormat(
        TokenBucket,
        {
            "tokens": "float",
            "updated_at": "int",
        },
    ),
    "idle_reset_counts": RecordFormat(
        IdleResetCounts,
        {
            "calls": "DecayingRate",
            "resets": "DecayingRate",
        },
    ),
}
