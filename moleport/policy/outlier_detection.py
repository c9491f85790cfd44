"""Ejection of endpoints that fail more than the others, and their reinstatement by a trial.

Each endpoint has a failure rate, an exponentially weighted mean over its attempts: 0 for a success (OK) and 1
for an error, a time-out, a reset or a failed connection. The weight of the newest outcome is

- FAILURE_EWMA_WEIGHT for a success and, unless one of the next lines applies, for a failure: two failures in
  a row eject
- LOSS_AFTER_SUCCESS_EWMA_WEIGHT for a time-out or a reset of an endpoint with a success within
  RECENT_SUCCESS_NS
- RARE_FAILURE_EWMA_WEIGHT for an error, a time-out or a reset of one without a success for MAX_SILENCE_NS:
  one failure ejects, as a node that sends it few requests can't wait for a second one

A success lowers the failure rate, but a single one never brings it to 0, except as a trial.

A failure ejects the endpoint if its failure rate is at least EJECTION_FAILURE_RATE and, unless the connection
failed, OUTLIER_MULTIPLE times the rate of the whole fleet. At most MAX_EJECTED_RATIO of the ready endpoints
are ejected at once, or MAX_UNREACHABLE_RATIO where connections fail; at this limit, one that fails much more
replaces the ejected one with the lowest failure rate. So a fleet of fewer than four ready endpoints ejects
only for failed connections. A failed connection does not count if the endpoint has had a success within
MAX_SILENCE_NS.

    doublings = min(failed trials, MAX_EJECTION_DOUBLINGS)
    ejection = max(EJECTION_NS * 2 ** doublings, min(silence, MAX_SILENCE_EJECTION_NS)) * uniform(0.5, 1)

An ejection lasts 1 s to 32 s; `silence` is the time without a success since the endpoint was listed. After
the ejection one attempt is its trial: a success reinstates the endpoint, a failure ejects it again. See
Envoy's outlier detection for the general mechanism.

Failure that this is for: an endpoint that crashed, hangs or answers all requests with errors.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from random import Random

from moleport.policy import interface as api
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.interface import AttemptResult
from moleport.policy.state import EndpointStatus
from moleport.policy.timing import jittered_ns

FAILURE_EWMA_WEIGHT = 0.3
LOSS_AFTER_SUCCESS_EWMA_WEIGHT = 0.15
RARE_FAILURE_EWMA_WEIGHT = 0.5
FLEET_FAILURE_EWMA_WEIGHT = 0.02
RECENT_SUCCESS_NS = 500_000_000
MAX_SILENCE_NS = 2_000_000_000
EJECTION_FAILURE_RATE = 0.5
OUTLIER_MULTIPLE = 2.5  # what fails everywhere is no endpoint's fault
REPLACEMENT_MARGIN_RATE = 0.25
MAX_EJECTED_RATIO = 1 / 4  # more would overload the others
MAX_UNREACHABLE_RATIO = 3 / 4  # failed connections are no sign of overload
EJECTION_NS = 2_000_000_000
MAX_EJECTION_DOUBLINGS = 4
MAX_SILENCE_EJECTION_NS = 4 * EJECTION_NS
MIN_JITTER_RATIO = 0.5
MAX_NOTICE_COUNT = 1024  # older ones are dropped where nobody takes them
MAX_STALE_MULTIPLE = 8  # heap entries for each ejected endpoint, before the heap is rebuilt

NOT_COUNTED = (
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.REJECTED,
    AttemptResult.CLIENT_ERROR,
)
"""Results that are neither a success nor a failure of the endpoint."""


class OutlierDetector:
    """Decides which endpoints are ejected, for how long, and when they are reinstated."""

    def __init__(self, endpoints: EndpointSet, random: Random) -> None:
        self._endpoints = endpoints
        self._random = random
        self._fleet_failure_rate = 0.0
        self.notices: deque[api.Notice] = deque(maxlen=MAX_NOTICE_COUNT)
        """Ejections and reinstatements that the embedder has not taken, the oldest first."""
        self.ejected: dict[EndpointStatus, None] = {}
        """The ready endpoints that are ejected; a dict, as its order is the same in each process."""
        self._by_failure_rate: list[
            tuple[float, api.EndpointId]
        ] = []  # heap of `ejected`, some entries stale

    def may_try(self, now_ns: int, status: EndpointStatus) -> bool:
        """Return whether an ejected endpoint may be sent its trial."""
        return not status.is_on_trial and now_ns >= status.ejected_until_ns

    def on_attempt_sent(self, status: EndpointStatus) -> None:
        """Note that an attempt at an ejected endpoint is its trial."""
        status.is_on_trial = status.ejected_until_ns > 0

    def on_attempt_ended(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> None:
        """Update the failure rates; eject or reinstate the endpoint."""
        was_on_trial = status.is_on_trial
        status.is_on_trial = False
        if result in NOT_COUNTED:
            return
        if result is AttemptResult.OK:
            status.succeeded_at_ns = now_ns
        elif result is AttemptResult.CONNECT_FAILED and now_ns - status.succeeded_at_ns < MAX_SILENCE_NS:
            return  # it has succeeded lately on other connections
        is_failed = result is not AttemptResult.OK
        weight = self._outcome_weight(now_ns, status, result)
        status.failure_rate += weight * (is_failed - status.failure_rate)
        self._fleet_failure_rate += FLEET_FAILURE_EWMA_WEIGHT * (is_failed - self._fleet_failure_rate)
        self.track(status)
        if was_on_trial:
            self._end_trial(now_ns, status, result)
        elif is_failed and not status.ejected_until_ns and self.make_room_for_ejection(status, result):
            self.eject(now_ns, status, result)

    def make_room_for_ejection(self, status: EndpointStatus, result: AttemptResult) -> bool:
        """Return whether a failure ejects; at the limit, reinstate another endpoint for it."""
        is_unreachable = result is AttemptResult.CONNECT_FAILED
        if status.failure_rate < EJECTION_FAILURE_RATE:
            return False
        if not is_unreachable and status.failure_rate < OUTLIER_MULTIPLE * self._fleet_failure_rate:
            return False
        max_ratio = MAX_UNREACHABLE_RATIO if is_unreachable else MAX_EJECTED_RATIO
        max_ejected = max_ratio * len(self._endpoints.ready)
        if 1 + len(self.ejected) > max_ejected:
            mildest = self._ejected_with_min_failure_rate()
            if mildest is not None and mildest.failure_rate < status.failure_rate - REPLACEMENT_MARGIN_RATE:
                self.reinstate(mildest)
        return 1 + len(self.ejected) <= max_ejected

    def eject(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> None:
        """Eject an endpoint for a time drawn at random, after an attempt with this result."""
        # An endpoint that seldom gets requests of this node would get none within a shorter time.
        silence_ns = min(status.silence_ns(now_ns), MAX_SILENCE_EJECTION_NS)
        ejection_ns = max(silence_ns, EJECTION_NS << status.ejection_doublings)
        duration_ns = jittered_ns(self._random, ejection_ns, MIN_JITTER_RATIO)
        status.ejected_until_ns = now_ns + duration_ns
        self.track(status)
        self.notices.append(
            api.EndpointEjected(
                status.endpoint.id, result, duration_ns, status.failure_rate, status.ejection_doublings
            )
        )

    def reinstate(self, status: EndpointStatus) -> None:
        """End an endpoint's ejection, and forget its failures."""
        if status.ejected_until_ns:
            self.notices.append(api.EndpointReinstated(status.endpoint.id))
        status.reset_failures()
        self.ejected.pop(status, None)

    def track(self, status: EndpointStatus) -> None:
        """Count an endpoint that is ready and ejected; due when either or its failure rate changes."""
        if not status.ejected_until_ns or not status.is_ready:
            return
        self.ejected[status] = None
        heappush(self._by_failure_rate, (status.failure_rate, status.endpoint.id))
        if len(self._by_failure_rate) > MAX_STALE_MULTIPLE * (MAX_STALE_MULTIPLE + len(self.ejected)):
            self._by_failure_rate = sorted((one.failure_rate, one.endpoint.id) for one in self.ejected)

    def forget(self, status: EndpointStatus) -> None:
        """Stop counting an endpoint that is no longer ready; it stays ejected."""
        self.ejected.pop(status, None)

    def _end_trial(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> None:
        if result is not AttemptResult.OK:
            status.ejection_doublings = min(MAX_EJECTION_DOUBLINGS, status.ejection_doublings + 1)
            self.eject(now_ns, status, result)
        else:
            self.reinstate(status)

    def _outcome_weight(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> float:
        is_lost = result in (AttemptResult.TIMEOUT, AttemptResult.RESET)
        if is_lost and now_ns - status.succeeded_at_ns < RECENT_SUCCESS_NS:
            return LOSS_AFTER_SUCCESS_EWMA_WEIGHT
        is_silent = status.silence_ns(now_ns) >= MAX_SILENCE_NS
        if is_silent and result is not AttemptResult.CONNECT_FAILED:
            return RARE_FAILURE_EWMA_WEIGHT
        return FAILURE_EWMA_WEIGHT

    def _ejected_with_min_failure_rate(self) -> EndpointStatus | None:
        """Return the one with the lowest id where several have the same rate."""
        heap = self._by_failure_rate
        while heap:
            failure_rate, endpoint_id = heap[0]
            status = self._endpoints.by_id.get(endpoint_id)
            if status is not None and status in self.ejected and status.failure_rate == failure_rate:
                return status
            heappop(heap)
        return None
