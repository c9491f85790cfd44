"""Cost of windows and ejection checks, and counts that are kept incrementally."""

from __future__ import annotations

from math import ceil
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st
from test_candidates import delta, fleet, in_zones, operations
from world import MS, SECOND, Game, Node, server, settings, whole

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.hashing import WEIGHT_UNITS, to_weight_units
from moleport.policy.hot_keys import HotKeyTracker
from moleport.policy.interface import AttemptResult, EndpointState
from moleport.policy.load_reports import UTILIZATION_UNITS

TICK = api.TimerFired(1)


def busy_fleet(count: int) -> Node:
    node = fleet(count, load_report_fields=("utilization",), slow_start_duration_ns=SECOND)
    node.tell(delta(*(in_zones(number)._replace(hardware_type=number % 2) for number in range(count))))
    for key in range(1, 60):
        send = node.ask(0, key)[-1]
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.REJECTED if key % 9 == 0 else AttemptResult.OK, report=(0.9,))
    node.tell(TICK)  # what came with the list is looked at once
    return node


def test_window_end_costs_as_the_changes_and_not_as_the_endpoints() -> None:
    """The end of a window must not iterate over all endpoints."""
    nodes = [busy_fleet(count) for count in (300, 3000)]
    few, many = (operations(lambda node=node: node.tell(TICK)) for node in nodes)
    assert many < 1.2 * few + 300


def test_window_end_costs_as_the_new_keys_and_not_as_all_cached_keys() -> None:
    """At 7,200 endpoints a node remembers 43,200 requests by key."""
    costs = []
    for count in (100, 3000):
        node = fleet(3000)
        for key in range(1, count + 1):
            node.balancer._hot_keys.record(key)
        node.tell(TICK)
        costs.append(operations(lambda node=node: node.tell(TICK)))
    assert costs[1] < costs[0] + 300


def test_ejection_check_does_not_iterate_over_endpoints() -> None:
    """While half of the fleet is unreachable, each failure leads to a check."""
    node = fleet(2000)
    for status in node.balancer._endpoints.ready[:900]:
        status.failure_rate = 0.9
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    failing = node.balancer._endpoints.ready[1500]
    failing.failure_rate = 0.8
    assert operations(lambda: node.balancer._outliers.reserve_ejection(failing, AttemptResult.TIMEOUT)) < 2000
    assert not node.balancer._outliers.reserve_ejection(failing, AttemptResult.TIMEOUT)
    assert node.balancer._outliers.reserve_ejection(failing, AttemptResult.CONNECT_FAILED)


def test_at_the_ejection_limit_a_worse_endpoint_replaces_the_one_with_the_min_failure_rate() -> None:
    node = Node(servers=12)
    ready = node.balancer._endpoints.ready
    for status, failures in zip(ready, (0.9, 0.6, 0.6), strict=False):
        status.failure_rate = failures
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    ready[5].failure_rate = 0.8
    # Not that much worse.
    assert not node.balancer._outliers.reserve_ejection(ready[5], AttemptResult.TIMEOUT)
    ready[5].failure_rate = 1.0
    assert node.balancer._outliers.reserve_ejection(ready[5], AttemptResult.TIMEOUT)
    assert [bool(one.ejected_until_ns) for one in ready[:3]] == [True, False, True]  # the lower id of two


def test_ejected_endpoint_is_counted_only_while_it_is_ready() -> None:
    node = Node(servers=4)
    balancer = node.balancer
    balancer._outliers.eject(node.now, balancer._endpoints.ready[1], api.AttemptResult.ERROR)
    for state, count in ((EndpointState.DRAINING, 0), (EndpointState.READY, 1), (EndpointState.REMOVED, 0)):
        node.tell(delta(server(1, state)))
        assert len(balancer._outliers.ejected) == count


def test_rejection_rates_decay_while_an_endpoint_is_ready() -> None:
    node = Node(servers=1)
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Forward)
    node.end(send, AttemptResult.REJECTED)
    status = node.balancer._endpoints.ready[0]
    node.tell(TICK)
    assert status.rejection_rates[0] == pytest.approx(0.2 * 0.95)
    node.tell(delta(server(0, EndpointState.DRAINING)))
    node.tell(TICK)
    assert status.rejection_rates[0] == pytest.approx(0.2 * 0.95)
    node.tell(delta(server(0)))
    node.wait(70 * SECOND)
    assert not node.balancer._rejection_rates._affected and not status.rejection_rates


@pytest.mark.parametrize("seed", range(12))
def test_incremental_counts_match_the_endpoints(seed: int) -> None:
    rules = settings(load_report_fields=("utilization",), slow_start_duration_ns=SECOND)
    balancer = Balancer(rules, seed)
    game = Game(balancer, rules, Random(seed))
    for _ in range(5):
        game.play(steps=120)
        ready = [
            one for one in balancer._endpoints.by_id.values() if one.endpoint.state is EndpointState.READY
        ]
        assert balancer._endpoints.ready == sorted(ready, key=lambda one: one.endpoint.id)
        assert balancer._load_reports._total_units == sum(
            int(one.utilization * UTILIZATION_UNITS) for one in ready
        )
        assert set(balancer._outliers.ejected) == {one for one in ready if one.ejected_until_ns}
        for status in balancer._outliers.ejected:
            assert (status.failure_rate, status.endpoint.id) in balancer._outliers._by_failure_rate
        warm = [one for one in ready if balancer._slow_start.capacity_ratio(game.now, one.endpoint) >= 1.0]
        assert balancer._slow_start.update_warm_weight(game.now) == sum(one.endpoint.weight for one in warm)
        assert set(balancer._slow_start._warming) == set(ready) - set(warm)
        assert set(balancer._rejection_rates._affected) >= {
            one for one in ready if any(one.rejection_rates.values())
        }
        assert len(balancer._endpoints.candidates) == len(ready)


