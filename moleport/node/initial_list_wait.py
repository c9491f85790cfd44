"""The wait of a starting node for the endpoint list of its discovery agent.

The endpoint list of the node's configuration may be outdated, while all changes that the agent has received
count as notified from the start of the process. The node therefore serves no client until the wait has ended
with one of the results of `WaitResult`.

A watch that ends without an update does not end the wait, because the next watch may deliver the update.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from moleport.node import discovery_limits
from moleport.node.discovery_watch import WatchFailure

# Time for further watches, in addition to the time limit of one watch, before the node serves without an
# update. A restarted node has to be ready within 6 s.
MAX_FURTHER_WATCHES_S = 1.5


class WaitResult(Enum):
    """The reason for the end of the wait."""

    UPDATED = "an update is applied"
    UNREACHABLE = "discovery does not respond"
    NO_UPDATE = "discovery has sent no update in time"


class InitialListWait:
    """Waits until an update of discovery is applied, or is not to be expected soon."""

    def __init__(self) -> None:
        """Prepare the wait; `start` starts its time limits."""
        self._loop = asyncio.get_running_loop()
        self._started_at = 0.0  # loop time in s at which the first watch was opened
        # Loop time in s of the end of the latest watch, or of the opening of the first one.
        self._watch_started_at = 0.0
        # Loop time in s since which discovery has left all watches without a response.
        self._unanswered_since = 0.0
        self._result: WaitResult | None = None
        self._ended = asyncio.Event()

    def start(self) -> None:
        """Start the time limits, because the first watch is being opened."""
        self._started_at = self._watch_started_at = self._unanswered_since = self._loop.time()

    async def wait(self) -> WaitResult:
        """Wait until an update is applied, or discovery is unreachable, or a time limit has passed."""
        while self._result is None:
            remaining_s = self._time_limit() - self._loop.time()
            if remaining_s <= 0.0:
                self._end(WaitResult.NO_UPDATE)
                continue
            with suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), remaining_s)
        return self._result

    def on_update_applied(self) -> None:
        """End the wait: the policy knows the endpoint list of discovery."""
        self._end(WaitResult.UPDATED)

    def on_watch_failed(self, failure: WatchFailure) -> None:
        """Wait for the next watch, unless discovery has not responded for the time limit of a response."""
        now = self._loop.time()
        self._watch_started_at = now
        if failure is WatchFailure.SILENT:
            self._end(WaitResult.NO_UPDATE)
        elif failure not in (WatchFailure.NOT_CONNECTED, WatchFailure.NO_RESPONSE):
            # A response shows that discovery is reachable, and a local fault shows nothing about discovery.
            self._unanswered_since = now
        elif now - self._unanswered_since >= discovery_limits.AGENT_RESPONSE_TIMEOUT_S:
            self._end(WaitResult.UNREACHABLE)

    def _time_limit(self) -> float:
        """Return the loop time in s at which the wait ends without an update.

        An agent without newer changes sends empty lines only, so each watch has the time in which its first
        data is due. All watches together have `MAX_FURTHER_WATCHES_S` more.
        """
        one_watch_s = discovery_limits.FIRST_DATA_TIMEOUT_S
        return min(
            self._watch_started_at + one_watch_s, self._started_at + one_watch_s + MAX_FURTHER_WATCHES_S
        )

    def _end(self, result: WaitResult) -> None:
        if self._result is None:
            self._result = result
            self._ended.set()
