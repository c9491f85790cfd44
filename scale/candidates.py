"""Compares the choice of candidate endpoints with its predecessor and with other published algorithms.

`measure` returns one row for each figure: name (of the algorithm and the figure), size (endpoints), value,
unit, bound (the highest allowed value, or None) and why. Times are CPU time, medians of runs in which the
algorithms alternate; distributions are counted over the hashes of a fixed series of keys.

`python -m scale.candidates [--smoke]` prints the rows.
"""

from __future__ import annotations

import gc
import sys
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from statistics import median
from time import process_time_ns
from typing import Any

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.hashing import mix64
from scale.hash_algorithms import ALGORITHMS, BASELINE, IN_USE, Algorithm, endpoint_name

SIZES = (60, 200, 1_000, 3_600, 7_200)
SMOKE_SIZES = (60, 200)
COMPARED_SIZES = (200, 7_200)
"""Sizes at which the distributions of the algorithms neither in use nor the baseline are counted too."""
ZONE_COUNT = 9
US_NS, MS_NS, SECOND_NS = 1_000, 1_000_000, 1_000_000_000

KEY_DIVISORS = {"multi_probe_21": 8}
"""The number of keys of a slow algorithm is divided by this."""
FIRST_CHANGED_ENDPOINT_NUMBER = 1_000_000
FIRST_TIMED_ENDPOINT_NUMBER = 2_000_000
TIMED_KEY_COUNT = 2_000
RENDEZVOUS_TIMED_KEY_COUNT = 50
TIMED_REQUEST_COUNT = 136

Row = dict[str, Any]
"""One figure, an entry for `scale.figures.parse_figure`."""


def cpu_time_ns(call: Callable[[], object]) -> int:
    """Return the CPU time of a call in ns."""
    started_ns = process_time_ns()
    call()
    return process_time_ns() - started_ns


