"""Slow start: limits the requests to an endpoint until it has warmed up.

An endpoint that started at `started_at_ns` is assumed to have at least this fraction of its capacity:

    capacity_ratio = initial + (1 - initial) * (now - started_at_ns) / slow_start_duration_ns

where `initial` is the setting `slow_start_initial_ratio`. While the ratio is below 1, the endpoint is warming
up and a token bucket limits its requests. Tokens are added at the rate (in requests per ns)

    CAPACITY_MARGIN_RATIO * capacity_ratio * warm_request_rate * concentration * weight

up to MAX_TOKEN_COUNT, and each attempt consumes one. `concentration` is the part of this node's requests that
lead to the endpoint, as a multiple of an even spread (endpoint_subset). `warm_request_rate` is the number of
requests that warm endpoints answer per ns and unit of weight, a mean over windows that falls slowly
(RATE_DECAY_FACTOR). Until the first warm endpoint has been measured, the arrival rate of this node, spread
evenly over the weight of all ready endpoints, is used instead. A new bucket holds

    max(uniform(0, 1) + CAPACITY_MARGIN_RATIO * min(1, capacity_ratio) * burst_ratio,
        min(1, FLEET_INITIAL_TOKEN_COUNT / node_count))

tokens. The number is random, so that the first requests of the nodes do not arrive together, and at least
min(1, 3 / node_count).

When other endpoints are lost, each remaining one is selected more often, and the tokens that all nodes have
accumulated could be spent at once. So only the fraction `burst_ratio` of the selections may spend them:

    burst_ratio = min(1, max(0, overload_multiple / CAPACITY_MARGIN_RATIO - 1) * present / usual)

where `present` is the capacity of the ready endpoints that are not ejected, and `usual` the mean weight of
the warm endpoints.

Until the first warm endpoint has been measured, the arrival rate shows the demand on an endpoint and not its
capacity. An endpoint without UNPROVEN_COUNT successful attempts in a row then gets at most UNPROVEN_COUNT
requests in each `overload_window_ns`, regardless of its tokens.

This guards against an endpoint with empty caches that gets its full share of the requests and collapses. An
endpoint collapses when it gets more than `overload_multiple` times its present capacity for long.
"""

from __future__ import annotations

from random import Random

from moleport.policy import interface as api
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.endpoint_subset import EndpointSubset
from moleport.policy.hashing import WEIGHT_UNITS, to_weight_units
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.state import EndpointStatus
from moleport.policy.timing import WINDOW_NS

# Fraction of the assumed capacity of an endpoint in slow start up to which the endpoint gets requests.
# Requests cost more than usual while the caches of an endpoint are empty.
CAPACITY_MARGIN_RATIO = 0.8
# largest number of slow start tokens of an endpoint at one node; one token allows one request
MAX_TOKEN_COUNT = 2.0
# Lowest number of slow start tokens that a new endpoint gets from all nodes together, at most one per node.
# A fleet of one endpoint needs its first requests.
FLEET_INITIAL_TOKEN_COUNT = 3.0
# number of requests within the setting `overload_window_ns` that an endpoint of any capacity survives
UNPROVEN_COUNT = 3
# factor per measurement window by which the measured request rate of warm endpoints decays
RATE_DECAY_FACTOR = 0.99
# weight of the newest measurement window in the moving mean of the arrival rate of requests
ARRIVAL_EWMA_WEIGHT = 0.5


