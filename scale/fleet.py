"""Measures a simulated fleet: many nodes' policies in one process, without sockets, on a simulated clock.

Each endpoint responds to each request after the same time. `measure` returns the figures.
"""

from __future__ import annotations

import gc
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace
from heapq import heappop, heappush
from pathlib import Path
from time import process_time
from typing import Any

import numpy as np

from moleport.policy import Balancer
from moleport.policy import interface as api
from scale import world
from scale.figures import fit_line

SIZES = ((30, 60), (30, 1_000), (30, 3_600), (30, 7_200), (200, 1_000), (660, 1_000))  # nodes, servers
SMOKE_SIZES = ((9, 60),)
SLOPE_NODE_COUNT = 30
MIN_SLOPE_POINT_COUNT = 4
AGENT_DELAY_SECONDS = 2.0  # assumed, not measured: from a change until the last agent sends it to its node
SERVICE_TIME_NS = 20 * world.MS_NS
SERVER_REQUEST_RATE = world.REQUESTS_PER_SECOND / world.MAX_SERVER_COUNT  # requests a second of one server
LOAD_DURATION_SECONDS = 4
MAX_LOAD_REQUEST_COUNT = 100_000
MAX_SLOW_START_REQUEST_COUNT = 110_000
"""Slow start is not measured if `LOAD_DURATION_SECONDS` has more requests, as it would take too long."""
KEY_COUNT = 2_000
START_NS = 1_000 * world.SECOND_NS
PAGE_BYTES = 4096

Row = dict[str, Any]
"""One figure, an entry for `scale.figures.parse_figure`."""


