"""Tenant quota: messages beyond a tenant's quota get a lower priority weight and are sent after the others.

The quota is a token bucket, refilled at this relay's part of the tenant's rate or at the tenant's share of
this relay's arrivals, whichever is higher.
"""

from __future__ import annotations

from loftrelay.decisions.settings import Tenant
from loftrelay.decisions.state import DecisionState, TokenBucket
from loftrelay.decisions.units import SECOND_US

BURST_SECONDS = 5.0  # seconds of the refill rate that may arrive as a burst
MIN_BURST_MESSAGES = 5.0  # a relay with a small part of the quota still receives bursts
DEFAULT_OVER_QUOTA_WEIGHT = 0.1  # factor on the priority weight beyond the quota


def quota_factor(state: DecisionState, tenant_name: str | None) -> float:
    """Takes a token for one message and returns the factor on its priority weight, 1.0 within the quota."""
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
    """Returns the refill rate at this relay, in messages per second."""
    quota_share = quota_rate / state.limits.relay_count
    arrival_share = (tenant.traffic_share or 0.0) * state.arrivals.read(state.now)
    return max(quota_share, arrival_share)
