"""Slow start of endpoints under the load of a whole fleet: neither overloaded nor without requests."""

from __future__ import annotations

from dataclasses import replace

import pytest
from fleet import Plan, play
from world import MS_NS, SECOND_NS, START_NS, Node, server, settings, snapshot

from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult

# Each tuple is overload multiple, overload window, initial ratio and duration of slow start.
STRICT = (1.5, 1500 * MS_NS, 0.5, 5 * SECOND_NS)
LONG = (2.0, 3 * SECOND_NS, 0.15, 20 * SECOND_NS)
BRIEF = (3.0, 1500 * MS_NS, 0.3, 3 * SECOND_NS)
LOOSE = (4.0, 3 * SECOND_NS, 0.3, 8 * SECOND_NS)


def plan(nodes: int, limits: tuple[float, int, float, int], lost_ratio: float, utilization: float) -> Plan:
    """Return a plan in which lost endpoints restart in steps, under the load of the whole fleet.

    Endpoints reject the requests that they can't queue. Some nodes restart while the endpoints do.
    """
    small_plan = Plan(
        nodes,
        20,
        utilization,
        *limits,
        lost_ratio,
        cores=2,
        capacity=30.0,
        queue_length=2,
        restarted_node_ratio=0.2,
        steps=5,
        step_time=750 * MS_NS,
        warm_up=4 * SECOND_NS,
        measured_ns=SECOND_NS,
    )
    if nodes < 100:
        return small_plan
    return replace(
        small_plan, servers=20, capacity=20.0, cores=1, warm_up=3 * SECOND_NS, steps=4, measured_ns=SECOND_NS
    )


@pytest.mark.parametrize("utilization", (0.6, 0.9))
@pytest.mark.parametrize("lost_ratio", (0.5, 0.9))
@pytest.mark.parametrize(
    ("nodes", "limits"),
    ((3, LOOSE), (3, STRICT), (20, STRICT), (20, BRIEF), (30, STRICT), (30, LONG), (200, STRICT)),
)
def test_all_nodes_together_keep_the_slow_start_limit(
    nodes: int, limits: tuple[float, int, float, int], lost_ratio: float, utilization: float
) -> None:
    report = play(plan(nodes, limits, lost_ratio, utilization))
    assert report.slow_start_count == round(lost_ratio * 20)
    assert report.overload_ratio <= 1.0, report


def test_second_loss_causes_no_burst_of_accumulated_tokens() -> None:
    """Guards against a burst of the tokens that many nodes have accumulated for the same endpoint."""
    for nodes, lost_ratio in ((30, 0.5), (200, 0.1)):
        base_plan = plan(nodes, STRICT, lost_ratio, 0.9)
        assert (
            play(
                replace(base_plan, steps=1, measured_ns=5 * SECOND_NS, second_loss_ratio=0.9 - lost_ratio)
            ).overload_ratio
            <= 1.0
        )


@pytest.mark.parametrize(("nodes", "lost_ratio"), ((20, 0.5), (200, 0.5), (200, 0.1)))
def test_endpoints_in_slow_start_are_used_by_many_nodes_with_little_traffic(
    nodes: int, lost_ratio: float
) -> None:
    """Guards against nodes that select an endpoint so seldom that it is warm before they have a token for it.

    Endpoints in slow start would be used at 0.6 of their capacity if they had the utilization of warm ones.
    """
    base_plan = replace(plan(nodes, STRICT, lost_ratio, 0.6), steps=1, measured_ns=5 * SECOND_NS)
    # The mean of three seeds, as the result for two endpoints in slow start varies too much.
    used_ratios = [play(replace(base_plan, seed=seed)).utilization_ratio for seed in (1, 2, 3)]
    assert sum(used_ratios) / len(used_ratios) > 0.3, used_ratios


def test_new_node_uses_a_fleet_that_is_all_in_slow_start() -> None:
    """The arrival rate of the node is used until the request rate of warm endpoints has been measured."""
    warming_endpoints = tuple(server(number, started=START_NS) for number in range(6))
    node = Node(settings(slow_start_initial_ratio=0.3, slow_start_duration_ns=8 * SECOND_NS), servers=0)
    node.handle(snapshot(*warming_endpoints))
    sent_flags = []
    for _ in range(200):  # 4 s at 50 requests per second
        actions = node.request()
        sent_flags.append(isinstance(actions[-1], api.Forward))
        node.wait(10 * MS_NS)
        if sent_flags[-1]:
            node.finish_attempt(actions[-1], AttemptResult.OK)
        node.wait(10 * MS_NS)
    assert 0.2 < sum(sent_flags[50:100]) / 50 < 0.6  # after 1 to 2 s the capacity ratio is 0.4 to 0.5
    assert 0.4 < sum(sent_flags[150:]) / 50 < 0.8


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.TIMEOUT, AttemptResult.REJECTED])
def test_a_failing_endpoint_of_unknown_capacity_gets_three_requests_per_window(
    result: AttemptResult,
) -> None:
    """Arrivals are no evidence of the capacity of an endpoint; only successful answers are."""
    window_ns = 1500 * MS_NS
    node_settings = settings(slow_start_initial_ratio=0.9, max_attempts=1, overload_window_ns=window_ns)
    node = Node(node_settings, servers=0)
    node.handle(snapshot(server(0, started=START_NS)))
    sent_at_ns = []
    for _ in range(400):
        action = node.request()[-1]
        if isinstance(action, api.Forward):
            sent_at_ns.append(node.now)
            node.finish_attempt(action, result)
        node.wait(20 * MS_NS)
    assert len(sent_at_ns) > 9
    for index in range(3, len(sent_at_ns)):
        assert sent_at_ns[index] - sent_at_ns[index - 3] > window_ns


def test_restarted_only_endpoint_gets_requests() -> None:
    for seed in range(20):
        node = Node(
            settings(slow_start_initial_ratio=0.3, slow_start_duration_ns=8 * SECOND_NS), servers=1, seed=seed
        )
        node.wait(10 * SECOND_NS)
        node.handle(snapshot(server(0, started=node.now)))
        node.now += MS_NS
        assert any(isinstance(node.request()[-1], api.Forward) for _ in range(5))
