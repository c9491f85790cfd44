"""Unit tests of each mechanism of the policy, on events made by hand."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import pytest
from world import KEYED, MS, SAFE, SECOND, START, UNSAFE, Node, server, settings, whole

from moleport.policy import Balancer
from moleport.policy import interface as api
from moleport.policy.interface import AttemptResult
from moleport.policy.state import REPEAT_TRANSIT_NS


def window(node: Node, count: int, elapsed: int, class_index: int = 0) -> None:
    """Serve requests with one response time, in flight for 300 ms, up to the end of the window."""
    sends = [node.ask(class_index, key)[0] for key in range(1, count + 1)]
    node.wait(300 * MS)
    for send in sends:
        if isinstance(send, api.Forward):
            node.end(send, AttemptResult.OK, elapsed)
    node.wait(300 * MS)


def admitted(node: Node, count: int = 400, class_index: int = 0) -> int:
    """Return how many of the requests that arrive at once are admitted."""
    return sum(isinstance(node.ask(class_index, 10_000 + n)[0], api.Forward) for n in range(count))


def quieten(node: Node) -> None:
    """Send enough other requests that no key of the test is a hot key."""
    for key in 2 * list(range(100, 136)):
        node.serve(key)


def one_class(latency_objective_ns: int = SECOND, **changes: object) -> api.Settings:
    kind = api.RequestClass(latency_objective_ns, 1.0, 0.5, api.Idempotency.IDEMPOTENT)
    return settings(classes=(kind,), **changes)


# Discovery polling.


def asking(seed: int = 1, poll_interval_ns: int = 60 * SECOND) -> Node:
    """Return a node that has started with a cached list and polls for changes."""
    asked = settings(discovery_mode=api.DiscoveryMode.POLL, poll_interval_ns=poll_interval_ns)
    return Node(asked, seed=seed, kind=api.EndpointUpdateKind.CACHED)


def next_call(node: Node) -> int:
    """Return the time of the next call for the list, in ns."""
    while not any(isinstance(action, api.WatchEndpoints) for action in node.wait(10 * MS)):
        assert node.now < START + 1000 * SECOND
    return node.now


@pytest.mark.parametrize("hangs", [0, 300 * MS, 2 * SECOND, 2500 * MS])
def test_failed_call_backoff_and_next_call_fit_into_the_notification_limit(hangs: int) -> None:
    """A change that a failed call just missed has to be notified within 6 s.

    The next call may take 2.5 s of them, so the backoff has to leave that time.
    """
    pauses = set()
    for seed in range(20):
        node = asking(seed)
        begun = next_call(node)
        for _ in range(8):
            node.wait(hangs)
            node.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
            failed, begun_before = node.now, begun
            begun = next_call(node)
            assert begun - begun_before <= 3500 * MS
            pauses.add(begun - failed)
    assert min(pauses) >= 100 * MS and len(pauses) > 10  # none at once, and not alike on all nodes


def test_broken_watch_is_reopened_within_the_notification_limit() -> None:
    for seed in range(50):
        node = asking(seed)
        next_call(node)
        node.tell(whole(server(1)))
        node.wait(60 * SECOND)
        broken = node.now - 3 * SECOND  # it was silent for so long before it counted as broken
        node.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        assert next_call(node) - broken + 2500 * MS <= 6 * SECOND


def test_first_poll_leaves_time_for_its_answer() -> None:
    """A node polls within half of the interval after its start."""
    firsts = set()
    for seed in range(50):
        node = asking(seed)
        firsts.add(next_call(node) - START)
    assert max(firsts) <= 3500 * MS and max(firsts) - min(firsts) > SECOND  # spread over the fleet


# The breaker.


def test_new_node_admits_its_initial_cap_and_rejects_the_next_request() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node) == 76  # the cap of 60 and two roots of it, while the mean is below
    (refusal,) = node.ask(0, 1)
    assert isinstance(refusal, api.Reject)
    assert 0 < refusal.retry_after_ns <= 2 * SECOND


def test_retry_after_is_the_objective_only_where_late_answers_have_value() -> None:
    """Clients that return after the objective, when no answer has value, only add load."""
    for retry_after in (True, False):
        node = Node(settings(sends_retry_after=retry_after), servers=0)
        waits = [node.ask(class_index)[0].retry_after_ns for class_index in range(3)]  # type: ignore[union-attr]
        assert waits == ([2 * SECOND, KEYED.latency_objective_ns, 2 * SECOND] if retry_after else [0, 0, 0])


def test_response_times_above_the_target_lower_the_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(4):
        window(node, 30, 3 * SECOND)
    assert admitted(node) < 20


def test_quiet_window_does_not_lower_the_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(10):
        window(node, 1, 300 * MS)
    assert admitted(node) == 76


def test_windows_within_the_target_raise_the_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(6):
        window(node, 400, 100 * MS)
    assert admitted(node) > 60


def test_cap_keeps_half_of_the_proven_in_flight_when_all_endpoints_turn_slow() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(3):
        window(node, 60, 100 * MS)
    for _ in range(40):
        window(node, 60, 3 * SECOND)
    assert admitted(node) >= 5


def test_timeout_is_sampled_as_longer_than_it_lasted() -> None:
    node = Node(one_class(), servers=6)
    sends = [node.ask(0, key)[0] for key in range(30)]
    node.wait(300 * MS)
    for send in sends:
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.TIMEOUT, 580 * MS)  # under the target, but twice that is not
    node.wait(300 * MS)
    assert admitted(node) < 30


def test_higher_priority_class_is_not_crowded_out_by_a_higher_cap_of_a_lower_one() -> None:
    """The class with more work a request misses its objective first, and may have the higher priority."""
    light = api.RequestClass(2 * SECOND, 8.0, 0.0, api.Idempotency.IDEMPOTENT)
    heavy = api.RequestClass(SECOND, 10.0, 0.0, api.Idempotency.IDEMPOTENT)
    node = Node(settings(classes=(light, heavy), weight_by_work=True), servers=6)
    for _ in range(6):
        window(node, 30, 3 * SECOND, class_index=1)
    assert admitted(node, class_index=0) < 20


def test_timed_out_attempts_count_as_in_flight_for_their_duration_again() -> None:
    """Endpoints may go on with requests that have timed out."""
    node = Node(
        settings(classes=(api.RequestClass(SECOND, 1.0, 0.5, api.Idempotency.NOT_IDEMPOTENT),)), servers=6
    )
    sends = [node.ask(0, key)[0] for key in range(1, 77)]
    for send in {send.endpoint_id: send for send in sends if isinstance(send, api.Forward)}.values():
        node.end(send, AttemptResult.TIMEOUT, 100 * MS)
    assert isinstance(node.ask(0, 77)[0], api.Reject)
    node.now += 110 * MS
    assert isinstance(node.ask(0, 77)[0], api.Forward)


def test_class_at_its_cap_keeps_a_minimum_in_flight_for_samples() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE)), servers=20)
    while isinstance(node.ask(1, node.next_id)[0], api.Forward):
        pass
    assert isinstance(node.ask(0, 1)[0], api.Forward)


def test_higher_priority_class_is_admitted_after_the_lower_one_is_shed() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE), weight_by_work=True), servers=6)
    assert admitted(node, class_index=0) == 62
    assert isinstance(node.ask(1, 1)[0], api.Forward)


def test_timeouts_of_unreachable_endpoints_do_not_lower_the_cap() -> None:
    """When a zone is cut off, its attempts time out seconds later; that is no sign of load."""
    node = Node(one_class(), servers=12)
    silent = server(0).id
    waiting = []
    for key in range(1, 200):
        (send,) = node.ask(0, key)
        assert isinstance(send, api.Forward)
        if send.endpoint_id == silent:
            waiting.append(send)
        else:
            node.end(send, AttemptResult.OK)
        if len(waiting) == 8:
            break
    for send in waiting[:4]:
        node.end(send, AttemptResult.CONNECT_FAILED)
    node.wait(SECOND)
    for send in waiting[4:]:
        node.end(send, AttemptResult.TIMEOUT, 4 * SECOND)
    node.wait(SECOND)
    assert admitted(node) >= 55


def test_few_slow_endpoints_do_not_lower_the_cap() -> None:
    """The response times of some slow endpoints must not shed load that the others can carry."""
    node = Node(one_class(latency_objective_ns=200 * MS), servers=8)
    slow = sorted(node.balancer._endpoints.by_id)[:3]
    for turn in range(30):
        sends = [send for key in range(30) for send in node.ask(0, 1 + 30 * turn + key)]
        for among_slow, elapsed in ((False, 15 * MS), (True, 15 * MS if turn < 6 else 190 * MS)):
            node.wait(elapsed)
            for send in sends:
                if isinstance(send, api.Forward) and (send.endpoint_id in slow) is among_slow:
                    node.end(send, AttemptResult.OK, elapsed)
        node.wait(300 * MS)
    assert not any(status.ejected_until_ns for status in node.balancer._endpoints.ready)
    assert admitted(node) >= 30


def test_all_endpoints_turning_slow_lower_the_cap() -> None:
    """An endpoint is slow only in comparison with the typical response time of all."""
    node = Node(one_class(latency_objective_ns=200 * MS), servers=8)
    for elapsed in [15 * MS] * 4 + [500 * MS] * 12:
        window(node, 30, elapsed)
    assert admitted(node) < 30


def test_response_time_of_zero_is_accepted() -> None:
    node = Node()
    node.serve(1, elapsed=0)
    node.wait(SECOND)
    assert node.serve(1, elapsed=0) is not None


def test_burst_above_the_cap_is_admitted_while_the_mean_is_below_it() -> None:
    """With hundreds of nodes a cap is near one, and chance puts two or three requests together."""
    node = Node(one_class(node_count=120), servers=12)  # a cap of one
    sends = [node.ask(0, key)[0] for key in range(1, 5)]
    assert [isinstance(send, api.Forward) for send in sends] == [True, True, True, False]
    node.wait(2 * SECOND)
    for send in sends[:2]:
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.OK)
    assert isinstance(node.ask(0, 9)[0], api.Reject)  # two were out on average


def test_cap_below_one_is_kept() -> None:
    """A minimum of one request for each class and node would exceed what few endpoints can carry."""
    node = Node(one_class(node_count=600), servers=12)
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Forward)
    node.now += 400 * MS
    node.end(send, AttemptResult.OK, 400 * MS)
    assert isinstance(node.ask(0, 2)[0], api.Reject)  # more than a tenth was out on average
    node.now += 3 * SECOND
    assert isinstance(node.ask(0, 3)[0], api.Forward)


@pytest.mark.parametrize(("report", "least", "most"), [(0.3, 30, 400), (1.0, 1, 29)])
def test_idle_fleet_keeps_the_cap_unless_the_objective_is_missed(
    report: float, least: int, most: int
) -> None:
    """A class's own long requests may exceed the target without any load."""
    node = Node(one_class(load_report_fields=("utilization",)), servers=6)
    window(node, 10, 200 * MS)
    for _ in range(6):
        sends = [node.ask(0, key)[0] for key in range(1, 31)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Forward):
                node.end(send, AttemptResult.OK, 900 * MS, (report,))
        node.wait(300 * MS)
    assert least <= admitted(node) <= most


