"""Zone-aware lookup of candidates: keys map to endpoints of the own zone, up to its share of capacity."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from moleport.policy.hashing import (
    HASH_RATIO_SCALE,
    HASH_RATIO_SHIFT_BITS,
    SlotGrid,
    mix64,
    to_weight_units,
)

T = TypeVar("T")


class CandidateIndex(Generic[T]):
    """Maps keys to endpoints, among all endpoints or among those of the node's own zone.

    The fraction of the keys that is assigned to the own zone is W * Z / T, at most 1, where W is the weight
    of the own zone, T the weight of all zones and Z the number of zones. This assumes that each zone has an
    equal part of the traffic, and keeps a zone that lost endpoints from being overloaded by its own nodes.
    """

    def __init__(self, zone: int | None) -> None:
        """Create an empty index for a node in this zone; None: the zone is not known."""
        self._own_zone = zone
        self._all_zones_grid: SlotGrid[T] = SlotGrid()
        self._own_zone_grid: SlotGrid[T] = SlotGrid()
        # zone of each endpoint, by endpoint id
        self._zones: dict[bytes, int] = {}
        # number of endpoints in each zone, by zone
        self._endpoint_counts: dict[int, int] = {}
        # fraction of all keys for which the node prefers endpoints of its own zone, times HASH_RATIO_SCALE
        self._own_zone_ratio = 0

    def __len__(self) -> int:
        """Return the number of endpoints in the index."""
        return len(self._all_zones_grid)

    def has_equal_weights(self) -> bool:
        """Return whether all endpoints in the index have the same weight."""
        return self._all_zones_grid.has_equal_weights()

    def own_zone_ratio(self) -> float:
        """Return the fraction of the keys that is assigned to the own zone, 0 to 1."""
        return self._own_zone_ratio / HASH_RATIO_SCALE

    def update(self, changes: Mapping[bytes, tuple[int, float, T] | None]) -> None:
        """Set zone, weight and value of endpoints by id; None removes an endpoint."""
        own_zone_changes: dict[bytes, tuple[int, T] | None] = {}
        all_changes: dict[bytes, tuple[int, T] | None] = {}
        zones, counts, own_zone = self._zones, self._endpoint_counts, self._own_zone
        for name, change in changes.items():
            previous_zone = zones.pop(name, None)
            if previous_zone is not None:
                counts[previous_zone] -= 1
                if not counts[previous_zone]:
                    del counts[previous_zone]
                if previous_zone == own_zone:
                    own_zone_changes[name] = None
            if change is None:
                all_changes[name] = None
                continue
            zone, weight, value = change
            zones[name] = zone
            counts[zone] = counts.get(zone, 0) + 1
            entry = (to_weight_units(weight), value)
            all_changes[name] = entry
            if zone == own_zone:
                own_zone_changes[name] = entry
        self._all_zones_grid.update(all_changes)
        self._own_zone_grid.update(own_zone_changes)
        self._update_own_zone_ratio()

    def find(self, key_hash: int, prefer_own_zone: bool) -> T | None:
        """Return the endpoint that a 64-bit hash of a key maps to; None if no endpoint accepts the key.

        With `prefer_own_zone`, a key that is assigned to the own zone maps to an endpoint of the own zone.
        """
        if prefer_own_zone and (
            self._own_zone_ratio == HASH_RATIO_SCALE
            or (mix64(key_hash) >> HASH_RATIO_SHIFT_BITS) < self._own_zone_ratio
        ):
            return self._own_zone_grid.find(key_hash)
        return self._all_zones_grid.find(key_hash)

    def _update_own_zone_ratio(self) -> None:
        total_units = max(1, self._all_zones_grid.total_units)
        zone_count = len(self._endpoint_counts)
        ratio = self._own_zone_grid.total_units * zone_count * HASH_RATIO_SCALE // total_units
        self._own_zone_ratio = min(HASH_RATIO_SCALE, ratio)
