"""Settings of the decisions: message classes, tenants, kinds of endpoints and limits.

All times and durations are integer microseconds. A setting that was not given is None, or an empty mapping;
the rule that uses it has the default. The names on the wire are mapped in `simulator.read_settings`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class DeliverySemantics(Enum):
    """Whether the effect of a message may take place twice. Values are the names in stored records."""

    IDEMPOTENT = "SAFE"
    DEDUPLICATED = "KEYED"  # the destination drops repeats for a while, inside a group of endpoints
    AT_MOST_ONCE = "UNSAFE"
    UNKNOWN = "UNKNOWN"  # the settings used an unknown word; handled as AT_MOST_ONCE

    @property
    def is_repeatable(self) -> bool:
        """Whether a message that may have run can be attempted again."""
        return self in (DeliverySemantics.IDEMPOTENT, DeliverySemantics.DEDUPLICATED)


@dataclass(slots=True, frozen=True)
class MessageClass:
    """Delivery terms shared by all messages of a class."""

    name: str
    semantics: DeliverySemantics
    dedup_scope: str | None  # DEDUPLICATED: "all", "zone" or another word for the group of endpoints
    # DEDUPLICATED: how long repeats are dropped, from the first attempt that may have run
    dedup_window: int | None
    latency_objective: int | None  # full priority weight until this age
    deadline: int | None
    priority_weight: float | None
    late_priority_weight: float | None  # share left at the deadline; stored with messages, used by no rule
    is_ordered: bool  # messages with one ordering key are delivered in turn


@dataclass(slots=True, frozen=True)
class MessageTerms:
    """The class and limits under which a message was admitted; it keeps them when the settings change."""

    message_class: MessageClass
    max_attempts: int | None


@dataclass(slots=True, frozen=True)
class Tenant:
    """The traffic quota of one tenant."""

    name: str
    quota_rate: float | None  # messages a second inside its quota, over all relays
    traffic_share: float | None  # its part of all arrivals that counts as inside its quota


@dataclass(slots=True, frozen=True)
class EndpointKind:
    """What endpoints of one kind have in common."""

    name: str
    max_batch_size: int | None  # messages that may travel in one call
    has_endpoint_limits: bool  # each endpoint has a rate limit, window and circuit breaker of its own


@dataclass(slots=True, frozen=True)
class RelaySettings:
    """Everything that the operator configures and the decisions use."""

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
    can_cancel: bool = False  # used by no rule
    can_probe: bool = False  # used by no rule: each probe would count as a call
    sends_retry_after: bool = False  # a rejection may tell the client how long to stay away
    max_retry_after: int | None = None
    # what the rate of a list entry means: "nominal", "rough" or another word
    listed_rate_kind: str | None = None
    # priority weight of a message beyond its tenant's quota, over its own
    over_quota_weight: float | None = None
    # an ordering key waits this long after an attempt with an unknown outcome
    ordering_cooldown: int | None = None
    slow_start_duration: int | None = None
    slow_start_initial_fraction: float | None = None
    # a recovering destination fails at this multiple of its capacity ...
    overload_multiple: float | None = None
    overload_window: int | None = None  # ... received over this time
    batch_interval: int | None = None  # between two batches of events
    connection_idle_timeout: int | None = None  # an unused connection is closed after this time
    connect_timeout: int | None = None  # a connection not established by then counts as CONNECT_FAILED
    awaits_final_status: bool = False  # a rejected or failed message ends only with FinalStatusReported
