"""Cost of the end of a window and of ejection checks, and correctness of incremental counts."""

from __future__ import annotations

from math import ceil
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from test_candidates import count_bytecodes, delta_update, node_with_endpoints, zoned_endpoint
from world import MS_NS, SECOND_NS, Node, RandomEvents, server, settings, snapshot

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.hashing import WEIGHT_UNITS, to_weight_units
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import AttemptResult, EndpointState
from moleport.policy.load_reports import UTILIZATION_UNITS

WINDOW_END = api.TimerFired(1)


def busy_fleet(count: int) -> Node:
    """Return a node that has received load reports and rejections from some of its endpoints."""
    node = node_with_endpoints(count, load_report_fields=("utilization",), slow_start_duration_ns=SECOND_NS)
    node.handle(
        delta_update(*(zoned_endpoint(number)._replace(hardware_type=number % 2) for number in range(count)))
    )
    for key in range(1, 60):
        forward = node.request(0, key)[-1]
        assert isinstance(forward, api.Forward)
        node.finish_attempt(
            forward, AttemptResult.REJECTED if key % 9 == 0 else AttemptResult.OK, report=(0.9,)
        )
    node.handle(WINDOW_END)  # the first window after a list also processes the entries of the list
    return node


def test_cost_of_a_window_end_does_not_grow_with_the_number_of_endpoints() -> None:
    """Guards against iterating over all endpoints at the end of a window."""
    nodes = [busy_fleet(count) for count in (300, 3000)]
    cost_of_few, cost_of_many = (count_bytecodes(lambda node=node: node.handle(WINDOW_END)) for node in nodes)
    assert cost_of_many < 1.2 * cost_of_few + 300


def test_cost_of_a_window_end_does_not_grow_with_the_number_of_remembered_keys() -> None:
    """Guards against iterating over all keys: at 7,200 endpoints a node remembers 43,200 requests by key."""
    costs = []
    for count in (100, 3000):
        node = node_with_endpoints(3000)
        for key in range(1, count + 1):
            node.balancer._hot_keys.record(key)
        node.handle(WINDOW_END)
        costs.append(count_bytecodes(lambda node=node: node.handle(WINDOW_END)))
    assert costs[1] < costs[0] + 300


def test_ejection_check_does_not_iterate_over_endpoints() -> None:
    """Guards against slow checks, as each failure leads to a check while half of the fleet is unreachable."""
    node = node_with_endpoints(2000)
    for status in node.balancer._endpoints.ready[:900]:
        status.failure_rate = 0.9
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    failing = node.balancer._endpoints.ready[1500]
    failing.failure_rate = 0.8
    assert (
        count_bytecodes(lambda: node.balancer._outliers.reserve_ejection(failing, AttemptResult.TIMEOUT))
        < 2000
    )
    assert not node.balancer._outliers.reserve_ejection(failing, AttemptResult.TIMEOUT)
    assert node.balancer._outliers.reserve_ejection(failing, AttemptResult.CONNECT_FAILED)


def test_at_the_ejection_limit_an_endpoint_replaces_the_one_with_the_lowest_failure_rate() -> None:
    node = Node(servers=12)
    ready = node.balancer._endpoints.ready
    for status, failure_rate in zip(ready, (0.9, 0.6, 0.6), strict=False):
        status.failure_rate = failure_rate
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    ready[5].failure_rate = 0.8
    # The failure rate does not exceed the lowest one by enough.
    assert not node.balancer._outliers.reserve_ejection(ready[5], AttemptResult.TIMEOUT)
    ready[5].failure_rate = 1.0
    assert node.balancer._outliers.reserve_ejection(ready[5], AttemptResult.TIMEOUT)
    # Of the two endpoints with the lowest failure rate, the one with the lower id is reinstated.
    assert [bool(status.ejected_until_ns) for status in ready[:3]] == [True, False, True]