def test_warm_weight_follows_changes_of_weight_and_start_time() -> None:
    node = Node(settings(slow_start_duration_ns=SECOND), servers=0)
    cold = server(2, started=node.now)
    node.tell(whole(server(0)._replace(weight=0.1), server(1)._replace(weight=0.2), cold))
    assert node.balancer._slow_start.update_warm_weight(node.now) * WEIGHT_UNITS == to_weight_units(
        0.1
    ) + to_weight_units(0.2)
    node.tell(delta(server(0, started=node.now)._replace(weight=0.1), server(1)._replace(weight=4.0)))
    assert node.balancer._slow_start.update_warm_weight(node.now) == 4.0
    node.now += SECOND + MS
    assert node.balancer._slow_start.update_warm_weight(node.now) == pytest.approx(5.1)


ARRIVALS = st.lists(st.tuples(st.sampled_from([1, 1, *range(2, 12)]), st.booleans()), max_size=300)


@profile(max_examples=150, deadline=None)
@given(ARRIVALS, st.integers(1, 9))
def test_counts_that_fade_unseen_are_those_that_fading_all_would_give(
    arrivals: list[tuple[int, bool]], servers: int
) -> None:
    hitters, counts = HotKeyTracker(), dict[int, float]()
    came = set()
    for key, ends in arrivals:
        hitters.record(key)
        counts[key] = counts.get(key, 0) + 1
        came.add(key)
        if not ends:
            continue
        hitters.update(servers)
        total = sum(counts.values())
        fair = 0.5 * total / servers
        for key in came:  # one that has not come is looked at when it does
            count = counts[key]
            if abs(count - fair) > 1e-6 and abs(count - 2) > 1e-6:
                wanted = max(1, min(servers, 1 + ceil(count / fair - 1e-9)))
                if count < 2 or count <= fair:
                    assert key not in hitters.fan_out
                elif abs(count / fair - round(count / fair)) > 1e-6:
                    assert hitters.fan_out[key] == wanted
        keep = min(1.0, 6 * servers / total)
        if any(abs(count * keep - 0.5) < 1e-6 for count in counts.values()):
            return  # rounding decides whether it is forgotten
        counts = {key: count * keep for key, count in counts.items() if count * keep >= 0.5}
        assert {key: pytest.approx(n / hitters._scale) for key, n in hitters._counts.items()} == counts
        assert hitters._total / hitters._scale == pytest.approx(sum(counts.values()))
        came.clear()


def test_hot_key_counts_stay_finite_after_many_windows() -> None:
    hitters = HotKeyTracker()
    for key in range(60_000):
        hitters.record(key % 40)
        if key % 3 == 0:
            hitters.update(1)
    assert hitters._scale < 1e101 and hitters._total / hitters._scale < 10
    assert len(hitters._count_heap) == len(hitters._counts)


def test_heap_of_ejected_endpoints_stays_bounded() -> None:
    node = Node(servers=12)
    status = node.balancer._endpoints.ready[3]
    for turn in range(3000):
        status.failure_rate = 0.5 + turn / 10_000
        node.balancer._outliers.eject(node.now, status, api.AttemptResult.ERROR)
    assert len(node.balancer._outliers._by_failure_rate) < 100


@pytest.mark.parametrize("seed", range(20))
def test_cap_of_a_class_leaves_capacity_for_higher_priorities(seed: int) -> None:
    random = Random(seed)
    kinds = tuple(
        api.RequestClass(
            random.choice((1, 2, 5)) * SECOND,
            random.choice((0.0, 1.0, 1.1, 1.3, 3.0)),
            0.0,
            api.Idempotency.IDEMPOTENT,
        )
        for _ in range(random.choice((1, 2, 9)))
    )
    balancer = Node(settings(classes=kinds, weight_by_work=bool(seed % 2)), servers=6).balancer
    for breaker in balancer._admission.breakers:
        breaker.ns_per_request = random.choice((0.0, 1e8, 3e8))
    balancer._admission.update_caps()
    thresholds = [
        breaker.threshold(balancer._admission.initial_threshold()) for breaker in balancer._admission.breakers
    ]
    for index, cap in enumerate(balancer._admission.caps):
        own = balancer._admission.priority(index)
        bounds = [
            (0.8 if value > 2.0 * own else 1.0) * thresholds[other]
            for other in range(len(kinds))
            if (value := balancer._admission.priority(other)) > 1.2 * own
        ]
        assert cap == min([thresholds[index], *bounds])


def test_window_end_costs_linearly_in_the_number_of_classes() -> None:
    """Settings may hold hundreds of classes; comparing all pairs costs too much."""
    costs = []
    for count in (100, 800):
        kind = api.RequestClass(SECOND, 1.0, 0.0, api.Idempotency.IDEMPOTENT)
        node = Node(settings(classes=(kind,) * count), servers=6)
        costs.append(operations(lambda node=node: node.tell(TICK)))
    assert costs[1] < 12 * costs[0]
