"""Settings of the scheduler: message classes, tenants, endpoint kinds and limits.

All times and durations are integer microseconds. A missing setting is None or an empty mapping; the rule that
uses it defines the default. `simulator.read_settings` maps the names on the wire.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class DeliverySemantics(Enum):
    """Whether the effect of a message may occur twice. The values are the names in stored records."""

    IDEMPOTENT = "SAFE"
    DEDUPLICATED = "KEYED"  # the destination drops duplicates within a time window and a group of endpoints
    AT_MOST_ONCE = "UNSAFE"
    UNKNOWN = "UNKNOWN"  # the settings contain an unknown value; handled as AT_MOST_ONCE

    @property
    def is_repeatable(self) -> bool:
        """Whether a message that may have run can be attempted again."""
        return self in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)


@dataclass(slots=True, frozen=True)
class MessageClass:
    """Delivery settings shared by all messages of a class."""

    name: str
    semantics: DeliverySemantics
    dedup_scope: str | None  # DEDUPLICATED: group of endpoints, "all", "zone" or another value
    # DEDUPLICATED: how long duplicates are dropped, from the first attempt that may have run
    dedup_window: int | None
    latency_objective: int | None  # target age at delivery; priority rises by one weight per such period
    deadline: int | None
    priority_weight: float | None
    # Share of the priority weight left at the deadline; stored with messages, but unused.
    late_priority_weight: float | None
    is_ordered: bool  # messages of one ordering key are delivered one after the other


@dataclass(slots=True, frozen=True)
class MessageTerms:
    """Class and limits under which a message was admitted. It keeps them when the settings change."""

    message_class: MessageClass
    max_attempts: int | None


@dataclass(slots=True, frozen=True)
class Tenant:
    """Traffic quota of one tenant."""

    name: str
    quota_rate: float | None  # messages per second within its quota, over all relays
    traffic_share: float | None  # its share of all arrivals that is within its quota


@dataclass(slots=True, frozen=True)
class EndpointKind:
    """Settings shared by all endpoints of one kind."""

    name: str
    max_batch_size: int | None  # messages per call
    has_endpoint_limits: bool  # each endpoint has its own rate limit, window and circuit breaker


@dataclass(slots=True, frozen=True)
class RelaySettings:
    """All settings of the operator that the scheduler uses."""

    classes: Mapping[str, MessageClass] = field(default_factory=dict)
    tenants: Mapping[str, Tenant] = field(default_factory=dict)
    endpoint_kinds: Mapping[str, EndpointKind] = field(default_factory=dict)
    zone: str | None = None
    zone_costs: Mapping[str, float] = field(default_factory=dict)
    relay_count: int | None = None
    max_concurrent_calls: int | None = None
    max_attempts: int | None = None
    max_open_messages: int | None = None
    polls_endpoint_list: bool = False
    poll_interval: int | None = None
    can_cancel: bool = False  # unused
    can_probe: bool = False  # unused: each probe would count as a call
    sends_retry_after: bool = False  # a rejection may carry a Retry-After to the client
    max_retry_after: int | None = None
    # meaning of the rate in a list entry: "nominal", "rough" or another value
    listed_rate_kind: str | None = None
    # factor on the priority weight of a message beyond its tenant's quota
    over_quota_weight: float | None = None
    # how long an ordering key is blocked after an attempt with an unknown outcome
    ordering_cooldown: int | None = None
    slow_start_duration: int | None = None
    slow_start_initial_fraction: float | None = None
    # a recovering destination fails when it receives this multiple of its capacity ...
    overload_multiple: float | None = None
    overload_window: int | None = None  # ... within this time
    batch_interval: int | None = None  # time between two batches of events
    connection_idle_timeout: int | None = None  # an unused connection is closed after this time
    # A connection not established within this time counts as CONNECT_FAILED.
    connect_timeout: int | None = None
    awaits_final_status: bool = False  # a rejected or failed message ends only with FinalStatusReported
