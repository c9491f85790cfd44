"""Slow start: how many requests an endpoint gets until it has warmed up.

After its start at `started_at_ns` an endpoint has at least this part of its capacity:

    capacity_ratio = initial + (1 - initial) * (now - started_at_ns) / slow_start_duration_ns

with `initial` the setting `slow_start_initial_ratio`. While the ratio is below 1, the endpoint is warming up
and a token bucket limits its requests. The tokens fill at the rate (requests per ns)

    CAPACITY_MARGIN_RATIO * capacity_ratio * warm_request_rate * concentration * weight

up to MAX_TOKEN_COUNT, and each attempt takes one. `concentration` is the part of this node's requests that
lead to the endpoint, as a multiple of an even spread (endpoint_subset). `warm_request_rate` is what warm
endpoints answer for one unit of weight, a mean over windows that falls slowly (RATE_DECAY_FACTOR). While no
endpoint has been seen warm, the arrivals of this node, spread evenly over the weight of all ready endpoints,
stand in for it. A new bucket holds

    max(uniform(0, 1) + CAPACITY_MARGIN_RATIO * min(1, capacity_ratio) * burst_ratio,
        min(1, FLEET_INITIAL_TOKEN_COUNT / node_count))

tokens: random, so that the nodes' first requests do not come together, and at least min(1, 3 / node_count).

When other endpoints are lost, each remaining one is selected more often, and the tokens that all nodes have
saved could be spent at once. Then only the part `burst_ratio` of the selections may spend them:

    burst_ratio = min(1, max(0, overload_multiple / CAPACITY_MARGIN_RATIO - 1) * present / usual)

with `present` the capacity of the ready endpoints that are not ejected, and `usual` the mean warm weight.

While no endpoint has been seen warm, the arrivals say what is wanted of an endpoint, not what it can carry.
An endpoint that has not answered UNPROVEN_COUNT attempts in a row is then sent at most as many in each
`overload_window_ns`, however many tokens it has.

Failure that this is for: an endpoint with empty caches that is sent its full share and collapses. An endpoint
collapses when it is sent more than `overload_multiple` times its present capacity for long.
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

CAPACITY_MARGIN_RATIO = 0.8  # requests cost more than usual while caches are empty
MAX_TOKEN_COUNT = 2.0  # requests
FLEET_INITIAL_TOKEN_COUNT = 3.0  # requests of all nodes together: a fleet of one endpoint has to get some
UNPROVEN_COUNT = 3  # requests that an endpoint of any capacity stands within the overload window
RATE_DECAY_FACTOR = 0.99  # each window
ARRIVAL_EWMA_WEIGHT = 0.5  # of the newest window


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
        self._warming: dict[EndpointStatus, None] = {}  # ready, and warming up when last checked
        self._warm_units = 0  # weight of the ready endpoints that are warm
        self._window_answers = 0  # requests answered by warm endpoints in this window
        self.window_arrivals = 0
        """Requests in this window."""
        self._warm_answers = 0.0  # decaying sum of answers
        self._warm_weight_ns = 0.0  # decaying sum of warm weight times ns
        self._measured_ns = 0.0  # decaying sum of ns
        self._warm_request_rate = 0.0  # answers per ns and unit of weight; 0: not known
        self._assumed_request_rate = 0.0  # stands in for it while it is not known
        self._arrival_rate = 0.0  # requests per ns
        self._burst_ratio = 1.0

    def capacity_ratio(self, now_ns: int, endpoint: api.Endpoint) -> float:
        """Return the part of its capacity that an endpoint has at least; 1 or more once it is warm."""
        if not endpoint.started_at_ns:
            return 1.0
        age_ns = max(0, now_ns - endpoint.started_at_ns)
        progress = age_ns / self._duration_ns
        return self._initial_ratio + (1.0 - self._initial_ratio) * progress

    def refill_and_check(self, now_ns: int, status: EndpointStatus) -> bool:
        """Refill an endpoint's tokens, and return whether it may be sent a request."""
        ratio = self.capacity_ratio(now_ns, status.endpoint)
        if ratio >= 1.0:
            return True
        request_rate = self._warm_request_rate or self._assumed_request_rate
        request_rate *= self._subset.concentration(status)
        fill_rate = CAPACITY_MARGIN_RATIO * ratio * request_rate * status.endpoint.weight
        earned = fill_rate * (now_ns - status.slow_start_refilled_at_ns)
        status.slow_start_tokens = min(MAX_TOKEN_COUNT, status.slow_start_tokens + earned)
        status.slow_start_refilled_at_ns = now_ns
        if status.slow_start_tokens < 1.0 or self._is_unproven_and_busy(now_ns, status):
            return False
        return self._random.random() < self._burst_ratio

    def _is_unproven_and_busy(self, now_ns: int, status: EndpointStatus) -> bool:
        """Return whether an endpoint of unknown capacity was sent UNPROVEN_COUNT requests lately."""
        if self._warm_request_rate or status.success_streak >= UNPROVEN_COUNT:
            return False
        sent_at_ns = status.unproven_sent_at_ns
        return len(sent_at_ns) == UNPROVEN_COUNT and now_ns - sent_at_ns[0] <= self._overload_window_ns

    def on_request(self) -> None:
        """Count an arrival."""
        self.window_arrivals += 1

    def on_attempt_sent(self, now_ns: int, status: EndpointStatus) -> None:
        """Take a token from an endpoint that is warming up."""
        if self.capacity_ratio(now_ns, status.endpoint) >= 1.0:
            return
        status.slow_start_tokens -= 1.0
        if not self._warm_request_rate:
            status.unproven_sent_at_ns = (*status.unproven_sent_at_ns, now_ns)[-UNPROVEN_COUNT:]

    def on_success(self, now_ns: int, status: EndpointStatus) -> None:
        """Count a successful answer."""
        if self.capacity_ratio(now_ns, status.endpoint) >= 1.0:
            self._window_answers += 1
        else:
            status.success_streak += 1

    def on_failure(self, status: EndpointStatus) -> None:
        """Take an endpoint in slow start for unproven, as an attempt ended without success."""
        status.success_streak = 0

    def initial_tokens(self, now_ns: int, endpoint: api.Endpoint) -> float:
        """Return the tokens of an endpoint that was just listed or has just started."""
        earned = CAPACITY_MARGIN_RATIO * min(1.0, self.capacity_ratio(now_ns, endpoint)) * self._burst_ratio
        min_tokens = min(1.0, FLEET_INITIAL_TOKEN_COUNT / self._node_count)
        return max(self._random.random() + earned, min_tokens)

    def on_restart(self, now_ns: int, status: EndpointStatus, endpoint: api.Endpoint) -> None:
        """Begin with new tokens where the new entry of an endpoint has another start time."""
        status.slow_start_tokens = self.initial_tokens(now_ns, endpoint)
        status.slow_start_refilled_at_ns = now_ns
        status.unproven_sent_at_ns = ()
        status.success_streak = 0

    def add_ready(self, status: EndpointStatus) -> None:
        """Count an endpoint that has become ready; `update_warm_weight` checks whether it is warm."""
        self._warming[status] = None

    def remove_ready(self, status: EndpointStatus) -> None:
        """Stop counting an endpoint that is no longer ready."""
        self._warm_units -= status.warm_weight_units
        status.warm_weight_units = 0
        self._warming.pop(status, None)

    def update_warm_weight(self, now_ns: int) -> float:
        """Note which endpoints have warmed up, and return the weight of the ready ones that are warm."""
        warmed = [one for one in self._warming if self.capacity_ratio(now_ns, one.endpoint) >= 1.0]
        for status in warmed:
            del self._warming[status]
            status.warm_weight_units = to_weight_units(status.endpoint.weight)
            self._warm_units += status.warm_weight_units
        return self._warm_units / WEIGHT_UNITS

    def end_window(self, now_ns: int) -> None:
        """Update the rates from the counts of the window that ends."""
        # Answers, and not attempts: losses of other endpoints raise the attempts beyond what one can carry.
        self._warm_answers = RATE_DECAY_FACTOR * self._warm_answers + self._window_answers
        weight_ns = WINDOW_NS * self.update_warm_weight(now_ns)
        self._warm_weight_ns = RATE_DECAY_FACTOR * self._warm_weight_ns + weight_ns
        self._measured_ns = RATE_DECAY_FACTOR * self._measured_ns + WINDOW_NS
        self.update_burst_ratio(now_ns)
        mean_rate = self._warm_answers / self._warm_weight_ns if self._warm_weight_ns else 0.0
        # Shed load lowers the answers, but not what an endpoint can carry.
        self._warm_request_rate = max(mean_rate, RATE_DECAY_FACTOR * self._warm_request_rate)
        self._update_arrival_rate()
        self._assumed_request_rate = self._warm_request_rate or self._even_request_rate()
        self._window_answers = 0
        self.window_arrivals = 0

    def update_burst_ratio(self, now_ns: int) -> None:
        """Adapt the part of the selections that may spend tokens to the capacity that is left."""
        present = self.update_warm_weight(now_ns) + sum(self._capacity(now_ns, one) for one in self._warming)
        present -= sum(self._capacity(now_ns, one) for one in self._outliers.ejected)
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
