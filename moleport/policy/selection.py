"""Selection of an endpoint: power of two choices among the endpoints that the key hashes to.

Weighted hashing maps the key of a request (a random key if it has none) to a sequence of endpoints. Every
second one is from the node's own zone, for the keys that this zone has capacity for (candidate_index). For a
hot key the sequence starts at a random position of its fan-out (hot_keys). If the node uses a subset
(endpoint_subset), a request without a key draws endpoints from the subset instead, every second one from the
node's own zone. An endpoint is skipped for the fraction of the keys that its hardware type does not get
(hardware_types). After MAX_DRAW_COUNT draws the sequence continues with all ready endpoints, from a position
that depends on the key.

The first two endpoints of the sequence that may be used are compared by load score, and the one with the
lower score is selected. Endpoints are skipped if this request was already sent to them, if they could execute
it twice, if they are ejected, if slow start limits them, or if they reject more than MAX_REJECTION_RATE of
the class. After MAX_REJECTING_COUNT rejecting endpoints the search stops; if no other endpoint was found, the
least loaded rejecting one is selected. After a failed connection, up to CHOICES_AFTER_CONNECT_FAILURE_COUNT
endpoints are compared instead of two.

    load score = (requests of this node in flight + penalties) * response_time_ratio / (weight * hash_ratio)

The penalties, in requests, are up to 1 for a utilization above HIGH_UTILIZATION_RATIO, up to
REJECTION_PENALTY_REQUESTS in proportion to the rejection rate, and up to CONNECT_PENALTY_REQUESTS for an
endpoint without a usable idle connection while new connections fail.

Source: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE TPDS 2001.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from random import Random

from moleport.policy.connection_health import ConnectionHealth
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.endpoint_subset import EndpointSubset
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.hashing import HASH_RATIO_SCALE, HASH_RATIO_SHIFT_BITS, mix64
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import AttemptResult
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.slow_start import SlowStart
from moleport.policy.state import ActiveRequest, EndpointStatus

CHOICE_COUNT = 2
CHOICES_AFTER_CONNECT_FAILURE_COUNT = 12
MAX_DRAW_COUNT = 12
MAX_REJECTION_RATE = 0.5
MAX_REJECTING_COUNT = 100
REJECTION_PENALTY_REQUESTS = 2.0
# Number of decimal digits to which the rejection rate of an endpoint is rounded for its load score.
# A small remainder of an old rejection rate must not break ties between load scores.
REJECTION_RATE_DIGIT_COUNT = 1
HIGH_UTILIZATION_RATIO = 0.7
MIN_CONNECT_FAILURE_RATE = 0.1
CONNECT_PENALTY_REQUESTS = 8.0
KEY_BITS = 64


class EndpointSelector:
    """Selects the endpoint of each attempt."""

    def __init__(
        self,
        random: Random,
        endpoints: EndpointSet,
        hot_keys: HotKeyTracker,
        hardware_types: HardwareTypes,
        connections: ConnectionHealth,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        subset: EndpointSubset,
    ) -> None:
        self._random = random
        self._subset = subset
        self._ready = endpoints.ready
        self._candidates = endpoints.candidates
        self._hot_keys = hot_keys
        self._hardware_types = hardware_types.by_type
        self._connections = connections
        self._outliers = outliers
        self._slow_start = slow_start

    def select(self, now_ns: int, active: ActiveRequest) -> EndpointStatus | None:
        """Return the endpoint for the next attempt, or None if no endpoint may be used."""
        attempts = active.attempts
        seen = {attempt.status for attempt in attempts}
        last_connect_failed = bool(attempts) and attempts[-1].result is AttemptResult.CONNECT_FAILED
        choice_count = CHOICES_AFTER_CONNECT_FAILURE_COUNT if last_connect_failed else CHOICE_COUNT
        class_index = active.request.class_index
        choices: list[EndpointStatus] = []
        rejecting: list[EndpointStatus] = []
        for status in self._candidates_by_preference(active):
            if status in seen or (attempts and not active.may_send_to(status.endpoint, now_ns)):
                continue
            seen.add(status)
            if status.ejected_until_ns and not self._outliers.may_try(now_ns, status):
                continue
            if not self._slow_start.refill_and_check(now_ns, status):
                continue
            is_rejecting = status.rejection_rates.get(class_index, 0.0) > MAX_REJECTION_RATE
            (rejecting if is_rejecting else choices).append(status)
            if len(choices) == choice_count or len(rejecting) == MAX_REJECTING_COUNT:
                break
        return min(choices or rejecting, key=partial(self._load_score, now_ns, class_index), default=None)

    def _candidates_by_preference(self, active: ActiveRequest) -> Iterator[EndpointStatus]:
        """Yield endpoints in the order of preference, some of them more than once."""
        ready = self._ready
        if not ready:
            return
        key = active.request.key or self._random.getrandbits(KEY_BITS)
        if not active.request.key and self._subset.is_proper_subset():
            yield from self._subset_candidates()
        else:
            yield from self._hashed_candidates(key)
        start = mix64(key) % len(ready)
        for index in range(start, start + len(ready)):
            yield ready[index % len(ready)]

    def _subset_candidates(self) -> Iterator[EndpointStatus]:
        """Yield random endpoints of the subset, for a request without a key."""
        for draw in range(MAX_DRAW_COUNT):
            status = self._subset.draw(self._random, prefer_own_zone=not draw % 2)
            ratio = self._hardware_types[status.endpoint.hardware_type].hash_ratio
            if ratio >= 1.0 or self._random.random() < ratio:
                yield status

    def _hashed_candidates(self, key: int) -> Iterator[EndpointStatus]:
        """Yield the endpoints that a key hashes to, in the order of its sequence."""
        find, hardware_types = self._candidates.find, self._hardware_types
        fan_out = self._hot_keys.fan_out.get(key, 1)
        first_draw = self._random.randrange(fan_out) if fan_out > 1 else 0
        for draw in range(first_draw, first_draw + MAX_DRAW_COUNT):
            key_hash = mix64(key + draw)
            prefer_own_zone = not (draw - first_draw) % 2
            status = find(key_hash, prefer_own_zone)
            if status is not None:
                ratio = hardware_types[status.endpoint.hardware_type].hash_ratio
                if ratio >= 1.0 or (key_hash >> HASH_RATIO_SHIFT_BITS) < ratio * HASH_RATIO_SCALE:
                    yield status

    def _load_score(self, now_ns: int, class_index: int, status: EndpointStatus) -> float:
        load = float(status.in_flight)
        if status.utilization > HIGH_UTILIZATION_RATIO:
            load += (status.utilization - HIGH_UTILIZATION_RATIO) / (1.0 - HIGH_UTILIZATION_RATIO)
        rejection_rate = status.rejection_rates.get(class_index)
        if rejection_rate:
            load += REJECTION_PENALTY_REQUESTS * round(rejection_rate, REJECTION_RATE_DIGIT_COUNT)
        connections = self._connections
        failure_rate = connections.connect_failure_rate
        if failure_rate > MIN_CONNECT_FAILURE_RATE and not connections.usable_idle_ns(now_ns, status):
            load += CONNECT_PENALTY_REQUESTS * failure_rate
        hash_ratio = self._hardware_types[status.endpoint.hardware_type].hash_ratio
        return load * status.response_time_ratio / (status.endpoint.weight * hash_ratio)
