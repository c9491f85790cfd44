"""Rate of rejected answers of each endpoint, by request class.

An exponentially weighted mean over successful (0) and rejected (1) answers; REJECTION_EWMA_WEIGHT is the
weight of the newest. In each window the rate of a ready endpoint is multiplied by DECAY_FACTOR, as an
endpoint that is avoided gives no answers by which it could fall. It is kept by class, as an endpoint may
reject some classes and serve others. Selection prefers endpoints with low rates; no endpoint is ejected for
rejections.

Failure that this is for: an overloaded endpoint that rejects at once has few requests in flight, and by that
alone would look like the least loaded one.
"""

from __future__ import annotations

from moleport.policy.interface import AttemptResult, EndpointState
from moleport.policy.state import EndpointStatus

REJECTION_EWMA_WEIGHT = 0.2
DECAY_FACTOR = 0.95  # each window
MIN_TRACKED_RATE = 1e-3  # a lower rate is taken for 0


class RejectionRates:
    """Keeps `EndpointStatus.rejection_rates`."""

    def __init__(self) -> None:
        self._affected: dict[EndpointStatus, None] = {}  # all that rejected requests lately

    def record(self, status: EndpointStatus, class_index: int, result: AttemptResult) -> None:
        """Note an attempt's result; only successes and rejections count."""
        is_rejected = result is AttemptResult.REJECTED
        if not is_rejected and result is not AttemptResult.OK:
            return
        rate = status.rejection_rates.get(class_index, 0.0)
        if rate or is_rejected:
            status.rejection_rates[class_index] = rate + REJECTION_EWMA_WEIGHT * (is_rejected - rate)
            self._affected[status] = None

    def decay(self) -> None:
        """Lower all rates at the end of a window, and forget those that have become small."""
        for status in list(self._affected):
            rates = status.rejection_rates
            if status.is_ready:
                for class_index in rates:
                    rates[class_index] *= DECAY_FACTOR
            is_removed = status.endpoint.state is EndpointState.REMOVED
            if is_removed or max(rates.values()) < MIN_TRACKED_RATE:
                rates.clear()
                del self._affected[status]