def test_client_retries_are_shed_at_half_of_the_cap() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node, 41) == 41  # half of 60, and two roots of that
    retry = api.Request(9999, SECOND, 0, 0, 7, True)
    assert isinstance(node.tell(retry)[0], api.Reject)
    assert isinstance(node.ask(0, 7)[0], api.Forward)


def test_tenant_over_quota_is_shed_before_the_others() -> None:
    node = Node(one_class(tenants=(api.Tenant(0.5), api.Tenant(0.5))), servers=6)
    surge = [node.tell(api.Request(5000 + n, SECOND, 0, 0, 100 + n, False))[0] for n in range(60)]
    assert sum(isinstance(action, api.Forward) for action in surge) == 41
    assert isinstance(node.tell(api.Request(6000, SECOND, 0, 1, 3, False))[0], api.Forward)


def test_rejections_make_a_key_prefer_its_other_endpoint() -> None:
    """Few requests in flight may mean an idle endpoint or one that rejects at once."""
    node = Node()
    quieten(node)
    home = node.serve(42)
    (send,) = node.ask(0, 42)
    assert isinstance(send, api.Forward)
    (again,) = node.end(send, AttemptResult.REJECTED)
    assert isinstance(again, api.Forward)
    node.end(again, AttemptResult.OK)
    assert node.serve(42) == again.endpoint_id != home
    node.wait(60 * SECOND)  # the news is old
    assert node.serve(42) == home