def test_ejected_endpoint_is_counted_only_while_it_is_ready() -> None:
    node = Node(servers=4)
    balancer = node.balancer
    balancer._outliers.eject(node.now, balancer._endpoints.ready[1], api.AttemptResult.ERROR)
    for state, count in ((EndpointState.DRAINING, 0), (EndpointState.READY, 1), (EndpointState.REMOVED, 0)):
        node.handle(delta_update(server(1, state)))
        assert len(balancer._outliers.ejected) == count


def test_rejection_rates_decay_while_an_endpoint_is_ready() -> None:
    node = Node(servers=1)
    (forward,) = node.request(0, 1)
    assert isinstance(forward, api.Forward)
    node.finish_attempt(forward, AttemptResult.REJECTED)
    status = node.balancer._endpoints.ready[0]
    node.handle(WINDOW_END)
    assert status.rejection_rates[0] == pytest.approx(0.2 * 0.95)
    node.handle(delta_update(server(0, EndpointState.DRAINING)))
    node.handle(WINDOW_END)
    assert status.rejection_rates[0] == pytest.approx(0.2 * 0.95)
    node.handle(delta_update(server(0)))
    node.wait(70 * SECOND_NS)
    assert not node.balancer._rejection_rates._affected and not status.rejection_rates


@pytest.mark.parametrize("seed", range(12))
def test_incremental_counts_match_the_endpoints(seed: int) -> None:
    node_settings = settings(load_report_fields=("utilization",), slow_start_duration_ns=SECOND_NS)
    balancer = Balancer(node_settings, seed)
    game = RandomEvents(balancer, node_settings, Random(seed))
    for _ in range(5):
        game.run(steps=120)
        ready = [
            status
            for status in balancer._endpoints.by_id.values()
            if status.endpoint.state is EndpointState.READY
        ]
        assert balancer._endpoints.ready == sorted(ready, key=lambda status: status.endpoint.id)
        assert balancer._load_reports._total_units == sum(
            int(status.utilization * UTILIZATION_UNITS) for status in ready
        )
        assert set(balancer._outliers.ejected) == {status for status in ready if status.ejected_until_ns}
        for status in balancer._outliers.ejected:
            assert (status.failure_rate, status.endpoint.id) in balancer._outliers._by_failure_rate
        warm = [
            status
            for status in ready
            if balancer._slow_start.capacity_ratio(game.now, status.endpoint) >= 1.0
        ]
        assert balancer._slow_start.update_warm_weight(game.now) == sum(
            status.endpoint.weight for status in warm
        )
        assert set(balancer._slow_start._warming) == set(ready) - set(warm)
        assert set(balancer._rejection_rates._affected) >= {
            status for status in ready if any(status.rejection_rates.values())
        }
        assert len(balancer._endpoints.candidates) == len(ready)


def test_warm_weight_follows_changes_of_weight_and_start_time() -> None:
    node = Node(settings(slow_start_duration_ns=SECOND_NS), servers=0)
    warming_endpoint = server(2, started=node.now)
    node.handle(snapshot(server(0)._replace(weight=0.1), server(1)._replace(weight=0.2), warming_endpoint))
    assert node.balancer._slow_start.update_warm_weight(node.now) * WEIGHT_UNITS == to_weight_units(
        0.1
    ) + to_weight_units(0.2)
    node.handle(
        delta_update(server(0, started=node.now)._replace(weight=0.1), server(1)._replace(weight=4.0))
    )
    assert node.balancer._slow_start.update_warm_weight(node.now) == 4.0
    node.now += SECOND_NS + MS_NS
    assert node.balancer._slow_start.update_warm_weight(node.now) == pytest.approx(5.1)


ARRIVALS = st.lists(st.tuples(st.sampled_from([1, 1, *range(2, 12)]), st.booleans()), max_size=300)


