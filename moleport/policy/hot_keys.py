"""Detection of hot keys, from the requests of this node.

A key is hot if it has at least MIN_HOT_REQUESTS of the remembered requests, and more than HOT_LOAD_RATIO of
their mean number per endpoint. Selection starts at a random one of `fan_out` positions of the key's sequence
and compares two endpoints, so that a hot key is spread over up to `fan_out + 1` endpoints.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import ceil

HOT_LOAD_RATIO = 0.5
"""A key with more than this fraction of an endpoint's mean load is spread over more than two endpoints."""
MIN_HOT_REQUESTS = 2
MEMORY_REQUESTS = 6.0
"""Number of requests that are remembered per endpoint; older requests decay."""
MIN_REMEMBERED_REQUESTS = 0.5
"""A key is removed when the decayed request count of the key falls below this number."""
MAX_SCALE_FACTOR = 1e100
"""The scale of the request counts is reset above this factor, which is far below the largest float."""


class HotKeyTracker:
    """Keeps decayed request counts by key, and the number of start positions of each hot key.

    Counts use forward decay (Cormode, Shkapenyuk, Srivastava and Xu, ICDE 2009): the weight of new requests
    grows, instead of all older counts being reduced, so keys without requests cost nothing.
    """

    def __init__(self) -> None:
        """Create a tracker without any requests."""
        # number of positions in the endpoint sequence of each hot key at which selection may start, by key;
        # a hot key may use one endpoint more than this
        self.fan_out: dict[int, int] = {}
        # decayed request count of each key, multiplied by the weight of a new request (`_scale`)
        self._counts: dict[int, float] = {}
        # weight of a new request in the request counts of keys; older requests count less as the weight grows
        self._scale = 1.0
        # sum of the decayed request counts of all keys, multiplied by the weight of a new request (`_scale`)
        self._total = 0.0
        # Heap of (decayed request count times `_scale`, key) with each counted key once; counts may be
        # outdated. `_scale` is the weight of a new request in the counts. It grows, instead of the counts of
        # older requests being reduced.
        self._count_heap: list[tuple[float, int]] = []
        # Keys with a request in the current measurement window that arrived at this node while the key had a
        # decayed request count (`_counts`) from earlier requests. The hot keys are determined at the end of
        # each window; only these keys, and the keys that were hot until then, can be among them.
        self._repeated_keys: dict[int, None] = {}

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
        """Find the hot keys, then decay the request counts to MEMORY_REQUESTS per endpoint."""
        total = self._total / self._scale
        self._update_fan_out(endpoint_count, total)
        decay_ratio = min(1.0, MEMORY_REQUESTS * endpoint_count / max(1.0, total))
        if decay_ratio:
            self._scale /= decay_ratio
        else:
            self._counts, self._count_heap, self._scale, self._total = {}, [], 1.0, 0.0
        self._remove_rare_keys()
        if self._scale > MAX_SCALE_FACTOR:
            self._reset_scale()

    def _update_fan_out(self, endpoint_count: int, total: float) -> None:
        """Set the fan-out of each hot key: a position per HOT_LOAD_RATIO of the mean load, and one more."""
        hot_threshold = HOT_LOAD_RATIO * total / max(1, endpoint_count)
        fan_out: dict[int, int] = {}
        for key in {**self.fan_out, **self._repeated_keys}:
            count = self._counts.get(key, 0.0) / self._scale
            if count >= MIN_HOT_REQUESTS and count > hot_threshold:
                fan_out[key] = max(1, min(endpoint_count, 1 + ceil(count / hot_threshold)))
        self.fan_out = fan_out
        self._repeated_keys.clear()

    def _remove_rare_keys(self) -> None:
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
        """Divide all request counts by the scale, as the counts would overflow after some hours otherwise."""
        self._counts = {key: count / self._scale for key, count in self._counts.items()}
        self._count_heap = [(count, key) for key, count in self._counts.items()]
        heapify(self._count_heap)
        self._scale, self._total = 1.0, sum(self._counts.values())