def counted_keys(name: str, size: int, smoke: bool) -> range:
    """Return the keys over which an algorithm's distribution is counted."""
    if smoke:
        count = 24_000
    elif name == IN_USE:
        count = max(400_000, 400 * size)
    else:
        count = max(60_000, 150 * size)
    if name == "rendezvous":  # the time of a look-up grows with the number of endpoints
        count = min(count, (400_000 if smoke else 10_000_000) // size)
    return range(1, count // KEY_DIVISORS.get(name, 1))


def moved_ratio(algorithm: Algorithm, names: list[bytes], keys: range, changes: int) -> float:
    """Return how many keys changes move, divided by the fair shares of the removed and added endpoints."""
    random, names = Random(5), list(names)
    before = [algorithm.find(key) for key in keys]
    moved, expected = 0.0, 0.0
    for number in range(changes):
        removed = names.pop(random.randrange(len(names)))
        names.append(endpoint_name(FIRST_CHANGED_ENDPOINT_NUMBER + number))
        for name, weight in ((removed, None), (names[-1], 1.0)):
            algorithm.change(name, weight)
            after = [algorithm.find(key) for key in keys]
            moved += sum(old != new for old, new in zip(before, after, strict=True)) / len(keys)
            expected += 1.0 / len(names)
            before = after
    return moved / expected


def disagreement_ratio(algorithm: type[Algorithm], names: list[bytes], keys: Iterable[int]) -> float:
    """Return the fraction of keys for which two nodes with the same list choose different endpoints.

    One node received the complete list; on the other, 30 of its endpoints were also removed and added again.
    """
    first = algorithm(dict.fromkeys(names, 1.0))
    second = algorithm(dict.fromkeys(names, 1.0))
    removed = Random(6).sample(names, 30)
    for name in removed:
        second.change(name, None)
    for name in sorted(removed):
        second.change(name, 1.0)
    differ = [first.find(key) != second.find(key) for key in keys]
    return sum(differ) / len(differ)


def max_load(algorithm: Algorithm, keys: range, size: int) -> tuple[float, int]:
    """Return the load of the busiest endpoints divided by the mean, and how many endpoints get no key.

    The busiest endpoints are determined with one half of the keys and their load with the other half, so that
    random deviations of the sample don't count as load.
    """
    half = len(keys) // 2
    first, second = (Counter(map(algorithm.find, part)) for part in (keys[:half], keys[half:]))
    busiest = [name for name, _ in first.most_common(max(1, size // 300))]
    load = sum(second[name] for name in busiest) / len(busiest) / (len(keys) - half) * size
    return load, size - len(first + second)


def distribution_rows(name: str, size: int, smoke: bool) -> list[Row]:
    """Return the rows on where an algorithm's keys go, and on its memory."""
    names = [endpoint_name(number) for number in range(size)]
    algorithm, is_in_use = ALGORITHMS[name], name == IN_USE
    tracemalloc.start()
    instance = algorithm(dict.fromkeys(names, 1.0))
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    keys = counted_keys(name, size, smoke)
    few_keys = keys[: max(200, len(keys) // 10)]
    disagreement = disagreement_ratio(algorithm, names, few_keys)
    rows = [
        ("keys that two nodes place apart", disagreement, "", 0.0, "nodes share nothing"),
        ("memory", memory_mb, "MB", None, "without the names"),
    ]
    if len(few_keys) >= 5 * size:  # with fewer keys the result would be random
        changes = 4 if smoke else 30 if is_in_use else 5
        moved = moved_ratio(instance, names, few_keys, changes)
        rows.append(("keys moved by a change", moved, "fair shares", 1.1, "a moved key finds a cold server"))
    if len(keys) >= 15 * size:  # with fewer keys some endpoints would get none by chance
        load, without_key = max_load(algorithm(dict.fromkeys(names, 1.0)), keys, size)
        rows.append(("servers without a key", without_key, "", 0.0, "each server was paid for"))
        rows.append(("most loaded against the mean", load, "", 1.25, "it decides what the fleet carries"))
    return [
        row(name, figure, size, value, unit, bound if is_in_use else None, why)
        for figure, value, unit, bound, why in rows
    ]


def row(name: str, figure: str, size: int, value: float, unit: str, bound: float | None, why: str) -> Row:
    """Return one row of the result."""
    return {
        "name": f"{name}: {figure}",
        "size": size,
        "value": value,
        "unit": unit,
        "bound": bound,
        "why": why,
    }


def find_all(algorithm: Algorithm, keys: Iterable[int]) -> None:
    """Look up each key."""
    for key in keys:
        algorithm.find(key)


def cpu_time_rows(size: int, smoke: bool) -> list[Row]:
    """Return the CPU times of all algorithms, which alternate so that other load affects all of them."""
    weights = dict.fromkeys((endpoint_name(number) for number in range(size)), 1.0)
    instances = {name: algorithm(weights) for name, algorithm in ALGORITHMS.items()}
    times: dict[tuple[str, str], list[float]] = {}
    gc.collect()
    gc.freeze()  # one algorithm's objects must not slow down the garbage collection for another
    for repetition in range(3 if smoke else 7):
        for name, algorithm in ALGORITHMS.items():
            instance, added = instances[name], endpoint_name(FIRST_TIMED_ENDPOINT_NUMBER + repetition)
            first_key = repetition * TIMED_KEY_COUNT
            key_count = RENDEZVOUS_TIMED_KEY_COUNT if name == "rendezvous" else TIMED_KEY_COUNT
            keys = range(first_key, first_key + key_count)
            build_ms = cpu_time_ns(partial(algorithm, weights)) / MS_NS
            change_ms = cpu_time_ns(partial(instance.change, added, 1.0)) / MS_NS
            instance.change(added, None)
            find_us = cpu_time_ns(partial(find_all, instance, keys)) / US_NS / len(keys)
            times.setdefault((name, "whole list"), []).append(build_ms)
            times.setdefault((name, "one change"), []).append(change_ms)
            times.setdefault((name, "one draw"), []).append(find_us)
    gc.unfreeze()
    units = {"whole list": "ms", "one change": "ms", "one draw": "us"}
    bounds = {"whole list": 50.0, "one change": 1.0}
    why = {"whole list": "one stop of the loop", "one change": "3,200 a day", "one draw": "two for a request"}
    return [
        row(
            name,
            figure,
            size,
            median(values),
            units[figure],
            bounds.get(figure) if name == IN_USE else None,
            why[figure],
        )
        for (name, figure), values in times.items()
    ]


def endpoint(number: int, state: api.EndpointState = api.EndpointState.READY) -> api.Endpoint:
    """Return an endpoint; zones go round robin, and each cell has one endpoint of each zone."""
    return api.Endpoint(endpoint_name(number), number % ZONE_COUNT, number // ZONE_COUNT, state, 1.0, 0)


def node_settings() -> api.Settings:
    """Return the settings of a single node in zone 0."""
    request_class = api.RequestClass(SECOND_NS, 1.0, 0.5, api.Idempotency.IDEMPOTENT)
    return api.Settings(
        classes=(request_class, request_class),
        tenants=(),
        node_count=1,
        discovery_mode=api.DiscoveryMode.PUSH,
        poll_interval_ns=0,
        slow_start_initial_ratio=0.3,
        slow_start_duration_ns=SECOND_NS,
        max_attempts=3,
        max_retry_after_ns=SECOND_NS,
        sends_retry_after=True,
        weight_by_work=False,
        load_report_fields=(),
        idle_timeout_ns=15 * SECOND_NS,
        zone=0,
    )


def baseline_update(
    loads_by_endpoint: list[dict[int, float]], key_counts: dict[int, float]
) -> dict[int, float]:
    """Do the work of the predecessor's periodic update, which processed all endpoints and recorded keys."""
    for by_class in loads_by_endpoint:
        for index in by_class:
            by_class[index] *= 0.95
    total = sum(key_counts.values())
    hot_above = 0.5 * total / max(1, len(loads_by_endpoint))
    {key: count / hot_above for key, count in key_counts.items() if count >= 2 and count > hot_above}
    decay_ratio = min(1.0, 6.0 * len(loads_by_endpoint) / max(1.0, total))
    return {key: count * decay_ratio for key, count in key_counts.items() if count * decay_ratio >= 0.5}


def send_requests(node: Balancer, first_id: int, keys: range) -> None:
    """Pass one request for each key to a node, and answer each at once."""
    for request_id, key in enumerate(keys, first_id):
        *_, action = node.handle(2, api.Request(request_id, SECOND_NS, 0, 0, mix64(key), False))
        if isinstance(action, api.Forward):
            outcome = api.AttemptOutcome(
                request_id, True, api.AttemptResult.OK, MS_NS, action.endpoint_id, 0, ()
            )
            node.handle(2, outcome)


def policy_rows(size: int, smoke: bool) -> list[Row]:
    """Return the CPU times of the complete policy, for events as a node sends them."""
    snapshot = api.EndpointUpdate(
        api.EndpointUpdateKind.SNAPSHOT, tuple(endpoint(number) for number in range(size))
    )
    update_timer = api.TimerFired(api.TimerId.WINDOW_END)
    node = Balancer(node_settings(), 1)
    node.handle(1, snapshot)
    node.handle(1, update_timer)
    loads_by_endpoint: list[dict[int, float]] = [{0: 0.0, 1: 0.0} for _ in range(size)]
    key_counts = {mix64(key): 1.0 for key in range(6 * size)}
    times: dict[str, list[float]] = {}
    gc.collect()
    gc.freeze()
    for key in range(6 * size):
        node._hot_keys.record(mix64(key))
    for repetition in range(3 if smoke else 9):
        state = (api.EndpointState.DRAINING, api.EndpointState.READY)[repetition % 2]
        changed = api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (endpoint(17, state),))
        first_key = repetition * TIMED_REQUEST_COUNT
        keys = range(first_key, first_key + TIMED_REQUEST_COUNT)
        calls: dict[str, Callable[[], object]] = {
            "a first whole list": lambda: Balancer(node_settings(), 1).handle(1, snapshot),
            "a list with nothing new": lambda: node.handle(2, snapshot),
            "one change": partial(node.handle, 2, changed),
            f"{TIMED_REQUEST_COUNT} requests with their answers": partial(
                send_requests, node, first_key + 1, keys
            ),
            "a tick": lambda: node.handle(2, update_timer),
            "a tick as it was": lambda: baseline_update(loads_by_endpoint, key_counts),
        }
        for figure, call in calls.items():
            times.setdefault(figure, []).append(cpu_time_ns(call) / MS_NS)
    gc.unfreeze()
    bounds = {"one change": 1.0}
    why = {"a first whole list": "in one piece, as at a start; in service it is told in slices: part lists"}
    return [
        row("module", figure, size, median(values), "ms", bounds.get(figure), why.get(figure, "one stop"))
        for figure, values in times.items()
    ]


def measure(smoke: bool) -> list[Row]:
    """Return all rows, or with `smoke` those of the two smallest sizes with few keys, within seconds."""
    rows: list[Row] = []
    for size in SMOKE_SIZES if smoke else SIZES:
        rows += cpu_time_rows(size, smoke) + policy_rows(size, smoke)
        for name in ALGORITHMS:
            if smoke or name in (BASELINE, IN_USE) or size in COMPARED_SIZES:
                rows += distribution_rows(name, size, smoke)
    return rows


def print_rows(rows: Iterable[Row]) -> None:
    """Print one line for each row, and mark values above their bounds."""
    for figure in rows:
        exceeds_bound = figure["bound"] is not None and figure["value"] > figure["bound"]
        bound = "" if figure["bound"] is None else f"(at most {figure['bound']:g})"
        line = f"{figure['size']:6,} {figure['name']:56} {figure['value']:12.4g} {figure['unit']:12} {bound}"
        print(line + ("  OVER" if exceeds_bound else ""))


if __name__ == "__main__":
    print_rows(measure("--smoke" in sys.argv[1:]))
