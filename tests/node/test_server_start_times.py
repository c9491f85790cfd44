"""Start times of servers on the monotonic clock, whatever the wall clocks show."""

from __future__ import annotations

from moleport.config.endpoints import DiscoveredEndpoint
from moleport.node.server_start_times import FORGET_THRESHOLD_SERVERS, ServerStartTimes
from moleport.policy.interface import EndpointState

MS = 1_000_000
NOW = 500 * 1000 * MS  # monotonic ns
REPORTED_MS = 1_700_000_000_000  # ms


def endpoint(
    identity: str, started_ms: int, state: EndpointState = EndpointState.READY
) -> DiscoveredEndpoint:
    """Return an endpoint list entry with a start in Unix ms."""
    return DiscoveredEndpoint(identity, ("127.0.0.1", 1), "room", "box", 0, state, 1.0, started_ms)


def recorded(times: ServerStartTimes, now: int, *hosts: DiscoveredEndpoint) -> list[int]:
    """Record an update, and return the starts of its endpoints in monotonic ns."""
    times.record(hosts, now)
    return [times.started_at_ns(one) for one in hosts]


def test_the_newest_start_of_the_initial_list_is_now_and_the_others_are_as_much_older() -> None:
    """A start of 0 stays 0: long ago."""
    hosts = [endpoint("a", REPORTED_MS), endpoint("b", REPORTED_MS - 3000), endpoint("c", 0)]
    assert recorded(ServerStartTimes(), NOW, *hosts) == [NOW, NOW - 3000 * MS, 0]


def test_configured_endpoints_keep_their_starts_in_the_first_update() -> None:
    """The first update belongs to the initial list."""
    times = ServerStartTimes()
    recorded(times, NOW, endpoint("a", REPORTED_MS))
    assert recorded(times, NOW + 5, endpoint("d", REPORTED_MS - 4000)) == [NOW + 5 - 4000 * MS]
    hosts = [endpoint("a", REPORTED_MS), endpoint("b", REPORTED_MS + 2000), endpoint("c", REPORTED_MS - 1000)]
    assert recorded(times, NOW + 7, *hosts) == [NOW, NOW + 7, NOW + 7 - 3000 * MS]


def test_a_later_start_is_now_whatever_its_unix_time() -> None:
    """The server's wall clock may have been stepped."""
    times = ServerStartTimes()
    recorded(times, NOW, endpoint("a", REPORTED_MS), endpoint("b", REPORTED_MS))
    times.end_initial_list()
    for delay_ns, reported_ms in enumerate(
        (REPORTED_MS + 5, REPORTED_MS - 3_600_000, REPORTED_MS + 3_600_000), 1
    ):
        assert recorded(times, NOW + delay_ns, endpoint("a", reported_ms)) == [NOW + delay_ns]
        # Unchanged when reported again.
        assert recorded(times, NOW + delay_ns + 1, endpoint("a", reported_ms)) == [NOW + delay_ns]
    assert recorded(times, NOW + 9, endpoint("b", REPORTED_MS), endpoint("new", REPORTED_MS - 9000)) == [
        NOW,
        NOW + 9,
    ]


def test_a_removed_server_that_returns_has_its_former_start() -> None:
    """It has not been restarted."""
    times = ServerStartTimes()
    recorded(times, NOW, endpoint("a", REPORTED_MS))
    times.end_initial_list()
    recorded(times, NOW + 1, endpoint("a", REPORTED_MS + 9, EndpointState.REMOVED))  # its start is not used
    times.forget_removed([])
    assert recorded(times, NOW + 2, endpoint("a", REPORTED_MS)) == [NOW]


def test_starts_of_removed_servers_are_forgotten_and_listed_ones_are_not() -> None:
    """Memory stays bounded as servers come and go."""
    times = ServerStartTimes()
    listed = [f"listed-{number}" for number in range(10)]
    recorded(times, NOW, *(endpoint(name, REPORTED_MS) for name in listed))
    times.end_initial_list()
    for number in range(5000):
        recorded(times, NOW + number, endpoint(f"left-{number}", REPORTED_MS + number))
        times.forget_removed(listed)
    assert len(times._starts) <= FORGET_THRESHOLD_SERVERS + 2 * len(listed)
    assert [times.started_at_ns(endpoint(name, REPORTED_MS)) for name in listed] == [NOW] * 10
