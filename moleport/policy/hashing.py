"""The servers that a key may go to: hashing that follows the list of servers in place.

Slots on a sparse grid, as in SPOCA (Chawla, Reed, Juhnke and Syed, USENIX ATC 2011) and DxHash (Dong and
Wang, 2021): a server holds slots by its weight, a key probes slots in an order of its own and takes the
first that is held. So each slot gets the same part of all keys, and a slot that is taken or left moves the
keys that went to it and no others. In both papers who holds which slot depends on the order of changes; here
it doesn't, by the rule of ordered hash tables (Amble and Knuth 1974; unique representation: Blelloch and
Golovin 2007): where two claims meet, the one of the lower rank has the slot and the other goes on to its
next. Nodes that hold the same list agree whatever changes led to it.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b
from typing import Generic, TypeVar

T = TypeVar("T")

MASK = (1 << 64) - 1
HASH_RATIO_SCALE = (
    1 << 20
)  # of the keys that probe a slot; 20 bits of a hash tell whether a key is among them
SPARSE = 16  # slots of the grid for each that is held: fewer would make claims meet, and move more keys
LEAST_SIZE, GROWTH = 4096, 32  # slots; a grid that grows moves most keys: past 256 slots held, and 8,192
STRETCH = 256  # slots that are probed at once
DISTANCES = 1024  # between these at most, of which half, the odd ones, are in use
STRETCHES = 64  # for a key; lists of like weights need one or two, of those far apart four on average
MIN_WEIGHT, MAX_WEIGHT = 2.0**-40, 2.0**40  # what lies beyond counts as these
WEIGHT_UNITS = 1 << 40  # of weight, in one: whole numbers add up alike in any order


def mix64(value: int) -> int:
    """A well spread 64-bit hash of a whole number, alike on every node (SplitMix64: Steele et al. 2014)."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def to_weight_units(weight: float) -> int:
    """A weight as a whole number of units, at least 1."""
    return WEIGHT_UNITS if weight == 1.0 else int(min(max(weight, MIN_WEIGHT), MAX_WEIGHT) * WEIGHT_UNITS)


class Claim(Generic[T]):
    """One server's claim to one slot: the first of its sequence that no claim of a lower rank holds."""

    __slots__ = ("part", "rank", "server", "tries")

    def __init__(self, name: bytes, index: int, server: T) -> None:
        hashed = blake2b(name, digest_size=24, salt=b"%d" % index) if index else blake2b(name, digest_size=24)
        self.rank = int.from_bytes(hashed.digest(), "little")
        self.tries = 0  # slots of its sequence that it was passed over for
        self.part = HASH_RATIO_SCALE  # of the keys that probe its slot
        self.server = server

    def slot(self, tries: int, mask: int) -> int:
        """Double hashing, by the low bits of the rank; an odd step comes to every slot."""
        return (self.rank + tries * (self.rank >> 64 | 1)) & mask if tries else self.rank & mask


