"""The endpoints that a key may go to, with those of the node's own zone first as far as they can carry it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Generic, TypeVar

from moleport.policy.hashing import HASH_RATIO_SCALE, SlotGrid, mix64, to_weight_units

T = TypeVar("T")


class CandidateIndex(Generic[T]):
    """All servers, and those of the own zone for the part of the keys that they can carry."""

    def __init__(self, zone: int | None) -> None:
        self._zone = zone
        self._all: SlotGrid[T] = SlotGrid()
        self._near: SlotGrid[T] = SlotGrid()
        self._zones: dict[bytes, int] = {}  # of each server
        self._counts: dict[int, int] = {}  # servers of each zone
        self._own = 0  # part of the keys that the own zone can carry, of FULL_PART

    def __len__(self) -> int:
        return len(self._all)

    def has_equal_weights(self) -> bool:
        """All have the same weight."""
        return self._all.has_equal_weights()

    def update(self, changes: Mapping[bytes, tuple[int, float, T] | None]) -> None:
        """Sets zone, weight and value of the servers named; None: takes it out."""
        near: dict[bytes, tuple[int, T] | None] = {}
        everywhere: dict[bytes, tuple[int, T] | None] = {}
        zones, counts, own_zone = self._zones, self._counts, self._zone
        for name, change in changes.items():
            before = zones.pop(name, None)
            if before is not None:
                counts[before] -= 1
                if not counts[before]:
                    del counts[before]
                if before == own_zone:
                    near[name] = None
            if change is None:
                everywhere[name] = None
                continue
            zone, weight, server = change
            zones[name] = zone
            counts[zone] = counts.get(zone, 0) + 1
            everywhere[name] = entry = (to_weight_units(weight), server)
            if zone == own_zone:
                near[name] = entry
        self._all.update(everywhere)
        self._near.update(near)
        # Of a zone's traffic, were it alike in all: one that lost servers is not crowded by its own nodes.
        part = self._near.total * len(self._counts) * HASH_RATIO_SCALE
        self._own = min(HASH_RATIO_SCALE, part // max(1, self._all.total))

    def find(self, place: int, near: bool) -> T | None:
        """The server that a hash of 64 bits leads to, where near is asked for one of the own zone if that can
        carry this key. None if there is no server."""
        if near and (self._own == HASH_RATIO_SCALE or mix64(place) >> 44 < self._own):
            return self._near.find(place)
        return self._all.find(place)
