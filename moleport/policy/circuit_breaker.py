"""Adaptive circuit breaker of one request class: how many attempts in flight meet its latency objective.

The threshold is updated at the end of each window, from the mean number of attempts of all classes in flight
at this node (`in_flight`) and the response times of the class in the window (the samples):

    tail            = TAIL_QUANTILE of the samples
    unloaded_tail   is a smoothed tail that falls fast and rises slowly
    target          = min(objective, max(TARGET_RATIO * objective, HEADROOM_FACTOR * unloaded_tail))
    ns_per_request  = SMOOTHING_FACTOR * ns_per_request + (1 - SMOOTHING_FACTOR) * tail / in_flight
    threshold       = max(target / ns_per_request, PROVEN_RATIO * proven_in_flight)

While endpoints report headroom (load_reports), the objective itself replaces TARGET_RATIO * objective. A
window whose tail is within the target changes ns_per_request only if that raises the threshold: otherwise
quiet windows would lower it, and the next burst would be rejected. `proven_in_flight` is the highest number
of attempts in flight that recently met the target. It bounds the threshold from below, which otherwise would
keep falling when all endpoints become slow at once.

Source: Saleh Sedghpour, Klein and Tordsson, "Service mesh circuit breaker: From panic button to performance
management tool" (HAOC 2021), which smooths response time per request in flight in the same way; the window
and the factors here are shorter, and the unloaded tail and the proven number are additions.

This guards against endpoints that get more requests than they can answer in time, so that none is answered in
time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, sqrt

from moleport.policy.timing import WINDOW_NS

# weight of the previous value in a circuit breaker's exponentially weighted means, over measurement windows,
# of the response times of its request class
SMOOTHING_FACTOR = 0.5
# This quantile of the response times of a request class is compared with their target.
# The longest response times are due to the requests themselves, not to load.
TAIL_QUANTILE = 0.85
# lowest target for the response times of a request class, as a fraction of its latency objective
TARGET_RATIO = 0.7
# Lowest target that a circuit breaker sets for the response times of its request class, unless the latency
# objective is lower, as a multiple of the tail (TAIL_QUANTILE) of response times without load. A target below
# the response times without load would be missed at any threshold of the circuit breaker, however low.
HEADROOM_FACTOR = 1.5
# Weight of a measurement window's tail in the smoothed tail of all windows, if the window's tail is lower.
# The smoothed tail estimates the tail without load. Tail: TAIL_QUANTILE of this node's response times of one
# request class, at any load, without endpoints that are ejected, warming up or much slower than the others.
UNLOADED_FALL_RATIO = 0.2
# Weight of a measurement window's tail in the smoothed tail of all windows, if the window's tail is higher.
# The smoothed tail estimates the tail without load. Tail: TAIL_QUANTILE of this node's response times of one
# request class, at any load, without endpoints that are ejected, warming up or much slower than the others.
UNLOADED_RISE_RATIO = 0.01
# lowest threshold of a circuit breaker, as a fraction of the highest number of attempts in flight for
# which response times recently met their target
PROVEN_RATIO = 0.5
# decay factor, per measurement window, of the highest number of attempts in flight for which response
# times met their target
PROVEN_DECAY_FACTOR = 0.99
# how far a burst may exceed a cap on attempts in flight, in standard deviations of a Poisson distribution
# with the cap as its mean
BURST_MULTIPLE = 2.0
MIN_TAIL_NS = 1.0


@dataclass(slots=True)
class InFlight:
    """Number of attempts in flight, and its exponentially weighted mean with a time constant of a window."""

    count: int = 0
    mean: float = 0.0
    changed_at_ns: int = 0

    def add(self, now_ns: int, change: int) -> None:
        """Update the mean number of attempts in flight up to now, then change the number."""
        previous_weight = exp((self.changed_at_ns - now_ns) / WINDOW_NS)
        self.mean = previous_weight * self.mean + (1.0 - previous_weight) * self.count
        self.count += change
        self.changed_at_ns = now_ns

    def update_and_check(self, now_ns: int, cap: float) -> bool:
        """Update the mean up to now, and return whether one more attempt fits under the cap.

        While the mean is below the cap, the count may exceed it by BURST_MULTIPLE standard deviations, as
        attempts that start together by chance would otherwise be rejected where the cap is small.
        """
        self.add(now_ns, 0)
        if self.count + 1 <= cap:
            return True
        return self.mean < cap and self.count < cap + BURST_MULTIPLE * sqrt(cap)


@dataclass(slots=True)
class CircuitBreaker:
    """Circuit breaker of one class; its threshold is a number of attempts of all classes in flight."""

    latency_objective_ns: int
    target_ns: float = 0.0
    unloaded_tail_ns: float = 0.0
    """Smoothed tail of the response times without load; 0: not known."""
    ns_per_request: float = 0.0
    """Smoothed tail of the response times per attempt in flight; 0: not known."""
    proven_in_flight: float = 0.0
    """Highest number of attempts of all classes in flight that recently met the target."""
    typical_response_ns: float = 0.0
    """Smoothed median of the response times of the class."""
    in_flight: InFlight = field(default_factory=InFlight)
    """Number of attempts of this class in flight, and its mean."""
    samples_ns: list[float] = field(default_factory=list)
    """Response times of the class in the current window."""

    def __post_init__(self) -> None:
        self.target_ns = TARGET_RATIO * self.latency_objective_ns
        self.typical_response_ns = float(self.latency_objective_ns)

    def threshold(self, initial_threshold: float) -> float:
        """Return how many attempts in flight meet the target; without samples, `initial_threshold`."""
        if not self.ns_per_request:
            return initial_threshold
        return max(self.target_ns / self.ns_per_request, PROVEN_RATIO * self.proven_in_flight)

    def end_window(self, mean_in_flight: float, initial_threshold: float, has_headroom: bool) -> None:
        """Update the threshold from the samples of the window that ends."""
        if self.samples_ns and mean_in_flight:
            self.samples_ns.sort()
            tail_ns = max(MIN_TAIL_NS, self.samples_ns[int(TAIL_QUANTILE * (len(self.samples_ns) - 1))])
            median_ns = self.samples_ns[len(self.samples_ns) // 2]
            self.typical_response_ns += (1 - SMOOTHING_FACTOR) * (median_ns - self.typical_response_ns)
            self._update_target(tail_ns, has_headroom)
            self._update_threshold(tail_ns, mean_in_flight, initial_threshold)
        self.samples_ns.clear()

    def _update_target(self, tail_ns: float, has_headroom: bool) -> None:
        if self.unloaded_tail_ns:
            ratio = UNLOADED_FALL_RATIO if tail_ns < self.unloaded_tail_ns else UNLOADED_RISE_RATIO
            self.unloaded_tail_ns += ratio * (tail_ns - self.unloaded_tail_ns)
        else:
            self.unloaded_tail_ns = tail_ns
        min_target_ns = (1.0 if has_headroom else TARGET_RATIO) * self.latency_objective_ns
        reachable_ns = max(min_target_ns, HEADROOM_FACTOR * self.unloaded_tail_ns)
        self.target_ns = min(self.latency_objective_ns, reachable_ns)

    def _update_threshold(self, tail_ns: float, mean_in_flight: float, initial_threshold: float) -> None:
        is_within_target = tail_ns <= self.target_ns
        proven_in_window = mean_in_flight if is_within_target else 0.0
        self.proven_in_flight = max(PROVEN_DECAY_FACTOR * self.proven_in_flight, proven_in_window)
        window_ns_per_request = tail_ns / mean_in_flight
        if is_within_target and self.target_ns / window_ns_per_request <= self.threshold(initial_threshold):
            return
        previous = self.ns_per_request or self.target_ns / max(1.0, initial_threshold)
        self.ns_per_request = SMOOTHING_FACTOR * previous + (1 - SMOOTHING_FACTOR) * window_ns_per_request