@profile(max_examples=150, deadline=None)
@given(ARRIVALS, st.integers(1, 9))
def test_forward_decay_gives_the_same_counts_as_decaying_every_count(
    arrivals: list[tuple[int, bool]], endpoint_count: int
) -> None:
    tracker, counts = HotKeyTracker(), dict[int, float]()
    window_keys = set()
    for key, is_window_end in arrivals:
        tracker.record(key)
        counts[key] = counts.get(key, 0) + 1
        window_keys.add(key)
        if not is_window_end:
            continue
        tracker.update(endpoint_count)
        total = sum(counts.values())
        hot_threshold = 0.5 * total / endpoint_count
        for key in window_keys:  # other keys are checked at their next request
            count = counts[key]
            if abs(count - hot_threshold) > 1e-6 and abs(count - 2) > 1e-6:
                expected_fan_out = max(1, min(endpoint_count, 1 + ceil(count / hot_threshold - 1e-9)))
                if count < 2 or count <= hot_threshold:
                    assert key not in tracker.fan_out
                elif abs(count / hot_threshold - round(count / hot_threshold)) > 1e-6:
                    assert tracker.fan_out[key] == expected_fan_out
        decay_ratio = min(1.0, 6 * endpoint_count / total)
        if any(abs(count * decay_ratio - 0.5) < 1e-6 for count in counts.values()):
            return  # rounding decides whether the key is removed
        counts = {key: count * decay_ratio for key, count in counts.items() if count * decay_ratio >= 0.5}
        assert {
            key: pytest.approx(scaled_count / tracker._scale) for key, scaled_count in tracker._counts.items()
        } == counts
        assert tracker._total / tracker._scale == pytest.approx(sum(counts.values()))
        window_keys.clear()


def test_hot_key_counts_stay_finite_after_many_windows() -> None:
    tracker = HotKeyTracker()
    for key in range(60_000):
        tracker.record(key % 40)
        if key % 3 == 0:
            tracker.update(1)
    assert tracker._scale < 1e101 and tracker._total / tracker._scale < 10
    assert len(tracker._count_heap) == len(tracker._counts)


def test_heap_of_ejected_endpoints_stays_bounded() -> None:
    node = Node(servers=12)
    status = node.balancer._endpoints.ready[3]
    for step in range(3000):
        status.failure_rate = 0.5 + step / 10_000
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    assert len(node.balancer._outliers._by_failure_rate) < 100


@pytest.mark.parametrize("seed", range(20))
def test_cap_of_a_class_leaves_capacity_for_higher_priorities(seed: int) -> None:
    random = Random(seed)
    classes = tuple(
        api.RequestClass(
            random.choice((1, 2, 5)) * SECOND_NS,
            random.choice((0.0, 1.0, 1.1, 1.3, 3.0)),
            0.0,
            api.Idempotency.IDEMPOTENT,
        )
        for _ in range(random.choice((1, 2, 9)))
    )
    balancer = Node(settings(classes=classes, weight_by_work=bool(seed % 2)), servers=6).balancer
    for breaker in balancer._admission.breakers:
        breaker.ns_per_request = random.choice((0.0, 1e8, 3e8))
    balancer._admission.update_caps()
    thresholds = [
        breaker.threshold(balancer._admission.initial_threshold()) for breaker in balancer._admission.breakers
    ]
    for index, cap in enumerate(balancer._admission.caps):
        own_priority = balancer._admission.priority(index)
        bounds = [
            (0.8 if other_priority > 2.0 * own_priority else 1.0) * thresholds[other]
            for other in range(len(classes))
            if (other_priority := balancer._admission.priority(other)) > 1.2 * own_priority
        ]
        assert cap == min([thresholds[index], *bounds])


def test_cost_of_a_window_end_is_linear_in_the_number_of_classes() -> None:
    """Guards against comparing all pairs of classes, as settings may contain hundreds of classes."""
    costs = []
    for count in (100, 800):
        request_class = api.RequestClass(SECOND_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENT)
        node = Node(settings(classes=(request_class,) * count), servers=6)
        costs.append(count_bytecodes(lambda node=node: node.handle(WINDOW_END)))
    assert costs[1] < 12 * costs[0]
