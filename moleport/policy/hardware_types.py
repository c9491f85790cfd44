"""Hash ratios of hardware types: balances machines of unequal speed that are listed with equal weights.

Endpoints of one hardware type run on machines of the same kind. A node seldom gets a report from a given
endpoint but often from its type, so it keeps the mean utilization of each type. At the end of each window,
while all weights are equal, the ratio of each type is updated:

    hash_ratio = hash_ratio / max(MIN_UTILIZATION_RATIO, utilization) ** GAIN_EXPONENT

The ratios are then scaled so that the largest is 1, and each is at least MIN_HASH_RATIO. Selection skips an
endpoint for the fraction 1 - hash_ratio of the keys that hash to it; the other keys keep their endpoints.

This guards against an endpoint list that gives equal weights to machines of unequal speed.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

# lowest weight of a load report in the mean utilization of a hardware type; a type's first reports weigh more
MIN_REPORT_EWMA_WEIGHT = 0.1
# Number of load reports that each hardware type needs before the hash ratios of the types change. A type's
# hash ratio is the fraction of the keys hashing to one of its endpoints that do not skip the endpoint.
MIN_REPORT_COUNT = 3
GAIN_EXPONENT = 0.3
MIN_HASH_RATIO = 0.1
# The hash ratio of a hardware type (the fraction of the keys hashing to one of its endpoints that do not skip
# the endpoint) is updated from its utilization (the fraction of its cores in use). In this update, a
# utilization below MIN_UTILIZATION_RATIO counts as MIN_UTILIZATION_RATIO.
MIN_UTILIZATION_RATIO = 0.1


@dataclass(slots=True)
class HardwareTypeStatus:
    """What this node knows about the endpoints of one hardware type."""

    hash_ratio: float = 1.0
    """Fraction of the keys hashing to an endpoint of this type that do not skip the endpoint, 0 to 1."""
    utilization: float = 0.0
    """Mean fraction of the cores in use on endpoints of this type, 0 to 1."""
    report_count: int = 0
    """Number of load reports from endpoints of this type so far."""


class HardwareTypes:
    """Status of each hardware type; a type is added when it is first looked up."""

    def __init__(self) -> None:
        self.by_type: defaultdict[int, HardwareTypeStatus] = defaultdict(HardwareTypeStatus)

    def record_utilization(self, hardware_type: int, utilization: float, is_reported: bool) -> None:
        """Add an endpoint's utilization to the mean of its type.

        If endpoints report no utilization, an assumed utilization is added, which does not count as a report.
        """
        status = self.by_type[hardware_type]
        status.report_count += is_reported
        weight = max(MIN_REPORT_EWMA_WEIGHT, 1 / max(1, status.report_count))
        status.utilization += weight * (utilization - status.utilization)

    def update_ratios(self) -> None:
        """Move the hash ratios towards equal utilization, once each type has enough reports."""
        statuses = list(self.by_type.values())
        if min((status.report_count for status in statuses), default=0) < MIN_REPORT_COUNT:
            return
        for status in statuses:
            status.hash_ratio /= max(MIN_UTILIZATION_RATIO, status.utilization) ** GAIN_EXPONENT
        max_ratio = max(status.hash_ratio for status in statuses)
        for status in statuses:
            status.hash_ratio = max(MIN_HASH_RATIO, status.hash_ratio / max_ratio)