class SlotGrid(Generic[T]):
    """Servers by weight on a grid of slots. All that it answers is a function of the servers and weights
    that it holds, not of the order in which they came. The cost of a change is that of the slots it takes or
    leaves, about one; where the grid grows or shrinks by GROWTH, or the unit of a slot does, that of all."""

    def __init__(self) -> None:
        self._mask = LEAST_SIZE - 1  # the size is a power of two
        self._slots: dict[int, Claim[T]] = {}
        self._marks = bytearray()  # 1 where a slot is held; runs on past the size, for stretches that wrap
        self._passed: dict[int, list[Claim[T]]] = {}  # by slot: claims that went on to another
        self._claims: dict[bytes, list[Claim[T]]] = {}
        self._servers: dict[bytes, tuple[int, T]] = {}  # weight in units
        self._unit = WEIGHT_UNITS  # weight of one slot, in units of weight
        self._held = 0  # slots
        self._weights: dict[int, int] = {}  # how many servers have each
        self.total = 0  # weight in units

    def __len__(self) -> int:
        """Servers."""
        return len(self._servers)

    def has_equal_weights(self) -> bool:
        """All have the same weight."""
        return len(self._weights) <= 1

    def update(self, changes: Mapping[bytes, tuple[int, T] | None]) -> None:
        """Sets weight in units (at least 1) and value of the servers named; None: takes it out."""
        servers, weights, unit = self._servers, self._weights, self._unit
        for name, change in changes.items():
            before = servers.pop(name, None)
            if before is not None:
                self.total -= before[0]
                self._held -= -(-before[0] // unit)
                weights[before[0]] -= 1
                if not weights[before[0]]:
                    del weights[before[0]]
            if change is not None:
                servers[name] = change
                self.total += change[0]
                self._held += -(-change[0] // unit)
                weights[change[0]] = weights.get(change[0], 0) + 1
        unit = self._fitting_unit()
        if unit != self._unit:
            self._unit, self._held = unit, sum(-(-units // unit) for units, _ in self._servers.values())
        elif self._fitting_size() == self._mask + 1 and self._marks:
            for name in changes:
                for claim in self._fit(name):
                    self._settle(claim)
            return
        self._fill({**dict.fromkeys(changes), **dict.fromkeys(self._servers)})

    def find(self, place: int) -> T | None:
        """The server of the first held slot in the order that a hash of 64 bits stands for: stretches of
        slots by double hashing, each with a start and a distance of its own. None if there is no server, or
        none within STRETCHES."""
        if not self._servers:
            return None
        mask, marks, slots = self._mask, self._marks, self._slots
        for _ in range(STRETCHES):
            start, step = place & mask, place >> 20 & DISTANCES - 1 | 1
            row = marks[start : start + STRETCH * step : step]
            hit = row.find(1)
            while hit >= 0:
                claim = slots[start + hit * step & mask]
                if (
                    claim.part == HASH_RATIO_SCALE
                    or mix64(place + hit ^ claim.rank & MASK) >> 44 < claim.part
                ):
                    return claim.server
                hit = row.find(1, hit + 1)
            place = mix64(place)
        return None

    def _fitting_unit(self) -> int:
        """The power of four by which the mean weight comes to half a slot or up to two: that of a server far
        above it may come to many, and one far below it keeps a part of one."""
        twice_mean = 2 * self.total // max(1, len(self._servers))
        return 1 << (twice_mean.bit_length() - 1) // 2 * 2 if twice_mean else self._unit

    def _fitting_size(self) -> int:
        size = LEAST_SIZE
        while size < SPARSE * self._held:
            size *= GROWTH
        return size

    def _fit(self, name: bytes) -> list[Claim[T]]:
        """Gives a server as many claims as its weight is worth; those that are new have no slot yet."""
        claims = self._claims.setdefault(name, [])
        units, server = self._servers.get(name, (0, None))
        count = -(-units // self._unit)
        while len(claims) > count:
            self._leave(claims.pop())
        if server is None:
            del self._claims[name]
            return []
        for claim in claims:
            claim.server, claim.part = server, HASH_RATIO_SCALE
        new = [Claim(name, index, server) for index in range(len(claims), count)]
        claims += new
        if units % self._unit:
            claims[-1].part = max(1, units % self._unit * HASH_RATIO_SCALE // self._unit)
        return new

    def _fill(self, names: Mapping[bytes, None]) -> None:
        """All anew, on a grid of the size that fits."""
        slots: dict[int, Claim[T]] = {}
        self._slots, self._passed, self._marks = slots, {}, bytearray()
        for name in names:
            units, server = self._servers.get(name, (0, None))
            if units == self._unit and server is not None and name not in self._claims:
                self._claims[name] = [Claim(name, 0, server)]  # what _fit does, for the most common case
            else:
                self._fit(name)
        size = self._fitting_size()
        self._mask = mask = size - 1
        for claims in self._claims.values():
            for claim in claims:
                claim.tries = 0
                if slots.setdefault(claim.rank & mask, claim) is not claim:
                    self._settle(claim)
        marks = bytearray(size)
        for at in self._slots:
            marks[at] = 1
        self._marks = (marks * (2 + STRETCH * DISTANCES // size))[: size + STRETCH * DISTANCES]

    def _mark(self, at: int, held: int) -> None:
        for place in range(at, len(self._marks), self._mask + 1):
            self._marks[place] = held

    def _settle(self, claim: Claim[T]) -> None:
        slots, mask = self._slots, self._mask
        while True:
            at = claim.slot(claim.tries, mask)
            holder = slots.get(at)
            if holder is None:
                slots[at] = claim
                if self._marks:
                    self._mark(at, 1)
                return
            if claim.rank < holder.rank:
                slots[at], claim = claim, holder
            self._passed.setdefault(at, []).append(claim)
            claim.tries += 1

    def _leave(self, claim: Claim[T]) -> None:
        """Frees a claim's slot: of those that it was too late for, the lowest in rank comes back to it, and
        so on with the slot that this one leaves."""
        if not self._marks:
            return  # about to be filled anew
        mask = self._mask
        at = claim.slot(claim.tries, mask)
        self._forget_passed(claim, 0)
        while waiting := self._passed.get(at):
            heir = min(waiting, key=lambda other: other.rank)
            left = heir.slot(heir.tries, mask)
            tries = next(n for n in range(heir.tries) if heir.slot(n, mask) == at)
            self._forget_passed(heir, tries)
            heir.tries, self._slots[at], at = tries, heir, left
        del self._slots[at]
        self._mark(at, 0)

    def _forget_passed(self, claim: Claim[T], since: int) -> None:
        for tries in range(since, claim.tries):
            at = claim.slot(tries, self._mask)
            self._passed[at].remove(claim)
            if not self._passed[at]:
                del self._passed[at]
