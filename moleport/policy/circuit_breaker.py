"""Adaptive circuit breaker of one request class: how many attempts in flight meet its latency objective.

At the end of each window, from the mean of this node's attempts in flight (all classes) and the samples of
the class's response times:

    tail            = TAIL_QUANTILE of the samples
    unloaded_tail   follows the tail, fast downwards and slowly upwards
    target          = min(objective, max(TARGET_RATIO * objective, HEADROOM_FACTOR * unloaded_tail))
    ns_per_request  = SMOOTHING_FACTOR * ns_per_request + (1 - SMOOTHING_FACTOR) * tail / in_flight
    threshold       = max(target / ns_per_request, PROVEN_RATIO * proven_in_flight)

While endpoints report headroom, the objective itself replaces TARGET_RATIO * objective. A window
within its target only changes ns_per_request if that raises the threshold: quiet windows would lower it and
shed the next burst. `proven_in_flight` is the number lately carried within the target; it keeps the threshold
from falling without end where all endpoints turn slow at once.

Source: Saleh Sedghpour, Klein and Tordsson, "Service mesh circuit breaker: From panic button to performance
management tool" (HAOC 2021), which smooths response time per request in flight in the same way; the window
and the factors here are shorter, and the unloaded tail and the proven number are additions.

Failure that this is for: endpoints that get more requests than they answer in time, so that none is answered
in time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, sqrt

from moleport.policy.timing import WINDOW_NS

SMOOTHING_FACTOR = 0.5  # weight of the earlier mean
TAIL_QUANTILE = 0.85  # the few longest response times come from the requests themselves, not from load
TARGET_RATIO = 0.7  # of the latency objective
HEADROOM_FACTOR = 1.5  # no threshold can reach a target below the unloaded tail
UNLOADED_FALL_RATIO = 0.2
UNLOADED_RISE_RATIO = 0.01
PROVEN_RATIO = 0.5
PROVEN_DECAY_FACTOR = 0.99  # each window
BURST_MULTIPLE = 2.0  # standard deviations of a Poisson number
MIN_TAIL_NS = 1.0


@dataclass(slots=True)
class InFlight:
    """Attempts in flight, now and in an exponentially weighted mean over one window."""

    count: int = 0
    mean: float = 0.0
    changed_at_ns: int = 0

    def add(self, now_ns: int, change: int) -> None:
        """Change the count, and bring the mean up to now."""
        keep = exp((self.changed_at_ns - now_ns) / WINDOW_NS)
        self.mean = keep * self.mean + (1.0 - keep) * self.count
        self.count += change
        self.changed_at_ns = now_ns

    def update_and_check(self, now_ns: int, cap: float) -> bool:
        """Bring the mean up to now, and return whether one more attempt fits under the cap.

        Where the cap is small, attempts that come together by chance may exceed it by a few standard
        deviations while the mean is below it.
        """
        self.add(now_ns, 0)
        if self.count + 1 <= cap:
            return True
        return self.mean < cap and self.count < cap + BURST_MULTIPLE * sqrt(cap)


@dataclass(slots=True)
class CircuitBreaker:
    """The threshold of one class, in attempts in flight at this node, of all classes."""

    latency_objective_ns: int
    target_ns: float = 0.0
    unloaded_tail_ns: float = 0.0
    """0: not known."""
    ns_per_request: float = 0.0
    """Tail of the response time for each attempt in flight; 0: not known."""
    proven_in_flight: float = 0.0
    """Attempts of all classes in flight."""
    typical_ns: float = 0.0
    """Smoothed median of the response times."""
    in_flight: InFlight = field(default_factory=InFlight)
    """Attempts of this class in flight."""
    samples_ns: list[float] = field(default_factory=list)
    """Response times in this window."""

    def __post_init__(self) -> None:
        self.target_ns = TARGET_RATIO * self.latency_objective_ns
        self.typical_ns = float(self.latency_objective_ns)

    def threshold(self, initial_threshold: float) -> float:
        """Return how many attempts in flight meet the target; `initial_threshold` until that is known."""
        if not self.ns_per_request:
            return initial_threshold
        return max(self.target_ns / self.ns_per_request, PROVEN_RATIO * self.proven_in_flight)

    def end_window(self, mean_in_flight: float, initial_threshold: float, has_headroom: bool) -> None:
        """Update the threshold from the samples of the window that ends."""
        if self.samples_ns and mean_in_flight:
            self.samples_ns.sort()
            tail_ns = max(MIN_TAIL_NS, self.samples_ns[int(TAIL_QUANTILE * (len(self.samples_ns) - 1))])
            median_ns = self.samples_ns[len(self.samples_ns) // 2]
            self.typical_ns += (1 - SMOOTHING_FACTOR) * (median_ns - self.typical_ns)
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
        carried = mean_in_flight if is_within_target else 0.0
        self.proven_in_flight = max(PROVEN_DECAY_FACTOR * self.proven_in_flight, carried)
        window_ns_per_request = tail_ns / mean_in_flight
        if is_within_target and self.target_ns / window_ns_per_request <= self.threshold(initial_threshold):
            return
        before = self.ns_per_request or self.target_ns / max(1.0, initial_threshold)
        self.ns_per_request = SMOOTHING_FACTOR * before + (1 - SMOOTHING_FACTOR) * window_ns_per_request
