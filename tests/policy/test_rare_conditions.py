"""Combinations of rare conditions: restarts, trials, hardware types without reports, extreme settings."""

from __future__ import annotations

import pytest
from world import MS_NS, SECOND_NS, START_NS, Node, settings

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.hardware_types import MIN_REPORT_COUNT, HardwareTypes

RESTARTED_AFTER_NS = SECOND_NS


def restart_first_endpoint(node: Node) -> api.Endpoint:
    """Notify a node that its first endpoint has restarted, and return the new entry."""
    node.now += RESTARTED_AFTER_NS
    status = node.balancer._endpoints.ready[0]
    endpoint = status.endpoint._replace(started_at_ns=node.now)
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (endpoint,)))
    return endpoint


def test_a_restarted_endpoint_inherits_nothing_of_the_process_before() -> None:
    """A restart closes the connections of an endpoint and resets its load, so the node must reset both."""
    node = Node(settings(load_report_fields=("utilization",)), servers=1)
    forward = node.request()[-1]
    assert isinstance(forward, api.Forward)
    node.finish_attempt(forward, api.AttemptResult.OK, report=(0.9,))
    status = node.balancer._endpoints.ready[0]
    status.rejection_rates[0] = 0.8
    restart_first_endpoint(node)
    assert (status.idle_since_ns, status.utilization, status.rejection_rates) == ([], 0.0, {})


def test_an_attempt_from_before_an_ejection_does_not_end_its_trial() -> None:
    """Only the result of the trial decides on the reinstatement of an ejected endpoint."""
    node = Node(settings(max_attempts=1), servers=1)
    outliers = node.balancer._outliers
    status = node.balancer._endpoints.ready[0]
    earlier = node.request()[-1]
    assert isinstance(earlier, api.Forward)
    outliers.eject(node.now, status, api.AttemptResult.ERROR)
    node.now = status.ejected_until_ns + 1
    assert isinstance(node.request()[-1], api.Forward)
    node.finish_attempt(earlier, api.AttemptResult.OK)
    assert status.is_on_trial


def test_a_hardware_type_that_has_left_does_not_stop_the_others_from_adapting() -> None:
    hardware_types = HardwareTypes()
    for _ in range(10 * MIN_REPORT_COUNT):
        hardware_types.record_utilization(0, 0.9, is_reported=True)
        hardware_types.record_utilization(1, 0.3, is_reported=True)
    # The only endpoint of type 2 is removed after one report.
    hardware_types.record_utilization(2, 0.5, is_reported=True)
    hardware_types.update_ratios()
    assert hardware_types.by_type[0].hash_ratio < hardware_types.by_type[1].hash_ratio


@pytest.mark.parametrize("interval_ns", [0, 1])
def test_failing_polls_have_pauses_whatever_the_interval(interval_ns: int) -> None:
    node_settings = settings(discovery_mode=api.DiscoveryMode.POLL, poll_interval_ns=interval_ns)
    balancer = Balancer(node_settings, 1)
    actions = balancer.start(START_NS)
    polls_at_ns: list[int] = []
    timers: list[api.SetTimer] = []
    now_ns = START_NS
    while now_ns < START_NS + SECOND_NS and len(polls_at_ns) < 200:
        timers += [action for action in actions if isinstance(action, api.SetTimer)]
        if any(isinstance(action, api.WatchEndpoints) for action in actions):
            polls_at_ns.append(now_ns)
            actions = balancer.handle(now_ns, api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
            continue
        timer = min(timers)
        timers.remove(timer)
        now_ns = max(now_ns, timer.at_ns)
        actions = balancer.handle(now_ns, api.TimerFired(timer.timer_id))
    assert len(polls_at_ns) < SECOND_NS // (5 * MS_NS)
