"""When a node polls discovery for the endpoint list, and how long it waits after a failure.

In the discovery mode `poll` a node opens a watch once it has started, and again after a watch has failed. The
wait before a poll is drawn evenly from half of the backoff up to the whole, so that nodes that fail together
do not poll together:

    backoff = min(INITIAL_BACKOFF_NS * 2 ** failures, max_backoff, poll interval)
    max_backoff = max(MIN_BACKOFF_NS, (NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS - missed) / 2)

`missed` is the time since the failed poll began, or WATCH_SILENCE_NS where a watch broke. With this bound,
what was missed, the backoff and the next poll fit into the time within which a node has to be notified of a
change; half of it, because a watch may end at once without bringing a list. Exponential backoff with jitter:
https://aws.amazon.com/blogs/architecture/exponential-backoff-and-jitter/

Failure that this is for: a discovery service that is slow, restarts, or is polled by all nodes at once.
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
FIRST_POLL_RATIO = 0.5  # of the poll interval, within which a node first polls
NOTIFICATION_LIMIT_NS = 5_750_000_000  # nodes have to be notified of a change within 6 s
POLL_TIMEOUT_NS = 2_500_000_000  # within which a poll has brought a list or has failed
WATCH_SILENCE_NS = 3_000_000_000  # after which a silent watch counts as failed


class DiscoveryPoller:
    """Opens the watch of the endpoint list, and opens it again after failures."""

    def __init__(self, settings: api.Settings, random: Random, actions: ActionBuffer) -> None:
        self._is_polling = settings.discovery_mode is api.DiscoveryMode.POLL
        self._poll_interval_ns = settings.poll_interval_ns
        self._random = random
        self._actions = actions
        self._is_watching = False
        self._polled_at_ns: int | None = None  # None: no poll is unanswered
        self._failure_count = 0  # polls and watches that failed in a row

    def start(self, now_ns: int) -> None:
        """Set the timer of the first poll."""
        if not self._is_polling:
            return
        first_poll_ns = int(self._poll_interval_ns * FIRST_POLL_RATIO)
        max_wait_ns = min(first_poll_ns, NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS)
        self._set_timer(now_ns, max_wait_ns, min_ratio=0.0)

    def on_timer(self, now_ns: int) -> None:
        """Open a watch unless one is open."""
        if self._is_watching:
            return
        self._is_watching = True
        self._polled_at_ns = now_ns
        self._actions.emit(api.WatchEndpoints())

    def on_list(self) -> None:
        """Note that discovery has sent a list or a change of it."""
        self._is_watching = True
        self._failure_count = 0
        self._polled_at_ns = None

    def on_failure(self, now_ns: int) -> None:
        """Set the timer of the next poll after a failed poll or a broken watch."""
        self._is_watching = False
        missed_ns = WATCH_SILENCE_NS if self._polled_at_ns is None else now_ns - self._polled_at_ns
        max_backoff_ns = max(MIN_BACKOFF_NS, (NOTIFICATION_LIMIT_NS - POLL_TIMEOUT_NS - missed_ns) // 2)
        backoff_ns = INITIAL_BACKOFF_NS << min(self._failure_count, MAX_BACKOFF_DOUBLINGS)
        self._failure_count += 1
        self._set_timer(now_ns, min(backoff_ns, max_backoff_ns, self._poll_interval_ns), MIN_JITTER_RATIO)

    def on_empty_list(self, now_ns: int) -> None:
        """Set a timer earlier than the first poll's where the cached list has no ready endpoint."""
        if self._is_polling and not self._is_watching:
            self._set_timer(now_ns, INITIAL_BACKOFF_NS, MIN_JITTER_RATIO)

    def _set_timer(self, now_ns: int, max_wait_ns: int, min_ratio: float) -> None:
        wait_ns = jittered_ns(self._random, max_wait_ns, min_ratio)
        self._actions.emit(api.SetTimer(now_ns + wait_ns, api.TimerId.POLL))
