"""Weighted consistent hashing: maps keys to endpoints on a sparse grid of slots.

As in SPOCA (Chawla, Reed, Juhnke and Syed, USENIX ATC 2011) and DxHash (Dong and Wang, 2021), an endpoint
claims a number of slots in proportion to its weight. A key probes slots in an order that depends on the key,
and maps to the endpoint of the first occupied slot. So each occupied slot gets the same fraction of all keys,
and occupying or freeing a slot moves only the keys that map to it.

In both papers the order of changes decides which endpoint occupies which slot. Here the rule of ordered hash
tables decides (Amble and Knuth 1974; unique representation: Blelloch and Golovin 2007): if two claims collide
at a slot, the claim with the lower rank occupies it, and the other one probes the next slot of its sequence.
So the grid depends only on the endpoints and their weights, and nodes with the same list agree.
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
"""Fixed-point scale (1.0) of ratios that are compared with a hash shifted by `HASH_RATIO_SHIFT_BITS`."""
HASH_RATIO_SHIFT_BITS = HASH_BITS - HASH_RATIO_BITS
"""Right shift that keeps the highest `HASH_RATIO_BITS` of a hash."""
RANK_BYTES = 24

SPARSITY_FACTOR = 16
"""Least number of slots per claim; with fewer slots, more claims collide and a change moves more keys."""
MIN_SLOT_COUNT = 4096
GROWTH_FACTOR = 32
"""Factor by which the number of slots grows.

Resizing the grid moves most keys, so the grid grows seldom: above 256 claims, then above 8,192.
"""

WINDOW_SLOT_COUNT = 256
"""Number of slots that a key probes at once."""
STRIDE_SHIFT_BITS = 20
STRIDE_LIMIT_SLOTS = 1024
"""Bound on the distance between the slots of a window; the distance is an odd number below this bound."""
MAX_WINDOW_COUNT = 64
"""Largest number of windows that a key probes.

