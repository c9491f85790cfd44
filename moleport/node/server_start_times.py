"""Start times of servers on the node's monotonic clock.

The endpoint list gives each start time as a Unix time. The Unix time was read from a wall clock, which may be
wrong or may be stepped while the node runs. `ServerStartTimes` therefore translates start times as follows:

- The initial list (the list in the configuration and the first update) contains starts that the node did not
  observe. The newest of these starts is assumed to have happened now, and each other start is earlier by the
  difference of the Unix times. The node's own wall clock is not used. The resulting error: servers appear
  younger than they are, by at most the age of the newest server, for at most one slow start duration. A
  server whose clock was slow when the server started appears older by the error of its clock.
- A start that is reported later, for a new server or as a changed Unix time, is assumed to have happened when
  the update arrives. The resulting error: the server appears younger than it is, by the delay of the update.

An error that makes a server appear younger applies slow start to a warm server, which costs capacity. This
error is preferred to the opposite one, which would overload a server in slow start.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from moleport.config.endpoints import DiscoveredEndpoint
from moleport.policy.interface import EndpointState
from moleport.units import NS_PER_MS

# Number of recorded server starts, beyond twice the number of listed servers, above which `forget_removed`
# drops some. The starts of removed servers are kept because a removed server may return.
FORGET_THRESHOLD_SERVERS = 1024


class RecordedStart(NamedTuple):
    """The latest start of one server, as a Unix time and on the node's monotonic clock."""

    reported_ms: int  # Unix time of the server's start according to the endpoint list, in ms
    started_at_ns: int  # time of the server's start on the node's monotonic clock, in ns


class ServerStartTimes:
    """The latest start of each server that the endpoint list contains or has contained."""

    def __init__(self) -> None:
        """Treat starts as those of the initial list until `end_initial_list` is called."""
        # Latest start of each server, by endpoint id; the most recently recorded start is last.
        self._starts: dict[str, RecordedStart] = {}
        self._is_initial_list = True
        self._newest_reported_ms = 0

    def record(self, endpoints: Iterable[DiscoveredEndpoint], now_ns: int) -> None:
        """Record the server starts in an update that arrived at `now_ns`, in monotonic ns."""
        started = [
            endpoint
            for endpoint in endpoints
            if endpoint.started_ms and endpoint.state is not EndpointState.REMOVED
        ]
        self._newest_reported_ms = max(
            [self._newest_reported_ms, *(endpoint.started_ms for endpoint in started)]
        )
        for endpoint in started:
            recorded = self._starts.get(endpoint.id)
            if recorded is None or recorded.reported_ms != endpoint.started_ms:
                self._starts.pop(endpoint.id, None)
                self._starts[endpoint.id] = self._new_start(endpoint.started_ms, now_ns)

    def _new_start(self, reported_ms: int, now_ns: int) -> RecordedStart:
        """Translate a start that was reported at `now_ns` (monotonic ns) as Unix time `reported_ms` (ms)."""
        age_ms = 0
        if self._is_initial_list:
            age_ms = max(0, self._newest_reported_ms - reported_ms)
        return RecordedStart(reported_ms, now_ns - age_ms * NS_PER_MS)

    def end_initial_list(self) -> None:
        """Treat each start that is recorded after this call as one that has just happened."""
        self._is_initial_list = False

    def started_at_ns(self, endpoint: DiscoveredEndpoint) -> int:
        """Return the start of a server in monotonic ns, or 0 (long ago) if the endpoint list has none."""
        recorded = self._starts.get(endpoint.id)
        if recorded is None or not endpoint.started_ms:
            return 0
        return recorded.started_at_ns or 1

    def forget_removed(self, listed: Collection[str]) -> None:
        """Forget the starts of removed servers, the earliest recorded first, if too many starts are recorded.

        `listed` contains the ids of the servers that are not removed. Too many starts are recorded if their
        number exceeds twice that of the listed servers by more than `FORGET_THRESHOLD_SERVERS`. The starts
        of as many removed servers as there are listed ones are then kept.
        """
        if len(self._starts) <= 2 * len(listed) + FORGET_THRESHOLD_SERVERS:
            return
        removed = [endpoint_id for endpoint_id in self._starts if endpoint_id not in listed]
        for endpoint_id in removed[: len(removed) - len(listed)]:
            del self._starts[endpoint_id]