# The choice.


def test_endpoints_that_reject_one_class_still_get_the_others() -> None:
    """Fast rejections look like low load, attract the class, and would close its breaker."""
    node = Node(servers=6)
    closed = {server(number).id for number in range(3)}
    for status in node.balancer._endpoints.by_id.values():
        status.in_flight += 8 * (status.endpoint.id not in closed)
    full = Counter[int]()
    for turn in range(40):
        for key in range(1, 7):
            sends = [one for one in node.ask(0, key) if isinstance(one, api.Forward)]
            while sends and sends[0].endpoint_id in closed:
                full[turn] += 1
                sends = [
                    one for one in node.end(sends[0], AttemptResult.REJECTED) if isinstance(one, api.Forward)
                ]
            if sends:
                node.end(sends[0], AttemptResult.OK)
        node.now += 10 * MS
    assert full
    assert not any(full[turn] for turn in range(30, 40))
    assert {node.serve(key, class_index=1) for key in range(1, 40)} >= closed  # good for another class


def test_key_stays_with_its_first_endpoint_while_loads_are_equal() -> None:
    node = Node()
    assert len({node.serve(42) for _ in range(20)}) == 1


def test_less_loaded_of_two_endpoints_is_selected() -> None:
    node = Node()
    first, second = node.ask(0, 42)[0], node.ask(0, 42)[0]
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
        node.wait(SECOND)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_hot_key_is_detected_by_a_node_with_little_traffic() -> None:
    """With hundreds of nodes, each sees a popular key once a second at most."""
    node = Node(servers=60)
    for n in range(90):
        node.serve(42 if n % 6 == 0 else 1000 + n)
        node.wait(200 * MS)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_keys_counted_without_endpoints_cause_no_error_later() -> None:
    """A fan-out of 0 endpoints must not be drawn from."""
    node = Node(servers=0)
    for _ in range(3):
        node.ask(0, 42)
    node.wait(SECOND)
    node.tell(whole(server(1), server(2)))
    assert node.serve(42) is not None


def test_requests_without_a_key_go_to_random_endpoints() -> None:
    node = Node(servers=6)
    assert len({node.serve(0) for _ in range(60)}) == 6


def test_change_of_the_list_moves_few_keys() -> None:
    node = Node(servers=20)
    before = {key: node.serve(key) for key in range(1, 501)}
    node.tell(whole(*(server(number) for number in range(19))))
    moved = [key for key in before if node.serve(key) != before[key]]
    lost = [key for key in before if before[key] == server(19).id]
    assert set(lost) <= set(moved)
    assert len(moved) < len(lost) + 100


# Servers.


def test_failing_endpoint_is_ejected_and_gets_one_trial() -> None:
    node = Node()
    quieten(node)
    home = node.serve(42)
    for _ in range(2):
        (send,) = node.ask(0, 42)
        assert isinstance(send, api.Forward) and send.endpoint_id == home
        node.end(send, AttemptResult.ERROR)
    assert node.serve(42) != home
    node.wait(3 * SECOND)
    (trial,) = node.ask(0, 42)
    assert isinstance(trial, api.Forward) and trial.endpoint_id == home
    assert node.serve(42) != home  # one at a time
    node.end(trial, AttemptResult.OK)
    assert node.serve(42) == home


