"""Tests of the translation of start times to the monotonic clock, which must not depend on wall clocks."""

from __future__ import annotations

from moleport.config.endpoints import DiscoveredEndpoint
from moleport.node.server_start_times import FORGET_THRESHOLD_SERVERS, ServerStartTimes
from moleport.policy.interface import EndpointState

NS_PER_MS = 1_000_000
NOW_NS = 500 * 1000 * NS_PER_MS  # monotonic ns
REPORTED_MS = 1_700_000_000_000  # Unix time in ms


def endpoint(
    endpoint_id: str, started_ms: int, state: EndpointState = EndpointState.READY
) -> DiscoveredEndpoint:
    """Return an endpoint list entry that states its start as Unix time in ms."""
    return DiscoveredEndpoint(endpoint_id, ("127.0.0.1", 1), "room", "box", 0, state, 1.0, started_ms)


def recorded(times: ServerStartTimes, now_ns: int, *endpoints: DiscoveredEndpoint) -> list[int]:
    """Record an update that arrives at `now_ns`, and return the starts of its endpoints, in monotonic ns."""
    times.record(endpoints, now_ns)
    return [times.started_at_ns(entry) for entry in endpoints]


def test_the_newest_start_of_the_initial_list_is_now_and_the_others_are_as_much_older() -> None:
    """A start that is reported as 0 remains 0, which means long ago."""
    endpoints = [endpoint("a", REPORTED_MS), endpoint("b", REPORTED_MS - 3000), endpoint("c", 0)]
    assert recorded(ServerStartTimes(), NOW_NS, *endpoints) == [NOW_NS, NOW_NS - 3000 * NS_PER_MS, 0]


def test_configured_endpoints_keep_their_starts_in_the_first_update() -> None:
    """The first update is part of the initial list."""
    times = ServerStartTimes()
    recorded(times, NOW_NS, endpoint("a", REPORTED_MS))
    assert recorded(times, NOW_NS + 5, endpoint("d", REPORTED_MS - 4000)) == [NOW_NS + 5 - 4000 * NS_PER_MS]
    endpoints = [
        endpoint("a", REPORTED_MS),
        endpoint("b", REPORTED_MS + 2000),
        endpoint("c", REPORTED_MS - 1000),
    ]
    assert recorded(times, NOW_NS + 7, *endpoints) == [NOW_NS, NOW_NS + 7, NOW_NS + 7 - 3000 * NS_PER_MS]


def test_a_start_reported_later_is_now_regardless_of_its_unix_time() -> None:
    """The server's wall clock may have been stepped forwards or backwards."""
    times = ServerStartTimes()
    recorded(times, NOW_NS, endpoint("a", REPORTED_MS), endpoint("b", REPORTED_MS))
    times.end_initial_list()
    for delay_ns, reported_ms in enumerate(
        (REPORTED_MS + 5, REPORTED_MS - 3_600_000, REPORTED_MS + 3_600_000), 1
    ):
        assert recorded(times, NOW_NS + delay_ns, endpoint("a", reported_ms)) == [NOW_NS + delay_ns]
        # The start does not change when the same Unix time is reported again.
        assert recorded(times, NOW_NS + delay_ns + 1, endpoint("a", reported_ms)) == [NOW_NS + delay_ns]
    assert recorded(times, NOW_NS + 9, endpoint("b", REPORTED_MS), endpoint("new", REPORTED_MS - 9000)) == [
        NOW_NS,
        NOW_NS + 9,
    ]


def test_a_removed_server_that_returns_has_its_former_start() -> None:
    """A removed server that returns with the same start time has not been restarted."""
    times = ServerStartTimes()
    recorded(times, NOW_NS, endpoint("a", REPORTED_MS))
    times.end_initial_list()
    # The start in a removed entry is ignored.
    recorded(times, NOW_NS + 1, endpoint("a", REPORTED_MS + 9, EndpointState.REMOVED))
    times.forget_removed([])
    assert recorded(times, NOW_NS + 2, endpoint("a", REPORTED_MS)) == [NOW_NS]


def test_starts_of_removed_servers_are_forgotten_and_listed_ones_are_not() -> None:
    """The memory for start times is bounded while servers are added and removed."""
    times = ServerStartTimes()
    listed = [f"listed-{number}" for number in range(10)]
    recorded(times, NOW_NS, *(endpoint(name, REPORTED_MS) for name in listed))
    times.end_initial_list()
    for number in range(5000):
        recorded(times, NOW_NS + number, endpoint(f"left-{number}", REPORTED_MS + number))
        times.forget_removed(listed)
    assert len(times._starts) <= FORGET_THRESHOLD_SERVERS + 2 * len(listed)
    assert [times.started_at_ns(endpoint(name, REPORTED_MS)) for name in listed] == [NOW_NS] * 10
