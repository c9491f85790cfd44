"""Rejection rates of endpoints, by request class.

A rejection rate is an exponentially weighted mean over successful (0) and rejected (1) answers;
REJECTION_EWMA_WEIGHT is the weight of the newest answer. At the end of each window the rate of a ready
endpoint is multiplied by DECAY_FACTOR, as an endpoint that is avoided sends no answers that would lower it.
The rate is kept by class, as an endpoint may reject some classes and serve others. Selection prefers
endpoints with low rates; no endpoint is ejected for rejections.

This guards against an overloaded endpoint that rejects requests at once. Such an endpoint has few requests in
flight, and from their number alone would appear to be the least loaded one.
"""

from __future__ import annotations

from moleport.policy.interface import AttemptResult, EndpointState
from moleport.policy.state import EndpointStatus

REJECTION_EWMA_WEIGHT = 0.2
# factor per measurement window by which the rejection rates of endpoints decay
DECAY_FACTOR = 0.95
# An endpoint's rejection rates are reset to 0 when those for all request classes are below this value.
MIN_TRACKED_RATE = 1e-3


class RejectionRates:
    """Updates the rejection rates of endpoints, which `EndpointStatus.rejection_rates` holds."""

    def __init__(self) -> None:
        # endpoints that have a rejection rate for at least one request class
        self._affected: dict[EndpointStatus, None] = {}

    def record(self, status: EndpointStatus, class_index: int, result: AttemptResult) -> None:
        """Record the result of an attempt; only successes and rejections count."""
        is_rejected = result is AttemptResult.REJECTED
        if not is_rejected and result is not AttemptResult.OK:
            return
        rate = status.rejection_rates.get(class_index, 0.0)
        if rate or is_rejected:
            status.rejection_rates[class_index] = rate + REJECTION_EWMA_WEIGHT * (is_rejected - rate)
            self._affected[status] = None

    def decay(self) -> None:
        """Decay the rates of ready endpoints at the end of a window, and drop rates that are all small.

        The rates of a removed endpoint are dropped too.
        """
        for status in list(self._affected):
            rates = status.rejection_rates
            if status.is_ready:
                for class_index in rates:
                    rates[class_index] *= DECAY_FACTOR
            is_removed = status.endpoint.state is EndpointState.REMOVED
            if is_removed or max(rates.values()) < MIN_TRACKED_RATE:
                rates.clear()
                del self._affected[status]
