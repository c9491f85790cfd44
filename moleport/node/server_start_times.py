"""When servers started, on the node's monotonic clock.

The list gives each start as a Unix time, read from a wall clock that may be wrong, or may be stepped while
the node runs. A span of real time therefore begins where the node can know that it did:

- The first list names starts that the node did not see. The newest of them is taken to be now, and the others
  are as much older as their figures say. No start lies in the future, whatever the node's own clock says. The
  error: servers that started a while ago count as younger than they are, at most by the age of the newest,
  for at most one cold time after the node's own start. A server whose own clock was behind by some time when
  it started counts as older by so much.
- A start that is told later, of a new server or with a figure that differs from the one held, is now. The
  error: it counts as younger than it is by as much as the news was late.

Both err on the side on which warm servers are taken for cold, which costs service; the other way cold ones
would be overdriven, which is a broken rule.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from moleport.config.endpoints import DiscoveredEndpoint
from moleport.policy.interface import EndpointState

MS = 1_000_000  # ns
REMEMBERED_MOST = 1024  # starts of servers that have left, beside as many as are listed; one may return


class Start(NamedTuple):
    figure_ms: int  # Unix time, as the list gives it
    at: int  # monotonic ns


class ServerStartTimes:
    """The start of each server that the list has named."""

    def __init__(self) -> None:
        self._starts: dict[str, Start] = {}  # by id; the latest told last
        self._first_list = True
        self._newest_ms = 0  # of the figures in the first list

    def learn(self, hosts: Iterable[DiscoveredEndpoint], now: int) -> None:
        """Entries that are about to be translated, `now` in monotonic ns."""
        hosts = [host for host in hosts if host.started_ms and host.state is not EndpointState.REMOVED]
        self._newest_ms = max([self._newest_ms, *(host.started_ms for host in hosts)])
        for host in hosts:
            held = self._starts.get(host.id)
            if held is None or held.figure_ms != host.started_ms:
                age_ms = max(0, self._newest_ms - host.started_ms) if self._first_list else 0
                self._starts.pop(host.id, None)
                self._starts[host.id] = Start(host.started_ms, now - age_ms * MS)

    def end_first_list(self) -> None:
        """From now on each start that is told is one that the node sees."""
        self._first_list = False

    def translate(self, host: DiscoveredEndpoint) -> int:
        """The start that was learnt, in monotonic ns; 0 for long ago."""
        start = self._starts.get(host.id)
        if start is None or not host.started_ms:
            return 0
        return start.at or 1  # 0 stands for long ago

    def trim(self, listed: Collection[str]) -> None:
        """Forget those that have left the list, the first learnt first, once they outnumber the `listed`."""
        if len(self._starts) > 2 * len(listed) + REMEMBERED_MOST:
            left = [identity for identity in self._starts if identity not in listed]
            for identity in left[: len(left) - len(listed)]:
                del self._starts[identity]
