"""Deterministic subset of the endpoints that a node uses for requests without keys.

A request without a key may go to any endpoint. In a large fleet each node that used all of them would open a
connection for nearly each request, and would know little of each endpoint. So it uses an arc of a ring on
which the ready endpoints stand by the hash of their ids, each as long as its weight:

    width = max(MIN_ENDPOINT_COUNT, ENDPOINTS_PER_REQUEST_RATIO * in_flight)       (endpoints)
    arc   = width / ready endpoints, rounded to a multiple of 1 / node_count where that is not 0
    start = node_index / node_count

with `in_flight` the node's attempts in flight, the highest mean of a window, decaying by DECAY_FACTOR in each
later one. Each part of the ring then belongs to equally many arcs of one width. There is a second ring of the
endpoints in the node's own zone; as nobody knows which nodes are in it, arcs start there at multiples of the
golden ratio, which are spread evenly for blocks of node indices and for every n-th one. With no more ready
endpoints than `width` there is no subset.

Source: deterministic aperture of Twitter's Finagle, and deterministic subsetting in Beyer et al., Site
Reliability Engineering, chapter 20 (2016).
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from itertools import accumulate
from math import sqrt
from operator import attrgetter
from random import Random

from moleport.policy import interface as api
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.state import EndpointStatus

MIN_ENDPOINT_COUNT = 48
ENDPOINTS_PER_REQUEST_RATIO = 4.0  # in flight
DECAY_FACTOR = 0.99  # each window
GOLDEN_RATIO = (sqrt(5.0) - 1.0) / 2.0
KEYLESS_EWMA_WEIGHT = 0.5  # of the newest window
OWN_ZONE_DRAW_RATIO = 0.5  # of the draws; every other one is from all zones


class Ring:
    """Endpoints on a circle of circumference 1, by `ring_position`, each as long as its weight."""

    def __init__(self, members: list[EndpointStatus]) -> None:
        self._members = sorted(members, key=attrgetter("ring_position"))
        self._ends = array("d", accumulate(status.endpoint.weight for status in self._members))

    def __len__(self) -> int:
        return len(self._members)

    def total_weight(self) -> float:
        """Return the weight of all endpoints."""
        return self._ends[-1] if self._ends else 0.0

    def at(self, place: float) -> EndpointStatus:
        """Return the endpoint at a place, of which only the fraction counts; the ring must not be empty."""
        index = bisect_right(self._ends, (place % 1.0) * self._ends[-1])
        return self._members[min(index, len(self._members) - 1)]

    def place_of(self, status: EndpointStatus) -> float | None:
        """Return the middle of an endpoint's part, from 0 to 1; None if it is not on the ring."""
        index = bisect_left(self._members, status.ring_position, key=attrgetter("ring_position"))
        if index == len(self._members) or self._members[index] is not status:
            return None
        return (self._ends[index] - status.endpoint.weight / 2.0) / self._ends[-1]


class Arc:
    """The part of a ring that one node uses."""

    def __init__(self, ring: Ring, start: float, width: float, node_count: float) -> None:
        """Span about `width` endpoints from `start` (0 to 1), on a ring that `node_count` nodes share."""
        self._ring = ring
        self._start = start
        length = min(1.0, width / max(1, len(ring)))
        overlap_count = round(length * node_count)  # arcs that cover each place
        self.length = min(1.0, overlap_count / node_count) if overlap_count else length

    def draw(self, random: Random) -> EndpointStatus:
        """Return an endpoint of the arc, by its weight."""
        return self._ring.at(self._start + self.length * random.random())

    def covers(self, status: EndpointStatus) -> bool:
        """Return whether an endpoint lies on the arc."""
        place = self._ring.place_of(status)
        return place is not None and (place - self._start) % 1.0 < self.length


class EndpointSubset:
    """The endpoints for requests without keys, where there are more than this node needs."""

    def __init__(self, settings: api.Settings, endpoints: EndpointSet, seed: int) -> None:
        """Without a `node_index` the arcs start at a place drawn with `seed`."""
        self._endpoints = endpoints
        self._zone = settings.zone
        self._node_count = settings.node_count
        if settings.node_index is None:
            self._start = self._own_zone_start = Random(seed).random()
        else:
            self._start = settings.node_index / settings.node_count
            self._own_zone_start = settings.node_index * GOLDEN_RATIO
        self._peak_in_flight = 0.0
        self._keyless_count = 0  # requests in this window
        self._keyless_ratio = 0.0  # of the requests, a moving mean
        self._rings_version = -1  # of the endpoints that the rings hold
        self._ring = self._own_zone_ring = Ring([])
        self._arc = self._own_zone_arc = Arc(self._ring, 0.0, 0.0, 1.0)

    def is_narrow(self) -> bool:
        """Return whether the node needs fewer endpoints than are ready."""
        return len(self._endpoints.ready) > self._width()

    def on_keyless_request(self) -> None:
        """Count the arrival of a request without a key."""
        self._keyless_count += 1

    def end_window(self, mean_in_flight: float, request_count: int) -> None:
        """Adapt to the mean of the node's attempts in flight and the requests that arrived in the window."""
        self._peak_in_flight = max(mean_in_flight, DECAY_FACTOR * self._peak_in_flight)
        if request_count:
            ratio = self._keyless_count / request_count
            self._keyless_ratio += KEYLESS_EWMA_WEIGHT * (ratio - self._keyless_ratio)
        self._keyless_count = 0
        if self.is_narrow():
            self._update_arcs()

    def draw(self, random: Random, prefer_own_zone: bool) -> EndpointStatus:
        """Return a random endpoint of the subset; at least one has to be ready."""
        self._update_rings()
        if prefer_own_zone and len(self._own_zone_ring):
            ratio = self._endpoints.candidates.own_zone_ratio()
            if ratio >= 1.0 or random.random() < ratio:
                return self._own_zone_arc.draw(random)
        return self._arc.draw(random)

    def concentration(self, status: EndpointStatus) -> float:
        """Return how often requests lead to an endpoint, as a multiple of an even spread by weight."""
        if not self._keyless_ratio or not self.is_narrow():
            return 1.0
        self._update_rings()
        own_zone_ratio = 0.0
        if len(self._own_zone_ring):
            own_zone_ratio = OWN_ZONE_DRAW_RATIO * self._endpoints.candidates.own_zone_ratio()
        keyless = 0.0
        if self._arc.covers(status):
            keyless += (1.0 - own_zone_ratio) / self._arc.length
        if own_zone_ratio and self._own_zone_arc.covers(status):
            weight_ratio = self._own_zone_ring.total_weight() / self._ring.total_weight()
            keyless += own_zone_ratio / (self._own_zone_arc.length * weight_ratio)
        return 1.0 + self._keyless_ratio * (keyless - 1.0)

    def _width(self) -> float:
        return max(MIN_ENDPOINT_COUNT, ENDPOINTS_PER_REQUEST_RATIO * self._peak_in_flight)

    def _update_rings(self) -> None:
        if self._rings_version == self._endpoints.version:
            return
        self._rings_version = self._endpoints.version
        ready = self._endpoints.ready
        self._ring = Ring(ready)
        self._own_zone_ring = Ring([status for status in ready if status.endpoint.zone == self._zone])
        self._update_arcs()

    def _update_arcs(self) -> None:
        width = self._width()
        own_zone_nodes = self._node_count * len(self._own_zone_ring) / max(1, len(self._ring))
        self._arc = Arc(self._ring, self._start, width, self._node_count)
        self._own_zone_arc = Arc(self._own_zone_ring, self._own_zone_start, width, max(1.0, own_zone_nodes))
