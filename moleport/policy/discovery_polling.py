"""Polling of discovery for the endpoint list, with exponential backoff after failures.

In the discovery mode `poll` a node opens a watch after its start, and again after a watch has failed. The
wait before a poll is uniformly distributed between half of the backoff and the whole backoff, so that nodes
whose watches fail at the same time do not poll at the same time:

    backoff = min(INITIAL_BACKOFF_NS * 2 ** failures, max_backoff, poll interval)
    max_backoff = max(MIN_BACKOFF_NS, (NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS - missed) / 2)

`missed` is the time since the failed poll began, or WATCH_SILENCE_NS if a watch broke. With this bound, the
missed time, the backoff and the next poll fit into the time within which a node has to be notified of a
change. It is divided by 2 because a watch may end at once without delivering a list, so that a second backoff
follows. Source: https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/

This guards against a discovery service that is slow, restarts, or is polled by all nodes at once.
"""

from __future__ import annotations

from random import Random

from moleport.policy import interface as api
from moleport.policy.actions import ActionBuffer
from moleport.policy.timing import jittered_ns

INITIAL_BACKOFF_NS = 1_000_000_000
MIN_BACKOFF_NS = 250_000_000
MAX_BACKOFF_DOUBLINGS = 4
MIN_JITTER_RATIO = 0.5
# longest wait of a starting node before its first poll of discovery, as a fraction of the poll interval
FIRST_POLL_RATIO = 0.5
# longest time from a change of the endpoint list until polling notifies a node of the change;
# the requirement is 6 s
NOTIFICATION_LIMIT_NS = 5_750_000_000
# time within which a poll of discovery delivers the endpoint list or fails
POLL_TIMEOUT_NS = 2_500_000_000
# time without a message after which a watch of the endpoint list counts as failed
WATCH_SILENCE_NS = 3_000_000_000


class DiscoveryPoller:
    """Opens a watch of the endpoint list, and a new watch after each failure."""

    def __init__(self, settings: api.Settings, random: Random, actions: ActionBuffer) -> None:
        self._is_polling = settings.discovery_mode is api.DiscoveryMode.POLL
        self._poll_interval_ns = settings.poll_interval_ns
        self._random = random
        self._actions = actions
        self._is_watching = False
        # start time of the poll of discovery that is in progress, in ns; None: no poll is in progress
        self._polled_at_ns: int | None = None
        # number of consecutive failures of polls and watches of discovery
        self._failure_count = 0

    def start(self, now_ns: int) -> None:
        """Set the timer of the first poll of discovery."""
        if not self._is_polling:
            return
        first_poll_ns = int(self._poll_interval_ns * FIRST_POLL_RATIO)
        max_wait_ns = min(first_poll_ns, NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS)
        self._set_timer(now_ns, max_wait_ns, min_ratio=0.0)

    def on_timer(self, now_ns: int) -> None:
        """Open a watch of the endpoint list unless a watch is open already."""
        if self._is_watching:
            return
        self._is_watching = True
        self._polled_at_ns = now_ns
        self._actions.emit(api.WatchEndpoints())

    def on_list(self) -> None:
        """Record that discovery has sent the endpoint list or a change of the list."""
        self._is_watching = True
        self._failure_count = 0
        self._polled_at_ns = None

    def on_failure(self, now_ns: int) -> None:
        """Set the timer of the next poll of discovery after a failed poll or a broken watch."""
        self._is_watching = False
        missed_ns = WATCH_SILENCE_NS if self._polled_at_ns is None else now_ns - self._polled_at_ns
        max_backoff_ns = max(MIN_BACKOFF_NS, (NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS - missed_ns) // 2)
        backoff_ns = INITIAL_BACKOFF_NS << min(self._failure_count, MAX_BACKOFF_DOUBLINGS)
        self._failure_count += 1
        self._set_timer(now_ns, min(backoff_ns, max_backoff_ns, self._poll_interval_ns), MIN_JITTER_RATIO)

    def on_empty_list(self, now_ns: int) -> None:
        """Set an earlier poll timer after a list without ready endpoints, unless a watch is open."""
        if self._is_polling and not self._is_watching:
            self._set_timer(now_ns, INITIAL_BACKOFF_NS, MIN_JITTER_RATIO)

    def _set_timer(self, now_ns: int, max_wait_ns: int, min_ratio: float) -> None:
        wait_ns = jittered_ns(self._random, max_wait_ns, min_ratio)
        self._actions.emit(api.SetTimer(now_ns + wait_ns, api.TimerId.POLL))