def test_rarely_used_endpoint_is_ejected_by_one_failure_and_for_longer() -> None:
    """Each of hundreds of nodes meets a failing endpoint once in ten seconds."""
    node = Node(servers=12)
    quieten(node)
    home = node.serve(42)
    node.wait(10 * SECOND)
    node.end(node.ask(2, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(3900 * MS)
    assert node.serve(42) != home  # two seconds at most it had been
    node.wait(5 * SECOND)
    assert node.serve(42) == home


def test_new_endpoint_does_not_count_as_silent() -> None:
    """An endpoint that has not answered yet is not ejected by its first failure, nor for longer."""
    node = Node(servers=12)
    node.wait(100 * MS)
    first = node.ask(0, 42)[0]
    assert isinstance(first, api.Forward)
    node.end(first, AttemptResult.ERROR)
    status = node.balancer._endpoints.by_id[first.endpoint_id]
    assert not status.ejected_until_ns
    node.balancer._record_result(node.now, status, AttemptResult.ERROR, 0)
    assert status.ejected_until_ns
    assert status.ejected_until_ns - node.now <= 2 * SECOND


def test_resets_do_not_eject_an_endpoint_that_answers_others() -> None:
    """A network that breaks some connections is no fault of the endpoints."""
    node = Node(servers=12)
    quieten(node)
    home = node.serve(42)
    status = node.balancer._endpoints.by_id[home or b""]
    for result in (
        AttemptResult.RESET,
        AttemptResult.RESET,
        AttemptResult.OK,
        AttemptResult.RESET,
        AttemptResult.RESET,
    ):
        node.balancer._record_result(node.now, status, result, 0)
    assert not status.ejected_until_ns
    node.now += SECOND  # one that answers nobody may be down
    for _ in range(2):
        node.balancer._record_result(node.now, status, AttemptResult.RESET, 0)
    assert status.ejected_until_ns


def test_trial_ends_when_its_connection_fails() -> None:
    """A trial without a conclusive outcome must not keep the endpoint ejected for good."""
    node = Node()
    quieten(node)
    home = node.serve(42)
    status = node.balancer._endpoints.by_id[home or b""]
    for _ in range(2):
        node.end(node.ask(2, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(3 * SECOND)
    (trial,) = node.ask(2, 42)
    assert isinstance(trial, api.Forward) and trial.endpoint_id == home and status.is_on_trial
    status.succeeded_at_ns = node.now  # by another attempt
    node.end(trial, AttemptResult.CONNECT_FAILED)
    assert node.serve(42) == home


def test_endpoint_that_times_out_on_some_requests_is_not_ejected() -> None:
    """Under load many endpoints time out now and then; ejecting them overloads the others."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    quieten(node)
    home = node.serve(44)  # a key that comes back to it after its first time-outs
    status = node.balancer._endpoints.by_id[home or b""]
    for _ in range(20):
        for result in (AttemptResult.TIMEOUT, AttemptResult.TIMEOUT, AttemptResult.OK):
            (send,) = [one for one in node.ask(0, 44) if isinstance(one, api.Forward)]
            if send.endpoint_id == home:
                node.now += 100 * MS
                node.end(send, result, 400 * MS)
            else:
                node.end(send, AttemptResult.OK, 100 * MS)
    assert not status.ejected_until_ns and status.failure_rate > 0.2
    node.now += SECOND  # silence is another matter
    for _ in range(3):
        node.tell(api.Request(node.next_id, SECOND, 0, 0, 42, False))
        node.balancer._record_result(node.now, status, AttemptResult.TIMEOUT, 0)
    assert status.ejected_until_ns


def test_failed_trial_ejects_for_longer() -> None:
    node = Node()
    quieten(node)
    home = node.serve(42)
    for _ in range(2):
        node.end(node.ask(0, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(2 * SECOND)
    node.end(node.ask(0, 42)[0], AttemptResult.ERROR)  # type: ignore[arg-type]
    node.wait(1900 * MS)
    assert node.serve(42) != home


def test_at_most_a_part_of_the_endpoints_is_ejected() -> None:
    node = Node(servers=9)
    for key in range(1, 300):
        (send,) = node.ask(2, key)
        if isinstance(send, api.Forward):
            node.end(send, AttemptResult.ERROR)
    assert len({node.serve(key) for key in range(1, 200)}) >= 6


def test_endpoint_that_fails_more_replaces_an_ejected_one() -> None:
    """Endpoints with few time-outs must not fill the limit of ejections while another one fails always."""
    node = Node(servers=8)
    mild, milder, bad = [
        node.balancer._endpoints.by_id[name] for name in sorted(node.balancer._endpoints.by_id)
    ][:3]
    for status in (milder, mild):
        status.succeeded_at_ns = node.now
        while not status.ejected_until_ns:
            node.balancer._record_result(node.now, status, AttemptResult.TIMEOUT, 0)
    mild.failure_rate += 0.1
    for _ in range(3):
        node.balancer._record_result(node.now, bad, AttemptResult.ERROR, 0)
        assert not bad.ejected_until_ns  # its failure rate is no higher than theirs
    for _ in range(3):
        node.balancer._record_result(node.now, bad, AttemptResult.ERROR, 0)
    assert bad.ejected_until_ns and mild.ejected_until_ns
    assert not milder.ejected_until_ns


def test_keys_go_to_the_own_zone_while_its_endpoints_are_idle() -> None:
    """With forty nodes most load scores are equal, so the order of preference decides."""
    node = Node(settings(zone=1), servers=12)
    got = Counter(node.serve(key) for key in range(1, 301))
    assert sum(got[server(number).id] for number in range(1, 12, 3)) > 270
    held = [node.ask(0, key)[-1] for key in range(1, 61)]
    busy = {send.endpoint_id for send in held if isinstance(send, api.Forward)}
    assert len(busy) > 8  # those that have some leave the rest to the other candidate, of any zone


def test_small_own_zone_gets_no_more_than_its_ratio() -> None:
    node = Node(settings(zone=1), servers=0)
    node.tell(whole(server(1), *(server(number) for number in range(30) if number % 3 != 1)))
    got = Counter(node.serve(key) for key in range(1, 1001))
    assert got[server(1).id] < 200


def test_slow_start_limits_the_requests_to_an_endpoint() -> None:
    node = Node()
    for key in range(1, 300):
        node.serve(key)
    node.wait(SECOND)
    cold = server(3, started=node.now)
    node.tell(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (cold,)))
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] <= 2
    node.wait(25 * SECOND)
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] > 20


def test_slow_start_budget_does_not_fall_while_load_is_shed() -> None:
    """Shed load lowers the requests of warm endpoints, but not their capacity."""
    node = Node()
    for _ in range(10):
        for key in range(1, 61):
            node.serve(key)
        node.wait(SECOND // 2)
    for key in range(1, 9):
        node.serve(key)
        node.wait(SECOND // 2)
    cold = server(9, started=node.now)
    node.tell(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (cold,)))
    node.wait(SECOND)
    assert Counter(node.serve(key) for key in range(1, 301))[cold.id] == 2


def test_with_most_endpoints_in_slow_start_the_load_is_spread() -> None:
    node = Node(servers=8)
    cold = [server(number, started=node.now) for number in range(8, 60)]
    node.tell(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, tuple(cold)))
    got = Counter(node.serve(key) for key in range(1, 80_001, 100))  # neighbours would share draws
    assert max(got.values()) < 250


def test_draining_and_unlisted_endpoints_get_no_requests() -> None:
    node = Node(servers=4)
    node.tell(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, (server(1, api.EndpointState.DRAINING),)))
    assert server(1).id not in {node.serve(key) for key in range(1, 100)}
    node.tell(whole(server(0), server(2)))
    assert {node.serve(key) for key in range(1, 100)} == {server(0).id, server(2).id}


def test_empty_list_rejects_until_endpoints_return() -> None:
    node = Node(servers=0)
    assert isinstance(node.ask(2, 1)[0], api.Reject)
    node.tell(whole(server(1)))
    assert node.serve(1) == server(1).id


def test_weight_of_zero_counts_as_one() -> None:
    node = Node(servers=0)
    node.tell(whole(server(0)._replace(weight=0.0), server(1)._replace(weight=0.0)))
    assert len({node.serve(key) for key in range(1, 50)}) == 2


def test_heavier_endpoint_gets_more_keys() -> None:
    node = Node(servers=0)
    node.tell(whole(server(0)._replace(weight=3.0), server(1), server(2)))
    got = Counter(node.serve(key) for key in range(1, 1001))
    assert 500 < got[server(0).id] < 700


# Further attempts.


def test_maybe_executed_non_idempotent_request_fails_without_retry() -> None:
    node = Node()
    (send,) = node.ask(2, 1)
    assert isinstance(send, api.Forward)
    assert node.end(send, AttemptResult.ERROR) == [api.Fail(send.request_id)]


def test_non_idempotent_request_is_retried_after_a_failed_connection() -> None:
    node = Node()
    (send,) = node.ask(2, 1)
    assert isinstance(send, api.Forward)
    (again,) = node.end(send, AttemptResult.CONNECT_FAILED)
    assert isinstance(again, api.Forward) and again.endpoint_id != send.endpoint_id


def test_keyed_request_is_retried_only_in_its_cell_and_window() -> None:
    node = Node(settings(classes=(KEYED,)), servers=6)
    (send,) = node.ask(0, 5)
    assert isinstance(send, api.Forward)
    (again,) = node.end(send, AttemptResult.RESET)
    assert isinstance(again, api.Forward)
    assert int.from_bytes(again.endpoint_id, "big") // 3 == int.from_bytes(send.endpoint_id, "big") // 3
    (late,) = node.ask(0, 5)
    assert isinstance(late, api.Forward)
    node.wait(800 * MS)
    assert node.end(late, AttemptResult.RESET) == [api.Fail(late.request_id)]


def test_keyed_retry_carries_a_write_deadline() -> None:
    """A retry that waits for its connection may reach the endpoint after the deduplication window.

    The window begins with the first attempt that may have been executed.
    """
    kind = api.RequestClass(
        SECOND, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ALL, 300 * MS
    )
    node = Node(settings(classes=(kind, UNSAFE)), servers=12)
    decided = node.now
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Forward) and first.write_deadline_ns == 0  # nothing can have run before it
    node.wait(50 * MS)
    (again,) = node.end(first, AttemptResult.CONNECT_FAILED)
    assert isinstance(again, api.Forward) and again.write_deadline_ns == 0
    begun = node.now
    for _ in range(2):
        node.wait(100 * MS)
        again = node.end(again, AttemptResult.RESET)[-1]
        assert isinstance(again, api.Forward)
        assert node.now < again.write_deadline_ns == begun + kind.deduplication_window_ns - REPEAT_TRANSIT_NS
    assert decided < begun
    (unsafe,) = node.ask(1, 5)
    assert isinstance(unsafe, api.Forward) and unsafe.write_deadline_ns == 0


@pytest.mark.parametrize(("left", "sent"), [(REPEAT_TRANSIT_NS + 1, True), (REPEAT_TRANSIT_NS, False)])
def test_no_keyed_retry_is_sent_that_may_arrive_after_its_window(left: int, sent: bool) -> None:
    kind = api.RequestClass(
        SECOND, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ALL, 300 * MS
    )
    node = Node(settings(classes=(kind,)), servers=6)
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Forward)
    node.wait(kind.deduplication_window_ns - left)
    action = node.end(first, AttemptResult.RESET)[-1]
    assert isinstance(action, api.Forward if sent else api.Reject)


def test_keyed_request_without_a_key_is_not_retried() -> None:
    node = Node(settings(classes=(KEYED,)))
    (send,) = node.ask(0, 0)
    assert isinstance(send, api.Forward)
    assert node.end(send, AttemptResult.RESET) == [api.Fail(send.request_id)]


def test_retries_are_bounded_by_a_budget() -> None:
    node = Node(servers=30)
    again = 0
    for key in range(1, 201):
        (send,) = node.ask(0, key)
        if isinstance(send, api.Forward):
            again += isinstance(node.end(send, AttemptResult.ERROR)[0], api.Forward)
        node.wait(50 * MS)
    assert 10 <= again <= 31


def test_events_of_closed_requests_are_ignored() -> None:
    node = Node()
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Forward)
    node.tell(api.ClientDisconnected(send.request_id))
    assert node.end(send, AttemptResult.TIMEOUT) == []
    assert node.end(send, AttemptResult.OK) == []
    assert node.tell(api.ClientDisconnected(send.request_id)) == []
    assert node.tell(api.TimerFired(4711)) == []


# The list.


def test_failed_watch_is_reopened_with_bounded_backoff() -> None:
    """The bound is what the notification limit leaves, if that is less than the poll interval."""
    node = asking(poll_interval_ns=10 * SECOND)
    next_call(node)
    pauses = []
    for _ in range(20):
        node.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        before = node.now
        pauses.append(next_call(node) - before)
    assert pauses[0] <= SECOND + 10 * MS
    assert 1500 * MS < max(pauses) <= 1625 * MS + 10 * MS
    assert min(pauses[1:]) > 800 * MS
    node = asking(poll_interval_ns=500 * MS)
    next_call(node)
    for _ in range(20):
        node.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        before = node.now
        assert next_call(node) - before <= 500 * MS + 10 * MS


def test_two_backoffs_fit_into_the_notification_limit() -> None:
    """A watch may end without bringing a list, also right after discovery has recovered."""
    for seed in range(20):
        node = asking(seed)
        for _ in range(12):
            next_call(node)
            node.tell(api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
        returned = node.now
        next_call(node)
        node.tell(
            api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ())
        )  # it had 200 for an answer, and ended
        assert next_call(node) - returned + 2500 * MS <= 6 * SECOND


def test_node_restarted_with_an_empty_list_polls_within_a_second() -> None:
    balancer = Balancer(settings(discovery_mode=api.DiscoveryMode.POLL), 3)
    (timer,) = balancer.handle(START, api.EndpointUpdate(api.EndpointUpdateKind.CACHED, ()))
    assert isinstance(timer, api.SetTimer)
    assert timer.at_ns - START <= SECOND


def test_watch_is_opened_once_until_it_fails() -> None:
    balancer = Balancer(settings(discovery_mode=api.DiscoveryMode.POLL), 3)
    assert balancer.handle(1, api.TimerFired(2)) == [api.WatchEndpoints()]
    assert balancer.handle(2, api.TimerFired(2)) == []
    balancer.handle(3, api.EndpointUpdate(api.EndpointUpdateKind.FAILED, ()))
    assert balancer.handle(4, api.TimerFired(2)) == [api.WatchEndpoints()]


def test_retries_within_a_zone_are_spread_over_its_endpoints() -> None:
    kind = api.RequestClass(
        SECOND, 1.0, 0.0, api.Idempotency.IDEMPOTENCY_KEY, api.DeduplicationScope.ZONE, 5 * SECOND
    )
    node = Node(settings(classes=(kind,)), servers=30)
    again = set()
    for key in range(1, 60):
        (send,) = node.ask(0, key)
        if isinstance(send, api.Forward):
            (action,) = node.end(send, AttemptResult.RESET)
            if isinstance(action, api.Forward):
                again.add(action.endpoint_id)
                node.end(action, AttemptResult.OK)
        node.wait(50 * MS)
    assert len(again) > 5


def test_removed_endpoints_are_forgotten() -> None:
    balancer = Balancer(settings(), 3)
    for n in range(50):
        balancer.handle(n, whole(server(n), server(n + 1)))
    assert len(balancer._endpoints.by_id) == 2


def test_nodes_that_start_together_poll_at_different_times() -> None:
    first = []
    for seed in range(10):
        node = Node(settings(discovery_mode=api.DiscoveryMode.POLL), seed=seed)
        first.append(min(timer.at_ns for timer in node.timers if timer.timer_id == 2))
    assert len(set(first)) == 10
    assert max(first) - min(first) > SECOND


# Order.

ORDERED = api.RequestClass(SECOND, 1.0, 0.0, api.Idempotency.IDEMPOTENT, ordered_by_key=True)


def ordered(servers: int = 6) -> Node:
    node = Node(settings(classes=(ORDERED, ORDERED), key_cooldown_ns=50 * MS), servers)
    for _ in range(9):  # windows that tell how long such requests take
        window(node, 2, 10 * MS)
        window(node, 2, 10 * MS, class_index=1)
    return node


def test_requests_of_an_ordered_key_are_sent_one_at_a_time_in_order() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Forward)
    assert isinstance(node.ask(0, 6)[0], api.Forward)  # another key
    assert isinstance(node.ask(0, 0)[0], api.Forward) and isinstance(node.ask(0, 0)[0], api.Forward)  # no key
    assert isinstance(node.ask(1, 5)[0], api.SetTimer) and isinstance(node.ask(0, 5)[0], api.SetTimer)
    (second,) = node.end(first, AttemptResult.OK)
    assert isinstance(second, api.Forward) and second.request_id == first.request_id + 4
    (third,) = node.end(second, AttemptResult.OK)
    assert isinstance(third, api.Forward) and third.request_id == second.request_id + 1
    assert node.end(third, AttemptResult.OK) == []


def test_ordered_key_cools_down_after_an_attempt_that_may_still_run() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Forward)
    node.ask(0, 5)
    (again,) = node.end(first, AttemptResult.RESET)
    assert isinstance(again, api.Forward) and again.request_id == first.request_id  # it keeps its turn
    assert all(isinstance(action, api.SetTimer) for action in node.end(again, AttemptResult.OK))
    assert not [action for action in node.wait(49 * MS) if isinstance(action, api.Forward)]
    assert [action for action in node.wait(2 * MS) if isinstance(action, api.Forward)]


def test_request_of_a_disconnected_client_blocks_its_key_until_its_attempt_ends() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Forward)
    node.tell(api.ClientDisconnected(first.request_id))
    assert isinstance(node.ask(0, 5)[0], api.SetTimer)
    assert isinstance(node.end(first, AttemptResult.OK)[0], api.Forward)


def test_queued_request_is_rejected_before_its_time_is_up() -> None:
    node = ordered()
    node.ask(0, 5)
    asked = node.now
    node.ask(0, 5)
    while not any(isinstance(action, api.Reject) for action in node.wait(10 * MS)):
        assert node.now < asked + SECOND
    assert node.now > asked + SECOND // 3


def test_request_that_would_wait_too_long_is_not_queued() -> None:
    """A popular key at a single node gets more requests than one at a time can serve."""
    node = Node(settings(classes=(ORDERED,)))
    for _ in range(9):
        window(node, 2, 300 * MS)
    got = [node.ask(0, 5)[0] for _ in range(10)]
    assert sum(isinstance(action, api.Reject) for action in got) >= 7
    assert isinstance(got[-1], api.Reject) and isinstance(got[1], api.SetTimer)


# Connections.


def lose_idle(node: Node, result: AttemptResult, keys: range = range(1, 9)) -> None:
    """Requests that go out on connections which had been idle for three seconds, and are not answered."""
    for key in keys:
        node.serve(key)
        node.wait(3 * SECOND)
        for status in node.balancer._endpoints.ready:
            node.balancer._outliers.reinstate(status)  # the first losses, not yet understood, eject some
        actions = node.ask(2, key)
        send = actions[-1]
        assert isinstance(send, api.Forward)
        node.end(send, result, 300 * MS)


@pytest.mark.parametrize("result", [AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_idle_connections_are_closed_before_use_after_losses(result: AttemptResult) -> None:
    """What is sent on a connection that the network has dropped is lost, and may have been executed."""
    node = Node()
    node.serve(1)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 1)] == [api.Forward]
    node = Node(servers=60)
    lose_idle(node, result, range(500, 504 if result is AttemptResult.RESET else 524))
    node.serve(524)
    node.wait(3 * SECOND)
    hang_up, send = node.ask(2, 524)
    assert isinstance(hang_up, api.CloseIdleConnections) and isinstance(send, api.Forward)
    assert hang_up.endpoint_id == send.endpoint_id
    node.end(send, AttemptResult.OK)
    node.wait(100 * MS)
    assert [type(action) for action in node.ask(2, 524)] == [api.Forward]  # it did not idle for long


def test_timeouts_of_slow_endpoints_do_not_distrust_idle_connections() -> None:
    """With forty nodes nearly all attempts use connections that have been idle for seconds."""
    node = Node()
    actions: list[api.Action] = []
    for key in range(81, 161):
        node.wait(500 * MS)
        actions += node.ask(2, key)
        send = actions[-1]
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.TIMEOUT if key % 8 < 2 else AttemptResult.OK, 300 * MS)
    assert not [action for action in actions if isinstance(action, api.CloseIdleConnections)]


def test_trust_in_idle_connections_recovers() -> None:
    node = Node()
    lose_idle(node, AttemptResult.RESET, range(1, 5))
    node.wait(60 * SECOND)
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 5)] == [api.Forward]


def test_trust_in_idle_connections_recovers_without_overflow() -> None:
    """The doublings of the trusted idle time are bounded."""
    node = Node()
    lose_idle(node, AttemptResult.RESET, range(1, 5))
    node.serve(5)
    node.now += 90 * 24 * 3600 * SECOND
    assert isinstance(node.ask(2, 5)[-1], api.Forward)


def test_losses_on_new_connections_do_not_distrust_idle_ones() -> None:
    node = Node(servers=30)
    for key in range(100, 120):
        send = node.ask(2, key)[-1]
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.TIMEOUT, 300 * MS)
    lose_idle(node, AttemptResult.TIMEOUT, range(1, 3))
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 5)] == [api.Forward]


def test_established_connections_are_used_while_new_ones_fail() -> None:
    """Endpoints that answer on established connections are not down."""
    node = Node(servers=12)
    for key in range(1, 60):
        node.serve(key)
    standing = {node.serve(key) for key in range(1, 60)}
    held = [node.ask(0, key)[0] for key in range(1, 60)]  # takes the standing connections and needs more
    fails = [send for send in held[12:] if isinstance(send, api.Forward)]
    for send in fails[:10]:
        (again,) = node.end(send, AttemptResult.CONNECT_FAILED)
        assert isinstance(again, api.Forward)
        node.end(again, AttemptResult.OK)
    for send in held[:12]:
        assert isinstance(send, api.Forward)
        if len(node.sent[send.request_id]) == 1:
            node.end(send, AttemptResult.OK)
    assert not [one for one in node.balancer._endpoints.ready if one.ejected_until_ns]
    (send,) = node.ask(0, 3)
    assert isinstance(send, api.Forward) and send.endpoint_id in standing
    connected = {name for name, one in node.balancer._endpoints.by_id.items() if one.idle_since_ns}
    (again,) = node.end(send, AttemptResult.CONNECT_FAILED)
    assert isinstance(again, api.Forward) and again.endpoint_id in connected


# Kinds of machine.


def machines(weight: float = 1.0) -> Node:
    node = Node(settings(load_report_fields=("utilization",)), servers=0)
    weights = (1.0, weight)
    node.tell(whole(*(server(n)._replace(hardware_type=n % 2, weight=weights[n % 2]) for n in range(20))))
    return node


def part_of_second_kind(node: Node) -> float:
    got = [node.serve(key) for key in range(50_000, 50_400)]
    return sum(int.from_bytes(name or b"", "big") % 2 for name in got) / len(got)


def report(node: Node, busy: tuple[float, float]) -> None:
    for n in range(60):
        (send,) = node.ask(0, 100 + n)
        assert isinstance(send, api.Forward)
        node.end(send, AttemptResult.OK, 10 * MS, (busy[int.from_bytes(send.endpoint_id, "big") % 2],))
        node.wait(50 * MS)


def test_hardware_type_with_higher_utilization_gets_fewer_keys() -> None:
    """Where the list gives no weights, the slowest type must not get as many keys as the others."""
    node = machines()
    assert 0.4 < part_of_second_kind(node) < 0.6
    report(node, (0.3, 0.9))
    assert part_of_second_kind(node) < 0.3


def test_hash_ratios_stay_equal_where_the_list_gives_weights() -> None:
    node = machines(weight=2.0)
    before = part_of_second_kind(node)
    report(node, (0.3, 0.6))
    assert abs(part_of_second_kind(node) - before) < 0.05


def test_every_hardware_type_keeps_a_hash_ratio() -> None:
    node = machines()
    report(node, (0.0, 0.0))
    assert 0.4 < part_of_second_kind(node) < 0.6
    for n in range(100):
        send = node.ask(0, 900 + n)[0]
        if isinstance(send, api.Forward):
            node.end(send, AttemptResult.TIMEOUT, 500 * MS)
        node.wait(400 * MS)
    assert all(kind.hash_ratio > 0.0 for kind in node.balancer._hardware_types.by_type.values())


def test_no_retry_once_an_answer_has_no_value() -> None:
    """After a time-out at the objective nobody waits for an answer."""
    node = Node()
    (send,) = node.ask(0, 1, remaining_ns=3 * SECOND)
    assert isinstance(send, api.Forward) and send.timeout_ns == 500 * MS
    node.now += 200 * MS
    (again,) = node.end(send, AttemptResult.CONNECT_FAILED, 200 * MS)
    assert isinstance(again, api.Forward) and again.timeout_ns == 300 * MS
    node.now += 300 * MS
    assert isinstance(node.end(again, AttemptResult.TIMEOUT, 300 * MS)[0], api.Reject)


def test_no_retry_without_time_left_and_no_ejection_for_an_early_timeout() -> None:
    """Time-outs of a few milliseconds, all that a retry has left, say nothing of the endpoint."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    for key in range(1, 5):
        send = node.ask(0, key)[-1]
        assert isinstance(send, api.Forward)
        node.now += 440 * MS
        again = node.end(send, AttemptResult.REJECTED, 440 * MS)[-1]
        assert isinstance(again, api.Forward) and again.timeout_ns == 60 * MS  # enough for some answers
        node.now += 60 * MS
        assert isinstance(node.end(again, AttemptResult.TIMEOUT, 60 * MS)[0], api.Reject)
        send = node.ask(0, key)[-1]
        assert isinstance(send, api.Forward)
        node.now += 460 * MS
        assert isinstance(
            node.end(send, AttemptResult.REJECTED, 460 * MS)[0], api.Reject
        )  # 40 ms: too little
    assert not any(one.ejected_until_ns or one.utilization for one in node.balancer._endpoints.by_id.values())


@pytest.mark.parametrize("report", [(), (0.9,)])
def test_answer_without_a_report_keeps_the_utilization(report: tuple[float, ...]) -> None:
    node = Node(settings(load_report_fields=("utilization",)), servers=1)
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Forward)
    node.end(send, AttemptResult.OK, report=(0.9,))
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Forward)
    node.end(send, AttemptResult.OK, report=report)
    assert node.balancer._endpoints.by_id[send.endpoint_id].utilization == 0.9


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
    """Overloaded endpoints need less than half of the load to empty their queues."""
    node = Node(settings(classes=(UNSAFE,)), servers=6)
    for _ in range(4):
        window(node, 12, 50 * MS)
    for _ in range(4):
        sends = [node.ask(0, key)[0] for key in range(1, 13)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Forward):
                node.end(send, AttemptResult.TIMEOUT, 300 * MS)
        node.wait(300 * MS)
    assert max(node.balancer._admission.caps) < 1.0
