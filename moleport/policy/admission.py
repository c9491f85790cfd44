"""Admission control: the cap on attempts in flight for each class, and which requests are rejected.

A cap is a number of attempts in flight at this node, of all classes together. Once the cap of a class is
reached, further requests of this class are rejected. The circuit breaker of each class computes a threshold
in the same unit. The cap of a class is the loss factor times the lowest of

- its own threshold
- the threshold of each class with more than HIGHER_PRIORITY_MULTIPLE times its priority
- RESERVED_RATIO times the threshold of each class with more than MUCH_HIGHER_PRIORITY_MULTIPLE times its
  priority, which reserves capacity for those classes

The loss factor is 2 * (1 - loss rate), at most 1. It lets overloaded endpoints recover when more than half of
the attempts on fresh connections are lost. The priority of a class is its priority weight per unit of work:
the weight divided by the typical response time of the class, or the weight itself if the setting
`weight_by_work` says that it is already per unit of work.

A request is admitted if it fits under the cap of its class. Only a part of the cap applies to a request that
its client marks as a retry, and to one that exceeds its tenant's quota. MIN_IN_FLIGHT_REQUESTS of each class
per endpoint are admitted regardless of the cap, as no cap could rise again without samples. Figures per
endpoint are for all nodes together; each node divides them by the setting `node_count`.

This guards against overload, in which the requests of the highest priority have to be answered in time.
"""

from __future__ import annotations

from bisect import bisect_left
from functools import partial
from itertools import accumulate

from moleport.policy import interface as api
from moleport.policy.actions import DeferredTasks
from moleport.policy.circuit_breaker import TARGET_RATIO, CircuitBreaker, InFlight
from moleport.policy.connection_health import ConnectionHealth
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.interface import AttemptResult
from moleport.policy.load_reports import LoadReports
from moleport.policy.quotas import TenantQuotas
from moleport.policy.slow_start import SlowStart
from moleport.policy.state import ActiveRequest, AttemptRecord, EndpointStatus

# circuit breaker threshold of a request class without sampled response times, in attempts in flight per
# endpoint
INITIAL_IN_FLIGHT_REQUESTS = 10.0
# number of attempts of a request class in flight, per endpoint, up to which requests of the class are
# admitted regardless of the cap of the class
MIN_IN_FLIGHT_REQUESTS = 0.3
HIGHER_PRIORITY_MULTIPLE = 1.2
MUCH_HIGHER_PRIORITY_MULTIPLE = 2.0
RESERVED_RATIO = 0.8
# Fraction of its request class's cap on attempts in flight that applies to a request which its client marks
# as a retry. The fraction is below 1, as a client's retry arrives after a part of the latency objective of
# the class has passed.
CLIENT_RETRY_RATIO = 0.5
# fraction of its request class's cap on attempts in flight that applies to a request over the quota of its
# tenant
OVER_QUOTA_RATIO = 0.5
LOSS_FACTOR_MULTIPLE = 2.0
# A failed attempt is sampled with a response time that is this multiple of the elapsed time after a
# time-out, and this multiple of the latency objective after a rejection.
FAILED_SAMPLE_FACTOR = 2.0
RESPONSE_TIME_EWMA_WEIGHT = 0.05
# Response times of an endpoint are sampled for the circuit breakers of the request classes while the mean of
# their ratios to the smoothed median response time of their class is below this value. Those of a slower
# endpoint are left out, as one slow endpoint is no evidence of the load of the fleet of endpoints.
MAX_SAMPLED_WAITING_RATIO = 2.0