class Fleet:
    """Nodes of all zones with the same endpoint list, and requests with random keys."""

    def __init__(self, node_count: int, server_count: int, seed: int = 1) -> None:
        """Start the nodes and pass the list to them."""
        self.now_ns = START_NS
        self.forwarded: list[tuple[int, api.EndpointId]] = []  # time in ns, endpoint
        self._random = np.random.default_rng(seed)
        self._event_queue: list[tuple[int, int, int, api.Event]] = []  # time in ns, order, node, event
        self._event_count = 0
        settings = world.settings(node_count)
        self.nodes = [
            Balancer(replace(settings, zone=index % world.ZONE_COUNT), seed + index)
            for index in range(node_count)
        ]
        for index, node in enumerate(self.nodes):
            self._execute(index, node.start(self.now_ns))
        self.notify_all(world.snapshot(server_count))

    def notify_all(self, event: api.Event) -> list[float]:
        """Pass an event to every node at the same simulated time; return the CPU seconds of each node."""
        times = []
        for index, node in enumerate(self.nodes):
            started_at = process_time()
            actions = node.handle(self.now_ns, event)
            times.append(process_time() - started_at)
            self._execute(index, actions)
        return times

    def run(self, seconds: float, rate: float) -> None:
        """Simulate `seconds`, with `rate` requests a second over all nodes."""
        end_ns = self.now_ns + int(seconds * world.SECOND_NS)
        count = int(self._random.poisson(rate * seconds))
        times = self._random.integers(self.now_ns, end_ns, count)
        nodes = self._random.integers(0, len(self.nodes), count)
        keys = self._random.integers(1, 1 << 62, count)
        for at_ns, index, key in zip(times.tolist(), nodes.tolist(), keys.tolist(), strict=True):
            request = api.Request(self._event_count + 1, world.SECOND_NS, 0, 0, key, False)
            self._schedule(at_ns, index, request)
        while self._event_queue and self._event_queue[0][0] <= end_ns:
            self.now_ns, _, index, event = heappop(self._event_queue)
            self._execute(index, self.nodes[index].handle(self.now_ns, event))
        self.now_ns = end_ns

    def endpoints_of(self, keys: Sequence[int]) -> list[api.EndpointId | None]:
        """Return the endpoint to which the first node forwards a request with each key.

        Each request is answered before the next one; None means that the node did not forward it.
        """
        node = self.nodes[0]
        endpoint_ids: list[api.EndpointId | None] = []
        for key in keys:
            self._event_count += 1
            request = api.Request(self._event_count, world.SECOND_NS, 0, 0, key, False)
            actions = node.handle(self.now_ns, request)
            forward = next((action for action in actions if isinstance(action, api.Forward)), None)
            endpoint_ids.append(forward.endpoint_id if forward else None)
            if forward:
                node.handle(self.now_ns, _response_to(forward))
        return endpoint_ids

    def _schedule(self, at_ns: int, index: int, event: api.Event) -> None:
        self._event_count += 1
        heappush(self._event_queue, (at_ns, self._event_count, index, event))

    def _execute(self, index: int, actions: Sequence[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                at_ns = max(action.at_ns, self.now_ns)
                self._schedule(at_ns, index, api.TimerFired(action.timer_id))
            elif isinstance(action, api.Forward):
                self.forwarded.append((self.now_ns, action.endpoint_id))
                self._schedule(self.now_ns + SERVICE_TIME_NS, index, _response_to(action))


def _response_to(action: api.Forward) -> api.AttemptOutcome:
    return api.AttemptOutcome(
        action.request_id, True, api.AttemptResult.OK, SERVICE_TIME_NS, action.endpoint_id, 0, ()
    )


class FleetMeasurement:
    """Measures a fleet of one size; the measurements depend on the order in `run`."""

    def __init__(self, node_count: int, server_count: int) -> None:
        """Build the fleet, and measure its memory."""
        self.rows: list[Row] = []
        self._size = {"nodes": node_count, "servers": server_count}
        self._server_count = server_count
        self._rate = SERVER_REQUEST_RATE * server_count
        gc.collect()
        before = resident_bytes()
        self._fleet = Fleet(node_count, server_count)
        gc.collect()
        self.node_bytes = (resident_bytes() - before) / node_count

    def run(self) -> None:
        """Take all figures."""
        self._add("memory of a hollow node", self.node_bytes / 1e6, "MB")
        self._measure_updates()
        zone_rate = self._measure_load()
        if self._rate * LOAD_DURATION_SECONDS <= MAX_SLOW_START_REQUEST_COUNT:
            self._measure_slow_start(zone_rate)

    def _add(self, name: str, value: float, unit: str, bound: float | None = None, **more: Any) -> None:
        row = {"name": name, "size": self._size, "value": value, "unit": unit, "bound": bound, **more}
        self.rows.append(row)

    def _measure_updates(self) -> None:
        """Remove and add one server, a rack and a zone, and measure the updates and the moved keys."""
        ready, removed = api.EndpointState.READY, api.EndpointState.REMOVED
        zone, rack = world.endpoints_in_zone(self._server_count), world.endpoints_in_rack(self._server_count)
        before = self._fleet.endpoints_of(range(1, KEY_COUNT + 1))
        self._measure_update("one server lost", [0], removed)
        self._measure_moved_keys("one server lost", [0], before)
        self._measure_update("one server back", [0], ready)
        self._measure_update("rack lost", rack, removed)
        self._measure_update("rack back", rack, ready)
        before = self._fleet.endpoints_of(range(1, KEY_COUNT + 1))
        self._measure_update("zone lost", zone, removed)
        self._measure_moved_keys("zone lost", zone, before)
        self._measure_update("zone back", zone, ready)

    def _measure_update(self, name: str, numbers: Iterable[int], state: api.EndpointState) -> None:
        update = world.delta(world.endpoint(number, state) for number in numbers)
        times = self._fleet.notify_all(update)
        self._add(
            f"{name}, last node acting, {AGENT_DELAY_SECONDS:.0f} s of agents assumed",
            AGENT_DELAY_SECONDS + max(times),
            "s",
            world.MAX_UPDATE_DELAY_SECONDS,
            calculated=True,
            spread=(max(times) - min(times)) / 2,
            why="the nodes' processor time is run; the agents' spread is an assumption",
        )

    def _measure_moved_keys(
        self, name: str, removed_numbers: Iterable[int], before: list[api.EndpointId | None]
    ) -> None:
        removed = {world.endpoint(number).id for number in removed_numbers}
        after = self._fleet.endpoints_of(range(1, KEY_COUNT + 1))
        avoidable_moves = sum(
            old != new and old not in removed for old, new in zip(before, after, strict=True)
        )
        needed_moves = sum(old in removed for old in before)
        self._add(
            f"keys moved though their server stayed, {name}",
            100 * (avoidable_moves / KEY_COUNT),
            "%",
            why=f"and {100 * (needed_moves / KEY_COUNT):.1f} % whose server was lost; "
            "seen from a node of that zone",
        )

    def _measure_load(self) -> float:
        """Measure how requests are distributed; return the requests a second for a weight of 1 in zone 0."""
        seconds = min(float(LOAD_DURATION_SECONDS), MAX_LOAD_REQUEST_COUNT / self._rate)
        self._fleet.run(seconds, self._rate)
        counts = Counter(endpoint_id for _, endpoint_id in self._fleet.forwarded)
        endpoints = [world.endpoint(number) for number in range(self._server_count)]
        self._add_load_rows(counts, endpoints)
        zone = [endpoint for endpoint in endpoints if endpoint.zone == 0]
        return sum(counts[endpoint.id] for endpoint in zone) / sum(one.weight for one in zone) / seconds

    def _add_load_rows(self, counts: Counter[api.EndpointId], endpoints: list[api.Endpoint]) -> None:
        request_count = len(self._fleet.forwarded)
        total_weight = sum(endpoint.weight for endpoint in endpoints)
        mean_load = request_count / total_weight
        max_load = max(counts[endpoint.id] / endpoint.weight for endpoint in endpoints)
        weight_ratios = [endpoint.weight / total_weight for endpoint in endpoints]
        random_counts = np.random.default_rng(1).multinomial(request_count, weight_ratios)
        random_max_load = float(np.max(random_counts / np.array(weight_ratios))) / request_count
        mean_requests = request_count / self._server_count
        self._add(
            "load for its weight, most of a server to the mean",
            max_load / mean_load,
            "times",
            why=f"{mean_requests:.0f} requests a server; by chance alone {random_max_load:.2f}",
        )
        self._add(
            "servers that met no request",
            100 * (1 - len(counts) / self._server_count),
            "%",
            why=f"by chance {100 * float((random_counts == 0).mean()):.2f} %",
        )

    def _measure_slow_start(self, zone_rate: float) -> None:
        """Remove zone 0, add it again as just started, and measure the requests that its endpoints get."""
        zone = [
            world.endpoint(number, started_at_ns=1) for number in world.endpoints_in_zone(self._server_count)
        ]
        removed = world.delta(endpoint._replace(state=api.EndpointState.REMOVED) for endpoint in zone)
        self._fleet.notify_all(removed)
        self._fleet.run(1.0, self._rate)
        self._fleet.forwarded.clear()
        now_ns = self._fleet.now_ns
        self._fleet.notify_all(world.delta(endpoint._replace(started_at_ns=now_ns) for endpoint in zone))
        self._fleet.run(world.OVERLOAD_DURATION_NS / world.SECOND_NS, self._rate)
        counts = Counter(endpoint_id for _, endpoint_id in self._fleet.forwarded)
        self._add(
            "cold zone, most attempts to a server in 3 s, of N + 2 sqrt N + 2",
            max(counts[endpoint.id] / _max_slow_start_requests(endpoint, zone_rate) for endpoint in zone),
            "times",
            1.0,
            why="N: 4 times 30% of what its zone took for its weight when warm",
        )


def _max_slow_start_requests(endpoint: api.Endpoint, zone_rate: float) -> float:
    """Return how many requests an endpoint may get during `OVERLOAD_DURATION_NS` while it starts slowly.

    Its capacity is then at the initial ratio of slow start. A margin allows for chance. `zone_rate` is in
    requests a second for a weight of 1.
    """
    warm_requests = zone_rate * endpoint.weight * world.OVERLOAD_DURATION_NS / world.SECOND_NS
    allowed = world.OVERLOAD_MULTIPLE * world.SLOW_START_INITIAL_RATIO * warm_requests
    return float(allowed + 2 * allowed**0.5 + 2)


def resident_bytes() -> float:
    """Return the resident memory of this process in bytes."""
    return float(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def measure(smoke: bool) -> list[Row]:
    """Return the figures of all sizes, or with `smoke` of the smallest size."""
    rows: list[Row] = []
    memory: list[tuple[float, float]] = []  # servers, bytes of a node
    for node_count, server_count in SMOKE_SIZES if smoke else SIZES:
        size_rows, node_bytes = _measure_size(node_count, server_count)
        rows += size_rows
        if node_count == SLOPE_NODE_COUNT:
            memory.append((server_count, node_bytes))
    if len(memory) >= MIN_SLOPE_POINT_COUNT:
        rows.append(_memory_slope(memory))
    return rows


def _measure_size(node_count: int, server_count: int) -> tuple[list[Row], float]:
    """Return the figures of one size, and the memory of a node in bytes; the fleet is freed on return."""
    measurement = FleetMeasurement(node_count, server_count)
    measurement.run()
    return measurement.rows, measurement.node_bytes


def _memory_slope(memory: list[tuple[float, float]]) -> Row:
    fit = fit_line(memory)
    return {
        "name": "memory of a hollow node, slope",
        "size": "servers 60 to 7200",
        "value": fit.slope,
        "unit": "B a server",
        "spread": fit.slope_error,
        "bound": None,
        "why": f"{SLOPE_NODE_COUNT} nodes; entries of the list are shared; starts at {fit.intercept:.0f} B",
    }
