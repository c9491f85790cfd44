"""Tenant quotas: a token bucket per tenant, which the requests of the other tenants fill.

A tenant with a quota q of the service's capacity may send q / (1 - q) requests per request of another tenant.
So each request of another tenant adds q / (1 - q) * QUOTA_SLACK_FACTOR tokens, up to QUOTA_BURST_REQUESTS,
and each request within the quota consumes one. The comparison depends neither on the part of the total
traffic that this node gets nor on the arrivals of the tenant itself. A request that exceeds the quota is not
rejected for this reason alone: admission applies only a part of the cap of its class to it.

This guards against a burst of one tenant's requests that displaces those of the other tenants.
"""

from __future__ import annotations

from dataclasses import dataclass

from moleport.policy import interface as api

QUOTA_SLACK_FACTOR = 1.2
QUOTA_BURST_REQUESTS = 20.0
MAX_QUOTA_RATIO = 0.99


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one tenant; a token allows one request."""

    tokens: float = QUOTA_BURST_REQUESTS
    refilled_at_count: int = 0
    """Number of arrivals of all tenants at the last refill."""


class TenantQuotas:
    """Decides which requests exceed the quota of their tenant."""

    def __init__(self, tenants: tuple[api.Tenant, ...]) -> None:
        self._tenants = tenants
        # number of requests that have arrived at this node from all known tenants
        self._arrival_count = 0
        # token bucket of each tenant, by tenant index
        self._buckets: dict[int, TokenBucket] = {}

    def is_over_quota(self, tenant_index: int) -> bool:
        """Count a request of a tenant, and return whether it exceeds the quota of the tenant.

        Unknown tenants have no quota and are not counted.
        """
        if tenant_index >= len(self._tenants):
            return False
        self._arrival_count += 1
        bucket = self._buckets.get(tenant_index)
        if bucket is None:
            bucket = self._buckets[tenant_index] = TokenBucket()
        self._refill(bucket, self._tenants[tenant_index].quota_ratio)
        if bucket.tokens < 1.0:
            return True
        bucket.tokens -= 1.0
        return False

    def _refill(self, bucket: TokenBucket, quota_ratio: float) -> None:
        quota = min(MAX_QUOTA_RATIO, quota_ratio)
        others_count = self._arrival_count - 1 - bucket.refilled_at_count
        earned = QUOTA_SLACK_FACTOR * quota / (1.0 - quota) * others_count
        bucket.tokens = min(QUOTA_BURST_REQUESTS, bucket.tokens + earned)
        bucket.refilled_at_count = self._arrival_count
