"""Detection of hot keys, by this node's own requests.

A key is hot if it has more than HOT_LOAD_RATIO of an endpoint's mean share of the remembered requests, and at
least MIN_HOT_REQUESTS. Selection starts at a random one of `fan_out` positions of the key's sequence and
compares two endpoints, so that the key reaches up to `fan_out + 1` endpoints.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import ceil

HOT_LOAD_RATIO = 0.5
"""A key above this part of an endpoint's mean share is spread over more than the usual two endpoints."""
MIN_HOT_REQUESTS = 2
MEMORY_REQUESTS = 6.0
"""Requests that are remembered for each endpoint; older ones decay."""
MIN_REMEMBERED_REQUESTS = 0.5
"""A key is forgotten when its decayed count falls below this."""
MAX_SCALE_FACTOR = 1e100
"""The scale is reset above this, far below the largest float."""


class HotKeyTracker:
    """Decayed request counts by key, and the number of start positions of each hot key.

    Counts are kept by forward decay (Cormode, Shkapenyuk, Srivastava and Xu, ICDE 2009): the weight of a new
    request grows instead of all older counts shrinking, so a key without requests costs nothing.
    """

    def __init__(self) -> None:
        """Start without any requests."""
        self.fan_out: dict[int, int] = {}  # by hot key: start positions, one less than its endpoints
        self._counts: dict[int, float] = {}  # by key; times the scale, as all counts below
        self._scale = 1.0  # weight of a new request
        self._total = 0.0
        self._count_heap: list[tuple[float, int]] = []  # each key once, with a present or earlier count
        self._repeated_keys: dict[int, None] = {}  # with more than one request, since the last update

    def record(self, key: int) -> None:
        """Count a request with this key."""
        count = self._counts.get(key)
        if count is None:
            self._counts[key] = self._scale
            heappush(self._count_heap, (self._scale, key))
        else:
            self._counts[key] = count + self._scale
            self._repeated_keys[key] = None
        self._total += self._scale

    def update(self, endpoint_count: int) -> None:
        """Find the hot keys, then let the counts decay to what the memory for so many endpoints holds."""
        total = self._total / self._scale
        self._update_fan_out(endpoint_count, total)
        decay_ratio = min(1.0, MEMORY_REQUESTS * endpoint_count / max(1.0, total))
        if decay_ratio:
            self._scale /= decay_ratio
        else:
            self._counts, self._count_heap, self._scale, self._total = {}, [], 1.0, 0.0
        self._forget_rare_keys()
        if self._scale > MAX_SCALE_FACTOR:
            self._reset_scale()

    def _update_fan_out(self, endpoint_count: int, total: float) -> None:
        """Give each hot key a start position for each HOT_LOAD_RATIO of a mean share, and one more."""
        hot_above = HOT_LOAD_RATIO * total / max(1, endpoint_count)
        fan_out: dict[int, int] = {}
        for key in {**self.fan_out, **self._repeated_keys}:
            count = self._counts.get(key, 0.0) / self._scale
            if count >= MIN_HOT_REQUESTS and count > hot_above:
                fan_out[key] = max(1, min(endpoint_count, 1 + ceil(count / hot_above)))
        self.fan_out = fan_out
        self._repeated_keys.clear()

    def _forget_rare_keys(self) -> None:
        min_count = MIN_REMEMBERED_REQUESTS * self._scale
        heap = self._count_heap
        while heap and heap[0][0] < min_count:
            key = heappop(heap)[1]
            count = self._counts[key]
            if count >= min_count:
                heappush(heap, (count, key))
            else:
                del self._counts[key]
                self._total -= count

    def _reset_scale(self) -> None:
        """Divide all counts by the scale; without this they would overflow after some hours."""
        self._counts = {key: count / self._scale for key, count in self._counts.items()}
        self._count_heap = [(count, key) for key, count in self._counts.items()]
        heapify(self._count_heap)
        self._scale, self._total = 1.0, sum(self._counts.values())
