"""Keys that are more than one endpoint's work, by this node's own arrivals."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import ceil

HOT = 0.5  # of a server's fair share of this node's requests: a key above it goes to more than two
HOT_LEAST = 2  # requests; fewer say nothing about a key's share
KEY_MEMORY = 6.0  # requests for each server are remembered: at a small share of traffic that takes long
KEY_LEAST = 0.5  # requests; a key with fewer is forgotten
MOST_SCALE = 1e100


class HotKeyTracker:
    """Arrivals by key, older ones fading, and the keys that are more than a server's work. Counts are kept by
    forward decay (Cormode, Shkapenyuk, Srivastava and Xu, ICDE 2009): an arrival counts for more the later it
    comes, so that nothing has to be done to the counts of keys that have none."""

    def __init__(self) -> None:
        self.fan_out: dict[int, int] = {}  # hot keys: how many servers each goes to
        self._counts: dict[int, float] = {}  # times the scale
        self._scale = 1.0  # what an arrival counts for now
        self._total = 0.0
        self._fewest: list[tuple[float, int]] = []  # a heap of all keys by a count that each had
        self._risen: dict[int, None] = {}  # keys that may be hot by arrivals since the last update

    def record(self, key: int) -> None:
        count = self._counts.get(key)
        if count is None:
            self._counts[key] = self._scale
            heappush(self._fewest, (self._scale, key))
        else:
            self._counts[key] = count + self._scale
            self._risen[key] = None
        self._total += self._scale

    def update(self, servers: int) -> None:
        """A key that is more than a server's work goes to as many as it needs: all nodes send it to the
        same two, and each node's own load there is too small to tell."""
        total = self._total / self._scale
        fair = HOT * total / max(1, servers)
        hot = ((key, self._counts.get(key, 0.0) / self._scale) for key in {**self.fan_out, **self._risen})
        self.fan_out = {
            key: max(1, min(servers, 1 + ceil(count / fair)))
            for key, count in hot
            if count >= HOT_LEAST and count > fair
        }
        self._risen.clear()
        keep = min(1.0, KEY_MEMORY * servers / max(1.0, total))
        if not keep:
            self._counts, self._fewest, self._scale, self._total = {}, [], 1.0, 0.0
        self._scale /= keep or 1.0
        least = KEY_LEAST * self._scale
        while self._fewest and self._fewest[0][0] < least:
            key = heappop(self._fewest)[1]
            if (count := self._counts[key]) >= least:
                heappush(self._fewest, (count, key))
            else:
                del self._counts[key]
                self._total -= count
        if self._scale > MOST_SCALE:  # once in hours: the numbers would pass a float's range
            self._counts = {key: count / self._scale for key, count in self._counts.items()}
            self._fewest = [(count, key) for key, count in self._counts.items()]
            heapify(self._fewest)
            self._scale, self._total = 1.0, sum(self._counts.values())