With equal weights a key needs one or two windows, with very different weights four on average.
"""

MIN_WEIGHT, MAX_WEIGHT = 2.0**-40, 2.0**40
"""Lowest and highest weight of an endpoint; a weight outside this range is clamped."""
WEIGHT_UNITS = 1 << 40
"""Units per weight of 1.0. Weights are integers, so that their sum is the same in any order."""


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
    """Return the quotient rounded up; exact for large integers, unlike division of floats."""
    return -(-dividend // divisor)


class Claim(Generic[T]):
    """Claim of an endpoint to one slot: the first of its probe sequence without a claim of lower rank."""

    __slots__ = ("key_ratio", "probe", "rank", "value")

    def __init__(self, name: bytes, index: int, value: T) -> None:
        """Create the claim with this index among the claims of the endpoint `name`."""
        if index:
            digest = blake2b(name, digest_size=RANK_BYTES, salt=b"%d" % index)
        else:
            digest = blake2b(name, digest_size=RANK_BYTES)
        self.rank = int.from_bytes(digest.digest(), "little")
        # A claim assigns one slot of the hash table to an endpoint: the first slot of the claim's probe
        # sequence that no claim of lower rank occupies. This is the index of that slot in the sequence.
        self.probe = 0
        # A claim assigns one slot of the hash table to an endpoint. This is the fraction of the keys probing
        # the slot that map to the endpoint, times HASH_RATIO_SCALE; the other keys probe on.
        self.key_ratio = HASH_RATIO_SCALE
        self.value = value

    def slot(self, probe: int, mask: int) -> int:
        """Return a slot of the probe sequence by double hashing, with an odd stride to reach every slot."""
        if not probe:
            return self.rank & mask
        return (self.rank + probe * ((self.rank >> HASH_BITS) | 1)) & mask


class SlotGrid(Generic[T]):
    """Hash table that maps keys to members by weight. A member has a name, a weight and a value.

    All results depend only on the present members, not on the order of changes. The cost of a change grows
    with the number of slots that it occupies or frees, about one. A change that resizes the grid or changes
    the weight of a slot costs as much as all slots.
    """

    def __init__(self) -> None:
        """Create a grid without members."""
        # bit mask of slot numbers: the number of slots of the hash table, a power of two, less 1
        self._mask = MIN_SLOT_COUNT - 1
        self._slots: dict[int, Claim[T]] = {}
        # One byte per slot of the hash table, 1 for an occupied slot; empty until the hash table is built.
        # The bytes are repeated beyond the last slot, so that no window of slots wraps around.
        self._occupied = bytearray()
        # A claim assigns one slot of the hash table to an endpoint. These are the claims that were displaced
        # from a slot to a later slot of their probe sequences, by the number of the slot that they lost.
        self._displaced: dict[int, list[Claim[T]]] = {}
        self._claims: dict[bytes, list[Claim[T]]] = {}
        # By name of each member of the hash table (an endpoint to which keys map): its weight, in multiples
        # of 1 / WEIGHT_UNITS, and the value that a lookup returns for the keys that map to the member.
        self._members: dict[bytes, tuple[int, T]] = {}
        # weight that one slot of the hash table stands for, in multiples of 1 / WEIGHT_UNITS
        self._slot_units = WEIGHT_UNITS
        self._claim_count = 0
        # number of members of the hash table with each weight, by weight in multiples of 1 / WEIGHT_UNITS
        self._weight_counts: dict[int, int] = {}
        self.total_units = 0

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def has_equal_weights(self) -> bool:
        """Return whether the weights of all members are equal."""
        return len(self._weight_counts) <= 1

    def update(self, changes: Mapping[bytes, tuple[int, T] | None]) -> None:
        """Set weight (in units, at least 1) and value of members by name; None removes a member."""
        self._update_members(changes)
        slot_units = self._target_slot_units()
        if slot_units != self._slot_units:
            self._slot_units = slot_units
            self._claim_count = sum(ceil_div(units, slot_units) for units, _ in self._members.values())
        elif self._occupied and self._target_slot_count() == self._mask + 1:
            for name in changes:
                for claim in self._adjust_claims(name):
                    self._place(claim)
            return
        self._rebuild({**dict.fromkeys(changes), **dict.fromkeys(self._members)})

    def find(self, key_hash: int) -> T | None:
        """Return the value of the first occupied slot in the probe order of a 64-bit hash.

        A key probes windows of slots, whose start and stride come from successive hashes. Returns None if
        there are no members, or if none of `MAX_WINDOW_COUNT` windows has a slot that accepts the key.
        """
        if not self._members:
            return None
        mask, occupied, slots = self._mask, self._occupied, self._slots
        for _ in range(MAX_WINDOW_COUNT):
            start = key_hash & mask
            stride = ((key_hash >> STRIDE_SHIFT_BITS) & (STRIDE_LIMIT_SLOTS - 1)) | 1
            window = occupied[start : start + WINDOW_SLOT_COUNT * stride : stride]
            offset = window.find(1)
            while offset >= 0:
                claim = slots[(start + offset * stride) & mask]
                key_ratio = claim.key_ratio
                if (
                    key_ratio == HASH_RATIO_SCALE
                    or (mix64((key_hash + offset) ^ (claim.rank & HASH_MASK)) >> HASH_RATIO_SHIFT_BITS)
                    < key_ratio
                ):
                    return claim.value
                offset = window.find(1, offset + 1)
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

    def _target_slot_units(self) -> int:
        """Return the weight of a slot: the power of four at which a mean weight is half a slot to two slots.

        A member far above the mean has many claims; one far below it has a single claim with few keys.
        """
        twice_mean = 2 * self.total_units // max(1, len(self._members))
        if not twice_mean:
            return self._slot_units
        power_of_four = (twice_mean.bit_length() - 1) // 2
        return 1 << (2 * power_of_four)

    def _target_slot_count(self) -> int:
        count = MIN_SLOT_COUNT
        while count < SPARSITY_FACTOR * self._claim_count:
            count *= GROWTH_FACTOR
        return count

    def _adjust_claims(self, name: bytes) -> list[Claim[T]]:
        """Adjust the number of claims of a member to its weight; return the new claims, without slots yet."""
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
        """Rebuild the grid with the fitting size, and place all claims."""
        slots: dict[int, Claim[T]] = {}
        self._slots, self._displaced, self._occupied = slots, {}, bytearray()
        for name in names:
            units, value = self._members.get(name, (0, None))
            if units == self._slot_units and value is not None and name not in self._claims:
                # Fast path for the most common case: a new member of the hash table whose weight is the
                # weight that one slot stands for, so that the member needs exactly one slot.
                self._claims[name] = [Claim(name, 0, value)]
            else:
                self._adjust_claims(name)
        size = self._target_slot_count()
        self._mask = mask = size - 1
        for claims in self._claims.values():
            for claim in claims:
                claim.probe = 0
                if slots.setdefault(claim.rank & mask, claim) is not claim:
                    self._place(claim)
        occupied = bytearray(size)
        for slot in slots:
            occupied[slot] = 1
        padding = WINDOW_SLOT_COUNT * STRIDE_LIMIT_SLOTS
        self._occupied = (occupied * (2 + padding // size))[: size + padding]

    def _set_occupied(self, slot: int, occupied: int) -> None:
        for position in range(slot, len(self._occupied), self._mask + 1):
            self._occupied[position] = occupied

    def _place(self, claim: Claim[T]) -> None:
        """Place a claim in its slot, and displace a claim of higher rank to the next slot of its sequence."""
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
        """Free the slot of a claim: the displaced claim of lowest rank moves there and frees its own slot."""
        if not self._occupied:
            # A claim assigns one slot of the hash table to an endpoint. A rebuild of the table empties all
            # slots before it removes claims, so a claim removed during a rebuild has no slot to free.
            return
        mask = self._mask
        freed = claim.slot(claim.probe, mask)
        self._remove_displacements(claim, 0)
        while displaced := self._displaced.get(freed):
            successor = min(displaced, key=lambda other: other.rank)
            vacated = successor.slot(successor.probe, mask)
            probe = next(
                earlier for earlier in range(successor.probe) if successor.slot(earlier, mask) == freed
            )
            self._remove_displacements(successor, probe)
            successor.probe = probe
            self._slots[freed] = successor
            freed = vacated
        del self._slots[freed]
        self._set_occupied(freed, 0)

    def _remove_displacements(self, claim: Claim[T], first_probe: int) -> None:
        """Remove a claim from the lists of displaced claims, from `first_probe` of its sequence on."""
        for probe in range(first_probe, claim.probe):
            slot = claim.slot(probe, self._mask)
            self._displaced[slot].remove(claim)
            if not self._displaced[slot]:
                del self._displaced[slot]
