"""Start times of servers on the node's monotonic clock.

The endpoint list gives each start as a Unix time, read from a wall clock that may be wrong or may be stepped
while the node runs. Start times are therefore translated as follows:

- In the initial list (the configuration's, and the first update), which names starts that the node did not
  observe, the newest start is taken to be now, and the others as much older as their Unix times are. The
  node's own wall clock is not used. The error: servers count as younger than they are, by at most the age of
  the newest, and for at most one slow start duration. A server whose own clock was slow as it started counts
  as older by that amount.
- A start that is reported later, of a new server or with a changed Unix time, is now. The error: it counts as
  younger than it is by the delay of the update.

Both errors prefer to take a warm server for one in slow start, which costs capacity, over the reverse, which
would overload a server in slow start.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from moleport.config.endpoints import DiscoveredEndpoint
from moleport.policy.interface import EndpointState
from moleport.units import NS_PER_MS

FORGET_THRESHOLD_SERVERS = 1024  # removed ones are remembered up to it, as a server may return


class RecordedStart(NamedTuple):
    """The latest start of one server."""

    reported_ms: int  # Unix time in the endpoint list
    started_at_ns: int  # monotonic ns


class ServerStartTimes:
    """The latest start of each server that the endpoint list has named."""

    def __init__(self) -> None:
        """Begin with the initial list."""
        self._starts: dict[str, RecordedStart] = {}  # by endpoint id, the latest recorded last
        self._is_initial_list = True
        self._newest_reported_ms = 0

    def record(self, endpoints: Iterable[DiscoveredEndpoint], now_ns: int) -> None:
        """Record the starts in an update that arrived at `now_ns`, in monotonic ns."""
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
        age_ms = 0
        if self._is_initial_list:
            age_ms = max(0, self._newest_reported_ms - reported_ms)
        return RecordedStart(reported_ms, now_ns - age_ms * NS_PER_MS)

    def end_initial_list(self) -> None:
        """Take each start that is recorded from now on as one that has just happened."""
        self._is_initial_list = False

    def started_at_ns(self, endpoint: DiscoveredEndpoint) -> int:
        """Return the recorded start in monotonic ns; 0: long ago."""
        recorded = self._starts.get(endpoint.id)
        if recorded is None or not endpoint.started_ms:
            return 0
        return recorded.started_at_ns or 1

    def forget_removed(self, listed: Collection[str]) -> None:
        """Forget servers that are not listed, the earliest recorded first, once they are too many.

        They are too many if all recorded servers are more than twice the listed ones by more than
        `FORGET_THRESHOLD_SERVERS`. As many as are listed are then kept.
        """
        if len(self._starts) <= 2 * len(listed) + FORGET_THRESHOLD_SERVERS:
            return
        removed = [name for name in self._starts if name not in listed]
        for name in removed[: len(removed) - len(listed)]:
            del self._starts[name]
