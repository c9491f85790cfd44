"""Subset of the endpoints for requests without keys: its width, and the load of all subsets together."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from fleet import Plan, play
from world import MS_NS, SECOND_NS, START_NS, Node, server, settings, snapshot

from moleport.policy import endpoint_subset
from moleport.policy import interface as api
from moleport.policy.endpoint_registry import EndpointRegistry
from moleport.policy.endpoint_set import EndpointSet
from moleport.policy.endpoint_subset import MIN_ENDPOINT_COUNT, EndpointSubset
from moleport.policy.hardware_types import HardwareTypes
from moleport.policy.hashing import mix64
from moleport.policy.load_reports import LoadReports
from moleport.policy.outlier_detection import OutlierDetector
from moleport.policy.slow_start import SlowStart

NODE_COUNT = 660
ENDPOINT_COUNT = 7_200
ZONE_COUNT = 3
CLASSES = (api.RequestClass(500 * MS_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENT),)


def entry(number: int, state: api.EndpointState = api.EndpointState.READY, started: int = 0) -> api.Endpoint:
    """Return an endpoint whose id is a hash, like the ids that the node uses."""
    return server(number, state, started)._replace(id=mix64(number).to_bytes(8, "little"))


def endpoint_set(zone: int, entries: tuple[api.Endpoint, ...]) -> EndpointSet:
    """Return the endpoint set of a node in this zone after a snapshot with these entries."""
    node_settings = settings(zone=zone)
    endpoints = EndpointSet(zone)
    outliers = OutlierDetector(endpoints, Random(1))
    subset = EndpointSubset(node_settings, endpoints, 1)
    slow_start = SlowStart(node_settings, Random(1), endpoints, outliers, subset)
    registry = EndpointRegistry(endpoints, outliers, slow_start, LoadReports(node_settings, HardwareTypes()))
    registry.apply_update(START_NS, snapshot(*entries))
    return endpoints


@pytest.mark.parametrize("in_flight", [1.0, 30.0])
@pytest.mark.parametrize("layout", ["round robin", "blocks"])
def test_the_subsets_of_all_nodes_spread_the_load_evenly(layout: str, in_flight: float) -> None:
    """All nodes have equal traffic; their zones depend on the node index in two common ways."""
    entries = tuple(entry(number) for number in range(ENDPOINT_COUNT))
    by_zone = [endpoint_set(zone, entries) for zone in range(ZONE_COUNT)]
    sample = [status.endpoint.id for status in by_zone[0].ready[::12]]
    loads = dict.fromkeys(sample, 0.0)
    for index in range(NODE_COUNT):
        zone = index % ZONE_COUNT if layout == "round robin" else index * ZONE_COUNT // NODE_COUNT
        endpoints = by_zone[zone]
        node_settings = settings(zone=zone, node_count=NODE_COUNT, node_index=index)
        subset = EndpointSubset(node_settings, endpoints, seed=index)
        for _ in range(20):
            subset.on_keyless_request()
            subset.end_window(in_flight, request_count=1)
        for endpoint_id in sample:
            loads[endpoint_id] += subset.concentration(endpoints.by_id[endpoint_id])
    mean = sum(loads.values()) / len(loads)
    assert max(loads.values()) / mean <= 1.15
    assert min(loads.values()) / mean >= 0.85


def node_with_endpoints(count: int, **changes: object) -> Node:
    """Return one of 40 nodes, in zone 1, with this number of ready endpoints."""
    node = Node(settings(classes=CLASSES, node_count=40, node_index=7, zone=1, **changes), servers=0)
    node.handle(snapshot(*(entry(number) for number in range(count))))
    return node


def used_endpoints(node: Node, count: int, has_keys: bool = False) -> set[api.EndpointId]:
    """Serve `count` requests, with or without keys, and return the endpoints that answered."""
    found = {node.serve(number if has_keys else 0, elapsed=MS_NS) for number in range(1, count + 1)}
    assert None not in found
    return {endpoint_id for endpoint_id in found if endpoint_id is not None}


def test_requests_without_keys_use_a_subset_where_the_fleet_is_large() -> None:
    for count in (192, 3200, 7200):
        # One arc is of all zones and one of the own zone; each length may be rounded up.
        assert len(used_endpoints(node_with_endpoints(count), 2000)) <= 2.5 * MIN_ENDPOINT_COUNT


def test_requests_with_keys_reach_the_endpoints_that_their_keys_hash_to(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = node_with_endpoints(192)
    with_subset = [node.serve(key, elapsed=MS_NS) for key in range(1, 400)]
    monkeypatch.setattr(endpoint_subset, "MIN_ENDPOINT_COUNT", 10**9)
    node = node_with_endpoints(192)
    assert [node.serve(key, elapsed=MS_NS) for key in range(1, 400)] == with_subset
    assert len(set(with_subset)) > MIN_ENDPOINT_COUNT


def test_the_subset_grows_with_the_requests_in_flight_and_shrinks_slowly() -> None:
    node = node_with_endpoints(3200, overload_multiple=4.0)
    used_before = len(used_endpoints(node, 1000))
    sends = [action for _ in range(60) for action in node.request() if isinstance(action, api.Forward)]
    for _ in range(4):
        node.wait(500 * MS_NS)
    for send in sends:
        node.finish_attempt(send, api.AttemptResult.OK)
    assert len(used_endpoints(node, 3000)) > 2 * used_before


def test_draining_endpoints_of_the_subset_are_replaced() -> None:
    node = node_with_endpoints(3200)
    used_before = used_endpoints(node, 2000)
    draining_ids = sorted(used_before)[::2]
    by_id = {endpoint.id: endpoint for endpoint in map(entry, range(3200))}
    drained = tuple(
        by_id[endpoint_id]._replace(state=api.EndpointState.DRAINING) for endpoint_id in draining_ids
    )
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, drained))
    used_after = used_endpoints(node, 2000)
    assert not used_after & set(draining_ids)
    assert len(used_after) >= MIN_ENDPOINT_COUNT
    # The rest of the subset stays in use.
    assert len(used_after & used_before) >= 0.9 * len(used_before - set(draining_ids))


def answered_without_own_zone(request_count: int) -> int:
    """Return how many requests are answered while connections to the own zone fail."""
    node = node_with_endpoints(192)
    zone_by_id = {endpoint.id: endpoint.zone for endpoint in map(entry, range(192))}
    answered_count = 0
    for _ in range(request_count):
        action = node.request()[-1]
        while isinstance(action, api.Forward):
            if zone_by_id[action.endpoint_id] != node.balancer._settings.zone:
                node.finish_attempt(action, api.AttemptResult.OK)
                answered_count += 1
                break
            action = node.finish_attempt(action, api.AttemptResult.CONNECT_FAILED, elapsed=MS_NS)[-1]
        node.wait(5 * MS_NS)
    return answered_count


def test_the_loss_of_a_zone_costs_no_more_answers_than_without_a_subset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_subset = answered_without_own_zone(request_count=300)
    monkeypatch.setattr(endpoint_subset, "MIN_ENDPOINT_COUNT", 10**9)
    assert with_subset >= max(280, answered_without_own_zone(request_count=300))


def test_an_endpoint_of_the_subset_is_used_in_slow_start() -> None:
    """Few nodes use the endpoint, so each may send it more than an even part of its requests."""
    utilization_ratio = sorted(used_endpoints(node_with_endpoints(3200), 3000))
    node = node_with_endpoints(3200, slow_start_initial_ratio=0.5, slow_start_duration_ns=60 * SECOND_NS)
    for _ in range(250):  # 5 s, to measure the request rate of warm endpoints
        node.serve(0, elapsed=MS_NS)
        node.wait(20 * MS_NS)
    by_id = {endpoint.id: endpoint for endpoint in map(entry, range(3200))}
    warming_endpoint = by_id[utilization_ratio[0]]._replace(started_at_ns=node.now)
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (warming_endpoint,)))
    request_count = 0
    for _ in range(1500):  # 30 s
        request_count += node.serve(0, elapsed=MS_NS) == warming_endpoint.id
        node.wait(20 * MS_NS)
    assert 3 <= request_count <= 1500 / len(utilization_ratio)


PLAN = Plan(
    40,
    192,
    0.7,
    3.0,
    1500 * MS_NS,
    0.3,
    8 * SECOND_NS,
    0.4,
    queue_length=8,
    latency_objectives_ns=(300 * MS_NS, 600 * MS_NS),
    warm_up=4 * SECOND_NS,
    measured_ns=4 * SECOND_NS,
    has_keys=False,
)


def test_a_fleet_with_subsets_serves_as_much_and_keeps_the_slow_start_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plans = [replace(PLAN, seed=seed) for seed in (1, 2)]
    with_subsets = [play(plan) for plan in plans]
    monkeypatch.setattr(endpoint_subset, "MIN_ENDPOINT_COUNT", 10**9)
    without_subsets = [play(plan) for plan in plans]
    assert all(report.overload_ratio <= 1.0 for report in with_subsets)
    assert sum(result.success_ratio for result in with_subsets) >= 0.97 * sum(
        result.success_ratio for result in without_subsets
    )
    assert sum(result.utilization_ratio for result in with_subsets) >= 0.9 * sum(
        result.utilization_ratio for result in without_subsets
    )