class SlowStart:
    """Limits the requests to endpoints that are warming up."""

    def __init__(
        self,
        settings: api.Settings,
        random: Random,
        endpoints: EndpointSet,
        outliers: OutlierDetector,
        subset: EndpointSubset,
    ) -> None:
        self._subset = subset
        self._initial_ratio = settings.slow_start_initial_ratio
        self._duration_ns = max(1, settings.slow_start_duration_ns)
        self._overload_multiple = settings.overload_multiple
        self._overload_window_ns = settings.overload_window_ns
        self._node_count = settings.node_count
        self._random = random
        self._endpoints = endpoints
        self._outliers = outliers
        # ready endpoints that had not warmed up yet when slow start last checked their capacity
        self._warming: dict[EndpointStatus, None] = {}
        # total weight of the ready endpoints that have warmed up, in multiples of 1 / WEIGHT_UNITS
        self._warm_units = 0
        # number of requests that warm endpoints answered successfully in the current measurement window
        self._window_answers = 0
        self.window_arrivals = 0
        """Number of requests that arrived at this node in the current measurement window."""
        # Decaying sum, over all measurement windows, of the number of successful answers of warm endpoints.
        # Divided by `_warm_weight_ns`, it is a warm endpoint's mean rate in requests per ns for weight 1.0.
        self._warm_answers = 0.0
        # Decaying sum, over all measurement windows, of the total weight of the warm endpoints times the
        # length of the window in ns; the divisor of the mean request rate of warm endpoints.
        self._warm_weight_ns = 0.0
        # Decaying sum, in ns, of the lengths of all windows in which the weight of the warm endpoints was
        # measured. `_warm_weight_ns` divided by it is the mean weight of the warm endpoints.
        self._measured_ns = 0.0
        # number of requests per ns that a warm endpoint of weight 1.0 answers successfully; 0: not known
        self._warm_request_rate = 0.0
        # request rate of a warm endpoint of weight 1.0, in requests per ns, that slow start assumes until the
        # rate of a warm endpoint has been measured; derived from the arrival rate of requests at this node
        self._assumed_request_rate = 0.0
        # moving mean of the arrival rate of requests at this node, in requests per ns
        self._arrival_rate = 0.0
        self._burst_ratio = 1.0

    def capacity_ratio(self, now_ns: int, endpoint: api.Endpoint) -> float:
        """Return the least fraction of its capacity that an endpoint has; 1 or more once it is warm."""
        if not endpoint.started_at_ns:
            return 1.0
        age_ns = max(0, now_ns - endpoint.started_at_ns)
        progress = age_ns / self._duration_ns
        return self._initial_ratio + (1.0 - self._initial_ratio) * progress

    def refill_and_check(self, now_ns: int, status: EndpointStatus) -> bool:
        """Refill the tokens of an endpoint, and return whether a request may be sent to it."""
        ratio = self.capacity_ratio(now_ns, status.endpoint)
        if ratio >= 1.0:
            return True
        request_rate = self._warm_request_rate or self._assumed_request_rate
        request_rate *= self._subset.concentration(status)
        fill_rate = CAPACITY_MARGIN_RATIO * ratio * request_rate * status.endpoint.weight
        earned = fill_rate * (now_ns - status.slow_start_refilled_at_ns)
        status.slow_start_tokens = min(MAX_TOKEN_COUNT, status.slow_start_tokens + earned)
        status.slow_start_refilled_at_ns = now_ns
        if status.slow_start_tokens < 1.0 or self._has_reached_unproven_limit(now_ns, status):
            return False
        return self._random.random() < self._burst_ratio

    def _has_reached_unproven_limit(self, now_ns: int, status: EndpointStatus) -> bool:
        """Return whether UNPROVEN_COUNT recent requests went to an endpoint of unknown capacity."""
        if self._warm_request_rate or status.success_streak >= UNPROVEN_COUNT:
            return False
        sent_at_ns = status.unproven_sent_at_ns
        return len(sent_at_ns) == UNPROVEN_COUNT and now_ns - sent_at_ns[0] <= self._overload_window_ns

    def on_request(self) -> None:
        """Count the arrival of a request."""
        self.window_arrivals += 1

    def on_attempt_sent(self, now_ns: int, status: EndpointStatus) -> None:
        """Remove a token of an endpoint that is warming up."""
        if self.capacity_ratio(now_ns, status.endpoint) >= 1.0:
            return
        status.slow_start_tokens -= 1.0
        if not self._warm_request_rate:
            status.unproven_sent_at_ns = (*status.unproven_sent_at_ns, now_ns)[-UNPROVEN_COUNT:]

    def on_success(self, now_ns: int, status: EndpointStatus) -> None:
        """Count a successful answer of an endpoint."""
        if self.capacity_ratio(now_ns, status.endpoint) >= 1.0:
            self._window_answers += 1
        else:
            status.success_streak += 1

    def on_failure(self, status: EndpointStatus) -> None:
        """Reset the success streak of an endpoint after an attempt without success."""
        status.success_streak = 0

    def initial_tokens(self, now_ns: int, endpoint: api.Endpoint) -> float:
        """Return the tokens of an endpoint that is new in the list or has restarted."""
        earned = CAPACITY_MARGIN_RATIO * min(1.0, self.capacity_ratio(now_ns, endpoint)) * self._burst_ratio
        min_tokens = min(1.0, FLEET_INITIAL_TOKEN_COUNT / self._node_count)
        return max(self._random.random() + earned, min_tokens)

    def on_restart(self, now_ns: int, status: EndpointStatus, endpoint: api.Endpoint) -> None:
        """Reset the slow start of an endpoint whose new list entry has another start time."""
        status.slow_start_tokens = self.initial_tokens(now_ns, endpoint)
        status.slow_start_refilled_at_ns = now_ns
        status.unproven_sent_at_ns = ()
        status.success_streak = 0

    def add_ready(self, status: EndpointStatus) -> None:
        """Add an endpoint that has become ready; `update_warm_weight` checks whether it is warm."""
        self._warming[status] = None

    def remove_ready(self, status: EndpointStatus) -> None:
        """Remove an endpoint that is no longer ready from the warm or the warming endpoints."""
        self._warm_units -= status.warm_weight_units
        status.warm_weight_units = 0
        self._warming.pop(status, None)

    def update_warm_weight(self, now_ns: int) -> float:
        """Find the endpoints that have warmed up, and return the weight of all ready warm endpoints."""
        warmed = [status for status in self._warming if self.capacity_ratio(now_ns, status.endpoint) >= 1.0]
        for status in warmed:
            del self._warming[status]
            status.warm_weight_units = to_weight_units(status.endpoint.weight)
            self._warm_units += status.warm_weight_units
        return self._warm_units / WEIGHT_UNITS

    def end_window(self, now_ns: int) -> None:
        """Update the request rates from the counts of the window that ends."""
        # The request rate that warm endpoints can serve is measured by their answers, not by the attempts
        # sent to them: when endpoints are lost, the attempts at each remaining one can exceed its capacity.
        self._warm_answers = RATE_DECAY_FACTOR * self._warm_answers + self._window_answers
        weight_ns = WINDOW_NS * self.update_warm_weight(now_ns)
        self._warm_weight_ns = RATE_DECAY_FACTOR * self._warm_weight_ns + weight_ns
        self._measured_ns = RATE_DECAY_FACTOR * self._measured_ns + WINDOW_NS
        self.update_burst_ratio(now_ns)
        mean_rate = self._warm_answers / self._warm_weight_ns if self._warm_weight_ns else 0.0
        # The request rate measured for warm endpoints is used as their capacity, so it falls slowly: by the
        # factor RATE_DECAY_FACTOR per measurement window at most. When requests are rejected to shed load,
        # there are fewer answers, but the capacity of an endpoint is unchanged.
        self._warm_request_rate = max(mean_rate, RATE_DECAY_FACTOR * self._warm_request_rate)
        self._update_arrival_rate()
        self._assumed_request_rate = self._warm_request_rate or self._even_request_rate()
        self._window_answers = 0
        self.window_arrivals = 0

    def update_burst_ratio(self, now_ns: int) -> None:
        """Adapt the fraction of the selections that may spend slow start tokens to the remaining capacity."""
        present = self.update_warm_weight(now_ns) + sum(
            self._capacity(now_ns, status) for status in self._warming
        )
        present -= sum(self._capacity(now_ns, status) for status in self._outliers.ejected)
        usual = self._warm_weight_ns / self._measured_ns if self._measured_ns else present
        if not usual:
            self._burst_ratio = 1.0
            return
        spare_multiple = max(0.0, self._overload_multiple / CAPACITY_MARGIN_RATIO - 1.0)
        self._burst_ratio = min(1.0, spare_multiple * max(0.0, present) / usual)

    def _update_arrival_rate(self) -> None:
        window_rate = self.window_arrivals / WINDOW_NS
        if self._arrival_rate:
            self._arrival_rate += ARRIVAL_EWMA_WEIGHT * (window_rate - self._arrival_rate)
        else:
            self._arrival_rate = window_rate

    def _even_request_rate(self) -> float:
        weight = sum(status.endpoint.weight for status in self._endpoints.ready)
        return self._arrival_rate / weight if weight else 0.0

    def _capacity(self, now_ns: int, status: EndpointStatus) -> float:
        return min(1.0, self.capacity_ratio(now_ns, status.endpoint)) * status.endpoint.weight
