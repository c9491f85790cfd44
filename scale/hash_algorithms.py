"""The algorithm in use that chooses an endpoint for a key, and published ones, with the same interface."""

from __future__ import annotations

from bisect import bisect_left, insort
from math import log
from typing import Protocol

from moleport.policy.hashing import HASH_MASK, SlotGrid, mix64, to_weight_units

SECOND_HASH_SALT = 0x9E3779B97F4A7C15
MULTI_PROBE_SALT = 0x5BD1E995
HASH_LIMIT = 1 << 64


def endpoint_name(number: int) -> bytes:
    """Return the name of an endpoint by its number."""
    return mix64(number).to_bytes(8, "little")


def hash_name(name: bytes, salt: int = 0) -> int:
    """Return a 64-bit hash of a name, which also depends on the salt."""
    return mix64(int.from_bytes(name, "little") + salt * SECOND_HASH_SALT)


class Algorithm(Protocol):
    """Chooses one endpoint for each key."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""


class SparseSlots:
    """The algorithm in use (moleport/policy/hashing.py)."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        self._grid: SlotGrid[bytes] = SlotGrid()
        self._grid.update({name: (to_weight_units(weight), name) for name, weight in weights.items()})

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        self._grid.update({name: None if weight is None else (to_weight_units(weight), name)})

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        return self._grid.find(mix64(key))


class MaglevLike:
    """A table of fixed size, rebuilt at each change (similar to Maglev, Eisenbud et al., NSDI 2016).

    It is the baseline of the comparison, and must not be changed.
    """

    TABLE_SIZE = 2039

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        self._weights = dict(weights)
        self._table: list[bytes] = []
        self._fill()

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        self._weights.pop(name, None)
        if weight is not None:
            self._weights[name] = weight
        self._fill()

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        return self._table[mix64(key) % self.TABLE_SIZE]

    def _fill(self) -> None:
        names = sorted(self._weights)
        heaviest = max(self._weights.values())
        table: list[bytes | None] = [None] * self.TABLE_SIZE
        positions = [hash_name(name) for name in names]
        steps = [1 + mix64(position) % (self.TABLE_SIZE - 1) for position in positions]
        credits = [0.0] * len(positions)
        free_count = self.TABLE_SIZE
        while free_count:
            for index, name in enumerate(names):
                credits[index] += self._weights[name] / heaviest
                if credits[index] < 1.0 or not free_count:
                    continue
                credits[index] -= 1.0
                while table[positions[index] % self.TABLE_SIZE] is not None:
                    positions[index] += steps[index]
                table[positions[index] % self.TABLE_SIZE] = name
                free_count -= 1
        self._table = [name for name in table if name is not None]


class Ring:
    """Consistent hashing with 100 points on a ring for each endpoint (Karger et al., STOC 1997)."""

    POINTS_PER_ENDPOINT = 100

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        self._points = sorted(
            point for name, weight in weights.items() for point in self._points_of(name, weight)
        )
        self._weights = dict(weights)

    def _points_of(self, name: bytes, weight: float) -> list[tuple[int, bytes]]:
        return [
            (hash_name(name, index), name)
            for index in range(max(1, round(self.POINTS_PER_ENDPOINT * weight)))
        ]

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        for point in self._points_of(name, self._weights.pop(name)) if name in self._weights else ():
            del self._points[bisect_left(self._points, point)]
        if weight is not None:
            self._weights[name] = weight
            for point in self._points_of(name, weight):
                insort(self._points, point)

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        return self._points[bisect_left(self._points, (mix64(key), b"")) % len(self._points)][1]


class MultiProbe:
    """Multi-probe consistent hashing (Appleton and O'Reilly 2015).

    Each endpoint has one point on a ring, and each key 21 probes; the probe that is closest to a point
    determines the endpoint. Weights are ignored.
    """

    PROBES_PER_KEY = 21

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        self._points = sorted((hash_name(name), name) for name in weights)

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        if weight is None:
            del self._points[bisect_left(self._points, (hash_name(name), name))]
        else:
            insort(self._points, (hash_name(name), name))

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        points = self._points
        first, stride = mix64(key), mix64(key ^ MULTI_PROBE_SALT) | 1
        min_distance, found = HASH_LIMIT, None
        for probe in range(self.PROBES_PER_KEY):
            position = first + probe * stride & HASH_MASK
            point, name = points[bisect_left(points, (position, b"")) % len(points)]
            distance = point - position & HASH_MASK
            if distance < min_distance:
                min_distance, found = distance, name
        return found


