"""The choice of candidates against what stood before and against other published ways, in one run.

`measure` gives one row a figure: name (of the algorithm and what is measured), size (servers), value, unit,
bound (the value is to be no higher; None: no bound is asked of it) and why. Times are CPU time, medians of
runs in which the algorithms take turns; sizes and shares are counted over hashed keys of one fixed series.
Run by itself it prints the rows: python -m scale.candidates [--smoke]
"""

from __future__ import annotations

import gc
import sys
import tracemalloc
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from math import log
from random import Random
from statistics import median
from time import process_time_ns
from typing import Any, Protocol

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.hashing import SlotGrid, mix64, to_weight_units

SIZES = (60, 200, 1_000, 3_600, 7_200)
SMOKE_SIZES = (60, 200)
ZONES = 9
MS, US, SECOND = 1_000_000, 1_000, 1_000_000_000  # ns

Row = dict[str, Any]


def name_of(number: int) -> bytes:
    return mix64(number).to_bytes(8, "little")


def hash_of(name: bytes, salt: int = 0) -> int:
    return mix64(int.from_bytes(name, "little") + salt * 0x9E3779B97F4A7C15)


class Algorithm(Protocol):
    def __init__(self, weights: dict[bytes, float]) -> None: ...
    def change(self, name: bytes, weight: float | None) -> None: ...
    def find(self, key: int) -> bytes | None: ...


