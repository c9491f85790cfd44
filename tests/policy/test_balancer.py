"""Tests of each mechanism of the decision module, with events that the test generates."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from world import KEYED, MS_NS, SAFE, SECOND_NS, START_NS, UNSAFE, Node, server, settings, snapshot

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult
from moleport.policy.state import REPEAT_TRANSIT_NS


def serve_window(node: Node, count: int, elapsed: int, class_index: int = 0) -> None:
    """Serve requests that are in flight for 300 ms and report one response time, and end the window."""
    forwards = [node.request(class_index, key)[0] for key in range(1, count + 1)]
    node.wait(300 * MS_NS)
    for forward in forwards:
        if isinstance(forward, api.Forward):
            node.finish_attempt(forward, AttemptResult.OK, elapsed)
    node.wait(300 * MS_NS)


def count_admitted(node: Node, count: int = 400, class_index: int = 0) -> int:
    """Return how many of `count` simultaneous requests are admitted."""
    return sum(isinstance(node.request(class_index, 10_000 + n)[0], api.Forward) for n in range(count))


def avoid_hot_keys(node: Node) -> None:
    """Serve so many requests with other keys that no key of the test is a hot key."""
    for key in 2 * list(range(100, 136)):
        node.serve(key)


def one_class_settings(latency_objective_ns: int = SECOND_NS, **changes: object) -> api.Settings:
    request_class = api.RequestClass(latency_objective_ns, 1.0, 0.5, api.Idempotency.IDEMPOTENT)
    return settings(classes=(request_class,), **changes)


# Discovery polling.


def polling_node(seed: int = 1, poll_interval_ns: int = 60 * SECOND_NS) -> Node:
    """Return a node in discovery mode `poll` that has started with a cached list."""
    poll_settings = settings(discovery_mode=api.DiscoveryMode.POLL, poll_interval_ns=poll_interval_ns)
    return Node(poll_settings, seed=seed, kind=api.EndpointUpdateKind.CACHED)


def wait_for_poll(node: Node) -> int:
    """Wait for the next poll of the list, and return its time in ns."""
    while not any(isinstance(action, api.WatchEndpoints) for action in node.wait(10 * MS_NS)):
        assert node.now < START_NS + 1000 * SECOND_NS
    return node.now


@pytest.mark.parametrize("poll_duration_ns", [0, 300 * MS_NS, 2 * SECOND_NS, 2500 * MS_NS])
def test_failed_poll_backoff_and_next_poll_fit_into_the_notification_limit(poll_duration_ns: int) -> None:
    """Guards against a late notification of a change that occurs right after a failed poll has begun.

    The limit is 6 s. The next poll may last 2.5 s of them, so the backoff has to leave that time.
    """
    pauses = set()
    for seed in range(20):
        node = polling_node(seed)
        polled_at_ns = wait_for_poll(node)
        for _ in range(8):
            node.wait(poll_duration_ns)
            node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
            failed_at_ns, previous_polled_at_ns = node.now, polled_at_ns
            polled_at_ns = wait_for_poll(node)
            assert polled_at_ns - previous_polled_at_ns <= 3500 * MS_NS
            pauses.add(polled_at_ns - failed_at_ns)
    assert min(pauses) >= 100 * MS_NS and len(pauses) > 10  # no poll follows at once, and nodes differ


def test_broken_watch_is_reopened_within_the_notification_limit() -> None:
    for seed in range(50):
        node = polling_node(seed)
        wait_for_poll(node)
        node.handle(snapshot(server(1)))
        node.wait(60 * SECOND_NS)
        silent_since_ns = node.now - 3 * SECOND_NS  # a watch is silent for 3 s before it counts as broken
        node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        assert wait_for_poll(node) - silent_since_ns + 2500 * MS_NS <= 6 * SECOND_NS


def test_first_poll_leaves_time_for_its_answer() -> None:
    """Guards against a first poll so late that its answer exceeds the notification limit."""
    first_poll_delays_ns = set()
    for seed in range(50):
        node = polling_node(seed)
        first_poll_delays_ns.add(wait_for_poll(node) - START_NS)
    # The nodes of a fleet poll at different times.
    assert (
        max(first_poll_delays_ns) <= 3500 * MS_NS
        and max(first_poll_delays_ns) - min(first_poll_delays_ns) > SECOND_NS
    )


# Circuit breaker and admission.


def test_new_node_admits_its_initial_cap_and_rejects_the_next_request() -> None:
    node = Node(one_class_settings(), servers=6)
    assert count_admitted(node) == 76  # the cap of 60 plus 2 * sqrt(60), while the mean is below the cap
    (rejection,) = node.request(0, 1)
    assert isinstance(rejection, api.Reject)
    assert 0 < rejection.retry_after_ns <= 2 * SECOND_NS


def test_retry_after_is_the_objective_only_where_late_answers_have_value() -> None:
    """Guards against client retries after the objective, which only add load if late answers are useless."""
    for is_enabled in (True, False):
        node = Node(settings(sends_retry_after=is_enabled), servers=0)
        retry_afters_ns = [node.request(class_index)[0].retry_after_ns for class_index in range(3)]  # type: ignore[union-attr]
        assert retry_afters_ns == (
            [2 * SECOND_NS, KEYED.latency_objective_ns, 2 * SECOND_NS] if is_enabled else [0, 0, 0]
        )


def test_response_times_above_the_target_lower_the_cap() -> None:
    node = Node(one_class_settings(), servers=6)
    for _ in range(4):
        serve_window(node, 30, 3 * SECOND_NS)
    assert count_admitted(node) < 20


def test_quiet_window_does_not_lower_the_cap() -> None:
    node = Node(one_class_settings(), servers=6)
    for _ in range(10):
        serve_window(node, 1, 300 * MS_NS)
    assert count_admitted(node) == 76


def test_windows_within_the_target_raise_the_cap() -> None:
    node = Node(one_class_settings(), servers=6)
    for _ in range(6):
        serve_window(node, 400, 100 * MS_NS)
    assert count_admitted(node) > 60


def test_cap_is_at_least_half_of_the_proven_in_flight_when_all_endpoints_become_slow() -> None:
    node = Node(one_class_settings(), servers=6)
    for _ in range(3):
        serve_window(node, 60, 100 * MS_NS)
    for _ in range(40):
        serve_window(node, 60, 3 * SECOND_NS)
    assert count_admitted(node) >= 5


def test_timeout_is_sampled_as_longer_than_it_lasted() -> None:
    node = Node(one_class_settings(), servers=6)
    forwards = [node.request(0, key)[0] for key in range(30)]
    node.wait(300 * MS_NS)
    for forward in forwards:
        assert isinstance(forward, api.Forward)
        # The time is below the target, but twice the time is above it.
        node.finish_attempt(forward, AttemptResult.TIMEOUT, 580 * MS_NS)
    node.wait(300 * MS_NS)
    assert count_admitted(node) < 30


def test_higher_priority_class_is_not_crowded_out_by_a_higher_cap_of_a_lower_one() -> None:
    """A class with more work per request misses its objective first, and may have the higher priority."""
    light = api.RequestClass(2 * SECOND_NS, 8.0, 0.0, api.Idempotency.IDEMPOTENT)
    heavy = api.RequestClass(SECOND_NS, 10.0, 0.0, api.Idempotency.IDEMPOTENT)
    node = Node(settings(classes=(light, heavy), weight_by_work=True), servers=6)
    for _ in range(6):
        serve_window(node, 30, 3 * SECOND_NS, class_index=1)
    assert count_admitted(node, class_index=0) < 20


def test_timed_out_attempts_stay_in_flight_for_as_long_as_they_lasted() -> None:
    """Guards against overload by endpoints that continue to work on requests which have timed out."""
    node = Node(
        settings(classes=(api.RequestClass(SECOND_NS, 1.0, 0.5, api.Idempotency.NOT_IDEMPOTENT),)), servers=6
    )
    forwards = [node.request(0, key)[0] for key in range(1, 77)]
    for forward in {
        forward.endpoint_id: forward for forward in forwards if isinstance(forward, api.Forward)
    }.values():
        node.finish_attempt(forward, AttemptResult.TIMEOUT, 100 * MS_NS)
    assert isinstance(node.request(0, 77)[0], api.Reject)
    node.now += 110 * MS_NS
    assert isinstance(node.request(0, 77)[0], api.Forward)


def test_class_at_its_cap_keeps_a_minimum_in_flight_for_samples() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE)), servers=20)
    while isinstance(node.request(1, node.next_id)[0], api.Forward):
        pass
    assert isinstance(node.request(0, 1)[0], api.Forward)


def test_higher_priority_class_is_admitted_after_the_lower_one_is_shed() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE), weight_by_work=True), servers=6)
    assert count_admitted(node, class_index=0) == 62
    assert isinstance(node.request(1, 1)[0], api.Forward)


def test_timeouts_of_unreachable_endpoints_do_not_lower_the_cap() -> None:
    """A network partition makes attempts time out seconds later, which is not a sign of load."""
    node = Node(one_class_settings(), servers=12)
    unreachable_id = server(0).id
    forwards = []
    for key in range(1, 200):
        (forward,) = node.request(0, key)
        assert isinstance(forward, api.Forward)
        if forward.endpoint_id == unreachable_id:
            forwards.append(forward)
        else:
            node.finish_attempt(forward, AttemptResult.OK)
        if len(forwards) == 8:
            break
    for forward in forwards[:4]:
        node.finish_attempt(forward, AttemptResult.CONNECT_FAILED)
    node.wait(SECOND_NS)
    for forward in forwards[4:]:
        node.finish_attempt(forward, AttemptResult.TIMEOUT, 4 * SECOND_NS)
    node.wait(SECOND_NS)
    assert count_admitted(node) >= 55


def test_few_slow_endpoints_do_not_lower_the_cap() -> None:
    """Guards against load shedding due to a few slow endpoints while the others have capacity."""
    node = Node(one_class_settings(latency_objective_ns=200 * MS_NS), servers=8)
    slow_ids = sorted(node.balancer._endpoints.by_id)[:3]
    for round_number in range(30):
        forwards = [forward for key in range(30) for forward in node.request(0, 1 + 30 * round_number + key)]
        for is_slow, elapsed in (
            (False, 15 * MS_NS),
            (True, 15 * MS_NS if round_number < 6 else 190 * MS_NS),
        ):
            node.wait(elapsed)
            for forward in forwards:
                if isinstance(forward, api.Forward) and (forward.endpoint_id in slow_ids) is is_slow:
                    node.finish_attempt(forward, AttemptResult.OK, elapsed)
        node.wait(300 * MS_NS)
    assert not any(status.ejected_until_ns for status in node.balancer._endpoints.ready)
    assert count_admitted(node) >= 30


def test_the_cap_falls_when_all_endpoints_become_slow() -> None:
    """If all endpoints are slow, none is slow compared with the typical response time, so all are sampled."""
    node = Node(one_class_settings(latency_objective_ns=200 * MS_NS), servers=8)
    for elapsed in [15 * MS_NS] * 4 + [500 * MS_NS] * 12:
        serve_window(node, 30, elapsed)
    assert count_admitted(node) < 30


def test_response_time_of_zero_is_accepted() -> None:
    node = Node()
    node.serve(1, elapsed=0)
    node.wait(SECOND_NS)
    assert node.serve(1, elapsed=0) is not None


def test_burst_above_the_cap_is_admitted_while_the_mean_is_below_it() -> None:
    """With hundreds of nodes a cap is near one, and two or three requests arrive together by chance."""
    node = Node(one_class_settings(node_count=120), servers=12)  # 10 * 12 / 120: a cap of one
    forwards = [node.request(0, key)[0] for key in range(1, 5)]
    assert [isinstance(forward, api.Forward) for forward in forwards] == [True, True, True, False]
    node.wait(2 * SECOND_NS)
    for forward in forwards[:2]:
        assert isinstance(forward, api.Forward)
        node.finish_attempt(forward, AttemptResult.OK)
    assert isinstance(node.request(0, 9)[0], api.Reject)  # the mean of attempts in flight was two


def test_cap_below_one_is_not_raised_to_one() -> None:
    """Guards against a minimum of one request per class and node, which would overload a few endpoints."""
    node = Node(one_class_settings(node_count=600), servers=12)
    (forward,) = node.request(0, 1)
    assert isinstance(forward, api.Forward)
    node.now += 400 * MS_NS
    node.finish_attempt(forward, AttemptResult.OK, 400 * MS_NS)
    assert isinstance(node.request(0, 2)[0], api.Reject)  # the mean of attempts in flight was above a tenth
    node.now += 3 * SECOND_NS
    assert isinstance(node.request(0, 3)[0], api.Forward)


@pytest.mark.parametrize(("utilization", "min_admitted", "max_admitted"), [(0.3, 30, 400), (1.0, 1, 29)])
def test_idle_fleet_keeps_the_cap_unless_the_objective_is_missed(
    utilization: float, min_admitted: int, max_admitted: int
) -> None:
    """Requests of a class may take longer than the target without any load."""
    node = Node(one_class_settings(load_report_fields=("utilization",)), servers=6)
    serve_window(node, 10, 200 * MS_NS)
    for _ in range(6):
        forwards = [node.request(0, key)[0] for key in range(1, 31)]
        node.wait(300 * MS_NS)
        for forward in forwards:
            if isinstance(forward, api.Forward):
                node.finish_attempt(forward, AttemptResult.OK, 900 * MS_NS, (utilization,))
        node.wait(300 * MS_NS)
    assert min_admitted <= count_admitted(node) <= max_admitted


def test_client_retries_are_shed_at_half_of_the_cap() -> None:
    node = Node(one_class_settings(), servers=6)
    assert count_admitted(node, 41) == 41  # half of 60 plus 2 * sqrt(30)
    client_retry = api.Request(9999, SECOND_NS, 0, 0, 7, True)
    assert isinstance(node.handle(client_retry)[0], api.Reject)
    assert isinstance(node.request(0, 7)[0], api.Forward)


def test_tenant_over_quota_is_shed_before_the_others() -> None:
    node = Node(one_class_settings(tenants=(api.Tenant(0.5), api.Tenant(0.5))), servers=6)
    actions = [node.handle(api.Request(5000 + n, SECOND_NS, 0, 0, 100 + n, False))[0] for n in range(60)]
    assert sum(isinstance(action, api.Forward) for action in actions) == 41
    assert isinstance(node.handle(api.Request(6000, SECOND_NS, 0, 1, 3, False))[0], api.Forward)


def test_rejections_make_a_key_prefer_its_other_endpoint() -> None:
    """An endpoint with few requests in flight may be idle, or may reject all requests at once."""
    node = Node()
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    (forward,) = node.request(0, 42)
    assert isinstance(forward, api.Forward)
    (retry,) = node.finish_attempt(forward, AttemptResult.REJECTED)
    assert isinstance(retry, api.Forward)
    node.finish_attempt(retry, AttemptResult.OK)
    assert node.serve(42) == retry.endpoint_id != preferred_id
    node.wait(60 * SECOND_NS)  # the rejection rate has decayed
    assert node.serve(42) == preferred_id


# Selection of endpoints.


def test_endpoints_that_reject_one_class_still_get_other_classes() -> None:
    """Guards against fast rejections that look like low load, attract the class and lower its cap."""
    node = Node(servers=6)
    rejecting_ids = {server(number).id for number in range(3)}
    for status in node.balancer._endpoints.by_id.values():
        status.in_flight += 8 * (status.endpoint.id not in rejecting_ids)
    rejections_by_round = Counter[int]()
    for round_number in range(40):
        for key in range(1, 7):
            forwards = [action for action in node.request(0, key) if isinstance(action, api.Forward)]
            while forwards and forwards[0].endpoint_id in rejecting_ids:
                rejections_by_round[round_number] += 1
                forwards = [
                    action
                    for action in node.finish_attempt(forwards[0], AttemptResult.REJECTED)
                    if isinstance(action, api.Forward)
                ]
            if forwards:
                node.finish_attempt(forwards[0], AttemptResult.OK)
        node.now += 10 * MS_NS
    assert rejections_by_round
    assert not any(rejections_by_round[round_number] for round_number in range(30, 40))
    # Other classes still use the endpoints.
    assert {node.serve(key, class_index=1) for key in range(1, 40)} >= rejecting_ids


def test_key_stays_with_its_first_endpoint_while_loads_are_equal() -> None:
    node = Node()
    assert len({node.serve(42) for _ in range(20)}) == 1


def test_less_loaded_of_two_endpoints_is_selected() -> None:
    node = Node()
    first, second = node.request(0, 42)[0], node.request(0, 42)[0]
    assert isinstance(first, api.Forward) and isinstance(second, api.Forward)
    assert first.endpoint_id != second.endpoint_id


def test_nodes_with_different_seeds_select_the_same_endpoint_for_a_key() -> None:
    assert {Node(seed=seed).serve(7) for seed in range(5)} == {Node(seed=9).serve(7)}


def test_keys_are_spread_evenly() -> None:
    node = Node(servers=20)
    counts = Counter(node.serve(key) for key in range(1, 2001))
    assert len(counts) == 20
    assert max(counts.values()) < 1.5 * 100


def test_hot_key_goes_to_more_than_two_endpoints() -> None:
    node = Node(servers=20)
    for _ in range(3):
        for n in range(100):
            node.serve(42 if n % 3 else 1000 + n)
        node.wait(SECOND_NS)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_hot_key_is_detected_by_a_node_with_little_traffic() -> None:
    """With hundreds of nodes, each node gets a popular key at most once per second."""
    node = Node(servers=60)
    for n in range(90):
        node.serve(42 if n % 6 == 0 else 1000 + n)
        node.wait(200 * MS_NS)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_keys_counted_without_endpoints_cause_no_error_later() -> None:
    """Guards against a random draw from a fan-out of 0 endpoints."""
    node = Node(servers=0)
    for _ in range(3):
        node.request(0, 42)
    node.wait(SECOND_NS)
    node.handle(snapshot(server(1), server(2)))
    assert node.serve(42) is not None


def test_requests_without_a_key_go_to_random_endpoints() -> None:
    node = Node(servers=6)
    assert len({node.serve(0) for _ in range(60)}) == 6


def test_change_of_the_list_moves_few_keys() -> None:
    node = Node(servers=20)
    before = {key: node.serve(key) for key in range(1, 501)}
    node.handle(snapshot(*(server(number) for number in range(19))))
    moved_keys = [key for key in before if node.serve(key) != before[key]]
    lost_keys = [key for key in before if before[key] == server(19).id]
    assert set(lost_keys) <= set(moved_keys)
    assert len(moved_keys) < len(lost_keys) + 100


# Ejection, zones, slow start and weights of endpoints.


def test_failing_endpoint_is_ejected_and_gets_one_trial() -> None:
    node = Node()
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    for _ in range(2):
        (forward,) = node.request(0, 42)
        assert isinstance(forward, api.Forward) and forward.endpoint_id == preferred_id
        node.finish_attempt(forward, AttemptResult.ERROR)
    assert node.serve(42) != preferred_id
    node.wait(3 * SECOND_NS)
    (trial,) = node.request(0, 42)
    assert isinstance(trial, api.Forward) and trial.endpoint_id == preferred_id
    assert node.serve(42) != preferred_id  # one trial at a time
    node.finish_attempt(trial, AttemptResult.OK)
    assert node.serve(42) == preferred_id


def test_rarely_used_endpoint_is_ejected_by_one_failure_and_for_longer() -> None:
    """Each of hundreds of nodes sends a request to a failing endpoint only once in ten seconds."""
    node = Node(servers=12)
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    node.wait(10 * SECOND_NS)
    node.finish_attempt(node.request(2, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(3900 * MS_NS)
    assert node.serve(42) != preferred_id  # the usual ejection is at most two seconds
    node.wait(5 * SECOND_NS)
    assert node.serve(42) == preferred_id


def test_new_endpoint_does_not_count_as_silent() -> None:
    """A new endpoint is not ejected by its first failure, and its ejection is not prolonged."""
    node = Node(servers=12)
    node.wait(100 * MS_NS)
    first = node.request(0, 42)[0]
    assert isinstance(first, api.Forward)
    node.finish_attempt(first, AttemptResult.ERROR)
    status = node.balancer._endpoints.by_id[first.endpoint_id]
    assert not status.ejected_until_ns
    node.balancer._record_result(node.now, status, AttemptResult.ERROR, 0)
    assert status.ejected_until_ns
    assert status.ejected_until_ns - node.now <= 2 * SECOND_NS


def test_resets_do_not_eject_an_endpoint_that_answers_others() -> None:
    """Guards against ejection for resets that are caused by the network and not by the endpoint."""
    node = Node(servers=12)
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    status = node.balancer._endpoints.by_id[preferred_id or b""]
    for result in (
        AttemptResult.RESET,
        AttemptResult.RESET,
        AttemptResult.OK,
        AttemptResult.RESET,
        AttemptResult.RESET,
    ):
        node.balancer._record_result(node.now, status, result, 0)
    assert not status.ejected_until_ns
    node.now += SECOND_NS  # an endpoint without any answer for a second may be down
    for _ in range(2):
        node.balancer._record_result(node.now, status, AttemptResult.RESET, 0)
    assert status.ejected_until_ns


def test_trial_ends_when_its_connection_fails() -> None:
    """Guards against a trial without a conclusive outcome that keeps the endpoint ejected forever."""
    node = Node()
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    status = node.balancer._endpoints.by_id[preferred_id or b""]
    for _ in range(2):
        node.finish_attempt(node.request(2, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(3 * SECOND_NS)
    (trial,) = node.request(2, 42)
    assert isinstance(trial, api.Forward) and trial.endpoint_id == preferred_id and status.is_on_trial
    status.succeeded_at_ns = node.now  # as if another attempt had succeeded
    node.finish_attempt(trial, AttemptResult.CONNECT_FAILED)
    assert node.serve(42) == preferred_id


def test_endpoint_that_times_out_on_some_requests_is_not_ejected() -> None:
    """Under load many endpoints have some time-outs; ejecting these endpoints would overload the others."""
    node = Node(servers=6)
    for _ in range(8):
        serve_window(node, 12, 100 * MS_NS)
    avoid_hot_keys(node)
    preferred_id = node.serve(44)  # a key that returns to this endpoint after its first time-outs
    status = node.balancer._endpoints.by_id[preferred_id or b""]
    for _ in range(20):
        for result in (AttemptResult.TIMEOUT, AttemptResult.TIMEOUT, AttemptResult.OK):
            (forward,) = [action for action in node.request(0, 44) if isinstance(action, api.Forward)]
            if forward.endpoint_id == preferred_id:
                node.now += 100 * MS_NS
                node.finish_attempt(forward, result, 400 * MS_NS)
            else:
                node.finish_attempt(forward, AttemptResult.OK, 100 * MS_NS)
    assert not status.ejected_until_ns and status.failure_rate > 0.2
    node.now += SECOND_NS  # without a recent success, time-outs eject
    for _ in range(3):
        node.handle(api.Request(node.next_id, SECOND_NS, 0, 0, 42, False))
        node.balancer._record_result(node.now, status, AttemptResult.TIMEOUT, 0)
    assert status.ejected_until_ns


def test_failed_trial_ejects_for_longer() -> None:
    node = Node()
    avoid_hot_keys(node)
    preferred_id = node.serve(42)
    for _ in range(2):
        node.finish_attempt(node.request(0, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(2 * SECOND_NS)
    node.finish_attempt(node.request(0, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(1900 * MS_NS)
    assert node.serve(42) != preferred_id


def test_at_most_a_part_of_the_endpoints_is_ejected() -> None:
    node = Node(servers=9)
    for key in range(1, 300):
        (forward,) = node.request(2, key)
        if isinstance(forward, api.Forward):
            node.finish_attempt(forward, AttemptResult.ERROR)
    assert len({node.serve(key) for key in range(1, 200)}) >= 6


def test_endpoint_that_fails_more_replaces_an_ejected_one() -> None:
    """Guards against a limit used up by endpoints with few time-outs while another one always fails."""
    node = Node(servers=8)
    ejected_status, replaced_status, failing_status = [
        node.balancer._endpoints.by_id[endpoint_id] for endpoint_id in sorted(node.balancer._endpoints.by_id)
    ][:3]
    for status in (replaced_status, ejected_status):
        status.succeeded_at_ns = node.now
        while not status.ejected_until_ns:
            node.balancer._record_result(node.now, status, AttemptResult.TIMEOUT, 0)
    ejected_status.failure_rate += 0.1
    for _ in range(3):
        node.balancer._record_result(node.now, failing_status, AttemptResult.ERROR, 0)
        assert not failing_status.ejected_until_ns  # it is not higher by the replacement margin
    for _ in range(3):
        node.balancer._record_result(node.now, failing_status, AttemptResult.ERROR, 0)
    assert failing_status.ejected_until_ns and ejected_status.ejected_until_ns
    assert not replaced_status.ejected_until_ns


def test_keys_go_to_the_own_zone_while_its_endpoints_are_idle() -> None:
    """With forty nodes most load scores are equal, so that the order of preference decides."""
    node = Node(settings(zone=1), servers=12)
    counts = Counter(node.serve(key) for key in range(1, 301))
    assert sum(counts[server(number).id] for number in range(1, 12, 3)) > 270
    actions = [node.request(0, key)[-1] for key in range(1, 61)]
    busy_ids = {forward.endpoint_id for forward in actions if isinstance(forward, api.Forward)}
    assert len(busy_ids) > 8  # busy endpoints leave keys to the second candidate, which is of any zone


def test_small_own_zone_gets_no_more_than_its_ratio() -> None:
    node = Node(settings(zone=1), servers=0)
    node.handle(snapshot(server(1), *(server(number) for number in range(30) if number % 3 != 1)))
    counts = Counter(node.serve(key) for key in range(1, 1001))
    assert counts[server(1).id] < 200


def test_slow_start_limits_the_requests_to_an_endpoint() -> None:
    node = Node()
    for key in range(1, 300):
        node.serve(key)
    node.wait(SECOND_NS)
    warming_endpoint = server(3, started=node.now)
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (warming_endpoint,)))
    counts = Counter(node.serve(key) for key in range(1, 301))
    assert counts[warming_endpoint.id] <= 2
    node.wait(25 * SECOND_NS)
    counts = Counter(node.serve(key) for key in range(1, 301))
    assert counts[warming_endpoint.id] > 20


def test_slow_start_budget_does_not_fall_while_load_is_shed() -> None:
    """Shedding load lowers the number of requests to warm endpoints, but not their capacity."""
    node = Node()
    for _ in range(10):
        for key in range(1, 61):
            node.serve(key)
        node.wait(SECOND_NS // 2)
    for key in range(1, 9):
        node.serve(key)
        node.wait(SECOND_NS // 2)
    warming_endpoint = server(9, started=node.now)
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (warming_endpoint,)))
    node.wait(SECOND_NS)
    assert Counter(node.serve(key) for key in range(1, 301))[warming_endpoint.id] == 2


def test_with_most_endpoints_in_slow_start_the_load_is_spread() -> None:
    node = Node(servers=8)
    warming_endpoints = [server(number, started=node.now) for number in range(8, 60)]
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, tuple(warming_endpoints)))
    # The keys are 100 apart, as adjacent keys would share draws.
    counts = Counter(node.serve(key) for key in range(1, 80_001, 100))
    assert max(counts.values()) < 250


def test_draining_and_unlisted_endpoints_get_no_requests() -> None:
    node = Node(servers=4)
    node.handle(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (server(1, api.EndpointState.DRAINING),)))
    assert server(1).id not in {node.serve(key) for key in range(1, 100)}
    node.handle(snapshot(server(0), server(2)))
    assert {node.serve(key) for key in range(1, 100)} == {server(0).id, server(2).id}


def test_empty_list_rejects_until_endpoints_return() -> None:
    node = Node(servers=0)
    assert isinstance(node.request(2, 1)[0], api.Reject)
    node.handle(snapshot(server(1)))
    assert node.serve(1) == server(1).id


def test_weight_of_zero_counts_as_one() -> None:
    node = Node(servers=0)
    node.handle(snapshot(server(0)._replace(weight=0.0), server(1)._replace(weight=0.0)))
    assert len({node.serve(key) for key in range(1, 50)}) == 2


def test_heavier_endpoint_gets_more_keys() -> None:
    node = Node(servers=0)
    node.handle(snapshot(server(0)._replace(weight=3.0), server(1), server(2)))
    counts = Counter(node.serve(key) for key in range(1, 1001))
    assert 500 < counts[server(0).id] < 700


# Retries.


def test_maybe_executed_non_idempotent_request_fails_without_retry() -> None:
    node = Node()
    (forward,) = node.request(2, 1)
    assert isinstance(forward, api.Forward)
    assert node.finish_attempt(forward, AttemptResult.ERROR) == [api.Fail(forward.request_id)]


def test_non_idempotent_request_is_retried_after_a_failed_connection() -> None:
    node = Node()
    (forward,) = node.request(2, 1)
    assert isinstance(forward, api.Forward)
    (retry,) = node.finish_attempt(forward, AttemptResult.CONNECT_FAILED)
    assert isinstance(retry, api.Forward) and retry.endpoint_id != forward.endpoint_id


def test_keyed_request_is_retried_only_in_its_cell_and_window() -> None:
    node = Node(settings(classes=(KEYED,)), servers=6)
    (forward,) = node.request(0, 5)
    assert isinstance(forward, api.Forward)
    (retry,) = node.finish_attempt(forward, AttemptResult.RESET)
    assert isinstance(retry, api.Forward)
    assert int.from_bytes(retry.endpoint_id, "big") // 3 == int.from_bytes(forward.endpoint_id, "big") // 3
    (overdue_forward,) = node.request(0, 5)
    assert isinstance(overdue_forward, api.Forward)
    node.wait(800 * MS_NS)
    assert node.finish_attempt(overdue_forward, AttemptResult.RESET) == [api.Fail(overdue_forward.request_id)]


def test_keyed_retry_carries_a_write_deadline() -> None:
    """Guards against a retry that waits for its connection and arrives after the deduplication window.

    The window begins with the first attempt that may have been executed.
    """
    request_class = api.RequestClass(
        SECOND_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ALL, 300 * MS_NS
    )
    node = Node(settings(classes=(request_class, UNSAFE)), servers=12)
    first_sent_at_ns = node.now
    (first,) = node.request(0, 5)
    # The first attempt has no write deadline, as no earlier one can have been executed.
    assert isinstance(first, api.Forward) and first.write_deadline_ns == 0
    node.wait(50 * MS_NS)
    (retry,) = node.finish_attempt(first, AttemptResult.CONNECT_FAILED)
    assert isinstance(retry, api.Forward) and retry.write_deadline_ns == 0
    window_began_at_ns = node.now
    for _ in range(2):
        node.wait(100 * MS_NS)
        retry = node.finish_attempt(retry, AttemptResult.RESET)[-1]
        assert isinstance(retry, api.Forward)
        assert (
            node.now
            < retry.write_deadline_ns
            == window_began_at_ns + request_class.deduplication_window_ns - REPEAT_TRANSIT_NS
        )
    assert first_sent_at_ns < window_began_at_ns
    (not_idempotent,) = node.request(1, 5)
    assert isinstance(not_idempotent, api.Forward) and not_idempotent.write_deadline_ns == 0


@pytest.mark.parametrize(
    ("remaining_ns", "is_retried"), [(REPEAT_TRANSIT_NS + 1, True), (REPEAT_TRANSIT_NS, False)]
)
def test_no_keyed_retry_is_sent_that_may_arrive_after_its_window(remaining_ns: int, is_retried: bool) -> None:
    request_class = api.RequestClass(
        SECOND_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ALL, 300 * MS_NS
    )
    node = Node(settings(classes=(request_class,)), servers=6)
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Forward)
    node.wait(request_class.deduplication_window_ns - remaining_ns)
    action = node.finish_attempt(first, AttemptResult.RESET)[-1]
    assert isinstance(action, api.Forward if is_retried else api.Reject)


def test_keyed_request_without_a_key_is_not_retried() -> None:
    node = Node(settings(classes=(KEYED,)))
    (forward,) = node.request(0, 0)
    assert isinstance(forward, api.Forward)
    assert node.finish_attempt(forward, AttemptResult.RESET) == [api.Fail(forward.request_id)]


def test_retries_are_bounded_by_a_budget() -> None:
    node = Node(servers=30)
    retry_count = 0
    for key in range(1, 201):
        (forward,) = node.request(0, key)
        if isinstance(forward, api.Forward):
            retry_count += isinstance(node.finish_attempt(forward, AttemptResult.ERROR)[0], api.Forward)
        node.wait(50 * MS_NS)
    assert 10 <= retry_count <= 31


def test_events_of_closed_requests_are_ignored() -> None:
    node = Node()
    (forward,) = node.request(0, 1)
    assert isinstance(forward, api.Forward)
    node.handle(api.ClientDisconnected(forward.request_id))
    assert node.finish_attempt(forward, AttemptResult.TIMEOUT) == []
    assert node.finish_attempt(forward, AttemptResult.OK) == []
    assert node.handle(api.ClientDisconnected(forward.request_id)) == []
    assert node.handle(api.TimerFired(4711)) == []


# Endpoint list, and failures of polls and watches.


def test_failed_watch_is_reopened_with_bounded_backoff() -> None:
    """The bound is the time that the notification limit leaves, or the poll interval if that is shorter."""
    node = polling_node(poll_interval_ns=10 * SECOND_NS)
    wait_for_poll(node)
    backoffs_ns = []
    for _ in range(20):
        node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        failed_at_ns = node.now
        backoffs_ns.append(wait_for_poll(node) - failed_at_ns)
    assert backoffs_ns[0] <= SECOND_NS + 10 * MS_NS
    assert 1500 * MS_NS < max(backoffs_ns) <= 1625 * MS_NS + 10 * MS_NS
    assert min(backoffs_ns[1:]) > 800 * MS_NS
    node = polling_node(poll_interval_ns=500 * MS_NS)
    wait_for_poll(node)
    for _ in range(20):
        node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        failed_at_ns = node.now
        assert wait_for_poll(node) - failed_at_ns <= 500 * MS_NS + 10 * MS_NS


def test_two_backoffs_fit_into_the_notification_limit() -> None:
    """A watch may end without delivering a list, also right after discovery has recovered."""
    for seed in range(20):
        node = polling_node(seed)
        for _ in range(12):
            wait_for_poll(node)
            node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        recovered_at_ns = node.now
        wait_for_poll(node)
        # The watch was answered with status 200, and ended without a list.
        node.handle(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        assert wait_for_poll(node) - recovered_at_ns + 2500 * MS_NS <= 6 * SECOND_NS


def test_node_restarted_with_an_empty_list_polls_within_a_second() -> None:
    balancer = Balancer(settings(discovery_mode=api.DiscoveryMode.POLL), 3)
    (timer,) = balancer.handle(START_NS, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ()))
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ns - START_NS <= SECOND_NS


def test_watch_is_opened_once_until_it_fails() -> None:
    balancer = Balancer(settings(discovery_mode=api.DiscoveryMode.POLL), 3)
    assert balancer.handle(1, api.TimerFired(2)) == [api.WatchEndpoints()]
    assert balancer.handle(2, api.TimerFired(2)) == []
    balancer.handle(3, api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
    assert balancer.handle(4, api.TimerFired(2)) == [api.WatchEndpoints()]


def test_retries_within_a_zone_are_spread_over_its_endpoints() -> None:
    request_class = api.RequestClass(
        SECOND_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 5 * SECOND_NS
    )
    node = Node(settings(classes=(request_class,)), servers=30)
    retry_endpoint_ids = set()
    for key in range(1, 60):
        (forward,) = node.request(0, key)
        if isinstance(forward, api.Forward):
            (action,) = node.finish_attempt(forward, AttemptResult.RESET)
            if isinstance(action, api.Forward):
                retry_endpoint_ids.add(action.endpoint_id)
                node.finish_attempt(action, AttemptResult.OK)
        node.wait(50 * MS_NS)
    assert len(retry_endpoint_ids) > 5


def test_removed_endpoints_are_deleted() -> None:
    balancer = Balancer(settings(), 3)
    for n in range(50):
        balancer.handle(n, snapshot(server(n), server(n + 1)))
    assert len(balancer._endpoints.by_id) == 2


def test_nodes_that_start_together_poll_at_different_times() -> None:
    first_poll_times_ns = []
    for seed in range(10):
        node = Node(settings(discovery_mode=api.DiscoveryMode.POLL), seed=seed)
        first_poll_times_ns.append(min(timer.at_ns for timer in node.timers if timer.timer_id == 2))
    assert len(set(first_poll_times_ns)) == 10
    assert max(first_poll_times_ns) - min(first_poll_times_ns) > SECOND_NS


# Ordering by key.

ORDERED_CLASS = api.RequestClass(SECOND_NS, 1.0, 0.0, api.Idempotency.IDEMPOTENT, ordered_by_key=True)


def node_with_ordered_key(servers: int = 6) -> Node:
    node = Node(settings(classes=(ORDERED_CLASS, ORDERED_CLASS), key_cooldown_ns=50 * MS_NS), servers)
    for _ in range(9):  # windows from which the node learns the typical response time
        serve_window(node, 2, 10 * MS_NS)
        serve_window(node, 2, 10 * MS_NS, class_index=1)
    return node


def test_requests_of_an_ordered_key_are_sent_one_at_a_time_in_order() -> None:
    node = node_with_ordered_key()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Forward)
    assert isinstance(node.request(0, 6)[0], api.Forward)  # a different key is not queued
    assert isinstance(node.request(0, 0)[0], api.Forward) and isinstance(
        node.request(0, 0)[0], api.Forward
    )  # no key
    assert isinstance(node.request(1, 5)[0], api.SetTimer) and isinstance(node.request(0, 5)[0], api.SetTimer)
    (second,) = node.finish_attempt(first, AttemptResult.OK)
    assert isinstance(second, api.Forward) and second.request_id == first.request_id + 4
    (third,) = node.finish_attempt(second, AttemptResult.OK)
    assert isinstance(third, api.Forward) and third.request_id == second.request_id + 1
    assert node.finish_attempt(third, AttemptResult.OK) == []


def test_next_request_of_an_ordered_key_waits_after_an_attempt_that_may_still_run() -> None:
    node = node_with_ordered_key()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Forward)
    node.request(0, 5)
    (retry,) = node.finish_attempt(first, AttemptResult.RESET)
    # The retry is sent before the next request with the key.
    assert isinstance(retry, api.Forward) and retry.request_id == first.request_id
    assert all(isinstance(action, api.SetTimer) for action in node.finish_attempt(retry, AttemptResult.OK))
    assert not [action for action in node.wait(49 * MS_NS) if isinstance(action, api.Forward)]
    assert [action for action in node.wait(2 * MS_NS) if isinstance(action, api.Forward)]


def test_request_of_a_disconnected_client_blocks_its_key_until_its_attempt_ends() -> None:
    node = node_with_ordered_key()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Forward)
    node.handle(api.ClientDisconnected(first.request_id))
    assert isinstance(node.request(0, 5)[0], api.SetTimer)
    assert isinstance(node.finish_attempt(first, AttemptResult.OK)[0], api.Forward)


def test_queued_request_is_rejected_before_its_time_is_up() -> None:
    node = node_with_ordered_key()
    node.request(0, 5)
    queued_at_ns = node.now
    node.request(0, 5)
    while not any(isinstance(action, api.Reject) for action in node.wait(10 * MS_NS)):
        assert node.now < queued_at_ns + SECOND_NS
    assert node.now > queued_at_ns + SECOND_NS // 3


def test_request_that_would_wait_too_long_is_not_queued() -> None:
    """A popular key at a single node gets more requests than can be served one at a time."""
    node = Node(settings(classes=(ORDERED_CLASS,)))
    for _ in range(9):
        serve_window(node, 2, 300 * MS_NS)
    actions = [node.request(0, 5)[0] for _ in range(10)]
    assert sum(isinstance(action, api.Reject) for action in actions) >= 7
    assert isinstance(actions[-1], api.Reject) and isinstance(actions[1], api.SetTimer)


# Idle connections.


def lose_attempts_on_idle_connections(node: Node, result: AttemptResult, keys: range = range(1, 9)) -> None:
    """Send requests on connections that have been idle for three seconds, and end them with `result`."""
    for key in keys:
        node.serve(key)
        node.wait(3 * SECOND_NS)
        for status in node.balancer._endpoints.ready:
            node.balancer._outliers.reinstate(status)  # the first losses eject endpoints
        actions = node.request(2, key)
        forward = actions[-1]
        assert isinstance(forward, api.Forward)
        node.finish_attempt(forward, result, 300 * MS_NS)


@pytest.mark.parametrize("result", [AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_idle_connections_are_closed_before_use_after_losses(result: AttemptResult) -> None:
    """A request on a connection that the network has dropped is lost, and may have been executed."""
    node = Node()
    node.serve(1)
    node.wait(3 * SECOND_NS)
    assert [type(action) for action in node.request(2, 1)] == [api.Forward]
    node = Node(servers=60)
    lose_attempts_on_idle_connections(node, result, range(500, 504 if result is AttemptResult.RESET else 524))
    node.serve(524)
    node.wait(3 * SECOND_NS)
    close_idle, forward = node.request(2, 524)
    assert isinstance(close_idle, api.CloseIdleConnections) and isinstance(forward, api.Forward)
    assert close_idle.endpoint_id == forward.endpoint_id
    node.finish_attempt(forward, AttemptResult.OK)
    node.wait(100 * MS_NS)
    # The connection was not idle for long.
    assert [type(action) for action in node.request(2, 524)] == [api.Forward]


def test_timeouts_of_slow_endpoints_do_not_close_idle_connections() -> None:
    """With forty nodes almost all attempts use connections that have been idle for seconds."""
    node = Node()
    actions: list[api.Action] = []
    for key in range(81, 161):
        node.wait(500 * MS_NS)
        actions += node.request(2, key)
        forward = actions[-1]
        assert isinstance(forward, api.Forward)
        node.finish_attempt(forward, AttemptResult.TIMEOUT if key % 8 < 2 else AttemptResult.OK, 300 * MS_NS)
    assert not [action for action in actions if isinstance(action, api.CloseIdleConnections)]


def test_idle_connections_are_reused_again_some_time_after_losses() -> None:
    node = Node()
    lose_attempts_on_idle_connections(node, AttemptResult.RESET, range(1, 5))
    node.wait(60 * SECOND_NS)
    node.serve(5)
    node.wait(3 * SECOND_NS)
    assert [type(action) for action in node.request(2, 5)] == [api.Forward]


def test_bound_on_the_idle_time_does_not_overflow() -> None:
    """Guards against an overflow after 90 days, from an unbounded number of doublings."""
    node = Node()
    lose_attempts_on_idle_connections(node, AttemptResult.RESET, range(1, 5))
    node.serve(5)
    node.now += 90 * 24 * 3600 * SECOND_NS
    assert isinstance(node.request(2, 5)[-1], api.Forward)


def test_losses_on_new_connections_do_not_close_idle_ones() -> None:
    node = Node(servers=30)
    for key in range(100, 120):
        forward = node.request(2, key)[-1]
        assert isinstance(forward, api.Forward)
        node.finish_attempt(forward, AttemptResult.TIMEOUT, 300 * MS_NS)
    lose_attempts_on_idle_connections(node, AttemptResult.TIMEOUT, range(1, 3))
    node.serve(5)
    node.wait(3 * SECOND_NS)
    assert [type(action) for action in node.request(2, 5)] == [api.Forward]


def test_established_connections_are_used_while_new_ones_fail() -> None:
    """Guards against ejecting endpoints that still answer on established connections."""
    node = Node(servers=12)
    for key in range(1, 60):
        node.serve(key)
    established_ids = {node.serve(key) for key in range(1, 60)}
    # These attempts use the established connections and need new ones.
    forwards = [node.request(0, key)[0] for key in range(1, 60)]
    failing = [forward for forward in forwards[12:] if isinstance(forward, api.Forward)]
    for forward in failing[:10]:
        (retry,) = node.finish_attempt(forward, AttemptResult.CONNECT_FAILED)
        assert isinstance(retry, api.Forward)
        node.finish_attempt(retry, AttemptResult.OK)
    for forward in forwards[:12]:
        assert isinstance(forward, api.Forward)
        if len(node.sent[forward.request_id]) == 1:
            node.finish_attempt(forward, AttemptResult.OK)
    assert not [status for status in node.balancer._endpoints.ready if status.ejected_until_ns]
    (forward,) = node.request(0, 3)
    assert isinstance(forward, api.Forward) and forward.endpoint_id in established_ids
    connected_ids = {
        endpoint_id for endpoint_id, status in node.balancer._endpoints.by_id.items() if status.idle_since_ns
    }
    (retry,) = node.finish_attempt(forward, AttemptResult.CONNECT_FAILED)
    assert isinstance(retry, api.Forward) and retry.endpoint_id in connected_ids


# Hardware types, time limits of attempts, load reports and settings.


def node_with_two_hardware_types(weight: float = 1.0) -> Node:
    node = Node(settings(load_report_fields=("utilization",)), servers=0)
    weights = (1.0, weight)
    node.handle(
        snapshot(*(server(n)._replace(hardware_type=n % 2, weight=weights[n % 2]) for n in range(20)))
    )
    return node


def key_ratio_of_second_type(node: Node) -> float:
    endpoint_ids = [node.serve(key) for key in range(50_000, 50_400)]
    return sum(int.from_bytes(endpoint_id or b"", "big") % 2 for endpoint_id in endpoint_ids) / len(
        endpoint_ids
    )


def report_utilization(node: Node, utilizations: tuple[float, float]) -> None:
    for n in range(60):
        (forward,) = node.request(0, 100 + n)
        assert isinstance(forward, api.Forward)
        node.finish_attempt(
            forward,
            AttemptResult.OK,
            10 * MS_NS,
            (utilizations[int.from_bytes(forward.endpoint_id, "big") % 2],),
        )
        node.wait(50 * MS_NS)


def test_hardware_type_with_higher_utilization_gets_fewer_keys() -> None:
    """Guards against as many keys for a slow type as for the others if the list has equal weights."""
    node = node_with_two_hardware_types()
    assert 0.4 < key_ratio_of_second_type(node) < 0.6
    report_utilization(node, (0.3, 0.9))
    assert key_ratio_of_second_type(node) < 0.3


def test_hash_ratios_stay_equal_where_the_list_gives_weights() -> None:
    node = node_with_two_hardware_types(weight=2.0)
    ratio_before = key_ratio_of_second_type(node)
    report_utilization(node, (0.3, 0.6))
    assert abs(key_ratio_of_second_type(node) - ratio_before) < 0.05


def test_every_hardware_type_keeps_a_hash_ratio() -> None:
    node = node_with_two_hardware_types()
    report_utilization(node, (0.0, 0.0))
    assert 0.4 < key_ratio_of_second_type(node) < 0.6
    for n in range(100):
        forward = node.request(0, 900 + n)[0]
        if isinstance(forward, api.Forward):
            node.finish_attempt(forward, AttemptResult.TIMEOUT, 500 * MS_NS)
        node.wait(400 * MS_NS)
    assert all(
        hardware_type.hash_ratio > 0.0 for hardware_type in node.balancer._hardware_types.by_type.values()
    )


def test_no_retry_once_an_answer_has_no_value() -> None:
    """After a time-out at the objective, a late answer has no value and is not waited for."""
    node = Node()
    (forward,) = node.request(0, 1, remaining_ns=3 * SECOND_NS)
    assert isinstance(forward, api.Forward) and forward.timeout_ns == 500 * MS_NS
    node.now += 200 * MS_NS
    (retry,) = node.finish_attempt(forward, AttemptResult.CONNECT_FAILED, 200 * MS_NS)
    assert isinstance(retry, api.Forward) and retry.timeout_ns == 300 * MS_NS
    node.now += 300 * MS_NS
    assert isinstance(node.finish_attempt(retry, AttemptResult.TIMEOUT, 300 * MS_NS)[0], api.Reject)


def test_no_retry_without_time_left_and_no_ejection_for_an_early_timeout() -> None:
    """The time-out of a retry with a few milliseconds left is no evidence about the endpoint."""
    node = Node(servers=6)
    for _ in range(8):
        serve_window(node, 12, 100 * MS_NS)
    for key in range(1, 5):
        forward = node.request(0, key)[-1]
        assert isinstance(forward, api.Forward)
        node.now += 440 * MS_NS
        retry = node.finish_attempt(forward, AttemptResult.REJECTED, 440 * MS_NS)[-1]
        assert (
            isinstance(retry, api.Forward) and retry.timeout_ns == 60 * MS_NS
        )  # long enough for some answers
        node.now += 60 * MS_NS
        assert isinstance(node.finish_attempt(retry, AttemptResult.TIMEOUT, 60 * MS_NS)[0], api.Reject)
        forward = node.request(0, key)[-1]
        assert isinstance(forward, api.Forward)
        node.now += 460 * MS_NS
        # The remaining 40 ms are too short for a retry.
        assert isinstance(node.finish_attempt(forward, AttemptResult.REJECTED, 460 * MS_NS)[0], api.Reject)
    assert not any(
        status.ejected_until_ns or status.utilization for status in node.balancer._endpoints.by_id.values()
    )


@pytest.mark.parametrize("report", [(), (0.9,)])
def test_answer_without_a_report_keeps_the_utilization(report: tuple[float, ...]) -> None:
    node = Node(settings(load_report_fields=("utilization",)), servers=1)
    (forward,) = node.request(0, 1)
    assert isinstance(forward, api.Forward)
    node.finish_attempt(forward, AttemptResult.OK, report=(0.9,))
    (forward,) = node.request(0, 1)
    assert isinstance(forward, api.Forward)
    node.finish_attempt(forward, AttemptResult.OK, report=report)
    assert node.balancer._endpoints.by_id[forward.endpoint_id].utilization == 0.9


@pytest.mark.parametrize(
    ("field", "make"),
    [
        ("latency_objective_ns", lambda: api.RequestClass(0, 1.0, 0.0, api.Idempotency.IDEMPOTENT)),
        ("late_weight_ratio", lambda: api.RequestClass(1, 1.0, 1.5, api.Idempotency.IDEMPOTENT)),
        (
            "deduplication_window_ns",
            lambda: api.RequestClass(1, 1.0, 0.0, api.Idempotency.IDEMPOTENT, deduplication_window_ns=-1),
        ),
        ("quota_ratio", lambda: api.Tenant(1.5)),
        ("classes", lambda: settings(classes=())),
        ("slow_start_initial_ratio", lambda: settings(slow_start_initial_ratio=-0.1)),
        ("slow_start_duration_ns", lambda: settings(slow_start_duration_ns=-1)),
        ("overload_multiple", lambda: settings(overload_multiple=-1.0)),
        ("overload_window_ns", lambda: settings(overload_window_ns=-1)),
        ("node_count", lambda: settings(node_count=0)),
        ("key_cooldown_ns", lambda: settings(key_cooldown_ns=-1)),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_field(field: str, make: Callable[[], object]) -> None:
    with pytest.raises(ValueError, match=field):
        make()


def test_caps_are_lowered_while_most_attempts_are_lost() -> None:
    """Guards against queues that never empty, as overloaded endpoints need less than half of the load."""
    node = Node(settings(classes=(UNSAFE,)), servers=6)
    for _ in range(4):
        serve_window(node, 12, 50 * MS_NS)
    for _ in range(4):
        forwards = [node.request(0, key)[0] for key in range(1, 13)]
        node.wait(300 * MS_NS)
        for forward in forwards:
            if isinstance(forward, api.Forward):
                node.finish_attempt(forward, AttemptResult.TIMEOUT, 300 * MS_NS)
        node.wait(300 * MS_NS)
    assert max(node.balancer._admission.caps) < 1.0