class Rendezvous:
    """Rendezvous hashing: the endpoint with the highest weighted score (Thaler and Ravishankar 1998)."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        self._weights = {name: (hash_name(name), weight) for name, weight in weights.items()}

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        self._weights.pop(name, None)
        if weight is not None:
            self._weights[name] = hash_name(name), weight

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        scores = (
            (weight / -log((mix64(key ^ name_hash) + 1) / 2.0**64), name)
            for name, (name_hash, weight) in self._weights.items()
        )
        return max(scores)[1]


class Anchor:
    """AnchorHash (Mendelson et al., IEEE/ACM ToN 2021).

    It can grow to a little more than twice the endpoints that it starts with. Weights are ignored.
    """

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        count, capacity = len(weights), 2 * len(weights) + 32
        self._size = count
        self._names: list[bytes | None] = [*weights, *([None] * (capacity - count))]
        self._buckets = {name: bucket for bucket, name in enumerate(weights)}
        self._free = list(range(capacity - 1, count - 1, -1))
        self._size_at_removal = [0] * count + list(range(count, capacity))
        self._working = list(range(capacity))
        self._last = list(range(capacity))
        self._next = list(range(capacity))

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        if weight is None:
            bucket = self._buckets.pop(name)
            self._free.append(bucket)
            self._size -= 1
            self._size_at_removal[bucket] = self._size
            last = self._working[self._size]
            self._working[self._last[bucket]] = self._next[bucket] = last
            self._last[last] = self._last[bucket]
            return
        bucket = self._free.pop()
        self._size_at_removal[bucket], self._names[bucket], self._buckets[name] = 0, name, bucket
        self._last[self._working[self._size]] = self._size
        self._working[self._last[bucket]] = self._next[bucket] = bucket
        self._size += 1

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        removal_sizes, key_hash = self._size_at_removal, mix64(key)
        bucket = key_hash % len(removal_sizes)
        while removal_sizes[bucket]:
            key_hash = mix64(key_hash ^ bucket)
            next_bucket = key_hash % removal_sizes[bucket]
            while removal_sizes[next_bucket] >= removal_sizes[bucket]:
                next_bucket = self._next[next_bucket]
            bucket = next_bucket
        return self._names[bucket]


class Dx:
    """DxHash (Dong and Wang 2021).

    There are at least twice as many slots as endpoints at the start, and each endpoint occupies one of them.
    Weights are ignored.
    """

    def __init__(self, weights: dict[bytes, float]) -> None:
        """Start with endpoints, given as weights by name."""
        size = 1 << (2 * len(weights) - 1).bit_length()
        self._slots: list[bytes | None] = [*weights, *([None] * (size - len(weights)))]
        self._slot_by_name = {name: slot for slot, name in enumerate(weights)}
        self._free = list(range(size - 1, len(weights) - 1, -1))

    def change(self, name: bytes, weight: float | None) -> None:
        """Set the weight of an endpoint; None removes it."""
        if weight is None:
            slot = self._slot_by_name.pop(name)
            self._slots[slot] = None
            self._free.insert(0, slot)
        else:
            self._slot_by_name[name] = slot = self._free.pop()
            self._slots[slot] = name

    def find(self, key: int) -> bytes | None:
        """Return the name of the endpoint of a key."""
        slots, key_hash = self._slots, mix64(key)
        mask = len(slots) - 1
        name = slots[key_hash & mask]
        while name is None:
            key_hash = mix64(key_hash)
            name = slots[key_hash & mask]
        return name


ALGORITHMS: dict[str, type[Algorithm]] = {
    "sparse_slots": SparseSlots,
    "maglev_like": MaglevLike,
    "ring_100": Ring,
    "multi_probe_21": MultiProbe,
    "rendezvous": Rendezvous,
    "anchor": Anchor,
    "dx": Dx,
}
BASELINE = "maglev_like"
IN_USE = "sparse_slots"