class SparseSlots:
    """What the module uses (moleport/policy/hashing.py)."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        self._grid: SlotGrid[bytes] = SlotGrid()
        self._grid.update({name: (to_weight_units(weight), name) for name, weight in weights.items()})

    def change(self, name: bytes, weight: float | None) -> None:
        self._grid.update({name: None if weight is None else (to_weight_units(weight), name)})

    def find(self, key: int) -> bytes | None:
        return self._grid.find(mix64(key))


class MaglevLike:
    """As it stood until 2026-12: a table of 2,039 places, filled anew at each change (after Maglev, Eisenbud
    et al., NSDI 2016). Frozen as the baseline."""

    TABLE_SIZE = 2039

    def __init__(self, weights: dict[bytes, float]) -> None:
        self._weights = dict(weights)
        self._table: list[bytes] = []
        self._fill()

    def change(self, name: bytes, weight: float | None) -> None:
        self._weights.pop(name, None)
        if weight is not None:
            self._weights[name] = weight
        self._fill()

    def find(self, key: int) -> bytes | None:
        return self._table[mix64(key) % self.TABLE_SIZE]

    def _fill(self) -> None:
        servers = sorted(self._weights)
        heaviest = max(self._weights.values())
        table: list[bytes | None] = [None] * self.TABLE_SIZE
        places = [hash_of(name) for name in servers]
        steps = [1 + mix64(place) % (self.TABLE_SIZE - 1) for place in places]
        credits = [0.0] * len(places)
        left = self.TABLE_SIZE
        while left:
            for index, name in enumerate(servers):
                credits[index] += self._weights[name] / heaviest
                if credits[index] < 1.0 or not left:
                    continue
                credits[index] -= 1.0
                while table[places[index] % self.TABLE_SIZE] is not None:
                    places[index] += steps[index]
                table[places[index] % self.TABLE_SIZE] = name
                left -= 1
        self._table = [name for name in table if name is not None]


class Ring:
    """Consistent hashing with 100 points a server (Karger et al., STOC 1997)."""

    POINTS = 100

    def __init__(self, weights: dict[bytes, float]) -> None:
        self._points = sorted(point for name, weight in weights.items() for point in self._of(name, weight))
        self._weights = dict(weights)

    def _of(self, name: bytes, weight: float) -> list[tuple[int, bytes]]:
        return [(hash_of(name, index), name) for index in range(max(1, round(self.POINTS * weight)))]

    def change(self, name: bytes, weight: float | None) -> None:
        for point in self._of(name, self._weights.pop(name)) if name in self._weights else ():
            del self._points[bisect_left(self._points, point)]
        if weight is not None:
            self._weights[name] = weight
            for point in self._of(name, weight):
                insort(self._points, point)

    def find(self, key: int) -> bytes | None:
        return self._points[bisect_left(self._points, (mix64(key), b"")) % len(self._points)][1]


class MultiProbe:
    """One point a server, 21 probes of a key, the closest wins (Appleton and O'Reilly 2015)."""

    PROBES = 21

    def __init__(self, weights: dict[bytes, float]) -> None:
        self._points = sorted((hash_of(name), name) for name in weights)

    def change(self, name: bytes, weight: float | None) -> None:
        if weight is None:
            del self._points[bisect_left(self._points, (hash_of(name), name))]
        else:
            insort(self._points, (hash_of(name), name))

    def find(self, key: int) -> bytes | None:
        points, first, second = self._points, mix64(key), mix64(key ^ 0x5BD1E995) | 1
        best, found = 1 << 65, None
        for probe in range(self.PROBES):
            at = first + probe * second & 0xFFFFFFFFFFFFFFFF
            point, name = points[bisect_left(points, (at, b"")) % len(points)]
            if (distance := point - at & 0xFFFFFFFFFFFFFFFF) < best:
                best, found = distance, name
        return found


class Rendezvous:
    """The highest weighted score of all servers wins (Thaler and Ravishankar 1998)."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        self._weights = {name: (hash_of(name), weight) for name, weight in weights.items()}

    def change(self, name: bytes, weight: float | None) -> None:
        self._weights.pop(name, None)
        if weight is not None:
            self._weights[name] = hash_of(name), weight

    def find(self, key: int) -> bytes | None:
        scores = (
            (weight / -log((mix64(key ^ one) + 1) / 2.0**64), name)
            for name, (one, weight) in self._weights.items()
        )
        return max(scores)[1]


class Anchor:
    """AnchorHash (Mendelson et al., IEEE/ACM ToN 2021), room for twice the servers; knows no weights."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        count, room = len(weights), 2 * len(weights) + 32
        self._size = count
        self._names: list[bytes | None] = [*weights, *([None] * (room - count))]
        self._buckets = {name: bucket for bucket, name in enumerate(weights)}
        self._free = list(range(room - 1, count - 1, -1))
        self._left = [0] * count + list(range(count, room))  # how many worked when a bucket was removed
        self._working, self._last, self._next = list(range(room)), list(range(room)), list(range(room))

    def change(self, name: bytes, weight: float | None) -> None:
        if weight is None:
            bucket = self._buckets.pop(name)
            self._free.append(bucket)
            self._size -= 1
            self._left[bucket] = self._size
            last = self._working[self._size]
            self._working[self._last[bucket]] = self._next[bucket] = last
            self._last[last] = self._last[bucket]
            return
        bucket = self._free.pop()
        self._left[bucket], self._names[bucket], self._buckets[name] = 0, name, bucket
        self._last[self._working[self._size]] = self._size
        self._working[self._last[bucket]] = self._next[bucket] = bucket
        self._size += 1

    def find(self, key: int) -> bytes | None:
        left, place = self._left, mix64(key)
        bucket = place % len(left)
        while left[bucket]:
            place = mix64(place ^ bucket)
            other = place % left[bucket]
            while left[other] >= left[bucket]:
                other = self._next[other]
            bucket = other
        return self._names[bucket]


class Dx:
    """DxHash (Dong and Wang 2021): a server takes the next free of twice as many slots; knows no weights."""

    def __init__(self, weights: dict[bytes, float]) -> None:
        size = 1 << (2 * len(weights) - 1).bit_length()
        self._slots: list[bytes | None] = [*weights, *([None] * (size - len(weights)))]
        self._at = {name: slot for slot, name in enumerate(weights)}
        self._free = list(range(size - 1, len(weights) - 1, -1))

    def change(self, name: bytes, weight: float | None) -> None:
        if weight is None:
            slot = self._at.pop(name)
            self._slots[slot] = None
            self._free.insert(0, slot)
        else:
            self._at[name] = slot = self._free.pop()
            self._slots[slot] = name

    def find(self, key: int) -> bytes | None:
        place = mix64(key)
        while (name := self._slots[place & len(self._slots) - 1]) is None:
            place = mix64(place)
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
BASELINE, CHOSEN = "maglev_like", "sparse_slots"
COMPARED_AT = (200, 7_200)  # servers: shares and moves of the algorithms that were not chosen
SLOW = {"multi_probe_21": 8}  # fewer keys are asked of it by so much


def timed(what: Callable[[], object]) -> int:
    start = process_time_ns()
    what()
    return process_time_ns() - start


def keys_for(name: str, size: int, smoke: bool) -> range:
    total = 24_000 if smoke else max(400_000, 400 * size) if name == CHOSEN else max(60_000, 150 * size)
    if name == "rendezvous":  # each costs as much as the list is long
        total = min(total, (400_000 if smoke else 10_000_000) // size)
    return range(1, total // SLOW.get(name, 1))


def moved(made: Algorithm, names: list[bytes], keys: range, changes: int) -> float:
    """Part of the keys that a change moves, against the fair share of the server that comes or goes."""
    random, names = Random(5), list(names)
    before, total, fair = [made.find(key) for key in keys], 0.0, 0.0
    for number in range(changes):
        leaving = names.pop(random.randrange(len(names)))
        names.append(name_of(1_000_000 + number))
        for name, weight in ((leaving, None), (names[-1], 1.0)):
            made.change(name, weight)
            now = [made.find(key) for key in keys]
            total += sum(one != other for one, other in zip(before, now, strict=True)) / len(keys)
            fair += 1.0 / len(names)
            before = now
    return total / fair


def disagreement(kind: type[Algorithm], names: list[bytes], keys: Iterable[int]) -> float:
    """Part of the keys that two nodes with the same list place differently, one that got it whole and one
    that saw 30 servers go and come back."""
    whole, grown = kind(dict.fromkeys(names, 1.0)), kind(dict.fromkeys(names, 1.0))
    away = Random(6).sample(names, 30)
    for name in away:
        grown.change(name, None)
    for name in sorted(away):
        grown.change(name, 1.0)
    differ = [whole.find(key) != grown.find(key) for key in keys]
    return sum(differ) / len(differ)


def most_loaded(made: Algorithm, keys: range, size: int) -> tuple[float, int]:
    """Share against the mean of those that had most of one half of the keys, in the other half (so that
    chance of the sample doesn't count as load), and how many servers got no key."""
    half = len(keys) // 2
    first, second = (Counter(map(made.find, part)) for part in (keys[:half], keys[half:]))
    top = [name for name, _ in first.most_common(max(1, size // 300))]
    load = sum(second[name] for name in top) / len(top) / (len(keys) - half) * size
    return load, size - len(first + second)


def shapes(name: str, size: int, smoke: bool) -> list[Row]:
    names, kind, chosen = [name_of(number) for number in range(size)], ALGORITHMS[name], name == CHOSEN
    tracemalloc.start()
    made = kind(dict.fromkeys(names, 1.0))
    memory = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    keys = keys_for(name, size, smoke)
    few = keys[: max(200, len(keys) // 10)]
    rows = [
        ("keys that two nodes place apart", disagreement(kind, names, few), "", 0.0, "nodes share nothing"),
        ("memory", memory, "MB", None, "without the names"),
    ]
    if len(few) >= 5 * size:  # fewer would tell of chance
        part = moved(made, names, few, 4 if smoke else 30 if chosen else 5)
        rows.append(("keys moved by a change", part, "fair shares", 1.1, "a moved key finds a cold server"))
    if len(keys) >= 15 * size:  # else chance leaves some out
        load, unreached = most_loaded(kind(dict.fromkeys(names, 1.0)), keys, size)
        rows.append(("servers without a key", unreached, "", 0.0, "each server was paid for"))
        rows.append(("most loaded against the mean", load, "", 1.25, "it decides what the fleet carries"))
    return [
        row(name, what, size, value, unit, bound if chosen else None, why)
        for what, value, unit, bound, why in rows
    ]


def row(name: str, what: str, size: int, value: float, unit: str, bound: float | None, why: str) -> Row:
    return {"name": f"{name}: {what}", "size": size, "value": value, "unit": unit, "bound": bound, "why": why}


def find_all(structure: Algorithm, keys: Iterable[int]) -> None:
    for key in keys:
        structure.find(key)


def costs(size: int, smoke: bool) -> list[Row]:
    """Of all algorithms in turn, so that a busy moment of the machine meets each alike."""
    names = [name_of(number) for number in range(size)]
    weights = dict.fromkeys(names, 1.0)
    made = {name: kind(weights) for name, kind in ALGORITHMS.items()}
    taken: dict[tuple[str, str], list[float]] = {}
    gc.collect()
    gc.freeze()  # what one algorithm holds is no cost of another's garbage collection
    for turn in range(3 if smoke else 7):
        for name, kind in ALGORITHMS.items():
            one, extra = made[name], name_of(2_000_000 + turn)
            asked = range(turn * 2000, turn * 2000 + (50 if name == "rendezvous" else 2000))
            taken.setdefault((name, "whole list"), []).append(timed(partial(kind, weights)) / MS)
            taken.setdefault((name, "one change"), []).append(timed(partial(one.change, extra, 1.0)) / MS)
            one.change(extra, None)
            spent = timed(partial(find_all, one, asked))
            taken.setdefault((name, "one draw"), []).append(spent / US / len(asked))
    gc.unfreeze()
    bounds = {"whole list": 50.0, "one change": 1.0}
    why = {"whole list": "one stop of the loop", "one change": "3,200 a day", "one draw": "two for a request"}
    return [
        row(
            name,
            what,
            size,
            median(values),
            "us" if what == "one draw" else "ms",
            bounds.get(what) if name == CHOSEN else None,
            why[what],
        )
        for (name, what), values in taken.items()
    ]


def entry(number: int, state: api.EndpointState = api.EndpointState.READY) -> api.Endpoint:
    return api.Endpoint(name_of(number), number % ZONES, number // ZONES, state, 1.0, 0)


def node_settings() -> api.Settings:
    kind = api.RequestClass(SECOND, 1.0, 0.5, api.Idempotency.IDEMPOTENT)
    return api.Settings(
        classes=(kind, kind),
        tenants=(),
        node_count=1,
        discovery_mode=api.DiscoveryMode.PUSH,
        poll_interval_ns=0,
        slow_start_initial_ratio=0.3,
        slow_start_duration_ns=SECOND,
        max_attempts=3,
        max_retry_after_ns=SECOND,
        sends_retry_after=True,
        weight_by_work=False,
        load_report_fields=(),
        idle_timeout_ns=15 * SECOND,
        zone=0,
    )


def old_tick(full: list[dict[int, float]], counts: dict[int, float]) -> dict[int, float]:
    """What a tick did to all servers and all remembered keys until 2026-12; frozen."""
    for of_one in full:
        for index in of_one:
            of_one[index] *= 0.95
    total = sum(counts.values())
    fair = 0.5 * total / max(1, len(full))
    {key: count / fair for key, count in counts.items() if count >= 2 and count > fair}
    keep = min(1.0, 6.0 * len(full) / max(1.0, total))
    return {key: n * keep for key, n in counts.items() if n * keep >= 0.5}


def module(size: int, smoke: bool) -> list[Row]:
    """The whole decision module, on events as a node tells them."""
    listed = api.EndpointUpdate(
        api.EndpointUpdateKind.SNAPSHOT, tuple(entry(number) for number in range(size))
    )
    node = Balancer(node_settings(), 1)
    node.handle(1, listed)
    node.handle(1, api.TimerFired(1))
    full: list[dict[int, float]] = [{0: 0.0, 1: 0.0} for _ in range(size)]
    counts = {mix64(key): 1.0 for key in range(6 * size)}
    taken: dict[str, list[float]] = {}
    gc.collect()
    gc.freeze()
    ids = iter(range(1, 1 << 40))
    for key in range(6 * size):
        node._hot_keys.record(mix64(key))

    def ask(keys: range) -> None:
        for key in keys:
            number = next(ids)
            *_, send = node.handle(2, api.Request(number, SECOND, 0, 0, mix64(key), False))
            if isinstance(send, api.Forward):
                node.handle(
                    2, api.AttemptOutcome(number, True, api.AttemptResult.OK, MS, send.endpoint_id, 0, ())
                )

    for turn in range(3 if smoke else 9):
        state = (api.EndpointState.DRAINING, api.EndpointState.READY)[turn % 2]
        changed = api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (entry(17, state),))
        parts: list[tuple[str, Callable[[], object], int]] = [
            ("a first whole list", lambda: Balancer(node_settings(), 1).handle(1, listed), MS),
            ("a list with nothing new", lambda: node.handle(2, listed), MS),
            ("one change", partial(node.handle, 2, changed), MS),
            ("136 requests with their answers", partial(ask, range(turn * 136, turn * 136 + 136)), MS),
            ("a tick", lambda: node.handle(2, api.TimerFired(1)), MS),
            ("a tick as it was", lambda: old_tick(full, counts), MS),
        ]
        for what, do, unit in parts:
            taken.setdefault(what, []).append(timed(do) / unit)
    gc.unfreeze()
    bounds = {"one change": 1.0}
    why = {"a first whole list": "in one piece, as at a start; in service it is told in slices: part lists"}
    return [
        row("module", what, size, median(values), "ms", bounds.get(what), why.get(what, "one stop"))
        for what, values in taken.items()
    ]


def measure(smoke: bool) -> list[Row]:
    """All rows; smoke: the two least sizes and few keys, in some seconds."""
    rows: list[Row] = []
    for size in SMOKE_SIZES if smoke else SIZES:
        rows += costs(size, smoke) + module(size, smoke)
        for name in ALGORITHMS:
            if smoke or name in (BASELINE, CHOSEN) or size in COMPARED_AT:
                rows += shapes(name, size, smoke)
    return rows


if __name__ == "__main__":
    for one in measure("--smoke" in sys.argv[1:]):
        over = "  OVER" if one["bound"] is not None and one["value"] > one["bound"] else ""
        bound = "" if one["bound"] is None else f"(at most {one['bound']:g})"
        print(f"{one['size']:6,} {one['name']:56} {one['value']:12.4g} {one['unit']:12} {bound}{over}")
