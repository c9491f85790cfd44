"""Deterministic subsetting: the endpoints that a node uses for requests without keys.

A request without a key may be sent to any endpoint. In a large fleet, a node that used all endpoints would
open a connection for almost every request and would know little about each endpoint. So a node uses an arc of
a ring. The ready endpoints are placed on the ring by the hash of their ids, each with a length in proportion
to its weight:

    width = max(MIN_ENDPOINT_COUNT, ENDPOINTS_PER_REQUEST_RATIO * in_flight)       (endpoints)
    arc   = width / ready endpoints, rounded to a multiple of 1 / node_count unless that is 0
    start = node_index / node_count

where `in_flight` is the highest mean of the node's attempts in flight in a window, which decays by
DECAY_FACTOR per later window. So each place on the ring is covered by the same number of arcs of the same
width. A second ring contains the endpoints in the node's own zone. As a node does not know which other nodes
are in its zone, arcs on this ring start at multiples of the golden ratio, which are spread evenly both for
blocks of node indices and for every n-th node index. If there are no more than `width` ready endpoints, there
is no subset.

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
# number of endpoints in the subset that this node uses, per attempt of this node in flight
ENDPOINTS_PER_REQUEST_RATIO = 4.0
# factor per measurement window by which this node's highest mean number of attempts in flight decays
DECAY_FACTOR = 0.99
GOLDEN_RATIO = (sqrt(5.0) - 1.0) / 2.0
# weight of the newest measurement window in the moving mean of the fraction of requests without a key
KEYLESS_EWMA_WEIGHT = 0.5
# Fraction of a node's random draws of an endpoint, for requests without a key, that are from its own zone if
# that has at least the mean weight of the zones: 1/2, as every second draw is from all zones. If the own zone
# has less weight, the fraction is reduced in proportion.
OWN_ZONE_DRAW_RATIO = 0.5


class Ring:
    """Endpoints on a ring of length 1, in order of `ring_position`, with lengths in proportion to weight."""

    def __init__(self, members: list[EndpointStatus]) -> None:
        self._members = sorted(members, key=attrgetter("ring_position"))
        self._ends = array("d", accumulate(status.endpoint.weight for status in self._members))

    def __len__(self) -> int:
        return len(self._members)

    def total_weight(self) -> float:
        """Return the total weight of the endpoints on the ring."""
        return self._ends[-1] if self._ends else 0.0

    def at(self, place: float) -> EndpointStatus:
        """Return the endpoint at the fractional part of `place`; the ring must not be empty."""
        index = bisect_right(self._ends, (place % 1.0) * self._ends[-1])
        return self._members[min(index, len(self._members) - 1)]

    def place_of(self, status: EndpointStatus) -> float | None:
        """Return the middle of an endpoint on the ring, from 0 to 1; None if it is not on the ring."""
        index = bisect_left(self._members, status.ring_position, key=attrgetter("ring_position"))
        if index == len(self._members) or self._members[index] is not status:
            return None
        return (self._ends[index] - status.endpoint.weight / 2.0) / self._ends[-1]


class Arc:
    """The part of a ring of endpoints that one node uses."""

    def __init__(self, ring: Ring, start: float, width: float, node_count: float) -> None:
        """Create an arc of about `width` endpoints from `start`, on a ring shared by `node_count` nodes."""
        self._ring = ring
        self._start = start
        length = min(1.0, width / max(1, len(ring)))
        # number of nodes whose subsets cover each place on the ring of endpoints
        overlap_count = round(length * node_count)
        self.length = min(1.0, overlap_count / node_count) if overlap_count else length

    def draw(self, random: Random) -> EndpointStatus:
        """Return a random endpoint of the arc, with a probability in proportion to its weight."""
        return self._ring.at(self._start + self.length * random.random())

    def covers(self, status: EndpointStatus) -> bool:
        """Return whether the middle of an endpoint is on the arc."""
        place = self._ring.place_of(status)
        return place is not None and (place - self._start) % 1.0 < self.length


class EndpointSubset:
    """Draws endpoints for requests without keys, from the arcs that this node uses."""

    def __init__(self, settings: api.Settings, endpoints: EndpointSet, seed: int) -> None:
        """Create the subset of a node; without a `node_index`, `seed` determines a random start."""
        self._endpoints = endpoints
        self._zone = settings.zone
        self._node_count = settings.node_count
        if settings.node_index is None:
            self._start = self._own_zone_start = Random(seed).random()
        else:
            self._start = settings.node_index / settings.node_count
            self._own_zone_start = settings.node_index * GOLDEN_RATIO
        self._peak_in_flight = 0.0
        # Number of requests without a routing key (the hash by which endpoints are selected for a request)
        # that arrived in the current measurement window, a period of WINDOW_NS. When it ends, the moving mean
        # of the fraction of this node's requests that have no routing key is updated, and this is set to 0.
        self._keyless_count = 0
        # moving mean of the fraction of requests without a key
        self._keyless_ratio = 0.0
        # version of the endpoint set from which the rings of endpoints were built
        self._rings_version = -1
        self._ring = self._own_zone_ring = Ring([])
        self._arc = self._own_zone_arc = Arc(self._ring, 0.0, 0.0, 1.0)

    def is_proper_subset(self) -> bool:
        """Return whether the node uses fewer endpoints than are ready."""
        return len(self._endpoints.ready) > self._width()

    def on_keyless_request(self) -> None:
        """Count the arrival of a request without a key."""
        self._keyless_count += 1

    def end_window(self, mean_in_flight: float, request_count: int) -> None:
        """Adapt the arcs to the mean of attempts in flight and the number of requests in the window."""
        self._peak_in_flight = max(mean_in_flight, DECAY_FACTOR * self._peak_in_flight)
        if request_count:
            ratio = self._keyless_count / request_count
            self._keyless_ratio += KEYLESS_EWMA_WEIGHT * (ratio - self._keyless_ratio)
        self._keyless_count = 0
        if self.is_proper_subset():
            self._update_arcs()

    def draw(self, random: Random, prefer_own_zone: bool) -> EndpointStatus:
        """Return a random endpoint of the subset; at least one endpoint has to be ready."""
        self._update_rings()
        if prefer_own_zone and len(self._own_zone_ring):
            ratio = self._endpoints.candidates.own_zone_ratio()
            if ratio >= 1.0 or random.random() < ratio:
                return self._own_zone_arc.draw(random)
        return self._arc.draw(random)

    def concentration(self, status: EndpointStatus) -> float:
        """Return the share of requests that an endpoint gets, as a multiple of an even spread by weight."""
        if not self._keyless_ratio or not self.is_proper_subset():
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
