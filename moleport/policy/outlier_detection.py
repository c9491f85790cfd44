"""Outlier detection: ejects endpoints that fail more than the others, and reinstates them after a trial.

The failure rate of an endpoint is an exponentially weighted mean over its attempts: 0 for a success (OK), and
1 for an error, a time-out, a reset or a failed connection. The weight of the newest result is

- FAILURE_EWMA_WEIGHT for a success, and for a failure to which none of the next items applies: two failures
  in a row eject the endpoint
- LOSS_AFTER_SUCCESS_EWMA_WEIGHT for a time-out or a reset at an endpoint with a success within
  RECENT_SUCCESS_NS
- RARE_FAILURE_EWMA_WEIGHT for an error, a time-out or a reset at an endpoint without a success for
  MAX_SILENCE_NS: one failure ejects it, as a node that sends it few requests can't wait for a second failure

A success lowers the failure rate, but a single success does not reset it to 0, unless it ends a trial.

A failure ejects the endpoint if its failure rate is at least EJECTION_FAILURE_RATE and, unless the connection
failed, at least OUTLIER_MULTIPLE times the failure rate of the whole fleet. At most MAX_EJECTED_RATIO of the
ready endpoints are ejected at once, or MAX_UNREACHABLE_RATIO if the connection failed. At this limit, an
endpoint replaces the ejected one with the lowest failure rate if its own is higher by more than
REPLACEMENT_MARGIN_RATE. So in a fleet of two or three ready endpoints only failed connections eject, and a
single ready endpoint is never ejected. A failed connection does not count if the endpoint has had a success
within MAX_SILENCE_NS.

    doublings = min(failed trials, MAX_EJECTION_DOUBLINGS)
    ejection = max(EJECTION_NS * 2 ** doublings, min(silence, MAX_SILENCE_EJECTION_NS)) * uniform(0.5, 1)

An ejection lasts 1 s to 32 s; `silence` is the time without a success since the endpoint was listed. After
the ejection, one attempt is the trial of the endpoint: a success reinstates it, a failure ejects it again.
See Envoy's outlier detection for the general mechanism.

This guards against an endpoint that has crashed, hangs or answers all requests with errors.
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
# Lowest failure rate at which an endpoint is ejected, as a multiple of the failure rate of the fleet.
# Failures of the whole fleet are not the fault of one endpoint.
OUTLIER_MULTIPLE = 2.5
REPLACEMENT_MARGIN_RATE = 0.25
# fraction of the ready endpoints that may be ejected; ejecting more endpoints would overload the others
MAX_EJECTED_RATIO = 1 / 4
# Fraction of the ready endpoints that may be ejected when a failed connection is the cause.
# Failed connections are not a sign of overload.
MAX_UNREACHABLE_RATIO = 3 / 4
EJECTION_NS = 2_000_000_000
MAX_EJECTION_DOUBLINGS = 4
MAX_SILENCE_EJECTION_NS = 4 * EJECTION_NS
MIN_JITTER_RATIO = 0.5
# number of notices of ejections and reinstatements that are kept; the oldest notices are dropped if the
# caller does not remove them
MAX_NOTICE_COUNT = 1024
# The heap of failure rates is rebuilt when it has more entries than this multiple of the number of ejected
# endpoints, plus a constant.
MAX_STALE_MULTIPLE = 8

NOT_COUNTED = (
    AttemptResult.CANCELLED,
    AttemptResult.NOT_SENT,
    AttemptResult.REJECTED,
    AttemptResult.CLIENT_ERROR,
)
"""Results that count neither as a success nor as a failure of the endpoint."""


class OutlierDetector:
    """Decides which endpoints are ejected, for how long, and when they are reinstated."""

    def __init__(self, endpoints: EndpointSet, random: Random) -> None:
        self._endpoints = endpoints
        self._random = random
        self._fleet_failure_rate = 0.0
        self.notices: deque[api.Notice] = deque(maxlen=MAX_NOTICE_COUNT)
        """Ejections and reinstatements of endpoints that the caller has not removed yet, the oldest first."""
        self.ejected: dict[EndpointStatus, None] = {}
        """The ready endpoints that are ejected; a dict, as the order of a set differs between processes."""
        # heap of (failure rate, endpoint id) of the ejected endpoints; some entries are out of date
        self._by_failure_rate: list[tuple[float, api.EndpointId]] = []

    def may_try(self, now_ns: int, status: EndpointStatus) -> bool:
        """Return whether the trial attempt may be sent to an ejected endpoint."""
        return not status.is_on_trial and now_ns >= status.ejected_until_ns

    def on_attempt_sent(self, status: EndpointStatus) -> None:
        """Record whether an attempt is the trial of an ejected endpoint."""
        status.is_on_trial = status.ejected_until_ns > 0

    def on_attempt_ended(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> None:
        """Update the failure rates after an attempt, and eject or reinstate the endpoint accordingly."""
        was_on_trial = status.is_on_trial
        status.is_on_trial = False
        if result in NOT_COUNTED:
            return
        if result is AttemptResult.OK:
            status.succeeded_at_ns = now_ns
        elif result is AttemptResult.CONNECT_FAILED and now_ns - status.succeeded_at_ns < MAX_SILENCE_NS:
            # Outlier detection ignores a connection to an endpoint that could not be opened if another
            # connection to that endpoint recently got a successful answer.
            return
        is_failed = result is not AttemptResult.OK
        weight = self._outcome_weight(now_ns, status, result)
        status.failure_rate += weight * (is_failed - status.failure_rate)
        self._fleet_failure_rate += FLEET_FAILURE_EWMA_WEIGHT * (is_failed - self._fleet_failure_rate)
        self.track(status)
        if was_on_trial:
            self._end_trial(now_ns, status, result)
        elif is_failed and not status.ejected_until_ns and self.reserve_ejection(status, result):
            self.eject(now_ns, status, result)

    def reserve_ejection(self, status: EndpointStatus, result: AttemptResult) -> bool:
        """Return whether a failure ejects an endpoint.

        At the limit of ejected endpoints, one with a clearly lower failure rate is reinstated to make room.
        """
        is_unreachable = result is AttemptResult.CONNECT_FAILED
        if status.failure_rate < EJECTION_FAILURE_RATE:
            return False
        if not is_unreachable and status.failure_rate < OUTLIER_MULTIPLE * self._fleet_failure_rate:
            return False
        max_ratio = MAX_UNREACHABLE_RATIO if is_unreachable else MAX_EJECTED_RATIO
        max_ejected = max_ratio * len(self._endpoints.ready)
        if 1 + len(self.ejected) > max_ejected:
            replaceable = self._ejected_with_min_failure_rate()
            if (
                replaceable is not None
                and replaceable.failure_rate < status.failure_rate - REPLACEMENT_MARGIN_RATE
            ):
                self.reinstate(replaceable)
        return 1 + len(self.ejected) <= max_ejected

    def eject(self, now_ns: int, status: EndpointStatus, result: AttemptResult) -> None:
        """Eject an endpoint for a random duration, after an attempt with this result."""
        # The ejection of an endpoint grows with the time for which the endpoint has had no success.
        # A short ejection has no effect on an endpoint that seldom gets requests of this node.
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
        """End the ejection of an endpoint, and reset its failure rate."""
        if status.ejected_until_ns:
            self.notices.append(api.EndpointReinstated(status.endpoint.id))
        status.reset_failures()
        self.ejected.pop(status, None)

    def track(self, status: EndpointStatus) -> None:
        """Add an endpoint that is ready and ejected to `ejected`, with its present failure rate.

        Callers use this when an endpoint becomes ready or ejected, and when its failure rate changes.
        """
        if not status.ejected_until_ns or not status.is_ready:
            return
        self.ejected[status] = None
        heappush(self._by_failure_rate, (status.failure_rate, status.endpoint.id))
        if len(self._by_failure_rate) > MAX_STALE_MULTIPLE * (MAX_STALE_MULTIPLE + len(self.ejected)):
            self._by_failure_rate = sorted(
                (status.failure_rate, status.endpoint.id) for status in self.ejected
            )

    def untrack(self, status: EndpointStatus) -> None:
        """Remove an endpoint that is no longer ready from `ejected`, without ending the ejection."""
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
        """Return the ejected endpoint with the lowest failure rate; the lowest id breaks ties."""
        heap = self._by_failure_rate
        while heap:
            failure_rate, endpoint_id = heap[0]
            status = self._endpoints.by_id.get(endpoint_id)
            if status is not None and status in self.ejected and status.failure_rate == failure_rate:
                return status
            heappop(heap)
        return None
