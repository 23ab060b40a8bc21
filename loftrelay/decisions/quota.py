"""Tenant quota: messages beyond a tenant's quota get a lower priority weight and go behind the rest.

The quota is a token bucket, filled at the tenant's rate and at least at its share of this relay's arrivals.
"""

from __future__ import annotations

from loftrelay.decisions.settings import Tenant
from loftrelay.decisions.state import DecisionState, TokenBucket
from loftrelay.decisions.units import SECOND_US

BURST_SECONDS = 5.0  # of the tenant's rate that may come at once
MIN_BURST_MESSAGES = 5.0  # a relay that holds a small part of the quota still sees bursts
DEFAULT_OVER_QUOTA_WEIGHT = 0.1


def quota_factor(state: DecisionState, tenant_name: str | None) -> float:
    """Takes a token for one message; returns the factor on its priority weight, 1.0 inside the quota."""
    tenant = state.settings.tenants.get(tenant_name or "")
    if tenant is None or tenant.quota_rate is None:
        return 1.0
    rate = _refill_rate(state, tenant, tenant.quota_rate)
    capacity = max(MIN_BURST_MESSAGES, BURST_SECONDS * rate)
    bucket = state.quota_buckets.get(tenant.name)
    if bucket is None:
        bucket = state.quota_buckets[tenant.name] = TokenBucket(capacity, state.now)
    bucket.tokens = min(capacity, bucket.tokens + rate * (state.now - bucket.updated_at) / SECOND_US)
    bucket.updated_at = state.now
    if bucket.tokens < 1:
        return state.settings.over_quota_weight or DEFAULT_OVER_QUOTA_WEIGHT
    bucket.tokens -= 1
    return 1.0


def _refill_rate(state: DecisionState, tenant: Tenant, quota_rate: float) -> float:
    """Returns the messages a second inside the quota at this relay."""
    of_fleet = quota_rate / state.limits.relay_count
    of_arrivals = (tenant.traffic_share or 0.0) * state.arrivals.read(state.now)
    return max(of_fleet, of_arrivals)
