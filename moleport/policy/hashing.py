"""Consistent hashing by weight: the endpoint that a key leads to, on a sparse grid of slots.

As in SPOCA (Chawla, Reed, Juhnke and Syed, USENIX ATC 2011) and DxHash (Dong and Wang, 2021), an endpoint
claims slots by its weight, and a key probes slots in an order of its own and takes the first that is
occupied. So each occupied slot gets the same fraction of all keys, and a slot that is occupied or freed moves
only the keys that lead to it.

In both papers the order of changes decides which endpoint has which slot. Here the rule of ordered hash
tables decides (Amble and Knuth 1974; unique representation: Blelloch and Golovin 2007): where two claims
meet, the one of the lower rank has the slot, and the other goes on to the next slot of its probe sequence.
So the grid is a function of the endpoints and their weights alone, and nodes with the same list agree.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Generic, TypeVar

T = TypeVar("T")

HASH_BITS = 64
HASH_MASK = (1 << HASH_BITS) - 1
HASH_RATIO_BITS = 20
HASH_RATIO_SCALE = 1 << HASH_RATIO_BITS
"""1.0, for a ratio that is compared with a hash shifted by `HASH_RATIO_SHIFT_BITS`."""
HASH_RATIO_SHIFT_BITS = HASH_BITS - HASH_RATIO_BITS
"""Shift that leaves the highest `HASH_RATIO_BITS` of a hash."""
RANK_BYTES = 24

SPARSITY_FACTOR = 16
"""Slots of the grid for each claim at least: with fewer, more claims meet and a change moves more keys."""
MIN_SLOT_COUNT = 4096
GROWTH_FACTOR = 32
"""A grid that grows moves most keys, so it grows seldom: past 256 claims, then past 8,192."""

WINDOW_SLOT_COUNT = 256
"""Slots that a key probes at once."""
STRIDE_SHIFT_BITS = 20
STRIDE_LIMIT = 1024
"""The distances between the slots of a window are odd, and below this."""
MAX_WINDOW_COUNT = 64
"""Windows that a key probes at most: equal weights need one or two, very different ones four on average."""

MIN_WEIGHT, MAX_WEIGHT = 2.0**-40, 2.0**40
"""A weight beyond these counts as the nearer one."""
WEIGHT_UNITS = 1 << 40
"""Units in a weight of 1.0. Weights are integers, so that their sum is the same in any order."""


def mix64(value: int) -> int:
    """Return a 64-bit hash of an integer, the same on every node (SplitMix64: Steele et al. 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & HASH_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & HASH_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & HASH_MASK
    return value ^ (value >> 31)


def to_weight_units(weight: float) -> int:
    """Return a weight as an integer number of units, at least 1."""
    if weight == 1.0:
        return WEIGHT_UNITS
    return int(min(max(weight, MIN_WEIGHT), MAX_WEIGHT) * WEIGHT_UNITS)


def ceil_div(dividend: int, divisor: int) -> int:
    """Return the quotient rounded up; exact, as a float would not be for large integers."""
    return -(-dividend // divisor)


class Claim(Generic[T]):
    """An endpoint's claim to one slot: the first of its probe sequence that no claim of lower rank has."""

    __slots__ = ("key_ratio", "probe", "rank", "value")

    def __init__(self, name: bytes, index: int, value: T) -> None:
        """Make the claim with this index among those of the endpoint of this name."""
        if index:
            digest = blake2b(name, digest_size=RANK_BYTES, salt=b"%d" % index)
        else:
            digest = blake2b(name, digest_size=RANK_BYTES)
        self.rank = int.from_bytes(digest.digest(), "little")
        self.probe = 0  # position in its probe sequence
        self.key_ratio = HASH_RATIO_SCALE  # of the keys that probe its slot, how many it takes
        self.value = value

    def slot(self, probe: int, mask: int) -> int:
        """Return a slot of the probe sequence, by double hashing; an odd stride reaches every slot."""
        if not probe:
            return self.rank & mask
        return (self.rank + probe * ((self.rank >> HASH_BITS) | 1)) & mask


class SlotGrid(Generic[T]):
    """Values by name and weight, on a grid of slots.

    All results are a function of the present names, weights and values, not of the order of changes. A change
    costs as much as the slots that it occupies or frees, about one; one that resizes the grid or changes the
    weight of a slot costs as much as all slots.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._mask = MIN_SLOT_COUNT - 1  # the number of slots is a power of two
        self._slots: dict[int, Claim[T]] = {}
        # 1 for an occupied slot, repeated past the last one so that no window wraps; empty: to be rebuilt.
        self._occupied = bytearray()
        self._displaced: dict[int, list[Claim[T]]] = {}  # by slot: claims that went on to a later one
        self._claims: dict[bytes, list[Claim[T]]] = {}
        self._members: dict[bytes, tuple[int, T]] = {}  # weight in units, value
        self._slot_units = WEIGHT_UNITS  # weight of one slot, in units
        self._claim_count = 0
        self._weight_counts: dict[int, int] = {}  # by weight in units: members that have it
        self.total_units = 0

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def has_equal_weights(self) -> bool:
        """Return whether all members have the same weight."""
        return len(self._weight_counts) <= 1

    def update(self, changes: Mapping[bytes, tuple[int, T] | None]) -> None:
        """Set weight in units (at least 1) and value of the members named; None removes a member."""
        self._update_members(changes)
        slot_units = self._fitting_slot_units()
        if slot_units != self._slot_units:
            self._slot_units = slot_units
            self._claim_count = sum(ceil_div(units, slot_units) for units, _ in self._members.values())
        elif self._occupied and self._fitting_slot_count() == self._mask + 1:
            for name in changes:
                for claim in self._adjust_claims(name):
                    self._place(claim)
            return
        self._rebuild({**dict.fromkeys(changes), **dict.fromkeys(self._members)})

    def find(self, key_hash: int) -> T | None:
        """Return the value of the first occupied slot in the probe order of a 64-bit hash.

        The order goes through windows of slots, each with a start and a stride from a hash of its own. None
        if there is no member, or if `MAX_WINDOW_COUNT` windows hold no slot that takes the key.
        """
        if not self._members:
            return None
        mask, occupied, slots = self._mask, self._occupied, self._slots
        for _ in range(MAX_WINDOW_COUNT):
            start = key_hash & mask
            stride = ((key_hash >> STRIDE_SHIFT_BITS) & (STRIDE_LIMIT - 1)) | 1
            window = occupied[start : start + WINDOW_SLOT_COUNT * stride : stride]
            hit = window.find(1)
            while hit >= 0:
                claim = slots[(start + hit * stride) & mask]
                key_ratio = claim.key_ratio
                if (
                    key_ratio == HASH_RATIO_SCALE
                    or (mix64((key_hash + hit) ^ (claim.rank & HASH_MASK)) >> HASH_RATIO_SHIFT_BITS)
                    < key_ratio
                ):
                    return claim.value
                hit = window.find(1, hit + 1)
            key_hash = mix64(key_hash)
        return None

    def _update_members(self, changes: Mapping[bytes, tuple[int, T] | None]) -> None:
        members, weight_counts, slot_units = self._members, self._weight_counts, self._slot_units
        for name, change in changes.items():
            previous = members.pop(name, None)
            if previous is not None:
                units = previous[0]
                self.total_units -= units
                self._claim_count -= ceil_div(units, slot_units)
                weight_counts[units] -= 1
                if not weight_counts[units]:
                    del weight_counts[units]
            if change is not None:
                units = change[0]
                members[name] = change
                self.total_units += units
                self._claim_count += ceil_div(units, slot_units)
                weight_counts[units] = weight_counts.get(units, 0) + 1

    def _fitting_slot_units(self) -> int:
        """Return the weight of a slot, a power of four that makes the mean weight half a slot to two slots.

        A member far above the mean has many claims, and one far below it has one that takes few keys.
        """
        twice_mean = 2 * self.total_units // max(1, len(self._members))
        if not twice_mean:
            return self._slot_units
        power_of_four = (twice_mean.bit_length() - 1) // 2
        return 1 << (2 * power_of_four)

    def _fitting_slot_count(self) -> int:
        count = MIN_SLOT_COUNT
        while count < SPARSITY_FACTOR * self._claim_count:
            count *= GROWTH_FACTOR
        return count

    def _adjust_claims(self, name: bytes) -> list[Claim[T]]:
        """Give a member as many claims as its weight comes to; return the new ones, still without slots."""
        claims = self._claims.setdefault(name, [])
        units, value = self._members.get(name, (0, None))
        count = ceil_div(units, self._slot_units)
        while len(claims) > count:
            self._release(claims.pop())
        if value is None:
            del self._claims[name]
            return []
        for claim in claims:
            claim.value, claim.key_ratio = value, HASH_RATIO_SCALE
        new = [Claim(name, index, value) for index in range(len(claims), count)]
        claims += new
        remainder = units % self._slot_units
        if remainder:
            claims[-1].key_ratio = max(1, remainder * HASH_RATIO_SCALE // self._slot_units)
        return new

    def _rebuild(self, names: Mapping[bytes, None]) -> None:
        """Place all claims anew, on a grid of the fitting size."""
        slots: dict[int, Claim[T]] = {}
        self._slots, self._displaced, self._occupied = slots, {}, bytearray()
        for name in names:
            units, value = self._members.get(name, (0, None))
            if units == self._slot_units and value is not None and name not in self._claims:
                self._claims[name] = [Claim(name, 0, value)]  # the most common case of _adjust_claims
            else:
                self._adjust_claims(name)
        size = self._fitting_slot_count()
        self._mask = mask = size - 1
        for claims in self._claims.values():
            for claim in claims:
                claim.probe = 0
                if slots.setdefault(claim.rank & mask, claim) is not claim:
                    self._place(claim)
        occupied = bytearray(size)
        for slot in slots:
            occupied[slot] = 1
        overhang = WINDOW_SLOT_COUNT * STRIDE_LIMIT
        self._occupied = (occupied * (2 + overhang // size))[: size + overhang]

    def _set_occupied(self, slot: int, occupied: int) -> None:
        for position in range(slot, len(self._occupied), self._mask + 1):
            self._occupied[position] = occupied

    def _place(self, claim: Claim[T]) -> None:
        """Give a claim its slot; a claim of higher rank that occupies it goes on in turn."""
        slots, mask = self._slots, self._mask
        while True:
            slot = claim.slot(claim.probe, mask)
            occupant = slots.get(slot)
            if occupant is None:
                slots[slot] = claim
                if self._occupied:
                    self._set_occupied(slot, 1)
                return
            if claim.rank < occupant.rank:
                slots[slot], claim = claim, occupant
            self._displaced.setdefault(slot, []).append(claim)
            claim.probe += 1

    def _release(self, claim: Claim[T]) -> None:
        """Free a claim's slot for the lowest rank displaced from it, and so on with the slot of that one."""
        if not self._occupied:
            return  # the grid is about to be rebuilt
        mask = self._mask
        freed = claim.slot(claim.probe, mask)
        self._forget_displacements(claim, 0)
        while displaced := self._displaced.get(freed):
            successor = min(displaced, key=lambda other: other.rank)
            left = successor.slot(successor.probe, mask)
            probe = next(
                earlier for earlier in range(successor.probe) if successor.slot(earlier, mask) == freed
            )
            self._forget_displacements(successor, probe)
            successor.probe = probe
            self._slots[freed] = successor
            freed = left
        del self._slots[freed]
        self._set_occupied(freed, 0)

    def _forget_displacements(self, claim: Claim[T], first_probe: int) -> None:
        """Remove a claim from the displaced ones, from this probe of its sequence on."""
        for probe in range(first_probe, claim.probe):
            slot = claim.slot(probe, self._mask)
            self._displaced[slot].remove(claim)
            if not self._displaced[slot]:
                del self._displaced[slot]
