"""Tenants' quotas: a token bucket for each tenant, filled by the requests of the others.

A tenant with the quota q of the service's capacity may send q / (1 - q) requests for each request of another
tenant. Each one therefore earns q / (1 - q) * QUOTA_SLACK_FACTOR tokens, up to QUOTA_BURST_REQUESTS, and each
request within the quota takes one. Neither the part of the total traffic that this node carries nor the
tenant's own arrivals change the comparison. A request beyond the quota is not rejected for it alone:
admission applies only a part of the cap of its class to it.

Failure that this is for: a burst of one tenant's requests that crowds out those of the other tenants.
"""

from __future__ import annotations

from dataclasses import dataclass

from moleport.policy import interface as api

QUOTA_SLACK_FACTOR = 1.2
QUOTA_BURST_REQUESTS = 20.0
MAX_QUOTA_RATIO = 0.99


@dataclass(slots=True)
class TokenBucket:
    """A tenant's unused requests."""

    tokens: float = QUOTA_BURST_REQUESTS
    refilled_at_count: int = 0
    """Arrivals of all tenants when the tokens were last refilled."""


class TenantQuotas:
    """Tells which requests are beyond their tenant's quota."""

    def __init__(self, tenants: tuple[api.Tenant, ...]) -> None:
        self._tenants = tenants
        self._arrival_count = 0  # of all tenants
        self._buckets: dict[int, TokenBucket] = {}  # by tenant index

    def is_over_quota(self, tenant_index: int) -> bool:
        """Count a request of the tenant, and return whether it is beyond the tenant's quota.

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
