"""Ratio of keys that each hardware type gets, where weights don't tell the types apart.

Endpoints of one hardware type are machines alike. A node sees each endpoint seldom, but its type often, so it
keeps the mean utilization of each type. At the end of each window, while all weights are equal:

    hash_ratio = hash_ratio / max(MIN_UTILIZATION_RATIO, utilization) ** GAIN_EXPONENT

scaled such that the largest is 1, and at least MIN_HASH_RATIO. Selection passes over an endpoint for the part
1 - hash_ratio of the keys that hash to it; the other keys keep their endpoints.

Failure that this is for: an endpoint list that gives equal weights to machines of unequal speed.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

MIN_REPORT_EWMA_WEIGHT = 0.1  # the first reports of a type weigh more
MIN_REPORT_COUNT = 3  # for each type
GAIN_EXPONENT = 0.3
MIN_HASH_RATIO = 0.1
MIN_UTILIZATION_RATIO = 0.1  # a lower utilization counts as this


@dataclass(slots=True)
class HardwareTypeStatus:
    """What this node knows of the endpoints of one hardware type."""

    hash_ratio: float = 1.0
    """Part of the keys that hash to them which they get, 0 to 1."""
    utilization: float = 0.0
    """Part of their cores in use, 0 to 1."""
    report_count: int = 0


class HardwareTypes:
    """Status by hardware type; a type is entered when it is first looked up."""

    def __init__(self) -> None:
        self.by_type: defaultdict[int, HardwareTypeStatus] = defaultdict(HardwareTypeStatus)

    def record_utilization(self, hardware_type: int, utilization: float, is_reported: bool) -> None:
        """Add an endpoint's utilization to the mean of its type.

        Where endpoints report none, it is an assumed one, which does not count as a report.
        """
        status = self.by_type[hardware_type]
        status.report_count += is_reported
        weight = max(MIN_REPORT_EWMA_WEIGHT, 1 / max(1, status.report_count))
        status.utilization += weight * (utilization - status.utilization)

    def update_ratios(self) -> None:
        """Move the hash ratios towards equal utilization, once each type has enough reports."""
        types = list(self.by_type.values())
        if min((one.report_count for one in types), default=0) < MIN_REPORT_COUNT:
            return
        for one in types:
            one.hash_ratio /= max(MIN_UTILIZATION_RATIO, one.utilization) ** GAIN_EXPONENT
        max_ratio = max(one.hash_ratio for one in types)
        for one in types:
            one.hash_ratio = max(MIN_HASH_RATIO, one.hash_ratio / max_ratio)