class AdmissionControl:
    """Decides which requests are admitted, from the attempts in flight and their response times."""

    def __init__(
        self,
        settings: api.Settings,
        endpoints: EndpointSet,
        connections: ConnectionHealth,
        load_reports: LoadReports,
        slow_start: SlowStart,
        deferred: DeferredTasks,
    ) -> None:
        self._settings = settings
        self._endpoints = endpoints
        self._connections = connections
        self._load_reports = load_reports
        self._slow_start = slow_start
        self._deferred = deferred
        self._quotas = TenantQuotas(settings.tenants)
        self.in_flight = InFlight()
        """Attempts of all classes in flight, and those that are released with a delay after a time-out."""
        self._delayed_release_count = 0
        self.breakers = [
            CircuitBreaker(request_class.latency_objective_ns) for request_class in settings.classes
        ]
        """Circuit breaker of each request class, by class index."""
        self.caps = [0.0] * len(settings.classes)
        """Cap of each class, by class index, in attempts of all classes in flight."""

    def admits(self, now_ns: int, request: api.Request) -> bool:
        """Return whether a request that has just arrived is admitted."""
        ratio = OVER_QUOTA_RATIO if self._quotas.is_over_quota(request.tenant_index) else 1.0
        if request.is_client_retry:
            ratio *= CLIENT_RETRY_RATIO
        return self.has_capacity(now_ns, request.class_index, ratio)

    def has_capacity(self, now_ns: int, class_index: int, cap_ratio: float = 1.0) -> bool:
        """Return whether one more request of the class fits under `cap_ratio` times the cap of the class."""
        if self.in_flight.update_and_check(now_ns, cap_ratio * self.caps[class_index]):
            return True
        min_in_flight = MIN_IN_FLIGHT_REQUESTS * len(self._endpoints.ready) / self._settings.node_count
        return self.breakers[class_index].in_flight.update_and_check(now_ns, min_in_flight)

    def on_attempt_sent(self, now_ns: int, class_index: int, status: EndpointStatus) -> None:
        """Count an attempt that was sent as in flight, for its endpoint, its class and this node."""
        status.in_flight += 1
        self.in_flight.add(now_ns, 1)
        self.breakers[class_index].in_flight.add(now_ns, 1)

    def on_attempt_ended(
        self, now_ns: int, class_index: int, attempt: AttemptRecord, elapsed_ns: int
    ) -> None:
        """Count an attempt as no longer in flight; after a time-out, with a delay of the attempt's duration.

        The delay is at most the latency objective. An endpoint may continue to work on a request after the
        time-out, and the next request would overload the endpoint if it were sent at once.
        """
        if attempt.result is not AttemptResult.TIMEOUT or attempt.status.ejected_until_ns:
            self._release(class_index, attempt.status, now_ns)
            return
        delay_ns = min(elapsed_ns, self.breakers[class_index].latency_objective_ns)
        self._delayed_release_count += 1
        self._deferred.defer(now_ns + delay_ns, partial(self._release_delayed, class_index, attempt.status))

    def attempts_in_flight(self) -> int:
        """Return the number of attempts in flight, without those that wait for their delayed release."""
        return self.in_flight.count - self._delayed_release_count

    def typical_response_ns(self, class_index: int) -> float:
        """Return the typical response time of a class in ns."""
        return self.breakers[class_index].typical_response_ns

    def is_early_timeout(self, active: ActiveRequest, result: AttemptResult, elapsed_ns: int) -> bool:
        """Return whether an attempt timed out before an answer could be expected.

        A time-out of a retry that had little time left is no evidence about the endpoint.
        """
        if result is not AttemptResult.TIMEOUT:
            return False
        target_ns = TARGET_RATIO * active.request_class.latency_objective_ns
        return elapsed_ns < min(self.typical_response_ns(active.request.class_index), target_ns)

    def record_response(
        self, now_ns: int, active: ActiveRequest, attempt: AttemptRecord, elapsed_ns: int, is_retried: bool
    ) -> None:
        """Add the response time of an attempt that has ended to the samples of its class.

        Endpoints that are ejected, warming up or much slower than the others are not sampled, as their
        response times would lower the cap for all endpoints. A rejection that is not retried is sampled as
        FAILED_SAMPLE_FACTOR times the latency objective.
        """
        status = attempt.status
        if status.ejected_until_ns or self._slow_start.capacity_ratio(now_ns, status.endpoint) < 1.0:
            return
        breaker = self.breakers[active.request.class_index]
        if attempt.result is AttemptResult.REJECTED and not is_retried:
            breaker.samples_ns.append(FAILED_SAMPLE_FACTOR * breaker.latency_objective_ns)
        if attempt.result not in (AttemptResult.OK, AttemptResult.TIMEOUT):
            return
        is_answered = attempt.result is AttemptResult.OK
        ratio = elapsed_ns / breaker.typical_response_ns
        status.waiting_time_ratio += RESPONSE_TIME_EWMA_WEIGHT * (ratio - status.waiting_time_ratio)
        if is_answered:
            status.response_time_ratio += RESPONSE_TIME_EWMA_WEIGHT * (ratio - status.response_time_ratio)
        if status.waiting_time_ratio < MAX_SAMPLED_WAITING_RATIO:
            breaker.samples_ns.append(elapsed_ns if is_answered else FAILED_SAMPLE_FACTOR * elapsed_ns)

    def end_window(self, now_ns: int) -> None:
        """Update all circuit breakers and caps from the response times in the window that ends."""
        self.in_flight.add(now_ns, 0)
        initial_threshold = self.initial_threshold()
        has_headroom = self._load_reports.has_headroom(len(self._endpoints.ready))
        for breaker in self.breakers:
            breaker.end_window(self.in_flight.mean, initial_threshold, has_headroom)
        self.update_caps()

    def initial_threshold(self) -> float:
        """Return the threshold of a class without samples, in attempts in flight at this node."""
        return INITIAL_IN_FLIGHT_REQUESTS * len(self._endpoints.ready) / self._settings.node_count

    def update_caps(self) -> None:
        """Update all caps from the thresholds, after each window and each change of the endpoints."""
        loss_factor = min(1.0, LOSS_FACTOR_MULTIPLE * (1.0 - self._connections.loss_rate))
        initial_threshold = self.initial_threshold()
        thresholds = [breaker.threshold(initial_threshold) for breaker in self.breakers]
        priorities = [self.priority(index) for index in range(len(thresholds))]
        # A request class's cap on attempts in flight also depends on the lowest circuit breaker threshold of
        # the classes of higher priority. Running minima of the thresholds by descending priority give it,
        # because comparing all pairs of request classes would be too slow.
        by_priority = sorted(range(len(priorities)), key=priorities.__getitem__, reverse=True)
        lowest_thresholds = list(accumulate((thresholds[index] for index in by_priority), min))
        negated_priorities = [-priorities[index] for index in by_priority]
        for index, cap in enumerate(thresholds):
            higher_count = bisect_left(negated_priorities, -HIGHER_PRIORITY_MULTIPLE * priorities[index])
            if higher_count:
                cap = min(cap, lowest_thresholds[higher_count - 1])
            much_higher_count = bisect_left(
                negated_priorities, -MUCH_HIGHER_PRIORITY_MULTIPLE * priorities[index]
            )
            if much_higher_count:
                cap = min(cap, RESERVED_RATIO * lowest_thresholds[much_higher_count - 1])
            self.caps[index] = loss_factor * cap

    def priority(self, class_index: int) -> float:
        """Return the priority weight of a class per unit of work."""
        weight = self._settings.classes[class_index].priority_weight
        if self._settings.weight_by_work:
            return weight
        return weight / max(1.0, self.breakers[class_index].typical_response_ns)

    def _release_delayed(self, class_index: int, status: EndpointStatus, now_ns: int) -> None:
        self._delayed_release_count -= 1
        self._release(class_index, status, now_ns)

    def _release(self, class_index: int, status: EndpointStatus, now_ns: int) -> None:
        status.in_flight -= 1
        self.in_flight.add(now_ns, -1)
        self.breakers[class_index].in_flight.add(now_ns, -1)
